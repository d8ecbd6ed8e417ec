//! Caps of organisations on what they have running over all workers.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use ibisweir::decide::access::{AccessTable, OrganisationSpec};
use ibisweir::jobs::model::{
    ExitKind, JobId, JobSpec, JobSubmission, ResourceVector, StepSpec, TaskKey,
};
use ibisweir::jobs::record::JobRecord;
use ibisweir::jobs::site::SiteConfig;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::sim::{
    SchedulerSim, config, job, job_id, service_step, step, submission, task, worker,
};

fn cpu(cpu: u64) -> ResourceVector {
    ResourceVector { cpu, memory: 0, accelerators: 0 }
}

/// A configuration with a cap for each organisation, in thousandths of a core.
fn capped(version: u64, caps: &[(&str, u64)]) -> SiteConfig {
    let organisations = caps.iter().map(|(name, cap)| OrganisationSpec {
        name: (*name).into(),
        keys: Vec::new(),
        weight: 1.0,
        cap: cpu(*cap),
    });
    let access = Some(AccessTable::from(organisations.collect::<Vec<_>>()));
    SiteConfig { version, access, ..config() }
}

fn workers(count: usize) -> Vec<ibisweir::jobs::site::WorkerEntry> {
    (0..count).map(|n| worker(&format!("w{n}"), &format!("r{}", n / 4))).collect()
}

fn submit_job(sim: &mut SchedulerSim, id: u64, organisation: Option<&str>, spec: JobSpec) -> JobId {
    let organisation = organisation.map(Arc::from);
    let submitted = JobSubmission { organisation, ..submission(spec) };
    sim.append(&JobRecord::Submitted(job_id(id), Arc::new(submitted)));
    sim.run_until_idle();
    job_id(id)
}

/// Running tasks of a job.
fn running(sim: &SchedulerSim, id: JobId) -> usize {
    let on = |worker: &support::sim::SimWorker| {
        worker.running.keys().filter(|(task, _)| task.job == id).count()
    };
    sim.workers.values().map(on).sum()
}

/// Guards against a cap that holds back other organisations. One asks for more than its cap: its
/// tasks wait beside free workers, while those of another organisation and of an open queue, behind
/// them in the order, are placed as if they were not there. As its tasks end, its next ones begin.
#[test]
fn an_organisation_at_its_cap_holds_back_nobody_else() {
    let mut sim = SchedulerSim::open(capped(1, &[("east", 4_000), ("west", 0)]), workers(4));
    let east = submit_job(&mut sim, 1, Some("east"), job(vec![step(10)]));
    let west = submit_job(&mut sim, 2, Some("west"), job(vec![step(6)]));
    let open = submit_job(&mut sim, 3, None, job(vec![step(6)]));
    assert_eq!((running(&sim, east), running(&sim, west), running(&sim, open)), (4, 6, 6));
    for index in 0..4 {
        sim.end(task(east, 0, index), ExitKind::Done);
    }
    sim.advance(100);
    assert_eq!(running(&sim, east), 4);
}

/// Guards against a task that never runs because it needs more than the whole cap: it runs alone.
#[test]
fn a_task_that_is_larger_than_the_cap_runs_alone() {
    let mut sim = SchedulerSim::open(capped(1, &[("east", 2_000)]), workers(2));
    let large = StepSpec { need: cpu(5_000), ..step(2) };
    let id = submit_job(&mut sim, 1, Some("east"), job(vec![large]));
    assert_eq!(running(&sim, id), 1);
    sim.end(task(id, 0, 0), ExitKind::Done);
    sim.advance(100);
    assert_eq!(running(&sim, id), 1);
}

