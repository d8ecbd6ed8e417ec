//! Runs that were abandoned on unreachable workers, and exits that must not be acknowledged because
//! of them.
//!
//! When a worker can't be reached until every lease that it can have has run out, its tasks are
//! started elsewhere. When it answers again, it lists how the first runs have ended: some were done
//! or had failed while it was cut off. Callers of a task that is not idempotent see it run once as
//! long as that first exit never counts. An acknowledgement would make it count, and
//! acknowledgements are cumulative, so none may reach that exit in this incarnation of the worker.
//! The worker gets no new work, and its VM is moved once it is empty, which ends the incarnation.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::jobs::model::{ExitKind, JobId, TaskKey};
use crate::jobs::ports::{TaskExit, VmCommand};
use crate::jobs::site::VmState;
use crate::scheduler::job::RunPhase;
use crate::scheduler::{Scheduler, SchedulerEvent};

/// Whether the worker's loss was counted against the task, and if so, whether at its start.
type CountedLoss = Option<bool>;

/// Abandoned runs by worker. A run stays as long as the state of its job can be queried.
#[derive(Debug, Default)]
pub(crate) struct AbandonedRuns {
    by_worker: BTreeMap<Arc<str>, BTreeMap<(TaskKey, u32), CountedLoss>>,
}

impl AbandonedRuns {
    /// Adds a run that counts as ended although its worker has not confirmed it.
    pub(crate) fn insert(
        &mut self,
        worker: &Arc<str>,
        task: TaskKey,
        run: u32,
        counted: CountedLoss,
    ) {
        self.by_worker.entry(worker.clone()).or_default().insert((task, run), counted);
    }

    /// Runs that this worker's loss was counted against; each is returned only once.
    pub(crate) fn take_counted(&mut self, worker: &str) -> Vec<((TaskKey, u32), bool)> {
        let runs = self.by_worker.get_mut(worker).into_iter().flatten();
        runs.filter_map(|(key, counted)| Some((*key, counted.take()?))).collect()
    }

    fn contains(&self, worker: &str, task: TaskKey, run: u32) -> bool {
        self.by_worker.get(worker).is_some_and(|runs| runs.contains_key(&(task, run)))
    }

    /// Forgets a worker's incarnation that has ended: it lists nothing any more.
    pub(crate) fn forget_worker(&mut self, worker: &str) {
        self.by_worker.remove(worker);
    }

    /// Forgets a job that ended so long ago that it can no longer be queried.
    pub(crate) fn forget_job(&mut self, job: JobId) {
        self.by_worker.retain(|_, runs| {
            runs.retain(|(task, _), _| task.job != job);
            !runs.is_empty()
        });
    }
}

impl Scheduler {
    /// Whether the exit of an abandoned run must never be acknowledged, as its task was started
    /// again. For a job that is no longer in memory, only the abandoned runs show this.
    pub(crate) fn must_withhold(&self, id: &str, exit: &TaskExit) -> bool {
        if !matches!(exit.kind, ExitKind::Done | ExitKind::Failed) {
            return false;
        }
        let Some(job) = self.jobs.get(&exit.task.job) else {
            return self.abandoned.contains(id, exit.task, exit.run);
        };
        let is_free = job.spec(&exit.task).is_none_or(|spec| spec.is_service || spec.allows_copies);
        let Some(task) = job.task(&exit.task).filter(|_| !is_free) else { return false };
        if task.live.iter().any(|live| live.run == exit.run) {
            return false;
        }
        // An earlier leader may have counted the failure and not acknowledged it.
        if exit.kind == ExitKind::Failed && exit.run == task.failed_run {
            return false;
        }
        let later: Vec<RunPhase> =
            task.live.iter().filter(|live| live.run > exit.run).map(|live| live.phase).collect();
        // A run that was only planned is removed when this exit counts.
        let is_only_planned = !later.is_empty() && later.iter().all(|p| *p == RunPhase::Planned);
        task.run > exit.run && !is_only_planned
    }

    /// Keeps this exit and all later ones from being acknowledged.
    pub(crate) fn withhold(&mut self, id: &Arc<str>, number: u64) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if !worker.withhold_exits_from(number) {
            return;
        }
        let runs = worker.runs.len();
        let change = "lists an exit that must not be acknowledged";
        self.emit(SchedulerEvent::Worker { worker: id.clone(), change, runs });
    }

    /// Moves the VMs of workers with withheld exits once they are empty: exits of their next
    /// incarnation can be acknowledged.
    pub(crate) fn reassign_withheld_vms(&mut self, now: u64) {
        let withheld: Vec<Arc<str>> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.has_withheld_exit() && worker.silent_since_ms.is_none())
            .filter_map(|(id, _)| self.fleet.vm_of(id))
            .filter(|vm| vm.state == VmState::Up && !self.fleet.operations.contains_key(&vm.vm))
            .map(|vm| vm.vm.clone())
            .collect();
        for vm in withheld {
            let Some(pool) = self.other_pool(&vm) else { return };
            self.plan_operation(VmCommand::Assign { vm, pool }, now);
        }
    }

    /// The pool that a VM moves to for a new incarnation: one whose VMs are off, if there is one.
    fn other_pool(&self, vm: &str) -> Option<Arc<str>> {
        let own = self.fleet.vms.get(vm).map(|vm| vm.pool.clone())?;
        let others = self.config.pools.iter().filter(|pool| pool.name != own);
        others.max_by_key(|pool| pool.is_standby).map(|pool| pool.name.clone())
    }
}
