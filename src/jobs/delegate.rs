//! Delegation of starts: other entries (executors) send starts to workers for the leader.
//!
//! The leader sends an executor batches of starts without the text of their jobs. The executor
//! takes that text from its replica of the job log, calls the workers and answers with the outcome
//! of each start. The leader makes every decision and every other call to a worker itself.
//!
//! A start that an executor sends late has the effect of a start that the worker receives late. The
//! worker accepts a run once, and refuses it after a stop, after the lease has expired or if it has
//! seen a newer leader's fencing token. The leader repeats the same run until it knows the outcome.
//! An executor does not begin a batch that was in flight for longer than the leader waits for the
//! answer. It computes the age with its own clock: the leader knows that clock from the executor's
//! offers and stamps the batch with it.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::control::ControlLoop;
use crate::decide::executor::{
    BATCH_MAX, BATCH_TIMEOUT_MAX, ExecutorOffer, ExecutorStamp, STALE_BATCH_MS,
};
use crate::decide::lateness::answer_extra_ms;
use crate::decide::replica::{OFFER_INTERVAL_MS, offer_interval_ms};
use crate::jobs::metrics::count;
use crate::jobs::model::TaskKey;
use crate::jobs::node::JobNode;
use crate::jobs::ports::{
    CommandOutcome, CommandRefusal, StartCall, WorkerClient, WorkerTarget, start_label,
};
use crate::transport::{ExchangeFailure, HttpCall, HttpTransport};

/// Path to which an entry posts its offer to the leader.
pub const OFFER_PATH: &str = "/executor";
/// Path to which the leader posts a batch of starts.
pub const STARTS_PATH: &str = "/starts";
/// Maximum size of a batch of starts or an offer, in bytes.
pub const STARTS_BYTES_MAX: usize = 256 << 10;
/// Interval of the checks whether an offer is due.
const OFFER_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of the offers of an entry that the log does not answer, in milliseconds.
const LOG_UNREACHABLE_OFFER_INTERVAL_MS: u64 = 500;
/// Timeout of an offer.
const OFFER_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay in which starts are collected into a batch: a commit releases many starts at once, and
/// each batch costs 0.3 KB.
const BATCH_DELAY: Duration = Duration::from_millis(6);

/// A start without the text of its job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DelegatedStart {
    /// Name of the worker.
    pub worker: Arc<str>,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Task to start.
    pub task: TaskKey,
    /// Number of the run of this task.
    pub run: u32,
    /// End of the lease of the run by the worker's clock, in milliseconds.
    pub lease_until_ms: u64,
    /// Fencing token of the leader.
    pub fence: u64,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
    /// Placement permit, if the queue requires one.
    pub permit: Option<Arc<str>>,
}

/// A batch of starts for one executor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartBatch {
    /// Incarnation of the executor for which the batch is meant, and time of sending.
    pub stamp: ExecutorStamp,
    /// Starts to send, each answered at the same position of the outcomes.
    pub starts: Vec<DelegatedStart>,
}

/// Outcome of a delegated start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DelegatedOutcome {
    /// The run has started, now or earlier; holds the worker's clock, in milliseconds.
    Done(u64),
    /// The worker refused it; holds the worker's clock if known.
    Refused(CommandRefusal, Option<u64>),
    /// No answer: the run may have started, or may still start.
    Unknown,
    /// The start was not sent to the worker.
    NotSent,
}

/// A start that is to go to an executor.
#[derive(Clone, Debug)]
pub struct StartOrder {
    /// Worker that is to run the task.
    pub target: WorkerTarget,
    /// Data centre of the worker.
    pub centre: Arc<str>,
    /// Call to the worker.
    pub call: StartCall,
}

/// Batches the leader's starts and sends them to executors.
pub struct StartDelegate {
    node: Arc<JobNode>,
    transport: HttpTransport,
    orders: mpsc::UnboundedReceiver<StartOrder>,
}

impl StartDelegate {
    /// Creates a delegate, on which [`StartDelegate::run`] is to be called, and the sender of its
    /// orders.
    pub fn open(node: Arc<JobNode>) -> (StartDelegate, mpsc::UnboundedSender<StartOrder>) {
        let (sender, orders) = mpsc::unbounded_channel();
        let transport = HttpTransport::open().metered(node.metrics.traffic.clone());
        (StartDelegate { node, transport, orders }, sender)
    }

