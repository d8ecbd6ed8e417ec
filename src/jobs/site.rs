//! The site as configured by operators and reported by the platform: queues, pools, workers, VMs,
//! maintenance waves.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::decide::access::{AccessTable, RevocationRule};
use crate::decide::intake::ProcessLimits;
use crate::jobs::model::ResourceVector;

/// Placement policy of a queue whose starts need permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitPolicy {
    /// Fixed time that the policy service takes for a call, in milliseconds.
    pub call_ms: u64,
    /// Additional time that it takes for each worker in the call, in milliseconds.
    pub worker_ms: u64,
    /// Time that a permit is valid, in milliseconds.
    pub valid_ms: u64,
}

/// A queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueSpec {
    /// Its name.
    pub name: Arc<str>,
    /// Host name in callers' requests.
    pub host: String,
    /// Prefix of the request paths that belong to the queue.
    pub path_prefix: String,
    /// Pool whose workers run its tasks.
    pub service: Arc<str>,
    /// Time limit for answering a caller, in milliseconds; 0 for none.
    pub timeout_ms: u64,
    /// Time allowed in addition to the stretched run time, in milliseconds.
    pub objective_ms: u64,
    /// Factor allowed on the run time of the longest chain of tasks.
    pub stretch: f64,
    /// Priority; 0 is the highest and may displace others.
    pub priority: u32,
    /// Number of failed runs after which a task is given up.
    pub attempts: u32,
    /// Placement policy, if starts need permits.
    pub permits: Option<PermitPolicy>,
    /// Whether callers need no API key.
    pub is_open: bool,
}

/// A pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSpec {
    /// Its name.
    pub name: Arc<str>,
    /// Whether its workers reject tasks that exceed their free capacity.
    pub has_admission_check: bool,
    /// Whether its VMs are off and may be lent to other pools.
    pub is_standby: bool,
}

/// Limits for callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Time limit for receiving the head, in milliseconds.
    pub head_ms: u64,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits { head_bytes: 16_384, body_bytes: 262_144, head_ms: 3_000, idle_ms: 15_000 }
    }
}

/// The whole configuration of a site.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SiteConfig {
    /// Version; increases with each change.
    pub version: u64,
    /// Queues.
    pub queues: Vec<QueueSpec>,
    /// Pools.
    pub pools: Vec<PoolSpec>,
    /// Limits for callers' requests.
    pub limits: CallerLimits,
    /// Organisations and their API keys; `None` if the site has no organisations and callers need
    /// no key.
    pub access: Option<AccessTable>,
}

impl SiteConfig {
    /// The queue of a request: same host, longest matching path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&QueueSpec> {
        self.queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter(|queue| path.starts_with(&queue.path_prefix))
            .max_by_key(|queue| queue.path_prefix.len())
    }

    /// A queue by name.
    pub fn queue(&self, name: &str) -> Option<&QueueSpec> {
        self.queues.iter().find(|queue| &*queue.name == name)
    }

    /// A pool by name.
    pub fn pool(&self, name: &str) -> Option<&PoolSpec> {
        self.pools.iter().find(|pool| &*pool.name == name)
    }
}

/// Id of one incarnation of a worker: its name and its start time in milliseconds since the epoch,
/// if workers restart under the same name and report that time; otherwise the name alone.
pub fn incarnation_id(name: &str, started_ms: Option<u64>) -> Arc<str> {
    match started_ms {
        Some(started) => format!("{name}{INCARNATION_SEPARATOR}{started}").into(),
        None => name.into(),
    }
}

/// Name of the worker in an incarnation id, as the platform knows it.
pub fn worker_name(id: &str) -> &str {
    id.rsplit_once(INCARNATION_SEPARATOR).map_or(id, |(name, _)| name)
}

/// Separates name and start time; names don't contain it.
const INCARNATION_SEPARATOR: char = '@';

/// One incarnation of a worker as it reports itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Id of the incarnation; see [`incarnation_id`].
    pub id: Arc<str>,
    /// Pool that it serves.
    pub service: Arc<str>,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: Arc<str>,
    /// Whether it will shut down soon and takes no new tasks.
    pub is_draining: bool,
    /// Minimum time until it shuts down, in milliseconds, while it drains.
    pub drain_left_ms: u64,
    /// Total capacity.
    pub capacity: ResourceVector,
    /// Labels: the kind of VM first, the rack last.
    pub labels: Vec<Arc<str>>,
}

