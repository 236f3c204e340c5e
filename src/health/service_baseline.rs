//! What is usual in a service.

use std::time::Duration;

use serde::Serialize;

use crate::wire::{HealthState, InstancePhase, InstanceRecord};

/// Fewest instances whose medians make a baseline.
const MIN_MEDIANS: usize = 2;

/// The usual service time of a service and the part of it that is ejected.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct ServiceBaseline {
    median_micros: Option<u32>,
    ejected_share: f64,
}

impl ServiceBaseline {
    /// The baseline of the service whose instances are `records`.
    ///
    /// The lower median of the instances' medians: when the whole service slows down it
    /// rises with them, and one slow instance of two does not carry it.
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

    /// The usual service time; none while too few instances have one.
    #[must_use]
    pub fn median(&self) -> Option<Duration> {
        let micros = self.median_micros?;
        Some(Duration::from_micros(u64::from(micros)))
    }

    /// Share of the ready slots whose instances are ejected, 0 to 1.
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
