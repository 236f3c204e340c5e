//! The state of the rate limits of one daemon, shared by its tasks.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, oneshot};

use crate::hash::FastMap;
use crate::ids::DaemonId;
use crate::limits::{
    AccountPlacement, ActivePools, Admission, AdmissionController, ClaimEpoch, GrantIssuer,
    HomeCandidate, HomeMap, LeaseChange, LeaseHolder, LeaseIdentity, LimitsSources, PoolKey,
    ShareBorrower, ShareLender, ShareOrigin, ShareSet, WaitOutcome,
};
use crate::logs::log_target;
use crate::peers::PeerError;
use crate::time::MonoTime;
use crate::wire::{GrantRequest, LimitsCall, LimitsReply, PeerCall, PeerReply};

/// The state machines, each in a `RefCell`. No borrow is held across an await point.
pub(crate) struct LimitsCore {
    pub sources: LimitsSources,
    pub map: RefCell<HomeMap>,
    pub holder: RefCell<LeaseHolder>,
    pub lender: RefCell<ShareLender>,
    pub borrower: RefCell<ShareBorrower>,
    pub issuer: RefCell<GrantIssuer>,
    pub controller: RefCell<AdmissionController>,
    /// Receivers of the decisions on waiting requests, by sequence number.
    pub waiters: RefCell<FastMap<u64, oneshot::Sender<Admission>>>,
    pub active: RefCell<ActivePools>,
    /// Whether an ingress requested tokens from a pool that was not active before.
    pub has_new_pools: Cell<bool>,
    /// Whether the daemon is shutting down, so that it claims and borrows nothing.
    pub is_shutting_down: Cell<bool>,
    /// Wakes the lease task before its next scheduled scan.
    pub lease_wake: Rc<Notify>,
    /// Version of the list of live daemons that `map` was made from.
    pub members_version: Cell<Option<u64>>,
    /// When the rate limits started. The peer address was bound before.
    pub started_at: MonoTime,
    /// When the list of live daemons changed last.
    pub members_changed_at: Cell<MonoTime>,
    /// Requests admitted since the start.
    pub admitted: Cell<u64>,
    /// Requests refused since the start.
    pub refused: Cell<u64>,
}

impl LimitsCore {
    pub fn open(sources: LimitsSources) -> Self {
        let settings = &sources.settings;
        let (total, boot) = (settings.shares, sources.boot);
        let (loan, grant) = (settings.loan.get(), settings.grant.get());
        let identity = LeaseIdentity {
            daemon: sources.daemon.clone(),
            address: sources.own_address,
            boot,
        };
        let mut controller = AdmissionController::open(boot, total);
        controller.set_own(HomeCandidate {
            daemon: sources.daemon.clone(),
            address: sources.own_address,
        });
        Self {
            map: RefCell::default(),
            holder: RefCell::new(LeaseHolder::open(identity, settings.lease, total)),
            lender: RefCell::new(ShareLender::open(loan, grant, ClaimEpoch(boot.0 >> 1))),
            borrower: RefCell::new(ShareBorrower::open(boot, sources.own_address, total, loan)),
            issuer: RefCell::new(GrantIssuer::open(boot, total, grant)),
            controller: RefCell::new(controller),
            waiters: RefCell::default(),
            active: RefCell::default(),
            has_new_pools: Cell::new(false),
            is_shutting_down: Cell::new(false),
            lease_wake: Rc::default(),
            members_version: Cell::new(None),
            started_at: sources.clock.now(),
            members_changed_at: Cell::new(sources.clock.now()),
            admitted: Cell::new(0),
            refused: Cell::new(0),
            sources,
        }
    }

    /// Whether this daemon may lease shares.
    pub fn is_lender(&self) -> bool {
        let map = self.map.borrow();
        map.is_lender(&self.sources.daemon, self.sources.settings.shares)
    }

    pub fn now(&self) -> MonoTime {
        self.sources.clock.now()
    }

