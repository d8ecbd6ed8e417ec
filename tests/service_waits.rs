//! What is written down about tasks of services that are away for long.

mod support;

use ibisweir::jobs::model::{JobId, StepSpec};
use ibisweir::scheduler::SchedulerEvent;
use support::sim::{SchedulerSim, config, job, service_step, task, worker};

fn two_workers() -> SchedulerSim {
    SchedulerSim::open(config(), vec![worker("w1", "r1"), worker("w2", "r2")])
}

/// Reasons that were written down for the first task of a job, in order.
fn reasons(sim: &SchedulerSim, id: JobId) -> Vec<&'static str> {
    let told = sim.events.iter().filter_map(|note| match note {
        SchedulerEvent::ServiceAway { task: told, reason, .. } if *told == task(id, 0, 0) => {
            Some(*reason)
        }
        _ => None,
    });
    told.collect()
}

/// Lets time pass, and every run get to its full work.
fn serve(sim: &mut SchedulerSim, ms: u64) {
    for _ in 0..ms / 100 {
        sim.advance(100);
        for worker in sim.workers.values_mut() {
            worker.running.values_mut().for_each(|percent| *percent = 100);
        }
    }
}

#[test]
fn a_service_at_work_has_no_line() {
    let mut sim = two_workers();
    let id = sim.submit(1, job(vec![service_step(1)]));
    serve(&mut sim, 10_000);
    assert!(reasons(&sim, id).is_empty(), "{:?}", reasons(&sim, id));
}

/// Guards against services that are placed and never start without a word of why.
#[test]
fn a_start_that_the_log_does_not_have_is_told_of() {
    let mut sim = two_workers();
    sim.is_log_up = false;
    let id = sim.submit(1, job(vec![service_step(1)]));
    serve(&mut sim, 6_000);
    let told = reasons(&sim, id);
    assert!(!told.is_empty());
    assert!(told.iter().all(|reason| *reason == "its record is not on the log"), "{told:?}");
    assert!(told.len() <= 3, "a line each two seconds at most: {told:?}");
}

/// Guards against services that find no place without a word of why.
#[test]
fn a_service_without_room_is_told_of() {
    let mut sim = two_workers();
    let mut large = service_step(1);
    large.need.cpu = 9_000;
    let id = sim.submit(1, job(vec![large]));
    serve(&mut sim, 4_000);
    assert_eq!(reasons(&sim, id), ["no worker has room"]);
}

/// Guards against services that wait on trial or for a probation, and look like ones without room.
#[test]
fn services_on_trial_are_told_of_as_such() {
    let entries = (1..=4).map(|n| worker(&format!("w{n}"), &format!("r{n}")));
    let mut sim = SchedulerSim::open(config(), entries.collect());
    let small = StepSpec { per_worker_max: 0, ..service_step(1) };
    let ids: Vec<JobId> = (1..=6).map(|n| sim.submit(n, job(vec![small.clone()]))).collect();
    serve(&mut sim, 1_000);
    for _ in 0..3 {
        let hosts = sim.workers.iter().filter(|(_, worker)| !worker.running.is_empty());
        let hosts: Vec<String> = hosts.map(|(id, _)| id.to_string()).collect();
        sim.crash_all(&hosts.iter().map(String::as_str).collect::<Vec<_>>());
        serve(&mut sim, 2_000);
    }
    serve(&mut sim, 8_000);
    let told: Vec<&str> = ids.iter().flat_map(|id| reasons(&sim, *id)).collect();
    assert!(!told.is_empty());
    let is_trial = |reason: &&str| {
        matches!(
            *reason,
            "on trial until its pool is calm"
                | "no worker is left for a probation"
                | "no worker with room takes a probation"
        )
    };
    assert!(told.iter().all(is_trial), "{told:?}");
}
