//! Assigns VMs to pools, and tracks the commands that move them.
//!
//! The queues' demand rises and falls by turns, and each asks several times its mean for some
//! seconds. A VM takes a second or two to change pools, about as long as a job can wait. So pools
//! follow the present demand, and idle VMs go to the standby pool, where they cost nothing. Only
//! VMs on which nothing runs change pools: no work is thrown away.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::decide::lateness::round_extra_ms;
use crate::jobs::ports::{VmCommand, VmOutcome};
use crate::jobs::site::{MaintenanceWave, VmEntry, VmState, worker_name};
use crate::scheduler::demand::ArrivalRate;
use crate::scheduler::incarnations::IncarnationTable;
use crate::scheduler::losses::IncarnationEnd;
use crate::scheduler::maintenance::WaveState;
use crate::scheduler::needs::{NeedKind, PoolNeed, has_shortage, take_idle_vm};
use crate::scheduler::turns::{PoolDemand, TurnTracker};
use crate::scheduler::worker_table::NameMap;
use crate::scheduler::{Scheduler, SchedulerAction, SchedulerEvent};

/// Interval between requests of the VM list while an operation or a wave is in progress, in
/// milliseconds.
const LIST_INTERVAL_BUSY_MS: u64 = 250;
/// Interval between requests of the VM list otherwise, in milliseconds.
const LIST_INTERVAL_IDLE_MS: u64 = 2_000;
/// Share of the link that lists may take, as a divisor. At 2 Mbit/s a list of 130 VMs, requested as
/// often as on a wide link, takes 0.4 of the link.
const LIST_LINK_DIVISOR: u64 = 8;
/// Size of a VM's entry in the list, in bytes.
const LIST_ENTRY_BYTES: u64 = 185;
/// Most bytes of lists to read per millisecond: the traffic of lists at a leader must not grow with
/// the number of VMs.
const LIST_BYTES_PER_MS: u64 = 500;
/// Longest pause between two lists, in milliseconds: only a list shows that a VM is back from
/// maintenance.
const LIST_PAUSE_MAX_MS: u64 = 4_000;
/// Age from which a VM list is too old to act on, beyond the pause between lists, in milliseconds.
const LIST_AGE_MAX_MS: u64 = 3_000;
/// Interval between two plans of the pools, in milliseconds.
const PLAN_INTERVAL_MS: u64 = 100;
/// Interval between two log lines about a pool, in milliseconds.
const POOL_EVENT_INTERVAL_MS: u64 = 1_000;
/// Time after which a command that was refused or not answered is sent again, in milliseconds.
const COMMAND_RETRY_MS: u64 = 300;
/// Time after which an accepted command that never showed in the list is forgotten, in
/// milliseconds.
const COMMAND_TIMEOUT_MS: u64 = 10_000;
/// Time that a VM idles before it leaves its pool, in milliseconds. A move to the standby pool and
/// back costs about as much as two seconds of a VM in a pool.
const IDLE_MIN_MS: u64 = 1_500;
/// Share of the VMs that could be assigned to a pool that may be on their way to the standby pool
/// at a time, as a divisor.
const LEAVING_DIVISOR: usize = 2;
/// Surplus of VMs from which a pool's services are consolidated: one VM more than is needed leaves
/// capacity for the next jobs.
const CONSOLIDATE_SURPLUS: usize = 2;
/// Progress of an operation on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationPhase {
    /// The VM gets no new work and is not empty yet.
    Draining,
    /// The command was sent, and was refused or not answered so far.
    Sent,
    /// The command was accepted; the list has not shown the VM back yet.
    Accepted,
}

/// Pause between two lists of `vms` VMs on a link of `link` Mbit/s, in milliseconds.
pub fn vm_list_pause_ms(vms: usize, link: u64) -> u64 {
    let bytes = u64::try_from(vms).unwrap_or(u64::MAX).saturating_mul(LIST_ENTRY_BYTES);
    let by_link = bytes.saturating_mul(8 * LIST_LINK_DIVISOR) / (link.max(1) * 1_000);
    by_link.max(bytes / LIST_BYTES_PER_MS).min(LIST_PAUSE_MAX_MS)
}

