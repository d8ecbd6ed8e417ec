//! Bytes of calls are told apart by what the call is for.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};
use ibisweir::traffic::{CONNECTS, CallTraffic, TrafficMeter};
use ibisweir::transport::{HttpCall, HttpTransport};

#[test]
fn calls_are_told_apart_by_path_and_first_parameter() {
    let meter = TrafficMeter::default();
    meter.count("/log-read?topic=jobs&part=0&from=1", 0, Some(100));
    meter.count("/log-read?topic=jobs&part=0&from=2", 0, Some(50));
    meter.count("/log-read?topic=workers&part=0", 0, None);
    meter.count("/look/5c0e7a21d94b36f8", 7, Some(1));
    meter.count("/look/0000000000000001", 7, Some(1));
    let totals = meter.totals();
    let kinds: Vec<&str> = totals.keys().map(String::as_str).collect();
    assert_eq!(kinds, ["/log-read?topic=jobs", "/log-read?topic=workers", "/look"]);
    let expected = CallTraffic { calls: 2, unanswered: 0, sent: 0, received: 150 };
    assert_eq!(totals["/log-read?topic=jobs"], expected);
    assert_eq!(totals["/log-read?topic=workers"].unanswered, 1);
    assert_eq!(totals["/look"].sent, 14);
}

/// Guards against a link on which no connection opens and that looks idle.
#[tokio::test]
async fn connections_that_do_not_open_are_counted() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    let transport = HttpTransport::open();
    let call = HttpCall {
        method: Method::GET,
        path: "/look".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    let answer = transport.exchange(address, call, Duration::from_secs(1)).await;
    assert!(answer.is_err());
    let totals = transport.traffic().totals();
    let expected = CallTraffic { calls: 1, unanswered: 1, sent: 0, received: 0 };
    assert_eq!(totals[CONNECTS], expected);
    assert_eq!(totals.len(), 1, "the call was not sent: {totals:?}");
}

/// Guards against metrics that grow with whatever paths there are.
#[test]
fn kinds_of_calls_are_bounded() {
    let meter = TrafficMeter::default();
    for n in 0..1_000 {
        meter.count(&format!("/path-{n}"), 1, Some(1));
    }
    let totals = meter.totals();
    assert!(totals.len() < 64, "{} kinds", totals.len());
    assert_eq!(totals.values().map(|traffic| traffic.calls).sum::<u64>(), 1_000);
}
