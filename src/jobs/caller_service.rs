//! The operations that callers use: submit a job, query its state, cancel it, count the waiting
//! jobs of a queue.

use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info};
use tokio::time::{Instant, timeout};

use crate::decide::access::{AccessRefusal, CallerAccess, OrganisationDigest, PresentedKey, admit};
use crate::decide::admission::{
    JobDemand, LineRejection, StartLine, is_deferrable, reject, reject_beyond_starts,
};
use crate::error::ResultCode;
use crate::held_body::BodyLease;
use crate::jobs::catch_up::CatchUpReader;
use crate::jobs::model::{JobId, JobSpec, JobState, JobSubmission};
use crate::jobs::node::JobNode;
use crate::jobs::ports::JobLog;
use crate::jobs::query::{JobAnswer, JobQuery, QueryClient};
use crate::jobs::record::JobRecord;
use crate::jobs::relay::{KnownJob, RelayClient};
use crate::jobs::site::QueueSpec;
use crate::jobs::submitter::{SubmitHandle, SubmitOutcome};

/// How long before the caller's time limit an answer is sent, to allow for the network and a busy
/// process.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// Longest wait for the log before a caller is told that the outcome is unknown: by then it does
/// better to try another entry, and has time left to do so.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest wait for a lookup of a job before it is rejected for the backlog; without an answer it is
/// accepted.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(300);
/// When a caller that was rejected because of an outage may retry.
const OUTAGE_RETRY: Duration = Duration::from_secs(1);

/// When a caller may retry for whose job accepted ones leave no room.
const KEPT_RETRY: Duration = Duration::from_secs(5);

/// Reply to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerReply {
    /// The job or its cancellation is stored.
    Stored,
    /// The job's state.
    State(JobState),
    /// Number of jobs of the queue of which no task has started.
    Waiting(u64),
    /// Nothing was done; with the time after which to retry, if that can help.
    Refused(ResultCode, Option<Duration>),
    /// It is unknown whether the request was carried out.
    Unknown(ResultCode),
}

/// A job that a caller submits.
#[derive(Debug)]
pub struct SubmittedJob {
    /// Its id.
    pub job: JobId,
    /// What it is made of.
    pub spec: JobSpec,
    /// Its bytes in the account of callers, until it is stored or dropped; `None` if they don't count.
    pub lease: Option<BodyLease>,
}

/// Serves the requests of callers.
#[derive(Clone)]
pub struct CallerService<L> {
    /// State shared by the loops of the entry.
    pub node: Arc<JobNode>,
    /// Catches up with the log for jobs that this entry does not know: another entry may just have
    /// accepted them.
    pub reader: Arc<CatchUpReader<L>>,
    /// Stores records in the log.
    pub submitter: SubmitHandle,
    /// Reaches the leader, which knows the state of jobs while this entry can't read the log.
    pub relay: RelayClient,
    /// Queries entries with a replica of the job log if this one has none.
    pub queries: QueryClient,
}

impl<L: JobLog> CallerService<L> {
    /// The queue that a request belongs to.
    ///
    /// # Errors
    /// `NotReady` before a configuration was read, `UnknownService` if no queue matches the host
    /// and path.
    pub fn queue(&self, host: &str, path: &str) -> Result<QueueSpec, CallerReply> {
        let refused = |code, wait| CallerReply::Refused(code, wait);
        let Some(config) = self.node.config() else {
            return Err(refused(ResultCode::NotReady, Some(OUTAGE_RETRY)));
        };
        let queue = config.route(host, path);
        queue.cloned().ok_or_else(|| refused(ResultCode::UnknownService, None))
    }

    /// Authenticates a caller by its API key.
    ///
    /// # Errors
    /// `NoApiKey` or `UnknownApiKey`; `KeyUnconfirmed` if this entry can't confirm that its
    /// configuration is the newest, while another entry may.
    pub fn admit(&self, queue: &QueueSpec, key: PresentedKey) -> Result<CallerAccess, CallerReply> {
        if queue.is_open || !self.needs_keys() {
            return Ok(CallerAccess::default());
        }
        let config = self.node.honoured_config();
        let admitted = admit(config.as_ref().and_then(|config| config.access.as_ref()), key);
        admitted.map_err(|refusal| self.rejection(refusal))
    }

    /// Whether the site uses API keys.
    fn needs_keys(&self) -> bool {
        self.node.config().is_some_and(|config| config.access.is_some())
    }