/// A planned command to a VM and its progress.
#[derive(Clone, Debug)]
pub struct VmOperation {
    /// The command.
    pub command: VmCommand,
    /// Its progress.
    pub phase: OperationPhase,
    /// When it entered the phase, in milliseconds.
    pub since_ms: u64,
    /// When the command was first sent, in milliseconds.
    pub sent_ms: Option<u64>,
    /// Earliest time to send it, or to send it again, in milliseconds.
    pub retry_ms: u64,
    /// Worker that ran on the VM when the command was first sent; empty for none. A later worker
    /// may be the incarnation that the command itself brought up, if its answer was lost.
    pub worker: Arc<str>,
    /// Whether an attempt had no answer, so that the command may be carried out at any time.
    pub is_in_doubt: bool,
}

impl VmOperation {
    /// Whether it moves the VM to this pool.
    pub fn is_for_pool(&self, pool: &str) -> bool {
        matches!(&self.command, VmCommand::Assign { pool: to, .. } if &**to == pool)
    }

    /// Whether it is for the maintenance of this wave.
    pub fn is_for_wave(&self, number: u64) -> bool {
        matches!(self.command, VmCommand::Maintain { wave, .. } if wave == number)
    }
}

/// VMs, the operations on them, and the maintenance waves.
#[derive(Debug, Default)]
pub struct FleetState {
    /// VMs by name, as last listed.
    pub vms: BTreeMap<Arc<str>, VmEntry>,
    /// Time at which the newest list was requested, in milliseconds; `None` before the first.
    pub list_as_of_ms: Option<u64>,
    /// Whether a new list should be requested soon.
    pub is_list_wanted: bool,
    /// Operations by VM.
    pub operations: BTreeMap<Arc<str>, VmOperation>,
    /// Rate of arriving work, by pool.
    pub arrivals: BTreeMap<Arc<str>, ArrivalRate>,
    /// Bursts of the pools, and the VMs that are held between them.
    pub turns: TurnTracker,
    /// Whether the setting asks for such holds.
    pub holds_vms: bool,
    /// Waves by number.
    pub waves: BTreeMap<u64, WaveState>,
    /// Pools whose services must leave several VMs at a time for a wave to finish in time.
    pub urgent_pools: BTreeSet<Arc<str>>,
    vm_by_worker: NameMap<Arc<str>>,
    /// Workers whose VMs are still to be maintained.
    due_workers: BTreeSet<Arc<str>>,
    list_requested_ms: Option<u64>,
    /// Earliest time of the next request of the list, in milliseconds.
    list_pause_end_ms: u64,
    /// Pause between two lists, in milliseconds.
    list_pause_ms: u64,
    pools_planned_ms: u64,
    pools_reported_ms: u64,
}

impl FleetState {
    /// Replaces the list by one that was requested at `requested_ms`. The list names workers
    /// without their incarnation; `incarnations` has the newest one of each.
    pub(crate) fn update_list(
        &mut self,
        vms: Vec<VmEntry>,
        incarnations: &IncarnationTable,
        requested_ms: u64,
    ) {
        self.vm_by_worker.clear();
        self.vms.clear();
        for mut vm in vms {
            vm.worker = incarnations.newest(&vm.worker).clone();
            if !vm.worker.is_empty() {
                self.vm_by_worker.insert(vm.worker.clone(), vm.vm.clone());
            }
            self.vms.insert(vm.vm.clone(), vm);
        }
        self.list_as_of_ms = Some(requested_ms);
        self.renew_due_workers();
    }

    /// Finds the workers that are due for maintenance anew, after a change of the list or a wave.
    pub(crate) fn renew_due_workers(&mut self) {
        let open: Vec<&WaveState> = self.waves.values().filter(|run| !run.is_completed).collect();
        let is_due = |vm: &Arc<str>| open.iter().any(|run| run.is_due(vm));
        self.due_workers = match open.is_empty() {
            true => BTreeSet::new(),
            false => {
                let due = self.vm_by_worker.iter().filter(|(_, vm)| is_due(vm));
                due.map(|(worker, _)| worker.clone()).collect()
            }
        };
    }

