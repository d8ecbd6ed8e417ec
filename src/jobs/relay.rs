//! Relay of records, and the HTTP service for other entries.
//!
//! An entry sends the records of its callers to the leader, which appends them to the log together
//! with its own. Entries talk plain HTTP/1.1, with the log's own record codec as body: the platform
//! provides no keys, and a connection takes a few kilobytes where the state of QUIC takes tens. The
//! same address serves the metrics.

use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use crate::decide::append_limit::SendTimeout;
use crate::jobs::catch_up::CatchUpReader;
use crate::jobs::confirm::{self, CONFIRM_PATH, QUERY_BYTES_MAX};
use crate::jobs::delegate::{self, OFFER_PATH, STARTS_BYTES_MAX, STARTS_PATH};
use crate::jobs::model::{JobId, JobState};
use crate::jobs::node::{JobNode, RelayReceipt};
use crate::jobs::ports::{JobLog, WorkerClient};
use crate::jobs::query::{self, QUERY_PATH};
use crate::jobs::record::{JobRecord, KeyedRecord};
use crate::jobs::status;
use crate::scheduler::line::{RejectionReason, RelayRejection};
use crate::transport::{ExchangeFailure, HttpCall, HttpTransport};

/// Path to which an entry posts a batch of records.
const RELAY_PATH: &str = "/relay";
/// Header of a batch whose sender understands that the leader rejects a part of it.
const TAKES_REJECTIONS: HeaderName = HeaderName::from_static("x-ibisweir-takes-rejections");
/// Value of that header from a sender that also reads why they are rejected.
const TAKES_REASONS: &str = "2";
/// Header of the answer to a batch: the positions of rejected submissions, when their callers may
/// retry, and what is rejected for memory.
const REJECTIONS: HeaderName = HeaderName::from_static("x-ibisweir-rejections");
/// Path under which the traffic metrics count the batches received from other entries.
const RECEIVED_BATCHES: &str = "/relay-taken";
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Path of the status of an entry, which operators read.
pub const STATUS_PATH: &str = "/status";
/// Prefix of the path of a job's status; the job's id follows.
pub const JOB_PATH: &str = "/job/";
/// Prefix of the path by which an entry looks a job up in the leader's job table; the job's id
/// follows.
const LOOKUP_PATH: &str = "/look/";
/// Timeout of a lookup.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum size of a batch, in bytes: the limit up to which an entry fills it, and the last record.
const BATCH_BYTES_MAX: usize = 1 << 20;
/// Marks a rejection for memory.
const MEMORY_MARK: &str = "m";
/// Size of a batch from which it counts as it arrives, in bytes.
const COUNTED_BATCH_BYTES: usize = 64 << 10;
/// Timeout for the head of the leader's answer, which acknowledges receipt of a batch: the leader
/// sends it at once, or cannot be reached.
const RECEIPT_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout for the leader to store a batch that it has received. If storing takes long, the log is
/// slow, and an append by this entry itself would queue behind all others. With an append of every
/// entry in it, the queue takes longer than callers wait, so that nothing is accepted until the log
/// is fast again.
const STORE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Interval of the checks which entry leads.
const LEADER_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a leader that did not store a batch is sent no other, in milliseconds: about the
/// time until its successor is known.
const LEADER_EXCLUSION_MS: u64 = 1_000;
/// Timeout for reading the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Media type of answers in the entries' own encoding.
const BINARY: &str = "application/octet-stream";
/// Pause after a failed accept, for example when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Outcome of relaying a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayOutcome {
    /// The log has stored the batch.
    Stored,
    /// The log has stored the batch except for these submissions, which the leader can't begin in time.
    StoredExcept(Vec<RelayRejection>),
    /// No leader was reached, or the entry reached does not lead any more. The batch is not stored.
    NotSent,
    /// The leader has no room for the batch now. It is not stored.
    Full,
    /// The batch may be stored, now or later.
    Unknown,
}

/// State of a job that may be shown to a caller, and the organisation that owns the job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownJob {
    /// State of the job.
    pub state: JobState,
    /// Organisation to which the job belongs, if any.
    pub organisation: Option<Arc<str>>,
}

