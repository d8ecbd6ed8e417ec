//! Processor time of a leader's decisions, by numbers of workers and of jobs that are open.
//!
//! The product's own scheduler runs in virtual time: jobs of two steps arrive at a rate that fills nine tenths of the
//! workers, starts are answered at once, tasks end after their run times, workers report their ends. Behind
//! them stands a line of jobs that are far too late and find no room, as after a burst. Only the time within calls of the
//! scheduler is counted.
//!
//! In a second table, waiting tasks are as small as the running ones, so that each takes the capacity that another frees:
//! jobs arrive at the rate that fills all workers, and those that are too late for their objective wait behind them. Its
//! figure is the processor time for one task, from the placement to the end, in thread time: other processes of a busy
//! machine don't count.

use std::collections::{BTreeMap, BTreeSet};
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
};
use ibisweir::scheduler::renewals::RenewPlan;
use ibisweir::scheduler::runs::RunCommand;
use ibisweir::scheduler::{Scheduler, SchedulerAction, SchedulerStart};

use nix::time::{ClockId, clock_gettime};

use super::{ExperimentTable, number, time_ms};

/// Workers, jobs that wait in vain, and queues without jobs.
const SIZES: [(usize, usize, usize); 7] = [
    (50, 0, 0),
    (350, 0, 0),
    (350, 600, 0),
    (350, 600, 2_000),
    (350, 10_000, 0),
    (1_000, 10_000, 0),
    (3_000, 0, 0),
];
/// Workers, and tasks that wait for capacity that other tasks free.
const BACKLOGS: [(usize, usize); 4] = [(350, 0), (350, 10_000), (1_000, 0), (1_000, 10_000)];
/// Runs of each size in the second table; the fastest counts, since caches are shared with other
/// processes.
const ROUNDS: usize = 3;
const POOLS: usize = 4;
/// Time between two ticks, in milliseconds, as the leader's loop has them in a burst.
const TICK_MS: u64 = 8;
/// Length of a run, and of the time before that is not counted, in milliseconds.
const LENGTH_MS: u64 = 4_000;
const WARM_MS: u64 = 2_000;
/// A worker's room: twelve tasks.
const ROOM: ResourceVector = ResourceVector { cpu: 16_000, memory: 32_000, accelerators: 0 };
const TASK: ResourceVector = ResourceVector { cpu: 1_300, memory: 2_500, accelerators: 0 };
const TASK_MS: u64 = 1_000;
const STEP_TASKS: u32 = 8;

/// Prints the table.
///
/// # Errors
/// None.
pub fn run() -> CodeResult<bool> {
    super::print_machine();
    let head = [
        "workers",
        "waiting in vain",
        "unused queues",
        "starts a second",
        "ms of decisions a second",
        "the same with digests of the backlog",
    ];
    let mut table = ExperimentTable::new("decisions of a leader", &head);
    for (workers, waiting, unused) in SIZES {
        // As long as none of them can be in time, and each asks for more than any worker has left.
        let need = ResourceVector { cpu: ROOM.cpu - 1, ..TASK };
        let mut stage = DecisionStage::open(workers, unused);
        stage.submit_backlog(waiting, need);
        let (spent, starts) = stage.run(90);
        let mut with_digests = DecisionStage::open(workers, unused);
        with_digests.scheduler.enable_line(true);
        with_digests.submit_backlog(waiting, need);
        let (spent_with_digests, _) = with_digests.run(90);
        let seconds = number(usize::try_from(LENGTH_MS).unwrap_or(0)) / 1_000.0;
        table.row([
            workers.to_string(),
            waiting.to_string(),
            unused.to_string(),
            format!("{:.0}", number(starts) / seconds),
            time_ms(spent.div_f64(seconds)),
            time_ms(spent_with_digests.div_f64(seconds)),
        ]);
    }
    Ok(super::all_reached(&[table, backlogs()]))
}

/// Processor time for one task where others of its size wait.
fn backlogs() -> ExperimentTable {
    let head =
        ["workers", "waiting tasks", "starts a second", "us a task", "us a task, all rounds"];
    let mut table = ExperimentTable::new("decisions of a leader for one task", &head);
    let reading = reading_cost();
    for (workers, waiting) in BACKLOGS {
        let round = |_| {
            let mut stage = DecisionStage::open(workers, 0);
            stage.submit_backlog(waiting / STEP_TASKS as usize, TASK);
            let (spent, starts) = stage.run(100);
            let readings = reading * u32::try_from(stage.calls).unwrap_or(u32::MAX);
            let us = spent.saturating_sub(readings).as_secs_f64() * 1e6 / number(starts.max(1));
            (us, starts)
        };
        let mut rounds: Vec<(f64, usize)> = (0..ROUNDS).map(round).collect();
        rounds.sort_by(|one, other| one.0.total_cmp(&other.0));
        let seconds = number(usize::try_from(LENGTH_MS).unwrap_or(0)) / 1_000.0;
        let all: Vec<String> = rounds.iter().map(|(us, _)| format!("{us:.1}")).collect();
        table.row([
            workers.to_string(),
            waiting.to_string(),
            format!("{:.0}", number(rounds[0].1) / seconds),
            format!("{:.1}", rounds[0].0),
            all.join(", "),
        ]);
    }
    table
}

