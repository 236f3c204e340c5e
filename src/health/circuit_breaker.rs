//! Whether an instance may be given requests that cannot be repeated.

use std::time::Duration;

use serde::Serialize;

use crate::health::{SampleOutcome, ServiceSample};
use crate::time::{Deadline, MonoTime};

/// Good answers in a row that restore trust: an instance that fails half of its requests passes
/// one time in four, one that fails nine in ten one time in a hundred.
const GOOD_NEEDED: u32 = 2;
/// Time without any answer that restores it, for instances that get no requests to prove
/// themselves with: sick spells last about as long, and an instance that is out for longer is
/// healthy capacity lost.
const QUIET_TIME: Duration = Duration::from_secs(3);
/// Time after a second bad answer until the next request may find out whether the instance has
/// recovered: each that fails is repeated elsewhere, on a budget that the whole fleet shares.
const TRIAL_PAUSE: Duration = Duration::from_millis(800);

/// Lost by a single bad answer, long before an ejection is due: what fails a request that cannot
/// be repeated is lost for the caller, while any other is sent elsewhere and finds out meanwhile
/// whether the instance has recovered.
///
/// A single bad answer may be no more than that, so the first trial comes at once. Once that has
/// failed too, trials are spaced.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(super) struct CircuitBreaker {
    doubt: Option<TrustDoubt>,
}

#[derive(Debug, Clone, Copy, Serialize)]
struct TrustDoubt {
    since: MonoTime,
    good: u32,
    /// When the next trial may begin.
    trial_at: Deadline,
    until: Deadline,
    /// Whether it stands only on a request that ran for long.
    is_stall: bool,
}

impl CircuitBreaker {
    /// Whether the instance is trusted.
    pub(super) const fn is_trusted(&self) -> bool {
        self.doubt.is_none()
    }

    /// Whether a request may find out now how the instance is.
    pub(super) fn allows_trial(&self, now: MonoTime) -> bool {
        self.doubt
            .is_none_or(|doubt| doubt.trial_at.has_passed(now))
    }

    /// Takes an answer in.
    pub(super) fn observe(&mut self, sample: &ServiceSample, now: MonoTime) {
        match sample.outcome {
            SampleOutcome::Good => self.add_good(sample.service_time, now),
            SampleOutcome::Failed | SampleOutcome::Wrong | SampleOutcome::Stalled => {
                self.lose(now);
            }
            SampleOutcome::Shed => {}
        }
    }

    /// The instance has shown that it may be sick.
    pub(super) fn lose(&mut self, now: MonoTime) {
        self.begin_doubt(false, now);
    }

    /// A request has run for so long that the instance may be stalled.
    pub(super) fn lose_by_stall(&mut self, now: MonoTime) {
        self.begin_doubt(true, now);
    }

    fn begin_doubt(&mut self, is_stall: bool, now: MonoTime) {
        let trial_at = match self.doubt {
            None => Deadline::at(now),
            Some(_) => now.after(TRIAL_PAUSE),
        };
        self.doubt = Some(TrustDoubt {
            since: now,
            good: 0,
            trial_at,
            until: now.after(QUIET_TIME),
            is_stall,
        });
    }

    /// The instance was not stalled after all.
    pub(super) fn clear_stall(&mut self) {
        self.doubt.take_if(|doubt| doubt.is_stall);
    }

    /// Time passed.
    pub(super) fn tick(&mut self, now: MonoTime) {
        if self.doubt.is_some_and(|doubt| doubt.until.has_passed(now)) {
            self.doubt = None;
        }
    }

    /// What was sent before the bad answer came says nothing of the time since.
    fn add_good(&mut self, service_time: Duration, now: MonoTime) {
        let Some(doubt) = &mut self.doubt else {
            return;
        };
        if now.since(doubt.since) < service_time {
            return;
        }
        doubt.good += 1;
        doubt.until = now.after(QUIET_TIME);
        if doubt.good >= GOOD_NEEDED {
            self.doubt = None;
        }
    }
}
