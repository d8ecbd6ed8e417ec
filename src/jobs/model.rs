//! What a job is: steps of tasks, what each task needs, and how tasks are named.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Most steps of a job; one more is refused as malformed.
pub const STEPS_MAX: usize = 256;
/// Most tasks that a job may have under way, over all its steps and occurrences that have begun. The
/// progress of each takes up to 95 bytes of one record, its setbacks 24 more, and the log takes
/// records of 262,144 bytes: one that did not fit would be refused for ever, and no commit would come after
/// it.
pub const TASKS_MAX: usize = 2_000;
/// Longest checkpoint that is kept, in bytes; those that workers give have 16.
pub const CHECKPOINT_BYTES_MAX: usize = 64;
/// Longest text that a job hands to its tasks, in bytes.
pub const PAYLOAD_BYTES_MAX: usize = 4_000;
/// Times that a scheduled job may run.
pub const OCCURRENCES_MAX: u32 = 100_000;

/// A job's id, chosen by its caller: 16 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobId(u64);

impl JobId {
    /// Reads 16 hexadecimal digits in lower case.
    pub fn parse(text: &str) -> Option<JobId> {
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != 16 || !text.bytes().all(is_digit) {
            return None;
        }
        u64::from_str_radix(text, 16).ok().map(JobId)
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

/// Names one task: job, occurrence, step and index in the step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskKey {
    /// The job.
    pub job: JobId,
    /// Which run of a scheduled job; 0 for all others.
    pub occurrence: u32,
    /// Position of the step, from 0.
    pub step: u16,
    /// Position in the step, from 0.
    pub index: u32,
}

impl TaskKey {
    /// Reads `JOB.OCCURRENCE.STEP.INDEX`.
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

/// Names one step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StepKey {
    /// The job.
    pub job: JobId,
    /// Which run of a scheduled job.
    pub occurrence: u32,
    /// Position of the step, from 0.
    pub step: u16,
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// An amount of each resource of a VM.
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
    /// Whether `other` fits into this.
    pub fn covers(&self, other: &ResourceVector) -> bool {
        self.cpu >= other.cpu
            && self.memory >= other.memory
            && self.accelerators >= other.accelerators
    }

    /// Adds an amount.
    pub fn add(&mut self, other: &ResourceVector) {
        self.cpu += other.cpu;
        self.memory += other.memory;
        self.accelerators += other.accelerators;
    }

    /// What is left when an amount is taken, nothing below zero.
    pub fn saturating_sub(&self, other: &ResourceVector) -> ResourceVector {
        ResourceVector {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The amount taken `count` times.
    pub fn times(&self, count: u64) -> ResourceVector {
        ResourceVector {
            cpu: self.cpu * count,
            memory: self.memory * count,
            accelerators: self.accelerators * count,
        }
    }

    /// A hundredth of the amount.
    pub fn hundredth(&self) -> ResourceVector {
        ResourceVector {
            cpu: self.cpu / 100,
            memory: self.memory / 100,
            accelerators: self.accelerators / 100,
        }
    }

    /// Of each resource the larger amount.
    pub fn component_max(&self, other: &ResourceVector) -> ResourceVector {
        ResourceVector {
            cpu: self.cpu.max(other.cpu),
            memory: self.memory.max(other.memory),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// The largest share of `capacity` that this takes in any resource, in thousandths.
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
    /// Tasks of the step.
    pub count: u32,
    /// What each task takes of a worker.
    pub need: ResourceVector,
    /// Declared run time of a task, in milliseconds; often far off.
    pub estimate_ms: u64,
    /// Earlier steps whose tasks must all be done first.
    pub after: Vec<u16>,
    /// Whether tasks save their progress and can resume.
    pub is_resumable: bool,
    /// Whether the tasks work only together.
    pub is_gang: bool,
    /// Whether the gang is slower when it spans racks.
    pub wants_one_rack: bool,
    /// Label that a worker must have.
    pub required_label: Option<String>,
    /// Rack where the data lies; elsewhere the tasks take longer.
    pub data_rack: Option<String>,
    /// Most tasks of the step on one worker; 0 for no bound.
    pub per_worker_max: u32,
    /// Whether copies of a task may run at the same time.
    pub allows_copies: bool,
    /// Whether the tasks run until the job is cancelled.
    pub is_service: bool,
    /// Program that the tasks run; tasks of one program behave alike.
    pub image: String,
    /// Bound for the tail latency of a service task, in milliseconds; 0 for none.
    pub target_ms: u64,
    /// Whether the tasks take only processor time that others leave.
    pub is_best_effort: bool,
    /// Service tasks that may be away at once by the system's own doing.
    pub disruption_budget: u32,
}

impl StepSpec {
    /// What a task counts against a worker's capacity.
    pub fn reservation(&self) -> ResourceVector {
        match self.is_best_effort {
            true => ResourceVector { cpu: 0, ..self.need },
            false => self.need,
        }
    }
}

/// When a scheduled job runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSchedule {
    /// Times that the steps run.
    pub occurrences: u32,
    /// First due time, in milliseconds since the epoch.
    pub first_ms: u64,
    /// Time between two due times, in milliseconds.
    pub interval_ms: u64,
}

/// A job as its caller handed it in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Text for the tasks, not read here.
    pub payload: String,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// When it runs; none for at once.
    pub schedule: Option<JobSchedule>,
}

/// Why a job can't be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpecFault {
    /// No step, or too many.
    StepCount,
    /// A step with no task, or too many tasks in all.
    TaskCount,
    /// The text for the tasks is too long.
    Payload,
    /// A step waits for itself or a later one, or for one twice.
    StepOrder,
    /// The schedule has no occurrence, too many, or no interval.
    Schedule,
}

impl JobSpec {
    /// Finds what no worker could ever make sense of.
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

