//! Lanes: the queues and tasks that carry commands and lease renewals to each worker.
//!
//! Each worker has four tasks. One renews its leases, one sends its stops, several at a time, one
//! sends its throttles, one after the other, and one its starts, several at a time if the
//! worker answers ([`StartWindow`]). Starts may wait for the command window, and starts and throttles
//! may wait for a worker that does not answer; a stop queued behind them would come too late for a
//! cancelled job. A stop may overtake the start of its run: the worker refuses a run that it was
//! told to stop.
//!
//! A lane outlives what was known of its worker when the lane was opened. Each command therefore
//! goes to the address that the scheduler has at the time of sending, and is not sent if there is
//! none.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, timeout};

use crate::decide::window::{ByteBudget, StartBudget, StartWindow};
use crate::jobs::delegate::{StartDelegate, StartOrder};
use crate::jobs::flow::{CommandFlow, FlowPermit};
use crate::jobs::metrics::count;
use crate::jobs::model::TaskKey;
use crate::jobs::node::JobNode;
use crate::jobs::ports::{
    CommandOutcome, RenewCall, RunCall, StartCall, WorkerClient, WorkerReport, WorkerTarget,
    start_label,
};
use crate::scheduler::renewals::RenewPlan;
use crate::scheduler::runs::RunCommand;

/// Timeout of a stop: where answers wait in a queue of this entry, a shorter timeout would give the
/// stop up before it is sent, again and again.
const STOP_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of stops in flight to one worker.
const STOPS_MAX: usize = 8;
/// Time for which a stop or start waits for the answers to earlier ones: where answers come at once,
/// they share a connection.
const STAGGER: Duration = Duration::from_millis(20);
/// Maximum number of timed-out renewals of one worker whose answers are still awaited.
const LATE_READS_MAX: usize = 2;
/// Divisor of the link's rate that gives the share of starts sent by the leader itself while other
/// entries can send them: renewals and the log need the rest.
const DIRECT_LINK_DIVISOR: u64 = 8;
/// Maximum time for which a start waits for an executor while none has capacity: as long as an
/// executor that did not answer is passed over.
const EXECUTOR_WAIT_MAX: Duration = Duration::from_millis(1_500);
/// Longest time between two checks whether an executor has capacity: the window of the leader's own
/// starts may open as well.
const EXECUTOR_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Size of a start on the wire without the text of its job, in bytes.
const START_BYTES: usize = 400;

/// A command for the lane of a worker.
#[derive(Clone, Copy, Debug)]
pub enum LaneCommand {
    /// Start or stop of a run, whichever it needs when the command is sent.
    Run(TaskKey, u32),
    /// Stop of a run that the leader does not track.
    Stop(RunCall),
    /// Throttle of a run to a share of its speed, in percent.
    Throttle(RunCall, u32),
}

/// A queued stop.
#[derive(Clone, Copy, Debug)]
enum StopOrder {
    /// A run known to the leader, stopped only if it still needs to be at the time of sending.
    Tracked(TaskKey, u32),
    /// A run that the leader does not track.
    Untracked(RunCall),
}

impl StopOrder {
    fn key(&self) -> (TaskKey, u32) {
        match self {
            StopOrder::Tracked(task, run) => (*task, *run),
            StopOrder::Untracked(call) => (call.task, call.run),
        }
    }
}

/// Queue of the stops of a worker, without duplicates.
#[derive(Clone)]
struct StopQueue {
    orders: mpsc::UnboundedSender<StopOrder>,
    pending_stops: PendingRuns,
}

impl StopQueue {
    fn push(&self, order: StopOrder) {
        if self.pending_stops.insert(order.key()) {
            // Fails only if the lane has ended with its worker, whose runs have then ended too.
            let _ = self.orders.send(order);
        }
    }
}

/// Runs with a command of one kind that is queued or in flight: repeating it would have no effect.
#[derive(Clone, Default)]
struct PendingRuns(Arc<Mutex<BTreeSet<(TaskKey, u32)>>>);

impl PendingRuns {
    fn insert(&self, key: (TaskKey, u32)) -> bool {
        self.lock().insert(key)
    }

