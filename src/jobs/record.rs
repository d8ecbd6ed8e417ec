//! Records of the job log and their encoding.
//!
//! Each job has three keys, so that no writer overwrites the data of another one. Any entry may
//! write the submission and the cancellation, any number of times; only the leader writes the
//! progress. The log keeps the newest record of each key.
//!
//! Where callers belong to organisations, a cancellation by an entry that does not know the job has
//! a separate key for each organisation. Whether it applies is decided once the job is known.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::decide::access::OrganisationDigest;
use crate::decide::intake::KeptBytes;
use crate::jobs::model::{
    JobId, JobState, JobSubmission, OCCURRENCES_MAX, STEPS_MAX, TASKS_MAX, TaskKey,
};

/// One record of the job log.
#[derive(Clone, Debug, PartialEq)]
pub enum JobRecord {
    /// A caller submitted the job.
    Submitted(JobId, Arc<JobSubmission>),
    /// A caller cancelled the job.
    Cancelled(JobId),
    /// A caller cancelled the job before the caller's entry knew it; applies if that caller may see
    /// the job.
    CancelledBy(JobId, OrganisationDigest),
    /// Progress of the job.
    Progress(JobId, Arc<JobProgress>),
    /// One of the job's keys was dropped; the job finished long ago.
    Dropped(JobId),
    /// A [`JobRecord::CancelledBy`] was dropped.
    TombstoneDropped(JobId, OrganisationDigest),
    /// VMs of a maintenance wave whose maintenance is complete, by the number of the wave.
    Wave(u64, Arc<BTreeSet<Arc<str>>>),
    /// VMs of a pool that lost their workers recently, probably for a reason other than a task; the
    /// latest last.
    Losses(Arc<str>, Arc<Vec<LostVm>>),
    /// What a leader has learned, encoded by `scheduler/ledger.rs`; empty if its key was dropped.
    Learned(LearnedKey, Arc<[u8]>),
}

impl JobRecord {
    /// Memory that the job of a submission takes once it is accepted; none for any other record.
    pub fn kept(&self) -> KeptBytes {
        match self {
            JobRecord::Submitted(_, submission) => submission.spec.kept(),
            _ => KeptBytes::default(),
        }
    }
}

/// What a learned state is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LearnedKey {
    /// Run times of a queue.
    Queue(Arc<str>),
    /// Used shares of the organisations.
    Shares,
}

/// Format of learned states, their first byte. The term follows in postcard.
pub const LEARNED_VERSION: u8 = 1;

/// A VM whose worker was lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostVm {
    /// Address of the worker.
    pub address: SocketAddr,
    /// When the loss was detected, in milliseconds since the epoch.
    pub lost_ms: u64,
    /// Tasks that ran there, of jobs that have lost a worker.
    pub running_tasks: Vec<TaskKey>,
}

/// Progress of a job. Each record is complete and replaces the previous one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobProgress {
    /// Term of the leader that wrote it.
    pub term: u64,
    /// State as shown to callers.
    pub state: JobState,
    /// When the state became final, in milliseconds since the epoch.
    pub ended_ms: u64,
    /// Number of occurrences that are complete; later ones are not.
    pub occurrences_done: u32,
    /// Steps whose tasks are all complete, by occurrence and position.
    pub steps_done: Vec<(u32, u16)>,
    /// Tasks of unfinished steps that differ from a task that never started, and tasks of finished
    /// steps that were started more than once.
    pub tasks: Vec<TaskProgress>,
    /// Workers that the tasks refer to by position.
    pub workers: Vec<Arc<str>>,
    /// Restart counts of tasks that have any, and of other open tasks that have lost a run. Records
    /// from before this field was added end here.
    pub restarts: Vec<TaskRestarts>,
    /// When a run of each task in `restarts` was last known to be alive, in milliseconds since the
    /// epoch; 0 if unknown. Records from before this field was added end here.
    pub last_alive_ms: Vec<u64>,
    /// Latest run of a task that counts as failed: position of the task in `tasks`, and run number.
    /// The members of a gang share a run, and its failure counts once.
    pub failed_runs: Vec<(u16, u32)>,
    /// Runs that may be alive though the loss of a worker was counted for them: position of the
    /// task in `tasks`, and run number. Last field; records from before it and the field above were
    /// added lack both.
    pub lost_runs: Vec<(u16, u32)>,
}