    /// Answers a call. Reads the clock after the call was received, since loans and grants must not
    /// start before it.
    pub fn serve(&self, call: LimitsCall) -> LimitsReply {
        let now = self.now();
        match call {
            LimitsCall::Borrow(ask) => LimitsReply::Loans(self.lender.borrow_mut().lend(&ask, now)),
            LimitsCall::Return(back) => {
                self.lender.borrow_mut().accept_return(&back, now);
                LimitsReply::Acknowledged
            }
            LimitsCall::Grant(ask) => {
                self.record_pool_requests(&ask, now);
                let rate_of = &*self.sources.rate_of;
                let answer = self.issuer.borrow_mut().grant(&ask, rate_of, now);
                LimitsReply::Grants(answer)
            }
            LimitsCall::Released(shares) => {
                log::debug!(target: log_target::LIMITS, shares:%; "Peer released its leases.");
                self.lease_wake.notify_one();
                LimitsReply::Acknowledged
            }
            LimitsCall::Identify => LimitsReply::Identity(self.sources.boot),
        }
    }

    fn record_pool_requests(&self, ask: &GrantRequest, now: MonoTime) {
        for want in &ask.demands {
            let Some(limit) = (self.sources.rate_of)(&want.account) else {
                continue;
            };
            let placement =
                AccountPlacement::new(&want.account, limit.burst, self.sources.settings.shares);
            let key = PoolKey {
                shard: placement.shard,
                half: want.half & 1,
            };
            let (map, daemon) = (self.map.borrow(), &self.sources.daemon);
            let mut active = self.active.borrow_mut();
            let is_new = match ask.ingress == self.sources.boot {
                true => active.record_own_request(key, &map, daemon, now),
                false => active.record_request(key, &map, daemon, now),
            };
            if is_new {
                self.has_new_pools.set(true);
            }
        }
    }

    /// Calls the daemon at `address`. A call to this daemon uses no socket.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: LimitsCall,
        timeout: Duration,
    ) -> Result<LimitsReply, PeerError> {
        if address == self.sources.own_address {
            return Ok(self.serve(call));
        }
        let peers = &self.sources.peers;
        match peers.call(address, PeerCall::Limits(call), timeout).await? {
            PeerReply::Limits(reply) => Ok(reply),
            _ => Err(PeerError::UnexpectedMessage),
        }
    }

    /// The peer address of `daemon`, or `None` if it is not in the list of live daemons.
    pub fn address_of(&self, daemon: &DaemonId) -> Option<SocketAddr> {
        let map = self.map.borrow();
        map.member(daemon).map(|member| member.address)
    }

    /// Applies changed leases to the lender. Schedules calls to all lenders if the shares that this
    /// daemon holds have changed.
    pub fn apply_lease_changes(&self, changes: Vec<LeaseChange>) {
        let now = self.now();
        let mut lender = self.lender.borrow_mut();
        let before = lender.shares();
        for change in changes {
            match change {
                LeaseChange::Held(share, until, origin) => {
                    let last_loan = match origin {
                        ShareOrigin::EarlierRun => self.started_at,
                        ShareOrigin::NeverHeld | ShareOrigin::PreviouslyHeld => now,
                    };
                    lender.claim(share, until, origin, last_loan);
                }
                LeaseChange::Lost(share) => lender.remove_share(share),
            }
        }
        let after = lender.shares();
        if before != after {
            log_shares(before, after);
            self.borrower.borrow_mut().schedule_all(now);
        }
    }

    /// Sends decisions to the waiting requests. Gives a token back if its request was cancelled.
    pub fn deliver(&self, outcomes: Vec<WaitOutcome>) {
        for outcome in outcomes {
            let (number, admission) = match outcome {
                WaitOutcome::Admitted(number, token) => (number, Admission::Admitted(token)),
                WaitOutcome::Refused(number, refusal) => (number, Admission::Refused(refusal)),
            };
            let waiter = self.waiters.borrow_mut().remove(&number);
            let undelivered = match waiter {
                Some(waiter) => waiter.send(admission).err(),
                None => Some(admission),
            };
            if let Some(Admission::Admitted(token)) = undelivered {
                let now = self.now();
                self.controller.borrow_mut().give_back(&token, now);
            }
        }
    }
}

fn log_shares(before: ShareSet, after: ShareSet) {
    let (gained, lost) = (after.difference(before), before.difference(after));
    log::info!(target: log_target::LIMITS, held:% = after, gained:%, lost:%; "Leased shares changed.");
}
