//! Services recover in time after their last run ended, wherever there is capacity for them.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use ibisweir::jobs::model::{JobId, ResourceVector, StepSpec, TaskKey};
use ibisweir::jobs::record::JobRecord;
use ibisweir::jobs::site::{SiteConfig, VmState, WorkerEntry};
use ibisweir::scheduler::SchedulerEvent;
use support::sim::{POOL, SchedulerSim, config, job, service_step, step, task, vm, worker};

/// Longest promised downtime of a service, in milliseconds.
const DOWN_MAX_MS: u64 = 9_000;

/// Workers, and the services on them whose downtime is measured.
struct RecoveryScenario {
    sim: SchedulerSim,
    pool: Vec<WorkerEntry>,
    services: Vec<TaskKey>,
    /// When each service task was last running.
    last_running_ms: BTreeMap<TaskKey, u64>,
    longest_down_ms: u64,
}

impl RecoveryScenario {
    fn open(workers: usize) -> RecoveryScenario {
        RecoveryScenario::open_with(config(), workers)
    }

    /// A scenario without a standby pool, so that idle VMs stay.
    fn open_without_standby(workers: usize) -> RecoveryScenario {
        let mut config = config();
        config.pools.retain(|pool| !pool.is_standby);
        RecoveryScenario::open_with(config, workers)
    }

    fn open_with(config: SiteConfig, workers: usize) -> RecoveryScenario {
        let name = |n: usize| worker(&format!("w{n}"), &format!("r{}", n / 4));
        let pool: Vec<WorkerEntry> = (0..workers).map(name).collect();
        let sim = SchedulerSim::open(config, pool.clone());
        let (services, last_running_ms) = (Vec::new(), BTreeMap::new());
        let mut scenario =
            RecoveryScenario { sim, pool, services, last_running_ms, longest_down_ms: 0 };
        scenario.list_vms(&[]);
        scenario
    }

    fn list_vms(&mut self, down: &[Arc<str>]) {
        let listed = |entry: &WorkerEntry| {
            let mut vm = vm(entry, POOL);
            if down.contains(&entry.id) {
                (vm.state, vm.worker) = (VmState::Down, "".into());
            }
            vm
        };
        let vms = self.pool.iter().map(listed).collect();
        self.sim.scheduler.update_vms(vms, self.sim.now, self.sim.now);
        self.sim.run_until_idle();
    }

    /// Submits a service; returns its tasks.
    fn submit_service(&mut self, id: u64, spec: StepSpec) -> Vec<TaskKey> {
        let count = spec.count;
        let id = self.sim.submit(id, job(vec![spec]));
        let keys: Vec<TaskKey> = (0..count).map(|index| task(id, 0, index)).collect();
        self.services.extend(&keys);
        self.last_running_ms.extend(keys.iter().map(|key| (*key, self.sim.now)));
        keys
    }

    /// Workers that run services.
    fn hosts(&self) -> Vec<Arc<str>> {
        let mut hosts: Vec<_> = self.services.iter().map(|key| self.sim.place(*key)).collect();
        hosts.sort();
        hosts.dedup();
        hosts
    }

    /// VMs lose power and stay off; the list shows it half a second later.
    fn power_off(&mut self, ids: &[Arc<str>]) {
        for id in ids {
            let worker = self.sim.workers.get_mut(id).expect("known");
            worker.is_silent = true;
            worker.running.clear();
        }
        self.advance(500);
        self.list_vms(ids);
    }

    /// Lets time pass, with all runs at full progress.
    fn advance(&mut self, ms: u64) {
        let end = self.sim.now + ms;
        while self.sim.now < end {
            self.sim.advance(20);
            for worker in self.sim.workers.values_mut() {
                worker.running.values_mut().for_each(|percent| *percent = 100);
            }
            let now = self.sim.now;
            for key in &self.services {
                let runs = self.sim.alive(*key);
                assert!(runs <= 1, "{key} runs twice");
                if runs == 1 {
                    self.last_running_ms.insert(*key, now);
                }
                self.longest_down_ms = self.longest_down_ms.max(now - self.last_running_ms[key]);
            }
        }
    }

    fn cancel(&mut self, id: JobId) {
        self.sim.append(&JobRecord::Cancelled(id));
    }
}

/// Tasks of one core that practically never end.
fn batch_step(count: u32) -> StepSpec {
    StepSpec { estimate_ms: 600_000, ..step(count) }
}

/// Services of one core that may share a worker.
fn shared_service(count: u32) -> StepSpec {
    StepSpec { per_worker_max: 0, ..service_step(count) }
}