impl KnownJob {
    /// Looks a job up in this entry's own job table.
    pub fn find(node: &JobNode, id: JobId) -> Option<KnownJob> {
        let table = node.job_table();
        let job = table.get(id)?;
        let organisation = job.submission.as_ref()?.organisation.clone();
        Some(KnownJob { state: job.state()?, organisation })
    }
}

#[derive(Serialize, Deserialize)]
struct RelayBatch {
    /// Key and value of each record.
    records: Vec<(String, Vec<u8>)>,
}

/// Sends batches of records and lookups of jobs to the leader.
#[derive(Clone)]
pub struct RelayClient {
    transport: HttpTransport,
    leader_excluded_until_ms: Arc<AtomicU64>,
}

impl RelayClient {
    /// Creates a client that uses this transport, with no leader excluded.
    pub fn new(transport: HttpTransport) -> RelayClient {
        RelayClient { transport, leader_excluded_until_ms: Arc::new(AtomicU64::new(0)) }
    }

    /// The same client for other batches: a leader that stores none of them is excluded for them alone.
    pub fn separate(&self) -> RelayClient {
        RelayClient::new(self.transport.clone())
    }

    /// Has the leader, which may be this entry, store records.
    pub async fn store(&self, node: &JobNode, records: Vec<JobRecord>) -> RelayOutcome {
        if let Some(RelayReceipt { stored, rejections }) = node.relay_admitted(records.clone()) {
            // Another append by this entry would only queue behind the leader's.
            return match timeout(STORE_TIMEOUT, stored).await {
                Ok(Ok(_)) => RelayOutcome::stored_except(rejections),
                Ok(Err(_)) | Err(_) => RelayOutcome::Unknown,
            };
        }
        let Some(leader) = node.leader() else { return RelayOutcome::NotSent };
        if node.now() < self.leader_excluded_until_ms.load(Ordering::Relaxed) {
            return RelayOutcome::NotSent;
        }
        let outcome = self.send(node, leader, &records).await;
        if matches!(outcome, RelayOutcome::NotSent | RelayOutcome::Unknown) {
            info!(node.logger, "leader did not store a batch of records"; "leader" => %leader,
                "records" => records.len(), "outcome" => ?outcome);
            self.leader_excluded_until_ms
                .store(node.now() + LEADER_EXCLUSION_MS, Ordering::Relaxed);
        }
        outcome
    }

    /// Waits for `wait` at most until a leader is known that is not excluded, or this entry leads.
    /// Returns whether that is so.
    pub async fn wait_for_leader(&self, node: &JobNode, wait: Duration) -> bool {
        let may_try = || {
            let is_leader = node.with_scheduler(|scheduler| !scheduler.is_deposed()) == Some(true);
            let is_excluded = node.now() < self.leader_excluded_until_ms.load(Ordering::Relaxed);
            is_leader || node.leader().is_some() && !is_excluded
        };
        let leader_found = async {
            while !may_try() {
                sleep(LEADER_POLL_INTERVAL).await;
            }
        };
        timeout(wait, leader_found).await.is_ok()
    }

    /// Looks a job up in the leader's job table. Returns `None` if the leader cannot be reached or
    /// cannot tell, and `Some(None)` if it does not have the job.
    pub async fn look(&self, node: &JobNode, id: JobId) -> Option<Option<KnownJob>> {
        let call = HttpCall {
            method: Method::GET,
            path: format!("{LOOKUP_PATH}{id}"),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        };
        let leader = node.leader()?;
        let patience = LOOKUP_TIMEOUT + self.transport.round_trip(leader);
        let answer = self.transport.exchange(leader, call, patience).await.ok()?;
        if answer.status != StatusCode::OK {
            return None;
        }
        postcard::from_bytes(&answer.body).ok()
    }

