//! Submissions that are rejected for the backlog, as callers see them.

mod support;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::Method;
use hyper_util::server::graceful::GracefulShutdown;
use ibisweir::decide::access::CallerAccess;
use ibisweir::decide::admission::{
    ClassLine, DIGEST_VERSION, LineDigest, PoolLine, PriorityLine, QueueModel, StartLine,
};
use ibisweir::decide::replica::ReplicaList;
use ibisweir::error::ResultCode;
use ibisweir::intake::CallerIntake;
use ibisweir::jobs::caller_service::{CallerReply, CallerService, SubmittedJob};
use ibisweir::jobs::catch_up::CatchUpReader;
use ibisweir::jobs::entry::CallerProtocol;
use ibisweir::jobs::node::JobNode;
use ibisweir::jobs::ports::{
    AppendCall, AppendOutcome, JobLog, LogBatch, LogTopic, NewestPage, ReadOutcome,
};
use ibisweir::jobs::query::QueryClient;
use ibisweir::jobs::record::JobRecord;
use ibisweir::jobs::relay::{self, RelayClient};
use ibisweir::jobs::site::SiteSettings;
use ibisweir::jobs::status::entry_status;
use ibisweir::jobs::submitter;
use ibisweir::platform_adapter::caller::PlatformCallers;
use ibisweir::transport::HttpTransport;
use support::fakes::{RecordingWorkers, node_with, peer_service};
use support::sim::{POOL, QUEUE, config, job, job_id, queue, site_settings, step, submission};
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Time that callers have.
const TIME_LEFT: Duration = Duration::from_secs(3);

/// A log that counts appended records, with this outcome of every append.
#[derive(Clone)]
struct CountingLog {
    appended: Arc<AtomicUsize>,
    outcome: Arc<Mutex<AppendOutcome>>,
}

impl JobLog for CountingLog {
    async fn append(&self, call: &AppendCall, _: Duration) -> AppendOutcome {
        self.appended.fetch_add(call.records.len(), Ordering::Relaxed);
        *self.outcome.lock().expect("no panic")
    }

    async fn read(&self, _: LogTopic, _: u64, _: Duration) -> ReadOutcome {
        ReadOutcome::Read(LogBatch::default())
    }

    async fn newest(&self, _: LogTopic, _: Option<&str>) -> Option<NewestPage> {
        None
    }
}

struct TestEntry {
    service: CallerService<CountingLog>,
    log: CountingLog,
    /// Number of the digest that the entry received last.
    number: u64,
    /// Starts that wait for the leader, in the digests.
    starts: Option<StartLine>,
    /// Backlog of the pool, in the digests.
    pools: Vec<PoolLine>,
}

/// A pool of 64 cores with a backlog of a quarter of an hour.
fn backlog() -> PoolLine {
    let work = 64_000 * 1_000;
    let class = ClassLine { class: 0, in_time: work, least: 1, most: 900, ..ClassLine::default() };
    PoolLine {
        pool: POOL.into(),
        capacity: 64_000,
        models: vec![QueueModel { queue: QUEUE.into(), offset_ms: 0, slope: 1_000_000 }],
        priorities: vec![PriorityLine { priority: 0, behind: 0, classes: vec![class] }],
        ..PoolLine::default()
    }
}

impl TestEntry {
    fn open() -> TestEntry {
        let node = node_with(SiteSettings { admission: true, ..site_settings() });
        let mut config = config();
        // The host that the test's HTTP client names.
        config.queues[0].host = "site".to_owned();
        node.set_config(config);
        let done = AppendOutcome::Done { offset: 0, end: 1 };
        let log = CountingLog { appended: Arc::default(), outcome: Arc::new(Mutex::new(done)) };
        let relay = RelayClient::new(HttpTransport::open());
        let queries = QueryClient::new(HttpTransport::open());
        let submitter = submitter::spawn(node.clone(), log.clone(), relay.clone(), 1);
        let reader = Arc::new(CatchUpReader::new(node.clone(), log.clone()));
        let service = CallerService { node, reader, submitter, relay, queries };
        TestEntry { service, log, number: 0, starts: None, pools: vec![backlog()] }
    }

    fn node(&self) -> &Arc<JobNode> {
        &self.service.node
    }

    /// Makes the log, the replica and a digest of a long backlog as fresh as they can be.
    fn refresh(&mut self) {
        self.number += 1;
        let (version, term, number) = (DIGEST_VERSION, 1, self.number);
        let (starts, pools) = (self.starts, self.pools.clone());
        let digest = LineDigest { version, term, number, starts, pools };
        self.node().record_log_answer();
        self.node().set_current();
        assert!(self.node().receive_line(&digest.encode().1));
    }

