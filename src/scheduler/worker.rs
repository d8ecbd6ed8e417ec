//! The leader's view of one incarnation of a worker: the runs placed on it, how long its leases may
//! last, and whether it works.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::jobs::model::{JobId, ResourceVector, TaskKey};
use crate::jobs::ports::{CommandRefusal, WorkerTarget};
use crate::jobs::site::WorkerEntry;
use crate::jobs::timeout_estimator::TimeoutEstimator;
use crate::scheduler::LEASE_SLACK_MS;
use crate::scheduler::losses::CRASH_WINDOW_MS;
use crate::scheduler::renewals::{ANSWER_AGE_MAX_MS, ANSWER_MARGIN, RENEW_TIMEOUT_MAX};

/// Most by which a worker's clock may be slow, in percent, as the platform states it.
const CLOCK_DRIFT_PERCENT: u64 = 2;
/// Margin added to every bound on a lease, in milliseconds: the worker's own timers and its kill
/// take a while.
const LEASE_MARGIN_MS: u64 = 100;
/// Latest outcomes by which a worker is judged.
const OUTCOMES_KEPT: usize = 8;
/// Failures among these from which a worker is suspended: one task that always fails must not
/// suffice.
const FAILURES_MIN: usize = 3;
/// First suspension of a failing worker, in milliseconds: about the run time of one task.
const SUSPENSION_MS: u64 = 1_500;
/// Time for which a worker that refused a start for lack of capacity gets no other, in
/// milliseconds: one or two reports.
const FULL_PAUSE_MS: u64 = 300;
/// Time for which a worker that refused a start is ranked after the others, in milliseconds.
const REFUSAL_AGE_MS: u64 = 8_000;
/// Longest suspension, in milliseconds, so that a recovered worker comes back.
const SUSPENSION_MAX_MS: u64 = 8_000;

/// Reading of a worker's clock, and when it was received.
#[derive(Clone, Copy, Debug)]
struct ClockSample {
    worker_ms: u64,
    received_ms: u64,
}

impl ClockSample {
    /// Least reading of the worker's clock at a later local time: it was read before `received_ms`,
    /// and may be slow.
    fn min_reading_at(self, ms: u64) -> u64 {
        let since = ms.saturating_sub(self.received_ms);
        self.worker_ms + since * (100 - CLOCK_DRIFT_PERCENT) / 100
    }

    /// Latest local time at which the worker's clock reaches `worker_ms`.
    fn latest_local_ms(self, worker_ms: u64) -> u64 {
        let length = worker_ms.saturating_sub(self.worker_ms) * 100 / (100 - CLOCK_DRIFT_PERCENT);
        self.received_ms + length + LEASE_MARGIN_MS
    }

    /// End of a lease that lasts `lease_ms` from now, limited to the longest lease on a slow clock:
    /// the worker would shorten a longer one only when it arrives.
    fn lease_end(self, lease_ms: u64, now: u64) -> u64 {
        let end = self.worker_ms + now.saturating_sub(self.received_ms) + lease_ms;
        end.min(self.min_reading_at(now) + lease_ms + LEASE_SLACK_MS)
    }
}

/// Time over which a worker has reported a run, by the worker's clock: answers can be late, but
/// that clock is not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkSpan {
    begun_ms: Option<u64>,
    seen_ms: u64,
}

impl WorkSpan {
    /// Records that the worker reported the run at this time of its clock.
    pub fn observe(&mut self, clock_ms: u64) {
        let begun = *self.begun_ms.get_or_insert(clock_ms);
        self.seen_ms = self.seen_ms.max(clock_ms).max(begun);
    }

    /// Time from the first to the last report of the run, in milliseconds; `None` if there was
    /// none.
    pub fn length_ms(&self) -> Option<u64> {
        self.begun_ms.map(|begun| self.seen_ms - begun)
    }
}

