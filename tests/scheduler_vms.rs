//! What a leader concludes from the VM service's answers, late and lost ones too.

mod support;

use std::sync::Arc;

use ibisweir::jobs::model::ExitKind;
use ibisweir::jobs::ports::{VmCommand, VmOutcome};
use ibisweir::jobs::site::{VmEntry, VmState, WorkerEntry};
use support::stage::{POOL, STANDBY, Stage, config, job, job_id, step, task, vm, worker};

/// One worker at work and a VM on standby that the next job calls for.
fn called(outcome: VmOutcome) -> (Stage, WorkerEntry) {
    let pool = worker("w0", "r0");
    let mut stage = Stage::open(config(), vec![pool.clone()]);
    stage.vm_outcome = outcome;
    stage.scheduler.take_vms(listed(&pool, STANDBY, ""), stage.now, stage.now);
    stage.submit(1, job(vec![step(14)]));
    stage.advance(200);
    assert_eq!(stage.vm_commands.len(), 1, "{:?}", stage.vm_commands);
    (stage, pool)
}

/// The VM of `pool`, and a second one in pool `place` with this worker on it.
fn listed(pool: &WorkerEntry, place: &str, life: &str) -> Vec<VmEntry> {
    let second = vm(&worker(life, "r9"), place);
    vec![vm(pool, POOL), VmEntry { vm: "s0".into(), ..second }]
}

/// The VM service takes seconds to answer, and a command is given up. It was carried out all the same:
/// the VM's new worker reports itself and runs tasks. Then a repeat is answered. The tasks run on, so
/// that answer must not take their worker for gone, or each of them would run a second time elsewhere.
#[test]
fn a_repeated_command_says_nothing_of_a_worker_that_came_after_its_first_try() {
    let (mut stage, pool) = called(VmOutcome::Unknown);
    let fresh = worker("w1", "r9");
    stage.workers.insert(fresh.id.clone(), Default::default());
    stage.scheduler.worker_seen(fresh.clone(), stage.now);
    // The list shows the new worker as well, as one that was asked for before the first try.
    stage.scheduler.take_vms(listed(&pool, STANDBY, "w1"), stage.now - 150, stage.now);
    stage.advance(20);
    let on_fresh = stage.workers["w1"].running.len();
    assert!(on_fresh > 0, "tasks run on the new worker");

    stage.vm_outcome = VmOutcome::Done;
    stage.advance(400);
    // Room elsewhere, where a task that is taken for lost would start again.
    for index in 0..14 {
        let key = task(job_id(1), 0, index);
        if &*stage.place(key) == "w0" {
            stage.end(key, ExitKind::Done);
        }
    }
    stage.advance(1_000);
    let repeats = stage.vm_commands.iter().filter(|command| &**command.vm() == "s0").count();
    assert!(repeats >= 2, "{:?}", stage.vm_commands);
    let starts = stage.started.len();
    assert_eq!(starts, 14, "each task was started once");
    assert_eq!(stage.workers["w1"].running.len(), on_fresh);
}

/// The same, but the list shows the VM in its new pool before any answer has come: the command was
/// carried out, and needs no repeat.
#[test]
fn the_list_tells_that_a_command_without_an_answer_was_carried_out() {
    let (mut stage, pool) = called(VmOutcome::Unknown);
    stage.scheduler.take_vms(listed(&pool, POOL, ""), stage.now, stage.now);
    stage.advance(2_000);
    assert_eq!(stage.vm_commands.len(), 1, "{:?}", stage.vm_commands);
}

/// A command to give a VM away has no answer, and was not carried out. The VM crashes and comes back, and
/// its new worker is given tasks before the list shows it. A repeat now would end them: it waits until
/// nothing runs there.
#[test]
fn a_repeat_waits_until_the_vm_is_empty_again() {
    let entries = vec![worker("w0", "r0"), worker("w1", "r0")];
    let mut stage = Stage::open(config(), entries.clone());
    let both = |state, life: &str| -> Vec<VmEntry> {
        let second = VmEntry { state, worker: life.into(), ..vm(&entries[1], POOL) };
        vec![vm(&entries[0], POOL), second]
    };
    stage.vm_outcome = VmOutcome::Unknown;
    stage.scheduler.take_vms(both(VmState::Up, "w1"), stage.now, stage.now);
    stage.advance(2_000);
    let given: Vec<VmCommand> = stage.vm_commands.clone();
    let Some(VmCommand::Assign { vm: given, .. }) = given.first() else { panic!("{given:?}") };
    let life: Arc<str> = given.trim_start_matches("m-").into();
    stage.workers.remove(&life);
    stage.scheduler.worker_unlisted(&life, stage.now);
    let fresh = worker("w2", "r0");
    stage.workers.insert(fresh.id.clone(), Default::default());
    stage.scheduler.worker_seen(fresh.clone(), stage.now);
    stage.submit(2, job(vec![step(12)]));
    stage.advance(100);
    assert!(!stage.workers["w2"].running.is_empty(), "the new life took tasks");
    let shown: Vec<VmEntry> = entries
        .iter()
        .map(|entry| match entry.id == life {
            true => VmEntry { worker: fresh.id.clone(), ..vm(entry, POOL) },
            false => vm(entry, POOL),
        })
        .collect();
    stage.scheduler.take_vms(shown.clone(), stage.now, stage.now);
    let sent = stage.vm_commands.len();
    for _ in 0..10 {
        stage.scheduler.take_vms(shown.clone(), stage.now, stage.now);
        stage.advance(100);
    }
    assert!(!stage.workers["w2"].running.is_empty());
    assert_eq!(stage.vm_commands.len(), sent, "{:?}", stage.vm_commands);
}
