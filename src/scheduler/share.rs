//! Which jobs go beyond their organisation's share.
//!
//! The load that this answers: one organisation sends many times what it usually does, into pools that are full.
//! Served by least work alone its jobs would take room from everybody's in proportion to their number. So a
//! job that comes when its organisation has used up its share of arrivals goes behind all that can be in
//! time and are within theirs; it runs where room is left, and no VM is called for it.
//!
//! Shares are rates of arrival, by which operators sell them, and not parts of what runs: a part of what runs
//! would hold an organisation back that has stayed within its share and happens to be alone in its burst.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Time over which a share may come at once, in milliseconds.
const BURST_MS: u64 = 1_000;
/// Unit in which parts of a job are counted.
const TOKENS_PER_JOB: u64 = 1_000;

/// What an organisation may still send.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: u64,
    refilled_ms: u64,
}

/// Arrivals by organisation, against their shares.
#[derive(Debug, Default)]
pub(crate) struct ShareLimiter {
    buckets: BTreeMap<Arc<str>, TokenBucket>,
}

impl ShareLimiter {
    /// A job of an organisation with a share of `weight` jobs a second has arrived; whether it is within that.
    /// Without a weight there is no share to go beyond.
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

/// The cast saturates; a weight is no larger than a site's jobs in a second.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
fn tokens_per_second(weight: f64) -> u64 {
    (weight.max(0.0) * TOKENS_PER_JOB as f64) as u64
}
