//! Logs service tasks that should be serving and are not, each with the reason for its wait.
//!
//! A task that finds no worker leaves no other trace, and a placed task waits silently for the log,
//! for its worker or for the end of an earlier run. Nothing is decided here.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::jobs::model::{StepSpec, TaskKey};
use crate::scheduler::dispatch::PlaceQuery;
use crate::scheduler::job::{JobRun, LiveRun, RunPhase, TaskRun};
use crate::scheduler::losses::PoolView;
use crate::scheduler::worker::IsolationRule;
use crate::scheduler::{Scheduler, SchedulerEvent};

/// Downtime after which a task is logged, in milliseconds.
const DOWN_MIN_MS: u64 = 3_000;
/// Time between two log lines about one task, in milliseconds.
const LOG_INTERVAL_MS: u64 = 2_000;
/// Time between two checks, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 500;
/// Most lines logged after one check; each line has the count of all tasks that are down.
const LINES_MAX: usize = 16;

/// Tasks that have been down for long, and when each was last logged.
#[derive(Debug, Default)]
pub(crate) struct WaitLog {
    opened_ms: u64,
    checked_ms: u64,
    logged: BTreeMap<TaskKey, u64>,
}

impl WaitLog {
    /// Starts an empty log now: earlier downtime is not known.
    pub fn open(now: u64) -> WaitLog {
        WaitLog { opened_ms: now, checked_ms: now, logged: BTreeMap::new() }
    }

    /// When it was opened, in milliseconds.
    pub fn opened_ms(&self) -> u64 {
        self.opened_ms
    }
}

impl Scheduler {
    /// Logs which service tasks have been down for long, and why.
    pub(crate) fn log_waits(&mut self, now: u64) {
        if now < self.waits.checked_ms + CHECK_INTERVAL_MS {
            return;
        }
        let down = self.down_tasks(now);
        let logged = std::mem::take(&mut self.waits.logged);
        let is_due =
            |key: &TaskKey| logged.get(key).is_none_or(|logged| now >= logged + LOG_INTERVAL_MS);
        let due: Vec<(TaskKey, u64)> =
            down.iter().filter(|(key, _)| is_due(key)).take(LINES_MAX).copied().collect();
        let kept = down.iter().filter_map(|(key, _)| Some((*key, *logged.get(key)?)));
        self.waits.logged = kept.chain(due.iter().map(|(key, _)| (*key, now))).collect();
        self.waits.checked_ms = now;
        for (key, down_ms) in due {
            if let Some(event) = self.wait_event(&key, down_ms, down.len(), now) {
                self.emit(event);
            }
        }
    }

    /// Service tasks that should be serving and have been down for long, with their downtime in
    /// milliseconds.
    fn down_tasks(&self, now: u64) -> Vec<(TaskKey, u64)> {
        let mut down = Vec::new();
        for job in self.jobs.values().filter(|job| !job.state.is_final()) {
            let since_ms = job.arrived_ms.max(self.waits.opened_ms);
            let specs = &job.submission.spec.steps;
            if now < since_ms + DOWN_MIN_MS || !specs.iter().any(is_logged) {
                continue;
            }
            for (occurrence, run) in &job.occurrences {
                for (position, step) in run.steps.iter().enumerate() {
                    let is_step_done = |before: &u16| {
                        run.steps.get(usize::from(*before)).is_some_and(|step| step.is_done())
                    };
                    if !is_logged(&specs[position])
                        || !specs[position].after.iter().all(is_step_done)
                    {
                        continue;
                    }
                    for (index, task) in step.tasks.iter().enumerate() {
                        let down_ms = now.saturating_sub(task.last_serving_ms.max(since_ms));
                        if !task.is_done && down_ms >= DOWN_MIN_MS {
                            down.push((job.key(*occurrence, position, index), down_ms));
                        }
                    }
                }
            }
        }
        down.sort_by_key(|(key, down_ms)| (std::cmp::Reverse(*down_ms), *key));
        down
    }

    fn wait_event(
        &self,
        key: &TaskKey,
        down_ms: u64,
        total: usize,
        now: u64,
    ) -> Option<SchedulerEvent> {
        let job = self.jobs.get(&key.job)?;
        let (spec, task) = (job.spec(key)?, job.task(key)?);
        let (reason, since_ms) = match task.live.last() {
            Some(live) => (self.run_wait_reason(key, live, now), live.phase_since_ms),
            None => (self.placement_wait_reason(key, job, spec, task, now), task.waiting_since_ms),
        };
        Some(SchedulerEvent::ServiceAway {
            task: *key,
            run: task.run,
            worker: task.live.last().map(|live| live.worker.clone()),
            reason,
            away_ms: down_ms,
            open_tries: task.live.last().map_or(0, |live| live.open_tries),
            waits_ms: now.saturating_sub(since_ms.max(self.waits.opened_ms)),
            losses: task.losses,
            all: total,
        })
    }

