//! How many VMs each pool needs, now and soon.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::jobs::model::ResourceVector;
use crate::jobs::site::VmState;
use crate::scheduler::Scheduler;
use crate::scheduler::job::StepCounts;
use crate::scheduler::line::{JobWork, LineSums, OwedWait};
use crate::scheduler::organisation::CapBudget;
use crate::scheduler::rank::{RankTier, rank};
use crate::scheduler::worker_table::NameMap;

/// Share of a VM that can be filled on average, in percent: task sizes leave gaps.
const PACKING_PERCENT: u64 = 88;
/// Extra VMs of a pool while its services must leave VMs urgently. Tasks that must be apart find no
/// place on the VMs of their siblings, and as many of them move at a time as the usual disruption
/// budget allows.
const URGENT_EXTRA_VMS: usize = 2;
/// Weight of tasks whose step has not begun yet, in percent.
const UPCOMING_PERCENT: u64 = 50;

/// Load of a pool's jobs.
#[derive(Clone, Debug, Default)]
struct PoolLoad {
    /// Reserved, or waiting for capacity.
    waiting: ResourceVector,
    /// The same, and the upcoming requests of its jobs.
    expected: ResourceVector,
    /// Of runs that workers have confirmed.
    used: ResourceVector,
    /// Part of `expected` that is for services.
    services: ResourceVector,
    /// Least number of VMs for services whose tasks must be apart.
    apart: usize,
}

/// VMs that a pool has and needs.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolNeed {
    /// For running and waiting work.
    pub(crate) needed_now: usize,
    /// For expected work too.
    pub(crate) needed: usize,
    pub(crate) usable: usize,
    /// VMs on their way to the pool.
    pub(crate) arriving: usize,
    pub(crate) allocated: ResourceVector,
    pub(crate) capacity: ResourceVector,
    /// Empty VMs that the pool can give away, and for how long they have idled, in milliseconds.
    pub(crate) idle: Vec<(Arc<str>, u64)>,
}

impl Scheduler {
    pub(crate) fn pool_needs(&mut self, now: u64) -> BTreeMap<Arc<str>, PoolNeed> {
        let mut sums = self.line.open_sums();
        let loads = self.pool_loads(&mut sums, now);
        self.line.set_sums(sums, now);
        let mut needs = BTreeMap::new();
        let config = self.config.clone();
        for pool in config.pools.iter().filter(|pool| !pool.is_standby) {
            let mut need = PoolNeed::default();
            let mut vm_capacity = ResourceVector::default();
            let mut unlisted = 0;
            for worker in self.workers.values() {
                if worker.entry.service != pool.name || !worker.is_listed {
                    continue;
                }
                vm_capacity = worker.entry.capacity;
                let is_usable = worker.silent_since_ms.is_none()
                    && !worker.entry.is_draining
                    && !worker.is_reserved
                    && !worker.has_withheld_exit()
                    && worker.has_accepted_token;
                if !is_usable {
                    continue;
                }
                need.usable += 1;
                need.allocated.add(worker.used());
                need.capacity.add(&worker.entry.capacity);
                let vm = self.fleet.vm_of(&worker.entry.id);
                unlisted += usize::from(vm.is_none());
                if let Some(vm) = vm.filter(|vm| vm.state == VmState::Up)
                    && self.is_drained(&worker.entry.id)
                    && !self.fleet.operations.contains_key(&vm.vm)
                {
                    let idle_ms = now.saturating_sub(worker.idle_since_ms);
                    need.idle.push((vm.vm.clone(), idle_ms));
                }
            }
            need.idle.sort_by_key(|(_, idle_ms)| std::cmp::Reverse(*idle_ms));
            if vm_capacity == ResourceVector::default() {
                vm_capacity = self.default_capacity();
            }
            let PoolLoad { waiting, mut expected, used, services, apart } =
                loads.get(&pool.name).cloned().unwrap_or_default();
            self.slack_pools.record(&pool.name, &used, &need.capacity, now);
            if let Some(arrivals) = self.fleet.arrivals.get_mut(&pool.name) {
                let mut upcoming = arrivals.load(now);
                upcoming.add(&services);
                expected = expected.component_max(&upcoming);
            }
            let extra =
                if self.fleet.urgent_pools.contains(&pool.name) { URGENT_EXTRA_VMS } else { 0 };
            let apart = apart + extra;
            need.needed_now = vms_for(&waiting, &vm_capacity).max(apart).max(1);
            need.needed = vms_for(&expected, &vm_capacity).max(need.needed_now);
            // The VM list can be seconds old: workers whose VM it does not show yet belong to VMs
            // that it shows as on their way.
            need.arriving = self.fleet.arriving(&pool.name).saturating_sub(unlisted);
            needs.insert(pool.name.clone(), need);
        }
        needs
    }

