//! Plays the cases of the review: stand-ins for the platform, its workers and its clients in this
//! process, the entries of the system as processes of their own, all on loopback addresses.
//!
//! Usage: standin CASE RECORD. Exits with 1 if the rule was broken, with 0 if it held, and with 2 if
//! the case could not run. Without trouble where the variable TROUBLE is 0.

mod case_attempts;
mod case_crashes;
mod case_occurrences;
mod case_removed_queue;
mod case_upkeep;
mod entries;
mod http;
mod json;
mod log;
mod record;
mod site;

use std::collections::{HashMap, HashSet};
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use entries::{Entry, Services};
use json::{Value, number, object, text};
use log::Store;
use record::Record;
use site::Site;

/// Host that clients name, and the prefix of the queue.
pub const HOST: &str = "desk.example";
pub const PREFIX: &str = "/jobs/";
/// Service that the queue uses, and the standby service.
pub const POOL: &str = "desk";
pub const SPARE: &str = "spare";

/// Time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(115);
/// Failed runs after which a task's job has failed.
pub const ATTEMPTS: u64 = 3;

/// What a case found.
pub enum Verdict {
    Held(String),
    Broken(String),
    NotRun(String),
}

/// Connections of the entries to the store.
#[derive(Default)]
struct StoreLinks {
    /// Connection on which each entry waits for what operators write, while it waits.
    waiting: HashMap<usize, u64>,
    /// Connections that are silent.
    silent: HashSet<u64>,
}

/// A small deployment.
pub struct Deployment {
    pub record: Record,
    pub store: Store,
    pub site: Site,
    pub entries: Vec<Entry>,
    links: Arc<Mutex<StoreLinks>>,
    directory: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.entries.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

impl Deployment {
    /// Starts the store, the machines that `add` adds, and this many entries; `None` if they aren't
    /// ready in time.
    pub fn open(record: &Record, entries: u8, add: impl FnOnce(&Site)) -> Option<Deployment> {
        let directory = directory();
        std::fs::create_dir_all(&directory).ok()?;
        let (store, cloud) = (Store::default(), bind()?);
        let cloud_address = cloud.local_addr().ok()?;
        let site = Site::open(&store, record);
        add(&site);
        store.put("keyed.op", "config", &config(7, &[PREFIX]).to_string());
        let serving_site = site.clone();
        http::serve(cloud, move |request| serving_site.answer_cloud(&request));
        let links: Arc<Mutex<StoreLinks>> = Arc::default();
        let mut stores = Vec::new();
        for position in 0..usize::from(entries) {
            let listener = bind()?;
            stores.push(listener.local_addr().ok()?);
            let (store, links) = (store.clone(), links.clone());
            http::serve(listener, move |request| {
                let is_for_operator = request.query.get("topic").is_some_and(|t| t == "keyed.op");
                if is_for_operator {
                    links.lock().unwrap().waiting.insert(position, request.connection);
                }
                let response = store.answer(&request);
                let mut state = links.lock().unwrap();
                if state.silent.contains(&request.connection) {
                    drop(state);
                    std::thread::sleep(Duration::from_secs(60));
                    return None;
                }
                if is_for_operator {
                    state.waiting.remove(&position);
                }
                response
            });
        }
        let entries = (1..=entries).zip(stores).map(|(number, store)| {
            let services = Services { store, cloud: cloud_address };
            Entry::start(number, services, &directory, record)
        });
        let entries = entries.collect();
        let record = record.clone();
        let deployment = Deployment { record, store, site, entries, links, directory };
        let is_up = || {
            deployment.entries.iter().all(Entry::is_ready)
                && deployment.entries.iter().any(Entry::leads)
        };
        if std::env::var_os("KEEP_LOGS").is_some() {
            println!("logs are in {}", deployment.directory.display());
        }
        let up = wait_until(Duration::from_secs(15), is_up);
        up.then_some(deployment)
    }

    /// A client's call, repeated at another entry while there is no response, or one that says to
    /// try again.
    pub fn client(&self, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        self.client_at(0, method, path, body)
    }

    /// The same, first at the entry in this position.
    pub fn client_at(
        &self,
        first: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        for turn in first..first + 8 {
            let entry = &self.entries[turn % self.entries.len()];
            let headers =
                [("host", HOST), ("content-type", "application/json"), ("deadline-ms", "3000")];
            let answer =
                http::call(entry.front, method, path, &headers, body, Duration::from_secs(3));
            let shown =
                answer.as_ref().map_or("no response".to_owned(), |(s, b)| format!("{s} {b}"));
            self.record.line(&format!("client: {method} {path} {body} at {}: {shown}", entry.name));
            match answer {
                Some((status, body)) if !matches!(status, 429 | 502 | 503 | 504) => {
                    return Some((status, body));
                }
                _ => std::thread::sleep(Duration::from_millis(300)),
            }
        }
        None
    }