    fn rejection(&self, refusal: AccessRefusal) -> CallerReply {
        let (code, wait) = match refusal {
            AccessRefusal::NoKey => (ResultCode::NoApiKey, None),
            AccessRefusal::UnknownKey => (ResultCode::UnknownApiKey, None),
            AccessRefusal::Unconfirmed => (ResultCode::KeyUnconfirmed, Some(OUTAGE_RETRY)),
        };
        info!(self.node.logger, "caller not admitted"; "code" => code.number(),
            "name" => code.name(), "view_age_ms" => self.node.config_age_ms());
        CallerReply::Refused(code, wait)
    }

    /// Stores a job. Submitting the same id again refers to the same job.
    pub async fn submit(
        &self,
        queue: &QueueSpec,
        caller: &CallerAccess,
        submitted: SubmittedJob,
        time_left: Duration,
    ) -> CallerReply {
        let SubmittedJob { job, spec, lease } = submitted;
        let logger = self.node.logger.clone();
        if let Err(fault) = spec.check() {
            info!(logger, "job refused"; "job" => %job, "fault" => ?fault,
                "code" => ResultCode::BadJob.number());
            return CallerReply::Refused(ResultCode::BadJob, None);
        }
        if let Some(known) = KnownJob::find(&self.node, job) {
            info!(logger, "job already known"; "job" => %job);
            return reply_for_stored(caller, Some(&known));
        }
        if self.node.is_log_unreachable() {
            return self.refuse(job, outage_reply());
        }
        if let Some(reply) = self.reject_for_backlog(queue, caller, job, &spec, time_left).await {
            return reply;
        }
        if let Some(reply) = self.reject_for_memory(job, &spec) {
            return reply;
        }
        let submission = JobSubmission {
            queue: queue.name.clone(),
            service: queue.service.clone(),
            accepted_ms: self.node.clock.wall_ms(),
            spec,
            kept_task_count: 0,
            organisation: caller.organisation.clone(),
        };
        let record = JobRecord::Submitted(job, Arc::new(submission));
        let bytes = record.encode().map_or(usize::MAX, |keyed| keyed.value.len());
        if bytes > self.node.settings.record_bytes_max {
            info!(logger, "job refused"; "job" => %job, "bytes" => bytes,
                "code" => ResultCode::BodyTooLarge.number());
            return CallerReply::Refused(ResultCode::BodyTooLarge, None);
        }
        let begun = Instant::now();
        let lifetime_ms = self.node.settings.bounds.status_ms;
        // Noted before the submission is sent: a caller may break off at any time after that.
        let is_first = self.node.attempts().begin(job, self.node.now(), lifetime_ms);
        let outcome = self.submitter.submit_held(record, deadline(queue, time_left), lease).await;
        log_outcome(&logger, "submission", job, outcome, begun);
        let is_refused = match outcome {
            SubmitOutcome::Stored | SubmitOutcome::Unknown => false,
            SubmitOutcome::Refused
            | SubmitOutcome::Full
            | SubmitOutcome::Rejected(_)
            | SubmitOutcome::JobsFull(_) => true,
        };
        let is_known = outcome == SubmitOutcome::Stored && self.node.is_replica();
        if is_known || is_refused && is_first {
            self.node.attempts().end(job);
        }
        match outcome {
            SubmitOutcome::Stored => self.stored_reply(caller, job).await,
            // An earlier attempt at this entry may be stored.
            _ if is_refused && !is_first => CallerReply::Unknown(ResultCode::JobOutcomeUnknown),
            SubmitOutcome::Rejected(_) => {
                self.node.metrics.count_rejection(&queue.service);
                outcome_reply(outcome)
            }
            outcome => outcome_reply(outcome),
        }
    }

    /// Refuses a job whose body found no room at this entry; one that is stored already is answered as
    /// such.
    pub fn refuse_body(&self, caller: &CallerAccess, job: JobId) -> CallerReply {
        match KnownJob::find(&self.node, job) {
            Some(known) => reply_for_stored(caller, Some(&known)),
            None => {
                self.refuse(job, CallerReply::Refused(ResultCode::EntryFull, Some(OUTAGE_RETRY)))
            }
        }
    }

    /// The reply to a submission of which nothing was stored: unless an earlier attempt at this entry may
    /// be, it never runs.
    fn refuse(&self, job: JobId, refusal: CallerReply) -> CallerReply {
        let lifetime_ms = self.node.settings.bounds.status_ms;
        match self.node.attempts().may_be_stored(job, self.node.now(), lifetime_ms) {
            true => CallerReply::Unknown(ResultCode::JobOutcomeUnknown),
            false => refusal,
        }
    }

