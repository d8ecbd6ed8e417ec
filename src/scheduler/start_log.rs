//! Counts what becomes of starts, and tells what holds back those that are owed.
//!
//! A leader can begin many tasks while what waits does not fall: because the same tasks begin again,
//! because others take their place, or because what waits can't begin yet. Nothing is decided here.

use std::collections::BTreeMap;
use std::fmt;

use crate::decide::admission::is_counted;
use crate::jobs::model::TaskKey;
use crate::scheduler::Scheduler;
use crate::scheduler::job::JobRun;

/// Times that starts have spent in one stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StageTime {
    starts: u64,
    sum_ms: u64,
}

impl StageTime {
    fn record(&mut self, ms: u64) {
        self.starts += 1;
        self.sum_ms += ms;
    }

    /// Mean time, in milliseconds; `None` without any start.
    pub fn mean_ms(&self) -> Option<u64> {
        self.sum_ms.checked_div(self.starts)
    }
}

/// What became of starts since the counts were last taken.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BeginCounts {
    /// Runs that were placed.
    pub placed: u64,
    /// Runs that workers confirmed.
    pub begun: u64,
    /// Those of tasks of which an earlier run had begun.
    pub begun_again: u64,
    /// Sum of the times from placement to confirmation, in milliseconds.
    pub wait_ms: u64,
    /// From placement until the log has it.
    pub stored: StageTime,
    /// From then until the start is handed out for the first time.
    pub handed_out: StageTime,
    /// From then until the worker has confirmed it.
    pub answered: StageTime,
    /// Tasks that are done.
    pub done: u64,
    /// Runs whose tasks have to begin again, and starts that have to be sent again, by reason.
    pub returned: ReturnCounts,
    /// Jobs that were accepted.
    pub accepted: u64,
    /// Jobs that this leader rejected.
    pub rejected: u64,
}

impl BeginCounts {
    /// Tasks that began for the first time.
    pub fn begun_first(&self) -> u64 {
        self.begun.saturating_sub(self.begun_again)
    }
}

/// Returned runs by reason.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReturnCounts {
    /// Runs by reason: all, and those of them that had begun.
    pub by_reason: BTreeMap<&'static str, (u64, u64)>,
}

impl fmt::Display for ReturnCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, (reason, (all, begun))) in self.by_reason.iter().enumerate() {
            let gap = if position == 0 { "" } else { "; " };
            write!(f, "{gap}{reason} {all} ({begun} begun)")?;
        }
        Ok(())
    }
}

/// Counts since they were last taken.
#[derive(Debug, Default)]
pub(crate) struct BeginLog {
    counts: BeginCounts,
}

impl BeginLog {
    /// Records a placement.
    pub fn record_placed(&mut self) {
        self.counts.placed += 1;
    }

    /// Records that the log has a run this long after its placement, in milliseconds.
    pub fn record_stored(&mut self, ms: u64) {
        self.counts.stored.record(ms);
    }

    /// Records that a start was handed out this long after the log had it, in milliseconds.
    pub fn record_handed_out(&mut self, ms: u64) {
        self.counts.handed_out.record(ms);
    }

    /// Records that a run was confirmed this long after its placement, and after its start was handed
    /// out, in milliseconds.
    pub fn record_begun(&mut self, wait_ms: u64, path_ms: u64, is_first: bool) {
        self.counts.answered.record(path_ms);
        self.counts.begun += 1;
        self.counts.begun_again += u64::from(!is_first);
        self.counts.wait_ms += wait_ms;
    }

    /// Records that a task is done.
    pub fn record_done(&mut self) {
        self.counts.done += 1;
    }

    /// Records that a run has to be followed by another one, or its start to be sent again.
    pub fn record_returned(&mut self, reason: &'static str, has_begun: bool) {
        let (all, begun) = self.counts.returned.by_reason.entry(reason).or_default();
        *all += 1;
        *begun += u64::from(has_begun);
    }

    /// Records that a job was accepted.
    pub fn record_accepted(&mut self) {
        self.counts.accepted += 1;
    }

    /// Records that this leader rejected jobs.
    pub fn record_rejected(&mut self, jobs: usize) {
        self.counts.rejected += u64::try_from(jobs).unwrap_or(u64::MAX);
    }
}

/// Tasks that are owed a start, by what each of them waits for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwedTasks {
    /// They may be placed.
    pub ready: u64,
    /// No worker of their pool has room for one.
    pub pool_full: u64,
    /// An earlier step is not done.
    pub later_step: u64,
    /// They are placed, and their starts were not handed out to be sent.
    pub placed: u64,
    /// Their starts were handed out, and no worker has confirmed them.
    pub sent: u64,
    /// The cap of their organisation; these don't count as owed.
    pub capped: u64,
}

