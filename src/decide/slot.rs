//! How the entries of a data centre share a worker's slots.
//!
//! A worker runs a few requests at a time (8 in the brief) for all entries together, and no entry
//! sees what another has just sent. Production uses `BorrowedSlots`; the other policies are the
//! baselines that it is compared with.

use rand::Rng;
use rand::seq::index;

/// What an entry knows about a worker's load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotView {
    /// Requests that this entry has in flight there.
    pub own: u32,
    /// Requests that the other entries reported to have in flight there.
    pub others: u32,
    /// Requests that the worker runs at a time.
    pub slots: u32,
    /// Connections that this entry may open.
    pub connections: u32,
}

/// Chooses a worker and bounds what this entry sends to it.
pub trait SlotPolicy: Clone + Send + Sync + 'static {
    /// Most requests that this entry may have in flight at the worker.
    fn limit(&self, view: &SlotView, entries: u32) -> u32;

    /// Limit for a worker that seems full and is probed occasionally all the same; 0 if it never
    /// is.
    fn probe_limit(&self, _view: &SlotView) -> u32 {
        0
    }

    /// Index of the worker to use among those below their limit.
    fn pick<R: Rng>(&self, open: &[SlotView], random: &mut R) -> Option<usize>;
}

/// The slots that an entry may always use, whatever the others do; at least one.
pub fn fair_share(slots: u32, entries: u32) -> u32 {
    (slots / entries.max(1)).max(1)
}

/// The better of two random workers; beyond its share, an entry borrows the slots that the others
/// leave free.
///
/// Choosing the shortest queue over all workers failed: all entries see the same least-loaded
/// worker by equally old counts and send to it at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct BorrowedSlots;

impl SlotPolicy for BorrowedSlots {
    fn limit(&self, view: &SlotView, entries: u32) -> u32 {
        let left = view.slots.saturating_sub(view.others);
        left.max(fair_share(view.slots, entries)).min(view.connections)
    }

    fn probe_limit(&self, view: &SlotView) -> u32 {
        view.slots.min(view.connections)
    }

    fn pick<R: Rng>(&self, open: &[SlotView], random: &mut R) -> Option<usize> {
        TwoChoices.pick(open, random)
    }
}

/// Baseline: every entry has a fixed share of each worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct StaticSplit;

impl SlotPolicy for StaticSplit {
    fn limit(&self, view: &SlotView, entries: u32) -> u32 {
        fair_share(view.slots, entries).min(view.connections)
    }

    fn pick<R: Rng>(&self, open: &[SlotView], random: &mut R) -> Option<usize> {
        let least = open.iter().map(|view| view.own).min()?;
        let ties = open.iter().filter(|view| view.own == least).count();
        let chosen = random.random_range(0..ties);
        open.iter().enumerate().filter(|(_, view)| view.own == least).nth(chosen).map(|(i, _)| i)
    }
}

/// Baseline: the better of two random workers by the counts of all entries.
#[derive(Clone, Copy, Debug, Default)]
pub struct TwoChoices;

impl SlotPolicy for TwoChoices {
    fn limit(&self, view: &SlotView, _entries: u32) -> u32 {
        view.slots.min(view.connections)
    }

    fn pick<R: Rng>(&self, open: &[SlotView], random: &mut R) -> Option<usize> {
        if open.len() < 2 {
            return (!open.is_empty()).then_some(0);
        }
        let pair = index::sample(random, open.len(), 2);
        let load = |index: usize| open[index].own + open[index].others;
        let (first, second) = (pair.index(0), pair.index(1));
        Some(if load(first) <= load(second) { first } else { second })
    }
}

/// Baseline: a random worker regardless of load, like round robin over many callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct RandomChoice;

impl SlotPolicy for RandomChoice {
    fn limit(&self, view: &SlotView, _entries: u32) -> u32 {
        view.connections
    }

    fn pick<R: Rng>(&self, open: &[SlotView], random: &mut R) -> Option<usize> {
        (!open.is_empty()).then(|| random.random_range(0..open.len()))
    }
}
