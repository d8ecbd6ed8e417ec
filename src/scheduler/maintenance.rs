//! Maintenance waves: each VM is maintained once, no more at a time than the wave allows, and in
//! time.
//!
//! VMs that are off or empty go first, as that costs nothing. Others get no new work until they are
//! empty. Service tasks are moved within their disruption budget, and off several VMs of a pool at
//! a time only where the wave would be late otherwise.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::jobs::model::TaskKey;
use crate::jobs::ports::VmCommand;
use crate::jobs::site::{MaintenanceWave, VmState};
use crate::scheduler::fleet::{OperationPhase, VmOperation};
use crate::scheduler::job::{LiveRun, TaskRun};
use crate::scheduler::{Scheduler, SchedulerAction};

/// Time that a VM takes beside the maintenance itself, in milliseconds: it is drained, listed, and
/// its worker reports itself.
const OVERHEAD_MS: u64 = 1_200;
/// Share of the remaining time in which a wave plans to finish, in percent; the rest is for
/// failures.
const PLANNED_TIME_PERCENT: u64 = 70;

/// Time from the stop of a service task until it is known to be at work elsewhere, in milliseconds:
/// a start, its startup of about a second, and a report.
const SERVICE_RESTART_MS: u64 = 1_300;
/// Share of a pool's VMs that may be drained of services at a time, as a divisor: they get no other
/// work meanwhile.
const DRAINING_DIVISOR: usize = 4;

/// A wave and its progress.
#[derive(Clone, Debug)]
pub struct WaveState {
    /// The wave as operators configured it.
    pub wave: MaintenanceWave,
    /// VMs whose maintenance has begun or is over.
    pub done: BTreeSet<Arc<str>>,
    /// When it was first seen, in milliseconds.
    pub since_ms: u64,
    /// Whether its completion was published to operators.
    pub is_completed: bool,
    is_announced: bool,
}

impl WaveState {
    /// A new wave, first seen at `now`.
    pub fn new(wave: MaintenanceWave, now: u64) -> WaveState {
        WaveState {
            wave,
            done: BTreeSet::new(),
            since_ms: now,
            is_completed: false,
            is_announced: false,
        }
    }

    /// Whether a VM is still to be maintained.
    pub fn is_due(&self, vm: &Arc<str>) -> bool {
        !self.is_completed && self.wave.vms.contains(vm) && !self.done.contains(vm)
    }
}

/// Cost of preparing a VM for maintenance, cheapest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum DrainCost {
    /// The VM is off or nothing runs on it.
    Nothing,
    /// Its runs end by themselves soon.
    Wait,
    /// Services have to be moved.
    Evict,
}

impl Scheduler {
    /// Commands or prepares the next VMs of each wave.
    ///
    /// While work waits for VMs (`is_scarce`), a wave takes no more VMs at a time than it needs to
    /// finish in time: every VM under maintenance is missing in the burst.
    pub(crate) fn plan_waves(&mut self, is_scarce: bool, now: u64) {
        let numbers: Vec<u64> = self
            .fleet
            .waves
            .values()
            .filter(|run| !run.is_completed)
            .map(|run| run.wave.number)
            .collect();
        self.fleet.urgent_pools.clear();
        for number in numbers {
            self.plan_wave(number, is_scarce, now);
        }
    }

    fn plan_wave(&mut self, number: u64, is_scarce: bool, now: u64) {
        let Some(run) = self.fleet.waves.get_mut(&number) else { return };
        let is_announced = std::mem::replace(&mut run.is_announced, true);
        let left: Vec<Arc<str>> = run
            .wave
            .vms
            .iter()
            .filter(|vm| !run.done.contains(*vm) && self.fleet.vms.contains_key(*vm))
            .cloned()
            .collect();
        if left.is_empty() {
            run.is_completed = true;
            self.fleet.renew_due_workers();
            self.actions.push(SchedulerAction::PublishWaveStatus(number, true));
            return;
        }
        if !is_announced {
            self.actions.push(SchedulerAction::PublishWaveStatus(number, false));
        }
        let deadline = run.since_ms + run.wave.within_ms;
        let parallel_max = run.wave.parallel_max.max(1);
        self.find_urgent_pools(deadline, now);
        let planned_vms = self.planned_vms(number);
        let wanted = self.wanted_parallel(left.len(), deadline, now).min(parallel_max);
        let mut slots = parallel_max.saturating_sub(planned_vms);
        let mut candidates: Vec<(DrainCost, u64, Arc<str>)> = left
            .into_iter()
            .filter(|vm| !self.fleet.operations.contains_key(vm))
            .filter_map(|vm| self.drain_cost(&vm, now).map(|(cost, load)| (cost, load, vm)))
            .collect();
        candidates.sort();
        self.drain_service_vms(number, &candidates, now);
        for (cost, _, vm) in candidates {
            if slots == 0 {
                break;
            }
            let running = parallel_max - slots;
            let is_free = cost == DrainCost::Nothing && !is_scarce;
            if cost == DrainCost::Evict || (!is_free && running >= wanted) {
                break;
            }
            self.plan_operation(VmCommand::Maintain { vm, wave: number }, now);
            slots -= 1;
        }
    }

