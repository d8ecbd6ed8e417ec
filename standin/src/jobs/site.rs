//! The platform as a whole: its log, its VMs, what operators write, and the settings of an entry.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::Method;
use serde_json::{Value, json as value};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::jobs::http::{AskedCall, GivenAnswer, json, serve};
use crate::jobs::ledger::{CANCEL_MS, JobLedger};
use crate::jobs::log::{HISTORY, LogStandin};
use crate::jobs::organisation::{KeyRegister, REVOKE_MS};
use crate::jobs::proxy::FaultProxy;
use crate::jobs::worker::{AWAY_TIME, LEASE_MAX_MS, STOP_TIME, VM_CPU, VmStandin, WorkerLife};

/// Time between two reports of a worker.
const HEARTBEAT: Duration = Duration::from_millis(300);
/// Pools that have queues.
pub const POOLS: [&str; 2] = ["tours", "residence"];
/// Pool whose workers start whatever they are told to.
pub const UNGUARDED: &str = POOLS[1];
/// Pool whose queue needs no key.
pub const OPEN: &str = POOLS[0];
/// Pool whose VMs are off.
const STANDBY: &str = "helpers";
/// Host that callers name.
pub const CALLER_HOST: &str = "site.example";
/// Attempts that a task has.
pub const ATTEMPTS: u32 = 3;

/// A VM behind the link that reaches its worker.
#[derive(Debug)]
pub struct LinkedVm {
    /// The VM.
    pub vm: VmStandin,
    /// The link of all entries to it.
    pub link: FaultProxy,
    /// Where entries reach its worker.
    address: SocketAddr,
}

/// Pools, VMs and history of a site.
#[derive(Clone, Copy, Debug)]
pub struct SiteShape {
    /// VMs, dealt to the pools and the standby pool in turn.
    pub vms: usize,
    /// Pools that have queues.
    pub pools: &'static [&'static str],
    /// Processor of a VM, in thousandths of a core.
    pub vm_cpu: u64,
    /// Records of a topic that the log keeps beside the newest of each key.
    pub history: usize,
    /// Whether the links to workers can be harmed; each connection then takes four descriptors of this process in
    /// place of one.
    pub has_links: bool,
    /// Whether all queues are open to callers without a key.
    pub is_open: bool,
}

#[derive(Debug)]
struct SiteShared {
    log: LogStandin,
    vms: Vec<LinkedVm>,
    ledger: Arc<Mutex<JobLedger>>,
    /// Waves that were asked for.
    waves: Mutex<Vec<u64>>,
    pools: &'static [&'static str],
    /// Whether all queues are open to callers without a key.
    is_open: bool,
    /// Version of the newest configuration, and the keys in it.
    config: Mutex<(u64, KeyRegister)>,
    /// Rows of the list of VMs that are left by another writer.
    odd_rows: Mutex<Vec<Value>>,
}

