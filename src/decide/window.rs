//! Limits how many commands are in flight, based on the delay of their answers.
//!
//! A burst asks for hundreds of starts per second, more than this entry's link or processor can
//! carry. If all were sent at once, they would queue in socket buffers: lease renewals behind them
//! would reach their workers after the leases have expired, answers would come after the timeouts,
//! and the retries would make the queue longer. Commands that are held back here are sent in order
//! of urgency, and the ones that are no longer wanted are never sent.
//!
//! The window follows the delay of answers, as TCP Vegas does: it grows while answers are about as
//! fast as the fastest ones, and shrinks while they queue. Losses alone would be too late a signal,
//! since each costs a whole timeout first. What answers take with the smallest window is no queue: the
//! path has become longer, and the window opens again.

/// Delay above the minimum from which answers are considered queued, in microseconds: longer than
/// the delay that a busy process on half a core or less adds by itself, and a third of the 450 ms
/// timeout of a command.
const QUEUE_DELAY_MAX_US: u64 = 150_000;
/// Delay above the minimum that a busy process adds without any queue, in microseconds. It is no
/// reason to send fewer commits and renewals, which every step of a job waits for.
const OWN_DELAY_US: u64 = 60_000;
/// Age from which the last answers say nothing about the queue any more, in milliseconds: there are
/// no new answers while other entries carry out all starts.
const ANSWER_AGE_MAX_MS: u64 = 2_000;
/// Divisor for the weight of one answer in the smoothed delay, as in RFC 6298.
const DELAY_SMOOTHING: u64 = 8;
/// Window from which it grows again after its smallest size was no help.
const SIZE_REOPENED: u64 = 32;
/// Initial and smallest window; each worker has a few commands in flight at a time. A narrow initial
/// window would delay a burst on any link until it has opened.
const SIZE_START: u64 = 128;
const SIZE_MIN: u64 = 4;
/// Largest window: more than the number of workers at any supported size.
const SIZE_MAX: u64 = 2_048;
/// Shortest interval between two reductions, in milliseconds: the answers to commands sent before
/// the first one have to arrive before the next.
const CUT_INTERVAL_MS: u64 = 100;
/// Largest remaining share of the window after a reduction, in percent.
const CUT_PERCENT: u64 = 75;
/// Time for which a minimum delay is valid, in milliseconds: workers and links change.
const MIN_DELAY_AGE_MS: u64 = 20_000;
/// Recent commands that decide whether missing answers are the rule. They are if the queue is
/// longer than the timeout of any command. Those of a dead rack are not, and would close the window
/// for all other workers.
const OUTCOMES_KEPT: u32 = 16;
/// Fixed-point unit of the window size, which grows by fractions of a command.
const MILLI: u64 = 1_000;

