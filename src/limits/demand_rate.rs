//! Smoothed request rate of one client account.

use std::time::Duration;

use crate::time::MonoTime;

/// Time constant of the exponential decay.
const SMOOTHING: Duration = Duration::from_secs(1);

/// An exponentially weighted moving average of the request rate.
#[derive(Debug, Clone, Copy)]
pub struct DemandRate {
    per_second: f64,
    updated: MonoTime,
}

impl DemandRate {
    /// Creates an average without requests.
    #[must_use]
    pub const fn open(now: MonoTime) -> Self {
        Self {
            per_second: 0.0,
            updated: now,
        }
    }

    /// Counts one request.
    pub fn record(&mut self, now: MonoTime) {
        self.per_second = self.per_second(now) + 1.0 / SMOOTHING.as_secs_f64();
        self.updated = now;
    }

    /// The average at `now`, in requests per second.
    #[must_use]
    pub fn per_second(&self, now: MonoTime) -> f64 {
        let age = now.since(self.updated).as_secs_f64();
        self.per_second * (-age / SMOOTHING.as_secs_f64()).exp()
    }
}
