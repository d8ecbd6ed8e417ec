//! Lifecycle of a run on a worker: started, confirmed, stopped, or known to have ended.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::decide::lateness::answer_extra_ms;
use crate::decide::start_rate::{OpenStarts, SLOW_PATH_MS, SLOW_QUEUE_MS};
use crate::jobs::model::{JobId, StepSpec, TaskKey};
use crate::jobs::ports::{
    CommandOutcome, CommandRefusal, RunCall, StartCall, WorkerTarget, refusal_label,
};
use crate::jobs::site::{VmState, worker_name};
use crate::scheduler::job::{JobRun, LiveRun, RunPhase, TaskRun};
use crate::scheduler::losses::IncarnationEnd;
use crate::scheduler::worker::{PlacedRun, WorkSpan, WorkerState};
use crate::scheduler::{Scheduler, SchedulerAction, SchedulerEvent};

/// Time between two checks of the runs' progress, in milliseconds.
pub const SWEEP_INTERVAL_MS: u64 = 100;
/// Time after which an unanswered start or stop is sent again, in milliseconds; repeats are
/// idempotent, so this only bounds the traffic to a worker that answers slowly.
const COMMAND_RETRY_MS: u64 = 600;
/// Time after which a start without a known outcome is sent again, in milliseconds: longer than an
/// attempt takes through an executor. Repeats of attempts that are still in flight would delay
/// other starts of a busy leader.
const START_RETRY_MS: u64 = 1_500;
/// The same beyond the longest time for which an attempt is waited for, in milliseconds.
const START_RETRY_MARGIN_MS: u64 = 100;
/// How often at most the pause between two stops of a run doubles on a worker that doesn't answer.
const STOP_DOUBLINGS_MAX: u32 = 3;
/// Pause before a task that a worker refused is placed again, in milliseconds: by then the worker's
/// next report has corrected the leader's view of it.
const REFUSED_PAUSE_MS: u64 = 60;
/// Pause before a malformed task is tried again, in milliseconds.
const MALFORMED_PAUSE_MS: u64 = 2_000;
/// Time that the rest of a gang has to end by itself after it has lost a member, in milliseconds:
/// the workers end it too, as soon as they notice.
const BROKEN_GANG_MS: u64 = 800;

/// A command to a worker about one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunCommand {
    /// Start it.
    Start(StartCall),
    /// Stop it.
    Stop(RunCall),
}

