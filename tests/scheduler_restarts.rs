//! Workers that restart under the same name.

mod support;

use std::sync::Arc;

use ibisweir::jobs::model::{ExitKind, JobState};
use ibisweir::jobs::ports::{CommandOutcome, CommandRefusal, RenewCall, TaskExit, WorkerReport};
use ibisweir::jobs::site::WorkerEntry;
use ibisweir::scheduler::FENCING_TOKENS_PER_TERM;
use support::sim::{SchedulerSim, config, job, job_id, service_step, step, task, worker};

const FIRST: &str = "w1@0";

fn one_worker() -> SchedulerSim {
    SchedulerSim::open_with_incarnations(config(), vec![worker("w1", "r1")])
}

fn two_workers() -> SchedulerSim {
    SchedulerSim::open_with_incarnations(config(), vec![worker("w1", "r1"), worker("w2", "r2")])
}

fn call() -> RenewCall {
    RenewCall { fence: 1, acked_exits: 0, lease_until_ms: None, wait: Default::default() }
}

/// A worker crashes and is back under its name before anybody notices; only the time when its
/// incarnation began shows it. Its tasks are lost with the previous incarnation, start once more
/// and are done. If it counted as the same worker, its exits, numbered from one again, would fall
/// below those already seen, and the jobs would never end.
#[test]
fn the_exits_of_the_next_incarnation_count_from_its_first() {
    let mut sim = one_worker();
    for id in 1..=3 {
        let done = sim.submit(id, job(vec![step(1)]));
        sim.end(task(done, 0, 0), ExitKind::Done);
        sim.advance(100);
        assert_eq!(sim.state(done), Some(JobState::Completed));
    }
    let id = sim.submit(4, job(vec![step(1)]));
    let next = sim.restart_worker(FIRST);
    sim.advance(1_000);
    assert_eq!(sim.place(task(id, 0, 0)), next);
    assert_eq!(sim.starts(task(id, 0, 0)), 2);
    sim.end(task(id, 0, 0), ExitKind::Done);
    sim.advance(100);
    assert_eq!(sim.state(id), Some(JobState::Completed));
}

/// A worker has had exits acknowledged and restarts unnoticed. The next incarnation takes a start
/// and is done with it at once; its exits have the low numbers again. The renewal meant for the
/// previous incarnation must not acknowledge them: the worker would discard them unseen, and the
/// tasks would run once more. This occurred as "ended: not on the worker" for three tasks that were
/// done, each of which was started again.
#[test]
fn an_acknowledgement_for_the_previous_incarnation_reaches_no_exit_of_the_next() {
    let mut sim = one_worker();
    let done = sim.submit(1, job(vec![step(4)]));
    for index in 0..4 {
        sim.end(task(done, 0, index), ExitKind::Done);
    }
    sim.advance(200);
    assert_eq!(sim.state(done), Some(JobState::Completed));
    sim.restart_worker(FIRST);
    let next = job_id(2);
    let keys: Vec<_> = (0..3).map(|index| task(next, 0, index)).collect();
    sim.instant_tasks.extend(keys.iter().copied());
    sim.are_renewals_muted = true;
    sim.submit(2, job(vec![step(3)]));
    sim.are_renewals_muted = false;
    sim.advance(1_000);
    assert_eq!(sim.state(next), Some(JobState::Completed));
    let starts: Vec<usize> = keys.iter().map(|key| sim.starts(*key)).collect();
    assert_eq!(starts, vec![1, 1, 1]);
}

/// The worker's entry shows the next incarnation before any call does.
#[test]
fn a_restart_is_noticed_from_the_workers_entry_too() {
    let mut sim = one_worker();
    let id = sim.submit(1, job(vec![step(2)]));
    let next = sim.restart_worker(FIRST);
    let entry = sim.entry(&next);
    sim.scheduler.worker_seen(entry, sim.now);
    sim.advance(1_000);
    assert_eq!(sim.alive(task(id, 0, 0)) + sim.alive(task(id, 0, 1)), 2);
    assert_eq!(sim.place(task(id, 0, 1)), next);
}

