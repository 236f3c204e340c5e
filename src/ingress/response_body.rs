//! The body of an answer that is passed on as it comes.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use quick_error::quick_error;
use tokio::sync::mpsc;

use crate::ingress::attempt_task::StreamingResponse;
use crate::time::{Deadline, ProcessClock};
use crate::wire::EgressMessage;

/// Chunks that wait for a slow caller.
const MAX_BUFFERED_CHUNKS: usize = 4;

quick_error! {
    /// The answer was cut; the connection to the caller is broken off, so that it sees the cut.
    #[derive(Debug)]
    pub enum TruncationError {
        /// The stream ended before the whole answer had come.
        MissingEnd {
            display("the answer was cut on its way")
        }
    }
}

/// What the forward_chunks passes to the body.
enum BodyPart {
    Chunk(Bytes),
    /// The egress has said that the answer is whole.
    End,
}

/// Passes chunks on; the end only comes after the egress has said that the answer is whole.
pub(crate) struct ResponseBody {
    length: Option<u64>,
    parts: mpsc::Receiver<BodyPart>,
}

impl ResponseBody {
    /// The body of `response`, whose rest must have left by `deadline`.
    ///
    /// A task of its own takes the chunks off the stream: a body is not polled while its caller
    /// reads nothing, and must let go of the stream at the deadline all the same.
    pub(crate) fn spawn(
        response: StreamingResponse,
        deadline: Deadline,
        clock: ProcessClock,
    ) -> Self {
        let length = response.head.length;
        let (sender, parts) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        actix_rt::spawn(async move {
            let remaining = deadline.remaining(clock.now());
            // Past the deadline the sender goes, which the body takes for a cut.
            let _ = actix_rt::time::timeout(remaining, forward_chunks(response, sender)).await;
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
            Some(BodyPart::Chunk(bytes)) => Some(Ok(bytes)),
            Some(BodyPart::End) => None,
            None => Some(Err(TruncationError::MissingEnd.into())),
        })
    }
}

/// Moves chunks until the answer is whole, cut, or nobody wants it any more.
///
/// The stream is dropped at the end, which cancels a request that still runs.
async fn forward_chunks(mut response: StreamingResponse, sender: mpsc::Sender<BodyPart>) {
    let mut passed = 0;
    for chunk in std::mem::take(&mut response.chunks) {
        passed += chunk.len() as u64;
        if sender.send(BodyPart::Chunk(chunk)).await.is_err() {
            return;
        }
    }
    loop {
        let part = match response.receiver.receive::<EgressMessage>().await {
            Ok(Some(EgressMessage::Chunk(bytes))) => BodyPart::Chunk(Bytes::from(bytes)),
            Ok(Some(EgressMessage::End { total_bytes, .. })) if total_bytes == passed => {
                let _ = sender.send(BodyPart::End).await;
                return;
            }
            _ => return,
        };
        if let BodyPart::Chunk(bytes) = &part {
            passed += bytes.len() as u64;
        }
        if sender.send(part).await.is_err() {
            return;
        }
    }
}
