//! Service tasks that lose their workers again and again.
//!
//! Checked: each is running again within the bound, however many wait and however often leaders
//! change; no task without fault is given up, and a task that crashes its workers costs no more of
//! them than the bound. `IBISWEIR_TEST_SEED` and `IBISWEIR_TEST_RUNS` select other and more runs;
//! with `--nocapture` each scenario prints what it measured.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ibisweir::jobs::model::{ExitKind, JobId, JobState, ResourceVector, StepSpec, TaskKey};
use ibisweir::jobs::site::SiteConfig;
use ibisweir::scheduler::SchedulerEvent;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use support::sim::{SchedulerSim, config, job, job_id, service_step, step, task, worker};

/// Longest allowed downtime of a service task, in milliseconds.
const DOWN_MAX_MS: u64 = 6_000;
/// Most workers that a task may cost.
const WORKERS_LOST_MAX: usize = 5;
/// Runs in CI of each scenario with tasks that crash their workers; fifty by hand.
const RUNS: u64 = 2;
/// Time between two observations, in milliseconds.
const STEP_MS: u64 = 20;
/// Run time before the first loss, in milliseconds: short enough that the loss counts.
const WARM_UP_MS: u64 = 1_000;
/// Time for all tasks to recover after the last loss, in milliseconds.
const SETTLE_MS: u64 = 30_000;
/// The same where tasks crash their workers.
const CRASH_SETTLE_MS: u64 = 90_000;
/// Time from a crash until the worker's next incarnation is listed, in milliseconds.
const RESTART_MS: u64 = 600;
/// Run time of a short task, in milliseconds.
const SHORT_TASK_MS: u64 = 60;

/// Events in a pool; times in milliseconds.
#[derive(Clone, Copy, Debug)]
struct LossScenario {
    vms: usize,
    /// Service tasks, each a job of its own.
    tasks: u64,
    /// Times that all workers with service tasks are lost.
    losses: u32,
    gap_ms: u64,
    /// Time between two changes of leaders; 0 for none.
    term_ms: u64,
    /// Time between two starts of short tasks; 0 for none.
    arrivals_ms: u64,
    /// Time between two losses of workers without service tasks; 0 for none.
    other_loss_ms: u64,
    /// Service tasks that crash their workers.
    crashing: u64,
    /// Time from their starts to the crashes.
    crash_after_ms: u64,
}

const BASE: LossScenario = LossScenario {
    vms: 4,
    tasks: 6,
    losses: 3,
    gap_ms: 2_000,
    term_ms: 0,
    arrivals_ms: 0,
    other_loss_ms: 0,
    crashing: 0,
    crash_after_ms: 0,
};

/// Measurements of a scenario.
#[derive(Debug, Default)]
struct Outcome {
    /// Longest downtime of a task without fault that was not given up.
    down_ms: u64,
    wrongly_given_up: usize,
    harmless: usize,
    crashing: usize,
    crashing_given_up: usize,
    /// Most workers that one crashing task took.
    workers_lost_max: usize,
    short_tasks_open: usize,
    short_task_age_ms: u64,
    short_tasks: u64,
}

struct ServicePool {
    sim: SchedulerSim,
    scenario: LossScenario,
    random: StdRng,
    services: Vec<TaskKey>,
    short_tasks: BTreeMap<JobId, u64>,
    begun_ms: BTreeMap<(TaskKey, u32), u64>,
    last_running_ms: BTreeMap<TaskKey, u64>,
    down_ms: BTreeMap<TaskKey, u64>,
    /// Workers that have crashed and are not listed again yet, each with the time when it will be.
    unlisted: Vec<(Arc<str>, u64)>,
    short_task_age_ms: u64,
    jobs: u64,
    term: u64,
    next_term_ms: u64,
    next_short_ms: u64,
    next_other_loss_ms: u64,
}

fn one_pool() -> SiteConfig {
    let mut config = config();
    config.pools.retain(|pool| !pool.is_standby);
    config
}

impl ServicePool {
    fn open(scenario: LossScenario, seed: u64) -> ServicePool {
        let entries = (0..scenario.vms).map(|n| worker(&format!("w{n}"), &format!("r{}", n / 4)));
        let mut sim = SchedulerSim::open(one_pool(), entries.collect());
        sim.crash_after_ms = scenario.crash_after_ms;
        ServicePool {
            next_term_ms: sim.now + scenario.term_ms,
            next_short_ms: sim.now,
            next_other_loss_ms: sim.now + scenario.other_loss_ms,
            sim,
            scenario,
            random: StdRng::seed_from_u64(seed),
            services: Vec::new(),
            short_tasks: BTreeMap::new(),
            begun_ms: BTreeMap::new(),
            last_running_ms: BTreeMap::new(),
            down_ms: BTreeMap::new(),
            unlisted: Vec::new(),
            short_task_age_ms: 0,
            jobs: 0,
            term: 1,
        }
    }

