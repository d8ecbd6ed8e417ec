//! Contents and order of commits to the log, and the starts and acknowledgements that wait for
//! them.

mod support;

use std::sync::Arc;

use ibisweir::decide::intake::KeptBytes;
use ibisweir::jobs::model::{ExitKind, JobSpec, JobState, StepSpec};
use ibisweir::jobs::record::JobRecord;
use ibisweir::scheduler::SchedulerEvent;
use support::sim::{SchedulerSim, config, job, job_id, step, submission, task, worker};

/// On a slow log each append takes a third of a second, one after the other. A caller's job must be
/// accepted and placed with one append, rather than one of its entry and one of the leader.
#[test]
fn a_relayed_job_is_stored_and_placed_by_one_append() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1")]);
    let id = job_id(1);
    let record = JobRecord::Submitted(id, Arc::new(submission(job(vec![step(1)]))));
    sim.scheduler.relay(7, vec![record], sim.now);
    sim.scheduler.tick(sim.now, 0);
    let batch = sim.scheduler.take_commit().expect("an append");
    assert_eq!(batch.relayed, vec![7]);
    assert!(matches!(batch.decoded[0], JobRecord::Submitted(..)), "{:?}", batch.decoded);
    assert!(matches!(batch.decoded[1], JobRecord::Progress(..)), "{:?}", batch.decoded);
    assert!(sim.scheduler.take_commit().is_none());
}

/// The log is unavailable. A placed job must not start: a successor would not know of the run and
/// would start the task a second time. It starts as soon as the log has the placement.
#[test]
fn no_run_starts_before_its_placement_is_on_the_log() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1")]);
    sim.is_log_up = false;
    let id = sim.submit(1, job(vec![step(1)]));
    sim.advance(1_000);
    assert_eq!(sim.starts(task(id, 0, 0)), 0);
    sim.is_log_up = true;
    sim.advance(100);
    assert_eq!(sim.starts(task(id, 0, 0)), 1);
}

/// The log is unavailable when a task ends. Until it is back, the exit must not be acknowledged to
/// the worker, and callers must not see the job as completed: both would be lost with the leader,
/// and the task would run again.
#[test]
fn an_exit_is_acknowledged_only_once_the_log_has_it() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1")]);
    let id = sim.submit(1, job(vec![step(1)]));
    // Another job keeps the worker's leases in use, so that they are renewed throughout.
    sim.submit(2, job(vec![step(1)]));
    sim.is_log_up = false;
    sim.end(task(id, 0, 0), ExitKind::Done);
    sim.advance(2_000);
    assert_eq!(sim.workers["w1"].exits.len(), 1);
    assert_ne!(sim.state(id), Some(JobState::Completed));
    sim.is_log_up = true;
    sim.advance(200);
    assert!(sim.workers["w1"].exits.is_empty());
    assert_eq!(sim.state(id), Some(JobState::Completed));
}

/// The leader dies after a task has ended and before the log has the exit. The successor finds the
/// exit on the worker's list, and the task must not run again.
#[test]
fn a_successor_processes_an_exit_that_is_not_on_the_log() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1")]);
    let id = sim.submit(1, job(vec![step(1)]));
    sim.is_log_up = false;
    sim.end(task(id, 0, 0), ExitKind::Done);
    sim.is_log_up = true;
    sim.take_over(2, config());
    sim.advance(500);
    assert_eq!(sim.starts(task(id, 0, 0)), 1);
    assert_eq!(sim.state(id), Some(JobState::Completed));
}

/// The leader dies after the log has a placement and before the start is sent. The worker answers
/// the successor and has no such run: the task must start at once.
#[test]
fn a_successor_starts_placed_tasks_that_were_never_started() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1")]);
    sim.is_lane_held = true;
    let id = sim.submit(1, job(vec![step(1)]));
    sim.advance(100);
    sim.is_lane_held = false;
    assert_eq!(sim.starts(task(id, 0, 0)), 0);
    sim.take_over(2, config());
    sim.advance(200);
    assert_eq!(sim.starts(task(id, 0, 0)), 1);
}

