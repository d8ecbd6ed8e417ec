//! Plans a steward's next acts for the VMs of its data centre: placement, drains, reboots and
//! replacements.
//!
//! A planning step looks at the document, the fleet states of all data centres and the probe
//! results, and returns acts for the steward to append. The steward treats an act as done only once
//! it has read it back, so a step may return the same act twice; the fleet state refuses the
//! second.
//!
//! A drain by itself never takes a product below its capacity. It starts only if the shortfall that
//! a loss of the worst remaining rack would cause until the end of the drain fits into the rest of
//! the availability budget. One reserve thus serves failures and maintenance, and a budget that
//! failures have spent slows the wave down until it pauses.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::decide::fleet::{DrainReason, FleetState, StewardAct, VmPhase, VmState};
use crate::document::{IntentDocument, PoolSpec, ProductSpec, VmSpec, WaveSpec};
use crate::name::{CentreName, PoolName, ProductName, RackName, VmName, WaveName};

/// Milliseconds in a day.
pub const DAY_MS: u64 = 86_400_000;
/// Upper bound for the acts of one step; the rest follow in the next steps.
const ACTS_MAX: usize = 64;

/// Probe results for a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeView {
    /// Boot number in its newest answer.
    pub boot: u64,
    /// Whether the newest probe was answered.
    pub is_answering: bool,
    /// Milliseconds since its last answer.
    pub silent_ms: u64,
}

/// Durations that a planning step uses, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct PlanTimes {
    /// Time without an answer after which a VM counts as lost.
    pub lost_after_ms: u64,
    /// Time that a lost VM has for coming back before a spare one replaces it.
    pub replace_after_ms: u64,
    /// Estimated time of a drain, a reboot and a return together.
    pub drain_ms: u64,
}

/// Input of a planning step.
#[derive(Clone, Copy, Debug)]
pub struct PlanInput<'a> {
    /// Data centre to plan for.
    pub centre: &'a CentreName,
    /// The accepted document.
    pub document: &'a IntentDocument,
    /// Fleet states of all data centres.
    pub fleets: &'a BTreeMap<CentreName, Arc<FleetState>>,
    /// Probe results for this data centre's workers.
    pub probes: &'a BTreeMap<VmName, ProbeView>,
    /// Steward's wall clock, in milliseconds since the epoch.
    pub wall_ms: u64,
    /// Durations.
    pub times: PlanTimes,
}

/// Plans one step and returns the acts to append.
pub fn plan(input: &PlanInput<'_>) -> Vec<StewardAct> {
    let mut planner = WavePlanner::new(input);
    planner.advance_drains();
    planner.follow_probes();
    planner.fill_pools();
    planner.drain_surplus();
    planner.start_wave_drains();
    planner.acts.truncate(ACTS_MAX);
    planner.acts
}

/// Number of a product's workers by phase, over all data centres.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProductWorkers {
    /// Workers that serve.
    pub serving: u32,
    /// Workers that are being drained or rebooted on purpose.
    pub planned: u32,
    /// Workers that are lost.
    pub lost: u32,
}

/// Counts the workers of every product over the fleet states of all data centres, in one pass.
pub fn product_workers<'a>(
    document: &'a IntentDocument,
    fleets: &BTreeMap<CentreName, Arc<FleetState>>,
) -> HashMap<&'a ProductName, ProductWorkers> {
    let product_of = products_by_pool(document);
    let mut counts: HashMap<&ProductName, ProductWorkers> = document
        .products
        .iter()
        .map(|product| (&product.name, ProductWorkers::default()))
        .collect();
    for state in fleets.values().flat_map(|fleet| fleet.vms.values()) {
        let product = state.pool.as_ref().and_then(|pool| product_of.get(pool));
        let Some(workers) = product.and_then(|product| counts.get_mut(product)) else {
            continue;
        };
        match state.phase {
            VmPhase::Serving => workers.serving += 1,
            VmPhase::Draining { .. } | VmPhase::Rebooting { .. } => workers.planned += 1,
            VmPhase::Lost { .. } => workers.lost += 1,
            VmPhase::Spare => {}
        }
    }
    counts
}

fn products_by_pool(document: &IntentDocument) -> HashMap<&PoolName, &ProductName> {
    document.pools.iter().map(|pool| (&pool.name, &pool.product)).collect()
}

/// Serving workers that a product lacks at the moment.
pub fn shortfall(
    document: &IntentDocument,
    workers: &ProductWorkers,
    product: &ProductSpec,
) -> u32 {
    // Until the first placement is complete, the fleet is being set up and has no shortfall.
    let placed = workers.serving + workers.planned + workers.lost;
    let capacity = product.capacity.min(document.workers_of(&product.name));
    if placed < capacity { 0 } else { capacity.saturating_sub(workers.serving) }
}