    /// The reply to a submission for which this replica has no room beside the accepted jobs; `None` to
    /// accept it.
    fn reject_for_memory(&self, job: JobId, spec: &JobSpec) -> Option<CallerReply> {
        let (room, kept) = (self.node.kept_room(), spec.kept());
        // A replica that is behind may not know that an earlier attempt is stored.
        if room.covers(kept) || !self.node.is_current() {
            return None;
        }
        info!(self.node.logger, "job rejected for the memory of accepted jobs"; "job" => %job,
            "bytes" => kept.all, "room" => room.all, "large_room" => room.large,
            "code" => ResultCode::JobsFull.number());
        let refusal = CallerReply::Refused(ResultCode::JobsFull, Some(KEPT_RETRY));
        Some(self.refuse(job, refusal))
    }

    /// The reply to a submission that the backlog of its pool makes useless, that the leader can't
    /// begin in time, or that turns out to be stored already; `None` to accept it. Whatever can't be told accepts it.
    async fn reject_for_backlog(
        &self,
        queue: &QueueSpec,
        caller: &CallerAccess,
        job: JobId,
        spec: &JobSpec,
        time_left: Duration,
    ) -> Option<CallerReply> {
        self.judge(queue, job, spec)?;
        let lifetime_ms = self.node.settings.bounds.status_ms;
        if self.node.attempts().may_be_stored(job, self.node.now(), lifetime_ms) {
            return None;
        }
        // Another entry may have stored an earlier attempt.
        if self.node.asks_replicas() {
            let query = JobQuery::Job(job);
            let lookup = self.queries.ask(&self.node, &query);
            match timeout(LOOKUP_TIMEOUT.min(time_left / 2), lookup).await.ok().flatten() {
                Some(JobAnswer::Job(Some(known)) | JobAnswer::Stale(known)) => {
                    return Some(reply_for_stored(caller, Some(&known)));
                }
                Some(JobAnswer::Job(None)) => {}
                Some(JobAnswer::Waiting(_)) | None => return None,
            }
        } else if !self.node.is_current() {
            return None;
        }
        // The digest may have expired during the lookup.
        let rejection = self.judge(queue, job, spec)?;
        self.record_rejection(queue, job, &rejection);
        let wait = Duration::from_secs(rejection.cause.retry_s());
        Some(CallerReply::Refused(ResultCode::LineTooLong, Some(wait)))
    }

    /// Decides by the digest of the backlog; `None` accepts the job.
    fn judge(&self, queue: &QueueSpec, job: JobId, spec: &JobSpec) -> Option<BacklogRejection> {
        self.judge_starts(job, spec).or_else(|| self.judge_work(queue, job, spec))
    }

    /// Decides by what the leader can begin.
    fn judge_starts(&self, job: JobId, spec: &JobSpec) -> Option<BacklogRejection> {
        let (digest, age_ms) = self.node.start_line()?;
        let line = digest.starts.filter(|_| is_deferrable(spec))?;
        let retry_s = reject_beyond_starts(&line, job.number())?;
        let cause = RejectionCause::Starts { line, retry_s };
        Some(BacklogRejection { cause, term: digest.term, number: digest.number, age_ms })
    }

    /// Decides by the capacity of the job's pool.
    fn judge_work(
        &self,
        queue: &QueueSpec,
        job: JobId,
        spec: &JobSpec,
    ) -> Option<BacklogRejection> {
        let (digest, age_ms) = self.node.line()?;
        let pool = digest.pool(&queue.service)?;
        let line = reject(&JobDemand::of(spec, job.number(), queue, pool)?, pool)?;
        let cause = RejectionCause::Work(line);
        Some(BacklogRejection { cause, term: digest.term, number: digest.number, age_ms })
    }

    fn record_rejection(&self, queue: &QueueSpec, job: JobId, rejection: &BacklogRejection) {
        self.node.metrics.count_rejection(&queue.service);
        let BacklogRejection { cause, term, number, age_ms } = rejection;
        match cause {
            RejectionCause::Work(line) => {
                info!(self.node.logger, "job rejected for the backlog of its pool"; "job" => %job,
                    "queue" => &*queue.name, "pool" => &*queue.service, "term" => term,
                    "digest" => number, "digest_age_ms" => age_ms,
                    "work_ahead" => line.work_ahead, "capacity" => line.capacity,
                    "end_ms" => line.end_ms, "value_end_ms" => line.value_end_ms,
                    "retry_after_ms" => line.retry_s * 1_000,
                    "code" => ResultCode::LineTooLong.number());
            }
            RejectionCause::Starts { line, retry_s } => {
                info!(self.node.logger, "job rejected for the starts that wait for the leader";
                    "job" => %job, "queue" => &*queue.name, "pool" => &*queue.service,
                    "term" => term, "digest" => number, "digest_age_ms" => age_ms,
                    "waiting" => line.waiting, "rate" => line.rate, "drain_ms" => line.drain_ms(),
                    "retry_after_ms" => retry_s * 1_000,
                    "code" => ResultCode::LineTooLong.number());
            }
        }
    }

