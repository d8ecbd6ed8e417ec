//! Adaptive limit for the size of one append to the log: what the link has recently carried in 200
//! ms.
//!
//! Everything that waits for the log waits for the append in progress, so a large append on a
//! narrow link delays every start. A smaller one costs one more call.

use std::time::Duration;

/// Target time for sending one append.
const TARGET_SEND_TIME: Duration = Duration::from_millis(200);
/// Lower bound of the limit, in bytes.
pub const APPEND_BYTES_MIN: usize = 16 << 10;
/// Limit before anything is known about the link, in bytes.
const APPEND_BYTES_INITIAL: usize = 64 << 10;
/// Upper bound of the limit, in bytes: with the last record an append stays below the 2 MB that the
/// platform accepts.
pub const APPEND_BYTES_MAX: usize = 512 << 10;
/// How often the timeout of a body is doubled at most once the limit can't shrink any further.
const DOUBLINGS_MAX: u32 = 3;
/// Longest timeout of a body: after an outage, the log would be called again only when it has
/// passed.
const SEND_TIMEOUT_MAX: Duration = Duration::from_secs(4);
/// Size up to which the response time of an append depends on the log alone, in bytes.
const SMALL_APPEND_BYTES: usize = 4 << 10;
/// Divisor for the weight of one response in the smoothed response time of the log.
const LOG_SMOOTHING: u32 = 4;

/// Bytes that the buffers along the connection may hold at once.
const SOCKET_BUFFER_BYTES: usize = 64 << 10;

/// Timeouts for sending a body, on top of the timeout for its answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendTimeout {
    /// Time after the operating system has accepted the whole body; bytes in its buffers count as
    /// accepted.
    pub after_send: Duration,
    /// Time without progress while the body is being sent; the buffers accept it in parts of up to
    /// their own size.
    pub stall: Duration,
}

/// How a body was sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentBody {
    /// Its size in bytes; 0 if there was no connection.
    pub bytes: usize,
    /// Time until the operating system had accepted it.
    pub took: Duration,
    /// Time until the answer arrived, if it did.
    pub answered: Option<Duration>,
}

/// Size limit for the next append, adapted to the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppendLimit {
    bytes: usize,
    /// Appends without an answer since `bytes` reached its lower bound.
    losses: u32,
    /// Smoothed response time of the log for small appends.
    log_latency: Option<Duration>,
}

impl Default for AppendLimit {
    fn default() -> Self {
        AppendLimit { bytes: APPEND_BYTES_INITIAL, losses: 0, log_latency: None }
    }
}

impl AppendLimit {
    /// Limit in bytes: no further record is added to an append that has reached it.
    pub fn bytes(self) -> usize {
        self.bytes
    }

    /// Timeouts for sending a body of this size, estimated from earlier appends.
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

    /// Adapts the limit to how an append was sent.
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
        // Bytes in the buffers along the connection count as sent; only the answer shows that they
        // have passed the link.
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
