//! Control loop for leader election.
//!
//! Follows the leadership stream, claims the leadership when no entry holds it, and renews it while
//! this entry leads.

use std::pin::pin;
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

/// Largest timeout of an append; a slow log takes 300 ms.
pub const APPEND_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay after a failed read or append.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Pause between two reads of an entry without a replica of the job log. It can't lead, and without
/// the pause every renewal of the leader would wake it.
const NON_REPLICA_PAUSE: Duration = Duration::from_millis(900);
/// Shortest and longest wait of one read for new records.
const READ_WAIT_MIN: Duration = Duration::from_millis(20);
const READ_WAIT_MAX: Duration = Duration::from_millis(1_000);

/// Follows the leadership, and holds it once this entry is elected.
pub struct LeadershipLoop<L, W, V, P> {
    /// State shared by the loops of this entry.
    pub node: Arc<JobNode>,
    /// Clients that a leader needs.
    pub parts: ConductorParts<L, W, V, P>,
    /// Identity of this incarnation of the process.
    pub own: HolderId,
    /// State of the stream, as far as it was read.
    pub view: LeadershipView,
    /// The running leader, while this entry leads.
    pub conductor: Option<Conductor>,
    /// Whether a claim or renewal was not answered: it may still be stored.
    pub is_in_doubt: bool,
    /// Estimates the timeout of an append.
    pub append_timeout: TimeoutEstimator,
    /// A claim of this entry that was not answered.
    pub pending: Option<PendingClaim>,
    /// The newest term that this entry has resigned from, also if the log did not answer.
    pub resigned_term: u64,
}

