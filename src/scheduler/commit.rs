//! Changes that wait for the log, and the starts and acknowledgements of exits that they hold back.
//!
//! A leader in a burst commits ten times a second and more while it knows thousands of jobs. Each
//! commit therefore goes only through the jobs whose records have changed.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use crate::decide::access::OrganisationDigest;
use crate::decide::append_limit::APPEND_BYTES_MAX;
use crate::decide::intake::KeptBytes;
use crate::jobs::model::{JobId, JobSubmission, TaskKey};
use crate::jobs::record::{JobRecord, KeyedRecord, LearnedKey, LostVm};
use crate::scheduler::job::{JobRun, RunPhase};
use crate::scheduler::{RecordSource, Scheduler};

/// Jobs dropped in one commit; each takes three small records.
const DROPS_MAX: usize = 500;
/// Approximate size of the records that drop a job, in bytes.
const DROP_BYTES: usize = 128;
/// Jobs whose specs are removed from the log in one commit.
const SPEC_REMOVALS_MAX: usize = 500;
/// Share of a commit, as a divisor, for the progress of jobs whose tasks are about to start; it
/// goes before everything else.
const STARTS_DIVISOR: usize = 3;
/// Share, as a divisor, for records of other entries, whose callers wait; progress takes the rest.
const RELAYED_DIVISOR: usize = 2;
/// Least share, as a divisor, that progress gets however large the records before it are:
/// acknowledgements of exits wait for it.
const PROGRESS_DIVISOR: usize = 6;
/// Largest share, as a divisor, of records that nobody waits for: everything else would queue
/// behind them.
const BACKGROUND_DIVISOR: usize = 8;

/// Age from which the begin of a job goes with any commit, in milliseconds. A later record of the
/// job, such as for the end of a short task, has the begin as well and makes its own needless.
const BEGIN_JOIN_MS: u64 = 400;
/// Age from which it causes a commit, in milliseconds. Callers may be shown a begun job as waiting for
/// 2 s; the rest of them is left for the append, for the readers of the log and, if the leader dies
/// before, for its successor.
const BEGIN_COMMIT_MS: u64 = 500;

/// Records for one append, and the starts and exits that it releases.
#[derive(Clone, Debug, Default)]
pub struct CommitBatch {
    /// Encoded records, in the order in which they are appended.
    pub records: Vec<KeyedRecord>,
    /// The same records as a reader of the log decodes them.
    pub decoded: Vec<JobRecord>,
    /// Tokens of the relayed batches that are complete with this append.
    pub relayed: Vec<u64>,
    starts: Vec<(TaskKey, u32)>,
    exits: BTreeMap<Arc<str>, u64>,
}

impl CommitBatch {
    /// Size of the records with their keys, in bytes.
    pub fn bytes(&self) -> usize {
        self.records.iter().map(|record| record.key.len() + record.value.len()).sum()
    }
}

/// Jobs whose record has changed, in the order of their first change.
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

    /// The oldest change at or after a position.
    fn next_from(&self, position: u64) -> Option<(u64, JobId)> {
        self.order.range(position..).next().map(|(at, job)| (*at, *job))
    }

    fn contains(&self, job: JobId) -> bool {
        self.positions.contains_key(&job)
    }

    fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Position of the oldest change; the next free one if there is none.
    fn oldest(&self) -> u64 {
        self.order.first_key_value().map_or(self.next, |(position, _)| *position)
    }
}

