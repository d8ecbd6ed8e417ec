//! Puts submissions and cancellations on the log, many in one append, one append at a time.
//!
//! An append without an answer may have been done, or may be done seconds later. It is repeated
//! under the same number, which the log does once. Only an outcome that the log states is passed on
//! as such; a caller whose time is up first is told that the outcome is not known.
//!
//! While a leader can be reached it makes the append: one for all entries, together with what it
//! decides. A slow log takes its appends one after the other, so an append of each entry's own would
//! make every caller wait for all of them.

use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout_at};

use crate::jobs::node::JobNode;
use crate::jobs::ports::{AppendCall, AppendOutcome, JobLog, LogTopic, WriterStamp};
use crate::jobs::record::{JobRecord, KeyedRecord};
use crate::jobs::relay::{RelayClient, RelayOutcome};
use crate::jobs::timeout_estimator::TimeoutEstimator;

/// Records in one append at most.
const BATCH_MAX: usize = 128;
/// Bytes from which an append takes no more records; with the last one it stays under the 2 MB that the
/// platform takes, also together with what the leader adds.
const BATCH_BYTES_MAX: usize = 256 << 10;
/// Submissions that may wait; beyond, callers are refused at once.
const QUEUE_MAX: usize = 2_048;
/// Longest time for an append to be answered before it is repeated: a slow log takes 300 ms.
const APPEND_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause before an append is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Age of an append without an answer from which callers that wait behind it are refused: their
/// records have not been sent, so the refusal is true, and they may try another entry.
const STALLED_APPEND_AGE: Duration = Duration::from_millis(500);

/// Time that appends of each entry's own may stand in line, in milliseconds. Where they would longer, a leader is waited
/// for: the append by which a successor shuts the others out would stand behind them, and nothing is placed before.
const OWN_QUEUE_DELAY_MAX_MS: u64 = 500;
/// Time for which a leader is waited for: a silence, a claim, and a takeover's first steps.
const LEADER_WAIT: Duration = Duration::from_millis(1_200);
/// Leaders that a batch is handed to before it is given up.
const LEADERS_TRIED: usize = 3;

/// What became of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// It is on the log.
    Stored,
    /// It is not, and never will be.
    Refused,
    /// Not known.
    Unknown,
}

struct SubmitRequest {
    record: JobRecord,
    keyed: KeyedRecord,
    answer: oneshot::Sender<SubmitOutcome>,
}

/// Hands records to the submitter's task.
#[derive(Clone)]
pub struct SubmitHandle {
    requests: mpsc::Sender<SubmitRequest>,
}

impl SubmitHandle {
    /// Puts a record on the log; `Unknown` if that has no outcome by `deadline`.
    pub async fn submit(&self, record: JobRecord, deadline: Instant) -> SubmitOutcome {
        let Some(keyed) = record.encode() else { return SubmitOutcome::Refused };
        let (answer, outcome) = oneshot::channel();
        // A full queue means that the log is far behind; nothing was sent.
        if self.requests.try_send(SubmitRequest { record, keyed, answer }).is_err() {
            return SubmitOutcome::Refused;
        }
        match timeout_at(deadline, outcome).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => SubmitOutcome::Unknown,
        }
    }
}

/// Appends in order.
struct Submitter<L> {
    node: Arc<JobNode>,
    log: L,
    requests: mpsc::Receiver<SubmitRequest>,
    relay: RelayClient,
    writer: Arc<str>,
    epoch: u64,
    sequence: u64,
    append_timeout: TimeoutEstimator,
}

/// Starts the submitter's task.
pub fn spawn<L: JobLog>(
    node: Arc<JobNode>,
    log: L,
    relay: RelayClient,
    incarnation: u64,
) -> SubmitHandle {
    let (sender, requests) = mpsc::channel(QUEUE_MAX);
    // A restarted process has forgotten its numbers: it is another writer.
    let writer = format!("{}-{incarnation:x}", node.settings.node).into();
    let append_timeout = TimeoutEstimator::new(APPEND_TIMEOUT);
    let submitter =
        Submitter { node, log, requests, relay, writer, epoch: 1, sequence: 0, append_timeout };
    tokio::spawn(submitter.run());
    SubmitHandle { requests: sender }
}

impl<L: JobLog> Submitter<L> {
    async fn run(mut self) {
        while let Some(first) = self.requests.recv().await {
            let mut bytes = first.keyed.value.len();
            let mut batch = vec![first];
            let bytes_max = self.log.append_limit().min(BATCH_BYTES_MAX);
            while batch.len() < BATCH_MAX && bytes < bytes_max {
                let Ok(next) = self.requests.try_recv() else { break };
                bytes += next.keyed.value.len();
                batch.push(next);
            }
            self.store(batch).await;
        }
    }

