//! One HTTP/1.1 client for the platform's services, the workers and other entries.
//!
//! Connections are kept, one exchange at a time on each. Something between the two ends may lose
//! track of an open connection while new ones work, and a dead machine answers nothing: so each
//! exchange has a time limit, and one that passes it takes all idle connections of that peer along.
//! The next exchange opens a new one.
//!
//! To a far peer a call takes a round trip longer, and another one to open its connection. The transport
//! measures it with each connection that opens. Opening is left out of the time limits of a call up to twice
//! the round trip: a call would otherwise be given up, and take the connection along, as often as it needs a
//! new one.
//!
//! One large answer must not fill a narrow link: a peer may have little under way on each connection,
//! so that answers on others come between its parts.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpSocket;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout, timeout_at};

use crate::decide::append_limit::{SendTimeout, SentBody};
use crate::decide::round_trip::RoundTrips;
use crate::odd_entries::OddEntries;
use crate::progress::{SendProgress, WatchedStream};
use crate::traffic::TrafficMeter;

/// Largest answer that is read, in bytes: twice the largest page of the log service.
const ANSWER_BYTES_MAX: usize = 4 << 20;
/// Idle connections kept for one peer: a worker gets a renewal and a few commands at a time.
const IDLE_MAX: usize = 4;
/// Age at which an idle connection is not used again, in line with the platform's own idle limit.
const IDLE_AGE_MAX: Duration = Duration::from_secs(8);
/// Receive buffer of a connection, in bytes. What a peer may have under way stands in line on a narrow link, and
/// all other answers wait behind it: a large one would keep leases from being renewed for as long as it takes.
const RECEIVE_BYTES: u32 = 16 << 10;
/// Send buffer of a connection, in bytes. What stands in it counts as sent, and other calls wait behind it.
const SEND_BYTES: u32 = 16 << 10;
/// Time for which a call waits for its connection, unless the peer is known to be farther away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Round trips for which a call waits for its connection.
const CONNECT_ROUND_TRIPS: u32 = 2;
/// Time for which a connection may be opening, for later calls.
const OPENING_TIME: Duration = Duration::from_secs(2);

/// A whole answer.
#[derive(Debug)]
pub struct HttpAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeFailure {
    /// No connection could be opened: the request was not sent.
    NotSent,
    /// It was sent, or part of it, and no whole answer came.
    NoAnswer,
}

/// A request before it is sent.
#[derive(Clone, Debug)]
pub struct HttpCall {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Extra headers; the host is the peer's address where they name none.
    pub headers: HeaderMap,
    /// Body; empty for none.
    pub body: Bytes,
}

/// An open connection; closed with it.
struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
    progress: Arc<SendProgress>,
    driver: AbortHandle,
}

impl Drop for OpenConnection {
    // What is left of a request that was given up would go out all the same, and keep the link from its repeat.
    fn drop(&mut self) {
        self.driver.abort();
    }
}

struct IdleConnection {
    connection: OpenConnection,
    since: Instant,
}

/// What becomes of the bytes of a connection that is given up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AbandonPolicy {
    /// The system goes on delivering them.
    #[default]
    Deliver,
    /// They are dropped, by a reset.
    Reset,
}

/// What the time limit of a request counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestLimit {
    /// All of it.
    Whole,
    /// Not the time in which its body goes out: a large one takes as long as the link needs.
    Unsent(SendTimeout),
}

/// How long the body of an answer may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLimit {
    /// Time from the start of the exchange to its end.
    Whole(Duration),
    /// Time between two parts of it. An answer that is larger than the link carries in any fixed time would
    /// be given up and asked for again without end, and take the link from all else meanwhile.
    Stall(Duration),
}

/// Connections to any number of peers.
#[derive(Clone, Default)]
pub struct HttpTransport {
    idle: Arc<Mutex<HashMap<SocketAddr, VecDeque<IdleConnection>>>>,
    round_trips: Arc<Mutex<RoundTrips>>,
    abandon: AbandonPolicy,
    traffic: TrafficMeter,
    odd_entries: OddEntries,
}

