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

/// Time for which a late leader's starts may be on their way, in milliseconds: longer than one takes
/// through the log and an executor. A placed run holds capacity of its worker meanwhile.
const START_TIME_MAX_MS: u64 = 1_500;
/// Starts that may always be on their way, however few begin.
const OPEN_STARTS_MIN: u64 = 200;
/// Length of the interval in which begun runs are counted, in milliseconds.
const BEGIN_INTERVAL_MS: u64 = 1_000;

/// Bounds the starts that are on their way by what a late leader begins.
///
/// Load: more tasks fit their pools than the leader can record and send in seconds. Placed at once,
/// they fill the pools with runs that have not begun, while what is placed last begins first as
/// often as not.
#[derive(Clone, Copy, Debug, Default)]
pub struct StartBound {
    /// Runs begun in the last intervals. The busiest one counts: a bound that followed the latest
    /// would shrink further with each interval that it made poorer.
    recent: [u64; 4],
    counted: u64,
    since_ms: u64,
}

impl StartBound {
    /// Records how many runs have begun in this term.
    pub fn record_begun(&mut self, begun: u64, now: u64) {
        let period_ms = now.saturating_sub(self.since_ms);
        if period_ms < BEGIN_INTERVAL_MS {
            return;
        }
        let new = begun.saturating_sub(self.counted);
        self.recent.rotate_right(1);
        self.recent[0] = new * BEGIN_INTERVAL_MS / period_ms;
        (self.counted, self.since_ms) = (begun, now);
    }

    /// Most starts that may be on their way while the loop is this late; `None` for no limit.
    pub fn open_max(&self, loop_delay_ms: u64) -> Option<usize> {
        let busiest = self.recent.iter().copied().max().unwrap_or(0);
        let most = busiest * START_TIME_MAX_MS / BEGIN_INTERVAL_MS;
        (loop_delay_ms > 0)
            .then(|| usize::try_from(most.max(OPEN_STARTS_MIN)).unwrap_or(usize::MAX))
    }
}
