//! Metrics of an entry's job subsystem, exported as Prometheus text.

use std::collections::BTreeMap;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, PoisonError};

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::intake::IntakeMetrics;
use crate::jobs::start_report::StartMetrics;
use crate::metrics::{PoolLabel, ReasonLabel};
use crate::odd_entries::OddEntries;
use crate::traffic::TrafficMeter;
use crate::transport::HttpTransport;

type Reasons = Family<ReasonLabel, Counter<u64, AtomicU64>>;
type CallBytes = Family<CallLabel, Counter>;
type Organisations = Family<OrganisationLabel, Gauge>;

/// Number of organisations that have their own series. The others share one, so that the operators'
/// configurations can't overload a monitoring system.
const ORGANISATIONS_MAX: usize = 64;
/// The same for pools.
const POOLS_MAX: usize = 64;
/// Label of the shared series.
const OTHERS: &str = "others";

/// Label of metrics that are split by organisation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OrganisationLabel {
    /// Name of the organisation.
    pub organisation: String,
}

/// Label of metrics that are split by kind of call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabel {
    /// Path of the call, without ids of single objects.
    pub call: String,
}

/// All job metrics of one entry.
#[derive(Debug)]
pub struct JobMetrics {
    registry: Registry,
    /// Counts the calls to other processes and the bytes of their bodies.
    pub traffic: TrafficMeter,
    /// Entries that can't be read.
    pub noted: OddEntries,
    /// Number of these, by kind.
    pub odd_entries: Reasons,
    bytes_sent: CallBytes,
    bytes_received: CallBytes,
    calls_unanswered: CallBytes,
    /// Answers to callers, by call and status.
    pub replies: Reasons,
    /// Time to answer a caller, in seconds.
    pub reply_seconds: Histogram,
    /// Starts, by outcome.
    pub starts: Reasons,
    /// What became of starts while this entry leads.
    pub start_report: StartMetrics,
    /// Runs that ended, by kind of exit.
    pub exits: Reasons,
    /// Runs that were lost with their workers, by how long they had been active.
    pub lost_runs: Reasons,
    /// Jobs that were given up because a task crashes its workers, by reason.
    pub given_up: Reasons,
    /// Stop commands, by reason.
    pub stops: Reasons,
    /// Cancellations that reached the leader, by whether it knew the job.
    pub cancellations: Reasons,
    /// Losses after which a task starts only while its pool is stable.
    pub trials: Counter,
    /// Log lines about service tasks that are not running for a long time, by reason.
    pub service_waits: Reasons,
    /// Log lines about jobs of which nothing runs for a long time, by reason.
    pub idle_jobs: Reasons,
    /// Records of learned state, by what was done with them.
    pub learned_records: Reasons,
    /// Bytes of learned state that were queued for the log.
    pub learned_bytes: Counter,
    /// Placement rounds of a pool that were ordered by the shares of organisations.
    pub fair_rounds: Counter,
    /// Runs that a worker first listed after their job had finished.
    pub begun_over: Counter,
    /// Starts that were rejected while another attempt had no outcome yet.
    pub refused_open: Counter,
    /// Starts that were withdrawn before they were sent.
    pub starts_withdrawn: Counter,
    /// Unrecorded runs that a worker listed in addition to another run of the same task.
    pub second_runs: Counter,
    /// Queries to entries with a replica of the job log, by outcome.
    pub questions: Reasons,
    /// Whether this entry has a replica of the job log.
    pub replica: Gauge,
    /// Lease renewals.
    pub renewals: Counter,
    /// Renewals that were answered after their timeout.
    pub late_answers: Counter,
    /// Number of commands to workers that may be in flight, if this entry leads.
    pub command_window: Gauge,
    /// Starts that this entry sent on behalf of the leader.
    pub delegated_starts: Counter,
    /// Number of entries that take starts, if this entry leads.
    pub executors: Gauge,
    /// Failed calls to the VM service, by kind.
    pub vm_calls: Reasons,
    /// Time of an append to the log, in seconds.
    pub append_seconds: Histogram,
    /// Size in bytes from which the next commit takes no more records, if this entry leads.
    pub append_limit: Gauge,
    /// Appends of commits that were repeated.
    pub append_repeats: Counter,
    /// Number of times that this entry became the leader.
    pub takeovers: Counter,
    /// Whether this entry leads.
    pub leading: Gauge,
    /// Time since the last answer of the log, in milliseconds.
    pub log_age_ms: Gauge,
    /// Version of the configuration in force.
    pub config_version: Gauge,
    /// Unfinished jobs, if this entry leads.
    pub open_jobs: Gauge,
    /// Runs that may be alive, if this entry leads.
    pub live_runs: Gauge,
    /// Age of the scheduler's view of the job log, in milliseconds, if this entry leads.
    pub view_age_ms: Gauge,
    /// Workers that don't answer, if this entry leads.
    pub silent_workers: Gauge,
    /// Idle VMs that are held between bursts, if this entry leads.
    pub held_vms: Gauge,
    /// Age of the read that last confirmed the configuration, in milliseconds; decides whether API
    /// keys are honoured.
    pub config_age_ms: Gauge,
    /// Runs that may be alive, by organisation, if this entry leads.
    pub organisation_runs: Organisations,
    /// Jobs of which no task has started, by organisation, if this entry leads.
    pub organisation_waiting: Organisations,
    /// Submissions that were rejected for the backlog of their pool, by pool.
    admission_rejections: Family<PoolLabel, Counter>,
    /// The same counts, for the status.
    rejections: Mutex<BTreeMap<Arc<str>, u64>>,
    /// Age of the digest of the backlog, in milliseconds; -1 without one.
    pub line_digest_age_ms: Gauge,
    /// What callers make the process hold.
    pub intake: IntakeMetrics,
    /// Submissions that were not sent to the log, by reason.
    pub submissions_unsent: Reasons,
    /// Memory that the specifications of accepted jobs take here, in bytes.
    pub kept_bytes: Gauge,
    /// Bytes of large submissions that wait for an append, if this entry leads.
    pub waiting_large_bytes: Gauge,
}

