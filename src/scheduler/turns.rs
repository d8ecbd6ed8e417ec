//! Hand-over of VMs between bursts of different pools.
//!
//! Load: each pool has one burst of 8 to 10 s in a day, of four to five times its mean demand, and
//! the pools' bursts follow each other with gaps of 0 to 2 s. A move between pools takes 1.5 s.
//! Without this module, a pool's VMs leave for the standby pool 1.5 s after its burst, and most are
//! on their way there when the next pool needs them: they arrive one move later than they could.
//!
//! Only where the setting `burst-holds` is on: held VMs cost 3 to 6% more VM time, which pays only if VMs that move
//! are scarcer than VMs that idle.
//!
//! A burst is a rise of a pool's need to several times the lowest need of the last seconds. It ends
//! when the need falls below half of the burst's peak. A leader that has not seen the beginning of
//! a pool's burst recognises the burst by its end, when the need falls to a fraction of the peak.
//!
//! A hold keeps the idle VMs that a burst has freed out of the standby pool. It is active only
//! after the end of a burst, and only if bursts of two pools have been seen to follow each other
//! within the hold time, or if another pool's need is rising. The hold time is that of two moves: a
//! VM leaves once it has idled for so long. A hold ends that time after the need has stopped
//! falling, or after the beginning of the burst that follows; from that beginning on, all idle VMs
//! of the pool stay. A hold that no burst follows ends the observation that bursts follow each
//! other. The VMs held by all pools, together with those in the standby pool, are at most the
//! highest peak seen.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Ratio of a burst's peak to the need before or after it.
const PEAK_RATIO: usize = 3;
/// Least rise of a burst, in VMs: a need of one VM that becomes three is no burst.
const RISE_MIN_VMS: usize = 4;
/// Least rise of a burst as a part of the pool's previous peak, as a divisor. The need of the last
/// tasks of a burst varies by a few VMs.
const RISE_PEAK_DIVISOR: usize = 8;
/// Time for which the need before a burst is remembered, in milliseconds.
const RECENT_MS: u64 = 15_000;
/// Interval of the remembered needs, in milliseconds.
const SAMPLE_MS: u64 = 1_000;
/// Duration from which a higher need counts as the pool's usual need, in milliseconds: twice the
/// length of the longest bursts observed.
const BURST_MAX_MS: u64 = 20_000;
/// Time without a new peak after which a need no longer counts as rising, in milliseconds.
const RISE_PAUSE_MS: u64 = 1_000;
/// Assumed time of a move before any was observed, in milliseconds.
const MOVE_MS: u64 = 1_500;
/// Bounds of the observed time of a move, in milliseconds. A slow VM service must not extend holds
/// without limit.
const MOVE_MIN_MS: u64 = 500;
const MOVE_MAX_MS: u64 = 3_000;
/// Weight of the previous moves in the mean time of a move, against one new observation.
const MOVE_WEIGHT: u64 = 7;

/// Need and VMs of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolDemand {
    /// VMs that its load needs.
    pub needed: usize,
    /// VMs that take work.
    pub usable: usize,
    /// Usable VMs on which nothing runs.
    pub idle: usize,
    /// Those of them that have idled for less than the hold time.
    pub fresh: usize,
}

impl PoolDemand {
    fn surplus(&self) -> usize {
        self.usable.saturating_sub(self.needed)
    }
}

/// Change of a pool's burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BurstChange {
    /// Its need has risen to several times that of the last seconds.
    Began,
    /// Its need has fallen below half of this peak.
    Ended(usize),
}

/// Beginning or end of a hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldChange {
    /// Pool whose VMs are held.
    pub pool: Arc<str>,
    /// VMs beyond its need.
    pub vms: usize,
    /// Whether the hold begins.
    pub is_begin: bool,
    /// Reason.
    pub reason: &'static str,
}

/// Lowest and highest need of an interval.
#[derive(Clone, Copy, Debug)]
struct NeedSample {
    since_ms: u64,
    low: usize,
    high: usize,
}

/// A burst in progress.
#[derive(Clone, Copy, Debug)]
struct BurstRise {
    began_ms: u64,
    peak: usize,
    /// When the need last reached a new peak, in milliseconds.
    grew_ms: u64,
}

/// Recognises the bursts of a pool by its need.
#[derive(Clone, Debug, Default)]
pub struct BurstTracker {
    samples: VecDeque<NeedSample>,
    rise: Option<BurstRise>,
    /// Peak of the latest burst.
    last_peak: usize,
}

impl BurstTracker {
    /// Records the pool's present need.
    pub fn observe(&mut self, needed: usize, now: u64) -> Option<BurstChange> {
        let Some(mut rise) = self.rise.take() else { return self.observe_quiet(needed, now) };
        if needed > rise.peak {
            rise.peak = needed;
            rise.grew_ms = now;
        }
        if needed * 2 < rise.peak {
            self.last_peak = rise.peak;
            self.restart_samples(needed, now);
            return Some(BurstChange::Ended(rise.peak));
        }
        if now > rise.began_ms + BURST_MAX_MS {
            self.restart_samples(needed, now);
            return None;
        }
        self.rise = Some(rise);
        None
    }

