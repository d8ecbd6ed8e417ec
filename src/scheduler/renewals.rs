//! Renewal of workers' leases, and handling of the reports that answer the renewals.

use std::sync::Arc;
use std::time::Duration;

use crate::decide::admission::is_counted;
use crate::decide::lateness::answer_extra_ms;
use crate::jobs::model::{CHECKPOINT_BYTES_MAX, ExitKind, JobState, TaskKey};
use crate::jobs::ports::{
    CommandOutcome, CommandRefusal, LATE_ANSWER_GRACE, RenewCall, RunningTask, TaskExit,
    WorkerReport, WorkerTarget,
};
use crate::scheduler::job::{LiveRun, RunPhase, TaskRun};
use crate::scheduler::losses::{CRASH_WINDOW_MS, IncarnationEnd};
use crate::scheduler::worker::WorkerState;
use crate::scheduler::{LATE_AGE_MS, Scheduler, SchedulerEvent};

/// Longest wait for an exit in one renewal. It is also the interval at which a worker's silence is
/// noticed and its gauges are read; shorter waits cost a call each.
const RENEW_WAIT: Duration = Duration::from_millis(500);
/// The same while a suspect is on probation on the worker: nothing else starts there before its
/// report.
const PROBATION_WAIT: Duration = Duration::from_millis(CRASH_WINDOW_MS);
/// Time for an answer beyond the requested wait.
const RENEW_TIMEOUT: Duration = Duration::from_millis(300);
/// Limits of both while answers queue on the leader's own link. The wait grows by this multiple of
/// the queueing delay.
const RENEW_WAIT_MAX: Duration = Duration::from_millis(1_600);
const RENEW_WAIT_FACTOR: u32 = 10;
/// Limits of both while the leader's loop is late. Its calls and answers are then lost more often,
/// and three tries must fit into a lease of six seconds.
const LATE_WAIT_MAX: Duration = Duration::from_millis(1_000);
const LATE_TIMEOUT_MAX: Duration = Duration::from_millis(900);
pub(crate) const RENEW_TIMEOUT_MAX: Duration = Duration::from_millis(1_500);
/// Time beyond the estimate by a worker's own answers, as answers that all take the same time have no
/// deviation.
pub(crate) const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// Longest time that an answer can have been in flight when it is read, in milliseconds.
pub(crate) const ANSWER_AGE_MAX_MS: u64 =
    whole_ms(RENEW_WAIT_MAX) + whole_ms(RENEW_TIMEOUT_MAX) + whole_ms(LATE_ANSWER_GRACE);
/// Least time between two renewals of a worker, in milliseconds: exits that come together then
/// share one call and one append.
const RENEW_INTERVAL_MS: u64 = 40;
/// Largest increase of this time while answers queue on the leader's own link, in milliseconds.
const QUEUE_INTERVAL_MAX_MS: u64 = 200;
/// The same for a worker whose exits can't be acknowledged: each report lists all of them again, at
/// once.
const WITHHELD_INTERVAL_MS: u64 = 400;
/// Time between two attempts to reach a worker that doesn't answer, in milliseconds.
const SILENT_INTERVAL_MS: u64 = 150;
/// Age of a worker's last report from which the next renewal does not wait, in milliseconds, longer
/// than any renewal takes: the worker was idle, and its clock must be sampled again before its
/// first start is sent.
const IDLE_REPORT_MS: u64 = 4_000;
/// Time that exits may wait for the log before the leases are renewed anyway, in milliseconds.
const COMMIT_WAIT_MS: u64 = 400;
/// Most exits in one report, as the platform specifies; a full report may hide others.
const REPORT_EXITS_MAX: usize = 500;
/// First backoff before a failed service task is started again, in milliseconds.
const SERVICE_BACKOFF_MS: u64 = 100;
/// Longest backoff, in milliseconds: well under the six seconds in which the task must be back.
const SERVICE_BACKOFF_MAX_MS: u64 = 1_500;

