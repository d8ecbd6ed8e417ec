//! Ties the parts of one entry together: opens them, supervises their loops, and stops them
//! gracefully.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ractor::ActorRef;
use slog::{Logger, info, o, warn};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::admin::AdminListener;
use crate::clock::ProcessClock;
use crate::connection::ConnectionLimits;
use crate::control::{LoopSupervisor, SupervisedLoop, SupervisorCall};
use crate::decide::fleet::FleetBody;
use crate::decide::intake::ProcessLimits;
use crate::decide::key::KeyLimits;
use crate::decide::retry::RetryBudget;
use crate::decide::roster::LeaseTimes;
use crate::decide::slot::SlotPolicy;
use crate::decide::wave::PlanTimes;
use crate::error::{CodeResult, ResultCode, coded};
use crate::follower::LogFollower;
use crate::gossip::{GossipBook, GossipContext, GossipSender};
use crate::intake::CallerIntake;
use crate::keyring::KeyRing;
use crate::listener::{CallerConnections, CallerListener, ListenerLimits, bind, bind_callers};
use crate::member::{RosterMember, append, is_ready, record, send_hand_over};
use crate::membership::EntryMembership;
use crate::metrics::EntryMetrics;
use crate::name::CentreName;
use crate::peer::{PeerCall, PeerHandler, PeerKeys, PeerReply, QuicPeers};
use crate::platform::{LogClient, MemberClient};
use crate::quota::QuotaBook;
use crate::router::{RequestRouter, RouterLimits};
use crate::settings::EntrySettings;
use crate::steward::{FleetSteward, StewardMemory, StewardTimes};
use crate::view::{KeeperSettings, ViewKeeper};

/// Step in which a stop looks whether all is done.
const STOP_STEP: Duration = Duration::from_millis(20);
/// Longest wait of a stop for its leave to be read back.
const LEAVE_PATIENCE: Duration = Duration::from_secs(5);
/// Time between two tries to append the leave.
const LEAVE_REPEAT: Duration = Duration::from_secs(1);

/// One running entry.
pub struct EntryController<P, L> {
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where operators reach it.
    pub admin: SocketAddr,
    /// Where peers reach it.
    pub peer: SocketAddr,
    parts: EntryParts<P, L>,
    connections: Arc<CallerConnections>,
    supervisor: ActorRef<SupervisorCall>,
    server: JoinHandle<()>,
    notice: Duration,
    drain: Duration,
}

/// What the loops share.
#[derive(Clone)]
struct EntryParts<P, L> {
    centre: CentreName,
    platform: L,
    peers: QuicPeers,
    keeper: Arc<ViewKeeper<P>>,
    membership: Arc<EntryMembership>,
    keyring: Arc<KeyRing>,
    quotas: Arc<QuotaBook>,
    heard: Arc<GossipBook>,
    metrics: Arc<EntryMetrics>,
    router: Arc<RequestRouter<P, QuicPeers>>,
    logger: Logger,
}

