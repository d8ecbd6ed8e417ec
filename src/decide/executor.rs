//! Which entry carries out a start for the leader.
//!
//! The load that this answers: a start carries its job's text, a kilobyte and more, and a burst asks for
//! hundreds a second. That is more than a narrow link of the leader's carries; the other entries have
//! links of their own, and the text from their copy of the log. The leader sends them who is to start
//! what, some eighty bytes a start, in batches.
//!
//! Entries offer themselves again and again; one that has gone quiet, or has let a batch go unanswered,
//! is passed over. The entry with the least under way for its processor comes first: a slow one keeps its
//! starts under way for longer, and so gets fewer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Starts in one batch: its answer waits for the slowest.
pub const BATCH_MAX: usize = 16;
/// Age from which an offer counts no more, in milliseconds: two offers may be lost.
const OFFER_AGE_MAX_MS: u64 = 4_000;
/// Starts that one entry may have under way: at 2 Mbit/s it sends out that many in a quarter of a second.
const IN_FLIGHT_MAX: usize = 48;
/// Time for which an entry is passed over after a batch without an answer, in milliseconds.
const EXCLUSION_MS: u64 = 1_500;

/// An entry that can carry out starts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutorOffer {
    /// Where it is reached.
    pub address: SocketAddr,
    /// Drawn at the start of its process.
    pub incarnation: u64,
    /// Its data centre.
    pub centre: Arc<str>,
    /// Its processor, in thousandths of a core.
    pub processor: u64,
    /// Its steady clock when the offer was sent, in milliseconds.
    pub clock_ms: u64,
    /// Time by which it holds its claims back, in milliseconds: the less, the fitter it is to lead.
    pub claim_delay_ms: u64,
    /// Whether it has a copy of the job log: an entry without one knows no job's text.
    pub has_replica: bool,
}

/// By what an executor tells that a batch was sent to this life of it, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutorStamp {
    /// Life of its process.
    pub incarnation: u64,
    /// When the batch was sent by the executor's own steady clock, in milliseconds; rather too early than
    /// too late, by the time that the offer was on its way.
    pub sent_ms: u64,
}

#[derive(Clone, Debug)]
struct KnownExecutor {
    offer: ExecutorOffer,
    offered_ms: u64,
    in_flight: usize,
    excluded_until_ms: u64,
}

/// Entries that have offered to carry out starts.
#[derive(Clone, Debug, Default)]
pub struct ExecutorTable {
    known: BTreeMap<SocketAddr, KnownExecutor>,
}

impl ExecutorTable {
    /// Takes an offer.
    pub fn record_offer(&mut self, offer: ExecutorOffer, now: u64) {
        let address = offer.address;
        self.known
            .retain(|_, known| now < known.offered_ms + OFFER_AGE_MAX_MS || known.in_flight > 0);
        let known = self.known.entry(address).or_insert_with(|| KnownExecutor {
            offer: offer.clone(),
            offered_ms: now,
            in_flight: 0,
            excluded_until_ms: 0,
        });
        // Another life was not there when the one before it failed.
        if known.offer.incarnation != offer.incarnation {
            known.excluded_until_ms = 0;
        }
        known.offer = offer;
        known.offered_ms = now;
    }

    /// Whether some entry can take a start.
    pub fn has_capacity(&self, now: u64) -> bool {
        self.known.values().any(|known| known.has_capacity(now))
    }

    /// Whether there are entries that take starts, if not at this moment.
    pub fn has_live_offers(&self, now: u64) -> bool {
        self.known.values().any(|known| now < known.offered_ms + OFFER_AGE_MAX_MS)
    }

    /// The entry for starts on workers of a data centre: one that will soon be through, and beside them if it
    /// makes no difference.
    pub fn pick(&self, centre: &str, now: u64) -> Option<SocketAddr> {
        self.known
            .iter()
            .filter(|(_, known)| known.has_capacity(now))
            .min_by_key(|(_, known)| (known.load(), &*known.offer.centre != centre))
            .map(|(address, _)| *address)
    }

    /// A batch of `count` starts goes to an entry; by what it tells when that was.
    pub fn begin_batch(
        &mut self,
        address: SocketAddr,
        count: usize,
        now: u64,
    ) -> Option<ExecutorStamp> {
        let known = self.known.get_mut(&address)?;
        known.in_flight += count;
        let since = now.saturating_sub(known.offered_ms);
        Some(ExecutorStamp {
            incarnation: known.offer.incarnation,
            sent_ms: known.offer.clock_ms + since,
        })
    }

    /// A batch was answered, or not.
    pub fn end_batch(&mut self, address: SocketAddr, count: usize, is_answered: bool, now: u64) {
        let Some(known) = self.known.get_mut(&address) else { return };
        known.in_flight = known.in_flight.saturating_sub(count);
        if !is_answered {
            known.excluded_until_ms = now + EXCLUSION_MS;
        }
    }

    /// Addresses of some entries that were heard lately, of as many data centres as there are.
    pub fn sample(&self, count: usize, now: u64) -> Vec<SocketAddr> {
        let mut available: Vec<&KnownExecutor> =
            self.known.values().filter(|known| known.is_available(now)).collect();
        // By the position in its data centre: the first of each, then the second.
        let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
        available.sort_by_cached_key(|known| {
            let position = seen.entry(&known.offer.centre).or_default();
            *position += 1;
            *position
        });
        available.iter().take(count).map(|known| known.offer.address).collect()
    }

    /// Entries that take starts now, and starts that are under way through any.
    pub fn counts(&self, now: u64) -> (usize, usize) {
        let available = self.known.values().filter(|known| known.is_available(now)).count();
        (available, self.known.values().map(|known| known.in_flight).sum())
    }
}

impl KnownExecutor {
    /// Batches under way and the next one, against its processor: a start takes a millisecond or two of a core,
    /// which on an eighth of one is a tenth of a second for a batch.
    fn load(&self) -> u64 {
        let batches = u64::try_from(self.in_flight / BATCH_MAX + 1).unwrap_or(u64::MAX);
        batches * 1_000 / self.offer.processor.max(1)
    }

    fn is_available(&self, now: u64) -> bool {
        now < self.offered_ms + OFFER_AGE_MAX_MS && now >= self.excluded_until_ms
    }

    fn has_capacity(&self, now: u64) -> bool {
        self.is_available(now) && self.in_flight < IN_FLIGHT_MAX
    }
}
