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
//! * A run that was seen at work for longer than a start takes, and whose worker was lost together with others or
//!   on a VM that had just lost one without its job, was lost by something else: that is not counted.
//! * A task with [`LOSSES_MAX`] counted losses is given up, whatever their reasons were; after three of them its
//!   probation is long. This bounds also what crashes its worker some time after its start.
//!
//! A loss is counted in the same record that takes the run off the books, and each next run needs that
//! record: no change of leader, restart or repeated news counts one twice or forgets it.

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::jobs::model::{JobId, TaskKey};
use crate::jobs::record::LossCount;
use crate::jobs::site::WorkerEntry;
use crate::scheduler::worker::BookedRun;

/// Time at work, by the worker's clock, after which a start is not what ends its worker, in milliseconds. A longer time
/// suspects more tasks that merely were there, and gives other failures longer to fall into a probation.
pub const PROOF_MS: u64 = 30;
/// The same for a task that has lost several workers, and for services at any time, in milliseconds: a
/// service lasts for weeks, and outlives many workers.
pub const LONG_PROOF_MS: u64 = 5_000;
/// Workers lost at its start from which a task is given up: one that it shared with others, and two on
/// probation. Two in all would be too few, as failures of other causes follow each other within a second.
pub const LOSSES_AT_START_MAX: u32 = 3;
/// Workers lost under a task from which its probation is long.
const LONG_PROBATION_FROM: u32 = 3;
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

impl LossCount {
    /// Time at work after which a task's start is over as a danger, in milliseconds; 0 for a task that is
    /// not on probation.
    pub fn probation_ms(&self) -> u64 {
        match (self.all, self.at_start) {
            (all, _) if all >= LONG_PROBATION_FROM => LONG_PROOF_MS,
            (_, 0) => 0,
            _ => PROOF_MS,
        }
    }

    /// Whether so many were lost that the task must not start again.
    pub fn is_exhausted(&self) -> bool {
        self.all >= LOSSES_MAX
    }

    /// One worker more was lost.
    pub(crate) fn add(&mut self, is_at_start: bool) {
        self.all += 1;
        self.at_start += u32::from(is_at_start);
    }

    /// A worker that was taken for lost has answered, or was lost by another task.
    pub(crate) fn take_back(&mut self, is_at_start: bool) {
        self.all = self.all.saturating_sub(1);
        self.at_start = self.at_start.saturating_sub(u32::from(is_at_start));
    }
}

/// How it is known that a worker's life is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeEnd {
    /// Another life answers at its address.
    OtherLife,
    /// It has begun anew under its name.
    Reborn,
    /// Its VM shows another life, or none.
    NotOnVm,
    /// Its VM is in another pool.
    Moved,
    /// Its VM has taken a command that ends it.
    Commanded,
}

impl LifeEnd {
    /// The words for the log.
    pub fn word(self) -> &'static str {
        match self {
            LifeEnd::OtherLife => "another life answers",
            LifeEnd::Reborn => "it has begun anew",
            LifeEnd::NotOnVm => "its VM no longer runs it",
            LifeEnd::Moved => "its VM has moved",
            LifeEnd::Commanded => "its VM was commanded",
        }
    }

    /// Whether nobody wanted it.
    pub fn is_loss(self) -> bool {
        matches!(self, LifeEnd::OtherLife | LifeEnd::Reborn | LifeEnd::NotOnVm)
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
    pub booked: BookedRun,
    /// Started by an earlier leader, and not told of by its worker since; or we are behind ourselves. For how
    /// long it was at work is not known.
    pub is_unknown: bool,
}

impl ExposedRun {
    /// Whether its start may have been the cause.
    pub fn is_starting(&self) -> bool {
        !self.booked.has_worked(PROOF_MS) || self.booked.is_on_probation()
    }

    /// Whether it was just starting, as far as is known.
    pub fn is_at_start(&self) -> bool {
        !self.booked.has_worked(PROOF_MS) && !self.is_unknown
    }

    /// Whether it is known to have been at work for longer than a start can be what ended its worker.
    pub fn is_late(&self) -> bool {
        !self.is_unknown && self.booked.has_worked(PROOF_MS)
    }

