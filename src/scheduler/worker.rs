//! One life of a worker as the leader sees it: what is booked on it, how long its leases may last,
//! and whether it does its work.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::jobs::model::{JobId, ResourceVector, TaskKey};
use crate::jobs::ports::{CommandRefusal, WorkerTarget};
use crate::jobs::site::WorkerEntry;
use crate::scheduler::LEASE_SLACK_MS;
use crate::scheduler::losses::CRASH_WINDOW_MS;
use crate::scheduler::renewals::ANSWER_AGE_MAX_MS;

/// Rate by which a worker's clock may be slow, in percent, as the platform states it.
const CLOCK_DRIFT_PERCENT: u64 = 2;
/// Added to every bound on a lease, in milliseconds: a worker's own timers and its kill take a while.
const LEASE_MARGIN_MS: u64 = 100;
/// Exits by which a worker is judged.
const OUTCOMES_KEPT: usize = 8;
/// Failures among these from which a worker is left out: one task that always fails must not do it.
const FAILURES_MIN: usize = 3;
/// First time that a failing worker is left out, in milliseconds: about one task's run time.
const SUSPENSION_MS: u64 = 1_500;
/// Time for which a worker that says that it has no room gets no start, in milliseconds: a report or two.
const FULL_PAUSE_MS: u64 = 300;
/// Time for which a worker that has refused a start comes after the others, in milliseconds.
const REFUSAL_AGE_MS: u64 = 8_000;
/// Longest time that it is left out, in milliseconds, so that a cured worker comes back.
const SUSPENSION_MAX_MS: u64 = 8_000;

/// A sample of a worker's clock.
#[derive(Clone, Copy, Debug)]
struct ClockSample {
    worker_ms: u64,
    received_ms: u64,
}

impl ClockSample {
    /// What the clock shows at least at a time of ours that is later: it was read before `received_ms`, and may
    /// be slow.
    fn min_reading_at(self, ms: u64) -> u64 {
        let since = ms.saturating_sub(self.received_ms);
        self.worker_ms + since * (100 - CLOCK_DRIFT_PERCENT) / 100
    }

    /// Latest time of ours at which it comes to show `worker_ms`.
    fn latest_local_ms(self, worker_ms: u64) -> u64 {
        let length = worker_ms.saturating_sub(self.worker_ms) * 100 / (100 - CLOCK_DRIFT_PERCENT);
        self.received_ms + length + LEASE_MARGIN_MS
    }

    /// End of a lease that lasts `lease_ms` from now, and not longer than any may where the clock is slow: the worker
    /// would shorten it only as it arrives.
    fn lease_end(self, lease_ms: u64, now: u64) -> u64 {
        let end = self.worker_ms + now.saturating_sub(self.received_ms) + lease_ms;
        end.min(self.min_reading_at(now) + lease_ms + LEASE_SLACK_MS)
    }
}

/// How long a run has been seen at work, by its worker's clock: answers can be late, that clock is not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkSpan {
    begun_ms: Option<u64>,
    seen_ms: u64,
}

impl WorkSpan {
    /// The worker has told at this time of its clock that the run is there.
    pub fn observe(&mut self, clock_ms: u64) {
        let begun = *self.begun_ms.get_or_insert(clock_ms);
        self.seen_ms = self.seen_ms.max(clock_ms).max(begun);
    }

    /// Time from the first to the last word of it, in milliseconds; nothing if there was none.
    pub fn length_ms(&self) -> Option<u64> {
        self.begun_ms.map(|begun| self.seen_ms - begun)
    }
}

/// On what terms a task starts on a worker, room aside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IsolationRule {
    /// Where nothing is on probation alone.
    Normal,
    /// On probation, named by its job: nothing else may just be starting, and nothing starts there until it is over.
    Exclusive(JobId),
    /// Where no other suspect has been at work for less than so many milliseconds.
    ApartFromSuspects(u64),
    /// Wherever there is room.
    Unrestricted,
}

impl IsolationRule {
    /// Whether the start is one of a suspect, or beside one.
    pub fn is_near_suspect(self) -> bool {
        self != IsolationRule::Normal
    }

    /// Whether other tasks may start beside a suspect during its probation.
    pub fn is_shared(self) -> bool {
        matches!(self, IsolationRule::ApartFromSuspects(_) | IsolationRule::Unrestricted)
    }
}