/// Key of a rack: rack names are unique only within a data centre.
type RackKey<'a> = (&'a CentreName, &'a RackName);

fn serving_by_rack<'a>(
    input: &PlanInput<'a>,
    product_of: &HashMap<&'a PoolName, &'a ProductName>,
) -> HashMap<&'a ProductName, HashMap<RackKey<'a>, u32>> {
    let mut racks: HashMap<&ProductName, HashMap<RackKey<'a>, u32>> = HashMap::new();
    for spec in &input.document.vms {
        let fleet = input.fleets.get(&spec.data_centre);
        let Some(state) = fleet.and_then(|fleet| fleet.vms.get(&spec.name)) else { continue };
        let product = state.pool.as_ref().and_then(|pool| product_of.get(pool));
        if let Some(product) = product.filter(|_| state.phase == VmPhase::Serving) {
            let rack = (&spec.data_centre, &spec.rack);
            *racks.entry(product).or_default().entry(rack).or_default() += 1;
        }
    }
    racks
}

struct WavePlanner<'a> {
    input: &'a PlanInput<'a>,
    fleet: &'a FleetState,
    specs: BTreeMap<&'a VmName, &'a VmSpec>,
    limit_ms: u64,
    taken: BTreeSet<VmName>,
    workers_by_product: HashMap<&'a ProductName, ProductWorkers>,
    product_of: HashMap<&'a PoolName, &'a ProductName>,
    /// Serving workers of each product by rack, without those that this step drains.
    racks: HashMap<&'a ProductName, HashMap<RackKey<'a>, u32>>,
    acts: Vec<StewardAct>,
}

impl<'a> WavePlanner<'a> {
    fn new(input: &'a PlanInput<'a>) -> Self {
        static NO_FLEET: std::sync::LazyLock<FleetState> =
            std::sync::LazyLock::new(FleetState::default);
        let own = input.document.vms.iter().filter(|vm| vm.data_centre == *input.centre);
        let product_of = products_by_pool(input.document);
        WavePlanner {
            input,
            fleet: input.fleets.get(input.centre).map_or(&NO_FLEET, |fleet| fleet),
            specs: own.map(|vm| (&vm.name, vm)).collect(),
            limit_ms: input.document.longest_time_limit_ms(),
            taken: BTreeSet::new(),
            workers_by_product: product_workers(input.document, input.fleets),
            racks: serving_by_rack(input, &product_of),
            product_of,
            acts: Vec::new(),
        }
    }

    fn probe(&self, vm: &VmName) -> Option<&ProbeView> {
        self.input.probes.get(vm)
    }

    fn live_boot(&self, vm: &VmName) -> Option<u64> {
        self.probe(vm).filter(|probe| probe.is_answering).map(|probe| probe.boot)
    }

    /// Continues the drains and reboots that have begun.
    fn advance_drains(&mut self) {
        for (vm, state) in &self.fleet.vms {
            match &state.phase {
                VmPhase::Draining { reason, .. } if state.is_drained(self.input.wall_ms) => {
                    // An evicted entry may know this boot, so the next pool must not get it.
                    let fenced = state.fenced_boot == Some(state.boot);
                    let act = match reason {
                        DrainReason::Move if !fenced => StewardAct::Release { vm: vm.clone() },
                        DrainReason::Move | DrainReason::Wave(_) => {
                            StewardAct::Reboot { vm: vm.clone() }
                        }
                    };
                    self.acts.push(act);
                }
                VmPhase::Rebooting { reason } => self.after_reboot(vm, state, reason),
                VmPhase::Serving
                | VmPhase::Draining { .. }
                | VmPhase::Lost { .. }
                | VmPhase::Spare => {}
            }
        }
    }

    fn after_reboot(&mut self, vm: &VmName, state: &VmState, reason: &DrainReason) {
        let Some(boot) = self.live_boot(vm).filter(|boot| *boot != state.boot) else { return };
        let act = match reason {
            DrainReason::Wave(_) => StewardAct::Return { vm: vm.clone(), boot },
            DrainReason::Move => StewardAct::Release { vm: vm.clone() },
        };
        self.acts.push(act);
    }

