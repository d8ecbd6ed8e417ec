//! Cost of the leader's decisions: it must follow the work, not the size of the configuration.

mod support;

use std::time::{Duration, Instant};

use ibisweir::jobs::site::{SiteConfig, WorkerEntry};
use support::sim::{POOL, SchedulerSim, config, job, queue, step, worker};

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
