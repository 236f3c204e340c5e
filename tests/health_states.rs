//! Ejection of an instance and its recovery, driven by single responses.

mod models;

use std::time::Duration;

use wagtailtrack::health::{
    HealthCause, HealthChange, InstanceHealth, SampleOutcome, ServiceBaseline, ServiceSample,
};
use wagtailtrack::resource::RequestClass;
use wagtailtrack::time::MonoTime;
use wagtailtrack::wire::HealthState;

const HEALTHY_TIME: Duration = Duration::from_millis(20);
const STEP: Duration = Duration::from_millis(20);

fn baseline() -> ServiceBaseline {
    ServiceBaseline::from_records(&models::service_of(10, 3))
}

fn sample(outcome: SampleOutcome, service_time: Duration) -> ServiceSample {
    ServiceSample {
        outcome,
        service_time,
        class: RequestClass::Lookup,
    }
}

/// Feeds one response every 20 ms from `from` until `until` or the first change of state.
fn feed(
    health: &mut InstanceHealth,
    sample: ServiceSample,
    from: MonoTime,
    until: MonoTime,
) -> Option<(HealthChange, MonoTime)> {
    let mut now = from;
    while now < until {
        let change = health.observe(&sample, &baseline(), now);
        let change = change.or_else(|| health.tick(&baseline(), now, None));
        if let Some(change) = change {
            return Some((change, now));
        }
        now = now + STEP;
    }
    None
}

fn warm_health() -> InstanceHealth {
    let mut health = InstanceHealth::open(1);
    let good = sample(SampleOutcome::Good, HEALTHY_TIME);
    let change = feed(
        &mut health,
        good,
        MonoTime::ZERO,
        MonoTime::from_millis(20_000),
    );
    assert_eq!(change, None);
    health
}

#[test]
fn slow_ejected() {
    let mut health = warm_health();
    let slow = sample(SampleOutcome::Good, HEALTHY_TIME * 10);
    let start = MonoTime::from_millis(20_000);
    let (change, at) = feed(&mut health, slow, start, MonoTime::from_millis(25_000)).unwrap();
    assert_eq!(change.cause, HealthCause::Slow);
    assert_eq!(health.state(), HealthState::Ejected);
    assert!(at.since(start) < Duration::from_millis(2_000), "{at}");
}

#[test]
fn shedding_is_no_fault() {
    let mut health = warm_health();
    let shed = sample(SampleOutcome::Shed, Duration::from_millis(1));
    let start = MonoTime::from_millis(20_000);
    let change = feed(&mut health, shed, start, MonoTime::from_millis(30_000));
    assert_eq!(change, None);
}

#[test]
fn recovery_after_ejection() {
    let mut health = warm_health();
    let failed = sample(SampleOutcome::Failed, HEALTHY_TIME);
    let start = MonoTime::from_millis(20_000);
    let (change, at) = feed(&mut health, failed, start, MonoTime::from_millis(25_000)).unwrap();
    assert_eq!(change.cause, HealthCause::Failing);
    assert!(!health.begin_probe(at));
    let mut now = at + Duration::from_secs(3);
    let mut states = Vec::new();
    while health.state() == HealthState::Ejected {
        if health.begin_probe(now) {
            assert!(!health.begin_probe(now), "two probes at once");
            health.on_probe(SampleOutcome::Good, HEALTHY_TIME, now);
        }
        now = now + STEP;
    }
    while let Some((change, at)) = feed(
        &mut health,
        sample(SampleOutcome::Good, HEALTHY_TIME),
        now,
        now + Duration::from_secs(10),
    ) {
        states.push(change.to);
        now = at;
    }
    assert_eq!(states.len(), 4, "{states:?}");
    assert_eq!(health.state(), HealthState::Healthy);
}
