//! Places ready tasks on workers with free capacity.
//!
//! Guards against bursts, in which thousands of tasks wait for the capacity that others free. The
//! cost of a round follows the tasks that it places and the jobs that wait, not both times the
//! workers:
//!
//! * Only workers of the step's pool are examined.
//! * A bound on what any worker of a pool has free ([`PlacementRound`]) refuses a task that fits
//!   nowhere without a search.
//! * The workers for a step that requires nothing but capacity are ranked once
//!   ([`CandidateQueue`]). A placement never makes its worker rank lower and changes no other
//!   worker, so the best one stays the best until it is full.
//! * Steps that a refusal rules out are put aside together, and no step's waiting tasks are listed
//!   before its turn.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::jobs::model::{ResourceVector, StepKey, StepSpec, TaskKey};
use crate::jobs::site::QueueSpec;
use crate::scheduler::job::JobRun;
use crate::scheduler::losses::{PoolView, RecentAddresses};
use crate::scheduler::rank::{JobRank, RankTier, rank};
use crate::scheduler::runs::SWEEP_INTERVAL_MS;
use crate::scheduler::runtime::RuntimeModel;
use crate::scheduler::worker::{IsolationRule, WorkerState};
use crate::scheduler::worker_table::{NameHashing, NameMap};
use crate::scheduler::{Scheduler, SchedulerAction, SchedulerEvent};

/// Steps of a round for each millisecond of the pause after it.
const STEPS_PER_PAUSE_MS: usize = 50;
/// Most workers named in one permit request; the platform allows no more.
const PERMIT_WORKERS_MAX: usize = 100;
/// Time after which an unanswered permit request is sent again, in milliseconds.
const PERMIT_RETRY_MS: u64 = 4_000;
/// Permits that expire within this time are not used, in milliseconds: a start takes a while.
const PERMIT_SLACK_MS: u64 = 300;

/// A step with tasks to place; the order is that of their turns.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReadyStep {
    pub rank: JobRank,
    pub key: StepKey,
    pub service: Arc<str>,
    /// Resources that each task reserves.
    reservation: (u64, u64, u64),
    /// Whether its tasks preempt others where no capacity is free.
    may_preempt: bool,
    /// Since when its job has had nothing at work, if starts are short, in milliseconds.
    pub idle_since_ms: Option<u64>,
}

impl ReadyStep {
    fn reservation(&self) -> ResourceVector {
        let (cpu, memory, accelerators) = self.reservation;
        ResourceVector { cpu, memory, accelerators }
    }

    /// Whether the refusal of `least` in its pool holds for its tasks too.
    fn is_refused(&self, least: &ResourceVector) -> bool {
        !self.may_preempt && self.reservation().covers(least)
    }
}

/// Facts that hold for one placement round.
#[derive(Debug, Default)]
pub(crate) struct PlacementRound {
    /// For each pool and resource, at least the most that any one of its workers has free. A
    /// request that exceeds it fits on no worker. `None` outside a round.
    largest_free: Option<NameMap<ResourceVector>>,
    /// Addresses of workers that were lost recently.
    recent_losses: Option<RecentAddresses>,
    /// Tasks whose runs were preempted: they wait for the next round.
    pub displaced: BTreeSet<TaskKey>,
}

/// A queue, as far as its jobs' ranks depend on it.
struct QueueView<'a> {
    queue: &'a QueueSpec,
    model: RuntimeModel,
    /// The most that a worker of its pool has free.
    largest_free: ResourceVector,
}

/// Cost of placing a task on a worker, compared in order; the least is best. Whether the worker has
/// refused a start lately comes first.
type PlacementCost = (bool, (u64, u64, u64, u64));