impl WorkerEntry {
    /// Its rack, which is the last label.
    pub fn rack(&self) -> &str {
        self.labels.last().map_or("", |label| label)
    }
}

/// State of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum VmState {
    /// Running in its pool.
    Up,
    /// Moving to another pool.
    Moving,
    /// Under maintenance.
    InMaintenance,
    /// Powered off or gone.
    Down,
}

/// A VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmEntry {
    /// Its name.
    pub vm: Arc<str>,
    /// Its pool.
    pub pool: Arc<str>,
    /// Its state.
    pub state: VmState,
    /// Its data centre.
    pub centre: Arc<str>,
    /// Its rack.
    pub rack: Arc<str>,
    /// Total capacity.
    pub capacity: ResourceVector,
    /// Id of the worker that runs on it; empty if there is none.
    pub worker: Arc<str>,
}

/// A maintenance wave: each of its VMs is to be maintained once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MaintenanceWave {
    /// Its number.
    pub number: u64,
    /// VMs to be maintained.
    pub vms: Vec<Arc<str>>,
    /// Time limit for the whole wave, in milliseconds.
    pub within_ms: u64,
    /// Largest number of VMs that the wave may take down at the same time.
    pub parallel_max: usize,
}

/// A record written by the operators.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRecord {
    /// The whole configuration.
    Config(SiteConfig),
    /// A configuration that can't be decoded: its changes are unknown.
    UnreadableConfig,
    /// A maintenance wave.
    Wave(MaintenanceWave),
}

/// Time limits and guarantees of the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteBounds {
    /// Longest lease that a worker accepts, in milliseconds.
    pub lease_max_ms: u64,
    /// Longest time that a task takes to stop, in milliseconds.
    pub stop_ms: u64,
    /// Time after a cancellation is acknowledged from which no task of the job may start, in
    /// milliseconds.
    pub cancel_ms: u64,
    /// Time for which the final state of a job can be queried, in milliseconds.
    pub status_ms: u64,
    /// Time between the stop signal and the kill, in milliseconds.
    pub grace_ms: u64,
    /// Factor on the run time of a task that runs away from its data or is split over racks.
    pub remote_factor: f64,
    /// Time that the maintenance of a VM takes, in milliseconds.
    pub maintenance_ms: u64,
    /// Whether the VM service rejects fencing tokens lower than the highest one that it has seen.
    pub are_vms_fenced: bool,
    /// How soon a revoked API key must be rejected.
    pub revocation: RevocationRule,
}

/// Settings of a process: its VM and the services that it uses.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSettings {
    /// Name of the VM that the entry runs on.
    pub node: Arc<str>,
    /// Its data centre.
    pub centre: Arc<str>,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for the load balancer's readiness probe.
    pub ready: SocketAddr,
    /// Listen address for other entries; also serves metrics.
    pub peer: SocketAddr,
    /// Processor capacity of the VM, in thousandths of a core.
    pub processor: u64,
    /// Bandwidth of the VM's link, in Mbit/s.
    pub link: u64,
    /// Memory and descriptors of the process.
    pub limits: ProcessLimits,
    /// Address of the log service.
    pub log: SocketAddr,
    /// Address of the VM service, if there is one.
    pub vms: Option<SocketAddr>,
    /// Address of the placement policy service, if there is one.
    pub permits: Option<SocketAddr>,
    /// Largest submission that fits into one log record, in bytes.
    pub record_bytes_max: usize,
    /// Whether jobs in time are ordered by the running work of their organisations.
    pub has_fair_shares: bool,
    /// Whether idle VMs are held between bursts of different pools.
    pub holds_vms: bool,
    /// Whether learned run times and used shares are handed on to the next leader.
    pub keeps_learned: bool,
    /// Whether submissions are rejected that a pool's backlog makes useless.
    pub admission: bool,
    /// Time limits and guarantees of the platform.
    pub bounds: SiteBounds,
}
