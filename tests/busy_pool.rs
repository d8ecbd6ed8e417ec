//! Pools in which tasks start all the time, so that nearly every worker that is lost has a start aboard.
//!
//! Checked: a task without fault that is on several of the lost workers is served, and one that crashes its workers
//! costs no more of them than the bound, whatever else starts or is lost there. `IBISWEIR_TEST_SEED` and
//! `IBISWEIR_TEST_RUNS` draw other and more runs; with `--nocapture` each scene tells how long jobs took.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ibisweir::jobs::model::{ExitKind, JobId, JobState, StepSpec, TaskKey};
use ibisweir::jobs::site::SiteConfig;
use ibisweir::scheduler::SchedulerEvent;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::sim::{SchedulerSim, config, job, job_id, step, task, worker};

/// Runs of each scene in CI; by hand two hundred.
const RUNS: u64 = 10;
/// Workers that a task may cost: after three crashes it may be started twice more.
const BOUND: usize = 5;
/// Time between two looks at what is through, in milliseconds.
const STEP_MS: u64 = 20;
/// Time that a short task works, in milliseconds.
const SHORT_MS: u64 = 60;
/// Time for everything to end once nothing more is lost, in milliseconds.
const SETTLE_MS: u64 = 120_000;
/// Time from one job of short tasks to the next, in milliseconds.
const ARRIVALS_MS: u64 = 700;

/// What happens in a pool; times in milliseconds.
#[derive(Clone, Copy, Debug)]
struct BusyScene {
    vms: usize,
    /// Work of the tasks that are watched, in one run.
    work_ms: u64,
    /// Tasks without fault that are watched.
    watched: u64,
    /// Time for which workers are lost.
    unrest_ms: u64,
    /// Time between two losses; 0 if nothing is lost but by tasks that crash their workers.
    loss_gap_ms: u64,
    /// Time from the start of the short tasks to the loss.
    lead_ms: u64,
    /// Whether short tasks start all the time.
    is_busy: bool,
    /// Time between two changes of leaders; 0 for none.
    term_ms: u64,
    /// Tasks that crash their workers.
    bad: u64,
    /// Time from their starts to the crashes.
    crash_after_ms: u64,
}

/// One worker of four is lost each 0.7 s, in the moment in which tasks start on all of them.
const START_ABOARD: BusyScene = BusyScene {
    vms: 4,
    work_ms: 6_000,
    watched: 1,
    unrest_ms: 10_000,
    loss_gap_ms: 700,
    lead_ms: 0,
    is_busy: true,
    term_ms: 0,
    bad: 0,
    crash_after_ms: 10,
};

/// Tasks that crash their workers in a busy pool that loses none otherwise.
const CRASHERS: BusyScene =
    BusyScene { work_ms: 1_500, watched: 4, loss_gap_ms: 0, bad: 1, ..START_ABOARD };

/// What the runs of a scene have shown.
#[derive(Debug, Default)]
struct Tally {
    /// Jobs without fault.
    innocent: usize,
    /// Those that were given up.
    wronged: usize,
    /// Jobs that never ended.
    open: usize,
    /// Ages at which the jobs without fault ended, in milliseconds.
    ages_ms: Vec<u64>,
    /// The same of those that were watched.
    watched_ages_ms: Vec<u64>,
    /// Ages at which bad jobs were given up, in milliseconds.
    bad_ages_ms: Vec<u64>,
    bad: usize,
    given_up: usize,
    cost_max: usize,
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
            "wronged {} of {}, open {}; bad given up {} of {}, most workers {}; \
             age (mean/p99/max) all {}, watched {}, bad {}",
            self.wronged,
            self.innocent,
            self.open,
            self.given_up,
            self.bad,
            self.cost_max,
            ages(&mut self.ages_ms),
            ages(&mut self.watched_ages_ms),
            ages(&mut self.bad_ages_ms),
        )
    }
}

/// A pool in a scene.
struct BusyPool {
    sim: SchedulerSim,
    random: StdRng,
    scene: BusyScene,
    /// Work of each job's tasks; nothing for those that crash their workers.
    work_ms: BTreeMap<JobId, Option<u64>>,
    watched: BTreeSet<JobId>,
    handed_in_ms: BTreeMap<JobId, u64>,
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
    fn open(scene: BusyScene, seed: u64) -> BusyPool {
        let entries = (0..scene.vms).map(|n| worker(&format!("w{n}"), &format!("r{}", n / 4)));
        let mut sim = SchedulerSim::open(one_pool(), entries.collect());
        sim.crash_after_ms = scene.crash_after_ms;
        BusyPool {
            sim,
            random: StdRng::seed_from_u64(seed),
            scene,
            work_ms: BTreeMap::new(),
            watched: BTreeSet::new(),
            handed_in_ms: BTreeMap::new(),
            begun_ms: BTreeMap::new(),
            ended: BTreeMap::new(),
            term: 1,
        }
    }

    fn submit(&mut self, steps: StepSpec, work_ms: Option<u64>) -> JobId {
        let number = u64::try_from(self.work_ms.len()).expect("few jobs") + 1;
        let id = job_id(number);
        self.work_ms.insert(id, work_ms);
        self.handed_in_ms.insert(id, self.sim.now);
        if work_ms.is_none() {
            self.sim.crashing_tasks.insert(task(id, 0, 0));
        }
        self.sim.submit(number, job(vec![steps]));
        id
    }

