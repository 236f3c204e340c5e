//! Admission control under rate limits: spends granted tokens, lets requests wait that get none,
//! and requests more tokens from the daemons that hold the token buckets.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::{AccountId, BootId, DaemonId};
use crate::limits::{
    AccountPlacement, AdmittedToken, AnswerTime, GrantTarget, HomeCandidate, HomeMap, PoolKey,
    RateRefusal, ReturnCounts, SilentDaemons, TokenCache, WaitingRequest, clock_margin,
};
use crate::resource::RateLimit;
use crate::time::{Deadline, MonoTime};
use crate::wire::{GrantOutcome, GrantReply, GrantRequest};

/// How long a request waits for a token at most. It must not be below the time in which a starting
/// fleet lends its shares; otherwise requests within the rate are refused.
const ADMIT_WAIT: Duration = Duration::from_millis(1_200);

/// While callers are told to come back, a request waits for this many answers at most.
const SHORTAGE_WAIT_FACTOR: u32 = 2;

/// Token caches and waiting requests of all client accounts at one ingress.
#[derive(Debug)]
pub struct AdmissionController {
    ingress: BootId,
    total: u32,
    next_request: u64,
    caches: FastMap<AccountId, TokenCache>,
    /// Accounts with a request due. Ordered, so that the same events always produce the same calls.
    due: BTreeSet<AccountId>,
    /// Boot id of each daemon as of its last answer.
    boots: FastMap<DaemonId, BootId>,
    silent: SilentDaemons,
    /// The ingress's own daemon, which replaces the home and the backup while neither answers.
    own: Option<HomeCandidate>,
    answer_time: AnswerTime,
    /// Counts of the accounts that were dropped.
    dropped_returns: ReturnCounts,
}

/// The immediate outcome for a request.
#[derive(Debug, PartialEq, Eq)]
pub enum AdmitOutcome {
    /// The request is admitted with a cached token.
    Admitted(AdmittedToken),
    /// The request is refused.
    Refused(RateRefusal),
    /// The request waits for a token. The number identifies it in `WaitOutcome`.
    Waiting(u64),
}

/// The outcome for a waiting request, with its sequence number.
#[derive(Debug, PartialEq, Eq)]
pub enum WaitOutcome {
    /// The request is admitted.
    Admitted(u64, AdmittedToken),
    /// The request is refused.
    Refused(u64, RateRefusal),
}

impl WaitOutcome {
    /// Sequence number of the request.
    #[must_use]
    pub const fn number(&self) -> u64 {
        match self {
            Self::Admitted(number, _) | Self::Refused(number, _) => *number,
        }
    }
}

/// A call that requests tokens from a home.
#[derive(Debug, Clone)]
pub struct GrantCall {
    /// The daemon to call.
    pub target: GrantTarget,
    /// When the call is sent. The life of its grants starts here.
    pub sent: MonoTime,
    /// The message.
    pub ask: GrantRequest,
}

impl AdmissionController {
    /// Creates a controller without tokens for the ingress with the boot `ingress`. `total` is the
    /// number of shares that each limit is divided into.
    #[must_use]
    pub fn open(ingress: BootId, total: u32) -> Self {
        Self {
            ingress,
            total,
            next_request: 0,
            caches: FastMap::default(),
            due: BTreeSet::new(),
            boots: FastMap::default(),
            silent: SilentDaemons::default(),
            own: None,
            answer_time: AnswerTime::default(),
            dropped_returns: ReturnCounts::default(),
        }
    }

    /// Sets the ingress's own daemon.
    pub fn set_own(&mut self, own: HomeCandidate) {
        self.own = Some(own);
    }

