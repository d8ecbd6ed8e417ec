//! Snapshots of the log after jobs have finished, and the answers of an entry that restarts from
//! one.

mod support;

use std::sync::Arc;

use ibisweir::jobs::job_table::JobTable;
use ibisweir::jobs::model::{ExitKind, JobState};
use ibisweir::jobs::record::JobRecord;
use support::sim::{SchedulerSim, config, job, job_id, step, submission, task, worker};

/// A simulation with a finished job, and the snapshot of the log some time later.
fn finished_job() -> (SchedulerSim, Vec<(u64, JobRecord)>) {
    let mut sim = SchedulerSim::open(config(), vec![worker("w0", "r0")]);
    let id = sim.submit(1, job(vec![step(1)]));
    sim.end(task(id, 0, 0), ExitKind::Done);
    sim.advance(1_000);
    assert_eq!(sim.state(id), Some(JobState::Completed));
    let logged = sim.job_table.get(id).expect("known");
    let submission = logged.submission.clone().expect("submitted");
    let progress = logged.progress.clone().expect("it has progress");
    let newest =
        vec![(8, JobRecord::Progress(id, progress)), (9, JobRecord::Submitted(id, submission))];
    (sim, newest)
}

/// Guards against snapshots full of specifications, which take nine tenths of all bytes when an
/// entry restarts on a slow link. Of a finished job only the state is needed, and callers get the
/// same answer.
#[test]
fn specs_of_finished_jobs_are_removed_from_the_log() {
    let (_, newest) = finished_job();
    let mut table = JobTable::default();
    for (offset, record) in &newest {
        table.fold(record, *offset);
    }
    let logged = table.get(job_id(1)).expect("known");
    assert_eq!(logged.state(), Some(JobState::Completed));
    let submission = logged.submission.as_ref().expect("kept");
    assert!(submission.has_no_spec());
    assert_eq!(submission.task_count(), 1, "operators still see the number of tasks");
}

/// Guards against a finished job that runs again under a new leader, also when a caller repeats the
/// submission, with its specification, seconds later.
#[test]
fn a_successor_starts_nothing_of_a_job_without_its_spec() {
    let (mut sim, _) = finished_job();
    sim.take_over(2, config());
    let repeat = JobRecord::Submitted(job_id(1), Arc::new(submission(job(vec![step(1)]))));
    sim.append(&repeat);
    sim.scheduler.apply_record(&repeat, sim.now);
    sim.advance(2_000);
    assert_eq!(sim.starts(task(job_id(1), 0, 0)), 1);
    assert_eq!(sim.state(job_id(1)), Some(JobState::Completed));
}

/// Guards against a job that nobody submitted being shown as completed: a record without a
/// specification reaches a leader that does not know the job. Taken for a submission, it would have
/// no tasks to run and complete at once.
#[test]
fn a_record_without_a_spec_creates_no_job() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w0", "r0")]);
    let remainder = submission(job(vec![step(1)])).without_spec();
    sim.scheduler.apply_record(&JobRecord::Submitted(job_id(7), Arc::new(remainder)), sim.now);
    sim.advance(1_000);
    assert_eq!(sim.scheduler.stats().jobs, 0);
    assert_eq!(sim.state(job_id(7)), None);
}

/// Guards against a specification that is removed while a run of the cancelled job is still being
/// stopped: a successor needs it to know the run's resource demands.
#[test]
fn a_spec_is_kept_until_no_task_of_its_job_runs() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w0", "r0")]);
    sim.workers.get_mut("w0").expect("known").stop_ms = 800;
    let id = sim.submit(1, job(vec![step(1)]));
    sim.append(&JobRecord::Cancelled(id));
    sim.advance(300);
    let has_no_spec = |sim: &SchedulerSim| {
        let logged = sim.job_table.get(id).expect("known");
        logged.submission.as_ref().expect("submitted").has_no_spec()
    };
    assert!(!has_no_spec(&sim));
    sim.advance(2_000);
    assert!(has_no_spec(&sim));
    assert_eq!(sim.state(id), Some(JobState::Cancelled));
}
