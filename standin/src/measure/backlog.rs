//! Processor time of a leader's decisions for one task, from placement to end, beside a backlog.
//!
//! The product's own scheduler runs in virtual time, without I/O. Its workers are full, and jobs of
//! one to four steps arrive as fast as tasks end, so that the number of waiting tasks stays the
//! same. Jobs arrive in relayed batches and are logged; starts are answered at once; workers report
//! when a task has ended, and twice a second otherwise. Only the processor time within calls of the
//! scheduler is counted. A digest of all commands and commits shows whether a change of the code has
//! changed a decision.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ibisweir::decide::access::RevocationRule;
use ibisweir::error::CodeResult;
use ibisweir::jobs::job_table::JobTable;
use ibisweir::jobs::model::{
    ExitKind, JobId, JobSpec, JobSubmission, ResourceVector, StepSpec, TaskKey,
};
use ibisweir::jobs::ports::{CommandOutcome, RunningTask, TaskExit, WorkerReport};
use ibisweir::jobs::record::JobRecord;
use ibisweir::jobs::site::{
    CallerLimits, PoolSpec, QueueSpec, SiteBounds, SiteConfig, VmEntry, VmState, WorkerEntry,
    incarnation_id, worker_name,
};
use ibisweir::scheduler::commit::CommitBatch;
use ibisweir::scheduler::renewals::RenewPlan;
use ibisweir::scheduler::runs::RunCommand;
use ibisweir::scheduler::{Scheduler, SchedulerAction, SchedulerEvent, SchedulerStart};
use nix::time::{ClockId, clock_gettime};

use super::{ExperimentTable, number};

/// Numbers of workers, and of waiting tasks.
const SIZES: [(usize, usize); 3] = [(350, 10_000), (350, 40_000), (1_000, 10_000)];
const POOLS: usize = 4;
/// Time between two ticks, in milliseconds, as in a leader that is under load.
const TICK_MS: u64 = 16;
/// Commits are taken with every other tick: the log takes a while.
const COMMIT_TICKS: u64 = 2;
/// Length of a run, and of the time before that is not counted, in milliseconds.
const LENGTH_MS: u64 = 1_600;
const WARM_MS: u64 = 1_600;
/// Time between two reports of a worker without exits, in milliseconds.
const REPORT_MS: u64 = 500;
/// Capacity of a worker: eight tasks.
const CAPACITY: ResourceVector = ResourceVector { cpu: 64_000, memory: 128_000, accelerators: 0 };
const NEED: ResourceVector = ResourceVector { cpu: 7_900, memory: 9_000, accelerators: 0 };
const WORKER_TASKS: usize = 8;
const ESTIMATE_MS: u64 = 800;
const STEP_TASKS: u32 = 8;
const START_MS: u64 = 100_000;
const WALL_MS: u64 = 1_000_000;
/// When the workers started, in milliseconds since the epoch.
const STARTED_MS: u64 = 900_000;

/// Prints the table.
///
/// # Errors
/// None.
pub fn run() -> CodeResult<bool> {
    super::print_machine();
    let head = ["workers", "waiting tasks", "tasks a second", "µs for one task", "decisions"];
    let mut table = ExperimentTable::new("decisions of a leader with a backlog", &head);
    for (workers, waiting) in SIZES {
        let mut stage = BacklogStage::open(workers, waiting);
        stage.run();
        let spent_us = stage.spent.as_secs_f64() * 1_000_000.0;
        let seconds = number(usize::try_from(LENGTH_MS).unwrap_or(0)) / 1_000.0;
        table.row([
            workers.to_string(),
            waiting.to_string(),
            format!("{:.0}", number(stage.ended) / seconds),
            format!("{:.1}", spent_us / number(stage.ended.max(1))),
            format!("{:016x}", stage.digest.finish()),
        ]);
        stage.print_parts();
    }
    Ok(super::all_reached(&[table]))
}

fn pool(number: usize) -> Arc<str> {
    format!("pool-{}", number % POOLS).into()
}

fn config() -> SiteConfig {
    let queue = |number: usize| QueueSpec {
        name: pool(number),
        host: String::new(),
        path_prefix: String::new(),
        service: pool(number),
        timeout_ms: 3_000,
        objective_ms: 600,
        stretch: 1.6,
        priority: 0,
        attempts: 3,
        permits: None,
        is_open: true,
    };
    let spec =
        |number| PoolSpec { name: pool(number), has_admission_check: true, is_standby: false };
    SiteConfig {
        version: 1,
        queues: (0..POOLS).map(queue).collect(),
        pools: (0..POOLS).map(spec).collect(),
        limits: CallerLimits::default(),
        access: None,
    }
}

