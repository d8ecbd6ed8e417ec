//! Brings the job table up to date when a caller asks about a job that this entry does not know.
//!
//! An entry can be behind the log because its link is slow or its processor weak, while dozens of
//! callers a second ask for jobs that other entries have accepted. If each of them made its own
//! read, the same records would be fetched again and again and the entry would fall further behind.
//! So one read serves all callers that asked before it began.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::time::{Instant, sleep, timeout};

use crate::jobs::follower::{TailStep, fold_step};
use crate::jobs::node::JobNode;
use crate::jobs::ports::{JobLog, LogTopic, ReadOutcome};

/// Time limit for reading the newest records before a caller is told that the log is unavailable.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay after an answer that has no records and does not reach the end of the log.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// Reads the job log to its end on demand.
pub struct CatchUpReader<L> {
    node: Arc<JobNode>,
    log: L,
    /// Start of the latest read that reached the end of the log.
    last_start: Mutex<Option<Instant>>,
}

impl<L: JobLog> CatchUpReader<L> {
    /// A reader that updates this entry's job table.
    pub fn new(node: Arc<JobNode>, log: L) -> CatchUpReader<L> {
        CatchUpReader { node, log, last_start: Mutex::new(None) }
    }

    /// Waits until the table has everything that was in the log when this was called; false if the
    /// log can't be read now.
    pub async fn catch_up(&self) -> bool {
        let requested = Instant::now();
        // One read may be under way already when this one begins.
        let limit = CATCH_UP_TIMEOUT + self.log.round_trip() * 2;
        timeout(limit, self.read_since(requested)).await.unwrap_or(false)
    }

    async fn read_since(&self, requested: Instant) -> bool {
        let mut last_start = self.last_start.lock().await;
        if last_start.is_some_and(|begun| begun >= requested) {
            return true;
        }
        let begun = Instant::now();
        let is_complete = self.read_to_end().await;
        if is_complete {
            *last_start = Some(begun);
        }
        is_complete
    }

    async fn read_to_end(&self) -> bool {
        loop {
            let (position, copy) = (self.node.applied_offset(), self.node.replica_epoch());
            match self.log.read(LogTopic::Jobs, position, Duration::ZERO).await {
                ReadOutcome::Read(batch) => {
                    if self.node.replica_epoch() != copy {
                        return false;
                    }
                    let (is_end, is_empty) = (batch.next >= batch.end, batch.records.is_empty());
                    fold_step(&self.node, TailStep::Records(batch.records), batch.next);
                    if is_end {
                        self.node.set_current();
                        return true;
                    }
                    if is_empty {
                        sleep(RETRY_DELAY).await;
                    }
                }
                ReadOutcome::Expired { .. } | ReadOutcome::Refused | ReadOutcome::Unknown => {
                    return false;
                }
            }
        }
    }
}
