//! The leader's decisions about jobs, workers and VMs, as one state machine without I/O.
//!
//! Facts come in through methods that take the time as an argument; what is to be done about them
//! is collected as [`SchedulerAction`]s and as [`CommitBatch`]es for the log. Three rules hold the
//! rest together:
//!
//! * A run is written to the log before its start is sent. A new leader therefore knows every run
//!   that may be alive, and on which worker.
//! * A worker's exit is acknowledged to it only once its effect is on the log. Until then the worker
//!   lists it again, whoever leads.
//! * A task is started again only when its earlier run is known to be over: it is listed as ended,
//!   the life of its worker is over, or every lease that the worker can have has run out.

pub(crate) mod abandoned;
pub mod action;
mod capacity;
pub mod commit;
mod copies;
pub mod demand;
pub mod dispatch;
pub mod downtime;
pub mod fleet;
mod gang;
mod incarnations;
pub mod job;
mod loss_attribution;
pub mod losses;
pub mod maintenance;
pub mod needs;
mod organisation;
pub mod overview;
mod preemption;
pub mod rank;
pub mod renewals;
pub mod runs;
pub mod runtime;
mod share;
pub mod stragglers;
pub mod throttle;
mod tombstones;
mod waits;
pub mod worker;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::decide::leadership::{PredecessorEnd, PreviousLeader};
use crate::jobs::flow::FlowPace;
use crate::jobs::job_table::{JobTable, LoggedJob};
use crate::jobs::model::{JobId, JobState, JobSubmission, StepKey, TaskKey};
use crate::jobs::ports::{PermitGrant, VM_COMMAND_TIMEOUT_MS, WorkerTarget};
use crate::jobs::record::JobRecord;
use crate::jobs::site::{
    MaintenanceWave, QueueSpec, SiteBounds, SiteConfig, VmEntry, WorkerEntry, worker_name,
};
use crate::scheduler::abandoned::AbandonedRuns;
pub use crate::scheduler::action::{RecordSource, SchedulerAction, SchedulerEvent};
use crate::scheduler::commit::CommitQueue;
use crate::scheduler::fleet::FleetState;
use crate::scheduler::incarnations::IncarnationTable;
use crate::scheduler::job::JobRun;
use crate::scheduler::losses::LossTracker;
use crate::scheduler::organisation::OrganisationLedger;
use crate::scheduler::preemption::CapacityClaims;
use crate::scheduler::runtime::RuntimeModel;
use crate::scheduler::share::ShareLimiter;
use crate::scheduler::tombstones::TombstoneTable;
use crate::scheduler::waits::WaitLog;
use crate::scheduler::worker::WorkerState;

/// Fencing tokens that one term may use: room for a leader to raise its own.
pub const FENCING_TOKENS_PER_TERM: u64 = 1 << 10;
/// Time without a confirmation of our leadership after which no lease is extended and nothing is
/// started, in milliseconds. A successor waits it out before it takes runs on workers that it can't
/// reach for dead; three renewals of the leadership fit in.
pub const CONFIRMATION_TIMEOUT_MS: u64 = 1_600;
/// Time without a confirmation after which no VM is commanded, in milliseconds: a renewal, and a slow
/// log's answer to it. With the life of a command it ends before others may claim, so that no takeover
/// after a silence has to wait for it.
pub const VM_CONFIRMATION_TIMEOUT_MS: u64 = 800;
/// Time after its last confirmation at which no command of a leader to a VM can be carried out any more,
/// in milliseconds.
pub const VM_COMMAND_LIFETIME_MS: u64 = VM_CONFIRMATION_TIMEOUT_MS + VM_COMMAND_TIMEOUT_MS;
/// Time for which a late answer shows that we are behind, in milliseconds.
const LATE_AGE_MS: u64 = 2_000;
/// Workers with late answers that show it: so many, and one in so many; a few can be slow themselves.
const LATE_WORKERS_MIN: usize = 3;
const LATE_WORKERS_DIVISOR: usize = 16;
/// What is left of the time until nothing of a cancelled job may start, in milliseconds: a worker takes a while from
/// its look at the clock to the start.
const START_MARGIN_MS: u64 = 100;
/// What a lease is shorter than the longest one, in milliseconds: a command may be under way.
pub(crate) const LEASE_SLACK_MS: u64 = 200;

