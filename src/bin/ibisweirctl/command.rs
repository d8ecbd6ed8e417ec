//! Runs a command and turns its outcome into words and an exit status.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

use error_stack::Report;
use http::{Method, StatusCode};
use ibisweir::admin::StatusReport;
use ibisweir::compare::compare;
use ibisweir::decide::intent::PublishOutcome;
use ibisweir::document::{DocumentFault, IntentDocument, parse};
use ibisweir::error::{CodeResult, ResultCode, coded, explain};
use ibisweir::keys::TestAuthority;
use ibisweir::platform::{HttpPlatform, exchange};
use ibisweir::publisher::IntentPublisher;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::app::{Base, Command, CommandConfig};
use crate::jobs;

const FAULTY: u8 = 1;
const LOST: u8 = 3;
const UNKNOWN: u8 = 4;
const AWAY: u8 = 5;
const NO_JOB: u8 = 6;

/// Why a command failed.
pub(crate) enum Failure {
    Faults(Vec<DocumentFault>),
    Code(Report<ResultCode>),
}

impl From<Report<ResultCode>> for Failure {
    fn from(report: Report<ResultCode>) -> Self {
        Failure::Code(report)
    }
}

/// Runs a command.
pub async fn run(config: &CommandConfig) -> ExitCode {
    let outcome = match &config.command {
        Command::Check { file } => check(config, file),
        Command::Publish { file, base, platform } => publish(config, file, *base, *platform).await,
        Command::Show { revision, platform } => show(config, *revision, *platform).await,
        Command::Diff { before, after, platform } => diff(config, *before, *after, *platform).await,
        Command::History { platform } => history(config, *platform).await,
        Command::Status { admins } => status(config, admins).await,
        Command::Jobs { entries } => jobs::show_entries(config, entries).await,
        Command::Job { id, entries } => jobs::show_job(config, *id, entries).await,
        Command::Keys { out, names } => keys(out, names),
    };
    match outcome {
        Ok(code) => code,
        Err(Failure::Faults(faults)) => {
            print_faults(config, &faults);
            ExitCode::from(FAULTY)
        }
        Err(Failure::Code(report)) => {
            eprintln!("ibisweirctl: {}", explain(&report));
            ExitCode::from(exit_status(*report.current_context()))
        }
    }
}

pub(crate) fn exit_status(code: ResultCode) -> u8 {
    match code.number() {
        400..500 => FAULTY,
        701 => LOST,
        702 => UNKNOWN,
        122 => NO_JOB,
        _ => AWAY,
    }
}

fn print_faults(config: &CommandConfig, faults: &[DocumentFault]) {
    if config.json {
        print_json(&faults);
        return;
    }
    for fault in faults {
        println!("{} {}: {}", fault.code.number(), fault.place, fault.detail);
    }
    println!("{} faults", faults.len());
}

pub(crate) fn print_json<T: Serialize>(value: &T) {
    // Our own types hold no map with keys that JSON can't write.
    println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}

fn read(file: &str) -> Result<IntentDocument, Failure> {
    let text = std::fs::read(file).map_err(|error| {
        Failure::Code(coded(ResultCode::DocumentSyntax, format!("{file}: {error}")))
    })?;
    parse(&text).map_err(Failure::Faults)
}

fn check(config: &CommandConfig, file: &str) -> Result<ExitCode, Failure> {
    let document = read(file)?;
    if config.json {
        print_json(&Vec::<DocumentFault>::new());
    } else {
        println!(
            "no faults: {} VMs, {} pools, {} products, {} services, {} waves",
            document.vms.len(),
            document.pools.len(),
            document.products.len(),
            document.services.len(),
            document.waves.len()
        );
    }
    Ok(ExitCode::SUCCESS)
}

async fn open(
    config: &CommandConfig,
    platform: SocketAddr,
) -> CodeResult<IntentPublisher<HttpPlatform>> {
    let platform = HttpPlatform::new(platform, config.patience);
    IntentPublisher::open(platform, config.patience).await
}

