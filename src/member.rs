//! Keeps this entry on the roster, confirms drains, and hands keys over when the roster changes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use slog::{Logger, info, warn};
use tokio::time::Instant;
use uuid::Uuid;

use crate::control::ControlLoop;
use crate::decide::fleet::{FleetBody, FleetRecord, FleetState, VmPhase};
use crate::decide::slot::SlotPolicy;
use crate::error::{CodeResult, ResultCode, coded, explain};
use crate::keyring::KeyRing;
use crate::membership::EntryMembership;
use crate::metrics::{EntryMetrics, count};
use crate::name::{CentreName, EntryName, VmName};
use crate::peer::{CallOutcome, PeerCall, PeerClient, PeerReply};
use crate::platform::{LogClient, fleet_stream};
use crate::view::ViewKeeper;

/// Time between two steps.
const STEP: Duration = Duration::from_millis(50);
/// Time after which an append whose effect has not been read back is made again.
const REPEAT: Duration = Duration::from_secs(1);
/// Time for a peer to take a hand-over.
const HAND_OVER: Duration = Duration::from_secs(2);

/// Writes this entry's own records.
pub struct RosterMember<P, L, C> {
    /// Data centre of this entry.
    pub centre: CentreName,
    /// Where peers reach this entry, IP:port.
    pub peer_address: String,
    /// The platform's log.
    pub log: L,
    /// Calls to other entries.
    pub peers: C,
    /// View and table.
    pub keeper: Arc<ViewKeeper<P>>,
    /// Place on the roster.
    pub membership: Arc<EntryMembership>,
    /// Keys.
    pub keyring: Arc<KeyRing>,
    /// Metrics.
    pub metrics: Arc<EntryMetrics>,
    /// Log lines.
    pub logger: Logger,
    /// When a join was last appended.
    pub join_tried: Option<Instant>,
    /// When the confirmation of a drain was last appended.
    pub confirmed: BTreeMap<(VmName, u64), Instant>,
}

impl<P: SlotPolicy, L: LogClient, C: PeerClient> ControlLoop for RosterMember<P, L, C> {
    const NAME: &'static str = "member";

    async fn step(&mut self) -> Duration {
        let view = self.keeper.view();
        let Some(fleet) = view.fleets.get(&self.centre) else { return STEP };
        self.check_place(fleet).await;
        self.confirm_drains(fleet).await;
        self.hand_over(fleet).await;
        self.metrics.ready.set(i64::from(self.is_ready()));
        self.keeper.measure();
        self.keeper.pump();
        STEP
    }
}

impl<P: SlotPolicy, L: LogClient, C: PeerClient> RosterMember<P, L, C> {
    fn is_ready(&self) -> bool {
        is_ready(&self.keeper, &self.membership)
    }

    async fn check_place(&mut self, fleet: &FleetState) {
        let name = self.membership.name();
        if self.membership.is_stopping() {
            return;
        }
        if self.membership.is_evicted() {
            // Evicted while frozen or cut off. The old name's keys may run elsewhere by now.
            warn!(self.logger, "evicted; coming back under a new name"; "old" => name.as_str());
            self.membership.rename();
            self.keyring.reset();
            self.join_tried = None;
            return;
        }
        if fleet.roster.contains_key(&*name) {
            return;
        }
        let waited = self.join_tried.is_none_or(|tried| tried.elapsed() >= REPEAT);
        if !waited || !self.membership.is_caught_up() {
            return;
        }
        // The last try may have been folded as refused, for want of a lane; the same name may try
        // again, and a copy that took effect late is refused by the fold.
        self.join_tried = Some(Instant::now());
        self.metrics.joins.inc();
        info!(self.logger, "joining"; "name" => name.as_str());
        self.append(FleetBody::Join { peer: self.peer_address.clone() }).await;
    }

    /// Confirms each drain once nothing of ours is in flight to its VM.
    async fn confirm_drains(&mut self, fleet: &FleetState) {
        let name = self.membership.name();
        let mut due = Vec::new();
        for (vm, state) in &fleet.vms {
            let VmPhase::Draining { since, awaiting, .. } = &state.phase else { continue };
            let key = (vm.clone(), *since);
            let tried = self.confirmed.get(&key);
            let waited = tried.is_none_or(|tried| tried.elapsed() >= REPEAT);
            if awaiting.contains(&*name) && waited && self.keeper.is_drained(vm) {
                due.push(key);
            }
        }
        self.confirmed.retain(|(vm, since), _| {
            matches!(&fleet.vm(vm).phase, VmPhase::Draining { since: now, .. } if now == since)
        });
        for (vm, drain) in due {
            self.append(FleetBody::Confirm { vm: vm.clone(), drain }).await;
            self.confirmed.insert((vm, drain), Instant::now());
        }
    }

    async fn hand_over(&self, fleet: &FleetState) {
        if !self.membership.is_joined() || self.membership.is_stopping() {
            return;
        }
        for (peer, messages) in self.keyring.due() {
            let epoch = messages.first().map(|message| message.roster_epoch);
            if self.send_all(fleet, &peer, messages).await
                && let Some(epoch) = epoch
            {
                self.keyring.note_handed(&peer, epoch);
            }
        }
    }

    async fn send_all(
        &self,
        fleet: &FleetState,
        peer: &EntryName,
        messages: Vec<crate::peer::KeyHandOver>,
    ) -> bool {
        send_hand_over(&self.peers, fleet, peer, messages).await
    }

    async fn append(&self, body: FleetBody) {
        let name = self.membership.name();
        let record = record(&name, self.membership.clock().wall_ms(), body);
        if let Err(report) = append(&self.log, &self.centre, &record).await {
            count(&self.metrics.platform_errors, "append");
            info!(self.logger, "an append has no answer"; "cause" => explain(&report));
        }
    }
}

/// Whether callers may be sent here: a configuration is known and the roster has this entry.
pub fn is_ready<P: SlotPolicy>(keeper: &ViewKeeper<P>, membership: &EntryMembership) -> bool {
    keeper.table().revision.is_some() && membership.may_route() && !membership.is_stopping()
}

/// Sends hand-over messages to a peer; true if it took all.
pub async fn send_hand_over<C: PeerClient>(
    peers: &C,
    fleet: &FleetState,
    peer: &EntryName,
    messages: Vec<crate::peer::KeyHandOver>,
) -> bool {
    let Some(address) = fleet.roster.get(peer).and_then(|entry| entry.peer.parse().ok()) else {
        return false;
    };
    for message in messages {
        let taken = peers.call(address, &PeerCall::HandOver(message), HAND_OVER).await;
        if !matches!(taken, CallOutcome::Reply(PeerReply::Done)) {
            return false;
        }
    }
    true
}

/// A record of an entry.
pub fn record(by: &EntryName, at_ms: u64, body: FleetBody) -> FleetRecord {
    FleetRecord { id: Uuid::new_v4(), by: by.clone(), at_ms, body }
}

/// Appends a record to a data centre's fleet stream.
pub async fn append<L: LogClient, R: Serialize>(
    log: &L,
    centre: &CentreName,
    record: &R,
) -> CodeResult<u64> {
    let body =
        serde_json::to_vec(record).map_err(|error| coded(ResultCode::PlatformNonsense, error))?;
    log.append(&fleet_stream(centre), &body).await
}