/// Changes since the last commit was taken.
#[derive(Debug, Default)]
pub struct CommitQueue {
    jobs: ChangedJobs,
    starts: Vec<(TaskKey, u32)>,
    /// Number of starts in the commit that was taken last, until it is on the log.
    starts_in_flight: usize,
    /// Jobs of which a task has started, by the earliest time at which it can have, in milliseconds.
    begins: BTreeSet<(u64, JobId)>,
    exits: BTreeMap<Arc<str>, u64>,
    /// Exits that wait until all changes before a position are in a commit.
    held_exits: VecDeque<(u64, BTreeMap<Arc<str>, u64>)>,
    drops: Vec<JobId>,
    tombstone_drops: Vec<(JobId, OrganisationDigest)>,
    /// Jobs that are over and have no runs left, with their submissions stripped of the spec.
    spec_removals: VecDeque<(JobId, Arc<JobSubmission>)>,
    waves: BTreeMap<u64, BTreeSet<Arc<str>>>,
    losses: BTreeMap<Arc<str>, Vec<LostVm>>,
    learned: BTreeMap<LearnedKey, Arc<[u8]>>,
    relayed: VecDeque<(u64, VecDeque<JobRecord>)>,
    /// Batches with submissions that are larger than ordinary ones; they come after all others.
    relayed_large: VecDeque<(u64, VecDeque<JobRecord>)>,
    /// Memory that the jobs of all relayed submissions will take.
    waiting: KeptBytes,
    /// Number of relayed records that are not in a commit yet, by job.
    relayed_jobs: BTreeMap<JobId, usize>,
    /// Jobs whose record was taken for a commit since the last search for jobs to drop.
    taken: Vec<JobId>,
}

impl CommitQueue {
    /// Queues the progress record of a job that has changed.
    pub fn mark_changed(&mut self, job: JobId) {
        self.jobs.insert(job);
    }

    /// Queues a start, to be released once its job's record is on the log.
    pub fn queue_start(&mut self, task: TaskKey, run: u32) {
        self.jobs.insert(task.job);
        self.starts.push((task, run));
    }

    /// Queues that a task of a job has started, at `since_ms` at the earliest.
    pub fn queue_begin(&mut self, job: JobId, since_ms: u64) {
        self.begins.insert((since_ms, job));
    }

    /// Takes the begins that are to go with the next commit.
    fn take_due_begins(&mut self, now: u64) -> Vec<JobId> {
        let is_due = self.begins.first().is_some_and(|(since, _)| now >= since + BEGIN_COMMIT_MS);
        if !is_due && self.is_empty() {
            return Vec::new();
        }
        let mut jobs = Vec::new();
        while let Some((_, job)) =
            self.begins.first().filter(|(since, _)| now >= since + BEGIN_JOIN_MS)
        {
            jobs.push(*job);
            self.begins.pop_first();
        }
        jobs
    }

    /// Number of starts that wait for the log.
    pub fn pending_starts(&self) -> usize {
        self.starts.len() + self.starts_in_flight
    }

    /// Queues the acknowledgement of a worker's exits up to this number, which have been processed.
    pub fn queue_exits(&mut self, worker: Arc<str>, through: u64) {
        self.exits.insert(worker, through);
    }

    /// Queues the removal of a job that has been over for so long that the log need not keep it.
    pub fn drop_job(&mut self, job: JobId) {
        self.drops.push(job);
    }

    /// Takes back the removal of a job that was cancelled again: the drop would be appended after
    /// the new cancellation.
    pub fn cancel_job_drop(&mut self, job: JobId) {
        self.drops.retain(|dropped| *dropped != job);
    }

    /// Takes back the removal of a tombstone, that is a cancellation by an entry that did not know
    /// the job.
    pub fn cancel_tombstone_drop(&mut self, job: JobId, mark: OrganisationDigest) {
        self.tombstone_drops.retain(|dropped| *dropped != (job, mark));
    }

    /// Queues the removal of a tombstone.
    pub fn drop_tombstone(&mut self, job: JobId, mark: OrganisationDigest) {
        self.tombstone_drops.push((job, mark));
    }

    /// Queues the set of VMs of a wave that have been maintained.
    pub fn queue_wave(&mut self, number: u64, done: BTreeSet<Arc<str>>) {
        self.waves.insert(number, done);
    }

    /// Queues the VMs of a pool that have lost their workers lately.
    pub fn queue_losses(&mut self, service: Arc<str>, lost: Vec<LostVm>) {
        self.losses.insert(service, lost);
    }

    /// Queues what was learned, in place of an older record of the same key.
    pub fn queue_learned(&mut self, key: LearnedKey, value: Arc<[u8]>) {
        self.learned.insert(key, value);
    }

