//! Crowds of callers, and an entry as a process with the limits of a small VM.
#![allow(dead_code, reason = "each test file uses its own part of this module")]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use http::Method;
use ibisweir_standin::jobs::site::{CALLER_HOST, JobPlatform};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::support::process::{ProcessGroup, run_tool};
use crate::support::{WAIT_TIMEOUT, try_call, wait, wait_ready};

/// Descriptors of a VM that are for files; sockets share the others.
const FILE_DESCRIPTORS: usize = 200;
/// Time between two looks at a process's descriptors, and between two tries of an ordinary call.
const LOOK_GAP: Duration = Duration::from_millis(20);
const RETRY_GAP: Duration = Duration::from_millis(300);
/// Time without work of the entry from which it has read what a crowd has sent, and longest wait
/// for it: clients that open again keep it at work.
const CALM_TIME: Duration = Duration::from_millis(600);
const CALM_WAIT: Duration = Duration::from_secs(10);
/// Number of the next request of any crowd.
static NUMBERS: AtomicU64 = AtomicU64::new(1);
/// Tries of the ordinary call after a crowd.
const TRIES: usize = 10;

/// What a VM gives its process.
#[derive(Clone, Copy, Debug)]
pub struct MachineSize {
    pub memory_mb: usize,
    pub max_fds: usize,
}

/// What one client of a crowd does.
#[derive(Clone)]
pub struct ClientScript {
    /// Request line and headers, by the number of the request.
    pub head: Arc<dyn Fn(u64) -> String + Send + Sync>,
    /// What follows the head on the wire.
    pub body: Arc<[u8]>,
    /// Bytes of the body after which the client stops, and keeps the connection open.
    pub stop: usize,
    /// Bytes written at a time, and the pause after each.
    pub piece: usize,
    pub pause: Duration,
    /// Whether it opens again once it was answered or closed.
    pub reopens: bool,
}

/// A crowd that goes on until it is dropped.
pub struct CallerCrowd {
    arrived: Arc<AtomicUsize>,
    closed: Arc<AtomicUsize>,
    /// Connections that were answered or closed.
    rounds: Arc<AtomicUsize>,
    size: usize,
    clients: JoinSet<()>,
}

impl CallerCrowd {
    pub fn spawn(address: SocketAddr, scripts: Vec<ClientScript>) -> CallerCrowd {
        let counter = || Arc::new(AtomicUsize::new(0));
        let (arrived, closed, rounds) = (counter(), counter(), counter());
        let size = scripts.len();
        let mut clients = JoinSet::new();
        for script in scripts {
            let (arrived, closed) = (Arc::clone(&arrived), Arc::clone(&closed));
            let rounds = Arc::clone(&rounds);
            clients.spawn(async move {
                let mut has_arrived = false;
                loop {
                    let number = NUMBERS.fetch_add(1, Ordering::Relaxed);
                    let mark = || {
                        if !std::mem::replace(&mut has_arrived, true) {
                            arrived.fetch_add(1, Ordering::Relaxed);
                        }
                    };
                    play(address, &script, number, mark).await;
                    rounds.fetch_add(1, Ordering::Relaxed);
                    if !script.reopens {
                        break;
                    }
                    sleep(Duration::from_millis(5)).await;
                }
                if !has_arrived {
                    arrived.fetch_add(1, Ordering::Relaxed);
                }
                closed.fetch_add(1, Ordering::Relaxed);
            });
        }
        CallerCrowd { arrived, closed, rounds, size, clients }
    }

    /// Waits until each client has sent all that it sends, or was answered or closed.
    pub async fn arrive(&self) {
        let has_arrived = async || self.arrived.load(Ordering::Relaxed) == self.size;
        wait("the crowd to have sent all", has_arrived).await;
    }

    /// Waits until so many connections were answered or closed.
    pub async fn play_rounds(&self, rounds: usize) {
        let is_over = async || self.rounds.load(Ordering::Relaxed) >= rounds;
        wait("the crowd to be answered", is_over).await;
    }

    /// Waits until the entry has closed every connection.
    pub async fn be_closed(&self) {
        let is_closed = async || self.closed.load(Ordering::Relaxed) == self.size;
        wait("the entry to close every connection", is_closed).await;
    }

