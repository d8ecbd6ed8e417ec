//! Folds the job log into what every entry knows of every job.
//!
//! Callers are answered from this book: a state is shown only once the log has it, so no answer
//! depends on what a process alone remembers.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::decide::access::CallerMark;
use crate::jobs::model::{JobId, JobState, JobSubmission};
use crate::jobs::record::{JobProgress, JobRecord};

/// One job as the log tells it.
#[derive(Clone, Debug, Default)]
pub struct BookedJob {
    /// The submission; a cancellation or progress can be read before it.
    pub submission: Option<Arc<JobSubmission>>,
    /// Whether a caller cancelled it that may.
    pub is_cancelled: bool,
    /// Callers that cancelled it before their entries knew it.
    pub tombstones: BTreeSet<CallerMark>,
    /// Newest progress.
    pub progress: Option<Arc<JobProgress>>,
    progress_offset: u64,
}

impl BookedJob {
    /// A job of which only the submission is known.
    pub fn submitted(submission: Arc<JobSubmission>) -> BookedJob {
        BookedJob { submission: Some(submission), ..BookedJob::default() }
    }

    /// Lets the cancellations count of callers that may see the job.
    fn settle(&mut self) {
        let Some(submission) = &self.submission else { return };
        let owner = submission.organisation.as_ref();
        self.is_cancelled |= self.tombstones.iter().any(|mark| mark.may_see(owner));
    }

    fn is_empty(&self) -> bool {
        let is_told = self.submission.is_some() || self.progress.is_some() || self.is_cancelled;
        !is_told && self.tombstones.is_empty()
    }

    /// What a caller may be told; nothing before the submission was read.
    pub fn state(&self) -> Option<JobState> {
        self.submission.as_ref()?;
        let state = self.progress.as_ref().map_or(JobState::Queued, |progress| progress.state);
        Some(match (state, self.is_cancelled) {
            (JobState::Completed | JobState::Failed, _) => state,
            (_, true) => JobState::Cancelled,
            (_, false) => state,
        })
    }
}

/// Every job that the log still keeps.
#[derive(Debug, Default)]
pub struct JobBook {
    jobs: HashMap<JobId, BookedJob>,
    waiting: HashMap<Arc<str>, u64>,
    waves: HashMap<u64, Arc<BTreeSet<Arc<str>>>>,
}

impl JobBook {
    /// A job.
    pub fn get(&self, job: JobId) -> Option<&BookedJob> {
        self.jobs.get(&job)
    }

    /// Every job.
    pub fn iter(&self) -> impl Iterator<Item = (&JobId, &BookedJob)> {
        self.jobs.iter()
    }

    /// Jobs of a queue of which no task has started.
    pub fn waiting(&self, queue: &str) -> u64 {
        self.waiting.get(queue).copied().unwrap_or(0)
    }

    /// VMs of a wave that have been maintained.
    pub fn maintained(&self, wave: u64) -> BTreeSet<Arc<str>> {
        self.waves.get(&wave).map(|done| (**done).clone()).unwrap_or_default()
    }

    /// Takes the record at `offset` of the log; returns whether it told something new.
    pub fn fold(&mut self, record: &JobRecord, offset: u64) -> bool {
        match record {
            JobRecord::Submitted(job, submission) => self.change(*job, |entry| {
                // The first submission counts: a caller's retry reaches another entry with the
                // same job, and what has been scheduled must not change under it.
                let is_new = entry.submission.is_none();
                if is_new || submission.has_no_spec() {
                    entry.submission = Some(submission.clone());
                    entry.settle();
                }
                is_new
            }),
            JobRecord::Cancelled(job) => {
                self.change(*job, |entry| !std::mem::replace(&mut entry.is_cancelled, true))
            }
            JobRecord::CancelledBy(job, mark) => self.change(*job, |entry| {
                let is_new = entry.tombstones.insert(*mark);
                entry.settle();
                is_new
            }),
            JobRecord::Progress(job, progress) => self.change(*job, |entry| {
                // A snapshot's later pages can be ahead of the records that are read after it.
                let is_new = entry.progress.is_none() || offset > entry.progress_offset;
                if is_new {
                    entry.progress = Some(progress.clone());
                    entry.progress_offset = offset;
                }
                is_new
            }),
            JobRecord::Dropped(job) => {
                self.count(*job, false);
                self.jobs.remove(job).is_some()
            }
            JobRecord::TombstoneDropped(job, mark) => {
                let Some(entry) = self.jobs.get_mut(job) else { return false };
                let is_new = entry.tombstones.remove(mark);
                if entry.is_empty() {
                    self.jobs.remove(job);
                }
                is_new
            }
            JobRecord::Wave(number, done) => {
                // VMs are only ever added. A record that is read again after a newer one must not take
                // any away: they would be maintained twice.
                let known = Arc::make_mut(self.waves.entry(*number).or_default());
                known.extend(done.iter().cloned());
                true
            }
        }
    }

    fn change(&mut self, job: JobId, edit: impl FnOnce(&mut BookedJob) -> bool) -> bool {
        self.count(job, false);
        let is_new = edit(self.jobs.entry(job).or_default());
        self.count(job, true);
        is_new
    }

    /// Adds a job that waits to the count of its queue, or takes it off.
    fn count(&mut self, job: JobId, is_added: bool) {
        let Some(entry) = self.jobs.get(&job) else { return };
        let Some(submission) = &entry.submission else { return };
        if entry.state() != Some(JobState::Queued) {
            return;
        }
        let waiting = self.waiting.entry(submission.queue.clone()).or_default();
        *waiting = if is_added { *waiting + 1 } else { waiting.saturating_sub(1) };
    }
}
