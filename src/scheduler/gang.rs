//! Gang scheduling: all tasks of a gang are placed, or none.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::jobs::model::{ResourceVector, StepSpec, TaskKey};
use crate::scheduler::Scheduler;
use crate::scheduler::dispatch::{PlaceQuery, ReadyStep, is_allowed, is_near, remote_cost_ms};
use crate::scheduler::worker::WorkerState;

impl Scheduler {
    /// Places all members of a gang or none; returns false if there is not enough capacity.
    pub(crate) fn place_gang(
        &mut self,
        step: &ReadyStep,
        waiting: &[TaskKey],
        spec: &StepSpec,
        now: u64,
    ) -> bool {
        let is_complete = waiting.len() == usize::try_from(spec.count).unwrap_or(0);
        if !is_complete {
            return true;
        }
        let members = u64::try_from(waiting.len()).unwrap_or(u64::MAX);
        if !self.may_start_under_cap(&waiting[0], &spec.need.times(members)) {
            return true;
        }
        let Some(permitted) = self.permitted(step, now) else { return true };
        let suspect = waiting.iter().find(|key| self.probation_job(key).is_some());
        let rules = self.isolation_rules(suspect.unwrap_or(&waiting[0]), &step.service, spec, now);
        if rules.is_empty() {
            return true;
        }
        let waited = self.waited_ms(&waiting[0], now);
        let racks = if spec.wants_one_rack { self.racks(&step.service) } else { Vec::new() };
        let remote_ms = remote_cost_ms(spec, self.bounds.remote_factor);
        let may_span_racks = !spec.wants_one_rack || waited >= remote_ms;
        let rack_choices =
            racks.iter().map(|rack| Some(&**rack)).chain(may_span_racks.then_some(None));
        let attempts =
            rules.iter().flat_map(|isolation| rack_choices.clone().map(|rack| (*isolation, rack)));
        let no_runs = BTreeMap::new();
        let plan = attempts.into_iter().find_map(|(isolation, rack)| {
            let terms = PlaceQuery {
                spec,
                runs_by_worker: &no_runs,
                runs_by_rack: &no_runs,
                avoided: &[],
                permitted: permitted.as_deref(),
                rack,
                isolation,
            };
            let plan = self.plan_gang(step, waiting.len(), &terms, now)?;
            Some((plan, isolation))
        });
        let Some((plan, isolation)) = plan else { return false };
        let run = waiting.iter().map(|key| self.next_run(key)).max().unwrap_or(1);
        for (key, worker) in waiting.iter().zip(plan) {
            self.plan_isolated_run(isolation, key, run, &worker, now);
        }
        true
    }

    fn racks(&self, service: &str) -> Vec<String> {
        let workers = self.workers.pool(service);
        let mut racks: Vec<String> =
            workers.map(|(_, worker)| worker.entry.rack().to_owned()).collect();
        racks.sort();
        racks.dedup();
        racks
    }

    /// Chooses a worker for each member, on a scratch copy of the free capacities.
    fn plan_gang(
        &self,
        step: &ReadyStep,
        members: usize,
        terms: &PlaceQuery<'_>,
        now: u64,
    ) -> Option<Vec<Arc<str>>> {
        let (spec, isolation) = (terms.spec, terms.isolation);
        let mut runs_by_worker = BTreeMap::new();
        let mut free: BTreeMap<&Arc<str>, (&WorkerState, ResourceVector)> = self
            .workers
            .pool(&step.service)
            .filter(|(_, worker)| worker.may_take(isolation, now))
            .map(|(id, worker)| (id, (worker, self.unclaimed(id, worker))))
            .collect();
        let mut plan = Vec::with_capacity(members);
        for _ in 0..members {
            let query = PlaceQuery { runs_by_worker: &runs_by_worker, ..terms.clone() };
            let chosen = free
                .iter()
                .filter(|(id, (worker, available))| {
                    available.covers(&spec.reservation()) && is_allowed(id, worker, &query)
                })
                .min_by_key(|(_, (worker, available))| {
                    let has_recent_loss = isolation.is_near_suspect()
                        && self.was_lost_recently(worker.entry.address, false, now);
                    let share = available.dominant_share_of(&worker.entry.capacity);
                    (!is_near(worker, spec), has_recent_loss, share)
                })
                .map(|(id, _)| (*id).clone())?;
            if let Some((_, available)) = free.get_mut(&chosen) {
                *available = available.saturating_sub(&spec.reservation());
            }
            *runs_by_worker.entry(chosen.clone()).or_insert(0) += 1;
            plan.push(chosen);
        }
        Some(plan)
    }
}
