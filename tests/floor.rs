//! The floor of healthy capacity, from the records alone.

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
    let admitted = admitted_ids(&records, floor(60));
    assert_eq!(admitted.len(), 8);
    assert!(!admitted.contains(&records[0].instance));
}

#[test]
fn more_sick_than_may_go() {
    let mut records = service_of(10, 3);
    eject(&mut records, 9);
    assert_eq!(admitted_ids(&records, floor(60)).len(), 6);
}

#[test]
fn capacity_not_counts() {
    let mut records = service_of(4, 1);
    records[3].slots = Slots::new(9).unwrap();
    records[3].health = HealthState::Ejected;
    let admitted = admitted_ids(&records, floor(50));
    assert!(admitted.contains(&records[3].instance));
}

#[test]
fn leaving_never_return() {
    let mut records = service_of(4, 3);
    records[0].phase = InstancePhase::Draining;
    records[1].phase = InstancePhase::Gone;
    records[2].phase = InstancePhase::Starting;
    eject(&mut records, 4);
    let admitted: Vec<InstanceId> = admitted_ids(&records, floor(100));
    assert_eq!(admitted, vec![records[3].instance.clone()]);
}

#[test]
fn ramps_widen_first() {
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

/// Records with random slots, phases and health.
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

/// Checks the floor for one view of the records; `lost` instances cannot be reached.
fn check(records: &[InstanceRecord], share: Percent, lost: &[bool]) {
    let place = |record: &InstanceRecord| {
        let found = records
            .iter()
            .position(|other| other.instance == record.instance);
        found.unwrap()
    };
    let entries = admitted_instances(records, share, |record| !lost[place(record)]);
    let slots = |record: &InstanceRecord| 100 * u64::from(record.slots.get());
    let announced = records.iter();
    let announced = announced.filter(|record| record.phase != InstancePhase::Gone);
    let total: u64 = announced.map(slots).sum();
    let is_usable = |index: &usize| records[*index].phase == InstancePhase::Ready && !lost[*index];
    let usable: Vec<usize> = (0..records.len()).filter(is_usable).collect();
    let most: u64 = usable.iter().map(|index| slots(&records[*index])).sum();
    let needed = share.of_rounded_up(total);
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
    // No ejected instance is let in beyond the need.
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
fn any_records() {
    each_seed(|source| {
        let records = draw_records(source)?;
        let share = floor(source.int_in_range(0..=100)?);
        check(&records, share, &vec![false; records.len()]);
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
        check(&records, share, &lost);
        Ok(())
    });
}

/// Two egresses eject at once; until their news has crossed, each view differs.
#[test]
fn ejected_at_once() {
    each_seed(|source| {
        let records = draw_records(source)?;
        let share = floor(source.int_in_range(0..=100)?);
        let none = vec![false; records.len()];
        let (first, second) = (
            source.choose_index(records.len())?,
            source.choose_index(records.len())?,
        );
        for news in [vec![first], vec![second], vec![first, second]] {
            let mut view = records.clone();
            for index in news {
                view[index].health = HealthState::Ejected;
            }
            check(&view, share, &none);
        }
        Ok(())
    });
}

/// Drains and cold starts come on top of ejections, one by one.
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
            check(&records, share, &none);
        }
        Ok(())
    });
}

#[test]
fn least_sick_stay() {
    let mut records = service_of(10, 3);
    eject(&mut records, 6);
    records[2].median_micros = 400_000;
    let admitted = admitted_ids(&records, floor(90));
    assert_eq!(admitted.len(), 9);
    assert!(!admitted.contains(&records[2].instance));
}