    /// Tasks of one occurrence.
    pub fn task_count(&self) -> usize {
        let count = |step: &StepSpec| usize::try_from(step.count).unwrap_or(usize::MAX);
        self.steps.iter().map(count).fold(0, usize::saturating_add)
    }

    /// Times that the steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// When an occurrence is due, in milliseconds since the epoch; 0 for at once.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        self.schedule
            .map_or(0, |schedule| schedule.first_ms + u64::from(occurrence) * schedule.interval_ms)
    }
}

/// A job that was accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSubmission {
    /// Name of its queue.
    pub queue: Arc<str>,
    /// Pool that the queue was served by when the job was accepted.
    pub service: Arc<str>,
    /// When an entry accepted it, in milliseconds since the epoch by that entry's clock.
    pub accepted_ms: u64,
    /// What it is; empty once the job is over.
    pub spec: JobSpec,
    /// Tasks of a job that is over, for operators; 0 while the spec tells.
    pub kept_task_count: usize,
    /// Organisation of the caller; none for a queue that is open to all.
    pub organisation: Option<Arc<str>>,
}

impl JobSubmission {
    /// The same without its text and steps, for a job that is over.
    pub fn without_spec(&self) -> JobSubmission {
        let spec = JobSpec { payload: String::new(), steps: Vec::new(), schedule: None };
        JobSubmission { spec, kept_task_count: self.task_count(), ..self.clone() }
    }

    /// Tasks of one occurrence, also of a job that is over.
    pub fn task_count(&self) -> usize {
        if self.has_no_spec() { self.kept_task_count } else { self.spec.task_count() }
    }

    /// Whether it is what is kept of a job that is over: no caller's job has no step.
    pub fn has_no_spec(&self) -> bool {
        self.spec.steps.is_empty()
    }
}

/// How a run of a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ExitKind {
    /// It did its work.
    Done,
    /// It failed by its own fault or the worker's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its lease ran out.
    LeaseExpired,
    /// Another member of its gang ended.
    GangBroken,
    /// It waited in vain for the rest of its gang.
    GangIncomplete,
}

/// What a caller may be told of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has used up its attempts.
    Failed,
    /// It was cancelled.
    Cancelled,
}

impl JobState {
    /// Whether nothing of the job will run again.
    pub fn is_final(self) -> bool {
        matches!(self, JobState::Completed | JobState::Failed | JobState::Cancelled)
    }
}
