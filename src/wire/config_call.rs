//! Calls between daemons about config.

use bincode::{Decode, Encode};

/// What a daemon asks.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum ConfigCall {
    /// Asks for a sign of life.
    Ping,
}

/// What it is answered.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum ConfigReply {
    /// The sign of life.
    Pong,
}
