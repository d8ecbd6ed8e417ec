//! How late the leader's loop runs: the sign that it is short of processor.
//!
//! Answers, exits and commits wait in the process itself then, by about as much as the loop wakes
//! late, whatever the link does.

/// Lateness that a loop with enough processor has too, in microseconds: beside bursts of work on
/// half a core.
const USUAL_LATENESS_US: u64 = 30_000;
/// Divisor for the weight of one wake-up in the smoothed lateness, as in RFC 6298.
const SMOOTHING: u64 = 8;

/// Additional time for an answer that passes the loop, as a multiple of its delay, and the most in
/// milliseconds: the call, its start, its answer and the handling of it each wait for a turn.
const ANSWER_TURNS: u64 = 10;
const ANSWER_EXTRA_MAX_MS: u64 = 900;

/// Additional time for the answer to a batch of starts, in milliseconds, while the leader's loop is
/// this late: a batch that is given up is sent once more, which costs a late leader the most.
pub fn answer_extra_ms(loop_delay_ms: u64) -> u64 {
    (loop_delay_ms * ANSWER_TURNS).min(ANSWER_EXTRA_MAX_MS)
}

/// Additional time between two rounds of periodic work, as a multiple of the loop's delay, and the
/// most in milliseconds: a late loop is due for all such work at each wake-up.
const ROUND_TURNS: u64 = 8;
const ROUND_EXTRA_MAX_MS: u64 = 800;

/// Additional time between two checks of all runs, plans of all pools or lists of all VMs, in
/// milliseconds, while the leader's loop is this late.
pub fn round_extra_ms(loop_delay_ms: u64) -> u64 {
    (loop_delay_ms * ROUND_TURNS).min(ROUND_EXTRA_MAX_MS)
}

/// Smoothed lateness of a loop.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoopLateness {
    smoothed_us: u64,
}

impl LoopLateness {
    /// Records that the loop woke this much later than it had asked for, in microseconds.
    pub fn record_wake(&mut self, late_us: u64) {
        self.smoothed_us = (self.smoothed_us * (SMOOTHING - 1) + late_us) / SMOOTHING;
    }

    /// Time that events wait in the process beyond what is usual, in milliseconds; 0 with enough
    /// processor.
    pub fn delay_ms(&self) -> u64 {
        self.smoothed_us.saturating_sub(USUAL_LATENESS_US) / 1_000
    }
}
