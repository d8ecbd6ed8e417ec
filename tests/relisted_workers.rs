//! Workers whose entries go and come back while leases of theirs still last.

mod support;

use ibisweir::jobs::model::ExitKind;
use support::stage::{Stage, config, job, step, task, worker};

/// Guards against a second run beside the first, as the bound on a worker's leases went with its entry: its entry comes
/// back, a start with a shorter lease is sent to it, and it can't be reached from then on.
#[test]
fn leases_of_a_worker_that_is_listed_again_are_waited_out() {
    let mut stage = Stage::open(config(), vec![worker("w1", "r1"), worker("w2", "r2")]);
    stage.workers.get_mut("w2").expect("known").is_full = true;
    let first = task(stage.submit(1, job(vec![step(8)])), 0, 0);
    let place = stage.place(first);
    let other = if &*place == "w1" { "w2" } else { "w1" };
    stage.workers.get_mut("w2").expect("known").is_full = false;
    stage.advance(500);
    for index in 0..8 {
        stage.end(task(first.job, 0, index), ExitKind::Done);
    }
    stage.advance(100);
    stage.scheduler.worker_unlisted(&place, stage.now);
    stage.report(worker(&place, if &*place == "w1" { "r1" } else { "r2" }));
    // Its next renewal waits for an answer of the log.
    stage.mutes_renewals = true;
    stage.scheduler.worker_unlisted(&other.into(), stage.now);
    let key = task(stage.submit(2, job(vec![step(1)])), 0, 0);
    assert_eq!(stage.place(key), place);
    stage.workers.get_mut(&place).expect("known").is_silent = true;
    stage.scheduler.worker_unlisted(&place, stage.now);
    stage.report(worker(other, if other == "w1" { "r1" } else { "r2" }));
    stage.mutes_renewals = false;
    for _ in 0..60 {
        stage.advance(100);
        assert!(stage.alive(key) <= 1, "{} ms", stage.now);
    }
}
