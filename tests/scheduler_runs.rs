//! A task runs once, whatever fails around it.

mod support;

use std::sync::Arc;

use ibisweir::jobs::model::{ExitKind, JobState};
use ibisweir::jobs::ports::{CommandOutcome, CommandRefusal, VmCommand, VmOutcome};
use ibisweir::jobs::record::JobRecord;
use ibisweir::scheduler::SchedulerAction;
use support::sim::{SchedulerSim, config, job, step, submission, task, worker};

/// The first answer to a caller was lost, or the network repeated its request: seconds after the
/// job is completed the same submission reaches another entry, which has not read of it yet, and is
/// logged again. The job stays completed, and no task runs again.
#[test]
fn a_submission_that_is_repeated_after_the_job_is_over_starts_nothing() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1")]);
    let id = sim.submit(1, job(vec![step(1)]));
    sim.end(task(id, 0, 0), ExitKind::Done);
    sim.advance(500);
    assert_eq!(sim.state(id), Some(JobState::Completed));

    let record = JobRecord::Submitted(id, Arc::new(submission(job(vec![step(1)]))));
    sim.scheduler.apply_record(&record, sim.now);
    sim.append(&record);
    sim.advance(500);

    assert_eq!(sim.starts(task(id, 0, 0)), 1);
    assert_eq!(sim.state(id), Some(JobState::Completed));
}

/// A start is not answered but is carried out, and the task is done before the start is sent again.
/// The worker refuses the repeat as an old run. That refusal shows that the run took place, not
/// that it never will: the task must not run a second time.
#[test]
fn a_repeated_start_that_is_refused_as_old_leaves_the_end_to_the_report() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1")]);
    let w1 = sim.workers.get_mut("w1").expect("a worker");
    w1.is_late = true;
    w1.is_stale = true;
    let id = sim.submit(1, job(vec![step(1)]));
    let key = task(id, 0, 0);
    sim.deliver_late("w1");
    let w1 = sim.workers.get_mut("w1").expect("a worker");
    w1.is_late = false;
    w1.exit(key, 1, ExitKind::Done);
    sim.advance(1_000);
    sim.workers.get_mut("w1").expect("a worker").is_stale = false;
    sim.advance(1_000);

    assert_eq!(sim.starts(key), 1);
    assert_eq!(sim.state(id), Some(JobState::Completed));
}

/// One task of a step is larger than the others and takes four times as long on any worker. If it
/// were moved as slow again and again, it would never end. It is moved at most twice.
#[test]
fn a_task_that_is_slow_everywhere_is_left_to_end() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1"), worker("w2", "r2")]);
    let id = sim.submit(1, job(vec![step(4)]));
    let large = task(id, 0, 3);
    sim.advance(1_000);
    for index in 0..3 {
        sim.end(task(id, 0, index), ExitKind::Done);
    }
    for _ in 0..200 {
        sim.progress(large, 2, 100);
    }
    assert!(sim.starts(large) <= 3, "{} starts", sim.starts(large));
    assert_eq!(sim.alive(large), 1);
}

/// A start waits behind other commands to a slow worker. Meanwhile the job is cancelled, and the
/// caller knows it. The start must not be sent.
#[test]
fn a_start_that_waited_behind_other_commands_is_not_sent_once_its_job_is_over() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1")]);
    sim.is_lane_held = true;
    let id = sim.submit(1, job(vec![step(2)]));
    sim.advance(100);
    sim.append(&JobRecord::Cancelled(id));
    sim.empty_lanes();
    sim.advance(1_000);
    sim.empty_lanes();

    assert!(sim.started.is_empty(), "started {:?}", sim.started);
    assert_eq!(sim.state(id), Some(JobState::Cancelled));
}