/// A run on a worker and what it books there.
#[derive(Clone, Copy, Debug)]
pub struct PlacedRun {
    /// What it takes.
    pub need: ResourceVector,
    /// How long it has been seen at work.
    pub span: WorkSpan,
    /// Time at work until which nothing else starts beside it, in milliseconds; 0 if it is no suspect.
    pub probation_ms: u64,
    /// Whether other tasks may start beside it during its probation.
    pub is_shared: bool,
    /// Workers that its task had lost before.
    pub losses: u32,
    /// Whether it takes processor time only where others leave it.
    pub is_best_effort: bool,
    /// Whether it lasts until it is cancelled.
    pub is_service: bool,
}

impl PlacedRun {
    /// Whether its worker has told of it for at least so many milliseconds.
    pub fn has_worked(&self, ms: u64) -> bool {
        self.span.length_ms().is_some_and(|length| length >= ms)
    }

    /// Whether its start may yet turn out to crash the worker, as it did others.
    pub fn is_on_probation(&self) -> bool {
        self.probation_ms > 0 && !self.has_worked(self.probation_ms)
    }

    /// Whether it lasts, and has been there for as long as its worker is left out at least: it tells nothing of
    /// what starts there now.
    fn is_settled_service(&self) -> bool {
        self.is_service && self.has_worked(SUSPENSION_MS)
    }

    /// Whether it is a suspect that has been at work for less than that.
    fn is_new_suspect(&self, proof_ms: u64) -> bool {
        self.probation_ms > 0 && !self.has_worked(proof_ms)
    }

    /// Whether its start is over as a danger to the worker.
    pub fn has_settled(&self) -> bool {
        self.has_worked(CRASH_WINDOW_MS) && !self.is_on_probation()
    }
}

/// A worker.
#[derive(Clone, Debug)]
pub struct WorkerState {
    /// Its newest report of itself.
    pub entry: WorkerEntry,
    /// VM that it runs on, once the VM list has shown it.
    pub vm: Option<Arc<str>>,
    /// When it was first seen draining, in milliseconds.
    pub draining_since_ms: Option<u64>,
    /// Whether its entry is listed; one that is not may still run on.
    pub is_listed: bool,
    /// Whether it has answered under our fencing token.
    pub has_accepted_token: bool,
    /// When it first did, in milliseconds: commands of earlier leaders count only if they came before.
    pub token_accepted_ms: u64,
    /// When it stopped answering, in milliseconds.
    pub silent_since_ms: Option<u64>,
    /// Exits up to this number have been taken in.
    pub exits_seen: u64,
    /// Exits up to this number are on the log.
    pub exits_committed: u64,
    /// Exits up to this number were acknowledged to the worker.
    pub exits_acknowledged: u64,
    /// First exit that must never be acknowledged.
    withheld_from: Option<u64>,
    /// When its last report was received, in milliseconds.
    pub report_ms: u64,
    /// When an answer of it last came after its time, in milliseconds.
    pub late_answer_ms: Option<u64>,
    /// Earliest time of the next renewal, in milliseconds.
    pub next_renewal_ms: u64,
    /// Until when it gets no start since it said that it has no room, in milliseconds.
    full_until_ms: u64,
    /// When it last refused a start that others may take, in milliseconds; nothing once it has begun another.
    pub last_refusal_ms: Option<u64>,
    /// Kept free for maintenance or a move.
    pub is_reserved: bool,
    /// Since when nothing is booked on it, in milliseconds.
    pub idle_since_ms: u64,
    /// What is booked.
    pub runs: BTreeMap<(TaskKey, u32), PlacedRun>,
    /// Second runs of tasks that it lists and that were told of.
    pub second_runs: BTreeSet<(TaskKey, u32)>,
    used: ResourceVector,
    clock: Option<ClockSample>,
    lease_bound_ms: u64,
    /// End of the longest lease that was asked for, on its clock.
    requested_lease_end_ms: u64,
    /// End of the longest lease that a renewal is known to have given, on its clock.
    confirmed_lease_end_ms: u64,
    outcomes: VecDeque<bool>,
    suspended_until_ms: u64,
    suspension_ms: u64,
    is_on_trial: bool,
}

impl WorkerState {
    /// A worker of which nothing is known but its entry. All that runs there may last until
    /// `lease_bound_ms`.
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
            next_renewal_ms: 0,
            full_until_ms: 0,
            last_refusal_ms: None,
            is_reserved: false,
            idle_since_ms: now,
            runs: BTreeMap::new(),
            second_runs: BTreeSet::new(),
            used: ResourceVector::default(),
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

