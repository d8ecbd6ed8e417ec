//! Long random runs of the scheduler against the rules that callers rely on.
//!
//! Jobs of every kind arrive while workers fall silent, starts are carried out late, the log is
//! unreachable, leaders change, and callers cancel. After every step the rules are checked from
//! what workers did: no task runs twice at a time, none runs again after its end was logged, steps
//! keep their order, workers are not overloaded. In the end all faults are healed, and every job
//! must end.
//!
//! `IBISWEIR_TEST_SEED` and `IBISWEIR_TEST_RUNS` select other and longer runs.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ibisweir::jobs::model::{
    ExitKind, JobId, JobSpec, JobState, ResourceVector, StepSpec, TaskKey,
};
use ibisweir::jobs::record::JobRecord;
use ibisweir::jobs::site::SiteConfig;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::sim::{POOL, SchedulerSim, config, job, service_step, step, vm, worker};

/// Runs in CI; thousands by hand.
const RUNS: u64 = 40;
/// Steps of a run.
const STEPS: usize = 120;
const WORKERS: usize = 5;

struct SchedulerModel {
    sim: SchedulerSim,
    random: StdRng,
    jobs: BTreeMap<JobId, JobSpec>,
    cancelled: BTreeSet<JobId>,
    /// Tasks that the log has as done.
    logged_done: BTreeSet<TaskKey>,
    /// Tasks that a worker has ended as done.
    done: BTreeSet<TaskKey>,
    /// Jobs with a final state; the log drops their keys some minutes later.
    finished: BTreeSet<JobId>,
    checked_starts: usize,
    term: u64,
    next_job: u64,
}

/// Without a standby pool no VM leaves: other tests cover moves.
fn one_pool() -> SiteConfig {
    let mut config = config();
    config.pools.retain(|pool| !pool.is_standby);
    config
}

impl SchedulerModel {
    fn open(seed: u64) -> SchedulerModel {
        let pool = (0..WORKERS).map(|n| worker(&format!("w{n}"), &format!("r{}", n / 2))).collect();
        SchedulerModel {
            sim: SchedulerSim::open(one_pool(), pool),
            random: StdRng::seed_from_u64(seed),
            jobs: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            logged_done: BTreeSet::new(),
            done: BTreeSet::new(),
            finished: BTreeSet::new(),
            checked_starts: 0,
            term: 1,
            next_job: 0,
        }
    }

    fn step_randomly(&mut self) {
        match self.random.random_range(0..100) {
            0..20 => self.submit(),
            20..60 => self.end_random_run(),
            60..64 => self.cancel(),
            64..68 => self.repeat_submission(),
            68..74 => self.toggle_silence(),
            74..78 => self.toggle_late(),
            78..82 => self.sim.is_log_up = !self.sim.is_log_up,
            82..85 => self.take_over(),
            85..88 => self.crash(),
            _ => {}
        }
        let ms = self.random.random_range(0..400);
        self.sim.advance(ms);
        self.check();
    }

    fn submit(&mut self) {
        let mut steps = vec![self.step()];
        for position in 1..self.random.random_range(1..4) {
            let after = vec![position - 1];
            steps.push(StepSpec { after, ..self.step() });
        }
        if self.random.random_range(0..6) == 0 {
            steps = vec![service_step(self.random.random_range(1..4))];
        }
        self.next_job += 1;
        let spec = job(steps);
        let id = self.sim.submit(self.next_job, spec.clone());
        self.jobs.insert(id, spec);
    }

    fn step(&mut self) -> StepSpec {
        let cpu = self.random.random_range(1..6) * 1_000;
        let count = self.random.random_range(1..5);
        StepSpec {
            need: ResourceVector { cpu, memory: 500, accelerators: 0 },
            is_gang: count > 1 && self.random.random_range(0..5) == 0,
            per_worker_max: self.random.random_range(0..3),
            is_resumable: self.random.random_range(0..2) == 0,
            ..step(count)
        }
    }

    /// Live runs with their workers.
    fn alive(&self) -> Vec<(Arc<str>, TaskKey, u32)> {
        let mut alive = Vec::new();
        for (id, worker) in &self.sim.workers {
            alive.extend(worker.running.keys().map(|(task, run)| (id.clone(), *task, *run)));
        }
        alive
    }