impl Default for JobMetrics {
    fn default() -> Self {
        let seconds = || Histogram::new(exponential_buckets(0.001, 2.0, 14));
        let mut metrics = JobMetrics {
            registry: Registry::with_prefix("ibisweir_job"),
            traffic: TrafficMeter::default(),
            noted: OddEntries::default(),
            odd_entries: Family::default(),
            bytes_sent: Family::default(),
            bytes_received: Family::default(),
            calls_unanswered: Family::default(),
            replies: Family::default(),
            reply_seconds: seconds(),
            starts: Family::default(),
            start_report: StartMetrics::default(),
            exits: Family::default(),
            lost_runs: Family::default(),
            given_up: Family::default(),
            stops: Family::default(),
            cancellations: Family::default(),
            trials: Counter::default(),
            service_waits: Family::default(),
            idle_jobs: Family::default(),
            learned_records: Family::default(),
            learned_bytes: Counter::default(),
            fair_rounds: Counter::default(),
            begun_over: Counter::default(),
            refused_open: Counter::default(),
            starts_withdrawn: Counter::default(),
            second_runs: Counter::default(),
            questions: Family::default(),
            replica: Gauge::default(),
            renewals: Counter::default(),
            late_answers: Counter::default(),
            command_window: Gauge::default(),
            delegated_starts: Counter::default(),
            executors: Gauge::default(),
            vm_calls: Family::default(),
            append_seconds: seconds(),
            append_limit: Gauge::default(),
            append_repeats: Counter::default(),
            takeovers: Counter::default(),
            leading: Gauge::default(),
            log_age_ms: Gauge::default(),
            config_version: Gauge::default(),
            open_jobs: Gauge::default(),
            live_runs: Gauge::default(),
            view_age_ms: Gauge::default(),
            silent_workers: Gauge::default(),
            held_vms: Gauge::default(),
            config_age_ms: Gauge::default(),
            organisation_runs: Family::default(),
            organisation_waiting: Family::default(),
            admission_rejections: Family::default(),
            rejections: Mutex::default(),
            line_digest_age_ms: Gauge::default(),
            intake: IntakeMetrics::default(),
            submissions_unsent: Family::default(),
            kept_bytes: Gauge::default(),
            waiting_large_bytes: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl JobMetrics {
    /// Metrics that export what a transport counts.
    pub fn of_transport(transport: &HttpTransport) -> JobMetrics {
        let (traffic, noted) = (transport.traffic().clone(), transport.odd_entries().clone());
        JobMetrics { traffic, noted, ..JobMetrics::default() }
    }

    /// Copies the totals of the transport to the exported counters.
    pub fn update_traffic(&self) {
        for (call, traffic) in self.traffic.totals() {
            let label = CallLabel { call };
            let counters = [
                (&self.bytes_sent, traffic.sent),
                (&self.bytes_received, traffic.received),
                (&self.calls_unanswered, traffic.unanswered),
            ];
            for (family, total) in counters {
                let counter = family.get_or_create(&label);
                counter.inc_by(total.saturating_sub(counter.get()));
            }
        }
        for (reason, total) in self.noted.totals() {
            let counter = self.odd_entries.get_or_create(&ReasonLabel { reason });
            counter.inc_by(total.saturating_sub(counter.get()));
        }
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        let help = "bytes of bodies sent in calls to other processes, by call";
        registry.register("bytes_sent", help, self.bytes_sent.clone());
        let help = "bytes of bodies received in answers to these, by call";
        registry.register("bytes_received", help, self.bytes_received.clone());
        let help = "calls to other processes without a whole answer, by call";
        registry.register("calls_unanswered", help, self.calls_unanswered.clone());
        let help = "entries, rows and records that can't be read, by kind";
        registry.register("odd_entries", help, self.odd_entries.clone());
        registry.register("replies", "answers to callers, by call and code", self.replies.clone());
        let help = "time to answer a caller, in seconds";
        registry.register("reply_seconds", help, self.reply_seconds.clone());
        registry.register("starts", "starts, by what became of them", self.starts.clone());
        self.start_report.register(registry);
        registry.register("exits", "ends of runs, by kind", self.exits.clone());
        let help = "runs that were lost with their workers, by how long they had been at work";
        registry.register("lost_runs", help, self.lost_runs.clone());
        let help = "jobs given up as a task of theirs crashes its workers, by reason";
        registry.register("given_up", help, self.given_up.clone());
        registry.register("stops", "stops, by reason", self.stops.clone());
        let help = "cancellations that reached the leader, by whether it knew the job";
        registry.register("cancellations", help, self.cancellations.clone());
        let help = "losses after which a task starts only while its pool is calm";
        registry.register("trials", help, self.trials.clone());
        let help = "lines about tasks of services that are away for long, by what these wait for";
        registry.register("service_waits", help, self.service_waits.clone());
        let help = "lines about jobs of which nothing runs for long, by what the oldest waits for";
        registry.register("idle_jobs", help, self.idle_jobs.clone());
        let help = "records of learned state that a leader wrote, restored or rejected, by reason";
        registry.register("learned_records", help, self.learned_records.clone());
        let help = "bytes of learned state that were queued for the log";
        registry.register("learned_bytes", help, self.learned_bytes.clone());
        let help = "placement rounds of a pool that were ordered by the shares of organisations";
        registry.register("fair_rounds", help, self.fair_rounds.clone());
        let help = "runs that a worker first listed after their job was over";
        registry.register("begun_over", help, self.begun_over.clone());
        let help = "starts that were refused while another try of them had no outcome yet";
        registry.register("refused_open", help, self.refused_open.clone());
        let help = "starts that were withdrawn before they were sent";
        registry.register("starts_withdrawn", help, self.starts_withdrawn.clone());
        let help = "runs on no book that a worker listed beside another run of their task";
        registry.register("second_runs", help, self.second_runs.clone());
        let help = "questions to entries with a copy of the job log, by what became of them";
        registry.register("questions", help, self.questions.clone());
        let help = "1 while this entry keeps a copy of the job log";
        registry.register("replica", help, self.replica.clone());
        registry.register("renewals", "lease renewals", self.renewals.clone());
        let help = "renewals that were answered after they had been given up";
        registry.register("late_answers", help, self.late_answers.clone());
        let help = "commands to workers that may be under way, at the leader";
        registry.register("command_window", help, self.command_window.clone());
        let help = "starts that this entry carried out for the leader";
        registry.register("delegated_starts", help, self.delegated_starts.clone());
        let help = "entries that take starts, at the leader";
        registry.register("executors", help, self.executors.clone());
        registry.register("vm_calls", "failed calls to the VM service", self.vm_calls.clone());
        let help = "time of an append to the log, in seconds";
        registry.register("append_seconds", help, self.append_seconds.clone());
        let help = "bytes from which the next commit takes no more, at the leader";
        registry.register("append_room", help, self.append_limit.clone());
        let help = "appends of commits that were repeated";
        registry.register("append_repeats", help, self.append_repeats.clone());
        registry.register("takeovers", "times this entry began to lead", self.takeovers.clone());
        registry.register("leading", "1 while this entry leads", self.leading.clone());
        let help = "age of the last answer of the log, in ms";
        registry.register("log_age_ms", help, self.log_age_ms.clone());
        let help = "version of the configuration in force";
        registry.register("config_version", help, self.config_version.clone());
        registry.register("open", "jobs that are not over, at the leader", self.open_jobs.clone());
        let help = "runs that may be alive, at the leader";
        registry.register("live_runs", help, self.live_runs.clone());
        let help = "age of what is known of the jobs, in ms, at the leader";
        registry.register("view_age_ms", help, self.view_age_ms.clone());
        let help = "workers that don't answer, at the leader";
        registry.register("silent_workers", help, self.silent_workers.clone());
        let help = "idle VMs kept out of the standby pool between bursts, at the leader";
        registry.register("held_vms", help, self.held_vms.clone());
        let help = "age of the reading by which keys are honoured, in ms";
        registry.register("config_age_ms", help, self.config_age_ms.clone());
        let help = "runs that may be alive by organisation, at the leader";
        registry.register("organisation_runs", help, self.organisation_runs.clone());
        let help = "jobs of which no task has started by organisation, at the leader";
        registry.register("organisation_waiting", help, self.organisation_waiting.clone());
        let help = "submissions rejected for the backlog of their pool, by pool";
        registry.register("admission_rejections", help, self.admission_rejections.clone());
        let help = "age of the digest of the backlog, in ms; -1 without one";
        registry.register("line_digest_age_ms", help, self.line_digest_age_ms.clone());
        self.intake.register(registry);
        let help = "submissions that were not sent to the log, by reason";
        registry.register("submissions_unsent", help, self.submissions_unsent.clone());
        let help = "bytes that the specifications of accepted jobs take in memory";
        registry.register("kept_bytes", help, self.kept_bytes.clone());
        let help = "bytes of large submissions that wait for an append, at the leader";
        registry.register("waiting_large_bytes", help, self.waiting_large_bytes.clone());
    }

    /// Counts a submission that was rejected for the backlog of its pool.
    pub fn count_rejection(&self, pool: &Arc<str>) {
        let mut rejections = self.rejections.lock().unwrap_or_else(PoisonError::into_inner);
        // Pools that no configuration names any more are few; those beyond the bound are not told
        // apart.
        let is_named = rejections.contains_key(pool) || rejections.len() < POOLS_MAX;
        let name = if is_named { pool.clone() } else { Arc::from(OTHERS) };
        let label = PoolLabel { pool: name.to_string() };
        self.admission_rejections.get_or_create(&label).inc();
        *rejections.entry(name).or_default() += 1;
    }

    /// Submissions that were rejected for the backlog of their pool, by pool.
    pub fn rejections(&self) -> BTreeMap<Arc<str>, u64> {
        self.rejections.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the gauges of all organisations by these counts: name, runs, waiting jobs.
    pub fn set_organisations<'a>(&self, counts: impl Iterator<Item = (&'a str, usize, usize)>) {
        self.organisation_runs.clear();
        self.organisation_waiting.clear();
        for (position, (name, runs, waiting)) in counts.enumerate() {
            let name = if position < ORGANISATIONS_MAX { name } else { OTHERS };
            let label = OrganisationLabel { organisation: name.to_owned() };
            let size = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
            self.organisation_runs.get_or_create(&label).inc_by(size(runs));
            self.organisation_waiting.get_or_create(&label).inc_by(size(waiting));
        }
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// Adds a number to the counter for a reason.
pub fn count_many(family: &Reasons, reason: &'static str, number: usize) {
    let number = u64::try_from(number).unwrap_or(u64::MAX);
    family.get_or_create(&ReasonLabel { reason }).inc_by(number);
}

/// Adds one to the counter for a reason.
pub fn count(family: &Reasons, reason: &'static str) {
    family.get_or_create(&ReasonLabel { reason }).inc();
}
