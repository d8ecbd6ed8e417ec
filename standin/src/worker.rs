//! A stand-in for a worker: slots, a bound on connections, a ledger of what it ran, and faults.
//!
//! The work of a request is a wait: `x-work-ms` says how long. The answer echoes the caller's
//! `x-request-id`, so that an answer that reaches the wrong caller is seen.

use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::header::HeaderValue;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use ibisweir::name::VmName;
use ibisweir::platform::RebootOrder;
use ibisweir::request::KEY_HEADER;
use ibisweir::worker::{REFUSED_HEADER, REPORT_PATH, WorkerReport};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// Header of a request that says how long its work takes, in milliseconds.
pub const WORK_HEADER: &str = "x-work-ms";
/// Header that asks for an answer of this size, in bytes.
pub const ANSWER_HEADER: &str = "x-answer-bytes";
/// Header that names a request; echoed.
pub const REQUEST_HEADER: &str = "x-request-id";

/// What a worker is like.
#[derive(Clone, Copy, Debug)]
pub struct WorkerShape {
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Time that a reboot takes after the last request.
    pub reboot: Duration,
}

impl Default for WorkerShape {
    fn default() -> Self {
        WorkerShape { slots: 8, connections: 64, reboot: Duration::from_millis(300) }
    }
}

/// What a worker has seen.
#[derive(Clone, Debug, Default)]
pub struct WorkerLedger {
    /// Requests run to their end, by idempotency key.
    pub keyed: HashMap<String, u32>,
    /// Requests started, by request id.
    pub started: HashMap<String, u32>,
    /// Requests run to their end.
    pub done: u64,
    /// Requests that a reboot cut off.
    pub cut: u64,
    /// Most connections open at a time.
    pub connections_max: u32,
    /// Connections over the bound.
    pub over_bound: u32,
    /// Requests refused for want of a slot.
    pub busy: u64,
    /// Work done, in milliseconds of one slot.
    pub work_ms: u64,
}

#[derive(Debug)]
struct WorkerShared {
    vm: VmName,
    shape: WorkerShape,
    boot: AtomicU64,
    leaving: AtomicBool,
    is_down: AtomicBool,
    fails: AtomicBool,
    running: AtomicU32,
    open: AtomicU32,
    slots: Semaphore,
    ledger: Mutex<WorkerLedger>,
    /// Each reboot moves it on; connections of an older one end.
    generation: watch::Sender<u64>,
    silent: Mutex<Vec<Arc<AtomicBool>>>,
}

/// A running stand-in; stops when dropped.
#[derive(Debug)]
pub struct WorkerHandle {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<WorkerShared>,
    server: JoinHandle<()>,
}

impl Drop for WorkerHandle {
    fn drop(&mut self) {
        self.server.abort();
        self.shared.generation.send_modify(|generation| *generation += 1);
    }
}

impl WorkerHandle {
    /// Binds an address; port 0 lets the system choose.
    pub async fn bind(
        vm: VmName,
        address: SocketAddr,
        shape: WorkerShape,
    ) -> io::Result<WorkerHandle> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(WorkerShared {
            vm,
            shape,
            boot: AtomicU64::new(new_boot()),
            leaving: AtomicBool::new(false),
            is_down: AtomicBool::new(false),
            fails: AtomicBool::new(false),
            running: AtomicU32::new(0),
            open: AtomicU32::new(0),
            slots: Semaphore::new(shape.slots as usize),
            ledger: Mutex::default(),
            generation: watch::Sender::new(0),
            silent: Mutex::default(),
        });
        let server = tokio::spawn(serve(listener, shared.clone()));
        Ok(WorkerHandle { address, shared, server })
    }

    /// Its VM.
    pub fn vm(&self) -> &VmName {
        &self.shared.vm
    }

    /// Its boot number.
    pub fn boot(&self) -> u64 {
        self.shared.boot.load(Ordering::Acquire)
    }

    /// What it has seen.
    pub fn ledger(&self) -> WorkerLedger {
        self.shared.lock_ledger().clone()
    }

    /// Makes it fail everything at once, or not.
    pub fn set_failing(&self, fails: bool) {
        self.shared.fails.store(fails, Ordering::Release);
    }

    /// Takes it down without grace, or up again with a new boot number.
    pub fn set_down(&self, is_down: bool) {
        if is_down {
            self.shared.go_down();
        } else {
            self.shared.come_up();
        }
    }

    /// Silences every second open connection for good; returns how many.
    pub fn silence_half(&self) -> usize {
        let mut silent = self.shared.silent.lock().unwrap_or_else(PoisonError::into_inner);
        silent.retain(|flag| Arc::strong_count(flag) > 1);
        let chosen = silent.iter().step_by(2);
        chosen.map(|flag| flag.store(true, Ordering::Release)).count()
    }
}

fn new_boot() -> u64 {
    rand::random::<u64>() >> 16 | 1
}

impl WorkerShared {
    fn lock_ledger(&self) -> MutexGuard<'_, WorkerLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn go_down(&self) {
        self.is_down.store(true, Ordering::Release);
        let cut = self.running.load(Ordering::Acquire);
        self.lock_ledger().cut += u64::from(cut);
        self.generation.send_modify(|generation| *generation += 1);
    }

    fn come_up(&self) {
        self.boot.store(new_boot(), Ordering::Release);
        self.leaving.store(false, Ordering::Release);
        self.is_down.store(false, Ordering::Release);
    }

    /// A graceful reboot: no new work, what runs is finished, down, up.
    async fn reboot(self: Arc<Self>, order: RebootOrder) {
        if self.boot.load(Ordering::Acquire) != order.boot
            || self.leaving.swap(true, Ordering::AcqRel)
        {
            return;
        }
        let asked = Instant::now();
        let grace = Duration::from_millis(order.grace_ms);
        while self.running.load(Ordering::Acquire) > 0 && asked.elapsed() < grace {
            sleep(Duration::from_millis(5)).await;
        }
        self.go_down();
        sleep(self.shape.reboot).await;
        self.come_up();
    }
}