    /// What a placed run waits for.
    pub(crate) fn run_wait_reason(&self, key: &TaskKey, live: &LiveRun, now: u64) -> &'static str {
        let Some(worker) = self.workers.get(&live.worker) else { return "its worker is not known" };
        if worker.silent_since_ms.is_some() && live.phase != RunPhase::Planned {
            return "its worker does not answer";
        }
        match live.phase {
            RunPhase::Planned => "its record is not on the log",
            RunPhase::Starting if live.open_tries > 0 => "its start is under way",
            RunPhase::Starting if !self.is_confirmed(now) => "the leadership is not confirmed",
            RunPhase::Starting if !self.is_job_view_fresh(now) => "the job log is read too late",
            RunPhase::Starting if !self.is_capacity_view_fresh(&worker.entry.service, now) => {
                "rooms of workers are read too late"
            }
            RunPhase::Starting if live.is_in_doubt => "its start is in doubt",
            RunPhase::Starting if !worker.may_start_now(&(*key, live.run), live.phase_since_ms) => {
                "its worker must answer before a probation"
            }
            RunPhase::Starting if now < live.retry_ms => "its start is sent again later",
            RunPhase::Starting => "its start is not sent",
            RunPhase::Running => "it is not at full work",
            RunPhase::Inherited => "its worker has not confirmed it",
            RunPhase::Stopping => "its stop is not confirmed",
        }
    }

    /// Why a task is not placed.
    pub(crate) fn placement_wait_reason(
        &self,
        key: &TaskKey,
        job: &JobRun,
        spec: &StepSpec,
        task: &TaskRun,
        now: u64,
    ) -> &'static str {
        let Some(queue) = self.queue_of(job) else { return "its queue is not known" };
        let service = &queue.service;
        let sizes = self.pool_sizes();
        let pool = PoolView {
            service,
            vms: sizes.get(service).copied().unwrap_or_default(),
            is_for_service: spec.is_service,
        };
        let permits = self.permits.get(&key.step_key());
        let has_permits = queue.permits.is_none()
            || permits
                .is_some_and(|permits| !permits.allowed.is_empty() && now < permits.expires_ms);
        if task.losses.is_exhausted() {
            return "it has lost too many workers";
        }
        if now < task.not_before_ms {
            return "a pause after its last run";
        }
        if self.losses.has_to_wait(key, task, &pool, now) {
            return "on trial until its pool is calm";
        }
        if !self.is_job_view_fresh(now) {
            return "the job log is read too late";
        }
        if !self.is_capacity_view_fresh(service, now) {
            return "rooms of workers are read too late";
        }
        if !has_permits {
            return "no permits";
        }
        if !self.has_start_slot() {
            return "too many starts are under way";
        }
        if !self.may_start_under_cap(key, &spec.need) {
            return "the cap of its organisation";
        }
        if self.isolation_rules(key, service, spec, now).is_empty() {
            return "no worker is left for a probation";
        }
        self.capacity_wait_reason(key, spec, service, now)
    }

    /// Why no worker takes a task that may start.
    fn capacity_wait_reason(
        &self,
        key: &TaskKey,
        spec: &StepSpec,
        service: &Arc<str>,
        now: u64,
    ) -> &'static str {
        let (runs_by_worker, runs_by_rack) = self.sibling_counts(&key.step_key());
        let allowed = self.permits.get(&key.step_key()).map(|permits| &permits.allowed);
        let permitted: Option<Vec<Arc<str>>> = allowed
            .filter(|allowed| !allowed.is_empty())
            .map(|allowed| allowed.keys().cloned().collect());
        let rules = self.isolation_rules(key, service, spec, now);
        let avoided = self.avoided_now(key, spec, service, now);
        let query = PlaceQuery {
            spec,
            runs_by_worker: &runs_by_worker,
            runs_by_rack: &runs_by_rack,
            avoided: &avoided,
            permitted: permitted.as_deref(),
            rack: None,
            isolation: rules.last().copied().unwrap_or(IsolationRule::Normal),
        };
        let waited_ms = self.waited_ms(key, now);
        if self.find_worker(service, &query, waited_ms, now).is_some() {
            return "its turn";
        }
        let query = PlaceQuery { avoided: &[], ..query };
        if self.find_worker(service, &query, waited_ms, now).is_some() {
            return "only workers that it avoids have room";
        }
        let query = PlaceQuery { isolation: IsolationRule::Unrestricted, ..query };
        if self.probation_job(key).is_some()
            && self.find_worker(service, &query, waited_ms, now).is_some()
        {
            return "no worker with room takes a probation";
        }
        match self.workers.pool(service).any(|(_, worker)| worker.may_take_starts(now)) {
            true => "no worker has room",
            false => "no worker of its pool takes starts",
        }
    }
}

/// Whether downtime of a step's tasks is logged: they should be serving until they are cancelled.
fn is_logged(spec: &StepSpec) -> bool {
    spec.is_service && !spec.is_best_effort
}
