//! What callers ask of an entry: submit a job, look at it, cancel it, count a queue.

use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info};
use tokio::time::Instant;

use crate::decide::access::{AccessRefusal, CallerAccess, OrganisationDigest, PresentedKey, admit};
use crate::error::ResultCode;
use crate::jobs::catch_up::CatchUpReader;
use crate::jobs::model::{JobId, JobSpec, JobState, JobSubmission};
use crate::jobs::node::JobNode;
use crate::jobs::ports::JobLog;
use crate::jobs::query::{JobAnswer, JobQuery, QueryClient};
use crate::jobs::record::JobRecord;
use crate::jobs::relay::{KnownJob, RelayClient};
use crate::jobs::site::QueueSpec;
use crate::jobs::submitter::{SubmitHandle, SubmitOutcome};

/// Time by which an answer leaves before its caller gives up: the way back and a busy process.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// Longest wait for the log before a caller is told that the outcome is not known: by then another
/// entry is the better choice, and the caller has time left for it.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// When a caller that was refused for an outage may come back.
const OUTAGE_RETRY: Duration = Duration::from_secs(1);

/// What an entry answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerReply {
    /// The job is stored, or its cancellation is.
    Stored,
    /// The job's state.
    State(JobState),
    /// Jobs of the queue of which no task has started.
    Waiting(u64),
    /// Nothing was done; when to come back, where that helps.
    Refused(ResultCode, Option<Duration>),
    /// Not known whether it was done.
    Unknown(ResultCode),
}

/// Answers callers.
#[derive(Clone)]
pub struct CallerService<L> {
    /// Shared state.
    pub node: Arc<JobNode>,
    /// Reads the log for jobs that this entry does not know; another may have accepted them a moment
    /// ago.
    pub reader: Arc<CatchUpReader<L>>,
    /// Puts records on the log.
    pub submitter: SubmitHandle,
    /// Reaches the leader, whose book tells of jobs where the log is silent here.
    pub relay: RelayClient,
    /// Asks entries with a copy of the job log where this one has none.
    pub queries: QueryClient,
}

impl<L: JobLog> CallerService<L> {
    /// The queue that a request belongs to.
    ///
    /// # Errors
    /// `NotReady` before a configuration was read, `UnknownService` if no queue has this host and
    /// path.
    pub fn queue(&self, host: &str, path: &str) -> Result<QueueSpec, CallerReply> {
        let refused = |code, wait| CallerReply::Refused(code, wait);
        let Some(config) = self.node.config() else {
            return Err(refused(ResultCode::NotReady, Some(OUTAGE_RETRY)));
        };
        let queue = config.route(host, path);
        queue.cloned().ok_or_else(|| refused(ResultCode::UnknownService, None))
    }

    /// Lets a caller in by the key that it shows.
    ///
    /// # Errors
    /// `NoApiKey` or `UnknownApiKey`; `KeyUnconfirmed` while this entry can't tell whether its configuration is
    /// the newest: another entry may.
    pub fn admit(&self, queue: &QueueSpec, key: PresentedKey) -> Result<CallerAccess, CallerReply> {
        if queue.is_open || !self.needs_keys() {
            return Ok(CallerAccess::default());
        }
        let config = self.node.honoured_config();
        let admitted = admit(config.as_ref().and_then(|config| config.access.as_ref()), key);
        admitted.map_err(|refusal| self.rejection(refusal))
    }

    /// Whether callers of any queue need keys.
    fn needs_keys(&self) -> bool {
        self.node.config().is_some_and(|config| config.access.is_some())
    }

    fn rejection(&self, refusal: AccessRefusal) -> CallerReply {
        let (code, wait) = match refusal {
            AccessRefusal::NoKey => (ResultCode::NoApiKey, None),
            AccessRefusal::UnknownKey => (ResultCode::UnknownApiKey, None),
            AccessRefusal::Unconfirmed => (ResultCode::KeyUnconfirmed, Some(OUTAGE_RETRY)),
        };
        info!(self.node.logger, "a caller is not let in"; "code" => code.number(),
            "name" => code.name(), "view_age_ms" => self.node.config_age_ms());
        CallerReply::Refused(code, wait)
    }

