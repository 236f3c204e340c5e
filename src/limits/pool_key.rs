//! The key of a token pool: a shard and one half of its shares.

use serde::Serialize;

use crate::limits::ShardId;

/// Half of the shares of a shard; each half has a home of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct PoolKey {
    /// The shard.
    pub shard: ShardId,
    /// The half, 0 or 1.
    pub half: u8,
}

impl PoolKey {
    /// Every key.
    pub fn all() -> impl Iterator<Item = Self> {
        ShardId::all().flat_map(|shard| [0, 1].map(|half| Self { shard, half }))
    }
}
