//! Who this entry is, whether it is on the roster, and how fresh that knowledge is.
//!
//! An entry that was evicted while it was frozen or cut off comes back under a new name: whatever
//! the old name still has in flight belongs to a past that the others have closed.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::time::Instant;

use crate::clock::{ProcessClock, millis, system_ms};
use crate::decide::fleet::AUTONOMY_MS;
use crate::decide::roster::LeaseTimes;
use crate::name::EntryName;

/// Difference between the steady clock and the system's that gives a pause away, in milliseconds.
const PAUSE_MS: u64 = 1_000;

/// When something was confirmed, on both clocks.
#[derive(Clone, Copy, Debug)]
struct Confirmation {
    steady: Instant,
    system_ms: u64,
}

#[derive(Debug, Default)]
struct MembershipState {
    joined: bool,
    caught_up: bool,
    log: Option<Confirmation>,
    peers: HashMap<EntryName, Confirmation>,
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

    /// Notes whether the roster has it.
    pub fn set_joined(&self, joined: bool) {
        self.lock().joined = joined;
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
        self.lock().log = Some(self.confirmation(asked));
    }

    /// Notes that a peer, asked at `asked`, knows no newer roster than ours.
    pub fn confirm_by_peer(&self, peer: &EntryName, asked: Instant) {
        let confirmation = self.confirmation(asked);
        self.lock().peers.insert(peer.clone(), confirmation);
    }

    /// Time since the log last showed it on the roster.
    pub fn log_age(&self) -> Option<Duration> {
        self.lock().log.map(|log| log.age())
    }

    /// Whether no roster without us can be in force that others act on: the log has shown ours
    /// within the lease, or all others of the roster have said so. A roster can change only through
    /// the log, and whoever takes over waits for our lease; the one who wrote the change is one of
    /// `others`, or waits for our autonomy to be over.
    pub fn is_fresh<'a>(&self, mut others: impl Iterator<Item = &'a EntryName>) -> bool {
        let state = self.lock();
        let within = |confirmation: Option<&Confirmation>, time: Duration| {
            confirmation.is_some_and(|confirmation| confirmation.age() < time)
        };
        if !state.joined {
            return false;
        }
        within(state.log.as_ref(), self.times.lease)
            || within(state.log.as_ref(), self.times.autonomy)
                && others.all(|other| within(state.peers.get(other), self.times.lease))
    }

    /// Whether it may route: it is on the roster and has heard from the platform or a peer within
    /// its autonomy.
    pub fn may_route(&self) -> bool {
        let state = self.lock();
        let mut heard = state.log.iter().chain(state.peers.values());
        let autonomy = Duration::from_millis(AUTONOMY_MS);
        state.joined && heard.any(|heard| heard.age() < autonomy)
    }

    /// A wait on both clocks counts from when the question was asked.
    fn confirmation(&self, asked: Instant) -> Confirmation {
        Confirmation {
            steady: asked,
            system_ms: system_ms().saturating_sub(millis(asked.elapsed())),
        }
    }

    /// The process's clock.
    pub fn clock(&self) -> ProcessClock {
        self.clock
    }

    fn lock(&self) -> MutexGuard<'_, MembershipState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Confirmation {
    /// Age by the slower of two clocks would let a paused VM act on a lease that is over: its
    /// steady clock may stand still while the others' go on. The system's clock gives that away.
    fn age(&self) -> Duration {
        let steady = self.steady.elapsed();
        let system = Duration::from_millis(system_ms().saturating_sub(self.system_ms));
        if millis(system) > millis(steady) + PAUSE_MS { system } else { steady }
    }
}

fn fresh_name(host: &str) -> EntryName {
    EntryName::from(format!("{host}.{:08x}", rand::random::<u32>()).as_str())
}
