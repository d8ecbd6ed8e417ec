//! VMs and the workers on them: runs under leases and fencing tokens, ends that are listed until they
//! are acknowledged, and VMs that change pools and are maintained.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::Method;
use ibisweir::jobs::model::TaskKey;
use rand::Rng;
use serde_json::{Value, json as value};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use crate::jobs::http::{AskedCall, GivenAnswer, json, serve};
use crate::jobs::ledger::JobLedger;
use crate::jobs::site::UNGUARDED;

/// Longest lease, in milliseconds.
pub const LEASE_MAX_MS: u64 = 3_000;
/// Time that a stop takes.
pub const STOP_TIME: Duration = Duration::from_millis(100);
/// Time for which a VM is away when it changes pools or is maintained.
pub const AWAY_TIME: Duration = Duration::from_millis(400);
/// Time from a crash until the worker has begun anew under its id: shorter than silence takes to be noticed.
const REBIRTH_TIME: Duration = Duration::from_millis(60);
/// Processor of a VM, in thousandths of a core.
pub const VM_CPU: u64 = 8_000;
/// Time between two looks at what ends.
const BEAT: Duration = Duration::from_millis(10);
/// Longest time after which a command that was not answered is carried out, in milliseconds.
const LATE_MS: u64 = 2_500;

/// Longest time from a start to the crash that it causes, in milliseconds.
const CRASH_MS: u64 = 10;
/// Time for which a room that has shrunk still counts as it was: a heartbeat, and the time in which everybody
/// must have read it.
const ROOM_GRACE: Duration = Duration::from_millis(3_300);

/// What a task does, as its text tells: `work=MS`, `cpu=THOUSANDTHS`, `lasts`, `fails`, `crashes`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TaskText {
    /// Run time in milliseconds.
    pub work_ms: u64,
    /// Processor that it takes.
    pub cpu: u64,
    /// Whether it runs until it is stopped.
    pub lasts: bool,
    /// Whether it ends in failure.
    pub fails: bool,
    /// Whether the first task of its job crashes each worker that starts it.
    pub crashes: bool,
}

impl TaskText {
    /// Reads the text; what it does not name is zero.
    pub fn parse(text: &str) -> TaskText {
        let number = |name: &str| {
            let word = text.split(' ').find_map(|word| word.strip_prefix(name));
            word.and_then(|word| word.parse().ok()).unwrap_or(0)
        };
        TaskText {
            work_ms: number("work="),
            cpu: number("cpu="),
            lasts: text.split(' ').any(|word| word == "lasts"),
            fails: text.split(' ').any(|word| word == "fails"),
            crashes: text.split(' ').any(|word| word == "crashes"),
        }
    }
}

/// One life of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerLife {
    /// Id of the worker, which its next life may have as well.
    pub id: String,
    /// Its pool.
    pub pool: String,
    /// When it began, in milliseconds since the epoch.
    pub started_ms: u64,
}

/// What a worker has and uses, in thousandths of a core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmUsage {
    /// Its pool.
    pub pool: String,
    /// Processor.
    pub room: u64,
    /// Processor in use.
    pub used: u64,
}

/// What a VM's worker does wrong.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerFaults {
    /// Nothing is answered.
    pub is_silent: bool,
    /// Commands in a hundred that are not answered and carried out later.
    pub late_percent: u32,
}

/// Why a worker does not take a call at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallRefusal {
    /// No worker runs on the VM now.
    Away,
    /// It is meant for another life.
    OtherLife,
    /// A higher token was seen.
    Fenced,
}

#[derive(Clone, Debug)]
struct LiveTask {
    text: TaskText,
    begun: Instant,
    stop: Option<Instant>,
}

