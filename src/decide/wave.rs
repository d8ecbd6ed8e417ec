//! What a steward does next with its data centre's VMs: placement, drains, reboots, replacements.
//!
//! One planning step looks at the document, the folds of all data centres and what the probes show,
//! and returns acts for the steward to append. The steward acts on nothing it has not read back, so
//! a step may return the same act twice; the fold refuses the second.
//!
//! A drain never by itself takes a product below its capacity. It starts only if the shortfall that
//! the loss of the worst remaining rack would cause until the drain is over fits what is left of
//! the availability budget. So one buffer serves failures and maintenance, and a budget spent by
//! failures narrows the wave until it pauses.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::decide::fleet::{DrainReason, FleetState, StewardAct, VmPhase, VmState};
use crate::document::{IntentDocument, PoolSpec, ProductSpec, VmSpec, WaveSpec};
use crate::name::{CentreName, PoolName, ProductName, RackName, VmName, WaveName};

/// Milliseconds in a day.
pub const DAY_MS: u64 = 86_400_000;
/// Most acts of one step; the rest follows in the next.
const ACTS_MAX: usize = 64;

/// What the steward's probes show of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeView {
    /// Boot number of its newest answer.
    pub boot: u64,
    /// Whether the newest probe was answered.
    pub is_answering: bool,
    /// Milliseconds since it last answered.
    pub silent_ms: u64,
}

/// Times that a planning step uses, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct PlanTimes {
    /// Silence after which a VM counts as lost.
    pub lost_after_ms: u64,
    /// Time that a lost VM gets to come back before a spare one takes its place.
    pub replace_after_ms: u64,
    /// Time that a drain, a reboot and a return take together.
    pub drain_ms: u64,
}

/// Everything that a planning step looks at.
#[derive(Clone, Copy, Debug)]
pub struct PlanInput<'a> {
    /// Data centre that is planned for.
    pub centre: &'a CentreName,
    /// The accepted document.
    pub document: &'a IntentDocument,
    /// Folds of all data centres.
    pub fleets: &'a BTreeMap<CentreName, Arc<FleetState>>,
    /// What the probes show of this data centre's workers.
    pub probes: &'a BTreeMap<VmName, ProbeView>,
    /// Steward's wall clock, in milliseconds since the epoch.
    pub wall_ms: u64,
    /// Times.
    pub times: PlanTimes,
}

/// One step of the plan.
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

/// Workers of a product by what they do, over all data centres.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProductWorkers {
    /// Workers that serve.
    pub serving: u32,
    /// Workers that are drained or rebooted on purpose.
    pub planned: u32,
    /// Workers that are lost.
    pub lost: u32,
}

/// Counts every product's workers over the folds of all data centres, in one pass.
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

/// Workers that a product lacks now.
pub fn shortfall(
    document: &IntentDocument,
    workers: &ProductWorkers,
    product: &ProductSpec,
) -> u32 {
    // Before the first placement is through, the fleet is being set up and not short.
    let placed = workers.serving + workers.planned + workers.lost;
    let capacity = product.capacity.min(document.workers_of(&product.name));
    if placed < capacity { 0 } else { capacity.saturating_sub(workers.serving) }
}

/// A rack is named within its data centre.
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
    /// Serving workers of each product by rack, this step's drains taken off.
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

    /// Takes drains and reboots that have begun to their end.
    fn advance_drains(&mut self) {
        for (vm, state) in &self.fleet.vms {
            match &state.phase {
                VmPhase::Draining { reason, .. } if state.is_drained(self.input.wall_ms) => {
                    // An evicted entry may know this boot; the next pool must not get it.
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

    /// Notices VMs that were lost, restarted or came back.
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

    /// Boot number with which a spare VM can join the pool.
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

    /// Fills pools with spare VMs, each where its product has the fewest in one rack.
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

    /// The spare VM in the rack with the fewest of the pool; then the one that others need least.
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

    /// Drains VMs that their pool no longer asks for, and those the document no longer has.
    fn drain_surplus(&mut self) {
        let mut surplus: Vec<&VmName> = Vec::new();
        for pool in &self.input.document.pools {
            let members = self.members(&pool.name);
            let wanted = pool.workers.get(self.input.centre).copied().unwrap_or(0) as usize;
            let excess = members.len().saturating_sub(wanted);
            let mut members = members;
            // Those that the document no longer has go first: they go in any case.
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

    /// Most VMs of a product out at a time: one, or as many as it has spare, by its weight.
    fn parallel_max(&self, product: &ProductSpec) -> u32 {
        let spare = self.input.document.workers_of(&product.name).saturating_sub(product.capacity);
        let more = u64::from(spare.saturating_sub(1)) * u64::from(product.rollout_weight);
        1 + u32::try_from(more.div_ceil(100)).unwrap_or(u32::MAX)
    }

    /// Most serving workers of a product in one rack, without `vm`.
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

    /// Starts drains of the waves, rack by rack, as far as capacities and budgets allow.
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

    /// Serving VMs of this data centre that the wave has yet to reach, as many of each product as may
    /// be out here.
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

    /// VMs that the wave has yet to finish, by product and data centre.
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

    /// VMs of a product that this data centre may have out at a time: what is left of the product's
    /// parallel drains after the data centres before it in the document's order have drained all that
    /// they still have to. Stewards that drained without it would each count on the other's VMs.
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

    /// VMs of a product that are out in this data centre, this step's drains included.
    fn unavailable_here(&self, product: &ProductName) -> u32 {
        let out = self.fleet.vms.iter().filter(|(vm, state)| {
            let planned =
                matches!(state.phase, VmPhase::Draining { .. } | VmPhase::Rebooting { .. });
            (planned || self.taken.contains(*vm)) && self.product_of_state(state) == Some(product)
        });
        u32::try_from(out.count()).unwrap_or(u32::MAX)
    }

    /// Racks that have VMs out already come first, so that a wave finishes one before the next.
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
