//! A soak: entries as processes of their own against the stand-in platform, with faults from outside
//! that come in series and overlap, and the callers' and workers' view checked all the while.
//!
//! A seed draws faults and jobs. What it can't draw is how the processes interleave: a seed that failed
//! once may pass the next time, so the logs of a run that fails are kept.

mod bursts;
mod callers;
mod duty;
pub mod entry;
mod faults;
mod harm;
mod late;
mod prompt;
pub mod standing;

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ibisweir::error::{CodeResult, ResultCode, coded};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use crate::jobs::ledger::SubmissionEnd;
use crate::jobs::site::JobPlatform;
use crate::soak::callers::CallerGroup;
use crate::soak::entry::EntryProcess;

/// Entries of a site.
pub const ENTRIES: u8 = 4;
/// Most entries: each has an address of its own, and a few hundred processes are the limit.
pub const ENTRIES_MAX: u8 = 180;
/// VMs of a site.
const VMS: usize = 9;
/// Callers at a time.
const CALLERS: usize = 8;
/// Callers at a time that cancel promptly.
const PROMPT_CALLERS: usize = 8;
/// Time for everything to settle once the faults are over; only a hang reaches it.
const SETTLE_TIME: Duration = Duration::from_secs(90);
/// Time between two looks at whether it has.
const SETTLE_GAP: Duration = Duration::from_millis(200);

/// File of a run that has all its broken promises; the first few are printed.
const BROKEN_FILE: &str = "broken.txt";
/// Time between two looks at how late this process is.
const LAG_GAP: Duration = Duration::from_millis(10);

/// Rooms are drawn by a seed of their own, so that a seed draws the same faults as before there were any.
const ROOM_SEED: u64 = 0x726f_6f6d;
/// The same for workers that begin anew, and for keys that are taken away.
const REBIRTH_SEED: u64 = 0x626f_726e;
const KEY_SEED: u64 = 0x6b65_7973;
/// The same for callers that cancel promptly.
const PROMPT_SEED: u64 = 0x7072_6f6d;
/// The same for faults by which what was sent arrives late.
const LATE_SEED: u64 = 0x6c61_7465;
/// The same for harm to a site of many VMs, and for the phases of entries that get a part of a core.
const HARM_SEED: u64 = 0x6861_726d;
const DUTY_SEED: u64 = 0x6475_7479;

/// Which faults, and which callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FaultMix {
    /// Without those by which things arrive late, and without callers that cancel promptly.
    Usual,
    /// Only those by which things arrive late, and callers that cancel promptly beside the others.
    Late,
    /// All.
    #[default]
    All,
}

impl FaultMix {
    /// By its name on the command line.
    pub fn parse(name: &str) -> Option<FaultMix> {
        match name {
            "usual" => Some(FaultMix::Usual),
            "late" => Some(FaultMix::Late),
            "all" => Some(FaultMix::All),
            _ => None,
        }
    }
}

/// Shape of the site and its traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SoakShape {
    /// A few VMs, and callers that wait for each other.
    #[default]
    Usual,
    /// Pools whose demand comes in turns, without faults but for leaders that change.
    Bursts(BurstShape),
}

/// Size and load of a site with demand in turns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BurstShape {
    /// VMs.
    pub vms: usize,
    /// Threads of this process that keep a core busy.
    pub busy: usize,
    /// Mean demand, in percent of all VMs' processor.
    pub load: u32,
    /// Time between two ends of leaderships, until the traffic is over; zero for none.
    pub leader_gap: Duration,
    /// Whether workers, log, links and leaders are harmed, until the traffic is over.
    pub is_harmed: bool,
    /// Whether jobs differ in steps and width, and some of them fail.
    pub is_mixed: bool,
    /// Time of each 100 ms that most entries run for; zero for all of it.
    pub duty: Duration,
    /// Time that each link to the log and to a worker takes, each way.
    pub latency: Duration,
}

/// What to run.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// Program of the entries.
    pub daemon: PathBuf,
    /// First seed.
    pub seed: u64,
    /// Seeds, one after the other.
    pub runs: u64,
    /// Time under faults, for each seed.
    pub length: Duration,
    /// Entries, a process each.
    pub entries: u8,
    /// Faults.
    pub faults: FaultMix,
    /// Shape of the site and its traffic.
    pub shape: SoakShape,
    /// Directory of the logs; those of runs that pass are removed, unless they are kept.
    pub directory: PathBuf,
    /// Whether the logs of runs that pass are kept as well.
    pub keeps_logs: bool,
}

