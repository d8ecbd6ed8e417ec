//! How many tasks a leader begins, and how many starts may wait for it.
//!
//! Guards against a leader that takes in more than it can bring about: a placed task holds capacity of
//! its worker, and more starts on their way make none of them faster. What holds a leader up differs: its
//! processor, the entries that send starts for it, the log. The lateness of its loop shows only a part: a
//! loop that spends its time in long rounds wakes in time after each.
//!
//! The time that a start takes does not tell either. Much of it may be spent on links and at executors that
//! share a processor, however few starts there are. A limit of what begins in half a second would then make
//! fewer begin, by the same factor again and again (Little's law: the rate is the starts on their way by
//! the time that each takes). So starts are counted where they are:
//!
//! * Those that the log has and that were not handed out are the leader's queue. No more of them wait, beside
//!   those that wait for the log, than are handed out in half a second, or from one round of placement to
//!   the next.
//! * Those that were handed out are on their path. They are bounded by what the path takes without a queue
//!   and half a second, as executors and the leader itself may be the queue.
//!
//! What the path takes without a queue can't be seen while one stands. It is the least that was seen, in the
//! mean of a second, and it is probed: while tasks wait for this limit it is raised for a while. If more begin
//! then, what the path took before was no queue.

use std::collections::VecDeque;

/// Time in which a placed task is to begin, in milliseconds. Callers accept that nothing of a job runs
/// for three seconds; half of them may pass before its turn.
pub const START_TIME_MAX_MS: u64 = 1_000;
/// Time from the log until a start is handed out from which the leader is slow, in milliseconds: what
/// waits then takes up half of that time before anything goes wrong.
pub const SLOW_QUEUE_MS: u64 = START_TIME_MAX_MS / 2;
/// Time from handing a start out until it begins from which any path is slow, in milliseconds: paths take up
/// to a second without a queue, and the limit must leave them room to grow.
pub const SLOW_PATH_MS: u64 = START_TIME_MAX_MS * 3 / 2;
/// Longest time that a path takes without a queue, in milliseconds.
const PATH_TIME_MAX_MS: u64 = START_TIME_MAX_MS;
/// Mean time on the path from which some of it is a queue, in milliseconds: no path takes as long in the mean.
const LONG_PATH_MS: u64 = PATH_TIME_MAX_MS * 11 / 10;
/// Begins in a second from which their mean tells what the path takes.
const PATH_BEGINS_MIN: u64 = 8;
/// Length of a probe in intervals: a path of a second, and a second in which what begins is counted.
const PROBE_INTERVALS: u64 = 10;
/// Shortest and longest pause between two probes, in intervals; each that shows a queue doubles it.
const PROBE_PAUSE_MIN: u64 = 8;
const PROBE_PAUSE_MAX: u64 = 16;
/// Growth of what begins that shows a path without a queue, in percent.
const PROBE_GROWTH_PERCENT: u64 = 110;
/// Share of the best second from which on what begins falls by the limit, and is probed at once, in percent.
const PROBE_FALL_PERCENT: u64 = 75;
/// Longest time for which the queue is to last, in milliseconds, beside what waits for the log.
const QUEUE_TIME_MAX_MS: u64 = START_TIME_MAX_MS;
/// Starts that may always be on their way, so that there is something to measure.
const OPEN_STARTS_MIN: u64 = 16;

/// Length of the intervals in which begins are counted, in milliseconds, and their number.
const INTERVAL_MS: u64 = 250;
const INTERVALS: usize = 16;
/// Intervals in a second.
const PER_SECOND: usize = 4;
/// Whole intervals, beside the current one, of whose starts half must be slow.
const RECENT: usize = 2;
/// Intervals in a second, and those after which what was handed out is a rate.
const SECOND_INTERVALS: u64 = 1_000 / INTERVAL_MS;
const RATE_INTERVALS: u64 = SECOND_INTERVALS / 2;
/// Intervals for which the rate of slow starts is of use: half a minute, in which several bursts come.
const SHORT_INTERVALS: u64 = 120;
/// Intervals in whose mean that rate is taken: as many of them as came last.
const SHORT_MEAN_INTERVALS: u64 = 40;
/// Intervals from which on a while without begins is a stall.
const STALL_INTERVALS: u64 = 2 * SECOND_INTERVALS;
/// Mean time until a start is handed out from which the leader holds it up, in milliseconds. Where starts
/// leave at once, their rate is that of what has come.
const HELD_UP_MS: u64 = SLOW_QUEUE_MS / 5;
/// Growth of a limit in each interval in which it was reached although starts leave at once, or nothing that the
/// log has was handed out for a second, in percent: the starts on their way wait for something else, and must
/// not hold up all others.
const GROWTH_PERCENT: u64 = 150;
/// Most times that a limit grows while nothing is handed out.
const PAUSE_GROWTH: u64 = 4;

