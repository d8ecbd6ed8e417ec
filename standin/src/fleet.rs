//! Documents of the shapes that the brief and the first letter name.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ibisweir::document::{
    CentreSpec, IntentDocument, PoolSpec, ProductSpec, ServiceSpec, TeamSpec, VmSpec,
};
use ibisweir::name::{CentreName, PoolName, ProductName, RackName, ServiceName, TeamName, VmName};

/// VMs in a rack.
const RACK_VMS: u32 = 4;

/// A fleet's shape.
#[derive(Clone, Debug)]
pub struct FleetShape {
    /// Who runs it.
    pub site: &'static str,
    /// Data centres with their regions.
    pub centres: Vec<(String, String)>,
    /// Pools with their workers over all data centres, and the accelerators each needs.
    pub pools: Vec<(String, u32, u32)>,
    /// Workers of each pool that are spare.
    pub spare: u32,
    /// Accelerators of a VM.
    pub accelerators: u32,
    /// Slots and connections of a VM.
    pub slots: (u32, u32),
    /// Teams.
    pub teams: u32,
    /// Weight between buffer cost and roll-out time.
    pub rollout_weight: u32,
}

impl FleetShape {
    /// The Régie of today.
    pub fn regie() -> Self {
        let centres = ["grand-baie", "triolet", "goodlands"];
        let pools =
            [("echange", 9), ("caution", 9), ("guichet", 11), ("remboursement", 12), ("divers", 8)];
        FleetShape {
            site: "regie",
            centres: centres.map(|name| (name.to_owned(), "pamplemousses".to_owned())).to_vec(),
            pools: pools.map(|(name, workers)| (name.to_owned(), workers, 0)).to_vec(),
            spare: 1,
            accelerators: 0,
            slots: (8, 64),
            teams: 3,
            rollout_weight: 0,
        }
    }

    /// Halvorsen of today.
    pub fn halvorsen() -> Self {
        let centres = ["regina-a", "regina-b", "saskatoon-a", "winnipeg-a"];
        let pools =
            [("tours", 8), ("residence", 9), ("faculty", 11), ("scholarship", 12), ("helpers", 8)];
        FleetShape {
            site: "halvorsen",
            centres: centres.map(|name| (name.to_owned(), "prairie".to_owned())).to_vec(),
            pools: pools.map(|(name, workers)| (name.to_owned(), workers, 0)).to_vec(),
            spare: 2,
            accelerators: 0,
            slots: (8, 64),
            teams: 3,
            rollout_weight: 100,
        }
    }

    /// The size to design for, or a part of it: `workers` over `pools` pools and `centres` data
    /// centres in three regions.
    pub fn of_size(workers: u32, pools: u32, centres: u32) -> Self {
        let region = |index: u32| format!("region-{}", index % 3);
        let share = |index: u32| workers / pools + u32::from(index < workers % pools);
        FleetShape {
            site: "design",
            centres: (0..centres).map(|index| (format!("dc-{index}"), region(index))).collect(),
            pools: (0..pools).map(|index| (format!("pool-{index}"), share(index), 0)).collect(),
            spare: 2,
            accelerators: 2,
            slots: (8, 64),
            teams: 66,
            rollout_weight: 50,
        }
    }

    /// One data centre and one pool of this many workers, for experiments on the request path.
    pub fn one_pool(workers: u32) -> Self {
        FleetShape {
            centres: vec![("dc".to_owned(), "region".to_owned())],
            pools: vec![("jobs".to_owned(), workers, 0)],
            ..FleetShape::regie()
        }
    }

    /// VMs of the fleet with their data centres and racks, in order.
    pub fn vms(&self) -> Vec<(VmName, CentreName, RackName)> {
        let mut vms = Vec::new();
        for (index, (centre, _)) in self.centres.iter().enumerate() {
            let count: u32 = self.pools.iter().map(|pool| self.share(pool.1, index)).sum();
            for vm in 0..count {
                let rack = RackName::from(format!("{centre}-r{}", vm / RACK_VMS).as_str());
                let name = VmName::from(format!("{centre}-w{vm}").as_str());
                vms.push((name, CentreName::from(centre.as_str()), rack));
            }
        }
        vms
    }

    /// Part of a pool's workers that stands in a data centre.
    fn share(&self, workers: u32, centre: usize) -> u32 {
        let centres = u32::try_from(self.centres.len()).unwrap_or(1);
        let centre = u32::try_from(centre).unwrap_or(0);
        workers / centres + u32::from(centre < workers % centres)
    }

    /// The document, with the worker of each VM at the address that `address` gives.
    pub fn document(&self, address: impl Fn(&VmName) -> SocketAddr) -> IntentDocument {
        let centre = |(name, region): &(String, String)| CentreSpec {
            name: CentreName::from(name.as_str()),
            region: region.clone(),
        };
        let vms = self.vms().into_iter().map(|(name, data_centre, rack)| VmSpec {
            address: address(&name).to_string(),
            name,
            data_centre,
            rack,
            slots: self.slots.0,
            connections: self.slots.1,
            accelerators: self.accelerators,
        });
        IntentDocument {
            site: self.site.to_owned(),
            data_centres: self.centres.iter().map(centre).collect(),
            vms: vms.collect(),
            products: self.pools.iter().map(|pool| self.product(pool)).collect(),
            pools: self.pools.iter().map(|pool| self.pool(pool)).collect(),
            services: self.pools.iter().map(|pool| service(&pool.0)).collect(),
            teams: (0..self.teams).map(team).collect(),
            waves: Vec::new(),
        }
    }

    fn product(&self, (name, workers, _): &(String, u32, u32)) -> ProductSpec {
        ProductSpec {
            name: ProductName::from(name.as_str()),
            capacity: workers - self.spare,
            budget_worker_minutes: 240,
            maintenance_days: 35,
            rollout_weight: self.rollout_weight,
        }
    }

    fn pool(&self, (name, workers, accelerators): &(String, u32, u32)) -> PoolSpec {
        let share = |(index, (centre, _)): (usize, &(String, String))| {
            (CentreName::from(centre.as_str()), self.share(*workers, index))
        };
        let workers: BTreeMap<CentreName, u32> =
            self.centres.iter().enumerate().map(share).filter(|(_, share)| *share > 0).collect();
        PoolSpec {
            name: PoolName::from(name.as_str()),
            product: ProductName::from(name.as_str()),
            workers,
            accelerators: *accelerators,
        }
    }
}

fn service(name: &str) -> ServiceSpec {
    ServiceSpec {
        name: ServiceName::from(name),
        pool: PoolName::from(name),
        time_limit_ms: 10_000,
        idempotent: false,
        queue: 64,
    }
}

fn team(index: u32) -> TeamSpec {
    TeamSpec { name: TeamName::from(format!("team-{index}").as_str()), in_flight: 1_000 }
}
