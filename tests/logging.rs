//! The log's volume is bounded, and it says what it left out.

use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ibisweir::logging::{BoundedDrain, spawn_bounded};
use slog::{Drain, Level, Logger, Never, OwnedKVList, Record, info, o};

/// Keeps the messages.
#[derive(Clone, Default)]
struct KeptLines(Arc<Mutex<Vec<String>>>);

impl Drain for KeptLines {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        self.0.lock().expect("no panic holds it").push(record.msg().to_string());
        Ok(())
    }
}

/// Every caller is refused at once. The lines about it are cut off, those of other kinds are not.
#[test]
fn a_flood_of_one_kind_leaves_room_for_the_others() {
    let kept = KeptLines::default();
    let logger = Logger::root(BoundedDrain::new(kept.clone(), 10).fuse(), o!());
    let begun = Instant::now();
    for _ in 0..1_000 {
        info!(logger, "not served");
    }
    info!(logger, "leading");
    let lines = kept.0.lock().expect("no panic holds it").clone();
    let floods = lines.iter().filter(|line| *line == "not served").count();
    // On a busy machine the second may have turned meanwhile.
    let seconds = usize::try_from(begun.elapsed().as_secs()).expect("a short test") + 2;
    assert!(floods <= 10 * seconds, "{floods}");
    assert!(lines.iter().any(|line| line == "leading"));
}

/// Takes a while for each line.
struct SlowDrain(KeptLines);

impl Drain for SlowDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        std::thread::sleep(Duration::from_millis(1));
        self.0.log(record, values)
    }
}

/// Guards against a burst of one kind that takes the places of other lines before these are written.
#[test]
fn lines_wait_behind_a_flood_and_are_not_lost() {
    let kept = KeptLines::default();
    let logger = spawn_bounded(SlowDrain(kept.clone()), 10, Level::Info);
    for _ in 0..3_000 {
        info!(logger, "placed");
    }
    info!(logger, "leading");
    // The last logger waits for what is still to be written.
    drop(logger);
    let lines = kept.0.lock().expect("no panic holds it").clone();
    assert!(lines.iter().any(|line| line == "leading"));
    assert!(!lines.iter().any(|line| line.contains("dropped")), "{} lines", lines.len());
}

/// Counts how often it is formatted.
#[derive(Default)]
struct CountedValue(AtomicUsize);

impl fmt::Display for CountedValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fetch_add(1, Ordering::Relaxed);
        f.write_str("value")
    }
}

/// Guards against a leader that formats the values of lines that are then left out: it logs two
/// lines for each task, far more than are written.
#[test]
fn values_of_lines_that_are_left_out_are_not_formatted() {
    let logger = spawn_bounded(KeptLines::default(), 10, Level::Info);
    let value = CountedValue::default();
    let begun = Instant::now();
    for _ in 0..1_000 {
        info!(logger, "placed"; "task" => %value);
    }
    // On a busy machine the second may have turned meanwhile.
    let seconds = usize::try_from(begun.elapsed().as_secs()).expect("a short test") + 2;
    let formatted = value.0.load(Ordering::Relaxed);
    assert!((10..=10 * seconds).contains(&formatted), "{formatted}");
}
