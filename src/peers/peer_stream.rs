//! One stream of messages between two daemons.

use std::future::poll_fn;

use bincode::{Decode, Encode};
use bytes::{Bytes, BytesMut};
use h2::SendStream;

use crate::peers::stream_receiver::StreamReceiver;
use crate::peers::{FleetKey, MAC_BYTES, Mac, PeerError};
use crate::wire::{self, MAX_MESSAGE_BYTES};

const LENGTH_BYTES: usize = 4;
const HEADER_BYTES: usize = LENGTH_BYTES + MAC_BYTES;

/// Which side a message comes from; part of what the code covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamSide {
    /// The side that opened the stream.
    Opener,
    /// The side that accepted it.
    Acceptor,
}

impl StreamSide {
    const fn label(self) -> &'static [u8] {
        match self {
            Self::Opener => b"opener",
            Self::Acceptor => b"acceptor",
        }
    }

    const fn other(self) -> Self {
        match self {
            Self::Opener => Self::Acceptor,
            Self::Acceptor => Self::Opener,
        }
    }
}

/// Sends and receives authenticated messages in order.
pub struct PeerStream {
    key: FleetKey,
    side: StreamSide,
    id: u32,
    sender: SendStream<Bytes>,
    receiver: StreamReceiver,
    buffer: BytesMut,
    sent: u64,
    received: u64,
}

impl PeerStream {
    pub(crate) fn open(
        key: FleetKey,
        side: StreamSide,
        sender: SendStream<Bytes>,
        receiver: StreamReceiver,
    ) -> Self {
        let id = sender.stream_id().as_u32();
        Self {
            key,
            side,
            id,
            sender,
            receiver,
            buffer: BytesMut::new(),
            sent: 0,
            received: 0,
        }
    }

    /// Sends one message and waits until flow control has taken it.
    ///
    /// # Errors
    /// `PeerError` when the message is too large or the stream broke.
    pub async fn send<T: Encode>(&mut self, message: &T) -> Result<(), PeerError> {
        let payload = wire::encode(message)?;
        let frame = self.frame(&payload)?;
        self.sent += 1;
        self.send_bytes(frame).await
    }

    /// Receives the next message, or none once the other side has finished.
    ///
    /// # Errors
    /// `PeerError` when the stream broke or the message is forged or malformed.
    pub async fn receive<T: Decode<()>>(&mut self) -> Result<Option<T>, PeerError> {
        let Some(header) = self.take(HEADER_BYTES).await? else {
            return Ok(None);
        };
        let length = read_length(&header)?;
        let payload = self.take(length).await?.ok_or(PeerError::Ended)?;
        let mac: Mac = header[LENGTH_BYTES..]
            .try_into()
            .map_err(|_| PeerError::Forged)?;
        let position = self.position(self.received);
        if !self
            .key
            .verify(&[self.side.other().label(), &position, &payload], &mac)
        {
            return Err(PeerError::Forged);
        }
        self.received += 1;
        Ok(Some(wire::decode(&payload)?))
    }

    /// Receives a message that must come.
    ///
    /// # Errors
    /// As `receive`, and `PeerError::Ended` when none comes.
    pub async fn expect<T: Decode<()>>(&mut self) -> Result<T, PeerError> {
        self.receive().await?.ok_or(PeerError::Ended)
    }

    /// Ends this side of the stream in good order.
    ///
    /// # Errors
    /// `PeerError::Stream` when it broke before.
    pub fn finish(&mut self) -> Result<(), PeerError> {
        self.sender.send_data(Bytes::new(), true)?;
        Ok(())
    }

    /// Breaks the stream off, so that the other side sees a cut.
    pub fn cut(&mut self) {
        self.sender.send_reset(h2::Reason::CANCEL);
    }

    /// Refuses the stream: the peer may be sure that nothing was done.
    pub fn refuse(&mut self) {
        self.sender.send_reset(h2::Reason::REFUSED_STREAM);
    }

    fn frame(&self, payload: &[u8]) -> Result<Bytes, PeerError> {
        let length = u32::try_from(payload.len()).map_err(|_| PeerError::Unexpected)?;
        let position = self.position(self.sent);
        let mac = self.key.mac(&[self.side.label(), &position, payload]);
        let mut frame = BytesMut::with_capacity(HEADER_BYTES + payload.len());
        frame.extend_from_slice(&length.to_le_bytes());
        frame.extend_from_slice(&mac);
        frame.extend_from_slice(payload);
        Ok(frame.freeze())
    }

    fn position(&self, count: u64) -> [u8; 12] {
        let mut position = [0; 12];
        position[..4].copy_from_slice(&self.id.to_le_bytes());
        position[4..].copy_from_slice(&count.to_le_bytes());
        position
    }

    async fn send_bytes(&mut self, mut bytes: Bytes) -> Result<(), PeerError> {
        while !bytes.is_empty() {
            self.sender.reserve_capacity(bytes.len());
            let granted = match poll_fn(|context| self.sender.poll_capacity(context)).await {
                Some(granted) => granted?,
                None => return Err(PeerError::Ended),
            };
            let chunk = bytes.split_to(granted.min(bytes.len()));
            self.sender.send_data(chunk, false)?;
        }
        Ok(())
    }

    async fn take(&mut self, count: usize) -> Result<Option<Bytes>, PeerError> {
        while self.buffer.len() < count {
            match self.receiver.next().await? {
                Some(chunk) => self.buffer.extend_from_slice(&chunk),
                None if self.buffer.is_empty() => return Ok(None),
                None => return Err(PeerError::Ended),
            }
        }
        Ok(Some(self.buffer.split_to(count).freeze()))
    }
}

fn read_length(header: &Bytes) -> Result<usize, PeerError> {
    let bytes = header[..LENGTH_BYTES]
        .try_into()
        .map_err(|_| PeerError::Unexpected)?;
    let length = u32::from_le_bytes(bytes) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(PeerError::Unexpected);
    }
    Ok(length)
}
