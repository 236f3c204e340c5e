//! The sequential test for slow and stalled instances.

use std::time::Duration;

use serde::Serialize;

use crate::health::class_normalizer::ClassNormalizer;
use crate::health::cusum_detector::CusumDetector;
use crate::health::recent_times::RecentTimes;
use crate::health::{HealthCause, ServiceBaseline};
use crate::resource::RequestClass;
use crate::time::MonoTime;

/// Multiple of the usual service time from which an answer is slow.
const SLOW_RATIO: f64 = 3.0;
/// The same while the instance is cold.
const COLD_RATIO: f64 = 6.0;
const COLD_TIME: Duration = Duration::from_secs(10);
/// Log-likelihood ratios of each answer for sick against healthy.
const SLOW_EVIDENCE: f64 = 3.0;
const FAST_EVIDENCE: f64 = -0.9;
/// Part of the way that the level of slow answers moves with each.
const SLOW_STEP: f64 = 0.3;
/// Evidence of each tick in which the instance is stalled.
const STALL_EVIDENCE: f64 = 6.0;

/// Compares service times with the service's own median.
///
/// A suspicion leads to an ejection only after a hold, and ends as soon as the medians of
/// the peers rise as well: when the whole service has slowed down, no one is an outlier.
#[derive(Debug, Clone, Serialize)]
pub(super) struct SlownessDetector {
    track: CusumDetector,
    #[serde(skip)]
    scales: ClassNormalizer,
    #[serde(skip)]
    times: RecentTimes,
    opened_at: Option<MonoTime>,
    slow_log_micros: f64,
    peers_peak_micros: f64,
    stalled_for: Option<Duration>,
}

impl SlownessDetector {
    /// A test without samples.
    pub(super) fn open() -> Self {
        Self {
            track: CusumDetector::open(),
            scales: ClassNormalizer::default(),
            times: RecentTimes::default(),
            opened_at: None,
            slow_log_micros: 0.0,
            peers_peak_micros: 0.0,
            stalled_for: None,
        }
    }

    /// Weighs the service time of an answer; whether it is slow.
    pub(super) fn weigh(
        &mut self,
        class: RequestClass,
        service_time: Duration,
        peers: &ServiceBaseline,
        hold: Duration,
        now: MonoTime,
    ) -> bool {
        let Some(micros) = self.scales.scale(class, micros_of(service_time)) else {
            return false;
        };
        self.times.push(micros);
        let Some(usual) = peers.median() else {
            return false;
        };
        let is_slow = micros >= micros_of(usual) * self.slow_ratio(now);
        if is_slow {
            self.follow_slow(micros);
        }
        let evidence = if is_slow {
            SLOW_EVIDENCE
        } else {
            FAST_EVIDENCE
        };
        self.track.add(evidence, hold, now);
        is_slow
    }

    /// Notes at a tick whether the instance is stalled, and for how long.
    pub(super) fn note_stall(
        &mut self,
        stalled_for: Option<Duration>,
        hold: Duration,
        now: MonoTime,
    ) {
        self.stalled_for = stalled_for;
        if let Some(stalled_for) = stalled_for {
            self.follow_slow(micros_of(stalled_for));
            self.track.add(STALL_EVIDENCE, hold, now);
        }
    }

    /// The instance has answered, so that it is not stalled.
    pub(super) const fn end_stall(&mut self) {
        self.stalled_for = None;
    }

    /// Judges a suspicion once its hold is over.
    pub(super) fn judge(&mut self, peers: &ServiceBaseline, now: MonoTime) -> Option<HealthCause> {
        self.follow_peers(peers);
        let is_outlier = self.slow_log_micros.exp() >= self.peers_peak_micros * SLOW_RATIO;
        if self.track.is_suspect() && !is_outlier {
            self.track.reset();
        }
        if !self.track.is_due(now) {
            return None;
        }
        Some(match self.stalled_for {
            Some(_) => HealthCause::Stalled,
            None => HealthCause::Slow,
        })
    }

    /// The median of the latest service times.
    ///
    /// Under suspicion it follows the very last samples and the present stall, so that
    /// peers soon see whether the whole service slows down.
    pub(super) fn median(&self) -> Option<Duration> {
        let micros = if self.track.is_suspect() {
            self.times.latest_micros()
        } else {
            self.times.median_micros()
        };
        let median = micros.map(|micros| Duration::from_secs_f64(micros / 1e6));
        median.max(self.stalled_for)
    }

    /// The evidence.
    pub(super) const fn track(&self) -> &CusumDetector {
        &self.track
    }

    /// The evidence, to be reset or held anew.
    pub(super) const fn track_mut(&mut self) -> &mut CusumDetector {
        &mut self.track
    }

    /// Keeps the highest baseline that was heard during a suspicion.
    fn follow_peers(&mut self, peers: &ServiceBaseline) {
        let usual_micros = peers.median().map_or(0.0, micros_of);
        self.peers_peak_micros = if self.track.is_suspect() {
            self.peers_peak_micros.max(usual_micros)
        } else {
            usual_micros
        };
    }

    /// Follows the logarithm of the slow answers, so that one outlier does not decide.
    fn follow_slow(&mut self, micros: f64) {
        let log_micros = micros.max(1.0).ln();
        let step = if self.track.sum() > 0.0 {
            SLOW_STEP
        } else {
            1.0
        };
        self.slow_log_micros += step * (log_micros - self.slow_log_micros);
    }

    fn slow_ratio(&mut self, now: MonoTime) -> f64 {
        let opened_at = *self.opened_at.get_or_insert(now);
        if now.since(opened_at) < COLD_TIME {
            COLD_RATIO
        } else {
            SLOW_RATIO
        }
    }
}

fn micros_of(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6
}