fn bounds() -> SiteBounds {
    SiteBounds {
        lease_max_ms: 10_000,
        stop_ms: 400,
        status_ms: 120_000,
        cancel_ms: 3_000,
        grace_ms: 6_000,
        remote_factor: 3.0,
        maintenance_ms: 2_000,
        are_vms_fenced: true,
        revocation: RevocationRule { is_strict: false, bound_ms: 0 },
    }
}

fn worker(number: usize) -> WorkerEntry {
    WorkerEntry {
        id: incarnation_id(&format!("i-{number:08x}"), Some(STARTED_MS)),
        service: pool(number),
        address: SocketAddr::from(([10, 0, 0, 1], 1)),
        centre: "dc".into(),
        is_draining: false,
        drain_left_ms: 0,
        capacity: CAPACITY,
        labels: vec!["a".into(), format!("r{}", number / 8).into()],
    }
}

fn vm(worker: &WorkerEntry) -> VmEntry {
    VmEntry {
        vm: format!("m-{}", worker_name(&worker.id)).into(),
        pool: worker.service.clone(),
        state: VmState::Up,
        centre: worker.centre.clone(),
        rack: worker.rack().into(),
        capacity: worker.capacity,
        worker: worker_name(&worker.id).into(),
    }
}

/// Run time of a task; some of them take three times as long as the others.
fn run_time_ms(key: &TaskKey) -> u64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    let drawn = hasher.finish();
    let usual_ms = ESTIMATE_MS * 3 / 4 + drawn % (ESTIMATE_MS / 2);
    if drawn.is_multiple_of(33) { usual_ms * 3 } else { usual_ms }
}

/// Processor time of this thread.
fn thread_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map(Duration::from).unwrap_or_default()
}

/// Processor time of a clock's two readings, which is no part of what they enclose.
fn reading_time() -> Duration {
    let begun = thread_time();
    let readings = 1_000;
    (0..readings).for_each(|_| {
        thread_time();
    });
    thread_time().saturating_sub(begun) / readings
}

/// A worker as the stage plays it.
#[derive(Default)]
struct StageWorker {
    /// When each run begins and ends, in milliseconds.
    running: BTreeMap<(TaskKey, u32), (u64, u64)>,
    exits: Vec<TaskExit>,
    numbered: u64,
    reported_ms: u64,
}

struct BacklogStage {
    scheduler: Scheduler,
    workers: BTreeMap<Arc<str>, StageWorker>,
    vms: Vec<VmEntry>,
    /// Workers whose next renewal has something to report.
    due: BTreeSet<Arc<str>>,
    waiting_max: usize,
    submitted: u64,
    submitted_tasks: usize,
    /// Tasks that were started at least once.
    started: BTreeSet<TaskKey>,
    ended: usize,
    spent: Duration,
    parts: BTreeMap<&'static str, Duration>,
    reading_time: Duration,
    digest: DefaultHasher,
    relayed: u64,
    ticks: u64,
    now: u64,
}

impl BacklogStage {
    fn open(workers: usize, waiting_max: usize) -> BacklogStage {
        let entries: Vec<WorkerEntry> = (0..workers).map(worker).collect();
        let start = SchedulerStart {
            term: 1,
            bounds: bounds(),
            config: Arc::new(config()),
            predecessor: None,
            confirmed_ms: START_MS,
            jobs_read_ms: START_MS,
            workers_read_ms: START_MS,
            now: START_MS,
            wall_ms: WALL_MS,
        };
        let mut scheduler = Scheduler::open(start, &JobTable::default());
        scheduler.workers_listed(entries.clone(), 0);
        let stage_worker = |entry: &WorkerEntry| (entry.id.clone(), StageWorker::default());
        BacklogStage {
            scheduler,
            workers: entries.iter().map(stage_worker).collect(),
            vms: entries.iter().map(vm).collect(),
            due: entries.iter().map(|entry| entry.id.clone()).collect(),
            waiting_max,
            submitted: 0,
            submitted_tasks: 0,
            started: BTreeSet::new(),
            ended: 0,
            spent: Duration::ZERO,
            parts: BTreeMap::new(),
            reading_time: reading_time(),
            digest: DefaultHasher::new(),
            relayed: 0,
            ticks: 0,
            now: START_MS,
        }
    }