/// Congestion window for commands in flight.
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
    /// Outcomes of the last commands as bits; a set bit is a command without an answer.
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
    /// Commands that may be in flight.
    pub fn size(&self) -> usize {
        usize::try_from(self.size_milli / MILLI).unwrap_or(usize::MAX)
    }

    /// Time that answers spend in this entry's queue, in milliseconds: the smoothed delay minus the
    /// minimum, and minus the delay that a busy process adds by itself.
    pub fn queue_delay_ms(&self, now: u64) -> u64 {
        if now >= self.answered_ms + ANSWER_AGE_MAX_MS {
            return 0;
        }
        self.smoothed_us.saturating_sub(self.min_delay_us).saturating_sub(OWN_DELAY_US) / 1_000
    }

    /// Records that a command was answered after `delay_us` microseconds, or given up after that
    /// time. `is_full` says whether other commands are waiting: a window that isn't fully used says
    /// nothing about the capacity.
    pub fn record_end(&mut self, delay_us: u64, is_answered: bool, is_full: bool, now: u64) {
        self.unanswered = self.unanswered << 1 | u16::from(!is_answered);
        if !is_answered && self.unanswered.count_ones() * 2 <= OUTCOMES_KEPT {
            return;
        }
        self.record_delay(delay_us, now);
        if self.smoothed_us.saturating_sub(self.min_delay_us) > QUEUE_DELAY_MAX_US {
            let is_smallest = self.size_milli == SIZE_MIN * MILLI;
            let sent_ms = now.saturating_sub(delay_us / 1_000);
            if is_smallest && is_answered && sent_ms > self.cut_ms {
                self.reopen(delay_us);
            } else {
                self.cut(now);
            }
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
        self.smoothed_us = match self.smoothed_us {
            0 => delay_us,
            smoothed => (smoothed * (DELAY_SMOOTHING - 1) + delay_us) / DELAY_SMOOTHING,
        };
        // Of the smoothed delay: paths to workers differ, and the fastest one is no measure for all.
        self.min_delay_us = self.min_delay_us.min(self.smoothed_us);
        self.next_min_delay_us = self.next_min_delay_us.min(self.smoothed_us);
    }

    /// Judges by an answer that came with the smallest window. If it is late too, that is the delay
    /// without a queue; otherwise the queue before it is gone.
    fn reopen(&mut self, delay_us: u64) {
        self.smoothed_us = delay_us;
        if delay_us.saturating_sub(self.min_delay_us) > QUEUE_DELAY_MAX_US {
            self.min_delay_us = delay_us;
            self.next_min_delay_us = delay_us;
            self.size_milli = SIZE_REOPENED * MILLI;
            self.is_slow_start = true;
        }
    }

    fn cut(&mut self, now: u64) {
        if now < self.cut_ms + CUT_INTERVAL_MS || self.size_milli == SIZE_MIN * MILLI {
            return;
        }
        self.cut_ms = now;
        self.is_slow_start = false;
        // Little's law: what is answered within half of the longest queue.
        let wanted_us = self.min_delay_us + QUEUE_DELAY_MAX_US / 2;
        let percent = (wanted_us * 100 / self.smoothed_us.max(1)).min(CUT_PERCENT);
        self.size_milli = (self.size_milli * percent / 100).max(SIZE_MIN * MILLI);
    }

    fn grow(&mut self) {
        // Slow start: until the first reduction the window doubles within the delay of one answer;
        // later it grows by one.
        let step = if self.is_slow_start { MILLI } else { MILLI * MILLI / self.size_milli };
        self.size_milli = (self.size_milli + step).min(SIZE_MAX * MILLI);
    }
}

/// Most starts in flight to one worker.
const START_WINDOW_MAX: usize = 8;

/// Window of the starts in flight to one worker.
///
/// A worker that takes ten tasks would begin the last one ten round trips after the first if each start
/// waited for the answer to the one before. But a worker that answers nothing may carry out late what
/// it was sent, so one whose last call was not answered, or that was never called, gets one at a time.
/// How much all workers get at a time is left to [`CommandWindow`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartWindow {
    is_answering: bool,
}

impl StartWindow {
    /// Starts that may be in flight.
    pub fn size(&self) -> usize {
        if self.is_answering { START_WINDOW_MAX } else { 1 }
    }

    /// Records whether a call was answered.
    pub fn record_end(&mut self, is_answered: bool) {
        self.is_answering = is_answered;
    }
}

/// Initial size of the window of an executor, in starts: at 2 Mbit/s it sends that many in a quarter
/// of a second.
const BATCH_WINDOW_START: u64 = 48;
/// Smallest size: one batch.
const BATCH_WINDOW_MIN: u64 = 16;
/// Largest size: what an executor with half a core carries out in a second.
const BATCH_WINDOW_MAX: u64 = 512;
/// Delay above the least from which batches are considered queued, in milliseconds.
const BATCH_QUEUE_MAX_MS: u64 = 300;
/// Divisor for the weight of one answer in the smoothed delay: a window has few batches.
const BATCH_SMOOTHING: u64 = 4;