/// The same repeat for a cancelled job: it stays cancelled.
#[test]
fn a_submission_that_is_repeated_after_a_cancel_starts_nothing() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1")]);
    let id = sim.submit(1, job(vec![step(1)]));
    sim.append(&JobRecord::Cancelled(id));
    sim.advance(500);
    let record = JobRecord::Submitted(id, Arc::new(submission(job(vec![step(1)]))));
    sim.scheduler.apply_record(&record, sim.now);
    sim.advance(500);

    assert_eq!(sim.starts(task(id, 0, 0)), 1);
    assert_eq!(sim.state(id), Some(JobState::Cancelled));
}

/// A start is not answered, and its repeat is refused for lack of capacity. The first may still be
/// carried out once there is capacity, so the worker must refuse that run for good before the task
/// goes to another worker. The task must not run in two places.
#[test]
fn a_start_in_doubt_is_ruled_out_before_the_task_goes_elsewhere() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1"), worker("w2", "r2")]);
    for worker in sim.workers.values_mut() {
        worker.is_late = true;
        worker.is_stale = true;
    }
    let id = sim.submit(1, job(vec![step(1)]));
    let key = task(id, 0, 0);
    let first = sim.workers.iter().find(|(_, worker)| !worker.late.is_empty());
    let first = first.map(|(name, _)| name.clone()).expect("a start is under way");
    for worker in sim.workers.values_mut() {
        worker.is_late = false;
        worker.is_stale = false;
    }
    sim.workers.get_mut(&first).expect("known").is_full = true;
    sim.advance(1_500);
    assert_eq!(sim.alive(key), 1, "it runs elsewhere");
    sim.deliver_late(&first);
    assert_eq!(sim.alive(key), 1);
}

/// A worker's answers are lost while calls to it arrive. If renewals went on extending its leases,
/// its tasks could never be started elsewhere.
#[test]
fn leases_of_a_worker_that_does_not_answer_are_not_prolonged() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1")]);
    sim.submit(1, job(vec![step(1)]));
    sim.advance(500);
    sim.workers.get_mut("w1").expect("a worker").is_silent = true;
    sim.advance(1_000);
    let prolonged = sim.leases.len();
    sim.advance(2_000);
    assert_eq!(sim.leases.len(), prolonged);
}

/// A successor has raised its token on a worker or a VM. The old leader learns of it by the first
/// refusal and must send no more commands: its state is out of date from then on.
#[test]
fn a_refused_token_ends_the_leadership() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1")]);
    let id = sim.submit(1, job(vec![step(1)]));
    let fenced = CommandOutcome::Refused(CommandRefusal::Fenced, None);
    sim.scheduler.handle_start_outcome(&"w1".into(), &task(id, 0, 0), 1, &fenced, sim.now);
    assert!(sim.scheduler.is_deposed());
    sim.scheduler.tick(sim.now + 100, 0);
    assert!(sim.scheduler.take_actions().iter().all(|action| {
        matches!(action, SchedulerAction::Event(_) | SchedulerAction::RenewNow(_))
    }));
    assert!(sim.scheduler.take_commit().is_none());

    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1")]);
    let command = VmCommand::Assign { vm: "m-1".into(), pool: "helpers".into() };
    sim.scheduler.vm_commanded(&command, VmOutcome::Fenced, sim.now);
    assert!(sim.scheduler.is_deposed());
}

/// The same task under changing leaders: if each began the count anew, each would move the task
/// twice more and discard its work. The count is logged with the run.
#[test]
fn moves_of_a_slow_task_are_counted_over_changes_of_leaders() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1"), worker("w2", "r2")]);
    let id = sim.submit(1, job(vec![step(4)]));
    let large = task(id, 0, 3);
    sim.advance(1_000);
    for index in 0..3 {
        sim.end(task(id, 0, index), ExitKind::Done);
    }
    for term in 2..6 {
        sim.take_over(term, config());
        for _ in 0..100 {
            sim.progress(large, 2, 100);
        }
    }
    assert!(sim.starts(large) <= 3, "{} starts", sim.starts(large));
    assert_eq!(sim.alive(large), 1);
}
