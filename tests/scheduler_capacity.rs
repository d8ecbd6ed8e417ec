//! Workers whose capacity changes while tasks run: the latest worker entry counts.

mod support;

use std::sync::Arc;

use ibisweir::jobs::model::{ExitKind, ResourceVector, TaskKey};
use ibisweir::jobs::site::{SiteConfig, WorkerEntry};
use support::sim::{SchedulerSim, config, job, step, task, worker};

/// Pools whose workers have no admission check and start whatever they are told to.
fn without_admission_check() -> SiteConfig {
    let mut config = config();
    config.pools.iter_mut().for_each(|pool| pool.has_admission_check = false);
    config
}

/// A worker entry with this number of cores.
fn with_cores(entry: &WorkerEntry, cores: u64) -> WorkerEntry {
    let capacity = ResourceVector { cpu: cores * 1_000, ..entry.capacity };
    WorkerEntry { capacity, ..entry.clone() }
}

/// Cores that the runs on a worker use; each task takes one.
fn cores_used(sim: &SchedulerSim, id: &str) -> usize {
    sim.workers[id].running.len()
}

/// A worker's capacity shrinks below what is running. No run is stopped, and nothing starts until
/// enough runs have ended; when the capacity grows again, the waiting tasks start at once.
#[test]
fn a_worker_that_shrinks_below_its_runs_takes_no_start_until_it_fits() {
    let w1 = worker("w1", "r1");
    let mut sim = SchedulerSim::open(without_admission_check(), vec![w1.clone()]);
    let first = sim.submit(1, job(vec![step(6)]));
    sim.advance(100);
    sim.report(with_cores(&w1, 4));
    let second = sim.submit(2, job(vec![step(2)]));
    sim.advance(200);
    assert_eq!(cores_used(&sim, "w1"), 6);

    (0..2).for_each(|index| sim.end(task(first, 0, index), ExitKind::Done));
    sim.advance(100);
    assert_eq!(cores_used(&sim, "w1"), 4, "full at its new size");
    sim.end(task(first, 0, 2), ExitKind::Done);
    sim.advance(100);
    assert_eq!(cores_used(&sim, "w1"), 4);
    sim.report(w1);
    sim.advance(100);
    assert_eq!(sim.alive(task(second, 0, 0)) + sim.alive(task(second, 0, 1)), 2);
}

/// Guards against starts that wait to be sent while their worker's capacity shrinks. Sent all the
/// same, they would overload a worker without an admission check, and its tasks would starve each
/// other. They go elsewhere.
#[test]
fn starts_waiting_for_a_worker_that_shrinks_go_elsewhere() {
    let (w1, w2) = (worker("w1", "r1"), worker("w2", "r2"));
    let mut sim = SchedulerSim::open(without_admission_check(), vec![w1.clone(), w2]);
    sim.is_lane_held = true;
    let id = sim.submit(1, job(vec![step(8)]));
    let placed = sim.scheduled_on("w1").max(sim.scheduled_on("w2"));
    assert_eq!(placed, 8, "all go to one worker");
    let host: Arc<str> = if sim.scheduled_on("w1") == 8 { "w1".into() } else { "w2".into() };
    sim.report(with_cores(&worker(&host, "r1"), 3));
    sim.empty_lanes();
    sim.is_lane_held = false;
    sim.advance(2_000);

    assert!(cores_used(&sim, &host) <= 3, "{} cores", cores_used(&sim, &host));
    let alive = |index| sim.alive(task(id, 0, index));
    assert!((0..8).all(|index| alive(index) == 1), "each runs once");
}

/// Guards against starts that had no answer and are sent again after their worker's capacity has
/// shrunk, which would overload it. They are stopped there for good, and each task runs elsewhere,
/// once.
#[test]
fn starts_in_doubt_are_not_repeated_on_a_worker_that_shrank() {
    let (w1, w2) = (worker("w1", "r1"), worker("w2", "r2"));
    let mut sim = SchedulerSim::open(without_admission_check(), vec![w1, w2]);
    for name in ["w1", "w2"] {
        sim.workers.get_mut(name).expect("known").is_late = true;
    }
    let id = sim.submit(1, job(vec![step(4)]));
    let host: Arc<str> = if sim.scheduled_on("w1") > 0 { "w1".into() } else { "w2".into() };
    sim.report(with_cores(&worker(&host, "r1"), 1));
    for name in ["w1", "w2"] {
        sim.workers.get_mut(name).expect("known").is_late = false;
    }
    for step in 0..100 {
        sim.advance(20);
        assert!(cores_used(&sim, &host) <= 1, "{} cores", cores_used(&sim, &host));
        if step == 50 {
            sim.deliver_late(&host);
        }
    }
    let alive = |index| sim.alive(task(id, 0, index));
    assert!((0..4).all(|index| alive(index) == 1), "each runs once");
}

/// Guards against starts on capacities that have not been read for seconds: the part of the log
/// with the worker entries is unreachable, and a worker may have shrunk meanwhile. Workers without
/// an admission check get no start until the entries are read again; those that refuse what does
/// not fit still get starts.
#[test]
fn stale_capacities_allow_no_start_without_an_admission_check() {
    for (config, has_admission_check) in [(without_admission_check(), false), (config(), true)] {
        let mut sim = SchedulerSim::open(config, vec![worker("w1", "r1")]);
        sim.is_reading_workers = false;
        sim.advance(5_000);
        let id = sim.submit(1, job(vec![step(1)]));
        sim.advance(500);
        assert_eq!(sim.starts(task(id, 0, 0)) > 0, has_admission_check);
        sim.is_reading_workers = true;
        sim.advance(500);
        assert_eq!(sim.starts(task(id, 0, 0)), 1);
    }
}

/// A run that is being stopped counts until its end is listed, also on a worker that has shrunk
/// meanwhile.
#[test]
fn runs_being_stopped_count_on_a_worker_that_shrank() {
    let w1 = worker("w1", "r1");
    let mut sim = SchedulerSim::open(without_admission_check(), vec![w1.clone()]);
    sim.workers.get_mut("w1").expect("known").stop_ms = 300;
    let first = sim.submit(1, job(vec![step(4)]));
    sim.advance(100);
    sim.append(&ibisweir::jobs::record::JobRecord::Cancelled(first));
    sim.report(with_cores(&w1, 4));
    let second: TaskKey = task(sim.submit(2, job(vec![step(1)])), 0, 0);
    sim.advance(200);
    assert_eq!(sim.starts(second), 0);
    sim.advance(500);
    assert_eq!(sim.starts(second), 1);
}
