//! Crowds of callers that don't behave, against an entry of the other mode on loopback, as in
//! `tests/caller_crowds.rs`.

#[path = "support/crowd.rs"]
mod crowd;
mod support;

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use crowd::{
    CHUNKED_END, CallerCrowd, ClientScript, CrowdCase, ROUTED_BODY_BYTES, RoutedSite,
    SMALL_BODY_BYTES, chunked, sized,
};
use http_body_util::Full;
use hyper::body::{Body, Frame};
use hyper_util::rt::{TokioExecutor, TokioIo};
use rand::Rng;
use support::wait;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;

/// A request of the other mode with its body's framing.
fn routed_head(framing: String) -> Arc<dyn Fn(u64) -> String + Send + Sync> {
    Arc::new(move |_| format!("POST /tours/hold HTTP/1.1\r\nhost: site\r\n{framing}\r\n\r\n"))
}

/// Plays a crowd against an entry of the other mode.
async fn play_routed(case: &CrowdCase, what: &str, script: ClientScript, clients: usize) {
    let mut site = RoutedSite::open(what, case.size, &[]).await;
    let crowd = CallerCrowd::spawn(site.entry.callers, vec![script; clients]);
    crowd.arrive().await;
    site.entry.read_all().await;
    wait("an ordinary request beside the crowd", async || site.request().await).await;
    crowd.end().await;
    site.check(what).await;
}

/// Guards against bodies of the other mode whose sum no limit bounds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn routed_bodies_that_stop_short_stay_within_memory() {
    let case = CrowdCase::open(8_117).await;
    let body: Arc<[u8]> = vec![b'b'; ROUTED_BODY_BYTES].into();
    let head = routed_head(format!("content-length: {}", body.len()));
    let script = ClientScript { head, stop: body.len() - 1, body, ..sized(1_024) };
    play_routed(&case, "routed-short", script, case.clients(ROUTED_BODY_BYTES)).await;
}

/// Guards against small chunks of the other mode that are each kept by themselves.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn routed_small_chunks_stay_within_memory() {
    let case = CrowdCase::open(8_118).await;
    let body = chunked(&vec![b'b'; SMALL_BODY_BYTES], 1);
    let head = routed_head("transfer-encoding: chunked".to_owned());
    let script = ClientScript { head, stop: body.len() - CHUNKED_END, body, ..sized(1_024) };
    let clients = case.clients(SMALL_BODY_BYTES * 32);
    play_routed(&case, "routed-chunks", script, clients).await;
}

/// Guards against idle connections of the other mode beyond its descriptors.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn routed_idle_connections_leave_descriptors_for_others() {
    let mut case = CrowdCase::open(8_119).await;
    case.size.max_fds = case.random.random_range(500..=800);
    let script = ClientScript { head: Arc::new(|_| String::new()), stop: 0, ..sized(1_024) };
    play_routed(&case, "routed-idle", script, case.size.max_fds).await;
}

/// A body that stops short and keeps its stream open.
struct StoppingBody {
    left: usize,
    arrived: Option<tokio::sync::oneshot::Sender<()>>,
}

impl Body for StoppingBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if self.left == 0 {
            drop(self.arrived.take());
            return Poll::Pending;
        }
        let size = self.left.min(16_384);
        self.left -= size;
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(vec![b'b'; size])))))
    }
}

/// Guards against HTTP/2 connections each of whose streams holds a body.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn routed_streams_that_stop_short_stay_within_memory() {
    let case = CrowdCase::open(8_120).await;
    let connections = case.clients(ROUTED_BODY_BYTES).div_ceil(40);
    play_streams(&case, "routed-streams", connections, 40, ROUTED_BODY_BYTES - 1).await;
}

/// Guards against streams that are open and hold next to nothing, each with memory of its own.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn routed_streams_with_few_bytes_stay_within_memory() {
    let case = CrowdCase::open(8_126).await;
    // Each stream takes several KB.
    let connections = case.clients(5 * 1_024 * 100);
    play_streams(&case, "routed-many-streams", connections, 100, 10).await;
}

