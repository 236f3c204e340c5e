//! Circuit breaker that keeps requests that are not idempotent off an instance after a failure.

use std::time::Duration;

use serde::Serialize;

use crate::health::{SampleOutcome, ServiceSample};
use crate::time::{Deadline, MonoTime};

/// Good responses in a row that close the breaker: an instance that fails half of its requests
/// passes one time in four, one that fails nine in ten one time in a hundred.
const GOOD_NEEDED: u32 = 2;
/// Time without any response that closes the breaker, for instances that get no requests to prove
/// themselves with. Faults last about as long, and an instance that is out for longer is healthy
/// capacity lost.
const QUIET_TIME: Duration = Duration::from_secs(3);
/// Time between a failure with the breaker open and the next trial request. Each trial that fails
/// is repeated elsewhere, on a retry budget that the whole fleet shares.
const TRIAL_PAUSE: Duration = Duration::from_millis(800);

/// Opens on a single failure, long before an ejection is due.
///
/// A request that is not idempotent is lost to the caller when it fails. Any other is repeated
/// elsewhere and meanwhile serves as a trial that shows whether the instance has recovered.
///
/// A single failure may be an isolated one, so the first trial is allowed at once. After another
/// failure, trials are spaced by `TRIAL_PAUSE`.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(super) struct CircuitBreaker {
    #[serde(rename = "doubt")]
    trip: Option<BreakerTrip>,
}

/// The state of an open breaker.
#[derive(Debug, Clone, Copy, Serialize)]
struct BreakerTrip {
    #[serde(rename = "since")]
    tripped_at: MonoTime,
    /// Good responses since the last failure.
    good: u32,
    /// When the next trial may begin.
    trial_at: Deadline,
    /// When the breaker closes if no response arrives.
    until: Deadline,
    /// Whether the only failure is a request that has been running for long.
    is_stall: bool,
}

impl CircuitBreaker {
    /// Whether the breaker is closed, so that the instance takes every request.
    pub(super) const fn is_closed(&self) -> bool {
        self.trip.is_none()
    }

    /// Whether a trial request may be sent now; always true while the breaker is closed.
    pub(super) fn allows_trial(&self, now: MonoTime) -> bool {
        self.trip.is_none_or(|trip| trip.trial_at.has_passed(now))
    }

    /// Takes in a response. Shed requests are load, not failures, and change nothing.
    pub(super) fn observe(&mut self, sample: &ServiceSample, now: MonoTime) {
        match sample.outcome {
            SampleOutcome::Good => self.count_good(sample.service_time, now),
            SampleOutcome::Failed | SampleOutcome::Wrong | SampleOutcome::Stalled => {
                self.trip(now);
            }
            SampleOutcome::Shed => {}
        }
    }

    /// Opens the breaker, or postpones the next trial if it is open.
    pub(super) fn trip(&mut self, now: MonoTime) {
        self.open_breaker(false, now);
    }

    /// Opens the breaker because a request has run for so long that the instance may be stalled.
    pub(super) fn trip_by_stall(&mut self, now: MonoTime) {
        self.open_breaker(true, now);
    }

    fn open_breaker(&mut self, is_stall: bool, now: MonoTime) {
        let trial_at = match self.trip {
            None => Deadline::at(now),
            Some(_) => now.after(TRIAL_PAUSE),
        };
        self.trip = Some(BreakerTrip {
            tripped_at: now,
            good: 0,
            trial_at,
            until: now.after(QUIET_TIME),
            is_stall,
        });
    }

    /// Closes the breaker if it was opened by a supposed stall only.
    pub(super) fn clear_stall(&mut self) {
        self.trip.take_if(|trip| trip.is_stall);
    }

    /// Closes the breaker after `QUIET_TIME` without a response.
    pub(super) fn tick(&mut self, now: MonoTime) {
        if self.trip.is_some_and(|trip| trip.until.has_passed(now)) {
            self.trip = None;
        }
    }

    /// Counts a good response, unless its request was sent before the last failure: that tells
    /// nothing of the time since.
    fn count_good(&mut self, service_time: Duration, now: MonoTime) {
        let Some(trip) = &mut self.trip else {
            return;
        };
        if now.since(trip.tripped_at) < service_time {
            return;
        }
        trip.good += 1;
        trip.until = now.after(QUIET_TIME);
        if trip.good >= GOOD_NEEDED {
            self.trip = None;
        }
    }
}