    /// Reacts to VMs that were lost, restarted or came back.
    fn follow_probes(&mut self) {
        for (vm, state) in &self.fleet.vms {
            let Some(probe) = self.probe(vm) else { continue };
            let lost = !probe.is_answering && probe.silent_ms >= self.input.times.lost_after_ms;
            match &state.phase {
                VmPhase::Serving if lost => self.acts.push(StewardAct::Lost { vm: vm.clone() }),
                VmPhase::Serving if probe.is_answering && probe.boot != state.boot => {
                    self.acts.push(StewardAct::Return { vm: vm.clone(), boot: probe.boot });
                }
                VmPhase::Draining { .. } if lost => {
                    self.acts.push(StewardAct::Lost { vm: vm.clone() });
                }
                VmPhase::Rebooting { .. }
                    if !probe.is_answering
                        && probe.silent_ms >= self.input.times.replace_after_ms =>
                {
                    self.acts.push(StewardAct::Lost { vm: vm.clone() });
                }
                VmPhase::Lost { .. } if probe.is_answering => {
                    self.acts.push(StewardAct::Return { vm: vm.clone(), boot: probe.boot });
                }
                VmPhase::Lost { .. }
                    if probe.silent_ms >= self.input.times.replace_after_ms
                        && self.has_spare(state.pool.as_ref()) =>
                {
                    self.acts.push(StewardAct::Release { vm: vm.clone() });
                }
                VmPhase::Serving
                | VmPhase::Draining { .. }
                | VmPhase::Rebooting { .. }
                | VmPhase::Lost { .. }
                | VmPhase::Spare => {}
            }
        }
    }

    fn has_spare(&self, pool: Option<&PoolName>) -> bool {
        let Some(pool) = pool.and_then(|pool| self.input.document.pool(pool)) else { return true };
        self.specs.values().any(|spec| self.assignable_boot(spec, pool).is_some())
    }

    /// Boot number with which a spare VM can join the pool; `None` if it can't.
    fn assignable_boot(&self, spec: &VmSpec, pool: &PoolSpec) -> Option<u64> {
        let state = self.fleet.vm(&spec.name);
        let fits = state.phase == VmPhase::Spare
            && spec.accelerators >= pool.accelerators
            && !self.taken.contains(&spec.name);
        self.live_boot(&spec.name).filter(|boot| fits && state.fenced_boot != Some(*boot))
    }

    fn members(&self, pool: &PoolName) -> Vec<(&'a VmName, &'a VmState)> {
        let members = self.fleet.vms.iter();
        members.filter(|(_, state)| state.pool.as_ref() == Some(pool)).collect()
    }

    /// Fills pools with spare VMs, preferring racks with the fewest members of the pool.
    fn fill_pools(&mut self) {
        let mut pools: Vec<&PoolSpec> = self.input.document.pools.iter().collect();
        pools.sort_by_key(|pool| std::cmp::Reverse(pool.accelerators));
        for pool in pools {
            let members = self.members(&pool.name);
            let wanted = pool.workers.get(self.input.centre).copied().unwrap_or(0) as usize;
            let mut racks: BTreeMap<&RackName, u32> = BTreeMap::new();
            for (vm, _) in &members {
                if let Some(spec) = self.specs.get(*vm) {
                    *racks.entry(&spec.rack).or_default() += 1;
                }
            }
            for _ in members.len()..wanted {
                let Some((spec, boot)) = self.best_spare(pool, &racks) else { break };
                *racks.entry(&spec.rack).or_default() += 1;
                self.taken.insert(spec.name.clone());
                let (vm, pool) = (spec.name.clone(), pool.name.clone());
                self.acts.push(StewardAct::Assign { vm, pool, boot });
            }
        }
    }

    /// The best spare VM for a pool: in the rack with the fewest members of the pool, and otherwise
    /// the one that other pools need least.
    fn best_spare(
        &self,
        pool: &PoolSpec,
        racks: &BTreeMap<&RackName, u32>,
    ) -> Option<(&'a VmSpec, u64)> {
        let assignable =
            self.specs.values().filter_map(|spec| Some((*spec, self.assignable_boot(spec, pool)?)));
        let mut left: BTreeMap<&RackName, u32> = BTreeMap::new();
        for (spec, _) in assignable.clone() {
            *left.entry(&spec.rack).or_default() += 1;
        }
        assignable.min_by_key(|(spec, _)| {
            let same = racks.get(&spec.rack).copied().unwrap_or(0);
            let spares = std::cmp::Reverse(left.get(&spec.rack).copied().unwrap_or(0));
            (same, spec.accelerators, spares, &spec.name)
        })
    }

