//! The operators' side of an entry: metrics, readiness and status.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use tokio::net::TcpListener;

use crate::control::ControlLoop;
use crate::decide::fleet::VmPhase;
use crate::decide::slot::SlotPolicy;
use crate::decide::wave::{DAY_MS, product_workers, shortfall};
use crate::member::is_ready;
use crate::membership::EntryMembership;
use crate::metrics::EntryMetrics;
use crate::name::{CentreName, EntryName, PoolName, ProductName, VmName, WaveName};
use crate::view::{FleetView, ViewKeeper};

/// Time for the head of a request on the admin port.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// What an entry says of itself and the fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusReport {
    /// Name of the entry.
    pub entry: EntryName,
    /// Its data centre.
    pub centre: CentreName,
    /// Whether callers may be sent to it.
    pub ready: bool,
    /// Whether it is on the roster.
    pub joined: bool,
    /// Revision in force.
    pub revision: Option<u64>,
    /// Milliseconds since the log last confirmed its place.
    pub log_age_ms: Option<u64>,
    /// Data centres.
    pub centres: BTreeMap<CentreName, CentreStatus>,
    /// Products.
    pub products: BTreeMap<ProductName, ProductStatus>,
    /// Waves.
    pub waves: BTreeMap<WaveName, WaveStatus>,
    /// Pools of this data centre.
    pub pools: BTreeMap<PoolName, PoolStatus>,
}

/// A data centre as an entry sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CentreStatus {
    /// Its steward.
    pub steward: Option<EntryName>,
    /// The steward's term.
    pub term: u64,
    /// Entries on its roster.
    pub entries: Vec<EntryName>,
    /// VMs by state.
    pub vms: BTreeMap<String, Vec<VmName>>,
}

/// A product as an entry sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ProductStatus {
    /// Workers that it needs.
    pub capacity: u32,
    /// Workers that serve.
    pub serving: u32,
    /// Workers out on purpose.
    pub planned: u32,
    /// Workers lost.
    pub lost: u32,
    /// Workers that it lacks now.
    pub short: u32,
    /// Budget, in missing workers times minutes.
    pub budget_worker_minutes: u32,
    /// What is spent of it, in missing workers times milliseconds.
    pub spent_worker_ms: u64,
}

/// A wave as an entry sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveStatus {
    /// VMs that it has been through.
    pub done: usize,
    /// VMs that are out for it now.
    pub under_way: usize,
    /// VMs that it has yet to reach.
    pub open: usize,
    /// VMs that did not come back from it.
    pub stuck: Vec<VmName>,
    /// Whether it was cancelled.
    pub cancelled: bool,
}

/// A pool as an entry sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PoolStatus {
    /// Workers in the routing table.
    pub targets: usize,
    /// Requests that this entry has in flight.
    pub in_flight: u32,
    /// Requests that wait at this entry.
    pub waiting: usize,
}

/// Serves the admin port.
pub struct AdminListener<P> {
    /// The bound socket.
    pub listener: Arc<TcpListener>,
    /// Data centre of this entry.
    pub centre: CentreName,
    /// View and table.
    pub keeper: Arc<ViewKeeper<P>>,
    /// Place on the roster.
    pub membership: Arc<EntryMembership>,
    /// Metrics.
    pub metrics: Arc<EntryMetrics>,
}

impl<P: SlotPolicy> ControlLoop for AdminListener<P> {
    const NAME: &'static str = "admin";

    async fn step(&mut self) -> Duration {
        let Ok((stream, _)) = self.listener.accept().await else {
            return Duration::from_millis(50);
        };
        let answerer = AdminAnswerer {
            centre: self.centre.clone(),
            keeper: self.keeper.clone(),
            membership: self.membership.clone(),
            metrics: self.metrics.clone(),
        };
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let answer = answerer.answer(request.uri().path());
                async move { Ok::<_, Infallible>(answer) }
            });
            let mut server = http1::Builder::new();
            server.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
            // A scraper that breaks off is no concern of ours.
            let _ = server.serve_connection(TokioIo::new(stream), service).await;
        });
        Duration::ZERO
    }
}

struct AdminAnswerer<P> {
    centre: CentreName,
    keeper: Arc<ViewKeeper<P>>,
    membership: Arc<EntryMembership>,
    metrics: Arc<EntryMetrics>,
}

