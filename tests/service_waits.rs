//! Log events about service tasks that are down for long.

mod support;

use ibisweir::jobs::model::{JobId, StepSpec};
use ibisweir::scheduler::SchedulerEvent;
use support::sim::{SchedulerSim, config, job, service_step, task, worker};

fn two_workers() -> SchedulerSim {
    SchedulerSim::open(config(), vec![worker("w1", "r1"), worker("w2", "r2")])
}

/// Reasons logged for the first task of a job, in order.
fn logged_reasons(sim: &SchedulerSim, id: JobId) -> Vec<&'static str> {
    let logged = sim.events.iter().filter_map(|event| match event {
        SchedulerEvent::ServiceAway { task: logged, reason, .. } if *logged == task(id, 0, 0) => {
            Some(*reason)
        }
        _ => None,
    });
    logged.collect()
}

/// Lets time pass, and all runs reach full progress.
fn run_at_full_progress(sim: &mut SchedulerSim, ms: u64) {
    for _ in 0..ms / 100 {
        sim.advance(100);
        for worker in sim.workers.values_mut() {
            worker.running.values_mut().for_each(|percent| *percent = 100);
        }
    }
}

#[test]
fn a_serving_service_is_not_logged() {
    let mut sim = two_workers();
    let id = sim.submit(1, job(vec![service_step(1)]));
    run_at_full_progress(&mut sim, 10_000);
    assert!(logged_reasons(&sim, id).is_empty(), "{:?}", logged_reasons(&sim, id));
}

/// Guards against services that are placed and never start, without a logged reason.
#[test]
fn a_start_without_its_record_on_the_log_is_logged() {
    let mut sim = two_workers();
    sim.is_log_up = false;
    let id = sim.submit(1, job(vec![service_step(1)]));
    run_at_full_progress(&mut sim, 6_000);
    let logged = logged_reasons(&sim, id);
    assert!(!logged.is_empty());
    assert!(logged.iter().all(|reason| *reason == "its record is not on the log"), "{logged:?}");
    assert!(logged.len() <= 3, "more than a line in two seconds: {logged:?}");
}

/// Guards against services that find no worker, without a logged reason.
#[test]
fn a_service_without_capacity_is_logged() {
    let mut sim = two_workers();
    let mut oversized = service_step(1);
    oversized.need.cpu = 9_000;
    let id = sim.submit(1, job(vec![oversized]));
    run_at_full_progress(&mut sim, 4_000);
    assert_eq!(logged_reasons(&sim, id), ["no worker has room"]);
}

/// Guards against services that wait on trial or for a probation and are logged as lacking
/// capacity.
#[test]
fn services_on_trial_are_logged_as_such() {
    let entries = (1..=4).map(|n| worker(&format!("w{n}"), &format!("r{n}")));
    let mut sim = SchedulerSim::open(config(), entries.collect());
    let small = StepSpec { per_worker_max: 0, ..service_step(1) };
    let ids: Vec<JobId> = (1..=6).map(|n| sim.submit(n, job(vec![small.clone()]))).collect();
    run_at_full_progress(&mut sim, 1_000);
    for _ in 0..3 {
        let hosts = sim.workers.iter().filter(|(_, worker)| !worker.running.is_empty());
        let hosts: Vec<String> = hosts.map(|(id, _)| id.to_string()).collect();
        sim.crash_all(&hosts.iter().map(String::as_str).collect::<Vec<_>>());
        run_at_full_progress(&mut sim, 2_000);
    }
    run_at_full_progress(&mut sim, 8_000);
    let logged: Vec<&str> = ids.iter().flat_map(|id| logged_reasons(&sim, *id)).collect();
    assert!(!logged.is_empty());
    let is_trial = |reason: &&str| {
        matches!(
            *reason,
            "on trial until its pool is calm"
                | "no worker is left for a probation"
                | "no worker with room takes a probation"
        )
    };
    assert!(logged.iter().all(is_trial), "{logged:?}");
}