/// What one run showed.
#[derive(Debug, Default)]
struct SoakReport {
    accepted: usize,
    refused: usize,
    unknown: usize,
    starts: u64,
    starts_cancelled: u64,
    done_cancelled: u64,
    /// Starts of tasks that had started before, and runs whose lease ran out.
    repeats: u64,
    lapsed: u64,
    faults: usize,
    /// Longest time by which this process itself was late.
    lag: Duration,
    broken: Vec<String>,
}

/// Runs every seed; false if a promise was broken or the soak was interrupted.
///
/// # Errors
/// `BindFailed` if a stand-in or an entry can't be started.
pub async fn run(plan: &SoakPlan) -> CodeResult<bool> {
    let signals = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()));
    let (Ok(mut terminate), Ok(mut interrupt)) = signals else { return run_seeds(plan).await };
    // Entries are killed when they are dropped; a soak that just died would leave them running.
    tokio::select! {
        outcome = run_seeds(plan) => outcome,
        _ = terminate.recv() => Ok(false),
        _ = interrupt.recv() => Ok(false),
    }
}

async fn run_seeds(plan: &SoakPlan) -> CodeResult<bool> {
    let mut failed = Vec::new();
    for seed in plan.seed..plan.seed + plan.runs {
        let begun = Instant::now();
        let report =
            one_run(plan, seed).await.map_err(|error| coded(ResultCode::BindFailed, error))?;
        println!(
            "seed {seed}: {} jobs accepted, {} refused, {} unknown, {} starts ({} repeats, {} lapsed, {} after a \
             cancellation, {} of them done), {} faults, {} s, own lag {} ms: {}",
            report.accepted,
            report.refused,
            report.unknown,
            report.starts,
            report.repeats,
            report.lapsed,
            report.starts_cancelled,
            report.done_cancelled,
            report.faults,
            begun.elapsed().as_secs(),
            report.lag.as_millis(),
            if report.broken.is_empty() { "all promises kept" } else { "BROKEN" },
        );
        for line in report.broken.iter().take(10) {
            println!("  {line}");
        }
        if !report.broken.is_empty() {
            failed.push(seed);
        }
    }
    println!("{} seeds, {} with a broken promise {failed:?}", plan.runs, failed.len());
    Ok(failed.is_empty())
}

async fn one_run(plan: &SoakPlan, seed: u64) -> std::io::Result<SoakReport> {
    let directory = plan.directory.join(format!("seed-{seed}"));
    std::fs::create_dir_all(&directory)?;
    if let SoakShape::Bursts(shape) = plan.shape {
        return bursts::run(plan, shape, seed, &directory).await;
    }
    let platform = Arc::new(JobPlatform::open(VMS).await?);
    let mut entries = Vec::new();
    for number in 0..plan.entries {
        let entry = EntryProcess::start(number, 1.0, &plan.daemon, &directory, &platform).await?;
        entries.push(Arc::new(entry));
    }
    let mut report = SoakReport::default();
    let lag = Arc::new(AtomicU64::new(0));
    let lag_watch = tokio::spawn(watch_lag(lag.clone()));
    if !settle(|| entries.iter().all(|entry| entry.was_ready()), &entries).await {
        report.broken.push("not every entry was ready before the faults began".to_owned());
    }
    let callers = Arc::new(CallerGroup::new(platform.clone(), entries.clone()));
    let mut tasks = JoinSet::new();
    for number in 0..CALLERS {
        let random = StdRng::seed_from_u64(seed * 1_000 + number as u64);
        tasks.spawn(callers.clone().call(random));
    }
    let mut late_faults = None;
    if plan.faults != FaultMix::Usual {
        for number in 0..PROMPT_CALLERS {
            let random = StdRng::seed_from_u64((seed * 1_000 + number as u64) ^ PROMPT_SEED);
            tasks.spawn(callers.clone().call_promptly(random));
        }
        let late = StdRng::seed_from_u64(seed ^ LATE_SEED);
        let injecting = late::inject(late, plan.length, platform.clone(), entries.clone());
        late_faults = Some(tokio::spawn(injecting));
    }
    if plan.faults == FaultMix::Late {
        faults::look_after(plan.length, &entries).await;
    } else {
        let rooms = StdRng::seed_from_u64(seed ^ ROOM_SEED);
        tasks.spawn(faults::resize(rooms, plan.length, platform.clone()));
        let births = StdRng::seed_from_u64(seed ^ REBIRTH_SEED);
        tasks.spawn(faults::rebear(births, plan.length, platform.clone()));
        let keys = StdRng::seed_from_u64(seed ^ KEY_SEED);
        tasks.spawn(faults::revoke(keys, plan.length, callers.clone()));
        let random = StdRng::seed_from_u64(seed);
        report.faults = faults::inject(random, plan.length, &platform, &entries).await;
    }
    callers.stop();
    while tasks.join_next().await.is_some() {}
    if let Some(injected) = late_faults {
        report.faults += injected.await.unwrap_or(0);
    }
    check_end(&platform, &entries, &callers, &mut report).await;
    for entry in &entries {
        if !entry.stop().await {
            report.broken.push(format!("{} did not end with 0 when it was stopped", entry.name));
        }
    }
    lag_watch.abort();
    report.lag = Duration::from_millis(lag.load(Ordering::Relaxed));
    report.broken.append(&mut platform.ledger().faults);
    keep_logs(plan, &report, &directory)?;
    Ok(report)
}