/// The leader dies, and the worker that runs a task does not answer the successor. It may still run
/// behind a network partition: the task may start elsewhere only when every lease that the old
/// leader can have granted has expired.
#[test]
fn a_successor_waits_out_the_leases_of_an_unreachable_worker() {
    let pool = vec![worker("w1", "r1"), worker("w2", "r2")];
    let mut sim = SchedulerSim::open(config(), pool);
    let id = sim.submit(1, job(vec![step(1)]));
    let first = sim.place(task(id, 0, 0));
    sim.workers.get_mut(&first).expect("known").is_silent = true;
    sim.take_over(2, config());
    sim.advance(6_500);
    assert_eq!(sim.starts(task(id, 0, 0)), 1, "its lease may still run");
    sim.advance(2_500);
    assert_eq!(sim.starts(task(id, 0, 0)), 2);
}

/// The same, but the VM list shows another incarnation on the worker's VM. Nothing of the old
/// incarnation is alive, and the task must start elsewhere at once.
#[test]
fn runs_are_lost_at_once_if_their_vm_has_another_incarnation() {
    let pool = vec![worker("w1", "r1"), worker("w2", "r2")];
    let mut sim = SchedulerSim::open(config(), pool.clone());
    let id = sim.submit(1, job(vec![step(1)]));
    let first = sim.place(task(id, 0, 0));
    sim.workers.get_mut(&first).expect("known").is_silent = true;
    sim.take_over(2, config());
    sim.advance(1_000);
    let vms = pool
        .iter()
        .map(|entry| support::sim::vm(entry, support::sim::POOL))
        .map(|mut vm| {
            if vm.worker == first {
                vm.worker = "another-incarnation".into();
            }
            vm
        })
        .collect();
    sim.scheduler.update_vms(vms, sim.now, sim.now);
    sim.advance(500);
    assert_eq!(sim.starts(task(id, 0, 0)), 2);
}

/// The leader loses the log but not its workers. Its successor declares their runs over some time
/// after the old leader's last confirmation, so the old leader must stop extending leases in time.
#[test]
fn leases_are_not_extended_while_the_leadership_is_unconfirmed() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1")]);
    sim.submit(1, job(vec![step(1)]));
    sim.advance(500);
    let confirmed = sim.leases.len();
    assert!(confirmed > 0);
    sim.advance_unconfirmed(1_700);
    let last = sim.leases.len();
    sim.advance_unconfirmed(3_000);
    assert_eq!(sim.leases.len(), last);
}

/// A caller cancels a job, and the leader dies before the resulting progress is on the log. The
/// successor knows the cancellation but not its time. It must keep the job for the promised time:
/// if it dropped the job at once, the job would be unknown to its caller, and a repeated submission
/// would run it again.
#[test]
fn a_job_cancelled_around_a_takeover_is_kept() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1")]);
    let id = sim.submit(1, job(vec![step(1)]));
    sim.is_log_up = false;
    sim.append(&JobRecord::Cancelled(id));
    sim.is_log_up = true;
    sim.take_over(2, config());
    sim.advance(5_000);
    assert_eq!(sim.state(id), Some(JobState::Cancelled));
}

/// Many large jobs arrive at once. A single append of them all would exceed the log's limit and be
/// refused again and again, and nothing would be committed any more. They must be appended in
/// parts, and no task may start before its own job is on the log.
#[test]
fn many_large_submissions_are_appended_in_parts() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1")]);
    let payload = "x".repeat(4_000);
    for token in 0..12 {
        let records = (0..30)
            .map(|n| {
                let spec = JobSpec { payload: payload.clone(), ..job(vec![step(1)]) };
                JobRecord::Submitted(job_id(token * 100 + n), Arc::new(submission(spec)))
            })
            .collect();
        sim.scheduler.relay(token, records, sim.now);
    }
    sim.scheduler.tick(sim.now, 0);
    let mut relayed = 0;
    let mut submitted = std::collections::BTreeSet::new();
    while let Some(batch) = sim.scheduler.take_commit() {
        let bytes: usize = batch.records.iter().map(|record| record.value.len()).sum();
        assert!(bytes < 1 << 20, "{bytes} bytes in one append");
        relayed += batch.relayed.len();
        for record in &batch.decoded {
            match record {
                JobRecord::Submitted(id, _) => drop(submitted.insert(*id)),
                JobRecord::Progress(id, _) => assert!(submitted.contains(id), "{id} too early"),
                _ => {}
            }
        }
    }
    assert_eq!(relayed, 12);
    assert_eq!(submitted.len(), 360);
}

