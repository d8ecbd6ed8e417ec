//! What a job still has to do is the same for the leader that logged its progress and for the
//! leaders that read it.
//!
//! Drawn jobs go through drawn changes, as a leader makes them. Now and then the progress is
//! encoded, read through a job table and restored, both from the records in order and from a
//! snapshot that has only the newest record of each key. The same holds for whole schedulers on a
//! simulated site. `IBISWEIR_TEST_SEED` and `IBISWEIR_TEST_RUNS` select other and more runs.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ibisweir::jobs::job_table::{JobTable, LoggedJob};
use ibisweir::jobs::model::{
    ExitKind, JobId, JobSchedule, JobSpec, JobState, JobSubmission, ResourceVector, StepSpec,
    TaskKey,
};
use ibisweir::jobs::record::{JobRecord, LossCount};
use ibisweir::scheduler::SchedulerEvent;
use ibisweir::scheduler::job::{JobRun, LiveRun, TaskRun};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::sim::{
    START_MS, SchedulerSim, WALL_OFFSET_MS, config, job, job_id, step, submission, task, worker,
};

/// Histories in CI; thousands by hand.
const RUNS: u64 = 60;
/// The same for whole sites.
const SITE_RUNS: u64 = 25;
/// Changes of a job in a history.
const CHANGES: usize = 150;
const WALL_MS: u64 = 1_700_000_000_000;

fn env_number(name: &str, usual: u64) -> u64 {
    std::env::var(name).map_or(usual, |text| text.parse().expect("a number"))
}

fn seeds(usual_runs: u64) -> impl Iterator<Item = u64> {
    let first = env_number("IBISWEIR_TEST_SEED", 1);
    first..first + env_number("IBISWEIR_TEST_RUNS", usual_runs)
}

fn drawn_steps(random: &mut StdRng) -> Vec<StepSpec> {
    let steps = random.random_range(1..=3u16);
    let step = |position: u16, random: &mut StdRng| StepSpec {
        count: random.random_range(1..=3),
        need: ResourceVector {
            cpu: random.random_range(1..=8) * 1_000,
            memory: 1,
            accelerators: 0,
        },
        estimate_ms: random.random_range(200..2_000),
        after: (0..position).filter(|_| random.random_bool(0.6)).collect(),
        is_gang: random.random_ratio(1, 5),
        is_resumable: random.random_bool(0.5),
        ..StepSpec::default()
    };
    (0..steps).map(|position| step(position, random)).collect()
}

fn drawn_schedule(first_ms: u64, random: &mut StdRng) -> Option<JobSchedule> {
    random.random_bool(0.8).then(|| JobSchedule {
        occurrences: random.random_range(1..=9),
        first_ms,
        interval_ms: random.random_range(100..1_500),
    })
}

/// What a leader has to know of a task: it decides whether, where and as which run it starts, and
/// when its job ends.
#[derive(Debug, PartialEq)]
struct OpenTask {
    is_done: bool,
    run: u32,
    failures: u32,
    live: Vec<(Arc<str>, u32)>,
    losses: LossCount,
    moves: u32,
    checkpoint: String,
    /// Latest run that counts as failed.
    failed_run: u32,
    /// Runs that may be alive and whose lost worker counts already.
    lost_runs: Vec<u32>,
}

impl OpenTask {
    fn of(task: &TaskRun) -> OpenTask {
        let is_open = !task.is_done;
        // Of a task that is done only the ends of earlier runs may still be listed.
        let has_earlier_run = is_open || task.run > 1;
        let lost = task.live.iter().filter(|live| live.is_loss_counted);
        OpenTask {
            is_done: task.is_done,
            run: if has_earlier_run { task.run } else { 0 },
            failures: if is_open { task.failures } else { 0 },
            live: task.live.iter().map(|live| (live.worker.clone(), live.run)).collect(),
            losses: if is_open { task.losses } else { LossCount::default() },
            moves: if is_open { task.moves } else { 0 },
            checkpoint: if is_open { task.checkpoint.clone() } else { String::new() },
            failed_run: if has_earlier_run { task.failed_run } else { 0 },
            lost_runs: lost.map(|live| live.run).collect(),
        }
    }
}

