//! Follows who leads, claims when nobody does, and renews while this entry leads.

use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use tokio::time::{Instant, sleep};

use crate::control::ControlLoop;
use crate::decide::leadership::{
    HolderId, LeadershipAct, LeadershipRecord, LeadershipView, PreviousLeader, RENEWAL_INTERVAL_MS,
};
use crate::decide::replica::ReplicaPlanner;
use crate::jobs::conductor::{Conductor, ConductorParts, LeaderTerm};
use crate::jobs::node::JobNode;
use crate::jobs::ports::{
    AppendCall, AppendOutcome, JobLog, LogTopic, PermitClient, ReadOutcome, VmClient, WorkerClient,
};
use crate::jobs::record::KeyedRecord;
use crate::jobs::timeout_estimator::TimeoutEstimator;

/// Longest time for an append to be answered; a slow log takes 300 ms.
pub const APPEND_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause after a read or an append that failed.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Pause of an entry without a copy of the job log between two reads: it can't lead, and every renewal would wake it.
const NON_REPLICA_PAUSE: Duration = Duration::from_millis(900);
/// Shortest and longest wait of one read.
const READ_WAIT_MIN: Duration = Duration::from_millis(20);
const READ_WAIT_MAX: Duration = Duration::from_millis(1_000);

/// Follows and holds the leadership.
pub struct LeadershipLoop<L, W, V, P> {
    /// Shared state.
    pub node: Arc<JobNode>,
    /// What a leader works with.
    pub parts: ConductorParts<L, W, V, P>,
    /// This life of the process.
    pub own: HolderId,
    /// What is known of the stream.
    pub view: LeadershipView,
    /// Running while this entry leads.
    pub conductor: Option<Conductor>,
    /// Whether a claim or renewal had no answer: it may be done yet.
    pub is_in_doubt: bool,
    /// How long to wait for an append.
    pub append_timeout: TimeoutEstimator,
    /// A claim of ours that had no answer.
    pub pending: Option<PendingClaim>,
}

/// A claim that may be on the stream, or may be yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingClaim {
    /// The leader before.
    pub predecessor: Option<PreviousLeader>,
}

impl<L, W, V, P> ControlLoop for LeadershipLoop<L, W, V, P>
where
    L: JobLog,
    W: WorkerClient,
    V: VmClient,
    P: PermitClient,
{
    const NAME: &'static str = "leadership";

    async fn step(&mut self) -> Duration {
        if self.conductor.is_some() { self.lead().await } else { self.follow().await }
    }
}

