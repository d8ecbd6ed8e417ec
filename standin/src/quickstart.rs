//! The README's main job: the Régie's shape in one process, a load, a wave, a report.

use std::io::{IsTerminal, Write};
use std::time::Duration;

use ibisweir::admin::waves;
use ibisweir::decide::slot::BorrowedSlots;
use ibisweir::document::WaveSpec;
use ibisweir::error::CodeResult;
use ibisweir::name::{PoolName, WaveName};
use tokio::time::{Instant, sleep};

use crate::fleet::FleetShape;
use crate::load::{self, CallResult, CallerTargets, LoadPlan, LoadReport, result_name};
use crate::measure::plain_table as table;
use crate::site::{LocalSite, SiteShape};

/// How long the load lasts.
const LOAD_TIME: Duration = Duration::from_secs(12);
/// Time limit of its requests.
const LIMIT: Duration = Duration::from_secs(2);
/// Pool that the wave maintains.
const WAVE_POOL: &str = "divers";

/// Runs it; false if a promise was broken.
pub async fn run() -> CodeResult<bool> {
    let started = Instant::now();
    say("bringing up a platform, 49 workers and 9 entries in 3 data centres");
    let shape = SiteShape { entries: 3, ..SiteShape::new(FleetShape::regie()) };
    let site = LocalSite::open(shape).await?;
    say(&format!("all VMs serve after {:.1} s", started.elapsed().as_secs_f64()));
    let plan = LoadPlan {
        rate: 800.0,
        time: LOAD_TIME,
        services: site.document.services.iter().map(|s| s.name.to_string()).collect(),
        work_ms: (5, 40),
        keyed: 0.3,
        unkeyed: 0.1,
        batch: 0.1,
        limit: LIMIT,
        tries: 5,
        seed: 42,
        ..LoadPlan::default()
    };
    let load = tokio::spawn(load::run(plan, CallerTargets::new(site.callers())));
    sleep(Duration::from_secs(1)).await;
    let wave = run_wave(&site).await?;
    say("waiting for the load to end");
    let report = load.await.unwrap_or_default();
    let kept = print_report(&site, &report, wave);
    site.stop().await;
    println!("whole run: {:.1} s", started.elapsed().as_secs_f64());
    Ok(kept)
}

/// Figures of the wave.
struct WaveFigures {
    publish: Duration,
    wave: Duration,
    vms: usize,
}

async fn run_wave(site: &LocalSite<BorrowedSlots>) -> CodeResult<WaveFigures> {
    let name = WaveName::from("quickstart");
    let mut document = site.document.clone();
    document.waves.push(WaveSpec {
        name: name.clone(),
        pools: vec![PoolName::from(WAVE_POOL)],
        data_centres: Vec::new(),
        cancelled: false,
    });
    let published = Instant::now();
    let revision = site.publish(&document, Some(site.revision)).await?;
    let in_force = || {
        let entries = site.entries.iter();
        entries.map(|e| e.keeper().table().revision).all(|now| now == Some(revision))
    };
    site.wait("the document in force everywhere", in_force).await?;
    let publish = published.elapsed();
    say(&format!("revision {revision} in force at all entries after {publish:?}; wave begins"));
    let begun = Instant::now();
    let total: usize = site
        .document
        .pools
        .iter()
        .filter(|pool| pool.name.as_str() == WAVE_POOL)
        .flat_map(|pool| pool.workers.values())
        .map(|workers| *workers as usize)
        .sum();
    let mut shown = 0;
    site.wait("the wave to end", || {
        let done = waves(&site.entries[0].keeper().view()).get(&name).map_or(0, |w| w.done);
        if done != shown {
            shown = done;
            say(&format!("wave: {done} of {total} VMs maintained"));
        }
        done == total
    })
    .await?;
    Ok(WaveFigures { publish, wave: begun.elapsed(), vms: total })
}

fn print_report(site: &LocalSite<BorrowedSlots>, report: &LoadReport, wave: WaveFigures) -> bool {
    let mut results = table(&["what callers got", "requests", "p50 ms", "p99 ms", "max ms"]);
    for (result, count) in report.by_result() {
        let latencies = report.latencies(|note| note.result == result);
        results.add_row([
            result_name(result),
            count.to_string(),
            ms(latencies.value_at_quantile(0.5)),
            ms(latencies.value_at_quantile(0.99)),
            ms(latencies.max()),
        ]);
    }
    println!("{results}");
    let broken = report.broken_promises(site.workers.values(), LIMIT);
    let over = site.workers.values().filter(|worker| worker.ledger().over_bound > 0).count();
    let mut promises = table(&["promise", "kept"]);
    for (promise, count) in &broken {
        promises.add_row([format!("no caller sees {promise}"), verdict(*count)]);
    }
    promises.add_row(["no worker gets more connections than its bound".to_owned(), verdict(over)]);
    println!("{promises}");
    let workers: u32 = site.shape.fleet.pools.iter().map(|pool| pool.1).sum();
    let spare = site.shape.fleet.spare * u32::try_from(site.document.pools.len()).unwrap_or(0);
    let mut measures = table(&["measure", "figure"]);
    measures.add_row(["buffer cost".to_owned(), format!("{spare} of {workers} workers are spare")]);
    measures.add_row(["roll-out of a configuration".to_owned(), format!("{:?}", wave.publish)]);
    measures.add_row([
        "roll-out of the wave".to_owned(),
        format!("{:.1} s for {} VMs", wave.wave.as_secs_f64(), wave.vms),
    ]);
    measures.add_row([
        "moves".to_owned(),
        format!("0 VMs between pools; {} drains for {} VMs", wave.vms, wave.vms),
    ]);
    println!("{measures}");
    let answered = report.count(|note| note.result == CallResult::Answered(200));
    answered > 0 && over == 0 && broken.values().all(|count| *count == 0)
}

fn verdict(broken: usize) -> String {
    if broken == 0 { "kept".to_owned() } else { format!("BROKEN {broken} times") }
}

fn ms(us: u64) -> String {
    format!("{}.{:01}", us / 1_000, us % 1_000 / 100)
}

/// Shows progress on a terminal, and only there.
fn say(line: &str) {
    let mut out = std::io::stderr();
    if out.is_terminal() {
        // Progress is not worth failing for.
        let _ = writeln!(out, "{line}");
    }
}
