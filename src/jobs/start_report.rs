//! Reports what became of the leader's starts, and what holds back those that are owed.
//!
//! A log line and metrics from the same counts. By them it can be told whether what begins lessens what
//! waits, and if not, whether the same tasks begin again or others take their place.

use std::sync::atomic::AtomicU64;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use slog::{Logger, info};

use crate::metrics::ReasonLabel;
use crate::scheduler::start_log::{BeginCounts, OwedTasks, StartStatus};

/// Metrics of an entry's starts while it leads.
#[derive(Clone, Debug, Default)]
pub struct StartMetrics {
    /// Tasks that began, `first` or `again`.
    pub begins: Family<ReasonLabel, Counter<u64, AtomicU64>>,
    /// Tasks that are done.
    pub done: Counter,
    /// Runs whose tasks have to begin again, and starts that have to be sent again, by reason.
    pub returned: Family<ReasonLabel, Counter<u64, AtomicU64>>,
    /// Those of them that had begun.
    pub returned_begun: Counter,
    /// Tasks that are owed a start, by what they wait for.
    pub owed: Family<ReasonLabel, Gauge>,
    /// Starts that wait to be handed out.
    pub queued: Gauge,
    /// Most of them; -1 for no limit.
    pub queued_max: Gauge,
    /// Starts that are handed out and have not begun.
    pub sent: Gauge,
    /// Most of them; -1 for no limit.
    pub sent_max: Gauge,
    /// Begins a second.
    pub rate: Gauge,
}

impl StartMetrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        let help = "tasks that began, first or again, at the leader";
        registry.register("begins", help, self.begins.clone());
        let help = "tasks that are done, at the leader";
        registry.register("tasks_done", help, self.done.clone());
        let help = "runs whose tasks have to begin again, by reason, at the leader";
        registry.register("returned_runs", help, self.returned.clone());
        let help = "those of them that had begun, at the leader";
        registry.register("returned_begun", help, self.returned_begun.clone());
        let help = "tasks that are owed a start, by what they wait for, at the leader";
        registry.register("owed_tasks", help, self.owed.clone());
        let help = "starts that wait to be handed out, at the leader";
        registry.register("queued_starts", help, self.queued.clone());
        let help = "most starts that may wait to be handed out, at the leader; -1 for no limit";
        registry.register("queued_starts_max", help, self.queued_max.clone());
        let help = "starts that are handed out and have not begun, at the leader";
        registry.register("sent_starts", help, self.sent.clone());
        let help =
            "most starts that may be handed out and not begun, at the leader; -1 for no limit";
        registry.register("sent_starts_max", help, self.sent_max.clone());
        let help = "tasks that begin in a second, at the leader";
        registry.register("start_rate", help, self.rate.clone());
        // Each label is there from the start, at zero.
        self.add(&BeginCounts::default());
        self.set(&StartStatus::default());
    }

    /// Adds what became of starts.
    pub fn add(&self, counts: &BeginCounts) {
        let begins = |reason| self.begins.get_or_create(&ReasonLabel { reason }).clone();
        begins("first").inc_by(counts.begun_first());
        begins("again").inc_by(counts.begun_again);
        self.done.inc_by(counts.done);
        for (reason, (all, begun)) in &counts.returned.by_reason {
            self.returned.get_or_create(&ReasonLabel { reason }).inc_by(*all);
            self.returned_begun.inc_by(*begun);
        }
    }

    /// Sets what limits starts; nothing does at an entry that does not lead.
    pub fn set(&self, status: &StartStatus) {
        let size = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        self.set_owed(&status.owed);
        self.queued.set(size(status.queued));
        self.queued_max.set(status.queued_max.map_or(-1, size));
        self.sent.set(size(status.sent));
        self.sent_max.set(status.sent_max.map_or(-1, size));
        self.rate.set(i64::try_from(status.lasting_rate).unwrap_or(i64::MAX));
    }

    fn set_owed(&self, owed: &OwedTasks) {
        let parts = [
            ("ready", owed.ready),
            ("pool_full", owed.pool_full),
            ("later_step", owed.later_step),
            ("placed", owed.placed),
            ("sent", owed.sent),
            ("capped", owed.capped),
        ];
        for (reason, tasks) in parts {
            let gauge = self.owed.get_or_create(&ReasonLabel { reason }).clone();
            gauge.set(i64::try_from(tasks).unwrap_or(i64::MAX));
        }
    }
}

/// Writes the log line.
pub fn write(logger: &Logger, counts: &BeginCounts, status: &StartStatus) {
    let OwedTasks { ready, pool_full, later_step, placed, sent, capped } = status.owed;
    info!(logger, "starts of the leader"; "begun_first" => counts.begun_first(),
        "begun_again" => counts.begun_again, "done" => counts.done,
        "stored_ms" => counts.stored.mean_ms(), "handed_out_ms" => counts.handed_out.mean_ms(),
        "answered_ms" => counts.answered.mean_ms(),
        "returned" => %counts.returned, "accepted" => counts.accepted,
        "rejected" => counts.rejected, "waiting" => status.waiting,
        "idle_jobs" => status.idle_jobs, "ready" => ready, "pool_full" => pool_full,
        "later_step" => later_step, "placed" => placed, "sent" => sent, "capped" => capped,
        "queued" => status.queued, "queued_max" => status.queued_max,
        "sent_open" => status.sent, "sent_max" => status.sent_max,
        "limited_by" => status.limited_by, "rate" => status.lasting_rate,
        "progress_rate" => status.progress_rate,
        "short_rate" => status.short_rate);
}
