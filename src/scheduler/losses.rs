//! Workers that are lost under tasks: who is suspected, how a suspect is tried, when it is given up.
//!
//! The load that this answers: a task crashes each worker that starts it, with all that runs there. A run
//! that ends with its worker is no failed attempt, so without a bound of its own the task goes from worker
//! to worker and takes the pool down with it. But workers die of other things too, and most tasks that were
//! on a lost worker are innocent: a count that blames all of them gives up jobs that would be served.
//!
//! So three things are told apart:
//!
//! * A task that was just starting when its worker was lost is suspected. From then on it starts on
//!   probation: on a worker that has answered a moment ago, where nothing else is just starting and that has
//!   the least to lose; nothing else starts there until it has been at work for a while. If that worker is
//!   lost too, nothing but this task can have been the cause, and its job is given up.
//! * If other workers were lost at the same time with nothing just starting on them, the failure is larger
//!   than one worker, and names nobody. Nor does a VM that loses one worker after the other.
//! * Whatever the reasons were, a task that has lost [`LOSSES_MAX`] workers is given up; for the last of them
//!   its probation was long. This bounds also what crashes its worker some time after its start.
//!
//! A loss is counted in the same record that takes the run off the books, and each next run needs that
//! record: no change of leader, restart or repeated news counts one twice or forgets it.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::jobs::model::{JobId, JobState, TaskKey};
use crate::jobs::record::LossCount;
use crate::jobs::site::WorkerEntry;
use crate::scheduler::job::RunPhase;
use crate::scheduler::worker::{BookedRun, WorkerRun};
use crate::scheduler::{Scheduler, SchedulerNote};

/// Time at work, by the worker's clock, after which a start is not what ends its worker, in milliseconds.
/// Crashes were seen within 10 ms of a start; a report comes in this time.
pub const PROOF_MS: u64 = 100;
/// The same for a task that has lost several workers, and for services at any time, in milliseconds: a
/// service lasts for weeks, and outlives many workers.
pub const LONG_PROOF_MS: u64 = 5_000;
/// Workers lost at its start from which a task that was tried on probation is given up. Two is the least
/// that the users' pages allow.
pub const LOSSES_AT_START_MAX: u32 = 2;
/// Workers lost under a task from which its probation is long, so that the next loss names it or clears it
/// also where it crashes them some time after its start.
const LONG_PROBATION_FROM: u32 = 3;
/// Workers lost under a task from which it is given up, whatever the reasons were: two starts after three
/// crashes are allowed, and a third is not. One less would give up innocent tasks: one of 3,000 in a pool of
/// four VMs of which one is lost every three seconds (the model in the tests).
pub const LOSSES_MAX: u32 = 5;
/// Time within which the losses of two workers may have one cause, in milliseconds: silence is noticed
/// after 0.2 to 0.5 s, and the VM list shows it a quarter of a second later.
const COINCIDENCE_MS: u64 = 1_000;
/// The same for workers of one rack, whose VMs are listed together.
const RACK_COINCIDENCE_MS: u64 = 300;
/// Workers in any racks whose loss at one time is a larger failure.
const STRUCK_MIN: usize = 2;
/// Time for which a VM that has lost a worker is no witness, in milliseconds: some go down and up by turns,
/// and their next loss tells of nobody.
const UNSTEADY_MS: u64 = 15_000;

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

    /// One worker more was lost.
    fn add(&mut self, is_at_start: bool) {
        self.all += 1;
        self.at_start += u32::from(is_at_start);
    }

    /// A worker that was taken for lost has answered.
    fn take_back(&mut self, is_at_start: bool) {
        self.all = self.all.saturating_sub(1);
        self.at_start = self.at_start.saturating_sub(u32::from(is_at_start));
    }
}

/// How it is known that a worker's life is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeEnd {
    /// Another life answers at its address.
    OtherLife,
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
            LifeEnd::NotOnVm => "its VM no longer runs it",
            LifeEnd::Moved => "its VM has moved",
            LifeEnd::Commanded => "its VM was commanded",
        }
    }

    /// Whether nobody wanted it.
    pub fn is_loss(self) -> bool {
        matches!(self, LifeEnd::OtherLife | LifeEnd::NotOnVm)
    }
}

/// A worker that was lost lately.
#[derive(Clone, Debug)]
struct RecentLoss {
    at_ms: u64,
    address: SocketAddr,
    rack: Arc<str>,
    /// Jobs that were just starting there, one of which may have been the cause.
    starting: Vec<JobId>,
    /// Whether one of them was on probation, and so is likely to be.
    had_suspect: bool,
    /// Whether the VM had lost another one not long before.
    was_unsteady: bool,
}

impl RecentLoss {
    /// Whether it tells of a failure beyond the VM's own that may have struck this rack too. In the same rack
    /// it is enough that no suspect was there; elsewhere nothing may have been starting at all, as on a busy
    /// worker something always is.
    fn is_shared_with(&self, rack: &str, now: u64) -> bool {
        let is_beside = *self.rack == *rack && now <= self.at_ms + RACK_COINCIDENCE_MS;
        let is_explained = match is_beside {
            true => self.had_suspect,
            false => !self.starting.is_empty(),
        };
        !is_explained && !self.was_unsteady && now <= self.at_ms + COINCIDENCE_MS
    }
}