    /// Whether a burst is in progress whose need still grows.
    pub fn is_rising(&self, now: u64) -> bool {
        self.rise.is_some_and(|rise| now < rise.grew_ms + RISE_PAUSE_MS)
    }

    /// Highest need of the present burst, or of the latest.
    pub fn peak(&self) -> usize {
        self.rise.map_or(self.last_peak, |rise| rise.peak)
    }

    fn observe_quiet(&mut self, needed: usize, now: u64) -> Option<BurstChange> {
        self.add_sample(needed, now);
        let low = self.samples.iter().map(|sample| sample.low).min().unwrap_or(needed);
        let high = self.samples.iter().map(|sample| sample.high).max().unwrap_or(needed);
        let rise_min = RISE_MIN_VMS.max(self.last_peak / RISE_PEAK_DIVISOR);
        if needed >= low.max(1) * PEAK_RATIO && needed >= low + rise_min {
            self.rise = Some(BurstRise { began_ms: now, peak: needed, grew_ms: now });
            return Some(BurstChange::Began);
        }
        // Only the first burst can have begun unseen, before this leader took over.
        let is_first = self.last_peak == 0;
        if is_first && high >= needed.max(1) * PEAK_RATIO && high >= needed + RISE_MIN_VMS {
            self.last_peak = high;
            self.restart_samples(needed, now);
            return Some(BurstChange::Ended(high));
        }
        None
    }

    fn add_sample(&mut self, needed: usize, now: u64) {
        let is_recent = |sample: &NeedSample| now <= sample.since_ms + RECENT_MS;
        while self.samples.front().is_some_and(|sample| !is_recent(sample)) {
            self.samples.pop_front();
        }
        match self.samples.back_mut() {
            Some(sample) if now < sample.since_ms + SAMPLE_MS => {
                sample.low = sample.low.min(needed);
                sample.high = sample.high.max(needed);
            }
            _ => {
                self.samples.push_back(NeedSample { since_ms: now, low: needed, high: needed });
            }
        }
    }

    fn restart_samples(&mut self, needed: usize, now: u64) {
        self.samples.clear();
        self.add_sample(needed, now);
    }
}

/// A hold in progress.
#[derive(Clone, Copy, Debug)]
struct PoolHold {
    until_ms: u64,
    /// Usable VMs of the pool as the hold began.
    usable: usize,
    is_followed: bool,
}

/// Bursts and hold of a pool.
#[derive(Clone, Debug, Default)]
struct PoolTurn {
    bursts: BurstTracker,
    change: Option<BurstChange>,
    began_ms: Option<u64>,
    /// When the need last fell after the burst, in milliseconds.
    ended_ms: Option<u64>,
    /// Lowest need since the burst, and until when it is followed, in milliseconds.
    fall: Option<(usize, u64)>,
    hold: Option<PoolHold>,
    /// Whether the latest burst's VMs may still be held.
    may_hold: bool,
    held: usize,
}

impl PoolTurn {
    /// Applies the change of the burst, if any, and extends its end while the need still falls.
    fn apply_change(&mut self, needed: usize, hold_ms: u64, now: u64) {
        match self.change {
            Some(BurstChange::Began) => {
                self.began_ms = Some(now);
                self.fall = None;
            }
            Some(BurstChange::Ended(_)) => {
                self.ended_ms = Some(now);
                self.fall = Some((needed, now + hold_ms));
                self.may_hold = true;
            }
            None => {
                let Some((low, until_ms)) = self.fall else { return };
                if now >= until_ms {
                    self.fall = None;
                } else if needed < low {
                    self.fall = Some((needed, until_ms));
                    self.ended_ms = Some(now);
                    let hold = self.hold.as_mut().filter(|hold| !hold.is_followed);
                    if let Some(hold) = hold {
                        hold.until_ms = now + hold_ms;
                    }
                }
            }
        }
    }
}

/// Bursts of all pools, and the VMs that are held between them.
#[derive(Debug, Default)]
pub struct TurnTracker {
    turns: BTreeMap<Arc<str>, PoolTurn>,
    /// Whether bursts of two pools were last seen to follow each other.
    has_succession: bool,
    /// Mean time of the observed moves, in milliseconds.
    move_ms: Option<u64>,
}

impl TurnTracker {
    /// Records how long a move of a VM took, from its command to its appearance in the list.
    pub fn observe_move(&mut self, took_ms: u64) {
        let took_ms = took_ms.clamp(MOVE_MIN_MS, MOVE_MAX_MS);
        let mean_ms = self.move_ms.unwrap_or(MOVE_MS);
        self.move_ms = Some((mean_ms * MOVE_WEIGHT + took_ms) / (MOVE_WEIGHT + 1));
    }

    /// Time of a move to the standby pool and back, in milliseconds.
    pub fn hold_ms(&self) -> u64 {
        2 * self.move_ms.unwrap_or(MOVE_MS)
    }

