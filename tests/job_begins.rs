//! From when on a job counts as begun, for callers, organisations and the next leader: from the
//! first start of a task that a worker carries out, and 2 s later at the latest.
//!
//! `IBISWEIR_TEST_SEED` and `IBISWEIR_TEST_RUNS` select other and longer runs.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ibisweir::jobs::model::{
    ExitKind, JobId, JobSchedule, JobSpec, JobState, JobSubmission, StepSpec, TaskKey,
};
use ibisweir::jobs::record::{JobProgress, JobRecord, TaskProgress};
use ibisweir::jobs::site::{SiteConfig, WorkerEntry};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::sim::{
    COUNT_AGE_MAX_MS, QUEUE, SchedulerSim, SimWorker, WALL_OFFSET_MS, config, job, job_id,
    service_step, step, submission, task, worker,
};

/// Step of the simulated time, in milliseconds.
const STEP_MS: u64 = 20;
/// Runs that a worker refuses as over; more than the leader plans in the test.
const STOPPED_RUNS: u32 = 20_000;
const ORGANISATION: &str = "registry";
/// Runs in CI; more by hand.
const RUNS: u64 = 10;
/// Events of a run.
const EVENTS: usize = 100;
const WORKERS: usize = 4;

/// Without a standby pool no VM leaves.
fn one_pool() -> SiteConfig {
    let mut config = config();
    config.pools.retain(|pool| !pool.is_standby);
    config
}

fn open(workers: usize) -> SchedulerSim {
    let entry = |n| worker(&format!("w{n}"), "r0");
    SchedulerSim::open(one_pool(), (0..workers).map(entry).collect())
}

fn set_all(sim: &mut SchedulerSim, change: impl Fn(&mut SimWorker)) {
    sim.workers.values_mut().for_each(change);
}

fn submit(sim: &mut SchedulerSim, count: u64) -> Vec<JobId> {
    (1..=count).map(|id| sim.submit(id, job(vec![step(1)]))).collect()
}

/// Checks what everybody is shown of jobs that have not begun.
fn assert_waiting(sim: &SchedulerSim, jobs: &[JobId]) {
    for id in jobs {
        assert_eq!(sim.state(*id), Some(JobState::Queued), "{id} at {}", sim.now);
    }
    let count = u64::try_from(jobs.len()).expect("few jobs");
    assert_eq!(sim.job_table.waiting_jobs(QUEUE), count, "at {}", sim.now);
}

/// Plays jobs whose starts are not carried out, then two changes of leaders, and then the end of the
/// cause, after which the jobs are to begin.
fn check_kept_waiting(cause: impl Fn(&mut SchedulerSim), repair: impl Fn(&mut SchedulerSim)) {
    let mut sim = open(2);
    cause(&mut sim);
    let jobs = submit(&mut sim, 4);
    for term in 2..=3 {
        for _ in 0..250 {
            sim.advance(STEP_MS);
            assert_waiting(&sim, &jobs);
        }
        sim.take_over(term, one_pool());
        assert_waiting(&sim, &jobs);
    }
    assert!(sim.started.is_empty(), "no worker has begun a task");
    repair(&mut sim);
    sim.advance(10_000);
    for id in jobs {
        assert!(sim.starts(task(id, 0, 0)) > 0, "{id} has not begun");
        assert_eq!(sim.state(id), Some(JobState::Running));
    }
    assert_eq!(sim.job_table.waiting_jobs(QUEUE), 0);
}

/// Guards against a queue that counts none of its jobs although unhealthy workers refuse them.
#[test]
fn a_job_whose_starts_are_refused_as_unhealthy_waits() {
    check_kept_waiting(
        |sim| set_all(sim, |worker| worker.is_unhealthy = true),
        |sim| set_all(sim, |worker| worker.is_unhealthy = false),
    );
}

/// Guards against the same where the workers have no capacity left.
#[test]
fn a_job_whose_starts_are_refused_for_capacity_waits() {
    check_kept_waiting(
        |sim| set_all(sim, |worker| worker.is_full = true),
        |sim| set_all(sim, |worker| worker.is_full = false),
    );
}

