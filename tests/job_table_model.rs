//! Model test: the job table of an entry that falls behind the log, against one that applies every
//! record in order.
//!
//! Jobs are submitted, cancelled, ended, dropped and submitted again, by the entry itself and by
//! others, also between the pages of a snapshot; the log expires its oldest records again and
//! again. In the end both tables must agree.
//!
//! `IBISWEIR_TEST_SEED` selects other random runs.

mod support;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use ibisweir::decide::access::OrganisationDigest;
use ibisweir::decide::intake::KeptBytes;
use ibisweir::jobs::catch_up::CatchUpReader;
use ibisweir::jobs::follower::{TailReader, fold_step};
use ibisweir::jobs::job_table::JobTable;
use ibisweir::jobs::model::{JobId, JobState};
use ibisweir::jobs::node::JobNode;
use ibisweir::jobs::ports::{
    AppendCall, AppendOutcome, JobLog, LogBatch, LogTopic, NewestPage, ReadOutcome,
};
use ibisweir::jobs::record::{JobProgress, JobRecord, KeyedRecord};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::fakes::idle_node;
use support::sim::{QUEUE, job, job_id, step, submission};

const SEEDS: u64 = 400;
const STEPS: usize = 60;
const JOBS: u64 = 8;
/// Number of keys on a snapshot page.
const PAGE: usize = 3;

/// The log, and the entries that write to it.
struct ModelSite {
    records: Vec<KeyedRecord>,
    /// Oldest record that the log still has.
    first: usize,
    /// The expected table: every record, applied in order.
    expected: JobTable,
    random: StdRng,
    node: Arc<JobNode>,
    /// Whether the entry is the leader, in which case only it ends and drops jobs.
    leads: bool,
    is_quiet: bool,
}

/// How a record was stored.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StoreMethod {
    /// By another entry.
    OtherEntry,
    /// By an append of this entry.
    OwnAppend,
    /// Through the leader, at an offset that this entry does not learn.
    Relayed,
    /// By this entry as the leader.
    Leader,
}

impl ModelSite {
    fn write(&mut self, records: Vec<KeyedRecord>, folded: &JobRecord, method: StoreMethod) {
        let offset = self.records.len() as u64;
        self.expected.fold(folded, offset);
        self.records.extend(records);
        match method {
            StoreMethod::OtherEntry => {}
            StoreMethod::OwnAppend => self.node.fold(&[(offset, folded.clone())]),
            StoreMethod::Relayed => self.node.fold(&[(0, folded.clone())]),
            StoreMethod::Leader => {
                let end = self.records.len() as u64;
                self.node.fold_appended(std::slice::from_ref(folded), offset, end);
                // The entry that the caller used may be the leader itself.
                if !matches!(folded, JobRecord::Dropped(_) | JobRecord::Progress(..)) {
                    self.node.fold(&[(0, folded.clone())]);
                }
            }
        }
    }

    fn write_randomly(&mut self) {
        let id = job_id(self.random.random_range(0..JOBS));
        let as_entry = match (self.leads, self.random.random_range(0..4)) {
            (true, 0..2) => StoreMethod::Leader,
            (false, 0) => StoreMethod::OwnAppend,
            (false, 1) => StoreMethod::Relayed,
            _ => StoreMethod::OtherEntry,
        };
        let as_leader = if self.leads { StoreMethod::Leader } else { StoreMethod::OtherEntry };
        let state = self.expected.get(id).and_then(|job| job.state());
        let mark = OrganisationDigest::of(None);
        let (record, method) = match self.random.random_range(0..10) {
            0..3 => (JobRecord::Submitted(id, Arc::new(submission(job(vec![step(1)])))), as_entry),
            3 => (JobRecord::Cancelled(id), as_entry),
            4 => (JobRecord::CancelledBy(id, mark), as_entry),
            5 | 6 if state.is_some() => (completed(id), as_leader),
            7 if state.is_none_or(JobState::is_final) => (JobRecord::Dropped(id), as_leader),
            8 => {
                self.first = self.records.len();
                return;
            }
            _ => return,
        };
        let records = match &record {
            JobRecord::Dropped(id) => {
                let mut records = JobRecord::drop_records(*id);
                records.push(JobRecord::drop_tombstone(*id, mark));
                records
            }
            record => vec![record.encode().expect("no drop")],
        };
        self.write(records, &record, method);
    }
}

fn completed(id: JobId) -> JobRecord {
    let progress = JobProgress {
        term: 1,
        state: JobState::Completed,
        ended_ms: 1,
        occurrences_done: 1,
        steps_done: Vec::new(),
        tasks: Vec::new(),
        workers: Vec::new(),
        restarts: Vec::new(),
        last_alive_ms: Vec::new(),
        failed_runs: Vec::new(),
        lost_runs: Vec::new(),
    };
    JobRecord::Progress(id, Arc::new(progress))
}