    /// Handles a restart of a worker under its name: its VM has the new incarnation now.
    pub(crate) fn rename_worker(&mut self, before: &str, id: &Arc<str>) {
        let Some(name) = self.vm_by_worker.remove(before) else { return };
        if let Some(vm) = self.vms.get_mut(&name) {
            vm.worker = id.clone();
        }
        if let Some(operation) = self.operations.get_mut(&name)
            && operation.phase == OperationPhase::Draining
        {
            operation.worker = id.clone();
        }
        self.vm_by_worker.insert(id.clone(), name);
        match self.due_workers.remove(before) {
            true => self.due_workers.insert(id.clone()),
            false => self.due_workers.remove(id),
        };
    }

    /// Adds a wave; one that is known keeps its progress.
    pub fn add_wave(&mut self, wave: MaintenanceWave, done: BTreeSet<Arc<str>>, now: u64) {
        let count = self.waves.len();
        let known = self.waves.entry(wave.number).or_insert_with(|| WaveState::new(wave, now));
        let done_before = known.done.len();
        known.done.extend(done);
        if known.done.len() != done_before || self.waves.len() != count {
            self.renew_due_workers();
        }
    }

    /// State of the VM of each listed worker, by the worker's name; `None` before the first list.
    pub fn vm_states(&self) -> Option<HashMap<&str, VmState>> {
        self.list_as_of_ms?;
        let shown = self.vms.values().filter(|vm| !vm.worker.is_empty());
        Some(shown.map(|vm| (worker_name(&vm.worker), vm.state)).collect())
    }

    /// The VM that a worker runs on; `None` if the list does not show it.
    pub fn vm_of(&self, worker: &str) -> Option<&VmEntry> {
        self.vms.get(self.vm_by_worker.get(worker)?)
    }

    /// Whether the VM of a worker is still to be maintained.
    pub fn is_due(&self, worker: &str) -> bool {
        self.due_workers.contains(worker)
    }

    /// Number of VMs with an operation that moves them to a pool and that the list does not show
    /// there yet.
    pub(crate) fn arriving(&self, pool: &str) -> usize {
        self.operations.values().filter(|operation| operation.is_for_pool(pool)).count()
    }
}

impl Scheduler {
    /// Sets how long to pause after the list that was just received, in milliseconds.
    pub fn pause_vm_list(&mut self, list_pause_ms: u64, now: u64) {
        self.fleet.list_pause_ms = list_pause_ms;
        self.fleet.list_pause_end_ms = now + list_pause_ms;
    }

    /// Advances the VM list, the operations in progress, the waves and the pools.
    pub(crate) fn plan_fleet(&mut self, now: u64) {
        self.request_list(now);
        self.advance_operations(now);
        let interval_ms = PLAN_INTERVAL_MS + round_extra_ms(self.pace.loop_delay_ms);
        if now < self.fleet.pools_planned_ms + interval_ms || !self.is_confirmed(now) {
            return;
        }
        self.fleet.pools_planned_ms = now;
        let age_max_ms = LIST_AGE_MAX_MS + self.fleet.list_pause_ms;
        let is_fresh = self.fleet.list_as_of_ms.is_some_and(|listed| now < listed + age_max_ms);
        if is_fresh {
            let needs = self.pool_needs(now);
            self.emit_pools(&needs, now);
            self.plan_waves(has_shortage(&needs), now);
            self.reassign_withheld_vms(now);
            self.plan_pools(needs, now);
            self.evict_services(now);
        } else {
            self.count_owed_starts(now);
        }
        self.reserve_workers();
    }