impl<P, L> EntryController<P, L>
where
    P: SlotPolicy,
    L: LogClient + MemberClient,
{
    /// Binds the addresses and starts the loops of an entry.
    pub async fn open(
        settings: &EntrySettings,
        policy: P,
        platform: L,
        logger: &Logger,
    ) -> CodeResult<EntryController<P, L>> {
        let listener = Arc::new(bind_callers(settings.address("listen"))?);
        let admin_listener = Arc::new(bind(settings.address("admin")).await?);
        let callers = local(&listener)?;
        let admin = local(&admin_listener)?;
        let parts = EntryParts::open(settings, policy, platform, logger)?;
        let peer = parts.peers.local_address()?;
        let connections = Arc::new(CallerConnections::open());
        let mut loops = parts.loops(settings, peer);
        loops.push(parts.listener(settings, listener, connections.clone()));
        loops.push(parts.admin(admin_listener));
        let supervisor = LoopSupervisor::spawn(parts.logger.clone(), loops)
            .await
            .map_err(|error| coded(ResultCode::BindFailed, error))?;
        let server = tokio::spawn(parts.peers.clone().serve(parts.answerer(settings)));
        info!(parts.logger, "open"; "callers" => %callers, "admin" => %admin, "peer" => %peer);
        let (notice, drain) = (settings.time("drain-notice"), settings.time("drain-time"));
        Ok(EntryController {
            callers,
            admin,
            peer,
            parts,
            connections,
            supervisor,
            server,
            notice,
            drain,
        })
    }

    /// Data centre of this entry.
    pub fn centre(&self) -> CentreName {
        self.parts.centre.clone()
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        is_ready(&self.parts.keeper, &self.parts.membership)
    }

    /// View and table, for those that run an entry inside their own process.
    pub fn keeper(&self) -> &ViewKeeper<P> {
        &self.parts.keeper
    }

    /// The platform as this entry sees it.
    pub fn platform(&self) -> &L {
        &self.parts.platform
    }

    /// Metrics.
    pub fn metrics(&self) -> &EntryMetrics {
        &self.parts.metrics
    }

    /// Stops gracefully: not ready first, then callers' connections closed after what they have in
    /// flight, then keys handed over, then off the roster. Returns whether nothing was cut off.
    pub async fn stop(self) -> bool {
        let logger = self.parts.logger.clone();
        info!(logger, "stopping");
        self.parts.membership.stop();
        // The platform's balancer looks now and then; until it has, callers still arrive.
        sleep(self.notice).await;
        let graceful = self.connections.close(self.drain).await;
        if !graceful {
            warn!(logger, "requests were still in flight at the end of the drain time");
        }
        self.parts.hand_all_over(self.drain).await;
        self.parts.leave().await;
        self.close();
        graceful
    }

    /// Stops at once, as a crash would.
    pub fn kill(self) {
        self.close();
    }

    fn close(self) {
        // The supervisor may be gone already; then there is nothing left to stop.
        let _ = self.supervisor.cast(SupervisorCall::StopAll);
        self.server.abort();
        self.parts.peers.close();
    }
}

fn local(listener: &tokio::net::TcpListener) -> CodeResult<SocketAddr> {
    listener.local_addr().map_err(|error| coded(ResultCode::BindFailed, error))
}

