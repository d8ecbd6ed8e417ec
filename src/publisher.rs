//! Puts a document on the log and learns what became of it.
//!
//! The answer to an append may be lost after the append took effect. The publisher then appends the
//! same record again, under the same id, and reads the log until the fold has judged that id: the
//! first copy counts, a second changes nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::{Instant, sleep};
use uuid::Uuid;

use crate::clock::system_ms;
use crate::decide::intent::{IntentBody, IntentRecord, IntentState, PublishOutcome};
use crate::document::IntentDocument;
use crate::error::{CodeResult, ResultCode, coded};
use crate::platform::{INTENT_STREAM, LogClient, LogRecord, ReadAnswer};

/// Wait between two tries while the platform is away.
const PAUSE: Duration = Duration::from_millis(100);
/// Longest wait of one read.
const READ_WAIT: Duration = Duration::from_millis(200);

/// A document on the log, accepted or not.
#[derive(Clone, Debug)]
pub struct PublishedDocument {
    /// Offset of its record.
    pub offset: u64,
    /// Id of the publish.
    pub id: Uuid,
    /// The document.
    pub document: IntentDocument,
}

/// Follows the intent stream for an operator.
#[derive(Clone, Debug)]
pub struct IntentPublisher<L> {
    log: L,
    state: IntentState,
    documents: Vec<PublishedDocument>,
    is_at_end: bool,
    read_from: u64,
}

impl<L: LogClient> IntentPublisher<L> {
    /// Reads the stream to its end.
    pub async fn open(log: L, patience: Duration) -> CodeResult<IntentPublisher<L>> {
        let mut publisher = IntentPublisher {
            log,
            state: IntentState::default(),
            documents: Vec::new(),
            is_at_end: false,
            read_from: 0,
        };
        let started = Instant::now();
        while !publisher.is_at_end {
            if let Err(report) = publisher.read(Duration::ZERO).await {
                if started.elapsed() >= patience {
                    return Err(report);
                }
                sleep(PAUSE).await;
            }
        }
        Ok(publisher)
    }

    /// The fold of what was read.
    pub fn state(&self) -> &IntentState {
        &self.state
    }

    /// Documents that the log still keeps, oldest first.
    pub fn documents(&self) -> &[PublishedDocument] {
        &self.documents
    }

    /// Publishes a document and waits for its verdict.
    pub async fn publish(
        &mut self,
        document: &IntentDocument,
        base: Option<u64>,
        by: &str,
        patience: Duration,
    ) -> CodeResult<PublishOutcome> {
        let record = IntentRecord {
            id: Uuid::now_v7(),
            at_ms: system_ms(),
            by: by.to_owned(),
            body: IntentBody::Publish { base, document: Box::new(document.clone()) },
        };
        let body = serde_json::to_vec(&record)
            .map_err(|error| coded(ResultCode::DocumentSyntax, error))?;
        let started = Instant::now();
        let mut appended = false;
        loop {
            if !appended {
                appended = self.log.append(INTENT_STREAM, &body).await.is_ok();
            }
            let read = self.read(READ_WAIT).await;
            if let Some(verdict) = self.state.outcome(&record.id) {
                return Ok(verdict);
            }
            if started.elapsed() >= patience {
                let detail = format!("publish {}; ibisweirctl history will show it", record.id);
                return Err(coded(ResultCode::PublishUnknown, detail));
            }
            if read.is_err() {
                sleep(PAUSE).await;
            }
        }
    }

    async fn read(&mut self, wait: Duration) -> CodeResult<()> {
        let from = BTreeMap::from([(INTENT_STREAM.to_owned(), self.read_from)]);
        let answer: ReadAnswer = self.log.read(&from, wait).await?;
        let Some(batch) = answer.get(INTENT_STREAM) else { return Ok(()) };
        for record in &batch.records {
            self.fold(batch.first, record);
            self.read_from = record.offset + 1;
        }
        self.read_from = self.read_from.max(batch.first);
        self.is_at_end = self.read_from >= batch.next;
        Ok(())
    }

    fn fold(&mut self, first: u64, record: &LogRecord) {
        let Ok(intent) = serde_json::from_str::<IntentRecord>(record.body.get()) else {
            self.state.skip(record.offset);
            return;
        };
        match &intent.body {
            IntentBody::Restate { state } if self.state.through < first => {
                self.state.adopt(state);
            }
            IntentBody::Publish { document, .. } => self.documents.push(PublishedDocument {
                offset: record.offset,
                id: intent.id,
                document: document.as_ref().clone(),
            }),
            IntentBody::Restate { .. } => {}
        }
        // Records between the oldest kept and the first restatement can't be judged yet.
        if self.state.through >= first {
            self.state.apply(record.offset, &intent);
        }
    }
}