    /// Stores a job; the same id again is the same job.
    pub async fn submit(
        &self,
        queue: &QueueSpec,
        caller: &CallerAccess,
        job: JobId,
        spec: JobSpec,
        time_left: Duration,
    ) -> CallerReply {
        let logger = self.node.logger.clone();
        if let Err(fault) = spec.check() {
            info!(logger, "job refused"; "job" => %job, "fault" => ?fault,
                "code" => ResultCode::BadJob.number());
            return CallerReply::Refused(ResultCode::BadJob, None);
        }
        if let Some(known) = KnownJob::find(&self.node, job) {
            info!(logger, "job known already"; "job" => %job);
            return reply_for_stored(caller, Some(&known));
        }
        if self.node.is_log_away() {
            return outage_reply();
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
        let outcome = self.submitter.submit(record, deadline(queue, time_left)).await;
        log_outcome(&logger, "submission", job, outcome, begun);
        match outcome {
            SubmitOutcome::Stored => self.stored_reply(caller, job).await,
            outcome => outcome_reply(outcome),
        }
    }

    /// A job of this id is stored. Where jobs belong to organisations, this caller's may have come second; without a copy
    /// of the log the leader tells.
    async fn stored_reply(&self, caller: &CallerAccess, job: JobId) -> CallerReply {
        if !self.needs_keys() || !self.node.asks_replicas() {
            return reply_for_stored(caller, KnownJob::find(&self.node, job).as_ref());
        }
        match self.relay.look(&self.node, job).await {
            Some(Some(known)) => reply_for_stored(caller, Some(&known)),
            Some(None) | None => CallerReply::Unknown(ResultCode::JobOutcomeUnknown),
        }
    }

    /// Tells a job's state.
    pub async fn job_state(&self, caller: &CallerAccess, job: JobId) -> CallerReply {
        match self.find_job(job).await {
            Ok(Some(known)) if !self.is_hidden(caller, job, &known) => {
                CallerReply::State(known.state)
            }
            Ok(_) => no_such_job(),
            Err(reply) => reply,
        }
    }

    /// Whether a job is another organisation's: it is none to this caller.
    fn is_hidden(&self, caller: &CallerAccess, job: JobId, known: &KnownJob) -> bool {
        let is_hidden = !caller.may_see(known.organisation.as_ref());
        if is_hidden {
            info!(self.node.logger, "a job of another organisation is not told"; "job" => %job);
        }
        is_hidden
    }

    /// A job by this entry's book; while the log turns this entry alone away its book stands still, and the
    /// leader's is asked.
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
        // A job that the leader does not know may stand on the log by another entry's append.
        if self.node.is_turned_away()
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

    /// Cancels a job, also one that is not known: its submission may be under way by another entry, or on the log
    /// where this entry is behind it. Whoever reads it finds it cancelled.
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
            // Whether it would count for a job that is there can't be told where callers belong to organisations.
            Err(reply) if self.node.is_log_away() || self.needs_keys() => return *reply,
            Ok(Some(known)) if self.is_hidden(caller, job, known) => return no_such_job(),
            Ok(Some(known)) if known.state.is_final() => return CallerReply::Stored,
            Ok(Some(_)) => (JobRecord::Cancelled(job), "cancellation"),
            Ok(None) => (tombstone(caller, job), "cancellation of no known job"),
            Err(_) => (tombstone(caller, job), "cancellation without a look at the job"),
        };
        let remaining = time_left.saturating_sub(begun.elapsed());
        let outcome = self.submitter.submit(record, deadline(queue, remaining)).await;
        log_outcome(&self.node.logger, what, job, outcome, begun);
        match outcome {
            SubmitOutcome::Stored if known == Ok(None) => no_such_job(),
            outcome => outcome_reply(outcome),
        }
    }

    /// Counts the jobs of a queue that wait for their first task, by whoever has a copy of the log.
    pub async fn waiting_jobs(&self, queue: &QueueSpec) -> CallerReply {
        if !self.node.asks_replicas() {
            return self.own_waiting_jobs(queue);
        }
        match self.queries.ask(&self.node, &JobQuery::Waiting(queue.name.clone())).await {
            Some(JobAnswer::Waiting(waiting)) => CallerReply::Waiting(waiting),
            Some(JobAnswer::Job(_) | JobAnswer::Stale(_)) | None => self.log_unread_reply(),
        }
    }

    /// The same by this entry's own copy.
    pub fn own_waiting_jobs(&self, queue: &QueueSpec) -> CallerReply {
        if !self.node.is_current() {
            return self.log_unread_reply();
        }
        CallerReply::Waiting(self.node.book().waiting_jobs(&queue.name))
    }

    /// Why the log could not be read to its end: it is away, or this entry is behind.
    fn log_unread_reply(&self) -> CallerReply {
        if self.node.is_log_away() {
            return outage_reply();
        }
        CallerReply::Refused(ResultCode::BehindLog, Some(OUTAGE_RETRY))
    }
}

fn deadline(queue: &QueueSpec, time_left: Duration) -> Instant {
    let time_limit = match queue.timeout_ms {
        0 => SUBMIT_TIMEOUT,
        timeout => SUBMIT_TIMEOUT.min(Duration::from_millis(timeout)),
    };
    // A caller with less time than the margin still gets half of it: an append takes a few milliseconds
    // as a rule, and an outcome that is not known is worth nothing to it.
    let margin = ANSWER_MARGIN.min(time_left / 2);
    Instant::now() + time_limit.min(time_left - margin)
}

/// The job of this id is stored; a caller of another organisation than its own has not handed it in, and nothing
/// of what it asked for will run.
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
        SubmitOutcome::Unknown => CallerReply::Unknown(ResultCode::JobOutcomeUnknown),
    }
}

/// The cancellation of a job that this entry does not know. Whose it is is not known either, nor whether callers belong
/// to organisations by a newer configuration than this entry's: it counts only if the caller may see the job.
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
