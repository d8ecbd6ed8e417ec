//! How many tasks a leader begins, and how long that takes from their placement.
//!
//! Guards against a leader that takes in more than it can bring about. What holds it up differs: its
//! processor, the entries that send starts for it, the log. All of them show in the time from the
//! placement of a task until its worker has begun it, while the lateness of the leader's loop shows
//! only a part: a loop that spends its time in long rounds wakes in time after each.
//!
//! While starts are slow, no more of them are on their way than begin in half a second, beside those that
//! wait for the log (Little's law): a placed task holds capacity of its worker, and more starts on their
//! way make none of them faster.

/// Time in which a placed task is to begin, in milliseconds. Callers accept that nothing of a job runs
/// for three seconds; half of them may pass before its turn.
pub const START_TIME_MAX_MS: u64 = 1_000;
/// Time from placement to begin from which a start is slow, in milliseconds: what waits then takes up
/// half of that time before anything goes wrong.
pub const SLOW_START_MS: u64 = START_TIME_MAX_MS / 2;
/// Time that starts may take to begin at the measured rate once they are on the log, in milliseconds: as
/// long as they are not slow. Those placed ahead of the order wait behind all of them.
const OPEN_TIME_MAX_MS: u64 = SLOW_START_MS;
/// Starts that may always be on their way, so that there is something to measure.
const OPEN_STARTS_MIN: u64 = 16;

/// Length of the intervals in which begins are counted, in milliseconds, and their number.
const INTERVAL_MS: u64 = 250;
const INTERVALS: usize = 16;
/// Intervals in a second.
const PER_SECOND: usize = 4;
/// Whole intervals, beside the current one, of whose starts half must be slow.
const RECENT: usize = 2;
/// Intervals for which the rate of slow starts is of use: half a minute, in which several bursts come.
const SHORT_INTERVALS: u64 = 120;
/// Growth of the limit in each interval in which it was reached and nothing has begun for a second, in
/// percent: the starts on their way wait for something else, and must not hold up all others.
const GROWTH_PERCENT: u64 = 150;

/// Begins within one interval.
#[derive(Clone, Copy, Debug, Default)]
struct BeginCount {
    begun: u64,
    slow: u64,
    /// Starts whose runs came to the log, and the time that they had waited for it, in milliseconds.
    logged: u64,
    log_ms: u64,
}

/// Measures the begins of the last seconds, and limits the starts on their way.
#[derive(Clone, Debug, Default)]
pub struct StartMeter {
    /// Number of the current interval.
    current: u64,
    /// Begins of the last intervals, the current one first.
    recent: [BeginCount; INTERVALS],
    /// Most starts that may be on their way.
    limit: Option<u64>,
    /// Number of the interval in which the limit was last reached.
    reached: u64,
    /// Whether a task has begun under this leader.
    has_begun: bool,
    /// Whether most of the starts on their way are late by now.
    is_open_late: bool,
    /// Rate that lasted while tasks waited for the limit, and the number of the last such interval.
    short: Option<(u64, u64)>,
}

impl StartMeter {
    /// Goes by the rate of a predecessor whose starts were slow, until this leader has one of its own.
    pub fn inherit(&mut self, rate: u64, now: u64) {
        self.advance(now);
        let begun = rate.div_ceil(1_000 / INTERVAL_MS);
        self.recent[1..=2 * PER_SECOND].fill(BeginCount {
            begun,
            slow: begun,
            ..BeginCount::default()
        });
        self.limit = Some(self.open_at(rate));
    }

    /// Remembers the rate of a predecessor whose starts were slow a short time ago.
    pub fn inherit_short(&mut self, rate: u64, now: u64) {
        self.advance(now);
        self.short = Some((rate, self.current));
    }

    /// Records that a task has begun this long after its placement, in milliseconds.
    pub fn record_begin(&mut self, wait_ms: u64, now: u64) {
        self.advance(now);
        self.has_begun = true;
        self.recent[0].begun += 1;
        self.recent[0].slow += u64::from(wait_ms >= SLOW_START_MS);
    }

    /// Records that a run came to the log this long after its placement, in milliseconds: its start may
    /// be sent.
    pub fn record_logged(&mut self, wait_ms: u64, now: u64) {
        self.advance(now);
        self.recent[0].logged += 1;
        self.recent[0].log_ms += wait_ms;
    }

    /// Records how many starts are on their way, and how many of them were placed at least
    /// [`SLOW_START_MS`] ago. They tell of a hold-up before any of them has begun.
    pub fn record_open(&mut self, late: usize, open: usize) {
        let has_enough = u64::try_from(late).is_ok_and(|late| late >= OPEN_STARTS_MIN);
        self.is_open_late = has_enough && late * 2 >= open;
    }

