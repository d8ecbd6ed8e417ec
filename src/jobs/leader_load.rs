//! Logs the load of the leader: how its calls use the link, and how late its loop runs.
//!
//! A leader that answers late may be waiting for its link or for its processor. The two can't be
//! told apart from outside.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use slog::info;

use crate::jobs::node::JobNode;
use crate::jobs::start_report;
use crate::scheduler::CONFIRMATION_TIMEOUT_MS;
use crate::traffic::{CONNECTS, CallTraffic};

/// Time between two log lines, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 2_000;
/// Largest number of kinds of calls in one log line.
const CALL_KINDS_MAX: usize = 10;

/// A commit that the log has not confirmed yet.
#[derive(Clone, Copy, Debug)]
pub struct PendingCommit {
    /// Size of its records, in bytes.
    pub bytes: usize,
    /// When it was first sent, in milliseconds.
    pub begun_ms: u64,
    /// Number of appends that were sent for it.
    pub tries: u32,
}

/// Lateness of the leader's loop, and traffic of its calls, since the last log line.
pub struct LeaderLoad {
    reported_ms: u64,
    reported: BTreeMap<String, CallTraffic>,
    wakes: u32,
    late: Duration,
    latest_wake: Duration,
    unconfirmed_ms: u64,
    unconfirmed_wakes: u32,
}

impl LeaderLoad {
    /// Starts counting now.
    pub fn open(node: &JobNode) -> LeaderLoad {
        LeaderLoad {
            reported_ms: node.now(),
            reported: node.metrics.traffic.totals(),
            wakes: 0,
            late: Duration::ZERO,
            latest_wake: Duration::ZERO,
            unconfirmed_ms: 0,
            unconfirmed_wakes: 0,
        }
    }

    /// Records the age of the append that last confirmed the leadership.
    pub fn record_confirmation_age(&mut self, age_ms: u64) {
        self.unconfirmed_ms = self.unconfirmed_ms.max(age_ms);
        self.unconfirmed_wakes += u32::from(age_ms >= CONFIRMATION_TIMEOUT_MS);
    }

    /// Records that the loop woke this much later than it had asked for, with this commit in
    /// flight. Writes the log line if it is due.
    pub fn record_wake(&mut self, node: &JobNode, late: Duration, commit: Option<PendingCommit>) {
        self.wakes += 1;
        self.late += late;
        self.latest_wake = self.latest_wake.max(late);
        let now = node.now();
        let period_ms = now.saturating_sub(self.reported_ms);
        if period_ms < REPORT_INTERVAL_MS {
            return;
        }
        let totals = node.metrics.traffic.totals();
        let summary = TrafficSummary::since(&self.reported, &totals, period_ms);
        let mean_ms = crate::clock::millis(self.late / self.wakes);
        let begins = node.with_scheduler(|scheduler| {
            (scheduler.take_begin_counts(), scheduler.start_status(now))
        });
        let (begins, status) = begins.unwrap_or_default();
        info!(node.logger, "load of the leader"; "wakes" => self.wakes, "late_ms" => mean_ms,
            "latest_ms" => crate::clock::millis(self.latest_wake), "placed" => begins.placed,
            "begun" => begins.begun, "begin_ms" => begins.wait_ms.checked_div(begins.begun),
            "sent_kbs" => summary.sent_kbs,
            "received_kbs" => summary.received_kbs, "calls" => %summary,
            "connects" => summary.connects.calls, "connects_failed" => summary.connects.unanswered,
            "unconfirmed_ms" => self.unconfirmed_ms, "unconfirmed_wakes" => self.unconfirmed_wakes,
            "commit_bytes" => commit.map(|commit| commit.bytes),
            "commit_tries" => commit.map(|commit| commit.tries),
            "commit_age_ms" => commit.map(|commit| now.saturating_sub(commit.begun_ms)));
        node.metrics.start_report.add(&begins);
        start_report::write(&node.logger, &begins, &status);
        *self = LeaderLoad { reported_ms: now, reported: totals, ..LeaderLoad::open(node) };
    }
}

/// The calls with the most traffic in a period of time.
struct TrafficSummary {
    period_ms: u64,
    sent_kbs: u64,
    received_kbs: u64,
    connects: CallTraffic,
    kinds: Vec<(String, CallTraffic)>,
}

impl TrafficSummary {
    fn since(
        reported: &BTreeMap<String, CallTraffic>,
        totals: &BTreeMap<String, CallTraffic>,
        period_ms: u64,
    ) -> TrafficSummary {
        let before = |kind: &str| reported.get(kind).copied().unwrap_or_default();
        let mut kinds: Vec<(String, CallTraffic)> =
            totals.iter().map(|(kind, now)| (kind.clone(), now.since(before(kind)))).collect();
        kinds.sort_by_key(|(_, traffic)| std::cmp::Reverse(traffic.sent + traffic.received));
        let sum = |part: fn(&CallTraffic) -> u64| -> u64 {
            kinds.iter().map(|(_, traffic)| part(traffic)).sum()
        };
        // One byte a millisecond is one kilobyte a second.
        let (sent_kbs, received_kbs) =
            (sum(|traffic| traffic.sent) / period_ms, sum(|traffic| traffic.received) / period_ms);
        let connects = totals.get(CONNECTS).copied().unwrap_or_default();
        let connects = connects.since(before(CONNECTS));
        kinds.retain(|(kind, traffic)| kind != CONNECTS && traffic.calls > 0);
        kinds.truncate(CALL_KINDS_MAX);
        TrafficSummary { period_ms, sent_kbs, received_kbs, connects, kinds }
    }
}

impl fmt::Display for TrafficSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, (kind, traffic)) in self.kinds.iter().enumerate() {
            let gap = if position == 0 { "" } else { "; " };
            let (calls, lost) = (traffic.calls, traffic.unanswered);
            let (sent, received) =
                (traffic.sent / self.period_ms, traffic.received / self.period_ms);
            write!(f, "{gap}{kind} {calls} ({lost} lost) {sent}/{received} KB/s")?;
        }
        Ok(())
    }
}