    fn remove(&self, key: (TaskKey, u32)) {
        self.lock().remove(&key);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeSet<(TaskKey, u32)>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Window of the starts of a worker, for the tasks that call it.
#[derive(Clone, Default)]
struct SharedWindow(Arc<Mutex<StartWindow>>);

impl SharedWindow {
    fn size(&self) -> usize {
        self.lock().size()
    }

    fn record_end(&self, is_answered: bool) {
        self.lock().record_end(is_answered);
    }

    fn lock(&self) -> MutexGuard<'_, StartWindow> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Route of a start to its worker.
enum StartRoute<'a> {
    Direct(FlowPermit<'a>),
    Delegated,
}

/// Handles to the tasks of a worker.
#[derive(Clone)]
struct WorkerLane {
    wake: Arc<Notify>,
    stops: StopQueue,
    throttles: mpsc::UnboundedSender<(RunCall, u32)>,
    starts: mpsc::UnboundedSender<(TaskKey, u32)>,
    /// Runs whose start is queued or in flight.
    pending_starts: PendingRuns,
    renewal_task: AbortHandle,
}

/// The lanes of all workers.
pub struct WorkerLanes<W> {
    node: Arc<JobNode>,
    workers: W,
    lanes: Mutex<HashMap<Arc<str>, WorkerLane>>,
    flow: CommandFlow,
    /// Budget of the bytes of starts that the leader sends itself while there are executors.
    direct_bytes: Mutex<ByteBudget>,
    /// Budget of the processor time that they take.
    direct_starts: Mutex<StartBudget>,
    /// Starts that go to executors.
    orders: mpsc::UnboundedSender<StartOrder>,
}

impl<W: WorkerClient> WorkerLanes<W> {
    /// Creates the set without any lane, and the delegate for starts that go through executors,
    /// which is to run concurrently.
    pub fn open(node: Arc<JobNode>, workers: W) -> (Arc<WorkerLanes<W>>, StartDelegate) {
        let (delegate, orders) = StartDelegate::open(node.clone());
        let direct_bytes =
            Mutex::new(ByteBudget::with_rate(node.settings.link / DIRECT_LINK_DIVISOR));
        let direct_starts = Mutex::new(StartBudget::with_processor(node.settings.processor));
        node.executors().begin_term();
        let lanes = WorkerLanes {
            node,
            workers,
            lanes: Mutex::new(HashMap::new()),
            flow: CommandFlow::default(),
            direct_bytes,
            direct_starts,
            orders,
        };
        (Arc::new(lanes), delegate)
    }

    /// Flow control of the commands.
    pub fn flow(&self) -> &CommandFlow {
        &self.flow
    }

    /// Starts renewing the leases of a worker, in `tasks`.
    pub fn watch(self: &Arc<Self>, target: &WorkerTarget, tasks: &mut JoinSet<()>) {
        self.lane(target, tasks).wake.notify_one();
    }

    /// Wakes the renewal task of a worker, so that it renews the leases at once.
    pub fn wake(&self, worker: &str) {
        if let Some(lane) = self.lock().get(worker) {
            lane.wake.notify_one();
        }
    }

    /// Cancels the renewal in flight to a worker's incarnation, with everything that waits for its
    /// answer. The next incarnation of the same worker would take the renewal for its own, and
    /// forget exits by the numbers of the previous incarnation.
    pub fn forget(&self, worker: &str) {
        if let Some(lane) = self.lock().remove(worker) {
            lane.renewal_task.abort();
        }
    }

    /// Queues a command in the lane of a worker, whose tasks run in `tasks`. A start or stop that
    /// is queued or in flight is not queued again.
    pub fn send(
        self: &Arc<Self>,
        target: &WorkerTarget,
        command: LaneCommand,
        tasks: &mut JoinSet<()>,
    ) {
        let lane = self.lane(target, tasks);
        // Sending fails only if the lane has ended with its worker, whose runs have then ended too.
        match command {
            LaneCommand::Run(task, run) if self.is_starting(&task, run) => {
                if lane.pending_starts.insert((task, run)) {
                    let _ = lane.starts.send((task, run));
                }
            }
            LaneCommand::Run(task, run) => lane.stops.push(StopOrder::Tracked(task, run)),
            LaneCommand::Stop(call) => lane.stops.push(StopOrder::Untracked(call)),
            LaneCommand::Throttle(call, percent) => {
                let _ = lane.throttles.send((call, percent));
            }
        }
    }

    fn is_starting(&self, task: &TaskKey, run: u32) -> bool {
        let is_starting = self.node.with_scheduler(|scheduler| scheduler.is_starting(task, run));
        is_starting.unwrap_or(false)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, WorkerLane>> {
        self.lanes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the lane of a worker; opens it and spawns its tasks if there is none.
    fn lane(self: &Arc<Self>, target: &WorkerTarget, tasks: &mut JoinSet<()>) -> WorkerLane {
        let mut lanes = self.lock();
        if let Some(lane) = lanes.get(&target.id) {
            return lane.clone();
        }
        let (orders, stop_orders) = mpsc::unbounded_channel();
        let stops = StopQueue { orders, pending_stops: PendingRuns::default() };
        let (throttles, throttle_orders) = mpsc::unbounded_channel();
        let (starts, start_orders) = mpsc::unbounded_channel();
        let pending_starts = PendingRuns::default();
        let (id, wake) = (target.id.clone(), Arc::new(Notify::new()));
        let window = SharedWindow::default();
        let renewal_task =
            tasks.spawn(self.clone().renew(id.clone(), wake.clone(), window.clone()));
        tasks.spawn(self.clone().send_stops(id.clone(), stop_orders, stops.pending_stops.clone()));
        tasks.spawn(self.clone().send_throttles(id.clone(), throttle_orders));
        let starts_task = self.clone().send_starts(
            id.clone(),
            start_orders,
            pending_starts.clone(),
            stops.clone(),
            window,
        );
        tasks.spawn(starts_task);
        let lane = WorkerLane { wake, stops, throttles, starts, pending_starts, renewal_task };
        lanes.insert(id, lane.clone());
        lane
    }

    /// Sends the stops of a worker, at most [`STOPS_MAX`] at a time.
    async fn send_stops(
        self: Arc<Self>,
        id: Arc<str>,
        mut orders: mpsc::UnboundedReceiver<StopOrder>,
        pending_stops: PendingRuns,
    ) {
        let mut stops = JoinSet::new();
        while let Some(order) = orders.recv().await {
            while stops.try_join_next().is_some() {}
            if !stops.is_empty() {
                // An answer or the timeout ends the wait.
                let _ = timeout(STAGGER, stops.join_next()).await;
            }
            while stops.len() >= STOPS_MAX {
                stops.join_next().await;
            }
            let Some((target, call)) = self.stop_call(&id, order) else {
                pending_stops.remove(order.key());
                continue;
            };
            let (lanes, pending_stops) = (self.clone(), pending_stops.clone());
            stops.spawn(async move {
                lanes.send_stop(&target, &call).await;
                pending_stops.remove(order.key());
            });
        }
        while stops.join_next().await.is_some() {}
    }

    /// Returns the call that stops a run, if the run is still to be stopped and its worker has an
    /// address.
    fn stop_call(&self, id: &Arc<str>, order: StopOrder) -> Option<(WorkerTarget, RunCall)> {
        match order {
            StopOrder::Tracked(task, run) => match self.command(id, &task, run)? {
                (target, RunCommand::Stop(call)) => Some((target, call)),
                (_, RunCommand::Start(_)) => None,
            },
            StopOrder::Untracked(call) => Some((self.target(id)?, call)),
        }
    }

    /// Sends the throttles of a worker one after the other: an earlier share must not overtake a
    /// later one.
    async fn send_throttles(
        self: Arc<Self>,
        id: Arc<str>,
        mut throttles: mpsc::UnboundedReceiver<(RunCall, u32)>,
    ) {
        while let Some((call, percent)) = throttles.recv().await {
            let Some(target) = self.target(&id) else { continue };
            let call_timeout = self.node.command_timeout().timeout();
            let outcome = self.workers.throttle(&target, &call, percent, call_timeout).await;
            let is_done = matches!(outcome, CommandOutcome::Done(_));
            self.node.with_scheduler(|scheduler| scheduler.handle_throttle_outcome(&call, is_done));
            self.node.wake.notify_one();
        }
    }

    /// Sends the starts of a worker, directly or through an executor, each once the one before it has
    /// gone out.
    async fn send_starts(
        self: Arc<Self>,
        id: Arc<str>,
        mut starts: mpsc::UnboundedReceiver<(TaskKey, u32)>,
        pending_starts: PendingRuns,
        stops: StopQueue,
        window: SharedWindow,
    ) {
        let mut sends = JoinSet::new();
        while let Some((task, run)) = starts.recv().await {
            while sends.try_join_next().is_some() {}
            if !sends.is_empty() {
                // An answer or the timeout ends the wait.
                let _ = timeout(STAGGER, sends.join_next()).await;
            }
            while sends.len() >= window.size() {
                sends.join_next().await;
            }
            let (leaving, left) = oneshot::channel();
            let (lanes, id, window) = (self.clone(), id.clone(), window.clone());
            let (pending_starts, stops) = (pending_starts.clone(), stops.clone());
            sends.spawn(async move {
                let is_due = lanes.is_starting(&task, run);
                if is_due {
                    let sent = lanes.send_pending_start(&id, &stops, &task, run, leaving).await;
                    sent.into_iter().for_each(|is_answered| window.record_end(is_answered));
                }
                // Must precede the wake-up of the scheduler, which may issue the same start again at
                // once.
                pending_starts.remove((task, run));
                if is_due {
                    lanes.node.wake.notify_one();
                }
            });
            // Ends once the start has left, or is not sent at all.
            let _ = left.await;
        }
        while sends.join_next().await.is_some() {}
    }

    /// Returns the current address of a worker.
    fn target(&self, id: &str) -> Option<WorkerTarget> {
        self.node.with_scheduler(|scheduler| scheduler.target_of(id)).flatten()
    }

    /// Returns the command that a run needs now, and its worker.
    fn command(&self, id: &str, task: &TaskKey, run: u32) -> Option<(WorkerTarget, RunCommand)> {
        let now = self.node.now();
        let command = self.node.with_scheduler(|scheduler| {
            let target = scheduler.target_of(id)?;
            Some((target, scheduler.command(task, run, now)?))
        });
        command.flatten()
    }

    /// Sends a start once there is capacity for it, if it is still due then, and drops `leaving` as it
    /// leaves. If the run is to be stopped by then, queues the stop. Returns whether the worker
    /// answered; `None` if it was not sent from here.
    async fn send_pending_start(
        &self,
        id: &str,
        stops: &StopQueue,
        task: &TaskKey,
        run: u32,
        leaving: oneshot::Sender<()>,
    ) -> Option<bool> {
        let route = self.start_route().await;
        match (self.command(id, task, run), route) {
            (Some((target, RunCommand::Start(call))), StartRoute::Direct(permit)) => {
                self.direct_bytes().charge(call.payload.len() + START_BYTES);
                self.direct_starts().charge_start();
                drop(leaving);
                let is_answered = self.send_start(&target, &call).await;
                permit.end(is_answered, self.node.now());
                return Some(is_answered);
            }
            (Some((target, RunCommand::Start(call))), StartRoute::Delegated) => {
                self.flow.record_delegated(self.node.now());
                self.delegate(&target, call);
            }
            (Some((_, RunCommand::Stop(_))), route) => {
                stops.push(StopOrder::Tracked(*task, run));
                self.give_back(&route);
            }
            (None, route) => self.give_back(&route),
        }
        None
    }

    /// Gives back the capacity of a start that is not sent.
    fn give_back(&self, route: &StartRoute<'_>) {
        if let StartRoute::Delegated = route {
            self.node.executors().release(1);
            self.node.executor_freed.notify_one();
        }
    }

    /// Chooses the route of the next start: direct while this entry's link, its processor and the
    /// command window have spare capacity, otherwise through an executor. Without any executor the
    /// start waits for the window. The processor alone makes no start wait.
    ///
    /// While all executors are full or did not answer recently, the start waits for them, for
    /// [`EXECUTOR_WAIT_MAX`] at most: this entry's link may be the reason why they did not answer,
    /// and direct starts would load it further.
    async fn start_route(&self) -> StartRoute<'_> {
        let wait_started = Instant::now();
        loop {
            let now = self.node.now();
            let has_bytes = self.direct_bytes().has_capacity(now);
            let has_processor = self.direct_starts().has_capacity(now);
            let permit = if has_bytes { self.flow.try_acquire() } else { None };
            if has_processor && let Some(permit) = permit {
                return StartRoute::Direct(permit);
            }
            if self.node.executors().reserve(now) {
                return StartRoute::Delegated;
            }
            if let Some(permit) = permit {
                return StartRoute::Direct(permit);
            }
            let has_no_executors = !self.node.executors().has_live_offers(now);
            if has_no_executors || wait_started.elapsed() >= EXECUTOR_WAIT_MAX {
                return StartRoute::Direct(self.flow.acquire(|| self.node.now()).await);
            }
            let freed = self.node.executor_freed.notified();
            // Whether it was woken or not, it looks again.
            let _ = timeout(EXECUTOR_POLL_INTERVAL, freed).await;
        }
    }

    fn delegate(&self, target: &WorkerTarget, call: StartCall) {
        let centre = self.node.with_scheduler(|scheduler| scheduler.centre_of(&target.id));
        let centre = centre.flatten().unwrap_or_default();
        // Cannot fail: the delegate runs as long as this leadership.
        let _ = self.orders.send(StartOrder { target: target.clone(), centre, call });
    }

    fn direct_starts(&self) -> MutexGuard<'_, StartBudget> {
        self.direct_starts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn direct_bytes(&self) -> MutexGuard<'_, ByteBudget> {
        self.direct_bytes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a start directly and reports its outcome to the scheduler. Returns whether it was
    /// answered.
    async fn send_start(&self, target: &WorkerTarget, call: &StartCall) -> bool {
        let (call_timeout, sent) = (self.node.command_timeout().timeout(), Instant::now());
        let outcome = self.workers.start(target, call, call_timeout).await;
        let is_answered = outcome != CommandOutcome::Unknown;
        self.node.command_timeout().record_outcome(sent.elapsed(), is_answered);
        count(&self.node.metrics.starts, start_label(&outcome));
        let now = self.node.now();
        self.node.with_scheduler(|scheduler| {
            scheduler.handle_start_outcome(&target.id, &call.task, call.run, &outcome, now);
        });
        is_answered
    }

    async fn send_stop(&self, target: &WorkerTarget, call: &RunCall) {
        let outcome = self.workers.stop(target, call, STOP_TIMEOUT).await;
        let now = self.node.now();
        self.node.with_scheduler(|scheduler| {
            scheduler.handle_stop_outcome(&target.id, &call.task, call.run, &outcome, now);
        });
        self.node.wake.notify_one();
    }

    /// Renews the leases of a worker until its incarnation has ended or it is no longer listed.
    async fn renew(self: Arc<Self>, id: Arc<str>, wake: Arc<Notify>, window: SharedWindow) {
        // Renewals that timed out and are still awaited; dropped when this task ends.
        let mut late_answers = JoinSet::new();
        loop {
            let now = self.node.now();
            let plan = self.node.with_scheduler(|scheduler| scheduler.renew_plan(&id, now));
            match plan {
                None | Some(RenewPlan::Stop) => break,
                Some(RenewPlan::Wait(wait)) => {
                    // A wake-up or the timeout ends the wait.
                    let _ = timeout(wait, wake.notified()).await;
                }
                Some(RenewPlan::Call(target, call, call_timeout)) => {
                    let sent_ms = self.node.now();
                    let workers = self.workers.clone();
                    let mut answer =
                        Box::pin(async move { workers.renew(&target, &call, call_timeout).await });
                    let outcome = timeout(call_timeout + call.wait, &mut answer).await;
                    self.node.metrics.renewals.inc();
                    let is_late = outcome.is_err();
                    let outcome = outcome.unwrap_or(CommandOutcome::Unknown);
                    window.record_end(outcome != CommandOutcome::Unknown);
                    let now = self.node.now();
                    self.node.with_scheduler(|scheduler| {
                        scheduler.handle_renewal_outcome(&id, &call, outcome, sent_ms, now);
                    });
                    self.node.wake.notify_one();
                    while late_answers.try_join_next().is_some() {}
                    if is_late && late_answers.len() < LATE_READS_MAX {
                        let (lanes, id) = (self.clone(), id.clone());
                        late_answers.spawn(async move {
                            lanes.record_late_answer(&id, &call, answer.await, sent_ms);
                        });
                    }
                }
            }
        }
        self.lock().remove(&id);
    }

    /// Reports an answer to a renewal that came after its timeout to the scheduler.
    fn record_late_answer(
        &self,
        id: &Arc<str>,
        call: &RenewCall,
        outcome: CommandOutcome<WorkerReport>,
        sent_ms: u64,
    ) {
        let CommandOutcome::Done(report) = outcome else { return };
        self.node.metrics.late_answers.inc();
        let now = self.node.now();
        self.node.with_scheduler(|scheduler| {
            scheduler.handle_late_renewal(id, call, report, sent_ms, now);
        });
        self.node.wake.notify_one();
    }
}
