//! A call with one reply.

use bincode::{Decode, Encode};

use crate::wire::{ConfigCall, InstancesCall, LimitsCall};

/// A call by part.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum PeerCall {
    /// About the configuration.
    Config(ConfigCall),
    /// About instances and members.
    Instances(InstancesCall),
    /// About rate limits.
    Limits(LimitsCall),
}
