//! The body of a response that is streamed to the caller while it is received.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use quick_error::quick_error;
use tokio::sync::mpsc;

use crate::ingress::attempt_task::StreamingResponse;
use crate::ingress::{BodyBudget, BodyReservation};
use crate::time::{Deadline, ProcessClock};
use crate::wire::EgressMessage;

/// Body chunks buffered for a slow caller.
const MAX_BUFFERED_CHUNKS: usize = 16;

quick_error! {
    /// The response ended early. The server closes the caller's connection, so that the caller
    /// does not take the response for complete.
    #[derive(Debug)]
    pub enum TruncationError {
        /// The stream from the egress ended before the last chunk.
        MissingEnd {
            display("response truncated: the stream from the egress ended early")
        }
    }
}

/// An item that `forward_chunks` sends to the body.
enum BodyPart {
    Chunk {
        bytes: Bytes,
        /// The memory that the bytes take.
        _reservation: BodyReservation,
    },
    /// The egress has reported that the response is complete.
    End,
}

/// A body that yields chunks as they are received and ends only when the egress has reported that
/// the response is complete.
pub(crate) struct ResponseBody {
    /// `Content-Length` in bytes; none when the backend server sent none.
    length: Option<u64>,
    parts: mpsc::Receiver<BodyPart>,
}

impl ResponseBody {
    /// Creates the body of `response`, which is truncated at `deadline`.
    ///
    /// A separate task reads the chunks: a body is not polled while its caller reads nothing, but the
    /// stream must be dropped at the deadline all the same.
    pub(crate) fn spawn(
        response: StreamingResponse,
        deadline: Deadline,
        clock: ProcessClock,
        budget: &BodyBudget,
    ) -> Self {
        let length = response.head.length;
        let (sender, parts) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        let budget = budget.clone();
        actix_rt::spawn(async move {
            let remaining = deadline.remaining(clock.now());
            // At the deadline the sender is dropped, which the body reports as truncation.
            let _ =
                actix_rt::time::timeout(remaining, forward_chunks(response, sender, budget)).await;
        });
        Self { length, parts }
    }
}

impl MessageBody for ResponseBody {
    type Error = Box<dyn std::error::Error>;

    fn size(&self) -> BodySize {
        self.length.map_or(BodySize::Stream, BodySize::Sized)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Poll::Ready(match ready!(self.parts.poll_recv(context)) {
            Some(BodyPart::Chunk { bytes, .. }) => Some(Ok(bytes)),
            Some(BodyPart::End) => None,
            None => Some(Err(TruncationError::MissingEnd.into())),
        })
    }
}

/// Forwards chunks until the response is complete or truncated, or the caller is gone.
///
/// Dropping the stream on return cancels a request that still runs.
///
/// A chunk for which the budget has no memory is passed on when the caller has taken all others.
async fn forward_chunks(
    mut response: StreamingResponse,
    sender: mpsc::Sender<BodyPart>,
    budget: BodyBudget,
) {
    let mut forwarded_bytes = 0;
    for chunk in std::mem::take(&mut response.chunks) {
        forwarded_bytes += chunk.len() as u64;
        let part = BodyPart::Chunk {
            bytes: chunk,
            _reservation: budget.reserve(),
        };
        if sender.send(part).await.is_err() {
            return;
        }
    }
    drop(response.reservation);
    loop {
        let bytes = match response.receiver.receive::<EgressMessage>().await {
            Ok(Some(EgressMessage::Chunk(bytes))) => Bytes::from(bytes),
            Ok(Some(EgressMessage::End { total_bytes, .. })) if total_bytes == forwarded_bytes => {
                let _ = sender.send(BodyPart::End).await;
                return;
            }
            _ => return,
        };
        forwarded_bytes += bytes.len() as u64;
        let mut reservation = budget.reserve();
        if !reservation.grow(bytes.len()) && sender.reserve_many(MAX_BUFFERED_CHUNKS).await.is_err()
        {
            return;
        }
        let part = BodyPart::Chunk {
            bytes,
            _reservation: reservation,
        };
        if sender.send(part).await.is_err() {
            return;
        }
    }
}
