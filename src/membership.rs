//! Who this entry is, whether it is on the roster, and how fresh that knowledge is.
//!
//! An entry that was evicted while it was frozen or cut off comes back under a new name: whatever
//! the old name still has in flight belongs to a past that the others have closed.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::time::Instant;

use crate::clock::{ProcessClock, millis, system_ms};
use crate::decide::fleet::AUTONOMY_MS;
use crate::decide::lease::RosterLease;
use crate::decide::roster::{LeaseTimes, Moment};
use crate::name::EntryName;

#[derive(Debug, Default)]
struct MembershipState {
    joined: bool,
    evicted: bool,
    caught_up: bool,
    lease: RosterLease,
}

/// This entry's place in its data centre.
#[derive(Debug)]
pub struct EntryMembership {
    host: String,
    name: ArcSwap<EntryName>,
    times: LeaseTimes,
    stopping: AtomicBool,
    state: Mutex<MembershipState>,
    clock: ProcessClock,
}

impl EntryMembership {
    /// An entry on the VM `host` that has not joined yet.
    pub fn new(host: &str, times: LeaseTimes, clock: ProcessClock) -> Self {
        EntryMembership {
            host: host.to_owned(),
            name: ArcSwap::from_pointee(fresh_name(host)),
            times,
            stopping: AtomicBool::new(false),
            state: Mutex::default(),
            clock,
        }
    }

    /// Its present name.
    pub fn name(&self) -> Arc<EntryName> {
        self.name.load_full()
    }

    /// Takes a new name after an eviction.
    pub fn rename(&self) -> Arc<EntryName> {
        self.name.store(Arc::new(fresh_name(&self.host)));
        *self.lock() = MembershipState::default();
        self.name()
    }

    /// Whether the roster has it.
    pub fn is_joined(&self) -> bool {
        self.lock().joined
    }

    /// Notes whether the roster, as it was last read, has it. An entry that was on it and is not any
    /// more routes nothing from this moment: no drain waits for it.
    pub fn set_on_roster(&self, on_roster: bool) {
        let mut state = self.lock();
        state.evicted |= state.joined && !on_roster;
        state.joined = on_roster;
    }

    /// Whether it was taken off the roster.
    pub fn is_evicted(&self) -> bool {
        self.lock().evicted
    }

    /// Whether the newest read of the log came to its end.
    pub fn is_caught_up(&self) -> bool {
        self.lock().caught_up
    }

    /// Notes whether the newest read of the log came to its end.
    pub fn set_caught_up(&self, caught_up: bool) {
        self.lock().caught_up = caught_up;
    }

    /// Whether it is about to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Notes that it is about to stop.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Notes that a read of the log, asked for at `asked`, showed it on the roster at the end.
    pub fn confirm_by_log(&self, asked: Instant) {
        let asked = self.moment(asked.elapsed());
        self.lock().lease.confirm_by_log(asked);
    }

    /// Notes that a peer, asked at `asked`, knows no newer roster than ours.
    pub fn confirm_by_peer(&self, peer: &EntryName, asked: Instant) {
        let asked = self.moment(asked.elapsed());
        self.lock().lease.confirm_by_peer(peer, asked);
    }

    /// Time since the log last showed it on the roster.
    pub fn log_age(&self) -> Option<Duration> {
        self.lock().lease.log_age(self.moment(Duration::ZERO))
    }

    /// Whether its place on the roster is confirmed; `others` are the roster's other entries.
    pub fn is_fresh<'a>(&self, others: impl Iterator<Item = &'a EntryName>) -> bool {
        let state = self.lock();
        state.joined && state.lease.is_fresh(others, &self.times, self.moment(Duration::ZERO))
    }

    /// Whether it may route: it is on the roster and has heard from the platform or a peer within
    /// its autonomy.
    pub fn may_route(&self) -> bool {
        let state = self.lock();
        let autonomy = Duration::from_millis(AUTONOMY_MS);
        state.joined && state.lease.has_contact_within(autonomy, self.moment(Duration::ZERO))
    }

    /// The process's clock.
    pub fn clock(&self) -> ProcessClock {
        self.clock
    }

    /// The moment `ago` before now, by the steady clock and by the system's.
    fn moment(&self, ago: Duration) -> Moment {
        Moment {
            steady: self.clock.steady().saturating_sub(ago),
            wall_ms: system_ms().saturating_sub(millis(ago)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, MembershipState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn fresh_name(host: &str) -> EntryName {
    EntryName::from(format!("{host}.{:08x}", rand::random::<u32>()).as_str())
}