/// Starts that passed a stage within one interval.
#[derive(Clone, Copy, Debug, Default)]
struct StageCount {
    passed: u64,
    /// Those of them that were slow.
    slow: u64,
    /// Time that they took, in milliseconds.
    ms: u64,
}

impl StageCount {
    fn record(&mut self, wait_ms: u64, slow_ms: u64) {
        self.passed += 1;
        self.slow += u64::from(wait_ms >= slow_ms);
        self.ms += wait_ms;
    }

    fn plus(self, other: StageCount) -> StageCount {
        StageCount {
            passed: self.passed + other.passed,
            slow: self.slow + other.slow,
            ms: self.ms + other.ms,
        }
    }

    fn mean_ms(self) -> Option<u64> {
        self.ms.checked_div(self.passed)
    }

    /// Whether half of them were slow.
    fn is_slow(self) -> bool {
        self.slow > 0 && self.slow * 2 >= self.passed
    }
}

/// Starts within one interval.
#[derive(Clone, Copy, Debug, Default)]
struct StartCount {
    /// Those whose runs came to the log.
    logged: StageCount,
    /// Those that were handed out.
    sent: StageCount,
    /// Those that were handed out and then began.
    begun: StageCount,
    /// Those that began, by the whole time since their placement.
    whole: StageCount,
    /// Those that were handed out and then ended in another way.
    refused: u64,
}

impl StartCount {
    /// Those that were handed out and are on their way no more.
    fn ended(&self) -> u64 {
        self.begun.passed + self.refused
    }
}

/// Starts on their way at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenStarts {
    /// Those that are not handed out, with those that wait for the log.
    pub queued: usize,
    /// Of these, those that the log had [`SLOW_QUEUE_MS`] ago.
    pub queued_late: usize,
    /// Of [`Self::queued`], those that wait for the log.
    pub unlogged: usize,
    /// Those that are handed out.
    pub sent: usize,
    /// Of these, those that were handed out [`SLOW_PATH_MS`] ago.
    pub sent_late: usize,
}

/// Most starts that may be on their way.
#[derive(Clone, Copy, Debug)]
struct StartLimit {
    /// Those that are not handed out.
    queued: u64,
    /// Those that are, once their path was slow.
    sent: Option<u64>,
}

/// A while in which as many starts may be handed out as any path takes. It lasts until they are, or until they
/// take longer than any path: a limit that is not reached shows nothing.
#[derive(Clone, Copy, Debug)]
struct PathProbe {
    /// Number of its first interval.
    number: u64,
    /// Begins in the second before it; `None` once it lasts for longer than they are of use.
    before: Option<StageCount>,
    /// Number of the interval in which the limit was last reached.
    reached: u64,
}

/// What the path of a start takes without a queue.
#[derive(Clone, Debug, Default)]
struct PathTime {
    /// Least mean of a second, in milliseconds, or what a probe has shown.
    least_ms: Option<u64>,
    probe: Option<PathProbe>,
    /// Number of the interval before which no probe begins, and the last pause.
    next: u64,
    pause: u64,
}

