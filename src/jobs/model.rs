//! The data model of a job: its steps and tasks, their resource demands, and their identifiers.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::decide::intake::{KeptBytes, ORDINARY_BYTES};

/// Largest number of steps of a job; a job with more is rejected as malformed.
pub const STEPS_MAX: usize = 256;
/// Largest number of unfinished tasks of a job, over all steps and occurrences that have begun.
///
/// In a progress record, a task takes up to 95 bytes and its restart counts 24 more. The log
/// accepts records of 262,144 bytes: a larger progress record would be rejected for ever, and block
/// every later commit.
pub const TASKS_MAX: usize = 2_000;
/// Memory of a task's state at the leader, in bytes: 230 were measured.
const TASK_BYTES: usize = 256;
/// Longest checkpoint that is stored, in bytes; workers send checkpoints of 16 bytes.
pub const CHECKPOINT_BYTES_MAX: usize = 64;
/// Longest payload that a job passes to its tasks, in bytes.
pub const PAYLOAD_BYTES_MAX: usize = 4_000;
/// Largest number of occurrences of a scheduled job.
pub const OCCURRENCES_MAX: u32 = 100_000;

/// Id of a job, chosen by its caller: 16 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobId(u64);

impl JobId {
    /// Parses 16 lower-case hexadecimal digits.
    pub fn parse(text: &str) -> Option<JobId> {
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != 16 || !text.bytes().all(is_digit) {
            return None;
        }
        u64::from_str_radix(text, 16).ok().map(JobId)
    }

    /// The id as a number, by which retries are spread.
    pub fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Identifies one task by job, occurrence, step and index in the step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskKey {
    /// The job.
    pub job: JobId,
    /// Occurrence of a scheduled job; 0 for all others.
    pub occurrence: u32,
    /// Position of the step, from 0.
    pub step: u16,
    /// Position in the step, from 0.
    pub index: u32,
}

impl TaskKey {
    /// Parses `JOB.OCCURRENCE.STEP.INDEX`.
    pub fn parse(text: &str) -> Option<TaskKey> {
        let mut parts = text.split('.');
        let key = TaskKey {
            job: JobId::parse(parts.next()?)?,
            occurrence: parts.next()?.parse().ok()?,
            step: parts.next()?.parse().ok()?,
            index: parts.next()?.parse().ok()?,
        };
        parts.next().is_none().then_some(key)
    }

