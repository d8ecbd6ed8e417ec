//! Traits for the external services that jobs depend on: the log, the workers, the VMs, the
//! placement policy service.
//!
//! The outcome type of each call distinguishes what certainly did not happen from what may have
//! happened. Scheduling decisions depend on this difference.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decide::append_limit::APPEND_BYTES_MAX;
use crate::jobs::model::{ExitKind, StepKey, TaskKey};
use crate::jobs::record::KeyedRecord;
use crate::jobs::site::VmEntry;

/// A stream of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LogTopic {
    /// Records of jobs; keyed.
    Jobs,
    /// Claims and renewals of the leadership; plain records.
    Leadership,
    /// Records written by operators; keyed, read only.
    Operator,
    /// Reports of workers about themselves; keyed, read only.
    Workers,
    /// Status records for operators; keyed.
    Status,
}

/// Identifies an append, so that the log performs repeats of it once and rejects writers with lower
/// epochs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriterStamp {
    /// Name of the writer.
    pub writer: Arc<str>,
    /// Epoch of the writer; a higher epoch fences all lower ones.
    pub epoch: u64,
    /// Number of the append within the epoch, without gaps.
    pub sequence: u64,
}

/// An append of records, all of which are stored or none.
#[derive(Clone, Debug)]
pub struct AppendCall {
    /// Stream.
    pub topic: LogTopic,
    /// The records; plain streams ignore the keys.
    pub records: Vec<KeyedRecord>,
    /// Offset at which the stream must end for the append to be done; `None` for any.
    pub expected_end: Option<u64>,
    /// Makes repeats idempotent, if present.
    pub stamp: Option<WriterStamp>,
}

/// Outcome of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// Done, by this attempt or an earlier one.
    Done {
        /// Offset of the first record.
        offset: u64,
        /// End of the stream after the append.
        end: u64,
    },
    /// The stream ends at another offset; nothing was done.
    EndMoved {
        /// Current end of the stream.
        end: u64,
    },
    /// A writer with a higher epoch has appended; nothing was done, and nothing will be.
    Fenced,
    /// The log expected another sequence number; nothing was done.
    OutOfSequence,
    /// Rejected for the moment; nothing was done.
    Refused,
    /// No answer: the append may have been done, or may still be done later.
    Unknown,
}

/// Records read from a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogBatch {
    /// Offset after the last record of the stream.
    pub end: u64,
    /// Offset to continue reading from.
    pub next: u64,
    /// Records with their offsets.
    pub records: Vec<(u64, KeyedRecord)>,
}

/// Outcome of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Records, or none if the wait ended without any.
    Read(LogBatch),
    /// The log no longer has the requested offset.
    Expired {
        /// Oldest offset that the log still has.
        first: u64,
    },
    /// Rejected for the moment.
    Refused,
    /// No answer, or one that can't be decoded.
    Unknown,
}

/// A page of a snapshot that has the newest record of each key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NewestPage {
    /// Records with their offsets.
    pub records: Vec<(u64, KeyedRecord)>,
    /// Whether more keys follow.
    pub has_more: bool,
    /// End of the stream when the page was made.
    pub end: u64,
}

/// Client of the log service.
pub trait JobLog: Clone + Send + Sync + 'static {
    /// Appends records.
    fn append(
        &self,
        call: &AppendCall,
        timeout: Duration,
    ) -> impl Future<Output = AppendOutcome> + Send;

    /// Size in bytes from which the next append should take no more records.
    fn append_limit(&self) -> usize {
        APPEND_BYTES_MAX
    }

    /// Round trip to the log; nothing before it is known.
    fn round_trip(&self) -> Duration {
        Duration::ZERO
    }

    /// Reads records from an offset on; waits up to `wait` for the first one.
    fn read(
        &self,
        topic: LogTopic,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = ReadOutcome> + Send;

    /// Reads the newest record of each key that comes after the key `after`.
    fn newest(
        &self,
        topic: LogTopic,
        after: Option<&str>,
    ) -> impl Future<Output = Option<NewestPage>> + Send;
}

/// Address of one incarnation of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerTarget {
    /// Id of the incarnation; any other incarnation rejects the call.
    pub id: Arc<str>,
    /// Address that it listens on.
    pub address: SocketAddr,
}

