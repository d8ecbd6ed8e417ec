//! Callers: they hand jobs in through any entry, try again elsewhere, look, and cancel.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, HOST};
use http::{HeaderMap, HeaderValue, Method};
use ibisweir::jobs::model::JobId;
use ibisweir::transport::{ExchangeFailure, HttpCall, HttpTransport};
use rand::Rng;
use rand::rngs::StdRng;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::jobs::ledger::{CallerJob, SubmissionEnd};
use crate::jobs::organisation::{ORGANISATIONS, REVOKE_MS, lasting_key};
use crate::jobs::proxy::LinkFault;
use crate::jobs::site::{CALLER_HOST, JobPlatform, OPEN, POOLS};
use crate::soak::entry::EntryProcess;

/// Time that a caller waits for an answer.
pub(super) const PATIENCE: Duration = Duration::from_secs(3);
/// Tries of one submission.
pub(super) const TRIES: usize = 4;
/// Longest pause of a caller between two things, in milliseconds.
pub(super) const PAUSE_MS: u64 = 250;
/// Longest pause between two calls with a key that was taken away, in milliseconds.
const KEY_GAP_MS: u64 = 120;
/// Time for which an entry sleeps on after a key's time is over, and for which it is cut off after that.
const SLEEP_BEYOND: Duration = Duration::from_millis(700);
const CUT_BEYOND: Duration = Duration::from_millis(300);
/// Pool whose queue needs a key.
const KEYED: &str = POOLS[1];
/// Looks at a job before its caller turns to the next one.
const LOOKS: usize = 4;

/// End of the ids of jobs whose first task crashes its workers: one of 32 in either pool.
const CRASHING: [&str; 8] = ["00", "21", "42", "63", "84", "a5", "c6", "e7"];

/// What a caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Told {
    /// 2xx.
    Done,
    /// Certainly not done.
    Refused,
    /// The job does not exist.
    Gone,
    /// Anything else.
    Unknown,
}

/// The callers of a site. Their connections are kept open, also over the stop of an entry.
#[derive(Debug)]
pub struct CallerGroup {
    pub(super) platform: Arc<JobPlatform>,
    pub(super) entries: Vec<Arc<EntryProcess>>,
    is_over: AtomicBool,
}

impl CallerGroup {
    /// Callers that reach all these entries.
    pub fn new(platform: Arc<JobPlatform>, entries: Vec<Arc<EntryProcess>>) -> CallerGroup {
        CallerGroup { platform, entries, is_over: AtomicBool::new(false) }
    }

    /// Lets each caller finish what it is at.
    pub fn stop(&self) {
        self.is_over.store(true, Ordering::Relaxed);
    }

    /// Whether callers are to finish.
    pub(super) fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    /// One caller, until it is stopped.
    pub async fn call(self: Arc<Self>, mut random: StdRng) {
        let transport = HttpTransport::open();
        while !self.is_over() {
            let id = self.submit(&transport, &mut random).await;
            for _ in 0..LOOKS {
                sleep(Duration::from_millis(random.random_range(0..PAUSE_MS))).await;
                self.look(&transport, id, &mut random).await;
            }
            if random.random_bool(0.15) {
                self.cancel(&transport, id, &mut random).await;
            }
        }
    }

    /// Draws a job that is noted in the ledger, and the body that submits it.
    pub(super) fn draw(
        &self,
        random: &mut StdRng,
        draw_job: impl FnOnce(JobId, &mut StdRng) -> (CallerJob, Value),
    ) -> (JobId, String) {
        let id = loop {
            if let Some(id) = JobId::parse(&format!("{:016x}", random.random::<u64>())) {
                break id;
            }
        };
        let (job, body) = draw_job(id, random);
        self.platform.ledger().jobs.insert(id, job);
        (id, body.to_string())
    }

    async fn submit(&self, transport: &HttpTransport, random: &mut StdRng) -> JobId {
        let (id, body) = self.draw(random, draw_job);
        let mut end = SubmissionEnd::Refused;
        for _ in 0..TRIES {
            match self.send(transport, Method::POST, id, body.clone(), random).await.0 {
                Told::Done => {
                    end = SubmissionEnd::Accepted;
                    break;
                }
                Told::Refused => {}
                Told::Gone | Told::Unknown => end = SubmissionEnd::Unknown,
            }
            sleep(Duration::from_millis(random.random_range(0..PAUSE_MS))).await;
        }
        if let Some(job) = self.platform.ledger().jobs.get_mut(&id) {
            job.end = Some(end);
        }
        id
    }

    pub(super) async fn look(
        &self,
        transport: &HttpTransport,
        id: JobId,
        random: &mut StdRng,
    ) -> String {
        let (told, body) = self.send(transport, Method::GET, id, String::new(), random).await;
        let mut ledger = self.platform.ledger();
        if told == Told::Gone && ledger.is_accepted(id) {
            ledger.faults.push(format!("{id} was accepted and is said not to exist"));
        }
        if told == Told::Gone && ledger.is_withdrawn(id) {
            return "cancelled".to_owned();
        }
        let state = body["state"].as_str().unwrap_or("").to_owned();
        match state.as_str() {
            "completed" => ledger.shown_completed(id),
            "failed" => ledger.shown_failed(id),
            _ => {}
        }
        state
    }

