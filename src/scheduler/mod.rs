//! The leader's decisions about jobs, workers and VMs, as one state machine without I/O.
//!
//! Inputs arrive through methods that take the time as an argument. Outputs are collected as
//! [`SchedulerAction`]s and as [`CommitBatch`](commit::CommitBatch)es for the log. Three invariants
//! hold:
//!
//! * A run is written to the log before its start is sent. A new leader therefore knows every run
//!   that may be alive, and on which worker.
//! * A worker's exit is acknowledged to the worker only once its effect is on the log. Until then
//!   the worker lists the exit again to whoever leads.
//! * A task is started again only when its earlier run is known to be over: the worker lists its
//!   exit, the worker's incarnation is over, or every lease that the worker can have has expired.

pub(crate) mod abandoned;
pub mod action;
mod capacity;
pub mod commit;
mod copies;
pub mod demand;
pub mod dispatch;
pub mod downtime;
pub mod fair_share;
pub mod fleet;
mod gang;
mod idle_jobs;
pub mod idle_log;
mod incarnations;
pub mod job;
pub mod ledger;
pub mod line;
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
pub mod start_log;
pub mod stragglers;
pub mod throttle;
mod tombstones;
pub mod turns;
mod waits;
mod withdrawal;
pub mod worker;
mod worker_table;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::decide::lateness::round_extra_ms;
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
use crate::scheduler::dispatch::PlacementRound;
use crate::scheduler::fair_share::FairOrder;
use crate::scheduler::fleet::FleetState;
use crate::scheduler::idle_jobs::SlackPools;
use crate::scheduler::idle_log::IdleJobLog;
use crate::scheduler::incarnations::IncarnationTable;
use crate::scheduler::job::JobRun;
use crate::scheduler::ledger::LearnedLedger;
use crate::scheduler::line::LineTracker;
use crate::scheduler::losses::LossTracker;
use crate::scheduler::organisation::OrganisationLedger;
use crate::scheduler::preemption::CapacityClaims;
use crate::scheduler::runtime::RuntimeModel;
use crate::scheduler::share::ShareLimiter;
use crate::scheduler::start_log::BeginLog;
use crate::scheduler::tombstones::TombstoneTable;
use crate::scheduler::waits::WaitLog;
use crate::scheduler::worker::WorkerState;
use crate::scheduler::worker_table::{NameHashing, NameMap, WorkerTable};

/// Fencing tokens that one term may use, so that a leader can raise its own.
pub const FENCING_TOKENS_PER_TERM: u64 = 1 << 10;
/// Time without a confirmation of the leadership after which the leader extends no lease and starts
/// nothing, in milliseconds. A successor waits this long before it declares runs on unreachable
/// workers dead. It is long enough for three renewals of the leadership.
pub const CONFIRMATION_TIMEOUT_MS: u64 = 1_600;
/// Time without a confirmation after which the leader commands no VM, in milliseconds: one renewal
/// and a slow log's answer to it. Together with the lifetime of a command it ends before others may
/// claim the leadership, so a takeover after silence never has to wait for VM commands.
pub const VM_CONFIRMATION_TIMEOUT_MS: u64 = 800;
/// Time after a leader's last confirmation from which none of its commands to VMs can still be
/// carried out, in milliseconds.
pub const VM_COMMAND_LIFETIME_MS: u64 = VM_CONFIRMATION_TIMEOUT_MS + VM_COMMAND_TIMEOUT_MS;
/// Time for which a late answer counts as a sign that the leader lags, in milliseconds.
const LATE_AGE_MS: u64 = 2_000;
/// The leader lags if at least this many workers answered late, and one in `LATE_WORKERS_DIVISOR`:
/// a few workers can be slow themselves.
const LATE_WORKERS_MIN: usize = 3;
const LATE_WORKERS_DIVISOR: usize = 16;
/// Margin before the time from which nothing of a cancelled job may start, in milliseconds: a
/// worker takes a while from reading its clock to starting the run.
const START_MARGIN_MS: u64 = 100;
/// Margin by which a lease is shorter than the longest one, in milliseconds: a command may be in
/// flight.
pub(crate) const LEASE_SLACK_MS: u64 = 200;

