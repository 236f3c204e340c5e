//! The complete body of a response, with the memory that it takes.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;

use crate::ingress::BodyReservation;

/// The chunks of a body that was received to its end. They are passed on one by one, so that the
/// connection of a slow reader holds no more than one beside them.
pub(crate) struct HeldBody {
    chunks: VecDeque<Bytes>,
    bytes: u64,
    _reservation: BodyReservation,
}

impl HeldBody {
    pub(crate) fn open(chunks: VecDeque<Bytes>, reservation: BodyReservation) -> Self {
        Self {
            bytes: chunks.iter().map(|chunk| chunk.len() as u64).sum(),
            chunks,
            _reservation: reservation,
        }
    }
}

impl MessageBody for HeldBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.bytes)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Poll::Ready(self.chunks.pop_front().map(Ok))
    }
}
