//! Idempotency keys: their format, and the outcome recorded for each.
//!
//! A key is `uuid` or `data-centre:uuid` with a UUID of version 7 (RFC 9562), which contains its
//! creation time. The owner remembers each key for a window and refuses keys from outside it, since
//! their outcomes may have been forgotten. An owner that took over after a crash knows nothing
//! about keys minted earlier; it answers `Unknown` rather than run a request twice.

use std::collections::{BTreeMap, HashMap};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::decide::roster::KeyRight;
use crate::error::ResultCode;
use crate::name::{CentreName, is_well_formed};

/// Largest answer that is kept for a key, in bytes; of a larger one only the code is kept.
pub const KEPT_ANSWER_MAX: usize = 16 << 10;

/// An idempotency key as a request carries it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestKey {
    /// Data centre that owns the key, if the key names one.
    pub home: Option<CentreName>,
    /// The UUID.
    pub id: Uuid,
    /// When it was minted, in milliseconds since the epoch.
    pub minted_ms: u64,
}

impl RequestKey {
    /// Parses a key; `None` if it is malformed.
    pub fn parse(text: &str) -> Option<RequestKey> {
        let (home, id) = match text.rsplit_once(':') {
            Some((home, id)) if is_well_formed(home) => (Some(CentreName::from(home)), id),
            Some(_) => return None,
            None => (None, text),
        };
        let id = Uuid::try_parse(id).ok()?;
        let (seconds, nanos) = id.get_timestamp().filter(|_| id.get_version_num() == 7)?.to_unix();
        let minted_ms = seconds.checked_mul(1_000)?.checked_add(u64::from(nanos) / 1_000_000)?;
        Some(RequestKey { home, id, minted_ms })
    }
}

/// An answer as it is stored and handed over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type, if the worker sent one.
    pub content_type: Option<String>,
    /// Complete body; `None` if it was too large to keep.
    pub body: Option<Bytes>,
}

impl KeptAnswer {
    fn body_bytes(&self) -> usize {
        self.body.as_ref().map_or(0, Bytes::len)
    }
}

/// Outcome of the request with a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyOutcome {
    /// Still running.
    Running,
    /// Answered.
    Done(KeptAnswer),
    /// Sent to a worker, with an unknown outcome.
    Unknown,
}

/// What the owner remembers about a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// The UUID.
    pub id: Uuid,
    /// When it was minted, in milliseconds since the epoch.
    pub minted_ms: u64,
    /// Hash of the request, to detect a key that is reused for a different request.
    pub fingerprint: u64,
    /// Outcome so far.
    pub outcome: KeyOutcome,
}

/// How to handle a request that carries a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyDecision {
    /// Run it; a call of `finish` must follow.
    Run,
    /// It has run already; return this answer.
    Replay(KeptAnswer),
    /// Refuse it, or report that its outcome is unknown.
    Answer(ResultCode),
    /// Another entry owns the key.
    Forward,
}

/// Limits of the key table.
#[derive(Clone, Copy, Debug)]
pub struct KeyLimits {
    /// Age up to which keys are accepted, in milliseconds.
    pub window_ms: u64,
    /// Margin for callers' clocks, in milliseconds.
    pub skew_ms: u64,
    /// Upper bound for remembered keys.
    pub keys_max: usize,
    /// Upper bound for the bodies of their answers, in bytes; of answers beyond, only the code is kept.
    pub answer_bytes_max: usize,
}

/// The keys that an owner remembers.
#[derive(Debug)]
pub struct KeyTable {
    limits: KeyLimits,
    records: HashMap<Uuid, KeyRecord>,
    /// Bytes of the bodies of all answers.
    answer_bytes: usize,
    /// Keys ordered by creation time, for expiry.
    by_age: BTreeMap<(u64, Uuid), ()>,
}

impl KeyTable {
    /// An empty table.
    pub fn new(limits: KeyLimits) -> Self {
        KeyTable { limits, records: HashMap::new(), answer_bytes: 0, by_age: BTreeMap::new() }
    }