    /// Records that a task could be placed and waits for the limit.
    pub fn record_limited(&mut self, now: u64) {
        self.reached = self.reached.max(now / INTERVAL_MS);
    }

    /// Ends the intervals before this time, and adapts the limit.
    pub fn advance(&mut self, now: u64) {
        let number = now / INTERVAL_MS;
        if number <= self.current {
            return;
        }
        self.adapt_limit();
        let passed = usize::try_from(number - self.current).unwrap_or(INTERVALS);
        for _ in 0..passed.min(INTERVALS) {
            self.recent.rotate_right(1);
            self.recent[0] = BeginCount::default();
        }
        self.current = number;
    }

    fn adapt_limit(&mut self) {
        let most = self.open_at(self.best_second().max(self.lasting_rate()));
        if self.is_slow() {
            self.limit = Some(most);
            self.note_short_rate();
        } else if self.reached >= self.current {
            let grown = |limit: u64| match self.has_begun_lately() {
                true => limit.max(most),
                false => limit * GROWTH_PERCENT / 100,
            };
            self.limit = self.limit.map(grown);
            if self.limit.is_some() {
                self.note_short_rate();
            }
        } else if self.current > self.reached + u64::try_from(PER_SECOND).unwrap_or(0) {
            self.limit = None;
        }
    }

    /// Notes what begins in a second while tasks wait for the limit: otherwise little may have come. The
    /// best of such rates counts for as long as they are of use.
    fn note_short_rate(&mut self) {
        if !self.has_begun || self.reached < self.current {
            return;
        }
        let rate = self.lasting_rate().max(self.short_rate().unwrap_or(0));
        self.short = Some((rate, self.current));
    }

    /// Tasks begun in a second, in the mean of up to two seconds until now: the rate that lasts. Shorter
    /// means count where they are higher, since the work may just have come.
    pub fn lasting_rate(&self) -> u64 {
        let mean = |intervals: usize| -> u64 {
            let begun: u64 = self.recent[1..=intervals].iter().map(|count| count.begun).sum();
            begun * 1_000 / (INTERVAL_MS * u64::try_from(intervals).unwrap_or(1))
        };
        [RECENT, PER_SECOND, 2 * PER_SECOND].into_iter().map(mean).max().unwrap_or(0)
    }

    /// The rate that lasted while tasks waited for the limit, if that was a short time ago.
    pub fn short_rate(&self) -> Option<u64> {
        let (rate, number) = self.short?;
        (self.current <= number + SHORT_INTERVALS && rate > 0).then_some(rate)
    }

    /// Most starts that may be on their way; `None` while they are not slow.
    pub fn open_max(&self) -> Option<usize> {
        self.limit.map(|limit| usize::try_from(limit).unwrap_or(usize::MAX))
    }

    /// Whether half of the tasks that began lately were slow to begin, or half of the starts on their way
    /// are late.
    fn is_slow(&self) -> bool {
        let recent = &self.recent[..=RECENT];
        let (begun, slow) = recent
            .iter()
            .fold((0, 0), |(begun, slow), count| (begun + count.begun, slow + count.slow));
        self.is_open_late || slow > 0 && slow * 2 >= begun
    }

    /// Whether a task has begun in about the last second.
    fn has_begun_lately(&self) -> bool {
        self.recent[..=PER_SECOND].iter().any(|count| count.begun > 0)
    }

    /// Most begins within a second. A limit that followed the latest second would shrink further with
    /// each one that it made poorer.
    fn best_second(&self) -> u64 {
        let begun = |second: &[BeginCount]| second.iter().map(|count| count.begun).sum::<u64>();
        self.recent.windows(PER_SECOND).map(begun).max().unwrap_or(0)
    }

    /// Starts that may be on their way at a rate of begins in a second.
    fn open_at(&self, rate: u64) -> u64 {
        let time_ms = OPEN_TIME_MAX_MS + self.log_wait_ms().min(START_TIME_MAX_MS);
        (rate * time_ms / 1_000).max(OPEN_STARTS_MIN)
    }

    /// Mean time that starts have waited for the log in about the last second, in milliseconds.
    fn log_wait_ms(&self) -> u64 {
        let recent = &self.recent[..=PER_SECOND];
        let log_ms: u64 = recent.iter().map(|count| count.log_ms).sum();
        log_ms.checked_div(recent.iter().map(|count| count.logged).sum()).unwrap_or(0)
    }
}
