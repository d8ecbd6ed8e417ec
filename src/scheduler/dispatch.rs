//! Places ready tasks on workers with free capacity.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::jobs::model::{ResourceVector, StepKey, StepSpec, TaskKey};
use crate::scheduler::job::TaskRun;
use crate::scheduler::losses::PoolView;
use crate::scheduler::rank::{JobRank, RankTier, rank};
use crate::scheduler::worker::{IsolationRule, WorkerState};
use crate::scheduler::{Scheduler, SchedulerAction, SchedulerEvent};

/// Most workers named in one permit request; the platform allows no more.
const PERMIT_WORKERS_MAX: usize = 100;
/// Time after which an unanswered permit request is sent again, in milliseconds.
const PERMIT_RETRY_MS: u64 = 4_000;
/// Permits that expire within this time are not used, in milliseconds: a start takes a while.
const PERMIT_SLACK_MS: u64 = 300;

/// A step with tasks to place.
#[derive(Clone, Debug)]
pub(crate) struct ReadyStep {
    pub rank: JobRank,
    pub key: StepKey,
    pub service: Arc<str>,
    pub waiting: Vec<TaskKey>,
}

/// Requirements of a task on its worker, beside capacity.
#[derive(Clone)]
pub(crate) struct PlaceQuery<'a> {
    pub spec: &'a StepSpec,
    /// Runs of the step by worker.
    pub runs_by_worker: &'a BTreeMap<Arc<str>, u32>,
    /// Runs of the step by rack.
    pub runs_by_rack: &'a BTreeMap<Arc<str>, u32>,
    /// Workers on which the task should not start.
    pub avoided: &'a [Arc<str>],
    /// Workers that may run the step; `None` for all.
    pub permitted: Option<Vec<Arc<str>>>,
    /// Rack that the worker must be in.
    pub rack: Option<&'a str>,
    /// How far the start must keep apart from suspects.
    pub isolation: IsolationRule,
}

impl Scheduler {
    /// Places all ready tasks, best rank first.
    pub(crate) fn dispatch(&mut self, now: u64) {
        if !self.is_job_view_fresh(now) {
            if !std::mem::replace(&mut self.is_view_stale, true) {
                self.emit(SchedulerEvent::ViewStale { view_ms: self.view_age_ms(now) });
            }
            return;
        }
        self.clear_claims();
        let largest_free = self.largest_free(now);
        let mut ready = self.ready_steps(&largest_free, now);
        ready.sort_by_key(|step| (step.rank, step.key));
        // Smallest request that each pool has refused. Larger ones are skipped without a search.
        let mut least_refused: BTreeMap<Arc<str>, ResourceVector> = BTreeMap::new();
        for step in ready {
            if !self.has_start_slot() {
                break;
            }
            let submission = self.jobs.get(&step.key.job).map(|job| job.submission.clone());
            let Some(submission) = submission else { continue };
            let spec = &submission.spec.steps[usize::from(step.key.step)];
            if !self.is_capacity_view_fresh(&step.service, now) {
                continue;
            }
            let reservation = spec.reservation();
            let is_refused =
                least_refused.get(&step.service).is_some_and(|least| reservation.covers(least));
            if is_refused && !may_preempt(spec) {
                continue;
            }
            let is_placed = if spec.is_gang {
                self.place_gang(&step, spec, now)
            } else {
                self.place_tasks(&step, spec, now)
            };
            if !is_placed && is_unconstrained(spec) {
                least_refused.insert(step.service.clone(), reservation);
            }
        }
        if std::mem::take(&mut self.is_copy_check_due) {
            self.place_copies(now);
        }
        self.clear_claims();
        self.is_start_queue_full = !self.has_start_slot();
    }

    /// Whether starts were held back and a quarter of the allowed number has gone out since.
    /// Ranking all waiting tasks for every single start would cost too much.
    pub(crate) fn may_place_again(&self) -> bool {
        let Some(most) = self.pace.starts_max else { return self.is_start_queue_full };
        self.is_start_queue_full && self.open_starts() * 4 <= most * 3
    }