    fn request_list(&mut self, now: u64) {
        let is_busy = self.fleet.is_list_wanted
            || !self.fleet.operations.is_empty()
            || self.fleet.waves.values().any(|wave| !wave.is_completed);
        let gap = if is_busy { LIST_INTERVAL_BUSY_MS } else { LIST_INTERVAL_IDLE_MS };
        let is_due = self.fleet.list_requested_ms.is_none_or(|asked| now >= asked + gap);
        if is_due && now >= self.fleet.list_pause_end_ms {
            self.fleet.list_requested_ms = Some(now);
            self.fleet.is_list_wanted = false;
            self.actions.push(SchedulerAction::ListVms);
        }
    }

    /// Reserves the workers of VMs with an operation: they get no new work.
    fn reserve_workers(&mut self) {
        let reserved: BTreeSet<Arc<str>> = self
            .fleet
            .operations
            .keys()
            .filter_map(|vm| self.fleet.vms.get(vm))
            .map(|vm| vm.worker.clone())
            .collect();
        for worker in self.workers.values_mut() {
            let is_reserved = reserved.contains(&worker.entry.id);
            self.needs_dispatch |= worker.is_reserved && !is_reserved;
            worker.is_reserved = is_reserved;
        }
    }

    fn advance_operations(&mut self, now: u64) {
        let names: Vec<Arc<str>> = self.fleet.operations.keys().cloned().collect();
        for name in names {
            self.reconcile_with_list(&name, now);
            self.advance_operation(&name, now);
        }
    }

    /// Checks whether a VM list requested after the command was sent shows its effect.
    ///
    /// Where the VM service takes seconds to answer, the VM is at work in its new pool before any
    /// answer has come. A VM that crashed in the meantime may have work again: the command is then
    /// held back until the VM is empty, as at first.
    fn reconcile_with_list(&mut self, name: &Arc<str>, now: u64) {
        let list_as_of_ms = self.fleet.list_as_of_ms.unwrap_or(0);
        let Some(vm) = self.fleet.vms.get(name) else { return };
        let Some(operation) = self.fleet.operations.get_mut(name) else { return };
        if operation.phase != OperationPhase::Sent || list_as_of_ms <= operation.since_ms {
            return;
        }
        if operation.is_for_pool(&vm.pool) {
            operation.phase = OperationPhase::Accepted;
            let worker = operation.worker.clone();
            self.end_incarnation(&worker, IncarnationEnd::Moved, now);
            return;
        }
        let is_other_incarnation = !vm.worker.is_empty() && vm.worker != operation.worker;
        if is_other_incarnation && matches!(operation.command, VmCommand::Assign { .. }) {
            operation.phase = OperationPhase::Draining;
        }
    }

    fn advance_operation(&mut self, name: &Arc<str>, now: u64) {
        let fence = self.fence();
        let may_command = self.may_command_vms(now);
        let list_as_of_ms = self.fleet.list_as_of_ms.unwrap_or(0);
        let Some(vm) = self.fleet.vms.get(name).cloned() else {
            self.fleet.operations.remove(name);
            return;
        };
        let is_empty = vm.worker.is_empty() || self.is_drained(&vm.worker);
        let Some(operation) = self.fleet.operations.get_mut(name) else { return };
        match operation.phase {
            OperationPhase::Accepted => {
                // A VM that is off has no worker whose change would show that it was down. The list
                // was requested after the command had begun, and would show the VM down.
                let is_back = vm.state == VmState::Up
                    && list_as_of_ms > operation.since_ms
                    && (vm.worker != operation.worker || vm.worker.is_empty());
                let is_move = matches!(operation.command, VmCommand::Assign { .. });
                if let Some(sent_ms) = operation.sent_ms.filter(|_| is_back && is_move) {
                    self.fleet.turns.observe_move(now.saturating_sub(sent_ms));
                }
                if is_back || now > operation.since_ms + COMMAND_TIMEOUT_MS {
                    self.fleet.operations.remove(name);
                }
            }
            OperationPhase::Draining if !is_empty => {}
            OperationPhase::Draining | OperationPhase::Sent => {
                if now < operation.retry_ms || !may_command {
                    return;
                }
                let is_first = operation.phase == OperationPhase::Draining;
                if let (VmCommand::Maintain { wave, .. }, true) = (&operation.command, is_first) {
                    let wave = *wave;
                    if !self.may_go_down(wave) {
                        return;
                    }
                }
                let Some(operation) = self.fleet.operations.get_mut(name) else { return };
                if is_first {
                    operation.phase = OperationPhase::Sent;
                    operation.since_ms = now;
                    operation.sent_ms = Some(now);
                    operation.worker = vm.worker.clone();
                }
                // An answer that has not come by then counts as lost.
                operation.retry_ms = now + COMMAND_TIMEOUT_MS;
                let command = operation.command.clone();
                self.actions.push(SchedulerAction::CommandVm(command, fence));
            }
        }
    }

