//! A whole site under failures: what callers see.

mod support;

use std::time::Duration;

use ibisweir::decide::slot::BorrowedSlots;
use ibisweir::document::WaveSpec;
use ibisweir::name::{PoolName, WaveName};
use ibisweir_standin::fleet::FleetShape;
use ibisweir_standin::load::{self, CallResult, CallerTargets, LoadPlan, LoadReport};
use ibisweir_standin::site::{LocalSite, SiteShape};
use support::process::ProcessGroup;
use support::{call, get, post, try_call};
use uuid::Uuid;

/// Longer than any answer of these tests takes, on a machine however busy.
const LIMIT: Duration = Duration::from_secs(8);

async fn site(workers: u32, entries: u32) -> LocalSite<BorrowedSlots> {
    let shape = SiteShape { entries, ..SiteShape::new(FleetShape::one_pool(workers)) };
    LocalSite::open(shape).await.expect("a site")
}

fn plan(rate: f64, seconds: u64) -> LoadPlan {
    LoadPlan {
        rate,
        time: Duration::from_secs(seconds),
        services: vec!["jobs".to_owned()],
        work_ms: (2, 20),
        keyed: 0.3,
        unkeyed: 0.1,
        tries: 20,
        limit: LIMIT,
        seed: 11,
        ..LoadPlan::default()
    }
}

fn assert_kept(site: &LocalSite<BorrowedSlots>, report: &LoadReport) {
    let broken = report.broken_promises(site.workers.values(), LIMIT);
    assert!(broken.values().all(|times| *times == 0), "{broken:?} {:?}", report.by_result());
    let answered = report.count(|note| note.result == CallResult::Answered(200));
    assert!(answered > 0, "{:?}", report.by_result());
}

async fn status_of(admin: std::net::SocketAddr) -> serde_json::Value {
    serde_json::from_slice(&get(admin, "/status").await.body).expect("a status is JSON")
}

fn key() -> String {
    Uuid::now_v7().to_string()
}

/// Every VM of the pool is drained, rebooted and returned under load. A drain that did not wait for
/// what is in flight would cut requests off; a target that got new work after it would refuse it.
#[tokio::test(flavor = "multi_thread")]
async fn a_wave_under_load_cuts_nothing_off() {
    let site = site(4, 2).await;
    let running = tokio::spawn(load::run(plan(80.0, 6), CallerTargets::new(site.callers())));
    let mut document = site.document.clone();
    document.waves.push(WaveSpec {
        name: WaveName::from("w"),
        pools: vec![PoolName::from("jobs")],
        data_centres: Vec::new(),
        cancelled: false,
    });
    site.publish(&document, Some(site.revision)).await.expect("it is accepted");
    site.wait("the wave to end", || {
        let waves = ibisweir::admin::waves(&site.entries[0].keeper().view());
        waves.values().any(|wave| wave.done == 4)
    })
    .await
    .expect("the wave ends");
    assert_kept(&site, &running.await.expect("the load ends"));
}

/// Entries are replaced one by one: the new one joins, the old one stops while callers still hold
/// connections to it. Keys go along; without that the new owner could run one again.
#[tokio::test(flavor = "multi_thread")]
async fn replacing_every_entry_loses_no_answer_and_runs_no_key_twice() {
    let mut site = site(4, 2).await;
    let targets = CallerTargets::new(site.callers());
    let running = tokio::spawn(load::run(plan(60.0, 6), targets.clone()));
    let centre = site.centres()[0].clone();
    for _ in 0..2 {
        let new = site.open_entry(&centre).await.expect("an entry");
        site.entries.push(new);
        site.wait_serving().await.expect("it serves");
        let old = site.entries.remove(0);
        targets.set(site.callers());
        assert!(old.stop().await, "the stop cut requests off");
    }
    assert_kept(&site, &running.await.expect("the load ends"));
}

/// The platform goes away. What was in force stays in force: requests and keys are served, and a
/// document published afterwards arrives once it is back.
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_platform_stops_no_request() {
    let site = site(3, 2).await;
    site.platform.set_faults(|faults| faults.is_down = true);
    // Longer than the lease: keys now rest on the word of the other entry alone.
    tokio::time::sleep(Duration::from_secs(4)).await;
    for entry in &site.entries {
        assert_eq!(get(entry.callers, "/jobs/x").await.status, 200);
        let key = key();
        let answer = post(entry.callers, "/jobs/x", &[("idempotency-key", &key)]).await;
        assert_eq!((answer.status, answer.code), (200, None), "{answer:?}");
    }
    site.platform.set_faults(|faults| faults.is_down = false);
    let revision = site.publish(&site.document, Some(site.revision)).await.expect("accepted");
    site.wait("the new document", || {
        site.entries.iter().all(|entry| entry.keeper().table().revision == Some(revision))
    })
    .await
    .expect("it arrives");
}

/// A caller tries a settlement again with its key, through every entry: it runs once, and each try
/// gets the first run's answer. The key used for another request is refused.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_runs_once_through_whichever_entry() {
    let site = site(3, 3).await;
    let key = key();
    for entry in site.entries.iter().chain(&site.entries) {
        let answer = post(entry.callers, "/jobs/pay", &[("idempotency-key", &key)]).await;
        assert_eq!((answer.status, answer.code), (200, None), "{answer:?}");
        assert_eq!(answer.body, "done");
    }
    let runs: u32 = site.workers.values().filter_map(|w| w.ledger().keyed.get(&key).copied()).sum();
    assert_eq!(runs, 1);
    let answer = post(site.entries[0].callers, "/jobs/other", &[("idempotency-key", &key)]).await;
    assert_eq!(answer.code, Some(118));
}

