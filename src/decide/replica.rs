//! Which entries keep a copy of the job log; the others ask them.
//!
//! The load that this answers: whoever follows the job log reads all that the jobs do. With every entry following it,
//! what the log has to answer grows with entries times jobs; past its limit no reading is answered in time, those of
//! the configuration and of the leadership among them. So a bounded number of entries follows it, spread over the data
//! centres, the fittest to lead first, as a leader needs the copy. The leader lists them in its records on the
//! leadership stream, which every entry reads.
//!
//! Where nobody leads and none of those listed can (all may have lost their copies at once), others make a copy by
//! themselves, a few a second.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::decide::executor::ExecutorOffer;

/// Entries that keep a copy, where there are more. What they read of the log does not grow beyond this, and they carry
/// out the leader's starts.
pub const REPLICAS_MAX: usize = 24;
/// Copies in each data centre, however many there are: one may be lost, and the other goes on answering.
const CENTRE_REPLICAS_MIN: usize = 2;
/// Least time between two offers of an entry, in milliseconds.
pub const OFFER_INTERVAL_MS: u64 = 1_200;
/// Part of a second that the leader spends on each entry's offers: it takes 200 a second, however many entries there are.
const OFFER_SPACING_MS: u64 = 5;
/// Offers that may be lost before an entry counts as gone.
const LOST_OFFERS_MAX: u64 = 3;
/// Time for which nobody leads, beyond the silence after which others may claim, until entries without a copy make one,
/// in milliseconds.
const UNLISTED_REPLICA_MS: u64 = 2_000;

/// Entries that keep a copy of the job log, by data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaList {
    /// Their addresses, by data centre.
    pub centres: BTreeMap<Arc<str>, BTreeSet<SocketAddr>>,
    /// Entries that the leader knows, with those that keep none.
    pub entries: u32,
}

impl ReplicaList {
    /// Whether an entry is listed.
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.centres.values().any(|replicas| replicas.contains(&address))
    }

    /// Whether nobody is listed: the leader is of a version that lists none, and every entry keeps a copy.
    pub fn is_empty(&self) -> bool {
        self.centres.values().all(BTreeSet::is_empty)
    }

    /// Adds an entry.
    pub fn add(&mut self, centre: &Arc<str>, address: SocketAddr) {
        self.centres.entry(centre.clone()).or_default().insert(address);
    }

    /// Those that a question is put to, in turn: the ones beside the asking entry first, each time another of them.
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

/// Time between two offers of an entry that keeps no copy, in milliseconds, by how many entries there are.
pub fn offer_interval_ms(entries: u32) -> u64 {
    OFFER_INTERVAL_MS.max(u64::from(entries) * OFFER_SPACING_MS)
}

/// Time without a leader after which an entry that is not listed makes a copy, in milliseconds: spread so that about as
/// many a second do as are needed in all.
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

/// Chooses who keeps a copy, at the leader.
#[derive(Clone, Debug, Default)]
pub struct ReplicaPlanner {
    known: BTreeMap<SocketAddr, KnownEntry>,
    list: ReplicaList,
    started_ms: u64,
}

impl ReplicaPlanner {
    /// One that goes on with what the leader before has listed.
    pub fn resume(list: ReplicaList, now: u64) -> ReplicaPlanner {
        ReplicaPlanner { known: BTreeMap::new(), list, started_ms: now }
    }

    /// The list as it was last planned.
    pub fn list(&self) -> &ReplicaList {
        &self.list
    }

    /// Takes an entry's offer.
    pub fn record_offer(&mut self, offer: &ExecutorOffer, now: u64) {
        let entry = KnownEntry {
            centre: offer.centre.clone(),
            claim_delay_ms: offer.claim_delay_ms,
            has_replica: offer.has_replica,
            offered_ms: now,
        };
        self.known.insert(offer.address, entry);
    }

    /// Who keeps a copy from now on.
    pub fn plan(&mut self, now: u64) -> &ReplicaList {
        let age_max = |gap_ms: u64| LOST_OFFERS_MAX * gap_ms + OFFER_INTERVAL_MS / 3;
        let unlisted_age_max = age_max(offer_interval_ms(self.list.entries));
        self.known.retain(|address, entry| {
            let age = if self.list.contains(*address) {
                age_max(OFFER_INTERVAL_MS)
            } else {
                unlisted_age_max
            };
            now < entry.offered_ms + age
        });
        // Until every entry has had the time for an offer, those that were not heard of are not taken for gone.
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

    /// The fittest entries of each data centre; those that have a copy before others that are as fit.
    fn choose(&self, is_warmed_up: bool) -> Vec<(Arc<str>, SocketAddr)> {
        let mut centres: BTreeMap<&Arc<str>, Vec<(u64, bool, SocketAddr)>> = BTreeMap::new();
        for (address, entry) in &self.known {
            let key = (entry.claim_delay_ms, !entry.has_replica, *address);
            centres.entry(&entry.centre).or_default().push(key);
        }
        let is_small = usize::try_from(self.list.entries).is_ok_and(|all| all <= REPLICAS_MAX);
        let quota = match is_small {
            true => REPLICAS_MAX,
            // A data centre of which nothing was heard yet keeps its part.
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
