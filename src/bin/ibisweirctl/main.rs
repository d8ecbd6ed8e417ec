//! `ibisweirctl`: the operators' tool.

mod app;
mod command;
mod jobs;

use std::process::ExitCode;

use crate::app::Invocation;

#[tokio::main]
async fn main() -> ExitCode {
    match app::read(std::env::args().skip(1).collect()) {
        Invocation::Print(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Invocation::Refuse(text) => {
            eprint!("{text}");
            ExitCode::from(2)
        }
        Invocation::Run(config) => command::run(&config).await,
    }
}