/// What a leader starts from.
pub struct SchedulerStart {
    /// Term of this leader.
    pub term: u64,
    /// Promised times.
    pub bounds: SiteBounds,
    /// Configuration in force.
    pub config: Arc<SiteConfig>,
    /// The leader before, as last seen.
    pub predecessor: Option<PreviousLeader>,
    /// When the newest confirmation of this leadership was sent, in milliseconds.
    pub confirmed_ms: u64,
    /// When the job log held no more than the book has, in milliseconds.
    pub jobs_read_ms: u64,
    /// When what workers say of themselves was asked for, in milliseconds.
    pub workers_read_ms: u64,
    /// Now, in milliseconds of the steady clock.
    pub now: u64,
    /// Now, in milliseconds since the epoch.
    pub wall_ms: u64,
}

/// When the last command of a leader to a VM has been carried out or never will, in milliseconds.
fn predecessor_vm_bound_ms(leader: PreviousLeader) -> u64 {
    match leader.end {
        PredecessorEnd::Unknown => leader.seen_ms + VM_COMMAND_LIFETIME_MS,
        PredecessorEnd::Resigned => 0,
        // Our clock began after it had ended; the service may still be at work on what it had sent.
        PredecessorEnd::Restarted => VM_COMMAND_TIMEOUT_MS,
    }
}

/// Permits of a step.
#[derive(Clone, Debug, Default)]
struct StepPermits {
    allowed: HashMap<Arc<str>, Arc<str>>,
    expires_ms: u64,
    requested_ms: Option<u64>,
}

/// The leader's state.
pub struct Scheduler {
    term: u64,
    bounds: SiteBounds,
    config: Arc<SiteConfig>,
    /// Queues by name: as configured now, else as they last were, as jobs may still name them.
    queues: HashMap<Arc<str>, QueueSpec>,
    predecessor_lease_bound_ms: u64,
    predecessor_vm_bound_ms: u64,
    confirmed_ms: u64,
    is_deposed: bool,
    jobs: HashMap<JobId, JobRun>,
    awaiting_occurrences: BTreeSet<JobId>,
    /// Run times by queue.
    runtimes: HashMap<Arc<str>, RuntimeModel>,
    /// Jobs that are over, and since when this process knows that, in milliseconds: a wall clock may be set forward.
    finished: BTreeMap<JobId, u64>,
    tombstones: TombstoneTable,
    workers: BTreeMap<Arc<str>, WorkerState>,
    /// Ends of the leases of workers that were dropped as nothing runs there, in milliseconds: they may be listed again.
    dropped_lease_bounds: BTreeMap<Arc<str>, u64>,
    pending_commands: BTreeSet<(TaskKey, u32)>,
    abandoned: AbandonedRuns,
    losses: LossTracker,
    incarnations: IncarnationTable,
    waits: WaitLog,
    organisations: OrganisationLedger,
    shares: ShareLimiter,
    /// When what workers say of themselves was last read through, in milliseconds.
    workers_read_ms: u64,
    /// When the job log held no more than what we have been told, in milliseconds.
    jobs_read_ms: u64,
    /// Whether nothing was placed as the jobs are not known well enough.
    is_view_stale: bool,
    permits: HashMap<StepKey, StepPermits>,
    claims: CapacityClaims,
    commits: CommitQueue,
    fleet: FleetState,
    pace: FlowPace,
    actions: Vec<SchedulerAction>,
    needs_dispatch: bool,
    /// Whether the next placement looks for tasks that need a copy: every tenth of a second is soon enough.
    is_copy_check_due: bool,
    /// Whether tasks with room wait only for starts before them to go out.
    is_start_queue_full: bool,
    next_sweep_ms: u64,
    wall_ms: u64,
}