    /// Counts the starts that are owed while the pools can't be planned.
    pub(crate) fn count_owed_starts(&mut self, now: u64) {
        let mut sums = self.line.open_sums();
        if sums.is_none() {
            return;
        }
        self.pool_loads(&mut sums, now);
        sums.iter_mut().for_each(LineSums::forget_pools);
        self.line.set_sums(sums, now);
    }

    /// Capacity of a VM, for pools that have none yet.
    fn default_capacity(&self) -> ResourceVector {
        self.fleet.vms.values().map(|vm| vm.capacity).next().unwrap_or_default()
    }

    /// Loads of the pools. Also sums up the backlog, which takes the same visit of all jobs.
    fn pool_loads(&self, sums: &mut Option<LineSums>, now: u64) -> BTreeMap<Arc<str>, PoolLoad> {
        let mut loads: BTreeMap<Arc<str>, PoolLoad> = BTreeMap::new();
        let mut caps = CapBudget::default();
        let largest_free = match sums.is_some() {
            true => self.largest_free(now),
            false => NameMap::default(),
        };
        for job in self.jobs.values().filter(|job| !job.state.is_final()) {
            let Some(queue) = self.queue_of(job) else { continue };
            if !loads.contains_key(&queue.service) {
                loads.insert(queue.service.clone(), PoolLoad::default());
            }
            let Some(load) = loads.get_mut(&queue.service) else { continue };
            let mut owes_starts = false;
            for (occurrence, run) in &job.occurrences {
                // The rank counts only for steps with waiting tasks.
                let mut cached_rank = None;
                let mut rank = || {
                    *cached_rank.get_or_insert_with(|| {
                        let due = self.due_ms(job, *occurrence, now);
                        rank(job, queue, run, &self.runtime_model(queue), due, now)
                    })
                };
                let mut work = JobWork::default();
                let mut is_idle_counted = false;
                for (spec, step) in job.submission.spec.steps.iter().zip(&run.steps) {
                    let open = step.tasks.len() - step.done;
                    if open == 0 {
                        continue;
                    }
                    let StepCounts { live, booked, .. } = step.counts();
                    let running = u64::try_from(live - booked).unwrap_or(0);
                    load.used.add(&spec.reservation().times(running));
                    // VMs for tasks that a cap holds back would stand idle.
                    let organisation = job.submission.organisation.as_ref();
                    let unplaced = open.saturating_sub(live);
                    let waiting =
                        caps.take(&self.organisations, organisation, &spec.need, unplaced);
                    if sums.is_some() {
                        work.add_step(spec, step, waiting, &self.runtime_model(queue), now);
                    }
                    let is_begun = run.may_begin(spec);
                    let has_room = largest_free
                        .get(&queue.service)
                        .is_some_and(|largest| largest.covers(&spec.reservation()));
                    let wait = match (is_begun, has_room) {
                        (false, _) => OwedWait::LaterStep,
                        (true, false) => OwedWait::PoolFull,
                        (true, true) => OwedWait::Ready,
                    };
                    work.add_starts(spec, waiting, wait);
                    work.add_capped(spec, unplaced - waiting);
                    let counted = match waiting {
                        0 => 0,
                        _ => counted_percent(rank().tier, is_begun) * waiting,
                    };
                    let is_uncounted = counted == 0 && waiting > 0 && is_begun;
                    // VMs don't help where no worker may have the label.
                    let is_idle = is_uncounted
                        && spec.required_label.is_none()
                        && is_late(rank().tier)
                        && !std::mem::replace(&mut is_idle_counted, true)
                        && {
                            let due = self.due_ms(job, *occurrence, now);
                            self.is_long_idle(job, due, now)
                        };
                    let counted = if is_idle { 100 } else { counted };
                    let wanted = u64::try_from(live * 100 + counted).unwrap_or(0);
                    let all = spec.reservation().times(wanted).hundredth();
                    load.expected.add(&all);
                    if is_begun {
                        load.waiting.add(&all);
                    }
                    if !spec.is_service {
                        continue;
                    }
                    load.services.add(&all);
                    if spec.per_worker_max > 0 {
                        let apart = spec.count.div_ceil(spec.per_worker_max);
                        load.apart = load.apart.max(usize::try_from(apart).unwrap_or(0));
                    }
                }
                owes_starts |= work.owes_starts();
                if let Some(sums) = sums {
                    sums.add_job(queue, &rank(), work, &self.runtime_model(queue));
                }
            }
            if let Some(sums) = sums
                && owes_starts
                && !job.is_at_work()
            {
                sums.add_idle_job();
            }
        }
        loads
    }
}

