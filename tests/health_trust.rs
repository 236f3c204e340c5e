//! Guards against the loss of requests that are not idempotent: the circuit breaker keeps them off an
//! instance after one failure.
//!
//! Faulty instances pass health checks and fail nine in ten requests for some seconds. Healthy
//! ones fail single requests, so the breaker must close again soon.

use std::time::Duration;

use wagtailtrack::health::{InstanceHealth, SampleOutcome, ServiceBaseline, ServiceSample};
use wagtailtrack::resource::{RecoveryRule, RequestClass};
use wagtailtrack::time::MonoTime;
use wagtailtrack::wire::HealthState;

const SERVICE_TIME: Duration = Duration::from_millis(20);

struct HealthFixture {
    health: InstanceHealth,
    now: MonoTime,
}

impl HealthFixture {
    fn open() -> Self {
        let mut health = InstanceHealth::open(1);
        health.set_recovery(RecoveryRule::Requests);
        let now = MonoTime::from_millis(1_000);
        Self { health, now }
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        let baseline = ServiceBaseline::default();
        self.health.tick(&baseline, self.now, None);
    }

    fn respond(&mut self, outcome: SampleOutcome) {
        let sample = ServiceSample {
            outcome,
            service_time: SERVICE_TIME,
            class: RequestClass::Lookup,
        };
        let baseline = ServiceBaseline::default();
        self.health.observe(&sample, &baseline, self.now);
    }

    fn state(&self) -> HealthState {
        self.health.published_state()
    }
}

/// One failure opens the breaker, and two good responses to requests sent since close it.
#[test]
fn one_failure() {
    let mut fixture = HealthFixture::open();
    fixture.respond(SampleOutcome::Failed);
    assert_eq!(fixture.state(), HealthState::Suspect);
    assert!(!fixture.state().accepts(false) && fixture.state().accepts(true));
    assert!(
        fixture.health.allows_trial(fixture.now),
        "the first trial waits"
    );
    for expected in [HealthState::Suspect, HealthState::Healthy] {
        fixture.advance(30);
        fixture.respond(SampleOutcome::Good);
        assert_eq!(fixture.state(), expected);
    }
}

/// Good responses to requests that were sent before the failure do not close the breaker.
#[test]
fn earlier_requests() {
    let mut fixture = HealthFixture::open();
    fixture.respond(SampleOutcome::Failed);
    for _ in 0..3 {
        fixture.advance(5);
        fixture.respond(SampleOutcome::Good);
    }
    assert_eq!(fixture.state(), HealthState::Suspect);
}

/// Trials that fail are spaced, so that a fault costs few retries. The instance is not ejected.
#[test]
fn spaced_trials() {
    let mut fixture = HealthFixture::open();
    fixture.respond(SampleOutcome::Failed);
    let mut trials = 0;
    for _ in 0..500 {
        fixture.advance(10);
        if fixture.health.allows_trial(fixture.now) {
            trials += 1;
            fixture.respond(SampleOutcome::Failed);
        }
    }
    assert!((4..=8).contains(&trials), "{trials} trials in 5 s");
    assert_eq!(fixture.state(), HealthState::Suspect);
}

/// The breaker of an instance that gets no requests closes after 3 s and not much sooner: such an
/// instance is out for less than two seconds after a fault of ordinary length.
#[test]
fn quiet_instance() {
    let mut fixture = HealthFixture::open();
    fixture.respond(SampleOutcome::Failed);
    for _ in 0..290 {
        fixture.advance(10);
    }
    assert_eq!(fixture.state(), HealthState::Suspect);
    for _ in 0..20 {
        fixture.advance(10);
    }
    assert_eq!(fixture.state(), HealthState::Healthy);
}