impl OwedTasks {
    /// Tasks that count as owed.
    pub fn total(&self) -> u64 {
        let parts = [self.ready, self.pool_full, self.later_step, self.placed, self.sent];
        parts.into_iter().fold(0, u64::saturating_add)
    }

    /// Adds the tasks of others.
    pub(crate) fn add(&mut self, other: &OwedTasks) {
        self.ready = self.ready.saturating_add(other.ready);
        self.pool_full = self.pool_full.saturating_add(other.pool_full);
        self.later_step = self.later_step.saturating_add(other.later_step);
        self.placed = self.placed.saturating_add(other.placed);
        self.sent = self.sent.saturating_add(other.sent);
        self.capped = self.capped.saturating_add(other.capped);
    }
}

/// What limits starts at the moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartStatus {
    /// Tasks that are owed a start, as of the last planning of the pools.
    pub owed: OwedTasks,
    /// Tasks that are owed a start by now, as admission counts them.
    pub waiting: u64,
    /// Jobs that are owed a start and of which nothing is at work.
    pub idle_jobs: u64,
    /// Starts that wait to be handed out, and most of them.
    pub queued: usize,
    /// See `queued`.
    pub queued_max: Option<usize>,
    /// Starts that are handed out and have not begun.
    pub sent: usize,
    /// Most of them.
    pub sent_max: Option<usize>,
    /// What sets the limit on those that wait: `starts` that are slow, `takeover` by a leader that does not know
    /// its rate, `commands` that wait for the command window, or `none`.
    pub limited_by: &'static str,
    /// Begins a second in the last seconds.
    pub lasting_rate: u64,
    /// Those of them that were the first of their tasks, of the steps that count as owed.
    pub progress_rate: u64,
    /// Rate that is remembered from when starts were limited.
    pub short_rate: Option<u64>,
}

impl Scheduler {
    /// Takes the counts of what became of starts.
    pub fn take_begin_counts(&mut self) -> BeginCounts {
        std::mem::take(&mut self.begins.counts)
    }

    /// What limits starts.
    pub fn start_status(&self, now: u64) -> StartStatus {
        let starts = &self.line.starts;
        let queued_max = self.queued_starts_max();
        let limited_by = match queued_max {
            None => "none",
            most if most == starts.queued_max() => "starts",
            most if most == self.line.first_queued_max() => "takeover",
            _ => "commands",
        };
        let owed = self.owed_starts(now);
        StartStatus {
            owed: self.line.owed_tasks(),
            waiting: owed.tasks,
            idle_jobs: owed.jobs,
            queued: self.queued_starts(),
            queued_max,
            sent: self.sent_starts,
            sent_max: starts.sent_max(),
            limited_by,
            lasting_rate: starts.lasting_rate(),
            progress_rate: self.line.progress.rate(),
            short_rate: starts.short_rate(),
        }
    }

    /// Records that a run was confirmed this long after its placement and after its start was handed out, in
    /// milliseconds.
    pub(crate) fn record_task_begin(
        &mut self,
        key: &TaskKey,
        wait_ms: u64,
        path_ms: u64,
        now: u64,
    ) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let is_owed = job.spec(key).is_some_and(is_counted);
        let Some(task) = job.task_mut(key) else { return };
        let is_first = task.begin();
        self.begins.record_begun(wait_ms, path_ms, is_first);
        self.line.starts.record_whole(wait_ms, now);
        self.line.record_begin(is_owed, is_first, path_ms, now);
    }

    /// Removes a run whose task has to begin again for this reason, unless it is done or over.
    pub(crate) fn return_run(&mut self, key: &TaskKey, run: u32, reason: &'static str, now: u64) {
        let live = self.live_run(key, run).map(|live| live.begun_ms > 0 || live.is_listed);
        let is_open = |job: &JobRun| {
            !job.state.is_final()
                && job.task(key).is_some_and(|task| !task.is_done && task.live.len() == 1)
        };
        if let Some(has_begun) = live
            && let Some(job) = self.jobs.get(&key.job).filter(|job| is_open(job))
        {
            self.begins.record_returned(reason, has_begun);
            if let Some(spec) = job.spec(key).filter(|_| has_begun) {
                self.line.record_returned(spec);
            }
        }
        self.remove_run(key, run, now);
    }
}
