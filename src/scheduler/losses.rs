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
const COINCIDENCE_MS: u64 = 1_000;
/// Time for which a verdict waits for the news of other workers, in milliseconds.
pub const VERDICT_MS: u64 = 800;
/// Workers of other pools and racks whose loss at one time is a larger failure.
const STRUCK_MIN: usize = 2;
/// Time for which a VM that has lost a worker is no witness, in milliseconds: some go down and up by turns,
/// and their next loss tells of nobody.
const UNSTEADY_MS: u64 = 15_000;
/// Time for which it is kept whom a loss was counted against, in milliseconds: a task that crashes its workers waits
/// for room on probation, and is convicted long after its first loss.
const KEPT_MS: u64 = 60_000;
/// Losses of a pool that the log keeps.
const RECORDED_MAX: usize = 16;
/// Workers lost under a task from which the log keeps what else was lost in its pool.
const RECORDED_FROM: u32 = 1;
/// Workers lost under a task from which it starts in a calm pool only.
const TRIAL_FROM: u32 = 3;
/// Time that a VM of a calm pool lasts before the first such start, in milliseconds; twice that before the next.
const CALM_LIFE_MS: u64 = 12_000;
/// Age up to which a loss that the log tells of may be part of unrest that goes on, in milliseconds.
const UNREST_MS: u64 = 2 * CALM_LIFE_MS;
/// One VM in so many may be lost at any rate: suspects keep off those that were lost lately.
const UNSTEADY_PART: usize = 8;
/// Time for which a pool is watched without a task on trial before it starts there again, in milliseconds: the loss of
/// a worker is noticed within a second, and what was starting there has then outlived its next start.
const WATCH_MS: u64 = 2_000;
/// Longest time that a task waits for its pool to become calm, in milliseconds.
const CALM_WAIT_MAX_MS: u64 = 15_000;

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
        self.total >= TRIAL_FROM
    }

    /// Whether the log must keep what else was lost in its pool.
    fn is_recorded(&self) -> bool {
        self.total >= RECORDED_FROM
    }

    /// Time that each VM of a pool lasts in which a task on trial may start, in milliseconds.
    fn calm_life_ms(&self) -> u64 {
        CALM_LIFE_MS << self.total.saturating_sub(TRIAL_FROM).min(1)
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
    pub(crate) fn take_back(&mut self, is_at_start: bool) {
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
pub(crate) struct ExposedRun {
    /// Its task.
    pub task: TaskKey,
    /// Run number.
    pub run: u32,
    /// What was booked for it.
    pub booked: PlacedRun,
    /// Started by an earlier leader, and not told of by its worker since; or we are behind ourselves. For how
    /// long it was at work is not known.
    pub is_unknown: bool,
}

impl ExposedRun {
    /// Whether its start may have been the cause.
    pub fn is_starting(&self) -> bool {
        !self.booked.has_worked(CRASH_WINDOW_MS) || self.booked.is_on_probation()
    }

    /// Whether it was just starting, as far as is known.
    pub fn is_at_start(&self) -> bool {
        !self.booked.has_worked(CRASH_WINDOW_MS) && !self.is_unknown
    }

    /// Whether it may have crashed its worker by its start.
    fn is_suspected(&self) -> bool {
        self.is_at_start() || self.booked.is_on_probation()
    }

    /// Whether its worker's loss says nothing of it.
    pub fn is_clear(&self) -> bool {
        self.booked.is_service && self.booked.has_worked(LONG_CRASH_WINDOW_MS)
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
    is_starting: bool,
}

/// A worker that was lost lately.
#[derive(Clone, Debug)]
struct RecentLoss {
    at_ms: u64,
    entry: WorkerEntry,
    /// Tasks that ran there.
    running_tasks: Vec<TaskKey>,
    /// Jobs that were just starting there.
    starting: Vec<JobId>,
    /// Whom it was counted against.
    counted: Vec<CountedRun>,
    /// Whether one of them was on probation, and so is likely to be the cause.
    had_suspect: bool,
    /// Tasks that may have crashed it: those that were just starting there or were on probation, and have not
    /// outlived a start since.
    suspected: Vec<TaskKey>,
    /// Whether the VM had lost another one not long before.
    was_unsteady: bool,
}

impl RecentLoss {
    /// Whether it came at that time, and of something else than a suspect or the VM's own trouble.
    fn is_external(&self, at_ms: u64) -> bool {
        self.at_ms.abs_diff(at_ms) <= COINCIDENCE_MS && !self.had_suspect && !self.was_unsteady
    }

    /// Whether one of its tasks may be the cause, so that it tells nothing of the pool.
    fn is_explained(&self) -> bool {
        !self.suspected.is_empty()
    }

    fn is_near(&self, entry: &WorkerEntry) -> bool {
        self.entry.service == entry.service || self.entry.rack() == entry.rack()
    }
}

/// Why a task may have to be given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VerdictCause {
    /// It has lost a worker at its start, on probation.
    Named,
    /// It has lost as many workers as a task may.
    Exhausted,
}

/// A task that may have to be given up: once it is known which other workers went then, and whether another task
/// is convicted of the losses that were counted against it.
#[derive(Clone, Debug)]
pub(crate) struct PendingVerdict {
    /// Why.
    pub cause: VerdictCause,
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
    verdicts: VecDeque<PendingVerdict>,
    /// VMs whose workers were lost under earlier leaders, as far as the log tells.
    inherited: Vec<InheritedLoss>,
    /// Tasks that are suspected of any recent loss.
    suspected: BTreeSet<TaskKey>,
    /// Jobs with tasks that have lost so many workers that the log keeps what else is lost in their pools.
    recorded: BTreeSet<JobId>,
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
                age if age < UNREST_MS => now,
                age => now.saturating_sub(age),
            },
            service: service.clone(),
            vm: vm.clone(),
        }));
    }

    /// What the next leader must know of a pool.
    pub fn record(&self, service: &str, now: u64, wall_ms: u64) -> Vec<LostVm> {
        let wall_at = |at_ms: u64| wall_ms.saturating_sub(now.saturating_sub(at_ms));
        let is_kept = |at_ms: u64| now <= at_ms + KEPT_MS;
        let is_open = |task: &&TaskKey| self.recorded.contains(&task.job);
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
        let surplus = lost.len().saturating_sub(RECORDED_MAX);
        lost.drain(..surplus);
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
        let has_one_loss_left = pool.is_for_service && task.losses.has_one_loss_left();
        let is_watched = has_one_loss_left || now < task.waiting_since_ms + WATCH_MS;
        self.may_keep_waiting(task, pool.is_for_service, now)
            && (is_watched || !self.is_calm(pool, key, task.losses.calm_life_ms(), now))
    }

    /// Whether a task on trial still waits for the time and the VM that it asks for.
    pub fn may_keep_waiting(&self, task: &TaskRun, is_for_service: bool, now: u64) -> bool {
        let since_ms = task.waiting_since_ms.max(self.opened_ms);
        task.losses.is_on_trial()
            && now < since_ms + CALM_WAIT_MAX_MS
            && !task.is_overdue(is_for_service, now)
    }

    /// Whether over no recent time, up to `life_ms`, VMs of a pool were lost at such a rate that they would not last
    /// that long, whatever that task did.
    fn is_calm(&self, pool: &PoolView<'_>, key: &TaskKey, life_ms: u64, now: u64) -> bool {
        let vms = u64::try_from(pool.vms).unwrap_or(u64::MAX);
        let ages = self.loss_ages(pool.service, key, now);
        let lost = (1u64..).zip(ages).skip(pool.vms / UNSTEADY_PART);
        lost.take_while(|(_, age)| *age < life_ms)
            .all(|(count, age)| age.saturating_mul(vms) >= count.min(vms).saturating_mul(life_ms))
    }

    /// Whether no worker of a pool was lost for so long, by whatever cause; what was lost under earlier leaders aside.
    pub fn is_loss_free(&self, service: &str, ms: u64, now: u64) -> bool {
        let mut lost = self.recent.iter().filter(|loss| &*loss.entry.service == service);
        !lost.any(|loss| now < loss.at_ms + ms)
    }

    /// A job's task has lost so many workers.
    pub fn track_losses(&mut self, job: JobId, losses: &LossCount) {
        if losses.is_recorded() {
            self.recorded.insert(job);
        }
    }

    /// Jobs for which the log keeps what is lost in their pools.
    pub fn recorded(&self) -> &BTreeSet<JobId> {
        &self.recorded
    }

    /// A job is over.
    pub fn forget_job(&mut self, job: JobId) {
        self.recorded.remove(&job);
    }

    /// A worker was lost with these runs.
    pub fn insert(&mut self, entry: &WorkerEntry, exposed: &[ExposedRun], now: u64) {
        self.recent.retain(|loss| now <= loss.at_ms + KEPT_MS);
        let running_tasks = exposed.iter().map(|run| run.task).collect();
        let starting = exposed.iter().filter(|run| run.is_starting());
        let mut jobs: Vec<JobId> = starting.map(|run| run.task.job).collect();
        jobs.dedup();
        let counted = exposed.iter().filter(|run| !run.is_clear()).map(|run| CountedRun {
            task: run.task,
            is_at_start: run.is_at_start(),
            is_starting: run.is_starting(),
        });
        let suspected = exposed.iter().filter(|run| run.is_suspected()).map(|run| run.task);
        let loss = RecentLoss {
            at_ms: now,
            entry: entry.clone(),
            running_tasks,
            starting: jobs,
            counted: counted.collect(),
            had_suspect: exposed.iter().any(|run| run.booked.is_on_probation()),
            suspected: suspected.collect(),
            was_unsteady: self.has_recent_loss(entry.address, now),
        };
        self.recent.push_back(loss);
        self.suspected = self.recent.iter().flat_map(|loss| loss.suspected.clone()).collect();
    }

    /// Whether a recent loss may be this task's doing.
    pub fn is_suspected(&self, task: &TaskKey) -> bool {
        self.suspected.contains(task)
    }

    /// A task has outlived a start, so that it did not crash the workers that were lost at earlier ones; the services
    /// of those whose loss nothing explains any more.
    pub fn exonerate(&mut self, task: &TaskKey) -> BTreeSet<Arc<str>> {
        let mut services = BTreeSet::new();
        if !self.suspected.remove(task) {
            return services;
        }
        for loss in self.recent.iter_mut().filter(|loss| loss.suspected.contains(task)) {
            loss.suspected.retain(|other| other != task);
            if !loss.is_explained() {
                services.insert(loss.entry.service.clone());
            }
        }
        services
    }

    /// Whether a worker was lost at this address not long ago, of which no task is known to be the cause.
    pub fn has_recent_loss(&self, address: SocketAddr, now: u64) -> bool {
        let is_recent = |loss: &&RecentLoss| now <= loss.at_ms + UNSTEADY_MS;
        let is_inherited =
            |loss: &InheritedLoss| loss.vm.address == address && now <= loss.at_ms + UNSTEADY_MS;
        self.recent.iter().filter(is_recent).any(|loss| loss.entry.address == address)
            || self.inherited.iter().any(is_inherited)
    }

    /// The same of a loss that no task is likely to have caused: its VM may go down again by itself.
    pub fn has_unexplained_loss(&self, address: SocketAddr, now: u64) -> bool {
        let is_recent = |at_ms: u64| now <= at_ms + UNSTEADY_MS;
        let own = self.recent.iter().filter(|loss| is_recent(loss.at_ms) && !loss.is_explained());
        let mut inherited = self.inherited.iter().filter(|loss| is_recent(loss.at_ms));
        own.map(|loss| loss.entry.address).any(|other| other == address)
            || inherited.any(|loss| loss.vm.address == address)
    }

    /// Whether other workers were lost when a task of that job lost its own by something else than a suspect: one
    /// beside it, or several anywhere. Those that it may have crashed itself don't count.
    pub fn is_larger_failure(&self, job: JobId, entry: &WorkerEntry, lost_ms: u64) -> bool {
        let others = self.recent.iter().filter(|loss| !loss.starting.contains(&job));
        is_larger(others.filter(|loss| loss.is_external(lost_ms)), entry)
    }

    /// A job is known to crash its workers as it starts: what was lost then tells of no VM, and of none of the tasks
    /// that it took along; those are returned.
    ///
    /// A task that was just starting there itself stays counted, but for the loss of `convicted`, the worker
    /// on which nothing else can have been the cause: two tasks that crash their workers may have met.
    pub fn explain(&mut self, job: JobId, convicted: &str) -> Vec<CountedRun> {
        let (explained, open): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.recent)
            .into_iter()
            .partition(|loss| loss.starting.contains(&job));
        self.recent = open;
        let mut cleared = Vec::new();
        for loss in explained {
            let is_convicted = convicted == &*loss.entry.id;
            let others = loss.counted.into_iter().filter(|run| run.task.job != job);
            cleared.extend(others.filter(|run| is_convicted || !run.is_starting));
        }
        cleared
    }

    /// A verdict is to be given later.
    pub fn defer(&mut self, verdict: PendingVerdict) {
        self.verdicts.push_back(verdict);
    }

    /// The next verdict that is due.
    pub fn due_verdict(&mut self, now: u64) -> Option<PendingVerdict> {
        let is_due = self.verdicts.front().is_some_and(|next| now >= next.lost_ms + VERDICT_MS);
        if is_due { self.verdicts.pop_front() } else { None }
    }
}

/// Whether losses that came together with that of a worker, and of something else than a suspect, show a failure
/// that is larger than one worker.
fn is_larger<'a>(external: impl Iterator<Item = &'a RecentLoss>, entry: &WorkerEntry) -> bool {
    let external: Vec<&RecentLoss> = external.filter(|loss| loss.entry.id != entry.id).collect();
    external.len() >= STRUCK_MIN || external.iter().any(|loss| loss.is_near(entry))
}
