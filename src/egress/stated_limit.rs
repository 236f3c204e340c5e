//! Limit on requests per second that an instance states in its responses.

use std::time::Duration;

use serde::Serialize;

use crate::time::MonoTime;
use crate::units::Rate;

/// Time in which an unused limit adds up.
const BURST_TIME: Duration = Duration::from_secs(1);
/// Longest time after which a refused request may be offered again.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);

/// Keeps the requests to an instance to the limit that its responses state, as a token bucket.
///
/// All requests to an instance pass its egress, so that one bucket limits those of the whole fleet.
#[derive(Debug, Clone, Default, Serialize)]
pub struct StatedLimit {
    /// The limit in force; none while the instance states none.
    bucket: Option<LimitBucket>,
}

#[derive(Debug, Clone, Copy, Serialize)]
struct LimitBucket {
    rate: Rate,
    /// When the limit was stated last.
    stated_at: MonoTime,
    /// Requests that may be sent, as of `updated_at`.
    tokens: f64,
    updated_at: MonoTime,
    /// Requests refused since the last one that was sent.
    refused: u32,
}

impl StatedLimit {
    /// The limit in force; none while the instance states none.
    #[must_use]
    pub fn rate(&self) -> Option<Rate> {
        self.bucket.map(|bucket| bucket.rate)
    }

    /// Takes in the limit that a response to a request sent at `sent` states. Returns whether the
    /// limit has changed.
    ///
    /// A response without a limit ends it, unless the request was sent before the limit was stated:
    /// responses on several connections may overtake each other.
    pub fn observe(&mut self, stated: Option<Rate>, sent: MonoTime, now: MonoTime) -> bool {
        let before = self.rate();
        match (stated, &mut self.bucket) {
            (Some(rate), Some(bucket)) => {
                bucket.advance(now);
                bucket.rate = rate;
                bucket.stated_at = now;
                bucket.tokens = bucket.tokens.min(bucket.capacity());
            }
            (Some(rate), None) => self.bucket = Some(LimitBucket::open(rate, now)),
            (None, Some(bucket)) if sent >= bucket.stated_at => self.bucket = None,
            (None, _) => {}
        }
        before != self.rate()
    }

    /// Takes a token for a request.
    ///
    /// # Errors
    /// The time after which to offer the request again. Requests that are refused one after the other
    /// are told to come back one after the other, at the limit.
    pub fn take(&mut self, now: MonoTime) -> Result<(), Duration> {
        let Some(bucket) = &mut self.bucket else {
            return Ok(());
        };
        bucket.advance(now);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            bucket.refused = 0;
            return Ok(());
        }
        bucket.refused = bucket.refused.saturating_add(1);
        let missing = f64::from(bucket.refused) - bucket.tokens;
        let wait = missing / bucket.rate.events_per_second();
        Err(Duration::from_secs_f64(wait).min(MAX_RETRY_AFTER))
    }

    /// Gives back the token of a request that was not sent.
    pub fn give_back(&mut self) {
        if let Some(bucket) = &mut self.bucket {
            bucket.tokens = (bucket.tokens + 1.0).min(bucket.capacity());
        }
    }
}

impl LimitBucket {
    const fn open(rate: Rate, now: MonoTime) -> Self {
        Self {
            rate,
            stated_at: now,
            tokens: 0.0,
            updated_at: now,
            refused: 0,
        }
    }

    /// At least one, so that a low limit lets single requests through.
    fn capacity(&self) -> f64 {
        self.rate.over_span(BURST_TIME).max(1.0)
    }

    fn advance(&mut self, now: MonoTime) {
        let gained = self.rate.over_span(now.since(self.updated_at));
        self.tokens = (self.tokens + gained).min(self.capacity());
        self.updated_at = now;
    }
}
