//! Assignment of VMs by demand, and maintenance within its bounds.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;

use ibisweir::decide::leadership::PredecessorEnd;
use ibisweir::jobs::model::{ExitKind, JobId, JobState, StepSpec};
use ibisweir::jobs::ports::VmCommand;
use ibisweir::jobs::record::JobRecord;
use ibisweir::jobs::site::{MaintenanceWave, PoolSpec, SiteConfig, VmEntry, VmState, WorkerEntry};
use ibisweir::scheduler::demand::ArrivalRate;
use ibisweir::scheduler::runtime::RuntimeModel;
use ibisweir::scheduler::{VM_COMMAND_LIFETIME_MS, VM_CONFIRMATION_TIMEOUT_MS};
use support::sim::{
    POOL, STANDBY, SchedulerSim, config, job, job_id, queue, service_step, step, submission, task,
    vm, worker,
};

fn workers(count: usize) -> Vec<WorkerEntry> {
    (0..count).map(|n| worker(&format!("w{n}"), &format!("r{}", n / 4))).collect()
}

/// The VMs of these workers, and `standby` more in the standby pool.
fn vms(workers: &[WorkerEntry], standby: usize) -> Vec<VmEntry> {
    let mut vms: Vec<VmEntry> = workers.iter().map(|worker| vm(worker, POOL)).collect();
    for n in 0..standby {
        let off = WorkerEntry { id: "".into(), ..worker("", "r9") };
        vms.push(VmEntry { vm: format!("s{n}").into(), ..vm(&off, STANDBY) });
    }
    vms
}

/// Workers that run the first `count` tasks of a job's first step.
fn hosts(sim: &SchedulerSim, pool: &[WorkerEntry], id: JobId, count: u32) -> Vec<WorkerEntry> {
    (0..count)
        .map(|index| sim.place(task(id, 0, index)))
        .map(|place| pool.iter().find(|worker| worker.id == place).expect("known").clone())
        .collect()
}

/// Lets the first `count` tasks of a job get to work and stay there for a while.
fn settle(sim: &mut SchedulerSim, id: JobId, count: u32) {
    for _ in 0..5 {
        for index in 0..count {
            sim.progress(task(id, 0, index), 100, 0);
        }
        sim.advance(100);
    }
}

fn assigned_to(sim: &SchedulerSim, pool: &str) -> usize {
    let to = |command: &&VmCommand| matches!(command, VmCommand::Assign { pool: to, .. } if &**to == pool);
    sim.vm_commands.iter().filter(to).count()
}

/// A quiet queue starts to ask for several times the capacity of its pool. Callers' objectives
/// leave little more time than a VM takes to arrive, so VMs must be requested by the arrival rate
/// of work, when only the first jobs are waiting.
#[test]
fn a_burst_requests_vms_by_its_arrival_rate() {
    let pool = workers(1);
    let mut sim = SchedulerSim::open(config(), pool.clone());
    sim.scheduler.update_vms(vms(&pool, 20), sim.now, sim.now);
    // Every 50 ms a job of four core-seconds: eighty cores, ten VMs, once the rate is steady.
    for id in 0..10 {
        sim.submit(id, job(vec![step(4)]));
        sim.advance(50);
    }
    let requested = assigned_to(&sim, POOL);
    // The ten jobs that have arrived take forty cores: four VMs beside the one that is there.
    assert!((5..=12).contains(&requested), "{requested} VMs requested after half a second");
}

/// A quiet queue asks for eighty cores from one moment to the next. Each job that arrives before
/// the rate shows it waits for the whole move of a VM: three quarters of the load must be visible
/// within 0.3 s.
#[test]
fn the_arrival_rate_shows_a_sudden_burst_within_tenths_of_a_second() {
    let mut rate = ArrivalRate::default();
    for n in 0..30 {
        rate.record_arrival(&job(vec![step(1)]), &RuntimeModel::default(), 5_000 + n * 100 / 8);
    }
    let seen = rate.load(5_300).cpu;
    assert!(seen >= 48_000, "{seen} of 80000");
    // The rate does not stay above the arriving load.
    for n in 30..120 {
        rate.record_arrival(&job(vec![step(1)]), &RuntimeModel::default(), 5_000 + n * 100 / 8);
    }
    let steady = rate.load(6_500).cpu;
    assert!((70_000..=92_000).contains(&steady), "{steady}");
}