    /// Drains VMs that exceed the size of their pool, and VMs that the document no longer contains.
    fn drain_surplus(&mut self) {
        let mut surplus: Vec<&VmName> = Vec::new();
        for pool in &self.input.document.pools {
            let members = self.members(&pool.name);
            let wanted = pool.workers.get(self.input.centre).copied().unwrap_or(0) as usize;
            let excess = members.len().saturating_sub(wanted);
            let mut members = members;
            // VMs that the document no longer contains go first, since they have to go in any case.
            members.sort_by_key(|(vm, _)| self.specs.contains_key(*vm));
            let serving = members.iter().filter(|(_, state)| state.phase == VmPhase::Serving);
            let moving = members.iter().filter(|(_, state)| is_moving(state)).count();
            surplus.extend(serving.map(|(vm, _)| *vm).take(excess.saturating_sub(moving)));
        }
        for (vm, state) in &self.fleet.vms {
            let pool = state.pool.as_ref();
            let orphan = pool.is_some_and(|pool| self.input.document.pool(pool).is_none());
            if state.phase == VmPhase::Serving && (orphan || !self.specs.contains_key(vm)) {
                surplus.push(vm);
            }
        }
        for vm in surplus {
            if self.may_drain(vm) {
                self.drain(vm, DrainReason::Move);
            }
        }
    }

    fn drain(&mut self, vm: &VmName, reason: DrainReason) {
        if !self.taken.insert(vm.clone()) {
            return;
        }
        if let Some(product) = self.product_of(vm)
            && let Some(workers) = self.workers_by_product.get_mut(&product.name)
        {
            workers.serving -= 1;
            workers.planned += 1;
            self.remove_from_rack(&product.name, vm);
        }
        self.acts.push(StewardAct::Drain { vm: vm.clone(), reason, limit_ms: self.limit_ms });
    }

    fn remove_from_rack(&mut self, product: &ProductName, vm: &VmName) {
        let Some(rack) = self.specs.get(vm).map(|spec| &spec.rack) else { return };
        let serving =
            self.racks.get_mut(product).and_then(|r| r.get_mut(&(self.input.centre, rack)));
        if let Some(serving) = serving {
            *serving = serving.saturating_sub(1);
        }
    }

