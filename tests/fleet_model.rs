//! Model test of the fleet state against an oracle, under any order of failures.
//!
//! Random steps of entries, stewards and the platform drive the real fleet state: appends whose
//! answer is lost, duplicates, late appends of a paused steward, evictions of entries that are only
//! partitioned, workers that restart. The oracle knows neither terms nor rosters. It tracks where
//! an entry could still send by the state that it last read, and what the VM would do with the
//! request.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use ibisweir::decide::fleet::{
    DrainReason, FleetBody, FleetOutcome, FleetRecord, FleetState, StewardAct, VmPhase,
};
use ibisweir::name::{EntryName, PoolName, VmName, WaveName};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use support::seeded;
use uuid::Uuid;

const ENTRIES: u8 = 4;
const VMS: u8 = 3;
const POOLS: u8 = 2;
/// Longest time limit of a request, in the model's milliseconds.
const LIMIT_MS: u64 = 100;

/// One random step.
#[derive(Clone, Copy, Debug)]
enum ModelStep {
    /// An entry reads the log to its end.
    Read(u8),
    /// An entry joins.
    Join(u8),
    /// An entry claims the next term by the state that it has read.
    Claim(u8),
    /// An entry acts as steward by the state that it has read.
    Act(u8, ActKind, u8, u8),
    /// An entry without anything in flight confirms a drain by the state that it has read.
    Confirm(u8, u8),
    /// An entry without anything in flight leaves.
    Leave(u8),
    /// An entry sends a request by the state that it has read.
    Send(u8, u8),
    /// An entry's requests to a VM end.
    Finish(u8, u8),
    /// One of the newest records is appended again, because its answer was lost or as a late
    /// duplicate.
    Copy(u8),
    /// A paused writer holds a record back, to be appended later.
    Hold(u8, ActKind, u8, u8),
    /// The held records are appended.
    Release,
    /// A VM restarts on its own.
    Restart(u8),
    /// Time passes.
    Wait(u8),
    /// Every entry sends a request to a VM, by the state that it has read.
    SendAll(u8),
    /// The steward moves a VM from its pool to another as far as the fleet state allows. Only the
    /// entries in a bit mask read on; with the last flag set, the steward evicts the others.
    Move(u8, u8, u8, bool),
    /// The same for a VM that the steward considers lost.
    Replace(u8, u8),
    /// A new reader starts from a snapshot and the records after it.
    Restore,
}

#[derive(Clone, Copy, Debug)]
enum ActKind {
    Assign,
    DrainWave,
    DrainMove,
    Reboot,
    Return,
    Lost,
    Release,
    Evict,
}

impl Arbitrary for ActKind {
    fn arbitrary(g: &mut Gen) -> Self {
        let kinds = [
            ActKind::Assign,
            ActKind::Assign,
            ActKind::DrainWave,
            ActKind::DrainMove,
            ActKind::DrainMove,
            ActKind::Reboot,
            ActKind::Return,
            ActKind::Lost,
            ActKind::Release,
            ActKind::Release,
            ActKind::Evict,
        ];
        *g.choose(&kinds).expect("the list is not empty")
    }
}

impl Arbitrary for ModelStep {
    fn arbitrary(g: &mut Gen) -> Self {
        let (entry, vm, other) = (u8::arbitrary(g), u8::arbitrary(g), u8::arbitrary(g));
        match u8::arbitrary(g) % 44 {
            32..=35 => ModelStep::SendAll(vm),
            36..=41 => ModelStep::Move(vm, other, entry, bool::arbitrary(g)),
            42..=43 => ModelStep::Replace(vm, other),
            0..=5 => ModelStep::Read(entry),
            6 => ModelStep::Join(entry),
            7 => ModelStep::Claim(entry),
            8..=15 => ModelStep::Act(entry, ActKind::arbitrary(g), vm, other),
            16..=19 => ModelStep::Confirm(entry, vm),
            20 => ModelStep::Leave(entry),
            21..=24 => ModelStep::Send(entry, vm),
            25 => ModelStep::Finish(entry, vm),
            26 => ModelStep::Copy(other),
            27 => ModelStep::Hold(entry, ActKind::arbitrary(g), vm, other),
            28 => ModelStep::Release,
            29 => ModelStep::Restart(vm),
            30 => ModelStep::Wait(other),
            _ => ModelStep::Restore,
        }
    }
}