    async fn cancel(&self, transport: &HttpTransport, id: JobId, random: &mut StdRng) {
        if let Some(job) = self.platform.ledger().jobs.get_mut(&id) {
            job.is_cancelled = true;
        }
        for _ in 0..TRIES {
            let told = self.send(transport, Method::DELETE, id, String::new(), random).await.0;
            if matches!(told, Told::Done | Told::Gone) {
                return;
            }
            sleep(Duration::from_millis(PAUSE_MS)).await;
        }
    }

    /// A call about a job to any entry.
    async fn send(
        &self,
        transport: &HttpTransport,
        method: Method,
        id: JobId,
        body: String,
        random: &mut StdRng,
    ) -> (Told, Value) {
        let entry = random.random_range(0..self.entries.len());
        self.send_to(transport, entry, method, id, body, PATIENCE).await
    }

    /// A call about a job to this entry. The ledger notes a cancellation that is told to be done.
    pub(super) async fn send_to(
        &self,
        transport: &HttpTransport,
        entry: usize,
        method: Method,
        id: JobId,
        body: String,
        patience: Duration,
    ) -> (Told, Value) {
        let entry = &self.entries[entry];
        let is_cancellation = method == Method::DELETE;
        let was_accepted = self.platform.ledger().is_accepted(id);
        // The id tells the queue, for every call about the job.
        let pool = if organisation_of(id).is_some() { KEYED } else { OPEN };
        let key = organisation_of(id).map(|number| lasting_key(ORGANISATIONS[number]));
        let call = keyed_call(method, format!("/{pool}/{id}"), key.as_deref(), Bytes::from(body));
        match transport.exchange(entry.callers, call, patience).await {
            Ok(answer) => {
                let told = match answer.status.as_u16() {
                    200..=299 => Told::Done,
                    410 => Told::Gone,
                    404 | 429 | 503 => Told::Refused,
                    _ => Told::Unknown,
                };
                if is_cancellation && matches!(told, Told::Done | Told::Gone) {
                    let by = format!("{} ({})", entry.name, answer.status.as_u16());
                    let mut ledger = self.platform.ledger();
                    ledger.cancelled(id, &by, Instant::now());
                    match (told, was_accepted) {
                        (Told::Gone, true) => {
                            let fault = format!("{id} was accepted and is said not to exist");
                            ledger.faults.push(fault);
                        }
                        (Told::Gone, false) => ledger.withdrawn(id),
                        _ => {}
                    }
                }
                (told, serde_json::from_slice(&answer.body).unwrap_or_default())
            }
            Err(ExchangeFailure::NotSent) => (Told::Refused, Value::Null),
            Err(ExchangeFailure::NoAnswer) => (Told::Unknown, Value::Null),
        }
    }

    /// Gives a key out, takes it away after `lasting`, and goes on with it on every entry for longer than it may be
    /// served anywhere. One entry stands still as the key is taken away, and wakes when its time is over, cut off from
    /// the log: what it knew when it fell asleep must not count any more.
    pub async fn outlast_key(&self, organisation: usize, lasting: Duration, seed: u64) {
        let transport = HttpTransport::open();
        let mut random: StdRng = rand::SeedableRng::seed_from_u64(seed);
        let key = self.platform.issue_key(organisation);
        sleep(lasting).await;
        let bound = Duration::from_millis(REVOKE_MS);
        let sleeper = self.entries[random.random_range(0..self.entries.len())].clone();
        sleeper.log_link.set(LinkFault::Cut);
        sleeper.signal("-STOP").await;
        self.platform.revoke_key(&key);
        let revoked = Instant::now();
        let woken = sleeper.clone();
        let waking = tokio::spawn(async move {
            sleep(bound + SLEEP_BEYOND).await;
            woken.signal("-CONT").await;
            sleep(CUT_BEYOND).await;
            woken.log_link.set(LinkFault::None);
        });
        while revoked.elapsed() < bound * 3 {
            let any = &self.entries[random.random_range(0..self.entries.len())];
            let is_over = revoked.elapsed() > bound;
            let entry = if is_over && !waking.is_finished() { &sleeper } else { any };
            let late = revoked.elapsed().checked_sub(bound);
            let call = self.late_submission(organisation, &key, &mut random);
            let answer = transport.exchange(entry.callers, call, PATIENCE).await;
            let is_served = answer.is_ok_and(|answer| answer.status.is_success());
            if let Some(late) = late.filter(|_| is_served) {
                let fault = format!("{} serves a key {late:?} after it may", entry.name);
                self.platform.ledger().faults.push(fault);
                return;
            }
            sleep(Duration::from_millis(random.random_range(5..KEY_GAP_MS))).await;
        }
    }

