//! Queries from entries without a replica of the job log to entries that have one.
//!
//! Callers may ask any entry for any job, and hundreds of entries have no replica. A query is a few
//! dozen bytes and goes to an entry in the same data centre if possible. A replica that does not
//! know a job first catches up with the log, once for all queries that arrive meanwhile, so that
//! "no such job" is as reliable as if the querying entry had read the log itself.
//!
//! An entry that does not answer is skipped for a while. If an entry can't reach the log, its
//! answer may be stale and is used only if there is no other.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, timeout};

use crate::jobs::catch_up::CatchUpReader;
use crate::jobs::metrics::count;
use crate::jobs::model::JobId;
use crate::jobs::node::JobNode;
use crate::jobs::ports::JobLog;
use crate::jobs::relay::KnownJob;
use crate::transport::{HttpCall, HttpTransport};

/// Path of a query.
pub const QUERY_PATH: &str = "/question";
/// Largest query, in bytes.
pub const QUERY_BYTES_MAX: usize = 4 << 10;
/// Time limit for one entry to answer, which may have to read the log first.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// Time limit for all attempts together; leaves the caller time to try another entry.
const TOTAL_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Largest number of entries that are asked.
const ENTRIES_ASKED_MAX: usize = 4;
/// Time for which an entry that did not answer is skipped, in milliseconds.
const SKIP_MS: u64 = 2_000;

/// A query to an entry with a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobQuery {
    /// State of a job.
    Job(JobId),
    /// Number of jobs of a queue of which no task has started.
    Waiting(Arc<str>),
}

/// Answer to a [`JobQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobAnswer {
    /// The job; `None` if the log does not have it.
    Job(Option<KnownJob>),
    /// Number of waiting jobs.
    Waiting(u64),
    /// The job as of the last successful read; the log can't be read now.
    Stale(KnownJob),
}

/// Answers a query from this entry's replica.
///
/// # Errors
/// `MISDIRECTED_REQUEST` without a complete replica, `SERVICE_UNAVAILABLE` if it can't be brought
/// up to date, `BAD_REQUEST` if the query can't be decoded.
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
            Ok(JobAnswer::Waiting(node.job_table().waiting_jobs(&queue)))
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

/// Sends queries to entries with a replica.
#[derive(Clone)]
pub struct QueryClient {
    transport: HttpTransport,
    rotation: Arc<AtomicUsize>,
    skipped: Arc<Mutex<HashMap<SocketAddr, u64>>>,
}

impl QueryClient {
    /// A client that uses this transport.
    pub fn new(transport: HttpTransport) -> QueryClient {
        let rotation = Arc::new(AtomicUsize::new(rand::random::<u16>().into()));
        QueryClient { transport, rotation, skipped: Arc::default() }
    }

    /// Asks one entry after the other; `None` if none can answer.
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

    /// Entries to ask, in order; those that did not answer recently come last.
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
        // The caller's time counts the way as well.
        let exchange = self.transport.exchange(address, call, time_left);
        let answer = timeout(time_left, exchange).await.ok()?.ok()?;
        let is_ok = answer.status == StatusCode::OK;
        is_ok.then(|| postcard::from_bytes(&answer.body).ok()).flatten()
    }

    fn skipped(&self) -> MutexGuard<'_, HashMap<SocketAddr, u64>> {
        self.skipped.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
