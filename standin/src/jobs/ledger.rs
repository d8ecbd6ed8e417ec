//! What callers and workers have seen, and the promises that it must keep.

use std::collections::{BTreeMap, BTreeSet};

use ibisweir::jobs::model::{JobId, TaskKey};
use tokio::time::{Duration, Instant};

use crate::jobs::organisation::{CAP_CPU, most_running};
use crate::jobs::worker::TaskText;

/// How a caller's submission ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionEnd {
    /// Accepted.
    Accepted,
    /// Every try was refused for sure.
    Refused,
    /// Not known.
    Unknown,
}

/// A job as its caller knows it.
#[derive(Clone, Debug)]
pub struct CallerJob {
    /// Text for its tasks.
    pub payload: String,
    /// Tasks of each step.
    pub steps: Vec<u32>,
    /// How the submission ended; nothing while it is under way.
    pub end: Option<SubmissionEnd>,
    /// Whether a cancellation was sent.
    pub is_cancelled: bool,
    /// Whether its tasks last until it is cancelled.
    pub lasts: bool,
    /// Organisation that it belongs to.
    pub organisation: Option<usize>,
    /// Whether it may be shown as failed: its tasks fail, or crash their workers.
    pub may_fail: bool,
}

/// Time after the acknowledgement of a cancellation from which no task of the job may begin, in milliseconds.
pub const CANCEL_MS: u64 = 3_000;

/// A cancellation as its caller knows it to be done.
#[derive(Clone, Debug)]
struct CancellationAck {
    at: Instant,
    /// Entry that acknowledged it, and how.
    by: String,
}

/// Workers that may crash under a task before its starts are counted, and starts from there on that are too
/// many.
const CRASHES_FREE: u32 = 3;
const STARTS_TOO_MANY: u32 = 3;

#[derive(Clone, Debug, Default)]
struct TaskLedger {
    /// Lives of workers on which a run is alive, with its number.
    live: BTreeSet<(String, u32)>,
    is_done: bool,
    is_done_acknowledged: bool,
    starts: u32,
    /// Workers that it has crashed, and starts since that was too many.
    crashes: u32,
    starts_since: u32,
    /// Runs that began after the job's cancellation was acknowledged.
    begun_cancelled: BTreeSet<(String, u32)>,
}

/// All that was seen, checked as it is written.
#[derive(Debug, Default)]
pub struct JobLedger {
    /// Jobs by id.
    pub jobs: BTreeMap<JobId, CallerJob>,
    /// Promises that were broken.
    pub faults: Vec<String>,
    /// Starts carried out.
    pub starts: u64,
    /// Those of tasks that had started before.
    pub repeats: u64,
    /// Runs that ended as their leases ran out.
    pub lapsed: u64,
    /// Starts carried out after the acknowledgement of the job's cancellation, within the bound or not.
    pub starts_cancelled: u64,
    /// Those of them that ended as done: nobody stopped them.
    pub done_cancelled: u64,
    cancellations: BTreeMap<JobId, CancellationAck>,
    withdrawn: BTreeSet<JobId>,
    tasks: BTreeMap<TaskKey, TaskLedger>,
    /// Who has used which fencing token, by VM.
    holders: BTreeMap<(String, u64), String>,
}

impl JobLedger {
    /// A worker begins a run. `is_late` says that it does so long after it was asked.
    pub fn started(
        &mut self,
        task: TaskKey,
        run: u32,
        incarnation: &str,
        payload: &str,
        is_late: bool,
        now: Instant,
    ) {
        self.starts += 1;
        match self.jobs.get(&task.job) {
            None => self.faults.push(format!("{task} starts, and nobody handed its job in")),
            Some(job) if job.payload != payload => {
                self.faults.push(format!("{task} starts with another text"));
            }
            Some(_) => {}
        }
        let ledger = self.tasks.entry(task).or_default();
        self.repeats += u64::from(ledger.starts > 0);
        ledger.starts += 1;
        ledger.starts_since += u32::from(!is_late && ledger.crashes >= CRASHES_FREE);
        if ledger.starts_since == STARTS_TOO_MANY {
            self.faults
                .push(format!("{task} has crashed three workers, and starts three times more"));
        }
        if !is_late && !ledger.live.is_empty() {
            self.faults.push(format!(
                "{task} run {run} starts on {incarnation} while it runs on {:?}",
                ledger.live
            ));
        }
        if !is_late && ledger.is_done_acknowledged {
            self.faults
                .push(format!("{task} run {run} starts on {incarnation} after its end was noted"));
        }
        ledger.live.insert((incarnation.to_owned(), run));
        if !is_late {
            self.check_cancellation(task, run, incarnation, now);
        }
        self.check_cap(task);
    }

    /// Nothing of a job may begin later than the bound after the acknowledgement of its cancellation.
    fn check_cancellation(&mut self, task: TaskKey, run: u32, incarnation: &str, now: Instant) {
        let Some(ack) = self.cancellations.get(&task.job) else { return };
        self.starts_cancelled += 1;
        let ledger = self.tasks.entry(task).or_default();
        ledger.begun_cancelled.insert((incarnation.to_owned(), run));
        let since = now.saturating_duration_since(ack.at);
        if since > Duration::from_millis(CANCEL_MS) {
            let by = &ack.by;
            self.faults.push(format!(
                "{task} run {run} starts on {incarnation} {} ms after its job's cancellation was acknowledged by {by}",
                since.as_millis()
            ));
        }
    }