impl JobProgress {
    /// Whether each figure is one that a leader can have written. A later leader counts on with
    /// them.
    fn is_plausible(&self) -> bool {
        let is_task = |occurrence: u32, step: u16, index: u32| {
            occurrence <= OCCURRENCES_MAX
                && usize::from(step) < STEPS_MAX
                && usize::try_from(index).is_ok_and(|index| index < TASKS_MAX)
        };
        let is_known = |worker: u16| usize::from(worker) < self.workers.len();
        let are_tasks = self.tasks.iter().all(|task| {
            is_task(task.occurrence, task.step, task.index)
                && task.run.max(task.failures) <= COUNT_MAX
                && task.live.iter().all(|(worker, run)| is_known(*worker) && *run <= COUNT_MAX)
        });
        let are_restarts = self.restarts.iter().all(|counts| {
            let losses = counts.losses.total.max(counts.losses.at_start);
            is_task(counts.occurrence, counts.step, counts.index)
                && losses.max(counts.moves) <= COUNT_MAX
        });
        let mut runs = self.failed_runs.iter().chain(&self.lost_runs);
        are_tasks
            && are_restarts
            && self.occurrences_done <= OCCURRENCES_MAX
            && self.steps_done.iter().all(|(occurrence, step)| is_task(*occurrence, *step, 0))
            && runs.all(|(task, run)| usize::from(*task) < self.tasks.len() && *run <= COUNT_MAX)
            && self.last_alive_ms.iter().chain([&self.ended_ms]).all(|time| *time <= TIME_MAX_MS)
    }
}

/// Number of workers that were lost while a task ran on them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LossCount {
    /// All losses.
    pub total: u32,
    /// Losses while the task was just starting on the worker.
    pub at_start: u32,
}

/// Counts that limit how often a task is restarted, in addition to its failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRestarts {
    /// Occurrence of the job.
    pub occurrence: u32,
    /// Step.
    pub step: u16,
    /// Index in the step.
    pub index: u32,
    /// Workers that were lost while they ran the task.
    pub losses: LossCount,
    /// Number of times that the task was moved for being slow or stalled.
    pub moves: u32,
}

/// Progress of a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Occurrence of the job.
    pub occurrence: u32,
    /// Step.
    pub step: u16,
    /// Index in the step.
    pub index: u32,
    /// Highest run number used so far.
    pub run: u32,
    /// Number of runs that ended in failure.
    pub failures: u32,
    /// Whether it is done.
    pub is_done: bool,
    /// Runs that may be alive: position of the worker in [`JobProgress::workers`], and run number.
    pub live: Vec<(u16, u32)>,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
}

/// Largest count of runs, failures or losses of a task that is read.
const COUNT_MAX: u32 = 1_000_000_000;
/// Latest time that is read, in milliseconds since the epoch.
const TIME_MAX_MS: u64 = 10_000_000_000_000;

const SUBMITTED: &str = "s";
const CANCELLED: &str = "x";
const PROGRESS: &str = "p";
/// Separates the job from the organisation digest in the key of a [`JobRecord::CancelledBy`].
const DIGEST_SEPARATOR: char = '.';
const WAVE: &str = "w";
const LOSSES: &str = "l";
/// Prefix of learned states. Builds without them skip its keys: no other key begins like this.
const LEARNED: &str = "r";
const LEARNED_QUEUE: &str = "rq";
const LEARNED_SHARES: &str = "rs";

/// An encoded record of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Its key.
    pub key: String,
    /// Its value; empty to drop the key.
    pub value: Vec<u8>,
}

impl JobRecord {
    /// The job that the record belongs to.
    pub fn job(&self) -> Option<JobId> {
        match self {
            JobRecord::Submitted(job, _)
            | JobRecord::Cancelled(job)
            | JobRecord::CancelledBy(job, _)
            | JobRecord::Progress(job, _)
            | JobRecord::Dropped(job)
            | JobRecord::TombstoneDropped(job, _) => Some(*job),
            JobRecord::Wave(..) | JobRecord::Losses(..) | JobRecord::Learned(..) => None,
        }
    }

    /// Encodes a record; `None` for a drop.
    pub fn encode(&self) -> Option<KeyedRecord> {
        if let JobRecord::Wave(number, done) = self {
            let value = postcard::to_stdvec(&**done).ok()?;
            return Some(KeyedRecord { key: format!("{WAVE}{number}"), value });
        }
        if let JobRecord::Losses(service, lost) = self {
            let value = postcard::to_stdvec(&**lost).ok()?;
            return Some(KeyedRecord { key: format!("{LOSSES}{service}"), value });
        }
        if let JobRecord::Learned(subject, value) = self {
            return Some(KeyedRecord { key: subject.key(), value: value.to_vec() });
        }
        let (prefix, job, value) = match self {
            JobRecord::Submitted(job, submission) => {
                (SUBMITTED, job, postcard::to_stdvec(&**submission).ok()?)
            }
            JobRecord::Cancelled(job) => (CANCELLED, job, vec![1]),
            JobRecord::Progress(job, progress) => {
                (PROGRESS, job, postcard::to_stdvec(&**progress).ok()?)
            }
            JobRecord::CancelledBy(job, digest) => {
                return Some(KeyedRecord { key: tombstone_key(*job, *digest), value: vec![1] });
            }
            JobRecord::Dropped(_)
            | JobRecord::TombstoneDropped(..)
            | JobRecord::Wave(..)
            | JobRecord::Losses(..)
            | JobRecord::Learned(..) => return None,
        };
        Some(KeyedRecord { key: format!("{prefix}{job}"), value })
    }

