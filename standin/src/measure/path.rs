//! Experiments on the request path.

use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Empty};
use hyper_util::rt::TokioIo;
use ibisweir::decide::slot::{BorrowedSlots, RandomChoice, SlotPolicy, StaticSplit, TwoChoices};
use ibisweir::error::CodeResult;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::{ExperimentResult, ExperimentTable, failed, ms, number, ratio};
use crate::fleet::FleetShape;
use crate::load::{self, CallNote, CallResult, CallerTargets, LoadPlan, LoadReport};
use crate::site::{LocalSite, SiteShape};
use crate::worker::WorkerShape;

/// Workers of the pool in most experiments.
const WORKERS: u32 = 9;
/// Work of a request, in milliseconds, in most experiments.
const WORK_MS: u64 = 40;
/// Slots of a worker.
const SLOTS: u32 = 8;
/// Pairs of runs from which the throughput ratio's median is taken.
const PAIRS: usize = 5;

/// Names of the experiments.
pub const NAMES: [&str; 7] =
    ["throughput", "slots", "overload", "failing", "silent", "replacement", "crash"];

/// Runs the experiments on the path, or only one of them.
pub async fn run(only: Option<&str>) -> CodeResult<bool> {
    super::print_machine();
    let mut tables = Vec::new();
    for name in NAMES.into_iter().filter(|name| only.is_none_or(|only| only == *name)) {
        tables.push(match name {
            "throughput" => throughput().await?,
            "slots" => slots().await?,
            "overload" => overload().await?,
            "failing" => failing_worker().await?,
            "silent" => silent_connections().await?,
            "replacement" => replacement().await?,
            _ => super::crash::run().await?,
        });
    }
    Ok(super::all_reached(&tables))
}

/// Requests a second that the workers can carry.
fn capacity() -> f64 {
    f64::from(WORKERS * SLOTS) * 1_000.0 / f64::from(u32::try_from(WORK_MS).unwrap_or(u32::MAX))
}

fn shape<P: SlotPolicy>(policy: P, entries: u32) -> SiteShape<P> {
    let base = SiteShape::new(FleetShape::one_pool(WORKERS));
    SiteShape {
        fleet: base.fleet,
        entries,
        worker: base.worker,
        policy,
        settings: base.settings,
        logger: base.logger,
    }
}

/// A load on the one pool at a part of the workers' capacity.
pub fn plan(part: f64, time: Duration) -> LoadPlan {
    LoadPlan {
        rate: capacity() * part,
        time,
        services: vec!["jobs".to_owned()],
        work_ms: (WORK_MS, WORK_MS),
        ..LoadPlan::default()
    }
}

fn ok(note: &CallNote) -> bool {
    note.result == CallResult::Answered(200)
}

/// Clients that each send the next request when they have the answer to the last.
async fn closed_loop(address: SocketAddr, clients: u32, time: Duration) -> CodeResult<ClosedRun> {
    let mut runs = JoinSet::new();
    let until = Instant::now() + time;
    for _ in 0..clients {
        let stream = TcpStream::connect(address).await.map_err(failed)?;
        stream.set_nodelay(true).map_err(failed)?;
        let (mut sender, driver) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.map_err(failed)?;
        tokio::spawn(driver);
        runs.spawn(async move {
            let mut latencies = Vec::new();
            while Instant::now() < until {
                let request = http::Request::get("/jobs/run").header("host", "site");
                let Ok(request) = request.body(Empty::<bytes::Bytes>::new()) else { break };
                let started = Instant::now();
                let Ok(answer) = sender.send_request(request).await else { break };
                let is_ok = answer.status().is_success();
                if answer.into_body().collect().await.is_err() || !is_ok {
                    break;
                }
                latencies.push(u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX));
            }
            latencies
        });
    }
    let mut histogram = Histogram::<u64>::new_with_max(60_000_000, 3).map_err(failed)?;
    while let Some(run) = runs.join_next().await {
        for latency in run.map_err(failed)? {
            histogram.saturating_record(latency.max(1));
        }
    }
    let seconds = time.as_secs_f64();
    Ok(ClosedRun {
        rate: number(usize::try_from(histogram.len()).unwrap_or(usize::MAX)) / seconds,
        p50: histogram.value_at_quantile(0.5),
        p99: histogram.value_at_quantile(0.99),
    })
}

