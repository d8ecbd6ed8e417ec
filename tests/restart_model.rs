//! Workers that restart at any time: starts in flight, silence, takeovers, entries and VM lists in
//! random orders.
//!
//! Checked: no task runs twice at once. A start that the previous incarnation would have refused
//! counts as refused by the next one too, although that one has seen no token before its first
//! call. `IBISWEIR_TEST_SEED` and `IBISWEIR_TEST_RUNS` select other and more histories.

mod support;

use std::sync::Arc;

use ibisweir::jobs::model::{ExitKind, TaskKey};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::sim::{SchedulerSim, config, job, step, task, worker};

/// Histories in CI.
const RUNS: u64 = 250;
/// Events in a history.
const EVENTS: usize = 60;
/// Longest pause between two events, in milliseconds.
const PAUSE_MS: u64 = 400;
const WORKERS: usize = 3;
const JOBS: usize = 6;

/// Events to draw from.
const KINDS: [WorkerEvent; 12] = [
    WorkerEvent::Submit,
    WorkerEvent::Submit,
    WorkerEvent::TurnLate,
    WorkerEvent::TurnSilent,
    WorkerEvent::Restart,
    WorkerEvent::DeliverLate,
    WorkerEvent::MuteRenewals,
    WorkerEvent::TakeOver,
    WorkerEvent::ShowEntries,
    WorkerEvent::ListVms,
    WorkerEvent::EndRun,
    WorkerEvent::Pause,
];

#[derive(Clone, Copy, Debug)]
enum WorkerEvent {
    Submit,
    TurnLate,
    TurnSilent,
    Restart,
    DeliverLate,
    MuteRenewals,
    TakeOver,
    ShowEntries,
    ListVms,
    EndRun,
    Pause,
}

struct EventHistory {
    sim: SchedulerSim,
    random: StdRng,
    keys: Vec<TaskKey>,
    term: u64,
    events: Vec<String>,
}

impl EventHistory {
    fn open(seed: u64) -> EventHistory {
        let entry = |number| worker(&format!("w{number}"), &format!("r{number}"));
        let mut sim =
            SchedulerSim::open_with_incarnations(config(), (1..=WORKERS).map(entry).collect());
        sim.are_restarts_hidden = true;
        let random = StdRng::seed_from_u64(seed);
        EventHistory { sim, random, keys: Vec::new(), term: 1, events: Vec::new() }
    }

    fn draw_worker(&mut self) -> Arc<str> {
        let drawn = self.random.random_range(0..WORKERS);
        self.sim.workers.keys().nth(drawn).expect("each worker has an incarnation").clone()
    }

    fn play(&mut self, event: WorkerEvent, id: &Arc<str>) {
        let worker = self.sim.workers.get_mut(id).expect("known");
        match event {
            WorkerEvent::Submit if self.keys.len() < JOBS => {
                let number = self.keys.len() as u64 + 1;
                let job = self.sim.submit(number, job(vec![step(1)]));
                self.keys.push(task(job, 0, 0));
            }
            WorkerEvent::TurnLate => worker.is_late = !worker.is_late,
            WorkerEvent::TurnSilent => worker.is_silent = !worker.is_silent,
            WorkerEvent::Restart => {
                worker.late.retain(|call| call.fence >= worker.fence);
                self.sim.restart_worker(id);
            }
            WorkerEvent::DeliverLate => self.sim.deliver_late(id),
            WorkerEvent::MuteRenewals => self.sim.are_renewals_muted = !self.sim.are_renewals_muted,
            WorkerEvent::TakeOver => {
                self.term += 1;
                self.sim.take_over(self.term, config());
            }
            WorkerEvent::ShowEntries => self.sim.show_restarts(),
            WorkerEvent::ListVms => self.sim.list_vms(),
            WorkerEvent::EndRun => {
                if let Some((key, run)) = worker.running.keys().next().copied() {
                    self.sim.end_run(key, run, id, ExitKind::Done);
                }
            }
            WorkerEvent::Submit | WorkerEvent::Pause => {}
        }
    }

    /// Plays one event and a pause; returns a task that then runs twice, if there is one.
    fn step(&mut self) -> Option<TaskKey> {
        let id = self.draw_worker();
        let event = KINDS[self.random.random_range(0..KINDS.len())];
        self.events.push(format!("{} {id} {event:?}", self.sim.now));
        self.play(event, &id);
        let pause = self.random.random_range(0..PAUSE_MS);
        self.doubled_task().or_else(|| {
            self.sim.advance(pause);
            self.doubled_task()
        })
    }

    fn doubled_task(&self) -> Option<TaskKey> {
        self.keys.iter().copied().find(|key| self.sim.alive(*key) > 1)
    }
}

fn env_number(name: &str, usual: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
}

/// Guards against tasks that run twice because reports make an incarnation of a worker look ended,
/// or look like another one.
#[test]
fn no_task_runs_twice_in_any_order_of_events() {
    let first = env_number("IBISWEIR_TEST_SEED", 1);
    let mut broken = Vec::new();
    for seed in first..first + env_number("IBISWEIR_TEST_RUNS", RUNS) {
        let mut history = EventHistory::open(seed);
        if let Some(key) = (0..EVENTS).find_map(|_| history.step()) {
            println!("seed {seed}, {key:?} runs twice: {:#?}", history.events);
            broken.push(seed);
        }
    }
    assert!(broken.is_empty(), "broken in {} histories: {broken:?}", broken.len());
}
