//! Follows a keyed stream of the log: the newest record of each key first, then what is appended.
//!
//! The log drops old records soon. A reader that is behind what is kept starts again from the newest
//! record of each key, so nothing rests on records being read in time.

use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};

use crate::control::ControlLoop;
use crate::jobs::node::JobNode;
use crate::jobs::ports::{JobLog, LogTopic, ReadOutcome};
use crate::jobs::record::{JobRecord, KeyedRecord};
use crate::jobs::site::OperatorRecord;

/// Wait for a record in one read. A connection that has gone silent shows only when the read's time
/// is up; a configuration must be in force within 2 s.
const READ_WAIT: Duration = Duration::from_millis(700);
/// Pause after a read that failed.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Least time between two reads of the job log: each read is paid for, a caller looks at its job a few
/// times in its life, and the leader learns of jobs by the relay. Only what an entry has appended
/// itself, since it could not reach the leader, waits for this.
const FOLLOW_INTERVAL_MIN: Duration = Duration::from_millis(180);
/// Time between two looks whether a leader's own appends still show all that is written, or whether this entry is to keep a
/// copy now.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Part of the time for which a reading counts that the wait of one may take: one in so many.
const READ_WAIT_DIVISOR: u64 = 5;
/// Least time between two reads of what operators wrote.
const OPERATOR_READ_INTERVAL_MIN: Duration = Duration::from_millis(50);

/// Decodes what operators write; the platform's adapter knows the form.
pub type OperatorDecoder = fn(&KeyedRecord) -> Option<OperatorRecord>;

/// What one read brought.
#[derive(Debug)]
pub enum TailStep {
    /// The newest record of every key.
    Snapshot(Vec<(u64, KeyedRecord)>),
    /// Records appended since; maybe none.
    Records(Vec<(u64, KeyedRecord)>),
    /// The log could not be read.
    Failed,
}

/// Pages of a snapshot that have been read.
#[derive(Debug, Default)]
struct PartialSnapshot {
    records: Vec<(u64, KeyedRecord)>,
    end: Option<u64>,
    after: Option<String>,
}

/// Reads one keyed stream from where it left off.
#[derive(Debug)]
pub struct TailReader {
    topic: LogTopic,
    position: Option<u64>,
    is_at_end: bool,
    partial: PartialSnapshot,
}

impl TailReader {
    /// A reader that begins with a snapshot.
    pub fn new(topic: LogTopic) -> TailReader {
        TailReader { topic, position: None, is_at_end: false, partial: PartialSnapshot::default() }
    }

    /// A reader that goes on from an offset.
    pub fn at(topic: LogTopic, position: u64) -> TailReader {
        TailReader { position: Some(position), ..TailReader::new(topic) }
    }

    /// Everything before this offset was read.
    pub fn position(&self) -> u64 {
        self.position.unwrap_or(0)
    }

    /// Whether the last read came to the log's end.
    pub fn is_at_end(&self) -> bool {
        self.is_at_end
    }

    /// Whether it is between two pages of a snapshot.
    pub fn has_partial_snapshot(&self) -> bool {
        self.partial.end.is_some()
    }

    /// Begins anew with the newest record of each key: what lies between is not needed.
    pub fn skip_to_newest(&mut self) {
        self.position = None;
    }

    /// Goes on from a later offset: what lies before was read another way.
    pub fn skip_to(&mut self, position: u64) {
        if let Some(own) = &mut self.position {
            *own = position.max(*own);
        }
    }

    /// Reads on.
    pub async fn next<L: JobLog>(&mut self, log: &L, wait: Duration) -> TailStep {
        self.is_at_end = false;
        let Some(position) = self.position else { return self.snapshot(log).await };
        match log.read(self.topic, position, wait).await {
            ReadOutcome::Read(batch) => {
                self.position = Some(position.max(batch.next));
                self.is_at_end = batch.next >= batch.end;
                TailStep::Records(batch.records)
            }
            ReadOutcome::Expired { .. } => {
                self.position = None;
                self.snapshot(log).await
            }
            ReadOutcome::Refused | ReadOutcome::Unknown => TailStep::Failed,
        }
    }

