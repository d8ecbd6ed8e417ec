//! Statuses of maintenance waves reach operators in order, whatever the log answers.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use ibisweir::jobs::ports::{
    AppendCall, AppendOutcome, JobLog, LogBatch, LogTopic, NewestPage, ReadOutcome,
};
use ibisweir::jobs::record::KeyedRecord;
use ibisweir::jobs::wave_reporter::WaveReporter;

/// Sequence number and value of each record that was sent.
type SentRecords = Vec<(u64, Vec<u8>)>;

/// A log that does not answer the first append, and keeps everything that it receives.
#[derive(Clone, Default)]
struct LossyLog {
    sent: Arc<Mutex<SentRecords>>,
}

impl JobLog for LossyLog {
    async fn append(&self, call: &AppendCall, _: Duration) -> AppendOutcome {
        let mut sent = self.sent.lock().expect("no panic before");
        let stamp = call.stamp.as_ref().expect("a repeat needs a sequence number");
        assert_eq!(stamp.epoch, 7);
        sent.push((stamp.sequence, call.records[0].value.clone()));
        match sent.len() {
            1 => AppendOutcome::Unknown,
            _ => AppendOutcome::Done { offset: 0, end: 1 },
        }
    }

    async fn read(&self, _: LogTopic, _: u64, _: Duration) -> ReadOutcome {
        ReadOutcome::Read(LogBatch::default())
    }

    async fn newest(&self, _: LogTopic, _: Option<&str>) -> Option<NewestPage> {
        None
    }
}

fn encode(number: u64, is_completed: bool) -> Option<KeyedRecord> {
    Some(KeyedRecord { key: number.to_string(), value: vec![u8::from(is_completed)] })
}

/// Guards against a complete wave that is shown as running for ever. The log does not answer the
/// append of the first status, and the wave completes a moment later. If the second status were
/// sent before the first one is repeated and stored, the log could store them in the wrong order.
#[tokio::test(start_paused = true)]
async fn a_status_is_sent_after_the_previous_one_is_stored() {
    let log = LossyLog::default();
    let logger = ibisweir::logging::silent();
    let (reporter, statuses) = WaveReporter::open(log.clone(), encode, logger, 7);
    statuses.send((1, false)).expect("the reporter is running");
    statuses.send((1, true)).expect("the reporter is running");
    drop(statuses);
    reporter.run().await;
    let sent = log.sent.lock().expect("no panic before");
    assert_eq!(*sent, vec![(0, vec![0]), (0, vec![0]), (1, vec![1])]);
}
