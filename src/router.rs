//! The way of a request: admission, a worker, attempts, an answer.
//!
//! Refusals are made at once and carry when to come back; nothing is held until near its deadline.
//! Only what was not run goes elsewhere freely; what may have run goes elsewhere only if it is
//! idempotent and the retry budget and the deadline allow it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::header::{HOST, HeaderName, HeaderValue};
use http::{Method, Request};
use http_body_util::Full;
use rand::seq::IndexedRandom;
use tokio::time::{Instant, sleep, timeout};

use crate::clock::millis;
use crate::connection::{ExchangeTerms, WholeAnswer};
use crate::decide::estimate::{RunEstimate, queue_wait};
use crate::decide::fleet::VmPhase;
use crate::decide::key::{KeyDecision, RequestKey};
use crate::decide::retry::{
    AttemptOutcome, NotRunReason, RetryBudget, RetryState, UnknownReason, may_retry, may_run_again,
};
use crate::decide::roster::{home, owner};
use crate::decide::slot::SlotPolicy;
use crate::error::ResultCode;
use crate::forward::{pack, pack_answer, unpack, unpack_answer};
use crate::gate::{GateRequest, PoolTarget, TargetPermit};
use crate::keyring::KeyRing;
use crate::membership::EntryMembership;
use crate::metrics::{EntryMetrics, count};
use crate::name::{CentreName, VmName};
use crate::peer::{CallOutcome, ForwardedRequest, PeerCall, PeerClient, PeerReply};
use crate::quota::{QuotaBook, QuotaPermit};
use crate::request::{CallerAnswer, CallerRequest};
use crate::view::{RouteTable, ServiceRoute, ViewKeeper};
use crate::worker::{self, BUSY_PAUSE, TIME_LEFT_HEADER};

/// Time kept for the way of the answer, so that it is there before the caller's deadline.
const ANSWER_MARGIN: Duration = Duration::from_millis(5);
/// Refusals by busy workers after which a request is given up.
const BUSY_MAX: u32 = 32;
/// Time for which a worker that can't be used is passed over.
const TROUBLE_PAUSE: Duration = Duration::from_millis(200);
/// When to come back after a refusal that has no better estimate.
const COME_BACK: Duration = Duration::from_secs(1);
/// Entries of other data centres that a request is tried at.
const FORWARD_TRIES: usize = 3;
/// One in so many requests goes through although runs seem too long, so that shorter ones are seen.
const RELEARN_ONE_IN: u32 = 16;

/// Numbers of the request path.
#[derive(Clone, Copy, Debug)]
pub struct RouterLimits {
    /// Most attempts of one request.
    pub attempts: u32,
    /// Retries, in percent of requests.
    pub retry_percent: u32,
    /// Least time without progress before an idempotent request moves on.
    pub stall_floor: Duration,
}

/// Routes requests of one entry.
#[derive(Debug)]
pub struct RequestRouter<P, C> {
    /// Data centre of this entry.
    pub centre: CentreName,
    /// Numbers.
    pub limits: RouterLimits,
    /// View and table.
    pub keeper: Arc<ViewKeeper<P>>,
    /// Calls to other entries.
    pub peers: C,
    /// Place on the roster.
    pub membership: Arc<EntryMembership>,
    /// Keys.
    pub keyring: Arc<KeyRing>,
    /// Quotas.
    pub quotas: Arc<QuotaBook>,
    /// Metrics.
    pub metrics: Arc<EntryMetrics>,
    /// Retry budget.
    pub budget: Mutex<RetryBudget>,
}

/// A request on its way, with all that attempts need.
struct RoutedRequest<'a, P> {
    request: &'a CallerRequest,
    service: &'a ServiceRoute<P>,
    deadline: Instant,
    idempotent: bool,
    key: Option<&'a RequestKey>,
}

/// What to do after an attempt.
enum NextStep {
    Answer(CallerAnswer),
    Again(&'static str),
}

impl<P: SlotPolicy, C: PeerClient> RequestRouter<P, C> {
    /// Answers a request.
    pub async fn handle(self: &Arc<Self>, request: CallerRequest) -> CallerAnswer {
        let arrived = request.arrived;
        let answer = self.route(request).await;
        self.metrics.answer(answer.code);
        self.metrics.request_seconds.observe(arrived.elapsed().as_secs_f64());
        answer
    }

