//! Talk between the entries: QUIC with mutual TLS, one call a stream, postcard inside.
//!
//! Entries tell each other their loads and newest offsets, hand on what a peer lacks, forward
//! requests, and hand idempotency keys over. Whoever can't show a certificate of the site's
//! authority can't connect. A call is refused before it is decoded if it is over its size.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, Connection, Endpoint, ServerConfig, TransportConfig};
use rustls::RootCertStore;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::decide::key::KeyRecord;
use crate::error::{CodeResult, ResultCode, coded};
use crate::gate::WorkClass;
use crate::metrics::{EntryMetrics, count};
use crate::name::{CentreName, EntryName, ServiceName, TeamName};

/// Name that every entry's certificate carries.
pub const PEER_NAME: &str = "ibisweir-entry";
/// Largest message between entries, in bytes.
pub const MESSAGE_BYTES_MAX: usize = 80 << 20;
/// Silence after which a connection between entries is given up.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between packets that keep a connection between entries alive.
const KEEP_ALIVE: Duration = Duration::from_secs(1);
/// Time to open a connection to another entry.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// What an entry asks of another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerCall {
    /// Loads and newest offsets.
    Gossip(PeerGossip),
    /// States of the streams that are newer than these offsets.
    Fetch(BTreeMap<String, u64>),
    /// A request to be answered there.
    Forward(Box<ForwardedRequest>),
    /// Outcomes of keys that the other owns now.
    HandOver(KeyHandOver),
}

/// The other's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// The other's word; its loads come with its own gossip.
    Heard(PeerWord),
    /// A view as JSON, as it holds documents.
    State(Vec<u8>),
    /// Answer to a forwarded request.
    Answer(ForwardedAnswer),
    /// Taken.
    Done,
    /// Not for this entry, or not now.
    Refused,
}

/// What an entry says of itself in every message.
///
/// Streams, VMs and teams go by number, not by name: at 70 VMs and 66 teams names alone took four
/// fifths of the bytes that control may spend.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerWord {
    /// Who says it.
    pub from: EntryName,
    /// Its data centre.
    pub centre: CentreName,
    /// Epoch of the newest roster that it has adopted.
    pub roster_epoch: Option<u64>,
    /// Next offsets: of intent, then of the fleets in the order of their names.
    pub through: Vec<u64>,
}

/// What an entry tells the others now and then.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerGossip {
    /// Of itself.
    pub word: PeerWord,
    /// Revision whose document numbers the VMs and teams.
    pub revision: Option<u64>,
    /// Slots taken by VM; those without are left out.
    pub loads: Vec<(u16, u32)>,
    /// Requests in flight by team; those without are left out.
    pub teams: Vec<(u16, u32)>,
}

/// A request on its way to another entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// Service.
    pub service: ServiceName,
    /// Class.
    pub class: WorkClass,
    /// Team.
    pub team: Option<TeamName>,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body.
    pub body: Bytes,
    /// Key as the caller wrote it.
    pub key: Option<String>,
    /// Time that the caller still waits, in milliseconds.
    pub left_ms: u64,
}

/// The answer to a forwarded request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ForwardedAnswer {
    /// Number of our code; none if the answer is the worker's own.
    pub code: Option<u16>,
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body.
    pub body: Bytes,
}

/// Outcomes of keys for their new owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KeyHandOver {
    /// Who hands over.
    pub from: EntryName,
    /// Roster that it acts on.
    pub roster_epoch: u64,
    /// Unknown keys minted before it may have run, in milliseconds since the epoch.
    pub floor_ms: u64,
    /// Evicted entries that have stopped.
    pub retired: Vec<EntryName>,
    /// Whether the sender is about to leave.
    pub last: bool,
    /// Whether this is the end of a hand-over of several messages.
    pub complete: bool,
    /// Outcomes.
    pub records: Vec<KeyRecord>,
}

/// What became of a call.
#[derive(Debug)]
pub enum CallOutcome {
    /// The peer never had it.
    NotSent,
    /// It was sent and no answer came.
    Unknown,
    /// The answer.
    Reply(PeerReply),
}

/// Calls to other entries.
pub trait PeerClient: Clone + Send + Sync + 'static {
    /// One call; `patience` bounds the wait for the answer.
    fn call(
        &self,
        peer: SocketAddr,
        call: &PeerCall,
        patience: Duration,
    ) -> impl Future<Output = CallOutcome> + Send;
}

/// Answers calls of other entries.
pub trait PeerHandler: Clone + Send + Sync + 'static {
    /// One answer.
    fn answer(&self, call: PeerCall) -> impl Future<Output = PeerReply> + Send;
}

/// Reads a message. Bytes of any kind give a message or a code, never more.
pub fn decode<M: for<'de> Deserialize<'de>>(bytes: &[u8]) -> CodeResult<M> {
    postcard::from_bytes(bytes).map_err(|error| coded(ResultCode::PeerNonsense, error))
}

/// Writes a message.
pub fn encode<M: Serialize>(message: &M) -> CodeResult<Vec<u8>> {
    postcard::to_stdvec(message).map_err(|error| coded(ResultCode::PeerNonsense, error))
}

/// Certificates of one entry, PEM.
#[derive(Clone, Debug)]
pub struct PeerKeys {
    /// Authority.
    pub ca: String,
    /// Certificate.
    pub cert: String,
    /// Private key.
    pub key: String,
}

/// Connections to other entries over QUIC.
#[derive(Clone, Debug)]
pub struct QuicPeers {
    endpoint: Endpoint,
    connections: Arc<Mutex<HashMap<SocketAddr, Connection>>>,
    metrics: Arc<EntryMetrics>,
}

