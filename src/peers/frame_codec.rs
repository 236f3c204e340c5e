//! Seals and opens the frames of one direction of a stream.

use bytes::{BufMut, Bytes, BytesMut};

use crate::peers::{FleetKey, MAC_BYTES, Mac, PeerError};
use crate::wire::MAX_MESSAGE_BYTES;

const LENGTH_BYTES: usize = 4;
const HEADER_BYTES: usize = LENGTH_BYTES + MAC_BYTES;
const POSITION_BYTES: usize = 12;

/// Which side of a stream sends; part of what the code covers.
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

    /// The opposite side.
    pub(crate) const fn other(self) -> Self {
        match self {
            Self::Opener => Self::Acceptor,
            Self::Acceptor => Self::Opener,
        }
    }
}

/// Authenticates the messages of one direction, each bound to its place.
pub(crate) struct FrameCodec {
    key: FleetKey,
    side: StreamSide,
    stream: u32,
    count: u64,
}

impl FrameCodec {
    /// A seal for what `side` sends on the stream with number `stream`.
    pub(crate) const fn open(key: FleetKey, side: StreamSide, stream: u32) -> Self {
        Self {
            key,
            side,
            stream,
            count: 0,
        }
    }

    /// The frame of the next payload.
    pub(crate) fn encode(&mut self, payload: &[u8]) -> Result<Bytes, PeerError> {
        let length = u32::try_from(payload.len()).map_err(|_| PeerError::UnexpectedMessage)?;
        let position = self.position();
        let mac = self.key.mac(&[self.side.label(), &position, payload]);
        self.count += 1;
        let mut frame = BytesMut::with_capacity(HEADER_BYTES + payload.len());
        frame.put_u32_le(length);
        frame.extend_from_slice(&mac);
        frame.extend_from_slice(payload);
        Ok(frame.freeze())
    }

    /// Takes the next whole payload out of `buffer`, or none while bytes are missing.
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
        self.count += 1;
        Ok(())
    }

    fn position(&self) -> [u8; POSITION_BYTES] {
        let mut position = [0; POSITION_BYTES];
        position[..4].copy_from_slice(&self.stream.to_le_bytes());
        position[4..].copy_from_slice(&self.count.to_le_bytes());
        position
    }
}
