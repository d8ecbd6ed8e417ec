//! Tasks that last and lose their workers again and again.
//!
//! Checked: each is at work again within the bound, however many wait, and however often leaders change; none without
//! fault is given up, and one that crashes its workers costs no more of them than the bound. `IBISWEIR_TEST_SEED` and
//! `IBISWEIR_TEST_RUNS` draw other and more runs; with `--nocapture` each scene tells what it measured.

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

/// Time from its last run within which a task that lasts must run again, in milliseconds.
const AWAY_MAX_MS: u64 = 6_000;
/// Workers that a task may cost.
const BOUND: usize = 5;
/// Runs of each scene with tasks that crash their workers in CI; by hand fifty.
const RUNS: u64 = 2;
/// Time between two looks, in milliseconds.
const STEP_MS: u64 = 20;
/// Time for which all work before the first loss: short enough that it counts.
const WARM_UP_MS: u64 = 1_000;
/// Time for everybody to come back after the last loss.
const SETTLE_MS: u64 = 30_000;
/// The same where tasks crash their workers.
const BAD_SETTLE_MS: u64 = 90_000;
/// Time from a crash until its next life is listed, in milliseconds.
const NOTICE_MS: u64 = 600;
/// Time that a short task works, in milliseconds.
const SHORT_MS: u64 = 60;

/// What happens in a pool; times in milliseconds.
#[derive(Clone, Copy, Debug)]
struct LossScene {
    vms: usize,
    /// Tasks that last, each a job of its own.
    tasks: u64,
    /// Times that all workers which host them are lost.
    losses: u32,
    gap_ms: u64,
    /// Time between two changes of leaders; 0 for none.
    term_ms: u64,
    /// Time between two starts of short tasks; 0 for none.
    arrivals_ms: u64,
    /// Time between two losses of workers that host no task that lasts; 0 for none.
    unrest_ms: u64,
    /// Tasks that last and crash their workers.
    bad: u64,
    /// Time from their starts to the crashes.
    crash_after_ms: u64,
}

const CALM: LossScene = LossScene {
    vms: 4,
    tasks: 6,
    losses: 3,
    gap_ms: 2_000,
    term_ms: 0,
    arrivals_ms: 0,
    unrest_ms: 0,
    bad: 0,
    crash_after_ms: 0,
};

/// What a scene has shown.
#[derive(Debug, Default)]
struct Outcome {
    /// Longest time without a run, of those without fault that were not given up.
    away_ms: u64,
    wronged: usize,
    innocent: usize,
    bad: usize,
    bad_given_up: usize,
    /// Most workers that one bad task took.
    cost: usize,
    short_open: usize,
    short_age_ms: u64,
    short: u64,
}

struct LastingPool {
    sim: SchedulerSim,
    scene: LossScene,
    random: StdRng,
    lasting: Vec<TaskKey>,
    short: BTreeMap<JobId, u64>,
    begun_ms: BTreeMap<(TaskKey, u32), u64>,
    seen_ms: BTreeMap<TaskKey, u64>,
    away_ms: BTreeMap<TaskKey, u64>,
    /// Workers that have crashed and are not listed anew, with the time for it.
    dark: Vec<(Arc<str>, u64)>,
    short_age_ms: u64,
    jobs: u64,
    term: u64,
    next_term_ms: u64,
    next_short_ms: u64,
    next_unrest_ms: u64,
}

fn one_pool() -> SiteConfig {
    let mut config = config();
    config.pools.retain(|pool| !pool.is_standby);
    config
}

impl LastingPool {
    fn open(scene: LossScene, seed: u64) -> LastingPool {
        let entries = (0..scene.vms).map(|n| worker(&format!("w{n}"), &format!("r{}", n / 4)));
        let mut sim = SchedulerSim::open(one_pool(), entries.collect());
        sim.crash_after_ms = scene.crash_after_ms;
        LastingPool {
            next_term_ms: sim.now + scene.term_ms,
            next_short_ms: sim.now,
            next_unrest_ms: sim.now + scene.unrest_ms,
            sim,
            scene,
            random: StdRng::seed_from_u64(seed),
            lasting: Vec::new(),
            short: BTreeMap::new(),
            begun_ms: BTreeMap::new(),
            seen_ms: BTreeMap::new(),
            away_ms: BTreeMap::new(),
            dark: Vec::new(),
            short_age_ms: 0,
            jobs: 0,
            term: 1,
        }
    }