/// Time after which the latency is measured again, in milliseconds: a standing queue looks like it.
const BATCH_PROBE_INTERVAL_MS: u64 = 20_000;
/// Starts by which the window grows within the delay of one answer, after its slow start.
const BATCH_WINDOW_STEP: u64 = 8;

/// Window of the starts in flight at one executor.
///
/// Delay above the least one is a queue there only if fewer starts make it shorter. So the window
/// shrinks while answers take longer, down to one batch, and what they take then is the latency of the
/// path, however long it is: the window opens again from there. From time to time one batch is alone in
/// flight to measure it, as in BBR.
#[derive(Clone, Debug)]
pub struct BatchWindow {
    size_milli: u64,
    is_slow_start: bool,
    /// Smoothed delay since the last change of the window.
    smoothed_ms: Option<u64>,
    least_ms: u64,
    /// Answers to batches that were sent before this say nothing of the window since.
    changed_ms: u64,
    measured_ms: u64,
    /// Size and delay before a measurement that is in progress.
    probe: Option<(u64, u64)>,
}

impl Default for BatchWindow {
    fn default() -> BatchWindow {
        BatchWindow {
            size_milli: BATCH_WINDOW_START * MILLI,
            is_slow_start: true,
            smoothed_ms: None,
            least_ms: u64::MAX,
            changed_ms: 0,
            measured_ms: 0,
            probe: None,
        }
    }
}

impl BatchWindow {
    /// Starts that may be in flight.
    pub fn size(&self) -> usize {
        let size = if self.probe.is_some() { BATCH_WINDOW_MIN } else { self.size_milli / MILLI };
        usize::try_from(size).unwrap_or(usize::MAX)
    }

    /// Records the answer to a batch of `count` starts that was sent at `sent_ms`. `is_full` says
    /// whether more would have been sent: an unused window says nothing about the speed.
    pub fn record_answer(&mut self, count: usize, is_full: bool, sent_ms: u64, now: u64) {
        if sent_ms < self.changed_ms {
            return;
        }
        let delay_ms = now.saturating_sub(sent_ms);
        if let Some((size_milli, before_ms)) = self.probe.take() {
            self.least_ms = delay_ms;
            self.resize(size_milli, before_ms, now);
            return;
        }
        let smoothed_ms = match self.smoothed_ms {
            None => delay_ms,
            Some(smoothed) => (smoothed * (BATCH_SMOOTHING - 1) + delay_ms) / BATCH_SMOOTHING,
        };
        self.smoothed_ms = Some(smoothed_ms);
        if smoothed_ms < self.least_ms {
            self.least_ms = smoothed_ms;
            self.measured_ms = now;
        }
        let is_queued = smoothed_ms > self.least_ms + BATCH_QUEUE_MAX_MS;
        let is_smallest = self.size_milli <= BATCH_WINDOW_MIN * MILLI;
        if is_queued && is_smallest {
            self.least_ms = smoothed_ms;
            self.measured_ms = now;
            self.is_slow_start = true;
        } else if is_queued {
            self.resize(self.size_milli, smoothed_ms, now);
        } else if is_full {
            self.grow(u64::try_from(count).unwrap_or(u64::MAX));
            let is_due = now >= self.measured_ms + BATCH_PROBE_INTERVAL_MS;
            if is_due && smoothed_ms > BATCH_QUEUE_MAX_MS && !is_smallest {
                self.probe = Some((self.size_milli, smoothed_ms));
                (self.changed_ms, self.measured_ms) = (now, now);
            }
        }
    }

    /// Records that a batch was not answered.
    pub fn record_timeout(&mut self, now: u64) {
        self.probe = None;
        self.change((self.size_milli / 2).max(BATCH_WINDOW_MIN * MILLI), now);
    }