impl QuicPeers {
    /// Binds the UDP address for calls both ways.
    pub fn bind(
        address: SocketAddr,
        keys: &PeerKeys,
        metrics: Arc<EntryMetrics>,
    ) -> CodeResult<QuicPeers> {
        let (server, client) = configs(keys)?;
        let mut endpoint = Endpoint::server(server, address)
            .map_err(|error| coded(ResultCode::BindFailed, format!("{address}: {error}")))?;
        endpoint.set_default_client_config(client);
        Ok(QuicPeers { endpoint, connections: Arc::default(), metrics })
    }

    /// The address that was bound.
    pub fn local_address(&self) -> CodeResult<SocketAddr> {
        self.endpoint.local_addr().map_err(|error| coded(ResultCode::BindFailed, error))
    }

    /// Answers calls until the endpoint is closed.
    pub async fn serve<H: PeerHandler>(self, handler: H) {
        while let Some(incoming) = self.endpoint.accept().await {
            let handler = handler.clone();
            tokio::spawn(async move {
                if let Ok(connection) = incoming.await {
                    serve_connection(connection, handler).await;
                }
            });
        }
    }

    /// Closes all connections.
    pub fn close(&self) {
        self.endpoint.close(0u32.into(), b"stop");
    }

    async fn connection(&self, peer: SocketAddr) -> Option<Connection> {
        if let Some(connection) = self.lock().get(&peer)
            && connection.close_reason().is_none()
        {
            return Some(connection.clone());
        }
        let connecting = self.endpoint.connect(peer, PEER_NAME).ok()?;
        let connection = timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()?;
        self.lock().insert(peer, connection.clone());
        Some(connection)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Connection>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn exchange(
        connection: &Connection,
        call: &[u8],
        sent: &mut bool,
    ) -> Result<PeerReply, &'static str> {
        let (mut send, mut receive) = connection.open_bi().await.map_err(|_| "open")?;
        *sent = true;
        send.write_all(call).await.map_err(|_| "write")?;
        send.finish().map_err(|_| "write")?;
        let reply = receive.read_to_end(MESSAGE_BYTES_MAX).await.map_err(|_| "read")?;
        decode(&reply).map_err(|_| "nonsense")
    }
}

impl PeerClient for QuicPeers {
    async fn call(&self, peer: SocketAddr, call: &PeerCall, patience: Duration) -> CallOutcome {
        let Ok(bytes) = encode(call) else { return CallOutcome::NotSent };
        let Some(connection) = self.connection(peer).await else {
            count(&self.metrics.peer_errors, "connect");
            return CallOutcome::NotSent;
        };
        let mut sent = false;
        let result = timeout(patience, Self::exchange(&connection, &bytes, &mut sent)).await;
        let reason = match result {
            Ok(Ok(reply)) => return CallOutcome::Reply(reply),
            Ok(Err(reason)) => reason,
            Err(_) => "timeout",
        };
        count(&self.metrics.peer_errors, reason);
        if sent { CallOutcome::Unknown } else { CallOutcome::NotSent }
    }
}

async fn serve_connection<H: PeerHandler>(connection: Connection, handler: H) {
    while let Ok((mut send, mut receive)) = connection.accept_bi().await {
        let handler = handler.clone();
        tokio::spawn(async move {
            let Ok(bytes) = receive.read_to_end(MESSAGE_BYTES_MAX).await else { return };
            let reply = match decode(&bytes) {
                Ok(call) => handler.answer(call).await,
                Err(_) => PeerReply::Refused,
            };
            let Ok(bytes) = encode(&reply) else { return };
            if send.write_all(&bytes).await.is_ok() {
                // The peer is gone if this fails; it will count the call as unknown.
                let _ = send.finish();
            }
        });
    }
}

fn configs(keys: &PeerKeys) -> CodeResult<(ServerConfig, ClientConfig)> {
    let bad = |error: &dyn std::fmt::Display| coded(ResultCode::BadKeys, error);
    let mut roots = RootCertStore::empty();
    let authority = CertificateDer::from_pem_slice(keys.ca.as_bytes()).map_err(|e| bad(&e))?;
    roots.add(authority).map_err(|e| bad(&e))?;
    let roots = Arc::new(roots);
    let chain: Vec<CertificateDer<'static>> = CertificateDer::pem_slice_iter(keys.cert.as_bytes())
        .collect::<Result<_, _>>()
        .map_err(|e| bad(&e))?;
    let key = PrivateKeyDer::from_pem_slice(keys.key.as_bytes()).map_err(|e| bad(&e))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
        .build()
        .map_err(|e| bad(&e))?;
    let server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| bad(&e))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.clone(), key.clone_key())
        .map_err(|e| bad(&e))?;
    let client = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|e| bad(&e))?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)
        .map_err(|e| bad(&e))?;
    let mut transport = TransportConfig::default();
    transport.keep_alive_interval(Some(KEEP_ALIVE));
    transport.max_idle_timeout(Some(IDLE_TIMEOUT.try_into().map_err(|e| bad(&e))?));
    let transport = Arc::new(transport);
    let server = QuicServerConfig::try_from(server).map_err(|e| bad(&e))?;
    let mut server = ServerConfig::with_crypto(Arc::new(server));
    server.transport_config(transport.clone());
    let client = QuicClientConfig::try_from(client).map_err(|e| bad(&e))?;
    let mut client = ClientConfig::new(Arc::new(client));
    client.transport_config(transport);
    Ok((server, client))
}
