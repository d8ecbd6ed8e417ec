//! The account of what callers make this process hold: connections, heads, bodies from their first
//! byte until their job is stored or dropped, and answers until they are sent.
//!
//! [`IntakeTable`] decides who gives way. A body is kept in one buffer, whatever its chunks, and the
//! table takes the buffer of a displaced body back at once; its reader then learns of it. A displaced
//! connection ends with its task.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Body;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use slog::{Logger, info};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::{JoinHandle, yield_now};
use tokio::time::{Instant, sleep};

use crate::decide::intake::{IntakeTable, PlaceId, ProcessLimits};
use crate::held_answer::AnswerLease;
use crate::held_body::{self, BodyBounds, BodyFailure, HeldBody, REQUEST_BYTES};
use crate::metrics::ReasonLabel;
use crate::progress::{StreamWatcher, WatchedStream};

/// Time between two searches for slow heads.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Sweeps between two readings of the memory of the process, and between two log lines.
const SWEEPS_PER_REFIT: u32 = 4;
/// First bytes of an HTTP/2 connection (RFC 9113, 3.4). Its heads are bounded by its own settings.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0";

/// Reasons for which a caller was displaced or found no room.
const DISPLACED_BODY: &str = "body";
const DISPLACED_CONNECTION: &str = "connection";
const SLOW_HEAD: &str = "slow_head";
const NO_ROOM: &str = "no_room";

/// Metrics of the account.
#[derive(Clone, Debug, Default)]
pub struct IntakeMetrics {
    /// Connections of callers that are open.
    pub connections: Gauge,
    /// Bytes that callers make the process hold.
    pub bytes: Gauge,
    /// Most bytes that they may make it hold now.
    pub bytes_max: Gauge,
    /// Callers that were displaced or found no room, by reason.
    pub displaced: Family<ReasonLabel, Counter>,
}

impl IntakeMetrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        let help = "connections of callers in the account of what they hold";
        registry.register("intake_connections", help, self.connections.clone());
        let help = "bytes that callers make the process hold";
        registry.register("intake_bytes", help, self.bytes.clone());
        let help = "most bytes that callers may make the process hold now";
        registry.register("intake_bytes_max", help, self.bytes_max.clone());
        let help = "callers that were displaced or found no room, by reason";
        registry.register("intake_displaced", help, self.displaced.clone());
        // Each reason is there from the start, at zero.
        self.total();
    }

    fn count(&self, reason: &'static str) {
        self.displaced.get_or_create(&ReasonLabel { reason }).inc();
    }

    fn total(&self) -> u64 {
        let reasons = [DISPLACED_BODY, DISPLACED_CONNECTION, SLOW_HEAD, NO_ROOM];
        let counts = reasons
            .iter()
            .map(|reason| self.displaced.get_or_create(&ReasonLabel { reason }).get());
        counts.sum()
    }
}

/// What a place's owner and the table share.
#[derive(Debug, Default)]
pub(crate) struct PlaceSignal {
    is_displaced: AtomicBool,
    displaced: Notify,
    pub(crate) buffer: Mutex<Vec<u8>>,
    head: Mutex<HeadProgress>,
}

/// The head that a connection is sending.
#[derive(Debug, Default)]
struct HeadProgress {
    bytes: usize,
    since: Option<Instant>,
    is_multiplexed: bool,
}

impl PlaceSignal {
    /// Displaces the owner; returns whether it was not before.
    fn displace(&self) -> bool {
        let was_displaced = self.is_displaced.swap(true, Ordering::AcqRel);
        drop(std::mem::take(&mut *lock(&self.buffer)));
        self.displaced.notify_one();
        !was_displaced
    }

    pub(crate) fn is_displaced(&self) -> bool {
        self.is_displaced.load(Ordering::Acquire)
    }

    pub(crate) async fn wait(&self) {
        while !self.is_displaced() {
            self.displaced.notified().await;
        }
    }
}

#[derive(Debug)]
struct IntakeState {
    table: IntakeTable,
    signals: HashMap<PlaceId, Arc<PlaceSignal>>,
    /// Time for a head; slower ones are closed.
    head_time: Duration,
    /// Largest body, in bytes.
    body_max: usize,
}

