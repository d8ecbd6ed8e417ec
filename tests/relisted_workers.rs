//! Workers whose entries disappear and come back while some of their leases still last.

mod support;

use ibisweir::jobs::model::ExitKind;
use support::sim::{SchedulerSim, config, job, step, task, worker};

/// Guards against a second run beside the first because the bound on a worker's leases was dropped
/// with its entry: the entry comes back, a start with a shorter lease is sent to the worker, and it
/// can't be reached from then on.
#[test]
fn leases_of_a_worker_that_is_listed_again_are_waited_out() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1"), worker("w2", "r2")]);
    sim.workers.get_mut("w2").expect("known").is_full = true;
    let first = task(sim.submit(1, job(vec![step(8)])), 0, 0);
    let place = sim.place(first);
    let other = if &*place == "w1" { "w2" } else { "w1" };
    sim.workers.get_mut("w2").expect("known").is_full = false;
    sim.advance(500);
    for index in 0..8 {
        sim.end(task(first.job, 0, index), ExitKind::Done);
    }
    sim.advance(100);
    sim.scheduler.worker_unlisted(&place, sim.now);
    sim.report(worker(&place, if &*place == "w1" { "r1" } else { "r2" }));
    // Its next renewal waits for the log.
    sim.are_renewals_muted = true;
    sim.scheduler.worker_unlisted(&other.into(), sim.now);
    let key = task(sim.submit(2, job(vec![step(1)])), 0, 0);
    assert_eq!(sim.place(key), place);
    sim.workers.get_mut(&place).expect("known").is_silent = true;
    sim.scheduler.worker_unlisted(&place, sim.now);
    sim.report(worker(other, if other == "w1" { "r1" } else { "r2" }));
    sim.are_renewals_muted = false;
    for _ in 0..60 {
        sim.advance(100);
        assert!(sim.alive(key) <= 1, "{} ms", sim.now);
    }
}
