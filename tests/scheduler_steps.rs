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
use support::sim::{
    COUNT_AGE_MAX_MS, POOL, START_MS, SchedulerSim, WALL_OFFSET_MS, config, job, job_id, queue,
    service_step, step, submission, task, worker,
};

fn sized_step(cpu: u64, count: u32) -> StepSpec {
    StepSpec { need: ResourceVector { cpu, memory: 100, accelerators: 0 }, ..step(count) }
}

/// Guards against a gang of which only a part is started. Its members work only together; with
/// capacity for two of three, the two would hold that capacity in vain.
#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1"), worker("w2", "r2")]);
    let gang = StepSpec { is_gang: true, ..sized_step(5_000, 3) };
    let id = sim.submit(1, job(vec![gang.clone()]));
    sim.advance(500);
    assert!(sim.started.is_empty(), "{:?}", sim.started);
    let small = sim.submit(2, job(vec![StepSpec { count: 2, ..gang }]));
    sim.advance(200);
    let runs: Vec<u32> = sim.started.iter().map(|(_, run, _)| *run).collect();
    assert_eq!(sim.started.len(), 2);
    assert!(runs.iter().all(|run| *run == runs[0]), "members carry one run number: {runs:?}");
    assert_eq!(sim.state(id), Some(JobState::Queued));
    sim.advance(COUNT_AGE_MAX_MS - 200);
    assert_eq!(sim.state(small), Some(JobState::Running));
    assert_eq!(sim.state(id), Some(JobState::Queued));
}

/// Guards against a gang that wants one rack and is spread over the first workers with capacity,
/// though another rack has capacity for all of it.
#[test]
fn a_gang_that_wants_one_rack_is_placed_on_one() {
    let pool = vec![worker("w1", "r1"), worker("w2", "r2"), worker("w3", "r2")];
    let mut sim = SchedulerSim::open(config(), pool);
    let gang = StepSpec { is_gang: true, wants_one_rack: true, ..sized_step(5_000, 2) };
    let id = sim.submit(1, job(vec![gang]));
    sim.advance(100);
    let mut places = vec![sim.place(task(id, 0, 0)), sim.place(task(id, 0, 1))];
    places.sort();
    assert_eq!(places, vec![Arc::from("w2"), Arc::from("w3")]);
}

#[test]
fn a_required_label_and_the_per_worker_bound_hold() {
    let mut labelled = worker("w2", "r2");
    labelled.labels.insert(0, "fast".into());
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1"), labelled]);
    let spec = StepSpec { required_label: Some("fast".to_owned()), ..step(2) };
    let id = sim.submit(1, job(vec![spec]));
    let bounded = sim.submit(2, job(vec![StepSpec { per_worker_max: 1, ..step(3) }]));
    sim.advance(300);
    assert_eq!(&*sim.place(task(id, 0, 0)), "w2");
    assert_eq!(&*sim.place(task(id, 0, 1)), "w2");
    let started = (0..3).filter(|index| sim.starts(task(bounded, 0, *index)) > 0).count();
    assert_eq!(started, 2, "one on each of two workers");
}

/// The rack with the data is full. The task waits for capacity there only for as long as it would
/// lose elsewhere, and then runs elsewhere.
#[test]
fn a_task_waits_for_the_rack_of_its_data_only_as_long_as_it_pays() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1"), worker("w2", "r2")]);
    let near = |count| StepSpec { data_rack: Some("r1".to_owned()), ..sized_step(8_000, count) };
    let first = sim.submit(1, job(vec![near(1)]));
    sim.advance(100);
    assert_eq!(&*sim.place(task(first, 0, 0)), "w1");
    let second = sim.submit(2, job(vec![near(1)]));
    sim.advance(1_500);
    assert_eq!(sim.starts(task(second, 0, 0)), 0);
    sim.advance(1_000);
    assert_eq!(&*sim.place(task(second, 0, 0)), "w2");
}