/// What a job still has to do, by task.
fn open_work(job: &JobRun) -> BTreeMap<TaskKey, OpenTask> {
    let mut tasks = BTreeMap::new();
    for (occurrence, run) in &job.occurrences {
        for (position, step) in run.steps.iter().enumerate() {
            for (index, task) in step.tasks.iter().enumerate() {
                tasks.insert(job.key(*occurrence, position, index), OpenTask::of(task));
            }
        }
    }
    tasks
}

/// Asserts that a successor has the same open work; shows the tasks that differ.
fn assert_same_work(restored: &JobRun, job: &JobRun, at: &str) {
    let (mut found, mut expected) = (open_work(restored), open_work(job));
    found.retain(|key, task| expected.get(key) != Some(&*task) || expected.remove(key).is_none());
    assert_eq!(found, expected, "{at}");
    let progress_of = |job: &JobRun| (job.state, job.next_occurrence);
    assert_eq!(progress_of(restored), progress_of(job), "{at}");
}

/// The tasks of steps that may begin, or that are alive.
fn tasks_in_turn(job: &JobRun) -> Vec<TaskKey> {
    let mut keys = Vec::new();
    for (occurrence, run) in &job.occurrences {
        for (position, step) in run.steps.iter().enumerate() {
            if run.may_begin(&job.submission.spec.steps[position]) {
                keys.extend((0..step.tasks.len()).map(|i| job.key(*occurrence, position, i)));
            }
        }
    }
    keys
}

/// Starts a task that waits, or changes or ends a run of it, as a leader does. The members of a gang
/// start together, fail together and are done together.
fn change_task(job: &mut JobRun, key: &TaskKey, random: &mut StdRng) {
    let is_gang = job.spec(key).expect("step").is_gang;
    let index = usize::try_from(key.index).expect("index");
    let step = job.step_mut(key).expect("step");
    let members = if is_gang { 0..step.tasks.len() } else { index..index + 1 };
    let Some(live) = step.tasks[index].live.first().cloned() else {
        let is_waiting = |task: &TaskRun| !task.is_done && task.live.is_empty();
        if step.tasks[members.clone()].iter().all(is_waiting) {
            let run =
                step.tasks[members.clone()].iter().map(|task| task.run).max().unwrap_or(0) + 1;
            for task in &mut step.tasks[members] {
                let worker = format!("w{}", random.random_range(0..5));
                task.run = run;
                task.live.push(LiveRun::planned(worker.into(), run, 0));
            }
            job.state = JobState::Running;
        }
        return;
    };
    match random.random_range(0..6) {
        0 => step.tasks[index].checkpoint = format!("{:04x}", random.random::<u16>()),
        1 => step.tasks[index].moves += 1,
        2 => {
            step.tasks[index].live.remove(0);
            if step.tasks[index].is_done {
                return;
            }
            let is_new = !is_gang || step.tasks.iter().all(|task| task.failed_run != live.run);
            for task in &mut step.tasks[members] {
                task.failures += u32::from(is_new);
                task.failed_run = live.run;
            }
        }
        3 => {
            // The next incarnation of its worker may have the run, or it is lost.
            let task = &mut step.tasks[index];
            let is_counted = std::mem::replace(&mut task.live[0].is_loss_counted, true);
            if !is_counted {
                task.losses.total += 1;
                task.losses.at_start += u32::from(random.random_bool(0.5));
            }
            if random.random_bool(0.5) {
                task.live.remove(0);
            }
        }
        _ => {
            step.tasks[index].live.remove(0);
            members.for_each(|member| {
                step.finish(member);
            });
            if job.sweep() {
                job.state = JobState::Completed;
            }
        }
    }
}

/// The records of a job as successors read them: in order, and from snapshots.
struct DrawnLog {
    end: u64,
    in_order: JobTable,
    submitted: JobRecord,
}

