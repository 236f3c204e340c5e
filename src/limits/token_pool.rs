//! The pool of one half of a shard.

use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::{AccountId, BootId, DaemonId};
use crate::limits::{AccountBucket, AccountPlacement, ShardId, ShareSet};
use crate::resource::RateLimit;
use crate::time::{Deadline, MonoTime};
use crate::wire::{GrantGive, GrantWant, ReturnedLoan, TokenGrant};

/// Of the tokens beyond those that wait, one part in this many goes to one ingress.
const PREFETCH_DIVISOR: u32 = 4;
/// A loan with less than this part of a grant's life left is no longer drawn on.
const CLOSING_DIVISOR: u32 = 4;
/// An ingress that found the bucket empty asks again no sooner.
const MAX_BATCH_WAIT: Duration = Duration::from_millis(100);
/// No grant is shorter, or the way to the ingress would use it up.
const MIN_GRANT_LIFE: Duration = Duration::from_millis(100);

/// A share lent to this home.
#[derive(Debug, Clone)]
pub struct PooledLoan {
    /// The share.
    pub share: u8,
    /// Its lender.
    pub lender: DaemonId,
    /// Serial of the answer that last renewed it.
    pub serial: u64,
    /// When it ends by this home's clock, counted from when it asked.
    pub until: Deadline,
}

/// Loans of one half of a shard and the buckets they feed.
#[derive(Debug, Default)]
pub struct TokenPool {
    loans: Vec<LoanEntry>,
    buckets: FastMap<AccountId, AccountBucket>,
    last_grant: MonoTime,
    closing: bool,
}

#[derive(Debug)]
struct LoanEntry {
    loan: PooledLoan,
    added: MonoTime,
    unused_for: Duration,
}

impl TokenPool {
    /// Adds or prolongs a loan.
    pub fn add_loan(&mut self, loan: PooledLoan, unused_for: Duration, now: MonoTime) {
        self.expire_loans(now);
        let share = loan.share;
        if let Some(known) = self
            .loans
            .iter_mut()
            .find(|entry| entry.loan.share == share)
        {
            if loan.until > known.loan.until {
                known.loan = loan;
            }
            return;
        }
        for bucket in self.buckets.values_mut() {
            if bucket.placement().shares.contains(share) {
                bucket.add_share(unused_for, now);
            }
        }
        self.loans.push(LoanEntry {
            loan,
            added: now,
            unused_for,
        });
    }

    /// Takes out the loans that have ended.
    pub fn expire_loans(&mut self, now: MonoTime) {
        self.remove_loans(now, |loan| loan.until.has_passed(now));
    }

