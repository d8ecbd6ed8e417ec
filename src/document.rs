//! The one validated document through which intent enters the system.
//!
//! Operators edit a whole document and publish it; nothing is patched. `parse` reads the form,
//! `check` reports every fault at once with its place, so that a form can show them all.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::decide::fleet::ENTRY_LANES;
use crate::error::ResultCode;
use crate::name::{
    CentreName, PoolName, ProductName, RackName, ServiceName, TeamName, VmName, WaveName,
    is_well_formed,
};

/// Largest document that is read, in bytes.
pub const DOCUMENT_BYTES_MAX: usize = 1 << 20;
/// Longest time limit a service may have, in milliseconds.
pub const TIME_LIMIT_MS_MAX: u64 = 600_000;
/// Most slots and connections a VM may declare.
pub const VM_SLOTS_MAX: u32 = 4_096;
/// Days over which an availability budget is counted.
pub const BUDGET_DAYS: u64 = 35;

/// Everything the operators state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IntentDocument {
    /// Who runs this fleet.
    pub site: String,
    /// Data centres, each with its own entry VMs and targets.
    pub data_centres: Vec<CentreSpec>,
    /// Inventory of VMs.
    pub vms: Vec<VmSpec>,
    /// Products and what each needs.
    pub products: Vec<ProductSpec>,
    /// Pools of VMs, each for one product.
    pub pools: Vec<PoolSpec>,
    /// Services that callers name.
    pub services: Vec<ServiceSpec>,
    /// Teams and their quotas.
    #[serde(default)]
    pub teams: Vec<TeamSpec>,
    /// Maintenance waves.
    #[serde(default)]
    pub waves: Vec<WaveSpec>,
}

/// A data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CentreSpec {
    /// Name of the data centre.
    pub name: CentreName,
    /// Region, for the order in which other data centres are tried.
    pub region: String,
}

/// A VM of the inventory.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmSpec {
    /// Name of the VM.
    pub name: VmName,
    /// Data centre that it stands in.
    pub data_centre: CentreName,
    /// Rack that it fails with.
    pub rack: RackName,
    /// Address of its worker, IP:port.
    pub address: String,
    /// Requests that the worker runs at a time.
    pub slots: u32,
    /// Connections that the worker keeps open at most, over all entries.
    pub connections: u32,
    /// Accelerators, of which some pools need one.
    #[serde(default)]
    pub accelerators: u32,
}

/// A product and what it needs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProductSpec {
    /// Name of the product.
    pub name: ProductName,
    /// Workers it needs to serve its load, over all data centres.
    pub capacity: u32,
    /// Shortfall that it may have in `BUDGET_DAYS` days, in minutes times missing workers.
    pub budget_worker_minutes: u32,
    /// Days within which every one of its VMs must be maintained once.
    pub maintenance_days: u32,
    /// 0 weighs only spare capacity, 100 only the roll-out time of a wave.
    #[serde(default = "even_weight")]
    pub rollout_weight: u32,
}

/// A pool of VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// Name of the pool.
    pub name: PoolName,
    /// Product that it serves.
    pub product: ProductName,
    /// VMs it has, per data centre.
    pub workers: BTreeMap<CentreName, u32>,
    /// Accelerators that each of its VMs must have.
    #[serde(default)]
    pub accelerators: u32,
}

/// A service as callers name it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// First segment of the request's path.
    pub name: ServiceName,
    /// Pool that runs it.
    pub pool: PoolName,
    /// Time limit for requests that bring none, in milliseconds.
    pub time_limit_ms: u64,
    /// Whether a POST may be run twice without harm.
    #[serde(default)]
    pub idempotent: bool,
    /// Requests that one entry lets wait at a time.
    #[serde(default = "default_queue")]
    pub queue: u32,
}

/// A team and its quota.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// Name of the team, as the request's header gives it.
    pub name: TeamName,
    /// Requests of the team that a data centre runs at a time.
    pub in_flight: u32,
}

/// A maintenance wave: every VM of its pools is drained, rebooted and returned once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WaveSpec {
    /// Name of the wave; the same name is never run twice over a VM.
    pub name: WaveName,
    /// Pools whose VMs are maintained.
    pub pools: Vec<PoolName>,
    /// Data centres that it runs in, all if empty; names those left when one is lost.
    #[serde(default)]
    pub data_centres: Vec<CentreName>,
    /// Set to stop starting new drains; those begun end gracefully.
    #[serde(default)]
    pub cancelled: bool,
}

/// One fault of a document, with its place.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DocumentFault {
    /// Numbered code.
    pub code: ResultCode,
    /// Path of the field, as in `pools[2].product`.
    pub place: String,
    /// What is wrong, with the value or the missing figure.
    pub detail: String,
}