impl DrawnLog {
    fn open(id: JobId, submission: &JobSubmission) -> DrawnLog {
        let submitted = JobRecord::Submitted(id, Arc::new(submission.clone()));
        let mut log = DrawnLog { end: 0, in_order: JobTable::default(), submitted };
        log.in_order.fold(&decoded(&log.submitted), 0);
        log.end = 1;
        log
    }

    /// Appends the job's progress and restores the job, once for each way to read the log.
    fn hand_on(&mut self, job: &JobRun, term: u64) -> [JobRun; 2] {
        let progress = decoded(&JobRecord::Progress(job.id, Arc::new(job.progress(term))));
        self.in_order.fold(&progress, self.end);
        self.end += 1;
        let mut compacted = JobTable::default();
        let newest = [(0, decoded(&self.submitted)), (self.end - 1, progress)];
        compacted.apply_snapshot(&newest, self.end);
        let restore = |table: &JobTable| {
            let logged: &LoggedJob = table.get(job.id).expect("job");
            JobRun::restore(job.id, logged, 0).expect("state")
        };
        [restore(&self.in_order), restore(&compacted)]
    }
}

fn decoded(record: &JobRecord) -> JobRecord {
    let keyed = record.encode().expect("a record");
    JobRecord::decode(&keyed.key, &keyed.value).expect("a record")
}

/// Plays a drawn history of a job. After some of its changes `hand_on` restores the job from the
/// log, as the leader that goes on with it.
fn play_history(seed: u64, mut hand_on: impl FnMut(&JobRun, &mut DrawnLog, u64, &str) -> JobRun) {
    let random = &mut StdRng::seed_from_u64(seed);
    let spec = JobSpec { schedule: drawn_schedule(WALL_MS, random), ..job(drawn_steps(random)) };
    let submission = submission(spec);
    let id = job_id(seed);
    let logged = LoggedJob::submitted(Arc::new(submission.clone()));
    let mut run = JobRun::restore(id, &logged, 0).expect("job");
    let mut log = DrawnLog::open(id, &submission);
    let mut wall_ms = WALL_MS;
    for change in 0..CHANGES {
        wall_ms += random.random_range(0..200);
        run.begin_due(wall_ms);
        let keys = tasks_in_turn(&run);
        if !keys.is_empty() && !run.state.is_final() {
            change_task(&mut run, &keys[random.random_range(0..keys.len())], random);
        }
        if random.random_ratio(1, 4) {
            run = hand_on(&run, &mut log, wall_ms, &format!("seed {seed}, change {change}"));
        }
    }
}

/// Guards against a successor for which a job has other open work than for its predecessor: tasks
/// that it would never start, start again or give up too early.
#[test]
fn drawn_jobs_have_the_same_open_work_for_each_successor() {
    for seed in seeds(RUNS) {
        play_history(seed, |run, log, wall_ms, at| {
            let [mut in_order, mut compacted] = log.hand_on(run, 1);
            for restored in [&mut in_order, &mut compacted] {
                restored.begin_due(wall_ms);
                assert_same_work(restored, run, at);
            }
            compacted
        });
    }
}

/// Guards against tasks that are forgotten when a leader of this version follows one of the version
/// before, whose records end before the lists of counted runs.
#[test]
fn drawn_records_of_the_version_before_restore_the_same_tasks() {
    let forget_counted_runs = |run: &JobRun| {
        let mut run = run.clone();
        for key in open_work(&run).into_keys() {
            let task = run.task_mut(&key).expect("task");
            task.failed_run = 0;
            task.live.iter_mut().for_each(|live| live.is_loss_counted = false);
        }
        run
    };
    for seed in seeds(RUNS) {
        play_history(seed, |run, log, wall_ms, at| {
            let run = forget_counted_runs(run);
            let progress = JobRecord::Progress(run.id, Arc::new(run.progress(1)));
            let keyed = progress.encode().expect("a record");
            let (before, empty_lists) = keyed.value.split_at(keyed.value.len() - 2);
            assert_eq!(empty_lists, [0, 0], "each empty list is one byte");
            let decoded = JobRecord::decode(&keyed.key, before);
            assert_eq!(decoded, Some(progress), "{at}");
            let [mut restored, _] = log.hand_on(&run, 1);
            restored.begin_due(wall_ms);
            assert_same_work(&restored, &run, at);
            restored
        });
    }
}

