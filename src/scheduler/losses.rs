//! Workers that are lost under tasks: what is counted, and what speaks for and against a task.
//!
//! The load that this answers: a task crashes each worker that starts it, with all that runs there. A run
//! that ends with its worker is no failed attempt, so without a bound of its own the task goes from worker
//! to worker and takes the pool down with it. But workers die of other things too, and most tasks that were
//! on a lost worker are innocent: a count that blames all of them gives up jobs that would be served.
//!
//! So these are told apart:
//!
//! * A task that was just starting when its worker was lost is suspected. From then on it starts on
//!   probation: on a worker that has answered a moment ago, where nothing else is just starting and that has
//!   the least to lose; nothing else starts there until it has been at work for a while. If such a worker is
//!   lost too, and again, nothing but this task can have been the cause, and its job is given up.
//! * If another worker is lost at the same time, in its rack or its pool, without a suspect on it, the failure
//!   is larger than one worker and names nobody. Nor does a VM that loses one worker after the other.
//! * A loss under a task that was just starting tells nothing of the pool, until the task outlives another start. In a
//!   busy pool something is starting on nearly every worker that is lost, and only the next start tells by what.
//! * A task with [`LOSSES_MAX`] losses is given up, whatever their reasons were. This bounds also what crashes its
//!   worker some time after its start. No single loss tells such a task from one that was there by chance: both may be
//!   lost at any time at work, and other workers may go at the same time. So after three losses the task is on trial: its
//!   probation is long, and it starts only while its pool is calm. A task that crashes its workers loses them in a calm
//!   pool too; one without fault is served there.
//!
//! A loss is counted in the same record that takes the run off the books, and each next run needs that
//! record: no change of leader, restart or repeated news counts one twice or forgets it. What else was lost in its
//! pool is on the log from a task's second loss on: a successor that knew nothing of it would take any pool for calm.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::jobs::model::{JobId, TaskKey};
use crate::jobs::record::{LossCount, LostVm};
use crate::jobs::site::WorkerEntry;
use crate::scheduler::job::TaskRun;
use crate::scheduler::worker::PlacedRun;

/// Time at work, by the worker's clock, after which a start is not what ends its worker, in milliseconds. A longer time
/// suspects more tasks that merely were there, and gives other failures longer to fall into a probation.
pub const CRASH_WINDOW_MS: u64 = 30;
/// The same for a task that has lost several workers, and for services at any time, in milliseconds: a
/// service lasts for weeks, and outlives many workers.
pub const LONG_CRASH_WINDOW_MS: u64 = 5_000;
/// Workers lost at its start from which a task is given up: one that it shared with others, and two on
/// probation. Two in all would be too few, as failures of other causes follow each other within a second.
pub const LOSSES_AT_START_MAX: u32 = 3;
/// Workers lost under a task from which it is given up, whatever the reasons were. After three crashes its
/// callers bear two starts more and not a third.
pub const LOSSES_MAX: u32 = 5;
/// Time within which the losses of two workers may have one cause, in milliseconds: silence is noticed
/// after 0.3 to 0.8 s, and the VM list shows it a quarter of a second later.
const CORRELATION_WINDOW_MS: u64 = 1_000;
/// Time for which a verdict waits for the news of other workers, in milliseconds.
pub const GIVE_UP_DELAY_MS: u64 = 800;
/// Workers of other pools and racks whose loss at one time is a larger failure.
const CORRELATED_LOSSES_MIN: usize = 2;
/// Time for which a VM that has lost a worker is no witness, in milliseconds: some go down and up by turns,
/// and their next loss tells of nobody.
const FLAPPING_MS: u64 = 15_000;
/// Time for which it is kept whom a loss was counted against, in milliseconds: a task that crashes its workers waits
/// for room on probation, and is convicted long after its first loss.
const LOSS_RETENTION_MS: u64 = 60_000;
/// Losses of a pool that the log keeps.
const LOGGED_LOSSES_MAX: usize = 16;
/// Workers lost under a task from which the log keeps what else was lost in its pool.
const LOGGED_LOSSES_FROM: u32 = 1;
/// Workers lost under a task from which it starts in a calm pool only.
const TRIAL_LOSSES_MIN: u32 = 3;
/// Time that a VM of a calm pool lasts before the first such start, in milliseconds; twice that before the next.
const STABLE_UPTIME_MS: u64 = 12_000;
/// Age up to which a loss that the log tells of may be part of unrest that goes on, in milliseconds.
const ONGOING_LOSSES_MS: u64 = 2 * STABLE_UPTIME_MS;
/// One VM in so many may be lost at any rate: suspects keep off those that were lost lately.
const TOLERATED_VMS_PART: usize = 8;
/// Time for which a pool is watched without a task on trial before it starts there again, in milliseconds: the loss of
/// a worker is noticed within a second, and what was starting there has then outlived its next start.
const OBSERVATION_MS: u64 = 2_000;
/// Longest time that a task waits for its pool to become calm, in milliseconds.
const STABLE_WAIT_MAX_MS: u64 = 15_000;

