//! Model of the ownership of idempotency keys under any order of failures: no key runs twice.
//!
//! Entries join, leave, are evicted while running, pause or are partitioned. They may or may not
//! read the log, confirm each other and hand over, and they may pause between the last check of
//! their ownership and the write to the worker. The oracle counts runs.

mod support;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use ibisweir::decide::fleet::{FleetBody, FleetRecord, FleetState, StewardAct};
use ibisweir::decide::key::{
    KeptAnswer, KeyDecision, KeyLimits, KeyOutcome, KeyRecord, KeyTable, RequestKey,
};
use ibisweir::decide::lease::RosterLease;
use ibisweir::decide::roster::{HandOverNotice, KeyOwnership, KeyRight, LeaseTimes, Moment};
use ibisweir::name::EntryName;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use support::seeded;
use uuid::Uuid;

const ENTRIES: usize = 4;
const TIMES: LeaseTimes = LeaseTimes {
    lease: Duration::from_millis(100),
    skew: Duration::from_millis(20),
    autonomy: Duration::from_millis(2_000),
};

/// One random step.
#[derive(Clone, Copy, Debug)]
enum ModelStep {
    /// An entry reads the log to its end.
    Read(u8),
    /// All entries read the log.
    ReadAll,
    /// An entry asks another for a confirmation.
    Gossip(u8, u8),
    /// All entries ask all others.
    GossipAll,
    /// An entry makes the hand-overs that are due.
    HandOver(u8),
    /// All entries do.
    HandOverAll,
    /// The steward evicts an entry, whatever it is doing.
    Evict(u8),
    /// An entry that is not on the roster joins under a new name.
    Join(u8),
    /// An entry leaves in an orderly way.
    Leave(u8),
    /// A request with a new or an old key arrives at an entry.
    Request(u8, u8),
    /// Requests with one of the newest keys arrive at all entries.
    RequestAll(u8),
    /// An entry sends the requests that it decided to run to the worker; until then it may be
    /// paused.
    Dispatch(u8),
    /// Time passes.
    Wait(u8),
}

impl Arbitrary for ModelStep {
    fn arbitrary(g: &mut Gen) -> Self {
        let (entry, other) = (u8::arbitrary(g), u8::arbitrary(g));
        match u8::arbitrary(g) % 36 {
            0..=3 => ModelStep::Read(entry),
            4..=5 => ModelStep::ReadAll,
            6..=7 => ModelStep::Gossip(entry, other),
            8..=10 => ModelStep::GossipAll,
            11..=13 => ModelStep::HandOver(entry),
            14 => ModelStep::HandOverAll,
            15..=16 => ModelStep::Evict(entry),
            17..=19 => ModelStep::Join(entry),
            20 => ModelStep::Leave(entry),
            21..=24 => ModelStep::Request(entry, other),
            25..=28 => ModelStep::RequestAll(other),
            29..=31 => ModelStep::Dispatch(entry),
            _ => ModelStep::Wait(other),
        }
    }
}

struct ModelEntry {
    name: EntryName,
    view: FleetState,
    ownership: KeyOwnership,
    table: KeyTable,
    lease: RosterLease,
    pending: Vec<Uuid>,
    handed_over_at: HashMap<EntryName, u64>,
}

struct KeyModel {
    log: Vec<FleetRecord>,
    truth: FleetState,
    entries: Vec<ModelEntry>,
    keys: Vec<RequestKey>,
    runs: BTreeMap<Uuid, u32>,
    now_ms: u64,
    entries_created: u32,
}

impl KeyModel {
    fn new() -> Self {
        let mut model = KeyModel {
            log: Vec::new(),
            truth: FleetState::default(),
            entries: Vec::new(),
            keys: Vec::new(),
            runs: BTreeMap::new(),
            now_ms: 10_000_000,
            entries_created: 0,
        };
        for _ in 0..ENTRIES {
            let entry = model.new_entry();
            model.entries.push(entry);
        }
        model
    }

    fn new_entry(&mut self) -> ModelEntry {
        self.entries_created += 1;
        let name = EntryName::from(format!("e{}", self.entries_created).as_str());
        let limits = KeyLimits {
            window_ms: 1_000_000,
            skew_ms: 20,
            keys_max: 10_000,
            answer_bytes_max: usize::MAX,
        };
        ModelEntry {
            ownership: KeyOwnership::new(name.clone(), TIMES),
            name,
            view: FleetState::default(),
            table: KeyTable::new(limits),
            lease: RosterLease::default(),
            pending: Vec::new(),
            handed_over_at: HashMap::new(),
        }
    }

    fn moment(&self) -> Moment {
        Moment { steady: Duration::from_millis(self.now_ms), wall_ms: self.now_ms }
    }

    fn append(&mut self, by: &EntryName, body: FleetBody) {
        let record = FleetRecord { id: Uuid::nil(), by: by.clone(), at_ms: self.now_ms, body };
        self.truth.apply(self.log.len() as u64, &record);
        self.log.push(record);
    }