/// A running platform; stops when dropped.
#[derive(Debug)]
pub struct JobPlatform {
    /// Where the VM service listens.
    pub vm_service: SocketAddr,
    shared: Arc<SiteShared>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for JobPlatform {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl JobPlatform {
    /// Starts a platform with this many VMs, spread over the pools and the standby pool.
    pub async fn open(vms: usize) -> std::io::Result<JobPlatform> {
        JobPlatform::open_shape(SiteShape {
            vms,
            pools: &POOLS,
            vm_cpu: VM_CPU,
            history: HISTORY,
            has_links: true,
            is_open: false,
        })
        .await
    }

    /// Starts a platform of this shape.
    pub async fn open_shape(shape: SiteShape) -> std::io::Result<JobPlatform> {
        let ledger = Arc::new(Mutex::new(JobLedger::default()));
        let log = LogStandin::open_with_history(shape.history).await?;
        let mut linked = Vec::new();
        for number in 0..shape.vms {
            let pool = shape.pools.get(number % (shape.pools.len() + 1)).unwrap_or(&STANDBY);
            let (name, rack) = (format!("vm-{number}"), format!("r{}", number / 4));
            let vm = VmStandin::open(name, rack, pool, ledger.clone()).await?;
            if shape.vm_cpu != VM_CPU {
                vm.set_room(shape.vm_cpu);
            }
            let link = FaultProxy::open(vm.address).await?;
            let address = if shape.has_links { link.address } else { vm.address };
            linked.push(LinkedVm { vm, link, address });
        }
        let listener = TcpListener::bind(crate::site::LOOPBACK).await?;
        let vm_service = listener.local_addr()?;
        let shared = Arc::new(SiteShared {
            log,
            vms: linked,
            ledger,
            waves: Mutex::default(),
            pools: shape.pools,
            is_open: shape.is_open,
            config: Mutex::default(),
            odd_rows: Mutex::default(),
        });
        let (serving, reporting) = (shared.clone(), shared.clone());
        let server = tokio::spawn(serve(listener, move |call| {
            let shared = serving.clone();
            async move { shared.answer(&call) }
        }));
        let reports = tokio::spawn(async move { reporting.report_workers().await });
        let platform = JobPlatform { vm_service, shared, tasks: vec![server, reports] };
        platform.configure();
        Ok(platform)
    }

    /// Its log.
    pub fn log(&self) -> &LogStandin {
        &self.shared.log
    }

    /// Its VMs.
    pub fn vms(&self) -> &[LinkedVm] {
        &self.shared.vms
    }

    /// Leaves these rows in the list of VMs.
    pub fn leave_rows(&self, rows: Vec<Value>) {
        *self.shared.odd_rows.lock().unwrap_or_else(PoisonError::into_inner) = rows;
    }

    /// What was seen.
    pub fn ledger(&self) -> MutexGuard<'_, JobLedger> {
        self.shared.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts a configuration in force that differs by its version.
    pub fn configure(&self) {
        self.change_keys(|_| ());
    }

    /// Gives out one more key of an organisation.
    pub fn issue_key(&self, organisation: usize) -> String {
        self.change_keys(|keys| keys.issue(organisation))
    }

    /// Takes a key away; the log has it when this returns.
    pub fn revoke_key(&self, key: &str) {
        self.change_keys(|keys| keys.revoke(key));
    }

    /// Puts a configuration in force with other keys.
    fn change_keys<T>(&self, change: impl FnOnce(&mut KeyRegister) -> T) -> T {
        let mut config = self.shared.config.lock().unwrap_or_else(PoisonError::into_inner);
        let changed = change(&mut config.1);
        config.0 += 1;
        self.write_config(config.0, &config.1);
        changed
    }

    fn write_config(&self, version: u64, keys: &KeyRegister) {
        let pools = self.shared.pools;
        let service = |name: &str| {
            value!({ "name": name, "admission-check": name != UNGUARDED,
            "standby": name == STANDBY })
        };
        let routes: Vec<Value> =
            pools.iter().map(|pool| route(pool, self.shared.is_open)).collect();
        let services: Vec<Value> =
            pools.iter().chain([&STANDBY]).map(|name| service(name)).collect();
        let config = value!({
            "version": version, "routes": routes, "services": services, "tenants": keys.tenants(),
        });
        self.shared.log.put("keyed.op", "config", config.to_string().as_bytes());
    }

    /// Asks for the maintenance of every VM.
    pub fn begin_wave(&self, number: u64) {
        let vms: Vec<&str> = self.vms().iter().map(|linked| linked.vm.name.as_str()).collect();
        let wave = value!({ "wave": number, "machines": vms, "within-s": 20, "cap": 2 });
        self.shared.waves.lock().unwrap_or_else(PoisonError::into_inner).push(number);
        self.shared.log.put("keyed.op", &format!("wave/{number}"), wave.to_string().as_bytes());
    }

    /// Whether every wave that was asked for is said to be complete.
    pub fn waves_are_complete(&self) -> bool {
        let waves = self.shared.waves.lock().unwrap_or_else(PoisonError::into_inner);
        waves.iter().all(|number| {
            let told = self.shared.log.newest("keyed.status", &format!("wave/{number}"));
            told.is_some_and(|body| String::from_utf8_lossy(&body).contains("completed"))
        })
    }

    /// The settings file of an entry that reaches log and VM service by these addresses.
    pub fn settings(
        &self,
        name: &str,
        [callers, ready, peer]: [SocketAddr; 3],
        log: SocketAddr,
        vm_service: SocketAddr,
    ) -> String {
        value!({
            "node": name, "zone": "dc-a", "ip": peer.ip(), "port-range": [peer.port(), peer.port()],
            "listen": { "front": callers, "ready": ready },
            "orders": "call",
            "platform": { "addr": log, "form": "log" },
            "cloud": { "addr": vm_service }, "contracts": ["pressure"],
            "bounds": {
                "max-hold-ms": LEASE_MAX_MS, "stop-ms": millis(STOP_TIME), "cancel_ms": CANCEL_MS,
                "status_s": 120,
                "grace-s": 6, "maint-s": AWAY_TIME.as_secs_f64(),
                "strict-revoke": true, "revoke-ms": REVOKE_MS,
            },
        })
        .to_string()
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(0)
}

fn route(pool: &str, is_open: bool) -> Value {
    value!({
        "name": pool, "host": CALLER_HOST, "path-prefix": format!("/{pool}/"),
        "service": pool, "timeout-ms": 3_000, "slo-ms": 600, "stretch": 1.6,
        "attempts": ATTEMPTS, "public": is_open || pool == OPEN,
    })
}

impl SiteShared {
    fn answer(&self, call: &AskedCall) -> GivenAnswer {
        if call.method == Method::GET {
            let odd_rows = self.odd_rows.lock().unwrap_or_else(PoisonError::into_inner);
            let rows =
                self.vms.iter().map(|linked| linked.vm.row()).chain(odd_rows.iter().cloned());
            let rows: Vec<Value> = rows.collect();
            return json(200, &value!({ "machines": rows }));
        }
        let body = call.json();
        let name = body["machine"].as_str().unwrap_or("");
        let Some(linked) = self.vms.iter().find(|linked| linked.vm.name == name) else {
            return json(400, &value!({}));
        };
        let token = call.header("fencing-token").parse().unwrap_or(0);
        let answer = linked.vm.command(body["pool"].as_str(), body["wave"].as_u64(), token);
        if answer.as_ref().is_some_and(|answer| answer.status() == 200) {
            let mut ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
            ledger.commanded(name, token, call.header("lease-holder"));
        }
        answer
    }

    /// Keeps the workers' entries on the log as they are.
    async fn report_workers(&self) {
        let mut told: Vec<Option<(WorkerLife, Value)>> = vec![None; self.vms.len()];
        loop {
            for (linked, told) in self.vms.iter().zip(&mut told) {
                let capacity = linked.vm.capacity();
                let incarnation =
                    linked.vm.incarnation().map(|incarnation| (incarnation, capacity));
                if incarnation == *told {
                    continue;
                }
                let is_same =
                    |old: &WorkerLife| incarnation.as_ref().is_some_and(|(l, _)| l.id == old.id);
                if let Some((old, _)) = told.take().filter(|(old, _)| !is_same(old)) {
                    self.log.put("keyed.servers", &old.id, b"");
                }
                if let Some((incarnation, capacity)) = &incarnation {
                    let entry = value!({
                        "service": incarnation.pool, "addr": linked.address, "zone": "dc-a",
                        "state": "ready", "capacity": capacity, "labels": ["a", linked.vm.rack],
                        "born": incarnation.started_ms,
                    });
                    self.log.put("keyed.servers", &incarnation.id, entry.to_string().as_bytes());
                }
                *told = incarnation;
            }
            sleep(HEARTBEAT).await;
        }
    }
}
