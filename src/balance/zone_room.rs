//! What of a service's capacity in one zone is usable.

use std::time::Duration;

use crate::balance::instance_picker::is_healthy_capacity_scarce;
use crate::ids::ZoneId;
use crate::wire::{HealthState, InstancePhase, InstanceRecord};

/// Capacity of a service in one zone, in slots.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ZoneRoom {
    usable: u64,
    announced: u64,
    ready: u64,
    /// Whether healthy capacity is scarce in all zones together, so that other instances are used.
    is_scarce: bool,
    /// Longest median service time of the usable instances.
    median: Duration,
}

impl ZoneRoom {
    /// Returns the room in `zone`. An instance is usable if it is ready, healthy and `is_reachable`.
    pub fn of(
        records: &[InstanceRecord],
        zone: &ZoneId,
        is_reachable: impl Fn(&InstanceRecord) -> bool,
    ) -> Self {
        let mut room = Self {
            is_scarce: is_healthy_capacity_scarce(records),
            ..Self::default()
        };
        for record in records.iter().filter(|record| record.zone == *zone) {
            let slots = u64::from(record.slots.get());
            let is_present = record.phase != InstancePhase::Gone;
            room.announced += if is_present { slots } else { 0 };
            if record.phase != InstancePhase::Ready || !is_reachable(record) {
                continue;
            }
            room.ready += slots;
            if record.health == HealthState::Healthy {
                room.usable += slots;
                let median = Duration::from_micros(u64::from(record.median_micros));
                room.median = room.median.max(median);
            }
        }
        room
    }

    /// Whether requests can be served in the zone at all.
    #[must_use]
    pub const fn is_usable(&self) -> bool {
        self.usable > 0 || (self.is_scarce && self.ready > 0)
    }

    /// Whether most of the capacity is unusable.
    #[must_use]
    pub const fn is_reduced(&self) -> bool {
        self.usable * 2 < self.announced
    }

    /// The usable slots.
    #[must_use]
    pub const fn usable(&self) -> u64 {
        self.usable
    }

    /// The slots of all instances that are announced.
    #[must_use]
    pub const fn announced(&self) -> u64 {
        self.announced
    }

    /// Longest median service time of the usable instances; zero if unknown.
    #[must_use]
    pub const fn median(&self) -> Duration {
        self.median
    }
}