    /// Processes orders until every sender is dropped. Batches in flight are cancelled when it
    /// returns.
    pub async fn run(mut self) {
        let mut batches = JoinSet::new();
        let mut turn = 0_usize;
        while let Some(first) = self.orders.recv().await {
            sleep(BATCH_DELAY).await;
            let mut orders = vec![first];
            while let Ok(order) = self.orders.try_recv() {
                orders.push(order);
            }
            for batch in batches_in_turn(orders, turn) {
                self.dispatch(batch, &mut batches);
            }
            turn = turn.wrapping_add(1);
            while batches.try_join_next().is_some() {}
        }
    }

    fn dispatch(&self, orders: Vec<StartOrder>, batches: &mut JoinSet<()>) {
        let now = self.node.now();
        let picked = {
            let mut executors = self.node.executors();
            let address = orders.first().and_then(|order| executors.pick(&order.centre, now));
            address.and_then(|address| {
                let stamp = executors.begin_batch(address, orders.len(), now)?;
                Some((address, stamp))
            })
        };
        let Some((address, stamp)) = picked else {
            self.node.executors().release(orders.len());
            let centre = orders.first().map(|order| order.centre.clone());
            info!(self.node.logger, "no executor has capacity for starts"; "starts" => orders.len(),
                "centre" => centre.as_deref());
            report_outcomes(&self.node, &orders, &vec![DelegatedOutcome::NotSent; orders.len()]);
            return;
        };
        let (node, transport) = (self.node.clone(), self.transport.clone());
        batches.spawn(async move {
            let outcomes = send_batch(&node, &transport, address, stamp, &orders).await;
            report_outcomes(&node, &orders, &outcomes);
        });
    }
}

/// Groups starts into batches of one data centre each, in the order in which they are dispatched.
///
/// The order takes one batch of each data centre in turn, and `turn` rotates the data centre that
/// comes first, as executors may have capacity for the first few batches only.
pub fn batches_in_turn(mut orders: Vec<StartOrder>, turn: usize) -> Vec<Vec<StartOrder>> {
    orders.sort_by(|one, other| one.centre.cmp(&other.centre));
    let mut centres: Vec<_> = orders
        .chunk_by(|one, other| one.centre == other.centre)
        .map(|group| group.chunks(BATCH_MAX))
        .collect();
    let first = turn % centres.len().max(1);
    centres.rotate_left(first);
    let mut batches = Vec::new();
    while !centres.is_empty() {
        centres.retain_mut(|chunks| {
            let chunk = chunks.next();
            batches.extend(chunk.map(<[StartOrder]>::to_vec));
            chunk.is_some()
        });
    }
    batches
}

/// Sends a batch to an executor and returns the outcome of each start.
async fn send_batch(
    node: &JobNode,
    transport: &HttpTransport,
    address: SocketAddr,
    stamp: ExecutorStamp,
    orders: &[StartOrder],
) -> Vec<DelegatedOutcome> {
    let starts = orders.iter().map(delegated_start).collect();
    let body = postcard::to_stdvec(&StartBatch { stamp, starts }).unwrap_or_default();
    let call = post(STARTS_PATH, body);
    let extra = Duration::from_millis(answer_extra_ms(node.loop_delay_ms()));
    let timeout = (node.executors().batch_timeout(address) + extra).min(BATCH_TIMEOUT_MAX);
    let sent_ms = node.now();
    let answer = transport.exchange(address, call, timeout).await;
    let outcomes = match &answer {
        Ok(answer) if answer.status == StatusCode::OK => {
            let outcomes: Option<Vec<DelegatedOutcome>> = postcard::from_bytes(&answer.body).ok();
            outcomes.filter(|outcomes| outcomes.len() == orders.len())
        }
        Ok(_) | Err(ExchangeFailure::NotSent) => {
            Some(vec![DelegatedOutcome::NotSent; orders.len()])
        }
        Err(ExchangeFailure::NoAnswer) => None,
    };
    let has_outcomes =
        answer.is_ok_and(|answer| answer.status == StatusCode::OK) && outcomes.is_some();
    {
        let (mut executors, now) = (node.executors(), node.now());
        if has_outcomes {
            executors.record_answer(address, orders.len(), sent_ms, now);
        }
        executors.end_batch(address, orders.len(), has_outcomes, now);
    }
    (0..orders.len()).for_each(|_| node.executor_freed.notify_one());
    if !has_outcomes {
        info!(node.logger, "executor did not answer a batch of starts"; "executor" => %address,
            "starts" => orders.len(), "may_be_sent" => outcomes.is_none());
    }
    outcomes.unwrap_or_else(|| vec![DelegatedOutcome::Unknown; orders.len()])
}

