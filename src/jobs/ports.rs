//! What the job side needs of the outside, as traits: a log, workers, VMs, placement permits.
//!
//! Each call has a typed outcome that keeps apart what certainly did not happen from what may
//! have happened. The decisions rest on that difference.

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
    /// Jobs; keyed.
    Jobs,
    /// Who leads; plain records.
    Leadership,
    /// What operators wrote; keyed, read only.
    Operator,
    /// What workers report of themselves; keyed, read only.
    Workers,
    /// What operators read; keyed.
    Status,
}

/// Makes appends idempotent, and fences writers of lower epochs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriterStamp {
    /// Name of the writer.
    pub writer: Arc<str>,
    /// Epoch; a higher one shuts out all lower ones.
    pub epoch: u64,
    /// Number of the append in its epoch, without gaps.
    pub sequence: u64,
}

/// One append: all its records or none.
#[derive(Clone, Debug)]
pub struct AppendCall {
    /// Stream.
    pub topic: LogTopic,
    /// Records; in a plain stream the keys are not used.
    pub records: Vec<KeyedRecord>,
    /// Only if the stream ends at this offset.
    pub expected_end: Option<u64>,
    /// Idempotence, if wanted.
    pub stamp: Option<WriterStamp>,
}

/// What became of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// Done, now or by an earlier try.
    Done {
        /// Offset of the first record.
        offset: u64,
        /// End of the stream after it.
        end: u64,
    },
    /// The stream ends elsewhere; nothing was done.
    EndMoved {
        /// Where it ends.
        end: u64,
    },
    /// A higher epoch has written; nothing was done and never will be.
    Fenced,
    /// Another number was due; nothing was done.
    OutOfSequence,
    /// Refused for now; nothing was done.
    Refused,
    /// No answer: it may have been done, or may be done yet.
    Unknown,
}

/// Records read from a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogBatch {
    /// Offset after the last record of the stream.
    pub end: u64,
    /// Offset to read from next.
    pub next: u64,
    /// Records with their offsets.
    pub records: Vec<(u64, KeyedRecord)>,
}

/// What became of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Records, or none if the wait ended first.
    Read(LogBatch),
    /// The log no longer keeps what was asked for.
    Expired {
        /// Oldest offset kept.
        first: u64,
    },
    /// Refused for now.
    Refused,
    /// No answer, or one that can't be read.
    Unknown,
}

/// A page of the newest record of each key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NewestPage {
    /// Records with their offsets.
    pub records: Vec<(u64, KeyedRecord)>,
    /// Whether there are more after the last key.
    pub has_more: bool,
    /// End of the stream when the page was made.
    pub end: u64,
}

/// The platform's log.
pub trait JobLog: Clone + Send + Sync + 'static {
    /// Appends records.
    fn append(
        &self,
        call: &AppendCall,
        timeout: Duration,
    ) -> impl Future<Output = AppendOutcome> + Send;

    /// Bytes from which the next append should take no more records.
    fn append_limit(&self) -> usize {
        APPEND_BYTES_MAX
    }

    /// Reads from an offset; waits for a record up to `wait`.
    fn read(
        &self,
        topic: LogTopic,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = ReadOutcome> + Send;

    /// Newest record of each key after `after`.
    fn newest(
        &self,
        topic: LogTopic,
        after: Option<&str>,
    ) -> impl Future<Output = Option<NewestPage>> + Send;
}

/// One life of a worker, as a call must reach it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerTarget {
    /// Id of that life; any other life refuses the call.
    pub id: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Renews the leases of all that runs on a worker and asks what runs and what has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RenewCall {
    /// Fencing token.
    pub fence: u64,
    /// Exits up to this number may be forgotten.
    pub acked_exits: u64,
    /// New end of the leases on the worker's clock, in milliseconds; none to leave it.
    pub lease_until_ms: Option<u64>,
    /// Time to wait for an exit.
    pub wait: Duration,
}

/// A run that is on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// Task.
    pub task: TaskKey,
    /// Run number.
    pub run: u32,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
    /// Progress in percent; 100 for a service task at work.
    pub percent: u32,
    /// Tail latency of a service task in milliseconds, processor in use of any other.
    pub gauge: Option<u64>,
}

/// A run that has ended on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskExit {
    /// Its number in this life of the worker, from 1.
    pub number: u64,
    /// Task.
    pub task: TaskKey,
    /// Run number.
    pub run: u32,
    /// How it ended.
    pub kind: ExitKind,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
}

/// What a worker says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerReport {
    /// Its steady clock, in milliseconds.
    pub clock_ms: u64,
    /// When the life that reports began, in milliseconds since the epoch, where workers tell.
    pub started_ms: Option<u64>,
    /// What runs.
    pub running: Vec<RunningTask>,
    /// What has ended and was not forgotten yet.
    pub exits: Vec<TaskExit>,
}

/// Why a worker has not done what it was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CommandRefusal {
    /// Another sender has used a higher fencing token.
    Fenced,
    /// The run number is not above one that ended or was stopped there.
    OldRun,
    /// The lease would have ended already.
    LeaseExpired,
    /// It does not fit.
    NoCapacity,
    /// The permit is missing or not valid.
    InvalidPermit,
    /// The worker is not well and has done nothing.
    Unhealthy,
    /// Another life of a worker answers at the address.
    WrongIncarnation,
    /// The call is malformed in its eyes.
    Malformed,
}

