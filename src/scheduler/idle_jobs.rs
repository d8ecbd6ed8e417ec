//! Jobs that stand still because the leader begins fewer tasks than wait.
//!
//! Guards against a leader whose rounds end as its start slots are used up, always before the same
//! jobs, those that are overdue or of a queue that comes later, for as long as anything goes before
//! them, whatever room their pool has. So a job of which nothing has been at work for
//! [`IDLE_MAX_MS`] gets one start ahead of the order, the longest wait first, across pools. Until a job
//! has waited that long, half of the free slots go this way at most: the others bring jobs to their end.
//! Admission bounds the jobs that need turns ([`crate::decide::admission`]).
//!
//! This is done only where the leader is short: its start slots are limited, or most of a pool that
//! counts as full is booked for runs that have not begun. Otherwise whatever has room is placed in
//! the same round, and the order stays as it is.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::jobs::model::ResourceVector;
use crate::scheduler::dispatch::ReadyStep;
use crate::scheduler::rank::RankTier;
use crate::scheduler::{Scheduler, job::JobRun};

/// Time with nothing at work after which a job is begun ahead of the order, in milliseconds, less the time
/// until all that wait have had a turn. Callers accept three seconds; a start takes one at most.
pub(crate) const IDLE_MAX_MS: u64 = 1_500;

/// Time for which a pool must have been slack, in milliseconds: while a burst begins or VMs arrive,
/// much is booked for a moment.
const SLACK_MIN_MS: u64 = 500;
/// Share of a pool's capacity below which it is slack, in thousandths.
const SLACK_PERMILLE: u64 = 500;

/// Pools of which less than half is in use, by what workers have confirmed: what is booked beside
/// that waits for the leader.
#[derive(Debug, Default)]
pub(crate) struct SlackPools {
    since_ms: BTreeMap<Arc<str>, u64>,
}

impl SlackPools {
    /// Records the use of a pool, without bookings.
    pub fn record(
        &mut self,
        pool: &Arc<str>,
        used: &ResourceVector,
        capacity: &ResourceVector,
        now: u64,
    ) {
        if used.dominant_share_of(capacity) >= SLACK_PERMILLE {
            self.since_ms.remove(pool);
        } else if !self.since_ms.contains_key(pool) {
            self.since_ms.insert(pool.clone(), now);
        }
    }

    /// Whether a pool has been slack for a while.
    pub fn is_slack(&self, pool: &str, now: u64) -> bool {
        self.since_ms.get(pool).is_some_and(|since_ms| now >= since_ms + SLACK_MIN_MS)
    }
}

impl Scheduler {
    /// Since when nothing of a job has been at work; `None` if something is.
    pub(crate) fn job_idle_since_ms(&self, job: &JobRun, due_ms: u64, now: u64) -> Option<u64> {
        job.idle_since_ms(self.waits.opened_ms(), now).map(|since_ms| since_ms.max(due_ms))
    }

    /// Whether nothing of a job has been at work for [`IDLE_MAX_MS`].
    pub(crate) fn is_long_idle(&self, job: &JobRun, due_ms: u64, now: u64) -> bool {
        self.job_idle_since_ms(job, due_ms, now)
            .is_some_and(|since_ms| now >= since_ms + IDLE_MAX_MS)
    }

    /// Time with nothing at work after which one of `jobs` such jobs has a turn, in milliseconds: with
    /// more of them, turns have to begin earlier for the last one to be in time.
    fn turn_after_ms(&self, jobs: usize) -> u64 {
        let rate = self.line.starts.lasting_rate();
        let jobs = u64::try_from(jobs).unwrap_or(u64::MAX);
        let all_ms = jobs.saturating_mul(1_000).checked_div(rate).unwrap_or(0);
        IDLE_MAX_MS.saturating_sub(all_ms)
    }

    /// Places one task of each job of which nothing has been at work for long, the longest wait first.
    /// `steps` are in the usual order.
    pub(crate) fn place_idle_jobs(&mut self, steps: &[ReadyStep], now: u64) {
        let mut idle: Vec<&ReadyStep> =
            steps.iter().filter(|step| step.idle_since_ms.is_some()).collect();
        if idle.is_empty() {
            return;
        }
        idle.sort_by_key(|step| (step.idle_since_ms, step.key));
        let jobs = idle.chunk_by(|one, other| one.key.job == other.key.job).count();
        let after_ms = self.turn_after_ms(jobs);
        let is_due = |since_ms: u64, wait_ms: u64| now >= since_ms + wait_ms;
        let is_urgent = |step: &&ReadyStep| {
            step.idle_since_ms.is_some_and(|since_ms| is_due(since_ms, IDLE_MAX_MS))
        };
        let has_urgent = idle.first().is_some_and(is_urgent);
        idle.retain(|step| step.idle_since_ms.is_some_and(|since_ms| is_due(since_ms, after_ms)));
        // Services go first.
        for step in steps.iter().filter(|step| step.rank.tier == RankTier::Service) {
            self.place_step(step, usize::MAX, now);
        }
        let allowed = match self.free_start_slots() {
            Some(free) if !has_urgent => free.div_ceil(2),
            free => free.unwrap_or(usize::MAX),
        };
        let mut placed = 0;
        let mut last = None;
        for step in idle {
            if placed >= allowed || !self.has_start_slot() {
                break;
            }
            if last == Some(step.key.job) {
                continue;
            }
            let before = self.queued_starts();
            self.place_step(step, 1, now);
            // A gang is placed whole.
            let started = self.queued_starts().saturating_sub(before);
            if started > 0 {
                placed += started;
                last = Some(step.key.job);
            }
        }
    }
}
