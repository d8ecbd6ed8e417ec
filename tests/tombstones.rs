//! Cancellations of jobs that are unknown to their entry.

mod support;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use ibisweir::decide::access::{
    AccessTable, CallerAccess, KeyDigest, OrganisationDigest, OrganisationSpec,
};
use ibisweir::error::ResultCode;
use ibisweir::jobs::caller_service::{CallerReply, CallerService, SubmittedJob};
use ibisweir::jobs::catch_up::CatchUpReader;
use ibisweir::jobs::follower::{TailReader, fold_step};
use ibisweir::jobs::model::{JobId, JobState, JobSubmission, ResourceVector};
use ibisweir::jobs::node::JobNode;
use ibisweir::jobs::ports::{
    AppendCall, AppendOutcome, JobLog, LogBatch, LogTopic, NewestPage, ReadOutcome,
};
use ibisweir::jobs::query::QueryClient;
use ibisweir::jobs::record::{JobRecord, KeyedRecord};
use ibisweir::jobs::relay::RelayClient;
use ibisweir::jobs::site::SiteConfig;
use ibisweir::jobs::submitter;
use ibisweir::scheduler::{Scheduler, SchedulerStart};
use ibisweir::transport::HttpTransport;
use support::fakes::idle_node;
use support::sim::{
    COUNT_AGE_MAX_MS, POOL, QUEUE, SchedulerSim, bounds, config, job, job_id, queue, step,
    submission, task, worker,
};
use tokio::time::sleep;

/// Time limit of a caller.
const CALLER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time of a read or an append.
const LOG_TIME: Duration = Duration::from_millis(5);
/// Wall clock of a successor, in milliseconds since the epoch.
const WALL_MS: u64 = 1_700_000_000_000;

/// A log in memory.
#[derive(Clone, Default)]
struct MemoryLog {
    records: Arc<Mutex<Vec<KeyedRecord>>>,
    /// Outcome of appends; `None` if they succeed.
    append_outcome: Option<AppendOutcome>,
    /// Whether reads are never answered completely.
    is_unreadable: bool,
}

impl MemoryLog {
    fn records(&self) -> MutexGuard<'_, Vec<KeyedRecord>> {
        self.records.lock().expect("no panic")
    }
}

impl JobLog for MemoryLog {
    async fn append(&self, call: &AppendCall, _: Duration) -> AppendOutcome {
        sleep(LOG_TIME).await;
        if let Some(append_outcome) = self.append_outcome {
            return append_outcome;
        }
        let mut records = self.records();
        let offset = records.len() as u64;
        records.extend(call.records.iter().cloned());
        AppendOutcome::Done { offset, end: records.len() as u64 }
    }

    async fn read(&self, _: LogTopic, from: u64, _: Duration) -> ReadOutcome {
        sleep(LOG_TIME).await;
        if self.is_unreadable {
            return ReadOutcome::Unknown;
        }
        let all = self.records();
        let end = all.len() as u64;
        let records = (0..).zip(all.iter().cloned()).filter(|(offset, _)| *offset >= from);
        ReadOutcome::Read(LogBatch { end, next: end, records: records.collect() })
    }

    async fn newest(&self, _: LogTopic, _: Option<&str>) -> Option<NewestPage> {
        let all = self.records();
        let mut newest = BTreeMap::new();
        for (offset, record) in (0..).zip(all.iter()) {
            newest.insert(record.key.clone(), (offset, record.clone()));
        }
        let records = newest.into_values().filter(|(_, record)| !record.value.is_empty()).collect();
        Some(NewestPage { records, has_more: false, end: all.len() as u64 })
    }
}

/// An entry on this log that does not follow the log by itself.
fn desk(log: &MemoryLog, config: SiteConfig) -> CallerService<MemoryLog> {
    let node = idle_node();
    node.set_config(config);
    node.record_log_answer();
    let relay = RelayClient::new(HttpTransport::open());
    let queries = QueryClient::new(HttpTransport::open());
    let submitter = submitter::spawn(node.clone(), log.clone(), relay.clone(), 1);
    let reader = Arc::new(CatchUpReader::new(node.clone(), log.clone()));
    CallerService { node, reader, submitter, relay, queries }
}

