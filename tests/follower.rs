//! Tests of reading a keyed stream whose log drops old records soon.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use ibisweir::control::ControlLoop;
use ibisweir::jobs::follower::{OperatorFollower, TailReader, TailStep};
use ibisweir::jobs::ports::{
    AppendCall, AppendOutcome, JobLog, LogBatch, LogTopic, NewestPage, ReadOutcome,
};
use ibisweir::jobs::record::KeyedRecord;
use ibisweir::jobs::site::{OperatorRecord, SiteConfig};
use support::fakes::idle_node;
use support::sim::config;

/// Number of keys in the log, in pages of ten.
const KEYS: usize = 35;
const PAGE: usize = 10;

/// A log that serves the newest records in pages and leaves every second request unanswered.
#[derive(Clone, Default)]
struct PagedLog {
    requests: Arc<AtomicUsize>,
    is_expired: bool,
}

fn key(position: usize) -> String {
    format!("k{position:03}")
}

impl JobLog for PagedLog {
    async fn append(&self, _: &AppendCall, _: Duration) -> AppendOutcome {
        AppendOutcome::Refused
    }

    async fn read(&self, _: LogTopic, from: u64, _: Duration) -> ReadOutcome {
        match self.is_expired {
            true => ReadOutcome::Expired { first: from + 100 },
            false => ReadOutcome::Read(LogBatch { end: from, next: from, records: Vec::new() }),
        }
    }

    async fn newest(&self, _: LogTopic, after: Option<&str>) -> Option<NewestPage> {
        if self.requests.fetch_add(1, Ordering::Relaxed) % 2 == 1 {
            return None;
        }
        let first = (0..KEYS).find(|n| after.is_none_or(|after| key(*n).as_str() > after));
        let positions = first.unwrap_or(KEYS)..KEYS.min(first.unwrap_or(KEYS) + PAGE);
        let has_more = positions.end < KEYS;
        let record = |n: usize| (n as u64, KeyedRecord { key: key(n), value: vec![1] });
        Some(NewestPage { records: positions.map(record).collect(), has_more, end: 500 })
    }
}

/// An entry restarts on a slow link, and pages of the log's newest records time out again and
/// again. The reader must continue with the page that failed. If it began anew each time, it would
/// never know the jobs, and a leader among such entries would renew its leadership and schedule
/// nothing.
#[tokio::test(start_paused = true)]
async fn a_snapshot_continues_with_the_page_that_failed() {
    let log = PagedLog::default();
    let mut tail = TailReader::new(LogTopic::Jobs);
    let mut failures = 0;
    loop {
        match tail.next(&log, Duration::ZERO).await {
            TailStep::Snapshot(records) => {
                assert_eq!(records.len(), KEYS);
                break;
            }
            TailStep::Failed => failures += 1,
            TailStep::Records(_) => panic!("no snapshot was read yet"),
        }
        assert!(failures < 10, "the snapshot begins anew each time");
    }
    assert_eq!(tail.position(), 500);
}

/// The log has dropped records that follow the last read. The reader starts again from the newest
/// record of each key and misses no key.
#[tokio::test(start_paused = true)]
async fn a_reader_that_fell_behind_restarts_from_the_newest_records() {
    let log = PagedLog { is_expired: true, ..PagedLog::default() };
    let mut tail = TailReader::at(LogTopic::Jobs, 7);
    for _ in 0..10 {
        if let TailStep::Snapshot(records) = tail.next(&log, Duration::ZERO).await {
            assert_eq!(records.len(), KEYS);
            return;
        }
    }
    panic!("the snapshot is never complete");
}

/// A log to which configurations are appended faster than a narrow link carries them. Each read
/// returns one.
#[derive(Clone, Default)]
struct FastConfigLog {
    bytes_read: Arc<AtomicUsize>,
}

/// Number of configuration versions in the log, and the size of each in bytes.
const VERSIONS: u64 = 40;
const VERSION_BYTES: usize = 50_000;

impl FastConfigLog {
    fn record(&self, version: u64) -> (u64, KeyedRecord) {
        self.bytes_read.fetch_add(VERSION_BYTES, Ordering::Relaxed);
        (version, KeyedRecord { key: "config".to_owned(), value: version.to_be_bytes().to_vec() })
    }
}

impl JobLog for FastConfigLog {
    async fn append(&self, _: &AppendCall, _: Duration) -> AppendOutcome {
        AppendOutcome::Refused
    }

    async fn read(&self, _: LogTopic, from: u64, _: Duration) -> ReadOutcome {
        let records: Vec<(u64, KeyedRecord)> =
            (from..VERSIONS).take(1).map(|version| self.record(version)).collect();
        let next = from + u64::try_from(records.len()).expect("at most one record");
        ReadOutcome::Read(LogBatch { end: VERSIONS, next, records })
    }

    async fn newest(&self, _: LogTopic, _: Option<&str>) -> Option<NewestPage> {
        let newest = self.record(VERSIONS - 1);
        Some(NewestPage { records: vec![newest], has_more: false, end: VERSIONS })
    }
}

fn decode_config(record: &KeyedRecord) -> Option<OperatorRecord> {
    let version = u64::from_be_bytes(record.value.as_slice().try_into().ok()?);
    Some(OperatorRecord::Config(SiteConfig { version, ..config() }))
}

/// Guards against an entry that serves callers by a configuration that is seconds old, because it
/// reads each newer one in turn.
#[tokio::test(start_paused = true)]
async fn an_entry_that_lags_behind_the_operators_skips_to_the_newest_configuration() {
    let log = FastConfigLog::default();
    let node = idle_node();
    let mut follower = OperatorFollower {
        node: node.clone(),
        log: log.clone(),
        tail: TailReader::at(LogTopic::Operator, 1),
        decoder: decode_config,
        has_unreadable_config: false,
    };
    while node.config().is_none_or(|config| config.version < VERSIONS - 1) {
        follower.step().await;
    }
    let read = log.bytes_read.load(Ordering::Relaxed);
    assert!(read <= 4 * VERSION_BYTES, "{read} bytes were read");
}
