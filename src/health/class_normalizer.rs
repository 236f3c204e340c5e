//! How long each class takes compared with an instance's work as a whole.

use crate::resource::RequestClass;

/// Samples of a class before its times count.
const MIN_SAMPLES: u32 = 20;
/// Samples of which the median is exact. Where classes differ by hundreds, small steps from a first
/// sample would never reach it, and instances would not compare.
const EXACT_SAMPLES: usize = 20;
const FIRST_STEP: f64 = 0.5;
const LAST_STEP: f64 = 0.005;

/// Scales the service times of all classes to one measure.
///
/// Instances of a service see like mixes of classes, so their overall medians compare,
/// and a class that takes long by nature does not make its samples look slow.
#[derive(Debug, Clone, Default)]
pub(super) struct ClassNormalizer {
    overall: LogMedian,
    classes: [LogMedian; RequestClass::ALL.len()],
}

impl ClassNormalizer {
    /// Takes a service time in and scales it; none while the class is little known.
    pub(super) fn scale(&mut self, class: RequestClass, micros: f64) -> Option<f64> {
        let log_micros = micros.max(1.0).ln();
        self.overall.observe(log_micros);
        let median = &mut self.classes[class as usize];
        median.observe(log_micros);
        let shift = self.overall.value - median.value;
        (median.samples >= MIN_SAMPLES).then(|| (log_micros + shift).exp())
    }
}

/// A median of logarithms, exact at first, that then follows slowly and shrugs off outliers.
#[derive(Debug, Clone, Default)]
struct LogMedian {
    value: f64,
    samples: u32,
    first: Vec<f64>,
}

impl LogMedian {
    fn observe(&mut self, log_micros: f64) {
        self.samples = self.samples.saturating_add(1);
        if self.first.len() < EXACT_SAMPLES {
            let place = self.first.partition_point(|known| *known < log_micros);
            self.first.insert(place, log_micros);
            self.value = self.first[self.first.len() / 2];
            return;
        }
        let step = (FIRST_STEP / f64::from(self.samples)).max(LAST_STEP);
        let gap = log_micros - self.value;
        self.value += gap.clamp(-step, step);
    }
}
