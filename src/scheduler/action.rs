//! What the scheduler wants done, and what it wants written down.

use std::sync::Arc;

use crate::jobs::model::{JobId, JobState, StepKey, TaskKey};
use crate::jobs::ports::{RunCall, VmCommand, WorkerTarget};
use crate::jobs::record::LossCount;

/// What is to be done.
#[derive(Clone, Debug)]
pub enum SchedulerAction {
    /// Send the command that a run needs; see [`Scheduler::command`].
    SendCommand(WorkerTarget, TaskKey, u32),
    /// Stop a run that is on no book.
    StopUntracked(WorkerTarget, RunCall),
    /// Let a run work at a share of its speed, in percent.
    Throttle(WorkerTarget, RunCall, u32),
    /// Keep renewing the leases of a worker.
    StartRenewals(WorkerTarget),
    /// Renew at once.
    RenewNow(Arc<str>),
    /// Drop every call to a worker's life that is under way: the next one goes by the same name.
    CancelCalls(Arc<str>),
    /// Fetch the list of VMs.
    ListVms,
    /// Command a VM, with this fencing token.
    CommandVm(VmCommand, u64),
    /// Tell operators of a wave: its number, and whether it is complete.
    PublishWaveStatus(u64, bool),
    /// Ask for placement permits.
    RequestPermits(StepKey, Vec<Arc<str>>),
    /// Log a decision.
    Event(SchedulerEvent),
}

/// By which way a record of a caller came to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordSource {
    /// From the entry that the caller asked, before the log has it.
    Relayed,
    /// Read from the log.
    Read,
    /// From the book, when this leader took over.
    Restored,
}

/// A decision worth a log line.
#[derive(Clone, Debug)]
pub enum SchedulerEvent {
    /// A run was given to a worker.
    Placed {
        /// Task.
        task: TaskKey,
        /// Run number.
        run: u32,
        /// Worker.
        worker: Arc<str>,
        /// Time since the job arrived, in milliseconds.
        age_ms: u64,
    },
    /// A run ended, or is known to be over.
    Ended {
        /// Task.
        task: TaskKey,
        /// Run number.
        run: u32,
        /// Worker.
        worker: Arc<str>,
        /// How.
        how: &'static str,
    },
    /// A run is over with its worker, or taken for over as nothing was heard of it.
    Lost {
        /// Task.
        task: TaskKey,
        /// Run number.
        run: u32,
        /// Worker.
        worker: Arc<str>,
        /// How it is known.
        how: &'static str,
        /// Time for which the worker told of it, in milliseconds; nothing if it never did.
        at_work_ms: Option<u64>,
    },
    /// A task has lost so many workers that it starts only while its pool is calm.
    OnTrial {
        /// Task.
        task: TaskKey,
        /// Workers that it has lost.
        lost: u32,
    },
    /// A task of a service ought to be at work and has not been for long.
    ServiceAway {
        /// Task.
        task: TaskKey,
        /// Its latest run.
        run: u32,
        /// Worker of that run, if it may be alive.
        worker: Option<Arc<str>>,
        /// What it waits for.
        reason: &'static str,
        /// Time since it was last at work under this leader, in milliseconds.
        away_ms: u64,
        /// Time for which it has waited in this state, in milliseconds.
        waits_ms: u64,
        /// Tries of its start that are under way.
        open_tries: u32,
        /// Workers that were lost under it.
        losses: LossCount,
        /// Tasks of services that are away for long.
        all: usize,
    },
    /// A job is given up, as a task of it crashes its workers.
    GivenUp {
        /// Task.
        task: TaskKey,
        /// Workers that it has lost.
        lost: u32,
        /// Why it is the one.
        reason: &'static str,
    },
    /// A start was refused.
    StartRefused {
        /// Task.
        task: TaskKey,
        /// Run number.
        run: u32,
        /// Worker.
        worker: Arc<str>,
        /// Why.
        reason: &'static str,
        /// Other tries of it whose outcome is not known yet.
        open_tries: u32,
    },
    /// A worker lists a run that is on no book, while another run of its task is on one.
    SecondRun {
        /// Task.
        task: TaskKey,
        /// Run number.
        run: u32,
        /// Worker.
        worker: Arc<str>,
        /// The run that is on the books.
        booked: u32,
    },
    /// A job's state changed.
    JobState {
        /// Job.
        job: JobId,
        /// New state.
        state: JobState,
        /// Time since it arrived, in milliseconds.
        age_ms: u64,
    },
    /// A cancellation is taken in.
    Cancelled {
        /// Job.
        job: JobId,
        /// By which way it came.
        source: RecordSource,
        /// Whether the job is open, over, or not known yet.
        found: &'static str,
        /// Age of the view of the jobs, in milliseconds.
        view_ms: u64,
    },
    /// A worker lists a run for the first time after its job was over.
    StartedAfterEnd {
        /// Task.
        task: TaskKey,
        /// Run number.
        run: u32,
        /// Worker.
        worker: Arc<str>,
        /// Time since the stop was decided, in milliseconds.
        since_ms: u64,
    },
    /// Nothing is placed, as the job log has not been read for too long.
    ViewStale {
        /// Age of the view of the jobs, in milliseconds.
        view_ms: u64,
    },
    /// What is believed of a worker changed.
    Worker {
        /// Worker.
        worker: Arc<str>,
        /// What.
        change: &'static str,
        /// Runs that it had.
        runs: usize,
    },
    /// How a pool is doing, now and then.
    Pool {
        /// Pool.
        pool: Arc<str>,
        /// VMs that its load needs.
        needed: usize,
        /// VMs that take work.
        usable: usize,
        /// VMs of these on which nothing runs.
        idle: usize,
        /// Processor booked, in thousandths of that of the usable VMs.
        booked: u64,
    },
    /// A VM was commanded, or answered.
    Vm {
        /// VM.
        vm: Arc<str>,
        /// What.
        change: String,
    },
    /// Runs are stopped to make room or because they are not wanted any more.
    Stopped {
        /// Task.
        task: TaskKey,
        /// Run number.
        run: u32,
        /// Why.
        reason: &'static str,
    },
}
