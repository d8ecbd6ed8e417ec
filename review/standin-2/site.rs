//! A small deployment on loopback: the stand-ins, and the project's entries as processes.

use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{HOLD_MAX_MS, Worker};

/// Name of the host in clients' requests.
pub const HOST: &str = "shop.example";
/// Interval of a worker's reports of itself.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// An entry's process.
pub struct Entry {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
    child: Mutex<Option<Child>>,
}

/// All of it; the processes end with it.
pub struct Site {
    pub store: Arc<Store>,
    pub workers: Arc<Mutex<Vec<Arc<Worker>>>>,
    pub entries: Vec<Entry>,
    pub record: Arc<Record>,
    ended: Arc<AtomicBool>,
    folder: PathBuf,
}

impl Site {
    /// Starts everything with this configuration.
    pub fn open(
        record: Arc<Record>,
        config: &str,
        workers: &[(&str, &str)],
        entries: usize,
    ) -> std::io::Result<Site> {
        let folder = std::env::temp_dir().join(format!("ibisweir-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let store = Arc::new(Store::default());
        let (log, machines) = (store.clone(), store.clone());
        let log_listener = TcpListener::bind("127.0.0.1:0")?;
        let machine_listener = TcpListener::bind("127.0.0.1:0")?;
        let (log_addr, machine_addr) = (log_listener.local_addr()?, machine_listener.local_addr()?);
        http::serve(log_listener, Arc::new(move |call| log.answer(&call)));
        http::serve(machine_listener, Arc::new(move |call| machines.answer_machines(&call)));
        let mut site = Site {
            store,
            workers: Arc::default(),
            entries: Vec::new(),
            record,
            ended: Arc::default(),
            folder,
        };
        for (number, (machine, rack)) in workers.iter().enumerate() {
            site.add_worker(&format!("i-{number:08x}"), machine, rack);
        }
        site.store.write("keyed.op", "config", config);
        site.record.line(&format!("operator: wrote {config}"));
        site.keep_listed();
        // The ports are free when they are drawn; nothing else here takes ports meanwhile.
        let drawn: Vec<TcpListener> =
            (0..entries * 3).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<Result<_, _>>()?;
        let addresses: Vec<SocketAddr> =
            drawn.iter().map(|listener| listener.local_addr()).collect::<Result<_, _>>()?;
        drop(drawn);
        for (number, ports) in addresses.chunks(3).enumerate() {
            let name = format!("front-{}", number + 1);
            let file = site.folder.join(format!("{name}.json"));
            std::fs::write(&file, settings(&name, ports, log_addr, machine_addr))?;
            let log = std::fs::File::create(site.folder.join(format!("{name}.log")))?;
            let mut command = Command::new("target/release/ibisweird");
            // SAFETY: the closure makes one system call, which may be made between fork and exec.
            unsafe { command.pre_exec(end_with_parent) };
            let child = command
                .env_clear()
                .env("PATH", std::env::var("PATH").unwrap_or_default())
                .env("HOME", std::env::var("HOME").unwrap_or_default())
                .env("IBISWEIR_BOOT", &file)
                .stdin(Stdio::null())
                .stdout(log)
                .stderr(Stdio::null())
                .spawn()?;
            site.record.line(&format!("{name}: started"));
            site.entries.push(Entry {
                name,
                front: ports[0],
                ready: ports[1],
                metrics: ports[2],
                child: Mutex::new(Some(child)),
            });
        }
        Ok(site)
    }

    /// Starts a worker on a machine and lists it.
    fn add_worker(&self, id: &str, machine: &str, rack: &str) {
        let worker = Worker::open(id, machine, rack, &self.record);
        self.store.write("keyed.servers", id, &worker_entry(&worker, 0));
        self.record.line(&format!("worker {id}: begun on {machine} in rack {rack}"));
        self.workers.lock().unwrap().push(worker);
        self.show_machines();
    }

    /// Crashes a worker for good; returns once its entry is off the list, after three heartbeats.
    pub fn lose(&self, worker: &Worker) {
        worker.crash();
        self.workers.lock().unwrap().retain(|other| other.id != worker.id);
        self.show_machines();
        std::thread::sleep(HEARTBEAT * 3);
        self.store.write("keyed.servers", &worker.id, "");
        self.record.line(&format!("store: the entry of worker {} is removed", worker.id));
    }

    fn show_machines(&self) {
        let workers = self.workers.lock().unwrap();
        let rows: Vec<String> = workers.iter().map(|worker| machine_row(worker)).collect();
        *self.store.machines.lock().unwrap() = format!("{{\"machines\":[{}]}}", rows.join(","));
    }

    /// Has the workers report themselves until the end.
    fn keep_listed(&self) {
        let (store, workers, ended) =
            (self.store.clone(), self.workers.clone(), self.ended.clone());
        std::thread::spawn(move || {
            for seq in 1.. {
                std::thread::sleep(HEARTBEAT);
                if ended.load(Ordering::Relaxed) {
                    return;
                }
                for worker in workers.lock().unwrap().iter() {
                    store.write("keyed.servers", &worker.id, &worker_entry(worker, seq));
                }
            }
        });
    }

    /// The entry that says that it leads.
    pub fn leader(&self) -> Option<&Entry> {
        self.alive().find(|entry| {
            let text = http::send(entry.metrics, "GET", "/metrics", HOST, "");
            text.is_some_and(|(_, text)| {
                text.lines().any(|line| line.contains("leading") && line.ends_with(" 1"))
            })
        })
    }

    /// Entries whose processes were not killed.
    pub fn alive(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(|entry| entry.child.lock().unwrap().is_some())
    }

    /// Whether every entry is ready.
    pub fn is_ready(&self) -> bool {
        self.alive().all(|entry| {
            http::send(entry.ready, "GET", "/readyz", HOST, "").is_some_and(|(code, _)| code == 200)
        })
    }

    /// Sends a client's request to an entry, and records it.
    pub fn call(
        &self,
        entry: &Entry,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let answer = http::send(entry.front, method, path, HOST, body);
        let shown = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_owned(),
        };
        self.record.line(&format!("client: {method} {path} {body} at {}: {shown}", entry.name));
        answer
    }

    /// Where a task runs.
    pub fn run_of(&self, task: &str) -> Option<(Arc<Worker>, u32)> {
        let workers = self.workers.lock().unwrap();
        workers.iter().find_map(|worker| Some((worker.clone(), worker.run_of(task)?)))
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        for entry in &self.entries {
            if let Some(mut child) = entry.child.lock().unwrap().take() {
                drop(child.kill());
                drop(child.wait());
            }
        }
        if std::env::var("KEEP").is_err() {
            drop(std::fs::remove_dir_all(&self.folder));
        }
    }
}

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Has the system kill the calling process once the one that started it has ended in whatever way.
fn end_with_parent() -> std::io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: this option takes a number and touches no memory of the process.
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    }
}