    /// Admits or refuses a request of the account of `limit`, or lets it wait for a token while one
    /// may come in time. The caller gives up at `deadline`.
    pub fn admit(&mut self, limit: &RateLimit, deadline: Deadline, now: MonoTime) -> AdmitOutcome {
        let (number, total) = (self.next_request + 1, self.total);
        let cache = self
            .caches
            .entry(limit.account.clone())
            .or_insert_with(|| new_cache(limit, total, self.ingress, now));
        if cache.limit() != limit {
            let placement = AccountPlacement::new(&limit.account, limit.burst, total);
            cache.set_limit(limit.clone(), placement);
        }
        cache.record_demand(now);
        let was_told = cache.returns.redeem(now);
        let is_first = cache
            .waiting
            .front()
            .is_none_or(|first| was_told && !first.was_told);
        if is_first && let Some((home, grant)) = cache.spend(was_told, now) {
            if cache.needs_request(now) {
                self.due.insert(limit.account.clone());
            }
            let account = limit.account.clone();
            return AdmitOutcome::Admitted(AdmittedToken {
                account,
                home,
                grant,
            });
        }
        let patience = self.answer_time.longest();
        if !cache.may_get_tokens(patience, now) {
            return AdmitOutcome::Refused(cache.refuse(deadline, was_told, now));
        }
        let longest = match cache.returns.is_empty() {
            true => ADMIT_WAIT,
            false => patience * SHORTAGE_WAIT_FACTOR,
        };
        self.next_request = number;
        cache.push_waiting(WaitingRequest {
            number,
            until: deadline.min(now.after(longest)),
            deadline,
            was_told,
        });
        self.due.insert(limit.account.clone());
        AdmitOutcome::Waiting(number)
    }

    /// Gives back the token of a request that provably did not run.
    pub fn give_back(&mut self, token: &AdmittedToken, now: MonoTime) {
        if let Some(cache) = self.caches.get_mut(&token.account) {
            cache.give_back(token.home, token.grant, now);
        }
    }

    /// Whether a call may be due for some account.
    #[must_use]
    pub fn has_due_calls(&self) -> bool {
        !self.due.is_empty()
    }

    /// Whether the due calls should be sent at once rather than in the next batch.
    #[must_use]
    pub fn is_urgent(&self, now: MonoTime) -> bool {
        let mut due = self
            .due
            .iter()
            .filter_map(|account| self.caches.get(account));
        due.any(|cache| cache.is_urgent(now))
    }

    /// The calls to send now, one for each home.
    pub fn due_calls(&mut self, map: &HomeMap, now: MonoTime) -> Vec<GrantCall> {
        let mut messages: BTreeMap<GrantTarget, GrantRequest> = BTreeMap::new();
        let due = std::mem::take(&mut self.due);
        for account in due {
            let Some(cache) = self.caches.get_mut(&account) else {
                continue;
            };
            let shard = cache.placement().shard;
            let own = self.own.as_ref();
            cache.set_near_half(own.and_then(|own| map.near_half(shard, &own.daemon)));
            for request in cache.due_requests(now) {
                let key = PoolKey {
                    shard: cache.placement().shard,
                    half: request.half,
                };
                let home = cache.homes[usize::from(request.half & 1)];
                let is_silent = |daemon: &DaemonId| self.silent.is_silent(daemon, &home, now);
                let prefers_backup = home.prefers_backup(now);
                let Some(target) =
                    GrantTarget::choose(map, key, prefers_backup, self.own.as_ref(), is_silent)
                else {
                    continue;
                };
                let daemon = &target.home.daemon;
                let boot = self.boots.get(daemon).copied().unwrap_or_default();
                let ask = messages.entry(target).or_insert_with(|| GrantRequest {
                    ingress: self.ingress,
                    home: boot,
                    demands: Vec::new(),
                });
                ask.demands.push(cache.build_want(request, boot, now));
            }
        }
        let messages = messages.into_iter();
        messages
            .map(|(target, ask)| GrantCall {
                target,
                sent: now,
                ask,
            })
            .collect()
    }

    /// Records the answer to `call` and returns the outcomes for waiting requests.
    pub fn record_answer(
        &mut self,
        call: &GrantCall,
        answer: &GrantReply,
        now: MonoTime,
    ) -> Vec<WaitOutcome> {
        self.boots
            .insert(call.target.home.daemon.clone(), answer.home);
        self.silent.record_answer(&call.target.home.daemon);
        if self.own.as_ref() != Some(&call.target.home) {
            self.answer_time.record(now.since(call.sent));
        }
        let patience = self.answer_time.longest();
        let mut outcomes = Vec::new();
        let gives = answer
            .outcomes
            .iter()
            .map(Some)
            .chain(std::iter::repeat(None));
        for (want, give) in call.ask.demands.iter().zip(gives) {
            let Some(cache) = self.caches.get_mut(&want.account) else {
                continue;
            };
            let half = want.half;
            apply_give(cache, half, answer.home, call, give, now);
            serve_waiting(cache, patience, now, &mut outcomes);
            if cache.needs_request(now) {
                self.due.insert(want.account.clone());
            }
        }
        outcomes
    }