fn even_weight() -> u32 {
    50
}

fn default_queue() -> u32 {
    64
}

/// Reads a document and reports every fault.
pub fn parse(text: &[u8]) -> Result<IntentDocument, Vec<DocumentFault>> {
    if text.len() > DOCUMENT_BYTES_MAX {
        let detail = format!("{} bytes; the limit is {DOCUMENT_BYTES_MAX}", text.len());
        return Err(vec![fault(ResultCode::DocumentTooLarge, "document", detail)]);
    }
    let document: IntentDocument = serde_json::from_slice(text)
        .map_err(|error| vec![fault(ResultCode::DocumentSyntax, "document", error.to_string())])?;
    let faults = check(&document);
    if faults.is_empty() { Ok(document) } else { Err(faults) }
}

/// Every fault of a document that has the right form.
pub fn check(document: &IntentDocument) -> Vec<DocumentFault> {
    let mut checker = DocumentChecker { document, faults: Vec::new() };
    checker.names();
    checker.references();
    checker.ranges();
    checker.addresses();
    checker.inventory();
    checker.maintenance();
    checker.faults
}

fn fault(code: ResultCode, place: impl Into<String>, detail: impl Into<String>) -> DocumentFault {
    DocumentFault { code, place: place.into(), detail: detail.into() }
}

struct DocumentChecker<'a> {
    document: &'a IntentDocument,
    faults: Vec<DocumentFault>,
}

