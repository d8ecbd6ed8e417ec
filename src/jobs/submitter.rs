//! Appends submissions and cancellations to the log, in batches and, for each lane, one append at a
//! time. Large submissions have a lane of their own; what waits in a lane is bounded in bytes. Large ones
//! that nobody waits for any more are not sent; ordinary ones are, unless their queue is full: a caller
//! whose time is over tries again, and finds its job stored.
//!
//! An append without an answer may have been done, or may be done seconds later. It is repeated
//! with the same sequence number, and the log performs it once. Only an outcome that the log has
//! reported is passed on; a caller whose time runs out first is told that the outcome is unknown.
//!
//! While a leader can be reached, it makes the append: one for all entries, together with its own
//! decisions. A slow log performs appends one after the other, so with an append from each entry
//! every caller would wait for all of them.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use slog::{info, warn};
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep, timeout_at};

use crate::decide::admission::{is_deferrable, retry_without_leader_s};
use crate::decide::intake::ORDINARY_BYTES;
use crate::held_body::BodyLease;
use crate::jobs::metrics::{JobMetrics, count, count_many};
use crate::jobs::node::JobNode;
use crate::jobs::ports::{AppendCall, AppendOutcome, JobLog, LogTopic, WriterStamp};
use crate::jobs::record::JobRecord;
use crate::jobs::relay::{RelayClient, RelayOutcome};
use crate::jobs::timeout_estimator::TimeoutEstimator;
use crate::scheduler::line::{RejectionReason, RelayRejection};

/// Largest number of records in one append.
const BATCH_MAX: usize = 128;
/// Size in bytes from which an append takes no more records. Together with the last record and what
/// the leader adds, it stays below the 2 MB that the platform accepts.
const BATCH_BYTES_MAX: usize = 256 << 10;
/// Largest number of waiting submissions of a lane; beyond, callers are rejected at once.
const QUEUE_MAX: usize = 2_048;
/// Longest timeout of an append, after which it is repeated: a slow log takes 300 ms.
const APPEND_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay before an append is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Age of an unanswered append from which the callers that wait behind it are rejected. Their
/// records have not been sent, so the rejection is accurate, and they may try another entry.
const STALLED_APPEND_AGE: Duration = Duration::from_millis(500);

/// Longest time that appends may queue in the log if each entry makes its own, in milliseconds. If
/// they would queue for longer, the entry waits for a leader instead: the append with which a
/// successor fences the other entries would queue behind them, and nothing could be placed until
/// then.
const OWN_QUEUE_DELAY_MAX_MS: u64 = 500;
/// How long to wait for a leader: the time for an old leader to time out, a claim, and the first
/// steps of a takeover.
const LEADER_WAIT: Duration = Duration::from_millis(1_200);
/// Number of leaders that a batch is sent to before it is given up.
const LEADERS_TRIED: usize = 3;

/// Outcome of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// It is in the log.
    Stored,
    /// It is not in the log, and never will be.
    Refused,
    /// The same, since too many wait for the log.
    Full,
    /// The same, since the leader can't begin it in time; its caller may retry after so many seconds.
    Rejected(u64),
    /// The same, since accepted jobs leave no room for it.
    JobsFull(u64),
    /// It may or may not be in the log.
    Unknown,
}

struct SubmitRequest {
    number: u64,
    record: JobRecord,
    /// Size of the encoded record.
    bytes: usize,
    answer: oneshot::Sender<SubmitOutcome>,
    /// Bytes of the job in the account of callers.
    _lease: Option<BodyLease>,
}

/// Submissions that wait to be sent.
#[derive(Default)]
struct WaitingRequests {
    requests: VecDeque<SubmitRequest>,
    bytes: usize,
    next: u64,
}

/// The queue of one lane.
struct SubmitQueue {
    waiting: Mutex<WaitingRequests>,
    added: Notify,
    bytes_max: usize,
    /// Whether requests are sent whose callers' time is over.
    keeps_late: bool,
    metrics: Arc<JobMetrics>,
}

