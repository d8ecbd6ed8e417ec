//! Which entry owns an idempotency key, and since when.
//!
//! Inside its home data centre, a key is owned by one entry of the roster, chosen by the highest
//! random weight (rendezvous hashing): a change of the roster moves only the keys of the entry that
//! joined or left. This alone does not make ownership exclusive. Three waits do:
//!
//! * An owner that is still running hands its outcomes over; until then the next owner refuses the
//!   key.
//! * An evicted owner may run keys until its lease expires. The next owner waits for that, and then
//!   answers `Unknown` for every key minted earlier instead of running it.
//! * An evicted owner that has never shown that it knows this entry does not ask it for
//!   confirmations. This entry then waits out the longest time that an owner may act without the
//!   platform.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::name::EntryName;

/// Rosters kept to find earlier owners. If more changes fall within a key's window, older ones are
/// not tracked and their keys are refused.
const ROSTERS_KEPT: usize = 64;

/// The entry that owns a key, given the entries of a roster.
pub fn owner<'a>(
    key: &[u8],
    roster: impl IntoIterator<Item = &'a EntryName>,
) -> Option<&'a EntryName> {
    let seed = |entry: &EntryName| xxh3_64_with_seed(entry.as_str().as_bytes(), 0);
    roster.into_iter().max_by_key(|entry| (xxh3_64_with_seed(key, seed(entry)), *entry))
}

/// Home of a key that names none: one of the document's data centres, chosen by hash.
pub fn home<'a, N>(key: &[u8], centres: &'a [N]) -> Option<&'a N> {
    let count = u64::try_from(centres.len()).ok().filter(|count| *count > 0)?;
    usize::try_from(xxh3_64_with_seed(key, 0) % count).ok().and_then(|index| centres.get(index))
}

/// Times that bound ownership.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTimes {
    /// Age up to which a confirmation of the roster is valid.
    pub lease: Duration,
    /// Margin for clocks that run at different speeds, and for differences between wall clocks.
    pub skew: Duration,
    /// Longest time that an owner acts without hearing from the platform.
    pub autonomy: Duration,
}

/// What an entry knows about an earlier owner of its keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FormerOwner {
    /// It has not handed over yet.
    Awaited,
    /// It handed over; keys minted before `floor_ms` may have run elsewhere earlier.
    HandedOver { floor_ms: u64 },
    /// It was evicted: it runs no key after `stopped`, and none that was minted at or after
    /// `floor_ms`.
    Evicted { stopped: Duration, floor_ms: u64 },
}

/// A roster that this entry has adopted.
#[derive(Clone, Debug)]
struct AdoptedRoster {
    epoch: u64,
    entries: BTreeSet<EntryName>,
}

/// What an entry may do with a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyRight {
    /// It owns the key: look it up, and run it if it is new and was minted at or after `floor_ms`.
    Own {
        /// Wall clock in milliseconds; an unknown key minted earlier may have run.
        floor_ms: u64,
    },
    /// An earlier owner may still run it.
    Wait,
    /// Another entry owns it.
    Other,
}

/// A point in time on this VM's steady clock and on its wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// Steady clock: time since the process started.
    pub steady: Duration,
    /// Wall clock: milliseconds since the epoch.
    pub wall_ms: u64,
}

/// The part of the fleet state that ownership of keys depends on.
#[derive(Clone, Debug, Default)]
pub struct RosterView {
    /// Offset of the record that created this roster.
    pub epoch: u64,
    /// Entries, with the offsets of their joins.
    pub entries: BTreeMap<EntryName, u64>,
    /// Recently evicted entries, with the wall clock of the eviction in milliseconds. An entry that
    /// is in neither map any more has left in an orderly way.
    pub evicted: BTreeMap<EntryName, u64>,
    /// The first entry that ever joined.
    pub first: Option<EntryName>,
}

/// Tracks which keys this entry owns: the rosters it has adopted, and what it knows about earlier
/// owners.
#[derive(Debug)]
pub struct KeyOwnership {
    own_name: EntryName,
    times: LeaseTimes,
    rosters: VecDeque<AdoptedRoster>,
    /// Entries that had joined earlier than this one: they may have run keys that are now its own.
    at_join: BTreeMap<EntryName, FormerOwner>,
    /// Entries that have left since: their keys may now belong to this entry.
    departed: BTreeMap<EntryName, FormerOwner>,
    /// Entries that have shown that they know this entry, so that their leases need its
    /// confirmation.
    aware_peers: BTreeSet<EntryName>,
    /// Keys minted earlier had no owner that this entry could ask.
    first_floor_ms: u64,
}

