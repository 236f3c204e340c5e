//! The choice of an instance.

mod models;

use models::service_of;
use wagtailtrack::balance::InstancePicker;
use wagtailtrack::ids::InstanceId;
use wagtailtrack::time::MonoTime;
use wagtailtrack::units::Percent;
use wagtailtrack::wire::{HealthState, InstanceRecord, LoadFigure};

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
        .filter_map(|_| picker.pick(records, floor, &[], idempotent, now, &mut rng))
        .filter(|picked| picked == instance);
    f64::from(u32::try_from(picked.count()).unwrap()) / PICKS as f64
}

#[test]
fn busy_instance_avoided() {
    let records = service_of(4, 3);
    let mut picker = picker();
    let busy = records[0].instance.clone();
    let load = LoadFigure {
        in_use: 3,
        queued: 5,
    };
    picker.started(&busy, MonoTime::ZERO);
    picker.answered(&busy, load, MonoTime::ZERO);
    assert!(share_of(&mut picker, &records, &busy, true) < 0.1);
}

#[test]
fn ramping_gets_part() {
    let mut records = service_of(10, 3);
    records[0].health = HealthState::Ramping(Percent::new(5).unwrap());
    let instance = records[0].instance.clone();
    let share = share_of(&mut picker(), &records, &instance, true);
    assert!(share > 0.0 && share < 0.03, "{share}");
    assert!(share_of(&mut picker(), &records, &instance, false) == 0.0);
}

#[test]
fn path_avoided() {
    let records = service_of(10, 3);
    let mut picker = picker();
    let instance = records[0].instance.clone();
    picker.started(&instance, MonoTime::ZERO);
    picker.unreachable(&instance, MonoTime::ZERO);
    assert!(share_of(&mut picker, &records, &instance, true) == 0.0);
}

#[test]
fn tried_left_out() {
    let records = service_of(2, 3);
    let mut rng = fastrand::Rng::with_seed(1);
    let tried: Vec<InstanceId> = records
        .iter()
        .map(|record| record.instance.clone())
        .collect();
    let floor = Percent::new(50).unwrap();
    let now = MonoTime::ZERO;
    let mut picker = picker();
    let other = picker.pick(&records, floor, &tried[..1], true, now, &mut rng);
    assert_eq!(other.as_ref(), Some(&tried[1]));
    assert_eq!(
        picker.pick(&records, floor, &tried, true, now, &mut rng),
        None
    );
}
