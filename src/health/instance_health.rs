//! The health of one instance.

use std::time::Duration;

use crate::health::class_scales::ClassScales;
use crate::health::eject_backoff::EjectBackoff;
use crate::health::evidence_track::EvidenceTrack;
use crate::health::ramp_progress::RampProgress;
use crate::health::recent_times::RecentTimes;
use crate::health::stall_watch::StallWatch;
use crate::health::{HealthCause, HealthChange, SampleOutcome, ServiceBaseline, ServiceSample};
use crate::time::MonoTime;
use crate::wire::HealthState;

/// Multiple of the usual service time from which an answer is slow.
const SLOW_RATIO: f64 = 3.0;
/// The same while the instance is cold.
const COLD_RATIO: f64 = 6.0;
const COLD_TIME: Duration = Duration::from_secs(10);
/// Largest share of a service's slots that ejections of failing instances may reach.
const MAX_EJECTED_SHARE: f64 = 0.5;
/// Log-likelihood ratios of each answer for sick against healthy.
const SLOW_EVIDENCE: f64 = 3.0;
const FAST_EVIDENCE: f64 = -0.9;
const FAILED_EVIDENCE: f64 = 3.2;
const WRONG_EVIDENCE: f64 = 4.0;
const GOOD_EVIDENCE: f64 = -0.28;
/// Evidence of each tick in which the instance is stalled.
const STALL_EVIDENCE: f64 = 6.0;
/// Evidence that ends the way back.
const TRIAL_SUM: f64 = 5.0;
const SLOW_HOLD: Duration = Duration::from_millis(1_000);
const FAILING_HOLD: Duration = Duration::from_millis(500);
const HOLD_JITTER: Duration = Duration::from_millis(300);
/// Longest time in which a good probe answers.
const PROBE_LIMIT: Duration = Duration::from_millis(250);

/// Detects sickness from the answers of an instance and leads it back afterwards.
#[derive(Debug, Clone)]
pub struct InstanceHealth {
    state: HealthState,
    rng: fastrand::Rng,
    opened_at: Option<MonoTime>,
    scales: ClassScales,
    times: RecentTimes,
    stall: StallWatch,
    stalled_for: Option<Duration>,
    slowness: EvidenceTrack,
    failing: EvidenceTrack,
    peers_peak_micros: f64,
    slow_micros: f64,
    backoff: EjectBackoff,
    ramp: RampProgress,
}

impl InstanceHealth {
    /// A healthy instance without samples; `seed` spreads the waits.
    #[must_use]
    pub fn open(seed: u64) -> Self {
        Self {
            state: HealthState::Healthy,
            rng: fastrand::Rng::with_seed(seed),
            opened_at: None,
            scales: ClassScales::default(),
            times: RecentTimes::default(),
            stall: StallWatch::open(),
            stalled_for: None,
            slowness: EvidenceTrack::open(),
            failing: EvidenceTrack::open(),
            peers_peak_micros: 0.0,
            slow_micros: 0.0,
            backoff: EjectBackoff::open(),
            ramp: RampProgress::open(),
        }
    }