    fn submit(&mut self, spec: StepSpec) -> JobId {
        self.jobs += 1;
        self.sim.submit(self.jobs, job(vec![spec]))
    }

    /// Submits the service tasks in random order; the crashing ones crash their workers from the
    /// first start on.
    fn submit_services(&mut self) {
        let mut are_crashing: Vec<bool> = (0..self.scenario.tasks + self.scenario.crashing)
            .map(|number| number >= self.scenario.tasks)
            .collect();
        are_crashing.shuffle(&mut self.random);
        let need = ResourceVector { cpu: 250, memory: 250, accelerators: 0 };
        for is_crashing in are_crashing {
            let key = task(job_id(self.jobs + 1), 0, 0);
            if is_crashing {
                self.sim.crashing_tasks.insert(key);
            }
            self.submit(StepSpec { need, per_worker_max: 0, ..service_step(1) });
            self.services.push(key);
        }
    }

    fn is_crashing(&self, key: &TaskKey) -> bool {
        self.sim.crashing_tasks.contains(key)
    }

    /// Workers with service tasks, or the others.
    fn workers_by(&self, are_hosts: bool) -> Vec<Arc<str>> {
        let is_service = |(task, _): &(TaskKey, u32)| self.services.contains(task);
        let workers = self.sim.workers.iter().filter(|(_, worker)| !worker.is_silent);
        workers
            .filter(|(_, worker)| worker.running.keys().any(is_service) == are_hosts)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Crashes workers; their next incarnations are listed `RESTART_MS` later.
    fn crash_workers(&mut self, ids: Vec<Arc<str>>) {
        for id in ids {
            let worker = self.sim.workers.get_mut(&id).expect("known");
            worker.is_silent = true;
            worker.running.clear();
            self.unlisted.push((id, self.sim.now + RESTART_MS));
        }
    }

    fn list_restarted(&mut self) {
        let now = self.sim.now;
        let (due, unlisted): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.unlisted).into_iter().partition(|(_, at)| *at <= now);
        self.unlisted = unlisted;
        let due: Vec<&str> = due.iter().map(|(id, _)| &**id).collect();
        if !due.is_empty() {
            self.sim.crash_all(&due);
        }
    }

