//! Authenticated datagrams.

use quick_error::quick_error;

use crate::peers::{FleetKey, MAC_BYTES, Mac};
use crate::wire::{self, GossipMessage};

/// Largest datagram sent or accepted, in bytes; fits every usual path without fragments.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

const CONTEXT: &[u8] = b"gossip 1";

quick_error! {
    /// Why a datagram was dropped or could not be made.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DatagramError {
        /// It is shorter than its code, or longer than allowed.
        Length(bytes: usize) {
            display("datagram of {bytes} bytes; {MAC_BYTES} to {MAX_DATAGRAM_BYTES} are allowed")
        }
        /// Its code does not match.
        Forged {
            display("datagram failed its authentication; check fleet_secret on both sides")
        }
        /// Its payload is no message.
        Malformed(cause: wire::CodecError) {
            display("{cause}")
            source(cause)
            from()
        }
    }
}

/// Turns messages into datagrams and back.
#[derive(Debug, Clone)]
pub struct DatagramCodec {
    key: FleetKey,
}

impl DatagramCodec {
    /// A codec under the fleet's key.
    #[must_use]
    pub const fn open(key: FleetKey) -> Self {
        Self { key }
    }

    /// Encodes `message` behind its code.
    ///
    /// # Errors
    /// `DatagramError::Length` when it is too large.
    pub fn encode(&self, message: &GossipMessage) -> Result<Vec<u8>, DatagramError> {
        let payload = wire::encode(message)?;
        let mut datagram = self.key.mac(&[CONTEXT, &payload]).to_vec();
        datagram.extend_from_slice(&payload);
        match datagram.len() {
            0..=MAX_DATAGRAM_BYTES => Ok(datagram),
            bytes => Err(DatagramError::Length(bytes)),
        }
    }

    /// Checks and decodes a datagram.
    ///
    /// # Errors
    /// `DatagramError` says why it must be dropped.
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
