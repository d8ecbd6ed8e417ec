//! Order between organisations that compete for one pool.
//!
//! Guards against one organisation that sends several times its usual work into a pool at its limit
//! without exceeding the share that it has bought, or on a site without shares. Ordered by least
//! work alone, its jobs take capacity from all others in proportion to their number, and the
//! others' jobs miss their objectives.
//!
//! So jobs that can be in time are ordered by weighted max-min fairness: the organisation with the
//! least running work for its weight goes first. Running work is compared in steps of an eighth of
//! the pool, and within a step the order stays as it is, since least work first brings most jobs
//! in time. Work that goes first in the same round counts as running, so that a pool that becomes
//! free at once is divided as well.
//!
//! This only orders: a job that goes behind starts at once if capacity is left. Nothing is kept of
//! work that has ended, so an organisation that had a pool alone owes nothing for it. Services run
//! until they are cancelled and do not count, else their organisation would be behind for ever.

use std::collections::HashMap;
use std::sync::Arc;

use crate::jobs::model::ResourceVector;
use crate::scheduler::dispatch::ReadyStep;
use crate::scheduler::rank::RankTier;
use crate::scheduler::{Scheduler, SchedulerEvent};

/// Steps into which a pool's capacity is divided. Work is rounded to the nearest one: with many
/// organisations a whole step of an eighth is several times what each should have.
const STEPS: f64 = 8.0;
/// Largest step, for organisations whose weight is far below the mean.
const STEP_MAX: f64 = 1_000_000.0;
/// Age up to which the capacity of pools is used again, in milliseconds: summing it goes through
/// all workers, and a pool grows by less than a step in this time.
const CAPACITY_AGE_MAX_MS: u64 = 250;
/// Time between two log lines about a pool, in milliseconds.
const LOG_INTERVAL_MS: u64 = 2_000;

/// An organisation that competes for a pool.
#[derive(Clone, Copy, Debug)]
pub struct FairAccount {
    /// Its weight; one that is not a positive number counts as the mean of the others.
    pub weight: f64,
    /// Resources of its running work in the pool.
    pub running: ResourceVector,
}

/// A pool whose capacity is divided among organisations.
#[derive(Clone, Debug)]
pub struct FairPool {
    capacity: ResourceVector,
    /// Running and claimed work by organisation, and the mean weight over the own one.
    accounts: Vec<(ResourceVector, f64)>,
}

impl FairPool {
    /// A pool of this capacity for which these organisations compete.
    pub fn new(capacity: ResourceVector, accounts: &[FairAccount]) -> FairPool {
        let is_weight = |weight: &f64| weight.is_finite() && *weight > 0.0;
        let weights = || accounts.iter().map(|account| account.weight).filter(is_weight);
        let count = weights().fold(0.0, |count, _| count + 1.0);
        // Divided before the sum, which could otherwise be infinite.
        let mean: f64 = weights().map(|weight| weight / count).sum();
        let factor = |weight: f64| if is_weight(&weight) { mean / weight } else { 1.0 };
        let accounts =
            accounts.iter().map(|account| (account.running, factor(account.weight))).collect();
        FairPool { capacity, accounts }
    }

    /// Step of the next work of an organisation, the least first. The work then counts as running.
    pub fn claim(&mut self, account: usize, need: &ResourceVector) -> u64 {
        let step = self.step(account);
        if let Some((running, _)) = self.accounts.get_mut(account) {
            running.add(need);
        }
        step
    }

    /// Step that an organisation's running work has reached.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
    pub fn step(&self, account: usize) -> u64 {
        let Some((running, factor)) = self.accounts.get(account) else { return 0 };
        let share = running.dominant_share_of(&self.capacity) as f64 / 1_000.0;
        (share * factor * STEPS).round().min(STEP_MAX) as u64
    }
}

/// What the order between organisations keeps from one round to the next.
#[derive(Debug, Default)]
pub(crate) struct FairOrder {
    /// Whether the setting asks for it.
    pub is_on: bool,
    capacities: HashMap<Arc<str>, ResourceVector>,
    summed_ms: Option<u64>,
    /// When a pool was last logged, and the rounds since then that its order differed in.
    logged: HashMap<Arc<str>, (u64, usize)>,
}

/// Organisations with work that is ready in a pool.
struct PoolClaims<'a> {
    pool: &'a str,
    positions: HashMap<&'a str, usize>,
    accounts: Vec<FairAccount>,
}

/// A pool in which a round went by shares.
struct OrderedPool {
    pool: Arc<str>,
    organisations: usize,
    /// The organisation that is furthest behind.
    last: Arc<str>,
    account: FairAccount,
    step: u64,
}

impl Scheduler {
    /// Sets whether jobs in time are ordered by the running work of their organisations.
    pub fn set_fair_shares(&mut self, is_on: bool) {
        self.fair_order.is_on = is_on;
    }

    /// Sorts steps by their ranks, and adds the shares of their organisations to the ranks.
    pub(crate) fn order_fairly(&mut self, ready: &mut [ReadyStep], now: u64) {
        if !self.fair_order.is_on || ready.len() < 2 {
            return;
        }
        ready.sort_unstable();
        self.sum_capacities(now);
        let (steps, ordered) = self.fair_steps(ready);
        if steps.iter().all(|step| *step == 0) {
            return;
        }
        for (step, ready) in steps.into_iter().zip(ready) {
            ready.rank.share = step;
        }
        for pool in ordered {
            self.log_order(pool, now);
        }
    }

