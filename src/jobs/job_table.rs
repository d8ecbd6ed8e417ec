//! Folds the job log into what every entry knows of every job.
//!
//! Callers are answered from this book: a state is shown only once the log has it, so no answer
//! depends on what a process alone remembers.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::decide::access::OrganisationDigest;
use crate::jobs::model::{JobId, JobState, JobSubmission};
use crate::jobs::record::{JobProgress, JobRecord, LostVm};

/// One job as the log tells it.
#[derive(Clone, Debug, Default)]
pub struct LoggedJob {
    /// The submission; a cancellation or progress can be read before it.
    pub submission: Option<Arc<JobSubmission>>,
    /// Whether a caller cancelled it that may.
    pub is_cancelled: bool,
    /// Callers that cancelled it before their entries knew it, and the offsets of that.
    pub tombstones: BTreeMap<OrganisationDigest, u64>,
    /// Newest progress.
    pub progress: Option<Arc<JobProgress>>,
    /// Since when this process knows that the job is over, in milliseconds.
    pub finished_ms: Option<u64>,
    progress_offset: u64,
    submission_offset: u64,
    cancelled_offset: u64,
}

impl LoggedJob {
    /// A job of which only the submission is known.
    pub fn submitted(submission: Arc<JobSubmission>) -> LoggedJob {
        LoggedJob { submission: Some(submission), ..LoggedJob::default() }
    }

    /// Lets the cancellations count of callers that may see the job.
    fn apply_tombstones(&mut self) {
        let Some(submission) = &self.submission else { return };
        let owner = submission.organisation.as_ref();
        for (_, offset) in self.tombstones.iter().filter(|(digest, _)| digest.may_see(owner)) {
            self.is_cancelled = true;
            self.cancelled_offset = self.cancelled_offset.max(*offset);
        }
    }

    /// Forgets what lies before `end` on the log.
    fn forget_before(&mut self, end: u64) {
        if self.submission_offset < end {
            self.submission = None;
        }
        if self.progress_offset < end {
            self.progress = None;
        }
        self.is_cancelled &= self.cancelled_offset >= end;
        self.tombstones.retain(|_, offset| *offset >= end);
    }