    /// Has the leader store a batch, or appends it where there is none.
    async fn store(&mut self, batch: Vec<SubmitRequest>) {
        let records: Vec<JobRecord> = batch.iter().map(|request| request.record.clone()).collect();
        let mut is_in_doubt = false;
        for _ in 0..LEADERS_TRIED {
            match self.relay.store(&self.node, records.clone()).await {
                RelayOutcome::Stored => return self.complete(batch, None),
                RelayOutcome::NotSent => {}
                // The leader may have made the append, or may make it yet: a refusal of the log would not be the whole
                // truth.
                RelayOutcome::Unknown => is_in_doubt = true,
            }
            if self.node.own_line_ms() <= OWN_QUEUE_DELAY_MAX_MS || !self.node.is_leader_silent() {
                return self.append(batch, is_in_doubt).await;
            }
            if !self.relay.wait_for_leader(&self.node, LEADER_WAIT).await {
                break;
            }
        }
        info!(self.node.logger, "there is no leader to store a batch, and the log has no time for one of each entry";
            "records" => batch.len(), "line_ms" => self.node.own_line_ms());
        let outcome = if is_in_doubt { SubmitOutcome::Unknown } else { SubmitOutcome::Refused };
        answer_all(batch, outcome);
        self.reject_waiting();
    }

    async fn append(&mut self, batch: Vec<SubmitRequest>, is_relayed: bool) {
        let call = AppendCall {
            topic: LogTopic::Jobs,
            records: batch.iter().map(|request| request.keyed.clone()).collect(),
            expected_end: None,
            stamp: Some(WriterStamp {
                writer: self.writer.clone(),
                epoch: self.epoch,
                sequence: self.sequence,
            }),
        };
        let begun = Instant::now();
        let mut is_in_doubt = is_relayed;
        loop {
            let sent = Instant::now();
            let outcome = self.log.append(&call, self.append_timeout.timeout()).await;
            self.append_timeout.record_outcome(outcome, sent.elapsed());
            match outcome {
                AppendOutcome::Done { offset, .. } => {
                    self.sequence += 1;
                    self.node.touch();
                    self.complete(batch, Some(offset));
                    return;
                }
                AppendOutcome::Refused if !is_in_doubt => {
                    info!(self.node.logger, "the log refused an append"; "records" => batch.len());
                    answer_all(batch, SubmitOutcome::Refused);
                    return;
                }
                AppendOutcome::Refused => {}
                AppendOutcome::Unknown => is_in_doubt = true,
                // Without a number of ours that is known to be next, nothing can be repeated
                // safely: a new epoch shuts out whatever is still under way.
                AppendOutcome::Fenced
                | AppendOutcome::OutOfSequence
                | AppendOutcome::EndMoved { .. } => {
                    warn!(self.node.logger, "the log takes our numbers for wrong";
                        "epoch" => self.epoch, "sequence" => self.sequence);
                    self.next_epoch();
                    answer_all(batch, SubmitOutcome::Unknown);
                    return;
                }
            }
            if batch.iter().all(|request| request.answer.is_closed()) {
                // Nobody waits any more. It may be done yet, and then it is a job.
                self.next_epoch();
                return;
            }
            if begun.elapsed() >= STALLED_APPEND_AGE {
                self.reject_waiting();
            }
            sleep(RETRY_DELAY).await;
        }
    }

    fn next_epoch(&mut self) {
        self.epoch += 1;
        self.sequence = 0;
    }

    fn reject_waiting(&mut self) {
        while let Ok(request) = self.requests.try_recv() {
            answer_all(vec![request], SubmitOutcome::Refused);
        }
    }

    /// The entry knows its own submissions before it reads them back. What another entry has appended counts
    /// as appended at the start: all that is read is newer.
    fn complete(&self, batch: Vec<SubmitRequest>, offset: Option<u64>) {
        self.node.stored();
        let records: Vec<(u64, JobRecord)> = (0..)
            .zip(&batch)
            .map(|(position, request)| {
                (offset.map_or(0, |first| first + position), request.record.clone())
            })
            .collect();
        self.node.fold(&records);
        answer_all(batch, SubmitOutcome::Stored);
    }
}

fn answer_all(batch: Vec<SubmitRequest>, outcome: SubmitOutcome) {
    for request in batch {
        // A caller that went away needs no answer.
        let _ = request.answer.send(outcome);
    }
}