    fn sum_capacities(&mut self, now: u64) {
        let is_fresh = |summed_ms: u64| now < summed_ms + CAPACITY_AGE_MAX_MS;
        if self.fair_order.summed_ms.is_some_and(is_fresh) {
            return;
        }
        self.fair_order.summed_ms = Some(now);
        let capacities = &mut self.fair_order.capacities;
        capacities.clear();
        for worker in self.workers.values().filter(|worker| worker.is_available(now)) {
            match capacities.get_mut(&worker.entry.service) {
                Some(capacity) => capacity.add(&worker.entry.capacity),
                None => {
                    capacities.insert(worker.entry.service.clone(), worker.entry.capacity);
                }
            }
        }
    }

    /// Step of each ready step's organisation, 0 without competition, and the pools in which it
    /// decides.
    fn fair_steps(&self, ready: &[ReadyStep]) -> (Vec<u64>, Vec<OrderedPool>) {
        let (claims, places) = self.claims(ready);
        let mut pools: Vec<Option<FairPool>> = claims
            .iter()
            .map(|claims| {
                let capacity = *self.fair_order.capacities.get(claims.pool)?;
                let is_contested = claims.accounts.len() > 1;
                is_contested.then(|| FairPool::new(capacity, &claims.accounts))
            })
            .collect();
        let ordered = claims.iter().zip(&pools).filter_map(|(claims, pool)| {
            let pool = pool.as_ref()?;
            let step = |position: &usize| pool.step(*position);
            let (last, position) =
                claims.positions.iter().max_by_key(|(name, position)| (step(position), **name))?;
            Some(OrderedPool {
                pool: claims.pool.into(),
                organisations: claims.accounts.len(),
                last: (*last).into(),
                account: *claims.accounts.get(*position)?,
                step: step(position),
            })
        });
        let ordered = ordered.filter(|ordered| ordered.step > 0).collect();
        let mut claim = |step: &ReadyStep, place: Option<(usize, usize)>| {
            let (pool, position) = place?;
            let pool = pools.get_mut(pool)?.as_mut()?;
            let job = self.jobs.get(&step.key.job)?;
            let run = job.occurrences.get(&step.key.occurrence)?;
            let waiting = run.steps.get(usize::from(step.key.step))?.counts().waiting;
            let count = u64::try_from(waiting).unwrap_or(u64::MAX);
            let spec = job.submission.spec.steps.get(usize::from(step.key.step))?;
            Some(pool.claim(position, &spec.need.times(count)))
        };
        let steps = ready.iter().zip(places).map(|(step, place)| claim(step, place).unwrap_or(0));
        (steps.collect(), ordered)
    }

    /// Organisations with ready work by pool, and the pool and organisation of each ready step that
    /// can be in time.
    fn claims<'a>(
        &'a self,
        ready: &'a [ReadyStep],
    ) -> (Vec<PoolClaims<'a>>, Vec<Option<(usize, usize)>>) {
        let mut pools: Vec<PoolClaims<'a>> = Vec::new();
        let mut pool_positions: HashMap<&str, usize> = HashMap::new();
        let mut place = |step: &'a ReadyStep| {
            if !can_be_in_time(step.rank.tier) {
                return None;
            }
            let pool_position = *pool_positions.entry(&step.service).or_insert_with(|| {
                let (positions, accounts) = (HashMap::new(), Vec::new());
                pools.push(PoolClaims { pool: &step.service, positions, accounts });
                pools.len() - 1
            });
            let job = self.jobs.get(&step.key.job)?;
            let name = job.submission.organisation.as_deref().unwrap_or_default();
            let claims = pools.get_mut(pool_position)?;
            let position = *claims.positions.entry(name).or_insert_with(|| {
                claims.accounts.push(FairAccount {
                    weight: self.organisations.weight(name),
                    running: self.organisations.running(&step.service, name),
                });
                claims.accounts.len() - 1
            });
            Some((pool_position, position))
        };
        let places = ready.iter().map(&mut place).collect();
        (pools, places)
    }

    fn log_order(&mut self, ordered: OrderedPool, now: u64) {
        let OrderedPool { pool, organisations, last, account, step } = ordered;
        let (logged_ms, rounds) = self.fair_order.logged.entry(pool.clone()).or_default();
        *rounds += 1;
        if *logged_ms > 0 && now < *logged_ms + LOG_INTERVAL_MS {
            return;
        }
        *logged_ms = now;
        let rounds = std::mem::take(rounds);
        let capacity = self.fair_order.capacities.get(&pool).map_or(0, |capacity| capacity.cpu);
        let (weight, running) = (account.weight, account.running.cpu);
        self.emit(SchedulerEvent::FairOrder {
            pool,
            organisations,
            capacity,
            last,
            weight,
            running,
            step,
            rounds,
        });
    }
}

fn can_be_in_time(tier: RankTier) -> bool {
    matches!(tier, RankTier::InTime | RankTier::BeyondShare)
}
