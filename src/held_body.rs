//! The body of a request in the account of callers: read into one buffer, counted as it arrives, and
//! given back with its lease.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::timeout;

use crate::decide::intake::{PROGRESS_BYTES, PlaceId};
use crate::error::ResultCode;
use crate::intake::{CallerIntake, PlaceSignal, lock};

/// Least capacity of a body's buffer, in bytes.
const BUFFER_BYTES_MIN: usize = 2 << 10;
/// Largest buffer that the connection of a body may hold beside it, in bytes.
const READ_BUFFER_BYTES: usize = 32 << 10;
/// Memory of a request beside its head and body, in bytes: a stream of HTTP/2 takes several KB.
pub(crate) const REQUEST_BYTES: usize = 8 << 10;

/// Why the body of a request is not there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFailure {
    /// It is larger than a body may be.
    TooLarge,
    /// It ended early.
    Cut,
    /// It took too long.
    TooSlow,
    /// It was displaced by others, or there was no room for it.
    Displaced,
}

impl BodyFailure {
    /// The code that tells a caller of it.
    pub fn code(self) -> ResultCode {
        match self {
            BodyFailure::TooLarge => ResultCode::BodyTooLarge,
            BodyFailure::Cut => ResultCode::BodyCut,
            BodyFailure::TooSlow => ResultCode::BodyTooSlow,
            BodyFailure::Displaced => ResultCode::EntryFull,
        }
    }
}

/// A body that is whole.
#[derive(Debug)]
pub struct HeldBody {
    /// Its bytes.
    pub bytes: Bytes,
    /// Its place in the account.
    pub lease: BodyLease,
}

/// What a body is held to.
#[derive(Clone, Copy, Debug)]
pub struct BodyBounds {
    /// Size of the request's head, which is held meanwhile, in bytes.
    pub head_bytes: usize,
    /// Largest size, in bytes.
    pub bytes_max: usize,
    /// Time until it is whole.
    pub time: Duration,
}

/// Reads a body; see [`crate::intake::ServingGuard::read_body`].
pub(crate) async fn read<B>(
    intake: &Arc<CallerIntake>,
    mut body: B,
    bounds: BodyBounds,
) -> Result<HeldBody, BodyFailure>
where
    B: Body<Data = Bytes> + Unpin,
{
    if body.size_hint().lower() > u64::try_from(bounds.bytes_max).unwrap_or(u64::MAX) {
        return Err(BodyFailure::TooLarge);
    }
    let lease = BodyLease::open(intake, bounds.head_bytes + REQUEST_BYTES)?;
    let read = async {
        let mut received = 0;
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| BodyFailure::Cut)?.into_data() else { continue };
            received += data.len();
            if received >= PROGRESS_BYTES {
                intake.receive(lease.id, received);
                received = 0;
            }
            lease.append(&data, bounds.bytes_max)?;
        }
        Ok(())
    };
    let read = tokio::select! {
        biased;
        () = lease.signal.wait() => Err(BodyFailure::Displaced),
        read = timeout(bounds.time, read) => read.unwrap_or(Err(BodyFailure::TooSlow)),
    };
    read?;
    let bytes = lease.settle()?;
    Ok(HeldBody { bytes, lease })
}

/// The bytes of a body or of the job that it was decoded to; given back when dropped.
#[derive(Debug)]
pub struct BodyLease {
    intake: Arc<CallerIntake>,
    id: PlaceId,
    signal: Arc<PlaceSignal>,
    /// Bytes of the request beside its body.
    request_bytes: usize,
}

impl Drop for BodyLease {
    fn drop(&mut self) {
        self.intake.remove(self.id);
    }
}

impl BodyLease {
    fn open(intake: &Arc<CallerIntake>, request_bytes: usize) -> Result<BodyLease, BodyFailure> {
        let (id, signal) = intake.open_body();
        let lease = BodyLease { intake: intake.clone(), id, signal, request_bytes };
        intake.resize(id, request_bytes)?;
        Ok(lease)
    }

    fn append(&self, data: &[u8], bytes_max: usize) -> Result<(), BodyFailure> {
        let (length, capacity) = {
            let buffer = lock(&self.signal.buffer);
            (buffer.len(), buffer.capacity())
        };
        let needed = length + data.len();
        if needed > bytes_max {
            return Err(BodyFailure::TooLarge);
        }
        let grown = (capacity * 2).max(BUFFER_BYTES_MIN).min(bytes_max).max(needed);
        if needed > capacity {
            // The buffer moves as it grows, and its connection has one of its own.
            let buffers = grown + grown.min(READ_BUFFER_BYTES);
            self.intake.resize(self.id, self.request_bytes + buffers)?;
        }
        // Others displace a body under the lock of its buffer.
        let mut buffer = lock(&self.signal.buffer);
        if self.signal.is_displaced() {
            return Err(BodyFailure::Displaced);
        }
        if needed > capacity {
            buffer.reserve_exact(grown - length);
        }
        buffer.extend_from_slice(data);
        Ok(())
    }

    /// Takes the bytes of a whole body, which does not give way any more.
    fn settle(&self) -> Result<Bytes, BodyFailure> {
        if !self.intake.settle(self.id) {
            return Err(BodyFailure::Displaced);
        }
        Ok(Bytes::from(std::mem::take(&mut *lock(&self.signal.buffer))))
    }

    /// Counts what a body was decoded to in its place.
    pub fn recount(&self, bytes: usize) {
        // If there is no room for more, it counts as before.
        let _ = self.intake.resize(self.id, self.request_bytes + bytes);
    }
}