async fn serve(listener: TcpListener, shared: Arc<WorkerShared>) {
    while let Ok((stream, _)) = listener.accept().await {
        if shared.is_down.load(Ordering::Acquire) {
            continue;
        }
        let open = shared.open.fetch_add(1, Ordering::AcqRel) + 1;
        {
            let mut ledger = shared.lock_ledger();
            ledger.connections_max = ledger.connections_max.max(open);
            ledger.over_bound += u32::from(open > shared.shape.connections);
        }
        if open > shared.shape.connections {
            shared.open.fetch_sub(1, Ordering::AcqRel);
            continue;
        }
        tokio::spawn(connection(stream, shared.clone()));
    }
}

async fn connection(stream: TcpStream, shared: Arc<WorkerShared>) {
    // Answers are small; a socket that refuses the option still works.
    let _ = stream.set_nodelay(true);
    let silent = Arc::new(AtomicBool::new(false));
    shared.silent.lock().unwrap_or_else(PoisonError::into_inner).push(silent.clone());
    let stream = SilentStream { stream, silent };
    let mut generation = shared.generation.subscribe();
    generation.borrow_and_update();
    let answerer = shared.clone();
    let service = service_fn(move |request| answer(answerer.clone(), request));
    let server = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = server => {}
        _ = generation.changed() => {}
    }
    shared.open.fetch_sub(1, Ordering::AcqRel);
}

type Answer = Response<Full<Bytes>>;

async fn answer(
    shared: Arc<WorkerShared>,
    request: Request<Incoming>,
) -> Result<Answer, Infallible> {
    let path = request.uri().path().to_owned();
    if path == REPORT_PATH {
        return Ok(report(&shared));
    }
    let (head, body) = request.into_parts();
    let Ok(body) = body.collect().await else { return Ok(plain(StatusCode::BAD_REQUEST, "cut")) };
    if path == "/control/reboot" {
        if let Ok(order) = serde_json::from_slice::<RebootOrder>(&body.to_bytes()) {
            tokio::spawn(shared.reboot(order));
        }
        return Ok(plain(StatusCode::ACCEPTED, "true"));
    }
    Ok(run(&shared, &head.headers).await)
}

fn report(shared: &WorkerShared) -> Answer {
    let report = WorkerReport {
        boot: shared.boot.load(Ordering::Acquire),
        leaving: shared.leaving.load(Ordering::Acquire),
        running: shared.running.load(Ordering::Acquire),
    };
    let body = serde_json::to_string(&report).unwrap_or_default();
    Response::new(Full::new(Bytes::from(body)))
}

/// Counts a request as running until it ends, also when its connection is cut.
struct RunGuard<'a> {
    shared: &'a WorkerShared,
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        self.shared.running.fetch_sub(1, Ordering::AcqRel);
    }
}

async fn run(shared: &WorkerShared, headers: &HeaderMap) -> Answer {
    if shared.leaving.load(Ordering::Acquire) {
        return refused("leaving");
    }
    let Ok(_slot) = shared.slots.try_acquire() else {
        shared.lock_ledger().busy += 1;
        return refused("busy");
    };
    shared.running.fetch_add(1, Ordering::AcqRel);
    let _running = RunGuard { shared };
    let id = text(headers, REQUEST_HEADER);
    *shared.lock_ledger().started.entry(id.clone()).or_default() += 1;
    // A request that is not to run twice has its effect here, whoever still waits for the answer.
    let key = text(headers, KEY_HEADER);
    if !key.is_empty() {
        *shared.lock_ledger().keyed.entry(key).or_default() += 1;
    }
    if shared.fails.load(Ordering::Acquire) {
        return plain(StatusCode::INTERNAL_SERVER_ERROR, "broken");
    }
    let work = text(headers, WORK_HEADER).parse().unwrap_or(0);
    sleep(Duration::from_millis(work)).await;
    let mut ledger = shared.lock_ledger();
    ledger.done += 1;
    ledger.work_ms += work;
    drop(ledger);
    let mut answer = match text(headers, ANSWER_HEADER).parse() {
        Ok(bytes) => Response::new(Full::new(Bytes::from(vec![b'a'; bytes]))),
        Err(_) => plain(StatusCode::OK, "done"),
    };
    if let Ok(id) = HeaderValue::from_str(&id) {
        answer.headers_mut().insert(REQUEST_HEADER, id);
    }
    answer
}

fn text(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

fn refused(why: &'static str) -> Answer {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, why);
    answer.headers_mut().insert(REFUSED_HEADER, HeaderValue::from_static(why));
    answer
}

fn plain(status: StatusCode, text: &'static str) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *answer.status_mut() = status;
    answer
}

/// A connection that something in the middle can lose track of: bytes sent are taken and thrown
/// away, nothing arrives any more, and neither end is told.
struct SilentStream {
    stream: TcpStream,
    silent: Arc<AtomicBool>,
}

impl AsyncRead for SilentStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(context, buffer);
        if self.silent.load(Ordering::Acquire) {
            // The connection's end is still seen, so that the stand-in can tidy up.
            let ended = matches!(poll, Poll::Ready(Ok(()))) && buffer.filled().len() == filled;
            buffer.set_filled(filled);
            return if ended || matches!(poll, Poll::Ready(Err(_))) { poll } else { Poll::Pending };
        }
        poll
    }
}

impl AsyncWrite for SilentStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.silent.load(Ordering::Acquire) {
            return Poll::Ready(Ok(bytes.len()));
        }
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
