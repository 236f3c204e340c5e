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
/// A failure is early if it comes within the usual service time divided by this. Ordinary work
/// varies by less, so the instance has not done the work.
const EARLY_DIVISOR: u32 = 8;
/// Log-likelihood ratio of a failure that is not early, for "half of the requests fail" against "one
/// in fifty fails".
const LATE_EVIDENCE: f64 = 3.2;
/// The same for a good response, with a bound so that faults are noticed after a long good time.
const GOOD_EVIDENCE: f64 = -0.28;
/// Sum of evidence that opens the breaker: three failures within about ten responses. Runs of two come
/// from a service that the requests call.
const OPENING_SUM: f64 = 7.5;

/// Opens on a single failure that comes early, long before an ejection is due, or on repeated ones that
/// come in the time that the work usually takes.
///
/// A request that is not idempotent is lost to the caller when it fails. Any other is repeated
/// elsewhere and meanwhile serves as a trial that shows whether the instance has recovered. An instance
/// that fails early has not begun the work, and mostly fails what comes next as well. A failure after
/// the usual time is mostly the request's own, and an instance out of use for it is capacity lost.
///
/// The first trial is allowed at once. After another failure, trials are spaced by `TRIAL_PAUSE`.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(super) struct CircuitBreaker {
    #[serde(rename = "doubt")]
    trip: Option<BreakerTrip>,
    /// Evidence of failures while the breaker is closed.
    late_sum: f64,
    /// When the running requests were counted last.
    counted_at: MonoTime,
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
    /// Time after which a request counts as good although it still runs: the failures come earlier. None
    /// if they don't.
    pass_time: Option<Duration>,
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

    /// Time after which a running trial counts as good, and another one may begin.
    pub(super) fn pass_time(&self) -> Option<Duration> {
        self.trip?.pass_time
    }

    /// Takes in a response to a request that usually takes `usual_time`, if that is known. Shed requests
    /// are load, not failures, and change nothing.
    pub(super) fn observe(
        &mut self,
        sample: &ServiceSample,
        usual_time: Option<Duration>,
        now: MonoTime,
    ) {
        match sample.outcome {
            SampleOutcome::Good => self.count_good(sample.service_time, now),
            SampleOutcome::Failed | SampleOutcome::Wrong => {
                self.count_failure(sample.service_time, usual_time, now);
            }
            SampleOutcome::Stalled => self.trip(now),
            SampleOutcome::Shed => {}
        }
    }

    /// Opens the breaker, or postpones the next trial if it is open.
    pub(super) fn trip(&mut self, now: MonoTime) {
        self.open_breaker(false, None, now);
    }

    /// Opens the breaker because a request has run for so long that the instance may be stalled.
    pub(super) fn trip_by_stall(&mut self, now: MonoTime) {
        self.open_breaker(true, None, now);
    }

    fn open_breaker(&mut self, is_stall: bool, pass_time: Option<Duration>, now: MonoTime) {
        let trial_at = match self.trip {
            None => Deadline::at(now),
            Some(_) => now.after(TRIAL_PAUSE),
        };
        self.late_sum = 0.0;
        self.trip = Some(BreakerTrip {
            tripped_at: now,
            good: 0,
            trial_at,
            until: now.after(QUIET_TIME),
            is_stall,
            pass_time,
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

    /// Counts as good the requests that have run for longer than the failures took since the last call.
    /// `running` yields when the running requests were sent.
    pub(super) fn observe_running(
        &mut self,
        running: impl Iterator<Item = MonoTime>,
        now: MonoTime,
    ) {
        let counted_at = std::mem::replace(&mut self.counted_at, now);
        let Some(trip) = self.trip else {
            return;
        };
        let Some(pass_time) = trip.pass_time else {
            return;
        };
        let has_passed = |sent: &MonoTime| {
            let passed_at = *sent + pass_time;
            *sent > trip.tripped_at && passed_at > counted_at && passed_at <= now
        };
        for _ in running.filter(has_passed) {
            self.add_good(now);
        }
    }

    /// Opens the breaker, or leaves it closed after a single failure in the time that the work usually
    /// takes.
    fn count_failure(
        &mut self,
        service_time: Duration,
        usual_time: Option<Duration>,
        now: MonoTime,
    ) {
        let early_time = usual_time.map(|time| time / EARLY_DIVISOR);
        let pass_time = early_time.filter(|early_time| service_time < *early_time);
        let is_late = usual_time.is_some() && pass_time.is_none();
        if is_late && self.is_closed() {
            self.late_sum += LATE_EVIDENCE;
            if self.late_sum < OPENING_SUM {
                return;
            }
        }
        self.open_breaker(false, pass_time, now);
    }

    /// Counts a good response, unless its request was sent before the last failure: that tells nothing
    /// of the time since. One that was counted while it ran is not counted again.
    fn count_good(&mut self, service_time: Duration, now: MonoTime) {
        self.late_sum = (self.late_sum + GOOD_EVIDENCE).max(0.0);
        let Some(trip) = &self.trip else {
            return;
        };
        if now.since(trip.tripped_at) < service_time {
            return;
        }
        let was_counted = trip.pass_time.is_some_and(|pass_time| {
            let passed_before = service_time.saturating_sub(pass_time);
            service_time > pass_time && now.since(self.counted_at) <= passed_before
        });
        if !was_counted {
            self.add_good(now);
        }
    }

    fn add_good(&mut self, now: MonoTime) {
        let Some(trip) = &mut self.trip else {
            return;
        };
        trip.good += 1;
        trip.until = now.after(QUIET_TIME);
        if trip.good >= GOOD_NEEDED {
            self.trip = None;
        }
    }
}
