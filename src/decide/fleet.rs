//! Folds a data centre's `fleet` stream: its steward, its entries and the state of each VM.
//!
//! One entry, the steward, plans for the data centre's own VMs. It claims a term; the first claim of
//! a term in log order wins, and records of an older term change nothing, so a steward that was
//! paused and wakes late is harmless. A VM changes pools only through `Drain`, the confirmation of
//! every entry that could still route to it, and `Release`; the fold itself refuses an `Assign` that
//! comes early, whoever wrote it.
//!
//! Where an entry can't confirm (frozen, cut off, gone), the steward evicts it. It may go on routing
//! by what it last knew, so every VM that it could route to is fenced: its present boot number may
//! not serve another pool, and a VM that was draining waits out the longest time limit before its
//! reboot. Entries use a connection only if the worker at its end shows the boot number that the
//! fold gave them, so a send that wakes late finds nobody.
//!
//! Each entry of the roster holds a lane: a fixed share of every worker's connections. The lane of an
//! evicted entry is given out again only after the entry must have stopped by itself.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::decide::roster::RosterView;
use crate::document::BUDGET_DAYS;
use crate::name::{EntryName, PoolName, ProductName, VmName, WaveName};

/// Waves that a VM is remembered to have gone through.
pub const WAVES_KEPT: usize = 8;
/// Entries that a data centre may have, old and new ones during a replacement together. Each holds
/// this part of every worker's connections, so that their sum never passes the worker's bound.
pub const ENTRY_LANES: u32 = 8;
/// Longest time that an entry routes without hearing from the platform or a peer, in milliseconds.
pub const AUTONOMY_MS: u64 = 7_200_000;
/// Margin for the skew of wall clocks between VMs, in milliseconds.
pub const CLOCK_SKEW_MS: u64 = 2_000;

/// One record of a `fleet` stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetRecord {
    /// Drawn by the writer; the same for every try of one append.
    pub id: Uuid,
    /// Entry that wrote it.
    pub by: EntryName,
    /// Writer's wall clock, in milliseconds since the epoch.
    pub at_ms: u64,
    /// What it says.
    pub body: FleetBody,
}

/// What a record of a `fleet` stream says.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetBody {
    /// The writer wants to be steward of this term.
    Claim {
        /// The last term it has seen, plus one.
        term: u64,
    },
    /// The writer serves from now on.
    Join {
        /// Where peers reach it, IP:port.
        peer: String,
    },
    /// The writer has stopped; nothing of it is in flight.
    Leave,
    /// The writer sends no more to this VM and has nothing in flight there.
    Confirm {
        /// The VM.
        vm: VmName,
        /// Offset of the drain that it confirms.
        drain: u64,
    },
    /// An act of the steward.
    Act {
        /// Term of the steward.
        term: u64,
        /// What it does.
        act: StewardAct,
    },
}

/// What only the steward of the present term may write.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StewardAct {
    /// The steward is alive.
    Beat,
    /// An entry is taken off the roster.
    Evict {
        /// The entry.
        entry: EntryName,
    },
    /// A spare VM becomes a pool's.
    Assign {
        /// The VM.
        vm: VmName,
        /// Its pool from now on.
        pool: PoolName,
        /// Boot number that its worker showed.
        boot: u64,
    },
    /// A serving VM gets no new work.
    Drain {
        /// The VM.
        vm: VmName,
        /// Why.
        reason: DrainReason,
        /// Longest time limit of any request, in milliseconds.
        limit_ms: u64,
    },
    /// A drained VM is being rebooted.
    Reboot {
        /// The VM.
        vm: VmName,
    },
    /// A VM serves its pool again, after a reboot or a failure.
    Return {
        /// The VM.
        vm: VmName,
        /// Boot number that its worker showed.
        boot: u64,
    },
    /// A VM doesn't answer.
    Lost {
        /// The VM.
        vm: VmName,
    },
    /// A drained or lost VM leaves its pool.
    Release {
        /// The VM.
        vm: VmName,
    },
    /// Workers that a product lacked, times how long.
    Spend {
        /// The product.
        product: ProductName,
        /// Day of the steward's wall clock, since the epoch.
        day: u64,
        /// Missing workers times milliseconds.
        worker_ms: u64,
    },
    /// The fold's state, restated before the records behind it expire.
    Restate {
        /// State after every record below its `through`.
        state: Box<FleetState>,
    },
}

