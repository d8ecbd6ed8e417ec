//! The idempotency keys that this entry owns, with its right to them.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use uuid::Uuid;

use crate::clock::ProcessClock;
use crate::decide::fleet::FleetState;
use crate::decide::key::{KeyDecision, KeyLimits, KeyOutcome, KeyTable, RequestKey};
use crate::decide::roster::{HandOverNotice, KeyOwnership, KeyRight, LeaseTimes, owner};
use crate::error::ResultCode;
use crate::membership::EntryMembership;
use crate::metrics::EntryMetrics;
use crate::name::EntryName;
use crate::peer::KeyHandOver;

/// Records in one hand-over message.
const RECORDS_PER_MESSAGE: usize = 1_000;

#[derive(Debug)]
struct KeyringState {
    book: KeyOwnership,
    table: KeyTable,
    /// Roster epoch at which each peer last got all that it owns.
    handed: Vec<(EntryName, u64)>,
    closed: bool,
}

/// Owner of keys.
#[derive(Debug)]
pub struct KeyRing {
    membership: Arc<EntryMembership>,
    times: LeaseTimes,
    limits: KeyLimits,
    clock: ProcessClock,
    metrics: Arc<EntryMetrics>,
    state: Mutex<KeyringState>,
}

impl KeyRing {
    /// A ring that owns nothing yet.
    pub fn new(
        membership: Arc<EntryMembership>,
        times: LeaseTimes,
        limits: KeyLimits,
        metrics: Arc<EntryMetrics>,
    ) -> Self {
        let book = KeyOwnership::new(membership.name().as_ref().clone(), times);
        let state =
            KeyringState { book, table: KeyTable::new(limits), handed: Vec::new(), closed: false };
        let clock = membership.clock();
        KeyRing { membership, times, limits, clock, metrics, state: Mutex::new(state) }
    }

    /// Starts anew under a new name.
    pub fn reset(&self) {
        let mut state = self.lock();
        state.book = KeyOwnership::new(self.membership.name().as_ref().clone(), self.times);
        state.table = KeyTable::new(self.limits);
        state.handed.clear();
    }

    /// Adopts the roster of a fold.
    pub fn adopt(&self, fleet: &FleetState) {
        let now = self.clock.moment();
        self.lock().book.adopt(&fleet.roster_view(), now);
    }

    /// Epoch of the newest adopted roster.
    pub fn epoch(&self) -> Option<u64> {
        self.lock().book.epoch()
    }

    /// Notes that a peer has shown that it knows us.
    pub fn mark_aware(&self, peer: &EntryName) {
        self.lock().book.mark_aware(peer);
    }

    /// Decides on a request with a key.
    pub fn begin(&self, key: &RequestKey, fingerprint: u64) -> KeyDecision {
        let mut state = self.lock();
        if state.closed {
            return KeyDecision::Answer(ResultCode::ShuttingDown);
        }
        let right = self.right(&state, &key.id);
        let step = state.table.begin(key, fingerprint, right, self.clock.wall_ms());
        self.metrics.keys.set(i64::try_from(state.table.len()).unwrap_or(i64::MAX));
        step
    }

    /// Whether a key that was begun may be sent to a worker now. Between this look and the write
    /// the process may be frozen; that is harmless, as the key was minted before any later take-over
    /// and the next owner doesn't run such a key.
    pub fn may_send(&self, id: &Uuid) -> bool {
        let state = self.lock();
        matches!(self.right(&state, id), KeyRight::Own { .. })
    }

    /// Notes the outcome of a key that was run; `None` if it was not run after all.
    pub fn finish(&self, id: &Uuid, outcome: Option<KeyOutcome>) {
        let mut state = self.lock();
        state.table.finish(id, outcome);
        // An owner since then was told that its outcome isn't known; it gets the outcome now.
        if let Some(owner) = state.book.owner(id.as_bytes()).cloned() {
            state.handed.retain(|(peer, _)| *peer != owner);
        }
    }

