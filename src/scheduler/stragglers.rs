//! Moves runs that stall or are far too slow to other workers. They are compared with the other
//! tasks of their step, since declared run times are unreliable.

use crate::jobs::model::TaskKey;
use crate::scheduler::Scheduler;
use crate::scheduler::job::{LiveRun, RunPhase, StepRun, TaskRun};

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
        let (spec, step) = (job.spec(key)?, job.step(key)?);
        let index = usize::try_from(key.index).ok()?;
        let task = step.tasks.get(index)?;
        let live = task.live.iter().find(|live| live.run == run)?;
        if live.phase != RunPhase::Running || spec.is_gang || spec.is_service {
            return None;
        }
        if task.moves >= MOVES_MAX {
            return None;
        }
        // A task that took long on several workers is itself long.
        let timeout = (STALL_MS + spec.estimate_ms) << task.moves;
        if now.saturating_sub(live.progress_ms) > timeout {
            return Some("no progress");
        }
        is_far_slower(step, index, live, now).then_some("far slower than its siblings")
    }
}

/// Whether a run's projected run time is far longer than that of the other tasks of its step: they
/// do the same kind of work, while declared run times are unreliable. A run without siblings is left
/// alone.
fn is_far_slower(step: &StepRun, index: usize, live: &LiveRun, now: u64) -> bool {
    let Some(median) = step.median_without(index) else { return false };
    if live.percent == 0 {
        return now.saturating_sub(live.begun_ms) > median * SLOW_FACTOR;
    }
    let projected = projected_runtime_ms(live);
    let left = projected.saturating_sub(now.saturating_sub(live.begun_ms));
    projected > median * SLOW_FACTOR && left > median + MOVE_COST_MS
}

/// Run time of a run projected from its present pace, in milliseconds.
pub(crate) fn projected_runtime_ms(live: &LiveRun) -> u64 {
    let elapsed = live.progress_ms.saturating_sub(live.begun_ms);
    elapsed * 100 / u64::from(live.percent.clamp(1, 100))
}

/// Run time that a task shows to the others of its step, in milliseconds: that of its last run if it
/// is done, else projected from a run that is well under way.
pub(crate) fn sample_ms(task: &TaskRun) -> Option<u64> {
    let has_projection =
        |live: &&LiveRun| live.phase == RunPhase::Running && live.percent >= PROJECTION_PERCENT_MIN;
    task.took_ms.or_else(|| task.live.iter().find(has_projection).map(projected_runtime_ms))
}

/// Run times of a step's tasks, in milliseconds, the shortest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RuntimeSample {
    times: Vec<u64>,
}

impl RuntimeSample {
    /// Run times of those tasks that are done or well under way.
    pub fn of(tasks: &[TaskRun]) -> RuntimeSample {
        let mut times: Vec<u64> = tasks.iter().filter_map(sample_ms).collect();
        times.sort_unstable();
        RuntimeSample { times }
    }

    /// Median run time; `None` if there are too few.
    pub fn median(&self) -> Option<u64> {
        (self.times.len() >= SIBLINGS_MIN).then(|| self.times[self.times.len() / 2])
    }

    /// Median run time without a task that has this one; `None` if too few others are left.
    pub fn median_without(&self, own_ms: Option<u64>) -> Option<u64> {
        let Some(own_ms) = own_ms else { return self.median() };
        let left = self.times.len().saturating_sub(1);
        if left < SIBLINGS_MIN {
            return None;
        }
        let (middle, own) = (left / 2, self.times.partition_point(|time| *time < own_ms));
        Some(self.times[middle + usize::from(middle >= own)])
    }
}