fn is_late(tier: RankTier) -> bool {
    matches!(tier, RankTier::Late | RankTier::Overdue)
}

/// Weight of waiting tasks of a step, in percent. Late jobs have little value, and jobs beyond a
/// share must not cost the others anything: both use the VMs that are there. Of a late job that has
/// had nothing running for long, one task counts beside this, so that it is begun.
fn counted_percent(tier: RankTier, is_begun: bool) -> usize {
    match (tier, is_begun) {
        (RankTier::BeyondShare | RankTier::Late | RankTier::Overdue, _) => 0,
        (_, true) => 100,
        (_, false) => usize::try_from(UPCOMING_PERCENT).unwrap_or(0),
    }
}

/// VMs that a load fills.
fn vms_for(load: &ResourceVector, vm_capacity: &ResourceVector) -> usize {
    let packed = load.times(100).dominant_share_of(&vm_capacity.times(PACKING_PERCENT));
    usize::try_from(packed.div_ceil(1_000)).unwrap_or(usize::MAX)
}

/// What a VM is needed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NeedKind {
    /// Running or waiting work.
    Now,
    /// Expected work.
    Soon,
}

impl PoolNeed {
    fn needed(&self, kind: NeedKind) -> usize {
        match kind {
            NeedKind::Now => self.needed_now,
            NeedKind::Soon => self.needed,
        }
    }

    pub(crate) fn shortage(&self, kind: NeedKind) -> usize {
        self.needed(kind).saturating_sub(self.usable + self.arriving)
    }

    pub(crate) fn surplus(&self, kind: NeedKind) -> usize {
        self.usable.saturating_sub(self.needed(kind))
    }
}

/// Whether work waits for VMs.
pub(crate) fn has_shortage(needs: &BTreeMap<Arc<str>, PoolNeed>) -> bool {
    needs.values().any(|need| need.shortage(NeedKind::Now) > 0)
}

/// Takes an empty VM from the pool with the largest surplus.
pub(crate) fn take_idle_vm(
    needs: &mut BTreeMap<Arc<str>, PoolNeed>,
    to: &str,
    kind: NeedKind,
) -> Option<Arc<str>> {
    let donor = needs
        .iter()
        .filter(|(pool, need)| &***pool != to && need.surplus(kind) > 0)
        .filter(|(_, need)| !need.idle.is_empty())
        .max_by_key(|(_, need)| need.surplus(kind))
        .map(|(pool, _)| pool.clone())?;
    let need = needs.get_mut(&donor)?;
    need.usable -= 1;
    Some(need.idle.remove(0).0)
}
