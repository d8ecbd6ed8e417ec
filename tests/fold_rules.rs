//! Rules for applying records of the fleet and intent streams, each shown by one sequence.

mod support;

use std::collections::BTreeMap;
use std::sync::LazyLock;

use ibisweir::decide::fleet::{
    DrainReason, FleetBody, FleetOutcome, FleetRecord, FleetState, StewardAct, VmPhase,
};
use ibisweir::decide::intent::{IntentBody, IntentRecord, IntentState, PublishOutcome};
use ibisweir::document::IntentDocument;
use ibisweir::name::{EntryName, PoolName, VmName, WaveName};
use ibisweir_standin::fleet::FleetShape;
use quickcheck::{Gen, QuickCheck, TestResult};
use support::seeded;
use uuid::Uuid;

struct Stream {
    state: FleetState,
}

impl Stream {
    /// Two entries, the first being steward of term 1, and a VM that serves pool `a` with boot 1.
    fn open() -> Self {
        let mut stream = Stream { state: FleetState::default() };
        stream.write("e1", FleetBody::Join { peer: "127.0.0.1:1".to_owned() });
        stream.write("e2", FleetBody::Join { peer: "127.0.0.1:2".to_owned() });
        stream.write("e1", FleetBody::Claim { term: 1 });
        stream.act(StewardAct::Assign { vm: vm(), pool: PoolName::from("a"), boot: 1 });
        stream
    }

    fn write(&mut self, by: &str, body: FleetBody) -> FleetOutcome {
        let record = FleetRecord { id: Uuid::nil(), by: EntryName::from(by), at_ms: 0, body };
        self.state.apply(self.state.through, &record)
    }

    fn act(&mut self, act: StewardAct) -> FleetOutcome {
        let term = self.state.term;
        self.write("e1", FleetBody::Act { term, act })
    }

    fn drain(&mut self) -> u64 {
        let reason = DrainReason::Wave(WaveName::from("w"));
        let outcome = self.act(StewardAct::Drain { vm: vm(), reason, limit_ms: 10 });
        assert_eq!(outcome, FleetOutcome::Accepted);
        self.state.through - 1
    }

    fn confirm(&mut self, by: &str, drain: u64) -> FleetOutcome {
        self.write(by, FleetBody::Confirm { vm: vm(), drain })
    }
}

fn vm() -> VmName {
    VmName::from("vm")
}

/// An entry confirms a drain, the answer is lost, and the copy of the confirmation arrives during
/// the next drain of the VM. If it counted, the VM could reboot under the entry's new requests.
#[test]
fn a_late_confirmation_of_an_earlier_drain_does_not_count() {
    let mut stream = Stream::open();
    let first = stream.drain();
    stream.confirm("e1", first);
    stream.confirm("e2", first);
    stream.act(StewardAct::Reboot { vm: vm() });
    assert_eq!(stream.act(StewardAct::Return { vm: vm(), boot: 2 }), FleetOutcome::Accepted);
    let second = stream.drain();
    stream.confirm("e1", second);
    assert_eq!(stream.confirm("e2", first), FleetOutcome::Refused);
    assert_eq!(stream.act(StewardAct::Reboot { vm: vm() }), FleetOutcome::Refused);
    assert_eq!(stream.confirm("e2", second), FleetOutcome::Accepted);
    assert_eq!(stream.act(StewardAct::Reboot { vm: vm() }), FleetOutcome::Accepted);
}

/// An evicted entry resumes and claims the next term before it has read its eviction. It would plan
/// on a state in which it is still on the roster.
#[test]
fn only_an_entry_of_the_roster_becomes_steward() {
    let mut stream = Stream::open();
    stream.act(StewardAct::Evict { entry: EntryName::from("e2") });
    assert_eq!(stream.write("e2", FleetBody::Claim { term: 2 }), FleetOutcome::Refused);
    assert_eq!(stream.state.steward, Some(EntryName::from("e1")));
}

/// The platform has accepted a reboot, and the worker still answers with its old boot number. If
/// the VM returned now, callers' requests would be cut off when it does go down.
#[test]
fn a_vm_returns_from_a_wave_only_with_a_new_boot_number() {
    let mut stream = Stream::open();
    let drain = stream.drain();
    stream.confirm("e1", drain);
    stream.confirm("e2", drain);
    stream.act(StewardAct::Reboot { vm: vm() });
    assert_eq!(stream.act(StewardAct::Return { vm: vm(), boot: 1 }), FleetOutcome::Refused);
    assert_eq!(stream.act(StewardAct::Return { vm: vm(), boot: 2 }), FleetOutcome::Accepted);
    let state = stream.state.vm(&vm());
    assert_eq!((state.phase, state.waves), (VmPhase::Serving, vec![WaveName::from("w")]));
}

