//! A pool's gate: which worker a request goes to, and who waits while all are taken.
//!
//! The request path takes no lock while a worker is free: it reads an immutable list of workers and
//! counts itself in on one of them. Only a request that has to wait takes the queue's lock.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

use crate::clock::{ProcessClock, millis};
use crate::connection::ConnectionPool;
use crate::decide::health::{HealthRecord, HealthStatus};
use crate::decide::slot::{SlotPolicy, SlotView};
use crate::decide::table::TargetRoute;
use crate::error::ResultCode;
use crate::metrics::EntryMetrics;
use crate::name::VmName;

/// Bit of a target's load that says that it gets no new work.
const CLOSED: u64 = 1 << 63;
/// Stalled runs without a success between after which the worker is to blame, not a connection.
const STALLS_MAX: u32 = 8;
/// Requests ahead of batch work in a row before one of it goes first.
const BATCH_TURN: u32 = 8;
/// Part of a worker's slots that batch work leaves free, as a divisor.
const BATCH_LEAVES: u32 = 4;

/// How urgent a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkClass {
    /// Ahead of all else.
    Urgent,
    /// Somebody waits for it.
    Quick,
    /// Nobody waits for it.
    Batch,
}

impl WorkClass {
    /// Every class, most urgent first.
    pub const ALL: [WorkClass; 3] = [WorkClass::Urgent, WorkClass::Quick, WorkClass::Batch];

    /// Reads a header's word.
    pub fn parse(word: &str) -> Option<WorkClass> {
        match word {
            "urgent" => Some(WorkClass::Urgent),
            "quick" => Some(WorkClass::Quick),
            "batch" => Some(WorkClass::Batch),
            _ => None,
        }
    }

    /// Position in `ALL`.
    pub fn index(self) -> usize {
        match self {
            WorkClass::Urgent => 0,
            WorkClass::Quick => 1,
            WorkClass::Batch => 2,
        }
    }
}

/// A worker in the routing table, with what this entry has in flight there.
#[derive(Debug)]
pub struct PoolTarget {
    /// Its route.
    pub route: TargetRoute,
    /// Its connections.
    pub connections: Arc<ConnectionPool>,
    load: AtomicU64,
    /// Requests of `load` that have shown no progress for so long that their slots count as free.
    stalled: AtomicU32,
    stalls: AtomicU32,
    others: AtomicU32,
    busy_until_ms: AtomicU64,
    health: Mutex<HealthRecord>,
    /// Bits of the failure rate, for the pool's median.
    failure_rate: AtomicU64,
}

impl PoolTarget {
    /// A worker without load.
    pub fn new(route: TargetRoute, connections: Arc<ConnectionPool>) -> Self {
        PoolTarget {
            route,
            connections,
            load: AtomicU64::new(0),
            stalled: AtomicU32::new(0),
            stalls: AtomicU32::new(0),
            others: AtomicU32::new(0),
            busy_until_ms: AtomicU64::new(0),
            health: Mutex::new(HealthRecord::default()),
            failure_rate: AtomicU64::new(0),
        }
    }

    /// Requests that this entry has in flight there.
    pub fn in_flight(&self) -> u32 {
        u32::try_from(self.load.load(Ordering::Acquire) & !CLOSED).unwrap_or(u32::MAX)
    }

    /// Requests that this entry has at the worker's slots.
    pub fn slots_taken(&self) -> u32 {
        self.in_flight().saturating_sub(self.stalled.load(Ordering::Acquire))
    }

    /// Stops new work. The count and the stop share one word: a request that counted itself in
    /// before is seen by `is_drained`, one that comes after is turned away. With two words, a
    /// request could slip in between the stop and the look, and run on a VM that has been confirmed.
    pub fn close(&self) {
        self.load.fetch_or(CLOSED, Ordering::AcqRel);
    }

    /// Whether it gets no new work and has nothing in flight.
    pub fn is_drained(&self) -> bool {
        self.load.load(Ordering::Acquire) == CLOSED
    }

