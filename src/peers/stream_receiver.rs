//! Receiving half of an HTTP/2 stream. On the opener's side the response head arrives first.

use bytes::Bytes;
use h2::RecvStream;
use h2::client::ResponseFuture;

use crate::peers::PeerError;

/// Receives the body of an HTTP/2 stream.
pub(crate) enum StreamReceiver {
    /// The response head has not arrived yet.
    AwaitingHead(ResponseFuture),
    /// The head has arrived, or this side accepted the stream.
    Open(RecvStream),
}

impl StreamReceiver {
    /// Receives the next bytes; `None` at the end of the stream. Returns their flow control
    /// capacity to the peer at once.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, PeerError> {
        if let Self::AwaitingHead(response) = self {
            *self = Self::Open(response.await?.into_body());
        }
        let Self::Open(receiver) = self else {
            return Err(PeerError::UnexpectedMessage);
        };
        let Some(chunk) = receiver.data().await else {
            return Ok(None);
        };
        let chunk = chunk?;
        receiver.flow_control().release_capacity(chunk.len())?;
        Ok(Some(chunk))
    }
}
