//! Tells operators how maintenance waves get on, in the order in which it was decided.
//!
//! One status is appended at a time, under numbers of the leader's own, until the log has it. Two at
//! once could reach the log in either order, and one whose answer was lost could be stored after a
//! later one: a wave that is complete would be shown as running for good.

use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::jobs::conductor::WaveEncoder;
use crate::jobs::ports::{AppendCall, AppendOutcome, JobLog, LogTopic, WriterStamp};

/// Time for an append to be answered before it is repeated; a slow log takes 300 ms.
const APPEND_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause before an append is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Name of the writer on the log; its epoch is the leader's term.
const WRITER: &str = "waves";

/// Appends statuses, one after the other.
pub struct WaveReporter<L> {
    log: L,
    encoder: WaveEncoder,
    logger: Logger,
    term: u64,
    sequence: u64,
    statuses: mpsc::UnboundedReceiver<(u64, bool)>,
}

impl<L: JobLog> WaveReporter<L> {
    /// A teller for a leader of this term, and where it is given a wave's number and whether it is
    /// complete.
    pub fn open(
        log: L,
        encoder: WaveEncoder,
        logger: Logger,
        term: u64,
    ) -> (WaveReporter<L>, mpsc::UnboundedSender<(u64, bool)>) {
        let (sender, statuses) = mpsc::unbounded_channel();
        (WaveReporter { log, encoder, logger, term, sequence: 0, statuses }, sender)
    }

    /// Appends what it is given until nobody can give it any more, or a later leader tells instead.
    pub async fn run(mut self) {
        while let Some((number, is_completed)) = self.statuses.recv().await {
            info!(self.logger, "wave status"; "wave" => number, "completed" => is_completed);
            if !self.append(number, is_completed).await {
                return;
            }
            self.sequence += 1;
        }
    }

    /// Appends until the log has it; false if a later leader has shut us out.
    async fn append(&self, number: u64, is_completed: bool) -> bool {
        let Some(record) = (self.encoder)(number, is_completed) else {
            warn!(self.logger, "a wave's status can't be written"; "wave" => number);
            return true;
        };
        let stamp =
            WriterStamp { writer: WRITER.into(), epoch: self.term, sequence: self.sequence };
        let call = AppendCall {
            topic: LogTopic::Status,
            records: vec![record],
            expected_end: None,
            stamp: Some(stamp),
        };
        loop {
            match self.log.append(&call, APPEND_TIMEOUT).await {
                AppendOutcome::Done { .. } => return true,
                AppendOutcome::Fenced | AppendOutcome::OutOfSequence => return false,
                outcome => warn!(self.logger, "a wave's status is not on the log yet";
                    "wave" => number, "outcome" => ?outcome),
            }
            sleep(RETRY_DELAY).await;
        }
    }
}
