//! Decides which daemons watch the configuration's store, and whom the others ask.

use std::net::SocketAddr;

use crate::hash::rendezvous_score;
use crate::ids::{DaemonId, ZoneId};
use crate::members::LiveMember;

/// Daemons that ask one daemon at most. It bounds the work of each, whatever the size of the fleet.
const FANOUT: usize = 8;
/// Fewest roots of the whole fleet, so that one that is cut off does not stop all.
const MIN_ROOTS: usize = 2;
/// Other daemons that are asked when the parent does not answer or knows nothing new.
pub const MAX_ALTERNATES: u32 = 6;
/// Salt of the ranking, unlike those of other rankings of daemons.
const RANK_SALT: u64 = 0x7761_7463_6865_7273;

/// The place of one daemon in its zone's tree.
///
/// The daemons of a zone are ranked by a hash. The first watch the store, and each of the others asks
/// one of a higher rank. It is only a hint: daemons whose views differ ask each other, and the age
/// of each confirmation tells what it is worth.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WatchTree {
    is_root: bool,
    parent: Option<SocketAddr>,
    /// The parent of the parent.
    grandparent: Option<SocketAddr>,
    alternates: Vec<SocketAddr>,
}

impl WatchTree {
    /// Computes the place of the daemon `own` in `zone` among the live `members`, which may include
    /// it.
    #[must_use]
    pub fn new(
        own: &DaemonId,
        zone: &ZoneId,
        members: &[LiveMember],
        rng: &mut fastrand::Rng,
    ) -> Self {
        let rank = |daemon: &DaemonId| rendezvous_score(daemon.as_str(), RANK_SALT);
        let is_other = |member: &&LiveMember| member.daemon != *own;
        let zone_members = members.iter().filter(|member| member.zone == *zone);
        let mut ranked: Vec<_> = zone_members
            .filter(is_other)
            .map(|member| (rank(&member.daemon), Some(member.address)))
            .collect();
        ranked.push((rank(own), None));
        ranked.sort_unstable_by(|left, right| right.cmp(left));
        let position = ranked.iter().position(|(_, address)| address.is_none());
        let position = position.unwrap_or(0);
        let roots = match has_other_zone(zone, members) {
            true => 1,
            false => MIN_ROOTS,
        };
        let above = |position: usize| Some(position.checked_sub(roots)? / FANOUT);
        let parent_position = above(position);
        let address_at = |position: usize| ranked[position].1;
        let parent = parent_position.and_then(address_at);
        let grandparent = parent_position.and_then(above).and_then(address_at);
        let others = members.iter().filter(is_other);
        let others = others.filter(|member| Some(member.address) != parent);
        let mut alternates: Vec<_> = others.collect();
        rng.shuffle(&mut alternates);
        // The daemons of the own zone depend on the same root and lose the store with it. For a parent
        // that is silent, the grandparent stands in first, so that the document stays in the zone.
        alternates.sort_by_key(|member| member.zone == *zone);
        alternates.truncate(MAX_ALTERNATES as usize);
        let alternates = alternates
            .into_iter()
            .map(|member| member.address)
            .collect();
        Self {
            is_root: position < roots,
            parent,
            grandparent,
            alternates,
        }
    }

    /// Whether the daemon watches the store.
    #[must_use]
    pub const fn is_root(&self) -> bool {
        self.is_root
    }

    /// The daemon to ask; none for a root.
    #[must_use]
    pub const fn parent(&self) -> Option<SocketAddr> {
        self.parent
    }

    /// The daemon of the own zone to ask while the parent is silent; none if the parent is a root, on
    /// which all daemons of the zone depend.
    #[must_use]
    pub const fn grandparent(&self) -> Option<SocketAddr> {
        self.grandparent
    }

    /// The daemon to ask at `position`, which counts on from the parent and wraps around.
    #[must_use]
    pub fn peer_at(&self, position: u32) -> Option<SocketAddr> {
        let choices = self.parent.iter().chain(&self.alternates);
        let count = choices.clone().count().max(1);
        choices.copied().nth(position as usize % count)
    }
}

fn has_other_zone(zone: &ZoneId, members: &[LiveMember]) -> bool {
    members.iter().any(|member| member.zone != *zone)
}
