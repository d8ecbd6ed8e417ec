//! Counters and gauges, as Prometheus text on the admin port.
//!
//! Each entry has a registry of its own: several may share a process, so nothing is global.

use std::sync::atomic::{AtomicI64, AtomicU64};

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::decide::retry::{NotRunReason, UnknownReason};
use crate::error::ResultCode;
use crate::intake::IntakeMetrics;

/// Label of a metric that is split by one word.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    /// The word.
    pub reason: &'static str,
}

/// Label of a metric that is split by result code.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CodeLabel {
    /// Number of the code; 0 for an answer of the worker's own.
    pub code: u32,
    /// Its name.
    pub name: &'static str,
}

/// Label of a metric that is split by pool.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PoolLabel {
    /// The pool.
    pub pool: String,
}

type Reasons = Family<ReasonLabel, Counter<u64, AtomicU64>>;
type PoolGauges = Family<PoolLabel, Gauge<i64, AtomicI64>>;

/// Every metric of one entry.
#[derive(Debug)]
pub struct EntryMetrics {
    registry: Registry,
    /// Answers to callers, by result code.
    pub answers: Family<CodeLabel, Counter>,
    /// Time from the request's head to the answer, in seconds.
    pub request_seconds: Histogram,
    /// Attempts that were not run, by reason.
    pub attempts_not_run: Reasons,
    /// Attempts whose outcome is not known, by reason.
    pub attempts_unknown: Reasons,
    /// Attempts made again, by reason.
    pub retries: Reasons,
    /// Retries that the budget did not allow.
    pub retries_denied: Counter,
    /// Requests that went to another entry, by reason.
    pub forwarded: Reasons,
    /// Callers that went away before their answer.
    pub callers_gone: Counter,
    /// Caller connections open now.
    pub caller_connections: Gauge,
    /// Requests in flight to workers, by pool.
    pub in_flight: PoolGauges,
    /// Requests waiting, by pool.
    pub waiting: PoolGauges,
    /// Workers in the routing table, by pool.
    pub targets: PoolGauges,
    /// Workers left out because they fail.
    pub left_out: Counter,
    /// Connections to workers opened.
    pub connections_opened: Counter,
    /// Connections to workers given up, by reason.
    pub connections_given_up: Reasons,
    /// Keys remembered.
    pub keys: Gauge,
    /// Records of the log that could not be read and were skipped.
    pub records_skipped: Counter,
    /// Records of the fleet stream, by verdict.
    pub fleet_records: Reasons,
    /// Failed calls to the platform, by operation.
    pub platform_errors: Reasons,
    /// Failed calls to peers, by reason.
    pub peer_errors: Reasons,
    /// States taken over from peers.
    pub states_adopted: Counter,
    /// Revision in force, -1 without one.
    pub revision: Gauge,
    /// Whether this entry is ready for callers.
    pub ready: Gauge,
    /// Whether this entry is the steward of its data centre.
    pub steward: Gauge,
    /// Acts appended by this entry as steward, by kind.
    pub steward_acts: Reasons,
    /// Times that this entry joined the roster.
    pub joins: Counter,
    /// What callers make the process hold.
    pub intake: IntakeMetrics,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("ibisweir");
        macro_rules! register {
            ($name:literal, $help:literal, $metric:expr) => {{
                let metric = $metric;
                registry.register($name, $help, metric.clone());
                metric
            }};
        }
        let buckets = exponential_buckets(0.000_5, 2.0, 18);
        let answers = register!("answers", "Answers by result code", Family::default());
        let intake = IntakeMetrics::default();
        intake.register(&mut registry);
        let metrics = EntryMetrics {
            answers,
            intake,
            request_seconds: register!(
                "request_seconds",
                "Time to the answer",
                Histogram::new(buckets)
            ),
            attempts_not_run: register!(
                "attempts_not_run",
                "Attempts not run by reason",
                Reasons::default()
            ),
            attempts_unknown: register!(
                "attempts_unknown",
                "Attempts of unknown outcome by reason",
                Reasons::default()
            ),
            retries: register!("retries", "Attempts made again by reason", Reasons::default()),
            retries_denied: register!(
                "retries_denied",
                "Retries without budget",
                Counter::default()
            ),
            forwarded: register!("forwarded", "Requests sent to another entry", Reasons::default()),
            callers_gone: register!("callers_gone", "Callers gone early", Counter::default()),
            caller_connections: register!(
                "caller_connections",
                "Caller connections open",
                Gauge::default()
            ),
            in_flight: register!("in_flight", "Requests at workers", PoolGauges::default()),
            waiting: register!("waiting", "Requests waiting", PoolGauges::default()),
            targets: register!("targets", "Workers in the table", PoolGauges::default()),
            left_out: register!("left_out", "Failing workers left out", Counter::default()),
            connections_opened: register!(
                "connections_opened",
                "Connections to workers opened",
                Counter::default()
            ),
            connections_given_up: register!(
                "connections_given_up",
                "Connections to workers given up",
                Reasons::default()
            ),
            keys: register!("keys", "Idempotency keys remembered", Gauge::default()),
            records_skipped: register!(
                "records_skipped",
                "Log records that could not be read",
                Counter::default()
            ),
            fleet_records: register!(
                "fleet_records",
                "Fleet records by verdict",
                Reasons::default()
            ),
            platform_errors: register!(
                "platform_errors",
                "Failed platform calls",
                Reasons::default()
            ),
            peer_errors: register!("peer_errors", "Failed peer calls", Reasons::default()),
            states_adopted: register!(
                "states_adopted",
                "States taken from peers",
                Counter::default()
            ),
            revision: register!("revision", "Revision in force", Gauge::default()),
            ready: register!("ready", "Ready for callers", Gauge::default()),
            steward: register!("steward", "Steward of its data centre", Gauge::default()),
            steward_acts: register!("steward_acts", "Acts appended as steward", Reasons::default()),
            joins: register!("joins", "Joins of the roster", Counter::default()),
            registry,
        };
        metrics.revision.set(-1);
        metrics.preset();
        metrics
    }
}

