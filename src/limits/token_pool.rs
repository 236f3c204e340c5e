//! A pool of borrowed shares of the rate limits and the token buckets that they fill.

use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::{AccountId, BootId, DaemonId};
use crate::limits::{AccountPlacement, PooledLoan, ShardId, ShareSet, TokenBucket};
use crate::resource::RateLimit;
use crate::time::{Deadline, MonoTime};
use crate::wire::{GrantDemand, GrantOutcome, ReturnedLoan, TokenGrant};

/// One ingress may prefetch at most 1/4 of the tokens that are left after its waiting requests.
const PREFETCH_DIVISOR: u32 = 4;
/// In a shortage, tokens below 1/8 of the capacity go only to waiting requests.
const SPARE_DIVISOR: u32 = 8;
/// A loan that expires within 1/4 of the longest life of a grant backs no grant while another one can:
/// it would shorten the lives of all grants.
const CLOSING_DIVISOR: u32 = 4;
/// Shortest rest of a loan that still backs grants if all loans expire soon. An ingress of the same
/// region receives a grant in a few milliseconds and serves its waiting requests at once.
const MIN_LAST_LIFE: Duration = Duration::from_millis(20);
/// Longest wait for a batch of tokens before an ingress that found the bucket empty retries. It
/// waits longer only while the bucket has not a single token.
const MAX_BATCH_WAIT: Duration = Duration::from_millis(100);
/// Shortest life of a grant: a shorter one could expire on its way to the ingress.
const MIN_GRANT_LIFE: Duration = Duration::from_millis(100);

/// Loans for one half of a shard and the buckets that they fill, by client account.
#[derive(Debug, Default)]
pub struct TokenPool {
    loans: Vec<LoanEntry>,
    buckets: FastMap<AccountId, TokenBucket>,
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
    /// Adds a loan or extends it. `unused_for` is how long the share had been unused.
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

