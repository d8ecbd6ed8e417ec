//! Hand-over of VMs between bursts of different pools.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ibisweir::jobs::model::{ExitKind, JobId, ResourceVector, StepSpec, TaskKey};
use ibisweir::jobs::ports::{VmCommand, VmOutcome};
use ibisweir::jobs::record::JobRecord;
use ibisweir::jobs::site::{MaintenanceWave, PoolSpec, SiteConfig, VmEntry, VmState, WorkerEntry};
use ibisweir::scheduler::SchedulerEvent;
use ibisweir::scheduler::turns::{BurstChange, BurstTracker, HoldChange, PoolDemand, TurnTracker};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::sim::{STANDBY, SchedulerSim, config, job, queue, submission, worker};

const POOLS: [&str; 3] = ["first", "second", "third"];
/// VMs of the replayed site.
const VMS: usize = 48;
/// VMs that the bursts of the pools fill; the last asks for more than the site has.
const BURST_VMS: [f64; 3] = [34.0, 34.0, 64.0];
/// Duration of a move, in milliseconds.
const MOVE_MS: u64 = 1_500;
/// Duration of a burst, of its rise and of its fall, in milliseconds.
const BURST_MS: u64 = 9_000;
const RISE_MS: u64 = 2_000;
const FALL_MS: u64 = 3_000;
/// Time for which a burst is examined, in milliseconds.
const EXAMINED_MS: u64 = 4_000;
/// Duration of a task, in milliseconds.
const TASK_MS: u64 = 1_000;

fn site_config() -> SiteConfig {
    let pool = |name: &str, is_standby| PoolSpec {
        name: name.into(),
        has_admission_check: true,
        is_standby,
    };
    let mut pools: Vec<PoolSpec> = POOLS.iter().map(|name| pool(name, false)).collect();
    pools.push(pool(STANDBY, true));
    let queues = POOLS.iter().map(|name| queue(&format!("{name}-queue"), name)).collect();
    SiteConfig { queues, pools, ..config() }
}

/// A VM whose moves take [`MOVE_MS`].
struct SiteVm {
    entry: VmEntry,
    /// When its move is over, in milliseconds.
    arrives_ms: Option<u64>,
}

/// A scheduler with VMs that move, and tasks that end after [`TASK_MS`].
struct BurstSite {
    sim: SchedulerSim,
    vms: Vec<SiteVm>,
    random: StdRng,
    commands_seen: usize,
    starts_seen: usize,
    next_job: u64,
    next_worker: usize,
    ending: Vec<(u64, TaskKey, u32, Arc<str>)>,
    /// When each job was submitted, and the waits of all tasks that have started, in milliseconds.
    submitted_ms: BTreeMap<JobId, u64>,
    waits_ms: Vec<u64>,
    /// When the last task of each worker ended, in milliseconds.
    ended_ms: BTreeMap<Arc<str>, u64>,
}

impl BurstSite {
    fn open(seed: u64) -> BurstSite {
        let entry = |n: usize| WorkerEntry {
            service: POOLS[0].into(),
            ..worker(&format!("w{n}"), &format!("r{}", n % 4))
        };
        let entries: Vec<WorkerEntry> = (0..VMS).map(entry).collect();
        let vms = entries
            .iter()
            .map(|worker| SiteVm { entry: support::sim::vm(worker, POOLS[0]), arrives_ms: None })
            .collect();
        let mut site = BurstSite {
            sim: SchedulerSim::open_with_holds(site_config(), entries),
            vms,
            random: StdRng::seed_from_u64(seed),
            commands_seen: 0,
            starts_seen: 0,
            next_job: 0,
            next_worker: VMS,
            ending: Vec::new(),
            submitted_ms: BTreeMap::new(),
            waits_ms: Vec::new(),
            ended_ms: BTreeMap::new(),
        };
        site.run(100);
        site
    }

    /// Advances the time in steps, in which VMs arrive and tasks end.
    fn run(&mut self, ms: u64) {
        let end = self.sim.now + ms;
        while self.sim.now < end {
            self.move_vms();
            self.end_tasks();
            if self.sim.now.is_multiple_of(100) {
                self.list_vms();
            }
            self.sim.advance(20);
        }
    }

