//! Experiments on planning: the decision code driven directly, with drawn failures, beside baselines
//! and lower bounds.
//!
//! There is no simulated cluster: folds, probes and the planner are the product's own; a loop moves
//! time on, answers drains and reboots, and draws failures.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ibisweir::decide::fleet::{FleetBody, FleetRecord, FleetState, StewardAct, VmPhase};
use ibisweir::decide::wave::{PlanInput, PlanTimes, ProbeView, plan, product_workers, shortfall};
use ibisweir::document::{IntentDocument, WaveSpec};
use ibisweir::error::CodeResult;
use ibisweir::name::{CentreName, EntryName, RackName, VmName, WaveName};
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use uuid::Uuid;

use super::{ExperimentTable, number, ratio};
use crate::fleet::FleetShape;

/// Time that a drain, a reboot and a return take together.
const OUT_MS: u64 = 300_000;
/// One step of the loop.
const STEP_MS: u64 = 60_000;
/// One step while nothing is out and no wave runs.
const QUIET_STEP_MS: u64 = 600_000;
/// Five weeks, within which every VM is maintained once.
const PERIOD_MS: u64 = 35 * 86_400_000;
/// Time until a failed VM is back.
const REPAIR_MS: u64 = 3_600_000;
/// Time until a failed rack is back.
const RACK_REPAIR_MS: u64 = 4 * 3_600_000;
/// VMs that fail on an ordinary day at 700 workers, by the first letter.
const FAILURES_A_DAY: f64 = 5.0;
/// Workers at which they do.
const FAILURES_WORKERS: f64 = 700.0;
/// Rack failures in five weeks at 700 workers: one every month or two.
const RACK_FAILURES: f64 = 0.8;
/// Seeds over which the figures are summed.
const SEEDS: u64 = 5;

/// Runs every experiment on planning.
pub async fn run() -> CodeResult<bool> {
    super::print_machine();
    let shapes = [
        ("Régie", FleetShape::regie()),
        ("Halvorsen", FleetShape::halvorsen()),
        ("design size", FleetShape::of_size(700, 31, 10)),
    ];
    let mut tables = Vec::new();
    for (name, shape) in &shapes {
        tables.push(buffer(name, shape));
        tables.push(rollout(name, shape));
    }
    tables.push(steps());
    tables.push(super::publish::rollout().await?);
    tables.push(super::publish::races().await?);
    tables.push(epochs());
    Ok(super::all_reached(&tables))
}

/// How a fleet is planned.
#[derive(Clone, Copy, Debug)]
enum PlanWay {
    /// The product's planner.
    Ours,
    /// A wave drains this part of every pool at a time, whatever else is out.
    FixedShare(f64),
}

/// What five weeks of a fleet came to.
#[derive(Clone, Copy, Debug, Default)]
struct PeriodFigures {
    /// Products whose budget was overspent.
    overspent: usize,
    /// Products.
    products: usize,
    /// Milliseconds from the wave's start until its last VM was back.
    wave_ms: u64,
    /// VMs drained.
    drains: usize,
    /// VMs that changed pools.
    moves: usize,
    /// Worker milliseconds short, over all products.
    short_ms: u64,
    /// VMs whose maintenance did not come to its end.
    undone: usize,
}

struct FleetRun {
    document: IntentDocument,
    fleets: BTreeMap<CentreName, Arc<FleetState>>,
    probes: BTreeMap<VmName, ProbeView>,
    back_at: BTreeMap<VmName, u64>,
    steward: EntryName,
    now_ms: u64,
    random: StdRng,
    figures: PeriodFigures,
}

impl FleetRun {
    fn new(shape: &FleetShape, seed: u64) -> Self {
        let vms = shape.vms();
        let document = shape.document(|vm| {
            let index = vms.iter().position(|(name, _, _)| name == vm).unwrap_or(0);
            SocketAddr::from(([127, 0, 0, 1], 1 + u16::try_from(index).unwrap_or(0)))
        });
        let steward = EntryName::from("steward");
        let mut fleets = BTreeMap::new();
        let mut probes = BTreeMap::new();
        for centre in &document.data_centres {
            fleets.insert(centre.name.clone(), Arc::new(FleetState::default()));
        }
        for vm in &document.vms {
            let probe = ProbeView { boot: 1, is_answering: true, silent_ms: 0 };
            probes.insert(vm.name.clone(), probe);
        }
        let mut run = FleetRun {
            document,
            fleets,
            probes,
            back_at: BTreeMap::new(),
            steward,
            now_ms: PERIOD_MS,
            random: StdRng::seed_from_u64(seed),
            figures: PeriodFigures::default(),
        };
        for centre in run.centres() {
            run.append(&centre, FleetBody::Join { peer: String::new() });
            run.append(&centre, FleetBody::Claim { term: 1 });
        }
        // The first placement takes a few steps, as each is bounded.
        for _ in 0..8 {
            run.plan();
        }
        run.figures = PeriodFigures::default();
        run
    }

