//! Speculative copies: second runs of tasks that allow them, where the first run takes far longer
//! than its siblings or its worker is silent.

use crate::scheduler::Scheduler;
use crate::scheduler::dispatch::PlaceQuery;
use crate::scheduler::job::{LiveRun, RunPhase, StepRun};
use crate::scheduler::stragglers::projected_runtime_ms;
use crate::scheduler::worker::IsolationRule;

/// Runs of a task that may be alive at once.
const LIVE_RUNS_MAX: usize = 2;
/// Age from which a run may get a copy, and time that it must exceed its usual run time by, in
/// milliseconds: the report of its end takes a while.
const COPY_SLACK_MS: u64 = 400;

impl Scheduler {
    /// Starts a copy of each task that allows it and takes too long or runs on a silent worker.
    pub(crate) fn place_copies(&mut self, now: u64) {
        if !self.has_start_slot() {
            return;
        }
        let mut stragglers = Vec::new();
        for job in self.jobs.values().filter(|job| !job.state.is_final()) {
            for (occurrence, run) in &job.occurrences {
                for (position, step) in run.steps.iter().enumerate() {
                    let spec = &job.submission.spec.steps[position];
                    if !spec.allows_copies || spec.is_gang || spec.is_service || step.is_done() {
                        continue;
                    }
                    if step.counts().live == 0 {
                        continue;
                    }
                    for (index, task) in step.tasks.iter().enumerate() {
                        if !task.is_done && self.is_copy_due(step, index, now) {
                            stragglers.push(job.key(*occurrence, position, index));
                        }
                    }
                }
            }
        }
        for key in stragglers {
            let Some(spec) = self.step_spec(&key.step_key()) else { continue };
            let Some(service) = self.jobs.get(&key.job).map(|job| self.service_of(job)) else {
                continue;
            };
            if !self.is_capacity_view_fresh(&service, now)
                || !self.may_start_under_cap(&key, &spec.need)
            {
                continue;
            }
            let (runs_by_worker, runs_by_rack) = self.sibling_counts(&key.step_key());
            let mut avoided = self.avoided(&key);
            let live = self.jobs.get(&key.job).and_then(|job| job.task(&key));
            avoided.extend(live.into_iter().flat_map(|task| {
                task.live.iter().map(|live| live.worker.clone()).collect::<Vec<_>>()
            }));
            let query = PlaceQuery {
                spec: &spec,
                runs_by_worker: &runs_by_worker,
                runs_by_rack: &runs_by_rack,
                avoided: &avoided,
                permitted: None,
                rack: None,
                isolation: IsolationRule::Normal,
            };
            if let Some(worker) = self.find_worker(&service, &query, u64::MAX, now) {
                let run = self.next_run(&key);
                self.plan_run(&key, run, &worker, now);
            }
        }
    }

    fn is_silent(&self, worker: &str) -> bool {
        self.workers.get(worker).is_none_or(|worker| worker.silent_since_ms.is_some())
    }

    /// Whether every run of a task is on a silent worker, or takes far longer than its siblings.
    fn is_copy_due(&self, step: &StepRun, index: usize, now: u64) -> bool {
        let Some(task) = step.tasks.get(index) else { return false };
        // A copy of a task that may crash its worker would cost two workers.
        if task.live.is_empty() || task.live.len() >= LIVE_RUNS_MAX || task.losses.total > 0 {
            return false;
        }
        let is_recent = |live: &LiveRun| {
            now.saturating_sub(live.phase_since_ms) <= COPY_SLACK_MS
                && !self.is_silent(&live.worker)
        };
        if task.live.iter().any(is_recent) {
            return false;
        }
        let median_ms = step.median_without(index);
        task.live.iter().all(|live| {
            let is_silent = self.is_silent(&live.worker);
            let elapsed = now.saturating_sub(live.phase_since_ms);
            let is_late = median_ms.is_some_and(|median_ms| {
                live.phase == RunPhase::Running
                    && elapsed > median_ms * 3 / 2 + COPY_SLACK_MS
                    && projected_runtime_ms(live) > elapsed + median_ms
            });
            is_silent || is_late
        })
    }
}