    /// Removes expired loans.
    pub fn expire_loans(&mut self, now: MonoTime) {
        let buckets = &mut self.buckets;
        self.loans.retain(|entry| {
            if !entry.loan.until.has_passed(now) {
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

    /// Whether no loan is left.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.loans.is_empty()
    }

    /// The shares whose loan has not expired.
    #[must_use]
    pub fn live_shares(&self, now: MonoTime) -> ShareSet {
        let loans = self.loans.iter().map(|entry| &entry.loan);
        loans
            .filter(|loan| !loan.until.has_passed(now))
            .map(|loan| loan.share)
            .collect()
    }

    /// Stops granting. Returns whether every grant has expired, so that the loans can be returned.
    pub fn close(&mut self, now: MonoTime) -> bool {
        self.closing = true;
        now >= self.last_grant
    }

    /// Resumes granting.
    pub const fn reopen(&mut self) {
        self.closing = false;
    }

    /// The messages that return all loans to their lenders.
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

    /// Number of client accounts with a bucket.
    #[must_use]
    pub fn account_count(&self) -> usize {
        self.buckets.len()
    }

    /// Records the uses of earlier grants that an ingress reported.
    pub fn record_uses(&mut self, want: &GrantDemand, ingress: BootId, now: MonoTime) {
        self.expire_loans(now);
        if let Some(bucket) = self.buckets.get_mut(&want.account) {
            bucket.advance(now);
            want.uses
                .iter()
                .for_each(|report| bucket.record_use(ingress, report));
        }
    }

    /// Grants tokens from the bucket of an account, for at most `max_life`.
    pub fn grant(
        &mut self,
        id: u64,
        ingress: BootId,
        want: &GrantDemand,
        (limit, placement): (RateLimit, AccountPlacement),
        max_life: Duration,
        now: MonoTime,
    ) -> GrantOutcome {
        self.expire_loans(now);
        let Some((backing, earliest)) =
            backing_loans(&self.loans, placement.shares, max_life, now).filter(|_| !self.closing)
        else {
            return GrantOutcome::NotHome;
        };
        let bucket = self.bucket(&want.account, limit, placement, now);
        bucket.set_backing(backing, now);
        let most = tokens_to_grant(want, bucket);
        if want.waiting == 0 && want.prefetch == 0 {
            return GrantOutcome::Recorded;
        }
        let (life, tight) = grant_life(bucket, max_life);
        let until = now.after(life).min(earliest);
        let tokens = bucket.grant(id, ingress, most, until);
        if tokens == 0 {
            let retry_micros = to_micros(retry_wait(bucket));
            return GrantOutcome::NoTokens { retry_micros };
        }
        self.last_grant = self.last_grant.max(until.time());
        GrantOutcome::Tokens(TokenGrant {
            grant: id,
            tokens,
            lifetime_micros: to_micros(until.remaining(now)),
            report_at_once: tight,
        })
    }

    /// Drops full buckets: a new bucket would be full too.
    pub fn prune(&mut self, now: MonoTime) {
        self.expire_loans(now);
        self.buckets.retain(|_, bucket| {
            bucket.set_backing(u32::MAX, now);
            !bucket.is_full()
        });
    }

    fn bucket(
        &mut self,
        account: &AccountId,
        limit: RateLimit,
        placement: AccountPlacement,
        now: MonoTime,
    ) -> &mut TokenBucket {
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

/// Creates the bucket of an account that spent nothing since its shares were added.
fn new_bucket(
    loans: &[LoanEntry],
    limit: RateLimit,
    placement: AccountPlacement,
    now: MonoTime,
) -> TokenBucket {
    let mut bucket = TokenBucket::open(limit, placement, now);
    for entry in loans {
        if placement.shares.contains(entry.loan.share) {
            let unused_for = entry.unused_for.saturating_add(now.since(entry.added));
            bucket.add_share(unused_for, now);
        }
    }
    bucket
}

/// Number of loans of `shares` that back a grant at `now`, and when the first of them expires: those
/// that do not expire soon, or else all that last long enough for a grant to be used.
fn backing_loans(
    loans: &[LoanEntry],
    shares: ShareSet,
    max_life: Duration,
    now: MonoTime,
) -> Option<(u32, Deadline)> {
    let lasting = |least: Duration| {
        let loans = loans.iter().map(|entry| &entry.loan);
        let own = loans.filter(|loan| shares.contains(loan.share));
        let lasting = own.filter(|loan| loan.until.remaining(now) > least);
        let ends = lasting.map(|loan| (1, loan.until));
        ends.reduce(|(count, earliest), (_, end)| (count + 1, earliest.min(end)))
    };
    let closing = max_life / CLOSING_DIVISOR;
    lasting(closing).or_else(|| lasting(closing.min(MIN_LAST_LIFE)))
}

fn pooled_count(loans: &[LoanEntry], shares: ShareSet) -> u32 {
    let pooled: ShareSet = loans.iter().map(|entry| entry.loan.share).collect();
    pooled.intersection(shares).len()
}

/// Number of tokens to grant: one for each waiting request and a fraction of the rest to prefetch.
///
/// The last tokens, and in a shortage the last eighth of a bucket's, go only to waiting requests:
/// prefetched by one ingress, they would be missing at another.
fn tokens_to_grant(want: &GrantDemand, bucket: &TokenBucket) -> u32 {
    let available = bucket.available();
    let beyond = available.saturating_sub(want.waiting);
    let has_spare = !bucket.is_short() || available >= bucket.capacity() / SPARE_DIVISOR;
    let least = u32::from(want.waiting == 0 && has_spare);
    let prefetch = want.prefetch.min((beyond / PREFETCH_DIVISOR).max(least));
    want.waiting.saturating_add(prefetch)
}

/// The life of a grant, and whether the bucket fills so fast that the ingress must report spent
/// tokens at once.
fn grant_life(bucket: &TokenBucket, max_life: Duration) -> (Duration, bool) {
    let fill = bucket.fill_time();
    let tight = fill <= max_life / 2;
    let wanted = if tight { fill / 2 } else { fill };
    let life = wanted.clamp(MIN_GRANT_LIFE.min(max_life), max_life);
    (life, tight)
}

/// How long an ingress should wait before it retries on an empty bucket: until there is one token,
/// and for up to `MAX_BATCH_WAIT` until half of the bucket is full.
fn retry_wait(bucket: &TokenBucket) -> Duration {
    let half = (bucket.capacity() / 2).max(1);
    let first = bucket.time_to(1).unwrap_or(MAX_BATCH_WAIT);
    let batch = bucket.time_to(half).unwrap_or(MAX_BATCH_WAIT);
    first.max(batch.min(MAX_BATCH_WAIT))
}

fn to_micros(span: Duration) -> u32 {
    u32::try_from(span.as_micros()).unwrap_or(u32::MAX)
}