    fn step(&mut self, step: ModelStep) {
        self.now_ms += 1;
        let at = |entry: u8| usize::from(entry) % ENTRIES;
        match step {
            ModelStep::Read(entry) => self.read(at(entry)),
            ModelStep::ReadAll => (0..ENTRIES).for_each(|entry| self.read(entry)),
            ModelStep::Gossip(entry, other) => self.gossip(at(entry), at(other)),
            ModelStep::GossipAll => {
                for entry in 0..ENTRIES {
                    (0..ENTRIES).for_each(|other| self.gossip(entry, other));
                }
            }
            ModelStep::HandOver(entry) => self.hand_over(at(entry), false),
            ModelStep::HandOverAll => (0..ENTRIES).for_each(|e| self.hand_over(e, false)),
            ModelStep::Evict(entry) => self.evict(at(entry)),
            ModelStep::Join(entry) => self.join(at(entry)),
            ModelStep::Leave(entry) => self.leave(at(entry)),
            ModelStep::Request(entry, key) => {
                let key = self.key(key);
                self.request(at(entry), &key);
            }
            ModelStep::RequestAll(key) => {
                let key = self.key(key);
                (0..ENTRIES).for_each(|entry| self.request(entry, &key));
            }
            ModelStep::Dispatch(entry) => self.dispatch(at(entry)),
            ModelStep::Wait(time) => self.now_ms += u64::from(time),
        }
    }

    fn read(&mut self, entry: usize) {
        let now = self.moment();
        let entry = &mut self.entries[entry];
        for (offset, record) in (0..).zip(&self.log) {
            entry.view.apply(offset, record);
        }
        entry.ownership.adopt(&entry.view.roster_view(), now);
        if entry.view.roster.contains_key(&entry.name) {
            entry.lease.confirm_by_log(now);
        }
    }

    fn gossip(&mut self, asker: usize, other: usize) {
        if asker == other {
            return;
        }
        let now = self.moment();
        let (asker_name, asker_epoch) =
            (self.entries[asker].name.clone(), self.entries[asker].ownership.epoch());
        let (other_name, other_epoch) =
            (self.entries[other].name.clone(), self.entries[other].ownership.epoch());
        self.hear(other, &asker_name, asker_epoch);
        self.hear(asker, &other_name, other_epoch);
        let knows_no_newer =
            other_epoch.is_some_and(|epoch| asker_epoch.is_some_and(|own| epoch <= own));
        if knows_no_newer {
            self.entries[asker].lease.confirm_by_peer(&other_name, now);
        }
    }

    fn hear(&mut self, entry: usize, from: &EntryName, epoch: Option<u64>) {
        let entry = &mut self.entries[entry];
        let joined = entry.view.roster.get(&entry.name).map(|me| me.joined);
        if epoch.zip(joined).is_some_and(|(epoch, joined)| epoch >= joined) {
            entry.ownership.mark_aware(from);
        }
    }

    fn hand_over(&mut self, entry: usize, last: bool) {
        let now = self.moment();
        let me = &self.entries[entry];
        let Some(epoch) = me.ownership.epoch() else { return };
        if !last && !me.ownership.may_hand_over(now.steady) {
            return;
        }
        let (from, floor_ms) = (me.name.clone(), me.ownership.floor_ms(now.steady));
        let retired = me.ownership.retired(now.steady);
        let mut records = me.table.select(|_| true);
        for record in &mut records {
            if record.outcome == KeyOutcome::Running {
                record.outcome = KeyOutcome::Unknown;
            }
        }
        let others: Vec<EntryName> = me.ownership.others().cloned().collect();
        for other in others {
            let done = self.entries[entry].handed_over_at.get(&other) == Some(&epoch);
            let peer = self.entries.iter_mut().find(|peer| peer.name == other);
            let Some(peer) = peer.filter(|peer| peer.ownership.epoch() >= Some(epoch)) else {
                continue;
            };
            if done && !last {
                continue;
            }
            for record in &records {
                peer.table.take_over(record.clone());
            }
            let notice = HandOverNotice { from: &from, floor_ms, retired: &retired, last };
            peer.ownership.record_hand_over(&notice);
            self.entries[entry].handed_over_at.insert(other, epoch);
        }
    }

    fn evict(&mut self, entry: usize) {
        let Some(steward) = self.truth.roster.keys().next().cloned() else { return };
        let evicted = self.entries[entry].name.clone();
        if steward == evicted {
            return;
        }
        let term = self.truth.term + 1;
        self.append(&steward, FleetBody::Claim { term });
        let act = StewardAct::Evict { entry: evicted };
        self.append(&steward, FleetBody::Act { term, act });
    }

    /// The process with the old name is gone or knows that it was evicted. Requests that it had
    /// decided to run may still reach the worker.
    fn join(&mut self, entry: usize) {
        if self.truth.roster.contains_key(&self.entries[entry].name) {
            return;
        }
        let pending = std::mem::take(&mut self.entries[entry].pending);
        pending.iter().for_each(|id| self.run(id));
        self.entries[entry] = self.new_entry();
        let name = self.entries[entry].name.clone();
        self.append(&name, FleetBody::Join { peer: String::new() });
    }

