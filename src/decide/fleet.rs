//! Replays a data centre's `fleet` stream into its state: the steward, the entries and the phase of
//! each VM.
//!
//! One entry, the steward, plans for the data centre's own VMs. It claims a term, and the first
//! claim of a term in log order wins. Records of an older term change nothing, so a steward that
//! was paused and resumes late does no harm. A VM changes pools only by `Drain`, the confirmation
//! of every entry that could still route to it, and `Release`. An `Assign` that comes early is
//! refused when it is applied, whoever wrote it.
//!
//! If an entry can't confirm (paused, partitioned or gone), the steward evicts it. The evicted
//! entry may go on routing by the state that it last read, so every VM that it could route to is
//! fenced: the current boot of the VM may not serve another pool, and a VM that was draining waits
//! for the longest time limit before its reboot. Entries use a connection only if the worker at its
//! end reports the boot number in the fleet state, so a request that a resumed entry sends late
//! reaches no worker of another boot.
//!
//! Each entry of the roster holds a lane: a fixed share of every worker's connections. The lane of
//! an evicted entry is reassigned only after that entry must have stopped by itself.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::decide::roster::RosterView;
use crate::document::BUDGET_DAYS;
use crate::name::{EntryName, PoolName, ProductName, VmName, WaveName};

/// Finished waves that are remembered for each VM.
pub const WAVES_KEPT: usize = 8;
/// Entries that a data centre may have; during a replacement, old and new ones count together. Each
/// holds this fraction of every worker's connections, so that their sum never exceeds the worker's
/// limit.
pub const ENTRY_LANES: u32 = 8;
/// Longest time that an entry routes without hearing from the platform or a peer, in milliseconds.
pub const AUTONOMY_MS: u64 = 7_200_000;
/// Margin for the skew between the wall clocks of VMs, in milliseconds.
pub const CLOCK_SKEW_MS: u64 = 2_000;

/// One record of a `fleet` stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetRecord {
    /// Drawn by the writer; the same for every attempt of one append.
    pub id: Uuid,
    /// Entry that wrote it.
    pub by: EntryName,
    /// Writer's wall clock, in milliseconds since the epoch.
    pub at_ms: u64,
    /// Content of the record.
    pub body: FleetBody,
}

/// Content of a record of a `fleet` stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetBody {
    /// The writer claims the stewardship for this term.
    Claim {
        /// The last term that the writer has read, plus one.
        term: u64,
    },
    /// The writer serves from now on.
    Join {
        /// Where peers reach it, IP:port.
        peer: String,
    },
    /// The writer has stopped and has nothing in flight.
    Leave,
    /// The writer sends nothing more to this VM and has nothing in flight there.
    Confirm {
        /// The VM.
        vm: VmName,
        /// Offset of the drain that is confirmed.
        drain: u64,
    },
    /// An act of the steward.
    Act {
        /// Term under which the steward acts.
        term: u64,
        /// The act.
        act: StewardAct,
    },
}

/// Acts that only the steward of the current term may write.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StewardAct {
    /// Heartbeat: the steward is alive.
    Beat,
    /// Removes an entry from the roster.
    Evict {
        /// The entry.
        entry: EntryName,
    },
    /// Assigns a spare VM to a pool.
    Assign {
        /// The VM.
        vm: VmName,
        /// Its new pool.
        pool: PoolName,
        /// Boot number that its worker reported.
        boot: u64,
    },
    /// Stops new work for a serving VM.
    Drain {
        /// The VM.
        vm: VmName,
        /// Why it is drained.
        reason: DrainReason,
        /// Longest time limit of any request, in milliseconds.
        limit_ms: u64,
    },
    /// Records that a drained VM is being rebooted.
    Reboot {
        /// The VM.
        vm: VmName,
    },
    /// Returns a VM to service in its pool, after a reboot or a failure.
    Return {
        /// The VM.
        vm: VmName,
        /// Boot number that its worker reported.
        boot: u64,
    },
    /// Records that a VM doesn't answer.
    Lost {
        /// The VM.
        vm: VmName,
    },
    /// Takes a drained or lost VM out of its pool.
    Release {
        /// The VM.
        vm: VmName,
    },
    /// Charges missing workers to a product's availability budget.
    Spend {
        /// The product.
        product: ProductName,
        /// Day of the steward's wall clock, counted since the epoch.
        day: u64,
        /// Missing workers times milliseconds.
        worker_ms: u64,
    },
    /// Snapshot of the state, written before the records that it replaces expire.
    Restate {
        /// State after every record below its `through`.
        state: Box<FleetState>,
    },
}

/// Why a VM is drained.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainReason {
    /// For a maintenance wave.
    Wave(WaveName),
    /// To move it to another pool.
    Move,
}

