//! Tests of an entry that has fallen behind the records that the log keeps, and therefore starts
//! again from a snapshot: the newest record of each key.
//!
//! The pages of a snapshot reflect different moments. In these tests the log ends at [`END`] when
//! the first page is made.

mod support;

use std::sync::Arc;

use ibisweir::decide::access::OrganisationDigest;
use ibisweir::jobs::follower::{TailStep, fold_step};
use ibisweir::jobs::model::{JobId, JobState};
use ibisweir::jobs::node::JobNode;
use ibisweir::jobs::record::{JobProgress, JobRecord};
use ibisweir::scheduler::{Scheduler, SchedulerStart};
use support::fakes::{idle_node, lead};
use support::sim::{QUEUE, bounds, config, job, job_id, step, submission};

/// End of the log when the first page of the snapshot was made.
const END: u64 = 300;

fn submitted(id: u64) -> JobRecord {
    JobRecord::Submitted(job_id(id), Arc::new(submission(job(vec![step(1)]))))
}

fn completed(id: u64) -> JobRecord {
    let progress = JobProgress {
        term: 1,
        state: JobState::Completed,
        ended_ms: 1,
        occurrences_done: 1,
        steps_done: Vec::new(),
        tasks: Vec::new(),
        workers: Vec::new(),
        restarts: Vec::new(),
        last_alive_ms: Vec::new(),
        failed_runs: Vec::new(),
        lost_runs: Vec::new(),
    };
    JobRecord::Progress(job_id(id), Arc::new(progress))
}

/// Creates an entry that has read these records from the start of the log.
fn lagging_node(records: Vec<JobRecord>) -> Arc<JobNode> {
    let node = idle_node();
    let end = records.len() as u64;
    node.fold_read((0..).zip(records).collect(), end);
    node
}

/// Applies a snapshot of these records.
fn apply_snapshot(node: &JobNode, newest: &[(u64, JobRecord)]) {
    let encode = |(offset, record): &(u64, JobRecord)| (*offset, record.encode().expect("kept"));
    fold_step(node, TailStep::Snapshot(newest.iter().map(encode).collect()), END);
}

fn state(node: &JobNode, id: u64) -> Option<JobState> {
    node.job_table().get(job_id(id)).and_then(|job| job.state())
}

fn waiting(node: &JobNode) -> u64 {
    node.job_table().waiting_jobs(QUEUE)
}

/// Number of jobs that a leader would run if it took over with this entry's job table.
fn open_jobs(node: &JobNode) -> usize {
    let start = SchedulerStart {
        term: 2,
        bounds: bounds(),
        config: Arc::new(config()),
        predecessor: None,
        confirmed_ms: 100_000,
        jobs_read_ms: 100_000,
        workers_read_ms: 100_000,
        now: 100_000,
        wall_ms: node.clock.wall_ms(),
    };
    Scheduler::open(start, &node.job_table()).stats().jobs
}

fn dropped(id: u64) -> JobRecord {
    JobRecord::Dropped(job_id(id))
}

fn apply_read(node: &JobNode, records: Vec<(u64, JobRecord)>, next: u64) {
    node.fold_read(records, next);
}

/// Guards against a job that runs again under the next leader, although it finished and was dropped
/// while that entry lagged behind.
#[test]
fn a_job_that_was_dropped_meanwhile_is_gone() {
    let node = lagging_node(vec![submitted(1), submitted(2)]);
    assert_eq!((waiting(&node), open_jobs(&node)), (2, 2));
    apply_snapshot(&node, &[(1, submitted(2))]);
    assert_eq!((state(&node, 1), state(&node, 2)), (None, Some(JobState::Queued)));
    assert_eq!((waiting(&node), open_jobs(&node)), (1, 1));
    assert_eq!(node.applied_offset(), END);
}

/// Guards against mistaking a new job for an earlier one of the same id that was dropped meanwhile.
#[test]
fn a_job_that_was_dropped_and_submitted_again_is_new() {
    let node = lagging_node(vec![submitted(1), JobRecord::Cancelled(job_id(1)), completed(1)]);
    apply_snapshot(&node, &[(290, submitted(1))]);
    assert_eq!(state(&node, 1), Some(JobState::Queued));
    assert_eq!(waiting(&node), 1);
}

/// Guards against losing records that are still in the log together with those that are not.
#[test]
fn records_that_the_log_keeps_are_kept() {
    let wave = |names: &[&str]| {
        JobRecord::Wave(1, Arc::new(names.iter().map(|name| Arc::from(*name)).collect()))
    };
    let node = lagging_node(vec![submitted(1), submitted(2), wave(&["a"])]);
    let newest = [
        (250, completed(2)),
        (0, submitted(1)),
        (1, submitted(2)),
        (260, wave(&["a", "b"])),
        (270, JobRecord::Cancelled(job_id(1))),
    ];
    apply_snapshot(&node, &newest);
    assert_eq!(state(&node, 1), Some(JobState::Cancelled));
    assert_eq!(state(&node, 2), Some(JobState::Completed));
    assert_eq!(node.job_table().maintained(1).len(), 2);
}