    fn centres(&self) -> Vec<CentreName> {
        self.document.data_centres.iter().map(|centre| centre.name.clone()).collect()
    }

    fn append(&mut self, centre: &CentreName, body: FleetBody) {
        let Some(fleet) = self.fleets.get_mut(centre) else { return };
        let by = self.steward.clone();
        let record = FleetRecord { id: Uuid::nil(), by, at_ms: self.now_ms, body };
        let fleet = Arc::make_mut(fleet);
        fleet.apply(fleet.through, &record);
    }

    fn act(&mut self, centre: &CentreName, act: StewardAct) {
        match &act {
            StewardAct::Drain { .. } => self.figures.drains += 1,
            StewardAct::Release { .. } => self.figures.moves += 1,
            StewardAct::Reboot { vm } => {
                self.back_at.insert(vm.clone(), self.now_ms + OUT_MS);
            }
            _ => {}
        }
        let drained = match &act {
            StewardAct::Drain { vm, .. } => Some(vm.clone()),
            _ => None,
        };
        self.append(centre, FleetBody::Act { term: 1, act });
        if let Some(vm) = drained {
            let drain = self.fleets[centre].through - 1;
            self.append(centre, FleetBody::Confirm { vm, drain });
        }
    }

    fn input<'a>(&'a self, centre: &'a CentreName) -> PlanInput<'a> {
        PlanInput {
            centre,
            document: &self.document,
            fleets: &self.fleets,
            probes: &self.probes,
            wall_ms: self.now_ms,
            times: PlanTimes {
                lost_after_ms: 30_000,
                replace_after_ms: 2 * REPAIR_MS,
                drain_ms: OUT_MS,
            },
        }
    }

    fn plan(&mut self) {
        for centre in self.centres() {
            for act in plan(&self.input(&centre)) {
                self.act(&centre, act);
            }
        }
    }

    /// The baseline: the same follow-up, but drains by a fixed share of each pool.
    fn plan_fixed(&mut self, share: f64) {
        let waves = std::mem::take(&mut self.document.waves);
        self.plan();
        self.document.waves = waves;
        for wave in self.document.waves.clone() {
            for pool in &wave.pools {
                let members: Vec<(CentreName, VmName, VmPhase, bool)> = self
                    .fleets
                    .iter()
                    .flat_map(|(centre, fleet)| fleet.vms.iter().map(move |vm| (centre, vm)))
                    .filter(|(_, (_, state))| state.pool.as_ref() == Some(pool))
                    .map(|(centre, (vm, state))| {
                        let done = state.waves.contains(&wave.name);
                        (centre.clone(), vm.clone(), state.phase.clone(), done)
                    })
                    .collect();
                let out = members.iter().filter(|(_, _, phase, _)| is_out(phase)).count();
                let mut room = (number(members.len()) * share).max(1.0) - number(out);
                for (centre, vm, phase, done) in members {
                    if room >= 1.0 && !done && phase == VmPhase::Serving {
                        room -= 1.0;
                        let reason = ibisweir::decide::fleet::DrainReason::Wave(wave.name.clone());
                        self.act(&centre, StewardAct::Drain { vm, reason, limit_ms: 10_000 });
                    }
                }
            }
        }
    }