    /// Requests that the other entries have in flight there.
    pub fn set_others(&self, others: u32) {
        self.others.store(others, Ordering::Release);
    }

    /// Counts a run that stalled although the worker answers probes; true if there were so many
    /// since its last success that it must be the worker.
    pub fn note_stall(&self) -> bool {
        self.stalls.fetch_add(1, Ordering::AcqRel) + 1 >= STALLS_MAX
    }

    /// Passes the worker over for a moment.
    pub fn pause_until(&self, steady_ms: u64) {
        self.busy_until_ms.fetch_max(steady_ms, Ordering::AcqRel);
    }

    fn view(&self) -> SlotView {
        SlotView {
            own: self.slots_taken(),
            others: self.others.load(Ordering::Acquire),
            slots: self.route.slots,
            connections: self.connections.share(),
        }
    }

    fn try_enter(&self, limit: u32) -> bool {
        let limit = u64::from(limit) + u64::from(self.stalled.load(Ordering::Acquire));
        let enter = |load: u64| (load < limit).then_some(load + 1);
        self.load.fetch_update(Ordering::AcqRel, Ordering::Acquire, enter).is_ok()
    }

    fn leave(&self) {
        self.load.fetch_sub(1, Ordering::AcqRel);
    }

    fn lock_health(&self) -> MutexGuard<'_, HealthRecord> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the worker is left out now.
    pub fn is_ejected(&self, now: Duration) -> bool {
        matches!(self.lock_health().status(now), HealthStatus::Ejected { .. })
    }
}

/// What a request asks of the gate.
#[derive(Clone, Debug)]
pub struct GateRequest {
    /// How urgent it is.
    pub class: WorkClass,
    /// Whether it may go to a worker on trial.
    pub idempotent: bool,
    /// Whether it had a place before and was turned away by the worker.
    pub is_back: bool,
    /// Workers that failed it before.
    pub avoid: Vec<VmName>,
    /// End of its patience.
    pub deadline: Instant,
}

#[derive(Debug)]
struct GateWaiter {
    id: u64,
    request: GateRequest,
    grant: oneshot::Sender<Arc<PoolTarget>>,
}

#[derive(Debug, Default)]
struct WaitQueue {
    next_id: u64,
    since_batch: u32,
    classes: [VecDeque<GateWaiter>; 3],
}

/// The gate of one pool.
#[derive(Debug)]
pub struct PoolGate<P> {
    policy: P,
    clock: ProcessClock,
    metrics: Arc<EntryMetrics>,
    eject_time: Duration,
    targets: ArcSwap<Vec<Arc<PoolTarget>>>,
    entries: AtomicU32,
    /// Average run, in microseconds.
    run_us: AtomicU64,
    /// Steady time from which a worker that seems full may be tried again, in microseconds.
    next_try_us: AtomicU64,
    queue: Mutex<WaitQueue>,
    waiting: AtomicUsize,
}

/// A place at a worker; given back when dropped.
#[derive(Debug)]
pub struct TargetPermit<P: SlotPolicy> {
    gate: Arc<PoolGate<P>>,
    target: Arc<PoolTarget>,
    is_stalled: bool,
}

impl<P: SlotPolicy> TargetPermit<P> {
    /// Lets others have the slot: the request may sit on a connection that has gone silent, and the
    /// worker itself refuses what it has no slot for. It still counts as in flight, so that a drain
    /// waits for it.
    pub fn stall(&mut self) {
        if !self.is_stalled {
            self.is_stalled = true;
            self.target.stalled.fetch_add(1, Ordering::AcqRel);
            self.gate.pump();
        }
    }

    /// The worker.
    pub fn target(&self) -> &PoolTarget {
        &self.target
    }

    /// The worker, to be kept beyond the request.
    pub fn shared_target(&self) -> Arc<PoolTarget> {
        self.target.clone()
    }
}

