//! Runs that stall or crawl are taken elsewhere: judged by the other tasks of their step, as declared run times tell little.

use crate::jobs::model::TaskKey;
use crate::scheduler::Scheduler;
use crate::scheduler::job::{JobRun, LiveRun, RunPhase, StepRun};

/// Time after which a run without progress is taken for stalled, in milliseconds, beside its
/// declared run time: several reports without a change.
const STALL_MS: u64 = 1_500;
/// Times its siblings' run time that a run may be heading for before it is moved: tasks of a step
/// differ by a third, slow workers take four times as long and more.
const SLOW_FACTOR: u64 = 3;
/// Siblings that a run is compared with at least.
const SIBLINGS_MIN: usize = 2;
/// Progress from which a run's pace tells its run time, in percent.
const PROJECTION_PERCENT_MIN: u32 = 20;
/// Times that a task is moved for being slow or stalled: beyond, it is the task and not its worker.
const MOVES_MAX: u32 = 2;
/// Time that a moved run loses at least, in milliseconds.
const MOVE_COST_MS: u64 = 400;

impl Scheduler {
    /// Looks for runs that stall or crawl, and takes them elsewhere.
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

    /// Why a run should be taken elsewhere, if it should.
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
        // What took long on several workers is long itself.
        let timeout = (STALL_MS + spec.estimate_ms) << moves;
        if now.saturating_sub(live.progress_ms) > timeout {
            return Some("no progress");
        }
        self.is_far_slower(job, key, live, now).then_some("far slower than its siblings")
    }

    /// Whether a run is heading for far longer than the other tasks of its step take: they do work
    /// of the same kind, while declared run times tell little. One without siblings is left alone.
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

/// Run time that a run is heading for at its present pace, in milliseconds.
pub(crate) fn projected_runtime_ms(live: &LiveRun) -> u64 {
    let elapsed = live.progress_ms.saturating_sub(live.begun_ms);
    elapsed * 100 / u64::from(live.percent.clamp(1, 100))
}

/// Median run time of the tasks of a step, done or well under way, without the one at `index`; nothing
/// for too few.
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