/// Workers that were lost lately.
#[derive(Debug, Default)]
pub(crate) struct LossWatch {
    recent: VecDeque<RecentLoss>,
}

impl LossWatch {
    fn insert(&mut self, entry: &WorkerEntry, exposed: &[ExposedRun], now: u64) {
        self.recent.retain(|loss| now <= loss.at_ms + UNSTEADY_MS);
        let starting = exposed.iter().filter(|run| run.is_starting());
        let mut jobs: Vec<JobId> = starting.map(|run| run.task.job).collect();
        jobs.dedup();
        self.recent.push_back(RecentLoss {
            at_ms: now,
            address: entry.address,
            rack: entry.rack().into(),
            starting: jobs,
            had_suspect: exposed.iter().any(|run| run.booked.is_on_probation()),
            was_unsteady: self.is_unsteady(entry.address, now),
        });
    }

    /// Whether a worker was lost at this address not long ago, of which no task is known to be the cause.
    pub(crate) fn is_unsteady(&self, address: SocketAddr, now: u64) -> bool {
        let is_recent = |loss: &&RecentLoss| now <= loss.at_ms + UNSTEADY_MS;
        self.recent.iter().filter(is_recent).any(|loss| loss.address == address)
    }

    /// A job is known to crash its workers: what was lost while it was starting tells of no VM.
    fn explain(&mut self, job: JobId) {
        self.recent.retain(|loss| !loss.starting.contains(&job));
    }

    /// Racks of the workers that were lost about now by a failure that may have struck this rack too.
    fn struck_racks(&self, rack: &str, now: u64) -> Vec<Arc<str>> {
        let shared = self.recent.iter().filter(|loss| loss.is_shared_with(rack, now));
        shared.map(|loss| loss.rack.clone()).collect()
    }
}

/// A run that was on a worker when it was lost.
#[derive(Clone, Copy, Debug)]
struct ExposedRun {
    task: TaskKey,
    run: u32,
    booked: BookedRun,
    /// Started by an earlier leader, and not told of by its worker since: for how long it was at work is not
    /// known.
    is_unknown: bool,
}

impl ExposedRun {
    /// Whether its start may have been the cause.
    fn is_starting(&self) -> bool {
        !self.booked.has_worked(PROOF_MS) || self.booked.is_on_probation()
    }

    /// Whether it was just starting, as far as is known.
    fn is_at_start(&self) -> bool {
        self.is_starting() && !self.is_unknown
    }

    /// Whether its worker's loss says nothing of it.
    fn is_clear(&self) -> bool {
        self.booked.is_service && self.booked.has_worked(LONG_PROOF_MS)
    }
}

impl Scheduler {
    /// Counts lost workers against what they ran, and gives up the jobs that are named by it. Before the runs
    /// are taken off the books: one record tells both.
    ///
    /// What is learned of together is weighed together: the first worker of a rack must not be judged as if
    /// the others had not gone.
    pub(crate) fn blame_runs(&mut self, lost: &[WorkerRun], now: u64) {
        let mut cases = Vec::with_capacity(lost.len());
        for worker in lost {
            let exposed = self.exposed_runs(worker);
            let was_unsteady = self.losses.is_unsteady(worker.entry.address, now);
            cases.push((worker, exposed, was_unsteady));
        }
        for (worker, exposed, _) in &cases {
            self.losses.insert(&worker.entry, exposed, now);
        }
        for (worker, exposed, was_unsteady) in cases {
            let named = match was_unsteady {
                true => None,
                false => self.named_task(&worker.entry, &exposed, now),
            };
            match named {
                Some(task) => self.blame_named(&task, &exposed, now),
                None => self.blame_all(&exposed, now),
            }
        }
    }

    fn blame_named(&mut self, task: &TaskKey, exposed: &[ExposedRun], now: u64) {
        for run in exposed.iter().filter(|run| run.is_starting()) {
            self.count_loss(run);
        }
        self.give_up(task, "it was tried on probation", now);
    }

    /// Counts a worker that stays silent until its leases have run out. It may only be cut off, so it
    /// names nobody; the runs that were counted, and whether at their start.
    pub(crate) fn blame_silent(
        &mut self,
        worker: &WorkerRun,
        now: u64,
    ) -> BTreeMap<(TaskKey, u32), bool> {
        let exposed = self.exposed_runs(worker);
        self.blame_all(&exposed, now);
        let counted = exposed.iter().filter(|run| !run.is_clear());
        counted.map(|run| ((run.task, run.run), run.is_at_start())).collect()
    }

    fn blame_all(&mut self, exposed: &[ExposedRun], now: u64) {
        for run in exposed {
            let all = self.count_loss(run);
            if all >= LOSSES_MAX {
                self.give_up(&run.task, "it has lost too many workers", now);
            }
        }
    }

