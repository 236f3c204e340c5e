//! Outlier detection for slow and stalled instances.

use std::time::Duration;

use serde::Serialize;

use crate::health::class_normalizer::ClassNormalizer;
use crate::health::cusum_detector::CusumDetector;
use crate::health::recent_times::RecentTimes;
use crate::health::{HealthCause, ServiceBaseline};
use crate::resource::RequestClass;
use crate::time::MonoTime;

/// Multiple of the baseline service time from which a response is slow.
const SLOW_RATIO: f64 = 3.0;
/// The same multiple during the first `COLD_TIME` of an instance, whose cold responses are slower.
const COLD_RATIO: f64 = 6.0;
const COLD_TIME: Duration = Duration::from_secs(10);
/// Log-likelihood ratio of a slow response, for "slow instance" against "healthy".
const SLOW_EVIDENCE: f64 = 3.0;
/// Log-likelihood ratio of a response that is not slow.
const FAST_EVIDENCE: f64 = -0.9;
/// Smoothing factor of the moving average over slow responses, from 0 to 1.
const SLOW_SMOOTHING: f64 = 0.3;
/// Evidence added by each tick in which the instance is stalled.
const STALL_EVIDENCE: f64 = 6.0;

/// Compares the service times of an instance with the baseline of its service.
///
/// An alarm leads to an ejection only after a hold time. It clears as soon as the medians of the
/// other instances rise as well: when the whole service slows down, no instance is an outlier.
#[derive(Debug, Clone, Serialize)]
pub(super) struct SlownessDetector {
    #[serde(rename = "track")]
    detector: CusumDetector,
    #[serde(skip)]
    normalizer: ClassNormalizer,
    #[serde(skip)]
    times: RecentTimes,
    /// When a response was first compared with the baseline.
    opened_at: Option<MonoTime>,
    /// Moving average of the logarithms of slow service times in microseconds.
    slow_log_micros: f64,
    /// Highest baseline since the present alarm was raised, in microseconds.
    #[serde(rename = "peers_peak_micros")]
    baseline_peak_micros: f64,
    stalled_for: Option<Duration>,
}

impl SlownessDetector {
    /// Returns a detector without samples.
    pub(super) fn open() -> Self {
        Self {
            detector: CusumDetector::open(),
            normalizer: ClassNormalizer::default(),
            times: RecentTimes::default(),
            opened_at: None,
            slow_log_micros: 0.0,
            baseline_peak_micros: 0.0,
            stalled_for: None,
        }
    }

    /// Adds the service time of a response and returns whether it is slow.
    ///
    /// An alarm that this raises has the hold time `hold`.
    pub(super) fn observe(
        &mut self,
        class: RequestClass,
        service_time: Duration,
        baseline: &ServiceBaseline,
        hold: Duration,
        now: MonoTime,
    ) -> bool {
        let Some(micros) = self.normalizer.normalize(class, micros_of(service_time)) else {
            return false;
        };
        self.times.push(micros);
        let Some(baseline_time) = baseline.median() else {
            return false;
        };
        let is_slow = micros >= micros_of(baseline_time) * self.slow_ratio(now);
        if is_slow {
            self.average_slow(micros);
        }
        let evidence = if is_slow {
            SLOW_EVIDENCE
        } else {
            FAST_EVIDENCE
        };
        self.detector.add(evidence, hold, now);
        is_slow
    }

    /// Takes in at a tick how long the instance has been stalled, `None` if it is not.
    pub(super) fn observe_stall(
        &mut self,
        stalled_for: Option<Duration>,
        hold: Duration,
        now: MonoTime,
    ) {
        self.stalled_for = stalled_for;
        if let Some(stalled_for) = stalled_for {
            self.average_slow(micros_of(stalled_for));
            self.detector.add(STALL_EVIDENCE, hold, now);
        }
    }

    /// Ends a stall, because the instance has responded.
    pub(super) const fn end_stall(&mut self) {
        self.stalled_for = None;
    }

    /// Returns why the instance should be ejected, once an alarm is due.
    ///
    /// Clears an alarm if the service times are no outlier compared with the highest baseline
    /// since the alarm was raised.
    pub(super) fn ejection_cause(
        &mut self,
        baseline: &ServiceBaseline,
        now: MonoTime,
    ) -> Option<HealthCause> {
        self.update_baseline_peak(baseline);
        let is_outlier = self.slow_log_micros.exp() >= self.baseline_peak_micros * SLOW_RATIO;
        if self.detector.has_alarm() && !is_outlier {
            self.detector.reset();
        }
        if !self.detector.is_due(now) {
            return None;
        }
        Some(match self.stalled_for {
            Some(_) => HealthCause::Stalled,
            None => HealthCause::Slow,
        })
    }

    /// The median of the latest service times; `None` until enough responses have arrived.
    ///
    /// During an alarm it covers fewer samples and a stall in progress, so that other instances
    /// soon see whether the whole service slows down.
    pub(super) fn median(&self) -> Option<Duration> {
        let micros = if self.detector.has_alarm() {
            self.times.latest_median_micros()
        } else {
            self.times.median_micros()
        };
        let median = micros.map(|micros| Duration::from_secs_f64(micros / 1e6));
        median.max(self.stalled_for)
    }

    /// The time that a request of `class` usually takes: the median of the instance, or else the baseline
    /// of its service; `None` until one of them is known.
    pub(super) fn usual_time(
        &self,
        class: RequestClass,
        baseline: &ServiceBaseline,
    ) -> Option<Duration> {
        let micros = self.normalizer.median_micros(class);
        let median = micros.map(|micros| Duration::from_secs_f64(micros / 1e6));
        median.or_else(|| baseline.median())
    }

    /// The evidence that the instance is slow.
    pub(super) const fn detector(&self) -> &CusumDetector {
        &self.detector
    }

    /// The evidence that the instance is slow, to reset it or restart its hold time.
    pub(super) const fn detector_mut(&mut self) -> &mut CusumDetector {
        &mut self.detector
    }

    /// Keeps the highest baseline seen during an alarm.
    fn update_baseline_peak(&mut self, baseline: &ServiceBaseline) {
        let baseline_micros = baseline.median().map_or(0.0, micros_of);
        self.baseline_peak_micros = if self.detector.has_alarm() {
            self.baseline_peak_micros.max(baseline_micros)
        } else {
            baseline_micros
        };
    }

    /// Averages slow service times by their logarithms, so that a single outlier does not decide.
    ///
    /// Without evidence of slowness the average restarts at `micros`.
    fn average_slow(&mut self, micros: f64) {
        let log_micros = micros.max(1.0).ln();
        let step = if self.detector.sum() > 0.0 {
            SLOW_SMOOTHING
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
