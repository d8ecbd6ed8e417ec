//! Which callers' connections and bodies an entry keeps, and which give way.
//!
//! One table has a place for each connection and each body. A place holds bytes as they arrive, and
//! whoever asks for more than is left displaces the place whose last progress is the longest ago. A
//! newcomer has just made progress, so stalled clients can't keep it out, however fast they open
//! again. Nobody waits for bytes while it holds some: a place that finds none to displace is refused.
//!
//! A body that is whole is settled: it holds its bytes until its job is stored or dropped, and is no
//! longer displaced. Large settled bodies take half of the bytes at most.

use std::collections::{BTreeSet, HashMap};

/// Bytes that count as progress of a connection or body.
pub const PROGRESS_BYTES: usize = 8 << 10;
/// Largest body or job that is ordinary, in bytes.
pub const ORDINARY_BYTES: usize = 16 << 10;
/// Largest place of an ordinary body, with its buffers and the head of its request, in bytes. A part
/// of the account is left to such places.
pub const ORDINARY_PLACE_BYTES: usize = 64 << 10;
/// Part of the account, as a divisor, that only ordinary places may take.
const ORDINARY_DIVISOR: usize = 8;
/// Part of the account, as a divisor, that large settled bodies may take.
const SETTLED_DIVISOR: usize = 2;

/// Descriptors that a process needs for files.
const FILE_DESCRIPTORS: usize = 200;
/// Part of all other descriptors, as a divisor, that is for callers. The leader of a large fleet has
/// several connections to each worker.
const CALLER_DIVISOR: usize = 4;
/// Part of the memory, as a divisor, for connections as such, and for the bytes that they bring. Buffers
/// that come and go in all sizes take up to half as much again from the system.
const CONNECTION_MEMORY_DIVISOR: usize = 8;
const BYTE_MEMORY_DIVISOR: usize = 6;
/// Part of the memory, as a divisor, for accepted jobs, for the large ones of them or for answers that
/// are kept, and for submissions that wait for the log in one queue.
const KEPT_MEMORY_DIVISOR: usize = 4;
const KEPT_LARGE_MEMORY_DIVISOR: usize = 8;
const WAITING_MEMORY_DIVISOR: usize = 16;
/// Most bytes of accepted jobs, whatever the memory: replicas may have less than the entry that accepts.
const KEPT_BYTES_MAX: usize = 64 << 20;
/// Memory of a connection beside what the account counts, in bytes: 14 KB as it is opened, later two
/// buffers through which bodies are read.
const CONNECTION_BYTES: usize = 64 << 10;
/// Least number of connections, and of bytes.
const CONNECTIONS_MIN: usize = 16;
const BYTES_MIN: usize = 4 << 20;
/// Least bytes in largest bodies, each with its buffers: a single one must find room beside others. They
/// take this part of the memory at most, as a divisor.
const BODIES_MIN: usize = 8;
const LEAST_MEMORY_DIVISOR: usize = 4;
/// Part of the memory, as a divisor, that the account leaves free beside what the process uses.
const SPARE_DIVISOR: usize = 8;

/// Memory and descriptors of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory, in bytes.
    pub memory: usize,
    /// Descriptors.
    pub descriptors: usize,
}

impl ProcessLimits {
    /// Connections of callers that may be open at a time; the other descriptors are left for the
    /// log, workers, other entries and probes.
    pub fn connections(&self) -> usize {
        let by_descriptors = self.descriptors.saturating_sub(FILE_DESCRIPTORS) / CALLER_DIVISOR;
        let by_memory = self.memory / CONNECTION_MEMORY_DIVISOR / CONNECTION_BYTES;
        by_descriptors.min(by_memory).max(CONNECTIONS_MIN)
    }

    /// Bytes that accepted jobs may take.
    pub fn kept_jobs(&self) -> KeptBytes {
        let memory = self.memory.min(KEPT_BYTES_MAX * KEPT_MEMORY_DIVISOR);
        KeptBytes { all: memory / KEPT_MEMORY_DIVISOR, large: memory / KEPT_LARGE_MEMORY_DIVISOR }
    }

    /// Bytes of answers that may be kept for idempotency keys.
    pub fn kept_answers(&self) -> usize {
        self.memory / KEPT_LARGE_MEMORY_DIVISOR
    }

    /// Bytes of submissions that may wait for the log in one queue.
    pub fn waiting_jobs(&self) -> usize {
        self.memory / WAITING_MEMORY_DIVISOR
    }

