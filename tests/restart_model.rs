//! Workers that begin anew at any time: starts under way, silence, takeovers, entries and VM lists in drawn orders.
//!
//! Checked: no task runs twice at once. A start that the life before would have refused counts as refused by the next
//! one too, though that has seen no token before its first call. `IBISWEIR_TEST_SEED` and `IBISWEIR_TEST_RUNS` draw other
//! and more histories.

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

/// What may happen next.
const KINDS: [LifeEvent; 12] = [
    LifeEvent::Submit,
    LifeEvent::Submit,
    LifeEvent::TurnLate,
    LifeEvent::TurnSilent,
    LifeEvent::BeginAnew,
    LifeEvent::DeliverLate,
    LifeEvent::MuteRenewals,
    LifeEvent::TakeOver,
    LifeEvent::ShowEntries,
    LifeEvent::ListVms,
    LifeEvent::EndRun,
    LifeEvent::Pause,
];

#[derive(Clone, Copy, Debug)]
enum LifeEvent {
    Submit,
    TurnLate,
    TurnSilent,
    BeginAnew,
    DeliverLate,
    MuteRenewals,
    TakeOver,
    ShowEntries,
    ListVms,
    EndRun,
    Pause,
}

struct LifeHistory {
    sim: SchedulerSim,
    random: StdRng,
    keys: Vec<TaskKey>,
    term: u64,
    told: Vec<String>,
}

impl LifeHistory {
    fn open(seed: u64) -> LifeHistory {
        let entry = |number| worker(&format!("w{number}"), &format!("r{number}"));
        let mut sim =
            SchedulerSim::open_with_incarnations(config(), (1..=WORKERS).map(entry).collect());
        sim.are_restarts_hidden = true;
        let random = StdRng::seed_from_u64(seed);
        LifeHistory { sim, random, keys: Vec::new(), term: 1, told: Vec::new() }
    }

    fn draw_worker(&mut self) -> Arc<str> {
        let drawn = self.random.random_range(0..WORKERS);
        self.sim.workers.keys().nth(drawn).expect("each worker has a life").clone()
    }

    fn play(&mut self, event: LifeEvent, id: &Arc<str>) {
        let worker = self.sim.workers.get_mut(id).expect("known");
        match event {
            LifeEvent::Submit if self.keys.len() < JOBS => {
                let number = self.keys.len() as u64 + 1;
                let job = self.sim.submit(number, job(vec![step(1)]));
                self.keys.push(task(job, 0, 0));
            }
            LifeEvent::TurnLate => worker.is_late = !worker.is_late,
            LifeEvent::TurnSilent => worker.is_silent = !worker.is_silent,
            LifeEvent::BeginAnew => {
                worker.late.retain(|call| call.fence >= worker.fence);
                self.sim.restart_worker(id);
            }
            LifeEvent::DeliverLate => self.sim.deliver_late(id),
            LifeEvent::MuteRenewals => self.sim.are_renewals_muted = !self.sim.are_renewals_muted,
            LifeEvent::TakeOver => {
                self.term += 1;
                self.sim.take_over(self.term, config());
            }
            LifeEvent::ShowEntries => self.sim.show_restarts(),
            LifeEvent::ListVms => self.sim.list_vms(),
            LifeEvent::EndRun => {
                if let Some((key, run)) = worker.running.keys().next().copied() {
                    self.sim.end_run(key, run, id, ExitKind::Done);
                }
            }
            LifeEvent::Submit | LifeEvent::Pause => {}
        }
    }

    /// Plays one event and a pause; a task that runs twice then, if there is one.
    fn step(&mut self) -> Option<TaskKey> {
        let id = self.draw_worker();
        let event = KINDS[self.random.random_range(0..KINDS.len())];
        self.told.push(format!("{} {id} {event:?}", self.sim.now));
        self.play(event, &id);
        let pause = self.random.random_range(0..PAUSE_MS);
        self.doubled().or_else(|| {
            self.sim.advance(pause);
            self.doubled()
        })
    }

    fn doubled(&self) -> Option<TaskKey> {
        self.keys.iter().copied().find(|key| self.sim.alive(*key) > 1)
    }
}

fn number(name: &str, usual: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
}

/// Guards against tasks that run twice as a life of a worker is taken for over, or for another, by what is told of it.
#[test]
fn no_task_runs_twice_in_any_order_of_what_is_told_of_lives() {
    let first = number("IBISWEIR_TEST_SEED", 1);
    let mut broken = Vec::new();
    for seed in first..first + number("IBISWEIR_TEST_RUNS", RUNS) {
        let mut history = LifeHistory::open(seed);
        if let Some(key) = (0..EVENTS).find_map(|_| history.step()) {
            println!("seed {seed}, {key:?} runs twice: {:#?}", history.told);
            broken.push(seed);
        }
    }
    assert!(broken.is_empty(), "broken in {} histories: {broken:?}", broken.len());
}
