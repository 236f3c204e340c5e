//! What the time in which a failure comes tells of an instance.
//!
//! The load: instances that serve requests of 600 ms and fail one in a hundred of them after the usual
//! time, and instances that fail most requests at once for some seconds.

use std::time::Duration;

use wagtailtrack::health::{InstanceHealth, SampleOutcome, ServiceBaseline, ServiceSample};
use wagtailtrack::resource::{RecoveryRule, RequestClass};
use wagtailtrack::time::MonoTime;
use wagtailtrack::wire::HealthState;

const USUAL_TIME: Duration = Duration::from_millis(600);
const EARLY_TIME: Duration = Duration::from_millis(2);

struct FailureFixture {
    health: InstanceHealth,
    now: MonoTime,
}

impl FailureFixture {
    /// An instance whose usual service time is known.
    fn open() -> Self {
        let mut health = InstanceHealth::open(1);
        health.set_recovery(RecoveryRule::Requests);
        let now = MonoTime::from_millis(1_000);
        let mut fixture = Self { health, now };
        fixture.serve(10);
        fixture
    }

    fn serve(&mut self, count: u32) {
        for _ in 0..count {
            self.end(SampleOutcome::Good, USUAL_TIME);
        }
    }

    /// Ends a request that ran for `service_time`.
    fn end(&mut self, outcome: SampleOutcome, service_time: Duration) {
        self.advance(service_time, &[]);
        let sample = ServiceSample {
            outcome,
            service_time,
            class: RequestClass::Filing,
        };
        let baseline = ServiceBaseline::default();
        self.health.observe(&sample, &baseline, self.now);
    }

    /// Lets time pass while requests run that were sent at `running`.
    fn advance(&mut self, span: Duration, running: &[MonoTime]) {
        let until = self.now + span;
        while self.now < until {
            self.now = until.min(self.now + Duration::from_millis(20));
            let running = running.iter().copied();
            self.health.observe_running(running, self.now);
            self.health
                .tick(&ServiceBaseline::default(), self.now, None);
        }
    }

    fn state(&self) -> HealthState {
        self.health.published_state()
    }
}

/// Guards against requests lost to an instance that fails without doing the work.
#[test]
fn early_failure_opens() {
    for outcome in [SampleOutcome::Failed, SampleOutcome::Wrong] {
        let mut fixture = FailureFixture::open();
        fixture.end(outcome, EARLY_TIME);
        assert_eq!(fixture.state(), HealthState::Suspect);
    }
}

/// Guards against capacity lost for single failures of a sound instance: one in fifty requests fails.
#[test]
fn rare_late_failures() {
    let mut fixture = FailureFixture::open();
    for _ in 0..10 {
        for _ in 0..2 {
            fixture.end(SampleOutcome::Failed, USUAL_TIME);
            assert_eq!(fixture.state(), HealthState::Healthy);
        }
        fixture.serve(98);
    }
}

/// Guards against an instance that does the work and fails half of the requests all the same.
#[test]
fn repeated_late_failures() {
    let mut fixture = FailureFixture::open();
    for _ in 0..2 {
        fixture.end(SampleOutcome::Failed, USUAL_TIME);
        fixture.end(SampleOutcome::Good, USUAL_TIME);
    }
    fixture.end(SampleOutcome::Failed, USUAL_TIME);
    assert_eq!(fixture.state(), HealthState::Suspect);
}

/// Guards against a first failure that is tolerated before the usual time is known.
#[test]
fn unknown_usual_time() {
    let mut health = InstanceHealth::open(1);
    health.set_recovery(RecoveryRule::Requests);
    let sample = ServiceSample {
        outcome: SampleOutcome::Failed,
        service_time: USUAL_TIME,
        class: RequestClass::Filing,
    };
    health.observe(
        &sample,
        &ServiceBaseline::default(),
        MonoTime::from_millis(1),
    );
    assert_eq!(health.published_state(), HealthState::Suspect);
}

/// Guards against an instance that recovers and stays out of use until its requests have ended: two that
/// run for longer than the failures took show that it works again.
#[test]
fn running_trials_close() {
    let mut fixture = FailureFixture::open();
    fixture.end(SampleOutcome::Failed, EARLY_TIME);
    let pass_time = fixture.health.trial_pass_time().unwrap();
    assert!(pass_time < USUAL_TIME / 4);
    fixture.advance(EARLY_TIME, &[]);
    let first = fixture.now;
    fixture.advance(pass_time, &[first]);
    assert_eq!(
        fixture.state(),
        HealthState::Suspect,
        "one shows too little"
    );
    let second = fixture.now;
    fixture.advance(pass_time, &[first, second]);
    assert_eq!(fixture.state(), HealthState::Healthy);
}

/// Guards against one trial that counts twice, while it runs and when it ends, and against requests that
/// were sent before the failure.
#[test]
fn trials_count_once() {
    let mut fixture = FailureFixture::open();
    let before = fixture.now;
    fixture.end(SampleOutcome::Failed, EARLY_TIME);
    fixture.advance(USUAL_TIME, &[before]);
    assert_eq!(fixture.state(), HealthState::Suspect);
    let trial = fixture.now;
    fixture.advance(USUAL_TIME, &[trial]);
    let sample = ServiceSample {
        outcome: SampleOutcome::Good,
        service_time: USUAL_TIME,
        class: RequestClass::Lookup,
    };
    let baseline = ServiceBaseline::default();
    fixture.health.observe(&sample, &baseline, fixture.now);
    assert_eq!(fixture.state(), HealthState::Suspect);
}
