//! The lease on which an entry goes on acting by what it last knew.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::decide::roster::{LeaseTimes, Moment};
use crate::name::EntryName;

/// Difference between the steady clock and the system's that gives a pause away, in milliseconds.
const PAUSE_DETECTION_MS: u64 = 1_000;

/// Who has confirmed an entry's place on the roster, and when it was asked.
#[derive(Clone, Debug, Default)]
pub struct RosterLease {
    log: Option<Moment>,
    peers: BTreeMap<EntryName, Moment>,
}

impl RosterLease {
    /// Notes that a read of the log, asked for at `asked`, showed the place at the log's end.
    pub fn confirm_by_log(&mut self, asked: Moment) {
        self.log = Some(asked);
    }

    /// Notes that a peer, asked at `asked`, knows no newer roster than ours.
    pub fn confirm_by_peer(&mut self, peer: &EntryName, asked: Moment) {
        self.peers.insert(peer.clone(), asked);
    }

    /// Time since the log confirmed the place.
    pub fn log_age(&self, now: Moment) -> Option<Duration> {
        self.log.map(|asked| age(asked, now))
    }

    /// Whether no roster without us can be in force that others act on: the log has shown ours
    /// within the lease, or all others of the roster have said so. A roster can change only through
    /// the log, and whoever takes over waits for our lease; the one who wrote the change is one of
    /// `others`, or waits for our autonomy to be over.
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

    /// Whether the platform or a peer was heard within `time`.
    pub fn has_contact_within(&self, time: Duration, now: Moment) -> bool {
        self.log.iter().chain(self.peers.values()).any(|asked| age(*asked, now) < time)
    }
}

/// Age by the slower of two clocks would let a paused VM act on a lease that is over: its steady
/// clock may stand still while the others' go on. The system's clock gives that away.
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