/// Guards against the same where the workers answer that the run is over, as after a stop that came
/// before the start.
#[test]
fn a_job_whose_starts_are_refused_as_old_waits() {
    let mut sim = open(1);
    let stopped = |id| (1..=STOPPED_RUNS).map(move |run| (task(job_id(id), 0, 0), run));
    set_all(&mut sim, |worker| worker.refused.extend((1..=4).flat_map(stopped)));
    let jobs = submit(&mut sim, 4);
    for _ in 0..10 {
        sim.advance(STEP_MS);
        assert_waiting(&sim, &jobs);
    }
    assert!(sim.started.is_empty(), "no worker has begun a task");
    sim.take_over(2, one_pool());
    assert_waiting(&sim, &jobs);
}

/// Guards against the same where the starts wait at the leader and are not sent.
#[test]
fn a_job_whose_starts_are_not_sent_waits() {
    check_kept_waiting(
        |sim| sim.is_lane_held = true,
        |sim| {
            sim.is_lane_held = false;
            sim.empty_lanes();
        },
    );
}

/// Guards against the same where starts get no answer and are not carried out.
#[test]
fn a_job_whose_starts_are_lost_waits() {
    check_kept_waiting(
        |sim| set_all(sim, |worker| worker.is_late = true),
        |sim| {
            set_all(sim, |worker| {
                worker.late.clear();
                worker.is_late = false;
            });
        },
    );
}

/// Guards against a job that counts as begun though its start was revoked before it was sent, as its
/// worker leaves.
#[test]
fn a_job_whose_start_is_revoked_waits() {
    let mut sim = open(1);
    sim.is_lane_held = true;
    let jobs = submit(&mut sim, 2);
    assert_eq!(sim.scheduled_on("w0"), 2);
    sim.report(WorkerEntry { is_draining: true, ..sim.entry("w0") });
    sim.advance(3_000);
    assert_waiting(&sim, &jobs);
    sim.take_over(2, one_pool());
    assert_waiting(&sim, &jobs);
}

/// Guards against a job that counts as begun though its worker was lost before it took the start.
#[test]
fn a_job_whose_worker_is_lost_before_the_start_waits() {
    let mut sim = open(1);
    set_all(&mut sim, |worker| worker.is_silent = true);
    let jobs = submit(&mut sim, 2);
    assert!(sim.scheduled_on("w0") > 0);
    sim.is_lane_held = true;
    sim.crash("w0");
    set_all(&mut sim, |worker| worker.is_unhealthy = true);
    sim.is_lane_held = false;
    sim.empty_lanes();
    sim.advance(3_000);
    assert_waiting(&sim, &jobs);
}

/// Guards against a gang or a wide step that counts as waiting while a part of it has begun.
#[test]
fn a_job_of_which_one_task_has_begun_does_not_wait() {
    for is_gang in [false, true] {
        let mut sim = open(2);
        sim.workers.get_mut("w1").expect("known").is_late = true;
        let halves = StepSpec { is_gang, per_worker_max: 1, ..step(2) };
        let id = sim.submit(1, job(vec![halves]));
        sim.advance(COUNT_AGE_MAX_MS);
        assert_eq!(sim.started.len(), 1, "one task has begun");
        assert_eq!(sim.state(id), Some(JobState::Running), "gang: {is_gang}");
        assert_eq!(sim.job_table.waiting_jobs(QUEUE), 0);
    }
}

/// Guards against a job that counts as waiting once its first occurrence is over and a later one
/// has not begun, and against one that counts as begun before the first.
#[test]
fn a_scheduled_job_waits_until_its_first_occurrence_has_begun() {
    let mut sim = open(1);
    let first_ms = WALL_OFFSET_MS + sim.now + 3_000;
    let schedule = JobSchedule { occurrences: 3, first_ms, interval_ms: 60_000 };
    let id = sim.submit(1, JobSpec { schedule: Some(schedule), ..job(vec![step(1)]) });
    sim.advance(2_500);
    assert_waiting(&sim, &[id]);
    set_all(&mut sim, |worker| worker.is_unhealthy = true);
    sim.advance(2_500);
    assert_waiting(&sim, &[id]);
    set_all(&mut sim, |worker| worker.is_unhealthy = false);
    sim.advance(5_000);
    sim.end(task(id, 0, 0), ExitKind::Done);
    sim.advance(1_000);
    for term in 2..4 {
        assert_eq!(sim.state(id), Some(JobState::Running));
        sim.take_over(term, one_pool());
    }
}

