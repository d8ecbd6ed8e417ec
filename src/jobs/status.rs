//! What operators can ask an entry of the job side: how it is, and one job by its id.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::jobs::job_table::LoggedJob;
use crate::jobs::model::{JobId, JobState};
use crate::jobs::node::JobNode;
use crate::scheduler::overview::LeaderOverview;

/// One queue, as this entry's copy of the log tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueStatus {
    /// Its name.
    pub name: Arc<str>,
    /// Pool that runs its tasks.
    pub pool: Arc<str>,
    /// Jobs of which no task has started.
    pub waiting: u64,
}

/// One entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Its name.
    pub entry: Arc<str>,
    /// Its data centre.
    pub centre: Arc<str>,
    /// Whether callers may be sent to it.
    pub is_ready: bool,
    /// Version of the configuration in force; nothing before one was read.
    pub config: Option<u64>,
    /// Time since the start of the newest reading that showed the configuration to be the newest, in milliseconds:
    /// by its age keys are honoured or not.
    #[serde(default)]
    pub config_age_ms: Option<u64>,
    /// Time since the log last answered, in milliseconds; nothing if it never did.
    pub log_age_ms: Option<u64>,
    /// Where it takes the leader to be, if that is another entry.
    pub leader: Option<SocketAddr>,
    /// Queues.
    pub queues: Vec<QueueStatus>,
    /// What it believes as the leader, if it leads.
    pub leading: Option<LeaderOverview>,
}

/// A run that may be alive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStatus {
    /// Name of the task.
    pub task: String,
    /// Number of the run.
    pub run: u32,
    /// Worker.
    pub worker: Arc<str>,
}

/// One job, as this entry's copy of the log tells.
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
    /// Tasks of all steps of one occurrence.
    pub tasks: usize,
    /// Steps that are done, over all occurrences under way.
    pub steps_done: usize,
    /// Runs that ended in failure, of steps under way.
    pub failures: u32,
    /// Runs that may be alive.
    pub runs: Vec<RunStatus>,
}

/// How an entry is.
pub fn entry_status(node: &JobNode) -> EntryStatus {
    let config = node.config();
    let now = node.now();
    let waiting = |name: &str| node.book().waiting_jobs(name);
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
        leading: node.with_scheduler(|scheduler| scheduler.overview(now)),
    }
}

/// One job; nothing if this entry does not know it.
pub fn job_status(node: &JobNode, id: JobId) -> Option<JobStatus> {
    let book = node.book();
    let job = book.get(id)?;
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