/// A thousand callers wait behind a full pool and go away at once. Their places must be free for
/// the next caller at once, not when each would have been served.
#[tokio::test(flavor = "multi_thread")]
async fn callers_that_go_away_free_their_places() {
    let mut shape = SiteShape::new(FleetShape::one_pool(2));
    shape.fleet.slots = (8, 64);
    let site = LocalSite::open(shape).await.expect("a site");
    let mut document = site.document.clone();
    document.services[0].queue = 2_000;
    document.services[0].time_limit_ms = 600_000;
    let revision = site.publish(&document, Some(site.revision)).await.expect("accepted");
    let entry = &site.entries[0];
    site.wait("the document", || entry.keeper().table().revision == Some(revision))
        .await
        .expect("in force");
    let address = entry.callers;
    let callers: Vec<_> = (0..1_016)
        .map(|_| {
            let headers = [("x-work-ms", "300000")];
            tokio::spawn(async move {
                try_call(address, http::Method::GET, "/jobs/x", &headers, b"").await
            })
        })
        .collect();
    let gate = entry.keeper().table().gates.values().next().expect("a gate").clone();
    site.wait("a thousand to wait", || gate.waiting() >= 1_000).await.expect("they wait");
    callers.iter().for_each(|caller| caller.abort());
    site.wait("the places to be free", || gate.waiting() == 0 && gate.in_flight() == 0)
        .await
        .expect("they are freed");
    assert_eq!(get(address, "/jobs/x").await.status, 200);
}

/// What can't be done within its limit is refused at once, and says when to come back; what no
/// worker has is refused too, without being run.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_comes_at_once_and_says_when_to_come_back() {
    let site = site(2, 1).await;
    let entry = site.entries[0].callers;
    for _ in 0..30 {
        let slow = [("x-work-ms", "60")];
        assert_eq!(call(entry, http::Method::GET, "/jobs/x", &slow, b"").await.status, 200);
    }
    let mut refused = 0;
    for _ in 0..40 {
        let short = [("x-work-ms", "60"), ("x-time-limit-ms", "20")];
        let answer = call(entry, http::Method::GET, "/jobs/x", &short, b"").await;
        if answer.code == Some(105) {
            refused += 1;
            assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
            assert_eq!(answer.headers["x-ibisweir-ran"], "no");
        }
    }
    // One in sixteen goes through, so that shorter runs would be noticed.
    assert!(refused >= 25, "{refused} of 40 were refused at once");
}

/// An entry is frozen while a VM is to be drained; it can't confirm. The steward evicts it, and the
/// drain goes on. When it wakes it finds itself evicted, joins under a new name, and serves.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_entry_holds_no_wave_up_and_comes_back() {
    let mut group = ProcessGroup::open("frozen");
    let platform = group.standin(&["platform"]);
    let mut addresses = Vec::new();
    let fleet = FleetShape::one_pool(3);
    for (vm, _, _) in fleet.vms() {
        let worker = group.standin(&["worker", vm.as_str(), "--platform", &platform]);
        addresses.push((vm, worker));
    }
    let mut document = fleet.document(|vm| {
        let found = addresses.iter().find(|(name, _)| name == vm).expect("every VM has a worker");
        found.1.parse().expect("an address")
    });
    let first = group.file("first.json", &serde_json::to_string(&document).expect("JSON"));
    let run = support::process::run_tool(&["publish", &first, "--platform", &platform]);
    assert_eq!(run.status, Some(0), "{run:?}");
    let (frozen, steady) = (group.entry("e1", "dc", &platform), group.entry("e2", "dc", &platform));
    support::wait_ready(frozen.admin, 3).await;
    support::wait_ready(steady.admin, 3).await;
    let old_name = status_of(frozen.admin).await["entry"].clone();
    group.freeze(&frozen, true);
    document.waves.push(WaveSpec {
        name: WaveName::from("w"),
        pools: vec![PoolName::from("jobs")],
        data_centres: Vec::new(),
        cancelled: false,
    });
    document.services[0].time_limit_ms = 500;
    let second = group.file("second.json", &serde_json::to_string(&document).expect("JSON"));
    let run = support::process::run_tool(&[
        "publish",
        &second,
        "--base",
        "current",
        "--platform",
        &platform,
    ]);
    assert_eq!(run.status, Some(0), "{run:?}");
    support::wait("the wave to end without the frozen entry", async || {
        status_of(steady.admin).await["waves"]["w"]["done"] == 3
    })
    .await;
    group.freeze(&frozen, false);
    // Until it has joined again it refuses, or passes requests on to the other entry.
    support::wait("the entry that woke to be back under a new name", async || {
        let status = status_of(frozen.admin).await;
        let entries = status["centres"]["dc"]["entries"].as_array().cloned().unwrap_or_default();
        let is_back = status["ready"] == true && entries.contains(&status["entry"]);
        is_back && status["entry"] != old_name
    })
    .await;
    let answer = get(frozen.callers, "/jobs/x").await;
    assert_eq!((answer.status, answer.code), (200, None), "{answer:?}");
}
