//! The steward of a data centre: claims the term, plans, appends, reads back, reboots.
//!
//! Any entry may be it, none is set aside for it. A steward acts only on what it has read back from
//! the log: it plans on the folded view, appends, and plans again once the log's end has been read.
//! An append whose answer was lost is not repeated; the next plan sees whether it took effect.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, debug, info};
use tokio::task::JoinSet;
use tokio::time::Instant;
use uuid::Uuid;

use crate::clock::millis;
use crate::control::ControlLoop;
use crate::decide::fleet::{FleetBody, FleetState, StewardAct, VmPhase};
use crate::decide::intent::{IntentBody, IntentRecord};
use crate::decide::slot::SlotPolicy;
use crate::decide::wave::{
    DAY_MS, PlanInput, PlanTimes, ProbeView, plan, product_workers, shortfall,
};
use crate::error::explain;
use crate::gossip::GossipBook;
use crate::member::{append, record};
use crate::membership::EntryMembership;
use crate::metrics::{EntryMetrics, count};
use crate::name::{CentreName, EntryName, ProductName, VmName};
use crate::platform::{INTENT_STREAM, LogClient, MemberClient, RebootOrder};
use crate::view::{FleetView, ViewKeeper};

/// Beats within one steward timeout.
const BEATS: u32 = 3;
/// Time between claims of entries that see the same silence, by their place on the roster.
const CLAIM_STAGGER: Duration = Duration::from_millis(300);
/// Time between two reboot orders for the same VM.
const REBOOT_REPEAT: Duration = Duration::from_secs(2);
/// Least time between two records of a product's shortfall.
const SPEND_STEP: Duration = Duration::from_secs(5);

/// Times of a steward.
#[derive(Clone, Copy, Debug)]
pub struct StewardTimes {
    /// Time between planning steps.
    pub beat: Duration,
    /// Silence of a steward before another claims the term.
    pub steward_timeout: Duration,
    /// Silence of an entry before it is evicted.
    pub entry_timeout: Duration,
    /// Time between two probes of a worker.
    pub probe: Duration,
    /// Records between two restatements.
    pub restate: u64,
    /// Time between two restatements.
    pub restate_time: Duration,
    /// Times of the plan.
    pub plan: PlanTimes,
}

#[derive(Clone, Copy, Debug)]
struct ProbeNote {
    boot: u64,
    is_answering: bool,
    answered: Instant,
    asked: Instant,
}

/// What a steward remembers between steps; lost with it, and no harm done.
#[derive(Debug, Default)]
pub struct StewardMemory {
    steward_seen: Option<(u64, Instant)>,
    entries_seen: BTreeMap<EntryName, Instant>,
    probes: BTreeMap<VmName, ProbeNote>,
    reboots: BTreeMap<VmName, Instant>,
    written: Option<Instant>,
    /// Offset up to which our own appends must be read back.
    read_back: u64,
    restated: Option<(u64, Instant)>,
    intent_restated: Option<(u64, Instant)>,
    short_since: BTreeMap<ProductName, Instant>,
}

/// Plans for a data centre's VMs while this entry is its steward.
pub struct FleetSteward<P, L> {
    /// Data centre of this entry.
    pub centre: CentreName,
    /// Times.
    pub times: StewardTimes,
    /// The platform's log and VMs.
    pub platform: L,
    /// View and table.
    pub keeper: Arc<ViewKeeper<P>>,
    /// Place on the roster.
    pub membership: Arc<EntryMembership>,
    /// What was heard from the other entries.
    pub heard: Arc<GossipBook>,
    /// Metrics.
    pub metrics: Arc<EntryMetrics>,
    /// Log lines.
    pub logger: Logger,
    /// What it remembers.
    pub memory: StewardMemory,
}

impl<P: SlotPolicy, L: LogClient + MemberClient> ControlLoop for FleetSteward<P, L> {
    const NAME: &'static str = "steward";

