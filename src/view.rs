//! What this entry knows of the fleet, and the routing table that follows from it.
//!
//! Records come from the log, whole states from restatements and peers; both go through the same
//! folds. Each change builds the table anew and swaps it in, so that the request path reads one
//! pointer.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::clock::ProcessClock;
use crate::connection::{ConnectionLimits, ConnectionPool};
use crate::decide::estimate::RunEstimate;
use crate::decide::fleet::{
    ENTRY_LANES, FleetBody, FleetOutcome, FleetRecord, FleetState, StewardAct,
};
use crate::decide::intent::{IntentBody, IntentRecord, IntentState};
use crate::decide::slot::SlotPolicy;
use crate::decide::table::{TargetRoute, routes};
use crate::document::{IntentDocument, ServiceSpec};
use crate::gate::{PoolGate, PoolTarget};
use crate::metrics::{EntryMetrics, count, set_pool};
use crate::name::{CentreName, PoolName, ServiceName, TeamName, VmName};
use crate::platform::{INTENT_STREAM, LogRecord, StreamBatch, fleet_stream};

/// The folds of all streams.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct FleetView {
    /// Fold of the intent stream.
    pub intent: IntentState,
    /// Folds of the fleet streams, by data centre.
    pub fleets: BTreeMap<CentreName, Arc<FleetState>>,
}

impl FleetView {
    /// The document in force.
    pub fn document(&self) -> Option<&IntentDocument> {
        self.intent.accepted.as_ref().map(|accepted| &accepted.document)
    }

    /// Next offsets: of intent, then of the fleets in the order of their names.
    pub fn offsets(&self) -> Vec<u64> {
        let fleets = self.fleets.values().map(|fleet| fleet.through);
        [self.intent.through].into_iter().chain(fleets).collect()
    }

    /// Next offset by stream.
    pub fn through(&self) -> BTreeMap<String, u64> {
        let fleets =
            self.fleets.iter().map(|(centre, state)| (fleet_stream(centre), state.through));
        fleets.chain([(INTENT_STREAM.to_owned(), self.intent.through)]).collect()
    }
}

/// A service with what this entry has learned of it.
#[derive(Debug)]
pub struct ServiceRoute<P> {
    /// Its spec.
    pub spec: ServiceSpec,
    /// Its pool's gate.
    pub gate: Arc<PoolGate<P>>,
    /// Learned run times by class.
    pub estimates: [Mutex<RunEstimate>; 3],
}

/// What the request path reads.
#[derive(Debug)]
pub struct RouteTable<P> {
    /// Revision of the document; none before the first.
    pub revision: Option<u64>,
    /// Services by name.
    pub services: HashMap<ServiceName, Arc<ServiceRoute<P>>>,
    /// Gates by pool.
    pub gates: BTreeMap<PoolName, Arc<PoolGate<P>>>,
    /// Pools without a worker in any data centre.
    pub hopeless: BTreeSet<PoolName>,
    /// Requests in flight that a team may have in this data centre.
    pub teams: HashMap<TeamName, u32>,
    /// Data centres in the document's order.
    pub centres: Vec<CentreName>,
}

/// What the keeper needs to open connections and gates.
#[derive(Clone, Debug)]
pub struct KeeperSettings<P> {
    /// Data centre of this entry.
    pub centre: CentreName,
    /// How slots are shared.
    pub policy: P,
    /// Times and sizes of connections.
    pub limits: ConnectionLimits,
    /// Time that a failing worker is left out.
    pub eject_time: Duration,
}

#[derive(Debug)]
struct KeeperState {
    view: Arc<FleetView>,
    /// Offsets to read from where a stream's oldest records have expired.
    scans: BTreeMap<String, u64>,
    targets: BTreeMap<VmName, Arc<PoolTarget>>,
    connections: BTreeMap<VmName, Arc<ConnectionPool>>,
    /// Targets that were taken out of the table and may have work in flight.
    leaving: Vec<Arc<PoolTarget>>,
}

/// Keeps the view and the table.
#[derive(Debug)]
pub struct ViewKeeper<P> {
    settings: KeeperSettings<P>,
    clock: ProcessClock,
    metrics: Arc<EntryMetrics>,
    state: Mutex<KeeperState>,
    table: ArcSwap<RouteTable<P>>,
    changes: watch::Sender<u64>,
}