impl Scheduler {
    /// Takes over from the log: every run that it tells of may be alive.
    pub fn open(start: SchedulerStart, book: &JobTable) -> Scheduler {
        let SchedulerStart { term, bounds, config, predecessor, now, wall_ms, .. } = start;
        // The leader before extends no lease later than this long after it was last confirmed.
        let lease_ms = bounds.lease_max_ms * 100 / 98 + 100;
        let predecessor_lease_bound_ms =
            predecessor.map_or(0, |leader| leader.seen_ms + CONFIRMATION_TIMEOUT_MS + lease_ms);
        // A VM service that checks no tokens would carry its commands out after ours.
        let predecessor_vm_bound_ms = match bounds.are_vms_fenced {
            true => 0,
            false => predecessor.map_or(0, predecessor_vm_bound_ms),
        };
        let mut scheduler = Scheduler {
            term,
            bounds,
            config,
            queues: HashMap::new(),
            predecessor_lease_bound_ms,
            predecessor_vm_bound_ms,
            confirmed_ms: start.confirmed_ms,
            is_deposed: false,
            jobs: HashMap::new(),
            awaiting_occurrences: BTreeSet::new(),
            runtimes: HashMap::new(),
            finished: BTreeMap::new(),
            tombstones: TombstoneTable::default(),
            workers: BTreeMap::new(),
            dropped_lease_bounds: BTreeMap::new(),
            pending_commands: BTreeSet::new(),
            abandoned: AbandonedRuns::default(),
            losses: LossTracker::open(now),
            incarnations: IncarnationTable::default(),
            waits: WaitLog::open(now),
            organisations: OrganisationLedger::default(),
            shares: ShareLimiter::default(),
            workers_read_ms: start.workers_read_ms,
            jobs_read_ms: start.jobs_read_ms,
            is_view_stale: false,
            permits: HashMap::new(),
            claims: CapacityClaims::default(),
            commits: CommitQueue::default(),
            fleet: FleetState::default(),
            pace: FlowPace::default(),
            actions: Vec::new(),
            needs_dispatch: true,
            is_copy_check_due: false,
            is_start_queue_full: false,
            next_sweep_ms: now,
            wall_ms,
        };
        scheduler.organisations.configure(&scheduler.config);
        scheduler.register_queues();
        for (service, lost) in book.losses() {
            scheduler.losses.restore(service, lost, now, wall_ms);
        }
        for (id, job) in book.iter() {
            scheduler.restore(*id, job, now, wall_ms);
        }
        scheduler
    }

    fn restore(&mut self, id: JobId, job: &LoggedJob, now: u64, wall_ms: u64) {
        for mark in job.tombstones.keys() {
            self.tombstones.insert(id, *mark, now);
        }
        let Some(submission) = &job.submission else {
            if job.is_cancelled {
                self.cancel(id, RecordSource::Restored, now);
            }
            return;
        };
        let age_ms = wall_ms.saturating_sub(submission.accepted_ms);
        self.register_queue_of(submission);
        let Some(mut run) = JobRun::restore(id, job, now.saturating_sub(age_ms)) else { return };
        let live = run.live_tasks();
        if run.state.is_final() {
            // A cancellation can be on the log without the progress that tells its time.
            if run.ended_wall_ms == 0 {
                run.ended_wall_ms = wall_ms;
            }
            self.finished.insert(id, job.finished_ms.unwrap_or(now));
            if live.is_empty() {
                return;
            }
        }
        run.restore_last_alive(job, now, wall_ms);
        let exhausted = run.exhausted_task();
        if !run.state.is_final() {
            run.open_losses().for_each(|losses| self.losses.track_losses(id, losses));
        }
        self.jobs.insert(id, run);
        for key in live {
            self.adopt_runs(&key, now);
        }
        if let Some(task) = exhausted {
            self.give_up(&task, "it has lost too many workers", now);
        }
        self.awaiting_occurrences.insert(id);
    }

    /// Data centre of a worker.
    pub fn centre_of(&self, worker: &str) -> Option<Arc<str>> {
        self.workers.get(worker).map(|worker| worker.entry.centre.clone())
    }

    /// Term of this leader.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Fencing token of its commands.
    pub fn fence(&self) -> u64 {
        self.term * FENCING_TOKENS_PER_TERM
    }

    /// Whether somebody with a higher term was seen: nothing may be done any more.
    pub fn is_deposed(&self) -> bool {
        self.is_deposed
    }

    /// A later leader has shut us out of the log.
    pub fn depose(&mut self) {
        self.is_deposed = true;
    }

    /// The log has confirmed our leadership with an append that was sent at `sent_ms`.
    pub fn confirm(&mut self, sent_ms: u64) {
        self.confirmed_ms = self.confirmed_ms.max(sent_ms);
    }

    /// How fast commands get through to the workers now.
    pub fn set_pace(&mut self, pace: FlowPace) {
        self.pace = pace;
    }

    /// Whether we are behind ourselves: answers of several workers come after their time. What is believed
    /// of the workers is old then, and their silence is ours.
    pub(crate) fn is_lagging(&self, now: u64) -> bool {
        let is_late = |worker: &&WorkerState| {
            worker.late_answer_ms.is_some_and(|late| now < late + LATE_AGE_MS)
        };
        let late = self.workers.values().filter(is_late).count();
        late >= LATE_WORKERS_MIN.max(self.workers.len() / LATE_WORKERS_DIVISOR)
    }