    fn is_empty(&self) -> bool {
        let has_record = self.submission.is_some() || self.progress.is_some() || self.is_cancelled;
        !has_record && self.tombstones.is_empty()
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
pub struct JobTable {
    jobs: HashMap<JobId, LoggedJob>,
    waiting: HashMap<Arc<str>, u64>,
    waves: HashMap<u64, Arc<BTreeSet<Arc<str>>>>,
    /// VMs that have lost their workers lately by pool, and the offset of that record.
    losses: HashMap<Arc<str>, (u64, Arc<Vec<LostVm>>)>,
    /// Offsets of drops: a page of an earlier time may still have the job.
    dropped: HashMap<JobId, u64>,
}

impl JobTable {
    /// A job.
    pub fn get(&self, job: JobId) -> Option<&LoggedJob> {
        self.jobs.get(&job)
    }

    /// Every job.
    pub fn iter(&self) -> impl Iterator<Item = (&JobId, &LoggedJob)> {
        self.jobs.iter()
    }

    /// Jobs of a queue of which no task has started.
    pub fn waiting_jobs(&self, queue: &str) -> u64 {
        self.waiting.get(queue).copied().unwrap_or(0)
    }

    /// VMs of a wave that have been maintained.
    pub fn maintained(&self, wave: u64) -> BTreeSet<Arc<str>> {
        self.waves.get(&wave).map(|done| (**done).clone()).unwrap_or_default()
    }

    /// VMs of each pool that have lost their workers lately.
    pub fn losses(&self) -> impl Iterator<Item = (&Arc<str>, &[LostVm])> {
        self.losses.iter().map(|(service, (_, lost))| (service, lost.as_slice()))
    }

    /// Begins anew with the newest record of each key, read since the log ended at `end`: what they leave out was
    /// dropped, unless it was appended later. Returns those that tell something new.
    pub fn apply_snapshot(
        &mut self,
        newest: &[(u64, JobRecord)],
        end: u64,
    ) -> Vec<(u64, JobRecord)> {
        let known: Vec<JobId> = self.jobs.keys().copied().collect();
        for job in known {
            self.forget_before(job, end);
        }
        let is_new = |(offset, record): &&(u64, JobRecord)| self.fold(record, *offset);
        newest.iter().filter(is_new).cloned().collect()
    }

    /// Notes that what these records show as over was known by now.
    pub fn note_finished(&mut self, records: &[(u64, JobRecord)], now: u64) {
        for job in records.iter().filter_map(|(_, record)| record.job()) {
            let Some(entry) = self.jobs.get_mut(&job) else { continue };
            if entry.state().is_some_and(JobState::is_final) {
                entry.finished_ms.get_or_insert(now);
            }
        }
    }

    /// Nothing from before `end` comes any more.
    pub fn forget_drops(&mut self, end: u64) {
        self.dropped.retain(|_, offset| *offset >= end);
    }

    /// Takes the record at `offset` of the log; returns whether it told something new.
    pub fn fold(&mut self, record: &JobRecord, offset: u64) -> bool {
        match record {
            JobRecord::Submitted(job, submission) => self.update(*job, offset, |entry| {
                // The first submission counts: a caller's retry reaches another entry with the
                // same job, and what has been scheduled must not change under it.
                let is_new = entry.submission.is_none();
                entry.submission_offset = entry.submission_offset.max(offset);
                if is_new || submission.has_no_spec() {
                    entry.submission = Some(submission.clone());
                    entry.apply_tombstones();
                }
                is_new
            }),
            JobRecord::Cancelled(job) => self.update(*job, offset, |entry| {
                entry.cancelled_offset = entry.cancelled_offset.max(offset);
                !std::mem::replace(&mut entry.is_cancelled, true)
            }),
            JobRecord::CancelledBy(job, digest) => self.update(*job, offset, |entry| {
                let is_new = !entry.tombstones.contains_key(digest);
                let newest = entry.tombstones.entry(*digest).or_default();
                *newest = offset.max(*newest);
                entry.apply_tombstones();
                is_new
            }),
            JobRecord::Progress(job, progress) => self.update(*job, offset, |entry| {
                // A snapshot's later pages can be ahead of the records that are read after it.
                let is_new = entry.progress.is_none() || offset > entry.progress_offset;
                if is_new {
                    entry.progress = Some(progress.clone());
                    entry.progress_offset = offset;
                }
                is_new
            }),
            JobRecord::Dropped(job) => {
                let newest = self.dropped.entry(*job).or_default();
                *newest = offset.max(*newest);
                // It may be read again after what this entry has appended since.
                self.forget_before(*job, offset)
            }
            JobRecord::TombstoneDropped(job, digest) => {
                let Some(entry) = self.jobs.get_mut(job) else { return false };
                let is_new = entry.tombstones.remove(digest).is_some();
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
            JobRecord::Losses(service, lost) => {
                let known = self.losses.get(service).map(|(offset, _)| *offset);
                let is_new = known.is_none_or(|known| offset > known);
                if is_new {
                    self.losses.insert(service.clone(), (offset, lost.clone()));
                }
                is_new
            }
        }
    }

    /// Forgets what lies before `end` on the log; returns whether that was all.
    fn forget_before(&mut self, job: JobId, end: u64) -> bool {
        self.count_waiting(job, false);
        let Some(entry) = self.jobs.get_mut(&job) else { return false };
        entry.forget_before(end);
        let is_removed = entry.is_empty();
        if is_removed {
            self.jobs.remove(&job);
        }
        self.count_waiting(job, true);
        is_removed
    }

    fn update(
        &mut self,
        job: JobId,
        offset: u64,
        edit: impl FnOnce(&mut LoggedJob) -> bool,
    ) -> bool {
        if self.dropped.get(&job).is_some_and(|dropped| offset < *dropped) {
            return false;
        }
        self.count_waiting(job, false);
        let is_new = edit(self.jobs.entry(job).or_default());
        self.count_waiting(job, true);
        is_new
    }

    /// Adds a job that waits to the count of its queue, or takes it off.
    fn count_waiting(&mut self, job: JobId, is_added: bool) {
        let Some(entry) = self.jobs.get(&job) else { return };
        let Some(submission) = &entry.submission else { return };
        if entry.state() != Some(JobState::Queued) {
            return;
        }
        let waiting = self.waiting.entry(submission.queue.clone()).or_default();
        *waiting = if is_added { *waiting + 1 } else { waiting.saturating_sub(1) };
    }
}
