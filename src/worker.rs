//! What a worker says about itself.
//!
//! The brief leaves open how a worker says busy or leaving, how it is probed, and what "guards on"
//! means. This module holds the assumption, so that another answer changes one file:
//!
//! * `GET /worker` answers with [`WorkerReport`] as JSON, on any connection, without taking a slot.
//! * A request that was not started is answered 503 with the header `x-worker-refused` saying why.
//!   Any other answer means that the request was run. This is the guard: a worker never starts more
//!   than its slots allow, and never accepts more than its connections allow.
//! * A worker that is told to reboot says `leaving`, finishes what it runs, then goes down.

use std::time::Duration;

use http::{HeaderMap, StatusCode};
use serde::{Deserialize, Serialize};

use crate::decide::retry::NotRunReason;

/// Path of a worker's report on itself.
pub const REPORT_PATH: &str = "/worker";
/// Header of an answer that says that the request was not run.
pub const REFUSED_HEADER: &str = "x-worker-refused";
/// Header that tells the worker how many milliseconds the caller still waits.
pub const TIME_LEFT_HEADER: &str = "x-time-limit-ms";
/// Largest report that is read, in bytes.
pub const REPORT_BYTES_MAX: usize = 4_096;
/// Time for which a worker that said busy is passed over.
pub const BUSY_PAUSE: Duration = Duration::from_millis(5);

/// A worker's report on itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Drawn anew at each start.
    pub boot: u64,
    /// Whether it finishes what it has and takes nothing new.
    pub leaving: bool,
    /// Requests that it runs now, for all entries.
    pub running: u32,
}

/// Why a worker did not run a request; none if it did.
pub fn refusal(status: StatusCode, headers: &HeaderMap) -> Option<NotRunReason> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    match headers.get(REFUSED_HEADER)?.as_bytes() {
        b"leaving" => Some(NotRunReason::Leaving),
        _ => Some(NotRunReason::Busy),
    }
}

/// Whether an answer counts as the worker's failure.
pub fn is_failure(status: StatusCode) -> bool {
    status.is_server_error()
}
