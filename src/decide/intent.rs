//! Folds the `intent` stream into the one accepted document.
//!
//! The log has no compare-and-set, so the fold is the arbiter: a publish counts only if its `base`
//! is the revision in force when the fold reaches it. Two racing operators get one winner, and the
//! revision is the log offset, so nothing reverts. A publish whose answer was lost is appended
//! again under the same id; the fold remembers ids and tells the publisher what became of the first.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::document::{self, IntentDocument};

/// Publishes whose verdict is remembered, for publishers that lost the answer.
pub const OUTCOMES_KEPT: usize = 512;

/// One record of the `intent` stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct IntentRecord {
    /// Drawn by the publisher; the same for every try of one publish.
    pub id: Uuid,
    /// Publisher's wall clock, in milliseconds since the epoch; shown, never decided on.
    pub at_ms: u64,
    /// Who published, as given on the command line.
    pub by: String,
    /// What is published.
    pub body: IntentBody,
}

/// What a record of the `intent` stream says.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IntentBody {
    /// A whole document, edited from the accepted one at `base`.
    Publish {
        /// Revision that it was edited from; none for the first document.
        base: Option<u64>,
        /// The whole document.
        document: Box<IntentDocument>,
    },
    /// The fold's state, restated before the records behind it expire.
    Restate {
        /// State after every record below `through`.
        state: IntentState,
    },
}

/// The accepted document and its revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedIntent {
    /// Offset of the record that was accepted.
    pub revision: u64,
    /// Id of that publish.
    pub id: Uuid,
    /// Who published it.
    pub by: String,
    /// Publisher's wall clock, in milliseconds since the epoch.
    pub at_ms: u64,
    /// The document.
    pub document: IntentDocument,
}

/// What became of a publish.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PublishOutcome {
    /// In force as this revision.
    Accepted {
        /// The new revision.
        revision: u64,
    },
    /// Another document was accepted since `base`.
    Lost {
        /// Revision that is in force instead.
        current: Option<u64>,
    },
    /// The document has faults; a checked publisher never sends one.
    Faulty,
}

/// Verdict on one publish, as history shows it.
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
    /// What became of it.
    #[serde(rename = "verdict")]
    pub outcome: PublishOutcome,
}

/// State of the fold; serialized whole in a restatement and between peers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct IntentState {
    /// Offset of the next record to fold.
    pub through: u64,
    /// The document in force.
    pub accepted: Option<Arc<AcceptedIntent>>,
    /// Offset of the newest restatement.
    #[serde(default)]
    pub restated: u64,
    /// The newest verdicts, oldest first.
    #[serde(rename = "verdicts")]
    pub outcomes: VecDeque<PublishResult>,
}

impl IntentState {
    /// Folds the record at `offset`. Records below `through` were folded before and change nothing.
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

    /// Skips a record that can't be read; every process skips the same one.
    pub fn skip(&mut self, offset: u64) {
        self.through = self.through.max(offset + 1);
    }

    /// Takes over a newer state, from a restatement or a peer; an older one changes nothing.
    pub fn adopt(&mut self, state: &IntentState) -> bool {
        if state.through <= self.through {
            return false;
        }
        *self = state.clone();
        true
    }

    /// Revision in force.
    pub fn revision(&self) -> Option<u64> {
        self.accepted.as_ref().map(|accepted| accepted.revision)
    }

    /// What became of a publish, if it was folded and is still remembered.
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
        // The first try's answer was lost after the append took effect; the publisher tried again.
        // The base rule alone would refuse the copy, but would then tell the winner that it lost.
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
        // A revert would put an old document back in force everywhere at once.
        assert!(
            self.revision().is_none_or(|revision| revision < accepted.revision),
            "an accepted configuration never reverts"
        );
        self.accepted = Some(Arc::new(accepted));
    }
}
