//! Every kind of step: gangs, labels, racks, schedules, permits, best-effort tasks, priorities.

mod support;

use std::sync::Arc;

use ibisweir::jobs::model::{
    ExitKind, JobSchedule, JobSpec, JobState, ResourceVector, SpecFault, StepSpec, TaskKey,
};
use ibisweir::jobs::ports::PermitGrant;
use ibisweir::jobs::record::JobRecord;
use ibisweir::jobs::site::{PermitPolicy, SiteConfig};
use ibisweir::scheduler::job::JobRun;
use support::stage::{
    POOL, START_MS, Stage, WALL_OFFSET_MS, config, job, job_id, queue, service_step, step,
    submission, task, worker,
};

fn large(cpu: u64, count: u32) -> StepSpec {
    StepSpec { need: ResourceVector { cpu, memory: 100, accelerators: 0 }, ..step(count) }
}

/// A gang works only together. With room for two of its three members none is started: the two would
/// hold their room and wait in vain.
#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut stage = Stage::open(config(), vec![worker("w1", "r1"), worker("w2", "r2")]);
    let gang = StepSpec { is_gang: true, ..large(5_000, 3) };
    let id = stage.submit(1, job(vec![gang.clone()]));
    stage.advance(500);
    assert!(stage.started.is_empty(), "{:?}", stage.started);
    let small = stage.submit(2, job(vec![StepSpec { count: 2, ..gang }]));
    stage.advance(200);
    let runs: Vec<u32> = stage.started.iter().map(|(_, run, _)| *run).collect();
    assert_eq!(stage.started.len(), 2);
    assert!(runs.iter().all(|run| *run == runs[0]), "members carry one run number: {runs:?}");
    assert_ne!(stage.state(small), Some(JobState::Queued));
    assert_eq!(stage.state(id), Some(JobState::Queued));
}

/// A gang that wants one rack finds it on the rack that has room for all, not on the two first workers.
#[test]
fn a_gang_that_wants_one_rack_is_placed_on_one() {
    let pool = vec![worker("w1", "r1"), worker("w2", "r2"), worker("w3", "r2")];
    let mut stage = Stage::open(config(), pool);
    let gang = StepSpec { is_gang: true, wants_one_rack: true, ..large(5_000, 2) };
    let id = stage.submit(1, job(vec![gang]));
    stage.advance(100);
    let mut places = vec![stage.place(task(id, 0, 0)), stage.place(task(id, 0, 1))];
    places.sort();
    assert_eq!(places, vec![Arc::from("w2"), Arc::from("w3")]);
}

#[test]
fn a_required_label_and_the_bound_on_a_worker_hold() {
    let mut labelled = worker("w2", "r2");
    labelled.labels.insert(0, "fast".into());
    let mut stage = Stage::open(config(), vec![worker("w1", "r1"), labelled]);
    let spec = StepSpec { required_label: Some("fast".to_owned()), ..step(2) };
    let id = stage.submit(1, job(vec![spec]));
    let bounded = stage.submit(2, job(vec![StepSpec { per_worker_max: 1, ..step(3) }]));
    stage.advance(300);
    assert_eq!(&*stage.place(task(id, 0, 0)), "w2");
    assert_eq!(&*stage.place(task(id, 0, 1)), "w2");
    let started = (0..3).filter(|index| stage.starts(task(bounded, 0, *index)) > 0).count();
    assert_eq!(started, 2, "one on each of two workers");
}

/// The data's rack is full. The task waits for room there for as long as it would lose elsewhere, and
/// then goes elsewhere.
#[test]
fn a_task_waits_for_the_rack_of_its_data_only_as_long_as_it_pays() {
    let mut stage = Stage::open(config(), vec![worker("w1", "r1"), worker("w2", "r2")]);
    let near = |count| StepSpec { data_rack: Some("r1".to_owned()), ..large(8_000, count) };
    let first = stage.submit(1, job(vec![near(1)]));
    stage.advance(100);
    assert_eq!(&*stage.place(task(first, 0, 0)), "w1");
    let second = stage.submit(2, job(vec![near(1)]));
    stage.advance(1_500);
    assert_eq!(stage.starts(task(second, 0, 0)), 0);
    stage.advance(1_000);
    assert_eq!(&*stage.place(task(second, 0, 0)), "w2");
}