/// State from which a new leader starts.
pub struct SchedulerStart {
    /// Term of this leader.
    pub term: u64,
    /// Time bounds that the site promises.
    pub bounds: SiteBounds,
    /// Configuration in force.
    pub config: Arc<SiteConfig>,
    /// The previous leader, as last seen.
    pub predecessor: Option<PreviousLeader>,
    /// When the newest confirmation of this leadership was sent, in milliseconds.
    pub confirmed_ms: u64,
    /// Time up to which the given job table reflects the job log, in milliseconds.
    pub jobs_read_ms: u64,
    /// Time up to which the workers' reports of themselves have been read, in milliseconds.
    pub workers_read_ms: u64,
    /// Now, in milliseconds of the steady clock.
    pub now: u64,
    /// Now, in milliseconds since the epoch.
    pub wall_ms: u64,
}

/// Time from which no command of a previous leader to a VM can still be carried out, in
/// milliseconds.
fn predecessor_vm_bound_ms(leader: PreviousLeader) -> u64 {
    match leader.end {
        PredecessorEnd::Unknown => leader.seen_ms + VM_COMMAND_LIFETIME_MS,
        PredecessorEnd::Resigned => 0,
        // This process's clock started after the predecessor had ended, but the VM service may
        // still be carrying out its last commands.
        PredecessorEnd::Restarted => VM_COMMAND_TIMEOUT_MS,
    }
}

/// Placement permits of a step.
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
    /// Queues by name: as configured now, else as last configured, since jobs may still refer to
    /// them.
    queues: NameMap<QueueSpec>,
    predecessor_lease_bound_ms: u64,
    predecessor_vm_bound_ms: u64,
    confirmed_ms: u64,
    is_deposed: bool,
    jobs: HashMap<JobId, JobRun, NameHashing>,
    awaiting_occurrences: BTreeSet<JobId>,
    /// Run times by queue.
    runtimes: NameMap<RuntimeModel>,
    /// Jobs that are over, and when this process learned so, by the steady clock in milliseconds: a
    /// wall clock may be set forward.
    finished: BTreeMap<JobId, u64>,
    tombstones: TombstoneTable,
    workers: WorkerTable,
    /// Upper bounds of the leases of workers that were dropped because nothing runs there, in
    /// milliseconds: the workers may be listed again.
    dropped_lease_bounds: BTreeMap<Arc<str>, u64>,
    pending_commands: BTreeSet<(TaskKey, u32)>,
    /// Runs that this leader has placed.
    runs_placed: u64,
    /// Pending commands that are stops or for workers that can't be reached, as of the last tick.
    held_commands: usize,
    /// Starts among them that were handed out and have no answer.
    sent_starts: usize,
    abandoned: AbandonedRuns,
    losses: LossTracker,
    incarnations: IncarnationTable,
    waits: WaitLog,
    idle_log: IdleJobLog,
    begins: BeginLog,
    organisations: OrganisationLedger,
    shares: ShareLimiter,
    learned: LearnedLedger,
    fair_order: FairOrder,
    /// Time up to which the workers' reports of themselves have been read, in milliseconds.
    workers_read_ms: u64,
    /// Time up to which the job log has been applied here, in milliseconds.
    jobs_read_ms: u64,
    /// Whether placement was skipped because the view of the jobs was stale.
    is_view_stale: bool,
    permits: HashMap<StepKey, StepPermits>,
    claims: CapacityClaims,
    round: PlacementRound,
    slack_pools: SlackPools,
    commits: CommitQueue,
    fleet: FleetState,
    line: LineTracker,
    pace: FlowPace,
    /// Longest time for which an attempt to start a run is waited for, in milliseconds.
    start_timeout_ms: u64,
    actions: Vec<SchedulerAction>,
    needs_dispatch: bool,
    /// Whether the next placement also checks which tasks need a copy; every tenth of a second is
    /// enough.
    is_copy_check_due: bool,
    /// Whether caps have changed since starts were last compared with them.
    is_cap_check_due: bool,
    /// Whether tasks that fit on a worker wait only because too many starts are queued.
    is_start_queue_full: bool,
    next_sweep_ms: u64,
    /// Earliest time of the next placement, in milliseconds.
    next_dispatch_ms: u64,
    wall_ms: u64,
}