    /// Whether nothing runs on a worker and the log has all of its exits.
    pub(crate) fn is_drained(&self, worker: &str) -> bool {
        self.workers.get(worker).is_none_or(|worker| {
            worker.runs.is_empty() && worker.exits_committed >= worker.exits_seen
        })
    }

    /// Handles the outcome of a command to a VM.
    pub fn vm_commanded(&mut self, command: &VmCommand, outcome: VmOutcome, now: u64) {
        let name = command.vm().clone();
        let change = format!("{command:?}: {outcome:?}");
        self.emit(SchedulerEvent::Vm { vm: name.clone(), change });
        self.fleet.is_list_wanted = true;
        if outcome == VmOutcome::Fenced {
            self.is_deposed = true;
            return;
        }
        let Some(operation) = self.fleet.operations.get_mut(&name) else { return };
        if operation.command != *command {
            return;
        }
        match outcome {
            VmOutcome::Done => {
                operation.phase = OperationPhase::Accepted;
                operation.since_ms = now;
                let worker = operation.worker.clone();
                if let VmCommand::Maintain { wave, .. } = command {
                    self.mark_maintained(*wave, &name);
                }
                self.end_incarnation(&worker, IncarnationEnd::Commanded, now);
            }
            VmOutcome::Unknown => {
                // The command may be carried out at any time and end the runs on the VM. The VM
                // stays reserved until the same command, which is idempotent, was accepted.
                operation.is_in_doubt = true;
                operation.retry_ms = now + COMMAND_RETRY_MS;
            }
            VmOutcome::Refused => operation.retry_ms = now + COMMAND_RETRY_MS,
            VmOutcome::Busy if operation.is_in_doubt => operation.retry_ms = now + COMMAND_RETRY_MS,
            VmOutcome::Busy => {
                self.fleet.operations.remove(&name);
            }
            VmOutcome::Malformed => {
                self.fleet.operations.remove(&name);
                if let VmCommand::Maintain { wave, .. } = command {
                    self.remove_from_wave(*wave, &name);
                }
            }
            VmOutcome::Fenced => {}
        }
    }

    /// Plans a command for a VM and reserves its worker.
    pub(crate) fn plan_operation(&mut self, command: VmCommand, now: u64) {
        let vm = command.vm().clone();
        let change = format!("{command:?}: planned");
        self.emit(SchedulerEvent::Vm { vm: vm.clone(), change });
        let worker = self.fleet.vms.get(&vm).map(|vm| vm.worker.clone()).unwrap_or_default();
        let operation = VmOperation {
            command,
            phase: OperationPhase::Draining,
            since_ms: now,
            sent_ms: None,
            retry_ms: now,
            worker: worker.clone(),
            is_in_doubt: false,
        };
        self.fleet.operations.insert(vm, operation);
        if let Some(worker) = self.workers.get_mut(&worker) {
            worker.is_reserved = true;
        }
    }