impl PathTime {
    /// Takes in the second before interval `number`, the most that has begun in one lately, and whether tasks
    /// waited for the limit in it.
    fn add(&mut self, number: u64, begun: StageCount, best: u64, is_reached: bool) {
        let mean_ms = begun.mean_ms().filter(|_| begun.passed >= PATH_BEGINS_MIN);
        if let Some(mean_ms) = mean_ms.map(|mean_ms| mean_ms.min(PATH_TIME_MAX_MS)) {
            self.least_ms = Some(self.least_ms.map_or(mean_ms, |least_ms| least_ms.min(mean_ms)));
        }
        if let Some(probe) = &mut self.probe {
            if is_reached {
                probe.reached = number;
            }
            if number < probe.number + PROBE_INTERVALS {
                return;
            }
            let is_filled = number < probe.reached + SECOND_INTERVALS;
            if is_filled || begun.mean_ms().is_none_or(|mean_ms| mean_ms > LONG_PATH_MS) {
                let before = probe.before;
                self.end_probe(before, begun.passed, number);
            } else {
                probe.before = None;
            }
        } else if is_reached
            && (number >= self.next || begun.passed * 100 < best * PROBE_FALL_PERCENT)
            && begun.passed >= PATH_BEGINS_MIN
        {
            self.probe = Some(PathProbe { number, before: Some(begun), reached: number });
        }
    }

    /// Ends a probe with what began in its last second.
    fn end_probe(&mut self, before: Option<StageCount>, begun: u64, number: u64) {
        self.probe = None;
        let has_grown = |before: StageCount, percent: u64| begun * 100 >= before.passed * percent;
        if before.is_some_and(|before| !has_grown(before, PROBE_FALL_PERCENT)) {
            // More starts on their way make no fewer begin: something else has changed.
            self.next = number;
            return;
        }
        let shown = before.filter(|before| has_grown(*before, PROBE_GROWTH_PERCENT));
        self.pause = if let Some(path_ms) = shown.and_then(StageCount::mean_ms) {
            self.least_ms = Some(path_ms.min(PATH_TIME_MAX_MS));
            PROBE_PAUSE_MIN
        } else {
            (self.pause * 2).clamp(PROBE_PAUSE_MIN, PROBE_PAUSE_MAX)
        };
        self.next = number + self.pause;
    }

    /// Time on the path from which a start is slow, in milliseconds.
    fn slow_ms(&self) -> u64 {
        self.least_ms.map_or(SLOW_PATH_MS, |least_ms| least_ms + SLOW_QUEUE_MS)
    }

    /// Time on the path that the limit allows, in milliseconds.
    fn allowed_ms(&self) -> u64 {
        if self.probe.is_some() { SLOW_PATH_MS } else { self.slow_ms() }
    }
}

/// Begins within some intervals in which tasks waited for the limit.
#[derive(Clone, Copy, Debug, Default)]
struct ShortSpan {
    /// Number of the last interval.
    number: u64,
    intervals: u64,
    begun: u64,
}

/// What a leader began while it was short of starts.
#[derive(Clone, Debug, Default)]
struct ShortRecord {
    spans: VecDeque<ShortSpan>,
    /// What has passed since the last span. It belongs to the next one if that comes within a second: rounds
    /// of placement may be further apart than intervals.
    since: ShortSpan,
}

impl ShortRecord {
    /// Adds an interval, and whether tasks waited for the limit in it.
    fn add(&mut self, number: u64, begun: u64, is_short: bool) {
        if begun > 0 {
            self.drop_stall();
        }
        self.since.intervals += 1;
        self.since.begun += begun;
        if is_short {
            self.push(ShortSpan { number, ..self.since });
        }
        let last = self.spans.back().map(|span| span.number);
        if is_short || last.is_none_or(|last| number >= last + SECOND_INTERVALS) {
            self.since = ShortSpan::default();
        }
    }

    /// Drops the last spans if nothing has begun in them for longer than between two rounds of placement: once
    /// tasks begin again, a stall tells nothing of how many do.
    fn drop_stall(&mut self) {
        let idle = self.spans.iter().rev().take_while(|span| span.begun == 0);
        let (count, intervals) = idle.fold((0, self.since.intervals), |(count, sum), span| {
            (count + 1, sum + span.intervals)
        });
        if self.since.begun == 0 && intervals >= STALL_INTERVALS {
            self.spans.truncate(self.spans.len() - count);
            self.since = ShortSpan::default();
        }
    }

    fn push(&mut self, span: ShortSpan) {
        self.spans.push_back(span);
        let mut intervals: u64 = self.spans.iter().map(|span| span.intervals).sum();
        while intervals > SHORT_MEAN_INTERVALS
            && let Some(oldest) = self.spans.pop_front()
        {
            intervals -= oldest.intervals;
        }
    }

