//! The platform's log: topics of records, the newest of each key, writers with epochs, conditions, and
//! a short history.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::Method;
use rand::Rng;
use serde_json::json as value;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::jobs::http::{AskedCall, GivenAnswer, json, raw, serve};

/// Records of a topic that are kept beside the newest of each key: a few seconds' worth.
pub const HISTORY: usize = 400;
/// Appends of a writer whose answers are given again.
const REPEATS: usize = 5;
/// Keys on one page, and bytes of their values.
const PAGE: usize = 50;
const PAGE_BYTES: usize = 1 << 20;
/// Largest read where the call names none, in KB.
const READ_KB_MAX: usize = 1_024;
/// Time after which a lost append is carried out at most, in milliseconds.
const LATE_MS: u64 = 3_000;

/// Time after which an append is answered late, and after which one without an answer is done late, in milliseconds.
const ANSWER_MS: std::ops::Range<u64> = 300..2_500;
const DELAYED_MS: std::ops::Range<u64> = 1_000..6_000;

/// What the log does wrong.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogFaults {
    /// Nothing is done; answered with 503, or not at all.
    pub is_down: bool,
    /// While it is down nothing is answered.
    pub is_silent: bool,
    /// Added to each answer.
    pub delay: Duration,
    /// Appends in a hundred that are carried out, at once or later, without an answer.
    pub lost_percent: u32,
    /// Appends in a hundred that are done at once and answered late, or done seconds later without an answer.
    pub late_percent: u32,
}

#[derive(Debug, Default)]
struct WriterState {
    epoch: u64,
    next: u64,
    given: VecDeque<(u64, u64, u64)>,
}

#[derive(Debug, Default)]
struct TopicState {
    first: u64,
    records: VecDeque<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    writers: HashMap<String, WriterState>,
}

impl TopicState {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn push(&mut self, record: &[u8], is_keyed: bool, history: usize) {
        let offset = self.end();
        if let (true, Some((key, value))) = (is_keyed, split(record)) {
            match value.is_empty() {
                true => drop(self.newest.remove(&key)),
                false => drop(self.newest.insert(key, (offset, value.to_vec()))),
            }
        }
        self.records.push_back(record.to_vec());
        if self.records.len() > history {
            self.records.pop_front();
            self.first += 1;
        }
    }
}

fn split(record: &[u8]) -> Option<(String, &[u8])> {
    let length = usize::from(*record.first()?);
    let key = String::from_utf8_lossy(record.get(1..=length)?).into_owned();
    Some((key, record.get(1 + length..)?))
}

#[derive(Debug)]
struct LogShared {
    topics: Mutex<HashMap<String, TopicState>>,
    faults: Mutex<LogFaults>,
    appended: watch::Sender<u64>,
    /// Records of a topic that are kept beside the newest of each key.
    history: usize,
}

/// A running log; stops when dropped.
#[derive(Debug)]
pub struct LogStandin {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<LogShared>,
    server: JoinHandle<()>,
}

impl Drop for LogStandin {
    fn drop(&mut self) {
        self.server.abort();
    }
}

impl LogStandin {
    /// Binds a port that the system chooses.
    pub async fn open() -> std::io::Result<LogStandin> {
        LogStandin::open_with_history(HISTORY).await
    }

    /// The same, keeping this many records of a topic beside the newest of each key.
    pub async fn open_with_history(history: usize) -> std::io::Result<LogStandin> {
        let listener = TcpListener::bind(crate::site::LOOPBACK).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(LogShared {
            topics: Mutex::default(),
            faults: Mutex::default(),
            appended: watch::Sender::new(0),
            history,
        });
        let serving = shared.clone();
        let server = tokio::spawn(serve(listener, move |call| answer(serving.clone(), call)));
        Ok(LogStandin { address, shared, server })
    }

    /// Switches faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut LogFaults)) {
        change(&mut self.shared.faults.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Writes the newest record of a key, as the platform itself does; an empty value drops it.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![u8::try_from(key.len()).unwrap_or(u8::MAX)];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let history = self.shared.history;
        self.shared.topics().entry(topic.to_owned()).or_default().push(&record, true, history);
        self.shared.appended.send_modify(|count| *count += 1);
    }

    /// Value of a key's newest record.
    pub fn newest(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        Some(self.shared.topics().get(topic)?.newest.get(key)?.1.clone())
    }
}

