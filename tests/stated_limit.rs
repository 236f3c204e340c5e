//! The limit on requests per second that an instance states in its responses.

use std::time::Duration;

use wagtailtrack::egress::StatedLimit;
use wagtailtrack::time::MonoTime;
use wagtailtrack::units::Rate;

const WINDOW_MILLIS: u64 = 4_000;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn rate(per_second: f64) -> Rate {
    Rate::from_events_per_second(per_second).unwrap()
}

fn stated(per_second: f64, millis: u64) -> StatedLimit {
    let mut limit = StatedLimit::default();
    assert!(limit.observe(Some(rate(per_second)), at(millis), at(millis)));
    limit
}

/// In any four seconds an instance gets at most one and a half times its limit and five requests, and
/// nearly all that it takes, however many are offered.
#[test]
fn any_window() {
    for per_second in [0.25, 1.0, 2.7, 3.1, 40.0] {
        let mut limit = stated(per_second, 0);
        let sent: Vec<u64> = (0..20_000)
            .filter(|millis| limit.take(at(*millis)).is_ok())
            .collect();
        for begin in &sent {
            let window = *begin..*begin + WINDOW_MILLIS;
            let count = sent.iter().filter(|millis| window.contains(millis)).count();
            assert!(count as f64 <= 4.0 * 1.5 * per_second + 5.0, "{count}");
        }
        let expected = 20.0 * per_second;
        assert!(sent.len() as f64 >= 0.9 * expected - 1.0, "{}", sent.len());
    }
}

/// Requests that are refused one after the other come back one after the other, so that they do not
/// meet the limit together again.
#[test]
fn refused_in_turn() {
    let mut limit = stated(2.0, 0);
    let waits = [(); 8].map(|()| limit.take(at(0)).unwrap_err());
    assert_eq!(waits[0], Duration::from_millis(500));
    assert_eq!(waits[1], Duration::from_millis(1_000));
    assert!(waits.iter().all(|wait| *wait <= Duration::from_secs(3)));
    assert!(limit.take(at(500)).is_ok());
}

/// A response to a request that was sent before the limit was stated does not end it; one to a later
/// request does.
#[test]
fn overtaken_response() {
    let mut limit = stated(2.0, 100);
    assert!(!limit.observe(None, at(50), at(120)));
    assert!(limit.take(at(130)).is_err());
    assert!(limit.observe(None, at(150), at(200)));
    assert!(limit.take(at(200)).is_ok());
    assert_eq!(limit.rate(), None);
}

/// A request that is not sent to the instance leaves its place to another.
#[test]
fn unsent_request() {
    let mut limit = stated(1.0, 0);
    assert!(limit.take(at(1_000)).is_ok());
    assert!(limit.take(at(1_000)).is_err());
    limit.give_back();
    assert!(limit.take(at(1_000)).is_ok());
}
