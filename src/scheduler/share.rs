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
//!
//! Used shares are stored for the next leader (`ledger.rs`). With full buckets at each takeover, an
//! organisation that floods the site would get another burst from each new leader.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Time whose share of jobs may arrive at once, in milliseconds.
const BURST_MS: u64 = 1_000;
/// Tokens for one job.
const TOKENS_PER_JOB: u64 = 1_000;
/// Part of a full bucket, as a divisor, below which a difference in tokens is not worth a record.
const MATERIAL_DIVISOR: u64 = 8;

/// Token bucket of an organisation.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: u64,
    refilled_ms: u64,
}

impl TokenBucket {
    /// Its tokens now, with a share of `rate` tokens a second.
    fn tokens_at(&self, rate: u64, now: u64) -> u64 {
        let elapsed_ms = now.saturating_sub(self.refilled_ms);
        let refill = rate.saturating_mul(elapsed_ms) / 1_000;
        self.tokens.saturating_add(refill).min(tokens_max(rate))
    }
}

/// Tokens that an organisation has left.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TokenCount {
    /// Name of the organisation.
    pub organisation: Arc<str>,
    /// Thousandths of jobs that it may send at once.
    pub tokens: u64,
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
        let full = TokenBucket { tokens: tokens_max(rate), refilled_ms: now };
        let bucket = self.buckets.entry(organisation.clone()).or_insert(full);
        bucket.tokens = bucket.tokens_at(rate, now);
        bucket.refilled_ms = now;
        let is_within = bucket.tokens >= TOKENS_PER_JOB;
        if is_within {
            bucket.tokens -= TOKENS_PER_JOB;
        }
        is_within
    }

    /// Restores what an organisation had left `age_ms` ago, under the weight that it has now.
    /// Returns whether it limits the organisation.
    pub fn restore(&mut self, count: &TokenCount, weight: f64, age_ms: u64, now: u64) -> bool {
        let rate = tokens_per_second(weight);
        // The steady clock of this process may be younger than the record, so the refill for the
        // record's age is added here.
        let stored = TokenBucket { tokens: count.tokens, refilled_ms: 0 };
        let tokens = stored.tokens_at(rate, age_ms);
        if rate == 0 || tokens == tokens_max(rate) {
            return false;
        }
        let bucket = TokenBucket { tokens, refilled_ms: now };
        self.buckets.insert(count.organisation.clone(), bucket);
        true
    }

    /// Part of its burst that an organisation has used up, in thousandths.
    pub fn used_permille(&self, organisation: &str, weight: f64, now: u64) -> u64 {
        let rate = tokens_per_second(weight);
        let Some(bucket) = self.buckets.get(organisation).filter(|_| rate > 0) else { return 0 };
        let max = tokens_max(rate);
        (max - bucket.tokens_at(rate, now)).saturating_mul(1_000) / max
    }

    /// The `count_max` organisations with the fewest tokens, least first. Full buckets are left
    /// out: a new leader assumes them.
    pub fn lowest(
        &self,
        weight: impl Fn(&str) -> f64,
        count_max: usize,
        now: u64,
    ) -> Vec<TokenCount> {
        let mut counts: Vec<TokenCount> = self
            .buckets
            .iter()
            .filter_map(|(name, bucket)| {
                let rate = tokens_per_second(weight(name));
                let tokens = bucket.tokens_at(rate, now);
                let is_used = rate > 0 && is_material(tokens, tokens_max(rate), rate);
                is_used.then(|| TokenCount { organisation: name.clone(), tokens })
            })
            .collect();
        counts.sort_by_key(|count| count.tokens);
        counts.truncate(count_max);
        counts
    }
}

/// Whether a bucket differs materially from what a record of it would be restored to: `logged`
/// tokens, `age_ms` ago.
pub(crate) fn has_changed(tokens: u64, logged: u64, weight: f64, age_ms: u64) -> bool {
    let rate = tokens_per_second(weight);
    let restored = TokenBucket { tokens: logged, refilled_ms: 0 }.tokens_at(rate, age_ms);
    is_material(tokens, restored, rate)
}

fn is_material(tokens: u64, other: u64, rate: u64) -> bool {
    tokens.abs_diff(other) > tokens_max(rate) / MATERIAL_DIVISOR
}

fn tokens_max(rate: u64) -> u64 {
    (rate.saturating_mul(BURST_MS) / 1_000).max(TOKENS_PER_JOB)
}

/// The cast saturates; no weight exceeds the number of jobs that a site takes in a second.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
fn tokens_per_second(weight: f64) -> u64 {
    (weight.max(0.0) * TOKENS_PER_JOB as f64) as u64
}
