//! The capacity floor: ejections never take the slots in use below it while instances are left.

mod models;

use arbtest::arbitrary::{Result as Drawn, Unstructured};
use arbtest::arbtest;
use models::service_of;
use wagtailtrack::health::capacity_floor::admitted_instances;
use wagtailtrack::health::{AdmittedInstance, admitted_ids};
use wagtailtrack::ids::InstanceId;
use wagtailtrack::units::{Percent, Slots};
use wagtailtrack::wire::{HealthState, InstancePhase, InstanceRecord};

fn floor(value: u8) -> Percent {
    Percent::new(value).unwrap()
}

/// Returns the admitted slots in hundredths.
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
fn ejected_are_excluded() {
    let mut records = service_of(10, 3);
    eject(&mut records, 2);
    let admitted = admitted_ids(&records, floor(60));
    assert_eq!(admitted.len(), 8);
    assert!(!admitted.contains(&records[0].instance));
}

#[test]
fn floor_limits_ejections() {
    let mut records = service_of(10, 3);
    eject(&mut records, 9);
    assert_eq!(admitted_ids(&records, floor(60)).len(), 6);
}

#[test]
fn floor_counts_slots() {
    let mut records = service_of(4, 1);
    records[3].slots = Slots::new(9).unwrap();
    records[3].health = HealthState::Ejected;
    let admitted = admitted_ids(&records, floor(50));
    assert!(admitted.contains(&records[3].instance));
}

#[test]
fn leaving_are_excluded() {
    let mut records = service_of(4, 3);
    records[0].phase = InstancePhase::Draining;
    records[1].phase = InstancePhase::Gone;
    records[2].phase = InstancePhase::Starting;
    eject(&mut records, 4);
    let admitted: Vec<InstanceId> = admitted_ids(&records, floor(100));
    assert_eq!(admitted, vec![records[3].instance.clone()]);
}

#[test]
fn ramps_lifted_first() {
    let mut records = service_of(4, 3);
    records[0].health = HealthState::Ramping(floor(10));
    records[1].health = HealthState::Ejected;
    let entries = admitted_instances(&records, floor(75), |_| true);
    assert_eq!(entries.len(), 3);
    assert_eq!(capacity(&records, &entries), 900);
}

#[test]
fn record_order() {
    let mut records = service_of(10, 3);
    eject(&mut records, 8);
    let mut forward = admitted_ids(&records, floor(60));
    records.reverse();
    let mut backward = admitted_ids(&records, floor(60));
    forward.sort();
    backward.sort();
    assert_eq!(forward, backward);
}

const SEEDS: [u64; 8] = [
    0x1_0000_4000,
    0x2_0000_4000,
    0x3_0000_4000,
    0x4_0000_4000,
    0x5_0000_4000,
    0x6_0000_4000,
    0x7_0000_4000,
    0x8_0000_4000,
];
const ROUNDS_PER_SEED: usize = 40;

/// Draws records with random slots, phases and health.
fn draw_records(source: &mut Unstructured<'_>) -> Drawn<Vec<InstanceRecord>> {
    let count = source.int_in_range(1..=20)?;
    let mut records = service_of(count, 3);
    for record in &mut records {
        record.slots = Slots::new(source.int_in_range(1..=9)?).unwrap();
        record.median_micros = source.int_in_range(0..=300_000)?;
        record.phase = match source.int_in_range(0..=9)? {
            0 => InstancePhase::Starting,
            1 => InstancePhase::Draining,
            2 => InstancePhase::Gone,
            _ => InstancePhase::Ready,
        };
        record.health = match source.int_in_range(0..=3)? {
            0 => HealthState::Healthy,
            1 => HealthState::Ramping(floor(source.int_in_range(1..=99)?)),
            _ => HealthState::Ejected,
        };
    }
    Ok(records)
}