    /// Tasks begun in a second, in the mean of those that are of use in interval `current`. Nothing is the worst
    /// rate, not an unknown one.
    fn rate(&self, current: u64) -> Option<u64> {
        let recent = self.spans.iter().filter(|span| current <= span.number + SHORT_INTERVALS);
        let (begun, intervals) = recent.fold((0, 0), |(begun, intervals), span| {
            (begun + span.begun, intervals + span.intervals)
        });
        (begun * 1_000).checked_div(intervals * INTERVAL_MS)
    }
}

/// Measures the starts of the last seconds, and limits those on their way.
#[derive(Clone, Debug, Default)]
pub struct StartMeter {
    /// Number of the current interval.
    current: u64,
    /// Starts of the last intervals, the current one first.
    recent: [StartCount; INTERVALS],
    limit: Option<StartLimit>,
    /// Number of the interval in which the limit was last reached.
    reached: u64,
    path: PathTime,
    /// Whether a task has begun under this leader.
    has_begun: bool,
    /// Starts that are handed out by now.
    open_sent: u64,
    /// Mean time that starts last waited for the log, in milliseconds.
    last_log_wait_ms: u64,
    /// Whether starts wait for the log by now.
    is_log_due: bool,
    /// Most that were within the current interval.
    most_sent: u64,
    /// Whether most of the starts that wait to be handed out are late by now.
    is_queue_late: bool,
    /// Whether most of those that were handed out are.
    is_sent_late: bool,
    /// Limit on what waits of the time at which starts ceased to be handed out, until their rate is known.
    paused_at: Option<u64>,
    /// Number of the interval in which starts were handed out again.
    resumed: u64,
    /// Number of the interval in which starts that were handed out ended again.
    ended: u64,
    /// When the last round of placement was held up by the limit, in milliseconds.
    limited_ms: Option<u64>,
    /// Time until the round after it, in milliseconds.
    round_ms: u64,
    short: ShortRecord,
}

impl StartMeter {
    /// Goes by the rate of a predecessor whose starts were slow, until this leader has one of its own.
    pub fn inherit(&mut self, rate: u64, now: u64) {
        self.advance(now);
        let begun = rate.div_ceil(1_000 / INTERVAL_MS);
        let slow = StageCount { passed: begun, slow: begun, ms: begun * SLOW_QUEUE_MS };
        self.recent[1..=2 * PER_SECOND].fill(StartCount {
            sent: slow,
            begun: slow,
            ..StartCount::default()
        });
        self.limit = Some(self.measured_limit());
    }

    /// Remembers the rate of a predecessor whose starts were slow a short time ago.
    pub fn inherit_short(&mut self, rate: u64, now: u64) {
        self.advance(now);
        let (intervals, begun) = (STALL_INTERVALS, rate * STALL_INTERVALS / SECOND_INTERVALS);
        self.short.push(ShortSpan { number: self.current, intervals, begun });
    }

    /// Records that a run came to the log this long after its placement, in milliseconds: its start may
    /// be handed out.
    pub fn record_logged(&mut self, wait_ms: u64, now: u64) {
        self.advance(now);
        self.recent[0].logged.record(wait_ms, START_TIME_MAX_MS);
    }

    /// Records that a start was handed out this long after the log had its run, in milliseconds.
    pub fn record_sent(&mut self, wait_ms: u64, now: u64) {
        self.advance(now);
        self.recent[0].sent.record(wait_ms, SLOW_QUEUE_MS);
    }

    /// Records that a start that was handed out came back, since nobody could carry it out.
    pub fn record_returned(&mut self, now: u64) {
        self.advance(now);
        let sent = &mut self.recent[0].sent;
        sent.ms -= sent.mean_ms().unwrap_or(0);
        sent.passed = sent.passed.saturating_sub(1);
        sent.slow = sent.slow.min(sent.passed);
    }

    /// Records that a task has begun this long after its start was handed out, in milliseconds.
    pub fn record_begin(&mut self, wait_ms: u64, now: u64) {
        self.advance(now);
        self.has_begun = true;
        self.recent[0].begun.record(wait_ms, self.path.slow_ms());
    }

    /// Records that a task has begun this long after its placement, in milliseconds: no stage may be slow,
    /// and all of them together.
    pub fn record_whole(&mut self, wait_ms: u64, now: u64) {
        self.advance(now);
        self.recent[0].whole.record(wait_ms, SLOW_PATH_MS);
    }