    fn move_vms(&mut self) {
        let now = self.sim.now;
        let commands = self.sim.vm_commands[self.commands_seen..].to_vec();
        self.commands_seen += commands.len();
        if self.sim.vm_outcome != VmOutcome::Done {
            return;
        }
        for command in commands {
            let VmCommand::Assign { vm, pool } = command else { continue };
            let known = self.vms.iter_mut().find(|known| known.entry.vm == vm);
            let moved = known.expect("the VM exists");
            let before = std::mem::take(&mut moved.entry.worker);
            moved.entry.pool = pool;
            moved.entry.state = VmState::Moving;
            moved.arrives_ms = Some(now + MOVE_MS);
            if !before.is_empty() {
                self.sim.workers.remove(&before);
                self.sim.scheduler.worker_unlisted(&before, now);
            }
        }
        for index in 0..self.vms.len() {
            let moved = &mut self.vms[index];
            if moved.arrives_ms.is_none_or(|arrives| now < arrives) {
                continue;
            }
            moved.arrives_ms = None;
            moved.entry.state = VmState::Up;
            if &*moved.entry.pool == STANDBY {
                continue;
            }
            let name = format!("w{}", self.next_worker);
            self.next_worker += 1;
            let fresh = WorkerEntry {
                service: moved.entry.pool.clone(),
                ..worker(&name, &format!("r{}", index % 4))
            };
            moved.entry.worker = fresh.id.clone();
            self.sim.workers.insert(fresh.id.clone(), Default::default());
            self.sim.scheduler.worker_seen(fresh, now);
        }
    }

    fn end_tasks(&mut self) {
        let now = self.sim.now;
        for (key, run, worker) in &self.sim.started[self.starts_seen..] {
            self.waits_ms.push(now - self.submitted_ms[&key.job]);
            self.ending.push((now + TASK_MS, *key, *run, worker.clone()));
        }
        self.starts_seen = self.sim.started.len();
        let (due, left) = self.ending.drain(..).partition(|(end, ..)| *end <= now);
        self.ending = left;
        let due: Vec<(u64, TaskKey, u32, Arc<str>)> = due;
        for (_, key, run, worker) in due {
            self.ended_ms.insert(worker.clone(), now);
            if let Some(worker) = self.sim.workers.get_mut(&worker) {
                worker.exit(key, run, ExitKind::Done);
            }
        }
    }

    fn list_vms(&mut self) {
        let list = self.vms.iter().map(|vm| vm.entry.clone()).collect();
        self.sim.scheduler.update_vms(list, self.sim.now, self.sim.now);
    }

    /// Replaces the leader. The simulation knows only the workers that it was opened with.
    fn take_over(&mut self) {
        self.sim.take_over(2, site_config());
        let now = self.sim.now;
        for n in 0..VMS {
            let name: Arc<str> = format!("w{n}").into();
            if !self.vms.iter().any(|vm| vm.entry.worker == name) {
                self.sim.workers.remove(&name);
                self.sim.scheduler.worker_unlisted(&name, now);
            }
        }
        for vm in self.vms.iter().filter(|vm| !vm.entry.worker.is_empty()) {
            let service = vm.entry.pool.clone();
            let rack = vm.entry.rack.clone();
            let entry = WorkerEntry { service, ..worker(&vm.entry.worker, &rack) };
            self.sim.scheduler.worker_seen(entry, now);
        }
        self.list_vms();
    }

    /// Submits a job of one step of two tasks that fill a VM together.
    fn submit(&mut self, pool: &str) {
        self.submit_tasks(pool, 2);
    }

    /// Submits a job of one step of tasks that each fill half of a VM.
    fn submit_tasks(&mut self, pool: &str, count: u32) {
        let need = ResourceVector { cpu: 4_000, memory: 1_000, accelerators: 0 };
        let spec = StepSpec { need, ..support::sim::step(count) };
        let record = submission(job(vec![spec]));
        let wall_ms = record.accepted_ms - support::sim::START_MS + self.sim.now;
        let record = ibisweir::jobs::model::JobSubmission {
            queue: format!("{pool}-queue").as_str().into(),
            service: pool.into(),
            accepted_ms: wall_ms,
            ..record
        };
        self.next_job += 1;
        let id = support::sim::job_id(self.next_job);
        self.submitted_ms.insert(id, self.sim.now);
        self.sim.append(&JobRecord::Submitted(id, Arc::new(record)));
    }

