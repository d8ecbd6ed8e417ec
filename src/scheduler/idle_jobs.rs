//! Jobs that stand still because the leader begins fewer tasks than wait.
//!
//! Guards against a leader that is short of processor: its rounds end as its start slots are used
//! up, always before the same jobs, those that are overdue or of a queue that comes later, for as
//! long as anything goes before them, whatever room their pool has. So a job that has had nothing
//! running for [`IDLE_MAX_MS`] gets one start ahead of the order, the longest wait first, across
//! pools. At most one start in four goes this way, so that jobs in time keep the rest.
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

/// Time with nothing running after which a job is begun ahead of the order, in milliseconds.
/// Callers accept three seconds; a start takes up to half of that at a slow leader.
pub(crate) const IDLE_MAX_MS: u64 = 1_500;
/// Starts in the usual order for each one ahead of it.
const STARTS_PER_IDLE: usize = 3;
/// Most starts ahead of the order in one round.
const IDLE_STARTS_MAX: usize = 16;

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

/// Starts that may go ahead of the order.
#[derive(Debug)]
pub(crate) struct IdleCredit {
    /// Starts in the usual order that were not counted against one ahead of it.
    usual: usize,
}

impl Default for IdleCredit {
    fn default() -> Self {
        IdleCredit { usual: STARTS_PER_IDLE }
    }
}

impl IdleCredit {
    /// Starts that may go ahead of the order now.
    pub fn starts(&self) -> usize {
        self.usual / STARTS_PER_IDLE
    }

    /// Counts the starts of a round.
    pub fn record(&mut self, ahead: usize, usual: usize) {
        self.usual = self.usual.saturating_sub(ahead * STARTS_PER_IDLE).saturating_add(usual);
        self.usual = self.usual.min(IDLE_STARTS_MAX * STARTS_PER_IDLE);
    }
}

impl Scheduler {
    /// Since when a job has had nothing running, if that is longer than [`IDLE_MAX_MS`].
    pub(crate) fn long_idle_since_ms(&self, job: &JobRun, due_ms: u64, now: u64) -> Option<u64> {
        let since_ms = job.idle_since_ms(self.waits.opened_ms())?.max(due_ms);
        (now >= since_ms + IDLE_MAX_MS).then_some(since_ms)
    }

    /// Places one task of each job that has had nothing running for long, the longest wait first,
    /// as far as the credit goes. `steps` are in the usual order.
    pub(crate) fn place_idle_jobs(&mut self, steps: &[ReadyStep], now: u64) {
        let mut idle: Vec<&ReadyStep> =
            steps.iter().filter(|step| step.idle_since_ms.is_some()).collect();
        if idle.is_empty() {
            return;
        }
        idle.sort_by_key(|step| (step.idle_since_ms, step.key));
        // Services go first.
        for step in steps.iter().filter(|step| step.rank.tier == RankTier::Service) {
            self.place_step(step, usize::MAX, now);
        }
        let allowed = self.idle_credit.starts();
        let mut placed = 0;
        let mut last = None;
        for step in idle {
            if placed >= allowed || !self.has_start_slot() {
                break;
            }
            if last == Some(step.key.job) {
                continue;
            }
            let before = self.open_starts();
            self.place_step(step, 1, now);
            // A gang is placed whole.
            let started = self.open_starts().saturating_sub(before);
            if started > 0 {
                placed += started;
                last = Some(step.key.job);
            }
        }
        self.idle_credit.record(placed, 0);
    }
}
