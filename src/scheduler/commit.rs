//! What waits for the log: runs that may start and exits that may be forgotten once it has them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use crate::decide::access::CallerMark;
use crate::jobs::model::{JobId, JobSubmission, TaskKey};
use crate::jobs::record::{JobRecord, KeyedRecord, LostVm};
use crate::scheduler::job::RunPhase;
use crate::scheduler::{RecordSource, Scheduler};

/// Bytes from which a commit takes no more: with the last record, and a last batch of another entry, it
/// stays under the 2 MB that the platform takes in one append.
const COMMIT_BYTES_MAX: usize = 512 << 10;
/// Jobs dropped in one commit, of three small records each.
const DROPS_MAX: usize = 500;
/// Jobs whose specs are taken off the log in one commit.
const OVER_MAX: usize = 500;

/// Records for one append, and what it releases.
#[derive(Clone, Debug, Default)]
pub struct CommitBatch {
    /// Records.
    pub records: Vec<KeyedRecord>,
    /// The same, as a reader of the log sees them.
    pub folded: Vec<JobRecord>,
    /// Batches of other entries that it carries.
    pub relayed: Vec<u64>,
    starts: Vec<(TaskKey, u32)>,
    exits: BTreeMap<Arc<str>, u64>,
}

/// What has changed since the last commit was taken.
#[derive(Debug, Default)]
pub struct CommitQueue {
    jobs: BTreeSet<JobId>,
    starts: Vec<(TaskKey, u32)>,
    exits: BTreeMap<Arc<str>, u64>,
    drops: Vec<JobId>,
    tombstone_drops: Vec<(JobId, CallerMark)>,
    /// Jobs that are over and quiet, without their specs.
    over: Vec<(JobId, Arc<JobSubmission>)>,
    waves: BTreeMap<u64, BTreeSet<Arc<str>>>,
    losses: BTreeMap<Arc<str>, Vec<LostVm>>,
    relayed: VecDeque<(u64, Vec<JobRecord>)>,
}

impl CommitQueue {
    /// A job has changed.
    pub fn mark(&mut self, job: JobId) {
        self.jobs.insert(job);
    }

    /// A run may be started once its job's record is on the log.
    pub fn start(&mut self, task: TaskKey, run: u32) {
        self.jobs.insert(task.job);
        self.starts.push((task, run));
    }

    /// Runs that wait for the log.
    pub fn open_starts(&self) -> usize {
        self.starts.len()
    }

    /// Exits of a worker through this number have been taken in.
    pub fn exits(&mut self, worker: Arc<str>, through: u64) {
        self.exits.insert(worker, through);
    }

    /// A job is over for so long that the log need not keep it.
    pub fn drop_job(&mut self, job: JobId) {
        self.drops.push(job);
    }

    /// A job that was about to be dropped was cancelled again: the record must not be dropped behind itself.
    pub fn keep_job(&mut self, job: JobId) {
        self.drops.retain(|dropped| *dropped != job);
    }

    /// The same for a cancellation by an entry that did not know the job.
    pub fn keep_tombstone(&mut self, job: JobId, mark: CallerMark) {
        self.tombstone_drops.retain(|dropped| *dropped != (job, mark));
    }

    /// A cancellation by an entry that did not know the job need not be kept.
    pub fn drop_tombstone(&mut self, job: JobId, mark: CallerMark) {
        self.tombstone_drops.push((job, mark));
    }

    /// VMs of a wave that have been maintained.
    pub fn wave(&mut self, number: u64, done: BTreeSet<Arc<str>>) {
        self.waves.insert(number, done);
    }

    /// VMs of a pool that have lost their workers lately.
    pub fn losses(&mut self, service: Arc<str>, lost: Vec<LostVm>) {
        self.losses.insert(service, lost);
    }