/// Why a VM is drained.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainReason {
    /// A maintenance wave.
    Wave(WaveName),
    /// It goes to another pool.
    Move,
}

/// Where a VM is in its life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmPhase {
    /// Gets work.
    Serving,
    /// Gets no new work; `awaiting` have not confirmed yet.
    Draining {
        /// Offset of the drain.
        since: u64,
        /// Entries that may still have work in flight there.
        awaiting: BTreeSet<EntryName>,
        /// Why it is drained.
        reason: DrainReason,
        /// Longest time limit of any request, in milliseconds.
        limit_ms: u64,
        /// Wall clock of the newest eviction of an awaited entry, in milliseconds.
        orphaned_at_ms: Option<u64>,
    },
    /// Being rebooted.
    Rebooting {
        /// Why it was drained.
        reason: DrainReason,
    },
    /// Doesn't answer.
    Lost {
        /// Wave whose reboot it did not come back from.
        wave: Option<WaveName>,
    },
    /// Belongs to no pool.
    Spare,
}

/// What the fold knows of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmState {
    /// The one pool that it belongs to; none only while spare.
    pub pool: Option<PoolName>,
    /// Where it is in its life.
    pub phase: VmPhase,
    /// Offset of the record that last made it serve: its assignment epoch.
    pub epoch: u64,
    /// Boot number at that time.
    pub boot: u64,
    /// Boot number that an evicted entry may still route to; it may not serve another pool.
    pub fenced_boot: Option<u64>,
    /// Waves that it has gone through, newest last.
    pub waves: Vec<WaveName>,
}

/// An entry of the roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterEntry {
    /// Where peers reach it, IP:port.
    pub peer: String,
    /// Offset of its join.
    pub joined: u64,
    /// Its share of every worker's connections, below `ENTRY_LANES`.
    pub lane: u32,
}

/// An entry that was taken off the roster and may not know it yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvictedEntry {
    /// Steward's wall clock at the eviction, in milliseconds since the epoch.
    pub at_ms: u64,
    /// The lane that it may still use.
    pub lane: u32,
}

/// State of the fold; serialized whole in a restatement and between peers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetState {
    /// Offset of the next record to fold.
    pub through: u64,
    /// Term of the present steward; 0 while there was none.
    pub term: u64,
    /// The present steward.
    pub steward: Option<EntryName>,
    /// Offset of the steward's newest accepted record.
    pub steward_seen: u64,
    /// Entries that route in this data centre.
    pub roster: BTreeMap<EntryName, RosterEntry>,
    /// The first entry that ever joined: before it, nobody owned anything.
    pub first: Option<EntryName>,
    /// Entries that were evicted within the last `AUTONOMY_MS`.
    pub evicted: BTreeMap<EntryName, EvictedEntry>,
    /// Offset of the record that last changed the roster.
    pub roster_epoch: u64,
    /// What products spent of their availability budgets, in missing workers times milliseconds, by
    /// day.
    pub spent: BTreeMap<ProductName, BTreeMap<u64, u64>>,
    /// VMs by name; one that was never assigned is missing, and spare.
    pub vms: BTreeMap<VmName, VmState>,
}

/// What a record did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetOutcome {
    /// It changed the state.
    Accepted,
    /// It was folded before.
    AlreadyApplied,
    /// It came from a steward whose term is over.
    StaleTerm,
    /// The rules don't allow it in this state.
    Refused,
}

impl FleetState {
    /// Folds the record at `offset`.
    pub fn apply(&mut self, offset: u64, record: &FleetRecord) -> FleetOutcome {
        if offset < self.through {
            return FleetOutcome::AlreadyApplied;
        }
        self.through = offset + 1;
        let outcome = match &record.body {
            FleetBody::Claim { term } => self.claim(offset, &record.by, *term),
            FleetBody::Join { peer } => self.join(offset, record, peer),
            FleetBody::Leave => self.leave(offset, &record.by),
            FleetBody::Confirm { vm, drain } => self.confirm(vm, &record.by, *drain),
            FleetBody::Act { term, act } => self.act(offset, record, *term, act),
        };
        self.assert_ownership();
        outcome
    }

