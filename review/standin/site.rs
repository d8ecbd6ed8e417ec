//! Workers and machines of a site, and the service that lists, moves and maintains machines.
//!
//! A task runs for the milliseconds that its job's `spec` names after `ms=`, and ends `done`; its first
//! run ends `failed` if the `spec` begins with `fails-once`. If it begins with `lasts`, the task is at
//! work, at 100 percent, from that time on until it is stopped.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Response, serve};
use crate::json::{Value, number, object, text};
use crate::log::{Store, json};
use crate::record::Record;

/// Longest lease of a worker (`max-hold-ms`) and time of a stop, in milliseconds.
pub const MAX_HOLD_MS: u64 = 6_000;
/// Time that a machine is away for a move and for its upkeep.
const MOVE_TIME: Duration = Duration::from_millis(1_500);
pub const UPKEEP_TIME: Duration = Duration::from_millis(2_000);
/// Ends listed in one response.
const ENDS_MAX: usize = 500;

struct Run {
    task: String,
    run: u64,
    begun: Instant,
    length: Duration,
    /// Time after which its percent is 100.
    percent_ms: u64,
    how: &'static str,
    /// Its place in the history.
    span: usize,
}

/// A run from its start to its end, if it has ended.
#[derive(Clone, Debug)]
pub struct Span {
    pub task: String,
    /// When it is at work, if it has not ended before.
    pub at_work: Instant,
    pub ended: Option<Ended>,
}

/// How and when a run ended, and the order among the ends.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    pub at: Instant,
    pub how: &'static str,
    pub order: usize,
}

#[derive(Default)]
struct History {
    spans: Vec<Span>,
    ends: usize,
}

impl History {
    fn begin(&mut self, task: &str, startup: Duration) -> usize {
        let at_work = Instant::now() + startup;
        self.spans.push(Span { task: task.to_owned(), at_work, ended: None });
        self.spans.len() - 1
    }

    fn end(&mut self, span: usize, how: &'static str) {
        self.ends += 1;
        self.spans[span].ended = Some(Ended { at: Instant::now(), how, order: self.ends });
    }
}

/// One life of a worker.
struct Life {
    id: String,
    begun: Instant,
    fence: u64,
    lease_ms: u64,
    running: Vec<Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    /// Highest run of each task that was stopped or has ended here.
    past: BTreeMap<String, u64>,
    next_end: u64,
    history: Arc<Mutex<History>>,
}

