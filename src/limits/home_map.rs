//! Assignment of token pools to daemons by rendezvous hashing.

use std::net::SocketAddr;

use crate::hash::{FastMap, mixed_score, name_hash};
use crate::ids::{DaemonId, ZoneId};
use crate::limits::{MAX_SHARES, PoolKey, ShardId};

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

/// Daemons that may lease shares, for each share. More than one, so that a lost holder is replaced
/// by a daemon that watches its lease already.
const LENDERS_PER_SHARE: usize = 2;
/// Fewest daemons that may lease shares.
const MIN_LENDERS: usize = 4;
/// Salt of the ranking of lenders. Pools use the lowest salts.
const LENDER_SALT: u64 = u64::MAX;

/// The home and the backup of each token pool, and the daemons that may lease shares, by rendezvous
/// hashing over the live daemons.
///
/// The map is only a hint. Daemons whose maps differ still never exceed a rate, since a share is
/// lent to one borrower at a time.
#[derive(Debug, Clone, Default)]
pub struct HomeMap {
    members: Vec<HomeCandidate>,
    /// Zones of `members`, in the same order. Empty if zones are not used.
    zones: Vec<Option<ZoneId>>,
    homes: Vec<PoolHomes>,
    /// Indices of the daemons that may lease shares, the highest-ranked first.
    lenders: Vec<u32>,
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
    pub fn new(members: Vec<HomeCandidate>) -> Self {
        Self::with_zones(members, &FastMap::default())
    }

    /// Creates the map for the live daemons `members` in the availability zones `zones`. The two homes
    /// of a shard are in different zones if there are several.
    #[must_use]
    pub fn with_zones(mut members: Vec<HomeCandidate>, zones: &FastMap<DaemonId, ZoneId>) -> Self {
        members.sort();
        members.dedup();
        let names = members.iter().map(|one| one.daemon.as_str());
        let hashes: Vec<u64> = names.map(name_hash).collect();
        let zones: Vec<Option<ZoneId>> = match zones.is_empty() {
            true => Vec::new(),
            false => {
                let zone_of = |one: &HomeCandidate| zones.get(&one.daemon).cloned();
                members.iter().map(zone_of).collect()
            }
        };
        let homes = PoolKey::all()
            .scan(None, |first, key| {
                let other = (key.half == 1).then_some(*first).flatten();
                let zone = other.and_then(|other| zone_at(&zones, other));
                let is_far = |index: u32| zone.is_none() || zone_at(&zones, index) != zone;
                let best = |excluded| {
                    let far = highest_scoring(&hashes, key, excluded, is_far);
                    far.or_else(|| highest_scoring(&hashes, key, excluded, |_| true))
                };
                let home = best([other, None]).or(other);
                let backup = best([other, home]);
                *first = home;
                Some(PoolHomes { home, backup })
            })
            .collect();
        let lenders = ranked_lenders(&hashes);
        Self {
            members,
            zones,
            homes,
            lenders,
        }
    }

    /// The daemons that may lease some of `total` shares, the highest-ranked first. Their number
    /// does not grow with the fleet.
    pub fn lenders(&self, total: u32) -> impl Iterator<Item = &HomeCandidate> {
        let ranked = self.lenders.iter().take(lender_count(total));
        ranked.filter_map(|index| self.members.get(*index as usize))
    }

    /// Whether `daemon` may lease some of `total` shares.
    #[must_use]
    pub fn is_lender(&self, daemon: &DaemonId, total: u32) -> bool {
        self.lenders(total).any(|lender| lender.daemon == *daemon)
    }

    /// The live daemon with this id.
    #[must_use]
    pub fn member(&self, daemon: &DaemonId) -> Option<&HomeCandidate> {
        self.members.get(self.index_of(daemon)? as usize)
    }

    fn index_of(&self, daemon: &DaemonId) -> Option<u32> {
        let members = &self.members;
        let found = members.binary_search_by(|member| member.daemon.cmp(daemon));
        found.ok().and_then(|index| u32::try_from(index).ok())
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

    /// The half of `shard` whose home is in the same availability zone as `daemon`, if there is one
    /// and zones are used.
    #[must_use]
    pub fn near_half(&self, shard: ShardId, daemon: &DaemonId) -> Option<u8> {
        let own = self.index_of(daemon)?;
        let zone = zone_at(&self.zones, own)?;
        let is_near = |half: &u8| {
            let home = self.pool_homes(PoolKey { shard, half: *half });
            let home = home.and_then(|homes| homes.home);
            home.and_then(|home| zone_at(&self.zones, home)) == Some(zone)
        };
        [0, 1].into_iter().find(is_near)
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

fn zone_at(zones: &[Option<ZoneId>], index: u32) -> Option<&ZoneId> {
    zones.get(index as usize)?.as_ref()
}

/// Index of the daemon with the highest score for `key` among those that are `allowed` and not
/// `excluded`.
fn highest_scoring(
    hashes: &[u64],
    key: PoolKey,
    excluded: [Option<u32>; 2],
    allowed: impl Fn(u32) -> bool,
) -> Option<u32> {
    let salt = u64::from(key.shard.0) << 1 | u64::from(key.half);
    (0u32..)
        .zip(hashes)
        .filter(|(index, _)| !excluded.contains(&Some(*index)) && allowed(*index))
        .max_by_key(|(_, hash)| mixed_score(**hash, salt + 1))
        .map(|(index, _)| index)
}

fn lender_count(total: u32) -> usize {
    (total as usize * LENDERS_PER_SHARE).max(MIN_LENDERS)
}

fn ranked_lenders(hashes: &[u64]) -> Vec<u32> {
    let score = |index: &u32| mixed_score(hashes[*index as usize], LENDER_SALT);
    let mut ranked: Vec<u32> = (0u32..).take(hashes.len()).collect();
    ranked.sort_unstable_by_key(|index| std::cmp::Reverse(score(index)));
    ranked.truncate(lender_count(MAX_SHARES));
    ranked
}
