//! How fast a client account's requests come, smoothed.

use std::time::Duration;

use crate::time::MonoTime;

/// Older requests weigh less by this time constant.
const SMOOTHING: Duration = Duration::from_secs(1);

/// An exponentially weighted count of events, as a rate a second.
#[derive(Debug, Clone, Copy)]
pub struct DemandRate {
    per_second: f64,
    updated: MonoTime,
}

impl DemandRate {
    /// No demand.
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

    /// Requests a second.
    #[must_use]
    pub fn per_second(&self, now: MonoTime) -> f64 {
        let age = now.since(self.updated).as_secs_f64();
        self.per_second * (-age / SMOOTHING.as_secs_f64()).exp()
    }
}
