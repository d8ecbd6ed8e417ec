//! Random histories in which a task could run in two places: overlapping attempts to start it,
//! refusals, delayed calls, answers that overtake each other, and changes of leaders while both
//! leaders act.
//!
//! Checked: no task has two runs alive at a time. The next incarnation of a worker receives nothing
//! that was sent to the one before. `IBISWEIR_TEST_SEED` and `IBISWEIR_TEST_RUNS` select other and
//! more histories.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ibisweir::decide::leadership::{
    PredecessorEnd, PreviousLeader, RENEWAL_INTERVAL_MS, RENEWAL_TIMEOUT_MS,
};
use ibisweir::jobs::job_table::JobTable;
use ibisweir::jobs::model::{ExitKind, TaskKey};
use ibisweir::jobs::ports::{
    CommandOutcome, CommandRefusal, RenewCall, RunCall, RunningTask, StartCall, TaskExit,
    WorkerReport,
};
use ibisweir::jobs::record::JobRecord;
use ibisweir::jobs::site::{SiteConfig, VmEntry, WorkerEntry, incarnation_id, worker_name};
use ibisweir::scheduler::commit::CommitBatch;
use ibisweir::scheduler::renewals::RenewPlan;
use ibisweir::scheduler::runs::RunCommand;
use ibisweir::scheduler::{Scheduler, SchedulerAction, SchedulerStart};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::sim::{
    POOL, WALL_OFFSET_MS, bounds, config, job, job_id, service_step, step, submission, task, vm,
    worker,
};

/// Number of histories in CI.
const RUNS: u64 = 60;
/// Length of a history, in milliseconds.
const HISTORY_MS: u64 = 30_000;
/// Interval between two turns of a leader, in milliseconds.
const TURN_MS: u64 = 10;
const WORKERS: usize = 4;
const JOBS: u64 = 40;
/// Start of the simulated time, in milliseconds.
const BEGIN_MS: u64 = 100_000;
/// Longest time that a call is on its way before it is carried out, in milliseconds.
const CALL_DELAY_MAX_MS: u64 = 4_000;
/// Longest time that a start is on its way if it waits in an executor, in milliseconds.
const EXECUTOR_DELAY_MAX_MS: u64 = 2_000;
/// Timeouts of a start sent by the leader and through an executor, in milliseconds.
const START_TIMEOUTS_MS: [u64; 3] = [450, 900, 900];
/// Timeout of a stop, in milliseconds.
const STOP_TIMEOUT_MS: u64 = 1_500;
/// Age up to which the leader still reads an answer to a renewal, in milliseconds.
const ANSWER_AGE_MAX_MS: u64 = 4_000;

/// How attempts to start runs fare.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StartLoad {
    /// Unhealthy workers refuse every start.
    Usual,
    /// Workers are often unhealthy and refuse some of the starts, and half of the attempts go
    /// through slow executors.
    Strained,
}

/// An incarnation of a worker.
struct ModelWorker {
    entry: WorkerEntry,
    started_ms: u64,
    slow_percent: u64,
    fence: u64,
    lease_until_ms: u64,
    running: BTreeMap<TaskKey, u32>,
    /// Highest run that has ended or was stopped.
    closed: BTreeMap<TaskKey, u32>,
    exits: Vec<TaskExit>,
    next_exit: u64,
    is_full: bool,
    is_unhealthy: bool,
    /// Whether it refuses only some of the starts while it is unhealthy.
    is_shedding: bool,
    is_listed: bool,
}

impl ModelWorker {
    fn begin(entry: WorkerEntry, slow_percent: u64, started_ms: u64) -> ModelWorker {
        ModelWorker {
            entry,
            started_ms,
            slow_percent,
            fence: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            closed: BTreeMap::new(),
            exits: Vec::new(),
            next_exit: 0,
            is_full: false,
            is_unhealthy: false,
            is_shedding: false,
            is_listed: true,
        }
    }

    fn clock_ms(&self, now: u64) -> u64 {
        1_000 + (now - self.started_ms) * (100 - self.slow_percent) / 100
    }

    fn take_lease(&mut self, until_ms: u64, now: u64) {
        let until_ms = until_ms.min(self.clock_ms(now) + bounds().lease_max_ms);
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
    }

