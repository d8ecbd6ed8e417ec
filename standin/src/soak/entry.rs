//! One entry as a process: started with its settings file, harmed by signals, started again.

use std::fs::OpenOptions;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::{HeaderMap, Method};
use ibisweir::transport::{HttpCall, HttpTransport};
use serde_json::{Value, json};
use tokio::process::{Child, Command};
use tokio::sync::Mutex;
use tokio::time::timeout;

use crate::jobs::proxy::FaultProxy;
use crate::jobs::site::JobPlatform;

/// Variable that holds the path of the settings file.
const SETTINGS_VARIABLE: &str = "IBISWEIR_BOOT";
/// Second number of the first entry's address: the low ones are what tests use by hand.
const FIRST_OCTET: u8 = 64;
/// Time for a stopped process to end; only a hang reaches it.
const STOP_PATIENCE: Duration = Duration::from_secs(60);
/// Path of the metrics, and the line that tells of a leader.
const METRICS_PATH: &str = "/metrics";
const LEADS: &str = "ibisweir_job_leading 1";
/// Time for a readiness probe, and for the metrics.
const PROBE_PATIENCE: Duration = Duration::from_millis(500);

/// An entry.
#[derive(Debug)]
pub struct EntryProcess {
    /// Its name.
    pub name: String,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where other entries and operators reach it.
    pub peer: SocketAddr,
    /// Its link to the log.
    pub log_link: FaultProxy,
    /// Its link to the VM service.
    pub vm_link: FaultProxy,
    ready: SocketAddr,
    daemon: PathBuf,
    settings: PathBuf,
    /// File that has what it wrote.
    pub output: PathBuf,
    child: Mutex<Option<Child>>,
    is_frozen: AtomicBool,
    is_ready: AtomicBool,
    was_ready: AtomicBool,
}

/// Addresses that nobody else binds between two starts of an entry: an address of the loopback range
/// for each entry of this process, and ports that the system has found free there.
fn free_addresses(number: u8) -> std::io::Result<[SocketAddr; 3]> {
    let [.., high, low] = std::process::id().to_be_bytes();
    let ip = [127, FIRST_OCTET + number, high, low];
    let listeners: Vec<TcpListener> =
        (0..3).map(|_| TcpListener::bind(SocketAddr::from((ip, 0)))).collect::<Result<_, _>>()?;
    let mut addresses = [SocketAddr::from((ip, 0)); 3];
    for (address, listener) in addresses.iter_mut().zip(&listeners) {
        *address = listener.local_addr()?;
    }
    Ok(addresses)
}

fn get(path: &str) -> HttpCall {
    HttpCall {
        method: Method::GET,
        path: path.to_owned(),
        headers: HeaderMap::new(),
        body: bytes::Bytes::new(),
    }
}

impl EntryProcess {
    /// Starts an entry that reaches the platform over links of its own, and is told this part of a core.
    ///
    /// # Errors
    /// If a file, an address or the program can't be had.
    pub async fn start(
        number: u8,
        cpu_share: f64,
        daemon: &Path,
        directory: &Path,
        platform: &JobPlatform,
    ) -> std::io::Result<EntryProcess> {
        let name = format!("entry-{number}");
        let addresses = free_addresses(number)?;
        let log_link = FaultProxy::open(platform.log().address).await?;
        let vm_link = FaultProxy::open(platform.vm_service).await?;
        let text = platform.settings(&name, addresses, log_link.address, vm_link.address);
        let mut file: Value = serde_json::from_str(&text)?;
        file["limits"] = json!({ "cpu-share": cpu_share });
        let settings = directory.join(format!("{name}.json"));
        std::fs::write(&settings, file.to_string())?;
        let entry = EntryProcess {
            callers: addresses[0],
            peer: addresses[2],
            log_link,
            vm_link,
            ready: addresses[1],
            daemon: daemon.to_owned(),
            settings,
            output: directory.join(format!("{name}.log")),
            name,
            child: Mutex::new(None),
            is_frozen: AtomicBool::new(false),
            is_ready: AtomicBool::new(false),
            was_ready: AtomicBool::new(false),
        };
        entry.spawn().await?;
        Ok(entry)
    }

    async fn spawn(&self) -> std::io::Result<()> {
        let output = OpenOptions::new().create(true).append(true).open(&self.output)?;
        let errors = output.try_clone()?;
        let child = Command::new(&self.daemon)
            .env(SETTINGS_VARIABLE, &self.settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .kill_on_drop(true)
            .spawn()?;
        *self.child.lock().await = Some(child);
        Ok(())
    }

    /// Id of the process, while it runs.
    pub async fn process_id(&self) -> Option<u32> {
        self.child.lock().await.as_ref().and_then(Child::id)
    }

    /// Sends a signal to the process, by its id.
    pub async fn signal(&self, name: &str) {
        match name {
            "-STOP" => self.is_frozen.store(true, Ordering::Relaxed),
            "-CONT" => self.is_frozen.store(false, Ordering::Relaxed),
            _ => {}
        }
        if let Some(id) = self.process_id().await {
            // One that has ended meanwhile takes no signal.
            let _ = Command::new("kill").args([name, &id.to_string()]).status().await;
        }
    }

    /// Whether a signal has stopped it that was not taken back.
    pub fn is_frozen(&self) -> bool {
        self.is_frozen.load(Ordering::Relaxed)
    }

    /// Starts the process again if it has ended, and asks whether it is ready.
    pub async fn look_after(&self) {
        let has_ended = match self.child.lock().await.as_mut() {
            Some(child) => child.try_wait().is_ok_and(|status| status.is_some()),
            None => true,
        };
        if has_ended && let Err(error) = self.spawn().await {
            println!("{} can't be started: {error}", self.name);
        }
        let answer =
            HttpTransport::open().exchange(self.ready, get("/readyz"), PROBE_PATIENCE).await;
        let is_ready = answer.is_ok_and(|answer| answer.status == 200);
        self.is_ready.store(is_ready, Ordering::Relaxed);
        self.was_ready.fetch_or(is_ready, Ordering::Relaxed);
    }

    /// Whether it says that it leads; false as well for one that does not answer.
    pub async fn leads(&self) -> bool {
        let call = get(METRICS_PATH);
        let answer = HttpTransport::open().exchange(self.peer, call, PROBE_PATIENCE).await;
        let has_line = |body: &[u8]| String::from_utf8_lossy(body).lines().any(|l| l == LEADS);
        answer.is_ok_and(|answer| has_line(&answer.body))
    }

    /// Whether it was ready when it was last looked after.
    pub fn is_ready_now(&self) -> bool {
        self.is_ready.load(Ordering::Relaxed)
    }

    /// Whether it was ready at any time.
    pub fn was_ready(&self) -> bool {
        self.was_ready.load(Ordering::Relaxed)
    }

    /// Stops the process gracefully; whether it ended with 0.
    pub async fn stop(&self) -> bool {
        self.signal("-TERM").await;
        let Some(mut child) = self.child.lock().await.take() else { return false };
        let ended = timeout(STOP_PATIENCE, child.wait()).await;
        ended.is_ok_and(|status| status.is_ok_and(|status| status.success()))
    }
}
