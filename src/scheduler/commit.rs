//! What waits for the log: runs that may start and exits that may be forgotten once it has them.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use crate::decide::access::OrganisationDigest;
use crate::decide::append_limit::APPEND_BYTES_MAX;
use crate::jobs::model::{JobId, JobSubmission, TaskKey};
use crate::jobs::record::{JobRecord, KeyedRecord, LostVm};
use crate::scheduler::job::RunPhase;
use crate::scheduler::{RecordSource, Scheduler};

/// Jobs dropped in one commit, of three small records each.
const DROPS_MAX: usize = 500;
/// Bytes that dropping a job takes, about.
const DROP_BYTES: usize = 128;
/// Jobs whose specs are taken off the log in one commit.
const SPEC_REMOVALS_MAX: usize = 500;
/// Part of a commit's room for the progress of jobs whose tasks are to start: it goes before all else.
const STARTS_DIVISOR: usize = 3;
/// Part of it for records of other entries, whose callers wait; progress takes the rest.
const RELAYED_DIVISOR: usize = 2;
/// Part of it that progress has at least, however large the records before it: exits wait for it.
const PROGRESS_DIVISOR: usize = 6;
/// Part of a commit's room that what nobody waits for may take: all else would stand behind it.
const BACKGROUND_DIVISOR: usize = 8;

/// Records for one append, and what it releases.
#[derive(Clone, Debug, Default)]
pub struct CommitBatch {
    /// Records.
    pub records: Vec<KeyedRecord>,
    /// The same, as a reader of the log sees them.
    pub decoded: Vec<JobRecord>,
    /// Batches of other entries that it carries.
    pub relayed: Vec<u64>,
    starts: Vec<(TaskKey, u32)>,
    exits: BTreeMap<Arc<str>, u64>,
}

impl CommitBatch {
    /// Size of its records.
    pub fn bytes(&self) -> usize {
        self.records.iter().map(|record| record.key.len() + record.value.len()).sum()
    }
}

/// Jobs whose record has changed, in the order in which they did so.
#[derive(Debug, Default)]
struct ChangedJobs {
    positions: BTreeMap<JobId, u64>,
    order: BTreeMap<u64, JobId>,
    next: u64,
}

impl ChangedJobs {
    fn insert(&mut self, job: JobId) {
        if let Entry::Vacant(position) = self.positions.entry(job) {
            position.insert(self.next);
            self.order.insert(self.next, job);
            self.next += 1;
        }
    }

    fn take(&mut self, job: JobId) -> bool {
        let position = self.positions.remove(&job);
        position.is_some_and(|position| self.order.remove(&position).is_some())
    }

    /// The oldest change from a place on.
    fn next_from(&self, position: u64) -> Option<(u64, JobId)> {
        self.order.range(position..).next().map(|(at, job)| (*at, *job))
    }

    fn contains(&self, job: JobId) -> bool {
        self.positions.contains_key(&job)
    }

    fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Place of the oldest change.
    fn oldest(&self) -> u64 {
        self.order.first_key_value().map_or(self.next, |(position, _)| *position)
    }
}

/// What has changed since the last commit was taken.
#[derive(Debug, Default)]
pub struct CommitQueue {
    jobs: ChangedJobs,
    starts: Vec<(TaskKey, u32)>,
    exits: BTreeMap<Arc<str>, u64>,
    /// Exits that wait for the changes before a place.
    held_exits: VecDeque<(u64, BTreeMap<Arc<str>, u64>)>,
    drops: Vec<JobId>,
    tombstone_drops: Vec<(JobId, OrganisationDigest)>,
    /// Jobs that are over and quiet, without their specs.
    spec_removals: VecDeque<(JobId, Arc<JobSubmission>)>,
    waves: BTreeMap<u64, BTreeSet<Arc<str>>>,
    losses: BTreeMap<Arc<str>, Vec<LostVm>>,
    relayed: VecDeque<(u64, VecDeque<JobRecord>)>,
}

impl CommitQueue {
    /// A job has changed.
    pub fn mark_changed(&mut self, job: JobId) {
        self.jobs.insert(job);
    }

    /// A run may be started once its job's record is on the log.
    pub fn queue_start(&mut self, task: TaskKey, run: u32) {
        self.jobs.insert(task.job);
        self.starts.push((task, run));
    }

    /// Runs that wait for the log.
    pub fn pending_starts(&self) -> usize {
        self.starts.len()
    }

    /// Exits of a worker through this number have been taken in.
    pub fn queue_exits(&mut self, worker: Arc<str>, through: u64) {
        self.exits.insert(worker, through);
    }