    pub async fn end(mut self) {
        self.clients.shutdown().await;
    }
}

/// One connection, until it is closed or, for a client that opens again, answered.
async fn play(address: SocketAddr, script: &ClientScript, number: u64, mut arrive: impl FnMut()) {
    let Ok(mut stream) = TcpStream::connect(address).await else { return };
    let (mut reader, mut writer) = stream.split();
    let sending = async {
        writer.write_all((script.head)(number).as_bytes()).await?;
        for piece in script.body[..script.stop].chunks(script.piece.max(1)) {
            writer.write_all(piece).await?;
            sleep(script.pause).await;
        }
        arrive();
        std::future::pending::<std::io::Result<()>>().await
    };
    let answered = async {
        let mut buffer = [0; 512];
        while reader.read(&mut buffer).await.is_ok_and(|count| count > 0) && !script.reopens {}
    };
    tokio::select! {
        _ = sending => {}
        () = answered => {}
    }
}

/// The bytes of a body in chunks of this size, with its end.
pub fn chunked(body: &[u8], size: usize) -> Arc<[u8]> {
    let mut wire = Vec::new();
    for chunk in body.chunks(size) {
        wire.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        wire.extend_from_slice(chunk);
        wire.extend_from_slice(b"\r\n");
    }
    wire.extend_from_slice(b"0\r\n\r\n");
    wire.into()
}

/// A valid job whose body has this size.
pub fn large_job(bytes: usize) -> Vec<u8> {
    let step = |image: &str| json!({ "count": 1, "cpu": 100, "mem-mb": 16, "est-ms": 100, "image": image });
    let bare = json!({ "spec": "x", "steps": [step("")] }).to_string().len();
    let image = "i".repeat(bytes - bare);
    json!({ "spec": "x", "steps": [step(&image)] }).to_string().into_bytes()
}

/// An ordinary job.
fn ordinary_job() -> String {
    json!({ "spec": "x", "steps": [{ "count": 1, "cpu": 100, "mem-mb": 16, "est-ms": 100 }] })
        .to_string()
}

/// Head of a job's submission, with what says how its body comes.
pub fn job_head(framing: String) -> Arc<dyn Fn(u64) -> String + Send + Sync> {
    Arc::new(move |number| {
        format!(
            "POST /tours/{number:016x} HTTP/1.1\r\nhost: {CALLER_HOST}\r\n\
             deadline-ms: 60000\r\n{framing}\r\n\r\n"
        )
    })
}

/// An entry as a process, watched.
pub struct WatchedEntry {
    pub callers: SocketAddr,
    child: Child,
    size: MachineSize,
    /// Most descriptors that were seen.
    fds: Arc<AtomicUsize>,
    watch: tokio::task::JoinHandle<()>,
}

