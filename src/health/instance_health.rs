//! The health of one instance.

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

/// Largest share of a service's slots that ejections of failing instances may reach.
const MAX_EJECTED_SHARE: f64 = 0.5;
/// Log-likelihood ratios of each answer for sick against healthy.
const FAILED_EVIDENCE: f64 = 3.2;
const WRONG_EVIDENCE: f64 = 4.0;
const GOOD_EVIDENCE: f64 = -0.28;
/// Evidence that ends the way back.
const TRIAL_SUM: f64 = 5.0;
const SLOW_HOLD: Duration = Duration::from_millis(900);
const FAILING_HOLD: Duration = Duration::from_millis(500);
const HOLD_JITTER: Duration = Duration::from_millis(200);
/// Change of the median that is news to the peers.
const PUBLISH_RATIO: f64 = 2.0;
/// The same under suspicion, when the peers' judgement depends on it.
const SUSPECT_PUBLISH_RATIO: f64 = 1.5;
/// Longest time in which a good probe answers.
const PROBE_LIMIT: Duration = Duration::from_millis(250);

/// Detects sickness from the answers of an instance and leads it back afterwards.
#[derive(Debug, Clone)]
pub struct InstanceHealth {
    state: HealthState,
    rng: fastrand::Rng,
    stall: StallDetector,
    slowness: SlownessDetector,
    failing: CusumDetector,
    published_micros: f64,
    backoff: EjectionBackoff,
    ramp: RecoveryProgress,
    recovery: RecoveryRule,
    trust: CircuitBreaker,
}

impl InstanceHealth {
    /// A healthy instance without samples; `seed` spreads the waits.
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
            ramp: RecoveryProgress::open(),
            recovery: RecoveryRule::default(),
            trust: CircuitBreaker::default(),
        }
    }

    /// Sets how the instance comes back from an ejection.
    pub const fn set_recovery(&mut self, recovery: RecoveryRule) {
        self.recovery = recovery;
        self.backoff.set_recovery(recovery);
    }

    /// Takes the answer to a request in.
    pub fn observe(
        &mut self,
        sample: &ServiceSample,
        peers: &ServiceBaseline,
        now: MonoTime,
    ) -> Option<HealthChange> {
        self.stall.finished(now);
        self.slowness.end_stall();
        if sample.outcome == SampleOutcome::Good {
            self.stall.served(sample.service_time);
            if peers.median().is_none() {
                self.clear_stall();
            }
        }
        if sample.outcome == SampleOutcome::Shed {
            return None;
        }
        let is_slow = self.weigh_time(sample, peers, now);
        self.weigh_outcome(sample.outcome, now);
        self.trust.observe(sample, now);
        let is_good = sample.outcome == SampleOutcome::Good && !is_slow;
        match self.state {
            HealthState::Healthy => self.judge(peers, now),
            HealthState::Ramping(_) => {
                self.ramp.count(is_good);
                self.judge_trial(now)
            }
            HealthState::Ejected | HealthState::Suspect => {
                if !self.backoff.has_passed(now) || !self.ramp.request_done(is_good) {
                    return None;
                }
                self.readmit(now)
            }
        }
    }

    /// Looks at the time: `running_oldest` is the age of the oldest request that still runs.
    ///
    /// Call it at least every 100 ms.
    pub fn tick(
        &mut self,
        peers: &ServiceBaseline,
        now: MonoTime,
        running_oldest: Option<Duration>,
    ) -> Option<HealthChange> {
        if self.stall.has_paused(now) {
            self.slowness.track_mut().restart_hold(SLOW_HOLD, now);
            self.failing.restart_hold(FAILING_HOLD, now);
        }
        let stalled_for = self.stall.stalled_for(running_oldest, peers.median(), now);
        self.trust.tick(now);
        let is_slow = self.stall.is_slow(running_oldest, peers.median(), now);
        if (stalled_for.is_some() || is_slow) && self.trust.is_trusted() {
            self.trust.lose_by_stall(now);
        }
        let hold = self.hold(SLOW_HOLD);
        self.slowness.note_stall(stalled_for, hold, now);
        match self.state {
            HealthState::Healthy => self.judge(peers, now),
            HealthState::Ramping(_) => self.judge_trial(now),
            HealthState::Ejected | HealthState::Suspect => self.try_again(now),
        }
    }

    /// Whether to send a probe now; one at a time, while ejected and after the wait.
    pub fn probe_due(&mut self, now: MonoTime) -> bool {
        self.recovery == RecoveryRule::Probes
            && self.state == HealthState::Ejected
            && self.backoff.has_passed(now)
            && self.ramp.begin_probe(now)
    }

    /// Takes the answer to a probe in.
    pub fn probe_done(
        &mut self,
        outcome: SampleOutcome,
        service_time: Duration,
        now: MonoTime,
    ) -> Option<HealthChange> {
        let is_good = outcome == SampleOutcome::Good && service_time <= PROBE_LIMIT;
        if self.state != HealthState::Ejected || !self.ramp.probe_done(is_good, now) {
            return None;
        }
        self.readmit(now)
    }

    /// The present state, trust left out.
    #[must_use]
    pub const fn state(&self) -> HealthState {
        self.state
    }

    /// The state for the instance's record.
    #[must_use]
    pub const fn published_state(&self) -> HealthState {
        match self.state {
            HealthState::Healthy if !self.trust.is_trusted() => HealthState::Suspect,
            state => state,
        }
    }

    /// Whether a request that may be repeated may find out now how the instance is.
    #[must_use]
    pub fn allows_trial(&self, now: MonoTime) -> bool {
        self.trust.allows_trial(now)
    }

    /// The median of the latest service times, for the instance's record.
    ///
    /// While under suspicion it follows the very last samples and the present stall, so
    /// that peers soon see whether the whole service slows down.
    #[must_use]
    pub fn median(&self) -> Option<Duration> {
        self.slowness.median()
    }

    /// Whether the median has moved enough since the last time that this was true, so that
    /// the record is worth publishing again.
    ///
    /// Peers rely on it to see that the whole service slows down; ask at each tick.
    pub fn should_publish_median(&mut self) -> bool {
        let median_micros = self
            .median()
            .map_or(0.0, |median| median.as_secs_f64() * 1e6);
        let ratio = (median_micros + 1.0) / (self.published_micros + 1.0);
        let least = if self.slowness.track().is_suspect() {
            SUSPECT_PUBLISH_RATIO
        } else {
            PUBLISH_RATIO
        };
        let has_moved = !(1.0 / least..least).contains(&ratio);
        if has_moved {
            self.published_micros = median_micros;
        }
        has_moved
    }

    /// The state for the dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "state": self.state,
            "median_micros": self.median().map(|median| median.as_micros()),
            "slowness": self.slowness,
            "failing": self.failing,
            "backoff": self.backoff,
            "ramp": self.ramp,
            "stall": self.stall,
            "trust": self.trust,
        })
    }
}

