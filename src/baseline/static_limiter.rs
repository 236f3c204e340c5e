//! Static rate limiting: each daemon enforces an equal part of every rate on its own.

use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::AccountId;
use crate::resource::RateLimit;
use crate::time::MonoTime;

/// One token bucket per client account, with this daemon's part of the account's rate and burst.
#[derive(Debug, Default)]
pub struct StaticLimiter {
    /// Tokens in each bucket and when they were last updated.
    buckets: FastMap<AccountId, (f64, MonoTime)>,
}

impl StaticLimiter {
    /// Takes a token from the bucket of the account; `parts` is the number of daemons that divide
    /// `limit` equally.
    ///
    /// # Errors
    /// Returns the time until the next token if the bucket is empty.
    pub fn admit(&mut self, limit: &RateLimit, parts: u32, now: MonoTime) -> Result<(), Duration> {
        let rate = limit.rate.events_per_second() / f64::from(parts);
        let burst = (f64::from(limit.burst.get()) / f64::from(parts)).max(1.0);
        let bucket = self
            .buckets
            .entry(limit.account.clone())
            .or_insert((burst, now));
        let refilled = bucket.0 + now.since(bucket.1).as_secs_f64() * rate;
        *bucket = (refilled.min(burst), now);
        if bucket.0 < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - bucket.0) / rate));
        }
        bucket.0 -= 1.0;
        Ok(())
    }
}
