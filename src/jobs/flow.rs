//! Commands to workers wait here until the window has room for them.
//!
//! Renewals and stops do not wait: what they are late for is lost. They are few beside the starts, and
//! a renewal waits longer at its worker while answers are slow ([`Scheduler::set_pace`]).
//!
//! [`Scheduler::set_pace`]: crate::scheduler::Scheduler::set_pace

use std::pin::pin;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::decide::window::CommandWindow;

/// Time for which starts may stand in line, in milliseconds: what is placed sooner than it can be sent
/// keeps room from tasks that are more urgent by then.
const QUEUE_TIME_MAX_MS: u64 = 300;
/// Starts that may stand in line however slow they go.
const QUEUED_STARTS_MIN: u64 = 16;
/// Time over which the rate of answers is counted, in milliseconds.
const RATE_INTERVAL_MS: u64 = 400;

/// Where commands stand, for log lines and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowStats {
    /// Commands that may be under way.
    pub window: usize,
    /// Commands that are.
    pub in_flight: usize,
    /// Commands that wait.
    pub waiting: usize,
    /// Time that answers wait in a line of ours, in milliseconds.
    pub queue_delay_ms: u64,
    /// Commands that ended in the last whole span of 400 ms.
    pub ended: u64,
}

/// How fast commands get through.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FlowPace {
    /// Starts that may wait to be sent; none for any number.
    pub starts_max: Option<usize>,
    /// Time that answers wait in a line of ours, in milliseconds.
    pub queue_delay_ms: u64,
}

#[derive(Debug, Default)]
struct FlowState {
    window: CommandWindow,
    in_flight: usize,
    waiting: usize,
    /// Answers in the last whole span, and in the present one.
    last_rate: u64,
    ended_count: u64,
    interval_start_ms: u64,
    /// When a command last had to wait, in milliseconds.
    last_full_ms: Option<u64>,
}

/// Holds commands back while as many are under way as get through.
#[derive(Debug, Default)]
pub struct CommandFlow {
    state: Mutex<FlowState>,
    capacity_freed: Notify,
}

/// One command under way.
#[derive(Debug)]
pub struct FlowPermit<'a> {
    flow: &'a CommandFlow,
    started: Instant,
}

impl CommandFlow {
    /// Waits for room.
    pub async fn acquire(&self, now: impl Fn() -> u64) -> FlowPermit<'_> {
        loop {
            let mut capacity_freed = pin!(self.capacity_freed.notified());
            // In line before the look, or room that is made right after it would wake nobody.
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

    /// Takes room, if there is any and nobody waits for it.
    pub fn try_acquire(&self) -> Option<FlowPermit<'_>> {
        let mut state = self.state();
        if state.waiting > 0 || state.in_flight >= state.window.size() {
            return None;
        }
        state.in_flight += 1;
        Some(FlowPermit { flow: self, started: Instant::now() })
    }

    /// How fast commands get through now.
    pub fn pace(&self, now: u64) -> FlowPace {
        let state = self.state();
        let is_full = state.last_full_ms.is_some_and(|full| now < full + RATE_INTERVAL_MS);
        let queued_max =
            (state.last_rate * QUEUE_TIME_MAX_MS / RATE_INTERVAL_MS).max(QUEUED_STARTS_MIN);
        FlowPace {
            starts_max: is_full.then(|| usize::try_from(queued_max).unwrap_or(usize::MAX)),
            queue_delay_ms: state.window.queue_delay_ms(now),
        }
    }

    /// Where commands stand.
    pub fn stats(&self, now: u64) -> FlowStats {
        let state = self.state();
        FlowStats {
            window: state.window.size(),
            in_flight: state.in_flight,
            waiting: state.waiting,
            queue_delay_ms: state.window.queue_delay_ms(now),
            ended: state.last_rate,
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
        if now >= state.interval_start_ms + RATE_INTERVAL_MS {
            state.last_rate = if now < state.interval_start_ms + 2 * RATE_INTERVAL_MS {
                state.ended_count
            } else {
                0
            };
            state.ended_count = 0;
            state.interval_start_ms = now;
        }
        state.ended_count += 1;
    }
}

impl FlowPermit<'_> {
    /// Takes in that the command was answered or given up.
    pub fn end(self, is_answered: bool, now: u64) {
        self.flow.record_end(self.started.elapsed(), is_answered, now);
    }
}

impl Drop for FlowPermit<'_> {
    fn drop(&mut self) {
        let mut state = self.flow.state();
        state.in_flight -= 1;
        // The window may have grown as well.
        let free = state.window.size().saturating_sub(state.in_flight);
        let woken = free.min(state.waiting);
        drop(state);
        for _ in 0..woken {
            self.flow.capacity_freed.notify_one();
        }
    }
}
