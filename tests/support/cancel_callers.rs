//! Callers of the site: their submissions and cancellations, and the way of both to the log.

use std::collections::BTreeSet;
use std::sync::Arc;

use bytes::Bytes;
use ibisweir::decide::access::OrganisationDigest;
use ibisweir::jobs::follower::{TailStep, fold_step};
use ibisweir::jobs::model::{JobId, StepSpec};
use ibisweir::jobs::record::JobRecord;
use ibisweir::jobs::relay::KnownJob;
use tokio::sync::oneshot;

use super::cancel_site::{CancelSite, EntryLife, HOP_MS};
use super::fixtures::{job, job_id, submission};

/// Word for a record that cancels.
const CANCELLATION: &str = "cancellation";
/// Time for which a caller waits.
const SUBMIT_PATIENCE_MS: u64 = 1_500;
/// Time for the leader to take a batch, and to store it.
const TAKEN_PATIENCE_MS: u64 = 900;
const STORE_PATIENCE_MS: u64 = 2_500;
/// Time to read the log to its end for a caller.
const CATCH_UP_MS: u64 = 800;

/// A record that the leader has taken for an entry.
pub struct TakenRecord {
    stored: oneshot::Receiver<Bytes>,
    request: StoreRequest,
}

/// A caller's record on its way to the log.
#[derive(Clone)]
pub struct StoreRequest {
    number: u64,
    from: EntryLife,
    record: JobRecord,
    due_ms: u64,
}

/// Callers' records, by number.
#[derive(Debug, Default)]
pub struct StoreRequests {
    count: u64,
    /// Their entry knows that they are on the log.
    stored: BTreeSet<u64>,
    /// A leader has taken them.
    taken: BTreeSet<u64>,
    /// Their entry has sent an append of its own.
    appended: BTreeSet<u64>,
}

impl CancelSite {
    /// A caller hands a job in: `CallerService::submit`.
    pub fn submit(&mut self, entry: usize, number: u64, steps: Vec<StepSpec>) {
        let (id, incarnation) = (job_id(number), self.incarnation(entry));
        self.tell(id, format!("handed to entry {entry}"));
        self.at_entry(0, incarnation, move |site| {
            if KnownJob::find(&site.node(incarnation), id).is_some() {
                return;
            }
            site.tell(id, format!("taken by entry {entry}"));
            let record = JobRecord::Submitted(id, Arc::new(submission(job(steps))));
            site.store(incarnation, record);
        });
    }

    /// A caller cancels a job: `CallerService::cancel`.
    pub fn cancel(&mut self, entry: usize, id: JobId) {
        let incarnation = self.incarnation(entry);
        self.at_entry(0, incarnation, move |site| {
            site.tell(id, format!("cancelled at entry {entry}"));
            if !site.cancel_known(incarnation, id) {
                site.catch_up(incarnation, id);
            }
        });
    }

    /// Cancels a job that the entry knows; false if it doesn't.
    fn cancel_known(&mut self, incarnation: EntryLife, id: JobId) -> bool {
        let Some(known) = KnownJob::find(&self.node(incarnation), id) else { return false };
        match known.state.is_final() {
            true => self.acknowledge(id, incarnation, "it is over"),
            false => self.store(incarnation, JobRecord::Cancelled(id)),
        }
        true
    }

    /// Reads the log to its end for a caller: `CatchUpReader::read_to_end`.
    fn catch_up(&mut self, incarnation: EntryLife, id: JobId) {
        if !self.entries[incarnation.0].reaches_log {
            return;
        }
        let from = self.node(incarnation).applied_offset();
        let Some(batch) = self.log.read(from) else { return };
        let reads_ms = self.entries[incarnation.0].reads_ms.clone();
        let ms = self.draw(&reads_ms).min(CATCH_UP_MS);
        if ms == CATCH_UP_MS {
            return;
        }
        self.at_entry(ms, incarnation, move |site| {
            fold_step(&site.node(incarnation), TailStep::Records(batch.records), batch.next);
            if !site.cancel_known(incarnation, id) {
                let mark = OrganisationDigest::of(None);
                let record = match site.needs_keys {
                    true => JobRecord::CancelledBy(id, mark),
                    false => JobRecord::Cancelled(id),
                };
                site.store(incarnation, record);
            }
        });
    }

    fn acknowledge(&mut self, id: JobId, incarnation: EntryLife, how: &str) {
        self.tell(id, format!("cancellation acknowledged by entry {}: {how}", incarnation.0));
        let now = self.now;
        self.jobs.entry(id).or_default().acknowledged_ms.get_or_insert(now);
    }