/// A configuration whose callers need keys.
fn keyed_config() -> SiteConfig {
    let organisation = |name: &str| OrganisationSpec {
        name: name.into(),
        keys: vec![KeyDigest::of(name)],
        weight: 10.0,
        cap: ResourceVector::default(),
    };
    let access = AccessTable::from(vec![organisation("east"), organisation("west")]);
    SiteConfig { access: Some(access), ..config() }
}

fn caller(organisation: &str) -> CallerAccess {
    CallerAccess { organisation: Some(organisation.into()) }
}

async fn submit(desk: &CallerService<MemoryLog>, caller: &CallerAccess, id: JobId) -> CallerReply {
    let submitted = SubmittedJob { job: id, spec: job(vec![step(1)]), lease: None };
    desk.submit(&queue(QUEUE, POOL), caller, submitted, CALLER_TIMEOUT).await
}

async fn cancel(desk: &CallerService<MemoryLog>, caller: &CallerAccess, id: JobId) -> CallerReply {
    desk.cancel(&queue(QUEUE, POOL), caller, id, CALLER_TIMEOUT).await
}

/// An entry that has just read the newest record of each key.
async fn new_entry(log: &MemoryLog) -> Arc<JobNode> {
    let node = idle_node();
    let mut tail = TailReader::new(LogTopic::Jobs);
    let step = tail.next(log, Duration::ZERO).await;
    fold_step(&node, step, tail.position());
    node
}

/// Jobs that a leader would run which takes over from this entry's state.
fn runnable_jobs(node: &JobNode) -> usize {
    let start = SchedulerStart {
        term: 2,
        bounds: bounds(),
        config: Arc::new(config()),
        predecessor: None,
        confirmed_ms: 100_000,
        jobs_read_ms: 100_000,
        workers_read_ms: 100_000,
        now: 100_000,
        wall_ms: WALL_MS,
    };
    Scheduler::open(start, &node.job_table()).stats().jobs
}

const UNKNOWN_JOB: CallerReply = CallerReply::Refused(ResultCode::UnknownJob, None);

/// Guards against a job that runs to its end after its cancellation: one entry stores it a moment
/// after another has answered that there is no such job.
#[tokio::test(start_paused = true)]
async fn a_job_that_is_stored_after_its_cancellation_does_not_run() {
    let log = MemoryLog::default();
    let (first, second) = (desk(&log, config()), desk(&log, config()));
    let (anyone, id) = (CallerAccess::default(), job_id(1));
    assert_eq!(cancel(&first, &anyone, id).await, UNKNOWN_JOB);
    assert_eq!(first.job_state(&anyone, id).await, UNKNOWN_JOB);
    assert_eq!(second.job_state(&anyone, id).await, UNKNOWN_JOB);
    assert_eq!(submit(&second, &anyone, id).await, CallerReply::Stored);
    let cancelled = CallerReply::State(JobState::Cancelled);
    assert_eq!(second.job_state(&anyone, id).await, cancelled);
    assert_eq!(first.job_state(&anyone, id).await, cancelled);
    let node = new_entry(&log).await;
    assert_eq!(node.job_table().get(id).and_then(|job| job.state()), Some(JobState::Cancelled));
    assert_eq!(runnable_jobs(&node), 0);
}

/// Guards against a cancellation that is acknowledged but stored nowhere because the log accepts no
/// appends.
#[tokio::test(start_paused = true)]
async fn a_cancellation_that_is_not_stored_is_not_acknowledged() {
    let anyone = CallerAccess::default();
    let log = MemoryLog { append_outcome: Some(AppendOutcome::Refused), ..MemoryLog::default() };
    let reply = cancel(&desk(&log, config()), &anyone, job_id(1)).await;
    assert!(matches!(reply, CallerReply::Refused(ResultCode::LogAway, Some(_))), "{reply:?}");
    let log = MemoryLog { append_outcome: Some(AppendOutcome::Unknown), ..MemoryLog::default() };
    let reply = cancel(&desk(&log, config()), &anyone, job_id(1)).await;
    assert_eq!(reply, CallerReply::Unknown(ResultCode::JobOutcomeUnknown));
}

