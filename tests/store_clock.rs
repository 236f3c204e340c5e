//! Lower bounds, on the local clock, for the time at which a store gave an answer.

use arbtest::arbtest;
use wagtailtrack::config::StoreClock;
use wagtailtrack::time::MonoTime;

const SEEDS: u64 = 40;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// After a long wait at the store, the bound must be close to the answer and not to the query, or
/// the freshness lease would expire while the store is up.
#[test]
fn long_wait() {
    let mut clock = StoreClock::default();
    assert_eq!(clock.answer_lower_bound(at(100), at(104), 7_002), at(100));
    let bound = clock.answer_lower_bound(at(110), at(3_114), 10_012);
    assert!(bound >= at(3_100) && bound <= at(3_110), "{bound}");
}

/// After a restart of the store's clock, earlier bounds do not apply: the answer is bound by its
/// query alone.
#[test]
fn clock_restarted() {
    let mut clock = StoreClock::default();
    clock.answer_lower_bound(at(100), at(104), 7_000);
    assert_eq!(clock.answer_lower_bound(at(200), at(2_204), 50), at(200));
}

/// For random delays, the bound must never be after the time at which the store answered, or a
/// stale configuration would count as fresh.
#[test]
fn bound_is_never_late() {
    for seed in 1..=SEEDS {
        arbtest(|source| {
            let mut clock = StoreClock::default();
            let offset: u64 = source.int_in_range(0..=1_000_000)?;
            let mut now = 0;
            for _ in 0..30 {
                let sent = now + source.int_in_range(0..=500)?;
                let answered = sent + source.int_in_range(0..=4_000)?;
                let received = answered + source.int_in_range(0..=800)?;
                let bound = clock.answer_lower_bound(at(sent), at(received), answered + offset);
                assert!(bound <= at(answered), "{bound} after {answered} ms");
                assert!(bound >= at(sent));
                now = received;
            }
            Ok(())
        })
        .seed(seed << 32 | 256);
    }
}
