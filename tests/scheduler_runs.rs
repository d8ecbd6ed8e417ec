//! A task runs once, whatever fails around it.

mod support;

use std::sync::Arc;

use ibisweir::jobs::model::{ExitKind, JobState};
use ibisweir::jobs::record::JobRecord;
use support::stage::{Stage, config, job, submission, step, task, worker};

/// A caller's first answer was lost, or its request was repeated by the network: seconds after the
/// job is completed the same submission reaches another entry, which has not read of it yet, and is
/// put on the log again. The caller sees one job that stays completed, and no task runs again.
#[test]
fn a_submission_that_is_repeated_after_the_job_is_over_starts_nothing() {
    let mut stage = Stage::open(config(), vec![worker("w1", "r1")]);
    let id = stage.submit(1, job(vec![step(1)]));
    stage.end(task(id, 0, 0), ExitKind::Done);
    stage.advance(500);
    assert_eq!(stage.state(id), Some(JobState::Completed));

    let record = JobRecord::Submitted(id, Arc::new(submission(job(vec![step(1)]))));
    stage.scheduler.take_record(&record, stage.now);
    stage.append(&record);
    stage.advance(500);

    assert_eq!(stage.starts(task(id, 0, 0)), 1);
    assert_eq!(stage.state(id), Some(JobState::Completed));
}
