//! Appends to the log over a link that is narrow, or that takes nothing.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ibisweir::jobs::conductor::{Conductor, ConductorParts, LeaderTerm};
use ibisweir::jobs::model::{JobSpec, StepKey};
use ibisweir::jobs::ports::{
    AppendCall, AppendOutcome, JobLog, LogTopic, PermitClient, PermitGrant, VmClient, VmCommand,
    VmOutcome, VmStamp, WriterStamp,
};
use ibisweir::jobs::record::{JobRecord, KeyedRecord};
use ibisweir::jobs::site::VmEntry;
use ibisweir::platform_adapter::log::PlatformLog;
use ibisweir::transport::HttpTransport;
use ibisweir_standin::jobs::log::LogStandin;
use ibisweir_standin::jobs::proxy::{FaultProxy, LinkFault};
use support::fakes::{RecordingWorkers, idle_node};
use support::sim::{config, job, job_id, step, submission};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

/// Time for the log to answer, and for no part of an append to go out.
const PATIENCE: Duration = Duration::from_millis(700);
/// Size of an append, in bytes: the link below takes several times `PATIENCE` for it.
const APPEND_BYTES: usize = 1_500_000;
/// Receive buffer of the log, in bytes; the system may double it.
const BUFFER_BYTES: u32 = 16 << 10;
/// Time after which the link carries what is in the buffer.
const CARRY_GAP: Duration = Duration::from_millis(200);
/// Most that may reach the log of an append that was given up before any of it was read, in bytes.
const LEFT_BYTES_MAX: usize = 256 << 10;