    async fn submit(&self, id: u64) -> CallerReply {
        let (queue, caller) = (queue(QUEUE, POOL), CallerAccess::default());
        let (service, spec) = (&self.service, job(vec![step(8)]));
        loop {
            // On a busy machine the log's last answer can become too old between two lines.
            service.node.record_log_answer();
            let submitted = SubmittedJob { job: job_id(id), spec: spec.clone(), lease: None };
            let reply = service.submit(&queue, &caller, submitted, TIME_LEFT).await;
            if !matches!(reply, CallerReply::Refused(ResultCode::LogAway, _)) {
                return reply;
            }
        }
    }

    /// Submits a job until it is rejected, each time with another id: on a busy machine the digest
    /// can expire before it is used. Returns the id and the time until a retry.
    async fn reject_one(&mut self) -> (u64, Duration) {
        for id in 1..1_000 {
            self.refresh();
            match self.submit(id).await {
                CallerReply::Refused(ResultCode::LineTooLong, Some(wait)) => return (id, wait),
                CallerReply::Stored => {}
                reply => panic!("{reply:?}"),
            }
        }
        panic!("no job is rejected");
    }

    fn appended(&self) -> usize {
        self.log.appended.load(Ordering::Relaxed)
    }
}

/// Guards against a rejection of a job that was stored all the same, against one that leaves traces
/// by which a retry is refused, and against an entry that rejects by an expired digest.
#[tokio::test]
async fn a_rejected_job_is_unknown_and_its_retry_is_accepted_once_the_digest_has_expired() {
    let mut entry = TestEntry::open();
    let (id, wait) = entry.reject_one().await;
    let stored = usize::try_from(id).expect("a few") - 1;
    assert!((1..=8).contains(&wait.as_secs()) && wait.subsec_nanos() == 0, "{wait:?}");
    assert_eq!(entry.appended(), stored, "nothing of the rejected job was sent");
    entry.node().record_log_answer();
    let state = entry.service.job_state(&CallerAccess::default(), job_id(id)).await;
    assert_eq!(state, CallerReply::Refused(ResultCode::UnknownJob, None));
    sleep(Duration::from_millis(1_000)).await;
    entry.node().record_log_answer();
    assert_eq!(entry.submit(id).await, CallerReply::Stored);
    assert_eq!(entry.appended(), stored + 1);
    // Rejections show in the status and in the metrics.
    let status = entry_status(entry.node());
    assert_eq!(status.rejections.get(POOL), Some(&1));
    entry.node().update_gauges();
    let text = entry.node().metrics.text();
    assert!(text.contains("ibisweir_job_admission_rejections_total{pool=\"tours\"} 1"), "{text}");
    assert!(text.contains("ibisweir_job_line_digest_age_ms -1"), "{text}");
}

/// Guards against an entry that accepts what a leader short of processor can't begin: its pools have
/// capacity for it, so that nothing waits for capacity.
#[tokio::test]
async fn what_the_leader_cannot_begin_in_time_is_rejected_though_its_pool_has_capacity() {
    let mut entry = TestEntry::open();
    entry.pools = Vec::new();
    entry.refresh();
    assert_eq!(entry.submit(5_000).await, CallerReply::Stored);
    entry.starts = Some(StartLine { waiting: 9_000, rate: 300, is_slow: true });
    let (_, wait) = entry.reject_one().await;
    assert!((1..=8).contains(&wait.as_secs()), "{wait:?}");
    assert_eq!(entry.submit(5_000).await, CallerReply::Stored, "it is in the log");
}

/// Guards against entries that go on storing jobs by themselves while nobody leads, after a leader that was
/// short of starts: each accepts as if it were alone, and nothing begins meanwhile.
#[tokio::test]
async fn no_job_is_stored_past_leaders_after_one_that_was_short_of_starts() {
    for is_slow in [true, false] {
        let mut entry = TestEntry::open();
        entry.pools = Vec::new();
        entry.starts = Some(StartLine { waiting: 300, rate: 300, is_slow });
        let before = entry.appended();
        let (first, wait) = entry.reject_one().await;
        assert_eq!(first, 1);
        assert!((1..=8).contains(&wait.as_secs()), "{wait:?}");
        assert_eq!(entry.appended(), before);
        // The next leader knows of none that was short.
        entry.starts = None;
        entry.refresh();
        assert_eq!(entry.submit(5_001).await, CallerReply::Stored);
    }
}

/// Guards against a rejection of a job that runs: a caller that has lost the answer submits it
/// again.
#[tokio::test]
async fn a_known_job_is_answered_as_stored() {
    let mut entry = TestEntry::open();
    entry.reject_one().await;
    let before = entry.appended();
    let submission = Arc::new(submission(job(vec![step(8)])));
    entry.node().fold(&[(0, JobRecord::Submitted(job_id(5_000), submission))]);
    entry.refresh();
    assert_eq!(entry.submit(5_000).await, CallerReply::Stored);
    assert_eq!(entry.appended(), before);
}

