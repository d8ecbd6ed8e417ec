//! Round trips to peers, from the time that their connections took to open.
//!
//! A connection that a lost packet or a full link has delayed says little about the path: the estimate of a
//! peer falls at once to the shortest time, and rises by a part of what a connection took longer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The estimates move by this fraction (1/8) of the difference.
const DIVISOR: u32 = 8;

/// Round trips to any number of peers.
#[derive(Clone, Debug, Default)]
pub struct RoundTrips {
    known: HashMap<SocketAddr, Duration>,
    /// Smoothed time of all connections.
    usual: Option<Duration>,
}

impl RoundTrips {
    /// Records that a connection to a peer took `took` to open.
    pub fn record(&mut self, address: SocketAddr, took: Duration) {
        let usual = self.usual.unwrap_or(took);
        self.usual = Some((usual * (DIVISOR - 1) + took) / DIVISOR);
        let known = self.known.entry(address).or_insert(took);
        *known = took.min(*known + took.saturating_sub(*known) / DIVISOR);
    }

    /// Round trip to a peer: its own, else the usual one, else nothing.
    pub fn of(&self, address: SocketAddr) -> Duration {
        self.known.get(&address).copied().or(self.usual).unwrap_or_default()
    }
}