/// Guards against a begun job that its next leader shows as waiting, as its leader was lost before
/// the log had the begin.
#[test]
fn a_begin_that_is_not_on_the_log_is_known_to_the_next_leader() {
    let mut sim = open(1);
    let id = sim.submit(1, job(vec![step(1)]));
    assert_eq!(sim.starts(task(id, 0, 0)), 1);
    sim.advance(100);
    sim.take_over(2, one_pool());
    sim.advance(COUNT_AGE_MAX_MS - 100);
    assert_eq!(sim.state(id), Some(JobState::Running));
}

/// Guards against a job that waits again when its run is lost with the worker, which had answered
/// the start and reported nothing since.
#[test]
fn a_job_that_has_begun_does_not_wait_again_when_its_worker_is_lost() {
    let mut sim = open(1);
    sim.are_renewals_muted = true;
    let id = sim.submit(1, job(vec![step(1)]));
    sim.advance(100);
    assert_eq!(sim.starts(task(id, 0, 0)), 1);
    sim.are_renewals_muted = false;
    sim.crash("w0");
    set_all(&mut sim, |worker| worker.is_unhealthy = true);
    sim.advance(100);
    for term in 2..4 {
        assert_eq!(sim.state(id), Some(JobState::Running));
        sim.take_over(term, one_pool());
    }
}

/// Guards against a job that counts as waiting though a worker lists the exit of a run of it, which
/// it never listed as running.
#[test]
fn a_job_of_which_only_an_exit_was_listed_does_not_wait() {
    let mut sim = open(1);
    let late = |worker: &mut SimWorker| (worker.is_late, worker.is_unhealthy) = (true, true);
    set_all(&mut sim, late);
    let id = sim.submit(1, job(vec![step(1)]));
    set_all(&mut sim, |worker| worker.is_silent = true);
    sim.deliver_late("w0");
    sim.end(task(id, 0, 0), ExitKind::Failed);
    sim.advance(500);
    assert_waiting(&sim, &[id]);
    set_all(&mut sim, |worker| (worker.is_late, worker.is_silent) = (false, false));
    sim.advance(COUNT_AGE_MAX_MS);
    assert_eq!(sim.starts(task(id, 0, 0)), 1);
    assert_eq!(sim.state(id), Some(JobState::Running));
}

/// Guards against a begun job that is shown as waiting after an upgrade: the version before wrote
/// `Running` once a task was placed.
#[test]
fn a_job_that_the_version_before_wrote_as_running_stays_so() {
    let mut sim = open(1);
    set_all(&mut sim, |worker| worker.is_unhealthy = true);
    let id = sim.submit(1, job(vec![step(1)]));
    let placed = TaskProgress {
        occurrence: 0,
        step: 0,
        index: 0,
        run: 1,
        failures: 0,
        is_done: false,
        live: Vec::new(),
        checkpoint: String::new(),
    };
    let progress = JobProgress {
        term: 1,
        state: JobState::Running,
        ended_ms: 0,
        occurrences_done: 0,
        steps_done: Vec::new(),
        tasks: vec![placed],
        workers: Vec::new(),
        restarts: Vec::new(),
        last_alive_ms: Vec::new(),
        failed_runs: Vec::new(),
        lost_runs: Vec::new(),
    };
    sim.append(&JobRecord::Progress(id, Arc::new(progress)));
    sim.take_over(2, one_pool());
    sim.advance(5_000);
    assert_eq!(sim.state(id), Some(JobState::Running));
}

/// Guards against begins that load the log: that of a short task goes with its end, and those of
/// jobs that begin together share an append.
#[test]
fn begins_cost_the_log_little() {
    let mut sim = open(2);
    let short = submit(&mut sim, 8);
    let placed = sim.appends;
    sim.advance(360);
    assert_eq!(sim.appends, placed, "no begin is written early");
    for id in &short {
        sim.end(task(*id, 0, 0), ExitKind::Done);
    }
    sim.advance(3_000);
    let ended = sim.appends;
    assert!(ended.1 - placed.1 <= 2 * short.len(), "an end and a removed spec for each job");

    let long: Vec<JobId> = (11..=18).map(|id| sim.submit(id, job(vec![step(1)]))).collect();
    let placed = sim.appends;
    sim.advance(COUNT_AGE_MAX_MS);
    assert_eq!(sim.appends, (placed.0 + 1, placed.1 + long.len()));
}

