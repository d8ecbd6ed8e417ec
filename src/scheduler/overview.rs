//! The leader's view of pools, organisations, waves and workers, as figures for operators.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::decide::access::OrganisationSpec;
use crate::jobs::model::{JobState, ResourceVector};
use crate::scheduler::Scheduler;
use crate::scheduler::rank::{RankTier, rank};

/// Figures of one pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolOverview {
    /// Workers that are listed.
    pub workers: usize,
    /// Runs that may be alive.
    pub runs: usize,
    /// Allocated processor, in thousandths of that of its workers.
    pub booked_permille: u64,
    /// Jobs that are not over.
    pub jobs: usize,
    /// Jobs of these that have missed their objective, or are bound to.
    pub late: usize,
    /// Waiting work by the newest digest of the backlog, in core-milliseconds.
    #[serde(default)]
    pub waiting_work: u64,
    /// Work that has begun and is not done, in core-milliseconds; 0 if no work waits.
    #[serde(default)]
    pub begun_work: u64,
    /// Capacity of the workers in use, in core-milliseconds a second; 0 if no work waits.
    #[serde(default)]
    pub capacity: u64,
}

/// Figures of one organisation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OrganisationOverview {
    /// Its share, in jobs per second; 0 for none.
    pub weight: f64,
    /// Cap on the resources of its runs; 0 of a resource for no limit.
    pub cap: ResourceVector,
    /// Resources allocated to its runs.
    pub used: ResourceVector,
    /// Runs that may be alive.
    pub runs: usize,
    /// Jobs of which no task has started.
    pub waiting: usize,
    /// Jobs that are not over and arrived beyond its share.
    pub beyond_share: usize,
    /// Part of the jobs that it may send at once that it has sent, in thousandths.
    #[serde(default)]
    pub share_used_permille: u64,
}

/// Figures of one maintenance wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveOverview {
    /// Its number.
    pub number: u64,
    /// Number of VMs that it names.
    pub vms: usize,
    /// Number of VMs whose maintenance has begun or is over.
    pub done: usize,
    /// Whether its completion was published to operators.
    pub is_completed: bool,
}

/// A worker that gets no new work, and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnavailableWorker {
    /// Its id.
    pub worker: Arc<str>,
    /// Its pool.
    pub pool: Arc<str>,
    /// Reason for which it gets no work.
    pub reason: String,
    /// Runs that may be alive on it.
    pub runs: usize,
}

/// The leader's view of its site, for operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaderOverview {
    /// Its term.
    pub term: u64,
    /// Pools by name.
    pub pools: BTreeMap<Arc<str>, PoolOverview>,
    /// Organisations by name.
    #[serde(default)]
    pub organisations: BTreeMap<Arc<str>, OrganisationOverview>,
    /// Waves by number.
    pub waves: Vec<WaveOverview>,
    /// Workers that get no new work.
    pub doubted: Vec<UnavailableWorker>,
    /// Operations on VMs that are not finished.
    pub vm_commands: usize,
}

impl Scheduler {
    /// The leader's view at `now`, for operators.
    pub fn overview(&self, now: u64) -> LeaderOverview {
        let waves = self.fleet.waves.values().map(|run| WaveOverview {
            number: run.wave.number,
            vms: run.wave.vms.len(),
            done: run.done.len(),
            is_completed: run.is_completed,
        });
        LeaderOverview {
            term: self.term,
            pools: self.pool_overviews(now),
            organisations: self.share_overviews(now),
            waves: waves.collect(),
            doubted: self.unavailable_workers(now),
            vm_commands: self.fleet.operations.len(),
        }
    }

    fn pool_overviews(&self, now: u64) -> BTreeMap<Arc<str>, PoolOverview> {
        let mut pools: BTreeMap<Arc<str>, PoolOverview> = BTreeMap::new();
        let mut sizes: BTreeMap<Arc<str>, (u64, u64)> = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| worker.is_listed) {
            let pool = pools.entry(worker.entry.service.clone()).or_default();
            pool.workers += 1;
            pool.runs += worker.runs.len();
            let (used, all) = sizes.entry(worker.entry.service.clone()).or_default();
            *used += worker.used().cpu;
            *all += worker.entry.capacity.cpu;
        }
        for (name, (used, all)) in sizes {
            pools.entry(name).or_default().booked_permille = used * 1_000 / all.max(1);
        }
        for job in self.jobs.values().filter(|job| !job.state.is_final()) {
            let pool = pools.entry(self.service_of(job)).or_default();
            pool.jobs += 1;
            let Some(queue) = self.queue_of(job) else { continue };
            let model = self.runtime_model(queue);
            let is_late = job.occurrences.iter().any(|(occurrence, run)| {
                let due = self.due_ms(job, *occurrence, now);
                let tier = rank(job, queue, run, &model, due, now).tier;
                matches!(tier, RankTier::Late | RankTier::Overdue)
            });
            pool.late += usize::from(is_late);
        }
        let report = self.line_report(now);
        for line in report.iter().flat_map(|report| &report.digest.pools) {
            let pool = pools.entry(line.pool.clone()).or_default();
            pool.waiting_work = line.waiting();
            pool.begun_work = line.begun;
            pool.capacity = line.capacity;
        }
        pools
    }

    /// Known organisations, with what they have used of their shares as well.
    fn share_overviews(&self, now: u64) -> BTreeMap<Arc<str>, OrganisationOverview> {
        let mut organisations = self.organisation_overviews();
        for (name, overview) in &mut organisations {
            overview.share_used_permille = self.shares.used_permille(name, overview.weight, now);
        }
        organisations
    }

    /// Known organisations with their running and waiting work.
    pub(crate) fn organisation_overviews(&self) -> BTreeMap<Arc<str>, OrganisationOverview> {
        let overview = |spec: &OrganisationSpec| {
            let usage = self.organisations.usage(&spec.name);
            let known = OrganisationOverview {
                weight: spec.weight,
                cap: spec.cap,
                used: usage.used,
                runs: usage.runs,
                ..OrganisationOverview::default()
            };
            (spec.name.clone(), known)
        };
        let mut organisations: BTreeMap<_, _> = self.organisations.specs().map(overview).collect();
        for job in self.jobs.values().filter(|job| !job.state.is_final()) {
            let Some(name) = &job.submission.organisation else { continue };
            let organisation = organisations.entry(name.clone()).or_default();
            organisation.waiting += usize::from(job.state == JobState::Queued);
            organisation.beyond_share += usize::from(job.is_beyond_share);
        }
        organisations
    }

    fn unavailable_workers(&self, now: u64) -> Vec<UnavailableWorker> {
        let mut doubted = Vec::new();
        for (id, worker) in self.workers.iter() {
            let reason = if worker.silent_since_ms.is_some() {
                "does not answer"
            } else if !worker.is_listed {
                "not listed"
            } else if worker.entry.is_draining {
                "draining"
            } else if worker.is_suspended(now) {
                "fails what it starts"
            } else {
                continue;
            };
            doubted.push(UnavailableWorker {
                worker: id.clone(),
                pool: worker.entry.service.clone(),
                reason: reason.to_owned(),
                runs: worker.runs.len(),
            });
        }
        doubted
    }
}