    fn run(&mut self) {
        // The first tick, without jobs: the workers accept the leader's token.
        self.tick();
        self.report();
        while self.now < START_MS + WARM_MS + LENGTH_MS {
            if self.now < START_MS + WARM_MS {
                (self.spent, self.ended) = (Duration::ZERO, 0);
                self.parts.clear();
            }
            self.now += TICK_MS;
            self.submit();
            self.end_tasks();
            self.report();
            self.tick();
        }
    }

    /// Counts the processor time of calls to the scheduler.
    fn call<T>(&mut self, part: &'static str, call: impl FnOnce(&mut Scheduler, u64) -> T) -> T {
        let begun = thread_time();
        let answer = call(&mut self.scheduler, self.now);
        let spent = thread_time().saturating_sub(begun).saturating_sub(self.reading_time);
        self.spent += spent;
        *self.parts.entry(part).or_default() += spent;
        answer
    }

    fn print_parts(&self) {
        let tasks = number(self.ended.max(1));
        let part = |(name, spent): (&&str, &Duration)| {
            format!("{name} {:.1}", spent.as_secs_f64() * 1_000_000.0 / tasks)
        };
        let parts: Vec<String> = self.parts.iter().map(part).collect();
        println!("{} workers, µs for one task: {}", self.workers.len(), parts.join(", "));
    }

    /// Submits as many jobs as keep the workers full and the given number of tasks waiting.
    fn submit(&mut self) {
        let capacity = self.workers.len() * WORKER_TASKS;
        // Later steps of jobs at work can't start yet, so that without a backlog some more jobs are
        // needed to fill the workers.
        let wanted = self.waiting_max.max(capacity / 10);
        let mut records = Vec::new();
        while self.submitted_tasks < self.started.len() + wanted {
            self.submitted += 1;
            let steps = u16::try_from(1 + self.submitted % 4).unwrap_or(1);
            let step = |position: u16| StepSpec {
                count: STEP_TASKS,
                need: NEED,
                estimate_ms: ESTIMATE_MS,
                after: position.checked_sub(1).into_iter().collect(),
                allows_copies: position == 3,
                ..StepSpec::default()
            };
            let queue = pool(usize::try_from(self.submitted / 4).unwrap_or(0));
            let submission = JobSubmission {
                queue: queue.clone(),
                service: queue,
                accepted_ms: WALL_MS + self.now - START_MS,
                spec: JobSpec {
                    payload: "text".to_owned(),
                    steps: (0..steps).map(step).collect(),
                    schedule: None,
                },
                kept_task_count: 0,
                organisation: None,
            };
            self.submitted_tasks += usize::from(steps) * usize::try_from(STEP_TASKS).unwrap_or(0);
            // The ids of callers are in no order.
            let id = self.submitted.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            if let Some(id) = JobId::parse(&format!("{id:016x}")) {
                records.push(JobRecord::Submitted(id, Arc::new(submission)));
            }
        }
        if !records.is_empty() {
            self.relayed += 1;
            let token = self.relayed;
            self.call("relay", |scheduler, now| scheduler.relay(token, records, now));
        }
    }

    fn tick(&mut self) {
        self.ticks += 1;
        let wall_ms = WALL_MS + self.now - START_MS;
        let actions = self.call("tick", |scheduler, now| {
            scheduler.confirm(now);
            scheduler.jobs_read(now);
            scheduler.workers_read(now);
            scheduler.tick(now, wall_ms);
            scheduler.take_actions()
        });
        self.carry_out(actions);
        if self.ticks.is_multiple_of(COMMIT_TICKS) {
            self.commit();
        }
    }

    fn commit(&mut self) {
        let batch = self.call("take_commit", |scheduler, _| scheduler.take_commit());
        let Some(batch) = batch else { return };
        self.digest_batch(&batch);
        self.call("committed", |scheduler, now| scheduler.committed(&batch, now));
    }

    fn digest_batch(&mut self, batch: &CommitBatch) {
        // The order in which the specs of jobs that are over are removed decides nothing.
        for record in batch.records.iter().filter(|record| record.key.starts_with('p')) {
            record.key.hash(&mut self.digest);
            record.value.hash(&mut self.digest);
        }
        batch.relayed.hash(&mut self.digest);
    }

