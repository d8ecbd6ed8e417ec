//! Stops of runs that nobody wants any more, where they are lost or their worker is.

mod support;

use ibisweir::jobs::model::JobId;
use ibisweir::jobs::record::JobRecord;
use support::stage::{Stage, StageWorker, config, job, service_step, step, task, worker};

/// A job with so many tasks on one worker.
fn running(tasks: u32) -> (Stage, JobId) {
    let mut stage = Stage::open(config(), vec![worker("w0", "r0")]);
    let id = stage.submit(1, job(vec![step(tasks)]));
    assert_eq!(stage.workers["w0"].running.len(), tasks as usize);
    (stage, id)
}

/// A job with one service task on one worker.
fn serving() -> (Stage, JobId) {
    let mut stage = Stage::open(config(), vec![worker("w0", "r0")]);
    let id = stage.submit(1, job(vec![service_step(1)]));
    stage.advance(500);
    assert_eq!(stage.alive(task(id, 0, 0)), 1);
    (stage, id)
}

fn w0(stage: &mut Stage) -> &mut StageWorker {
    stage.workers.get_mut("w0").expect("known")
}

/// Guards against a cancelled service that runs on for ever on a worker that is not listed and answers.
#[test]
fn stops_go_to_a_worker_that_is_not_listed_and_answers() {
    let (mut stage, id) = serving();
    stage.scheduler.worker_unlisted(&"w0".into(), stage.now);
    stage.advance(500);
    stage.append(&JobRecord::Cancelled(id));
    stage.advance(500);
    assert_eq!(stage.alive(task(id, 0, 0)), 0);
}

/// Guards against a cancelled service that is kept alive by renewals where every stop is lost.
#[test]
fn leases_run_out_where_every_stop_is_lost() {
    let (mut stage, id) = serving();
    w0(&mut stage).loses_stops = true;
    stage.append(&JobRecord::Cancelled(id));
    stage.advance(stage.bounds.lease_max_ms);
    assert_eq!(stage.alive(task(id, 0, 0)), 0);
}

/// Guards against leases that run out under a wanted run, as a stop of another is lost beside it.
#[test]
fn leases_are_renewed_beside_a_run_that_is_to_be_stopped() {
    let (mut stage, id) = serving();
    let other = stage.submit(2, job(vec![service_step(1)]));
    w0(&mut stage).loses_stops = true;
    stage.append(&JobRecord::Cancelled(id));
    stage.advance(3 * stage.bounds.lease_max_ms);
    assert_eq!(stage.alive(task(other, 0, 0)), 1);
    w0(&mut stage).loses_stops = false;
    stage.advance(1_000);
    assert_eq!(stage.alive(task(id, 0, 0)), 0);
}

/// Guards against a dead worker that gets stop upon stop, each on a connection of its own.
#[test]
fn a_worker_that_does_not_answer_gets_few_stops() {
    let (mut stage, id) = running(8);
    w0(&mut stage).is_silent = true;
    stage.advance(1_000);
    stage.append(&JobRecord::Cancelled(id));
    stage.advance(10_000);
    assert!((8..=32).contains(&stage.stops.len()), "{} stops", stage.stops.len());
}

/// Guards against a stop that waits out its pause though its worker answers again.
#[test]
fn a_stop_goes_out_as_soon_as_its_worker_answers_again() {
    let (mut stage, id) = running(1);
    w0(&mut stage).is_silent = true;
    stage.advance(500);
    stage.append(&JobRecord::Cancelled(id));
    stage.advance(3_700);
    w0(&mut stage).is_silent = false;
    stage.advance(500);
    assert_eq!(stage.alive(task(id, 0, 0)), 0);
}
