//! The floor of healthy capacity, from the records alone.

mod models;

use models::service_of;
use wagtailtrack::health::floor::admitted;
use wagtailtrack::health::{AdmittedInstance, admissible};
use wagtailtrack::ids::InstanceId;
use wagtailtrack::units::{Percent, Slots};
use wagtailtrack::wire::{HealthState, InstancePhase, InstanceRecord};

fn floor(value: u8) -> Percent {
    Percent::new(value).unwrap()
}

/// Admitted slots in hundredths.
fn capacity(records: &[InstanceRecord], entries: &[AdmittedInstance]) -> u64 {
    entries
        .iter()
        .map(|entry| u64::from(records[entry.index].slots.get()) * u64::from(entry.share.get()))
        .sum()
}

fn eject(records: &mut [InstanceRecord], count: usize) {
    for record in &mut records[..count] {
        record.health = HealthState::Ejected;
    }
}

#[test]
fn sick_stay_out() {
    let mut records = service_of(10, 3);
    eject(&mut records, 2);
    let admitted = admissible(&records, floor(60));
    assert_eq!(admitted.len(), 8);
    assert!(!admitted.contains(&records[0].instance));
}

#[test]
fn more_sick_than_may_go() {
    let mut records = service_of(10, 3);
    eject(&mut records, 9);
    assert_eq!(admissible(&records, floor(60)).len(), 6);
}

#[test]
fn capacity_not_counts() {
    let mut records = service_of(4, 1);
    records[3].slots = Slots::new(9).unwrap();
    records[3].health = HealthState::Ejected;
    let admitted = admissible(&records, floor(50));
    assert!(admitted.contains(&records[3].instance));
}

#[test]
fn leaving_never_return() {
    let mut records = service_of(4, 3);
    records[0].phase = InstancePhase::Draining;
    records[1].phase = InstancePhase::Gone;
    records[2].phase = InstancePhase::Starting;
    eject(&mut records, 4);
    let admitted: Vec<InstanceId> = admissible(&records, floor(100));
    assert_eq!(admitted, vec![records[3].instance.clone()]);
}

#[test]
fn ramps_widen_first() {
    let mut records = service_of(4, 3);
    records[0].health = HealthState::Ramping(floor(10));
    records[1].health = HealthState::Ejected;
    let entries = admitted(&records, floor(75), |_| true);
    assert_eq!(entries.len(), 3);
    assert_eq!(capacity(&records, &entries), 900);
}

#[test]
fn record_order() {
    let mut records = service_of(10, 3);
    eject(&mut records, 8);
    let mut forward = admissible(&records, floor(60));
    records.reverse();
    let mut backward = admissible(&records, floor(60));
    forward.sort();
    backward.sort();
    assert_eq!(forward, backward);
}
