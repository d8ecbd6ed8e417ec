//! What each organisation has running, and what its cap leaves.
//!
//! The load that this answers: an organisation sends far more than it may have running, or its cap falls far
//! below what runs. Its tasks wait then, and those of others behind them are placed as if they were not there.
//!
//! A run counts from the moment it is chosen until it is known to be over, whatever is in doubt about it
//! meanwhile: so what workers have is never more than what is counted, over changes of leaders as well, as
//! runs are on the log before they start. The sums are kept as runs are booked and taken off.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::decide::access::OrganisationSpec;
use crate::jobs::model::ResourceVector;
use crate::jobs::site::SiteConfig;

/// What one organisation has running.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct OrganisationUse {
    /// Booked for its runs.
    pub used: ResourceVector,
    /// Runs.
    pub runs: usize,
}

/// What all organisations have running, and what they may.
#[derive(Debug, Default)]
pub(crate) struct OrganisationLedger {
    uses: BTreeMap<Arc<str>, OrganisationUse>,
    /// As configured now, or last: jobs of an organisation that is gone run on under its last cap.
    specs: HashMap<Arc<str>, OrganisationSpec>,
}

impl OrganisationLedger {
    /// Takes the organisations of a configuration.
    pub fn configure(&mut self, config: &SiteConfig) {
        for organisation in config.access.iter().flat_map(|access| access.iter()) {
            self.specs.insert(organisation.name.clone(), organisation.clone());
        }
    }

    /// A run is chosen, or read from the log.
    pub fn add_run(&mut self, organisation: Option<&Arc<str>>, need: &ResourceVector) {
        let Some(organisation) = organisation else { return };
        let entry = self.uses.entry(organisation.clone()).or_default();
        entry.used.add(need);
        entry.runs += 1;
    }

    /// A run is over.
    pub fn remove_run(&mut self, organisation: Option<&Arc<str>>, need: &ResourceVector) {
        let Some(entry) = organisation.and_then(|name| self.uses.get_mut(name)) else { return };
        entry.used = entry.used.saturating_sub(need);
        entry.runs = entry.runs.saturating_sub(1);
    }

    /// What an organisation has running.
    pub fn usage(&self, organisation: &str) -> OrganisationUse {
        self.uses.get(organisation).copied().unwrap_or_default()
    }

    /// Every organisation that is known.
    pub fn specs(&self) -> impl Iterator<Item = &OrganisationSpec> {
        self.specs.values()
    }

    /// Share of an organisation, in jobs a second; 0 for none.
    pub fn weight(&self, organisation: &str) -> f64 {
        self.specs.get(organisation).map_or(0.0, |spec| spec.weight)
    }

    /// Whether an organisation may have so much more running. Jobs of a queue that is open to all have no cap.
    pub fn may_start(&self, organisation: Option<&Arc<str>>, need: &ResourceVector) -> bool {
        let Some(spec) = organisation.and_then(|name| self.specs.get(name)) else { return true };
        may_start(&spec.cap, &self.usage(&spec.name).used, need)
    }

    /// What an organisation's cap leaves of each resource; nothing for no limit at all.
    pub fn remaining(&self, organisation: &Arc<str>) -> Option<ResourceVector> {
        let cap = self.specs.get(organisation)?.cap;
        let limit = |cap: u64| if cap == 0 { u64::MAX } else { cap };
        let limits = ResourceVector {
            cpu: limit(cap.cpu),
            memory: limit(cap.memory),
            accelerators: limit(cap.accelerators),
        };
        Some(limits.saturating_sub(&self.usage(organisation).used))
    }
}

/// What caps leave for work that waits, as it is counted out task by task.
#[derive(Debug, Default)]
pub(crate) struct CapBudget {
    remaining: HashMap<Arc<str>, ResourceVector>,
}

impl CapBudget {
    /// How many of `wanted` tasks of this need could run now; what they take is not left for others of their
    /// organisation.
    pub fn take(
        &mut self,
        ledger: &OrganisationLedger,
        organisation: Option<&Arc<str>>,
        need: &ResourceVector,
        wanted: usize,
    ) -> usize {
        let Some(organisation) = organisation else { return wanted };
        if !self.remaining.contains_key(organisation) {
            let Some(remaining) = ledger.remaining(organisation) else { return wanted };
            self.remaining.insert(organisation.clone(), remaining);
        }
        let Some(remaining) = self.remaining.get_mut(organisation) else { return wanted };
        let count_within =
            |remaining: u64, need: u64| remaining.checked_div(need).unwrap_or(u64::MAX);
        let fitting = count_within(remaining.cpu, need.cpu)
            .min(count_within(remaining.memory, need.memory))
            .min(count_within(remaining.accelerators, need.accelerators));
        let taken = wanted.min(usize::try_from(fitting).unwrap_or(usize::MAX));
        *remaining = remaining.saturating_sub(&need.times(u64::try_from(taken).unwrap_or(0)));
        taken
    }
}

/// Whether a task of this need may start under a cap with so much in use: it fits, or not half of any limit is
/// in use. A task that is larger than what half of a cap leaves could else never run.
pub(crate) fn may_start(
    cap: &ResourceVector,
    used: &ResourceVector,
    need: &ResourceVector,
) -> bool {
    let fits = |cap: u64, used: u64, need: u64| cap == 0 || need == 0 || used + need <= cap;
    let is_under_half = |cap: u64, used: u64| cap == 0 || used * 2 < cap;
    let fits_all = fits(cap.cpu, used.cpu, need.cpu)
        && fits(cap.memory, used.memory, need.memory)
        && fits(cap.accelerators, used.accelerators, need.accelerators);
    let is_under_half_of_all = is_under_half(cap.cpu, used.cpu)
        && is_under_half(cap.memory, used.memory)
        && is_under_half(cap.accelerators, used.accelerators);
    fits_all || is_under_half_of_all
}
