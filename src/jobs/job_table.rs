//! The state of every job, built by replaying the job log.
//!
//! Callers are answered from this table: a state is shown only once the log has it, so no answer
//! depends on the memory of a single process.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::decide::access::OrganisationDigest;
use crate::decide::intake::KeptBytes;
use crate::jobs::model::{JobId, JobState, JobSubmission};
use crate::jobs::record::{JobProgress, JobRecord, LearnedKey, LostVm, learned_term};

/// State of one job according to the log.
#[derive(Clone, Debug, Default)]
pub struct LoggedJob {
    /// The submission; `None` if a cancellation or the progress was read first.
    pub submission: Option<Arc<JobSubmission>>,
    /// Whether a caller with access to the job cancelled it.
    pub is_cancelled: bool,
    /// Organisations that cancelled the job before their entries knew it, with the offsets of those
    /// records.
    pub tombstones: BTreeMap<OrganisationDigest, u64>,
    /// Newest progress.
    pub progress: Option<Arc<JobProgress>>,
    /// When this process learned that the job is finished, in milliseconds on its clock.
    pub finished_ms: Option<u64>,
    progress_offset: u64,
    submission_offset: u64,
    cancelled_offset: u64,
}

impl LoggedJob {
    /// A job without progress or cancellation.
    pub fn submitted(submission: Arc<JobSubmission>) -> LoggedJob {
        LoggedJob { submission: Some(submission), ..LoggedJob::default() }
    }

    /// Applies the tombstones of callers that may see the job.
    fn apply_tombstones(&mut self) {
        let Some(submission) = &self.submission else { return };
        let owner = submission.organisation.as_ref();
        for (_, offset) in self.tombstones.iter().filter(|(digest, _)| digest.may_see(owner)) {
            self.is_cancelled = true;
            self.cancelled_offset = self.cancelled_offset.max(*offset);
        }
    }

    /// Removes the records from before `end`.
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

    /// State as shown to callers; `None` before the submission was read.
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

/// Every job that the log still has.
#[derive(Debug, Default)]
pub struct JobTable {
    jobs: HashMap<JobId, LoggedJob>,
    waiting: HashMap<Arc<str>, u64>,
    /// Memory that all jobs take, about.
    kept: KeptBytes,
    waves: HashMap<u64, Arc<BTreeSet<Arc<str>>>>,
    /// VMs that lost their workers recently, by pool, with the offset of the record.
    losses: HashMap<Arc<str>, (u64, Arc<Vec<LostVm>>)>,
    /// What leaders have learned, with the offset of the record; empty once dropped.
    learned: BTreeMap<LearnedKey, (u64, Arc<[u8]>)>,
    /// Offsets at which jobs were dropped: a snapshot page that was made earlier may still contain
    /// them.
    dropped: HashMap<JobId, u64>,
}

impl JobTable {
    /// A job by its id.
    pub fn get(&self, job: JobId) -> Option<&LoggedJob> {
        self.jobs.get(&job)
    }

    /// All jobs.
    pub fn iter(&self) -> impl Iterator<Item = (&JobId, &LoggedJob)> {
        self.jobs.iter()
    }

    /// Number of jobs of a queue of which no task has started.
    pub fn waiting_jobs(&self, queue: &str) -> u64 {
        self.waiting.get(queue).copied().unwrap_or(0)
    }

    /// Memory that all jobs take, about.
    pub fn kept(&self) -> KeptBytes {
        self.kept
    }

    /// VMs of a wave whose maintenance is complete.
    pub fn maintained(&self, wave: u64) -> BTreeSet<Arc<str>> {
        self.waves.get(&wave).map(|done| (**done).clone()).unwrap_or_default()
    }

    /// VMs that lost their workers recently, by pool.
    pub fn losses(&self) -> impl Iterator<Item = (&Arc<str>, &[LostVm])> {
        self.losses.iter().map(|(service, (_, lost))| (service, lost.as_slice()))
    }

