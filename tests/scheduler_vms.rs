//! Conclusions that a leader draws from the VM service's answers, also late and lost ones.

mod support;

use std::sync::Arc;

use ibisweir::jobs::model::ExitKind;
use ibisweir::jobs::ports::{VmCommand, VmOutcome};
use ibisweir::jobs::site::{VmEntry, VmState, WorkerEntry};
use support::sim::{POOL, STANDBY, SchedulerSim, config, job, job_id, step, task, vm, worker};

/// One worker at work, and a standby VM that the next job needs, whose command has this outcome.
fn request_vm(outcome: VmOutcome) -> (SchedulerSim, WorkerEntry) {
    let pool = worker("w0", "r0");
    let mut sim = SchedulerSim::open(config(), vec![pool.clone()]);
    sim.vm_outcome = outcome;
    sim.scheduler.update_vms(listed(&pool, STANDBY, ""), sim.now, sim.now);
    sim.submit(1, job(vec![step(14)]));
    sim.advance(200);
    assert_eq!(sim.vm_commands.len(), 1, "{:?}", sim.vm_commands);
    (sim, pool)
}

/// A VM list with the VM of `pool`, and a second VM in pool `place` with this worker on it.
fn listed(pool: &WorkerEntry, place: &str, incarnation: &str) -> Vec<VmEntry> {
    let second = vm(&worker(incarnation, "r9"), place);
    vec![vm(pool, POOL), VmEntry { vm: "s0".into(), ..second }]
}

/// The VM service takes seconds to answer, and a command times out although it was carried out: the
/// VM's new worker reports itself and runs tasks. Then a repeated command is answered. The tasks
/// still run, so that answer must not end their worker's incarnation, or each of them would run a
/// second time elsewhere.
#[test]
fn a_repeated_command_does_not_end_a_worker_that_came_after_the_first_attempt() {
    let (mut sim, pool) = request_vm(VmOutcome::Unknown);
    let fresh = worker("w1", "r9");
    sim.workers.insert(fresh.id.clone(), Default::default());
    sim.scheduler.worker_seen(fresh.clone(), sim.now);
    // The list shows the new worker too, but was requested before the first attempt.
    sim.scheduler.update_vms(listed(&pool, STANDBY, "w1"), sim.now - 150, sim.now);
    sim.advance(20);
    let on_fresh = sim.workers["w1"].running.len();
    assert!(on_fresh > 0, "tasks run on the new worker");

    sim.vm_outcome = VmOutcome::Done;
    sim.advance(400);
    // Free capacity elsewhere, where a task that is declared lost would start again.
    for index in 0..14 {
        let key = task(job_id(1), 0, index);
        if &*sim.place(key) == "w0" {
            sim.end(key, ExitKind::Done);
        }
    }
    sim.advance(1_000);
    let repeats = sim.vm_commands.iter().filter(|command| &**command.vm() == "s0").count();
    assert!(repeats >= 2, "{:?}", sim.vm_commands);
    let starts = sim.started.len();
    assert_eq!(starts, 14, "each task was started once");
    assert_eq!(sim.workers["w1"].running.len(), on_fresh);
}

/// The same, but the list shows the VM in its new pool before any answer has come: the command was
/// carried out and must not be repeated.
#[test]
fn the_list_shows_that_an_unanswered_command_was_carried_out() {
    let (mut sim, pool) = request_vm(VmOutcome::Unknown);
    sim.scheduler.update_vms(listed(&pool, POOL, ""), sim.now, sim.now);
    sim.advance(2_000);
    assert_eq!(sim.vm_commands.len(), 1, "{:?}", sim.vm_commands);
}

/// A command to move a VM to another pool gets no answer and was not carried out. The VM crashes
/// and comes back, and its new worker gets tasks before the list shows it. A repeated command would
/// end them: it must wait until nothing runs there.
#[test]
fn a_repeated_command_waits_until_the_vm_is_empty_again() {
    let entries = vec![worker("w0", "r0"), worker("w1", "r0")];
    let mut sim = SchedulerSim::open(config(), entries.clone());
    let both = |state, incarnation: &str| -> Vec<VmEntry> {
        let second = VmEntry { state, worker: incarnation.into(), ..vm(&entries[1], POOL) };
        vec![vm(&entries[0], POOL), second]
    };
    sim.vm_outcome = VmOutcome::Unknown;
    sim.scheduler.update_vms(both(VmState::Up, "w1"), sim.now, sim.now);
    sim.advance(2_000);
    let given: Vec<VmCommand> = sim.vm_commands.clone();
    let Some(VmCommand::Assign { vm: given, .. }) = given.first() else { panic!("{given:?}") };
    let incarnation: Arc<str> = given.trim_start_matches("m-").into();
    sim.workers.remove(&incarnation);
    sim.scheduler.worker_unlisted(&incarnation, sim.now);
    let fresh = worker("w2", "r0");
    sim.workers.insert(fresh.id.clone(), Default::default());
    sim.scheduler.worker_seen(fresh.clone(), sim.now);
    sim.submit(2, job(vec![step(12)]));
    sim.advance(100);
    assert!(!sim.workers["w2"].running.is_empty(), "the new incarnation got tasks");
    let shown: Vec<VmEntry> = entries
        .iter()
        .map(|entry| match entry.id == incarnation {
            true => VmEntry { worker: fresh.id.clone(), ..vm(entry, POOL) },
            false => vm(entry, POOL),
        })
        .collect();
    sim.scheduler.update_vms(shown.clone(), sim.now, sim.now);
    let sent = sim.vm_commands.len();
    for _ in 0..10 {
        sim.scheduler.update_vms(shown.clone(), sim.now, sim.now);
        sim.advance(100);
    }
    assert!(!sim.workers["w2"].running.is_empty());
    assert_eq!(sim.vm_commands.len(), sent, "{:?}", sim.vm_commands);
}
