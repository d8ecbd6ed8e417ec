//! Run times learned from observation, since the declared ones are far off.

use std::time::Duration;

/// Weight of the newest run in the average.
const NEWEST_WEIGHT: f64 = 0.1;
/// Runs that an estimate needs.
const RUNS_MIN: u32 = 5;
/// Mean deviations above the average that bound nearly all runs.
const DEVIATION_FACTOR: f64 = 4.0;

/// Average run time and mean deviation, kept as RFC 6298 does for round-trip times.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunEstimate {
    runs: u32,
    average: f64,
    deviation: f64,
}

impl RunEstimate {
    /// Records the duration of a run.
    pub fn record(&mut self, run: Duration) {
        let run = run.as_secs_f64();
        if self.runs == 0 {
            self.average = run;
            self.deviation = run / 2.0;
        } else {
            let weight = NEWEST_WEIGHT.max(1.0 / f64::from(self.runs + 1));
            self.deviation += weight * ((run - self.average).abs() - self.deviation);
            self.average += weight * (run - self.average);
        }
        self.runs = self.runs.saturating_add(1);
    }

    /// Average duration; `None` until enough runs were recorded.
    pub fn typical(&self) -> Option<Duration> {
        (self.runs >= RUNS_MIN).then(|| Duration::from_secs_f64(self.average.max(0.0)))
    }

    /// A duration that nearly all runs stay below; `None` until enough runs were recorded.
    pub fn upper_bound(&self) -> Option<Duration> {
        let bound = self.average + DEVIATION_FACTOR * self.deviation;
        (self.runs >= RUNS_MIN).then(|| Duration::from_secs_f64(bound.max(0.0)))
    }
}

/// Estimated time until a slot is free for a request with `ahead` requests before it.
pub fn queue_wait(ahead: usize, slots: u32, run: Duration) -> Duration {
    let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
    run.saturating_mul(ahead) / slots.max(1)
}
