//! What a follower does with what it hears.

use std::net::SocketAddr;

use crate::config::{Catalog, ConfigChange, ConfigFollower, FollowerAction};
use crate::ids::Revision;
use crate::platform::PlatformError;
use crate::time::MonoTime;
use crate::wire::ConfigState;

/// Changes that one push carries.
const MOST_PUSHED: usize = 8;

impl ConfigFollower {
    /// Takes the hint that the peer at `from` has `revision`.
    pub fn revision_announced(
        &mut self,
        revision: Revision,
        from: SocketAddr,
    ) -> Vec<FollowerAction> {
        let is_news = revision > self.lease.newest();
        self.lease.observe_revision(revision);
        if !is_news || !self.is_loaded {
            return Vec::new();
        }
        vec![FollowerAction::QueryPeer(from, self.catalog.revision())]
    }

    /// Takes changes that a peer sent of its own accord.
    pub fn changes_pushed(&mut self, changes: &[ConfigChange]) -> Vec<FollowerAction> {
        let newest = changes.iter().map(|change| change.revision).max();
        self.lease.observe_revision(newest.unwrap_or_default());
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
            self.partners.remove(from);
            return Vec::new();
        };
        self.lease.record_peer_answer(sent, state.members);
        self.lease.observe_revision(state.revision);
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
    pub fn change_committed(&mut self, change: &ConfigChange) -> Vec<FollowerAction> {
        self.lease.observe_revision(change.revision);
        let mut actions = self.apply(std::slice::from_ref(change));
        actions.extend(self.pull_from_platform());
        actions
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
        let partners = self.partners.addresses();
        partners
            .into_iter()
            .map(|partner| FollowerAction::PushChanges(partner, news.clone()))
            .collect()
    }
}

/// The time `age` microseconds before `sent`; none before the clock's origin.
fn earlier(sent: MonoTime, age_micros: u64) -> Option<MonoTime> {
    sent.micros()
        .checked_sub(age_micros)
        .map(MonoTime::from_micros)
}