impl<P: SlotPolicy> ViewKeeper<P> {
    /// A keeper that knows nothing yet.
    pub fn new(
        settings: KeeperSettings<P>,
        clock: ProcessClock,
        metrics: Arc<EntryMetrics>,
    ) -> Self {
        let mut view = FleetView::default();
        view.fleets.insert(settings.centre.clone(), Arc::default());
        let state = KeeperState {
            view: Arc::new(view),
            scans: BTreeMap::new(),
            targets: BTreeMap::new(),
            connections: BTreeMap::new(),
            leaving: Vec::new(),
        };
        let table = RouteTable {
            revision: None,
            services: HashMap::new(),
            gates: BTreeMap::new(),
            hopeless: BTreeSet::new(),
            teams: HashMap::new(),
            centres: Vec::new(),
        };
        ViewKeeper {
            settings,
            clock,
            metrics,
            state: Mutex::new(state),
            table: ArcSwap::from_pointee(table),
            changes: watch::Sender::new(0),
        }
    }

    /// The routing table now.
    pub fn table(&self) -> arc_swap::Guard<Arc<RouteTable<P>>> {
        self.table.load()
    }

    /// The view now.
    pub fn view(&self) -> Arc<FleetView> {
        self.lock().view.clone()
    }

    /// Wakes at each change of the view.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Next offset wanted, by stream.
    pub fn wanted(&self) -> BTreeMap<String, u64> {
        let state = self.lock();
        let mut wanted = state.view.through();
        for (stream, scan) in &state.scans {
            wanted.insert(stream.clone(), *scan);
        }
        wanted
    }

    /// Folds what a read brought. Returns whether every stream is at its end.
    pub fn fold(&self, batches: &BTreeMap<String, StreamBatch>) -> bool {
        let mut state = self.lock();
        let mut view = FleetView::clone(&state.view);
        let before = view.through();
        let mut at_end = true;
        for (stream, batch) in batches {
            at_end &= self.fold_stream(&mut state, &mut view, stream, batch);
        }
        let changed = view.through() != before;
        self.follow_document(&mut view);
        if changed {
            self.publish(&mut state, view);
        }
        at_end
    }

    /// Takes over what a peer knows and this entry doesn't.
    pub fn adopt(&self, newer: &FleetView) -> bool {
        let mut state = self.lock();
        let mut view = FleetView::clone(&state.view);
        let mut adopted = view.intent.adopt(&newer.intent);
        for (centre, fleet) in &newer.fleets {
            let mut own = view.fleets.get(centre).cloned().unwrap_or_default();
            if Arc::make_mut(&mut own).adopt(fleet) {
                adopted = true;
                view.fleets.insert(centre.clone(), own);
            }
        }
        if adopted {
            self.metrics.states_adopted.inc();
            self.follow_document(&mut view);
            self.publish(&mut state, view);
        }
        adopted
    }

    /// Connections to a VM of this data centre, shared by requests and probes.
    pub fn connections(&self, vm: &VmName) -> Option<Arc<ConnectionPool>> {
        let mut state = self.lock();
        let view = state.view.clone();
        let spec = view.document()?.vms.iter().find(|spec| spec.name == *vm)?;
        self.pool_of(&mut state, &spec.name, &spec.address, spec.connections)
    }

    /// Whether this entry sends nothing more to a VM and has nothing in flight there.
    pub fn is_drained(&self, vm: &VmName) -> bool {
        let mut state = self.lock();
        state.leaving.retain(|target| !target.is_drained());
        let in_table = state.targets.contains_key(vm);
        !in_table && !state.leaving.iter().any(|target| target.route.vm == *vm)
    }

    /// Slots that this entry has taken, by VM; those without are left out.
    pub fn counts(&self) -> BTreeMap<VmName, u32> {
        let state = self.lock();
        let loads = state.targets.values().map(|t| (t.route.vm.clone(), t.slots_taken()));
        loads.filter(|(_, load)| *load > 0).collect()
    }

    /// Sets what the other entries have in flight.
    pub fn set_others(&self, others: &BTreeMap<VmName, u32>) {
        let targets: Vec<Arc<PoolTarget>> = self.lock().targets.values().cloned().collect();
        for target in targets {
            target.set_others(others.get(&target.route.vm).copied().unwrap_or(0));
        }
        self.pump();
    }

    /// What silenced one connection may have silenced others, to any worker.
    pub fn doubt_connections(&self) {
        let pools: Vec<Arc<ConnectionPool>> = self.lock().connections.values().cloned().collect();
        for pool in pools {
            pool.doubt();
        }
    }

