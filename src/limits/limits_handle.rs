//! Handle on the fleet-wide rate limits that run in a daemon.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::{AccountId, BootId, DaemonId, ZoneId};
use crate::limits::limits_core::LimitsCore;
use crate::limits::{
    Admission, AdmittedToken, HomeCandidate, lease_task, limits_dump, limits_tasks,
};
use crate::peers::PeerPool;
use crate::platform::PlatformService;
use crate::resource::RateLimit;
use crate::settings::LimitsSettings;
use crate::time::{Deadline, ProcessClock};
use crate::wire::{LimitsCall, LimitsReply};

/// Source of the live daemons.
#[derive(Clone)]
pub struct MemberSource {
    /// Returns a number that changes with the list.
    pub version: Rc<dyn Fn() -> u64>,
    /// Returns the live daemons, including this one.
    pub list: Rc<dyn Fn() -> Vec<HomeCandidate>>,
    /// Returns the availability zones of the live daemons.
    pub zones: Rc<dyn Fn() -> FastMap<DaemonId, ZoneId>>,
}
/// Returns the configured limit of a client account, or `None` if it has none.
pub type RateSource = Rc<dyn Fn(&AccountId) -> Option<RateLimit>>;

/// Dependencies of the rate limits on the rest of the daemon.
pub struct LimitsSources {
    /// Number of shares and durations of leases, loans and grants.
    pub settings: LimitsSettings,
    /// Id of this daemon.
    pub daemon: DaemonId,
    /// Boot id of this process.
    pub boot: BootId,
    /// Monotonic clock of this process.
    pub clock: ProcessClock,
    /// This daemon's peer address. Calls to it use no socket.
    pub own_address: SocketAddr,
    /// Connections to the other daemons.
    pub peers: PeerPool,
    /// Platform whose table stores the leases.
    pub platform: Rc<dyn PlatformService>,
    /// Time over which daemons that start together look for each other.
    pub start_spread: Duration,
    /// Source of the live daemons.
    pub members: MemberSource,
    /// Source of the configured limits.
    pub rate_of: RateSource,
}

/// Handle on the running rate limits. Clones share the same state.
#[derive(Clone)]
pub struct LimitsHandle(Rc<LimitsCore>);

impl LimitsHandle {
    /// Starts the tasks that lease, lend and borrow shares and that request and grant tokens.
    #[must_use]
    pub fn spawn(sources: LimitsSources) -> Self {
        let core = Rc::new(LimitsCore::open(sources));
        limits_tasks::refresh_members(&core);
        actix_rt::spawn(limits_tasks::run(Rc::downgrade(&core)));
        actix_rt::spawn(lease_task::run(Rc::downgrade(&core)));
        Self(core)
    }

    /// Decides whether a request of `account` is admitted. Waits for a token while a
    /// home may grant one, up to 500 ms and at most until `deadline`.
    pub async fn admit(&self, account: &AccountId, deadline: Deadline) -> Admission {
        limits_tasks::admit(&self.0, account, deadline).await
    }

    /// Gives back the token of a request that provably did not run.
    pub fn give_back(&self, token: AdmittedToken) {
        let now = self.0.now();
        self.0.controller.borrow_mut().give_back(&token, now);
    }

    /// Answers a peer's call.
    pub async fn serve(&self, call: LimitsCall) -> LimitsReply {
        if let LimitsCall::Borrow(ask) = &call {
            limits_tasks::confirm_home(&self.0, ask).await;
        }
        self.0.serve(call)
    }

    /// Releases leases and returns loans before the daemon exits. Takes about the life of a grant.
    ///
    /// Must be called before the peer listener closes: from then on another process may bind the
    /// address and claim this daemon's lease rows.
    pub async fn hand_over(&self) {
        limits_tasks::hand_over(&self.0).await;
    }

    /// The state as JSON, for the admin dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        limits_dump::state(&self.0)
    }
}
