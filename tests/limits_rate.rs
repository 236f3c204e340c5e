//! Rate and burst across the fleet, under faults, in virtual time.

mod limits_kit;

use arbtest::arbtest;
use limits_kit::{FaultPlan, SECOND, VirtualFleet, rate_limit};
use wagtailtrack::settings::LimitsSettings;
use wagtailtrack::units::TimeSpan;

const SEED_BYTES: u64 = 64;

/// Runs `check` with a number drawn by each of the fixed seeds from 1 to `count`.
fn each_seed(count: u64, check: impl Fn(u64)) {
    for seed in 1..=count {
        arbtest(|source| {
            check(source.arbitrary()?);
            Ok(())
        })
        .seed(seed << 32 | SEED_BYTES);
    }
}

fn rough() -> FaultPlan {
    FaultPlan {
        lossy_percent: 10,
        delay: 5 * SECOND,
        pause_every: 3 * SECOND,
        flip_every: SECOND,
        replace_every: 20 * SECOND,
        away: 20 * SECOND..40 * SECOND,
    }
}

fn short_leases() -> LimitsSettings {
    LimitsSettings {
        lease: TimeSpan::from_secs(15),
        renew: TimeSpan::from_secs(5),
        ..LimitsSettings::default()
    }
}

/// The account that stays within its rate.
const STEADY: usize = 1;

fn accounts(fleet: &mut VirtualFleet) {
    fleet.add_account(rate_limit("greedy", 20, 20), 25.0);
    fleet.add_account(rate_limit("steady", 40, 40), 5.0);
    fleet.add_account(rate_limit("tiny", 2, 1), 2.0);
    fleet.add_account(rate_limit("short", 50, 5), 30.0);
}

fn assert_kept(fleet: &VirtualFleet) {
    for (account, limit) in fleet.limits.iter().enumerate() {
        let excess = fleet.audit.excess(account, limit);
        assert_eq!(excess, 0, "{} exceeds its rate", limit.account);
    }
}

/// The faults must not have hidden everything: some requests came through.
fn assert_used(fleet: &VirtualFleet) {
    let [asked, admitted, _] = fleet.audit.counts(STEADY, 0..u64::MAX);
    assert!(admitted * 10 > asked, "{admitted} of {asked}");
}

#[test]
fn never_above_rate() {
    each_seed(20, |seed| {
        let mut fleet = VirtualFleet::open(seed, 4, &short_leases(), rough());
        accounts(&mut fleet);
        fleet.run_until(60 * SECOND);
        assert_kept(&fleet);
        assert_used(&fleet);
    });
}

#[test]
fn healthy_use() {
    let mut fleet = VirtualFleet::open(1, 4, &LimitsSettings::default(), FaultPlan::none());
    accounts(&mut fleet);
    fleet.run_until(40 * SECOND);
    assert_kept(&fleet);
    let span = 10 * SECOND..39 * SECOND;
    for (account, limit) in fleet.limits.iter().enumerate() {
        let [_, admitted, _] = fleet.audit.counts(account, span.clone());
        let ideal = fleet.audit.ideal(account, limit, span.clone());
        eprintln!("{}: {admitted} of {ideal}", limit.account);
        assert!(admitted * 10 >= ideal * 8, "{} starves", limit.account);
    }
    let [_, _, refused] = fleet.audit.counts(STEADY, span);
    assert_eq!(refused, 0, "refused within the rate");
}
