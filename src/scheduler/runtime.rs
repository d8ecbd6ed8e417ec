//! Run times of tasks, learned from steps that are done.
//!
//! Serves the ranking of jobs: where a pool holds less than its queue asks for, jobs that can still
//! meet their objective go first. Which ones can depends on their run times, and declared run times
//! may be off by nearly all of their length. The error differs from queue to queue, so declared
//! times are trusted as far as they have predicted observed times.

use serde::{Deserialize, Serialize};

/// Factor by which earlier observations fade with each new one: some fifty steps count.
const DECAY_FACTOR: f64 = 0.98;
/// Number of observations that the initial assumption, that declared times are right, counts for.
const PRIOR_WEIGHT: f64 = 4.0;
/// Spread of declared times in that assumption, as a part of their length.
const PRIOR_SPREAD: f64 = 0.5;

/// Part by which a mean or the slope of a fit must move for its successor to need it: declared times
/// are off by a fifth and more, so a sixteenth changes no order that matters.
const MATERIAL_PART: f32 = 1.0 / 16.0;
/// Factor by which the number of observations must grow for the same.
const MATERIAL_GROWTH: f32 = 1.5;
/// Largest weight of a fit: its prior and the limit of the faded observations.
const WEIGHT_MAX: f32 = 64.0;

/// A fit as it is stored. Moments around the means keep their precision in 32 bits, sums of squares
/// do not.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RuntimeSummary {
    weight: f32,
    mean_declared: f32,
    mean_observed: f32,
    variance: f32,
    covariance: f32,
}

impl RuntimeSummary {
    /// Whether jobs would be ranked differently than by an earlier summary.
    pub fn differs_from(&self, earlier: &RuntimeSummary) -> bool {
        let has_moved = |now: f32, before: f32| (now - before).abs() > before * MATERIAL_PART;
        has_moved(self.mean_declared, earlier.mean_declared)
            || has_moved(self.mean_observed, earlier.mean_observed)
            || self.weight > earlier.weight * MATERIAL_GROWTH
            || (self.slope() - earlier.slope()).abs() > MATERIAL_PART
    }

    fn slope(&self) -> f32 {
        if self.variance > 1.0 { (self.covariance / self.variance).clamp(0.0, 1.0) } else { 0.0 }
    }
}

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

    /// The fit in its stored form; `None` before the first observation.
    pub fn summary(&self) -> Option<RuntimeSummary> {
        if self.weight == 0.0 {
            return None;
        }
        let (mean_declared, mean_observed) =
            (self.declared / self.weight, self.observed / self.weight);
        Some(RuntimeSummary {
            weight: to_single(self.weight),
            mean_declared: to_single(mean_declared),
            mean_observed: to_single(mean_observed),
            variance: to_single(self.declared_squares / self.weight - mean_declared.powi(2)),
            covariance: to_single(self.products / self.weight - mean_declared * mean_observed),
        })
    }

    /// The fit of a stored summary; `None` if no observations can have led to it.
    pub fn restore(summary: &RuntimeSummary) -> Option<RuntimeModel> {
        let RuntimeSummary { weight, mean_declared, mean_observed, variance, covariance } =
            *summary;
        let numbers = [weight, mean_declared, mean_observed, variance, covariance];
        let is_possible = numbers.iter().all(|number| number.is_finite())
            && weight > 0.0
            && weight <= WEIGHT_MAX
            && mean_declared >= 0.0
            && mean_observed >= 0.0;
        if !is_possible {
            return None;
        }
        let weight = f64::from(weight);
        let (mean_declared, mean_observed) = (f64::from(mean_declared), f64::from(mean_observed));
        Some(RuntimeModel {
            weight,
            declared: mean_declared * weight,
            observed: mean_observed * weight,
            declared_squares: (f64::from(variance).max(0.0) + mean_declared.powi(2)) * weight,
            products: (f64::from(covariance) + mean_declared * mean_observed) * weight,
        })
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

/// Seven digits are more than run times are known by.
#[allow(clippy::cast_possible_truncation)]
fn to_single(number: f64) -> f32 {
    number as f32
}

/// The cast saturates; with an expected run time of zero, a task would count as done.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_whole(time_ms: f64) -> u64 {
    time_ms.max(1.0) as u64
}
