//! Stops of runs that are no longer wanted, where the stops or their worker are lost.

mod support;

use ibisweir::jobs::model::JobId;
use ibisweir::jobs::record::JobRecord;
use support::sim::{SchedulerSim, SimWorker, config, job, service_step, step, task, worker};

/// A job with this many tasks on one worker.
fn running_job(tasks: u32) -> (SchedulerSim, JobId) {
    let mut sim = SchedulerSim::open(config(), vec![worker("w0", "r0")]);
    let id = sim.submit(1, job(vec![step(tasks)]));
    assert_eq!(sim.workers["w0"].running.len(), tasks as usize);
    (sim, id)
}

/// A job with one service task on one worker.
fn service_job() -> (SchedulerSim, JobId) {
    let mut sim = SchedulerSim::open(config(), vec![worker("w0", "r0")]);
    let id = sim.submit(1, job(vec![service_step(1)]));
    sim.advance(500);
    assert_eq!(sim.alive(task(id, 0, 0)), 1);
    (sim, id)
}

fn w0(sim: &mut SchedulerSim) -> &mut SimWorker {
    sim.workers.get_mut("w0").expect("known")
}

/// Guards against a cancelled service that runs on for ever on a worker that is not listed but
/// answers.
#[test]
fn stops_go_to_a_worker_that_is_not_listed_and_answers() {
    let (mut sim, id) = service_job();
    sim.scheduler.worker_unlisted(&"w0".into(), sim.now);
    sim.advance(500);
    sim.append(&JobRecord::Cancelled(id));
    sim.advance(500);
    assert_eq!(sim.alive(task(id, 0, 0)), 0);
}

/// Guards against a cancelled service that renewals keep alive where every stop is lost.
#[test]
fn leases_run_out_where_every_stop_is_lost() {
    let (mut sim, id) = service_job();
    w0(&mut sim).are_stops_lost = true;
    sim.append(&JobRecord::Cancelled(id));
    sim.advance(sim.bounds.lease_max_ms);
    assert_eq!(sim.alive(task(id, 0, 0)), 0);
}

/// Guards against leases that run out under a wanted run because the stop of another run on the
/// worker is lost.
#[test]
fn leases_are_renewed_beside_a_run_that_is_to_be_stopped() {
    let (mut sim, id) = service_job();
    let other = sim.submit(2, job(vec![service_step(1)]));
    w0(&mut sim).are_stops_lost = true;
    sim.append(&JobRecord::Cancelled(id));
    sim.advance(3 * sim.bounds.lease_max_ms);
    assert_eq!(sim.alive(task(other, 0, 0)), 1);
    w0(&mut sim).are_stops_lost = false;
    sim.advance(1_000);
    assert_eq!(sim.alive(task(id, 0, 0)), 0);
}

/// Guards against a dead worker that gets stop after stop, each on a connection of its own.
#[test]
fn a_worker_that_does_not_answer_gets_few_stops() {
    let (mut sim, id) = running_job(8);
    w0(&mut sim).is_silent = true;
    sim.advance(1_000);
    sim.append(&JobRecord::Cancelled(id));
    sim.advance(10_000);
    assert!((8..=32).contains(&sim.stops.len()), "{} stops", sim.stops.len());
}

/// Guards against a stop that waits for the end of its pause although its worker answers again.
#[test]
fn a_stop_goes_out_as_soon_as_its_worker_answers_again() {
    let (mut sim, id) = running_job(1);
    w0(&mut sim).is_silent = true;
    sim.advance(500);
    sim.append(&JobRecord::Cancelled(id));
    sim.advance(3_700);
    w0(&mut sim).is_silent = false;
    sim.advance(500);
    assert_eq!(sim.alive(task(id, 0, 0)), 0);
}
