//! When an answer of the store was true, by the own clock.

use arbtest::arbtest;
use wagtailtrack::config::StoreClock;
use wagtailtrack::time::MonoTime;

const SEEDS: u64 = 40;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// An answer that waited at the store is dated near its end, not near its question.
#[test]
fn long_wait() {
    let mut clock = StoreClock::default();
    assert_eq!(clock.answer_lower_bound(at(100), at(104), 7_002), at(100));
    let dated = clock.answer_lower_bound(at(110), at(3_114), 10_012);
    assert!(dated >= at(3_100) && dated <= at(3_110), "{dated}");
}

/// A store that begins its clock anew is dated by the question alone.
#[test]
fn clock_restarted() {
    let mut clock = StoreClock::default();
    clock.answer_lower_bound(at(100), at(104), 7_000);
    assert_eq!(clock.answer_lower_bound(at(200), at(2_204), 50), at(200));
}

/// Whatever the delays, the date never lies after the moment at which the store answered.
#[test]
fn never_late() {
    for seed in 1..=SEEDS {
        arbtest(|source| {
            let mut clock = StoreClock::default();
            let offset: u64 = source.int_in_range(0..=1_000_000)?;
            let mut now = 0;
            for _ in 0..30 {
                let sent = now + source.int_in_range(0..=500)?;
                let answered = sent + source.int_in_range(0..=4_000)?;
                let received = answered + source.int_in_range(0..=800)?;
                let dated = clock.answer_lower_bound(at(sent), at(received), answered + offset);
                assert!(dated <= at(answered), "{dated} after {answered} ms");
                assert!(dated >= at(sent));
                now = received;
            }
            Ok(())
        })
        .seed(seed << 32 | 256);
    }
}