impl LossCount {
    /// Time at work after which a task's start is over as a danger, in milliseconds; 0 for a task that is
    /// not on probation.
    pub fn probation_ms(&self) -> u64 {
        match self.at_start {
            _ if self.is_on_trial() => LONG_CRASH_WINDOW_MS,
            0 => 0,
            _ => CRASH_WINDOW_MS,
        }
    }

    /// Whether the task is on trial: the loss of its next worker must tell of it alone.
    pub fn is_on_trial(&self) -> bool {
        self.total >= TRIAL_LOSSES_MIN
    }

    /// Whether the log must keep what else was lost in its pool.
    fn is_logged(&self) -> bool {
        self.total >= LOGGED_LOSSES_FROM
    }

    /// Time that each VM of a pool lasts in which a task on trial may start, in milliseconds.
    fn required_uptime_ms(&self) -> u64 {
        STABLE_UPTIME_MS << self.total.saturating_sub(TRIAL_LOSSES_MIN).min(1)
    }

    /// Whether so many were lost that the task must not start again.
    pub fn is_exhausted(&self) -> bool {
        self.total >= LOSSES_MAX
    }

    /// Whether the task is given up with its next loss.
    pub(crate) fn has_one_loss_left(&self) -> bool {
        self.total + 1 >= LOSSES_MAX
    }

    /// One worker more was lost.
    pub(crate) fn add(&mut self, is_at_start: bool) {
        self.total += 1;
        self.at_start += u32::from(is_at_start);
    }

    /// A worker that was taken for lost has answered, or was lost by another task.
    pub(crate) fn revert(&mut self, is_at_start: bool) {
        self.total = self.total.saturating_sub(1);
        self.at_start = self.at_start.saturating_sub(u32::from(is_at_start));
    }
}

/// How it is known that a worker's life is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationEnd {
    /// Another life answers at its address.
    OtherIncarnation,
    /// It has begun anew under its name.
    Restarted,
    /// Its VM shows another life, or none.
    NotOnVm,
    /// Its VM is in another pool.
    Moved,
    /// Its VM has taken a command that ends it.
    Commanded,
}

impl IncarnationEnd {
    /// The words for the log.
    pub fn description(self) -> &'static str {
        match self {
            IncarnationEnd::OtherIncarnation => "another life answers",
            IncarnationEnd::Restarted => "it has begun anew",
            IncarnationEnd::NotOnVm => "its VM no longer runs it",
            IncarnationEnd::Moved => "its VM has moved",
            IncarnationEnd::Commanded => "its VM was commanded",
        }
    }

    /// Whether nobody wanted it.
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
    /// What was booked for it.
    pub placed: PlacedRun,
    /// Started by an earlier leader, and not told of by its worker since; or we are behind ourselves. For how
    /// long it was at work is not known.
    pub is_age_unknown: bool,
}

impl AffectedRun {
    /// Whether its start may have been the cause.
    pub fn may_be_cause(&self) -> bool {
        !self.placed.has_worked(CRASH_WINDOW_MS) || self.placed.is_on_probation()
    }

    /// Whether it was just starting, as far as is known.
    pub fn is_at_start(&self) -> bool {
        !self.placed.has_worked(CRASH_WINDOW_MS) && !self.is_age_unknown
    }

    /// Whether it may have crashed its worker by its start.
    fn is_suspect(&self) -> bool {
        self.is_at_start() || self.placed.is_on_probation()
    }

    /// Whether its worker's loss says nothing of it.
    pub fn is_exempt(&self) -> bool {
        self.placed.is_service && self.placed.has_worked(LONG_CRASH_WINDOW_MS)
    }
}

/// A task that a lost worker was counted against.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CountedRun {
    /// The task.
    pub task: TaskKey,
    /// Whether it was counted as lost at the task's start.
    pub is_at_start: bool,
    /// Whether the task itself may have crashed the worker by starting.
    may_be_cause: bool,
}

