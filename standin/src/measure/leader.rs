//! Processor time of a whole leader for each start: a real entry against the stand-in platform, with callers that
//! hand in small jobs at a steady rate.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Method};
use ibisweir::error::CodeResult;
use ibisweir::transport::{HttpCall, HttpTransport};
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::{Instant, interval, sleep};

use super::{ExperimentTable, failed, number, time_ms};
use crate::jobs::site::{CALLER_HOST, JobPlatform, OPEN};
use crate::soak::entry::EntryProcess;

/// VMs, a third of them in the pool that is used.
const VMS: usize = 150;
/// Jobs a second, of two steps of four tasks.
const RATE: u32 = 60;
/// Time before that is not counted, and time that is.
const WARM: Duration = Duration::from_secs(3);
const WATCH: Duration = Duration::from_secs(8);
const PATIENCE: Duration = Duration::from_secs(3);
/// Time for the entry to be ready.
const READY_GAP: Duration = Duration::from_millis(50);

/// Prints the table.
///
/// # Errors
/// `BindFailed` if the platform or the entry can't be started.
pub async fn run(daemon: &Path) -> CodeResult<bool> {
    super::print_machine();
    let directory = std::env::temp_dir().join(format!("ibisweir-leader-{}", std::process::id()));
    std::fs::create_dir_all(&directory).map_err(failed)?;
    let platform = Arc::new(JobPlatform::open(VMS).await.map_err(failed)?);
    let entry = EntryProcess::start(0, 1.0, daemon, &directory, &platform).await.map_err(failed)?;
    while !entry.is_ready_now() {
        sleep(READY_GAP).await;
        entry.look_after().await;
    }
    let callers = tokio::spawn(call(entry.callers));
    sleep(WARM).await;
    let (spent, starts) = (processor_time(&entry).await, platform.ledger().starts);
    let begun = Instant::now();
    println!("process {}", entry.process_id().await.unwrap_or(0));
    sleep(WATCH).await;
    let seconds = begun.elapsed().as_secs_f64();
    let spent = processor_time(&entry).await.saturating_sub(spent);
    let starts = platform.ledger().starts - starts;
    callers.abort();
    let mut table = ExperimentTable::new(
        "a leader, whole",
        &["starts a second", "ms of processor a second", "us a start"],
    );
    let count = number(usize::try_from(starts).unwrap_or(0));
    table.row([
        format!("{:.0}", count / seconds),
        time_ms(spent.div_f64(seconds)),
        format!("{:.0}", spent.as_secs_f64() * 1e6 / count.max(1.0)),
    ]);
    entry.stop().await;
    // A directory that can't be removed is only left over.
    let _ = std::fs::remove_dir_all(&directory);
    Ok(super::all_reached(&[table]))
}

/// Processor time of an entry's process so far, by the system's count of it.
async fn processor_time(entry: &EntryProcess) -> Duration {
    let Some(id) = entry.process_id().await else { return Duration::ZERO };
    let path = PathBuf::from(format!("/proc/{id}/schedstat"));
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let spent = text.split(' ').next().and_then(|word| word.parse().ok()).unwrap_or(0);
    Duration::from_nanos(spent)
}

async fn call(address: std::net::SocketAddr) {
    let transport = HttpTransport::open();
    let mut tick = interval(Duration::from_secs(1) / RATE);
    let mut calls = JoinSet::new();
    let step = |after: &[u16]| json!({ "count": 4, "cpu": 500, "mem-mb": 64, "est-ms": 300, "after": after });
    let body = json!({ "spec": format!("work=300 cpu=500 {}", "x".repeat(900)),
        "steps": [step(&[]), step(&[0])] });
    for number in 1_u64.. {
        tick.tick().await;
        let mut headers = HeaderMap::new();
        headers.insert(HOST, HeaderValue::from_static(CALLER_HOST));
        let path = format!("/{OPEN}/{number:016x}");
        let body = Bytes::from(body.to_string());
        let call = HttpCall { method: Method::POST, path, headers, body };
        let transport = transport.clone();
        calls.spawn(async move { drop(transport.exchange(address, call, PATIENCE).await) });
        while calls.try_join_next().is_some() {}
    }
}
