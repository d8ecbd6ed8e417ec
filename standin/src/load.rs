//! An open-loop load generator: requests start on time whether or not earlier ones are answered, so
//! that a slow answer is not hidden by fewer requests.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use ibisweir::error::ResultCode;
use ibisweir::request::{CLASS_HEADER, CODE_HEADER, KEY_HEADER, TIME_LIMIT_HEADER};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use uuid::Uuid;

use crate::worker::{REQUEST_HEADER, WORK_HEADER, WorkerHandle};

/// Longest latency that is told apart, in microseconds.
const LATENCY_MAX_US: u64 = 120_000_000;
/// Time beyond its limit that a caller waits, to see late answers.
const OVERTIME: Duration = Duration::from_secs(2);

/// What is sent.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Requests a second.
    pub rate: f64,
    /// How long.
    pub time: Duration,
    /// Services, drawn evenly.
    pub services: Vec<String>,
    /// Work of a request, in milliseconds; drawn between the two.
    pub work_ms: (u64, u64),
    /// Part of the requests that are not idempotent and carry a key.
    pub keyed: f64,
    /// Part of the requests that are not idempotent and carry none.
    pub unkeyed: f64,
    /// Part of the requests that are batch work.
    pub batch: f64,
    /// Time limit of a request.
    pub limit: Duration,
    /// Tries of a caller with the same key, the first included.
    pub tries: u32,
    /// Whether a caller without a key tries again where its request may have run.
    pub is_blind: bool,
    /// Seed of what is drawn.
    pub seed: u64,
}

impl Default for LoadPlan {
    fn default() -> Self {
        LoadPlan {
            rate: 100.0,
            time: Duration::from_secs(1),
            services: Vec::new(),
            work_ms: (1, 1),
            keyed: 0.0,
            unkeyed: 0.0,
            batch: 0.0,
            limit: Duration::from_secs(2),
            tries: 1,
            is_blind: false,
            seed: 1,
        }
    }
}

/// What a caller got in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CallResult {
    /// The worker's answer, with its status.
    Answered(u16),
    /// A numbered code.
    Code(u16),
    /// The connection broke.
    Broken,
    /// No answer, long after the limit.
    Silent,
}

/// What became of one request or try.
#[derive(Clone, Debug)]
pub struct CallNote {
    /// Its id, as workers note it.
    pub id: String,
    /// Its key.
    pub key: Option<String>,
    /// Whether it may be run twice.
    pub is_idempotent: bool,
    /// When it started, from the start of the load.
    pub started: Duration,
    /// How long it took.
    pub took: Duration,
    /// What the caller got.
    pub result: CallResult,
    /// Whether the answer was another request's.
    pub is_foreign: bool,
}

/// What became of all requests.
#[derive(Debug, Default)]
pub struct LoadReport {
    /// One note a try.
    pub notes: Vec<CallNote>,
}

impl LoadReport {
    /// Tries by result.
    pub fn by_result(&self) -> BTreeMap<CallResult, usize> {
        let mut counts = BTreeMap::new();
        for note in &self.notes {
            *counts.entry(note.result).or_default() += 1;
        }
        counts
    }

    /// Tries with this result.
    pub fn count(&self, is_it: impl Fn(&CallNote) -> bool) -> usize {
        self.notes.iter().filter(|note| is_it(note)).count()
    }

    /// Latencies in microseconds of the tries that `is_it` picks.
    pub fn latencies(&self, is_it: impl Fn(&CallNote) -> bool) -> Histogram<u64> {
        let mut histogram = Histogram::new_with_max(LATENCY_MAX_US, 3)
            .expect("three digits and a fixed maximum are within the library's bounds");
        for note in self.notes.iter().filter(|note| is_it(note)) {
            let us = u64::try_from(note.took.as_micros()).unwrap_or(LATENCY_MAX_US);
            histogram.saturating_record(us.max(1));
        }
        histogram
    }

