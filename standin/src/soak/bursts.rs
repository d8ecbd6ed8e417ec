//! A site of many VMs whose pools are asked in turns: in its turn each queue asks for more than its pool holds, between
//! its turns for little. Entries get as much processor as the machine has left beside busy threads, or a part of it.
//! Nothing is harmed, unless that is asked for: then what stands is judged once nothing has been harmed for a while.
//! Jobs whose tasks fail are not judged.
//!
//! Callers don't wait for each other, so more may be accepted at a time than a leader can begin at once.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Method};
use ibisweir::jobs::model::JobId;
use ibisweir::transport::{ExchangeFailure, HttpCall, HttpTransport};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::jobs::http::failed_connections;
use crate::jobs::ledger::{CallerJob, SubmissionEnd};
use crate::jobs::proxy::LinkFault;
use crate::jobs::site::{CALLER_HOST, JobPlatform, SiteShape};
use crate::soak::callers::{PATIENCE, TRIES};
use crate::soak::duty::{self, DutyCycle};
use crate::soak::entry::EntryProcess;
use crate::soak::standing::{OpenJob, StandingWatch};
use crate::soak::{
    BurstShape, DUTY_SEED, HARM_SEED, SETTLE_TIME, SoakPlan, SoakReport, faults, harm, keep_logs,
    settle, watch_lag,
};

/// Pools, each with one queue.
const POOLS: [&str; 4] = ["north", "east", "south", "west"];
/// Processor of a VM, in thousandths of a core.
const VM_CPU: u64 = 64_000;
/// Changes of leaders are drawn by a seed of their own.
const LEADER_SEED: u64 = 0x6c65_6164;
/// Records of a topic that the log keeps: a few seconds' worth at this load.
const HISTORY: usize = 20_000;
/// Time from one turn of a queue to its next, and length of a turn.
const CYCLE: Duration = Duration::from_millis(4_400);
const TURN: Duration = Duration::from_millis(1_000);
/// Demand between turns, of the mean.
const BETWEEN: f64 = 0.05;
/// Time before a refused submission is tried again.
const RETRY_GAP: Duration = Duration::from_secs(1);
/// Time between two looks at what stands.
const LOOK_GAP: Duration = Duration::from_millis(100);
/// Time without harm from which jobs may not stand still: the change, and the leases of workers that
/// the next leader can't reach.
const CALM_TIME: Duration = Duration::from_secs(10);
/// Tasks of a step.
const WIDTH: u32 = 8;
/// Steps of a mixed job, and the widths that each is drawn from.
const STEPS: std::ops::RangeInclusive<usize> = 1..=4;
const WIDTHS: [u32; 6] = [1, 2, 4, 8, 16, 32];
/// Share of mixed jobs whose tasks fail.
const FAIL_SHARE: f64 = 0.03;

/// What a queue's jobs are made of.
#[derive(Clone, Copy, Debug)]
struct JobKind {
    work_ms: u64,
    /// Processor of a task, in thousandths of a core.
    cpu: u64,
    /// Share of the jobs that have a second step.
    second_step: f64,
}

/// Kinds of jobs; the queues have them in turn.
const KINDS: [JobKind; 2] = [
    JobKind { work_ms: 640, cpu: 6_200, second_step: 0.6 },
    JobKind { work_ms: 2_100, cpu: 13_000, second_step: 1.0 },
];

impl JobKind {
    /// Work of a job in the mean, in thousandths of a core and seconds.
    fn work(&self) -> f64 {
        let tasks = f64::from(WIDTH) * (1.0 + self.second_step);
        tasks * count(self.cpu) * count(self.work_ms) / 1_000.0
    }

    /// The same of a mixed job.
    fn mixed_work(&self) -> f64 {
        let steps = (STEPS.start() + STEPS.end()) as f64 / 2.0;
        let width = f64::from(WIDTHS.iter().sum::<u32>()) / WIDTHS.len() as f64;
        steps * width * count(self.cpu) * count(self.work_ms) / 1_000.0
    }
}

/// Steps of a mixed job, and whether its tasks fail.
fn draw_steps(random: &mut StdRng) -> (Vec<u32>, bool) {
    let steps = random.random_range(STEPS);
    let mut width = || WIDTHS[random.random_range(0..WIDTHS.len())];
    let widths = (0..steps).map(|_| width()).collect();
    (widths, random.random_bool(FAIL_SHARE))
}