/// How far a start must be kept apart from suspects, tasks that may crash their workers. Applies
/// beside the check of capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IsolationRule {
    /// On workers without an exclusive probation.
    Normal,
    /// On probation, by the job of the suspect: nothing else may be just starting on the worker,
    /// and nothing else starts there until the probation is over.
    Exclusive(JobId),
    /// On workers where every other suspect has been at work for at least this many milliseconds.
    ApartFromSuspects(u64),
    /// On any worker with capacity.
    Unrestricted,
}

impl IsolationRule {
    /// Whether the start is that of a suspect, or may be beside one.
    pub fn is_near_suspect(self) -> bool {
        self != IsolationRule::Normal
    }

    /// Whether other tasks may start beside the suspect during its probation.
    pub fn is_shared(self) -> bool {
        matches!(self, IsolationRule::ApartFromSuspects(_) | IsolationRule::Unrestricted)
    }
}

/// A run on a worker and the resources allocated to it.
#[derive(Clone, Copy, Debug)]
pub struct PlacedRun {
    /// Allocated resources.
    pub need: ResourceVector,
    /// Time over which the worker has reported it.
    pub span: WorkSpan,
    /// Time at work until which nothing else starts beside it, in milliseconds; 0 if it is no
    /// suspect.
    pub probation_ms: u64,
    /// Whether other tasks may start beside it during its probation.
    pub is_shared: bool,
    /// Workers that its task had lost before this run.
    pub losses: u32,
    /// Whether it uses only processor time that others leave free.
    pub is_best_effort: bool,
    /// Whether it lasts until it is cancelled.
    pub is_service: bool,
}

impl PlacedRun {
    /// Whether the worker has reported it for at least `ms` milliseconds.
    pub fn has_worked(&self, ms: u64) -> bool {
        self.span.length_ms().is_some_and(|length| length >= ms)
    }

    /// Whether it may still crash its worker, as earlier runs of its task did.
    pub fn is_on_probation(&self) -> bool {
        self.probation_ms > 0 && !self.has_worked(self.probation_ms)
    }

    /// Whether it is a service that has run for at least the first suspension of a worker: it says
    /// nothing about starts on the worker now.
    fn is_settled_service(&self) -> bool {
        self.is_service && self.has_worked(SUSPENSION_MS)
    }

    /// Whether it is a suspect that has been at work for less than `proof_ms`.
    fn is_new_suspect(&self, proof_ms: u64) -> bool {
        self.probation_ms > 0 && !self.has_worked(proof_ms)
    }

    /// Whether its start can no longer be the cause if the worker crashes.
    pub fn has_settled(&self) -> bool {
        self.has_worked(CRASH_WINDOW_MS) && !self.is_on_probation()
    }
}

/// State of one incarnation of a worker.
#[derive(Clone, Debug)]
pub struct WorkerState {
    /// Its newest report of itself.
    pub entry: WorkerEntry,
    /// VM that it runs on, once the VM list has shown it.
    pub vm: Option<Arc<str>>,
    /// When it was first seen draining, in milliseconds.
    pub draining_since_ms: Option<u64>,
    /// Whether its entry is listed; a worker without an entry may still run.
    pub is_listed: bool,
    /// Whether it has answered a call with this leader's fencing token.
    pub has_accepted_token: bool,
    /// When it first did, in milliseconds: commands of earlier leaders count only if they came
    /// before.
    pub token_accepted_ms: u64,
    /// When it stopped answering, in milliseconds; `None` while it answers.
    pub silent_since_ms: Option<u64>,
    /// Exits up to this number have been processed.
    pub exits_seen: u64,
    /// Exits up to this number are on the log.
    pub exits_committed: u64,
    /// Exits up to this number were acknowledged to the worker.
    pub exits_acknowledged: u64,
    /// First exit that must never be acknowledged.
    withheld_from: Option<u64>,
    /// When its last report was received, in milliseconds.
    pub report_ms: u64,
    /// When an answer of it last came after its timeout, in milliseconds.
    pub late_answer_ms: Option<u64>,
    /// Times that its answers to renewals take beyond the wait.
    answers: TimeoutEstimator,
    /// Earliest time of the next renewal, in milliseconds.
    pub next_renewal_ms: u64,
    /// Time until which it gets no start because it reported a lack of capacity, in milliseconds.
    full_until_ms: u64,
    /// When it last refused a start that other workers may accept, in milliseconds; `None` once it
    /// has begun another.
    pub last_refusal_ms: Option<u64>,
    /// Whether it is kept free of new work for maintenance or a move to another pool.
    pub is_reserved: bool,
    /// Time since which no run is placed on it, in milliseconds.
    pub idle_since_ms: u64,
    /// Runs placed on it, by task and run number.
    pub runs: BTreeMap<(TaskKey, u32), PlacedRun>,
    /// Second runs of tasks that it lists and that were reported already.
    pub second_runs: BTreeSet<(TaskKey, u32)>,
    used: ResourceVector,
    /// Number of its runs that are services.
    services: usize,
    /// Number of its runs that are suspects, on probation or past it.
    suspects: usize,
    clock: Option<ClockSample>,
    lease_bound_ms: u64,
    /// End of the longest lease that was requested, by the worker's clock.
    requested_lease_end_ms: u64,
    /// End of the longest lease that a renewal is known to have granted, by the worker's clock.
    confirmed_lease_end_ms: u64,
    outcomes: VecDeque<bool>,
    suspended_until_ms: u64,
    suspension_ms: u64,
    is_on_trial: bool,
}

