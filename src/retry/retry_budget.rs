//! Retry budget of one service at one ingress.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::MonoTime;
use crate::units::Percent;

/// Time over which retries are compared with first attempts: the same as operators look at.
const WINDOW: Duration = Duration::from_secs(10);
/// Resolution of the window: counts are kept per slice, and slices that leave the window are
/// dropped.
const SLICE: Duration = Duration::from_millis(500);
/// Retries per window that a daemon may send regardless of its traffic, where the settings name no
/// reserve.
const DEFAULT_RESERVE: f64 = 3.0;
/// Part of the share and of the fleet's reserve that is used. The rest is a margin: the calls of a
/// repeated run are only estimated, and the windows of ingresses do not begin together.
const FLEET_USED_SHARE: f64 = 0.8;
/// The budget for the calls of repeated runs, as a multiple of that for retries of the service itself. It
/// uses a part of the margin, since without a retry the run fails that would make the calls.
const CHARGED_PART: f64 = 1.1;
/// Part of the budget that retries of trial requests may use. The rest is for requests that fail at
/// instances that were thought healthy.
const TRIAL_SHARE: f64 = 0.5;

/// Limits the retries in any window to a share of its first attempts, plus a small reserve.
///
/// Unused retries expire with the window, so that a quiet service cannot save them up for an outage.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Retries per first attempt.
    share: f64,
    /// Retries per window regardless of first attempts.
    reserve: f64,
    /// The slices of the window that have counts, oldest first.
    slices: VecDeque<WindowSlice>,
}

#[derive(Debug, Clone, Copy)]
struct WindowSlice {
    /// Multiple of `SLICE` at which the slice begins.
    number: u64,
    /// First attempts.
    attempts: f64,
    retries: f64,
}

impl RetryBudget {
    /// Returns a budget of `share` of the first attempts; with a share of zero it allows no retries.
    #[must_use]
    pub fn open(share: Percent) -> Self {
        Self {
            share: f64::from(share.get()) / 100.0,
            reserve: DEFAULT_RESERVE,
            slices: VecDeque::new(),
        }
    }

    /// Changes the share and keeps the counts.
    pub fn set_share(&mut self, share: Percent) {
        self.share = f64::from(share.get()) / 100.0;
    }

    /// Sets the budget of this daemon so that a fleet of `daemons` stays within `share` of its
    /// first attempts plus `fleet_reserve` retries per window.
    pub fn set_fleet_reserve(&mut self, share: Percent, fleet_reserve: u32, daemons: usize) {
        let daemons = f64::from(u32::try_from(daemons.max(1)).unwrap_or(u32::MAX));
        self.share = f64::from(share.get()) / 100.0 * FLEET_USED_SHARE;
        self.reserve = f64::from(fleet_reserve) * FLEET_USED_SHARE / daemons;
    }

    /// Counts the first attempt of a request.
    pub fn record_attempt(&mut self, now: MonoTime) {
        self.current_slice(now).attempts += 1.0;
    }

    /// Takes one retry from the budget; returns false if it is exhausted.
    pub fn try_retry(&mut self, now: MonoTime) -> bool {
        if !self.allows_retry(now) {
            return false;
        }
        self.charge(1.0, now);
        true
    }

    /// Whether the budget has a retry left.
    pub fn allows_retry(&mut self, now: MonoTime) -> bool {
        self.is_within(1.0, now)
    }

    /// Whether calls that a repeated run of another service makes, which count as `retries`, stay within
    /// the budget.
    pub fn allows_charge(&mut self, retries: f64, now: MonoTime) -> bool {
        let attempts = self.sum(now, |slice| slice.attempts);
        let counted = self.sum(now, |slice| slice.retries);
        counted + retries <= CHARGED_PART * (self.reserve + self.share * attempts)
    }

    /// Counts `retries` that are made in any case, or a fraction of one that is likely.
    pub fn charge(&mut self, retries: f64, now: MonoTime) {
        self.current_slice(now).retries += retries;
    }

    /// Whether the budget allows a trial request, which is likely to need a retry.
    pub fn allows_trial(&mut self, now: MonoTime) -> bool {
        self.is_within(TRIAL_SHARE, now)
    }

    /// Whether one more retry stays within `part` of the budget, from 0 to 1.
    fn is_within(&mut self, part: f64, now: MonoTime) -> bool {
        let attempts = self.sum(now, |slice| slice.attempts);
        let retries = self.sum(now, |slice| slice.retries);
        self.share > 0.0 && retries + 1.0 <= part * (self.reserve + self.share * attempts)
    }

    /// Sums a count over the window, after dropping the slices that have left it.
    fn sum(&mut self, now: MonoTime, count: impl Fn(&WindowSlice) -> f64) -> f64 {
        let oldest = slice_number(now).saturating_sub(slice_count(WINDOW) - 1);
        while self
            .slices
            .front()
            .is_some_and(|slice| slice.number < oldest)
        {
            self.slices.pop_front();
        }
        self.slices.iter().map(count).sum()
    }

    fn current_slice(&mut self, now: MonoTime) -> &mut WindowSlice {
        let number = slice_number(now);
        if self.slices.back().is_none_or(|last| last.number < number) {
            self.slices.push_back(WindowSlice {
                number,
                attempts: 0.0,
                retries: 0.0,
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}

/// The number of the slice that contains `now`.
fn slice_number(now: MonoTime) -> u64 {
    slice_count(now.since(MonoTime::ZERO))
}

/// The number of whole slices in `span`.
fn slice_count(span: Duration) -> u64 {
    u64::try_from(span.as_millis() / SLICE.as_millis()).unwrap_or(u64::MAX)
}