    /// Answers a request that another entry passed on.
    pub async fn handle_forwarded(self: &Arc<Self>, forwarded: ForwardedRequest) -> PeerReply {
        let Some(request) = unpack(forwarded) else { return PeerReply::Refused };
        PeerReply::Answer(pack_answer(&self.handle(request).await))
    }

    async fn route(self: &Arc<Self>, request: CallerRequest) -> CallerAnswer {
        let table = self.keeper.table().clone();
        if table.revision.is_none() {
            return refuse(ResultCode::NotReady, COME_BACK);
        }
        let Some(service) = table.services.get(&request.service).cloned() else {
            return CallerAnswer::coded(ResultCode::UnknownService, None);
        };
        if table.hopeless.contains(&service.spec.pool) {
            return CallerAnswer::coded(ResultCode::CantEverRun, None);
        }
        let idempotent = is_idempotent(&request.method) || service.spec.idempotent;
        match &request.key {
            Some(key) if !idempotent => {
                let key = key.clone();
                self.route_keyed(request, service, &table, key).await
            }
            _ => self.route_plain(&request, &service, &table, None).await,
        }
    }

    /// Runs a keyed request if this entry owns the key, else passes it to the owner.
    async fn route_keyed(
        self: &Arc<Self>,
        request: CallerRequest,
        service: Arc<ServiceRoute<P>>,
        table: &Arc<RouteTable<P>>,
        key: RequestKey,
    ) -> CallerAnswer {
        let id = key.id.as_bytes();
        let Some(centre) = key.home.as_ref().or_else(|| home(id, &table.centres)) else {
            return refuse(ResultCode::NotReady, COME_BACK);
        };
        let view = self.keeper.view();
        let Some(fleet) = view.fleets.get(centre) else {
            return CallerAnswer::coded(ResultCode::BadKey, None);
        };
        let Some(owner) = owner(id, fleet.roster.keys()) else {
            return refuse(ResultCode::KeyOwnerAway, COME_BACK);
        };
        if *owner == *self.membership.name() {
            return self.run_owned(request, service, table, key).await;
        }
        if request.forwarded {
            return refuse(ResultCode::KeyOwnerStale, COME_BACK);
        }
        let Some(peer) = fleet.roster.get(owner).and_then(|entry| entry.peer.parse().ok()) else {
            return refuse(ResultCode::KeyOwnerAway, COME_BACK);
        };
        let deadline = deadline(&request, &service);
        count(&self.metrics.forwarded, "key_owner");
        match self.forward(&request, peer, deadline, true).await {
            CallOutcome::Reply(PeerReply::Answer(answer)) => unpack_answer(answer),
            CallOutcome::Reply(_) | CallOutcome::NotSent => {
                refuse(ResultCode::KeyOwnerAway, COME_BACK)
            }
            CallOutcome::Unknown => CallerAnswer::coded(ResultCode::Unknown, Some(COME_BACK)),
        }
    }

    async fn run_owned(
        self: &Arc<Self>,
        request: CallerRequest,
        service: Arc<ServiceRoute<P>>,
        table: &Arc<RouteTable<P>>,
        key: RequestKey,
    ) -> CallerAnswer {
        match self.keyring.begin(&key, request.fingerprint()) {
            KeyDecision::Run => {}
            KeyDecision::Replay(kept) => return CallerAnswer::replayed(kept),
            KeyDecision::Answer(code) => return CallerAnswer::coded(code, Some(COME_BACK)),
            KeyDecision::Forward => return refuse(ResultCode::KeyOwnerStale, COME_BACK),
        }
        // The caller may go away; the outcome must be noted all the same.
        let (router, table) = (self.clone(), table.clone());
        let run = tokio::spawn(async move {
            let answer = router.route_plain(&request, &service, &table, Some(&key)).await;
            router.keyring.finish(&key.id, answer.key_outcome());
            answer
        });
        run.await.unwrap_or_else(|_| CallerAnswer::coded(ResultCode::Unknown, None))
    }