/// Two of four VMs refuse all starts for a second, while there is much to start.
fn refuse_starts_for_a_second(scenario: &mut RecoveryScenario) {
    let set = |scenario: &mut RecoveryScenario, is_unhealthy| {
        for id in ["w0", "w1"] {
            scenario.sim.workers.get_mut(id).expect("known").is_unhealthy = is_unhealthy;
        }
    };
    set(scenario, true);
    let need = ResourceVector { cpu: 4_000, memory: 1_000, accelerators: 0 };
    let batch = scenario.sim.submit(1, job(vec![StepSpec { need, ..batch_step(6) }]));
    scenario.advance(1_000);
    set(scenario, false);
    scenario.cancel(batch);
}

/// Guards against a VM that is suspended for good because its first run after a series of errors is
/// a service.
#[test]
fn a_vm_tried_with_a_service_takes_more_once_it_is_serving() {
    let mut scenario = RecoveryScenario::open(4);
    refuse_starts_for_a_second(&mut scenario);
    scenario.submit_service(2, service_step(4));
    scenario.advance(DOWN_MAX_MS);
    scenario.submit_service(3, service_step(4));
    scenario.advance(2 * DOWN_MAX_MS);
    assert!(scenario.longest_down_ms <= DOWN_MAX_MS, "{} ms", scenario.longest_down_ms);
}

/// Guards against a VM that is suspended for good after a series of errors because it hosts a
/// service.
#[test]
fn a_vm_with_a_service_is_tried_again_after_errors() {
    let mut scenario = RecoveryScenario::open(4);
    scenario.submit_service(2, service_step(4));
    scenario.advance(2_000);
    refuse_starts_for_a_second(&mut scenario);
    scenario.submit_service(3, service_step(4));
    scenario.advance(2 * DOWN_MAX_MS);
    assert!(scenario.longest_down_ms <= DOWN_MAX_MS, "{} ms", scenario.longest_down_ms);
}

/// Guards against a service whose start waits for good on a worker that answers but is no longer
/// listed.
#[test]
fn a_start_goes_elsewhere_once_its_worker_is_not_listed() {
    for is_sent in [false, true] {
        let mut scenario = RecoveryScenario::open_without_standby(3);
        let key = scenario.submit_service(2, shared_service(1))[0];
        scenario.advance(1_000);
        let lost = scenario.sim.place(key);
        scenario.sim.is_lane_held = !is_sent;
        scenario.sim.workers.values_mut().for_each(|worker| worker.is_late = is_sent);
        scenario.power_off(&[lost]);
        scenario.advance(300);
        let placed = scenario.sim.events.iter().rev().find_map(|event| match event {
            SchedulerEvent::Placed { worker, .. } => Some(worker.clone()),
            _ => None,
        });
        scenario.sim.scheduler.worker_unlisted(&placed.expect("it was placed"), scenario.sim.now);
        scenario.sim.is_lane_held = false;
        scenario.sim.workers.values_mut().for_each(|worker| worker.is_late = false);
        scenario.sim.empty_lanes();
        scenario.advance(2 * DOWN_MAX_MS);
        assert!(
            scenario.longest_down_ms <= DOWN_MAX_MS,
            "{} ms, sent: {is_sent}",
            scenario.longest_down_ms
        );
    }
}

/// Guards against services that are lost together and get capacity one after the other, each after
/// the stop of the runs that it preempts.
#[test]
fn services_that_are_lost_together_preempt_others_together() {
    for steps in [1, 64] {
        let mut scenario = RecoveryScenario::open(20);
        scenario.sim.workers.values_mut().for_each(|worker| worker.stop_ms = 200);
        for id in 0..steps {
            scenario
                .submit_service(100 + id, shared_service(64 / u32::try_from(steps).expect("few")));
        }
        scenario.sim.submit(1, job(vec![batch_step(160)]));
        scenario.advance(2_000);
        let hosts = scenario.hosts();
        assert_eq!(hosts.len(), 8, "the other workers have capacity for all of them");
        scenario.power_off(&hosts);
        scenario.advance(2 * DOWN_MAX_MS);
        assert!(
            scenario.longest_down_ms <= DOWN_MAX_MS,
            "{} ms, {steps} steps",
            scenario.longest_down_ms
        );
    }
}

