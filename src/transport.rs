//! One HTTP/1.1 client for the platform's services, the workers and other entries.
//!
//! Connections are kept, one exchange at a time on each. Something between the two ends may lose
//! track of an open connection while new ones work, and a dead machine answers nothing: so each
//! exchange has a time limit, and one that passes it takes all idle connections of that peer along.
//! The next exchange opens a new one.
//!
//! One large answer must not fill a narrow link: a peer may have little under way on each connection,
//! so that answers on others come between its parts.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpSocket;
use tokio::time::{Instant, timeout};

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
/// Time to open a connection; several round trips between the farthest data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// A whole answer.
#[derive(Debug)]
pub struct HttpAnswer {
    /// Status.
    pub status: StatusCode,
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

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
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
    abandon: AbandonPolicy,
    traffic: TrafficMeter,
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
        let started = Instant::now();
        let sender = match self.take_idle(address) {
            Some(sender) => sender,
            None => {
                let opened = connect(address, head, self.abandon).await;
                self.traffic.count_connect(opened.is_ok());
                opened?
            }
        };
        if !may_send() {
            return Err(ExchangeFailure::NotSent);
        }
        let (path, sent) = (call.path.clone(), call.body.len());
        let answered = async {
            let left = head.saturating_sub(started.elapsed());
            let sent = timeout(left, send(sender, address, call)).await;
            let (response, sender) = sent.map_err(|_| ExchangeFailure::NoAnswer)??;
            match body {
                BodyLimit::Whole(whole) => {
                    let left = whole.saturating_sub(started.elapsed());
                    let read = timeout(left, read_answer(response, sender, Duration::MAX)).await;
                    read.map_err(|_| ExchangeFailure::NoAnswer)?
                }
                BodyLimit::Stall(stall) => read_answer(response, sender, stall).await,
            }
        };
        let answered = answered.await;
        let received = answered.as_ref().ok().map(|(answer, _)| answer.body.len());
        self.traffic.count(&path, sent, received);
        match answered {
            Ok((answer, sender)) => {
                self.keep(address, sender);
                Ok(answer)
            }
            Err(failure) => {
                // The others may have gone silent together with this one; each would cost a
                // whole time limit before it shows.
                self.forget_idle(address);
                Err(failure)
            }
        }
    }

    /// Uses no connection to a peer again that is idle now.
    pub fn forget_idle(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn take_idle(&self, address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop_back() {
            let is_fresh = connection.since.elapsed() < IDLE_AGE_MAX;
            if is_fresh && !connection.sender.is_closed() {
                return Some(connection.sender);
            }
        }
        None
    }

    fn keep(&self, address: SocketAddr, sender: SendRequest<Full<Bytes>>) {
        if sender.is_closed() {
            return;
        }
        let mut idle = self.lock();
        let connections = idle.entry(address).or_default();
        if connections.len() >= IDLE_MAX {
            connections.pop_front();
        }
        connections.push_back(IdleConnection { sender, since: Instant::now() });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, VecDeque<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn connect(
    address: SocketAddr,
    patience: Duration,
    abandon: AbandonPolicy,
) -> Result<SendRequest<Full<Bytes>>, ExchangeFailure> {
    let not_sent = |_| ExchangeFailure::NotSent;
    let opened = async {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4(),
            SocketAddr::V6(_) => TcpSocket::new_v6(),
        };
        let socket = socket.map_err(not_sent)?;
        socket.set_recv_buffer_size(RECEIVE_BYTES).map_err(not_sent)?;
        let stream = socket.connect(address).await.map_err(not_sent)?;
        stream.set_nodelay(true).map_err(not_sent)?;
        if abandon == AbandonPolicy::Reset {
            stream.set_zero_linger().map_err(not_sent)?;
        }
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| ExchangeFailure::NotSent)?;
        // The driver ends with the connection; its error shows at the sender as well.
        match abandon {
            AbandonPolicy::Deliver => tokio::spawn(async move { drop(connection.await) }),
            // An orderly end first would promise the peer that all of it is on its way.
            AbandonPolicy::Reset => {
                tokio::spawn(async move { drop(connection.without_shutdown().await) })
            }
        };
        Ok(sender)
    };
    timeout(CONNECT_TIMEOUT.min(patience), opened).await.map_err(|_| ExchangeFailure::NotSent)?
}

async fn send(
    mut sender: SendRequest<Full<Bytes>>,
    address: SocketAddr,
    call: HttpCall,
) -> Result<(Response<Incoming>, SendRequest<Full<Bytes>>), ExchangeFailure> {
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
    let response = sender.send_request(request).await.map_err(no_answer)?;
    Ok((response, sender))
}

/// Reads the body, and gives up once no part of it has come for `stall`.
async fn read_answer(
    response: Response<Incoming>,
    mut sender: SendRequest<Full<Bytes>>,
    stall: Duration,
) -> Result<(HttpAnswer, SendRequest<Full<Bytes>>), ExchangeFailure> {
    let no_answer = |_| ExchangeFailure::NoAnswer;
    let status = response.status();
    let mut incoming = response.into_body();
    let mut body = BytesMut::new();
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
    Ok((HttpAnswer { status, body: body.freeze() }, sender))
}
