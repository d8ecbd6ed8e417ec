//! Fixtures of the simulated scheduler: a configuration, workers, VMs, jobs.

use std::net::SocketAddr;

use ibisweir::decide::access::RevocationRule;
use ibisweir::decide::intake::ProcessLimits;
use ibisweir::jobs::model::{JobId, JobSpec, JobSubmission, ResourceVector, StepSpec, TaskKey};
use ibisweir::jobs::site::{
    CallerLimits, PoolSpec, QueueSpec, SiteBounds, SiteConfig, SiteSettings, VmEntry, VmState,
    WorkerEntry,
};

/// Queue and pool of most tests.
pub const QUEUE: &str = "holds";
pub const POOL: &str = "tours";
/// Standby pool; its VMs are off.
pub const STANDBY: &str = "helpers";
/// Start of the simulated time: a new leader without a predecessor needs no lease bound.
pub const START_MS: u64 = 100_000;
/// Age that the state of a job and a count of waiting jobs may have, in milliseconds.
pub const COUNT_AGE_MAX_MS: u64 = 2_000;
/// Wall clock at the simulated time 0, in milliseconds since the epoch.
pub const WALL_OFFSET_MS: u64 = 1_700_000_000_000;

/// Time bounds as the users' sites have them.
pub fn bounds() -> SiteBounds {
    SiteBounds {
        lease_max_ms: 6_000,
        stop_ms: 200,
        status_ms: 120_000,
        cancel_ms: 3_000,
        grace_ms: 6_000,
        remote_factor: 3.0,
        maintenance_ms: 2_000,
        are_vms_fenced: true,
        revocation: RevocationRule { is_strict: true, bound_ms: 5_000 },
    }
}

/// Settings of an entry that binds no address.
pub fn site_settings() -> SiteSettings {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    SiteSettings {
        node: "front-1".into(),
        centre: "regina-a".into(),
        callers: nowhere,
        ready: nowhere,
        peer: nowhere,
        processor: 250,
        link: 1_000,
        limits: ProcessLimits { memory: 256 << 20, descriptors: 4_096 },
        log: nowhere,
        vms: None,
        permits: None,
        record_bytes_max: 262_144,
        has_fair_shares: false,
        holds_vms: false,
        keeps_learned: false,
        admission: false,
        bounds: bounds(),
    }
}

/// One queue on one pool, and a standby pool.
pub fn config() -> SiteConfig {
    let pool = |name: &str, is_standby| PoolSpec {
        name: name.into(),
        has_admission_check: true,
        is_standby,
    };
    SiteConfig {
        version: 1,
        queues: vec![queue(QUEUE, POOL)],
        pools: vec![pool(POOL, false), pool(STANDBY, true)],
        limits: CallerLimits::default(),
        access: None,
    }
}

/// A queue with the usual limits, served by a pool.
pub fn queue(name: &str, service: &str) -> QueueSpec {
    QueueSpec {
        name: name.into(),
        host: "site.example".to_owned(),
        path_prefix: format!("/{name}/"),
        service: service.into(),
        timeout_ms: 3_000,
        objective_ms: 600,
        stretch: 1.6,
        priority: 0,
        attempts: 3,
        permits: None,
        is_open: false,
    }
}

/// A step of tasks of one core that run a second.
pub fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        need: ResourceVector { cpu: 1_000, memory: 1_000, accelerators: 0 },
        estimate_ms: 1_000,
        ..StepSpec::default()
    }
}

/// A step of service tasks, one per worker, of which one may be away.
pub fn service_step(count: u32) -> StepSpec {
    StepSpec { is_service: true, per_worker_max: 1, disruption_budget: 1, ..step(count) }
}

/// A worker of eight cores.
pub fn worker(name: &str, rack: &str) -> WorkerEntry {
    // Each VM has its own address, which its next incarnation keeps.
    let port = name.bytes().fold(1, |sum: u16, byte| sum.wrapping_mul(31) ^ u16::from(byte));
    WorkerEntry {
        id: name.into(),
        service: POOL.into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        centre: "regina-a".into(),
        is_draining: false,
        drain_left_ms: 0,
        capacity: ResourceVector { cpu: 8_000, memory: 32_000, accelerators: 0 },
        labels: vec!["a".into(), rack.into()],
    }
}

/// The VM under a worker.
pub fn vm(worker: &WorkerEntry, pool: &str) -> VmEntry {
    VmEntry {
        vm: format!("m-{}", worker.id).into(),
        pool: pool.into(),
        state: VmState::Up,
        centre: worker.centre.clone(),
        rack: worker.rack().into(),
        capacity: worker.capacity,
        worker: worker.id.clone(),
    }
}

/// Id of a job, from a number.
pub fn job_id(id: u64) -> JobId {
    JobId::parse(&format!("{id:016x}")).expect("sixteen digits")
}

/// A task of the first occurrence.
pub fn task(job: JobId, step: u16, index: u32) -> TaskKey {
    TaskKey { job, occurrence: 0, step, index }
}

/// A job of these steps.
pub fn job(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec { payload: "text".to_owned(), steps, schedule: None }
}

/// The submission that an entry writes for a job.
pub fn submission(spec: JobSpec) -> JobSubmission {
    JobSubmission {
        queue: QUEUE.into(),
        service: POOL.into(),
        accepted_ms: WALL_OFFSET_MS + START_MS,
        spec,
        kept_task_count: 0,
        organisation: None,
    }
}
