//! Sending half of a stream between daemons.

use std::future::poll_fn;
use std::rc::Rc;

use bincode::Encode;
use bytes::Bytes;
use h2::SendStream;

use crate::peers::frame_codec::FrameCodec;
use crate::peers::peer_stream::StreamShare;
use crate::peers::{PeerError, TrafficPurpose};
use crate::wire;

/// Sends messages in order, each with a MAC. Dropping the sender before `finish` resets the stream.
pub struct PeerSender {
    codec: FrameCodec,
    stream: SendStream<Bytes>,
    share: Rc<StreamShare>,
    /// Whether the first message was handed over completely.
    has_sent: bool,
}

impl PeerSender {
    pub(crate) const fn open(
        codec: FrameCodec,
        stream: SendStream<Bytes>,
        share: Rc<StreamShare>,
    ) -> Self {
        Self {
            codec,
            stream,
            share,
            has_sent: false,
        }
    }

    /// Sets what the stream's bytes count for, once its first message is known.
    pub(crate) fn set_purpose(&self, purpose: TrafficPurpose) {
        if let Some(traffic) = &self.share.traffic {
            traffic.set_purpose(purpose);
        }
    }

    /// Sends one message. Waits until flow control admits all of it.
    ///
    /// # Errors
    /// `PeerError` if the message is larger than `MAX_MESSAGE_BYTES` or the stream fails; it is
    /// `PeerError::Unsent` for the first message.
    pub async fn send<T: Encode>(&mut self, message: &T) -> Result<(), PeerError> {
        let sent = self.send_message(message).await;
        if self.has_sent {
            return sent;
        }
        self.has_sent = sent.is_ok();
        sent.map_err(PeerError::unsent)
    }

    async fn send_message<T: Encode>(&mut self, message: &T) -> Result<(), PeerError> {
        let mut frame = self.codec.encode(&wire::encode(message)?)?;
        while !frame.is_empty() {
            self.stream.reserve_capacity(frame.len());
            let granted = poll_fn(|context| self.stream.poll_capacity(context))
                .await
                .ok_or(PeerError::UnexpectedEnd)??;
            let chunk = frame.split_to(granted.min(frame.len()));
            if let Some(traffic) = &self.share.traffic {
                traffic.add_sent(chunk.len());
            }
            self.stream.send_data(chunk, false)?;
        }
        Ok(())
    }

    /// Ends this half of the stream; the peer receives all messages sent before.
    ///
    /// # Errors
    /// `PeerError::Stream` if the stream has failed already.
    pub fn finish(&mut self) -> Result<(), PeerError> {
        self.stream.send_data(Bytes::new(), true)?;
        Ok(())
    }

    /// Resets the stream, so that the peer gets an error instead of a normal end.
    pub fn reset(&mut self) {
        self.stream.send_reset(h2::Reason::CANCEL);
    }
}
