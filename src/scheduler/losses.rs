//! Accounting of workers that are lost while they run tasks, and when a task is given up for it.
//!
//! A task may crash every worker that starts it, together with everything else that runs there. A
//! run that ends with its worker is not a failed attempt, so without a limit of its own the task
//! would move from worker to worker and take the pool down. But workers die for other reasons too,
//! and most tasks on a lost worker did not cause the loss: counting it against all of them alike
//! would give up jobs that could be served.
//!
//! The rules that tell these cases apart:
//!
//! * A task that was just starting when its worker was lost becomes a suspect. From then on it
//!   starts on probation: on a worker that has just answered, where nothing else is just starting
//!   and where the least would be lost; nothing else starts there until the suspect has been at
//!   work for a while. If workers keep being lost under such starts, only this task can be the
//!   cause, and its job is given up.
//! * If another worker is lost at the same time in the same rack or pool, with no suspect on it,
//!   the failure is larger than one worker and identifies no task. The same holds for a VM that
//!   loses one worker after another.
//! * A loss under a task that was just starting says nothing about the pool until that task
//!   survives another start. In a busy pool something is starting on nearly every worker that is
//!   lost, and only the next start shows what the cause was.
//! * A task with [`LOSSES_MAX`] losses is given up whatever their causes. This also bounds tasks
//!   that crash their worker some time after their start. No single loss tells such a task from one
//!   that was there by chance: both can lose a worker at any time at work, and other workers can be
//!   lost at the same time. So after three losses the task is on trial: its probation is long, and
//!   it starts only while its pool is stable. A task that crashes its workers does so in a stable
//!   pool too; a task without fault completes there.
//!
//! A loss is counted in the same log record that removes the run, and every later run depends on
//! that record. So no change of leader, restart or repeated report counts a loss twice or forgets
//! it. From a task's second loss on, the log also keeps the other losses of its pool: a successor
//! without them would take any pool for stable.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::jobs::model::{JobId, TaskKey};
use crate::jobs::record::{LossCount, LostVm};
use crate::jobs::site::WorkerEntry;
use crate::scheduler::job::TaskRun;
use crate::scheduler::worker::PlacedRun;

/// Time at work, by the worker's clock, after which a start no longer counts as the cause of the
/// worker's loss, in milliseconds. A longer time makes suspects of more tasks that merely were
/// there, and lets more unrelated failures fall into a probation.
pub const CRASH_WINDOW_MS: u64 = 30;
/// The same for a task that has lost several workers, and for services at any time, in
/// milliseconds: a service runs for weeks and outlives many workers.
pub const LONG_CRASH_WINDOW_MS: u64 = 5_000;
/// Workers lost at its start from which a task is given up: one that it shared with others, and two
/// on probation. Two in all would be too few, as failures of other causes follow each other within
/// a second.
pub const LOSSES_AT_START_MAX: u32 = 3;
/// Workers lost under a task from which it is given up, whatever the causes. After three crashes
/// callers tolerate two more starts, but not a third.
pub const LOSSES_MAX: u32 = 5;
/// Time within which the losses of two workers may have one cause, in milliseconds: silence is
/// noticed after 0.3 to 0.8 s, and the VM list shows it a quarter of a second later.
const CORRELATION_WINDOW_MS: u64 = 1_000;
/// Time for which the decision to give up a task is delayed, in milliseconds: other losses of the
/// same time become known only then.
pub const GIVE_UP_DELAY_MS: u64 = 800;
/// Lost workers of other pools and racks from which simultaneous losses count as one larger
/// failure.
const CORRELATED_LOSSES_MIN: usize = 2;
/// Time for which a VM that has lost a worker is not used as evidence, in milliseconds: some VMs
/// flap, and their next loss identifies no task.
const FLAPPING_MS: u64 = 15_000;
/// Time for which the tasks that a loss was counted against are remembered, in milliseconds: a task
/// that crashes its workers waits for free capacity on probation, and is identified long after its
/// first loss.
const LOSS_RETENTION_MS: u64 = 60_000;
/// Most losses of a pool that the log keeps.
const LOGGED_LOSSES_MAX: usize = 16;
/// Workers lost under a task from which the log keeps the other losses of its pool.
const LOGGED_LOSSES_FROM: u32 = 1;
/// Workers lost under a task from which it starts only in a stable pool.
const TRIAL_LOSSES_MIN: u32 = 3;
/// Mean uptime of a stable pool's VMs before the first such start, in milliseconds; twice that
/// before the next.
const STABLE_UPTIME_MS: u64 = 12_000;
/// Age up to which a loss from the log may belong to a series that still goes on, in milliseconds.
const ONGOING_LOSSES_MS: u64 = 2 * STABLE_UPTIME_MS;
/// One VM in so many may be lost at any rate in a stable pool: suspects avoid VMs that were lost
/// recently.
const TOLERATED_VMS_PART: usize = 8;
/// Time for which a pool is observed without a task on trial before the task starts there again, in
/// milliseconds: the loss of a worker is noticed within a second, and the tasks that were starting
/// on it have then survived their next start.
const OBSERVATION_MS: u64 = 2_000;
/// Longest time that a task waits for its pool to become stable, in milliseconds.
const STABLE_WAIT_MAX_MS: u64 = 15_000;