impl WorkerState {
    /// A worker of which only its entry is known. Runs on it may last until `lease_bound_ms`.
    pub fn new(entry: WorkerEntry, lease_bound_ms: u64, now: u64) -> WorkerState {
        WorkerState {
            draining_since_ms: entry.is_draining.then_some(now),
            entry,
            vm: None,
            is_listed: true,
            has_accepted_token: false,
            token_accepted_ms: 0,
            silent_since_ms: None,
            exits_seen: 0,
            exits_committed: 0,
            exits_acknowledged: 0,
            withheld_from: None,
            report_ms: 0,
            late_answer_ms: None,
            answers: TimeoutEstimator::new(RENEW_TIMEOUT_MAX),
            next_renewal_ms: 0,
            full_until_ms: 0,
            last_refusal_ms: None,
            is_reserved: false,
            idle_since_ms: now,
            runs: BTreeMap::new(),
            second_runs: BTreeSet::new(),
            used: ResourceVector::default(),
            services: 0,
            suspects: 0,
            clock: None,
            lease_bound_ms,
            requested_lease_end_ms: 0,
            confirmed_lease_end_ms: 0,
            outcomes: VecDeque::new(),
            suspended_until_ms: 0,
            suspension_ms: SUSPENSION_MS,
            is_on_trial: false,
        }
    }

    /// A worker that is known only from the log.
    pub fn unlisted(id: Arc<str>, lease_bound_ms: u64, now: u64) -> WorkerState {
        let entry = WorkerEntry {
            id,
            service: "".into(),
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            centre: "".into(),
            is_draining: true,
            drain_left_ms: 0,
            capacity: ResourceVector::default(),
            labels: Vec::new(),
        };
        let worker = WorkerState::new(entry, lease_bound_ms, now);
        // Its entry says that it is draining, but it is not known to have left of its own accord.
        WorkerState {
            is_listed: false,
            silent_since_ms: Some(now),
            draining_since_ms: None,
            ..worker
        }
    }

    /// Id and address by which calls reach this incarnation.
    pub fn target(&self) -> WorkerTarget {
        WorkerTarget { id: self.entry.id.clone(), address: self.entry.address }
    }

    /// Whether its address is known.
    pub fn has_address(&self) -> bool {
        self.entry.address.port() != 0
    }

    /// Whether stops may be sent to it. A worker that is neither listed nor answers is gone, or its
    /// leases run out.
    pub fn may_take_stops(&self) -> bool {
        self.has_address() && (self.is_listed || self.silent_since_ms.is_none())
    }

    /// Adds a run and allocates its resources.
    pub fn add_run(&mut self, key: (TaskKey, u32), run: PlacedRun) {
        match self.runs.insert(key, run) {
            None => self.used.add(&run.need),
            Some(previous) => self.discount(&previous),
        }
        self.services += usize::from(run.is_service);
        self.suspects += usize::from(run.probation_ms > 0);
    }