#[derive(Clone, Copy, Debug)]
struct ClosedRun {
    rate: f64,
    p50: u64,
    p99: u64,
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

async fn throughput() -> ExperimentResult {
    let mut shape = shape(BorrowedSlots, 1);
    shape.fleet = FleetShape { slots: (64, 512), ..FleetShape::one_pool(2) };
    shape.worker = WorkerShape { slots: 64, connections: 512, ..WorkerShape::default() };
    let site = LocalSite::open(shape).await?;
    let worker = site.workers.values().next().map(|worker| worker.address);
    let (direct, entry) = (worker.unwrap_or(site.entries[0].callers), site.entries[0].callers);
    let mut table = ExperimentTable::new(
        "Through one entry, against direct to a worker (median of pairs)",
        &[
            "clients",
            "direct/s",
            "entry/s",
            "ratio",
            "direct p50 ms",
            "entry p50 ms",
            "entry p99 ms",
        ],
    );
    for clients in [1, 16, 48] {
        let (mut ratios, mut added, mut last) = (Vec::new(), Vec::new(), None);
        for _ in 0..PAIRS {
            let time = Duration::from_millis(500);
            let direct = closed_loop(direct, clients, time).await?;
            let through = closed_loop(entry, clients, time).await?;
            ratios.push(through.rate / direct.rate);
            let (through_us, direct_us) = (us(through.p50), us(direct.p50));
            added.push((through_us - direct_us) / direct_us);
            last = Some((direct, through));
        }
        let (ratio_median, added) = (median(ratios), median(added));
        if let Some((direct, through)) = last {
            table.row([
                clients.to_string(),
                format!("{:.0}", direct.rate),
                format!("{:.0}", through.rate),
                ratio(ratio_median),
                ms(direct.p50),
                ms(through.p50),
                ms(through.p99),
            ]);
        }
        table.verdict(
            format!("{clients} clients: throughput ratio {ratio_median:.2}, 0.5 or more"),
            ratio_median >= 0.5,
        );
        table.verdict(
            format!("{clients} clients: p50 added is {added:.2} of the direct one, 1 at most"),
            added <= 1.0,
        );
    }
    site.stop().await;
    Ok(table)
}

fn us(value: u64) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}

async fn slots() -> ExperimentResult {
    let mut table = ExperimentTable::new(
        "Sharing of slots by three entries: wait beyond the work, refusals, overshoot",
        &["load", "policy", "answered", "refused", "wait p50 ms", "wait p99 ms", "busy per 1000"],
    );
    for part in [0.5, 0.8, 0.95] {
        let borrow = slot_row(&mut table, part, "borrowed (ours)", BorrowedSlots).await?;
        let split = slot_row(&mut table, part, "static split", StaticSplit).await?;
        let two = slot_row(&mut table, part, "two choices", TwoChoices).await?;
        slot_row(&mut table, part, "blind choice", RandomChoice).await?;
        table.verdict(
            format!("load {part}: ours answers as many as static split and two choices"),
            borrow >= split.max(two) * 0.995,
        );
    }
    Ok(table)
}

async fn slot_row<P: SlotPolicy>(
    table: &mut ExperimentTable,
    part: f64,
    name: &str,
    policy: P,
) -> CodeResult<f64> {
    let site = LocalSite::open(shape(policy, 3)).await?;
    let load = LoadPlan { limit: Duration::from_millis(400), ..plan(part, Duration::from_secs(4)) };
    let report = load::run(load, CallerTargets::new(site.callers())).await;
    let busy: u64 = site.workers.values().map(|worker| worker.ledger().busy).sum();
    let answered = report.count(ok);
    let waits = report.latencies(ok);
    let wait = |quantile| ms(waits.value_at_quantile(quantile).saturating_sub(WORK_MS * 1_000));
    let busy = number(usize::try_from(busy).unwrap_or(usize::MAX));
    table.row([
        part.to_string(),
        name.to_owned(),
        answered.to_string(),
        (report.notes.len() - answered).to_string(),
        wait(0.5),
        wait(0.99),
        format!("{:.1}", busy * 1_000.0 / number(report.notes.len())),
    ]);
    site.stop().await;
    Ok(number(answered) / number(report.notes.len()))
}

async fn overload() -> ExperimentResult {
    let mut table = ExperimentTable::new(
        "Twice the load that the workers can carry",
        &["way", "goodput / capacity", "late", "refused", "refusal p99 ms", "answer p99 ms"],
    );
    let ours = overload_row(&mut table, "ours", BorrowedSlots, 2).await?;
    overload_row(&mut table, "blind choice, blind retries", RandomChoice, 10).await?;
    let goodput = ours.goodput;
    table.verdict(format!("goodput {goodput:.3} of capacity, 0.95 or more"), goodput >= 0.95);
    table.verdict(format!("{} late answers, none allowed", ours.late), ours.late == 0);
    let refusal = ms(ours.refusal_p99);
    table.verdict(format!("refusals within {refusal} ms, 10 at most"), ours.refusal_p99 <= 10_000);
    Ok(table)
}