impl<P: SlotPolicy> AdminAnswerer<P> {
    fn answer(&self, path: &str) -> Response<Full<Bytes>> {
        match path {
            "/metrics" => {
                self.keeper.measure();
                let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
                response(StatusCode::OK, kind, self.metrics.text())
            }
            "/ready" if is_ready(&self.keeper, &self.membership) => {
                response(StatusCode::OK, "text/plain", "ready\n".to_owned())
            }
            "/ready" => {
                let reason = if self.membership.is_stopping() {
                    "stopping\n"
                } else if self.keeper.table().revision.is_none() {
                    "no configuration yet\n"
                } else {
                    "not on the roster\n"
                };
                response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", reason.to_owned())
            }
            "/status" => {
                let text = serde_json::to_string(&self.report()).unwrap_or_default();
                response(StatusCode::OK, "application/json", text)
            }
            _ => response(StatusCode::NOT_FOUND, "text/plain", "no such page\n".to_owned()),
        }
    }

    fn report(&self) -> StatusReport {
        let view = self.keeper.view();
        let table = self.keeper.table();
        let pools = table.gates.iter().map(|(name, gate)| {
            let status = PoolStatus {
                targets: gate.targets().len(),
                in_flight: gate.in_flight(),
                waiting: gate.waiting(),
            };
            (name.clone(), status)
        });
        let log_age = self.membership.log_age().map(crate::clock::millis);
        StatusReport {
            entry: self.membership.name().as_ref().clone(),
            centre: self.centre.clone(),
            ready: is_ready(&self.keeper, &self.membership),
            joined: self.membership.is_joined(),
            revision: table.revision,
            log_age_ms: log_age,
            centres: centres(&view),
            products: products(&view, self.membership.clock().wall_ms()),
            waves: waves(&view),
            pools: pools.collect(),
        }
    }
}

fn response(status: StatusCode, kind: &'static str, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

fn centres(view: &FleetView) -> BTreeMap<CentreName, CentreStatus> {
    let centres = view.fleets.iter().map(|(centre, fleet)| {
        let mut vms: BTreeMap<String, Vec<VmName>> = BTreeMap::new();
        for (vm, state) in &fleet.vms {
            vms.entry(phase_name(&state.phase).to_owned()).or_default().push(vm.clone());
        }
        let entries = fleet.roster.keys().cloned().collect();
        let steward = fleet.steward.clone();
        (centre.clone(), CentreStatus { steward, term: fleet.term, entries, vms })
    });
    centres.collect()
}

/// Name of a VM's state for people.
pub fn phase_name(phase: &VmPhase) -> &'static str {
    match phase {
        VmPhase::Serving => "serving",
        VmPhase::Draining { .. } => "draining",
        VmPhase::Rebooting { .. } => "rebooting",
        VmPhase::Lost { .. } => "lost",
        VmPhase::Spare => "spare",
    }
}

fn products(view: &FleetView, wall_ms: u64) -> BTreeMap<ProductName, ProductStatus> {
    let Some(document) = view.document() else { return BTreeMap::new() };
    let loads = product_workers(document, &view.fleets);
    let products = document.products.iter().map(|product| {
        let load = loads.get(&product.name).copied().unwrap_or_default();
        let fleets = view.fleets.values();
        let status = ProductStatus {
            capacity: product.capacity,
            serving: load.serving,
            planned: load.planned,
            lost: load.lost,
            short: shortfall(document, &load, product),
            budget_worker_minutes: product.budget_worker_minutes,
            spent_worker_ms: fleets
                .map(|f| f.spent_worker_ms(&product.name, wall_ms / DAY_MS))
                .sum(),
        };
        (product.name.clone(), status)
    });
    products.collect()
}

/// How far each wave of the document is.
pub fn waves(view: &FleetView) -> BTreeMap<WaveName, WaveStatus> {
    let Some(document) = view.document() else { return BTreeMap::new() };
    let mut statuses = BTreeMap::new();
    for wave in &document.waves {
        let mut status = WaveStatus {
            done: 0,
            under_way: 0,
            open: 0,
            stuck: Vec::new(),
            cancelled: wave.cancelled,
        };
        let fleets = view.fleets.iter().filter(|(centre, _)| wave.covers(centre));
        for (vm, state) in fleets.flat_map(|(_, fleet)| &fleet.vms) {
            if !state.pool.as_ref().is_some_and(|pool| wave.pools.contains(pool)) {
                continue;
            }
            match &state.phase {
                _ if state.waves.contains(&wave.name) => status.done += 1,
                VmPhase::Draining { .. } | VmPhase::Rebooting { .. } => status.under_way += 1,
                VmPhase::Lost { .. } => status.stuck.push(vm.clone()),
                VmPhase::Serving | VmPhase::Spare => status.open += 1,
            }
        }
        statuses.insert(wave.name.clone(), status);
    }
    statuses
}