/// Guards against a rejection of a job whose first attempt at this entry may be stored.
#[tokio::test]
async fn an_id_whose_first_attempt_is_in_doubt_is_not_rejected() {
    let mut entry = TestEntry::open();
    entry.node().record_log_answer();
    *entry.log.outcome.lock().expect("no panic") = AppendOutcome::Fenced;
    let reply = entry.submit(5_000).await;
    assert_eq!(reply, CallerReply::Unknown(ResultCode::JobOutcomeUnknown));
    *entry.log.outcome.lock().expect("no panic") = AppendOutcome::Done { offset: 0, end: 1 };
    entry.reject_one().await;
    // Others are rejected, this one is not.
    for _ in 0..3 {
        entry.refresh();
        assert_eq!(entry.submit(5_000).await, CallerReply::Stored);
    }
}

/// Guards against a rejection of a job whose caller broke off while it was being stored.
#[tokio::test]
async fn an_id_whose_caller_broke_off_is_not_rejected() {
    let mut entry = TestEntry::open();
    entry.node().record_log_answer();
    *entry.log.outcome.lock().expect("no panic") = AppendOutcome::Unknown;
    let broken_off = tokio::time::timeout(Duration::from_millis(50), entry.submit(5_000)).await;
    assert!(broken_off.is_err());
    *entry.log.outcome.lock().expect("no panic") = AppendOutcome::Done { offset: 0, end: 1 };
    entry.reject_one().await;
    entry.refresh();
    assert_eq!(entry.submit(5_000).await, CallerReply::Stored);
}

/// Guards against a rejection by an entry whose replica lags behind the log: another entry may have
/// stored the job.
#[tokio::test]
async fn an_entry_behind_the_log_rejects_nothing() {
    let mut entry = TestEntry::open();
    entry.refresh();
    let behind = TestEntry::open();
    behind.node().record_log_answer();
    let digest = LineDigest {
        version: DIGEST_VERSION,
        term: 1,
        number: 1,
        starts: None,
        pools: vec![backlog()],
    };
    assert!(behind.node().receive_line(&digest.encode().1));
    assert_eq!(behind.submit(1).await, CallerReply::Stored);
}

/// Guards against a rejection of a job that another entry has stored, by an entry without a replica;
/// and against one by an entry that gets no answer about it.
#[tokio::test]
async fn an_entry_without_a_replica_asks_another_one_first() {
    let holder = node_with(site_settings());
    holder.set_loaded();
    let known = Arc::new(submission(job(vec![step(8)])));
    holder.fold(&[(0, JobRecord::Submitted(job_id(5_000), known))]);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(relay::accept(listener, peer_service(holder, RecordingWorkers::default())));
    let mut entry = TestEntry::open();
    let mut replicas = ReplicaList { entries: 2, ..ReplicaList::default() };
    replicas.add(&"regina-a".into(), address);
    entry.node().set_replicas(&replicas, false);
    // The holder knows this job.
    loop {
        entry.refresh();
        let before = entry.appended();
        assert_eq!(entry.submit(5_000).await, CallerReply::Stored);
        // On a busy machine the digest can expire before it is used.
        if entry.node().line().is_some() {
            assert_eq!(entry.appended(), before);
            break;
        }
    }
    // It can't tell whether this one is in the log.
    entry.refresh();
    let before = entry.appended();
    assert_eq!(entry.submit(6_000).await, CallerReply::Stored);
    assert_eq!(entry.appended(), before + 1);
}

/// Guards against an answer that callers can't act on: status, code and whole seconds.
#[tokio::test]
async fn a_rejection_is_a_429_with_code_131_and_whole_seconds() {
    let mut entry = TestEntry::open();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let service = entry.service.clone();
    tokio::spawn(async move {
        let graceful = GracefulShutdown::new();
        let (node, metrics) = (&service.node, service.node.metrics.intake.clone());
        let intake = CallerIntake::open(node.settings.limits, 16, metrics, &node.logger);
        loop {
            let (stream, _) = listener.accept().await.expect("a caller");
            let stream = intake.admit(stream).await;
            tokio::spawn(PlatformCallers.serve(stream, service.clone(), graceful.watcher()));
        }
    });
    let headers = [("deadline-ms", "3000")];
    let body = br#"{"spec":"x","steps":[{"count":8,"cpu":1000,"mem-mb":1000,"est-ms":1000}]}"#;
    for id in 1..1_000 {
        entry.refresh();
        let path = format!("/{QUEUE}/{}", job_id(id));
        let answer = support::call(address, Method::POST, &path, &headers, body).await;
        if answer.status == 200 {
            continue;
        }
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        assert_eq!(answer.status, 429, "{text}");
        assert!(text.contains("131") && text.contains("LineTooLong"), "{text}");
        let wait: u64 =
            answer.headers["retry-after"].to_str().expect("text").parse().expect("whole");
        assert!((1..=8).contains(&wait));
        return;
    }
    panic!("no job is rejected");
}