/// The next step in renewing a worker's leases.
#[derive(Clone, Debug)]
pub enum RenewPlan {
    /// Call it, with this timeout beyond the wait of the call.
    Call(WorkerTarget, RenewCall, Duration),
    /// Plan again after this time, or when woken.
    Wait(Duration),
    /// Its incarnation has ended, or it is no longer listed.
    Stop,
}

impl Scheduler {
    /// The next step in renewing a worker's leases.
    pub fn renew_plan(&mut self, id: &Arc<str>, now: u64) -> RenewPlan {
        if self.is_deposed {
            return RenewPlan::Stop;
        }
        let Some(worker) = self.workers.get(id) else { return RenewPlan::Stop };
        if !worker.is_listed && worker.runs.is_empty() {
            return RenewPlan::Stop;
        }
        if now < worker.next_renewal_ms {
            return RenewPlan::Wait(Duration::from_millis(worker.next_renewal_ms - now));
        }
        let is_silent = worker.silent_since_ms.is_some();
        let has_unacknowledged = worker.exits_acknowledgeable() > worker.exits_acknowledged;
        if worker.has_accepted_token && !is_silent && worker.runs.is_empty() && !has_unacknowledged
        {
            return RenewPlan::Wait(Duration::from_secs(60));
        }
        // The worker would list the same exits again at once until the log has them.
        let is_waiting_for_log = worker.exits_seen > worker.exits_committed;
        // While the loop is late, a commit takes that much longer.
        let commit_wait_ms = COMMIT_WAIT_MS + answer_extra_ms(self.pace.loop_delay_ms);
        let is_recent = now < worker.report_ms + commit_wait_ms;
        if worker.has_accepted_token && is_waiting_for_log && is_recent {
            return RenewPlan::Wait(Duration::from_millis(worker.report_ms + commit_wait_ms - now));
        }
        // Leases of a worker that doesn't answer must run out, or its tasks could never be started
        // elsewhere. So must those of a worker whose runs are all to be stopped, as each stop can
        // be lost. A worker whose answers come late looks silent whenever a renewal is due.
        let is_answering_late = worker.late_answer_ms.is_some_and(|late| now < late + LATE_AGE_MS);
        let may_extend = self.is_confirmed(now)
            && (!is_silent || is_answering_late)
            && self.has_wanted_run(worker);
        let may_acknowledge = self.may_acknowledge(id);
        let learned = worker.answer_timeout();
        let (mut renew_wait, mut timeout) = (self.renew_wait(), self.renew_timeout());
        if let Some(learned) = learned.filter(|learned| *learned > timeout) {
            // Both together stay within their limits, for as many tries within a lease.
            renew_wait = renew_wait.min(self.renewal_max().saturating_sub(learned));
            timeout = learned;
        }
        let (fence, lease_ms) = (self.fence_of(id), self.lease_ms());
        let Some(worker) = self.workers.get_mut(id) else { return RenewPlan::Stop };
        let lease_until_ms = if may_extend { worker.lease_until(lease_ms, now) } else { None };
        // An exit that is already listed would end the wait at once.
        let may_wait = worker.has_accepted_token
            && !is_silent
            && !is_waiting_for_log
            && !worker.runs.is_empty()
            && !worker.has_withheld_exit();
        let wait = match may_wait {
            true if worker.has_waiting_suspect() => Duration::ZERO,
            true if now > worker.report_ms + IDLE_REPORT_MS => Duration::ZERO,
            true if worker.has_starting_suspect() => renew_wait.min(PROBATION_WAIT),
            true => renew_wait,
            false => Duration::ZERO,
        };
        let acked_exits = if may_acknowledge { worker.exits_acknowledgeable() } else { 0 };
        let call = RenewCall { fence, acked_exits, lease_until_ms, wait };
        RenewPlan::Call(worker.target(), call, timeout)
    }