/// A worker that was lost lately.
#[derive(Clone, Debug)]
struct RecentLoss {
    at_ms: u64,
    entry: WorkerEntry,
    /// Tasks that ran there.
    running_tasks: Vec<TaskKey>,
    /// Jobs that were just starting there.
    starting_jobs: Vec<JobId>,
    /// Whom it was counted against.
    counted: Vec<CountedRun>,
    /// Whether one of them was on probation, and so is likely to be the cause.
    had_probation: bool,
    /// Tasks that may have crashed it: those that were just starting there or were on probation, and have not
    /// outlived a start since.
    suspects: Vec<TaskKey>,
    /// Whether the VM had lost another one not long before.
    had_recent_loss: bool,
}

impl RecentLoss {
    /// Whether it came at that time, and of something else than a suspect or the VM's own trouble.
    fn is_independent(&self, at_ms: u64) -> bool {
        self.at_ms.abs_diff(at_ms) <= CORRELATION_WINDOW_MS
            && !self.had_probation
            && !self.had_recent_loss
    }

    /// Whether one of its tasks may be the cause, so that it tells nothing of the pool.
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
    /// It has lost a worker at its start, on probation.
    SoleSuspect,
    /// It has lost as many workers as a task may.
    LossLimit,
}

/// A task that may have to be given up: once it is known which other workers went then, and whether another task
/// is convicted of the losses that were counted against it.
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

/// The pool of a task, as far as it matters for when the task may start.
pub(crate) struct PoolView<'a> {
    /// Its service.
    pub service: &'a str,
    /// VMs that run workers of it.
    pub vms: usize,
    /// Whether the task is one of a service.
    pub is_for_service: bool,
}

/// A loss of which the log tells.
#[derive(Clone, Debug)]
struct InheritedLoss {
    at_ms: u64,
    service: Arc<str>,
    vm: LostVm,
}

/// Workers that were lost lately, and what is still to be decided about them.
#[derive(Debug, Default)]
pub(crate) struct LossTracker {
    recent: VecDeque<RecentLoss>,
    pending: VecDeque<PendingGiveUp>,
    /// VMs whose workers were lost under earlier leaders, as far as the log tells.
    inherited: Vec<InheritedLoss>,
    /// Tasks that are suspected of any recent loss.
    suspects: BTreeSet<TaskKey>,
    /// Jobs with tasks that have lost so many workers that the log keeps what else is lost in their pools.
    logged_jobs: BTreeSet<JobId>,
    /// When this leader began, in milliseconds.
    opened_ms: u64,
}

impl LossTracker {
    /// A watch that begins now.
    pub fn open(now: u64) -> LossTracker {
        LossTracker { opened_ms: now, ..LossTracker::default() }
    }

    /// When this leader began, in milliseconds.
    pub fn opened_ms(&self) -> u64 {
        self.opened_ms
    }

    /// What an earlier leader wrote of a pool. Unrest that was still going on counts as lasting until now: what came
    /// after the record is not known.
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

    /// What the next leader must know of a pool.
    pub fn logged_losses(&self, service: &str, now: u64, wall_ms: u64) -> Vec<LostVm> {
        let wall_at = |at_ms: u64| wall_ms.saturating_sub(now.saturating_sub(at_ms));
        let is_kept = |at_ms: u64| now <= at_ms + LOSS_RETENTION_MS;
        let is_open = |task: &&TaskKey| self.logged_jobs.contains(&task.job);
        let inherited = self
            .inherited
            .iter()
            .filter(|loss| &*loss.service == service && is_kept(loss.at_ms))
            .map(|loss| LostVm { lost_ms: wall_at(loss.at_ms), ..loss.vm.clone() });
        let own = self
            .recent
            .iter()
            .filter(|loss| &*loss.entry.service == service && is_kept(loss.at_ms))
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

    /// Time since each VM of a pool was lost under something else than that task, the latest first.
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
        let mut ages: Vec<u64> = latest.into_values().map(|at| now.saturating_sub(at)).collect();
        ages.sort_unstable();
        ages
    }

    /// Whether a task waits, by its losses, until its pool of so many VMs is calm, and was seen so without the task.
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

    /// Whether a task on trial still waits for the time and the VM that it asks for.
    pub fn may_keep_waiting(&self, task: &TaskRun, is_for_service: bool, now: u64) -> bool {
        let since_ms = task.waiting_since_ms.max(self.opened_ms);
        task.losses.is_on_trial()
            && now < since_ms + STABLE_WAIT_MAX_MS
            && !task.is_overdue(is_for_service, now)
    }

