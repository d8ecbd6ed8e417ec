//! Workers that come back under their name: another life, which holds and knows nothing of the one before.
//!
//! A call names the worker that it is meant for, and the next life takes that name as its own. So what was sent
//! to the life before may be carried out by the next one: a start that had no answer yet runs there seconds later,
//! and its task, taken for lost and started elsewhere, would run twice. Five things keep that out:
//!
//! * A life is known by its name and the time of its birth (`incarnation_id`), and everything is booked by it: numbers
//!   of exits, clocks, leases and losses of one life are never held against another.
//! * Runs that the life before has listed are over with it. Those that may still be on their way go over to the
//!   next life, and are over only when that one does not list them.
//! * The VM list shows workers by their names. It ends lives only where it shows none of that name: of one that the log
//!   tells of, the runs may have gone on to the next life, which has yet to answer.
//! * Exits are acknowledged only while nothing was sent that the life has not listed: the next life could have taken
//!   it, and would forget its own exits up to that number.
//! * The next life is called with a higher fencing token from the first call on. What was sent before is refused
//!   by it from then on, so what it does not list then never comes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::jobs::model::TaskKey;
use crate::jobs::site::{WorkerEntry, incarnation_id, worker_name};
use crate::scheduler::job::{LiveRun, RunPhase};
use crate::scheduler::losses::IncarnationEnd;
use crate::scheduler::worker::{PlacedRun, WorkerState};
use crate::scheduler::{FENCING_TOKENS_PER_TERM, Scheduler, SchedulerAction, SchedulerEvent};

/// The newest life that is known of each worker, and those before it.
#[derive(Debug, Default)]
pub(crate) struct IncarnationTable {
    newest: BTreeMap<Arc<str>, Arc<str>>,
    ended: BTreeSet<Arc<str>>,
    /// What is added to the leader's fencing token in calls to a worker, by its name. It stays when the worker is
    /// dropped from the list: called with a lower token than before, it would seem to obey another leader.
    fence_offsets: BTreeMap<Arc<str>, u64>,
}

impl IncarnationTable {
    /// The newest life of a worker; its name where none is known.
    pub fn newest<'a>(&'a self, name: &'a Arc<str>) -> &'a Arc<str> {
        self.newest.get(name).unwrap_or(name)
    }

    /// Takes a life; the one before it, if that was another.
    fn begin(&mut self, id: &Arc<str>) -> Option<Arc<str>> {
        let previous = self.newest.insert(worker_name(id).into(), id.clone());
        let previous = previous.filter(|previous| previous != id)?;
        self.end(&previous);
        Some(previous)
    }

    /// A life is over: what was sent to it must not count with the next one.
    fn end(&mut self, previous: &Arc<str>) {
        self.ended.insert(previous.clone());
        *self.fence_offsets.entry(worker_name(previous).into()).or_default() += 1;
    }

    /// What is added to the fencing token in calls to a worker.
    fn fence_offset(&self, id: &str) -> u64 {
        self.fence_offsets.get(worker_name(id)).copied().unwrap_or_default()
    }

    /// Whether a later life has been seen.
    pub fn has_ended(&self, id: &str) -> bool {
        self.ended.contains(id)
    }
}

/// Whether a start may be carried out yet, or may have been by the next life: it was sent, and not every try of
/// it is known to have reached the life that lists it.
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
    /// Takes note of a life that a worker's entry tells of; false if a later one is known, so that the entry is
    /// out of date.
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

    /// A worker has answered under a life that began at `started_ms`; false if that is another than the one it was
    /// asked as, so that the answer tells nothing of that one.
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

    /// The first answer of a life under our token: others of the same worker, of which only the log told, are
    /// over.
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

    /// A term has only so many tokens. Behind the last one another term begins, since the next life could not be told
    /// from the one before.
    fn check_token_limit(&mut self, id: &str) {
        self.is_deposed |= self.incarnations.fence_offset(id) >= FENCING_TOKENS_PER_TERM;
    }

    /// The life `previous` is over, and the same worker lives on as `entry` tells.
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
        // Whatever comes of those can have a lease that was asked for until now.
        let lease_ms = self.lease_ms() * 100 / 98 + self.bounds.stop_ms;
        let bound = self.predecessor_lease_bound_ms.max(now + lease_ms);
        let next =
            self.workers.entry(id.clone()).or_insert_with(|| WorkerState::new(entry, bound, now));
        let target = next.target();
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

    /// Whether an acknowledgement can reach no exit but those of this life: all that was sent to it is listed by it.
    /// Services may stay in doubt for as long as they last, and their exits are no loss.
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

    /// Books a run on the next life, which may have it: the report that it gives under the new token tells.
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

    /// Fencing token of calls to a worker: higher for each life of it that was seen to follow another.
    pub(crate) fn fence_of(&self, id: &str) -> u64 {
        self.fence() + self.incarnations.fence_offset(id)
    }
}