    /// Whether a worker has a run that is not to be stopped.
    fn has_wanted_run(&self, worker: &WorkerState) -> bool {
        let is_stopping = |(key, run): &(TaskKey, u32)| {
            let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
            let live = task.and_then(|task| task.live.iter().find(|live| live.run == *run));
            live.is_some_and(|live| live.phase == RunPhase::Stopping)
        };
        !worker.runs.keys().all(is_stopping)
    }

    /// Requested wait for an exit. A congested link can best do without renewals that bring no
    /// change: at the shortest wait, those of a hundred workers take half of 2 Mbit/s.
    fn renew_wait(&self) -> Duration {
        let queue_delay = Duration::from_millis(self.pace.queue_delay_ms);
        let wait_max = if self.pace.loop_delay_ms > 0 { LATE_WAIT_MAX } else { RENEW_WAIT_MAX };
        (RENEW_WAIT + queue_delay * RENEW_WAIT_FACTOR).min(wait_max)
    }

    /// Time for an answer beyond that wait. Queueing delay on the leader's own link must not count
    /// as the worker's silence.
    fn renew_timeout(&self) -> Duration {
        let queue_delay = Duration::from_millis(self.pace.queue_delay_ms);
        let is_late = self.pace.loop_delay_ms > 0;
        let timeout_max = if is_late { LATE_TIMEOUT_MAX } else { RENEW_TIMEOUT_MAX };
        (RENEW_TIMEOUT + queue_delay * 2).min(timeout_max)
    }

    /// Longest time of a renewal, its wait and the time for its answer.
    fn renewal_max(&self) -> Duration {
        match self.pace.loop_delay_ms {
            0 => RENEW_WAIT_MAX + RENEW_TIMEOUT_MAX,
            _ => LATE_WAIT_MAX + LATE_TIMEOUT_MAX,
        }
    }

    /// Handles a late answer to a renewal that was sent at `sent_ms` and timed out.
    pub fn handle_late_renewal(
        &mut self,
        id: &Arc<str>,
        call: &RenewCall,
        report: WorkerReport,
        sent_ms: u64,
        now: u64,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.late_answer_ms = Some(now);
        let runs = worker.runs.len();
        let change = "answers late";
        self.emit(SchedulerEvent::Worker { worker: id.clone(), change, runs });
        self.handle_report(id, call, report, sent_ms, now);
    }

    /// Handles the outcome of a renewal that was sent at `sent_ms`.
    pub fn handle_renewal_outcome(
        &mut self,
        id: &Arc<str>,
        call: &RenewCall,
        outcome: CommandOutcome<WorkerReport>,
        sent_ms: u64,
        now: u64,
    ) {
        match outcome {
            CommandOutcome::Done(report) => self.handle_report(id, call, report, sent_ms, now),
            CommandOutcome::Refused(CommandRefusal::Fenced, _) => self.handle_fenced(id),
            CommandOutcome::Refused(CommandRefusal::WrongIncarnation, _) => {
                self.end_incarnation(id, IncarnationEnd::OtherIncarnation, now);
            }
            CommandOutcome::Refused(..) => {
                let Some(worker) = self.workers.get_mut(id) else { return };
                worker.next_renewal_ms = now + SILENT_INTERVAL_MS;
            }
            CommandOutcome::Unknown => self.handle_no_answer(id, sent_ms, now),
        }
    }