    /// A worker that only the log tells of.
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
        // Nothing tells that it left of its own accord.
        WorkerState {
            is_listed: false,
            silent_since_ms: Some(now),
            draining_since_ms: None,
            ..worker
        }
    }

    /// How calls reach this life.
    pub fn target(&self) -> WorkerTarget {
        WorkerTarget { id: self.entry.id.clone(), address: self.entry.address }
    }

    /// Whether it is known where calls reach it.
    pub fn has_address(&self) -> bool {
        self.entry.address.port() != 0
    }

    /// Whether stops may be sent to it: one that neither is listed nor answers is gone, or its leases run out.
    pub fn may_take_stops(&self) -> bool {
        self.has_address() && (self.is_listed || self.silent_since_ms.is_none())
    }

    /// Books a run.
    pub fn add_run(&mut self, key: (TaskKey, u32), run: PlacedRun) {
        if self.runs.insert(key, run).is_none() {
            self.used.add(&run.need);
        }
    }

    /// The worker has told at this time of its clock that a run is there.
    pub fn observe_run(&mut self, key: &(TaskKey, u32), clock_ms: u64) {
        if let Some(run) = self.runs.get_mut(key) {
            run.span.observe(clock_ms);
        }
    }

    /// Whether the start of a run is over as a danger to the worker.
    pub fn has_settled(&self, key: &(TaskKey, u32)) -> bool {
        self.runs.get(key).is_some_and(PlacedRun::has_settled)
    }

    /// Takes a run off the book; returns whether it was there.
    pub fn remove_run(&mut self, key: &(TaskKey, u32), now: u64) -> bool {
        let Some(run) = self.runs.remove(key) else { return false };
        self.used = self.used.saturating_sub(&run.need);
        if self.runs.is_empty() {
            self.idle_since_ms = now;
        }
        true
    }

    /// What is booked.
    pub fn used(&self) -> &ResourceVector {
        &self.used
    }

    /// What is free.
    pub fn free(&self) -> ResourceVector {
        self.entry.capacity.saturating_sub(&self.used)
    }

    /// Whether what is booked fits what it holds; its room may have shrunk below what runs.
    pub fn is_within_capacity(&self) -> bool {
        self.entry.capacity.covers(&self.used)
    }

    /// Exits up to this number may be acknowledged: the log has them, and all of them may count.
    pub fn exits_acknowledgeable(&self) -> u64 {
        let bound = self.withheld_from.map_or(u64::MAX, |first| first.saturating_sub(1));
        self.exits_committed.min(bound)
    }

    /// Keeps this exit and all after it from being acknowledged; returns whether none was before.
    pub fn withhold_exits_from(&mut self, number: u64) -> bool {
        let is_new = self.withheld_from.is_none();
        self.withheld_from = Some(self.withheld_from.map_or(number, |first| first.min(number)));
        is_new
    }

    /// Whether it lists an exit that must never be acknowledged.
    pub fn has_withheld_exit(&self) -> bool {
        self.withheld_from.is_some()
    }

    /// Whether starts may be sent to it.
    pub fn may_take_starts(&self, now: u64) -> bool {
        self.is_available(now) && !self.has_probation()
    }

    /// Whether a task may start there on these terms.
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

    /// Whether a task of this job may start there on probation: then nothing else is just starting, and the
    /// loss of the worker would tell of that task alone.
    fn may_take_suspect(&self, job: JobId, now: u64) -> bool {
        let is_settled =
            |((task, _), run): (&(TaskKey, u32), &PlacedRun)| task.job == job || run.has_settled();
        self.is_available(now) && self.runs.iter().all(is_settled)
    }

    /// Whether a start may go out that waits since `since_ms`: a suspect's only once the worker has answered
    /// since. A worker that is idle is not asked for long; if it had died meanwhile, the suspect would be
    /// blamed for it.
    pub fn may_start_now(&self, key: &(TaskKey, u32), since_ms: u64) -> bool {
        let is_suspect = self.runs.get(key).is_some_and(|run| run.probation_ms > 0);
        !is_suspect || self.report_ms >= since_ms
    }

    /// Whether a suspect waits to be started there until the worker has answered.
    pub fn has_waiting_suspect(&self) -> bool {
        self.runs.values().any(|run| run.probation_ms > 0 && run.span.length_ms().is_none())
    }

    /// Whether a suspect is just starting there.
    pub fn has_starting_suspect(&self) -> bool {
        self.runs.values().any(|run| run.probation_ms > 0 && !run.has_worked(CRASH_WINDOW_MS))
    }

    /// Whether a suspect is on probation there alone.
    pub fn has_probation(&self) -> bool {
        self.runs.values().any(|run| run.is_on_probation() && !run.is_shared)
    }

    /// How likely it is to be crashed by a suspect: by most workers that one of them has lost, and by their number.
    pub fn risk(&self) -> (u32, usize) {
        let suspects = self.runs.values().filter(|run| run.is_on_probation());
        (suspects.clone().map(|run| run.losses).max().unwrap_or_default(), suspects.count())
    }

    /// Lets others start beside a suspect.
    pub fn share_probation(&mut self, key: &(TaskKey, u32)) {
        if let Some(run) = self.runs.get_mut(key) {
            run.is_shared = true;
        }
    }

    /// Whether it takes work at all.
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

    /// Whether it has refused a start lately and begun none since. Tried again before the others, a few such workers
    /// would take turns in refusing a task that has room elsewhere.
    pub fn has_refused(&self, now: u64) -> bool {
        self.last_refusal_ms.is_some_and(|refused| now < refused + REFUSAL_AGE_MS)
    }

    /// Whether it is left out because what it starts fails.
    pub fn is_suspended(&self, now: u64) -> bool {
        now < self.suspended_until_ms || self.is_on_trial
    }

    /// Takes a sample of its clock from an answer that came at `received_ms`; when it was asked for is not known.
    pub fn sample_clock(&mut self, worker_ms: u64, received_ms: u64) {
        self.sample_clock_since(
            worker_ms,
            received_ms.saturating_sub(ANSWER_AGE_MAX_MS),
            received_ms,
        );
    }

    /// The same of an answer that was asked for at `sent_ms`.
    ///
    /// A sample that is behind what the last one leads to, by more than the clock may be slow, has been on its way
    /// for longer and tells less. One that is behind what the clock showed when it was asked for tells that the clock
    /// stood still: by what the last one leads to, starts would begin too late and leases be taken for over too soon.
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

    /// End of a lease that lasts `lease_ms` from now, on its clock; nothing before a first sample.
    /// Counts the lease: from here on its runs may last that long.
    pub fn lease_until(&mut self, lease_ms: u64, now: u64) -> Option<u64> {
        let clock = self.clock?;
        Some(self.extend_lease_bound(clock, clock.lease_end(lease_ms, now)))
    }

    /// The same for the lease of a start that must not begin later than at `deadline_ms` by ours. The worker
    /// refuses it from the end of its lease on, so that end is one that its clock has reached by then.
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

    /// Takes in that it has answered a renewal that gave this lease.
    pub fn confirm_lease(&mut self, until: u64) {
        self.confirmed_lease_end_ms = self.confirmed_lease_end_ms.max(until);
    }

    /// Whether a renewal has given it a lease that lasts for about so long.
    pub fn has_lease_for(&self, ms: u64, now: u64) -> bool {
        self.clock.is_some_and(|clock| clock.lease_end(ms, now) <= self.confirmed_lease_end_ms)
    }

    /// Time by ours after which nothing that was started there can be alive without a renewal.
    pub fn lease_bound_ms(&self) -> u64 {
        self.lease_bound_ms
    }

    /// Takes in that it has refused a start that others may take.
    pub fn record_refusal(&mut self, refusal: CommandRefusal, now: u64) {
        self.last_refusal_ms = Some(now);
        match refusal {
            // The books are wrong about it, and each further try would be refused too.
            CommandRefusal::NoCapacity => self.full_until_ms = now + FULL_PAUSE_MS,
            _ => self.record_outcome(false, now),
        }
    }

    /// Takes in how a run ended, and leaves the worker out if it fails what others get done.
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

    /// Ends the time in which one run at a time is tried there: a service has come to work.
    pub fn end_trial(&mut self, now: u64) {
        if self.is_on_trial && now >= self.suspended_until_ms {
            self.record_outcome(true, now);
        }
    }

    /// Leaves the worker out for a growing time, and then tries it with one run beside services that stand there.
    pub fn suspend(&mut self, now: u64) {
        self.suspended_until_ms = now + self.suspension_ms;
        self.suspension_ms = (self.suspension_ms * 2).min(SUSPENSION_MAX_MS);
        self.is_on_trial = true;
        self.outcomes.clear();
    }
}