    /// A job is over for so long that the log need not keep it.
    pub fn drop_job(&mut self, job: JobId) {
        self.drops.push(job);
    }

    /// A job that was about to be dropped was cancelled again: the record must not be dropped behind itself.
    pub fn cancel_job_drop(&mut self, job: JobId) {
        self.drops.retain(|dropped| *dropped != job);
    }

    /// The same for a cancellation by an entry that did not know the job.
    pub fn cancel_tombstone_drop(&mut self, job: JobId, mark: OrganisationDigest) {
        self.tombstone_drops.retain(|dropped| *dropped != (job, mark));
    }

    /// A cancellation by an entry that did not know the job need not be kept.
    pub fn drop_tombstone(&mut self, job: JobId, mark: OrganisationDigest) {
        self.tombstone_drops.push((job, mark));
    }

    /// VMs of a wave that have been maintained.
    pub fn queue_wave(&mut self, number: u64, done: BTreeSet<Arc<str>>) {
        self.waves.insert(number, done);
    }

    /// VMs of a pool that have lost their workers lately.
    pub fn queue_losses(&mut self, service: Arc<str>, lost: Vec<LostVm>) {
        self.losses.insert(service, lost);
    }

    /// Jobs of which records of other entries wait.
    fn relayed_jobs(&self) -> BTreeSet<JobId> {
        let records = self.relayed.iter().flat_map(|(_, records)| records);
        records.filter_map(JobRecord::job).collect()
    }

    fn is_empty(&self) -> bool {
        self.jobs.is_empty()
            && self.exits.is_empty()
            && self.held_exits.is_empty()
            && self.drops.is_empty()
            && self.tombstone_drops.is_empty()
            && self.spec_removals.is_empty()
            && self.waves.is_empty()
            && self.losses.is_empty()
            && self.relayed.is_empty()
    }
}

impl Scheduler {
    /// Takes records that another entry has for the log. They go into the next append, together with
    /// what is decided about them: a job is accepted and placed with one wait for the log, and the
    /// log gets one append where each entry would make its own.
    pub fn relay(&mut self, token: u64, records: Vec<JobRecord>, now: u64) {
        for record in &records {
            self.apply_record_from(RecordSource::Relayed, record, now);
        }
        self.commits.relayed.push_back((token, records.into()));
    }

    /// The next append, of any size that the log takes.
    pub fn take_commit(&mut self) -> Option<CommitBatch> {
        self.take_commit_within(APPEND_BYTES_MAX)
    }

    /// The next append, of `bytes_max` bytes and a record; nothing if the log has everything. The caller appends
    /// it until it is done, in order, and then calls [`Scheduler::committed`].
    pub fn take_commit_within(&mut self, bytes_max: usize) -> Option<CommitBatch> {
        if self.is_deposed || self.commits.is_empty() {
            return None;
        }
        let mut batch = CommitBatch::default();
        let mut bytes = self.take_starts(&mut batch, bytes_max / STARTS_DIVISOR);
        bytes += self.take_relayed(&mut batch, bytes_max / RELAYED_DIVISOR);
        // A submission stands before the progress of its job, and no task may start before the log has the job.
        let relayed = self.commits.relayed_jobs();
        let (mut position, mut changed) = (0, 0);
        while (bytes < bytes_max || changed < bytes_max / PROGRESS_DIVISOR)
            && let Some((at, id)) = self.commits.jobs.next_from(position)
        {
            position = at + 1;
            if !relayed.contains(&id) {
                self.commits.jobs.take(id);
                let pushed = self.push_progress(&mut batch, id);
                (bytes, changed) = (bytes + pushed, changed + pushed);
            }
        }
        let background_max = bytes_max / BACKGROUND_DIVISOR;
        let drops_max = DROPS_MAX.min(background_max / DROP_BYTES).max(1);
        let dropped = self.commits.drops.len().min(drops_max);
        for job in self.commits.drops.drain(..dropped) {
            batch.records.extend(JobRecord::drop_records(job));
            batch.decoded.push(JobRecord::Dropped(job));
        }
        // A job without its cancellation would run: its own keys go first.
        let is_dropped = self.commits.drops.is_empty();
        let dropped =
            if is_dropped { self.commits.tombstone_drops.len().min(drops_max) } else { 0 };
        for (job, mark) in self.commits.tombstone_drops.drain(..dropped) {
            batch.records.push(JobRecord::drop_tombstone(job, mark));
            batch.decoded.push(JobRecord::TombstoneDropped(job, mark));
        }
        let (mut spec_removals, mut spec_bytes) = (0, 0);
        while spec_removals < SPEC_REMOVALS_MAX
            && spec_bytes < background_max
            && let Some((job, submission)) = self.commits.spec_removals.pop_front()
        {
            spec_bytes += push_record(&mut batch, JobRecord::Submitted(job, submission));
            spec_removals += 1;
        }
        while let Some((number, done)) = self.commits.waves.pop_first() {
            push_record(&mut batch, JobRecord::Wave(number, Arc::new(done)));
        }
        while let Some((service, lost)) = self.commits.losses.pop_first() {
            push_record(&mut batch, JobRecord::Losses(service, Arc::new(lost)));
        }
        // Jobs that did not fit keep their starts back for the next append, and the exits that were taken in with them.
        let left = &self.commits.jobs;
        let (later, now): (Vec<_>, Vec<_>) =
            self.commits.starts.drain(..).partition(|(task, _)| left.contains(task.job));
        batch.starts = now;
        self.commits.starts = later;
        let exits = std::mem::take(&mut self.commits.exits);
        if !exits.is_empty() {
            self.commits.held_exits.push_back((self.commits.jobs.next, exits));
        }
        let oldest = self.commits.jobs.oldest();
        while let Some((_, exits)) =
            self.commits.held_exits.pop_front_if(|(position, _)| *position <= oldest)
        {
            batch.exits.extend(exits);
        }
        Some(batch)
    }