    /// Puts a record on the log: `Submitter::run` and `RelayClient::store`.
    fn store(&mut self, from: EntryLife, record: JobRecord) {
        self.requests.count += 1;
        let number = self.requests.count;
        let request = StoreRequest { number, from, record, due_ms: self.now + SUBMIT_PATIENCE_MS };
        if self.take(from, &request) {
            let ms = STORE_PATIENCE_MS;
            self.at_entry(ms, from, move |site| site.append(request));
            return;
        }
        let leader = self.entries[from.0].leader.filter(|leader| *leader != from.0);
        let Some(leader) = leader.filter(|_| self.entries[from.0].reaches_leader) else {
            self.append(request);
            return;
        };
        let relay_ms = self.delays.relay_ms.clone();
        let (ms, to) = (self.draw(&relay_ms), self.incarnation(leader));
        let (relayed, late) = (request.clone(), request.clone());
        self.at_entry(ms, to, move |site| {
            if !site.take(to, &relayed) {
                site.at_entry(HOP_MS, from, move |site| site.append(relayed));
            }
        });
        self.at_entry(TAKEN_PATIENCE_MS, from, move |site| {
            if !site.requests.taken.contains(&late.number) {
                site.append(late);
            }
        });
        self.at_entry(STORE_PATIENCE_MS, from, move |site| site.append(request));
    }

    /// A leader takes a record: `JobNode::relay`.
    fn take(&mut self, leader: EntryLife, request: &StoreRequest) -> bool {
        let Some(stored) = self.node(leader).relay(vec![request.record.clone()]) else {
            return false;
        };
        self.tell(job_of(&request.record), format!("{} relayed", word(&request.record)));
        self.requests.taken.insert(request.number);
        self.entries[leader.0].taken.push(TakenRecord { stored, request: request.clone() });
        true
    }

    /// Answers those whose records the leader has stored, or can't store any more.
    pub fn answer_taken(&mut self, leader: EntryLife) {
        for mut taken in std::mem::take(&mut self.entries[leader.0].taken) {
            let request = taken.request.clone();
            match taken.stored.try_recv() {
                Ok(_) => {
                    self.at_entry(HOP_MS, request.from, move |site| site.finish(&request, 0));
                }
                Err(oneshot::error::TryRecvError::Closed) => {
                    self.at_entry(HOP_MS, request.from, move |site| site.append(request));
                }
                Err(oneshot::error::TryRecvError::Empty) => {
                    self.entries[leader.0].taken.push(taken);
                }
            }
        }
    }

    /// Appends a record for a caller: `Submitter::append`.
    fn append(&mut self, request: StoreRequest) {
        if self.requests.stored.contains(&request.number)
            || self.requests.appended.contains(&request.number)
        {
            return;
        }
        let from = request.from;
        if !self.entries[from.0].reaches_log {
            if self.now < request.due_ms {
                self.at_entry(60, from, move |site| site.append(request));
            }
            return;
        }
        self.requests.appended.insert(request.number);
        let appends_ms = self.entries[from.0].appends_ms.clone();
        let ms = self.draw(&appends_ms);
        self.later(ms, move |site| {
            let Some(keyed) = request.record.encode() else { return };
            let offset = site.log.append(vec![keyed]);
            let text = format!("{} appended at {offset}", word(&request.record));
            site.tell(job_of(&request.record), text);
            site.at_entry(HOP_MS, from, move |site| site.finish(&request, offset));
        });
    }

    /// A record is on the log: `Submitter::finish`.
    fn finish(&mut self, request: &StoreRequest, offset: u64) {
        let is_first = self.requests.stored.insert(request.number);
        self.node(request.from).fold(&[(offset, request.record.clone())]);
        let is_cancellation = word(&request.record) == CANCELLATION;
        if is_first && is_cancellation && self.now <= request.due_ms {
            self.acknowledge(job_of(&request.record), request.from, "stored");
        }
    }
}

fn job_of(record: &JobRecord) -> JobId {
    match record {
        JobRecord::Submitted(id, _)
        | JobRecord::Cancelled(id)
        | JobRecord::CancelledBy(id, _)
        | JobRecord::Progress(id, _)
        | JobRecord::Dropped(id)
        | JobRecord::TombstoneDropped(id, _) => *id,
        JobRecord::Wave(..) | JobRecord::Losses(..) | JobRecord::Learned(..) => job_id(0),
    }
}

fn word(record: &JobRecord) -> &'static str {
    match record {
        JobRecord::Submitted(..) => "submission",
        JobRecord::Cancelled(_) | JobRecord::CancelledBy(..) => CANCELLATION,
        _ => "record",
    }
}
