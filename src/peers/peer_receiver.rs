//! The receiving half of a stream.

use bincode::Decode;
use bytes::BytesMut;

use crate::peers::PeerError;
use crate::peers::frame_codec::FrameCodec;
use crate::peers::stream_receiver::StreamReceiver;
use crate::wire;

/// Receives authenticated messages in order.
pub struct PeerReceiver {
    codec: FrameCodec,
    stream: StreamReceiver,
    buffer: BytesMut,
}

impl PeerReceiver {
    pub(crate) fn open(codec: FrameCodec, stream: StreamReceiver) -> Self {
        Self {
            codec,
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Receives the next message, or none once the other side has finished.
    ///
    /// Dropping the future loses nothing.
    ///
    /// # Errors
    /// `PeerError` when the stream broke or the message is forged or malformed.
    pub async fn receive<T: Decode<()>>(&mut self) -> Result<Option<T>, PeerError> {
        loop {
            if let Some(payload) = self.codec.decode(&mut self.buffer)? {
                return Ok(Some(wire::decode(&payload)?));
            }
            match self.stream.next().await? {
                Some(chunk) => self.buffer.extend_from_slice(&chunk),
                None if self.buffer.is_empty() => return Ok(None),
                None => return Err(PeerError::UnexpectedEnd),
            }
        }
    }

    /// Receives a message that must come.
    ///
    /// # Errors
    /// As `receive`, and `PeerError::UnexpectedEnd` when none comes.
    pub async fn receive_required<T: Decode<()>>(&mut self) -> Result<T, PeerError> {
        self.receive().await?.ok_or(PeerError::UnexpectedEnd)
    }
}