    fn usable(&self, pool: &str) -> usize {
        let is_there = |vm: &&SiteVm| &*vm.entry.pool == pool && vm.entry.state == VmState::Up;
        self.vms.iter().filter(is_there).count()
    }

    /// Plays a part of a burst of a pool, from a time since its beginning. Returns the VM-seconds that the pool had, up to
    /// those that its load fills.
    fn burst(&mut self, pool: usize, from_ms: u64, ms: u64) -> f64 {
        let start = self.sim.now - from_ms;
        let mut work = 0.0;
        let mut served = 0.0;
        while self.sim.now < start + from_ms + ms {
            let filled = filled_vms(pool, self.sim.now - start);
            work += filled * 0.02;
            // Each job holds a VM for a second; the work per step varies by a half.
            while work > 0.0 {
                self.submit(POOLS[pool]);
                work -= self.random.random_range(0.5..1.5);
            }
            self.run(20);
            served +=
                filled_vms(pool, self.sim.now - start).min(self.usable(POOLS[pool]) as f64) * 0.02;
        }
        served
    }

    fn holds(&self) -> Vec<HoldChange> {
        let hold = |event: &SchedulerEvent| match event {
            SchedulerEvent::Hold(change) => Some(change.clone()),
            _ => None,
        };
        self.sim.events.iter().filter_map(hold).collect()
    }

    fn held(&self) -> usize {
        self.sim.scheduler.stats().held_vms
    }

    fn moves_to(&self, pool: &str) -> usize {
        let is_to = |command: &&VmCommand| matches!(command, VmCommand::Assign { pool: to, .. } if &**to == pool);
        self.sim.vm_commands.iter().filter(is_to).count()
    }
}

/// VMs that the load of a burst fills, by the time since its beginning.
fn filled_vms(pool: usize, since_ms: u64) -> f64 {
    let rise = since_ms.min(RISE_MS) as f64 / RISE_MS as f64;
    let left_ms = BURST_MS.saturating_sub(since_ms);
    let fall = left_ms.min(FALL_MS) as f64 / FALL_MS as f64;
    BURST_VMS[pool] * rise.min(fall)
}

/// VM-seconds that a pool could have in the examined part of its burst: each VM as long after the
/// load fills it as a move takes, and one VM less for each other pool.
fn optimum(pool: usize) -> f64 {
    let vms_max = (VMS - POOLS.len() + 1) as f64;
    let filled = |step: u64| filled_vms(pool, step * 20).min(vms_max) * 0.02;
    (0..(EXAMINED_MS - MOVE_MS) / 20).map(filled).sum()
}

/// Shares of the VM-seconds that the second and the third pool have in the examined part of their
/// bursts, of those they could have, and the number of moves.
fn burst_shares(seed: u64, gap_ms: u64) -> (f64, f64, usize) {
    let mut site = BurstSite::open(seed);
    site.burst(0, 0, BURST_MS);
    site.run(gap_ms);
    let second = site.burst(1, 0, EXAMINED_MS);
    site.burst(1, EXAMINED_MS, BURST_MS - EXAMINED_MS);
    site.run(gap_ms);
    let third = site.burst(2, 0, EXAMINED_MS);
    (second / optimum(1), third / optimum(2), site.sim.vm_commands.len())
}