struct OverloadRun {
    goodput: f64,
    late: usize,
    refusal_p99: u64,
}

async fn overload_row<P: SlotPolicy>(
    table: &mut ExperimentTable,
    name: &str,
    policy: P,
    attempts: u32,
) -> CodeResult<OverloadRun> {
    let mut shape = shape(policy, 3);
    shape.settings.push(("attempts", attempts.to_string()));
    let site = LocalSite::open(shape).await?;
    let limit = Duration::from_millis(500);
    let time = Duration::from_secs(6);
    let load = LoadPlan { limit, ..plan(2.0, time) };
    let report = load::run(load, CallerTargets::new(site.callers())).await;
    // The first second fills the queues and teaches run times; the end drains.
    let steady =
        |note: &CallNote| note.started >= Duration::from_secs(1) && note.started < time - limit;
    let seconds = (time - limit - Duration::from_secs(1)).as_secs_f64();
    let good = report.count(|note| ok(note) && steady(note));
    let refused = report.latencies(|note| is_refusal(note.result) && steady(note));
    let run = OverloadRun {
        goodput: number(good) / (capacity() * seconds),
        late: report.count(|note| note.took > limit),
        refusal_p99: refused.value_at_quantile(0.99),
    };
    table.row([
        name.to_owned(),
        ratio(run.goodput),
        run.late.to_string(),
        refused.len().to_string(),
        ms(run.refusal_p99),
        ms(report.latencies(ok).value_at_quantile(0.99)),
    ]);
    site.stop().await;
    Ok(run)
}

fn is_refusal(result: CallResult) -> bool {
    matches!(result, CallResult::Code(code) if (100..200).contains(&code))
}

async fn failing_worker() -> ExperimentResult {
    let mut table = ExperimentTable::new(
        "One of nine workers fails everything at once, from second 2 on",
        &["way", "failures from second 4 on", "of", "others' load max / min"],
    );
    let ours = failing_row(&mut table, "ours", BorrowedSlots, 3, 2_000).await?;
    failing_row(&mut table, "blind choice, nobody left out, no retry", RandomChoice, 1, 1).await?;
    table.verdict(format!("{:.4} of requests fail, 0.005 at most", ours.0), ours.0 <= 0.005);
    table.verdict(format!("others' load max / min {:.2}, 1.25 at most", ours.1), ours.1 <= 1.25);
    Ok(table)
}

async fn failing_row<P: SlotPolicy>(
    table: &mut ExperimentTable,
    name: &str,
    policy: P,
    attempts: u32,
    eject_ms: u64,
) -> CodeResult<(f64, f64)> {
    let mut shape = shape(policy, 3);
    shape.settings.push(("attempts", attempts.to_string()));
    shape.settings.push(("eject-time", eject_ms.to_string()));
    let site = LocalSite::open(shape).await?;
    let load = LoadPlan { unkeyed: 0.3, ..plan(0.5, Duration::from_secs(8)) };
    let running = tokio::spawn(load::run(load, CallerTargets::new(site.callers())));
    sleep(Duration::from_secs(2)).await;
    if let Some(worker) = site.workers.values().next() {
        worker.set_failing(true);
    }
    let before: Vec<u64> = site.workers.values().map(|worker| worker.ledger().done).collect();
    let report = running.await.map_err(failed)?;
    let late = |note: &CallNote| note.started >= Duration::from_secs(4);
    let (failures, all) = (report.count(|note| late(note) && !ok(note)), report.count(late));
    let done = site.workers.values().map(|worker| worker.ledger().done).zip(before);
    let others: Vec<f64> = done
        .skip(1)
        .map(|(now, before)| number(usize::try_from(now - before).unwrap_or(usize::MAX)))
        .collect();
    let (most, least) =
        others.iter().fold((0f64, f64::MAX), |(most, least), n| (most.max(*n), least.min(*n)));
    let run = (number(failures) / number(all), most / least.max(1.0));
    table.row([name.to_owned(), failures.to_string(), all.to_string(), ratio(run.1)]);
    site.stop().await;
    Ok(run)
}

