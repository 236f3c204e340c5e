//! One stream of messages between two daemons.

use bincode::{Decode, Encode};
use bytes::Bytes;
use h2::SendStream;

use crate::peers::frame_codec::{FrameCodec, StreamSide};
use crate::peers::stream_receiver::StreamReceiver;
use crate::peers::{FleetKey, PeerError, PeerReceiver, PeerSender};

/// Sends and receives authenticated messages in order.
pub struct PeerStream {
    sender: PeerSender,
    receiver: PeerReceiver,
}

impl PeerStream {
    pub(crate) fn open(
        key: &FleetKey,
        side: StreamSide,
        sender: SendStream<Bytes>,
        receiver: StreamReceiver,
    ) -> Self {
        let id = sender.stream_id().as_u32();
        let sending = FrameCodec::open(key.clone(), side, id);
        let receiving = FrameCodec::open(key.clone(), side.other(), id);
        Self {
            sender: PeerSender::open(sending, sender),
            receiver: PeerReceiver::open(receiving, receiver),
        }
    }

    /// Sends one message; see `PeerSender::send`.
    ///
    /// # Errors
    /// As `PeerSender::send`.
    pub async fn send<T: Encode>(&mut self, message: &T) -> Result<(), PeerError> {
        self.sender.send(message).await
    }

    /// Receives a message that must come; see `PeerReceiver::receive_required`.
    ///
    /// # Errors
    /// As `PeerReceiver::receive_required`.
    pub async fn receive_required<T: Decode<()>>(&mut self) -> Result<T, PeerError> {
        self.receiver.receive_required().await
    }

    /// Ends the sending half in good order.
    ///
    /// # Errors
    /// As `PeerSender::finish`.
    pub fn finish(&mut self) -> Result<(), PeerError> {
        self.sender.finish()
    }

    /// Breaks the stream off.
    pub fn reset(&mut self) {
        self.sender.reset();
    }

    /// The two halves, to be used at the same time.
    #[must_use]
    pub fn split(self) -> (PeerSender, PeerReceiver) {
        (self.sender, self.receiver)
    }
}
