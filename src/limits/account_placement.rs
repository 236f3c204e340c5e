//! Placement of a client account: its shard and the shares, or equal parts, that its rate is
//! divided into.

use crate::ids::AccountId;
use crate::limits::{SHARD_COUNT, ShardId, ShareSet};
use crate::units::Burst;

/// The shard of a client account and the shares that its rate is divided into.
///
/// An account whose burst is below the number of shares uses only as many shares as its burst has
/// tokens, so that each share carries at least one whole token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountPlacement {
    /// The shard that the account belongs to.
    pub shard: ShardId,
    /// The account's shares. Each carries an equal part of rate and burst.
    pub shares: ShareSet,
}

impl AccountPlacement {
    /// Places `account`, whose limit has the burst `burst`, among `total` shares.
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

    /// The account's shares in `half`, 0 or 1.
    #[must_use]
    pub const fn half(&self, half: u8) -> ShareSet {
        self.shares.intersection(ShareSet::half(half))
    }
}

/// A hash that is the same on every daemon and in every version: all must agree on the placement.
fn hash_of(account: &AccountId) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(account.as_str().as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(first)
}
