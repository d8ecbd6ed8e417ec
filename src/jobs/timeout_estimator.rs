//! Estimates how long to wait for an answer of the log before a call is repeated.
//!
//! The log usually answers within milliseconds, but some of its answers are lost. If the timeout
//! were as long as a slow log may take, each lost answer would delay every start behind it by that
//! time. So the timeout follows the answers as TCP's retransmission timeout does (RFC 6298):
//! smoothed response time plus four times its deviation, doubled after each call without an answer,
//! so that a log that becomes slow is not flooded with repeats. Repeats are idempotent.

use std::time::Duration;

use crate::jobs::ports::AppendOutcome;

/// Shortest timeout: a process with a fraction of a core is itself tens of milliseconds late.
const TIMEOUT_MIN: Duration = Duration::from_millis(150);
/// An answer changes the smoothed response time by 1/8 of its difference, and the smoothed
/// deviation by 1/4, as in RFC 6298.
const TIME_DIVISOR: u32 = 8;
const DEVIATION_DIVISOR: u32 = 4;

/// Estimates the timeout of the next call from earlier answers.
#[derive(Clone, Debug)]
pub struct TimeoutEstimator {
    longest: Duration,
    smoothed: Option<(Duration, Duration)>,
    doublings: u32,
}

impl TimeoutEstimator {
    /// The timeout is `longest` before the first answer, and never more than that.
    pub fn new(longest: Duration) -> TimeoutEstimator {
        TimeoutEstimator { longest, smoothed: None, doublings: 0 }
    }

    /// Smoothed response time; `None` before the first answer.
    pub fn response_time(&self) -> Option<Duration> {
        self.smoothed.map(|(time, _)| time)
    }

    /// Timeout for the next call.
    pub fn timeout(&self) -> Duration {
        let Some((time, deviation)) = self.smoothed else { return self.longest };
        let timeout = (time + deviation * 4).max(TIMEOUT_MIN);
        timeout.saturating_mul(1 << self.doublings.min(8)).min(self.longest)
    }

    /// Updates the estimate with the outcome of an append that took `elapsed`.
    pub fn record_outcome(&mut self, outcome: AppendOutcome, elapsed: Duration) {
        match outcome {
            AppendOutcome::Unknown => self.record_timeout(),
            // The append may not have reached the log at all.
            AppendOutcome::Refused => {}
            AppendOutcome::Done { .. }
            | AppendOutcome::EndMoved { .. }
            | AppendOutcome::Fenced
            | AppendOutcome::OutOfSequence => self.record_answer(elapsed),
        }
    }

    /// Updates the estimate with an answer that took `elapsed`.
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

    /// Doubles the timeout after a call without an answer.
    pub fn record_timeout(&mut self) {
        self.doublings = self.doublings.saturating_add(1);
    }
}
