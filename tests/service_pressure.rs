//! Admission control for a whole service: what an ingress refuses before it offers it.

use std::time::Duration;

use wagtailtrack::ids::{InstanceId, ZoneId};
use wagtailtrack::pressure::ServicePressure;
use wagtailtrack::resource::Priority;
use wagtailtrack::time::MonoTime;

/// Priorities from 1 on are closed.
const ONLY_MOST_URGENT: u16 = 255;

fn instance(number: usize) -> InstanceId {
    format!("desk-{number}").parse().unwrap()
}

/// Asks for a request of `priority` to eight instances that are spread over `zones`.
fn admit(
    pressure: &mut ServicePressure,
    priority: u8,
    zones: usize,
    now: MonoTime,
) -> Result<(), Duration> {
    let zone = |number: usize| format!("zone-{}", number % zones).parse().unwrap();
    let list: Vec<(InstanceId, ZoneId)> = (0..8).map(|n| (instance(n), zone(n))).collect();
    let instances = list.iter().map(|(instance, zone)| (instance, zone));
    pressure.admit(Priority(priority), instances, now)
}

fn full_service(now: MonoTime) -> ServicePressure {
    let mut pressure = ServicePressure::default();
    for number in 0..3 {
        pressure.record(&instance(number), ONLY_MOST_URGENT, now);
    }
    // The first request after a while is let through to learn anew.
    admit(&mut pressure, 1, 1, now).unwrap();
    pressure
}

/// A request that its service has no room for is offered to one full instance after the other, while
/// a more urgent one is refused with it.
#[test]
fn least_urgent_refused_first() {
    let now = MonoTime::from_millis(5_000);
    let mut pressure = full_service(now);
    assert!(admit(&mut pressure, 1, 1, now).is_err());
    assert!(admit(&mut pressure, 2, 1, now).is_err());
    assert!(admit(&mut pressure, 0, 1, now).is_ok());
    assert_eq!(pressure.refused(), 2);
}

/// One busy instance closes the whole service.
#[test]
fn one_instance_proves_nothing() {
    let now = MonoTime::from_millis(5_000);
    let mut pressure = ServicePressure::default();
    pressure.record(&instance(0), ONLY_MOST_URGENT, now);
    for _ in 0..5 {
        assert!(admit(&mut pressure, 2, 1, now).is_ok());
    }
    let mut pressure = full_service(now);
    pressure.record(&instance(3), 0, now);
    for _ in 0..5 {
        assert!(admit(&mut pressure, 2, 1, now).is_ok());
    }
}

/// Requests are refused for ever, since those who are refused bring no reports.
#[test]
fn threshold_lapses() {
    let now = MonoTime::from_millis(5_000);
    let mut pressure = full_service(now);
    let retry_after = admit(&mut pressure, 1, 1, now).unwrap_err();
    let then = now + retry_after;
    assert!(retry_after <= Duration::from_secs(1), "{retry_after:?}");
    for _ in 0..5 {
        assert!(admit(&mut pressure, 1, 1, then).is_ok());
    }
}

/// While reports keep coming, one request a second is let through to learn whether the load has
/// fallen.
#[test]
fn one_trial_a_second() {
    let begin = MonoTime::from_millis(5_000);
    let mut pressure = full_service(begin);
    let mut admitted = 0;
    for step in 1..=1_000 {
        let now = begin + Duration::from_millis(step * 10);
        for number in 0..3 {
            pressure.record(&instance(number), ONLY_MOST_URGENT, now);
        }
        admitted += u32::from(admit(&mut pressure, 1, 1, now).is_ok());
    }
    assert!((9..=11).contains(&admitted), "{admitted}");
}

/// Requests are refused although another zone has room, because only the own zone was heard.
#[test]
fn other_zone_has_room() {
    let now = MonoTime::from_millis(5_000);
    let mut pressure = full_service(now);
    assert!(admit(&mut pressure, 1, 3, now).is_err());
    for _ in 0..5 {
        assert!(admit(&mut pressure, 1, 4, now).is_ok());
    }
}
