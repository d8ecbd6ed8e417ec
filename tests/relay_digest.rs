//! The digest of the backlog in the leader's answers to relayed batches, over real connections.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use ibisweir::control::ControlLoop;
use ibisweir::decide::access::CallerAccess;
use ibisweir::decide::admission::{DIGEST_VERSION, LineDigest, PoolLine, StartLine};
use ibisweir::error::ResultCode;
use ibisweir::jobs::caller_service::{CallerReply, CallerService, SubmittedJob};
use ibisweir::jobs::catch_up::CatchUpReader;
use ibisweir::jobs::delegate::OfferLoop;
use ibisweir::jobs::node::JobNode;
use ibisweir::jobs::ports::{AppendCall, AppendOutcome, JobLog, LogTopic, NewestPage, ReadOutcome};
use ibisweir::jobs::query::QueryClient;
use ibisweir::jobs::record::JobRecord;
use ibisweir::jobs::relay::{self, RelayClient, RelayOutcome};
use ibisweir::jobs::site::SiteSettings;
use ibisweir::jobs::submitter;
use ibisweir::transport::{HttpCall, HttpTransport};
use support::fakes::{RecordingWorkers, lead, node_with, peer_service};
use support::sim::{
    POOL, QUEUE, config, job, job_id, queue, site_settings, step, submission, vm, worker,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

/// A log that nothing reaches.
#[derive(Clone, Copy)]
struct SilentLog;

impl JobLog for SilentLog {
    async fn append(&self, _: &AppendCall, _: Duration) -> AppendOutcome {
        AppendOutcome::Refused
    }

    async fn read(&self, _: LogTopic, _: u64, _: Duration) -> ReadOutcome {
        ReadOutcome::Unknown
    }

    async fn newest(&self, _: LogTopic, _: Option<&str>) -> Option<NewestPage> {
        None
    }
}

fn entry(admission: bool) -> Arc<JobNode> {
    node_with(SiteSettings { admission, ..site_settings() })
}

fn record(id: u64) -> JobRecord {
    JobRecord::Submitted(job_id(id), Arc::new(submission(job(vec![step(80)]))))
}

async fn hand_over(entry: &JobNode, leader: SocketAddr, id: u64) -> RelayOutcome {
    entry.set_leader(Some(leader));
    RelayClient::new(HttpTransport::open()).store(entry, vec![record(id)]).await
}

/// A leader with one worker and this setting, whose pools are planned and whose commits succeed.
async fn working_leader(admission: bool) -> (Arc<JobNode>, SocketAddr) {
    let leader = entry(admission);
    lead(&leader);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(relay::accept(
        listener,
        peer_service(leader.clone(), RecordingWorkers::default()),
    ));
    let node = leader.clone();
    tokio::spawn(async move {
        loop {
            let (now, wall_ms) = (node.now(), node.clock.wall_ms());
            let batch = node.with_scheduler(|scheduler| {
                scheduler.confirm(now);
                scheduler.update_vms(vec![vm(&worker("w0", "r0"), POOL)], now, now);
                scheduler.tick(now, wall_ms);
                drop(scheduler.take_actions());
                scheduler.take_commit()
            });
            if let Some(batch) = batch.flatten() {
                node.with_scheduler(|scheduler| scheduler.committed(&batch, now));
                node.complete_relays(&batch.relayed);
            }
            sleep(Duration::from_millis(5)).await;
        }
    });
    (leader, address)
}

/// A leader that answers each batch with this status and body.
async fn answering_leader(status: &'static str, body: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("a caller");
            let _ = stream.read(&mut [0; 65_536]).await;
            let head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n", body.len());
            let _ = stream.write_all(&[head.as_bytes(), &body].concat()).await;
        }
    });
    address
}

fn encoded(term: u64, number: u64) -> Vec<u8> {
    let pool = PoolLine { pool: POOL.into(), begun: 7, ..PoolLine::default() };
    LineDigest { version: DIGEST_VERSION, term, number, starts: None, pools: vec![pool] }.encode().1
}

/// Guards against an answer without the digest, and against an entry that does not read it. The
/// answer comes once the log has the batch, as before.
#[tokio::test]
async fn the_answer_to_a_batch_carries_the_digest() {
    let (_leader, address) = working_leader(true).await;
    let entry = entry(true);
    // The first batches can be answered before pools are planned.
    for id in 1.. {
        assert_eq!(hand_over(&entry, address, id).await, RelayOutcome::Stored);
        if let Some((digest, _)) = entry.line() {
            assert_eq!(digest.term, 1);
            break;
        }
    }
}

