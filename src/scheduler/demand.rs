//! How much work arrives for a pool.
//!
//! Guards against VMs that come too late: a queue's demand rises to several times its mean within a
//! second. A VM that is called for takes longer than that to arrive, so waiting until work has
//! queued up means being late by a whole move. The arrival rate predicts the coming load: work that
//! arrives per second keeps as many cores busy.
//!
//! Load for the estimate's spread: 18 jobs a second, of 16 tasks of 3.3 cores for 1.8 s, with a
//! large spread. Two such jobs arrive in the quick average's window, and the higher of the two
//! averages is 20% above the load on average. So the quick average counts only as far as chance
//! does not explain its difference from the steady one. Both are sums over arrivals, and the
//! variance of their difference follows from the sum of the squares of the arriving work.
//!
//! This is active where the steady window has few effective arrivals: the square of the sum of
//! their work over the sum of its squares, which is their number if all bring the same work. It is
//! not active while the steady average is well above that of the last seconds: as demand rises from
//! a low level, few arrivals show it, and each that does not count makes VMs late. In both cases
//! the estimate is the higher of the two averages.

use crate::jobs::model::{JobSpec, ResourceVector};
use crate::scheduler::runtime::RuntimeModel;

/// Averaging time of arrivals, in milliseconds: it covers a dozen jobs in a burst, and is short
/// against the time that a VM takes to change pools.
const STEADY_WINDOW_MS: f64 = 600.0;
/// The same for recent rises. A burst begins abruptly, and each tenth of a second until VMs are
/// called for is lost to all jobs that arrive before the VMs do.
const QUICK_WINDOW_MS: f64 = 120.0;
/// Variance of the difference of the two averages, for a sum of squares of one per millisecond.
/// Arrivals at random times that are averaged with decay over `a` and `b` have the variances
/// `1 / 2a` and `1 / 2b`, and the covariance `1 / (a + b)`.
const DIFFERENCE_VARIANCE: f64 =
    0.5 / STEADY_WINDOW_MS + 0.5 / QUICK_WINDOW_MS - 2.0 / (STEADY_WINDOW_MS + QUICK_WINDOW_MS);
/// Variance of the steady average, for a sum of squares of one per millisecond.
const STEADY_VARIANCE: f64 = 0.5 / STEADY_WINDOW_MS;
/// Difference in standard deviations up to which the quick average does not count. On steady load
/// 7% of the differences are higher.
const CHANCE_DEVIATIONS: f64 = 1.5;
/// Further deviations over which the quick average comes to count in full.
const CHANCE_RANGE: f64 = 1.0;
/// Part of the steady average's standard deviation that is added to it. Without it the estimate is
/// below a steady load 6% of the time more often than the higher average is.
const STEADY_MARGIN: f64 = 0.25;
/// Effective arrivals in the steady window up to which chance is taken into account in full, and
/// from which it is not. Large jobs of 18 a second have 7 of them.
const FEW_ARRIVALS: f64 = 8.0;
const MANY_ARRIVALS: f64 = 16.0;
/// Averaging time of the level from which demand rises, in milliseconds.
const LEVEL_WINDOW_MS: f64 = 3_000.0;
/// Ratio of the steady average to that level up to which chance is taken into account in full, and
/// from which it is not. In the first second of a rise from a low level the ratio is 2 to 5.
const LEVEL_RATIO: f64 = 1.4;
const RISE_RATIO: f64 = 2.0;

/// Averages of arriving work of one resource: the amount times the time that it is held.
#[derive(Clone, Copy, Debug, Default)]
struct WorkAverage {
    /// Work per millisecond, over each window.
    steady: f64,
    quick: f64,
    level: f64,
    /// Square of each job's work per millisecond, over the steady window.
    square: f64,
}

impl WorkAverage {
    fn add(&mut self, work: f64) {
        self.steady += work / STEADY_WINDOW_MS;
        self.quick += work / QUICK_WINDOW_MS;
        self.level += work / LEVEL_WINDOW_MS;
        self.square += work * work / STEADY_WINDOW_MS;
    }

    fn decay(&mut self, elapsed_ms: f64) {
        let steady_factor = (-elapsed_ms / STEADY_WINDOW_MS).exp();
        self.steady *= steady_factor;
        self.square *= steady_factor;
        self.quick *= (-elapsed_ms / QUICK_WINDOW_MS).exp();
        self.level *= (-elapsed_ms / LEVEL_WINDOW_MS).exp();
    }

    /// Amount that the arriving work will keep busy.
    fn load(&self) -> f64 {
        if self.square <= 0.0 || self.level <= 0.0 {
            return 0.0;
        }
        let arrivals = self.steady * self.steady * STEADY_WINDOW_MS / self.square;
        let fewness = (MANY_ARRIVALS - arrivals) / (MANY_ARRIVALS - FEW_ARRIVALS);
        let levelness = (RISE_RATIO - self.steady / self.level) / (RISE_RATIO - LEVEL_RATIO);
        let unevenness = fewness.clamp(0.0, 1.0) * levelness.clamp(0.0, 1.0);
        let margin = unevenness * STEADY_MARGIN * (self.square * STEADY_VARIANCE).sqrt();
        let rise = (self.quick - self.steady).max(0.0);
        let deviations = rise / (self.square * DIFFERENCE_VARIANCE).sqrt();
        let share = ((deviations - CHANCE_DEVIATIONS) / CHANCE_RANGE).clamp(0.0, 1.0);
        self.steady + margin.max(rise * share.max(1.0 - unevenness))
    }
}

/// Arrival rate of work: a steady average, which holds VMs over the gaps between jobs, and a quick
/// one, which shows a rise early and counts as far as the rise is not due to chance.
#[derive(Clone, Copy, Debug, Default)]
pub struct ArrivalRate {
    cpu: WorkAverage,
    memory: WorkAverage,
    accelerators: WorkAverage,
    updated_ms: u64,
}

impl ArrivalRate {
    /// Records the arrival of a job from a queue whose run times follow `model`.
    pub fn record_arrival(&mut self, spec: &JobSpec, model: &RuntimeModel, now: u64) {
        self.decay(now);
        let (mut cpu, mut memory, mut accelerators) = (0.0, 0.0, 0.0);
        for step in spec.steps.iter().filter(|step| !step.is_service) {
            let expected_ms = model.expected_ms(step.estimate_ms);
            let held_ms = to_float(expected_ms) * f64::from(step.count);
            cpu += to_float(step.need.cpu) * held_ms;
            memory += to_float(step.need.memory) * held_ms;
            accelerators += to_float(step.need.accelerators) * held_ms;
        }
        self.cpu.add(cpu);
        self.memory.add(memory);
        self.accelerators.add(accelerators);
    }

    /// Resources that the work arriving now will keep busy.
    pub fn load(&mut self, now: u64) -> ResourceVector {
        self.decay(now);
        ResourceVector {
            cpu: to_whole(self.cpu.load()),
            memory: to_whole(self.memory.load()),
            accelerators: to_whole(self.accelerators.load()),
        }
    }

    fn decay(&mut self, now: u64) {
        let elapsed_ms = to_float(now.saturating_sub(self.updated_ms));
        self.updated_ms = now;
        for average in [&mut self.cpu, &mut self.memory, &mut self.accelerators] {
            average.decay(elapsed_ms);
        }
    }
}

/// Figures stay far below 2^53, up to which a float is exact.
#[allow(clippy::cast_precision_loss)]
fn to_float(figure: u64) -> f64 {
    figure as f64
}

/// The cast saturates.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_whole(figure: f64) -> u64 {
    figure.max(0.0) as u64
}
