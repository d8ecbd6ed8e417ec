//! Cancellations of jobs that were unknown to the entry that received them.
//!
//! The owner of such a job is not known either, so each cancellation applies to the caller that
//! sent it. They are kept as long as the last state of a finished job, and longer if the job
//! arrived after all: a reader of the log that finds the job must find its cancellation as well.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::decide::access::OrganisationDigest;
use crate::jobs::model::JobId;
use crate::scheduler::{RecordSource, Scheduler, SchedulerEvent};

/// Time for which a job's last state is kept beyond the promised time, in milliseconds: the
/// caller's time begins when it learns that the job has finished.
const STATUS_MARGIN_MS: u64 = 30_000;

/// Such cancellations, and when each was last seen, in milliseconds.
#[derive(Debug, Default)]
pub(crate) struct TombstoneTable {
    cancellations: BTreeMap<(JobId, OrganisationDigest), u64>,
}

impl TombstoneTable {
    /// Adds a cancellation, or notes that it was seen again.
    pub fn insert(&mut self, job: JobId, digest: OrganisationDigest, now: u64) {
        self.cancellations.insert((job, digest), now);
    }

    /// Whether a job of this organisation was cancelled.
    pub fn is_cancelled(&self, job: JobId, organisation: Option<&Arc<str>>) -> bool {
        let mut cancellations = self
            .cancellations
            .range((job, OrganisationDigest::FIRST)..=(job, OrganisationDigest::LAST));
        cancellations.any(|((_, digest), _)| digest.may_see(organisation))
    }

    /// Removes and returns the cancellations that are no longer needed.
    fn remove_where(
        &mut self,
        is_old: impl Fn(JobId, u64) -> bool,
    ) -> Vec<(JobId, OrganisationDigest)> {
        let is_old =
            |(job, _): &(JobId, OrganisationDigest), seen_ms: &mut u64| is_old(*job, *seen_ms);
        self.cancellations.extract_if(.., is_old).map(|(key, _)| key).collect()
    }
}

impl Scheduler {
    /// Handles a cancellation of a job that was unknown to the caller's entry.
    pub(super) fn cancel_by(
        &mut self,
        id: JobId,
        digest: OrganisationDigest,
        source: RecordSource,
        now: u64,
    ) {
        self.tombstones.insert(id, digest, now);
        self.commits.cancel_tombstone_drop(id, digest);
        match self.jobs.get(&id) {
            Some(job) if digest.may_see(job.submission.organisation.as_ref()) => {
                self.cancel(id, source, now);
            }
            Some(_) => {}
            None => self.log_cancellation(id, source, now),
        }
    }

    /// Logs that a cancellation was received, before it takes effect.
    pub(super) fn log_cancellation(&mut self, id: JobId, source: RecordSource, now: u64) {
        let found = match self.jobs.get(&id) {
            Some(job) if !job.state.is_final() => "open",
            None if !self.finished.contains_key(&id) => "unknown",
            _ => "over",
        };
        let view_ms = self.view_age_ms(now);
        self.emit(SchedulerEvent::Cancelled { job: id, source, found, view_ms });
    }

    /// Drops jobs from the log once their last state no longer has to be reported: a repeat of
    /// their submission after that would run.
    pub(crate) fn drop_finished_jobs(&mut self, now: u64) {
        let status_ms = self.bounds.status_ms;
        let is_old = |known_ms: u64| known_ms + status_ms + STATUS_MARGIN_MS < now;
        let old: Vec<_> =
            self.finished.iter().filter(|(_, ended)| is_old(**ended)).map(|(id, _)| *id).collect();
        for id in old {
            self.finished.remove(&id);
            self.abandoned.forget_job(id);
            self.commits.drop_job(id);
        }
        self.drop_tombstones(is_old);
    }

    /// Drops cancellations from the log that are old and whose job never came, or has finished and
    /// was dropped.
    fn drop_tombstones(&mut self, is_old: impl Fn(u64) -> bool) {
        let is_known = |job: &JobId| self.jobs.contains_key(job) || self.finished.contains_key(job);
        for (job, digest) in
            self.tombstones.remove_where(|job, seen_ms| is_old(seen_ms) && !is_known(&job))
        {
            self.commits.drop_tombstone(job, digest);
        }
    }
}
