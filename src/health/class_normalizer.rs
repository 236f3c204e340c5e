//! Normalization of service times across request classes.

use crate::resource::RequestClass;

/// Samples of a class before its service times are used.
const MIN_SAMPLES: u32 = 20;
/// Samples of a class before its median is used on its own.
const MIN_MEDIAN_SAMPLES: u32 = 2;
/// Samples of which the median is exact. Service times of classes can differ by a factor of
/// hundreds: small steps from the first sample would never reach the median, and the medians of
/// two instances would not be comparable.
const EXACT_SAMPLES: usize = 20;
/// The n-th sample moves the median by at most this divided by n, in units of the logarithm.
const FIRST_STEP: f64 = 0.5;
/// Lower limit of that step, with which the median keeps following changes.
const LAST_STEP: f64 = 0.005;

/// Scales the service times of all request classes to a common median.
///
/// Instances of a service receive similar mixes of classes, so their overall medians are
/// comparable, and a class that takes long by nature does not make its samples look slow.
#[derive(Debug, Clone, Default)]
pub(super) struct ClassNormalizer {
    overall: LogMedian,
    classes: [LogMedian; RequestClass::ALL.len()],
}

impl ClassNormalizer {
    /// Adds a service time in microseconds and returns it normalized.
    ///
    /// Returns `None` until the class has `MIN_SAMPLES` samples.
    pub(super) fn normalize(&mut self, class: RequestClass, micros: f64) -> Option<f64> {
        let log_micros = micros.max(1.0).ln();
        self.overall.observe(log_micros);
        let median = &mut self.classes[class as usize];
        median.observe(log_micros);
        let shift = self.overall.value - median.value;
        (median.samples >= MIN_SAMPLES).then(|| (log_micros + shift).exp())
    }

    /// The median of the service times of `class` in microseconds, or else of all classes; `None` until
    /// one of them has `MIN_MEDIAN_SAMPLES` samples.
    pub(super) fn median_micros(&self, class: RequestClass) -> Option<f64> {
        let medians = [&self.classes[class as usize], &self.overall];
        let known = medians
            .iter()
            .find(|median| median.samples >= MIN_MEDIAN_SAMPLES);
        known.map(|median| median.value.exp())
    }
}

/// A running median of logarithms: exact for the first samples, then moved by small steps, so
/// that outliers have little effect.
#[derive(Debug, Clone, Default)]
struct LogMedian {
    value: f64,
    samples: u32,
    /// The first `EXACT_SAMPLES` samples in ascending order.
    first: Vec<f64>,
}

impl LogMedian {
    fn observe(&mut self, log_micros: f64) {
        self.samples = self.samples.saturating_add(1);
        if self.first.len() < EXACT_SAMPLES {
            let index = self.first.partition_point(|known| *known < log_micros);
            self.first.insert(index, log_micros);
            self.value = self.first[self.first.len() / 2];
            return;
        }
        let step = (FIRST_STEP / f64::from(self.samples)).max(LAST_STEP);
        let gap = log_micros - self.value;
        self.value += gap.clamp(-step, step);
    }
}