    async fn step(&mut self) -> Duration {
        let view = self.keeper.view();
        let me = self.membership.name();
        let Some(fleet) = view.fleets.get(&self.centre) else { return self.times.beat };
        let on_roster = fleet.roster.contains_key(&*me) && !self.membership.is_stopping();
        let is_steward = on_roster && fleet.steward.as_ref() == Some(&*me);
        self.metrics.steward.set(i64::from(is_steward));
        if !on_roster {
            return self.times.beat;
        }
        if is_steward {
            self.govern(&view, fleet).await;
        } else {
            self.watch_steward(fleet).await;
        }
        self.times.beat
    }
}

impl<P: SlotPolicy, L: LogClient + MemberClient> FleetSteward<P, L> {
    /// Claims the next term when the present steward has been silent for too long. The wait only
    /// decides who tries; the fold decides who wins.
    async fn watch_steward(&mut self, fleet: &FleetState) {
        self.memory.probes.clear();
        let seen = match self.memory.steward_seen {
            Some((offset, at)) if offset == fleet.steward_seen => at,
            _ => Instant::now(),
        };
        self.memory.steward_seen = Some((fleet.steward_seen, seen));
        let steward = fleet.steward.as_ref();
        let gone = steward.is_none_or(|steward| !fleet.roster.contains_key(steward));
        let me = self.membership.name();
        let place = fleet.roster.keys().position(|entry| *entry == *me).unwrap_or(0);
        let stagger = CLAIM_STAGGER * u32::try_from(place).unwrap_or(u32::MAX);
        let patience = if gone { stagger } else { self.times.steward_timeout + stagger };
        // A steward that the log can't reach can't write; neither could we.
        let log_is_near =
            self.membership.log_age().is_some_and(|age| age < self.times.steward_timeout);
        if seen.elapsed() < patience || !log_is_near {
            return;
        }
        info!(self.logger, "claiming the term"; "term" => fleet.term + 1);
        self.write(FleetBody::Claim { term: fleet.term + 1 }).await;
        self.memory.steward_seen = Some((fleet.steward_seen, Instant::now()));
    }

    async fn govern(&mut self, view: &FleetView, fleet: &FleetState) {
        if fleet.through < self.memory.read_back || !self.membership.is_caught_up() {
            return;
        }
        let Some(document) = view.document() else {
            self.beat(fleet).await;
            return;
        };
        self.probe(document, fleet).await;
        let mut acts = self.evictions(fleet);
        let probes = self.probe_views();
        let input = PlanInput {
            centre: &self.centre,
            document,
            fleets: &view.fleets,
            probes: &probes,
            wall_ms: self.membership.clock().wall_ms(),
            times: self.times.plan,
        };
        acts.extend(plan(&input));
        acts.extend(self.spending(view));
        acts.extend(self.restatement(fleet));
        for act in acts {
            if !self.act(fleet.term, act).await {
                break;
            }
        }
        self.reboot(fleet, document.longest_time_limit_ms()).await;
        self.restate_intent(view).await;
        self.beat(fleet).await;
    }

    /// A record now and then while there is nothing else to write.
    async fn beat(&mut self, fleet: &FleetState) {
        let gap = self.times.steward_timeout / BEATS;
        if self.memory.written.is_none_or(|written| written.elapsed() >= gap) {
            self.act(fleet.term, StewardAct::Beat).await;
        }
    }

    async fn act(&mut self, term: u64, act: StewardAct) -> bool {
        let name = act_name(&act);
        count(&self.metrics.steward_acts, name);
        if !matches!(act, StewardAct::Beat | StewardAct::Restate { .. }) {
            info!(self.logger, "steward's act"; "act" => format!("{act:?}"), "term" => term);
        }
        self.write(FleetBody::Act { term, act }).await
    }

    async fn write(&mut self, body: FleetBody) -> bool {
        let name = self.membership.name();
        let record = record(&name, self.membership.clock().wall_ms(), body);
        match append(&self.platform, &self.centre, &record).await {
            Ok(offset) => {
                self.memory.written = Some(Instant::now());
                self.memory.read_back = offset + 1;
                true
            }
            Err(report) => {
                count(&self.metrics.platform_errors, "append");
                debug!(self.logger, "an append has no answer"; "cause" => explain(&report));
                false
            }
        }
    }