/// Actual state of a VM: the pool of its newest accepted assignment, and its boot number.
#[derive(Clone, Debug, Default)]
struct TrueVm {
    pool: Option<PoolName>,
    boot: u64,
    drained_ms: u64,
}

/// A request in flight.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ModelRequest {
    vm: VmName,
    boot: u64,
    pool: PoolName,
    sent_ms: u64,
}

/// An entry: the state that it has read, and its requests in flight.
#[derive(Clone, Debug, Default)]
struct ModelEntry {
    view: FleetState,
    in_flight: BTreeSet<ModelRequest>,
    evicted_ms: Option<u64>,
}

struct FleetModel {
    log: Vec<FleetRecord>,
    fold: FleetState,
    entries: BTreeMap<EntryName, ModelEntry>,
    vms: BTreeMap<VmName, TrueVm>,
    held: Vec<FleetRecord>,
    /// Term and steward of the newest accepted claim.
    terms: (u64, EntryName),
    now_ms: u64,
    newest_boot: u64,
}

impl FleetModel {
    fn new() -> Self {
        let vms = (0..VMS)
            .map(|vm| (vm_name(vm), TrueVm { boot: u64::from(vm) + 1, ..TrueVm::default() }));
        let entries = (0..ENTRIES).map(|entry| (entry_name(entry), ModelEntry::default()));
        FleetModel {
            log: Vec::new(),
            fold: FleetState::default(),
            entries: entries.collect(),
            vms: vms.collect(),
            held: Vec::new(),
            terms: (0, entry_name(0)),
            now_ms: 0,
            newest_boot: 100,
        }
    }

    fn append(&mut self, record: FleetRecord) {
        let offset = self.log.len() as u64;
        self.log.push(record.clone());
        let outcome = self.fold.apply(offset, &record);
        if let FleetBody::Act { term, .. } = &record.body {
            // A steward whose term another entry has claimed since changes nothing.
            let is_stale = *term != self.terms.0 || record.by != self.terms.1;
            assert!(!is_stale || outcome != FleetOutcome::Accepted, "a stale act counted");
        }
        if outcome == FleetOutcome::Accepted {
            self.apply_to_truth(&record);
        }
    }

    /// Accepted records alone change the actual state.
    fn apply_to_truth(&mut self, record: &FleetRecord) {
        if matches!(record.body, FleetBody::Join { .. })
            && let Some(entry) = self.entries.get_mut(&record.by)
        {
            entry.evicted_ms = None;
        }
        if let FleetBody::Claim { term } = &record.body {
            self.terms = (*term, record.by.clone());
        }
        let FleetBody::Act { act, .. } = &record.body else { return };
        match act {
            StewardAct::Assign { vm, pool, .. } => {
                let truth = self.vms.get_mut(vm).expect("the model's VMs are fixed");
                assert_eq!(truth.pool, None, "{vm} was assigned while it belonged to a pool");
                // A spare VM may finish requests of its last pool only if it goes back there.
                let other = |request: &ModelRequest| {
                    request.vm == *vm && request.boot == truth.boot && request.pool != *pool
                };
                let mixed = self.entries.values().flat_map(|entry| &entry.in_flight).any(other);
                assert!(!mixed, "{vm} went to {pool} with another pool's requests in flight");
                truth.pool = Some(pool.clone());
            }
            StewardAct::Drain { vm, .. } => {
                let truth = self.vms.get_mut(vm).expect("the model's VMs are fixed");
                truth.drained_ms = self.now_ms;
            }
            StewardAct::Evict { entry } => {
                let entry = self.entries.get_mut(entry).expect("the model's entries are fixed");
                entry.evicted_ms = Some(self.now_ms);
            }
            StewardAct::Release { vm } => {
                self.vms.get_mut(vm).expect("the model's VMs are fixed").pool = None;
            }
            StewardAct::Reboot { vm } => {
                self.newest_boot += 1;
                let truth = self.vms.get_mut(vm).expect("the model's VMs are fixed");
                // A planned reboot must not cut off requests that were sent before the drain. For
                // requests that an evicted entry sends after its eviction, there is only the
                // worker's own grace period.
                for (name, entry) in &self.entries {
                    let cut_off = entry.in_flight.iter().find(|request| {
                        request.vm == *vm
                            && request.boot == truth.boot
                            && request.sent_ms < truth.drained_ms
                            && request.sent_ms + LIMIT_MS > self.now_ms
                            && entry.evicted_ms.is_none_or(|evicted| request.sent_ms <= evicted)
                    });
                    assert!(cut_off.is_none(), "the reboot of {vm} cut off {cut_off:?} of {name}");
                }
                truth.boot = self.newest_boot;
            }
            _ => {}
        }
    }

