//! The reply to a call.

use bincode::{Decode, Encode};

use crate::wire::{ConfigReply, InstancesReply, LimitsReply};

/// A reply by part.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum PeerReply {
    /// About the configuration.
    Config(ConfigReply),
    /// About instances and members.
    Instances(InstancesReply),
    /// About rate limits.
    Limits(LimitsReply),
}
