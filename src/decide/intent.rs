//! Replays the `intent` stream into the one accepted document.
//!
//! The log has no compare-and-set, so the replay decides: a publish takes effect only if its `base`
//! is the current revision when its record is applied. Of two operators who race, one wins. The
//! revision is the offset in the log, so no revision is ever reverted. A publish whose answer was
//! lost is appended again under the same id; the state remembers ids and tells the publisher the
//! outcome of the first attempt.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::document::{self, IntentDocument};

/// Publishes whose outcome is remembered, for publishers that lost the answer.
pub const OUTCOMES_KEPT: usize = 512;

/// One record of the `intent` stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct IntentRecord {
    /// Drawn by the publisher; the same for every attempt of one publish.
    pub id: Uuid,
    /// Publisher's wall clock, in milliseconds since the epoch; for display only, no decision
    /// depends on it.
    pub at_ms: u64,
    /// Who published, as given on the command line.
    pub by: String,
    /// Content of the record.
    pub body: IntentBody,
}

/// Content of a record of the `intent` stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IntentBody {
    /// A complete document, edited from the accepted one at `base`.
    Publish {
        /// Revision that it was edited from; `None` for the first document.
        base: Option<u64>,
        /// The complete document.
        document: Box<IntentDocument>,
    },
    /// Snapshot of the state, written before the records that it replaces expire.
    Restate {
        /// State after every record below `through`.
        state: IntentState,
    },
}

/// The accepted document and its revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedIntent {
    /// Offset of the accepted record.
    pub revision: u64,
    /// Id of the publish.
    pub id: Uuid,
    /// Who published it.
    pub by: String,
    /// Publisher's wall clock, in milliseconds since the epoch.
    pub at_ms: u64,
    /// The document.
    pub document: IntentDocument,
}

/// Outcome of a publish.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PublishOutcome {
    /// Accepted as this revision.
    Accepted {
        /// The new revision.
        revision: u64,
    },
    /// Another document had been accepted since `base`.
    Lost {
        /// Revision that is current instead.
        current: Option<u64>,
    },
    /// The document is invalid; a publisher that checks it first never sends one.
    Faulty,
}

/// Outcome of one publish, for the history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PublishResult {
    /// Offset of the record.
    pub offset: u64,
    /// Id of the publish.
    pub id: Uuid,
    /// Who published.
    pub by: String,
    /// Publisher's wall clock, in milliseconds since the epoch.
    pub at_ms: u64,
    /// The outcome.
    #[serde(rename = "verdict")]
    pub outcome: PublishOutcome,
}

/// Replayed state; serialized as a whole in snapshots and between peers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct IntentState {
    /// Offset of the next record to apply.
    pub through: u64,
    /// Current document.
    pub accepted: Option<Arc<AcceptedIntent>>,
    /// Offset of the newest snapshot.
    #[serde(default)]
    pub restated: u64,
    /// Outcomes of the newest publishes, oldest first.
    #[serde(rename = "verdicts")]
    pub outcomes: VecDeque<PublishResult>,
}

impl IntentState {
    /// Applies the record at `offset`. Records below `through` have been applied before and change
    /// nothing.
    pub fn apply(&mut self, offset: u64, record: &IntentRecord) {
        if offset < self.through {
            return;
        }
        self.through = offset + 1;
        match &record.body {
            IntentBody::Publish { base, document } => self.publish(offset, record, *base, document),
            IntentBody::Restate { .. } => self.restated = offset,
        }
    }

    /// Skips an unreadable record; every process skips the same ones.
    pub fn skip(&mut self, offset: u64) {
        self.through = self.through.max(offset + 1);
    }

    /// Replaces this state by a newer one from a snapshot or a peer. Returns false and changes
    /// nothing if it isn't newer.
    pub fn adopt(&mut self, state: &IntentState) -> bool {
        if state.through <= self.through {
            return false;
        }
        *self = state.clone();
        true
    }

    /// Current revision.
    pub fn revision(&self) -> Option<u64> {
        self.accepted.as_ref().map(|accepted| accepted.revision)
    }

    /// Outcome of a publish, if it was applied and is still remembered.
    pub fn outcome(&self, id: &Uuid) -> Option<PublishOutcome> {
        self.outcomes.iter().find(|line| line.id == *id).map(|line| line.outcome)
    }

    fn publish(
        &mut self,
        offset: u64,
        record: &IntentRecord,
        base: Option<u64>,
        document: &IntentDocument,
    ) {
        // The first attempt took effect but its answer was lost, and the publisher tried again. The
        // rule about the base alone would refuse the copy as well, but would report a loss to the
        // winner.
        if self.outcome(&record.id).is_some() {
            return;
        }
        let outcome = if base != self.revision() {
            PublishOutcome::Lost { current: self.revision() }
        } else if !document::check(document).is_empty() {
            PublishOutcome::Faulty
        } else {
            let accepted = AcceptedIntent {
                revision: offset,
                id: record.id,
                by: record.by.clone(),
                at_ms: record.at_ms,
                document: document.clone(),
            };
            self.accept(accepted);
            PublishOutcome::Accepted { revision: offset }
        };
        let line = PublishResult {
            offset,
            id: record.id,
            by: record.by.clone(),
            at_ms: record.at_ms,
            outcome,
        };
        self.outcomes.push_back(line);
        if self.outcomes.len() > OUTCOMES_KEPT {
            self.outcomes.pop_front();
        }
    }

    fn accept(&mut self, accepted: AcceptedIntent) {
        // A revert would put an old document into force everywhere at once.
        assert!(
            self.revision().is_none_or(|revision| revision < accepted.revision),
            "an accepted configuration never reverts"
        );
        self.accepted = Some(Arc::new(accepted));
    }
}