impl Life {
    fn new(id: String, history: Arc<Mutex<History>>) -> Life {
        Life {
            history,
            id,
            begun: Instant::now(),
            fence: 0,
            lease_ms: 0,
            running: Vec::new(),
            ended: Vec::new(),
            past: BTreeMap::new(),
            next_end: 1,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    fn end(&mut self, position: usize, how: &'static str, record: &Record) {
        let run = self.running.remove(position);
        record.line(&format!("worker {}: {} run {} ends {how}", self.id, run.task, run.run));
        self.history.lock().unwrap().end(run.span, how);
        self.past.insert(run.task.clone(), run.run);
        self.ended.push((self.next_end, run.task, run.run, how));
        self.next_end += 1;
    }
}

impl Drop for Life {
    /// What runs on a worker ends with it.
    fn drop(&mut self) {
        let mut history = self.history.lock().unwrap();
        self.running.iter().for_each(|run| history.end(run.span, "lost"));
    }
}

struct Machine {
    name: String,
    address: SocketAddr,
    pool: String,
    state: &'static str,
    capacity_cpu: u64,
    fence: u64,
    maintained: BTreeSet<u64>,
    life: Option<Life>,
    lives: u32,
    seq: u64,
}

struct SiteState {
    machines: Vec<Machine>,
    /// Machines that are down for a wave, by wave.
    down: BTreeMap<u64, usize>,
    caps: BTreeMap<u64, usize>,
}

/// What the cloud service does with the next upkeep call.
pub type UpkeepRule = Arc<dyn Fn(&str, &str) -> Option<Duration> + Send + Sync>;

/// The machines, their workers and the service for them.
#[derive(Clone)]
pub struct Site {
    state: Arc<(Mutex<SiteState>, Condvar)>,
    store: Store,
    record: Record,
    history: Arc<Mutex<History>>,
    /// Set if an upkeep began while `cap` machines of its wave were down.
    pub over_cap: Arc<Mutex<Vec<String>>>,
    /// Delay of an upkeep call, by holder and machine: it gets no response and is done later.
    pub late_upkeep: Arc<Mutex<Option<UpkeepRule>>>,
}

impl Site {
    pub fn open(store: &Store, record: &Record) -> Site {
        let state =
            SiteState { machines: Vec::new(), down: BTreeMap::new(), caps: BTreeMap::new() };
        let site = Site {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            store: store.clone(),
            record: record.clone(),
            history: Arc::default(),
            over_cap: Arc::default(),
            late_upkeep: Arc::default(),
        };
        let clocked = site.clone();
        std::thread::spawn(move || clocked.run_clock());
        site
    }

    /// Adds a machine with a worker in a pool; without one in the standby pool.
    pub fn add_machine(&self, name: &str, pool: &str, capacity_cpu: u64, is_off: bool) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let mut state = self.state.0.lock().unwrap();
        let position = state.machines.len();
        state.machines.push(Machine {
            name: name.to_owned(),
            address,
            pool: pool.to_owned(),
            state: "up",
            capacity_cpu,
            fence: 0,
            maintained: BTreeSet::new(),
            life: None,
            lives: 0,
            seq: 0,
        });
        if !is_off {
            self.begin_life(&mut state.machines[position]);
        }
        let site = self.clone();
        serve(listener, move |request| site.answer_worker(position, &request));
    }

    fn begin_life(&self, machine: &mut Machine) {
        machine.lives += 1;
        let id = format!("i-{}-{}", machine.name, machine.lives);
        self.record.line(&format!("worker {id} begins in pool {}", machine.pool));
        machine.life = Some(Life::new(id, self.history.clone()));
        self.beat(machine);
    }

    fn beat(&self, machine: &mut Machine) {
        machine.seq += 1;
        let Some(life) = &machine.life else { return };
        let entry = object(vec![
            ("service", text(&machine.pool)),
            ("addr", text(&machine.address.to_string())),
            ("zone", text("z1")),
            ("version", text("v1")),
            ("slots", number(8)),
            ("state", text("ready")),
            ("cold-left-ms", number(0)),
            ("capacity", capacity(machine.capacity_cpu)),
            ("labels", Value::List(vec![text("a"), text("r1-1")])),
            ("clock-ms", number(life.clock_ms())),
            ("seq", number(machine.seq)),
        ]);
        self.store.put("keyed.servers", &life.id, &entry.to_string());
    }

    /// Ends runs that are over and leases that have run out; reports workers every 1.5 s.
    fn run_clock(&self) {
        let mut beaten = Instant::now();
        loop {
            std::thread::sleep(Duration::from_millis(5));
            let mut state = self.state.0.lock().unwrap();
            let is_due = beaten.elapsed() > Duration::from_millis(1_500);
            if is_due {
                beaten = Instant::now();
            }
            for machine in &mut state.machines {
                if is_due {
                    self.beat(machine);
                }
                let Some(life) = &mut machine.life else { continue };
                let has_lapsed = life.clock_ms() > life.lease_ms;
                for position in (0..life.running.len()).rev() {
                    let run = &life.running[position];
                    if run.begun.elapsed() >= run.length {
                        life.end(position, run.how, &self.record);
                    } else if has_lapsed {
                        life.end(position, "lapsed", &self.record);
                    }
                }
            }
            self.state.1.notify_all();
        }
    }

    fn answer_worker(&self, position: usize, request: &Request) -> Response {
        if request.path == "/healthz" {
            return Some((200, Vec::new()));
        }
        let body = Value::parse(&request.body_text())?;
        let mut state = self.state.0.lock().unwrap();
        let life = state.machines[position].life.as_mut()?;
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != life.id {
            return json(421, object(vec![("clock-ms", number(life.clock_ms()))]));
        }
        let fence = body.number("fence").unwrap_or(0);
        if fence < life.fence {
            return refusal(life, "fence");
        }
        life.fence = fence;
        match request.path.as_str() {
            "/run-start" => self.start(&mut state.machines[position], &body),
            "/run-stop" => {
                let (task, run) = (body.text("task"), body.number("run").unwrap_or(0));
                self.record.line(&format!("worker {}: told to stop {task} run {run}", life.id));
                let found = life.running.iter().position(|r| r.task == task && r.run == run);
                match found {
                    Some(found) => life.end(found, "stopped", &self.record),
                    None => {
                        let past = life.past.entry(task).or_default();
                        *past = run.max(*past);
                    }
                }
                json(200, object(vec![("clock-ms", number(life.clock_ms()))]))
            }
            "/pace" => json(200, object(vec![("clock-ms", number(life.clock_ms()))])),
            "/hold" => {
                let seen = body.number("last-seen").unwrap_or(0);
                life.ended.retain(|end| end.0 > seen);
                extend(life, body.number("until-ms"));
                let wait = body.number("wait-ms").unwrap_or(0).min(2_000);
                let until = Instant::now() + Duration::from_millis(wait);
                let id = life.id.clone();
                loop {
                    let life = state.machines[position].life.as_ref()?;
                    // The worker that was called is gone: its connections break.
                    if life.id != id {
                        return None;
                    }
                    let left = until.saturating_duration_since(Instant::now());
                    if !life.ended.is_empty() || left.is_zero() {
                        return json(200, lists(life));
                    }
                    state = self.state.1.wait_timeout(state, left).unwrap().0;
                }
            }
            _ => Some((404, Vec::new())),
        }
    }

    fn start(&self, machine: &mut Machine, body: &Value) -> Response {
        let cores = machine.capacity_cpu;
        let life = machine.life.as_mut()?;
        let (task, run) = (body.text("task"), body.number("run").unwrap_or(0));
        if life.running.iter().any(|r| r.task == task && r.run == run) {
            return json(200, object(vec![("clock-ms", number(life.clock_ms()))]));
        }
        let until = body.number("until-ms").unwrap_or(0);
        if until <= life.clock_ms() {
            return refusal(life, "late");
        }
        extend(life, Some(until));
        if life.past.get(&task).is_some_and(|past| run <= *past) {
            return refusal(life, "old");
        }
        // Each task of these cases takes a whole worker.
        if cores == 0 || !life.running.is_empty() {
            return refusal(life, "room");
        }
        let spec = body.text("spec");
        let ms = spec.split("ms=").nth(1).and_then(|ms| ms.parse().ok()).unwrap_or(1_000);
        let lasts = spec.starts_with("lasts");
        let length = if lasts { Duration::from_secs(3_600) } else { Duration::from_millis(ms) };
        let startup = Duration::from_millis(if lasts { ms } else { 0 });
        let span = life.history.lock().unwrap().begin(&task, startup);
        let how = if run == 1 && spec.starts_with("fails-once") { "failed" } else { "done" };
        self.record
            .line(&format!("worker {}: starts {task} run {run} fence {}", life.id, life.fence));
        life.running.push(Run {
            task,
            run,
            begun: Instant::now(),
            length,
            percent_ms: ms,
            how,
            span,
        });
        json(200, object(vec![("clock-ms", number(life.clock_ms()))]))
    }

    /// The service for machines.
    pub fn answer_cloud(&self, request: &Request) -> Response {
        if request.method == "GET" && request.path == "/machines" {
            let state = self.state.0.lock().unwrap();
            let machines = state.machines.iter().map(machine_row).collect();
            let rows = Value::List(machines);
            return json(200, object(vec![("machines", rows), ("next-token", Value::Null)]));
        }
        let body = Value::parse(&request.body_text())?;
        let name = body.text("machine");
        let holder = request.header("lease-holder").to_owned();
        let fence: u64 = request.header("fencing-token").parse().unwrap_or(0);
        let call = format!("{} {body} of {holder} with fencing token {fence}", request.path);
        if request.path == "/machine-upkeep" {
            let rule = self.late_upkeep.lock().unwrap().clone();
            if let Some(delay) = rule.and_then(|rule| rule(&holder, &name)) {
                self.record.line(&format!("cloud: {call}: no response, done {delay:?} later"));
                let (site, request) = (self.clone(), request.clone());
                std::thread::spawn(move || {
                    std::thread::sleep(delay);
                    let done = site.command(&request.path, &body, fence);
                    let status = done.map_or(0, |(status, _)| status);
                    site.record.line(&format!("cloud: {call}: done late, {status}"));
                });
                // Keeps the connection open and silent for longer than the caller waits.
                std::thread::sleep(Duration::from_secs(15));
                return None;
            }
        }
        let response = self.command(&request.path, &body, fence);
        let (status, text) = response.clone()?;
        let text = String::from_utf8_lossy(&text).into_owned();
        self.record.line(&format!("cloud: {call}: {status} {text}"));
        response
    }

    fn command(&self, path: &str, body: &Value, fence: u64) -> Response {
        let mut state = self.state.0.lock().unwrap();
        let name = body.text("machine");
        let Some(position) = state.machines.iter().position(|machine| machine.name == name) else {
            return Some((400, b"{}".to_vec()));
        };
        let refused = |reason| json(409, object(vec![("reason", text(reason))]));
        let machine = &mut state.machines[position];
        if fence < machine.fence {
            return refused("fence");
        }
        machine.fence = fence;
        let (pool, wave) = (body.text("pool"), body.number("wave").unwrap_or(0));
        let is_upkeep = path == "/machine-upkeep";
        let is_done = match is_upkeep {
            true => machine.maintained.contains(&wave),
            false => machine.pool == pool,
        };
        if is_done {
            return Some((200, b"{}".to_vec()));
        }
        if machine.state != "up" {
            return refused("busy");
        }
        if let Some(life) = machine.life.take() {
            for run in &life.running {
                self.record.line(&format!("worker {}: {} is cut off", life.id, run.task));
            }
            self.store.put("keyed.servers", &life.id, "");
        }
        machine.state = if is_upkeep { "upkeep" } else { "moving" };
        if is_upkeep {
            machine.maintained.insert(wave);
            let down = state.down.get(&wave).copied().unwrap_or(0);
            let cap = state.caps.get(&wave).copied().unwrap_or(usize::MAX);
            self.record.line(&format!("upkeep of {name} begins; {down} down before, cap {cap}"));
            if down >= cap {
                self.over_cap.lock().unwrap().push(name.clone());
            }
            state.down.insert(wave, down + 1);
        } else {
            machine.pool = pool;
        }
        let site = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(if is_upkeep { UPKEEP_TIME } else { MOVE_TIME });
            let mut state = site.state.0.lock().unwrap();
            if is_upkeep {
                *state.down.entry(wave).or_default() -= 1;
                site.record.line(&format!("upkeep of {name} is over"));
            }
            let machine = &mut state.machines[position];
            machine.state = "up";
            if machine.pool != "spare" {
                site.begin_life(machine);
            }
        });
        Some((200, b"{}".to_vec()))
    }

    /// The runs so far, in the order of their starts.
    pub fn history(&self) -> Vec<Span> {
        self.history.lock().unwrap().spans.clone()
    }

    /// Machines that belong to a pool, up or down.
    pub fn pool_size(&self, pool: &str) -> usize {
        let state = self.state.0.lock().unwrap();
        let is_there = |machine: &&Machine| machine.pool == pool && machine.state != "moving";
        state.machines.iter().filter(is_there).count()
    }

    /// Machine and life of the worker that runs a task now.
    pub fn worker_of(&self, task: &str) -> Option<(String, String)> {
        let state = self.state.0.lock().unwrap();
        state.machines.iter().find_map(|machine| {
            let life = machine.life.as_ref()?;
            let is_there = life.running.iter().any(|run| run.task == task);
            is_there.then(|| (machine.name.clone(), life.id.clone()))
        })
    }

    /// The worker of a machine crashes: it sends nothing more, and another life begins after `down`.
    pub fn crash(&self, name: &str, down: Duration) {
        let mut state = self.state.0.lock().unwrap();
        let Some(position) = state.machines.iter().position(|machine| machine.name == name) else {
            return;
        };
        let Some(life) = state.machines[position].life.take() else { return };
        self.record.line(&format!("worker {} crashes", life.id));
        state.machines[position].state = "down";
        self.state.1.notify_all();
        let site = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(down);
            let mut state = site.state.0.lock().unwrap();
            state.machines[position].state = "up";
            site.begin_life(&mut state.machines[position]);
            // The entry of a life that is silent is removed after three heartbeats.
            drop(state);
            std::thread::sleep(Duration::from_millis(3 * 1_500).saturating_sub(down));
            site.store.put("keyed.servers", &life.id, "");
        });
    }

    /// The operator asks for a wave.
    pub fn ask_wave(&self, wave: u64, machines: &[&str], within_s: u64, cap: usize) {
        self.state.0.lock().unwrap().caps.insert(wave, cap);
        let names = machines.iter().map(|name| text(name)).collect();
        let body = object(vec![
            ("wave", number(wave)),
            ("machines", Value::List(names)),
            ("within-s", number(within_s)),
            ("cap", number(cap as u64)),
        ]);
        self.record.line(&format!("operator: wave {body}"));
        self.store.put("keyed.op", &format!("wave/{wave}"), &body.to_string());
    }
}

