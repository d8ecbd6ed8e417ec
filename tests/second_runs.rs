//! Orders of events in which one task could run in two places at a time.

mod support;

use std::sync::Arc;
use std::time::Duration;

use ibisweir::jobs::model::TaskKey;
use ibisweir::jobs::ports::{CommandOutcome, CommandRefusal, RenewCall, RunningTask, WorkerReport};
use ibisweir::jobs::site::WorkerEntry;
use ibisweir::scheduler::SchedulerEvent;
use ibisweir::scheduler::runs::RunCommand;
use support::sim::{SchedulerSim, config, job, step, task, worker};

/// Submits a task whose first start attempt is with an executor that has not answered; returns the
/// task and its worker.
fn start_in_flight(sim: &mut SchedulerSim) -> (TaskKey, Arc<str>) {
    sim.is_lane_held = true;
    let key = task(sim.submit(1, job(vec![step(1)])), 0, 0);
    let Some(RunCommand::Start(call)) = sim.scheduler.command(&key, 1, sim.now) else {
        panic!("a start is due");
    };
    let placed = sim.events.iter().find_map(|note| match note {
        SchedulerEvent::Placed { worker, .. } => Some(worker.clone()),
        _ => None,
    });
    let place = placed.expect("it was placed");
    sim.workers.get_mut(&place).expect("known").late.push(call);
    (key, place)
}

/// Guards against a start that is carried out after its repeat was refused and its task was started
/// elsewhere.
#[test]
fn a_refused_repeat_does_not_settle_the_earlier_attempt() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1"), worker("w2", "r2")]);
    let (key, place) = start_in_flight(&mut sim);
    sim.workers.get_mut(&place).expect("known").is_full = true;
    sim.advance(700);
    sim.is_lane_held = false;
    sim.empty_lanes();
    sim.advance(700);
    assert_eq!(sim.alive(key), 1, "it runs elsewhere");
    sim.workers.get_mut(&place).expect("known").is_full = false;
    sim.deliver_late(&place);
    assert_eq!(sim.alive(key), 1);
}

/// Guards against a second run that is not reported: it is stopped, and its task may be served.
#[test]
fn a_second_run_that_a_worker_lists_is_reported_once() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1"), worker("w2", "r2")]);
    let key = task(sim.submit(1, job(vec![step(2)])), 0, 0);
    sim.advance(200);
    let place = sim.place(key);
    let other = if &*place == "w1" { "w2" } else { "w1" };
    let worker = sim.workers.get_mut(other).expect("known");
    worker.running.insert((key, 7), 0);
    worker.stop_ms = 200;
    worker.lease_until_ms = u64::MAX;
    sim.submit(2, job(vec![step(8)]));
    sim.advance(1_000);
    let is_reported = |note: &&SchedulerEvent| matches!(note, SchedulerEvent::SecondRun { .. });
    assert_eq!(sim.events.iter().filter(is_reported).count(), 1);
    assert_eq!(sim.alive(key), 1);
}

/// Guards against a second run that is reported although the first has ended, because the report
/// that lists it was delayed.
#[test]
fn a_late_report_shows_no_second_run() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1"), worker("w2", "r2")]);
    let sent_ms = sim.now;
    sim.advance(500);
    let key = task(sim.submit(1, job(vec![step(1)])), 0, 0);
    sim.advance(200);
    let other: Arc<str> = if &*sim.place(key) == "w1" { "w2".into() } else { "w1".into() };
    let listed =
        RunningTask { task: key, run: 7, checkpoint: String::new(), percent: 0, gauge: None };
    let report = WorkerReport { clock_ms: sim.now, running: vec![listed], ..Default::default() };
    let call = RenewCall { fence: 0, acked_exits: 0, lease_until_ms: None, wait: Duration::ZERO };
    sim.scheduler.handle_late_renewal(&other, &call, report, sent_ms, sim.now);
    sim.run_until_idle();
    let is_reported = |note: &SchedulerEvent| matches!(note, SchedulerEvent::SecondRun { .. });
    assert!(!sim.events.iter().any(is_reported));
}

/// Guards against a start that reaches the next incarnation of its worker because a repeat that was
/// not sent hides the earlier attempt.
#[test]
fn a_repeat_that_is_not_sent_does_not_hide_the_earlier_attempt() {
    let mut sim = SchedulerSim::open_with_incarnations(
        config(),
        vec![worker("w1", "r1"), worker("w2", "r2")],
    );
    let (key, place) = start_in_flight(&mut sim);
    sim.scheduler.command(&key, 1, sim.now);
    sim.scheduler.start_not_sent(&key, 1, sim.now);
    sim.is_lane_held = false;
    sim.are_renewals_muted = true;
    sim.are_restarts_hidden = true;
    let next = sim.restart_worker(&place);
    sim.show_restarts();
    sim.advance(500);
    sim.deliver_late(&next);
    assert_eq!(sim.alive(key), 1);
}

/// Guards against the same where the worker is leaving: the attempt is carried out after its task
/// was started elsewhere.
#[test]
fn a_repeat_that_is_not_sent_does_not_free_the_task_of_a_leaving_worker() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1"), worker("w2", "r2")]);
    let (key, place) = start_in_flight(&mut sim);
    sim.scheduler.command(&key, 1, sim.now);
    sim.scheduler.start_not_sent(&key, 1, sim.now);
    sim.is_lane_held = false;
    sim.report(WorkerEntry { is_draining: true, ..sim.entry(&place) });
    sim.advance(500);
    sim.deliver_late(&place);
    assert_eq!(sim.alive(key), 1);
}

/// Guards against a run that one attempt has begun but that counts as never begun because a later
/// attempt is refused.
#[test]
fn a_refusal_that_comes_after_the_run_has_begun_does_not_free_its_task() {
    for refusal in
        [CommandRefusal::Unhealthy, CommandRefusal::NoCapacity, CommandRefusal::InvalidPermit]
    {
        let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1"), worker("w2", "r2")]);
        let (key, place) = start_in_flight(&mut sim);
        sim.deliver_late(&place);
        let clock_ms = sim.workers[&place].clock_ms(sim.now);
        let begun = CommandOutcome::Done(clock_ms);
        sim.scheduler.command(&key, 1, sim.now);
        sim.scheduler.handle_start_outcome(&place, &key, 1, &begun, sim.now);
        let refused = CommandOutcome::Refused(refusal, Some(clock_ms));
        sim.scheduler.handle_start_outcome(&place, &key, 1, &refused, sim.now);
        sim.is_lane_held = false;
        sim.advance(500);
        assert_eq!((sim.alive(key), sim.starts(key)), (1, 1), "{refusal:?}");
    }
}