    /// Entries that have been silent for too long towards this steward.
    fn evictions(&mut self, fleet: &FleetState) -> Vec<StewardAct> {
        let me = self.membership.name();
        let now = Instant::now();
        self.memory.entries_seen.retain(|entry, _| fleet.roster.contains_key(entry));
        let mut acts = Vec::new();
        for entry in fleet.roster.keys().filter(|entry| **entry != *me) {
            let first = *self.memory.entries_seen.entry(entry.clone()).or_insert(now);
            let heard = self.heard.silence(entry).unwrap_or(Duration::MAX);
            if heard.min(first.elapsed()) > self.times.entry_timeout {
                acts.push(StewardAct::Evict { entry: entry.clone() });
            }
        }
        acts
    }

    /// Probes workers whose last probe is long enough ago, a few at a time.
    async fn probe(&mut self, document: &crate::document::IntentDocument, fleet: &FleetState) {
        let now = Instant::now();
        let mut calls = JoinSet::new();
        for spec in document.vms.iter().filter(|spec| spec.data_centre == self.centre) {
            let asked = self.memory.probes.get(&spec.name).map(|note| note.asked);
            // The way back of a VM holds a wave up; nothing waits for the others' probes.
            let awaited = matches!(fleet.vm(&spec.name).phase, VmPhase::Rebooting { .. });
            let pause = if awaited { self.times.beat } else { self.times.probe };
            if asked.is_some_and(|asked| asked.elapsed() < pause) {
                continue;
            }
            let Some(pool) = self.keeper.connections(&spec.name) else { continue };
            let vm = spec.name.clone();
            calls.spawn(async move { (vm, pool.report().await) });
        }
        while let Some(done) = calls.join_next().await {
            let Ok((vm, report)) = done else { continue };
            let known = self.memory.probes.get(&vm);
            let note = match report {
                Some(report) => {
                    let is_answering = !report.leaving;
                    ProbeNote { boot: report.boot, is_answering, answered: now, asked: now }
                }
                None => ProbeNote {
                    boot: known.map_or(0, |note| note.boot),
                    is_answering: false,
                    answered: known.map_or(now, |note| note.answered),
                    asked: now,
                },
            };
            self.memory.probes.insert(vm, note);
        }
    }

    fn probe_views(&self) -> BTreeMap<VmName, ProbeView> {
        let views = self.memory.probes.iter().map(|(vm, note)| {
            let silent_ms = if note.is_answering { 0 } else { millis(note.answered.elapsed()) };
            (vm.clone(), ProbeView { boot: note.boot, is_answering: note.is_answering, silent_ms })
        });
        views.collect()
    }

    /// Charges what products lacked since the last step to their budgets, by this data centre's
    /// part of the workers that don't serve.
    fn spending(&mut self, view: &FleetView) -> Vec<StewardAct> {
        let Some(document) = view.document() else { return Vec::new() };
        let day = self.membership.clock().wall_ms() / DAY_MS;
        let mut acts = Vec::new();
        let loads = product_workers(document, &view.fleets);
        for product in &document.products {
            let load = loads.get(&product.name).copied().unwrap_or_default();
            let short = shortfall(document, &load, product);
            if short == 0 || !self.is_charging(view, &product.name) {
                self.memory.short_since.remove(&product.name);
                continue;
            }
            let now = Instant::now();
            let since = *self.memory.short_since.entry(product.name.clone()).or_insert(now);
            if since.elapsed() >= SPEND_STEP {
                let worker_ms = u64::from(short) * millis(since.elapsed());
                self.memory.short_since.insert(product.name.clone(), now);
                acts.push(StewardAct::Spend { product: product.name.clone(), day, worker_ms });
            }
        }
        acts
    }