    async fn send(
        &self,
        node: &JobNode,
        leader: SocketAddr,
        records: &[JobRecord],
    ) -> RelayOutcome {
        let keyed = records.iter().filter_map(JobRecord::encode);
        let records = keyed.map(|record| (record.key, record.value)).collect();
        let Ok(body) = postcard::to_stdvec(&RelayBatch { records }) else {
            return RelayOutcome::NotSent;
        };
        // A sender of an earlier build would take a rejected submission for stored.
        let mut headers = HeaderMap::new();
        headers.insert(TAKES_REJECTIONS, HeaderValue::from_static(TAKES_REASONS));
        let call = HttpCall {
            method: Method::POST,
            path: RELAY_PATH.to_owned(),
            headers,
            body: Bytes::from(body),
        };
        let way = self.transport.round_trip(leader);
        let (receipt_timeout, store_timeout) = (RECEIPT_TIMEOUT + way, STORE_TIMEOUT + way);
        let exchange = self.transport.exchange_sending(
            leader,
            call,
            receipt_timeout,
            store_timeout,
            SendTimeout::default(),
        );
        let answer = tokio::select! {
            (answer, _) = exchange => answer,
            () = leader_replaced(node, leader) => Err(ExchangeFailure::NoAnswer),
        };
        match answer {
            Ok(answer) if answer.status == StatusCode::OK => {
                node.receive_line(&answer.body);
                match answer.headers.get(REJECTIONS).map(decode_rejections) {
                    None => RelayOutcome::Stored,
                    Some(Some(rejections)) => RelayOutcome::stored_except(rejections),
                    Some(None) => RelayOutcome::Unknown,
                }
            }
            Ok(answer) if answer.status == StatusCode::MISDIRECTED_REQUEST => RelayOutcome::NotSent,
            Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => RelayOutcome::Full,
            Err(ExchangeFailure::NotSent) => {
                node.record_leader_closed();
                RelayOutcome::NotSent
            }
            Ok(_) | Err(ExchangeFailure::NoAnswer) => RelayOutcome::Unknown,
        }
    }
}

impl RelayOutcome {
    fn stored_except(rejections: Vec<RelayRejection>) -> RelayOutcome {
        match rejections.is_empty() {
            true => RelayOutcome::Stored,
            false => RelayOutcome::StoredExcept(rejections),
        }
    }
}

/// Writes rejections as `position:seconds` or `position:seconds:m`, separated by commas.
fn encode_rejections(rejections: &[RelayRejection], takes_reasons: bool) -> Option<HeaderValue> {
    let parts =
        rejections.iter().map(|RelayRejection { position, retry_s, reason }| match reason {
            RejectionReason::Memory if takes_reasons => {
                format!("{position}:{retry_s}:{MEMORY_MARK}")
            }
            RejectionReason::Memory | RejectionReason::Starts => format!("{position}:{retry_s}"),
        });
    HeaderValue::try_from(parts.collect::<Vec<_>>().join(",")).ok()
}

/// Reads rejections; `None` if one is malformed.
fn decode_rejections(value: &HeaderValue) -> Option<Vec<RelayRejection>> {
    let parts = value.to_str().ok()?.split(',');
    let rejections = parts.map(|part| {
        let (position, rest) = part.split_once(':')?;
        let (retry_s, reason) = match rest.split_once(':') {
            None => (rest, RejectionReason::Starts),
            Some((retry_s, MEMORY_MARK)) => (retry_s, RejectionReason::Memory),
            Some(_) => return None,
        };
        let (position, retry_s) = (position.parse().ok()?, retry_s.parse().ok()?);
        Some(RelayRejection { position, retry_s, reason })
    });
    rejections.collect()
}

/// Completes when `leader` is no longer the leader. A leader that has lost power does not answer,
/// and its successor could store the records that wait for it.
async fn leader_replaced(node: &JobNode, leader: SocketAddr) {
    while node.leader() == Some(leader) {
        sleep(LEADER_POLL_INTERVAL).await;
    }
}

/// State that the service for other entries needs.
pub struct PeerService<L, W> {
    /// Shared state of this entry.
    pub node: Arc<JobNode>,
    /// Client for calls to workers.
    pub workers: W,
    /// Brings the replica of the job log up to date.
    pub reader: Arc<CatchUpReader<L>>,
}

impl<L, W: Clone> Clone for PeerService<L, W> {
    fn clone(&self) -> Self {
        let (node, workers) = (self.node.clone(), self.workers.clone());
        PeerService { node, workers, reader: self.reader.clone() }
    }
}

