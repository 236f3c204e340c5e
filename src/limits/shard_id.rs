//! Identifier of a shard of the client accounts.

use std::fmt;

use bincode::{Decode, Encode};
use serde::Serialize;

/// Number of shards. Must be the same on every daemon.
pub const SHARD_COUNT: u16 = 64;

/// A shard of the client accounts, from 0 to `SHARD_COUNT - 1`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode, Serialize)]
#[serde(transparent)]
pub struct ShardId(pub u16);

impl ShardId {
    /// Iterates over all shards.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SHARD_COUNT).map(Self)
    }

    /// Index of the shard in a table of `SHARD_COUNT` entries, or `None` if a peer sent a number
    /// out of range.
    #[must_use]
    pub fn index(self) -> Option<usize> {
        (self.0 < SHARD_COUNT).then_some(usize::from(self.0))
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}