impl LossCount {
    /// Time at work after which a start of the task no longer endangers its worker, in
    /// milliseconds; 0 for a task that is not on probation.
    pub fn probation_ms(&self) -> u64 {
        match self.at_start {
            _ if self.is_on_trial() => LONG_CRASH_WINDOW_MS,
            0 => 0,
            _ => CRASH_WINDOW_MS,
        }
    }

    /// Whether the task is on trial: the loss of its next worker must say something about this task
    /// alone.
    pub fn is_on_trial(&self) -> bool {
        self.total >= TRIAL_LOSSES_MIN
    }

    /// Whether the log must keep the other losses of the task's pool.
    fn is_logged(&self) -> bool {
        self.total >= LOGGED_LOSSES_FROM
    }

    /// Mean uptime of a pool's VMs from which a task on trial may start there, in milliseconds.
    fn required_uptime_ms(&self) -> u64 {
        STABLE_UPTIME_MS << self.total.saturating_sub(TRIAL_LOSSES_MIN).min(1)
    }

    /// Whether the task has lost so many workers that it must not start again.
    pub fn is_exhausted(&self) -> bool {
        self.total >= LOSSES_MAX
    }

    /// Whether the task is given up with its next loss.
    pub(crate) fn has_one_loss_left(&self) -> bool {
        self.total + 1 >= LOSSES_MAX
    }

    /// Counts one more lost worker.
    pub(crate) fn add(&mut self, is_at_start: bool) {
        self.total += 1;
        self.at_start += u32::from(is_at_start);
    }

    /// Reverts one loss: the worker has answered after all, or another task was the cause.
    pub(crate) fn revert(&mut self, is_at_start: bool) {
        self.total = self.total.saturating_sub(1);
        self.at_start = self.at_start.saturating_sub(u32::from(is_at_start));
    }
}

/// How the end of a worker's incarnation became known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationEnd {
    /// Another incarnation answers at its address.
    OtherIncarnation,
    /// It has restarted under its name.
    Restarted,
    /// Its VM shows another incarnation, or none.
    NotOnVm,
    /// Its VM is in another pool.
    Moved,
    /// Its VM has accepted a command that ends it.
    Commanded,
}

impl IncarnationEnd {
    /// Text for the log.
    pub fn description(self) -> &'static str {
        match self {
            IncarnationEnd::OtherIncarnation => "another life answers",
            IncarnationEnd::Restarted => "it has begun anew",
            IncarnationEnd::NotOnVm => "its VM no longer runs it",
            IncarnationEnd::Moved => "its VM has moved",
            IncarnationEnd::Commanded => "its VM was commanded",
        }
    }

    /// Whether the end was unplanned.
    pub fn is_loss(self) -> bool {
        matches!(
            self,
            IncarnationEnd::OtherIncarnation | IncarnationEnd::Restarted | IncarnationEnd::NotOnVm
        )
    }
}

/// A run that was on a worker when it was lost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AffectedRun {
    /// Its task.
    pub task: TaskKey,
    /// Run number.
    pub run: u32,
    /// Its resources and its time at work, as far as known.
    pub placed: PlacedRun,
    /// Whether the time for which the run was at work is unknown: an earlier leader started it and
    /// the worker has not reported it since, or this leader itself lags behind.
    pub is_age_unknown: bool,
}