/// Guards against VMs that are on their way to the standby pool when the next pool's burst begins:
/// three bursts follow each other with gaps of up to two seconds. Without the hold, the third pool
/// has 0.87 to 0.90 of the optimum at a gap of one second, after 168 moves or more.
#[test]
fn the_next_burst_gets_the_vms_of_the_last_in_one_move() {
    for gap_ms in [0, 1_000, 2_000] {
        for seed in 0..3 {
            let (second, third, moves) = burst_shares(seed, gap_ms);
            println!("gap {gap_ms} ms, seed {seed}: {second:.3}, {third:.3}, {moves} moves");
            assert!(second >= 0.8, "gap {gap_ms} ms, seed {seed}: {second:.3} of the optimum");
            let least = if gap_ms == 1_000 { 0.93 } else { 0.9 };
            assert!(third >= least, "gap {gap_ms} ms, seed {seed}: {third:.3} of the optimum");
            assert!(gap_ms != 1_000 || moves <= 155, "{moves} moves");
        }
    }
}

/// Replays 40 s of six jobs a second, of 1 to 15 tasks that fill half of a VM for a second. Returns
/// the mean wait of a task in milliseconds, and the VM-seconds of the pool for each VM-second of
/// work.
fn large_jobs(seed: u64) -> (f64, f64) {
    let mut site = BurstSite::open(seed);
    let (mut next, mut work, mut paid) = (site.sim.now as f64, 0.0, 0.0);
    let mut begin = (0, 0.0, 0.0);
    for step in 0..2_200 {
        if step == 200 {
            begin = (site.waits_ms.len(), work, paid);
        }
        while next <= site.sim.now as f64 {
            let count = site.random.random_range(1..=15);
            site.submit_tasks(POOLS[0], count);
            work += f64::from(count) * 0.5;
            next -= (1.0 - site.random.random_range(0.0..1.0_f64)).ln() * 1_000.0 / 6.0;
        }
        site.run(20);
        paid += site.usable(POOLS[0]) as f64 * 0.02;
    }
    let waits = &site.waits_ms[begin.0..];
    let wait_ms = waits.iter().sum::<u64>() as f64 / waits.len() as f64;
    (wait_ms, (paid - begin.2) / (work - begin.1))
}

/// Guards against an estimate of the demand that saves VMs at the cost of waits. With the higher of
/// two averages of arriving work, tasks wait 72 ms on average, for 1.55 VM-seconds. An estimate that
/// counts a rise only as far as chance does not explain it brought 80 ms and 1.54 VM-seconds.
#[test]
fn few_large_jobs_do_not_wait_for_vms() {
    let (mut wait_ms, mut paid) = (0.0, 0.0);
    for seed in 0..8 {
        let (seed_wait_ms, seed_paid) = large_jobs(seed);
        println!("seed {seed}: wait {seed_wait_ms:.1} ms, {seed_paid:.3} VM-seconds");
        wait_ms += seed_wait_ms / 8.0;
        paid += seed_paid / 8.0;
    }
    println!("mean wait {wait_ms:.1} ms, {paid:.3} VM-seconds");
    assert!(wait_ms <= 76.0, "{wait_ms:.1} ms");
    assert!(paid <= 1.6, "{paid:.3} VM-seconds");
}

/// A site on which the bursts of two pools have followed each other, and the second one's has just
/// ended: its VMs are held.
fn held_site(seed: u64) -> BurstSite {
    let mut site = BurstSite::open(seed);
    site.burst(0, 0, BURST_MS);
    site.run(500);
    site.burst(1, 0, BURST_MS);
    site.run(1_500);
    assert!(site.held() >= 10, "{} VMs are held: {:?}", site.held(), site.holds());
    site
}

/// Guards against VMs that stay in a pool for nothing: a burst that none has preceded or follows
/// frees its VMs as if there were no holds, and a hold that no burst follows ends.
#[test]
fn vms_leave_if_no_burst_follows() {
    let mut site = BurstSite::open(1);
    site.burst(0, 0, BURST_MS);
    for _ in 0..30 {
        site.run(100);
        assert_eq!(site.held(), 0);
    }
    assert_eq!(site.holds(), vec![]);

    let mut site = held_site(1);
    let until_ms = site.sim.now + 2 * 2 * MOVE_MS;
    while site.holds().last().is_some_and(|last| last.is_begin) {
        site.run(100);
        assert!(site.sim.now <= until_ms, "{} VMs are held", site.held());
    }
    let last = site.holds().pop().expect("a hold has ended");
    assert_eq!((last.is_begin, last.reason), (false, "no burst followed"));
    site.run(6_000);
    let left: usize = POOLS.iter().map(|pool| site.usable(pool)).sum();
    assert!(left <= 2 * POOLS.len(), "{left} VMs are still in pools");
}