/// What the workers show of the jobs, beside the simulated site.
struct BeginModel {
    sim: SchedulerSim,
    random: StdRng,
    term: u64,
    jobs: BTreeMap<JobId, JobSpec>,
    cancelled: BTreeSet<JobId>,
    checked_starts: usize,
    /// Jobs that have begun, and the term whose leader had an answer to a start of theirs.
    begun: BTreeMap<JobId, Option<u64>>,
    /// Jobs with an exit that is not acknowledged, by worker.
    exited: BTreeSet<(Arc<str>, JobId)>,
    /// Jobs with an exit that was acknowledged, which a leader does once its effect is on the log.
    acknowledged: BTreeSet<JobId>,
    /// Since when a leader that can write to the log could know of a begin that is not shown.
    knowable_ms: BTreeMap<JobId, u64>,
}

impl BeginModel {
    fn open(seed: u64) -> BeginModel {
        BeginModel {
            sim: open(WORKERS),
            random: StdRng::seed_from_u64(seed),
            term: 1,
            jobs: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            checked_starts: 0,
            begun: BTreeMap::new(),
            exited: BTreeSet::new(),
            acknowledged: BTreeSet::new(),
            knowable_ms: BTreeMap::new(),
        }
    }

    fn play(&mut self) {
        match self.random.random_range(0..100) {
            0..25 => self.submit(),
            25..45 => self.end_run(),
            45..48 => self.cancel(),
            48..56 => self.change_worker(|worker| worker.is_unhealthy = !worker.is_unhealthy),
            56..62 => self.change_worker(|worker| worker.is_full = !worker.is_full),
            62..68 => self.change_worker(|worker| worker.is_silent = !worker.is_silent),
            68..74 => self.change_worker(|worker| worker.is_late = !worker.is_late),
            74..78 => {
                let id = self.any_worker();
                self.sim.deliver_late(&id);
            }
            78..80 => self.change_worker(|worker| worker.late.clear()),
            80..84 => self.sim.is_log_up = !self.sim.is_log_up,
            84..90 => {
                self.term += 1;
                self.sim.take_over(self.term, one_pool());
            }
            90..93 => {
                let id = self.any_worker();
                self.sim.crash(&id);
            }
            93..95 => self.change_worker(|worker| worker.are_stops_lost = !worker.are_stops_lost),
            95..98 => {
                self.sim.is_lane_held = !self.sim.is_lane_held;
                self.sim.empty_lanes();
            }
            _ => self.toggle_draining(),
        }
        self.check();
        for _ in 0..self.random.random_range(0..40) {
            self.sim.advance(STEP_MS);
            self.check();
        }
    }

    fn submit(&mut self) {
        let cpu = self.random.random_range(1..5) * 1_000;
        let count = self.random.random_range(1..9);
        let mut first = step(count);
        first.need.cpu = cpu;
        first.is_gang = count < 4 && self.random.random_range(0..4) == 0;
        first.per_worker_max = self.random.random_range(0..3);
        let second = StepSpec { after: vec![0], ..step(1) };
        let spec = match self.random.random_range(0..6) {
            0 => job(vec![service_step(2)]),
            1 => {
                let first_ms = WALL_OFFSET_MS + self.sim.now + 500;
                let schedule = JobSchedule { occurrences: 3, first_ms, interval_ms: 900 };
                JobSpec { schedule: Some(schedule), ..job(vec![step(1)]) }
            }
            2 => job(vec![first, second]),
            _ => job(vec![first]),
        };
        let number = u64::try_from(self.jobs.len() + 1).expect("few jobs");
        let id = job_id(number);
        let organisation = Some(ORGANISATION.into());
        let submission = JobSubmission { organisation, ..submission(spec.clone()) };
        self.jobs.insert(id, spec);
        self.sim.append(&JobRecord::Submitted(id, Arc::new(submission)));
        self.sim.run_until_idle();
    }

    fn end_run(&mut self) {
        let mut alive: Vec<(Arc<str>, TaskKey, u32)> = Vec::new();
        for (id, worker) in &self.sim.workers {
            alive.extend(worker.running.keys().map(|(task, run)| (id.clone(), *task, *run)));
        }
        if alive.is_empty() {
            return;
        }
        let (id, key, run) = alive[self.random.random_range(0..alive.len())].clone();
        let spec = &self.jobs[&key.job].steps[usize::from(key.step)];
        let is_failed = spec.is_service || spec.is_gang || self.random.random_range(0..4) == 0;
        let kind = if is_failed { ExitKind::Failed } else { ExitKind::Done };
        self.sim.end_run(key, run, &id, kind);
    }