impl<P, L> EntryParts<P, L>
where
    P: SlotPolicy,
    L: LogClient + MemberClient,
{
    fn open(
        settings: &EntrySettings,
        policy: P,
        platform: L,
        logger: &Logger,
    ) -> CodeResult<EntryParts<P, L>> {
        let clock = ProcessClock::start();
        let metrics = Arc::new(EntryMetrics::default());
        let keys = PeerKeys {
            ca: settings.text("peer-ca").to_owned(),
            cert: settings.text("peer-cert").to_owned(),
            key: settings.text("peer-key").to_owned(),
        };
        let peers = QuicPeers::bind(settings.address("peer"), &keys, metrics.clone())?;
        let centre = settings.centre();
        let times = lease_times(settings);
        let membership = Arc::new(EntryMembership::new(settings.text("name"), times, clock));
        let keyring =
            KeyRing::new(membership.clone(), times, key_limits(settings), metrics.clone());
        let keyring = Arc::new(keyring);
        let keeper_settings = KeeperSettings {
            centre: centre.clone(),
            policy,
            limits: connection_limits(settings),
            eject_time: settings.time("eject-time"),
        };
        let keeper = Arc::new(ViewKeeper::new(keeper_settings, clock, metrics.clone()));
        let quotas = Arc::new(QuotaBook::default());
        let limits = router_limits(settings);
        let router = Arc::new(RequestRouter {
            centre: centre.clone(),
            limits,
            keeper: keeper.clone(),
            peers: peers.clone(),
            membership: membership.clone(),
            keyring: keyring.clone(),
            quotas: quotas.clone(),
            metrics: metrics.clone(),
            budget: Mutex::new(RetryBudget::new(limits.retry_percent)),
        });
        let logger = logger.new(o!(
            "entry" => settings.text("name").to_owned(),
            "centre" => centre.to_string(),
        ));
        let heard = Arc::new(GossipBook::default());
        Ok(EntryParts {
            centre,
            platform,
            peers,
            keeper,
            membership,
            keyring,
            quotas,
            heard,
            metrics,
            router,
            logger,
        })
    }

    fn context(&self, settings: &EntrySettings) -> GossipContext<P> {
        GossipContext {
            centre: self.centre.clone(),
            interval: settings.time("gossip"),
            keeper: self.keeper.clone(),
            membership: self.membership.clone(),
            keyring: self.keyring.clone(),
            quotas: self.quotas.clone(),
            book: self.heard.clone(),
        }
    }

    fn answerer(&self, settings: &EntrySettings) -> PeerAnswerer<P> {
        PeerAnswerer { context: self.context(settings), router: self.router.clone() }
    }

    fn loops(&self, settings: &EntrySettings, peer: SocketAddr) -> Vec<SupervisedLoop> {
        let poll = settings.time("poll");
        let follower = self.clone();
        let member = self.clone();
        let steward = self.clone();
        let times = steward_times(settings);
        let gossip = self.clone();
        let context = self.context(settings);
        let seeds = settings.addresses("seeds");
        vec![
            SupervisedLoop::new(move || follower.follower(poll)),
            SupervisedLoop::new(move || member.member(peer)),
            SupervisedLoop::new(move || steward.steward(times)),
            SupervisedLoop::new(move || GossipSender {
                context: context.clone(),
                peers: gossip.peers.clone(),
                seeds: seeds.clone(),
                contact: None,
                behind_since: None,
                logger: gossip.logger.clone(),
            }),
        ]
    }

    fn follower(&self, poll: Duration) -> LogFollower<P, L> {
        LogFollower {
            centre: self.centre.clone(),
            log: self.platform.clone(),
            poll,
            keeper: self.keeper.clone(),
            membership: self.membership.clone(),
            keyring: self.keyring.clone(),
            metrics: self.metrics.clone(),
            logger: self.logger.clone(),
            is_away: false,
        }
    }

    fn member(&self, peer: SocketAddr) -> RosterMember<P, L, QuicPeers> {
        RosterMember {
            centre: self.centre.clone(),
            peer_address: peer.to_string(),
            log: self.platform.clone(),
            peers: self.peers.clone(),
            keeper: self.keeper.clone(),
            membership: self.membership.clone(),
            keyring: self.keyring.clone(),
            metrics: self.metrics.clone(),
            logger: self.logger.clone(),
            join_tried: None,
            confirmed: std::collections::BTreeMap::new(),
        }
    }

    fn steward(&self, times: StewardTimes) -> FleetSteward<P, L> {
        FleetSteward {
            centre: self.centre.clone(),
            times,
            platform: self.platform.clone(),
            keeper: self.keeper.clone(),
            membership: self.membership.clone(),
            heard: self.heard.clone(),
            metrics: self.metrics.clone(),
            logger: self.logger.clone(),
            memory: StewardMemory::default(),
        }
    }

    fn listener(
        &self,
        settings: &EntrySettings,
        listener: Arc<tokio::net::TcpListener>,
        connections: Arc<CallerConnections>,
    ) -> SupervisedLoop {
        let router = self.router.clone();
        let limits = listener_limits(settings);
        let intake = CallerIntake::open(
            process_limits(settings),
            settings.count("callers-max"),
            self.metrics.intake.clone(),
            &self.logger,
        );
        intake.set_limits(limits.head_timeout, limits.body_max);
        SupervisedLoop::new(move || CallerListener {
            listener: listener.clone(),
            limits,
            router: router.clone(),
            connections: connections.clone(),
            intake: intake.clone(),
        })
    }

    fn admin(&self, listener: Arc<tokio::net::TcpListener>) -> SupervisedLoop {
        let parts = self.clone();
        SupervisedLoop::new(move || AdminListener {
            listener: listener.clone(),
            centre: parts.centre.clone(),
            keeper: parts.keeper.clone(),
            membership: parts.membership.clone(),
            metrics: parts.metrics.clone(),
        })
    }

    /// Stops running keys, waits for those that run, and gives every outcome to its next owner.
    async fn hand_all_over(&self, patience: Duration) {
        self.keyring.close();
        let started = Instant::now();
        while self.keyring.is_running() && started.elapsed() < patience {
            sleep(STOP_STEP).await;
        }
        let view = self.keeper.view();
        let Some(fleet) = view.fleets.get(&self.centre) else { return };
        for (peer, messages) in self.keyring.last() {
            if !send_hand_over(&self.peers, fleet, &peer, messages).await {
                warn!(self.logger, "a peer did not take the keys"; "peer" => peer.as_str());
            }
        }
    }

    /// Appends the leave until it has been read back, or the platform stays away.
    async fn leave(&self) {
        let name = self.membership.name();
        let started = Instant::now();
        let mut tried: Option<Instant> = None;
        while started.elapsed() < LEAVE_PATIENCE {
            let view = self.keeper.view();
            let on_roster =
                view.fleets.get(&self.centre).is_some_and(|f| f.roster.contains_key(&*name));
            if !on_roster {
                return;
            }
            if tried.is_none_or(|tried| tried.elapsed() >= LEAVE_REPEAT) {
                tried = Some(Instant::now());
                let leave = record(&name, self.membership.clock().wall_ms(), FleetBody::Leave);
                if append(&self.platform, &self.centre, &leave).await.is_err() {
                    info!(self.logger, "the leave has no answer");
                }
            }
            sleep(STOP_STEP).await;
        }
    }
}

