//! The workers that a leader knows, found by id and by pool.
//!
//! Placement looks at the workers of one pool for each waiting step, and at most calls of a worker
//! its state is looked up by id. With ordered trees keyed by string these look-ups took more than a
//! tenth of a busy leader's processor time. So states lie in one vector, a hash table leads from an
//! id to its place, and each pool has the places of its workers in the order of their ids, on which
//! tie-breaking relies.

use std::collections::HashMap;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::jobs::site::WorkerEntry;
use crate::scheduler::worker::WorkerState;

/// Odd, with bits spread evenly: the fraction of the golden ratio.
const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Hash function for short names and ids, with a seed of its own for each table.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NameHashing(u64);

impl Default for NameHashing {
    fn default() -> Self {
        NameHashing(RandomState::new().hash_one(0))
    }
}

impl BuildHasher for NameHashing {
    type Hasher = NameHasher;

    fn build_hasher(&self) -> NameHasher {
        NameHasher(self.0)
    }
}

/// State of the hash function.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NameHasher(u64);

impl Hasher for NameHasher {
    #[inline]
    fn write(&mut self, bytes: &[u8]) {
        self.0 = xxh3_64_with_seed(bytes, self.0);
    }

    // Job ids are chosen by callers: the seed is mixed in before the multiplication, whose halves
    // both count.
    #[inline]
    fn write_u64(&mut self, number: u64) {
        let product = u128::from(number ^ self.0) * u128::from(MULTIPLIER);
        let halves = [product, product >> 64].map(|half| half & u128::from(u64::MAX));
        self.0 =
            halves.into_iter().filter_map(|half| u64::try_from(half).ok()).fold(0, |a, b| a ^ b);
    }

    // A string ends with this byte, which matters only where several are hashed together.
    #[inline]
    fn write_u8(&mut self, byte: u8) {
        self.0 = self.0.rotate_left(8) ^ u64::from(byte);
    }

    fn finish(&self) -> u64 {
        self.0
    }
}

/// A hash table by name.
pub(crate) type NameMap<T> = HashMap<Arc<str>, T, NameHashing>;

/// Workers by id, in the order of their ids.
#[derive(Debug, Default)]
pub(crate) struct WorkerTable {
    states: Vec<Option<WorkerState>>,
    free_places: Vec<usize>,
    place_by_id: NameMap<usize>,
    /// Places of all workers, in the order of their ids.
    ordered: Vec<usize>,
    /// Places of each pool's workers, in the order of their ids.
    pools: NameMap<Vec<usize>>,
}

impl WorkerTable {
    /// Number of workers.
    pub fn len(&self) -> usize {
        self.ordered.len()
    }

    /// Whether a worker is known.
    pub fn contains_key(&self, id: &str) -> bool {
        self.place_by_id.contains_key(id)
    }

    /// A worker.
    pub fn get(&self, id: &str) -> Option<&WorkerState> {
        self.states[*self.place_by_id.get(id)?].as_ref()
    }

    /// A worker, to be changed; its entry is changed by [`WorkerTable::set_entry`] only.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut WorkerState> {
        self.states[*self.place_by_id.get(id)?].as_mut()
    }

    /// Ids, in order.
    pub fn keys(&self) -> impl Iterator<Item = &Arc<str>> {
        self.values().map(|worker| &worker.entry.id)
    }

    /// Workers, in the order of their ids.
    pub fn values(&self) -> impl Iterator<Item = &WorkerState> {
        self.ordered.iter().filter_map(|place| self.states[*place].as_ref())
    }

    /// Ids and workers, in the order of the ids.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &WorkerState)> {
        self.values().map(|worker| (&worker.entry.id, worker))
    }

    /// Workers in no certain order, to be changed; their entries stay as they are.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut WorkerState> {
        self.states.iter_mut().flatten()
    }

    /// Workers of a pool, in the order of their ids.
    pub fn pool(&self, service: &str) -> impl Iterator<Item = (&Arc<str>, &WorkerState)> {
        let places = self.pools.get(service).map_or(&[][..], |places| places);
        let workers = places.iter().filter_map(|place| self.states[*place].as_ref());
        workers.map(|worker| (&worker.entry.id, worker))
    }

    /// Pools with workers.
    pub fn pool_names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.pools.keys()
    }

    /// Adds a worker in place of one of the same id.
    pub fn insert(&mut self, worker: WorkerState) {
        let (id, service) = (worker.entry.id.clone(), worker.entry.service.clone());
        self.remove(&id);
        let place = self.free_places.pop().unwrap_or(self.states.len());
        match self.states.get_mut(place) {
            Some(state) => *state = Some(worker),
            None => self.states.push(Some(worker)),
        }
        self.place_by_id.insert(id, place);
        let position = self.position(&self.ordered, place);
        self.ordered.insert(position, place);
        self.join_pool(place, service);
    }

    /// The worker of this id, to be changed; a new one if there is none.
    pub fn get_or_insert_with(
        &mut self,
        id: &Arc<str>,
        worker: impl FnOnce() -> WorkerState,
    ) -> Option<&mut WorkerState> {
        if !self.contains_key(id) {
            self.insert(worker());
        }
        self.get_mut(id)
    }

    /// Removes a worker.
    pub fn remove(&mut self, id: &str) -> Option<WorkerState> {
        let place = self.place_by_id.remove(id)?;
        self.ordered.retain(|other| *other != place);
        self.leave_pool(place);
        self.free_places.push(place);
        self.states[place].take()
    }

    /// Replaces the entry of a worker, which may be in another pool now.
    pub fn set_entry(&mut self, entry: WorkerEntry) {
        let Some(place) = self.place_by_id.get(&entry.id).copied() else { return };
        let service = entry.service.clone();
        let Some(worker) = self.states[place].as_ref() else { return };
        let has_moved = worker.entry.service != service;
        if has_moved {
            self.leave_pool(place);
        }
        if let Some(worker) = self.states[place].as_mut() {
            worker.entry = entry;
        }
        if has_moved {
            self.join_pool(place, service);
        }
    }

    /// Where a worker belongs among others that are in the order of their ids.
    fn position(&self, others: &[usize], place: usize) -> usize {
        let id = |place: usize| self.states[place].as_ref().map(|worker| &worker.entry.id);
        others.partition_point(|other| id(*other) < id(place))
    }

    fn join_pool(&mut self, place: usize, service: Arc<str>) {
        let members = self.pools.get(&service).map_or(&[][..], |places| places);
        let position = self.position(members, place);
        self.pools.entry(service).or_default().insert(position, place);
    }

    fn leave_pool(&mut self, place: usize) {
        let Some(worker) = self.states[place].as_ref() else { return };
        let service = &worker.entry.service;
        if let Some(places) = self.pools.get_mut(service) {
            places.retain(|other| *other != place);
            if places.is_empty() {
                self.pools.remove(service);
            }
        }
    }
}
