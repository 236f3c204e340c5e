//! The running rate limits of a daemon.

use std::net::SocketAddr;
use std::rc::Rc;

use crate::ids::{AccountId, BootId, DaemonId};
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

/// Tells the live daemons, this one included.
pub type MemberSource = Rc<dyn Fn() -> Vec<HomeCandidate>>;
/// Tells the limit of a client account, as configured.
pub type RateSource = Rc<dyn Fn(&AccountId) -> Option<RateLimit>>;

/// What the rate limits need of the rest of the daemon.
pub struct LimitsSources {
    /// The settings.
    pub settings: LimitsSettings,
    /// The daemon.
    pub daemon: DaemonId,
    /// Its boot.
    pub boot: BootId,
    /// Its clock.
    pub clock: ProcessClock,
    /// Its own peer address; calls to it use no socket.
    pub own_address: SocketAddr,
    /// The connections to its peers.
    pub peers: PeerPool,
    /// The table in which shares are leased.
    pub platform: Rc<dyn PlatformService>,
    /// The live daemons, this one included.
    pub members: MemberSource,
    /// The limit of a client account, as configured.
    pub rate_of: RateSource,
}

/// Handle on the running rate limits; clones share them.
#[derive(Clone)]
pub struct LimitsHandle(Rc<LimitsCore>);

impl LimitsHandle {
    /// Starts to lease, lend, pool and grant.
    #[must_use]
    pub fn spawn(sources: LimitsSources) -> Self {
        let core = Rc::new(LimitsCore::open(sources));
        limits_tasks::refresh_members(&core);
        actix_rt::spawn(limits_tasks::run(Rc::downgrade(&core)));
        actix_rt::spawn(lease_task::run(Rc::downgrade(&core)));
        Self(core)
    }

    /// Asks for a token for a request of `account`; waits briefly for the home's answer.
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

    /// Gives up shares and loans before the daemon ends; takes about the life of a grant.
    ///
    /// Call it before the listener for peers closes: from then on another process may
    /// bind the address and take this daemon's rows over.
    pub async fn hand_over(&self) {
        limits_tasks::hand_over(&self.0).await;
    }

    /// The state, for a dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        limits_dump::state(&self.0)
    }
}