    /// Reads the pages that are missing. A page that fails is asked for again; those before it are
    /// kept, or a slow link would never get to the last one.
    async fn snapshot<L: JobLog>(&mut self, log: &L) -> TailStep {
        loop {
            let after = self.partial.after.clone();
            let Some(page) = log.newest(self.topic, after.as_deref()).await else {
                return TailStep::Failed;
            };
            // Later pages may tell newer records; reading on from the first page's end repeats
            // some and misses none.
            self.partial.end.get_or_insert(page.end);
            self.partial.after = page.records.last().map(|(_, record)| record.key.clone());
            self.partial.records.extend(page.records);
            if !page.has_more || self.partial.after.is_none() {
                break;
            }
        }
        let snapshot = std::mem::take(&mut self.partial);
        self.position = snapshot.end;
        TailStep::Snapshot(snapshot.records)
    }
}

/// Follows the job log into the book.
pub struct JobFollower<L> {
    /// Shared state.
    pub node: Arc<JobNode>,
    /// The log.
    pub log: L,
    /// Where the reading is.
    pub tail: TailReader,
    /// Number of the copy that it reads for.
    pub replica_epoch: u64,
}

impl<L: JobLog> ControlLoop for JobFollower<L> {
    const NAME: &'static str = "job follower";

    async fn step(&mut self) -> Duration {
        if self.node.is_sole_writer() || !self.node.is_replica() {
            return IDLE_CHECK_INTERVAL;
        }
        let replica_epoch = self.node.replica_epoch();
        if self.replica_epoch != replica_epoch {
            self.replica_epoch = replica_epoch;
            self.tail = TailReader::new(LogTopic::Jobs);
        }
        // What callers made this entry read, and what it has appended itself.
        self.tail.skip_to(self.node.applied_offset());
        let asked_ms = self.node.now();
        let tail_step = self.tail.next(&self.log, READ_WAIT).await;
        let is_empty = match &tail_step {
            TailStep::Snapshot(records) | TailStep::Records(records) => records.is_empty(),
            TailStep::Failed => return RETRY_DELAY,
        };
        self.node.record_log_answer();
        if self.node.replica_epoch() != replica_epoch {
            return Duration::ZERO;
        }
        let is_snapshot = matches!(tail_step, TailStep::Snapshot(_));
        fold_step(&self.node, tail_step, self.tail.position());
        if self.tail.is_at_end() {
            self.node.set_current();
            self.node.record_jobs_read(read_as_of_ms(
                is_empty,
                asked_ms,
                READ_WAIT,
                self.node.now(),
            ));
        }
        if is_snapshot {
            self.node.set_loaded();
        }
        if is_empty { Duration::ZERO } else { FOLLOW_INTERVAL_MIN }
    }
}

/// As of when a read that came to the log's end shows it, in milliseconds: when it was asked for, as its answer may have
/// been on its way since; one without news was given when the wait was over.
pub fn read_as_of_ms(is_empty: bool, asked_ms: u64, wait: Duration, now: u64) -> u64 {
    let waited_ms = if is_empty { crate::clock::millis(wait) } else { 0 };
    now.min(asked_ms + waited_ms)
}

/// Folds what a step along the job log has brought, up to `position`.
pub fn fold_step(node: &JobNode, step: TailStep, position: u64) {
    match step {
        TailStep::Snapshot(records) => node.fold_snapshot(&decode(node, &records), position),
        TailStep::Records(records) => node.fold_read(decode(node, &records), position),
        TailStep::Failed => {}
    }
}

/// Reads records of the job log; what can't be read is skipped with a line.
fn decode(node: &JobNode, records: &[(u64, KeyedRecord)]) -> Vec<(u64, JobRecord)> {
    let mut decoded = Vec::with_capacity(records.len());
    for (offset, record) in records {
        match JobRecord::decode(&record.key, &record.value) {
            Some(record) => decoded.push((*offset, record)),
            None if record.value.is_empty() => {}
            None => warn!(node.logger, "a record of the job log can't be read";
                "key" => &record.key, "offset" => offset),
        }
    }
    decoded
}