/// Guards against an entry that forgets a job, because the job was stored after the page that would
/// hold it was made.
#[test]
fn records_that_this_entry_appends_between_two_pages_are_kept() {
    let node = lagging_node(vec![submitted(1), submitted(2)]);
    node.fold(&[(310, submitted(3)), (311, JobRecord::Cancelled(job_id(2)))]);
    apply_snapshot(&node, &[(0, submitted(1)), (1, submitted(2))]);
    assert_eq!(state(&node, 2), Some(JobState::Cancelled));
    assert_eq!(state(&node, 3), Some(JobState::Queued));
}

/// Guards against an entry that loses a job that the leader stored at an offset unknown to the
/// entry. The job is either on a page or among the records read after the snapshot.
#[test]
fn records_that_the_leader_stores_between_two_pages_are_read_later() {
    let node = lagging_node(vec![submitted(1)]);
    node.fold(&[(0, submitted(2)), (1, submitted(3)), (2, JobRecord::Cancelled(job_id(1)))]);
    apply_snapshot(&node, &[(0, submitted(1)), (299, submitted(2))]);
    assert_eq!(state(&node, 2), Some(JobState::Queued));
    let records = vec![(END, submitted(3)), (END + 1, JobRecord::Cancelled(job_id(1)))];
    apply_read(&node, records, END + 2);
    assert_eq!(state(&node, 1), Some(JobState::Cancelled));
    assert_eq!(state(&node, 3), Some(JobState::Queued));
    assert_eq!(waiting(&node), 2);
}

/// Guards against a leader that forgets runs, because it wrote them after the page of their job was
/// made.
#[test]
fn records_that_a_leader_writes_between_two_pages_are_kept() {
    let node = lagging_node(vec![submitted(1), submitted(2)]);
    lead(&node);
    node.fold_appended(&[completed(1), submitted(3)], 305, 307);
    // Applied once more in the role of the caller's entry, which does not know the offsets.
    let unseen = JobRecord::CancelledBy(job_id(4), OrganisationDigest::of(None));
    node.fold_appended(std::slice::from_ref(&unseen), 307, 308);
    node.fold(&[(0, submitted(3)), (0, unseen)]);
    apply_snapshot(&node, &[(0, submitted(1)), (1, submitted(2))]);
    assert_eq!(state(&node, 1), Some(JobState::Completed));
    assert_eq!(state(&node, 2), Some(JobState::Queued));
    assert_eq!(state(&node, 3), Some(JobState::Queued));
    // Once the records of others before its own are read, its own need not be.
    apply_read(&node, Vec::new(), 305);
    assert_eq!(node.applied_offset(), 308);
    apply_read(&node, vec![(308, submitted(4))], 309);
    assert_eq!(state(&node, 4), Some(JobState::Cancelled));
}

/// Guards against a job that comes back with a page from before its drop. The drop is among the
/// records read from the first page's end on.
#[test]
fn a_job_that_is_dropped_between_two_pages_goes_when_the_drop_is_read() {
    let node = lagging_node(vec![submitted(1)]);
    apply_snapshot(&node, &[(0, submitted(1)), (298, submitted(2))]);
    apply_read(&node, vec![(302, dropped(1)), (305, dropped(2))], 306);
    assert_eq!((state(&node, 1), state(&node, 2), waiting(&node)), (None, None, 0));
}

/// Guards against a job that comes back with a page from before a leader's own drop of it, which
/// the leader does not read back.
#[test]
fn a_job_that_this_entry_drops_between_two_pages_stays_gone() {
    let node = lagging_node(vec![submitted(1)]);
    lead(&node);
    node.fold_appended(&[dropped(1)], 302, 305);
    apply_snapshot(&node, &[(0, submitted(1))]);
    assert_eq!((state(&node, 1), waiting(&node)), (None, 0));
    assert_eq!(node.with_scheduler(|scheduler| scheduler.stats().jobs), Some(0));
    apply_read(&node, Vec::new(), 302);
    assert_eq!(node.applied_offset(), 305);
    // A later submission under the same id is another job.
    apply_read(&node, vec![(305, submitted(1))], 306);
    assert_eq!(state(&node, 1), Some(JobState::Queued));
    assert_eq!(node.with_scheduler(|scheduler| scheduler.stats().jobs), Some(1));
}

/// Guards against a job that comes back with a snapshot that is older than the records that another
/// reader has applied meanwhile.
#[test]
fn a_snapshot_older_than_the_applied_offset_changes_nothing() {
    let node = lagging_node(vec![submitted(1)]);
    apply_read(&node, vec![(350, dropped(1)), (351, submitted(2))], 400);
    apply_snapshot(&node, &[(0, submitted(1))]);
    assert_eq!((state(&node, 1), state(&node, 2)), (None, Some(JobState::Queued)));
    assert_eq!((node.applied_offset(), waiting(&node)), (400, 1));
}

/// Guards against counting a job twice, or passing it to the scheduler twice, because a later page
/// holds it and it is read once more after the snapshot.
#[test]
fn a_record_that_a_later_page_has_already_counts_once() {
    let node = idle_node();
    lead(&node);
    apply_snapshot(&node, &[(302, submitted(1)), (299, submitted(2))]);
    apply_read(&node, vec![(301, submitted(3)), (302, submitted(1))], 303);
    assert_eq!(waiting(&node), 3);
    assert_eq!(node.with_scheduler(|scheduler| scheduler.stats().jobs), Some(3));
    let known = |id: JobId| node.job_table().get(id).is_some();
    assert!([1, 2, 3].into_iter().all(|id| known(job_id(id))));
}
