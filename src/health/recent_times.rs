//! The latest service times of an instance.

use std::collections::VecDeque;

const MEDIAN_SAMPLES: usize = 9;
const SUSPECT_SAMPLES: usize = 3;

/// A short window of service times in microseconds.
#[derive(Debug, Clone, Default)]
pub(super) struct RecentTimes {
    micros: VecDeque<f64>,
}

impl RecentTimes {
    /// Takes a service time in.
    pub(super) fn push(&mut self, micros: f64) {
        if self.micros.len() == MEDIAN_SAMPLES {
            self.micros.pop_front();
        }
        self.micros.push_back(micros);
    }

    /// The median of the window, once it is full.
    pub(super) fn median_micros(&self) -> Option<f64> {
        if self.micros.len() < MEDIAN_SAMPLES {
            return None;
        }
        self.median_of_last(MEDIAN_SAMPLES)
    }

    /// The median of the very last samples, which follows a change at once.
    pub(super) fn latest_micros(&self) -> Option<f64> {
        self.median_of_last(SUSPECT_SAMPLES)
    }

    fn median_of_last(&self, count: usize) -> Option<f64> {
        let mut times: Vec<f64> = self.micros.iter().rev().take(count).copied().collect();
        times.sort_unstable_by(f64::total_cmp);
        times.get(times.len() / 2).copied()
    }
}
