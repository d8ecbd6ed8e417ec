//! Flow control for starts: each waits here until the command window has capacity for it.
//!
//! Renewals and stops bypass the window, since what a late one was meant to save is lost. They are
//! few compared with the starts, and a renewal waits longer at its worker while answers are slow
//! ([`Scheduler::set_pace`]).
//!
//! [`Scheduler::set_pace`]: crate::scheduler::Scheduler::set_pace

use std::pin::pin;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::decide::window::CommandWindow;

/// Longest time that starts may queue, in milliseconds. A start that is placed long before it can
/// be sent holds capacity that a more urgent task may need by then.
const QUEUE_TIME_MAX_MS: u64 = 300;
/// Number of starts that may always queue, however slowly they are sent.
const QUEUED_STARTS_MIN: u64 = 16;
/// Length of the interval in which commands that leave are counted, in milliseconds.
const RATE_INTERVAL_MS: u64 = 400;
/// Complete intervals of which the best one counts: where answers take a second, the commands of a
/// whole window leave together, and none in the intervals between.
const RATE_INTERVALS: usize = 4;
/// Divisor for the weight of one commit in the smoothed time, as in RFC 6298.
const COMMIT_SMOOTHING: u64 = 8;

/// Counts of commands, for log lines and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowStats {
    /// Commands that may be in flight.
    pub window: usize,
    /// Commands in flight.
    pub in_flight: usize,
    /// Commands that wait for capacity in the window.
    pub waiting: usize,
    /// Time that answers spend in queues of this process and its link, in milliseconds.
    pub queue_delay_ms: u64,
    /// Commands that ended, or were handed to executors, in the last complete interval of 400 ms.
    pub ended: u64,
}

/// Limits for the scheduler, derived from how fast commands are answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FlowPace {
    /// Largest number of starts that may wait to be sent; `None` for no limit.
    pub starts_max: Option<usize>,
    /// Time that answers spend in queues of this process and its link, in milliseconds.
    pub queue_delay_ms: u64,
    /// The part of it that shows as lateness of the leader's loop, in milliseconds; 0 with enough
    /// processor.
    pub loop_delay_ms: u64,
}

impl FlowPace {
    /// The same while the loop is this late, in milliseconds.
    pub fn delayed_by(self, loop_delay_ms: u64) -> FlowPace {
        let queue_delay_ms = self.queue_delay_ms.max(loop_delay_ms);
        FlowPace { queue_delay_ms, loop_delay_ms, ..self }
    }
}

#[derive(Debug, Default)]
struct FlowState {
    window: CommandWindow,
    in_flight: usize,
    waiting: usize,
    /// Commands that ended or were handed to executors, in the last complete intervals, the latest
    /// first.
    rates: [u64; RATE_INTERVALS],
    /// The same in the current interval.
    left_count: u64,
    interval_start_ms: u64,
    /// Smoothed time of a commit, in milliseconds.
    commit_ms: u64,
    /// When a command last had to wait, in milliseconds.
    last_full_ms: Option<u64>,
}

/// Holds commands back while the window is full.
#[derive(Debug, Default)]
pub struct CommandFlow {
    state: Mutex<FlowState>,
    capacity_freed: Notify,
}

/// Permit for one command in flight; dropping it returns its capacity.
#[derive(Debug)]
pub struct FlowPermit<'a> {
    flow: &'a CommandFlow,
    started: Instant,
}

