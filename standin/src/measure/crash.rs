//! Entries as processes of their own: one is killed, another frozen and resumed.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use http::Method;
use ibisweir::error::{CodeResult, ResultCode, coded};
use ibisweir::keys::TestAuthority;
use ibisweir::platform::{HttpPlatform, exchange};
use ibisweir::publisher::IntentPublisher;
use tokio::time::{Instant, sleep};

use super::{ExperimentResult, ExperimentTable, failed, number};
use crate::fleet::FleetShape;
use crate::load::{self, CallResult, CallerTargets, LoadPlan, LoadReport};
use crate::platform::PlatformHandle;
use crate::site::{LOOPBACK, PATIENCE, entry_arguments};
use crate::worker::{WorkerHandle, WorkerShape};

/// Time that an entry is frozen.
const FREEZE: Duration = Duration::from_secs(5);
/// How long the load lasts.
const LOAD: Duration = Duration::from_secs(20);

/// A running entry; killed when dropped.
pub struct EntryProcess {
    child: Child,
    /// Where callers reach it.
    pub callers: SocketAddr,
    admin: SocketAddr,
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl EntryProcess {
    /// Starts `ibisweird`, which stands beside this program.
    pub fn spawn(arguments: &[String]) -> CodeResult<EntryProcess> {
        let program = std::env::current_exe().map_err(failed)?.with_file_name("ibisweird");
        let program: PathBuf = if program.exists() {
            program
        } else {
            return Err(coded(ResultCode::NotReady, "build the workspace first: no ibisweird"));
        };
        let mut child =
            Command::new(program).args(arguments).stdout(Stdio::piped()).spawn().map_err(failed)?;
        let mut line = String::new();
        if let Some(out) = child.stdout.take() {
            BufReader::new(out).read_line(&mut line).map_err(failed)?;
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        let address = |index: usize| {
            words.get(index).and_then(|word| word.parse().ok()).ok_or_else(|| failed(&line))
        };
        Ok(EntryProcess { callers: address(2)?, admin: address(4)?, child })
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the platform's balancer would send callers here.
    pub async fn wait_ready(&self) -> CodeResult<()> {
        let started = Instant::now();
        loop {
            let answer = exchange(self.admin, Method::GET, "/ready", Vec::new()).await;
            if answer.is_ok_and(|(status, _)| status.is_success()) {
                return Ok(());
            }
            if started.elapsed() > PATIENCE {
                return Err(coded(ResultCode::NotReady, "an entry did not become ready"));
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    fn signal(&self, name: &str) -> CodeResult<()> {
        let status = Command::new("kill").args([name, &self.id().to_string()]).status();
        status.map_err(failed).map(drop)
    }
}

/// A platform and workers here, entries as processes.
pub struct ProcessSite {
    platform: PlatformHandle,
    workers: Vec<WorkerHandle>,
    authority: TestAuthority,
    centre: ibisweir::name::CentreName,
}

impl ProcessSite {
    /// Brings up a platform and the workers of one pool, and publishes the document.
    pub async fn open(fleet: &FleetShape) -> CodeResult<ProcessSite> {
        let platform = PlatformHandle::bind(LOOPBACK).await.map_err(failed)?;
        let mut workers = Vec::new();
        for (vm, _, _) in fleet.vms() {
            let worker = WorkerHandle::bind(vm, LOOPBACK, WorkerShape::default()).await;
            workers.push(worker.map_err(failed)?);
        }
        for worker in &workers {
            platform.add_worker(worker.vm().clone(), worker.address);
        }
        let address = |vm: &ibisweir::name::VmName| {
            workers.iter().find(|worker| worker.vm() == vm).map_or(LOOPBACK, |w| w.address)
        };
        let document = fleet.document(address);
        let log = HttpPlatform::new(platform.address, PATIENCE);
        let mut publisher = IntentPublisher::open(log, PATIENCE).await?;
        publisher.publish(&document, None, "standin", PATIENCE).await?;
        let centre = document.data_centres[0].name.clone();
        Ok(ProcessSite { platform, workers, authority: TestAuthority::open()?, centre })
    }

    /// Starts an entry.
    pub fn entry(&self, name: &str) -> CodeResult<EntryProcess> {
        let keys = self.authority.entry()?;
        let changes = [("log-level", "error".to_owned())];
        EntryProcess::spawn(&entry_arguments(
            name,
            &self.centre,
            self.platform.address,
            &keys,
            &changes,
        ))
    }
}

/// Runs the experiment.
pub async fn run() -> ExperimentResult {
    let mut table = ExperimentTable::new(
        "An entry killed at 3 s, another frozen from 6 s to 11 s, keyed settlements with retries",
        &["callers", "settlements", "answered", "outcome unknown", "run twice", "untrue refusals"],
    );
    let ours = row(&mut table, "keys, tried again (ours)", false).await?;
    row(&mut table, "no keys, tried again blindly", true).await?;
    table.verdict(format!("{} settlements run twice, none allowed", ours.0), ours.0 == 0);
    table.verdict(format!("{} untrue refusals, none allowed", ours.1), ours.1 == 0);
    Ok(table)
}

async fn row(
    table: &mut ExperimentTable,
    name: &str,
    is_blind: bool,
) -> CodeResult<(usize, usize)> {
    let site = ProcessSite::open(&FleetShape::one_pool(9)).await?;
    let entries = [site.entry("e1")?, site.entry("e2")?, site.entry("e3")?];
    for entry in &entries {
        entry.wait_ready().await?;
    }
    // Until each has taken over from those before it, keys are refused for a moment.
    sleep(Duration::from_secs(2)).await;
    let targets = CallerTargets::new(entries.iter().map(|entry| entry.callers).collect());
    let plan = LoadPlan {
        keyed: if is_blind { 0.0 } else { 1.0 },
        unkeyed: if is_blind { 1.0 } else { 0.0 },
        is_blind,
        tries: 40,
        limit: Duration::from_secs(1),
        ..super::path::plan(0.2, LOAD)
    };
    let running = tokio::spawn(load::run(plan, targets.clone()));
    sleep(Duration::from_secs(3)).await;
    entries[0].signal("-KILL")?;
    sleep(Duration::from_millis(200)).await;
    targets.set(vec![entries[1].callers, entries[2].callers]);
    sleep(Duration::from_millis(2_800)).await;
    entries[1].signal("-STOP")?;
    sleep(FREEZE).await;
    entries[1].signal("-CONT")?;
    let report = running.await.map_err(failed)?;
    let run = judge(&report, &site.workers);
    let settlements: std::collections::HashSet<&str> =
        report.notes.iter().map(|note| base(&note.id)).collect();
    let answered: std::collections::HashSet<&str> = report
        .notes
        .iter()
        .filter(|note| note.result == CallResult::Answered(200))
        .map(|note| base(&note.id))
        .collect();
    table.row([
        name.to_owned(),
        settlements.len().to_string(),
        format!("{:.2}%", 100.0 * number(answered.len()) / number(settlements.len())),
        (settlements.len() - answered.len()).to_string(),
        run.0.to_string(),
        run.1.to_string(),
    ]);
    Ok(run)
}

fn base(id: &str) -> &str {
    id.split('.').next().unwrap_or_default()
}

/// Settlements run twice and untrue refusals, by the workers' ledgers.
fn judge(report: &LoadReport, workers: &[WorkerHandle]) -> (usize, usize) {
    let mut runs: std::collections::HashMap<String, u32> = std::collections::HashMap::new();
    for worker in workers {
        for (id, times) in worker.ledger().started {
            *runs.entry(base(&id).to_owned()).or_default() += times;
        }
    }
    let broken = report.broken_promises(workers.iter(), Duration::MAX);
    let untrue = broken.get("a refusal that says not run, and it ran").copied().unwrap_or(0);
    (runs.values().filter(|times| **times > 1).count(), untrue)
}
