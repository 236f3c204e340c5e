//! State machine of an instance's health: detection of faults, ejection and recovery.

use std::time::Duration;

use crate::health::circuit_breaker::CircuitBreaker;
use crate::health::cusum_detector::CusumDetector;
use crate::health::ejection_backoff::EjectionBackoff;
use crate::health::recovery_progress::RecoveryProgress;
use crate::health::slowness_detector::SlownessDetector;
use crate::health::stall_detector::StallDetector;
use crate::health::{HealthCause, HealthChange, SampleOutcome, ServiceBaseline, ServiceSample};
use crate::resource::RecoveryRule;
use crate::time::MonoTime;
use crate::wire::HealthState;

/// Ejected share of a service's slots from which no more failing instances are ejected.
const MAX_EJECTED_SHARE: f64 = 0.5;
/// Log-likelihood ratio of a failed response, for "failing instance" against "healthy".
const FAILED_EVIDENCE: f64 = 3.2;
/// Log-likelihood ratio of a malformed or truncated response.
const WRONG_EVIDENCE: f64 = 4.0;
/// Log-likelihood ratio of a good response.
const GOOD_EVIDENCE: f64 = -0.28;
/// Sum of evidence that ejects a ramping instance again, without a hold time.
const RELAPSE_SUM: f64 = 5.0;
/// Shortest time between an alarm and an ejection for slowness or a stall.
const SLOW_HOLD: Duration = Duration::from_millis(900);
/// Shortest time between an alarm and an ejection for failures.
const FAILING_HOLD: Duration = Duration::from_millis(500);
/// Largest random addition to a hold time.
const HOLD_JITTER: Duration = Duration::from_millis(200);
/// Factor by which the median changes before it is published again.
const PUBLISH_RATIO: f64 = 2.0;
/// The same factor during an alarm, when the decision of the other instances depends on it.
const ALARM_PUBLISH_RATIO: f64 = 1.5;
/// Longest service time of a good probe.
const MAX_PROBE_TIME: Duration = Duration::from_millis(250);

/// Detects faults of an instance from its responses, ejects it and readmits it step by step.
#[derive(Debug, Clone)]
pub struct InstanceHealth {
    /// The state without the circuit breaker.
    state: HealthState,
    rng: fastrand::Rng,
    stall: StallDetector,
    slowness: SlownessDetector,
    failing: CusumDetector,
    /// The median published last, in microseconds; 0 if none was.
    published_micros: f64,
    backoff: EjectionBackoff,
    progress: RecoveryProgress,
    recovery: RecoveryRule,
    breaker: CircuitBreaker,
    /// Whether the availability zone is evacuated, which holds the ramp.
    is_zone_out: bool,
}

impl InstanceHealth {
    /// Returns a healthy instance without samples.
    ///
    /// `seed` makes the random parts of waits differ between instances.
    #[must_use]
    pub fn open(seed: u64) -> Self {
        Self {
            state: HealthState::Healthy,
            rng: fastrand::Rng::with_seed(seed),
            stall: StallDetector::open(),
            slowness: SlownessDetector::open(),
            failing: CusumDetector::open(),
            published_micros: 0.0,
            backoff: EjectionBackoff::open(),
            progress: RecoveryProgress::open(),
            recovery: RecoveryRule::default(),
            breaker: CircuitBreaker::default(),
            is_zone_out: false,
        }
    }

    /// Sets whether probes or requests of callers readmit an ejected instance.
    pub const fn set_recovery(&mut self, recovery: RecoveryRule) {
        self.recovery = recovery;
        self.backoff.set_recovery(recovery);
    }

    /// Takes in the result of a request and returns the change of state it causes, if any.
    pub fn observe(
        &mut self,
        sample: &ServiceSample,
        baseline: &ServiceBaseline,
        now: MonoTime,
    ) -> Option<HealthChange> {
        self.stall.on_response(now);
        self.slowness.end_stall();
        if sample.outcome == SampleOutcome::Good {
            self.stall.on_good_response(sample.service_time);
            if baseline.median().is_none() {
                self.clear_stall();
            }
        }
        if sample.outcome == SampleOutcome::Shed {
            return None;
        }
        let is_slow = self.observe_time(sample, baseline, now);
        self.observe_outcome(sample.outcome, now);
        let usual_time = self.slowness.usual_time(sample.class, baseline);
        self.breaker.observe(sample, usual_time, now);
        let is_good = sample.outcome == SampleOutcome::Good && !is_slow;
        match self.state {
            HealthState::Healthy => self.eject_if_faulty(baseline, now),
            HealthState::Ramping(_) => {
                self.progress.count(is_good);
                self.advance_ramp(now)
            }
            HealthState::Ejected | HealthState::Suspect => {
                if !self.backoff.has_passed(now) || !self.progress.on_request(is_good) {
                    return None;
                }
                self.begin_ramp(now)
            }
        }
    }

