//! What the operators and the platform say of a site: queues, pools, workers, VMs, maintenance.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::decide::access::{AccessTable, RevocationRule};
use crate::jobs::model::ResourceVector;

/// Placement policy of a queue that asks for permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitPolicy {
    /// Time that the policy service takes for a call, in milliseconds.
    pub call_ms: u64,
    /// Time that it takes for each worker named, in milliseconds.
    pub worker_ms: u64,
    /// Time that a permit is valid, in milliseconds.
    pub valid_ms: u64,
}

/// One queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueSpec {
    /// Its name.
    pub name: Arc<str>,
    /// Host that callers name.
    pub host: String,
    /// Start of the paths that belong to it.
    pub path_prefix: String,
    /// Pool whose workers run its tasks.
    pub service: Arc<str>,
    /// Time for an answer, in milliseconds.
    pub timeout_ms: u64,
    /// Time allowed beyond the stretched run time, in milliseconds.
    pub objective_ms: u64,
    /// Stretch allowed on the longest chain of tasks.
    pub stretch: f64,
    /// Rank; 0 goes first and may displace others.
    pub priority: u32,
    /// Failed runs after which a task is given up.
    pub attempts: u32,
    /// Permits that starts need, if any.
    pub permits: Option<PermitPolicy>,
    /// Whether callers need no key.
    pub is_open: bool,
}

/// One pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSpec {
    /// Its name.
    pub name: Arc<str>,
    /// Whether its workers refuse what does not fit.
    pub has_admission_check: bool,
    /// Whether its VMs are off and may be lent to other pools.
    pub is_standby: bool,
}

/// Sizes and times for callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Time for a head, in milliseconds.
    pub head_ms: u64,
    /// Time that a connection may idle, in milliseconds.
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
    /// Version; only rises.
    pub version: u64,
    /// Queues.
    pub queues: Vec<QueueSpec>,
    /// Pools.
    pub pools: Vec<PoolSpec>,
    /// Bounds for callers' requests.
    pub limits: CallerLimits,
    /// Organisations and their keys; none where the site knows no organisations, and callers need no key.
    pub access: Option<AccessTable>,
}

impl SiteConfig {
    /// The queue of a request: same host, longest prefix of the path.
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

/// Id of one life of a worker: its name, and when it was born in milliseconds since the epoch, where workers may
/// start again under their name and tell.
pub fn incarnation_id(name: &str, started_ms: Option<u64>) -> Arc<str> {
    match started_ms {
        Some(born) => format!("{name}{INCARNATION_SEPARATOR}{born}").into(),
        None => name.into(),
    }
}

/// Name of the worker whose life this is, as the platform knows it.
pub fn worker_name(id: &str) -> &str {
    id.rsplit_once(INCARNATION_SEPARATOR).map_or(id, |(name, _)| name)
}

/// Between the name and the birth; no name has it.
const INCARNATION_SEPARATOR: char = '@';

/// One life of a worker as it reports itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Id of this life; see [`incarnation_id`].
    pub id: Arc<str>,
    /// Pool that it serves.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: Arc<str>,
    /// Whether it is about to leave and takes nothing new.
    pub is_draining: bool,
    /// Time that is left to it at least, in milliseconds, while it drains.
    pub drain_left_ms: u64,
    /// What it holds.
    pub capacity: ResourceVector,
    /// Kind and rack.
    pub labels: Vec<Arc<str>>,
}

impl WorkerEntry {
    /// Its rack: the last label, as the first names the kind.
    pub fn rack(&self) -> &str {
        self.labels.last().map_or("", |label| label)
    }
}

/// State of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum VmState {
    /// In its pool.
    Up,
    /// On its way to another pool.
    Moving,
    /// Being maintained.
    InMaintenance,
    /// Without power or gone.
    Down,
}

/// One VM as the platform lists it.
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
    /// What it holds.
    pub capacity: ResourceVector,
    /// Id of the worker that runs on it; empty for none.
    pub worker: Arc<str>,
}

/// A wave: each of these VMs is to be maintained once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MaintenanceWave {
    /// Its number.
    pub number: u64,
    /// VMs that are due.
    pub vms: Vec<Arc<str>>,
    /// Time that it may take, in milliseconds.
    pub within_ms: u64,
    /// VMs that may be down for it at once.
    pub parallel_max: usize,
}

/// Something that the operators wrote.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRecord {
    /// The whole configuration.
    Config(SiteConfig),
    /// A configuration that can't be read: what it changes is not known.
    UnreadableConfig,
    /// A maintenance wave.
    Wave(MaintenanceWave),
}

/// Times and behaviours that the platform promises or demands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SiteBounds {
    /// Longest lease that a worker gives, in milliseconds.
    pub lease_max_ms: u64,
    /// Longest time for a task to stop, in milliseconds.
    pub stop_ms: u64,
    /// Time from the acknowledgement of a cancellation after which nothing of the job may start, in milliseconds.
    pub cancel_ms: u64,
    /// Time for which a job's last state can be asked for, in milliseconds.
    pub status_ms: u64,
    /// Time between a stop signal and the kill, in milliseconds.
    pub grace_ms: u64,
    /// How many times as long a task takes away from its data or split over racks.
    pub remote_factor: f64,
    /// Time that a VM takes to be maintained, in milliseconds.
    pub maintenance_ms: u64,
    /// Whether the VM service refuses fencing tokens lower than one that it has seen.
    pub are_vms_fenced: bool,
    /// How soon a revoked key must be refused.
    pub revocation: RevocationRule,
}

/// Where a process runs and what it talks to.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSettings {
    /// Name of this entry VM.
    pub node: Arc<str>,
    /// Its data centre.
    pub centre: Arc<str>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the balancer's readiness probe.
    pub ready: SocketAddr,
    /// Address for other entries; metrics are served there too.
    pub peer: SocketAddr,
    /// Processor of the VM, in thousandths of a core.
    pub processor: u64,
    /// Link of the VM, in Mbit/s.
    pub link: u64,
    /// The log service.
    pub log: SocketAddr,
    /// The VM service.
    pub vms: Option<SocketAddr>,
    /// The placement policy service.
    pub permits: Option<SocketAddr>,
    /// Largest submission that fits into one record of the log, in bytes.
    pub record_bytes_max: usize,
    /// Promised times.
    pub bounds: SiteBounds,
}
