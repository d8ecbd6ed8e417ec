//! Slopes for `docs/CAPACITY.md`: state, messages, processor time and memory of control, by size.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ibisweir::decide::fleet::{FleetBody, FleetRecord, StewardAct};
use ibisweir::decide::intent::{IntentBody, IntentRecord};
use ibisweir::document::{check, parse};
use ibisweir::error::CodeResult;
use ibisweir::name::EntryName;
use ibisweir::peer::{PeerCall, PeerGossip, PeerReply, PeerWord, encode};
use ibisweir::view::FleetView;
use tokio::time::sleep;
use uuid::Uuid;

use super::{ExperimentTable, failed, number};
use crate::fleet::FleetShape;
use crate::site::{LocalSite, SiteShape};

/// Sizes: workers, pools, data centres.
const SIZES: [(u32, u32, u32); 5] =
    [(50, 5, 3), (100, 8, 4), (200, 12, 5), (400, 20, 8), (700, 31, 10)];
/// Entries of a data centre.
const ENTRIES: u32 = 3;
/// Changes of configuration a day, by the first letter.
const CHANGES_A_DAY: f64 = 320.0;
/// How long idle control loops are watched.
const WATCH: Duration = Duration::from_secs(20);
/// Copies of a view from which its memory is taken.
const COPIES: usize = 40;
/// Bounds for control a node, by the first letter.
const CPU_MAX: f64 = 3.7;
const MEMORY_MAX: f64 = 64.0;
const BYTES_MAX: f64 = 6_000.0;
/// Bytes of headers around a packet: Ethernet, IP and UDP, and QUIC's own.
const PACKET_BYTES: f64 = 14.0 + 28.0 + 30.0;
/// Bytes of a probe both ways on a connection of its own: six packets of TCP around it.
const PROBE_BYTES: f64 = 230.0 + 6.0 * 66.0;

/// Prints the slopes; false if a bound is not met.
pub async fn run() -> CodeResult<bool> {
    super::print_machine();
    let mut tables = vec![state(), times()];
    tables.push(idle().await?);
    Ok(super::all_reached(&tables))
}

fn sample(size: (u32, u32, u32)) -> FleetView {
    let (document, fleets) =
        super::fleet::sample_fleets(&FleetShape::of_size(size.0, size.1, size.2));
    let record = IntentRecord {
        id: Uuid::nil(),
        at_ms: 0,
        by: "standin".to_owned(),
        body: IntentBody::Publish { base: None, document: Box::new(document) },
    };
    let mut view = FleetView { fleets, ..FleetView::default() };
    view.intent.apply(0, &record);
    view
}

/// A message in which every VM of the data centre and every team has a load.
fn gossip(view: &FleetView) -> PeerGossip {
    let vms = view.fleets.values().next().map_or(0, |fleet| fleet.vms.len());
    let loads = |count: usize| (0..).take(count).map(|number| (number, 4)).collect();
    let word = PeerWord {
        from: EntryName::from("dc-0-entry-1.00c0ffee"),
        centre: "dc-0".into(),
        roster_epoch: Some(1_000_000),
        through: vec![1_000_000; view.fleets.len() + 1],
    };
    let teams = view.document().map_or(0, |document| document.teams.len());
    PeerGossip { word, revision: Some(1_000_000), loads: loads(vms), teams: loads(teams) }
}