impl Scheduler {
    /// Takes over with the state from the log. Every run recorded there may be alive.
    pub fn open(start: SchedulerStart, job_table: &JobTable) -> Scheduler {
        let SchedulerStart { term, bounds, config, predecessor, now, wall_ms, .. } = start;
        // The predecessor extends no lease later than this after its last confirmation.
        let lease_ms = bounds.lease_max_ms * 100 / 98 + 100;
        let predecessor_lease_bound_ms =
            predecessor.map_or(0, |leader| leader.seen_ms + CONFIRMATION_TIMEOUT_MS + lease_ms);
        // A VM service that does not check fencing tokens could carry out the predecessor's
        // commands after this leader's.
        let predecessor_vm_bound_ms = match bounds.are_vms_fenced {
            true => 0,
            false => predecessor.map_or(0, predecessor_vm_bound_ms),
        };
        let mut scheduler = Scheduler {
            term,
            bounds,
            config,
            queues: NameMap::default(),
            predecessor_lease_bound_ms,
            predecessor_vm_bound_ms,
            confirmed_ms: start.confirmed_ms,
            is_deposed: false,
            jobs: HashMap::default(),
            awaiting_occurrences: BTreeSet::new(),
            runtimes: NameMap::default(),
            finished: BTreeMap::new(),
            tombstones: TombstoneTable::default(),
            workers: WorkerTable::default(),
            dropped_lease_bounds: BTreeMap::new(),
            pending_commands: BTreeSet::new(),
            runs_placed: 0,
            held_commands: 0,
            sent_starts: 0,
            abandoned: AbandonedRuns::default(),
            losses: LossTracker::open(now),
            incarnations: IncarnationTable::default(),
            waits: WaitLog::open(now),
            idle_log: IdleJobLog::default(),
            begins: BeginLog::default(),
            organisations: OrganisationLedger::default(),
            shares: ShareLimiter::default(),
            learned: LearnedLedger::default(),
            fair_order: FairOrder::default(),
            workers_read_ms: start.workers_read_ms,
            jobs_read_ms: start.jobs_read_ms,
            is_view_stale: false,
            permits: HashMap::new(),
            claims: CapacityClaims::default(),
            round: PlacementRound::default(),
            slack_pools: SlackPools::default(),
            commits: CommitQueue::default(),
            fleet: FleetState::default(),
            line: LineTracker::default(),
            pace: FlowPace::default(),
            start_timeout_ms: 0,
            actions: Vec::new(),
            needs_dispatch: true,
            is_copy_check_due: false,
            is_cap_check_due: true,
            is_start_queue_full: false,
            next_sweep_ms: now,
            next_dispatch_ms: now,
            wall_ms,
        };
        scheduler.organisations.configure(&scheduler.config);
        scheduler.register_queues();
        for (service, lost) in job_table.losses() {
            scheduler.losses.restore(service, lost, now, wall_ms);
        }
        for (id, job) in job_table.iter() {
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
            // The log can hold a cancellation without the progress record that has its time.
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

    /// Data centre of a worker; `None` if the worker is unknown.
    pub fn centre_of(&self, worker: &str) -> Option<Arc<str>> {
        self.workers.get(worker).map(|worker| worker.entry.centre.clone())
    }

    /// Term of this leader.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Lowest fencing token of this leader's commands.
    pub fn fence(&self) -> u64 {
        self.term * FENCING_TOKENS_PER_TERM
    }

    /// Whether a higher term was seen. A deposed leader must not act any more.
    pub fn is_deposed(&self) -> bool {
        self.is_deposed
    }

    /// Deposes this leader: a later leader has fenced it off the log.
    pub fn depose(&mut self) {
        self.is_deposed = true;
    }

    /// Records that the log confirmed the leadership with an append sent at `sent_ms`.
    pub fn confirm(&mut self, sent_ms: u64) {
        self.confirmed_ms = self.confirmed_ms.max(sent_ms);
    }

    /// Sets how fast commands currently reach the workers.
    pub fn set_pace(&mut self, pace: FlowPace) {
        self.pace = pace;
    }

    /// Sets the longest time for which an attempt to start a run is waited for, in milliseconds.
    pub fn set_start_timeout(&mut self, timeout_ms: u64) {
        self.start_timeout_ms = timeout_ms;
    }

    /// Whether the leader itself lags: several workers' answers came after their timeout. Its view
    /// of the workers is then out of date, and their silence may be its own fault.
    pub(crate) fn is_lagging(&self, now: u64) -> bool {
        let is_late = |worker: &&WorkerState| {
            worker.late_answer_ms.is_some_and(|late| now < late + LATE_AGE_MS)
        };
        let late = self.workers.values().filter(is_late).count();
        late >= LATE_WORKERS_MIN.max(self.workers.len() / LATE_WORKERS_DIVISOR)
    }

    /// Records that everything the job log held at `shown_ms` has been applied.
    pub fn jobs_read(&mut self, shown_ms: u64) {
        if shown_ms > self.jobs_read_ms {
            self.jobs_read_ms = shown_ms;
            self.needs_dispatch |= std::mem::take(&mut self.is_view_stale);
        }
    }

    /// Whether the view of the jobs is fresh enough to start runs. Another entry may have cancelled
    /// a job that reads of the log have not shown yet, and a start of it would be wasted. Half of
    /// the promised cancellation time is therefore left for the delivery of the start.
    pub(crate) fn is_job_view_fresh(&self, now: u64) -> bool {
        now <= self.jobs_read_ms + self.bounds.cancel_ms / 2
    }

    /// Latest time at which a start that is decided now may begin, in milliseconds. A cancellation
    /// that has not been read yet was acknowledged after `jobs_read_ms`.
    pub(crate) fn start_deadline_ms(&self) -> u64 {
        self.jobs_read_ms + self.bounds.cancel_ms.saturating_sub(START_MARGIN_MS)
    }

    /// Age of the view of the jobs, in milliseconds.
    pub fn view_age_ms(&self, now: u64) -> u64 {
        now.saturating_sub(self.jobs_read_ms)
    }

    /// Age of the newest confirmation of the leadership, in milliseconds.
    pub fn confirmation_age_ms(&self, now: u64) -> u64 {
        now.saturating_sub(self.confirmed_ms)
    }

    fn is_confirmed(&self, now: u64) -> bool {
        now < self.confirmed_ms + CONFIRMATION_TIMEOUT_MS
    }

    /// Whether the leader may command VMs: no successor can have started to, and no command of the
    /// predecessor is in flight any more.
    pub fn may_command_vms(&self, now: u64) -> bool {
        !self.is_deposed
            && now >= self.predecessor_vm_bound_ms
            && now < self.confirmed_ms + VM_CONFIRMATION_TIMEOUT_MS
    }

    fn lease_ms(&self) -> u64 {
        self.bounds.lease_max_ms.saturating_sub(LEASE_SLACK_MS)
    }

    /// Takes the pending actions, in the order in which they must be carried out.
    pub fn take_actions(&mut self) -> Vec<SchedulerAction> {
        std::mem::take(&mut self.actions)
    }

    fn emit(&mut self, event: SchedulerEvent) {
        self.actions.push(SchedulerAction::Event(event));
    }

    /// Puts a new configuration into force.
    pub fn set_config(&mut self, config: Arc<SiteConfig>) {
        self.organisations.configure(&config);
        self.is_cap_check_due = true;
        self.config = config;
        self.register_queues();
        self.needs_dispatch = true;
    }

    /// Adds the queue of a job if no configuration read here names it: another entry accepted the
    /// job under a configuration that came and went in between. Only the pool of the queue is
    /// known; one attempt is allowed by every queue.
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

    fn register_queues(&mut self) {
        let named = self.config.queues.iter().map(|queue| (queue.name.clone(), queue.clone()));
        self.queues.extend(named);
    }

    /// Queue of a job: as configured now, else as last configured.
    fn queue_of(&self, job: &JobRun) -> Option<&QueueSpec> {
        self.queues.get(&job.submission.queue)
    }

    fn runtime_model(&self, queue: &QueueSpec) -> RuntimeModel {
        self.runtimes.get(&queue.name).copied().unwrap_or_default()
    }

    /// Pool of a job: as configured now, else as it was when the job was accepted.
    fn service_of(&self, job: &JobRun) -> Arc<str> {
        self.queue_of(job)
            .map_or_else(|| job.submission.service.clone(), |queue| queue.service.clone())
    }

    /// Applies a record read from the job log, which others may have written.
    pub fn apply_record(&mut self, record: &JobRecord, now: u64) {
        self.apply_record_from(RecordSource::Read, record, now);
    }

    pub(crate) fn apply_record_from(&mut self, source: RecordSource, record: &JobRecord, now: u64) {
        match record {
            JobRecord::Submitted(job, submission) => {
                // A repeated submission can arrive seconds late, even after the job is over.
                let is_known = self.jobs.contains_key(job) || self.finished.contains_key(job);
                if is_known || submission.has_no_spec() {
                    return;
                }
                if self.tombstones.is_cancelled(*job, submission.organisation.as_ref()) {
                    self.finished.insert(*job, now);
                    return;
                }
                self.register_queue_of(submission);
                let logged = LoggedJob::submitted(submission.clone());
                let Some(mut run) = JobRun::restore(*job, &logged, now) else { return };
                run.is_beyond_share = !self.is_within_share(submission, now);
                if submission.spec.schedule.is_none() {
                    let service = self.service_of(&run);
                    let model = self.queue_of(&run).map(|queue| self.runtime_model(queue));
                    if let (Some(queue), Some(model)) = (self.queues.get(&submission.queue), &model)
                        && !run.is_beyond_share
                    {
                        self.line.record_arrival(queue, &submission.spec, model, now);
                    }
                    let arrivals = self.fleet.arrivals.entry(service).or_default();
                    arrivals.record_arrival(&submission.spec, &model.unwrap_or_default(), now);
                }
                self.begins.record_accepted();
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
            | JobRecord::Losses(..)
            | JobRecord::Learned(..) => {}
        }
    }

    /// Whether an arriving job is within its organisation's share. Counts the job.
    fn is_within_share(&mut self, submission: &JobSubmission, now: u64) -> bool {
        let Some(organisation) = &submission.organisation else { return true };
        let weight = self.organisations.weight(organisation);
        self.shares.try_take_tokens(organisation, weight, now)
    }

    fn cancel(&mut self, id: JobId, source: RecordSource, now: u64) {
        self.log_cancellation(id, source, now);
        let Some(job) = self.jobs.get_mut(&id) else {
            // Another entry stored the job and this leader has not read it yet: the cancellation
            // came first, by the relay. If it were dropped here, it would never be seen again, and
            // the job would run.
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

    /// Applies a worker's report of itself, its first or a changed one.
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
            self.workers.insert(worker);
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

    /// Handles that the entry of a worker of this name is gone.
    pub fn worker_unlisted(&mut self, name: &Arc<str>, now: u64) {
        let id = self.incarnations.newest(name).clone();
        self.life_unlisted(&id, now);
    }

    /// Handles that an incarnation's entry is gone. It may still run behind a network partition, so
    /// its runs are not over yet.
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

    /// Applies the full list of workers; those that are missing have lost their entries.
    pub fn workers_listed(&mut self, entries: Vec<WorkerEntry>, now: u64) {
        // A worker that is listed under another incarnation is handled when that entry is applied.
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

    /// Applies the VM list that was requested at `requested_ms`.
    pub fn update_vms(&mut self, vms: Vec<VmEntry>, requested_ms: u64, now: u64) {
        self.fleet.update_list(vms, &self.incarnations, requested_ms);
        self.end_vanished_workers(requested_ms, now);
        self.needs_dispatch = true;
    }

    /// Adds a maintenance wave and the VMs of it that have been maintained already.
    pub fn add_wave(&mut self, wave: MaintenanceWave, done: BTreeSet<Arc<str>>, now: u64) {
        self.fleet.add_wave(wave, done, now);
    }

    /// Applies the answer to a request for permits of a step; `None` if there was no answer.
    pub fn update_permits(&mut self, step: StepKey, grant: Option<PermitGrant>, now: u64) {
        let permits = self.permits.entry(step).or_default();
        permits.requested_ms = None;
        if let Some(grant) = grant {
            permits.expires_ms = now + grant.valid_ms;
            permits.allowed = grant.allowed.into_iter().collect();
        }
        self.needs_dispatch = true;
    }

    /// Carries out what is due: occurrences, retries, judgement of runs, placement, VM operations.
    pub fn tick(&mut self, now: u64, wall_ms: u64) {
        if self.is_deposed {
            return;
        }
        self.wall_ms = wall_ms;
        self.line.advance(now);
        self.begin_due_occurrences(wall_ms);
        self.expire_silent_workers(now);
        self.give_up_due_jobs(now);
        if now >= self.next_sweep_ms {
            let extra_ms = round_extra_ms(self.pace.loop_delay_ms);
            self.next_sweep_ms = now + runs::SWEEP_INTERVAL_MS + extra_ms;
            if !self.is_lagging(now) {
                self.move_stragglers(now);
            }
            self.stop_broken_gangs(now);
            self.drop_finished_jobs(now);
            self.log_waits(now);
            self.log_idle_jobs(now);
            self.dropped_lease_bounds.retain(|_, bound| now < *bound);
            self.is_copy_check_due = true;
            self.needs_dispatch = true;
        }
        if std::mem::take(&mut self.is_cap_check_due) {
            self.withdraw_beyond_caps(now);
        }
        self.plan_fleet(now);
        let is_wanted = self.needs_dispatch || self.may_place_again();
        if is_wanted && now >= self.next_dispatch_ms {
            self.needs_dispatch = false;
            self.dispatch(now);
        }
        self.seal_line(now);
        self.send_due_commands(now);
        self.write_learned(now);
        self.queue_due_begins(now);
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

    /// Counts for metrics and status.
    pub fn stats(&self) -> SchedulerStats {
        let held_vms = self.fleet.turns.held_vms();
        let mut census = SchedulerStats { jobs: self.jobs.len(), held_vms, ..Default::default() };
        for worker in self.workers.values() {
            census.workers += usize::from(worker.is_listed);
            census.silent += usize::from(worker.silent_since_ms.is_some());
            census.runs += worker.runs.len();
        }
        census
    }
}

/// Counts of a leader's jobs, workers and runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SchedulerStats {
    /// Jobs that are not over.
    pub jobs: usize,
    /// Workers with a listed entry.
    pub workers: usize,
    /// Workers that don't answer.
    pub silent: usize,
    /// Runs that may be alive.
    pub runs: usize,
    /// Idle VMs that are held between bursts.
    pub held_vms: usize,
}
