//! The rate limit state machines of one simulated daemon with its own clock.

use std::net::SocketAddr;
use std::time::Duration;

use wagtailtrack::hash::FastMap;
use wagtailtrack::ids::{BootId, DaemonId};
use wagtailtrack::limits::{
    ActivePools, AdmissionController, AdmitOutcome, AdmittedToken, ClaimEpoch, GrantCall,
    GrantIssuer, HomeCandidate, HomeMap, LeaseChange, LeaseHolder, LeaseIdentity, RateRefusal,
    ShareBorrower, ShareLender, WaitOutcome,
};
use wagtailtrack::resource::RateLimit;
use wagtailtrack::settings::LimitsSettings;
use wagtailtrack::time::MonoTime;

pub const ADMIT_WAIT: Duration = Duration::from_millis(250);

/// A clock with its own origin and speed.
#[derive(Debug, Clone, Copy)]
pub struct SimulatedClock {
    pub origin: u64,
    /// Speed in thousandths of true time, at most 1000.
    pub speed: u64,
}

impl SimulatedClock {
    pub fn at(self, true_micros: u64) -> MonoTime {
        MonoTime::from_micros(self.origin + true_micros * self.speed / 1_000)
    }
}

/// The call to the platform table that a node has in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TablePhase {
    Idle,
    Scanning,
    Committing,
}

pub struct SimulatedNode {
    pub daemon: DaemonId,
    pub boot: BootId,
    pub clock: SimulatedClock,
    pub settings: LimitsSettings,
    pub holder: LeaseHolder,
    pub lender: ShareLender,
    pub borrower: ShareBorrower,
    pub issuer: GrantIssuer,
    pub controller: AdmissionController,
    pub map: HomeMap,
    pub active: ActivePools,
    pub pending_calls: FastMap<u64, GrantCall>,
    pub waiting: FastMap<u64, usize>,
    pub phase: TablePhase,
    pub round: u64,
    pub renewed: Option<MonoTime>,
    pub paused_until: u64,
}

impl SimulatedNode {
    pub fn open(index: usize, boot: u64, clock: SimulatedClock, settings: &LimitsSettings) -> Self {
        let daemon: DaemonId = format!("vm-{index}").parse().unwrap();
        let address: SocketAddr = format!("127.0.0.1:{}", 1_000 + index).parse().unwrap();
        let (boot, total) = (BootId(boot), settings.shares);
        let (loan, grant) = (settings.loan.get(), settings.grant.get());
        let identity = LeaseIdentity {
            daemon: daemon.clone(),
            address,
            boot,
        };
        let mut controller = AdmissionController::open(boot, total);
        controller.set_own(HomeCandidate {
            daemon: daemon.clone(),
            address,
        });
        Self {
            daemon,
            boot,
            clock,
            settings: settings.clone(),
            holder: LeaseHolder::open(identity, settings.lease, total),
            lender: ShareLender::open(loan, grant, ClaimEpoch(boot.0)),
            borrower: ShareBorrower::open(boot, address, total, loan),
            issuer: GrantIssuer::open(boot, total, grant),
            controller,
            map: HomeMap::default(),
            active: ActivePools::default(),
            pending_calls: FastMap::default(),
            waiting: FastMap::default(),
            phase: TablePhase::Idle,
            round: 0,
            renewed: None,
            paused_until: 0,
        }
    }

    pub fn set_map(&mut self, map: HomeMap, now: MonoTime) {
        self.map = map;
        self.update_pools(now);
    }

    /// Sets the pools to borrow for to those that are active and served by this node.
    pub fn update_pools(&mut self, now: MonoTime) {
        self.active.expire(now);
        let pools = self.active.served(&self.map, &self.daemon);
        self.borrower.update_pools(&self.map, pools, now);
    }

    pub fn apply_lease_changes(&mut self, changes: Vec<LeaseChange>, now: MonoTime) {
        let before = self.lender.shares();
        for change in changes {
            match change {
                LeaseChange::Held(share, until, origin) => {
                    self.lender.claim(share, until, origin, now);
                }
                LeaseChange::Lost(share) => self.lender.remove_share(share),
            }
        }
        if self.lender.shares() != before {
            self.borrower.schedule_all(now);
        }
    }

    /// Decides on a request of the account of `limit` whose caller has `left`.
    pub fn admit(
        &mut self,
        limit: &RateLimit,
        request: usize,
        left: Duration,
        now: MonoTime,
    ) -> NodeAdmission {
        match self.controller.admit(limit, now.after(left), now) {
            AdmitOutcome::Admitted(token) => NodeAdmission::Admitted(token),
            AdmitOutcome::Refused(refusal) => NodeAdmission::Refused(refusal),
            AdmitOutcome::Waiting(number) => {
                self.waiting.insert(number, request);
                NodeAdmission::Waiting
            }
        }
    }

    pub fn resolve(&mut self, outcome: WaitOutcome) -> (usize, Result<AdmittedToken, RateRefusal>) {
        match outcome {
            WaitOutcome::Admitted(number, token) => {
                (self.waiting.remove(&number).unwrap(), Ok(token))
            }
            WaitOutcome::Refused(number, refusal) => {
                (self.waiting.remove(&number).unwrap(), Err(refusal))
            }
        }
    }
}

pub enum NodeAdmission {
    Admitted(AdmittedToken),
    Refused(RateRefusal),
    Waiting,
}