impl<L, W, V, P> LeadershipLoop<L, W, V, P>
where
    L: JobLog,
    W: WorkerClient,
    V: VmClient,
    P: PermitClient,
{
    async fn follow(&mut self) -> Duration {
        if self.node.is_stopping() {
            return READ_WAIT_MAX;
        }
        if let Some(pending) = self.pending
            && self.view.is_held_by(&self.own)
        {
            return self.resume_claim(pending).await;
        }
        let now = self.node.now();
        let is_closed = self.node.leader_is_closed();
        // A term of our own that has ended in itself leaves nobody to wait for.
        let claim_in = match self.view.is_held_by(&self.own) {
            true => Some(0),
            false => self.view.claim_in_ms(&self.own, is_closed, now),
        };
        if claim_in == Some(0) && !self.is_in_doubt && self.node.may_lead() {
            return self.claim().await;
        }
        let wait = claim_in.map_or(Duration::ZERO, |wait_ms| match self.node.may_lead() {
            true => Duration::from_millis(wait_ms).clamp(READ_WAIT_MIN, READ_WAIT_MAX),
            false => READ_WAIT_MAX,
        });
        let is_read = self.read(wait).await;
        self.record_replicas();
        let is_remote = !self.node.is_replica() && !self.view.replicas.is_empty();
        match (is_read, is_remote) {
            (false, _) => RETRY_DELAY,
            (true, false) => Duration::ZERO,
            (true, true) => NON_REPLICA_PAUSE,
        }
    }

    /// Notes who keeps a copy of the job log, and whether this entry does.
    fn record_replicas(&self) {
        let (address, now) = (self.node.settings.peer, self.node.now());
        // An entry that has read nothing yet can't tell.
        let is_replica = self.conductor.is_some()
            || self.view.has_contact() && self.view.is_replica(&self.own, address, now)
            || !self.view.has_contact() && self.node.is_replica();
        self.node.set_replicas(&self.view.replicas, is_replica);
        self.node.set_append_ms(self.view.append_ms, self.view.seen_ms);
    }

    /// Reads what was appended; false if the log can't be read.
    async fn read(&mut self, wait: Duration) -> bool {
        let sent_ms = self.node.now();
        let outcome = self.parts.log.read(LogTopic::Leadership, self.view.end, wait).await;
        let now = self.node.now();
        match outcome {
            ReadOutcome::Read(batch) => {
                self.node.touch();
                for (offset, record) in &batch.records {
                    self.apply_record(*offset, record, now);
                }
                self.node.set_leader(self.view.address);
                self.view.record_read(batch.next.max(self.view.end), now);
                if batch.records.is_empty() {
                    self.is_in_doubt = false;
                }
                true
            }
            ReadOutcome::Expired { first } => {
                self.view.skip_to(first, now);
                true
            }
            ReadOutcome::Refused | ReadOutcome::Unknown => {
                if self.view.has_contact() {
                    warn!(self.node.logger, "who leads can't be read"; "outcome" => ?outcome,
                        "took_ms" => now.saturating_sub(sent_ms));
                }
                self.view.record_read_failure();
                false
            }
        }
    }

    fn apply_record(&mut self, offset: u64, record: &KeyedRecord, now: u64) {
        match LeadershipRecord::decode(&record.value) {
            Some(record) => {
                if record.act != LeadershipAct::Renew {
                    info!(self.node.logger, "leadership"; "act" => ?record.act,
                        "holder" => &*record.holder, "offset" => offset);
                }
                self.view.apply(offset, &record, now);
            }
            None => {
                warn!(self.node.logger, "a leadership record can't be read"; "offset" => offset);
                self.view.end = self.view.end.max(offset + 1);
                self.view.seen_ms = Some(now);
            }
        }
    }

    fn build_record(&self, act: LeadershipAct) -> LeadershipRecord {
        let replicas = match act {
            LeadershipAct::Renew if self.conductor.is_some() => self.node.plan_replicas(),
            LeadershipAct::Claim => {
                let mut replicas = self.view.replicas.clone();
                replicas.add(&self.node.settings.centre, self.node.settings.peer);
                replicas
            }
            LeadershipAct::Renew | LeadershipAct::Resign => self.view.replicas.clone(),
        };
        let append_ms = self.append_timeout.response_time().map_or(0, crate::clock::millis);
        LeadershipRecord {
            replicas,
            append_ms,
            act,
            holder: self.own.name.clone(),
            incarnation: self.own.incarnation,
            address: self.node.settings.peer,
        }
    }

    async fn append(&mut self, act: LeadershipAct) -> AppendOutcome {
        let record = self.build_record(act);
        let Ok(value) = postcard::to_stdvec(&record) else { return AppendOutcome::Refused };
        let call = AppendCall {
            topic: LogTopic::Leadership,
            records: vec![KeyedRecord { key: String::new(), value }],
            expected_end: Some(self.view.end),
            stamp: None,
        };
        let started = Instant::now();
        let outcome = self.parts.log.append(&call, self.append_timeout.timeout()).await;
        self.append_timeout.record_outcome(outcome, started.elapsed());
        outcome
    }

    async fn claim(&mut self) -> Duration {
        let predecessor = self.view.predecessor(&self.own);
        let sent_ms = self.node.now();
        match self.append(LeadershipAct::Claim).await {
            AppendOutcome::Done { .. } => {
                let now = self.node.now();
                let record = self.build_record(LeadershipAct::Claim);
                self.view.apply(self.view.end, &record, now);
                self.start_leading(predecessor, sent_ms);
                Duration::from_millis(RENEWAL_INTERVAL_MS)
            }
            // Somebody was faster; what was appended tells who.
            AppendOutcome::EndMoved { .. } => {
                if self.read(Duration::ZERO).await {
                    Duration::ZERO
                } else {
                    RETRY_DELAY
                }
            }
            // A claim that is done all the same is found by reading on.
            AppendOutcome::Unknown => {
                self.is_in_doubt = true;
                self.pending = Some(PendingClaim { predecessor });
                RETRY_DELAY
            }
            _ => {
                self.view.record_read_failure();
                RETRY_DELAY
            }
        }
    }

    /// The newest claim is ours, and its answer was lost. Left alone it would keep everybody from
    /// leading until its silence is noticed.
    ///
    /// It may have been read by others long ago, and one of them may be claiming by now. So a renewal
    /// comes first: only if the stream still ends with ours do we begin.
    async fn resume_claim(&mut self, pending: PendingClaim) -> Duration {
        let sent_ms = self.node.now();
        match self.append(LeadershipAct::Renew).await {
            AppendOutcome::Done { end, .. } => {
                self.view.record_renewal(end, self.node.now());
                self.start_leading(pending.predecessor, sent_ms);
                Duration::from_millis(RENEWAL_INTERVAL_MS)
            }
            AppendOutcome::EndMoved { .. } | AppendOutcome::Unknown => {
                match self.read(Duration::ZERO).await {
                    true => Duration::ZERO,
                    false => RETRY_DELAY,
                }
            }
            _ => RETRY_DELAY,
        }
    }

    /// Begins to lead, by an append that was sent at `sent_ms`.
    fn start_leading(&mut self, predecessor: Option<PreviousLeader>, sent_ms: u64) {
        self.pending = None;
        self.is_in_doubt = false;
        self.node.set_leader(None);
        *self.node.planner() = ReplicaPlanner::resume(self.view.replicas.clone(), self.node.now());
        info!(self.node.logger, "leading"; "term" => self.view.term);
        self.node.metrics.takeovers.inc();
        let (node, parts) = (self.node.clone(), self.parts.clone());
        let term = LeaderTerm { number: self.view.term, predecessor, confirmed_ms: sent_ms };
        self.conductor = Some(Conductor::spawn(node, parts, term));
    }

    async fn lead(&mut self) -> Duration {
        let is_finished = self.conductor.as_ref().is_none_or(Conductor::is_finished);
        if is_finished {
            self.step_down("the conductor has ended");
            return Duration::ZERO;
        }
        if self.node.is_stopping() {
            // A successor commands the same VMs as soon as it has read the resignation.
            if self.conductor.as_ref().is_some_and(Conductor::is_commanding_vms) {
                return READ_WAIT_MIN;
            }
            // Nothing may be commanded once the resignation can be read.
            self.step_down("stopping");
            let outcome = self.append(LeadershipAct::Resign).await;
            info!(self.node.logger, "resigned"; "outcome" => ?outcome);
            return READ_WAIT_MAX;
        }
        let sent_ms = self.node.now();
        let outcome = self.append(LeadershipAct::Renew).await;
        if !matches!(outcome, AppendOutcome::Done { .. }) {
            info!(self.node.logger, "a renewal of the leadership is not confirmed";
                "outcome" => ?outcome, "took_ms" => self.node.now().saturating_sub(sent_ms));
        }
        match outcome {
            AppendOutcome::Done { end, .. } => {
                self.view.record_renewal(end, self.node.now());
                self.view.replicas = self.node.planner().list().clone();
                self.record_replicas();
                self.confirm(sent_ms);
                let elapsed_ms = self.node.now().saturating_sub(sent_ms);
                Duration::from_millis(RENEWAL_INTERVAL_MS.saturating_sub(elapsed_ms))
            }
            AppendOutcome::EndMoved { .. } => self.resolve_renewal().await,
            AppendOutcome::Unknown => {
                self.view.record_unanswered(sent_ms);
                self.resolve_renewal().await
            }
            _ => RETRY_DELAY,
        }
    }

    /// A renewal may have been done: the stream tells.
    async fn resolve_renewal(&mut self) -> Duration {
        let end = self.view.end;
        if !self.read(Duration::ZERO).await {
            return RETRY_DELAY;
        }
        if !self.view.is_held_by(&self.own) {
            self.step_down("another entry leads");
            return Duration::ZERO;
        }
        if self.view.end > end
            && let Some(sent_ms) = self.view.take_unanswered()
        {
            self.confirm(sent_ms);
        }
        sleep(READ_WAIT_MIN).await;
        Duration::ZERO
    }

    fn confirm(&mut self, sent_ms: u64) {
        self.node.touch();
        if let Some(conductor) = &self.conductor {
            conductor.confirm(sent_ms);
        }
    }

    fn step_down(&mut self, cause: &'static str) {
        info!(self.node.logger, "not leading any more"; "term" => self.view.term, "cause" => cause);
        if let Some(conductor) = self.conductor.take() {
            conductor.stop();
        }
        self.node.set_scheduler(None);
    }
}