/// What became of a call to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandOutcome<A> {
    /// Done, now or before.
    Done(A),
    /// Refused; nothing was done.
    Refused(CommandRefusal, Option<u64>),
    /// No answer: it may have been done, or may be done seconds later.
    Unknown,
}

/// The word for what became of a start, in metrics.
pub fn start_label(outcome: &CommandOutcome<u64>) -> &'static str {
    match outcome {
        CommandOutcome::Done(_) => "done",
        CommandOutcome::Refused(refusal, _) => refusal_label(*refusal),
        CommandOutcome::Unknown => "no_answer",
    }
}

/// The word for a refusal in logs and metrics.
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
    /// Text for the task.
    pub payload: Arc<str>,
    /// End of its lease on the worker's clock, in milliseconds.
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

/// Time for which the answer to a renewal is read on after it was given up. A worker counts the exits
/// that it has listed as known, whether anybody has read them; on a link that is choked they arrive
/// seconds later, and a task whose end is on its way must not be started again.
pub const LATE_ANSWER_GRACE: Duration = Duration::from_secs(4);

/// The workers.
pub trait WorkerClient: Clone + Send + Sync + 'static {
    /// Renews leases and asks what runs. After `timeout` beyond the wait that was asked for the worker counts
    /// as silent, and no other call may rest on what was open to it; the answer is still taken when it comes
    /// within [`LATE_ANSWER_GRACE`] more.
    fn renew(
        &self,
        target: &WorkerTarget,
        call: &RenewCall,
        timeout: Duration,
    ) -> impl Future<Output = CommandOutcome<WorkerReport>> + Send;

    /// Starts a run; answers with the worker's clock.
    fn start(
        &self,
        target: &WorkerTarget,
        call: &StartCall,
        timeout: Duration,
    ) -> impl Future<Output = CommandOutcome<u64>> + Send;

    /// Stops a run; answers with the worker's clock.
    fn stop(
        &self,
        target: &WorkerTarget,
        call: &RunCall,
        timeout: Duration,
    ) -> impl Future<Output = CommandOutcome<u64>> + Send;

    /// Lets a run work at a share of its speed, in percent.
    fn throttle(
        &self,
        target: &WorkerTarget,
        call: &RunCall,
        percent: u32,
        timeout: Duration,
    ) -> impl Future<Output = CommandOutcome<u64>> + Send;
}

/// Who commands a VM, and the token that shuts out earlier holders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmStamp {
    /// Name of the holder.
    pub holder: Arc<str>,
    /// Fencing token.
    pub fence: u64,
}

/// A command to a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VmCommand {
    /// Move to a pool; what runs on it ends at once.
    Assign {
        /// VM.
        vm: Arc<str>,
        /// Pool.
        pool: Arc<str>,
    },
    /// Maintain for a wave; what runs on it ends at once.
    Maintain {
        /// VM.
        vm: Arc<str>,
        /// Number of the wave.
        wave: u64,
    },
}

impl VmCommand {
    /// The VM that is commanded.
    pub fn vm(&self) -> &Arc<str> {
        match self {
            VmCommand::Assign { vm, .. } | VmCommand::Maintain { vm, .. } => vm,
        }
    }
}

/// What became of a command to a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmOutcome {
    /// Done, now or before.
    Done,
    /// Another holder has used a higher token; nothing was done.
    Fenced,
    /// Not up, or leaving; nothing was done.
    Busy,
    /// Not of that wave, or no such VM or pool; nothing was done.
    Malformed,
    /// Too many calls, or the service is away; nothing was done.
    Refused,
    /// No answer: it may have been done, or may be done yet.
    Unknown,
}

/// Time for a command to a VM to be answered, in milliseconds; a slow service takes 50 times its usual
/// few milliseconds. A successor counts on it: see [`crate::scheduler::VM_COMMAND_LIFETIME_MS`].
pub const VM_COMMAND_TIMEOUT_MS: u64 = 600;

/// The platform's VMs.
pub trait VmClient: Clone + Send + Sync + 'static {
    /// The whole list; nothing if any page of it can't be had.
    fn list(&self) -> impl Future<Output = Option<Vec<VmEntry>>> + Send;

    /// Commands a VM, if `may_send` still holds when the connection is open. Without an answer within
    /// [`VM_COMMAND_TIMEOUT_MS`] nothing of it is under way any more.
    fn command(
        &self,
        command: &VmCommand,
        stamp: &VmStamp,
        may_send: impl Fn() -> bool + Send,
    ) -> impl Future<Output = VmOutcome> + Send;
}

/// Permits of a step by worker id.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PermitGrant {
    /// Workers that may run the step, with their permits.
    pub allowed: Vec<(Arc<str>, Arc<str>)>,
    /// Time that the permits are valid, in milliseconds.
    pub valid_ms: u64,
}

/// The placement policy service.
pub trait PermitClient: Clone + Send + Sync + 'static {
    /// Which of these workers may run the step; nothing if there was no answer.
    fn ask(
        &self,
        step: &StepKey,
        workers: &[Arc<str>],
    ) -> impl Future<Output = Option<PermitGrant>> + Send;
}
