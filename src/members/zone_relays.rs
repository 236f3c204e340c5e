//! Ranks the live daemons of each availability zone; the first of them are its relays.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::hash::{FastMap, rendezvous_score};
use crate::ids::{DaemonId, ZoneId};
use crate::time::{Deadline, MonoTime};
use crate::wire::{MemberRecord, MemberState};

/// Salt of the ranking, unlike those of other rankings of daemons.
const RELAY_SALT: u64 = 0x7265_6c61_7973_6f66;

type RankedDaemon = (Reverse<u64>, DaemonId);

/// The relays of each zone: its first `count` daemons by a hash of their names.
///
/// Suspect daemons are passed over, so that the next by rank takes over before the death is certain.
/// Daemons whose views differ may take different ones for relays, which costs some messages only.
#[derive(Debug)]
pub struct ZoneRelays {
    count: usize,
    own: DaemonId,
    zone: ZoneId,
    starts_at: Deadline,
    ranks: BTreeMap<ZoneId, BTreeSet<RankedDaemon>>,
    places: FastMap<DaemonId, (ZoneId, u64)>,
}

impl ZoneRelays {
    /// Creates the ranking of the daemon of the record `own`, which acts as a relay from `starts_at`
    /// on. With a `count` of 0 there are no relays.
    #[must_use]
    pub fn open(own: &MemberRecord, count: usize, starts_at: Deadline) -> Self {
        let mut relays = Self {
            count,
            own: own.daemon.clone(),
            zone: own.zone.clone(),
            starts_at,
            ranks: BTreeMap::new(),
            places: FastMap::default(),
        };
        relays.update(own);
        relays
    }

    /// Whether membership passes between zones through relays.
    #[must_use]
    pub const fn is_on(&self) -> bool {
        self.count > 0
    }

    /// Zone of this daemon.
    #[must_use]
    pub const fn own_zone(&self) -> &ZoneId {
        &self.zone
    }

    /// Number of ranked daemons of the own zone.
    #[must_use]
    pub fn own_zone_size(&self) -> usize {
        self.ranks.get(&self.zone).map_or(0, BTreeSet::len)
    }

    /// Takes the newest record of a daemon into account.
    pub fn update(&mut self, record: &MemberRecord) {
        if !self.is_on() {
            return;
        }
        let is_ranked = record.state == MemberState::Alive;
        let place = self.places.get(&record.daemon);
        if place.map(|(zone, _)| zone) == is_ranked.then_some(&record.zone) {
            return;
        }
        if let Some((zone, score)) = self.places.remove(&record.daemon)
            && let Some(ranked) = self.ranks.get_mut(&zone)
        {
            ranked.remove(&(Reverse(score), record.daemon.clone()));
            if ranked.is_empty() {
                self.ranks.remove(&zone);
            }
        }
        if is_ranked {
            let score = rendezvous_score(record.daemon.as_str(), RELAY_SALT);
            let place = (record.zone.clone(), score);
            self.places.insert(record.daemon.clone(), place);
            let ranked = self.ranks.entry(record.zone.clone()).or_default();
            ranked.insert((Reverse(score), record.daemon.clone()));
        }
    }

    /// The relays of `zone` in the order of their ranks.
    pub fn relays_of(&self, zone: &ZoneId) -> impl Iterator<Item = &DaemonId> {
        self.first_of(zone, self.count)
    }

    /// The other relays of the own zone.
    pub fn partners(&self) -> impl Iterator<Item = &DaemonId> {
        let relays = self.relays_of(&self.zone);
        relays.filter(|daemon| **daemon != self.own)
    }

    /// Whether `daemon` is a relay of its zone.
    #[must_use]
    pub fn is_relay_of_zone(&self, daemon: &DaemonId) -> bool {
        let place = self.places.get(daemon);
        place.is_some_and(|(zone, _)| self.relays_of(zone).any(|relay| relay == daemon))
    }

    /// Rank of this daemon if it acts as a relay at `now`.
    #[must_use]
    pub fn own_rank(&self, now: MonoTime) -> Option<usize> {
        if !self.starts_at.has_passed(now) {
            return None;
        }
        self.relays_of(&self.zone)
            .position(|daemon| *daemon == self.own)
    }

    /// Whether this daemon acts as a relay at `now`.
    #[must_use]
    pub fn is_relay(&self, now: MonoTime) -> bool {
        self.own_rank(now).is_some()
    }

    /// Whether this daemon is a relay or would be the next one, as many as there are relays.
    #[must_use]
    pub fn watches_relays(&self) -> bool {
        let mut first = self.first_of(&self.zone, 2 * self.count);
        first.any(|daemon| *daemon == self.own)
    }

    /// The other zones that have a ranked daemon.
    pub fn other_zones(&self) -> impl Iterator<Item = &ZoneId> {
        self.ranks.keys().filter(|zone| **zone != self.zone)
    }

    fn first_of(&self, zone: &ZoneId, count: usize) -> impl Iterator<Item = &DaemonId> {
        let ranked = self.ranks.get(zone).into_iter().flatten();
        ranked.take(count).map(|(_, daemon)| daemon)
    }
}
