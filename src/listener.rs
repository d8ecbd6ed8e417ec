//! The callers' side: decodes requests, bounds them, and writes answers.
//!
//! hyper reads HTTP/1.1 and HTTP/2 by prior knowledge and answers pipelined requests in order. A
//! caller that goes away drops its request's future, and with it its place in the queue, at the
//! worker and in the quota.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::header::{CONNECTION, HOST, HeaderValue};
use http::{HeaderMap, Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::{Instant, timeout};

use crate::control::ControlLoop;
use crate::decide::intake::ORDINARY_BYTES;
use crate::decide::key::RequestKey;
use crate::decide::slot::SlotPolicy;
use crate::error::{CodeResult, ResultCode, coded};
use crate::gate::WorkClass;
use crate::held_answer::{AnswerLease, HeldAnswer};
use crate::held_body::{BodyBounds, BodyFailure, BodyLease, HeldBody};
use crate::intake::{CallerIntake, CallerStream, ServingGuard};
use crate::name::{ServiceName, TeamName, is_well_formed};
use crate::peer::PeerClient;
use crate::request::{
    CLASS_HEADER, CallerAnswer, CallerRequest, KEY_HEADER, TEAM_HEADER, TIME_LIMIT_HEADER,
    end_to_end,
};
use crate::router::RequestRouter;

/// Wait after the listener can't accept, as when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Size of the buffer for heads, in largest heads: one that is somewhat over the limit gets its
/// code, one that doesn't fit the buffer hyper's bare 431.
const HEAD_BUFFER: usize = 2;

/// Buffers of a caller's connection in the system, in bytes.
const RECEIVE_BYTES: u32 = 16 << 10;
const SEND_BUFFER_BYTES: u32 = 64 << 10;
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Requests at a time on an HTTP/2 connection: the least that RFC 9113 recommends (6.5.2).
const STREAMS_MAX: u32 = 100;
/// Bytes that an HTTP/2 connection may have under way for all its streams, and for each.
const WINDOW_BYTES: u32 = 64 << 10;
/// Bytes of an answer that wait to be sent on a stream.
const SEND_BYTES: usize = 64 << 10;
/// When a caller may retry whose body found no room.
const FULL_RETRY: Duration = Duration::from_secs(1);

/// Sizes and times of callers' connections.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// Largest request body, in bytes.
    pub body_max: usize,
    /// Largest request head, in bytes.
    pub head_max: usize,
    /// Time for a request's head.
    pub head_timeout: Duration,
    /// Time for a request's body.
    pub body_timeout: Duration,
}

/// Connections of callers, to be closed gracefully.
#[derive(Debug, Default)]
pub struct CallerConnections {
    watcher: Mutex<Option<GracefulShutdown>>,
}

impl CallerConnections {
    /// An empty set.
    pub fn open() -> Self {
        CallerConnections { watcher: Mutex::new(Some(GracefulShutdown::new())) }
    }

    /// Watches one connection; nothing once closing has begun.
    pub fn watcher(&self) -> Option<Watcher> {
        let watcher = self.watcher.lock().unwrap_or_else(PoisonError::into_inner);
        watcher.as_ref().map(GracefulShutdown::watcher)
    }

    /// Tells every connection to close after what it has in flight; returns whether all did so
    /// within `patience`.
    pub async fn close(&self, patience: Duration) -> bool {
        let watcher = self.watcher.lock().unwrap_or_else(PoisonError::into_inner).take();
        match watcher {
            Some(watcher) => timeout(patience, watcher.shutdown()).await.is_ok(),
            None => true,
        }
    }
}

/// Accepts callers.
pub struct CallerListener<P, C> {
    /// The bound socket.
    pub listener: Arc<TcpListener>,
    /// Sizes and times.
    pub limits: ListenerLimits,
    /// Routes requests.
    pub router: Arc<RequestRouter<P, C>>,
    /// Connections to be closed gracefully.
    pub connections: Arc<CallerConnections>,
    /// The account of connections and bodies.
    pub intake: Arc<CallerIntake>,
}