/// Extends the leases of all runs on a worker, and asks which runs are active and which have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RenewCall {
    /// Fencing token.
    pub fence: u64,
    /// The worker may forget exits up to this number.
    pub acked_exits: u64,
    /// New end of the leases on the worker's clock, in milliseconds; `None` to leave it unchanged.
    pub lease_until_ms: Option<u64>,
    /// How long the worker may hold the answer back until a run ends.
    pub wait: Duration,
}

/// A run that is active on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// Task.
    pub task: TaskKey,
    /// Run number.
    pub run: u32,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
    /// Progress in percent; 100 for a service task that is working.
    pub percent: u32,
    /// Tail latency in milliseconds for a service task, processor in use for any other.
    pub gauge: Option<u64>,
}

/// A run that has ended on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskExit {
    /// Its number in this incarnation of the worker, from 1.
    pub number: u64,
    /// Task.
    pub task: TaskKey,
    /// Run number.
    pub run: u32,
    /// How the run ended.
    pub kind: ExitKind,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
}

/// State of a worker, as it reports it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerReport {
    /// The worker's monotonic clock, in milliseconds.
    pub clock_ms: u64,
    /// When the reporting incarnation started, in milliseconds since the epoch; `None` if workers
    /// don't report it.
    pub started_ms: Option<u64>,
    /// Active runs.
    pub running: Vec<RunningTask>,
    /// Runs that have ended and whose exits were not forgotten yet.
    pub exits: Vec<TaskExit>,
}

/// Why a worker rejected a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CommandRefusal {
    /// Another sender has used a higher fencing token.
    Fenced,
    /// The run number is not higher than one that ended or was stopped there.
    OldRun,
    /// The lease would have expired already.
    LeaseExpired,
    /// The worker's free capacity is too small.
    NoCapacity,
    /// The permit is missing or invalid.
    InvalidPermit,
    /// The worker is unhealthy and has done nothing.
    Unhealthy,
    /// Another incarnation of a worker answers at the address.
    WrongIncarnation,
    /// The worker considers the call malformed.
    Malformed,
}

/// Outcome of a command to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandOutcome<A> {
    /// Done, by this call or an earlier one.
    Done(A),
    /// Rejected, nothing was done; with the worker's clock in milliseconds, if it reported it.
    Refused(CommandRefusal, Option<u64>),
    /// No answer: the command may have been done, or may still be done seconds later.
    Unknown,
}

/// Metric label for the outcome of a start.
pub fn start_label(outcome: &CommandOutcome<u64>) -> &'static str {
    match outcome {
        CommandOutcome::Done(_) => "done",
        CommandOutcome::Refused(refusal, _) => refusal_label(*refusal),
        CommandOutcome::Unknown => "no_answer",
    }
}

/// Label for a rejection in logs and metrics.
pub fn refusal_label(refusal: CommandRefusal) -> &'static str {
    match refusal {
        CommandRefusal::Fenced => "fenced",
        CommandRefusal::OldRun => "old_run",
        CommandRefusal::LeaseExpired => "late_lease",
        CommandRefusal::NoCapacity => "no_room",
        CommandRefusal::InvalidPermit => "permit",
        CommandRefusal::Unhealthy => "unhealthy",
        CommandRefusal::WrongIncarnation => "wrong_life",
        CommandRefusal::Malformed => "malformed",
    }
}

/// Starts a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartCall {
    /// Task.
    pub task: TaskKey,
    /// Run number.
    pub run: u32,
    /// Opaque text that is passed to the task.
    pub payload: Arc<str>,
    /// End of the run's lease on the worker's clock, in milliseconds.
    pub lease_until_ms: u64,
    /// Fencing token.
    pub fence: u64,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: String,
    /// Placement permit, if the queue needs one.
    pub permit: Option<Arc<str>>,
}

/// Stops or throttles a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunCall {
    /// Task.
    pub task: TaskKey,
    /// Run number.
    pub run: u32,
    /// Fencing token.
    pub fence: u64,
}

/// Additional time for which the answer to a renewal is still read after the renewal has timed out.
///
/// A worker treats the exits that it has listed as delivered, even if nobody has read them. On a
/// congested link they arrive seconds later, and a task whose exit is on its way must not be
/// started again.
pub const LATE_ANSWER_GRACE: Duration = Duration::from_secs(4);