/// Guards against a service that waits for the capacity of a run whose stops are lost, while runs
/// on other workers could be preempted.
#[test]
fn a_service_preempts_others_where_stops_are_lost() {
    for losing_stops in [1, 4] {
        let mut scenario = RecoveryScenario::open(6);
        scenario.submit_service(2, shared_service(2));
        scenario.sim.submit(1, job(vec![batch_step(48)]));
        scenario.advance(2_000);
        let hosts = scenario.hosts();
        let is_other = |(id, _): &(&Arc<str>, _)| !hosts.contains(id);
        let others = scenario.sim.workers.iter_mut().filter(is_other).take(losing_stops);
        others.for_each(|(_, worker)| worker.are_stops_lost = true);
        scenario.power_off(&hosts);
        scenario.advance(2 * DOWN_MAX_MS);
        assert!(
            scenario.longest_down_ms <= DOWN_MAX_MS,
            "{} ms, {losing_stops} of 5",
            scenario.longest_down_ms
        );
    }
}

/// Guards against a service that is refused by the same few workers in turn, while others have
/// capacity.
#[test]
fn a_service_that_some_workers_refuse_finds_one_with_capacity() {
    for refusing in [2, 6, 20] {
        let mut scenario = RecoveryScenario::open_without_standby(2 * refusing);
        let count = u32::try_from(refusing).expect("few");
        scenario.submit_service(2, service_step(count + 1));
        let keys = scenario.submit_service(3, shared_service(2));
        scenario.advance(2_000);
        let lost = scenario.sim.place(keys[0]);
        for id in scenario.hosts().iter().filter(|id| **id != lost) {
            scenario.sim.workers.get_mut(id).expect("known").is_full = true;
        }
        scenario.power_off(&[lost]);
        scenario.advance(2 * DOWN_MAX_MS);
        assert!(
            scenario.longest_down_ms <= DOWN_MAX_MS,
            "{} ms, {refusing} refuse",
            scenario.longest_down_ms
        );
    }
}

/// Guards against capacity that is reserved for a service which does not go there, as it waits for
/// capacity near its data.
#[test]
fn capacity_that_a_service_does_not_take_is_left_to_others() {
    let pool = [("w1", "r1"), ("w2", "r2")].map(|(name, rack)| worker(name, rack));
    let mut sim = SchedulerSim::open(config(), pool.into());
    let near_data =
        StepSpec { data_rack: Some("r1".into()), estimate_ms: 60_000, ..shared_service(8) };
    sim.submit(1, job(vec![near_data.clone()]));
    sim.advance(500);
    sim.submit(2, job(vec![near_data]));
    let batch = sim.submit(3, job(vec![step(8)]));
    sim.advance(1_000);
    let started = (0..8).filter(|index| sim.alive(task(batch, 0, *index)) > 0).count();
    assert_eq!(started, 8, "the far worker is empty");
}

/// Guards against a service that waits beside an empty pool because the worker near its data is
/// lost.
#[test]
fn a_service_whose_data_is_out_of_reach_runs_elsewhere() {
    for estimate_ms in [1_000, 60_000] {
        let pool =
            [("w1", "r1"), ("w2", "r2"), ("w3", "r2")].map(|(name, rack)| worker(name, rack));
        let mut sim = SchedulerSim::open(config(), pool.into());
        let data_rack = Some("r1".into());
        let id = sim.submit(1, job(vec![StepSpec { data_rack, estimate_ms, ..service_step(1) }]));
        let key = task(id, 0, 0);
        // Long enough not to count as a loss at its start.
        for _ in 0..100 {
            sim.advance(100);
            let host = sim.workers.get_mut("w1").expect("known");
            host.running.values_mut().for_each(|percent| *percent = 100);
        }
        assert_eq!(&*sim.place(key), "w1");
        sim.workers.get_mut("w1").expect("known").is_silent = true;
        sim.advance(DOWN_MAX_MS);
        assert_eq!(sim.starts(key), 2, "estimated at {estimate_ms} ms");
    }
}

/// Guards against a service that waits for the worker near its data, which is lost, for as long as
/// its estimate says, because the leader changed while it was down.
#[test]
fn a_service_whose_data_is_out_of_reach_runs_elsewhere_under_the_next_leader() {
    let mut scenario = RecoveryScenario::open_without_standby(5);
    let data_rack = Some("r1".into());
    let spec = StepSpec { data_rack, estimate_ms: 60_000, ..service_step(1) };
    let key = scenario.submit_service(1, spec)[0];
    // Long enough not to count as a loss at its start.
    scenario.advance(10_000);
    let host = scenario.sim.place(key);
    assert_eq!(&*host, "w4");
    scenario.power_off(std::slice::from_ref(&host));
    scenario.advance(500);
    assert_eq!(scenario.sim.starts(key), 1);
    let mut config = config();
    config.pools.retain(|pool| !pool.is_standby);
    scenario.sim.take_over(2, config);
    scenario.list_vms(&[host]);
    scenario.advance(DOWN_MAX_MS);
    assert_eq!(scenario.sim.starts(key), 2, "it still waits");
}
