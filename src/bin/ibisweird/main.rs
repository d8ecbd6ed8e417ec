//! `ibisweird`: one entry of ibisweir.

mod app;

use std::process::ExitCode;

use ibisweir::controller::EntryController;
use ibisweir::decide::slot::{BlindChoice, BorrowedSlots, SlotPolicy, StaticSplit, TwoChoices};
use ibisweir::error::{CodeResult, ResultCode, coded, explain};
use ibisweir::platform::HttpPlatform;
use slog::{Logger, crit};
use tokio::signal::unix::{SignalKind, signal};

use crate::app::{AppConfig, Invocation};

#[tokio::main]
async fn main() -> ExitCode {
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
        "round-robin" => serve(&config, BlindChoice, &logger).await,
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
