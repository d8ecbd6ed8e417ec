//! Log events about jobs of which nothing runs, and counts of placements and begins.

mod support;

use ibisweir::jobs::model::JobId;
use ibisweir::scheduler::SchedulerEvent;
use support::sim::{SchedulerSim, config, job, step, worker};

/// Logged lines: jobs, the one that waits longest, its reason and how long it has waited.
fn logged(sim: &SchedulerSim) -> Vec<(usize, JobId, &'static str, u64)> {
    let lines = sim.events.iter().filter_map(|event| match event {
        SchedulerEvent::JobsIdle { jobs, longest, reason, idle_ms, .. } => {
            Some((*jobs, *longest, *reason, *idle_ms))
        }
        _ => None,
    });
    lines.collect()
}

fn one_worker() -> SchedulerSim {
    SchedulerSim::open(config(), vec![worker("w1", "r1")])
}

#[test]
fn a_job_at_work_is_not_logged() {
    let mut sim = one_worker();
    sim.submit(1, job(vec![step(1)]));
    sim.advance(1_000);
    let begins = sim.scheduler.take_begin_counts();
    assert_eq!((begins.placed, begins.begun), (1, 1));
    sim.advance(9_000);
    assert!(logged(&sim).is_empty(), "{:?}", logged(&sim));
}

/// Guards against accepted jobs that wait without a trace.
#[test]
fn jobs_of_which_nothing_runs_are_logged_with_the_reason() {
    let mut sim = one_worker();
    sim.is_log_up = false;
    let first = sim.submit(1, job(vec![step(1)]));
    sim.advance(500);
    sim.submit(2, job(vec![step(1)]));
    sim.advance(8_000);
    let logged = logged(&sim);
    assert!(!logged.is_empty());
    assert!(logged.len() <= 4, "more than a line in two seconds: {logged:?}");
    for (_, longest, reason, idle_ms) in &logged {
        assert_eq!((*longest, *reason), (first, "its record is not on the log"));
        assert!(*idle_ms >= 3_000, "{logged:?}");
    }
    assert_eq!(logged.last().map(|line| line.0), Some(2));
}
