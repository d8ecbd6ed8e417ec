//! Run times of tasks, learned from steps that are done.
//!
//! Serves the ranking of jobs: where a pool holds less than its queue asks for, jobs that can still
//! meet their objective go first. Which ones can depends on their run times, and declared run times
//! may be off by nearly all of their length. The error differs from queue to queue, so declared
//! times are trusted as far as they have predicted observed times.

/// Factor by which earlier observations fade with each new one: some fifty steps count.
const DECAY_FACTOR: f64 = 0.98;
/// Number of observations that the initial assumption, that declared times are right, counts for.
const PRIOR_WEIGHT: f64 = 4.0;
/// Spread of declared times in that assumption, as a part of their length.
const PRIOR_SPREAD: f64 = 0.5;

/// Least-squares fit of observed over declared run times, for one queue.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RuntimeModel {
    weight: f64,
    declared: f64,
    observed: f64,
    declared_squares: f64,
    products: f64,
}

impl RuntimeModel {
    /// Records a step whose tasks were declared to take `declared_ms` and took `observed_ms` on
    /// average.
    pub fn record(&mut self, declared_ms: u64, observed_ms: u64) {
        let (declared, observed) = (to_float(declared_ms), to_float(observed_ms));
        if self.weight == 0.0 {
            self.seed_prior(declared);
        }
        self.weight = self.weight * DECAY_FACTOR + 1.0;
        self.declared = self.declared * DECAY_FACTOR + declared;
        self.observed = self.observed * DECAY_FACTOR + observed;
        self.declared_squares = self.declared_squares * DECAY_FACTOR + declared * declared;
        self.products = self.products * DECAY_FACTOR + declared * observed;
    }

    /// Starts with declared times around the first one, and equal observed times.
    fn seed_prior(&mut self, declared: f64) {
        let spread = 1.0 + PRIOR_SPREAD * PRIOR_SPREAD;
        self.weight = PRIOR_WEIGHT;
        self.declared = declared * PRIOR_WEIGHT;
        self.observed = self.declared;
        self.declared_squares = declared * declared * spread * PRIOR_WEIGHT;
        self.products = self.declared_squares;
    }

    /// Expected run time of tasks declared to take `declared_ms`, in milliseconds; at least 1 once
    /// a step was observed.
    pub fn expected_ms(&self, declared_ms: u64) -> u64 {
        if self.weight == 0.0 {
            return declared_ms;
        }
        let mean_declared = self.declared / self.weight;
        let mean_observed = self.observed / self.weight;
        let variance = self.declared_squares / self.weight - mean_declared * mean_declared;
        let covariance = self.products / self.weight - mean_declared * mean_observed;
        // Equal declared times allow no slope.
        let slope = if variance > 1.0 { (covariance / variance).clamp(0.0, 1.0) } else { 0.0 };
        to_whole(mean_observed + slope * (to_float(declared_ms) - mean_declared))
    }
}

/// Run times stay far below 2^53, up to which a float is exact.
#[allow(clippy::cast_precision_loss)]
fn to_float(time_ms: u64) -> f64 {
    time_ms as f64
}

/// The cast saturates; with an expected run time of zero, a task would count as done.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_whole(time_ms: f64) -> u64 {
    time_ms.max(1.0) as u64
}
