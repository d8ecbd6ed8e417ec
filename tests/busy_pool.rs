//! Pools in which tasks start all the time, so that something is starting on nearly every worker
//! that is lost.
//!
//! Checked: a task without fault that was on several of the lost workers is served, and a task that
//! crashes its workers costs no more of them than the limit, whatever else starts or is lost there.
//! `IBISWEIR_TEST_SEED` and `IBISWEIR_TEST_RUNS` select other and more runs; with `--nocapture`
//! each scenario prints how long jobs took.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ibisweir::jobs::model::{ExitKind, JobId, JobState, StepSpec, TaskKey};
use ibisweir::jobs::site::SiteConfig;
use ibisweir::scheduler::SchedulerEvent;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::sim::{SchedulerSim, config, job, job_id, step, task, worker};

/// Runs of each scenario in CI; two hundred when run by hand.
const RUNS: u64 = 10;
/// Workers that a task may cost: after three crashes it may be started twice more.
const LOSSES_MAX: usize = 5;
/// Time between two checks for finished runs, in milliseconds.
const STEP_MS: u64 = 20;
/// Run time of a short task, in milliseconds.
const SHORT_MS: u64 = 60;
/// Time for all jobs to end after the last loss, in milliseconds.
const SETTLE_MS: u64 = 120_000;
/// Time between two jobs of short tasks, in milliseconds.
const ARRIVALS_MS: u64 = 700;

/// Load and failures of a pool; times in milliseconds.
#[derive(Clone, Copy, Debug)]
struct BusyScenario {
    vms: usize,
    /// Run time of the tracked tasks, in one run.
    work_ms: u64,
    /// Tracked tasks without fault.
    tracked: u64,
    /// Time for which workers are lost.
    loss_period_ms: u64,
    /// Time between two losses; 0 if only tasks that crash their workers cause any.
    loss_interval_ms: u64,
    /// Time from the start of the short tasks to the loss.
    loss_delay_ms: u64,
    /// Whether short tasks start all the time.
    is_busy: bool,
    /// Time between two changes of leaders; 0 for none.
    term_ms: u64,
    /// Tasks that crash their workers.
    crashing: u64,
    /// Time from their starts to the crashes.
    crash_after_ms: u64,
}

/// One worker of four is lost every 0.7 s, at the moment when tasks start on all of them.
const STARTS_DURING_LOSSES: BusyScenario = BusyScenario {
    vms: 4,
    work_ms: 6_000,
    tracked: 1,
    loss_period_ms: 10_000,
    loss_interval_ms: 700,
    loss_delay_ms: 0,
    is_busy: true,
    term_ms: 0,
    crashing: 0,
    crash_after_ms: 10,
};

/// Tasks that crash their workers in a busy pool that loses none otherwise.
const CRASHING_TASKS: BusyScenario = BusyScenario {
    work_ms: 1_500,
    tracked: 4,
    loss_interval_ms: 0,
    crashing: 1,
    ..STARTS_DURING_LOSSES
};

/// Results of a scenario's runs.
#[derive(Debug, Default)]
struct Tally {
    /// Jobs without fault.
    faultless: usize,
    /// Those that were given up.
    wrongly_given_up: usize,
    /// Jobs that never ended.
    open: usize,
    /// Ages at which the jobs without fault ended, in milliseconds.
    ages_ms: Vec<u64>,
    /// The same for the tracked ones.
    tracked_ages_ms: Vec<u64>,
    /// Ages at which jobs that crash workers were given up, in milliseconds.
    crashing_ages_ms: Vec<u64>,
    crashing: usize,
    given_up: usize,
    max_cost: usize,
}

impl Tally {
    fn line(&mut self) -> String {
        let ages = |all: &mut Vec<u64>| {
            all.sort_unstable();
            let mean = all.iter().sum::<u64>() / u64::try_from(all.len().max(1)).expect("few");
            let tail = all.get(all.len() * 99 / 100).copied().unwrap_or_default();
            format!("{mean}/{tail}/{}", all.last().copied().unwrap_or_default())
        };
        format!(
            "wrongly given up {} of {}, open {}; crashing given up {} of {}, most workers {}; \
             age (mean/p99/max) all {}, tracked {}, crashing {}",
            self.wrongly_given_up,
            self.faultless,
            self.open,
            self.given_up,
            self.crashing,
            self.max_cost,
            ages(&mut self.ages_ms),
            ages(&mut self.tracked_ages_ms),
            ages(&mut self.crashing_ages_ms),
        )
    }
}

