//! Workers that restart under the same name, as a new incarnation that runs and knows nothing of
//! the previous one.
//!
//! A call names the worker that it is meant for, and the next incarnation has the same name. So it
//! may carry out calls that were sent to the previous one: a start without an answer runs there
//! seconds later, and its task, which counted as lost and was started elsewhere, would run twice.
//! Five rules prevent that:
//!
//! * An incarnation is identified by its name and the time when it began (`incarnation_id`), and
//!   all state is kept under that id: exit numbers, clocks, leases and losses of one incarnation
//!   never apply to another.
//! * Runs that the previous incarnation has listed end with it. Starts that may still be in flight
//!   are carried over to the next one, and end only when it does not list them.
//! * The VM list shows workers by name. It ends incarnations only where it shows none of that name:
//!   the runs of an incarnation that is known from the log may have been carried over to the next
//!   one, which has not answered yet.
//! * Exits are acknowledged only while every start that was sent has been listed by the
//!   incarnation: the next one could have taken it, and would discard its own exits up to that
//!   number.
//! * The next incarnation is called with a higher fencing token from the first call on. It refuses
//!   earlier calls from then on, so a run that it does not list then never starts.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::jobs::model::TaskKey;
use crate::jobs::site::{WorkerEntry, incarnation_id, worker_name};
use crate::scheduler::job::{LiveRun, RunPhase};
use crate::scheduler::losses::IncarnationEnd;
use crate::scheduler::worker::{PlacedRun, WorkerState};
use crate::scheduler::{FENCING_TOKENS_PER_TERM, Scheduler, SchedulerAction, SchedulerEvent};

/// The newest known incarnation of each worker, and those that have ended.
#[derive(Debug, Default)]
pub(crate) struct IncarnationTable {
    newest: BTreeMap<Arc<str>, Arc<str>>,
    ended: BTreeSet<Arc<str>>,
    /// Added to the leader's fencing token in calls to a worker, by worker name. It stays when the
    /// worker is dropped from the list: if it were called with a lower token than before, it would
    /// seem to obey another leader.
    fence_offsets: BTreeMap<Arc<str>, u64>,
}

impl IncarnationTable {
    /// The newest incarnation of a worker; its name if none is known.
    pub fn newest<'a>(&'a self, name: &'a Arc<str>) -> &'a Arc<str> {
        self.newest.get(name).unwrap_or(name)
    }

    /// Makes an incarnation the newest; returns the one that it replaces.
    fn begin(&mut self, id: &Arc<str>) -> Option<Arc<str>> {
        let previous = self.newest.insert(worker_name(id).into(), id.clone());
        let previous = previous.filter(|previous| previous != id)?;
        self.end(&previous);
        Some(previous)
    }

    /// Ends an incarnation: calls that were sent to it must not take effect in the next one.
    fn end(&mut self, previous: &Arc<str>) {
        self.ended.insert(previous.clone());
        *self.fence_offsets.entry(worker_name(previous).into()).or_default() += 1;
    }

    /// Offset of the fencing token in calls to a worker.
    fn fence_offset(&self, id: &str) -> u64 {
        self.fence_offsets.get(worker_name(id)).copied().unwrap_or_default()
    }

    /// Whether a later incarnation has been seen.
    pub fn has_ended(&self, id: &str) -> bool {
        self.ended.contains(id)
    }
}

/// Whether a start may still be carried out, or may have been by the next incarnation: it was sent,
/// and not every attempt is known to have reached the incarnation that lists the run.
fn may_still_start(live: &LiveRun) -> bool {
    match live.phase {
        RunPhase::Planned => false,
        RunPhase::Inherited => true,
        RunPhase::Starting | RunPhase::Running | RunPhase::Stopping => {
            live.is_sent && (live.may_start_late() || !live.is_listed)
        }
    }
}

impl Scheduler {
    /// Takes note of the incarnation in a worker's entry; returns false if a later one is known, so
    /// that the entry is out of date.
    pub(crate) fn begin_incarnation(&mut self, entry: &WorkerEntry, now: u64) -> bool {
        if self.incarnations.has_ended(&entry.id) {
            return false;
        }
        if let Some(previous) = self.incarnations.begin(&entry.id) {
            self.check_token_limit(&entry.id);
            self.replace_incarnation(&previous, entry.clone(), now);
        }
        true
    }

    /// Checks which incarnation has answered, by the time when it began; returns false if another
    /// one was called, so that the answer says nothing about the one called.
    pub(crate) fn is_answer_of(
        &mut self,
        id: &Arc<str>,
        started_ms: Option<u64>,
        now: u64,
    ) -> bool {
        let Some(started_ms) = started_ms else { return true };
        let Some(worker) = self.workers.get(id) else { return true };
        let answering = incarnation_id(worker_name(id), Some(started_ms));
        if answering == *id || worker_name(id) == &**id {
            return true;
        }
        if !self.incarnations.has_ended(&answering) {
            let entry = WorkerEntry { id: answering, ..worker.entry.clone() };
            self.begin_incarnation(&entry, now);
        }
        false
    }

