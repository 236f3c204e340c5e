//! Sliding window over the latest service times of an instance.

use std::collections::VecDeque;

/// Samples in the window.
const MEDIAN_SAMPLES: usize = 9;
/// Samples that the median covers during an alarm, so that it follows a change at once.
const ALARM_SAMPLES: usize = 3;

/// The latest service times in microseconds, oldest first.
#[derive(Debug, Clone, Default)]
pub(super) struct RecentTimes {
    micros: VecDeque<f64>,
}

impl RecentTimes {
    /// Adds a service time in microseconds; the oldest one leaves a full window.
    pub(super) fn push(&mut self, micros: f64) {
        if self.micros.len() == MEDIAN_SAMPLES {
            self.micros.pop_front();
        }
        self.micros.push_back(micros);
    }

    /// The median of the window; `None` until the window is full.
    pub(super) fn median_micros(&self) -> Option<f64> {
        if self.micros.len() < MEDIAN_SAMPLES {
            return None;
        }
        self.median_of_last(MEDIAN_SAMPLES)
    }

    /// The median of the last three samples; `None` without samples.
    pub(super) fn latest_median_micros(&self) -> Option<f64> {
        self.median_of_last(ALARM_SAMPLES)
    }

    fn median_of_last(&self, count: usize) -> Option<f64> {
        let mut times: Vec<f64> = self.micros.iter().rev().take(count).copied().collect();
        times.sort_unstable_by(f64::total_cmp);
        times.get(times.len() / 2).copied()
    }
}
