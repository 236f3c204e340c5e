//! Sample instance records.

use wagtailtrack::ids::Incarnation;
use wagtailtrack::units::Slots;
use wagtailtrack::wire::{HealthState, InstancePhase, InstanceRecord};

const ZONES: usize = 4;

/// Returns the record of a healthy, ready instance in one of four zones.
pub fn record(number: usize, slots: u32) -> InstanceRecord {
    InstanceRecord {
        instance: format!("i{number}").parse().unwrap(),
        service: "desk".parse().unwrap(),
        daemon: format!("d{number}").parse().unwrap(),
        egress: "127.0.0.1:7002".parse().unwrap(),
        zone: format!("z{}", number % ZONES).parse().unwrap(),
        region: "r1".parse().unwrap(),
        incarnation: Incarnation(1),
        phase: InstancePhase::Ready,
        health: HealthState::Healthy,
        slots: Slots::new(slots).unwrap(),
        median_micros: 20_000,
        cold_rate: None,
        left_run: None,
    }
}

/// Returns the records of a service of `count` instances with `slots` each.
pub fn service_of(count: usize, slots: u32) -> Vec<InstanceRecord> {
    (0..count).map(|number| record(number, slots)).collect()
}