    /// Promises that the notes break, checked against the workers' own ledgers.
    pub fn broken_promises<'a>(
        &self,
        workers: impl Iterator<Item = &'a WorkerHandle>,
        limit: Duration,
    ) -> BTreeMap<&'static str, usize> {
        let mut started: HashMap<String, u32> = HashMap::new();
        let mut keyed: HashMap<String, u32> = HashMap::new();
        let mut cut = 0;
        for worker in workers {
            let ledger = worker.ledger();
            cut += usize::try_from(ledger.cut).unwrap_or(usize::MAX);
            for (id, runs) in ledger.started {
                *started.entry(id).or_default() += runs;
            }
            for (key, runs) in ledger.keyed {
                *keyed.entry(key).or_default() += runs;
            }
        }
        let not_run = |note: &CallNote| match note.result {
            CallResult::Code(code) => (100..200).contains(&code),
            _ => false,
        };
        BTreeMap::from([
            ("a lost answer", self.count(|note| is_lost(note.result))),
            ("a late answer", self.count(|note| note.took > limit)),
            ("somebody else's answer", self.count(|note| note.is_foreign)),
            (
                "a refusal that says not run, and it ran",
                self.count(|note| not_run(note) && started.contains_key(&note.id)),
            ),
            ("a key run twice", keyed.values().filter(|runs| **runs > 1).count()),
            ("a request cut off by a planned stop", cut),
        ])
    }
}

fn is_lost(result: CallResult) -> bool {
    matches!(result, CallResult::Broken | CallResult::Silent)
}

/// Idle connections to one entry.
#[derive(Debug, Default)]
struct CallerPool {
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
}

impl CallerPool {
    fn lock(&self) -> MutexGuard<'_, Vec<SendRequest<Full<Bytes>>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn connection(&self, address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        loop {
            let idle = self.lock().pop();
            match idle {
                Some(sender) if sender.is_closed() => {}
                Some(sender) => return Some(sender),
                None => break,
            }
        }
        let stream = TcpStream::connect(address).await.ok()?;
        // Small requests wait for nothing; a socket that refuses the option still works.
        let _ = stream.set_nodelay(true);
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(driver);
        Some(sender)
    }

    async fn send(
        &self,
        address: SocketAddr,
        request: &Request<Full<Bytes>>,
    ) -> Option<Response<Bytes>> {
        // An idle connection may close in the moment in which it is used: the message comes back,
        // was never sent, and goes to a new connection, as any HTTP client does.
        for _ in 0..8 {
            let mut sender = self.connection(address).await?;
            match sender.try_send_request(request.clone()).await {
                Ok(response) => return self.whole(response, sender).await,
                Err(mut error) => {
                    error.take_message()?;
                }
            }
        }
        None
    }

    async fn whole(
        &self,
        response: Response<Incoming>,
        sender: SendRequest<Full<Bytes>>,
    ) -> Option<Response<Bytes>> {
        let (head, body) = response.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        self.lock().push(sender);
        Some(Response::from_parts(head, body))
    }
}

/// Entries that callers are sent to; may change while a load runs.
#[derive(Clone, Debug)]
pub struct CallerTargets {
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
}

impl CallerTargets {
    /// These entries.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        CallerTargets { addresses: Arc::new(Mutex::new(addresses)) }
    }

    /// Sends callers to these entries from now on, as the platform's balancer would.
    pub fn set(&self, addresses: Vec<SocketAddr>) {
        *self.addresses.lock().unwrap_or_else(PoisonError::into_inner) = addresses;
    }

    fn pick(&self, random: &mut StdRng) -> SocketAddr {
        let addresses = self.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        *addresses.choose(random).expect("a load has at least one entry")
    }
}

/// One request as it was drawn.
#[derive(Clone, Debug)]
struct DrawnCall {
    id: String,
    service: String,
    work_ms: u64,
    method: Method,
    key: Option<Uuid>,
    is_batch: bool,
}

struct LoadContext {
    plan: LoadPlan,
    targets: CallerTargets,
    pools: Mutex<HashMap<SocketAddr, Arc<CallerPool>>>,
    notes: Mutex<Vec<CallNote>>,
    started: Instant,
}

/// Runs a load to its end.
pub async fn run(plan: LoadPlan, targets: CallerTargets) -> LoadReport {
    let mut random = StdRng::seed_from_u64(plan.seed);
    let started = Instant::now();
    let context = Arc::new(LoadContext {
        plan: plan.clone(),
        targets,
        pools: Mutex::default(),
        notes: Mutex::default(),
        started,
    });
    let mut calls = JoinSet::new();
    let mut at = Duration::ZERO;
    let mut number = 0u64;
    while at < plan.time {
        sleep_until(started + at).await;
        number += 1;
        let call = draw(&plan, number, &mut random);
        let seed = random.random();
        calls.spawn(context.clone().call(call, StdRng::seed_from_u64(seed)));
        // Poisson arrivals.
        let gap = -(1.0 - random.random::<f64>()).ln() / plan.rate;
        at += Duration::from_secs_f64(gap);
        while calls.try_join_next().is_some() {}
    }
    while calls.join_next().await.is_some() {}
    let mut notes = context.notes.lock().unwrap_or_else(PoisonError::into_inner);
    LoadReport { notes: std::mem::take(&mut notes) }
}

