//! What the entries tell each other: loads, offsets, and that they are alive.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::seq::IndexedRandom;
use slog::{Logger, info};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::control::ControlLoop;
use crate::decide::slot::SlotPolicy;
use crate::keyring::KeyRing;
use crate::membership::EntryMembership;
use crate::name::{CentreName, EntryName, TeamName, VmName};
use crate::peer::{CallOutcome, PeerCall, PeerClient, PeerGossip, PeerReply, PeerWord};
use crate::platform::{INTENT_STREAM, fleet_stream};
use crate::quota::QuotaBook;
use crate::view::{FleetView, ViewKeeper};

/// Time for a peer to answer.
const PATIENCE: Duration = Duration::from_secs(1);
/// Gossip intervals after which a peer's loads count no more.
const LOADS_KEPT: u32 = 4;
/// Silence of the log after which peers are asked for all that they know.
const LOG_SILENCE: Duration = Duration::from_secs(4);

/// The newest that a peer has said.
#[derive(Clone, Debug)]
struct HeardPeer {
    at: Instant,
    loads: Vec<(VmName, u32)>,
    teams: Vec<(TeamName, u32)>,
}

/// What this entry has heard from the others.
#[derive(Debug, Default)]
pub struct GossipBook {
    heard: Mutex<HashMap<EntryName, HeardPeer>>,
}

impl GossipBook {
    /// Notes that a peer of the own data centre was heard.
    pub fn hear(&self, peer: &EntryName) {
        let now = Instant::now();
        let mut heard = self.lock();
        let silent = HeardPeer { at: now, loads: Vec::new(), teams: Vec::new() };
        heard.entry(peer.clone()).or_insert(silent).at = now;
    }

    /// Notes what a peer has in flight.
    fn note(&self, peer: &EntryName, loads: Vec<(VmName, u32)>, teams: Vec<(TeamName, u32)>) {
        self.lock().insert(peer.clone(), HeardPeer { at: Instant::now(), loads, teams });
    }

    /// Time since a peer was last heard.
    pub fn silence(&self, peer: &EntryName) -> Option<Duration> {
        self.lock().get(peer).map(|heard| heard.at.elapsed())
    }

    /// Sums of what the others have in flight; forgets who has been silent for `kept`.
    fn sums(&self, kept: Duration) -> (BTreeMap<VmName, u32>, BTreeMap<TeamName, u32>) {
        let (mut loads, mut teams) = (BTreeMap::new(), BTreeMap::new());
        for heard in self.lock().values().filter(|heard| heard.at.elapsed() < kept) {
            for (vm, load) in &heard.loads {
                *loads.entry(vm.clone()).or_default() += load;
            }
            for (team, load) in &heard.teams {
                *teams.entry(team.clone()).or_default() += load;
            }
        }
        (loads, teams)
    }

