//! What a refused or unsent repeat of a start tells of the run, when another try of it was carried out or still may be.

mod support;

use std::sync::Arc;

use ibisweir::jobs::model::TaskKey;
use ibisweir::jobs::ports::{CommandOutcome, CommandRefusal, StartCall};
use ibisweir::jobs::site::WorkerEntry;
use ibisweir::scheduler::runs::RunCommand;
use ibisweir::scheduler::{SchedulerAction, SchedulerEvent};
use support::sim::{SchedulerSim, WALL_OFFSET_MS, config, job, step, task, worker};

/// Two workers, and a task whose start has been handed out and has no outcome.
struct AttemptScenario {
    sim: SchedulerSim,
    key: TaskKey,
    place: Arc<str>,
    call: StartCall,
}

impl AttemptScenario {
    fn open() -> AttemptScenario {
        let mut sim = SchedulerSim::open(config(), vec![worker("w1", "r1"), worker("w2", "r2")]);
        sim.is_lane_held = true;
        let key = task(sim.submit(1, job(vec![step(1)])), 0, 0);
        let placed = sim.events.iter().find_map(|note| match note {
            SchedulerEvent::Placed { worker, .. } => Some(worker.clone()),
            _ => None,
        });
        let place = placed.expect("it was placed");
        let call = issue_attempt(&mut sim, &key);
        AttemptScenario { sim, key, place, call }
    }

    /// The worker gets to the first try now, and begins the run unless it was told to refuse it.
    fn deliver_attempt(&mut self) {
        self.sim.workers.get_mut(&self.place).expect("known").late.push(self.call.clone());
        self.sim.deliver_late(&self.place);
    }

    /// The outcome of a try.
    fn report_outcome(&mut self, outcome: &CommandOutcome<u64>) {
        let now = self.sim.now;
        self.sim.scheduler.handle_start_outcome(&self.place, &self.key, 1, outcome, now);
    }

    fn clock_ms(&self) -> u64 {
        self.sim.workers[&self.place].clock_ms(self.sim.now)
    }

    fn refused(&self, refusal: CommandRefusal) -> CommandOutcome<u64> {
        CommandOutcome::Refused(refusal, Some(self.clock_ms()))
    }

    /// Its worker says that it is about to leave.
    fn drain(&mut self) {
        let entry = self.sim.entry(&self.place);
        self.sim.report(WorkerEntry { is_draining: true, drain_left_ms: 3_000, ..entry });
    }

    /// Whether the run is handed out to be sent within this time, while nothing else happens.
    fn is_sent_within(&mut self, ms: u64) -> bool {
        let until = self.sim.now + ms;
        while self.sim.now < until {
            self.sim.now += 50;
            let (now, scheduler) = (self.sim.now, &mut self.sim.scheduler);
            scheduler.confirm(now);
            scheduler.jobs_read(now);
            scheduler.tick(now, WALL_OFFSET_MS + now);
            let is_ours = |action: &SchedulerAction| matches!(action, SchedulerAction::SendCommand(_, task, 1) if *task == self.key);
            if scheduler.take_actions().iter().any(is_ours) {
                return true;
            }
        }
        false
    }

    /// What waits in the lanes goes out, and so does what is decided next.
    fn advance(&mut self, ms: u64) {
        self.sim.is_lane_held = false;
        self.sim.empty_lanes();
        self.sim.advance(ms);
    }
}

/// Hands out the next try of the first run.
fn issue_attempt(sim: &mut SchedulerSim, key: &TaskKey) -> StartCall {
    match sim.scheduler.command(key, 1, sim.now) {
        Some(RunCommand::Start(call)) => call,
        other => panic!("a start is due: {other:?}"),
    }
}

/// Refusals after which a worker has done nothing.
const REFUSALS: [CommandRefusal; 4] = [
    CommandRefusal::Unhealthy,
    CommandRefusal::NoCapacity,
    CommandRefusal::InvalidPermit,
    CommandRefusal::Malformed,
];