    /// Whether over no recent time, up to `uptime_ms`, VMs of a pool were lost at such a rate that they would not last
    /// that long, whatever that task did.
    fn is_stable(&self, pool: &PoolView<'_>, key: &TaskKey, uptime_ms: u64, now: u64) -> bool {
        let vms = u64::try_from(pool.vms).unwrap_or(u64::MAX);
        let ages = self.loss_ages(pool.service, key, now);
        let lost = (1u64..).zip(ages).skip(pool.vms / TOLERATED_VMS_PART);
        lost.take_while(|(_, age)| *age < uptime_ms)
            .all(|(count, age)| age.saturating_mul(vms) >= count.min(vms).saturating_mul(uptime_ms))
    }

    /// Whether no worker of a pool was lost for so long, by whatever cause; what was lost under earlier leaders aside.
    pub fn is_loss_free(&self, service: &str, ms: u64, now: u64) -> bool {
        let mut lost = self.recent.iter().filter(|loss| &*loss.entry.service == service);
        !lost.any(|loss| now < loss.at_ms + ms)
    }

    /// A job's task has lost so many workers.
    pub fn track_losses(&mut self, job: JobId, losses: &LossCount) {
        if losses.is_logged() {
            self.logged_jobs.insert(job);
        }
    }

    /// Jobs for which the log keeps what is lost in their pools.
    pub fn logged_jobs(&self) -> &BTreeSet<JobId> {
        &self.logged_jobs
    }

    /// A job is over.
    pub fn forget_job(&mut self, job: JobId) {
        self.logged_jobs.remove(&job);
    }

    /// A worker was lost with these runs.
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

    /// Whether a recent loss may be this task's doing.
    pub fn is_suspect(&self, task: &TaskKey) -> bool {
        self.suspects.contains(task)
    }

    /// A task has outlived a start, so that it did not crash the workers that were lost at earlier ones; the services
    /// of those whose loss nothing explains any more.
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

    /// Whether a worker was lost at this address not long ago, of which no task is known to be the cause.
    pub fn has_recent_loss(&self, address: SocketAddr, now: u64) -> bool {
        let is_recent = |loss: &&RecentLoss| now <= loss.at_ms + FLAPPING_MS;
        let is_inherited =
            |loss: &InheritedLoss| loss.vm.address == address && now <= loss.at_ms + FLAPPING_MS;
        self.recent.iter().filter(is_recent).any(|loss| loss.entry.address == address)
            || self.inherited.iter().any(is_inherited)
    }

    /// The same of a loss that no task is likely to have caused: its VM may go down again by itself.
    pub fn has_unexplained_loss(&self, address: SocketAddr, now: u64) -> bool {
        let is_recent = |at_ms: u64| now <= at_ms + FLAPPING_MS;
        let own = self.recent.iter().filter(|loss| is_recent(loss.at_ms) && !loss.is_explained());
        let mut inherited = self.inherited.iter().filter(|loss| is_recent(loss.at_ms));
        own.map(|loss| loss.entry.address).any(|other| other == address)
            || inherited.any(|loss| loss.vm.address == address)
    }

    /// Whether other workers were lost when a task of that job lost its own by something else than a suspect: one
    /// beside it, or several anywhere. Those that it may have crashed itself don't count.
    pub fn is_correlated_failure(&self, job: JobId, entry: &WorkerEntry, lost_ms: u64) -> bool {
        let others = self.recent.iter().filter(|loss| !loss.starting_jobs.contains(&job));
        is_correlated(others.filter(|loss| loss.is_independent(lost_ms)), entry)
    }

    /// A job is known to crash its workers as it starts: what was lost then tells of no VM, and of none of the tasks
    /// that it took along; those are returned.
    ///
    /// A task that was just starting there itself stays counted, but for the loss of `crashed_worker`, the worker
    /// on which nothing else can have been the cause: two tasks that crash their workers may have met.
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

    /// A verdict is to be given later.
    pub fn defer_give_up(&mut self, pending: PendingGiveUp) {
        self.pending.push_back(pending);
    }

    /// The next verdict that is due.
    pub fn take_due_give_up(&mut self, now: u64) -> Option<PendingGiveUp> {
        let is_due =
            self.pending.front().is_some_and(|next| now >= next.lost_ms + GIVE_UP_DELAY_MS);
        if is_due { self.pending.pop_front() } else { None }
    }
}

/// Whether losses that came together with that of a worker, and of something else than a suspect, show a failure
/// that is larger than one worker.
fn is_correlated<'a>(
    independent: impl Iterator<Item = &'a RecentLoss>,
    entry: &WorkerEntry,
) -> bool {
    let independent: Vec<&RecentLoss> =
        independent.filter(|loss| loss.entry.id != entry.id).collect();
    independent.len() >= CORRELATED_LOSSES_MIN || independent.iter().any(|loss| loss.is_near(entry))
}
