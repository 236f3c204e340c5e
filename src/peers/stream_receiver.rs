//! The receiving half of a stream, whose response head may still be under way.

use bytes::Bytes;
use h2::RecvStream;
use h2::client::ResponseFuture;

use crate::peers::PeerError;

/// Receives bytes once the response head has come.
pub(crate) enum StreamReceiver {
    /// The head has not come yet.
    Waiting(ResponseFuture),
    /// Bytes may come.
    Open(RecvStream),
}

impl StreamReceiver {
    /// The next bytes, or none at the end; flow control is released at once.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, PeerError> {
        if let Self::Waiting(response) = self {
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