/// Follows what operators write.
pub struct OperatorFollower<L> {
    /// Shared state.
    pub node: Arc<JobNode>,
    /// The log.
    pub log: L,
    /// Where the reading is.
    pub tail: TailReader,
    /// Reads a record.
    pub decoder: OperatorDecoder,
    /// Whether the newest configuration could not be read: the one in force may honour keys that it revokes.
    pub has_unreadable_config: bool,
}

impl<L: JobLog> ControlLoop for OperatorFollower<L> {
    const NAME: &'static str = "operator follower";

    async fn step(&mut self) -> Duration {
        // By the start of the reading: what operators wrote while its answer was on its way may be missing.
        let started_ms = self.node.now();
        let wait = self.read_wait(started_ms);
        let (records, is_read_on) = match self.tail.next(&self.log, wait).await {
            TailStep::Snapshot(records) => (records, false),
            TailStep::Records(records) => (records, true),
            TailStep::Failed => return RETRY_DELAY,
        };
        self.node.record_log_answer();
        for (offset, record) in &records {
            self.apply(*offset, record);
        }
        // Pages of a snapshot are read one after the other: only what is read on from there is whole.
        let is_behind = is_read_on && !self.tail.is_at_end();
        if is_behind {
            // Each record is a whole configuration: read one after the other on a narrow link, those that are out of
            // date would keep the one in force from callers for seconds.
            self.tail.skip_to_newest();
        }
        let is_confirmed = is_read_on && !is_behind && !self.has_unreadable_config;
        if is_confirmed {
            self.node.record_config_read(started_ms);
        }
        match (records.is_empty(), is_confirmed) {
            (true, true) => Duration::ZERO,
            // The next reading would not wait for news either.
            (true, false) => RETRY_DELAY,
            (false, _) => OPERATOR_READ_INTERVAL_MIN,
        }
    }
}

impl<L: JobLog> OperatorFollower<L> {
    /// Wait for news in one reading. An entry whose last reading is old asks without one: until the answer it
    /// honours no key, or soon will not. Else a reading must be over long before the one before it is too old.
    fn read_wait(&self, now: u64) -> Duration {
        let rule = &self.node.settings.bounds.revocation;
        if !rule.is_strict {
            return READ_WAIT;
        }
        let wait_max = Duration::from_millis(rule.bound_ms / READ_WAIT_DIVISOR);
        let is_old = self
            .node
            .config_confirmed_ms()
            .is_none_or(|confirmed| now > confirmed + rule.bound_ms / 2);
        if is_old { Duration::ZERO } else { READ_WAIT.min(wait_max) }
    }

    fn apply(&mut self, offset: u64, record: &KeyedRecord) {
        match (self.decoder)(record) {
            Some(OperatorRecord::Config(config)) => {
                self.has_unreadable_config = false;
                let (version, queues) = (config.version, config.queues.len());
                if self.node.set_config(config) {
                    info!(self.node.logger, "configuration in force";
                        "version" => version, "queues" => queues, "offset" => offset);
                }
            }
            Some(OperatorRecord::UnreadableConfig) => {
                self.has_unreadable_config = true;
                warn!(self.node.logger, "a configuration can't be read: no key is confirmed by it";
                    "offset" => offset, "bytes" => record.value.len());
            }
            Some(OperatorRecord::Wave(wave)) => {
                info!(self.node.logger, "maintenance wave"; "wave" => wave.number,
                    "vms" => wave.vms.len(), "parallel" => wave.parallel_max,
                    "within_ms" => wave.within_ms);
                self.node.add_wave(wave);
            }
            None if record.value.is_empty() => {}
            None => warn!(self.node.logger, "an operator's record can't be read";
                "key" => &record.key, "offset" => offset),
        }
    }
}