    fn end(&mut self, task: TaskKey, kind: ExitKind) {
        let Some(run) = self.running.remove(&task) else { return };
        self.close(task, run);
        self.next_exit += 1;
        let number = self.next_exit;
        self.exits.push(TaskExit { number, task, run, kind, checkpoint: String::new() });
    }

    fn close(&mut self, task: TaskKey, run: u32) {
        let closed = self.closed.entry(task).or_default();
        *closed = run.max(*closed);
    }

    fn expire(&mut self, now: u64) {
        if self.clock_ms(now) < self.lease_until_ms {
            return;
        }
        for task in self.running.keys().copied().collect::<Vec<_>>() {
            self.end(task, ExitKind::LeaseExpired);
        }
    }

    fn start(&mut self, call: &StartCall, now: u64) -> CommandOutcome<u64> {
        self.expire(now);
        let clock_ms = self.clock_ms(now);
        let refuse = |refusal| CommandOutcome::Refused(refusal, Some(clock_ms));
        if call.fence < self.fence {
            return refuse(CommandRefusal::Fenced);
        }
        if self.is_unhealthy && (!self.is_shedding || now.is_multiple_of(2)) {
            return CommandOutcome::Refused(CommandRefusal::Unhealthy, None);
        }
        self.fence = call.fence;
        if call.lease_until_ms <= clock_ms {
            return refuse(CommandRefusal::LeaseExpired);
        }
        self.take_lease(call.lease_until_ms, now);
        if self.running.get(&call.task) == Some(&call.run) {
            return CommandOutcome::Done(clock_ms);
        }
        if self.closed.get(&call.task).is_some_and(|closed| *closed >= call.run) {
            return refuse(CommandRefusal::OldRun);
        }
        if self.is_full {
            return refuse(CommandRefusal::NoCapacity);
        }
        self.running.insert(call.task, call.run);
        CommandOutcome::Done(clock_ms)
    }

    fn stop(&mut self, call: &RunCall, now: u64) -> CommandOutcome<u64> {
        let clock_ms = self.clock_ms(now);
        if call.fence < self.fence {
            return CommandOutcome::Refused(CommandRefusal::Fenced, Some(clock_ms));
        }
        self.fence = call.fence;
        if self.running.get(&call.task) == Some(&call.run) {
            self.end(call.task, ExitKind::Stopped);
        }
        self.close(call.task, call.run);
        CommandOutcome::Done(clock_ms)
    }

    fn renew(&mut self, call: &RenewCall, now: u64) -> CommandOutcome<WorkerReport> {
        self.expire(now);
        let clock_ms = self.clock_ms(now);
        if call.fence < self.fence {
            return CommandOutcome::Refused(CommandRefusal::Fenced, Some(clock_ms));
        }
        self.fence = call.fence;
        self.take_lease(call.lease_until_ms.unwrap_or(0), now);
        self.exits.retain(|exit| exit.number > call.acked_exits);
        let running = self.running.iter().map(|(task, run)| RunningTask {
            task: *task,
            run: *run,
            checkpoint: String::new(),
            percent: 50,
            gauge: None,
        });
        CommandOutcome::Done(WorkerReport {
            clock_ms,
            started_ms: Some(self.started_ms),
            running: running.collect(),
            exits: self.exits.clone(),
        })
    }
}

/// An entry that leads, or still believes that it does.
struct ModelLeader {
    scheduler: Scheduler,
    term: u64,
    reaches_log: bool,
    /// Workers that it can't reach, by name.
    unreachable: BTreeSet<Arc<str>>,
    watched: BTreeSet<Arc<str>>,
    renewing: BTreeSet<Arc<str>>,
    is_committing: bool,
    /// When its next renewal of the leadership is due.
    renew_ms: u64,
}

/// An event that is due later.
enum ModelEvent {
    Turn,
    RandomEvent,
    /// The next command of a run is sent.
    Send(u64, Arc<str>, TaskKey, u32),
    StartArrives(u64, Arc<str>, StartCall, Option<u64>),
    StartAnswered(u64, Arc<str>, TaskKey, u32, CommandOutcome<u64>),
    NotSent(u64, TaskKey, u32),
    StopArrives(u64, Arc<str>, RunCall, Option<u64>),
    StopAnswered(u64, Arc<str>, RunCall, CommandOutcome<u64>),
    RenewArrives(u64, Arc<str>, RenewCall, u64, Option<u64>),
    RenewAnswered(u64, Arc<str>, RenewCall, u64, CommandOutcome<WorkerReport>),
    AnsweredLate(u64, Arc<str>, RenewCall, u64, WorkerReport),
    Commit(u64, CommitBatch),
    Claim(u64),
    TakeOver(u64, u64),
    EntryRead(WorkerEntry),
    EntryGone(Arc<str>),
}

