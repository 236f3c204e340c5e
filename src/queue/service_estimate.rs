//! The expected service time of a class.

use std::time::Duration;

/// A moving average of service times without queue wait.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServiceEstimate {
    mean_secs: f64,
    samples: u32,
}

impl ServiceEstimate {
    const INITIAL_SECS: f64 = 0.025;
    const WINDOW_SAMPLES: u32 = 16;

    /// An estimate without samples.
    pub(super) const fn open() -> Self {
        Self {
            mean_secs: Self::INITIAL_SECS,
            samples: 0,
        }
    }

    /// Takes one measured service time in.
    pub(super) fn observe(&mut self, service_time: Duration) {
        self.samples = (self.samples + 1).min(Self::WINDOW_SAMPLES);
        let step = 1.0 / f64::from(self.samples);
        self.mean_secs += step * (service_time.as_secs_f64() - self.mean_secs);
    }

    /// Whether it rests on samples.
    pub(super) const fn is_known(&self) -> bool {
        self.samples > 0
    }

    /// The mean in seconds.
    pub(super) const fn mean_secs(&self) -> f64 {
        self.mean_secs
    }
}
