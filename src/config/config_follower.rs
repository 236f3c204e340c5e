//! Replicates the configuration to one daemon from its peers and the platform.

use std::net::SocketAddr;
use std::time::Duration;

use crate::config::{
    Catalog, FollowerAction, FollowerRules, Freshness, FreshnessLease, PartnerSet, RecentChanges,
    SnapshotSource, catalog_pages,
};
use crate::ids::Revision;
use crate::time::{Deadline, MonoTime};
use crate::wire::{ConfigState, SnapshotCursor, SnapshotPage};

/// Maximum number of changes in one answer to a peer.
pub const MAX_ANSWERED_CHANGES: usize = 200;
/// Mean interval between two attempts to load the first snapshot.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);

/// Decides what to read and when, without I/O of its own; its driver carries out each
/// [`FollowerAction`].
///
/// The revision of the catalog never decreases: changes are applied in sequence, and only a newer
/// snapshot replaces the catalog.
#[derive(Debug)]
pub struct ConfigFollower {
    pub(super) rules: FollowerRules,
    pub(super) catalog: Catalog,
    pub(super) is_loaded: bool,
    pub(super) recent: RecentChanges,
    pub(super) lease: FreshnessLease,
    pub(super) partners: PartnerSet,
    pub(super) next_query: Deadline,
    pub(super) next_poll: Deadline,
    /// Whether a read of the change log or of a snapshot is in flight.
    pub(super) is_pulling: bool,
    /// Whether the last read from the platform succeeded.
    pub(super) is_platform_up: bool,
    pub(super) next_load: Deadline,
    /// Failed snapshot reads in a row.
    pub(super) failed_loads: u32,
    /// Changes with every snapshot taken over, so that a peer notices when the pages that it reads
    /// no longer belong together.
    pub(super) epoch: u64,
}

impl ConfigFollower {
    /// Creates a follower with an empty catalog. `epoch` should be random, so that snapshot pages
    /// of different processes are not mixed.
    #[must_use]
    pub fn open(rules: FollowerRules, epoch: u64, now: MonoTime) -> Self {
        Self {
            rules,
            catalog: Catalog::default(),
            is_loaded: false,
            recent: RecentChanges::default(),
            lease: FreshnessLease::open(rules.lease),
            partners: PartnerSet::default(),
            next_query: Deadline::at(now),
            next_poll: Deadline::at(now),
            is_pulling: false,
            is_platform_up: true,
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

    /// Whether a first snapshot has been loaded.
    #[must_use]
    pub const fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Freshness of the catalog at `now`; `Stale` before the first snapshot.
    #[must_use]
    pub fn freshness(&self, now: MonoTime) -> Freshness {
        if !self.is_loaded {
            return Freshness::Stale;
        }
        match self.lease.freshness(now, self.catalog.revision()) {
            // Operators write a document to its store directly, so it may change during an outage
            // that only this fleet sees.
            Freshness::Outage if self.rules.is_document => Freshness::Stale,
            freshness => freshness,
        }
    }

    /// How long a confirmation that the catalog is the newest stays valid.
    #[must_use]
    pub const fn lease_duration(&self) -> Duration {
        self.rules.lease
    }

    /// Whether the configuration is a single document in a store.
    #[must_use]
    pub const fn follows_document(&self) -> bool {
        self.rules.is_document
    }

    /// Records that the catalog was the newest at `time`. Ignored before the first snapshot, or when
    /// `time` is after `now`.
    pub fn confirm(&mut self, time: MonoTime, now: MonoTime) {
        let revision = self.catalog.revision();
        if self.is_loaded && time <= now {
            self.lease.confirm(revision, time, revision);
        }
    }

    /// Records that `revision`, which a peer has, was the newest at `time`.
    pub fn confirm_from_peer(&mut self, revision: Revision, time: MonoTime, now: MonoTime) {
        if self.is_loaded && time <= now {
            self.lease.confirm(revision, time, self.catalog.revision());
        }
    }

    /// The freshness lease of the catalog.
    #[must_use]
    pub const fn lease(&self) -> &FreshnessLease {
        &self.lease
    }

    /// The most recent changes that were applied.
    #[must_use]
    pub const fn recent_changes(&self) -> &RecentChanges {
        &self.recent
    }

    /// Returns the queries, polls and loads that are due at `now`; `live` are the addresses of the
    /// live peers.
    pub fn tick(
        &mut self,
        now: MonoTime,
        live: &[SocketAddr],
        rng: &mut fastrand::Rng,
    ) -> Vec<FollowerAction> {
        self.lease.set_members(count(live.len()) + 1);
        let mut actions = Vec::new();
        if self.next_query.has_passed(now) || !self.is_loaded {
            self.partners.refresh(live, now, rng);
        }
        if !self.is_loaded && self.next_load.has_passed(now) {
            self.next_load = now.after(jitter(LOAD_INTERVAL, rng));
            actions.extend(self.load_snapshot());
        }
        if self.is_loaded && self.next_query.has_passed(now) {
            self.next_query = now.after(jitter(self.rules.query_interval, rng));
            actions.extend(self.query_partner());
        }
        if self.is_loaded && self.next_poll.has_passed(now) {
            let has_peer_answer = self.lease.has_peer_answer(now, self.rules.lease / 2);
            let interval = self
                .rules
                .poll_interval(count(live.len()) + 1, has_peer_answer);
            // Uniform between zero and twice the interval, so that the polls of a fleet that starts
            // at the same moment soon spread out.
            self.next_poll = now.after(interval.mul_f64(2.0 * rng.f64()));
            actions.push(FollowerAction::ReadHead);
        }
        actions
    }

    /// The answer to a peer whose catalog is at revision `have`.
    #[must_use]
    pub fn state(&self, have: Revision, now: MonoTime) -> ConfigState {
        let age = self.lease.confirmation_age(now);
        ConfigState {
            revision: self.catalog.revision(),
            age_micros: age.map(|age| u64::try_from(age.as_micros()).unwrap_or(u64::MAX)),
            members: self.lease.peak_members(),
            changes: self.recent.after(have, MAX_ANSWERED_CHANGES),
        }
    }

    /// One page of a snapshot; none before the first snapshot is loaded.
    #[must_use]
    pub fn snapshot_page(&self, part: SnapshotCursor) -> Option<SnapshotPage> {
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

    pub(super) fn query_partner(&mut self) -> Option<FollowerAction> {
        let partner = self.partners.next_partner()?;
        Some(FollowerAction::QueryPeer(partner, self.catalog.revision()))
    }

    /// Fetches newer changes after the peer at `from` reported a higher revision. Queries the peer
    /// again while its answers bring changes, else reads the platform's change log. If the platform
    /// is down, loads the peer's snapshot.
    pub(super) fn pull_from_peer(
        &mut self,
        from: SocketAddr,
        has_progress: bool,
    ) -> Option<FollowerAction> {
        if has_progress {
            return Some(FollowerAction::QueryPeer(from, self.catalog.revision()));
        }
        if self.is_platform_up {
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

    /// Loads a snapshot, alternating between a peer and the platform after failures. A peer comes
    /// first, because peers share the load and also answer during an outage of the platform.
    pub(super) fn load_snapshot(&mut self) -> Option<FollowerAction> {
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

/// Scales `interval` by a random factor between 0.5 and 1.5.
fn jitter(interval: Duration, rng: &mut fastrand::Rng) -> Duration {
    interval.mul_f64(0.5 + rng.f64())
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX - 1)
}