    /// The reply once a job with this id is stored. If jobs belong to organisations, a job of
    /// another organisation may have been stored under the id first; an entry without a replica
    /// asks the leader.
    async fn stored_reply(&self, caller: &CallerAccess, job: JobId) -> CallerReply {
        if !self.needs_keys() || !self.node.asks_replicas() {
            return reply_for_stored(caller, KnownJob::find(&self.node, job).as_ref());
        }
        match self.relay.look(&self.node, job).await {
            Some(Some(known)) => reply_for_stored(caller, Some(&known)),
            Some(None) | None => CallerReply::Unknown(ResultCode::JobOutcomeUnknown),
        }
    }

    /// Replies with the state of a job.
    pub async fn job_state(&self, caller: &CallerAccess, job: JobId) -> CallerReply {
        match self.find_job(job).await {
            Ok(Some(known)) if !self.is_hidden(caller, job, &known) => {
                CallerReply::State(known.state)
            }
            Ok(_) => no_such_job(),
            Err(reply) => reply,
        }
    }

    /// Whether the job belongs to another organisation, so that it does not exist for this caller.
    fn is_hidden(&self, caller: &CallerAccess, job: JobId, known: &KnownJob) -> bool {
        let is_hidden = !caller.may_see(known.organisation.as_ref());
        if is_hidden {
            info!(self.node.logger, "job hidden from a caller of another organisation";
                "job" => %job);
        }
        is_hidden
    }

    /// Finds a job in this entry's table. While this entry alone can't read the log its table is
    /// out of date, so the leader is asked.
    async fn find_job(&self, job: JobId) -> Result<Option<KnownJob>, CallerReply> {
        if self.node.asks_replicas() {
            match self.queries.ask(&self.node, &JobQuery::Job(job)).await {
                Some(JobAnswer::Job(known)) => return Ok(known),
                Some(JobAnswer::Stale(known)) => return Ok(Some(known)),
                Some(JobAnswer::Waiting(_)) | None => return Err(self.log_unread_reply()),
            }
        }
        let local = KnownJob::find(&self.node, job);
        if local.as_ref().is_some_and(|local| local.state.is_final()) {
            return Ok(local);
        }
        // A job that the leader does not know may still be in the log, appended by another entry.
        if self.node.is_cut_off_from_log()
            && let Some(Some(found)) = self.relay.look(&self.node, job).await
        {
            return Ok(Some(found));
        }
        if local.is_some() {
            return Ok(local);
        }
        match self.reader.catch_up().await {
            true => Ok(KnownJob::find(&self.node, job)),
            false => Err(self.log_unread_reply()),
        }
    }

    /// Cancels a job, even an unknown one: another entry may still be storing its submission, or
    /// this entry may be behind the log. Whoever reads the submission then finds it cancelled.
    pub async fn cancel(
        &self,
        queue: &QueueSpec,
        caller: &CallerAccess,
        job: JobId,
        time_left: Duration,
    ) -> CallerReply {
        let begun = Instant::now();
        let known = self.find_job(job).await;
        let (record, what) = match &known {
            // If callers belong to organisations, it is unknown whether the cancellation would
            // apply.
            Err(reply) if self.node.is_log_unreachable() || self.needs_keys() => return *reply,
            Ok(Some(known)) if self.is_hidden(caller, job, known) => return no_such_job(),
            Ok(Some(known)) if known.state.is_final() => return CallerReply::Stored,
            Ok(Some(_)) => (JobRecord::Cancelled(job), "cancellation"),
            Ok(None) => (tombstone(caller, job), "cancellation of an unknown job"),
            Err(_) => (tombstone(caller, job), "cancellation without reading the job"),
        };
        let remaining = time_left.saturating_sub(begun.elapsed());
        let outcome = self.submitter.submit(record, deadline(queue, remaining)).await;
        log_outcome(&self.node.logger, what, job, outcome, begun);
        match outcome {
            SubmitOutcome::Stored if known == Ok(None) => no_such_job(),
            outcome => outcome_reply(outcome),
        }
    }

