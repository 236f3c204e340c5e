//! Moving average of the service times of one request class.

use std::time::Duration;

/// Mean service time, without the wait in the queue, weighted towards recent samples.
///
/// Until [`Self::WINDOW_SAMPLES`] samples have arrived, it is their plain mean. After that it is
/// an exponential moving average.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServiceEstimate {
    mean_secs: f64,
    /// Number of samples so far, at most [`Self::WINDOW_SAMPLES`].
    samples: u32,
}

impl ServiceEstimate {
    /// Mean in seconds before the first sample.
    const INITIAL_SECS: f64 = 0.025;
    /// Each further sample has a weight of one over this number.
    const WINDOW_SAMPLES: u32 = 16;

    /// Creates an estimate without samples, which is `INITIAL_SECS`.
    pub(super) const fn open() -> Self {
        Self {
            mean_secs: Self::INITIAL_SECS,
            samples: 0,
        }
    }

    /// Adds a measured service time.
    pub(super) fn observe(&mut self, service_time: Duration) {
        self.samples = (self.samples + 1).min(Self::WINDOW_SAMPLES);
        let step = 1.0 / f64::from(self.samples);
        self.mean_secs += step * (service_time.as_secs_f64() - self.mean_secs);
    }

    /// Whether at least one sample was added.
    pub(super) const fn is_known(&self) -> bool {
        self.samples > 0
    }

    /// Mean service time in seconds.
    pub(super) const fn mean_secs(&self) -> f64 {
        self.mean_secs
    }
}
