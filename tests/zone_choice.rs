//! The way of one request between zones, and the samples of other zones.

use std::time::Duration;

use wagtailtrack::balance::{WaitLimits, ZoneChoice, ZoneRouter, ZoneStart, ZoneStep};
use wagtailtrack::ids::InstanceId;
use wagtailtrack::time::MonoTime;

/// Guards against records of other zones that no request tests any more, and against samples that
/// cost much: over ten minutes a quiet and a busy ingress send two a minute, or a few more.
#[test]
fn samples_are_rare() {
    for interval in [Duration::from_secs(1), Duration::from_millis(10)] {
        let mut router = ZoneRouter::default();
        let mut rng = fastrand::Rng::with_seed(8);
        let mut now = MonoTime::ZERO;
        let mut samples = 0;
        while now < MonoTime::from_millis(600_000) {
            samples += usize::from(router.take_sample(now, &mut rng));
            now = now + interval;
        }
        assert!((15..=30).contains(&samples), "{samples}");
    }
}

/// Returns a choice of zones whose request found two instances of its zone busy, with a wait of 50 ms.
fn after_busy(is_planned: bool) -> ZoneChoice {
    let mut choice = ZoneChoice::open(ZoneStart {
        has_home: true,
        is_planned,
        is_sample: false,
        no_wait_offers: 2,
    });
    let limits = limits(Duration::from_secs(1));
    let mut rng = fastrand::Rng::with_seed(9);
    for instance in ["i1", "i2"] {
        assert_eq!(choice.next_step(&limits, &mut rng), Some(ZoneStep::Home));
        let instance: InstanceId = instance.parse().unwrap();
        choice.on_busy(&instance, true, Duration::from_millis(50));
    }
    choice
}

fn limits(goal_left: Duration) -> WaitLimits {
    let service_time = Duration::from_millis(20);
    WaitLimits::open(
        Some(goal_left),
        Duration::from_secs(10),
        service_time,
        false,
    )
}

/// Guards against a request that leaves its zone although a short part of its time suffices there,
/// whatever the overflow share, and against one that stays without the time for it.
#[test]
fn wait_fits_goal() {
    let cases = [
        (false, 100, true),
        (false, 70, false),
        (true, 400, true),
        (true, 200, false),
    ];
    for (is_planned, goal_millis, stays) in cases {
        let mut choice = after_busy(is_planned);
        let mut rng = fastrand::Rng::with_seed(9);
        let step = choice.next_step(&limits(Duration::from_millis(goal_millis)), &mut rng);
        let is_wait = matches!(step, Some(ZoneStep::Wait(..)));
        assert_eq!(is_wait, stays, "{is_planned} {goal_millis} {step:?}");
        assert!(is_wait || step == Some(ZoneStep::Away));
    }
}

/// Guards against a request whose offers end in its own zone, where every instance refuses for its
/// limit, while other zones have room.
#[test]
fn refusals_end_home_offers() {
    let mut choice = ZoneChoice::open(ZoneStart {
        has_home: true,
        is_planned: false,
        is_sample: false,
        no_wait_offers: 4,
    });
    let limits = limits(Duration::from_secs(1));
    let mut rng = fastrand::Rng::with_seed(10);
    let mut offers = 0;
    while choice.next_step(&limits, &mut rng) == Some(ZoneStep::Home) {
        choice.on_failure(&format!("i{offers}").parse().unwrap(), true);
        offers += 1;
    }
    assert_eq!(offers, 4);
    assert_eq!(choice.next_step(&limits, &mut rng), Some(ZoneStep::Away));
}