async fn silent_connections() -> ExperimentResult {
    let mut table = ExperimentTable::new(
        "Half of the open connections to workers go silent for good, at second 2",
        &["way", "silenced", "idempotent lost", "not idempotent unknown", "keys run twice"],
    );
    let ours = silent_row(&mut table, "ours", &[]).await?;
    let old = ("proof-age", "600000".to_owned());
    let no_retry = [old, ("attempts", "1".to_owned())];
    silent_row(&mut table, "connections never proved, no retry", &no_retry).await?;
    table.verdict(format!("{} idempotent requests lost, none allowed", ours.lost), ours.lost == 0);
    table.verdict(
        format!("{} unknown, at most the {} silenced connections", ours.unknown, ours.silenced),
        ours.unknown <= ours.silenced,
    );
    table.verdict(format!("{} keys run twice, none allowed", ours.twice), ours.twice == 0);
    Ok(table)
}

struct SilentRun {
    silenced: usize,
    lost: usize,
    unknown: usize,
    twice: usize,
}

async fn silent_row(
    table: &mut ExperimentTable,
    name: &str,
    settings: &[(&'static str, String)],
) -> CodeResult<SilentRun> {
    let mut shape = shape(BorrowedSlots, 3);
    shape.settings.extend(settings.iter().cloned());
    let site = LocalSite::open(shape).await?;
    let limit = Duration::from_secs(3);
    let load = LoadPlan { keyed: 0.2, unkeyed: 0.1, limit, ..plan(0.5, Duration::from_secs(6)) };
    let running = tokio::spawn(load::run(load, CallerTargets::new(site.callers())));
    sleep(Duration::from_secs(2)).await;
    let silenced = site.workers.values().map(|worker| worker.silence_half()).sum();
    let report = running.await.map_err(failed)?;
    let broken = report.broken_promises(site.workers.values(), limit);
    let run = SilentRun {
        silenced,
        lost: report.count(|note| note.is_idempotent && !ok(note)),
        unknown: report.count(|note| !note.is_idempotent && !ok(note)),
        twice: broken.get("a key run twice").copied().unwrap_or(0),
    };
    table.row([
        name.to_owned(),
        run.silenced.to_string(),
        run.lost.to_string(),
        run.unknown.to_string(),
        run.twice.to_string(),
    ]);
    site.stop().await;
    Ok(run)
}

async fn replacement() -> ExperimentResult {
    let mut table = ExperimentTable::new(
        "All three entries of a data centre replaced one by one under load",
        &["way", "tries", "connections broken", "unknown", "refused, try again", "keys run twice"],
    );
    let ours = replacement_row(&mut table, "graceful stop (ours)", true).await?;
    replacement_row(&mut table, "stop at once", false).await?;
    table.verdict(format!("{} connections broken, none allowed", ours.0), ours.0 == 0);
    table.verdict(format!("{} keys run twice, none allowed", ours.1), ours.1 == 0);
    Ok(table)
}

async fn replacement_row(
    table: &mut ExperimentTable,
    name: &str,
    is_graceful: bool,
) -> CodeResult<(usize, usize)> {
    let mut site = LocalSite::open(shape(BorrowedSlots, 3)).await?;
    let limit = Duration::from_secs(2);
    let load = LoadPlan {
        keyed: 0.3,
        unkeyed: 0.1,
        tries: 8,
        limit,
        ..plan(0.4, Duration::from_secs(10))
    };
    let targets = CallerTargets::new(site.callers());
    let running = tokio::spawn(load::run(load, targets.clone()));
    sleep(Duration::from_secs(1)).await;
    let centre = site.centres()[0].clone();
    for _ in 0..3 {
        let new = site.open_entry(&centre).await?;
        site.entries.push(new);
        site.wait_serving().await?;
        let old = site.entries.remove(0);
        if is_graceful {
            // The balancer sees that the old one is not ready a little later.
            let stop = tokio::spawn(old.stop());
            sleep(Duration::from_millis(50)).await;
            targets.set(site.callers());
            stop.await.map_err(failed)?;
        } else {
            old.kill();
            sleep(Duration::from_millis(50)).await;
            targets.set(site.callers());
        }
    }
    let report: LoadReport = running.await.map_err(failed)?;
    let broken = report.broken_promises(site.workers.values(), limit);
    let run = (
        report.count(|note| note.result == CallResult::Broken),
        broken.get("a key run twice").copied().unwrap_or(0),
    );
    table.row([
        name.to_owned(),
        report.notes.len().to_string(),
        run.0.to_string(),
        report.count(|note| matches!(note.result, CallResult::Code(200..300))).to_string(),
        report.count(|note| is_refusal(note.result)).to_string(),
        run.1.to_string(),
    ]);
    site.stop().await;
    Ok(run)
}
