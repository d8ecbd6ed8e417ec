//! Sees how the bytes of a connection go out.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// When the system took the first and the last part of one request.
#[derive(Debug, Default)]
pub struct SendProgress(Mutex<Option<(Instant, Instant)>>);

impl SendProgress {
    /// A new request begins.
    pub fn begin(&self) {
        *self.lock() = None;
    }

    /// Time from the first part that was taken to the last.
    pub fn span(&self) -> Duration {
        self.lock().map_or(Duration::ZERO, |(first, last)| last - first)
    }

    fn taken(&self) {
        let now = Instant::now();
        let mut span = self.lock();
        let first = span.map_or(now, |(first, _)| first);
        *span = Some((first, now));
    }

    fn lock(&self) -> MutexGuard<'_, Option<(Instant, Instant)>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A stream that tells its progress.
#[derive(Debug)]
pub struct WatchedStream {
    stream: TcpStream,
    progress: Arc<SendProgress>,
}

impl WatchedStream {
    /// Tells what `stream` takes to `progress`.
    pub fn new(stream: TcpStream, progress: Arc<SendProgress>) -> WatchedStream {
        WatchedStream { stream, progress }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let taken = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.progress.taken();
        Poll::Ready(Ok(taken))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let taken = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, parts))?;
        self.progress.taken();
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