    /// Bytes that callers may make the process hold while it uses `resident` bytes, `held` of them
    /// for callers, and a body may have `body_max`.
    pub fn bytes(&self, resident: usize, held: usize, body_max: usize) -> usize {
        let spare = self.memory / SPARE_DIVISOR;
        let own = resident.saturating_sub(held);
        let left = self.memory.saturating_sub(own + spare);
        let most = self.memory / LEAST_MEMORY_DIVISOR;
        let least = body_max.saturating_mul(BODIES_MIN).min(most).max(BYTES_MIN);
        left.min(self.memory / BYTE_MEMORY_DIVISOR).max(least)
    }
}

/// Memory that jobs take, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeptBytes {
    /// All jobs.
    pub all: usize,
    /// Those that are larger than ordinary ones.
    pub large: usize,
}

impl KeptBytes {
    /// What is left beside `taken`.
    pub fn left(self, taken: KeptBytes) -> KeptBytes {
        KeptBytes {
            all: self.all.saturating_sub(taken.all),
            large: self.large.saturating_sub(taken.large),
        }
    }

    /// Whether there is room for a job of this size.
    pub fn covers(self, job: KeptBytes) -> bool {
        self.all >= job.all && self.large >= job.large
    }

    /// Adds a job.
    pub fn add(&mut self, job: KeptBytes) {
        self.all += job.all;
        self.large += job.large;
    }

    /// Subtracts a job.
    pub fn subtract(&mut self, job: KeptBytes) {
        *self = self.left(job);
    }
}

/// Id of a place.
pub type PlaceId = u64;

/// What a place is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlaceKind {
    /// A connection, and the head that it is sending.
    Connection,
    /// The body of one request.
    Body,
}

/// There is no room, and nobody to displace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IntakeFull;

#[derive(Debug)]
struct IntakePlace {
    kind: PlaceKind,
    bytes: usize,
    progress_ms: u64,
    /// Bytes received since the last progress.
    received: usize,
    is_settled: bool,
}

/// The places of an entry.
#[derive(Debug)]
pub struct IntakeTable {
    connections_max: usize,
    bytes_max: usize,
    places: HashMap<PlaceId, IntakePlace>,
    next: PlaceId,
    connections: usize,
    bytes: usize,
    /// Bytes of large settled bodies.
    settled_bytes: usize,
    /// Connections that may give way to another, by the time of their last progress.
    quiet: BTreeSet<(u64, PlaceId)>,
    /// Places that may give way for their bytes, by the same.
    displaceable: BTreeSet<(u64, PlaceId)>,
}

impl IntakeTable {
    /// An empty table.
    pub fn new(connections_max: usize, bytes_max: usize) -> IntakeTable {
        IntakeTable {
            connections_max,
            bytes_max,
            places: HashMap::new(),
            next: 0,
            connections: 0,
            bytes: 0,
            settled_bytes: 0,
            quiet: BTreeSet::new(),
            displaceable: BTreeSet::new(),
        }
    }

    /// Connections that are open.
    pub fn connections(&self) -> usize {
        self.connections
    }

    /// Bytes that are held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Sets how many bytes may be held. Places that hold more keep them until they end or ask for
    /// more.
    pub fn set_bytes_max(&mut self, bytes_max: usize) {
        self.bytes_max = bytes_max;
    }

    /// Opens a connection; with the one that gives way to it, if all places are taken.
    ///
    /// # Errors
    /// `IntakeFull` if a request of each connection is being served.
    pub fn open_connection(&mut self, now: u64) -> Result<(PlaceId, Option<PlaceId>), IntakeFull> {
        let displaced = match self.connections < self.connections_max {
            true => None,
            false => Some(self.quiet.first().ok_or(IntakeFull)?.1),
        };
        if let Some(id) = displaced {
            self.remove(id);
        }
        self.connections += 1;
        Ok((self.insert(PlaceKind::Connection, now), displaced))
    }

    /// Opens a body without bytes.
    pub fn open_body(&mut self, now: u64) -> PlaceId {
        self.insert(PlaceKind::Body, now)
    }

    fn insert(&mut self, kind: PlaceKind, now: u64) -> PlaceId {
        let id = self.next;
        self.next += 1;
        let place =
            IntakePlace { kind, bytes: 0, progress_ms: now, received: 0, is_settled: false };
        self.places.insert(id, place);
        self.index(id);
        id
    }