    fn handle_no_answer(&mut self, id: &Arc<str>, sent_ms: u64, now: u64) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.next_renewal_ms = now + SILENT_INTERVAL_MS;
        let was_silent = worker.silent_since_ms.is_some();
        worker.silent_since_ms.get_or_insert(sent_ms.max(worker.report_ms));
        let runs = worker.runs.len();
        self.fleet.is_list_wanted = true;
        if !was_silent {
            let change = "does not answer";
            self.emit(SchedulerEvent::Worker { worker: id.clone(), change, runs });
            self.needs_dispatch = true;
        }
    }

    fn handle_report(
        &mut self,
        id: &Arc<str>,
        call: &RenewCall,
        report: WorkerReport,
        sent_ms: u64,
        now: u64,
    ) {
        if !self.is_answer_of(id, report.started_ms, now) {
            return;
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.record_answer(Duration::from_millis(now.saturating_sub(sent_ms)), call.wait);
        let was_silent = worker.silent_since_ms.take().is_some();
        let had_accepted_token = std::mem::replace(&mut worker.has_accepted_token, true);
        if !had_accepted_token {
            worker.token_accepted_ms = now;
            self.end_other_incarnations(id, now);
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.sample_clock_since(report.clock_ms, sent_ms, now);
        worker.report_ms = now;
        worker.confirm_lease(call.lease_until_ms.unwrap_or(0));
        worker.exits_acknowledged = worker.exits_acknowledged.max(call.acked_exits);
        let has_more = !report.exits.is_empty() || !report.running.is_empty();
        // The first report under this leader's token granted no lease yet.
        let interval_ms = match had_accepted_token && !was_silent {
            true if worker.has_withheld_exit() => WITHHELD_INTERVAL_MS,
            // More exits then share a report, and reports are the larger part of the incoming
            // traffic.
            true => RENEW_INTERVAL_MS + self.pace.queue_delay_ms.min(QUEUE_INTERVAL_MAX_MS),
            false => 0,
        };
        worker.next_renewal_ms = now + if has_more { interval_ms } else { 0 };
        if !had_accepted_token || was_silent {
            self.needs_dispatch = true;
            let change = if had_accepted_token { "answers again" } else { "accepted our token" };
            let runs = self.workers.get(id).map_or(0, |worker| worker.runs.len());
            self.emit(SchedulerEvent::Worker { worker: id.clone(), change, runs });
        }
        if was_silent {
            self.revert_counted_losses(id);
        }
        let is_full = report.exits.len() >= REPORT_EXITS_MAX;
        self.handle_exits(id, &report.exits, now);
        self.record_work(id, &report, now);
        self.reconcile_runs(id, &report.running, sent_ms, is_full, now);
        self.adjust_throttles(id, &report.running, now);
    }

    /// Records up to which time, by the worker's clock, the runs that it lists were at work.
    fn record_work(&mut self, id: &Arc<str>, report: &WorkerReport, now: u64) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let mut cleared = Vec::new();
        for listed in &report.running {
            let key = (listed.task, listed.run);
            worker.observe_run(&key, report.clock_ms);
            if self.losses.is_suspect(&listed.task) && worker.has_settled(&key) {
                cleared.push(listed.task);
            }
        }
        cleared.iter().for_each(|task| self.clear_suspect(task, now));
    }

    fn handle_exits(&mut self, id: &Arc<str>, exits: &[TaskExit], now: u64) {
        let Some(worker) = self.workers.get(id) else { return };
        let seen = worker.exits_seen;
        let mut last_number = seen;
        for exit in exits.iter().filter(|exit| exit.number > seen) {
            last_number = last_number.max(exit.number);
            self.handle_exit(id, exit, now);
        }
        if last_number > seen {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.exits_seen = last_number;
            }
            self.commits.queue_exits(id.clone(), last_number);
        }
    }

    fn handle_exit(&mut self, id: &Arc<str>, exit: &TaskExit, now: u64) {
        let how = exit_label(exit.kind);
        let (task, run) = (exit.task, exit.run);
        self.emit(SchedulerEvent::Ended { task, run, worker: id.clone(), how });
        self.record_begin(task.job, 0);
        if self.must_withhold(id, exit) {
            self.withhold(id, exit.number);
            return;
        }
        let Some(job) = self.jobs.get_mut(&exit.task.job) else { return };
        let Some(spec) = job.spec(&exit.task) else { return };
        let (is_service, is_resumable) = (spec.is_service, spec.is_resumable);
        let allows_copies = spec.allows_copies;
        let is_finished = job.state.is_final();
        let Some(task) = job.task_mut(&exit.task) else { return };
        let live = task
            .live
            .iter()
            .find(|live| live.run == exit.run && live.worker == *id)
            .map(|live| (live.phase, live.begun_ms, live.placed_ms, live.sent_ms()));
        if is_resumable && is_storable(&exit.checkpoint) {
            task.checkpoint.clone_from(&exit.checkpoint);
        }
        if exit.kind == ExitKind::Done {
            // A run that was never seen at work has no known run time.
            let begun = live.map(|(_, begun_ms, ..)| begun_ms).filter(|begun_ms| *begun_ms > 0);
            task.took_ms = begun.map(|begun_ms| now.saturating_sub(begun_ms));
            // A later run was planned at most and never starts. If its number were kept, the next
            // leader would take this exit for one that came too late.
            if !is_service && !allows_copies {
                task.run = task.run.min(exit.run);
            }
        }
        let was_stopping = live.is_some_and(|(phase, ..)| phase == RunPhase::Stopping);
        if let Some((RunPhase::Starting, _, placed_ms, sent_ms)) = live {
            let (wait_ms, path_ms) = (now.saturating_sub(placed_ms), now.saturating_sub(sent_ms));
            self.record_task_begin(&exit.task, wait_ms, path_ms, now);
        }
        if live.is_some() {
            match exit.kind {
                ExitKind::Done => self.remove_run(&exit.task, exit.run, now),
                _ => self.return_run(&exit.task, exit.run, how, now),
            }
            if let Some(task) = self.task_mut(&exit.task) {
                task.worked_ms = now;
            }
        }
        match exit.kind {
            // This includes a run that had been considered ended: it did complete, and must not run
            // again.
            ExitKind::Done if !is_service => {
                self.clear_suspect(&exit.task, now);
                self.record_success(id, now);
                self.complete_task(&exit.task, now);
            }
            ExitKind::Failed if live.is_some() && !is_finished => {
                self.record_failure(id, &exit.task, now);
                self.handle_failed_run(&exit.task, exit.run, now);
            }
            ExitKind::Done
            | ExitKind::Failed
            | ExitKind::Stopped
            | ExitKind::LeaseExpired
            | ExitKind::GangBroken
            | ExitKind::GangIncomplete => {
                if is_service && !was_stopping && !is_finished {
                    self.back_off(&exit.task, now);
                }
            }
        }
    }

    fn record_success(&mut self, id: &Arc<str>, now: u64) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.record_outcome(true, now);
        }
    }

    fn record_failure(&mut self, id: &Arc<str>, key: &TaskKey, now: u64) {
        // A task that has failed on other workers too is more likely at fault itself.
        let has_failed_elsewhere = self
            .jobs
            .get(&key.job)
            .and_then(|job| job.task(key))
            .is_some_and(|task| task.failed_on.iter().any(|other| other != id));
        if let Some(worker) = self.workers.get_mut(id)
            && !has_failed_elsewhere
        {
            worker.record_outcome(false, now);
        }
        if let Some(task) = self.jobs.get_mut(&key.job).and_then(|job| job.task_mut(key)) {
            task.failed_on.push(id.clone());
        }
    }

    /// Marks a task done: its copies stop, and the job may be complete.
    fn complete_task(&mut self, key: &TaskKey, now: u64) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let is_gang = job.spec(key).is_some_and(|spec| spec.is_gang);
        let Some(step) = job.step_mut(key) else { return };
        // The members of a gang end together, so one exit stands for all.
        let done = match is_gang {
            true => 0..step.tasks.len(),
            false => usize::try_from(key.index).map_or(0..0, |index| index..index + 1),
        };
        let mut is_new = false;
        for index in done {
            let has_ended = step.finish(index);
            is_new |= has_ended;
            if has_ended {
                self.begins.record_done();
            }
        }
        if !is_new {
            return;
        }
        let has_copy = !is_gang
            && usize::try_from(key.index)
                .is_ok_and(|index| step.tasks.get(index).is_some_and(TaskRun::has_live_run));
        let is_step_done = step.is_done();
        let is_scheduled = job.submission.spec.schedule.is_some();
        self.commits.mark_changed(key.job);
        self.needs_dispatch = true;
        if has_copy {
            self.stop_task(key, "another copy is done", now);
        }
        if !is_step_done && !is_scheduled {
            return;
        }
        self.learn_runtime(key);
        let is_finished = self.jobs.get_mut(&key.job).is_some_and(|job| job.sweep());
        if is_finished {
            self.finish_job(key.job, JobState::Completed, now);
        }
    }

    /// Learns the run times of a queue's tasks from a step that is done. Tasks that were started
    /// more than once are left out: their times show a fault, or only part of their work.
    fn learn_runtime(&mut self, key: &TaskKey) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let Some(declared_ms) = job.spec(key).map(|spec| spec.estimate_ms) else { return };
        let Some(step) = job.step(key).filter(|step| step.is_done()) else { return };
        let (mut count, mut sum_ms) = (0, 0);
        for took_ms in step.tasks.iter().filter(|task| task.run == 1).filter_map(|t| t.took_ms) {
            (count, sum_ms) = (count + 1, sum_ms + took_ms);
        }
        if count == 0 {
            return;
        }
        let queue = job.submission.queue.clone();
        self.runtimes.entry(queue).or_default().record(declared_ms, sum_ms / count);
    }

    /// Handles a failed run: the task is tried again, or its job has failed.
    fn handle_failed_run(&mut self, key: &TaskKey, run: u32, now: u64) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let attempts = self.queue_of(job).map_or(1, |queue| queue.attempts);
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(spec) = job.spec(key) else { return };
        let (is_service, is_gang) = (spec.is_service, spec.is_gang);
        if is_service {
            self.back_off(key, now);
            return;
        }
        let Some(step) = job.step_mut(key) else { return };
        let failures = if is_gang {
            // The members share one run number, and their failures count once.
            let is_new = step.tasks.iter().all(|task| task.failed_run != run);
            for task in &mut step.tasks {
                task.failures += u32::from(is_new);
                task.failed_run = run;
            }
            step.tasks.first().map_or(0, |task| task.failures)
        } else {
            let index = usize::try_from(key.index).unwrap_or(usize::MAX);
            let Some(task) = step.tasks.get_mut(index) else { return };
            task.failures += 1;
            task.failed_run = run;
            task.failures
        };
        self.commits.mark_changed(key.job);
        if failures >= attempts {
            self.finish_job(key.job, JobState::Failed, now);
        }
    }

    /// Delays the next start of a service task with exponential backoff.
    fn back_off(&mut self, key: &TaskKey, now: u64) {
        let Some(task) = self.jobs.get_mut(&key.job).and_then(|job| job.task_mut(key)) else {
            return;
        };
        let steps = task.failures.min(4);
        task.failures += 1;
        let wait = (SERVICE_BACKOFF_MS << steps).min(SERVICE_BACKOFF_MAX_MS);
        // A task that was at work for a while has not failed repeatedly.
        let was_at_work = now.saturating_sub(task.last_serving_ms) < SERVICE_BACKOFF_MAX_MS;
        if was_at_work {
            task.failures = 0;
        }
        task.not_before_ms = now + if was_at_work { 0 } else { wait };
    }

    pub(crate) fn finish_job(&mut self, id: crate::jobs::model::JobId, state: JobState, now: u64) {
        let wall_ms = self.wall_ms;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.state.is_final() {
            return;
        }
        job.state = state;
        job.ended_wall_ms = wall_ms;
        let age_ms = now.saturating_sub(job.arrived_ms);
        self.finished.insert(id, now);
        self.losses.forget_job(id);
        self.emit(SchedulerEvent::JobState { job: id, state, age_ms });
        self.commits.mark_changed(id);
        self.stop_job(id, now);
    }

    /// Reconciles the runs that the worker lists with those placed on it.
    fn reconcile_runs(
        &mut self,
        id: &Arc<str>,
        running: &[RunningTask],
        sent_ms: u64,
        is_full: bool,
        now: u64,
    ) {
        let mut listed: Vec<((TaskKey, u32), &RunningTask)> =
            running.iter().map(|listed| ((listed.task, listed.run), listed)).collect();
        listed.sort_by_key(|(key, _)| *key);
        // Of two entries of one run the later one counts.
        listed.dedup_by(|later, kept| {
            let is_same = later.0 == kept.0;
            if is_same {
                kept.1 = later.1;
            }
            is_same
        });
        let find = |key: &(TaskKey, u32)| {
            let position = listed.binary_search_by_key(key, |(key, _)| *key).ok()?;
            Some(listed[position].1)
        };
        let Some(worker) = self.workers.get(id) else { return };
        let placed: Vec<(TaskKey, u32)> = worker.runs.keys().copied().collect();
        // By then a stop that an earlier leader sent has been carried out. Until then the worker
        // lists the run as if it stayed. If that counted as at work, another task of its step would
        // be stopped as well, and more tasks would be away than the disruption budget allows.
        let settled_ms = worker.token_accepted_ms + self.bounds.stop_ms;
        let is_settled = sent_ms > settled_ms;
        for (key, run) in &placed {
            match find(&(*key, *run)) {
                Some(listed) => self.handle_listed_run(id, key, *run, listed, is_settled, now),
                None if is_full => {}
                None => self.handle_missing_run(id, key, *run, sent_ms, now),
            }
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.second_runs.retain(|run| find(run).is_some());
        }
        for ((key, run), _) in &listed {
            if placed.binary_search(&(*key, *run)).is_err() {
                self.stop_unknown_run(id, key, *run, now);
            }
        }
    }

    fn handle_listed_run(
        &mut self,
        id: &Arc<str>,
        key: &TaskKey,
        run: u32,
        listed: &RunningTask,
        is_settled: bool,
        now: u64,
    ) {
        let first_sent_ms = self.live_run(key, run).map_or(0, |live| live.first_sent_ms);
        self.record_begin(key.job, first_sent_ms);
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let is_finished = job.state.is_final();
        let Some(spec) = job.spec(key) else { return };
        let (is_service, is_resumable) = (spec.is_service, spec.is_resumable);
        let is_owed = is_counted(spec);
        let Some(task) = job.task_mut(key) else { return };
        if is_resumable && is_storable(&listed.checkpoint) {
            task.checkpoint.clone_from(&listed.checkpoint);
        }
        let Some(live) = task.live.iter_mut().find(|live| live.run == run) else { return };
        let was_listed = std::mem::replace(&mut live.is_listed, true);
        live.last_listed_ms = now;
        let is_confirmed = match live.phase {
            RunPhase::Starting => true,
            RunPhase::Inherited => is_settled,
            RunPhase::Planned | RunPhase::Running | RunPhase::Stopping => false,
        };
        if is_confirmed {
            let is_first = !std::mem::replace(&mut task.has_begun, true);
            if live.phase == RunPhase::Starting {
                let path_ms = now.saturating_sub(live.sent_ms());
                let wait_ms = now.saturating_sub(live.placed_ms);
                self.line.starts.record_whole(wait_ms, now);
                self.line.record_begin(is_owed, is_first, path_ms, now);
                self.begins.record_begun(wait_ms, path_ms, is_first);
            }
            live.enter(RunPhase::Running, now);
            live.answered_ms = Some(now);
            live.begun_ms = now;
            live.progress_ms = now;
        }
        if listed.percent > live.percent {
            live.progress_ms = now;
        }
        let was_at_work = live.percent >= 100;
        live.percent = listed.percent;
        let is_at_work = is_service && listed.percent >= 100;
        if is_at_work {
            task.last_serving_ms = now;
            if !was_at_work {
                task.failures = 0;
            }
        }
        let is_stopping = live.phase == RunPhase::Stopping;
        if is_finished && is_stopping && !was_listed && live.begun_ms == 0 {
            let (worker, since_ms) = (live.worker.clone(), now.saturating_sub(live.phase_since_ms));
            self.emit(SchedulerEvent::StartedAfterEnd { task: *key, run, worker, since_ms });
            return;
        }
        if is_finished || task.is_done {
            self.stop_run(key, run, "job is over", now);
        } else if is_at_work && !was_at_work {
            // A service never ends as done.
            if let Some(worker) = self.workers.get_mut(id) {
                worker.end_trial(now);
            }
        }
    }

    /// Handles a placed run that is not listed. Only a report that was requested after the worker
    /// had confirmed the run counts.
    fn handle_missing_run(
        &mut self,
        id: &Arc<str>,
        key: &TaskKey,
        run: u32,
        sent_ms: u64,
        now: u64,
    ) {
        let Some(live) = self
            .jobs
            .get(&key.job)
            .and_then(|job| job.task(key))
            .and_then(|task| task.live.iter().find(|live| live.run == run))
        else {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.remove_run(&(*key, run), now);
            }
            return;
        };
        let has_ended = match live.phase {
            RunPhase::Planned | RunPhase::Starting => false,
            // This leader's token was the first thing that the worker received from it: older
            // starts are refused from then on.
            RunPhase::Inherited => true,
            RunPhase::Running | RunPhase::Stopping => {
                live.answered_ms.is_some_and(|answered| sent_ms > answered)
            }
        };
        if has_ended {
            let how = "not on the worker";
            self.emit(SchedulerEvent::Ended { task: *key, run, worker: id.clone(), how });
            self.return_run(key, run, how, now);
        }
    }

    /// Stops a run that is unknown to the leader. It was removed rightly, so it must not go on.
    fn stop_unknown_run(&mut self, id: &Arc<str>, key: &TaskKey, run: u32, now: u64) {
        let fence = self.fence_of(id);
        let placed = self.other_placed_run(key, run);
        let Some(worker) = self.workers.get_mut(id) else { return };
        // A late answer may list a run that has ended since.
        let placed = placed.filter(|_| worker.late_answer_ms != Some(now));
        let is_reported = placed.is_some() && !worker.second_runs.insert((*key, run));
        let call = crate::jobs::ports::RunCall { task: *key, run, fence };
        let reason = "not on the books";
        self.actions.push(crate::scheduler::SchedulerAction::StopUntracked(worker.target(), call));
        self.emit(SchedulerEvent::Stopped { task: *key, run, reason });
        if let Some(placed) = placed.filter(|_| !is_reported) {
            self.emit(SchedulerEvent::SecondRun {
                task: *key,
                run,
                worker: id.clone(),
                booked: placed,
            });
        }
    }

    /// Another placed run of the same task, if the task allows no copies.
    fn other_placed_run(&self, key: &TaskKey, run: u32) -> Option<u32> {
        let job = self.jobs.get(&key.job)?;
        job.spec(key).filter(|spec| !spec.allows_copies && !spec.is_gang)?;
        let is_other = |live: &&LiveRun| live.run != run && live.phase != RunPhase::Planned;
        let other = job.task(key)?.live.iter().find(is_other)?;
        Some(other.run)
    }
}

const fn whole_ms(time: Duration) -> u64 {
    time.as_secs() * 1_000 + time.subsec_millis() as u64
}

/// Whether there is a checkpoint that is small enough for the log to keep beside all others.
fn is_storable(checkpoint: &str) -> bool {
    !checkpoint.is_empty() && checkpoint.len() <= CHECKPOINT_BYTES_MAX
}

/// Word for an exit in logs and metrics.
pub fn exit_label(kind: ExitKind) -> &'static str {
    match kind {
        ExitKind::Done => "done",
        ExitKind::Failed => "failed",
        ExitKind::Stopped => "stopped",
        ExitKind::LeaseExpired => "lapsed",
        ExitKind::GangBroken => "broken",
        ExitKind::GangIncomplete => "alone",
    }
}