    /// A small job handed in with this key: the leader stores it also for entries that the log does not answer.
    fn late_submission(&self, organisation: usize, key: &str, random: &mut StdRng) -> HttpCall {
        let id = loop {
            let id = JobId::parse(&format!("{:016x}", random.random::<u64>()));
            if let Some(id) = id.filter(|id| organisation_of(*id) == Some(organisation)) {
                break id;
            }
        };
        let payload = "work=30 cpu=500".to_owned();
        let steps = json!([{ "count": 1, "cpu": 500, "mem-mb": 64, "est-ms": 30 }]);
        let body = json!({ "spec": payload, "steps": steps });
        let job = CallerJob {
            payload,
            steps: vec![1],
            end: None,
            is_cancelled: false,
            lasts: false,
            may_fail: false,
            organisation: Some(organisation),
        };
        self.platform.ledger().jobs.insert(id, job);
        let path = format!("/{KEYED}/{id}");
        keyed_call(Method::POST, path, Some(key), Bytes::from(body.to_string()))
    }

    /// Cancels all jobs whose tasks last, and those whose cancellation has not been confirmed.
    pub async fn cancel_lasting(&self) {
        let transport = HttpTransport::open();
        let mut random = rand::SeedableRng::seed_from_u64(0);
        let ids: Vec<JobId> = {
            let ledger = self.platform.ledger();
            let wanted = ledger.jobs.iter().filter(|(_, job)| job.lasts || job.is_cancelled);
            wanted.map(|(id, _)| *id).collect()
        };
        for id in ids {
            self.cancel(&transport, id, &mut random).await;
        }
    }

    /// Accepted jobs that are not over, and their state.
    pub async fn open_jobs(&self) -> Vec<(JobId, String)> {
        let transport = HttpTransport::open();
        let mut random = rand::SeedableRng::seed_from_u64(0);
        let ids: Vec<(JobId, bool)> = {
            let ledger = self.platform.ledger();
            let accepted = |end: Option<SubmissionEnd>| end == Some(SubmissionEnd::Accepted);
            let own = ledger.jobs.iter().filter(|(_, job)| accepted(job.end));
            own.map(|(id, job)| (*id, job.is_cancelled)).collect()
        };
        let mut open = Vec::new();
        for (id, is_cancelled) in ids {
            let state = self.look(&transport, id, &mut random).await;
            let is_over = matches!(state.as_str(), "completed" | "failed" | "cancelled");
            if !is_over {
                open.push((id, state));
                if is_cancelled {
                    self.cancel(&transport, id, &mut random).await;
                }
            }
        }
        open
    }
}

/// Organisation of a job by its id; none on the queue that is open to all.
pub(super) fn organisation_of(id: JobId) -> Option<usize> {
    let id = id.to_string();
    let is_keyed = id.ends_with(['0', '2', '4', '6', '8', 'a', 'c', 'e']);
    is_keyed.then(|| usize::from(id.starts_with(['0', '1', '2', '3', '4', '5', '6', '7'])))
}

/// A call of a caller with a key, or without one.
fn keyed_call(method: Method, path: String, key: Option<&str>, body: Bytes) -> HttpCall {
    let mut headers = HeaderMap::new();
    headers.insert("deadline-ms", HeaderValue::from_static("3000"));
    headers.insert(HOST, HeaderValue::from_static(CALLER_HOST));
    let shown = key.and_then(|key| HeaderValue::from_str(&format!("Token {key}")).ok());
    if let Some(shown) = shown {
        headers.insert(AUTHORIZATION, shown);
    }
    HttpCall { method, path, headers, body }
}

/// A job of one or two steps; now and then one that lasts, one that always fails, and, by its id, one whose first
/// task crashes its workers.
fn draw_job(id: JobId, random: &mut StdRng) -> (CallerJob, Value) {
    let lasts = random.random_bool(0.08);
    let fails = !lasts && random.random_bool(0.06);
    let (work, cpu) = (random.random_range(30..400), random.random_range(500..3_000));
    let mut payload = format!("work={work} cpu={cpu}");
    if lasts {
        payload.push_str(" lasts");
    }
    if fails {
        payload.push_str(" fails");
    }
    let crashes = CRASHING.iter().any(|end| id.to_string().ends_with(end));
    if crashes {
        payload.push_str(" crashes");
    }
    let may_fail = fails || crashes;
    let count = if lasts { 1 } else { random.random_range(1..3) };
    let steps: Vec<u32> = (0..count).map(|_| random.random_range(1..5)).collect();
    let bodies: Vec<Value> = steps
        .iter()
        .enumerate()
        .map(|(position, tasks)| {
            let after: Vec<usize> = (0..position).collect();
            json!({
                "count": tasks, "cpu": cpu, "mem-mb": 256, "est-ms": work, "after": after,
                "long-running": lasts, "may-miss": u32::from(lasts),
            })
        })
        .collect();
    let body = json!({ "spec": payload, "steps": bodies });
    (
        CallerJob {
            payload,
            steps,
            end: None,
            is_cancelled: false,
            lasts,
            may_fail,
            organisation: organisation_of(id),
        },
        body,
    )
}