    /// Takes outcomes over from an earlier owner.
    pub fn take_over(&self, handed: KeyHandOver) {
        let mut state = self.lock();
        for record in handed.records {
            state.table.take_over(record);
        }
        // With some of the outcomes still on their way, a key among them would pass for new.
        if !handed.complete {
            return;
        }
        state.book.record_hand_over(&HandOverNotice {
            from: &handed.from,
            floor_ms: handed.floor_ms,
            retired: &handed.retired,
            last: handed.last,
        });
    }

    /// Hand-overs that are due: to each other entry, what it owns by the newest roster.
    pub fn due(&self) -> Vec<(EntryName, Vec<KeyHandOver>)> {
        let state = self.lock();
        let Some(epoch) = state.book.epoch() else { return Vec::new() };
        if !state.book.may_hand_over(self.clock.steady()) {
            return Vec::new();
        }
        let open = |peer: &&EntryName| !state.handed.contains(&((*peer).clone(), epoch));
        let peers: Vec<EntryName> = state.book.others().filter(open).cloned().collect();
        let roster: BTreeSet<EntryName> =
            state.book.others().cloned().chain([self.membership.name().as_ref().clone()]).collect();
        let messages = |peer: &EntryName| self.messages(&state, peer, &roster, epoch, false);
        peers.iter().map(|peer| (peer.clone(), messages(peer))).collect()
    }

    /// Notes that a peer took what was due at this epoch.
    pub fn note_handed(&self, peer: &EntryName, epoch: u64) {
        let mut state = self.lock();
        state.handed.retain(|(known, _)| known != peer);
        state.handed.push((peer.clone(), epoch));
    }

    /// Stops running keys.
    pub fn close(&self) {
        self.lock().closed = true;
    }

    /// Whether a key is being run.
    pub fn is_running(&self) -> bool {
        self.lock().table.is_running()
    }

    /// The last hand-overs before a planned stop: each other entry gets what it will own.
    pub fn last(&self) -> Vec<(EntryName, Vec<KeyHandOver>)> {
        let state = self.lock();
        let Some(epoch) = state.book.epoch() else { return Vec::new() };
        let roster: BTreeSet<EntryName> = state.book.others().cloned().collect();
        let messages = |peer: &EntryName| self.messages(&state, peer, &roster, epoch, true);
        roster.iter().map(|peer| (peer.clone(), messages(peer))).collect()
    }

    fn messages(
        &self,
        state: &KeyringState,
        peer: &EntryName,
        roster: &BTreeSet<EntryName>,
        epoch: u64,
        last: bool,
    ) -> Vec<KeyHandOver> {
        let mut records = state
            .table
            .select(|id| owner(id.as_bytes(), roster).is_some_and(|owner| owner == peer));
        for record in &mut records {
            // It may yet run here; the next owner must not run it, whatever becomes of us.
            if record.outcome == KeyOutcome::Running {
                record.outcome = KeyOutcome::Unknown;
            }
        }
        let me = self.membership.name().as_ref().clone();
        let message = |records: Vec<_>, complete| KeyHandOver {
            from: me.clone(),
            roster_epoch: epoch,
            floor_ms: state.book.floor_ms(self.clock.steady()),
            retired: state.book.retired(self.clock.steady()),
            last,
            complete,
            records,
        };
        let mut chunks: Vec<Vec<_>> =
            records.chunks(RECORDS_PER_MESSAGE).map(<[_]>::to_vec).collect();
        let end = chunks.pop().unwrap_or_default();
        let mut messages: Vec<KeyHandOver> =
            chunks.into_iter().map(|records| message(records, false)).collect();
        messages.push(message(end, true));
        messages
    }

    fn right(&self, state: &KeyringState, id: &Uuid) -> KeyRight {
        match state.book.right(id.as_bytes(), self.clock.steady()) {
            KeyRight::Own { .. } if !self.membership.is_fresh(state.book.others()) => {
                KeyRight::Wait
            }
            right => right,
        }
    }

    fn lock(&self) -> MutexGuard<'_, KeyringState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