impl AffectedRun {
    /// Whether its start may have caused the loss.
    pub fn may_be_cause(&self) -> bool {
        !self.placed.has_worked(CRASH_WINDOW_MS) || self.placed.is_on_probation()
    }

    /// Whether it was just starting, as far as is known.
    pub fn is_at_start(&self) -> bool {
        !self.placed.has_worked(CRASH_WINDOW_MS) && !self.is_age_unknown
    }

    fn is_suspect(&self) -> bool {
        self.is_at_start() || self.placed.is_on_probation()
    }

    /// Whether the loss of its worker says nothing about it.
    pub fn is_exempt(&self) -> bool {
        self.placed.is_service && self.placed.has_worked(LONG_CRASH_WINDOW_MS)
    }
}

/// A task that a lost worker was counted against.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CountedRun {
    /// The task.
    pub task: TaskKey,
    /// Whether it was counted as a loss at the task's start.
    pub is_at_start: bool,
    /// Whether a start of the task may have crashed the worker.
    may_be_cause: bool,
}

#[derive(Clone, Debug)]
struct RecentLoss {
    at_ms: u64,
    entry: WorkerEntry,
    running_tasks: Vec<TaskKey>,
    starting_jobs: Vec<JobId>,
    /// Tasks that the loss was counted against.
    counted: Vec<CountedRun>,
    /// Whether one of them was on probation, and so is likely to be the cause.
    had_probation: bool,
    /// Tasks that may have crashed it: they were just starting there or on probation, and have not
    /// survived a start since.
    suspects: Vec<TaskKey>,
    /// Whether the VM had lost another worker shortly before.
    had_recent_loss: bool,
}

impl RecentLoss {
    /// Whether it came at about that time, and neither a suspect nor trouble of the VM itself
    /// explains it.
    fn is_independent(&self, at_ms: u64) -> bool {
        self.at_ms.abs_diff(at_ms) <= CORRELATION_WINDOW_MS
            && !self.had_probation
            && !self.had_recent_loss
    }

    /// Whether one of its tasks may be the cause, so that it says nothing about the pool.
    fn is_explained(&self) -> bool {
        !self.suspects.is_empty()
    }

    fn is_near(&self, entry: &WorkerEntry) -> bool {
        self.entry.service == entry.service || self.entry.rack() == entry.rack()
    }
}

/// Why a task may have to be given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GiveUpCause {
    /// It has lost workers at its starts on probation, and nothing else was starting there.
    SoleSuspect,
    /// It has lost as many workers as a task may.
    LossLimit,
}

/// A task that may have to be given up. The decision waits until the other losses of that time are
/// known, and whether another task caused the losses that were counted against this one.
#[derive(Clone, Debug)]
pub(crate) struct PendingGiveUp {
    /// Why.
    pub cause: GiveUpCause,
    /// The task.
    pub task: TaskKey,
    /// When its worker was lost, in milliseconds.
    pub lost_ms: u64,
    /// The worker.
    pub entry: WorkerEntry,
}

/// The facts about a task's pool that decide when the task may start.
pub(crate) struct PoolView<'a> {
    /// Its service.
    pub service: &'a str,
    /// VMs that run workers of it.
    pub vms: usize,
    /// Whether the task belongs to a service.
    pub is_for_service: bool,
}

/// A loss read from the log.
#[derive(Clone, Debug)]
struct InheritedLoss {
    at_ms: u64,
    service: Arc<str>,
    vm: LostVm,
}

/// Addresses of workers that were lost recently.
#[derive(Debug, Default)]
pub(crate) struct RecentAddresses {
    /// All.
    pub all: BTreeSet<SocketAddr>,
    /// Those with a loss that no task is likely to have caused.
    pub unexplained: BTreeSet<SocketAddr>,
}

/// Workers that were lost recently, and the decisions that are still due about them.
#[derive(Debug, Default)]
pub(crate) struct LossTracker {
    recent: VecDeque<RecentLoss>,
    pending: VecDeque<PendingGiveUp>,
    /// VMs whose workers were lost under earlier leaders, as far as the log shows.
    inherited: Vec<InheritedLoss>,
    /// Suspects of all recent losses.
    suspects: BTreeSet<TaskKey>,
    /// Jobs with tasks that have lost so many workers that the log keeps the other losses of their
    /// pools.
    logged_jobs: BTreeSet<JobId>,
    /// When this leader began, in milliseconds.
    opened_ms: u64,
}