    /// Skips a record that can't be read; every process skips the same one.
    pub fn skip(&mut self, offset: u64) {
        self.through = self.through.max(offset + 1);
    }

    /// Takes over a newer state, from a restatement or a peer; an older one changes nothing.
    pub fn adopt(&mut self, state: &FleetState) -> bool {
        if state.through <= self.through {
            return false;
        }
        *self = state.clone();
        true
    }

    /// The VM's state; spare if it was never assigned.
    pub fn vm(&self, vm: &VmName) -> VmState {
        self.vms.get(vm).cloned().unwrap_or_else(spare_vm)
    }

    /// The roster as owners of keys look at it.
    pub fn roster_view(&self) -> RosterView {
        let entries = self.roster.iter().map(|(name, entry)| (name.clone(), entry.joined));
        let evicted = self.evicted.iter().map(|(name, entry)| (name.clone(), entry.at_ms));
        RosterView {
            epoch: self.roster_epoch,
            entries: entries.collect(),
            evicted: evicted.collect(),
            first: self.first.clone(),
        }
    }

    fn claim(&mut self, offset: u64, by: &EntryName, term: u64) -> FleetOutcome {
        if term != self.term + 1 {
            return FleetOutcome::StaleTerm;
        }
        if !self.roster.contains_key(by) {
            return FleetOutcome::Refused;
        }
        self.term = term;
        self.steward = Some(by.clone());
        self.steward_seen = offset;
        FleetOutcome::Accepted
    }

    fn join(&mut self, offset: u64, record: &FleetRecord, peer: &str) -> FleetOutcome {
        if self.roster.contains_key(&record.by) || self.evicted.contains_key(&record.by) {
            return FleetOutcome::Refused;
        }
        // Twice, so that no key that it ran is still within its window when it is forgotten.
        let is_forgotten = |entry: &EvictedEntry| entry.at_ms + 2 * AUTONOMY_MS < record.at_ms;
        self.evicted.retain(|_, entry| !is_forgotten(entry));
        let Some(lane) = self.free_lane(record.at_ms) else { return FleetOutcome::Refused };
        let entry = RosterEntry { peer: peer.to_owned(), joined: offset, lane };
        self.roster.insert(record.by.clone(), entry);
        self.first.get_or_insert_with(|| record.by.clone());
        self.roster_epoch = offset;
        FleetOutcome::Accepted
    }

    fn free_lane(&self, at_ms: u64) -> Option<u32> {
        let may_be_in_use =
            |entry: &&EvictedEntry| entry.at_ms + AUTONOMY_MS + CLOCK_SKEW_MS >= at_ms;
        let evicted = self.evicted.values().filter(may_be_in_use).map(|entry| entry.lane);
        let held: BTreeSet<u32> =
            self.roster.values().map(|entry| entry.lane).chain(evicted).collect();
        (0..ENTRY_LANES).find(|lane| !held.contains(lane))
    }

    fn leave(&mut self, offset: u64, by: &EntryName) -> FleetOutcome {
        if self.roster.remove(by).is_none() {
            return FleetOutcome::Refused;
        }
        self.roster_epoch = offset;
        self.steward = self.steward.take().filter(|steward| steward != by);
        for vm in self.vms.values_mut() {
            if let VmPhase::Draining { awaiting, .. } = &mut vm.phase {
                awaiting.remove(by);
            }
        }
        FleetOutcome::Accepted
    }

    fn evict(&mut self, offset: u64, at_ms: u64, entry: &EntryName) -> FleetOutcome {
        let Some(removed) = self.roster.remove(entry) else { return FleetOutcome::Refused };
        self.evicted.insert(entry.clone(), EvictedEntry { at_ms, lane: removed.lane });
        self.roster_epoch = offset;
        self.steward = self.steward.take().filter(|steward| steward != entry);
        for vm in self.vms.values_mut() {
            vm.fence(entry, at_ms);
        }
        FleetOutcome::Accepted
    }