impl<P: SlotPolicy> Drop for TargetPermit<P> {
    fn drop(&mut self) {
        if self.is_stalled {
            self.target.stalled.fetch_sub(1, Ordering::AcqRel);
        }
        self.target.leave();
        self.gate.pump();
    }
}

/// Takes a waiter out of the queue when its caller goes away.
struct WaitGuard<'a, P: SlotPolicy> {
    gate: &'a Arc<PoolGate<P>>,
    id: u64,
    class: WorkClass,
    grant: oneshot::Receiver<Arc<PoolTarget>>,
    taken: bool,
}

impl<P: SlotPolicy> Drop for WaitGuard<'_, P> {
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        self.gate.remove(self.id, self.class);
        // Granted in the same moment: the place goes to the next one.
        if let Ok(target) = self.grant.try_recv() {
            drop(TargetPermit { gate: self.gate.clone(), target, is_stalled: false });
        }
    }
}

impl<P: SlotPolicy> PoolGate<P> {
    /// A gate without workers.
    pub fn new(
        policy: P,
        clock: ProcessClock,
        metrics: Arc<EntryMetrics>,
        eject_time: Duration,
    ) -> Self {
        PoolGate {
            policy,
            clock,
            metrics,
            eject_time,
            targets: ArcSwap::from_pointee(Vec::new()),
            entries: AtomicU32::new(1),
            run_us: AtomicU64::new(0),
            next_try_us: AtomicU64::new(0),
            queue: Mutex::new(WaitQueue::default()),
            waiting: AtomicUsize::new(0),
        }
    }

    /// Replaces the workers.
    pub fn set_targets(&self, targets: Vec<Arc<PoolTarget>>) {
        self.targets.store(Arc::new(targets));
    }

    /// The workers.
    pub fn targets(&self) -> Arc<Vec<Arc<PoolTarget>>> {
        self.targets.load_full()
    }

    /// Entries that share the workers, this one included.
    pub fn set_entries(&self, entries: u32) {
        self.entries.store(entries.max(1), Ordering::Release);
    }

