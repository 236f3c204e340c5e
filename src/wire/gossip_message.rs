//! UDP datagrams of the gossip protocol (SWIM), which spreads members and instances.

use std::net::SocketAddr;

use bincode::{Decode, Encode};

use crate::ids::{DaemonId, Revision};
use crate::wire::{InstanceRecord, MemberRecord};

/// One datagram of the membership protocol.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct GossipMessage {
    /// The daemon that sent it.
    pub sender: DaemonId,
    /// The configuration revision of the sender.
    pub revision: Revision,
    /// Purpose of the datagram.
    pub body: GossipBody,
    /// Digest of a part of the sender's view, so that the receiver can detect differences. `None` if
    /// the datagram carries none.
    pub digest: Option<BucketDigest>,
    /// Recent changes of members.
    pub members: Vec<MemberRecord>,
    /// Recent changes of instances.
    pub instances: Vec<InstanceRecord>,
}

/// The purpose of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum GossipBody {
    /// Requests an `Ack` with this number.
    Ping(u32),
    /// Acknowledges the ping with this number, directly or relayed for an indirect probe.
    Ack(u32),
    /// Requests an indirect probe: the receiver pings `target` and relays its `Ack`.
    PingRequest {
        /// Number of the ping that the relayed `Ack` must have.
        probe: u32,
        /// Peer address of the daemon to ping.
        target: SocketAddr,
    },
    /// Carries changes and needs no acknowledgement.
    Push,
    /// Lists the digests of the daemons in a bucket whose digest differs between the two sides.
    Summary {
        /// The sender's digest of the bucket.
        bucket: BucketDigest,
        /// Every live daemon in the bucket.
        owners: Vec<OwnerDigest>,
        /// Whether the receiver must reply with its own summary.
        wants_reply: bool,
    },
    /// As `Ping`, to a daemon of the own zone while relays pass membership between zones.
    ZonePing {
        /// Number that the `ZoneAck` or `Ack` must have.
        probe: u32,
        /// Ages of the last contact of the zone's relays with the other zones.
        contacts: Vec<ZoneContact>,
    },
    /// As `Ack`, to a daemon of the own zone.
    ZoneAck {
        /// Number of the ping.
        probe: u32,
        /// Ages of the last contact of the zone's relays with the other zones.
        contacts: Vec<ZoneContact>,
    },
}

/// Age of the last contact of the sender's zone with another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct ZoneContact {
    /// Lowest bits of the hash of the zone's name.
    pub zone: u16,
    /// Age in tenths of a second.
    pub age: u16,
}

/// Digest of a bucket: the daemons whose hashed names begin with the same bits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct BucketDigest {
    /// Number of leading bits that select the bucket; 0 selects all daemons.
    pub bits: u8,
    /// Value of these leading bits.
    pub bucket: u32,
    /// Whether the digest covers the instances of the sender's region too, not members alone.
    pub covers_instances: bool,
    /// Digest of every live daemon in the bucket.
    pub digest: u64,
}

/// Digest of one daemon and the instances on its VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct OwnerDigest {
    /// Hash of the daemon's name.
    pub owner: u32,
    /// Digest of the incarnations of the daemon and its instances.
    pub digest: u32,
}
