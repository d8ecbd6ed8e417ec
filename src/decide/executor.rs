//! Chooses the entry that carries out a start for the leader.
//!
//! A start carries its job's payload, a kilobyte or more, and a burst asks for hundreds of starts
//! per second, which is more than a narrow link of the leader carries. The other entries have links
//! of their own and read the payload from their replica of the job log. The leader sends them only
//! who is to start what, about eighty bytes per start, in batches.
//!
//! Entries renew their offers regularly. An entry without a recent offer, or one that has left a
//! batch unanswered, is not chosen. The entry with the fewest starts in flight relative to its
//! processor comes first; a slow entry keeps its starts in flight for longer and therefore gets
//! fewer.
//!
//! The time for an answer follows the answers of the entry, as a retransmission timeout does (RFC
//! 6298): all entries may be far away, or short of processor at the same time. A fixed time would
//! then take each batch for lost, send its starts again and exclude every entry.
//!
//! The number of starts in flight follows them too ([`BatchWindow`]), so that what exceeds an entry's
//! speed queues at the leader, which can still order it, take it back or send it another way.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decide::replica::OFFER_INTERVAL_MS;
use crate::decide::window::BatchWindow;
use crate::jobs::timeout_estimator::TimeoutEstimator;

/// Starts in one batch; its answer waits for the slowest of them.
pub const BATCH_MAX: usize = 16;
/// Age at which an offer expires, in milliseconds: two offers may be lost.
const OFFER_AGE_MAX_MS: u64 = 4_000;
/// Longest time between two offers of an entry that is there all the while, in milliseconds: one of them may be lost.
const PRESENT_GAP_MAX_MS: u64 = 2 * OFFER_INTERVAL_MS + OFFER_INTERVAL_MS / 3;
/// Time for which a fitter entry must have been there before it is to lead, in milliseconds: a change of leaders costs
/// more than a moment under an unfit one.
const HANDOVER_AFTER_MS: u64 = 3_000;
/// Time for which an entry is excluded after an unanswered batch, in milliseconds.
const EXCLUSION_MS: u64 = 1_500;
/// Shortest time for the answer to a batch: a start that a worker does not answer takes half of it.
const BATCH_TIMEOUT_MIN: Duration = Duration::from_millis(900);
/// Longest time for the answer to a batch: a start that is decided now must begin within 3 s, or
/// its worker refuses it.
pub const BATCH_TIMEOUT_MAX: Duration = Duration::from_millis(2_500);
/// Time beyond the estimate, as answers that all take the same time have no deviation.
const BATCH_MARGIN: Duration = Duration::from_millis(300);
/// Age above which an executor does not begin a batch, in milliseconds: the leader has given it up
/// and may have sent its starts another way.
pub const STALE_BATCH_MS: u64 = 1_200;

/// Offer of an entry to carry out starts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutorOffer {
    /// Address of the entry.
    pub address: SocketAddr,
    /// Drawn when its process started.
    pub incarnation: u64,
    /// Data centre of the entry.
    pub centre: Arc<str>,
    /// Processor, in thousandths of a core.
    pub processor: u64,
    /// The entry's steady clock when it sent the offer, in milliseconds.
    pub clock_ms: u64,
    /// Delay of its claims to the leadership, in milliseconds; lower values suit a leader better.
    pub claim_delay_ms: u64,
    /// Whether it has a replica of the job log; without one it knows no job's payload.
    pub has_replica: bool,
}

/// Tells an executor which of its incarnations a batch was sent to, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutorStamp {
    /// Incarnation of its process.
    pub incarnation: u64,
    /// From when the batch ages, by the executor's own steady clock, in milliseconds: when it was
    /// sent, and later by as much as the leader waits longer than usual for its answer. Too early
    /// rather than too late, by the time that the offer was in transit.
    pub sent_ms: u64,
}

#[derive(Clone, Debug)]
struct KnownExecutor {
    offer: ExecutorOffer,
    offered_ms: u64,
    /// Since when its offers have come without a gap in this term, in milliseconds.
    present_ms: Option<u64>,
    in_flight: usize,
    excluded_until_ms: u64,
    answers: TimeoutEstimator,
    window: BatchWindow,
}