/// Keeps the logs of a run that failed, with its broken promises.
fn keep_logs(plan: &SoakPlan, report: &SoakReport, directory: &Path) -> std::io::Result<()> {
    if report.broken.is_empty() && !plan.keeps_logs {
        // A directory that can't be removed is only left over.
        let _ = std::fs::remove_dir_all(directory);
        return Ok(());
    }
    std::fs::write(directory.join(BROKEN_FILE), report.broken.join("\n"))
}

/// Notes by how much this process, whose platform and workers the entries are judged by, is late at most.
async fn watch_lag(lag: Arc<AtomicU64>) {
    loop {
        let begun = Instant::now();
        sleep(LAG_GAP).await;
        let late = u64::try_from(begun.elapsed().saturating_sub(LAG_GAP).as_millis());
        lag.fetch_max(late.unwrap_or(u64::MAX), Ordering::Relaxed);
    }
}

/// Waits until something holds, looking after entries that have ended; false if it never does.
async fn settle(holds: impl Fn() -> bool, entries: &[Arc<EntryProcess>]) -> bool {
    let waiting = async {
        loop {
            look_after_all(entries).await;
            if holds() {
                return;
            }
            sleep(SETTLE_GAP).await;
        }
    };
    timeout(SETTLE_TIME, waiting).await.is_ok()
}

/// Starts those again that a signal has ended.
async fn look_after_all(entries: &[Arc<EntryProcess>]) {
    for entry in entries {
        entry.look_after().await;
    }
}

/// After the faults: what was accepted ends, what was cancelled or refused does not run.
async fn check_end(
    platform: &Arc<JobPlatform>,
    entries: &[Arc<EntryProcess>],
    callers: &Arc<CallerGroup>,
    report: &mut SoakReport,
) {
    callers.cancel_lasting().await;
    let is_ready = || entries.iter().all(|entry| entry.is_ready_now());
    if !settle(is_ready, entries).await {
        report.broken.push("not every entry came back after the faults".to_owned());
    }
    let begun = Instant::now();
    loop {
        look_after_all(entries).await;
        let open = callers.open_jobs().await;
        if open.is_empty() {
            break;
        }
        if begun.elapsed() > SETTLE_TIME {
            let lines = open.iter().map(|(id, state)| format!("{id} is still {state}"));
            report.broken.extend(lines);
            break;
        }
        sleep(SETTLE_GAP).await;
    }
    let has_stopped = || {
        let ledger = platform.ledger();
        ledger
            .jobs
            .iter()
            .filter(|(_, job)| job.is_cancelled)
            .all(|(id, _)| ledger.live_of(*id) == 0)
    };
    if !settle(has_stopped, entries).await {
        report.broken.push("tasks of cancelled jobs run on".to_owned());
    }
    if !settle(|| platform.waves_are_complete(), entries).await {
        report.broken.push("a maintenance wave was never said to be complete".to_owned());
    }
    let ledger = platform.ledger();
    for (id, job) in &ledger.jobs {
        match job.end {
            Some(SubmissionEnd::Accepted) => report.accepted += 1,
            Some(SubmissionEnd::Refused) => {
                report.refused += 1;
                if ledger.starts_of(*id) > 0 {
                    report.broken.push(format!("{id} was refused by everybody, and ran"));
                }
            }
            Some(SubmissionEnd::Unknown) | None => report.unknown += 1,
        }
    }
    report.starts = ledger.starts;
    (report.repeats, report.lapsed) = (ledger.repeats, ledger.lapsed);
    (report.starts_cancelled, report.done_cancelled) =
        (ledger.starts_cancelled, ledger.done_cancelled);
}