/// A claim that may be on the stream, or may still be stored there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingClaim {
    /// The previous leader at the time of the claim.
    pub predecessor: Option<PreviousLeader>,
    /// The newest term at that time.
    pub term: u64,
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
            && self.view.term > pending.term
        {
            return self.resume_claim(pending).await;
        }
        let now = self.node.now();
        let is_closed = self.node.is_leader_closed();
        // A term of this entry whose conductor has ended by itself leaves no leader to wait for. After one that it
        // resigned from, others go first.
        let is_own = self.view.is_held_by(&self.own) && self.view.term > self.resigned_term;
        let claim_in = match is_own {
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

    /// Passes on which entries keep a replica of the job log, and whether this one does.
    fn record_replicas(&self) {
        let (address, now) = (self.node.settings.peer, self.node.now());
        // Without a successful read the entry can't know, so the current state stays.
        let is_replica = self.conductor.is_some()
            || self.view.has_contact() && self.view.is_replica(&self.own, address, now)
            || !self.view.has_contact() && self.node.is_replica();
        self.node.set_replicas(&self.view.replicas, is_replica);
        self.node.set_append_ms(self.view.append_ms, self.view.seen_ms);
    }

    /// Reads new records of the stream; false if the log can't be read.
    async fn read(&mut self, wait: Duration) -> bool {
        let sent_ms = self.node.now();
        let outcome = self.parts.log.read(LogTopic::Leadership, self.view.end, wait).await;
        self.apply_read(outcome, sent_ms)
    }

    /// Applies the outcome of a read that was sent at `sent_ms`; false if the log can't be read.
    fn apply_read(&mut self, outcome: ReadOutcome, sent_ms: u64) -> bool {
        let now = self.node.now();
        match outcome {
            ReadOutcome::Read(batch) => {
                self.node.record_log_answer();
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
                    warn!(self.node.logger, "leadership can't be read"; "outcome" => ?outcome,
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
                    info!(self.node.logger, "leadership record"; "act" => ?record.act,
                        "holder" => &*record.holder, "offset" => offset);
                }
                self.view.apply(offset, &record, now);
            }
            None => {
                warn!(self.node.logger, "leadership record can't be decoded"; "offset" => offset);
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
        // The way takes no time of the log.
        let own_time = |time: Duration| time.saturating_sub(self.parts.log.round_trip());
        let append_ms = self
            .append_timeout
            .response_time()
            .map_or(0, |time| crate::clock::millis(own_time(time)));
        LeadershipRecord {
            replicas,
            append_ms,
            act,
            holder: self.own.name.clone(),
            incarnation: self.own.incarnation,
            address: self.node.settings.peer,
        }
    }

    /// An append at the end of the stream, as far as it was read; `None` if the record can't be encoded.
    fn append_call(&self, act: LeadershipAct) -> Option<AppendCall> {
        let value = postcard::to_stdvec(&self.build_record(act)).ok()?;
        Some(AppendCall {
            topic: LogTopic::Leadership,
            records: vec![KeyedRecord { key: String::new(), value }],
            expected_end: Some(self.view.end),
            stamp: None,
        })
    }

    async fn append(&mut self, act: LeadershipAct) -> AppendOutcome {
        let Some(call) = self.append_call(act) else { return AppendOutcome::Refused };
        let started = Instant::now();
        let append_timeout = self.append_timeout.timeout_over(self.parts.log.round_trip());
        let outcome = self.parts.log.append(&call, append_timeout).await;
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
            // Another entry was faster; its record says which.
            AppendOutcome::EndMoved { .. } => {
                if self.read(Duration::ZERO).await {
                    Duration::ZERO
                } else {
                    RETRY_DELAY
                }
            }
            // If the claim was stored nevertheless, a later read finds it.
            AppendOutcome::Unknown => {
                self.is_in_doubt = true;
                self.pending = Some(PendingClaim { predecessor, term: self.view.term });
                RETRY_DELAY
            }
            _ => {
                self.view.record_read_failure();
                RETRY_DELAY
            }
        }
    }

    /// Starts to lead by a claim whose answer was lost, if it is still the newest record.
    ///
    /// Ignored, the claim would keep every entry from leading until its renewal timeout. Others may
    /// have read it long ago, and one of them may be claiming by now. So this entry appends a
    /// renewal first, and leads only if the stream still ended with its own record.
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

    /// Starts to lead. The append that confirmed the leadership was sent at `sent_ms`.
    fn start_leading(&mut self, predecessor: Option<PreviousLeader>, sent_ms: u64) {
        self.pending = None;
        self.is_in_doubt = false;
        self.node.set_leader(None);
        *self.node.planner() = ReplicaPlanner::resume(self.view.replicas.clone(), self.node.now());
        info!(self.node.logger, "started leading"; "term" => self.view.term);
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
            if self.close_vm_commands(true) {
                return READ_WAIT_MIN;
            }
            self.resign("stopping").await;
            return READ_WAIT_MAX;
        }
        let has_fitter_entry = self.has_fitter_entry();
        let is_commanding = self.close_vm_commands(has_fitter_entry);
        // With a renewal in doubt the stream may end later than was read.
        if has_fitter_entry && !is_commanding && !self.view.has_unanswered() {
            self.resign("a fitter entry is there").await;
            return Duration::ZERO;
        }
        if self.view.has_unanswered() {
            return self.renew_in_doubt().await;
        }
        let sent_ms = self.node.now();
        let outcome = self.append(LeadershipAct::Renew).await;
        self.log_renewal(outcome, sent_ms);
        match outcome {
            AppendOutcome::Done { end, .. } => self.record_renewal(end, sent_ms),
            AppendOutcome::EndMoved { .. } => self.resolve_renewal().await,
            AppendOutcome::Unknown => {
                self.view.record_unanswered(sent_ms);
                READ_WAIT_MIN
            }
            _ => RETRY_DELAY,
        }
    }

    /// Whether an entry that is better suited to lead is there. An unfit leader begins a fraction of the tasks that
    /// wait, and would keep the leadership for as long as its process lasts.
    fn has_fitter_entry(&self) -> bool {
        let now = self.node.now();
        self.own.delay_ms > 0 && self.node.executors().has_fitter_entry(self.own.delay_ms, now)
    }

    /// Lets no further command to a VM be sent if this entry is about to resign, and returns whether one is under way. A
    /// successor sends commands to the same VMs as soon as it has read the resignation.
    fn close_vm_commands(&self, is_closing: bool) -> bool {
        self.conductor.as_ref().is_some_and(|conductor| conductor.close_vm_commands(is_closing))
    }

    /// Stops leading and lets others claim at once. No command may be sent once the resignation can be read.
    async fn resign(&mut self, cause: &'static str) {
        self.step_down(cause);
        self.resigned_term = self.view.term;
        let outcome = self.append(LeadershipAct::Resign).await;
        info!(self.node.logger, "resigned"; "outcome" => ?outcome);
        if let AppendOutcome::Done { .. } = outcome {
            let record = self.build_record(LeadershipAct::Resign);
            self.view.apply(self.view.end, &record, self.node.now());
        }
    }

    fn log_renewal(&self, outcome: AppendOutcome, sent_ms: u64) {
        if !matches!(outcome, AppendOutcome::Done { .. }) {
            info!(self.node.logger, "leadership renewal not confirmed";
                "outcome" => ?outcome, "took_ms" => self.node.now().saturating_sub(sent_ms));
        }
    }

    /// Records that a renewal sent at `sent_ms` was stored. Returns the pause before the next one.
    fn record_renewal(&mut self, end: u64, sent_ms: u64) -> Duration {
        self.view.record_renewal(end, self.node.now());
        self.view.replicas = self.node.planner().list().clone();
        self.record_replicas();
        self.confirm(sent_ms);
        let elapsed_ms = self.node.now().saturating_sub(sent_ms);
        Duration::from_millis(RENEWAL_INTERVAL_MS.saturating_sub(elapsed_ms))
    }

    /// Renews after a renewal that had no answer, and reads whether that one was stored.
    ///
    /// Both at once: on a long path, one after the other would take longer than a leader may act, and
    /// others wait, without a renewal. The log stores only one of the two renewals, as both name the
    /// same end.
    async fn renew_in_doubt(&mut self) -> Duration {
        let Some(call) = self.append_call(LeadershipAct::Renew) else { return RETRY_DELAY };
        let (log, end, sent_ms) = (self.parts.log.clone(), self.view.end, self.node.now());
        let started = Instant::now();
        let append_timeout = self.append_timeout.timeout_over(log.round_trip());
        let mut appending = pin!(log.append(&call, append_timeout));
        let mut reading = pin!(log.read(LogTopic::Leadership, end, Duration::ZERO));
        let mut read_outcome = None;
        let outcome = loop {
            tokio::select! {
                outcome = &mut appending => break outcome,
                outcome = &mut reading, if read_outcome.is_none() => read_outcome = Some(outcome),
            }
        };
        self.append_timeout.record_outcome(outcome, started.elapsed());
        self.log_renewal(outcome, sent_ms);
        if let AppendOutcome::Done { end, .. } = outcome {
            return self.record_renewal(end, sent_ms);
        }
        let read_outcome = match read_outcome {
            Some(read_outcome) => read_outcome,
            None => reading.await,
        };
        if !self.apply_read(read_outcome, sent_ms) {
            return RETRY_DELAY;
        }
        match outcome {
            // The renewal in doubt was stored after the read.
            AppendOutcome::EndMoved { .. } if self.view.end == end => self.resolve_renewal().await,
            _ => self.resolve_read(end).await,
        }
    }

    /// Reads the stream to find out whether a renewal was stored.
    async fn resolve_renewal(&mut self) -> Duration {
        let end = self.view.end;
        match self.read(Duration::ZERO).await {
            true => self.resolve_read(end).await,
            false => RETRY_DELAY,
        }
    }

    /// Confirms the leadership if a read from `end` has found a renewal in doubt, or ends it if
    /// another entry leads.
    async fn resolve_read(&mut self, end: u64) -> Duration {
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
        self.node.record_log_answer();
        if let Some(conductor) = &self.conductor {
            conductor.confirm(sent_ms);
        }
    }

    fn step_down(&mut self, cause: &'static str) {
        info!(self.node.logger, "stopped leading"; "term" => self.view.term, "cause" => cause);
        if let Some(conductor) = self.conductor.take() {
            conductor.stop();
        }
        self.node.set_scheduler(None);
    }
}
