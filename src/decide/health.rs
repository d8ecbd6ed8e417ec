//! Outlier detection: which workers are ejected because they fail.
//!
//! A worker that fails every request answers at once and therefore looks idle; a balancer that
//! ranks by load alone sends it more and more. A worker's failure rate is compared with the median
//! of its own pool: if everything fails, the cause is elsewhere, and ejecting workers would only
//! overload the remaining ones.

use std::time::Duration;

/// Weight of the newest outcome in a worker's failure rate.
const NEWEST_WEIGHT: f64 = 0.2;
/// Consecutive failures after which a worker may be ejected.
const FAILURES_IN_A_ROW: u32 = 3;
/// How far a worker's failure rate must be above the median of its pool.
const MEDIAN_MARGIN: f64 = 0.25;
/// Share of a pool that may be ejected at a time.
const EJECTED_SHARE_MAX: f64 = 0.34;
/// Consecutive successes that end a probation.
const PROBATION_SUCCESSES: u32 = 3;
/// Longest ejection, as a multiple of the first.
const BACKOFF_MAX: u32 = 16;

/// What an entry has seen of a worker's outcomes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HealthRecord {
    failure_rate: f64,
    failures_in_a_row: u32,
    successes_in_a_row: u32,
    ejections: u32,
    status: HealthStatus,
}

/// Whether a worker receives requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HealthStatus {
    /// Receives its share.
    #[default]
    Healthy,
    /// Receives nothing until the ejection ends.
    Ejected {
        /// End of the ejection, as time since the entry started.
        until: Duration,
    },
    /// Receives one idempotent request at a time.
    OnProbation,
}

impl HealthRecord {
    /// Records the outcome of a request.
    pub fn record(&mut self, succeeded: bool) {
        let newest = if succeeded { 0.0 } else { 1.0 };
        self.failure_rate += NEWEST_WEIGHT * (newest - self.failure_rate);
        if succeeded {
            self.failures_in_a_row = 0;
            self.successes_in_a_row += 1;
        } else {
            self.successes_in_a_row = 0;
            self.failures_in_a_row += 1;
        }
        if self.status == HealthStatus::OnProbation
            && self.successes_in_a_row >= PROBATION_SUCCESSES
        {
            *self = HealthRecord::default();
        }
    }

    /// Weighted share of recent requests that failed.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Status at `now`; an ejection that has ended becomes a probation.
    pub fn status(&mut self, now: Duration) -> HealthStatus {
        if let HealthStatus::Ejected { until } = self.status
            && now >= until
        {
            self.status = HealthStatus::OnProbation;
            self.successes_in_a_row = 0;
            self.failures_in_a_row = 0;
        }
        self.status
    }

    /// Whether this worker should be ejected, given the failure rates of its whole pool and how
    /// many workers of the pool are ejected already.
    pub fn is_ejection_due(&self, pool_rates: &mut [f64], ejected: usize) -> bool {
        let has_failed_probation =
            self.status == HealthStatus::OnProbation && self.failures_in_a_row > 0;
        let has_evidence = self.failures_in_a_row >= FAILURES_IN_A_ROW || has_failed_probation;
        let may_eject_more = ejected < ejected_max(pool_rates.len());
        has_evidence
            && may_eject_more
            && (has_failed_probation || self.failure_rate > median(pool_rates) + MEDIAN_MARGIN)
    }

    /// Ejects the worker: for `first`, and for twice as long each further time, up to a maximum.
    pub fn eject(&mut self, now: Duration, first: Duration) {
        let factor = 1u32.checked_shl(self.ejections).unwrap_or(BACKOFF_MAX).min(BACKOFF_MAX);
        self.ejections += 1;
        self.status = HealthStatus::Ejected { until: now + first * factor };
    }
}

/// Workers of a pool that may be ejected at a time; at least one if there are two.
fn ejected_max(workers: usize) -> usize {
    let (mut allowed, mut part) = (0, 0.0);
    let size = f64::from(u32::try_from(workers).unwrap_or(u32::MAX));
    while part + 1.0 <= size * EJECTED_SHARE_MAX {
        part += 1.0;
        allowed += 1;
    }
    allowed.max(usize::from(workers > 1))
}

fn median(rates: &mut [f64]) -> f64 {
    rates.sort_by(f64::total_cmp);
    rates.get(rates.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
}