/// Workers of a pool that may take a step's tasks, the best first.
struct CandidateQueue {
    /// The position in the pool decides between workers of equal cost.
    ranked: BinaryHeap<Reverse<(PlacementCost, usize, Arc<str>)>>,
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
    pub permitted: Option<&'a [Arc<str>]>,
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
        self.line.starts.record_round(now);
        self.withdraw_starts(now);
        self.clear_claims();
        let largest_free = self.largest_free(now);
        let mut steps = self.ready_steps(&largest_free, now);
        self.order_fairly(&mut steps, now);
        steps.sort_unstable();
        self.round = PlacementRound {
            largest_free: Some(largest_free),
            recent_losses: Some(self.losses.recent_addresses(now)),
            displaced: BTreeSet::new(),
        };
        self.place_idle_jobs(&steps, now);
        // Smallest request that each pool has refused. Larger ones are skipped without a search.
        let mut least_refused: NameMap<ResourceVector> = NameMap::default();
        for step in &steps {
            // Services that are away don't wait for slots: each second of downtime counts.
            if !self.has_start_slot() && step.rank.tier != RankTier::Service {
                continue;
            }
            if least_refused.get(&step.service).is_some_and(|least| step.is_refused(least)) {
                continue;
            }
            if !self.place_step(step, usize::MAX, now) {
                least_refused.insert(step.service.clone(), step.reservation());
            }
        }
        if std::mem::take(&mut self.is_copy_check_due) {
            self.place_copies(now);
        }
        self.clear_claims();
        self.round = PlacementRound::default();
        self.next_dispatch_ms = now + round_pause_ms(steps.len());
        self.is_start_queue_full = !self.has_start_slot();
        if self.is_start_queue_full && self.holds_back_any(&steps, now) {
            self.line.starts.record_limited(now);
        }
    }

    /// Whether a task waits for the limit on starts and for nothing else.
    fn holds_back_any(&self, steps: &[ReadyStep], now: u64) -> bool {
        let largest_free = self.largest_free(now);
        steps.iter().any(|step| {
            let job = self.jobs.get(&step.key.job);
            let run = job.and_then(|job| job.occurrences.get(&step.key.occurrence));
            let state = run.and_then(|run| run.steps.get(usize::from(step.key.step)));
            state.is_some_and(|state| state.counts().waiting > 0)
                && largest_free
                    .get(&step.service)
                    .is_some_and(|free| free.covers(&step.reservation()))
        })
    }

    /// Places up to `count_max` waiting tasks of a step, all of a gang. Returns false if one that
    /// requires nothing but capacity found none.
    pub(crate) fn place_step(&mut self, step: &ReadyStep, count_max: usize, now: u64) -> bool {
        let submission = self.jobs.get(&step.key.job).map(|job| job.submission.clone());
        let Some(submission) = submission else { return true };
        let spec = &submission.spec.steps[usize::from(step.key.step)];
        if !self.is_capacity_view_fresh(&step.service, now) {
            return true;
        }
        let waiting = self.waiting_tasks(&step.key, now);
        if waiting.is_empty() {
            return true;
        }
        let is_placed = if spec.is_gang {
            self.place_gang(step, &waiting, spec, now)
        } else {
            self.place_tasks(step, &waiting, count_max, spec, now)
        };
        is_placed || !is_unconstrained(spec)
    }

    /// Whether starts were held back and a quarter of the allowed number has gone out since.
    /// Ranking all waiting tasks for every single start would cost too much.
    pub(crate) fn may_place_again(&self) -> bool {
        let has_room =
            |open: usize, most: Option<usize>| most.is_none_or(|most| open * 4 <= most * 3);
        self.is_start_queue_full
            && has_room(self.queued_starts(), self.queued_starts_max())
            && has_room(self.sent_starts, self.line.starts.sent_max())
    }

    /// Whether one more start could be sent soon. A task that is placed earlier than that takes
    /// capacity from tasks that are more urgent by then, and its lease runs from the moment of
    /// placement.
    pub(crate) fn has_start_slot(&self) -> bool {
        self.free_start_slots().is_none_or(|free| free > 0)
    }

    /// Starts that may be placed now; `None` for no limit.
    pub(crate) fn free_start_slots(&self) -> Option<usize> {
        let sent_max = self.line.starts.sent_max();
        if sent_max.is_some_and(|most| self.sent_starts >= most) {
            return Some(0);
        }
        self.queued_starts_max().map(|most| most.saturating_sub(self.queued_starts()))
    }

    /// Most starts that may wait to be handed out: as many as the command window lets pass soon beside
    /// those that wait for the log, and as are handed out in time.
    pub(crate) fn queued_starts_max(&self) -> Option<usize> {
        let starts = &self.line.starts;
        let paced = self.pace.starts_max.map(|most| most + starts.logged_in_time());
        [paced, starts.queued_max(), self.line.first_queued_max()].into_iter().flatten().min()
    }

    /// Whether starts are limited.
    pub(crate) fn is_short_of_starts(&self) -> bool {
        self.pace.starts_max.is_some()
            || self.line.starts.is_limited()
            || self.line.first_queued_max().is_some()
    }

    pub(crate) fn step_spec(&self, key: &StepKey) -> Option<StepSpec> {
        let job = self.jobs.get(&key.job)?;
        job.submission.spec.steps.get(usize::from(key.step)).cloned()
    }

    /// For each pool and resource, the most that any one of its workers has free.
    pub(crate) fn largest_free(&self, now: u64) -> NameMap<ResourceVector> {
        let pools = self.workers.pool_names();
        pools.map(|pool| (pool.clone(), self.largest_free_of(pool, now))).collect()
    }

    fn largest_free_of(&self, pool: &str, now: u64) -> ResourceVector {
        let workers = self.workers.pool(pool).map(|(_, worker)| worker);
        let available = workers.filter(|worker| worker.is_available(now));
        available.fold(ResourceVector::default(), |most, worker| most.component_max(&worker.free()))
    }

    /// Whether a request may fit on a worker of a pool, as far as the bound on free capacity says.
    fn may_fit(&self, pool: &str, reservation: &ResourceVector) -> bool {
        let Some(largest_free) = &self.round.largest_free else { return true };
        largest_free.get(pool).copied().unwrap_or_default().covers(reservation)
    }

    /// Renews the bound on what workers of a pool have free, after a search in vain or a change
    /// other than a placement.
    pub(crate) fn renew_largest_free(&mut self, pool: &str, now: u64) {
        let largest = self.largest_free_of(pool, now);
        let bounds = self.round.largest_free.as_mut();
        if let Some(bound) = bounds.and_then(|largest_free| largest_free.get_mut(pool)) {
            *bound = largest;
        }
    }

    /// Whether a worker at this address was lost recently; only if no task is likely to be the
    /// cause where `is_unexplained` is set.
    pub(crate) fn was_lost_recently(
        &self,
        address: SocketAddr,
        is_unexplained: bool,
        now: u64,
    ) -> bool {
        match (&self.round.recent_losses, is_unexplained) {
            (Some(recent), true) => recent.unexplained.contains(&address),
            (Some(recent), false) => recent.all.contains(&address),
            (None, true) => self.losses.has_unexplained_loss(address, now),
            (None, false) => self.losses.has_recent_loss(address, now),
        }
    }

    /// Steps with waiting tasks that may find a worker.
    fn ready_steps(&self, largest_free: &NameMap<ResourceVector>, now: u64) -> Vec<ReadyStep> {
        let mut ready = Vec::new();
        let is_short_of_starts = self.is_short_of_starts();
        let mut views: HashMap<&str, Option<QueueView<'_>>, NameHashing> = HashMap::default();
        for job in self.jobs.values().filter(|job| !job.state.is_final() && job.has_ready_step()) {
            let view = views.entry(&job.submission.queue).or_insert_with(|| {
                let queue = self.queue_of(job)?;
                let model = self.runtime_model(queue);
                let largest_free = largest_free.get(&queue.service).copied().unwrap_or_default();
                Some(QueueView { queue, model, largest_free })
            });
            let Some(QueueView { queue, model, largest_free }) = view else { continue };
            for (occurrence, run) in &job.occurrences {
                let (mut cached_rank, mut cached_idle) = (None, None);
                for (position, (spec, step)) in
                    job.submission.spec.steps.iter().zip(&run.steps).enumerate()
                {
                    let counts = step.counts();
                    if counts.waiting == 0 || !run.may_begin(spec) {
                        continue;
                    }
                    let reservation = spec.reservation();
                    if !may_preempt(spec) && !largest_free.covers(&reservation) {
                        continue;
                    }
                    // Most tasks have lost no worker and wait for nothing but capacity.
                    let is_free = counts.startable_ms <= now && !counts.has_losses;
                    let is_waiting = is_free
                        || (0..step.tasks.len())
                            .any(|index| self.is_waiting(job, *occurrence, position, index, now));
                    if !is_waiting {
                        continue;
                    }
                    let key = job.key(*occurrence, position, 0).step_key();
                    let rank = *cached_rank.get_or_insert_with(|| {
                        let due = self.due_ms(job, *occurrence, now);
                        rank(job, queue, run, model, due, now)
                    });
                    let is_short =
                        is_short_of_starts || self.slack_pools.is_slack(&queue.service, now);
                    let idle_since_ms = match is_short && rank.tier != RankTier::Service {
                        true => *cached_idle.get_or_insert_with(|| {
                            let due = self.due_ms(job, *occurrence, now);
                            self.job_idle_since_ms(job, due, now)
                        }),
                        false => None,
                    };
                    ready.push(ReadyStep {
                        rank,
                        key,
                        service: queue.service.clone(),
                        reservation: (
                            reservation.cpu,
                            reservation.memory,
                            reservation.accelerators,
                        ),
                        may_preempt: may_preempt(spec),
                        idle_since_ms,
                    });
                }
            }
        }
        ready
    }

    /// Whether a task of a ready step waits to be placed.
    fn is_waiting(
        &self,
        job: &JobRun,
        occurrence: u32,
        position: usize,
        index: usize,
        now: u64,
    ) -> bool {
        let step = job.occurrences.get(&occurrence).and_then(|run| run.steps.get(position));
        let Some(task) = step.and_then(|step| step.tasks.get(index)) else { return false };
        if task.is_done
            || task.has_live_run()
            || task.not_before_ms > now
            || task.losses.is_exhausted()
        {
            return false;
        }
        if !task.losses.is_on_trial() {
            return true;
        }
        let Some(queue) = self.queue_of(job) else { return false };
        let pool = PoolView {
            service: &queue.service,
            vms: self.pool_size_on_trial(&queue.service),
            is_for_service: job.submission.spec.steps[position].is_service,
        };
        !self.losses.has_to_wait(&job.key(occurrence, position, index), task, &pool, now)
    }

    /// Waiting tasks of a ready step, in order.
    fn waiting_tasks(&self, step: &StepKey, now: u64) -> Vec<TaskKey> {
        let Some(job) = self.jobs.get(&step.job) else { return Vec::new() };
        let Some(run) = job.occurrences.get(&step.occurrence) else { return Vec::new() };
        let position = usize::from(step.step);
        let tasks = run.steps.get(position).map_or(0, |run| run.tasks.len());
        (0..tasks)
            .filter(|index| self.is_waiting(job, step.occurrence, position, *index, now))
            .map(|index| job.key(step.occurrence, position, index))
            .filter(|key| !self.round.displaced.contains(key))
            .collect()
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

    /// Places up to `count_max` waiting tasks of a step; returns false if one found no capacity.
    fn place_tasks(
        &mut self,
        step: &ReadyStep,
        waiting: &[TaskKey],
        count_max: usize,
        spec: &StepSpec,
        now: u64,
    ) -> bool {
        let Some(permitted) = self.permitted(step, now) else { return true };
        let (mut runs_by_worker, mut runs_by_rack) = self.relevant_sibling_counts(spec, &step.key);
        let is_preemptor = may_preempt(spec);
        // Whether tasks without losses and failures need nothing but capacity.
        let is_plain_step = is_unconstrained(spec)
            && permitted.is_none()
            && !(is_preemptor && self.fleet.urgent_pools.contains(&step.service));
        let mut candidates = None;
        // Tasks to be placed once the runs preempted for them have ended.
        let mut preempting = 0;
        let mut placed = 0;
        for key in waiting {
            if placed >= count_max {
                break;
            }
            // The organisation's cap holds back its other tasks as well, but nobody else's.
            if !self.has_start_slot() && !spec.is_service
                || !self.may_start_under_cap(key, &spec.need.times(preempting + 1))
            {
                return preempting == 0;
            }
            if is_plain_step && self.is_plain_task(key, spec, now) {
                let queue = match &mut candidates {
                    Some(queue) => queue,
                    None => candidates.insert(self.candidates(&step.service, spec, now)),
                };
                if let Some(worker) = self.next_candidate(queue, spec, now) {
                    let run = self.next_run(key);
                    self.plan_isolated_run(IsolationRule::Normal, key, run, &worker, now);
                    placed += 1;
                    continue;
                }
            }
            let waited = self.waited_ms(key, now);
            let rules = self.isolation_rules(key, &step.service, spec, now);
            // A suspect that has to wait does not mean that the pool is full.
            let Some(last) = rules.last().copied() else { continue };
            let avoided = self.avoided_now(key, spec, &step.service, now);
            let query = PlaceQuery {
                spec,
                runs_by_worker: &runs_by_worker,
                runs_by_rack: &runs_by_rack,
                avoided: &avoided,
                permitted: permitted.as_deref(),
                rack: None,
                isolation: last,
            };
            let may_fit = self.may_fit(&step.service, &spec.reservation());
            // Candidates were ranked before this placement.
            candidates = None;
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
                placed += 1;
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
                if may_fit {
                    self.renew_largest_free(&step.service, now);
                }
                if self.probation_job(key).is_some() {
                    continue;
                }
                return false;
            };
            let run = self.next_run(key);
            self.plan_isolated_run(isolation, key, run, &worker, now);
            placed += 1;
            if let Some(host) = self.workers.get(&worker) {
                *runs_by_rack.entry(host.entry.rack().into()).or_insert(0) += 1;
            }
            *runs_by_worker.entry(worker).or_insert(0) += 1;
        }
        preempting == 0
    }

    /// Whether a task may start on any worker without an exclusive probation, and avoids none
    /// because of its past.
    fn is_plain_task(&self, key: &TaskKey, spec: &StepSpec, now: u64) -> bool {
        let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
        task.is_some_and(|task| {
            task.losses.total == 0
                && task.losses.probation_ms() == 0
                && task.failed_on.is_empty()
                && !task.is_overdue(spec.is_service, now)
        })
    }

    /// Ranks the workers of a pool for a step that requires nothing but capacity.
    fn candidates(&self, service: &str, spec: &StepSpec, now: u64) -> CandidateQueue {
        if !self.may_fit(service, &spec.reservation()) {
            return CandidateQueue { ranked: BinaryHeap::new() };
        }
        let (runs_by_worker, runs_by_rack) = (BTreeMap::new(), BTreeMap::new());
        let query = PlaceQuery {
            spec,
            runs_by_worker: &runs_by_worker,
            runs_by_rack: &runs_by_rack,
            avoided: &[],
            permitted: None,
            rack: None,
            isolation: IsolationRule::Normal,
        };
        let workers = self.workers.pool(service).enumerate();
        let fitting =
            workers.filter(|(_, (id, worker))| self.may_take_plain(id, worker, spec, now));
        let ranked: Vec<_> = fitting
            .map(|(position, (id, worker))| {
                let cost = (worker.has_refused(now), self.placement_cost(worker, &query, now));
                Reverse((cost, position, id.clone()))
            })
            .collect();
        CandidateQueue { ranked: ranked.into() }
    }

    /// The best of the ranked workers that still has capacity.
    fn next_candidate(
        &self,
        queue: &mut CandidateQueue,
        spec: &StepSpec,
        now: u64,
    ) -> Option<Arc<str>> {
        loop {
            let Reverse((_, _, id)) = queue.ranked.peek()?;
            let worker = self.workers.get(id);
            if worker.is_some_and(|worker| self.may_take_plain(id, worker, spec, now)) {
                return Some(id.clone());
            }
            queue.ranked.pop();
        }
    }

    fn may_take_plain(
        &self,
        id: &Arc<str>,
        worker: &WorkerState,
        spec: &StepSpec,
        now: u64,
    ) -> bool {
        self.unclaimed(id, worker).covers(&spec.reservation())
            && worker.may_take(IsolationRule::Normal, now)
    }

    /// Whether a pool has available workers other than `avoided`.
    fn has_other_available(&self, service: &str, avoided: &[Arc<str>], now: u64) -> bool {
        let is_other = |id: &Arc<str>| !avoided.contains(id);
        self.workers.pool(service).any(|(id, worker)| worker.is_available(now) && is_other(id))
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
        let has_recent_loss = |(_, worker): &(&Arc<str>, &WorkerState)| {
            self.was_lost_recently(worker.entry.address, is_on_trial, now)
        };
        self.workers.pool(service).filter(has_recent_loss).map(|(id, _)| id.clone()).collect()
    }

    /// Workers of a pool whose VMs are still to be maintained.
    fn due_workers(&self, service: &str) -> Vec<Arc<str>> {
        let workers = self.workers.pool(service).filter(|(id, _)| self.fleet.is_due(id));
        workers.map(|(id, _)| id.clone()).collect()
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
        let listed = self.workers.pool(service).filter(|(_, worker)| worker.is_listed);
        listed.map(|(id, _)| id.clone()).collect()
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
        if !self.may_fit(service, &reservation) {
            return None;
        }
        // The cheapest check goes first: in a burst few workers have free capacity.
        self.workers
            .pool(service)
            .filter(|(id, worker)| self.unclaimed(id, worker).covers(&reservation))
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
        let rank = JobRank { priority: queue.priority, tier: RankTier::Service, share: 0, work: 0 };
        let hosts: Vec<(bool, &WorkerState)> = self
            .workers
            .pool(&service)
            .filter(|(_, worker)| worker.may_take_starts(now))
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
        let has_service = worker.has_service();
        let due = u64::from(self.fleet.is_due(&worker.entry.id));
        let rack = query.runs_by_rack.get(worker.entry.rack()).copied().unwrap_or(0);
        let used_share = worker.used().dominant_share_of(&worker.entry.capacity);
        let free_share = 1_000 - used_share.min(1_000);
        if query.isolation.is_near_suspect() {
            // Cost of losing the worker, services first: each has a disruption budget.
            let has_recent_loss =
                u64::from(self.was_lost_recently(worker.entry.address, false, now));
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

/// Pause after a round over so many steps, in milliseconds. A round takes about half a microsecond for
/// each step that waits, so that rounds take a few percent of a core however much waits.
fn round_pause_ms(steps: usize) -> u64 {
    u64::try_from(steps / STEPS_PER_PAUSE_MS).unwrap_or(u64::MAX).min(SWEEP_INTERVAL_MS)
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
        && query.permitted.is_none_or(|allowed| allowed.contains(id))
}