    /// Records that the worker reported a run at this time of its clock.
    pub fn observe_run(&mut self, key: &(TaskKey, u32), clock_ms: u64) {
        if let Some(run) = self.runs.get_mut(key) {
            run.span.observe(clock_ms);
        }
    }

    /// Whether the start of a run can no longer be the cause if the worker crashes; false for an
    /// unknown run.
    pub fn has_settled(&self, key: &(TaskKey, u32)) -> bool {
        self.runs.get(key).is_some_and(PlacedRun::has_settled)
    }

    /// Removes a run and frees its resources; returns whether it was there.
    pub fn remove_run(&mut self, key: &(TaskKey, u32), now: u64) -> bool {
        let Some(run) = self.runs.remove(key) else { return false };
        self.used = self.used.saturating_sub(&run.need);
        self.discount(&run);
        if self.runs.is_empty() {
            self.idle_since_ms = now;
        }
        true
    }

    fn discount(&mut self, run: &PlacedRun) {
        self.services -= usize::from(run.is_service);
        self.suspects -= usize::from(run.probation_ms > 0);
    }

    /// Whether a service runs there.
    pub fn has_service(&self) -> bool {
        self.services > 0
    }

    /// Resources allocated to its runs.
    pub fn used(&self) -> &ResourceVector {
        &self.used
    }

    /// Resources that are not allocated.
    pub fn free(&self) -> ResourceVector {
        self.entry.capacity.saturating_sub(&self.used)
    }

    /// Whether the allocated resources fit the worker's capacity, which may have shrunk below them.
    pub fn is_within_capacity(&self) -> bool {
        self.entry.capacity.covers(&self.used)
    }

    /// Number up to which exits may be acknowledged: the log has them, and none of them is
    /// withheld.
    pub fn exits_acknowledgeable(&self) -> u64 {
        let bound = self.withheld_from.map_or(u64::MAX, |first| first.saturating_sub(1));
        self.exits_committed.min(bound)
    }

    /// Withholds the acknowledgement of this exit and all after it; returns whether none was
    /// withheld before.
    pub fn withhold_exits_from(&mut self, number: u64) -> bool {
        let is_new = self.withheld_from.is_none();
        self.withheld_from = Some(self.withheld_from.map_or(number, |first| first.min(number)));
        is_new
    }

    /// Whether it lists an exit that must never be acknowledged.
    pub fn has_withheld_exit(&self) -> bool {
        self.withheld_from.is_some()
    }

    /// Records that it has answered a renewal that asked for this wait. An answer within the wait
    /// brought an exit and says nothing about the path.
    pub fn record_answer(&mut self, elapsed: Duration, wait: Duration) {
        if let Some(beyond) = elapsed.checked_sub(wait) {
            self.answers.record_answer(beyond);
        }
    }

    /// Time for its answer beyond the wait of a renewal, by its earlier answers; `None` before the
    /// first.
    pub fn answer_timeout(&self) -> Option<Duration> {
        self.answers.response_time()?;
        Some((self.answers.timeout() + ANSWER_MARGIN).min(RENEW_TIMEOUT_MAX))
    }

    /// Whether starts may be sent to it.
    pub fn may_take_starts(&self, now: u64) -> bool {
        self.is_available(now) && !self.has_probation()
    }

    /// Whether a task may start there under this isolation rule.
    pub fn may_take(&self, terms: IsolationRule, now: u64) -> bool {
        match terms {
            IsolationRule::Normal => self.may_take_starts(now),
            IsolationRule::Exclusive(job) => self.may_take_suspect(job, now),
            IsolationRule::ApartFromSuspects(proof_ms) => {
                self.is_available(now)
                    && !self.runs.values().any(|run| run.is_new_suspect(proof_ms))
            }
            IsolationRule::Unrestricted => self.is_available(now),
        }
    }

