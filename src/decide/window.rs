//! How many commands may be under way at a time, by how long their answers take.
//!
//! The load that this answers: a burst asks for hundreds of starts a second, and this entry's link or
//! processor carries fewer. Sent all at once they stand in the buffers of sockets. Renewals behind them
//! reach their workers when the leases are over, answers come when they were given up, and the repeats
//! make the line longer. Held back here, the most urgent goes first, and what is not wanted any more is
//! never sent.
//!
//! The window follows the delay of answers, as TCP Vegas does: it grows while they come about as fast as
//! they ever do, and shrinks while they wait in a line. Losses alone would tell too late, since each
//! has cost a time limit by then.

/// Delay beyond the shortest one from which answers are taken to wait in a line, in microseconds: longer
/// than a busy process on half a core or less is late by itself, a third of the 450 ms for which a command
/// is waited for.
const QUEUE_DELAY_MAX_US: u64 = 150_000;
/// Delay beyond the shortest one that a busy process shows without any line, in microseconds: it is no reason to
/// make commits and renewals fewer, which every step of a job waits for.
const OWN_DELAY_US: u64 = 60_000;
/// Time after which the last answers say nothing of the line any more, in milliseconds: while other entries
/// carry out all starts there are none.
const ANSWER_AGE_MAX_MS: u64 = 2_000;
/// Part of the smoothed delay that one answer counts, as in RFC 6298.
const DELAY_SMOOTHING: u64 = 8;
/// Commands that may be under way at the start, and least; each worker has one at a time. A window that
/// begins narrow would hold a burst back on any link until it has opened.
const SIZE_START: u64 = 128;
const SIZE_MIN: u64 = 4;
/// Most commands under way: more than there are workers at any size that the project is made for.
const SIZE_MAX: u64 = 2_048;
/// Least time between two cuts, in milliseconds: the answers to what was sent before one come first.
const CUT_INTERVAL_MS: u64 = 100;
/// What a cut leaves, in percent.
const CUT_PERCENT: u64 = 75;
/// Time for which the shortest delay counts, in milliseconds: workers and ways change.
const MIN_DELAY_AGE_MS: u64 = 20_000;
/// Ends of commands by which it is told whether those without an answer are the rule: they are where the line
/// is longer than any command is waited for. A dead rack's are not, and would close the window for all others.
const OUTCOMES_KEPT: u32 = 16;
/// Unit of the window's size: it grows by parts of a command.
const MILLI: u64 = 1_000;

/// A window over commands under way.
#[derive(Clone, Debug)]
pub struct CommandWindow {
    size_milli: u64,
    is_slow_start: bool,
    smoothed_us: u64,
    min_delay_us: u64,
    next_min_delay_us: u64,
    min_delay_since_ms: u64,
    cut_ms: u64,
    answered_ms: u64,
    /// Last ends, a bit each: set for one without an answer.
    unanswered: u16,
}

impl Default for CommandWindow {
    fn default() -> CommandWindow {
        CommandWindow {
            size_milli: SIZE_START * MILLI,
            is_slow_start: true,
            smoothed_us: 0,
            min_delay_us: u64::MAX,
            next_min_delay_us: u64::MAX,
            min_delay_since_ms: 0,
            cut_ms: 0,
            answered_ms: 0,
            unanswered: 0,
        }
    }
}

impl CommandWindow {
    /// Commands that may be under way.
    pub fn size(&self) -> usize {
        usize::try_from(self.size_milli / MILLI).unwrap_or(usize::MAX)
    }

    /// Time that answers wait in a line of ours, in milliseconds: the smoothed delay less the shortest, and less
    /// what the process is late by itself.
    pub fn queue_delay_ms(&self, now: u64) -> u64 {
        if now >= self.answered_ms + ANSWER_AGE_MAX_MS {
            return 0;
        }
        self.smoothed_us.saturating_sub(self.min_delay_us).saturating_sub(OWN_DELAY_US) / 1_000
    }

    /// A command was answered after `delay_us` microseconds, or given up after that time. `is_full` tells
    /// whether others wait for it: a window that is not used says nothing about what would fit.
    pub fn record_end(&mut self, delay_us: u64, is_answered: bool, is_full: bool, now: u64) {
        self.unanswered = self.unanswered << 1 | u16::from(!is_answered);
        if !is_answered && self.unanswered.count_ones() * 2 <= OUTCOMES_KEPT {
            return;
        }
        self.record_delay(delay_us, now);
        if self.smoothed_us.saturating_sub(self.min_delay_us) > QUEUE_DELAY_MAX_US {
            self.cut(now);
        } else if is_full {
            self.grow();
        }
    }

    fn record_delay(&mut self, delay_us: u64, now: u64) {
        self.answered_ms = now;
        if now >= self.min_delay_since_ms + MIN_DELAY_AGE_MS {
            self.min_delay_us = self.next_min_delay_us;
            self.next_min_delay_us = u64::MAX;
            self.min_delay_since_ms = now;
        }
        self.min_delay_us = self.min_delay_us.min(delay_us);
        self.next_min_delay_us = self.next_min_delay_us.min(delay_us);
        self.smoothed_us = match self.smoothed_us {
            0 => delay_us,
            smoothed => (smoothed * (DELAY_SMOOTHING - 1) + delay_us) / DELAY_SMOOTHING,
        };
    }

    fn cut(&mut self, now: u64) {
        if now < self.cut_ms + CUT_INTERVAL_MS {
            return;
        }
        self.cut_ms = now;
        self.is_slow_start = false;
        self.size_milli = (self.size_milli * CUT_PERCENT / 100).max(SIZE_MIN * MILLI);
    }

    fn grow(&mut self) {
        // Before the first cut it doubles in the time of an answer, afterwards it grows by one.
        let step = if self.is_slow_start { MILLI } else { MILLI * MILLI / self.size_milli };
        self.size_milli = (self.size_milli + step).min(SIZE_MAX * MILLI);
    }
}

/// Time for which bytes that were not spent may be spent at once, in milliseconds.
const BURST_MS: u64 = 300;
/// Bytes in a millisecond at 1 Mbit/s.
const BYTES_PER_MS: u64 = 125;

/// Bytes that may be sent, by a rate: a token bucket.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    bytes_per_ms: u64,
    left: u64,
    debt: u64,
    filled_ms: u64,
}

impl ByteBudget {
    /// A budget of so many Mbit/s; under one of these, none at all.
    pub fn with_rate(mbits: u64) -> ByteBudget {
        let bytes_per_ms = mbits * BYTES_PER_MS;
        ByteBudget { bytes_per_ms, left: 0, debt: 0, filled_ms: 0 }
    }

    /// Whether anything is left.
    pub fn has_capacity(&mut self, now: u64) -> bool {
        let since = now.saturating_sub(self.filled_ms).min(BURST_MS);
        self.filled_ms = now;
        let filled = self.bytes_per_ms * since;
        let paid = filled.min(self.debt);
        self.debt -= paid;
        self.left = (self.left + filled - paid).min(self.bytes_per_ms * BURST_MS);
        self.left > 0
    }

    /// Spends bytes, also beyond what is left: that is made up for first.
    pub fn charge(&mut self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.debt += bytes.saturating_sub(self.left);
        self.left = self.left.saturating_sub(bytes);
    }
}