    /// The first data centre with a worker of the product out charges for all of them.
    fn is_charging(&self, view: &FleetView, product: &ProductName) -> bool {
        let Some(document) = view.document() else { return false };
        let out = |centre: &CentreName| {
            let fleet = view.fleets.get(centre).map(|fleet| (centre.clone(), fleet.clone()));
            let one: BTreeMap<_, _> = fleet.into_iter().collect();
            let loads = product_workers(document, &one);
            loads.get(product).is_some_and(|load| load.planned + load.lost > 0)
        };
        let mut centres = document.data_centres.iter().map(|centre| &centre.name);
        centres.find(|centre| out(centre)) == Some(&self.centre)
    }

    fn restatement(&mut self, fleet: &FleetState) -> Option<StewardAct> {
        let now = Instant::now();
        let (offset, at) = *self.memory.restated.get_or_insert((fleet.through, now));
        let due = fleet.through >= offset + self.times.restate
            || fleet.through > offset && at.elapsed() >= self.times.restate_time;
        due.then(|| {
            self.memory.restated = Some((fleet.through, now));
            StewardAct::Restate { state: Box::new(fleet.clone()) }
        })
    }

    /// Any steward may restate intent; the first data centre's does so first, and a copy does no
    /// harm.
    async fn restate_intent(&mut self, view: &FleetView) {
        let Some(document) = view.document() else { return };
        let mut centres = document.data_centres.iter();
        let rank = centres.position(|centre| centre.name == self.centre).unwrap_or(0);
        let patience = self.times.restate_time * u32::try_from(rank + 1).unwrap_or(u32::MAX);
        let newest = view.intent.restated;
        let at = match self.memory.intent_restated {
            Some((known, at)) if known == newest => at,
            _ => Instant::now(),
        };
        self.memory.intent_restated = Some((newest, at));
        if at.elapsed() < patience {
            return;
        }
        self.memory.intent_restated = Some((newest, Instant::now()));
        let restated = IntentRecord {
            id: Uuid::new_v4(),
            at_ms: self.membership.clock().wall_ms(),
            by: self.membership.name().to_string(),
            body: IntentBody::Restate { state: view.intent.clone() },
        };
        let Ok(body) = serde_json::to_vec(&restated) else { return };
        if self.platform.append(INTENT_STREAM, &body).await.is_err() {
            count(&self.metrics.platform_errors, "append");
        }
    }

    /// Orders the reboots that the fold has accepted, until the VM shows a new boot number.
    async fn reboot(&mut self, fleet: &FleetState, grace_ms: u64) {
        for (vm, state) in &fleet.vms {
            if !matches!(state.phase, VmPhase::Rebooting { .. }) {
                self.memory.reboots.remove(vm);
                continue;
            }
            let ordered = self.memory.reboots.get(vm);
            let done = self.memory.probes.get(vm).is_some_and(|note| note.boot != state.boot);
            if done || ordered.is_some_and(|ordered| ordered.elapsed() < REBOOT_REPEAT) {
                continue;
            }
            self.memory.reboots.insert(vm.clone(), Instant::now());
            let order = RebootOrder { boot: state.boot, grace_ms };
            if let Err(report) = self.platform.reboot(vm, &order).await {
                count(&self.metrics.platform_errors, "reboot");
                info!(self.logger, "a reboot was not taken"; "vm" => vm.as_str(),
                    "cause" => explain(&report));
            }
        }
    }
}

fn act_name(act: &StewardAct) -> &'static str {
    match act {
        StewardAct::Beat => "beat",
        StewardAct::Evict { .. } => "evict",
        StewardAct::Assign { .. } => "assign",
        StewardAct::Drain { .. } => "drain",
        StewardAct::Reboot { .. } => "reboot",
        StewardAct::Return { .. } => "return",
        StewardAct::Lost { .. } => "lost",
        StewardAct::Release { .. } => "release",
        StewardAct::Spend { .. } => "spend",
        StewardAct::Restate { .. } => "restate",
    }
}
