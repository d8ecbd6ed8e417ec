//! How long a service task has been without a run, and how far its next start must keep apart from
//! suspects.
//!
//! A task that has lost workers is tried alone, one worker at a time and on at most half of a pool.
//! Tasks that were lost together would come back one after the other, the last of them late, but a
//! service task must run again within seconds while there is capacity. So its whole wait is
//! bounded, counted from when its last run was last known to be alive, also across changes of
//! leaders. After that it starts wherever there is capacity, as far from other suspects as the
//! number of workers allows. Its losses still count, and the loss of its worker is still evidence
//! against it.
//!
//! A task that is given up with its next loss waits longest and keeps away from other suspects:
//! lost together with one that crashes its workers, it would be given up in its place. While its
//! pool keeps losing workers it takes only a worker where no probation is in progress; in a quiet
//! pool the other suspects need only have outlived the time in which most such crashes happen.

use std::sync::Arc;

use crate::jobs::model::{StepSpec, TaskKey};
use crate::scheduler::Scheduler;
use crate::scheduler::dispatch::PlaceQuery;
use crate::scheduler::job::{LiveRun, TaskRun};
use crate::scheduler::losses::LONG_CRASH_WINDOW_MS;
use crate::scheduler::worker::IsolationRule;

/// Downtime after which a service task no longer waits for a stable pool or for a worker of its
/// own, in milliseconds: well under the six seconds in which it must be back.
const SERVICE_DOWN_MAX_MS: u64 = 4_000;
/// The same for a task that is given up with its next loss, in milliseconds. It waits that long
/// also in a pool that looks stable.
const LAST_CHANCE_DOWN_MAX_MS: u64 = 5_000;
/// Time without a lost worker after which a pool is quiet, in milliseconds.
const QUIET_MS: u64 = 5_000;
/// Downtime after which such a task starts beside any other, in milliseconds: it must be back
/// within nine seconds in any case.
const APART_DOWN_MAX_MS: u64 = 8_000;

/// Run time of a suspect after which another one may start beside it, in milliseconds: most tasks
/// that crash their workers do so within a second.
const APART_CRASH_WINDOW_MS: u64 = 800;

/// When a run was last known to be alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastAlive {
    /// By the leader's steady clock, in milliseconds.
    pub at_ms: u64,
    /// In milliseconds since the epoch, for the log.
    pub wall_ms: u64,
}

impl LastAlive {
    /// Restores the logged time; if it is 0 (not known), the run is assumed to have been alive
    /// until now.
    pub fn restore(logged_ms: u64, now: u64, wall_ms: u64) -> LastAlive {
        match logged_ms {
            0 => LastAlive { at_ms: now, wall_ms },
            _ => {
                let age_ms = wall_ms.saturating_sub(logged_ms);
                LastAlive { at_ms: now.saturating_sub(age_ms), wall_ms: logged_ms }
            }
        }
    }
}

impl TaskRun {
    /// Whether a service task has been down for so long that it may wait no longer. A task that
    /// never ran has no downtime.
    pub(crate) fn is_overdue(&self, is_for_service: bool, now: u64) -> bool {
        let down_max_ms = match self.losses.has_one_loss_left() {
            true => LAST_CHANCE_DOWN_MAX_MS,
            false => SERVICE_DOWN_MAX_MS,
        };
        is_for_service && self.is_down_for(down_max_ms, now)
    }

    fn is_down_for(&self, ms: u64, now: u64) -> bool {
        self.last_alive.is_some_and(|last_alive| now >= last_alive.at_ms + ms)
    }
}

impl Scheduler {
    /// When a run that has ended was last known to be alive; `None` for a refused start.
    pub(crate) fn last_alive(&self, live: &LiveRun, now: u64) -> Option<LastAlive> {
        if !live.is_listed && !live.is_loss_counted {
            return None;
        }
        let at_ms =
            live.last_listed_ms.max(live.phase_since_ms).max(self.losses.opened_ms()).min(now);
        Some(LastAlive { at_ms, wall_ms: self.wall_ms.saturating_sub(now - at_ms) })
    }

    /// Plans a run on a worker under an isolation rule.
    pub(crate) fn plan_isolated_run(
        &mut self,
        isolation: IsolationRule,
        key: &TaskKey,
        run: u32,
        worker: &Arc<str>,
        now: u64,
    ) {
        self.plan_run(key, run, worker, now);
        let host = self.workers.get_mut(worker).filter(|_| isolation.is_shared());
        if let Some(host) = host {
            host.share_probation(&(*key, run));
        }
    }

    /// The best worker under the first isolation rule that any worker meets. An overdue task takes
    /// an avoided worker before a weaker rule.
    pub(crate) fn find_isolated_worker(
        &self,
        service: &str,
        query: &PlaceQuery<'_>,
        rules: &[IsolationRule],
        waited_ms: u64,
        now: u64,
    ) -> Option<(Arc<str>, IsolationRule)> {
        let is_overdue = rules.iter().any(|isolation| isolation.is_shared());
        let find = |query: &PlaceQuery<'_>| self.find_worker(service, query, waited_ms, now);
        let found = rules.iter().find_map(|isolation| {
            let query = PlaceQuery { isolation: *isolation, ..query.clone() };
            let mut worker = find(&query);
            if worker.is_none() && is_overdue {
                worker = find(&PlaceQuery { avoided: &[], ..query });
            }
            Some((worker?, *isolation))
        });
        // An overdue task runs away from its data rather than not at all.
        let may_leave_data = waited_ms < u64::MAX && rules.contains(&IsolationRule::Unrestricted);
        match found {
            None if may_leave_data => {
                self.find_isolated_worker(service, query, rules, u64::MAX, now)
            }
            found => found,
        }
    }

    /// Isolation rules under which a task may start, the strictest first; empty if it has to wait.
    pub(crate) fn isolation_rules(
        &self,
        key: &TaskKey,
        service: &Arc<str>,
        spec: &StepSpec,
        now: u64,
    ) -> Vec<IsolationRule> {
        let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
        let Some(task) = task else { return Vec::new() };
        let is_overdue = task.is_overdue(spec.is_service, now);
        let Some(job) = self.probation_job(key) else {
            let mut rules = vec![IsolationRule::Normal];
            rules.extend(is_overdue.then_some(IsolationRule::Unrestricted));
            return rules;
        };
        let has_probation_capacity = self.has_probation_capacity(service, now);
        let mut rules =
            Vec::from_iter(has_probation_capacity.then_some(IsolationRule::Exclusive(job)));
        if !task.losses.has_one_loss_left() {
            let may_share = is_overdue || spec.is_service && task.losses.is_on_trial();
            rules.extend(
                may_share.then_some(IsolationRule::ApartFromSuspects(APART_CRASH_WINDOW_MS)),
            );
            rules.extend(is_overdue.then_some(IsolationRule::Unrestricted));
        } else if is_overdue {
            rules.push(IsolationRule::ApartFromSuspects(LONG_CRASH_WINDOW_MS));
            let is_quiet = self.losses.is_loss_free(service, QUIET_MS, now);
            rules.extend(
                is_quiet.then_some(IsolationRule::ApartFromSuspects(APART_CRASH_WINDOW_MS)),
            );
            let is_long_down = is_quiet && task.is_down_for(APART_DOWN_MAX_MS, now);
            rules.extend(is_long_down.then_some(IsolationRule::Unrestricted));
        }
        rules
    }
}