/// Guards against runs that are stopped, and starts that go out too early, when a cap falls far
/// below what is running.
#[test]
fn a_lowered_cap_holds_back_starts_until_enough_runs_have_ended() {
    let mut sim = SchedulerSim::open(capped(1, &[("east", 8_000)]), workers(4));
    let id = submit_job(&mut sim, 1, Some("east"), job(vec![step(20)]));
    assert_eq!(running(&sim, id), 8);
    sim.scheduler.set_config(Arc::new(capped(2, &[("east", 3_000)])));
    sim.advance(500);
    assert_eq!(running(&sim, id), 8);
    for index in 0..5 {
        sim.end(task(id, 0, index), ExitKind::Done);
        assert_eq!(running(&sim, id), 7 - usize::try_from(index).expect("small"));
    }
    sim.end(task(id, 0, 5), ExitKind::Done);
    sim.advance(100);
    assert_eq!(running(&sim, id), 3);
}

/// Guards against jobs that stop when their organisation leaves the configuration: they go on under
/// its last cap.
#[test]
fn jobs_of_a_removed_organisation_go_on_under_its_last_cap() {
    let mut sim = SchedulerSim::open(capped(1, &[("east", 2_000)]), workers(2));
    let id = submit_job(&mut sim, 1, Some("east"), job(vec![step(4)]));
    sim.scheduler.set_config(Arc::new(capped(2, &[])));
    for index in 0..4 {
        sim.advance(100);
        assert!(running(&sim, id) <= 2);
        sim.end(task(id, 0, index), ExitKind::Done);
    }
    sim.advance(100);
    assert!(sim.state(id).is_some_and(|state| state.is_final()), "{:?}", sim.started);
}

/// Guards against a new leader that forgets runs in doubt, on a silent worker or from unanswered
/// starts: they count until they are known to be over.
#[test]
fn runs_in_doubt_count_across_a_change_of_leaders() {
    let config = capped(1, &[("east", 4_000)]);
    let mut sim = SchedulerSim::open(config.clone(), workers(3));
    let id = submit_job(&mut sim, 1, Some("east"), job(vec![step(2)]));
    let place = sim.place(task(id, 0, 0));
    sim.workers.get_mut(&place).expect("known").is_silent = true;
    for worker in sim.workers.values_mut() {
        worker.is_late = true;
    }
    let late = submit_job(&mut sim, 2, Some("east"), job(vec![step(2)]));
    for worker in sim.workers.values_mut() {
        worker.is_late = false;
    }
    sim.take_over(2, config);
    let next = submit_job(&mut sim, 3, Some("east"), job(vec![step(4)]));
    sim.advance(200);
    let counted = running(&sim, id) + running(&sim, late) + running(&sim, next);
    assert!(counted <= 4, "{counted} tasks run");
}

/// Guards against a kind of run that the cap does not count: copies, services, later steps and
/// gangs.
#[test]
fn every_kind_of_run_counts_against_the_cap() {
    let mut sim = SchedulerSim::open(capped(1, &[("east", 6_000)]), workers(4));
    let service = submit_job(&mut sim, 1, Some("east"), job(vec![service_step(3)]));
    assert_eq!(running(&sim, service), 3);
    let gang = StepSpec { is_gang: true, ..step(4) };
    let gang = submit_job(&mut sim, 2, Some("east"), job(vec![gang]));
    assert_eq!(running(&sim, gang), 0, "four are not left");
    let later = StepSpec { after: vec![0], ..step(5) };
    let chain = submit_job(&mut sim, 3, Some("east"), job(vec![step(1), later]));
    sim.end(task(chain, 0, 0), ExitKind::Done);
    sim.advance(100);
    assert_eq!(running(&sim, chain), 3);
}

