//! How a client account's rate is cut into shares.

use crate::ids::AccountId;
use crate::limits::{SHARD_COUNT, ShardId, ShareSet};
use crate::units::Burst;

/// Where a client account belongs and which shares carry its rate.
///
/// An account whose burst is below the number of shares uses only as many shares
/// as it has tokens, so that each carries a whole one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountPlacement {
    /// Its shard.
    pub shard: ShardId,
    /// Its shares, each with an equal part of rate and burst.
    pub shares: ShareSet,
}

impl AccountPlacement {
    /// The placement of `account` with `burst` among `total` shares.
    #[must_use]
    pub fn new(account: &AccountId, burst: Burst, total: u32) -> Self {
        let hash = hash_of(account);
        let count = u64::from(burst.get().min(total));
        let total = u64::from(total.max(1));
        let start = (hash >> 16) % total;
        let shares = (start..start + count)
            .map(|share| u8::try_from(share % total).unwrap_or(0))
            .collect();
        Self {
            shard: ShardId((hash % u64::from(SHARD_COUNT)) as u16),
            shares,
        }
    }

    /// The shares of one half.
    #[must_use]
    pub const fn half(&self, half: u8) -> ShareSet {
        self.shares.intersection(ShareSet::half(half))
    }
}

/// Same on every daemon and in every version.
fn hash_of(account: &AccountId) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(account.as_str().as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(first)
}