    /// Records that a start that was handed out has ended without a begin.
    pub fn record_refused(&mut self, now: u64) {
        self.advance(now);
        self.recent[0].refused += 1;
    }

    /// Records the starts on their way. They tell of a hold-up before any of them has begun.
    pub fn record_open(&mut self, open: &OpenStarts) {
        let is_late = |late: usize, all: usize| {
            u64::try_from(late).is_ok_and(|late| late >= OPEN_STARTS_MIN) && late * 2 >= all
        };
        self.open_sent = u64::try_from(open.sent).unwrap_or(u64::MAX);
        self.is_log_due = open.unlogged > 0;
        self.most_sent = self.most_sent.max(self.open_sent);
        self.is_queue_late = is_late(open.queued_late, open.queued);
        self.is_sent_late = is_late(open.sent_late, open.sent);
    }

    /// Records that a round of placement begins.
    pub fn record_round(&mut self, now: u64) {
        if let Some(limited_ms) = self.limited_ms.take() {
            let round_ms = now.saturating_sub(limited_ms).min(QUEUE_TIME_MAX_MS);
            // Of rounds that differ, the queue is to last for the longest of the last few.
            self.round_ms = round_ms.max(self.round_ms * 7 / 8);
        }
    }

    /// Records that a task could be placed and waits for the limit.
    pub fn record_limited(&mut self, now: u64) {
        self.reached = self.reached.max(now / INTERVAL_MS);
        self.limited_ms = Some(now);
    }

    /// Ends the intervals before this time, and adapts the limit.
    pub fn advance(&mut self, now: u64) {
        let number = now / INTERVAL_MS;
        if number <= self.current {
            return;
        }
        self.last_log_wait_ms = self.logged_lately_ms().unwrap_or(self.last_log_wait_ms);
        let second = self.recent[..PER_SECOND].iter().map(|count| count.begun);
        let second = second.fold(StageCount::default(), StageCount::plus);
        // Of a second in which starts begin again after a pause, a probe would show growth in any case.
        let is_reached = self.was_path_full()
            && self.reached + 1 >= self.current
            && number >= self.ended + SECOND_INTERVALS;
        let best = self.best_rate(|count| count.begun.passed);
        self.path.add(number, second, best, is_reached);
        self.adapt_limit();
        self.note_short_rate(number);
        let passed = usize::try_from(number - self.current).unwrap_or(INTERVALS);
        for _ in 0..passed.min(INTERVALS) {
            self.recent.rotate_right(1);
            self.recent[0] = StartCount::default();
        }
        self.current = number;
        self.most_sent = self.open_sent;
    }

    fn adapt_limit(&mut self) {
        self.note_pause();
        let is_reached = self.reached >= self.current;
        let is_path_slow = self.is_path_slow();
        let is_slow = is_path_slow || self.is_queue_slow();
        // After a pause, what was handed out or ended in a moment is no rate yet.
        let has_rate = !self.is_paused() && self.current >= self.resumed + RATE_INTERVALS;
        let has_end_rate = self.current >= self.ended + RATE_INTERVALS;
        let measured = self.measured_limit();
        let queued = match self.limit.map(|limit| limit.queued) {
            // More starts would wait for the log as all others do, and what it takes is not known.
            Some(queued) if self.is_log_away() => queued,
            // Nothing is handed out since nothing ends.
            Some(queued) if self.is_path_full() && self.is_paused() => queued,
            _ if is_slow && has_rate => measured.queued,
            None if is_slow => measured.queued,
            // Nothing is handed out since nothing is placed.
            Some(queued) if self.is_path_full() => queued.min(measured.queued),
            Some(queued) if is_reached => match self.paused_at {
                Some(most) if self.is_paused() => grown(queued).min(most * PAUSE_GROWTH),
                Some(_) => queued,
                None if !self.is_held_up() => grown(queued),
                None => queued.max(measured.queued),
            },
            Some(queued) if is_slow || self.current <= self.reached + SECOND_INTERVALS => queued,
            _ => {
                self.limit = None;
                return;
            }
        };
        let sent = match self.limit.and_then(|limit| limit.sent) {
            Some(sent) if !has_end_rate => Some(sent),
            None if is_path_slow && measured.sent.is_none() => {
                Some(self.open_sent.max(OPEN_STARTS_MIN))
            }
            _ if is_path_slow => measured.sent,
            // Starts that fill it and begin in time are held up by nothing but the limit.
            Some(sent)
                if is_reached
                    && self.recent[0].begun.passed > 0
                    && self.open_sent.saturating_mul(4) >= sent.saturating_mul(3)
                    && !self.is_path_late() =>
            {
                Some(grown(sent))
            }
            sent => sent.max(measured.sent.filter(|_| sent.is_some())),
        };
        self.limit = Some(StartLimit { queued, sent });
    }

