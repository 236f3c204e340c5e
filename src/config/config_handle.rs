//! The running configuration of a daemon.

use std::cell::{Ref, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::config::config_driver::ConfigDriver;
use crate::config::{
    Catalog, ChangeOutcome, ChangeRequest, ChangeSubmission, ConfigChange, ConfigFollower,
    ConfigStore, DocumentSource, FollowerRules, HistoryError, MAX_ANSWERED_CHANGES,
    PropagationReport, SubmissionAction, document_task, propagation_report,
};
use crate::ids::{DaemonId, Revision};
use crate::logs::part;
use crate::peers::PeerPool;
use crate::platform::PlatformService;
use crate::settings::PlatformSettings;
use crate::time::{MonoTime, ProcessClock};
use crate::wire::{ConfigCall, ConfigReply};

const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_PAUSE_MILLIS: std::ops::Range<u64> = 20..120;

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

/// A running configuration; clones share it.
#[derive(Clone)]
pub struct ConfigHandle {
    driver: Rc<ConfigDriver>,
}

impl ConfigHandle {
    /// Starts to follow the configuration.
    #[must_use]
    pub fn spawn(sources: ConfigSources) -> Self {
        let rules = FollowerRules::from_settings(&sources.settings);
        let driver = Self::driver(sources, rules);
        actix_rt::spawn(Rc::clone(&driver).run());
        Self { driver }
    }

    /// Starts to follow a configuration that is one document.
    #[must_use]
    pub fn spawn_document(sources: ConfigSources, feed: Rc<dyn DocumentSource>) -> Self {
        let rules = FollowerRules::for_document(&sources.settings);
        let driver = Self::driver(sources, rules);
        actix_rt::spawn(document_task::run(Rc::clone(&driver), feed));
        Self { driver }
    }

    fn driver(sources: ConfigSources, rules: FollowerRules) -> Rc<ConfigDriver> {
        let follower = ConfigFollower::open(rules, fastrand::u64(..), sources.clock.now());
        Rc::new(ConfigDriver {
            store: ConfigStore::open(Rc::clone(&sources.platform)),
            sources,
            follower: RefCell::new(follower),
        })
    }

    /// The catalog in force; never held across an await.
    #[must_use]
    pub fn catalog(&self) -> Ref<'_, Catalog> {
        Ref::map(self.driver.follower.borrow(), ConfigFollower::catalog)
    }

    /// The revision in force.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.catalog().revision()
    }

    /// Whether the first snapshot is in force.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.driver.follower.borrow().is_loaded()
    }

    /// Whether the catalog is known to be the newest, closely enough to admit requests by it.
    #[must_use]
    pub fn is_fresh(&self, now: MonoTime) -> bool {
        self.driver.follower.borrow().freshness(now).admits()
    }

    /// Takes note that the peer at `from` has `revision`.
    pub fn revision_announced(&self, revision: Revision, from: SocketAddr) {
        if self.driver.follower.borrow().follows_document() {
            return;
        }
        let actions = self
            .driver
            .follower
            .borrow_mut()
            .revision_announced(revision, from);
        self.driver.start(actions);
    }

    /// Answers a peer's call.
    pub async fn serve(&self, call: ConfigCall) -> ConfigReply {
        let now = self.driver.sources.clock.now();
        match call {
            ConfigCall::Ping => ConfigReply::Pong,
            ConfigCall::Follow(have) => {
                let follower = self.driver.follower.borrow();
                if follower.is_loaded() {
                    ConfigReply::State(follower.state(have, now))
                } else {
                    ConfigReply::NotLoaded
                }
            }
            ConfigCall::Push(changes) => {
                let actions = self.driver.follower.borrow_mut().changes_pushed(&changes);
                self.driver.start(actions);
                ConfigReply::Pong
            }
            ConfigCall::Snapshot(part) => {
                let page = self.driver.follower.borrow().page(part);
                page.map_or(ConfigReply::NotLoaded, ConfigReply::Page)
            }
        }
    }

    /// The state for people.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let now = self.driver.sources.clock.now();
        let follower = self.driver.follower.borrow();
        let [accounts, keys, routes, services] = follower.catalog().resource_counts();
        let lease = follower.lease();
        serde_json::json!({
            "revision": follower.catalog().revision(),
            "newest_heard": lease.newest(),
            "is_loaded": follower.is_loaded(),
            "freshness": follower.freshness(now),
            "confirmed_millis_ago": lease.age(now).map(|age| age.as_millis()),
            "fleet_size": lease.peak_members(),
            "live_daemons": lease.live_members(),
            "accounts": accounts,
            "keys": keys,
            "routes": routes,
            "services": services,
        })
    }

    /// The configuration's tables at the platform.
    #[must_use]
    pub fn store(&self) -> &ConfigStore {
        &self.driver.store
    }

    /// The changes that follow `after`, as many as are at hand; empty when there are none.
    ///
    /// # Errors
    /// `HistoryError` when the next of them is not kept here and not to be read from the platform.
    pub async fn changes_after(&self, after: Revision) -> Result<Vec<ConfigChange>, HistoryError> {
        let (recent, in_force, oldest) = {
            let follower = self.driver.follower.borrow();
            let in_force = follower.catalog().revision();
            let recent = follower.recent();
            (
                recent.after(after, MAX_ANSWERED_CHANGES),
                in_force,
                recent.oldest(in_force),
            )
        };
        if !recent.is_empty() || after >= in_force {
            return Ok(recent);
        }
        let logged = self.store().changes(after, in_force).await?;
        if logged.is_empty() {
            return Err(HistoryError::TooOld(oldest));
        }
        Ok(logged)
    }

    /// Waits for at most `span` until `revision` is in force on every live daemon.
    pub async fn wait_for_propagation(
        &self,
        revision: Revision,
        span: Duration,
    ) -> PropagationReport {
        propagation_report::wait(&self.driver, revision, span).await
    }

    /// Makes an operator's change and answers truly.
    pub async fn submit(&self, request: ChangeRequest) -> ChangeOutcome {
        let clock = self.driver.sources.clock;
        let deadline = clock.now().after(CHANGE_TIMEOUT);
        let (mut attempt, mut action) = ChangeSubmission::begin(request, deadline);
        let mut is_first = true;
        loop {
            action = match action {
                SubmissionAction::Read(keys) => {
                    pause_unless(std::mem::take(&mut is_first)).await;
                    let rows = self.store().platform().read(&keys).await;
                    attempt.rows_read(rows, &self.catalog(), clock.now())
                }
                SubmissionAction::CatchUp(revision) => {
                    if let Err(cause) = self.driver.catch_up(revision).await {
                        log::warn!(target: part::CONFIG, cause:%; "Cannot catch up for a change.");
                    }
                    attempt.caught_up(&self.catalog(), clock.now())
                }
                SubmissionAction::Commit(transaction) => {
                    let outcome = self.store().platform().commit(&transaction).await;
                    attempt.commit_ended(outcome, clock.now())
                }
                SubmissionAction::Finish(outcome, change) => {
                    if let Some(change) = change {
                        let actions = self.driver.follower.borrow_mut().change_committed(&change);
                        self.driver.start(actions);
                    }
                    return outcome;
                }
            };
        }
    }
}

/// A pause before each further attempt, so that colliding operators pass one another.
async fn pause_unless(is_first: bool) {
    if !is_first {
        let millis = fastrand::u64(RETRY_PAUSE_MILLIS);
        actix_rt::time::sleep(Duration::from_millis(millis)).await;
    }
}