/// The rate must fall within two windows after the last arrival, so that a burst that is over
/// requests no VMs.
#[test]
fn the_arrival_rate_falls_soon_after_a_burst() {
    let mut rate = ArrivalRate::default();
    for n in 0..20 {
        rate.record_arrival(&job(vec![step(4)]), &RuntimeModel::default(), 1_000 + n * 50);
    }
    let steady = rate.load(2_000).cpu;
    assert!((60_000..=90_000).contains(&steady), "{steady}");
    assert!(rate.load(3_500).cpu < steady / 10);
}

/// A queue's burst is over and its VMs are idle, but another queue's burst may begin at any moment.
/// A VM on its way to the standby pool can't be assigned, so only a part of the VMs may leave at a
/// time.
#[test]
fn only_some_of_the_idle_vms_leave_at_a_time() {
    let pool = workers(16);
    let mut sim = SchedulerSim::open(config(), pool.clone());
    sim.scheduler.update_vms(vms(&pool, 0), sim.now, sim.now);
    sim.advance(2_000);
    let leaving = assigned_to(&sim, STANDBY);
    // One VM stays with the pool. Half of the other fifteen leave, and no more until those have
    // arrived.
    assert_eq!(leaving, 7, "of 16 idle VMs");
}

/// Two VMs of a wave are down, as many as it allows. A third one must not go down, however many are
/// due.
#[test]
fn a_wave_keeps_to_its_limit_of_vms_at_a_time() {
    let pool = workers(6);
    let mut sim = SchedulerSim::open(config(), pool.clone());
    sim.scheduler.update_vms(vms(&pool, 0), sim.now, sim.now);
    sim.scheduler.add_wave(wave(&pool, 2), BTreeSet::new(), sim.now);
    sim.advance(1_500);
    assert_eq!(maintained(&sim).len(), 2);
    assert_eq!(sim.wave_statuses, vec![(1, false)]);
}

/// VMs that are off have no worker, neither before their maintenance nor after it. When the list
/// shows the first two up again, the next two must follow at once. If the leader waited for a
/// worker, they would occupy the slots of the wave until their commands are forgotten, and the last
/// VMs, with callers' runs on them, would be late.
#[test]
fn vms_without_workers_free_their_slots_in_a_wave_once_they_are_back() {
    let pool = workers(1);
    let mut sim = SchedulerSim::open(config(), pool.clone());
    let list = vms(&pool, 4);
    sim.scheduler.update_vms(list.clone(), sim.now, sim.now);
    let due = MaintenanceWave {
        vms: list.iter().filter(|vm| &*vm.pool == STANDBY).map(|vm| vm.vm.clone()).collect(),
        ..wave(&pool, 2)
    };
    sim.scheduler.add_wave(due, BTreeSet::new(), sim.now);
    sim.advance(200);
    assert_eq!(maintained(&sim).len(), 2);
    let mut down = list.clone();
    let is_begun = |vm: &VmEntry| maintained(&sim).contains(&vm.vm);
    down.iter_mut().filter(|vm| is_begun(vm)).for_each(|vm| vm.state = VmState::InMaintenance);
    sim.scheduler.update_vms(down, sim.now, sim.now);
    sim.advance(500);
    assert_eq!(maintained(&sim).len(), 2, "they are still down");
    sim.scheduler.update_vms(list, sim.now, sim.now);
    sim.advance(500);
    assert_eq!(maintained(&sim).len(), 4);
}

/// One VM of a wave may be down at a time, and one is. Another one has just been drained of its
/// services: it must wait until the first is back.
#[test]
fn a_drained_vm_waits_for_a_slot_in_its_wave() {
    let pool = workers(4);
    let mut sim = SchedulerSim::open(config(), pool.clone());
    sim.scheduler.update_vms(vms(&pool, 0), sim.now, sim.now);
    let id = sim.submit(1, job(vec![service_step(1)]));
    sim.progress(task(id, 0, 0), 100, 100);
    let host = sim.place(task(id, 0, 0));
    let host = pool.iter().find(|worker| worker.id == host).expect("known").clone();
    let other = pool.iter().find(|worker| worker.id != host.id).expect("known").clone();
    sim.scheduler.add_wave(wave(&[host, other], 1), BTreeSet::new(), sim.now);
    sim.advance(2_000);
    assert_ne!(sim.starts(task(id, 0, 0)), 1, "the service was moved");
    assert_eq!(maintained(&sim).len(), 1);
}

