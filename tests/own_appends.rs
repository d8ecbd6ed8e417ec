//! Tests that a leader does not read back its own appends.

mod support;

use std::sync::Arc;

use ibisweir::jobs::node::JobNode;
use ibisweir::jobs::record::JobRecord;
use support::fakes::{idle_node, lead};
use support::sim::{job, job_id, step, submission};

fn record(id: u64) -> JobRecord {
    JobRecord::Submitted(job_id(id), Arc::new(submission(job(vec![step(1)]))))
}

fn leader() -> Arc<JobNode> {
    let node = idle_node();
    lead(&node);
    node
}

/// The leader is the only writer and appends twenty times a second. The applied offset must follow
/// its own appends, because reading would only return what it has written itself.
#[test]
fn the_applied_offset_follows_own_appends() {
    let node = leader();
    for offset in 0..5 {
        node.fold_appended(&[record(offset)], offset, offset + 1);
    }
    assert_eq!(node.applied_offset(), 5);
    // On a busy machine an append can become too old between two lines of this test.
    let is_sole = (5..100).any(|offset| {
        node.fold_appended(&[record(offset)], offset, offset + 1);
        node.is_sole_writer()
    });
    assert!(is_sole);
}

/// An entry that could not reach the leader has appended a submission itself, between two appends
/// of the leader. The leader must read it, or that caller's job would never run. It need not read
/// its own appends that follow.
#[test]
fn records_of_others_are_read_and_own_appends_are_not() {
    let node = leader();
    node.fold_appended(&[record(1)], 0, 1);
    node.fold_appended(&[record(3), record(4)], 2, 4);
    node.fold_appended(&[record(5)], 4, 5);
    assert_eq!(node.applied_offset(), 1, "the record at offset 1 has not been read");
    assert!(!node.is_sole_writer());
    node.fold_read(vec![(1, record(2))], 2);
    assert_eq!(node.applied_offset(), 5);
    assert_eq!(node.with_scheduler(|scheduler| scheduler.stats().jobs), Some(1));
    assert!(node.job_table().get(job_id(2)).is_some());
}

/// Guards against a leader that forgets a job: the drop of an earlier job of the same id is read
/// again, together with a record of another entry, after the leader has stored the new one.
#[test]
fn a_drop_that_is_read_again_removes_no_newer_job() {
    let node = leader();
    let dropped = JobRecord::Dropped(job_id(1));
    node.fold_appended(std::slice::from_ref(&dropped), 1, 4);
    node.fold_appended(&[record(1)], 4, 5);
    node.fold_read(vec![(0, record(2)), (3, dropped)], 4);
    assert_eq!(node.applied_offset(), 5);
    assert!(node.job_table().get(job_id(1)).is_some());
}
