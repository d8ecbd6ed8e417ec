//! Actions that the scheduler asks for, and events for the log of its decisions.

use std::sync::Arc;

use crate::jobs::model::{JobId, JobState, StepKey, TaskKey};
use crate::jobs::ports::{RunCall, VmCommand, WorkerTarget};
use crate::jobs::record::LossCount;
use crate::scheduler::turns::HoldChange;

/// Action to carry out for the scheduler.
#[derive(Clone, Debug)]
pub enum SchedulerAction {
    /// Send the command that a run needs; see
    /// [`Scheduler::command`](crate::scheduler::Scheduler::command).
    SendCommand(WorkerTarget, TaskKey, u32),
    /// Stop a run that the leader has no record of.
    StopUntracked(WorkerTarget, RunCall),
    /// Limit a run to a share of its speed, in percent.
    Throttle(WorkerTarget, RunCall, u32),
    /// Start renewing the leases of a worker.
    StartRenewals(WorkerTarget),
    /// Renew a worker's leases at once.
    RenewNow(Arc<str>),
    /// Cancel every call to a worker's incarnation that is in flight: the next incarnation answers
    /// to the same name.
    CancelCalls(Arc<str>),
    /// Request the VM list.
    ListVms,
    /// Send a command to a VM with this fencing token.
    CommandVm(VmCommand, u64),
    /// Publish the status of a wave for operators: its number and whether it is complete.
    PublishWaveStatus(u64, bool),
    /// Request placement permits of a step for these workers.
    RequestPermits(StepKey, Vec<Arc<str>>),
    /// Write an event to the log and the metrics.
    Event(SchedulerEvent),
}

/// How a caller's record reached the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordSource {
    /// From the entry that the caller asked, before the record was on the log.
    Relayed,
    /// Read from the log.
    Read,
    /// From the job table, when this leader took over.
    Restored,
}