/// Two occurrences overlap: the second begins when it is due, though the first still runs. The job
/// is completed when both are done.
#[test]
fn occurrences_begin_when_they_are_due_and_may_overlap() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1")]);
    let first_ms = WALL_OFFSET_MS + START_MS + 1_000;
    let schedule = JobSchedule { occurrences: 2, first_ms, interval_ms: 2_000 };
    let id = sim.submit(1, JobSpec { schedule: Some(schedule), ..job(vec![step(1)]) });
    sim.advance(900);
    assert!(sim.started.is_empty());
    sim.advance(200);
    assert_eq!(sim.starts(task(id, 0, 0)), 1);
    sim.advance(2_000);
    let second = TaskKey { occurrence: 1, ..task(id, 0, 0) };
    assert_eq!(sim.starts(second), 1);
    sim.end(second, ExitKind::Done);
    sim.advance(200);
    assert_eq!(sim.state(id), Some(JobState::Running));
    sim.end(task(id, 0, 0), ExitKind::Done);
    sim.advance(200);
    assert_eq!(sim.state(id), Some(JobState::Completed));
}

/// Guards against a schedule with one occurrence each millisecond. Begun all at once, the
/// occurrences would fill the leader's memory, and a record too large for any append would stop all
/// commits.
#[test]
fn occurrences_that_come_too_fast_wait_for_earlier_ones() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1")]);
    let first_ms = WALL_OFFSET_MS + START_MS;
    let schedule = JobSchedule { occurrences: 100_000, first_ms, interval_ms: 1 };
    let id = sim.submit(1, JobSpec { schedule: Some(schedule), ..job(vec![step(50)]) });
    sim.advance(1_000);
    let logged = sim.job_table.get(id).expect("it is stored");
    let mut run = JobRun::restore(id, logged, sim.now).expect("it has a submission");
    run.begin_due(WALL_OFFSET_MS + sim.now + 50_000);
    let begun: usize = run.occurrences.values().map(|run| run.steps[0].tasks.len()).sum();
    assert!(begun <= 2_000, "{begun} tasks at once");
    for index in 0..8 {
        sim.end(task(id, 0, index), ExitKind::Done);
    }
    sim.advance(500);
    assert!(sim.started.len() > 8, "later ones follow as capacity becomes free");
}

fn with_permits() -> SiteConfig {
    let mut config = config();
    let policy = PermitPolicy { call_ms: 5, worker_ms: 1, valid_ms: 3_000 };
    config.queues[0].permits = Some(policy);
    config
}

/// A queue's policy allows a step on some workers only. Nothing starts before the permits have
/// come, and then only where they allow it, with the permit in the start.
#[test]
fn a_step_starts_only_where_its_permits_allow() {
    let pool = vec![worker("w1", "r1"), worker("w2", "r2")];
    let mut sim = SchedulerSim::open(with_permits(), pool);
    let id = sim.submit(1, job(vec![step(2)]));
    sim.advance(300);
    assert!(sim.started.is_empty());
    let requested = sim.permits_requested.clone();
    assert_eq!(requested.len(), 1, "one request for the whole step");
    assert_eq!(requested[0].1.len(), 2);
    let allowed = vec![(Arc::from("w2"), Arc::from("permit-2"))];
    let grant = PermitGrant { allowed, valid_ms: 3_000 };
    sim.scheduler.update_permits(requested[0].0, Some(grant), sim.now);
    sim.advance(200);
    for index in 0..2 {
        assert_eq!(&*sim.place(task(id, 0, index)), "w2");
    }
    assert!(sim.permits_used.iter().all(|permit| permit.as_deref() == Some("permit-2")));
}

/// A best-effort task beside a service whose tail latency nears its target is slowed at once, and
/// may go faster again when there is headroom.
#[test]
fn a_best_effort_task_is_slowed_when_a_tail_latency_nears_its_target() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1")]);
    let service = StepSpec { target_ms: 100, ..service_step(1) };
    let filler = StepSpec { is_best_effort: true, ..service_step(1) };
    let serving = sim.submit(1, job(vec![service]));
    let id = sim.submit(2, job(vec![filler]));
    sim.advance(200);
    assert_eq!(sim.starts(task(id, 0, 0)), 1);
    sim.gauges.insert(task(serving, 0, 0), 95);
    sim.advance(3_000);
    let shares: Vec<u32> = sim.throttles.iter().map(|(_, percent)| *percent).collect();
    assert_eq!(&shares[..2], &[50, 25]);
    sim.gauges.insert(task(serving, 0, 0), 20);
    sim.advance(2_000);
    let last = sim.throttles.last().expect("throttled").1;
    assert!(last > *shares.last().expect("throttled"), "{:?}", sim.throttles);
}

