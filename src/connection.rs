//! Connections to one worker, bounded by this entry's share.
//!
//! A connection carries one exchange at a time, so an answer can only be its own request's, and a
//! late one dies with its connection. It is used only after the worker at its end has shown the
//! boot number that the fold gave: after a reboot or a change of pools nothing old reaches it.
//!
//! Something between the two ends may lose track of an open connection while new ones work. A write
//! to it then goes nowhere. So a connection that has not proved itself lately is probed before it
//! carries a request, and once one has gone silent all others of the worker count as unproved.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, HOST};
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::decide::retry::{AttemptOutcome, NotRunReason, UnknownReason};
use crate::error::ResultCode;
use crate::metrics::{EntryMetrics, count};
use crate::worker::{self, REPORT_BYTES_MAX, REPORT_PATH, WorkerReport};

/// Time that a connection that was alive lately still counts against the share after it was closed:
/// the worker's end closes when our FIN arrives. Callers that go away close many at once; counted
/// for as long as silent ones, these would keep the next callers out for a minute.
const CLOSE_LINGER: Duration = Duration::from_millis(100);

/// Times and sizes of connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Time to open a connection.
    pub connect: Duration,
    /// Age of a proof that a connection lives.
    pub proof_age: Duration,
    /// Time for a worker to answer a probe.
    pub probe: Duration,
    /// Time that a connection given up still counts against the share.
    pub linger: Duration,
    /// Largest answer body, in bytes.
    pub answer_max: usize,
}

/// A whole answer.
#[derive(Debug)]
pub struct WholeAnswer {
    /// Status and headers.
    pub head: http::response::Parts,
    /// Whole body.
    pub body: Bytes,
}

/// An answer that came, or a code for one that can't be passed on although the request ran.
pub type ExchangeAnswer = Result<WholeAnswer, ResultCode>;

/// One open connection.
#[derive(Debug)]
struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
    boot: u64,
    proved: Instant,
    is_doubted: bool,
    share: ShareGuard,
}

/// The connections of this entry to one worker.
#[derive(Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    share: u32,
    open: Arc<AtomicU32>,
    idle: Mutex<VecDeque<OpenConnection>>,
    limits: ConnectionLimits,
    metrics: Arc<EntryMetrics>,
}

/// Counts one connection against the share until it is dropped and has lingered.
#[derive(Debug)]
struct ShareGuard {
    open: Arc<AtomicU32>,
    linger: Duration,
}

impl Drop for ShareGuard {
    fn drop(&mut self) {
        // A worker still counts a connection that we gave up until it notices. Opening another at
        // once could take all entries together past the worker's bound.
        let (open, linger) = (self.open.clone(), self.linger);
        match tokio::runtime::Handle::try_current() {
            Ok(runtime) => drop(runtime.spawn(async move {
                sleep(linger).await;
                open.fetch_sub(1, Ordering::AcqRel);
            })),
            Err(_) => drop(open.fetch_sub(1, Ordering::AcqRel)),
        }
    }
}

/// What an exchange may do.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeTerms {
    /// Boot number that the worker must show.
    pub boot: u64,
    /// Whether the connection must prove itself first, however lately it did.
    pub must_prove: bool,
    /// Time without an answer after which the attempt is given up.
    pub stall: Option<Duration>,
    /// End of the caller's patience.
    pub deadline: Instant,
}

impl ConnectionPool {
    /// Connections to `address`, at most `share` at a time.
    pub fn new(
        address: SocketAddr,
        share: u32,
        limits: ConnectionLimits,
        metrics: Arc<EntryMetrics>,
    ) -> Self {
        let (open, idle) = (Arc::new(AtomicU32::new(0)), Mutex::new(VecDeque::new()));
        ConnectionPool { address, share, open, idle, limits, metrics }
    }

    /// The same worker with another share; what is open still counts.
    pub fn resized(&self, share: u32) -> Self {
        let resized = Self::new(self.address, share, self.limits, self.metrics.clone());
        ConnectionPool { open: self.open.clone(), ..resized }
    }

    /// Most connections of this entry.
    pub fn share(&self) -> u32 {
        self.share
    }