/// Guards against an organisation that sends far more than its share into a full pool, in jobs of
/// less work than everybody else's. Jobs of others start first as capacity becomes free; jobs
/// beyond a share run where capacity is left, and no VM is called for them.
#[test]
fn jobs_beyond_a_share_do_not_delay_the_others() {
    let mut config = capped(1, &[("east", 0), ("west", 0)]);
    let access = config.access.take().expect("organisations");
    let shared = access.iter().map(|spec| OrganisationSpec { weight: 2.0, ..spec.clone() });
    config.access = Some(AccessTable::from(shared.collect::<Vec<_>>()));
    let mut sim = SchedulerSim::open(config, workers(1));
    let busy = submit_job(&mut sim, 1, None, job(vec![step(8)]));
    let east: Vec<JobId> =
        (10..18).map(|id| submit_job(&mut sim, id, Some("east"), job(vec![step(1)]))).collect();
    let west: Vec<JobId> =
        (20..22).map(|id| submit_job(&mut sim, id, Some("west"), job(vec![step(2)]))).collect();
    for index in 0..6 {
        sim.end(task(busy, 0, index), ExitKind::Done);
    }
    sim.advance(100);
    let running_in_all = |ids: &[JobId]| ids.iter().map(|id| running(&sim, *id)).sum::<usize>();
    assert_eq!(
        (running_in_all(&east[..2]), running_in_all(&west), running_in_all(&east[2..])),
        (2, 4, 0)
    );
    for index in 6..8 {
        sim.end(task(busy, 0, index), ExitKind::Done);
    }
    sim.advance(100);
    let running_in_all = |ids: &[JobId]| ids.iter().map(|id| running(&sim, *id)).sum::<usize>();
    assert_eq!(running_in_all(&east[2..]), 2);
}

/// Random runs with caps that rise and fall, full and empty pools, tasks that end, workers that
/// crash, fall silent or carry starts out late, changes of leaders and an unreachable log. Guards
/// against an organisation that has more running than its highest recent cap and one task, and
/// against one that waits beside free capacity for three seconds while it uses less than half of
/// its cap.
#[test]
fn random_runs_keep_the_caps_and_starve_nobody() {
    let first: u64 =
        std::env::var("IBISWEIR_TEST_SEED").map_or(1, |text| text.parse().expect("a number"));
    let runs: u64 =
        std::env::var("IBISWEIR_TEST_RUNS").map_or(12, |text| text.parse().expect("a number"));
    for seed in first..first + runs {
        CapModel::open(seed).run();
    }
}

const ORGANISATIONS: [&str; 3] = ["east", "west", "north"];

struct CapModel {
    seed: u64,
    random: StdRng,
    sim: SchedulerSim,
    term: u64,
    version: u64,
    caps: BTreeMap<&'static str, u64>,
    job_owners: BTreeMap<JobId, (&'static str, u64)>,
    /// Number of steps for which an organisation has been waiting beside free capacity.
    waiting_steps: BTreeMap<&'static str, u32>,
    /// Steps since the last fault.
    steps_since_fault: u32,
}

impl CapModel {
    fn open(seed: u64) -> CapModel {
        let mut random = StdRng::seed_from_u64(seed);
        let caps: BTreeMap<_, _> =
            ORGANISATIONS.iter().map(|name| (*name, random.random_range(2..12) * 1_000)).collect();
        let size = random.random_range(2..6);
        let sim = SchedulerSim::open(config_of(1, &caps), workers(size));
        let (job_owners, waiting_steps) = (BTreeMap::new(), BTreeMap::new());
        CapModel {
            seed,
            random,
            sim,
            term: 1,
            version: 1,
            caps,
            job_owners,
            waiting_steps,
            steps_since_fault: 0,
        }
    }

    fn run(&mut self) {
        for _ in 0..300 {
            self.act_randomly();
            self.sim.advance(100);
            self.end_random_runs();
            self.check();
        }
    }

    fn act_randomly(&mut self) {
        self.steps_since_fault += 1;
        if self.random.random_bool(0.5) {
            self.submit();
        }
        let ids: Vec<Arc<str>> = self.sim.workers.keys().cloned().collect();
        let id = ids[self.random.random_range(0..ids.len())].clone();
        match self.random.random_range(0..150) {
            0 => self.sim.crash(&id),
            1 => self.sim.workers.get_mut(&id).expect("known").is_silent = true,
            2 => self.sim.workers.values_mut().for_each(|worker| worker.is_silent = false),
            3 => self.sim.workers.get_mut(&id).expect("known").is_late = true,
            4 => self.sim.workers.values_mut().for_each(|worker| worker.is_late = false),
            5 => self.sim.deliver_late(&id),
            6 => {
                self.term += 1;
                self.sim.take_over(self.term, config_of(self.version, &self.caps));
            }
            7 => self.sim.is_log_up = !self.sim.is_log_up,
            8 => self.change_cap(),
            _ => return,
        }
        self.steps_since_fault = 0;
    }