struct Model {
    random: StdRng,
    now: u64,
    events: BTreeMap<(u64, u64), ModelEvent>,
    next_event: u64,
    leaders: Vec<ModelLeader>,
    job_table: JobTable,
    end: u64,
    /// Highest term that has written to the job log.
    epoch: u64,
    /// Term of the newest claim, and when the leadership stream last grew.
    claimed: u64,
    renewed_ms: u64,
    workers: Vec<ModelWorker>,
    load: StartLoad,
    keys: Vec<TaskKey>,
    jobs: u64,
    restarts: u64,
    starts: usize,
    traced: Vec<(u64, String)>,
    fault: Option<String>,
}

fn one_pool() -> SiteConfig {
    let mut config = config();
    config.pools.retain(|pool| !pool.is_standby);
    config
}

impl Model {
    fn open(load: StartLoad, seed: u64) -> Model {
        let mut random = StdRng::seed_from_u64(seed);
        let workers = (0..WORKERS).map(|number| {
            let started_ms = BEGIN_MS - 1_000 - number as u64;
            let entry = worker(&format!("w{number}"), &format!("r{number}"));
            let entry = WorkerEntry { id: incarnation_id(&entry.id, Some(started_ms)), ..entry };
            let worker = ModelWorker::begin(entry, random.random_range(0..3), started_ms);
            ModelWorker { is_shedding: load == StartLoad::Strained, ..worker }
        });
        let workers = workers.collect();
        let mut model = Model {
            random,
            now: BEGIN_MS,
            events: BTreeMap::new(),
            next_event: 0,
            leaders: Vec::new(),
            job_table: JobTable::default(),
            end: 0,
            epoch: 0,
            claimed: 0,
            renewed_ms: 0,
            workers,
            load,
            keys: Vec::new(),
            jobs: 0,
            restarts: 0,
            starts: 0,
            traced: Vec::new(),
            fault: None,
        };
        model.schedule(0, ModelEvent::Claim(1));
        model.schedule(0, ModelEvent::Turn);
        model.schedule(100, ModelEvent::RandomEvent);
        model
    }

    fn run(&mut self) {
        while let Some(((at_ms, _), event)) = self.events.pop_first() {
            if at_ms > BEGIN_MS + HISTORY_MS || self.fault.is_some() {
                return;
            }
            self.now = at_ms;
            self.handle(event);
        }
    }

    fn schedule(&mut self, ms: u64, event: ModelEvent) {
        self.next_event += 1;
        self.events.insert((self.now + ms, self.next_event), event);
    }

    fn trace(&mut self, what: String) {
        self.traced.push((self.now - BEGIN_MS, what));
    }

    fn chance(&mut self, one_in: u32) -> bool {
        self.random.random_range(0..one_in) == 0
    }

    fn leader(&mut self, term: u64) -> Option<&mut ModelLeader> {
        self.leaders.iter_mut().find(|leader| leader.term == term)
    }

    fn with<R>(&mut self, term: u64, edit: impl FnOnce(&mut Scheduler, u64) -> R) -> Option<R> {
        let now = self.now;
        self.leader(term).map(|leader| edit(&mut leader.scheduler, now))
    }

    fn reaches(&mut self, term: u64, id: &str) -> bool {
        let name: Arc<str> = worker_name(id).into();
        self.leader(term).is_some_and(|leader| !leader.unreachable.contains(&name))
    }

    fn worker(&mut self, id: &str) -> Option<&mut ModelWorker> {
        self.workers.iter_mut().find(|worker| *worker.entry.id == *id)
    }

    /// Delays of a call and of its answer; `None` for one that is lost.
    fn draw_delays(&mut self) -> (Option<u64>, Option<u64>) {
        let call_delay = match self.random.random_range(0..20) {
            0 => None,
            1..4 => Some(self.random.random_range(0..CALL_DELAY_MAX_MS)),
            4..10 => Some(self.random.random_range(0..800)),
            _ => Some(self.random.random_range(0..8)),
        };
        let answer_delay = match self.random.random_range(0..12) {
            0 => None,
            1..4 => Some(self.random.random_range(0..900)),
            _ => Some(self.random.random_range(0..8)),
        };
        (call_delay, answer_delay)
    }

