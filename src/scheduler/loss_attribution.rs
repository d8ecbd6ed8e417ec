//! Counts lost workers against the tasks that ran on them, and gives up the tasks that crash them;
//! see [`crate::scheduler::losses`] for the rules.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::jobs::model::{JobId, JobState, TaskKey};
use crate::jobs::record::LossCount;
use crate::scheduler::job::RunPhase;
use crate::scheduler::losses::{
    AffectedRun, GIVE_UP_DELAY_MS, GiveUpCause, LOSSES_AT_START_MAX, PendingGiveUp,
};
use crate::scheduler::worker::{PlacedRun, WorkerState};
use crate::scheduler::{Scheduler, SchedulerEvent};

impl Scheduler {
    /// Counts lost workers against their tasks. This comes before their runs are removed, so that
    /// one log record holds both.
    ///
    /// Losses that become known together are weighed together: the first worker of a rack must not
    /// be assessed as if the others were still up.
    pub(crate) fn count_worker_losses(&mut self, lost: &[WorkerState], now: u64) {
        let mut losses_found = Vec::with_capacity(lost.len());
        for worker in lost {
            let affected = self.affected_runs(worker, now);
            let is_steady = !self.losses.has_recent_loss(worker.entry.address, now);
            let suspect = if is_steady { self.sole_suspect(&affected) } else { None };
            losses_found.push((worker, affected, suspect));
        }
        for (worker, affected, _) in &losses_found {
            self.losses.insert(&worker.entry, affected, now);
        }
        // Once a cause is found, losses of other tasks are reverted, so it comes before the
        // decisions on those.
        for (worker, _, suspect) in &losses_found {
            if let Some(task) = suspect {
                self.defer_give_up(GiveUpCause::SoleSuspect, *task, worker, now);
            }
        }
        for (worker, affected, _) in &losses_found {
            self.count_losses(affected, worker, now);
        }
        let services = lost.iter().map(|worker| worker.entry.service.clone()).collect();
        self.log_losses(services, now);
    }

    /// Clears a task that has survived a start: the losses at its earlier starts may be the pool's
    /// own trouble.
    pub(crate) fn clear_suspect(&mut self, task: &TaskKey, now: u64) {
        let services = self.losses.clear_suspect(task);
        self.log_losses(services, now);
    }

    /// Logs the losses of these services' pools for the next leader, where a task may come to be on
    /// trial.
    fn log_losses(&mut self, services: BTreeSet<Arc<str>>, now: u64) {
        if services.is_empty() {
            return;
        }
        let logged_jobs = self.losses.logged_jobs().iter().filter_map(|job| self.jobs.get(job));
        let affected_services: BTreeSet<Arc<str>> =
            logged_jobs.map(|job| self.service_of(job)).collect();
        for service in services.into_iter().filter(|service| affected_services.contains(service)) {
            let record = self.losses.logged_losses(&service, now, self.wall_ms);
            self.commits.queue_losses(service, record);
        }
    }

    /// Counts a worker that stays silent until its leases have run out. It may only be cut off, so
    /// its loss identifies no task. Returns the counted runs, and whether each was at its start.
    pub(crate) fn count_silent_worker(
        &mut self,
        worker: &WorkerState,
        now: u64,
    ) -> BTreeMap<(TaskKey, u32), bool> {
        let affected = self.affected_runs(worker, now);
        self.count_losses(&affected, worker, now);
        let counted = affected.iter().filter(|run| !run.is_exempt());
        counted.map(|run| ((run.task, run.run), run.is_at_start())).collect()
    }

    /// Reverts the counted losses of a worker that answers in the same incarnation: it was not
    /// lost.
    pub(crate) fn revert_counted_losses(&mut self, id: &str) {
        for ((task, _), is_at_start) in self.abandoned.take_counted(id) {
            self.revert_loss(&task, is_at_start);
        }
    }

    /// Gives up the tasks whose decisions have waited long enough for other losses to become known.
    pub(crate) fn give_up_due_jobs(&mut self, now: u64) {
        while let Some(pending) = self.losses.take_due_give_up(now) {
            match pending.cause {
                GiveUpCause::SoleSuspect => {
                    let (job, lost_ms) = (pending.task.job, pending.lost_ms);
                    if !self.losses.is_correlated_failure(job, &pending.entry, lost_ms) {
                        self.revert_neighbour_losses(job, &pending.entry.id);
                        self.give_up(&pending.task, "it was tried on probation", now);
                    }
                }
                GiveUpCause::LossLimit if self.is_exhausted(&pending.task) => {
                    self.give_up(&pending.task, "it has lost too many workers", now);
                }
                GiveUpCause::LossLimit => {}
            }
        }
    }

    /// Reverts the losses of neighbours of a job that crashes workers as it starts, for each worker
    /// lost that way. Otherwise the same few neighbours of such jobs would reach the limit for all
    /// causes.
    fn revert_neighbour_losses(&mut self, job: JobId, crashed_worker: &str) {
        for cleared in self.losses.attribute_to(job, crashed_worker) {
            self.revert_loss(&cleared.task, cleared.is_at_start);
        }
    }

