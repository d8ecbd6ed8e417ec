//! Lets an entry that can't read the log confirm its configuration through other entries.
//!
//! The log may reject some entries, or the link to it may be down, while it still serves the other
//! entries and the operators. Relying on their own reads alone, such entries would soon honour no
//! API key, and their callers would be rejected although no key was revoked.
//!
//! An entry asks another one for the age of its latest read. That age is determined after the query
//! was sent, so subtracting it from the time of sending never makes the read look younger than it
//! is, and the read counts like one of the asking entry's own. If the other entry has a newer
//! configuration, the answer includes it. The other entry may itself have been confirmed by a third
//! one; ages only grow on the way.
//!
//! The leader is asked first, since it can only lead while it reaches the log, then the other
//! entries one at a time. When many entries lose the log at once, each sends one small query every
//! half second.

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

/// Path of a query.
pub const CONFIRM_PATH: &str = "/view";
/// Largest query, in bytes.
pub const QUERY_BYTES_MAX: usize = 64;
/// Other entries are asked once the latest read has reached this fraction (1/3) of the time for
/// which it counts. Long-polling reads are answered well before.
const ASK_AGE_DIVISOR: u64 = 3;
/// Time between two checks of the age of this entry's latest read, and between two queries.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a query.
const ASK_TIMEOUT: Duration = Duration::from_millis(450);
/// Time between two queries while the configuration is recent, in milliseconds. They keep the list
/// of entries that could be asked up to date.
const PEER_REFRESH_MS: u64 = 10_000;
/// The same while no other entry is known.
const FIRST_PEER_REFRESH_MS: u64 = 1_000;
/// Largest number of other entries in an answer.
const PEERS_MAX: usize = 5;

/// A query for the age of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmQuery {
    /// Version of the asking entry's configuration.
    pub version: u64,
}

/// Answer to a [`ConfirmQuery`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfirmAnswer {
    /// Time since the start of the latest read that confirmed the configuration to be the newest,
    /// in milliseconds; `None` if there was none.
    pub age_ms: Option<u64>,
    /// The answering entry's configuration, if it is newer.
    pub config: Option<SiteConfig>,
    /// Address of the leader, as known to the answering entry.
    pub leader: Option<SocketAddr>,
    /// Addresses of other entries.
    pub peers: Vec<SocketAddr>,
}

/// Answers a query; `None` if it can't be decoded.
pub fn answer(node: &JobNode, body: &[u8]) -> Option<Vec<u8>> {
    let query: ConfirmQuery = postcard::from_bytes(body).ok()?;
    // The age is taken before the configuration: whatever that read has found is in force by then.
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

/// Applies the answer to a query that was sent at `asked_ms`.
pub fn apply_answer(node: &JobNode, answer: ConfirmAnswer, asked_ms: u64) {
    let version = answer.config.as_ref().map(|config| config.version);
    if answer.config.is_some_and(|config| node.set_config(config)) {
        info!(node.logger, "configuration in force"; "version" => version,
            "from" => "another entry");
    }
    // A read from before the start of this process can't be expressed on its clock, and is not
    // needed.
    let confirmed = answer.age_ms.and_then(|age| asked_ms.checked_sub(age));
    if let Some(confirmed) = confirmed {
        node.record_config_read(confirmed);
    }
    if node.is_log_silent() {
        if confirmed.is_some_and(|confirmed| {
            node.now() < confirmed + node.settings.bounds.revocation.bound_ms
        }) {
            node.record_log_read_by_peer();
        }
        node.set_leader(answer.leader);
    }
    if !answer.peers.is_empty() {
        node.set_peers(answer.peers);
    }
}

/// Asks other entries when this entry's own reads are too old.
pub struct ConfirmLoop {
    /// State shared by the loops of the entry.
    pub node: Arc<JobNode>,
    /// Sends the queries.
    pub transport: HttpTransport,
    /// Position of the entry to ask next: the leader first, then the peers.
    pub turn: usize,
    /// When other entries were last asked, in milliseconds; `None` for never.
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
        let patience = ASK_TIMEOUT + self.transport.round_trip(target);
        let answer = self.transport.exchange(target, call, patience).await.ok();
        let answer = answer.filter(|answer| answer.status == StatusCode::OK);
        let answer: Option<ConfirmAnswer> =
            answer.and_then(|answer| postcard::from_bytes(&answer.body).ok());
        let before = self.node.config_confirmed_ms();
        if let Some(answer) = answer {
            apply_answer(&self.node, answer, asked_ms);
        }
        let is_newer = self.node.config_confirmed_ms() > before;
        if is_old {
            // An entry that has confirmed the configuration is asked again, otherwise the next one.
            self.turn += usize::from(!is_newer);
            info!(self.node.logger, "asked another entry to confirm the configuration";
                "entry" => %target, "is_newer" => is_newer, "age_ms" => self.node.config_age_ms());
        }
    }

    /// The entry to ask: the leader, then the others in turn.
    fn target(&self, is_old: bool) -> Option<SocketAddr> {
        let peers = self.node.peers();
        let leader = self.node.leader();
        let known: Vec<SocketAddr> = leader.into_iter().chain(peers.iter().copied()).collect();
        let turn = if is_old { self.turn } else { 0 };
        known.get(turn % known.len().max(1)).copied()
    }
}