/// Guards against callers that can't cancel while their entries lag behind the log.
#[tokio::test(start_paused = true)]
async fn an_entry_that_lags_behind_the_log_stores_cancellations() {
    let log = MemoryLog::default();
    let unread = MemoryLog { is_unreadable: true, ..log.clone() };
    let (behind, other) = (desk(&unread, config()), desk(&log, config()));
    let (anyone, id) = (CallerAccess::default(), job_id(1));
    assert_eq!(submit(&other, &anyone, id).await, CallerReply::Stored);
    assert_eq!(cancel(&behind, &anyone, id).await, CallerReply::Stored);
    let new_entry = new_entry(&log).await;
    assert_eq!(
        new_entry.job_table().get(id).and_then(|job| job.state()),
        Some(JobState::Cancelled)
    );
    assert_eq!(runnable_jobs(&new_entry), 0);
}

/// Guards against a job that another organisation, or a caller without any, cancels before it is
/// stored.
#[tokio::test(start_paused = true)]
async fn no_one_cancels_another_organisations_job_before_it_is_stored() {
    let log = MemoryLog::default();
    let (first, second) = (desk(&log, keyed_config()), desk(&log, keyed_config()));
    let (east, west, id) = (caller("east"), caller("west"), job_id(1));
    for foreign in [&west, &CallerAccess::default()] {
        assert_eq!(cancel(&first, foreign, id).await, UNKNOWN_JOB);
    }
    assert_eq!(submit(&second, &east, id).await, CallerReply::Stored);
    for desk in [&first, &second] {
        assert_eq!(desk.job_state(&east, id).await, CallerReply::State(JobState::Queued));
    }
    assert_eq!(runnable_jobs(&*new_entry(&log).await), 1);
    // A known job that is hidden from the caller leaves no record.
    let stored = log.records().len();
    assert_eq!(cancel(&second, &west, id).await, UNKNOWN_JOB);
    assert_eq!(log.records().len(), stored);
}

/// Guards against a cancellation that another organisation's cancellation replaces on the log.
#[tokio::test(start_paused = true)]
async fn a_later_cancellation_by_others_replaces_none() {
    let log = MemoryLog::default();
    let (first, second) = (desk(&log, keyed_config()), desk(&log, keyed_config()));
    let (east, west, id) = (caller("east"), caller("west"), job_id(1));
    for caller in [&east, &west, &CallerAccess::default()] {
        assert_eq!(cancel(&first, caller, id).await, UNKNOWN_JOB);
    }
    assert_eq!(submit(&second, &east, id).await, CallerReply::Stored);
    let cancelled = CallerReply::State(JobState::Cancelled);
    assert_eq!(first.job_state(&east, id).await, cancelled);
    assert_eq!(first.job_state(&west, id).await, UNKNOWN_JOB);
    let node = new_entry(&log).await;
    assert_eq!(node.job_table().get(id).and_then(|job| job.state()), Some(JobState::Cancelled));
    assert_eq!(runnable_jobs(&node), 0);
    // A job of a queue that is open to all may be cancelled by every caller that may see it.
    let (anyone, open) = (CallerAccess::default(), job_id(2));
    assert_eq!(cancel(&first, &west, open).await, UNKNOWN_JOB);
    assert_eq!(submit(&second, &anyone, open).await, CallerReply::Stored);
    assert_eq!(first.job_state(&anyone, open).await, cancelled);
}

/// A leader without this job, the digest of an organisation, and the job's submission.
fn sim() -> (SchedulerSim, OrganisationDigest, JobRecord) {
    let sim = SchedulerSim::open(config(), vec![worker("w0", "r0")]);
    let organisation: Arc<str> = "east".into();
    let mark = OrganisationDigest::of(Some(&organisation));
    let submission =
        JobSubmission { organisation: Some(organisation), ..submission(job(vec![step(1)])) };
    (sim, mark, JobRecord::Submitted(job_id(1), Arc::new(submission)))
}

