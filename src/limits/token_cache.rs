//! A cache of granted tokens for one client account at one ingress.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::BootId;
use crate::limits::{
    AccountPlacement, DemandRate, HeldGrant, HomeState, RateRefusal, ReturnSchedule,
};
use crate::resource::RateLimit;
use crate::time::{Deadline, MonoTime};
use crate::wire::{GrantDemand, TokenGrant};

/// More tokens are requested when the cached ones last for less than this at the current demand.
const REFILL_BELOW: Duration = Duration::from_millis(250);
/// As many tokens are requested as last this long at the current demand.
const REFILL_TO: Duration = Duration::from_millis(750);

/// A request that is due to one of the account's two homes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HalfRequest {
    /// The half of the shares whose home is called, 0 or 1.
    pub half: u8,
    /// Whether tokens are requested. Otherwise the request only reports spent tokens.
    pub wants_tokens: bool,
}

/// A request that waits for a token.
#[derive(Debug, Clone, Copy)]
pub struct WaitingRequest {
    /// Sequence number of the request at this ingress.
    pub number: u64,
    /// When the request is refused if it has no token by then.
    pub until: Deadline,
    /// When the caller gives up.
    pub deadline: Deadline,
    /// Whether the request came when its caller had been told to come.
    pub was_told: bool,
}

/// Grants, measured demand and waiting requests of one client account.
#[derive(Debug)]
pub struct TokenCache {
    limit: RateLimit,
    placement: AccountPlacement,
    /// State of the homes of both halves, by half.
    pub homes: [HomeState; 2],
    /// Waiting requests: first those that came when told, and of each kind the oldest first.
    pub waiting: VecDeque<WaitingRequest>,
    /// When refused callers come back.
    pub returns: ReturnSchedule,
    grants: Vec<HeldGrant>,
    demand: DemandRate,
    /// The half to request tokens from next.
    next_half: u8,
    /// The half to request tokens from first while its home has some.
    near_half: Option<u8>,
}

impl TokenCache {
    /// Creates an empty cache. `next_half` (0 or 1) is the half to request tokens from first, and
    /// `seed` selects the jitter of return times.
    #[must_use]
    pub fn open(
        limit: RateLimit,
        placement: AccountPlacement,
        next_half: u8,
        seed: u64,
        now: MonoTime,
    ) -> Self {
        Self {
            returns: ReturnSchedule::open(limit.rate, seed, now),
            limit,
            placement,
            homes: initial_homes(&placement),
            waiting: VecDeque::new(),
            grants: Vec::new(),
            demand: DemandRate::open(now),
            next_half: next_half & 1,
            near_half: None,
        }
    }

    /// The rate limit of the account.
    #[must_use]
    pub const fn limit(&self) -> &RateLimit {
        &self.limit
    }

    /// The shard and the shares of the account.
    #[must_use]
    pub const fn placement(&self) -> &AccountPlacement {
        &self.placement
    }

    /// Sets the half to request tokens from first while its home has some, or `None` for both in turn.
    pub const fn set_near_half(&mut self, half: Option<u8>) {
        self.near_half = half;
    }

    /// Counts a request towards the demand.
    pub fn record_demand(&mut self, now: MonoTime) {
        self.demand.record(now);
    }

    /// Adds a waiting request, behind those that have the same right to a token.
    pub fn push_waiting(&mut self, request: WaitingRequest) {
        let told = self.waiting.iter().filter(|other| other.was_told).count();
        match request.was_told {
            true => self.waiting.insert(told, request),
            false => self.waiting.push_back(request),
        }
    }

    /// Spends a token of the unexpired grant that expires first. Returns the boot of the home and
    /// the id of the grant, or `None` if no token is left, or only reserved ones for a request that
    /// did not come when told. A token that is closed before a return is due is not reserved for it.
    pub fn spend(&mut self, was_told: bool, now: MonoTime) -> Option<(BootId, u64)> {
        if !was_told
            && self.tokens_left(now) <= self.returns.reserved(now)
            && !self.has_unmatched(now)
        {
            return None;
        }
        let live = self
            .grants
            .iter_mut()
            .filter(|grant| grant.left > 0 && !grant.until.has_passed(now));
        let grant = live.min_by_key(|grant| grant.until)?;
        grant.left -= 1;
        grant.spent += 1;
        self.returns.record_spent();
        Some((grant.home, grant.id))
    }