fn delegated_start(order: &StartOrder) -> DelegatedStart {
    DelegatedStart {
        worker: order.target.id.clone(),
        address: order.target.address,
        task: order.call.task,
        run: order.call.run,
        lease_until_ms: order.call.lease_until_ms,
        fence: order.call.fence,
        checkpoint: order.call.checkpoint.clone(),
        permit: order.call.permit.clone(),
    }
}

/// Reports the outcomes of starts to the scheduler.
fn report_outcomes(node: &JobNode, orders: &[StartOrder], outcomes: &[DelegatedOutcome]) {
    let now = node.now();
    for (order, outcome) in orders.iter().zip(outcomes) {
        let (task, run, worker) = (&order.call.task, order.call.run, &order.target.id);
        let outcome = match *outcome {
            DelegatedOutcome::Done(clock_ms) => CommandOutcome::Done(clock_ms),
            DelegatedOutcome::Refused(refusal, clock) => CommandOutcome::Refused(refusal, clock),
            DelegatedOutcome::Unknown => CommandOutcome::Unknown,
            DelegatedOutcome::NotSent => {
                count(&node.metrics.starts, "not_delegated");
                node.with_scheduler(|scheduler| scheduler.start_not_sent(task, run, now));
                continue;
            }
        };
        count(&node.metrics.starts, start_label(&outcome));
        node.with_scheduler(|scheduler| {
            scheduler.handle_start_outcome(worker, task, run, &outcome, now)
        });
    }
    node.wake.notify_one();
}

/// Sends the starts of a batch from the leader to their workers and returns the outcomes, or `None`
/// if the batch is malformed.
///
/// A start is left to the leader, as not sent, if this entry does not have the text of its job yet
/// or knows that the job has finished.
pub async fn carry_out<W: WorkerClient>(
    node: &JobNode,
    workers: &W,
    body: &[u8],
) -> Option<Vec<DelegatedOutcome>> {
    let batch: StartBatch = postcard::from_bytes(body).ok()?;
    let is_for_this_incarnation = batch.stamp.incarnation == node.incarnation;
    let is_late = node.now() > batch.stamp.sent_ms + STALE_BATCH_MS;
    if !is_for_this_incarnation || is_late || node.is_stopping() {
        warn!(node.logger, "batch of starts rejected"; "starts" => batch.starts.len(),
            "is_late" => is_late, "is_of_another_life" => !is_for_this_incarnation);
        return Some(vec![DelegatedOutcome::NotSent; batch.starts.len()]);
    }
    info!(node.logger, "sending starts for the leader"; "tasks" => %TaskNames(&batch.starts),
        "since_sent_ms" => node.now().saturating_sub(batch.stamp.sent_ms));
    let mut outcomes = vec![DelegatedOutcome::NotSent; batch.starts.len()];
    let mut calls = JoinSet::new();
    for (position, start) in batch.starts.into_iter().enumerate() {
        let Some(payload) = job_payload(node, &start.task) else { continue };
        let (target, call) = start_call(start, payload);
        let (workers, call_timeout) = (workers.clone(), node.command_timeout().timeout());
        // Stays if the call panics: it may have been sent by then.
        outcomes[position] = DelegatedOutcome::Unknown;
        calls.spawn(async move {
            let sent = Instant::now();
            let outcome = workers.start(&target, &call, call_timeout).await;
            (position, outcome, sent.elapsed())
        });
    }
    node.metrics.delegated_starts.inc_by(u64::try_from(calls.len()).unwrap_or(0));
    while let Some(finished) = calls.join_next().await {
        let Ok((position, outcome, elapsed)) = finished else { continue };
        let is_answered = outcome != CommandOutcome::Unknown;
        node.command_timeout().record_outcome(elapsed, is_answered);
        outcomes[position] = match outcome {
            CommandOutcome::Done(clock_ms) => DelegatedOutcome::Done(clock_ms),
            CommandOutcome::Refused(refusal, clock) => DelegatedOutcome::Refused(refusal, clock),
            CommandOutcome::Unknown => DelegatedOutcome::Unknown,
        };
    }
    Some(outcomes)
}