    async fn route_plain(
        &self,
        request: &CallerRequest,
        service: &ServiceRoute<P>,
        table: &RouteTable<P>,
        key: Option<&RequestKey>,
    ) -> CallerAnswer {
        let _quota = match self.enter_quota(request, table) {
            Ok(permit) => permit,
            Err(code) => return refuse(code, COME_BACK),
        };
        let idempotent = is_idempotent(&request.method) || service.spec.idempotent;
        let deadline = deadline(request, service);
        let routed = RoutedRequest { request, service, deadline, idempotent, key };
        if !self.membership.may_route() || !service.gate.is_usable() {
            return self.route_elsewhere(&routed).await;
        }
        if let Some(refusal) = self.admit(&routed) {
            return refusal;
        }
        self.budget().deposit();
        self.attempts(&routed).await
    }

    fn enter_quota(
        &self,
        request: &CallerRequest,
        table: &RouteTable<P>,
    ) -> Result<Option<QuotaPermit>, ResultCode> {
        let Some(team) = &request.team else { return Ok(None) };
        // A team that the document doesn't know has no quota to be over.
        let Some(quota) = table.teams.get(team) else { return Ok(None) };
        let entries = self.keeper.view().fleets.get(&self.centre).map_or(1, |f| f.roster.len());
        let entries = u32::try_from(entries).unwrap_or(u32::MAX);
        match self.quotas.enter(team, *quota, entries) {
            Some(permit) => Ok(Some(permit)),
            None => Err(ResultCode::OverQuota),
        }
    }

    /// Refuses at once what can't be done in time, by learned run times.
    fn admit(&self, routed: &RoutedRequest<'_, P>) -> Option<CallerAnswer> {
        let class = routed.request.class;
        let estimate = routed.estimate();
        let left = routed.left();
        let ahead = routed.service.gate.ahead(class);
        let typical = estimate.typical().unwrap_or_default();
        let wait = match ahead {
            0 => Duration::ZERO,
            ahead => queue_wait(ahead + 1, routed.service.gate.room(), typical),
        };
        let run = if ahead == 0 { typical } else { estimate.upper_bound().unwrap_or_default() };
        if wait + run <= left {
            return None;
        }
        if ahead == 0 && rand::random_ratio(1, RELEARN_ONE_IN) {
            return None;
        }
        Some(refuse(ResultCode::WontMakeDeadline, wait.max(typical)))
    }

    async fn attempts(&self, routed: &RoutedRequest<'_, P>) -> CallerAnswer {
        let (mut attempts, mut busy, mut avoid) = (0, 0, Vec::new());
        loop {
            let is_back = busy > 0 || attempts > 0;
            let permit = match self.enter_gate(routed, &avoid, is_back).await {
                Ok(permit) => permit,
                Err(code) => return refuse(code, routed.come_back()),
            };
            if routed.key.is_some_and(|key| !self.keyring.may_send(&key.id)) {
                return refuse(ResultCode::KeyOwnerStale, COME_BACK);
            }
            let terms = self.terms(routed, permit.target(), attempts);
            let started = Instant::now();
            let (permit, outcome) = self.attempt(routed, permit, &terms).await;
            // Its share of connections may be used up for a moment, as its slots may be.
            let was_busy = matches!(
                outcome,
                AttemptOutcome::NotRun(NotRunReason::Busy | NotRunReason::NoConnection)
            );
            if was_busy {
                busy += 1;
            } else {
                attempts += 1;
            }
            let state = self.retry_state(routed, if busy > BUSY_MAX { u32::MAX } else { attempts });
            match self.after(routed, &permit, outcome, started, &state) {
                NextStep::Answer(answer) => return answer,
                NextStep::Again(reason) => {
                    count(&self.metrics.retries, reason);
                    avoid_next(&mut avoid, &permit, was_busy);
                }
            }
        }
    }

