//! Sequential change detection (CUSUM) for one kind of instance fault.

use std::time::Duration;

use serde::Serialize;

use crate::time::{Deadline, MonoTime};

/// Sum at which an alarm is raised.
const ALARM_SUM: f64 = 6.0;
/// Sum at which an alarm is confirmed.
const CONFIRM_SUM: f64 = 12.0;
/// Sum below which an unconfirmed alarm is cleared.
const CLEAR_SUM: f64 = 1.0;
/// Upper limit of the sum, so that good responses soon outweigh old evidence.
const MAX_SUM: f64 = 18.0;
/// Shortest time between alarm and confirmation; a single pause of an instance is shorter.
const CONFIRM_AFTER: Duration = Duration::from_millis(400);
/// Time in which the weight of past alarms halves.
const RELAPSE_HALF_LIFE_SECS: f64 = 20.0;

/// A cumulative sum of log-likelihood ratios for "faulty" against "healthy".
///
/// The sum raises an alarm, then confirms it. A confirmed alarm is due for an ejection after a
/// hold time, in which the figures of the other instances arrive. A strong alarm that clears
/// without an ejection makes the next one confirm sooner for some time; the hold time is not
/// shortened, because the figures of the other instances take as long as before.
#[derive(Debug, Clone, Serialize)]
pub(super) struct CusumDetector {
    sum: f64,
    /// Highest sum of the present alarm.
    peak: f64,
    #[serde(rename = "suspected_at")]
    alarm_raised_at: Option<MonoTime>,
    /// End of the hold time.
    due: Deadline,
    is_confirmed: bool,
    /// Number of strong alarms that cleared, as of `relapsed_at`; decays exponentially.
    relapses: f64,
    relapsed_at: MonoTime,
}

impl CusumDetector {
    /// Returns a detector without evidence.
    pub(super) const fn open() -> Self {
        Self {
            sum: 0.0,
            peak: 0.0,
            alarm_raised_at: None,
            due: Deadline::at(MonoTime::ZERO),
            is_confirmed: false,
            relapses: 0.0,
            relapsed_at: MonoTime::ZERO,
        }
    }

    /// Adds a log-likelihood ratio, which is positive for evidence of a fault.
    ///
    /// An alarm that this raises has the hold time `hold`.
    pub(super) fn add(&mut self, evidence: f64, hold: Duration, now: MonoTime) {
        self.sum = (self.sum + evidence).clamp(0.0, MAX_SUM);
        match self.alarm_raised_at {
            None if self.sum >= ALARM_SUM => self.raise_alarm(hold, now),
            None => {}
            Some(raised_at) => self.update_alarm(raised_at, now),
        }
    }

    /// The sum of the evidence, from 0 to `MAX_SUM`.
    pub(super) const fn sum(&self) -> f64 {
        self.sum
    }

    /// Whether an alarm is raised, confirmed or not.
    pub(super) const fn has_alarm(&self) -> bool {
        self.alarm_raised_at.is_some()
    }

    /// Whether an alarm is confirmed and its hold time is over.
    pub(super) fn is_due(&self, now: MonoTime) -> bool {
        self.is_confirmed && self.due.has_passed(now)
    }

    /// Clears the evidence and the alarm, but not the weight of past alarms.
    pub(super) const fn reset(&mut self) {
        self.sum = 0.0;
        self.alarm_raised_at = None;
        self.is_confirmed = false;
    }

    /// Restarts the hold time of an alarm after a pause of this process.
    pub(super) fn restart_hold(&mut self, hold: Duration, now: MonoTime) {
        if self.alarm_raised_at.is_some() {
            self.alarm_raised_at = Some(now);
            self.due = now.after(hold);
        }
    }

    fn raise_alarm(&mut self, hold: Duration, now: MonoTime) {
        self.alarm_raised_at = Some(now);
        self.due = now.after(hold);
        self.peak = self.sum;
    }

    /// Confirms or clears the present alarm.
    fn update_alarm(&mut self, raised_at: MonoTime, now: MonoTime) {
        let confirm_after = CONFIRM_AFTER.div_f64(1.0 + self.decayed_relapses(now));
        self.peak = self.peak.max(self.sum);
        if self.sum >= CONFIRM_SUM && now.since(raised_at) >= confirm_after {
            self.is_confirmed = true;
        }
        if self.sum < CLEAR_SUM && !self.is_confirmed {
            if self.peak >= CONFIRM_SUM {
                self.relapses = self.decayed_relapses(now) + 1.0;
                self.relapsed_at = now;
            }
            self.reset();
        }
    }

    fn decayed_relapses(&self, now: MonoTime) -> f64 {
        let passed_secs = now.since(self.relapsed_at).as_secs_f64();
        self.relapses * (-passed_secs / RELAPSE_HALF_LIFE_SECS).exp2()
    }
}