    /// Queues a batch of relayed records.
    fn queue_relayed(&mut self, token: u64, records: Vec<JobRecord>) {
        for job in records.iter().filter_map(JobRecord::job) {
            *self.relayed_jobs.entry(job).or_default() += 1;
        }
        let is_large = records.iter().any(|record| record.kept().large > 0);
        records.iter().for_each(|record| self.waiting.add(record.kept()));
        let queue = if is_large { &mut self.relayed_large } else { &mut self.relayed };
        queue.push_back((token, records.into()));
    }

    /// Takes the next relayed batch, and whether it is a large one.
    fn next_relayed(&mut self) -> Option<(u64, VecDeque<JobRecord>, bool)> {
        let ordinary = self.relayed.pop_front().map(|(token, records)| (token, records, false));
        ordinary.or_else(|| {
            self.relayed_large.pop_front().map(|(token, records)| (token, records, true))
        })
    }

    /// Puts the rest of a batch back to the front.
    fn return_relayed(&mut self, token: u64, records: VecDeque<JobRecord>, is_large: bool) {
        let queue = if is_large { &mut self.relayed_large } else { &mut self.relayed };
        queue.push_front((token, records));
    }

    /// Counts off a relayed record that is in a commit.
    fn count_off_relayed(&mut self, record: &JobRecord) {
        self.waiting.subtract(record.kept());
        let Some(job) = record.job() else { return };
        let Entry::Occupied(mut count) = self.relayed_jobs.entry(job) else { return };
        *count.get_mut() -= 1;
        if *count.get() == 0 {
            count.remove();
        }
    }

    /// Whether relayed records of a job are not in a commit yet.
    fn has_relayed(&self, job: JobId) -> bool {
        self.relayed_jobs.contains_key(&job)
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
            && self.learned.is_empty()
            && self.relayed.is_empty()
            && self.relayed_large.is_empty()
    }
}

impl Scheduler {
    /// Applies records that another entry wants on the log. They go into the next append together
    /// with the decisions about them: a job is accepted and placed with a single wait for the log,
    /// and the log gets one append where each entry would make its own.
    ///
    /// Batches with large submissions come after the others.
    pub fn relay(&mut self, token: u64, records: Vec<JobRecord>, now: u64) {
        for record in &records {
            self.apply_record_from(RecordSource::Relayed, record, now);
        }
        self.commits.queue_relayed(token, records);
    }

    /// Memory that the jobs of relayed submissions will take that wait for an append.
    pub fn waiting_bytes(&self) -> KeptBytes {
        self.commits.waiting
    }

    /// Takes the next append, of any size that the log accepts.
    pub fn take_commit(&mut self) -> Option<CommitBatch> {
        self.take_commit_within(APPEND_BYTES_MAX)
    }