/// The account of one process.
#[derive(Debug)]
pub struct CallerIntake {
    limits: ProcessLimits,
    state: Mutex<IntakeState>,
    /// A connection was closed.
    freed: Notify,
    opened: Instant,
    metrics: IntakeMetrics,
    sweeper: Mutex<Option<JoinHandle<()>>>,
}

impl Drop for CallerIntake {
    fn drop(&mut self) {
        if let Some(sweeper) = lock(&self.sweeper).take() {
            sweeper.abort();
        }
    }
}

impl CallerIntake {
    /// Opens the account of a process with these limits, of which at most `connections_max` connections
    /// are for callers.
    pub fn open(
        limits: ProcessLimits,
        connections_max: usize,
        metrics: IntakeMetrics,
        logger: &Logger,
    ) -> Arc<CallerIntake> {
        let connections_max = limits.connections().min(connections_max);
        let bytes_max = limits.bytes(resident_bytes().unwrap_or(0), 0, 0);
        metrics.bytes_max.set(gauge(bytes_max));
        info!(logger, "account of callers"; "connections" => connections_max, "bytes" => bytes_max,
            "memory" => limits.memory, "descriptors" => limits.descriptors);
        let state = IntakeState {
            table: IntakeTable::new(connections_max, bytes_max),
            signals: HashMap::new(),
            head_time: Duration::MAX,
            body_max: 0,
        };
        let intake = Arc::new(CallerIntake {
            limits,
            state: Mutex::new(state),
            freed: Notify::new(),
            opened: Instant::now(),
            metrics,
            sweeper: Mutex::new(None),
        });
        let (swept, logger) = (Arc::downgrade(&intake), logger.clone());
        *lock(&intake.sweeper) = Some(tokio::spawn(async move {
            let (mut sweeps, mut told) = (0_u32, 0);
            loop {
                sleep(SWEEP_INTERVAL).await;
                let Some(intake) = swept.upgrade() else { return };
                intake.close_slow_heads();
                sweeps = sweeps.wrapping_add(1);
                if sweeps.is_multiple_of(SWEEPS_PER_REFIT) {
                    intake.refit(&mut told, &logger);
                }
            }
        }));
        intake
    }

    /// Sets the time for a head, from its first byte, and the largest size of a body, in bytes.
    pub fn set_limits(&self, head_time: Duration, body_max: usize) {
        let mut state = self.state();
        state.head_time = head_time;
        if state.body_max != body_max {
            state.body_max = body_max;
            self.fit(&mut state);
        }
    }

    /// Waits for a place for a connection that was accepted; the quietest one gives way.
    pub async fn admit(self: &Arc<Self>, stream: TcpStream) -> CallerStream {
        // Answers are small; a socket that refuses the option still works.
        let _ = stream.set_nodelay(true);
        WatchedStream::new(stream, self.place().await)
    }

    async fn place(self: &Arc<Self>) -> Arc<ConnectionPlace> {
        loop {
            let freed = self.freed.notified();
            if let Some((place, has_displaced)) = self.try_admit() {
                if has_displaced {
                    // Until its task has run, the displaced connection keeps its descriptor.
                    yield_now().await;
                }
                return place;
            }
            freed.await;
        }
    }

    fn try_admit(self: &Arc<Self>) -> Option<(Arc<ConnectionPlace>, bool)> {
        let now = self.now();
        let mut state = self.state();
        let (id, displaced) = state.table.open_connection(now).ok()?;
        if let Some(signal) = displaced.and_then(|id| state.signals.remove(&id)) {
            self.metrics.count(DISPLACED_CONNECTION);
            signal.displace();
        }
        let signal = Arc::new(PlaceSignal::default());
        state.signals.insert(id, signal.clone());
        self.metrics.connections.set(gauge(state.table.connections()));
        let (requests, served) = (AtomicUsize::new(0), AtomicUsize::new(0));
        let place = ConnectionPlace { intake: self.clone(), id, signal, requests, served };
        Some((Arc::new(place), displaced.is_some()))
    }

