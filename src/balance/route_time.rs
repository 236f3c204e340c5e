//! Estimate of how long the requests of one route take.

use std::time::Duration;

/// Weight of a further sample in the mean.
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of a further sample in the deviation.
const DEVIATION_WEIGHT: f64 = 0.25;
/// Deviations from the mean that the estimate allows for.
const ALLOWED_DEVIATIONS: f64 = 2.0;
/// Deviations from the mean that the usual time includes.
const USUAL_DEVIATIONS: f64 = 1.0;
/// Largest sample as a multiple of the mean, so that a faulty instance hardly counts.
const MAX_SAMPLE_MEANS: f64 = 3.0;

/// Mean and mean deviation of the times from an offer that did not wait to its whole response.
#[derive(Debug, Clone, Copy)]
pub(super) struct RouteTime {
    mean_secs: f64,
    deviation_secs: f64,
}

impl RouteTime {
    /// Returns the estimate after the first sample.
    pub(super) fn open(span: Duration) -> Self {
        Self {
            mean_secs: span.as_secs_f64(),
            deviation_secs: span.as_secs_f64() / 2.0,
        }
    }

    /// Adds a sample.
    pub(super) fn observe(&mut self, span: Duration) {
        let sample_secs = span.as_secs_f64().min(self.mean_secs * MAX_SAMPLE_MEANS);
        let error = sample_secs - self.mean_secs;
        self.mean_secs += error * MEAN_WEIGHT;
        self.deviation_secs += (error.abs() - self.deviation_secs) * DEVIATION_WEIGHT;
    }

    /// Returns the time that most requests do not exceed.
    pub(super) fn expected(&self) -> Duration {
        self.span(ALLOWED_DEVIATIONS)
    }

    /// Returns the time that requests usually take; some take longer.
    pub(super) fn usual(&self) -> Duration {
        self.span(USUAL_DEVIATIONS)
    }

    fn span(&self, deviations: f64) -> Duration {
        let secs = self.mean_secs + deviations * self.deviation_secs;
        Duration::try_from_secs_f64(secs.max(0.0)).unwrap_or(Duration::MAX)
    }
}