/// A job of `occurrences` whose tasks take the only worker, one each two seconds.
fn scheduled_job(occurrences: u32) -> JobSpec {
    let whole = ResourceVector { cpu: 8_000, memory: 1_000, accelerators: 0 };
    let first_ms = WALL_OFFSET_MS + START_MS + 500;
    let schedule = Some(JobSchedule { occurrences, first_ms, interval_ms: 2_000 });
    JobSpec { schedule, ..job(vec![StepSpec { need: whole, estimate_ms: 3_000, ..step(1) }]) }
}

fn occurrence_task(id: JobId, occurrence: u32) -> TaskKey {
    TaskKey { occurrence, ..task(id, 0, 0) }
}

/// Guards against a job that is shown as completed though one of its occurrences never ran: it
/// waited behind a later one when the leader changed.
#[test]
fn an_overtaken_occurrence_runs_under_the_next_leader() {
    const OCCURRENCES: u32 = 7;
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1")]);
    let id = sim.submit(1, scheduled_job(OCCURRENCES));
    let tasks: Vec<TaskKey> = (0..OCCURRENCES).map(|k| occurrence_task(id, k)).collect();
    let mut term = 1;
    for _ in 0..OCCURRENCES {
        sim.advance(3_000);
        let is_overtaken = |k: usize| {
            sim.starts(tasks[k]) == 0 && tasks[k + 1..].iter().any(|task| sim.starts(*task) > 0)
        };
        if term == 1 && (0..tasks.len()).any(is_overtaken) {
            term += 1;
            sim.take_over(term, config());
        }
        let running: Vec<TaskKey> =
            tasks.iter().filter(|task| sim.alive(**task) > 0).copied().collect();
        running.iter().for_each(|task| sim.end(*task, ExitKind::Done));
        sim.advance(60);
    }
    assert_eq!(term, 2, "no occurrence was overtaken");
    sim.advance(1_000);
    let starts: Vec<usize> = tasks.iter().map(|task| sim.starts(*task)).collect();
    assert_eq!(starts, vec![1; tasks.len()]);
    assert_eq!(sim.state(id), Some(JobState::Completed));
}

/// Guards against a gang that is given up with attempts left: the leader changes after it has
/// read the failure of one member and before that of another one in the same run.
#[test]
fn a_failed_run_of_a_gang_counts_once_over_a_change_of_leaders() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1"), worker("w2", "r2")]);
    let id = sim.submit(1, job(vec![StepSpec { is_gang: true, ..step(2) }]));
    let members = [task(id, 0, 0), task(id, 0, 1)];
    sim.advance(300);
    sim.end(members[0], ExitKind::Failed);
    sim.advance(60);
    sim.are_renewals_muted = true;
    sim.end(members[1], ExitKind::Failed);
    sim.are_renewals_muted = false;
    sim.take_over(2, config());
    sim.advance(300);
    sim.end(members[0], ExitKind::Failed);
    sim.end(members[1], ExitKind::GangBroken);
    sim.advance(300);
    assert_eq!(sim.state(id), Some(JobState::Running));
    for member in members {
        assert_eq!(sim.starts(member), 3);
        sim.end(member, ExitKind::Done);
    }
    sim.advance(300);
    assert_eq!(sim.state(id), Some(JobState::Completed));
}

