//! How much still fits into a datagram.

use crate::members::MAX_DATAGRAM_BYTES;
use crate::peers::MAC_BYTES;
use crate::wire::{self, GossipMessage, InstanceRecord, MemberRecord};

// The lengths of both lists may grow from one byte to three.
const LIST_BYTES: usize = 4;

/// A message under construction.
#[derive(Debug)]
pub struct MessageSpace {
    message: GossipMessage,
    left: usize,
}

impl MessageSpace {
    /// Starts from a message without changes.
    #[must_use]
    pub fn open(message: GossipMessage) -> Self {
        let used = wire::encode(&message).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len());
        let left = MAX_DATAGRAM_BYTES.saturating_sub(MAC_BYTES + LIST_BYTES + used);
        Self { message, left }
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
    pub fn finish(self) -> GossipMessage {
        self.message
    }

    fn reserve(&mut self, bytes: Result<usize, wire::CodecError>) -> bool {
        match bytes {
            Ok(bytes) if bytes <= self.left => {
                self.left -= bytes;
                true
            }
            _ => false,
        }
    }
}