/// Event that is written to the log.
#[derive(Clone, Debug)]
pub enum SchedulerEvent {
    /// A run was placed on a worker.
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
        /// Cause of the end.
        how: &'static str,
    },
    /// A run was lost with its worker, or declared over because the worker was silent.
    Lost {
        /// Task.
        task: TaskKey,
        /// Run number.
        run: u32,
        /// Worker.
        worker: Arc<str>,
        /// How the loss became known.
        how: &'static str,
        /// Time over which the worker reported the run, in milliseconds; `None` if it never did.
        at_work_ms: Option<u64>,
    },
    /// A task has lost so many workers that it starts only while its pool is stable.
    OnTrial {
        /// Task.
        task: TaskKey,
        /// Workers that it has lost.
        lost: u32,
    },
    /// A service task that should be at work has been away for long.
    ServiceAway {
        /// Task.
        task: TaskKey,
        /// Its latest run.
        run: u32,
        /// Worker of that run, if the run may be alive.
        worker: Option<Arc<str>>,
        /// Reason for which it waits.
        reason: &'static str,
        /// Time since it was last at work under this leader, in milliseconds.
        away_ms: u64,
        /// Time spent in its current state, in milliseconds.
        waits_ms: u64,
        /// Attempts to start it that are in flight.
        open_tries: u32,
        /// Workers that were lost while they ran it.
        losses: LossCount,
        /// Number of service tasks that have been away for long.
        all: usize,
    },
    /// Jobs of a pool have had nothing running for long, although a step of each may begin.
    JobsIdle {
        /// Pool.
        pool: Arc<str>,
        /// Number of these jobs.
        jobs: usize,
        /// Those that are too late to be of value.
        overdue: usize,
        /// Those with a run that is placed but not at work.
        placed: usize,
        /// The job that has waited longest.
        longest: JobId,
        /// Its urgency.
        tier: &'static str,
        /// What it waits for.
        reason: &'static str,
        /// How long nothing of it has run, in milliseconds.
        idle_ms: u64,
        /// Allocated share of the pool's usable workers, in thousandths.
        booked: u64,
        /// Share of them that runs at work take, in thousandths.
        at_work: u64,
    },
    /// A job was given up because one of its tasks crashes its workers.
    GivenUp {
        /// Task.
        task: TaskKey,
        /// Workers that it has lost.
        lost: u32,
        /// Why this task is held responsible.
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
        /// Reason.
        reason: &'static str,
        /// Other attempts to start it whose outcome is not known yet.
        open_tries: u32,
    },
    /// Starts beyond the limit were withdrawn before they were sent.
    StartsWithdrawn {
        /// Number of starts.
        count: usize,
        /// The limit.
        most: usize,
    },
    /// A worker lists a run that the leader has no record of, while it has a record of another run
    /// of the task.
    SecondRun {
        /// Task.
        task: TaskKey,
        /// Run number.
        run: u32,
        /// Worker.
        worker: Arc<str>,
        /// The run that the leader has a record of.
        booked: u32,
    },
    /// A job's state changed.
    JobState {
        /// Job.
        job: JobId,
        /// New state.
        state: JobState,
        /// Time since the job arrived, in milliseconds.
        age_ms: u64,
    },
    /// A cancellation was applied.
    Cancelled {
        /// Job.
        job: JobId,
        /// How the cancellation reached the leader.
        source: RecordSource,
        /// State in which the job was found: open, over, or not known yet.
        found: &'static str,
        /// Age of the view of the jobs, in milliseconds.
        view_ms: u64,
    },
    /// A worker listed a run for the first time after the run's job was over.
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
    /// Placement is suspended because the job log has not been read for too long.
    ViewStale {
        /// Age of the view of the jobs, in milliseconds.
        view_ms: u64,
    },
    /// The leader's view of a worker changed.
    Worker {
        /// Worker.
        worker: Arc<str>,
        /// Description of the change.
        change: &'static str,
        /// Runs placed on it at that time.
        runs: usize,
    },
    /// What earlier leaders have learned was restored.
    LearnedRestored {
        /// Queues with run times.
        queues: usize,
        /// Organisations that have used part of their share.
        organisations: usize,
        /// Age of the newest record, in milliseconds.
        age_ms: u64,
    },
    /// Records of what earlier leaders have learned were not restored.
    LearnedRejected {
        /// Reason.
        reason: &'static str,
        /// Number of records.
        records: usize,
    },
    /// What this leader has learned was queued for the log.
    LearnedWritten {
        /// Number of records.
        records: usize,
        /// Their size with keys.
        bytes: usize,
    },
    /// Jobs of a pool were ordered by the running work of their organisations.
    FairOrder {
        /// Pool.
        pool: Arc<str>,
        /// Organisations that compete for it.
        organisations: usize,
        /// Processor of its usable workers, in thousandths of a core.
        capacity: u64,
        /// The organisation that goes last.
        last: Arc<str>,
        /// Its weight.
        weight: f64,
        /// Processor of its running work in the pool, in thousandths of a core.
        running: u64,
        /// Step that this work has reached for its weight, in eighths of the pool.
        step: u64,
        /// Rounds with such an order since the last event about the pool.
        rounds: usize,
    },
    /// Periodic summary of a pool.
    Pool {
        /// Pool.
        pool: Arc<str>,
        /// VMs that its load needs.
        needed: usize,
        /// VMs that take work.
        usable: usize,
        /// Usable VMs on which nothing runs.
        idle: usize,
        /// Allocated processor, in thousandths of that of the usable VMs.
        booked: u64,
    },
    /// A hold of idle VMs between bursts began or ended.
    Hold(HoldChange),
    /// A command to a VM was planned, or its outcome is known.
    Vm {
        /// VM.
        vm: Arc<str>,
        /// Description of the change.
        change: String,
    },
    /// A run is being stopped to free capacity or because it is not wanted any more.
    Stopped {
        /// Task.
        task: TaskKey,
        /// Run number.
        run: u32,
        /// Reason.
        reason: &'static str,
    },
}
