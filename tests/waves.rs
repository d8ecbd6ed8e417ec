//! Which acts a planning step returns.

use std::collections::BTreeMap;
use std::sync::Arc;

use ibisweir::decide::fleet::{
    DrainReason, FleetBody, FleetOutcome, FleetRecord, FleetState, StewardAct, VmPhase,
};
use ibisweir::decide::wave::{PlanInput, PlanTimes, ProbeView, plan};
use ibisweir::document::{IntentDocument, WaveSpec};
use ibisweir::name::{CentreName, EntryName, PoolName, VmName, WaveName};
use ibisweir_standin::fleet::FleetShape;
use uuid::Uuid;

const TIMES: PlanTimes =
    PlanTimes { lost_after_ms: 1_000, replace_after_ms: 60_000, drain_ms: 300_000 };

struct Fleet {
    document: IntentDocument,
    fleets: BTreeMap<CentreName, Arc<FleetState>>,
    probes: BTreeMap<VmName, ProbeView>,
    now_ms: u64,
}

impl Fleet {
    /// A fleet of this shape with every VM placed.
    fn open(shape: &FleetShape) -> Self {
        let vms = shape.vms();
        let port = |vm: &VmName| vms.iter().position(|(name, ..)| name == vm).unwrap_or(0);
        let document = shape
            .document(|vm| ([127, 0, 0, 1], 1 + u16::try_from(port(vm)).expect("few VMs")).into());
        let probe = ProbeView { boot: 1, is_answering: true, silent_ms: 0 };
        let probes = document.vms.iter().map(|vm| (vm.name.clone(), probe)).collect();
        let centres = document.data_centres.iter().map(|c| (c.name.clone(), Arc::default()));
        let fleets = centres.collect();
        let mut fleet = Fleet { document, fleets, probes, now_ms: 1_000_000 };
        for centre in fleet.centres() {
            fleet.write(&centre, FleetBody::Join { peer: String::new() });
            fleet.write(&centre, FleetBody::Claim { term: 1 });
        }
        fleet.run(4);
        assert!(fleet.states().iter().all(|(_, phase)| *phase == VmPhase::Serving));
        fleet
    }

    fn centres(&self) -> Vec<CentreName> {
        self.document.data_centres.iter().map(|centre| centre.name.clone()).collect()
    }

    fn write(&mut self, centre: &CentreName, body: FleetBody) -> FleetOutcome {
        let fleet = Arc::make_mut(self.fleets.get_mut(centre).expect("a known data centre"));
        let by = EntryName::from("steward");
        let record = FleetRecord { id: Uuid::nil(), by, at_ms: self.now_ms, body };
        fleet.apply(fleet.through, &record)
    }

    fn plan(&self, centre: &CentreName) -> Vec<StewardAct> {
        plan(&PlanInput {
            centre,
            document: &self.document,
            fleets: &self.fleets,
            probes: &self.probes,
            wall_ms: self.now_ms,
            times: TIMES,
        })
    }

    /// Runs planning steps of every steward; drains are confirmed and reboots finish at once.
    /// Returns the highest number of VMs that were out of service at a time.
    fn run(&mut self, steps: u32) -> u32 {
        let mut most = 0;
        for _ in 0..steps {
            for centre in self.centres() {
                for act in self.plan(&centre) {
                    let vm = match &act {
                        StewardAct::Drain { vm, .. } => Some((vm.clone(), false)),
                        StewardAct::Reboot { vm } => Some((vm.clone(), true)),
                        _ => None,
                    };
                    self.write(&centre, FleetBody::Act { term: 1, act });
                    most = most.max(self.out());
                    match vm {
                        Some((vm, true)) => self.probes.get_mut(&vm).expect("a probe").boot += 1,
                        Some((vm, false)) => {
                            let drain = self.fleets[&centre].through - 1;
                            self.write(&centre, FleetBody::Confirm { vm, drain });
                        }
                        None => {}
                    }
                }
            }
        }
        most
    }

    fn states(&self) -> Vec<(VmName, VmPhase)> {
        let vms = self.fleets.values().flat_map(|fleet| &fleet.vms);
        vms.map(|(vm, state)| (vm.clone(), state.phase.clone())).collect()
    }

    fn out(&self) -> u32 {
        let out =
            |phase: &VmPhase| matches!(phase, VmPhase::Draining { .. } | VmPhase::Rebooting { .. });
        u32::try_from(self.states().iter().filter(|(_, phase)| out(phase)).count()).expect("few")
    }

    fn wave(&mut self, name: &str) {
        self.document.waves.push(WaveSpec {
            name: WaveName::from(name),
            pools: vec![PoolName::from("jobs")],
            data_centres: Vec::new(),
            cancelled: false,
        });
    }

    fn drains(&self) -> usize {
        let acts = self.centres().into_iter().flat_map(|centre| self.plan(&centre));
        acts.filter(|act| matches!(act, StewardAct::Drain { .. })).count()
    }
}

/// Two data centres, one product of 8 workers.
fn shape(spare: u32) -> FleetShape {
    let centres = vec![("dc-a".to_owned(), "r".to_owned()), ("dc-b".to_owned(), "r".to_owned())];
    FleetShape { centres, spare, rollout_weight: 100, ..FleetShape::one_pool(8) }
}