    fn record(&self, by: u8, body: FleetBody) -> FleetRecord {
        FleetRecord { id: Uuid::nil(), by: entry_name(by), at_ms: self.now_ms, body }
    }

    fn act_record(&self, by: u8, kind: ActKind, vm: u8, other: u8) -> FleetRecord {
        let view = &self.entries[&entry_name(by)].view;
        let vm = vm_name(vm);
        let boot = self.vms[&vm].boot;
        let (reason, pool) =
            (DrainReason::Move, PoolName::from(format!("p{}", other % POOLS).as_str()));
        let limit_ms = LIMIT_MS;
        let act = match kind {
            ActKind::Assign => StewardAct::Assign { vm, pool, boot },
            ActKind::DrainMove => StewardAct::Drain { vm, reason, limit_ms },
            ActKind::DrainWave => {
                let reason = DrainReason::Wave(WaveName::from("w"));
                StewardAct::Drain { vm, reason, limit_ms }
            }
            ActKind::Reboot => StewardAct::Reboot { vm },
            ActKind::Return => StewardAct::Return { vm, boot },
            ActKind::Lost => StewardAct::Lost { vm },
            ActKind::Release => StewardAct::Release { vm },
            ActKind::Evict => StewardAct::Evict { entry: entry_name(other) },
        };
        self.record(by, FleetBody::Act { term: view.term, act })
    }

    fn step(&mut self, step: ModelStep) {
        self.now_ms += 1;
        match step {
            ModelStep::Read(entry) => self.read(&entry_name(entry)),
            ModelStep::Join(entry) => {
                let body = FleetBody::Join { peer: "127.0.0.1:1".to_owned() };
                self.append(self.record(entry, body));
            }
            ModelStep::Claim(entry) => {
                let term = self.entries[&entry_name(entry)].view.term + 1;
                self.append(self.record(entry, FleetBody::Claim { term }));
            }
            ModelStep::Act(entry, kind, vm, other) => {
                let record = self.act_record(entry, kind, vm, other);
                self.append(record);
            }
            ModelStep::Hold(entry, kind, vm, other) => {
                let record = self.act_record(entry, kind, vm, other);
                self.held.push(record);
            }
            ModelStep::Release => {
                for record in std::mem::take(&mut self.held) {
                    self.append(record);
                }
            }
            ModelStep::Copy(back) => {
                let back = 1 + usize::from(back) % 32;
                let index = self.log.len().checked_sub(back);
                if let Some(record) = index.map(|index| self.log[index].clone()) {
                    self.append(record);
                }
            }
            ModelStep::Confirm(entry, vm) => self.confirm(entry, vm),
            ModelStep::Leave(entry) => {
                let name = entry_name(entry);
                if self.entries[&name].in_flight.is_empty() {
                    // It sends nothing more and forgets the state that it has read.
                    self.entries.insert(name, ModelEntry::default());
                    self.append(self.record(entry, FleetBody::Leave));
                }
            }
            ModelStep::Send(entry, vm) => self.send(&entry_name(entry), vm),
            ModelStep::Finish(entry, vm) => {
                let vm = vm_name(vm);
                let entry = self.entries.get_mut(&entry_name(entry)).expect("entries are fixed");
                entry.in_flight.retain(|request| request.vm != vm);
            }
            ModelStep::Restart(vm) => {
                self.newest_boot += 1;
                self.vms.get_mut(&vm_name(vm)).expect("VMs are fixed").boot = self.newest_boot;
            }
            ModelStep::Wait(time) => {
                self.now_ms += u64::from(time);
                // Beyond the longest time limit, no earlier request is still running.
                if u64::from(time) > LIMIT_MS {
                    self.entries.values_mut().for_each(|entry| entry.in_flight.clear());
                }
            }
            ModelStep::SendAll(vm) => {
                for entry in 0..ENTRIES {
                    self.send(&entry_name(entry), vm);
                }
            }
            ModelStep::Move(vm, pool, reader_mask, evicts_others) => {
                self.move_vm(vm, pool, reader_mask, evicts_others)
            }
            ModelStep::Replace(vm, pool) => {
                self.steward_acts(&[ActKind::Lost, ActKind::Release, ActKind::Assign], vm, pool);
            }
            ModelStep::Restore => self.restore(),
        }
    }