/// Answers calls of other entries.
struct PeerAnswerer<P> {
    context: GossipContext<P>,
    router: Arc<RequestRouter<P, QuicPeers>>,
}

impl<P: Clone> Clone for PeerAnswerer<P> {
    fn clone(&self) -> Self {
        PeerAnswerer { context: self.context.clone(), router: self.router.clone() }
    }
}

impl<P: SlotPolicy> PeerHandler for PeerAnswerer<P> {
    async fn answer(&self, call: PeerCall) -> PeerReply {
        match call {
            PeerCall::Gossip(gossip) => {
                self.context.hear_gossip(&gossip);
                PeerReply::Heard(self.context.word())
            }
            PeerCall::Fetch(through) => {
                let newer = self.context.newer(&through);
                serde_json::to_vec(&newer).map_or(PeerReply::Refused, PeerReply::State)
            }
            PeerCall::Forward(request) => self.router.handle_forwarded(*request).await,
            PeerCall::HandOver(handed) => {
                // It may act on a roster that we have not read yet; it asks again.
                if self.context.keyring.epoch().is_none_or(|epoch| epoch < handed.roster_epoch) {
                    return PeerReply::Refused;
                }
                self.context.keyring.take_over(handed);
                PeerReply::Done
            }
        }
    }
}

fn lease_times(settings: &EntrySettings) -> LeaseTimes {
    LeaseTimes {
        lease: settings.time("key-lease"),
        skew: settings.time("key-skew"),
        autonomy: settings.time("key-autonomy"),
    }
}

fn key_limits(settings: &EntrySettings) -> KeyLimits {
    KeyLimits {
        window_ms: settings.number("key-window"),
        skew_ms: settings.number("key-skew"),
        keys_max: settings.count("keys-max"),
        answer_bytes_max: process_limits(settings).kept_answers(),
    }
}

fn connection_limits(settings: &EntrySettings) -> ConnectionLimits {
    ConnectionLimits {
        connect: settings.time("connect-timeout"),
        proof_age: settings.time("proof-age"),
        probe: settings.time("probe-timeout"),
        linger: settings.time("linger"),
        answer_max: settings.count("answer-max"),
    }
}

fn router_limits(settings: &EntrySettings) -> RouterLimits {
    let small = |flag| u32::try_from(settings.number(flag)).unwrap_or(u32::MAX);
    RouterLimits {
        attempts: small("attempts"),
        retry_percent: small("retry-percent"),
        stall_floor: settings.time("stall-floor"),
    }
}

fn listener_limits(settings: &EntrySettings) -> ListenerLimits {
    ListenerLimits {
        body_max: settings.count("body-max"),
        head_max: settings.count("head-max"),
        head_timeout: settings.time("head-timeout"),
        body_timeout: settings.time("body-timeout"),
    }
}

fn process_limits(settings: &EntrySettings) -> ProcessLimits {
    ProcessLimits {
        memory: settings.count("memory-mb").saturating_mul(1 << 20),
        descriptors: settings.count("max-fds"),
    }
}

fn steward_times(settings: &EntrySettings) -> StewardTimes {
    StewardTimes {
        beat: settings.time("beat"),
        steward_timeout: settings.time("steward-timeout"),
        entry_timeout: settings.time("entry-timeout"),
        probe: settings.time("probe"),
        restate: settings.number("restate"),
        restate_time: settings.time("restate-time"),
        plan: PlanTimes {
            lost_after_ms: settings.number("lost-after"),
            replace_after_ms: settings.number("replace-after"),
            drain_ms: settings.number("drain-estimate"),
        },
    }
}