    /// What the world does in a step: repairs, reboots that end, failures. Returns whether anything
    /// happened that a planner would see.
    fn world(&mut self, failures: bool, step_ms: u64) -> bool {
        let due: Vec<VmName> = self
            .back_at
            .iter()
            .filter(|(_, at)| **at <= self.now_ms)
            .map(|(vm, _)| vm.clone())
            .collect();
        let mut is_news = !due.is_empty();
        for vm in due {
            self.back_at.remove(&vm);
            if let Some(probe) = self.probes.get_mut(&vm) {
                *probe = ProbeView { boot: probe.boot + 1, is_answering: true, silent_ms: 0 };
            }
        }
        let rebooting: Vec<VmName> = self.back_at.keys().cloned().collect();
        for vm in rebooting {
            if let Some(probe) = self.probes.get_mut(&vm) {
                is_news |= probe.is_answering;
                probe.is_answering = false;
                probe.silent_ms += step_ms;
            }
        }
        if failures {
            self.fail(minutes(step_ms));
        }
        is_news
    }

    fn fail(&mut self, step_minutes: f64) {
        let workers = number(self.document.vms.len()) / FAILURES_WORKERS;
        let steps_a_day = 24.0 * 60.0 / step_minutes;
        if self.random.random::<f64>() < FAILURES_A_DAY * workers / steps_a_day {
            let vms = self.document.vms.iter().map(|vm| vm.name.clone());
            if let Some(vm) = vms.choose(&mut self.random) {
                self.back_at.insert(vm, self.now_ms + REPAIR_MS);
            }
        }
        if self.random.random::<f64>() < RACK_FAILURES * workers / (35.0 * steps_a_day) {
            let racks = self.document.vms.iter().map(|vm| vm.rack.clone());
            if let Some(rack) = racks.choose(&mut self.random) {
                self.fail_rack(&rack);
            }
        }
    }

    fn fail_rack(&mut self, rack: &RackName) {
        let vms = self.document.vms.iter().filter(|vm| vm.rack == *rack);
        for vm in vms.map(|vm| vm.name.clone()).collect::<Vec<_>>() {
            self.back_at.insert(vm, self.now_ms + RACK_REPAIR_MS);
        }
    }

    /// Charges shortfalls to the budgets, in the fold as the steward does.
    fn charge(&mut self, step_ms: u64) {
        let Some(first) = self.centres().into_iter().next() else { return };
        let day = self.now_ms / 86_400_000;
        let document = self.document.clone();
        let loads = product_workers(&document, &self.fleets);
        for product in &document.products {
            let load = loads.get(&product.name).copied().unwrap_or_default();
            let short = shortfall(&document, &load, product);
            if short > 0 {
                let worker_ms = u64::from(short) * step_ms;
                self.figures.short_ms += worker_ms;
                let act = StewardAct::Spend { product: product.name.clone(), day, worker_ms };
                self.append(&first, FleetBody::Act { term: 1, act });
            }
        }
    }

    fn start_wave(&mut self) {
        self.document.waves.push(WaveSpec {
            name: WaveName::from("all"),
            pools: self.document.pools.iter().map(|pool| pool.name.clone()).collect(),
            data_centres: Vec::new(),
            cancelled: false,
        });
    }

    fn undone(&self) -> usize {
        let wave = WaveName::from("all");
        let states = self.fleets.values().flat_map(|fleet| fleet.vms.values());
        states.filter(|state| state.pool.is_some() && !state.waves.contains(&wave)).count()
    }

    /// Five weeks with failures and one wave over every VM.
    fn period(mut self, way: PlanWay, failures: bool) -> PeriodFigures {
        self.start_wave();
        let start = self.now_ms;
        while self.now_ms < start + PERIOD_MS {
            let is_quiet = self.back_at.is_empty() && self.undone() == 0;
            let step = if is_quiet { QUIET_STEP_MS } else { STEP_MS };
            self.now_ms += step;
            if self.world(failures, step) || self.now_ms == start + step {
                // A drain, its reboot and the next drain may follow each other within a step.
                for _ in 0..3 {
                    match way {
                        PlanWay::Ours => self.plan(),
                        PlanWay::FixedShare(share) => self.plan_fixed(share),
                    }
                }
            }
            self.charge(step);
            if self.figures.wave_ms == 0 && self.undone() == 0 {
                self.figures.wave_ms = self.now_ms - start;
                if !failures {
                    break;
                }
            }
        }
        let day = self.now_ms / 86_400_000;
        let spent = |product: &ibisweir::document::ProductSpec| {
            let spent: u64 =
                self.fleets.values().map(|f| f.spent_worker_ms(&product.name, day)).sum();
            spent > u64::from(product.budget_worker_minutes) * 60_000
        };
        self.figures.overspent = self.document.products.iter().filter(|p| spent(p)).count();
        self.figures.products = self.document.products.len();
        self.figures.undone = self.undone();
        self.figures
    }
}