    /// The worker answers in the same life: it was not lost.
    pub(crate) fn forgive_runs(&mut self, id: &str) {
        for ((task, _), is_at_start) in self.abandoned.take_counted(id) {
            let Some(job) = self.jobs.get_mut(&task.job) else { continue };
            let Some(state) = job.task_mut(&task) else { continue };
            state.losses.take_back(is_at_start);
            self.commits.mark(task.job);
        }
    }

    /// Runs whose start may have reached the worker.
    fn exposed_runs(&self, worker: &WorkerRun) -> Vec<ExposedRun> {
        let expose = |((task, run), booked): (&(TaskKey, u32), &BookedRun)| {
            let lives = &self.jobs.get(&task.job)?.task(task)?.live;
            let phase = lives.iter().find(|live| live.run == *run)?.phase;
            let is_unknown = phase == RunPhase::Inherited;
            let run = ExposedRun { task: *task, run: *run, booked: *booked, is_unknown };
            (phase != RunPhase::Planned).then_some(run)
        };
        worker.runs.iter().filter_map(expose).collect()
    }

    /// The task that must have crashed this worker: only its job was just starting there, it was on
    /// probation, and no larger failure was under way.
    fn named_task(&self, entry: &WorkerEntry, exposed: &[ExposedRun], now: u64) -> Option<TaskKey> {
        let starting: Vec<&ExposedRun> = exposed.iter().filter(|run| run.is_starting()).collect();
        let job = starting.first()?.task.job;
        let is_alone = starting.iter().all(|run| run.task.job == job);
        if !is_alone || self.is_larger_failure(entry, now) {
            return None;
        }
        let is_suspect = |run: &&&ExposedRun| {
            let count = self.loss_count(&run.task);
            let is_again = count.at_start + 1 >= LOSSES_AT_START_MAX;
            run.is_at_start() && (is_again || count.all >= LONG_PROBATION_FROM)
        };
        starting.iter().find(is_suspect).map(|run| run.task)
    }

    /// Whether other workers went at the same time, or have just fallen silent, that no start explains: one
    /// in the same rack, or several.
    fn is_larger_failure(&self, entry: &WorkerEntry, now: u64) -> bool {
        let mut racks = self.losses.struck_racks(entry.rack(), now);
        let silent = self.workers.values().filter(|worker| self.is_struck(worker, now));
        racks.extend(silent.map(|worker| worker.entry.rack().into()));
        racks.len() >= STRUCK_MIN || racks.iter().any(|rack| **rack == *entry.rack())
    }

    /// Whether a worker has just fallen silent while nothing was starting there.
    fn is_struck(&self, worker: &WorkerRun, now: u64) -> bool {
        let is_new = worker.silent_since_ms.is_some_and(|since| now <= since + COINCIDENCE_MS);
        if !is_new || self.losses.is_unsteady(worker.entry.address, now) {
            return false;
        }
        let exposed = self.exposed_runs(worker);
        !exposed.is_empty() && !exposed.iter().any(ExposedRun::is_starting)
    }

    /// Workers lost under a task.
    pub(crate) fn loss_count(&self, key: &TaskKey) -> LossCount {
        let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
        task.map(|task| task.losses).unwrap_or_default()
    }

    /// Counts a lost worker against a task; how many it has lost.
    fn count_loss(&mut self, run: &ExposedRun) -> u32 {
        let Some(job) = self.jobs.get_mut(&run.task.job) else { return 0 };
        let Some(task) = job.task_mut(&run.task) else { return 0 };
        if run.is_clear() {
            return 0;
        }
        task.losses.add(run.is_at_start());
        self.commits.mark(run.task.job);
        task.losses.all
    }

    /// Gives up the job of a task that crashes its workers; callers are told at once that it has failed.
    fn give_up(&mut self, key: &TaskKey, reason: &'static str, now: u64) {
        let is_open = self.jobs.get(&key.job).is_some_and(|job| !job.state.is_final());
        if !is_open {
            return;
        }
        let lost = self.loss_count(key).all;
        self.losses.explain(key.job);
        self.note(SchedulerNote::GivenUp { task: *key, lost, reason });
        self.finish_job(key.job, JobState::Failed, now);
    }

    /// Job of a task that must be tried on probation.
    pub(crate) fn suspect(&self, key: &TaskKey) -> Option<JobId> {
        (self.loss_count(key).probation_ms() > 0).then_some(key.job)
    }

    /// Whether one more worker of a pool may be put at risk by a suspect: half of them stay for the rest.
    pub(crate) fn has_probation_room(&self, service: &str, now: u64) -> bool {
        let (mut all, mut at_risk) = (0, 0);
        for worker in self.workers.values().filter(|worker| &*worker.entry.service == service) {
            all += usize::from(worker.is_open(now));
            at_risk += usize::from(worker.has_probation());
        }
        at_risk * 2 < all.max(1)
    }
}