impl DocumentChecker<'_> {
    fn add(&mut self, code: ResultCode, place: String, detail: String) {
        self.faults.push(fault(code, place, detail));
    }

    fn names(&mut self) {
        let document = self.document;
        self.name_list("data_centres", document.data_centres.iter().map(|c| c.name.as_str()));
        self.name_list("vms", document.vms.iter().map(|vm| vm.name.as_str()));
        self.name_list("products", document.products.iter().map(|p| p.name.as_str()));
        self.name_list("pools", document.pools.iter().map(|p| p.name.as_str()));
        self.name_list("services", document.services.iter().map(|s| s.name.as_str()));
        self.name_list("teams", document.teams.iter().map(|t| t.name.as_str()));
        self.name_list("waves", document.waves.iter().map(|w| w.name.as_str()));
        for (index, vm) in document.vms.iter().enumerate() {
            if !is_well_formed(vm.rack.as_str()) {
                let place = format!("vms[{index}].rack");
                self.add(ResultCode::DocumentName, place, format!("{:?}", vm.rack.as_str()));
            }
        }
    }

    fn name_list<'n>(&mut self, list: &str, names: impl Iterator<Item = &'n str>) {
        let mut seen = HashSet::new();
        for (index, name) in names.enumerate() {
            let place = format!("{list}[{index}].name");
            if !is_well_formed(name) {
                self.add(ResultCode::DocumentName, place, format!("{name:?}"));
            } else if !seen.insert(name) {
                self.add(ResultCode::DocumentDuplicate, place, format!("{name:?}"));
            }
        }
    }

    fn references(&mut self) {
        let document = self.document;
        let centres: HashSet<_> = document.data_centres.iter().map(|c| &c.name).collect();
        let products: HashSet<_> = document.products.iter().map(|p| &p.name).collect();
        let pools: HashSet<_> = document.pools.iter().map(|p| &p.name).collect();
        for (index, vm) in document.vms.iter().enumerate() {
            let place = format!("vms[{index}].data_centre");
            self.reference(centres.contains(&vm.data_centre), place, vm.data_centre.as_str());
        }
        for (index, pool) in document.pools.iter().enumerate() {
            let place = format!("pools[{index}].product");
            self.reference(products.contains(&pool.product), place, pool.product.as_str());
            for centre in pool.workers.keys() {
                let place = format!("pools[{index}].workers.{centre}");
                self.reference(centres.contains(centre), place, centre.as_str());
            }
        }
        for (index, service) in document.services.iter().enumerate() {
            let place = format!("services[{index}].pool");
            self.reference(pools.contains(&service.pool), place, service.pool.as_str());
        }
        for (index, wave) in document.waves.iter().enumerate() {
            for (at, centre) in wave.data_centres.iter().enumerate() {
                let place = format!("waves[{index}].data_centres[{at}]");
                self.reference(centres.contains(centre), place, centre.as_str());
            }
            for (at, pool) in wave.pools.iter().enumerate() {
                let place = format!("waves[{index}].pools[{at}]");
                self.reference(pools.contains(pool), place, pool.as_str());
            }
        }
    }

    fn reference(&mut self, known: bool, place: String, name: &str) {
        if !known {
            self.add(ResultCode::DocumentReference, place, format!("{name:?}"));
        }
    }

    fn ranges(&mut self) {
        let document = self.document;
        for (index, vm) in document.vms.iter().enumerate() {
            self.range(format!("vms[{index}].slots"), vm.slots.into(), 1, VM_SLOTS_MAX.into());
            let place = format!("vms[{index}].connections");
            // Every entry that a data centre may have gets an equal part, one at least.
            self.range(place, vm.connections.into(), ENTRY_LANES.into(), VM_SLOTS_MAX.into());
        }
        for (index, product) in document.products.iter().enumerate() {
            let place = format!("products[{index}].maintenance_days");
            self.range(place, product.maintenance_days.into(), 1, 365);
            let place = format!("products[{index}].rollout_weight");
            self.range(place, product.rollout_weight.into(), 0, 100);
        }
        for (index, service) in document.services.iter().enumerate() {
            let place = format!("services[{index}].time_limit_ms");
            self.range(place, service.time_limit_ms, 1, TIME_LIMIT_MS_MAX);
            self.range(format!("services[{index}].queue"), service.queue.into(), 0, 100_000);
        }
        for (index, team) in document.teams.iter().enumerate() {
            self.range(format!("teams[{index}].in_flight"), team.in_flight.into(), 1, 1_000_000);
        }
    }

    fn range(&mut self, place: String, value: u64, low: u64, high: u64) {
        if !(low..=high).contains(&value) {
            let detail = format!("{value} is not within {low} to {high}");
            self.add(ResultCode::DocumentRange, place, detail);
        }
    }

    fn addresses(&mut self) {
        let mut seen = HashSet::new();
        for (index, vm) in self.document.vms.iter().enumerate() {
            let place = format!("vms[{index}].address");
            match vm.address.parse::<SocketAddr>() {
                Err(_) => self.add(ResultCode::DocumentAddress, place, format!("{:?}", vm.address)),
                Ok(address) if !seen.insert(address) => {
                    self.add(ResultCode::DocumentDuplicate, place, format!("{address}"));
                }
                Ok(_) => {}
            }
        }
    }

    fn inventory(&mut self) {
        for centre in &self.document.data_centres {
            // Pools that need the most accelerators draw first, as placement does.
            let needs: BTreeSet<u32> = self.document.pools.iter().map(|p| p.accelerators).collect();
            for need in needs {
                let asked: u32 = self
                    .document
                    .pools
                    .iter()
                    .filter(|pool| pool.accelerators >= need)
                    .filter_map(|pool| pool.workers.get(&centre.name))
                    .fold(0, |sum, workers| sum.saturating_add(*workers));
                let vms = self.document.vms.iter();
                let has = vms
                    .filter(|vm| vm.data_centre == centre.name && vm.accelerators >= need)
                    .count();
                if asked as usize > has {
                    let detail = format!(
                        "pools ask for {asked} VMs with {need} accelerators or more; there are {has}"
                    );
                    let place = format!("pools[*].workers.{}", centre.name);
                    self.add(ResultCode::DocumentShortOfVms, place, detail);
                }
            }
        }
    }

    /// A drain never by itself takes a product below its capacity, so it needs one spare worker.
    fn maintenance(&mut self) {
        for (index, product) in self.document.products.iter().enumerate() {
            let has = self.document.workers_of(&product.name);
            let needs = product.capacity.saturating_add(1);
            if has < needs {
                let missing = needs - has;
                let detail = format!(
                    "{has} workers for a capacity of {}: {missing} more are missing to drain one",
                    product.capacity
                );
                let place = format!("products[{index}].capacity");
                self.add(ResultCode::DocumentMaintenance, place, detail);
            }
        }
    }
}

impl IntentDocument {
    /// Longest time limit of any service, in milliseconds.
    pub fn longest_time_limit_ms(&self) -> u64 {
        self.services.iter().map(|service| service.time_limit_ms).max().unwrap_or(0)
    }

    /// Workers of all pools of a product, over all data centres.
    pub fn workers_of(&self, product: &ProductName) -> u32 {
        let pools = self.pools.iter().filter(|pool| pool.product == *product);
        let workers = pools.flat_map(|pool| pool.workers.values());
        workers.fold(0, |sum, workers| sum.saturating_add(*workers))
    }

    /// The pool of this name.
    pub fn pool(&self, name: &PoolName) -> Option<&PoolSpec> {
        self.pools.iter().find(|pool| pool.name == *name)
    }
}

impl WaveSpec {
    /// Whether the wave runs in a data centre.
    pub fn covers(&self, centre: &CentreName) -> bool {
        self.data_centres.is_empty() || self.data_centres.contains(centre)
    }
}