/// Guards against a hold without end, and against commands for other VMs, while the VM service
/// carries out nothing: what is held moves once the service does.
#[test]
fn a_hold_ends_while_the_vm_service_provides_nothing() {
    let mut site = held_site(2);
    site.sim.vm_outcome = VmOutcome::Refused;
    site.burst(2, 0, EXAMINED_MS);
    assert_eq!(site.usable(POOLS[2]), 1, "no VM has arrived");
    let until_ms = site.sim.now + 6 * MOVE_MS;
    while site.held() > 0 {
        site.run(100);
        assert!(site.sim.now <= until_ms, "{} VMs are held: {:?}", site.held(), site.holds());
    }
    let named: BTreeSet<Arc<str>> = site.vms.iter().map(|vm| vm.entry.vm.clone()).collect();
    assert!(site.sim.vm_commands.iter().all(|command| named.contains(command.vm())));
    site.sim.vm_outcome = VmOutcome::Done;
    site.burst(2, 0, EXAMINED_MS);
    assert!(site.usable(POOLS[2]) >= 20, "{} VMs", site.usable(POOLS[2]));
}

/// Guards against waiting for VMs that are gone: all VMs that are held are lost at once. They must
/// not count as held, and the next burst must get the other VMs.
#[test]
fn lost_vms_are_not_held() {
    let mut site = held_site(3);
    let mut lost = 0;
    for vm in &mut site.vms {
        let worker = vm.entry.worker.clone();
        let is_idle = site.sim.workers.get(&worker).is_some_and(|worker| worker.running.is_empty());
        if &*vm.entry.pool == POOLS[1] && is_idle {
            vm.entry.state = VmState::Down;
            vm.entry.worker = "".into();
            site.sim.workers.remove(&worker);
            site.sim.scheduler.worker_unlisted(&worker, site.sim.now);
            lost += 1;
        }
    }
    site.run(200);
    assert!(lost >= 10, "{lost} VMs are lost");
    assert!(site.held() <= 1, "{} VMs are held", site.held());
    site.burst(2, 0, EXAMINED_MS);
    let up = VMS - lost;
    let usable = site.usable(POOLS[2]);
    assert!(usable + 4 >= up, "{usable} of {up}");
}

/// Guards against a wave that waits for a hold: VMs that are held and due are maintained at once.
#[test]
fn held_vms_that_are_due_are_maintained() {
    let mut site = held_site(4);
    let due: Vec<Arc<str>> = site
        .vms
        .iter()
        .filter(|vm| &*vm.entry.pool == POOLS[1] && vm.entry.state == VmState::Up)
        .map(|vm| vm.entry.vm.clone())
        .collect();
    let wave = MaintenanceWave { number: 1, vms: due, parallel_max: 4, within_ms: 20_000 };
    site.sim.scheduler.add_wave(wave, BTreeSet::new(), site.sim.now);
    site.run(300);
    let is_wave = |command: &&VmCommand| matches!(command, VmCommand::Maintain { .. });
    let maintained = site.sim.vm_commands.iter().filter(is_wave).count();
    assert!(maintained >= 4, "{maintained} VMs are maintained");
}

/// Guards against a successor that holds VMs for bursts that it has not seen: it has no memory, and
/// the VMs leave as if there were no holds.
#[test]
fn a_successor_does_not_continue_a_hold() {
    let mut site = held_site(5);
    site.take_over();
    let before = site.moves_to(STANDBY);
    for _ in 0..25 {
        site.run(100);
        assert_eq!(site.held(), 0);
    }
    assert!(site.moves_to(STANDBY) > before, "no VM has left");
}

