//! Follows the configuration: which revision is in force, and who is asked for the next.

use std::net::SocketAddr;
use std::time::Duration;

use crate::config::{
    Catalog, ConfigChange, FollowerAction, FollowerRules, Freshness, FreshnessLease, PartnerSet,
    RecentChanges, SnapshotSource, catalog_pages,
};
use crate::ids::Revision;
use crate::platform::PlatformError;
use crate::time::{Deadline, MonoTime};
use crate::wire::{ConfigState, SnapshotPage, SnapshotPart};

/// Changes that one answer carries.
pub const MOST_ANSWERED: usize = 200;
/// Changes that one push carries.
const MOST_PUSHED: usize = 8;
/// Pause between two attempts at a first snapshot.
const LOAD_PAUSE: Duration = Duration::from_millis(500);

/// A pure state machine; the catalog only ever moves forward, one revision after the other or by a newer snapshot.
#[derive(Debug)]
pub struct ConfigFollower {
    rules: FollowerRules,
    catalog: Catalog,
    is_loaded: bool,
    recent: RecentChanges,
    lease: FreshnessLease,
    partners: PartnerSet,
    next_ask: Deadline,
    next_poll: Deadline,
    /// A pull or load is under way.
    is_pulling: bool,
    platform_answers: bool,
    next_load: Deadline,
    failed_loads: u32,
    epoch: u64,
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
        self.lease.freshness(now, self.catalog.revision())
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
            self.next_ask = now.after(jitter(self.rules.ask_pause, rng));
            actions.extend(self.ask_partner());
        }
        if self.is_loaded && self.next_poll.has_passed(now) {
            let hears_peers = self.lease.hears_peers(now, self.rules.lease / 2);
            let pause = self.rules.poll_pause(count(live.len()) + 1, hears_peers);
            // Up to twice the pause, so that a fleet started at once soon polls evenly.
            self.next_poll = now.after(pause.mul_f64(2.0 * rng.f64()));
            actions.push(FollowerAction::ReadHead);
        }
        actions
    }

    /// Takes the hint that the peer at `from` has `revision`.
    pub fn heard(&mut self, revision: Revision, from: SocketAddr) -> Vec<FollowerAction> {
        let is_news = revision > self.lease.newest();
        self.lease.hear_of(revision);
        if !is_news || !self.is_loaded {
            return Vec::new();
        }
        vec![FollowerAction::Ask(from, self.catalog.revision())]
    }

    /// Takes changes that a peer sent of its own accord.
    pub fn pushed(&mut self, changes: &[ConfigChange]) -> Vec<FollowerAction> {
        let newest = changes.iter().map(|change| change.revision).max();
        self.lease.hear_of(newest.unwrap_or_default());
        let mut actions = self.apply(changes);
        if self.is_loaded && self.lease.newest() > self.catalog.revision() {
            actions.extend(self.ask_partner());
        }
        actions
    }

    /// Takes the head that was asked for at `sent`.
    pub fn head_read(
        &mut self,
        sent: MonoTime,
        head: Result<Revision, PlatformError>,
    ) -> Vec<FollowerAction> {
        self.platform_answers = head.is_ok();
        let Ok(head) = head else { return Vec::new() };
        // A head below what was heard of is an answer from an old state, and confirms nothing.
        if head >= self.lease.newest() {
            self.lease.confirm(head, sent, self.catalog.revision());
        }
        self.pull_from_platform().into_iter().collect()
    }

    /// Takes the answer of the peer at `from` to a question sent at `sent`.
    pub fn peer_answered(
        &mut self,
        sent: MonoTime,
        from: SocketAddr,
        answer: Option<ConfigState>,
    ) -> Vec<FollowerAction> {
        let Some(state) = answer else {
            self.partners.drop_partner(from);
            return Vec::new();
        };
        self.lease.hear_peer(sent, state.members);
        self.lease.hear_of(state.revision);
        let before = self.catalog.revision();
        let mut actions = self.apply(&state.changes);
        if let Some(time) = state.age_micros.and_then(|age| earlier(sent, age)) {
            self.lease
                .confirm(state.revision, time, self.catalog.revision());
        }
        if state.revision > self.catalog.revision() {
            let moved = self.catalog.revision() > before;
            actions.extend(self.pull_from_peer(from, moved));
        }
        actions
    }

    /// Takes changes read from the platform's log.
    pub fn changes_read(
        &mut self,
        changes: Result<Vec<ConfigChange>, PlatformError>,
    ) -> Vec<FollowerAction> {
        self.is_pulling = false;
        self.platform_answers = changes.is_ok();
        let Ok(changes) = changes else {
            return Vec::new();
        };
        let before = self.catalog.revision();
        let mut actions = self.apply(&changes);
        if self.catalog.revision() > before {
            actions.extend(self.pull_from_platform());
        } else if self.lease.newest() > before {
            // The log no longer reaches back to what is in force here.
            actions.extend(self.load());
        }
        actions
    }

    /// Takes a snapshot; one that is not newer than what is in force is dropped.
    pub fn snapshot_read(&mut self, snapshot: Option<Catalog>) -> Vec<FollowerAction> {
        self.is_pulling = false;
        let Some(snapshot) = snapshot else {
            self.failed_loads += 1;
            return Vec::new();
        };
        self.failed_loads = 0;
        if self.is_loaded && snapshot.revision() <= self.catalog.revision() {
            return Vec::new();
        }
        self.catalog = snapshot;
        self.epoch = self.epoch.wrapping_add(1);
        self.is_loaded = true;
        self.recent.clear();
        self.lease.advance(self.catalog.revision());
        Vec::new()
    }

    /// Takes a change that this daemon itself committed.
    pub fn accepted(&mut self, change: &ConfigChange) -> Vec<FollowerAction> {
        self.lease.hear_of(change.revision);
        let mut actions = self.apply(std::slice::from_ref(change));
        actions.extend(self.pull_from_platform());
        actions
    }

    /// The answer to a peer that has `have`.
    #[must_use]
    pub fn state(&self, have: Revision, now: MonoTime) -> ConfigState {
        let age = self.lease.age(now);
        ConfigState {
            revision: self.catalog.revision(),
            age_micros: age.map(|age| u64::try_from(age.as_micros()).unwrap_or(u64::MAX)),
            members: self.lease.members_then(),
            changes: self.recent.after(have, MOST_ANSWERED),
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

    /// Applies those of `changes` that follow in order, and hands them on.
    fn apply(&mut self, changes: &[ConfigChange]) -> Vec<FollowerAction> {
        let before = self.catalog.revision();
        if !self.is_loaded {
            return Vec::new();
        }
        for change in changes {
            if self.catalog.apply(change).is_ok() {
                self.recent.push(change.clone());
            }
        }
        let have = self.catalog.revision();
        self.lease.advance(have);
        if have == before {
            return Vec::new();
        }
        let first = Revision(have.0.saturating_sub(MOST_PUSHED as u64)).max(before);
        let news = self.recent.after(first, MOST_PUSHED);
        let partners = self.partners.all();
        partners
            .into_iter()
            .map(|partner| FollowerAction::Push(partner, news.clone()))
            .collect()
    }

    fn ask_partner(&mut self) -> Option<FollowerAction> {
        let partner = self.partners.draw()?;
        Some(FollowerAction::Ask(partner, self.catalog.revision()))
    }

    /// A peer has more: asks it again while it helps, else goes to the log, else takes its snapshot.
    fn pull_from_peer(&mut self, from: SocketAddr, helps: bool) -> Option<FollowerAction> {
        if helps {
            return Some(FollowerAction::Ask(from, self.catalog.revision()));
        }
        if self.platform_answers {
            return self.pull_from_platform();
        }
        self.start_load(SnapshotSource::Peer(from))
    }

    fn pull_from_platform(&mut self) -> Option<FollowerAction> {
        let (have, newest) = (self.catalog.revision(), self.lease.newest());
        if self.is_pulling || !self.is_loaded || newest <= have {
            return None;
        }
        self.is_pulling = true;
        Some(FollowerAction::ReadChanges(have, newest))
    }

    /// Peers first: they are many, and there when the platform is not.
    fn load(&mut self) -> Option<FollowerAction> {
        let partner = self.partners.draw();
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

/// The time `age` microseconds before `sent`; none before the clock's origin.
fn earlier(sent: MonoTime, age_micros: u64) -> Option<MonoTime> {
    sent.micros()
        .checked_sub(age_micros)
        .map(MonoTime::from_micros)
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX - 1)
}
