//! What the soak's links and log do late: bytes arrive, and appends are done, after their sender has given up.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};
use ibisweir::transport::{HttpCall, HttpTransport};
use ibisweir_standin::jobs::log::LogStandin;
use ibisweir_standin::jobs::proxy::{FaultProxy, LinkFault};
use ibisweir_standin::site::LOOPBACK;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

/// Longest time for which the link holds bytes back.
const HOLD: Duration = Duration::from_millis(600);
/// Connections of which one or the other is held back.
const CONNECTIONS: usize = 12;

/// A link took bytes back as their sender closed the connection.
#[tokio::test]
async fn held_bytes_arrive_after_their_sender_has_closed() {
    let target = TcpListener::bind(LOOPBACK).await.expect("a port");
    let proxy = FaultProxy::open(target.local_addr().expect("bound")).await.expect("a port");
    proxy.set(LinkFault::Hold(HOLD));
    let begun = Instant::now();
    for _ in 0..CONNECTIONS {
        let mut near = TcpStream::connect(proxy.address).await.expect("the proxy listens");
        near.write_all(b"start").await.expect("the proxy reads");
    }
    proxy.set(LinkFault::None);
    let mut longest = Duration::ZERO;
    for _ in 0..CONNECTIONS {
        let (mut far, _) = target.accept().await.expect("the proxy connects");
        let mut bytes = [0; 5];
        far.read_exact(&mut bytes).await.expect("the bytes arrive");
        assert_eq!(&bytes, b"start");
        longest = longest.max(begun.elapsed());
    }
    assert!(longest > HOLD / 10, "nothing was held back: {longest:?}");
}

/// Bytes of one connection overtook each other.
#[tokio::test]
async fn held_bytes_keep_their_order() {
    let target = TcpListener::bind(LOOPBACK).await.expect("a port");
    let proxy = FaultProxy::open(target.local_addr().expect("bound")).await.expect("a port");
    proxy.set(LinkFault::Hold(HOLD));
    let mut near = TcpStream::connect(proxy.address).await.expect("the proxy listens");
    let (mut far, _) = target.accept().await.expect("the proxy connects");
    for number in 0..20 {
        near.write_all(&[number]).await.expect("the proxy reads");
        sleep(Duration::from_millis(5)).await;
    }
    let mut bytes = [0; 20];
    far.read_exact(&mut bytes).await.expect("the bytes arrive");
    assert!(bytes.is_sorted(), "{bytes:?}");
}

/// A late log dropped appends whose sender had given up.
#[tokio::test]
async fn late_appends_are_done_after_their_sender_has_given_up() {
    let log = LogStandin::open().await.expect("a port");
    log.set_faults(|faults| faults.late_percent = 100);
    let call = |path: &str, body: &'static [u8]| HttpCall {
        method: if body.is_empty() { Method::GET } else { Method::POST },
        path: path.to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::from_static(body),
    };
    let patience = Duration::from_millis(50);
    for _ in 0..4 {
        let append = call("/log-append?topic=t", b"\0\0\0\x01x");
        let answer = HttpTransport::open().exchange(log.address, append, patience).await;
        assert!(answer.is_err(), "answered at once");
    }
    let end = async || {
        let read = call("/log-read?topic=t&from=0", b"");
        let answer =
            HttpTransport::open().exchange(log.address, read, Duration::from_secs(1)).await;
        let body = answer.expect("the log answers").body;
        body.first_chunk().map_or(0, |end| u64::from_be_bytes(*end))
    };
    let all = async {
        while end().await < 4 {
            sleep(Duration::from_millis(100)).await;
        }
    };
    timeout(Duration::from_secs(10), all).await.expect("all appends are done");
}
