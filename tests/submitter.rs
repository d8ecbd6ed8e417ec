//! How an entry stores its callers' records while there is no leader.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use ibisweir::decide::intake::ProcessLimits;
use ibisweir::decide::replica::ReplicaList;
use ibisweir::jobs::model::StepSpec;
use ibisweir::jobs::node::JobNode;
use ibisweir::jobs::ports::{AppendCall, AppendOutcome, JobLog, LogTopic, NewestPage, ReadOutcome};
use ibisweir::jobs::record::JobRecord;
use ibisweir::jobs::relay::RelayClient;
use ibisweir::jobs::site::SiteSettings;
use ibisweir::jobs::submitter::{self, SubmitHandle, SubmitOutcome};
use ibisweir::scheduler::Scheduler;
use ibisweir::transport::HttpTransport;
use support::fakes::{idle_node, lead, node_with};
use support::sim::{job, job_id, site_settings, step, submission};
use tokio::time::{Instant, sleep};

/// A log that counts the appends of entries.
#[derive(Clone, Default)]
struct CountingLog(Arc<AtomicUsize>);

impl JobLog for CountingLog {
    async fn append(&self, call: &AppendCall, _: Duration) -> AppendOutcome {
        self.0.fetch_add(1, Ordering::Relaxed);
        AppendOutcome::Done { offset: 0, end: call.records.len() as u64 }
    }

    async fn read(&self, _: LogTopic, _: u64, _: Duration) -> ReadOutcome {
        ReadOutcome::Refused
    }

    async fn newest(&self, _: LogTopic, _: Option<&str>) -> Option<NewestPage> {
        None
    }
}

/// An entry of a site with this many entries, whose log takes this long for an append; there is no
/// leader.
async fn entry(entries: u32, append_ms: u64) -> (Arc<JobNode>, CountingLog, SubmitHandle) {
    let (node, log) = (idle_node(), CountingLog::default());
    node.set_replicas(&ReplicaList { entries, ..ReplicaList::default() }, true);
    node.set_append_ms(append_ms, None);
    sleep(Duration::from_secs(1)).await;
    assert!(node.is_leader_silent());
    let relay = RelayClient::new(HttpTransport::open());
    let submitter = submitter::spawn(node.clone(), log.clone(), relay, 1);
    (node, log, submitter)
}

async fn submit(submitter: &SubmitHandle, id: u64) -> SubmitOutcome {
    let record = JobRecord::Submitted(job_id(id), Arc::new(submission(job(vec![step(1)]))));
    submitter.submit(record, Instant::now() + Duration::from_secs(10)).await
}

/// Guards against a successor whose first append queues behind one from every other entry, with
/// hundreds of entries or a slow log. Nothing would be placed for seconds.
#[tokio::test(start_paused = true)]
async fn entries_do_not_fill_the_log_without_a_leader() {
    for (entries, append_ms) in [(585, 4), (36, 300)] {
        let (_node, log, submitter) = entry(entries, append_ms).await;
        let begun = Instant::now();
        assert_eq!(submit(&submitter, 1).await, SubmitOutcome::Refused);
        assert!(begun.elapsed() < Duration::from_millis(1_500), "{:?}", begun.elapsed());
        assert_eq!(log.0.load(Ordering::Relaxed), 0);
    }
}

/// Guards against rejecting callers although the log has time for their records.
#[tokio::test(start_paused = true)]
async fn a_few_entries_on_a_fast_log_append_for_themselves() {
    let (_node, log, submitter) = entry(36, 4).await;
    assert_eq!(submit(&submitter, 1).await, SubmitOutcome::Stored);
    assert_eq!(log.0.load(Ordering::Relaxed), 1);
}

/// Guards against rejecting callers although a successor takes over a moment later.
#[tokio::test(start_paused = true)]
async fn a_successor_stores_the_records_that_waited_for_it() {
    let (node, log, submitter) = entry(585, 4).await;
    let waiting = tokio::spawn(async move { submit(&submitter, 1).await });
    sleep(Duration::from_millis(600)).await;
    lead(&node);
    // The submitter waits for less than these 1,000 ms.
    for _ in 0..100 {
        sleep(Duration::from_millis(10)).await;
        if let Some(batch) = node.with_scheduler(Scheduler::take_commit).flatten()
            && !batch.relayed.is_empty()
        {
            node.complete_relays(&batch.relayed);
            break;
        }
    }
    assert_eq!(waiting.await.expect("no panic"), SubmitOutcome::Stored);
    assert_eq!(log.0.load(Ordering::Relaxed), 0);
}

/// Guards against callers that wait for a new leader while the old one is only slow.
#[tokio::test(start_paused = true)]
async fn entries_append_for_themselves_while_the_leader_is_slow() {
    let (node, log, submitter) = entry(585, 4).await;
    node.set_append_ms(4, Some(node.now()));
    assert_eq!(submit(&submitter, 1).await, SubmitOutcome::Stored);
    assert_eq!(log.0.load(Ordering::Relaxed), 1);
}

