//! How much still fits into a datagram.

use crate::members::MAX_DATAGRAM_BYTES;
use crate::peers::MAC_BYTES;
use crate::wire::{self, GossipMessage, InstanceRecord, MemberRecord};

// The lengths of both lists may grow from one byte to three.
const LIST_LENGTH_BYTES: usize = 4;

/// A message under construction.
#[derive(Debug)]
pub struct MessageBuilder {
    message: GossipMessage,
    remaining_bytes: usize,
}

impl MessageBuilder {
    /// Starts from a message without changes.
    #[must_use]
    pub fn open(message: GossipMessage) -> Self {
        let used = wire::encode(&message).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len());
        let remaining_bytes =
            MAX_DATAGRAM_BYTES.saturating_sub(MAC_BYTES + LIST_LENGTH_BYTES + used);
        Self {
            message,
            remaining_bytes,
        }
    }

    /// Adds a member's record; whether it fits.
    pub fn add_member(&mut self, record: &MemberRecord) -> bool {
        let fits = self.reserve(wire::encode(record).map(|bytes| bytes.len()));
        if fits {
            self.message.members.push(record.clone());
        }
        fits
    }

    /// Adds an instance's record; whether it fits.
    pub fn add_instance(&mut self, record: &InstanceRecord) -> bool {
        let fits = self.reserve(wire::encode(record).map(|bytes| bytes.len()));
        if fits {
            self.message.instances.push(record.clone());
        }
        fits
    }

    /// Whether there is no change in it.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.message.members.is_empty() && self.message.instances.is_empty()
    }

    /// The finished message.
    #[must_use]
    pub fn build(self) -> GossipMessage {
        self.message
    }

    fn reserve(&mut self, bytes: Result<usize, wire::CodecError>) -> bool {
        match bytes {
            Ok(bytes) if bytes <= self.remaining_bytes => {
                self.remaining_bytes -= bytes;
                true
            }
            _ => false,
        }
    }
}