    /// Takes the answer to a request in.
    pub fn observe(
        &mut self,
        sample: &ServiceSample,
        peers: &ServiceBaseline,
        now: MonoTime,
    ) -> Option<HealthChange> {
        self.stall.finished(now);
        self.stalled_for = None;
        if sample.outcome == SampleOutcome::Shed {
            return None;
        }
        let is_slow = self.weigh_time(sample, peers, now);
        self.weigh_outcome(sample.outcome, now);
        let is_good = sample.outcome == SampleOutcome::Good && !is_slow;
        match self.state {
            HealthState::Healthy => self.judge(peers, now),
            HealthState::Ramping(_) => {
                self.ramp.count(is_good);
                self.judge_trial(now)
            }
            HealthState::Ejected => {
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
            self.slowness.restart_hold(SLOW_HOLD, now);
            self.failing.restart_hold(FAILING_HOLD, now);
        }
        self.stalled_for = self.stall.stalled_for(running_oldest, peers.median(), now);
        if let Some(stalled_for) = self.stalled_for {
            let hold = self.hold(SLOW_HOLD);
            self.slow_micros = micros_of(stalled_for);
            self.slowness.add(STALL_EVIDENCE, hold, now);
        }
        match self.state {
            HealthState::Healthy => self.judge(peers, now),
            HealthState::Ramping(_) => self.judge_trial(now),
            HealthState::Ejected => None,
        }
    }

    /// Whether to send a probe now; one at a time, while ejected and after the wait.
    pub fn probe_due(&mut self, now: MonoTime) -> bool {
        self.state == HealthState::Ejected
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

    /// The present state.
    #[must_use]
    pub const fn state(&self) -> HealthState {
        self.state
    }

    /// The median of the latest service times, for the instance's record.
    ///
    /// While under suspicion it follows the very last samples and the present stall, so
    /// that peers soon see whether the whole service slows down.
    #[must_use]
    pub fn median(&self) -> Option<Duration> {
        let micros = if self.slowness.is_suspect() {
            self.times.latest_micros()
        } else {
            self.times.median_micros()
        };
        let median = micros.map(|micros| Duration::from_secs_f64(micros / 1e6));
        median.max(self.stalled_for)
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
        if !matches!(sample.outcome, SampleOutcome::Good | SampleOutcome::Stalled) {
            return false;
        }
        let raw_micros = micros_of(sample.service_time);
        let Some(micros) = self.scales.scale(sample.class, raw_micros) else {
            return false;
        };
        self.times.push(micros);
        let Some(usual) = peers.median() else {
            return false;
        };
        let is_slow = micros >= micros_of(usual) * self.slow_ratio(now);
        let evidence = if is_slow {
            SLOW_EVIDENCE
        } else {
            FAST_EVIDENCE
        };
        if is_slow {
            self.slow_micros = micros;
        }
        let hold = self.hold(SLOW_HOLD);
        self.slowness.add(evidence, hold, now);
        is_slow
    }

    fn weigh_outcome(&mut self, outcome: SampleOutcome, now: MonoTime) {
        let evidence = match outcome {
            SampleOutcome::Good => GOOD_EVIDENCE,
            SampleOutcome::Failed => FAILED_EVIDENCE,
            SampleOutcome::Wrong | SampleOutcome::Stalled => WRONG_EVIDENCE,
            SampleOutcome::Shed => 0.0,
        };
        let hold = self.hold(FAILING_HOLD);
        self.failing.add(evidence, hold, now);
    }

    fn slow_ratio(&mut self, now: MonoTime) -> f64 {
        let opened_at = *self.opened_at.get_or_insert(now);
        if now.since(opened_at) < COLD_TIME {
            COLD_RATIO
        } else {
            SLOW_RATIO
        }
    }

    fn hold(&mut self, least: Duration) -> Duration {
        least + HOLD_JITTER.mul_f64(self.rng.f64())
    }
}

/// Changes of state.
impl InstanceHealth {
    fn judge(&mut self, peers: &ServiceBaseline, now: MonoTime) -> Option<HealthChange> {
        self.follow_peers(peers);
        if self.failing.is_due(now) && peers.ejected_share() < MAX_EJECTED_SHARE {
            return self.eject(HealthCause::Failing, now);
        }
        if !self.slowness.is_due(now) {
            return None;
        }
        if self.slow_micros < self.peers_peak_micros * SLOW_RATIO {
            self.slowness.reset();
            return None;
        }
        let cause = match self.stalled_for {
            Some(_) => HealthCause::Stalled,
            None => HealthCause::Slow,
        };
        self.eject(cause, now)
    }

    /// Keeps the highest baseline that was heard during a suspicion.
    fn follow_peers(&mut self, peers: &ServiceBaseline) {
        let usual_micros = peers.median().map_or(0.0, micros_of);
        self.peers_peak_micros = if self.slowness.is_suspect() {
            self.peers_peak_micros.max(usual_micros)
        } else {
            usual_micros
        };
    }

    fn judge_trial(&mut self, now: MonoTime) -> Option<HealthChange> {
        if self.failing.sum().max(self.slowness.sum()) >= TRIAL_SUM {
            return self.eject(HealthCause::Relapsed, now);
        }
        let state = self.ramp.advance(now)?;
        self.change(state, HealthCause::Ramped)
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
        self.slowness.reset();
        self.failing.reset();
        let from = std::mem::replace(&mut self.state, to);
        Some(HealthChange { from, to, cause })
    }
}

fn micros_of(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6
}