impl SubmitQueue {
    fn new(bytes_max: usize, keeps_late: bool, metrics: Arc<JobMetrics>) -> SubmitQueue {
        let (waiting, added) = (Mutex::default(), Notify::new());
        SubmitQueue { waiting, added, bytes_max, keeps_late, metrics }
    }

    fn waiting(&self) -> MutexGuard<'_, WaitingRequests> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request, unless the queue is full; returns its number.
    fn push(&self, mut request: SubmitRequest) -> Option<u64> {
        let mut waiting = self.waiting();
        let is_full = |waiting: &WaitingRequests| {
            waiting.requests.len() >= QUEUE_MAX || waiting.bytes + request.bytes > self.bytes_max
        };
        if is_full(&waiting) {
            let dropped = waiting.drop_abandoned();
            count_many(&self.metrics.submissions_unsent, "abandoned", dropped);
        }
        // An empty queue takes a request of any size.
        if is_full(&waiting) && !waiting.requests.is_empty() {
            count(&self.metrics.submissions_unsent, "full");
            return None;
        }
        let number = waiting.next;
        waiting.next += 1;
        waiting.bytes += request.bytes;
        request.number = number;
        waiting.requests.push_back(request);
        drop(waiting);
        self.added.notify_one();
        Some(number)
    }

    /// Takes a request back whose caller's time is over and that was not sent; returns whether it was.
    fn withdraw(&self, number: u64) -> bool {
        if self.keeps_late {
            return false;
        }
        let mut waiting = self.waiting();
        let Ok(position) = waiting.requests.binary_search_by_key(&number, |request| request.number)
        else {
            return false;
        };
        let Some(request) = waiting.requests.remove(position) else { return false };
        waiting.bytes -= request.bytes;
        count(&self.metrics.submissions_unsent, "late");
        true
    }

    /// Waits for requests, and takes those of one batch.
    async fn take(&self, bytes_max: impl Fn() -> usize) -> Vec<SubmitRequest> {
        loop {
            let (batch, abandoned) = self.waiting().take(bytes_max(), self.keeps_late);
            count_many(&self.metrics.submissions_unsent, "abandoned", abandoned);
            if !batch.is_empty() {
                return batch;
            }
            self.added.notified().await;
        }
    }
}

impl WaitingRequests {
    /// Drops requests that nobody waits for, and that were not sent; returns how many.
    fn drop_abandoned(&mut self) -> usize {
        let before = self.requests.len();
        self.requests.retain(|request| !request.answer.is_closed());
        self.bytes = self.requests.iter().map(|request| request.bytes).sum();
        before - self.requests.len()
    }

    fn drain(&mut self) -> Vec<SubmitRequest> {
        self.bytes = 0;
        std::mem::take(&mut self.requests).into()
    }

    /// Takes the requests of one batch, and how many were dropped as nobody waits for them.
    fn take(&mut self, bytes_max: usize, keeps_late: bool) -> (Vec<SubmitRequest>, usize) {
        let (mut batch, mut bytes, mut abandoned) = (Vec::new(), 0, 0);
        while batch.len() < BATCH_MAX
            && let Some(next) = self.requests.front()
            && (batch.is_empty() || bytes + next.bytes <= bytes_max)
            && let Some(next) = self.requests.pop_front()
        {
            self.bytes -= next.bytes;
            if !keeps_late && next.answer.is_closed() {
                abandoned += 1;
            } else {
                bytes += next.bytes;
                batch.push(next);
            }
        }
        (batch, abandoned)
    }
}

/// Sends records to the submitter's tasks. Ordinary ones have a lane of their own, so that they do
/// not wait for large ones.
#[derive(Clone)]
pub struct SubmitHandle {
    ordinary: Arc<SubmitQueue>,
    large: Arc<SubmitQueue>,
}

impl SubmitHandle {
    /// Stores a record in the log; `Unknown` if there is no outcome by `deadline`, and it was sent or
    /// will be.
    pub async fn submit(&self, record: JobRecord, deadline: Instant) -> SubmitOutcome {
        self.submit_held(record, deadline, None).await
    }

