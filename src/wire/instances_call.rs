//! Calls between daemons about instances.

use bincode::{Decode, Encode};

/// What a daemon asks.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum InstancesCall {
    /// Asks for a sign of life.
    Ping,
}

/// What it is answered.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum InstancesReply {
    /// The sign of life.
    Pong,
}
