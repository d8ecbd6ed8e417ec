//! Orders of events in which one task could run in two places at a time.

mod support;

use std::sync::Arc;
use std::time::Duration;

use ibisweir::jobs::model::TaskKey;
use ibisweir::jobs::ports::{CommandOutcome, CommandRefusal, RenewCall, RunningTask, WorkerReport};
use ibisweir::jobs::site::WorkerEntry;
use ibisweir::scheduler::SchedulerNote;
use ibisweir::scheduler::runs::RunCommand;
use support::stage::{Stage, config, job, step, task, worker};

/// Submits a task whose first try of a start is with an executor that has not answered; the worker that it is for.
fn start_under_way(stage: &mut Stage) -> (TaskKey, Arc<str>) {
    stage.lane_is_slow = true;
    let key = task(stage.submit(1, job(vec![step(1)])), 0, 0);
    let Some(RunCommand::Start(call)) = stage.scheduler.command(&key, 1, stage.now) else {
        panic!("a start is due");
    };
    let placed = stage.notes.iter().find_map(|note| match note {
        SchedulerNote::Placed { worker, .. } => Some(worker.clone()),
        _ => None,
    });
    let place = placed.expect("it was placed");
    stage.workers.get_mut(&place).expect("known").late.push(call);
    (key, place)
}

/// Guards against a start that is carried out after its repeat was refused and its task was started elsewhere.
#[test]
fn a_repeat_that_is_refused_does_not_settle_the_try_before_it() {
    let mut stage = Stage::open(config(), vec![worker("w1", "r1"), worker("w2", "r2")]);
    let (key, place) = start_under_way(&mut stage);
    stage.workers.get_mut(&place).expect("known").is_full = true;
    stage.advance(700);
    stage.lane_is_slow = false;
    stage.empty_lanes();
    stage.advance(700);
    assert_eq!(stage.alive(key), 1, "it runs elsewhere");
    stage.workers.get_mut(&place).expect("known").is_full = false;
    stage.deliver_late(&place);
    assert_eq!(stage.alive(key), 1);
}

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

/// Guards against a second run that is told of though the first has ended: the report that lists it was long on its way.
#[test]
fn a_late_report_tells_of_no_second_run() {
    let mut stage = Stage::open(config(), vec![worker("w1", "r1"), worker("w2", "r2")]);
    let sent_ms = stage.now;
    stage.advance(500);
    let key = task(stage.submit(1, job(vec![step(1)])), 0, 0);
    stage.advance(200);
    let other: Arc<str> = if &*stage.place(key) == "w1" { "w2".into() } else { "w1".into() };
    let told =
        RunningTask { task: key, run: 7, checkpoint: String::new(), percent: 0, gauge: None };
    let report = WorkerReport { clock_ms: stage.now, running: vec![told], ..Default::default() };
    let call = RenewCall { fence: 0, acked_exits: 0, lease_until_ms: None, wait: Duration::ZERO };
    stage.scheduler.handle_late_renewal(&other, &call, report, sent_ms, stage.now);
    stage.pump();
    let is_told = |note: &SchedulerNote| matches!(note, SchedulerNote::SecondRun { .. });
    assert!(!stage.notes.iter().any(is_told));
}

/// Guards against a start that reaches its worker's next life, as a repeat that was not sent hides the try before it.
#[test]
fn a_repeat_that_is_not_sent_does_not_hide_the_try_before_it() {
    let mut stage = Stage::open_born(config(), vec![worker("w1", "r1"), worker("w2", "r2")]);
    let (key, place) = start_under_way(&mut stage);
    stage.scheduler.command(&key, 1, stage.now);
    stage.scheduler.start_not_sent(&key, 1, stage.now);
    stage.lane_is_slow = false;
    stage.mutes_renewals = true;
    stage.hides_rebirths = true;
    let next = stage.begin_anew(&place);
    stage.show_rebirths();
    stage.advance(500);
    stage.deliver_late(&next);
    assert_eq!(stage.alive(key), 1);
}

/// Guards against the same where the worker is leaving: the try is carried out after its task was started elsewhere.
#[test]
fn a_repeat_that_is_not_sent_does_not_free_the_task_of_a_leaving_worker() {
    let mut stage = Stage::open(config(), vec![worker("w1", "r1"), worker("w2", "r2")]);
    let (key, place) = start_under_way(&mut stage);
    stage.scheduler.command(&key, 1, stage.now);
    stage.scheduler.start_not_sent(&key, 1, stage.now);
    stage.lane_is_slow = false;
    stage.report(WorkerEntry { is_draining: true, ..stage.entry(&place) });
    stage.advance(500);
    stage.deliver_late(&place);
    assert_eq!(stage.alive(key), 1);
}

/// Guards against a run that was begun by one try, and is taken for never begun as a later try of its start is refused.
#[test]
fn a_refusal_that_comes_after_the_run_has_begun_does_not_free_its_task() {
    for refusal in
        [CommandRefusal::Unhealthy, CommandRefusal::NoCapacity, CommandRefusal::InvalidPermit]
    {
        let mut stage = Stage::open(config(), vec![worker("w1", "r1"), worker("w2", "r2")]);
        let (key, place) = start_under_way(&mut stage);
        stage.deliver_late(&place);
        let clock_ms = stage.workers[&place].clock_ms(stage.now);
        let begun = CommandOutcome::Done(clock_ms);
        stage.scheduler.command(&key, 1, stage.now);
        stage.scheduler.handle_start_outcome(&place, &key, 1, &begun, stage.now);
        let refused = CommandOutcome::Refused(refusal, Some(clock_ms));
        stage.scheduler.handle_start_outcome(&place, &key, 1, &refused, stage.now);
        stage.lane_is_slow = false;
        stage.advance(500);
        assert_eq!((stage.alive(key), stage.starts(key)), (1, 1), "{refusal:?}");
    }
}
