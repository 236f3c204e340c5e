//! Issues grants of rate limit tokens from this daemon's token buckets to the daemons that admit
//! requests.

use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::{AccountId, BootId, DaemonId};
use crate::limits::{AccountPlacement, PoolKey, PooledLoan, ShareSet, TokenPool};
use crate::resource::RateLimit;
use crate::time::MonoTime;
use crate::wire::{GrantDemand, GrantOutcome, GrantReply, GrantRequest, ReturnedLoan};

/// All token pools of a home.
#[derive(Debug)]
pub struct GrantIssuer {
    boot: BootId,
    total: u32,
    grant: Duration,
    next_grant: u64,
    pools: FastMap<PoolKey, TokenPool>,
}

impl GrantIssuer {
    /// Creates an issuer without pools. `total` is the number of shares that each limit is divided
    /// into, and `grant` the longest life of a grant.
    #[must_use]
    pub fn open(boot: BootId, total: u32, grant: Duration) -> Self {
        Self {
            boot,
            total,
            grant,
            next_grant: 0,
            pools: FastMap::default(),
        }
    }

    /// Adds a loan, or extends it if the share is still pooled.
    ///
    /// `unused_for` is a lower bound on how long the share had been unused when the lender
    /// answered.
    pub fn add_loan(
        &mut self,
        key: PoolKey,
        loan: PooledLoan,
        unused_for: Duration,
        now: MonoTime,
    ) {
        if !loan.until.has_passed(now) {
            self.pools
                .entry(key)
                .or_default()
                .add_loan(loan, unused_for, now);
        }
    }

    /// Removes expired loans and pools without loans.
    pub fn expire_loans(&mut self, now: MonoTime) {
        self.pools.retain(|_, pool| {
            pool.expire_loans(now);
            !pool.is_empty()
        });
    }

    /// The shares in the pool `key` whose loan has not expired.
    pub fn live_shares(&self, key: PoolKey, now: MonoTime) -> ShareSet {
        self.pools
            .get(&key)
            .map_or(ShareSet::EMPTY, |pool| pool.live_shares(now))
    }

    /// The keys of the pools with loans, sorted.
    #[must_use]
    pub fn pools(&self) -> Vec<PoolKey> {
        let mut pools: Vec<_> = self.pools.keys().copied().collect();
        pools.sort_unstable();
        pools
    }

    /// Stops granting from the pool `key`. Once all its grants have expired, removes it and returns
    /// its loans, each with its lender.
    pub fn close(&mut self, key: PoolKey, now: MonoTime) -> Vec<(DaemonId, ReturnedLoan)> {
        let Some(pool) = self.pools.get_mut(&key) else {
            return Vec::new();
        };
        if !pool.close(now) {
            return Vec::new();
        }
        let loans = pool.loans_to_return(key.shard);
        self.pools.remove(&key);
        loans
    }

    /// Resumes granting from a pool that was being closed.
    pub fn reopen(&mut self, key: PoolKey) {
        if let Some(pool) = self.pools.get_mut(&key) {
            pool.reopen();
        }
    }

    /// Answers a token request. `now` must be read after the request was received: a grant must not
    /// start before it.
    pub fn grant(
        &mut self,
        ask: &GrantRequest,
        rate_of: &dyn Fn(&AccountId) -> Option<RateLimit>,
        now: MonoTime,
    ) -> GrantReply {
        let wants = ask.demands.iter();
        let gives = wants
            .map(|want| self.issue(ask, want, rate_of(&want.account), now))
            .collect();
        GrantReply {
            home: self.boot,
            outcomes: gives,
        }
    }

    /// Drops the buckets that are full.
    pub fn prune(&mut self, now: MonoTime) {
        self.pools.values_mut().for_each(|pool| pool.prune(now));
    }

    /// Number of token buckets in all pools.
    #[must_use]
    pub fn account_count(&self) -> usize {
        self.pools.values().map(TokenPool::account_count).sum()
    }

    fn issue(
        &mut self,
        ask: &GrantRequest,
        want: &GrantDemand,
        limit: Option<RateLimit>,
        now: MonoTime,
    ) -> GrantOutcome {
        let Some(limit) = limit else {
            return GrantOutcome::NotHome;
        };
        let placement = AccountPlacement::new(&want.account, limit.burst, self.total);
        let key = PoolKey {
            shard: placement.shard,
            half: want.half & 1,
        };
        let Some(pool) = self.pools.get_mut(&key) else {
            return GrantOutcome::NotHome;
        };
        if ask.home == self.boot {
            pool.record_uses(want, ask.ingress, now);
        }
        let next = self.next_grant + 1;
        let give = pool.grant(next, ask.ingress, want, (limit, placement), self.grant, now);
        if matches!(give, GrantOutcome::Tokens(_)) {
            self.next_grant = next;
        }
        give
    }
}
