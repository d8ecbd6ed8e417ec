//! Callers ask for jobs that their entry has not read from the log yet.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use ibisweir::jobs::catch_up::CatchUpReader;
use ibisweir::jobs::follower::{TailStep, fold_step};
use ibisweir::jobs::model::JobId;
use ibisweir::jobs::node::JobNode;
use ibisweir::jobs::ports::{
    AppendCall, AppendOutcome, JobLog, LogBatch, LogTopic, NewestPage, ReadOutcome,
};
use ibisweir::jobs::record::{JobRecord, KeyedRecord};
use support::sim::{job, job_id, site_settings, step, submission};
use tokio::time::sleep;

/// Time that a read takes over the slow link.
const READ_TIME: Duration = Duration::from_millis(200);

/// A log behind a slow link. It has one record at the start, and one more with each read.
#[derive(Clone, Default)]
struct SlowLog {
    reads: Arc<AtomicUsize>,
    is_unavailable: bool,
}

fn submitted(id: u64) -> KeyedRecord {
    JobRecord::Submitted(job_id(id), Arc::new(submission(job(vec![step(1)]))))
        .encode()
        .expect("a submission is encoded")
}

impl JobLog for SlowLog {
    async fn append(&self, _: &AppendCall, _: Duration) -> AppendOutcome {
        AppendOutcome::Refused
    }

    async fn read(&self, _: LogTopic, from: u64, _: Duration) -> ReadOutcome {
        self.reads.fetch_add(1, Ordering::Relaxed);
        sleep(READ_TIME).await;
        if self.is_unavailable {
            return ReadOutcome::Unknown;
        }
        let records = vec![(from, submitted(from))];
        ReadOutcome::Read(LogBatch { end: from + 1, next: from + 1, records })
    }

    async fn newest(&self, _: LogTopic, _: Option<&str>) -> Option<NewestPage> {
        None
    }
}

fn node() -> Arc<JobNode> {
    let logger = ibisweir::logging::silent();
    Arc::new(JobNode::new(site_settings(), Arc::default(), logger))
}

/// Guards against a read for each caller: fifty callers ask a weak entry at once for jobs that it
/// does not know. With a read each, the link would carry the same records fifty times, every caller
/// would be told that the log is unavailable, and the entry would fall further behind.
#[tokio::test(start_paused = true)]
async fn callers_that_ask_at_the_same_time_share_reads_of_the_log() {
    let log = SlowLog::default();
    let reader = Arc::new(CatchUpReader::new(node(), log.clone()));
    let requests: Vec<_> = (0..50)
        .map(|_| {
            let reader = reader.clone();
            tokio::spawn(async move { reader.catch_up().await })
        })
        .collect();
    for answer in requests {
        assert!(answer.await.expect("no panic"));
    }
    assert!(log.reads.load(Ordering::Relaxed) <= 2);
}

/// Guards against a wrong "no such job": a caller asks while a read is in progress. The job may
/// have been accepted after that read began, so another read must follow.
#[tokio::test(start_paused = true)]
async fn a_read_that_began_before_the_request_does_not_answer_it() {
    let log = SlowLog::default();
    let reader = Arc::new(CatchUpReader::new(node(), log.clone()));
    let first = {
        let reader = reader.clone();
        tokio::spawn(async move { reader.catch_up().await })
    };
    sleep(READ_TIME / 2).await;
    assert!(reader.catch_up().await);
    assert!(first.await.expect("no panic"));
    assert_eq!(log.reads.load(Ordering::Relaxed), 2);
}

/// Guards against callers that wait beyond their time limit, also behind others, while the log
/// can't be read.
#[tokio::test(start_paused = true)]
async fn callers_learn_in_time_that_the_log_is_unavailable() {
    let log = SlowLog { is_unavailable: true, ..SlowLog::default() };
    let reader = Arc::new(CatchUpReader::new(node(), log));
    let requests: Vec<_> = (0..50)
        .map(|_| {
            let reader = reader.clone();
            tokio::spawn(async move { reader.catch_up().await })
        })
        .collect();
    let begun = tokio::time::Instant::now();
    for answer in requests {
        assert!(!answer.await.expect("no panic"));
    }
    assert!(begun.elapsed() <= Duration::from_secs(1));
}

/// A log with one record, whose first answers lack the record although they give the log's end.
#[derive(Clone, Default)]
struct EmptyAnswerLog {
    reads: Arc<AtomicUsize>,
    empty_answers: usize,
}

impl JobLog for EmptyAnswerLog {
    async fn append(&self, _: &AppendCall, _: Duration) -> AppendOutcome {
        AppendOutcome::Refused
    }

    async fn read(&self, _: LogTopic, from: u64, _: Duration) -> ReadOutcome {
        sleep(Duration::from_millis(1)).await;
        let is_empty = self.reads.fetch_add(1, Ordering::Relaxed) < self.empty_answers;
        let (records, next) = match (is_empty, from) {
            (false, 0) => (vec![(0, submitted(7))], 1),
            _ => (Vec::new(), from),
        };
        ReadOutcome::Read(LogBatch { end: 1, next, records })
    }

    async fn newest(&self, _: LogTopic, _: Option<&str>) -> Option<NewestPage> {
        None
    }
}

/// Guards against a wrong "no such job": an answer without records is the end of the log only if it
/// is located there.
#[tokio::test(start_paused = true)]
async fn an_answer_without_records_is_not_the_end_of_the_log() {
    let node = node();
    let log = EmptyAnswerLog { empty_answers: 3, ..EmptyAnswerLog::default() };
    assert!(CatchUpReader::new(node.clone(), log).catch_up().await);
    assert!(is_known(&node, job_id(7)));
    let node = self::node();
    let log = EmptyAnswerLog { empty_answers: usize::MAX, ..EmptyAnswerLog::default() };
    assert!(!CatchUpReader::new(node.clone(), log).catch_up().await);
    assert!(!node.is_current());
}

fn is_known(node: &JobNode, id: JobId) -> bool {
    node.job_table().get(id).is_some()
}

/// Guards against a job that runs again after it was dropped. Two reads begin at the same offset;
/// the first answer has the job and its drop, the second, later one has only the job. If the job
/// were added again, the next leader would start it.
#[test]
fn a_late_answer_does_not_restore_a_dropped_job() {
    let node = node();
    let dropped = JobRecord::drop_records(job_id(7)).pop().expect("the submission's key");
    let whole = vec![(0, submitted(7)), (1, dropped)];
    let part = vec![(0, submitted(7))];
    fold_step(&node, TailStep::Records(whole), 2);
    fold_step(&node, TailStep::Records(part), 1);
    assert!(!is_known(&node, job_id(7)));
    assert_eq!(node.applied_offset(), 2);
}

/// Guards against maintaining VMs twice: records of a wave are read out of order, the older one
/// last.
#[test]
fn maintained_vms_are_never_forgotten() {
    let node = node();
    let done = |names: &[&str]| {
        let names = names.iter().map(|name| Arc::from(*name)).collect();
        JobRecord::Wave(1, Arc::new(names))
    };
    node.fold(&[(5, done(&["a", "b", "c"])), (3, done(&["a"]))]);
    assert_eq!(node.job_table().maintained(1).len(), 3);
}
