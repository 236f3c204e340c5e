//! Datagrams between daemons.

use std::net::SocketAddr;

use bincode::{Decode, Encode};

use crate::ids::{DaemonId, Revision};
use crate::wire::{InstanceRecord, MemberRecord};

/// One datagram of the membership protocol.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct GossipMessage {
    /// The daemon that sent it.
    pub sender: DaemonId,
    /// The sender's newest configuration revision.
    pub revision: Revision,
    /// What it asks or answers.
    pub body: GossipBody,
    /// Digest of a part of the sender's view, to find what one side lacks.
    pub digest: Option<BucketDigest>,
    /// Changes of members.
    pub members: Vec<MemberRecord>,
    /// Changes of instances.
    pub instances: Vec<InstanceRecord>,
}

/// The purpose of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum GossipBody {
    /// Asks for an `Ack` of this number.
    Ping(u32),
    /// Answers a ping, directly or on behalf of its target.
    Ack(u32),
    /// Asks the receiver to ping `target` and to pass its answer on.
    PingRequest {
        /// The number that the answer must carry.
        probe: u32,
        /// The daemon to ping.
        target: SocketAddr,
    },
    /// Carries changes only.
    Push,
    /// Lists the owners in a bucket whose digests differ.
    Summary {
        /// The bucket.
        bucket: BucketDigest,
        /// Every live owner in it.
        owners: Vec<OwnerDigest>,
        /// Whether the sender wants a summary back.
        wants_reply: bool,
    },
}

/// Digest of the owners whose hashed names begin with the same bits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct BucketDigest {
    /// Number of leading bits that select the bucket, 0 for all owners.
    pub bits: u8,
    /// The leading bits.
    pub bucket: u32,
    /// Whether it covers the instances of the sender's region, or members alone.
    pub covers_instances: bool,
    /// Digest of every live owner in it.
    pub digest: u64,
}

/// Digest of one daemon and the instances beside it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct OwnerDigest {
    /// Hash of the daemon's name.
    pub owner: u32,
    /// Digest of its incarnation and of its instances' incarnations.
    pub digest: u32,
}
