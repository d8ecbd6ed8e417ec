//! The job side as operators see it: entries, the leader's figures, one job.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use ibisweir::error::{ResultCode, coded, explain};
use ibisweir::jobs::model::JobId;
use ibisweir::jobs::relay::{JOB_PATH, STATUS_PATH};
use ibisweir::jobs::status::{EntryStatus, JobStatus};
use ibisweir::scheduler::overview::LeaderOverview;

use crate::app::CommandConfig;
use crate::command::{Failure, ask, exit_status, print_json};

/// Prints how entries are; the exit status tells whether all of them answered.
pub(crate) async fn show_entries(
    config: &CommandConfig,
    entries: &[SocketAddr],
) -> Result<ExitCode, Failure> {
    let mut statuses = Vec::new();
    let mut failed = None;
    for entry in entries {
        match ask::<EntryStatus>(*entry, STATUS_PATH, config).await {
            Ok(Some(status)) => statuses.push(status),
            Ok(None) => failed = Some(ResultCode::DaemonNonsense),
            Err(error) => {
                eprintln!("ibisweirctl: {entry}: {}", explain(&error));
                failed = Some(*error.current_context());
            }
        }
    }
    if config.json {
        print_json(&statuses);
    } else {
        print_entries(&statuses);
    }
    Ok(failed.map_or(ExitCode::SUCCESS, |code| ExitCode::from(exit_status(code))))
}

fn print_entries(statuses: &[EntryStatus]) {
    println!("ENTRY                    DATA CENTRE     CONFIG  READY  LOG AGE   LEADER");
    for status in statuses {
        let config = status.config.map_or_else(|| "-".to_owned(), |version| version.to_string());
        let age = status.log_age_ms.map_or_else(|| "-".to_owned(), |age| format!("{age} ms"));
        let ready = if status.is_ready { "yes" } else { "no" };
        let leader = match (&status.leading, status.leader) {
            (Some(own), _) => format!("itself, term {}", own.term),
            (None, Some(address)) => address.to_string(),
            (None, None) => "none".to_owned(),
        };
        let (entry, centre) = (&status.entry, &status.centre);
        println!("{entry:<24} {centre:<15} {config:>6}  {ready:<5}  {age:<8}  {leader}");
    }
    // Whoever has heard from the log last knows best.
    if let Some(newest) = statuses.iter().min_by_key(|status| status.log_age_ms.unwrap_or(u64::MAX))
    {
        println!("\nQUEUE            POOL             WAITING");
        for queue in &newest.queues {
            println!("{:<16} {:<16} {:>7}", queue.name, queue.pool, queue.waiting);
        }
    }
    // The one of two that think so which has the higher term is right.
    let leaders = statuses.iter().filter_map(|status| status.leading.as_ref());
    if let Some(overview) = leaders.max_by_key(|overview| overview.term) {
        print_overview(overview, &total_rejections(statuses));
    }
}

/// Submissions that the entries rejected for the backlog, by pool.
fn total_rejections(statuses: &[EntryStatus]) -> BTreeMap<Arc<str>, u64> {
    let mut totals = BTreeMap::new();
    for (pool, rejections) in statuses.iter().flat_map(|status| &status.rejections) {
        *totals.entry(pool.clone()).or_default() += rejections;
    }
    totals
}

fn print_overview(overview: &LeaderOverview, rejections: &BTreeMap<Arc<str>, u64>) {
    println!(
        "\nPOOL             WORKERS  RUNS  BOOKED  JOBS  LATE  WAITING  BEGUN  CORES  REJECTED"
    );
    for (name, pool) in &overview.pools {
        println!(
            "{name:<16} {:>7} {:>5} {:>6}% {:>5} {:>5} {:>8} {:>6} {:>6} {:>9}",
            pool.workers,
            pool.runs,
            pool.booked_permille / 10,
            pool.jobs,
            pool.late,
            pool.waiting_work / 1_000,
            pool.begun_work / 1_000,
            pool.capacity / 1_000,
            rejections.get(name).copied().unwrap_or_default()
        );
    }
    if !overview.organisations.is_empty() {
        println!(
            "\nORGANISATION         SHARE/S  USED  RUNS  CORES  OF CAP  WAITING  BEYOND SHARE"
        );
    }
    for (name, organisation) in &overview.organisations {
        let cap = match organisation.cap.cpu {
            0 => "none".to_owned(),
            cap => (cap / 1_000).to_string(),
        };
        println!(
            "{name:<20} {:>7} {:>4}% {:>5} {:>6} {cap:>7} {:>8} {:>13}",
            organisation.weight,
            organisation.share_used_permille / 10,
            organisation.runs,
            organisation.used.cpu / 1_000,
            organisation.waiting,
            organisation.beyond_share
        );
    }
    println!("\nWAVE   DONE  OF    STATE");
    for wave in &overview.waves {
        let state = if wave.is_completed { "completed" } else { "running" };
        println!("{:<5} {:>5}  {:<5} {state}", wave.number, wave.done, wave.vms);
    }
    println!("\nDOUBTED WORKER   POOL             RUNS  WHY");
    for worker in &overview.doubted {
        let (id, pool) = (&worker.worker, &worker.pool);
        println!("{id:<16} {pool:<16} {:>4}  {}", worker.runs, worker.reason);
    }
    println!("\n{} commands to VMs are under way", overview.vm_commands);
}

/// Prints one job, from the first entry that knows it.
pub(crate) async fn show_job(
    config: &CommandConfig,
    id: JobId,
    entries: &[SocketAddr],
) -> Result<ExitCode, Failure> {
    let path = format!("{JOB_PATH}{id}");
    let mut failed = None;
    for entry in entries {
        match ask::<JobStatus>(*entry, &path, config).await {
            Ok(Some(job)) => {
                print_job(config, &job);
                return Ok(ExitCode::SUCCESS);
            }
            Ok(None) => {}
            Err(error) => {
                eprintln!("ibisweirctl: {entry}: {}", explain(&error));
                failed = Some(*error.current_context());
            }
        }
    }
    Err(coded(failed.unwrap_or(ResultCode::UnknownJob), id).into())
}

fn print_job(config: &CommandConfig, job: &JobStatus) {
    if config.json {
        print_json(job);
        return;
    }
    println!("job         {}", job.job);
    println!("queue       {}", job.queue);
    println!("state       {:?}", job.state);
    println!("accepted    {} ms since the epoch", job.accepted_ms);
    if job.ended_ms > 0 {
        println!("ended       {} ms after that", job.ended_ms.saturating_sub(job.accepted_ms));
    }
    println!("tasks       {}", job.tasks);
    println!("steps done  {}", job.steps_done);
    println!("failures    {}", job.failures);
    println!("term        {}", job.term);
    for run in &job.runs {
        println!("run         {} number {} on {}", run.task, run.run, run.worker);
    }
}
