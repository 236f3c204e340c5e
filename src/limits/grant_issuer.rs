//! A home's pools: the shares lent to it and a bucket per client account.

use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::{AccountId, BootId, DaemonId};
use crate::limits::{AccountPlacement, PoolKey, PooledLoan, ShareSet, TokenPool};
use crate::resource::RateLimit;
use crate::time::MonoTime;
use crate::wire::{GrantAnswer, GrantAsk, GrantGive, GrantWant, ReturnedLoan};

/// All pools of a home.
#[derive(Debug)]
pub struct GrantIssuer {
    boot: BootId,
    total: u32,
    grant: Duration,
    next_grant: u64,
    pools: FastMap<PoolKey, TokenPool>,
}

impl GrantIssuer {
    /// A ledger without pools, for rates cut into `total` shares and grants of at most `grant`.
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

    /// Adds a loan, or prolongs it when the share is still pooled.
    ///
    /// `rest` is how long the share had surely been unused when the lender answered.
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

    /// Takes out the loans that have ended and the pools that are empty.
    pub fn expire_loans(&mut self, now: MonoTime) {
        self.pools.retain(|_, pool| {
            pool.expire_loans(now);
            !pool.is_empty()
        });
    }

    /// The shares of `key` whose loan is live.
    pub fn live_shares(&self, key: PoolKey, now: MonoTime) -> ShareSet {
        self.pools
            .get(&key)
            .map_or(ShareSet::EMPTY, |pool| pool.live_shares(now))
    }

    /// The cells with loans, in order.
    #[must_use]
    pub fn pools(&self) -> Vec<PoolKey> {
        let mut pools: Vec<_> = self.pools.keys().copied().collect();
        pools.sort_unstable();
        pools
    }

    /// Stops granting from `key`; gives its loans up once no grant is out.
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

    /// Grants again from a key that was being closed.
    pub fn reopen(&mut self, key: PoolKey) {
        if let Some(pool) = self.pools.get_mut(&key) {
            pool.reopen();
        }
    }

    /// Answers an ingress; `now` must be read after the ask came.
    pub fn grant(
        &mut self,
        ask: &GrantAsk,
        rate_of: &dyn Fn(&AccountId) -> Option<RateLimit>,
        now: MonoTime,
    ) -> GrantAnswer {
        let wants = ask.wants.iter();
        let gives = wants
            .map(|want| self.issue(ask, want, rate_of(&want.account), now))
            .collect();
        GrantAnswer {
            home: self.boot,
            gives,
        }
    }

    /// Forgets the accounts that hold no news.
    pub fn prune(&mut self, now: MonoTime) {
        self.pools.values_mut().for_each(|pool| pool.prune(now));
    }

    /// Accounts with a bucket, over all pools.
    #[must_use]
    pub fn account_count(&self) -> usize {
        self.pools.values().map(TokenPool::account_count).sum()
    }

    fn issue(
        &mut self,
        ask: &GrantAsk,
        want: &GrantWant,
        limit: Option<RateLimit>,
        now: MonoTime,
    ) -> GrantGive {
        let Some(limit) = limit else {
            return GrantGive::NotHome;
        };
        let placement = AccountPlacement::new(&want.account, limit.burst, self.total);
        let key = PoolKey {
            shard: placement.shard,
            half: want.half & 1,
        };
        let Some(pool) = self.pools.get_mut(&key) else {
            return GrantGive::NotHome;
        };
        if ask.home == self.boot {
            pool.record_uses(want, ask.ingress, now);
        }
        let next = self.next_grant + 1;
        let give = pool.grant(next, ask.ingress, want, (limit, placement), self.grant, now);
        if matches!(give, GrantGive::Tokens(_)) {
            self.next_grant = next;
        }
        give
    }
}
