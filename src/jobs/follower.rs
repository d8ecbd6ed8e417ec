//! Follows a keyed stream of the log: reads the newest record of each key first, then the records
//! appended since.
//!
//! The log drops old records soon. A reader that has fallen behind the kept records starts again
//! from the newest record of each key, so correctness does not depend on reading records in time.

use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};

use crate::control::ControlLoop;
use crate::jobs::node::JobNode;
use crate::jobs::ports::{JobLog, LogTopic, ReadOutcome};
use crate::jobs::record::{JobRecord, KeyedRecord};
use crate::jobs::site::OperatorRecord;

/// Longest wait for a record in one read. A dead connection is noticed only once this time is up,
/// and a configuration must be in force within 2 s.
const READ_WAIT: Duration = Duration::from_millis(700);
/// Delay before the next read after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Least time between two reads of the job log. Each read is charged, a caller looks at its job
/// only a few times, and the leader receives jobs through the relay. Only records that an entry has
/// appended itself, because it could not reach the leader, are delayed by this.
const FOLLOW_INTERVAL_MIN: Duration = Duration::from_millis(180);
/// Time between two checks of whether reading must begin: the leader is no longer the only writer,
/// or this entry now keeps a replica.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The wait of one read may take this fraction (1/5) of the time for which a read counts.
const READ_WAIT_DIVISOR: u64 = 5;
/// Least time between two reads of the operators' records.
const OPERATOR_READ_INTERVAL_MIN: Duration = Duration::from_millis(50);

/// Decodes a record written by operators; the platform's adapter supplies it. `None` if the record
/// can't be decoded.
pub type OperatorDecoder = fn(&KeyedRecord) -> Option<OperatorRecord>;

/// Result of one read.
#[derive(Debug)]
pub enum TailStep {
    /// The newest record of every key.
    Snapshot(Vec<(u64, KeyedRecord)>),
    /// Records appended since the last read; may be empty.
    Records(Vec<(u64, KeyedRecord)>),
    /// The log could not be read.
    Failed,
}

/// Pages read so far of a snapshot.
#[derive(Debug, Default)]
struct PartialSnapshot {
    records: Vec<(u64, KeyedRecord)>,
    end: Option<u64>,
    after: Option<String>,
}

/// Reads one keyed stream, each time from where the last read ended.
#[derive(Debug)]
pub struct TailReader {
    topic: LogTopic,
    position: Option<u64>,
    is_at_end: bool,
    partial: PartialSnapshot,
}

impl TailReader {
    /// Creates a reader that begins with a snapshot.
    pub fn new(topic: LogTopic) -> TailReader {
        TailReader { topic, position: None, is_at_end: false, partial: PartialSnapshot::default() }
    }

    /// Creates a reader that begins at an offset.
    pub fn at(topic: LogTopic, position: u64) -> TailReader {
        TailReader { position: Some(position), ..TailReader::new(topic) }
    }

    /// Offset before which everything was read.
    pub fn position(&self) -> u64 {
        self.position.unwrap_or(0)
    }

    /// Whether the last read reached the end of the log.
    pub fn is_at_end(&self) -> bool {
        self.is_at_end
    }

    /// Whether some pages of a snapshot were read and others are missing.
    pub fn has_partial_snapshot(&self) -> bool {
        self.partial.end.is_some()
    }

    /// Makes the next read start from the newest record of each key, skipping the records before.
    pub fn skip_to_newest(&mut self) {
        self.position = None;
    }

    /// Continues at a later offset, because the records before it are known from elsewhere.
    pub fn skip_to(&mut self, position: u64) {
        if let Some(own) = &mut self.position {
            *own = position.max(*own);
        }
    }

    /// Reads the next records, or a whole snapshot if the position is unknown or its records were
    /// dropped. Waits up to `wait` for new records.
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

