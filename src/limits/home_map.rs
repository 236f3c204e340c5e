//! Which daemon is the home of each half of a shard.

use std::net::SocketAddr;

use crate::ids::DaemonId;
use crate::limits::PoolCell;

/// A live daemon that may be a home.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HomeCandidate {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its peer address.
    pub address: SocketAddr,
}

/// Homes by rendezvous hashing over the live daemons; only a hint, nothing safe hangs on it.
#[derive(Debug, Clone, Default)]
pub struct HomeMap {
    members: Vec<HomeCandidate>,
    homes: Vec<Option<u32>>,
}

impl HomeMap {
    /// The map for `members`.
    #[must_use]
    pub fn of(mut members: Vec<HomeCandidate>) -> Self {
        members.sort();
        members.dedup();
        let hashes: Vec<u64> = members.iter().map(|one| hash_of(&one.daemon)).collect();
        let homes = PoolCell::all()
            .scan(None, |first, cell| {
                let excluded = (cell.half == 1).then_some(*first).flatten();
                *first = choose(&hashes, cell, excluded);
                Some(*first)
            })
            .collect();
        Self { members, homes }
    }

    /// The live daemons, in order.
    #[must_use]
    pub fn members(&self) -> &[HomeCandidate] {
        &self.members
    }

    /// The home of `cell`, if any daemon is live.
    #[must_use]
    pub fn home(&self, cell: PoolCell) -> Option<&HomeCandidate> {
        let index = cell.shard.index()? * 2 + usize::from(cell.half);
        let member = (*self.homes.get(index)?)?;
        self.members.get(member as usize)
    }

    /// The cells whose home is `daemon`.
    pub fn cells_of(&self, daemon: &DaemonId) -> impl Iterator<Item = PoolCell> {
        PoolCell::all().filter(move |cell| {
            self.home(*cell)
                .is_some_and(|candidate| candidate.daemon == *daemon)
        })
    }
}

/// The highest scorer; the second half goes to another daemon than the first, if there is one.
fn choose(hashes: &[u64], cell: PoolCell, excluded: Option<u32>) -> Option<u32> {
    let salt = u64::from(cell.shard.0) << 1 | u64::from(cell.half);
    let best = (0u32..)
        .zip(hashes)
        .filter(|(index, _)| Some(*index) != excluded)
        .max_by_key(|(_, hash)| mix(**hash ^ mix(salt + 1)))
        .map(|(index, _)| index);
    best.or(excluded)
}

fn hash_of(daemon: &DaemonId) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(daemon.as_str().as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// The finaliser of SplitMix64.
const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