    /// Runs whose start may have reached the worker. A start that still waits to be sent, since the
    /// worker had stopped answering before, was not involved: the worker was already gone.
    fn affected_runs(&self, worker: &WorkerState, now: u64) -> Vec<AffectedRun> {
        let is_lagging = self.is_lagging(now);
        let affected_run = |((task, run), placed): (&(TaskKey, u32), &PlacedRun)| {
            let live_runs = &self.jobs.get(&task.job)?.task(task)?.live;
            let live = live_runs.iter().find(|live| live.run == *run)?;
            let is_waiting = match live.phase {
                RunPhase::Planned => true,
                RunPhase::Starting => !live.is_sent,
                RunPhase::Running | RunPhase::Inherited | RunPhase::Stopping => false,
            };
            let is_age_unknown = is_lagging || live.phase == RunPhase::Inherited;
            let run = AffectedRun { task: *task, run: *run, placed: *placed, is_age_unknown };
            (!is_waiting).then_some(run)
        };
        worker.runs.iter().filter_map(affected_run).collect()
    }

    /// The task that must have crashed its worker, if nothing else did: only its job was just
    /// starting there, and it has lost enough workers that way before.
    fn sole_suspect(&self, affected: &[AffectedRun]) -> Option<TaskKey> {
        let candidates: Vec<&AffectedRun> =
            affected.iter().filter(|run| run.may_be_cause()).collect();
        let job = candidates.first()?.task.job;
        if candidates.iter().any(|run| run.task.job != job) {
            return None;
        }
        let is_identified = |run: &&&AffectedRun| {
            run.is_at_start() && self.loss_count(&run.task).at_start + 1 >= LOSSES_AT_START_MAX
        };
        candidates.iter().find(is_identified).map(|run| run.task)
    }

    /// Whether the task has lost as many workers as it may: it must not start again.
    pub(crate) fn is_exhausted(&self, key: &TaskKey) -> bool {
        self.loss_count(key).is_exhausted()
    }

    fn count_losses(&mut self, affected: &[AffectedRun], worker: &WorkerState, now: u64) {
        for run in affected.iter().filter(|run| !run.is_exempt()) {
            let Some(job) = self.jobs.get_mut(&run.task.job) else { continue };
            let Some(task) = job.task_mut(&run.task) else { continue };
            let live = task.live.iter_mut().find(|live| live.run == run.run);
            // A start that is carried over to the next incarnation of its worker can be lost once
            // more.
            if live.is_some_and(|live| std::mem::replace(&mut live.is_loss_counted, true)) {
                continue;
            }
            task.losses.add(run.is_at_start());
            let (losses, is_over) = (task.losses, task.losses.is_exhausted());
            self.losses.track_losses(run.task.job, &losses);
            self.commits.mark_changed(run.task.job);
            if losses.is_on_trial() && !is_over {
                self.emit(SchedulerEvent::OnTrial { task: run.task, lost: losses.total });
            }
            if is_over {
                self.defer_give_up(GiveUpCause::LossLimit, run.task, worker, now);
            }
        }
    }

    fn revert_loss(&mut self, key: &TaskKey, is_at_start: bool) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(task) = job.task_mut(key) else { return };
        task.losses.revert(is_at_start);
        self.commits.mark_changed(key.job);
    }

    /// Holds the task back until the decision.
    fn defer_give_up(&mut self, cause: GiveUpCause, key: TaskKey, worker: &WorkerState, now: u64) {
        let task = self.jobs.get_mut(&key.job).and_then(|job| job.task_mut(&key));
        if let Some(task) = task {
            task.not_before_ms = now + GIVE_UP_DELAY_MS;
        }
        let entry = worker.entry.clone();
        self.losses.defer_give_up(PendingGiveUp { cause, task: key, lost_ms: now, entry });
    }

    /// Gives up the job of a task that crashes its workers; callers see at once that it has failed.
    pub(crate) fn give_up(&mut self, key: &TaskKey, reason: &'static str, now: u64) {
        let is_open = self.jobs.get(&key.job).is_some_and(|job| !job.state.is_final());
        if !is_open {
            return;
        }
        let lost = self.loss_count(key).total;
        self.emit(SchedulerEvent::GivenUp { task: *key, lost, reason });
        self.finish_job(key.job, JobState::Failed, now);
    }

    /// Workers lost under a task.
    pub(crate) fn loss_count(&self, key: &TaskKey) -> LossCount {
        let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
        task.map(|task| task.losses).unwrap_or_default()
    }

    /// Listed workers by pool; empty where no task can be on trial.
    pub(crate) fn pool_sizes(&self) -> HashMap<&Arc<str>, usize> {
        let pools = self.workers.pool_names();
        match self.losses.logged_jobs().is_empty() {
            true => HashMap::new(),
            false => pools.map(|pool| (pool, self.pool_size_on_trial(pool))).collect(),
        }
    }

    /// Number of listed workers of a pool; 0 where no task can be on trial.
    pub(crate) fn pool_size_on_trial(&self, pool: &str) -> usize {
        match self.losses.logged_jobs().is_empty() {
            true => 0,
            false => self.workers.pool(pool).filter(|(_, worker)| worker.is_listed).count(),
        }
    }

    /// Job of a task that has to start on probation.
    pub(crate) fn probation_job(&self, key: &TaskKey) -> Option<JobId> {
        (self.loss_count(key).probation_ms() > 0).then_some(key.job)
    }

    /// Whether a suspect may put one more worker of a pool at risk: half of them stay available to
    /// other tasks.
    pub(crate) fn has_probation_capacity(&self, service: &Arc<str>, now: u64) -> bool {
        let (mut all, mut at_risk) = (0, 0);
        for (_, worker) in self.workers.pool(service) {
            all += usize::from(worker.is_available(now));
            at_risk += usize::from(worker.has_probation());
        }
        at_risk * 2 < all.max(1)
    }
}
