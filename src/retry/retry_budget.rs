//! The retry budget of one service at one ingress.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::MonoTime;
use crate::units::Percent;

/// Time over which both counts are compared: as long as operators look at retries.
const WINDOW: Duration = Duration::from_secs(10);
/// Counts are kept by slices of the window, so that old ones drop out.
const SLICE: Duration = Duration::from_millis(500);
/// Retries that a daemon may cause whatever its traffic, where the settings name no reserve.
const RESERVE_RETRIES: f64 = 3.0;
/// Part of the share and of the fleet's reserve that is used: a retry may make calls of its own,
/// which count at the services called, and ingresses count in windows that do not begin together.
const USED_PART: f64 = 0.7;
/// Part of the budget that requests may cost which only find out how an instance is; the rest is
/// for those that fail where nobody expected it.
const TRIAL_PART: f64 = 0.5;

/// Keeps retries of any window within a share of its first attempts, plus a small reserve.
///
/// A quiet service cannot save up retries for an outage.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    reserve: f64,
    slices: VecDeque<BudgetSlice>,
}

#[derive(Debug, Clone, Copy)]
struct BudgetSlice {
    number: u64,
    attempts: u32,
    retries: u32,
}

impl RetryBudget {
    /// A budget of `share` of the first attempts; none at all when the share is zero.
    #[must_use]
    pub fn open(share: Percent) -> Self {
        Self {
            share: f64::from(share.get()) / 100.0,
            reserve: RESERVE_RETRIES,
            slices: VecDeque::new(),
        }
    }

    /// Changes the share; counts stay.
    pub fn resize(&mut self, share: Percent) {
        self.share = f64::from(share.get()) / 100.0;
    }

    /// Gives this daemon its part of the reserve of a fleet of `daemons`, and a margin to the
    /// share, for a bound that the whole fleet must keep.
    pub fn set_fleet_reserve(&mut self, share: Percent, fleet_reserve: u32, daemons: usize) {
        let daemons = f64::from(u32::try_from(daemons.max(1)).unwrap_or(u32::MAX));
        self.share = f64::from(share.get()) / 100.0 * USED_PART;
        self.reserve = f64::from(fleet_reserve) * USED_PART / daemons;
    }

    /// A request was sent for the first time.
    pub fn record_attempt(&mut self, now: MonoTime) {
        self.slice(now).attempts += 1;
    }

    /// Takes one retry out of the budget; false when it is spent.
    pub fn try_retry(&mut self, now: MonoTime) -> bool {
        if !self.has_left(1.0, now) {
            return false;
        }
        self.slice(now).retries += 1;
        true
    }

    /// Whether a request may go where it is likely to need a retry.
    pub fn allows_trial(&mut self, now: MonoTime) -> bool {
        self.has_left(TRIAL_PART, now)
    }

    /// Whether one more retry stays within `part` of the budget.
    fn has_left(&mut self, part: f64, now: MonoTime) -> bool {
        let attempts = self.sum(now, |slice| slice.attempts);
        let retries = self.sum(now, |slice| slice.retries);
        self.share > 0.0 && retries + 1.0 <= part * (self.reserve + self.share * attempts)
    }

    fn sum(&mut self, now: MonoTime, count: impl Fn(&BudgetSlice) -> u32) -> f64 {
        let oldest = number_at(now).saturating_sub(number_of(WINDOW) - 1);
        while self
            .slices
            .front()
            .is_some_and(|slice| slice.number < oldest)
        {
            self.slices.pop_front();
        }
        f64::from(self.slices.iter().map(count).sum::<u32>())
    }

    fn slice(&mut self, now: MonoTime) -> &mut BudgetSlice {
        let number = number_at(now);
        if self.slices.back().is_none_or(|last| last.number < number) {
            self.slices.push_back(BudgetSlice {
                number,
                attempts: 0,
                retries: 0,
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}

fn number_at(now: MonoTime) -> u64 {
    number_of(now.since(MonoTime::ZERO))
}

fn number_of(span: Duration) -> u64 {
    u64::try_from(span.as_millis() / SLICE.as_millis()).unwrap_or(u64::MAX)
}