    /// Whether one more start could be sent soon. A task that is placed earlier than that takes
    /// capacity from tasks that are more urgent by then, and its lease runs from the moment of
    /// placement.
    pub(crate) fn has_start_slot(&self) -> bool {
        self.pace.starts_max.is_none_or(|most| self.open_starts() < most)
    }

    pub(crate) fn step_spec(&self, key: &StepKey) -> Option<StepSpec> {
        let job = self.jobs.get(&key.job)?;
        job.submission.spec.steps.get(usize::from(key.step)).cloned()
    }

    /// For each pool and resource, the most that any one of its workers has free. A request that
    /// exceeds it fits on no worker, which saves most searches in a burst.
    fn largest_free(&self, now: u64) -> HashMap<Arc<str>, ResourceVector> {
        let mut largest_free: HashMap<Arc<str>, ResourceVector> = HashMap::new();
        for worker in self.workers.values().filter(|worker| worker.is_available(now)) {
            let free = worker.free();
            match largest_free.get_mut(&worker.entry.service) {
                Some(largest) => *largest = largest.component_max(&free),
                None => {
                    largest_free.insert(worker.entry.service.clone(), free);
                }
            }
        }
        largest_free
    }

    /// Steps with waiting tasks that may find a worker.
    fn ready_steps(
        &self,
        largest_free: &HashMap<Arc<str>, ResourceVector>,
        now: u64,
    ) -> Vec<ReadyStep> {
        let mut ready = Vec::new();
        let sizes = self.pool_sizes();
        for job in self.jobs.values().filter(|job| !job.state.is_final() && job.has_ready_step()) {
            let Some(queue) = self.queue_of(job) else { continue };
            let largest = largest_free.get(&queue.service).copied().unwrap_or_default();
            for (occurrence, run) in &job.occurrences {
                let mut cached_rank = None;
                for (position, (spec, step)) in
                    job.submission.spec.steps.iter().zip(&run.steps).enumerate()
                {
                    let counts = step.counts();
                    if counts.waiting == 0 || !run.may_begin(spec) {
                        continue;
                    }
                    if !may_preempt(spec) && !largest.covers(&spec.reservation()) {
                        continue;
                    }
                    let key = |index: usize| job.key(*occurrence, position, index);
                    let may_start = |(index, task): &(usize, &TaskRun)| {
                        if task.is_done || task.has_live_run() {
                            return false;
                        }
                        if task.not_before_ms > now || task.losses.is_exhausted() {
                            return false;
                        }
                        // Most tasks have lost no worker, and such a task never waits for its pool.
                        if !task.losses.is_on_trial() {
                            return true;
                        }
                        let pool = PoolView {
                            service: &queue.service,
                            vms: sizes.get(&queue.service).copied().unwrap_or_default(),
                            is_for_service: spec.is_service,
                        };
                        !self.losses.has_to_wait(&key(*index), task, &pool, now)
                    };
                    // Most steps have not begun, and their tasks are not looked at one by one.
                    let is_free = counts.startable_ms <= now && !counts.has_losses;
                    let mut waiting = Vec::with_capacity(counts.waiting);
                    if is_free && counts.waiting == step.tasks.len() {
                        waiting.extend((0..step.tasks.len()).map(key));
                    } else {
                        let startable = step.tasks.iter().enumerate().filter(may_start);
                        waiting.extend(startable.map(|(index, _)| key(index)));
                    }
                    let Some(first) = waiting.first() else { continue };
                    let key = first.step_key();
                    let rank = *cached_rank.get_or_insert_with(|| {
                        let due = self.due_ms(job, *occurrence, now);
                        rank(job, queue, run, &self.runtime_model(queue), due, now)
                    });
                    ready.push(ReadyStep { rank, key, service: queue.service.clone(), waiting });
                }
            }
        }
        ready
    }

