//! Current load of an instance.

use bincode::{Decode, Encode};
use serde::Serialize;

/// Load of one instance. Its egress attaches it to every reply.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode, Serialize)]
pub struct InstanceLoad {
    /// Number of slots in use.
    pub in_use: u32,
    /// Number of requests in the instance's queue.
    pub queued: u32,
    /// Time until the instance takes another request, in microseconds, while it is cold; 0 if it
    /// takes one now.
    pub cold_wait_micros: u32,
    /// How many of the 256 priorities, from the least urgent on, would not get a slot in time for the
    /// goal of their requests.
    pub closed_priorities: u16,
}