#[derive(Debug, Default)]
struct VmState {
    pool: String,
    /// Id of the worker's life; none while the VM is away.
    incarnation: Option<String>,
    lives: u32,
    started_ms: u64,
    /// The id that the next life has as well.
    kept_id: Option<String>,
    back: Option<Instant>,
    /// When its worker crashes, and the task that does it.
    doom: Option<(Instant, TaskKey)>,
    /// Whether its worker has crashed: nothing is answered until the next life.
    is_dark: bool,
    /// Processor of the worker, in thousandths of a core; it may shrink and grow.
    room: u64,
    /// Larger rooms that it had not long ago, and until when each counts.
    rooms_before: Vec<(u64, Instant)>,
    is_maintained: bool,
    wave: u64,
    token: u64,
    fence: u64,
    lease_until_ms: u64,
    running: BTreeMap<(TaskKey, u32), LiveTask>,
    refused: HashMap<TaskKey, u32>,
    ended: Vec<(u64, TaskKey, u32, &'static str)>,
    next_end: u64,
    faults: WorkerFaults,
}

/// One VM.
#[derive(Debug)]
pub struct VmStandin {
    /// Its name.
    pub name: String,
    /// Its rack.
    pub rack: String,
    /// Where its worker listens.
    pub address: SocketAddr,
    shared: Arc<VmShared>,
    tasks: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct VmShared {
    state: Mutex<VmState>,
    ended: Notify,
    ledger: Arc<Mutex<JobLedger>>,
    started: Instant,
}

impl Drop for VmStandin {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl VmStandin {
    /// Starts a VM with a worker in this pool.
    pub async fn open(
        name: String,
        rack: String,
        pool: &str,
        ledger: Arc<Mutex<JobLedger>>,
    ) -> std::io::Result<VmStandin> {
        let listener = TcpListener::bind(crate::site::LOOPBACK).await?;
        let address = listener.local_addr()?;
        let mut state = VmState { pool: pool.to_owned(), room: VM_CPU, ..VmState::default() };
        state.begin_life(&name);
        let shared = Arc::new(VmShared {
            state: Mutex::new(state),
            ended: Notify::new(),
            ledger,
            started: Instant::now(),
        });
        let (serving, beating, vm) = (shared.clone(), shared.clone(), name.clone());
        let server = tokio::spawn(serve(listener, move |call| answer(serving.clone(), call)));
        let beat = tokio::spawn(async move {
            loop {
                sleep(BEAT).await;
                beating.beat(&vm);
            }
        });
        Ok(VmStandin { name, rack, address, shared, tasks: vec![server, beat] })
    }

    /// The worker's life; nothing while the VM is away.
    pub fn incarnation(&self) -> Option<WorkerLife> {
        let state = self.shared.lock();
        let (id, pool) = (state.incarnation.clone()?, state.pool.clone());
        Some(WorkerLife { id, pool, started_ms: state.started_ms })
    }

    /// Switches faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut WorkerFaults)) {
        change(&mut self.shared.lock().faults);
    }

    /// The worker loses all that it runs and comes back with another life.
    pub fn crash(&self) {
        self.shared.crash(&mut self.shared.lock());
    }

    /// The worker loses all that it runs, and its VM is away for so long.
    pub fn lose(&self, away: Duration) {
        let mut state = self.shared.lock();
        self.shared.crash(&mut state);
        state.back = Some(Instant::now() + away.max(AWAY_TIME));
    }

    /// The worker loses all that it runs and begins anew under its id, after a moment.
    pub fn crash_and_begin_anew(&self) {
        let mut state = self.shared.lock();
        let id = state.incarnation.clone();
        self.shared.crash(&mut state);
        state.kept_id = id;
        state.back = Some(Instant::now() + REBIRTH_TIME);
    }

    /// Gives the worker this room, in thousandths of a core.
    pub fn set_room(&self, room: u64) {
        let mut state = self.shared.lock();
        let before = (state.room, Instant::now() + ROOM_GRACE);
        state.rooms_before.push(before);
        state.room = room;
    }

    /// What its worker has and uses; nothing while the VM is away.
    pub fn usage(&self) -> Option<VmUsage> {
        let state = self.shared.lock();
        state.incarnation.as_ref()?;
        Some(VmUsage { pool: state.pool.clone(), room: state.room, used: state.used() })
    }