    fn product_of(&self, vm: &VmName) -> Option<&'a ProductSpec> {
        let pool = self.fleet.vms.get(vm)?.pool.as_ref()?;
        let pool = self.input.document.pool(pool)?;
        self.input.document.products.iter().find(|product| product.name == pool.product)
    }

    /// Whether a VM may be drained now.
    fn may_drain(&self, vm: &VmName) -> bool {
        let Some(product) = self.product_of(vm) else { return true };
        let workers = self.workers_by_product.get(&product.name).copied().unwrap_or_default();
        if workers.serving <= product.capacity || workers.planned >= self.parallel_max(product) {
            return false;
        }
        let after = workers.serving - 1;
        let worst = self.worst_rack(&product.name, vm);
        let short = u64::from(product.capacity.saturating_sub(after.saturating_sub(worst)));
        short * self.input.times.drain_ms <= self.remaining_budget_ms(product)
    }

    /// VMs of a product that may be out of service at a time: one, or up to its number of spare
    /// workers, depending on its rollout weight.
    fn parallel_max(&self, product: &ProductSpec) -> u32 {
        let spare = self.input.document.workers_of(&product.name).saturating_sub(product.capacity);
        let more = u64::from(spare.saturating_sub(1)) * u64::from(product.rollout_weight);
        1 + u32::try_from(more.div_ceil(100)).unwrap_or(u32::MAX)
    }

    /// Highest number of serving workers that a product has in one rack, not counting `vm`.
    fn worst_rack(&self, product: &ProductName, vm: &VmName) -> u32 {
        let own = self.specs.get(vm).map(|spec| &spec.rack);
        let racks = self.racks.get(product).into_iter().flatten();
        let without = racks.map(|(rack, serving)| match own {
            Some(own) if *rack == (self.input.centre, own) => serving.saturating_sub(1),
            _ => *serving,
        });
        without.max().unwrap_or(0)
    }

    fn remaining_budget_ms(&self, product: &ProductSpec) -> u64 {
        let day = self.input.wall_ms / DAY_MS;
        let fleets = self.input.fleets.values();
        let spent: u64 = fleets.map(|fleet| fleet.spent_worker_ms(&product.name, day)).sum();
        (u64::from(product.budget_worker_minutes) * 60_000).saturating_sub(spent)
    }

    /// Starts the drains of the waves, rack by rack, as far as capacities and budgets allow.
    fn start_wave_drains(&mut self) {
        for wave in self.input.document.waves.iter().filter(|wave| !wave.cancelled) {
            let mut candidates = self.candidates(wave);
            candidates.sort_by_key(|vm| self.rack_order(vm));
            let pending = self.pending_by_centre(wave);
            for vm in candidates {
                let Some(product) = self.product_of(vm) else { continue };
                let allowed = self.allowance(wave, &product.name, &pending);
                if self.unavailable_here(&product.name) < allowed && self.may_drain(vm) {
                    self.drain(vm, DrainReason::Wave(wave.name.clone()));
                }
            }
        }
    }

    /// Serving VMs of this data centre that the wave has not reached yet, for the products that may
    /// have VMs out of service here.
    fn candidates(&self, wave: &WaveSpec) -> Vec<&'a VmName> {
        let pending = self.pending_by_centre(wave);
        let mut found = Vec::new();
        for pool in wave.pools.iter().filter_map(|pool| self.input.document.pool(pool)) {
            if self.allowance(wave, &pool.product, &pending) == 0 {
                continue;
            }
            let members = self.members(&pool.name).into_iter();
            let pending = members.filter(|(vm, state)| {
                state.phase == VmPhase::Serving
                    && is_pending(&wave.name, state)
                    && !self.taken.contains(*vm)
            });
            found.extend(pending.map(|(vm, _)| vm));
        }
        found
    }

    /// VMs that the wave has not finished yet, by product and data centre.
    fn pending_by_centre(
        &self,
        wave: &WaveSpec,
    ) -> HashMap<(&'a ProductName, &'a CentreName), u32> {
        let mut pending = HashMap::new();
        for (centre, fleet) in self.input.fleets {
            let left = fleet.vms.values().filter(|state| {
                is_pending(&wave.name, state) && !matches!(state.phase, VmPhase::Lost { .. })
            });
            for state in left {
                if state.pool.as_ref().is_some_and(|pool| wave.pools.contains(pool))
                    && let Some(product) = self.product_of_state(state)
                {
                    *pending.entry((product, centre)).or_default() += 1;
                }
            }
        }
        pending
    }

    /// VMs of a product that this data centre may have out of service at a time: the rest of the
    /// product's parallel drains once the data centres that precede it in the document have drained
    /// all their pending VMs. Otherwise each steward would count on the VMs of the others.
    fn allowance(
        &self,
        wave: &WaveSpec,
        product: &ProductName,
        pending: &HashMap<(&ProductName, &CentreName), u32>,
    ) -> u32 {
        let centres = self.input.document.data_centres.iter().map(|centre| &centre.name);
        let earlier = centres.take_while(|centre| *centre != self.input.centre);
        let ahead: u32 = earlier
            .filter(|centre| wave.covers(centre))
            .filter_map(|centre| pending.get(&(product, centre)))
            .sum();
        let spec = self.input.document.products.iter().find(|spec| spec.name == *product);
        let covered = wave.covers(self.input.centre);
        spec.filter(|_| covered).map_or(0, |spec| self.parallel_max(spec).saturating_sub(ahead))
    }

    fn product_of_state(&self, state: &VmState) -> Option<&'a ProductName> {
        state.pool.as_ref().and_then(|pool| self.product_of.get(pool)).copied()
    }

    /// VMs of a product that are out of service in this data centre, including the drains of this
    /// step.
    fn unavailable_here(&self, product: &ProductName) -> u32 {
        let out = self.fleet.vms.iter().filter(|(vm, state)| {
            let planned =
                matches!(state.phase, VmPhase::Draining { .. } | VmPhase::Rebooting { .. });
            (planned || self.taken.contains(*vm)) && self.product_of_state(state) == Some(product)
        });
        u32::try_from(out.count()).unwrap_or(u32::MAX)
    }

    /// Sorts racks with VMs out of service first, so that a wave finishes one rack before the next.
    fn rack_order(&self, vm: &VmName) -> (bool, Option<&'a RackName>, VmName) {
        let rack = self.specs.get(vm).map(|spec| &spec.rack);
        let begun = self.fleet.vms.iter().any(|(other, state)| {
            matches!(state.phase, VmPhase::Draining { .. } | VmPhase::Rebooting { .. })
                && self.specs.get(other).map(|spec| &spec.rack) == rack
        });
        (!begun, rack, vm.clone())
    }
}

fn is_pending(wave: &WaveName, state: &VmState) -> bool {
    !state.waves.contains(wave)
}

fn is_moving(state: &VmState) -> bool {
    matches!(
        &state.phase,
        VmPhase::Draining { reason: DrainReason::Move, .. }
            | VmPhase::Rebooting { reason: DrainReason::Move }
    )
}