    fn forget(&self, after: Duration) {
        self.lock().retain(|_, heard| heard.at.elapsed() < after);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<EntryName, HeardPeer>> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Everything that gossip reads and writes; shared by the loop and the answers to peers.
#[derive(Clone, Debug)]
pub struct GossipContext<P> {
    /// Data centre of this entry.
    pub centre: CentreName,
    /// Time between messages to a peer.
    pub interval: Duration,
    /// View and table.
    pub keeper: Arc<ViewKeeper<P>>,
    /// Place on the roster.
    pub membership: Arc<EntryMembership>,
    /// Keys.
    pub keyring: Arc<KeyRing>,
    /// Quotas.
    pub quotas: Arc<QuotaBook>,
    /// What was heard.
    pub book: Arc<GossipBook>,
}

impl<P: SlotPolicy> GossipContext<P> {
    /// What this entry says of itself.
    pub fn word(&self) -> PeerWord {
        PeerWord {
            from: self.membership.name().as_ref().clone(),
            centre: self.centre.clone(),
            roster_epoch: self.keyring.epoch(),
            through: self.keeper.view().offsets(),
        }
    }

    /// What this entry tells the others of its data centre.
    pub fn gossip(&self) -> PeerGossip {
        let view = self.keeper.view();
        let (loads, teams) = (self.keeper.counts(), self.quotas.counts());
        let mut gossip = PeerGossip {
            word: self.word(),
            revision: view.intent.revision(),
            loads: Vec::new(),
            teams: Vec::new(),
        };
        let Some(document) = view.document() else { return gossip };
        let numbered = (0..).zip(&document.vms);
        gossip.loads = numbered.filter_map(|(n, vm)| Some((n, *loads.get(&vm.name)?))).collect();
        let numbered = (0..).zip(&document.teams);
        gossip.teams = numbered.filter_map(|(n, t)| Some((n, *teams.get(&t.name)?))).collect();
        gossip
    }

    /// Notes what a peer told.
    pub fn hear_gossip(&self, gossip: &PeerGossip) {
        self.hear(&gossip.word);
        let view = self.keeper.view();
        // For the moment in which two entries have different documents, numbers mean different VMs.
        let is_same = gossip.revision == view.intent.revision();
        let Some(document) = view.document().filter(|_| is_same) else { return };
        if gossip.word.centre != self.centre {
            return;
        }
        let vm =
            |(n, load): &(u16, u32)| Some((document.vms.get(usize::from(*n))?.name.clone(), *load));
        let team = |(n, load): &(u16, u32)| {
            Some((document.teams.get(usize::from(*n))?.name.clone(), *load))
        };
        let loads = gossip.loads.iter().filter_map(vm).collect();
        let teams = gossip.teams.iter().filter_map(team).collect();
        self.book.note(&gossip.word.from, loads, teams);
        let kept = self.interval * LOADS_KEPT;
        let (loads, teams) = self.book.sums(kept);
        self.keeper.set_others(&loads);
        self.quotas.set_others(&teams);
    }

    /// Notes a peer's word, whoever asked.
    pub fn hear(&self, word: &PeerWord) {
        if word.centre != self.centre {
            return;
        }
        self.book.hear(&word.from);
        let view = self.keeper.view();
        let Some(fleet) = view.fleets.get(&self.centre) else { return };
        let me = fleet.roster.get(&*self.membership.name());
        // It acts on a roster that has us, so it asks for our word before it renews its lease.
        if word.roster_epoch.zip(me).is_some_and(|(epoch, me)| epoch >= me.joined) {
            self.keyring.mark_aware(&word.from);
        }
    }

    /// The states of the streams that are newer here than `through`.
    pub fn newer(&self, through: &BTreeMap<String, u64>) -> FleetView {
        let view = self.keeper.view();
        let own = view.through();
        let is_newer = |stream: &str| {
            own.get(stream).copied().unwrap_or(0) > through.get(stream).copied().unwrap_or(0)
        };
        let mut newer = FleetView::default();
        if is_newer(INTENT_STREAM) {
            newer.intent = view.intent.clone();
        }
        let fleets = view.fleets.iter();
        newer.fleets = fleets
            .filter(|(centre, _)| is_newer(&fleet_stream(centre)))
            .map(|(centre, fleet)| (centre.clone(), fleet.clone()))
            .collect();
        newer
    }

    /// Takes over a peer's states. The roster is adopted with the fleet that holds it.
    fn adopt(&self, newer: &FleetView) {
        if self.keeper.adopt(newer)
            && let Some(fleet) = self.keeper.view().fleets.get(&self.centre)
        {
            self.keyring.adopt(fleet);
            let on_roster = fleet.roster.contains_key(&*self.membership.name());
            if !on_roster {
                self.membership.set_on_roster(false);
            }
        }
    }
}

/// Sends gossip.
pub struct GossipSender<P, C> {
    /// What it reads and writes.
    pub context: GossipContext<P>,
    /// Calls to other entries.
    pub peers: C,
    /// Entries to ask before any roster is known, from the settings.
    pub seeds: Vec<SocketAddr>,
    /// Entry of another data centre that is asked.
    pub contact: Option<EntryName>,
    /// Since when peers have known intent that we don't.
    pub behind_since: Option<Instant>,
    /// Log lines.
    pub logger: Logger,
}

impl<P: SlotPolicy, C: PeerClient> ControlLoop for GossipSender<P, C> {
    const NAME: &'static str = "gossip";

    async fn step(&mut self) -> Duration {
        let gossip = self.context.gossip();
        let mut calls = JoinSet::new();
        for (name, address) in self.targets() {
            let (peers, gossip) = (self.peers.clone(), gossip.clone());
            calls.spawn(async move {
                let asked = Instant::now();
                let outcome = peers.call(address, &PeerCall::Gossip(gossip), PATIENCE).await;
                (name, address, asked, outcome)
            });
        }
        while let Some(done) = calls.join_next().await {
            match done {
                Ok((name, address, asked, CallOutcome::Reply(PeerReply::Heard(reply)))) => {
                    self.note(name.as_ref(), asked, &reply);
                    self.fetch(address, &reply).await;
                }
                Ok((name, ..)) if name == self.contact => self.contact = None,
                _ => {}
            }
        }
        let interval = self.context.interval;
        self.context.book.forget(interval * 1_000);
        interval
    }
}

impl<P: SlotPolicy, C: PeerClient> GossipSender<P, C> {
    /// All entries of the own data centre, one of another, and the seeds while none is known.
    fn targets(&mut self) -> Vec<(Option<EntryName>, SocketAddr)> {
        let view = self.context.keeper.view();
        let me = self.context.membership.name();
        let (mut targets, mut elsewhere) = (Vec::new(), Vec::new());
        for (centre, fleet) in &view.fleets {
            let list = if *centre == self.context.centre { &mut targets } else { &mut elsewhere };
            let others = fleet.roster.iter().filter(|(name, _)| **name != *me);
            list.extend(
                others.filter_map(|(name, e)| Some((Some(name.clone()), e.peer.parse().ok()?))),
            );
        }
        // Always the same one while it answers: a new connection a second would cost more than all
        // that is said over it.
        let known = elsewhere.iter().find(|(name, _)| *name == self.contact);
        let contact = known.or_else(|| elsewhere.choose(&mut rand::rng())).cloned();
        self.contact = contact.as_ref().and_then(|(name, _)| name.clone());
        targets.extend(contact);
        if targets.is_empty() && self.is_log_silent() {
            targets.extend(self.seeds.iter().map(|seed| (None, *seed)));
        }
        targets
    }

    fn is_log_silent(&self) -> bool {
        let age = self.context.membership.log_age();
        age.is_none_or(|age| age > LOG_SILENCE)
    }

    fn note(&self, name: Option<&EntryName>, asked: Instant, reply: &PeerWord) {
        self.context.hear(reply);
        let own = self.context.keyring.epoch();
        let knows_no_newer =
            reply.roster_epoch.is_some_and(|epoch| own.is_some_and(|own| epoch <= own));
        if name == Some(&reply.from) && reply.centre == self.context.centre && knows_no_newer {
            self.context.membership.confirm_by_peer(&reply.from, asked);
        }
    }

    /// Asks a peer for what it knows and we don't: intent that the log should have brought by now,
    /// and everything while the log is silent.
    async fn fetch(&mut self, address: SocketAddr, reply: &PeerWord) {
        let view = self.context.keeper.view();
        let own = view.offsets();
        let is_behind = reply.through.first() > own.first();
        let since = is_behind.then(|| self.behind_since.unwrap_or_else(Instant::now));
        self.behind_since = since;
        let is_late = since.is_some_and(|since| since.elapsed() >= self.context.interval);
        // Lists of different lengths come from documents with different data centres.
        let lacks = || reply.through.iter().zip(&own).any(|(theirs, own)| theirs > own);
        let is_needed = self.is_log_silent() && lacks();
        if !is_late && !is_needed {
            return;
        }
        let call = PeerCall::Fetch(view.through());
        let outcome = self.peers.call(address, &call, PATIENCE).await;
        let CallOutcome::Reply(PeerReply::State(bytes)) = outcome else { return };
        if let Ok(newer) = serde_json::from_slice::<FleetView>(&bytes) {
            info!(self.logger, "taking states over from a peer"; "peer" => reply.from.as_str());
            self.context.adopt(&newer);
        }
    }
}