impl KeyOwnership {
    /// Starts without a roster; owns nothing.
    pub fn new(own_name: EntryName, times: LeaseTimes) -> Self {
        KeyOwnership {
            own_name,
            times,
            rosters: VecDeque::new(),
            at_join: BTreeMap::new(),
            departed: BTreeMap::new(),
            aware_peers: BTreeSet::new(),
            first_floor_ms: 0,
        }
    }

    /// Epoch of the newest roster.
    pub fn epoch(&self) -> Option<u64> {
        self.rosters.back().map(|roster| roster.epoch)
    }

    /// Entries of the newest roster other than this one.
    pub fn others(&self) -> impl Iterator<Item = &EntryName> {
        let newest = self.rosters.back().map(|roster| roster.entries.iter());
        newest.into_iter().flatten().filter(|entry| **entry != self.own_name)
    }

    /// Adopts a roster if it is newer; returns whether it was.
    pub fn adopt(&mut self, roster: &RosterView, now: Moment) -> bool {
        let Some(joined) = roster.entries.get(&self.own_name) else { return false };
        if self.epoch().is_some_and(|newest| newest >= roster.epoch) {
            return false;
        }
        let entries: BTreeSet<EntryName> = roster.entries.keys().cloned().collect();
        match self.rosters.back() {
            None => self.record_join(roster, *joined, now),
            Some(newest) => {
                let removed: Vec<EntryName> =
                    newest.entries.difference(&entries).cloned().collect();
                for entry in &removed {
                    self.record_departure(entry, roster.evicted.get(entry).copied(), now);
                }
            }
        }
        self.rosters.push_back(AdoptedRoster { epoch: roster.epoch, entries });
        if self.rosters.len() > ROSTERS_KEPT {
            self.rosters.pop_front();
        }
        true
    }

    /// Entries that joined earlier may have run keys that this entry owns now; entries that joined
    /// later have not.
    fn record_join(&mut self, roster: &RosterView, joined: u64, now: Moment) {
        let is_first = roster.first.as_ref() == Some(&self.own_name);
        self.first_floor_ms = if is_first { 0 } else { now.wall_ms + millis(self.times.skew) };
        for (entry, _) in roster.entries.iter().filter(|(_, other)| **other < joined) {
            self.at_join.insert(entry.clone(), FormerOwner::Awaited);
        }
        for (entry, at_ms) in &roster.evicted {
            self.at_join.insert(entry.clone(), self.eviction(entry, *at_ms, now));
        }
    }

    fn record_departure(&mut self, entry: &EntryName, evicted_ms: Option<u64>, now: Moment) {
        // It stopped before it wrote its leave; without its last hand-over its outcomes are lost.
        let left = FormerOwner::HandedOver { floor_ms: now.wall_ms + millis(self.times.skew) };
        let end = evicted_ms.map_or(left, |at_ms| self.eviction(entry, at_ms, now));
        if self.at_join.get(entry) == Some(&FormerOwner::Awaited) {
            self.at_join.insert(entry.clone(), end);
        }
        self.departed.entry(entry.clone()).or_insert(end);
    }

    /// An entry that knows this one needs its confirmation to renew the lease and no longer gets
    /// it, so it stops within one lease. One that may not know this entry goes on until its
    /// autonomy ends.
    fn eviction(&self, entry: &EntryName, evicted_ms: u64, now: Moment) -> FormerOwner {
        let wait = if self.aware_peers.contains(entry) {
            self.times.lease + self.times.skew
        } else {
            let over_ms = evicted_ms + millis(self.times.autonomy + self.times.skew);
            Duration::from_millis(over_ms.saturating_sub(now.wall_ms))
        };
        let floor_ms = now.wall_ms + millis(wait + self.times.skew);
        FormerOwner::Evicted { stopped: now.steady + wait, floor_ms }
    }

    /// Records that an entry has shown that it knows this one.
    pub fn mark_aware(&mut self, entry: &EntryName) {
        self.aware_peers.insert(entry.clone());
    }

    /// Records a hand-over: neither `from` nor any of `retired`, whose leases needed its
    /// confirmation, runs keys of this entry any more. The last hand-over comes before a planned
    /// stop.
    pub fn record_hand_over(&mut self, notice: &HandOverNotice<'_>) {
        self.mark_aware(notice.from);
        let state = FormerOwner::HandedOver { floor_ms: notice.floor_ms };
        if let Some(awaited) = self.at_join.get_mut(notice.from)
            && *awaited == FormerOwner::Awaited
        {
            *awaited = state;
        }
        if notice.last {
            self.departed.insert(notice.from.clone(), state);
        }
        for entry in notice.retired {
            for map in [&mut self.at_join, &mut self.departed] {
                if matches!(map.get(entry), Some(FormerOwner::Evicted { .. })) {
                    map.insert(entry.clone(), state);
                }
            }
        }
    }