/// Accepts and serves connections of other entries, of collectors of metrics and of operators.
pub async fn accept<L: JobLog, W: WorkerClient>(listener: TcpListener, service: PeerService<L, W>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, service.clone()));
            }
            Err(error) => {
                warn!(service.node.logger, "failed to accept a peer connection"; "error" => %error);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve<L: JobLog, W: WorkerClient>(stream: TcpStream, service: PeerService<L, W>) {
    // Answers are small, so delay is avoided; a socket that refuses the option still works.
    let _ = stream.set_nodelay(true);
    let peer = service;
    let service = service_fn(move |request| {
        let peer = peer.clone();
        async move { Ok::<_, Infallible>(answer(&peer, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    // A failed connection needs no handling: the peer repeats each request without an answer.
    drop(connection.await);
}

/// Body of an answer: complete, or ending once the log has stored the relayed records, with the
/// digest of the backlog.
enum RelayBody {
    Whole(Full<Bytes>),
    Stored(oneshot::Receiver<Bytes>),
}

/// The leadership has ended; the records may be stored or not.
#[derive(Debug)]
struct LeadershipEnded;

impl fmt::Display for LeadershipEnded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the leadership has ended")
    }
}

impl std::error::Error for LeadershipEnded {}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = LeadershipEnded;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, LeadershipEnded>>> {
        match &mut *self {
            RelayBody::Whole(body) => {
                Pin::new(body).poll_frame(context).map_err(|never| match never {})
            }
            RelayBody::Stored(stored) => match Pin::new(stored).poll(context) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Ok(digest)) => {
                    let mut rest = Full::new(digest);
                    let frame = Pin::new(&mut rest).poll_frame(context);
                    *self = RelayBody::Whole(rest);
                    frame.map_err(|never| match never {})
                }
                // Fails the body, so that the peer does not regard the batch as stored.
                Poll::Ready(Err(_)) => Poll::Ready(Some(Err(LeadershipEnded))),
            },
        }
    }
}

async fn answer<L: JobLog, W: WorkerClient>(
    service: &PeerService<L, W>,
    request: Request<Incoming>,
) -> Response<RelayBody> {
    let PeerService { node, workers, reader } = service;
    match request.uri().path() {
        OFFER_PATH => match read_body(request, STARTS_BYTES_MAX).await {
            Ok(body) if delegate::take_offer(node, &body) => {
                full_response(BINARY, node.line_body())
            }
            Ok(_) => status_only(StatusCode::MISDIRECTED_REQUEST),
            Err(code) => status_only(code),
        },
        STARTS_PATH => match read_body(request, STARTS_BYTES_MAX).await {
            Ok(body) => carry_out(node, workers, &body).await,
            Err(code) => status_only(code),
        },
        RELAY_PATH => {
            let takes_reasons = request.headers().get(TAKES_REJECTIONS);
            let takes_reasons = takes_reasons.is_some_and(|value| value == TAKES_REASONS);
            match store_batch(node, request).await {
                Ok(RelayReceipt { stored, rejections }) => {
                    let mut response = Response::new(RelayBody::Stored(stored));
                    if !rejections.is_empty()
                        && let Some(value) = encode_rejections(&rejections, takes_reasons)
                    {
                        response.headers_mut().insert(REJECTIONS, value);
                    }
                    response
                }
                Err(code) => status_only(code),
            }
        }
        CONFIRM_PATH => match read_body(request, QUERY_BYTES_MAX).await {
            Ok(body) => confirm::answer(node, &body)
                .map_or_else(|| status_only(StatusCode::BAD_REQUEST), binary),
            Err(code) => status_only(code),
        },
        QUERY_PATH => match read_body(request, query::QUERY_BYTES_MAX).await {
            Ok(body) => match query::answer(node, reader, &body).await {
                Ok(reply) => binary(postcard::to_stdvec(&reply).unwrap_or_default()),
                Err(code) => status_only(code),
            },
            Err(code) => status_only(code),
        },
        METRICS_PATH => {
            node.update_gauges();
            full_response("text/plain; version=1.0.0", node.metrics.text().into())
        }
        STATUS_PATH => json(&status::entry_status(node)),
        path if path.starts_with(LOOKUP_PATH) => answer_lookup(node, &path[LOOKUP_PATH.len()..]),
        path => path
            .strip_prefix(JOB_PATH)
            .and_then(JobId::parse)
            .and_then(|id| status::job_status(node, id))
            .map_or_else(|| status_only(StatusCode::NOT_FOUND), |job| json(&job)),
    }
}

/// Carries out a batch of starts from the leader.
async fn carry_out<W: WorkerClient>(
    node: &JobNode,
    workers: &W,
    body: &[u8],
) -> Response<RelayBody> {
    let outcomes = delegate::carry_out(node, workers, body).await;
    match outcomes.and_then(|outcomes| postcard::to_stdvec(&outcomes).ok()) {
        Some(outcomes) => binary(outcomes),
        None => {
            warn!(node.logger, "failed to carry out a batch of starts");
            status_only(StatusCode::BAD_REQUEST)
        }
    }
}

/// Answers another entry's lookup of a job. Only the job table of a leader is known to have every
/// accepted job.
fn answer_lookup(node: &JobNode, id: &str) -> Response<RelayBody> {
    let Some(id) = JobId::parse(id) else { return status_only(StatusCode::BAD_REQUEST) };
    let is_leader = node.with_scheduler(|scheduler| !scheduler.is_deposed()).unwrap_or(false);
    if !is_leader || node.is_log_silent() {
        return status_only(StatusCode::MISDIRECTED_REQUEST);
    }
    postcard::to_stdvec(&KnownJob::find(node, id))
        .map_or_else(|_| status_only(StatusCode::INTERNAL_SERVER_ERROR), binary)
}

/// Reads the body of a request; fails if it exceeds `bytes_max`.
async fn read_body(request: Request<Incoming>, bytes_max: usize) -> Result<Bytes, StatusCode> {
    let body = Limited::new(request.into_body(), bytes_max).collect().await;
    body.map(|body| body.to_bytes()).map_err(|_| StatusCode::PAYLOAD_TOO_LARGE)
}

fn json<T: Serialize>(value: &T) -> Response<RelayBody> {
    // Cannot fail: the types passed here hold no map with keys that JSON cannot represent.
    full_response("application/json", serde_json::to_vec(value).unwrap_or_default().into())
}

fn binary(body: Vec<u8>) -> Response<RelayBody> {
    full_response(BINARY, Bytes::from(body))
}

fn full_response(kind: &'static str, body: Bytes) -> Response<RelayBody> {
    let mut response = Response::new(RelayBody::Whole(Full::new(body)));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

/// Passes a received batch to the scheduler. The receiver completes once the log has stored it.
async fn store_batch(
    node: &JobNode,
    request: Request<Incoming>,
) -> Result<RelayReceipt, StatusCode> {
    let takes_rejections = request.headers().contains_key(TAKES_REJECTIONS);
    let announced = request.body().size_hint().exact().and_then(|size| usize::try_from(size).ok());
    let announced = announced.unwrap_or(BATCH_BYTES_MAX);
    let _arriving = match announced >= COUNTED_BATCH_BYTES {
        true => Some(node.admit_batch(announced).ok_or(StatusCode::SERVICE_UNAVAILABLE)?),
        false => None,
    };
    let body = read_body(request, BATCH_BYTES_MAX).await?;
    node.metrics.traffic.count(RECEIVED_BATCHES, 0, Some(body.len()));
    let Some(records) = decode(&body) else {
        warn!(node.logger, "malformed batch of records from an entry");
        return Err(StatusCode::BAD_REQUEST);
    };
    let receipt = match takes_rejections {
        true => node.relay_admitted(records),
        false => node.relay(records).map(RelayReceipt::whole),
    };
    receipt.ok_or(StatusCode::MISDIRECTED_REQUEST)
}

/// Decodes a batch. Returns `None` if it is malformed or has a record that entries do not relay.
pub fn decode(body: &[u8]) -> Option<Vec<JobRecord>> {
    let batch: RelayBatch = postcard::from_bytes(body).ok()?;
    let keyed = batch.records.into_iter().map(|(key, value)| KeyedRecord { key, value });
    keyed
        .map(|record| match JobRecord::decode(&record.key, &record.value)? {
            // Only records of callers are relayed; the leader writes all others itself.
            relayed @ (JobRecord::Submitted(..)
            | JobRecord::Cancelled(_)
            | JobRecord::CancelledBy(..)) => Some(relayed),
            JobRecord::Progress(..)
            | JobRecord::Dropped(_)
            | JobRecord::TombstoneDropped(..)
            | JobRecord::Wave(..)
            | JobRecord::Losses(..)
            | JobRecord::Learned(..) => None,
        })
        .collect()
}

fn status_only(status: StatusCode) -> Response<RelayBody> {
    let mut response = Response::new(RelayBody::Whole(Full::default()));
    *response.status_mut() = status;
    response
}
