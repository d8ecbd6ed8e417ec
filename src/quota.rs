//! Quotas: how many requests a team has in flight in this data centre.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::decide::slot::fair_share;
use crate::name::TeamName;

#[derive(Debug, Default)]
struct TeamLoad {
    own: u32,
    others: u32,
}

/// Counts of all teams.
#[derive(Debug, Default)]
pub struct QuotaBook {
    teams: Mutex<HashMap<TeamName, TeamLoad>>,
}

/// One request's place in its team's quota; given back when dropped.
#[derive(Debug)]
pub struct QuotaPermit {
    book: Arc<QuotaBook>,
    team: TeamName,
}

impl QuotaBook {
    /// A place in the quota, if the team has one left: beyond its part an entry borrows what the
    /// others leave, as with slots.
    pub fn enter(
        self: &Arc<Self>,
        team: &TeamName,
        quota: u32,
        entries: u32,
    ) -> Option<QuotaPermit> {
        let mut teams = self.lock();
        let load = teams.entry(team.clone()).or_default();
        let limit = quota.saturating_sub(load.others).max(fair_share(quota, entries));
        if load.own >= limit {
            return None;
        }
        load.own += 1;
        Some(QuotaPermit { book: self.clone(), team: team.clone() })
    }

    /// Requests that this entry has in flight by team; those without are left out.
    pub fn counts(&self) -> BTreeMap<TeamName, u32> {
        let teams = self.lock();
        let busy = teams.iter().filter(|(_, load)| load.own > 0);
        busy.map(|(team, load)| (team.clone(), load.own)).collect()
    }

    /// Sets what the other entries have in flight.
    pub fn set_others(&self, others: &BTreeMap<TeamName, u32>) {
        let mut teams = self.lock();
        for (team, load) in teams.iter_mut() {
            load.others = others.get(team).copied().unwrap_or(0);
        }
        for (team, count) in others {
            teams.entry(team.clone()).or_default().others = *count;
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<TeamName, TeamLoad>> {
        self.teams.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for QuotaPermit {
    fn drop(&mut self) {
        if let Some(load) = self.book.lock().get_mut(&self.team) {
            load.own -= 1;
        }
    }
}