    fn leave(&mut self, entry: usize) {
        let name = self.entries[entry].name.clone();
        if self.truth.roster.contains_key(&name) {
            self.dispatch(entry);
            self.hand_over(entry, true);
            self.append(&name, FleetBody::Leave);
            self.entries[entry] = self.new_entry();
        }
    }

    /// Sometimes a new key, otherwise one of the newest.
    fn key(&mut self, draw: u8) -> RequestKey {
        if draw.is_multiple_of(3) || self.keys.is_empty() {
            let id = Uuid::from_u128(u128::from(draw) << 64 | self.keys.len() as u128);
            let key = RequestKey { home: None, id, minted_ms: self.now_ms };
            self.keys.push(key.clone());
            return key;
        }
        let back = usize::from(draw) % self.keys.len().min(6);
        self.keys[self.keys.len() - 1 - back].clone()
    }

    fn right(&self, entry: usize, key: &Uuid) -> KeyRight {
        let now = self.moment();
        let entry = &self.entries[entry];
        match entry.ownership.right(key.as_bytes(), now.steady) {
            KeyRight::Own { .. }
                if !entry.lease.is_fresh(entry.ownership.others(), &TIMES, now) =>
            {
                KeyRight::Wait
            }
            right => right,
        }
    }

    fn request(&mut self, entry: usize, key: &RequestKey) {
        let right = self.right(entry, &key.id);
        let step = self.entries[entry].table.begin(key, 1, right, self.now_ms);
        if step == KeyDecision::Run {
            self.entries[entry].pending.push(key.id);
        }
    }

    fn dispatch(&mut self, entry: usize) {
        for id in std::mem::take(&mut self.entries[entry].pending) {
            self.run(&id);
            let answer = KeptAnswer { status: 200, content_type: None, body: None };
            self.entries[entry].table.finish(&id, Some(KeyOutcome::Done(answer)));
        }
    }

    fn run(&mut self, id: &Uuid) {
        let runs = self.runs.entry(*id).or_default();
        *runs += 1;
        assert_eq!(*runs, 1, "key {id} was run twice");
    }
}

fn check_steps(steps: Vec<ModelStep>) -> TestResult {
    let mut model = KeyModel::new();
    for entry in 0..3 {
        model.step(ModelStep::Join(entry));
    }
    let settled = [ModelStep::ReadAll, ModelStep::GossipAll, ModelStep::HandOverAll];
    for step in [settled, settled].into_iter().flatten().chain(steps) {
        model.step(step);
    }
    TestResult::passed()
}

/// A fixed sequence of steps, to verify that the model runs keys at all.
#[test]
fn a_settled_roster_runs_every_key_once() {
    let mut model = KeyModel::new();
    for entry in 0..3 {
        model.step(ModelStep::Join(entry));
    }
    for _ in 0..3 {
        model.step(ModelStep::ReadAll);
        model.step(ModelStep::GossipAll);
        model.step(ModelStep::HandOverAll);
    }
    for draw in (0..60).step_by(3) {
        model.step(ModelStep::ReadAll);
        let key = model.key(draw);
        (0..3).for_each(|entry| model.request(entry, &key));
        (0..3).for_each(|entry| model.dispatch(entry));
    }
    assert_eq!(model.runs.len(), model.keys.len(), "every key has run");
}

#[test]
fn no_key_is_run_twice_whatever_fails() {
    seeded(0x4E75, |seed| {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(300, seed))
            .tests(6_000)
            .quickcheck(check_steps as fn(Vec<ModelStep>) -> TestResult);
    });
}

/// Guards against answers of many keys that are kept without a bound on their sum.
#[test]
fn answers_beyond_the_bound_are_not_kept() {
    let limits =
        KeyLimits { window_ms: 1_000, skew_ms: 20, keys_max: 100, answer_bytes_max: 2_500 };
    let mut table = KeyTable::new(limits);
    let answer = || KeptAnswer {
        status: 200,
        content_type: None,
        body: Some(bytes::Bytes::from(vec![b'a'; 1_000])),
    };
    let record = |number: u128| KeyRecord {
        id: Uuid::from_u128(number),
        minted_ms: 1_000,
        fingerprint: 1,
        outcome: KeyOutcome::Done(answer()),
    };
    (1..=5).for_each(|number| table.take_over(record(number)));
    let kept = |table: &KeyTable| {
        let records = table.select(|_| true).into_iter();
        let has_body = |record: &KeyRecord| matches!(&record.outcome, KeyOutcome::Done(answer) if answer.body.is_some());
        records.filter(has_body).count()
    };
    assert_eq!((table.len(), kept(&table)), (5, 2));
    // One that was not run after all makes room again.
    for number in 1..=5 {
        table.finish(&Uuid::from_u128(number), None);
    }
    table.take_over(record(6));
    assert_eq!((table.len(), kept(&table)), (1, 1));
}