    /// The open connection on which an entry waits for what operators write goes silent for good; its
    /// others, and new ones, work. Returns false if it does not wait in time.
    pub fn silence(&self, entry: usize) -> bool {
        let is_silent = wait_until(Duration::from_secs(3), || {
            let mut links = self.links.lock().unwrap();
            let Some(connection) = links.waiting.get(&entry).copied() else { return false };
            links.silent.insert(connection)
        });
        let name = &self.entries[entry].name;
        self.record.line(&format!("{name}: its connection for op/config goes silent: {is_silent}"));
        is_silent
    }

    /// State of a job as a client is shown it.
    pub fn state(&self, job: &str) -> Option<String> {
        self.state_at(0, PREFIX, job)
    }

    /// The same for a job of another queue, first at the entry in this position.
    pub fn state_at(&self, first: usize, prefix: &str, job: &str) -> Option<String> {
        let (status, body) = self.client_at(first, "GET", &format!("{prefix}{job}"), "")?;
        if status == 410 {
            return Some("410".to_owned());
        }
        Some(Value::parse(&body)?.text("state"))
    }

    /// Position of the entry that leads.
    pub fn leader(&self) -> Option<usize> {
        self.entries.iter().position(Entry::leads)
    }
}

/// Folder for the entries' settings and output.
fn directory() -> PathBuf {
    std::env::temp_dir().join(format!("review-{}", std::process::id()))
}

/// Ends the process in time. The entries end with it; see `entries.rs`.
fn limit_time(record: &Record) {
    let record = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(TIME_LIMIT);
        record.line("the case could not run: it took too long");
        let _ = std::fs::remove_dir_all(directory());
        std::process::exit(2);
    });
}

fn bind() -> Option<TcpListener> {
    TcpListener::bind("127.0.0.1:0").ok()
}

pub fn wait_until(time: Duration, mut is_so: impl FnMut() -> bool) -> bool {
    let begun = Instant::now();
    while begun.elapsed() < time {
        if is_so() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}

/// A queue for each prefix, all on one service, and the standby service.
pub fn config(version: u64, prefixes: &[&str]) -> Value {
    let service = |name: &str, is_standby: bool| {
        object(vec![
            ("name", text(name)),
            ("health-path", text("/healthz")),
            ("max-conns", number(64)),
            ("admission-check", Value::Bool(true)),
            ("standby", Value::Bool(is_standby)),
        ])
    };
    let route = |prefix: &&str| {
        object(vec![
            ("name", text(&format!("r-{}", prefix.trim_matches('/')))),
            ("host", text(HOST)),
            ("path-prefix", text(prefix)),
            ("kind", text("unsafe")),
            ("timeout-ms", number(3_000)),
            ("slo-ms", number(600)),
            ("priority", number(1)),
            ("service", text(POOL)),
            ("attempts", number(ATTEMPTS)),
            ("stretch", Value::Number(1.6)),
        ])
    };
    object(vec![
        ("version", number(version)),
        ("routes", Value::List(prefixes.iter().map(route).collect())),
        ("services", Value::List(vec![service(POOL, false), service(SPARE, true)])),
        (
            "limits",
            object(vec![
                ("max-header-bytes", number(16_384)),
                ("max-body-bytes", number(262_144)),
                ("header-timeout-ms", number(3_000)),
                ("idle-timeout-ms", number(15_000)),
            ]),
        ),
    ])
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: standin CASE RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(path) else {
        eprintln!("{path} can't be written");
        std::process::exit(2);
    };
    record.line(&format!("case {case}, {} trouble", if has_trouble { "with" } else { "without" }));
    limit_time(&record);
    let verdict = match case.as_str() {
        "attempts" => case_attempts::play(&record, has_trouble),
        "crashes-batch" => case_crashes::play_batch(&record, has_trouble),
        "crashes" => case_crashes::play(&record, has_trouble),
        "occurrences" => case_occurrences::play(&record, has_trouble),
        "removed-queue" => case_removed_queue::play(&record, has_trouble),
        "upkeep" => case_upkeep::play(&record, has_trouble),
        _ => Verdict::NotRun(format!("there is no case {case}")),
    };
    let (code, text) = match verdict {
        Verdict::Held(text) => (0, format!("the rule held: {text}")),
        Verdict::Broken(text) => (1, format!("the rule was broken: {text}")),
        Verdict::NotRun(text) => (2, format!("the case could not run: {text}")),
    };
    record.line(&text);
    println!("{text}");
    std::process::exit(code);
}
