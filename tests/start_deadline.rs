//! No start may begin on a worker later than the promised time after a cancellation of its job
//! could have been acknowledged, by whatever way the start arrives.

mod support;

use std::sync::Arc;

use ibisweir::decide::executor::ExecutorStamp;
use ibisweir::jobs::delegate::{DelegatedStart, StartBatch, carry_out};
use ibisweir::jobs::model::TaskKey;
use ibisweir::jobs::ports::{CommandOutcome, CommandRefusal, StartCall};
use ibisweir::jobs::record::JobRecord;
use ibisweir::jobs::site::WorkerEntry;
use ibisweir::scheduler::worker::WorkerState;
use ibisweir::scheduler::{SchedulerAction, SchedulerEvent};
use support::fakes::{RecordingWorkers, idle_node};
use support::sim::{
    SchedulerSim, WALL_OFFSET_MS, bounds, config, job, job_id, step, submission, task, worker,
};

/// A start that is on its way to the only worker, and the time up to which the job log had been
/// read.
struct DelayedStart {
    sim: SchedulerSim,
    key: TaskKey,
    shown_ms: u64,
}

impl DelayedStart {
    /// A start that was sent with a view of the jobs almost as old as allowed.
    fn open(slow_percent: u64, idle_ms: u64) -> DelayedStart {
        let mut sim = SchedulerSim::open(config(), vec![worker("w0", "r0")]);
        let w0 = sim.workers.get_mut("w0").expect("known");
        w0.slow_percent = slow_percent;
        w0.is_late = true;
        sim.are_renewals_muted = true;
        sim.advance(idle_ms);
        let shown_ms = sim.now;
        sim.is_reading_jobs = false;
        sim.advance(bounds().cancel_ms / 2 - 100);
        let id = sim.submit(1, job(vec![step(1)]));
        assert_eq!(sim.workers["w0"].late.len(), 1, "it is on its way");
        DelayedStart { sim, key: task(id, 0, 0), shown_ms }
    }

    /// Whether the worker carries it out if it arrives `ms` after the view. The leader does nothing
    /// more.
    fn begins_after(mut self, ms: u64) -> bool {
        self.sim.now = self.shown_ms + ms;
        self.sim.deliver_late("w0");
        self.sim.starts(self.key) > 0
    }
}

/// Guards against a start that was decided just before its job was cancelled and that the network
/// delivers seconds later, while the leader stands still and sends no stop.
#[test]
fn a_start_that_arrives_after_the_deadline_is_refused() {
    assert!(!DelayedStart::open(0, 0).begins_after(bounds().cancel_ms));
    assert!(DelayedStart::open(0, 0).begins_after(bounds().cancel_ms - 200), "it came in time");
}

/// Guards against the same on a worker whose clock is slow and was last read a while ago.
#[test]
fn a_slow_clock_lets_no_start_begin_later() {
    for idle_ms in [0, 20_000] {
        assert!(!DelayedStart::open(2, idle_ms).begins_after(bounds().cancel_ms));
        let early_ms = bounds().cancel_ms - 200;
        assert!(DelayedStart::open(2, idle_ms).begins_after(early_ms), "it came in time");
    }
}

/// Guards against the same if another entry carries out the start for the leader.
#[tokio::test]
async fn a_delegated_start_that_arrives_after_the_deadline_is_refused() {
    for (after_ms, begins) in [(bounds().cancel_ms, false), (bounds().cancel_ms - 200, true)] {
        let mut start = DelayedStart::open(0, 0);
        let w0 = start.sim.workers.get_mut("w0").expect("known");
        let sent: Vec<StartCall> = std::mem::take(&mut w0.late);
        let carried = carry_out_all(&sent).await;
        start.sim.workers.get_mut("w0").expect("known").late = carried;
        assert_eq!(start.begins_after(after_ms), begins);
    }
}

/// Delegates these starts to an executor, and returns the calls that it sends to the worker.
async fn carry_out_all(sent: &[StartCall]) -> Vec<StartCall> {
    let (node, workers) = (idle_node(), RecordingWorkers::default());
    let record = JobRecord::Submitted(job_id(1), Arc::new(submission(job(vec![step(1)]))));
    node.fold(&[(0, record)]);
    let delegated = |call: &StartCall| DelegatedStart {
        worker: "w0".into(),
        address: worker("w0", "r0").address,
        task: call.task,
        run: call.run,
        lease_until_ms: call.lease_until_ms,
        fence: call.fence,
        checkpoint: call.checkpoint.clone(),
        permit: call.permit.clone(),
    };
    let stamp = ExecutorStamp { incarnation: node.incarnation, sent_ms: node.now() };
    let batch = StartBatch { stamp, starts: sent.iter().map(delegated).collect() };
    let body = postcard::to_stdvec(&batch).expect("plain values");
    carry_out(&node, &workers, &body).await.expect("it can be read");
    workers.starts().clone()
}

/// Guards against a task that waits long for an idle worker whose clock is ahead of its
/// extrapolated reading.
#[test]
fn a_start_refused_as_late_is_sent_again_at_once() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w0", "r0")]);
    sim.are_renewals_muted = true;
    sim.advance(200_000);
    let id = sim.submit(1, job(vec![step(1)]));
    assert_eq!(sim.workers["w0"].late_refusals, 1);
    assert_eq!(sim.starts(task(id, 0, 0)), 1);
    let is_late = |event: &&SchedulerEvent| {
        matches!(event, SchedulerEvent::StartRefused { reason: "late_lease", .. })
    };
    assert_eq!(sim.events.iter().filter(is_late).count(), 1, "operators see it");
}