async fn publish(
    config: &CommandConfig,
    file: &str,
    base: Base,
    platform: SocketAddr,
) -> Result<ExitCode, Failure> {
    let document = read(file)?;
    let mut publisher = open(config, platform).await?;
    let base = match base {
        Base::First => None,
        Base::Current => publisher.state().revision(),
        Base::Revision(revision) => Some(revision),
    };
    let verdict = publisher.publish(&document, base, &config.by, config.patience).await?;
    if config.json {
        print_json(&verdict);
    }
    match verdict {
        PublishOutcome::Accepted { revision } => {
            if !config.json {
                println!("accepted as revision {revision}");
            }
            Ok(ExitCode::SUCCESS)
        }
        PublishOutcome::Lost { current } => {
            let detail = match current {
                Some(current) => format!("revision {current} is in force; edit that one"),
                None => "no document is in force; publish without --base".to_owned(),
            };
            Err(coded(ResultCode::PublishLost, detail).into())
        }
        PublishOutcome::Faulty => {
            Err(coded(ResultCode::DocumentSyntax, "the fleet runs another version").into())
        }
    }
}

fn find(
    publisher: &IntentPublisher<HttpPlatform>,
    revision: Option<u64>,
) -> CodeResult<(u64, &IntentDocument)> {
    let accepted = publisher.state().accepted.as_ref();
    let wanted = revision.or(publisher.state().revision());
    let Some(wanted) = wanted else {
        return Err(coded(ResultCode::NotReady, "no document is in force"));
    };
    if let Some(accepted) = accepted.filter(|accepted| accepted.revision == wanted) {
        return Ok((wanted, &accepted.document));
    }
    let kept = publisher.documents().iter().find(|published| published.offset == wanted);
    kept.map(|published| (wanted, &published.document))
        .ok_or_else(|| coded(ResultCode::PlatformExpired, format!("revision {wanted}")))
}

async fn show(
    config: &CommandConfig,
    revision: Option<u64>,
    platform: SocketAddr,
) -> Result<ExitCode, Failure> {
    let publisher = open(config, platform).await?;
    let (revision, document) = find(&publisher, revision)?;
    eprintln!("revision {revision}");
    print_json(document);
    Ok(ExitCode::SUCCESS)
}

async fn diff(
    config: &CommandConfig,
    before: u64,
    after: Option<u64>,
    platform: SocketAddr,
) -> Result<ExitCode, Failure> {
    let publisher = open(config, platform).await?;
    let (_, old) = find(&publisher, Some(before))?;
    let (_, new) = find(&publisher, after)?;
    let differences = compare(old, new);
    if config.json {
        print_json(&differences);
        return Ok(ExitCode::SUCCESS);
    }
    let text = |value: &Option<serde_json::Value>| {
        value.as_ref().map_or_else(|| "-".to_owned(), ToString::to_string)
    };
    for difference in &differences {
        let (before, after) = (text(&difference.before), text(&difference.after));
        println!("{}: {before} -> {after}", difference.place);
    }
    println!("{} differences", differences.len());
    Ok(ExitCode::SUCCESS)
}

async fn history(config: &CommandConfig, platform: SocketAddr) -> Result<ExitCode, Failure> {
    let publisher = open(config, platform).await?;
    let lines = &publisher.state().outcomes;
    if config.json {
        print_json(lines);
        return Ok(ExitCode::SUCCESS);
    }
    for line in lines {
        let verdict = match line.outcome {
            PublishOutcome::Accepted { .. } => "accepted".to_owned(),
            PublishOutcome::Lost { current: Some(current) } => format!("lost to {current}"),
            PublishOutcome::Lost { current: None } => "lost".to_owned(),
            PublishOutcome::Faulty => "faulty".to_owned(),
        };
        println!("{:>8}  {:<16} {:<12} {}", line.offset, line.by, verdict, line.id);
    }
    Ok(ExitCode::SUCCESS)
}

async fn status(config: &CommandConfig, admins: &[SocketAddr]) -> Result<ExitCode, Failure> {
    let mut reports = Vec::new();
    let mut failed = None;
    for admin in admins {
        match report(*admin, config).await {
            Ok(report) => reports.push(report),
            Err(error) => {
                eprintln!("ibisweirctl: {admin}: {}", explain(&error));
                failed = Some(*error.current_context());
            }
        }
    }
    if config.json {
        print_json(&reports);
    } else {
        print_status(&reports);
    }
    Ok(failed.map_or(ExitCode::SUCCESS, |code| ExitCode::from(exit_status(code))))
}