    /// Whether its worker's loss says nothing of it.
    pub fn is_clear(&self) -> bool {
        self.booked.is_service && self.booked.has_worked(LONG_PROOF_MS)
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
    /// Jobs that ran there.
    aboard: Vec<JobId>,
    /// Jobs that were just starting there.
    starting: Vec<JobId>,
    /// Whom it was counted against.
    counted: Vec<CountedRun>,
    /// Whether one of them was on probation, and so is likely to be the cause.
    had_suspect: bool,
    /// Whether the VM had lost another one not long before.
    was_unsteady: bool,
}

impl RecentLoss {
    /// Whether it came at that time, and of something else than a suspect or the VM's own trouble.
    fn is_external(&self, at_ms: u64) -> bool {
        self.at_ms.abs_diff(at_ms) <= COINCIDENCE_MS && !self.had_suspect && !self.was_unsteady
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

/// Workers that were lost lately, and what is still to be decided about them.
#[derive(Debug, Default)]
pub(crate) struct LossWatch {
    recent: VecDeque<RecentLoss>,
    verdicts: VecDeque<PendingVerdict>,
}

impl LossWatch {
    /// A worker was lost with these runs.
    pub fn insert(&mut self, entry: &WorkerEntry, exposed: &[ExposedRun], now: u64) {
        self.recent.retain(|loss| now <= loss.at_ms + KEPT_MS);
        let mut aboard: Vec<JobId> = exposed.iter().map(|run| run.task.job).collect();
        aboard.dedup();
        let starting = exposed.iter().filter(|run| run.is_starting());
        let mut jobs: Vec<JobId> = starting.map(|run| run.task.job).collect();
        jobs.dedup();
        let counted = exposed.iter().filter(|run| !run.is_clear()).map(|run| CountedRun {
            task: run.task,
            is_at_start: run.is_at_start(),
            is_starting: run.is_starting(),
        });
        let loss = RecentLoss {
            at_ms: now,
            entry: entry.clone(),
            aboard,
            starting: jobs,
            counted: counted.collect(),
            had_suspect: exposed.iter().any(|run| run.booked.is_on_probation()),
            was_unsteady: self.is_unsteady(entry.address, now),
        };
        self.recent.push_back(loss);
    }

    /// Whether a worker was lost at this address not long ago, of which no task is known to be the cause.
    pub fn is_unsteady(&self, address: SocketAddr, now: u64) -> bool {
        let is_recent = |loss: &&RecentLoss| now <= loss.at_ms + UNSTEADY_MS;
        self.recent.iter().filter(is_recent).any(|loss| loss.entry.address == address)
    }

    /// Whether other workers were lost when a task of that job lost its own by something else than a suspect: one
    /// beside it, or several anywhere. Those that it may have crashed itself don't count.
    pub fn is_larger_failure(&self, job: JobId, entry: &WorkerEntry, lost_ms: u64) -> bool {
        let others = self.recent.iter().filter(|loss| !loss.starting.contains(&job));
        is_larger(others.filter(|loss| loss.is_external(lost_ms)), entry)
    }

    /// Whether a run that was long at work was lost by something else than its task: other workers went with its
    /// own, or its VM had lost one lately on which its job did not run and nothing was suspected.
    pub fn is_excused(&self, run: &ExposedRun, entry: &WorkerEntry, now: u64) -> bool {
        let job = run.task.job;
        let is_flap = |loss: &&RecentLoss| {
            loss.entry.address == entry.address
                && loss.entry.id != entry.id
                && now <= loss.at_ms + UNSTEADY_MS
                && !loss.aboard.contains(&job)
                && !loss.had_suspect
        };
        let others = self.recent.iter().filter(|loss| !loss.aboard.contains(&job));
        run.is_late()
            && (self.recent.iter().any(|loss| is_flap(&loss))
                || is_larger(others.filter(|loss| loss.is_external(now)), entry))
    }

    /// The loss of that worker counts against these tasks only.
    pub fn set_counted(&mut self, worker: &str, exposed: &[ExposedRun]) {
        let loss = self.recent.iter_mut().rev().find(|loss| &*loss.entry.id == worker);
        if let Some(loss) = loss {
            let is_counted =
                |run: &CountedRun| exposed.iter().any(|exposed| exposed.task == run.task);
            loss.counted.retain(is_counted);
        }
    }

    /// A job is known to crash its workers: what was lost while it was starting tells of no VM, and of none
    /// of the tasks that it took along; those are returned.
    ///
    /// A task that was just starting there itself stays counted, but for the loss of `convicted`, the worker
    /// on which nothing else can have been the cause: two tasks that crash their workers may have met.
    pub fn explain(&mut self, job: JobId, convicted: Option<&str>) -> Vec<CountedRun> {
        let (explained, open): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.recent)
            .into_iter()
            .partition(|loss| loss.starting.contains(&job));
        self.recent = open;
        let mut cleared = Vec::new();
        for loss in explained {
            let is_convicted = convicted == Some(&*loss.entry.id);
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
