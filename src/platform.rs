//! The platform: its append-only log, its member list and its reboots.
//!
//! What the platform's protocol looks like is an assumption, kept in this module: JSON over
//! HTTP/1.1. A different answer changes this file only; the rest sees the two traits.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::error::{CodeResult, ResultCode, coded};
use crate::name::{CentreName, VmName};

/// Stream that carries intent.
pub const INTENT_STREAM: &str = "intent";
/// Largest answer read from the platform, in bytes.
pub const ANSWER_BYTES_MAX: usize = 16 << 20;
/// Records asked for in one read.
pub const READ_RECORDS_MAX: usize = 512;

/// Stream that carries the fleet of a data centre.
pub fn fleet_stream(centre: &CentreName) -> String {
    format!("fleet.{centre}")
}

/// One record as the log keeps it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its offset.
    pub offset: u64,
    /// Its text, JSON.
    pub body: Box<RawValue>,
}

/// What a read found in one stream.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StreamBatch {
    /// Oldest offset that the log still keeps.
    pub first: u64,
    /// Offset that the next append gets.
    pub next: u64,
    /// Records from the offset asked for, in order.
    pub records: Vec<LogRecord>,
}

/// A read of several streams at once.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadQuery {
    /// Next offset wanted, by stream.
    pub from: BTreeMap<String, u64>,
    /// Longest wait for a record, in milliseconds.
    pub wait_ms: u64,
    /// Most records by stream.
    pub max: usize,
}

/// Answer to a read, by stream.
pub type ReadAnswer = BTreeMap<String, StreamBatch>;

/// Answer to an append.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct AppendAnswer {
    /// Offset of the record.
    pub offset: u64,
}

/// State of a VM in the member list, which lags.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Up, as far as the platform knows.
    Live,
    /// About to be taken away.
    Leaving,
    /// Not seen for a while.
    Gone,
}

/// A line of the member list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberLine {
    /// The VM.
    pub vm: VmName,
    /// Its state.
    pub state: MemberState,
}

/// Body of a reboot request.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct RebootOrder {
    /// Boot number that shall end; a VM that shows another one was rebooted already.
    pub boot: u64,
    /// Time that the VM leaves its requests to finish, in milliseconds.
    pub grace_ms: u64,
}

/// The platform's log.
pub trait LogClient: Clone + Send + Sync + 'static {
    /// Appends a record. An error says nothing about whether the append took effect.
    fn append(&self, stream: &str, body: &[u8]) -> impl Future<Output = CodeResult<u64>> + Send;

    /// Reads streams from the given offsets; waits up to `wait` for a first record.
    fn read(
        &self,
        from: &BTreeMap<String, u64>,
        wait: Duration,
    ) -> impl Future<Output = CodeResult<ReadAnswer>> + Send;
}

/// The platform's hold on VMs.
pub trait MemberClient: Clone + Send + Sync + 'static {
    /// The lagging list of VMs.
    fn members(&self) -> impl Future<Output = CodeResult<Vec<MemberLine>>> + Send;

    /// Asks for a graceful reboot: no new work, requests finished, then down and up.
    fn reboot(
        &self,
        vm: &VmName,
        order: &RebootOrder,
    ) -> impl Future<Output = CodeResult<()>> + Send;
}

/// The platform over HTTP.
#[derive(Clone, Copy, Debug)]
pub struct HttpPlatform {
    address: SocketAddr,
    patience: Duration,
}

impl HttpPlatform {
    /// A platform at this address that gets `patience` for an answer.
    pub fn new(address: SocketAddr, patience: Duration) -> Self {
        HttpPlatform { address, patience }
    }

    async fn call<A: for<'de> Deserialize<'de>>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        patience: Duration,
    ) -> CodeResult<A> {
        let exchange = exchange(self.address, method, path, body);
        let (status, body) = timeout(patience, exchange)
            .await
            .map_err(|_| coded(ResultCode::PlatformAway, "no answer in time"))??;
        match status {
            StatusCode::OK | StatusCode::ACCEPTED => serde_json::from_slice(&body)
                .map_err(|error| coded(ResultCode::PlatformNonsense, error)),
            StatusCode::SERVICE_UNAVAILABLE => Err(coded(ResultCode::PlatformAway, status)),
            _ => Err(coded(ResultCode::PlatformNonsense, status)),
        }
    }
}

impl LogClient for HttpPlatform {
    async fn append(&self, stream: &str, body: &[u8]) -> CodeResult<u64> {
        let path = format!("/v1/streams/{stream}/records");
        let answer: AppendAnswer =
            self.call(Method::POST, &path, body.to_vec(), self.patience).await?;
        Ok(answer.offset)
    }

    async fn read(&self, from: &BTreeMap<String, u64>, wait: Duration) -> CodeResult<ReadAnswer> {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let query = ReadQuery { from: from.clone(), wait_ms, max: READ_RECORDS_MAX };
        let body = serde_json::to_vec(&query)
            .map_err(|error| coded(ResultCode::PlatformNonsense, error))?;
        let answer: ReadAnswer =
            self.call(Method::POST, "/v1/read", body, self.patience + wait).await?;
        checked(answer, from)
    }
}

impl MemberClient for HttpPlatform {
    async fn members(&self) -> CodeResult<Vec<MemberLine>> {
        self.call(Method::GET, "/v1/members", Vec::new(), self.patience).await
    }

    async fn reboot(&self, vm: &VmName, order: &RebootOrder) -> CodeResult<()> {
        let body = serde_json::to_vec(order)
            .map_err(|error| coded(ResultCode::PlatformNonsense, error))?;
        let path = format!("/v1/vms/{vm}/reboot");
        let _: serde_json::Value = self.call(Method::POST, &path, body, self.patience).await?;
        Ok(())
    }
}

/// An answer whose offsets jump or run backwards would make the fold skip or repeat records.
fn checked(answer: ReadAnswer, from: &BTreeMap<String, u64>) -> CodeResult<ReadAnswer> {
    for (stream, batch) in &answer {
        let Some(from) = from.get(stream) else {
            return Err(coded(ResultCode::PlatformNonsense, format!("{stream} was not asked for")));
        };
        for (expected, record) in ((*from).max(batch.first)..).zip(&batch.records) {
            if record.offset != expected {
                let detail = format!("{stream}: offset {}, not {expected}", record.offset);
                return Err(coded(ResultCode::PlatformNonsense, detail));
            }
        }
    }
    Ok(answer)
}

/// One request to an HTTP server on a connection of its own; the body is bounded.
pub async fn exchange(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<(StatusCode, Bytes), Report<ResultCode>> {
    let away = |error: &dyn std::fmt::Display| coded(ResultCode::PlatformAway, error);
    let stream = TcpStream::connect(address).await.map_err(|error| away(&error))?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| away(&error))?;
    let driver = tokio::spawn(connection);
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, address.to_string())
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| coded(ResultCode::PlatformNonsense, error))?;
    let response = sender.send_request(request).await.map_err(|error| away(&error))?;
    let status = response.status();
    let body = Limited::new(response.into_body(), ANSWER_BYTES_MAX).collect().await;
    driver.abort();
    let body = body.map_err(|error| coded(ResultCode::PlatformNonsense, error))?;
    Ok((status, body.to_bytes()))
}
