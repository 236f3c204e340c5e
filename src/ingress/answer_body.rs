//! The body of an answer that is passed on as it comes.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use quick_error::quick_error;
use tokio::sync::mpsc;

use crate::ingress::attempt_task::LongAnswer;
use crate::time::{Deadline, ProcessClock};
use crate::wire::EgressMessage;

/// Chunks that wait for a slow caller.
const MAX_WAITING: usize = 4;

quick_error! {
    /// The answer was cut; the connection to the caller is broken off, so that it sees the cut.
    #[derive(Debug)]
    pub enum AnswerCut {
        /// The stream ended before the whole answer had come.
        Early {
            display("the answer was cut on its way")
        }
    }
}

/// What the pump passes to the body.
enum AnswerPart {
    Chunk(Bytes),
    /// The egress has said that the answer is whole.
    Whole,
}

/// Passes chunks on; the end only comes after the egress has said that the answer is whole.
pub(crate) struct AnswerBody {
    length: Option<u64>,
    parts: mpsc::Receiver<AnswerPart>,
}

impl AnswerBody {
    /// The body of `long`, whose rest must have left by `deadline`.
    ///
    /// A task of its own takes the chunks off the stream: a body is not polled while its caller
    /// reads nothing, and must let go of the stream at the deadline all the same.
    pub(crate) fn spawn(long: LongAnswer, deadline: Deadline, clock: ProcessClock) -> Self {
        let length = long.head.length;
        let (sender, parts) = mpsc::channel(MAX_WAITING);
        actix_rt::spawn(async move {
            let remaining = deadline.remaining(clock.now());
            // Past the deadline the sender goes, which the body takes for a cut.
            let _ = actix_rt::time::timeout(remaining, pump(long, sender)).await;
        });
        Self { length, parts }
    }
}

impl MessageBody for AnswerBody {
    type Error = Box<dyn std::error::Error>;

    fn size(&self) -> BodySize {
        self.length.map_or(BodySize::Stream, BodySize::Sized)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Poll::Ready(match ready!(self.parts.poll_recv(context)) {
            Some(AnswerPart::Chunk(bytes)) => Some(Ok(bytes)),
            Some(AnswerPart::Whole) => None,
            None => Some(Err(AnswerCut::Early.into())),
        })
    }
}

/// Moves chunks until the answer is whole, cut, or nobody wants it any more.
///
/// The stream is dropped at the end, which cancels a request that still runs.
async fn pump(mut long: LongAnswer, sender: mpsc::Sender<AnswerPart>) {
    let mut passed = 0;
    for chunk in std::mem::take(&mut long.read) {
        passed += chunk.len() as u64;
        if sender.send(AnswerPart::Chunk(chunk)).await.is_err() {
            return;
        }
    }
    loop {
        let part = match long.receiver.receive::<EgressMessage>().await {
            Ok(Some(EgressMessage::Chunk(bytes))) => AnswerPart::Chunk(Bytes::from(bytes)),
            Ok(Some(EgressMessage::End { total_bytes, .. })) if total_bytes == passed => {
                let _ = sender.send(AnswerPart::Whole).await;
                return;
            }
            _ => return,
        };
        if let AnswerPart::Chunk(bytes) = &part {
            passed += bytes.len() as u64;
        }
        if sender.send(part).await.is_err() {
            return;
        }
    }
}
