//! How late a loop wakes, which shows whether its entry is short of processor.
//!
//! A loop that asks for a pause wakes at the end of it while the processor has time to spare. A
//! single stall says little: the entry may have been frozen, or may have handled one large answer.
//! So a delay counts once it has lasted for two whole windows.

use std::time::Duration;

/// Length of the windows over which delays are averaged, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Delays of a loop's wake-ups in the current window, and their means in the two before.
#[derive(Clone, Debug, Default)]
pub struct LoopDelay {
    begun_ms: u64,
    sum_ms: u64,
    wakes: u64,
    /// Mean delays in the last two whole windows, in milliseconds.
    means_ms: [u64; 2],
}

impl LoopDelay {
    /// Records that the loop woke this much later than it had asked for.
    pub fn record_wake(&mut self, late: Duration, now: u64) {
        if now >= self.begun_ms + WINDOW_MS {
            let mean_ms = self.sum_ms.checked_div(self.wakes).unwrap_or(0);
            self.means_ms = [self.means_ms[1], mean_ms];
            (self.begun_ms, self.sum_ms, self.wakes) = (now, 0, 0);
        }
        self.sum_ms = self.sum_ms.saturating_add(crate::clock::millis(late));
        self.wakes += 1;
    }

    /// Mean delay that the loop has had for two windows, in milliseconds: the lower one of the two.
    pub fn sustained_ms(&self) -> u64 {
        self.means_ms[0].min(self.means_ms[1])
    }
}
