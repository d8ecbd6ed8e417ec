//! The platform's store and its list of machines.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{Answer, Call};

/// Time that an append takes.
const APPEND_TIME: Duration = Duration::from_millis(4);
/// Repeats of appends that get their first response again.
const KEPT_APPENDS: usize = 5;

#[derive(Default)]
struct Producer {
    epoch: u64,
    last: Option<u64>,
    answers: VecDeque<(u64, Vec<u8>)>,
}

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    producers: HashMap<String, Producer>,
}

/// The store; it keeps all records.
#[derive(Default)]
pub struct Store {
    topics: Mutex<HashMap<String, Topic>>,
    changed: Condvar,
    /// Body of the list of machines.
    pub machines: Mutex<String>,
}

impl Store {
    fn topics(&self) -> MutexGuard<'_, HashMap<String, Topic>> {
        self.topics.lock().unwrap()
    }

    /// Writes a record of a keyed topic, as the operator and the workers do.
    pub fn write(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.topics().entry(topic.to_owned()).or_default().records.push(record);
        self.changed.notify_all();
    }

    /// Answers a call.
    pub fn answer(&self, call: &Call) -> Answer {
        let topic = call.query.get("topic").cloned().unwrap_or_default();
        match call.path.as_str() {
            "/log-append" => Some(self.append(&topic, call)),
            "/log-read" => Some(self.read(&topic, call)),
            "/log-newest" => Some(self.newest(&topic, call)),
            "/log-trim" => Some((200, b"{}".to_vec())),
            _ => Some((404, b"{}".to_vec())),
        }
    }

    fn append(&self, topic: &str, call: &Call) -> (u16, Vec<u8>) {
        std::thread::sleep(APPEND_TIME);
        if topic == "keyed.op" || topic == "keyed.servers" {
            return (403, b"{}".to_vec());
        }
        let mut topics = self.topics();
        let topic = topics.entry(topic.to_owned()).or_default();
        let end = topic.records.len();
        if call.query.contains_key("at") && call.number("at") != end as u64 {
            return (412, format!("{{\"end\":{end}}}").into_bytes());
        }
        let (epoch, seq) = (call.number("epoch"), call.number("seq"));
        if let Some(name) = call.query.get("producer") {
            let producer = topic.producers.entry(name.clone()).or_default();
            if epoch < producer.epoch {
                return (409, b"{\"reason\":\"fenced\"}".to_vec());
            }
            if epoch == producer.epoch {
                if let Some((_, answer)) = producer.answers.iter().find(|(kept, _)| *kept == seq) {
                    return (200, answer.clone());
                }
                if let Some(last) = producer.last.filter(|last| seq != last + 1) {
                    let body = format!("{{\"reason\":\"seq\",\"seq\":{}}}", last + 1);
                    return (409, body.into_bytes());
                }
            }
        }
        let mut rest = &call.body[..];
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            topic.records.push(rest[4..4 + length].to_vec());
            rest = &rest[4 + length..];
        }
        let answer = format!("{{\"offset\":{end},\"end\":{}}}", topic.records.len()).into_bytes();
        if let Some(name) = call.query.get("producer") {
            let producer = topic.producers.entry(name.clone()).or_default();
            if epoch > producer.epoch {
                *producer = Producer { epoch, ..Producer::default() };
            }
            producer.last = Some(seq);
            producer.answers.push_back((seq, answer.clone()));
            if producer.answers.len() > KEPT_APPENDS {
                producer.answers.pop_front();
            }
        }
        self.changed.notify_all();
        (200, answer)
    }

    fn read(&self, topic: &str, call: &Call) -> (u16, Vec<u8>) {
        let (from, wait) = (call.number("from") as usize, call.number("wait-ms").min(30_000));
        let until = Instant::now() + Duration::from_millis(wait);
        let bytes_max = match call.number("max-kb") {
            0 => 1 << 20,
            kb => (kb as usize) << 10,
        };
        let mut topics = self.topics();
        loop {
            let has_more = topics.get(topic).is_some_and(|topic| topic.records.len() > from);
            let left = until.saturating_duration_since(Instant::now());
            if has_more || left.is_zero() {
                break;
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
        let topic = topics.entry(topic.to_owned()).or_default();
        let mut body = (topic.records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0u64.to_be_bytes());
        for record in topic.records.iter().skip(from) {
            if body.len() > 16 && body.len() + record.len() > bytes_max {
                break;
            }
            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
            body.extend_from_slice(record);
        }
        (200, body)
    }

    fn newest(&self, topic: &str, call: &Call) -> (u16, Vec<u8>) {
        let mut topics = self.topics();
        let topic = topics.entry(topic.to_owned()).or_default();
        let mut newest: BTreeMap<String, (usize, &[u8])> = BTreeMap::new();
        for (offset, record) in topic.records.iter().enumerate() {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            let value = &record[1 + length..];
            if value.is_empty() {
                newest.remove(&key);
            } else {
                newest.insert(key, (offset, value));
            }
        }
        let after = call.query.get("after").cloned().unwrap_or_default();
        let items: Vec<String> = newest
            .iter()
            .filter(|(key, _)| **key > after)
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let more = items.len() > 500;
        let items = items[..items.len().min(500)].join(",");
        let end = topic.records.len();
        (200, format!("{{\"items\":[{items}],\"more\":{more},\"end\":{end}}}").into_bytes())
    }

    /// Answers a call to the service of machines: only the list is of use where there is one pool.
    pub fn answer_machines(&self, call: &Call) -> Answer {
        match call.path.as_str() {
            "/machines" => Some((200, self.machines.lock().unwrap().clone().into_bytes())),
            _ => Some((400, b"{}".to_vec())),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0u32, |group, byte| group << 8 | u32::from(*byte));
        let group = group << (8 * (3 - chunk.len()));
        for place in 0..4 {
            match place <= chunk.len() {
                true => text.push(LETTERS[(group >> (18 - 6 * place)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}
