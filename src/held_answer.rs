//! The answer to a request in the account of callers: it counts until it is sent, and is handed out in
//! parts. A caller who does not read makes no progress; when others need the room, its connection is
//! closed.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::decide::intake::PlaceId;
use crate::intake::CallerIntake;

/// Largest part that is handed out at a time, in bytes.
const PART_BYTES: usize = 16 << 10;

/// The place of an answer in the account; given back when dropped.
#[derive(Debug)]
pub struct AnswerLease {
    intake: Arc<CallerIntake>,
    id: PlaceId,
}

impl Drop for AnswerLease {
    fn drop(&mut self) {
        self.intake.remove(self.id);
    }
}

impl AnswerLease {
    /// The lease of this place.
    pub(crate) fn new(intake: Arc<CallerIntake>, id: PlaceId) -> AnswerLease {
        AnswerLease { intake, id }
    }
}

/// An answer that is being sent.
#[derive(Debug)]
pub struct HeldAnswer {
    left: Bytes,
    lease: Option<AnswerLease>,
}

impl HeldAnswer {
    /// An answer; without a lease it does not count.
    pub fn new(bytes: Bytes, lease: Option<AnswerLease>) -> HeldAnswer {
        HeldAnswer { left: bytes, lease }
    }
}

impl Body for HeldAnswer {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let answer = &mut *self;
        if answer.left.is_empty() {
            return Poll::Ready(None);
        }
        let part = match answer.left.len() <= PART_BYTES {
            true => std::mem::take(&mut answer.left),
            // A slice would keep the whole answer for as long as it is not sent.
            false => Bytes::copy_from_slice(&answer.left.split_to(PART_BYTES)),
        };
        if let Some(lease) = &answer.lease {
            lease.intake.receive(lease.id, part.len());
        }
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.left.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left.len() as u64)
    }
}