    /// Counts the jobs of a queue that wait for their first task; queries other entries if this one
    /// has no replica.
    pub async fn waiting_jobs(&self, queue: &QueueSpec) -> CallerReply {
        if !self.node.asks_replicas() {
            return self.own_waiting_jobs(queue);
        }
        match self.queries.ask(&self.node, &JobQuery::Waiting(queue.name.clone())).await {
            Some(JobAnswer::Waiting(waiting)) => CallerReply::Waiting(waiting),
            Some(JobAnswer::Job(_) | JobAnswer::Stale(_)) | None => self.log_unread_reply(),
        }
    }

    /// The same, from this entry's own replica.
    pub fn own_waiting_jobs(&self, queue: &QueueSpec) -> CallerReply {
        if !self.node.is_current() {
            return self.log_unread_reply();
        }
        CallerReply::Waiting(self.node.job_table().waiting_jobs(&queue.name))
    }

    /// The reply if the log could not be read to its end: it is unavailable, or this entry is
    /// behind.
    fn log_unread_reply(&self) -> CallerReply {
        if self.node.is_log_unreachable() {
            return outage_reply();
        }
        CallerReply::Refused(ResultCode::BehindLog, Some(OUTAGE_RETRY))
    }
}

/// What a submission is rejected for.
#[derive(Clone, Copy, Debug)]
enum RejectionCause {
    /// The work that waits in its pool.
    Work(LineRejection),
    /// The starts that wait for the leader; retry after so many seconds.
    Starts { line: StartLine, retry_s: u64 },
}

impl RejectionCause {
    fn retry_s(&self) -> u64 {
        match self {
            RejectionCause::Work(line) => line.retry_s,
            RejectionCause::Starts { retry_s, .. } => *retry_s,
        }
    }
}

/// A rejection, and the digest that it rests on.
struct BacklogRejection {
    cause: RejectionCause,
    term: u64,
    number: u64,
    age_ms: u64,
}

fn deadline(queue: &QueueSpec, time_left: Duration) -> Instant {
    let time_limit = match queue.timeout_ms {
        0 => SUBMIT_TIMEOUT,
        timeout => SUBMIT_TIMEOUT.min(Duration::from_millis(timeout)),
    };
    // A caller with less time than the margin still gets half of its time: an append usually takes
    // a few milliseconds, and an unknown outcome is of no use to the caller.
    let margin = ANSWER_MARGIN.min(time_left / 2);
    Instant::now() + time_limit.min(time_left - margin)
}

/// The reply if a job with this id is stored. If it belongs to another organisation, the caller did
/// not submit it, and nothing of its own request will run.
fn reply_for_stored(caller: &CallerAccess, known: Option<&KnownJob>) -> CallerReply {
    match known.is_none_or(|known| caller.may_see(known.organisation.as_ref())) {
        true => CallerReply::Stored,
        false => CallerReply::Refused(ResultCode::JobIdTaken, None),
    }
}

fn outcome_reply(outcome: SubmitOutcome) -> CallerReply {
    match outcome {
        SubmitOutcome::Stored => CallerReply::Stored,
        SubmitOutcome::Refused => outage_reply(),
        SubmitOutcome::Full => CallerReply::Refused(ResultCode::EntryFull, Some(OUTAGE_RETRY)),
        SubmitOutcome::JobsFull(retry_s) => {
            CallerReply::Refused(ResultCode::JobsFull, Some(Duration::from_secs(retry_s)))
        }
        SubmitOutcome::Rejected(retry_s) => {
            let wait = Duration::from_secs(retry_s);
            CallerReply::Refused(ResultCode::LineTooLong, Some(wait))
        }
        SubmitOutcome::Unknown => CallerReply::Unknown(ResultCode::JobOutcomeUnknown),
    }
}

/// The cancellation of a job that this entry does not know. The owner of the job is unknown too,
/// and so is whether callers belong to organisations in a newer configuration than this entry's. So
/// it applies only if the caller may see the job.
fn tombstone(caller: &CallerAccess, job: JobId) -> JobRecord {
    JobRecord::CancelledBy(job, OrganisationDigest::of(caller.organisation.as_ref()))
}

fn outage_reply() -> CallerReply {
    CallerReply::Refused(ResultCode::LogAway, Some(OUTAGE_RETRY))
}

fn no_such_job() -> CallerReply {
    CallerReply::Refused(ResultCode::UnknownJob, None)
}

fn log_outcome(
    logger: &Logger,
    what: &'static str,
    job: JobId,
    outcome: SubmitOutcome,
    begun: Instant,
) {
    let took_ms = crate::clock::millis(begun.elapsed());
    info!(logger, "{}", what; "job" => %job, "outcome" => ?outcome, "took_ms" => took_ms);
}