fn count(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

/// Threads that keep cores busy; they end when dropped.
struct BusyThreads {
    is_over: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl BusyThreads {
    fn spawn(number: usize) -> BusyThreads {
        let is_over = Arc::new(AtomicBool::new(false));
        let spin = |is_over: Arc<AtomicBool>| {
            while !is_over.load(Ordering::Relaxed) {
                std::hint::spin_loop();
            }
        };
        let threads = (0..number).map(|_| {
            let is_over = is_over.clone();
            thread::spawn(move || spin(is_over))
        });
        BusyThreads { threads: threads.collect(), is_over }
    }
}

impl Drop for BusyThreads {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // A thread that panicked has ended as well.
            let _ = thread.join();
        }
    }
}

/// A job as it was submitted.
#[derive(Clone, Copy, Debug)]
struct BurstJob {
    pool: &'static str,
    cpu: u64,
    tasks: usize,
    fails: bool,
    is_accepted: bool,
}

/// Jobs that were told to stand still.
#[derive(Debug, Default)]
struct StandingTally {
    all: BTreeSet<JobId>,
    /// Those that did so after the traffic.
    after: BTreeSet<JobId>,
    /// Most at a time.
    most: usize,
}

impl StandingTally {
    fn summary(&self, open: usize) -> String {
        format!(
            "{} accepted jobs stood still, {} of them after the traffic, {} at a time; {open} never end",
            self.all.len(),
            self.after.len(),
            self.most,
        )
    }
}

/// Callers of all queues, and what they submitted.
struct BurstTraffic {
    platform: Arc<JobPlatform>,
    entries: Vec<Arc<EntryProcess>>,
    transport: HttpTransport,
    is_mixed: bool,
    jobs: Mutex<BTreeMap<JobId, BurstJob>>,
}

/// Runs one seed.
pub async fn run(
    plan: &SoakPlan,
    shape: BurstShape,
    seed: u64,
    directory: &Path,
) -> std::io::Result<SoakReport> {
    let site = SiteShape {
        vms: shape.vms,
        pools: &POOLS,
        vm_cpu: VM_CPU,
        history: HISTORY,
        has_links: shape.is_harmed || !shape.latency.is_zero(),
        is_open: true,
    };
    let usual = match shape.latency {
        Duration::ZERO => LinkFault::None,
        latency => LinkFault::Late(latency),
    };
    let failed_before = failed_connections();
    let platform = Arc::new(JobPlatform::open_shape(site).await?);
    let mut entries = Vec::new();
    for number in 0..plan.entries {
        let cpu_share = duty::cpu_share(usize::from(number), shape.duty);
        let entry =
            EntryProcess::start(number, cpu_share, &plan.daemon, directory, &platform).await?;
        entries.push(Arc::new(entry));
    }
    let mut report = SoakReport::default();
    let lag = Arc::new(AtomicU64::new(0));
    let lag_watch = tokio::spawn(watch_lag(lag.clone()));
    if !settle(|| entries.iter().all(|entry| entry.was_ready()), &entries).await {
        report.broken.push("not every entry was ready before the traffic began".to_owned());
    }
    platform.vms().iter().for_each(|linked| linked.link.set(usual));
    entries.iter().for_each(|entry| entry.log_link.set(usual));
    let duty = match shape.duty {
        Duration::ZERO => None,
        run => Some(DutyCycle::spawn(StdRng::seed_from_u64(seed ^ DUTY_SEED), run, &entries)?),
    };
    let traffic = Arc::new(BurstTraffic {
        platform: platform.clone(),
        entries: entries.clone(),
        transport: HttpTransport::open(),
        is_mixed: shape.is_mixed,
        jobs: Mutex::default(),
    });
    let busy = BusyThreads::spawn(shape.busy);
    let begun = Instant::now();
    let end = begun + plan.length;
    let changes_leaders = !shape.leader_gap.is_zero();
    let calm = if changes_leaders || shape.is_harmed { end + CALM_TIME } else { begun };
    let watch = tokio::spawn(traffic.clone().watch(begun, end, calm));
    let changes = changes_leaders.then(|| {
        let random = StdRng::seed_from_u64(seed ^ LEADER_SEED);
        tokio::spawn(faults::change_leaders(random, shape.leader_gap, end, entries.clone()))
    });
    let harm = shape.is_harmed.then(|| {
        let random = StdRng::seed_from_u64(seed ^ HARM_SEED);
        tokio::spawn(harm::inject(random, end, usual, platform.clone(), entries.clone()))
    });
    let mut queues = JoinSet::new();
    for number in 0..POOLS.len() {
        let random = StdRng::seed_from_u64(seed * 1_000 + number as u64);
        let rate = shape.rate(number);
        queues.spawn(traffic.clone().submit_in_turns(number, rate, random, begun, end));
    }
    let looked_after = entries.clone();
    let length = plan.length + SETTLE_TIME * 2;
    let keeper = tokio::spawn(async move { faults::look_after(length, &looked_after).await });
    while queues.join_next().await.is_some() {}
    if let Some(changes) = changes {
        report.faults = changes.await.unwrap_or(0);
    }
    if let Some(harm) = harm {
        report.faults += harm.await.unwrap_or(0);
    }
    report.broken.extend(watch.await.unwrap_or_else(|error| vec![error.to_string()]));
    keeper.abort();
    drop(busy);
    if let Some(duty) = duty {
        duty.end().await;
    }
    traffic.check_end(&mut report);
    let failed = failed_connections() - failed_before;
    if failed > 0 {
        report.broken.push(format!(
            "no descriptor for {failed} connections of the stand-in; nothing is shown"
        ));
    }
    let mut stops = JoinSet::new();
    for entry in entries {
        stops.spawn(async move { (entry.stop().await, entry.name.clone()) });
    }
    for (has_ended, name) in stops.join_all().await {
        if !has_ended {
            report.broken.push(format!("{name} did not end with 0 when it was stopped"));
        }
    }
    lag_watch.abort();
    report.lag = Duration::from_millis(lag.load(Ordering::Relaxed));
    report.broken.append(&mut platform.ledger().faults);
    keep_logs(plan, &report, directory)?;
    Ok(report)
}