    fn submit(&mut self, spec: StepSpec) -> JobId {
        self.jobs += 1;
        self.sim.submit(self.jobs, job(vec![spec]))
    }

    /// Hands in the tasks that last, in any order; the bad ones begin to crash their workers with the first start.
    fn submit_lasting(&mut self) {
        let mut are_bad: Vec<bool> = (0..self.scene.tasks + self.scene.bad)
            .map(|number| number >= self.scene.tasks)
            .collect();
        are_bad.shuffle(&mut self.random);
        let need = ResourceVector { cpu: 250, memory: 250, accelerators: 0 };
        for is_bad in are_bad {
            let key = task(job_id(self.jobs + 1), 0, 0);
            if is_bad {
                self.sim.crashing_tasks.insert(key);
            }
            self.submit(StepSpec { need, per_worker_max: 0, ..service_step(1) });
            self.lasting.push(key);
        }
    }

    fn is_bad(&self, key: &TaskKey) -> bool {
        self.sim.crashing_tasks.contains(key)
    }

    /// Workers that host tasks that last, or the others.
    fn workers_by(&self, are_hosts: bool) -> Vec<Arc<str>> {
        let is_lasting = |(task, _): &(TaskKey, u32)| self.lasting.contains(task);
        let workers = self.sim.workers.iter().filter(|(_, worker)| !worker.is_silent);
        workers
            .filter(|(_, worker)| worker.running.keys().any(is_lasting) == are_hosts)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Workers crash; their next lives are listed a while later.
    fn lose(&mut self, ids: Vec<Arc<str>>) {
        for id in ids {
            let worker = self.sim.workers.get_mut(&id).expect("known");
            worker.is_silent = true;
            worker.running.clear();
            self.dark.push((id, self.sim.now + NOTICE_MS));
        }
    }

    fn list_lost(&mut self) {
        let now = self.sim.now;
        let (over, dark): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.dark).into_iter().partition(|(_, at)| *at <= now);
        self.dark = dark;
        let over: Vec<&str> = over.iter().map(|(id, _)| &**id).collect();
        if !over.is_empty() {
            self.sim.crash_all(&over);
        }
    }