/// Client of the workers.
pub trait WorkerClient: Clone + Send + Sync + 'static {
    /// Renews leases and asks which runs are active. If there is no answer within `timeout` after
    /// the requested wait, the worker counts as silent, and no other call may rely on the
    /// connections that were open to it. The answer is still accepted within another
    /// [`LATE_ANSWER_GRACE`].
    fn renew(
        &self,
        target: &WorkerTarget,
        call: &RenewCall,
        timeout: Duration,
    ) -> impl Future<Output = CommandOutcome<WorkerReport>> + Send;

    /// Starts a run; returns the worker's clock in milliseconds.
    fn start(
        &self,
        target: &WorkerTarget,
        call: &StartCall,
        timeout: Duration,
    ) -> impl Future<Output = CommandOutcome<u64>> + Send;

    /// Stops a run; returns the worker's clock in milliseconds.
    fn stop(
        &self,
        target: &WorkerTarget,
        call: &RunCall,
        timeout: Duration,
    ) -> impl Future<Output = CommandOutcome<u64>> + Send;

    /// Limits a run to a percentage of its speed; returns the worker's clock in milliseconds.
    fn throttle(
        &self,
        target: &WorkerTarget,
        call: &RunCall,
        percent: u32,
        timeout: Duration,
    ) -> impl Future<Output = CommandOutcome<u64>> + Send;
}

/// Identifies the sender of VM commands, with a fencing token that excludes earlier senders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmStamp {
    /// Name of the sender.
    pub holder: Arc<str>,
    /// Fencing token.
    pub fence: u64,
}

/// A command to a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VmCommand {
    /// Moves the VM to a pool; everything that runs on it ends at once.
    Assign {
        /// VM.
        vm: Arc<str>,
        /// New pool.
        pool: Arc<str>,
    },
    /// Maintains the VM for a wave; everything that runs on it ends at once.
    Maintain {
        /// VM.
        vm: Arc<str>,
        /// Number of the wave.
        wave: u64,
    },
}

impl VmCommand {
    /// The VM that the command is for.
    pub fn vm(&self) -> &Arc<str> {
        match self {
            VmCommand::Assign { vm, .. } | VmCommand::Maintain { vm, .. } => vm,
        }
    }
}

/// Outcome of a command to a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmOutcome {
    /// Done, by this call or an earlier one.
    Done,
    /// Another sender has used a higher fencing token; nothing was done.
    Fenced,
    /// The VM is not up, or is leaving; nothing was done.
    Busy,
    /// The VM is not in that wave, or there is no such VM or pool; nothing was done.
    Malformed,
    /// Too many calls, or the service is unavailable; nothing was done.
    Refused,
    /// No answer: the command may have been done, or may still be done later.
    Unknown,
}

/// Timeout for a command to a VM, in milliseconds; a slow service takes 50 times its usual few
/// milliseconds. Successors of a leader rely on it: see [`crate::scheduler::VM_COMMAND_LIFE_MS`].
pub const VM_COMMAND_TIMEOUT_MS: u64 = 600;

/// Client of the VM service.
pub trait VmClient: Clone + Send + Sync + 'static {
    /// Lists all VMs; `None` if any page of the list can't be read.
    fn list(&self) -> impl Future<Output = Option<Vec<VmEntry>>> + Send;

    /// Sends a command, if `may_send` still returns true once the connection is open. After
    /// [`VM_COMMAND_TIMEOUT_MS`] without an answer, no part of the command is in flight any more.
    fn command(
        &self,
        command: &VmCommand,
        stamp: &VmStamp,
        may_send: impl Fn() -> bool + Send,
    ) -> impl Future<Output = VmOutcome> + Send;
}

/// Permits for the tasks of a step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PermitGrant {
    /// Ids of the workers that may run the step, each with its permit.
    pub allowed: Vec<(Arc<str>, Arc<str>)>,
    /// Time for which the permits are valid, in milliseconds.
    pub valid_ms: u64,
}

/// Client of the placement policy service.
pub trait PermitClient: Clone + Send + Sync + 'static {
    /// Asks which of these workers may run the step; `None` without an answer.
    fn ask(
        &self,
        step: &StepKey,
        workers: &[Arc<str>],
    ) -> impl Future<Output = Option<PermitGrant>> + Send;
}