    /// One exchange. Where it shows no progress for too long, its slot is lent to others; the answer
    /// is still awaited, for as long as the terms say.
    async fn attempt(
        &self,
        routed: &RoutedRequest<'_, P>,
        mut permit: TargetPermit<P>,
        terms: &ExchangeTerms,
    ) -> (TargetPermit<P>, AttemptOutcome<Result<WholeAnswer, ResultCode>>) {
        let message = message(routed, permit.target());
        let connections = permit.target().connections.clone();
        let exchange = connections.exchange(message, terms);
        tokio::pin!(exchange);
        let outcome = match timeout(self.stall_time(routed), &mut exchange).await {
            Ok(outcome) => outcome,
            Err(_) => {
                permit.stall();
                self.keeper.doubt_connections();
                exchange.await
            }
        };
        (permit, outcome)
    }

    /// Time after which nearly all runs have shown progress.
    fn stall_time(&self, routed: &RoutedRequest<'_, P>) -> Duration {
        let slow = routed.estimate().upper_bound().unwrap_or(Duration::MAX);
        slow.saturating_mul(2).max(self.limits.stall_floor)
    }

    async fn enter_gate(
        &self,
        routed: &RoutedRequest<'_, P>,
        avoid: &[VmName],
        is_back: bool,
    ) -> Result<TargetPermit<P>, ResultCode> {
        let request = GateRequest {
            class: routed.request.class,
            idempotent: routed.idempotent,
            is_back,
            avoid: avoid.to_vec(),
            deadline: routed.deadline,
        };
        let permit = routed.service.gate.enter(request, routed.service.spec.queue as usize).await?;
        // It waited longer than thought; a run that ends after the deadline helps nobody.
        let typical = routed.estimate().typical().unwrap_or_default();
        let waited = routed.request.arrived.elapsed() > typical;
        if waited && routed.left() < typical {
            return Err(ResultCode::WontMakeDeadline);
        }
        Ok(permit)
    }

    fn terms(
        &self,
        routed: &RoutedRequest<'_, P>,
        target: &PoolTarget,
        attempts: u32,
    ) -> ExchangeTerms {
        let may_move = routed.idempotent && attempts + 1 < self.limits.attempts;
        let stall = may_move.then(|| self.stall_time(routed)).filter(|s| *s < routed.left());
        let (boot, deadline) = (target.route.boot, routed.deadline);
        ExchangeTerms { boot, must_prove: attempts > 0, stall, deadline }
    }

    fn retry_state(&self, routed: &RoutedRequest<'_, P>, attempts: u32) -> RetryState {
        RetryState {
            idempotent: routed.idempotent,
            attempts,
            attempts_max: self.limits.attempts,
            left: routed.left(),
            typical: routed.estimate().typical().unwrap_or_default(),
        }
    }

    fn after(
        &self,
        routed: &RoutedRequest<'_, P>,
        permit: &TargetPermit<P>,
        outcome: AttemptOutcome<Result<WholeAnswer, ResultCode>>,
        started: Instant,
        state: &RetryState,
    ) -> NextStep {
        match outcome {
            AttemptOutcome::NotRun(reason) => self.after_not_run(routed, permit, reason, state),
            AttemptOutcome::Unknown(reason) => {
                self.metrics.unknown(reason);
                if is_workers_fault(reason, started, &routed.estimate()) {
                    self.blame(routed, permit, reason);
                }
                if self.may_run_again(state) {
                    return NextStep::Again(reason.name());
                }
                NextStep::Answer(CallerAnswer::coded(ResultCode::Unknown, Some(COME_BACK)))
            }
            AttemptOutcome::Done(Err(code)) => {
                routed.service.gate.note(permit.target(), false);
                if code == ResultCode::AnswerCut && self.may_run_again(state) {
                    return NextStep::Again(UnknownReason::Cut.name());
                }
                NextStep::Answer(CallerAnswer::coded(code, None))
            }
            AttemptOutcome::Done(Ok(answer)) => {
                let failed = worker::is_failure(answer.head.status);
                routed.service.gate.note(permit.target(), !failed);
                if failed && self.may_run_again(state) {
                    return NextStep::Again("failed");
                }
                if !failed {
                    routed.learn(started.elapsed());
                    routed.service.gate.note_run(started.elapsed());
                }
                let WholeAnswer { head, body } = answer;
                NextStep::Answer(CallerAnswer::of_worker(head.status, &head.headers, body))
            }
        }
    }

