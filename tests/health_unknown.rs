//! Guards against false stalls of instances without a baseline service time.
//!
//! A service gets few requests a minute and each takes seconds, so that no baseline exists.

use std::time::Duration;

use wagtailtrack::health::{InstanceHealth, SampleOutcome, ServiceBaseline, ServiceSample};
use wagtailtrack::resource::RequestClass;
use wagtailtrack::time::MonoTime;
use wagtailtrack::wire::HealthState;

const TICK_MILLIS: u64 = 50;
/// Time between requests in milliseconds.
const GAP_MILLIS: u64 = 200;

struct HealthFixture {
    health: InstanceHealth,
    millis: u64,
}

impl HealthFixture {
    fn open() -> Self {
        let health = InstanceHealth::open(1);
        Self {
            health,
            millis: 1_000,
        }
    }

    /// Ticks for `span` milliseconds and returns the published states other than `Healthy`.
    ///
    /// If `is_busy`, a request runs from the first tick on.
    fn advance(&mut self, span: u64, is_busy: bool) -> Vec<HealthState> {
        let begin = self.millis;
        let mut states = Vec::new();
        while self.millis < begin + span {
            self.millis += TICK_MILLIS;
            let oldest = is_busy.then(|| Duration::from_millis(self.millis - begin));
            let now = MonoTime::from_millis(self.millis);
            self.health.tick(&ServiceBaseline::default(), now, oldest);
            states.push(self.health.published_state());
        }
        states.retain(|state| *state != HealthState::Healthy);
        states
    }

    /// Runs a request for `span` milliseconds to a good response; returns the states like `advance`.
    fn serve(&mut self, span: u64) -> Vec<HealthState> {
        let states = self.advance(span, true);
        let sample = ServiceSample {
            outcome: SampleOutcome::Good,
            service_time: Duration::from_millis(span),
            class: RequestClass::Filing,
        };
        let now = MonoTime::from_millis(self.millis);
        self.health
            .observe(&sample, &ServiceBaseline::default(), now);
        states
    }
}

/// Requests that take seconds are no stall once a request of that length has completed.
#[test]
fn long_requests() {
    let mut fixture = HealthFixture::open();
    let first = fixture.serve(2_600);
    assert!(!first.contains(&HealthState::Ejected), "{first:?}");
    assert_eq!(
        fixture.health.published_state(),
        HealthState::Healthy,
        "answered"
    );
    for span in [2_100, 3_900, 1_500, 2_800, 3_300, 2_600] {
        assert_eq!(fixture.advance(GAP_MILLIS, false), vec![], "idle");
        assert_eq!(fixture.serve(span), vec![], "{span} ms");
    }
}

#[test]
fn stalled_from_start() {
    let mut fixture = HealthFixture::open();
    let states = fixture.advance(4_000, true);
    assert_eq!(states.last(), Some(&HealthState::Ejected));
}

#[test]
fn stalled_later() {
    let mut fixture = HealthFixture::open();
    for _ in 0..3 {
        assert_eq!(fixture.serve(50), vec![]);
    }
    let states = fixture.advance(4_000, true);
    assert_eq!(states.last(), Some(&HealthState::Ejected));
}
