//! The sending half of a stream.

use std::future::poll_fn;

use bincode::Encode;
use bytes::Bytes;
use h2::SendStream;

use crate::peers::PeerError;
use crate::peers::frame_codec::FrameCodec;
use crate::wire;

/// Sends authenticated messages in order; dropping it unfinished cuts the stream.
pub struct PeerSender {
    codec: FrameCodec,
    stream: SendStream<Bytes>,
}

impl PeerSender {
    pub(crate) const fn open(codec: FrameCodec, stream: SendStream<Bytes>) -> Self {
        Self { codec, stream }
    }

    /// Sends one message and waits until flow control has taken it.
    ///
    /// # Errors
    /// `PeerError` when the message is too large or the stream broke.
    pub async fn send<T: Encode>(&mut self, message: &T) -> Result<(), PeerError> {
        let payload = wire::encode(message)?;
        let mut frame = self.codec.encode(&payload)?;
        while !frame.is_empty() {
            self.stream.reserve_capacity(frame.len());
            let granted = poll_fn(|context| self.stream.poll_capacity(context))
                .await
                .ok_or(PeerError::UnexpectedEnd)??;
            let chunk = frame.split_to(granted.min(frame.len()));
            self.stream.send_data(chunk, false)?;
        }
        Ok(())
    }

    /// Ends this half in good order.
    ///
    /// # Errors
    /// `PeerError::Stream` when the stream broke before.
    pub fn finish(&mut self) -> Result<(), PeerError> {
        self.stream.send_data(Bytes::new(), true)?;
        Ok(())
    }

    /// Breaks the stream off, so that the other side sees a cut.
    pub fn reset(&mut self) {
        self.stream.send_reset(h2::Reason::CANCEL);
    }
}