impl LossTracker {
    /// An empty tracker of a leader that begins now.
    pub fn open(now: u64) -> LossTracker {
        LossTracker { opened_ms: now, ..LossTracker::default() }
    }

    /// When this leader began, in milliseconds.
    pub fn opened_ms(&self) -> u64 {
        self.opened_ms
    }

    /// Restores a pool's losses as an earlier leader logged them. A series that was still going on
    /// counts as lasting until now, since nothing after the record is known.
    pub fn restore(&mut self, service: &Arc<str>, lost: &[LostVm], now: u64, wall_ms: u64) {
        self.inherited.extend(lost.iter().map(|vm| InheritedLoss {
            at_ms: match wall_ms.saturating_sub(vm.lost_ms) {
                age if age < ONGOING_LOSSES_MS => now,
                age => now.saturating_sub(age),
            },
            service: service.clone(),
            vm: vm.clone(),
        }));
    }

    /// A pool's losses that the next leader must know.
    pub fn logged_losses(&self, service: &str, now: u64, wall_ms: u64) -> Vec<LostVm> {
        let wall_at = |at_ms: u64| wall_ms.saturating_sub(now.saturating_sub(at_ms));
        let is_retained = |at_ms: u64| now <= at_ms + LOSS_RETENTION_MS;
        let is_open = |task: &&TaskKey| self.logged_jobs.contains(&task.job);
        let inherited = self
            .inherited
            .iter()
            .filter(|loss| &*loss.service == service && is_retained(loss.at_ms))
            .map(|loss| LostVm { lost_ms: wall_at(loss.at_ms), ..loss.vm.clone() });
        let own = self
            .recent
            .iter()
            .filter(|loss| &*loss.entry.service == service && is_retained(loss.at_ms))
            .filter(|loss| !loss.is_explained())
            .map(|loss| LostVm {
                address: loss.entry.address,
                lost_ms: wall_at(loss.at_ms),
                running_tasks: loss.running_tasks.iter().filter(is_open).copied().collect(),
            });
        let latest: BTreeMap<SocketAddr, LostVm> =
            inherited.chain(own).map(|vm| (vm.address, vm)).collect();
        let mut lost: Vec<LostVm> = latest.into_values().collect();
        lost.sort_by_key(|vm| vm.lost_ms);
        let excess = lost.len().saturating_sub(LOGGED_LOSSES_MAX);
        lost.drain(..excess);
        lost
    }

    /// Time since each VM of a pool was lost without that task on it, the latest first.
    fn loss_ages(&self, service: &str, key: &TaskKey, now: u64) -> Vec<u64> {
        let mut latest: BTreeMap<SocketAddr, u64> = BTreeMap::new();
        for loss in self.inherited.iter().filter(|loss| &*loss.service == service) {
            if !loss.vm.running_tasks.contains(key) {
                latest.insert(loss.vm.address, loss.at_ms);
            }
        }
        for loss in self.recent.iter().filter(|loss| &*loss.entry.service == service) {
            if !loss.running_tasks.contains(key) && !loss.is_explained() {
                latest.insert(loss.entry.address, loss.at_ms);
            }
        }
        let mut loss_ages_ms: Vec<u64> =
            latest.into_values().map(|at| now.saturating_sub(at)).collect();
        loss_ages_ms.sort_unstable();
        loss_ages_ms
    }

    /// Whether a task must wait, because of its losses, until its pool is stable and has been
    /// observed without the task.
    pub fn has_to_wait(
        &self,
        key: &TaskKey,
        task: &TaskRun,
        pool: &PoolView<'_>,
        now: u64,
    ) -> bool {
        let is_last_start = pool.is_for_service && task.losses.has_one_loss_left();
        let is_observed = is_last_start || now < task.waiting_since_ms + OBSERVATION_MS;
        self.may_keep_waiting(task, pool.is_for_service, now)
            && (is_observed || !self.is_stable(pool, key, task.losses.required_uptime_ms(), now))
    }