    fn steward_acts(&mut self, kinds: &[ActKind], vm: u8, other: u8) {
        let steward = (0..ENTRIES).find(|e| self.fold.steward.as_ref() == Some(&entry_name(*e)));
        let Some(steward) = steward else { return };
        for kind in kinds {
            self.read(&entry_name(steward));
            let record = self.act_record(steward, *kind, vm, other);
            self.append(record);
        }
    }

    fn move_vm(&mut self, vm: u8, pool: u8, reader_mask: u8, evicts_others: bool) {
        self.steward_acts(&[ActKind::DrainMove], vm, pool);
        for entry in 0..ENTRIES {
            if reader_mask & (1 << entry) != 0 {
                self.read(&entry_name(entry));
                self.confirm(entry, vm);
            } else if evicts_others {
                self.steward_acts(&[ActKind::Evict], vm, entry);
            }
        }
        self.steward_acts(&[ActKind::Reboot, ActKind::Release, ActKind::Assign], vm, pool);
    }

    fn read(&mut self, name: &EntryName) {
        let entry = self.entries.get_mut(name).expect("entries are fixed");
        for (offset, record) in (0..).zip(&self.log) {
            entry.view.apply(offset, record);
        }
    }

    fn confirm(&mut self, by: u8, vm: u8) {
        let vm = vm_name(vm);
        let entry = &self.entries[&entry_name(by)];
        let VmPhase::Draining { since, .. } = entry.view.vm(&vm).phase else { return };
        let busy = entry.in_flight.iter().any(|request| request.vm == vm);
        if !busy {
            self.append(self.record(by, FleetBody::Confirm { vm, drain: since }));
        }
    }

    /// An entry sends by the state that it has read, however old. It uses the connection only if
    /// the worker reports the boot number in that state; in that case no other pool may own the VM.
    fn send(&mut self, name: &EntryName, vm: u8) {
        let vm = vm_name(vm);
        let entry = self.entries.get_mut(name).expect("entries are fixed");
        let known = entry.view.vm(&vm);
        let may_send = entry.view.roster.contains_key(name) && known.phase == VmPhase::Serving;
        let truth = &self.vms[&vm];
        let Some(pool) = known.pool.filter(|_| may_send && known.boot == truth.boot) else {
            return;
        };
        assert!(
            truth.pool.as_ref().is_none_or(|owner| *owner == pool),
            "{name} sent a request of {pool} to {vm}, which belongs to {:?}",
            truth.pool
        );
        entry.in_flight.insert(ModelRequest { vm, boot: truth.boot, pool, sent_ms: self.now_ms });
    }

    /// A snapshot of any prefix of the log, plus the remaining records, gives the same state as the
    /// whole log.
    fn restore(&self) {
        let through = self.log.len() / 2;
        let mut prefix = FleetState::default();
        for (offset, record) in (0..).zip(&self.log[..through]) {
            prefix.apply(offset, record);
        }
        let mut reader = FleetState::default();
        reader.adopt(&prefix);
        for (offset, record) in (0..).zip(&self.log) {
            reader.apply(offset, record);
        }
        assert_eq!(reader, self.fold, "a new reader reaches another state");
    }
}

fn entry_name(entry: u8) -> EntryName {
    EntryName::from(format!("e{}", entry % ENTRIES).as_str())
}

fn vm_name(vm: u8) -> VmName {
    VmName::from(format!("vm{}", vm % VMS).as_str())
}

fn check_steps(steps: Vec<ModelStep>) -> TestResult {
    let mut model = FleetModel::new();
    // All entries start on the roster and the first is steward, so that few steps are wasted.
    for entry in 0..ENTRIES {
        model.step(ModelStep::Join(entry));
    }
    model.step(ModelStep::Claim(0));
    for entry in 0..ENTRIES {
        model.step(ModelStep::Read(entry));
    }
    for step in steps {
        model.step(step);
    }
    TestResult::passed()
}

#[test]
fn a_vm_belongs_to_one_pool_and_no_planned_stop_cuts_a_request_off() {
    seeded(0xF1EE7, |seed| {
        let generator = Gen::from_size_and_seed(400, seed);
        QuickCheck::new()
            .rng(generator)
            .tests(4_000)
            .quickcheck(check_steps as fn(Vec<ModelStep>) -> TestResult);
    });
}