fn listen() -> (TcpListener, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(BUFFER_BYTES).expect("settable");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let listener = socket.listen(8).expect("listening");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

/// Reads what has come so far; false at the end.
async fn carry(stream: &mut TcpStream, carried: &mut usize) -> bool {
    sleep(CARRY_GAP).await;
    let mut buffer = vec![0; 256 << 10];
    match stream.read(&mut buffer).await {
        Ok(0) | Err(_) => false,
        Ok(more) => {
            *carried += more;
            true
        }
    }
}

fn append(address: SocketAddr) -> JoinHandle<(AppendOutcome, Duration)> {
    let stamp = WriterStamp { writer: "leader".into(), epoch: 1, sequence: 1 };
    let record = KeyedRecord { key: "p1".to_owned(), value: vec![7; APPEND_BYTES] };
    let call = AppendCall {
        topic: LogTopic::Jobs,
        records: vec![record],
        expected_end: None,
        stamp: Some(stamp),
    };
    tokio::spawn(async move {
        let log = PlatformLog::new(address, HttpTransport::open());
        let begun = Instant::now();
        (log.append(&call, PATIENCE).await, begun.elapsed())
    })
}

/// Guards against an append that is repeated without end as the link takes longer for it than the log has to answer.
#[tokio::test(start_paused = true)]
async fn an_append_goes_on_while_its_body_goes_out() {
    let (listener, address) = listen();
    let appended = append(address);
    let (mut stream, _) = listener.accept().await.expect("a caller");
    let mut carried = 0;
    while carried < APPEND_BYTES && carry(&mut stream, &mut carried).await {}
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 22\r\n\r\n{\"offset\":5,\"end\": 6 }";
    tokio::io::AsyncWriteExt::write_all(&mut stream, answer).await.expect("writable");
    let (outcome, took) = appended.await.expect("no panic");
    assert_eq!(outcome, AppendOutcome::Done { offset: 5, end: 6 });
    assert!(took > PATIENCE * 3, "the link was not narrow: {took:?}");
}

/// Guards against an append that waits for good on a link that has stopped in the middle of it.
#[tokio::test(start_paused = true)]
async fn an_append_that_stalls_is_given_up() {
    let (listener, address) = listen();
    let appended = append(address);
    let (mut stream, _) = listener.accept().await.expect("a caller");
    let mut carried = 0;
    let begun = Instant::now();
    for _ in 0..3 {
        carry(&mut stream, &mut carried).await;
    }
    let flowed = begun.elapsed();
    let (outcome, took) = appended.await.expect("no panic");
    assert_eq!(outcome, AppendOutcome::Unknown);
    assert!(took <= flowed + PATIENCE * 2, "{took:?} with {flowed:?} of flow");
}

/// Guards against an append whose rest goes out after it was given up, and takes the link from its repeat.
#[tokio::test(start_paused = true)]
async fn an_append_that_was_given_up_takes_no_more_of_the_link() {
    let (listener, address) = listen();
    let appended = append(address);
    let (mut stream, _) = listener.accept().await.expect("a caller");
    let (outcome, _) = appended.await.expect("no panic");
    assert_eq!(outcome, AppendOutcome::Unknown);
    let mut carried = 0;
    while carry(&mut stream, &mut carried).await {}
    assert!(carried <= LEFT_BYTES_MAX, "{carried} bytes");
}

/// Time after which a connection has not been opened as the queue of the peer is full.
const OPENING: Duration = Duration::from_millis(300);
/// Time until an opening packet that was dropped is sent again, with room to spare.
const OPENED: Duration = Duration::from_secs(20);

/// Guards against calls that never get a connection, as the line on the way is longer than the time to open one and each
/// call begins anew.
#[tokio::test]
async fn a_connection_that_opens_late_is_kept_for_the_next_call() {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let listener = socket.listen(1).expect("listening");
    let address = listener.local_addr().expect("bound");
    let mut waiting = Vec::new();
    while let Ok(stream) = std::net::TcpStream::connect_timeout(&address, OPENING) {
        waiting.push(stream);
    }
    let log = PlatformLog::new(address, HttpTransport::open());
    let call =
        AppendCall { topic: LogTopic::Jobs, records: Vec::new(), expected_end: None, stamp: None };
    assert_eq!(log.append(&call, PATIENCE).await, AppendOutcome::Refused);
    for _ in waiting {
        drop(listener.accept().await.expect("a caller"));
    }
    let late = timeout(OPENED, listener.accept()).await.expect("the connection is opened");
    let (mut stream, _) = late.expect("a caller");
    // It is kept from the moment at which it is open on the caller's side too.
    sleep(OPENING).await;
    let appended = tokio::spawn(async move { log.append(&call, OPENED).await });
    let mut request = [0; 4_096];
    let asked = timeout(OPENED, stream.read(&mut request)).await.expect("a call comes on it");
    assert!(asked.expect("readable") > 0);
    appended.abort();
}

/// Size of a commit that the buffers of the way take whole, and the time until its answer is there.
const BUFFERED_BYTES: usize = 120_000;
const BUFFERED_TIME: Duration = Duration::from_millis(1_200);

/// Reads whole requests and answers each late.
async fn answer_late(listener: TcpListener) {
    loop {
        let (mut stream, _) = listener.accept().await.expect("a caller");
        tokio::spawn(async move {
            let (mut read, mut buffer) = (0, vec![0; BUFFERED_BYTES]);
            while read < BUFFERED_BYTES {
                match stream.read(&mut buffer).await {
                    Ok(0) | Err(_) => return,
                    Ok(more) => read += more,
                }
            }
            sleep(BUFFERED_TIME).await;
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 22\r\n\r\n{\"offset\":5,\"end\": 6 }";
            // A caller that has given up is gone.
            drop(tokio::io::AsyncWriteExt::write_all(&mut stream, answer).await);
        });
    }
}

/// Guards against a commit that is repeated without end as what stands in the buffers of a full link counts as sent.
#[tokio::test(start_paused = true)]
async fn an_append_that_the_way_takes_at_once_gets_through() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let log = PlatformLog::new(listener.local_addr().expect("bound"), HttpTransport::open());
    let answering = tokio::spawn(answer_late(listener));
    let record = KeyedRecord { key: "p1".to_owned(), value: vec![7; BUFFERED_BYTES] };
    let stamp = WriterStamp { writer: "leader".into(), epoch: 1, sequence: 1 };
    let call = AppendCall {
        topic: LogTopic::Jobs,
        records: vec![record],
        expected_end: None,
        stamp: Some(stamp),
    };
    let mut outcomes = Vec::new();
    while outcomes.len() < 6 && outcomes.last() != Some(&AppendOutcome::Done { offset: 5, end: 6 })
    {
        outcomes.push(log.append(&call, PATIENCE).await);
    }
    assert_eq!(outcomes.last(), Some(&AppendOutcome::Done { offset: 5, end: 6 }), "{outcomes:?}");
    answering.abort();
}

/// What the leader's link to the log carries, in bytes a second.
const LINK_RATE: u32 = 200_000;
/// Submissions that come at once, and the size of each: several times what the link carries in `PATIENCE`.
const SUBMISSIONS: u64 = 150;
const SUBMISSION_BYTES: usize = 4_000;
/// Time for all of it, much longer than the link needs.
const BACKLOG_TIME: Duration = Duration::from_secs(60);

#[derive(Clone)]
struct Nobody;

impl VmClient for Nobody {
    async fn list(&self) -> Option<Vec<VmEntry>> {
        None
    }

    async fn command(&self, _: &VmCommand, _: &VmStamp, _: impl Fn() -> bool + Send) -> VmOutcome {
        VmOutcome::Refused
    }
}

impl PermitClient for Nobody {
    async fn ask(&self, _: &StepKey, _: &[Arc<str>]) -> Option<PermitGrant> {
        None
    }
}

/// Guards against a leader that commits nothing any more, as what has gathered at once is more than its link carries in
/// the time that the log has to answer.
#[tokio::test]
async fn a_leader_gets_its_backlog_through_a_narrow_link() {
    let log = LogStandin::open().await.expect("a port");
    let link = FaultProxy::open(log.address).await.expect("a port");
    let node = idle_node();
    node.set_config(config());
    let parts = ConductorParts {
        log: PlatformLog::new(link.address, HttpTransport::open()),
        workers: RecordingWorkers::default(),
        vms: Nobody,
        permits: Nobody,
        worker_decoder: |_| None,
        wave_encoder: |_, _| None,
    };
    let term = LeaderTerm { number: 1, predecessor: None, confirmed_ms: node.now() };
    let conductor = Conductor::spawn(node.clone(), parts, term);
    let leading = async {
        while node.with_scheduler(|_| ()).is_none() {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(BACKLOG_TIME, leading).await.expect("it leads");
    link.set(LinkFault::Narrow(LINK_RATE));
    let spec = JobSpec { payload: "x".repeat(SUBMISSION_BYTES), ..job(vec![step(1)]) };
    let submitted = Arc::new(submission(spec));
    let stored: Vec<_> = (0..SUBMISSIONS)
        .map(|id| JobRecord::Submitted(job_id(id), submitted.clone()))
        .map(|record| node.relay(vec![record]).expect("it leads"))
        .collect();
    let all = async {
        for stored in stored {
            stored.await.expect("it goes on leading");
        }
    };
    assert!(timeout(BACKLOG_TIME, all).await.is_ok(), "the backlog is not on the log");
    conductor.stop();
}