fn state() -> ExperimentTable {
    let mut table = ExperimentTable::new(
        "State and messages",
        &[
            "workers",
            "pools",
            "data centres",
            "document bytes",
            "view KB in memory",
            "gossip bytes, busy",
            "fleet record bytes",
            "restatement bytes",
        ],
    );
    for size in SIZES {
        let view = sample(size);
        let document = view.document().and_then(|document| serde_json::to_vec(document).ok());
        let before = resident_kb();
        let copies: Vec<FleetView> = (0..COPIES).map(|_| deep_copy(&view)).collect();
        let kb = resident_kb().saturating_sub(before) / COPIES;
        drop(std::hint::black_box(copies));
        let act = StewardAct::Beat;
        let record = FleetRecord {
            id: Uuid::new_v4(),
            by: EntryName::from("dc-0-entry-1.00c0ffee"),
            at_ms: 1_700_000_000_000,
            body: FleetBody::Act { term: 12, act },
        };
        let restated = view.fleets.values().next().map(|fleet| serde_json::to_vec(&**fleet));
        let gossip = encode(&PeerCall::Gossip(gossip(&view))).map_or(0, |bytes| bytes.len());
        table.row([
            size.0.to_string(),
            size.1.to_string(),
            size.2.to_string(),
            document.map_or(0, |bytes| bytes.len()).to_string(),
            kb.to_string(),
            gossip.to_string(),
            serde_json::to_vec(&record).map_or(0, |bytes| bytes.len()).to_string(),
            restated.and_then(Result::ok).map_or(0, |bytes| bytes.len()).to_string(),
        ]);
    }
    table
}

/// A copy that shares nothing with the original.
fn deep_copy(view: &FleetView) -> FleetView {
    let text = serde_json::to_vec(view).unwrap_or_default();
    serde_json::from_slice(&text).unwrap_or_default()
}

fn times() -> ExperimentTable {
    let mut table = ExperimentTable::new(
        "Processor time of one event",
        &[
            "workers",
            "read and check a document us",
            "fold a document us",
            "fold a fleet record us",
        ],
    );
    for size in SIZES {
        let view = sample(size);
        let Some(document) = view.document().cloned() else { continue };
        let text = serde_json::to_vec(&document).unwrap_or_default();
        let parsing = average(20, || drop(std::hint::black_box(parse(&text))));
        let checking = average(20, || drop(std::hint::black_box(check(&document))));
        let fleet = view.fleets.values().next().cloned().unwrap_or_default();
        let record = FleetRecord {
            id: Uuid::nil(),
            by: EntryName::from("steward"),
            at_ms: 1,
            body: FleetBody::Act { term: 1, act: StewardAct::Beat },
        };
        // As the keeper does it: a copy of the one fleet that changes, then the record.
        let folding = average(200, || {
            let mut copy = fleet.clone();
            let changed = Arc::make_mut(&mut copy);
            changed.apply(changed.through, &record);
            std::hint::black_box(copy);
        });
        table.row([
            size.0.to_string(),
            micros(parsing),
            micros(parsing + checking),
            micros(folding),
        ]);
    }
    table
}

fn average(rounds: u32, mut work: impl FnMut()) -> Duration {
    let started = Instant::now();
    for _ in 0..rounds {
        work();
    }
    started.elapsed() / rounds
}

fn micros(time: Duration) -> String {
    format!("{:.1}", time.as_secs_f64() * 1e6)
}