/// A log that takes this long for an append, as soon as it is let go.
#[derive(Clone)]
struct HeldLog {
    is_held: Arc<std::sync::atomic::AtomicBool>,
    appended: Arc<AtomicUsize>,
}

impl JobLog for HeldLog {
    async fn append(&self, call: &AppendCall, _: Duration) -> AppendOutcome {
        while self.is_held.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(10)).await;
        }
        self.appended.fetch_add(call.records.len(), Ordering::Relaxed);
        AppendOutcome::Done { offset: 0, end: call.records.len() as u64 }
    }

    async fn read(&self, _: LogTopic, _: u64, _: Duration) -> ReadOutcome {
        ReadOutcome::Refused
    }

    async fn newest(&self, _: LogTopic, _: Option<&str>) -> Option<NewestPage> {
        None
    }
}

/// An entry without a leader whose log is held, with this much memory.
async fn held_entry(memory: usize) -> (Arc<JobNode>, HeldLog, SubmitHandle) {
    let limits = ProcessLimits { memory, descriptors: 4_096 };
    let node = node_with(SiteSettings { limits, ..site_settings() });
    let log = HeldLog { is_held: Arc::new(true.into()), appended: Arc::default() };
    let relay = RelayClient::new(HttpTransport::open());
    let submitter = submitter::spawn(node.clone(), log.clone(), relay, 1);
    (node, log, submitter)
}

/// A submission of this many bytes.
fn sized(id: u64, bytes: usize) -> JobRecord {
    let large = StepSpec { image: "i".repeat(bytes), ..step(1) };
    JobRecord::Submitted(job_id(id), Arc::new(submission(job(vec![large]))))
}

fn in_a_second() -> Instant {
    Instant::now() + Duration::from_secs(1)
}

/// Guards against ordinary jobs that wait behind large ones, and against a queue of any size in bytes.
#[tokio::test(start_paused = true)]
async fn large_jobs_are_bounded_and_ordinary_ones_pass_them() {
    let (node, log, submitter) = held_entry(32 << 20).await;
    let large = |id| {
        let submitter = submitter.clone();
        tokio::spawn(async move { submitter.submit(sized(id, 250_000), in_a_second()).await })
    };
    let mut waiting = vec![large(1)];
    sleep(Duration::from_millis(10)).await;
    waiting.extend((2..=20).map(large));
    sleep(Duration::from_millis(10)).await;
    let full = waiting.extract_if(.., |task| task.is_finished()).count();
    // One is with the log; of the others 2 MB wait.
    assert_eq!(full, 20 - 1 - (2 << 20) / 250_100);
    log.is_held.store(false, Ordering::Relaxed);
    assert_eq!(submit(&submitter, 100).await, SubmitOutcome::Stored);
    for task in waiting {
        assert_eq!(task.await.expect("no panic"), SubmitOutcome::Stored);
    }
    drop(node);
}

/// Guards against sending what no caller waits for any more, and against an unknown outcome for it.
#[tokio::test(start_paused = true)]
async fn what_nobody_waits_for_is_not_sent() {
    let (_node, log, submitter) = held_entry(256 << 20).await;
    let sent = tokio::spawn({
        let submitter = submitter.clone();
        async move { submitter.submit(sized(1, 100_000), in_a_second()).await }
    });
    sleep(Duration::from_millis(100)).await;
    let late = submitter.submit(sized(2, 100_000), in_a_second()).await;
    assert_eq!(late, SubmitOutcome::Full, "it was never sent, so it never runs");
    assert_eq!(sent.await.expect("no panic"), SubmitOutcome::Unknown);
    log.is_held.store(false, Ordering::Relaxed);
    assert_eq!(submitter.submit(sized(3, 100_000), in_a_second()).await, SubmitOutcome::Stored);
    assert_eq!(log.appended.load(Ordering::Relaxed), 2);
}

/// Guards against ordinary jobs that are dropped while the log is slow: their callers try again at once,
/// and would wait for the log anew.
#[tokio::test(start_paused = true)]
async fn an_ordinary_job_is_stored_though_its_caller_has_tried_in_vain() {
    let (_node, log, submitter) = held_entry(256 << 20).await;
    for id in 1..=2 {
        let outcome = submitter.submit(sized(id, 1_000), in_a_second()).await;
        assert_eq!(outcome, SubmitOutcome::Unknown);
    }
    log.is_held.store(false, Ordering::Relaxed);
    assert_eq!(submitter.submit(sized(3, 1_000), in_a_second()).await, SubmitOutcome::Stored);
    assert_eq!(log.appended.load(Ordering::Relaxed), 3);
}