    /// We have been told of all that the job log held at `shown_ms`.
    pub fn jobs_read(&mut self, shown_ms: u64) {
        if shown_ms > self.jobs_read_ms {
            self.jobs_read_ms = shown_ms;
            self.needs_dispatch |= std::mem::take(&mut self.is_view_stale);
        }
    }

    /// Whether starts may go by what we know of the jobs. One of a job that was cancelled by another entry, while
    /// our reads of the log are late, would run for nobody: half of the time until nothing of it may start is left
    /// for the start's own way.
    pub(crate) fn is_job_view_fresh(&self, now: u64) -> bool {
        now <= self.jobs_read_ms + self.bounds.cancel_ms / 2
    }

    /// When the latest start that is decided now may begin, in milliseconds. A cancellation that we have not been told
    /// of was acknowledged after the log held no more than we know.
    pub(crate) fn start_deadline_ms(&self) -> u64 {
        self.jobs_read_ms + self.bounds.cancel_ms.saturating_sub(START_MARGIN_MS)
    }

    /// Age of what we know of the jobs, in milliseconds.
    pub fn view_age_ms(&self, now: u64) -> u64 {
        now.saturating_sub(self.jobs_read_ms)
    }

    /// Age of the newest confirmation of our leadership, in milliseconds.
    pub fn confirmation_age_ms(&self, now: u64) -> u64 {
        now.saturating_sub(self.confirmed_ms)
    }

    fn is_confirmed(&self, now: u64) -> bool {
        now < self.confirmed_ms + CONFIRMATION_TIMEOUT_MS
    }

    /// Whether VMs may be commanded: no successor can have begun to, and no command of the leader before
    /// is under way any more.
    pub fn may_command_vms(&self, now: u64) -> bool {
        !self.is_deposed
            && now >= self.predecessor_vm_bound_ms
            && now < self.confirmed_ms + VM_CONFIRMATION_TIMEOUT_MS
    }

    fn lease_ms(&self) -> u64 {
        self.bounds.lease_max_ms.saturating_sub(LEASE_SLACK_MS)
    }

    /// What is to be done, in order.
    pub fn take_actions(&mut self) -> Vec<SchedulerAction> {
        std::mem::take(&mut self.actions)
    }

    fn emit(&mut self, event: SchedulerEvent) {
        self.actions.push(SchedulerAction::Event(event));
    }

    /// A new configuration is in force.
    pub fn set_config(&mut self, config: Arc<SiteConfig>) {
        self.organisations.configure(&config);
        self.config = config;
        self.register_queues();
        self.needs_dispatch = true;
    }

    /// Takes the queue of a job that no configuration we have read names: another entry has accepted the job by one that
    /// came and went meanwhile. Of the queue only its pool is known; one attempt is what any queue allows.
    fn register_queue_of(&mut self, submission: &JobSubmission) {
        if self.queues.contains_key(&submission.queue) {
            return;
        }
        let queue = QueueSpec {
            name: submission.queue.clone(),
            host: String::new(),
            path_prefix: String::new(),
            service: submission.service.clone(),
            timeout_ms: 0,
            objective_ms: 0,
            stretch: 1.0,
            priority: u32::MAX,
            attempts: 1,
            permits: None,
            is_open: false,
        };
        self.queues.insert(queue.name.clone(), queue);
    }

    /// Takes the queues of the configuration in force.
    fn register_queues(&mut self) {
        let named = self.config.queues.iter().map(|queue| (queue.name.clone(), queue.clone()));
        self.queues.extend(named);
    }

    /// Queue of a job: as configured now, else as it last was.
    fn queue_of(&self, job: &JobRun) -> Option<&QueueSpec> {
        self.queues.get(&job.submission.queue)
    }

    /// What is known of the run times of a queue.
    fn runtime_model(&self, queue: &QueueSpec) -> RuntimeModel {
        self.runtimes.get(&queue.name).copied().unwrap_or_default()
    }

    /// Pool of a job: as configured now, else as it was when the job was accepted.
    fn service_of(&self, job: &JobRun) -> Arc<str> {
        self.queue_of(job)
            .map_or_else(|| job.submission.service.clone(), |queue| queue.service.clone())
    }

    /// A record of the job log that others may have written.
    pub fn apply_record(&mut self, record: &JobRecord, now: u64) {
        self.apply_record_from(RecordSource::Read, record, now);
    }