/// Processor time of this thread so far.
fn thread_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).map(Duration::from).unwrap_or_default()
}

/// Processor time that one measured call adds by its two readings of the clock.
fn reading_cost() -> Duration {
    const PAIRS: u32 = 10_000;
    let begun = thread_time();
    for _ in 0..PAIRS {
        std::hint::black_box(thread_time().saturating_sub(thread_time()));
    }
    // Of a pair, one whole reading lies between the two points in time that are compared.
    (thread_time() - begun) / (PAIRS * 2)
}

fn pool(number: usize) -> Arc<str> {
    format!("pool-{}", number % POOLS).into()
}

fn config(unused: usize) -> SiteConfig {
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
    let unused_queue =
        |number| QueueSpec { name: format!("unused-{number}").into(), ..queue(number) };
    let spec =
        |number| PoolSpec { name: pool(number), has_admission_check: true, is_standby: false };
    SiteConfig {
        version: 1,
        queues: (0..unused).map(unused_queue).chain((0..POOLS).map(queue)).collect(),
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
        id: format!("i-{number:08x}").into(),
        service: pool(number),
        address: SocketAddr::from(([10, 0, 0, 1], 1)),
        centre: "dc".into(),
        is_draining: false,
        drain_left_ms: 0,
        capacity: ROOM,
        labels: vec!["a".into(), format!("r{}", number / 8).into()],
    }
}

fn vm(worker: &WorkerEntry) -> VmEntry {
    VmEntry {
        vm: format!("m-{}", worker.id).into(),
        pool: worker.service.clone(),
        state: VmState::Up,
        centre: worker.centre.clone(),
        rack: worker.rack().into(),
        capacity: worker.capacity,
        worker: worker.id.clone(),
    }
}

/// A task at work: when it ends.
type RunningTasks = BTreeMap<(TaskKey, u32), u64>;

struct DecisionStage {
    scheduler: Scheduler,
    running: BTreeMap<Arc<str>, RunningTasks>,
    exits: BTreeMap<Arc<str>, Vec<TaskExit>>,
    numbers: BTreeMap<Arc<str>, u64>,
    /// Workers whose next renewal has something to tell.
    due: BTreeSet<Arc<str>>,
    vms: Vec<VmEntry>,
    submitted: u64,
    starts: usize,
    spent: Duration,
    /// Measured calls.
    calls: usize,
    now: u64,
}

impl DecisionStage {
    fn open(workers: usize, unused: usize) -> DecisionStage {
        let entries: Vec<WorkerEntry> = (0..workers).map(worker).collect();
        let start = SchedulerStart {
            term: 1,
            bounds: bounds(),
            config: Arc::new(config(unused)),
            predecessor: None,
            confirmed_ms: 100_000,
            jobs_read_ms: 100_000,
            workers_read_ms: 100_000,
            now: 100_000,
            wall_ms: 1_000_000,
        };
        let mut scheduler = Scheduler::open(start, &JobTable::default());
        scheduler.workers_listed(entries.clone(), 0);
        let lists = |entry: &WorkerEntry| (entry.id.clone(), Default::default());
        let mut stage = DecisionStage {
            scheduler,
            running: entries.iter().map(lists).collect(),
            exits: entries.iter().map(|entry| (entry.id.clone(), Vec::new())).collect(),
            numbers: BTreeMap::new(),
            due: entries.iter().map(|entry| entry.id.clone()).collect(),
            vms: entries.iter().map(vm).collect(),
            submitted: 0,
            starts: 0,
            spent: Duration::ZERO,
            calls: 0,
            now: 100_000,
        };
        stage.tick();
        stage
    }

    /// Submits jobs, and lets so much time pass that they are far too late.
    fn submit_backlog(&mut self, jobs: usize, need: ResourceVector) {
        (0..jobs).for_each(|_| self.submit(need));
        self.now += 60_000;
    }

    /// Runs with arrivals that take this share of the workers, in percent.
    fn run(&mut self, load_percent: u64) -> (Duration, usize) {
        let tasks = u64::try_from(self.running.len()).unwrap_or(0) * (ROOM.cpu / TASK.cpu);
        let tasks = tasks * load_percent / 100;
        // Jobs of two steps, so many that this many tasks are at work.
        let gap_us = TASK_MS * 1_000 * u64::from(STEP_TASKS) / tasks.max(1);
        let (mut next_us, begun) = (self.now * 1_000, self.now);
        while self.now < begun + WARM_MS + LENGTH_MS {
            if self.now < begun + WARM_MS {
                (self.spent, self.calls, self.starts) = (Duration::ZERO, 0, 0);
            }
            self.now += TICK_MS;
            while next_us < self.now * 1_000 {
                next_us += gap_us * 2;
                self.submit(TASK);
            }
            self.end_tasks();
            self.report();
            self.tick();
        }
        (self.spent, self.starts)
    }