    /// When an occurrence was due, by the steady clock.
    pub(crate) fn due_ms(
        &self,
        job: &crate::scheduler::job::JobRun,
        occurrence: u32,
        now: u64,
    ) -> u64 {
        match job.submission.spec.due_ms(occurrence) {
            0 => job.arrived_ms,
            due => now.saturating_sub(self.wall_ms.saturating_sub(due)),
        }
    }

    /// Places the waiting tasks of a step; returns false if one found no capacity.
    fn place_tasks(&mut self, step: &ReadyStep, spec: &StepSpec, now: u64) -> bool {
        let Some(permitted) = self.permitted(step, now) else { return true };
        let (mut runs_by_worker, mut runs_by_rack) = self.relevant_sibling_counts(spec, &step.key);
        // Tasks to be placed once the runs preempted for them have ended.
        let mut preempting = 0;
        for key in &step.waiting {
            // The organisation's cap holds back its other tasks as well, but nobody else's.
            if !self.has_start_slot()
                || !self.may_start_under_cap(key, &spec.need.times(preempting + 1))
            {
                return preempting == 0;
            }
            let waited = self.waited_ms(key, now);
            let rules = self.isolation_rules(key, &step.service, spec, now);
            // A suspect that has to wait does not mean that the pool is full.
            let Some(last) = rules.last().copied() else { continue };
            let avoided = self.avoided_now(key, spec, &step.service, now);
            let is_preemptor = may_preempt(spec);
            let query = PlaceQuery {
                spec,
                runs_by_worker: &runs_by_worker,
                runs_by_rack: &runs_by_rack,
                avoided: &avoided,
                permitted: permitted.clone(),
                rack: None,
                isolation: last,
            };
            let mut found = self.find_isolated_worker(&step.service, &query, &rules, waited, now);
            if found.is_none()
                && is_preemptor
                && let Some(claimed) = self.preempt_for(&step.service, &query, step.rank, now)
            {
                // Nothing else may start beside a suspect, so no other task can use the capacity
                // there.
                if self.probation_job(key).is_some() && !last.is_shared() {
                    return false;
                }
                preempting += 1;
                *runs_by_worker.entry(claimed).or_insert(0) += 1;
                continue;
            }
            let is_waiting = self.may_keep_waiting(key, spec, now)
                && self.has_other_available(&step.service, &avoided, now);
            if found.is_none() && !avoided.is_empty() && !is_waiting {
                let query = PlaceQuery { avoided: &[], ..query };
                found = self.find_isolated_worker(&step.service, &query, &rules, waited, now);
            }
            let Some((worker, isolation)) = found else {
                if self.probation_job(key).is_some() {
                    continue;
                }
                return false;
            };
            let run = self.next_run(key);
            self.plan_isolated_run(isolation, key, run, &worker, now);
            if let Some(host) = self.workers.get(&worker) {
                *runs_by_rack.entry(host.entry.rack().into()).or_insert(0) += 1;
            }
            *runs_by_worker.entry(worker).or_insert(0) += 1;
        }
        preempting == 0
    }

    /// Whether a pool has available workers other than `avoided`.
    fn has_other_available(&self, service: &str, avoided: &[Arc<str>], now: u64) -> bool {
        let is_other = |id: &Arc<str>| !avoided.contains(id);
        self.workers.iter().any(|(id, worker)| {
            &*worker.entry.service == service && worker.is_available(now) && is_other(id)
        })
    }

    /// Whether a task would rather wait than start on a VM that lost a worker recently.
    fn may_keep_waiting(&self, key: &TaskKey, spec: &StepSpec, now: u64) -> bool {
        let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
        task.is_some_and(|task| self.losses.may_keep_waiting(task, spec.is_service, now))
    }

    /// Whether the cap of a task's organisation lets it start with this need.
    pub(crate) fn may_start_under_cap(&self, key: &TaskKey, need: &ResourceVector) -> bool {
        let organisation =
            self.jobs.get(&key.job).and_then(|job| job.submission.organisation.as_ref());
        self.organisations.may_start(organisation, need)
    }