/// Checks that the floor is kept with as few ejected instances as possible. Instances marked in `lost`
/// are unreachable.
fn check_floor(records: &[InstanceRecord], share: Percent, lost: &[bool]) {
    let index_of = |record: &InstanceRecord| {
        let found = records
            .iter()
            .position(|other| other.instance == record.instance);
        found.unwrap()
    };
    let entries = admitted_instances(records, share, |record| !lost[index_of(record)]);
    let slots = |record: &InstanceRecord| 100 * u64::from(record.slots.get());
    let announced = records.iter();
    let announced = announced.filter(|record| record.phase != InstancePhase::Gone);
    let total: u64 = announced.map(slots).sum();
    let is_usable = |index: &usize| records[*index].phase == InstancePhase::Ready && !lost[*index];
    let usable: Vec<usize> = (0..records.len()).filter(is_usable).collect();
    let most: u64 = usable.iter().map(|index| slots(&records[*index])).sum();
    let needed = share.ceil_of(total);
    let present = capacity(records, &entries);
    assert!(
        present >= needed.min(most),
        "{present} of {needed}: {records:?}"
    );
    for entry in &entries {
        let record = &records[entry.index];
        assert!(usable.contains(&entry.index), "{record:?}");
        let is_ejected = record.health == HealthState::Ejected;
        assert_eq!(entry.is_forced, is_ejected);
    }
    // Without the largest forced instance the floor would not be met.
    let forced = entries.iter().filter(|entry| entry.is_forced);
    let largest = forced.map(|entry| slots(&records[entry.index])).max();
    if let Some(largest) = largest {
        assert!(present < needed.max(1) + largest);
    }
}

fn each_seed(test: impl Fn(&mut Unstructured<'_>) -> Drawn<()>) {
    for seed in SEEDS {
        arbtest(|source| {
            for _ in 0..ROUNDS_PER_SEED {
                test(source)?;
            }
            Ok(())
        })
        .seed(seed);
    }
}

#[test]
fn random_records() {
    each_seed(|source| {
        let records = draw_records(source)?;
        let share = floor(source.int_in_range(0..=100)?);
        check_floor(&records, share, &vec![false; records.len()]);
        Ok(())
    });
}

#[test]
fn rack_lost() {
    each_seed(|source| {
        let records = draw_records(source)?;
        let share = floor(source.int_in_range(0..=100)?);
        let rack = source.int_in_range(1..=5)?;
        let lost: Vec<bool> = (0..records.len()).map(|index| index % 5 < rack).collect();
        check_floor(&records, share, &lost);
        Ok(())
    });
}

/// Two egresses eject instances at the same time. Until both changes have spread, ingresses compute
/// from different records; the floor must hold for each of them.
#[test]
fn simultaneous_ejections() {
    each_seed(|source| {
        let records = draw_records(source)?;
        let share = floor(source.int_in_range(0..=100)?);
        let none = vec![false; records.len()];
        let (first, second) = (
            source.choose_index(records.len())?,
            source.choose_index(records.len())?,
        );
        for ejected in [vec![first], vec![second], vec![first, second]] {
            let mut view = records.clone();
            for index in ejected {
                view[index].health = HealthState::Ejected;
            }
            check_floor(&view, share, &none);
        }
        Ok(())
    });
}

/// Drains and cold starts add to ejections one after the other; the floor must hold after each.
#[test]
fn drain_and_cold_start() {
    each_seed(|source| {
        let mut records = draw_records(source)?;
        let share = floor(source.int_in_range(0..=100)?);
        let none = vec![false; records.len()];
        for _ in 0..4 {
            let index = source.choose_index(records.len())?;
            records[index].phase = if source.arbitrary()? {
                InstancePhase::Draining
            } else {
                InstancePhase::Starting
            };
            check_floor(&records, share, &none);
        }
        Ok(())
    });
}

#[test]
fn lowest_medians_readmitted() {
    let mut records = service_of(10, 3);
    eject(&mut records, 6);
    records[2].median_micros = 400_000;
    let admitted = admitted_ids(&records, floor(90));
    assert_eq!(admitted.len(), 9);
    assert!(!admitted.contains(&records[2].instance));
}