/// Guards against a best-effort task that stays stopped for good because a throttle without an
/// answer was carried out after newer ones.
#[test]
fn a_throttle_without_an_answer_is_overridden_repeatedly() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1")]);
    let service = StepSpec { target_ms: 100, ..service_step(1) };
    let filler = StepSpec { is_best_effort: true, ..service_step(1) };
    let serving = sim.submit(1, job(vec![service]));
    sim.submit(2, job(vec![filler]));
    sim.advance(200);
    sim.gauges.insert(task(serving, 0, 0), 95);
    sim.are_throttles_lost = true;
    sim.advance(1_000);
    assert!(!sim.throttles.is_empty());
    sim.gauges.insert(task(serving, 0, 0), 20);
    sim.are_throttles_lost = false;
    sim.advance(10_000);
    let last = |sim: &SchedulerSim| sim.throttles.last().expect("throttled").1;
    assert_eq!(last(&sim), 100);
    let sent = sim.throttles.len();
    sim.advance(10_000);
    assert!(sim.throttles.len() > sent, "a late throttle would stay in force");
    assert_eq!(last(&sim), 100);
}

/// Guards against a best-effort task that stays slowed for good after the leader that slowed it is
/// gone.
#[test]
fn a_new_leader_sends_throttles_again() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1")]);
    let service = StepSpec { target_ms: 100, ..service_step(1) };
    let filler = StepSpec { is_best_effort: true, ..service_step(1) };
    let serving = sim.submit(1, job(vec![service]));
    sim.submit(2, job(vec![filler]));
    sim.advance(200);
    sim.gauges.insert(task(serving, 0, 0), 95);
    sim.advance(1_000);
    assert!(sim.throttles.last().expect("throttled").1 < 100);
    sim.gauges.insert(task(serving, 0, 0), 20);
    sim.throttles.clear();
    sim.take_over(2, config());
    sim.advance(10_000);
    assert_eq!(sim.throttles.last().map(|(_, percent)| *percent), Some(100));
}

/// The pool is full of batch work of a lower priority when a service arrives. The run with the
/// least work done is preempted.
#[test]
fn a_service_preempts_work_of_lower_priority() {
    let mut config = config();
    config.queues[0].priority = 1;
    let mut urgent = queue("urgent", POOL);
    urgent.priority = 0;
    config.queues.push(urgent);
    let mut sim = SchedulerSim::open(config, vec![worker("w1", "r1")]);
    let batch = sim.submit(1, job(vec![sized_step(4_000, 2)]));
    sim.progress(task(batch, 0, 0), 90, 100);
    sim.progress(task(batch, 0, 1), 10, 100);
    let service = StepSpec { per_worker_max: 0, ..service_step(1) };
    let mut submitted = submission(job(vec![service]));
    submitted.queue = "urgent".into();
    sim.append(&JobRecord::Submitted(job_id(2), Arc::new(submitted)));
    sim.advance(500);
    assert_eq!(sim.alive(task(job_id(2), 0, 0)), 1);
    assert_eq!(sim.alive(task(batch, 0, 0)), 1, "most of its work is done");
    assert_eq!(sim.alive(task(batch, 0, 1)), 0);
}

/// A task that fails on every worker uses up its attempts, and its job fails; no start follows.
#[test]
fn a_task_that_always_fails_uses_up_its_attempts() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1"), worker("w2", "r2")]);
    let id = sim.submit(1, job(vec![step(1)]));
    for _ in 0..3 {
        sim.advance(300);
        sim.end(task(id, 0, 0), ExitKind::Failed);
    }
    sim.advance(1_000);
    assert_eq!(sim.starts(task(id, 0, 0)), 3);
    assert_eq!(sim.state(id), Some(JobState::Failed));
}

/// Guards against jobs whose progress does not fit into one record: the leader could commit nothing
/// any more. They are refused before they are stored.
#[test]
fn a_job_whose_progress_could_not_be_stored_is_refused() {
    let oversized = job(vec![step(1_500), step(1_500)]);
    assert_eq!(oversized.check(), Err(SpecFault::TaskCount));
    assert_eq!(job(vec![step(1_500)]).check(), Ok(()));
    let repeated = StepSpec { after: vec![0; 3], ..step(1) };
    assert_eq!(job(vec![step(1), repeated]).check(), Err(SpecFault::StepOrder));
}