/// Guards against a run at work that is taken off the books, as a repeat of its start was refused: its task would be
/// started elsewhere beside it.
#[test]
fn a_refused_repeat_does_not_remove_a_confirmed_run() {
    for refusal in REFUSALS {
        let mut scenario = AttemptScenario::open();
        scenario.sim.are_renewals_muted = true;
        issue_attempt(&mut scenario.sim, &scenario.key);
        scenario.deliver_attempt();
        let done = CommandOutcome::Done(scenario.clock_ms());
        scenario.report_outcome(&done);
        let refused = scenario.refused(refusal);
        scenario.report_outcome(&refused);
        scenario.advance(1_500);
        assert_eq!(scenario.sim.starts(scenario.key), 1, "{refusal:?}");
        assert_eq!(scenario.sim.alive(scenario.key), 1, "{refusal:?}");
    }
}

/// Guards against the same where its worker has listed the run before any try had an outcome.
#[test]
fn a_refused_repeat_does_not_remove_a_listed_run() {
    for refusal in REFUSALS {
        let mut scenario = AttemptScenario::open();
        issue_attempt(&mut scenario.sim, &scenario.key);
        scenario.deliver_attempt();
        scenario.sim.advance(100);
        let refused = scenario.refused(refusal);
        scenario.report_outcome(&refused);
        scenario.advance(1_500);
        assert_eq!(scenario.sim.starts(scenario.key), 1, "{refusal:?}");
        assert_eq!(scenario.sim.alive(scenario.key), 1, "{refusal:?}");
    }
}

/// Guards against a run that is being stopped and is taken for over, as a repeat of its start was refused.
#[test]
fn a_refused_repeat_ends_no_run_that_is_being_stopped() {
    for refusal in REFUSALS {
        let mut scenario = AttemptScenario::open();
        issue_attempt(&mut scenario.sim, &scenario.key);
        scenario.sim.workers.get_mut(&scenario.place).expect("known").are_stops_lost = true;
        scenario.deliver_attempt();
        let done = CommandOutcome::Done(scenario.clock_ms());
        scenario.sim.are_renewals_muted = true;
        scenario.drain();
        scenario.report_outcome(&done);
        let refused = scenario.refused(refusal);
        scenario.report_outcome(&refused);
        scenario.advance(1_500);
        assert_eq!(scenario.sim.alive(scenario.key), 1, "{refusal:?}");
    }
}

/// Guards against a start that is taken back unsent while an earlier try of it is under way: it would be carried out
/// after its task was started elsewhere.
#[test]
fn a_repeat_that_is_not_sent_does_not_settle_the_earlier_attempt() {
    let mut scenario = AttemptScenario::open();
    scenario.sim.advance(700);
    issue_attempt(&mut scenario.sim, &scenario.key);
    let now = scenario.sim.now;
    scenario.sim.scheduler.start_not_sent(&scenario.key, 1, now);
    scenario.drain();
    scenario.advance(500);
    scenario.deliver_attempt();
    assert_eq!(scenario.sim.alive(scenario.key), 1);
}

/// Guards against starts that are sent again while their executor's answer is on its way, and that take the time of a
/// busy leader from the next ones.
#[test]
fn a_start_is_not_sent_again_before_its_attempt_times_out() {
    let mut scenario = AttemptScenario::open();
    assert!(!scenario.is_sent_within(900));
}

/// Guards against a lost answer to a start that is waited for once its try has been given up.
#[test]
fn a_start_is_sent_again_once_its_attempt_has_timed_out() {
    let mut scenario = AttemptScenario::open();
    scenario.is_sent_within(500);
    scenario.report_outcome(&CommandOutcome::Unknown);
    assert!(scenario.is_sent_within(150));
}

/// Guards against a task that waits for good, as the outcome of its start is never told.
#[test]
fn a_start_without_an_outcome_is_sent_again() {
    let mut scenario = AttemptScenario::open();
    assert!(scenario.is_sent_within(2_000));
}
