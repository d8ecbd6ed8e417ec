//! How much one append takes in: what the link has carried lately in a fifth of a second.
//!
//! What waits for the log while an append goes out waits for all of it, so a large one on a narrow link
//! holds up every start. A smaller one costs a call more.

use std::time::Duration;

/// Time in which an append is to go out.
const TARGET_SEND_TIME: Duration = Duration::from_millis(200);
/// Least that an append takes in, in bytes.
pub const APPEND_BYTES_MIN: usize = 16 << 10;
/// What it takes in before anything is known of the link.
const APPEND_BYTES_INITIAL: usize = 64 << 10;
/// Most that it takes in: with the last record it stays under the 2 MB that the platform takes.
pub const APPEND_BYTES_MAX: usize = 512 << 10;
/// Times that the time for a body is doubled at most once the room can't shrink any more.
const DOUBLINGS_MAX: u32 = 3;
/// Longest time for a body: a log that was away would be called so much later.
const SEND_TIMEOUT_MAX: Duration = Duration::from_secs(4);
/// Size up to which the answer to an append tells of the log alone, in bytes.
const SMALL_APPEND_BYTES: usize = 4 << 10;
/// Part of the smoothed time of the log that one answer counts.
const LOG_SMOOTHING: u32 = 4;

/// Bytes that the buffers of the way may take at once.
const SOCKET_BUFFER_BYTES: usize = 64 << 10;

/// Time that a way is given for a body beyond that for an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendTimeout {
    /// Once the system has taken all of it: what stands in buffers counts as taken.
    pub after_send: Duration,
    /// Before, between two parts: buffers take parts as large as they are.
    pub stall: Duration,
}

/// How a body went out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentBody {
    /// Its size, in bytes; 0 if there was no connection.
    pub bytes: usize,
    /// Time in which the system took it.
    pub took: Duration,
    /// Time until the answer was there, if it came.
    pub answered: Option<Duration>,
}

/// Bytes for the next append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendLimit {
    bytes: usize,
    /// Appends that were lost since `bytes` is at its least, and no answer came.
    losses: u32,
    /// Smoothed time of the log for a small append.
    log_latency: Option<Duration>,
}

impl Default for AppendLimit {
    fn default() -> Self {
        AppendLimit { bytes: APPEND_BYTES_INITIAL, losses: 0, log_latency: None }
    }
}

impl AppendLimit {
    /// Bytes from which an append takes no more.
    pub fn bytes(self) -> usize {
        self.bytes
    }

    /// Time that the way needs for a body of this size, by what it has carried.
    pub fn send_timeout(self, bytes: usize) -> SendTimeout {
        SendTimeout {
            after_send: self.time_for(bytes),
            stall: self.time_for(bytes.min(SOCKET_BUFFER_BYTES)),
        }
    }

    fn time_for(self, bytes: usize) -> Duration {
        let bytes = u128::try_from(bytes).unwrap_or(u128::MAX);
        let limit = u128::try_from(self.bytes).unwrap_or(u128::MAX).max(1);
        let doublings = 1 << self.losses.min(DOUBLINGS_MAX);
        let micros =
            TARGET_SEND_TIME.as_micros().saturating_mul(bytes).saturating_mul(doublings) / limit;
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX)).min(SEND_TIMEOUT_MAX)
    }

    /// Takes in how an append went out.
    pub fn learn(&mut self, sent: SentBody) {
        let is_large = sent.bytes >= self.bytes / 2;
        let Some(answered) = sent.answered else {
            if is_large && self.bytes == APPEND_BYTES_MIN {
                self.losses = self.losses.saturating_add(1);
            } else if is_large {
                self.bytes = (self.bytes / 2).max(APPEND_BYTES_MIN);
            }
            return;
        };
        self.losses = 0;
        if sent.bytes <= SMALL_APPEND_BYTES {
            let before = self.log_latency.unwrap_or(answered);
            self.log_latency = Some((before * (LOG_SMOOTHING - 1) + answered) / LOG_SMOOTHING);
            return;
        }
        // What stands in the buffers of the way counts as sent: only the answer tells that it has passed.
        let took = sent.took.max(answered.saturating_sub(self.log_latency.unwrap_or_default()));
        if took > TARGET_SEND_TIME && sent.bytes >= APPEND_BYTES_MIN {
            let carried = u128::try_from(sent.bytes).unwrap_or(u128::MAX);
            let fitting = carried.saturating_mul(TARGET_SEND_TIME.as_micros()) / took.as_micros();
            let fitting = usize::try_from(fitting).unwrap_or(APPEND_BYTES_MAX);
            self.bytes = self.bytes.min(fitting).max(APPEND_BYTES_MIN);
        } else if is_large && took <= TARGET_SEND_TIME / 2 {
            self.bytes = (self.bytes * 2).min(APPEND_BYTES_MAX);
        }
    }
}
