//! Calls between daemons about members and instances.

use bincode::{Decode, Encode};

use crate::ids::{RegionId, ServiceId};
use crate::wire::{InstanceRecord, MemberRecord, OwnerDigest};

/// What a daemon asks.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum InstancesCall {
    /// Asks for the owners that the caller lacks, in the order of their hashes.
    Pull {
        /// Only owners whose hash is at least this.
        from: u32,
        /// The caller's region; only instances of it are of interest.
        region: RegionId,
        /// What the caller has of them.
        known: Vec<OwnerDigest>,
    },
    /// Asks for the instances of a service in the receiver's region.
    Service(ServiceId),
}

/// What it is answered.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum InstancesReply {
    /// One page of owners.
    Owners {
        /// The owners that differ.
        owners: Vec<OwnerState>,
        /// Where the next page starts, or none after the last one.
        next: Option<u32>,
    },
    /// The instances of the service.
    Service(Vec<InstanceRecord>),
}

/// A daemon and the records of the instances beside it.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct OwnerState {
    /// The daemon.
    pub member: MemberRecord,
    /// Its instances.
    pub instances: Vec<InstanceRecord>,
}
