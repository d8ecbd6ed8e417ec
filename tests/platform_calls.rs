//! What calls to the platform carry on the wire: the guards that other parts rely on.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use ibisweir::jobs::model::{JobId, TaskKey};
use ibisweir::jobs::ports::{
    AppendCall, AppendOutcome, CommandOutcome, CommandRefusal, JobLog, LogTopic, ReadOutcome,
    RenewCall, RunCall, StartCall, VmClient, VmCommand, VmOutcome, VmStamp, WorkerClient,
    WorkerTarget, WriterStamp,
};
use ibisweir::jobs::record::KeyedRecord;
use ibisweir::platform_adapter::{log::PlatformLog, vm::PlatformVms, worker::PlatformWorkers};
use ibisweir::transport::HttpTransport;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

/// Answers one request with `status` and `body`; gives back what it was sent, in lower case.
async fn answer_once(status: &str, body: &str) -> (SocketAddr, JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let answer = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    let served = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a caller");
        let mut seen = Vec::new();
        // The head tells how long the body is.
        loop {
            let mut chunk = [0; 4_096];
            let read = stream.read(&mut chunk).await.expect("readable");
            seen.extend_from_slice(&chunk[..read]);
            if is_whole(&seen) || read == 0 {
                break;
            }
        }
        stream.write_all(answer.as_bytes()).await.expect("writable");
        String::from_utf8_lossy(&seen).to_lowercase()
    });
    (address, served)
}

fn is_whole(seen: &[u8]) -> bool {
    let text = String::from_utf8_lossy(seen).to_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    body.len() >= length.and_then(|length| length.parse().ok()).unwrap_or(0)
}

const PATIENCE: Duration = Duration::from_secs(60);

fn task() -> TaskKey {
    let job = JobId::parse("00000000000000ff").expect("an id");
    TaskKey { job, occurrence: 0, step: 0, index: 0 }
}

/// A worker's address has gone to another service. Without the id of the life that a call is meant for,
/// a stop or a lease would reach whoever answers there now.
#[tokio::test]
async fn a_call_to_a_worker_names_the_life_that_it_is_meant_for() {
    let (address, served) = answer_once("421 Misdirected Request", "{}").await;
    let workers = PlatformWorkers::new(HttpTransport::open());
    let target = WorkerTarget { id: "i-old".into(), address };
    let call = RunCall { task: task(), run: 3, fence: 77 };
    let outcome = workers.stop(&target, &call, PATIENCE).await;
    assert_eq!(outcome, CommandOutcome::Refused(CommandRefusal::WrongIncarnation, None));
    let seen = served.await.expect("served");
    assert!(seen.contains("expect-instance: i-old"), "{seen}");
    assert!(seen.contains("\"fence\":77") && seen.contains("\"run\":3"), "{seen}");
}