struct BusyPool {
    sim: SchedulerSim,
    random: StdRng,
    scenario: BusyScenario,
    /// Run time of each job's tasks; `None` for those that crash their workers.
    work_ms: BTreeMap<JobId, Option<u64>>,
    tracked: BTreeSet<JobId>,
    submitted_ms: BTreeMap<JobId, u64>,
    /// When each run was first seen.
    begun_ms: BTreeMap<(TaskKey, u32), u64>,
    ended: BTreeMap<JobId, (JobState, u64)>,
    term: u64,
}

fn one_pool() -> SiteConfig {
    let mut config = config();
    config.pools.retain(|pool| !pool.is_standby);
    config
}

impl BusyPool {
    fn open(scenario: BusyScenario, seed: u64) -> BusyPool {
        let entries = (0..scenario.vms).map(|n| worker(&format!("w{n}"), &format!("r{}", n / 4)));
        let mut sim = SchedulerSim::open(one_pool(), entries.collect());
        sim.crash_after_ms = scenario.crash_after_ms;
        BusyPool {
            sim,
            random: StdRng::seed_from_u64(seed),
            scenario,
            work_ms: BTreeMap::new(),
            tracked: BTreeSet::new(),
            submitted_ms: BTreeMap::new(),
            begun_ms: BTreeMap::new(),
            ended: BTreeMap::new(),
            term: 1,
        }
    }

    fn submit(&mut self, steps: StepSpec, work_ms: Option<u64>) -> JobId {
        let number = u64::try_from(self.work_ms.len()).expect("few jobs") + 1;
        let id = job_id(number);
        self.work_ms.insert(id, work_ms);
        self.submitted_ms.insert(id, self.sim.now);
        if work_ms.is_none() {
            self.sim.crashing_tasks.insert(task(id, 0, 0));
        }
        self.sim.submit(number, job(vec![steps]));
        id
    }

    fn submit_short(&mut self) {
        let count = u32::try_from(self.scenario.vms).expect("few");
        let spread = StepSpec { per_worker_max: 1, ..step(count) };
        self.submit(spread, Some(self.scenario.loss_delay_ms + SHORT_MS));
    }

    fn lose_one(&mut self) {
        let ids: Vec<Arc<str>> = self.sim.workers.keys().cloned().collect();
        let id = ids[self.random.random_range(0..ids.len())].clone();
        self.sim.crash(&id);
    }

