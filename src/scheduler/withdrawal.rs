//! Withdraws starts that can't be sent in time, or that a lowered cap has no room for.
//!
//! Guards against tasks that were placed before starts were known to be slow, or under a higher limit:
//! they would be sent first come, first served, and a job that has nothing at work would wait behind all
//! of them. A start that was not handed out yet can be taken back, since no worker knows of it.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::jobs::model::TaskKey;
use crate::scheduler::job::{JobRun, LiveRun, RunPhase};
use crate::scheduler::{Scheduler, SchedulerEvent};

/// A start that can be taken back; the order is that in which starts are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct UnsentStart {
    /// Runs of its job that are at work or are to start before it.
    before: usize,
    placed_ms: u64,
    task: TaskKey,
    run: u32,
}

impl Scheduler {
    /// Withdraws the starts beyond the limit and half of it: those of jobs with the most runs at work or to be
    /// started before them, and of these the latest. A limit that moves a little withdraws none.
    pub(crate) fn withdraw_starts(&mut self, now: u64) {
        let Some(most) = self.queued_starts_max() else { return };
        let excess = self.queued_starts().saturating_sub(most + most / 2);
        if excess == 0 {
            return;
        }
        let mut unsent: Vec<UnsentStart> = self.jobs.values().flat_map(unsent_starts).collect();
        unsent.sort_unstable_by_key(|start| Reverse(*start));
        unsent.truncate(excess);
        if unsent.is_empty() {
            return;
        }
        for start in &unsent {
            self.return_run(&start.task, start.run, "withdrawn", now);
        }
        self.emit(SchedulerEvent::StartsWithdrawn { count: unsent.len(), most });
    }
}

impl Scheduler {
    /// Withdraws starts of organisations that have more placed than their caps allow, the latest first: what
    /// is at work goes on, and nothing is added to it.
    pub(crate) fn withdraw_beyond_caps(&mut self, now: u64) {
        let over: BTreeSet<Arc<str>> = self.organisations.beyond_caps().collect();
        if over.is_empty() {
            return;
        }
        let of_organisation = |job: &&JobRun| {
            job.submission.organisation.as_ref().is_some_and(|name| over.contains(name))
        };
        let mut unsent: Vec<(u64, TaskKey, u32)> = Vec::new();
        for job in self.jobs.values().filter(of_organisation) {
            for key in job.live_tasks() {
                let live = job.task(&key).into_iter().flat_map(|task| &task.live);
                let booked = live.filter(|live| live.is_booked() && !live.is_sent);
                unsent.extend(booked.map(|live| (live.order, key, live.run)));
            }
        }
        unsent.sort_unstable_by_key(|start| Reverse(*start));
        for (_, key, run) in unsent {
            let job = self.jobs.get(&key.job);
            let organisation = job.and_then(|job| job.submission.organisation.as_deref());
            if organisation.is_some_and(|name| self.organisations.is_beyond_cap(name)) {
                self.return_run(&key, run, "beyond its cap", now);
            }
        }
    }
}

/// The starts of a job that were not handed out. Those of services and gangs stay.
fn unsent_starts(job: &JobRun) -> Vec<UnsentStart> {
    let mut unsent = Vec::new();
    if job.state.is_final() {
        return unsent;
    }
    // Runs at work and starts on their way.
    let mut ahead = 0;
    for (occurrence, run) in &job.occurrences {
        for (position, (spec, step)) in job.submission.spec.steps.iter().zip(&run.steps).enumerate()
        {
            let counts = step.counts();
            ahead += counts.at_work + counts.booked;
            if counts.booked == 0 || spec.is_service || spec.is_gang {
                continue;
            }
            for (index, task) in step.tasks.iter().enumerate() {
                let is_unsent = |live: &&LiveRun| live.phase == RunPhase::Starting && !live.is_sent;
                for live in task.live.iter().filter(is_unsent) {
                    let key = job.key(*occurrence, position, index);
                    let (placed_ms, run) = (live.placed_ms, live.run);
                    unsent.push(UnsentStart { before: 0, placed_ms, task: key, run });
                }
            }
        }
    }
    unsent.sort_unstable();
    ahead -= unsent.len();
    for (position, start) in unsent.iter_mut().enumerate() {
        start.before = ahead + position;
    }
    unsent
}