    /// Whether no loan is left.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.loans.is_empty()
    }

    /// The shares whose loan is live.
    #[must_use]
    pub fn live_shares(&self, now: MonoTime) -> ShareSet {
        let loans = self.loans.iter().map(|entry| &entry.loan);
        loans
            .filter(|loan| !loan.until.has_passed(now))
            .map(|loan| loan.share)
            .collect()
    }

    /// Stops granting; whether no grant can be out any more.
    pub fn close(&mut self, now: MonoTime) -> bool {
        self.closing = true;
        now >= self.last_grant
    }

    /// Grants again.
    pub const fn reopen(&mut self) {
        self.closing = false;
    }

    /// All loans, to be returned.
    #[must_use]
    pub fn loans_to_return(&self, shard: ShardId) -> Vec<(DaemonId, ReturnedLoan)> {
        let loans = self.loans.iter().map(|entry| &entry.loan);
        loans
            .map(|loan| {
                let back = ReturnedLoan {
                    shard,
                    shares: ShareSet::single(loan.share),
                    serial: loan.serial,
                };
                (loan.lender.clone(), back)
            })
            .collect()
    }

    /// Accounts with a bucket.
    #[must_use]
    pub fn account_count(&self) -> usize {
        self.buckets.len()
    }

    /// Notes what became of earlier grants.
    pub fn record_uses(&mut self, want: &GrantWant, ingress: BootId, now: MonoTime) {
        self.expire_loans(now);
        if let Some(bucket) = self.buckets.get_mut(&want.account) {
            bucket.advance(now);
            want.uses
                .iter()
                .for_each(|report| bucket.record_use(ingress, report));
        }
    }

    /// Grants tokens from the bucket of an account.
    pub fn grant(
        &mut self,
        id: u64,
        ingress: BootId,
        want: &GrantWant,
        (limit, placement): (RateLimit, AccountPlacement),
        max_life: Duration,
        now: MonoTime,
    ) -> GrantGive {
        let last = max_life / CLOSING_DIVISOR;
        self.remove_loans(now, |loan| loan.until.remaining(now) <= last);
        let Some(earliest) = self
            .earliest_expiry(placement.shares)
            .filter(|_| !self.closing)
        else {
            return GrantGive::NotHome;
        };
        let bucket = self.bucket(&want.account, limit, placement, now);
        bucket.advance(now);
        let most = tokens_to_grant(want, bucket.available());
        if want.waiting == 0 && want.extra == 0 {
            return GrantGive::Noted;
        }
        let (life, tight) = grant_life(bucket, max_life);
        let until = now.after(life).min(earliest);
        let tokens = bucket.grant(id, ingress, most, until);
        if tokens == 0 {
            let retry_micros = to_micros(retry_wait(bucket));
            return GrantGive::Empty { retry_micros };
        }
        self.last_grant = self.last_grant.max(until.time());
        GrantGive::Tokens(TokenGrant {
            grant: id,
            tokens,
            life_micros: to_micros(until.remaining(now)),
            tight,
        })
    }

    /// Drops the buckets that hold no news.
    pub fn prune(&mut self, now: MonoTime) {
        self.buckets.retain(|_, bucket| {
            bucket.advance(now);
            !bucket.is_full()
        });
    }

    fn earliest_expiry(&self, shares: ShareSet) -> Option<Deadline> {
        let loans = self.loans.iter().map(|entry| &entry.loan);
        loans
            .filter(|loan| shares.contains(loan.share))
            .map(|loan| loan.until)
            .min()
    }

    fn remove_loans(&mut self, now: MonoTime, ends: impl Fn(&PooledLoan) -> bool) {
        let buckets = &mut self.buckets;
        self.loans.retain(|entry| {
            if !ends(&entry.loan) {
                return true;
            }
            for bucket in buckets.values_mut() {
                if bucket.placement().shares.contains(entry.loan.share) {
                    bucket.remove_share(now);
                }
            }
            false
        });
    }

    fn bucket(
        &mut self,
        account: &AccountId,
        limit: RateLimit,
        placement: AccountPlacement,
        now: MonoTime,
    ) -> &mut AccountBucket {
        let loans = &self.loans;
        let bucket = self
            .buckets
            .entry(account.clone())
            .or_insert_with(|| new_bucket(loans, limit.clone(), placement, now));
        if *bucket.limit() != limit {
            let pooled = pooled_count(loans, placement.shares);
            bucket.set_limit(limit, placement, pooled, now);
        }
        bucket
    }
}

/// The bucket of an account that spent nothing since its shares joined.
fn new_bucket(
    loans: &[LoanEntry],
    limit: RateLimit,
    placement: AccountPlacement,
    now: MonoTime,
) -> AccountBucket {
    let mut bucket = AccountBucket::open(limit, placement, now);
    for entry in loans {
        if placement.shares.contains(entry.loan.share) {
            let unused_for = entry.unused_for.saturating_add(now.since(entry.added));
            bucket.add_share(unused_for, now);
        }
    }
    bucket
}

fn pooled_count(loans: &[LoanEntry], shares: ShareSet) -> u32 {
    let pooled: ShareSet = loans.iter().map(|entry| entry.loan.share).collect();
    pooled.intersection(shares).len()
}

/// All that wait, and a part of the rest for what is expected.
///
/// The last tokens go only to requests that wait: kept in advance at one ingress they would be
/// missed at another.
fn tokens_to_grant(want: &GrantWant, available: u32) -> u32 {
    let beyond = available.saturating_sub(want.waiting);
    let least = u32::from(want.waiting == 0);
    let prefetch = want.extra.min((beyond / PREFETCH_DIVISOR).max(least));
    want.waiting.saturating_add(prefetch)
}

/// How long a grant may live, and whether the burst is short for it.
fn grant_life(bucket: &AccountBucket, max_life: Duration) -> (Duration, bool) {
    let fill = bucket.fill_time();
    let tight = fill <= max_life / 2;
    let wanted = if tight { fill / 2 } else { fill };
    let life = wanted.clamp(MIN_GRANT_LIFE.min(max_life), max_life);
    (life, tight)
}

/// When an ingress should ask an empty bucket again.
fn retry_wait(bucket: &AccountBucket) -> Duration {
    let half = (bucket.capacity() / 2).max(1);
    let first = bucket.time_to(1).unwrap_or(MAX_BATCH_WAIT);
    let batch = bucket.time_to(half).unwrap_or(MAX_BATCH_WAIT);
    first.max(batch.min(MAX_BATCH_WAIT))
}

fn to_micros(span: Duration) -> u32 {
    u32::try_from(span.as_micros()).unwrap_or(u32::MAX)
}
