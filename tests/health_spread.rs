//! Guards against the ejection of healthy instances whose service times vary widely: one request in
//! twelve takes three times the median.

use std::time::Duration;

use wagtailtrack::health::{InstanceHealth, SampleOutcome, ServiceBaseline, ServiceSample};
use wagtailtrack::resource::RequestClass;
use wagtailtrack::time::MonoTime;
use wagtailtrack::wire::{HealthState, InstancePhase, InstanceRecord};

const MEDIAN_MILLIS: f64 = 150.0;
/// Standard deviation of the logarithm of the service time.
const SPREAD: f64 = 0.8;
const GAP_MILLIS: u64 = 200;
const TICK_MILLIS: u64 = 50;

fn sample_baseline() -> ServiceBaseline {
    let record = |name: &str| InstanceRecord {
        instance: name.parse().unwrap(),
        service: "desk".parse().unwrap(),
        daemon: "vm-1".parse().unwrap(),
        egress: "127.0.0.1:1".parse().unwrap(),
        zone: "z1".parse().unwrap(),
        region: "r1".parse().unwrap(),
        incarnation: Default::default(),
        phase: InstancePhase::Ready,
        health: HealthState::Healthy,
        slots: "3".parse().unwrap(),
        median_micros: (MEDIAN_MILLIS * 1e3) as u32,
        cold_rate: None,
        left_run: None,
    };
    ServiceBaseline::from_records(&[record("one"), record("two"), record("three")])
}

fn normal(rng: &mut fastrand::Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.f64()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.f64()).cos()
}

/// Returns the number of ejections in `secs` seconds and the time of the first, in milliseconds.
///
/// `factor_from` gives the factor on service times at a time in milliseconds.
fn ejections(seed: u64, secs: u64, factor_from: impl Fn(u64) -> f64) -> (usize, Option<u64>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut health = InstanceHealth::open(seed);
    let baseline = sample_baseline();
    let (mut count, mut first) = (0, None);
    for millis in (1_000..1_000 + secs * 1_000).step_by(TICK_MILLIS as usize) {
        let now = MonoTime::from_millis(millis);
        let mut change = health.tick(&baseline, now, None);
        if millis.is_multiple_of(GAP_MILLIS) {
            let spread = (SPREAD * normal(&mut rng)).exp();
            let sample = ServiceSample {
                outcome: SampleOutcome::Good,
                service_time: Duration::from_secs_f64(
                    MEDIAN_MILLIS / 1e3 * spread * factor_from(millis),
                ),
                class: RequestClass::Filing,
            };
            change = health.observe(&sample, &baseline, now).or(change);
        }
        if change.is_some_and(|change| change.to == HealthState::Ejected) {
            count += 1;
            first = first.or(Some(millis));
            health = InstanceHealth::open(seed ^ millis);
        }
    }
    (count, first)
}

/// A wide spread alone causes at most two ejections in 40 minutes.
#[test]
fn wide_spread() {
    let counts: Vec<usize> = (0..40).map(|seed| ejections(seed, 60, |_| 1.0).0).collect();
    let total: usize = counts.iter().sum();
    eprintln!("ejections in 40 minutes: {total}, {counts:?}");
    assert!(total <= 2, "{total} in 40 minutes: {counts:?}");
}

/// An instance that becomes five times slower is still ejected within five seconds.
#[test]
fn slow_despite_spread() {
    for seed in 0..20 {
        let slow_from = 31_000;
        let factor = |millis| if millis < slow_from { 1.0 } else { 5.0 };
        let (_, first) = ejections(seed, 40, factor);
        let first = first.filter(|first| *first >= slow_from);
        assert!(
            first.is_some_and(|first| first <= slow_from + 5_000),
            "seed {seed}: {first:?}"
        );
    }
}

/// Returns the median after 200 responses, of which every fourth is a check of 1 ms; `first_check` is
/// its position among the four.
fn mixed_median(first_check: u64) -> Duration {
    let mut health = InstanceHealth::open(1);
    for number in 0..200 {
        let (class, millis) = match number % 4 == first_check {
            true => (RequestClass::InternalCheck, 1),
            false => (RequestClass::Filing, 350),
        };
        let sample = ServiceSample {
            outcome: SampleOutcome::Good,
            service_time: Duration::from_millis(millis),
            class,
        };
        let now = MonoTime::from_millis(1_000 + number * GAP_MILLIS);
        health.observe(&sample, &ServiceBaseline::default(), now);
    }
    health.median().unwrap()
}

/// Instances with equal mixes of classes have similar medians, whichever class comes first. If not, a
/// low median would become the baseline and make healthy instances look slow.
#[test]
fn order_of_classes() {
    let (checks_first, filings_first) = (mixed_median(0), mixed_median(3));
    let ratio = checks_first.as_secs_f64() / filings_first.as_secs_f64();
    assert!(
        (0.7..1.4).contains(&ratio),
        "{checks_first:?} against {filings_first:?}"
    );
}