impl Drop for WatchedEntry {
    fn drop(&mut self) {
        self.watch.abort();
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl WatchedEntry {
    pub fn new(child: Child, callers: SocketAddr, size: MachineSize) -> WatchedEntry {
        let (fds, id) = (Arc::new(AtomicUsize::new(0)), child.id());
        let seen = fds.clone();
        let watch = tokio::spawn(async move {
            loop {
                let count = std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count);
                seen.fetch_max(count, Ordering::Relaxed);
                sleep(LOOK_GAP).await;
            }
        });
        WatchedEntry { callers, child, size, fds, watch }
    }

    /// Most memory that the process has had, in kB.
    pub fn peak_kb(&self) -> usize {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
    }

    /// Waits until the process has read what was sent to it.
    pub async fn read_all(&self) {
        let begun = tokio::time::Instant::now();
        let (mut ticks, mut since) = (self.cpu_ticks(), begun);
        while since.elapsed() < CALM_TIME && begun.elapsed() < CALM_WAIT {
            sleep(LOOK_GAP).await;
            let now = self.cpu_ticks();
            if now > ticks + 1 {
                (ticks, since) = (now, tokio::time::Instant::now());
            }
        }
    }

    /// Processor time of the process, in hundredths of a second.
    fn cpu_ticks(&self) -> u64 {
        let path = format!("/proc/{}/stat", self.child.id());
        let stat = std::fs::read_to_string(path).unwrap_or_default();
        // The name of the process, in brackets, is the second field.
        let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
        fields.split_whitespace().skip(11).take(2).filter_map(|part| part.parse::<u64>().ok()).sum()
    }

    /// Panics unless the process lives and has kept to the size of its VM.
    pub fn check(&mut self, what: &str) {
        let ended = self.child.try_wait().expect("the process can be waited for");
        assert!(ended.is_none(), "{what}: the process has ended: {ended:?}");
        let (kb, fds) = (self.peak_kb(), self.fds.load(Ordering::Relaxed));
        let MachineSize { memory_mb, max_fds } = self.size;
        println!("{what}: peak of {kb} kB of {memory_mb} MB, {fds} descriptors of {max_fds}");
        assert!(kb > 0 && kb <= memory_mb * 1_024, "{what}: {kb} kB of {memory_mb} MB");
        let fds_max = max_fds - FILE_DESCRIPTORS;
        assert!(fds <= fds_max, "{what}: {fds} descriptors, {fds_max} are for sockets");
    }
}

/// Entries of a site of jobs, each with the limits of a small VM.
pub struct CrowdSite {
    pub entries: Vec<WatchedEntry>,
    directory: PathBuf,
    _platform: JobPlatform,
}

impl Drop for CrowdSite {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl CrowdSite {
    /// Starts entries; `limits` are those of callers' requests in the configuration.
    pub async fn open(name: &str, entries: u8, size: MachineSize, limits: Value) -> CrowdSite {
        CrowdSite::open_writing(name, entries, size, limits, Stdio::null).await
    }

