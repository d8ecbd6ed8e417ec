//! Logs accepted jobs of which nothing has run for long although a step of them may begin.
//!
//! One line a pool: how many jobs, what the longest waiting one waits for, how much of the pool is
//! booked and how much of that is at work. Services have lines of their own (`waits.rs`). Nothing is
//! decided here.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::jobs::model::{JobId, ResourceVector, TaskKey};
use crate::scheduler::job::{JobRun, RunPhase};
use crate::scheduler::rank::{RankTier, rank};
use crate::scheduler::{Scheduler, SchedulerEvent};

/// Time without a run after which a job is logged, in milliseconds.
const IDLE_MIN_MS: u64 = 3_000;
/// Time between two checks, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 500;
/// Time between two log lines about one pool, in milliseconds.
const LOG_INTERVAL_MS: u64 = 2_000;
/// Most pools with a line after one check.
const LINES_MAX: usize = 16;

/// Jobs of which nothing runs, and since when.
#[derive(Debug, Default)]
pub(crate) struct IdleJobLog {
    checked_ms: u64,
    logged_ms: u64,
    idle_since: HashMap<JobId, u64>,
}

/// Jobs of one pool that have had nothing running for long.
#[derive(Clone, Copy, Debug)]
struct IdleJobs {
    jobs: usize,
    overdue: usize,
    /// Jobs with a run that is placed but not at work.
    placed: usize,
    longest: JobId,
    since_ms: u64,
}

/// Resources of a pool: of its usable workers, allocated, and at work.
#[derive(Clone, Copy, Debug, Default)]
struct PoolUse {
    capacity: ResourceVector,
    booked: ResourceVector,
    at_work: ResourceVector,
}

impl Scheduler {
    /// Logs which jobs have had nothing running for long.
    pub(crate) fn log_idle_jobs(&mut self, now: u64) {
        if now < self.idle_log.checked_ms + CHECK_INTERVAL_MS {
            return;
        }
        let before = std::mem::take(&mut self.idle_log.idle_since);
        let idle: HashMap<JobId, u64> = self
            .jobs
            .values()
            .filter(|job| is_idle(job))
            .map(|job| (job.id, before.get(&job.id).copied().unwrap_or(now)))
            .collect();
        self.idle_log.checked_ms = now;
        if now >= self.idle_log.logged_ms + LOG_INTERVAL_MS {
            self.idle_log.logged_ms = now;
            for event in self.idle_events(&idle, now) {
                self.emit(event);
            }
        }
        self.idle_log.idle_since = idle;
    }

    fn idle_events(&self, idle: &HashMap<JobId, u64>, now: u64) -> Vec<SchedulerEvent> {
        let mut pools: BTreeMap<Arc<str>, IdleJobs> = BTreeMap::new();
        for (id, since_ms) in idle.iter().filter(|(_, since)| now >= **since + IDLE_MIN_MS) {
            let Some(job) = self.jobs.get(id) else { continue };
            let new =
                IdleJobs { jobs: 0, overdue: 0, placed: 0, longest: *id, since_ms: *since_ms };
            let pool = pools.entry(self.service_of(job)).or_insert(new);
            pool.jobs += 1;
            pool.overdue += usize::from(self.tier_of(job, now) == Some(RankTier::Overdue));
            pool.placed += usize::from(has_live_run(job));
            if (*since_ms, *id) < (pool.since_ms, pool.longest) {
                (pool.since_ms, pool.longest) = (*since_ms, *id);
            }
        }
        if pools.is_empty() {
            return Vec::new();
        }
        let uses = self.pool_uses(now);
        let line = |(pool, idle): (Arc<str>, IdleJobs)| {
            let job = self.jobs.get(&idle.longest)?;
            let pool_use = uses.get(&pool).copied().unwrap_or_default();
            Some(SchedulerEvent::JobsIdle {
                jobs: idle.jobs,
                overdue: idle.overdue,
                placed: idle.placed,
                longest: idle.longest,
                tier: self.tier_of(job, now).map_or("unknown", RankTier::label),
                reason: self.idle_reason(job, now),
                idle_ms: now.saturating_sub(idle.since_ms),
                booked: pool_use.booked.dominant_share_of(&pool_use.capacity),
                at_work: pool_use.at_work.dominant_share_of(&pool_use.capacity),
                pool,
            })
        };
        pools.into_iter().take(LINES_MAX).filter_map(line).collect()
    }

    fn tier_of(&self, job: &JobRun, now: u64) -> Option<RankTier> {
        let queue = self.queue_of(job)?;
        let (occurrence, run) = job.occurrences.iter().next()?;
        let due_ms = self.due_ms(job, *occurrence, now);
        Some(rank(job, queue, run, &self.runtime_model(queue), due_ms, now).tier)
    }

    /// What the first open task of a job waits for.
    fn idle_reason(&self, job: &JobRun, now: u64) -> &'static str {
        let Some(key) = first_open_task(job) else { return "nothing" };
        let (Some(spec), Some(task)) = (job.spec(&key), job.task(&key)) else { return "nothing" };
        match task.live.last() {
            Some(live) => self.run_wait_reason(&key, live, now),
            None => self.placement_wait_reason(&key, job, spec, task, now),
        }
    }

    fn pool_uses(&self, now: u64) -> BTreeMap<Arc<str>, PoolUse> {
        let mut uses: BTreeMap<Arc<str>, PoolUse> = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| worker.is_available(now)) {
            let pool_use = uses.entry(worker.entry.service.clone()).or_default();
            pool_use.capacity.add(&worker.entry.capacity);
            pool_use.booked.add(worker.used());
            for ((key, run), placed) in &worker.runs {
                let live = self.live_run(key, *run);
                if live.is_some_and(|live| live.phase == RunPhase::Running) {
                    pool_use.at_work.add(&placed.need);
                }
            }
        }
        uses
    }
}

/// Whether nothing of a job runs although a step of it may begin.
fn is_idle(job: &JobRun) -> bool {
    let is_at_work = || {
        let mut tasks =
            job.occurrences.values().flat_map(|run| &run.steps).flat_map(|step| &step.tasks);
        tasks.any(|task| task.live.iter().any(|live| live.phase == RunPhase::Running))
    };
    !job.state.is_final()
        && !job.submission.spec.steps.iter().any(|step| step.is_service)
        && first_open_task(job).is_some()
        && !is_at_work()
}

fn has_live_run(job: &JobRun) -> bool {
    let mut steps = job.occurrences.values().flat_map(|run| &run.steps);
    steps.any(|step| step.counts().live > 0)
}

/// The first task of a step that may begin, unless it is done.
fn first_open_task(job: &JobRun) -> Option<TaskKey> {
    job.occurrences.iter().find_map(|(occurrence, run)| {
        let specs = job.submission.spec.steps.iter();
        specs.zip(&run.steps).enumerate().find_map(|(position, (spec, step))| {
            let index = step.tasks.iter().position(|task| !task.is_done)?;
            run.may_begin(spec).then(|| job.key(*occurrence, position, index))
        })
    })
}