impl HttpTransport {
    /// A transport with no connection.
    pub fn open() -> Self {
        HttpTransport::default()
    }

    /// A transport whose requests are dropped when they are given up or the process ends.
    ///
    /// Bytes behind a cut are sent again until it heals. A command that was given up would then be
    /// carried out seconds later, over those of a successor.
    pub fn open_resetting() -> Self {
        HttpTransport { abandon: AbandonPolicy::Reset, ..HttpTransport::default() }
    }

    /// The same, counting into `traffic`.
    pub fn metered(self, traffic: TrafficMeter) -> Self {
        HttpTransport { traffic, ..self }
    }

    /// What this transport counts into.
    pub fn traffic(&self) -> &TrafficMeter {
        &self.traffic
    }

    /// The same, noting parts of answers that can't be read in `odd_entries`.
    pub fn noting(self, odd_entries: OddEntries) -> Self {
        HttpTransport { odd_entries, ..self }
    }

    /// Where parts of answers that can't be read are noted.
    pub fn odd_entries(&self) -> &OddEntries {
        &self.odd_entries
    }

    /// One request and its whole answer, within `patience`.
    ///
    /// # Errors
    /// `NotSent` if no connection could be opened, `NoAnswer` for anything later.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        call: HttpCall,
        patience: Duration,
    ) -> Result<HttpAnswer, ExchangeFailure> {
        self.exchange_long(address, call, patience, patience).await
    }

    /// The same with a shorter time for the answer's head: it proves that the peer lives and has the
    /// request, while the body may take as long as the work.
    ///
    /// # Errors
    /// As those of [`HttpTransport::exchange`].
    pub async fn exchange_long(
        &self,
        address: SocketAddr,
        call: HttpCall,
        head: Duration,
        whole: Duration,
    ) -> Result<HttpAnswer, ExchangeFailure> {
        self.exchange_while(address, call, head, BodyLimit::Whole(whole), || true).await
    }

    /// The same for an answer of any size: its body is read for as long as parts of it arrive.
    ///
    /// # Errors
    /// As those of [`HttpTransport::exchange`].
    pub async fn exchange_flowing(
        &self,
        address: SocketAddr,
        call: HttpCall,
        head: Duration,
        stall: Duration,
    ) -> Result<HttpAnswer, ExchangeFailure> {
        self.exchange_while(address, call, head, BodyLimit::Stall(stall), || true).await
    }

    /// The same for a request of any size: the time limits count once its body has gone out, or no part of it goes
    /// out any more, and leave `carry` to the way. Also answers with how much went out, and how long that took.
    pub async fn exchange_sending(
        &self,
        address: SocketAddr,
        call: HttpCall,
        head: Duration,
        whole: Duration,
        carry: SendTimeout,
    ) -> (Result<HttpAnswer, ExchangeFailure>, SentBody) {
        let body = BodyLimit::Whole(whole);
        self.carry(address, call, head, RequestLimit::Unsent(carry), body, || true).await
    }

    /// The same, sent only if `may_send` still holds when the connection is open: that can take as long
    /// as the VM was frozen meanwhile.
    ///
    /// # Errors
    /// As those of [`HttpTransport::exchange`]; `NotSent` if it does not hold any more.
    pub async fn exchange_while(
        &self,
        address: SocketAddr,
        call: HttpCall,
        head: Duration,
        body: BodyLimit,
        may_send: impl Fn() -> bool + Send,
    ) -> Result<HttpAnswer, ExchangeFailure> {
        self.carry(address, call, head, RequestLimit::Whole, body, may_send).await.0
    }

    async fn carry(
        &self,
        address: SocketAddr,
        call: HttpCall,
        head: Duration,
        request: RequestLimit,
        body: BodyLimit,
        may_send: impl Fn() -> bool + Send,
    ) -> (Result<HttpAnswer, ExchangeFailure>, SentBody) {
        let called = Instant::now();
        let connection = match self.take_idle(address) {
            Some(connection) => Ok(connection),
            None => {
                let opened = self.open_connection(address, head).await;
                self.traffic.count_connect(opened.is_ok());
                opened
            }
        };
        let mut connection = match connection {
            Ok(connection) if may_send() => connection,
            Ok(_) | Err(_) => return (Err(ExchangeFailure::NotSent), SentBody::default()),
        };
        let (path, sent) = (call.path.clone(), call.body.len());
        let progress = connection.progress.clone();
        progress.begin();
        let opening = called.elapsed().min(self.round_trip(address) * CONNECT_ROUND_TRIPS);
        let started = called + opening;
        let begun = Instant::now();
        let spared = || match request {
            RequestLimit::Whole => Duration::ZERO,
            RequestLimit::Unsent(carry) if progress.bytes() >= sent => {
                progress.span() + carry.after_send
            }
            RequestLimit::Unsent(carry) => progress.span() + carry.stall,
        };
        let answered = async {
            let sending = send(&mut connection.sender, address, call);
            let response = sent_within(sending, || started + head + spared()).await?;
            match body {
                BodyLimit::Whole(whole) => {
                    let limit = started + whole + spared();
                    let read = read_answer(response, &mut connection.sender, None);
                    timeout_at(limit, read).await.map_err(|_| ExchangeFailure::NoAnswer)?
                }
                BodyLimit::Stall(stall) => {
                    read_answer(response, &mut connection.sender, Some(stall)).await
                }
            }
        };
        let answered = answered.await;
        let received = answered.as_ref().ok().map(|answer| answer.body.len());
        self.traffic.count(&path, sent, received);
        match answered {
            Ok(_) => self.keep(address, connection),
            // The others may have gone silent together with this one; each would cost a
            // whole time limit before it shows.
            Err(_) => self.forget_idle(address),
        }
        let time = begun.elapsed();
        let sent =
            SentBody { bytes: sent, took: progress.span(), answered: received.map(|_| time) };
        (answered, sent)
    }

    /// Opens a connection. One that takes longer is kept for the next call: given up, it would be begun anew without
    /// end where the line on a full link is longer than the time for it.
    async fn open_connection(
        &self,
        address: SocketAddr,
        patience: Duration,
    ) -> Result<OpenConnection, ExchangeFailure> {
        let (transport, (hand, opened)) = (self.clone(), oneshot::channel());
        tokio::spawn(async move {
            let begun = Instant::now();
            let connection = connect(address, transport.abandon).await;
            if connection.is_ok() {
                transport.round_trips().record(address, begun.elapsed());
            }
            if let Err(Ok(unwanted)) = hand.send(connection) {
                transport.keep(address, unwanted);
            }
        });
        let far = self.round_trip(address) * CONNECT_ROUND_TRIPS;
        let opened = timeout(CONNECT_TIMEOUT.min(patience).max(far), opened).await;
        opened.ok().and_then(Result::ok).unwrap_or(Err(ExchangeFailure::NotSent))
    }

    /// Round trip to a peer, by the connections that opened; that of other peers before the first, and nothing
    /// before any. A limit that counts the peer's own time needs it on top.
    pub fn round_trip(&self, address: SocketAddr) -> Duration {
        self.round_trips().of(address)
    }

    fn round_trips(&self) -> MutexGuard<'_, RoundTrips> {
        self.round_trips.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Uses no connection to a peer again that is idle now.
    pub fn forget_idle(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn take_idle(&self, address: SocketAddr) -> Option<OpenConnection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        while let Some(idle) = connections.pop_back() {
            let is_fresh = idle.since.elapsed() < IDLE_AGE_MAX;
            if is_fresh && !idle.connection.sender.is_closed() {
                return Some(idle.connection);
            }
        }
        None
    }

    fn keep(&self, address: SocketAddr, connection: OpenConnection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() >= IDLE_MAX {
            connections.pop_front();
        }
        connections.push_back(IdleConnection { connection, since: Instant::now() });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, VecDeque<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn connect(
    address: SocketAddr,
    abandon: AbandonPolicy,
) -> Result<OpenConnection, ExchangeFailure> {
    let not_sent = |_| ExchangeFailure::NotSent;
    let opened = async {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4(),
            SocketAddr::V6(_) => TcpSocket::new_v6(),
        };
        let socket = socket.map_err(not_sent)?;
        socket.set_recv_buffer_size(RECEIVE_BYTES).map_err(not_sent)?;
        socket.set_send_buffer_size(SEND_BYTES).map_err(not_sent)?;
        let stream = socket.connect(address).await.map_err(not_sent)?;
        stream.set_nodelay(true).map_err(not_sent)?;
        if abandon == AbandonPolicy::Reset {
            stream.set_zero_linger().map_err(not_sent)?;
        }
        let progress = Arc::new(SendProgress::default());
        let stream = WatchedStream::new(stream, progress.clone());
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| ExchangeFailure::NotSent)?;
        // The driver ends with the connection; its error shows at the sender as well.
        let driver = match abandon {
            AbandonPolicy::Deliver => tokio::spawn(async move { drop(connection.await) }),
            // An orderly end first would promise the peer that all of it is on its way.
            AbandonPolicy::Reset => {
                tokio::spawn(async move { drop(connection.without_shutdown().await) })
            }
        };
        Ok(OpenConnection { sender, progress, driver: driver.abort_handle() })
    };
    timeout(OPENING_TIME, opened).await.map_err(|_| ExchangeFailure::NotSent)?
}

