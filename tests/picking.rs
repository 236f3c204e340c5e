//! Load balancing by the instance picker, alone and in a simulated service.

mod models;

use models::{InstanceFault, LoadStream, ModelPolicy, ServiceModel, service_of};
use std::time::Duration;
use wagtailtrack::balance::InstancePicker;
use wagtailtrack::ids::InstanceId;
use wagtailtrack::resource::RequestClass;
use wagtailtrack::time::MonoTime;
use wagtailtrack::units::Percent;
use wagtailtrack::wire::{HealthState, InstanceLoad, InstanceRecord};

const PICKS: usize = 2_000;

fn picker() -> InstancePicker {
    InstancePicker::open("z1".parse().unwrap())
}

fn share_of(
    picker: &mut InstancePicker,
    records: &[InstanceRecord],
    instance: &InstanceId,
    idempotent: bool,
) -> f64 {
    let mut rng = fastrand::Rng::with_seed(7);
    let floor = Percent::new(50).unwrap();
    let now = MonoTime::from_millis(1);
    let picked = (0..PICKS)
        .filter_map(|_| picker.pick_id(records, floor, &[], idempotent, now, &mut rng))
        .filter(|picked| picked == instance);
    f64::from(u32::try_from(picked.count()).unwrap()) / PICKS as f64
}

#[test]
fn busy_instance_avoided() {
    let records = service_of(4, 3);
    let mut picker = picker();
    let busy = records[0].instance.clone();
    let load = InstanceLoad {
        in_use: 3,
        queued: 5,
        cold_wait_micros: 0,
        closed_priorities: 0,
    };
    picker.on_start(&busy, MonoTime::ZERO);
    picker.on_response(&busy, load, MonoTime::ZERO);
    assert!(share_of(&mut picker, &records, &busy, true) < 0.1);
}

#[test]
fn ramping_gets_share() {
    let mut records = service_of(10, 3);
    records[0].health = HealthState::Ramping(Percent::new(5).unwrap());
    let instance = records[0].instance.clone();
    let share = share_of(&mut picker(), &records, &instance, true);
    assert!(share > 0.0 && share < 0.03, "{share}");
    assert!(share_of(&mut picker(), &records, &instance, false) == 0.0);
}

#[test]
fn blocked_path_avoided() {
    let records = service_of(10, 3);
    let mut picker = picker();
    let instance = records[0].instance.clone();
    picker.on_start(&instance, MonoTime::ZERO);
    picker.on_unreachable(&instance, MonoTime::ZERO);
    assert!(share_of(&mut picker, &records, &instance, true) == 0.0);
}

#[test]
fn tried_excluded() {
    let records = service_of(2, 3);
    let mut rng = fastrand::Rng::with_seed(1);
    let tried: Vec<InstanceId> = records
        .iter()
        .map(|record| record.instance.clone())
        .collect();
    let floor = Percent::new(50).unwrap();
    let now = MonoTime::ZERO;
    let mut picker = picker();
    let other = picker.pick_id(&records, floor, &tried[..1], true, now, &mut rng);
    assert_eq!(other.as_ref(), Some(&tried[1]));
    assert_eq!(
        picker.pick_id(&records, floor, &tried, true, now, &mut rng),
        None
    );
}

#[test]
fn returning_not_flooded() {
    let records = service_of(10, 3);
    let mut picker = picker();
    let mut rng = fastrand::Rng::with_seed(3);
    let floor = Percent::new(50).unwrap();
    let mut now = MonoTime::ZERO;
    let mut on_last = 0;
    for turn in 0..600 {
        // The last instance joins after 500 requests.
        let known = if turn < 500 {
            &records[..9]
        } else {
            &records[..]
        };
        let picked = picker
            .pick_id(known, floor, &[], true, now, &mut rng)
            .unwrap();
        picker.on_start(&picked, now);
        picker.on_response(&picked, InstanceLoad::default(), now);
        on_last += u32::from(picked == records[9].instance);
        now = now + Duration::from_millis(10);
    }
    assert!((5..=30).contains(&on_last), "{on_last} of 100");
}

#[test]
fn other_zones_take_part() {
    let records = service_of(8, 3);
    let mut picker = picker();
    let mut rng = fastrand::Rng::with_seed(3);
    let floor = Percent::new(50).unwrap();
    let mut now = MonoTime::ZERO;
    let mut in_own_zone = 0;
    for _ in 0..1_000 {
        let picked = picker.pick_id(&records, floor, &[], true, now, &mut rng);
        let picked = picked.unwrap();
        picker.on_start(&picked, now);
        picker.on_response(&picked, InstanceLoad::default(), now);
        let record = records.iter().find(|record| record.instance == picked);
        in_own_zone += u32::from(record.unwrap().zone.as_str() == "z1");
        now = now + Duration::from_millis(5);
    }
    assert!((260..=500).contains(&in_own_zone), "{in_own_zone} of 1000");
}

/// Returns the median and the 99th percentile of the latencies.
fn latencies(
    policy: ModelPolicy,
    ingresses: usize,
    share: f64,
    slow: usize,
) -> (Duration, Duration) {
    let mut model = ServiceModel::open(7, 17, 3, policy);
    model.limit_ingresses(ingresses);
    let rate = share * model.capacity();
    model.add_stream(LoadStream::open("a", RequestClass::Lookup, rate, 1_000));
    for instance in 0..slow {
        model.inject_fault(instance, InstanceFault::Slow(2.5), 0);
    }
    model.run(17_000);
    let stream = &model.streams[0];
    (stream.quantile(0.5), stream.quantile(0.99))
}

fn compare(ingresses: usize, share: f64, slow: usize) -> (Duration, Duration) {
    let fleet = latencies(ModelPolicy::FLEET, ingresses, share, slow);
    let baseline = latencies(ModelPolicy::BASELINE, ingresses, share, slow);
    println!(
        "{ingresses} ingresses at {share}, {slow} slower: {fleet:?}, round robin {baseline:?}"
    );
    (fleet.1, baseline.1)
}

#[test]
fn one_ingress() {
    let (fleet, baseline) = compare(1, 0.85, 0);
    assert!(fleet < baseline);
}

#[test]
fn many_ingresses() {
    let (fleet, baseline) = compare(17, 0.7, 0);
    assert!(fleet < baseline + Duration::from_millis(5));
}

#[test]
fn slower_instances() {
    let (fleet, baseline) = compare(17, 0.7, 3);
    assert!(fleet < baseline);
}
