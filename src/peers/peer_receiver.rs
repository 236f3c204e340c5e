//! Receiving half of a stream between daemons.

use std::rc::Rc;

use bincode::Decode;
use bytes::BytesMut;

use crate::peers::PeerError;
use crate::peers::frame_codec::FrameCodec;
use crate::peers::peer_stream::StreamShare;
use crate::peers::stream_receiver::StreamReceiver;
use crate::wire;

/// Receives messages in order and verifies that each is authentic.
pub struct PeerReceiver {
    codec: FrameCodec,
    stream: StreamReceiver,
    buffer: BytesMut,
    share: Rc<StreamShare>,
}

impl PeerReceiver {
    pub(crate) fn open(codec: FrameCodec, stream: StreamReceiver, share: Rc<StreamShare>) -> Self {
        Self {
            codec,
            stream,
            buffer: BytesMut::new(),
            share,
        }
    }

    /// Receives the next message; `None` once the peer has finished its half of the stream.
    ///
    /// Cancel-safe: if the future is dropped, no data is lost.
    ///
    /// # Errors
    /// `PeerError` if the stream fails, or the message fails its authentication or is malformed.
    pub async fn receive<T: Decode<()>>(&mut self) -> Result<Option<T>, PeerError> {
        loop {
            if let Some(payload) = self.codec.decode(&mut self.buffer)? {
                return Ok(Some(wire::decode(&payload)?));
            }
            match self.stream.next().await? {
                Some(chunk) => {
                    if let Some(traffic) = &self.share.traffic {
                        traffic.add_received(chunk.len());
                    }
                    self.buffer.extend_from_slice(&chunk);
                }
                None if self.buffer.is_empty() => return Ok(None),
                None => return Err(PeerError::UnexpectedEnd),
            }
        }
    }

    /// Receives the next message, which is required.
    ///
    /// # Errors
    /// As `receive`, and `PeerError::UnexpectedEnd` if the peer has finished instead.
    pub async fn receive_required<T: Decode<()>>(&mut self) -> Result<T, PeerError> {
        self.receive().await?.ok_or(PeerError::UnexpectedEnd)
    }
}
