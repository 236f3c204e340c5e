//! Inputs of the configuration follower: announcements, answers and reads.

use std::net::SocketAddr;

use crate::config::{Catalog, ConfigChange, ConfigFollower, FollowerAction};
use crate::ids::Revision;
use crate::platform::PlatformError;
use crate::time::MonoTime;
use crate::wire::ConfigState;

/// Maximum number of changes in one push.
const MAX_PUSHED_CHANGES: usize = 8;

impl ConfigFollower {
    /// Handles the announcement that the peer at `from` is at `revision`; queries the peer when the
    /// revision is new to this daemon.
    pub fn revision_announced(
        &mut self,
        revision: Revision,
        from: SocketAddr,
    ) -> Vec<FollowerAction> {
        let is_new = revision > self.lease.newest();
        self.lease.observe_revision(revision);
        if !is_new || !self.is_loaded {
            return Vec::new();
        }
        vec![FollowerAction::QueryPeer(from, self.catalog.revision())]
    }

    /// Handles changes that a peer pushed; queries a partner when changes in between are missing.
    pub fn changes_pushed(&mut self, changes: &[ConfigChange]) -> Vec<FollowerAction> {
        let newest = changes.iter().map(|change| change.revision).max();
        self.lease.observe_revision(newest.unwrap_or_default());
        let mut actions = self.apply(changes);
        if self.is_loaded && self.lease.newest() > self.catalog.revision() {
            actions.extend(self.query_partner());
        }
        actions
    }

    /// Handles the result of a head read that was sent at `sent`.
    pub fn head_read(
        &mut self,
        sent: MonoTime,
        head: Result<Revision, PlatformError>,
    ) -> Vec<FollowerAction> {
        self.is_platform_up = head.is_ok();
        let Ok(head) = head else { return Vec::new() };
        // A head below a known revision is a stale read and confirms nothing.
        if head >= self.lease.newest() {
            self.lease.confirm(head, sent, self.catalog.revision());
        }
        self.pull_from_platform().into_iter().collect()
    }

    /// Handles the answer of the peer at `from` to a query sent at `sent`; none when it failed.
    pub fn peer_answered(
        &mut self,
        sent: MonoTime,
        from: SocketAddr,
        answer: Option<ConfigState>,
    ) -> Vec<FollowerAction> {
        let Some(state) = answer else {
            self.partners.remove(from);
            return Vec::new();
        };
        self.lease.record_peer_answer(sent, state.members);
        self.lease.observe_revision(state.revision);
        let before = self.catalog.revision();
        let mut actions = self.apply(&state.changes);
        if let Some(time) = state.age_micros.and_then(|age| confirmed_at(sent, age)) {
            self.lease
                .confirm(state.revision, time, self.catalog.revision());
        }
        if state.revision > self.catalog.revision() {
            let has_progress = self.catalog.revision() > before;
            actions.extend(self.pull_from_peer(from, has_progress));
        }
        actions
    }

    /// Handles changes read from the platform's change log.
    pub fn changes_read(
        &mut self,
        changes: Result<Vec<ConfigChange>, PlatformError>,
    ) -> Vec<FollowerAction> {
        self.is_pulling = false;
        self.is_platform_up = changes.is_ok();
        let Ok(changes) = changes else {
            return Vec::new();
        };
        let before = self.catalog.revision();
        let mut actions = self.apply(&changes);
        if self.catalog.revision() > before {
            actions.extend(self.pull_from_platform());
        } else if self.lease.newest() > before {
            // The log no longer holds the change that follows the catalog's revision.
            actions.extend(self.load_snapshot());
        }
        actions
    }

    /// Handles a snapshot, or none when the read failed. A snapshot that is not newer than the
    /// catalog is dropped.
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

    /// Handles a change that this daemon has committed at the platform.
    pub fn change_committed(&mut self, change: &ConfigChange) -> Vec<FollowerAction> {
        self.lease.observe_revision(change.revision);
        let mut actions = self.apply(std::slice::from_ref(change));
        actions.extend(self.pull_from_platform());
        actions
    }

    /// Applies the `changes` that follow in sequence and pushes the newest ones to all partners.
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
        let first = Revision(have.0.saturating_sub(MAX_PUSHED_CHANGES as u64)).max(before);
        let newest = self.recent.after(first, MAX_PUSHED_CHANGES);
        let partners = self.partners.addresses();
        partners
            .into_iter()
            .map(|partner| FollowerAction::PushChanges(partner, newest.clone()))
            .collect()
    }
}

/// The time `age_micros` before `sent`; none before the clock's origin.
fn confirmed_at(sent: MonoTime, age_micros: u64) -> Option<MonoTime> {
    sent.micros()
        .checked_sub(age_micros)
        .map(MonoTime::from_micros)
}
