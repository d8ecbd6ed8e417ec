//! The lease under which an entry goes on acting on the last roster that it has read.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::decide::roster::{LeaseTimes, Moment};
use crate::name::EntryName;

/// Lead of the wall clock over the steady clock that reveals a pause of the VM, in milliseconds.
const PAUSE_DETECTION_MS: u64 = 1_000;

/// Who has confirmed that an entry is on the roster, and when each of them was asked.
#[derive(Clone, Debug, Default)]
pub struct RosterLease {
    log: Option<Moment>,
    peers: BTreeMap<EntryName, Moment>,
}

impl RosterLease {
    /// Records that a read of the log, requested at `asked`, reached the end of the log with the
    /// entry on the roster.
    pub fn confirm_by_log(&mut self, asked: Moment) {
        self.log = Some(asked);
    }

    /// Records that a peer, asked at `asked`, knows no newer roster than this entry does.
    pub fn confirm_by_peer(&mut self, peer: &EntryName, asked: Moment) {
        self.peers.insert(peer.clone(), asked);
    }

    /// Time since the log last confirmed the entry's place on the roster.
    pub fn log_age(&self, now: Moment) -> Option<Duration> {
        self.log.map(|asked| age(asked, now))
    }

    /// Whether no other entry can be acting on a roster without this one: within the lease, either
    /// the log has shown this entry on the roster or all other entries of the roster have confirmed
    /// it. A roster changes only through the log, and whoever takes over waits for this entry's
    /// lease. The steward that wrote the change is one of `others`, or waits until this entry's
    /// autonomy has ended.
    pub fn is_fresh<'a>(
        &self,
        mut others: impl Iterator<Item = &'a EntryName>,
        times: &LeaseTimes,
        now: Moment,
    ) -> bool {
        let within =
            |asked: Option<&Moment>, time| asked.is_some_and(|asked| age(*asked, now) < time);
        within(self.log.as_ref(), times.lease)
            || within(self.log.as_ref(), times.autonomy)
                && others.all(|other| within(self.peers.get(other), times.lease))
    }

    /// Whether the platform or a peer has answered within `time`.
    pub fn has_contact_within(&self, time: Duration, now: Moment) -> bool {
        self.log.iter().chain(self.peers.values()).any(|asked| age(*asked, now) < time)
    }
}

/// The steady clock of a paused VM may stand still while other clocks go on, so an age by the
/// steady clock alone would let the VM act on an expired lease. The wall clock reveals the pause.
fn age(asked: Moment, now: Moment) -> Duration {
    let steady = now.steady.saturating_sub(asked.steady);
    let system_ms = now.wall_ms.saturating_sub(asked.wall_ms);
    let steady_ms = u64::try_from(steady.as_millis()).unwrap_or(u64::MAX);
    if system_ms > steady_ms + PAUSE_DETECTION_MS {
        Duration::from_millis(system_ms)
    } else {
        steady
    }
}
