//! The simulated fleet is deterministic: a seed gives the same run each time, so that a failure can
//! be reproduced.

mod limits_kit;

use limits_kit::{FaultPlan, SECOND, SimulatedFleet, rate_limit};
use wagtailtrack::settings::LimitsSettings;

/// Messages, bytes and request counts of a short run in which a daemon is replaced.
fn run_summary(seed: u64) -> (u64, u64, Vec<[usize; 3]>) {
    let settings = LimitsSettings::default();
    let mut fleet = SimulatedFleet::open(seed, 6, &settings, FaultPlan::none());
    for (index, demand) in [60.0, 40.0, 20.0, 10.0].into_iter().enumerate() {
        let rate = (demand * 6.0 / 0.7) as u64;
        let burst = u32::try_from(rate.max(16)).unwrap();
        fleet.add_account(rate_limit(&format!("tenant-{index}"), rate, burst), demand);
    }
    fleet.run_until(3 * SECOND);
    fleet.replace(0);
    fleet.run_until(8 * SECOND);
    let counts = (0..4).map(|account| fleet.audit.counts(account, 0..8 * SECOND));
    (fleet.messages, fleet.bytes, counts.collect())
}

#[test]
fn same_seed() {
    for seed in 1..4 {
        assert_eq!(run_summary(seed), run_summary(seed), "seed {seed}");
    }
}
