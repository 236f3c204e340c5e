//! Each daemon alone, with an equal part of every rate.

use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::AccountId;
use crate::resource::RateLimit;
use crate::time::MonoTime;

/// One token bucket a client account, of this daemon's part of its rate and burst.
#[derive(Debug, Default)]
pub struct StaticLimiter {
    buckets: FastMap<AccountId, (f64, MonoTime)>,
}

impl StaticLimiter {
    /// Takes a token of a `parts`-th of `limit`.
    ///
    /// # Errors
    /// The time until the next token when there is none.
    pub fn admit(&mut self, limit: &RateLimit, parts: u32, now: MonoTime) -> Result<(), Duration> {
        let rate = limit.rate.as_f64() / f64::from(parts);
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