    /// Whether a task on trial may go on waiting for the right time and VM.
    pub fn may_keep_waiting(&self, task: &TaskRun, is_for_service: bool, now: u64) -> bool {
        let since_ms = task.waiting_since_ms.max(self.opened_ms);
        task.losses.is_on_trial()
            && now < since_ms + STABLE_WAIT_MAX_MS
            && !task.is_overdue(is_for_service, now)
    }

    /// Whether the VMs of a pool have a mean uptime of `uptime_ms` over every recent period up to
    /// that length, losses with that task aside.
    fn is_stable(&self, pool: &PoolView<'_>, key: &TaskKey, uptime_ms: u64, now: u64) -> bool {
        let vms = u64::try_from(pool.vms).unwrap_or(u64::MAX);
        let loss_ages_ms = self.loss_ages(pool.service, key, now);
        let lost = (1u64..).zip(loss_ages_ms).skip(pool.vms / TOLERATED_VMS_PART);
        lost.take_while(|(_, age)| *age < uptime_ms)
            .all(|(count, age)| age.saturating_mul(vms) >= count.min(vms).saturating_mul(uptime_ms))
    }

    /// Whether no worker of a pool was lost within that time, for any reason; losses under earlier
    /// leaders aside.
    pub fn is_loss_free(&self, service: &str, ms: u64, now: u64) -> bool {
        let mut lost = self.recent.iter().filter(|loss| &*loss.entry.service == service);
        !lost.any(|loss| now < loss.at_ms + ms)
    }

    /// Notes how many workers a task of a job has lost.
    pub fn track_losses(&mut self, job: JobId, losses: &LossCount) {
        if losses.is_logged() {
            self.logged_jobs.insert(job);
        }
    }

    /// Jobs for which the log keeps the losses of their pools.
    pub fn logged_jobs(&self) -> &BTreeSet<JobId> {
        &self.logged_jobs
    }

    /// Forgets a finished job.
    pub fn forget_job(&mut self, job: JobId) {
        self.logged_jobs.remove(&job);
    }

    /// Adds the loss of a worker with these runs.
    pub fn insert(&mut self, entry: &WorkerEntry, affected: &[AffectedRun], now: u64) {
        self.recent.retain(|loss| now <= loss.at_ms + LOSS_RETENTION_MS);
        let running_tasks = affected.iter().map(|run| run.task).collect();
        let starting = affected.iter().filter(|run| run.may_be_cause());
        let mut jobs: Vec<JobId> = starting.map(|run| run.task.job).collect();
        jobs.dedup();
        let counted = affected.iter().filter(|run| !run.is_exempt()).map(|run| CountedRun {
            task: run.task,
            is_at_start: run.is_at_start(),
            may_be_cause: run.may_be_cause(),
        });
        let suspects = affected.iter().filter(|run| run.is_suspect()).map(|run| run.task);
        let loss = RecentLoss {
            at_ms: now,
            entry: entry.clone(),
            running_tasks,
            starting_jobs: jobs,
            counted: counted.collect(),
            had_probation: affected.iter().any(|run| run.placed.is_on_probation()),
            suspects: suspects.collect(),
            had_recent_loss: self.has_recent_loss(entry.address, now),
        };
        self.recent.push_back(loss);
        self.suspects = self.recent.iter().flat_map(|loss| loss.suspects.clone()).collect();
    }

    /// Whether this task may have caused a recent loss.
    pub fn is_suspect(&self, task: &TaskKey) -> bool {
        self.suspects.contains(task)
    }

    /// Clears a task that has survived a start: it did not crash the workers that were lost at its
    /// earlier ones. Returns the services with losses that are no longer explained.
    pub fn clear_suspect(&mut self, task: &TaskKey) -> BTreeSet<Arc<str>> {
        let mut services = BTreeSet::new();
        if !self.suspects.remove(task) {
            return services;
        }
        for loss in self.recent.iter_mut().filter(|loss| loss.suspects.contains(task)) {
            loss.suspects.retain(|other| other != task);
            if !loss.is_explained() {
                services.insert(loss.entry.service.clone());
            }
        }
        services
    }