impl CommandFlow {
    /// Waits until the window has capacity for one more command. `now` gives the current time in
    /// milliseconds.
    pub async fn acquire(&self, now: impl Fn() -> u64) -> FlowPermit<'_> {
        loop {
            let mut capacity_freed = pin!(self.capacity_freed.notified());
            // Registers before the check: capacity freed between the two would wake nobody.
            capacity_freed.as_mut().enable();
            {
                let mut state = self.state();
                if state.in_flight < state.window.size() {
                    state.in_flight += 1;
                    return FlowPermit { flow: self, started: Instant::now() };
                }
                state.last_full_ms = Some(now());
                state.waiting += 1;
            }
            capacity_freed.await;
            self.state().waiting -= 1;
        }
    }

    /// Takes capacity if there is any and no other command waits for it.
    pub fn try_acquire(&self) -> Option<FlowPermit<'_>> {
        let mut state = self.state();
        if state.waiting > 0 || state.in_flight >= state.window.size() {
            return None;
        }
        state.in_flight += 1;
        Some(FlowPermit { flow: self, started: Instant::now() })
    }

    /// Records that a start was handed to an executor.
    pub fn record_delegated(&self, now: u64) {
        self.state().record_left(now);
    }

    /// Records that a commit of decisions to the log took this long, in milliseconds.
    pub fn record_commit(&self, took_ms: u64) {
        let mut state = self.state();
        state.commit_ms = (state.commit_ms * (COMMIT_SMOOTHING - 1) + took_ms) / COMMIT_SMOOTHING;
    }

    /// Current limits for the scheduler.
    pub fn pace(&self, now: u64) -> FlowPace {
        let mut state = self.state();
        state.advance_to(now);
        let is_full = state.last_full_ms.is_some_and(|full| now < full + RATE_INTERVAL_MS);
        // A placed start waits for the commit in progress and for its own before it can be sent.
        let queue_ms = QUEUE_TIME_MAX_MS + 2 * state.commit_ms;
        let best_rate = state.rates.into_iter().max().unwrap_or_default();
        let queued_max = (best_rate * queue_ms / RATE_INTERVAL_MS).max(QUEUED_STARTS_MIN);
        FlowPace {
            starts_max: is_full.then(|| usize::try_from(queued_max).unwrap_or(usize::MAX)),
            queue_delay_ms: state.window.queue_delay_ms(now),
            loop_delay_ms: 0,
        }
    }

    /// Current counts.
    pub fn stats(&self, now: u64) -> FlowStats {
        let state = self.state();
        FlowStats {
            window: state.window.size(),
            in_flight: state.in_flight,
            waiting: state.waiting,
            queue_delay_ms: state.window.queue_delay_ms(now),
            ended: state.rates[0],
        }
    }

    fn state(&self) -> MutexGuard<'_, FlowState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_end(&self, delay: Duration, is_answered: bool, now: u64) {
        let mut state = self.state();
        let is_full = state.waiting > 0;
        let delay_us = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        state.window.record_end(delay_us, is_answered, is_full, now);
        state.record_left(now);
    }
}

impl FlowState {
    fn record_left(&mut self, now: u64) {
        self.advance_to(now);
        self.left_count += 1;
    }

    /// Completes the intervals that have ended.
    fn advance_to(&mut self, now: u64) {
        for _ in 0..=RATE_INTERVALS {
            if now < self.interval_start_ms + RATE_INTERVAL_MS {
                return;
            }
            self.rates.rotate_right(1);
            self.rates[0] = std::mem::take(&mut self.left_count);
            self.interval_start_ms += RATE_INTERVAL_MS;
        }
        // Nothing has left for longer than the intervals that are kept.
        self.interval_start_ms = self.interval_start_ms.max(now);
    }
}

impl FlowPermit<'_> {
    /// Records that the command was answered or given up.
    pub fn end(self, is_answered: bool, now: u64) {
        self.flow.record_end(self.started.elapsed(), is_answered, now);
    }
}

impl Drop for FlowPermit<'_> {
    fn drop(&mut self) {
        let mut state = self.flow.state();
        state.in_flight -= 1;
        // The window may have grown too, so more than one waiting command may fit.
        let free = state.window.size().saturating_sub(state.in_flight);
        let woken = free.min(state.waiting);
        drop(state);
        for _ in 0..woken {
            self.flow.capacity_freed.notify_one();
        }
    }
}