    pub(crate) fn apply_record_from(&mut self, source: RecordSource, record: &JobRecord, now: u64) {
        match record {
            JobRecord::Submitted(job, submission) => {
                // Repeats of a submission come seconds late, also after the job is over.
                let is_known = self.jobs.contains_key(job) || self.finished.contains_key(job);
                if is_known || submission.has_no_spec() {
                    return;
                }
                if self.tombstones.is_cancelled(*job, submission.organisation.as_ref()) {
                    self.finished.insert(*job, now);
                    return;
                }
                self.register_queue_of(submission);
                let booked = LoggedJob::submitted(submission.clone());
                let Some(mut run) = JobRun::restore(*job, &booked, now) else { return };
                run.is_beyond_share = !self.is_within_share(submission, now);
                if submission.spec.schedule.is_none() {
                    let service = self.service_of(&run);
                    let model = self.queue_of(&run).map(|queue| self.runtime_model(queue));
                    let arrivals = self.fleet.arrivals.entry(service).or_default();
                    arrivals.record_arrival(&submission.spec, &model.unwrap_or_default(), now);
                }
                self.jobs.insert(*job, run);
                self.awaiting_occurrences.insert(*job);
                self.needs_dispatch = true;
            }
            JobRecord::Cancelled(job) => self.cancel(*job, source, now),
            JobRecord::CancelledBy(job, mark) => self.cancel_by(*job, *mark, source, now),
            JobRecord::Progress(..)
            | JobRecord::Dropped(_)
            | JobRecord::TombstoneDropped(..)
            | JobRecord::Wave(..)
            | JobRecord::Losses(..) => {}
        }
    }

    /// Whether a job that arrives is within its organisation's share.
    fn is_within_share(&mut self, submission: &JobSubmission, now: u64) -> bool {
        let Some(organisation) = &submission.organisation else { return true };
        let weight = self.organisations.weight(organisation);
        self.shares.try_take_tokens(organisation, weight, now)
    }

    fn cancel(&mut self, id: JobId, source: RecordSource, now: u64) {
        self.log_cancellation(id, source, now);
        let Some(job) = self.jobs.get_mut(&id) else {
            // Another entry has stored the job, and we have yet to read it: the cancellation came sooner, by the
            // relay. Forgotten, it would never be heard of again, and the job would run.
            self.finished.entry(id).or_insert(now);
            self.commits.cancel_job_drop(id);
            return;
        };
        if job.state.is_final() {
            return;
        }
        job.state = JobState::Cancelled;
        job.ended_wall_ms = self.wall_ms;
        self.finished.insert(id, now);
        self.losses.forget_job(id);
        let age_ms = now.saturating_sub(job.arrived_ms);
        self.emit(SchedulerEvent::JobState { job: id, state: JobState::Cancelled, age_ms });
        self.commits.mark_changed(id);
        self.stop_job(id, now);
    }

    /// A worker reports itself, for the first time or with something new.
    pub fn worker_seen(&mut self, entry: WorkerEntry, now: u64) {
        if !self.begin_incarnation(&entry, now) {
            return;
        }
        let id = entry.id.clone();
        self.needs_dispatch = true;
        let Some(worker) = self.workers.get_mut(&id) else {
            let bound = self
                .dropped_lease_bounds
                .remove(&id)
                .unwrap_or(0)
                .max(self.predecessor_lease_bound_ms);
            let worker = WorkerState::new(entry, bound, now);
            let target = worker.target();
            self.workers.insert(id.clone(), worker);
            self.emit(SchedulerEvent::Worker { worker: id, change: "listed", runs: 0 });
            self.actions.push(SchedulerAction::StartRenewals(target));
            return;
        };
        if entry.is_draining && !worker.entry.is_draining {
            worker.draining_since_ms = Some(now);
            let runs = worker.runs.len();
            self.emit(SchedulerEvent::Worker { worker: id, change: "draining", runs });
            self.update_worker_entry(entry, now);
            return;
        }
        let was_listed = std::mem::replace(&mut worker.is_listed, true);
        if !entry.is_draining {
            worker.draining_since_ms = None;
        }
        let target = WorkerTarget { id, address: entry.address };
        self.update_worker_entry(entry, now);
        if !was_listed {
            self.actions.push(SchedulerAction::StartRenewals(target));
        }
    }

    /// The entry of a worker of this name is gone.
    pub fn worker_unlisted(&mut self, name: &Arc<str>, now: u64) {
        let id = self.incarnations.newest(name).clone();
        self.life_unlisted(&id, now);
    }

