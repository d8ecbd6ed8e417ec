//! How many tasks a leader brings forward in a second: those that begin for the first time.
//!
//! Guards against admission by what begins. A task of which an earlier run had begun is owed a start again,
//! so that its begin lessens nothing that was owed before; a leader that begins the same tasks again and
//! again would seem fast.

/// Length of the intervals in which begins are counted, in milliseconds.
const INTERVAL_MS: u64 = 250;
/// Numbers of whole intervals of which the mean is taken: half a second, one and two. The highest counts,
/// since the work may just have come.
const MEANS: [usize; 3] = [2, 4, 8];
/// Intervals that are kept, the current one among them.
const INTERVALS: usize = 9;

/// Counts the first begins of the last seconds.
#[derive(Clone, Debug, Default)]
pub struct ProgressMeter {
    /// Number of the current interval.
    current: u64,
    /// First begins of the last intervals, the current one first.
    recent: [u64; INTERVALS],
    /// The highest rate so far.
    best: u64,
}

impl ProgressMeter {
    /// Goes by the rate of a predecessor until this leader has one of its own.
    pub fn inherit(&mut self, rate: u64, now: u64) {
        self.advance(now);
        self.recent[1..].fill(rate.div_ceil(1_000 / INTERVAL_MS));
    }

    /// Records that a task has begun for the first time.
    pub fn record_begin(&mut self, now: u64) {
        self.advance(now);
        self.recent[0] += 1;
    }

    /// Ends the intervals before this time.
    pub fn advance(&mut self, now: u64) {
        let number = now / INTERVAL_MS;
        let passed = usize::try_from(number.saturating_sub(self.current)).unwrap_or(INTERVALS);
        for _ in 0..passed.min(INTERVALS) {
            self.recent.rotate_right(1);
            self.recent[0] = 0;
            self.best = self.best.max(self.rate());
        }
        self.current = self.current.max(number);
    }

    /// Tasks that begin for the first time in a second.
    pub fn rate(&self) -> u64 {
        let mean = |intervals: usize| -> u64 {
            let begun: u64 = self.recent[1..=intervals].iter().sum();
            begun * 1_000 / (INTERVAL_MS * u64::try_from(intervals).unwrap_or(1))
        };
        MEANS.into_iter().map(mean).max().unwrap_or(0)
    }

    /// The highest rate so far: a leader whose starts are in time can begin as many at least.
    pub fn best_rate(&self) -> u64 {
        self.best
    }
}