    /// Lets those that wait look again: a pause or a time left out may be over.
    pub fn pump(&self) {
        for gate in self.table().gates.values() {
            gate.pump();
        }
    }

    /// Brings gauges up to date.
    pub fn measure(&self) {
        for (name, gate) in &self.table().gates {
            set_pool(&self.metrics.in_flight, name.as_str(), gate.in_flight() as usize);
            set_pool(&self.metrics.waiting, name.as_str(), gate.waiting());
            set_pool(&self.metrics.targets, name.as_str(), gate.targets().len());
        }
    }

    fn lock(&self) -> MutexGuard<'_, KeeperState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Follows the fleet of every data centre that the document names.
    fn follow_document(&self, view: &mut FleetView) {
        let Some(document) = view.document() else { return };
        let names: BTreeSet<CentreName> =
            document.data_centres.iter().map(|centre| centre.name.clone()).collect();
        for name in &names {
            if !view.fleets.contains_key(name) {
                view.fleets.insert(name.clone(), Arc::default());
            }
        }
        view.fleets.retain(|name, _| names.contains(name) || *name == self.settings.centre);
    }

    fn fold_stream(
        &self,
        state: &mut KeeperState,
        view: &mut FleetView,
        stream: &str,
        batch: &StreamBatch,
    ) -> bool {
        let through = view.through().get(stream).copied().unwrap_or(0);
        if batch.first > through && !self.restore(view, stream, batch) {
            // The records behind us have expired and no restatement has been found yet.
            let read = batch.records.last().map_or(batch.first, |record| record.offset + 1);
            state.scans.insert(stream.to_owned(), read);
            return false;
        }
        state.scans.remove(stream);
        for record in &batch.records {
            self.fold_record(view, stream, record);
        }
        view.through().get(stream).is_none_or(|through| *through >= batch.next)
    }

    /// Starts from the first restatement that leaves no gap to the records that are still kept.
    fn restore(&self, view: &mut FleetView, stream: &str, batch: &StreamBatch) -> bool {
        if stream == INTENT_STREAM {
            let found = batch.records.iter().find_map(|record| match read(record)? {
                IntentRecord { body: IntentBody::Restate { state }, .. }
                    if state.through >= batch.first =>
                {
                    Some(state)
                }
                _ => None,
            });
            return found.is_some_and(|state| view.intent.adopt(&state));
        }
        let Some(centre) = centre_of(stream) else { return false };
        let found = batch.records.iter().find_map(|record| match read(record)? {
            FleetRecord {
                body: FleetBody::Act { act: StewardAct::Restate { state }, .. }, ..
            } if state.through >= batch.first => Some(state),
            _ => None,
        });
        found.is_some_and(|state| {
            let fleet = view.fleets.entry(centre).or_default();
            Arc::make_mut(fleet).adopt(&state)
        })
    }

    fn fold_record(&self, view: &mut FleetView, stream: &str, record: &LogRecord) {
        if stream == INTENT_STREAM {
            match read(record) {
                Some(intent) => view.intent.apply(record.offset, &intent),
                None => {
                    self.metrics.records_skipped.inc();
                    view.intent.skip(record.offset);
                }
            }
            return;
        }
        let Some(fleet) = centre_of(stream).and_then(|centre| view.fleets.get_mut(&centre)) else {
            return;
        };
        let fleet = Arc::make_mut(fleet);
        match read(record) {
            Some(act) => {
                let verdict = fleet.apply(record.offset, &act);
                count(&self.metrics.fleet_records, verdict_name(verdict));
            }
            None => {
                self.metrics.records_skipped.inc();
                fleet.skip(record.offset);
            }
        }
    }

    fn publish(&self, state: &mut KeeperState, view: FleetView) {
        state.view = Arc::new(view);
        self.rebuild(state);
        self.changes.send_modify(|version| *version += 1);
    }