async fn report(admin: SocketAddr, config: &CommandConfig) -> CodeResult<StatusReport> {
    let told = ask(admin, "/status", config).await?;
    told.ok_or_else(|| coded(ResultCode::DaemonNonsense, StatusCode::NOT_FOUND))
}

/// Asks a daemon; nothing if it does not know what was asked for.
pub(crate) async fn ask<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    config: &CommandConfig,
) -> CodeResult<Option<T>> {
    let answer = timeout(config.patience, exchange(address, Method::GET, path, Vec::new()));
    let (status, body) =
        answer.await.map_err(|_| coded(ResultCode::PeerAway, "no answer in time"))??;
    match status {
        StatusCode::OK => serde_json::from_slice(&body)
            .map(Some)
            .map_err(|error| coded(ResultCode::DaemonNonsense, error)),
        StatusCode::NOT_FOUND => Ok(None),
        _ => Err(coded(ResultCode::DaemonNonsense, status)),
    }
}

fn print_status(reports: &[StatusReport]) {
    println!("ENTRY                        DATA CENTRE     REVISION  READY  LOG AGE");
    for report in reports {
        let revision = report.revision.map_or_else(|| "-".to_owned(), |r| r.to_string());
        let age = report.log_age_ms.map_or_else(|| "-".to_owned(), |age| format!("{age} ms"));
        let ready = if report.ready { "yes" } else { "no" };
        let (entry, centre) = (&report.entry, &report.centre);
        println!("{:<28} {:<15} {revision:>8}  {ready:<5}  {age}", entry.as_str(), centre.as_str());
    }
    // Whoever has read furthest knows best; ties show the same.
    let Some(report) = reports.iter().max_by_key(|report| report.revision) else { return };
    for (centre, status) in &report.centres {
        let steward = status.steward.as_ref().map_or("none", |steward| steward.as_str());
        println!("\n{centre}: steward {steward}, term {}", status.term);
        for (phase, vms) in &status.vms {
            println!("  {phase:<10} {}", vms.len());
        }
    }
    println!(
        "\nPRODUCT          CAPACITY SERVING PLANNED LOST SHORT  BUDGET LEFT (worker minutes)"
    );
    for (product, status) in &report.products {
        let budget = u64::from(status.budget_worker_minutes);
        let left = budget.saturating_sub(status.spent_worker_ms / 60_000);
        println!(
            "{:<16} {:>8} {:>7} {:>7} {:>4} {:>5}  {left} of {budget}",
            product.as_str(),
            status.capacity,
            status.serving,
            status.planned,
            status.lost,
            status.short
        );
    }
    println!("\nWAVE             DONE  OUT OPEN STUCK");
    for (wave, status) in &report.waves {
        let stuck: Vec<&str> = status.stuck.iter().map(|vm| vm.as_str()).collect();
        let cancelled = if status.cancelled { " (cancelled)" } else { "" };
        println!(
            "{:<16} {:>4} {:>4} {:>4} {}{cancelled}",
            wave.as_str(),
            status.done,
            status.under_way,
            status.open,
            if stuck.is_empty() { "-".to_owned() } else { stuck.join(",") }
        );
    }
}

fn keys(out: &str, names: &[String]) -> Result<ExitCode, Failure> {
    let write = |name: &str, text: &str| {
        std::fs::write(Path::new(out).join(name), text)
            .map_err(|error| coded(ResultCode::BadKeys, format!("{out}/{name}: {error}")))
    };
    std::fs::create_dir_all(out)
        .map_err(|error| coded(ResultCode::BadKeys, format!("{out}: {error}")))?;
    let authority = TestAuthority::open()?;
    for name in names {
        let keys = authority.entry()?;
        write("ca.pem", &keys.ca)?;
        write(&format!("{name}.pem"), &keys.cert)?;
        write(&format!("{name}.key"), &keys.key)?;
        println!("{out}/{name}.pem {out}/{name}.key");
    }
    println!("{out}/ca.pem");
    Ok(ExitCode::SUCCESS)
}
