//! A worker: runs tasks until the case says how they end.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Call};
use crate::json::Json;
use crate::record::Record;

/// Longest lease, as the settings say.
pub const HOLD_MAX_MS: u64 = 6_000;
/// Time that a stop takes.
const STOP_TIME: Duration = Duration::from_millis(50);
/// Time in which a task's percent rises to 90.
const PERCENT_TIME_MS: u64 = 60_000;

struct Run {
    run: u32,
    begun: Instant,
}

#[derive(Default)]
struct State {
    fence: u64,
    until_ms: u64,
    running: BTreeMap<String, Run>,
    /// Highest run of each task that was stopped or has ended here.
    over: BTreeMap<String, u32>,
    ended: Vec<(u64, String, u32, &'static str)>,
    last_number: u64,
    noted: u64,
    /// Whether starts are refused as by an unhealthy worker.
    is_shedding: bool,
    /// Starts that were refused for it, by task.
    shed: BTreeMap<String, u32>,
}

/// One life of a worker.
pub struct Worker {
    pub id: String,
    pub machine: String,
    pub rack: String,
    pub address: SocketAddr,
    clock: Instant,
    state: Mutex<State>,
    changed: Condvar,
    has_crashed: AtomicBool,
    record: Arc<Record>,
}

impl Worker {
    /// Starts a worker on a port of its own.
    pub fn open(id: &str, machine: &str, rack: &str, record: &Arc<Record>) -> Arc<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            machine: machine.to_owned(),
            rack: rack.to_owned(),
            address: listener.local_addr().expect("an address"),
            clock: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
            has_crashed: AtomicBool::new(false),
            record: record.clone(),
        });
        let (served, lapsing) = (worker.clone(), worker.clone());
        http::serve(listener, Arc::new(move |call| served.answer(&call)));
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(5));
                lapsing.end_lapsed();
            }
        });
        worker
    }

    fn clock_ms(&self) -> u64 {
        // A worker's clock doesn't begin at 0.
        100_000 + self.clock.elapsed().as_millis() as u64
    }

    fn end_lapsed(&self) {
        let mut state = self.state.lock().unwrap();
        if self.clock_ms() < state.until_ms {
            return;
        }
        let tasks: Vec<String> = state.running.keys().cloned().collect();
        for task in tasks {
            self.end_run(&mut state, &task, "lapsed");
        }
    }

    fn end_run(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else { return };
        state.last_number += 1;
        let number = state.last_number;
        state.ended.push((number, task.to_owned(), run.run, how));
        state.over.insert(task.to_owned(), run.run);
        self.record.line(&format!("worker {}: {task} run {} ended {how}", self.id, run.run));
        self.changed.notify_all();
    }

    /// Has starts refused, or not any more, as by a worker that sheds load.
    pub fn shed(&self, is_shedding: bool) {
        self.state.lock().unwrap().is_shedding = is_shedding;
        self.record.line(&format!("worker {}: refuses starts: {is_shedding}", self.id));
    }

    /// Starts of a task that were refused while it shed load.
    pub fn shed_of(&self, task: &str) -> u32 {
        self.state.lock().unwrap().shed.get(task).copied().unwrap_or(0)
    }

    /// Ends what runs of a task.
    pub fn end_task(&self, task: &str, how: &'static str) {
        self.end_run(&mut self.state.lock().unwrap(), task, how);
    }

    /// The run of a task that is at work here.
    pub fn run_of(&self, task: &str) -> Option<u32> {
        self.state.lock().unwrap().running.get(task).map(|run| run.run)
    }

    /// Crashes: no call is answered any more.
    pub fn crash(&self) {
        self.has_crashed.store(true, Ordering::SeqCst);
        self.record.line(&format!("worker {}: crashed", self.id));
    }

    fn answer(&self, call: &Call) -> Answer {
        if self.has_crashed.load(Ordering::SeqCst) {
            return None;
        }
        if call.method == "GET" {
            return Some((200, b"{}".to_vec()));
        }
        if call.headers.get("expect-instance").is_some_and(|id| *id != self.id) {
            return Some(self.refuse(421, ""));
        }
        let body = Json::parse(&call.text())?;
        let fence = body.number("fence").unwrap_or(0);
        {
            let mut state = self.state.lock().unwrap();
            if fence < state.fence {
                return Some(self.refuse(409, "fence"));
            }
            state.fence = fence;
        }
        match call.path.as_str() {
            "/run-start" => Some(self.start(&body)),
            "/run-stop" => Some(self.stop(&body)),
            "/hold" => Some(self.hold(&body)),
            "/pace" => Some(self.done()),
            _ => Some((404, b"{}".to_vec())),
        }
    }

    fn refuse(&self, status: u16, reason: &str) -> (u16, Vec<u8>) {
        let body = format!("{{\"clock-ms\":{},\"reason\":\"{reason}\"}}", self.clock_ms());
        (status, body.into_bytes())
    }

    fn done(&self) -> (u16, Vec<u8>) {
        (200, format!("{{\"clock-ms\":{}}}", self.clock_ms()).into_bytes())
    }

    fn extend(&self, state: &mut State, until_ms: Option<u64>) {
        let most = self.clock_ms() + HOLD_MAX_MS;
        state.until_ms = state.until_ms.max(until_ms.unwrap_or(0).min(most));
    }

    fn start(&self, body: &Json) -> (u16, Vec<u8>) {
        let (task, run) = (body.text("task"), body.number("run").unwrap_or(0) as u32);
        let mut state = self.state.lock().unwrap();
        if state.running.get(&task).is_some_and(|running| running.run == run) {
            return self.done();
        }
        if state.is_shedding {
            *state.shed.entry(task.clone()).or_default() += 1;
            self.record.line(&format!("worker {}: {task} run {run} refused with 503", self.id));
            return self.refuse(503, "");
        }
        if state.over.get(&task).is_some_and(|over| run <= *over) {
            self.extend(&mut state, body.number("until-ms"));
            return self.refuse(409, "old");
        }
        if body.number("until-ms").unwrap_or(0) <= self.clock_ms() {
            return self.refuse(409, "late");
        }
        self.extend(&mut state, body.number("until-ms"));
        state.running.insert(task.clone(), Run { run, begun: Instant::now() });
        self.record.line(&format!("worker {}: {task} run {run} started", self.id));
        self.done()
    }

    fn stop(&self, body: &Json) -> (u16, Vec<u8>) {
        let (task, run) = (body.text("task"), body.number("run").unwrap_or(0) as u32);
        self.record.line(&format!("worker {}: told to stop {task} run {run}", self.id));
        std::thread::sleep(STOP_TIME);
        let mut state = self.state.lock().unwrap();
        if state.running.get(&task).is_some_and(|running| running.run == run) {
            self.end_run(&mut state, &task, "stopped");
        }
        let over = state.over.entry(task).or_default();
        *over = run.max(*over);
        self.done()
    }

    fn hold(&self, body: &Json) -> (u16, Vec<u8>) {
        let last_seen = body.number("last-seen").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(body.number("wait-ms").unwrap_or(0));
        let mut state = self.state.lock().unwrap();
        self.extend(&mut state, body.number("until-ms"));
        state.ended.retain(|(number, ..)| *number > last_seen);
        if last_seen > state.noted {
            state.noted = last_seen;
            self.record.line(&format!("worker {}: ends up to {last_seen} taken note of", self.id));
        }
        while state.ended.is_empty() && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let running: Vec<String> = state
            .running
            .iter()
            .map(|(task, run)| {
                let percent = run.begun.elapsed().as_millis() as u64 * 90 / PERCENT_TIME_MS;
                format!("[\"{task}\",{},\"\",{},100]", run.run, percent.min(90))
            })
            .collect();
        let ended: Vec<String> = state
            .ended
            .iter()
            .map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"))
            .collect();
        let body = format!(
            "{{\"clock-ms\":{},\"running\":[{}],\"ended\":[{}]}}",
            self.clock_ms(),
            running.join(","),
            ended.join(",")
        );
        (200, body.into_bytes())
    }
}
