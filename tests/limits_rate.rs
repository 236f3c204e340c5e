//! Rate and burst across a simulated fleet under faults.
//!
//! Guards against a share that two homes use at once, which would admit more than the rate: this
//! can come about through lost, duplicated or late messages, pauses, clock drift and replaced
//! processes.

mod limits_kit;

use arbtest::arbtest;
use fastrand::Rng;
use limits_kit::{FaultPlan, SECOND, SimulatedFleet, rate_limit};
use wagtailtrack::settings::LimitsSettings;
use wagtailtrack::units::TimeSpan;

const SEED_BYTES: u64 = 64;

/// Runs `check` with a number drawn from each of the fixed seeds 1 to `count`.
fn each_seed(count: u64, mut check: impl FnMut(u64)) {
    for seed in 1..=count {
        arbtest(|source| {
            check(source.arbitrary()?);
            Ok(())
        })
        .seed(seed << 32 | SEED_BYTES);
    }
}

/// Draws settings and faults. With few shares, a share that is lent twice has the greatest effect.
fn draw_faults(rng: &mut Rng) -> (LimitsSettings, FaultPlan) {
    let settings = LimitsSettings {
        shares: *rng.choice(&[1, 2, 4, 16]).unwrap(),
        lease: TimeSpan::from_secs(15),
        renew: TimeSpan::from_secs(5),
        ..LimitsSettings::default()
    };
    let faults = FaultPlan {
        lossy_percent: *rng.choice(&[1, 5, 15]).unwrap(),
        delay: *rng.choice(&[SECOND, 5 * SECOND]).unwrap(),
        pause_every: *rng.choice(&[2 * SECOND, 10 * SECOND]).unwrap(),
        view_change_every: *rng.choice(&[SECOND, 10 * SECOND]).unwrap(),
        replace_every: *rng.choice(&[0, 10 * SECOND, 30 * SECOND]).unwrap(),
        outage: *rng.choice(&[(0, 0), (20, 40)]).unwrap(),
    };
    (settings, faults)
}

/// Index of the account that stays within its rate.
const STEADY: usize = 1;

fn add_accounts(fleet: &mut SimulatedFleet) {
    fleet.add_account(rate_limit("greedy", 10, 60), 12.0);
    fleet.add_account(rate_limit("steady", 40, 40), 5.0);
    fleet.add_account(rate_limit("tiny", 2, 1), 2.0);
    fleet.add_account(rate_limit("short", 50, 5), 30.0);
}

fn assert_within_limits(fleet: &SimulatedFleet) {
    assert_eq!(
        fleet.double_lent, 0,
        "shares were pooled at two homes at once"
    );
    for (account, limit) in fleet.limits.iter().enumerate() {
        let excess = fleet.audit.excess(account, limit);
        assert_eq!(excess, 0, "{} exceeds its rate", limit.account);
    }
}

/// No account may exceed burst + rate * t in any time window, whatever the faults.
#[test]
fn never_above_rate() {
    let mut admitted = 0;
    each_seed(40, |seed| {
        let mut rng = Rng::with_seed(seed);
        let (settings, faults) = draw_faults(&mut rng);
        let mut fleet = SimulatedFleet::open(seed, 4, &settings, faults);
        add_accounts(&mut fleet);
        fleet.run_until(60 * SECOND);
        assert_within_limits(&fleet);
        admitted += fleet.audit.counts(STEADY, 0..u64::MAX)[1];
    });
    // Guards against a run in which the faults prevented nearly all admissions.
    assert!(admitted > 10_000, "{admitted} admitted over all seeds");
}

/// Without faults, each account gets at least 80% of what a central token bucket would admit, and
/// an account within its rate is never refused.
#[test]
fn healthy_use() {
    let mut fleet = SimulatedFleet::open(1, 4, &LimitsSettings::default(), FaultPlan::none());
    add_accounts(&mut fleet);
    fleet.run_until(40 * SECOND);
    assert_within_limits(&fleet);
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