/// An old leader's renewal that arrives late is only harmless if it carries its token.
#[tokio::test]
async fn a_renewal_carries_token_lease_and_acknowledgement() {
    let (address, served) =
        answer_once("200 OK", r#"{"clock-ms":5,"running":[],"ended":[]}"#).await;
    let workers = PlatformWorkers::new(HttpTransport::open());
    let target = WorkerTarget { id: "i-1".into(), address };
    let wait = Duration::from_millis(500);
    let call = RenewCall { fence: 9, acked_exits: 57, lease_until_ms: Some(486_000), wait };
    let outcome = workers.renew(&target, &call, PATIENCE).await;
    assert!(matches!(outcome, CommandOutcome::Done(report) if report.clock_ms == 5));
    let seen = served.await.expect("served");
    for part in ["\"fence\":9", "\"last-seen\":57", "\"until-ms\":486000", "\"wait-ms\":500"] {
        assert!(seen.contains(part), "{part} in {seen}");
    }
}

/// A deposed leader appends progress after its successor has read the log. The epoch makes the log
/// refuse it; without, callers would see a job go back to an older state.
#[tokio::test]
async fn an_append_carries_its_writers_epoch_and_a_fence_is_told_apart() {
    let (address, served) = answer_once("409 Conflict", r#"{"reason":"fenced"}"#).await;
    let log = PlatformLog::new(address, HttpTransport::open());
    let call = AppendCall {
        topic: LogTopic::Jobs,
        records: vec![KeyedRecord { key: "p1".to_owned(), value: vec![1] }],
        expected_end: None,
        stamp: Some(WriterStamp { writer: "leader".into(), epoch: 41, sequence: 6 }),
    };
    assert_eq!(log.append(&call, PATIENCE).await, AppendOutcome::Fenced);
    let seen = served.await.expect("served");
    assert!(seen.contains("producer=leader&epoch=41&seq=6"), "{seen}");
}

/// Two entries claim the leadership at once. Each claim names the end that it was read at, so the log
/// takes one.
#[tokio::test]
async fn a_claim_is_appended_only_at_the_end_that_was_read() {
    let (address, served) = answer_once("412 Precondition Failed", r#"{"end":12}"#).await;
    let log = PlatformLog::new(address, HttpTransport::open());
    let call = AppendCall {
        topic: LogTopic::Leadership,
        records: vec![KeyedRecord { key: String::new(), value: vec![1] }],
        expected_end: Some(11),
        stamp: None,
    };
    assert_eq!(log.append(&call, PATIENCE).await, AppendOutcome::EndMoved { end: 12 });
    assert!(served.await.expect("served").contains("&at=11"));
}

/// A command of an old leader to a VM arrives after its successor's. The token makes the platform
/// refuse it, and the old leader learns that it leads no more.
#[tokio::test]
async fn a_command_to_a_vm_carries_holder_and_token() {
    let (address, served) = answer_once("409 Conflict", r#"{"reason":"fence"}"#).await;
    let vms = PlatformVms::new(Some(address));
    let command = VmCommand::Maintain { vm: "m-1".into(), wave: 3 };
    let stamp = VmStamp { holder: "front-1".into(), fence: 4_096 };
    assert_eq!(vms.command(&command, &stamp, || true).await, VmOutcome::Fenced);
    let seen = served.await.expect("served");
    assert!(
        seen.contains("lease-holder: front-1") && seen.contains("fencing-token: 4096"),
        "{seen}"
    );
}

/// A peer that accepts and never answers: the outcome is unknown, which is not a refusal.
#[tokio::test]
async fn no_answer_is_not_a_refusal() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let log = PlatformLog::new(address, HttpTransport::open());
    let call =
        AppendCall { topic: LogTopic::Jobs, records: Vec::new(), expected_end: None, stamp: None };
    let outcome = log.append(&call, Duration::from_millis(200)).await;
    assert_eq!(outcome, AppendOutcome::Unknown);
    drop(listener);
}

/// Guards against a start that is taken for refused by an answer which does not say that nothing was done: its task would
/// be started elsewhere beside it.
#[tokio::test]
async fn only_an_answer_that_says_so_is_a_refusal_of_a_start() {
    let unknown = CommandOutcome::Unknown;
    let unhealthy = CommandOutcome::Refused(CommandRefusal::Unhealthy, None);
    let answers = [
        ("500 Internal Server Error", &unknown),
        ("502 Bad Gateway", &unknown),
        ("504 Gateway Timeout", &unknown),
        ("408 Request Timeout", &unknown),
        ("429 Too Many Requests", &unhealthy),
        ("503 Service Unavailable", &unhealthy),
    ];
    for (status, expected) in answers {
        let (address, _) = answer_once(status, "").await;
        let workers = PlatformWorkers::new(HttpTransport::open());
        let target = WorkerTarget { id: "i-1".into(), address };
        let call = StartCall {
            task: task(),
            run: 1,
            payload: "text".into(),
            lease_until_ms: 486_000,
            fence: 9,
            checkpoint: String::new(),
            permit: None,
        };
        let outcome = workers.start(&target, &call, PATIENCE).await;
        assert_eq!(outcome, *expected, "{status}");
    }
}

/// Guards against an append that is taken for refused by an answer which does not say that nothing was stored: callers
/// would be told that their job never runs, and it would.
#[tokio::test]
async fn only_an_answer_that_says_so_is_a_refusal_of_an_append() {
    let answers = [
        ("500 Internal Server Error", AppendOutcome::Unknown),
        ("502 Bad Gateway", AppendOutcome::Unknown),
        ("504 Gateway Timeout", AppendOutcome::Unknown),
        ("408 Request Timeout", AppendOutcome::Unknown),
        ("400 Bad Request", AppendOutcome::Refused),
        ("413 Payload Too Large", AppendOutcome::Refused),
        ("429 Too Many Requests", AppendOutcome::Refused),
        ("503 Service Unavailable", AppendOutcome::Refused),
        ("507 Insufficient Storage", AppendOutcome::Refused),
    ];
    for (status, expected) in answers {
        let (address, _) = answer_once(status, "").await;
        let log = PlatformLog::new(address, HttpTransport::open());
        let call = AppendCall {
            topic: LogTopic::Jobs,
            records: Vec::new(),
            expected_end: None,
            stamp: None,
        };
        assert_eq!(log.append(&call, PATIENCE).await, expected, "{status}");
    }
}

/// A leader is cut off after it has sent a command to a VM, and gives it up. Its system would deliver
/// the command once the cut heals, seconds after the successor's own; a service that checks no tokens
/// would carry it out. Given up, it is reset, which drops what has not arrived.
#[tokio::test]
async fn a_command_that_is_given_up_is_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let silent = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a caller");
        let mut chunk = [0; 4_096];
        loop {
            match stream.read(&mut chunk).await {
                Ok(0) => return None,
                Ok(_) => {}
                Err(error) => return Some(error.kind()),
            }
        }
    });
    let vms = PlatformVms::new(Some(address));
    let command = VmCommand::Maintain { vm: "m-1".into(), wave: 4 };
    let stamp = VmStamp { holder: "e1".into(), fence: 77 };
    assert_eq!(vms.command(&command, &stamp, || true).await, VmOutcome::Unknown);
    let end = silent.await.expect("served");
    assert_eq!(end, Some(std::io::ErrorKind::ConnectionReset));
}