/// More entries than lanes would exceed a worker's connection limit.
#[test]
fn an_entry_without_a_lane_does_not_join() {
    let mut stream = Stream::open();
    let mut joined = 2;
    for entry in 3..20 {
        let body = FleetBody::Join { peer: "127.0.0.1:3".to_owned() };
        joined += u32::from(stream.write(&format!("e{entry}"), body) == FleetOutcome::Accepted);
    }
    assert_eq!(joined, ibisweir::decide::fleet::ENTRY_LANES);
    stream.write("e2", FleetBody::Leave);
    let body = FleetBody::Join { peer: "127.0.0.1:3".to_owned() };
    assert_eq!(stream.write("e99", body), FleetOutcome::Accepted);
    // The lane of an evicted entry may still be in use.
    stream.act(StewardAct::Evict { entry: EntryName::from("e99") });
    let body = FleetBody::Join { peer: "127.0.0.1:3".to_owned() };
    assert_eq!(stream.write("e100", body), FleetOutcome::Refused);
}

fn publish(id: u128, base: Option<u64>, document: &IntentDocument) -> IntentRecord {
    IntentRecord {
        id: Uuid::from_u128(id),
        at_ms: 0,
        by: "operator".to_owned(),
        body: IntentBody::Publish { base, document: Box::new(document.clone()) },
    }
}

fn sample() -> IntentDocument {
    let mut ports: BTreeMap<VmName, u16> = BTreeMap::new();
    let fleet = FleetShape::regie();
    for (port, (vm, _, _)) in (9_000..).zip(fleet.vms()) {
        ports.insert(vm, port);
    }
    fleet.document(|vm| ([127, 0, 0, 1], ports[vm]).into())
}

/// Two operators publish while the platform loses, delays and duplicates appends: each base gets
/// one winner, no revision is reverted, and a reader that starts from a snapshot reaches the same
/// state.
#[test]
fn racing_publishes_have_one_winner_a_base() {
    seeded(0x1A7E, |seed| {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(60, seed))
            .tests(60)
            .quickcheck(check_races as fn(Vec<(u8, u8)>) -> TestResult);
    });
}

fn check_races(draws: Vec<(u8, u8)>) -> TestResult {
    static DOCUMENT: LazyLock<IntentDocument> = LazyLock::new(sample);
    let mut state = IntentState::default();
    let mut log: Vec<IntentRecord> = Vec::new();
    let mut bases = [None, None];
    let mut winners: BTreeMap<Option<u64>, u32> = BTreeMap::new();
    for (id, (operator, kind)) in (1u128..).zip(draws) {
        let operator = usize::from(operator % 2);
        if kind.is_multiple_of(3) {
            bases[operator] = state.revision();
        }
        let copied = log.len().checked_sub(1 + usize::from(kind % 8)).map(|at| log[at].clone());
        let record = match copied {
            Some(copy) if kind % 5 == 4 => copy,
            _ => publish(id, bases[operator], &DOCUMENT),
        };
        let (offset, before) = (log.len() as u64, state.revision());
        let earlier_outcome = state.outcome(&record.id);
        state.apply(offset, &record);
        log.push(record.clone());
        let outcome = state.outcome(&record.id).expect("an applied publish has an outcome");
        assert!(
            earlier_outcome.is_none_or(|earlier| earlier == outcome),
            "a duplicate changed the outcome"
        );
        if earlier_outcome.is_none() && matches!(outcome, PublishOutcome::Accepted { .. }) {
            let IntentBody::Publish { base, .. } = &record.body else { continue };
            *winners.entry(*base).or_default() += 1;
        }
        assert!(state.revision() >= before, "the configuration reverted");
    }
    assert!(winners.values().all(|winners| *winners == 1), "a base has two winners");
    let mut prefix = IntentState::default();
    for (offset, record) in (0..).zip(&log[..log.len() / 2]) {
        prefix.apply(offset, record);
    }
    let mut reader = IntentState::default();
    reader.adopt(&prefix);
    for (offset, record) in (0..).zip(&log) {
        reader.apply(offset, record);
    }
    assert_eq!(reader, state, "a new reader reaches another state");
    TestResult::passed()
}