    /// What its worker says of its size.
    pub fn capacity(&self) -> Value {
        capacity(self.shared.lock().room)
    }

    /// A row of the VM list.
    pub fn row(&self) -> Value {
        let state = self.shared.lock();
        let word = match (&state.incarnation, state.is_maintained) {
            (Some(_), _) => "up",
            (None, true) => "upkeep",
            (None, false) => "moving",
        };
        value!({
            "machine": self.name, "pool": state.pool, "state": word, "zone": "dc-a",
            "labels": ["a", self.rack], "capacity": capacity(state.room), "id": state.incarnation,
        })
    }

    /// Moves the VM to a pool, or maintains it for a wave.
    pub fn command(&self, pool: Option<&str>, wave: Option<u64>, token: u64) -> GivenAnswer {
        let mut state = self.shared.lock();
        if token < state.token {
            return json(409, &value!({ "reason": "fence" }));
        }
        state.token = token;
        let is_done = pool.is_some_and(|pool| pool == state.pool)
            || wave.is_some_and(|wave| wave == state.wave);
        if is_done {
            return json(200, &value!({}));
        }
        if state.incarnation.is_none() {
            return json(409, &value!({ "reason": "busy" }));
        }
        self.shared.end_life(&mut state);
        state.back = Some(Instant::now() + AWAY_TIME);
        state.is_maintained = wave.is_some();
        if let Some(pool) = pool {
            state.pool = pool.to_owned();
        }
        state.wave = wave.unwrap_or(state.wave);
        json(200, &value!({}))
    }
}

fn capacity(room: u64) -> Value {
    value!({ "cpu": room, "mem-mb": 32_000 })
}

impl VmState {
    fn begin_life(&mut self, name: &str) {
        self.lives += 1;
        let id = self.kept_id.take();
        self.incarnation = Some(id.unwrap_or_else(|| format!("{name}-{}", self.lives)));
        self.started_ms = self.started_ms.max(ibisweir::clock::system_ms()) + 1;
        self.back = None;
        (self.doom, self.is_dark) = (None, false);
        self.is_maintained = false;
        (self.fence, self.next_end, self.lease_until_ms) = (0, 0, 0);
        self.ended.clear();
        self.refused.clear();
    }

    /// The largest room that counts now.
    fn room_due(&mut self) -> u64 {
        let now = Instant::now();
        self.rooms_before.retain(|(_, until)| now < *until);
        self.rooms_before.iter().map(|(room, _)| *room).fold(self.room, u64::max)
    }

    /// By what the ledger knows the present life.
    fn mark(&self) -> String {
        format!("{}@{}", self.incarnation.as_deref().unwrap_or(""), self.started_ms)
    }

    fn used(&self) -> u64 {
        self.running.values().map(|task| task.text.cpu).sum()
    }

    fn end(&mut self, key: (TaskKey, u32), how: &'static str) {
        self.running.remove(&key);
        self.refuse(key.0, key.1);
        self.next_end += 1;
        self.ended.push((self.next_end, key.0, key.1, how));
    }

    fn refuse(&mut self, task: TaskKey, run: u32) {
        let highest = self.refused.entry(task).or_default();
        *highest = run.max(*highest);
    }
}

impl VmShared {
    fn lock(&self) -> MutexGuard<'_, VmState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn ledger(&self) -> MutexGuard<'_, JobLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(0)
    }

    fn end_life(&self, state: &mut VmState) {
        let incarnation = state.mark();
        state.incarnation = None;
        for (task, run) in std::mem::take(&mut state.running).into_keys() {
            self.ledger().ended(task, run, &incarnation, false);
        }
        self.ended.notify_waiters();
    }

    /// The worker is gone without a word; its VM brings another life.
    fn crash(&self, state: &mut VmState) {
        self.end_life(state);
        state.is_dark = true;
        state.back = Some(Instant::now() + AWAY_TIME);
    }