    /// Takes in the requests that run, by the times at which they were sent. Call this at least every
    /// 100 ms.
    ///
    /// Those that have run for longer than the failures of a suspect instance took count as good.
    pub fn observe_running(&mut self, sent: impl Iterator<Item = MonoTime>, now: MonoTime) {
        self.breaker.observe_running(sent, now);
    }

    /// Advances timers and returns the change of state this causes, if any.
    ///
    /// `oldest_running_age` is the age of the oldest running request. Call this at least every
    /// 100 ms.
    pub fn tick(
        &mut self,
        baseline: &ServiceBaseline,
        now: MonoTime,
        oldest_running_age: Option<Duration>,
    ) -> Option<HealthChange> {
        if self.stall.on_tick(now) {
            self.slowness.detector_mut().restart_hold(SLOW_HOLD, now);
            self.failing.restart_hold(FAILING_HOLD, now);
        }
        let stalled_for = self
            .stall
            .stalled_for(oldest_running_age, baseline.median(), now);
        self.breaker.tick(now);
        let trips_breaker = self
            .stall
            .trips_breaker(oldest_running_age, baseline.median(), now);
        if (stalled_for.is_some() || trips_breaker) && self.breaker.is_closed() {
            self.breaker.trip_by_stall(now);
        }
        let hold = self.jittered_hold(SLOW_HOLD);
        self.slowness.observe_stall(stalled_for, hold, now);
        match self.state {
            HealthState::Healthy => self.eject_if_faulty(baseline, now),
            HealthState::Ramping(_) => self.advance_ramp(now),
            HealthState::Ejected | HealthState::Suspect => self.end_ejection(now),
        }
    }

    /// Begins a probe if one is due, and returns whether to send it.
    ///
    /// Probes run one at a time while the instance is ejected, after the backoff.
    pub fn begin_probe(&mut self, now: MonoTime) -> bool {
        self.recovery == RecoveryRule::Probes
            && self.state == HealthState::Ejected
            && self.backoff.has_passed(now)
            && self.progress.begin_probe(now)
    }

    /// Takes in the result of a probe and returns the change of state it causes, if any.
    pub fn on_probe(
        &mut self,
        outcome: SampleOutcome,
        service_time: Duration,
        now: MonoTime,
    ) -> Option<HealthChange> {
        let is_good = outcome == SampleOutcome::Good && service_time <= MAX_PROBE_TIME;
        if self.state != HealthState::Ejected || !self.progress.on_probe(is_good, now) {
            return None;
        }
        self.begin_ramp(now)
    }

    /// Puts an instance whose zone is evacuated at the begin of the ramp and holds it there, so that the
    /// fleet knows of the ramp before the zone returns. An ejected instance stays ejected.
    pub fn on_zone_evacuated(&mut self, now: MonoTime) -> Option<HealthChange> {
        self.is_zone_out = true;
        self.restart_ramp(HealthCause::Evacuated, now)
    }

    /// Whether the instance is held at the begin of the ramp because its zone is evacuated.
    #[must_use]
    pub const fn is_zone_out(&self) -> bool {
        self.is_zone_out
    }

    /// Lets an instance whose zone is back in service advance from the begin of the ramp.
    pub fn on_zone_returned(&mut self, now: MonoTime) -> Option<HealthChange> {
        self.is_zone_out = false;
        self.restart_ramp(HealthCause::Returned, now)
    }

    /// The present state; the circuit breaker is left out.
    #[must_use]
    pub const fn state(&self) -> HealthState {
        self.state
    }

    /// The state for the instance record: `Suspect` for a healthy instance with an open breaker.
    #[must_use]
    pub const fn published_state(&self) -> HealthState {
        match self.state {
            HealthState::Healthy if !self.breaker.is_closed() => HealthState::Suspect,
            state => state,
        }
    }

    /// Whether the circuit breaker allows an idempotent request as a trial now.
    #[must_use]
    pub fn allows_trial(&self, now: MonoTime) -> bool {
        self.breaker.allows_trial(now)
    }

    /// Whether the instance is suspect because it failed a request without doing its work.
    #[must_use]
    pub fn fails_early(&self) -> bool {
        self.breaker.pass_time().is_some()
    }

    /// Time after which a running trial counts as good, so that another one may begin.
    #[must_use]
    pub fn trial_pass_time(&self) -> Option<Duration> {
        self.breaker.pass_time()
    }

    /// The median of the latest service times, for the instance record; `None` until enough
    /// responses have arrived.
    ///
    /// During an alarm it covers only the last three samples and a stall in progress, so that
    /// other instances soon see whether the whole service slows down.
    #[must_use]
    pub fn median(&self) -> Option<Duration> {
        self.slowness.median()
    }

    /// Returns whether the median has changed enough to be published again, and if so takes it
    /// as published.
    ///
    /// Other instances detect a slowdown of the whole service by it, so ask at each tick.
    pub fn should_publish_median(&mut self) -> bool {
        let median_micros = self
            .median()
            .map_or(0.0, |median| median.as_secs_f64() * 1e6);
        let ratio = (median_micros + 1.0) / (self.published_micros + 1.0);
        let least = if self.slowness.detector().has_alarm() {
            ALARM_PUBLISH_RATIO
        } else {
            PUBLISH_RATIO
        };
        let has_changed = !(1.0 / least..least).contains(&ratio);
        if has_changed {
            self.published_micros = median_micros;
        }
        has_changed
    }

