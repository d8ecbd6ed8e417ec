//! Keeps best-effort tasks from harming the service tasks beside them.
//!
//! How much one disturbs another differs by image and changes within seconds, so it is regulated
//! rather than predicted: the share is halved at once when a tail latency nears its target, and
//! raised in small steps while there is headroom.

use std::sync::Arc;

use crate::jobs::model::TaskKey;
use crate::jobs::ports::{RunCall, RunningTask};
use crate::scheduler::{Scheduler, SchedulerAction};

/// Share of a target, in percent, from which best-effort tasks are slowed down. The gauge is rough
/// and half a second old; the rest up to the target is the reserve.
const SLOW_DOWN_PERCENT: u64 = 88;
/// Time after which an unchanged share is sent again to a run that may still get an older one, in
/// milliseconds.
const REPEAT_INTERVAL_MS: u64 = 3_000;
/// Share of a target, in percent, below which they may go faster.
const SPEED_UP_PERCENT: u64 = 65;
/// Step by which they go faster, in percent.
const SPEED_UP_STEP: u32 = 15;
/// Least time between two changes for a run, in milliseconds: the gauge's window, and the time
/// until a change shows in it.
const CHANGE_INTERVAL_MS: u64 = 600;
/// A share below this, in percent, is of no use and becomes zero.
const SHARE_MIN: u32 = 10;

impl Scheduler {
    /// Reads the tail latencies of service tasks on a worker and adjusts the speed of best-effort
    /// tasks there.
    pub(crate) fn adjust_throttles(&mut self, id: &Arc<str>, running: &[RunningTask], now: u64) {
        let Some(worker) = self.workers.get(id) else { return };
        if !worker.runs.values().any(|placed| placed.is_best_effort) {
            return;
        }
        let mut best_effort = Vec::new();
        let mut worst_percent = 0;
        for reported in running {
            let key = (reported.task, reported.run);
            let Some(placed) = worker.runs.get(&key) else { continue };
            if placed.is_best_effort {
                best_effort.push(key);
                continue;
            }
            let Some(tail) = reported.gauge else { continue };
            let spec = self.jobs.get(&reported.task.job).and_then(|job| job.spec(&reported.task));
            let target = spec.map_or(0, |spec| spec.target_ms);
            if let Some(percent) = (tail * 100).checked_div(target) {
                worst_percent = worst_percent.max(percent);
            }
        }
        if best_effort.is_empty() {
            return;
        }
        let target = worker.target();
        for (task, run) in best_effort {
            self.adjust(&target, task, run, worst_percent, now);
        }
    }

    fn adjust(
        &mut self,
        target: &crate::jobs::ports::WorkerTarget,
        task: TaskKey,
        run: u32,
        worst_percent: u64,
        now: u64,
    ) {
        let fence = self.fence_of(&target.id);
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(state) = job.task_mut(&task) else { return };
        let Some(live) = state.live.iter_mut().find(|live| live.run == run) else { return };
        if now < live.throttled_ms + CHANGE_INTERVAL_MS {
            return;
        }
        let percent = next_share(live.throttle, worst_percent);
        let is_due = live.is_throttle_in_doubt && now >= live.throttled_ms + REPEAT_INTERVAL_MS;
        if percent == live.throttle && !is_due {
            return;
        }
        live.throttle = percent;
        live.throttled_ms = now;
        let call = RunCall { task, run, fence };
        self.actions.push(SchedulerAction::Throttle(target.clone(), call, percent));
    }

    /// Takes in the outcome of a throttle call. After one without an answer, the next report leads
    /// to a new call.
    pub fn handle_throttle_outcome(&mut self, call: &RunCall, is_done: bool) {
        if is_done {
            return;
        }
        let Some(job) = self.jobs.get_mut(&call.task.job) else { return };
        let Some(task) = job.task_mut(&call.task) else { return };
        if let Some(live) = task.live.iter_mut().find(|live| live.run == call.run) {
            // It is not known whether the throttle was applied: neither the old nor the new share
            // can be assumed, and the next adjustment must differ from both to be sent.
            live.is_throttle_in_doubt = true;
            live.throttle = live.throttle.saturating_add(1).min(99);
            live.throttled_ms = 0;
        }
    }
}

/// The next share of best-effort tasks, in percent, beside a service whose tail latency is at
/// `worst_percent` of its target.
pub fn next_share(share: u32, worst_percent: u64) -> u32 {
    if worst_percent >= SLOW_DOWN_PERCENT {
        let halved = share / 2;
        return if halved < SHARE_MIN { 0 } else { halved };
    }
    if worst_percent < SPEED_UP_PERCENT {
        return (share + SPEED_UP_STEP).min(100);
    }
    share
}