fn is_out(phase: &VmPhase) -> bool {
    matches!(phase, VmPhase::Draining { .. } | VmPhase::Rebooting { .. })
}

fn summed(shape: &FleetShape, way: PlanWay) -> PeriodFigures {
    let mut sum = PeriodFigures::default();
    let runs: Vec<PeriodFigures> = std::thread::scope(|scope| {
        let one = |seed| scope.spawn(move || FleetRun::new(shape, seed).period(way, true));
        let threads: Vec<_> = (0..SEEDS).map(one).collect();
        threads.into_iter().filter_map(|thread| thread.join().ok()).collect()
    });
    for one in runs {
        sum.overspent += one.overspent;
        sum.products += one.products;
        sum.wave_ms = sum.wave_ms.max(one.wave_ms);
        sum.drains += one.drains;
        sum.moves += one.moves;
        sum.short_ms += one.short_ms;
        sum.undone += one.undone;
    }
    sum
}

/// Spare workers against what every way of planning must hold: one a product, since a drain never
/// takes a product below its capacity.
fn buffer(name: &str, shape: &FleetShape) -> ExperimentTable {
    let mut table = ExperimentTable::new(
        &format!(
            "{name}: buffer for five weeks of failures and one wave over all VMs, {SEEDS} seeds"
        ),
        &[
            "way",
            "spare",
            "buffer / bound",
            "budgets overspent",
            "worker minutes short",
            "VMs not maintained",
            "moves",
        ],
    );
    let products = shape.pools.len();
    let share_of = |share: f64| PlanWay::FixedShare(share);
    let ways = [
        ("ours, 1 spare a product", 1, PlanWay::Ours),
        ("ours, 2 spare a product", 2, PlanWay::Ours),
        ("fixed share of 10%, 1 spare", 1, share_of(0.1)),
        ("fixed share of 10%, 2 spare", 2, share_of(0.1)),
        ("fixed share of 10%, 3 spare", 3, share_of(0.1)),
    ];
    let mut least = None;
    for (way_name, spare, way) in ways {
        let shape = FleetShape { spare, ..shape.clone() };
        let figures = summed(&shape, way);
        let total = number(products) * f64::from(spare);
        let over_bound = total / number(products);
        table.row([
            way_name.to_owned(),
            format!("{total:.0}"),
            ratio(over_bound),
            format!("{} of {}", figures.overspent, figures.products),
            (figures.short_ms / 60_000).to_string(),
            figures.undone.to_string(),
            figures.moves.to_string(),
        ]);
        let is_kept = figures.overspent == 0 && figures.undone == 0;
        if matches!(way, PlanWay::Ours) && is_kept && least.is_none() {
            least = Some(over_bound);
        }
    }
    let text = least.map_or("no buffer of ours keeps every budget".to_owned(), |least| {
        format!(
            "least buffer of ours that keeps every budget is {least:.2} of the bound, 1.10 at most"
        )
    });
    table.verdict(text, least.is_some_and(|least| least <= 1.10));
    table
}

/// A wave without failures, against the time that the spare workers allow at best.
fn rollout(name: &str, shape: &FleetShape) -> ExperimentTable {
    let mut table = ExperimentTable::new(
        &format!("{name}: a wave over all VMs without failures"),
        &["way", "minutes", "lower bound", "ratio", "drains / VMs", "moves", "below capacity"],
    );
    let shape = FleetShape { rollout_weight: 100, ..shape.clone() };
    // A product with s spare workers can have s out at a time; all products go at once.
    let rounds = shape.pools.iter().map(|pool| pool.1.div_ceil(shape.spare)).max().unwrap_or(0);
    let bound_ms = u64::from(rounds) * OUT_MS;
    let vms: u32 = shape.pools.iter().map(|pool| pool.1).sum();
    for (way_name, way) in
        [("ours", PlanWay::Ours), ("fixed share of 10%", PlanWay::FixedShare(0.1))]
    {
        let figures = FleetRun::new(&shape, 1).period(way, false);
        let of_bound = minutes(figures.wave_ms) / minutes(bound_ms);
        let drains = number(figures.drains) / f64::from(vms);
        table.row([
            way_name.to_owned(),
            format!("{:.0}", minutes(figures.wave_ms)),
            format!("{:.0}", minutes(bound_ms)),
            ratio(of_bound),
            ratio(drains),
            figures.moves.to_string(),
            format!("{} worker minutes", figures.short_ms / 60_000),
        ]);
        if matches!(way, PlanWay::Ours) {
            table.verdict(
                format!("roll-out {of_bound:.2} of the bound, 1.25 at most"),
                figures.wave_ms > 0 && of_bound <= 1.25,
            );
            table.verdict(
                format!("drains {drains:.2} of the VMs, 1.10 at most"),
                drains <= 1.10 && figures.moves == 0,
            );
        }
    }
    table
}

