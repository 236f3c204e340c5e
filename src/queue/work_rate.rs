//! Smoothed rate at which work arrives.

use crate::time::MonoTime;

/// Time constant of the exponential decay, in seconds.
const SMOOTHING_SECS: f64 = 2.0;

/// An exponentially weighted moving average of the service time that requests ask for.
#[derive(Debug, Clone, Copy)]
pub(super) struct WorkRate {
    secs_per_sec: f64,
    updated: MonoTime,
}

impl WorkRate {
    /// Creates an average without work.
    pub(super) const fn open(now: MonoTime) -> Self {
        Self {
            secs_per_sec: 0.0,
            updated: now,
        }
    }

    /// Counts a request that asks for `secs` of service.
    pub(super) fn record(&mut self, secs: f64, now: MonoTime) {
        self.secs_per_sec = self.per_sec(now) + secs / SMOOTHING_SECS;
        self.updated = now;
    }

    /// The average at `now`, in seconds of service a second.
    pub(super) fn per_sec(&self, now: MonoTime) -> f64 {
        let age_secs = now.since(self.updated).as_secs_f64();
        self.secs_per_sec * (-age_secs / SMOOTHING_SECS).exp()
    }
}