    pub(crate) fn open_body(&self) -> (PlaceId, Arc<PlaceSignal>) {
        let signal = Arc::new(PlaceSignal::default());
        let mut state = self.state();
        let id = state.table.open_body(self.now());
        state.signals.insert(id, signal.clone());
        (id, signal)
    }

    /// Counts an answer on this connection, which is closed if the answer has to give way.
    fn open_answer(
        self: &Arc<Self>,
        bytes: usize,
        connection: &Arc<PlaceSignal>,
    ) -> Option<AnswerLease> {
        let mut state = self.state();
        let id = state.table.open_body(self.now());
        state.signals.insert(id, connection.clone());
        drop(state);
        let lease = AnswerLease::new(self.clone(), id);
        self.resize(id, bytes).is_ok().then_some(lease)
    }

    /// Counts bytes that were received or sent for a place.
    pub(crate) fn receive(&self, id: PlaceId, bytes: usize) {
        self.state().table.receive(id, bytes, self.now());
    }

    /// Settles a body that is whole; returns whether it is still there and has room as such.
    pub(crate) fn settle(&self, id: PlaceId) -> bool {
        let mut state = self.state();
        let is_there = state.signals.contains_key(&id);
        let is_settled = is_there && state.table.settle(id).is_ok();
        if is_there && !is_settled {
            self.metrics.count(NO_ROOM);
        }
        is_settled
    }

    /// Sets how many bytes a place holds; others give way if there is no room.
    pub(crate) fn resize(&self, id: PlaceId, bytes: usize) -> Result<(), BodyFailure> {
        let mut state = self.state();
        let displaced = state.table.resize(id, bytes).map_err(|_| {
            self.metrics.count(NO_ROOM);
            BodyFailure::Displaced
        })?;
        for id in displaced {
            if let Some(signal) = state.signals.remove(&id) {
                self.metrics.count(DISPLACED_BODY);
                signal.displace();
            }
        }
        self.metrics.bytes.set(gauge(state.table.bytes()));
        Ok(())
    }

    pub(crate) fn remove(&self, id: PlaceId) {
        let mut state = self.state();
        state.table.remove(id);
        state.signals.remove(&id);
        self.metrics.bytes.set(gauge(state.table.bytes()));
        self.metrics.connections.set(gauge(state.table.connections()));
        drop(state);
        self.freed.notify_one();
    }

    fn close_slow_heads(&self) {
        let mut state = self.state();
        let head_time = state.head_time;
        let is_slow = |signal: &PlaceSignal| {
            lock(&signal.head).since.is_some_and(|since| since.elapsed() > head_time)
        };
        let slow: Vec<PlaceId> =
            state.signals.iter().filter(|(_, signal)| is_slow(signal)).map(|(id, _)| *id).collect();
        for id in slow {
            state.table.remove(id);
            // A connection and its answers share a signal.
            if state.signals.remove(&id).is_some_and(|signal| signal.displace()) {
                self.metrics.count(SLOW_HEAD);
            }
        }
    }

    /// Fits the account to what the rest of the process needs, and logs what was displaced.
    fn refit(&self, told: &mut u64, logger: &Logger) {
        let mut state = self.state();
        let (connections, bytes) = (state.table.connections(), state.table.bytes());
        self.fit(&mut state);
        drop(state);
        let total = self.metrics.total();
        if total > *told {
            info!(logger, "callers displaced"; "since" => total - *told,
                "connections" => connections, "bytes" => bytes,
                "bytes_max" => self.metrics.bytes_max.get());
            *told = total;
        }
    }

    fn fit(&self, state: &mut IntakeState) {
        let (held, body_max) = (state.table.bytes(), state.body_max);
        let bytes_max = self.limits.bytes(resident_bytes().unwrap_or(0), held, body_max);
        state.table.set_bytes_max(bytes_max);
        self.metrics.bytes_max.set(gauge(bytes_max));
    }

    fn now(&self) -> u64 {
        crate::clock::millis(self.opened.elapsed())
    }

    fn state(&self) -> MutexGuard<'_, IntakeState> {
        lock(&self.state)
    }
}