/// Guards against a task that counts as run once more: the worker of its first run was cut off, the
/// second run is done, and the next leader acknowledges the end of the first one.
#[test]
fn the_end_of_an_abandoned_run_is_withheld_by_the_next_leader() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1"), worker("w2", "r2")]);
    let id = sim.submit(1, job(vec![step(1), StepSpec { after: vec![0], ..step(1) }]));
    let key = task(id, 0, 0);
    sim.advance(100);
    let first = sim.place(key);
    sim.workers.get_mut(&first).expect("known").is_silent = true;
    sim.end(key, ExitKind::Done);
    while sim.starts(key) < 2 {
        sim.advance(1_000);
    }
    sim.end(key, ExitKind::Done);
    sim.advance(200);
    sim.take_over(2, config());
    sim.workers.get_mut(&first).expect("known").is_silent = false;
    sim.advance(2_000);
    let exits = &sim.workers[&first].exits;
    assert_eq!(exits.len(), 1, "the end of the first run was acknowledged");
}

/// Scheduled jobs on a simulated site, under leaders that change.
struct ScheduledSite {
    sim: SchedulerSim,
    random: StdRng,
    jobs: BTreeMap<JobId, JobSpec>,
    /// Tasks whose end as done was listed by a worker.
    done: BTreeSet<TaskKey>,
    /// Runs that failed, by task; a gang counts as its first member.
    failed_runs: BTreeMap<TaskKey, BTreeSet<u32>>,
    term: u64,
}

impl ScheduledSite {
    fn open(seed: u64) -> ScheduledSite {
        let pool = (0..3).map(|n| worker(&format!("w{n}"), &format!("r{}", n / 2))).collect();
        let sim = SchedulerSim::open(config(), pool);
        let random = StdRng::seed_from_u64(seed);
        let (jobs, done, failed_runs) = (BTreeMap::new(), BTreeSet::new(), BTreeMap::new());
        ScheduledSite { sim, random, jobs, done, failed_runs, term: 1 }
    }

    fn submit(&mut self, id: u64) {
        let first_ms = WALL_OFFSET_MS + self.sim.now + self.random.random_range(0..1_000);
        let schedule = drawn_schedule(first_ms, &mut self.random);
        let spec = JobSpec { schedule, ..job(drawn_steps(&mut self.random)) };
        let id = self.sim.submit(id, spec.clone());
        self.jobs.insert(id, spec);
    }

    fn tasks(&self) -> Vec<TaskKey> {
        let mut tasks = Vec::new();
        for (id, spec) in &self.jobs {
            for occurrence in 0..spec.occurrences() {
                for (step, spec) in (0..).zip(&spec.steps) {
                    let key = |index| TaskKey { occurrence, ..task(*id, step, index) };
                    tasks.extend((0..spec.count).map(key));
                }
            }
        }
        tasks
    }

    /// Ends a run that is alive; a failure only where the task has attempts left.
    fn end_run(&mut self, may_fail: bool) {
        let alive: Vec<(Arc<str>, TaskKey, u32)> = self
            .sim
            .workers
            .iter()
            .flat_map(|(id, worker)| worker.running.keys().map(|(t, run)| (id.clone(), *t, *run)))
            .collect();
        if alive.is_empty() {
            return;
        }
        let (worker, key, run) = alive[self.random.random_range(0..alive.len())].clone();
        let spec = &self.jobs[&key.job].steps[usize::from(key.step)];
        let members: Vec<TaskKey> = match spec.is_gang {
            true => (0..spec.count).map(|index| TaskKey { index, ..key }).collect(),
            false => vec![key],
        };
        let failed_runs = self.failed_runs.entry(members[0]).or_default();
        if may_fail && failed_runs.len() < 2 && self.random.random_ratio(1, 5) {
            failed_runs.insert(run);
            self.sim.end_run(key, run, &worker, ExitKind::Failed);
            return;
        }
        // The members of a gang end together, if all of them are at work.
        let of_run = |(_, other, number): &&(Arc<str>, TaskKey, u32)| {
            members.contains(other) && *number == run
        };
        let ending: Vec<_> = alive.iter().filter(of_run).cloned().collect();
        if ending.len() == members.len() {
            self.done.extend(&members);
            for (worker, member, run) in ending {
                self.sim.end_run(member, run, &worker, ExitKind::Done);
            }
        }
    }

    fn take_over(&mut self) {
        self.term += 1;
        self.sim.take_over(self.term, config());
    }

