//! What each organisation has running, and what its cap leaves.
//!
//! Guards against an organisation that sends far more than it may have running, or whose cap falls
//! far below what is running. Its tasks wait then, and those of others behind them are placed as if
//! its tasks were not there.
//!
//! A run counts from its placement until it is known to be over, however much is in doubt about it
//! meanwhile. So workers never run more than is counted, also across changes of leaders, as runs
//! are logged before they start. The sums are updated with each run that is added or removed.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::decide::access::OrganisationSpec;
use crate::jobs::model::{JobSubmission, ResourceVector, StepSpec};
use crate::jobs::site::SiteConfig;

/// Usage of one organisation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct OrganisationUse {
    /// Resources of its runs.
    pub used: ResourceVector,
    /// Number of its runs.
    pub runs: usize,
}

/// Usage and caps of all organisations.
#[derive(Debug, Default)]
pub(crate) struct OrganisationLedger {
    uses: BTreeMap<Arc<str>, OrganisationUse>,
    /// Resources of the runs of batch tasks by pool and organisation; callers without one have no
    /// name. The pool is that by which the job was accepted, which never changes.
    running: HashMap<Arc<str>, HashMap<Arc<str>, ResourceVector>>,
    /// As last configured: jobs of an organisation that was removed run on under its last cap.
    specs: HashMap<Arc<str>, OrganisationSpec>,
}

impl OrganisationLedger {
    /// Takes the organisations of a configuration; those that it lacks are kept.
    pub fn configure(&mut self, config: &SiteConfig) {
        for organisation in config.access.iter().flat_map(|access| access.iter()) {
            self.specs.insert(organisation.name.clone(), organisation.clone());
        }
    }

    /// Counts a run that was placed or read from the log.
    pub fn add_run(&mut self, job: &JobSubmission, spec: Option<&StepSpec>) {
        let need = spec.map(|spec| spec.need).unwrap_or_default();
        if is_batch(spec) {
            let pool = self.running.entry(job.service.clone()).or_default();
            let name = job.organisation.clone().unwrap_or_default();
            pool.entry(name).or_default().add(&need);
        }
        let Some(organisation) = &job.organisation else { return };
        let entry = self.uses.entry(organisation.clone()).or_default();
        entry.used.add(&need);
        entry.runs += 1;
    }

    /// Removes a run that is over.
    pub fn remove_run(&mut self, job: &JobSubmission, spec: Option<&StepSpec>) {
        let need = spec.map(|spec| spec.need).unwrap_or_default();
        let name = job.organisation.as_deref().unwrap_or_default();
        if is_batch(spec)
            && let Some(running) =
                self.running.get_mut(&job.service).and_then(|pool| pool.get_mut(name))
        {
            *running = running.saturating_sub(&need);
        }
        if job.organisation.is_none() {
            return;
        }
        let Some(entry) = self.uses.get_mut(name) else { return };
        entry.used = entry.used.saturating_sub(&need);
        entry.runs = entry.runs.saturating_sub(1);
    }

    /// Resources of an organisation's batch tasks in a pool; of callers without one if it has no
    /// name.
    pub fn running(&self, pool: &str, organisation: &str) -> ResourceVector {
        let running = self.running.get(pool).and_then(|pool| pool.get(organisation));
        running.copied().unwrap_or_default()
    }

    /// Usage of an organisation.
    pub fn usage(&self, organisation: &str) -> OrganisationUse {
        self.uses.get(organisation).copied().unwrap_or_default()
    }

    /// Every known organisation, including removed ones.
    pub fn specs(&self) -> impl Iterator<Item = &OrganisationSpec> {
        self.specs.values()
    }

    /// Share of an organisation, in jobs a second; 0 for none.
    pub fn weight(&self, organisation: &str) -> f64 {
        self.specs.get(organisation).map_or(0.0, |spec| spec.weight)
    }

    /// Whether an organisation may start a task of this need. Jobs of a queue that is open to all
    /// have no cap.
    pub fn may_start(&self, organisation: Option<&Arc<str>>, need: &ResourceVector) -> bool {
        let Some(spec) = organisation.and_then(|name| self.specs.get(name)) else { return true };
        may_start(&spec.cap, &self.usage(&spec.name).used, need)
    }

    /// Organisations whose runs take more than their caps allow.
    pub fn beyond_caps(&self) -> impl Iterator<Item = Arc<str>> {
        let names = self.uses.keys().filter(|name| self.is_beyond_cap(name));
        names.cloned()
    }

    /// Whether an organisation's runs take more than its cap allows.
    pub fn is_beyond_cap(&self, organisation: &str) -> bool {
        let Some(spec) = self.specs.get(organisation) else { return false };
        let used = self.usage(organisation).used;
        let is_beyond = |cap: u64, used: u64| cap > 0 && used > cap;
        is_beyond(spec.cap.cpu, used.cpu)
            || is_beyond(spec.cap.memory, used.memory)
            || is_beyond(spec.cap.accelerators, used.accelerators)
    }

    /// What an organisation's cap leaves of each resource, `u64::MAX` where it has no limit; `None`
    /// for an unknown organisation.
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

/// What caps leave for waiting work, reduced task by task as it is counted.
#[derive(Debug, Default)]
pub(crate) struct CapBudget {
    remaining: HashMap<Arc<str>, ResourceVector>,
}

impl CapBudget {
    /// How many of `wanted` tasks of this need could run now; their resources are no longer left
    /// for other tasks of the organisation.
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

fn is_batch(spec: Option<&StepSpec>) -> bool {
    spec.is_some_and(|spec| !spec.is_service)
}

/// Whether a task of this need may start under a cap with so much in use: it fits, or less than
/// half of every limit is in use. Otherwise a task larger than half of a cap might never run.
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
