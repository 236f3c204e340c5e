//! Calls between daemons: one request message and one reply.

use bincode::{Decode, Encode};

use crate::wire::{ConfigCall, InstancesCall, LimitsCall};

/// A call, grouped by the part of the daemon that handles it.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum PeerCall {
    /// About the configuration.
    Config(ConfigCall),
    /// About instances and members.
    Instances(InstancesCall),
    /// About rate limits.
    Limits(LimitsCall),
}