impl BurstShape {
    /// Jobs a second that a queue is asked for in the mean.
    fn rate(&self, queue: usize) -> f64 {
        let kind = KINDS[queue % KINDS.len()];
        let work = if self.is_mixed { kind.mixed_work() } else { kind.work() };
        let vms = f64::from(u32::try_from(self.vms).unwrap_or(u32::MAX));
        let demand = vms * count(VM_CPU) * f64::from(self.load) / 100.0;
        demand / count(POOLS.len() as u64) / work
    }
}

/// Demand of a queue at a time since the beginning, of its mean.
fn turn_factor(queue: usize, at: Duration) -> f64 {
    let (cycle, turn) = (CYCLE.as_secs_f64(), TURN.as_secs_f64());
    let offset = cycle * queue as f64 / POOLS.len() as f64;
    let phase = (at.as_secs_f64() + cycle - offset) % cycle;
    if phase < turn { (cycle - BETWEEN * (cycle - turn)) / turn } else { BETWEEN }
}

impl BurstTraffic {
    fn jobs(&self) -> MutexGuard<'_, BTreeMap<JobId, BurstJob>> {
        self.jobs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Submits jobs of one queue as its turns ask for, each on its own.
    async fn submit_in_turns(
        self: Arc<Self>,
        queue: usize,
        rate: f64,
        mut random: StdRng,
        begun: Instant,
        end: Instant,
    ) {
        let mut under_way = JoinSet::new();
        let mut at = begun;
        // Candidates come at the highest rate; each counts with the share that is asked for at its time.
        let peak = CYCLE.as_secs_f64() / TURN.as_secs_f64();
        loop {
            let gap = -(1.0 - random.random_range(0.0..1.0_f64)).ln() / (rate * peak);
            at += Duration::from_secs_f64(gap);
            if at >= end {
                break;
            }
            if !random.random_bool((turn_factor(queue, at - begun) / peak).min(1.0)) {
                continue;
            }
            let (id, body) = self.draw(queue, &mut random);
            let tries: Vec<usize> =
                (0..TRIES).map(|_| random.random_range(0..self.entries.len())).collect();
            sleep_until(at).await;
            while under_way.try_join_next().is_some() {}
            under_way.spawn(self.clone().submit(POOLS[queue], id, body, tries, end));
        }
        while under_way.join_next().await.is_some() {}
    }

    /// Draws a job that is noted, and the body that submits it.
    fn draw(&self, queue: usize, random: &mut StdRng) -> (JobId, Bytes) {
        let kind = KINDS[queue % KINDS.len()];
        let id = loop {
            if let Some(id) = JobId::parse(&format!("{:016x}", random.random::<u64>())) {
                break id;
            }
        };
        let mut payload = format!("work={} cpu={}", kind.work_ms, kind.cpu);
        let (steps, fails) = match self.is_mixed {
            false => (vec![WIDTH; if random.random_bool(kind.second_step) { 2 } else { 1 }], false),
            true => draw_steps(random),
        };
        if fails {
            payload.push_str(" fails");
        }
        let bodies: Vec<Value> = (0..steps.len())
            .map(|position| {
                let after: Vec<usize> = (0..position).collect();
                json!({
                    "count": steps[position], "cpu": kind.cpu, "mem-mb": 256, "est-ms": kind.work_ms,
                    "after": after,
                })
            })
            .collect();
        let body = json!({ "spec": payload, "steps": bodies }).to_string();
        let tasks = steps.iter().map(|width| *width as usize).sum();
        let job = BurstJob { pool: POOLS[queue], cpu: kind.cpu, tasks, fails, is_accepted: false };
        self.jobs().insert(id, job);
        let job = CallerJob {
            payload,
            steps,
            end: None,
            is_cancelled: false,
            lasts: false,
            may_fail: fails,
            organisation: None,
        };
        self.platform.ledger().jobs.insert(id, job);
        (id, Bytes::from(body))
    }