#[derive(Clone)]
struct ModelLog(Arc<Mutex<ModelSite>>);

impl ModelLog {
    fn site(&self) -> MutexGuard<'_, ModelSite> {
        self.0.lock().expect("no panic")
    }

    /// Random writes before or after an answer is made.
    fn write_concurrently(&self) {
        let mut site = self.site();
        let writes = if site.is_quiet { 0 } else { site.random.random_range(0..4) };
        for _ in 0..writes {
            site.write_randomly();
        }
    }
}

impl JobLog for ModelLog {
    async fn append(&self, _: &AppendCall, _: Duration) -> AppendOutcome {
        AppendOutcome::Refused
    }

    async fn read(&self, _: LogTopic, from: u64, _: Duration) -> ReadOutcome {
        let answer = {
            let site = self.site();
            let at = usize::try_from(from).expect("small");
            if at < site.first {
                return ReadOutcome::Expired { first: site.first as u64 };
            }
            let records: Vec<_> =
                (from..).zip(site.records[at..].iter().take(5).cloned()).collect();
            let next = from + records.len() as u64;
            ReadOutcome::Read(LogBatch { end: site.records.len() as u64, next, records })
        };
        self.write_concurrently();
        answer
    }

    async fn newest(&self, _: LogTopic, after: Option<&str>) -> Option<NewestPage> {
        let page = {
            let mut site = self.site();
            if !site.is_quiet && site.random.random_range(0..8) == 0 {
                return None;
            }
            let mut newest = BTreeMap::new();
            for (offset, record) in (0..).zip(&site.records) {
                newest.insert(record.key.as_str(), (offset, record.clone()));
            }
            newest.retain(|key, (_, record)| {
                !record.value.is_empty() && after.is_none_or(|after| *key > after)
            });
            let has_more = newest.len() > PAGE;
            let records = newest.into_values().take(PAGE).collect();
            NewestPage { records, has_more, end: site.records.len() as u64 }
        };
        self.write_concurrently();
        Some(page)
    }
}

/// Reads on with one of the tail readers, or catches up as for a caller's query.
async fn read(log: &ModelLog, tails: &mut [TailReader], node: &Arc<JobNode>) {
    let choice = log.site().random.random_range(0..tails.len() + 1);
    let Some(tail) = tails.get_mut(choice) else {
        CatchUpReader::new(node.clone(), log.clone()).catch_up().await;
        return;
    };
    tail.skip_to(node.applied_offset());
    let step = tail.next(log, Duration::ZERO).await;
    fold_step(node, step, tail.position());
}

/// Guards against an entry that shows an open, finished or unknown job in another state than the
/// log has, whatever the order of its reads and the writes.
#[tokio::test(start_paused = true)]
async fn the_job_table_matches_the_log_after_random_reads_and_writes() {
    let mut pinned = 0xB00C;
    support::seeded(pinned, |seed| pinned = seed);
    for seed in pinned..pinned + SEEDS {
        let node = idle_node();
        let site = ModelSite {
            records: Vec::new(),
            first: 0,
            expected: JobTable::default(),
            random: StdRng::seed_from_u64(seed),
            node: node.clone(),
            leads: seed % 2 == 0,
            is_quiet: false,
        };
        let log = ModelLog(Arc::new(Mutex::new(site)));
        let mut tails = [TailReader::new(LogTopic::Jobs), TailReader::new(LogTopic::Jobs)];
        for _ in 0..STEPS {
            log.write_concurrently();
            read(&log, &mut tails, &node).await;
        }
        log.site().is_quiet = true;
        for _ in 0..100 {
            read(&log, &mut tails, &node).await;
        }
        let site = log.site();
        assert_eq!(node.applied_offset(), site.records.len() as u64, "seed {seed}: not read");
        for id in (0..JOBS).map(job_id) {
            let expected = site.expected.get(id).and_then(|job| job.state());
            let known = node.job_table().get(id).and_then(|job| job.state());
            assert_eq!(known, expected, "seed {seed}: {id}");
        }
        assert_eq!(
            node.job_table().waiting_jobs(QUEUE),
            site.expected.waiting_jobs(QUEUE),
            "seed {seed}"
        );
        let table = node.job_table();
        let mut kept = KeptBytes::default();
        for (_, job) in table.iter() {
            let Some(submission) = &job.submission else { continue };
            let is_ended = job.state().is_some_and(JobState::is_final);
            let spec = &submission.spec;
            kept.add(if is_ended { spec.kept_ended() } else { spec.kept() });
        }
        assert_eq!(table.kept(), kept, "seed {seed}");
    }
}
