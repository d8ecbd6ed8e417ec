//! Reports the status of maintenance waves to operators, in the order of the leader's decisions.
//!
//! Statuses are appended one at a time, under the leader's own sequence numbers, each until the log
//! has it. Two concurrent appends could be stored in either order, and one whose answer was lost
//! could be stored after a later one: a complete wave would be shown as running for ever.

use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::jobs::conductor::WaveEncoder;
use crate::jobs::ports::{AppendCall, AppendOutcome, JobLog, LogTopic, WriterStamp};

/// Timeout of an append, after which it is repeated; a slow log takes 300 ms.
const APPEND_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay before an append is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Writer name in the log; the epoch is the leader's term.
const WRITER: &str = "waves";

/// Appends wave statuses one after the other.
pub struct WaveReporter<L> {
    log: L,
    encoder: WaveEncoder,
    logger: Logger,
    term: u64,
    sequence: u64,
    statuses: mpsc::UnboundedReceiver<(u64, bool)>,
}

impl<L: JobLog> WaveReporter<L> {
    /// A reporter for the leader of this term, and a sender for its input: the number of a wave,
    /// and whether the wave is complete.
    pub fn open(
        log: L,
        encoder: WaveEncoder,
        logger: Logger,
        term: u64,
    ) -> (WaveReporter<L>, mpsc::UnboundedSender<(u64, bool)>) {
        let (sender, statuses) = mpsc::unbounded_channel();
        (WaveReporter { log, encoder, logger, term, sequence: 0, statuses }, sender)
    }

    /// Appends statuses until all senders are dropped or a later leader has taken over.
    pub async fn run(mut self) {
        while let Some((number, is_completed)) = self.statuses.recv().await {
            info!(self.logger, "wave status"; "wave" => number, "completed" => is_completed);
            if !self.append(number, is_completed).await {
                return;
            }
            self.sequence += 1;
        }
    }

    /// Repeats the append until the log has the status; false if a later leader has fenced this
    /// one.
    async fn append(&self, number: u64, is_completed: bool) -> bool {
        let Some(record) = (self.encoder)(number, is_completed) else {
            warn!(self.logger, "wave status could not be encoded"; "wave" => number);
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
            let append_timeout = APPEND_TIMEOUT + self.log.round_trip();
            match self.log.append(&call, append_timeout).await {
                AppendOutcome::Done { .. } => return true,
                AppendOutcome::Fenced | AppendOutcome::OutOfSequence => return false,
                outcome => warn!(self.logger, "wave status not stored yet";
                    "wave" => number, "outcome" => ?outcome),
            }
            sleep(RETRY_DELAY).await;
        }
    }
}