    pub(crate) fn next_run(&self, key: &TaskKey) -> u32 {
        self.jobs.get(&key.job).and_then(|job| job.task(key)).map_or(1, |task| task.run + 1)
    }

    pub(crate) fn waited_ms(&self, key: &TaskKey, now: u64) -> u64 {
        let Some(job) = self.jobs.get(&key.job) else { return 0 };
        let since = job.task(key).map_or(0, |task| task.waiting_since_ms).max(job.arrived_ms);
        now.saturating_sub(since)
    }

    pub(crate) fn avoided(&self, key: &TaskKey) -> Vec<Arc<str>> {
        let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
        task.map(|task| task.failed_on.clone()).unwrap_or_default()
    }

    /// The same, and workers of the pool that the task should avoid for now: on VMs that lost a
    /// worker recently, and on VMs due for maintenance.
    pub(crate) fn avoided_now(
        &self,
        key: &TaskKey,
        spec: &StepSpec,
        service: &str,
        now: u64,
    ) -> Vec<Arc<str>> {
        let mut avoided = self.avoided(key);
        if self.loss_count(key).total > 0 {
            avoided.extend(self.recent_loss_workers(service, key, now));
        }
        if may_preempt(spec) && self.fleet.urgent_pools.contains(service) {
            avoided.extend(self.due_workers(service));
        }
        avoided
    }

    /// Workers of a pool whose VMs have lost another worker recently. A task that has lost workers
    /// would lose the next one as well to a VM that keeps going down and up.
    fn recent_loss_workers(&self, service: &str, key: &TaskKey, now: u64) -> Vec<Arc<str>> {
        let is_on_trial = self.loss_count(key).is_on_trial();
        let workers = self.workers.iter().filter(|(_, worker)| &*worker.entry.service == service);
        let has_recent_loss = |(_, worker): &(&Arc<str>, &WorkerState)| {
            let address = worker.entry.address;
            match is_on_trial {
                true => self.losses.has_unexplained_loss(address, now),
                false => self.losses.has_recent_loss(address, now),
            }
        };
        workers.filter(has_recent_loss).map(|(id, _)| id.clone()).collect()
    }

    /// Workers of a pool whose VMs are still to be maintained.
    fn due_workers(&self, service: &str) -> Vec<Arc<str>> {
        let workers = self.workers.iter().filter(|(_, worker)| &*worker.entry.service == service);
        workers.map(|(id, _)| id.clone()).filter(|id| self.fleet.is_due(id)).collect()
    }

    /// Runs of a step by worker and by rack, for steps whose placement depends on them; empty for
    /// others.
    fn relevant_sibling_counts(
        &self,
        spec: &StepSpec,
        key: &StepKey,
    ) -> (BTreeMap<Arc<str>, u32>, BTreeMap<Arc<str>, u32>) {
        match spec.per_worker_max > 0 || spec.is_best_effort {
            true => self.sibling_counts(key),
            false => (BTreeMap::new(), BTreeMap::new()),
        }
    }

    /// Runs of a step by worker and by rack.
    pub(crate) fn sibling_counts(
        &self,
        key: &StepKey,
    ) -> (BTreeMap<Arc<str>, u32>, BTreeMap<Arc<str>, u32>) {
        let (mut by_worker, mut by_rack) = (BTreeMap::new(), BTreeMap::new());
        let Some(job) = self.jobs.get(&key.job) else { return (by_worker, by_rack) };
        let Some(run) = job.occurrences.get(&key.occurrence) else { return (by_worker, by_rack) };
        let Some(step) = run.steps.get(usize::from(key.step)) else { return (by_worker, by_rack) };
        for live in step.tasks.iter().flat_map(|task| task.live.iter()) {
            *by_worker.entry(live.worker.clone()).or_insert(0) += 1;
            if let Some(worker) = self.workers.get(&live.worker) {
                *by_rack.entry(worker.entry.rack().into()).or_insert(0) += 1;
            }
        }
        (by_worker, by_rack)
    }