    /// Carries out what the scheduler asks for; every start is answered at once.
    fn carry_out(&mut self, actions: Vec<SchedulerAction>) {
        let mut commands = Vec::new();
        for action in actions {
            match action {
                SchedulerAction::SendCommand(target, task, run) => {
                    commands.push((target.id, task, run));
                }
                SchedulerAction::StartRenewals(target) => {
                    self.due.insert(target.id);
                }
                SchedulerAction::RenewNow(id) => {
                    self.due.insert(id);
                }
                SchedulerAction::ListVms => {
                    let vms = self.vms.clone();
                    self.call("vms", |scheduler, now| scheduler.update_vms(vms, now, now));
                }
                SchedulerAction::Event(SchedulerEvent::Placed { task, run, worker, .. }) => {
                    (self.now, task, run, worker).hash(&mut self.digest);
                }
                SchedulerAction::Event(SchedulerEvent::Stopped { task, run, reason }) => {
                    (self.now, task, run, reason).hash(&mut self.digest);
                }
                _ => {}
            }
        }
        let sent = self.call("commands", |scheduler, now| {
            let send = |(id, task, run): &(Arc<str>, TaskKey, u32)| {
                let command = scheduler.command(task, *run, now);
                match &command {
                    Some(RunCommand::Start(_)) => {
                        let outcome = CommandOutcome::Done(now);
                        scheduler.handle_start_outcome(id, task, *run, &outcome, now);
                    }
                    Some(RunCommand::Stop(_)) => {
                        let outcome = CommandOutcome::Done(now);
                        scheduler.handle_stop_outcome(id, task, *run, &outcome, now);
                    }
                    None => {}
                }
                command
            };
            commands.iter().map(send).collect::<Vec<_>>()
        });
        for ((id, task, run), command) in commands.into_iter().zip(sent) {
            let worker = self.workers.entry(id.clone()).or_default();
            match command {
                Some(RunCommand::Start(_)) => {
                    let end = self.now + run_time_ms(&task);
                    worker.running.insert((task, run), (self.now, end));
                    self.started.insert(task);
                }
                Some(RunCommand::Stop(_)) => {
                    let stopped = worker.running.remove(&(task, run));
                    if stopped.is_some() {
                        worker.add_exit(task, run, ExitKind::Stopped);
                        self.due.insert(id);
                    }
                }
                None => {}
            }
        }
    }

    fn end_tasks(&mut self) {
        let now = self.now;
        for (id, worker) in &mut self.workers {
            let is_over = |_: &(TaskKey, u32), (_, end): &mut (u64, u64)| now >= *end;
            let over: Vec<(TaskKey, u32)> =
                worker.running.extract_if(.., is_over).map(|(key, _)| key).collect();
            for (task, run) in over {
                worker.add_exit(task, run, ExitKind::Done);
                self.ended += 1;
                self.due.insert(id.clone());
            }
            if now >= worker.reported_ms + REPORT_MS {
                self.due.insert(id.clone());
            }
        }
    }

    /// Renews where there is something to report, as a renewal that waits for an exit would.
    fn report(&mut self) {
        for id in std::mem::take(&mut self.due) {
            let plan = self.call("renew_plan", |scheduler, now| scheduler.renew_plan(&id, now));
            let Some(worker) = self.workers.get_mut(&id) else { continue };
            let RenewPlan::Call(_, call, _) = plan else {
                if !worker.exits.is_empty() {
                    self.due.insert(id);
                }
                continue;
            };
            worker.exits.retain(|exit| exit.number > call.acked_exits);
            let report = worker.report(self.now);
            if !report.exits.is_empty() {
                self.due.insert(id.clone());
            }
            let outcome = CommandOutcome::Done(report);
            self.call("report", |scheduler, now| {
                scheduler.handle_renewal_outcome(&id, &call, outcome, now, now);
            });
        }
    }
}

impl StageWorker {
    fn add_exit(&mut self, task: TaskKey, run: u32, kind: ExitKind) {
        self.numbered += 1;
        let (number, checkpoint) = (self.numbered, String::new());
        self.exits.push(TaskExit { number, task, run, kind, checkpoint });
    }

    fn report(&mut self, now: u64) -> WorkerReport {
        self.reported_ms = now;
        let running = self.running.iter().map(|((task, run), (begun, end))| RunningTask {
            task: *task,
            run: *run,
            checkpoint: String::new(),
            percent: u32::try_from((now - begun) * 100 / (end - begun).max(1)).unwrap_or(100),
            gauge: None,
        });
        WorkerReport {
            clock_ms: now,
            started_ms: Some(STARTED_MS),
            running: running.collect(),
            exits: self.exits.clone(),
        }
    }
}
