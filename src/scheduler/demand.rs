//! How much work arrives for a pool.
//!
//! Guards against VMs that come too late: a queue's demand rises to several times its mean within a
//! second. A VM that is called for takes longer than that to arrive, so waiting until work has
//! queued up means being late by a whole move. The arrival rate predicts the coming load: work that
//! arrives per second keeps as many cores busy.

use crate::jobs::model::{JobSpec, ResourceVector};
use crate::scheduler::runtime::RuntimeModel;

/// Averaging time of arrivals, in milliseconds: it covers a dozen jobs in a burst, and is short
/// against the time that a VM takes to change pools.
const STEADY_WINDOW_MS: f64 = 600.0;
/// The same for recent rises. A burst begins abruptly, and each tenth of a second until VMs are
/// called for is lost to all jobs that arrive before the VMs do.
const QUICK_WINDOW_MS: f64 = 120.0;

/// Work arriving per second: for each resource, the amount times the seconds that it is held.
#[derive(Clone, Copy, Debug)]
struct WorkRate {
    window_ms: f64,
    cpu: f64,
    memory: f64,
    accelerators: f64,
}

/// Arrival rate of work, as the higher of two averages: the quick one shows a rise early, the
/// steady one holds VMs over the gaps between jobs.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalRate {
    steady: WorkRate,
    quick: WorkRate,
    updated_ms: u64,
}

impl Default for ArrivalRate {
    fn default() -> Self {
        ArrivalRate {
            steady: WorkRate::with_window(STEADY_WINDOW_MS),
            quick: WorkRate::with_window(QUICK_WINDOW_MS),
            updated_ms: 0,
        }
    }
}

impl ArrivalRate {
    /// Records the arrival of a job from a queue whose run times follow `model`.
    pub fn record_arrival(&mut self, spec: &JobSpec, model: &RuntimeModel, now: u64) {
        self.decay(now);
        self.steady.add_job(spec, model);
        self.quick.add_job(spec, model);
    }

    /// Resources that the work arriving now will keep busy.
    pub fn load(&mut self, now: u64) -> ResourceVector {
        self.decay(now);
        self.steady.load().component_max(&self.quick.load())
    }

    fn decay(&mut self, now: u64) {
        let elapsed = to_float(now.saturating_sub(self.updated_ms));
        self.updated_ms = now;
        self.steady.decay(elapsed);
        self.quick.decay(elapsed);
    }
}

impl WorkRate {
    fn with_window(window_ms: f64) -> WorkRate {
        WorkRate { window_ms, cpu: 0.0, memory: 0.0, accelerators: 0.0 }
    }

    fn add_job(&mut self, spec: &JobSpec, model: &RuntimeModel) {
        for step in spec.steps.iter().filter(|step| !step.is_service) {
            let expected_ms = model.expected_ms(step.estimate_ms);
            let held = to_float(expected_ms) * f64::from(step.count) / self.window_ms;
            self.cpu += to_float(step.need.cpu) * held;
            self.memory += to_float(step.need.memory) * held;
            self.accelerators += to_float(step.need.accelerators) * held;
        }
    }

    fn load(&self) -> ResourceVector {
        ResourceVector {
            cpu: to_whole(self.cpu),
            memory: to_whole(self.memory),
            accelerators: to_whole(self.accelerators),
        }
    }

    fn decay(&mut self, elapsed_ms: f64) {
        let kept = (-elapsed_ms / self.window_ms).exp();
        self.cpu *= kept;
        self.memory *= kept;
        self.accelerators *= kept;
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
