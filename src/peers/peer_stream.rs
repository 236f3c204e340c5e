//! Bidirectional stream of messages between two daemons.

use std::rc::Rc;

use bincode::{Decode, Encode};
use bytes::Bytes;
use h2::SendStream;

use crate::peers::connection_activity::OpenStream;
use crate::peers::frame_codec::{FrameCodec, StreamSide};
use crate::peers::stream_receiver::StreamReceiver;
use crate::peers::stream_traffic::StreamTraffic;
use crate::peers::{FleetKey, PeerError, PeerReceiver, PeerSender, TrafficPurpose, ZoneTraffic};

/// Sends and receives authenticated messages, in order in each direction.
pub struct PeerStream {
    sender: PeerSender,
    receiver: PeerReceiver,
}

/// What the halves of a stream share.
#[derive(Debug)]
pub(crate) struct StreamShare {
    /// Counts a stream of its connection as open until both halves are dropped.
    pub(crate) _open: Option<OpenStream>,
    /// None if the peer is in the own zone.
    pub(crate) traffic: Option<StreamTraffic>,
}

impl PeerStream {
    pub(crate) fn open(
        key: &FleetKey,
        side: StreamSide,
        sender: SendStream<Bytes>,
        receiver: StreamReceiver,
        open: Option<OpenStream>,
        traffic: Option<&Rc<ZoneTraffic>>,
    ) -> Self {
        let share = Rc::new(StreamShare {
            _open: open,
            traffic: traffic.map(StreamTraffic::open),
        });
        let id = sender.stream_id().as_u32();
        let encoder = FrameCodec::open(key.clone(), side, id);
        let decoder = FrameCodec::open(key.clone(), side.opposite(), id);
        Self {
            sender: PeerSender::open(encoder, sender, Rc::clone(&share)),
            receiver: PeerReceiver::open(decoder, receiver, share),
        }
    }

    /// Sets what the stream's bytes count for, once its first message is known.
    pub(crate) fn set_purpose(&self, purpose: TrafficPurpose) {
        self.sender.set_purpose(purpose);
    }

    /// Sends one message; see `PeerSender::send`.
    ///
    /// # Errors
    /// As `PeerSender::send`.
    pub async fn send<T: Encode>(&mut self, message: &T) -> Result<(), PeerError> {
        self.sender.send(message).await
    }

    /// Receives the next message, which is required; see `PeerReceiver::receive_required`.
    ///
    /// # Errors
    /// As `PeerReceiver::receive_required`.
    pub async fn receive_required<T: Decode<()>>(&mut self) -> Result<T, PeerError> {
        self.receiver.receive_required().await
    }

    /// Ends the sending half; see `PeerSender::finish`.
    ///
    /// # Errors
    /// As `PeerSender::finish`.
    pub fn finish(&mut self) -> Result<(), PeerError> {
        self.sender.finish()
    }

    /// Resets the stream; see `PeerSender::reset`.
    pub fn reset(&mut self) {
        self.sender.reset();
    }

    /// Splits the stream into its halves, for concurrent sending and receiving.
    #[must_use]
    pub fn split(self) -> (PeerSender, PeerReceiver) {
        (self.sender, self.receiver)
    }
}
