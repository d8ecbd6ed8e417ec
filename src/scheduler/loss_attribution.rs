//! Counts lost workers against the tasks that ran there, and gives up those that crash them; see
//! [`crate::scheduler::losses`] for what speaks for and against a task.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::jobs::model::{JobId, JobState, TaskKey};
use crate::jobs::record::LossCount;
use crate::scheduler::job::RunPhase;
use crate::scheduler::losses::{
    ExposedRun, LOSSES_AT_START_MAX, PendingVerdict, VERDICT_MS, VerdictCause,
};
use crate::scheduler::worker::{PlacedRun, WorkerState};
use crate::scheduler::{Scheduler, SchedulerEvent};

impl Scheduler {
    /// Counts lost workers against what they ran. Before the runs are taken off the books: one record tells
    /// both.
    ///
    /// What is learned of together is weighed together: the first worker of a rack must not be judged as if
    /// the others had not gone.
    pub(crate) fn blame_runs(&mut self, lost: &[WorkerState], now: u64) {
        let mut cases = Vec::with_capacity(lost.len());
        for worker in lost {
            let exposed = self.exposed_runs(worker, now);
            let is_steady = !self.losses.has_recent_loss(worker.entry.address, now);
            let named = if is_steady { self.named_task(&exposed) } else { None };
            cases.push((worker, exposed, named));
        }
        for (worker, exposed, _) in &cases {
            self.losses.insert(&worker.entry, exposed, now);
        }
        // A conviction clears others, so it comes before their own verdicts.
        for (worker, _, named) in &cases {
            if let Some(task) = named {
                self.defer_verdict(VerdictCause::Named, *task, worker, now);
            }
        }
        for (worker, exposed, _) in &cases {
            self.count_losses(exposed, worker, now);
        }
        let services = lost.iter().map(|worker| worker.entry.service.clone()).collect();
        self.record_losses(services, now);
    }

    /// A task has outlived a start: what was lost at its earlier ones may be the pool's own trouble.
    pub(crate) fn exonerate(&mut self, task: &TaskKey, now: u64) {
        let services = self.losses.exonerate(task);
        self.record_losses(services, now);
    }

    /// Tells the next leader what was lost in these services' pools, where a task may come to be on trial.
    fn record_losses(&mut self, services: BTreeSet<Arc<str>>, now: u64) {
        if services.is_empty() {
            return;
        }
        let near = self.losses.recorded().iter().filter_map(|job| self.jobs.get(job));
        let concerned: BTreeSet<Arc<str>> = near.map(|job| self.service_of(job)).collect();
        for service in services.into_iter().filter(|service| concerned.contains(service)) {
            let record = self.losses.record(&service, now, self.wall_ms);
            self.commits.queue_losses(service, record);
        }
    }

    /// Counts a worker that stays silent until its leases have run out. It may only be cut off, so it
    /// names nobody; the runs that were counted, and whether at their start.
    pub(crate) fn blame_silent(
        &mut self,
        worker: &WorkerState,
        now: u64,
    ) -> BTreeMap<(TaskKey, u32), bool> {
        let exposed = self.exposed_runs(worker, now);
        self.count_losses(&exposed, worker, now);
        let counted = exposed.iter().filter(|run| !run.is_clear());
        counted.map(|run| ((run.task, run.run), run.is_at_start())).collect()
    }

    /// The worker answers in the same life: it was not lost.
    pub(crate) fn forgive_runs(&mut self, id: &str) {
        for ((task, _), is_at_start) in self.abandoned.take_counted(id) {
            self.take_back_loss(&task, is_at_start);
        }
    }

    /// Gives the verdicts that have waited for the news of other workers.
    pub(crate) fn give_up_due_jobs(&mut self, now: u64) {
        while let Some(verdict) = self.losses.due_verdict(now) {
            match verdict.cause {
                VerdictCause::Named => {
                    let (job, lost_ms) = (verdict.task.job, verdict.lost_ms);
                    if !self.losses.is_larger_failure(job, &verdict.entry, lost_ms) {
                        self.clear_neighbours(job, &verdict.entry.id);
                        self.give_up(&verdict.task, "it was tried on probation", now);
                    }
                }
                VerdictCause::Exhausted if self.is_exhausted(&verdict.task) => {
                    self.give_up(&verdict.task, "it has lost too many workers", now);
                }
                VerdictCause::Exhausted => {}
            }
        }
    }

    /// Clears what a job that crashes workers as it starts took along, of each worker that was lost so. Left counted,
    /// the same few neighbours of such jobs would reach the bound for every reason.
    fn clear_neighbours(&mut self, job: JobId, convicted: &str) {
        for cleared in self.losses.explain(job, convicted) {
            self.take_back_loss(&cleared.task, cleared.is_at_start);
        }
    }