/// Guards against an entry that knows no backlog once it rejects all submissions and relays nothing.
#[tokio::test]
async fn the_answer_to_an_offer_carries_the_digest() {
    let (_leader, address) = working_leader(true).await;
    let entry = entry(true);
    entry.set_config(config());
    entry.set_leader(Some(address));
    let transport = HttpTransport::open();
    let mut offers = OfferLoop { node: entry.clone(), transport, offered_ms: None };
    // The first offers can be answered before pools are planned.
    while entry.line().is_none() {
        offers.offered_ms = None;
        offers.step().await;
        sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a body that an entry of an earlier build does not expect from a leader whose
/// setting is off, and against an entry that uses a digest although its own setting is off.
#[tokio::test]
async fn the_setting_turns_both_sides_off() {
    let (_leader, address) = working_leader(false).await;
    let reading = entry(true);
    assert_eq!(hand_over(&reading, address, 1).await, RelayOutcome::Stored);
    assert!(reading.line().is_none());
    let ignoring = entry(false);
    let address = answering_leader("200 OK", encoded(1, 1)).await;
    assert_eq!(hand_over(&ignoring, address, 1).await, RelayOutcome::Stored);
    assert!(ignoring.line().is_none());
}

/// Guards against a batch that counts as not stored because a leader of an earlier build answers
/// without a body, or one of another version with a body that can't be read; and against the loss of
/// the digest that the entry has.
#[tokio::test]
async fn answers_without_a_readable_digest_are_taken_as_before() {
    let mut other_version = encoded(9, 9);
    other_version[0] = DIGEST_VERSION + 1;
    let cut = encoded(9, 9)[..5].to_vec();
    for body in [Vec::new(), other_version, cut, vec![DIGEST_VERSION; 9_000]] {
        let entry = entry(true);
        let address = answering_leader("200 OK", body).await;
        assert_eq!(hand_over(&entry, address, 1).await, RelayOutcome::Stored);
        assert!(entry.line().is_none());
        assert!(entry.receive_line(&encoded(0, 0)), "the least digest is newer than none");
    }
}

/// Guards against a digest of an earlier leader that arrives late and replaces the newer one, and
/// against one of an answer that says that the batch was not stored.
#[tokio::test]
async fn digests_of_earlier_leaders_and_of_refusals_are_ignored() {
    let entry = entry(true);
    let address = answering_leader("200 OK", encoded(5, 10)).await;
    assert_eq!(hand_over(&entry, address, 1).await, RelayOutcome::Stored);
    for (status, term, number) in
        [("200 OK", 4, 99), ("200 OK", 5, 9), ("421 Misdirected Request", 6, 1)]
    {
        let address = answering_leader(status, encoded(term, number)).await;
        hand_over(&entry, address, 2).await;
        let own = entry.line().map(|(digest, _)| (digest.term, digest.number));
        assert!(own.is_none_or(|own| own == (5, 10)), "{own:?}");
        assert!(!entry.receive_line(&encoded(5, 10)), "the entry has it");
    }
    assert!(entry.receive_line(&encoded(6, 1)), "the one of the refusal was not taken");
}

/// Guards against a leader that rejects by a digest that it received before it led, of a backlog
/// that is not its own.
#[tokio::test]
async fn an_entry_that_leads_uses_its_own_digest_only() {
    let entry = entry(true);
    entry.receive_line(&encoded(9, 9));
    lead(&entry);
    assert!(entry.line().is_none());
}

/// Guards against rejections by the digest of a leader that was lost: nothing renews it, and it
/// expires.
#[tokio::test]
async fn the_digest_of_a_lost_leader_expires() {
    let entry = entry(true);
    entry.receive_line(&encoded(1, 1));
    sleep(Duration::from_millis(1_000)).await;
    assert!(entry.line().is_none());
}

/// A leader that owes 80 starts and begins one in a second, as its predecessor did.
async fn slow_leader() -> (Arc<JobNode>, SocketAddr) {
    let (leader, address) = working_leader(true).await;
    assert_eq!(hand_over(&entry(true), address, 1).await, RelayOutcome::Stored);
    // The pools are planned before anything is rejected.
    while leader.line().is_none() {
        sleep(Duration::from_millis(5)).await;
    }
    let line = StartLine { waiting: 80, rate: 1, is_slow: true };
    let now = leader.now();
    leader.with_scheduler(|scheduler| scheduler.inherit_starts(&line, now));
    (leader, address)
}

/// Guards against a leader that takes in what it can't begin in time until all entries have its digest,
/// and against a rejection that leaves the job behind or concerns a job that is known.
#[tokio::test]
async fn a_leader_rejects_relayed_jobs_that_it_cannot_begin_in_time() {
    let (leader, address) = slow_leader().await;
    let entry = entry(true);
    entry.set_leader(Some(address));
    let relay = RelayClient::new(HttpTransport::open());
    let outcome = relay.store(&entry, vec![record(2), record(1), record(3)]).await;
    let RelayOutcome::StoredExcept(rejections) = outcome else { panic!("{outcome:?}") };
    let positions: Vec<usize> = rejections.iter().map(|rejection| rejection.position).collect();
    assert_eq!(positions, [0, 2], "the second one is known");
    assert!(rejections.iter().all(|rejection| (1..=8).contains(&rejection.retry_s)));
    assert_eq!(leader.with_scheduler(|scheduler| scheduler.stats().jobs), Some(1));
    // The rate of the predecessor counts for a while only.
    sleep(Duration::from_millis(2_100)).await;
    assert_eq!(hand_over(&entry, address, 2).await, RelayOutcome::Stored);
}

/// A job that needs a start for each of its tasks.
fn submitted() -> SubmittedJob {
    SubmittedJob { job: job_id(2), spec: job(vec![step(8)]), lease: None }
}

/// Guards against a caller that is told of a stored job although the leader has rejected it.
#[tokio::test]
async fn what_the_leader_rejects_is_rejected_to_its_caller() {
    let (_leader, address) = slow_leader().await;
    let entry = entry(true);
    entry.set_config(config());
    entry.set_leader(Some(address));
    entry.record_log_answer();
    let log = SilentLog;
    let relay = RelayClient::new(HttpTransport::open());
    let service = CallerService {
        submitter: submitter::spawn(entry.clone(), log, relay.clone(), 1),
        reader: Arc::new(CatchUpReader::new(entry.clone(), log)),
        relay,
        queries: QueryClient::new(HttpTransport::open()),
        node: entry,
    };
    let (queue, caller) = (queue(QUEUE, POOL), CallerAccess::default());
    let time_left = Duration::from_secs(3);
    let reply = service.submit(&queue, &caller, submitted(), time_left).await;
    let CallerReply::Refused(ResultCode::LineTooLong, Some(wait)) = reply else {
        panic!("{reply:?}")
    };
    assert!((1..=8).contains(&wait.as_secs()), "{wait:?}");
}

/// Guards against an entry that rejects what its leader, though its starts are slow, begins in time.
#[tokio::test]
async fn what_the_leader_can_begin_in_time_is_stored() {
    let (_leader, address) = working_leader(true).await;
    let entry = entry(true);
    entry.set_config(config());
    entry.set_leader(Some(address));
    entry.record_log_answer();
    let starts = Some(StartLine { waiting: 300, rate: 300, is_slow: true });
    let digest =
        LineDigest { version: DIGEST_VERSION, term: 1, number: 1, starts, ..LineDigest::default() };
    assert!(entry.receive_line(&digest.encode().1));
    let log = SilentLog;
    let relay = RelayClient::new(HttpTransport::open());
    let service = CallerService {
        submitter: submitter::spawn(entry.clone(), log, relay.clone(), 1),
        reader: Arc::new(CatchUpReader::new(entry.clone(), log)),
        relay,
        queries: QueryClient::new(HttpTransport::open()),
        node: entry,
    };
    let (queue, caller) = (queue(QUEUE, POOL), CallerAccess::default());
    let time_left = Duration::from_secs(3);
    let reply = service.submit(&queue, &caller, submitted(), time_left).await;
    assert_eq!(reply, CallerReply::Stored);
}

/// Guards against an entry of an earlier build that takes a rejected submission for stored.
#[tokio::test]
async fn an_entry_that_knows_no_rejections_gets_none() {
    let (leader, address) = slow_leader().await;
    let keyed = record(2).encode().expect("valid");
    let body = postcard::to_stdvec(&vec![(keyed.key, keyed.value)]).expect("valid");
    let call = HttpCall {
        method: Method::POST,
        path: "/relay".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::from(body),
    };
    let answer = HttpTransport::open().exchange(address, call, Duration::from_secs(5)).await;
    assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    assert_eq!(leader.with_scheduler(|scheduler| scheduler.stats().jobs), Some(2));
}