/// Two occurrences overlap: the second begins when it is due, though the first still runs. The job is
/// completed when both are done.
#[test]
fn occurrences_begin_when_they_are_due_and_may_overlap() {
    let mut stage = Stage::open(config(), vec![worker("w1", "r1")]);
    let first_ms = WALL_OFFSET_MS + START_MS + 1_000;
    let schedule = JobSchedule { occurrences: 2, first_ms, interval_ms: 2_000 };
    let id = stage.submit(1, JobSpec { schedule: Some(schedule), ..job(vec![step(1)]) });
    stage.advance(900);
    assert!(stage.started.is_empty());
    stage.advance(200);
    assert_eq!(stage.starts(task(id, 0, 0)), 1);
    stage.advance(2_000);
    let second = TaskKey { occurrence: 1, ..task(id, 0, 0) };
    assert_eq!(stage.starts(second), 1);
    stage.end(second, ExitKind::Done);
    stage.advance(200);
    assert_eq!(stage.state(id), Some(JobState::Running));
    stage.end(task(id, 0, 0), ExitKind::Done);
    stage.advance(200);
    assert_eq!(stage.state(id), Some(JobState::Completed));
}

/// A caller's schedule is a millisecond apart. Begun all at once its occurrences would fill the memory
/// of the leader, and a record that no append takes would stop all commits.
#[test]
fn occurrences_that_come_too_fast_wait_for_those_before() {
    let mut stage = Stage::open(config(), vec![worker("w1", "r1")]);
    let first_ms = WALL_OFFSET_MS + START_MS;
    let schedule = JobSchedule { occurrences: 100_000, first_ms, interval_ms: 1 };
    let id = stage.submit(1, JobSpec { schedule: Some(schedule), ..job(vec![step(50)]) });
    stage.advance(1_000);
    let booked = stage.book.get(id).expect("it is stored");
    let mut run = JobRun::restore(id, booked, stage.now).expect("it has a submission");
    run.begin_due(WALL_OFFSET_MS + stage.now + 50_000);
    let begun: usize = run.occurrences.values().map(|run| run.steps[0].tasks.len()).sum();
    assert!(begun <= 2_000, "{begun} tasks at once");
    for index in 0..8 {
        stage.end(task(id, 0, index), ExitKind::Done);
    }
    stage.advance(500);
    assert!(stage.started.len() > 8, "others follow as room is free");
}

fn with_permits() -> SiteConfig {
    let mut config = config();
    let policy = PermitPolicy { call_ms: 5, worker_ms: 1, valid_ms: 3_000 };
    config.queues[0].permits = Some(policy);
    config
}

/// A queue's policy allows a step on some workers only. Nothing starts before the permits have come,
/// and then only where they allow it, with the permit in the start.
#[test]
fn a_step_starts_only_where_its_permits_allow() {
    let pool = vec![worker("w1", "r1"), worker("w2", "r2")];
    let mut stage = Stage::open(with_permits(), pool);
    let id = stage.submit(1, job(vec![step(2)]));
    stage.advance(300);
    assert!(stage.started.is_empty());
    let asked = stage.permits_asked.clone();
    assert_eq!(asked.len(), 1, "one question for the whole step");
    assert_eq!(asked[0].1.len(), 2);
    let allowed = vec![(Arc::from("w2"), Arc::from("permit-2"))];
    let grant = PermitGrant { allowed, valid_ms: 3_000 };
    stage.scheduler.take_permits(asked[0].0, Some(grant), stage.now);
    stage.advance(200);
    for index in 0..2 {
        assert_eq!(&*stage.place(task(id, 0, index)), "w2");
    }
    assert!(stage.permits_used.iter().all(|permit| permit.as_deref() == Some("permit-2")));
}

/// A best-effort task beside a service whose tail nears its target is slowed at once, and may go
/// faster again when there is room.
#[test]
fn a_best_effort_task_is_slowed_when_a_tail_nears_its_target() {
    let mut stage = Stage::open(config(), vec![worker("w1", "r1")]);
    let service = StepSpec { target_ms: 100, ..service_step(1) };
    let filler = StepSpec { is_best_effort: true, ..service_step(1) };
    let serving = stage.submit(1, job(vec![service]));
    let id = stage.submit(2, job(vec![filler]));
    stage.advance(200);
    assert_eq!(stage.starts(task(id, 0, 0)), 1);
    stage.gauges.insert(task(serving, 0, 0), 95);
    stage.advance(3_000);
    let shares: Vec<u32> = stage.throttles.iter().map(|(_, percent)| *percent).collect();
    assert_eq!(&shares[..2], &[50, 25]);
    stage.gauges.insert(task(serving, 0, 0), 20);
    stage.advance(2_000);
    let last = stage.throttles.last().expect("throttled").1;
    assert!(last > *shares.last().expect("throttled"), "{:?}", stage.throttles);
}