    fn rebuild(&self, state: &mut KeeperState) {
        let view = state.view.clone();
        let Some(accepted) = view.intent.accepted.as_ref() else { return };
        let document = &accepted.document;
        let fleet = view.fleets.get(&self.settings.centre).cloned().unwrap_or_default();
        let routes = routes(document, &fleet);
        self.retire_targets(state, &routes.values().flatten().collect::<Vec<_>>());
        let old = self.table.load();
        let mut gates = BTreeMap::new();
        for (pool, routes) in routes {
            let gate = old.gates.get(&pool).cloned().unwrap_or_else(|| self.new_gate());
            let targets = routes.into_iter().filter_map(|route| self.target(state, route));
            gate.set_targets(targets.collect());
            gate.set_entries(u32::try_from(fleet.roster.len()).unwrap_or(u32::MAX));
            gate.pump();
            gates.insert(pool, gate);
        }
        let services = document.services.iter().filter_map(|spec| {
            let gate = gates.get(&spec.pool)?.clone();
            Some((spec.name.clone(), service_route(spec, gate, old.services.get(&spec.name))))
        });
        let table = RouteTable {
            revision: Some(accepted.revision),
            services: services.collect(),
            hopeless: hopeless_pools(document),
            teams: document.teams.iter().map(|t| (t.name.clone(), t.in_flight)).collect(),
            centres: document.data_centres.iter().map(|centre| centre.name.clone()).collect(),
            gates,
        };
        self.metrics.revision.set(i64::try_from(accepted.revision).unwrap_or(i64::MAX));
        self.table.store(Arc::new(table));
    }

    /// Closes targets whose assignment is over, before the table without them is in use: whoever
    /// still reads the old table is turned away by the target itself.
    fn retire_targets(&self, state: &mut KeeperState, routes: &[&TargetRoute]) {
        let current: BTreeMap<&VmName, &TargetRoute> =
            routes.iter().map(|route| (&route.vm, *route)).collect();
        let over: Vec<VmName> = state
            .targets
            .iter()
            .filter(|(vm, target)| current.get(vm).is_none_or(|route| **route != target.route))
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in over {
            if let Some(target) = state.targets.remove(&vm) {
                target.close();
                target.connections.close_idle();
                state.leaving.push(target);
            }
        }
        state.leaving.retain(|target| !target.is_drained());
    }

    fn target(&self, state: &mut KeeperState, route: TargetRoute) -> Option<Arc<PoolTarget>> {
        if let Some(target) = state.targets.get(&route.vm) {
            return Some(target.clone());
        }
        let pool = self.pool_of(state, &route.vm, &route.address, route.connections)?;
        let target = Arc::new(PoolTarget::new(route, pool));
        state.targets.insert(target.route.vm.clone(), target.clone());
        Some(target)
    }

    fn pool_of(
        &self,
        state: &mut KeeperState,
        vm: &VmName,
        address: &str,
        connections: u32,
    ) -> Option<Arc<ConnectionPool>> {
        let address = address.parse().ok()?;
        let share = connections / ENTRY_LANES;
        let pool = match state.connections.get(vm).filter(|pool| pool.address() == address) {
            Some(pool) if pool.share() == share => return Some(pool.clone()),
            Some(pool) => Arc::new(pool.resized(share)),
            None => {
                let (limits, metrics) = (self.settings.limits, self.metrics.clone());
                Arc::new(ConnectionPool::new(address, share, limits, metrics))
            }
        };
        state.connections.insert(vm.clone(), pool.clone());
        Some(pool)
    }

    fn new_gate(&self) -> Arc<PoolGate<P>> {
        let (policy, metrics) = (self.settings.policy.clone(), self.metrics.clone());
        Arc::new(PoolGate::new(policy, self.clock, metrics, self.settings.eject_time))
    }
}

fn hopeless_pools(document: &IntentDocument) -> BTreeSet<PoolName> {
    let empty = document.pools.iter().filter(|pool| pool.workers.values().all(|n| *n == 0));
    empty.map(|pool| pool.name.clone()).collect()
}

/// Keeps what was learned of a service while its pool stays the same.
fn service_route<P>(
    spec: &ServiceSpec,
    gate: Arc<PoolGate<P>>,
    old: Option<&Arc<ServiceRoute<P>>>,
) -> Arc<ServiceRoute<P>> {
    match old {
        Some(old) if old.spec == *spec && Arc::ptr_eq(&old.gate, &gate) => old.clone(),
        _ => Arc::new(ServiceRoute { spec: spec.clone(), gate, estimates: Default::default() }),
    }
}

fn read<R: DeserializeOwned>(record: &LogRecord) -> Option<R> {
    serde_json::from_str(record.body.get()).ok()
}

fn centre_of(stream: &str) -> Option<CentreName> {
    stream.strip_prefix("fleet.").map(CentreName::from)
}

fn verdict_name(verdict: FleetOutcome) -> &'static str {
    match verdict {
        FleetOutcome::Accepted => "accepted",
        FleetOutcome::AlreadyApplied => "seen",
        FleetOutcome::StaleTerm => "stale_term",
        FleetOutcome::Refused => "refused",
    }
}
