//! Follows the configuration: which revision is in force, and who is asked for the next.

use std::net::SocketAddr;
use std::time::Duration;

use crate::config::{
    Catalog, FollowerAction, FollowerRules, Freshness, FreshnessLease, PartnerSet, RecentChanges,
    SnapshotSource, catalog_pages,
};
use crate::ids::Revision;
use crate::time::{Deadline, MonoTime};
use crate::wire::{ConfigState, SnapshotPage, SnapshotPart};

/// Changes that one answer carries.
pub const MAX_ANSWERED_CHANGES: usize = 200;
/// Pause between two attempts at a first snapshot.
const LOAD_PAUSE: Duration = Duration::from_millis(500);

/// A pure state machine; the catalog only ever moves forward, one revision after the other or by a newer snapshot.
#[derive(Debug)]
pub struct ConfigFollower {
    pub(super) rules: FollowerRules,
    pub(super) catalog: Catalog,
    pub(super) is_loaded: bool,
    pub(super) recent: RecentChanges,
    pub(super) lease: FreshnessLease,
    pub(super) partners: PartnerSet,
    pub(super) next_ask: Deadline,
    pub(super) next_poll: Deadline,
    /// A pull or load is under way.
    pub(super) is_pulling: bool,
    pub(super) platform_answers: bool,
    pub(super) next_load: Deadline,
    pub(super) failed_loads: u32,
    pub(super) epoch: u64,
}

impl ConfigFollower {
    /// A follower that has nothing yet; `epoch` tells its snapshots from those of other runs.
    #[must_use]
    pub fn open(rules: FollowerRules, epoch: u64, now: MonoTime) -> Self {
        Self {
            rules,
            catalog: Catalog::default(),
            is_loaded: false,
            recent: RecentChanges::default(),
            lease: FreshnessLease::open(rules.lease),
            partners: PartnerSet::default(),
            next_ask: Deadline::at(now),
            next_poll: Deadline::at(now),
            is_pulling: false,
            platform_answers: true,
            next_load: Deadline::at(now),
            failed_loads: 0,
            epoch,
        }
    }

    /// The catalog in force.
    #[must_use]
    pub const fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Whether a first snapshot is in force.
    #[must_use]
    pub const fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// What is known of how new the catalog is.
    #[must_use]
    pub fn freshness(&self, now: MonoTime) -> Freshness {
        if !self.is_loaded {
            return Freshness::Stale;
        }
        match self.lease.freshness(now, self.catalog.revision()) {
            // Operators of a document write to its store, which others may reach all the while.
            Freshness::Outage if self.rules.is_document => Freshness::Stale,
            freshness => freshness,
        }
    }

    /// How long a confirmation is good for.
    #[must_use]
    pub const fn lease_duration(&self) -> Duration {
        self.rules.lease
    }

    /// Whether the configuration is one document in a store.
    #[must_use]
    pub const fn follows_document(&self) -> bool {
        self.rules.is_document
    }

    /// Takes note that what is in force was the newest at `time`.
    pub fn confirm(&mut self, time: MonoTime, now: MonoTime) {
        let revision = self.catalog.revision();
        if self.is_loaded && time <= now {
            self.lease.confirm(revision, time, revision);
        }
    }

    /// The evidence behind it.
    #[must_use]
    pub const fn lease(&self) -> &FreshnessLease {
        &self.lease
    }

    /// The newest changes.
    #[must_use]
    pub const fn recent(&self) -> &RecentChanges {
        &self.recent
    }

    /// Does what is due at `now`; `live` are the live peers.
    pub fn tick(
        &mut self,
        now: MonoTime,
        live: &[SocketAddr],
        rng: &mut fastrand::Rng,
    ) -> Vec<FollowerAction> {
        self.lease.set_members(count(live.len()) + 1);
        let mut actions = Vec::new();
        if self.next_ask.has_passed(now) || !self.is_loaded {
            self.partners.refresh(live, now, rng);
        }
        if !self.is_loaded && self.next_load.has_passed(now) {
            self.next_load = now.after(jitter(LOAD_PAUSE, rng));
            actions.extend(self.load());
        }
        if self.is_loaded && self.next_ask.has_passed(now) {
            self.next_ask = now.after(jitter(self.rules.query_interval, rng));
            actions.extend(self.ask_partner());
        }
        if self.is_loaded && self.next_poll.has_passed(now) {
            let has_peer_answer = self.lease.has_peer_answer(now, self.rules.lease / 2);
            let pause = self
                .rules
                .poll_interval(count(live.len()) + 1, has_peer_answer);
            // Up to twice the pause, so that a fleet started at once soon polls evenly.
            self.next_poll = now.after(pause.mul_f64(2.0 * rng.f64()));
            actions.push(FollowerAction::ReadHead);
        }
        actions
    }

    /// The answer to a peer that has `have`.
    #[must_use]
    pub fn state(&self, have: Revision, now: MonoTime) -> ConfigState {
        let age = self.lease.age(now);
        ConfigState {
            revision: self.catalog.revision(),
            age_micros: age.map(|age| u64::try_from(age.as_micros()).unwrap_or(u64::MAX)),
            members: self.lease.peak_members(),
            changes: self.recent.after(have, MAX_ANSWERED_CHANGES),
        }
    }

    /// One part of a snapshot; none while there is nothing to give.
    #[must_use]
    pub fn page(&self, part: SnapshotPart) -> Option<SnapshotPage> {
        if !self.is_loaded {
            return None;
        }
        let (items, next) = catalog_pages::read(&self.catalog, part);
        Some(SnapshotPage {
            revision: self.catalog.revision(),
            epoch: self.epoch,
            items,
            next,
        })
    }

    pub(super) fn ask_partner(&mut self) -> Option<FollowerAction> {
        let partner = self.partners.next_partner()?;
        Some(FollowerAction::QueryPeer(partner, self.catalog.revision()))
    }

    /// A peer has more: asks it again while it helps, else goes to the log, else takes its snapshot.
    pub(super) fn pull_from_peer(
        &mut self,
        from: SocketAddr,
        helps: bool,
    ) -> Option<FollowerAction> {
        if helps {
            return Some(FollowerAction::QueryPeer(from, self.catalog.revision()));
        }
        if self.platform_answers {
            return self.pull_from_platform();
        }
        self.start_load(SnapshotSource::Peer(from))
    }

    pub(super) fn pull_from_platform(&mut self) -> Option<FollowerAction> {
        let (have, newest) = (self.catalog.revision(), self.lease.newest());
        if self.is_pulling || !self.is_loaded || newest <= have {
            return None;
        }
        self.is_pulling = true;
        Some(FollowerAction::ReadChanges(have, newest))
    }

    /// Peers first: they are many, and there when the platform is not.
    pub(super) fn load(&mut self) -> Option<FollowerAction> {
        let partner = self.partners.next_partner();
        match partner {
            Some(partner) if self.failed_loads.is_multiple_of(2) => {
                self.start_load(SnapshotSource::Peer(partner))
            }
            _ => self.start_load(SnapshotSource::Platform),
        }
    }

    fn start_load(&mut self, source: SnapshotSource) -> Option<FollowerAction> {
        if self.is_pulling {
            return None;
        }
        self.is_pulling = true;
        Some(FollowerAction::ReadSnapshot(source))
    }
}

/// A pause between half and one and a half of `pause`.
fn jitter(pause: Duration, rng: &mut fastrand::Rng) -> Duration {
    pause.mul_f64(0.5 + rng.f64())
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX - 1)
}
