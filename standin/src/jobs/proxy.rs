//! A loopback proxy that harms the connections through it.

use std::future::pending;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep, sleep_until};

use crate::jobs::http::{accept, record_failure};

/// Time between two looks at whether a stopped direction goes on.
const LOOK_GAP: Duration = Duration::from_millis(20);
/// Bytes that are passed on at a time.
const CHUNK: usize = 16 << 10;
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Receive buffer towards the near end, in bytes: what stands in it has not passed the link.
const RECEIVE_BYTES: u32 = 16 << 10;
/// Time for which a connection is kept open towards the far end once its last held bytes were delivered.
const LINGER: Duration = Duration::from_millis(500);

/// What a link does to its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Nothing.
    #[default]
    None,
    /// Each chunk waits this long.
    Delay(Duration),
    /// Each chunk is delivered this long after it came, in its order.
    Late(Duration),
    /// Two chunks of three are held back for up to this long, on each connection in its order, and delivered then:
    /// also after the sender has given up, or the fault is over.
    Hold(Duration),
    /// All connections together carry so many bytes a second to the far end.
    Narrow(u32),
    /// Nothing passes to the far end; what comes back does.
    CutForth,
    /// Nothing comes back; what is sent passes.
    CutBack,
    /// Nothing passes either way.
    Cut,
}

/// Bytes on their way.
#[derive(Debug)]
struct PassedChunk {
    bytes: Vec<u8>,
    /// Before when they are not delivered; none for bytes that are not held back.
    due: Option<Instant>,
}

#[derive(Debug, Default)]
struct LinkState {
    fault: Mutex<LinkFault>,
    /// Connections of an earlier generation carry nothing any more, without a reset.
    silenced: AtomicU64,
    /// Connections of an earlier generation are reset.
    reset: AtomicU64,
    next: AtomicU64,
    /// When the narrow link has carried all that was read.
    free: Mutex<Option<Instant>>,
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
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(RECEIVE_BYTES)?;
        socket.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let listener = socket.listen(BACKLOG)?;
        let address = listener.local_addr()?;
        let state = Arc::new(LinkState::default());
        let server = tokio::spawn(take_links(listener, target, state.clone()));
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

    /// When so many bytes have passed a narrow link.
    fn carried(&self, bytes: usize) -> Option<Instant> {
        let LinkFault::Narrow(rate) = self.fault() else { return None };
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        let mut free = self.free.lock().unwrap_or_else(PoisonError::into_inner);
        let begun = free.map_or_else(Instant::now, |free| free.max(Instant::now()));
        *free = Some(begun + Duration::from_secs_f64(f64::from(bytes) / f64::from(rate)));
        *free
    }

    /// For how long a chunk that has just come is held back.
    fn hold_time(&self) -> Option<Duration> {
        match self.fault() {
            LinkFault::Late(time) => Some(time),
            LinkFault::Hold(longest) => {
                let mut random = rand::rng();
                let time = longest.mul_f64(random.random_range(0.0..1.0));
                random.random_bool(2.0 / 3.0).then_some(time)
            }
            _ => None,
        }
    }
}

async fn take_links(listener: TcpListener, target: SocketAddr, state: Arc<LinkState>) {
    let mut links = JoinSet::new();
    loop {
        let Some(near) = accept(&listener).await else { continue };
        while links.try_join_next().is_some() {}
        links.spawn(carry(near, target, state.clone()));
    }
}

async fn carry(near: TcpStream, target: SocketAddr, state: Arc<LinkState>) {
    let number = state.next.fetch_add(1, Ordering::Relaxed);
    let far = match TcpStream::connect(target).await {
        Ok(far) => far,
        Err(error) => return record_failure(&error),
    };
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
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    state: &LinkState,
    number: u64,
    cut: LinkFault,
) {
    let (sender, queue) = mpsc::unbounded_channel();
    // What was read is delivered also after its sender has closed the connection, as a network does.
    let reading = async {
        take_in(from, sender, state, cut == LinkFault::CutForth).await;
        pending::<()>().await;
    };
    tokio::select! {
        () = reading => {}
        () = deliver(queue, to, state, number, cut) => {}
    }
}

async fn take_in(
    mut from: OwnedReadHalf,
    queue: mpsc::UnboundedSender<PassedChunk>,
    state: &LinkState,
    is_forth: bool,
) {
    let mut bytes = vec![0; CHUNK];
    while let Ok(read) = from.read(&mut bytes).await {
        if is_forth && let Some(carried) = state.carried(read) {
            sleep_until(carried).await;
        }
        let due = state.hold_time().map(|hold| Instant::now() + hold);
        if read == 0 || queue.send(PassedChunk { bytes: bytes[..read].to_vec(), due }).is_err() {
            return;
        }
    }
}

async fn deliver(
    mut queue: mpsc::UnboundedReceiver<PassedChunk>,
    mut to: OwnedWriteHalf,
    state: &LinkState,
    number: u64,
    cut: LinkFault,
) {
    let mut was_held = false;
    while let Some(chunk) = queue.recv().await {
        if let Some(due) = chunk.due {
            was_held = true;
            sleep_until(due).await;
        }
        if let LinkFault::Delay(delay) = state.fault() {
            sleep(delay).await;
        }
        while state.silenced.load(Ordering::Relaxed) > number
            || state.fault() == LinkFault::Cut
            || state.fault() == cut
        {
            sleep(LOOK_GAP).await;
        }
        if to.write_all(&chunk.bytes).await.is_err() {
            return;
        }
    }
    if was_held {
        // A server may drop a request whose connection ends before it was handled.
        sleep(LINGER).await;
    }
}
