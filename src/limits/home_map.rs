//! Assignment of token pools to daemons by rendezvous hashing.

use std::net::SocketAddr;

use crate::ids::DaemonId;
use crate::limits::PoolKey;

/// A live daemon that may become the home of token pools.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HomeCandidate {
    /// Id of the daemon.
    pub daemon: DaemonId,
    /// The daemon's peer address.
    pub address: SocketAddr,
}

/// The role of a daemon for a token pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HomeRole {
    /// The daemon serves the pool.
    Home,
    /// The daemon serves the pool while the home does not answer, and becomes the home if that one
    /// is lost.
    Backup,
}

/// The home and the backup of each token pool, by rendezvous hashing over the live daemons.
///
/// The map is only a hint. Daemons whose maps differ still never exceed a rate, since a share is
/// lent to one borrower at a time.
#[derive(Debug, Clone, Default)]
pub struct HomeMap {
    members: Vec<HomeCandidate>,
    homes: Vec<PoolHomes>,
}

/// Indices of a pool's daemons in `members`.
#[derive(Debug, Clone, Copy)]
struct PoolHomes {
    home: Option<u32>,
    backup: Option<u32>,
}

impl HomeMap {
    /// Creates the map for the live daemons `members`.
    #[must_use]
    pub fn new(mut members: Vec<HomeCandidate>) -> Self {
        members.sort();
        members.dedup();
        let hashes: Vec<u64> = members.iter().map(|one| hash_of(&one.daemon)).collect();
        let homes = PoolKey::all()
            .scan(None, |first, key| {
                let other = (key.half == 1).then_some(*first).flatten();
                let home = highest_scoring(&hashes, key, [other, None]).or(other);
                let backup = highest_scoring(&hashes, key, [other, home]);
                *first = home;
                Some(PoolHomes { home, backup })
            })
            .collect();
        Self { members, homes }
    }

    /// The live daemons, sorted.
    #[must_use]
    pub fn members(&self) -> &[HomeCandidate] {
        &self.members
    }

    /// The home of `key`, or `None` if no daemon is live.
    #[must_use]
    pub fn home(&self, key: PoolKey) -> Option<&HomeCandidate> {
        let home = self.pool_homes(key)?.home?;
        self.members.get(home as usize)
    }

    /// The backup of the home of `key`, or `None` if too few daemons are live.
    #[must_use]
    pub fn backup(&self, key: PoolKey) -> Option<&HomeCandidate> {
        let backup = self.pool_homes(key)?.backup?;
        self.members.get(backup as usize)
    }

    /// The role of `daemon` for `key`, or `None` if it has none.
    #[must_use]
    pub fn role(&self, key: PoolKey, daemon: &DaemonId) -> Option<HomeRole> {
        let is_it = |candidate: Option<&HomeCandidate>| {
            candidate.is_some_and(|candidate| candidate.daemon == *daemon)
        };
        match () {
            () if is_it(self.home(key)) => Some(HomeRole::Home),
            () if is_it(self.backup(key)) => Some(HomeRole::Backup),
            () => None,
        }
    }

    fn pool_homes(&self, key: PoolKey) -> Option<&PoolHomes> {
        let index = key.shard.index()? * 2 + usize::from(key.half);
        self.homes.get(index)
    }
}

/// Index of the daemon with the highest score for `key` that is not `excluded`.
fn highest_scoring(hashes: &[u64], key: PoolKey, excluded: [Option<u32>; 2]) -> Option<u32> {
    let salt = u64::from(key.shard.0) << 1 | u64::from(key.half);
    (0u32..)
        .zip(hashes)
        .filter(|(index, _)| !excluded.contains(&Some(*index)))
        .max_by_key(|(_, hash)| split_mix(**hash ^ split_mix(salt + 1)))
        .map(|(index, _)| index)
}

fn hash_of(daemon: &DaemonId) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(daemon.as_str().as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// The output function of the SplitMix64 generator.
const fn split_mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
