//! The routing table of a data centre, derived from the accepted document and the data centre's
//! fleet state.
//!
//! A VM is in the table only while the fleet state has it serving. Its epoch and boot number are
//! included, so that a connection can be checked against the assignment that it was opened for.

use std::collections::BTreeMap;

use crate::decide::fleet::{FleetState, VmPhase};
use crate::document::IntentDocument;
use crate::name::{PoolName, VmName};

/// A worker that receives requests of its pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRoute {
    /// The VM.
    pub vm: VmName,
    /// Address of its worker, IP:port.
    pub address: String,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Open connections that it accepts at most, over all entries.
    pub connections: u32,
    /// Its assignment epoch.
    pub epoch: u64,
    /// Boot number that its worker must report.
    pub boot: u64,
}

/// The routable workers of each pool in one data centre.
pub type PoolRoutes = BTreeMap<PoolName, Vec<TargetRoute>>;

/// Builds the routes of one data centre; a pool without a serving VM has an empty list.
pub fn routes(document: &IntentDocument, fleet: &FleetState) -> PoolRoutes {
    let mut routes: PoolRoutes =
        document.pools.iter().map(|pool| (pool.name.clone(), Vec::new())).collect();
    for spec in &document.vms {
        let Some(state) = fleet.vms.get(&spec.name) else { continue };
        if state.phase != VmPhase::Serving {
            continue;
        }
        let Some(targets) = state.pool.as_ref().and_then(|pool| routes.get_mut(pool)) else {
            continue;
        };
        targets.push(TargetRoute {
            vm: spec.name.clone(),
            address: spec.address.clone(),
            slots: spec.slots,
            connections: spec.connections,
            epoch: state.epoch,
            boot: state.boot,
        });
    }
    routes
}

/// Whether a request that saw epoch `seen` may still go to a VM, given the VM's own assignment
/// epoch (KIP-1251: assignment epoch <= client's epoch <= current epoch).
pub fn is_epoch_valid(assigned: u64, seen: u64, current: u64) -> bool {
    assigned <= seen && seen <= current
}