/// Formats the tasks and runs of a batch for a log line.
struct TaskNames<'a>(&'a [DelegatedStart]);

impl fmt::Display for TaskNames<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, start) in self.0.iter().enumerate() {
            let separator = if position == 0 { "" } else { " " };
            write!(f, "{separator}{}/{}", start.task, start.run)?;
        }
        Ok(())
    }
}

/// Returns the text of a task's job if the job table has it and the job is not finished: the leader
/// may learn of a cancellation later than this entry.
fn job_payload(node: &JobNode, task: &TaskKey) -> Option<Arc<str>> {
    let table = node.job_table();
    let job = table.get(task.job)?;
    let submission = job.submission.as_ref()?;
    let is_finished = submission.has_no_spec() || job.state()?.is_final();
    (!is_finished).then(|| submission.spec.payload.as_str().into())
}

fn start_call(start: DelegatedStart, payload: Arc<str>) -> (WorkerTarget, StartCall) {
    let target = WorkerTarget { id: start.worker, address: start.address };
    let call = StartCall {
        task: start.task,
        run: start.run,
        payload,
        lease_until_ms: start.lease_until_ms,
        fence: start.fence,
        checkpoint: start.checkpoint,
        permit: start.permit,
    };
    (target, call)
}

fn post(path: &str, body: Vec<u8>) -> HttpCall {
    let (path, headers) = (path.to_owned(), HeaderMap::new());
    HttpCall { method: Method::POST, path, headers, body: Bytes::from(body) }
}

/// Periodically offers this entry to the leader as an executor.
pub struct OfferLoop {
    /// Shared state of this entry.
    pub node: Arc<JobNode>,
    /// Transport to other entries.
    pub transport: HttpTransport,
    /// Time of the latest offer, in milliseconds.
    pub offered_ms: Option<u64>,
}

impl ControlLoop for OfferLoop {
    const NAME: &'static str = "offer";

    async fn step(&mut self) -> Duration {
        // An entry that can carry out starts offers often. For any other entry, the leader needs to
        // know only that it exists. An entry that the log does not answer learns from the answer to
        // its offer whether the leader can store records for it.
        let interval_ms = match (self.node.is_log_silent(), self.node.is_replica()) {
            (true, _) => LOG_UNREACHABLE_OFFER_INTERVAL_MS,
            (false, true) => OFFER_INTERVAL_MS,
            (false, false) => offer_interval_ms(self.node.replicas().entries),
        };
        let now = self.node.now();
        if self.offered_ms.is_some_and(|offered_ms| now < offered_ms + interval_ms) {
            return OFFER_CHECK_INTERVAL;
        }
        self.offered_ms = Some(now);
        if let Some(leader) = self.node.leader().filter(|_| self.node.may_offer()) {
            let body = postcard::to_stdvec(&self.node.offer()).unwrap_or_default();
            let patience = OFFER_TIMEOUT + self.transport.round_trip(leader);
            let answer = self.transport.exchange(leader, post(OFFER_PATH, body), patience).await;
            // A failure needs no handling: the next offer follows anyway, and the leader is
            // determined elsewhere.
            if let Ok(answer) = answer
                && answer.status == StatusCode::OK
            {
                self.node.record_store();
                self.node.receive_line(&answer.body);
            }
        }
        OFFER_CHECK_INTERVAL
    }
}

/// Records another entry's offer. Returns false if it is malformed, or if this entry is not the
/// leader or cannot store records for others at present.
pub fn take_offer(node: &JobNode, body: &[u8]) -> bool {
    let Ok(offer) = postcard::from_bytes::<ExecutorOffer>(body) else { return false };
    let is_leader = node.with_scheduler(|scheduler| !scheduler.is_deposed()).unwrap_or(false);
    if is_leader {
        node.planner().record_offer(&offer, node.now());
        if offer.has_replica {
            node.executors().record_offer(offer, node.now());
            node.executor_freed.notify_waiters();
        }
    }
    is_leader && !node.is_log_silent()
}
