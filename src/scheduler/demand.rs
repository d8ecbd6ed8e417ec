//! How much work arrives for a pool.
//!
//! The load that this answers: a queue's demand rises to several times its mean within a second. A
//! VM that is called for takes longer than that to come, so waiting until the work stands in line
//! means to be late by a whole move. The rate of arrival tells the load that will stand there: work
//! that arrives per second keeps as many cores busy.

use crate::jobs::model::{JobSpec, ResourceVector};

/// Time over which arrivals are averaged, in milliseconds: a dozen jobs in a burst, and short against
/// the time that a VM takes to change pools.
const WINDOW_MS: f64 = 600.0;

/// Work arriving per second: of each resource, the amount times the seconds that it is held.
#[derive(Clone, Copy, Debug, Default)]
pub struct ArrivalRate {
    cpu: f64,
    memory: f64,
    accelerators: f64,
    updated_ms: u64,
}

impl ArrivalRate {
    /// A job has arrived.
    pub fn arrive(&mut self, spec: &JobSpec, now: u64) {
        self.decay(now);
        for step in spec.steps.iter().filter(|step| !step.is_service) {
            let held_ms = real(step.estimate_ms) * f64::from(step.count);
            self.cpu += real(step.need.cpu) * held_ms / WINDOW_MS;
            self.memory += real(step.need.memory) * held_ms / WINDOW_MS;
            self.accelerators += real(step.need.accelerators) * held_ms / WINDOW_MS;
        }
    }

    /// What the work that arrives now will keep busy.
    pub fn load(&mut self, now: u64) -> ResourceVector {
        self.decay(now);
        ResourceVector {
            cpu: whole(self.cpu),
            memory: whole(self.memory),
            accelerators: whole(self.accelerators),
        }
    }

    fn decay(&mut self, now: u64) {
        let kept = (-real(now.saturating_sub(self.updated_ms)) / WINDOW_MS).exp();
        self.updated_ms = now;
        self.cpu *= kept;
        self.memory *= kept;
        self.accelerators *= kept;
    }
}

/// Figures here stay far below the 2^53 up to which a float is exact.
#[allow(clippy::cast_precision_loss)]
fn real(figure: u64) -> f64 {
    figure as f64
}

/// The cast saturates.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(figure: f64) -> u64 {
    figure.max(0.0) as u64
}
