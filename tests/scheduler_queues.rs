//! Jobs of queues that the current configuration does not have.

mod support;

use ibisweir::jobs::model::JobState;
use ibisweir::jobs::site::SiteConfig;
use support::sim::{POOL, QUEUE, SchedulerSim, config, job, queue, step, task, worker};

/// The configuration after the queue of the tests was removed.
fn without_queue() -> SiteConfig {
    SiteConfig { version: 2, queues: vec![queue("other", POOL)], ..config() }
}

/// Guards against an accepted job that never runs because its queue was removed before its leader
/// took over, and no configuration that the leader has read names it.
#[test]
fn a_job_of_a_queue_unknown_to_its_leader_is_served() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w0", "r0")]);
    sim.is_log_up = false;
    let id = sim.submit(1, job(vec![step(1)]));
    assert_eq!(sim.starts(task(id, 0, 0)), 0, "nothing is on the log");
    sim.is_log_up = true;
    sim.take_over(2, without_queue());
    sim.advance(500);
    assert_eq!(sim.starts(task(id, 0, 0)), 1);
}

/// Guards against the same where the leader went from an older configuration straight to a newer
/// one than that by which another entry accepted the job.
#[test]
fn a_job_of_a_queue_in_a_skipped_configuration_is_served() {
    let mut sim = SchedulerSim::open(without_queue(), vec![worker("w0", "r0")]);
    let id = sim.submit(1, job(vec![step(1)]));
    sim.advance(500);
    assert_eq!(sim.starts(task(id, 0, 0)), 1);
    assert_eq!(sim.state(id), Some(JobState::Running));
    assert!(without_queue().queue(QUEUE).is_none());
}
