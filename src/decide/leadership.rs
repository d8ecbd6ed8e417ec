//! Leader election by conditional appends to one stream of the log.
//!
//! The stream holds claims, renewals and resignations. Each is appended only if the stream still
//! ends where the writer last read its end, so the records have one order and every race has one
//! winner. A leader's term is the offset of its claim plus one. It increases with every leader and
//! is the base of every fencing token.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::decide::replica::{ReplicaList, unlisted_replica_after_ms};

/// Time without a renewal after which others may claim, in milliseconds: three renewals, with a
/// margin for a log that takes 300 ms to answer.
pub const RENEWAL_TIMEOUT_MS: u64 = 1_400;
/// The same after an entry has found the holder's address closed: its process has ended, and only
/// one or two renewals in flight need to be awaited.
pub const CLOSED_RENEWAL_TIMEOUT_MS: u64 = 800;
/// Processor, in thousandths of a core, and link, in Mbit/s, from which a VM is fit to lead a site
/// of any size: placing the jobs of 350 workers takes a tenth of a core, and its log traffic a few
/// Mbit/s.
const FIT_PROCESSOR: u64 = 250;
const FIT_LINK: u64 = 40;
/// Delay of the claims of a less fit VM, in milliseconds, for each of the two resources that it
/// lacks: a fit VM claims first, and without one the leadership still doesn't stay vacant.
const UNFIT_DELAY_MS: u64 = 500;

/// Delay of the claims of a VM with this processor and link, in milliseconds.
pub fn claim_delay_ms(processor: u64, link: u64) -> u64 {
    let weaknesses = u64::from(processor < FIT_PROCESSOR) + u64::from(link < FIT_LINK);
    weaknesses * UNFIT_DELAY_MS
}

/// Encoding of the fields that records of earlier versions lack: an empty list of replicas, and an
/// append time of 0.
const MISSING_FIELDS: [u8; 3] = [0, 0, 0];

/// Interval between two renewals, in milliseconds.
pub const RENEWAL_INTERVAL_MS: u64 = 450;

/// Kind of a record of the stream.
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
    /// Kind of the record.
    pub act: LeadershipAct,
    /// Name of the holder.
    pub holder: Arc<str>,
    /// Drawn at the start of the holder's process; a restarted process is another holder.
    pub incarnation: u64,
    /// Where other entries reach the holder.
    pub address: SocketAddr,
    /// Entries that keep a replica of the job log.
    pub replicas: ReplicaList,
    /// Time that the log takes for one of the holder's appends, in milliseconds.
    pub append_ms: u64,
}

impl LeadershipRecord {
    /// Decodes a record; `None` if it is malformed. Leaders of earlier versions list no replicas.
    pub fn decode(value: &[u8]) -> Option<LeadershipRecord> {
        let read = |value: &[u8]| postcard::from_bytes(value).ok();
        read(value).or_else(|| read(&[value, &MISSING_FIELDS].concat()))
    }
}

/// One incarnation of an entry's process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HolderId {
    /// Name of its VM.
    pub name: Arc<str>,
    /// Drawn when the process started.
    pub incarnation: u64,
    /// Delay of its claims, in milliseconds.
    pub delay_ms: u64,
}

/// What a new leader knows about the end of the previous one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PredecessorEnd {
    /// Nothing: the previous leader may only be partitioned.
    Unknown,
    /// It resigned, with no command to a VM in flight.
    Resigned,
    /// It was an earlier process of the same entry, which ended before this one began.
    Restarted,
}

/// The previous leader, as seen by its successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PreviousLeader {
    /// When its newest record was read, in milliseconds.
    pub seen_ms: u64,
    /// How it ended.
    pub end: PredecessorEnd,
}

/// A process's knowledge of the stream.
#[derive(Clone, Debug, Default)]
pub struct LeadershipView {
    /// End of the stream, as far as it was read.
    pub end: u64,
    /// Term of the newest claim; 0 before any.
    pub term: u64,
    /// Name and incarnation of the process that made the newest claim.
    pub holder: Option<(Arc<str>, u64)>,
    /// Address of that process.
    pub address: Option<SocketAddr>,
    /// Entries that keep a replica of the job log, by the newest record.
    pub replicas: ReplicaList,
    /// Time that the log takes for an append, by the newest record, in milliseconds.
    pub append_ms: u64,
    /// Whether the holder has resigned.
    pub has_resigned: bool,
    /// When the newest record was read, in milliseconds.
    pub seen_ms: Option<u64>,
    /// Start of the current period in which every read was answered, in milliseconds; `None` after
    /// a failed read.
    readable_since_ms: Option<u64>,
    /// When the first unanswered renewal of this process at the current end was sent, in
    /// milliseconds.
    unanswered_ms: Option<u64>,
}