/// A start is not answered, and its worker restarts. The next incarnation receives the start and
/// takes it, as it is addressed by that name. Until then the task must not run elsewhere; once the
/// next incarnation has answered under a higher token, late starts are refused there and the task
/// goes on.
#[test]
fn a_start_in_doubt_may_reach_the_next_incarnation() {
    let mut sim = two_workers();
    for worker in sim.workers.values_mut() {
        worker.is_late = true;
    }
    let id = sim.submit(1, job(vec![step(1)]));
    let key = task(id, 0, 0);
    let late = sim.workers.iter().find(|(_, worker)| !worker.late.is_empty());
    let place = late.expect("the start is under way").0.clone();
    let next = sim.restart_worker(&place);
    sim.deliver_late(&next);
    assert_eq!(sim.alive(key), 1);
    sim.advance(2_000);
    assert_eq!(sim.alive(key), 1, "it runs twice");
    assert_eq!(sim.starts(key), 1);
    sim.end_run(key, 1, &next, ExitKind::Done);
    sim.advance(200);
    assert_eq!(sim.state(id), Some(JobState::Completed));
}

/// The same, but the start arrives after the next incarnation has reported that it runs nothing.
/// Its token was raised with the first call, so it refuses the earlier start, and the second run is
/// the only one.
#[test]
fn a_start_that_arrives_after_the_next_incarnation_answered_is_refused_there() {
    let mut sim = one_worker();
    sim.workers.get_mut(FIRST).expect("known").is_late = true;
    let id = sim.submit(1, job(vec![step(1)]));
    let key = task(id, 0, 0);
    let next = sim.restart_worker(FIRST);
    sim.advance(1_000);
    assert_eq!((sim.starts(key), sim.alive(key)), (1, 1));
    sim.deliver_late(&next);
    assert_eq!((sim.starts(key), sim.alive(key)), (1, 1), "the late start was taken");
}

/// A start is answered by the next incarnation between its beginning and its first report: the
/// answer to a start does not show which incarnation gave it. The run is there and must be found
/// there, not started once more.
#[test]
fn a_start_that_the_next_incarnation_answered_is_not_lost_with_the_previous_one() {
    let mut sim = one_worker();
    let busy = sim.submit(1, job(vec![step(8)]));
    sim.advance(100);
    let next = sim.restart_worker(FIRST);
    // No renewal is answered until the start has been answered.
    sim.workers.get_mut(&next).expect("known").is_stale = true;
    for index in 0..8 {
        let exit = TaskExit {
            number: u64::from(index) + 1,
            task: task(busy, 0, index),
            run: 1,
            kind: ExitKind::Done,
            checkpoint: String::new(),
        };
        let report = WorkerReport {
            clock_ms: sim.now,
            started_ms: Some(0),
            exits: vec![exit],
            ..WorkerReport::default()
        };
        let outcome = CommandOutcome::Done(report);
        sim.scheduler.handle_renewal_outcome(&FIRST.into(), &call(), outcome, sim.now, sim.now);
    }
    let id = sim.submit(2, job(vec![step(1)]));
    let key = task(id, 0, 0);
    assert_eq!((sim.starts(key), sim.alive(key)), (1, 1));
    sim.workers.get_mut(&next).expect("known").is_stale = false;
    sim.advance(1_000);
    assert_eq!((sim.starts(key), sim.alive(key)), (1, 1), "started once more");
    sim.end_run(key, 1, &next, ExitKind::Done);
    sim.advance(200);
    assert_eq!(sim.state(id), Some(JobState::Completed));
}

/// A late answer of the previous incarnation arrives after the next one was seen, with an exit that
/// was listed but never handled. It says nothing about the next incarnation, whose exits have the
/// same numbers.
#[test]
fn a_late_report_of_the_previous_incarnation_is_ignored() {
    let mut sim = one_worker();
    let id = sim.submit(1, job(vec![step(2)]));
    let next = sim.restart_worker(FIRST);
    sim.advance(500);
    let exits = vec![TaskExit {
        number: 1,
        task: task(id, 0, 0),
        run: 1,
        kind: ExitKind::Failed,
        checkpoint: String::new(),
    }];
    let late = WorkerReport { clock_ms: 1, started_ms: Some(0), exits, ..WorkerReport::default() };
    let outcome = CommandOutcome::Done(late);
    sim.scheduler.handle_renewal_outcome(&next, &call(), outcome, sim.now, sim.now);
    sim.scheduler.worker_seen(worker("w1", "r1").with_incarnation(0), sim.now);
    sim.run_until_idle();
    sim.advance(500);
    for index in 0..2 {
        sim.end_run(task(id, 0, index), 2, &next, ExitKind::Done);
    }
    sim.advance(100);
    assert_eq!(sim.state(id), Some(JobState::Completed));
    assert_eq!((sim.starts(task(id, 0, 0)), sim.starts(task(id, 0, 1))), (2, 2));
}

