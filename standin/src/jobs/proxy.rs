//! A loopback proxy that harms the connections through it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

/// Time between two looks at whether a stopped direction goes on.
const LOOK_GAP: Duration = Duration::from_millis(20);
/// Bytes that are passed on at a time.
const CHUNK: usize = 16 << 10;

/// What a link does to its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Nothing.
    #[default]
    None,
    /// Each chunk waits this long.
    Delay(Duration),
    /// Nothing passes to the far end; what comes back does.
    CutForth,
    /// Nothing comes back; what is sent passes.
    CutBack,
    /// Nothing passes either way.
    Cut,
}

#[derive(Debug, Default)]
struct LinkState {
    fault: Mutex<LinkFault>,
    /// Connections of an earlier generation carry nothing any more, without a reset.
    silenced: AtomicU64,
    /// Connections of an earlier generation are reset.
    reset: AtomicU64,
    next: AtomicU64,
}

/// A running proxy; stops when dropped.
#[derive(Debug)]
pub struct FaultProxy {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<LinkState>,
    server: JoinHandle<()>,
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.server.abort();
    }
}

impl FaultProxy {
    /// Binds a port that the system chooses, in front of `target`.
    pub async fn open(target: SocketAddr) -> std::io::Result<FaultProxy> {
        let listener = TcpListener::bind(crate::site::LOOPBACK).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(LinkState::default());
        let server = tokio::spawn(accept(listener, target, state.clone()));
        Ok(FaultProxy { address, state, server })
    }

    /// Changes what the link does.
    pub fn set(&self, fault: LinkFault) {
        *self.state.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Open connections carry nothing any more; new ones work.
    pub fn silence_open(&self) {
        let next = self.state.next.load(Ordering::Relaxed);
        self.state.silenced.store(next, Ordering::Relaxed);
    }

    /// Open connections are reset; new ones work.
    pub fn reset_open(&self) {
        let next = self.state.next.load(Ordering::Relaxed);
        self.state.reset.store(next, Ordering::Relaxed);
    }
}

impl LinkState {
    fn fault(&self) -> LinkFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: Arc<LinkState>) {
    let mut links = JoinSet::new();
    while let Ok((near, _)) = listener.accept().await {
        while links.try_join_next().is_some() {}
        links.spawn(carry(near, target, state.clone()));
    }
}

async fn carry(near: TcpStream, target: SocketAddr, state: Arc<LinkState>) {
    let number = state.next.fetch_add(1, Ordering::Relaxed);
    let Ok(far) = TcpStream::connect(target).await else { return };
    // Small messages both ways; a socket that refuses the option still works.
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let forth = pass(near_read, far_write, &state, number, LinkFault::CutForth);
    let back = pass(far_read, near_write, &state, number, LinkFault::CutBack);
    let reset = async {
        while state.reset.load(Ordering::Relaxed) <= number {
            sleep(LOOK_GAP).await;
        }
    };
    // Dropping both halves with bytes unread resets the connection.
    tokio::select! {
        () = forth => {}
        () = back => {}
        () = reset => {}
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    state: &LinkState,
    number: u64,
    cut: LinkFault,
) {
    let mut chunk = vec![0; CHUNK];
    loop {
        let read = match from.read(&mut chunk).await {
            Ok(0) | Err(_) => return,
            Ok(read) => read,
        };
        if let LinkFault::Delay(delay) = state.fault() {
            sleep(delay).await;
        }
        while state.silenced.load(Ordering::Relaxed) > number
            || state.fault() == LinkFault::Cut
            || state.fault() == cut
        {
            sleep(LOOK_GAP).await;
        }
        if to.write_all(&chunk[..read]).await.is_err() {
            return;
        }
    }
}