impl LeadershipView {
    /// Applies the record at `offset`.
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
                // A reader that missed the claim still learns who leads.
                if self.holder.is_none() {
                    self.holder = Some((record.holder.clone(), record.incarnation));
                }
            }
            LeadershipAct::Resign => self.has_resigned = true,
        }
    }

    /// Records that a renewal of this process was appended and the stream ends at `end`. Without
    /// this, a leader would read none of its own renewals; as a follower it would then believe that
    /// its term had ended soon after the claim, and that the leases granted since had expired.
    pub fn record_renewal(&mut self, end: u64, now: u64) {
        self.end = end;
        self.seen_ms = Some(now);
        self.unanswered_ms = None;
    }

    /// Records that a renewal sent at `sent_ms` had no answer: it may be on the stream, or may
    /// still arrive there.
    pub fn record_unanswered(&mut self, sent_ms: u64) {
        self.unanswered_ms.get_or_insert(sent_ms);
    }

    /// Whether a renewal of this process at the current end had no answer.
    pub fn has_unanswered(&self) -> bool {
        self.unanswered_ms.is_some()
    }

    /// Called when the unanswered renewal was found on the stream: returns when it was sent at the
    /// earliest, in milliseconds. Later attempts named the same end, and others may have read the
    /// first one and counted the renewal timeout from it.
    pub fn take_unanswered(&mut self) -> Option<u64> {
        self.unanswered_ms.take()
    }

    /// Continues at `first`, because the records before it were dropped unread. A claim may be
    /// among them, so the leader is unknown until the next record.
    pub fn skip_to(&mut self, first: u64, now: u64) {
        self.end = self.end.max(first);
        self.seen_ms = Some(now);
        self.holder = None;
        self.has_resigned = false;
        self.unanswered_ms = None;
    }

    /// Records that the stream was read up to `end`.
    pub fn record_read(&mut self, end: u64, now: u64) {
        self.end = self.end.max(end);
        self.readable_since_ms.get_or_insert(now);
    }

    /// Whether the last read was answered.
    pub fn has_contact(&self) -> bool {
        self.readable_since_ms.is_some()
    }

    /// Records that a read failed: a renewal may be missed from now on.
    pub fn record_read_failure(&mut self) {
        self.readable_since_ms = None;
    }

    /// Time until a claim is allowed, in milliseconds; `None` while the log can't be read. The
    /// renewal timeout counts only while the log is readable, so that the leader has time to renew
    /// after an outage of the log. `is_closed` says that the holder's address was found closed.
    ///
    /// A claim that comes too early costs a change of leaders but is never unsafe: the term fences
    /// the previous leader.
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

    /// Whether the entry at `address` keeps a replica of the job log. Until a record has listed the
    /// replicas, the log is new and empty, and every entry keeps one.
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

    /// Whether an earlier incarnation of this process leads. That one must have ended, or this one
    /// would not run.
    fn is_earlier_incarnation(&self, own: &HolderId) -> bool {
        self.holder
            .as_ref()
            .is_some_and(|(name, incarnation)| *name == own.name && *incarnation != own.incarnation)
    }

    /// The leader before `own`; `None` if none was seen.
    pub fn predecessor(&self, own: &HolderId) -> Option<PreviousLeader> {
        let end = match (self.has_resigned, self.is_earlier_incarnation(own)) {
            (true, _) => PredecessorEnd::Resigned,
            (false, true) => PredecessorEnd::Restarted,
            (false, false) => PredecessorEnd::Unknown,
        };
        self.seen_ms.map(|seen_ms| PreviousLeader { seen_ms, end })
    }

    /// Whether this process made the newest claim and has not resigned.
    pub fn is_held_by(&self, own: &HolderId) -> bool {
        !self.has_resigned
            && self.holder.as_ref().is_some_and(|(name, incarnation)| {
                *name == own.name && *incarnation == own.incarnation
            })
    }
}