fn minutes(ms: u64) -> f64 {
    f64::from(u32::try_from(ms / 1_000).unwrap_or(u32::MAX)) / 60.0
}

/// Time of one planning step, by workers.
fn steps() -> ExperimentTable {
    let mut table = ExperimentTable::new(
        "One planning step of one data centre, with a wave under way",
        &["workers", "pools", "data centres", "step us", "view bytes (JSON)"],
    );
    for (workers, pools, centres) in
        [(50, 5, 3), (100, 8, 4), (200, 12, 5), (400, 20, 8), (700, 31, 10)]
    {
        let mut run = FleetRun::new(&FleetShape::of_size(workers, pools, centres), 1);
        run.start_wave();
        let centre = run.centres()[0].clone();
        let started = Instant::now();
        let rounds = 50;
        for _ in 0..rounds {
            std::hint::black_box(plan(&run.input(&centre)));
        }
        let step: Duration = started.elapsed() / rounds;
        let bytes = serde_json::to_vec(&run.fleets).map_or(0, |bytes| bytes.len());
        table.row([
            workers.to_string(),
            pools.to_string(),
            centres.to_string(),
            step.as_micros().to_string(),
            bytes.to_string(),
        ]);
    }
    table
}

/// Requests that saw an older state and come to a VM: refused by one revision for all, against
/// refused by the VM's own epoch (KIP-1251).
fn epochs() -> ExperimentTable {
    let mut table = ExperimentTable::new(
        "Requests that saw an older state, while a wave changes other VMs",
        &["rule", "requests", "refused", "of them needless"],
    );
    let mut run = FleetRun::new(&FleetShape::regie(), 1);
    run.start_wave();
    let mut random = StdRng::seed_from_u64(7);
    let (mut requests, mut global, mut own, mut needed) = (0usize, 0usize, 0usize, 0usize);
    for _ in 0..400 {
        let seen: BTreeMap<CentreName, FleetState> =
            run.fleets.iter().map(|(c, f)| (c.clone(), f.as_ref().clone())).collect();
        run.now_ms += STEP_MS;
        run.world(false, STEP_MS);
        run.plan();
        for (centre, old) in &seen {
            let fleet = &run.fleets[centre];
            for (vm, was) in &old.vms {
                if was.phase != VmPhase::Serving || random.random::<f64>() > 0.5 {
                    continue;
                }
                requests += 1;
                let (seen_at, current) = (old.through, fleet.through);
                let now = fleet.vm(vm);
                let serves = now.phase == VmPhase::Serving;
                // What truly must not go on: the VM left, or came back under another assignment.
                let must_refuse = !serves || now.epoch != was.epoch;
                needed += usize::from(must_refuse);
                global += usize::from(seen_at != current || must_refuse);
                let valid =
                    ibisweir::decide::table::is_epoch_valid(now.epoch, seen_at, current) && serves;
                own += usize::from(!valid);
            }
        }
    }
    for (rule, refused) in [("one revision for all", global), ("the VM's own epoch", own)] {
        let needless = refused.saturating_sub(needed);
        table.row([
            rule.to_owned(),
            requests.to_string(),
            refused.to_string(),
            needless.to_string(),
        ]);
    }
    table.verdict(
        format!(
            "the VM's own epoch refuses {} needlessly, one revision {}",
            own.saturating_sub(needed),
            global - needed
        ),
        own <= global && own >= needed,
    );
    table
}

/// A fold of a fleet at work, for those that measure its size.
pub fn sample_fleets(
    shape: &FleetShape,
) -> (IntentDocument, BTreeMap<CentreName, Arc<FleetState>>) {
    let run = FleetRun::new(shape, 1);
    (run.document, run.fleets)
}