    /// Reads the missing pages of the snapshot. If one fails, the next call requests it again and
    /// the pages before it are kept; otherwise a reader on a slow link would never reach the last
    /// page.
    async fn snapshot<L: JobLog>(&mut self, log: &L) -> TailStep {
        loop {
            let after = self.partial.after.clone();
            let Some(page) = log.newest(self.topic, after.as_deref()).await else {
                return TailStep::Failed;
            };
            // Later pages may hold newer records. Reading on from the end that the first page
            // reports repeats some records and misses none.
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

/// Applies the job log to the replica of this entry.
pub struct JobFollower<L> {
    /// Shared state.
    pub node: Arc<JobNode>,
    /// The log.
    pub log: L,
    /// Reader of the job log.
    pub tail: TailReader,
    /// Number of the replica that the reader reads for.
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
        // Past the records read on behalf of callers and those appended by this entry.
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

/// Time as of which a read that reached the log's end reflects the log, in milliseconds. That is
/// the time of the request, as the answer may have been in transit since. An answer without records
/// was sent when the wait was over.
pub fn read_as_of_ms(is_empty: bool, asked_ms: u64, wait: Duration, now: u64) -> u64 {
    let waited_ms = if is_empty { crate::clock::millis(wait) } else { 0 };
    now.min(asked_ms + waited_ms)
}

/// Applies the result of one read of the job log, which ended at `position`.
pub fn fold_step(node: &JobNode, step: TailStep, position: u64) {
    match step {
        TailStep::Snapshot(records) => node.fold_snapshot(&decode(node, records), position),
        TailStep::Records(records) => node.fold_read(decode(node, records), position),
        TailStep::Failed => {}
    }
}

/// Decodes records of the job log, each of which is dropped as it is decoded: a snapshot has all jobs.
/// Records that can't be decoded are skipped and logged.
fn decode(node: &JobNode, records: Vec<(u64, KeyedRecord)>) -> Vec<(u64, JobRecord)> {
    let mut decoded = Vec::with_capacity(records.len());
    for (offset, record) in records {
        match JobRecord::decode(&record.key, &record.value) {
            Some(record) => decoded.push((offset, record)),
            None if record.value.is_empty() => {}
            None => node.metrics.noted.note("job", &record.key, &record.value),
        }
    }
    decoded
}

/// Puts the operators' records in force: configurations and maintenance waves.
pub struct OperatorFollower<L> {
    /// Shared state.
    pub node: Arc<JobNode>,
    /// The log.
    pub log: L,
    /// Reader of the operators' records.
    pub tail: TailReader,
    /// Decodes a record.
    pub decoder: OperatorDecoder,
    /// Whether the newest configuration could not be decoded. The one in force may then honour API
    /// keys that the newest one revokes.
    pub has_unreadable_config: bool,
}

impl<L: JobLog> ControlLoop for OperatorFollower<L> {
    const NAME: &'static str = "operator follower";

    async fn step(&mut self) -> Duration {
        // The read counts from its start: records written while its answer was in transit may be
        // missing.
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
        // The pages of a snapshot are read one after the other, so only a read that continues from
        // there is known to be complete.
        let is_behind = is_read_on && !self.tail.is_at_end();
        if is_behind {
            // Each record is a whole configuration. On a narrow link, reading the outdated ones one
            // after the other would delay the newest one by seconds.
            self.tail.skip_to_newest();
        }
        let is_confirmed = is_read_on && !is_behind && !self.has_unreadable_config;
        if is_confirmed {
            self.node.record_config_read(started_ms);
        }
        match (records.is_empty(), is_confirmed) {
            (true, true) => Duration::ZERO,
            // The next read would not wait for records either.
            (true, false) => RETRY_DELAY,
            (false, _) => OPERATOR_READ_INTERVAL_MIN,
        }
    }
}

impl<L: JobLog> OperatorFollower<L> {
    /// Time for which a read waits for records. If the last confirming read is old, it does not
    /// wait: until the answer comes, the entry honours no API key, or soon will not. Otherwise the
    /// read must be over long before the previous one is too old.
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
                warn!(self.node.logger, "can't decode a configuration: it confirms no API key";
                    "offset" => offset, "bytes" => record.value.len());
            }
            Some(OperatorRecord::Wave(wave)) => {
                info!(self.node.logger, "maintenance wave"; "wave" => wave.number,
                    "vms" => wave.vms.len(), "parallel" => wave.parallel_max,
                    "within_ms" => wave.within_ms);
                self.node.add_wave(wave);
            }
            None if record.value.is_empty() => {}
            None => self.node.metrics.noted.note("operator", &record.key, &record.value),
        }
    }
}