    /// Whether some tokens are closed before the returns that could spend them are due.
    fn has_unmatched(&self, now: MonoTime) -> bool {
        let is_live = |grant: &&HeldGrant| grant.left > 0 && !grant.until.has_passed(now);
        let live = self.grants.iter().filter(is_live);
        let Some(end) = live.clone().map(|grant| grant.closes_at(now)).min() else {
            return false;
        };
        let closing = live.filter(|grant| grant.closes_at(now) <= end);
        let tokens: u32 = closing.map(|grant| grant.left).sum();
        tokens > self.returns.reserved_until(end, now)
    }

    /// Gives back the token of a request that provably did not run.
    ///
    /// Has no effect once the token was reported as spent: the home may have granted another in its
    /// place since.
    pub fn give_back(&mut self, home: BootId, id: u64, now: MonoTime) {
        let found = self
            .grants
            .iter_mut()
            .find(|grant| grant.home == home && grant.id == id && !grant.until.has_passed(now));
        if let Some(grant) = found
            && grant.spent > grant.reported
        {
            grant.spent -= 1;
            grant.left += 1;
        }
    }

    /// Adds a grant that expires at `until`, computed from the time at which the request was sent.
    pub fn add_grant(&mut self, half: u8, home: BootId, grant: &TokenGrant, until: Deadline) {
        self.grants.push(HeldGrant {
            half,
            home,
            id: grant.grant,
            left: grant.tokens,
            spent: 0,
            reported: 0,
            until,
            life: Duration::from_micros(u64::from(grant.lifetime_micros)),
            reports_at_once: grant.report_at_once,
        });
    }

    /// Removes expired grants.
    pub fn expire(&mut self, now: MonoTime) {
        self.grants.retain(|grant| !grant.until.has_passed(now));
    }

    /// Whether a request to a home is due: for waiting requests, to prefetch tokens or to report.
    #[must_use]
    pub fn needs_request(&self, now: MonoTime) -> bool {
        !self.due_requests(now).is_empty()
    }

    /// Whether requests wait, or spent tokens must be reported at once because the burst is
    /// short.
    #[must_use]
    pub fn is_urgent(&self, now: MonoTime) -> bool {
        let mut grants = self.grants.iter();
        !self.waiting.is_empty()
            || self.returns.urgently_reserved(now) > self.tokens_left(now)
            || grants.any(|grant| grant.reports_at_once && grant.spent > grant.reported)
    }

    /// Whether the cache can be dropped: no waiting request, no grant and almost no demand.
    #[must_use]
    pub fn is_idle(&self, now: MonoTime) -> bool {
        self.waiting.is_empty()
            && self.grants.is_empty()
            && self.returns.is_empty()
            && self.demand.per_second(now) < 0.01
    }

    /// The requests that are due now. Tokens are requested from one home at a time; reports go to
    /// each home that has one due.
    #[must_use]
    pub fn due_requests(&self, now: MonoTime) -> Vec<HalfRequest> {
        let is_open = |half: &u8| self.home(*half).can_report(now);
        let first = self.near_half.unwrap_or(self.next_half);
        let open = [first, first ^ 1].into_iter().filter(is_open);
        let mut needs_tokens = !self.waiting.is_empty()
            || self.missing_for_returns(now) > 0
            || self.needs_prefetch(now);
        if self.homes.iter().any(|home| home.awaits_answer(now)) {
            needs_tokens = false;
        }
        let mut requests = Vec::new();
        for half in open {
            let wants_tokens = needs_tokens && self.home(half).can_request(now);
            if wants_tokens || self.needs_report(half, now) {
                requests.push(HalfRequest { half, wants_tokens });
            }
            needs_tokens &= !wants_tokens;
        }
        requests
    }

