//! A stand-in for the platform: an append-only log with offsets and limited retention, a lagging
//! member list, and reboots of workers. Faults are switched on through its handle.

use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use ibisweir::name::VmName;
use ibisweir::platform::{
    AppendAnswer, LogRecord, MemberLine, MemberState, ReadAnswer, ReadQuery, RebootOrder,
    StreamBatch, exchange,
};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// A worker that the platform can reboot.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkerLine {
    /// Its VM.
    pub vm: VmName,
    /// Its address.
    public_address: SocketAddr,
}

impl WorkerLine {
    /// A worker at an address.
    pub fn new(vm: VmName, public_address: SocketAddr) -> Self {
        WorkerLine { vm, public_address }
    }
}

#[derive(Debug, Default)]
struct LogStream {
    first: u64,
    records: Vec<Box<RawValue>>,
}

/// Faults of the platform.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformFaults {
    /// Nothing is answered but 503.
    pub is_down: bool,
    /// One in so many appends takes effect and loses its answer; 0 for none.
    pub lose_one_in: u64,
    /// Time added to every answer.
    pub delay: Duration,
    /// Records kept by stream; 0 for all.
    pub retention: usize,
}

#[derive(Debug, Default)]
struct PlatformState {
    streams: BTreeMap<String, LogStream>,
    workers: HashMap<VmName, SocketAddr>,
    faults: PlatformFaults,
    appends: u64,
    bytes_out: u64,
    lost: u64,
}

/// A running stand-in; stops when dropped.
#[derive(Debug)]
pub struct PlatformHandle {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<PlatformShared>,
    server: JoinHandle<()>,
}

#[derive(Debug)]
struct PlatformShared {
    state: Mutex<PlatformState>,
    appended: watch::Sender<u64>,
}

impl Drop for PlatformHandle {
    fn drop(&mut self) {
        self.server.abort();
    }
}

impl PlatformHandle {
    /// Binds an address; port 0 lets the system choose.
    pub async fn bind(address: SocketAddr) -> std::io::Result<PlatformHandle> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared =
            Arc::new(PlatformShared { state: Mutex::default(), appended: watch::Sender::new(0) });
        let server = tokio::spawn(serve(listener, shared.clone()));
        Ok(PlatformHandle { address, shared, server })
    }

    /// Switches faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.shared.lock().faults);
    }

    /// Adds a worker to the member list.
    pub fn add_worker(&self, vm: VmName, address: SocketAddr) {
        self.shared.lock().workers.insert(vm, address);
    }

    /// Appends made so far.
    pub fn appends(&self) -> u64 {
        self.shared.lock().appends
    }

    /// Appends whose answer was lost on purpose.
    pub fn lost_answers(&self) -> u64 {
        self.shared.lock().lost
    }

    /// Bytes of records sent to readers.
    pub fn bytes_out(&self) -> u64 {
        self.shared.lock().bytes_out
    }

    /// The records of a stream that are still kept, with their offsets.
    pub fn records(&self, stream: &str) -> Vec<(u64, String)> {
        let state = self.shared.lock();
        let Some(log) = state.streams.get(stream) else { return Vec::new() };
        (log.first..).zip(log.records.iter().map(|record| record.get().to_owned())).collect()
    }
}