/// Reasons of metrics whose words no enum holds.
const FORWARDED: [&str; 2] = ["key_owner", "no_target"];
const GIVEN_UP: [&str; 1] = ["unproved"];
const RETRIED: [&str; 1] = ["failed"];
const FLEET_RECORDS: [&str; 4] = ["accepted", "seen", "stale_term", "refused"];
const PLATFORM_ERRORS: [&str; 3] = ["read", "append", "reboot"];
const PEER_ERRORS: [&str; 6] = ["connect", "open", "write", "read", "nonsense", "timeout"];
const STEWARD_ACTS: [&str; 10] =
    ["beat", "evict", "assign", "drain", "reboot", "return", "lost", "release", "spend", "restate"];

impl EntryMetrics {
    /// Counters exist from the start, at 0: a rate over one that appears with its first event misses
    /// that event.
    fn preset(&self) {
        for code in ResultCode::ALL.iter().filter(|code| code.number() < 400) {
            let label = CodeLabel { code: code.number().into(), name: code.name() };
            drop(self.answers.get_or_create(&label));
        }
        let not_run = NotRunReason::ALL.map(NotRunReason::name);
        let unknown = UnknownReason::ALL.map(UnknownReason::name);
        preset(&self.attempts_not_run, &[&not_run]);
        preset(&self.attempts_unknown, &[&unknown]);
        preset(&self.retries, &[&not_run, &unknown, &RETRIED]);
        preset(&self.connections_given_up, &[&unknown, &GIVEN_UP]);
        preset(&self.forwarded, &[&FORWARDED]);
        preset(&self.fleet_records, &[&FLEET_RECORDS]);
        preset(&self.platform_errors, &[&PLATFORM_ERRORS]);
        preset(&self.peer_errors, &[&PEER_ERRORS]);
        preset(&self.steward_acts, &[&STEWARD_ACTS]);
    }

    /// Prometheus text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing into a string can't fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    /// Counts an answer; `None` is the worker's own.
    pub fn answer(&self, code: Option<ResultCode>) {
        let label = CodeLabel {
            code: code.map_or(0, |code| code.number().into()),
            name: code.map_or("Answered", ResultCode::name),
        };
        self.answers.get_or_create(&label).inc();
    }

    /// Counts an attempt that was not run.
    pub fn not_run(&self, reason: NotRunReason) {
        count(&self.attempts_not_run, reason.name());
    }

    /// Counts an attempt of unknown outcome.
    pub fn unknown(&self, reason: UnknownReason) {
        count(&self.attempts_unknown, reason.name());
    }
}

fn preset(family: &Reasons, reasons: &[&[&'static str]]) {
    for reason in reasons.iter().copied().flatten() {
        drop(family.get_or_create(&ReasonLabel { reason }));
    }
}

/// Counts one under a reason.
pub fn count(family: &Reasons, reason: &'static str) {
    family.get_or_create(&ReasonLabel { reason }).inc();
}

/// Sets a pool's gauge.
pub fn set_pool(family: &PoolGauges, pool: &str, value: usize) {
    let label = PoolLabel { pool: pool.to_owned() };
    family.get_or_create(&label).set(i64::try_from(value).unwrap_or(i64::MAX));
}
