//! Counters of the bytes that a daemon exchanges with daemons of other zones, by purpose.

use std::cell::Cell;

use crate::hash::name_hash;
use crate::ids::ZoneId;
use crate::peers::TrafficPurpose;

/// Tag of a zone that is not known.
pub(crate) const UNKNOWN_ZONE: u32 = 0;

/// Bytes exchanged with other zones for one purpose since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneBytes {
    /// What the bytes were for.
    pub purpose: TrafficPurpose,
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

/// Counts payload bytes of TCP and UDP; headers of IP, TCP and UDP are not included.
///
/// Datagrams and the messages of streams are counted by purpose. What a connection carries beyond its
/// messages counts as `TrafficPurpose::Other`.
#[derive(Debug, Default)]
pub struct ZoneTraffic {
    zone: u32,
    sent: DirectionCounters,
    received: DirectionCounters,
}

#[derive(Debug, Default)]
struct DirectionCounters {
    by_purpose: [Cell<u64>; TrafficPurpose::ALL.len()],
    /// Bytes of messages on streams, over all purposes.
    messages: Cell<u64>,
    /// Bytes of the connections that carry the streams.
    sockets: Cell<u64>,
}

impl ZoneTraffic {
    /// Creates the counters of a daemon in `zone`. Those by `default` count nothing.
    #[must_use]
    pub fn open(zone: &ZoneId) -> Self {
        Self {
            zone: Self::tag(zone),
            ..Self::default()
        }
    }

    /// Returns the counted bytes of each purpose.
    #[must_use]
    pub fn bytes(&self) -> [ZoneBytes; TrafficPurpose::ALL.len()] {
        TrafficPurpose::ALL.map(|purpose| ZoneBytes {
            purpose,
            sent: self.sent.get(purpose),
            received: self.received.get(purpose),
        })
    }

    /// Counts a datagram sent to a daemon of `zone`.
    pub fn count_sent_datagram(&self, zone: &ZoneId, bytes: usize) {
        if self.is_other(Self::tag(zone)) {
            self.sent.add(TrafficPurpose::MembershipGossip, bytes);
        }
    }

    /// Counts a datagram received from a daemon of `zone`.
    pub fn count_received_datagram(&self, zone: &ZoneId, bytes: usize) {
        if self.is_other(Self::tag(zone)) {
            self.received.add(TrafficPurpose::MembershipGossip, bytes);
        }
    }

    /// Tag of the own zone, which each side of a connection tells the other.
    pub(crate) const fn own_tag(&self) -> u32 {
        self.zone
    }

    /// Whether `tag` is that of another zone.
    pub(crate) const fn is_other(&self, tag: u32) -> bool {
        self.zone != UNKNOWN_ZONE && tag != UNKNOWN_ZONE && self.zone != tag
    }

    pub(crate) fn add_sent_message(&self, purpose: TrafficPurpose, bytes: usize) {
        self.sent.add_message(purpose, bytes);
    }

    pub(crate) fn add_received_message(&self, purpose: TrafficPurpose, bytes: usize) {
        self.received.add_message(purpose, bytes);
    }

    pub(crate) fn add_socket_bytes(&self, sent: usize, received: usize) {
        add(&self.sent.sockets, sent);
        add(&self.received.sockets, received);
    }

    #[expect(clippy::cast_possible_truncation, reason = "the lower half is meant")]
    fn tag(zone: &ZoneId) -> u32 {
        (name_hash(zone.as_str()) as u32).max(UNKNOWN_ZONE + 1)
    }
}

impl DirectionCounters {
    fn add(&self, purpose: TrafficPurpose, bytes: usize) {
        add(&self.by_purpose[purpose.index()], bytes);
    }

    fn add_message(&self, purpose: TrafficPurpose, bytes: usize) {
        self.add(purpose, bytes);
        add(&self.messages, bytes);
    }

    /// Messages count once they are handed to the connection, a little before it writes them, so the
    /// remainder is kept from falling.
    fn get(&self, purpose: TrafficPurpose) -> u64 {
        let counter = &self.by_purpose[purpose.index()];
        if purpose == TrafficPurpose::Other {
            let rest = self.sockets.get().saturating_sub(self.messages.get());
            counter.set(counter.get().max(rest));
        }
        counter.get()
    }
}

fn add(counter: &Cell<u64>, bytes: usize) {
    counter.set(counter.get() + bytes as u64);
}