    fn plan_pools(&mut self, mut needs: BTreeMap<Arc<str>, PoolNeed>, now: u64) {
        let standby: Option<Arc<str>> =
            self.config.pools.iter().find(|pool| pool.is_standby).map(|pool| pool.name.clone());
        let mut spare = self.standby_vms();
        // Waiting work precedes expected work, in every pool.
        for kind in [NeedKind::Now, NeedKind::Soon] {
            let short: Vec<(Arc<str>, usize)> =
                needs.iter().map(|(pool, need)| (pool.clone(), need.shortage(kind))).collect();
            for (pool, count) in short {
                for _ in 0..count {
                    let donor = take_idle_vm(&mut needs, &pool, kind)
                        .or_else(|| self.take_leaving_vm(&needs, &pool, true))
                        .or_else(|| spare.pop())
                        .or_else(|| self.take_leaving_vm(&needs, &pool, false));
                    let Some(vm) = donor else { break };
                    if let Some(need) = needs.get_mut(&pool) {
                        need.arriving += 1;
                    }
                    self.plan_operation(VmCommand::Assign { vm, pool: pool.clone() }, now);
                }
            }
        }
        let Some(standby) = standby else { return };
        self.update_turns(&needs, spare.len(), now);
        self.cancel_unneeded_moves(&needs, &standby);
        self.consolidate_services(&needs, &standby, now);
        let surplus = |need: &PoolNeed| need.surplus(NeedKind::Soon).min(need.idle.len());
        let idle: usize = needs.values().map(surplus).sum();
        // A VM on its way to the standby pool can't be assigned elsewhere, and the next queue's
        // burst may begin at any moment. So only a part of the available VMs leaves at a time.
        let available = idle + spare.len();
        let leaving = self.fleet.arriving(&standby);
        let mut allowed = (available / LEAVING_DIVISOR).max(1).saturating_sub(leaving);
        for (pool, need) in &needs {
            let idle = need.idle.iter().filter(|(_, idle_ms)| *idle_ms >= IDLE_MIN_MS);
            let held = self.fleet.turns.held(pool);
            for (vm, _) in idle.take(surplus(need).saturating_sub(held)) {
                if allowed == 0 {
                    return;
                }
                allowed -= 1;
                self.plan_operation(
                    VmCommand::Assign { vm: vm.clone(), pool: standby.clone() },
                    now,
                );
            }
        }
    }

    /// Sets whether VMs are held between bursts of different pools.
    pub fn set_burst_holds(&mut self, is_on: bool) {
        self.fleet.holds_vms = is_on;
    }

    /// Updates the holds of VMs between bursts, and emits their changes.
    fn update_turns(
        &mut self,
        needs: &BTreeMap<Arc<str>, PoolNeed>,
        standby_count: usize,
        now: u64,
    ) {
        if !self.fleet.holds_vms {
            return;
        }
        let hold_ms = self.fleet.turns.hold_ms();
        let demand = |need: &PoolNeed| PoolDemand {
            needed: need.needed,
            usable: need.usable,
            idle: need.idle.len(),
            fresh: need.idle.iter().filter(|(_, idle_ms)| *idle_ms < hold_ms).count(),
        };
        let demands = needs.iter().map(|(pool, need)| (pool.clone(), demand(need))).collect();
        for change in self.fleet.turns.update(&demands, standby_count, now) {
            self.emit(SchedulerEvent::Hold(change));
        }
    }

    /// Takes a VM whose move to a standby pool is planned and not commanded yet. With `is_empty`,
    /// nothing runs on it any more.
    fn take_leaving_vm(
        &mut self,
        needs: &BTreeMap<Arc<str>, PoolNeed>,
        to: &str,
        is_empty: bool,
    ) -> Option<Arc<str>> {
        if !self.fleet.holds_vms {
            return None;
        }
        let is_standby = |pool: &str| self.config.pool(pool).is_some_and(|pool| pool.is_standby);
        let is_leaving = |operation: &VmOperation| {
            let is_planned = operation.phase == OperationPhase::Draining;
            is_planned
                && matches!(&operation.command, VmCommand::Assign { pool, .. } if is_standby(pool))
        };
        let is_free = |name: &Arc<str>| {
            let Some(vm) = self.fleet.vms.get(name) else { return false };
            let is_drained = vm.worker.is_empty() || self.is_drained(&vm.worker);
            // A pool that is short keeps its own VMs.
            let is_short =
                needs.get(&vm.pool).is_some_and(|need| need.shortage(NeedKind::Soon) > 0);
            &*vm.pool != to && !is_short && (is_drained || !is_empty)
        };
        let (name, _) = self
            .fleet
            .operations
            .iter()
            .find(|(name, operation)| is_leaving(operation) && is_free(name))?;
        let name = name.clone();
        self.fleet.operations.remove(&name);
        Some(name)
    }

