//! The retry budget of one service at one ingress.

use crate::time::MonoTime;
use crate::units::Percent;

/// Time in which both counts halve: an outage is not served out of what came long before it.
const HALF_LIFE_SECS: f64 = 5.0;
/// Retries that a daemon may cause whatever its traffic, where the settings name no reserve.
const RESERVE_RETRIES: f64 = 3.0;
/// Time within which the settings count the fleet's reserve.
const RESERVE_WINDOW_SECS: f64 = 10.0;

/// Keeps retries within a share of recent first attempts, plus a small reserve.
///
/// Both counts halve every few seconds, so that a quiet service cannot save up retries
/// for an outage.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    reserve: f64,
    attempts: f64,
    retries: f64,
    counted_at: MonoTime,
}

impl RetryBudget {
    /// A budget of `share` of the first attempts; none at all when the share is zero.
    #[must_use]
    pub fn open(share: Percent) -> Self {
        Self {
            share: f64::from(share.get()) / 100.0,
            reserve: RESERVE_RETRIES,
            attempts: 0.0,
            retries: 0.0,
            counted_at: MonoTime::ZERO,
        }
    }

    /// Changes the share; counts stay.
    pub fn resize(&mut self, share: Percent) {
        self.share = f64::from(share.get()) / 100.0;
    }

    /// Gives this daemon its part of the reserve of a fleet of `daemons`.
    ///
    /// The reserve fills again while the window passes, so that only a part of it may be spent
    /// at any one time.
    pub fn share_reserve(&mut self, fleet_reserve: u32, daemons: usize) {
        let refills = 1.0 + RESERVE_WINDOW_SECS * std::f64::consts::LN_2 / HALF_LIFE_SECS;
        let daemons = f64::from(u32::try_from(daemons.max(1)).unwrap_or(u32::MAX));
        self.reserve = f64::from(fleet_reserve) / (daemons * refills);
    }

    /// A request was sent for the first time.
    pub fn first_attempt(&mut self, now: MonoTime) {
        self.fade(now);
        self.attempts += 1.0;
    }

    /// Takes one retry out of the budget; false when it is spent.
    pub fn try_retry(&mut self, now: MonoTime) -> bool {
        self.fade(now);
        if self.share <= 0.0 || self.retries + 1.0 > self.allowed_retries() {
            return false;
        }
        self.retries += 1.0;
        true
    }

    fn allowed_retries(&self) -> f64 {
        self.reserve + self.share * self.attempts
    }

    fn fade(&mut self, now: MonoTime) {
        let passed_secs = now.since(self.counted_at).as_secs_f64();
        let factor = (-passed_secs / HALF_LIFE_SECS).exp2();
        self.attempts *= factor;
        self.retries *= factor;
        self.counted_at = self.counted_at.max(now);
    }
}
