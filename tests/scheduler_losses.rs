//! Workers that are lost under tasks: what is counted, who is suspected, and when a task is given up.

mod support;

use ibisweir::jobs::model::TaskKey;
use ibisweir::scheduler::SchedulerNote;
use support::stage::{Stage, config, job, step, task, worker};

/// Times at work that were logged for lost runs of a task.
fn times_at_work(stage: &Stage, key: TaskKey) -> Vec<Option<u64>> {
    let lost = stage.notes.iter().filter_map(|note| match note {
        SchedulerNote::Lost { task, at_work_ms, .. } if *task == key => Some(*at_work_ms),
        _ => None,
    });
    lost.collect()
}

/// A worker crashes 700 ms after one task and 100 ms after another was started there. Operators who
/// look for what crashes workers read from the log how long each had been at work.
#[test]
fn a_lost_run_is_logged_with_its_time_at_work() {
    let mut stage = Stage::open(config(), vec![worker("w1", "r1")]);
    let older = stage.submit(1, job(vec![step(1)]));
    stage.advance(600);
    let newer = stage.submit(2, job(vec![step(1)]));
    stage.advance(100);
    stage.crash("w1");

    let told = |id| times_at_work(&stage, task(id, 0, 0))[0].expect("the worker told of it");
    assert!((600..=700).contains(&told(older)), "{}", told(older));
    assert!(told(newer) <= 100, "{}", told(newer));
}