/// Guards against a best-effort task that stands still for good, as a throttle without an answer was carried out after
/// newer ones.
#[test]
fn a_throttle_that_may_come_late_is_overruled_again_and_again() {
    let mut stage = Stage::open(config(), vec![worker("w1", "r1")]);
    let service = StepSpec { target_ms: 100, ..service_step(1) };
    let filler = StepSpec { is_best_effort: true, ..service_step(1) };
    let serving = stage.submit(1, job(vec![service]));
    stage.submit(2, job(vec![filler]));
    stage.advance(200);
    stage.gauges.insert(task(serving, 0, 0), 95);
    stage.loses_throttles = true;
    stage.advance(1_000);
    assert!(!stage.throttles.is_empty());
    stage.gauges.insert(task(serving, 0, 0), 20);
    stage.loses_throttles = false;
    stage.advance(10_000);
    let last = |stage: &Stage| stage.throttles.last().expect("throttled").1;
    assert_eq!(last(&stage), 100);
    let told = stage.throttles.len();
    stage.advance(10_000);
    assert!(stage.throttles.len() > told, "a late one would stay in force");
    assert_eq!(last(&stage), 100);
}

/// Guards against a best-effort task that stays slowed for good, as the leader that slowed it is gone.
#[test]
fn a_successor_tells_shares_anew() {
    let mut stage = Stage::open(config(), vec![worker("w1", "r1")]);
    let service = StepSpec { target_ms: 100, ..service_step(1) };
    let filler = StepSpec { is_best_effort: true, ..service_step(1) };
    let serving = stage.submit(1, job(vec![service]));
    stage.submit(2, job(vec![filler]));
    stage.advance(200);
    stage.gauges.insert(task(serving, 0, 0), 95);
    stage.advance(1_000);
    assert!(stage.throttles.last().expect("throttled").1 < 100);
    stage.gauges.insert(task(serving, 0, 0), 20);
    stage.throttles.clear();
    stage.take_over(2, config());
    stage.advance(10_000);
    assert_eq!(stage.throttles.last().map(|(_, percent)| *percent), Some(100));
}

/// The pool is full of batch work of a lower priority when a service needs a place. The least work is
/// thrown away for it.
#[test]
fn a_service_displaces_work_of_lower_priority() {
    let mut config = config();
    config.queues[0].priority = 1;
    let mut urgent = queue("urgent", POOL);
    urgent.priority = 0;
    config.queues.push(urgent);
    let mut stage = Stage::open(config, vec![worker("w1", "r1")]);
    let batch = stage.submit(1, job(vec![large(4_000, 2)]));
    stage.progress(task(batch, 0, 0), 90, 100);
    stage.progress(task(batch, 0, 1), 10, 100);
    let lasting = StepSpec { per_worker_max: 0, ..service_step(1) };
    let mut submitted = submission(job(vec![lasting]));
    submitted.queue = "urgent".into();
    stage.append(&JobRecord::Submitted(job_id(2), Arc::new(submitted)));
    stage.advance(500);
    assert_eq!(stage.alive(task(job_id(2), 0, 0)), 1);
    assert_eq!(stage.alive(task(batch, 0, 0)), 1, "most of its work is done");
    assert_eq!(stage.alive(task(batch, 0, 1)), 0);
}

/// A task that fails on every worker uses its attempts up, and its job has failed; no start follows.
#[test]
fn a_task_that_always_fails_uses_its_attempts_up() {
    let mut stage = Stage::open(config(), vec![worker("w1", "r1"), worker("w2", "r2")]);
    let id = stage.submit(1, job(vec![step(1)]));
    for _ in 0..3 {
        stage.advance(300);
        stage.end(task(id, 0, 0), ExitKind::Failed);
    }
    stage.advance(1_000);
    assert_eq!(stage.starts(task(id, 0, 0)), 3);
    assert_eq!(stage.state(id), Some(JobState::Failed));
}

/// Absurd jobs are refused before they are stored: their progress would not fit into one record, and
/// the leader could commit nothing any more.
#[test]
fn a_job_whose_progress_could_not_be_stored_is_refused() {
    let absurd = job(vec![step(1_500), step(1_500)]);
    assert_eq!(absurd.check(), Err(SpecFault::TaskCount));
    assert_eq!(job(vec![step(1_500)]).check(), Ok(()));
    let repeated = StepSpec { after: vec![0; 3], ..step(1) };
    assert_eq!(job(vec![step(1), repeated]).check(), Err(SpecFault::StepOrder));
}
