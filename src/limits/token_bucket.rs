//! A token bucket for one client account. It fills at the part of the account's rate that this
//! daemon may grant.

use std::time::Duration;

use crate::ids::BootId;
use crate::limits::AccountPlacement;
use crate::resource::RateLimit;
use crate::time::{Deadline, MonoTime};
use crate::wire::GrantUsage;

/// Parts in a token for a single share: a rate of 1/1000 event per second yields one part per
/// microsecond.
const PARTS_PER_TOKEN: u64 = 1_000_000_000;

/// How long a bucket counts as short of tokens after it had none.
const SHORTAGE_MEMORY: Duration = Duration::from_secs(5);

/// A token bucket in exact integer arithmetic.
///
/// One token is `PARTS_PER_TOKEN` parts times the number of the account's shares, so that the rate
/// and burst of a single share are whole numbers.
#[derive(Debug)]
pub struct TokenBucket {
    limit: RateLimit,
    placement: AccountPlacement,
    /// Tokens that can be granted, in parts.
    level: u64,
    /// Number of the account's shares that are pooled here.
    pooled: u32,
    /// Number of the pooled shares whose loans back grants. The others add tokens until their loans
    /// expire, but no capacity, so that the tokens that are left then fit the remaining shares.
    backing: u32,
    updated: MonoTime,
    grants: Vec<OpenGrant>,
    /// When the bucket last had no token for an ingress.
    short_at: Option<MonoTime>,
}

/// A grant that has not expired and that its ingress has not closed.
#[derive(Debug, Clone, Copy)]
struct OpenGrant {
    id: u64,
    ingress: BootId,
    tokens: u32,
    spent: u32,
    until: Deadline,
}

impl OpenGrant {
    const fn outstanding(&self) -> u32 {
        self.tokens - self.spent
    }
}

impl TokenBucket {
    /// Creates an empty bucket without shares.
    #[must_use]
    pub const fn open(limit: RateLimit, placement: AccountPlacement, now: MonoTime) -> Self {
        Self {
            limit,
            placement,
            level: 0,
            pooled: 0,
            backing: 0,
            updated: now,
            grants: Vec::new(),
            short_at: None,
        }
    }

    /// The rate limit that the bucket enforces.
    #[must_use]
    pub const fn limit(&self) -> &RateLimit {
        &self.limit
    }

    /// The shard and the shares of the account.
    #[must_use]
    pub const fn placement(&self) -> &AccountPlacement {
        &self.placement
    }

    /// Changes the limit. Open grants still count against the burst, and the change adds no tokens.
    pub fn set_limit(
        &mut self,
        limit: RateLimit,
        placement: AccountPlacement,
        pooled: u32,
        now: MonoTime,
    ) {
        self.advance(now);
        if placement != self.placement {
            self.level = 0;
        }
        self.limit = limit;
        self.placement = placement;
        self.pooled = pooled;
        self.backing = pooled;
        self.level = self.level.min(self.max_level());
    }

    /// Adds a share that no one used for `unused_for`, with the tokens that it accrued in that
    /// time.
    pub fn add_share(&mut self, unused_for: Duration, now: MonoTime) {
        self.advance(now);
        self.pooled += 1;
        self.backing += 1;
        let accrued = self.accrual(1, unused_for).min(self.share_capacity_parts());
        self.level = (self.level + accrued).min(self.max_level());
    }

    /// Removes a share. It accrues nothing for the time since the last update.
    pub fn remove_share(&mut self, now: MonoTime) {
        self.pooled = self.pooled.saturating_sub(1);
        self.backing = self.backing.min(self.pooled);
        self.advance(now);
    }

    /// Sets the number of pooled shares whose loans back grants, at most all of them, and accrues
    /// tokens up to `now`.
    pub fn set_backing(&mut self, backing: u32, now: MonoTime) {
        self.backing = backing.min(self.pooled);
        self.advance(now);
    }

    /// Accrues tokens up to `now`. A grant that expires before then stops counting against the
    /// burst at its expiry.
    pub fn advance(&mut self, now: MonoTime) {
        while let Some(end) = self.next_expiry(now) {
            self.accrue(end);
            self.grants.retain(|grant| !grant.until.has_passed(end));
        }
        self.accrue(now);
    }