    fn handle(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Turn => self.turn(),
            ModelEvent::RandomEvent => self.random_event(),
            ModelEvent::Send(term, id, key, run) => self.send(term, &id, key, run),
            ModelEvent::StartArrives(term, id, call, answer_delay) => {
                self.start_arrives(term, id, &call, answer_delay);
            }
            ModelEvent::StartAnswered(term, id, key, run, outcome) => {
                self.trace(format!(
                    "{term} learns the outcome of {key}/{run} on {id}: {outcome:?}"
                ));
                self.with(term, |scheduler, now| {
                    scheduler.handle_start_outcome(&id, &key, run, &outcome, now)
                });
            }
            ModelEvent::NotSent(term, key, run) => {
                self.trace(format!("{term} learns that {key}/{run} was not sent"));
                self.with(term, |scheduler, now| scheduler.start_not_sent(&key, run, now));
            }
            ModelEvent::StopArrives(term, id, call, answer_delay) => {
                let now = self.now;
                let Some(worker) = self.worker(&id) else { return };
                let outcome = worker.stop(&call, now);
                self.trace(format!("stop of {}/{} at {id}: {outcome:?}", call.task, call.run));
                if let Some(ms) = answer_delay {
                    self.schedule(ms, ModelEvent::StopAnswered(term, id, call, outcome));
                }
            }
            ModelEvent::StopAnswered(term, id, call, outcome) => {
                self.with(term, |scheduler, now| {
                    scheduler.handle_stop_outcome(&id, &call.task, call.run, &outcome, now);
                });
            }
            ModelEvent::RenewArrives(term, id, call, sent_ms, answer_delay) => {
                self.renew_arrives(term, id, call, sent_ms, answer_delay);
            }
            ModelEvent::RenewAnswered(term, id, call, sent_ms, outcome) => {
                self.with(term, |scheduler, now| {
                    scheduler.handle_renewal_outcome(&id, &call, outcome, sent_ms, now);
                });
                if let Some(leader) = self.leader(term) {
                    leader.renewing.remove(&id);
                }
            }
            ModelEvent::AnsweredLate(term, id, call, sent_ms, report) => {
                self.with(term, |scheduler, now| {
                    scheduler.handle_late_renewal(&id, &call, report, sent_ms, now);
                });
            }
            ModelEvent::Commit(term, batch) => self.commit(term, batch),
            ModelEvent::Claim(term) => self.claim(term),
            ModelEvent::TakeOver(term, seen_ms) => self.take_over(term, seen_ms),
            ModelEvent::EntryRead(entry) => {
                for leader in &mut self.leaders {
                    leader.scheduler.worker_seen(entry.clone(), self.now);
                }
            }
            ModelEvent::EntryGone(name) => {
                for leader in &mut self.leaders {
                    leader.scheduler.worker_unlisted(&name, self.now);
                }
            }
        }
    }

    fn turn(&mut self) {
        for worker in &mut self.workers {
            worker.expire(self.now);
        }
        for term in self.leaders.iter().map(|leader| leader.term).collect::<Vec<_>>() {
            self.turn_of(term);
        }
        self.leaders.retain(|leader| !leader.scheduler.is_deposed());
        self.schedule(TURN_MS, ModelEvent::Turn);
    }

    fn turn_of(&mut self, term: u64) {
        let (now, claimed) = (self.now, self.claimed);
        let Some(leader) = self.leader(term) else { return };
        if leader.reaches_log {
            if claimed > term {
                leader.scheduler.depose();
                return;
            }
            leader.scheduler.workers_read(now);
            leader.scheduler.jobs_read(now);
            if now >= leader.renew_ms {
                leader.renew_ms = now + RENEWAL_INTERVAL_MS;
                leader.scheduler.confirm(now);
                self.renewed_ms = now;
            }
        }
        let Some(actions) = self.with(term, |scheduler, now| {
            scheduler.tick(now, WALL_OFFSET_MS + now);
            scheduler.take_actions()
        }) else {
            return;
        };
        for action in actions {
            match action {
                SchedulerAction::SendCommand(target, key, run) => {
                    let lane_ms = if self.chance(8) { 700 } else { 20 };
                    let ms = self.random.random_range(0..lane_ms);
                    self.schedule(ms, ModelEvent::Send(term, target.id, key, run));
                }
                SchedulerAction::StopUntracked(target, call) => {
                    self.send_stop(term, &target.id, call)
                }
                SchedulerAction::StartRenewals(target) => {
                    if let Some(leader) = self.leader(term) {
                        leader.watched.insert(target.id);
                    }
                }
                SchedulerAction::Throttle(_, call, _) => {
                    self.with(term, |scheduler, _| scheduler.handle_throttle_outcome(&call, true));
                }
                SchedulerAction::Event(_)
                | SchedulerAction::RenewNow(_)
                | SchedulerAction::CancelCalls(_)
                | SchedulerAction::ListVms
                | SchedulerAction::CommandVm(..)
                | SchedulerAction::PublishWaveStatus(..)
                | SchedulerAction::RequestPermits(..) => {}
            }
        }
        self.take_batch(term);
        let Some(leader) = self.leader(term) else { return };
        let idle = leader.watched.difference(&leader.renewing).cloned().collect::<Vec<_>>();
        for id in idle {
            self.renew(term, id);
        }
    }

    fn take_batch(&mut self, term: u64) {
        if self.leader(term).is_none_or(|leader| leader.is_committing) {
            return;
        }
        let Some(batch) = self.with(term, |scheduler, _| scheduler.take_commit()).flatten() else {
            return;
        };
        if let Some(leader) = self.leader(term) {
            leader.is_committing = true;
        }
        let ms = self.random.random_range(4..30);
        self.schedule(ms, ModelEvent::Commit(term, batch));
    }

    fn commit(&mut self, term: u64, batch: CommitBatch) {
        let epoch = self.epoch;
        let Some(leader) = self.leader(term) else { return };
        if !leader.reaches_log {
            self.schedule(40, ModelEvent::Commit(term, batch));
            return;
        }
        if epoch > term {
            leader.scheduler.depose();
            return;
        }
        leader.is_committing = false;
        for record in &batch.decoded {
            self.job_table.fold(record, self.end);
            self.end += 1;
        }
        self.with(term, |scheduler, now| scheduler.committed(&batch, now));
    }

    fn send(&mut self, term: u64, id: &Arc<str>, key: TaskKey, run: u32) {
        let command = self.with(term, |scheduler, now| scheduler.command(&key, run, now));
        match command.flatten() {
            Some(RunCommand::Start(call)) => self.send_start(term, id, call),
            Some(RunCommand::Stop(call)) => self.send_stop(term, id, call),
            None => {}
        }
    }

    fn send_start(&mut self, term: u64, id: &Arc<str>, call: StartCall) {
        let (key, run) = (call.task, call.run);
        if self.chance(20) {
            let ms = self.random.random_range(1..1_000);
            self.schedule(ms, ModelEvent::NotSent(term, key, run));
            return;
        }
        let is_slow = self.load == StartLoad::Strained && self.chance(2);
        let timeout_ms = match is_slow {
            true => START_TIMEOUTS_MS[1],
            false => START_TIMEOUTS_MS[self.random.random_range(0..START_TIMEOUTS_MS.len())],
        };
        let (call_delay, answer_delay) = match is_slow {
            true => {
                let (call_delay, answer_delay) = (0..300, 300..850);
                (
                    Some(self.random.random_range(call_delay)),
                    Some(self.random.random_range(answer_delay)),
                )
            }
            false => self.draw_delays(),
        };
        let call_delay = match !is_slow && self.chance(3) {
            true => Some(self.random.random_range(300..EXECUTOR_DELAY_MAX_MS)),
            false => call_delay,
        };
        let call_delay = call_delay.filter(|_| self.reaches(term, id));
        self.trace(format!(
            "{term} sends {key}/{run} to {id}, on its way {call_delay:?}, back {answer_delay:?}"
        ));
        let answered_ms = call_delay
            .zip(answer_delay)
            .map(|(call_delay, answer_delay)| call_delay + answer_delay)
            .filter(|ms| *ms < timeout_ms);
        if let Some(ms) = call_delay {
            let answer_delay = answered_ms.and(answer_delay);
            self.schedule(ms, ModelEvent::StartArrives(term, id.clone(), call, answer_delay));
        }
        if answered_ms.is_none() {
            let unknown =
                ModelEvent::StartAnswered(term, id.clone(), key, run, CommandOutcome::Unknown);
            self.schedule(timeout_ms, unknown);
        }
    }

    fn start_arrives(
        &mut self,
        term: u64,
        id: Arc<str>,
        call: &StartCall,
        answer_delay: Option<u64>,
    ) {
        let now = self.now;
        let (key, run) = (call.task, call.run);
        let outcome = self.worker(&id).map(|worker| worker.start(call, now));
        self.trace(format!("start of {key}/{run} at {id}: {outcome:?}"));
        // The incarnation is over: the connection is closed.
        let outcome = outcome.unwrap_or(CommandOutcome::Unknown);
        if let Some(ms) = answer_delay {
            self.schedule(ms, ModelEvent::StartAnswered(term, id, key, run, outcome));
        }
        self.starts += 1;
        self.check(key);
    }

    fn check(&mut self, key: TaskKey) {
        let now = self.now;
        self.workers.iter_mut().for_each(|worker| worker.expire(now));
        let alive: Vec<String> = self
            .workers
            .iter()
            .filter_map(|worker| {
                Some(format!("{} on {}", worker.running.get(&key)?, worker.entry.id))
            })
            .collect();
        if alive.len() > 1 {
            self.fault = Some(format!("{key} at {}: {}", now - BEGIN_MS, alive.join(", ")));
        }
    }

    fn send_stop(&mut self, term: u64, id: &Arc<str>, call: RunCall) {
        let (call_delay, answer_delay) = self.draw_delays();
        let call_delay = call_delay.filter(|_| self.reaches(term, id));
        self.trace(format!(
            "{term} stops {}/{} on {id}, on its way {call_delay:?}",
            call.task, call.run
        ));
        let answered_ms = call_delay
            .zip(answer_delay)
            .map(|(call_delay, answer_delay)| call_delay + answer_delay);
        let answered_ms = answered_ms.filter(|ms| *ms < STOP_TIMEOUT_MS);
        if let Some(ms) = call_delay {
            let answer_delay = answered_ms.and(answer_delay);
            self.schedule(ms, ModelEvent::StopArrives(term, id.clone(), call, answer_delay));
        }
    }

    fn renew(&mut self, term: u64, id: Arc<str>) {
        let plan = self.with(term, |scheduler, now| scheduler.renew_plan(&id, now));
        match plan {
            Some(RenewPlan::Call(_, call, timeout)) => {
                if let Some(leader) = self.leader(term) {
                    leader.renewing.insert(id.clone());
                }
                let timeout_ms = u64::try_from(timeout.as_millis()).expect("a short time");
                let (call_delay, answer_delay) = self.draw_delays();
                let call_delay = call_delay.filter(|_| self.reaches(term, &id));
                let answered_ms = call_delay
                    .zip(answer_delay)
                    .map(|(call_delay, answer_delay)| call_delay + answer_delay);
                if let Some(ms) = call_delay {
                    let arrives =
                        ModelEvent::RenewArrives(term, id.clone(), call, self.now, answer_delay);
                    self.schedule(ms, arrives);
                }
                if answered_ms.is_none_or(|ms| ms >= timeout_ms) {
                    let unknown = CommandOutcome::Unknown;
                    let answered = ModelEvent::RenewAnswered(term, id, call, self.now, unknown);
                    self.schedule(timeout_ms, answered);
                }
            }
            Some(RenewPlan::Wait(_)) => {}
            Some(RenewPlan::Stop) | None => {
                if let Some(leader) = self.leader(term) {
                    leader.watched.remove(&id);
                }
            }
        }
    }

    fn renew_arrives(
        &mut self,
        term: u64,
        id: Arc<str>,
        call: RenewCall,
        sent_ms: u64,
        answer_delay: Option<u64>,
    ) {
        let now = self.now;
        let Some(worker) = self.worker(&id) else { return };
        let outcome = worker.renew(&call, now);
        let Some(answer_delay) = answer_delay else { return };
        let took_ms = now + answer_delay - sent_ms;
        if took_ms < 300 {
            self.schedule(
                answer_delay,
                ModelEvent::RenewAnswered(term, id, call, sent_ms, outcome),
            );
        } else if let CommandOutcome::Done(report) = outcome
            && took_ms < ANSWER_AGE_MAX_MS
        {
            self.schedule(answer_delay, ModelEvent::AnsweredLate(term, id, call, sent_ms, report));
        }
    }

    /// Another entry claims the leadership once the stream was quiet for long enough.
    fn claim(&mut self, term: u64) {
        if self.claimed >= term {
            return;
        }
        let quiet_ms = self.now - self.renewed_ms;
        if term > 1 && quiet_ms < RENEWAL_TIMEOUT_MS {
            self.schedule(RENEWAL_TIMEOUT_MS - quiet_ms, ModelEvent::Claim(term));
            return;
        }
        self.claimed = term;
        let seen_ms = self.renewed_ms;
        self.renewed_ms = self.now;
        self.trace(format!("{term} claims, last seen {}", seen_ms.saturating_sub(BEGIN_MS)));
        let ms = self.random.random_range(10..200);
        self.schedule(ms, ModelEvent::TakeOver(term, seen_ms));
    }

    fn take_over(&mut self, term: u64, seen_ms: u64) {
        self.epoch = term;
        let end = PredecessorEnd::Unknown;
        let start = SchedulerStart {
            term,
            bounds: bounds(),
            config: Arc::new(one_pool()),
            predecessor: (term > 1).then_some(PreviousLeader { seen_ms, end }),
            confirmed_ms: self.now,
            jobs_read_ms: self.now,
            workers_read_ms: self.now,
            now: self.now,
            wall_ms: WALL_OFFSET_MS + self.now,
        };
        let mut scheduler = Scheduler::open(start, &self.job_table);
        let listed = self.workers.iter().filter(|worker| worker.is_listed);
        let listed = listed.map(|worker| worker.entry.clone()).collect();
        scheduler.workers_listed(listed, self.now);
        self.renewed_ms = self.now;
        self.leaders.push(ModelLeader {
            scheduler,
            term,
            reaches_log: true,
            unreachable: BTreeSet::new(),
            watched: BTreeSet::new(),
            renewing: BTreeSet::new(),
            is_committing: false,
            renew_ms: self.now,
        });
        // Each leader has its own links.
        for position in 0..WORKERS {
            if self.chance(4) {
                self.toggle_link(term, position);
            }
        }
    }

    fn toggle_link(&mut self, term: u64, position: usize) {
        let name: Arc<str> = worker_name(&self.workers[position].entry.id).into();
        self.trace(format!("{term} and {name}: link toggled"));
        let Some(leader) = self.leader(term) else { return };
        if !leader.unreachable.remove(&name) {
            leader.unreachable.insert(name);
        }
    }

    fn newest_term(&self) -> Option<u64> {
        self.leaders.iter().map(|leader| leader.term).max()
    }

    fn random_event(&mut self) {
        let position = self.random.random_range(0..WORKERS);
        let kind = self.random.random_range(0..100);
        match kind {
            0..16 => self.submit(),
            16..32 => self.workers[position].is_full ^= true,
            32..37 => self.workers[position].is_unhealthy ^= true,
            85..100 if self.load == StartLoad::Strained => {
                self.workers[position].is_unhealthy ^= true
            }
            37..44 => {
                if let Some(term) = self.newest_term() {
                    self.toggle_link(term, position);
                }
            }
            44..48 => self.lose_leader(),
            48..49 => self.restart_worker(position),
            49..51 => self.toggle_entry(position),
            55..60 => self.list_vms(),
            60..80 => self.end_random_run(position),
            _ => {}
        }
        let ms = self.random.random_range(20..250);
        self.schedule(ms, ModelEvent::RandomEvent);
    }

    fn submit(&mut self) {
        if self.jobs >= JOBS {
            return;
        }
        self.jobs += 1;
        let step = if self.chance(4) { service_step(1) } else { step(2) };
        let count = step.count;
        let id = job_id(self.jobs);
        let record = JobRecord::Submitted(id, Arc::new(submission(job(vec![step]))));
        self.keys.extend((0..count).map(|index| task(id, 0, index)));
        if self.job_table.fold(&record, self.end) {
            for leader in self.leaders.iter_mut().filter(|leader| leader.reaches_log) {
                leader.scheduler.apply_record(&record, self.now);
            }
        }
        self.end += 1;
    }

    /// The newest leader is killed, or partitioned from the log while it still acts.
    fn lose_leader(&mut self) {
        let Some(term) = self.newest_term().filter(|term| *term == self.claimed) else { return };
        let is_killed = self.chance(3);
        self.trace(format!("{term} is lost, killed: {is_killed}"));
        if is_killed {
            self.leaders.retain(|leader| leader.term != term);
        } else if let Some(leader) = self.leader(term) {
            leader.reaches_log = false;
        }
        self.schedule(1, ModelEvent::Claim(term + 1));
    }

    /// Restarts a worker under its name; leaders read of it a moment later.
    fn restart_worker(&mut self, position: usize) {
        self.restarts += 1;
        let (now, slow_percent) = (self.now, self.workers[position].slow_percent);
        let before = &self.workers[position].entry;
        let entry = WorkerEntry {
            id: incarnation_id(worker_name(&before.id), Some(now)),
            ..before.clone()
        };
        self.trace(format!("{} restarts as {}", before.id, entry.id));
        let next = ModelWorker::begin(entry.clone(), slow_percent, now);
        self.workers[position] =
            ModelWorker { is_shedding: self.load == StartLoad::Strained, ..next };
        let ms = self.random.random_range(20..1_500);
        self.schedule(ms, ModelEvent::EntryRead(entry));
    }

    /// Removes or restores a worker's entry, also while the worker runs.
    fn toggle_entry(&mut self, position: usize) {
        let worker = &mut self.workers[position];
        worker.is_listed ^= true;
        let (is_listed, entry) = (worker.is_listed, worker.entry.clone());
        self.trace(format!("{} listed: {is_listed}", entry.id));
        let ms = self.random.random_range(5..300);
        let event = match is_listed {
            true => ModelEvent::EntryRead(entry),
            false => ModelEvent::EntryGone(worker_name(&entry.id).into()),
        };
        self.schedule(ms, event);
    }

    fn list_vms(&mut self) {
        let named = |worker: &ModelWorker| {
            let name = worker_name(&worker.entry.id);
            let vm_name = format!("m-{name}").into();
            VmEntry { vm: vm_name, worker: name.into(), ..vm(&worker.entry, POOL) }
        };
        let vms: Vec<VmEntry> = self.workers.iter().map(named).collect();
        for leader in &mut self.leaders {
            leader.scheduler.update_vms(vms.clone(), self.now, self.now);
        }
    }

    fn end_random_run(&mut self, position: usize) {
        let worker = &mut self.workers[position];
        let Some(key) = worker.running.keys().next().copied() else { return };
        let kind =
            if self.random.random_range(0..2) == 0 { ExitKind::Failed } else { ExitKind::Done };
        worker.end(key, kind);
        self.trace(format!("{key} ends on worker {position}"));
    }

    /// Trace of the task with two runs, and of all workers and leaders.
    fn trace_of(&self, fault: &str) -> String {
        let name = fault.split(' ').next().unwrap_or_default();
        let is_other = |line: &str| {
            self.keys.iter().any(|key| key.to_string() != name && line.contains(&key.to_string()))
        };
        let lines = self.traced.iter().filter(|(_, line)| !is_other(line));
        lines.map(|(ms, line)| format!("{ms:>6} {line}\n")).collect()
    }
}