impl PlatformShared {
    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn serve(listener: TcpListener, shared: Arc<PlatformShared>) {
    while let Ok((stream, _)) = listener.accept().await {
        let shared = shared.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| answer(shared.clone(), request));
            // A client that breaks off is its own business.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

type Answer = Response<Full<Bytes>>;

async fn answer(
    shared: Arc<PlatformShared>,
    request: Request<Incoming>,
) -> Result<Answer, Infallible> {
    let (head, body) = request.into_parts();
    let Ok(body) = body.collect().await else { return Ok(status(StatusCode::BAD_REQUEST)) };
    let body = body.to_bytes();
    let faults = shared.lock().faults;
    if !faults.delay.is_zero() {
        sleep(faults.delay).await;
    }
    if faults.is_down {
        return Ok(status(StatusCode::SERVICE_UNAVAILABLE));
    }
    let path: Vec<&str> = head.uri.path().trim_matches('/').split('/').collect();
    Ok(match (&head.method, path.as_slice()) {
        (&Method::POST, ["v1", "streams", stream, "records"]) => append(&shared, stream, &body),
        (&Method::POST, ["v1", "read"]) => read(&shared, &body).await,
        (&Method::GET, ["v1", "members"]) => members(&shared),
        (&Method::POST, ["v1", "workers"]) => register(&shared, &body),
        (&Method::POST, ["v1", "vms", vm, "reboot"]) => reboot(&shared, vm, &body).await,
        _ => status(StatusCode::NOT_FOUND),
    })
}

fn status(status: StatusCode) -> Answer {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

fn json<T: Serialize>(value: &T) -> Answer {
    Response::new(Full::new(Bytes::from(serde_json::to_vec(value).unwrap_or_default())))
}

fn append(shared: &PlatformShared, stream: &str, body: &[u8]) -> Answer {
    let Ok(record) = serde_json::from_slice::<Box<RawValue>>(body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let mut state = shared.lock();
    let retention = state.faults.retention;
    state.appends += 1;
    let lose = state.faults.lose_one_in;
    let lost = lose > 0 && state.appends.is_multiple_of(lose);
    let log = state.streams.entry(stream.to_owned()).or_default();
    log.records.push(record);
    let offset = log.first + log.records.len() as u64 - 1;
    if retention > 0 && log.records.len() > retention {
        let expired = log.records.len() - retention;
        log.records.drain(..expired);
        log.first += expired as u64;
    }
    state.lost += u64::from(lost);
    drop(state);
    shared.appended.send_modify(|count| *count += 1);
    if lost { status(StatusCode::SERVICE_UNAVAILABLE) } else { json(&AppendAnswer { offset }) }
}

async fn read(shared: &PlatformShared, body: &[u8]) -> Answer {
    let Ok(query) = serde_json::from_slice::<ReadQuery>(body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let mut appended = shared.appended.subscribe();
    let wait = async {
        loop {
            appended.borrow_and_update();
            if let Some(answer) = look(shared, &query) {
                return answer;
            }
            if appended.changed().await.is_err() {
                return ReadAnswer::new();
            }
        }
    };
    let wait_time = Duration::from_millis(query.wait_ms);
    match timeout(wait_time, wait).await {
        Ok(answer) => json(&answer),
        Err(_) => json(&batches(shared, &query)),
    }
}

/// An answer if some stream has a record or a gap.
fn look(shared: &PlatformShared, query: &ReadQuery) -> Option<ReadAnswer> {
    let answer = batches(shared, query);
    let news = |(stream, batch): (&String, &StreamBatch)| {
        !batch.records.is_empty() || batch.first > query.from.get(stream).copied().unwrap_or(0)
    };
    answer.iter().any(news).then_some(answer)
}

fn batches(shared: &PlatformShared, query: &ReadQuery) -> ReadAnswer {
    let mut state = shared.lock();
    let mut answer = ReadAnswer::new();
    let mut bytes = 0;
    for (stream, from) in &query.from {
        let Some(log) = state.streams.get(stream) else {
            answer.insert(stream.clone(), StreamBatch::default());
            continue;
        };
        let skip = usize::try_from(from.saturating_sub(log.first)).unwrap_or(usize::MAX);
        let kept = (log.first..).zip(&log.records).skip(skip).take(query.max);
        let records: Vec<LogRecord> =
            kept.map(|(offset, body)| LogRecord { offset, body: body.clone() }).collect();
        bytes += records.iter().map(|record| record.body.get().len() as u64).sum::<u64>();
        let next = log.first + log.records.len() as u64;
        answer.insert(stream.clone(), StreamBatch { first: log.first, next, records });
    }
    state.bytes_out += bytes;
    answer
}

fn members(shared: &PlatformShared) -> Answer {
    let state = shared.lock();
    let live = |vm: &VmName| MemberLine { vm: vm.clone(), state: MemberState::Live };
    json(&state.workers.keys().map(live).collect::<Vec<_>>())
}

fn register(shared: &PlatformShared, body: &[u8]) -> Answer {
    let Ok(line) = serde_json::from_slice::<WorkerLine>(body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    shared.lock().workers.insert(line.vm, line.public_address);
    json(&true)
}

async fn reboot(shared: &PlatformShared, vm: &str, body: &[u8]) -> Answer {
    let Ok(order) = serde_json::from_slice::<RebootOrder>(body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let worker = shared.lock().workers.get(vm).copied();
    let Some(worker) = worker else { return status(StatusCode::NOT_FOUND) };
    let body = serde_json::to_vec(&order).unwrap_or_default();
    match exchange(worker, Method::POST, "/control/reboot", body).await {
        Ok(_) => json(&true),
        Err(_) => status(StatusCode::BAD_GATEWAY),
    }
}