/// Guards against a second move of a VM that has not begun its first: a VM whose move to the
/// standby pool is planned and not commanded yet goes to the pool that rises.
#[test]
fn a_rising_pool_takes_vms_that_have_not_left_yet() {
    let mut site = BurstSite::open(6);
    let mut off = site.vms[0].entry.clone();
    off.vm = "s0".into();
    off.pool = STANDBY.into();
    off.worker = "".into();
    site.vms.push(SiteVm { entry: off, arrives_ms: None });
    // Idle VMs leave from 1.5 s on. Without a confirmation of the leadership since 0.8 s, their
    // moves are planned and not commanded.
    site.run(500);
    site.list_vms();
    site.sim.advance_unconfirmed(1_200);
    assert_eq!(site.moves_to(STANDBY), 0);
    let is_planned = |event: &&SchedulerEvent| match event {
        SchedulerEvent::Vm { change, .. } => {
            change.contains(STANDBY) && change.ends_with(": planned")
        }
        _ => false,
    };
    let planned = site.sim.events.iter().filter(is_planned).count();
    assert!(planned >= 10, "{planned} moves to the standby pool are planned");
    site.list_vms();
    for _ in 0..VMS {
        site.submit(POOLS[1]);
    }
    site.sim.advance_unconfirmed(200);
    site.sim.advance(60);
    assert_eq!(site.moves_to(STANDBY), 0);
    assert!(site.moves_to(POOLS[1]) >= VMS - POOLS.len(), "{}", site.moves_to(POOLS[1]));
}

fn demands(needs: &[(&str, usize)], usable: usize) -> BTreeMap<Arc<str>, PoolDemand> {
    let demand = |needed| PoolDemand { needed, usable, idle: usable, fresh: usable };
    needs.iter().map(|(pool, needed)| (Arc::from(*pool), demand(*needed))).collect()
}

/// Guards against holds on even load: a need that varies by a half never looks like a burst.
#[test]
fn even_need_has_no_bursts() {
    let mut random = StdRng::seed_from_u64(7);
    let mut tracker = BurstTracker::default();
    for step in 0..6_000 {
        let change = tracker.observe(random.random_range(20..=40), 1_000 + step * 100);
        assert_eq!(change, None);
    }
}

/// Guards against a burst that a new leader does not recognise because it has not seen how it
/// began: its need before the burst is unknown, that after it is a third of the peak.
#[test]
fn a_leader_that_took_over_in_a_burst_recognises_its_end() {
    let mut tracker = BurstTracker::default();
    for step in 0..30 {
        assert_eq!(tracker.observe(60, 1_000 + step * 100), None);
    }
    assert_eq!(tracker.observe(25, 4_000), None);
    assert_eq!(tracker.observe(20, 4_100), Some(BurstChange::Ended(60)));
    assert_eq!(tracker.observe(5, 4_200), None);
}

/// Guards against more VMs held than any burst has asked for, less those in the standby pool.
#[test]
fn held_vms_are_bounded_by_the_highest_peak() {
    let mut turns = TurnTracker::default();
    let mut now = 1_000;
    let mut play = |first, second, standby, turns: &mut TurnTracker| {
        now += 100;
        turns.update(&demands(&[("first", first), ("second", second)], 100), standby, now);
        turns.held_vms()
    };
    for _ in 0..10 {
        assert_eq!(play(2, 2, 0, &mut turns), 0);
    }
    for _ in 0..20 {
        assert_eq!(play(30, 2, 0, &mut turns), 0);
    }
    assert_eq!(play(2, 2, 0, &mut turns), 0, "nothing shows that a burst follows");
    assert_eq!(play(2, 20, 0, &mut turns), 30, "as many as the highest peak");
    assert_eq!(play(2, 20, 25, &mut turns), 5, "the standby pool has 25 of these");
    assert_eq!(play(2, 20, 60, &mut turns), 0);
}

/// Guards against holds that a slow VM service extends without limit.
#[test]
fn the_hold_time_follows_the_observed_moves_within_bounds() {
    let mut turns = TurnTracker::default();
    assert_eq!(turns.hold_ms(), 2 * MOVE_MS);
    for _ in 0..100 {
        turns.observe_move(900);
    }
    assert!((1_800..2_000).contains(&turns.hold_ms()), "{}", turns.hold_ms());
    for _ in 0..100 {
        turns.observe_move(60_000);
    }
    assert!(turns.hold_ms() <= 6_000, "{}", turns.hold_ms());
}
