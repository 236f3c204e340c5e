//! The part of a client account's rate that the homes grant to one ingress while tokens are short.

use std::time::Duration;

use crate::time::MonoTime;
use crate::units::Rate;

/// Time constant of the exponential decay.
const SMOOTHING: Duration = Duration::from_secs(2);
/// Weight of the initial estimate, as a time of observation.
const INITIAL_WEIGHT: Duration = Duration::from_millis(100);
/// Longest time between two answers that counts: a longer one tells of unreachable homes or of
/// missing demand, not of this ingress's share.
const MAX_INTERVAL: Duration = Duration::from_millis(500);
/// An estimate without shortage for longer than this starts anew.
const SHORTAGE_GAP: Duration = Duration::from_secs(5);
/// Smallest share of a rate, as a divisor.
const MIN_SHARE_DIVISOR: f64 = 1_000.0;

/// An average of spent tokens per second, over the time in which the account's tokens are short.
///
/// Each ingress of an account learns its own, so that together they add up to the account's rate.
#[derive(Debug, Clone, Copy)]
pub struct GrantedShare {
    rate: f64,
    tokens: f64,
    seconds: f64,
    updated: MonoTime,
    short_at: Option<MonoTime>,
}

impl GrantedShare {
    /// Creates an estimate that assumes the whole `rate`, since one ingress may see all demand.
    #[must_use]
    pub fn open(rate: Rate, now: MonoTime) -> Self {
        let (rate, seconds) = (rate.events_per_second(), INITIAL_WEIGHT.as_secs_f64());
        Self {
            rate,
            tokens: rate * seconds,
            seconds,
            updated: now,
            short_at: None,
        }
    }

    /// Records that a token was spent. Granted tokens do not count: some return unspent.
    pub fn record_spent(&mut self) {
        self.tokens += 1.0;
    }

    /// Records an answer of a home. `is_short` is whether it had no tokens.
    pub fn record_answer(&mut self, is_short: bool, now: MonoTime) {
        if self.is_stale(now) {
            if !is_short {
                return;
            }
            self.reset(now);
        }
        if is_short {
            self.short_at = Some(now);
        }
        let elapsed = now.since(self.updated).min(MAX_INTERVAL).as_secs_f64();
        let kept = (-elapsed / SMOOTHING.as_secs_f64()).exp();
        self.tokens *= kept;
        self.seconds = self.seconds * kept + elapsed;
        self.updated = now;
    }

    /// Applies a changed rate. The share changes in proportion.
    pub fn set_rate(&mut self, rate: Rate) {
        let rate = rate.events_per_second();
        self.tokens *= rate / self.rate;
        self.rate = rate;
    }

    /// Tokens per second, or `None` until two answers told of a shortage.
    #[must_use]
    pub fn per_second(&self) -> Option<f64> {
        if self.seconds <= INITIAL_WEIGHT.as_secs_f64() {
            return None;
        }
        let share = self.tokens / self.seconds;
        Some(share.clamp(self.rate / MIN_SHARE_DIVISOR, self.rate))
    }

    fn is_stale(&self, now: MonoTime) -> bool {
        self.short_at
            .is_none_or(|short_at| now.since(short_at) > SHORTAGE_GAP)
    }

    fn reset(&mut self, now: MonoTime) {
        self.seconds = INITIAL_WEIGHT.as_secs_f64();
        self.tokens = self.rate * self.seconds;
        self.updated = now;
    }
}