/// Phase in the lifecycle of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmPhase {
    /// Receives work.
    Serving,
    /// Receives no new work; the entries in `awaiting` have not confirmed yet.
    Draining {
        /// Offset of the drain.
        since: u64,
        /// Entries that may still have work in flight there.
        awaiting: BTreeSet<EntryName>,
        /// Why it is drained.
        reason: DrainReason,
        /// Longest time limit of any request, in milliseconds.
        limit_ms: u64,
        /// Wall clock of the latest eviction of an entry whose confirmation was awaited, in
        /// milliseconds.
        orphaned_at_ms: Option<u64>,
    },
    /// Being rebooted.
    Rebooting {
        /// Why it was drained.
        reason: DrainReason,
    },
    /// Doesn't answer.
    Lost {
        /// Wave whose reboot it has not returned from.
        wave: Option<WaveName>,
    },
    /// Belongs to no pool.
    Spare,
}

/// State of one VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmState {
    /// The only pool that it belongs to; `None` only for a spare VM.
    pub pool: Option<PoolName>,
    /// Current phase.
    pub phase: VmPhase,
    /// Offset of the record that last put it into service: its assignment epoch.
    pub epoch: u64,
    /// Boot number at that time.
    pub boot: u64,
    /// Boot number that an evicted entry may still route to; under it the VM may not serve another
    /// pool.
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
    /// Index of its share of every worker's connections, below `ENTRY_LANES`.
    pub lane: u32,
}

/// An entry that was removed from the roster and may not have read that yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvictedEntry {
    /// Steward's wall clock at the eviction, in milliseconds since the epoch.
    pub at_ms: u64,
    /// Lane that it may still use.
    pub lane: u32,
}

/// Replayed state; serialized as a whole in snapshots and between peers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetState {
    /// Offset of the next record to apply.
    pub through: u64,
    /// Term of the current steward; 0 before the first claim.
    pub term: u64,
    /// Current steward.
    pub steward: Option<EntryName>,
    /// Offset of the steward's newest accepted record.
    pub steward_seen: u64,
    /// Entries that route in this data centre.
    pub roster: BTreeMap<EntryName, RosterEntry>,
    /// The first entry that ever joined; before that, no key had an owner.
    pub first: Option<EntryName>,
    /// Entries that were evicted within the last `AUTONOMY_MS`.
    pub evicted: BTreeMap<EntryName, EvictedEntry>,
    /// Offset of the record that last changed the roster.
    pub roster_epoch: u64,
    /// Availability budget that each product has spent, by day, in missing workers times
    /// milliseconds.
    pub spent: BTreeMap<ProductName, BTreeMap<u64, u64>>,
    /// VMs by name. A VM that was never assigned is missing here and is spare.
    pub vms: BTreeMap<VmName, VmState>,
}

/// Effect of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetOutcome {
    /// It changed the state.
    Accepted,
    /// It had been applied before.
    AlreadyApplied,
    /// It came from a steward whose term has ended.
    StaleTerm,
    /// The rules don't allow it in this state.
    Refused,
}

impl FleetState {
    /// Applies the record at `offset`.
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

    /// Skips an unreadable record; every process skips the same ones.
    pub fn skip(&mut self, offset: u64) {
        self.through = self.through.max(offset + 1);
    }

    /// Replaces this state by a newer one from a snapshot or a peer. Returns false and changes
    /// nothing if it isn't newer.
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

    /// The roster as needed to decide who owns idempotency keys.
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
        // Twice the autonomy: by then, the window of every key that the evicted entry ran has
        // passed.
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
        // A steward that was paused for minutes resumes and goes on writing although another entry
        // has claimed its term since. Its plan is based on an outdated state, so none of it may
        // take effect.
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
        // An evicted entry that is only partitioned still sends requests of the old pool to this
        // boot.
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
        // A recently evicted entry may still have requests in flight, and will confirm nothing.
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
            // Entries may still send to the boot that was lost, so the next pool must get another
            // boot.
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

    /// Budget that a product has spent in the budget period up to `day`, in missing workers times
    /// milliseconds.
    pub fn spent_worker_ms(&self, product: &ProductName, day: u64) -> u64 {
        let days = self.spent.get(product).into_iter().flatten();
        days.filter(|(kept, _)| *kept + BUDGET_DAYS > day).map(|(_, spent)| spent).sum()
    }

    /// A VM belongs to exactly one pool unless it is spare, and a spare VM to none.
    fn assert_ownership(&self) {
        for (vm, state) in &self.vms {
            let spare = state.phase == VmPhase::Spare;
            assert!(spare == state.pool.is_none(), "{vm} has a pool and is spare, or neither");
        }
    }
}

impl VmState {
    /// Whether no entry can still have work in flight there, at this wall clock.
    pub fn is_drained(&self, at_ms: u64) -> bool {
        match &self.phase {
            VmPhase::Draining { awaiting, limit_ms, orphaned_at_ms, .. } => {
                let waited = orphaned_at_ms.is_none_or(|since| at_ms >= since + limit_ms);
                awaiting.is_empty() && waited
            }
            _ => false,
        }
    }

    /// An evicted entry may go on routing to a VM that had a pool at the time of the eviction.
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