/// Evidence.
impl InstanceHealth {
    /// Weighs a service time against the usual one; whether it is slow.
    fn weigh_time(
        &mut self,
        sample: &ServiceSample,
        peers: &ServiceBaseline,
        now: MonoTime,
    ) -> bool {
        let has_time = matches!(sample.outcome, SampleOutcome::Good | SampleOutcome::Stalled);
        let hold = self.hold(SLOW_HOLD);
        has_time
            && self
                .slowness
                .weigh(sample.class, sample.service_time, peers, hold, now)
    }

    /// Where no usual service time is known, a good answer proves that it was no stall.
    fn clear_stall(&mut self) {
        self.slowness.track_mut().reset();
        self.trust.clear_stall();
    }

    fn weigh_outcome(&mut self, outcome: SampleOutcome, now: MonoTime) {
        let evidence = match outcome {
            SampleOutcome::Good => GOOD_EVIDENCE,
            SampleOutcome::Failed => FAILED_EVIDENCE,
            SampleOutcome::Wrong => WRONG_EVIDENCE,
            // A stall is weighed as a slow answer: a service that slows down has many.
            SampleOutcome::Stalled | SampleOutcome::Shed => 0.0,
        };
        let hold = self.hold(FAILING_HOLD);
        self.failing.add(evidence, hold, now);
    }

    fn hold(&mut self, least: Duration) -> Duration {
        least + HOLD_JITTER.mul_f64(self.rng.f64())
    }
}

/// Changes of state.
impl InstanceHealth {
    /// An instance that fails is ejected, unless callers' requests try it: then a few at a time
    /// go there, find out when it recovers, and are repeated elsewhere until then.
    fn judge(&mut self, peers: &ServiceBaseline, now: MonoTime) -> Option<HealthChange> {
        let is_contained = self.recovery == RecoveryRule::Requests;
        if !is_contained && self.failing.is_due(now) && peers.ejected_share() < MAX_EJECTED_SHARE {
            return self.eject(HealthCause::Failing, now);
        }
        let cause = self.slowness.judge(peers, now)?;
        self.eject(cause, now)
    }

    fn judge_trial(&mut self, now: MonoTime) -> Option<HealthChange> {
        if self.failing.sum().max(self.slowness.track().sum()) >= TRIAL_SUM {
            return self.eject(HealthCause::Relapsed, now);
        }
        let state = self.ramp.advance(now)?;
        self.change(state, HealthCause::Ramped)
    }

    /// Lets callers' requests find out whether the instance has recovered.
    fn try_again(&mut self, now: MonoTime) -> Option<HealthChange> {
        if self.recovery == RecoveryRule::Probes || !self.backoff.has_passed(now) {
            return None;
        }
        self.trust.lose(now);
        self.change(HealthState::Healthy, HealthCause::Tried)
    }

    fn eject(&mut self, cause: HealthCause, now: MonoTime) -> Option<HealthChange> {
        self.backoff.begin(now, &mut self.rng);
        self.ramp.reset();
        self.change(HealthState::Ejected, cause)
    }

    fn readmit(&mut self, now: MonoTime) -> Option<HealthChange> {
        let state = self.ramp.begin_ramp(now);
        self.change(state, HealthCause::Recovered)
    }

    fn change(&mut self, to: HealthState, cause: HealthCause) -> Option<HealthChange> {
        self.slowness.track_mut().reset();
        self.failing.reset();
        let from = std::mem::replace(&mut self.state, to);
        Some(HealthChange { from, to, cause })
    }
}
