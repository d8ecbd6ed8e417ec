//! The time of a process: a steady clock for waits and a wall clock that never steps.
//!
//! Both run on the runtime's clock, so tests that pause and advance it move both. The wall clock is
//! read once, at the start; a step of the system's clock later on changes neither.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

use crate::decide::roster::Moment;

/// Time since the start of the process, and milliseconds since the epoch.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    started: Instant,
    started_wall_ms: u64,
}

impl ProcessClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        ProcessClock { started: Instant::now(), started_wall_ms: system_ms() }
    }

    /// Time since the start.
    pub fn steady(&self) -> Duration {
        self.started.elapsed()
    }

    /// Time since the start, in milliseconds.
    pub fn steady_ms(&self) -> u64 {
        millis(self.steady())
    }

    /// Milliseconds since the epoch.
    pub fn wall_ms(&self) -> u64 {
        self.started_wall_ms + self.steady_ms()
    }

    /// Both at once.
    pub fn moment(&self) -> Moment {
        Moment { steady: self.steady(), wall_ms: self.wall_ms() }
    }
}

/// The system's wall clock, in milliseconds since the epoch.
pub fn system_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, millis)
}

/// A time in milliseconds.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
