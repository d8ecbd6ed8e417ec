//! `ibisweird`: one entry of ibisweir.

mod app;

use std::process::ExitCode;

use ibisweir::controller::EntryController;
use ibisweir::decide::slot::{BorrowedSlots, RandomChoice, SlotPolicy, StaticSplit, TwoChoices};
use ibisweir::error::{CodeResult, ResultCode, coded, explain};
use ibisweir::jobs::site::SiteSettings;
use ibisweir::platform::HttpPlatform;
use ibisweir::platform_adapter;
use slog::{Logger, crit, info, warn};
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};

use crate::app::{AppConfig, Invocation};

fn main() -> ExitCode {
    let entry = match platform_adapter::settings::path() {
        // The platform gives a process a part of one core: more threads only cost memory.
        Some(path) => Builder::new_current_thread()
            .enable_all()
            .build()
            .map(|runtime| runtime.block_on(run_jobs(&path))),
        None => Builder::new_multi_thread()
            .enable_all()
            .build()
            .map(|runtime| runtime.block_on(run_entry())),
    };
    entry.unwrap_or_else(|error| {
        eprintln!("ibisweird: the runtime can't be started: {error}");
        ExitCode::FAILURE
    })
}

/// Runs an entry by the settings file that the platform laid down.
async fn run_jobs(path: &str) -> ExitCode {
    let logger = ibisweir::logging::open_output(slog::Level::Info);
    match serve_jobs(path, &logger).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(report) => {
            crit!(logger, "can't start"; "cause" => explain(&report));
            eprintln!("ibisweird: {}", explain(&report));
            ExitCode::from(2)
        }
    }
}

/// Runs until SIGTERM or SIGINT; true if the stop cut nothing off.
async fn serve_jobs(path: &str, logger: &Logger) -> CodeResult<bool> {
    let bad = |error| coded(ResultCode::BindFailed, error);
    let mut terminate = signal(SignalKind::terminate()).map_err(bad)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(bad)?;
    let mut reload = signal(SignalKind::hangup()).map_err(bad)?;
    let settings = platform_adapter::settings::read(path)?;
    let entry = platform_adapter::open(settings.clone(), logger.clone()).await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(entry.stop().await),
            _ = interrupt.recv() => return Ok(entry.stop().await),
            _ = reload.recv() => reread(path, &settings, logger),
        }
    }
}

/// Says what a changed settings file asks for; addresses and times hold until the next start.
fn reread(path: &str, settings: &SiteSettings, logger: &Logger) {
    match platform_adapter::settings::read(path) {
        Ok(fresh) if fresh == *settings => info!(logger, "settings read again, unchanged"),
        Ok(_) => warn!(logger, "settings have changed; they take effect at the next start"),
        Err(report) => warn!(logger, "settings can't be read"; "cause" => explain(&report)),
    }
}

async fn run_entry() -> ExitCode {
    match app::read() {
        Invocation::Print(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Invocation::Refuse(text) => {
            eprint!("{text}");
            ExitCode::from(2)
        }
        Invocation::Run(config) => run(*config).await,
    }
}

async fn run(config: AppConfig) -> ExitCode {
    let logger = ibisweir::logging::open(config.log_format, config.log_level);
    let served = match config.settings.text("slot-policy") {
        "static" => serve(&config, StaticSplit, &logger).await,
        "two-choices" => serve(&config, TwoChoices, &logger).await,
        "round-robin" => serve(&config, RandomChoice, &logger).await,
        _ => serve(&config, BorrowedSlots, &logger).await,
    };
    match served {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(report) => {
            crit!(logger, "can't start"; "cause" => explain(&report));
            eprintln!("ibisweird: {}", explain(&report));
            ExitCode::FAILURE
        }
    }
}

/// Runs until SIGTERM or SIGINT; true if the stop cut nothing off.
async fn serve<P: SlotPolicy>(config: &AppConfig, policy: P, logger: &Logger) -> CodeResult<bool> {
    let bad = |error| coded(ResultCode::BindFailed, error);
    let mut terminate = signal(SignalKind::terminate()).map_err(bad)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(bad)?;
    let settings = &config.settings;
    let platform =
        HttpPlatform::new(settings.address("platform"), settings.time("platform-timeout"));
    let controller = EntryController::open(settings, policy, platform, logger).await?;
    println!(
        "ibisweird: callers {} admin {} peer {}",
        controller.callers, controller.admin, controller.peer
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(controller.stop().await)
}