/// The VMs that are due run tasks of a step of which one may be down. The tasks must be moved one
/// at a time, each only when the previous one is at work again: callers see at most one down.
#[test]
fn services_are_moved_within_their_budget() {
    let pool = workers(6);
    let mut sim = SchedulerSim::open(config(), pool.clone());
    sim.scheduler.update_vms(vms(&pool, 0), sim.now, sim.now);
    let service = StepSpec { disruption_budget: 1, ..service_step(4) };
    let id = sim.submit(1, job(vec![service]));
    settle(&mut sim, id, 4);
    let due = hosts(&sim, &pool, id, 4);
    sim.scheduler.add_wave(wave(&due, 4), BTreeSet::new(), sim.now);
    for _ in 0..40 {
        sim.advance(20);
        let down = (0..4).filter(|index| sim.alive(task(id, 0, *index)) == 0).count();
        assert!(down <= 1, "{down} of 4 down");
    }
    // The moved task is not at work yet, so no other was stopped.
    let starts: usize = (0..4).map(|index| sim.starts(task(id, 0, index))).sum();
    assert_eq!(starts, 5);
}

/// The tasks of a service of which two may be down run on VMs that are all due. The wave would be
/// late if they were moved one after the other: two must move at a time, and never a third.
#[test]
fn as_many_vms_are_drained_at_a_time_as_budgets_allow() {
    let pool = workers(8);
    let mut sim = SchedulerSim::open(config(), pool.clone());
    sim.scheduler.update_vms(vms(&pool, 0), sim.now, sim.now);
    let service = StepSpec { disruption_budget: 2, ..service_step(4) };
    let id = sim.submit(1, job(vec![service]));
    settle(&mut sim, id, 4);
    let due = hosts(&sim, &pool, id, 4);
    for worker in sim.workers.values_mut() {
        worker.stop_ms = 2_000;
    }
    sim.scheduler.add_wave(wave(&due, 4), BTreeSet::new(), sim.now);
    for _ in 0..40 {
        sim.advance(20);
        let leaving: usize = sim.workers.values().map(|worker| worker.ending.len()).sum();
        assert!(leaving <= 2, "{leaving} of 4 are being stopped");
    }
    let leaving: usize = sim.workers.values().map(|worker| worker.ending.len()).sum();
    assert_eq!(leaving, 2);
}

/// Three VMs, two of them due. The service task of job 1 runs on one of these, another service on
/// the second, and `staying`, which is not due, is full of `fill`. Returns the task's starts and
/// worker 0.6 s after the wave began, and the VM that is not due.
fn moved_in_a_wave(fill: StepSpec) -> (usize, Arc<str>, Arc<str>) {
    let pool = workers(3);
    let mut sim = SchedulerSim::open(config(), pool.clone());
    sim.scheduler.update_vms(vms(&pool, 0), sim.now, sim.now);
    let id = sim.submit(1, job(vec![service_step(1)]));
    settle(&mut sim, id, 1);
    let host = sim.place(task(id, 0, 0));
    let mut others = pool.iter().filter(|worker| worker.id != host);
    let (other, staying) = (others.next().expect("three"), others.next().expect("three"));
    for (worker, label) in [(other, "other"), (staying, "staying")] {
        let labels = vec![label.into(), "r0".into()];
        sim.scheduler.worker_seen(WorkerEntry { labels, ..worker.clone() }, sim.now);
    }
    let labelled = |label: &str, spec| StepSpec { required_label: Some(label.into()), ..spec };
    let full = sim.submit(2, job(vec![labelled("staying", fill)]));
    settle(&mut sim, full, 8);
    let beside = StepSpec { per_worker_max: 0, ..service_step(2) };
    let second = sim.submit(3, job(vec![labelled("other", beside)]));
    settle(&mut sim, second, 2);
    let due: Vec<WorkerEntry> =
        pool.iter().filter(|worker| worker.id != staying.id).cloned().collect();
    sim.scheduler.add_wave(wave(&due, 1), BTreeSet::new(), sim.now);
    sim.advance(600);
    (sim.starts(task(id, 0, 0)), sim.place(task(id, 0, 0)), staying.id.clone())
}