    fn advance(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.sim.advance(STEP_MS);
            self.list_restarted();
            let now = self.sim.now;
            if self.scenario.term_ms > 0 && now >= self.next_term_ms {
                self.next_term_ms += self.scenario.term_ms;
                self.term += 1;
                self.sim.take_over(self.term, one_pool());
            }
            if self.scenario.other_loss_ms > 0 && now >= self.next_other_loss_ms {
                self.next_other_loss_ms += self.scenario.other_loss_ms;
                let others = self.workers_by(false);
                let lost = others.choose(&mut self.random).cloned();
                self.crash_workers(lost.into_iter().collect());
            }
            if self.scenario.arrivals_ms > 0 && now >= self.next_short_ms {
                self.next_short_ms += self.scenario.arrivals_ms;
                let id = self.submit(step(1));
                self.short_tasks.insert(id, now);
            }
            self.observe(now);
        }
    }

    /// Ends short tasks whose time is up, and records which service tasks are running.
    fn observe(&mut self, now: u64) {
        let mut running = BTreeSet::new();
        for worker in self.sim.workers.values_mut().filter(|worker| !worker.is_silent) {
            let mut due = Vec::new();
            for (key, percent) in &mut worker.running {
                let begun = *self.begun_ms.entry(*key).or_insert(now);
                if !self.short_tasks.contains_key(&key.0.job) {
                    *percent = 100;
                    running.insert(key.0);
                } else if now >= begun + SHORT_TASK_MS {
                    due.push(*key);
                }
            }
            due.into_iter().for_each(|(task, run)| worker.exit(task, run, ExitKind::Done));
        }
        let sim = &self.sim;
        self.short_tasks.retain(|id, begun| {
            let is_finished = sim.state(*id).is_some_and(|state| state.is_final());
            self.short_task_age_ms += if is_finished { now - *begun } else { 0 };
            // The entry stays until its runs are gone, so that they are not counted as service
            // tasks.
            !is_finished || sim.alive(task(*id, 0, 0)) > 0
        });
        for key in &self.services {
            let last_running = self.last_running_ms.entry(*key).or_insert(now);
            if running.contains(key) {
                let down = self.down_ms.entry(*key).or_default();
                *down = (*down).max(now - *last_running);
                *last_running = now;
            }
        }
    }

    fn workers_lost(&self, key: TaskKey) -> usize {
        let lost = self.sim.events.iter().filter_map(|event| match event {
            SchedulerEvent::Lost { task, run, .. } if *task == key => Some(*run),
            _ => None,
        });
        let is_begun = |run: &u32| {
            self.sim.started.iter().any(|(task, begun, _)| *task == key && begun == run)
        };
        lost.filter(is_begun).collect::<BTreeSet<u32>>().len()
    }

    fn run(mut self) -> Outcome {
        self.submit_services();
        self.advance(WARM_UP_MS);
        for _ in 0..self.scenario.losses {
            self.crash_workers(self.workers_by(true));
            self.advance(self.scenario.gap_ms);
        }
        self.advance(if self.scenario.crashing > 0 { CRASH_SETTLE_MS } else { SETTLE_MS });
        let mut outcome =
            Outcome { short_tasks_open: self.short_tasks.len(), ..Outcome::default() };
        outcome.short_tasks = self.jobs - u64::try_from(self.services.len()).expect("few");
        outcome.short_task_age_ms = self.short_task_age_ms / outcome.short_tasks.max(1);
        for key in &self.services {
            let is_given_up = self.sim.state(key.job) == Some(JobState::Failed);
            if self.is_crashing(key) {
                outcome.crashing += 1;
                outcome.crashing_given_up += usize::from(is_given_up);
                outcome.workers_lost_max = outcome.workers_lost_max.max(self.workers_lost(*key));
                continue;
            }
            outcome.harmless += 1;
            outcome.wrongly_given_up += usize::from(is_given_up);
            if !is_given_up {
                let open_ms = self.sim.now - self.last_running_ms[key];
                let longest_ms = self.down_ms.get(key).copied().unwrap_or_default().max(open_ms);
                outcome.down_ms = outcome.down_ms.max(longest_ms);
            }
        }
        outcome
    }
}

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Runs scenarios without crashing tasks and checks the downtime.
fn check_recovery(scenarios: &[LossScenario]) {
    let mut violations = Vec::new();
    for scenario in scenarios {
        let outcome = ServicePool::open(*scenario, number("IBISWEIR_TEST_SEED", 1)).run();
        let line = format!("{scenario:?}: {outcome:?}");
        println!("{line}");
        if outcome.down_ms > DOWN_MAX_MS || outcome.wrongly_given_up > 0 {
            violations.push(line);
        }
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Guards against tasks that were lost together and come back one after the other.
#[test]
fn services_that_are_lost_together_run_again_in_time() {
    check_recovery(&[
        LossScenario { losses: 2, ..BASE },
        BASE,
        LossScenario { gap_ms: 4_500, losses: 5, ..BASE },
        LossScenario { gap_ms: 6_000, losses: 5, ..BASE },
        LossScenario { vms: 2, tasks: 3, ..BASE },
        LossScenario { vms: 1, tasks: 3, ..BASE },
        LossScenario { vms: 12, tasks: 20, ..BASE },
        LossScenario { vms: 8, tasks: 4, ..BASE },
    ]);
}

/// Guards against downtime that grows with the number of tasks that were lost.
#[test]
fn many_services_that_are_lost_together_run_again_in_time() {
    check_recovery(&[LossScenario { vms: 40, tasks: 120, ..BASE }]);
}

/// Guards against a wait that starts anew with each leader, in a pool where tasks start all the
/// time.
#[test]
fn services_that_are_lost_between_changes_of_leaders_run_again_in_time() {
    let single = LossScenario { tasks: 1, losses: 4, gap_ms: 8_000, ..BASE };
    check_recovery(&[
        LossScenario { arrivals_ms: 20, ..single },
        LossScenario { term_ms: 3_000, ..single },
        LossScenario { arrivals_ms: 20, term_ms: 3_000, ..single },
        LossScenario { arrivals_ms: 20, term_ms: 3_000, losses: 3, gap_ms: 2_500, ..single },
        LossScenario { arrivals_ms: 20, other_loss_ms: 900, losses: 3, gap_ms: 2_500, ..single },
        LossScenario {
            arrivals_ms: 20,
            other_loss_ms: 900,
            term_ms: 3_000,
            losses: 3,
            gap_ms: 2_500,
            ..single
        },
        LossScenario { term_ms: 3_000, ..BASE },
        LossScenario { term_ms: 1_000, ..BASE },
        LossScenario { arrivals_ms: 20, term_ms: 3_000, ..BASE },
    ]);
}

/// Runs scenarios with tasks that crash their workers, and checks the bound.
fn check_bound(scenarios: &[LossScenario]) {
    let first = number("IBISWEIR_TEST_SEED", 1);
    let mut violations = Vec::new();
    for scenario in scenarios {
        let mut all = Outcome::default();
        for seed in first..first + number("IBISWEIR_TEST_RUNS", RUNS) {
            let outcome = ServicePool::open(*scenario, seed).run();
            all.down_ms = all.down_ms.max(outcome.down_ms);
            all.workers_lost_max = all.workers_lost_max.max(outcome.workers_lost_max);
            all.wrongly_given_up += outcome.wrongly_given_up;
            all.harmless += outcome.harmless;
            all.crashing += outcome.crashing;
            all.crashing_given_up += outcome.crashing_given_up;
            all.short_tasks_open += outcome.short_tasks_open;
            all.short_task_age_ms = all.short_task_age_ms.max(outcome.short_task_age_ms);
            all.short_tasks += outcome.short_tasks;
        }
        let line = format!("{scenario:?}: {all:?}");
        println!("{line}");
        let is_kept =
            all.workers_lost_max <= WORKERS_LOST_MAX && all.crashing_given_up == all.crashing;
        if !is_kept || all.wrongly_given_up > 0 {
            violations.push(line);
        }
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Guards against service tasks that crash their workers, early or late, one or many, and against
/// neighbours that are given up in their place.
#[test]
fn services_that_crash_their_workers_are_bounded() {
    for crash_after_ms in [10, 700, 3_000] {
        check_bound(&crash_scenarios(crash_after_ms, &[(4, 1), (12, 1), (12, 6)]));
    }
    check_bound(&crash_scenarios(10, &[(4, 6)]));
}

/// Guards against the same where half of the service tasks crash their workers, and there are three
/// of them for each VM.
#[test]
fn services_of_which_half_crash_a_small_pool_are_bounded() {
    let scenarios = [700, 3_000].map(|crash_after_ms| crash_scenarios(crash_after_ms, &[(4, 6)]));
    check_bound(&scenarios.concat());
}

/// Scenarios with these numbers of VMs and crashing tasks, in idle pools and in busy ones.
fn crash_scenarios(crash_after_ms: u64, sizes: &[(usize, u64)]) -> Vec<LossScenario> {
    let scenario = |(vms, crashing): (usize, u64), arrivals_ms| LossScenario {
        losses: 0,
        vms,
        crashing,
        crash_after_ms,
        arrivals_ms,
        ..BASE
    };
    sizes.iter().flat_map(|size| [0, 100].map(|arrivals_ms| scenario(*size, arrivals_ms))).collect()
}

/// Guards against the same where leaders change all the time, so that none sees how long a run has
/// been running.
#[test]
fn services_that_crash_their_workers_are_bounded_across_leaders() {
    let mut scenarios = Vec::new();
    for term_ms in [1_000, 3_000] {
        for crash_after_ms in [10, 700, 3_000] {
            let scenarios_of_term = crash_scenarios(crash_after_ms, &[(4, 1), (12, 6)]);
            scenarios.extend(
                scenarios_of_term.iter().map(|scenario| LossScenario { term_ms, ..*scenario }),
            );
        }
    }
    check_bound(&scenarios);
}

/// Guards against a pool that takes no starts for seconds after a change of leaders because service
/// tasks that once lost workers are on all of its VMs.
#[test]
fn a_pool_full_of_services_takes_starts_from_the_next_leader() {
    let mut pool = ServicePool::open(BASE, 1);
    pool.submit_services();
    pool.advance(WARM_UP_MS);
    for _ in 0..BASE.losses {
        pool.crash_workers(pool.workers_by(true));
        pool.advance(BASE.gap_ms);
    }
    pool.advance(SETTLE_MS);
    assert!(pool.workers_by(false).is_empty(), "they are on all VMs");
    pool.sim.take_over(2, one_pool());
    pool.sim.advance(100);
    let id = pool.submit(step(1));
    pool.sim.advance(300);
    assert_eq!(pool.sim.starts(task(id, 0, 0)), 1);
}
