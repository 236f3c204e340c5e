//! Encoding of gossip messages as datagrams with a message authentication code (MAC).

use quick_error::quick_error;

use crate::peers::{FleetKey, MAC_BYTES, Mac};
use crate::wire::{self, GossipMessage};

/// Largest datagram sent or accepted, in bytes; passes common networks without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

// Separates the MACs of datagrams of this version from other uses of the same key.
const CONTEXT: &[u8] = b"gossip 1";

quick_error! {
    /// Why a datagram was dropped or a message could not be encoded.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DatagramError {
        /// The datagram is shorter than a MAC or longer than `MAX_DATAGRAM_BYTES`.
        Length(bytes: usize) {
            display("datagram has {bytes} bytes; {MAC_BYTES} to {MAX_DATAGRAM_BYTES} are allowed")
        }
        /// The MAC does not match the payload under the fleet's key.
        Forged {
            display("datagram authentication failed; check fleet_secret on both daemons")
        }
        /// The payload cannot be decoded as a message, or the message cannot be encoded.
        Malformed(cause: wire::CodecError) {
            display("{cause}")
            source(cause)
            from()
        }
    }
}

/// Encodes and decodes datagrams, authenticated under the fleet's key.
#[derive(Debug, Clone)]
pub struct DatagramCodec {
    key: FleetKey,
}

impl DatagramCodec {
    /// Creates a codec that authenticates with `key`.
    #[must_use]
    pub const fn open(key: FleetKey) -> Self {
        Self { key }
    }

    /// Encodes `message` into a datagram: the MAC, followed by the payload.
    ///
    /// # Errors
    /// `DatagramError::Length` when the datagram exceeds `MAX_DATAGRAM_BYTES`,
    /// `DatagramError::Malformed` when the message cannot be encoded.
    pub fn encode(&self, message: &GossipMessage) -> Result<Vec<u8>, DatagramError> {
        let payload = wire::encode(message)?;
        let mut datagram = self.key.mac(&[CONTEXT, &payload]).to_vec();
        datagram.extend_from_slice(&payload);
        match datagram.len() {
            0..=MAX_DATAGRAM_BYTES => Ok(datagram),
            bytes => Err(DatagramError::Length(bytes)),
        }
    }

    /// Verifies the MAC of a datagram and decodes its message.
    ///
    /// # Errors
    /// `DatagramError` when the length, the MAC or the payload is invalid; the datagram must be
    /// dropped.
    pub fn decode(&self, datagram: &[u8]) -> Result<GossipMessage, DatagramError> {
        let length = || DatagramError::Length(datagram.len());
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(length());
        }
        let (mac, payload) = datagram.split_at_checked(MAC_BYTES).ok_or_else(length)?;
        let mac: Mac = mac.try_into().map_err(|_| length())?;
        if !self.key.verify(&[CONTEXT, payload], &mac) {
            return Err(DatagramError::Forged);
        }
        Ok(wire::decode(payload)?)
    }
}