    /// Requests waiting.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Acquire)
    }

    /// Requests waiting that go before one of this class.
    pub fn ahead(&self, class: WorkClass) -> usize {
        let queue = self.lock_queue();
        queue.classes.iter().take(class.index() + 1).map(VecDeque::len).sum()
    }

    /// Requests that this entry has in flight.
    pub fn in_flight(&self) -> u32 {
        self.targets.load().iter().map(|target| target.in_flight()).sum()
    }

    /// Requests that this entry may have in flight at a time.
    pub fn room(&self) -> u32 {
        let entries = self.entries.load(Ordering::Acquire);
        let targets = self.targets.load();
        let limits = targets.iter().map(|target| self.policy.limit(&target.view(), entries));
        limits.fold(0, u32::saturating_add)
    }

    /// Notes how long a run took.
    pub fn note_run(&self, run: Duration) {
        let newest = u64::try_from(run.as_micros()).unwrap_or(u64::MAX) / 8;
        let old = self.run_us.load(Ordering::Acquire);
        self.run_us.store(old - old / 8 + newest, Ordering::Release);
    }

    /// Whether a worker can be used now or soon.
    pub fn is_usable(&self) -> bool {
        let now = self.clock.steady();
        self.targets.load().iter().any(|target| !target.is_ejected(now))
    }

    /// A place at a worker, at once or after a wait of at most `queue_max` others.
    pub async fn enter(
        self: &Arc<Self>,
        request: GateRequest,
        queue_max: usize,
    ) -> Result<TargetPermit<P>, ResultCode> {
        if self.waiting() == 0
            && let Some(target) = self.try_take(&request)
        {
            return Ok(TargetPermit { gate: self.clone(), target, is_stalled: false });
        }
        let deadline = request.deadline;
        let mut wait = self.push(request, queue_max)?;
        // A place may have come free between the look and the push.
        self.pump();
        let granted = timeout_at(deadline, &mut wait.grant).await;
        match granted {
            Ok(Ok(target)) => {
                wait.taken = true;
                Ok(TargetPermit { gate: self.clone(), target, is_stalled: false })
            }
            Ok(Err(_)) => Err(ResultCode::ShuttingDown),
            Err(_) => Err(ResultCode::DeadlineInQueue),
        }
    }

    /// Notes what became of a request, and leaves out a worker that fails while its pool doesn't.
    pub fn note(&self, target: &PoolTarget, succeeded: bool) {
        let now = self.clock.steady();
        let mut health = target.lock_health();
        health.record(succeeded);
        if succeeded {
            target.stalls.store(0, Ordering::Release);
            // The slot of this very run is free now, whatever the worker said a moment ago.
            target.busy_until_ms.store(0, Ordering::Release);
        }
        target.failure_rate.store(health.failure_rate().to_bits(), Ordering::Release);
        if succeeded {
            return;
        }
        let targets = self.targets.load();
        let others = targets.iter().filter(|other| !std::ptr::eq(&raw const ***other, target));
        let left_out = others.filter(|other| other.is_ejected(now)).count();
        let mut rates: Vec<f64> = targets
            .iter()
            .map(|other| f64::from_bits(other.failure_rate.load(Ordering::Acquire)))
            .collect();
        if health.is_ejection_due(&mut rates, left_out) {
            health.eject(now, self.eject_time);
            self.metrics.left_out.inc();
        }
    }

    /// Gives free places to those that wait; called when one may have come free.
    pub fn pump(&self) {
        while self.waiting() > 0 {
            let mut queue = self.lock_queue();
            let Some((class, index, target)) = self.next_grant(&queue) else { return };
            let Some(waiter) = queue.classes[class].remove(index) else { return };
            queue.note_turn(class);
            self.waiting.fetch_sub(1, Ordering::AcqRel);
            drop(queue);
            // The waiter's caller may have gone in this moment; then the place is free again.
            if let Err(target) = waiter.grant.send(target) {
                target.leave();
            }
        }
    }

    /// The first waiter, by class and age, for whom there is a worker.
    fn next_grant(&self, queue: &WaitQueue) -> Option<(usize, usize, Arc<PoolTarget>)> {
        for class in queue.order() {
            for (index, waiter) in queue.classes[class].iter().enumerate() {
                if let Some(target) = self.try_take(&waiter.request) {
                    return Some((class, index, target));
                }
                // Only a waiter that avoids a worker can be passed by others of its class.
                if waiter.request.avoid.is_empty() {
                    break;
                }
            }
        }
        None
    }

    fn push<'a>(
        self: &'a Arc<Self>,
        request: GateRequest,
        queue_max: usize,
    ) -> Result<WaitGuard<'a, P>, ResultCode> {
        let (sender, grant) = oneshot::channel();
        let (class, is_back) = (request.class, request.is_back);
        let mut queue = self.lock_queue();
        queue.next_id += 1;
        let id = queue.next_id;
        let waiters = &mut queue.classes[class.index()];
        // One that a busy worker turned away has waited its turn. At the end of the queue it would
        // wait again for longer than was reckoned when it was let in, and be refused late.
        if is_back {
            waiters.push_front(GateWaiter { id, request, grant: sender });
        } else if waiters.len() >= queue_max {
            return Err(ResultCode::QueueFull);
        } else {
            waiters.push_back(GateWaiter { id, request, grant: sender });
        }
        self.waiting.fetch_add(1, Ordering::AcqRel);
        Ok(WaitGuard { gate: self, id, class, grant, taken: false })
    }

    fn remove(&self, id: u64, class: WorkClass) {
        let mut queue = self.lock_queue();
        let waiters = &mut queue.classes[class.index()];
        if let Some(index) = waiters.iter().position(|waiter| waiter.id == id) {
            waiters.remove(index);
            self.waiting.fetch_sub(1, Ordering::AcqRel);
        }
    }

    fn lock_queue(&self) -> MutexGuard<'_, WaitQueue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts the request in on a worker, if one is free for it.
    fn try_take(&self, request: &GateRequest) -> Option<Arc<PoolTarget>> {
        let targets = self.targets.load();
        if let Some(target) = self.take_open(&targets, request, false) {
            return Some(target);
        }
        // What the others said they have in flight is some runs old by now. Slots come free at a
        // known pace, though, and a worker that is full after all says so at little cost.
        if !self.may_try(&targets) {
            return None;
        }
        self.take_open(&targets, request, true)
    }

    /// Whether enough time has passed for a slot to have come free unseen.
    fn may_try(&self, targets: &[Arc<PoolTarget>]) -> bool {
        let slots: u64 = targets.iter().map(|target| u64::from(target.route.slots)).sum();
        let pace = self.run_us.load(Ordering::Acquire) / slots.max(1);
        let now = u64::try_from(self.clock.steady().as_micros()).unwrap_or(u64::MAX);
        let next = self.next_try_us.load(Ordering::Acquire);
        let taken = self.next_try_us.compare_exchange(
            next,
            now + pace,
            Ordering::AcqRel,
            Ordering::Acquire,
        );
        next <= now && taken.is_ok()
    }

    fn take_open(
        &self,
        targets: &[Arc<PoolTarget>],
        request: &GateRequest,
        is_try: bool,
    ) -> Option<Arc<PoolTarget>> {
        let mut shut: Vec<bool> =
            targets.iter().map(|target| request.avoid.contains(&target.route.vm)).collect();
        // All workers have failed it: rather one of them than none.
        if shut.iter().all(|shut| *shut) {
            shut.fill(false);
        }
        loop {
            let open = self.open_targets(targets, request, &shut, is_try);
            let views: Vec<SlotView> = open.iter().map(|index| targets[*index].view()).collect();
            let chosen = open[self.policy.pick(&views, &mut rand::rng())?];
            let target = &targets[chosen];
            if target.try_enter(self.limit(target, request.class, is_try)) {
                return Some(target.clone());
            }
            // Somebody else was faster, or it was closed.
            shut[chosen] = true;
        }
    }

    fn open_targets(
        &self,
        targets: &[Arc<PoolTarget>],
        request: &GateRequest,
        shut: &[bool],
        is_try: bool,
    ) -> Vec<usize> {
        let now = self.clock.steady();
        let is_open = |index: &usize| {
            let target = &targets[*index];
            !shut[*index]
                && target.slots_taken() < self.limit(target, request.class, is_try)
                && target.busy_until_ms.load(Ordering::Acquire) <= millis(now)
                && may_take(target, request, now)
        };
        (0..targets.len()).filter(is_open).collect()
    }

    fn limit(&self, target: &PoolTarget, class: WorkClass, is_try: bool) -> u32 {
        let view = target.view();
        let limit = match is_try {
            true => self.policy.probe_limit(&view),
            false => self.policy.limit(&view, self.entries.load(Ordering::Acquire)),
        };
        match class {
            WorkClass::Urgent | WorkClass::Quick => limit,
            // Batch work runs long; were it to fill every slot, quick work would wait for its end.
            WorkClass::Batch => limit - (limit / BATCH_LEAVES),
        }
    }
}

fn may_take(target: &PoolTarget, request: &GateRequest, now: Duration) -> bool {
    match target.lock_health().status(now) {
        HealthStatus::Healthy => true,
        HealthStatus::Ejected { .. } => false,
        HealthStatus::OnProbation => request.idempotent && target.in_flight() == 0,
    }
}

impl WaitQueue {
    /// Classes in the order in which they get the next place.
    fn order(&self) -> [usize; 3] {
        if self.since_batch >= BATCH_TURN { [0, 2, 1] } else { [0, 1, 2] }
    }

    fn note_turn(&mut self, class: usize) {
        let batch = class == WorkClass::Batch.index();
        self.since_batch = if batch { 0 } else { self.since_batch.saturating_add(1) };
    }
}
