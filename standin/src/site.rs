//! A whole site in one process: platform, workers and entries on loopback.

use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ibisweir::controller::EntryController;
use ibisweir::decide::intent::PublishOutcome;
use ibisweir::decide::slot::{BorrowedSlots, SlotPolicy};
use ibisweir::document::IntentDocument;
use ibisweir::error::{CodeResult, ResultCode, coded};
use ibisweir::keys::TestAuthority;
use ibisweir::logging;
use ibisweir::name::{CentreName, VmName};
use ibisweir::peer::PeerKeys;
use ibisweir::platform::{
    HttpPlatform, LogClient, MemberClient, MemberLine, ReadAnswer, RebootOrder,
};
use ibisweir::publisher::IntentPublisher;
use ibisweir::settings::EntrySettings;
use tokio::time::{Instant, sleep};

use crate::fleet::FleetShape;
use crate::platform::PlatformHandle;
use crate::worker::{WorkerHandle, WorkerShape};

/// Any port of the loopback interface.
pub const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Longest wait for a step of a site's start.
pub const PATIENCE: Duration = Duration::from_secs(60);
/// Step in which waits look again.
const LOOK: Duration = Duration::from_millis(10);

/// An entry of a site.
pub type SiteEntry<P> = EntryController<P, CuttablePlatform>;

/// The platform over a way that can be cut for one entry.
#[derive(Clone, Debug)]
pub struct CuttablePlatform {
    platform: HttpPlatform,
    is_cut: Arc<AtomicBool>,
}

impl CuttablePlatform {
    /// Cuts the way, or mends it.
    pub fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Release);
    }

    fn check(&self) -> CodeResult<()> {
        let is_cut = self.is_cut.load(Ordering::Acquire);
        if is_cut { Err(coded(ResultCode::PlatformAway, "cut off")) } else { Ok(()) }
    }
}

impl LogClient for CuttablePlatform {
    async fn append(&self, stream: &str, body: &[u8]) -> CodeResult<u64> {
        self.check()?;
        self.platform.append(stream, body).await
    }

    async fn read(&self, from: &BTreeMap<String, u64>, wait: Duration) -> CodeResult<ReadAnswer> {
        self.check()?;
        let answer = self.platform.read(from, wait).await?;
        self.check()?;
        Ok(answer)
    }
}

impl MemberClient for CuttablePlatform {
    async fn members(&self) -> CodeResult<Vec<MemberLine>> {
        self.check()?;
        self.platform.members().await
    }

    async fn reboot(&self, vm: &VmName, order: &RebootOrder) -> CodeResult<()> {
        self.check()?;
        self.platform.reboot(vm, order).await
    }
}

/// What a site is like.
#[derive(Clone, Debug)]
pub struct SiteShape<P> {
    /// Fleet.
    pub fleet: FleetShape,
    /// Entries of each data centre.
    pub entries: u32,
    /// Workers.
    pub worker: WorkerShape,
    /// Slot policy of the entries.
    pub policy: P,
    /// Settings that differ from the site's, flag and value.
    pub settings: Vec<(&'static str, String)>,
    /// Log of the entries.
    pub logger: slog::Logger,
}

impl SiteShape<BorrowedSlots> {
    /// A site of this fleet with one entry a data centre.
    pub fn new(fleet: FleetShape) -> Self {
        SiteShape {
            fleet,
            entries: 1,
            worker: WorkerShape::default(),
            policy: BorrowedSlots,
            settings: Vec::new(),
            logger: logging::silent(),
        }
    }
}

/// A running site.
pub struct LocalSite<P> {
    /// The platform.
    pub platform: PlatformHandle,
    /// Workers by VM.
    pub workers: HashMap<VmName, WorkerHandle>,
    /// Entries, in the order of the data centres.
    pub entries: Vec<SiteEntry<P>>,
    /// The document that was published.
    pub document: IntentDocument,
    /// Its revision.
    pub revision: u64,
    /// What it is like.
    pub shape: SiteShape<P>,
    authority: TestAuthority,
    opened: u32,
}

impl<P: SlotPolicy> LocalSite<P> {
    /// Brings up a platform, workers and entries, publishes the document, and waits until every
    /// entry is ready and every VM serves.
    pub async fn open(shape: SiteShape<P>) -> CodeResult<LocalSite<P>> {
        let failed = |error| coded(ResultCode::BindFailed, error);
        let platform = PlatformHandle::bind(LOOPBACK).await.map_err(failed)?;
        let mut workers = HashMap::new();
        for (vm, _, _) in shape.fleet.vms() {
            let worker =
                WorkerHandle::bind(vm.clone(), LOOPBACK, shape.worker).await.map_err(failed)?;
            platform.add_worker(vm.clone(), worker.address);
            workers.insert(vm, worker);
        }
        let document = shape.fleet.document(|vm| workers[vm].address);
        let authority = TestAuthority::open()?;
        let mut site = LocalSite {
            platform,
            workers,
            entries: Vec::new(),
            document,
            revision: 0,
            shape,
            authority,
            opened: 0,
        };
        site.revision = site.publish(&site.document.clone(), None).await?;
        for centre in site.centres() {
            for _ in 0..site.shape.entries {
                let entry = site.open_entry(&centre).await?;
                site.entries.push(entry);
            }
        }
        site.wait_serving().await?;
        Ok(site)
    }

