//! Cost of the leader's decisions: it must follow the work, not the size of the configuration.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use ibisweir::jobs::flow::FlowPace;
use ibisweir::jobs::model::{JobSubmission, StepSpec};
use ibisweir::jobs::record::JobRecord;
use ibisweir::jobs::site::{SiteConfig, WorkerEntry};
use support::sim::{POOL, SchedulerSim, config, job, job_id, queue, step, submission, worker};

/// Jobs that wait for capacity.
const JOBS: u64 = 200;
/// Queues of a large site.
const QUEUES: usize = 4_000;
/// Ticks per round; the fastest of all rounds counts, since other processes take the processor at
/// times.
const TICKS: usize = 60;
const ROUNDS: usize = 5;

fn workers() -> Vec<WorkerEntry> {
    (0..8).map(|n| worker(&format!("w{n}"), &format!("r{}", n / 4))).collect()
}

/// A full pool with waiting jobs.
fn full_pool(config: SiteConfig) -> SchedulerSim {
    let mut sim = SchedulerSim::open(config, workers());
    for id in 0..JOBS {
        sim.submit(id + 1, job(vec![step(8)]));
    }
    sim
}

/// Time of the fastest of some ticks that consider all waiting tasks.
fn fastest_tick(sim: &mut SchedulerSim) -> Duration {
    let tick = |_| {
        // Longer than the sweep interval, so that each tick places tasks.
        sim.now += 110;
        let wall_ms = sim.now;
        sim.scheduler.confirm(sim.now);
        sim.scheduler.jobs_read(sim.now);
        sim.scheduler.workers_read(sim.now);
        let started = Instant::now();
        sim.scheduler.tick(sim.now, wall_ms);
        let spent = started.elapsed();
        sim.scheduler.take_actions();
        spent
    };
    (0..TICKS).map(tick).min().unwrap_or_default()
}

/// Guards against a leader that falls behind with a large configuration: the queue of each waiting
/// job was looked up among all queues, several times in each decision.
#[test]
fn queues_without_jobs_cost_the_leader_nothing() {
    let unused = (0..QUEUES).map(|n| queue(&format!("unused-{n}"), POOL));
    let large = SiteConfig { queues: unused.chain(config().queues).collect(), ..config() };
    let (mut small, mut large) = (full_pool(config()), full_pool(large));
    let (mut without_unused, mut with_unused) = (Duration::MAX, Duration::MAX);
    for _ in 0..ROUNDS {
        without_unused = without_unused.min(fastest_tick(&mut small));
        with_unused = with_unused.min(fastest_tick(&mut large));
    }
    assert!(
        with_unused < without_unused * 2,
        "{with_unused:?} with {QUEUES} more queues, {without_unused:?} without"
    );
}

/// A pool in which nothing is placed, so that only the order of what is ready counts.
fn held_pool(organisations: u64) -> SchedulerSim {
    let mut sim = SchedulerSim::open(config(), workers());
    sim.scheduler.set_pace(FlowPace { starts_max: Some(0), ..FlowPace::default() });
    for id in 0..JOBS * 5 {
        let submitted = JobSubmission {
            organisation: Some(format!("o{}", id % organisations).into()),
            ..submission(job(vec![StepSpec { estimate_ms: 3_600_000, ..step(8) }]))
        };
        sim.append(&JobRecord::Submitted(job_id(id + 1), Arc::new(submitted)));
    }
    sim.run_until_idle();
    sim
}

/// Guards against an order between organisations that compares each job with each organisation: it
/// is decided in every placement, when the leader's processor is scarce.
#[test]
fn the_order_between_organisations_follows_the_jobs_and_not_the_organisations() {
    let (mut few, mut many) = (held_pool(2), held_pool(500));
    let mut fastest = [Duration::MAX; 3];
    let mut measure = |sim: &mut SchedulerSim, is_fair: bool, position: usize| {
        sim.scheduler.set_fair_shares(is_fair);
        fastest[position] = fastest[position].min(fastest_tick(sim));
    };
    for _ in 0..ROUNDS {
        measure(&mut few, false, 0);
        measure(&mut few, true, 1);
        measure(&mut many, true, 2);
    }
    let [unordered, few, many] = fastest;
    println!("{unordered:?} not ordered, {few:?} with 2 organisations, {many:?} with 500");
    assert!(many < few * 2, "{many:?} with 500 organisations, {few:?} with 2");
}
