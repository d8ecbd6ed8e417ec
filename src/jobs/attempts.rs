//! Submissions of an entry whose outcome is not known.
//!
//! A rejection by admission control promises that nothing of the submission was stored. A caller
//! that retries after a lost answer must not get it while its first attempt may still be stored,
//! so nothing is rejected for the ids that are noted here.

use std::collections::HashMap;

use crate::jobs::model::JobId;

/// Most ids that are noted; beyond, nothing is rejected for any id. Callers of an entry give up
/// after four attempts, so that so many within the lifetime mean that the log is away.
const ATTEMPTS_MAX: usize = 8_192;

/// Ids of submissions that were sent, and when, in milliseconds.
#[derive(Debug, Default)]
pub struct OpenAttempts {
    sent: HashMap<JobId, u64>,
    /// Time until which ids may be missing, in milliseconds.
    incomplete_until_ms: u64,
}

impl OpenAttempts {
    /// Notes that a submission is about to be sent, for `lifetime_ms` unless it ends before. Returns
    /// whether no earlier one of the same id is noted.
    pub fn begin(&mut self, job: JobId, now: u64, lifetime_ms: u64) -> bool {
        if self.sent.len() >= ATTEMPTS_MAX {
            self.sent.retain(|_, sent_ms| now < sent_ms.saturating_add(lifetime_ms));
        }
        if self.sent.len() >= ATTEMPTS_MAX && !self.sent.contains_key(&job) {
            self.incomplete_until_ms = now.saturating_add(lifetime_ms);
            return true;
        }
        self.sent.insert(job, now).is_none()
    }

    /// Removes an id of which nothing is stored, or whose job this entry knows.
    pub fn end(&mut self, job: JobId) {
        self.sent.remove(&job);
    }

    /// Whether a submission of this id may have been stored.
    pub fn may_be_stored(&self, job: JobId, now: u64, lifetime_ms: u64) -> bool {
        let is_open = |sent_ms: &u64| now < sent_ms.saturating_add(lifetime_ms);
        now < self.incomplete_until_ms || self.sent.get(&job).is_some_and(is_open)
    }
}