/// A worker restarts, and an answer shows it before the entry of the previous incarnation is
/// dropped and the next one is written. The leader goes on calling it with the token that the next
/// incarnation has seen: the worker would refuse a lower one, and the leader would take that for
/// another leader's work and step down.
#[test]
fn an_incarnation_keeps_its_token_when_it_is_dropped_from_the_list_and_listed_again() {
    let mut sim = one_worker();
    let next = sim.restart_worker(FIRST);
    sim.submit(1, job(vec![step(1)]));
    sim.advance(400);
    sim.end(task(job_id(1), 0, 0), ExitKind::Done);
    sim.advance(400);
    sim.scheduler.worker_unlisted(&"w1".into(), sim.now);
    sim.scheduler.worker_seen(sim.entry(&next), sim.now);
    sim.run_until_idle();
    let id = sim.submit(2, job(vec![step(1)]));
    sim.advance(200);
    assert!(!sim.scheduler.is_deposed(), "the leader takes its own token for another's");
    assert_eq!((sim.starts(task(id, 0, 0)), sim.alive(task(id, 0, 0))), (1, 1));
}

/// A worker loses its runs and its entry and comes back as another incarnation; a start that was
/// sent to the previous one arrives long after its run was abandoned. The clock of the next
/// incarnation started afresh, so the lease in that start means nothing there: only the token keeps
/// the task from running twice.
#[test]
fn an_abandoned_start_is_refused_by_the_next_incarnation() {
    let mut sim = two_workers();
    for worker in sim.workers.values_mut() {
        worker.is_late = true;
    }
    let id = sim.submit(1, job(vec![step(1)]));
    let key = task(id, 0, 0);
    let late = sim.workers.iter().find(|(_, worker)| !worker.late.is_empty());
    let place = late.expect("the start is under way").0.clone();
    for worker in sim.workers.values_mut() {
        worker.is_late = false;
    }
    sim.workers.get_mut(&place).expect("known").is_silent = true;
    let name: std::sync::Arc<str> = ibisweir::jobs::site::worker_name(&place).into();
    sim.scheduler.worker_unlisted(&name, sim.now);
    sim.advance(12_000);
    assert_eq!(sim.alive(key), 1, "it runs on the other worker");
    let next = sim.restart_worker(&place);
    let entry = sim.entry(&next);
    sim.scheduler.worker_seen(entry, sim.now);
    sim.run_until_idle();
    sim.advance(500);
    // Its clock started afresh and shows times within the lease of the late start.
    for call in &mut sim.workers.get_mut(&next).expect("known").late {
        call.lease_until_ms += 20_000;
    }
    sim.deliver_late(&next);
    assert_eq!(sim.alive(key), 1, "the late start was taken");
}

trait WithIncarnation {
    fn with_incarnation(self, started_ms: u64) -> WorkerEntry;
}

impl WithIncarnation for WorkerEntry {
    fn with_incarnation(self, started_ms: u64) -> WorkerEntry {
        let id = ibisweir::jobs::site::incarnation_id(&self.id, Some(started_ms));
        WorkerEntry { id, ..self }
    }
}

/// A new leader first sees a worker in its second incarnation; the log shows a run on the first.
/// The first answer shows that the run has ended: its task starts at once, not after the longest
/// lease.
#[test]
fn a_new_leader_first_sees_a_worker_in_its_next_incarnation() {
    let mut sim = one_worker();
    let id = sim.submit(1, job(vec![step(1)]));
    let key = task(id, 0, 0);
    let next = sim.restart_worker(FIRST);
    sim.take_over(2, config());
    sim.advance(500);
    assert_eq!((sim.starts(key), sim.alive(key)), (2, 1));
    assert_eq!(sim.place(key), next);
}

