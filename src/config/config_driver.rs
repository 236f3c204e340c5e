//! Carries out what a follower wants.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::config::{
    Catalog, ConfigChange, ConfigFollower, ConfigSources, ConfigStore, FollowerAction,
    SnapshotSource,
};
use crate::ids::Revision;
use crate::logs::part;
use crate::platform::PlatformError;
use crate::wire::{
    ConfigCall, ConfigReply, ConfigState, PeerCall, PeerReply, SnapshotPage, SnapshotPart,
};

const TICK: Duration = Duration::from_millis(200);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const PAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Shared by the handle and its tasks.
pub(super) struct ConfigDriver {
    /// What the daemon gave.
    pub(super) sources: ConfigSources,
    /// The platform's tables.
    pub(super) store: ConfigStore,
    /// The decisions.
    pub(super) follower: RefCell<ConfigFollower>,
}

impl ConfigDriver {
    /// Ticks for as long as the daemon runs.
    pub(super) async fn run(self: Rc<Self>) {
        let mut rng = fastrand::Rng::new();
        loop {
            let live = (self.sources.peer_addresses)();
            let now = self.sources.clock.now();
            let actions = self.follower.borrow_mut().tick(now, &live, &mut rng);
            self.start(actions);
            actix_rt::time::sleep(TICK).await;
        }
    }

    /// Starts a task for each of `actions`.
    pub(super) fn start(self: &Rc<Self>, actions: Vec<FollowerAction>) {
        for action in actions {
            actix_rt::spawn(Rc::clone(self).carry_out(action));
        }
    }

    /// Brings the catalog to `revision` for an operator's change.
    pub(super) async fn catch_up(self: &Rc<Self>, revision: Revision) -> Result<(), PlatformError> {
        if !self.follower.borrow().is_loaded() {
            let snapshot = self.store.scan().await?;
            let actions = self.follower.borrow_mut().snapshot_read(Some(snapshot));
            self.start(actions);
        }
        while self.revision() < revision {
            let before = self.revision();
            let changes = self.store.changes(before, revision).await?;
            let actions = self.follower.borrow_mut().changes_pushed(&changes);
            self.start(actions);
            if self.revision() == before {
                return Err(PlatformError::Unavailable("the log has a gap".to_owned()));
            }
        }
        Ok(())
    }

    /// Asks one peer for its state.
    pub(super) async fn ask(&self, peer: SocketAddr, have: Revision) -> Option<ConfigState> {
        match self
            .call(peer, ConfigCall::Follow(have), CALL_TIMEOUT)
            .await?
        {
            ConfigReply::State(state) => Some(state),
            ConfigReply::Pong | ConfigReply::Page(_) | ConfigReply::NotLoaded => None,
        }
    }

    /// Sends committed changes to one peer.
    pub(super) async fn push(&self, peer: SocketAddr, changes: Vec<ConfigChange>) {
        self.call(peer, ConfigCall::Push(changes), CALL_TIMEOUT)
            .await;
    }

    fn revision(&self) -> Revision {
        self.follower.borrow().catalog().revision()
    }

    async fn carry_out(self: Rc<Self>, action: FollowerAction) {
        let sent = self.sources.clock.now();
        let actions = match action {
            FollowerAction::ReadHead => {
                let head = self.store.head().await;
                self.follower.borrow_mut().head_read(sent, head)
            }
            FollowerAction::QueryPeer(peer, have) => {
                let answer = self.ask(peer, have).await;
                self.follower.borrow_mut().peer_answered(sent, peer, answer)
            }
            FollowerAction::ReadChanges(after, until) => {
                let changes = self.store.changes(after, until).await;
                self.follower.borrow_mut().changes_read(changes)
            }
            FollowerAction::ReadSnapshot(source) => {
                let snapshot = self.snapshot(source).await;
                self.follower.borrow_mut().snapshot_read(snapshot)
            }
            FollowerAction::PushChanges(peer, changes) => {
                self.push(peer, changes).await;
                Vec::new()
            }
        };
        self.start(actions);
    }

    async fn snapshot(&self, source: SnapshotSource) -> Option<Catalog> {
        match source {
            SnapshotSource::Peer(peer) => self.peer_snapshot(peer).await,
            SnapshotSource::Platform => match self.store.scan().await {
                Ok(catalog) => Some(catalog),
                Err(cause) => {
                    log::warn!(target: part::CONFIG, cause:%; "Cannot read the configuration.");
                    None
                }
            },
        }
    }

    /// Reads a peer's snapshot part by part, then the changes made since the first part.
    async fn peer_snapshot(&self, peer: SocketAddr) -> Option<Catalog> {
        let first = self.page(peer, SnapshotPart::Services).await?;
        let (epoch, mut newest) = (first.epoch, first.revision);
        let mut catalog = Catalog::from_resources(first.revision, None);
        let mut page = first;
        loop {
            if page.epoch != epoch {
                return None;
            }
            newest = newest.max(page.revision);
            page.items
                .into_iter()
                .for_each(|item| catalog.insert_item(item));
            match page.next {
                Some(next) => page = self.page(peer, next).await?,
                None => break,
            }
        }
        while catalog.revision() < newest {
            let state = self.ask(peer, catalog.revision()).await?;
            let first = state.changes.first()?;
            catalog.apply(first).ok()?;
            for change in state.changes.iter().skip(1) {
                catalog.apply(change).ok()?;
            }
        }
        log::info!(target: part::CONFIG, peer:%, revision:% = catalog.revision(); "Snapshot read from a peer.");
        Some(catalog)
    }

    async fn page(&self, peer: SocketAddr, snapshot_part: SnapshotPart) -> Option<SnapshotPage> {
        let call = ConfigCall::Snapshot(snapshot_part);
        match self.call(peer, call, PAGE_TIMEOUT).await? {
            ConfigReply::Page(page) => Some(page),
            ConfigReply::Pong | ConfigReply::State(_) | ConfigReply::NotLoaded => None,
        }
    }

    async fn call(
        &self,
        peer: SocketAddr,
        call: ConfigCall,
        timeout: Duration,
    ) -> Option<ConfigReply> {
        let calling = self
            .sources
            .peers
            .call(peer, PeerCall::Config(call), timeout);
        match calling.await {
            Ok(PeerReply::Config(reply)) => Some(reply),
            Ok(_) => None,
            Err(cause) => {
                log::debug!(target: part::CONFIG, peer:%, cause:%; "Peer did not answer.");
                None
            }
        }
    }
}