    /// Whether this entry may hand over: all entries that joined earlier have handed over to it,
    /// and every evicted entry that asked for its confirmation has stopped.
    pub fn may_hand_over(&self, now: Duration) -> bool {
        let awaited = self.at_join.values().any(|state| *state == FormerOwner::Awaited);
        !awaited
            && self.departed.iter().all(|(entry, state)| match state {
                FormerOwner::Evicted { stopped, .. } => {
                    !self.aware_peers.contains(entry) || *stopped <= now
                }
                FormerOwner::Awaited | FormerOwner::HandedOver { .. } => true,
            })
    }

    /// Entry that owns a key by the newest roster.
    pub fn owner(&self, key: &[u8]) -> Option<&EntryName> {
        self.rosters.back().and_then(|roster| owner(key, &roster.entries))
    }

    /// Evicted entries that asked for this entry's confirmation and have therefore stopped.
    pub fn retired(&self, now: Duration) -> Vec<EntryName> {
        let evicted = self.departed.iter().filter(|(entry, state)| {
            let stopped = match state {
                FormerOwner::Evicted { stopped, .. } => *stopped <= now,
                FormerOwner::Awaited | FormerOwner::HandedOver { .. } => false,
            };
            stopped && self.aware_peers.contains(*entry)
        });
        evicted.map(|(entry, _)| entry.clone()).collect()
    }

    /// Floor to send with a hand-over: unknown keys minted earlier may have run. Evicted entries
    /// that may still run keys are left out, because the next owner tracks them itself.
    pub fn floor_ms(&self, now: Duration) -> u64 {
        let states = self.at_join.values().chain(self.departed.values());
        let ended = states.filter(
            |state| !matches!(state, FormerOwner::Evicted { stopped, .. } if *stopped > now),
        );
        let floors = ended.filter_map(|state| state.floor_ms());
        let alone = self.has_no_hand_over().then_some(self.first_floor_ms);
        floors.chain(alone).max().unwrap_or(0)
    }

    /// What this entry may do with a key at `now`.
    pub fn right(&self, key: &[u8], now: Duration) -> KeyRight {
        let Some(newest) = self.rosters.back() else { return KeyRight::Wait };
        if owner(key, &newest.entries) != Some(&self.own_name) {
            return KeyRight::Other;
        }
        // Entries that joined earlier may still act on a roster without this entry. The same holds
        // for keys that came from another owner since, because that owner may have been waiting as
        // well.
        let mut former: Vec<&FormerOwner> = self.at_join.values().collect();
        // Several changes may be read at once, so a key may have passed through owners that no
        // adopted roster shows. Each of them was on one, or is waiting for this entry's hand-over.
        let owners = self.rosters.iter().filter_map(|roster| owner(key, &roster.entries));
        if owners.into_iter().any(|entry| *entry != self.own_name) {
            former.extend(self.departed.values());
        }
        let floor = if self.has_no_hand_over() { self.first_floor_ms } else { 0 };
        strictest_right(&former, floor, now)
    }

    fn has_no_hand_over(&self) -> bool {
        !self.at_join.values().any(|state| matches!(state, FormerOwner::HandedOver { .. }))
    }
}

/// Combines the restrictions that all former owners impose.
fn strictest_right(former: &[&FormerOwner], floor_ms: u64, now: Duration) -> KeyRight {
    let mut floor = floor_ms;
    for state in former {
        match state {
            FormerOwner::Awaited => return KeyRight::Wait,
            FormerOwner::Evicted { stopped, .. } if now < *stopped => return KeyRight::Wait,
            state => floor = floor.max(state.floor_ms().unwrap_or(0)),
        }
    }
    KeyRight::Own { floor_ms: floor }
}

/// Contents of a hand-over besides the outcomes.
#[derive(Clone, Copy, Debug)]
pub struct HandOverNotice<'a> {
    /// Entry that hands over.
    pub from: &'a EntryName,
    /// Unknown keys minted earlier may have run.
    pub floor_ms: u64,
    /// Evicted entries that have stopped.
    pub retired: &'a [EntryName],
    /// Whether `from` is about to leave.
    pub last: bool,
}

impl FormerOwner {
    fn floor_ms(&self) -> Option<u64> {
        match self {
            FormerOwner::Awaited => None,
            FormerOwner::HandedOver { floor_ms } | FormerOwner::Evicted { floor_ms, .. } => {
                Some(*floor_ms)
            }
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