/// The same with a start of the old leader in doubt that the next incarnation has taken: the run is
/// found there.
#[test]
fn a_new_leader_finds_a_run_that_the_next_incarnation_took() {
    let mut sim = one_worker();
    sim.workers.get_mut(FIRST).expect("known").is_late = true;
    let id = sim.submit(1, job(vec![step(1)]));
    let key = task(id, 0, 0);
    let next = sim.restart_worker(FIRST);
    sim.deliver_late(&next);
    sim.take_over(2, config());
    sim.advance(1_000);
    assert_eq!((sim.starts(key), sim.alive(key)), (1, 1));
}

/// Guards against a second run of a task that the next incarnation took, where a new leader reads
/// the VM list before that incarnation's first answer.
#[test]
fn the_vm_list_does_not_end_a_run_that_the_next_incarnation_may_have() {
    let mut sim = two_workers();
    for worker in sim.workers.values_mut() {
        worker.is_late = true;
    }
    let id = sim.submit(1, job(vec![step(1)]));
    let key = task(id, 0, 0);
    let late = sim.workers.iter().find(|(_, worker)| !worker.late.is_empty());
    let place = late.expect("the start is under way").0.clone();
    sim.are_renewals_muted = true;
    let next = sim.restart_worker(&place);
    sim.deliver_late(&next);
    for worker in sim.workers.values_mut() {
        worker.is_late = false;
    }
    sim.workers.get_mut(&next).expect("known").is_silent = true;
    sim.are_renewals_muted = false;
    sim.take_over(2, config());
    sim.list_vms();
    assert_eq!(sim.alive(key), 1, "it runs twice");
    sim.workers.get_mut(&next).expect("known").is_silent = false;
    sim.advance(1_000);
    assert_eq!((sim.starts(key), sim.alive(key)), (1, 1));
    sim.end_run(key, 1, &next, ExitKind::Done);
    sim.advance(200);
    assert_eq!(sim.state(id), Some(JobState::Completed));
}

/// Guards against a second run of a task whose worker a new leader knows only from the log and the
/// VM list, since its entry is gone: the worker may still run behind a network cut until its leases
/// have run out.
#[test]
fn a_worker_known_only_from_the_log_and_its_vm_keeps_its_runs() {
    let mut sim = two_workers();
    let id = sim.submit(1, job(vec![step(1)]));
    let key = task(id, 0, 0);
    let place = sim.place(key);
    sim.unlist(&place);
    sim.take_over(2, config());
    sim.list_vms();
    sim.advance(1_000);
    assert_eq!((sim.starts(key), sim.alive(key)), (1, 1), "it runs twice");
    sim.advance(7_500);
    assert_eq!((sim.starts(key), sim.alive(key)), (2, 1));
}

/// Guards against a second run by a late start that the token of a new leader kept out of one
/// incarnation, and that reaches the next one before its first call.
#[test]
fn a_start_that_one_incarnation_would_refuse_does_not_run_in_the_next() {
    let mut sim = two_workers();
    for worker in sim.workers.values_mut() {
        worker.is_late = true;
    }
    let id = sim.submit(1, job(vec![step(1)]));
    let key = task(id, 0, 0);
    let late = sim.workers.iter().find(|(_, worker)| !worker.late.is_empty());
    let place = late.expect("the start is under way").0.clone();
    for worker in sim.workers.values_mut() {
        worker.is_late = false;
    }
    sim.workers.get_mut(&place).expect("known").is_full = true;
    sim.take_over(2, config());
    sim.advance(1_000);
    assert_eq!(sim.alive(key), 1, "it runs on the other worker");
    sim.are_renewals_muted = true;
    let next = sim.restart_worker(&place);
    sim.deliver_late(&next);
    assert_eq!(sim.alive(key), 1, "it runs twice");
}