/// Guards against a cancelled job that runs because the leader read its cancellation before the job
/// itself.
#[test]
fn a_cancellation_read_before_its_job_takes_effect() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1")]);
    let id = job_id(1);
    sim.append(&JobRecord::Cancelled(id));
    sim.run_until_idle();
    sim.submit(1, job(vec![step(2)]));
    sim.advance(1_000);
    assert_eq!((sim.starts(task(id, 0, 0)), sim.state(id)), (0, Some(JobState::Cancelled)));
}

/// Guards against the same if the leader changes between the two.
#[test]
fn a_cancellation_read_before_its_job_takes_effect_under_the_next_leader() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1")]);
    let id = job_id(1);
    sim.append(&JobRecord::Cancelled(id));
    sim.take_over(2, config());
    sim.submit(1, job(vec![step(2)]));
    sim.advance(1_000);
    assert_eq!((sim.starts(task(id, 0, 0)), sim.state(id)), (0, Some(JobState::Cancelled)));
}

/// Size of a commit that holds some 20 records, in bytes.
const SMALL_COMMIT_BYTES: usize = 1_024;
/// Jobs, most of which wait for capacity.
const CHANGED: u64 = 600;

/// A full worker with waiting jobs, while the log is unavailable. Returns the simulation and a task
/// that runs.
fn full_pool() -> (SchedulerSim, ibisweir::jobs::model::TaskKey) {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1")]);
    for id in 0..CHANGED {
        sim.submit(id, job(vec![step(1)]));
    }
    sim.is_log_up = false;
    let running = sim.started.first().expect("some run").0;
    (sim, running)
}

/// Cancels waiting jobs.
fn cancel_waiting(sim: &mut SchedulerSim, ids: std::ops::Range<u64>) {
    for id in ids {
        assert_eq!(sim.starts(task(job_id(id), 0, 0)), 0, "it runs");
        sim.append(&JobRecord::Cancelled(job_id(id)));
    }
    sim.run_until_idle();
}

/// Guards against a start that waits behind all other changes on a narrow link.
#[test]
fn a_start_is_committed_before_other_changes() {
    let (mut sim, running) = full_pool();
    cancel_waiting(&mut sim, 200..CHANGED);
    let placed = sim.events.len();
    sim.end(running, ExitKind::Done);
    sim.advance(200);
    let started = sim.events[placed..].iter().find_map(|event| match event {
        SchedulerEvent::Placed { task, .. } => Some(task.job),
        _ => None,
    });
    assert!(started.is_some(), "nothing was placed");
    let batch = sim.scheduler.take_commit_within(SMALL_COMMIT_BYTES).expect("an append");
    assert!(batch.records.len() < 100, "everything fits into one commit");
    assert_eq!(batch.decoded.first().and_then(JobRecord::job), started);
}

/// Guards against exits that workers list again and again because other changes always wait for the
/// log before them.
#[test]
fn exits_are_acknowledged_while_other_changes_keep_coming() {
    let (mut sim, running) = full_pool();
    cancel_waiting(&mut sim, 200..240);
    sim.end(running, ExitKind::Done);
    sim.advance(200);
    for first in (240..CHANGED).step_by(40) {
        // Each time more than the commits hold.
        cancel_waiting(&mut sim, first..first + 40);
        for _ in 0..6 {
            let batch =
                sim.scheduler.take_commit_within(SMALL_COMMIT_BYTES / 8).expect("an append");
            sim.scheduler.committed(&batch, sim.now);
        }
    }
    sim.advance(200);
    assert!(sim.scheduler.take_commit_within(SMALL_COMMIT_BYTES / 8).is_some(), "nothing was left");
    assert!(sim.workers["w1"].exits.is_empty(), "no exit was acknowledged");
}