    /// Data centres in order.
    pub fn centres(&self) -> Vec<CentreName> {
        self.document.data_centres.iter().map(|centre| centre.name.clone()).collect()
    }

    /// Publishes a document; its revision.
    pub async fn publish(&self, document: &IntentDocument, base: Option<u64>) -> CodeResult<u64> {
        let log = HttpPlatform::new(self.platform.address, Duration::from_secs(2));
        let mut publisher = IntentPublisher::open(log, PATIENCE).await?;
        match publisher.publish(document, base, "standin", PATIENCE).await? {
            PublishOutcome::Accepted { revision } => Ok(revision),
            PublishOutcome::Lost { .. } => Err(coded(ResultCode::PublishLost, "standin")),
            PublishOutcome::Faulty => Err(coded(ResultCode::DocumentSyntax, "standin")),
        }
    }

    /// Opens another entry in a data centre.
    pub async fn open_entry(&mut self, centre: &CentreName) -> CodeResult<SiteEntry<P>> {
        self.opened += 1;
        let name = format!("{centre}-e{}", self.opened);
        let keys = self.authority.entry()?;
        let settings = entry_settings(&entry_arguments(
            &name,
            centre,
            self.platform.address,
            &keys,
            &self.shape.settings,
        ))?;
        let platform =
            HttpPlatform::new(settings.address("platform"), settings.time("platform-timeout"));
        let platform = CuttablePlatform { platform, is_cut: Arc::default() };
        EntryController::open(&settings, self.shape.policy.clone(), platform, &self.shape.logger)
            .await
    }

    /// Waits until every entry has every VM of its data centre in its table.
    pub async fn wait_serving(&self) -> CodeResult<()> {
        self.wait("all VMs serving", || self.entries.iter().all(|entry| self.serving_at(entry)))
            .await
    }

    fn serving_at(&self, entry: &SiteEntry<P>) -> bool {
        let wanted: usize = self
            .document
            .pools
            .iter()
            .map(|pool| pool.workers.get(&entry.centre()).copied().unwrap_or(0) as usize)
            .sum();
        let serving: usize =
            entry.keeper().table().gates.values().map(|gate| gate.targets().len()).sum();
        serving == wanted && entry.is_ready()
    }

    /// Waits until a condition holds.
    pub async fn wait(&self, what: &str, mut holds: impl FnMut() -> bool) -> CodeResult<()> {
        let started = Instant::now();
        while !holds() {
            if started.elapsed() > PATIENCE {
                return Err(coded(ResultCode::NotReady, format!("waited in vain for {what}")));
            }
            sleep(LOOK).await;
        }
        Ok(())
    }

    /// Addresses for callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.callers).collect()
    }

    /// Stops every entry gracefully.
    pub async fn stop(self) {
        for entry in self.entries {
            entry.stop().await;
        }
    }
}

/// Arguments of an entry on loopback, with the site's times, that `changes` goes before.
pub fn entry_arguments(
    name: &str,
    centre: &CentreName,
    platform: SocketAddr,
    keys: &PeerKeys,
    changes: &[(&'static str, String)],
) -> Vec<String> {
    let mut values: Vec<(&str, String)> = vec![
        ("name", name.to_owned()),
        ("data-centre", centre.to_string()),
        ("platform", platform.to_string()),
        ("listen", LOOPBACK.to_string()),
        ("admin", LOOPBACK.to_string()),
        ("peer", LOOPBACK.to_string()),
        ("peer-ca", keys.ca.clone()),
        ("peer-cert", keys.cert.clone()),
        ("peer-key", keys.key.clone()),
        ("gossip", "100".to_owned()),
        ("beat", "100".to_owned()),
        ("probe", "500".to_owned()),
        ("drain-notice", "100".to_owned()),
        ("drain-estimate", "2000".to_owned()),
    ];
    values.retain(|(flag, _)| !changes.iter().any(|(changed, _)| changed == flag));
    values.extend(changes.iter().cloned());
    values.into_iter().flat_map(|(flag, value)| [format!("--{flag}"), value]).collect()
}

fn entry_settings(arguments: &[String]) -> CodeResult<EntrySettings> {
    EntrySettings::read(arguments, &HashMap::new()).map_err(|faults| {
        let texts: Vec<String> =
            faults.iter().map(|fault| format!("--{}: {}", fault.flag, fault.detail)).collect();
        coded(ResultCode::SettingRange, texts.join("; "))
    })
}