    /// Starts to drain VMs with services as soon as the wave begins: budgets let the tasks of a
    /// step move only a few at a time, which takes longest of all. In each pool as many VMs are
    /// drained at a time as budgets let their tasks be down together; one by one, each would wait
    /// for the slowest task of the one before.
    fn drain_service_vms(
        &mut self,
        number: u64,
        candidates: &[(DrainCost, u64, Arc<str>)],
        now: u64,
    ) {
        let mut draining = self.draining_by_pool(number);
        for (_, _, vm) in candidates.iter().filter(|(cost, ..)| *cost == DrainCost::Evict) {
            let Some(pool) = self.fleet.vms.get(vm).map(|vm| vm.pool.clone()) else { continue };
            let most = match self.fleet.urgent_pools.contains(&pool) {
                true => (self.pool_size(&pool) / DRAINING_DIVISOR).max(1),
                false => 1,
            };
            let count = draining.entry(pool).or_insert(0);
            // One VM of a pool is reserved even before its budgets allow it to be drained: a task
            // that stays down must not hold up the wave.
            if *count < most && (*count == 0 || self.are_budgets_kept(vm)) {
                *count += 1;
                self.plan_operation(VmCommand::Maintain { vm: vm.clone(), wave: number }, now);
            }
        }
    }

    /// Finds the pools in which a wave would be late if their VMs were drained of services one by
    /// one. Only there it is worth the additional VMs and the preempted work: on sites of 50 VMs
    /// both cost more than the wave's delay, up to 0.8% of the value owed to callers.
    fn find_urgent_pools(&mut self, deadline: u64, now: u64) {
        let left_ms = deadline.saturating_sub(now) * PLANNED_TIME_PERCENT / 100;
        let each_ms = self.bounds.stop_ms + SERVICE_RESTART_MS;
        let is_late = |pool: &Arc<str>| {
            let due_vms = u64::try_from(self.due_service_vms(pool)).unwrap_or(u64::MAX);
            due_vms.saturating_mul(each_ms) > left_ms
        };
        let pools = self.config.pools.iter().filter(|pool| !pool.is_standby);
        let late: Vec<Arc<str>> = pools.map(|pool| pool.name.clone()).filter(is_late).collect();
        self.fleet.urgent_pools.extend(late);
    }

    /// Number of a pool's VMs that have services and are still to be maintained.
    fn due_service_vms(&self, pool: &str) -> usize {
        self.workers
            .pool(pool)
            .filter(|(_, worker)| worker.has_service())
            .filter(|(id, _)| self.fleet.is_due(id))
            .count()
    }

    /// Number of VMs of each pool that are being drained for a wave.
    fn draining_by_pool(&self, number: u64) -> BTreeMap<Arc<str>, usize> {
        let mut draining = BTreeMap::new();
        for (vm, operation) in &self.fleet.operations {
            if operation.phase != OperationPhase::Draining || !operation.is_for_wave(number) {
                continue;
            }
            if let Some(vm) = self.fleet.vms.get(vm) {
                *draining.entry(vm.pool.clone()).or_insert(0) += 1;
            }
        }
        draining
    }

    fn pool_size(&self, pool: &Arc<str>) -> usize {
        self.workers.pool(pool).count()
    }

    /// Whether the budgets allow the services of a VM to be down together with those that are down
    /// already or are on VMs that are being drained.
    fn are_budgets_kept(&self, vm: &Arc<str>) -> bool {
        let worker = self.fleet.vms.get(vm).and_then(|vm| self.workers.get(&vm.worker));
        let Some(worker) = worker else { return false };
        let services = worker.runs.iter().filter(|(_, run)| run.is_service);
        services.map(|((key, _), _)| key).all(|key| {
            let is_leaving = |task: &TaskRun| {
                let on_leaving = |live: &LiveRun| {
                    self.workers.get(&live.worker).is_some_and(|worker| worker.is_reserved)
                };
                !self.is_known_at_work(task) || task.live.iter().any(on_leaving)
            };
            self.is_within_budget(key, is_leaving)
        })
    }

    /// Whether one more task of a step may be down, besides the other tasks for which `is_down`
    /// holds.
    fn is_within_budget(&self, key: &TaskKey, is_down: impl Fn(&TaskRun) -> bool) -> bool {
        let Some(job) = self.jobs.get(&key.job) else { return true };
        let Some(spec) = job.spec(key) else { return true };
        let Some(run) = job.occurrences.get(&key.occurrence) else { return true };
        let Some(step) = run.steps.get(usize::from(key.step)) else { return true };
        let is_other = |index: usize| u32::try_from(index).is_ok_and(|index| index != key.index);
        let down = step
            .tasks
            .iter()
            .enumerate()
            .filter(|(index, task)| is_other(*index) && is_down(task))
            .count();
        down < usize::try_from(spec.disruption_budget.max(1)).unwrap_or(1)
    }

    /// Whether one more VM of a wave may go down now.
    pub(crate) fn may_go_down(&self, number: u64) -> bool {
        let limit = self.fleet.waves.get(&number).map_or(1, |run| run.wave.parallel_max.max(1));
        self.vms_down(number) < limit
    }

