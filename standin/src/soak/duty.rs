//! Entries that get a part of a core: their processes are stopped and continued in a cycle, a few of them for half of
//! each period, the others for most of it.
//!
//! A process that was stopped from elsewhere stays stopped. Signals go through one shell, as a program for each would
//! take more of the machine than the entries do.

use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;
use tokio::io::AsyncWriteExt;
use tokio::process::{Child, Command};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::soak::entry::EntryProcess;

/// Length of a cycle.
const PERIOD: Duration = Duration::from_millis(100);
/// Of so many entries one is strong, and runs for half of each cycle.
const STRONG_EVERY: usize = 7;
/// Sends a signal for each line with its name and a process id.
const SIGNAL_LOOP: &str = "while read name id; do kill -$name $id 2>/dev/null; done";

/// Running cycles of all entries; the entries are left as they are when dropped.
#[derive(Debug)]
pub struct DutyCycle {
    cycles: JoinSet<()>,
    entries: Vec<Arc<EntryProcess>>,
    _shell: Child,
}

impl DutyCycle {
    /// Starts the cycles, with phases drawn by the seed; weak entries run for `run` of each 100 ms.
    ///
    /// # Errors
    /// If no shell can be started.
    pub fn spawn(
        mut random: StdRng,
        run: Duration,
        entries: &[Arc<EntryProcess>],
    ) -> std::io::Result<DutyCycle> {
        let mut shell = Command::new("sh")
            .args(["-c", SIGNAL_LOOP])
            .stdin(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let (sender, mut lines) = mpsc::unbounded_channel::<String>();
        let mut cycles = JoinSet::new();
        if let Some(mut input) = shell.stdin.take() {
            cycles.spawn(async move {
                while let Some(line) = lines.recv().await {
                    if input.write_all(line.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
        for (number, entry) in entries.iter().enumerate() {
            let run = run_time(number, run);
            let phase = PERIOD.mul_f64(random.random_range(0.0..1.0));
            cycles.spawn(cycle(entry.clone(), run.min(PERIOD), phase, sender.clone()));
        }
        Ok(DutyCycle { cycles, entries: entries.to_vec(), _shell: shell })
    }

    /// Ends the cycles; all entries run.
    pub async fn end(mut self) {
        self.cycles.shutdown().await;
        for entry in &self.entries {
            entry.signal("-CONT").await;
        }
    }
}

/// Time of each cycle that an entry runs for, where most run for `run`.
fn run_time(number: usize, run: Duration) -> Duration {
    if number.is_multiple_of(STRONG_EVERY) { PERIOD / 2 } else { run }
}

/// Part of a core of an entry, where most run for `run` of each 100 ms; zero for all of it.
pub fn cpu_share(number: usize, run: Duration) -> f64 {
    match run {
        Duration::ZERO => 1.0,
        run => run_time(number, run).as_secs_f64() / PERIOD.as_secs_f64(),
    }
}

async fn cycle(
    entry: Arc<EntryProcess>,
    run: Duration,
    phase: Duration,
    lines: mpsc::UnboundedSender<String>,
) {
    sleep(phase).await;
    loop {
        send(&entry, "STOP", &lines).await;
        sleep(PERIOD - run).await;
        send(&entry, "CONT", &lines).await;
        sleep(run).await;
    }
}

async fn send(entry: &EntryProcess, name: &str, lines: &mpsc::UnboundedSender<String>) {
    if let Some(id) = entry.process_id().await.filter(|_| !entry.is_frozen()) {
        // Without a shell no signal is sent.
        let _ = lines.send(format!("{name} {id}\n"));
    }
}