    fn go_on(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.sim.advance(STEP_MS);
            self.list_lost();
            let now = self.sim.now;
            if self.scene.term_ms > 0 && now >= self.next_term_ms {
                self.next_term_ms += self.scene.term_ms;
                self.term += 1;
                self.sim.take_over(self.term, one_pool());
            }
            if self.scene.unrest_ms > 0 && now >= self.next_unrest_ms {
                self.next_unrest_ms += self.scene.unrest_ms;
                let others = self.workers_by(false);
                let lost = others.choose(&mut self.random).cloned();
                self.lose(lost.into_iter().collect());
            }
            if self.scene.arrivals_ms > 0 && now >= self.next_short_ms {
                self.next_short_ms += self.scene.arrivals_ms;
                let id = self.submit(step(1));
                self.short.insert(id, now);
            }
            self.look(now);
        }
    }

    /// Ends what is through, and takes note of who runs.
    fn look(&mut self, now: u64) {
        let mut running = BTreeSet::new();
        for worker in self.sim.workers.values_mut().filter(|worker| !worker.is_silent) {
            let mut over = Vec::new();
            for (key, percent) in &mut worker.running {
                let begun = *self.begun_ms.entry(*key).or_insert(now);
                if !self.short.contains_key(&key.0.job) {
                    *percent = 100;
                    running.insert(key.0);
                } else if now >= begun + SHORT_MS {
                    over.push(*key);
                }
            }
            over.into_iter().for_each(|(task, run)| worker.exit(task, run, ExitKind::Done));
        }
        let sim = &self.sim;
        self.short.retain(|id, begun| {
            let is_over = sim.state(*id).is_some_and(|state| state.is_final());
            self.short_age_ms += if is_over { now - *begun } else { 0 };
            // The entry stays until its runs are gone, so that they aren't taken for lasting ones.
            !is_over || sim.alive(task(*id, 0, 0)) > 0
        });
        for key in &self.lasting {
            let seen = self.seen_ms.entry(*key).or_insert(now);
            if running.contains(key) {
                let away = self.away_ms.entry(*key).or_default();
                *away = (*away).max(now - *seen);
                *seen = now;
            }
        }
    }

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

    fn run(mut self) -> Outcome {
        self.submit_lasting();
        self.go_on(WARM_UP_MS);
        for _ in 0..self.scene.losses {
            self.lose(self.workers_by(true));
            self.go_on(self.scene.gap_ms);
        }
        self.go_on(if self.scene.bad > 0 { BAD_SETTLE_MS } else { SETTLE_MS });
        let mut outcome = Outcome { short_open: self.short.len(), ..Outcome::default() };
        outcome.short = self.jobs - u64::try_from(self.lasting.len()).expect("few");
        outcome.short_age_ms = self.short_age_ms / outcome.short.max(1);
        for key in &self.lasting {
            let is_given_up = self.sim.state(key.job) == Some(JobState::Failed);
            if self.is_bad(key) {
                outcome.bad += 1;
                outcome.bad_given_up += usize::from(is_given_up);
                outcome.cost = outcome.cost.max(self.workers_lost(*key));
                continue;
            }
            outcome.innocent += 1;
            outcome.wronged += usize::from(is_given_up);
            if !is_given_up {
                let open_ms = self.sim.now - self.seen_ms[key];
                let longest_ms = self.away_ms.get(key).copied().unwrap_or_default().max(open_ms);
                outcome.away_ms = outcome.away_ms.max(longest_ms);
            }
        }
        outcome
    }
}

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Plays scenes in which nobody is to blame and checks the time away.
fn check_back(scenes: &[LossScene]) {
    let mut faults = Vec::new();
    for scene in scenes {
        let outcome = LastingPool::open(*scene, number("IBISWEIR_TEST_SEED", 1)).run();
        let line = format!("{scene:?}: {outcome:?}");
        println!("{line}");
        if outcome.away_ms > AWAY_MAX_MS || outcome.wronged > 0 {
            faults.push(line);
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// Guards against tasks that were lost together and come back one after the other.
#[test]
fn lasting_tasks_that_are_lost_together_run_again_in_time() {
    check_back(&[
        LossScene { losses: 2, ..CALM },
        CALM,
        LossScene { gap_ms: 4_500, losses: 5, ..CALM },
        LossScene { gap_ms: 6_000, losses: 5, ..CALM },
        LossScene { vms: 2, tasks: 3, ..CALM },
        LossScene { vms: 1, tasks: 3, ..CALM },
        LossScene { vms: 12, tasks: 20, ..CALM },
        LossScene { vms: 8, tasks: 4, ..CALM },
    ]);
}

/// Guards against a wait that grows with the number of tasks that were lost.
#[test]
fn many_lasting_tasks_that_are_lost_together_run_again_in_time() {
    check_back(&[LossScene { vms: 40, tasks: 120, ..CALM }]);
}

/// Guards against a wait that begins anew with each leader, in a pool where tasks start all the time.
#[test]
fn lasting_tasks_that_are_lost_between_changes_of_leaders_run_again_in_time() {
    let lone = LossScene { tasks: 1, losses: 4, gap_ms: 8_000, ..CALM };
    check_back(&[
        LossScene { arrivals_ms: 20, ..lone },
        LossScene { term_ms: 3_000, ..lone },
        LossScene { arrivals_ms: 20, term_ms: 3_000, ..lone },
        LossScene { arrivals_ms: 20, term_ms: 3_000, losses: 3, gap_ms: 2_500, ..lone },
        LossScene { arrivals_ms: 20, unrest_ms: 900, losses: 3, gap_ms: 2_500, ..lone },
        LossScene {
            arrivals_ms: 20,
            unrest_ms: 900,
            term_ms: 3_000,
            losses: 3,
            gap_ms: 2_500,
            ..lone
        },
        LossScene { term_ms: 3_000, ..CALM },
        LossScene { term_ms: 1_000, ..CALM },
        LossScene { arrivals_ms: 20, term_ms: 3_000, ..CALM },
    ]);
}

/// Plays scenes with tasks that crash their workers, and checks the bound.
fn check_bound(scenes: &[LossScene]) {
    let first = number("IBISWEIR_TEST_SEED", 1);
    let mut faults = Vec::new();
    for scene in scenes {
        let mut all = Outcome::default();
        for seed in first..first + number("IBISWEIR_TEST_RUNS", RUNS) {
            let outcome = LastingPool::open(*scene, seed).run();
            all.away_ms = all.away_ms.max(outcome.away_ms);
            all.cost = all.cost.max(outcome.cost);
            all.wronged += outcome.wronged;
            all.innocent += outcome.innocent;
            all.bad += outcome.bad;
            all.bad_given_up += outcome.bad_given_up;
            all.short_open += outcome.short_open;
            all.short_age_ms = all.short_age_ms.max(outcome.short_age_ms);
            all.short += outcome.short;
        }
        let line = format!("{scene:?}: {all:?}");
        println!("{line}");
        let is_kept = all.cost <= BOUND && all.bad_given_up == all.bad;
        if !is_kept || all.wronged > 0 {
            faults.push(line);
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// Guards against tasks that last and crash their workers, early or late, one or many, and against their neighbours that
/// are given up for it.
#[test]
fn lasting_tasks_that_crash_their_workers_are_bounded() {
    for crash_after_ms in [10, 700, 3_000] {
        check_bound(&bad_scenes(crash_after_ms, &[(4, 1), (12, 1), (12, 6)]));
    }
    check_bound(&bad_scenes(10, &[(4, 6)]));
}

/// Guards against the same where half of the tasks that last crash their workers, and there are three for each VM.
#[test]
fn lasting_tasks_of_which_half_crash_a_small_pool_are_bounded() {
    let scenes = [700, 3_000].map(|crash_after_ms| bad_scenes(crash_after_ms, &[(4, 6)]));
    check_bound(&scenes.concat());
}

/// Scenes with so many VMs and tasks that crash their workers, in calm pools and in busy ones.
fn bad_scenes(crash_after_ms: u64, sizes: &[(usize, u64)]) -> Vec<LossScene> {
    let scene = |(vms, bad): (usize, u64), arrivals_ms| LossScene {
        losses: 0,
        vms,
        bad,
        crash_after_ms,
        arrivals_ms,
        ..CALM
    };
    sizes.iter().flat_map(|size| [0, 100].map(|arrivals_ms| scene(*size, arrivals_ms))).collect()
}

/// Guards against the same where leaders change all the time: none sees how long a run has been at work.
#[test]
fn lasting_tasks_that_crash_their_workers_are_bounded_across_leaders() {
    let mut scenes = Vec::new();
    for term_ms in [1_000, 3_000] {
        for crash_after_ms in [10, 700, 3_000] {
            let scenes_of_a_term = bad_scenes(crash_after_ms, &[(4, 1), (12, 6)]);
            scenes.extend(scenes_of_a_term.iter().map(|scene| LossScene { term_ms, ..*scene }));
        }
    }
    check_bound(&scenes);
}

/// Guards against a pool that takes no start for seconds after a change of leaders, as lasting tasks that once lost
/// workers are on all of its VMs.
#[test]
fn a_pool_of_lasting_tasks_takes_starts_from_the_next_leader() {
    let mut pool = LastingPool::open(CALM, 1);
    pool.submit_lasting();
    pool.go_on(WARM_UP_MS);
    for _ in 0..CALM.losses {
        pool.lose(pool.workers_by(true));
        pool.go_on(CALM.gap_ms);
    }
    pool.go_on(SETTLE_MS);
    assert!(pool.workers_by(false).is_empty(), "they are on all VMs");
    pool.sim.take_over(2, one_pool());
    pool.sim.advance(100);
    let id = pool.submit(step(1));
    pool.sim.advance(300);
    assert_eq!(pool.sim.starts(task(id, 0, 0)), 1);
}
