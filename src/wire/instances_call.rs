//! Calls between daemons that synchronize members and instances.

use bincode::{Decode, Encode};

use crate::ids::{RegionId, ServiceId};
use crate::wire::{InstanceRecord, KnownRun, MemberRecord, OwnerDigest};

/// A request to another daemon about members and instances.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum InstancesCall {
    /// Requests the daemons of which the caller has no or another state, sorted by the hash of
    /// their names.
    Pull {
        /// Lowest name hash to return, for paging.
        from: u32,
        /// The caller's region. Instances are returned only if it is the receiver's region too.
        region: RegionId,
        /// Digests of the daemons that the caller knows.
        known: Vec<OwnerDigest>,
    },
    /// Requests the instances of a service in the receiver's region.
    Service(ServiceId),
}

/// The reply to an [`InstancesCall`].
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum InstancesReply {
    /// Reply to `Pull`: one page of daemons.
    Owners {
        /// The daemons whose digests differ, with their instances.
        owners: Vec<OwnerState>,
        /// Lowest name hash of the next page; `None` after the last page.
        next: Option<u32>,
        /// With the first page, what the receiver knows of requests that may end instances.
        runs: Vec<KnownRun>,
    },
    /// Reply to `Service`: the instances of the service.
    Service(Vec<InstanceRecord>),
}

/// A daemon and the instances on its VM.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct OwnerState {
    /// Record of the daemon.
    pub member: MemberRecord,
    /// Records of its instances.
    pub instances: Vec<InstanceRecord>,
}