    /// Ends what is due, and brings the VM back.
    fn beat(&self, name: &str) {
        let now = Instant::now();
        let clock = self.clock_ms();
        let mut state = self.lock();
        if let Some((_, task)) = state.doom.take_if(|(at, _)| now >= *at) {
            self.ledger().crashed(task);
            self.crash(&mut state);
        }
        if state.back.is_some_and(|back| now >= back) {
            state.begin_life(name);
        }
        if state.incarnation.is_none() {
            return;
        }
        let incarnation = state.mark();
        let is_lapsed = clock >= state.lease_until_ms;
        let mut over = Vec::new();
        for (key, task) in &state.running {
            let is_through = task.begun.elapsed() >= Duration::from_millis(task.text.work_ms);
            let how = match task.stop {
                _ if is_lapsed => "lapsed",
                Some(at) if now >= at => "stopped",
                Some(_) => continue,
                None if task.text.lasts || !is_through => continue,
                None if task.text.fails => "failed",
                None => "done",
            };
            over.push((*key, how));
        }
        for (key, how) in &over {
            state.end(*key, how);
            let mut ledger = self.ledger();
            ledger.ended(key.0, key.1, &incarnation, *how == "done");
            ledger.lapsed += u64::from(*how == "lapsed");
        }
        if !over.is_empty() {
            self.ended.notify_waiters();
        }
    }

    fn refusal(&self, reason: &str) -> GivenAnswer {
        json(409, &value!({ "clock-ms": self.clock_ms(), "reason": reason }))
    }

    /// The life that a call is for, if it is the present one and no higher token was seen.
    fn admit(
        &self,
        state: &mut VmState,
        call: &AskedCall,
        body: &Value,
    ) -> Result<String, CallRefusal> {
        let incarnation = state.incarnation.clone().ok_or(CallRefusal::Away)?;
        if call.header("expect-instance") != incarnation {
            return Err(CallRefusal::OtherLife);
        }
        let fence = body["fence"].as_u64().unwrap_or(0);
        if fence < state.fence {
            return Err(CallRefusal::Fenced);
        }
        state.fence = fence;
        Ok(state.mark())
    }

    fn refuse_call(&self, refusal: CallRefusal) -> GivenAnswer {
        match refusal {
            CallRefusal::Away => json(503, &value!({})),
            CallRefusal::OtherLife => json(421, &value!({ "clock-ms": self.clock_ms() })),
            CallRefusal::Fenced => self.refusal("fence"),
        }
    }

    fn carry_out(&self, call: &AskedCall, is_late: bool) -> GivenAnswer {
        let body = call.json();
        let mut state = self.lock();
        let incarnation = match self.admit(&mut state, call, &body) {
            Ok(incarnation) => incarnation,
            Err(refusal) => return self.refuse_call(refusal),
        };
        let run = u32::try_from(body["run"].as_u64().unwrap_or(0)).unwrap_or(0);
        let task = body["task"].as_str().and_then(TaskKey::parse);
        match (call.path.as_str(), task) {
            ("/run-start", Some(task)) => {
                self.start(&mut state, &incarnation, (task, run), &body, is_late)
            }
            ("/run-stop", Some(task)) => {
                if let Some(live) = state.running.get_mut(&(task, run)) {
                    live.stop.get_or_insert(Instant::now() + STOP_TIME);
                }
                state.refuse(task, run);
                json(200, &value!({ "clock-ms": self.clock_ms() }))
            }
            ("/pace", Some(_)) => json(200, &value!({ "clock-ms": self.clock_ms() })),
            _ => json(400, &value!({})),
        }
    }

