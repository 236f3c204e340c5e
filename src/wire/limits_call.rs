//! Calls between daemons about limits.

use bincode::{Decode, Encode};

/// What a daemon asks.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum LimitsCall {
    /// Asks for a sign of life.
    Ping,
}

/// What it is answered.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum LimitsReply {
    /// The sign of life.
    Pong,
}
