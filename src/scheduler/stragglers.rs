//! Moves runs that stall or are far too slow to other workers. They are compared with the other
//! tasks of their step, since declared run times are unreliable.

use crate::jobs::model::TaskKey;
use crate::scheduler::Scheduler;
use crate::scheduler::job::{JobRun, LiveRun, RunPhase, StepRun};

/// Time without progress after which a run counts as stalled, in milliseconds, in addition to its
/// declared run time: several reports without a change.
const STALL_MS: u64 = 1_500;
/// A run is moved if its projected run time exceeds that of its siblings by this factor: tasks of a
/// step differ by a third, slow workers take four times as long and more.
const SLOW_FACTOR: u64 = 3;
/// Fewest siblings that a run is compared with.
const SIBLINGS_MIN: usize = 2;
/// Progress from which a run's pace allows a projection, in percent.
const PROJECTION_PERCENT_MIN: u32 = 20;
/// Times that a task is moved for being slow or stalled: after that, the task is the cause and not
/// its worker.
const MOVES_MAX: u32 = 2;
/// Least time that a move costs a run, in milliseconds.
const MOVE_COST_MS: u64 = 400;

impl Scheduler {
    /// Finds runs that stall or are far too slow, and stops them so that they start elsewhere.
    pub(crate) fn move_stragglers(&mut self, now: u64) {
        let mut stragglers = Vec::new();
        for worker in self.workers.values() {
            if worker.silent_since_ms.is_some() || worker.entry.is_draining {
                continue;
            }
            for (key, run) in worker.runs.keys() {
                if let Some(reason) = self.straggler_reason(key, *run, now) {
                    stragglers.push((worker.entry.id.clone(), *key, *run, reason));
                }
            }
        }
        for (id, key, run, reason) in stragglers {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.record_outcome(false, now);
            }
            if let Some(task) = self.task_mut(&key) {
                task.failed_on.push(id);
                task.moves += 1;
            }
            self.stop_run(&key, run, reason, now);
        }
    }

    /// Why a run should be moved, if it should.
    fn straggler_reason(&self, key: &TaskKey, run: u32, now: u64) -> Option<&'static str> {
        let job = self.jobs.get(&key.job)?;
        let spec = job.spec(key)?;
        let live = job.task(key)?.live.iter().find(|live| live.run == run)?;
        if live.phase != RunPhase::Running || spec.is_gang || spec.is_service {
            return None;
        }
        let moves = job.task(key)?.moves;
        if moves >= MOVES_MAX {
            return None;
        }
        // A task that took long on several workers is itself long.
        let timeout = (STALL_MS + spec.estimate_ms) << moves;
        if now.saturating_sub(live.progress_ms) > timeout {
            return Some("no progress");
        }
        self.is_far_slower(job, key, live, now).then_some("far slower than its siblings")
    }

    /// Whether a run's projected run time is far longer than that of the other tasks of its step:
    /// they do the same kind of work, while declared run times are unreliable. A run without
    /// siblings is left alone.
    fn is_far_slower(&self, job: &JobRun, key: &TaskKey, live: &LiveRun, now: u64) -> bool {
        let Some(step) = job.step(key) else { return false };
        let Some(median) = median_runtime_ms(step, Some(key.index)) else { return false };
        if live.percent == 0 {
            return now.saturating_sub(live.begun_ms) > median * SLOW_FACTOR;
        }
        let projected = projected_runtime_ms(live);
        let left = projected.saturating_sub(now.saturating_sub(live.begun_ms));
        projected > median * SLOW_FACTOR && left > median + MOVE_COST_MS
    }
}

/// Run time of a run projected from its present pace, in milliseconds.
pub(crate) fn projected_runtime_ms(live: &LiveRun) -> u64 {
    let elapsed = live.progress_ms.saturating_sub(live.begun_ms);
    elapsed * 100 / u64::from(live.percent.clamp(1, 100))
}

/// Median run time of a step's tasks that are done or well under way, except the one at `index`;
/// `None` if there are too few.
pub(crate) fn median_runtime_ms(step: &StepRun, index: Option<u32>) -> Option<u64> {
    let mut times: Vec<u64> = Vec::new();
    for (position, task) in step.tasks.iter().enumerate() {
        if index.is_some_and(|index| u32::try_from(position) == Ok(index)) {
            continue;
        }
        if let Some(took) = task.took_ms {
            times.push(took);
            continue;
        }
        let has_projection = |live: &&LiveRun| {
            live.phase == RunPhase::Running && live.percent >= PROJECTION_PERCENT_MIN
        };
        times.extend(task.live.iter().find(has_projection).map(projected_runtime_ms));
    }
    times.sort_unstable();
    (times.len() >= SIBLINGS_MIN).then(|| times[times.len() / 2])
}