    fn confirm(&mut self, vm: &VmName, by: &EntryName, drain: u64) -> FleetOutcome {
        let Some(VmPhase::Draining { since, awaiting, .. }) =
            self.vms.get_mut(vm).map(|vm| &mut vm.phase)
        else {
            return FleetOutcome::Refused;
        };
        if *since == drain && awaiting.remove(by) {
            FleetOutcome::Accepted
        } else {
            FleetOutcome::Refused
        }
    }

    fn act(
        &mut self,
        offset: u64,
        record: &FleetRecord,
        term: u64,
        act: &StewardAct,
    ) -> FleetOutcome {
        // A steward frozen for minutes wakes and writes on: its term was claimed by another since.
        // Its plan rests on a state that is gone, so none of it may count.
        if term != self.term || self.steward.as_ref() != Some(&record.by) {
            return FleetOutcome::StaleTerm;
        }
        self.steward_seen = offset;
        match act {
            StewardAct::Beat | StewardAct::Restate { .. } => FleetOutcome::Accepted,
            StewardAct::Evict { entry } => self.evict(offset, record.at_ms, entry),
            StewardAct::Assign { vm, pool, boot } => self.assign(offset, vm, pool, *boot),
            StewardAct::Drain { vm, reason, limit_ms } => {
                self.drain(offset, record.at_ms, vm, reason, *limit_ms)
            }
            StewardAct::Reboot { vm } => self.reboot(record.at_ms, vm),
            StewardAct::Return { vm, boot } => self.return_vm(offset, vm, *boot),
            StewardAct::Lost { vm } => self.mark_lost(vm),
            StewardAct::Release { vm } => self.release(vm),
            StewardAct::Spend { product, day, worker_ms } => self.spend(product, *day, *worker_ms),
        }
    }

    fn assign(&mut self, offset: u64, vm: &VmName, pool: &PoolName, boot: u64) -> FleetOutcome {
        let state = self.vms.entry(vm.clone()).or_insert_with(spare_vm);
        // An evicted entry that is only cut off still sends the old pool's requests to this boot.
        if state.phase != VmPhase::Spare || state.fenced_boot == Some(boot) {
            return FleetOutcome::Refused;
        }
        state.pool = Some(pool.clone());
        state.serve(offset, boot);
        FleetOutcome::Accepted
    }

    fn drain(
        &mut self,
        offset: u64,
        at_ms: u64,
        vm: &VmName,
        reason: &DrainReason,
        limit_ms: u64,
    ) -> FleetOutcome {
        // An entry evicted just now may still have requests in flight, and confirms nothing.
        let evicted = self.evicted.values().map(|entry| entry.at_ms).max();
        let orphaned_at_ms = evicted.filter(|evicted| evicted + limit_ms > at_ms);
        let awaiting: BTreeSet<EntryName> = self.roster.keys().cloned().collect();
        let Some(state) = self.vms.get_mut(vm) else { return FleetOutcome::Refused };
        if state.phase != VmPhase::Serving {
            return FleetOutcome::Refused;
        }
        state.phase = VmPhase::Draining {
            since: offset,
            awaiting,
            reason: reason.clone(),
            limit_ms,
            orphaned_at_ms,
        };
        FleetOutcome::Accepted
    }

    fn reboot(&mut self, at_ms: u64, vm: &VmName) -> FleetOutcome {
        let Some(state) = self.vms.get_mut(vm) else { return FleetOutcome::Refused };
        if !state.is_drained(at_ms) {
            return FleetOutcome::Refused;
        }
        let VmPhase::Draining { reason, .. } = &state.phase else { return FleetOutcome::Refused };
        state.phase = VmPhase::Rebooting { reason: reason.clone() };
        FleetOutcome::Accepted
    }

    fn return_vm(&mut self, offset: u64, vm: &VmName, boot: u64) -> FleetOutcome {
        let Some(state) = self.vms.get_mut(vm) else { return FleetOutcome::Refused };
        let wave = match &state.phase {
            VmPhase::Rebooting { reason: DrainReason::Wave(wave) } if boot != state.boot => {
                Some(wave.clone())
            }
            VmPhase::Serving if boot != state.boot => None,
            VmPhase::Lost { wave } => wave.clone().filter(|_| boot != state.boot),
            VmPhase::Rebooting { .. }
            | VmPhase::Serving
            | VmPhase::Draining { .. }
            | VmPhase::Spare => return FleetOutcome::Refused,
        };
        if let Some(wave) = wave {
            state.record_wave(wave);
        }
        state.serve(offset, boot);
        FleetOutcome::Accepted
    }

