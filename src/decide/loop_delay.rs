//! How late a loop wakes, which shows whether its entry is short of processor.
//!
//! A loop that asks for a pause wakes at the end of it while the processor has time to spare. A
//! single stall says little: the entry may have been frozen, or may have handled one large answer.
//! So a delay counts once it has lasted for a whole window and is still there.

use std::time::Duration;

/// Length of the windows over which delays are averaged, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Delays of a loop's wake-ups in the current window and in the one before.
#[derive(Clone, Debug, Default)]
pub struct LoopDelay {
    begun_ms: u64,
    sum_ms: u64,
    wakes: u64,
    /// Mean delay in the window before, in milliseconds.
    previous_ms: u64,
}

impl LoopDelay {
    /// Records that the loop woke this much later than it had asked for.
    pub fn record_wake(&mut self, late: Duration, now: u64) {
        let age_ms = now.saturating_sub(self.begun_ms);
        if age_ms >= WINDOW_MS {
            let is_next = age_ms < 2 * WINDOW_MS;
            self.previous_ms = if is_next { self.mean_ms() } else { 0 };
            (self.begun_ms, self.sum_ms, self.wakes) = (now, 0, 0);
        }
        self.sum_ms = self.sum_ms.saturating_add(crate::clock::millis(late));
        self.wakes += 1;
    }

    /// Mean delay that the loop has had for at least a window, in milliseconds: the lower one of
    /// the current and the previous window.
    pub fn sustained_ms(&self) -> u64 {
        self.previous_ms.min(self.mean_ms())
    }

    fn mean_ms(&self) -> u64 {
        self.sum_ms.checked_div(self.wakes).unwrap_or(0)
    }
}