    /// Shrinks the window to the starts that are answered within half of the longest queue, by
    /// Little's law, if this many have taken `delay_ms`.
    fn resize(&mut self, size_milli: u64, delay_ms: u64, now: u64) {
        let wanted_ms = self.least_ms + BATCH_QUEUE_MAX_MS / 2;
        let wanted = size_milli * wanted_ms.min(delay_ms) / delay_ms.max(1);
        self.change(wanted.max(BATCH_WINDOW_MIN * MILLI), now);
    }

    fn change(&mut self, size_milli: u64, now: u64) {
        self.size_milli = size_milli;
        self.is_slow_start = false;
        self.smoothed_ms = None;
        self.changed_ms = now;
    }

    fn grow(&mut self, count: u64) {
        // The window doubles within the delay of one answer, and later grows by a step.
        let step = match self.is_slow_start {
            true => count * MILLI,
            false => count * MILLI * BATCH_WINDOW_STEP * MILLI / self.size_milli,
        };
        self.size_milli = (self.size_milli + step).min(BATCH_WINDOW_MAX * MILLI);
    }
}

/// Longest time for which unused tokens accumulate, in milliseconds.
const BURST_MS: u64 = 300;
/// Bytes per millisecond at 1 Mbit/s.
const BYTES_PER_MS: u64 = 125;
/// Processor time of one start that the leader sends itself, in microseconds: a call over HTTP and
/// its answer.
const START_COST_US: u64 = 100;
/// Share of the leader's processor that its own starts may take, in percent. Commits, renewals and
/// placements need the rest when most tasks start.
const START_SHARE_PERCENT: u64 = 10;

/// Token bucket.
#[derive(Clone, Debug, Default)]
struct TokenBudget {
    per_ms: u64,
    left: u64,
    debt: u64,
    filled_ms: u64,
}

impl TokenBudget {
    fn has_capacity(&mut self, now: u64) -> bool {
        let since = now.saturating_sub(self.filled_ms).min(BURST_MS);
        self.filled_ms = now;
        let filled = self.per_ms * since;
        let paid = filled.min(self.debt);
        self.debt -= paid;
        self.left = (self.left + filled - paid).min(self.per_ms * BURST_MS);
        self.left > 0
    }

    /// Spends tokens, even more than are left; the debt is repaid before new ones become available.
    fn charge(&mut self, tokens: u64) {
        self.debt += tokens.saturating_sub(self.left);
        self.left = self.left.saturating_sub(tokens);
    }
}

/// Rate limit for sent bytes.
#[derive(Clone, Debug)]
pub struct ByteBudget(TokenBudget);

impl ByteBudget {
    /// A budget of `mbits` Mbit/s; with 0 it never allows anything.
    pub fn with_rate(mbits: u64) -> ByteBudget {
        ByteBudget(TokenBudget { per_ms: mbits * BYTES_PER_MS, ..TokenBudget::default() })
    }

    /// Whether any bytes are left.
    pub fn has_capacity(&mut self, now: u64) -> bool {
        self.0.has_capacity(now)
    }

    /// Spends bytes, even more than are left; the debt is repaid before new bytes become available.
    pub fn charge(&mut self, bytes: usize) {
        self.0.charge(u64::try_from(bytes).unwrap_or(u64::MAX));
    }
}

/// Rate limit for the processor time of the starts that the leader sends itself.
///
/// Load: a burst of a thousand starts a second and more. The leader's processor is then the scarcest
/// resource of the site, while those of the other entries are idle: they carry out what exceeds this
/// budget.
#[derive(Clone, Debug)]
pub struct StartBudget(TokenBudget);

impl StartBudget {
    /// The budget of a processor of so many thousandths of a core.
    pub fn with_processor(millicores: u64) -> StartBudget {
        let per_ms = millicores * START_SHARE_PERCENT / 100;
        StartBudget(TokenBudget { per_ms, ..TokenBudget::default() })
    }

    /// Whether another start fits.
    pub fn has_capacity(&mut self, now: u64) -> bool {
        self.0.has_capacity(now)
    }

    /// Spends the processor time of one start.
    pub fn charge_start(&mut self) {
        self.0.charge(START_COST_US);
    }
}