    fn start(
        &self,
        state: &mut VmState,
        incarnation: &str,
        key: (TaskKey, u32),
        body: &Value,
        is_late: bool,
    ) -> GivenAnswer {
        let clock = self.clock_ms();
        let until = body["until-ms"].as_u64().unwrap_or(0).min(clock + LEASE_MAX_MS);
        if until <= clock {
            return self.refusal("late");
        }
        state.lease_until_ms = state.lease_until_ms.max(until);
        if state.running.contains_key(&key) {
            return json(200, &value!({ "clock-ms": clock }));
        }
        if state.refused.get(&key.0).is_some_and(|highest| key.1 <= *highest) {
            return self.refusal("old");
        }
        let payload = body["spec"].as_str().unwrap_or("");
        let text = TaskText::parse(payload);
        let wanted = state.used() + text.cpu;
        if state.pool == UNGUARDED {
            let room = state.room_due();
            self.ledger().filled(key.0, incarnation, wanted, room);
        } else if wanted > state.room {
            return self.refusal("room");
        }
        if text.crashes && (key.0.step, key.0.index) == (0, 0) {
            let wait = Duration::from_millis(rand::rng().random_range(0..CRASH_MS));
            state.doom.get_or_insert((Instant::now() + wait, key.0));
        }
        let now = Instant::now();
        state.running.insert(key, LiveTask { text, begun: now, stop: None });
        self.ledger().started(key.0, key.1, incarnation, payload, is_late, now);
        json(200, &value!({ "clock-ms": clock }))
    }

    async fn hold(&self, call: &AskedCall) -> GivenAnswer {
        let body = call.json();
        let seen = body["last-seen"].as_u64().unwrap_or(0);
        {
            let mut state = self.lock();
            if let Err(refusal) = self.admit(&mut state, call, &body) {
                return self.refuse_call(refusal);
            }
            let clock = self.clock_ms();
            let until = body["until-ms"].as_u64().unwrap_or(0).min(clock + LEASE_MAX_MS);
            state.lease_until_ms = state.lease_until_ms.max(until);
            for (number, task, _, how) in &state.ended {
                if *number <= seen && *how == "done" {
                    self.ledger().acknowledged(*task);
                }
            }
            state.ended.retain(|(number, ..)| *number > seen);
        }
        let asked = self.lock().mark();
        let wait = Duration::from_millis(body["wait-ms"].as_u64().unwrap_or(0));
        let has_ended = async {
            loop {
                let ended = self.ended.notified();
                if !self.lock().ended.is_empty() {
                    return;
                }
                ended.await;
            }
        };
        // Either ends the wait.
        let _ = timeout(wait, has_ended).await;
        let state = self.lock();
        if state.mark() != asked {
            return None;
        }
        let percent = |task: &LiveTask| match task.text.lasts {
            true => 100,
            false => {
                let done = task.begun.elapsed().as_millis() * 100;
                u64::try_from(done).unwrap_or(0) / task.text.work_ms.max(1)
            }
        };
        let running: Vec<Value> = state
            .running
            .iter()
            .map(|((task, run), live)| value!([task.to_string(), run, "", percent(live).min(100)]))
            .collect();
        let ended: Vec<Value> = state
            .ended
            .iter()
            .map(|(number, task, run, how)| value!([number, task.to_string(), run, how, ""]))
            .collect();
        json(
            200,
            &value!({
                "clock-ms": self.clock_ms(), "born": state.started_ms, "running": running,
                "ended": ended,
            }),
        )
    }
}

async fn answer(shared: Arc<VmShared>, call: AskedCall) -> GivenAnswer {
    let (faults, is_dark) = {
        let state = shared.lock();
        (state.faults, state.is_dark)
    };
    if faults.is_silent || is_dark {
        return None;
    }
    if call.method != Method::POST {
        return json(404, &value!({}));
    }
    if call.path == "/hold" {
        return shared.hold(&call).await;
    }
    if rand::rng().random_range(0..100) >= faults.late_percent {
        return shared.carry_out(&call, false);
    }
    let late = Duration::from_millis(rand::rng().random_range(0..LATE_MS));
    tokio::spawn(async move {
        sleep(late).await;
        drop(shared.carry_out(&call, true));
    });
    None
}