    fn mark_lost(&mut self, vm: &VmName) -> FleetOutcome {
        let Some(state) = self.vms.get_mut(vm) else { return FleetOutcome::Refused };
        let wave = match &state.phase {
            VmPhase::Spare | VmPhase::Lost { .. } => return FleetOutcome::Refused,
            VmPhase::Rebooting { reason: DrainReason::Wave(wave) } => Some(wave.clone()),
            VmPhase::Serving | VmPhase::Draining { .. } | VmPhase::Rebooting { .. } => None,
        };
        state.phase = VmPhase::Lost { wave };
        FleetOutcome::Accepted
    }

    fn release(&mut self, vm: &VmName) -> FleetOutcome {
        let Some(state) = self.vms.get_mut(vm) else { return FleetOutcome::Refused };
        match &state.phase {
            VmPhase::Draining { awaiting, .. } if awaiting.is_empty() => {}
            VmPhase::Rebooting { reason: DrainReason::Move } => {}
            // Entries may still send to the boot that was lost; the next pool gets another one.
            VmPhase::Lost { .. } => state.fenced_boot = Some(state.boot),
            VmPhase::Draining { .. }
            | VmPhase::Rebooting { .. }
            | VmPhase::Serving
            | VmPhase::Spare => return FleetOutcome::Refused,
        }
        state.pool = None;
        state.phase = VmPhase::Spare;
        FleetOutcome::Accepted
    }

    fn spend(&mut self, product: &ProductName, day: u64, worker_ms: u64) -> FleetOutcome {
        let days = self.spent.entry(product.clone()).or_default();
        *days.entry(day).or_default() += worker_ms;
        days.retain(|kept, _| kept + BUDGET_DAYS > day);
        FleetOutcome::Accepted
    }

    /// What a product spent in the days up to `day`, in missing workers times milliseconds.
    pub fn spent_worker_ms(&self, product: &ProductName, day: u64) -> u64 {
        let days = self.spent.get(product).into_iter().flatten();
        days.filter(|(kept, _)| *kept + BUDGET_DAYS > day).map(|(_, spent)| spent).sum()
    }

    /// A VM belongs to exactly one pool: it has one unless it is spare, and only then none.
    fn assert_ownership(&self) {
        for (vm, state) in &self.vms {
            let spare = state.phase == VmPhase::Spare;
            assert!(spare == state.pool.is_none(), "{vm} has a pool and is spare, or neither");
        }
    }
}

impl VmState {
    /// Whether no entry can have work in flight there any more, at this wall clock.
    pub fn is_drained(&self, at_ms: u64) -> bool {
        match &self.phase {
            VmPhase::Draining { awaiting, limit_ms, orphaned_at_ms, .. } => {
                let waited = orphaned_at_ms.is_none_or(|since| at_ms >= since + limit_ms);
                awaiting.is_empty() && waited
            }
            _ => false,
        }
    }

    /// An evicted entry may go on routing to a VM that had a pool at that time.
    fn fence(&mut self, entry: &EntryName, evicted_at_ms: u64) {
        if self.phase != VmPhase::Spare {
            self.fenced_boot = Some(self.boot);
        }
        if let VmPhase::Draining { awaiting, orphaned_at_ms, .. } = &mut self.phase
            && awaiting.remove(entry)
        {
            *orphaned_at_ms = Some(evicted_at_ms.max(orphaned_at_ms.unwrap_or(0)));
        }
    }

    fn serve(&mut self, offset: u64, boot: u64) {
        self.phase = VmPhase::Serving;
        self.epoch = offset;
        self.boot = boot;
    }

    fn record_wave(&mut self, wave: WaveName) {
        if self.waves.contains(&wave) {
            return;
        }
        self.waves.push(wave);
        if self.waves.len() > WAVES_KEPT {
            self.waves.remove(0);
        }
    }
}

fn spare_vm() -> VmState {
    VmState {
        pool: None,
        phase: VmPhase::Spare,
        epoch: 0,
        boot: 0,
        fenced_boot: None,
        waves: Vec::new(),
    }
}