    /// The step that the task belongs to.
    pub fn step_key(&self) -> StepKey {
        StepKey { job: self.job, occurrence: self.occurrence, step: self.step }
    }
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

/// Identifies one step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StepKey {
    /// The job.
    pub job: JobId,
    /// Occurrence of a scheduled job; 0 for all others.
    pub occurrence: u32,
    /// Position of the step, from 0.
    pub step: u16,
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Amount of each resource of a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceVector {
    /// Processor, in thousandths of a core.
    pub cpu: u64,
    /// Memory, in MB.
    pub memory: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl ResourceVector {
    /// Whether no amount of `other` exceeds this one.
    pub fn covers(&self, other: &ResourceVector) -> bool {
        self.cpu >= other.cpu
            && self.memory >= other.memory
            && self.accelerators >= other.accelerators
    }

    /// Adds an amount, stopping at the largest number.
    pub fn add(&mut self, other: &ResourceVector) {
        self.cpu = self.cpu.saturating_add(other.cpu);
        self.memory = self.memory.saturating_add(other.memory);
        self.accelerators = self.accelerators.saturating_add(other.accelerators);
    }

    /// Subtracts an amount, stopping at zero.
    pub fn saturating_sub(&self, other: &ResourceVector) -> ResourceVector {
        ResourceVector {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Multiplies each amount by `count`, stopping at the largest number.
    pub fn times(&self, count: u64) -> ResourceVector {
        ResourceVector {
            cpu: self.cpu.saturating_mul(count),
            memory: self.memory.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Divides each amount by 100.
    pub fn hundredth(&self) -> ResourceVector {
        ResourceVector {
            cpu: self.cpu / 100,
            memory: self.memory / 100,
            accelerators: self.accelerators / 100,
        }
    }

    /// The larger amount of each resource.
    pub fn component_max(&self, other: &ResourceVector) -> ResourceVector {
        ResourceVector {
            cpu: self.cpu.max(other.cpu),
            memory: self.memory.max(other.memory),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// The largest share of `capacity` that this takes of any resource, in thousandths.
    pub fn dominant_share_of(&self, capacity: &ResourceVector) -> u64 {
        let share = |own: u64, all: u64| match (own, all) {
            (0, _) => 0,
            (_, 0) => u64::MAX / 2,
            (own, all) => own.saturating_mul(1_000) / all,
        };
        share(self.cpu, capacity.cpu)
            .max(share(self.memory, capacity.memory))
            .max(share(self.accelerators, capacity.accelerators))
    }
}

/// One step of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task uses on its worker.
    pub need: ResourceVector,
    /// Declared run time of a task, in milliseconds; often far from the actual one.
    pub estimate_ms: u64,
    /// Positions of earlier steps that must be complete first.
    pub after: Vec<u16>,
    /// Whether tasks save checkpoints and can resume from them.
    pub is_resumable: bool,
    /// Whether the tasks must all run at the same time.
    pub is_gang: bool,
    /// Whether the gang is slower when it spans racks.
    pub wants_one_rack: bool,
    /// Label that a worker must have.
    pub required_label: Option<String>,
    /// Rack that holds the input data; tasks take longer elsewhere.
    pub data_rack: Option<String>,
    /// Largest number of tasks of the step on one worker; 0 for no limit.
    pub per_worker_max: u32,
    /// Whether several runs of the same task may be active at the same time.
    pub allows_copies: bool,
    /// Whether the tasks run until the job is cancelled.
    pub is_service: bool,
    /// Program that the tasks run; tasks with the same image are expected to behave alike.
    pub image: String,
    /// Upper limit for the tail latency of a service task, in milliseconds; 0 for none.
    pub target_ms: u64,
    /// Whether the tasks use only processor time that other tasks leave idle.
    pub is_best_effort: bool,
    /// Number of service tasks that the system itself may take down at the same time.
    pub disruption_budget: u32,
}

impl StepSpec {
    /// Resources that a task reserves on its worker: no processor time if it is best-effort.
    pub fn reservation(&self) -> ResourceVector {
        match self.is_best_effort {
            true => ResourceVector { cpu: 0, ..self.need },
            false => self.need,
        }
    }
}

/// Start times of a scheduled job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSchedule {
    /// Number of times that the steps run.
    pub occurrences: u32,
    /// When the first occurrence is due, in milliseconds since the epoch.
    pub first_ms: u64,
    /// Time between two occurrences, in milliseconds.
    pub interval_ms: u64,
}

/// A job as its caller submitted it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Opaque text that is passed to the tasks.
    pub payload: String,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// When the job runs; `None` to run it at once.
    pub schedule: Option<JobSchedule>,
}

/// Why a job specification is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpecFault {
    /// No steps, or too many.
    StepCount,
    /// A step without tasks, or too many tasks in all.
    TaskCount,
    /// The payload is too long.
    Payload,
    /// A step depends on itself or on a later step, or more than once on the same step.
    StepOrder,
    /// The schedule has no occurrences, too many, or several without an interval.
    Schedule,
}

impl JobSpec {
    /// Checks for faults with which no worker could ever run the job.
    ///
    /// # Errors
    /// The first fault that was found.
    pub fn check(&self) -> Result<(), SpecFault> {
        if self.steps.is_empty() || self.steps.len() > STEPS_MAX {
            return Err(SpecFault::StepCount);
        }
        if self.payload.len() > PAYLOAD_BYTES_MAX {
            return Err(SpecFault::Payload);
        }
        if self.task_count() > TASKS_MAX || self.steps.iter().any(|step| step.count == 0) {
            return Err(SpecFault::TaskCount);
        }
        for (position, step) in self.steps.iter().enumerate() {
            let is_early = |earlier: &u16| usize::from(*earlier) < position;
            if step.after.len() > position || !step.after.iter().all(is_early) {
                return Err(SpecFault::StepOrder);
            }
        }
        match &self.schedule {
            Some(schedule) if schedule.occurrences == 0 => Err(SpecFault::Schedule),
            Some(schedule) if schedule.occurrences > OCCURRENCES_MAX => Err(SpecFault::Schedule),
            Some(schedule) if schedule.occurrences > 1 && schedule.interval_ms == 0 => {
                Err(SpecFault::Schedule)
            }
            _ => Ok(()),
        }
    }

    /// Number of tasks of one occurrence.
    pub fn task_count(&self) -> usize {
        let count = |step: &StepSpec| usize::try_from(step.count).unwrap_or(usize::MAX);
        self.steps.iter().map(count).fold(0, usize::saturating_add)
    }

    /// Memory that the job takes, about, in bytes.
    pub fn bytes(&self) -> usize {
        self.text_bytes() + self.steps.len() * size_of::<StepSpec>()
    }

    /// Whether the job is larger than an ordinary one.
    pub fn is_large(&self) -> bool {
        self.text_bytes() > ORDINARY_BYTES
    }

    /// Bytes of its texts and lists; an encoded job is no smaller.
    fn text_bytes(&self) -> usize {
        let text = |text: &Option<String>| text.as_ref().map_or(0, String::len);
        let steps = self.steps.iter().map(|step| {
            step.image.len() + text(&step.required_label) + text(&step.data_rack) + step.after.len()
        });
        self.payload.len() + steps.sum::<usize>()
    }

    /// Memory that the job takes from when it is accepted to its end, about, in bytes: at the leader
    /// each task has a state of its own.
    pub fn kept(&self) -> KeptBytes {
        self.kept_with(self.task_count().saturating_mul(TASK_BYTES))
    }

    /// The same after its end, while callers may still ask for it.
    pub fn kept_ended(&self) -> KeptBytes {
        self.kept_with(0)
    }

    fn kept_with(&self, task_bytes: usize) -> KeptBytes {
        let all = self.bytes().saturating_add(task_bytes);
        KeptBytes { all, large: if self.is_large() { all } else { 0 } }
    }

    /// Number of times that the steps run; 1 without a schedule.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// When an occurrence is due, in milliseconds since the epoch; 0 for at once.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        self.schedule.map_or(0, |schedule| {
            let later_ms = u64::from(occurrence).saturating_mul(schedule.interval_ms);
            schedule.first_ms.saturating_add(later_ms)
        })
    }
}

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSubmission {
    /// Name of the queue that it was submitted to.
    pub queue: Arc<str>,
    /// Pool that served the queue when the job was accepted.
    pub service: Arc<str>,
    /// When an entry accepted it, in milliseconds since the epoch on that entry's clock.
    pub accepted_ms: u64,
    /// The specification; empty once the job is finished.
    pub spec: JobSpec,
    /// Task count of a finished job, kept for operators; 0 while the specification is present.
    pub kept_task_count: usize,
    /// Organisation of the caller; `None` for a queue that needs no API key.
    pub organisation: Option<Arc<str>>,
}

impl JobSubmission {
    /// A copy without the specification, to be stored for a finished job.
    pub fn without_spec(&self) -> JobSubmission {
        let spec = JobSpec { payload: String::new(), steps: Vec::new(), schedule: None };
        JobSubmission { spec, kept_task_count: self.task_count(), ..self.clone() }
    }

    /// Number of tasks of one occurrence, also of a finished job.
    pub fn task_count(&self) -> usize {
        if self.has_no_spec() { self.kept_task_count } else { self.spec.task_count() }
    }

    /// Whether this is the remainder of a finished job. Submitted jobs have at least one step.
    pub fn has_no_spec(&self) -> bool {
        self.spec.steps.is_empty()
    }
}

/// How a run of a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ExitKind {
    /// It completed its work.
    Done,
    /// It failed, through its own fault or that of the worker.
    Failed,
    /// It was stopped on request.
    Stopped,
    /// Its lease expired.
    LeaseExpired,
    /// Another member of its gang ended.
    GangBroken,
    /// The rest of its gang did not start in time.
    GangIncomplete,
}

/// State of a job as shown to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has started yet.
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks are complete.
    Completed,
    /// The job was given up after a task failed too often.
    Failed,
    /// It was cancelled.
    Cancelled,
}

impl JobState {
    /// Whether no task of the job will run again.
    pub fn is_final(self) -> bool {
        matches!(self, JobState::Completed | JobState::Failed | JobState::Cancelled)
    }
}
