//! Experiments: ours beside its baselines, in one run, as tables.

pub mod backlog;
pub mod capacity;
pub mod crash;
pub mod decisions;
pub mod fleet;
pub mod leader;
pub mod path;
pub mod publish;

use std::process::{Command, Stdio};
use std::time::Duration;

use comfy_table::{Table, presets};
use ibisweir::error::{CodeResult, ResultCode, coded};

/// One experiment's table and whether what it was to reach was reached.
pub struct ExperimentTable {
    title: String,
    table: Table,
    verdicts: Vec<(String, bool)>,
}

impl ExperimentTable {
    /// An empty table.
    pub fn new(title: &str, head: &[&str]) -> Self {
        ExperimentTable { title: title.to_owned(), table: plain_table(head), verdicts: Vec::new() }
    }

    /// Adds a row.
    pub fn row<const N: usize>(&mut self, cells: [String; N]) {
        self.table.add_row(cells);
    }

    /// Adds what was to be reached.
    pub fn verdict(&mut self, text: String, reached: bool) {
        self.verdicts.push((text, reached));
    }

    /// Prints it; false if something was not reached.
    pub fn print(&self) -> bool {
        println!("\n## {}\n{}", self.title, self.table);
        for (text, reached) in &self.verdicts {
            println!("{} {text}", if *reached { "reached:    " } else { "NOT reached:" });
        }
        self.verdicts.iter().all(|(_, reached)| *reached)
    }
}

/// A plain table.
pub fn plain_table(head: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::UTF8_HORIZONTAL_ONLY).set_header(head.to_vec());
    table
}

/// Microseconds as milliseconds.
pub fn ms(us: u64) -> String {
    format!("{}.{:02}", us / 1_000, us % 1_000 / 10)
}

/// A ratio with three digits.
pub fn ratio(value: f64) -> String {
    format!("{value:.3}")
}

/// A time in milliseconds with two digits.
pub fn time_ms(time: Duration) -> String {
    format!("{:.2}", time.as_secs_f64() * 1_000.0)
}

/// A count as a number to reckon with.
pub fn number(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// What the machine was while the tables were made.
pub fn print_machine() {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let kernel = Command::new("uname").arg("-sr").stderr(Stdio::null()).output();
    let kernel = kernel.map(|out| String::from_utf8_lossy(&out.stdout).trim().to_owned());
    println!("machine: {cores} cores, {}", kernel.unwrap_or_default());
}

fn failed(error: impl std::fmt::Display) -> error_stack::Report<ResultCode> {
    coded(ResultCode::BindFailed, error)
}

/// Runs experiments one after the other; false if one did not reach what it was to reach.
pub fn all_reached(tables: &[ExperimentTable]) -> bool {
    let missed = tables.iter().filter(|table| !table.print()).count();
    missed == 0
}

/// Result of an experiment.
pub type ExperimentResult = CodeResult<ExperimentTable>;
