//! The time of a process: a steady clock for waits and a wall clock that never steps.
//!
//! Both run on the runtime's clock, so tests that pause and advance it move both. The wall clock is
//! read once, at the start; a step of the system's clock later on changes neither. The runtime's clock
//! stands still while the VM is suspended, so that time is added: others' clocks go on meanwhile, and
//! what a process was sure of before may be long over when it wakes.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

use crate::decide::roster::Moment;

/// Time since the start of the process, and milliseconds since the epoch.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    started: Instant,
    started_wall_ms: u64,
    started_suspended: Duration,
}

impl ProcessClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        ProcessClock {
            started: Instant::now(),
            started_wall_ms: system_ms(),
            started_suspended: suspended(),
        }
    }

    /// Time since the start, suspensions of the VM included.
    ///
    /// Without them a leader whose VM was suspended would think itself confirmed for as long again
    /// when it wakes, and command VMs that its successor has in hand.
    pub fn steady(&self) -> Duration {
        self.started.elapsed() + suspended().saturating_sub(self.started_suspended)
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

/// Longest suspension that was read so far, in milliseconds: a read that was held up between its two
/// halves shows too little, and time must not step back.
static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);

/// Time that this VM has been suspended since it booted; nothing where the system has no such clock,
/// as the runtime's clock is then all there is.
fn suspended() -> Duration {
    let read = |id| clock_gettime(id).map(Duration::from).unwrap_or_default();
    let whole = read(ClockId::CLOCK_BOOTTIME);
    let awake = read(ClockId::CLOCK_MONOTONIC);
    let read_ms = millis(whole.saturating_sub(awake));
    let before_ms = SUSPENDED_MS.fetch_max(read_ms, Ordering::Relaxed);
    Duration::from_millis(read_ms.max(before_ms))
}

/// The system's wall clock, in milliseconds since the epoch.
pub fn system_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, millis)
}

/// A time in milliseconds.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