    /// Runs whose start may have reached the worker. One that waits to be sent, as the worker did not answer
    /// before it, tells that it was gone already.
    fn exposed_runs(&self, worker: &WorkerState, now: u64) -> Vec<ExposedRun> {
        let is_lagging = self.is_lagging(now);
        let expose = |((task, run), booked): (&(TaskKey, u32), &PlacedRun)| {
            let lives = &self.jobs.get(&task.job)?.task(task)?.live;
            let live = lives.iter().find(|live| live.run == *run)?;
            let is_waiting = match live.phase {
                RunPhase::Planned => true,
                RunPhase::Starting => !live.is_sent,
                RunPhase::Running | RunPhase::Inherited | RunPhase::Stopping => false,
            };
            let is_unknown = is_lagging || live.phase == RunPhase::Inherited;
            let run = ExposedRun { task: *task, run: *run, booked: *booked, is_unknown };
            (!is_waiting).then_some(run)
        };
        worker.runs.iter().filter_map(expose).collect()
    }

    /// The task that must have crashed its worker, if nothing else did: only its job was just starting there,
    /// and it has lost as many workers so before.
    fn named_task(&self, exposed: &[ExposedRun]) -> Option<TaskKey> {
        let starting: Vec<&ExposedRun> = exposed.iter().filter(|run| run.is_starting()).collect();
        let job = starting.first()?.task.job;
        if starting.iter().any(|run| run.task.job != job) {
            return None;
        }
        let is_named = |run: &&&ExposedRun| {
            run.is_at_start() && self.loss_count(&run.task).at_start + 1 >= LOSSES_AT_START_MAX
        };
        starting.iter().find(is_named).map(|run| run.task)
    }

    /// Whether the task has lost as many workers as it may: it must not start again.
    pub(crate) fn is_exhausted(&self, key: &TaskKey) -> bool {
        self.loss_count(key).is_exhausted()
    }

    fn count_losses(&mut self, exposed: &[ExposedRun], worker: &WorkerState, now: u64) {
        for run in exposed.iter().filter(|run| !run.is_clear()) {
            let Some(job) = self.jobs.get_mut(&run.task.job) else { continue };
            let Some(task) = job.task_mut(&run.task) else { continue };
            let live = task.live.iter_mut().find(|live| live.run == run.run);
            // Carried over to the next life of its worker, the same start can be lost again.
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
                self.defer_verdict(VerdictCause::Exhausted, run.task, worker, now);
            }
        }
    }

    fn take_back_loss(&mut self, key: &TaskKey, is_at_start: bool) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(task) = job.task_mut(key) else { return };
        task.losses.take_back(is_at_start);
        self.commits.mark_changed(key.job);
    }

    /// Holds the task back until its verdict.
    fn defer_verdict(&mut self, cause: VerdictCause, key: TaskKey, worker: &WorkerState, now: u64) {
        let task = self.jobs.get_mut(&key.job).and_then(|job| job.task_mut(&key));
        if let Some(task) = task {
            task.not_before_ms = now + VERDICT_MS;
        }
        let entry = worker.entry.clone();
        self.losses.defer(PendingVerdict { cause, task: key, lost_ms: now, entry });
    }

    /// Gives up the job of a task that crashes its workers; callers are told at once that it has failed.
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

    /// Workers that are listed of each pool; nothing where no task can be on trial.
    pub(crate) fn pool_sizes(&self) -> HashMap<&Arc<str>, usize> {
        let mut sizes = HashMap::new();
        if self.losses.recorded().is_empty() {
            return sizes;
        }
        for worker in self.workers.values().filter(|worker| worker.is_listed) {
            *sizes.entry(&worker.entry.service).or_default() += 1;
        }
        sizes
    }

    /// Job of a task that must be tried on probation.
    pub(crate) fn probation_job(&self, key: &TaskKey) -> Option<JobId> {
        (self.loss_count(key).probation_ms() > 0).then_some(key.job)
    }

    /// Whether one more worker of a pool may be put at risk by a suspect: half of them stay for the rest.
    pub(crate) fn has_probation_capacity(&self, service: &Arc<str>, now: u64) -> bool {
        let (mut all, mut at_risk) = (0, 0);
        for worker in self.workers.values().filter(|worker| worker.entry.service == *service) {
            all += usize::from(worker.is_available(now));
            at_risk += usize::from(worker.has_probation());
        }
        at_risk * 2 < all.max(1)
    }
}
