//! Estimates how long to wait for an answer of the log before a call is repeated.
//!
//! The log usually answers within milliseconds, but some of its answers are lost. If the timeout
//! were as long as a slow log may take, each lost answer would delay every start behind it by that
//! time. So the timeout follows the answers as TCP's retransmission timeout does (RFC 6298):
//! smoothed response time plus four times its deviation, doubled after each call without an answer,
//! so that a log that becomes slow is not flooded with repeats. Repeats are idempotent.
//!
//! Its bound is for the log alone, so the way to the log comes on top. Answers of a far log may all take the
//! same time, which leaves no deviation: then a margin replaces it, as a busy process is late all the same.

use std::time::Duration;

use crate::jobs::ports::AppendOutcome;

/// Shortest timeout: a process with a fraction of a core is itself tens of milliseconds late.
const TIMEOUT_MIN: Duration = Duration::from_millis(150);
/// An answer changes the smoothed response time by 1/8 of its difference, and the smoothed
/// deviation by 1/4, as in RFC 6298.
const TIME_DIVISOR: u32 = 8;
const DEVIATION_DIVISOR: u32 = 4;

/// Least time beyond the smoothed response time of the log. It lengthens no timeout of a log that answers in half of
/// the shortest one.
const LOG_MARGIN: Duration = Duration::from_millis(75);

/// Shortest and longest timeout of a start or throttle. The answer to a batch of starts waits for the
/// slowest of them, and the leader waits at least twice the shortest for it.
const COMMAND_TIMEOUT_MIN: Duration = Duration::from_millis(450);
const COMMAND_TIMEOUT_MAX: Duration = Duration::from_millis(1_200);
/// Time beyond the estimate, as answers that all take the same time have no deviation.
const COMMAND_MARGIN: Duration = Duration::from_millis(150);
/// Latest commands that decide whether missing answers are the rule: those of a dead rack are not,
/// and would make each batch wait for it.
const OUTCOMES_KEPT: u32 = 16;

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

    /// Timeout for the next call to a log that is a round trip of `way` away.
    pub fn timeout_over(&self, way: Duration) -> Duration {
        let longest = self.longest + way;
        let Some((time, deviation)) = self.smoothed else { return longest };
        let timeout = (time + (deviation * 4).max(LOG_MARGIN)).max(TIMEOUT_MIN);
        timeout.saturating_mul(1 << self.doublings.min(8)).min(longest)
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

/// Timeout of the starts and throttles that an entry sends to workers.
///
/// It follows the answers of all workers: where the path to them, or the process itself, is slow, a
/// shorter one would give up starts that are carried out, and each of them would be sent again.
#[derive(Clone, Debug)]
pub struct CommandTimeout {
    answers: TimeoutEstimator,
    /// Outcomes of the last commands as bits; a set bit is a command without an answer.
    unanswered: u16,
}

impl Default for CommandTimeout {
    fn default() -> CommandTimeout {
        CommandTimeout { answers: TimeoutEstimator::new(COMMAND_TIMEOUT_MAX), unanswered: 0 }
    }
}

impl CommandTimeout {
    /// Timeout of the next command, the longest before the first answer.
    pub fn timeout(&self) -> Duration {
        let timeout = self.answers.timeout() + COMMAND_MARGIN;
        timeout.clamp(COMMAND_TIMEOUT_MIN, COMMAND_TIMEOUT_MAX)
    }

    /// Records that a command was answered after `elapsed`, or given up by then.
    pub fn record_outcome(&mut self, elapsed: Duration, is_answered: bool) {
        self.unanswered = self.unanswered << 1 | u16::from(!is_answered);
        if is_answered {
            self.answers.record_answer(elapsed);
        } else if self.unanswered.count_ones() * 2 > OUTCOMES_KEPT {
            self.answers.record_timeout();
        }
    }
}
