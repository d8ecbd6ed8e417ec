//! What is kept of a job on the log.
//!
//! Three keys a job, so that no writer overwrites what another one says: the submission and the
//! cancellation may be written by any entry and any number of times, the progress by the leader
//! alone. The log keeps the newest record of each key. A cancellation by an entry that does not know
//! the job, where callers belong to organisations, has a key for each organisation: whether it counts
//! is seen once the job is there.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::decide::access::OrganisationDigest;
use crate::jobs::model::{JobId, JobState, JobSubmission, TaskKey};

/// What one record of the job log says.
#[derive(Clone, Debug, PartialEq)]
pub enum JobRecord {
    /// A caller handed the job in.
    Submitted(JobId, Arc<JobSubmission>),
    /// A caller cancelled it.
    Cancelled(JobId),
    /// A caller cancelled it before its entry knew it; counts if that caller may see it.
    CancelledBy(JobId, OrganisationDigest),
    /// How far it is.
    Progress(JobId, Arc<JobProgress>),
    /// One of its keys was dropped; the job is over for long.
    Dropped(JobId),
    /// Such a cancellation was dropped.
    TombstoneDropped(JobId, OrganisationDigest),
    /// VMs of a maintenance wave that have been maintained, by the number of the wave.
    Wave(u64, Arc<BTreeSet<Arc<str>>>),
    /// VMs of a pool that have lost their workers lately by what no task is likely to have caused, the latest last.
    Losses(Arc<str>, Arc<Vec<LostVm>>),
}

/// A VM whose worker was lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostVm {
    /// Where the worker was.
    pub address: SocketAddr,
    /// When it was learned of, in milliseconds since the epoch.
    pub lost_ms: u64,
    /// Tasks that ran there, of jobs that have lost a worker.
    pub running_tasks: Vec<TaskKey>,
}

/// How far a job is, whole: each record replaces the one before.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobProgress {
    /// Term of the leader that wrote it.
    pub term: u64,
    /// State for callers.
    pub state: JobState,
    /// When the state became final, in milliseconds since the epoch.
    pub ended_ms: u64,
    /// Occurrences before this one are done.
    pub occurrences_done: u32,
    /// Steps whose tasks are all done, by occurrence and position.
    pub steps_done: Vec<(u32, u16)>,
    /// Tasks of other steps of which there is something to say.
    pub tasks: Vec<TaskProgress>,
    /// Workers that the tasks name.
    pub workers: Vec<Arc<str>>,
    /// Tasks that were set back. Records from before it was kept end here.
    pub restarts: Vec<TaskRestarts>,
    /// When a run of each of these was last known to be alive, in milliseconds since the epoch; 0 for not known.
    /// Last, as earlier records end here.
    pub last_alive_ms: Vec<u64>,
}

/// Workers that were lost under a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LossCount {
    /// All of them.
    pub total: u32,
    /// Those that were lost while the task was just starting there.
    pub at_start: u32,
}

/// What bounds how often a task is started anew, beside its failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRestarts {
    /// Occurrence of the job.
    pub occurrence: u32,
    /// Step.
    pub step: u16,
    /// Index in the step.
    pub index: u32,
    /// Workers that were lost under it.
    pub losses: LossCount,
    /// Times that it was moved for being slow or stalled.
    pub moves: u32,
}

/// How far a task is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Occurrence of the job.
    pub occurrence: u32,
    /// Step.
    pub step: u16,
    /// Index in the step.
    pub index: u32,
    /// Highest run number given out.
    pub run: u32,
    /// Runs that ended in failure.
    pub failures: u32,
    /// Whether it is done.
    pub is_done: bool,
    /// Runs that may be alive: position of the worker in the list, and run number.
    pub live: Vec<(u16, u32)>,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
}

const SUBMITTED: &str = "s";
const CANCELLED: &str = "x";
const PROGRESS: &str = "p";
/// Between the job and the mark in the key of a cancellation that has one.
const DIGEST_SEPARATOR: char = '.';
const WAVE: &str = "w";
const LOSSES: &str = "l";

/// A record as the log keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Its key.
    pub key: String,
    /// Its value; empty if the key is dropped.
    pub value: Vec<u8>,
}

impl JobRecord {
    /// The job that it tells of.
    pub fn job(&self) -> Option<JobId> {
        match self {
            JobRecord::Submitted(job, _)
            | JobRecord::Cancelled(job)
            | JobRecord::CancelledBy(job, _)
            | JobRecord::Progress(job, _)
            | JobRecord::Dropped(job)
            | JobRecord::TombstoneDropped(job, _) => Some(*job),
            JobRecord::Wave(..) | JobRecord::Losses(..) => None,
        }
    }

    /// Writes a record that is not a drop.
    pub fn encode(&self) -> Option<KeyedRecord> {
        if let JobRecord::Wave(number, done) = self {
            let value = postcard::to_stdvec(&**done).ok()?;
            return Some(KeyedRecord { key: format!("{WAVE}{number}"), value });
        }
        if let JobRecord::Losses(service, lost) = self {
            let value = postcard::to_stdvec(&**lost).ok()?;
            return Some(KeyedRecord { key: format!("{LOSSES}{service}"), value });
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
            | JobRecord::Losses(..) => return None,
        };
        Some(KeyedRecord { key: format!("{prefix}{job}"), value })
    }

    /// The record that drops a cancellation by an entry that did not know the job.
    pub fn drop_tombstone(job: JobId, digest: OrganisationDigest) -> KeyedRecord {
        KeyedRecord { key: tombstone_key(job, digest), value: Vec::new() }
    }

    /// The records that drop every key of a job. The submission goes last: a reader that sees only
    /// some of them must not take the job for one that has not begun.
    pub fn drop_records(job: JobId) -> Vec<KeyedRecord> {
        [CANCELLED, PROGRESS, SUBMITTED]
            .iter()
            .map(|prefix| KeyedRecord { key: format!("{prefix}{job}"), value: Vec::new() })
            .collect()
    }

    /// Reads a record; nothing if it is malformed.
    pub fn decode(key: &str, value: &[u8]) -> Option<JobRecord> {
        if let Some(number) = key.strip_prefix(WAVE) {
            let done = postcard::from_bytes(value).ok()?;
            return Some(JobRecord::Wave(number.parse().ok()?, Arc::new(done)));
        }
        if let Some(service) = key.strip_prefix(LOSSES) {
            let lost = postcard::from_bytes(value).ok()?;
            return Some(JobRecord::Losses(service.into(), Arc::new(lost)));
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
                let submission = postcard::from_bytes(value).ok()?;
                Some(JobRecord::Submitted(job, Arc::new(submission)))
            }
            (CANCELLED, false) => Some(JobRecord::Cancelled(job)),
            (PROGRESS, false) => Some(JobRecord::Progress(job, Arc::new(decode_progress(value)?))),
            _ => None,
        }
    }
}

fn tombstone_key(job: JobId, digest: OrganisationDigest) -> String {
    format!("{CANCELLED}{job}{DIGEST_SEPARATOR}{digest}")
}

/// Reads a job's progress, also as it was written before its last lists were kept: then they are missing at the
/// end, and a process of this version that takes over would know nothing of jobs that run.
fn decode_progress(value: &[u8]) -> Option<JobProgress> {
    const NO_LIST: u8 = 0;
    let decode_with = |lists: &[u8]| postcard::from_bytes(&[value, lists].concat());
    postcard::from_bytes(value)
        .or_else(|_| decode_with(&[NO_LIST]))
        .or_else(|_| decode_with(&[NO_LIST, NO_LIST]))
        .ok()
}