    fn is_empty(&self) -> bool {
        self.jobs.is_empty()
            && self.exits.is_empty()
            && self.drops.is_empty()
            && self.tombstone_drops.is_empty()
            && self.over.is_empty()
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
            self.take_record_from(RecordSource::Relayed, record, now);
        }
        self.commits.relayed.push_back((token, records));
    }

    /// The next append; nothing if the log has everything. The caller appends it until it is done,
    /// in order, and then calls [`Scheduler::committed`].
    pub fn take_commit(&mut self) -> Option<CommitBatch> {
        if self.is_deposed || self.commits.is_empty() {
            return None;
        }
        let mut batch = CommitBatch::default();
        let mut bytes = 0;
        // A submission stands before the progress of its job, and no task may start before the log has
        // the job: where submissions fill the append, no progress goes out with them.
        while bytes < COMMIT_BYTES_MAX
            && let Some((token, records)) = self.commits.relayed.pop_front()
        {
            batch.relayed.push(token);
            for record in records {
                bytes += push(&mut batch, record);
            }
        }
        while bytes < COMMIT_BYTES_MAX
            && let Some(id) = self.commits.jobs.pop_first()
        {
            let Some(job) = self.jobs.get(&id) else { continue };
            let record = JobRecord::Progress(id, Arc::new(job.progress(self.term)));
            bytes += push(&mut batch, record);
        }
        let dropped = self.commits.drops.len().min(DROPS_MAX);
        for job in self.commits.drops.drain(..dropped) {
            batch.records.extend(JobRecord::drops(job));
            batch.folded.push(JobRecord::Dropped(job));
        }
        // A job without its cancellation would run: its own keys go first.
        let is_dropped = self.commits.drops.is_empty();
        let dropped =
            if is_dropped { self.commits.tombstone_drops.len().min(DROPS_MAX) } else { 0 };
        for (job, mark) in self.commits.tombstone_drops.drain(..dropped) {
            batch.records.push(JobRecord::drop_tombstone(job, mark));
            batch.folded.push(JobRecord::TombstoneDropped(job, mark));
        }
        let over = self.commits.over.len().min(OVER_MAX);
        for (job, submission) in self.commits.over.drain(..over) {
            push(&mut batch, JobRecord::Submitted(job, submission));
        }
        while let Some((number, done)) = self.commits.waves.pop_first() {
            push(&mut batch, JobRecord::Wave(number, Arc::new(done)));
        }
        while let Some((service, lost)) = self.commits.losses.pop_first() {
            push(&mut batch, JobRecord::Losses(service, Arc::new(lost)));
        }
        // Jobs that did not fit keep their starts and every exit back for the next append.
        let left = &self.commits.jobs;
        let (later, now): (Vec<_>, Vec<_>) =
            self.commits.starts.drain(..).partition(|(task, _)| left.contains(&task.job));
        batch.starts = now;
        self.commits.starts = later;
        if self.commits.jobs.is_empty() {
            batch.exits = std::mem::take(&mut self.commits.exits);
        }
        Some(batch)
    }

    /// An append is on the log.
    pub fn committed(&mut self, batch: &CommitBatch, now: u64) {
        for (task, run) in &batch.starts {
            self.release_start(task, *run, now);
        }
        for (id, through) in &batch.exits {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.exits_logged = worker.exits_logged.max(*through);
                self.actions.push(crate::scheduler::SchedulerAction::Wake(id.clone()));
            }
        }
        self.forget_finished();
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
        self.attention.insert((*task, run));
    }

    /// Drops jobs that are over and quiet from memory; the log has their last state.
    ///
    /// Their specs are taken off the log as well. They are nine tenths of what it keeps of a job: an entry
    /// that restarts on a link of 2 Mbit/s would read for ten seconds and more what nobody needs.
    fn forget_finished(&mut self) {
        let dirty = &self.commits.jobs;
        let over = &mut self.commits.over;
        self.jobs.retain(|id, job| {
            let is_kept =
                !job.state.is_final() || dirty.contains(id) || !job.live_tasks().is_empty();
            if !is_kept && !job.submission.has_no_spec() {
                over.push((*id, Arc::new(job.submission.without_spec())));
            }
            is_kept
        });
    }
}

fn push(batch: &mut CommitBatch, record: JobRecord) -> usize {
    let Some(keyed) = record.encode() else { return 0 };
    let bytes = keyed.key.len() + keyed.value.len();
    batch.records.push(keyed);
    batch.folded.push(record);
    bytes
}