/// Guards against a leader that repeats refused starts with nothing new in them: its view of the
/// jobs is old, or the worker does not report its clock.
#[test]
fn a_start_refused_as_late_is_not_repeated_without_end() {
    for is_view_old in [true, false] {
        let mut start = DelayedStart::open(0, 0);
        let (key, sim) = (start.key, &mut start.sim);
        let clock_ms = is_view_old.then_some(sim.now + bounds().cancel_ms);
        let refused = CommandOutcome::Refused(CommandRefusal::LeaseExpired, clock_ms);
        let mut sent = 0;
        for _ in 0..100 {
            sim.now += 10;
            let now = sim.now;
            sim.scheduler.confirm(now);
            if !is_view_old {
                sim.scheduler.jobs_read(now);
            }
            sim.scheduler.tick(now, WALL_OFFSET_MS + now);
            let actions = sim.scheduler.take_actions();
            for _ in
                actions.iter().filter(|action| matches!(action, SchedulerAction::SendCommand(..)))
            {
                sent += 1;
                if sim.scheduler.command(&key, 1, now).is_some() {
                    sim.scheduler.handle_start_outcome(&"w0".into(), &key, 1, &refused, now);
                }
            }
        }
        assert!((1..=20).contains(&sent), "{sent} in a second");
    }
}

/// Guards against work that lapses because its only lease is that of its start: an idle worker must
/// have a full lease before its first start arrives.
#[test]
fn an_idle_worker_gets_a_full_lease_before_its_first_start() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w0", "r0")]);
    sim.advance(10_000);
    sim.immediate_renewals.clear();
    sim.is_log_up = false;
    let id = sim.submit(1, job(vec![step(1)]));
    assert_eq!(sim.immediate_renewals, ["w0".into()], "while the start waits for the log");
    let full_ms = sim.now + bounds().lease_max_ms - 300;
    assert!(sim.workers["w0"].lease_until_ms >= full_ms);
    sim.are_renewals_muted = true;
    sim.is_log_up = true;
    sim.run_until_idle();
    assert!(sim.workers["w0"].lease_until_ms >= full_ms, "its start does not shorten it");
    sim.advance_unconfirmed(bounds().cancel_ms);
    assert_eq!(sim.alive(task(id, 0, 0)), 1);
}

/// Guards against the same if that renewal is lost: the next one must grant the full lease.
#[test]
fn one_renewal_grants_the_full_lease() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w0", "r0")]);
    sim.advance(10_000);
    sim.are_renewals_muted = true;
    sim.submit(1, job(vec![step(1)]));
    assert!(sim.workers["w0"].lease_until_ms <= sim.now + bounds().cancel_ms);
    sim.are_renewals_muted = false;
    sim.advance(20);
    assert!(sim.workers["w0"].lease_until_ms >= sim.now + bounds().lease_max_ms - 300);
}

/// Guards against a task that is started a second time while its first run may be alive, and
/// against one that waits longer than that: a short lease must count for as long as it may last, on
/// an exact clock and on a slow one.
#[test]
fn the_lease_of_a_start_counts_for_as_long_as_it_may_last() {
    let (sampled_ms, deadline_ms) = (100_000, 102_900);
    let mut counted = WorkerState::new(worker("w0", "r0"), 0, 0);
    counted.sample_clock(50_000, sampled_ms);
    let until = counted.start_until(5_800, deadline_ms, 101_000).expect("its clock is known");
    let bound = counted.lease_bound_ms();
    for percent in [98, 100] {
        let clock = |ms: u64| 50_000 + (ms - sampled_ms) * percent / 100;
        assert!(clock(deadline_ms) >= until, "no start begins after the deadline");
        assert!(clock(bound) >= until, "nothing is alive after the bound");
    }
    assert!(bound <= deadline_ms + 200, "{bound}");
}

/// Guards against a start that is repeated, or waits in its lane, until long after its worker was
/// known to be leaving.
#[test]
fn no_start_is_sent_to_a_worker_that_is_known_to_be_leaving() {
    for is_sent in [false, true] {
        let mut sim = SchedulerSim::open(config(), vec![worker("w0", "r0"), worker("w1", "r0")]);
        sim.is_lane_held = !is_sent;
        sim.workers.values_mut().for_each(|worker| worker.is_late = true);
        let id = sim.submit(1, job(vec![step(1)]));
        let place = match sim.scheduled_on("w0") {
            0 => "w1",
            _ => "w0",
        };
        sim.report(WorkerEntry { is_draining: true, ..worker(place, "r0") });
        sim.workers.values_mut().for_each(|worker| worker.is_late = false);
        sim.is_lane_held = false;
        sim.empty_lanes();
        sim.advance(1_000);
        let on = |id: &str| sim.started.iter().filter(|(.., on)| **on == *id).count();
        assert_eq!((on(place), sim.started.len()), (0, 1));
        sim.deliver_late(place);
        assert_eq!(sim.starts(task(id, 0, 0)), 1, "a stop has excluded it");
    }
}
