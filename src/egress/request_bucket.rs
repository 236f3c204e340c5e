//! Token bucket for the requests to one instance.

use std::time::Duration;

use serde::Serialize;

use crate::time::MonoTime;
use crate::units::Rate;

/// Longest time after which a refused request may be offered again.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);

/// Limits the requests to an instance to a rate. It begins empty.
///
/// All requests to an instance pass its egress, so that one bucket limits those of the whole fleet.
#[derive(Debug, Clone, Copy, Serialize)]
pub(super) struct RequestBucket {
    rate: Rate,
    /// Most tokens that an unused bucket holds; at least one, so that a low rate lets single
    /// requests through.
    capacity: f64,
    /// Requests that may be sent, as of `updated_at`.
    tokens: f64,
    updated_at: MonoTime,
    /// Requests refused since the last one that was let through.
    refused: u32,
}

impl RequestBucket {
    pub(super) fn open(rate: Rate, capacity: f64, now: MonoTime) -> Self {
        Self {
            rate,
            capacity: capacity.max(1.0),
            tokens: 0.0,
            updated_at: now,
            refused: 0,
        }
    }

    pub(super) const fn rate(&self) -> Rate {
        self.rate
    }

    /// Changes the rate from `now` on.
    pub(super) fn set_rate(&mut self, rate: Rate, capacity: f64, now: MonoTime) {
        self.advance(now);
        self.rate = rate;
        self.capacity = capacity.max(1.0);
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Checks that a token is left besides `claims` tokens that are promised to other requests.
    ///
    /// Requests that are refused one after the other are told to come back one after the other, at
    /// the rate.
    pub(super) fn check(&mut self, claims: usize, now: MonoTime) -> Result<(), Duration> {
        self.advance(now);
        let missing = self.missing(claims, now);
        if missing <= 0.0 {
            self.refused = 0;
            return Ok(());
        }
        let wait = self.time_of(missing + f64::from(self.refused));
        self.refused = self.refused.saturating_add(1);
        Err(wait.min(MAX_RETRY_AFTER))
    }

    /// Takes a token besides the promised ones.
    pub(super) fn take(&mut self, claims: usize, now: MonoTime) -> Result<(), Duration> {
        self.check(claims, now)?;
        self.tokens -= 1.0;
        Ok(())
    }

    /// Gives back the token of a request that was not sent.
    pub(super) fn give_back(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.capacity);
    }

    /// Time until a token is left besides the promised ones.
    pub(super) fn next_token(&self, claims: usize, now: MonoTime) -> Duration {
        self.time_of(self.missing(claims, now))
    }

    /// Tokens that are missing at `now` for one more request.
    fn missing(&self, claims: usize, now: MonoTime) -> f64 {
        let claims = f64::from(u32::try_from(claims).unwrap_or(u32::MAX));
        (1.0 + claims - self.tokens_at(now)).max(0.0)
    }

    fn time_of(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64(tokens / self.rate.events_per_second())
    }

    fn tokens_at(&self, now: MonoTime) -> f64 {
        let gained = self.rate.over_span(now.since(self.updated_at));
        (self.tokens + gained).min(self.capacity)
    }

    fn advance(&mut self, now: MonoTime) {
        self.tokens = self.tokens_at(now);
        self.updated_at = now;
    }
}
