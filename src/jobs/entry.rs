//! Assembles the job side of one entry: listeners, followers, leadership, and the graceful stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper_util::server::graceful::Watcher;
use ractor::ActorRef;
use slog::{Logger, info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::control::{LoopSupervisor, SupervisedLoop, SupervisorCall};
use crate::decide::leadership::{HolderId, LeadershipView, claim_delay_ms};
use crate::decide::replica::ReplicaList;
use crate::error::{CodeResult, ResultCode, coded};
use crate::intake::{CallerIntake, CallerStream};
use crate::jobs::caller_service::CallerService;
use crate::jobs::catch_up::CatchUpReader;
use crate::jobs::conductor::ConductorParts;
use crate::jobs::confirm::ConfirmLoop;
use crate::jobs::delegate::OfferLoop;
use crate::jobs::follower::{JobFollower, OperatorDecoder, OperatorFollower, TailReader};
use crate::jobs::leadership::{APPEND_TIMEOUT, LeadershipLoop};
use crate::jobs::metrics::JobMetrics;
use crate::jobs::node::JobNode;
use crate::jobs::ports::{JobLog, LogTopic, PermitClient, VmClient, WorkerClient};
use crate::jobs::query::QueryClient;
use crate::jobs::relay::{self, PeerService, RelayClient};
use crate::jobs::site::SiteSettings;
use crate::jobs::submitter;
use crate::jobs::timeout_estimator::TimeoutEstimator;
use crate::listener::{self, CallerConnections};
use crate::transport::HttpTransport;

/// Time at a stop between reporting not ready and closing connections. The load balancer probes
/// once a second and removes the entry after two failed probes.
const STOP_NOTICE: Duration = Duration::from_millis(2_400);
/// Time for requests in flight after that, within the platform's limit for a stop.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_600);
/// Share of the platform's limit for a stop that is left unused.
const STOP_RESERVE: Duration = Duration::from_millis(500);
/// Delay after a failed accept, as when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Protocol of callers and readiness probes; the platform's adapter implements it.
pub trait CallerProtocol<L: JobLog>: Clone + Send + Sync + 'static {
    /// Serves a caller's requests until the connection ends or `watcher` asks for a graceful close.
    fn serve(
        &self,
        stream: CallerStream,
        service: CallerService<L>,
        watcher: Watcher,
    ) -> impl Future<Output = ()> + Send;

    /// Serves readiness probes until the connection ends.
    fn serve_probes(
        &self,
        stream: TcpStream,
        node: Arc<JobNode>,
    ) -> impl Future<Output = ()> + Send;
}

/// Connections of an entry to the outside.
pub struct EntryPorts<L, W, V, P, C> {
    /// Clients that a leader uses.
    pub leader: ConductorParts<L, W, V, P>,
    /// Protocol of the callers.
    pub callers: C,
    /// Decodes the operators' records.
    pub operator_decoder: OperatorDecoder,
    /// Sends requests to other entries.
    pub transport: HttpTransport,
}

/// A running entry.
pub struct JobEntry {
    /// Address on which callers are served.
    pub callers: SocketAddr,
    node: Arc<JobNode>,
    supervisor: ActorRef<SupervisorCall>,
    accepting: Vec<JoinHandle<()>>,
    connections: Arc<CallerConnections>,
}

impl JobEntry {
    /// Binds the addresses and starts the loops.
    ///
    /// # Errors
    /// `BindFailed` if an address can't be bound.
    pub async fn open<L, W, V, P, C>(
        settings: SiteSettings,
        ports: EntryPorts<L, W, V, P, C>,
        logger: Logger,
    ) -> CodeResult<JobEntry>
    where
        L: JobLog,
        W: WorkerClient,
        V: VmClient,
        P: PermitClient,
        C: CallerProtocol<L>,
    {
        let callers = listener::bind_callers(settings.callers)?;
        let ready = bind(settings.ready).await?;
        let peers = bind(settings.peer).await?;
        let address = callers
            .local_addr()
            .map_err(|error| coded(ResultCode::BindFailed, error.to_string()))?;
        let metrics = Arc::new(JobMetrics::of_transport(&ports.transport));
        let node = Arc::new(JobNode::new(settings, metrics, logger));
        let incarnation = node.incarnation;
        info!(node.logger, "starting"; "callers" => %address, "life" => format!("{incarnation:x}"),
            "log" => %node.settings.log);
        let log = ports.leader.log.clone();
        let offers = ports.transport.clone();
        // The leadership stream decides whether this entry keeps a replica of the job log.
        node.set_replicas(&ReplicaList::default(), false);
        let queries = QueryClient::new(ports.transport.clone());
        let relay = RelayClient::new(ports.transport);
        let submitter = submitter::spawn(node.clone(), log.clone(), relay.clone(), incarnation);
        let reader = Arc::new(CatchUpReader::new(node.clone(), log));
        let peer_service = PeerService {
            node: node.clone(),
            workers: ports.leader.workers.clone(),
            reader: reader.clone(),
        };
        let service = CallerService { node: node.clone(), reader, submitter, relay, queries };
        let connections = Arc::new(CallerConnections::open());
        let intake = CallerIntake::open(
            node.settings.limits,
            usize::MAX,
            node.metrics.intake.clone(),
            &node.logger,
        );
        let accepting = vec![
            tokio::spawn(accept_callers(
                callers,
                service,
                ports.callers.clone(),
                connections.clone(),
                intake,
            )),
            tokio::spawn(accept_probes(ready, node.clone(), ports.callers)),
            tokio::spawn(relay::accept(peers, peer_service)),
        ];
        let loops = loops(&node, &ports.leader, ports.operator_decoder, offers);
        let supervisor = LoopSupervisor::spawn(node.logger.clone(), loops)
            .await
            .map_err(|error| coded(ResultCode::BindFailed, error))?;
        Ok(JobEntry { callers: address, node, supervisor, accepting, connections })
    }