    /// Whether a task of this job may start there on probation. Nothing else may be just starting,
    /// so that a loss of the worker points to that task alone.
    fn may_take_suspect(&self, job: JobId, now: u64) -> bool {
        let is_settled =
            |((task, _), run): (&(TaskKey, u32), &PlacedRun)| task.job == job || run.has_settled();
        self.is_available(now) && self.runs.iter().all(is_settled)
    }

    /// Whether a start that has waited since `since_ms` may be sent: a suspect's start only if the
    /// worker has answered since. An idle worker is not called for long; if it had died in the
    /// meantime, the loss would be counted against the suspect.
    pub fn may_start_now(&self, key: &(TaskKey, u32), since_ms: u64) -> bool {
        let is_suspect = self.runs.get(key).is_some_and(|run| run.probation_ms > 0);
        !is_suspect || self.report_ms >= since_ms
    }

    /// Whether a suspect waits there to be started until the worker has answered.
    pub fn has_waiting_suspect(&self) -> bool {
        self.suspects > 0
            && self.runs.values().any(|run| run.probation_ms > 0 && run.span.length_ms().is_none())
    }

    /// Whether a suspect there is still within the time in which most crashes come.
    pub fn has_starting_suspect(&self) -> bool {
        self.suspects > 0
            && self
                .runs
                .values()
                .any(|run| run.probation_ms > 0 && !run.has_worked(CRASH_WINDOW_MS))
    }

    /// Whether a suspect is on an exclusive probation there.
    pub fn has_probation(&self) -> bool {
        self.suspects > 0 && self.runs.values().any(|run| run.is_on_probation() && !run.is_shared)
    }

    /// Risk that a suspect crashes it, for comparison: the most workers that any one suspect has
    /// lost, and the number of suspects.
    pub fn risk(&self) -> (u32, usize) {
        let suspects = self.runs.values().filter(|run| run.is_on_probation());
        (suspects.clone().map(|run| run.losses).max().unwrap_or_default(), suspects.count())
    }

    /// Allows other starts beside a suspect.
    pub fn share_probation(&mut self, key: &(TaskKey, u32)) {
        if let Some(run) = self.runs.get_mut(key) {
            run.is_shared = true;
        }
    }

    /// Whether it may get any work.
    pub fn is_available(&self, now: u64) -> bool {
        self.has_accepted_token
            && self.is_listed
            && self.silent_since_ms.is_none()
            && !self.entry.is_draining
            && !self.is_reserved
            && !self.has_withheld_exit()
            && self.is_within_capacity()
            && now >= self.suspended_until_ms
            && now >= self.full_until_ms
            && (!self.is_on_trial || self.runs.values().all(PlacedRun::is_settled_service))
    }

    /// Whether it has refused a start lately and begun none since. If such workers were not ranked
    /// after the others, a few of them would take turns in refusing a task that fits elsewhere.
    pub fn has_refused(&self, now: u64) -> bool {
        self.last_refusal_ms.is_some_and(|refused| now < refused + REFUSAL_AGE_MS)
    }

    /// Whether it gets no work, or only a trial run, because runs that it starts fail.
    pub fn is_suspended(&self, now: u64) -> bool {
        now < self.suspended_until_ms || self.is_on_trial
    }

    /// Records a reading of its clock from an answer received at `received_ms` to a call sent at an
    /// unknown time.
    pub fn sample_clock(&mut self, worker_ms: u64, received_ms: u64) {
        self.sample_clock_since(
            worker_ms,
            received_ms.saturating_sub(ANSWER_AGE_MAX_MS),
            received_ms,
        );
    }

    /// Records a reading of its clock from an answer to a call sent at `sent_ms`.
    ///
    /// A reading that is behind the extrapolation of the last one by more than the clock may be
    /// slow was on its way for longer and is ignored. A reading that is behind what the clock
    /// showed when the call was sent means that the clock stood still: extrapolating the last
    /// reading, starts would begin too late and leases be declared over too soon.
    pub fn sample_clock_since(&mut self, worker_ms: u64, sent_ms: u64, received_ms: u64) {
        let sample = ClockSample { worker_ms, received_ms };
        if let Some(clock) = self.clock {
            let has_stood_still =
                sent_ms >= clock.received_ms && worker_ms < clock.min_reading_at(sent_ms);
            if has_stood_still {
                self.lease_bound_ms =
                    self.lease_bound_ms.max(sample.latest_local_ms(self.requested_lease_end_ms));
            } else if worker_ms < clock.min_reading_at(received_ms) {
                return;
            }
        }
        self.clock = Some(sample);
    }

