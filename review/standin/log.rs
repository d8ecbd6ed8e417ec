//! The platform's metadata store: topics of one partition, conditional and numbered appends, reads
//! that wait, the newest record of each key, and a history of 20 s.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Response};
use crate::json::{Value, number, object, text};

/// Time for which records are kept, beside the newest of each key.
const KEEP: Duration = Duration::from_secs(20);
/// Time that an append takes.
const APPEND_TIME: Duration = Duration::from_millis(4);
/// Keys on one page.
const PAGE: usize = 500;
/// Appends of a producer whose responses are given again.
const REPEATS: usize = 5;

#[derive(Default)]
struct Producer {
    epoch: u64,
    next: u64,
    given: VecDeque<(u64, u64, u64)>,
}

#[derive(Default)]
struct Topic {
    first: u64,
    records: VecDeque<(Instant, Vec<u8>)>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    producers: HashMap<String, Producer>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn expire(&mut self) {
        while self.records.front().is_some_and(|(at, _)| at.elapsed() > KEEP) {
            self.records.pop_front();
            self.first += 1;
        }
    }

    fn push(&mut self, record: &[u8], is_keyed: bool) {
        let offset = self.end();
        if is_keyed && let Some((length, rest)) = record.split_first() {
            let (key, value) = rest.split_at(usize::from(*length).min(rest.len()));
            let key = String::from_utf8_lossy(key).into_owned();
            match value.is_empty() {
                true => drop(self.newest.remove(&key)),
                false => drop(self.newest.insert(key, (offset, value.to_vec()))),
            }
        }
        self.records.push_back((Instant::now(), record.to_vec()));
    }
}

/// The store.
#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<(Mutex<HashMap<String, Topic>>, Condvar)>,
}

impl Store {
    /// Writes the newest record of a key, as the operator and the workers do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let record = [&[key.len() as u8], key.as_bytes(), value.as_bytes()].concat();
        self.topics.0.lock().unwrap().entry(topic.to_owned()).or_default().push(&record, true);
        self.topics.1.notify_all();
    }

    /// Newest value of a key.
    pub fn newest_value(&self, topic: &str, key: &str) -> Option<String> {
        let topics = self.topics.0.lock().unwrap();
        let (_, value) = topics.get(topic)?.newest.get(key)?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    pub fn answer(&self, request: &Request) -> Response {
        let name = request.query.get("topic").cloned().unwrap_or_default();
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/log-append") => {
                std::thread::sleep(APPEND_TIME);
                self.append(&name, request)
            }
            ("GET", "/log-read") => self.read(&name, request),
            ("GET", "/log-newest") => self.newest(&name, request),
            _ => Some((404, b"{}".to_vec())),
        }
    }

    fn append(&self, name: &str, request: &Request) -> Response {
        let mut topics = self.topics.0.lock().unwrap();
        let topic = topics.entry(name.to_owned()).or_default();
        let end = topic.end();
        if request.number("at").is_some_and(|at| at != end) {
            return json(412, object(vec![("end", number(end))]));
        }
        let stamp = (request.query.get("producer"), request.number("epoch"), request.number("seq"));
        let stamp = match stamp {
            (Some(producer), Some(epoch), Some(seq)) => Some((producer.clone(), epoch, seq)),
            _ => None,
        };
        if let Some((producer, epoch, seq)) = &stamp {
            let state = topic.producers.entry(producer.clone()).or_default();
            if *epoch < state.epoch {
                return json(409, object(vec![("reason", text("fenced"))]));
            }
            if *epoch > state.epoch {
                *state = Producer { epoch: *epoch, next: *seq, given: VecDeque::new() };
            }
            if let Some((_, offset, end)) = state.given.iter().find(|given| given.0 == *seq) {
                return appended(*offset, *end);
            }
            if *seq != state.next {
                let next = number(state.next);
                return json(409, object(vec![("reason", text("seq")), ("seq", next)]));
            }
        }
        let mut rest = &request.body[..];
        while let Some((length, after)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            topic.push(&after[..length], name.starts_with("keyed."));
            rest = &after[length..];
        }
        let after = topic.end();
        if let Some((producer, _, seq)) = stamp {
            let state = topic.producers.entry(producer).or_default();
            state.next = seq + 1;
            state.given.push_back((seq, end, after));
            if state.given.len() > REPEATS {
                state.given.pop_front();
            }
        }
        self.topics.1.notify_all();
        appended(end, after)
    }

    fn read(&self, name: &str, request: &Request) -> Response {
        let from = request.number("from").unwrap_or(0);
        let wait = Duration::from_millis(request.number("wait-ms").unwrap_or(0).min(30_000));
        let most = request.number("max-kb").unwrap_or(1_024) as usize * 1_024;
        let until = Instant::now() + wait;
        let mut topics = self.topics.0.lock().unwrap();
        loop {
            let topic = topics.entry(name.to_owned()).or_default();
            topic.expire();
            if from < topic.first {
                return json(410, object(vec![("first", number(topic.first))]));
            }
            let left = until.saturating_duration_since(Instant::now());
            if topic.end() > from || left.is_zero() {
                let mut body = Vec::new();
                body.extend_from_slice(&topic.end().to_be_bytes());
                body.extend_from_slice(&topic.first.to_be_bytes());
                for (_, record) in topic.records.iter().skip((from - topic.first) as usize) {
                    if body.len() > 16 && body.len() + record.len() > most {
                        break;
                    }
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return Some((200, body));
            }
            topics = self.topics.1.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, name: &str, request: &Request) -> Response {
        let mut topics = self.topics.0.lock().unwrap();
        let topic = topics.entry(name.to_owned()).or_default();
        let after = request.query.get("after");
        let is_left = |(key, _): &(&String, &(u64, Vec<u8>))| after.is_none_or(|a| *key > a);
        let left: Vec<_> = topic.newest.iter().filter(is_left).collect();
        let item = |(key, (offset, value)): &(&String, &(u64, Vec<u8>))| {
            object(vec![
                ("key", text(key)),
                ("value", Value::Text(base64(value))),
                ("offset", number(*offset)),
            ])
        };
        let items = left.iter().take(PAGE).map(item).collect();
        let more = Value::Bool(left.len() > PAGE);
        let end = number(topic.end());
        json(200, object(vec![("items", Value::List(items)), ("more", more), ("end", end)]))
    }
}

fn appended(offset: u64, end: u64) -> Response {
    json(200, object(vec![("offset", number(offset)), ("end", number(end))]))
}

pub fn json(status: u16, body: Value) -> Response {
    Some((status, body.to_string().into_bytes()))
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut three = [0; 3];
        three[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, three[0], three[1], three[2]]);
        for position in 0..4 {
            let letter = LETTERS[(bits >> (18 - 6 * position) & 63) as usize];
            text.push(if position <= chunk.len() { letter as char } else { '=' });
        }
    }
    text
}