/// Entries that have offered to carry out starts.
#[derive(Clone, Debug)]
pub struct ExecutorTable {
    known: BTreeMap<SocketAddr, KnownExecutor>,
    /// Starts that are about to go to an entry.
    reserved: usize,
    /// Answers of all entries, for those that have not answered yet.
    answers: TimeoutEstimator,
}

impl Default for ExecutorTable {
    fn default() -> ExecutorTable {
        let answers = TimeoutEstimator::new(BATCH_TIMEOUT_MAX);
        ExecutorTable { known: BTreeMap::new(), reserved: 0, answers }
    }
}

impl ExecutorTable {
    /// Records an offer.
    pub fn record_offer(&mut self, offer: ExecutorOffer, now: u64) {
        let address = offer.address;
        self.known
            .retain(|_, known| now < known.offered_ms + OFFER_AGE_MAX_MS || known.in_flight > 0);
        let known = self.known.entry(address).or_insert_with(|| KnownExecutor {
            offer: offer.clone(),
            offered_ms: now,
            present_ms: None,
            in_flight: 0,
            excluded_until_ms: 0,
            answers: TimeoutEstimator::new(BATCH_TIMEOUT_MAX),
            window: BatchWindow::default(),
        });
        // A failure of an earlier incarnation says nothing about this one.
        if known.offer.incarnation != offer.incarnation {
            known.excluded_until_ms = 0;
            known.answers = TimeoutEstimator::new(BATCH_TIMEOUT_MAX);
            known.window = BatchWindow::default();
            known.present_ms = None;
        }
        if now >= known.offered_ms + PRESENT_GAP_MAX_MS {
            known.present_ms = None;
        }
        known.present_ms.get_or_insert(now);
        known.offer = offer;
        known.offered_ms = now;
    }

    /// Whether an entry that is better suited to lead than one whose claims have this delay, in milliseconds, has been
    /// there for long enough to take over.
    pub fn has_fitter_entry(&self, claim_delay_ms: u64, now: u64) -> bool {
        self.known.values().any(|known| {
            known.offer.claim_delay_ms < claim_delay_ms
                && now < known.offered_ms + PRESENT_GAP_MAX_MS
                && known.present_ms.is_some_and(|since_ms| now >= since_ms + HANDOVER_AFTER_MS)
        })
    }

    /// Whether any entry can take a start now.
    pub fn has_capacity(&self, now: u64) -> bool {
        self.known.values().any(|known| known.has_capacity(now))
    }

    /// Reserves capacity for a start that is about to go to an entry; returns whether there was any. Each
    /// start that finds none later costs the leader about as much as one that is carried out.
    pub fn reserve(&mut self, now: u64) -> bool {
        let available = self.known.values().filter(|known| known.is_available(now));
        let free: usize =
            available.map(|known| known.window.size().saturating_sub(known.in_flight)).sum();
        let has_capacity = free > self.reserved;
        self.reserved += usize::from(has_capacity);
        has_capacity
    }

    /// Gives back reserved capacity of so many starts.
    pub fn release(&mut self, count: usize) {
        self.reserved = self.reserved.saturating_sub(count);
    }

    /// Forgets the starts of an earlier term, as nobody waits for their outcomes any more, and how long entries have been
    /// there.
    pub fn begin_term(&mut self) {
        self.reserved = 0;
        for known in self.known.values_mut() {
            known.present_ms = None;
            known.in_flight = 0;
            known.window = BatchWindow::default();
        }
    }

    /// Whether any entry has a current offer, even if none can take a start now.
    pub fn has_live_offers(&self, now: u64) -> bool {
        self.known.values().any(|known| known.is_current(now))
    }

    /// Chooses the entry for starts on workers in data centre `centre`: the one that will finish
    /// first, and among equals one in the same data centre.
    pub fn pick(&self, centre: &str, now: u64) -> Option<SocketAddr> {
        self.known
            .iter()
            .filter(|(_, known)| known.has_capacity(now))
            .min_by_key(|(_, known)| (known.load(), &*known.offer.centre != centre))
            .map(|(address, _)| *address)
    }