    /// End of a lease that lasts `lease_ms` from now, by its clock; `None` before the first
    /// reading. The lease counts as requested: from here on its runs may last that long.
    pub fn lease_until(&mut self, lease_ms: u64, now: u64) -> Option<u64> {
        let clock = self.clock?;
        Some(self.extend_lease_bound(clock, clock.lease_end(lease_ms, now)))
    }

    /// End of the lease of a start that must not begin after `deadline_ms` of the local clock;
    /// `None` before the first reading. The worker refuses the start once that lease is over, so
    /// the lease ends when its clock has reached the deadline for certain. The lease counts as
    /// requested.
    pub fn start_until(&mut self, lease_ms: u64, deadline_ms: u64, now: u64) -> Option<u64> {
        let clock = self.clock?;
        let until = clock.lease_end(lease_ms, now).min(clock.min_reading_at(deadline_ms));
        Some(self.extend_lease_bound(clock, until))
    }

    fn extend_lease_bound(&mut self, clock: ClockSample, until: u64) -> u64 {
        self.requested_lease_end_ms = self.requested_lease_end_ms.max(until);
        self.lease_bound_ms = self.lease_bound_ms.max(clock.latest_local_ms(until));
        until
    }

    /// Records that it answered a renewal that granted this lease.
    pub fn confirm_lease(&mut self, until: u64) {
        self.confirmed_lease_end_ms = self.confirmed_lease_end_ms.max(until);
    }

    /// Whether a renewal has granted it a lease that lasts for about `ms` from now.
    pub fn has_lease_for(&self, ms: u64, now: u64) -> bool {
        self.clock.is_some_and(|clock| clock.lease_end(ms, now) <= self.confirmed_lease_end_ms)
    }

    /// Local time after which no run started there can be alive without a renewal, in milliseconds.
    pub fn lease_bound_ms(&self) -> u64 {
        self.lease_bound_ms
    }

    /// Records that it refused a start that other workers may accept.
    pub fn record_refusal(&mut self, refusal: CommandRefusal, now: u64) {
        self.last_refusal_ms = Some(now);
        match refusal {
            // The leader's view of its capacity is wrong, and each further attempt would be refused
            // too.
            CommandRefusal::NoCapacity => self.full_until_ms = now + FULL_PAUSE_MS,
            _ => self.record_outcome(false, now),
        }
    }

    /// Records whether a run succeeded, and suspends the worker if most of its runs fail.
    pub fn record_outcome(&mut self, is_good: bool, now: u64) {
        if self.outcomes.len() >= OUTCOMES_KEPT {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back(is_good);
        if is_good {
            self.is_on_trial = false;
            self.suspension_ms = SUSPENSION_MS;
            return;
        }
        let failures = self.outcomes.iter().filter(|outcome| !**outcome).count();
        let is_failing = failures >= FAILURES_MIN && failures * 2 > self.outcomes.len();
        if (is_failing || self.is_on_trial) && now >= self.suspended_until_ms {
            self.suspend(now);
        }
    }

    /// Ends the trial, in which the worker gets one run at a time, because a service has come to
    /// work there.
    pub fn end_trial(&mut self, now: u64) {
        if self.is_on_trial && now >= self.suspended_until_ms {
            self.record_outcome(true, now);
        }
    }

    /// Suspends the worker for a growing time. After that it gets a single trial run beside the
    /// settled services on it.
    pub fn suspend(&mut self, now: u64) {
        self.suspended_until_ms = now + self.suspension_ms;
        self.suspension_ms = (self.suspension_ms * 2).min(SUSPENSION_MAX_MS);
        self.is_on_trial = true;
        self.outcomes.clear();
    }
}