fn draw(plan: &LoadPlan, number: u64, random: &mut StdRng) -> DrawnCall {
    let kind: f64 = random.random();
    let (is_keyed, is_unkeyed) = (kind < plan.keyed, kind < plan.keyed + plan.unkeyed);
    let service = plan.services.choose(random).cloned().unwrap_or_default();
    DrawnCall {
        id: format!("{}-{number}", plan.seed),
        service,
        work_ms: random.random_range(plan.work_ms.0..=plan.work_ms.1),
        method: if is_keyed || is_unkeyed { Method::POST } else { Method::GET },
        key: is_keyed.then(Uuid::now_v7),
        is_batch: random.random::<f64>() < plan.batch,
    }
}

impl LoadContext {
    async fn call(self: Arc<Self>, call: DrawnCall, mut random: StdRng) {
        for attempt in 0..self.plan.tries.max(1) {
            let id = format!("{}.{attempt}", call.id);
            let result = self.attempt(&call, &id, &mut random).await;
            let is_final = match result {
                CallResult::Answered(_) => true,
                // A caller without a key must not ask again where it may have run.
                _ => call.key.is_none() && !self.plan.is_blind,
            };
            if is_final {
                return;
            }
            sleep(Duration::from_millis(200)).await;
        }
    }

    async fn attempt(&self, call: &DrawnCall, id: &str, random: &mut StdRng) -> CallResult {
        let address = self.targets.pick(random);
        let request = self.message(call, id, address);
        let pool = self.pool(address);
        let started = Instant::now();
        let patience = self.plan.limit + OVERTIME;
        let answer = timeout(patience, pool.send(address, &request)).await;
        let took = started.elapsed();
        let (result, is_foreign) = match answer {
            Err(_) => (CallResult::Silent, false),
            Ok(None) => (CallResult::Broken, false),
            Ok(Some(answer)) => read(&answer, id),
        };
        let note = CallNote {
            id: id.to_owned(),
            key: call.key.map(|key| key.to_string()),
            is_idempotent: call.method == Method::GET,
            started: started - self.started,
            took,
            result,
            is_foreign,
        };
        self.notes.lock().unwrap_or_else(PoisonError::into_inner).push(note);
        result
    }

    fn message(&self, call: &DrawnCall, id: &str, address: SocketAddr) -> Request<Full<Bytes>> {
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(format!("/{}/run", call.service))
            .header(http::header::HOST, address.to_string())
            .header(REQUEST_HEADER, id)
            .header(WORK_HEADER, call.work_ms)
            .header(CLASS_HEADER, if call.is_batch { "batch" } else { "quick" })
            .header(TIME_LIMIT_HEADER, self.plan.limit.as_millis().to_string());
        if let Some(key) = &call.key {
            request = request.header(KEY_HEADER, key.to_string());
        }
        request.body(Full::default()).expect("every part was written by this module")
    }

    fn pool(&self, address: SocketAddr) -> Arc<CallerPool> {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        pools.entry(address).or_default().clone()
    }
}

fn read(answer: &Response<Bytes>, id: &str) -> (CallResult, bool) {
    let header = |name: &str| answer.headers().get(name).and_then(|value| value.to_str().ok());
    if let Some(code) = header(CODE_HEADER).and_then(|code| code.parse().ok()) {
        return (CallResult::Code(code), false);
    }
    // A key's first run may have been an earlier try of the same caller.
    let base = |id: &str| id.split('.').next().unwrap_or_default().to_owned();
    let is_foreign = header(REQUEST_HEADER).is_some_and(|echo| base(echo) != base(id));
    (CallResult::Answered(answer.status().as_u16()), is_foreign)
}

/// Name of a result for tables.
pub fn result_name(result: CallResult) -> String {
    match result {
        CallResult::Answered(status) => format!("answered {status}"),
        CallResult::Code(number) => {
            let code = ResultCode::ALL.iter().find(|code| code.number() == number);
            code.map_or_else(|| number.to_string(), |code| format!("{number} {}", code.name()))
        }
        CallResult::Broken => "connection broken".to_owned(),
        CallResult::Silent => "no answer".to_owned(),
    }
}
