//! Chooses which entries keep a replica of the job log; the other entries query them.
//!
//! Following the job log means reading every change of every job. If every entry followed it, the
//! read load of the log would grow with entries times jobs, and beyond the log's limit no read
//! would be answered in time, including those of the configuration and of the leadership. A bounded
//! number of entries therefore follows it. They are spread over the data centres, and the ones best
//! suited to lead come first, because a leader needs the replica. The leader lists them in its
//! records on the leadership stream, which every entry reads.
//!
//! While nobody leads and none of the listed entries can (all may have lost their replicas at
//! once), other entries make replicas by themselves, a few per second.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::decide::executor::ExecutorOffer;

/// Upper bound for replicas. The load of their reads on the log does not grow beyond this, and they
/// carry out the leader's starts.
pub const REPLICAS_MAX: usize = 24;
/// Replicas in each data centre, regardless of the number of data centres: if one is lost, the
/// other goes on answering.
const CENTRE_REPLICAS_MIN: usize = 2;
/// Shortest interval between two offers of an entry, in milliseconds.
pub const OFFER_INTERVAL_MS: u64 = 1_200;
/// Interval between the offers of different entries, in milliseconds: the leader receives 200
/// offers per second however many entries there are.
const OFFER_SPACING_MS: u64 = 5;
/// Offers that may be missed before an entry counts as gone.
const LOST_OFFERS_MAX: u64 = 3;
/// Time without a leader, beyond the renewal timeout, after which entries without a replica make
/// one, in milliseconds.
const UNLISTED_REPLICA_MS: u64 = 2_000;

/// Entries that keep a replica of the job log, by data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaList {
    /// Addresses, by data centre.
    pub centres: BTreeMap<Arc<str>, BTreeSet<SocketAddr>>,
    /// Number of entries that the leader knows, including those without a replica.
    pub entries: u32,
}

impl ReplicaList {
    /// Whether the entry at this address is listed.
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.centres.values().any(|replicas| replicas.contains(&address))
    }

    /// Whether no entry is listed: the leader's version lists none, and every entry keeps a
    /// replica.
    pub fn is_empty(&self) -> bool {
        self.centres.values().all(BTreeSet::is_empty)
    }

    /// Adds an entry.
    pub fn add(&mut self, centre: &Arc<str>, address: SocketAddr) {
        self.centres.entry(centre.clone()).or_default().insert(address);
    }

    /// Order in which an entry in data centre `centre` queries them: first those in its own data
    /// centre. `turn` rotates both groups.
    pub fn query_order(&self, centre: &str, turn: usize) -> Vec<SocketAddr> {
        let rotated = |replicas: Vec<SocketAddr>| {
            let start = turn % replicas.len().max(1);
            let (last, first) = replicas.split_at(start.min(replicas.len()));
            [first, last].concat()
        };
        let ordered = |is_same_centre: bool| {
            let centres =
                self.centres.iter().filter(|(name, _)| (***name == *centre) == is_same_centre);
            rotated(centres.flat_map(|(_, replicas)| replicas.iter().copied()).collect())
        };
        [ordered(true), ordered(false)].concat()
    }
}

/// Interval between two offers of an entry without a replica, in milliseconds, given the number of
/// entries.
pub fn offer_interval_ms(entries: u32) -> u64 {
    OFFER_INTERVAL_MS.max(u64::from(entries) * OFFER_SPACING_MS)
}

/// Time without a leader after which an unlisted entry makes a replica, in milliseconds. It is
/// spread so that about as many entries per second make one as are needed in total.
pub fn unlisted_replica_after_ms(entries: u32, incarnation: u64) -> u64 {
    let spread = u64::from(entries) * 1_000 / REPLICAS_MAX as u64;
    UNLISTED_REPLICA_MS + incarnation % spread.max(1)
}

#[derive(Clone, Debug)]
struct KnownEntry {
    centre: Arc<str>,
    claim_delay_ms: u64,
    has_replica: bool,
    offered_ms: u64,
}

/// Chooses which entries keep a replica; run by the leader.
#[derive(Clone, Debug, Default)]
pub struct ReplicaPlanner {
    known: BTreeMap<SocketAddr, KnownEntry>,
    list: ReplicaList,
    started_ms: u64,
}

impl ReplicaPlanner {
    /// Continues from the list of the previous leader.
    pub fn resume(list: ReplicaList, now: u64) -> ReplicaPlanner {
        ReplicaPlanner { known: BTreeMap::new(), list, started_ms: now }
    }

    /// The list as last planned.
    pub fn list(&self) -> &ReplicaList {
        &self.list
    }

    /// Records an entry's offer.
    pub fn record_offer(&mut self, offer: &ExecutorOffer, now: u64) {
        let entry = KnownEntry {
            centre: offer.centre.clone(),
            claim_delay_ms: offer.claim_delay_ms,
            has_replica: offer.has_replica,
            offered_ms: now,
        };
        self.known.insert(offer.address, entry);
    }

    /// Updates the list of entries that keep a replica from now on.
    pub fn plan(&mut self, now: u64) -> &ReplicaList {
        let age_max = |interval_ms: u64| LOST_OFFERS_MAX * interval_ms + OFFER_INTERVAL_MS / 3;
        let unlisted_age_max = age_max(offer_interval_ms(self.list.entries));
        self.known.retain(|address, entry| {
            let age = if self.list.contains(*address) {
                age_max(OFFER_INTERVAL_MS)
            } else {
                unlisted_age_max
            };
            now < entry.offered_ms + age
        });
        // Until every entry has had time to send an offer, entries without one are not assumed to
        // be gone.
        let is_warmed_up = now >= self.started_ms + unlisted_age_max;
        let count = u32::try_from(self.known.len()).unwrap_or(u32::MAX);
        self.list.entries = if is_warmed_up { count } else { count.max(self.list.entries) };
        let chosen = self.choose(is_warmed_up);
        if is_warmed_up {
            self.list.centres.clear();
        }
        for (centre, address) in chosen {
            self.list.add(&centre, address);
        }
        &self.list
    }

    /// The best suited entries of each data centre; among equals, those that have a replica come
    /// first.
    fn choose(&self, is_warmed_up: bool) -> Vec<(Arc<str>, SocketAddr)> {
        let mut centres: BTreeMap<&Arc<str>, Vec<(u64, bool, SocketAddr)>> = BTreeMap::new();
        for (address, entry) in &self.known {
            let key = (entry.claim_delay_ms, !entry.has_replica, *address);
            centres.entry(&entry.centre).or_default().push(key);
        }
        let is_small = usize::try_from(self.list.entries).is_ok_and(|all| all <= REPLICAS_MAX);
        let quota = match is_small {
            true => REPLICAS_MAX,
            // A data centre without any offers so far keeps its share.
            false => {
                let count = centres.len().max(self.list.centres.len());
                (REPLICAS_MAX / count.max(1)).max(CENTRE_REPLICAS_MIN)
            }
        };
        let listed = |centre: &str| self.list.centres.get(centre).map_or(0, BTreeSet::len);
        let chosen = centres.into_iter().flat_map(|(centre, mut entries)| {
            entries.sort_unstable();
            let quota = if is_warmed_up { quota } else { quota.saturating_sub(listed(centre)) };
            let addresses = entries.into_iter().map(|(_, _, address)| address);
            let others: Vec<SocketAddr> = addresses
                .filter(|address| is_warmed_up || !self.list.contains(*address))
                .take(quota)
                .collect();
            others.into_iter().map(move |address| (centre.clone(), address))
        });
        chosen.collect()
    }
}