    /// A worker that still answers on a new connection is not to blame for a silent one; left out, it
    /// would be missing just when connections are.
    fn blame(
        &self,
        routed: &RoutedRequest<'_, P>,
        permit: &TargetPermit<P>,
        reason: UnknownReason,
    ) {
        match reason {
            UnknownReason::Lost | UnknownReason::Cut => {
                routed.service.gate.note(permit.target(), false);
            }
            UnknownReason::Stalled | UnknownReason::Deadline => {
                let (gate, target) = (routed.service.gate.clone(), permit.shared_target());
                tokio::spawn(async move {
                    if target.connections.report().await.is_none() || target.note_stall() {
                        gate.note(&target, false);
                    }
                });
            }
        }
    }

    fn after_not_run(
        &self,
        routed: &RoutedRequest<'_, P>,
        permit: &TargetPermit<P>,
        reason: NotRunReason,
        state: &RetryState,
    ) -> NextStep {
        self.metrics.not_run(reason);
        let pause = match reason {
            NotRunReason::Busy | NotRunReason::NoConnection => BUSY_PAUSE,
            NotRunReason::Closed => Duration::ZERO,
            NotRunReason::Connect | NotRunReason::WrongBoot | NotRunReason::Leaving => {
                TROUBLE_PAUSE
            }
        };
        if !pause.is_zero() {
            self.pause(permit, pause);
        }
        if reason == NotRunReason::Connect {
            routed.service.gate.note(permit.target(), false);
        }
        if may_retry(state) {
            return NextStep::Again(reason.name());
        }
        NextStep::Answer(refuse(ResultCode::AllRefused, routed.come_back()))
    }

    /// Passes a worker over for a moment, and looks again for those that wait when it is over.
    fn pause(&self, permit: &TargetPermit<P>, pause: Duration) {
        let until = millis(self.membership.clock().steady() + pause);
        permit.target().pause_until(until);
        let keeper = self.keeper.clone();
        tokio::spawn(async move {
            sleep(pause + Duration::from_millis(1)).await;
            keeper.pump();
        });
    }

    fn may_run_again(&self, state: &RetryState) -> bool {
        let mut budget = self.budget();
        let again = may_run_again(state, &mut budget);
        if !again && state.idempotent && may_retry(state) {
            self.metrics.retries_denied.inc();
        }
        again
    }

    fn budget(&self) -> std::sync::MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// This entry or data centre can't serve it: an entry of its own data centre if only this one
    /// can't, else one of another data centre, one hop at most.
    async fn route_elsewhere(&self, routed: &RoutedRequest<'_, P>) -> CallerAnswer {
        if routed.request.forwarded {
            return refuse(ResultCode::NoTarget, COME_BACK);
        }
        for peer in self.entries_elsewhere(routed).into_iter().take(FORWARD_TRIES) {
            count(&self.metrics.forwarded, "no_target");
            match self.forward(routed.request, peer, routed.deadline, false).await {
                CallOutcome::Reply(PeerReply::Answer(answer)) => {
                    let answer = unpack_answer(answer);
                    if !answer.code.is_some_and(ResultCode::is_not_run) {
                        return answer;
                    }
                }
                CallOutcome::Reply(_) | CallOutcome::NotSent => {}
                CallOutcome::Unknown if routed.idempotent => {}
                CallOutcome::Unknown => {
                    return CallerAnswer::coded(ResultCode::Unknown, Some(COME_BACK));
                }
            }
        }
        refuse(ResultCode::NoTarget, COME_BACK)
    }