    /// The same for a record whose bytes are in the account of callers.
    pub async fn submit_held(
        &self,
        record: JobRecord,
        deadline: Instant,
        lease: Option<BodyLease>,
    ) -> SubmitOutcome {
        let Some(bytes) = record.encode().map(|keyed| keyed.value.len()) else {
            return SubmitOutcome::Refused;
        };
        let queue = if bytes <= ORDINARY_BYTES { &self.ordinary } else { &self.large };
        let (answer, outcome) = oneshot::channel();
        let request = SubmitRequest { number: 0, record, bytes, answer, _lease: lease };
        // A full queue means that the log is far behind; nothing was sent.
        let Some(number) = queue.push(request) else { return SubmitOutcome::Full };
        match timeout_at(deadline, outcome).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) => SubmitOutcome::Unknown,
            Err(_) if queue.withdraw(number) => SubmitOutcome::Full,
            Err(_) => SubmitOutcome::Unknown,
        }
    }
}

/// Appends batches in order.
struct Submitter<L> {
    node: Arc<JobNode>,
    log: L,
    requests: Arc<SubmitQueue>,
    relay: RelayClient,
    writer: Arc<str>,
    epoch: u64,
    sequence: u64,
    append_timeout: TimeoutEstimator,
}

/// Starts the submitter's tasks, one for each lane.
pub fn spawn<L: JobLog>(
    node: Arc<JobNode>,
    log: L,
    relay: RelayClient,
    incarnation: u64,
) -> SubmitHandle {
    let bytes_max = node.settings.limits.waiting_jobs();
    let spawn_lane = |relay: RelayClient, name: &str, keeps_late: bool| {
        let queue = SubmitQueue::new(bytes_max, keeps_late, node.metrics.clone());
        let requests = Arc::new(queue);
        let submitter = Submitter {
            node: node.clone(),
            log: log.clone(),
            requests: requests.clone(),
            relay,
            // A restarted process has lost its sequence numbers, so it needs another writer name.
            writer: format!("{}-{incarnation:x}{name}", node.settings.node).into(),
            epoch: 1,
            sequence: 0,
            append_timeout: TimeoutEstimator::new(APPEND_TIMEOUT),
        };
        tokio::spawn(submitter.run());
        requests
    };
    // A leader that takes too long for a large batch may take ordinary ones.
    let large = spawn_lane(relay.separate(), "-large", false);
    SubmitHandle { ordinary: spawn_lane(relay, "", true), large }
}

impl<L: JobLog> Submitter<L> {
    async fn run(mut self) {
        loop {
            let bytes_max = || self.log.append_limit().min(BATCH_BYTES_MAX);
            let batch = self.requests.take(bytes_max).await;
            self.store(batch).await;
        }
    }

    /// Lets the leader store a batch, or appends it if there is no leader.
    async fn store(&mut self, batch: Vec<SubmitRequest>) {
        let records: Vec<JobRecord> = batch.iter().map(|request| request.record.clone()).collect();
        let mut is_in_doubt = false;
        for _ in 0..LEADERS_TRIED {
            match self.relay.store(&self.node, records.clone()).await {
                RelayOutcome::Stored => return self.complete(batch, None),
                RelayOutcome::StoredExcept(rejections) => {
                    return self.complete_except(batch, &rejections, is_in_doubt);
                }
                RelayOutcome::Full => {
                    let outcome =
                        if is_in_doubt { SubmitOutcome::Unknown } else { SubmitOutcome::Full };
                    count_many(&self.node.metrics.submissions_unsent, "full", batch.len());
                    return answer_all(batch, outcome);
                }
                RelayOutcome::NotSent => {}
                // The leader may have made the append, or may still make it: after that, a
                // rejection by the log does not mean that the batch was not stored.
                RelayOutcome::Unknown => is_in_doubt = true,
            }
            if self.node.own_queue_delay_ms() <= OWN_QUEUE_DELAY_MAX_MS
                || !self.node.is_leader_silent()
            {
                let batch = if is_in_doubt { batch } else { self.reject_beyond_leader(batch) };
                if batch.is_empty() {
                    return;
                }
                return self.append(batch, is_in_doubt).await;
            }
            if !self.relay.wait_for_leader(&self.node, LEADER_WAIT).await {
                break;
            }
        }
        info!(self.node.logger,
            "batch not stored: no leader, and the log is too slow for appends of all entries";
            "records" => batch.len(), "line_ms" => self.node.own_queue_delay_ms());
        let outcome = if is_in_doubt { SubmitOutcome::Unknown } else { SubmitOutcome::Refused };
        answer_all(batch, outcome);
        self.reject_waiting();
    }

