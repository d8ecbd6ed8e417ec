//! Tells how a leader gets on: what takes its link, and how late it is by itself.
//!
//! A leader that answers late may wait for its link or for its processor; from outside both look the same.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use slog::info;

use crate::jobs::node::JobNode;
use crate::scheduler::CONFIRMATION_TIMEOUT_MS;
use crate::traffic::{CONNECTS, CallTraffic};

/// Time between two lines, in milliseconds.
const LOAD_GAP_MS: u64 = 2_000;
/// Kinds of calls in one line.
const KINDS_MAX: usize = 10;

/// A commit that the log has not confirmed yet.
#[derive(Clone, Copy, Debug)]
pub struct PendingCommit {
    /// Bytes of its records.
    pub bytes: usize,
    /// When it was first sent, in milliseconds.
    pub begun_ms: u64,
    /// Appends that were sent for it.
    pub tries: u32,
}

/// How late the leader's loop was, and what its calls took, since the last line.
pub struct LeaderLoad {
    told_ms: u64,
    told: BTreeMap<String, CallTraffic>,
    wakes: u32,
    late: Duration,
    latest: Duration,
    unconfirmed_ms: u64,
    unconfirmed_wakes: u32,
}

impl LeaderLoad {
    /// One that counts from now.
    pub fn open(node: &JobNode) -> LeaderLoad {
        LeaderLoad {
            told_ms: node.now(),
            told: node.metrics.traffic.totals(),
            wakes: 0,
            late: Duration::ZERO,
            latest: Duration::ZERO,
            unconfirmed_ms: 0,
            unconfirmed_wakes: 0,
        }
    }

    /// The leadership was last confirmed by an append that was sent so long ago.
    pub fn record_confirmation_age(&mut self, age_ms: u64) {
        self.unconfirmed_ms = self.unconfirmed_ms.max(age_ms);
        self.unconfirmed_wakes += u32::from(age_ms >= CONFIRMATION_TIMEOUT_MS);
    }

    /// The leader's loop woke so much later than it had asked for, with this commit under way.
    pub fn record_wake(&mut self, node: &JobNode, late: Duration, commit: Option<PendingCommit>) {
        self.wakes += 1;
        self.late += late;
        self.latest = self.latest.max(late);
        let now = node.now();
        let span_ms = now.saturating_sub(self.told_ms);
        if span_ms < LOAD_GAP_MS {
            return;
        }
        let totals = node.metrics.traffic.totals();
        let spent = TrafficShares::since(&self.told, &totals, span_ms);
        let mean_ms = crate::clock::millis(self.late / self.wakes);
        info!(node.logger, "traffic of the leader"; "wakes" => self.wakes, "late_ms" => mean_ms,
            "latest_ms" => crate::clock::millis(self.latest), "sent_kbs" => spent.sent_kbs,
            "received_kbs" => spent.received_kbs, "calls" => %spent,
            "connects" => spent.connects.calls, "connects_failed" => spent.connects.unanswered,
            "unconfirmed_ms" => self.unconfirmed_ms, "unconfirmed_wakes" => self.unconfirmed_wakes,
            "commit_bytes" => commit.map(|commit| commit.bytes),
            "commit_tries" => commit.map(|commit| commit.tries),
            "commit_age_ms" => commit.map(|commit| now.saturating_sub(commit.begun_ms)));
        *self = LeaderLoad { told_ms: now, told: totals, ..LeaderLoad::open(node) };
    }
}

/// The calls that took most of the link in a span of time: how many, how many without an answer, kilobytes a second sent
/// and received.
struct TrafficShares {
    span_ms: u64,
    sent_kbs: u64,
    received_kbs: u64,
    connects: CallTraffic,
    kinds: Vec<(String, CallTraffic)>,
}

impl TrafficShares {
    fn since(
        told: &BTreeMap<String, CallTraffic>,
        totals: &BTreeMap<String, CallTraffic>,
        span_ms: u64,
    ) -> TrafficShares {
        let before = |kind: &str| told.get(kind).copied().unwrap_or_default();
        let mut kinds: Vec<(String, CallTraffic)> =
            totals.iter().map(|(kind, now)| (kind.clone(), now.since(before(kind)))).collect();
        kinds.sort_by_key(|(_, traffic)| std::cmp::Reverse(traffic.sent + traffic.received));
        let sum = |part: fn(&CallTraffic) -> u64| -> u64 {
            kinds.iter().map(|(_, traffic)| part(traffic)).sum()
        };
        // Bytes in a millisecond are kilobytes in a second.
        let (sent_kbs, received_kbs) =
            (sum(|traffic| traffic.sent) / span_ms, sum(|traffic| traffic.received) / span_ms);
        let connects = totals.get(CONNECTS).copied().unwrap_or_default();
        let connects = connects.since(before(CONNECTS));
        kinds.retain(|(kind, traffic)| kind != CONNECTS && traffic.calls > 0);
        kinds.truncate(KINDS_MAX);
        TrafficShares { span_ms, sent_kbs, received_kbs, connects, kinds }
    }
}

impl fmt::Display for TrafficShares {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, (kind, traffic)) in self.kinds.iter().enumerate() {
            let gap = if position == 0 { "" } else { "; " };
            let (calls, lost) = (traffic.calls, traffic.unanswered);
            let (sent, received) = (traffic.sent / self.span_ms, traffic.received / self.span_ms);
            write!(f, "{gap}{kind} {calls} ({lost} lost) {sent}/{received} KB/s")?;
        }
        Ok(())
    }
}
