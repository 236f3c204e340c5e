//! Which daemon is the home of each half of a shard.

use std::net::SocketAddr;

use crate::ids::DaemonId;
use crate::limits::PoolKey;

/// A live daemon that may be a home.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HomeCandidate {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its peer address.
    pub address: SocketAddr,
}

/// What a daemon is to a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HomeRole {
    /// It is the key's home.
    Home,
    /// It stands in while the home does not answer, and becomes the home when that one is lost.
    Backup,
}

/// Homes by rendezvous hashing over the live daemons; only a hint, nothing safe hangs on it.
#[derive(Debug, Clone, Default)]
pub struct HomeMap {
    members: Vec<HomeCandidate>,
    homes: Vec<PoolHomes>,
}

/// Indices of the members that serve a key.
#[derive(Debug, Clone, Copy)]
struct PoolHomes {
    home: Option<u32>,
    backup: Option<u32>,
}

impl HomeMap {
    /// The map for `members`.
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

    /// The live daemons, in order.
    #[must_use]
    pub fn members(&self) -> &[HomeCandidate] {
        &self.members
    }

    /// The home of `key`, if any daemon is live.
    #[must_use]
    pub fn home(&self, key: PoolKey) -> Option<&HomeCandidate> {
        let home = self.pool_homes(key)?.home?;
        self.members.get(home as usize)
    }

    /// The daemon that stands in for the home of `key`, if there are enough.
    #[must_use]
    pub fn backup(&self, key: PoolKey) -> Option<&HomeCandidate> {
        let backup = self.pool_homes(key)?.backup?;
        self.members.get(backup as usize)
    }

    /// What `daemon` is to `key`.
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

/// The highest scorer that is not `excluded`.
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

/// The finaliser of SplitMix64.
const fn split_mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
