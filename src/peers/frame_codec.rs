//! Encoding and decoding of authenticated frames in one direction of a stream.
//!
//! A frame is the payload's length (`u32`, little-endian), the MAC and the payload. The MAC covers
//! the sending side, the stream number, the number of the message in its direction, and the
//! payload. So a message that is replayed, reordered or moved to another stream fails its
//! authentication.

use bytes::{BufMut, Bytes, BytesMut};

use crate::peers::{FleetKey, MAC_BYTES, Mac, PeerError};
use crate::wire::MAX_MESSAGE_BYTES;

const LENGTH_BYTES: usize = 4;
const HEADER_BYTES: usize = LENGTH_BYTES + MAC_BYTES;
/// Size of the stream number and the message number, which the MAC covers.
const POSITION_BYTES: usize = 12;

/// The side of a stream that sends a message. The MAC covers it, so that a message cannot be
/// reflected to its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamSide {
    /// The daemon that opened the stream.
    Opener,
    /// The daemon that accepted the stream.
    Acceptor,
}

impl StreamSide {
    const fn label(self) -> &'static [u8] {
        match self {
            Self::Opener => b"opener",
            Self::Acceptor => b"acceptor",
        }
    }

    /// The opposite side.
    pub(crate) const fn opposite(self) -> Self {
        match self {
            Self::Opener => Self::Acceptor,
            Self::Acceptor => Self::Opener,
        }
    }
}

/// Encodes or decodes the frames of one direction of a stream and counts them.
pub(crate) struct FrameCodec {
    key: FleetKey,
    side: StreamSide,
    stream: u32,
    /// Number of the next message.
    next_message: u64,
}

impl FrameCodec {
    /// Creates the codec for the messages that `side` sends on the stream with the HTTP/2 id
    /// `stream`.
    pub(crate) const fn open(key: FleetKey, side: StreamSide, stream: u32) -> Self {
        Self {
            key,
            side,
            stream,
            next_message: 0,
        }
    }

    /// Encodes the next message as a frame.
    pub(crate) fn encode(&mut self, payload: &[u8]) -> Result<Bytes, PeerError> {
        let length = u32::try_from(payload.len()).map_err(|_| PeerError::UnexpectedMessage)?;
        let position = self.position();
        let mac = self.key.mac(&[self.side.label(), &position, payload]);
        self.next_message += 1;
        let mut frame = BytesMut::with_capacity(HEADER_BYTES + payload.len());
        frame.put_u32_le(length);
        frame.extend_from_slice(&mac);
        frame.extend_from_slice(payload);
        Ok(frame.freeze())
    }

    /// Removes the next complete frame from `buffer` and returns its payload; `None` if the frame
    /// is still incomplete.
    pub(crate) fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>, PeerError> {
        let Some(prefix) = buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*prefix) as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(PeerError::UnexpectedMessage);
        }
        if buffer.len() < HEADER_BYTES + length {
            return Ok(None);
        }
        let header = buffer.split_to(HEADER_BYTES);
        let payload = buffer.split_to(length).freeze();
        self.verify(&header[LENGTH_BYTES..], &payload)?;
        Ok(Some(payload))
    }

    fn verify(&mut self, mac: &[u8], payload: &[u8]) -> Result<(), PeerError> {
        let mac: Mac = mac
            .try_into()
            .map_err(|_| PeerError::AuthenticationFailed)?;
        let position = self.position();
        if !self
            .key
            .verify(&[self.side.label(), &position, payload], &mac)
        {
            return Err(PeerError::AuthenticationFailed);
        }
        self.next_message += 1;
        Ok(())
    }

    /// The stream number and the message number, as the MAC covers them.
    fn position(&self) -> [u8; POSITION_BYTES] {
        let mut position = [0; POSITION_BYTES];
        position[..4].copy_from_slice(&self.stream.to_le_bytes());
        position[4..].copy_from_slice(&self.next_message.to_le_bytes());
        position
    }
}
