//! Sees the bytes that go over a connection.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// What the system has taken of one request.
#[derive(Clone, Copy, Debug)]
struct TakenPart {
    first: Instant,
    last: Instant,
    bytes: usize,
}

/// When the system took the first and the last part of one request, and how much it was.
#[derive(Debug, Default)]
pub struct SendProgress(Mutex<Option<TakenPart>>);

impl SendProgress {
    /// A new request begins.
    pub fn begin(&self) {
        *self.lock() = None;
    }

    /// Time from the first part that was taken to the last.
    pub fn span(&self) -> Duration {
        self.lock().map_or(Duration::ZERO, |part| part.last - part.first)
    }

    /// Bytes that were taken.
    pub fn bytes(&self) -> usize {
        self.lock().map_or(0, |part| part.bytes)
    }

    fn taken(&self, bytes: usize) {
        let now = Instant::now();
        let mut taken = self.lock();
        let part = taken.get_or_insert(TakenPart { first: now, last: now, bytes: 0 });
        part.last = now;
        part.bytes += bytes;
    }

    fn lock(&self) -> MutexGuard<'_, Option<TakenPart>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StreamWatcher for SendProgress {
    fn sent(&self, bytes: usize) {
        self.taken(bytes);
    }

    fn received(&self, _: &[u8]) {}
}

/// Sees what goes over a stream.
pub trait StreamWatcher: Send + Sync {
    /// The system has taken bytes to send.
    fn sent(&self, bytes: usize);

    /// Bytes were received.
    fn received(&self, bytes: &[u8]);
}

/// A stream whose bytes are seen by a watcher.
#[derive(Debug)]
pub struct WatchedStream<W> {
    stream: TcpStream,
    watcher: Arc<W>,
}

impl<W> WatchedStream<W> {
    /// Tells `watcher` what goes over `stream`.
    pub fn new(stream: TcpStream, watcher: Arc<W>) -> WatchedStream<W> {
        WatchedStream { stream, watcher }
    }

    /// Who sees its bytes.
    pub fn watcher(&self) -> &Arc<W> {
        &self.watcher
    }
}

impl<W: StreamWatcher> AsyncRead for WatchedStream<W> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let received = &buffer.filled()[before..];
        if !received.is_empty() {
            self.watcher.received(received);
        }
        Poll::Ready(Ok(()))
    }
}

impl<W: StreamWatcher> AsyncWrite for WatchedStream<W> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let taken = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.watcher.sent(taken);
        Poll::Ready(Ok(taken))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let taken = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, parts))?;
        self.watcher.sent(taken);
        Poll::Ready(Ok(taken))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