/// A service task must leave a VM that is due, while a burst fills the VM that is not. There is
/// free capacity on another VM that is due: from there the task would have to move once more, and
/// callers would miss it twice. Capacity must be freed on the VM where it can stay.
#[test]
fn services_are_moved_to_vms_that_are_not_due() {
    let (starts, place, staying) = moved_in_a_wave(step(8));
    assert_eq!((starts, place), (2, staying));
}

/// The same, but the VM that is not due is full of another service, which can't be preempted: the
/// task must stay until there is capacity.
#[test]
fn services_are_not_moved_from_one_due_vm_to_the_next() {
    let fill = StepSpec { per_worker_max: 0, ..service_step(8) };
    let (starts, place, staying) = moved_in_a_wave(fill);
    assert_eq!(starts, 1);
    assert_ne!(place, staying);
}

/// A wave is complete when each of its VMs that still exists has begun its maintenance. Operators
/// must see that once.
#[test]
fn a_wave_is_published_as_complete_once_all_vms_have_begun() {
    let pool = workers(2);
    let mut sim = SchedulerSim::open(config(), pool.clone());
    sim.scheduler.update_vms(vms(&pool, 0), sim.now, sim.now);
    sim.scheduler.add_wave(wave(&pool, 2), BTreeSet::new(), sim.now);
    sim.advance(1_000);
    assert_eq!(maintained(&sim).len(), 2);
    assert_eq!(sim.wave_statuses, vec![(1, false), (1, true)]);
}

/// A new leader takes over in the middle of a wave. It must not repeat the maintenance that the log
/// records as done.
#[test]
fn a_successor_continues_a_wave_without_repeating_it() {
    let pool = workers(2);
    let mut sim = SchedulerSim::open(config(), pool.clone());
    sim.scheduler.update_vms(vms(&pool, 0), sim.now, sim.now);
    sim.scheduler.add_wave(wave(&pool, 1), BTreeSet::new(), sim.now);
    sim.advance(300);
    let first = maintained(&sim);
    assert_eq!(first.len(), 1);

    let done = sim.job_table.maintained(1);
    assert_eq!(done, first);
    sim.take_over(2, config());
    sim.scheduler.update_vms(vms(&pool, 0), sim.now, sim.now);
    sim.scheduler.add_wave(wave(&pool, 1), done, sim.now);
    sim.advance(300);
    assert_eq!(maintained(&sim).len(), 2);
    assert_eq!(sim.vm_commands.len(), 2);
}

/// A new leader finds a wave with nothing left to do. Operators have seen it complete, and must not
/// see it running again.
#[test]
fn a_successor_does_not_publish_a_complete_wave_as_running() {
    let pool = workers(2);
    let mut sim = SchedulerSim::open(config(), pool.clone());
    sim.scheduler.update_vms(vms(&pool, 0), sim.now, sim.now);
    sim.scheduler.add_wave(wave(&pool, 2), BTreeSet::new(), sim.now);
    sim.advance(1_000);
    assert_eq!(sim.wave_statuses.last(), Some(&(1, true)));

    let done = sim.job_table.maintained(1);
    sim.take_over(2, config());
    sim.wave_statuses.clear();
    sim.scheduler.update_vms(vms(&pool, 0), sim.now, sim.now);
    sim.scheduler.add_wave(wave(&pool, 2), done, sim.now);
    sim.advance(300);
    assert_eq!(sim.wave_statuses, vec![(1, true)]);
}