    /// One entry of each place that may serve it, the own data centre first.
    fn entries_elsewhere(&self, routed: &RoutedRequest<'_, P>) -> Vec<SocketAddr> {
        let view = self.keeper.view();
        let mut order: Vec<&CentreName> = Vec::new();
        if !self.membership.may_route() {
            order.push(&self.centre);
        }
        order.extend(view.fleets.keys().filter(|centre| **centre != self.centre));
        let serves = |centre: &CentreName| {
            view.fleets.get(centre).is_some_and(|fleet| {
                let mut vms = fleet.vms.values();
                vms.any(|vm| {
                    vm.pool.as_ref() == Some(&routed.service.spec.pool)
                        && vm.phase == VmPhase::Serving
                })
            })
        };
        let me = self.membership.name();
        let mut found = Vec::new();
        for centre in order.into_iter().filter(|centre| serves(centre)) {
            let Some(fleet) = view.fleets.get(centre) else { continue };
            let entries: Vec<_> = fleet.roster.iter().filter(|(name, _)| **name != *me).collect();
            let entry = entries.choose(&mut rand::rng());
            let address = entry.and_then(|(_, entry)| entry.peer.parse::<SocketAddr>().ok());
            found.extend(address);
        }
        found
    }

    /// With its key, the request is for the key's owner to guard; without, its owner is here and
    /// guards it already.
    async fn forward(
        &self,
        request: &CallerRequest,
        peer: SocketAddr,
        deadline: Instant,
        with_key: bool,
    ) -> CallOutcome {
        let left = deadline.saturating_duration_since(Instant::now());
        let mut packed = pack(request, left);
        packed.key = packed.key.filter(|_| with_key);
        let call = PeerCall::Forward(Box::new(packed));
        self.peers.call(peer, &call, left).await
    }
}

impl<P> RoutedRequest<'_, P> {
    fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn estimate(&self) -> RunEstimate {
        *self.lock_estimate()
    }

    fn learn(&self, run: Duration) {
        self.lock_estimate().record(run);
    }

    fn lock_estimate(&self) -> std::sync::MutexGuard<'_, RunEstimate> {
        let estimate = &self.service.estimates[self.request.class.index()];
        estimate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn come_back(&self) -> Duration {
        self.estimate().upper_bound().unwrap_or(COME_BACK).max(Duration::from_millis(1))
    }
}

fn refuse(code: ResultCode, come_back: Duration) -> CallerAnswer {
    CallerAnswer::coded(code, Some(come_back))
}

/// RFC 9110, 9.2.2.
fn is_idempotent(method: &Method) -> bool {
    method.is_idempotent()
}

fn deadline<P>(request: &CallerRequest, service: &ServiceRoute<P>) -> Instant {
    let longest = Duration::from_millis(service.spec.time_limit_ms);
    let limit = request.limit.unwrap_or(longest).min(longest);
    request.arrived + limit.saturating_sub(ANSWER_MARGIN.min(limit / 20))
}

/// A deadline shorter than runs usually take is the caller's doing.
fn is_workers_fault(reason: UnknownReason, started: Instant, estimate: &RunEstimate) -> bool {
    match reason {
        UnknownReason::Lost | UnknownReason::Stalled | UnknownReason::Cut => true,
        UnknownReason::Deadline => {
            estimate.upper_bound().is_some_and(|slow| started.elapsed() > slow)
        }
    }
}

/// A busy worker is passed over by its pause; one that failed the request is avoided for good.
fn avoid_next<P: SlotPolicy>(avoid: &mut Vec<VmName>, permit: &TargetPermit<P>, was_busy: bool) {
    if !was_busy {
        avoid.push(permit.target().route.vm.clone());
    }
}

fn message<P>(routed: &RoutedRequest<'_, P>, target: &PoolTarget) -> Request<Full<bytes::Bytes>> {
    let mut message = Request::new(Full::new(routed.request.body.clone()));
    *message.method_mut() = routed.request.method.clone();
    *message.uri_mut() = routed.request.path.parse().unwrap_or_default();
    *message.headers_mut() = routed.request.headers.clone();
    let headers = message.headers_mut();
    if let Ok(host) = HeaderValue::from_str(&target.route.address) {
        headers.insert(HOST, host);
    }
    let left = HeaderValue::from(millis(routed.left()));
    headers.insert(HeaderName::from_static(TIME_LEFT_HEADER), left);
    message
}
