//! Idempotency keys: their form, and what became of each.
//!
//! A key is `uuid` or `data-centre:uuid`, where the UUID is of version 7 (RFC 9562) and so tells
//! when it was minted. The owner remembers each key for a window; a key from outside the window is
//! refused, since its outcome may have been forgotten. An owner that took over after a crash knows
//! nothing of keys minted before and says `Unknown` rather than run one twice.

use std::collections::{BTreeMap, HashMap};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::decide::roster::KeyRight;
use crate::error::ResultCode;
use crate::name::{CentreName, is_well_formed};

/// Largest answer kept for a key, in bytes; of a larger one only the code is kept.
pub const KEPT_ANSWER_MAX: usize = 16 << 10;

/// A key as a request carries it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestKey {
    /// Data centre that it is homed in, where it names one.
    pub home: Option<CentreName>,
    /// The key.
    pub id: Uuid,
    /// When it was minted, in milliseconds since the epoch.
    pub minted_ms: u64,
}

impl RequestKey {
    /// Reads a key; none if it is malformed.
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

/// An answer as it is kept and handed over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type, where the worker gave one.
    pub content_type: Option<String>,
    /// Whole body; none if it was too large to keep.
    pub body: Option<Bytes>,
}

/// What became of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyOutcome {
    /// Being run.
    Running,
    /// Answered.
    Done(KeptAnswer),
    /// Sent, and its outcome isn't known.
    Unknown,
}

/// What the owner remembers of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// The key.
    pub id: Uuid,
    /// When it was minted, in milliseconds since the epoch.
    pub minted_ms: u64,
    /// Hash of the request, so that a key used twice for different requests is seen.
    pub fingerprint: u64,
    /// What became of it.
    pub outcome: KeyOutcome,
}

/// What to do with a request that carries a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyDecision {
    /// Run it; `finish` must follow.
    Run,
    /// It ran; this was its answer.
    Replay(KeptAnswer),
    /// Refuse it, or say that its outcome is not known.
    Answer(ResultCode),
    /// Another entry owns it.
    Forward,
}

/// Bounds of the owner's memory.
#[derive(Clone, Copy, Debug)]
pub struct KeyLimits {
    /// Age up to which keys are taken, in milliseconds.
    pub window_ms: u64,
    /// Margin for callers' clocks, in milliseconds.
    pub skew_ms: u64,
    /// Most keys.
    pub keys_max: usize,
}

/// The owner's memory of keys.
#[derive(Debug)]
pub struct KeyTable {
    limits: KeyLimits,
    records: HashMap<Uuid, KeyRecord>,
    /// Keys by the time they were minted, for forgetting.
    by_age: BTreeMap<(u64, Uuid), ()>,
}

impl KeyTable {
    /// An empty table.
    pub fn new(limits: KeyLimits) -> Self {
        KeyTable { limits, records: HashMap::new(), by_age: BTreeMap::new() }
    }

    /// Keys remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Decides on a request and, where it is to run, marks its key as running.
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

    /// Whether a key is being run.
    pub fn is_running(&self) -> bool {
        self.records.values().any(|record| record.outcome == KeyOutcome::Running)
    }

    /// Notes the outcome of a key that was run; `None` if it was not run after all.
    pub fn finish(&mut self, id: &Uuid, outcome: Option<KeyOutcome>) {
        match outcome {
            Some(outcome) => {
                if let Some(record) = self.records.get_mut(id) {
                    record.outcome = outcome;
                }
            }
            None => {
                if let Some(record) = self.records.remove(id) {
                    self.by_age.remove(&(record.minted_ms, record.id));
                }
            }
        }
    }

    /// Takes a record from an earlier owner; an outcome that is known goes before one that isn't.
    pub fn take_over(&mut self, record: KeyRecord) {
        let known = self.records.get(&record.id).map(|known| &known.outcome);
        match (known, &record.outcome) {
            (Some(KeyOutcome::Done(_)), _) => {}
            (Some(_), KeyOutcome::Running) => {}
            _ => self.insert_record(record),
        }
    }

    /// The records of keys that `is_wanted` picks.
    pub fn select(&self, is_wanted: impl Fn(&Uuid) -> bool) -> Vec<KeyRecord> {
        self.records.values().filter(|record| is_wanted(&record.id)).cloned().collect()
    }

    fn insert_record(&mut self, record: KeyRecord) {
        self.by_age.insert((record.minted_ms, record.id), ());
        self.records.insert(record.id, record);
    }

    /// A key is remembered for one window after the last moment it could be taken.
    fn remove_expired(&mut self, wall_ms: u64) {
        let oldest = wall_ms.saturating_sub(self.limits.window_ms + 2 * self.limits.skew_ms);
        while let Some(entry) = self.by_age.first_entry() {
            let (minted_ms, id) = *entry.key();
            if minted_ms >= oldest {
                break;
            }
            entry.remove();
            self.records.remove(&id);
        }
    }

    fn is_in_window(&self, key: &RequestKey, wall_ms: u64) -> bool {
        let oldest = wall_ms.saturating_sub(self.limits.window_ms);
        // A key from the future would pass for one minted after a take-over that came before it.
        let newest = wall_ms + self.limits.skew_ms;
        (oldest..=newest).contains(&key.minted_ms)
    }
}

impl KeyRecord {
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