    /// Progress of jobs whose starts wait for it, unless something that callers said of them is not on the log yet.
    fn take_starts(&mut self, batch: &mut CommitBatch, bytes_max: usize) -> usize {
        let relayed = self.commits.relayed_jobs();
        let waiting: Vec<JobId> = self.commits.starts.iter().map(|(task, _)| task.job).collect();
        let mut bytes = 0;
        for id in waiting {
            if bytes >= bytes_max {
                break;
            }
            if !relayed.contains(&id) && self.commits.jobs.take(id) {
                bytes += self.push_progress(batch, id);
            }
        }
        bytes
    }

    /// Records of other entries; a batch that does not fit is told of with its last part.
    fn take_relayed(&mut self, batch: &mut CommitBatch, bytes_max: usize) -> usize {
        let mut bytes = 0;
        while let Some((token, records)) = self.commits.relayed.front_mut() {
            while bytes < bytes_max
                && let Some(record) = records.pop_front()
            {
                bytes += push_record(batch, record);
            }
            if !records.is_empty() {
                break;
            }
            batch.relayed.push(*token);
            self.commits.relayed.pop_front();
        }
        bytes
    }

    fn push_progress(&self, batch: &mut CommitBatch, id: JobId) -> usize {
        let Some(job) = self.jobs.get(&id) else { return 0 };
        push_record(batch, JobRecord::Progress(id, Arc::new(job.progress(self.term))))
    }

    /// An append is on the log.
    pub fn committed(&mut self, batch: &CommitBatch, now: u64) {
        for (task, run) in &batch.starts {
            self.release_start(task, *run, now);
        }
        for (id, through) in &batch.exits {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.exits_committed = worker.exits_committed.max(*through);
                self.actions.push(crate::scheduler::SchedulerAction::RenewNow(id.clone()));
            }
        }
        self.drop_finished();
    }

    fn release_start(&mut self, task: &TaskKey, run: u32, now: u64) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let is_over = job.state.is_final();
        let Some(state) = job.task_mut(task) else { return };
        let Some(live) = state.live.iter_mut().find(|live| live.run == run) else { return };
        if live.phase != RunPhase::Planned {
            return;
        }
        if is_over || state.is_done {
            self.remove_run(task, run, now);
            return;
        }
        live.enter(RunPhase::Starting, now);
        self.pending_commands.insert((*task, run));
    }

    /// Drops jobs that are over and quiet from memory; the log has their last state.
    ///
    /// Their specs are taken off the log as well. They are nine tenths of what it keeps of a job: an entry
    /// that restarts on a link of 2 Mbit/s would read for ten seconds and more what nobody needs.
    fn drop_finished(&mut self) {
        let changed = &self.commits.jobs;
        let spec_removals = &mut self.commits.spec_removals;
        self.jobs.retain(|id, job| {
            let is_kept =
                !job.state.is_final() || changed.contains(*id) || !job.live_tasks().is_empty();
            if !is_kept && !job.submission.has_no_spec() {
                spec_removals.push_back((*id, Arc::new(job.submission.without_spec())));
            }
            is_kept
        });
    }
}

fn push_record(batch: &mut CommitBatch, record: JobRecord) -> usize {
    let Some(keyed) = record.encode() else { return 0 };
    let bytes = keyed.key.len() + keyed.value.len();
    batch.records.push(keyed);
    batch.decoded.push(record);
    bytes
}