    /// Records that bytes were received.
    pub fn receive(&mut self, id: PlaceId, bytes: usize, now: u64) {
        let Some(place) = self.places.get_mut(&id) else { return };
        place.received += bytes;
        if place.received >= PROGRESS_BYTES {
            self.progress(id, now);
        }
    }

    /// Records progress of a place, such as the end of a request.
    pub fn progress(&mut self, id: PlaceId, now: u64) {
        self.edit(id, |place| (place.progress_ms, place.received) = (now, 0));
    }

    /// Sets how many bytes a place holds. Returns the places that give way: they hold nothing any
    /// more.
    ///
    /// # Errors
    /// `IntakeFull` if the place itself would have to give way, or nobody can; it keeps what it had.
    pub fn resize(&mut self, id: PlaceId, bytes: usize) -> Result<Vec<PlaceId>, IntakeFull> {
        let Some(place) = self.places.get(&id) else { return Err(IntakeFull) };
        let before = place.bytes;
        let bytes_max = match bytes <= ORDINARY_PLACE_BYTES {
            true => self.bytes_max,
            false => self.bytes_max - self.bytes_max / ORDINARY_DIVISOR,
        };
        let mut displaced = Vec::new();
        while bytes > before && self.bytes + (bytes - before) > bytes_max {
            match self.displaceable.first() {
                Some((_, victim)) if *victim != id => {
                    let victim = *victim;
                    self.remove(victim);
                    displaced.push(victim);
                }
                // What was displaced until now is gone; its bytes are there for the next.
                _ if displaced.is_empty() => return Err(IntakeFull),
                _ => {
                    self.remove(id);
                    displaced.push(id);
                    return Ok(displaced);
                }
            }
        }
        self.bytes = self.bytes - before + bytes;
        self.edit(id, |place| place.bytes = bytes);
        Ok(displaced)
    }

    /// Settles a body that is whole, or a connection whose request is served: it does not give way
    /// any more.
    ///
    /// # Errors
    /// `IntakeFull` if large settled bodies hold as much as they may.
    pub fn settle(&mut self, id: PlaceId) -> Result<(), IntakeFull> {
        let Some(place) = self.places.get(&id) else { return Err(IntakeFull) };
        let bytes = place.settled_bytes(true);
        if bytes > 0 && self.settled_bytes + bytes > self.bytes_max / SETTLED_DIVISOR {
            return Err(IntakeFull);
        }
        self.edit(id, |place| place.is_settled = true);
        Ok(())
    }

    /// Lets a connection give way again, whose request was answered.
    pub fn unsettle(&mut self, id: PlaceId, now: u64) {
        self.edit(id, |place| {
            (place.is_settled, place.progress_ms, place.received) = (false, now, 0);
        });
    }

    /// Removes a place with all that it holds.
    pub fn remove(&mut self, id: PlaceId) {
        self.unindex(id);
        let Some(place) = self.places.remove(&id) else { return };
        self.bytes -= place.bytes;
        self.connections -= usize::from(place.kind == PlaceKind::Connection);
    }

    fn edit(&mut self, id: PlaceId, edit: impl FnOnce(&mut IntakePlace)) {
        self.unindex(id);
        if let Some(place) = self.places.get_mut(&id) {
            edit(place);
        }
        self.index(id);
    }

    fn index(&mut self, id: PlaceId) {
        let Some(place) = self.places.get(&id) else { return };
        self.settled_bytes += place.settled_bytes(place.is_settled);
        if place.is_settled {
            return;
        }
        if place.kind == PlaceKind::Connection {
            self.quiet.insert((place.progress_ms, id));
        }
        if place.bytes > 0 {
            self.displaceable.insert((place.progress_ms, id));
        }
    }

    fn unindex(&mut self, id: PlaceId) {
        let Some(place) = self.places.get(&id) else { return };
        self.settled_bytes -= place.settled_bytes(place.is_settled);
        self.quiet.remove(&(place.progress_ms, id));
        self.displaceable.remove(&(place.progress_ms, id));
    }
}

impl IntakePlace {
    /// Bytes that count for the bound on large settled bodies.
    fn settled_bytes(&self, is_settled: bool) -> usize {
        let is_large = self.kind == PlaceKind::Body && self.bytes > ORDINARY_PLACE_BYTES;
        if is_settled && is_large { self.bytes } else { 0 }
    }
}
