//! How long a request may run at an instance until it counts as stalled, by the class of the request.
//!
//! The load: an instance that serves lookups of 400 ms and internal calls of 5 ms, most of its requests
//! calls, and hangs at some of either.

use std::time::Duration;

use wagtailtrack::health::{InstanceHealth, SampleOutcome, ServiceBaseline, ServiceSample};
use wagtailtrack::resource::{RecoveryRule, RequestClass};
use wagtailtrack::time::MonoTime;
use wagtailtrack::wire::HealthState;

const LOOKUP_TIME: Duration = Duration::from_millis(400);
const CALL_TIME: Duration = Duration::from_millis(5);
const NOW: MonoTime = MonoTime::from_millis(60_000);

fn sample(outcome: SampleOutcome, class: RequestClass, service_time: Duration) -> ServiceSample {
    ServiceSample {
        outcome,
        service_time,
        class,
    }
}

/// An instance that has served three calls for each lookup.
fn mixed_instance() -> InstanceHealth {
    let mut health = InstanceHealth::open(1);
    health.set_recovery(RecoveryRule::Requests);
    let baseline = ServiceBaseline::default();
    for _ in 0..30 {
        let lookup = sample(SampleOutcome::Good, RequestClass::Lookup, LOOKUP_TIME);
        let call = sample(SampleOutcome::Good, RequestClass::InternalCheck, CALL_TIME);
        for served in [lookup, call, call, call] {
            health.observe(&served, &baseline, NOW);
        }
    }
    health
}

/// Guards against long work that counts as stalled because the instance does much short work, and against
/// hanging calls that are noticed as late as hanging lookups.
#[test]
fn time_by_class() {
    let health = mixed_instance();
    let baseline = ServiceBaseline::default();
    let millis = |class| health.overdue_time(class, &baseline).unwrap().as_millis();
    assert!((7_900..8_100).contains(&millis(RequestClass::Lookup)));
    assert_eq!(millis(RequestClass::InternalCheck), 250);
}

/// Guards against requests that count as stalled at an instance of which nothing is known.
#[test]
fn unknown_time() {
    let health = InstanceHealth::open(1);
    let baseline = ServiceBaseline::default();
    assert_eq!(health.overdue_time(RequestClass::Lookup, &baseline), None);
}

/// Guards against an instance that hangs at some requests and is trusted with all while it answers others.
#[test]
fn overdue_opens_breaker() {
    let mut health = mixed_instance();
    assert_eq!(health.published_state(), HealthState::Healthy);
    let overdue = sample(
        SampleOutcome::Stalled,
        RequestClass::InternalCheck,
        CALL_TIME * 50,
    );
    health.observe(&overdue, &ServiceBaseline::default(), NOW);
    assert_eq!(health.published_state(), HealthState::Suspect);
}
