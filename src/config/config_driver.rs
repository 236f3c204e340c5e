//! Driver of a configuration follower: carries out its I/O.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::config::evacuation_follower::{EvacuationFollower, EvacuationInputs};
use crate::config::peer_silence::PeerSilence;
use crate::config::{
    Catalog, ConfigChange, ConfigFollower, ConfigSources, ConfigStore, ConfirmationSource,
    FollowerAction, SnapshotSource,
};
use crate::ids::Revision;
use crate::logs::log_target;
use crate::peers::PeerError;
use crate::platform::PlatformError;
use crate::time::{Deadline, MonoTime};
use crate::wire::{
    ConfigCall, ConfigReply, ConfigState, PeerCall, PeerReply, SnapshotCursor, SnapshotPage,
    WatchReply, WatchRequest,
};

/// Interval between two ticks of the follower.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a query or push to a peer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of reading one snapshot page from a peer.
const PAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// State shared by the configuration's handle and its tasks.
pub(super) struct ConfigDriver {
    /// The clock, connections and settings of the daemon.
    pub(super) sources: ConfigSources,
    /// The configuration's rows at the platform.
    pub(super) store: ConfigStore,
    /// State machine that holds the catalog and decides what to read.
    pub(super) follower: RefCell<ConfigFollower>,
    /// Parts of configuration documents that could not be used as they stood, since the start.
    pub(super) document_warnings: Cell<u64>,
    /// Whether this daemon watches the store of the document and its calls fail.
    pub(super) store_lost: Cell<bool>,
    /// Who confirmed the configuration last; none before the first confirmation.
    pub(super) source: Cell<Option<ConfirmationSource>>,
    /// The silent ones of the daemons that pass the document on.
    pub(super) silence: RefCell<PeerSilence>,
    /// The evacuated zones that the store of the document reports, and what was logged of them.
    pub(super) evacuations: EvacuationFollower,
    /// Notified when a document comes into force or is confirmed.
    pub(super) changed: Notify,
    /// Until when the daemon counts as starting.
    pub(super) starting_until: Deadline,
}

impl ConfigDriver {
    /// Ticks the follower for as long as the daemon runs.
    pub(super) async fn run(self: Rc<Self>) {
        let mut rng = fastrand::Rng::new();
        loop {
            let live = (self.sources.peer_addresses)();
            let now = self.sources.clock.now();
            let actions = self.follower.borrow_mut().tick(now, &live, &mut rng);
            self.spawn_actions(actions);
            self.log_evacuations(now);
            actix_rt::time::sleep(TICK_INTERVAL).await;
        }
    }

    /// Logs the evacuations among the resources.
    fn log_evacuations(&self, now: MonoTime) {
        let follower = self.follower.borrow();
        let age = follower.lease().confirmation_age(now);
        let catalog = follower.catalog();
        let inputs = EvacuationInputs {
            source: "resources",
            version: catalog.revision().0,
            era: 0,
            age,
        };
        self.evacuations
            .log_changes(catalog.evacuated_zones(), &inputs);
        self.evacuations.log_age(
            catalog.evacuated_zones(),
            &inputs,
            follower.lease_duration(),
            now,
        );
    }

    /// Spawns a task for each of `actions`.
    pub(super) fn spawn_actions(self: &Rc<Self>, actions: Vec<FollowerAction>) {
        for action in actions {
            actix_rt::spawn(Rc::clone(self).execute(action));
        }
    }

    /// Brings the catalog forward to at least `revision`, by the platform's change log. Without a
    /// first snapshot, reads that from the platform's table before.
    ///
    /// # Errors
    /// `PlatformError` when the platform cannot be read, or the log lacks the next change.
    pub(super) async fn catch_up(self: &Rc<Self>, revision: Revision) -> Result<(), PlatformError> {
        if !self.follower.borrow().is_loaded() {
            let snapshot = self.store.read_catalog().await?;
            let actions = self.follower.borrow_mut().snapshot_read(Some(snapshot));
            self.spawn_actions(actions);
        }
        while self.revision() < revision {
            let before = self.revision();
            let changes = self.store.changes(before, revision).await?;
            let actions = self.follower.borrow_mut().changes_pushed(&changes);
            self.spawn_actions(actions);
            if self.revision() == before {
                return Err(PlatformError::Unavailable(
                    "the change log has no entry for the next revision".to_owned(),
                ));
            }
        }
        Ok(())
    }

    /// Queries one peer for its state and the changes after `have`; none when it does not answer or
    /// has no configuration yet.
    pub(super) async fn query_peer(&self, peer: SocketAddr, have: Revision) -> Option<ConfigState> {
        match self
            .call(peer, ConfigCall::FetchChanges(have), CALL_TIMEOUT)
            .await?
        {
            ConfigReply::State(state) => Some(state),
            ConfigReply::Pong
            | ConfigReply::Page(_)
            | ConfigReply::NotLoaded
            | ConfigReply::Watched(_)
            | ConfigReply::Held => None,
        }
    }

    /// Sends committed changes to one peer; a failure is ignored.
    pub(super) async fn push(&self, peer: SocketAddr, changes: Vec<ConfigChange>) {
        self.call(peer, ConfigCall::PushChanges(changes), CALL_TIMEOUT)
            .await;
    }

    /// When the configuration in force was last confirmed to be the newest.
    pub(super) fn confirmed_at(&self) -> Option<MonoTime> {
        self.follower.borrow().lease().confirmed_at()
    }

