//! Which jobs exceed their organisation's share.
//!
//! Guards against one organisation that sends many times its usual work into full pools. Ordered by
//! least work alone, its jobs would take capacity from everybody in proportion to their number. So
//! a job that arrives when its organisation has used up its share goes behind all jobs that can be
//! in time and are within theirs; it runs where capacity is left, and no VM is called for it.
//!
//! A share is a rate of arrival, since operators sell it as such, and not a part of the running
//! work: that would hold back an organisation that stays within its share and happens to be alone
//! in its burst.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Time whose share of jobs may arrive at once, in milliseconds.
const BURST_MS: u64 = 1_000;
/// Tokens for one job.
const TOKENS_PER_JOB: u64 = 1_000;

/// Token bucket of an organisation.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: u64,
    refilled_ms: u64,
}

/// Tracks whether arriving jobs are within the shares of their organisations.
#[derive(Debug, Default)]
pub(crate) struct ShareLimiter {
    buckets: BTreeMap<Arc<str>, TokenBucket>,
}

impl ShareLimiter {
    /// Takes the tokens for a job of an organisation with a share of `weight` jobs a second;
    /// returns whether the job is within the share. Without a weight there is no limit.
    pub fn try_take_tokens(&mut self, organisation: &Arc<str>, weight: f64, now: u64) -> bool {
        let rate = tokens_per_second(weight);
        if rate == 0 {
            return true;
        }
        let tokens_max = (rate * BURST_MS / 1_000).max(TOKENS_PER_JOB);
        let full = TokenBucket { tokens: tokens_max, refilled_ms: now };
        let bucket = self.buckets.entry(organisation.clone()).or_insert(full);
        let elapsed_ms = now.saturating_sub(bucket.refilled_ms);
        bucket.tokens = (bucket.tokens + rate * elapsed_ms / 1_000).min(tokens_max);
        bucket.refilled_ms = now;
        let is_within = bucket.tokens >= TOKENS_PER_JOB;
        if is_within {
            bucket.tokens -= TOKENS_PER_JOB;
        }
        is_within
    }
}

/// The cast saturates; no weight exceeds the number of jobs that a site takes in a second.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
fn tokens_per_second(weight: f64) -> u64 {
    (weight.max(0.0) * TOKENS_PER_JOB as f64) as u64
}