    /// Counts the time of a call to the scheduler.
    fn call<T>(&mut self, call: impl FnOnce(&mut Scheduler, u64) -> T) -> T {
        let begun = thread_time();
        let told = call(&mut self.scheduler, self.now);
        self.spent += thread_time().saturating_sub(begun);
        self.calls += 1;
        told
    }

    fn submit(&mut self, need: ResourceVector) {
        self.submitted += 1;
        let step = |after: Vec<u16>| StepSpec {
            count: STEP_TASKS,
            need,
            estimate_ms: TASK_MS,
            after,
            ..StepSpec::default()
        };
        let queue = pool(usize::try_from(self.submitted).unwrap_or(0));
        let submission = JobSubmission {
            queue: queue.clone(),
            service: queue,
            accepted_ms: 1_000_000,
            spec: JobSpec {
                payload: "text".to_owned(),
                steps: vec![step(Vec::new()), step(vec![0])],
                schedule: None,
            },
            kept_task_count: 0,
            organisation: None,
        };
        let id = JobId::parse(&format!("{:016x}", self.submitted));
        let Some(id) = id else { return };
        let record = JobRecord::Submitted(id, Arc::new(submission));
        self.call(|scheduler, now| scheduler.apply_record(&record, now));
    }

    fn tick(&mut self) {
        for _ in 0..3 {
            let actions = self.call(|scheduler, now| {
                scheduler.confirm(now);
                scheduler.jobs_read(now);
                scheduler.workers_read(now);
                scheduler.tick(now, 1_000_000 + now);
                scheduler.take_actions()
            });
            let is_quiet = actions.is_empty();
            actions.into_iter().for_each(|action| self.carry_out(action));
            while let Some(batch) = self.call(|scheduler, _| scheduler.take_commit()) {
                self.call(|scheduler, now| scheduler.committed(&batch, now));
            }
            if is_quiet {
                return;
            }
        }
    }

    fn carry_out(&mut self, action: SchedulerAction) {
        match action {
            SchedulerAction::SendCommand(target, task, run) => {
                let command = self.call(|scheduler, now| scheduler.command(&task, run, now));
                if let Some(RunCommand::Start(_)) = command {
                    self.starts += 1;
                    let end = self.now + TASK_MS;
                    self.running.entry(target.id.clone()).or_default().insert((task, run), end);
                    let outcome = CommandOutcome::Done(self.now);
                    self.call(|scheduler, now| {
                        scheduler.handle_start_outcome(&target.id, &task, run, &outcome, now);
                    });
                }
            }
            SchedulerAction::StartRenewals(target) => {
                self.due.insert(target.id);
            }
            SchedulerAction::RenewNow(id) => {
                self.due.insert(id);
            }
            SchedulerAction::ListVms => {
                let vms = self.vms.clone();
                self.call(|scheduler, now| scheduler.update_vms(vms, now, now));
            }
            _ => {}
        }
    }

    fn end_tasks(&mut self) {
        for (id, running) in &mut self.running {
            let now = self.now;
            let over: Vec<(TaskKey, u32)> =
                running.iter().filter(|(_, end)| now >= **end).map(|(key, _)| *key).collect();
            for (task, run) in over {
                running.remove(&(task, run));
                let number = self.numbers.entry(id.clone()).or_default();
                *number += 1;
                let (kind, checkpoint) = (ExitKind::Done, String::new());
                let exit = TaskExit { number: *number, task, run, kind, checkpoint };
                self.exits.entry(id.clone()).or_default().push(exit);
                self.due.insert(id.clone());
            }
        }
    }

    /// Renews where there is something to tell, as a renewal that waits for an exit would.
    fn report(&mut self) {
        for id in std::mem::take(&mut self.due) {
            let plan = self.call(|scheduler, now| scheduler.renew_plan(&id, now));
            let RenewPlan::Call(_, call, _) = plan else {
                self.due.insert(id);
                continue;
            };
            let exits = self.exits.entry(id.clone()).or_default();
            exits.retain(|exit| exit.number > call.acked_exits);
            let running = self.running.get(&id).into_iter().flatten();
            let now = self.now;
            let running = running.map(|((task, run), end)| RunningTask {
                task: *task,
                run: *run,
                checkpoint: String::new(),
                percent: u32::try_from(100 - (end - now) * 100 / TASK_MS).unwrap_or(0),
                gauge: None,
            });
            let report = WorkerReport {
                clock_ms: now,
                started_ms: None,
                running: running.collect(),
                exits: exits.clone(),
            };
            if !report.exits.is_empty() {
                self.due.insert(id.clone());
            }
            let outcome = CommandOutcome::Done(report);
            self.call(|scheduler, now| {
                scheduler.handle_renewal_outcome(&id, &call, outcome, now, now)
            });
        }
    }
}