    /// Submits a job until it is accepted, or has been tried as often as callers do, or the traffic is over.
    async fn submit(
        self: Arc<Self>,
        pool: &'static str,
        id: JobId,
        body: Bytes,
        tries: Vec<usize>,
        over: Instant,
    ) {
        let mut end = SubmissionEnd::Refused;
        for entry in tries {
            let mut headers = HeaderMap::new();
            headers.insert("deadline-ms", HeaderValue::from_static("3000"));
            headers.insert(HOST, HeaderValue::from_static(CALLER_HOST));
            let path = format!("/{pool}/{id}");
            let call = HttpCall { method: Method::POST, path, headers, body: body.clone() };
            let answer = self.transport.exchange(self.entries[entry].callers, call, PATIENCE).await;
            match answer.map(|answer| answer.status.as_u16()) {
                Ok(200..=299) => {
                    end = SubmissionEnd::Accepted;
                    break;
                }
                Ok(404 | 429 | 503) | Err(ExchangeFailure::NotSent) => {}
                Ok(_) | Err(ExchangeFailure::NoAnswer) => end = SubmissionEnd::Unknown,
            }
            if Instant::now() + RETRY_GAP >= over {
                break;
            }
            sleep(RETRY_GAP).await;
        }
        if let Some(job) = self.platform.ledger().jobs.get_mut(&id) {
            job.end = Some(end);
        }
        if let Some(job) = self.jobs().get_mut(&id).filter(|_| end == SubmissionEnd::Accepted) {
            job.is_accepted = true;
        }
    }

    /// Accepted jobs that are not done and can be.
    fn open_jobs(&self) -> Vec<OpenJob> {
        let ledger = self.platform.ledger();
        let jobs = self.jobs();
        let accepted = jobs.iter().filter(|(_, job)| job.is_accepted && !job.fails);
        let open = accepted.filter(|(id, job)| ledger.done_of(**id) < job.tasks);
        open.map(|(id, job)| OpenJob {
            id: *id,
            pool: job.pool,
            cpu: job.cpu,
            live: ledger.live_of(*id),
            runs: ledger.starts_of(*id),
        })
        .collect()
    }

    /// Watches what stands still until nothing is open after the traffic.
    async fn watch(self: Arc<Self>, begun: Instant, end: Instant, calm: Instant) -> Vec<String> {
        let mut watch = StandingWatch::default();
        let mut broken = Vec::new();
        let mut tally = StandingTally::default();
        loop {
            sleep(LOOK_GAP).await;
            let vms: Vec<_> =
                self.platform.vms().iter().filter_map(|linked| linked.vm.usage()).collect();
            let (now, open) = (Instant::now(), self.open_jobs());
            if now < calm {
                continue;
            }
            let standing = watch.look(now, &open, &vms);
            let count = watch.count();
            tally.most = tally.most.max(count);
            for job in standing {
                tally.all.insert(job.id);
                if now > end {
                    tally.after.insert(job.id);
                }
                broken.push(format!(
                    "at {:.1} s of {} s: {} stands still since {:.1} s after {} runs, {} of {} in use in {}, {count} \
                     such jobs of {} open",
                    (now - begun).as_secs_f64(),
                    (end - begun).as_secs(),
                    job.id,
                    (job.since - begun).as_secs_f64(),
                    job.runs,
                    job.used.0 / 1_000,
                    job.used.1 / 1_000,
                    job.pool,
                    open.len(),
                ));
            }
            let is_late = now > end + SETTLE_TIME;
            if is_late || (now > end + PATIENCE && open.is_empty()) {
                broken.extend(open.iter().map(|job| format!("{} never ends", job.id)));
                if !broken.is_empty() {
                    broken.insert(0, tally.summary(open.len()));
                }
                return broken;
            }
        }
    }

    /// What was refused has not run.
    fn check_end(&self, report: &mut SoakReport) {
        let ledger = self.platform.ledger();
        for (id, job) in &ledger.jobs {
            match job.end {
                Some(SubmissionEnd::Accepted) => report.accepted += 1,
                Some(SubmissionEnd::Refused) => {
                    report.refused += 1;
                    if ledger.starts_of(*id) > 0 {
                        report.broken.push(format!("{id} was refused by everybody, and ran"));
                    }
                }
                Some(SubmissionEnd::Unknown) | None => report.unknown += 1,
            }
        }
        report.starts = ledger.starts;
        (report.repeats, report.lapsed) = (ledger.repeats, ledger.lapsed);
    }
}