fn capacity(cpu: u64) -> Value {
    object(vec![("cpu", number(cpu)), ("mem-mb", number(65_536)), ("gpu", number(0))])
}

fn machine_row(machine: &Machine) -> Value {
    let mut row = vec![
        ("machine", text(&machine.name)),
        ("pool", text(&machine.pool)),
        ("state", text(machine.state)),
        ("zone", text("z1")),
        ("labels", Value::List(vec![text("a"), text("r1-1")])),
        ("capacity", capacity(machine.capacity_cpu)),
    ];
    if let Some(life) = &machine.life {
        row.push(("id", text(&life.id)));
    }
    object(row)
}

fn extend(life: &mut Life, until: Option<u64>) {
    let until = until.unwrap_or(0).min(life.clock_ms() + MAX_HOLD_MS);
    life.lease_ms = life.lease_ms.max(until);
}

fn refusal(life: &Life, reason: &str) -> Response {
    json(409, object(vec![("clock-ms", number(life.clock_ms())), ("reason", text(reason))]))
}

fn lists(life: &Life) -> Value {
    let row = |run: &Run| {
        let percent = run.begun.elapsed().as_millis() as u64 * 100 / run.percent_ms.max(1);
        Value::List(vec![text(&run.task), number(run.run), text(""), number(percent.min(100))])
    };
    let end = |(number_, task, run, how): &(u64, String, u64, &'static str)| {
        Value::List(vec![number(*number_), text(task), number(*run), text(how), text("")])
    };
    object(vec![
        ("clock-ms", number(life.clock_ms())),
        ("running", Value::List(life.running.iter().map(row).collect())),
        ("ended", Value::List(life.ended.iter().take(ENDS_MAX).map(end).collect())),
    ])
}