/// Binds a TCP address.
pub async fn bind(address: SocketAddr) -> CodeResult<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|error| coded(ResultCode::BindFailed, format!("{address}: {error}")))
}

/// Binds a TCP address for callers, whose connections get small buffers in the system: what nobody has
/// read yet takes memory as well, on either side.
///
/// # Errors
/// `BindFailed` if the address can't be bound.
pub fn bind_callers(address: SocketAddr) -> CodeResult<TcpListener> {
    let bound = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        // Connections take the sizes over from the listener.
        socket.set_recv_buffer_size(RECEIVE_BYTES)?;
        socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    bound().map_err(|error: std::io::Error| {
        coded(ResultCode::BindFailed, format!("{address}: {error}"))
    })
}

impl<P: SlotPolicy, C: PeerClient> ControlLoop for CallerListener<P, C> {
    const NAME: &'static str = "listener";

    async fn step(&mut self) -> Duration {
        match self.listener.accept().await {
            Ok((stream, _)) => {
                self.serve(self.intake.admit(stream).await);
                Duration::ZERO
            }
            Err(_) => ACCEPT_PAUSE,
        }
    }
}

impl<P: SlotPolicy, C: PeerClient> CallerListener<P, C> {
    fn serve(&self, stream: CallerStream) {
        let (router, limits) = (self.router.clone(), self.limits);
        let place = stream.watcher().clone();
        let serving = place.clone();
        let mut server = auto::Builder::new(TokioExecutor::new());
        server
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.head_timeout)
            .max_buf_size(limits.head_max * HEAD_BUFFER);
        server
            .http2()
            .timer(TokioTimer::new())
            .max_concurrent_streams(STREAMS_MAX)
            .initial_stream_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES)
            .max_send_buf_size(SEND_BYTES)
            .max_header_list_size(u32::try_from(limits.head_max).unwrap_or(u32::MAX));
        let service = service_fn(move |request| {
            let (router, guard) = (router.clone(), serving.serve());
            async move { Ok::<_, Infallible>(answer(&router, request, &limits, &guard).await) }
        });
        let connection = server.serve_connection(TokioIo::new(stream), service).into_owned();
        let watcher = self.connections.watcher.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(watcher) = watcher.as_ref() else { return };
        let connection = watcher.watch(connection);
        let gauge = self.router.metrics.caller_connections.clone();
        tokio::spawn(async move {
            gauge.inc();
            tokio::select! {
                // A caller that breaks off ends its connection with an error; its requests are gone.
                _ = connection => {}
                () = place.displaced() => {}
            }
            gauge.dec();
        });
    }
}

/// Notes callers that went away before their answer.
struct GoneGuard<'a> {
    gone: Option<&'a prometheus_client::metrics::counter::Counter>,
}

impl Drop for GoneGuard<'_> {
    fn drop(&mut self) {
        if let Some(gone) = self.gone {
            gone.inc();
        }
    }
}