    /// A life's entry is gone. It may run on behind a cut, so its runs are not over yet.
    fn life_unlisted(&mut self, id: &Arc<str>, now: u64) {
        self.revoke_starts(id, "its worker is not listed", now);
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.is_listed = false;
        worker.silent_since_ms.get_or_insert(now);
        let (runs, bound) = (worker.runs.len(), worker.lease_bound_ms());
        self.emit(SchedulerEvent::Worker { worker: id.clone(), change: "not listed", runs });
        if runs == 0 {
            self.workers.remove(id);
            self.dropped_lease_bounds.insert(id.clone(), bound);
        }
        self.fleet.is_list_wanted = true;
        self.needs_dispatch = true;
    }

    /// Every worker that is listed now; the others' entries are gone.
    pub fn workers_listed(&mut self, entries: Vec<WorkerEntry>, now: u64) {
        // Those that are listed under another life are dealt with when that is taken in.
        let listed: BTreeSet<&str> = entries.iter().map(|entry| worker_name(&entry.id)).collect();
        let is_gone = |id: &&Arc<str>| !listed.contains(worker_name(id));
        let gone: Vec<Arc<str>> = self.workers.keys().filter(is_gone).cloned().collect();
        for id in gone {
            self.life_unlisted(&id, now);
        }
        for entry in entries {
            self.worker_seen(entry, now);
        }
    }

    /// The VM list, as it was when it was asked for at `requested_ms`.
    pub fn update_vms(&mut self, vms: Vec<VmEntry>, requested_ms: u64, now: u64) {
        self.fleet.update_list(vms, &self.incarnations, requested_ms);
        self.end_vanished_workers(requested_ms, now);
        self.needs_dispatch = true;
    }

    /// A wave of maintenance, and which VMs of it have been maintained already.
    pub fn add_wave(&mut self, wave: MaintenanceWave, done: BTreeSet<Arc<str>>, now: u64) {
        self.fleet.add_wave(wave, done, now);
    }

    /// Permits of a step have come; none if there was no answer.
    pub fn update_permits(&mut self, step: StepKey, grant: Option<PermitGrant>, now: u64) {
        let permits = self.permits.entry(step).or_default();
        permits.requested_ms = None;
        if let Some(grant) = grant {
            permits.expires_ms = now + grant.valid_ms;
            permits.allowed = grant.allowed.into_iter().collect();
        }
        self.needs_dispatch = true;
    }

    /// Does what is due: occurrences, retries, judgements, placement, VMs.
    pub fn tick(&mut self, now: u64, wall_ms: u64) {
        if self.is_deposed {
            return;
        }
        self.wall_ms = wall_ms;
        self.begin_due_occurrences(wall_ms);
        self.expire_silent_workers(now);
        self.give_up_due_jobs(now);
        if now >= self.next_sweep_ms {
            self.next_sweep_ms = now + runs::SWEEP_INTERVAL_MS;
            if !self.is_lagging(now) {
                self.move_stragglers(now);
            }
            self.stop_broken_gangs(now);
            self.drop_finished_jobs(now);
            self.log_waits(now);
            self.dropped_lease_bounds.retain(|_, bound| now < *bound);
            self.is_copy_check_due = true;
            self.needs_dispatch = true;
        }
        self.plan_fleet(now);
        if std::mem::take(&mut self.needs_dispatch) || self.may_place_again() {
            self.dispatch(now);
        }
        self.send_due_commands(now);
    }

    fn begin_due_occurrences(&mut self, wall_ms: u64) {
        let mut over = Vec::new();
        for id in &self.awaiting_occurrences {
            let Some(job) = self.jobs.get_mut(id) else {
                over.push(*id);
                continue;
            };
            self.needs_dispatch |= job.begin_due(wall_ms);
            if job.next_occurrence >= job.submission.spec.occurrences() || job.state.is_final() {
                over.push(*id);
            }
        }
        for id in over {
            self.awaiting_occurrences.remove(&id);
        }
    }

    /// Figures for metrics and status.
    pub fn stats(&self) -> SchedulerStats {
        let mut census = SchedulerStats { jobs: self.jobs.len(), ..Default::default() };
        for worker in self.workers.values() {
            census.workers += usize::from(worker.is_listed);
            census.silent += usize::from(worker.silent_since_ms.is_some());
            census.runs += worker.runs.len();
        }
        census
    }
}

/// Figures of a leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulerStats {
    /// Jobs that are not over.
    pub jobs: usize,
    /// Workers that are listed.
    pub workers: usize,
    /// Workers that don't answer.
    pub silent: usize,
    /// Runs that may be alive.
    pub runs: usize,
}
