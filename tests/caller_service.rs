//! Replies to callers that have little time, or whose entry is behind the log.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ibisweir::decide::access::CallerAccess;
use ibisweir::decide::intake::ProcessLimits;
use ibisweir::error::ResultCode;
use ibisweir::jobs::caller_service::{CallerReply, CallerService, SubmittedJob};
use ibisweir::jobs::catch_up::CatchUpReader;
use ibisweir::jobs::model::{JobSpec, StepSpec};
use ibisweir::jobs::node::JobNode;
use ibisweir::jobs::ports::{
    AppendCall, AppendOutcome, JobLog, LogBatch, LogTopic, NewestPage, ReadOutcome,
};
use ibisweir::jobs::query::QueryClient;
use ibisweir::jobs::relay::RelayClient;
use ibisweir::jobs::site::SiteSettings;
use ibisweir::jobs::submitter;
use ibisweir::logging::silent;
use ibisweir::transport::HttpTransport;
use support::fakes::UnreachableLog;
use support::sim::{POOL, QUEUE, job, job_id, queue, site_settings, step};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Time of an append.
const APPEND_TIME: Duration = Duration::from_millis(20);

/// A log that accepts every append.
#[derive(Clone)]
struct WorkingLog;

impl JobLog for WorkingLog {
    async fn append(&self, call: &AppendCall, _: Duration) -> AppendOutcome {
        sleep(APPEND_TIME).await;
        AppendOutcome::Done { offset: 0, end: call.records.len() as u64 }
    }

    async fn read(&self, _: LogTopic, _: u64, _: Duration) -> ReadOutcome {
        ReadOutcome::Read(LogBatch::default())
    }

    async fn newest(&self, _: LogTopic, _: Option<&str>) -> Option<NewestPage> {
        None
    }
}

fn submitted(id: u64, spec: JobSpec) -> SubmittedJob {
    SubmittedJob { job: job_id(id), spec, lease: None }
}

/// A log that answers no append.
#[derive(Clone)]
struct SilentLog;

impl JobLog for SilentLog {
    async fn append(&self, _: &AppendCall, _: Duration) -> AppendOutcome {
        std::future::pending().await
    }

    async fn read(&self, _: LogTopic, _: u64, _: Duration) -> ReadOutcome {
        ReadOutcome::Read(LogBatch::default())
    }

    async fn newest(&self, _: LogTopic, _: Option<&str>) -> Option<NewestPage> {
        None
    }
}

fn service() -> CallerService<WorkingLog> {
    service_with(site_settings(), WorkingLog)
}

fn service_with<L: JobLog>(settings: SiteSettings, log: L) -> CallerService<L> {
    let logger = ibisweir::logging::silent();
    let node = Arc::new(JobNode::new(settings, Arc::default(), logger));
    node.record_log_answer();
    let relay = RelayClient::new(HttpTransport::open());
    let queries = QueryClient::new(HttpTransport::open());
    let submitter = submitter::spawn(node.clone(), log.clone(), relay.clone(), 1);
    let reader = Arc::new(CatchUpReader::new(node.clone(), log));
    CallerService { node, reader, submitter, relay, queries }
}

/// Guards against an unknown outcome for a job that is stored: a caller retries with 100 ms left,
/// and an append takes 20 ms. Its time must not all be reserved for the way back.
#[tokio::test(start_paused = true)]
async fn a_caller_with_little_time_left_gets_the_outcome_in_time() {
    let queue = queue(QUEUE, POOL);
    let time_left = Duration::from_millis(100);
    let caller = CallerAccess::default();
    let submitted = submitted(1, job(vec![step(1)]));
    let reply = service().submit(&queue, &caller, submitted, time_left).await;
    assert_eq!(reply, CallerReply::Stored);
}

/// Guards against counts from a replica that is incomplete: an entry has restarted and is still
/// reading, while the log itself is available. Its callers are told to retry, and not a count of
/// the tenth that it has read so far.
#[tokio::test(start_paused = true)]
async fn an_entry_behind_the_log_refuses_to_count() {
    let (service, queue) = (service(), queue(QUEUE, POOL));
    // On a busy machine the log's last answer can become too old between two lines; the log then
    // counts as unavailable.
    let is_behind = |reply| matches!(reply, CallerReply::Refused(ResultCode::BehindLog, Some(_)));
    let is_refused = (0..100).any(|_| {
        service.node.record_log_answer();
        let reply = service.own_waiting_jobs(&queue);
        assert!(!matches!(reply, CallerReply::Waiting(_)), "{reply:?}");
        is_behind(reply)
    });
    assert!(is_refused);
    let is_counted = (0..100).any(|_| {
        service.node.set_current();
        service.own_waiting_jobs(&queue) == CallerReply::Waiting(0)
    });
    assert!(is_counted);
}