    /// Number of a pool's idle VMs that stay out of the standby pool.
    pub fn held(&self, pool: &str) -> usize {
        self.turns.get(pool).map_or(0, |turn| turn.held)
    }

    /// Number of VMs that are held in all pools.
    pub fn held_vms(&self) -> usize {
        self.turns.values().map(|turn| turn.held).sum()
    }

    /// Updates bursts and holds by the demand of all pools. `standby` is the number of available
    /// VMs in standby pools.
    pub fn update(
        &mut self,
        demands: &BTreeMap<Arc<str>, PoolDemand>,
        standby: usize,
        now: u64,
    ) -> Vec<HoldChange> {
        let hold_ms = self.hold_ms();
        self.turns.retain(|pool, _| demands.contains_key(pool));
        for (pool, demand) in demands {
            let turn = self.turns.entry(pool.clone()).or_default();
            turn.change = turn.bursts.observe(demand.needed, now);
            turn.apply_change(demand.needed, hold_ms, now);
        }
        self.find_successions(now);
        let mut changes = Vec::new();
        for (pool, demand) in demands {
            changes.extend(self.end_hold(pool, demand, now));
            changes.extend(self.begin_hold(pool, demand, now));
        }
        self.limit_held(demands, standby);
        changes
    }

    /// Finds bursts that began within the hold time of the end of another pool's burst.
    fn find_successions(&mut self, now: u64) {
        let hold_ms = self.hold_ms();
        let is_near = |time: Option<u64>| time.is_some_and(|time| now <= time + hold_ms);
        let began: Vec<Arc<str>> = self
            .turns
            .iter()
            .filter(|(_, turn)| turn.bursts.rise.is_some() && is_near(turn.began_ms))
            .map(|(pool, _)| pool.clone())
            .collect();
        let mut is_found = false;
        for (pool, turn) in &mut self.turns {
            let is_followed = began.iter().any(|other| other != pool);
            if !is_near(turn.ended_ms) || !is_followed {
                continue;
            }
            is_found = true;
            if let Some(hold) = turn.hold.as_mut().filter(|hold| !hold.is_followed) {
                hold.is_followed = true;
                hold.until_ms = hold.until_ms.max(now + hold_ms);
            }
        }
        self.has_succession |= is_found;
    }

    fn end_hold(&mut self, pool: &Arc<str>, demand: &PoolDemand, now: u64) -> Option<HoldChange> {
        let turn = self.turns.get_mut(pool)?;
        let hold = turn.hold?;
        let has_begun_again = turn.change == Some(BurstChange::Began);
        let reason = if has_begun_again {
            "the pool needs its VMs"
        } else if demand.surplus() == 0 && demand.usable < hold.usable {
            "no surplus is left"
        } else if now >= hold.until_ms && hold.is_followed {
            "the hold time is over"
        } else if now >= hold.until_ms {
            "no burst followed"
        } else {
            return None;
        };
        turn.hold = None;
        turn.may_hold = false;
        if now >= hold.until_ms && !hold.is_followed {
            self.has_succession = false;
        }
        let (pool, vms) = (pool.clone(), demand.surplus());
        Some(HoldChange { pool, vms, is_begin: false, reason })
    }

    fn begin_hold(&mut self, pool: &Arc<str>, demand: &PoolDemand, now: u64) -> Option<HoldChange> {
        let hold_ms = self.hold_ms();
        let is_rising =
            |(other, turn): (&Arc<str>, &PoolTurn)| other != pool && turn.bursts.is_rising(now);
        let is_other_rising = self.turns.iter().any(is_rising);
        let has_succession = self.has_succession;
        let turn = self.turns.get_mut(pool)?;
        let until_ms = turn.ended_ms?.saturating_add(hold_ms);
        if !turn.may_hold || turn.hold.is_some() || demand.surplus() == 0 || now >= until_ms {
            return None;
        }
        let reason = match (is_other_rising, has_succession) {
            (true, _) => "another pool's need is rising",
            (false, true) => "bursts of other pools have followed",
            (false, false) => return None,
        };
        let until_ms = if is_other_rising { now + hold_ms } else { until_ms };
        let usable = demand.usable;
        turn.hold = Some(PoolHold { until_ms, usable, is_followed: is_other_rising });
        let (pool, vms) = (pool.clone(), demand.surplus());
        Some(HoldChange { pool, vms, is_begin: true, reason })
    }

    /// Limits the held VMs to the highest peak less the VMs in standby pools.
    fn limit_held(&mut self, demands: &BTreeMap<Arc<str>, PoolDemand>, standby: usize) {
        let peak = self.turns.values().map(|turn| turn.bursts.peak()).max().unwrap_or(0);
        let mut left = peak.saturating_sub(standby);
        for (pool, turn) in &mut self.turns {
            let demand = demands.get(pool).copied().unwrap_or_default();
            let idle = match turn.hold {
                None => 0,
                Some(hold) if hold.is_followed => demand.idle,
                Some(_) => demand.fresh,
            };
            turn.held = idle.min(demand.surplus()).min(left);
            left -= turn.held;
        }
    }
}
