//! Room for services on workers that are full: tasks that may be displaced are stopped.
//!
//! Services that were lost together need room together, and a stop takes a while. So each is promised the room of
//! what is stopped for it, and the next one counts on other room. Promises last for one look at all that waits; the
//! next look makes them anew, first of the room that is being made already.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::jobs::model::{ResourceVector, StepSpec, TaskKey};
use crate::scheduler::Scheduler;
use crate::scheduler::dispatch::{PlaceQuery, is_allowed};
use crate::scheduler::job::{LiveRun, RunPhase};
use crate::scheduler::rank::JobRank;
use crate::scheduler::worker::WorkerState;

/// Time after which the room of a run that is being stopped is not counted on, in milliseconds: its stops may all be
/// lost.
const STOP_WAIT_MAX_MS: u64 = 1_500;

/// Room that waiting services count on, by worker.
#[derive(Debug, Default)]
pub(crate) struct CapacityClaims {
    claimed: BTreeMap<Arc<str>, ResourceVector>,
    /// Room of runs that are being stopped; none where a stop is overdue. Gathered when it is first asked for.
    releasing: Option<BTreeMap<Arc<str>, Option<ResourceVector>>>,
}

/// Runs whose end would make room on a worker, and the work thrown away.
struct Preemption {
    cost: u64,
    victims: Vec<(TaskKey, u32)>,
}

impl Scheduler {
    /// Drops all promises.
    pub(crate) fn clear_claims(&mut self) {
        self.claims = CapacityClaims::default();
    }

    /// What is free on a worker and promised to nobody.
    pub(crate) fn unclaimed(&self, id: &Arc<str>, worker: &WorkerState) -> ResourceVector {
        let free = worker.free();
        let Some(claimed) = self.claims.claimed.get(id) else { return free };
        let releasing =
            self.claims.releasing.as_ref().and_then(|releasing| releasing.get(id).copied()?);
        free.saturating_sub(&claimed.saturating_sub(&releasing.unwrap_or_default()))
    }

    /// Finds a worker on which a service task gets room once what is stopped there has ended, and stops what must be
    /// displaced for it beside that; nothing if none would help.
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
        for (id, worker) in &self.workers {
            if &*worker.entry.service != service
                || !worker.may_take(query.isolation, now)
                || !is_allowed(id, worker, query)
            {
                continue;
            }
            // Left out for another reason than room: nothing that is stopped there would help.
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
        }
        let releasing = self.workers.get(&id).and_then(|worker| self.releasing(worker, now));
        if let Some(releasing_by_worker) = &mut self.claims.releasing {
            releasing_by_worker.insert(id.clone(), releasing);
        }
        self.claims.claimed.entry(id.clone()).or_default().add(&query.spec.reservation());
        Some(id)
    }

    /// Whether a worker has room for a service task, or would if other tasks were displaced.
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

    /// Room of a worker's runs that are being stopped; nothing if one of them should have ended by now.
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

    /// What is free on a worker or will be soon, and promised to nobody; nothing where a stop is overdue.
    fn claimable(&self, id: &Arc<str>, worker: &WorkerState) -> Option<ResourceVector> {
        let releasing = self.claims.releasing.as_ref()?.get(id).copied()??;
        let mut free = worker.free();
        free.add(&releasing);
        Some(free.saturating_sub(&self.claims.claimed.get(id).copied().unwrap_or_default()))
    }

    /// What must be displaced on a worker with so much room to come, the least work first.
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
