//! Baseline service time and ejected share of a service.

use std::time::Duration;

use serde::Serialize;

use crate::wire::{HealthState, InstancePhase, InstanceRecord};

/// Fewest instances with a median for which a baseline exists.
const MIN_MEDIANS: usize = 2;

/// The baseline service time of a service and the share of its slots that is ejected.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct ServiceBaseline {
    median_micros: Option<u32>,
    ejected_share: f64,
}

impl ServiceBaseline {
    /// Computes the baseline from the records of all instances of a service.
    ///
    /// The service time is the lower median of the medians of the ready instances. It rises when
    /// the whole service slows down, but not when one of two instances does.
    #[must_use]
    pub fn from_records(records: &[InstanceRecord]) -> Self {
        let ready = || {
            let records = records.iter();
            records.filter(|record| record.phase == InstancePhase::Ready)
        };
        let mut medians: Vec<u32> = ready()
            .map(|record| record.median_micros)
            .filter(|micros| *micros > 0)
            .collect();
        medians.sort_unstable();
        let median_micros = match medians.len() {
            count if count < MIN_MEDIANS => None,
            count => Some(medians[(count - 1) / 2]),
        };
        let is_ejected = |record: &&InstanceRecord| record.health == HealthState::Ejected;
        let slots = |record: &InstanceRecord| u64::from(record.slots.get());
        let ejected: u64 = ready().filter(is_ejected).map(slots).sum();
        let all: u64 = ready().map(slots).sum();
        Self {
            median_micros,
            ejected_share: share_of(ejected, all),
        }
    }

    /// The baseline service time; `None` while fewer than two instances have a median.
    #[must_use]
    pub fn median(&self) -> Option<Duration> {
        let micros = self.median_micros?;
        Some(Duration::from_micros(u64::from(micros)))
    }

    /// Share of the slots of ready instances that is ejected, from 0 to 1.
    #[must_use]
    pub const fn ejected_share(&self) -> f64 {
        self.ejected_share
    }
}

#[expect(clippy::cast_precision_loss, reason = "slot counts lie far below 2^52")]
fn share_of(part: u64, all: u64) -> f64 {
    if all == 0 {
        0.0
    } else {
        part as f64 / all as f64
    }
}