impl LogShared {
    fn topics(&self) -> MutexGuard<'_, HashMap<String, TopicState>> {
        self.topics.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn faults(&self) -> LogFaults {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn answer(shared: Arc<LogShared>, call: AskedCall) -> GivenAnswer {
    let faults = shared.faults();
    sleep(faults.delay).await;
    if faults.is_down {
        return if faults.is_silent { None } else { json(503, &value!({})) };
    }
    match (&call.method, call.path.as_str()) {
        (&Method::POST, "/log-append")
            if rand::rng().random_range(0..100) < faults.late_percent =>
        {
            append_late(shared, call).await
        }
        (&Method::POST, "/log-append") => {
            let is_lost = rand::rng().random_range(0..100) < faults.lost_percent;
            if !is_lost {
                return append(&shared, &call);
            }
            // Carried out at once or seconds later; the connection says no more.
            let late = Duration::from_millis(rand::rng().random_range(0..LATE_MS));
            tokio::spawn(async move {
                if rand::rng().random_bool(0.5) {
                    sleep(late).await;
                }
                drop(append(&shared, &call));
            });
            None
        }
        (&Method::GET, "/log-read") => read(&shared, &call).await,
        (&Method::GET, "/log-newest") => newest(&shared, &call),
        _ => json(404, &value!({})),
    }
}

/// Does an append at once and answers it late, or does it late without an answer.
async fn append_late(shared: Arc<LogShared>, call: AskedCall) -> GivenAnswer {
    if rand::rng().random_bool(0.5) {
        let given = append(&shared, &call);
        let wait = Duration::from_millis(rand::rng().random_range(ANSWER_MS));
        sleep(wait).await;
        return given;
    }
    let wait = Duration::from_millis(rand::rng().random_range(DELAYED_MS));
    tokio::spawn(async move {
        sleep(wait).await;
        drop(append(&shared, &call));
    });
    None
}

fn append(shared: &LogShared, call: &AskedCall) -> GivenAnswer {
    let name = call.query.get("topic")?;
    let mut topics = shared.topics();
    let topic = topics.entry(name.clone()).or_default();
    let end = topic.end();
    if call.number("at").is_some_and(|at| at != end) {
        return json(412, &value!({ "end": end }));
    }
    let stamp = (call.query.get("producer"), call.number("epoch"), call.number("seq"));
    if let (Some(writer), Some(epoch), Some(sequence)) = stamp {
        let state = topic.writers.entry(writer.clone()).or_default();
        if epoch < state.epoch {
            return json(409, &value!({ "reason": "fenced" }));
        }
        if epoch > state.epoch {
            *state = WriterState { epoch, next: sequence, given: VecDeque::new() };
        }
        if let Some((_, offset, end)) = state.given.iter().find(|given| given.0 == sequence) {
            return json(200, &value!({ "offset": offset, "end": end }));
        }
        if sequence != state.next {
            return json(409, &value!({ "reason": "seq", "seq": state.next }));
        }
    }
    let mut rest = &call.body[..];
    while let Some((length, after)) = rest.split_first_chunk::<4>() {
        let length = usize::try_from(u32::from_be_bytes(*length)).ok()?;
        topic.push(after.get(..length)?, name.starts_with("keyed."), shared.history);
        rest = &after[length..];
    }
    let after = topic.end();
    if let (Some(writer), Some(_), Some(sequence)) = stamp {
        let state = topic.writers.entry(writer.clone()).or_default();
        state.next = sequence + 1;
        state.given.push_back((sequence, end, after));
        if state.given.len() > REPEATS {
            state.given.pop_front();
        }
    }
    drop(topics);
    shared.appended.send_modify(|count| *count += 1);
    json(200, &value!({ "offset": end, "end": after }))
}

async fn read(shared: &LogShared, call: &AskedCall) -> GivenAnswer {
    let (name, from) = (call.query.get("topic")?, call.number("from")?);
    let wait = Duration::from_millis(call.number("wait-ms").unwrap_or(0));
    let mut appended = shared.appended.subscribe();
    let has_news = async {
        while shared.topics().get(name).is_none_or(|topic| topic.end() <= from) {
            if appended.changed().await.is_err() {
                return;
            }
        }
    };
    // Either ends the wait.
    let _ = timeout(wait, has_news).await;
    let topics = shared.topics();
    let Some(topic) = topics.get(name) else { return json(404, &value!({})) };
    if from < topic.first {
        return json(410, &value!({ "first": topic.first }));
    }
    let mut body = Vec::new();
    body.extend_from_slice(&topic.end().to_be_bytes());
    body.extend_from_slice(&topic.first.to_be_bytes());
    let skip = usize::try_from(from - topic.first).ok()?;
    let kb_max: usize =
        call.query.get("max-kb").and_then(|text| text.parse().ok()).unwrap_or(READ_KB_MAX);
    let head = body.len();
    for record in topic.records.iter().skip(skip) {
        // A record that is larger is read all the same.
        if body.len() > head && body.len() + record.len() > kb_max * 1_024 {
            break;
        }
        body.extend_from_slice(&u32::try_from(record.len()).ok()?.to_be_bytes());
        body.extend_from_slice(record);
    }
    raw(200, Bytes::from(body))
}

fn newest(shared: &LogShared, call: &AskedCall) -> GivenAnswer {
    let topics = shared.topics();
    let Some(topic) = topics.get(call.query.get("topic")?) else { return json(404, &value!({})) };
    let after = call.query.get("after");
    let left: Vec<_> =
        topic.newest.iter().filter(|(key, _)| after.is_none_or(|after| *key > after)).collect();
    let mut bytes = 0;
    let items: Vec<_> = left
        .iter()
        .take(PAGE)
        .take_while(|(_, (_, value))| {
            let is_first = bytes == 0;
            bytes += value.len();
            is_first || bytes <= PAGE_BYTES
        })
        .map(|(key, (offset, bytes))| {
            value!({ "key": key, "value": STANDARD.encode(bytes), "offset": offset })
        })
        .collect();
    json(200, &value!({ "items": items, "more": left.len() > items.len(), "end": topic.end() }))
}