    /// Number of remembered keys.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Decides how to handle a request, and marks its key as running if it is to run.
    pub fn begin(
        &mut self,
        key: &RequestKey,
        fingerprint: u64,
        right: KeyRight,
        wall_ms: u64,
    ) -> KeyDecision {
        if !self.is_in_window(key, wall_ms) {
            return KeyDecision::Answer(ResultCode::BadKey);
        }
        let floor_ms = match right {
            KeyRight::Other => return KeyDecision::Forward,
            KeyRight::Wait => return KeyDecision::Answer(ResultCode::KeyOwnerStale),
            KeyRight::Own { floor_ms } => floor_ms,
        };
        if let Some(record) = self.records.get(&key.id) {
            return record.decision(fingerprint);
        }
        if key.minted_ms < floor_ms {
            return KeyDecision::Answer(ResultCode::KeyOutcomeLost);
        }
        self.remove_expired(wall_ms);
        if self.records.len() >= self.limits.keys_max {
            return KeyDecision::Answer(ResultCode::KeyTableFull);
        }
        let outcome = KeyOutcome::Running;
        self.insert_record(KeyRecord {
            id: key.id,
            minted_ms: key.minted_ms,
            fingerprint,
            outcome,
        });
        KeyDecision::Run
    }

    /// Whether any key is running.
    pub fn is_running(&self) -> bool {
        self.records.values().any(|record| record.outcome == KeyOutcome::Running)
    }

    /// Records the outcome of a key that was run; `None` if it was not run after all.
    pub fn finish(&mut self, id: &Uuid, outcome: Option<KeyOutcome>) {
        match outcome {
            Some(outcome) => {
                if let Some(record) = self.remove_record(id) {
                    self.insert_record(KeyRecord { outcome, ..record });
                }
            }
            None => drop(self.remove_record(id)),
        }
    }

    /// Adds a record from an earlier owner. A known outcome takes precedence over an unknown one.
    pub fn take_over(&mut self, record: KeyRecord) {
        let known = self.records.get(&record.id).map(|known| &known.outcome);
        match (known, &record.outcome) {
            (Some(KeyOutcome::Done(_)), _) => {}
            (Some(_), KeyOutcome::Running) => {}
            _ => self.insert_record(record),
        }
    }

    /// Records of the keys for which `is_wanted` holds.
    pub fn select(&self, is_wanted: impl Fn(&Uuid) -> bool) -> Vec<KeyRecord> {
        self.records.values().filter(|record| is_wanted(&record.id)).cloned().collect()
    }

    fn insert_record(&mut self, mut record: KeyRecord) {
        drop(self.remove_record(&record.id));
        if let KeyOutcome::Done(answer) = &mut record.outcome
            && self.answer_bytes + answer.body_bytes() > self.limits.answer_bytes_max
        {
            answer.body = None;
        }
        self.answer_bytes += record.answer_bytes();
        self.by_age.insert((record.minted_ms, record.id), ());
        self.records.insert(record.id, record);
    }

    fn remove_record(&mut self, id: &Uuid) -> Option<KeyRecord> {
        let record = self.records.remove(id)?;
        self.answer_bytes -= record.answer_bytes();
        self.by_age.remove(&(record.minted_ms, record.id));
        Some(record)
    }

    /// A key is kept for a whole window after the last moment at which it could be accepted.
    fn remove_expired(&mut self, wall_ms: u64) {
        let oldest = wall_ms.saturating_sub(self.limits.window_ms + 2 * self.limits.skew_ms);
        while let Some(entry) = self.by_age.first_entry() {
            let (minted_ms, id) = *entry.key();
            if minted_ms >= oldest {
                break;
            }
            drop(self.remove_record(&id));
        }
    }

    fn is_in_window(&self, key: &RequestKey, wall_ms: u64) -> bool {
        let oldest = wall_ms.saturating_sub(self.limits.window_ms);
        // A key from the future would look as if it had been minted after a takeover that in fact
        // came later.
        let newest = wall_ms + self.limits.skew_ms;
        (oldest..=newest).contains(&key.minted_ms)
    }
}

impl KeyRecord {
    fn answer_bytes(&self) -> usize {
        match &self.outcome {
            KeyOutcome::Done(answer) => answer.body_bytes(),
            KeyOutcome::Running | KeyOutcome::Unknown => 0,
        }
    }

    fn decision(&self, fingerprint: u64) -> KeyDecision {
        if self.fingerprint != fingerprint {
            return KeyDecision::Answer(ResultCode::KeyReused);
        }
        match &self.outcome {
            KeyOutcome::Running => KeyDecision::Answer(ResultCode::KeyInFlight),
            KeyOutcome::Unknown => KeyDecision::Answer(ResultCode::Unknown),
            KeyOutcome::Done(answer) => KeyDecision::Replay(answer.clone()),
        }
    }
}