    /// Ends one of the live runs, most of them successfully.
    fn end_random_run(&mut self) {
        let alive = self.alive();
        if alive.is_empty() {
            return;
        }
        let (id, task, run) = alive[self.random.random_range(0..alive.len())].clone();
        let spec = &self.jobs[&task.job].steps[usize::from(task.step)];
        if spec.is_gang {
            self.end_gang(task, run);
            return;
        }
        let is_failure = spec.is_service || self.random.random_range(0..12) == 0;
        let kind = if is_failure { ExitKind::Failed } else { ExitKind::Done };
        if kind == ExitKind::Done {
            self.done.insert(task);
        }
        self.sim.end_run(task, run, &id, kind);
    }

    /// Ends all members of a gang together, once all of one run have started.
    fn end_gang(&mut self, task: TaskKey, run: u32) {
        let count = self.jobs[&task.job].steps[usize::from(task.step)].count;
        let members: Vec<(Arc<str>, TaskKey)> = self
            .sim
            .workers
            .iter()
            .flat_map(|(id, worker)| worker.running.keys().map(move |key| (id.clone(), *key)))
            .filter(|(_, (key, other))| key.step_key() == task.step_key() && *other == run)
            .map(|(id, (key, _))| (id, key))
            .collect();
        if members.len() < usize::try_from(count).expect("a small count") {
            return;
        }
        for (id, key) in members {
            self.done.insert(key);
            let worker = self.sim.workers.get_mut(&id).expect("known");
            worker.exit(key, run, ExitKind::Done);
        }
        self.sim.run_until_idle();
    }

    fn cancel(&mut self) {
        let Some(id) = self.any_job() else { return };
        self.cancelled.insert(id);
        self.sim.append(&JobRecord::Cancelled(id));
    }

    fn repeat_submission(&mut self) {
        let Some(id) = self.any_job() else { return };
        let spec = self.jobs[&id].clone();
        let record = JobRecord::Submitted(id, Arc::new(support::sim::submission(spec)));
        self.sim.scheduler.apply_record(&record, self.sim.now);
        self.sim.append(&record);
    }

    fn any_job(&mut self) -> Option<JobId> {
        let ids: Vec<JobId> = self.jobs.keys().copied().collect();
        (!ids.is_empty()).then(|| ids[self.random.random_range(0..ids.len())])
    }

    fn any_worker(&mut self) -> Arc<str> {
        let ids: Vec<Arc<str>> = self.sim.workers.keys().cloned().collect();
        ids[self.random.random_range(0..ids.len())].clone()
    }

    fn toggle_silence(&mut self) {
        let id = self.any_worker();
        let worker = self.sim.workers.get_mut(&id).expect("known");
        worker.is_silent = !worker.is_silent;
    }

    fn toggle_late(&mut self) {
        let id = self.any_worker();
        let worker = self.sim.workers.get_mut(&id).expect("known");
        worker.is_late = !worker.is_late;
        if !worker.is_late {
            self.sim.deliver_late(&id);
        }
    }

    fn take_over(&mut self) {
        self.term += 1;
        self.sim.take_over(self.term, one_pool());
    }

    /// A worker loses all its runs; its VM shows another incarnation.
    fn crash(&mut self) {
        let id = self.any_worker();
        self.sim.crash(&id);
    }

    fn check(&mut self) {
        self.check_starts();
        let mut alive: BTreeMap<TaskKey, u32> = BTreeMap::new();
        for (id, worker) in &self.sim.workers {
            let mut used = 0;
            for (task, _) in worker.running.keys() {
                *alive.entry(*task).or_default() += 1;
                used += self.jobs[&task.job].steps[usize::from(task.step)].need.cpu;
            }
            assert!(used <= 8_000, "{id} is overfilled: {used}");
        }
        for (task, count) in alive {
            assert!(count <= 1, "{task} runs {count} times at once");
        }
        self.collect_logged_done();
        let is_finished = |id: &&JobId| self.sim.state(**id).is_some_and(JobState::is_final);
        self.finished.extend(self.jobs.keys().filter(is_finished));
    }