    /// Workers that may run a step: all if its queue needs no permits (`Some(None)`), `None` while
    /// a permit request is pending.
    pub(crate) fn permitted(
        &mut self,
        step: &ReadyStep,
        now: u64,
    ) -> Option<Option<Vec<Arc<str>>>> {
        let policy = self.jobs.get(&step.key.job).and_then(|job| self.queue_of(job)?.permits);
        if policy.is_none() {
            return Some(None);
        }
        let pool = self.pool_workers(&step.service);
        let permits = self.permits.entry(step.key).or_default();
        if !permits.allowed.is_empty() && now + PERMIT_SLACK_MS < permits.expires_ms {
            return Some(Some(permits.allowed.keys().cloned().collect()));
        }
        let is_requested = permits.requested_ms.is_some_and(|asked| now < asked + PERMIT_RETRY_MS);
        if !is_requested && !pool.is_empty() {
            permits.requested_ms = Some(now);
            let candidates = pool.into_iter().take(PERMIT_WORKERS_MAX).collect();
            self.actions.push(SchedulerAction::RequestPermits(step.key, candidates));
        }
        None
    }

    fn pool_workers(&self, service: &str) -> Vec<Arc<str>> {
        self.workers
            .iter()
            .filter(|(_, worker)| worker.is_listed && &*worker.entry.service == service)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// The worker that fits best, if any does.
    pub(crate) fn find_worker(
        &self,
        service: &str,
        query: &PlaceQuery<'_>,
        waited_ms: u64,
        now: u64,
    ) -> Option<Arc<str>> {
        let remote_ms = remote_cost_ms(query.spec, self.bounds.remote_factor);
        let reservation = query.spec.reservation();
        // The cheapest check goes first: in a burst few workers have free capacity.
        self.workers
            .iter()
            .filter(|(id, worker)| self.unclaimed(id, worker).covers(&reservation))
            .filter(|(_, worker)| &*worker.entry.service == service)
            .filter(|(_, worker)| worker.may_take(query.isolation, now))
            .filter(|(id, worker)| is_allowed(id, worker, query))
            .filter(|(_, worker)| {
                // Away from its data a task takes longer than a short wait for capacity near it.
                is_near(worker, query.spec) || waited_ms >= remote_ms
            })
            .min_by_key(|(_, worker)| {
                (worker.has_refused(now), self.placement_cost(worker, query, now))
            })
            .map(|(id, _)| id.clone())
    }

    /// Whether a service task that is moved would find another worker.
    ///
    /// Where services must leave VMs urgently, capacity that preemption could free counts too,
    /// since in a burst no capacity is free for as long as the burst lasts. If some worker there is
    /// not due for maintenance itself, only such workers count: a task that is moved on to the next
    /// VM of the wave uses up its budget again.
    pub(crate) fn may_fit_elsewhere(&self, key: &TaskKey, now: u64) -> bool {
        let Some(job) = self.jobs.get(&key.job) else { return false };
        let Some(spec) = job.spec(key) else { return false };
        let Some(queue) = self.queue_of(job) else { return false };
        let (runs_by_worker, runs_by_rack) = self.sibling_counts(&key.step_key());
        let query = PlaceQuery {
            spec,
            runs_by_worker: &runs_by_worker,
            runs_by_rack: &runs_by_rack,
            avoided: &[],
            permitted: None,
            rack: None,
            isolation: IsolationRule::Normal,
        };
        let service = self.service_of(job);
        let rank = JobRank { priority: queue.priority, tier: RankTier::Service, work: 0 };
        let hosts: Vec<(bool, &WorkerState)> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.entry.service == service && worker.may_take_starts(now))
            .filter(|(id, worker)| is_allowed(id, worker, &query))
            .map(|(id, worker)| (self.fleet.is_due(id), worker))
            .collect();
        let is_urgent = self.fleet.urgent_pools.contains(&service);
        let has_host_not_due = is_urgent && hosts.iter().any(|(is_due, _)| !is_due);
        hosts.iter().filter(|(is_due, _)| !(has_host_not_due && *is_due)).any(|(_, worker)| {
            worker.free().covers(&spec.reservation())
                || is_urgent && self.may_preempt_for(worker, spec, rank, now)
        })
    }

