//! The demand of one zone.

use std::time::Duration;

use wagtailtrack::time::MonoTime;

/// Requests that arrive in a zone: a mean rate that may swing, and bursts.
#[derive(Debug, Clone, Copy)]
pub struct ZoneLoad {
    /// Mean requests per second, without the bursts.
    pub rate: f64,
    /// Part of the mean by which the rate swings to either side.
    pub swing: f64,
    /// Period of the swing.
    pub period: Duration,
    /// Requests that arrive together at one ingress every second.
    pub burst: usize,
}

impl ZoneLoad {
    /// Returns a steady load of `rate` requests per second.
    pub fn steady(rate: f64) -> Self {
        Self {
            rate,
            swing: 0.0,
            period: Duration::from_secs(15),
            burst: 0,
        }
    }

    /// The rate at `now`, without the bursts.
    pub fn rate_at(&self, now: MonoTime) -> f64 {
        let turns = now.since(MonoTime::ZERO).as_secs_f64() / self.period.as_secs_f64();
        self.rate * (1.0 + self.swing * (turns * std::f64::consts::TAU).sin())
    }
}
