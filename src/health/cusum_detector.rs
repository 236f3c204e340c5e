//! A sequential test of one kind of sickness.

use std::time::Duration;

use serde::Serialize;

use crate::time::{Deadline, MonoTime};

/// Sum at which an instance comes under suspicion.
const SUSPECT_SUM: f64 = 6.0;
/// Sum at which a suspicion is confirmed.
const CONFIRM_SUM: f64 = 12.0;
/// Sum below which a suspicion that was not confirmed ends.
const CLEAR_SUM: f64 = 1.0;
/// Largest sum, so that good answers soon outweigh old evidence.
const MAX_SUM: f64 = 18.0;
/// Shortest time between suspicion and confirmation; a single pause is shorter.
const CONFIRM_AFTER: Duration = Duration::from_millis(400);
/// Time in which the memory of a past suspicion halves.
const RELAPSE_HALF_LIFE_SECS: f64 = 20.0;

/// A cumulative sum of log-likelihood ratios, from suspicion over confirmation to due.
///
/// Between suspicion and due lies a hold, in which the peers' figures arrive. A suspicion
/// that was strong and passes by itself is remembered for a while: the next one is
/// confirmed sooner. The hold stays whole, for the peers' figures take their time.
#[derive(Debug, Clone, Serialize)]
pub(super) struct CusumDetector {
    sum: f64,
    peak: f64,
    suspected_at: Option<MonoTime>,
    due: Deadline,
    is_confirmed: bool,
    relapses: f64,
    relapsed_at: MonoTime,
}

impl CusumDetector {
    /// A track without evidence.
    pub(super) const fn open() -> Self {
        Self {
            sum: 0.0,
            peak: 0.0,
            suspected_at: None,
            due: Deadline::at(MonoTime::ZERO),
            is_confirmed: false,
            relapses: 0.0,
            relapsed_at: MonoTime::ZERO,
        }
    }

    /// Adds evidence: positive speaks for sickness. A suspicion that begins holds for `hold`.
    pub(super) fn add(&mut self, evidence: f64, hold: Duration, now: MonoTime) {
        self.sum = (self.sum + evidence).clamp(0.0, MAX_SUM);
        match self.suspected_at {
            None if self.sum >= SUSPECT_SUM => self.suspect(hold, now),
            None => {}
            Some(since) => self.follow(since, now),
        }
    }

    /// The sum of the evidence.
    pub(super) const fn sum(&self) -> f64 {
        self.sum
    }

    /// Whether a suspicion stands.
    pub(super) const fn is_suspect(&self) -> bool {
        self.suspected_at.is_some()
    }

    /// Whether a confirmed suspicion has been held for long enough.
    pub(super) fn is_due(&self, now: MonoTime) -> bool {
        self.is_confirmed && self.due.has_passed(now)
    }

    /// Forgets the evidence and the suspicion, but not past ones.
    pub(super) const fn reset(&mut self) {
        self.sum = 0.0;
        self.suspected_at = None;
        self.is_confirmed = false;
    }

    /// Begins the hold anew, after a pause of this process.
    pub(super) fn restart_hold(&mut self, hold: Duration, now: MonoTime) {
        if self.suspected_at.is_some() {
            self.suspected_at = Some(now);
            self.due = now.after(hold);
        }
    }

    fn suspect(&mut self, hold: Duration, now: MonoTime) {
        self.suspected_at = Some(now);
        self.due = now.after(hold);
        self.peak = self.sum;
    }

    fn follow(&mut self, since: MonoTime, now: MonoTime) {
        let confirm_after = CONFIRM_AFTER.div_f64(1.0 + self.relapses_at(now));
        self.peak = self.peak.max(self.sum);
        if self.sum >= CONFIRM_SUM && now.since(since) >= confirm_after {
            self.is_confirmed = true;
        }
        if self.sum < CLEAR_SUM && !self.is_confirmed {
            if self.peak >= CONFIRM_SUM {
                self.relapses = self.relapses_at(now) + 1.0;
                self.relapsed_at = now;
            }
            self.reset();
        }
    }

    fn relapses_at(&self, now: MonoTime) -> f64 {
        let passed_secs = now.since(self.relapsed_at).as_secs_f64();
        self.relapses * (-passed_secs / RELAPSE_HALF_LIFE_SECS).exp2()
    }
}