    /// Checks the starts since the last check.
    fn check_starts(&mut self) {
        for (task, run, worker) in &self.sim.started[self.checked_starts..] {
            // A start that was in flight when an earlier run, assumed to have lapsed, turned out to
            // be done.
            let is_late = self.sim.started_late.contains(&(*task, *run));
            let is_repeated = self.logged_done.contains(task) && !is_late;
            assert!(!is_repeated, "{task} run {run} on {worker} after its end");
            let spec = &self.jobs[&task.job];
            for before in &spec.steps[usize::from(task.step)].after {
                for index in 0..spec.steps[usize::from(*before)].count {
                    let earlier = TaskKey { step: *before, index, ..*task };
                    assert!(self.done.contains(&earlier), "{task} before {earlier}");
                }
            }
        }
        self.checked_starts = self.sim.started.len();
    }

    fn collect_logged_done(&mut self) {
        for id in self.jobs.keys() {
            let Some(progress) = self.sim.job_table.get(*id).and_then(|job| job.progress.clone())
            else {
                continue;
            };
            for logged in progress.tasks.iter().filter(|logged| logged.is_done) {
                let (step, index) = (logged.step, logged.index);
                self.logged_done.insert(TaskKey { job: *id, occurrence: 0, step, index });
            }
        }
    }

    /// Heals all faults; every job that can end must end.
    fn heal(&mut self) {
        self.sim.is_log_up = true;
        for id in self.sim.workers.keys().cloned().collect::<Vec<_>>() {
            let worker = self.sim.workers.get_mut(&id).expect("known");
            worker.is_silent = false;
            worker.is_late = false;
            self.sim.deliver_late(&id);
        }
        self.cancel_services();
        for _ in 0..4_000 {
            self.end_all();
            self.sim.advance(100);
            self.check();
            if self.open_jobs() == 0 {
                return;
            }
        }
        let open: Vec<_> = self.jobs.iter().filter(|(id, _)| !self.finished.contains(id)).collect();
        let logged: Vec<_> = open.iter().map(|(id, _)| self.sim.job_table.get(**id)).collect();
        panic!("these jobs never end: {open:#?} {logged:#?}");
    }

    /// Cancels all services to make capacity for the rest.
    fn cancel_services(&mut self) {
        let is_service = |spec: &JobSpec| spec.steps.iter().any(|step| step.is_service);
        let services: Vec<JobId> =
            self.jobs.iter().filter(|(_, spec)| is_service(spec)).map(|(id, _)| *id).collect();
        for id in services {
            self.cancelled.insert(id);
            self.sim.append(&JobRecord::Cancelled(id));
        }
    }

    fn end_all(&mut self) {
        let alive = self.alive();
        for (id, task, run) in alive {
            let spec = &self.jobs[&task.job].steps[usize::from(task.step)];
            if spec.is_service {
                continue;
            }
            if spec.is_gang {
                self.end_gang(task, run);
                continue;
            }
            self.done.insert(task);
            let worker = self.sim.workers.get_mut(&id).expect("known");
            worker.exit(task, run, ExitKind::Done);
        }
    }

    fn open_jobs(&self) -> usize {
        let is_service = |spec: &JobSpec| spec.steps.iter().any(|step| step.is_service);
        let is_open = |id: &JobId| !self.finished.contains(id);
        self.jobs.iter().filter(|(id, spec)| !is_service(spec) && is_open(id)).count()
    }
}

#[test]
fn random_runs_keep_the_rules() {
    let number = |name: &str, default| {
        std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let first: u64 = number("IBISWEIR_TEST_SEED", 1);
    for seed in first..first + number("IBISWEIR_TEST_RUNS", RUNS) {
        let run = std::panic::AssertUnwindSafe(|| {
            let mut model = SchedulerModel::open(seed);
            for _ in 0..STEPS {
                model.step_randomly();
            }
            model.heal();
            for id in &model.cancelled {
                assert!(model.finished.contains(id), "{id} was cancelled and goes on");
            }
        });
        if let Err(fault) = std::panic::catch_unwind(run) {
            eprintln!("seed {seed}");
            std::panic::resume_unwind(fault);
        }
    }
}

/// The VM list names every worker of the simulation.
#[test]
fn a_crashed_worker_is_replaced_by_another_incarnation() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w0", "r0")]);
    sim.crash("w0");
    assert!(!sim.workers.contains_key("w0"));
    assert_eq!(sim.workers.len(), 1);
    let entry = worker("w0", "r0");
    assert_eq!(&*vm(&entry, POOL).pool, POOL);
}