    /// The record that drops a [`JobRecord::CancelledBy`].
    pub fn drop_tombstone(job: JobId, digest: OrganisationDigest) -> KeyedRecord {
        KeyedRecord { key: tombstone_key(job, digest), value: Vec::new() }
    }

    /// The records that drop every key of a job. The submission comes last: a reader that has seen
    /// only some of them must not mistake the job for one that has not begun.
    pub fn drop_records(job: JobId) -> Vec<KeyedRecord> {
        [CANCELLED, PROGRESS, SUBMITTED]
            .iter()
            .map(|prefix| KeyedRecord { key: format!("{prefix}{job}"), value: Vec::new() })
            .collect()
    }

    /// Decodes a record; `None` if it is malformed.
    pub fn decode(key: &str, value: &[u8]) -> Option<JobRecord> {
        if let Some(number) = key.strip_prefix(WAVE) {
            let done = postcard::from_bytes(value).ok()?;
            return Some(JobRecord::Wave(number.parse().ok()?, Arc::new(done)));
        }
        if let Some(service) = key.strip_prefix(LOSSES) {
            let lost: Vec<LostVm> = postcard::from_bytes(value).ok()?;
            if lost.iter().any(|vm| vm.lost_ms > TIME_MAX_MS) {
                return None;
            }
            return Some(JobRecord::Losses(service.into(), Arc::new(lost)));
        }
        if let Some(subject) = key.strip_prefix(LEARNED) {
            return Some(JobRecord::Learned(LearnedKey::parse(subject)?, value.into()));
        }
        if let Some((job, digest)) =
            key.strip_prefix(CANCELLED).and_then(|key| key.split_once(DIGEST_SEPARATOR))
        {
            let (job, digest) = (JobId::parse(job)?, OrganisationDigest::parse(digest)?);
            return Some(match value.is_empty() {
                true => JobRecord::TombstoneDropped(job, digest),
                false => JobRecord::CancelledBy(job, digest),
            });
        }
        let job = JobId::parse(key.get(1..)?)?;
        match (key.get(..1)?, value.is_empty()) {
            (SUBMITTED, true) => Some(JobRecord::Dropped(job)),
            (CANCELLED | PROGRESS, true) => None,
            (SUBMITTED, false) => {
                let submission: JobSubmission = postcard::from_bytes(value).ok()?;
                // Entries check a job before they store it; another writer may not.
                if !submission.has_no_spec() && submission.spec.check().is_err() {
                    return None;
                }
                Some(JobRecord::Submitted(job, Arc::new(submission)))
            }
            (CANCELLED, false) => Some(JobRecord::Cancelled(job)),
            (PROGRESS, false) => {
                let progress = decode_progress(value).filter(JobProgress::is_plausible)?;
                Some(JobRecord::Progress(job, Arc::new(progress)))
            }
            _ => None,
        }
    }
}

impl LearnedKey {
    /// Key of the record.
    fn key(&self) -> String {
        match self {
            LearnedKey::Queue(queue) => format!("{LEARNED_QUEUE}{queue}"),
            LearnedKey::Shares => LEARNED_SHARES.to_owned(),
        }
    }

    /// Bytes of the key.
    pub fn bytes(&self) -> usize {
        match self {
            LearnedKey::Queue(queue) => LEARNED_QUEUE.len() + queue.len(),
            LearnedKey::Shares => LEARNED_SHARES.len(),
        }
    }

    /// Parses a key without the prefix that all learned states share.
    fn parse(subject: &str) -> Option<LearnedKey> {
        let of_kind = |kind: &'static str| subject.strip_prefix(&kind[LEARNED.len()..]);
        match (of_kind(LEARNED_QUEUE), of_kind(LEARNED_SHARES)) {
            (Some(queue), _) => Some(LearnedKey::Queue(queue.into())),
            (None, Some("")) => Some(LearnedKey::Shares),
            _ => None,
        }
    }
}

/// Term of the leader that wrote a learned state; `None` for another version.
pub fn learned_term(value: &[u8]) -> Option<u64> {
    let (version, rest) = value.split_first()?;
    let term = postcard::take_from_bytes(rest).ok().map(|(term, _)| term);
    if *version == LEARNED_VERSION { term } else { None }
}

fn tombstone_key(job: JobId, digest: OrganisationDigest) -> String {
    format!("{CANCELLED}{job}{DIGEST_SEPARATOR}{digest}")
}

/// Decodes a job's progress. Records of older versions lack some of the lists at the end; if these
/// were rejected, a leader of this version would lose track of jobs that are running.
fn decode_progress(value: &[u8]) -> Option<JobProgress> {
    const NO_LISTS: [u8; 4] = [0; 4];
    let decode_with = |lists: &[u8]| postcard::from_bytes(&[value, lists].concat());
    postcard::from_bytes(value)
        .ok()
        .or_else(|| (1..=NO_LISTS.len()).find_map(|lacking| decode_with(&NO_LISTS[..lacking]).ok()))
}