    /// Notes the limit of the time at which starts ceased to be handed out, when they are again, and when they
    /// end again.
    fn note_pause(&mut self) {
        if !self.has_passed_lately(StartCount::ended) {
            self.ended = self.current + 1;
        }
        if self.is_paused() {
            let queued = self.limit.map(|limit| limit.queued);
            self.paused_at = self.paused_at.or(queued);
            self.resumed = self.current + 1;
        } else if self.current >= self.resumed + RATE_INTERVALS {
            self.paused_at = None;
        }
    }

    /// Whether no start was handed out in about the last second.
    fn is_paused(&self) -> bool {
        !self.has_passed_lately(|count| count.sent.passed)
    }

    /// Whether starts wait for the log and none came to it in about the last second.
    fn is_log_away(&self) -> bool {
        self.is_log_due && !self.has_passed_lately(|count| count.logged.passed)
    }

    /// Whether what has begun in this interval was held up in the leader or behind it, or nothing was handed
    /// out.
    fn is_held_up(&self) -> bool {
        let sent_ms = self.recent[0].sent.mean_ms();
        sent_ms.is_none_or(|mean_ms| mean_ms >= HELD_UP_MS) || self.is_path_late()
    }

    /// Whether as many are handed out as may be.
    fn is_path_full(&self) -> bool {
        let sent_max = self.limit.and_then(|limit| limit.sent);
        sent_max.is_some_and(|most| self.open_sent >= most)
    }

    /// Whether as many were at any time of this interval. After a round of placement they become fewer.
    fn was_path_full(&self) -> bool {
        let sent_max = self.limit.and_then(|limit| limit.sent);
        sent_max.is_some_and(|most| self.most_sent >= most)
    }

    /// Whether what has begun in this interval took longer than a path takes.
    fn is_path_late(&self) -> bool {
        let most_ms = self.path.slow_ms().min(PATH_TIME_MAX_MS);
        self.recent[0].begun.mean_ms().is_some_and(|mean_ms| mean_ms > most_ms)
    }

    /// The limit by what was handed out and what ended lately.
    fn measured_limit(&self) -> StartLimit {
        let mut sent_rate = self.best_rate(|count| count.sent.passed);
        let queue_ms = SLOW_QUEUE_MS.max(self.round_ms * 2).min(QUEUE_TIME_MAX_MS);
        let time_ms = queue_ms + self.log_wait_ms();
        let ended = |count: &StartCount| count.begun.passed + count.refused;
        // A backlog that ends at once is no rate.
        let ended_rate = self.has_passed_lately(ended).then(|| self.best_rate(ended));
        // No more can be handed out than ends.
        if let Some(rate) = ended_rate.filter(|_| self.is_path_slow()) {
            sent_rate = sent_rate.min(rate);
        }
        StartLimit {
            queued: (sent_rate * time_ms / 1_000).max(OPEN_STARTS_MIN),
            sent: ended_rate
                .map(|rate| (rate * self.path.allowed_ms() / 1_000).max(OPEN_STARTS_MIN)),
        }
    }

    /// Notes what has begun since the last interval, up to interval `next`, if tasks wait for the limit and the
    /// leader or its executors hold them up: otherwise little may have come.
    fn note_short_rate(&mut self, next: u64) {
        let is_short = self.has_begun
            && self.limit.is_some()
            && self.reached >= self.current
            && self.is_held_up();
        self.short.add(self.current, self.recent[0].begun.passed, is_short);
        // Intervals that passed at once: nothing has begun in them.
        let skipped = (next - self.current - 1).min(SECOND_INTERVALS);
        (0..skipped).for_each(|_| self.short.add(self.current, 0, false));
    }

