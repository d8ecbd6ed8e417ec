//! `ibisweir-standin`: quickstart, experiments, and stand-ins as processes of their own.

mod app;

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
        Invocation::Run(task) => match app::run(task).await {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::FAILURE,
            Err(text) => {
                eprintln!("ibisweir-standin: {text}");
                ExitCode::FAILURE
            }
        },
    }
}
