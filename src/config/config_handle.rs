//! Handle of the configuration service that runs inside a daemon.

use std::cell::{Cell, Ref, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::config::config_driver::ConfigDriver;
use crate::config::evacuation_follower::EvacuationFollower;
use crate::config::{
    Catalog, ChangeOutcome, ChangeRequest, ChangeSubmission, ConfigChange, ConfigFollower,
    ConfigStore, ConfirmationSource, DocumentPeers, DocumentSource, FollowerRules, HistoryError,
    MAX_ANSWERED_CHANGES, PropagationReport, SubmissionAction, document_task, propagation_report,
    watch_service,
};
use crate::ids::{BootId, DaemonId, Revision};
use crate::logs::log_target;
use crate::peers::PeerPool;
use crate::platform::PlatformService;
use crate::settings::PlatformSettings;
use crate::time::{MonoTime, ProcessClock};
use crate::wire::{ConfigCall, ConfigReply, WatchReply, WatchRequest};

/// Time for submitting an operator's change, retries included.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Random delay before a further read of a submission, in milliseconds.
const RETRY_DELAY_MILLIS: std::ops::Range<u64> = 20..120;

/// Dependencies of the configuration service.
pub struct ConfigSources {
    /// Address of the platform, poll rate and freshness lease.
    pub settings: PlatformSettings,
    /// Id of this daemon.
    pub daemon: DaemonId,
    /// The run of this process.
    pub boot: BootId,
    /// Monotonic clock of the process.
    pub clock: ProcessClock,
    /// Connections to the peers.
    pub peers: PeerPool,
    /// The platform's table service.
    pub platform: Rc<dyn PlatformService>,
    /// Returns the peer addresses of the live daemons, without this one.
    pub peer_addresses: Rc<dyn Fn() -> Vec<SocketAddr>>,
}

/// How long after its start a daemon lets requests wait for its first configuration.
const STARTING_TIME: Duration = Duration::from_secs(1);
/// How often such a request looks for the configuration.
const LOAD_POLL: Duration = Duration::from_millis(10);

/// Handle of the running configuration service; clones share it.
#[derive(Clone)]
pub struct ConfigHandle {
    pub(super) driver: Rc<ConfigDriver>,
}

impl ConfigHandle {
    /// Starts to replicate the configuration from the platform's table and the peers.
    #[must_use]
    pub fn spawn(sources: ConfigSources) -> Self {
        let rules = FollowerRules::from_settings(&sources.settings);
        let driver = Self::driver(sources, rules);
        actix_rt::spawn(Rc::clone(&driver).run());
        Self { driver }
    }

    /// Starts to follow a configuration that is a single document, from its store or from `peers`.
    #[must_use]
    pub fn spawn_document(
        sources: ConfigSources,
        source: Rc<dyn DocumentSource>,
        peers: DocumentPeers,
    ) -> Self {
        let rules = FollowerRules::for_document(&sources.settings);
        let driver = Self::driver(sources, rules);
        actix_rt::spawn(document_task::run(Rc::clone(&driver), source, peers));
        Self { driver }
    }

    fn driver(sources: ConfigSources, rules: FollowerRules) -> Rc<ConfigDriver> {
        let now = sources.clock.now();
        let follower = ConfigFollower::open(rules, fastrand::u64(..), now);
        Rc::new(ConfigDriver {
            store: ConfigStore::open(Rc::clone(&sources.platform)),
            sources,
            follower: RefCell::new(follower),
            document_warnings: Cell::new(0),
            store_lost: Cell::new(false),
            source: Cell::new(None),
            silence: RefCell::default(),
            evacuations: EvacuationFollower::open(now),
            changed: Notify::new(),
            starting_until: now.after(STARTING_TIME),
        })
    }

    /// The catalog in force. The borrow must not be held across an await.
    #[must_use]
    pub fn catalog(&self) -> Ref<'_, Catalog> {
        Ref::map(self.driver.follower.borrow(), ConfigFollower::catalog)
    }

    /// The revision in force.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.catalog().revision()
    }

    /// Whether a first snapshot has been loaded and the evacuated zones are known.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        let follower = self.driver.follower.borrow();
        let is_known = !follower.follows_document() || self.driver.evacuations.is_known();
        follower.is_loaded() && is_known
    }

    /// Waits until the configuration is loaded, or until the daemon no longer counts as starting.
    ///
    /// A daemon that starts has the configuration within moments, so that its first requests are better
    /// held than refused.
    pub async fn wait_loaded(&self) {
        let clock = self.driver.sources.clock;
        while !self.is_loaded() && !self.driver.starting_until.has_passed(clock.now()) {
            actix_rt::time::sleep(LOAD_POLL).await;
        }
    }

    /// Whether the catalog is fresh enough to admit requests by it.
    #[must_use]
    pub fn is_fresh(&self, now: MonoTime) -> bool {
        self.driver.follower.borrow().freshness(now).admits()
    }

    /// Handles the announcement that the peer at `from` is at `revision`.
    pub fn revision_announced(&self, revision: Revision, from: SocketAddr) {
        if self.driver.follower.borrow().follows_document() {
            return;
        }
        let actions = self
            .driver
            .follower
            .borrow_mut()
            .revision_announced(revision, from);
        self.driver.spawn_actions(actions);
    }

    /// Serves a peer's call.
    pub async fn serve(&self, call: ConfigCall) -> ConfigReply {
        let now = self.driver.sources.clock.now();
        match call {
            ConfigCall::Ping => ConfigReply::Pong,
            ConfigCall::FetchChanges(have) => {
                let follower = self.driver.follower.borrow();
                if follower.is_loaded() {
                    ConfigReply::State(follower.state(have, now))
                } else {
                    ConfigReply::NotLoaded
                }
            }
            ConfigCall::PushChanges(changes) => {
                let actions = self.driver.follower.borrow_mut().changes_pushed(&changes);
                self.driver.spawn_actions(actions);
                ConfigReply::Pong
            }
            ConfigCall::Snapshot(part) => {
                let page = self.driver.follower.borrow().snapshot_page(part);
                page.map_or(ConfigReply::NotLoaded, ConfigReply::Page)
            }
            ConfigCall::Watch(request) => {
                let reply = self.serve_watch(request, async || true).await;
                reply.map_or(ConfigReply::NotLoaded, ConfigReply::Watched)
            }
        }
    }

    /// Serves a peer that waits for news of the document. `held` tells it that the reply is held
    /// back, and returns whether it could be told; returns none once it could not.
    pub async fn serve_watch(
        &self,
        request: WatchRequest,
        held: impl AsyncFnMut() -> bool,
    ) -> Option<WatchReply> {
        watch_service::serve(&self.driver, request, held).await
    }

    /// Parts of configuration documents that could not be used as they stood, since the start.
    #[must_use]
    pub fn document_warnings(&self) -> u64 {
        self.driver.document_warnings.get()
    }

    /// Time since the configuration was last confirmed to be the newest; none without a confirmation.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        let now = self.driver.sources.clock.now();
        self.driver.follower.borrow().lease().confirmation_age(now)
    }

    /// Who confirmed the configuration last; none before the first confirmation.
    #[must_use]
    pub fn source(&self) -> Option<ConfirmationSource> {
        self.driver.source.get()
    }

    /// How often a daemon that passes the document on was found silent, since the start.
    #[must_use]
    pub fn silent_peers(&self) -> u64 {
        self.driver.silence.borrow().count()
    }

    /// State for the operators' dump, as JSON.
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
            "confirmed_millis_ago": lease.confirmation_age(now).map(|age| age.as_millis()),
            "confirmed_by": self.source().map(|source| source.to_string()),
            "fleet_size": lease.peak_members(),
            "live_daemons": lease.live_members(),
            "accounts": accounts,
            "keys": keys,
            "routes": routes,
            "services": services,
            "evacuated_zones": *self.evacuated_zones(),
            "evacuations_at": self.driver.evacuations.mark(),
            "evacuations_millis_ago": self.evacuation_age().map(|age| age.as_millis()),
        })
    }

    /// The configuration's rows at the platform.
    #[must_use]
    pub fn store(&self) -> &ConfigStore {
        &self.driver.store
    }

    /// Changes after the revision `after`, up to one page; empty when `after` is the newest.
    ///
    /// # Errors
    /// `HistoryError` when the next change is neither kept in memory nor readable from the
    /// platform's change log.
    pub async fn changes_after(&self, after: Revision) -> Result<Vec<ConfigChange>, HistoryError> {
        let (recent, in_force, oldest) = {
            let follower = self.driver.follower.borrow();
            let in_force = follower.catalog().revision();
            let recent = follower.recent_changes();
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

    /// Waits for at most `span` until `revision` is in force on every live daemon, and reports which
    /// daemons confirmed it.
    pub async fn wait_for_propagation(
        &self,
        revision: Revision,
        span: Duration,
    ) -> PropagationReport {
        propagation_report::wait(&self.driver, revision, span).await
    }

    /// Submits an operator's change and returns its outcome.
    pub async fn submit(&self, request: ChangeRequest) -> ChangeOutcome {
        let clock = self.driver.sources.clock;
        let deadline = clock.now().after(CHANGE_TIMEOUT);
        let (mut submission, mut action) = ChangeSubmission::begin(request, deadline);
        let mut is_first = true;
        loop {
            action = match action {
                SubmissionAction::Read(keys) => {
                    delay_retry(std::mem::take(&mut is_first)).await;
                    let rows = self.store().platform().read(&keys).await;
                    submission.rows_read(rows, &self.catalog(), clock.now())
                }
                SubmissionAction::CatchUp(revision) => {
                    if let Err(cause) = self.driver.catch_up(revision).await {
                        log::warn!(target: log_target::CONFIG, cause:%; "Cannot bring the catalog up to the newest revision for an operator's change.");
                    }
                    submission.caught_up(&self.catalog(), clock.now())
                }
                SubmissionAction::Commit(transaction) => {
                    let outcome = self.store().platform().commit(&transaction).await;
                    submission.commit_ended(outcome, clock.now())
                }
                SubmissionAction::Finish(outcome, change) => {
                    if let Some(change) = change {
                        let actions = self.driver.follower.borrow_mut().change_committed(&change);
                        self.driver.spawn_actions(actions);
                    }
                    return outcome;
                }
            };
        }
    }
}

/// Sleeps for a random delay unless `is_first`, so that operators whose changes conflict do not
/// conflict again.
async fn delay_retry(is_first: bool) {
    if !is_first {
        let millis = fastrand::u64(RETRY_DELAY_MILLIS);
        actix_rt::time::sleep(Duration::from_millis(millis)).await;
    }
}