    fn step_randomly(&mut self) {
        match self.random.random_range(0..10) {
            0 => self.take_over(),
            1 => {
                // Exits that only the next leader reads; no lease lapses meanwhile.
                self.sim.are_renewals_muted = true;
                (0..3).for_each(|_| self.end_run(true));
                self.sim.are_renewals_muted = false;
                self.take_over();
            }
            _ => self.end_run(true),
        }
        let ms = self.random.random_range(0..300);
        self.sim.advance(ms);
    }

    fn assert_completed_jobs_are_done(&self, at: &str) {
        for key in self.tasks().iter().filter(|key| !self.done.contains(key)) {
            assert_ne!(self.sim.state(key.job), Some(JobState::Completed), "{key} {at}");
            assert_ne!(self.sim.state(key.job), Some(JobState::Failed), "{key} {at}");
        }
    }
}

/// Guards against jobs that end without some of their tasks, or never, after changes of leaders at
/// any time.
#[test]
fn scheduled_jobs_run_each_task_under_leaders_that_change() {
    for seed in seeds(SITE_RUNS) {
        let mut site = ScheduledSite::open(seed);
        (1..=4).for_each(|id| site.submit(id));
        for step in 0..150 {
            site.step_randomly();
            site.assert_completed_jobs_are_done(&format!("seed {seed}, step {step}"));
        }
        for _ in 0..600 {
            (0..4).for_each(|_| site.end_run(false));
            site.sim.advance(150);
        }
        site.assert_completed_jobs_are_done(&format!("seed {seed}, end"));
        for id in site.jobs.keys() {
            assert_eq!(site.sim.state(*id), Some(JobState::Completed), "{id}, seed {seed}");
        }
    }
}

/// Guards against a worker that gets no more work because its next leader takes the end of a run,
/// which its predecessor counted as failed and did not acknowledge, for one that came too late.
#[test]
fn a_counted_failure_is_acknowledged_by_the_next_leader() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1")]);
    let id = sim.submit(1, job(vec![step(1)]));
    let key = task(id, 0, 0);
    sim.advance(300);
    sim.end(key, ExitKind::Failed);
    while sim.starts(key) < 2 {
        sim.advance(20);
    }
    let exits = sim.workers["w1"].exits.clone();
    assert_eq!(exits.len(), 1, "it was acknowledged before the second run");
    sim.take_over(2, config());
    sim.advance(300);
    assert!(sim.workers["w1"].exits.is_empty(), "{:?}", sim.workers["w1"].exits);
    let other = sim.submit(2, job(vec![step(1)]));
    sim.advance(300);
    assert_eq!(sim.starts(task(other, 0, 0)), 1);
}

/// Guards against a worker that gets no more work because a run was planned, and never started, as
/// the end of the run before it came to count.
#[test]
fn a_counted_end_is_acknowledged_though_a_later_run_was_planned() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1"), worker("w2", "r2")]);
    let id = sim.submit(1, job(vec![step(1), StepSpec { after: vec![0], ..step(1) }]));
    let key = task(id, 0, 0);
    sim.advance(100);
    let place = sim.place(key);
    sim.workers.get_mut(&place).expect("known").is_silent = true;
    sim.end(key, ExitKind::Done);
    sim.is_log_up = false;
    let is_planned =
        |event: &SchedulerEvent| matches!(event, SchedulerEvent::Placed { run: 2, .. });
    while !sim.events.iter().any(is_planned) {
        sim.advance(100);
    }
    sim.workers.get_mut(&place).expect("known").is_silent = false;
    sim.advance(400);
    sim.are_renewals_muted = true;
    sim.is_log_up = true;
    sim.run_until_idle();
    let logged = sim.job_table.get(id).and_then(|job| job.progress.clone()).expect("progress");
    assert_eq!(logged.steps_done, vec![(0, 0)]);
    sim.take_over(2, config());
    sim.are_renewals_muted = false;
    sim.advance(500);
    assert_eq!(sim.starts(key), 1);
    assert!(sim.workers[&place].exits.is_empty(), "{:?}", sim.workers[&place].exits);
}