    /// Advances the time and completes the runs that are through.
    fn advance(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.sim.advance(STEP_MS);
            let now = self.sim.now;
            for worker in self.sim.workers.values_mut().filter(|worker| !worker.is_silent) {
                let mut over: Vec<(TaskKey, u32)> = Vec::new();
                for (key, percent) in &mut worker.running {
                    let begun = *self.begun_ms.entry(*key).or_insert(now);
                    let Some(work_ms) = self.work_ms[&key.0.job] else { continue };
                    let done = (now - begun) * 100 / work_ms;
                    *percent = u32::try_from(done.min(100)).expect("a share");
                    if done >= 100 {
                        over.push(*key);
                    }
                }
                over.into_iter().for_each(|(task, run)| worker.exit(task, run, ExitKind::Done));
            }
            self.record_results();
        }
    }

    fn record_results(&mut self) {
        for (id, begun) in &self.submitted_ms {
            if self.ended.contains_key(id) {
                continue;
            }
            if let Some(state) = self.sim.state(*id).filter(|state| state.is_final()) {
                self.ended.insert(*id, (state, self.sim.now - begun));
            }
        }
    }

    /// Runs of a task that ended with their workers, for any reason.
    fn workers_lost(&self, key: TaskKey) -> usize {
        let lost = self.sim.events.iter().filter_map(|note| match note {
            SchedulerEvent::Lost { task, run, .. } if *task == key => Some(*run),
            _ => None,
        });
        let is_begun = |run: &u32| {
            self.sim.started.iter().any(|(task, begun, _)| *task == key && begun == run)
        };
        lost.filter(is_begun).collect::<BTreeSet<u32>>().len()
    }

    fn run(&mut self, tally: &mut Tally) {
        let scenario = self.scenario;
        self.advance(200);
        for _ in 0..scenario.tracked {
            let id = self.submit(step(1), Some(scenario.work_ms));
            self.tracked.insert(id);
        }
        for _ in 0..scenario.crashing {
            self.submit(step(1), None);
        }
        // Without other losses, jobs keep arriving until the tasks that crash workers have long
        // been identified.
        let length_ms =
            if scenario.loss_interval_ms > 0 { scenario.loss_period_ms } else { SETTLE_MS / 2 };
        let begun = self.sim.now;
        let (mut arrival, mut loss, mut term) = (0, scenario.loss_delay_ms, scenario.term_ms);
        while self.sim.now < begun + length_ms {
            let elapsed = self.sim.now - begun;
            if scenario.is_busy && elapsed >= arrival {
                arrival += if scenario.loss_interval_ms > 0 {
                    scenario.loss_interval_ms
                } else {
                    ARRIVALS_MS
                };
                self.submit_short();
            }
            if scenario.loss_interval_ms > 0 && elapsed >= loss {
                loss += scenario.loss_interval_ms;
                self.lose_one();
            }
            if scenario.term_ms > 0 && elapsed >= term {
                term += scenario.term_ms;
                self.term += 1;
                self.sim.take_over(self.term, one_pool());
            }
            self.advance(STEP_MS);
        }
        self.advance(SETTLE_MS);
        self.count(tally);
    }

    fn count(&self, tally: &mut Tally) {
        for (id, work_ms) in &self.work_ms {
            let Some((state, age_ms)) = self.ended.get(id).copied() else {
                tally.open += 1;
                continue;
            };
            let is_given_up = state == JobState::Failed;
            if work_ms.is_none() {
                tally.crashing += 1;
                tally.given_up += usize::from(is_given_up);
                tally.max_cost = tally.max_cost.max(self.workers_lost(task(*id, 0, 0)));
                tally.crashing_ages_ms.push(age_ms);
                continue;
            }
            tally.faultless += 1;
            tally.wrongly_given_up += usize::from(is_given_up);
            tally.ages_ms.push(age_ms);
            if self.tracked.contains(id) {
                tally.tracked_ages_ms.push(age_ms);
            }
        }
    }
}

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Runs the scenarios and checks both limits.
fn check(scenarios: &[BusyScenario]) {
    let first = env_number("IBISWEIR_TEST_SEED", 1);
    let mut failures = Vec::new();
    for scenario in scenarios {
        let mut tally = Tally::default();
        for seed in first..first + env_number("IBISWEIR_TEST_RUNS", RUNS) {
            BusyPool::open(*scenario, seed).run(&mut tally);
        }
        let line = format!("{scenario:?}: {}", tally.line());
        println!("{line}");
        let is_passed = tally.wrongly_given_up == 0
            && tally.open == 0
            && tally.given_up == tally.crashing
            && tally.max_cost <= LOSSES_MAX;
        if !is_passed {
            failures.push(line);
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against a pool that counts as stable because something is starting on each worker that it
/// loses.
#[test]
fn a_busy_pool_that_loses_workers_does_not_look_stable() {
    check(&[
        STARTS_DURING_LOSSES,
        BusyScenario { work_ms: 3_000, ..STARTS_DURING_LOSSES },
        BusyScenario { loss_period_ms: 20_000, ..STARTS_DURING_LOSSES },
        BusyScenario { term_ms: 3_000, ..STARTS_DURING_LOSSES },
        BusyScenario { vms: 2, ..STARTS_DURING_LOSSES },
        BusyScenario { vms: 12, loss_interval_ms: 300, ..STARTS_DURING_LOSSES },
    ]);
}

/// Guards against the same where nothing is starting when workers are lost.
#[test]
fn a_pool_that_loses_workers_after_the_starts_does_not_look_stable() {
    check(&[
        BusyScenario { loss_delay_ms: 300, ..STARTS_DURING_LOSSES },
        BusyScenario { loss_delay_ms: 300, vms: 2, ..STARTS_DURING_LOSSES },
        BusyScenario { loss_delay_ms: 300, term_ms: 3_000, ..STARTS_DURING_LOSSES },
        BusyScenario { loss_delay_ms: 300, loss_period_ms: 20_000, ..STARTS_DURING_LOSSES },
    ]);
}

/// Guards against tasks that crash their workers, early or late, alone or many at a time, for as
/// long as others start there; and against neighbours that are given up for it.
#[test]
fn tasks_that_crash_their_workers_are_limited_in_busy_pools() {
    let mut scenarios = Vec::new();
    for crash_after_ms in [10, 700, 3_000] {
        for crashing in [1, 6] {
            for is_busy in [true, false] {
                scenarios.push(BusyScenario {
                    crash_after_ms,
                    crashing,
                    is_busy,
                    ..CRASHING_TASKS
                });
            }
        }
        scenarios.push(BusyScenario {
            crash_after_ms,
            crashing: 6,
            loss_interval_ms: 1_400,
            ..CRASHING_TASKS
        });
    }
    check(&scenarios);
}