/// Guards against accepted large jobs that fill the memory of each replica: one more is refused before it
/// is stored, an ordinary one is not.
#[tokio::test(start_paused = true)]
async fn large_jobs_are_refused_once_accepted_ones_take_their_part_of_the_memory() {
    let (service, queue) = (service(), queue(QUEUE, POOL));
    let spec = |bytes| job(vec![StepSpec { image: "i".repeat(bytes), ..step(1) }]);
    let submit = async |id, bytes| {
        // Time does not go on, but the clock of the process does.
        service.node.record_log_answer();
        service.node.set_current();
        let caller = CallerAccess::default();
        let time_left = Duration::from_secs(3);
        service.submit(&queue, &caller, submitted(id, spec(bytes)), time_left).await
    };
    let most = service.node.settings.limits.kept_jobs().large as u64 / 250_000;
    let mut stored = 0;
    let refused = loop {
        match submit(stored + 1, 250_000).await {
            CallerReply::Stored => stored += 1,
            reply => break reply,
        }
        assert!(stored <= most + 1, "{stored} of {most}");
    };
    assert!(stored.abs_diff(most) <= 1, "{stored} of {most}");
    assert!(matches!(refused, CallerReply::Refused(ResultCode::JobsFull, Some(_))), "{refused:?}");
    assert_eq!(submit(2_001, 4_000).await, CallerReply::Stored);
}

/// Guards against a refusal of a second try while the first may be stored: the caller takes it for a job
/// that never runs.
#[tokio::test(start_paused = true)]
async fn a_second_try_is_not_refused_while_the_first_may_be_stored() {
    let limits = ProcessLimits { memory: 32 << 20, descriptors: 4_096 };
    let service = service_with(SiteSettings { limits, ..site_settings() }, SilentLog);
    let submit = |id| {
        let (service, caller) = (service.clone(), CallerAccess::default());
        let spec = job(vec![StepSpec { image: "i".repeat(250_000), ..step(1) }]);
        service.node.record_log_answer();
        async move {
            let queue = queue(QUEUE, POOL);
            service.submit(&queue, &caller, submitted(id, spec), Duration::from_secs(3)).await
        }
    };
    // The first is with the log, the others fill the queue.
    let waiting: Vec<_> = (1..=12).map(|id| tokio::spawn(submit(id))).collect();
    sleep(Duration::from_millis(10)).await;
    let full = |reply| matches!(reply, CallerReply::Refused(ResultCode::EntryFull, Some(_)));
    assert!(full(submit(100).await));
    let unknown = CallerReply::Unknown(ResultCode::JobOutcomeUnknown);
    assert_eq!(submit(1).await, unknown);
    let caller = CallerAccess::default();
    assert!(full(service.refuse_body(&caller, job_id(101))));
    assert_eq!(service.refuse_body(&caller, job_id(1)), unknown);
    drop(waiting);
}

/// A leader that does not know the job that it is asked for.
async fn leader_without_the_job() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("a caller");
            let _ = stream.read(&mut [0; 4_096]).await;
            // The body is an encoded `None`.
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n\0").await;
        }
    });
    address
}

/// Guards against a wrong "no such job" for an accepted job that the leader has not read from the
/// log yet.
#[tokio::test]
async fn a_job_that_the_leader_does_not_know_may_exist() {
    let node = Arc::new(JobNode::new(site_settings(), Arc::default(), silent()));
    node.set_leader(Some(leader_without_the_job().await));
    while !node.is_cut_off_from_log() {
        sleep(Duration::from_millis(1)).await;
        node.record_log_read_by_peer();
    }
    let relay = RelayClient::new(HttpTransport::open());
    let queries = QueryClient::new(HttpTransport::open());
    let submitter = submitter::spawn(node.clone(), UnreachableLog, relay.clone(), 1);
    let reader = Arc::new(CatchUpReader::new(node.clone(), UnreachableLog));
    let service = CallerService { node, reader, submitter, relay, queries };
    let reply = service.job_state(&CallerAccess::default(), job_id(1)).await;
    let is_retryable = |code| matches!(code, ResultCode::LogAway | ResultCode::BehindLog);
    assert!(
        matches!(reply, CallerReply::Refused(code, Some(_)) if is_retryable(code)),
        "{reply:?}"
    );
}
