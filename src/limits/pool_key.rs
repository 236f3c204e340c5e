//! Key of a token pool: a shard of the client accounts and one half of the shares of their rates.

use serde::Serialize;

use crate::limits::ShardId;

/// Identifies a token pool: a shard of the client accounts and one half of the shares. Each half of
/// a shard has a home of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct PoolKey {
    /// The shard of the client accounts.
    pub shard: ShardId,
    /// Half of the shares: 0 for those with even numbers, 1 for odd ones.
    pub half: u8,
}

impl PoolKey {
    /// Iterates over the keys of all pools, sorted by shard.
    pub fn all() -> impl Iterator<Item = Self> {
        ShardId::all().flat_map(|shard| [0, 1].map(|half| Self { shard, half }))
    }
}