    fn emit_pools(&mut self, needs: &BTreeMap<Arc<str>, PoolNeed>, now: u64) {
        if now < self.fleet.pools_reported_ms + POOL_EVENT_INTERVAL_MS {
            return;
        }
        self.fleet.pools_reported_ms = now;
        for (pool, need) in needs {
            self.emit(SchedulerEvent::Pool {
                pool: pool.clone(),
                needed: need.needed,
                usable: need.usable,
                idle: need.idle.len(),
                booked: need.allocated.dominant_share_of(&need.capacity),
            });
        }
    }

    /// Cancels the draining of VMs for the standby pool where their pool needs them again.
    fn cancel_unneeded_moves(&mut self, needs: &BTreeMap<Arc<str>, PoolNeed>, standby: &str) {
        let is_wanted = |vm: &Arc<str>| {
            let pool = self.fleet.vms.get(vm).map(|vm| &vm.pool);
            pool.and_then(|pool| needs.get(pool))
                .is_some_and(|need| need.shortage(NeedKind::Soon) > 0)
        };
        let kept: Vec<Arc<str>> = self
            .fleet
            .operations
            .iter()
            .filter(|(_, operation)| operation.phase == OperationPhase::Draining)
            .filter(|(_, operation)| operation.is_for_pool(standby))
            .filter(|(vm, _)| is_wanted(vm))
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in kept {
            self.fleet.operations.remove(&vm);
        }
    }

    /// Consolidates services, which a burst leaves on more VMs than they need. One VM per pool at a
    /// time is drained: the one with the fewest services among those with nothing else.
    fn consolidate_services(
        &mut self,
        needs: &BTreeMap<Arc<str>, PoolNeed>,
        standby: &Arc<str>,
        now: u64,
    ) {
        let mut chosen = Vec::new();
        for (pool, need) in needs {
            if need.surplus(NeedKind::Soon) < CONSOLIDATE_SURPLUS || !need.idle.is_empty() {
                continue;
            }
            let is_busy = self.fleet.operations.iter().any(|(vm, operation)| {
                operation.phase == OperationPhase::Draining
                    && self.fleet.vms.get(vm).is_some_and(|vm| vm.pool == *pool)
            });
            if is_busy {
                continue;
            }
            let fewest = self
                .workers
                .pool(pool)
                .map(|(_, worker)| worker)
                .filter(|worker| worker.may_take_starts(now))
                .filter(|worker| worker.runs.values().all(|run| run.is_service))
                .filter(|worker| !worker.runs.is_empty())
                .min_by_key(|worker| worker.runs.len());
            let vm = fewest.and_then(|worker| self.fleet.vm_of(&worker.entry.id));
            chosen.extend(vm.filter(|vm| vm.state == VmState::Up).map(|vm| vm.vm.clone()));
        }
        for vm in chosen {
            self.plan_operation(VmCommand::Assign { vm, pool: standby.clone() }, now);
        }
    }

    /// Available VMs of standby pools; those due for maintenance come first, and are taken last.
    fn standby_vms(&self) -> Vec<Arc<str>> {
        let is_standby = |pool: &str| self.config.pool(pool).is_some_and(|pool| pool.is_standby);
        let mut vms: Vec<(bool, Arc<str>)> = self
            .fleet
            .vms
            .values()
            .filter(|vm| is_standby(&vm.pool) && vm.state == VmState::Up)
            .filter(|vm| !self.fleet.operations.contains_key(&vm.vm))
            .map(|vm| (!self.fleet.waves.values().any(|wave| wave.is_due(&vm.vm)), vm.vm.clone()))
            .collect();
        vms.sort();
        vms.into_iter().map(|(_, vm)| vm).collect()
    }
}