    /// Rejects the submissions of a batch that no leader has seen if the last one was short of starts: what
    /// is appended past leaders is bounded by nobody.
    fn reject_beyond_leader(&self, batch: Vec<SubmitRequest>) -> Vec<SubmitRequest> {
        let Some(line) = self.node.last_start_line() else { return batch };
        let mut kept = Vec::with_capacity(batch.len());
        for request in batch {
            match &request.record {
                JobRecord::Submitted(job, submission) if is_deferrable(&submission.spec) => {
                    let retry_s = retry_without_leader_s(&line, job.number());
                    answer_all(vec![request], SubmitOutcome::Rejected(retry_s));
                }
                _ => kept.push(request),
            }
        }
        kept
    }

    async fn append(&mut self, batch: Vec<SubmitRequest>, is_relayed: bool) {
        let call = AppendCall {
            topic: LogTopic::Jobs,
            records: batch.iter().filter_map(|request| request.record.encode()).collect(),
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
            let append_timeout = self.append_timeout.timeout_over(self.log.round_trip());
            let outcome = self.log.append(&call, append_timeout).await;
            self.append_timeout.record_outcome(outcome, sent.elapsed());
            match outcome {
                AppendOutcome::Done { offset, .. } => {
                    self.sequence += 1;
                    self.node.record_log_answer();
                    self.complete(batch, Some(offset));
                    return;
                }
                AppendOutcome::Refused if !is_in_doubt => {
                    info!(self.node.logger, "the log rejected an append"; "records" => batch.len());
                    answer_all(batch, SubmitOutcome::Refused);
                    return;
                }
                AppendOutcome::Refused => {}
                AppendOutcome::Unknown => is_in_doubt = true,
                // Unless the next sequence number is known, nothing can be repeated safely: a new
                // epoch fences whatever is still in flight.
                AppendOutcome::Fenced
                | AppendOutcome::OutOfSequence
                | AppendOutcome::EndMoved { .. } => {
                    warn!(self.node.logger,
                        "the log did not accept the epoch or sequence number of an append";
                        "epoch" => self.epoch, "sequence" => self.sequence);
                    self.next_epoch();
                    answer_all(batch, SubmitOutcome::Unknown);
                    return;
                }
            }
            if batch.iter().all(|request| request.answer.is_closed()) {
                // No caller is waiting any more. The append may still be done, and then it counts.
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
        let waiting = self.requests.waiting().drain();
        answer_all(waiting, SubmitOutcome::Refused);
    }

    /// Completes a batch that the leader has stored except for these submissions. If the batch was sent
    /// before, an earlier leader may have stored them.
    fn complete_except(
        &self,
        batch: Vec<SubmitRequest>,
        rejections: &[RelayRejection],
        is_in_doubt: bool,
    ) {
        let mut stored = Vec::with_capacity(batch.len());
        for (position, request) in batch.into_iter().enumerate() {
            match rejections.iter().find(|rejection| rejection.position == position) {
                None => stored.push(request),
                Some(_) if is_in_doubt => answer_all(vec![request], SubmitOutcome::Unknown),
                Some(RelayRejection { retry_s, reason, .. }) => {
                    let outcome = match reason {
                        RejectionReason::Starts => SubmitOutcome::Rejected(*retry_s),
                        RejectionReason::Memory => SubmitOutcome::JobsFull(*retry_s),
                    };
                    answer_all(vec![request], outcome);
                }
            }
        }
        self.complete(stored, None);
    }

    /// Adds the entry's own submissions to its table before they are read back. Records that
    /// another entry appended get offset 0, so that everything that is read counts as newer.
    fn complete(&self, batch: Vec<SubmitRequest>, offset: Option<u64>) {
        self.node.record_store();
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
        // A caller that is gone needs no answer.
        let _ = request.answer.send(outcome);
    }
}