    /// Where the worker listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections that count against the share now.
    pub fn open_count(&self) -> u32 {
        self.open.load(Ordering::Acquire)
    }

    /// Closes what is idle, as a VM that is drained needs no connections.
    pub fn close_idle(&self) {
        self.lock_idle().clear();
    }

    /// One request and its whole answer.
    pub async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        terms: &ExchangeTerms,
    ) -> AttemptOutcome<ExchangeAnswer> {
        let connection = match timeout_at(terms.deadline, self.ready(terms)).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(reason)) => return AttemptOutcome::NotRun(reason),
            Err(_) => return AttemptOutcome::NotRun(NotRunReason::Connect),
        };
        self.send(connection, request, terms).await
    }

    /// Asks the worker for its report on a connection of its own.
    pub async fn report(&self) -> Option<WorkerReport> {
        let mut connection = self.connect().await.ok()?;
        timeout(self.limits.probe, ask(&mut connection.sender)).await.ok().flatten()
    }

    /// A connection that may carry the request.
    async fn ready(&self, terms: &ExchangeTerms) -> Result<OpenConnection, NotRunReason> {
        while let Some(mut connection) = self.take_idle() {
            if connection.boot != terms.boot || connection.sender.is_closed() {
                continue;
            }
            if self.is_proved(&mut connection, terms).await {
                return Ok(connection);
            }
            connection.share.linger = self.limits.linger;
            count(&self.metrics.connections_given_up, "unproved");
        }
        let mut connection = self.connect().await?;
        let report = timeout(self.limits.probe, ask(&mut connection.sender)).await;
        let Some(report) = report.ok().flatten() else {
            connection.share.linger = self.limits.linger;
            return Err(NotRunReason::Connect);
        };
        if report.boot != terms.boot {
            return Err(NotRunReason::WrongBoot);
        }
        connection.boot = report.boot;
        connection.proved = Instant::now();
        Ok(connection)
    }

    async fn is_proved(&self, connection: &mut OpenConnection, terms: &ExchangeTerms) -> bool {
        if !terms.must_prove
            && !connection.is_doubted
            && connection.proved.elapsed() < self.limits.proof_age
        {
            return true;
        }
        let report = timeout(self.limits.probe, ask(&mut connection.sender)).await;
        connection.proved = Instant::now();
        connection.is_doubted = false;
        report.ok().flatten().is_some_and(|report| report.boot == terms.boot)
    }

    async fn connect(&self) -> Result<OpenConnection, NotRunReason> {
        let share = self.take_share().ok_or(NotRunReason::NoConnection)?;
        let stream = timeout(self.limits.connect, TcpStream::connect(self.address)).await;
        let stream = stream.ok().and_then(Result::ok).ok_or(NotRunReason::Connect)?;
        // Small requests wait for nothing; a socket that refuses the option still works.
        let _ = stream.set_nodelay(true);
        let (sender, driver) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|_| NotRunReason::Connect)?;
        tokio::spawn(driver);
        self.metrics.connections_opened.inc();
        Ok(OpenConnection { sender, boot: 0, proved: Instant::now(), is_doubted: false, share })
    }

    fn take_share(&self) -> Option<ShareGuard> {
        let take = |open: u32| (open < self.share).then_some(open + 1);
        self.open.fetch_update(Ordering::AcqRel, Ordering::Acquire, take).ok()?;
        Some(ShareGuard { open: self.open.clone(), linger: CLOSE_LINGER })
    }

    /// The most recently used one, so that the others age and close.
    fn take_idle(&self) -> Option<OpenConnection> {
        self.lock_idle().pop_back()
    }

    fn lock_idle(&self) -> std::sync::MutexGuard<'_, VecDeque<OpenConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn send(
        &self,
        mut connection: OpenConnection,
        request: Request<Full<Bytes>>,
        terms: &ExchangeTerms,
    ) -> AttemptOutcome<ExchangeAnswer> {
        let stall = terms.stall.map(|stall| Instant::now() + stall);
        let until = stall.map_or(terms.deadline, |stall| stall.min(terms.deadline));
        let sent = timeout_at(until, connection.sender.try_send_request(request)).await;
        let response = match sent {
            Err(_) => return self.give_up(connection, late(until, terms)),
            Ok(Err(mut error)) => {
                return match error.take_message() {
                    Some(_) => AttemptOutcome::NotRun(NotRunReason::Closed),
                    None => {
                        count(&self.metrics.connections_given_up, UnknownReason::Lost.name());
                        AttemptOutcome::Unknown(UnknownReason::Lost)
                    }
                };
            }
            Ok(Ok(response)) => response,
        };
        if let Some(reason) = worker::refusal(response.status(), response.headers()) {
            if drain_body(response).await {
                self.put_back(connection);
            }
            return AttemptOutcome::NotRun(reason);
        }
        let whole = timeout_at(terms.deadline, whole(response, self.limits.answer_max)).await;
        match whole {
            Err(_) => self.give_up(connection, UnknownReason::Deadline),
            Ok(answer) => {
                if answer.is_ok() {
                    self.put_back(connection);
                }
                AttemptOutcome::Done(answer)
            }
        }
    }

    /// Makes every idle connection prove itself before it is used.
    pub fn doubt(&self) {
        for connection in self.lock_idle().iter_mut() {
            connection.is_doubted = true;
        }
    }

    /// Drops a connection that shows no progress: the worker may count it until it notices.
    fn give_up(
        &self,
        mut connection: OpenConnection,
        reason: UnknownReason,
    ) -> AttemptOutcome<ExchangeAnswer> {
        connection.share.linger = self.limits.linger;
        count(&self.metrics.connections_given_up, reason.name());
        AttemptOutcome::Unknown(reason)
    }

    fn put_back(&self, mut connection: OpenConnection) {
        connection.proved = Instant::now();
        if !connection.sender.is_closed() {
            self.lock_idle().push_back(connection);
        }
    }
}