    /// The same for entries whose output goes elsewhere.
    pub async fn open_writing(
        name: &str,
        entries: u8,
        size: MachineSize,
        limits: Value,
        output: fn() -> Stdio,
    ) -> CrowdSite {
        let directory =
            std::env::temp_dir().join(format!("ibisweir-crowd-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("a directory for the test's files");
        let platform = JobPlatform::open(6).await.expect("a platform");
        let config = platform.log().newest("keyed.op", "config").expect("a configuration");
        let mut config: Value = serde_json::from_slice(&config).expect("it is JSON");
        config["version"] = 2.into();
        config["limits"] = limits;
        platform.log().put("keyed.op", "config", config.to_string().as_bytes());
        let mut site = CrowdSite { entries: Vec::new(), directory, _platform: platform };
        for number in 0..entries {
            let entry = site.start(number, size, output());
            site.entries.push(entry);
        }
        for entry in 0..site.entries.len() {
            wait("an entry that stores jobs", async || site.submit(entry).await).await;
        }
        site
    }

    fn start(&self, number: u8, size: MachineSize, output: Stdio) -> WatchedEntry {
        let free = || std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let listeners = [free(), free(), free()];
        let addresses =
            listeners.each_ref().map(|listener| listener.local_addr().expect("it is bound"));
        drop(listeners);
        let (log, vms) = (self._platform.log().address, self._platform.vm_service);
        let settings = self._platform.settings(&format!("entry-{number}"), addresses, log, vms);
        let mut settings: Value = serde_json::from_str(&settings).expect("it is JSON");
        settings["limits"] = json!({
            "cpu-share": 1.0, "cores": 1.0, "link-mbps": 1_000.0,
            "memory-mb": size.memory_mb, "max-fds": size.max_fds,
        });
        let path = self.directory.join(format!("entry-{number}.json"));
        std::fs::write(&path, settings.to_string()).expect("the settings");
        let child = Command::new(env!("CARGO_BIN_EXE_ibisweird"))
            .env("IBISWEIR_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(Stdio::null())
            .spawn()
            .expect("the entry starts");
        WatchedEntry::new(child, addresses[0], size)
    }

    /// Kills an entry, and starts it again with nothing but its settings.
    pub async fn restart(&mut self, entry: usize) {
        let size = self.entries[entry].size;
        drop(self.entries.remove(entry));
        let number = u8::try_from(entry).expect("a site has few entries");
        let restarted = self.start(number, size, Stdio::null());
        self.entries.insert(entry, restarted);
    }

    /// Submits an ordinary job to an entry; whether it is stored.
    pub async fn submit(&self, entry: usize) -> bool {
        let path = format!("/tours/{:016x}", rand::random::<u64>() | 1 << 63);
        let headers = [("host", CALLER_HOST), ("deadline-ms", "3000")];
        let (callers, body) = (self.entries[entry].callers, ordinary_job());
        let call = try_call(callers, Method::POST, &path, &headers, body.as_bytes());
        let answer = tokio::time::timeout(WAIT_TIMEOUT, call).await.ok().flatten();
        answer.is_some_and(|answer| answer.status == 200)
    }

    /// Waits until a leader has had an ordinary job done.
    pub async fn be_led(&self) {
        let path = format!("/tours/{:016x}", rand::random::<u64>() | 1 << 63);
        let headers = [("host", CALLER_HOST), ("deadline-ms", "3000")];
        let callers = self.entries[0].callers;
        wait("a leader", async || {
            let body = ordinary_job();
            let call = try_call(callers, Method::POST, &path, &headers, body.as_bytes());
            drop(call.await);
            let state = try_call(callers, Method::GET, &path, &headers, b"").await;
            state.is_some_and(|state| state.body.starts_with(b"{\"state\":\"completed\""))
        })
        .await;
    }

    /// Judges every entry after a crowd.
    pub async fn check(&mut self, what: &str) {
        for entry in 0..self.entries.len() {
            let mut is_stored = false;
            for _ in 0..TRIES {
                is_stored = is_stored || self.submit(entry).await;
                if !is_stored {
                    sleep(RETRY_GAP).await;
                }
            }
            self.entries[entry].check(what);
            assert!(is_stored, "{what}: an ordinary job is not stored at entry {entry}");
        }
    }
}

/// An entry of the other mode, with a worker.
pub struct RoutedSite {
    pub entry: WatchedEntry,
    _group: ProcessGroup,
}

impl RoutedSite {
    pub async fn open(name: &str, size: MachineSize, settings: &[(&str, &str)]) -> RoutedSite {
        let mut group = ProcessGroup::open(name);
        let platform = group.standin(&["platform"]);
        let mut workers = Vec::new();
        for vm in ["dc-a-w0", "dc-a-w1", "dc-a-w2"] {
            let address = group.standin(&["worker", vm, "--platform", &platform]);
            workers.push((vm, address.parse().expect("a worker prints IP:port")));
        }
        let fleet = ibisweir_standin::fleet::FleetShape {
            centres: vec![("dc-a".to_owned(), "r".to_owned())],
            pools: vec![("tours".to_owned(), 3, 0)],
            ..ibisweir_standin::fleet::FleetShape::halvorsen()
        };
        let document = fleet.document(|vm| {
            let found = workers.iter().find(|(name, _)| *name == vm.as_str());
            found.expect("every VM has a worker").1
        });
        let text = serde_json::to_string(&document).expect("a document is JSON");
        let file = group.file("site.json", &text);
        let run = run_tool(&["publish", &file, "--platform", &platform]);
        assert_eq!(run.status, Some(0), "{run:?}");
        let (memory, fds) = (size.memory_mb.to_string(), size.max_fds.to_string());
        let mut variables = vec![("IBISWEIR_MEMORY_MB", &*memory), ("IBISWEIR_MAX_FDS", &*fds)];
        variables.extend_from_slice(settings);
        let entry = group.entry_with("a1", "dc-a", &platform, &variables);
        wait_ready(entry.admin, 3).await;
        let (child, callers) = entry.into_parts();
        RoutedSite { entry: WatchedEntry::new(child, callers, size), _group: group }
    }

    /// Sends an ordinary request; whether it is served.
    pub async fn request(&self) -> bool {
        let callers = self.entry.callers;
        let call = try_call(callers, Method::POST, "/tours/hold", &[], b"x");
        let answer = tokio::time::timeout(WAIT_TIMEOUT, call).await.ok().flatten();
        answer.is_some_and(|answer| answer.status == 200)
    }

    /// Judges the entry after a crowd.
    pub async fn check(&mut self, what: &str) {
        let mut is_served = false;
        for _ in 0..TRIES {
            is_served = is_served || self.request().await;
            if !is_served {
                sleep(RETRY_GAP).await;
            }
        }
        self.entry.check(what);
        assert!(is_served, "{what}: an ordinary request is not served");
    }
}

/// Largest body of a job where nothing else is configured, in bytes, and of the other mode.
pub const BODY_BYTES: usize = 262_144;
pub const ROUTED_BODY_BYTES: usize = 1 << 20;
/// Body of a job that is stored: its record, in another encoding and with its queue, has to fit as well.
pub const STORED_BYTES: usize = BODY_BYTES - 1_024;
/// Largest body where chunks are very small: all of a crowd arrives before its time is over.
pub const SMALL_BODY_BYTES: usize = 65_536;
/// Memory of a crowd's bodies, in memories of the VM.
const CROWD_FACTOR: usize = 2;

/// One case at a time.
static TURN: Mutex<()> = Mutex::const_new(());

/// A crowd, and the VM that it meets.
pub struct CrowdCase {
    pub random: StdRng,
    pub size: MachineSize,
    _turn: MutexGuard<'static, ()>,
}

impl CrowdCase {
    /// Draws a VM; connections are bounded by its descriptors only where a case lowers them.
    pub async fn open(pinned: u64) -> CrowdCase {
        let turn = TURN.lock().await;
        let seed = std::env::var("IBISWEIR_TEST_SEED").ok().and_then(|text| text.parse().ok());
        let seed = seed.unwrap_or(pinned);
        println!("seed {seed}; IBISWEIR_TEST_SEED sets another");
        let mut random = StdRng::seed_from_u64(seed);
        let memory_mb = random.random_range(64..=112);
        let size = MachineSize { memory_mb, max_fds: random.random_range(4_100..=8_000) };
        CrowdCase { random, size, _turn: turn }
    }

    /// Clients whose bodies of this size take a few memories of the VM.
    pub fn clients(&self, bytes: usize) -> usize {
        CROWD_FACTOR * self.size.memory_mb * (1 << 20) / bytes
    }

    /// Lets a crowd of copies of `script` arrive at one entry, and judges it.
    pub async fn play(mut self, what: &str, script: ClientScript, clients: usize, limits: Value) {
        let scripts = vec![script; clients];
        self.play_all(what, scripts, limits).await;
    }

    pub async fn play_all(&mut self, what: &str, scripts: Vec<ClientScript>, limits: Value) {
        let mut site = CrowdSite::open(what, 1, self.size, limits).await;
        let crowd = CallerCrowd::spawn(site.entries[0].callers, scripts);
        crowd.arrive().await;
        site.entries[0].read_all().await;
        wait("an ordinary job beside the crowd", async || site.submit(0).await).await;
        crowd.end().await;
        site.check(what).await;
    }
}

/// A job with its length ahead, sent whole.
pub fn sized(bytes: usize) -> ClientScript {
    let body: Arc<[u8]> = large_job(bytes).into();
    ClientScript {
        head: job_head(format!("content-length: {bytes}")),
        stop: body.len(),
        body,
        piece: usize::MAX,
        pause: Duration::ZERO,
        reopens: false,
    }
}

/// A job in chunks of this size, sent whole.
pub fn in_chunks(bytes: usize, chunk: usize) -> ClientScript {
    let body = chunked(&large_job(bytes), chunk);
    let head = job_head("transfer-encoding: chunked".to_owned());
    ClientScript { head, stop: body.len(), body, ..sized(bytes) }
}

/// The same client, stopping this many bytes before the end.
pub fn short_by(script: ClientScript, bytes: usize) -> ClientScript {
    ClientScript { stop: script.stop - bytes, ..script }
}

/// Bytes of a chunked body's end.
pub const CHUNKED_END: usize = 5;

/// A job with this body, sent whole by a client that opens again once it is answered.
pub fn repeated(body: String) -> ClientScript {
    let body: Arc<[u8]> = body.into_bytes().into();
    let head = job_head(format!("content-length: {}", body.len()));
    ClientScript { head, stop: body.len(), body, reopens: true, ..sized(1_024) }
}