/// The next incarnation's higher token refuses calls that were sent to the previous one. That does
/// not imply another leader.
#[test]
fn a_refused_call_to_the_previous_incarnation_deposes_no_leader() {
    let mut sim = one_worker();
    let id = sim.submit(1, job(vec![step(1)]));
    sim.restart_worker(FIRST);
    sim.advance(500);
    let refused = CommandOutcome::Refused(CommandRefusal::Fenced, None);
    let first: Arc<str> = FIRST.into();
    sim.scheduler.handle_start_outcome(&first, &task(id, 0, 0), 1, &refused, sim.now);
    let refused = CommandOutcome::Refused(CommandRefusal::Fenced, None);
    sim.scheduler.handle_renewal_outcome(&first, &call(), refused, sim.now, sim.now);
    assert!(!sim.scheduler.is_deposed());
}

/// A worker crashes and restarts behind a network cut. While it can't be reached, its tasks wait as
/// if it ran them; when the cut heals, its first answer shows the next incarnation, and they start
/// again.
#[test]
fn a_worker_that_restarted_behind_a_cut_loses_and_repeats_no_task() {
    let mut sim = two_workers();
    let id = sim.submit(1, job(vec![step(1)]));
    let key = task(id, 0, 0);
    let place = sim.place(key);
    sim.workers.get_mut(&place).expect("known").is_silent = true;
    sim.advance(600);
    let next = sim.restart_worker(&place);
    sim.workers.get_mut(&next).expect("known").is_silent = true;
    sim.advance(600);
    assert_eq!(sim.starts(key), 1);
    sim.workers.get_mut(&next).expect("known").is_silent = false;
    sim.advance(600);
    assert_eq!((sim.starts(key), sim.alive(key)), (2, 1));
}

/// A task crashes each worker that starts it, and each is back under its name at once. The losses
/// count by incarnation: the job is given up after as many as if each incarnation had a name of its
/// own.
#[test]
fn losses_count_by_incarnation() {
    let entries = (0..4).map(|n| worker(&format!("w{n}"), &format!("r{n}"))).collect();
    let mut sim = SchedulerSim::open_with_incarnations(config(), entries);
    let id = sim.submit(1, job(vec![step(1)]));
    let key = task(id, 0, 0);
    for _ in 0..8 {
        if sim.state(id).is_some_and(|state| state.is_final()) {
            break;
        }
        if sim.alive(key) > 0 {
            let place = sim.place(key);
            let next = sim.restart_worker(&place);
            let entry = sim.entry(&next);
            sim.scheduler.worker_seen(entry, sim.now);
            sim.run_until_idle();
        }
        sim.advance(1_200);
    }
    assert_eq!(sim.state(id), Some(JobState::Failed));
    assert!(sim.starts(key) <= 5, "{} workers", sim.starts(key));
}

/// Service tasks are at work again after each of many restarts, one run each.
#[test]
fn services_come_back_after_each_restart() {
    let mut sim = two_workers();
    let id = sim.submit(1, job(vec![service_step(2)]));
    for round in 0..6 {
        let keys: Vec<Arc<str>> = sim.workers.keys().cloned().collect();
        sim.restart_worker(&keys[round % 2]);
        // Long enough at work that the losses are exempt.
        for _ in 0..6 {
            for worker in sim.workers.values_mut() {
                worker.running.values_mut().for_each(|percent| *percent = 100);
            }
            sim.advance(1_000);
        }
        assert_eq!(sim.alive(task(id, 0, 0)), 1, "round {round}");
        assert_eq!(sim.alive(task(id, 0, 1)), 1, "round {round}");
    }
}

/// A worker restarts again and again until the leader's term has no higher token left. The leader
/// steps down before it calls an incarnation with a token of the next term, which could belong to
/// another leader.
#[test]
fn a_leader_steps_down_before_its_tokens_are_used_up() {
    let mut sim = one_worker();
    let mut id: Arc<str> = FIRST.into();
    let mut incarnations = 0;
    while !sim.scheduler.is_deposed() {
        id = sim.restart_worker(&id);
        let entry = sim.entry(&id);
        sim.scheduler.worker_seen(entry, sim.now);
        sim.run_until_idle();
        let fence = sim.workers[&id].fence;
        assert!(
            fence < sim.scheduler.fence() + FENCING_TOKENS_PER_TERM,
            "{fence} after {incarnations} incarnations"
        );
        incarnations += 1;
        assert!(incarnations <= FENCING_TOKENS_PER_TERM, "it never steps down");
    }
    assert!(incarnations > FENCING_TOKENS_PER_TERM / 2, "{incarnations} incarnations");
}