/// Guards against a job that runs at the leader that received its cancellation first, or at its
/// successor; and against a job that is cancelled by others than its owner.
#[test]
fn a_leader_checks_who_has_cancelled_a_job_before_it_arrived() {
    let west = OrganisationDigest::of(Some(&"west".into()));
    let id = job_id(1);
    for takes_over in [false, true] {
        for marks in [vec![west, OrganisationDigest::of(None)], vec![self::sim().1, west]] {
            let (mut sim, east, submitted) = sim();
            let is_cancelled = marks.contains(&east);
            for mark in &marks {
                sim.append(&JobRecord::CancelledBy(id, *mark));
            }
            sim.advance(100);
            if takes_over {
                sim.take_over(2, config());
            }
            sim.append(&submitted);
            sim.advance(500);
            assert_eq!(sim.state(id) == Some(JobState::Cancelled), is_cancelled);
            assert_eq!(sim.starts(task(id, 0, 0)), usize::from(!is_cancelled));
            sim.advance(COUNT_AGE_MAX_MS - 500);
            let state = if is_cancelled { JobState::Cancelled } else { JobState::Running };
            assert_eq!(sim.state(id), Some(state), "{marks:?} {takes_over}");
            assert_eq!(sim.starts(task(id, 0, 0)), usize::from(!is_cancelled));
        }
    }
}

/// Guards against a cancellation that is not carried out although the leader has the job.
#[test]
fn a_job_that_arrived_meanwhile_is_cancelled() {
    let (mut sim, east, submitted) = sim();
    sim.append(&submitted);
    sim.advance(500);
    sim.append(&JobRecord::CancelledBy(job_id(1), OrganisationDigest::of(None)));
    sim.advance(500);
    assert_eq!(sim.alive(task(job_id(1), 0, 0)), 1);
    assert_eq!(sim.state(job_id(1)), Some(JobState::Running));
    sim.append(&JobRecord::CancelledBy(job_id(1), east));
    sim.advance(1_000);
    assert_eq!(sim.state(job_id(1)), Some(JobState::Cancelled));
    assert_eq!(sim.alive(task(job_id(1), 0, 0)), 0);
}

/// Guards against cancellations that stay on the log for ever, and against a job that outlives its
/// cancellation.
#[test]
fn a_cancellation_leaves_the_log_after_its_job() {
    let (mut sim, east, submitted) = sim();
    for id in [1, 2] {
        sim.append(&JobRecord::CancelledBy(job_id(id), east));
    }
    sim.advance(140_000);
    sim.append(&submitted);
    sim.advance(15_000);
    assert!(sim.job_table.get(job_id(2)).is_none());
    assert_eq!(sim.state(job_id(1)), Some(JobState::Cancelled));
    let kept = sim.job_table.get(job_id(1)).expect("kept").tombstones.clone();
    assert_eq!(kept.into_keys().collect::<Vec<_>>(), [east]);
    sim.take_over(2, config());
    sim.advance(1_000);
    assert_eq!(sim.starts(task(job_id(1), 0, 0)), 0);
    sim.advance(160_000);
    assert!(sim.job_table.get(job_id(1)).is_none());
}

/// Guards against a caller whose cancellation is reported as done while the job, which belongs to
/// another organisation, runs on: its entry lags behind the log and can't tell who owns the job.
#[tokio::test(start_paused = true)]
async fn an_entry_that_lags_behind_the_log_reports_no_ineffective_cancellation() {
    let log = MemoryLog::default();
    let unread = MemoryLog { is_unreadable: true, ..log.clone() };
    let (behind, other) = (desk(&unread, keyed_config()), desk(&log, keyed_config()));
    let id = job_id(1);
    assert_eq!(submit(&other, &caller("east"), id).await, CallerReply::Stored);
    let reply = cancel(&behind, &caller("west"), id).await;
    assert_eq!(runnable_jobs(&*new_entry(&log).await), 1, "it runs on");
    assert_ne!(reply, CallerReply::Stored);
}

/// Guards against a job that a caller without a key cancels before it is stored: its entry still
/// uses a configuration in which nobody needs one.
#[tokio::test(start_paused = true)]
async fn no_one_cancels_an_organisations_job_through_an_old_configuration() {
    let log = MemoryLog::default();
    let (old, new) = (desk(&log, config()), desk(&log, keyed_config()));
    let id = job_id(1);
    assert_eq!(cancel(&old, &CallerAccess::default(), id).await, UNKNOWN_JOB);
    assert_eq!(submit(&new, &caller("east"), id).await, CallerReply::Stored);
    assert_eq!(runnable_jobs(&*new_entry(&log).await), 1);
}