    /// Records that a batch of `count` reserved starts goes to an entry, and returns the stamp that
    /// tells the entry when it was sent.
    pub fn begin_batch(
        &mut self,
        address: SocketAddr,
        count: usize,
        now: u64,
    ) -> Option<ExecutorStamp> {
        let longer = self.learned_timeout(address).unwrap_or_default();
        let longer_ms = whole_ms(longer.saturating_sub(BATCH_TIMEOUT_MIN));
        let known = self.known.get_mut(&address)?;
        self.reserved = self.reserved.saturating_sub(count);
        known.in_flight += count;
        let since = now.saturating_sub(known.offered_ms);
        Some(ExecutorStamp {
            incarnation: known.offer.incarnation,
            sent_ms: known.offer.clock_ms + since + longer_ms,
        })
    }

    /// Time for the answer of an entry to its next batch: the longest before the first answer of
    /// any entry.
    pub fn batch_timeout(&self, address: SocketAddr) -> Duration {
        self.learned_timeout(address).unwrap_or(BATCH_TIMEOUT_MAX)
    }

    /// Longest time for the answer to a batch of any entry with a current offer, in milliseconds; 0
    /// without any.
    pub fn longest_timeout_ms(&self, now: u64) -> u64 {
        let current = self.known.iter().filter(|(_, known)| known.is_current(now));
        current.map(|(address, _)| whole_ms(self.batch_timeout(*address))).max().unwrap_or_default()
    }

    /// Time for an answer by those of this entry, or of all entries before its first one.
    fn learned_timeout(&self, address: SocketAddr) -> Option<Duration> {
        let own = self.known.get(&address).map(|known| &known.answers);
        let answers = own.filter(|own| own.response_time().is_some()).unwrap_or(&self.answers);
        answers.response_time()?;
        let timeout = answers.timeout() + BATCH_MARGIN;
        Some(timeout.clamp(BATCH_TIMEOUT_MIN, BATCH_TIMEOUT_MAX))
    }

    /// Records that an entry has answered a batch of `count` starts that was sent at `sent_ms`.
    pub fn record_answer(&mut self, address: SocketAddr, count: usize, sent_ms: u64, now: u64) {
        let elapsed = Duration::from_millis(now.saturating_sub(sent_ms));
        self.answers.record_answer(elapsed);
        if let Some(known) = self.known.get_mut(&address) {
            known.answers.record_answer(elapsed);
            let is_full = known.in_flight + BATCH_MAX > known.window.size();
            known.window.record_answer(count, is_full, sent_ms, now);
        }
    }

    /// Records that a batch has ended, with an answer or without.
    pub fn end_batch(&mut self, address: SocketAddr, count: usize, is_answered: bool, now: u64) {
        let Some(known) = self.known.get_mut(&address) else { return };
        known.in_flight = known.in_flight.saturating_sub(count);
        if !is_answered {
            known.excluded_until_ms = now + EXCLUSION_MS;
            known.answers.record_timeout();
            known.window.record_timeout(now);
        }
    }

    /// Addresses of up to `count` available entries, from as many data centres as possible.
    pub fn sample(&self, count: usize, now: u64) -> Vec<SocketAddr> {
        let mut available: Vec<&KnownExecutor> =
            self.known.values().filter(|known| known.is_available(now)).collect();
        // By position within the data centre: the first entry of each, then the second.
        let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
        available.sort_by_cached_key(|known| {
            let position = seen.entry(&known.offer.centre).or_default();
            *position += 1;
            *position
        });
        available.iter().take(count).map(|known| known.offer.address).collect()
    }

    /// Number of available entries, and of starts in flight at any entry.
    pub fn counts(&self, now: u64) -> (usize, usize) {
        let available = self.known.values().filter(|known| known.is_available(now)).count();
        (available, self.known.values().map(|known| known.in_flight).sum())
    }
}

impl KnownExecutor {
    /// Batches in flight including the next one, relative to the processor: a start takes a
    /// millisecond or two of a core, which for a batch on an eighth of a core is a tenth of a
    /// second.
    fn load(&self) -> u64 {
        let batches = u64::try_from(self.in_flight / BATCH_MAX + 1).unwrap_or(u64::MAX);
        batches * 1_000 / self.offer.processor.max(1)
    }

    fn is_current(&self, now: u64) -> bool {
        now < self.offered_ms + OFFER_AGE_MAX_MS
    }

    fn is_available(&self, now: u64) -> bool {
        self.is_current(now) && now >= self.excluded_until_ms
    }

    fn has_capacity(&self, now: u64) -> bool {
        self.is_available(now) && self.in_flight < self.window.size()
    }
}

fn whole_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