    /// The internal state as JSON, for the diagnostic dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "state": self.state,
            "median_micros": self.median().map(|median| median.as_micros()),
            "slowness": self.slowness,
            "failing": self.failing,
            "backoff": self.backoff,
            "ramp": self.progress,
            "stall": self.stall,
            "trust": self.breaker,
        })
    }
}

/// Collection of evidence.
impl InstanceHealth {
    /// Adds a service time to the evidence of slowness and returns whether it is slow.
    fn observe_time(
        &mut self,
        sample: &ServiceSample,
        baseline: &ServiceBaseline,
        now: MonoTime,
    ) -> bool {
        let has_time = matches!(sample.outcome, SampleOutcome::Good | SampleOutcome::Stalled);
        let hold = self.jittered_hold(SLOW_HOLD);
        has_time
            && self
                .slowness
                .observe(sample.class, sample.service_time, baseline, hold, now)
    }

    /// Discards the evidence of a stall. Without a baseline, a good response shows that a
    /// supposed stall was only a slow request.
    fn clear_stall(&mut self) {
        self.slowness.detector_mut().reset();
        self.breaker.clear_stall();
    }

    /// Adds an outcome to the evidence of failures.
    fn observe_outcome(&mut self, outcome: SampleOutcome, now: MonoTime) {
        let evidence = match outcome {
            SampleOutcome::Good => GOOD_EVIDENCE,
            SampleOutcome::Failed => FAILED_EVIDENCE,
            SampleOutcome::Wrong => WRONG_EVIDENCE,
            // Counted as slow by observe_time: a service that slows down as a whole has many.
            SampleOutcome::Stalled | SampleOutcome::Shed => 0.0,
        };
        let hold = self.jittered_hold(FAILING_HOLD);
        self.failing.add(evidence, hold, now);
    }

    fn jittered_hold(&mut self, least: Duration) -> Duration {
        least + HOLD_JITTER.mul_f64(self.rng.f64())
    }
}

/// Transitions between states.
impl InstanceHealth {
    /// Ejects a healthy instance once an alarm is due.
    ///
    /// With recovery by requests, failures eject no instance: the circuit breaker lets only
    /// single trial requests through, which show when it recovers and are repeated elsewhere
    /// until then.
    fn eject_if_faulty(
        &mut self,
        baseline: &ServiceBaseline,
        now: MonoTime,
    ) -> Option<HealthChange> {
        let is_contained = self.recovery == RecoveryRule::Requests;
        if !is_contained && self.failing.is_due(now) && baseline.ejected_share() < MAX_EJECTED_SHARE
        {
            return self.eject(HealthCause::Failing, now);
        }
        let cause = self.slowness.ejection_cause(baseline, now)?;
        self.eject(cause, now)
    }

    /// Ejects a ramping instance that is faulty again, or moves it to the next stage.
    fn advance_ramp(&mut self, now: MonoTime) -> Option<HealthChange> {
        if self.failing.sum().max(self.slowness.detector().sum()) >= RELAPSE_SUM {
            return self.eject(HealthCause::Relapsed, now);
        }
        if self.is_zone_out {
            return None;
        }
        let state = self.progress.advance(now)?;
        self.transition(state, HealthCause::Ramped)
    }

    /// With recovery by requests, ends an ejection after the backoff: the instance is healthy
    /// with an open circuit breaker, so that requests of callers show whether it has recovered.
    fn end_ejection(&mut self, now: MonoTime) -> Option<HealthChange> {
        if self.recovery == RecoveryRule::Probes || !self.backoff.has_passed(now) {
            return None;
        }
        self.breaker.trip(now);
        self.transition(HealthState::Healthy, HealthCause::Tried)
    }

    fn eject(&mut self, cause: HealthCause, now: MonoTime) -> Option<HealthChange> {
        self.backoff.begin(now, &mut self.rng);
        self.progress.reset();
        self.transition(HealthState::Ejected, cause)
    }

    fn begin_ramp(&mut self, now: MonoTime) -> Option<HealthChange> {
        let state = self.progress.begin_ramp(now);
        self.transition(state, HealthCause::Recovered)
    }

    /// Begins the ramp of an instance that is not ejected.
    fn restart_ramp(&mut self, cause: HealthCause, now: MonoTime) -> Option<HealthChange> {
        if self.state == HealthState::Ejected {
            return None;
        }
        let before = self.state;
        let state = self.progress.begin_ramp(now);
        let change = self.transition(state, cause);
        change.filter(|_| before != state)
    }

    /// Enters a state and discards the evidence collected in the one before.
    fn transition(&mut self, to: HealthState, cause: HealthCause) -> Option<HealthChange> {
        self.slowness.detector_mut().reset();
        self.failing.reset();
        let from = std::mem::replace(&mut self.state, to);
        Some(HealthChange { from, to, cause })
    }
}
