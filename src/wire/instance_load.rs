//! How busy an instance is.

use bincode::{Decode, Encode};
use serde::Serialize;

/// The load of one instance; rides on every answer of its egress.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode, Serialize)]
pub struct InstanceLoad {
    /// Slots in use.
    pub in_use: u32,
    /// Requests that wait.
    pub queued: u32,
}
