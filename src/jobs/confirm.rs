//! Has other entries confirm the configuration while this one can't read the log.
//!
//! The load that this answers: the log turns some entries away, or their way to it is cut, while it serves
//! the others and the operators. By their own readings alone such entries would soon honour no key, and
//! callers whose connections lead there would be refused though nothing of theirs was revoked.
//!
//! An entry asks another for the age of its newest reading. That age is taken after the question was sent, so
//! counted back from the sending it is never younger than the reading was: it counts as one of its own. An
//! answer that comes with a newer configuration brings it along. Whoever is asked may itself have been
//! confirmed by a third; ages only grow on the way.
//!
//! The leader is asked first, as it must reach the log to lead, then other entries in turn, one at a time: when
//! many entries lose their way at once, each sends one small question every half second.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use serde::{Deserialize, Serialize};
use slog::info;

use crate::control::ControlLoop;
use crate::jobs::node::JobNode;
use crate::jobs::site::SiteConfig;
use crate::transport::{HttpCall, HttpTransport};

/// Path of a question.
pub const CONFIRM_PATH: &str = "/view";
/// Largest question, in bytes.
pub const QUERY_BYTES_MAX: usize = 64;
/// Part of the time for which a reading counts from which others are asked: one in so many. A reading that
/// waits for news is answered long before.
const ASK_AGE_DIVISOR: u64 = 3;
/// Time between two looks at the age of the own reading, and between two questions.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time for an answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(450);
/// Time between two questions of an entry that is well, in milliseconds: it learns whom it could ask.
const PEER_REFRESH_MS: u64 = 10_000;
/// The same while it knows nobody.
const FIRST_PEER_REFRESH_MS: u64 = 1_000;
/// Other entries that an answer names.
const PEERS_MAX: usize = 5;

/// What an entry asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmQuery {
    /// Version of the configuration that it has.
    pub version: u64,
}

/// What another one answers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfirmAnswer {
    /// Time since the start of the newest reading that showed its configuration to be the newest, in
    /// milliseconds; nothing if there was none.
    pub age_ms: Option<u64>,
    /// Its configuration, if that is newer.
    pub config: Option<SiteConfig>,
    /// Where it takes the leader to be.
    pub leader: Option<SocketAddr>,
    /// Other entries.
    pub peers: Vec<SocketAddr>,
}

/// Answers a question; nothing if it can't be read.
pub fn answer(node: &JobNode, body: &[u8]) -> Option<Vec<u8>> {
    let query: ConfirmQuery = postcard::from_bytes(body).ok()?;
    // The age before the configuration: what the reading has shown is in force by then.
    let age_ms = node.config_age_ms();
    let config = node.config().filter(|config| config.version > query.version);
    let leads = node.with_scheduler(|scheduler| !scheduler.is_deposed()).unwrap_or(false);
    let leader = if leads { Some(node.settings.peer) } else { node.leader() };
    let peers = match leads {
        true => node.executors().sample(PEERS_MAX, node.now()),
        false => node.peers().iter().copied().take(PEERS_MAX).collect(),
    };
    let config = config.map(|config| (*config).clone());
    postcard::to_stdvec(&ConfirmAnswer { age_ms, config, leader, peers }).ok()
}

/// Takes an answer to a question that was sent at `asked_ms`.
pub fn apply_answer(node: &JobNode, answer: ConfirmAnswer, asked_ms: u64) {
    let version = answer.config.as_ref().map(|config| config.version);
    if answer.config.is_some_and(|config| node.set_config(config)) {
        info!(node.logger, "configuration in force"; "version" => version, "from" => "another entry");
    }
    // A reading from before this process began can't be told by its clock, and is not needed.
    let confirmed = answer.age_ms.and_then(|age| asked_ms.checked_sub(age));
    if let Some(confirmed) = confirmed {
        node.config_shown(confirmed);
    }
    if node.is_log_silent() {
        if confirmed.is_some_and(|confirmed| {
            node.now() < confirmed + node.settings.bounds.revocation.bound_ms
        }) {
            node.turned_away();
        }
        node.set_leader(answer.leader);
    }
    if !answer.peers.is_empty() {
        node.set_peers(answer.peers);
    }
}

/// Asks while it is needed.
pub struct ConfirmLoop {
    /// Shared state.
    pub node: Arc<JobNode>,
    /// Reaches other entries.
    pub transport: HttpTransport,
    /// Whom to ask next.
    pub turn: usize,
    /// When others were last asked for whom to ask, in milliseconds.
    pub peers_asked_ms: Option<u64>,
}

impl ControlLoop for ConfirmLoop {
    const NAME: &'static str = "view";

    async fn step(&mut self) -> Duration {
        let Some(config) = self.node.config().filter(|config| config.access.is_some()) else {
            return CHECK_INTERVAL;
        };
        let rule = &self.node.settings.bounds.revocation;
        let now = self.node.now();
        let age = self.node.config_age_ms();
        let is_old = age.is_none_or(|age| age > rule.bound_ms / ASK_AGE_DIVISOR);
        let refresh_ms =
            if self.node.peers().is_empty() { FIRST_PEER_REFRESH_MS } else { PEER_REFRESH_MS };
        let is_due = self.peers_asked_ms.is_none_or(|asked| now >= asked + refresh_ms);
        if rule.is_strict && (is_old || is_due) {
            self.peers_asked_ms = Some(now);
            self.ask(config.version, is_old).await;
        }
        CHECK_INTERVAL
    }
}

impl ConfirmLoop {
    async fn ask(&mut self, version: u64, is_old: bool) {
        let Some(target) = self.target(is_old) else { return };
        let asked_ms = self.node.now();
        let body = postcard::to_stdvec(&ConfirmQuery { version }).unwrap_or_default();
        let call = HttpCall {
            method: Method::POST,
            path: CONFIRM_PATH.to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::from(body),
        };
        let answer = self.transport.exchange(target, call, ASK_TIMEOUT).await.ok();
        let answer = answer.filter(|answer| answer.status == StatusCode::OK);
        let answer: Option<ConfirmAnswer> =
            answer.and_then(|answer| postcard::from_bytes(&answer.body).ok());
        let before = self.node.shown_ms();
        if let Some(answer) = answer {
            apply_answer(&self.node, answer, asked_ms);
        }
        let is_newer = self.node.shown_ms() > before;
        if is_old {
            // Whoever has confirmed is asked again; else the next one.
            self.turn += usize::from(!is_newer);
            info!(self.node.logger, "another entry was asked for its reading"; "entry" => %target,
                "is_newer" => is_newer, "age_ms" => self.node.config_age_ms());
        }
    }

    /// The leader, then the others in turn.
    fn target(&self, is_old: bool) -> Option<SocketAddr> {
        let peers = self.node.peers();
        let leader = self.node.leader();
        let known: Vec<SocketAddr> = leader.into_iter().chain(peers.iter().copied()).collect();
        let turn = if is_old { self.turn } else { 0 };
        known.get(turn % known.len().max(1)).copied()
    }
}