    /// Records that `call` failed.
    pub fn record_failure(&mut self, call: &GrantCall, now: MonoTime) {
        let daemon = call.target.home.daemon.clone();
        self.silent.record_failure(daemon, now);
        for want in &call.ask.demands {
            if let Some(cache) = self.caches.get_mut(&want.account) {
                cache.homes[usize::from(want.half & 1)].record_failure(call.target.is_last, now);
                self.due.insert(want.account.clone());
            }
        }
    }

    /// Refuses requests that waited too long, drops expired grants and idle accounts, and finds the
    /// accounts that have a call due.
    pub fn tick(&mut self, now: MonoTime) -> Vec<WaitOutcome> {
        let mut outcomes = Vec::new();
        self.silent.expire(now);
        let patience = self.answer_time.longest();
        self.caches.retain(|account, cache| {
            cache.expire(now);
            serve_waiting(cache, patience, now, &mut outcomes);
            if cache.needs_request(now) {
                self.due.insert(account.clone());
            }
            let is_idle = cache.is_idle(now);
            if is_idle {
                self.dropped_returns += cache.returns.counts();
            }
            !is_idle
        });
        outcomes.sort_unstable_by_key(WaitOutcome::number);
        outcomes
    }

    /// Number of client accounts with tokens, demand or waiting requests.
    #[must_use]
    pub fn account_count(&self) -> usize {
        self.caches.len()
    }

    /// Counts of the returns that callers were told, of all accounts.
    #[must_use]
    pub fn return_counts(&self) -> ReturnCounts {
        let mut sum = self.dropped_returns;
        let counts = self.caches.values().map(|cache| cache.returns.counts());
        counts.for_each(|counts| sum += counts);
        sum
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.caches.values().map(|cache| cache.waiting.len()).sum()
    }
}

fn new_cache(limit: &RateLimit, total: u32, ingress: BootId, now: MonoTime) -> TokenCache {
    let placement = AccountPlacement::new(&limit.account, limit.burst, total);
    let next_half = (ingress.0 as u8) ^ (placement.shard.0 as u8);
    TokenCache::open(limit.clone(), placement, next_half, ingress.0, now)
}

fn apply_give(
    cache: &mut TokenCache,
    half: u8,
    home: BootId,
    call: &GrantCall,
    give: Option<&GrantOutcome>,
    now: MonoTime,
) {
    let state = &mut cache.homes[usize::from(half & 1)];
    let Some(give) = give.filter(|give| **give != GrantOutcome::NotHome) else {
        state.record_not_home(call.target.role, now);
        return;
    };
    state.record_answer(call.target.role, now);
    match give {
        GrantOutcome::Tokens(grant) => {
            let life = Duration::from_micros(u64::from(grant.lifetime_micros));
            let until = call.sent.after(clock_margin::shortened(life));
            cache.add_grant(half, home, grant, until);
            cache.returns.record_answer(false, now);
        }
        GrantOutcome::NoTokens { retry_micros } => {
            state.record_empty(
                call.target.role,
                Duration::from_micros(u64::from(*retry_micros)),
                now,
            );
            cache.returns.record_answer(true, now);
        }
        GrantOutcome::Recorded | GrantOutcome::NotHome => {}
    }
}

fn serve_waiting(
    cache: &mut TokenCache,
    patience: Duration,
    now: MonoTime,
    outcomes: &mut Vec<WaitOutcome>,
) {
    cache.returns.expire(now);
    while let Some(first) = cache.waiting.front().copied() {
        let outcome = if let Some((home, grant)) = cache.spend(first.was_told, now) {
            let account = cache.limit().account.clone();
            let token = AdmittedToken {
                account,
                home,
                grant,
            };
            WaitOutcome::Admitted(first.number, token)
        } else if first.until.has_passed(now) || !cache.may_get_tokens(patience, now) {
            let refusal = cache.refuse(first.deadline, first.was_told, now);
            WaitOutcome::Refused(first.number, refusal)
        } else {
            return;
        };
        cache.waiting.pop_front();
        outcomes.push(outcome);
    }
}
