//! Instances whose usual service time is not known yet.
//!
//! The load answered: few requests a minute, each of which takes seconds by nature.

use std::time::Duration;

use wagtailtrack::health::{InstanceHealth, SampleOutcome, ServiceBaseline, ServiceSample};
use wagtailtrack::resource::RequestClass;
use wagtailtrack::time::MonoTime;
use wagtailtrack::wire::HealthState;

const TICK_MILLIS: u64 = 50;
/// Time between requests.
const GAP_MILLIS: u64 = 200;

struct Bench {
    health: InstanceHealth,
    millis: u64,
}

impl Bench {
    fn open() -> Self {
        let health = InstanceHealth::open(1);
        Self {
            health,
            millis: 1_000,
        }
    }

    /// Ticks for `span` milliseconds, with a request under way from their begin if `is_busy`; the
    /// states met that are not full health.
    fn pass(&mut self, span: u64, is_busy: bool) -> Vec<HealthState> {
        let begin = self.millis;
        let mut met = Vec::new();
        while self.millis < begin + span {
            self.millis += TICK_MILLIS;
            let oldest = is_busy.then(|| Duration::from_millis(self.millis - begin));
            let now = MonoTime::from_millis(self.millis);
            self.health.tick(&ServiceBaseline::default(), now, oldest);
            met.push(self.health.published_state());
        }
        met.retain(|state| *state != HealthState::Healthy);
        met
    }

    /// A request that takes `span` milliseconds and is answered well; the states as in `pass`.
    fn serve(&mut self, span: u64) -> Vec<HealthState> {
        let met = self.pass(span, true);
        let sample = ServiceSample {
            outcome: SampleOutcome::Good,
            service_time: Duration::from_millis(span),
            class: RequestClass::Filing,
        };
        let now = MonoTime::from_millis(self.millis);
        self.health
            .observe(&sample, &ServiceBaseline::default(), now);
        met
    }
}

/// Answers of seconds are no stall where answers take seconds.
#[test]
fn slow_by_nature() {
    let mut bench = Bench::open();
    let first = bench.serve(2_600);
    assert!(!first.contains(&HealthState::Ejected), "{first:?}");
    assert_eq!(
        bench.health.published_state(),
        HealthState::Healthy,
        "answered"
    );
    for span in [2_100, 3_900, 1_500, 2_800, 3_300, 2_600] {
        assert_eq!(bench.pass(GAP_MILLIS, false), vec![], "idle");
        assert_eq!(bench.serve(span), vec![], "{span} ms");
    }
}

#[test]
fn hangs_from_start() {
    let mut bench = Bench::open();
    let met = bench.pass(4_000, true);
    assert_eq!(met.last(), Some(&HealthState::Ejected));
}

#[test]
fn hangs_later() {
    let mut bench = Bench::open();
    for _ in 0..3 {
        assert_eq!(bench.serve(50), vec![]);
    }
    let met = bench.pass(4_000, true);
    assert_eq!(met.last(), Some(&HealthState::Ejected));
}