    /// Number of VMs of a wave that are down for it, or will be at any moment.
    fn vms_down(&self, number: u64) -> usize {
        let Some(run) = self.fleet.waves.get(&number) else { return 0 };
        run.wave
            .vms
            .iter()
            .filter(|name| {
                let is_down =
                    self.fleet.vms.get(*name).is_some_and(|vm| vm.state == VmState::InMaintenance);
                let is_sent = self.fleet.operations.get(*name).is_some_and(|operation| {
                    operation.is_for_wave(number) && operation.phase != OperationPhase::Draining
                });
                is_down || is_sent
            })
            .count()
    }

    /// Number of VMs of a wave that are down or reserved for it, without those whose services are
    /// being moved.
    fn planned_vms(&self, number: u64) -> usize {
        let has_service = |operation: &VmOperation| {
            let worker = self.workers.get(&operation.worker);
            worker.is_some_and(|worker| worker.has_service())
        };
        let kept = self
            .fleet
            .operations
            .values()
            .filter(|operation| {
                operation.is_for_wave(number) && operation.phase == OperationPhase::Draining
            })
            .filter(|operation| !has_service(operation))
            .count();
        self.vms_down(number) + kept
    }

    /// Number of VMs that must be maintained at a time for the wave to finish in time.
    fn wanted_parallel(&self, left: usize, deadline: u64, now: u64) -> usize {
        let each_ms = self.bounds.maintenance_ms + OVERHEAD_MS;
        let left_ms = deadline.saturating_sub(now) * PLANNED_TIME_PERCENT / 100;
        let work_ms = u64::try_from(left).unwrap_or(0) * each_ms;
        match left_ms {
            0 => usize::MAX,
            _ => usize::try_from(work_ms.div_ceil(left_ms)).unwrap_or(usize::MAX),
        }
    }

    /// Cost of draining a VM, and its load; `None` if it can't be commanded now.
    fn drain_cost(&self, name: &Arc<str>, now: u64) -> Option<(DrainCost, u64)> {
        let vm = self.fleet.vms.get(name)?;
        if vm.state != VmState::Up {
            return None;
        }
        let Some(worker) = self.workers.get(&vm.worker) else {
            return Some((DrainCost::Nothing, 0));
        };
        if worker.silent_since_ms.is_some() || worker.entry.is_draining {
            return None;
        }
        let load = worker.used().dominant_share_of(&worker.entry.capacity);
        if worker.runs.is_empty() {
            // A VM that has just been assigned to a pool is about to be used.
            let is_wanted = now < worker.idle_since_ms + 300;
            return Some((DrainCost::Nothing, u64::from(is_wanted)));
        }
        let has_service = worker.has_service();
        let cost = if has_service { DrainCost::Evict } else { DrainCost::Wait };
        Some((cost, load))
    }

    /// Moves services off VMs that are being drained, as their budgets allow.
    pub(crate) fn evict_services(&mut self, now: u64) {
        if self.is_lagging(now) {
            return;
        }
        let draining: Vec<Arc<str>> = self
            .fleet
            .operations
            .values()
            .filter(|operation| operation.phase == OperationPhase::Draining)
            .map(|operation| operation.worker.clone())
            .collect();
        for id in draining {
            let Some(worker) = self.workers.get(&id) else { continue };
            let services: Vec<(TaskKey, u32)> =
                worker.runs.iter().filter(|(_, run)| run.is_service).map(|(key, _)| *key).collect();
            for (key, run) in services {
                if self.may_evict(&key) && self.may_fit_elsewhere(&key, now) {
                    self.stop_run(&key, run, "its VM is wanted", now);
                }
            }
        }
    }

    /// Whether a service task may be stopped now: with it, no more tasks of its step are down than
    /// its budget allows.
    pub(crate) fn may_evict(&self, key: &TaskKey) -> bool {
        self.is_within_budget(key, |task| !self.is_known_at_work(task))
    }

    /// Whether a service task is at work on a worker that answers. A silent worker may have ended
    /// its runs: if such a task counted as at work, another one could be stopped while it is down.
    fn is_known_at_work(&self, task: &TaskRun) -> bool {
        let answers = |live: &LiveRun| {
            self.workers.get(&live.worker).is_some_and(|worker| worker.silent_since_ms.is_none())
        };
        task.is_serving() && task.live.iter().any(answers)
    }

    /// Records that a VM's maintenance has begun or is over.
    pub(crate) fn mark_maintained(&mut self, number: u64, vm: &Arc<str>) {
        let Some(run) = self.fleet.waves.get_mut(&number) else { return };
        run.done.insert(vm.clone());
        self.commits.queue_wave(number, run.done.clone());
        self.fleet.renew_due_workers();
    }

    /// Removes a VM from a wave: the platform says that it does not belong to it.
    pub(crate) fn remove_from_wave(&mut self, number: u64, vm: &Arc<str>) {
        if let Some(run) = self.fleet.waves.get_mut(&number) {
            run.wave.vms.retain(|other| other != vm);
            self.fleet.renew_due_workers();
        }
    }
}