/// Waits for an answer until a limit that moves while the request goes out.
async fn sent_within(
    sending: impl Future<Output = Result<Response<Incoming>, ExchangeFailure>>,
    limit: impl Fn() -> Instant,
) -> Result<Response<Incoming>, ExchangeFailure> {
    let mut sending = pin!(sending);
    loop {
        let until = limit();
        if let Ok(response) = timeout_at(until, &mut sending).await {
            return response;
        }
        if limit() <= until {
            return Err(ExchangeFailure::NoAnswer);
        }
    }
}

async fn send(
    sender: &mut SendRequest<Full<Bytes>>,
    address: SocketAddr,
    call: HttpCall,
) -> Result<Response<Incoming>, ExchangeFailure> {
    let no_answer = |_| ExchangeFailure::NoAnswer;
    let mut request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .body(Full::new(call.body))
        .map_err(|_| ExchangeFailure::NotSent)?;
    *request.headers_mut() = call.headers;
    let host = http::HeaderValue::from_str(&address.to_string());
    let host = host.map_err(|_| ExchangeFailure::NotSent)?;
    request.headers_mut().entry(http::header::HOST).or_insert(host);
    sender.ready().await.map_err(no_answer)?;
    sender.send_request(request).await.map_err(no_answer)
}

/// Reads the body, and gives up once no part of it has come for `stall`.
async fn read_answer(
    response: Response<Incoming>,
    sender: &mut SendRequest<Full<Bytes>>,
    stall: Option<Duration>,
) -> Result<HttpAnswer, ExchangeFailure> {
    let no_answer = |_| ExchangeFailure::NoAnswer;
    let (head, mut incoming) = response.into_parts();
    let mut body = BytesMut::new();
    let stall = stall.unwrap_or(Duration::MAX);
    while let Some(frame) = timeout(stall, incoming.frame()).await.map_err(no_answer)? {
        let frame = frame.map_err(|_| ExchangeFailure::NoAnswer)?;
        let Ok(part) = frame.into_data() else { continue };
        if body.len() + part.len() > ANSWER_BYTES_MAX {
            return Err(ExchangeFailure::NoAnswer);
        }
        body.extend_from_slice(&part);
    }
    // The connection can carry the next request only once it has read this answer's end.
    drop(sender.ready().await);
    Ok(HttpAnswer { status: head.status, headers: head.headers, body: body.freeze() })
}
