//! How long to wait for an answer of the log before the call is repeated.
//!
//! The load that this answers: the log answers within milliseconds, and a part of its answers is lost.
//! Waited for as long as a slow log may take, each lost answer would hold up every start behind it for
//! that time. So the wait follows the answers, as a retransmission timeout does (RFC 6298): smoothed
//! time and four times its deviation, doubled after each call without an answer, so that a log that
//! turns slow is not called again and again. Repeats are idempotent.

use std::time::Duration;

use crate::jobs::ports::AppendOutcome;

/// Shortest wait: a process on a part of a core is late by tens of milliseconds itself.
const TIMEOUT_MIN: Duration = Duration::from_millis(150);
/// Parts of the smoothed time and of its deviation that one answer counts, as in RFC 6298.
const TIME_DIVISOR: u32 = 8;
const DEVIATION_DIVISOR: u32 = 4;

/// Learns from answers how long to wait for the next one.
#[derive(Clone, Debug)]
pub struct TimeoutEstimator {
    longest: Duration,
    smoothed: Option<(Duration, Duration)>,
    doublings: u32,
}

impl TimeoutEstimator {
    /// One that waits `longest` until it has seen an answer, and never longer.
    pub fn new(longest: Duration) -> TimeoutEstimator {
        TimeoutEstimator { longest, smoothed: None, doublings: 0 }
    }

    /// Time that answers take, once there was one.
    pub fn response_time(&self) -> Option<Duration> {
        self.smoothed.map(|(time, _)| time)
    }

    /// Time to wait for the next answer.
    pub fn timeout(&self) -> Duration {
        let Some((time, deviation)) = self.smoothed else { return self.longest };
        let timeout = (time + deviation * 4).max(TIMEOUT_MIN);
        timeout.saturating_mul(1 << self.doublings.min(8)).min(self.longest)
    }

    /// Takes in what became of an append after this time.
    pub fn record_outcome(&mut self, outcome: AppendOutcome, elapsed: Duration) {
        match outcome {
            AppendOutcome::Unknown => self.record_timeout(),
            // It may not have reached the log at all.
            AppendOutcome::Refused => {}
            AppendOutcome::Done { .. }
            | AppendOutcome::EndMoved { .. }
            | AppendOutcome::Fenced
            | AppendOutcome::OutOfSequence => self.record_answer(elapsed),
        }
    }

    /// An answer came after this time.
    pub fn record_answer(&mut self, elapsed: Duration) {
        self.doublings = 0;
        self.smoothed = Some(match self.smoothed {
            None => (elapsed, elapsed / 2),
            Some((time, deviation)) => {
                let difference = elapsed.abs_diff(time);
                let divisor = DEVIATION_DIVISOR;
                let deviation = (deviation * (divisor - 1) + difference) / divisor;
                ((time * (TIME_DIVISOR - 1) + elapsed) / TIME_DIVISOR, deviation)
            }
        });
    }

    /// No answer came in time.
    pub fn record_timeout(&mut self) {
        self.doublings = self.doublings.saturating_add(1);
    }
}
