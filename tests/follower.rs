//! Reading a keyed stream whose history is short.

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

/// Keys in the log, ten to a page.
const KEYS: usize = 35;
const PAGE: usize = 10;

/// A log with pages of newest records; every second page is not answered.
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

/// An entry restarts behind a slow link: a page of the log's newest records is not answered in time,
/// again and again. It goes on with that page; begun anew each time, it would never know the jobs,
/// and a leader among such entries would renew its leadership and schedule nothing.
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
            TailStep::Records(_) => panic!("nothing was read yet"),
        }
        assert!(failures < 10, "it begins anew each time");
    }
    assert_eq!(tail.position(), 500);
}

/// The log has forgotten what came after the last read. The reader starts from the newest record of
/// each key, and nothing is missed.
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
    panic!("it never gets to the end");
}

/// A log on which configurations came faster than a narrow link carries them: one in each read.
#[derive(Clone, Default)]
struct FastConfigLog {
    bytes_read: Arc<AtomicUsize>,
}

/// Versions on it, and the size of each.
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
        let next = from + u64::try_from(records.len()).expect("one or none");
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

/// Guards against callers that are served by a configuration from seconds ago, as their entry reads each of those that
/// came since, one after the other.
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