fn env_number(name: &str, usual: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
}

/// Runs histories from this seed on, unless the environment sets another.
fn run_histories(load: StartLoad, usual_seed: u64) {
    let first = env_number("IBISWEIR_TEST_SEED", usual_seed);
    let (mut starts, mut broken, mut trace_of) = (0, Vec::new(), String::new());
    for seed in first..first + env_number("IBISWEIR_TEST_RUNS", RUNS) {
        let mut model = Model::open(load, seed);
        model.run();
        starts += model.starts;
        if let Some(fault) = &model.fault {
            if broken.is_empty() {
                trace_of = format!("seed {seed}: {fault}\n{}", model.trace_of(fault));
            }
            broken.push(seed);
        }
    }
    println!("{starts} starts");
    assert!(broken.is_empty(), "broken with seeds {broken:?}\n{trace_of}");
    assert!(starts > 0, "the histories must show something");
}

/// Guards against orders of events in which a run is declared over, or never begun, while its
/// worker runs it or may yet accept it.
#[test]
fn no_task_has_two_runs_in_any_order_of_attempts_and_leaders() {
    run_histories(StartLoad::Usual, 1);
}

/// Guards against the same if one attempt at a start is refused while another is carried out.
#[test]
fn no_task_has_two_runs_where_workers_refuse_some_starts() {
    run_histories(StartLoad::Strained, 1);
}