/// A leader's VM is frozen while it opens a connection for a command. When it wakes, the connection is
/// there, its time as leader is over, and the command must not be sent any more.
#[tokio::test]
async fn a_command_is_not_sent_once_the_leadership_is_over() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let vms = PlatformVms::new(Some(address));
    let command = VmCommand::Maintain { vm: "m-1".into(), wave: 4 };
    let stamp = VmStamp { holder: "e1".into(), fence: 77 };
    assert_eq!(vms.command(&command, &stamp, || false).await, VmOutcome::Refused);
    let (mut stream, _) = listener.accept().await.expect("it was connected");
    let mut seen = Vec::new();
    // How the connection ends is not what matters here.
    let _ = stream.read_to_end(&mut seen).await;
    assert!(seen.is_empty(), "{seen:?}");
}

/// Connections to a worker have gone silent without a reset. A renewal on one of them has no answer in its time: the
/// others, which are as dead, are not used for the next call, though the first is listened to for a while longer.
#[tokio::test]
async fn a_renewal_without_an_answer_in_time_leaves_no_connection_in_use() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let workers = PlatformWorkers::new(HttpTransport::open());
    let target = WorkerTarget { id: "w".into(), address };
    let call = RenewCall { fence: 1, acked_exits: 0, lease_until_ms: None, wait: Duration::ZERO };
    let (first, second) = (workers.clone(), workers.clone());
    let (one, two) = (target.clone(), target.clone());
    // Two calls at a time leave two connections, of which each answers once.
    let calls = tokio::spawn(async move {
        tokio::join!(first.renew(&one, &call, PATIENCE), second.renew(&two, &call, PATIENCE))
    });
    let mut open = Vec::new();
    for _ in 0..2 {
        let (mut stream, _) = listener.accept().await.expect("a caller");
        let mut chunk = [0; 4_096];
        let _ = stream.read(&mut chunk).await.expect("readable");
        open.push(stream);
    }
    for stream in &mut open {
        let body = r#"{"clock-ms":7}"#;
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        stream.write_all(answer.as_bytes()).await.expect("writable");
    }
    let outcomes = calls.await.expect("answered");
    assert!(matches!(outcomes.0, CommandOutcome::Done(_)), "{:?}", outcomes.0);
    let (third, target_now) = (workers.clone(), target.clone());
    let silent =
        tokio::spawn(
            async move { third.renew(&target_now, &call, Duration::from_millis(50)).await },
        );
    sleep(Duration::from_millis(400)).await;
    let next = tokio::spawn(async move { workers.renew(&target, &call, PATIENCE).await });
    // The next call comes on a connection of its own.
    let accepted = timeout(PATIENCE, listener.accept()).await.expect("a new connection");
    let (stream, _) = accepted.expect("a caller");
    drop((stream, silent, next));
}

