//! Limit on requests per second that an instance states in its responses.

use std::time::Duration;

use serde::Serialize;

use crate::egress::request_bucket::RequestBucket;
use crate::time::MonoTime;
use crate::units::Rate;

/// Time in which an unused limit adds up.
const BURST_TIME: Duration = Duration::from_secs(1);

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
    #[serde(flatten)]
    bucket: RequestBucket,
    /// When the limit was stated last.
    stated_at: MonoTime,
}

impl StatedLimit {
    /// The limit in force; none while the instance states none.
    #[must_use]
    pub fn rate(&self) -> Option<Rate> {
        self.bucket.map(|limit| limit.bucket.rate())
    }

    /// Takes in the limit that a response to a request sent at `sent` states. Returns whether the
    /// limit has changed.
    ///
    /// A response without a limit ends it, unless the request was sent before the limit was stated:
    /// responses on several connections may overtake each other.
    pub fn observe(&mut self, stated: Option<Rate>, sent: MonoTime, now: MonoTime) -> bool {
        let before = self.rate();
        match (stated, &mut self.bucket) {
            (Some(rate), Some(limit)) => {
                limit.bucket.set_rate(rate, capacity(rate), now);
                limit.stated_at = now;
            }
            (Some(rate), None) => self.bucket = Some(LimitBucket::open(rate, now)),
            (None, Some(limit)) if sent >= limit.stated_at => self.bucket = None,
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
        match &mut self.bucket {
            Some(limit) => limit.bucket.take(0, now),
            None => Ok(()),
        }
    }

    /// Gives back the token of a request that was not sent.
    pub fn give_back(&mut self) {
        if let Some(limit) = &mut self.bucket {
            limit.bucket.give_back();
        }
    }
}

impl LimitBucket {
    fn open(rate: Rate, now: MonoTime) -> Self {
        Self {
            bucket: RequestBucket::open(rate, capacity(rate), now),
            stated_at: now,
        }
    }
}

/// Most tokens that an unused limit adds up to.
fn capacity(rate: Rate) -> f64 {
    rate.over_span(BURST_TIME)
}
