//! Preemption: stops other tasks to free capacity for services on full workers.
//!
//! Services that were lost together need capacity together, and a stop takes a while. So each
//! claims the capacity of the runs that are stopped for it, and the next one needs other capacity.
//! Claims last for one placement round; the next round makes them anew, first on capacity that is
//! being freed already.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::jobs::model::{ResourceVector, StepSpec, TaskKey};
use crate::scheduler::Scheduler;
use crate::scheduler::dispatch::{PlaceQuery, is_allowed};
use crate::scheduler::job::{LiveRun, RunPhase};
use crate::scheduler::rank::JobRank;
use crate::scheduler::worker::WorkerState;

/// Time after which the capacity of a run that is being stopped is no longer counted on, in
/// milliseconds: all its stops may be lost.
const STOP_WAIT_MAX_MS: u64 = 1_500;

/// Capacity that waiting services count on, by worker.
#[derive(Debug, Default)]
pub(crate) struct CapacityClaims {
    claimed: BTreeMap<Arc<str>, ResourceVector>,
    /// Capacity of runs that are being stopped; `None` for a worker with an overdue stop. Computed
    /// when it is first needed.
    releasing: Option<BTreeMap<Arc<str>, Option<ResourceVector>>>,
}

/// Runs whose end would free enough capacity on a worker, and the cost of the lost work.
struct Preemption {
    cost: u64,
    victims: Vec<(TaskKey, u32)>,
}

impl Scheduler {
    pub(crate) fn clear_claims(&mut self) {
        self.claims = CapacityClaims::default();
    }

    /// Free capacity of a worker that no waiting service has claimed.
    pub(crate) fn unclaimed(&self, id: &Arc<str>, worker: &WorkerState) -> ResourceVector {
        let free = worker.free();
        let Some(claimed) = self.claims.claimed.get(id) else { return free };
        let releasing =
            self.claims.releasing.as_ref().and_then(|releasing| releasing.get(id).copied()?);
        free.saturating_sub(&claimed.saturating_sub(&releasing.unwrap_or_default()))
    }

    /// Finds a worker on which a service task gets capacity once runs there have been stopped, and
    /// stops those that must be preempted beside the ones already stopping; `None` if no worker
    /// would do.
    pub(crate) fn preempt_for(
        &mut self,
        service: &str,
        query: &PlaceQuery<'_>,
        rank: JobRank,
        now: u64,
    ) -> Option<Arc<str>> {
        if self.claims.releasing.is_none() {
            let releasing =
                self.workers.iter().map(|(id, worker)| (id.clone(), self.releasing(worker, now)));
            self.claims.releasing = Some(releasing.collect());
        }
        let mut best: Option<(Preemption, Arc<str>)> = None;
        for (id, worker) in self.workers.pool(service) {
            if !worker.may_take(query.isolation, now) || !is_allowed(id, worker, query) {
                continue;
            }
            // It was rejected for another reason than capacity, so stopping runs there would not
            // help.
            if self.unclaimed(id, worker).covers(&query.spec.reservation()) {
                continue;
            }
            let Some(free) = self.claimable(id, worker) else { continue };
            let Some(found) = self.preemption(worker, free, query.spec, rank) else { continue };
            if best.as_ref().is_none_or(|(least, _)| found.cost < least.cost) {
                best = Some((found, id.clone()));
            }
        }
        let (found, id) = best?;
        for (key, run) in &found.victims {
            self.stop_run(key, *run, "displaced by a service", now);
            self.round.displaced.insert(*key);
        }
        if !found.victims.is_empty() {
            self.renew_largest_free(service, now);
        }
        let releasing = self.workers.get(&id).and_then(|worker| self.releasing(worker, now));
        if let Some(releasing_by_worker) = &mut self.claims.releasing {
            releasing_by_worker.insert(id.clone(), releasing);
        }
        self.claims.claimed.entry(id.clone()).or_default().add(&query.spec.reservation());
        Some(id)
    }

    /// Whether a worker has capacity for a service task, or would have after preemption.
    pub(crate) fn may_preempt_for(
        &self,
        worker: &WorkerState,
        spec: &StepSpec,
        rank: JobRank,
        now: u64,
    ) -> bool {
        let mut free = worker.free();
        free.add(&self.releasing(worker, now).unwrap_or_default());
        self.preemption(worker, free, spec, rank).is_some()
    }

    /// Capacity of a worker's runs that are being stopped; `None` if one of them should have ended
    /// by now.
    fn releasing(&self, worker: &WorkerState, now: u64) -> Option<ResourceVector> {
        let mut releasing = ResourceVector::default();
        for ((key, run), placed) in &worker.runs {
            let Some(live) = self.live(key, *run) else { continue };
            if live.phase != RunPhase::Stopping {
                continue;
            }
            if now > live.phase_since_ms + STOP_WAIT_MAX_MS {
                return None;
            }
            releasing.add(&placed.need);
        }
        Some(releasing)
    }

    /// Capacity of a worker that is free or will be soon, and not claimed; `None` with an overdue
    /// stop.
    fn claimable(&self, id: &Arc<str>, worker: &WorkerState) -> Option<ResourceVector> {
        let releasing = self.claims.releasing.as_ref()?.get(id).copied()??;
        let mut free = worker.free();
        free.add(&releasing);
        Some(free.saturating_sub(&self.claims.claimed.get(id).copied().unwrap_or_default()))
    }

    /// The runs to preempt on a worker with this much capacity free now or soon, least work first;
    /// `None` if that is not enough.
    fn preemption(
        &self,
        worker: &WorkerState,
        mut free: ResourceVector,
        spec: &StepSpec,
        rank: JobRank,
    ) -> Option<Preemption> {
        let need = spec.reservation();
        let mut found = Preemption { cost: 0, victims: Vec::new() };
        if free.covers(&need) {
            return Some(found);
        }
        let mut runs: Vec<(u64, TaskKey, u32, ResourceVector)> = Vec::new();
        for ((key, run), placed) in &worker.runs {
            if placed.is_service {
                continue;
            }
            let job = self.jobs.get(&key.job)?;
            let priority = self.queue_of(job).map_or(u32::MAX, |queue| queue.priority);
            let live = self.live(key, *run)?;
            if priority < rank.priority || live.phase == RunPhase::Stopping {
                continue;
            }
            let cost = u64::from(live.percent.min(100)) * placed.need.cpu.max(1);
            runs.push((cost, *key, *run, placed.need));
        }
        runs.sort_by_key(|(cost, key, run, _)| (*cost, *key, *run));
        for (cost, key, run, freed) in runs {
            free.add(&freed);
            found.cost += cost;
            found.victims.push((key, run));
            if free.covers(&need) {
                return Some(found);
            }
        }
        None
    }

    fn live(&self, key: &TaskKey, run: u32) -> Option<&LiveRun> {
        self.jobs.get(&key.job)?.task(key)?.live.iter().find(|live| live.run == run)
    }
}