    /// Takes the next append, of `bytes_max` bytes and at most one record more; `None` if the log
    /// has everything. The caller repeats the append until it succeeds, in order, and then calls
    /// [`Scheduler::committed`].
    pub fn take_commit_within(&mut self, bytes_max: usize) -> Option<CommitBatch> {
        if self.is_deposed || self.commits.is_empty() {
            return None;
        }
        let mut batch = CommitBatch::default();
        let mut bytes = self.take_starts(&mut batch, bytes_max / STARTS_DIVISOR);
        bytes += self.take_relayed(&mut batch, bytes_max / RELAYED_DIVISOR);
        // A submission must precede the progress of its job, and no task may start before the log
        // has the job.
        let (mut position, mut changed) = (0, 0);
        while (bytes < bytes_max || changed < bytes_max / PROGRESS_DIVISOR)
            && let Some((at, id)) = self.commits.jobs.next_from(position)
        {
            position = at + 1;
            if !self.commits.has_relayed(id) {
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
        // A job that is read without its cancellation would run, so the job's own keys are dropped
        // first.
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
        let mut learned_bytes = 0;
        while learned_bytes < background_max
            && let Some((key, value)) = self.commits.learned.pop_first()
        {
            learned_bytes += push_record(&mut batch, JobRecord::Learned(key, value));
        }
        // Jobs that did not fit hold back their starts for the next append, and the exits that were
        // processed along with them.
        let left = &self.commits.jobs;
        let (later, now): (Vec<_>, Vec<_>) =
            self.commits.starts.drain(..).partition(|(task, _)| left.contains(task.job));
        self.commits.starts_in_flight = now.len();
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

    /// Takes the progress of jobs whose starts wait for it, unless relayed records of the job are
    /// not in a commit yet.
    fn take_starts(&mut self, batch: &mut CommitBatch, bytes_max: usize) -> usize {
        let waiting: Vec<JobId> = self.commits.starts.iter().map(|(task, _)| task.job).collect();
        let mut bytes = 0;
        for id in waiting {
            if bytes >= bytes_max {
                break;
            }
            if !self.commits.has_relayed(id) && self.commits.jobs.take(id) {
                bytes += self.push_progress(batch, id);
            }
        }
        bytes
    }

    /// Takes relayed records. The token of a batch that does not fit goes with its last part.
    fn take_relayed(&mut self, batch: &mut CommitBatch, bytes_max: usize) -> usize {
        let mut bytes = 0;
        while let Some((token, mut records, is_large)) = self.commits.next_relayed() {
            while bytes < bytes_max
                && let Some(record) = records.pop_front()
            {
                self.commits.count_off_relayed(&record);
                bytes += push_record(batch, record);
            }
            if !records.is_empty() {
                self.commits.return_relayed(token, records, is_large);
                break;
            }
            batch.relayed.push(token);
        }
        bytes
    }

    /// Marks the jobs whose begin is due for the log and is in no record yet as changed.
    pub(crate) fn queue_due_begins(&mut self, now: u64) {
        for id in self.commits.take_due_begins(now) {
            if self.jobs.get(&id).is_some_and(|job| job.is_begin_unlogged) {
                self.commits.mark_changed(id);
            }
        }
    }

    fn push_progress(&mut self, batch: &mut CommitBatch, id: JobId) -> usize {
        self.commits.taken.push(id);
        let Some(job) = self.jobs.get_mut(&id) else { return 0 };
        job.is_begin_unlogged = false;
        push_record(batch, JobRecord::Progress(id, Arc::new(job.progress(self.term))))
    }

    /// Handles that an append is on the log: releases its starts and acknowledges its exits.
    pub fn committed(&mut self, batch: &CommitBatch, now: u64) {
        self.commits.starts_in_flight = 0;
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
        let stored_ms = now.saturating_sub(live.placed_ms);
        self.line.starts.record_logged(stored_ms, now);
        self.begins.record_stored(stored_ms);
        live.enter(RunPhase::Starting, now);
        self.pending_commands.insert((*task, run));
    }

    /// Drops jobs that are over and have no runs left from memory; the log has their last state.
    ///
    /// Their specs are removed from the log as well. Specs are nine tenths of the data that the log
    /// keeps of a job: an entry that restarts on a link of 2 Mbit/s would read useless data for ten
    /// seconds and more.
    ///
    /// The state of such a job became final, and its last run was removed, with a change of its
    /// record. So only jobs whose record was taken for a commit are looked at.
    fn drop_finished(&mut self) {
        for id in std::mem::take(&mut self.commits.taken) {
            let Some(job) = self.jobs.get(&id) else { continue };
            if !self.may_drop(job) {
                continue;
            }
            if !job.submission.has_no_spec() {
                let stripped = Arc::new(job.submission.without_spec());
                self.commits.spec_removals.push_back((id, stripped));
            }
            self.jobs.remove(&id);
        }
        debug_assert!(!self.jobs.values().any(|job| self.may_drop(job)));
    }

    /// Whether a job is over, has no runs left, and its last state is in a commit.
    fn may_drop(&self, job: &JobRun) -> bool {
        job.state.is_final() && !self.commits.jobs.contains(job.id) && !job.has_live_run()
    }
}

fn push_record(batch: &mut CommitBatch, record: JobRecord) -> usize {
    let Some(keyed) = record.encode() else { return 0 };
    let bytes = keyed.key.len() + keyed.value.len();
    batch.records.push(keyed);
    batch.decoded.push(record);
    bytes
}