    /// Ends other incarnations of the same worker that are known only from the log, when this one
    /// first answers under this leader's token.
    pub(crate) fn end_other_incarnations(&mut self, id: &Arc<str>, now: u64) {
        let name = worker_name(id);
        let is_other = |other: &&Arc<str>| *other != id && worker_name(other) == name;
        let others: Vec<Arc<str>> = self.workers.keys().filter(is_other).cloned().collect();
        let Some(entry) = self.workers.get(id).map(|worker| worker.entry.clone()) else { return };
        for other in others {
            self.incarnations.end(&other);
            self.replace_incarnation(&other, entry.clone(), now);
        }
    }

    /// Steps down when the term has no tokens left, so that another term begins: the next
    /// incarnation could not be told from the one before.
    fn check_token_limit(&mut self, id: &str) {
        self.is_deposed |= self.incarnations.fence_offset(id) >= FENCING_TOKENS_PER_TERM;
    }

    /// Replaces the incarnation `previous` by the one in `entry` of the same worker.
    fn replace_incarnation(&mut self, previous: &Arc<str>, entry: WorkerEntry, now: u64) {
        let id = entry.id.clone();
        let Some(old) = self.workers.remove(previous) else { return };
        let runs = old.runs.len();
        let change = IncarnationEnd::Restarted.description();
        self.emit(SchedulerEvent::Worker { worker: previous.clone(), change, runs });
        self.abandoned.forget_worker(previous);
        self.actions.push(SchedulerAction::CancelCalls(previous.clone()));
        if old.draining_since_ms.is_none() {
            self.count_worker_losses(std::slice::from_ref(&old), now);
        }
        self.fleet.rename_worker(previous, &id);
        let carried: Vec<((TaskKey, u32), PlacedRun)> = old
            .runs
            .iter()
            .filter(|(key, _)| self.is_carried_over(key))
            .map(|(k, r)| (*k, *r))
            .collect();
        // A start that is still in flight may carry any lease that was requested until now.
        let lease_ms = self.lease_ms() * 100 / 98 + self.bounds.stop_ms;
        let bound = self.predecessor_lease_bound_ms.max(now + lease_ms);
        let next = self.workers.get_or_insert_with(&id, || WorkerState::new(entry, bound, now));
        let Some(target) = next.map(|next| next.target()) else { return };
        for ((key, run), placed) in &old.runs {
            if !carried.iter().any(|(carried, _)| carried == &(*key, *run)) {
                self.lose_run(previous, key, *run, placed.span, "its worker began anew", now);
            }
        }
        for ((key, run), placed) in carried {
            self.carry_over(&id, key, run, placed, now);
        }
        self.actions.push(SchedulerAction::StartRenewals(target));
        self.needs_dispatch = true;
        self.fleet.is_list_wanted = true;
    }

    /// Whether an acknowledgement can reach only exits of this incarnation: it has listed every
    /// start that was sent to it. Services may stay in doubt for as long as they run, and their
    /// exits are no loss.
    pub(crate) fn may_acknowledge(&self, id: &str) -> bool {
        let Some(worker) = self.workers.get(id).filter(|_| worker_name(id) != id) else {
            return true;
        };
        let is_open = |(key, run): (&(TaskKey, u32), &PlacedRun)| {
            let task = self.jobs.get(&key.0.job).and_then(|job| job.task(&key.0));
            let live = task.and_then(|task| task.live.iter().find(|live| live.run == key.1));
            live.is_some_and(|live| may_still_start(live) && !(run.is_service && live.is_listed))
        };
        !worker.runs.iter().any(is_open)
    }

    fn is_carried_over(&self, (key, run): &(TaskKey, u32)) -> bool {
        let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
        let live = task.and_then(|task| task.live.iter().find(|live| live.run == *run));
        live.is_some_and(may_still_start)
    }

    /// Places a run on the next incarnation, which may have it: its first report under the new
    /// token shows that.
    fn carry_over(&mut self, id: &Arc<str>, key: TaskKey, run: u32, placed: PlacedRun, now: u64) {
        self.pending_commands.remove(&(key, run));
        let task = self.jobs.get_mut(&key.job).and_then(|job| job.task_mut(&key));
        let live = task.and_then(|task| task.live.iter_mut().find(|live| live.run == run));
        let Some(live) = live else { return };
        live.worker = id.clone();
        live.enter(RunPhase::Inherited, now);
        live.is_listed = false;
        self.commits.mark_changed(key.job);
        if let Some(worker) = self.workers.get_mut(id) {
            let span = Default::default();
            worker.add_run((key, run), PlacedRun { span, ..placed });
        }
    }

    /// Fencing token of calls to a worker: it rises with each incarnation that was seen to follow
    /// another.
    pub(crate) fn fence_of(&self, id: &str) -> u64 {
        self.fence() + self.incarnations.fence_offset(id)
    }
}
