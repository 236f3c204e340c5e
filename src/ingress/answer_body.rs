//! The body of an answer that is passed on as it comes.

use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream::LocalBoxStream;
use quick_error::quick_error;

use crate::peers::{PeerReceiver, PeerSender};
use crate::wire::EgressMessage;

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

/// Passes chunks on; the end only comes after the egress has said that the answer is whole.
pub(crate) struct AnswerBody {
    length: Option<u64>,
    chunks: LocalBoxStream<'static, Result<Bytes, AnswerCut>>,
}

impl AnswerBody {
    /// A body that begins with the chunks read already and goes on with the stream.
    pub(crate) fn open(
        length: Option<u64>,
        read: VecDeque<Bytes>,
        sender: PeerSender,
        receiver: PeerReceiver,
    ) -> Self {
        let source = AnswerSource {
            read,
            receiver,
            passed: 0,
            _sender: sender,
        };
        let chunks = futures_util::stream::try_unfold(source, AnswerSource::next);
        Self {
            length,
            chunks: Box::pin(chunks),
        }
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
        let next = Pin::new(&mut self.chunks).poll_next(context);
        next.map(|chunk| chunk.map(|chunk| chunk.map_err(Into::into)))
    }
}

struct AnswerSource {
    read: VecDeque<Bytes>,
    receiver: PeerReceiver,
    passed: u64,
    /// Dropping it cancels the request at the egress.
    _sender: PeerSender,
}

impl AnswerSource {
    async fn next(mut self) -> Result<Option<(Bytes, Self)>, AnswerCut> {
        if let Some(chunk) = self.read.pop_front() {
            self.passed += chunk.len() as u64;
            return Ok(Some((chunk, self)));
        }
        match self.receiver.receive::<EgressMessage>().await {
            Ok(Some(EgressMessage::Chunk(bytes))) => {
                self.passed += bytes.len() as u64;
                Ok(Some((Bytes::from(bytes), self)))
            }
            Ok(Some(EgressMessage::End { total_bytes, .. })) if total_bytes == self.passed => {
                Ok(None)
            }
            _ => Err(AnswerCut::Early),
        }
    }
}
