//! Retries stay within a share of first attempts.

use std::time::Duration;

use wagtailtrack::retry::RetryBudget;
use wagtailtrack::time::MonoTime;
use wagtailtrack::units::Percent;

fn share(value: u8) -> Percent {
    Percent::new(value).unwrap()
}

fn retries_granted(budget: &mut RetryBudget, asked: u32, now: MonoTime) -> u32 {
    let granted = (0..asked).filter(|_| budget.try_retry(now));
    u32::try_from(granted.count()).unwrap()
}

#[test]
fn share_of_attempts() {
    let mut budget = RetryBudget::open(share(10));
    let now = MonoTime::from_millis(1);
    for _ in 0..1_000 {
        budget.first_attempt(now);
    }
    assert_eq!(retries_granted(&mut budget, 1_000, now), 103);
}

#[test]
fn quiet_service() {
    let mut budget = RetryBudget::open(share(10));
    assert_eq!(
        retries_granted(&mut budget, 10, MonoTime::from_millis(1)),
        3
    );
}

#[test]
fn no_savings() {
    let mut budget = RetryBudget::open(share(10));
    for _ in 0..10_000 {
        budget.first_attempt(MonoTime::ZERO);
    }
    let later = MonoTime::ZERO + Duration::from_secs(60);
    assert!(retries_granted(&mut budget, 1_000, later) <= 4);
}

#[test]
fn zero_share() {
    let mut budget = RetryBudget::open(share(0));
    budget.first_attempt(MonoTime::ZERO);
    assert!(!budget.try_retry(MonoTime::ZERO));
}
