//! Workers whose capacity changes while they run: the latest worker entry counts.
//!
//! A worker without an admission check starts whatever it is told to. A start that was placed while
//! there was capacity, and goes out when there is none, overloads it: all runs there are starved,
//! and nothing refuses the start. So starts in flight are revoked when a worker's capacity shrinks,
//! and none goes out on a capacity that was not read recently. No start is sent, or sent again, to
//! a worker that is known to be leaving or is not listed.

use std::sync::Arc;

use crate::jobs::model::TaskKey;
use crate::jobs::site::WorkerEntry;
use crate::scheduler::Scheduler;
use crate::scheduler::job::RunPhase;

/// Age up to which worker entries are acted on in pools without an admission check, in
/// milliseconds. Reads come every 0.8 s, and 0.4 s later from a slow log. A worker must keep to a
/// smaller capacity after 3 s and a heartbeat, of which a start in flight takes half a second, and
/// 1.2 s more through another entry.
const CAPACITY_AGE_MAX_MS: u64 = 2_000;

impl Scheduler {
    /// All worker entries have been read, as of `shown_ms`.
    pub fn workers_read(&mut self, shown_ms: u64) {
        self.workers_read_ms = self.workers_read_ms.max(shown_ms);
        self.needs_dispatch = true;
    }

    /// Whether the known capacities of a pool's workers are recent enough for starts.
    pub(crate) fn is_capacity_view_fresh(&self, pool: &str, now: u64) -> bool {
        let has_admission_check =
            self.config.pool(pool).is_some_and(|pool| pool.has_admission_check);
        has_admission_check || now <= self.workers_read_ms + CAPACITY_AGE_MAX_MS
    }

    /// Takes a worker's new entry, and revokes the starts that no longer fit, the latest first, or
    /// all starts if the worker is leaving.
    pub(crate) fn update_worker_entry(&mut self, entry: WorkerEntry, now: u64) {
        let id = entry.id.clone();
        let Some(worker) = self.workers.get(&id) else { return };
        let has_shrunk = !entry.capacity.covers(&worker.entry.capacity);
        let is_leaving = entry.is_draining;
        self.workers.set_entry(entry);
        if is_leaving {
            self.revoke_starts(&id, "its worker is leaving", now);
            return;
        }
        if !has_shrunk {
            return;
        }
        // A stopped run counts until its end is known, so earlier starts are revoked too: if the
        // stopped one was carried out after all, they would exceed the capacity together.
        for (key, run) in self.pending_starts(&id) {
            if self.workers.get(&id).is_none_or(|worker| worker.is_within_capacity()) {
                return;
            }
            self.revoke_start(&key, run, "no room any more", now);
        }
    }

    /// Revokes all starts that a worker has not answered.
    pub(crate) fn revoke_starts(&mut self, id: &Arc<str>, reason: &'static str, now: u64) {
        for (key, run) in self.pending_starts(id) {
            self.revoke_start(&key, run, reason, now);
        }
    }

    /// Starts that a worker has not answered, the latest first.
    fn pending_starts(&self, id: &Arc<str>) -> Vec<(TaskKey, u32)> {
        let Some(worker) = self.workers.get(id) else { return Vec::new() };
        let pending_since = |(key, run): &(TaskKey, u32)| {
            let task = self.jobs.get(&key.job)?.task(key)?;
            let live = task.live.iter().find(|live| live.run == *run)?;
            let is_pending = matches!(live.phase, RunPhase::Planned | RunPhase::Starting);
            is_pending.then_some((live.phase_since_ms, *key, *run))
        };
        let mut pending: Vec<_> = worker.runs.keys().filter_map(pending_since).collect();
        pending.sort_unstable_by(|one, other| other.cmp(one));
        pending.into_iter().map(|(_, key, run)| (key, run)).collect()
    }

    /// A start that was sent may still be carried out: a stop makes the worker refuse it for good.
    fn revoke_start(&mut self, key: &TaskKey, run: u32, reason: &'static str, now: u64) {
        let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
        let live = task.and_then(|task| task.live.iter().find(|live| live.run == run));
        match live {
            Some(live) if live.is_sent => self.stop_run(key, run, reason, now),
            Some(_) => self.return_run(key, run, reason, now),
            None => {}
        }
    }
}
