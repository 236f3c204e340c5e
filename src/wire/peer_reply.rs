//! Replies to calls between daemons.

use bincode::{Decode, Encode};

use crate::wire::{ConfigReply, InstancesReply, LimitsReply};

/// The reply to a `PeerCall` of the same variant.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum PeerReply {
    /// About the configuration.
    Config(ConfigReply),
    /// About instances and members.
    Instances(InstancesReply),
    /// About rate limits.
    Limits(LimitsReply),
}