/// Guards against two tasks of a service being down where one may be. The leader stops the first
/// task to drain a VM and hands over; until the stop is finished, the worker still lists the task
/// at work. If the successor counted it as staying, it would stop a second one.
#[test]
fn a_successor_counts_a_task_that_is_being_stopped_as_down() {
    let pool = workers(6);
    let mut sim = SchedulerSim::open(config(), pool.clone());
    sim.scheduler.update_vms(vms(&pool, 0), sim.now, sim.now);
    let service = StepSpec { disruption_budget: 1, ..service_step(4) };
    let id = sim.submit(1, job(vec![service]));
    for worker in sim.workers.values_mut() {
        worker.stop_ms = 200;
    }
    for _ in 0..5 {
        for index in 0..4 {
            sim.progress(task(id, 0, index), 100, 0);
        }
        sim.advance(100);
    }
    let due = hosts(&sim, &pool, id, 4);
    sim.scheduler.add_wave(wave(&due, 4), BTreeSet::new(), sim.now);
    let mut waited = 0;
    while sim.workers.values().all(|worker| worker.ending.is_empty()) {
        sim.advance(20);
        waited += 20;
        assert!(waited < 4_000, "no task was stopped");
    }
    // The successor would begin with another VM, since the first one has more runs to end by now.
    let others: Vec<WorkerEntry> =
        due.iter().filter(|worker| sim.workers[&worker.id].ending.is_empty()).cloned().collect();
    sim.take_over(2, config());
    sim.scheduler.update_vms(vms(&pool, 0), sim.now, sim.now);
    sim.scheduler.add_wave(wave(&others, 4), BTreeSet::new(), sim.now);
    for _ in 0..100 {
        let ending: usize = sim.workers.values().map(|worker| worker.ending.len()).sum();
        let gone = (0..4).filter(|index| sim.alive(task(id, 0, *index)) == 0).count();
        assert!(ending + gone <= 1, "{ending} being stopped, {gone} gone");
        sim.advance(20);
    }
}

/// After a burst the tasks of a service run on four VMs, one each, where two would hold them. They
/// must be moved together within their budget, and the VMs that become empty leave the pool.
#[test]
fn services_are_consolidated_after_a_burst() {
    let pool = workers(4);
    let mut sim = SchedulerSim::open(config(), pool.clone());
    sim.scheduler.update_vms(vms(&pool, 0), sim.now, sim.now);
    // Each worker is full except for one slot, so that the service's tasks must spread.
    let full = sim.submit(1, job(vec![StepSpec { per_worker_max: 7, ..step(28) }]));
    sim.advance(100);
    let spread = sim.submit(2, job(vec![StepSpec { per_worker_max: 2, ..service_step(4) }]));
    sim.advance(100);
    for index in 0..28 {
        sim.end(task(full, 0, index), ExitKind::Done);
    }
    let places = |sim: &SchedulerSim| {
        (0..4).map(|index| sim.place(task(spread, 0, index))).collect::<BTreeSet<_>>().len()
    };
    assert_eq!(places(&sim), 4);
    for _ in 0..60 {
        sim.scheduler.update_vms(vms(&pool, 0), sim.now, sim.now);
        for index in 0..4 {
            sim.progress(task(spread, 0, index), 100, 0);
        }
        sim.advance(100);
        let down = (0..4).filter(|index| sim.alive(task(spread, 0, *index)) == 0).count();
        assert!(down <= 1, "{down} of 4 down");
    }
    assert!(places(&sim) <= 3, "{} VMs", places(&sim));
    assert!(assigned_to(&sim, STANDBY) >= 1);
}

/// One queue expects work: its jobs' later steps have not begun, and its VMs idle. Callers of
/// another queue wait for capacity now. The idle VMs must go to the waiting work.
#[test]
fn waiting_work_gets_vms_that_idle_for_expected_work() {
    let config = two_pools();
    let mut pool = workers(9);
    pool[8].service = OTHER_POOL.into();
    let mut sim = SchedulerSim::open(config, pool.clone());
    let listed: Vec<VmEntry> = pool.iter().map(|worker| vm(worker, &worker.service)).collect();
    // Its second step will need sixteen VMs, but the first runs on one.
    let later = StepSpec { after: vec![0], ..step(128) };
    sim.submit(1, job(vec![StepSpec { estimate_ms: 60_000, ..step(1) }, later]));
    sim.advance(3_000);
    sim.scheduler.update_vms(listed, sim.now, sim.now);
    let mut waiting = submission(job(vec![step(32)]));
    waiting.queue = OTHER_QUEUE.into();
    sim.append(&JobRecord::Submitted(job_id(2), Arc::new(waiting)));
    sim.advance(200);
    assert!(assigned_to(&sim, OTHER_POOL) >= 3, "{:?}", sim.vm_commands);
}