/// Answers each request with a body in parts, `gap` apart; counts the requests.
async fn answer_in_parts(
    body: Vec<u8>,
    part: usize,
    gap: Duration,
) -> (SocketAddr, Arc<AtomicU64>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let asked = Arc::new(AtomicU64::new(0));
    let count = asked.clone();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("a caller");
            count.fetch_add(1, Ordering::Relaxed);
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request).await;
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            let _ = stream.write_all(head.as_bytes()).await;
            for part in body.chunks(part) {
                sleep(gap).await;
                if stream.write_all(part).await.is_err() {
                    break;
                }
            }
        }
    });
    (address, asked)
}

/// One record of 40 KB, as a read of the log tells it.
fn large_record() -> Vec<u8> {
    let value = vec![7; 40_000];
    let length = u32::try_from(value.len() + 2).expect("small");
    let mut body = [1u64.to_be_bytes(), 0u64.to_be_bytes()].concat();
    body.extend_from_slice(&length.to_be_bytes());
    body.extend_from_slice(&[1, b'k']);
    body.extend_from_slice(&value);
    body
}

/// Guards against a record that a narrow link carries slowly being given up and asked for again without end.
#[tokio::test(start_paused = true)]
async fn a_read_of_the_log_goes_on_while_its_answer_flows() {
    let (address, asked) = answer_in_parts(large_record(), 4_000, Duration::from_millis(500)).await;
    let log = PlatformLog::new(address, HttpTransport::open());
    let outcome = log.read(LogTopic::Operator, 0, Duration::ZERO).await;
    let ReadOutcome::Read(batch) = outcome else { panic!("{outcome:?}") };
    assert_eq!((batch.records.len(), asked.load(Ordering::Relaxed)), (1, 1));
}

/// Guards against a read that waits for good on a connection that has gone silent in the middle of an answer.
#[tokio::test(start_paused = true)]
async fn a_read_of_the_log_that_stalls_is_given_up() {
    let (address, _) = answer_in_parts(large_record(), 20_000, Duration::from_secs(30)).await;
    let log = PlatformLog::new(address, HttpTransport::open());
    let begun = Instant::now();
    let outcome = log.read(LogTopic::Operator, 0, Duration::ZERO).await;
    assert!(matches!(outcome, ReadOutcome::Unknown), "{outcome:?}");
    assert!(begun.elapsed() < Duration::from_secs(10), "{:?}", begun.elapsed());
}

/// Send buffer of the peer in the test below, in bytes.
const SEND_BYTES: u32 = 16 << 10;
/// Most that may be under way on one connection, in bytes: the buffers of both ends, which the system may double.
const UNDER_WAY_BYTES_MAX: usize = 96 << 10;

/// Guards against one large answer that fills a narrow link, so that leases are not renewed meanwhile.
#[tokio::test]
async fn a_peer_can_have_little_under_way_on_one_connection() {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_send_buffer_size(SEND_BYTES).expect("settable");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let listener = socket.listen(1).expect("listening");
    let address = listener.local_addr().expect("bound");
    let log = PlatformLog::new(address, HttpTransport::open());
    let read = tokio::spawn(async move { log.read(LogTopic::Jobs, 0, Duration::ZERO).await });
    let (mut stream, _) = listener.accept().await.expect("a caller");
    let mut request = [0; 4_096];
    let _ = stream.read(&mut request).await.expect("a request");
    let stream = stream.into_std().expect("a stream");
    // Nothing is read meanwhile: the reader runs on this thread.
    let written = fill(&stream);
    assert!(written <= UNDER_WAY_BYTES_MAX, "{written} bytes");
    read.abort();
}

/// Writes an answer until the connection takes no more; the bytes that it took.
fn fill(mut stream: &std::net::TcpStream) -> usize {
    use std::io::Write;
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 4000000\r\n\r\n";
    let mut written = stream.write(head.as_bytes()).expect("writable");
    let mut pauses = 0;
    while pauses < 20 {
        match stream.write(&[0; 4_096]) {
            Ok(more) => written += more,
            Err(_) => {
                pauses += 1;
                std::thread::sleep(Duration::from_millis(5));
            }
        }
    }
    written
}
