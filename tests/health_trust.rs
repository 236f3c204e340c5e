//! Requests that cannot be repeated avoid an instance after one bad answer.
//!
//! The load answered: instances whose health path is good fail nine in ten requests for some
//! seconds, and healthy ones fail a single one now and then.

use std::time::Duration;

use wagtailtrack::health::{InstanceHealth, SampleOutcome, ServiceBaseline, ServiceSample};
use wagtailtrack::resource::{RecoveryRule, RequestClass};
use wagtailtrack::time::MonoTime;
use wagtailtrack::wire::HealthState;

const SERVICE_TIME: Duration = Duration::from_millis(20);

struct Bench {
    health: InstanceHealth,
    now: MonoTime,
}

impl Bench {
    fn open() -> Self {
        let mut health = InstanceHealth::open(1);
        health.set_recovery(RecoveryRule::Requests);
        let now = MonoTime::from_millis(1_000);
        Self { health, now }
    }

    fn pass(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        let peers = ServiceBaseline::default();
        self.health.tick(&peers, self.now, None);
    }

    fn answer(&mut self, outcome: SampleOutcome) {
        let sample = ServiceSample {
            outcome,
            service_time: SERVICE_TIME,
            class: RequestClass::Lookup,
        };
        let peers = ServiceBaseline::default();
        self.health.observe(&sample, &peers, self.now);
    }

    fn state(&self) -> HealthState {
        self.health.published_state()
    }
}

/// One bad answer is enough, and two good ones to requests sent since restore the trust.
#[test]
fn one_bad_answer() {
    let mut bench = Bench::open();
    bench.answer(SampleOutcome::Failed);
    assert_eq!(bench.state(), HealthState::Suspect);
    assert!(!bench.state().takes(false) && bench.state().takes(true));
    assert!(
        bench.health.allows_trial(bench.now),
        "the first trial waits"
    );
    for expected in [HealthState::Suspect, HealthState::Healthy] {
        bench.pass(30);
        bench.answer(SampleOutcome::Good);
        assert_eq!(bench.state(), expected);
    }
}

/// The answer to a request that was sent before the bad one says nothing.
#[test]
fn old_answers() {
    let mut bench = Bench::open();
    bench.answer(SampleOutcome::Failed);
    for _ in 0..3 {
        bench.pass(5);
        bench.answer(SampleOutcome::Good);
    }
    assert_eq!(bench.state(), HealthState::Suspect);
}

/// Trials that fail are spaced, so that a sick spell costs few retries; nothing is ejected.
#[test]
fn spaced_trials() {
    let mut bench = Bench::open();
    bench.answer(SampleOutcome::Failed);
    let mut trials = 0;
    for _ in 0..500 {
        bench.pass(10);
        if bench.health.allows_trial(bench.now) {
            trials += 1;
            bench.answer(SampleOutcome::Failed);
        }
    }
    assert!((4..=8).contains(&trials), "{trials} trials in 5 s");
    assert_eq!(bench.state(), HealthState::Suspect);
}

/// An instance that gets no requests at all is trusted again after 3 s, and not much sooner: then it
/// is out for less than two seconds after a sick spell of ordinary length.
#[test]
fn quiet_instance() {
    let mut bench = Bench::open();
    bench.answer(SampleOutcome::Failed);
    for _ in 0..290 {
        bench.pass(10);
    }
    assert_eq!(bench.state(), HealthState::Suspect);
    for _ in 0..20 {
        bench.pass(10);
    }
    assert_eq!(bench.state(), HealthState::Healthy);
}