/// The place of a connection; given back when dropped.
#[derive(Debug)]
pub struct ConnectionPlace {
    intake: Arc<CallerIntake>,
    id: PlaceId,
    signal: Arc<PlaceSignal>,
    /// Requests whose heads are whole and that are not answered yet.
    requests: AtomicUsize,
    /// Those of them whose bodies are whole.
    served: AtomicUsize,
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        self.intake.remove(self.id);
    }
}

impl ConnectionPlace {
    /// The account that the place belongs to.
    pub fn intake(&self) -> &Arc<CallerIntake> {
        &self.intake
    }

    /// Completes once the connection has to give way.
    pub async fn displaced(&self) {
        self.signal.wait().await;
    }

    /// Begins to serve a request whose head is whole: until the guard is dropped, the connection does
    /// not give way.
    pub fn serve(self: &Arc<Self>) -> ServingGuard {
        self.requests.fetch_add(1, Ordering::AcqRel);
        let mut head = lock(&self.signal.head);
        let had_head = std::mem::take(&mut head.bytes) > 0;
        head.since = None;
        drop(head);
        if had_head {
            // A place that holds less never lacks room.
            let _ = self.intake.resize(self.id, 0);
        }
        let guard = ServingGuard { place: self.clone() };
        guard.resume();
        guard
    }

    /// Counts bytes that the connection has received.
    fn receive(&self, received: &[u8]) {
        let is_idle = self.requests.load(Ordering::Acquire) == 0;
        let held = {
            let mut head = lock(&self.signal.head);
            if head.bytes == 0 && received.starts_with(HTTP2_PREFACE) {
                head.is_multiplexed = true;
            }
            let is_head = is_idle && !head.is_multiplexed;
            if is_head {
                head.bytes += received.len();
                head.since.get_or_insert_with(Instant::now);
            }
            // hyper's buffer doubles as it fills.
            is_head.then(|| head.bytes * 2)
        };
        self.intake.receive(self.id, received.len());
        if let Some(held) = held
            && self.intake.resize(self.id, held).is_err()
        {
            self.intake.remove(self.id);
            self.signal.displace();
        }
    }
}

impl StreamWatcher for ConnectionPlace {
    fn sent(&self, bytes: usize) {
        self.intake.receive(self.id, bytes);
    }

    fn received(&self, bytes: &[u8]) {
        self.receive(bytes);
    }
}

/// The stream of a caller's connection, whose bytes are counted in its place.
pub type CallerStream = WatchedStream<ConnectionPlace>;

/// A request that is being served.
#[derive(Debug)]
pub struct ServingGuard {
    place: Arc<ConnectionPlace>,
}

impl Drop for ServingGuard {
    fn drop(&mut self) {
        self.pause();
        self.place.requests.fetch_sub(1, Ordering::AcqRel);
    }
}

impl ServingGuard {
    /// Reads the request's body into the account; meanwhile the connection may give way. If there is no
    /// room, what made no progress for longest gives way, this body maybe among it.
    ///
    /// # Errors
    /// Why the body is not there; nothing of it is kept.
    pub async fn read_body<B>(&self, body: B, bounds: BodyBounds) -> Result<HeldBody, BodyFailure>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        self.pause();
        let body = held_body::read(&self.place.intake, body, bounds).await;
        self.resume();
        body
    }

    /// Counts the request's answer until it is sent; `None` if there is no room for it.
    pub fn hold_answer(&self, bytes: usize) -> Option<AnswerLease> {
        self.place.intake.open_answer(bytes + REQUEST_BYTES, &self.place.signal)
    }

    fn pause(&self) {
        if self.place.served.fetch_sub(1, Ordering::AcqRel) == 1 {
            let now = self.place.intake.now();
            self.place.intake.state().table.unsettle(self.place.id, now);
        }
    }

    fn resume(&self) {
        self.place.served.fetch_add(1, Ordering::AcqRel);
        // A connection without a body has no bytes for which it could lack room.
        let _ = self.place.intake.state().table.settle(self.place.id);
    }
}

/// Memory that the process has now, in bytes; `None` where the system does not tell.
fn resident_bytes() -> Option<usize> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kb: usize = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kb * 1_024)
}

fn gauge(number: usize) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