    /// Whether a worker at this address was lost recently and no task is known to be the cause.
    pub fn has_recent_loss(&self, address: SocketAddr, now: u64) -> bool {
        let is_recent = |loss: &&RecentLoss| now <= loss.at_ms + FLAPPING_MS;
        let is_inherited =
            |loss: &InheritedLoss| loss.vm.address == address && now <= loss.at_ms + FLAPPING_MS;
        self.recent.iter().filter(is_recent).any(|loss| loss.entry.address == address)
            || self.inherited.iter().any(is_inherited)
    }

    /// Addresses for which [`LossTracker::has_recent_loss`] and
    /// [`LossTracker::has_unexplained_loss`] hold, for decisions about many workers at one time.
    pub fn recent_addresses(&self, now: u64) -> RecentAddresses {
        let is_recent = |at_ms: u64| now <= at_ms + FLAPPING_MS;
        let own = self.recent.iter().filter(|loss| is_recent(loss.at_ms));
        let inherited = self.inherited.iter().filter(|loss| is_recent(loss.at_ms));
        let mut addresses = RecentAddresses::default();
        for loss in own {
            addresses.all.insert(loss.entry.address);
            if !loss.is_explained() {
                addresses.unexplained.insert(loss.entry.address);
            }
        }
        for loss in inherited {
            addresses.all.insert(loss.vm.address);
            addresses.unexplained.insert(loss.vm.address);
        }
        addresses
    }

    /// The same for a loss that no task is likely to have caused: the VM may fail again by itself.
    pub fn has_unexplained_loss(&self, address: SocketAddr, now: u64) -> bool {
        let is_recent = |at_ms: u64| now <= at_ms + FLAPPING_MS;
        let own = self.recent.iter().filter(|loss| is_recent(loss.at_ms) && !loss.is_explained());
        let mut inherited = self.inherited.iter().filter(|loss| is_recent(loss.at_ms));
        own.map(|loss| loss.entry.address).any(|other| other == address)
            || inherited.any(|loss| loss.vm.address == address)
    }

    /// Whether other workers were lost at about the time when a task of that job lost its own, and
    /// not by a suspect: one in the same pool or rack, or several anywhere. Losses that the job may
    /// have caused itself don't count.
    pub fn is_correlated_failure(&self, job: JobId, entry: &WorkerEntry, lost_ms: u64) -> bool {
        let others = self.recent.iter().filter(|loss| !loss.starting_jobs.contains(&job));
        is_correlated(others.filter(|loss| loss.is_independent(lost_ms)), entry)
    }

    /// Attributes losses to a job that is known to crash its workers as it starts. They then say
    /// nothing about the VMs, nor about the other tasks that were lost with them; those tasks are
    /// returned.
    ///
    /// A task that was just starting there itself stays counted, except for the loss of
    /// `crashed_worker`, on which nothing else can have been the cause: two tasks that crash their
    /// workers may have met.
    pub fn attribute_to(&mut self, job: JobId, crashed_worker: &str) -> Vec<CountedRun> {
        let (explained, open): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.recent)
            .into_iter()
            .partition(|loss| loss.starting_jobs.contains(&job));
        self.recent = open;
        let mut cleared = Vec::new();
        for loss in explained {
            let is_crashed_worker = crashed_worker == &*loss.entry.id;
            let others = loss.counted.into_iter().filter(|run| run.task.job != job);
            cleared.extend(others.filter(|run| is_crashed_worker || !run.may_be_cause));
        }
        cleared
    }

    /// Defers a decision to give up a task.
    pub fn defer_give_up(&mut self, pending: PendingGiveUp) {
        self.pending.push_back(pending);
    }

    /// The next decision that is due.
    pub fn take_due_give_up(&mut self, now: u64) -> Option<PendingGiveUp> {
        let is_due =
            self.pending.front().is_some_and(|next| now >= next.lost_ms + GIVE_UP_DELAY_MS);
        if is_due { self.pending.pop_front() } else { None }
    }
}

/// Whether independent losses show a failure that is larger than the loss of this one worker.
fn is_correlated<'a>(
    independent: impl Iterator<Item = &'a RecentLoss>,
    entry: &WorkerEntry,
) -> bool {
    let independent: Vec<&RecentLoss> =
        independent.filter(|loss| loss.entry.id != entry.id).collect();
    independent.len() >= CORRELATED_LOSSES_MIN || independent.iter().any(|loss| loss.is_near(entry))
}
