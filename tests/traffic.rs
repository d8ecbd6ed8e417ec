//! Bytes of calls are told apart by what the call is for.

use ibisweir::traffic::{CallTraffic, TrafficMeter};

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
