//! Status of an entry and of single jobs, for operators.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::jobs::job_table::LoggedJob;
use crate::jobs::model::{JobId, JobState};
use crate::jobs::node::JobNode;
use crate::scheduler::overview::LeaderOverview;

/// A queue, according to this entry's replica of the job log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueStatus {
    /// Its name.
    pub name: Arc<str>,
    /// Pool that runs its tasks.
    pub pool: Arc<str>,
    /// Number of jobs of which no task has started.
    pub waiting: u64,
}

/// Status of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Its name.
    pub entry: Arc<str>,
    /// Its data centre.
    pub centre: Arc<str>,
    /// Whether load balancers may send callers to it.
    pub is_ready: bool,
    /// Version of the configuration in force; `None` before one was read.
    pub config: Option<u64>,
    /// Time since the start of the latest read that confirmed the configuration to be the newest,
    /// in milliseconds. Decides whether API keys may be honoured.
    #[serde(default)]
    pub config_age_ms: Option<u64>,
    /// Time since the log last answered, in milliseconds; `None` if it never did.
    pub log_age_ms: Option<u64>,
    /// Address of the leader as known to this entry, if another entry leads.
    pub leader: Option<SocketAddr>,
    /// All queues.
    pub queues: Vec<QueueStatus>,
    /// Submissions that this entry rejected for the backlog of their pool, by pool.
    #[serde(default)]
    pub rejections: BTreeMap<Arc<str>, u64>,
    /// State of the scheduler, if this entry leads.
    pub leading: Option<LeaderOverview>,
}

/// A run that may be alive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStatus {
    /// Name of the task.
    pub task: String,
    /// Run number.
    pub run: u32,
    /// Id of the worker.
    pub worker: Arc<str>,
}

/// A job, according to this entry's replica of the job log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Its id.
    pub job: String,
    /// Its queue.
    pub queue: Arc<str>,
    /// Its state.
    pub state: JobState,
    /// When it was accepted, in milliseconds since the epoch.
    pub accepted_ms: u64,
    /// When it ended, in milliseconds since the epoch; 0 while it has not.
    pub ended_ms: u64,
    /// Term of the leader that wrote its progress; 0 before any.
    pub term: u64,
    /// Number of tasks of one occurrence.
    pub tasks: usize,
    /// Number of complete steps, over all occurrences that are in progress.
    pub steps_done: usize,
    /// Number of runs that ended in failure, in steps that are in progress.
    pub failures: u32,
    /// Runs that may be alive.
    pub runs: Vec<RunStatus>,
}

/// Status of this entry.
pub fn entry_status(node: &JobNode) -> EntryStatus {
    let config = node.config();
    let now = node.now();
    let waiting = |name: &str| node.job_table().waiting_jobs(name);
    let queues = config.iter().flat_map(|config| &config.queues).map(|queue| QueueStatus {
        name: queue.name.clone(),
        pool: queue.service.clone(),
        waiting: waiting(&queue.name),
    });
    EntryStatus {
        entry: node.settings.node.clone(),
        centre: node.settings.centre.clone(),
        is_ready: node.is_ready(),
        config: config.as_ref().map(|config| config.version),
        config_age_ms: node.config_age_ms(),
        log_age_ms: node.log_age_ms(),
        leader: node.leader(),
        queues: queues.collect(),
        rejections: node.metrics.rejections(),
        leading: node.with_scheduler(|scheduler| scheduler.overview(now)),
    }
}

/// Status of a job; `None` if this entry does not know it.
pub fn job_status(node: &JobNode, id: JobId) -> Option<JobStatus> {
    let table = node.job_table();
    let job = table.get(id)?;
    let submission = job.submission.as_ref()?;
    let progress = job.progress.as_ref();
    let failures =
        progress.map_or(0, |progress| progress.tasks.iter().map(|task| task.failures).sum());
    Some(JobStatus {
        job: id.to_string(),
        queue: submission.queue.clone(),
        state: job.state()?,
        accepted_ms: submission.accepted_ms,
        ended_ms: progress.map_or(0, |progress| progress.ended_ms),
        term: progress.map_or(0, |progress| progress.term),
        tasks: submission.task_count(),
        steps_done: progress.map_or(0, |progress| progress.steps_done.len()),
        failures,
        runs: live_runs(id, job),
    })
}

fn live_runs(id: JobId, job: &LoggedJob) -> Vec<RunStatus> {
    let mut runs = Vec::new();
    let Some(progress) = &job.progress else { return runs };
    for task in &progress.tasks {
        for (position, run) in &task.live {
            let Some(worker) = progress.workers.get(usize::from(*position)) else { continue };
            let name = format!("{id}.{}.{}.{}", task.occurrence, task.step, task.index);
            runs.push(RunStatus { task: name, run: *run, worker: worker.clone() });
        }
    }
    runs
}
