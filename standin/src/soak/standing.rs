//! Accepted jobs that stand still: for a while nothing of them runs, although there is capacity for a task of theirs
//! twice over, and under half of their pool's capacity is in use.

use std::collections::BTreeMap;
use std::time::Duration;

use ibisweir::jobs::model::JobId;
use tokio::time::Instant;

use crate::jobs::worker::VmUsage;

/// Time for which a job may stand still.
pub const STANDING_TIME: Duration = Duration::from_secs(3);
/// Longest time between two looks; after a longer one nothing is known of the time between, and all begin anew.
pub const LOOK_MAX: Duration = Duration::from_millis(500);

/// An accepted job that is neither over nor cancelled.
#[derive(Clone, Debug)]
pub struct OpenJob {
    /// Its id.
    pub id: JobId,
    /// Its pool.
    pub pool: &'static str,
    /// Processor of a task, in thousandths of a core.
    pub cpu: u64,
    /// Runs that are alive.
    pub live: usize,
    /// Runs so far.
    pub runs: u32,
}

/// A job that has stood for too long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StandingJob {
    /// The job.
    pub id: JobId,
    /// Since when.
    pub since: Instant,
    /// Its runs so far.
    pub runs: u32,
    /// Its pool.
    pub pool: &'static str,
    /// What is in use of the pool, and its size, in thousandths of a core.
    pub used: (u64, u64),
}

/// Finds jobs that stand still, from one look to the next.
#[derive(Debug, Default)]
pub struct StandingWatch {
    looked: Option<Instant>,
    /// Since when each job stands, and whether that was told.
    since: BTreeMap<JobId, (Instant, bool)>,
}

#[derive(Debug, Default)]
struct PoolUse {
    used: u64,
    room: u64,
    free: Vec<u64>,
}

impl PoolUse {
    fn has_capacity(&self, cpu: u64) -> bool {
        let fits: u64 = self.free.iter().map(|free| free / cpu.max(1)).sum();
        self.used * 2 < self.room && fits >= 2
    }
}

impl StandingWatch {
    /// Looks at all open jobs and all workers; the jobs that have just stood for too long, each once for as long as
    /// it stands.
    pub fn look(&mut self, now: Instant, jobs: &[OpenJob], vms: &[VmUsage]) -> Vec<StandingJob> {
        if self.looked.replace(now).is_some_and(|looked| now - looked > LOOK_MAX) {
            self.since.clear();
        }
        let mut pools: BTreeMap<&str, PoolUse> = BTreeMap::new();
        for vm in vms {
            let pool = pools.entry(&vm.pool).or_default();
            pool.used += vm.used;
            pool.room += vm.room;
            pool.free.push(vm.room.saturating_sub(vm.used));
        }
        let mut before = std::mem::take(&mut self.since);
        let mut standing = Vec::new();
        for job in jobs {
            let Some(pool) = pools.get(job.pool) else { continue };
            if job.live > 0 || !pool.has_capacity(job.cpu) {
                continue;
            }
            let (since, mut is_told) = before.remove(&job.id).unwrap_or((now, false));
            if !is_told && now - since >= STANDING_TIME {
                is_told = true;
                standing.push(StandingJob {
                    id: job.id,
                    since,
                    runs: job.runs,
                    pool: job.pool,
                    used: (pool.used, pool.room),
                });
            }
            self.since.insert(job.id, (since, is_told));
        }
        standing
    }

    /// Jobs that have stood for too long and still stand.
    pub fn count(&self) -> usize {
        self.since.values().filter(|(_, is_told)| *is_told).count()
    }
}
