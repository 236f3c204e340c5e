//! The running configuration of a daemon.

use std::cell::{Ref, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::config::{
    AttemptAction, Catalog, ChangeAttempt, ChangeOutcome, ChangeRequest, ConfigStore,
};
use crate::ids::{DaemonId, Revision};
use crate::logs::part;
use crate::peers::PeerPool;
use crate::platform::{PlatformError, PlatformService};
use crate::settings::PlatformSettings;
use crate::time::{MonoTime, ProcessClock};
use crate::wire::{ConfigCall, ConfigReply};

const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_PAUSE_MILLIS: std::ops::Range<u64> = 20..120;
const POLL_PAUSE_MILLIS: std::ops::Range<u64> = 500..1_000;

/// What the configuration needs of the daemon.
pub struct ConfigSources {
    /// How to reach the platform, and how often.
    pub settings: PlatformSettings,
    /// This daemon.
    pub daemon: DaemonId,
    /// The process's clock.
    pub clock: ProcessClock,
    /// Connections to the peers.
    pub peers: PeerPool,
    /// The platform.
    pub platform: Rc<dyn PlatformService>,
    /// Peer addresses of the live daemons without this one.
    pub peer_addresses: Rc<dyn Fn() -> Vec<SocketAddr>>,
}

struct ConfigState {
    sources: ConfigSources,
    store: ConfigStore,
    catalog: RefCell<Catalog>,
    is_loaded: std::cell::Cell<bool>,
}

/// A running configuration; clones share it.
#[derive(Clone)]
pub struct ConfigHandle {
    state: Rc<ConfigState>,
}

impl ConfigHandle {
    /// Starts to follow the configuration.
    #[must_use]
    pub fn spawn(sources: ConfigSources) -> Self {
        let store = ConfigStore::open(Rc::clone(&sources.platform));
        let state = Rc::new(ConfigState {
            sources,
            store,
            catalog: RefCell::default(),
            is_loaded: std::cell::Cell::new(false),
        });
        let handle = Self { state };
        actix_rt::spawn(handle.clone().follow());
        handle
    }

    /// The catalog in force; never held across an await.
    #[must_use]
    pub fn catalog(&self) -> Ref<'_, Catalog> {
        self.state.catalog.borrow()
    }

    /// The revision in force.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.catalog().revision()
    }

    /// Whether the first snapshot is in force.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.state.is_loaded.get()
    }

    /// Whether the catalog is known to be the newest, closely enough to admit requests by it.
    #[must_use]
    pub fn is_fresh(&self, _now: MonoTime) -> bool {
        self.is_loaded()
    }

    /// Takes note that the peer at `from` has `revision`.
    pub fn heard(&self, revision: Revision, from: SocketAddr) {
        log::trace!(target: part::CONFIG, revision:%, from:%; "Peer has a revision.");
    }

    /// Answers a peer's call.
    pub async fn serve(&self, call: ConfigCall) -> ConfigReply {
        match call {
            ConfigCall::Ping => ConfigReply::Pong,
        }
    }

    /// The state for people.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let [accounts, keys, routes, services] = self.catalog().counts();
        serde_json::json!({
            "revision": self.revision(),
            "is-loaded": self.is_loaded(),
            "accounts": accounts,
            "keys": keys,
            "routes": routes,
            "services": services,
        })
    }

    /// The configuration's tables at the platform.
    #[must_use]
    pub fn store(&self) -> &ConfigStore {
        &self.state.store
    }

    /// Makes an operator's change and answers truly.
    pub async fn change(&self, request: ChangeRequest) -> ChangeOutcome {
        let clock = self.state.sources.clock;
        let deadline = clock.now().after(CHANGE_TIMEOUT);
        let (mut attempt, mut action) = ChangeAttempt::begin(request, deadline);
        loop {
            action = match action {
                AttemptAction::Read(keys) => {
                    let rows = self.store().platform().read(&keys).await;
                    self.pause_after(rows.is_err()).await;
                    attempt.rows_read(rows, &self.catalog(), clock.now())
                }
                AttemptAction::CatchUp(revision) => {
                    let _ = self.catch_up(revision).await;
                    attempt.caught_up(&self.catalog(), clock.now())
                }
                AttemptAction::Commit(transaction) => {
                    let outcome = self.store().platform().commit(&transaction).await;
                    let is_smooth =
                        matches!(outcome, Ok(crate::platform::CommitOutcome::Committed));
                    self.pause_after(!is_smooth).await;
                    attempt.commit_ended(outcome, clock.now())
                }
                AttemptAction::Finish(outcome, change) => {
                    if let Some(change) = change {
                        // A gap is filled by the next poll.
                        let _ = self.state.catalog.borrow_mut().apply(&change);
                    }
                    return outcome;
                }
            };
        }
    }

    async fn pause_after(&self, failed: bool) {
        if failed {
            let millis = fastrand::u64(RETRY_PAUSE_MILLIS);
            actix_rt::time::sleep(Duration::from_millis(millis)).await;
        }
    }

    async fn follow(self) {
        loop {
            if let Err(cause) = self.poll().await {
                log::warn!(target: part::CONFIG, cause:%; "Cannot read the configuration.");
            }
            let millis = fastrand::u64(POLL_PAUSE_MILLIS);
            actix_rt::time::sleep(Duration::from_millis(millis)).await;
        }
    }

    async fn poll(&self) -> Result<(), PlatformError> {
        let head = self.store().head().await?;
        self.catch_up(head).await
    }

    async fn load(&self) -> Result<(), PlatformError> {
        let catalog = self.store().scan().await?;
        if catalog.revision() >= self.revision() {
            self.state.catalog.replace(catalog);
        }
        self.state.is_loaded.set(true);
        Ok(())
    }

    async fn catch_up(&self, head: Revision) -> Result<(), PlatformError> {
        if !self.is_loaded() {
            self.load().await?;
        }
        while self.revision() < head {
            let changes = self.store().changes(self.revision(), head).await?;
            if changes.is_empty() {
                return Err(PlatformError::Unavailable("the log has a gap".to_owned()));
            }
            for change in &changes {
                // Another task may have applied it already.
                let _ = self.state.catalog.borrow_mut().apply(change);
            }
        }
        Ok(())
    }
}