/// Real entries on loopback without callers: their control loops, and the stand-ins they talk to,
/// share one process, so the figures are above what an entry alone takes.
async fn idle() -> CodeResult<ExperimentTable> {
    let mut table = ExperimentTable::new(
        "Idle control loops on loopback, settings as shipped (stand-ins included)",
        &[
            "workers",
            "entries",
            "core % an entry",
            "MB an entry",
            "log bytes/s an entry",
            "gossip bytes/s",
            "probe bytes/s, steward",
            "in force ms",
        ],
    );
    let mut last = BTreeMap::new();
    for size in SIZES {
        let shape = FleetShape::of_size(size.0, size.1, size.2);
        let vms = number(shape.vms().len()) / f64::from(size.2);
        let before_kb = resident_kb();
        let settings = vec![
            ("gossip", "1000".to_owned()),
            ("beat", "1000".to_owned()),
            ("probe", "30000".to_owned()),
        ];
        let site = SiteShape { entries: ENTRIES, settings, ..SiteShape::new(shape) };
        let site = LocalSite::open(site).await?;
        sleep(Duration::from_secs(2)).await;
        let entries = number(site.entries.len());
        let (cpu, bytes) = (processor_ms(), site.platform.bytes_out());
        sleep(WATCH).await;
        let seconds = WATCH.as_secs_f64();
        let cpu = number(processor_ms().saturating_sub(cpu)) / seconds / 10.0 / entries;
        let bytes = site.platform.bytes_out().saturating_sub(bytes);
        let memory = number(resident_kb().saturating_sub(before_kb)) / 1_024.0 / entries;
        // A read of the log: a query and an answer that name every stream, and two heads.
        let streams = f64::from(size.2 + 1);
        let polls = 2.0 * (150.0 + streams * 45.0);
        let documents = number(serde_json::to_vec(&site.document).map_or(0, |text| text.len()));
        let changes = documents * CHANGES_A_DAY / 86_400.0;
        let log = number(usize::try_from(bytes).unwrap_or(usize::MAX)) / seconds / entries
            + polls
            + changes;
        let view = sample(size);
        let message = number(encode(&PeerCall::Gossip(gossip(&view))).map_or(0, |m| m.len()));
        let reply = PeerReply::Heard(gossip(&view).word);
        let reply = number(encode(&reply).map_or(0, |reply| reply.len()));
        // To each other entry and one elsewhere, once a second, answered, and the same the other way;
        // sent and received bytes together.
        let gossip = f64::from(ENTRIES) * 2.0 * (message + reply + 2.0 * PACKET_BYTES);
        let probes = vms / 30.0 * PROBE_BYTES;
        let started = Instant::now();
        let mut document = site.document.clone();
        document.teams[0].in_flight += 1;
        let revision = site.publish(&document, Some(site.revision)).await?;
        let in_force = || {
            let mut all = site.entries.iter();
            all.all(|entry| entry.keeper().table().revision == Some(revision))
        };
        site.wait("a document in force", in_force).await?;
        let in_force_ms = started.elapsed().as_secs_f64() * 1_000.0;
        table.row([
            size.0.to_string(),
            format!("{entries:.0}"),
            format!("{cpu:.2}"),
            format!("{memory:.1}"),
            format!("{log:.0}"),
            format!("{gossip:.0}"),
            format!("{probes:.0}"),
            format!("{in_force_ms:.0}"),
        ]);
        last = BTreeMap::from([
            ("cpu", cpu),
            ("memory", memory),
            ("entry", log + gossip),
            ("steward", log + gossip + probes),
            ("in force", in_force_ms),
        ]);
        site.stop().await;
    }
    let at = |name: &str| last.get(name).copied().unwrap_or(f64::MAX);
    table.verdict(format!("{:.2}% of a core, {CPU_MAX} at most", at("cpu")), at("cpu") <= CPU_MAX);
    table.verdict(
        format!("{:.1} MB, {MEMORY_MAX} at most", at("memory")),
        at("memory") <= MEMORY_MAX,
    );
    let bytes = at("entry");
    table.verdict(format!("{bytes:.0} bytes/s, {BYTES_MAX} at most"), bytes <= BYTES_MAX);
    let bytes = at("steward");
    table
        .verdict(format!("{bytes:.0} bytes/s as steward, {BYTES_MAX} at most"), bytes <= BYTES_MAX);
    table.verdict(
        format!("a configuration in force after {:.0} ms, 3000 at most", at("in force")),
        at("in force") <= 3_000.0,
    );
    Ok(table)
}

fn proc_numbers(path: &str) -> Vec<usize> {
    let text = std::fs::read_to_string(path).map_err(failed).unwrap_or_default();
    // The program's name in brackets may hold spaces.
    let text = text.rsplit(')').next().unwrap_or_default().to_owned();
    text.split_whitespace().map(|word| word.parse().unwrap_or(0)).collect()
}

/// Processor time of this process, in milliseconds; the kernel counts in hundredths of a second.
fn processor_ms() -> usize {
    let numbers = proc_numbers("/proc/self/stat");
    10 * (numbers.get(11).copied().unwrap_or(0) + numbers.get(12).copied().unwrap_or(0))
}

/// Memory of this process in KB, at pages of 4 KB.
fn resident_kb() -> usize {
    4 * proc_numbers("/proc/self/statm").get(1).copied().unwrap_or(0)
}
