//! A simulated worker: what it runs, lists and refuses.

use std::collections::{BTreeMap, BTreeSet};

use ibisweir::jobs::model::{ExitKind, TaskKey};
use ibisweir::jobs::ports::{RunningTask, StartCall, TaskExit, WorkerReport};

use super::fixtures::START_MS;

/// State and behaviour of a simulated worker.
#[derive(Clone, Debug, Default)]
pub struct SimWorker {
    /// Runs, with their progress in percent.
    pub running: BTreeMap<(TaskKey, u32), u32>,
    /// Exits that were not acknowledged.
    pub exits: Vec<TaskExit>,
    /// Runs that were stopped or have ended; they never start again.
    pub refused: BTreeSet<(TaskKey, u32)>,
    /// Whether it leaves calls unanswered.
    pub is_silent: bool,
    /// Whether its reports date from before anything was started.
    pub is_stale: bool,
    /// Whether starts get no answer and are carried out when the test delivers them.
    pub is_late: bool,
    /// Whether stops to it are lost, while all other calls arrive.
    pub are_stops_lost: bool,
    /// Whether it refuses every start for lack of capacity.
    pub is_full: bool,
    /// Whether it refuses every start as unhealthy.
    pub is_unhealthy: bool,
    /// Time that a stop takes, in milliseconds; until then the run is listed as running.
    pub stop_ms: u64,
    /// Runs that are being stopped, and when they end.
    pub ending: BTreeMap<(TaskKey, u32), u64>,
    /// Starts that got no answer and were not carried out yet.
    pub late: Vec<StartCall>,
    /// End of the leases of its runs, by its clock.
    pub lease_until_ms: u64,
    /// By how much its clock is slow, in percent.
    pub slow_percent: u64,
    /// When its clock began, in milliseconds; 0 if it shows the simulated time.
    pub started_ms: u64,
    /// Number of starts that it refused because their leases were over.
    pub late_refusals: usize,
    /// Highest fencing token seen.
    pub fence: u64,
    /// Number of the newest exit.
    pub next_exit: u64,
}

impl SimWorker {
    /// Reading of its own clock.
    pub fn clock_ms(&self, now: u64) -> u64 {
        let begun_ms = self.started_ms.max(START_MS);
        let shown_ms = if self.started_ms == 0 { START_MS } else { 0 };
        shown_ms + (now - begun_ms) * (100 - self.slow_percent) / 100
    }

    /// Whether the lease of a start is over; such a start is refused and counted.
    pub(super) fn is_too_late(&mut self, call: &StartCall, now: u64) -> bool {
        let is_late = call.lease_until_ms <= self.clock_ms(now);
        self.late_refusals += usize::from(is_late);
        is_late
    }

    pub(super) fn begin(&mut self, call: &StartCall, now: u64) -> bool {
        let key = (call.task, call.run);
        if call.fence < self.fence || self.is_too_late(call, now) {
            return false;
        }
        self.fence = call.fence;
        self.lease_until_ms = self.lease_until_ms.max(call.lease_until_ms);
        if self.refused.contains(&key) || self.running.contains_key(&key) {
            return false;
        }
        self.running.insert(key, 0);
        true
    }

    /// Kills all runs once their lease is over.
    pub(super) fn expire(&mut self, now: u64) {
        if self.clock_ms(now) < self.lease_until_ms {
            return;
        }
        let lapsed: Vec<(TaskKey, u32)> = self.running.keys().copied().collect();
        for (task, run) in lapsed {
            self.exit(task, run, ExitKind::LeaseExpired);
        }
    }

    pub(super) fn stop(&mut self, task: TaskKey, run: u32, now: u64) {
        if self.running.contains_key(&(task, run)) {
            if self.stop_ms > 0 {
                self.ending.entry((task, run)).or_insert(now + self.stop_ms);
                return;
            }
            self.exit(task, run, ExitKind::Stopped);
        }
        self.refused.insert((task, run));
    }

    /// Ends the runs whose stop is due.
    pub(super) fn finish_stops(&mut self, now: u64) {
        let is_over = |(_, end): &(&(TaskKey, u32), &u64)| now >= **end;
        let over: Vec<(TaskKey, u32)> =
            self.ending.iter().filter(is_over).map(|(key, _)| *key).collect();
        for (task, run) in over {
            self.ending.remove(&(task, run));
            self.exit(task, run, ExitKind::Stopped);
        }
    }

    /// Ends a run.
    pub fn exit(&mut self, task: TaskKey, run: u32, kind: ExitKind) {
        self.running.remove(&(task, run));
        self.refused.insert((task, run));
        self.next_exit += 1;
        let number = self.next_exit;
        self.exits.push(TaskExit { number, task, run, kind, checkpoint: String::new() });
    }

    pub(super) fn report(&self, now: u64, gauges: &BTreeMap<TaskKey, u64>) -> WorkerReport {
        let running = self.running.iter().map(|((task, run), percent)| RunningTask {
            task: *task,
            run: *run,
            checkpoint: String::new(),
            percent: *percent,
            gauge: gauges.get(task).copied(),
        });
        WorkerReport {
            clock_ms: self.clock_ms(now),
            running: running.collect(),
            exits: self.exits.clone(),
            ..WorkerReport::default()
        }
    }
}