/// Plays a crowd of HTTP/2 connections whose streams each stop after this many bytes of a body.
async fn play_streams(
    case: &CrowdCase,
    what: &str,
    connections: usize,
    streams: usize,
    bytes: usize,
) {
    let mut site = RoutedSite::open(what, case.size, &[]).await;
    let mut clients = JoinSet::new();
    for _ in 0..connections {
        let callers = site.entry.callers;
        clients.spawn(async move {
            let stream = TcpStream::connect(callers).await.ok()?;
            let io = TokioIo::new(stream);
            let http2 = hyper::client::conn::http2::handshake(TokioExecutor::new(), io);
            let (sender, driver) = http2.await.ok()?;
            tokio::spawn(driver);
            let mut answers = JoinSet::new();
            for _ in 0..streams {
                let (arrived, has_arrived) = tokio::sync::oneshot::channel();
                let body = StoppingBody { left: bytes, arrived: Some(arrived) };
                let request = http::Request::post("http://site/tours/hold").body(body).ok()?;
                let mut sender = sender.clone();
                answers.spawn(async move { drop(sender.send_request(request).await) });
                // Either it is sent, or the entry has refused it.
                let _ = tokio::time::timeout(Duration::from_secs(1), has_arrived).await;
            }
            std::future::pending::<Option<()>>().await
        });
    }
    site.entry.read_all().await;
    wait("an ordinary request beside the crowd", async || site.request().await).await;
    clients.shutdown().await;
    site.check(what).await;
}

/// Largest answer where nothing else is configured, in bytes.
const ANSWER_BYTES: usize = 4 << 20;

/// Guards against answers that are kept for callers who don't read them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn routed_answers_that_nobody_reads_stay_within_memory() {
    let case = CrowdCase::open(8_130).await;
    let mut site = RoutedSite::open("routed-unread", case.size, &[]).await;
    let head = format!(
        "POST /tours/hold HTTP/1.1\r\nhost: site\r\nx-answer-bytes: {ANSWER_BYTES}\r\ncontent-length: 0\r\n\r\n"
    );
    let mut clients = Vec::new();
    for _ in 0..case.clients(ANSWER_BYTES) {
        let mut client = connect_narrow(site.entry.callers).await;
        client.write_all(head.as_bytes()).await.expect("it is open");
        // One after the other, so that workers send one answer at a time.
        let _ = client.read(&mut [0; 64]).await;
        clients.push(client);
    }
    site.entry.read_all().await;
    wait("an ordinary request beside the crowd", async || site.request().await).await;
    drop(clients);
    site.check("routed-unread").await;
}

/// Guards against HTTP/2 connections that read none of the answers to their streams.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn routed_streams_that_read_no_answers_stay_within_memory() {
    let case = CrowdCase::open(8_131).await;
    let mut site = RoutedSite::open("routed-unread-streams", case.size, &[]).await;
    let streams = 20;
    let mut answers = Vec::new();
    for _ in 0..case.clients(ANSWER_BYTES).div_ceil(streams) {
        let io = TokioIo::new(connect_narrow(site.entry.callers).await);
        let http2 = hyper::client::conn::http2::Builder::new(TokioExecutor::new())
            .initial_stream_window_size(1)
            .handshake(io);
        let (sender, driver) = http2.await.expect("HTTP/2");
        tokio::spawn(driver);
        for _ in 0..streams {
            let request = http::Request::post("http://site/tours/hold")
                .header("x-answer-bytes", ANSWER_BYTES)
                .body(Full::<Bytes>::default())
                .expect("a request");
            let mut sender = sender.clone();
            // The answer's head arrives, and its body stays where it is.
            answers.push(sender.send_request(request).await);
        }
    }
    site.entry.read_all().await;
    wait("an ordinary request beside the crowd", async || site.request().await).await;
    drop(answers);
    site.check("routed-unread-streams").await;
}

/// Opens a connection that takes little before it is read.
async fn connect_narrow(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("the system sets it");
    socket.connect(address).await.expect("a connection")
}