fn late(until: Instant, terms: &ExchangeTerms) -> UnknownReason {
    if until < terms.deadline { UnknownReason::Stalled } else { UnknownReason::Deadline }
}

/// Asks for the worker's report.
async fn ask(sender: &mut SendRequest<Full<Bytes>>) -> Option<WorkerReport> {
    let request = Request::builder()
        .method(Method::GET)
        .uri(REPORT_PATH)
        .header(HOST, "worker")
        .body(Full::default())
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    let body = Limited::new(response.into_body(), REPORT_BYTES_MAX).collect().await.ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}

/// Reads a refusal's body to its end, so that the connection can be used again.
async fn drain_body(response: Response<Incoming>) -> bool {
    Limited::new(response.into_body(), REPORT_BYTES_MAX).collect().await.is_ok()
}

/// The whole answer, or why it can't be passed on. A body shorter than its length is an error of
/// the connection in hyper; one without a length ends with its chunks. A body that ends with the
/// connection could be cut anywhere and look complete, so it counts as cut.
async fn whole(response: Response<Incoming>, answer_max: usize) -> ExchangeAnswer {
    let (head, body) = response.into_parts();
    let chunked = head.headers.contains_key(http::header::TRANSFER_ENCODING);
    let sized = head.headers.contains_key(CONTENT_LENGTH);
    let empty = body.is_end_stream();
    if !(chunked || sized || empty) {
        return Err(ResultCode::AnswerCut);
    }
    let length = body.size_hint().lower();
    let capacity = usize::try_from(length).unwrap_or(usize::MAX).min(answer_max);
    let (mut body, mut bytes) = (Limited::new(body, answer_max), BytesMut::with_capacity(capacity));
    while let Some(frame) = body.frame().await {
        match frame {
            // Frames keep the buffers that they were read into, which are larger than they are.
            Ok(frame) => frame.into_data().map_or((), |part| bytes.extend_from_slice(&part)),
            Err(error) if error.is::<LengthLimitError>() => return Err(ResultCode::AnswerTooLarge),
            Err(_) => return Err(ResultCode::AnswerCut),
        }
    }
    Ok(WholeAnswer { head, body: bytes.freeze() })
}