    /// Shared state.
    pub fn node(&self) -> &Arc<JobNode> {
        &self.node
    }

    /// Stops gracefully. The entry first reports not ready and gives up the leadership, but still
    /// serves callers until the load balancer has noticed. Then each connection closes once its
    /// requests in flight are finished. Returns whether no request was cut off.
    pub async fn stop(self) -> bool {
        let started = Instant::now();
        info!(self.node.logger, "stopping");
        self.node.begin_stop();
        let grace = Duration::from_millis(self.node.settings.bounds.grace_ms);
        let stop_time = grace.saturating_sub(STOP_RESERVE);
        sleep(STOP_NOTICE.min(stop_time / 2)).await;
        for task in &self.accepting {
            task.abort();
        }
        let drain_time = DRAIN_TIMEOUT.min(stop_time.saturating_sub(started.elapsed()));
        let is_graceful = self.connections.close(drain_time).await;
        if !is_graceful {
            warn!(self.node.logger, "requests still in flight at the end of the stop were cut off");
        }
        // If the supervisor is gone already, nothing is left to stop.
        let _ = self.supervisor.cast(SupervisorCall::StopAll);
        info!(self.node.logger, "stopped"; "graceful" => is_graceful);
        is_graceful
    }
}

fn holder(settings: &SiteSettings, incarnation: u64) -> HolderId {
    let delay_ms = claim_delay_ms(settings.processor, settings.link);
    HolderId { name: settings.node.clone(), incarnation, delay_ms }
}

async fn bind(address: SocketAddr) -> CodeResult<TcpListener> {
    listener::bind(address).await
}

async fn accept_callers<L: JobLog, C: CallerProtocol<L>>(
    listener: TcpListener,
    service: CallerService<L>,
    protocol: C,
    connections: Arc<CallerConnections>,
    intake: Arc<CallerIntake>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Some(watcher) = connections.watcher() else { return };
                let stream = intake.admit(stream).await;
                let (service, protocol) = (service.clone(), protocol.clone());
                tokio::spawn(async move { protocol.serve(stream, service, watcher).await });
            }
            Err(error) => {
                warn!(service.node.logger, "can't accept a caller's connection"; "error" => %error);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn accept_probes<L: JobLog, C: CallerProtocol<L>>(
    listener: TcpListener,
    node: Arc<JobNode>,
    protocol: C,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (node, protocol) = (node.clone(), protocol.clone());
                tokio::spawn(async move { protocol.serve_probes(stream, node).await });
            }
            Err(error) => {
                warn!(node.logger, "can't accept a probe's connection"; "error" => %error);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn loops<L, W, V, P>(
    node: &Arc<JobNode>,
    parts: &ConductorParts<L, W, V, P>,
    decoder: OperatorDecoder,
    transport: HttpTransport,
) -> Vec<SupervisedLoop>
where
    L: JobLog,
    W: WorkerClient,
    V: VmClient,
    P: PermitClient,
{
    let jobs = (node.clone(), parts.log.clone());
    let operator = (node.clone(), parts.log.clone());
    let leadership = (node.clone(), parts.clone());
    let offers = node.clone();
    let confirmations = (node.clone(), transport.clone());
    vec![
        SupervisedLoop::new(move || JobFollower {
            node: jobs.0.clone(),
            log: jobs.1.clone(),
            tail: TailReader::new(LogTopic::Jobs),
            replica_epoch: jobs.0.replica_epoch(),
        }),
        SupervisedLoop::new(move || OperatorFollower {
            node: operator.0.clone(),
            log: operator.1.clone(),
            tail: TailReader::new(LogTopic::Operator),
            decoder,
            has_unreadable_config: false,
        }),
        SupervisedLoop::new(move || LeadershipLoop {
            node: leadership.0.clone(),
            parts: leadership.1.clone(),
            own: holder(&leadership.0.settings, leadership.0.incarnation),
            view: LeadershipView::default(),
            conductor: None,
            is_in_doubt: false,
            append_timeout: TimeoutEstimator::new(APPEND_TIMEOUT),
            pending: None,
            resigned_term: 0,
        }),
        SupervisedLoop::new(move || OfferLoop {
            node: offers.clone(),
            transport: transport.clone(),
            offered_ms: None,
        }),
        SupervisedLoop::new(move || ConfirmLoop {
            node: confirmations.0.clone(),
            transport: confirmations.1.clone(),
            turn: 0,
            peers_asked_ms: None,
        }),
    ]
}