    fn cancel(&mut self) {
        let ids: Vec<JobId> = self.jobs.keys().copied().collect();
        if ids.is_empty() {
            return;
        }
        let id = ids[self.random.random_range(0..ids.len())];
        self.cancelled.insert(id);
        self.sim.append(&JobRecord::Cancelled(id));
    }

    fn any_worker(&mut self) -> Arc<str> {
        let ids: Vec<Arc<str>> = self.sim.workers.keys().cloned().collect();
        ids[self.random.random_range(0..ids.len())].clone()
    }

    fn change_worker(&mut self, change: impl Fn(&mut SimWorker)) {
        let id = self.any_worker();
        change(self.sim.workers.get_mut(&id).expect("known"));
    }

    fn toggle_draining(&mut self) {
        let id = self.any_worker();
        let entry = self.sim.entry(&id);
        self.sim.report(WorkerEntry { is_draining: !entry.is_draining, ..entry });
    }

    /// Compares what is shown of each job with what its tasks have done on the workers.
    fn check(&mut self) {
        for (key, run, _) in &self.sim.started[self.checked_starts..] {
            let is_answered = !self.sim.started_late.contains(&(*key, *run));
            let answered = self.begun.entry(key.job).or_default();
            *answered = answered.or(is_answered.then_some(self.term));
        }
        self.checked_starts = self.sim.started.len();
        self.collect_acknowledged();
        let mut queued = 0;
        let mut waiting = 0;
        for id in self.jobs.keys() {
            let state = self.sim.state(*id);
            queued += u64::from(state == Some(JobState::Queued));
            let Some(answered) = self.begun.get(id) else {
                let is_shown = matches!(state, Some(JobState::Running | JobState::Completed));
                assert!(!is_shown, "{id} has not begun and is shown as {state:?}");
                waiting += usize::from(!self.cancelled.contains(id));
                continue;
            };
            let is_known = *answered == Some(self.term)
                || self.acknowledged.contains(id)
                || self.is_listed(*id);
            if state != Some(JobState::Queued) || !is_known || !self.sim.is_log_up {
                self.knowable_ms.remove(id);
                continue;
            }
            let since_ms = *self.knowable_ms.entry(*id).or_insert(self.sim.now);
            let age_ms = self.sim.now - since_ms;
            assert!(age_ms <= COUNT_AGE_MAX_MS, "{id} has begun {age_ms} ms ago and waits");
        }
        assert_eq!(self.sim.job_table.waiting_jobs(QUEUE), queued);
        let overviews = self.sim.scheduler.overview(self.sim.now).organisations;
        let shown = overviews.get(ORGANISATION).map_or(0, |overview| overview.waiting);
        let given_up = self.jobs.keys().filter(|id| !self.begun.contains_key(id));
        let given_up = given_up.filter(|id| self.sim.state(**id) == Some(JobState::Failed)).count();
        assert!(shown + given_up >= waiting, "{shown} of {waiting} waiting jobs are counted");
    }

    fn collect_acknowledged(&mut self) {
        let workers = &self.sim.workers;
        let exits = workers.iter().flat_map(|(id, worker)| {
            worker.exits.iter().map(move |exit| (id.clone(), exit.task.job))
        });
        let exited = exits.collect();
        let earlier = std::mem::replace(&mut self.exited, exited);
        for (id, job) in earlier.difference(&self.exited) {
            if self.sim.workers.contains_key(id) {
                self.acknowledged.insert(*job);
            }
        }
    }

    /// Whether a worker that answers has a run or an exit of a job to list.
    fn is_listed(&self, id: JobId) -> bool {
        self.sim.workers.values().filter(|worker| !worker.is_silent).any(|worker| {
            worker.running.keys().any(|(key, _)| key.job == id)
                || worker.exits.iter().any(|exit| exit.task.job == id)
        })
    }
}

/// Guards against jobs that are shown as begun before a worker has carried out a start, or as
/// waiting for long after, under any order of faults, stops and changes of leaders.
#[test]
fn begins_are_shown_as_the_workers_have_them() {
    let number = |name: &str, default| {
        std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let first = number("IBISWEIR_TEST_SEED", 1);
    for seed in first..first + number("IBISWEIR_TEST_RUNS", RUNS) {
        println!("seed {seed}");
        let mut model = BeginModel::open(seed);
        for _ in 0..EVENTS {
            model.play();
        }
    }
}
