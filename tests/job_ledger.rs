//! What the soak's ledger takes for a broken promise when a job's cancellation was acknowledged.

use std::time::Duration;

use ibisweir::jobs::model::{JobId, TaskKey};
use ibisweir_standin::jobs::ledger::{CANCEL_MS, CallerJob, JobLedger, SubmissionEnd};
use tokio::time::Instant;

const WORKER: &str = "vm-0-1@1";
const TEXT: &str = "work=30 cpu=500";

fn first_task() -> TaskKey {
    let job = JobId::parse("5c0e7a21d94b36f8").expect("an id");
    TaskKey { job, occurrence: 0, step: 0, index: 0 }
}

/// A ledger that knows one job whose submission ended like this.
fn ledger(end: Option<SubmissionEnd>) -> JobLedger {
    let mut ledger = JobLedger::default();
    let job = CallerJob {
        payload: TEXT.to_owned(),
        steps: vec![1],
        end,
        is_cancelled: true,
        lasts: false,
        organisation: None,
        may_fail: false,
    };
    ledger.jobs.insert(first_task().job, job);
    ledger
}

/// The first start so long after the acknowledgement; how many promises it breaks.
fn broken_by_start_after(since_ms: u64, is_late: bool, end: Option<SubmissionEnd>) -> usize {
    let mut ledger = ledger(end);
    let told = Instant::now();
    ledger.cancelled(first_task().job, "entry-1 (200)", told);
    let now = told + Duration::from_millis(since_ms);
    ledger.started(first_task(), 1, WORKER, TEXT, is_late, now);
    ledger.faults.len()
}

/// A task began on a worker later than the bound after its job's cancellation was acknowledged.
#[test]
fn a_start_later_than_the_bound_after_a_cancellation_is_a_broken_promise() {
    let end = Some(SubmissionEnd::Accepted);
    assert_eq!(broken_by_start_after(CANCEL_MS, false, end), 0);
    assert_eq!(broken_by_start_after(CANCEL_MS + 1, false, end), 1);
}

/// A job that its caller does not know to be accepted ran on after it was cancelled.
#[test]
fn a_job_of_unknown_outcome_may_not_start_after_its_cancellation_either() {
    for end in [Some(SubmissionEnd::Unknown), None] {
        assert_eq!(broken_by_start_after(CANCEL_MS + 1, false, end), 1, "{end:?}");
    }
}

/// The worker's own delay is no fault of whoever sent the start.
#[test]
fn a_start_that_its_worker_carries_out_late_is_not_counted() {
    assert_eq!(broken_by_start_after(CANCEL_MS + 1, true, Some(SubmissionEnd::Accepted)), 0);
}

/// A second cancellation moved the bound.
#[test]
fn the_first_acknowledgement_counts() {
    let mut ledger = ledger(Some(SubmissionEnd::Accepted));
    let told = Instant::now();
    ledger.cancelled(first_task().job, "entry-1 (200)", told);
    let again = told + Duration::from_millis(CANCEL_MS);
    ledger.cancelled(first_task().job, "entry-2 (200)", again);
    ledger.started(first_task(), 1, WORKER, TEXT, false, again + Duration::from_millis(1));
    assert_eq!(ledger.faults.len(), 1, "{:?}", ledger.faults);
}

/// Runs that nobody stopped were not told apart from those that were.
#[test]
fn runs_that_begin_after_a_cancellation_are_counted_and_those_that_end_as_done() {
    let mut ledger = ledger(Some(SubmissionEnd::Accepted));
    let told = Instant::now();
    ledger.started(first_task(), 1, WORKER, TEXT, false, told);
    ledger.ended(first_task(), 1, WORKER, false);
    ledger.cancelled(first_task().job, "entry-1 (200)", told);
    for (run, is_done) in [(2, false), (3, true)] {
        ledger.started(first_task(), run, WORKER, TEXT, false, told + Duration::from_millis(9));
        ledger.ended(first_task(), run, WORKER, is_done);
    }
    assert_eq!((ledger.starts_cancelled, ledger.done_cancelled), (2, 1));
    assert!(ledger.faults.is_empty(), "{:?}", ledger.faults);
}
