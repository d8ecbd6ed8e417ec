//! Who leads, by conditional appends to one stream of the log.
//!
//! The stream holds claims, renewals and resignations. Each is appended only if the stream still
//! ends where the writer read it to end, so there is one order and one winner of every race. The
//! term of a leader is the offset of its claim plus one: it rises with every leader, and is the root
//! of every fencing token.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::decide::replica::{ReplicaList, unlisted_replica_after_ms};

/// Time without a renewal after which others may claim, in milliseconds: three renewals, and room
/// for a log that takes 300 ms to answer.
pub const RENEWAL_TIMEOUT_MS: u64 = 1_400;
/// The same where an entry has found the holder's address closed: its process has ended, and only a
/// renewal or two that are under way are waited for.
pub const CLOSED_RENEWAL_TIMEOUT_MS: u64 = 800;
/// Processor, in thousandths of a core, and link, in Mbit/s, from which a VM is fit to lead at any size:
/// placing the jobs of 350 workers takes a tenth of a core, and its log traffic a few Mbit/s.
const FIT_PROCESSOR: u64 = 250;
const FIT_LINK: u64 = 40;
/// Time by which a VM that is less fit claims later, for each of the two, in milliseconds: a fit one is
/// then first, and where there is none the leadership still does not stay free.
const UNFIT_DELAY_MS: u64 = 500;

/// Time by which a VM with this processor and link holds its claims back, in milliseconds.
pub fn claim_delay_ms(processor: u64, link: u64) -> u64 {
    let weaknesses = u64::from(processor < FIT_PROCESSOR) + u64::from(link < FIT_LINK);
    weaknesses * UNFIT_DELAY_MS
}

/// What records of earlier versions lack: an empty list of copies, and no time.
const MISSING_FIELDS: [u8; 3] = [0, 0, 0];

/// Time between two renewals, in milliseconds.
pub const RENEWAL_INTERVAL_MS: u64 = 450;

/// What a record of the stream says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeadershipAct {
    /// The holder leads from here on.
    Claim,
    /// The holder still leads.
    Renew,
    /// The holder has stopped leading.
    Resign,
}

/// One record of the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeadershipRecord {
    /// What it says.
    pub act: LeadershipAct,
    /// Name of the holder.
    pub holder: Arc<str>,
    /// Drawn at the start of the holder's process: a restarted one is another holder.
    pub incarnation: u64,
    /// Where other entries reach the holder.
    pub address: SocketAddr,
    /// Who keeps a copy of the job log.
    pub replicas: ReplicaList,
    /// Time that the log takes for an append of the holder's, in milliseconds.
    pub append_ms: u64,
}

impl LeadershipRecord {
    /// Reads a record; nothing if it is malformed. Leaders of earlier versions list no copies.
    pub fn decode(value: &[u8]) -> Option<LeadershipRecord> {
        let read = |value: &[u8]| postcard::from_bytes(value).ok();
        read(value).or_else(|| read(&[value, &MISSING_FIELDS].concat()))
    }
}

/// One life of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderId {
    /// Name of its VM.
    pub name: Arc<str>,
    /// Drawn at its start.
    pub incarnation: u64,
    /// Time by which it holds its claims back, in milliseconds.
    pub delay_ms: u64,
}

/// What a new leader knows of the end of the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PredecessorEnd {
    /// Nothing: it may only be cut off.
    Unknown,
    /// It resigned, with no command to a VM under way.
    Resigned,
    /// It was an earlier process of the same entry, which ended before this one began.
    Restarted,
}

/// The leader before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PreviousLeader {
    /// When it was last seen, in milliseconds.
    pub seen_ms: u64,
    /// How it ended.
    pub end: PredecessorEnd,
}

/// What a process knows of the stream.
#[derive(Clone, Debug, Default)]
pub struct LeadershipView {
    /// Where the stream ends, as far as it was read.
    pub end: u64,
    /// Term of the newest claim; 0 before any.
    pub term: u64,
    /// Who made it.
    pub holder: Option<(Arc<str>, u64)>,
    /// Where it is reached.
    pub address: Option<SocketAddr>,
    /// Who keeps a copy of the job log, by its newest record.
    pub replicas: ReplicaList,
    /// Time that the log takes for an append, by the same, in milliseconds.
    pub append_ms: u64,
    /// Whether it has resigned.
    pub has_resigned: bool,
    /// When the newest record was read, in milliseconds.
    pub seen_ms: Option<u64>,
    /// Since when reads have been answered without a gap, in milliseconds.
    readable_since_ms: Option<u64>,
    /// When the first of our renewals at this end that had no answer was sent, in milliseconds.
    unanswered_ms: Option<u64>,
}

