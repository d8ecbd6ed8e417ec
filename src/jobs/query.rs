//! Questions of entries without a copy of the job log, to those that keep one.
//!
//! The load that this answers: callers ask any entry for any job, and hundreds of entries have no copy. Each question
//! is a few dozen bytes, and is put to an entry of the same data centre where there is one. A copy that does not know
//! a job is brought up to date first, once for all that asked meanwhile, so that "no such job" is as true as where the
//! asking entry had read the log itself. An entry that does not answer is passed over for a while. An answer out of a
//! copy that stands still, as its log is away, counts only where no other can be had.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::jobs::catch_up::CatchUpReader;
use crate::jobs::metrics::count;
use crate::jobs::model::JobId;
use crate::jobs::node::JobNode;
use crate::jobs::ports::JobLog;
use crate::jobs::relay::KnownJob;
use crate::transport::{HttpCall, HttpTransport};

/// Path of a question.
pub const QUERY_PATH: &str = "/question";
/// Largest question, in bytes.
pub const QUERY_BYTES_MAX: usize = 4 << 10;
/// Time for one entry to answer: it may have to read the log first.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// Time for all entries that are asked one after the other: the caller has time left for another entry.
const TOTAL_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Entries that are asked at most.
const ENTRIES_ASKED_MAX: usize = 4;
/// Time for which an entry that did not answer is passed over, in milliseconds.
const SKIP_MS: u64 = 2_000;

/// What is asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobQuery {
    /// A job's state.
    Job(JobId),
    /// Jobs of a queue of which no task has started.
    Waiting(Arc<str>),
}

/// What a copy tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobAnswer {
    /// A job; nothing if the log has none.
    Job(Option<KnownJob>),
    /// Such jobs.
    Waiting(u64),
    /// A job as it was when the log could last be read.
    Stale(KnownJob),
}

/// Answers a question out of this entry's copy.
///
/// # Errors
/// `MISDIRECTED_REQUEST` without a whole copy, `SERVICE_UNAVAILABLE` where it can't be brought up to date,
/// `BAD_REQUEST` if the question can't be read.
pub async fn answer<L: JobLog>(
    node: &JobNode,
    reader: &CatchUpReader<L>,
    body: &[u8],
) -> Result<JobAnswer, StatusCode> {
    let query = postcard::from_bytes(body).map_err(|_| StatusCode::BAD_REQUEST)?;
    if !node.has_replica() {
        return Err(StatusCode::MISDIRECTED_REQUEST);
    }
    match query {
        JobQuery::Waiting(queue) if node.is_current() => {
            Ok(JobAnswer::Waiting(node.book().waiting_jobs(&queue)))
        }
        JobQuery::Waiting(_) => Err(StatusCode::SERVICE_UNAVAILABLE),
        JobQuery::Job(job) => match KnownJob::find(node, job) {
            Some(known) if node.is_log_silent() && !known.state.is_final() => {
                Ok(JobAnswer::Stale(known))
            }
            Some(known) => Ok(JobAnswer::Job(Some(known))),
            None if reader.catch_up().await => Ok(JobAnswer::Job(KnownJob::find(node, job))),
            None => Err(StatusCode::SERVICE_UNAVAILABLE),
        },
    }
}

/// Puts questions to entries with a copy.
#[derive(Clone)]
pub struct QueryClient {
    transport: HttpTransport,
    rotation: Arc<AtomicUsize>,
    skipped: Arc<Mutex<HashMap<SocketAddr, u64>>>,
}

impl QueryClient {
    /// A client over this transport.
    pub fn new(transport: HttpTransport) -> QueryClient {
        let rotation = Arc::new(AtomicUsize::new(rand::random::<u16>().into()));
        QueryClient { transport, rotation, skipped: Arc::default() }
    }

    /// Asks one entry after the other; nothing if none can tell.
    pub async fn ask(&self, node: &JobNode, query: &JobQuery) -> Option<JobAnswer> {
        let body = Bytes::from(postcard::to_stdvec(query).ok()?);
        let begun = Instant::now();
        let mut stale = None;
        for address in self.candidates(node).into_iter().take(ENTRIES_ASKED_MAX) {
            let time_left = TOTAL_TIMEOUT.saturating_sub(begun.elapsed()).min(ANSWER_TIMEOUT);
            if time_left.is_zero() {
                break;
            }
            match self.ask_entry(address, body.clone(), time_left).await {
                Some(JobAnswer::Stale(known)) => stale = Some(JobAnswer::Stale(known)),
                Some(answer) => {
                    count(&node.metrics.questions, "answered");
                    return Some(answer);
                }
                None => {
                    count(&node.metrics.questions, "passed_over");
                    self.skipped().insert(address, node.now() + SKIP_MS);
                }
            }
        }
        count(&node.metrics.questions, if stale.is_some() { "stale" } else { "unanswered" });
        stale
    }

    /// Whom to ask: those that have not answered lately last.
    fn candidates(&self, node: &JobNode) -> Vec<SocketAddr> {
        let (now, own) = (node.now(), node.settings.peer);
        let rotation = self.rotation.fetch_add(1, Ordering::Relaxed);
        let mut skipped = self.skipped();
        skipped.retain(|_, until_ms| now < *until_ms);
        let mut candidates = node.replicas().query_order(&node.settings.centre, rotation);
        candidates.retain(|address| *address != own);
        candidates.sort_by_key(|address| skipped.contains_key(address));
        candidates
    }

    async fn ask_entry(
        &self,
        address: SocketAddr,
        body: Bytes,
        time_left: Duration,
    ) -> Option<JobAnswer> {
        let (path, headers) = (QUERY_PATH.to_owned(), HeaderMap::new());
        let call = HttpCall { method: Method::POST, path, headers, body };
        let answer = self.transport.exchange(address, call, time_left).await.ok()?;
        let is_ok = answer.status == StatusCode::OK;
        is_ok.then(|| postcard::from_bytes(&answer.body).ok()).flatten()
    }

    fn skipped(&self) -> MutexGuard<'_, HashMap<SocketAddr, u64>> {
        self.skipped.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
