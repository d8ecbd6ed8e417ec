//! Structured logs: JSON lines for machines, or plain lines for a terminal.

use std::borrow::Cow;
use std::collections::HashMap;
use std::io;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use slog::{Drain, Level, Logger, OwnedKVList, Record, o};

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
/// At most [`LINES_PER_SECOND`] lines of a kind are written.
pub fn open_output(level: Level) -> Logger {
    let drain = slog_json::Json::new(io::stdout()).add_default_keys().build();
    spawn_bounded(Mutex::new(drain).map(slog::Fuse), LINES_PER_SECOND, level)
}

/// A logger of bounded lines. They are bounded before they wait to be written: a flood of one kind would take
/// the places of all others in the line.
pub fn spawn_bounded<D>(drain: D, per_second: u32, level: Level) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let written = slog_async::Async::new(drain).chan_size(LINES_WAITING).build().fuse();
    let bounded = BoundedDrain::new(written, per_second);
    Logger::root(bounded.filter_level(level).fuse(), o!())
}

/// Lines of one kind that are written in a second: the leader of fifty workers writes half as many
/// in a burst.
pub const LINES_PER_SECOND: u32 = 500;

/// Lines that may wait to be written: those of a few kinds in a burst.
const LINES_WAITING: usize = 4_096;

/// Lines of one kind in the present second.
#[derive(Debug, Default)]
struct LineCount {
    second: u64,
    written: u32,
    left_out: u32,
}

/// Bounds the lines of each kind, a kind being a message, and says how many it left out. A flood of
/// one kind, as when every caller is refused, then neither fills the disk nor hides the other kinds.
#[derive(Debug)]
pub struct BoundedDrain<D> {
    inner: D,
    per_second: u32,
    started: Instant,
    counts: Mutex<HashMap<String, LineCount>>,
}

impl<D> BoundedDrain<D> {
    /// A drain that passes on `per_second` lines of a kind.
    pub fn new(inner: D, per_second: u32) -> BoundedDrain<D> {
        BoundedDrain {
            inner,
            per_second,
            started: Instant::now(),
            counts: Mutex::new(HashMap::new()),
        }
    }

    /// Whether a line may be written, and how many of its kind were left out in the second before.
    fn admit(&self, kind: &str) -> (bool, u32) {
        let second = self.started.elapsed().as_secs();
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        if !counts.contains_key(kind) {
            counts.insert(kind.to_owned(), LineCount::default());
        }
        let Some(count) = counts.get_mut(kind) else { return (true, 0) };
        let mut left_out = 0;
        if count.second != second {
            left_out = count.left_out;
            *count = LineCount { second, ..LineCount::default() };
        }
        let is_admitted = count.written < self.per_second;
        count.written += u32::from(is_admitted);
        count.left_out += u32::from(!is_admitted);
        (is_admitted, left_out)
    }
}

impl<D: Drain> Drain for BoundedDrain<D> {
    type Ok = ();
    type Err = D::Err;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), D::Err> {
        // Kinds are literals, and thousands of lines a second may be left out.
        let kind = match record.msg().as_str() {
            Some(kind) => Cow::Borrowed(kind),
            None => Cow::Owned(record.msg().to_string()),
        };
        let (is_admitted, left_out) = self.admit(&kind);
        if left_out > 0 {
            let place = slog::record_static!(Level::Warning, "");
            let message = format_args!("lines left out");
            let pairs = slog::b!("kind" => &*kind, "count" => left_out);
            self.inner.log(&Record::new(&place, &message, pairs), values)?;
        }
        if is_admitted {
            self.inner.log(record, values)?;
        }
        Ok(())
    }
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