    /// A caller is told by an entry that its cancellation is done, or that there is no such job. The first time
    /// counts.
    pub fn cancelled(&mut self, id: JobId, by: &str, now: Instant) {
        self.cancellations
            .entry(id)
            .or_insert_with(|| CancellationAck { at: now, by: by.to_owned() });
    }

    /// A start must not bring what its organisation has running over its cap and one task.
    fn check_cap(&mut self, task: TaskKey) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        let Some(organisation) = job.organisation else { return };
        let cpu = TaskText::parse(&job.payload).cpu;
        let owned = |id: &JobId| self.jobs.get(id).filter(|j| j.organisation == Some(organisation));
        let running = self.tasks.iter().filter(|(_, ledger)| !ledger.live.is_empty());
        let used: u64 = running
            .filter_map(|(key, ledger)| Some((owned(&key.job)?, ledger.live.len() as u64)))
            .map(|(job, live)| TaskText::parse(&job.payload).cpu * live)
            .sum();
        if used > most_running(cpu) {
            self.faults.push(format!("{task} brings its organisation to {used} of {CAP_CPU}"));
        }
    }

    /// A task has crashed its worker.
    pub fn crashed(&mut self, task: TaskKey) {
        self.tasks.entry(task).or_default().crashes += 1;
    }

    /// A start brings what runs on a worker without a guard to so much, of a room of so much.
    pub fn filled(&mut self, task: TaskKey, incarnation: &str, wanted: u64, room: u64) {
        if wanted > room {
            self.faults.push(format!("{task} brings {incarnation} to {wanted} of {room}"));
        }
    }

    /// A caller that has not been told that its job is accepted is told by its cancellation that there is none: also
    /// if the submission is carried out yet, nothing of the job need be shown.
    pub fn withdrawn(&mut self, id: JobId) {
        self.withdrawn.insert(id);
    }

    /// Whether a job was withdrawn before its caller knew it to be accepted.
    pub fn is_withdrawn(&self, id: JobId) -> bool {
        self.withdrawn.contains(&id)
    }

    /// Whether the caller of a job knows it to be accepted.
    pub fn is_accepted(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some_and(|job| job.end == Some(SubmissionEnd::Accepted))
    }

    /// A caller is told that a job has failed.
    pub fn shown_failed(&mut self, id: JobId) {
        if self.jobs.get(&id).is_some_and(|job| !job.may_fail) {
            self.faults.push(format!("{id} is shown as failed, and nothing was wrong with it"));
        }
    }

    /// A run is over.
    pub fn ended(&mut self, task: TaskKey, run: u32, incarnation: &str, is_done: bool) {
        let ledger = self.tasks.entry(task).or_default();
        ledger.live.remove(&(incarnation.to_owned(), run));
        ledger.is_done |= is_done;
        if ledger.begun_cancelled.remove(&(incarnation.to_owned(), run)) && is_done {
            self.done_cancelled += 1;
        }
    }

    /// The end of a run that was done has been acknowledged.
    pub fn acknowledged(&mut self, task: TaskKey) {
        let ledger = self.tasks.entry(task).or_default();
        ledger.is_done_acknowledged |= ledger.is_done;
    }

    /// A caller is told that a job is completed.
    pub fn shown_completed(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        for (step, count) in job.steps.iter().enumerate() {
            for index in 0..*count {
                let step = u16::try_from(step).unwrap_or(u16::MAX);
                let task = TaskKey { job: id, occurrence: 0, step, index };
                if !self.tasks.get(&task).is_some_and(|ledger| ledger.is_done) {
                    self.faults.push(format!("{id} is shown as completed, and {task} is not done"));
                }
            }
        }
    }

    /// A VM takes a command.
    pub fn commanded(&mut self, vm: &str, token: u64, holder: &str) {
        let known = self.holders.entry((vm.to_owned(), token)).or_insert_with(|| holder.to_owned());
        if known != holder {
            self.faults.push(format!("{vm} is commanded by {known} and {holder} with one token"));
        }
    }

    fn tasks_of(&self, job: JobId) -> impl Iterator<Item = &TaskLedger> {
        let first = TaskKey { job, occurrence: 0, step: 0, index: 0 };
        let last = TaskKey { job, occurrence: u32::MAX, step: u16::MAX, index: u32::MAX };
        self.tasks.range(first..=last).map(|(_, ledger)| ledger)
    }

    /// Starts of a job's tasks.
    pub fn starts_of(&self, id: JobId) -> u32 {
        self.tasks_of(id).map(|ledger| ledger.starts).sum()
    }

    /// Runs of a job that are alive.
    pub fn live_of(&self, id: JobId) -> usize {
        self.tasks_of(id).map(|ledger| ledger.live.len()).sum()
    }

    /// Tasks of a job that are done.
    pub fn done_of(&self, id: JobId) -> usize {
        self.tasks_of(id).filter(|ledger| ledger.is_done).count()
    }
}
