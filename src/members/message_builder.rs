//! Builder of gossip messages within the size limit of a datagram.

use crate::members::MAX_DATAGRAM_BYTES;
use crate::peers::MAC_BYTES;
use crate::wire::{self, GossipMessage, InstanceRecord, MemberRecord};

// The encoded lengths of both lists may grow from one byte to three, by two bytes each.
const LIST_LENGTH_BYTES: usize = 4;

/// Adds records to a message as long as its datagram stays within `MAX_DATAGRAM_BYTES`.
#[derive(Debug)]
pub struct MessageBuilder {
    message: GossipMessage,
    remaining_bytes: usize,
}

impl MessageBuilder {
    /// Creates a builder from a message without records.
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

    /// Adds a member record; returns false, and adds nothing, when it does not fit.
    pub fn add_member(&mut self, record: &MemberRecord) -> bool {
        let fits = self.reserve(wire::encode(record).map(|bytes| bytes.len()));
        if fits {
            self.message.members.push(record.clone());
        }
        fits
    }

    /// Adds an instance record; returns false, and adds nothing, when it does not fit.
    pub fn add_instance(&mut self, record: &InstanceRecord) -> bool {
        let fits = self.reserve(wire::encode(record).map(|bytes| bytes.len()));
        if fits {
            self.message.instances.push(record.clone());
        }
        fits
    }

    /// Whether the message contains no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.message.members.is_empty() && self.message.instances.is_empty()
    }

    /// Returns the message.
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