    fn submit_short(&mut self) {
        let count = u32::try_from(self.scene.vms).expect("few");
        let spread = StepSpec { per_worker_max: 1, ..step(count) };
        self.submit(spread, Some(self.scene.lead_ms + SHORT_MS));
    }

    fn lose_one(&mut self) {
        let ids: Vec<Arc<str>> = self.sim.workers.keys().cloned().collect();
        let id = ids[self.random.random_range(0..ids.len())].clone();
        self.sim.crash(&id);
    }

    /// Lets time pass, and ends what is through.
    fn go_on(&mut self, ms: u64) {
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
            self.take_ends();
        }
    }

    fn take_ends(&mut self) {
        for (id, begun) in &self.handed_in_ms {
            if self.ended.contains_key(id) {
                continue;
            }
            if let Some(state) = self.sim.state(*id).filter(|state| state.is_final()) {
                self.ended.insert(*id, (state, self.sim.now - begun));
            }
        }
    }

    /// Runs of a task that ended with their workers, by whatever cause.
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
        let scene = self.scene;
        self.go_on(200);
        for _ in 0..scene.watched {
            let id = self.submit(step(1), Some(scene.work_ms));
            self.watched.insert(id);
        }
        for _ in 0..scene.bad {
            self.submit(step(1), None);
        }
        // With nothing else lost, the arrivals go on until what crashes its workers is long convicted.
        let length_ms = if scene.loss_gap_ms > 0 { scene.unrest_ms } else { SETTLE_MS / 2 };
        let begun = self.sim.now;
        let (mut arrival, mut loss, mut term) = (0, scene.lead_ms, scene.term_ms);
        while self.sim.now < begun + length_ms {
            let at = self.sim.now - begun;
            if scene.is_busy && at >= arrival {
                arrival += if scene.loss_gap_ms > 0 { scene.loss_gap_ms } else { ARRIVALS_MS };
                self.submit_short();
            }
            if scene.loss_gap_ms > 0 && at >= loss {
                loss += scene.loss_gap_ms;
                self.lose_one();
            }
            if scene.term_ms > 0 && at >= term {
                term += scene.term_ms;
                self.term += 1;
                self.sim.take_over(self.term, one_pool());
            }
            self.go_on(STEP_MS);
        }
        self.go_on(SETTLE_MS);
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
                tally.bad += 1;
                tally.given_up += usize::from(is_given_up);
                tally.cost_max = tally.cost_max.max(self.workers_lost(task(*id, 0, 0)));
                tally.bad_ages_ms.push(age_ms);
                continue;
            }
            tally.innocent += 1;
            tally.wronged += usize::from(is_given_up);
            tally.ages_ms.push(age_ms);
            if self.watched.contains(id) {
                tally.watched_ages_ms.push(age_ms);
            }
        }
    }
}

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Plays a scene and checks both bounds.
fn check(scenes: &[BusyScene]) {
    let first = number("IBISWEIR_TEST_SEED", 1);
    let mut faults = Vec::new();
    for scene in scenes {
        let mut tally = Tally::default();
        for seed in first..first + number("IBISWEIR_TEST_RUNS", RUNS) {
            BusyPool::open(*scene, seed).run(&mut tally);
        }
        let line = format!("{scene:?}: {}", tally.line());
        println!("{line}");
        let is_kept = tally.wronged == 0
            && tally.open == 0
            && tally.given_up == tally.bad
            && tally.cost_max <= BOUND;
        if !is_kept {
            faults.push(line);
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// Guards against a pool that is taken for calm as each worker that it loses has a start aboard.
#[test]
fn a_busy_pool_that_loses_workers_does_not_look_calm() {
    check(&[
        START_ABOARD,
        BusyScene { work_ms: 3_000, ..START_ABOARD },
        BusyScene { unrest_ms: 20_000, ..START_ABOARD },
        BusyScene { term_ms: 3_000, ..START_ABOARD },
        BusyScene { vms: 2, ..START_ABOARD },
        BusyScene { vms: 12, loss_gap_ms: 300, ..START_ABOARD },
    ]);
}

/// Guards against the same where nothing starts as workers are lost.
#[test]
fn a_pool_that_loses_workers_after_the_starts_does_not_look_calm() {
    check(&[
        BusyScene { lead_ms: 300, ..START_ABOARD },
        BusyScene { lead_ms: 300, vms: 2, ..START_ABOARD },
        BusyScene { lead_ms: 300, term_ms: 3_000, ..START_ABOARD },
        BusyScene { lead_ms: 300, unrest_ms: 20_000, ..START_ABOARD },
    ]);
}

/// Guards against tasks that crash their workers, early or late, alone or many at a time, for as long as others start
/// there; and against their neighbours that are given up for it.
#[test]
fn tasks_that_crash_their_workers_are_bounded_in_busy_pools() {
    let mut scenes = Vec::new();
    for crash_after_ms in [10, 700, 3_000] {
        for bad in [1, 6] {
            for is_busy in [true, false] {
                scenes.push(BusyScene { crash_after_ms, bad, is_busy, ..CRASHERS });
            }
        }
        scenes.push(BusyScene { crash_after_ms, bad: 6, loss_gap_ms: 1_400, ..CRASHERS });
    }
    check(&scenes);
}