    /// Records the use of a grant that its ingress reported. A repeated or late report has no
    /// effect.
    pub fn record_use(&mut self, ingress: BootId, report: &GrantUsage) {
        let found = self
            .grants
            .iter_mut()
            .find(|grant| grant.id == report.grant && grant.ingress == ingress);
        let Some(grant) = found else {
            return;
        };
        grant.spent = grant.spent.max(report.spent.min(grant.tokens));
        if report.closed {
            let unused = u64::from(grant.outstanding());
            self.level += unused * self.parts_per_token();
            self.grants
                .retain(|grant| grant.id != report.grant || grant.ingress != ingress);
        }
    }

    /// Opens a grant of up to `most` tokens that expires at `until`. Returns the number of tokens,
    /// or 0 if the bucket has none.
    pub fn grant(&mut self, id: u64, ingress: BootId, most: u32, until: Deadline) -> u32 {
        let tokens = most.min(self.available());
        if tokens == 0 {
            if self.available() == 0 {
                self.short_at = Some(self.updated);
            }
            return 0;
        }
        self.level -= u64::from(tokens) * self.parts_per_token();
        self.grants.push(OpenGrant {
            id,
            ingress,
            tokens,
            spent: 0,
            until,
        });
        tokens
    }

    /// Whether the bucket had no token for an ingress recently.
    #[must_use]
    pub fn is_short(&self) -> bool {
        self.short_at
            .is_some_and(|short_at| self.updated.since(short_at) < SHORTAGE_MEMORY)
    }

    /// Number of whole tokens that can be granted.
    #[must_use]
    pub fn available(&self) -> u32 {
        u32::try_from(self.level / self.parts_per_token()).unwrap_or(u32::MAX)
    }

    /// Time until the bucket holds `tokens` tokens, or `None` if it has no share.
    #[must_use]
    pub fn time_to(&self, tokens: u32) -> Option<Duration> {
        let missing = (u64::from(tokens) * self.parts_per_token()).saturating_sub(self.level);
        let speed = self.limit.rate.milli_per_second() * u64::from(self.pooled);
        (speed > 0).then(|| Duration::from_micros(missing.div_ceil(speed)))
    }

    /// Time in which an empty bucket fills.
    #[must_use]
    pub fn fill_time(&self) -> Duration {
        let parts = self.share_capacity_parts();
        Duration::from_micros(parts / self.limit.rate.milli_per_second())
    }

    /// Capacity in whole tokens, given the shares that are pooled.
    #[must_use]
    pub fn capacity(&self) -> u32 {
        u32::try_from(self.capacity_parts() / self.parts_per_token()).unwrap_or(u32::MAX)
    }

    /// Whether the bucket is full and has no open grant. Such a bucket can be dropped, since a new
    /// one would be full too.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.grants.is_empty() && self.level >= self.capacity_parts()
    }

    fn next_expiry(&self, now: MonoTime) -> Option<MonoTime> {
        let ends = self.grants.iter().map(|grant| grant.until.time());
        ends.filter(|end| *end <= now).min()
    }

    fn accrue(&mut self, now: MonoTime) {
        let accrued = self.accrual(self.pooled, now.since(self.updated));
        self.level = self.level.saturating_add(accrued).min(self.max_level());
        self.updated = self.updated.max(now);
    }

    fn accrual(&self, shares: u32, span: Duration) -> u64 {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        let speed = self.limit.rate.milli_per_second() * u64::from(shares);
        micros.saturating_mul(speed)
    }

    /// Highest level, in parts: the capacity less the unspent tokens of open grants.
    fn max_level(&self) -> u64 {
        let out: u64 = self
            .grants
            .iter()
            .map(|grant| u64::from(grant.outstanding()))
            .sum();
        self.capacity_parts()
            .saturating_sub(out * self.parts_per_token())
    }

    fn capacity_parts(&self) -> u64 {
        self.share_capacity_parts() * u64::from(self.backing)
    }

    fn share_capacity_parts(&self) -> u64 {
        u64::from(self.limit.burst.get()) * PARTS_PER_TOKEN
    }

    fn parts_per_token(&self) -> u64 {
        PARTS_PER_TOKEN * u64::from(self.placement.shares.len())
    }
}