#[test]
fn a_wave_reaches_every_vm_and_takes_out_no_more_than_are_spare() {
    for spare in 1..=3 {
        let mut fleet = Fleet::open(&shape(spare));
        fleet.wave("w");
        let most = fleet.run(60);
        assert!((1..=spare).contains(&most), "{most} out at a time with {spare} spare");
        let done = fleet.fleets.values().flat_map(|fleet| fleet.vms.values());
        assert!(done.into_iter().all(|state| state.waves == vec![WaveName::from("w")]));
        assert_eq!(fleet.drains(), 0, "a wave that is through starts again");
    }
}

/// A VM fails during a wave, and the product has no spare worker left. Another drain would take the
/// product below its capacity, and callers would get refusals because of a reboot that can wait.
#[test]
fn a_failure_pauses_a_wave_and_its_repair_resumes_it() {
    let mut fleet = Fleet::open(&shape(1));
    fleet.wave("w");
    let vm = VmName::from("dc-b-w0");
    let probe = ProbeView { boot: 1, is_answering: false, silent_ms: 2_000 };
    fleet.probes.insert(vm.clone(), probe);
    let act = StewardAct::Lost { vm: vm.clone() };
    fleet.write(&CentreName::from("dc-b"), FleetBody::Act { term: 1, act });
    assert_eq!(fleet.drains(), 0);
    fleet.probes.insert(vm, ProbeView { boot: 9, is_answering: true, silent_ms: 0 });
    fleet.run(60);
    let states = fleet.fleets.values().flat_map(|fleet| fleet.vms.values());
    assert!(states.into_iter().all(|state| !state.waves.is_empty()));
}

/// The loss of a rack during the drain would cost the product more than the rest of its budget.
#[test]
fn a_spent_budget_starts_no_drain() {
    let mut fleet = Fleet::open(&shape(1));
    fleet.wave("w");
    assert_eq!(fleet.drains(), 1);
    fleet.document.products[0].budget_worker_minutes = 0;
    assert_eq!(fleet.drains(), 0);
}

#[test]
fn a_cancelled_wave_starts_no_drain_and_ends_what_it_began() {
    let mut fleet = Fleet::open(&shape(1));
    fleet.wave("w");
    let centre = CentreName::from("dc-a");
    let drain = fleet.plan(&centre).remove(0);
    let StewardAct::Drain { vm, reason: DrainReason::Wave(_), .. } = drain.clone() else {
        panic!("a wave begins with a drain, not {drain:?}");
    };
    fleet.write(&centre, FleetBody::Act { term: 1, act: drain });
    let since = fleet.fleets[&centre].through - 1;
    fleet.write(&centre, FleetBody::Confirm { vm: vm.clone(), drain: since });
    fleet.document.waves[0].cancelled = true;
    fleet.run(10);
    let state = fleet.fleets[&centre].vm(&vm);
    assert_eq!((state.phase, state.waves.len()), (VmPhase::Serving, 1));
    assert_eq!(fleet.out(), 0);
}

/// A data centre is lost with VMs that the wave has not reached yet; the operators restrict the
/// wave to the others.
#[test]
fn a_wave_goes_on_without_a_lost_data_centre_when_it_names_the_others() {
    let mut fleet = Fleet::open(&shape(1));
    fleet.wave("w");
    assert!(fleet.plan(&CentreName::from("dc-b")).is_empty(), "it waits for dc-a");
    fleet.document.waves[0].data_centres = vec![CentreName::from("dc-b")];
    assert_eq!(fleet.plan(&CentreName::from("dc-b")).len(), 1);
}

/// Two operators publish waves for the same pool, which have to share its one spare worker.
#[test]
fn two_waves_over_one_pool_share_its_spare_workers() {
    let mut fleet = Fleet::open(&shape(1));
    fleet.wave("first");
    fleet.wave("second");
    assert_eq!(fleet.run(80), 1);
    let states = fleet.fleets.values().flat_map(|fleet| fleet.vms.values());
    assert!(states.into_iter().all(|state| state.waves.len() == 2));
}

/// A VM is removed from the document and its pool shrinks by one: that VM is drained, and no other
/// one of the pool.
#[test]
fn a_vm_that_is_removed_from_the_document_is_drained_first() {
    let mut fleet = Fleet::open(&shape(2));
    let gone = VmName::from("dc-a-w3");
    fleet.document.vms.retain(|vm| vm.name != gone);
    fleet.document.products[0].capacity = 5;
    let workers = fleet.document.pools[0].workers.get_mut(&CentreName::from("dc-a"));
    *workers.expect("dc-a has workers") -= 1;
    let acts = fleet.plan(&CentreName::from("dc-a"));
    assert!(
        matches!(&acts[..], [StewardAct::Drain { vm, reason: DrainReason::Move, .. }] if *vm == gone),
        "{acts:?}"
    );
}

#[test]
fn pools_are_spread_over_racks() {
    let fleet = Fleet::open(&FleetShape::regie());
    let mut together: BTreeMap<(String, String), u32> = BTreeMap::new();
    for state in &fleet.document.vms {
        let held = fleet.fleets[&state.data_centre].vm(&state.name);
        let pool = held.pool.expect("every VM is placed").to_string();
        *together.entry((pool, state.rack.to_string())).or_default() += 1;
    }
    let worst = together.values().max().copied().unwrap_or(0);
    assert_eq!(worst, 1, "a rack holds more than one VM of a pool: {together:?}");
}