impl LeadershipView {
    /// Takes the record at `offset`.
    pub fn apply(&mut self, offset: u64, record: &LeadershipRecord, now: u64) {
        self.end = self.end.max(offset + 1);
        self.seen_ms = Some(now);
        self.address = (record.act != LeadershipAct::Resign).then_some(record.address);
        self.replicas = record.replicas.clone();
        self.append_ms = record.append_ms;
        match record.act {
            LeadershipAct::Claim => {
                self.term = offset + 1;
                self.holder = Some((record.holder.clone(), record.incarnation));
                self.has_resigned = false;
                self.unanswered_ms = None;
            }
            LeadershipAct::Renew => {
                // A reader that has missed the claim still learns who leads.
                if self.holder.is_none() {
                    self.holder = Some((record.holder.clone(), record.incarnation));
                }
            }
            LeadershipAct::Resign => self.has_resigned = true,
        }
    }

    /// A renewal of our own was appended, so that the stream ends at `end`. A leader that reads none of its
    /// renewals would take its term for one that ended soon after its claim, if it had to follow itself, and
    /// the leases that it gave since for over.
    pub fn record_renewal(&mut self, end: u64, now: u64) {
        self.end = end;
        self.seen_ms = Some(now);
        self.unanswered_ms = None;
    }

    /// A renewal of our own that was sent at `sent_ms` had no answer: it may be on the stream, or may be yet.
    pub fn record_unanswered(&mut self, sent_ms: u64) {
        self.unanswered_ms.get_or_insert(sent_ms);
    }

    /// Our renewal was found on the stream: when it was sent at the earliest, in milliseconds. Later tries
    /// named the same end, and others may have read the first one and counted our silence from it.
    pub fn take_unanswered(&mut self) -> Option<u64> {
        self.unanswered_ms.take()
    }

    /// The records before `first` were dropped before they were read: a claim may be among them, so nobody is known to
    /// lead until the next record.
    pub fn skip_to(&mut self, first: u64, now: u64) {
        self.end = self.end.max(first);
        self.seen_ms = Some(now);
        self.holder = None;
        self.has_resigned = false;
        self.unanswered_ms = None;
    }

    /// The stream was read to its end.
    pub fn record_read(&mut self, end: u64, now: u64) {
        self.end = self.end.max(end);
        self.readable_since_ms.get_or_insert(now);
    }

    /// Whether the last read was answered.
    pub fn has_contact(&self) -> bool {
        self.readable_since_ms.is_some()
    }

    /// A read failed: a renewal may have been missed since.
    pub fn record_read_failure(&mut self) {
        self.readable_since_ms = None;
    }

    /// Time until a claim is allowed, in milliseconds; nothing without contact. Silence counts only
    /// while the log could be read: after its outage the leader gets the time to renew. `is_closed`
    /// says that the holder's address was found closed.
    ///
    /// A claim that comes too early costs a change of leaders and is never unsafe: the term fences
    /// the leader before.
    pub fn claim_in_ms(&self, own: &HolderId, is_closed: bool, now: u64) -> Option<u64> {
        let readable_since = self.readable_since_ms?;
        let Some(seen) = self.seen_ms else {
            return Some((readable_since + own.delay_ms).saturating_sub(now));
        };
        if self.is_earlier_incarnation(own) {
            return Some(0);
        }
        let silent_since = seen.max(readable_since);
        if self.has_resigned {
            return Some((silent_since + own.delay_ms).saturating_sub(now));
        }
        let timeout = if is_closed { CLOSED_RENEWAL_TIMEOUT_MS } else { RENEWAL_TIMEOUT_MS };
        Some((silent_since + timeout + own.delay_ms).saturating_sub(now))
    }

    /// Whether the entry at `address` keeps a copy of the job log. Before any record was read to tell who does, the
    /// log is new, and empty.
    pub fn is_replica(&self, own: &HolderId, address: SocketAddr, now: u64) -> bool {
        let Some(seen) = self.seen_ms else { return true };
        if self.replicas.is_empty() && self.holder.is_some() || self.replicas.contains(address) {
            return true;
        }
        let silent_since = self.readable_since_ms.map(|readable_since| readable_since.max(seen));
        let after =
            RENEWAL_TIMEOUT_MS + unlisted_replica_after_ms(self.replicas.entries, own.incarnation);
        silent_since.is_some_and(|since| now >= since + after)
    }

    /// Whether an earlier life of this process leads: it has ended, or this one would not run.
    fn is_earlier_incarnation(&self, own: &HolderId) -> bool {
        self.holder
            .as_ref()
            .is_some_and(|(name, incarnation)| *name == own.name && *incarnation != own.incarnation)
    }

    /// What `own` knows of the leader before it; nothing if it saw none.
    pub fn predecessor(&self, own: &HolderId) -> Option<PreviousLeader> {
        let end = match (self.has_resigned, self.is_earlier_incarnation(own)) {
            (true, _) => PredecessorEnd::Resigned,
            (false, true) => PredecessorEnd::Restarted,
            (false, false) => PredecessorEnd::Unknown,
        };
        self.seen_ms.map(|seen_ms| PreviousLeader { seen_ms, end })
    }

    /// Whether this process made the newest claim.
    pub fn is_held_by(&self, own: &HolderId) -> bool {
        !self.has_resigned
            && self.holder.as_ref().is_some_and(|(name, incarnation)| {
                *name == own.name && *incarnation == own.incarnation
            })
    }
}