    /// Builds the message for `request`, to be sent now. `home` is the last known boot of the
    /// daemon that is called: uses of grants from its earlier boots are not reported.
    pub fn build_want(&mut self, request: HalfRequest, home: BootId, now: MonoTime) -> GrantDemand {
        let half = request.half;
        let (mut waiting, mut extra) = (0, 0);
        if request.wants_tokens {
            (waiting, extra) = self.wanted_tokens(now);
            self.next_half = half ^ 1;
        }
        self.homes[usize::from(half)].record_request(now);
        let grants = self.grants.iter_mut();
        let known = grants.filter(|grant| grant.half == half && grant.home == home);
        let uses = known.filter_map(|grant| grant.report(now)).collect();
        GrantDemand {
            account: self.limit.account.clone(),
            half,
            waiting,
            prefetch: extra,
            uses,
        }
    }

    /// Changes the limit. Cached tokens remain valid.
    pub fn set_limit(&mut self, limit: RateLimit, placement: AccountPlacement) {
        self.returns.set_rate(limit.rate);
        self.limit = limit;
        self.placement = placement;
        self.homes = initial_homes(&placement);
    }

    /// Number of cached tokens whose grant has not expired.
    #[must_use]
    pub fn tokens_left(&self, now: MonoTime) -> u32 {
        let live = self
            .grants
            .iter()
            .filter(|grant| !grant.until.has_passed(now));
        live.map(|grant| grant.left).sum()
    }

    /// Whether a home may answer with tokens in time, so that a request should wait. `patience` is
    /// how long an answer usually takes at most.
    ///
    /// If one home has no tokens, the one that has just failed to answer counts as having none: to
    /// wait for its backup would only delay the refusal.
    #[must_use]
    pub fn may_get_tokens(&self, patience: Duration, now: MonoTime) -> bool {
        let is_one_empty = self.homes.iter().any(|home| home.is_empty(now));
        let mut homes = self.homes.iter();
        homes.any(|home| home.may_answer(patience, now) && !(is_one_empty && home.is_silent(now)))
    }

    /// Refuses a request with the time at which a token is due for its caller, and the status of
    /// both homes. Reserves the token if the caller accepts that time.
    pub fn refuse(&mut self, deadline: Deadline, was_told: bool, now: MonoTime) -> RateRefusal {
        let used = self.homes.iter().filter(|home| home.is_used());
        let earliest = used.map(|home| home.ready_at(now)).min().unwrap_or(now);
        RateRefusal {
            limit: self.limit.clone(),
            retry_after: self.returns.refuse(earliest, deadline, was_told, now),
            homes: [self.homes[0].status(now), self.homes[1].status(now)],
        }
    }

    fn home(&self, half: u8) -> &HomeState {
        &self.homes[usize::from(half & 1)]
    }

    fn needs_report(&self, half: u8, now: MonoTime) -> bool {
        let mut grants = self.grants.iter().filter(|grant| grant.half == half);
        grants.any(|grant| grant.needs_report(now))
    }

    /// Tokens to request for callers that are due to come back soon.
    fn missing_for_returns(&self, now: MonoTime) -> u32 {
        let reserved = self.returns.reserved(now);
        reserved.saturating_sub(self.tokens_left(now))
    }

    /// Number of tokens to request, and of those to request only from what the home can spare.
    ///
    /// While callers were told to come back, new requests get only what their home can spare: else
    /// they would take the tokens that are due to callers of other ingresses.
    fn wanted_tokens(&self, now: MonoTime) -> (u32, u32) {
        let count = |waiting: usize| u32::try_from(waiting).unwrap_or(u32::MAX);
        if self.returns.is_empty() {
            return (count(self.waiting.len()), self.prefetch_count(now));
        }
        let told = self.waiting.iter().filter(|one| one.was_told).count();
        let due = count(told).saturating_add(self.missing_for_returns(now));
        (due, count(self.waiting.len() - told))
    }

    fn needs_prefetch(&self, now: MonoTime) -> bool {
        let low = self.demand.per_second(now) * REFILL_BELOW.as_secs_f64();
        self.returns.is_empty() && low >= 1.0 && f64::from(self.tokens_left(now)) < low
    }

    fn prefetch_count(&self, now: MonoTime) -> u32 {
        let full = self.demand.per_second(now) * REFILL_TO.as_secs_f64();
        let missing = full - f64::from(self.tokens_left(now));
        if missing >= 1.0 { missing as u32 } else { 0 }
    }
}

fn initial_homes(placement: &AccountPlacement) -> [HomeState; 2] {
    [0, 1].map(|half| HomeState::open(!placement.half(half).is_empty()))
}