const OTHER_QUEUE: &str = "letters";
const OTHER_POOL: &str = "residence";

fn two_pools() -> SiteConfig {
    let mut config = config();
    config.queues.push(queue(OTHER_QUEUE, OTHER_POOL));
    config.pools.retain(|pool| !pool.is_standby);
    config.pools.push(PoolSpec {
        name: OTHER_POOL.into(),
        has_admission_check: true,
        is_standby: false,
    });
    config
}

/// A VM may only be taken when nothing runs on it: a task at work on it must end by itself first.
#[test]
fn a_due_vm_is_not_maintained_while_a_task_runs_on_it() {
    let pool = workers(1);
    let mut sim = SchedulerSim::open(config(), pool.clone());
    sim.scheduler.update_vms(vms(&pool, 0), sim.now, sim.now);
    let id = sim.submit(1, job(vec![step(1)]));
    sim.scheduler.add_wave(wave(&pool, 1), BTreeSet::new(), sim.now);
    sim.advance(500);
    assert!(maintained(&sim).is_empty());
    sim.end(task(id, 0, 0), ExitKind::Done);
    sim.advance(500);
    assert_eq!(maintained(&sim).len(), 1);
    assert_eq!(sim.state(id), Some(JobState::Completed));
}

fn wave(due: &[WorkerEntry], parallel_max: usize) -> MaintenanceWave {
    MaintenanceWave {
        number: 1,
        vms: due.iter().map(|worker| vm(worker, POOL).vm).collect(),
        within_ms: 4_000,
        parallel_max,
    }
}

fn maintained(sim: &SchedulerSim) -> BTreeSet<Arc<str>> {
    let vm = |command: &VmCommand| match command {
        VmCommand::Maintain { vm, .. } => Some(vm.clone()),
        VmCommand::Assign { .. } => None,
    };
    sim.vm_commands.iter().filter_map(vm).collect()
}

/// A leader is partitioned with a command to a VM on its way, and another takes over. A VM service
/// that checks no fencing tokens could carry out both leaders' commands in any order, and the VM
/// would end up where neither expects it. The successor's first command must wait until no command
/// of the old leader is under way.
#[test]
fn a_successor_waits_out_unfenced_vm_commands_of_its_predecessor() {
    let is_held = |are_vms_fenced, end| {
        let pool = workers(1);
        let mut sim = SchedulerSim::open(config(), pool.clone());
        sim.bounds.are_vms_fenced = are_vms_fenced;
        sim.predecessor_end = end;
        sim.submit(1, job(vec![step(40)]));
        sim.take_over(2, config());
        sim.scheduler.update_vms(vms(&pool, 20), sim.now, sim.now);
        sim.advance(VM_COMMAND_LIFETIME_MS - 100);
        let is_held = sim.vm_commands.is_empty();
        sim.scheduler.update_vms(vms(&pool, 20), sim.now, sim.now);
        sim.advance(200);
        assert!(assigned_to(&sim, POOL) > 0);
        is_held
    };
    assert!(is_held(false, PredecessorEnd::Unknown));
    assert!(!is_held(true, PredecessorEnd::Unknown), "the service refuses the old token");
    assert!(!is_held(false, PredecessorEnd::Resigned), "it had none in flight");
}

/// A leader that has not been confirmed for a while may soon have a successor: it must stop
/// commanding VMs, long before its leases end.
#[test]
fn vms_are_commanded_only_while_the_leadership_is_confirmed() {
    let pool = workers(1);
    let mut sim = SchedulerSim::open(config(), pool.clone());
    sim.scheduler.update_vms(vms(&pool, 20), sim.now, sim.now);
    sim.advance_unconfirmed(VM_CONFIRMATION_TIMEOUT_MS);
    sim.submit(1, job(vec![step(40)]));
    sim.advance_unconfirmed(400);
    assert!(sim.vm_commands.is_empty(), "{:?}", sim.vm_commands);
    sim.scheduler.update_vms(vms(&pool, 20), sim.now, sim.now);
    sim.advance(400);
    assert!(assigned_to(&sim, POOL) > 0);
}