/// Waits until something holds; `false` once the time is over.
pub fn wait_for(time: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + time;
    while !holds() {
        if Instant::now() >= until {
            return false;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    true
}

/// A configuration with the queues `holds` and, if so, `deeds`, of three attempts each.
pub fn config(version: u64, has_deeds: bool) -> String {
    let route = |name: &str, attempts: u32| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"shop.example\",\"path-prefix\":\"/{name}/\",\
             \"kind\":\"unsafe\",\"timeout-ms\":3000,\"slo-ms\":2500,\"priority\":0,\
             \"service\":\"desk\",\"attempts\":{attempts},\"stretch\":2.2}}"
        )
    };
    let deeds = if has_deeds { format!("{},", route("deeds", 3)) } else { String::new() };
    format!(
        "{{\"version\":{version},\"routes\":[{deeds}{}],\"services\":[{{\"name\":\"desk\",\
         \"health-path\":\"/healthz\",\"max-conns\":64,\"protocol\":\"h1\",\"tls\":false,\
         \"admission-check\":true,\"standby\":false}}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}",
        route("holds", 3)
    )
}

fn worker_entry(worker: &Worker, seq: u64) -> String {
    let (address, rack) = (worker.address, &worker.rack);
    format!(
        "{{\"service\":\"desk\",\"addr\":\"{address}\",\"zone\":\"north\",\"version\":\"v1\",\
         \"slots\":8,\"state\":\"ready\",\"cold-left-ms\":0,\
         \"capacity\":{{\"cpu\":16000,\"mem-mb\":32768,\"gpu\":0}},\
         \"labels\":[\"a\",\"{rack}\"],\"seq\":{seq}}}"
    )
}

fn machine_row(worker: &Worker) -> String {
    format!(
        "{{\"machine\":\"{}\",\"pool\":\"desk\",\"state\":\"up\",\"zone\":\"north\",\
         \"labels\":[\"a\",\"{}\"],\"capacity\":{{\"cpu\":16000,\"mem-mb\":32768,\"gpu\":0}},\
         \"id\":\"{}\"}}",
        worker.machine, worker.rack, worker.id
    )
}

/// A settings file as the deploy file's template fills it in.
fn settings(name: &str, ports: &[SocketAddr], log: SocketAddr, machines: SocketAddr) -> String {
    let (front, ready, peer) = (ports[0], ports[1], ports[2].port());
    format!(
        "{{\"node\":\"{name}\",\"role\":\"entry\",\"class\":\"front\",\"serves\":[\"front\"],\
         \"ip\":\"127.0.0.1\",\"zone\":\"north\",\"region\":\"isle\",\"zones\":{{\"north\":\"isle\"}},\
         \"listen\":{{\"front\":\"{front}\",\"ready\":\"{ready}\"}},\"port-range\":[{peer},{peer}],\
         \"seeds\":[],\"bootstrap\":true,\"counts-loss\":false,\
         \"limits\":{{\"cpu-share\":0.25,\"cores\":1,\"memory-mb\":260,\"max-fds\":4100,\
         \"link-mbps\":1000.0,\"disk-mb\":0}},\"data-dir\":null,\"discovery\":\"platform\",\
         \"entry\":\"vip\",\"heartbeat-ms\":1500,\
         \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\"],\
         \"tolerate\":{{\"machines\":2,\"zones\":1,\"regions\":0}},\
         \"bounds\":{{\"stable-window-ms\":3000,\"ack-ms\":4000,\"drain-ms\":2000,\"grace-s\":6,\
         \"config-apply-ms\":2000,\"max-hold-ms\":{HOLD_MAX_MS},\"stop-ms\":200,\
         \"gang-wait-ms\":3000,\"cancel_ms\":3000,\"visible_ms\":3000,\"early_ms\":250,\
         \"finish_s\":14,\"status_s\":120,\"remote-factor\":3,\"migrate-s\":1.5,\"maint-s\":2,\
         \"require-fence\":true,\"lease-ms\":3000}},\"orders\":\"call\",\"hint\":null,\
         \"platform\":{{\"addr\":\"{log}\",\"form\":\"log\",\"writes-per-s\":800,\
         \"reads-per-s\":2000,\"parts\":8,\"append-ms\":4.0,\"record-bytes\":262144,\
         \"call-bytes\":2097152,\"keep_s\":300,\"part-mb\":200,\"min-ttl-ms\":1000}},\
         \"cloud\":{{\"addr\":\"{machines}\",\"rate-per-s\":64.0,\"duties\":[],\"duty-per-s\":64.0}}}}"
    )
}