    /// What leaders have learned, encoded.
    pub fn learned(&self) -> impl Iterator<Item = (&LearnedKey, &[u8])> {
        let values = self.learned.iter().map(|(key, (_, value))| (key, &**value));
        values.filter(|(_, value)| !value.is_empty())
    }

    /// Replaces the table by the newest record of each key, read after the log ended at `end`: keys
    /// that are missing were dropped, unless they were appended later. Returns the records that
    /// changed something.
    pub fn apply_snapshot(
        &mut self,
        newest: &[(u64, JobRecord)],
        end: u64,
    ) -> Vec<(u64, JobRecord)> {
        let known: Vec<JobId> = self.jobs.keys().copied().collect();
        for job in known {
            self.forget_before(job, end);
        }
        self.learned.retain(|_, (offset, _)| *offset >= end);
        let is_new = |(offset, record): &&(u64, JobRecord)| self.fold(record, *offset);
        newest.iter().filter(is_new).cloned().collect()
    }

    /// Notes `now` as the time at which the jobs that these records finish were known to be
    /// finished.
    pub fn note_finished(&mut self, records: &[(u64, JobRecord)], now: u64) {
        for job in records.iter().filter_map(|(_, record)| record.job()) {
            let Some(entry) = self.jobs.get_mut(&job) else { continue };
            if entry.state().is_some_and(JobState::is_final) {
                entry.finished_ms.get_or_insert(now);
            }
        }
    }

    /// Forgets the drops before `end`, once no earlier record can arrive any more.
    pub fn forget_drops(&mut self, end: u64) {
        self.dropped.retain(|_, offset| *offset >= end);
    }

    /// Applies the record at `offset` of the log; returns whether it changed something.
    pub fn fold(&mut self, record: &JobRecord, offset: u64) -> bool {
        match record {
            JobRecord::Submitted(job, submission) => self.update(*job, offset, |entry| {
                // The first submission wins: a retry of a caller reaches another entry with the
                // same job, and a job that is being scheduled must not change.
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
                // Later pages of a snapshot can be ahead of the records that are read after it.
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
                // The drop may be read again after this entry has appended newer records of the
                // job.
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
                // VMs are only ever added: if an old record, read again after a newer one, removed
                // any, they would be maintained twice.
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
            JobRecord::Learned(key, value) => {
                let is_new = self.learned.get(key).is_none_or(|(known, older)| {
                    // A leader that was superseded knows less than its successor.
                    let is_superseded = matches!((learned_term(older), learned_term(value)),
                        (Some(newest), Some(term)) if term < newest);
                    offset > *known && !is_superseded
                });
                if is_new {
                    self.learned.insert(key.clone(), (offset, value.clone()));
                }
                is_new
            }
        }
    }

    /// Removes a job's records from before `end`; returns whether none are left.
    fn forget_before(&mut self, job: JobId, end: u64) -> bool {
        self.count(job, false);
        let Some(entry) = self.jobs.get_mut(&job) else { return false };
        entry.forget_before(end);
        let is_removed = entry.is_empty();
        if is_removed {
            self.jobs.remove(&job);
        }
        self.count(job, true);
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
        self.count(job, false);
        let is_new = edit(self.jobs.entry(job).or_default());
        self.count(job, true);
        is_new
    }

    /// Adds a job to what is counted of all jobs and of the waiting ones of its queue, or removes it.
    fn count(&mut self, job: JobId, is_added: bool) {
        let Some(entry) = self.jobs.get(&job) else { return };
        let (Some(submission), Some(state)) = (&entry.submission, entry.state()) else { return };
        let kept = match state.is_final() {
            true => submission.spec.kept_ended(),
            false => submission.spec.kept(),
        };
        match is_added {
            true => self.kept.add(kept),
            false => self.kept.subtract(kept),
        }
        if state != JobState::Queued {
            return;
        }
        let waiting = self.waiting.entry(submission.queue.clone()).or_default();
        *waiting = if is_added { *waiting + 1 } else { waiting.saturating_sub(1) };
    }
}