    /// Takes `source` for that of the last confirmation if there is a newer one than at `known`.
    pub(super) fn note_source(&self, known: Option<MonoTime>, source: ConfirmationSource) {
        if self.confirmed_at() > known {
            self.source.set(Some(source));
        }
    }

    fn revision(&self) -> Revision {
        self.follower.borrow().catalog().revision()
    }

    async fn execute(self: Rc<Self>, action: FollowerAction) {
        let sent = self.sources.clock.now();
        let actions = match action {
            FollowerAction::ReadHead => {
                let head = self.store.head().await;
                let known = self.confirmed_at();
                let actions = self.follower.borrow_mut().head_read(sent, head);
                self.note_source(known, ConfirmationSource::Store);
                actions
            }
            FollowerAction::QueryPeer(peer, have) => {
                let answer = self.query_peer(peer, have).await;
                let known = self.confirmed_at();
                let actions = self.follower.borrow_mut().peer_answered(sent, peer, answer);
                self.note_source(known, ConfirmationSource::Peer(peer));
                actions
            }
            FollowerAction::ReadChanges(after, until) => {
                let changes = self.store.changes(after, until).await;
                self.follower.borrow_mut().changes_read(changes)
            }
            FollowerAction::ReadSnapshot(source) => {
                let snapshot = self.load_snapshot(source).await;
                self.follower.borrow_mut().snapshot_read(snapshot)
            }
            FollowerAction::PushChanges(peer, changes) => {
                self.push(peer, changes).await;
                Vec::new()
            }
        };
        self.spawn_actions(actions);
    }

    async fn load_snapshot(&self, source: SnapshotSource) -> Option<Catalog> {
        match source {
            SnapshotSource::Peer(peer) => self.load_peer_snapshot(peer, PAGE_TIMEOUT).await,
            SnapshotSource::Platform => match self.store.read_catalog().await {
                Ok(catalog) => Some(catalog),
                Err(cause) => {
                    log::warn!(target: log_target::CONFIG, cause:%; "Cannot read a snapshot of the configuration from the platform.");
                    None
                }
            },
        }
    }

    /// Reads a peer's snapshot page by page, then the changes made since the first page. Returns
    /// none when the peer does not send a page within `timeout`, replaces its catalog meanwhile, or
    /// lacks the changes.
    pub(super) async fn load_peer_snapshot(
        &self,
        peer: SocketAddr,
        timeout: Duration,
    ) -> Option<Catalog> {
        let services = SnapshotCursor::Services;
        let first = self.read_page(peer, services, timeout).await?;
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
                Some(next) => page = self.read_page(peer, next, timeout).await?,
                None => break,
            }
        }
        while catalog.revision() < newest {
            let state = self.query_peer(peer, catalog.revision()).await?;
            let first = state.changes.first()?;
            catalog.apply(first).ok()?;
            for change in state.changes.iter().skip(1) {
                catalog.apply(change).ok()?;
            }
        }
        log::info!(target: log_target::CONFIG, peer:%, revision:% = catalog.revision(); "Snapshot of the configuration read from a peer.");
        Some(catalog)
    }

    async fn read_page(
        &self,
        peer: SocketAddr,
        snapshot_part: SnapshotCursor,
        timeout: Duration,
    ) -> Option<SnapshotPage> {
        let call = ConfigCall::Snapshot(snapshot_part);
        match self.call(peer, call, timeout).await? {
            ConfigReply::Page(page) => Some(page),
            ConfigReply::Pong
            | ConfigReply::State(_)
            | ConfigReply::NotLoaded
            | ConfigReply::Watched(_)
            | ConfigReply::Held => None,
        }
    }

    /// Asks a peer for news of the document. Returns none if the peer sends nothing for `silence`.
    pub(super) async fn watch_peer(
        &self,
        peer: SocketAddr,
        request: WatchRequest,
        silence: Duration,
    ) -> Option<WatchReply> {
        match self.receive_watched(peer, request, silence).await {
            Ok(reply) => reply,
            Err(cause) => {
                log::debug!(target: log_target::CONFIG, peer:%, cause:%; "Peer did not answer a question for news of the configuration.");
                None
            }
        }
    }

    async fn receive_watched(
        &self,
        peer: SocketAddr,
        request: WatchRequest,
        silence: Duration,
    ) -> Result<Option<WatchReply>, PeerError> {
        let call = PeerCall::Config(ConfigCall::Watch(request));
        let opening = self.sources.peers.open_call(peer, call);
        let clock = self.sources.clock;
        self.silence.borrow_mut().asked(peer, clock.now());
        let mut stream = within(silence, opening).await?;
        loop {
            let reply = within(silence, stream.receive_required()).await?;
            self.silence.borrow_mut().heard(peer, clock.now());
            match reply {
                PeerReply::Config(ConfigReply::Held) => {}
                PeerReply::Config(ConfigReply::Watched(reply)) => return Ok(Some(reply)),
                _ => return Ok(None),
            }
        }
    }

    pub(super) async fn call(
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
                log::debug!(target: log_target::CONFIG, peer:%, cause:%; "Peer did not answer a configuration call.");
                None
            }
        }
    }
}

/// Ends `step` with an error after `span`.
async fn within<T>(
    span: Duration,
    step: impl Future<Output = Result<T, PeerError>>,
) -> Result<T, PeerError> {
    let ended = actix_rt::time::timeout(span, step).await;
    ended.unwrap_or(Err(PeerError::Timeout))
}
