//! Structured logs: JSON lines for machines, or plain lines for a terminal.

use std::io;
use std::sync::Mutex;

use slog::{Drain, Level, Logger, o};

/// How log lines look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Plain lines.
    Terminal,
}

/// A logger to standard error that drops lines below `level`. Lines are written by a thread of
/// their own, so that a slow reader of standard error never holds up a request.
pub fn open(format: LogFormat, level: Level) -> Logger {
    match format {
        LogFormat::Json => {
            let drain = slog_json::Json::new(io::stderr()).add_default_keys().build();
            spawn(Mutex::new(drain).map(slog::Fuse), level)
        }
        LogFormat::Terminal => {
            let drain = slog_term::FullFormat::new(slog_term::TermDecorator::new().build());
            spawn(drain.build().fuse(), level)
        }
    }
}

/// A logger that writes JSON lines to standard output, for a platform that collects them there.
pub fn open_output(level: Level) -> Logger {
    let drain = slog_json::Json::new(io::stdout()).add_default_keys().build();
    spawn(Mutex::new(drain).map(slog::Fuse), level)
}

/// A logger that writes nothing.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Reads the level's name.
pub fn level(name: &str) -> Level {
    name.parse().unwrap_or(Level::Info)
}

fn spawn<D>(drain: D, level: Level) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let drain = slog_async::Async::new(drain.filter_level(level).fuse()).build().fuse();
    Logger::root(drain, o!())
}