    fn submit(&mut self) {
        let owner = ORGANISATIONS[self.random.random_range(0..ORGANISATIONS.len())];
        let need = self.random.random_range(1..5) * 500;
        let count = self.random.random_range(1..8);
        let mut spec = StepSpec { need: cpu(need), ..step(count) };
        spec.allows_copies = self.random.random_bool(0.2);
        let number = u64::try_from(self.job_owners.len()).expect("few") + 1;
        let id = submit_job(&mut self.sim, number, Some(owner), job(vec![spec]));
        self.job_owners.insert(id, (owner, need));
    }

    fn change_cap(&mut self) {
        let name = ORGANISATIONS[self.random.random_range(0..ORGANISATIONS.len())];
        let cap = self.random.random_range(1..12) * 1_000;
        // A cap is not set below the current usage, since the checked sum could exceed it then.
        self.caps.insert(name, cap.max(self.used(name)));
        self.version += 1;
        let config = config_of(self.version, &self.caps);
        self.sim.scheduler.set_config(Arc::new(config));
    }

    fn end_random_runs(&mut self) {
        for worker in self.sim.workers.values_mut().filter(|worker| !worker.is_silent) {
            let runs: Vec<(TaskKey, u32)> = worker.running.keys().copied().collect();
            for (key, run) in runs {
                if self.random.random_bool(0.15) {
                    worker.exit(key, run, ExitKind::Done);
                }
            }
        }
    }

    /// Usage of an organisation over all workers.
    fn used(&self, name: &str) -> u64 {
        let runs = self.sim.workers.values().flat_map(|worker| worker.running.keys());
        let needs = runs.filter_map(|(key, _)| self.job_owners.get(&key.job));
        needs.filter(|(owner, _)| *owner == name).map(|(_, need)| need).sum()
    }

    fn check(&mut self) {
        for name in ORGANISATIONS {
            let (used, cap) = (self.used(name), self.caps[name]);
            let largest = 2_000;
            assert!(used <= cap + largest, "seed {}: {name} has {used} of {cap}", self.seed);
            let is_starved = self.is_starved(name, used, cap);
            let waiting_steps = self.waiting_steps.entry(name).or_default();
            *waiting_steps = if is_starved { *waiting_steps + 1 } else { 0 };
            assert!(*waiting_steps < 30, "seed {}: {name} waits beside free capacity", self.seed);
        }
    }

    /// Whether an organisation under half of its cap has a job with no running task, although two
    /// of its tasks would fit.
    fn is_starved(&self, name: &str, used: u64, cap: u64) -> bool {
        if self.steps_since_fault < 40 || !self.sim.is_log_up || used * 2 >= cap {
            return false;
        }
        let free = |worker: &support::sim::SimWorker| {
            let runs = worker.running.keys().filter_map(|(key, _)| self.job_owners.get(&key.job));
            8_000_u64.saturating_sub(runs.map(|(_, need)| need).sum::<u64>())
        };
        let has_no_fault =
            self.sim.workers.values().all(|worker| !worker.is_silent && !worker.is_late);
        let free_cores: Vec<u64> = self.sim.workers.values().map(free).collect();
        has_no_fault
            && self.job_owners.iter().any(|(id, (owner, need))| {
                let fitting: u64 = free_cores.iter().map(|free| free / need).sum();
                let is_open = self.sim.state(*id).is_some_and(|state| !state.is_final());
                *owner == name && is_open && running(&self.sim, *id) == 0 && fitting >= 2
            })
    }
}

fn config_of(version: u64, caps: &BTreeMap<&'static str, u64>) -> SiteConfig {
    let caps: Vec<(&str, u64)> = caps.iter().map(|(name, cap)| (*name, *cap)).collect();
    capped(version, &caps)
}
