//! Orders of events in which one task could run in two places at a time.

mod support;

use ibisweir::scheduler::SchedulerNote;
use support::stage::{Stage, config, job, step, task, worker};

/// Guards against a second run that nothing tells of: it is stopped, and its task may be served.
#[test]
fn a_second_run_that_a_worker_lists_is_told_once() {
    let mut stage = Stage::open(config(), vec![worker("w1", "r1"), worker("w2", "r2")]);
    let key = task(stage.submit(1, job(vec![step(2)])), 0, 0);
    stage.advance(200);
    let place = stage.place(key);
    let other = if &*place == "w1" { "w2" } else { "w1" };
    let worker = stage.workers.get_mut(other).expect("known");
    worker.running.insert((key, 7), 0);
    worker.stop_ms = 200;
    worker.lease_until_ms = u64::MAX;
    stage.submit(2, job(vec![step(8)]));
    stage.advance(1_000);
    let is_told = |note: &&SchedulerNote| matches!(note, SchedulerNote::SecondRun { .. });
    assert_eq!(stage.notes.iter().filter(is_told).count(), 1);
    assert_eq!(stage.alive(key), 1);
}