impl Scheduler {
    /// Places the runs that a new leader read from the log, on workers that may no longer be
    /// listed.
    pub(crate) fn adopt_runs(&mut self, key: &TaskKey, now: u64) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let Some(task) = job.task(key) else { return };
        let Some(mut placed) = placed_run(job.spec(key), task) else { return };
        // How long they have been at work is not known. If services were not shared here, a pool
        // full of them would accept no start.
        placed.is_shared = placed.is_service;
        let runs: Vec<(Arc<str>, u32)> =
            task.live.iter().map(|live| (live.worker.clone(), live.run)).collect();
        let bound = self.predecessor_lease_bound_ms;
        for (worker, run) in runs {
            self.organisations.add_run(&job.submission, job.spec(key));
            let entry = self
                .workers
                .get_or_insert_with(&worker, || WorkerState::unlisted(worker.clone(), bound, now));
            if let Some(entry) = entry {
                entry.add_run((*key, run), placed);
            }
        }
    }

    /// Places a new run of a task on a worker; its start is sent once the log has it.
    pub(crate) fn plan_run(&mut self, key: &TaskKey, run: u32, worker: &Arc<str>, now: u64) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let placed = job.task(key).and_then(|task| placed_run(job.spec(key), task));
        let Some(placed) = placed else { return };
        let age_ms = now.saturating_sub(job.arrived_ms);
        let Some(task) = job.task_mut(key) else { return };
        task.run = task.run.max(run);
        self.runs_placed += 1;
        let order = self.runs_placed;
        task.live.push(LiveRun { order, ..LiveRun::planned(worker.clone(), run, now) });
        self.organisations.add_run(&job.submission, job.spec(key));
        let wanted_lease_ms = self.bounds.cancel_ms;
        if let Some(entry) = self.workers.get_mut(worker) {
            // The lease that comes with the start ends soon, and a worker without wanted runs has
            // not had its leases renewed.
            if !entry.has_lease_for(wanted_lease_ms, now) {
                self.actions.push(SchedulerAction::RenewNow(worker.clone()));
            }
            entry.add_run((*key, run), placed);
        }
        self.commits.queue_start(*key, run);
        self.begins.record_placed();
        self.emit(SchedulerEvent::Placed { task: *key, run, worker: worker.clone(), age_ms });
    }

    /// Records that a worker has started a task of a job, at `since_ms` at the earliest; 0 if this is
    /// not known. A placed run does not show that: its start may be refused, revoked or lost.
    pub(crate) fn record_begin(&mut self, id: JobId, since_ms: u64) {
        if self.jobs.get_mut(&id).is_some_and(JobRun::begin) {
            self.commits.queue_begin(id, since_ms);
        }
    }

    /// Removes a run that has ended or was never begun.
    pub(crate) fn remove_run(&mut self, key: &TaskKey, run: u32, now: u64) {
        let is_pending = self.pending_commands.remove(&(*key, run));
        self.needs_dispatch = true;
        let Some(job) = self.jobs.get(&key.job) else { return };
        let Some(task) = job.task(key) else { return };
        let Some(position) = task.live.iter().position(|live| live.run == run) else { return };
        let last_alive = self.last_alive(&task.live[position], now);
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        self.organisations.remove_run(&job.submission, job.spec(key));
        let Some(task) = job.task_mut(key) else { return };
        let live = task.live.remove(position);
        task.waiting_since_ms = now;
        if live.is_sent && live.phase == RunPhase::Starting {
            self.line.starts.record_refused(now);
        }
        if is_pending && live.is_sent && live.phase != RunPhase::Stopping {
            self.sent_starts = self.sent_starts.saturating_sub(1);
        }
        if live.is_at_work() {
            task.worked_ms = now;
        }
        task.last_alive = last_alive.or(task.last_alive);
        self.commits.mark_changed(key.job);
        if let Some(worker) = self.workers.get_mut(&live.worker) {
            worker.remove_run(&(*key, run), now);
        }
    }

    /// Stops every run of a job.
    pub(crate) fn stop_job(&mut self, id: JobId, now: u64) {
        let Some(job) = self.jobs.get(&id) else { return };
        for key in job.live_tasks() {
            self.stop_task(&key, "job is over", now);
        }
    }

    /// Stops every run of a task.
    pub(crate) fn stop_task(&mut self, key: &TaskKey, reason: &'static str, now: u64) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(task) = job.task_mut(key) else { return };
        let runs: Vec<u32> = task.live.iter().map(|live| live.run).collect();
        for run in runs {
            self.stop_run(key, run, reason, now);
        }
    }

    /// Stops one run. A run that is not on the log yet is removed and never starts.
    pub(crate) fn stop_run(&mut self, key: &TaskKey, run: u32, reason: &'static str, now: u64) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(task) = job.task_mut(key) else { return };
        let Some(live) = task.live.iter_mut().find(|live| live.run == run) else { return };
        match live.phase {
            RunPhase::Stopping => {}
            RunPhase::Planned => self.return_run(key, run, reason, now),
            RunPhase::Starting | RunPhase::Running | RunPhase::Inherited => {
                if live.is_sent && live.phase == RunPhase::Starting {
                    self.line.starts.record_refused(now);
                }
                live.enter(RunPhase::Stopping, now);
                self.pending_commands.insert((*key, run));
                self.emit(SchedulerEvent::Stopped { task: *key, run, reason });
            }
        }
    }

    /// Issues the starts and stops that are due.
    pub(crate) fn send_due_commands(&mut self, now: u64) {
        if !self.is_confirmed(now) {
            // Nothing leaves this leader: all that waits is late.
            let queued = self.queued_starts();
            let unlogged = self.commits.pending_starts();
            let open =
                OpenStarts { queued, queued_late: queued, unlogged, ..OpenStarts::default() };
            self.line.starts.record_open(&open);
            return;
        }
        let due: Vec<(TaskKey, u32)> = self.pending_commands.iter().copied().collect();
        let (mut held, mut open) = (0, OpenStarts::default());
        let mut sendable = Vec::new();
        for (key, run) in due {
            let Some(live) = self.live_run(&key, run) else {
                self.pending_commands.remove(&(key, run));
                continue;
            };
            if !matches!(live.phase, RunPhase::Starting | RunPhase::Stopping) {
                self.pending_commands.remove(&(key, run));
                continue;
            }
            let (phase, since_ms, is_sent) = (live.phase, live.phase_since_ms, live.is_sent);
            let first_sent_ms = live.first_sent_ms;
            let stop_due_ms = live.retry_ms + stop_pause_ms(live.stops);
            let is_due = now >= live.retry_ms;
            let Some(worker) = self.workers.get(&live.worker) else { continue };
            let is_silent = worker.silent_since_ms.is_some();
            let is_unreachable = is_silent || !worker.is_listed;
            let is_open = phase == RunPhase::Starting && !is_unreachable;
            held += usize::from(!is_open);
            open.sent += usize::from(is_open && is_sent);
            let is_sent_late = is_sent && now >= first_sent_ms + SLOW_PATH_MS;
            open.sent_late += usize::from(is_open && is_sent_late);
            let is_queued_late = !is_sent && now >= since_ms + SLOW_QUEUE_MS;
            open.queued_late += usize::from(is_open && is_queued_late);
            if !is_due {
                continue;
            }
            let is_held = match phase {
                // A stop extends no lease, and it arrives where only the answers are late.
                RunPhase::Stopping => !worker.may_take_stops() || is_silent && now < stop_due_ms,
                // A start to a worker that doesn't answer would delay the time at which its runs
                // are known to have ended.
                _ => is_unreachable,
            };
            if is_held {
                continue;
            }
            if phase == RunPhase::Starting && !worker.may_start_now(&(key, run), since_ms) {
                let id = live.worker.clone();
                self.actions.push(SchedulerAction::RenewNow(id));
                continue;
            }
            let target = worker.target();
            let Some(live) = self.live_mut(&key, run) else { continue };
            live.retry_ms = now + COMMAND_RETRY_MS;
            live.stops += u32::from(phase == RunPhase::Stopping);
            sendable.push((live.order, target, key, run));
        }
        // In the order of placement, which is that of urgency.
        sendable.sort_by_key(|(order, ..)| *order);
        let sent = sendable.into_iter();
        self.actions
            .extend(sent.map(|(_, id, key, run)| SchedulerAction::SendCommand(id, key, run)));
        self.held_commands = held;
        self.sent_starts = open.sent;
        open.queued = self.queued_starts();
        open.unlogged = self.commits.pending_starts();
        self.line.starts.record_open(&open);
    }

    /// Address of a worker for calls; `None` while it is known only from the log.
    pub fn target_of(&self, id: &str) -> Option<WorkerTarget> {
        self.workers.get(id).filter(|worker| worker.has_address()).map(WorkerState::target)
    }

    /// Whether a run waits to be started.
    pub fn is_starting(&self, key: &TaskKey, run: u32) -> bool {
        self.live_run(key, run).is_some_and(|live| live.phase == RunPhase::Starting)
    }

    /// Starts that were decided and not handed out yet. Stops, and starts for workers that can't be
    /// reached, are not counted: they may be held until leases have lapsed, and would take the slots
    /// of starts that can be sent.
    pub(crate) fn queued_starts(&self) -> usize {
        let others = self.held_commands + self.sent_starts;
        self.commits.pending_starts() + self.pending_commands.len().saturating_sub(others)
    }

    /// The command that a run needs now, at the moment when it can be sent. It may have waited
    /// behind other commands to the same worker, and the command that was due when it was issued
    /// may be wrong by now, such as a start of a task that has been done elsewhere meanwhile.
    pub fn command(&mut self, key: &TaskKey, run: u32, now: u64) -> Option<RunCommand> {
        if self.is_deposed || !self.is_confirmed(now) {
            return None;
        }
        let (lease_ms, deadline_ms) = (self.lease_ms(), self.start_deadline_ms());
        let live = self.live_mut(key, run)?;
        live.retry_ms = now + COMMAND_RETRY_MS;
        let (id, phase) = (live.worker.clone(), live.phase);
        match phase {
            RunPhase::Starting => {}
            RunPhase::Stopping => {
                let fence = self.fence_of(&id);
                return Some(RunCommand::Stop(RunCall { task: *key, run, fence }));
            }
            RunPhase::Planned | RunPhase::Running | RunPhase::Inherited => return None,
        }
        let pool = self.workers.get(&id)?.entry.service.clone();
        if !self.is_capacity_view_fresh(&pool, now) || !self.is_job_view_fresh(now) {
            return None;
        }
        let worker = self.workers.get_mut(&id)?;
        if worker.silent_since_ms.is_some() {
            return None;
        }
        let lease_until_ms = worker.start_until(lease_ms, deadline_ms, now)?;
        let fence = self.fence_of(&id);
        let permits = self.permits.get(&key.step_key());
        let permit = permits.and_then(|permits| permits.allowed.get(&id)).cloned();
        let job = self.jobs.get(&key.job)?;
        // Every member of a gang must carry the same checkpoint.
        let checkpoint = match job.spec(key)?.is_gang {
            true => self.gang_checkpoint(key),
            false => job.task(key)?.checkpoint.clone(),
        };
        let payload = job.submission.spec.payload.as_str().into();
        let call =
            StartCall { task: *key, run, payload, lease_until_ms, fence, checkpoint, permit };
        let wait_ms = START_RETRY_MS.max(self.start_timeout_ms + START_RETRY_MARGIN_MS);
        let retry_ms = now + wait_ms + answer_extra_ms(self.pace.loop_delay_ms);
        let live = self.live_mut(key, run)?;
        live.retry_ms = retry_ms;
        let is_first = !std::mem::replace(&mut live.is_sent, true);
        let wait_ms = now.saturating_sub(live.phase_since_ms);
        if live.first_sent_ms == 0 {
            live.first_sent_ms = now;
        }
        live.open_tries += 1;
        if is_first {
            self.sent_starts += 1;
            self.line.record_sent(wait_ms, now);
            self.begins.record_handed_out(wait_ms);
        }
        Some(RunCommand::Start(call))
    }

    fn gang_checkpoint(&self, key: &TaskKey) -> String {
        let first = TaskKey { index: 0, ..*key };
        let task = self.jobs.get(&key.job).and_then(|job| job.task(&first));
        task.map(|task| task.checkpoint.clone()).unwrap_or_default()
    }

    /// Handles a start that was not sent, since nobody could carry it out: it is due again at once.
    pub fn start_not_sent(&mut self, key: &TaskKey, run: u32, now: u64) {
        self.close_attempt(key, run);
        if let Some(live) = self.live_mut(key, run)
            && live.phase == RunPhase::Starting
        {
            live.retry_ms = now;
            live.is_sent = live.may_start_late();
            let is_sent = live.is_sent;
            self.begins.record_returned("not sent", false);
            if !is_sent {
                self.sent_starts = self.sent_starts.saturating_sub(1);
                self.line.record_unsent(now);
            }
        }
    }

    /// Handles the outcome of an attempt to start a run.
    pub fn handle_start_outcome(
        &mut self,
        worker: &Arc<str>,
        key: &TaskKey,
        run: u32,
        outcome: &CommandOutcome<u64>,
        now: u64,
    ) {
        self.close_attempt(key, run);
        match outcome {
            CommandOutcome::Done(clock_ms) => {
                self.handle_start_done(worker, key, run, *clock_ms, now)
            }
            CommandOutcome::Unknown => {
                // The start may be carried out seconds later. Sending it again resolves the doubt:
                // a worker begins a run once, however often it receives the start.
                if let Some(live) = self.live_mut(key, run) {
                    live.is_in_doubt = true;
                    live.retry_ms = live.retry_ms.min(now + SWEEP_INTERVAL_MS);
                }
                self.actions.push(SchedulerAction::RenewNow(worker.clone()));
            }
            CommandOutcome::Refused(refusal, clock_ms) => {
                if let (Some(clock), Some(worker)) = (clock_ms, self.workers.get_mut(worker)) {
                    worker.sample_clock(*clock, now);
                }
                self.handle_start_refused(worker, key, run, *refusal, now);
                // The worker would refuse the same start again.
                if clock_ms.is_none()
                    && let Some(live) = self.live_mut(key, run)
                {
                    live.retry_ms = live.retry_ms.max(now + REFUSED_PAUSE_MS);
                }
            }
        }
    }

    /// Counts off an attempt whose outcome is known.
    fn close_attempt(&mut self, key: &TaskKey, run: u32) {
        if let Some(live) = self.live_mut(key, run) {
            live.open_tries = live.open_tries.saturating_sub(1);
        }
    }

    fn handle_start_done(
        &mut self,
        id: &Arc<str>,
        key: &TaskKey,
        run: u32,
        clock_ms: u64,
        now: u64,
    ) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.sample_clock(clock_ms, now);
        }
        let first_sent_ms = self.live_run(key, run).map_or(0, |live| live.first_sent_ms);
        self.record_begin(key.job, first_sent_ms);
        let Some(live) = self.live_mut(key, run) else { return };
        if live.phase == RunPhase::Starting {
            live.enter(RunPhase::Running, now);
            live.answered_ms = Some(now);
            live.begun_ms = now;
            live.progress_ms = now;
            let path_ms = now.saturating_sub(live.sent_ms());
            let wait_ms = now.saturating_sub(live.placed_ms);
            self.record_task_begin(key, wait_ms, path_ms, now);
            self.actions.push(SchedulerAction::RenewNow(id.clone()));
            if let Some(worker) = self.workers.get_mut(id) {
                worker.last_refusal_ms = None;
                worker.observe_run(&(*key, run), clock_ms);
            }
        }
    }

    fn handle_start_refused(
        &mut self,
        id: &Arc<str>,
        key: &TaskKey,
        run: u32,
        refusal: CommandRefusal,
        now: u64,
    ) {
        let reason = refusal_label(refusal);
        let open_tries = self.live_mut(key, run).map_or(0, |live| live.open_tries);
        let worker = id.clone();
        self.emit(SchedulerEvent::StartRefused { task: *key, run, worker, reason, open_tries });
        match refusal {
            CommandRefusal::Fenced => {
                self.handle_fenced(id);
                return;
            }
            CommandRefusal::WrongIncarnation => {
                self.end_incarnation(id, IncarnationEnd::OtherIncarnation, now);
                return;
            }
            CommandRefusal::OldRun => {
                // An earlier attempt was carried out and has ended, or the run was stopped: the
                // next report lists its exit. If it counted as never begun, it would run again.
                if let Some(live) = self.live_mut(key, run)
                    && live.phase == RunPhase::Starting
                {
                    live.enter(RunPhase::Running, now);
                    live.answered_ms = Some(now);
                }
                self.actions.push(SchedulerAction::RenewNow(id.clone()));
                return;
            }
            // The run has not begun, and the worker's clock has just been sampled.
            CommandRefusal::LeaseExpired => {
                if let Some(live) = self.live_mut(key, run) {
                    live.retry_ms = now;
                }
                return;
            }
            CommandRefusal::InvalidPermit => {
                self.permits.remove(&key.step_key());
            }
            CommandRefusal::Unhealthy | CommandRefusal::NoCapacity => {
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.record_refusal(refusal, now);
                }
            }
            CommandRefusal::Malformed => {}
        }
        let Some(live) = self.live_mut(key, run) else { return };
        // Another attempt has begun the run, or it is being stopped: the refusal concerns this
        // attempt only.
        if live.phase != RunPhase::Starting {
            return;
        }
        // Another attempt without an answer so far may be carried out once there is free capacity,
        // and the task would run twice. A stop makes the worker refuse that run for good.
        if live.may_start_late() {
            self.stop_run(key, run, "start in doubt", now);
            return;
        }
        self.return_run(key, run, reason, now);
        let pause = if refusal == CommandRefusal::Malformed {
            MALFORMED_PAUSE_MS
        } else {
            REFUSED_PAUSE_MS
        };
        if let Some(task) = self.task_mut(key) {
            task.not_before_ms = now + pause;
        }
        self.actions.push(SchedulerAction::RenewNow(id.clone()));
    }

    /// Handles the outcome of a stop. The run ends only when the worker lists its exit.
    pub fn handle_stop_outcome(
        &mut self,
        worker: &Arc<str>,
        key: &TaskKey,
        run: u32,
        outcome: &CommandOutcome<u64>,
        now: u64,
    ) {
        match outcome {
            CommandOutcome::Done(_) => {
                self.actions.push(SchedulerAction::RenewNow(worker.clone()));
                // Its exit is listed within the stop time; if the run was never there, the next
                // report shows it.
                let stop_ms = self.bounds.stop_ms;
                if let Some(live) = self.live_mut(key, run) {
                    live.retry_ms = now + stop_ms + COMMAND_RETRY_MS;
                    live.answered_ms.get_or_insert(now);
                }
            }
            CommandOutcome::Refused(CommandRefusal::Fenced, _) => self.handle_fenced(worker),
            CommandOutcome::Refused(CommandRefusal::WrongIncarnation, _) => {
                self.end_incarnation(worker, IncarnationEnd::OtherIncarnation, now);
            }
            CommandOutcome::Refused(..) | CommandOutcome::Unknown => {}
        }
    }

    /// Handles a worker's refusal of this leader's token: the worker has seen a higher term. A
    /// worker that has restarted refuses calls to its previous incarnation, which does not imply
    /// another leader.
    pub(crate) fn handle_fenced(&mut self, id: &str) {
        self.is_deposed |= self.workers.contains_key(id);
    }

    pub(crate) fn live_run(&self, key: &TaskKey, run: u32) -> Option<&LiveRun> {
        self.jobs.get(&key.job)?.task(key)?.live.iter().find(|live| live.run == run)
    }

    fn live_mut(&mut self, key: &TaskKey, run: u32) -> Option<&mut LiveRun> {
        self.task_mut(key)?.live.iter_mut().find(|live| live.run == run)
    }

    pub(crate) fn task_mut(&mut self, key: &TaskKey) -> Option<&mut TaskRun> {
        self.jobs.get_mut(&key.job)?.task_mut(key)
    }

    /// Ends a worker's incarnation: nothing runs there any more.
    pub(crate) fn end_incarnation(&mut self, id: &Arc<str>, end: IncarnationEnd, now: u64) {
        self.end_incarnations(std::slice::from_ref(id), end, now);
    }

    /// Ends incarnations that became known to have ended at the same time.
    fn end_incarnations(&mut self, ids: &[Arc<str>], end: IncarnationEnd, now: u64) {
        let mut gone = Vec::with_capacity(ids.len());
        for id in ids {
            self.abandoned.forget_worker(id);
            let Some(worker) = self.workers.remove(id) else { continue };
            let runs = worker.runs.len();
            self.emit(SchedulerEvent::Worker {
                worker: id.clone(),
                change: end.description(),
                runs,
            });
            gone.push(worker);
        }
        if end.is_loss() {
            let is_leaving = |worker: &&WorkerState| worker.draining_since_ms.is_some();
            let lost: Vec<WorkerState> = gone.iter().filter(|w| !is_leaving(w)).cloned().collect();
            self.count_worker_losses(&lost, now);
        }
        for worker in gone {
            for ((key, run), placed) in &worker.runs {
                self.lose_run(&worker.entry.id, key, *run, placed.span, "worker is gone", now);
            }
        }
        self.needs_dispatch = true;
        self.fleet.is_list_wanted = true;
    }

    /// Removes a run that ended with its worker, or counts as ended.
    pub(crate) fn lose_run(
        &mut self,
        id: &Arc<str>,
        key: &TaskKey,
        run: u32,
        span: WorkSpan,
        how: &'static str,
        now: u64,
    ) {
        let at_work_ms = span.length_ms();
        self.emit(SchedulerEvent::Lost { task: *key, run, worker: id.clone(), how, at_work_ms });
        self.return_run(key, run, how, now);
    }

    /// Ends the runs of workers that don't answer once every lease that they can have has run out:
    /// then nothing runs there.
    ///
    /// Nothing expires while this leader itself lags behind: exits of the runs may be on their way
    /// to it, and tasks that are done would start again.
    pub(crate) fn expire_silent_workers(&mut self, now: u64) {
        if self.is_lagging(now) {
            return;
        }
        let expired: Vec<Arc<str>> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.silent_since_ms.is_some() || !worker.has_accepted_token)
            .filter(|(_, worker)| !worker.runs.is_empty() && now >= worker.lease_bound_ms())
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            let Some(worker) = self.workers.get(&id).cloned() else { continue };
            let (change, runs) = ("leases have run out", worker.runs.len());
            self.emit(SchedulerEvent::Worker { worker: id.clone(), change, runs });
            let counted = match worker.draining_since_ms {
                None => self.count_silent_worker(&worker, now),
                Some(_) => BTreeMap::new(),
            };
            for ((key, run), placed) in worker.runs {
                self.abandoned.insert(&id, key, run, counted.get(&(key, run)).copied());
                self.lose_run(&id, &key, run, placed.span, "lease has run out", now);
            }
            if !self.workers.get(&id).is_some_and(|worker| worker.is_listed) {
                self.workers.remove(&id);
            }
        }
    }

    /// Ends the incarnations of workers that don't answer and whose VM no longer runs them.
    pub(crate) fn end_vanished_workers(&mut self, asked_ms: u64, now: u64) {
        let Some(vm_states) = self.fleet.vm_states() else { return };
        let vanished: Vec<Arc<str>> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.silent_since_ms.is_some_and(|since| since <= asked_ms))
            .filter(|(id, _)| {
                vm_states.get(worker_name(id)).is_none_or(|state| *state == VmState::Down)
            })
            .map(|(id, _)| id.clone())
            .collect();
        if !vanished.is_empty() {
            self.end_incarnations(&vanished, IncarnationEnd::NotOnVm, now);
        }
    }

    /// Stops the rest of gangs that have lost a member: it can't work without that member, and a
    /// gang is only started as a whole.
    pub(crate) fn stop_broken_gangs(&mut self, now: u64) {
        let mut broken = Vec::new();
        for job in self.jobs.values().filter(|job| !job.state.is_final()) {
            for (occurrence, run) in &job.occurrences {
                for (position, step) in run.steps.iter().enumerate() {
                    let is_gang = job.submission.spec.steps[position].is_gang;
                    if !is_gang
                        || step.is_done()
                        || step.counts().live == 0
                        || step.tasks.iter().all(|task| task.has_live_run())
                    {
                        continue;
                    }
                    for (index, task) in step.tasks.iter().enumerate() {
                        let is_old = |live: &LiveRun| now > live.phase_since_ms + BROKEN_GANG_MS;
                        if task.live.iter().any(is_old) {
                            broken.push(job.key(*occurrence, position, index));
                        }
                    }
                }
            }
        }
        for key in broken {
            self.stop_task(&key, "its gang is broken", now);
        }
    }
}

/// Additional pause after this many stops to a worker that doesn't answer, in milliseconds: each
/// stop to a dead worker costs a connection.
fn stop_pause_ms(stops: u32) -> u64 {
    match stops {
        0 => 0,
        sent => COMMAND_RETRY_MS << (sent - 1).min(STOP_DOUBLINGS_MAX),
    }
}

fn placed_run(spec: Option<&StepSpec>, task: &TaskRun) -> Option<PlacedRun> {
    spec.map(|spec| PlacedRun {
        need: spec.reservation(),
        span: WorkSpan::default(),
        probation_ms: task.losses.probation_ms(),
        is_shared: false,
        losses: task.losses.total,
        is_best_effort: spec.is_best_effort,
        is_service: spec.is_service,
    })
}
