//! The pool of one half of a shard.

use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::{AccountId, BootId, DaemonId};
use crate::limits::{AccountBucket, AccountPlacement, ShardId, ShareSet};
use crate::resource::RateLimit;
use crate::time::{Deadline, MonoTime};
use crate::wire::{GrantGive, GrantWant, ReturnedLoan, TokenGrant};

/// Of the tokens beyond those that wait, one part in this many goes to one ingress.
const PREFETCH_PARTS: u32 = 4;
/// A loan with less than this part of a grant's life left is no longer drawn on.
const LAST_PARTS: u32 = 4;
/// An ingress that found the bucket empty asks again no sooner.
const EMPTY_WAIT: Duration = Duration::from_millis(100);
/// No grant is shorter, or the way to the ingress would use it up.
const LEAST_LIFE: Duration = Duration::from_millis(100);

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
    loans: Vec<JoinedLoan>,
    buckets: FastMap<AccountId, AccountBucket>,
    last_grant: MonoTime,
    closing: bool,
}

#[derive(Debug)]
struct JoinedLoan {
    loan: PooledLoan,
    joined: MonoTime,
    rest: Duration,
}

impl TokenPool {
    /// Adds or prolongs a loan.
    pub fn join(&mut self, loan: PooledLoan, rest: Duration, now: MonoTime) {
        self.settle(now);
        let share = loan.share;
        if let Some(known) = self.loans.iter_mut().find(|one| one.loan.share == share) {
            if loan.until > known.loan.until {
                known.loan = loan;
            }
            return;
        }
        for bucket in self.buckets.values_mut() {
            if bucket.placement().shares.contains(share) {
                bucket.add_share(rest, now);
            }
        }
        self.loans.push(JoinedLoan {
            loan,
            joined: now,
            rest,
        });
    }

    /// Takes out the loans that have ended.
    pub fn settle(&mut self, now: MonoTime) {
        self.lapse(now, |loan| loan.until.has_passed(now));
    }

    /// Whether no loan is left.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.loans.is_empty()
    }

    /// The shares whose loan is live.
    #[must_use]
    pub fn live(&self, now: MonoTime) -> ShareSet {
        let loans = self.loans.iter().map(|one| &one.loan);
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
    pub fn returned(&self, shard: ShardId) -> Vec<(DaemonId, ReturnedLoan)> {
        let loans = self.loans.iter().map(|one| &one.loan);
        loans
            .map(|loan| {
                let back = ReturnedLoan {
                    shard,
                    shares: ShareSet::one(loan.share),
                    serial: loan.serial,
                };
                (loan.lender.clone(), back)
            })
            .collect()
    }

    /// Accounts with a bucket.
    #[must_use]
    pub fn accounts(&self) -> usize {
        self.buckets.len()
    }

    /// Notes what became of earlier grants.
    pub fn note(&mut self, want: &GrantWant, ingress: BootId, now: MonoTime) {
        self.settle(now);
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
        longest: Duration,
        now: MonoTime,
    ) -> GrantGive {
        let last = longest / LAST_PARTS;
        self.lapse(now, |loan| loan.until.remaining(now) <= last);
        let Some(earliest) = self.earliest(placement.shares).filter(|_| !self.closing) else {
            return GrantGive::NotHome;
        };
        let bucket = self.bucket(&want.account, limit, placement, now);
        bucket.advance(now);
        let most = most_of(want, bucket.available());
        if want.waiting == 0 && want.extra == 0 {
            return GrantGive::Noted;
        }
        let (life, tight) = life_of(bucket, longest);
        let until = now.after(life).min(earliest);
        let tokens = bucket.grant(id, ingress, most, until);
        if tokens == 0 {
            let retry_micros = micros_of(retry_of(bucket));
            return GrantGive::Empty { retry_micros };
        }
        self.last_grant = self.last_grant.max(until.time());
        GrantGive::Tokens(TokenGrant {
            grant: id,
            tokens,
            life_micros: micros_of(until.remaining(now)),
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

    fn earliest(&self, shares: ShareSet) -> Option<Deadline> {
        let loans = self.loans.iter().map(|one| &one.loan);
        loans
            .filter(|loan| shares.contains(loan.share))
            .map(|loan| loan.until)
            .min()
    }

    fn lapse(&mut self, now: MonoTime, ends: impl Fn(&PooledLoan) -> bool) {
        let buckets = &mut self.buckets;
        self.loans.retain(|one| {
            if !ends(&one.loan) {
                return true;
            }
            for bucket in buckets.values_mut() {
                if bucket.placement().shares.contains(one.loan.share) {
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
            .or_insert_with(|| rested_bucket(loans, limit.clone(), placement, now));
        if *bucket.limit() != limit {
            let pooled = pooled_of(loans, placement.shares);
            bucket.set_limit(limit, placement, pooled, now);
        }
        bucket
    }
}

/// The bucket of an account that spent nothing since its shares joined.
fn rested_bucket(
    loans: &[JoinedLoan],
    limit: RateLimit,
    placement: AccountPlacement,
    now: MonoTime,
) -> AccountBucket {
    let mut bucket = AccountBucket::open(limit, placement, now);
    for one in loans {
        if placement.shares.contains(one.loan.share) {
            let rest = one.rest.saturating_add(now.since(one.joined));
            bucket.add_share(rest, now);
        }
    }
    bucket
}

fn pooled_of(loans: &[JoinedLoan], shares: ShareSet) -> u32 {
    let pooled: ShareSet = loans.iter().map(|one| one.loan.share).collect();
    pooled.intersection(shares).len()
}

/// All that wait, and a part of the rest for what is expected.
///
/// The last tokens go only to requests that wait: kept in advance at one ingress they would be
/// missed at another.
fn most_of(want: &GrantWant, available: u32) -> u32 {
    let beyond = available.saturating_sub(want.waiting);
    let least = u32::from(want.waiting == 0);
    let prefetch = want.extra.min((beyond / PREFETCH_PARTS).max(least));
    want.waiting.saturating_add(prefetch)
}

/// How long a grant may live, and whether the burst is short for it.
fn life_of(bucket: &AccountBucket, longest: Duration) -> (Duration, bool) {
    let fill = bucket.fill_time();
    let tight = fill <= longest / 2;
    let wanted = if tight { fill / 2 } else { fill };
    let life = wanted.clamp(LEAST_LIFE.min(longest), longest);
    (life, tight)
}

/// When an ingress should ask an empty bucket again.
fn retry_of(bucket: &AccountBucket) -> Duration {
    let half = (bucket.capacity() / 2).max(1);
    let first = bucket.time_to(1).unwrap_or(EMPTY_WAIT);
    let batch = bucket.time_to(half).unwrap_or(EMPTY_WAIT);
    first.max(batch.min(EMPTY_WAIT))
}

fn micros_of(span: Duration) -> u32 {
    u32::try_from(span.as_micros()).unwrap_or(u32::MAX)
}