    /// Tasks begun in a second, in the mean of up to two seconds until now: the rate that lasts. Shorter
    /// means count where they are higher, since the work may just have come.
    pub fn lasting_rate(&self) -> u64 {
        self.lasting_rate_of(|count| count.begun.passed)
    }

    fn lasting_rate_of(&self, passed: impl Fn(&StartCount) -> u64 + Copy) -> u64 {
        let mean = |intervals: usize| -> u64 {
            let passed: u64 = self.recent[1..=intervals].iter().map(passed).sum();
            passed * 1_000 / (INTERVAL_MS * u64::try_from(intervals).unwrap_or(1))
        };
        [RECENT, PER_SECOND, 2 * PER_SECOND].into_iter().map(mean).max().unwrap_or(0)
    }

    /// The mean of what began while tasks waited for the limit, if that was a short time ago.
    pub fn short_rate(&self) -> Option<u64> {
        self.short.rate(self.current)
    }

    /// Most starts that may wait to be handed out; `None` while starts are not slow.
    pub fn queued_max(&self) -> Option<usize> {
        self.limit.map(|limit| usize::try_from(limit.queued).unwrap_or(usize::MAX))
    }

    /// Most starts that may be handed out and not have begun; `None` while their path is not known to be slow.
    pub fn sent_max(&self) -> Option<usize> {
        self.limit?.sent.map(|sent| usize::try_from(sent).unwrap_or(usize::MAX))
    }

    /// Whether starts are limited.
    pub fn is_limited(&self) -> bool {
        self.limit.is_some()
    }

    /// Whether starts are slow: limited, or half of those that began lately took long in all their stages
    /// together.
    pub fn is_slow(&self) -> bool {
        self.is_limited() || self.lately(|count| count.whole).is_slow()
    }

    /// Whether half of the starts that were handed out lately, or that came to the log, waited long for it, or
    /// half of those that wait are late.
    fn is_queue_slow(&self) -> bool {
        self.is_queue_late
            || self.lately(|count| count.logged).is_slow()
            || self.lately(|count| count.sent).is_slow()
    }

    /// The same for those that began, and that are to begin, after they were handed out.
    fn is_path_slow(&self) -> bool {
        self.is_sent_late || self.lately(|count| count.begun).is_slow()
    }

    fn lately(&self, stage: impl Fn(&StartCount) -> StageCount) -> StageCount {
        self.recent[..=RECENT].iter().map(stage).fold(StageCount::default(), StageCount::plus)
    }

    /// Whether a start has passed in about the last second.
    fn has_passed_lately(&self, passed: impl Fn(&StartCount) -> u64) -> bool {
        self.recent[..=PER_SECOND].iter().any(|count| passed(count) > 0)
    }

    /// Most starts that passed within a second, or the rate that lasts. A limit that followed the latest
    /// second would shrink further with each one that it made poorer.
    fn best_rate(&self, passed: impl Fn(&StartCount) -> u64 + Copy) -> u64 {
        let sum = |second: &[StartCount]| second.iter().map(passed).sum::<u64>();
        let best = self.recent.windows(PER_SECOND).map(sum).max().unwrap_or(0);
        best.max(self.lasting_rate_of(passed))
    }

    /// Starts that wait for the log while as many come to it as are handed out.
    pub fn logged_in_time(&self) -> usize {
        let logged = self.best_rate(|count| count.sent.passed) * self.log_wait_ms() / 1_000;
        usize::try_from(logged).unwrap_or(usize::MAX)
    }

    /// Mean time that starts have waited for the log in about the last second, in milliseconds, at most
    /// [`START_TIME_MAX_MS`]; while it takes none of those that wait, what it was before.
    fn log_wait_ms(&self) -> u64 {
        let unknown_ms = if self.is_log_due { self.last_log_wait_ms } else { 0 };
        self.logged_lately_ms().unwrap_or(unknown_ms).min(START_TIME_MAX_MS)
    }

    fn logged_lately_ms(&self) -> Option<u64> {
        let recent = self.recent[..=PER_SECOND].iter().map(|count| count.logged);
        recent.fold(StageCount::default(), StageCount::plus).mean_ms()
    }
}

/// A limit after an interval in which it was reached without need.
fn grown(limit: u64) -> u64 {
    limit.saturating_mul(GROWTH_PERCENT) / 100
}
