//! Refusals within the rate, in a healthy fleet and after a single fault.
//!
//! Guards against a daemon restart or loss that makes the others refuse requests within the rate.

mod limits_kit;

use limits_kit::{FaultPlan, SECOND, SimulatedFleet, rate_limit};
use wagtailtrack::settings::LimitsSettings;

const NODES: usize = 6;
const FAULT: u64 = 20 * SECOND;
/// With each seed, the faulty daemon is the home, lender and ingress of other accounts.
const SEEDS: std::ops::Range<u64> = 1..11;
/// Time that the other daemons need to detect a lost daemon, in microseconds.
const DETECTION: u64 = 2 * SECOND;

/// Eight accounts that each send 70% of their rate, in total 200 requests per second at each
/// daemon.
fn fleet_of(seed: u64) -> SimulatedFleet {
    let settings = LimitsSettings::default();
    let mut fleet = SimulatedFleet::open(seed, NODES, &settings, FaultPlan::none());
    let demands = [60.0, 60.0, 40.0, 20.0, 10.0, 6.0, 3.0, 1.0];
    for (index, demand) in demands.into_iter().enumerate() {
        let rate = (demand * NODES as f64 / 0.7) as u64;
        let burst = u32::try_from(rate.max(16)).unwrap();
        fleet.add_account(rate_limit(&format!("tenant-{index}"), rate, burst), demand);
    }
    fleet
}

/// Number of requests and of refusals in `span`, over all accounts.
fn refusals(fleet: &SimulatedFleet, span: std::ops::Range<u64>) -> [usize; 2] {
    let counts = (0..fleet.limits.len()).map(|account| fleet.audit.counts(account, span.clone()));
    for (account, counts) in counts.clone().enumerate() {
        eprintln!("{}: {counts:?}", fleet.limits[account].account);
    }
    counts.fold([0, 0], |sum, [asked, _, refused]| {
        [sum[0] + asked, sum[1] + refused]
    })
}

/// A healthy fleet refuses no request within the rate.
#[test]
fn steady_refusals() {
    let mut fleet = fleet_of(1);
    fleet.run_until(5 * SECOND);
    let (messages, bytes) = (fleet.messages, fleet.bytes);
    fleet.run_until(30 * SECOND);
    let per = |count: u64| count as f64 / 25.0 / NODES as f64;
    let traffic = (per(fleet.messages - messages), per(fleet.bytes - bytes));
    eprintln!("messages and bytes sent a daemon a second: {traffic:?}");
    let [asked, refused] = refusals(&fleet, 5 * SECOND..29 * SECOND);
    assert_eq!(refused, 0, "of {asked}");
}

/// After a daemon is replaced by a new process at the same address, fewer than 0.1% of the requests
/// are refused in 10 s.
#[test]
fn daemon_replaced() {
    for seed in SEEDS {
        let mut fleet = fleet_of(seed);
        fleet.run_until(FAULT);
        fleet.replace(0);
        fleet.run_until(FAULT + 11 * SECOND);
        let [asked, refused] = refusals(&fleet, FAULT..FAULT + 10 * SECOND);
        eprintln!("daemon replaced, seed {seed}: {refused} of {asked}");
        assert!(refused * 1_000 < asked, "seed {seed}: {refused} of {asked}");
    }
}

/// After a daemon is lost, fewer than 0.1% of the requests are refused in 10 s.
#[test]
fn home_killed() {
    for seed in SEEDS {
        let mut fleet = fleet_of(seed);
        fleet.run_until(FAULT);
        fleet.nodes[0].paused_until = 1_000 * SECOND;
        fleet.run_until(FAULT + DETECTION);
        (1..NODES).for_each(|viewer| fleet.set_view(viewer, (1..NODES).collect()));
        fleet.run_until(FAULT + 11 * SECOND);
        let [asked, refused] = refusals(&fleet, FAULT..FAULT + 10 * SECOND);
        eprintln!("home killed, seed {seed}: {refused} of {asked}");
        assert!(refused * 1_000 < asked, "seed {seed}: {refused} of {asked}");
    }
}
