//! A small HTTP server for the stand-ins.

use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// A request, read whole.
#[derive(Debug)]
pub struct AskedCall {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Pairs of the query.
    pub query: HashMap<String, String>,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl AskedCall {
    /// A number of the query.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }

    /// The body as JSON; null if it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// A header as text, empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
    }
}

/// An answer; none for a request that is left unanswered.
pub type GivenAnswer = Option<Response<Full<Bytes>>>;

/// An answer with a JSON body.
pub fn json(status: u16, body: &Value) -> GivenAnswer {
    raw(status, Bytes::from(body.to_string()))
}

/// An answer with any body.
pub fn raw(status: u16, body: Bytes) -> GivenAnswer {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = StatusCode::from_u16(status).ok()?;
    Some(response)
}

/// Errors by which the process or the system has no descriptor left.
const NO_DESCRIPTOR: [i32; 2] = [23, 24];
/// Connections that this process had no descriptor for: what entries suffer from then on is not their own failure.
static FAILED_CONNECTIONS: AtomicU64 = AtomicU64::new(0);
/// Time before connections are taken in again after one failed.
const ACCEPT_GAP: Duration = Duration::from_millis(20);

/// Connections that this process has had no descriptor for.
pub fn failed_connections() -> u64 {
    FAILED_CONNECTIONS.load(Ordering::Relaxed)
}

/// Counts a connection that could not be had, if for want of a descriptor.
pub fn record_failure(error: &io::Error) {
    if error.raw_os_error().is_some_and(|code| NO_DESCRIPTOR.contains(&code)) {
        FAILED_CONNECTIONS.fetch_add(1, Ordering::Relaxed);
    }
}

/// The next connection; nothing, after a pause, if it could not be taken in.
pub async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((stream, _)) => Some(stream),
        Err(error) => {
            record_failure(&error);
            sleep(ACCEPT_GAP).await;
            None
        }
    }
}

/// Serves requests until it is dropped.
pub async fn serve<F, R>(listener: TcpListener, answer: F)
where
    F: Fn(AskedCall) -> R + Send + Sync + 'static,
    R: Future<Output = GivenAnswer> + Send + 'static,
{
    let answer = Arc::new(answer);
    // The connections end with the server.
    let mut connections = JoinSet::new();
    loop {
        let Some(stream) = accept(&listener).await else { continue };
        let answer = answer.clone();
        while connections.try_join_next().is_some() {}
        connections.spawn(async move {
            let service = service_fn(move |request: http::Request<hyper::body::Incoming>| {
                let answer = answer.clone();
                async move {
                    let (head, body) = request.into_parts();
                    let body = body.collect().await.map(|body| body.to_bytes());
                    let query = head.uri.query().unwrap_or("");
                    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                    let call = AskedCall {
                        method: head.method,
                        path: head.uri.path().to_owned(),
                        query: pairs.map(|(k, v)| (k.to_owned(), unescape(v))).collect(),
                        headers: head.headers,
                        body: body.unwrap_or_default(),
                    };
                    match answer(call).await {
                        Some(response) => Ok::<_, Infallible>(response),
                        None => std::future::pending().await,
                    }
                }
            });
            // A client that breaks off is its own business.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// A value of a query as its sender meant it.
fn unescape(value: &str) -> String {
    let mut bytes = Vec::with_capacity(value.len());
    let mut rest = value.as_bytes();
    while let [first, left @ ..] = rest {
        let digits = left.get(..2).filter(|_| *first == b'%');
        let digits = digits.and_then(|digits| std::str::from_utf8(digits).ok());
        let byte = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        bytes.push(byte.unwrap_or(if *first == b'+' { b' ' } else { *first }));
        rest = if byte.is_some() { &left[2..] } else { left };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