/// Guards against a relayed batch that is confirmed before all of it is on the log, and against
/// progress of a job that the log does not have.
#[test]
fn a_relayed_batch_is_confirmed_with_its_last_part() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1")]);
    let submitted = Arc::new(submission(job(vec![step(1)])));
    let records = (0..CHANGED).map(|id| JobRecord::Submitted(job_id(id), submitted.clone()));
    sim.scheduler.relay(7, records.collect(), sim.now);
    sim.scheduler.tick(sim.now, 0);
    let mut stored = std::collections::BTreeSet::new();
    let mut commits = 0;
    while let Some(batch) = sim.scheduler.take_commit_within(SMALL_COMMIT_BYTES) {
        commits += 1;
        for record in &batch.decoded {
            match record {
                JobRecord::Submitted(id, _) => drop(stored.insert(*id)),
                JobRecord::Progress(id, _) => assert!(stored.contains(id), "{id} too early"),
                _ => {}
            }
        }
        let is_whole = stored.len() == usize::try_from(CHANGED).expect("few");
        assert!(batch.relayed.is_empty() || is_whole, "confirmed too early");
        sim.scheduler.committed(&batch, sim.now);
    }
    assert!(commits > 3, "it fits into one commit");
    assert_eq!(stored.len(), usize::try_from(CHANGED).expect("few"));
}

/// Guards against exits that are never acknowledged while large submissions of other entries fill
/// each append.
#[test]
fn exits_are_acknowledged_while_large_submissions_keep_coming() {
    let (mut sim, running) = full_pool();
    sim.end(running, ExitKind::Done);
    sim.advance(200);
    let spec = JobSpec { payload: "x".repeat(SMALL_COMMIT_BYTES + 1_000), ..job(vec![step(1)]) };
    let submitted = Arc::new(submission(spec));
    for id in 0..20 {
        let record = JobRecord::Submitted(job_id(10_000 + id), submitted.clone());
        sim.scheduler.relay(id, vec![record], sim.now);
        let batch = sim.scheduler.take_commit_within(SMALL_COMMIT_BYTES).expect("an append");
        sim.scheduler.committed(&batch, sim.now);
    }
    sim.advance(200);
    assert!(sim.workers["w1"].exits.is_empty(), "no exit was acknowledged");
}

/// A submission of this many bytes.
fn large_submission(id: u64, bytes: usize) -> JobRecord {
    let large = StepSpec { image: "i".repeat(bytes), ..step(1) };
    JobRecord::Submitted(job_id(id), Arc::new(submission(job(vec![large]))))
}

/// Guards against ordinary jobs that wait behind the large ones of other entries.
#[test]
fn relayed_batches_with_large_jobs_come_after_the_others() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1")]);
    for token in 1..=3 {
        sim.scheduler.relay(token, vec![large_submission(token, 250_000)], sim.now);
    }
    let ordinary = JobRecord::Submitted(job_id(9), Arc::new(submission(job(vec![step(1)]))));
    sim.scheduler.relay(9, vec![ordinary], sim.now);
    let mut relayed = Vec::new();
    while let Some(batch) = sim.scheduler.take_commit_within(SMALL_COMMIT_BYTES) {
        assert!(batch.bytes() < 2 * 250_000, "one large job an append: {}", batch.bytes());
        relayed.extend_from_slice(&batch.relayed);
        sim.scheduler.committed(&batch, sim.now);
    }
    assert_eq!(relayed, [9, 1, 2, 3]);
    assert_eq!(sim.scheduler.waiting_bytes(), KeptBytes::default());
}

/// Guards against large jobs of all entries that wait at the leader without a bound.
#[test]
fn large_jobs_beyond_the_room_are_rejected_and_others_are_not() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1")]);
    let ordinary = JobRecord::Submitted(job_id(9), Arc::new(submission(job(vec![step(1)]))));
    let records = vec![large_submission(1, 250_000), large_submission(2, 250_000), ordinary];
    let room = KeptBytes { all: 1 << 20, large: 300_000 };
    let (accepted, rejections) = sim.scheduler.reject_relayed(records, sim.now, room);
    assert_eq!(accepted.len(), 2);
    assert_eq!(rejections.iter().map(|rejection| rejection.position).collect::<Vec<_>>(), [1]);
}