async fn answer<P: SlotPolicy, C: PeerClient>(
    router: &Arc<RequestRouter<P, C>>,
    request: Request<Incoming>,
    limits: &ListenerLimits,
    serving: &ServingGuard,
) -> Response<HeldAnswer> {
    let mut guard = GoneGuard { gone: Some(&router.metrics.callers_gone) };
    let answer = match decode(request, limits, serving).await {
        Ok((request, lease)) => {
            let answer = router.handle(request).await;
            // What the request took is there for its answer.
            drop(lease);
            answer
        }
        Err(code) => {
            router.metrics.answer(Some(code));
            let retry = (code == ResultCode::EntryFull).then_some(FULL_RETRY);
            CallerAnswer::coded(code, retry)
        }
    };
    guard.gone = None;
    let (answer, held) = hold(answer, serving);
    let mut response = Response::new(HeldAnswer::new(answer.body, held));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    let left = [ResultCode::BodyTooLarge, ResultCode::BodyTooSlow, ResultCode::EntryFull];
    if answer.code.is_some_and(|code| left.contains(&code)) {
        // What is left of the body would be read as the next request.
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Counts an answer until it is sent. Without room for it an ordinary one is sent all the same, and of a
/// larger one only that the request ran.
fn hold(answer: CallerAnswer, serving: &ServingGuard) -> (CallerAnswer, Option<AnswerLease>) {
    let held = serving.hold_answer(answer.body.len());
    match held.is_none() && answer.body.len() > ORDINARY_BYTES {
        true => (CallerAnswer::coded(ResultCode::AnswerNotKept, None), None),
        false => (answer, held),
    }
}

async fn decode(
    request: Request<Incoming>,
    limits: &ListenerLimits,
    serving: &ServingGuard,
) -> Result<(CallerRequest, BodyLease), ResultCode> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let head_bytes = head_size(&head.uri, &head.headers);
    if head_bytes > limits.head_max {
        return Err(ResultCode::HeadTooLarge);
    }
    let service = service(&head.uri, &head.headers).ok_or(ResultCode::UnknownService)?;
    let class = match text(&head.headers, CLASS_HEADER)? {
        Some(word) => WorkClass::parse(word).ok_or(ResultCode::BadHeader)?,
        None => WorkClass::Quick,
    };
    let limit = match text(&head.headers, TIME_LIMIT_HEADER)? {
        Some(number) => Some(number.parse().map_err(|_| ResultCode::BadHeader)?),
        None => None,
    };
    let team = match text(&head.headers, TEAM_HEADER)? {
        Some(team) if is_well_formed(team) => Some(TeamName::from(team)),
        Some(_) => return Err(ResultCode::BadHeader),
        None => None,
    };
    let key = match text(&head.headers, KEY_HEADER)? {
        Some(key) => Some(RequestKey::parse(key).ok_or(ResultCode::BadKey)?),
        None => None,
    };
    let (bytes_max, time) = (limits.body_max, limits.body_timeout);
    let body = serving.read_body(body, BodyBounds { head_bytes, bytes_max, time }).await;
    let HeldBody { bytes: body, lease } = body.map_err(BodyFailure::code)?;
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
    let (method, headers) = (head.method, end_to_end(&head.headers));
    let limit = limit.map(Duration::from_millis);
    let forwarded = false;
    let request = CallerRequest {
        service,
        class,
        team,
        method,
        path,
        headers,
        body,
        key,
        limit,
        arrived,
        forwarded,
    };
    Ok((request, lease))
}

/// Size of a request's path and headers, in bytes.
pub fn head_size(uri: &http::Uri, headers: &HeaderMap) -> usize {
    let path = uri.path_and_query().map_or(0, |path| path.as_str().len());
    let headers = headers.iter().map(|(name, value)| name.as_str().len() + value.len());
    headers.sum::<usize>() + path
}

/// The first segment of the path names the service; where the path has none, the first label of the
/// host does.
fn service(uri: &http::Uri, headers: &HeaderMap) -> Option<ServiceName> {
    let segment = uri.path().trim_start_matches('/').split('/').next().unwrap_or("");
    if is_well_formed(segment) {
        return Some(ServiceName::from(segment));
    }
    let host = uri.host().or_else(|| headers.get(HOST)?.to_str().ok())?;
    let label = host.split('.').next().filter(|label| segment.is_empty() && is_well_formed(label));
    label.map(ServiceName::from)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, ResultCode> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    // Two values that disagree: whichever we took, the caller may have meant the other.
    if values.next().is_some() {
        return Err(ResultCode::BadHeader);
    }
    value.to_str().map(|text| Some(text.trim())).map_err(|_| ResultCode::BadHeader)
}