    /// Cost of placing the task on a worker, compared in order; the least is best.
    fn placement_cost(
        &self,
        worker: &WorkerState,
        query: &PlaceQuery<'_>,
        now: u64,
    ) -> (u64, u64, u64, u64) {
        let spec = query.spec;
        let is_far = u64::from(!is_near(worker, spec));
        let has_service = worker.runs.values().any(|run| run.is_service);
        let due = u64::from(self.fleet.is_due(&worker.entry.id));
        let rack = query.runs_by_rack.get(worker.entry.rack()).copied().unwrap_or(0);
        let used_share = worker.used().dominant_share_of(&worker.entry.capacity);
        let free_share = 1_000 - used_share.min(1_000);
        if query.isolation.is_near_suspect() {
            // Cost of losing the worker, services first: each has a disruption budget.
            let has_recent_loss = u64::from(self.losses.has_recent_loss(worker.entry.address, now));
            if query.isolation.is_shared() {
                let (losses, suspects) = worker.risk();
                let suspects = u64::try_from(suspects).unwrap_or(u64::MAX);
                return (is_far, u64::from(losses), suspects, 2 * used_share + has_recent_loss);
            }
            return (is_far, has_recent_loss, u64::from(has_service), used_share);
        }
        if spec.is_best_effort {
            // Best-effort tasks use leftover processor time, so the emptiest worker is best.
            return (is_far, u64::from(rack), due, used_share);
        }
        // A VM with a service can't be given to another pool. If runs share the VMs that host
        // services, the others become empty sooner, and empty VMs change pools or are maintained at
        // no cost.
        let has_no_service = u64::from(!has_service);
        if spec.is_service {
            // Moving a service counts against its disruption budget, so VMs from which it would be
            // moved again come last.
            return (is_far, due, has_no_service, free_share);
        }
        (is_far, has_no_service, due, free_share)
    }
}

/// Whether tasks of a step preempt others where no capacity is free.
fn may_preempt(spec: &StepSpec) -> bool {
    spec.is_service && !spec.is_best_effort
}

/// Whether a step requires nothing but capacity, so that its refusal holds for the whole pool.
fn is_unconstrained(spec: &StepSpec) -> bool {
    spec.required_label.is_none()
        && spec.data_rack.is_none()
        && spec.per_worker_max == 0
        && !spec.is_gang
        && !spec.is_best_effort
}

pub(crate) fn is_near(worker: &WorkerState, spec: &StepSpec) -> bool {
    spec.data_rack.as_deref().is_none_or(|rack| worker.entry.rack() == rack)
}

/// Extra run time of a task away from its data, in milliseconds.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
pub(crate) fn remote_cost_ms(spec: &StepSpec, factor: f64) -> u64 {
    (spec.estimate_ms as f64 * (factor - 1.0).max(0.0)) as u64
}

pub(crate) fn is_allowed(id: &Arc<str>, worker: &WorkerState, query: &PlaceQuery<'_>) -> bool {
    let spec = query.spec;
    let has_label = spec
        .required_label
        .as_deref()
        .is_none_or(|label| worker.entry.labels.iter().any(|own| &**own == label));
    let runs_on_worker = query.runs_by_worker.get(id).copied().unwrap_or(0);
    has_label
        && (spec.per_worker_max == 0 || runs_on_worker < spec.per_worker_max)
        && !query.avoided.contains(id)
        && query.rack.is_none_or(|rack| worker.entry.rack() == rack)
        && query.permitted.as_ref().is_none_or(|allowed| allowed.contains(id))
}
