//! Grants of tokens from the home in the ingress's own availability zone.
//!
//! Guards against token requests that cross zones although the own zone has tokens, and against an
//! account that gets less than its rate because all its callers are in one zone.

mod limits_kit;

use limits_kit::{CutPlan, FaultPlan, SECOND, SimulatedFleet, ZONES, rate_limit, seconds};
use wagtailtrack::limits::{PoolKey, ShardId};
use wagtailtrack::settings::LimitsSettings;

const NODES: usize = 15;

/// Six accounts that each send 70% of their rate through all daemons.
fn fleet_of(seed: u64, zones: usize) -> SimulatedFleet {
    let settings = LimitsSettings::default();
    let mut fleet = SimulatedFleet::open(seed, NODES, &settings, FaultPlan::none());
    fleet.zones = zones;
    (0..NODES).for_each(|index| fleet.set_view(index, (0..NODES).collect()));
    for index in 0..6 {
        let limit = rate_limit(&format!("tenant-{index}"), 60, 60);
        fleet.add_account(limit, 60.0 * 0.7 / NODES as f64);
    }
    fleet
}

/// The homes of a shard are in different zones, and with one zone they are those without zones.
#[test]
fn homes_in_zones() {
    let (plain, one, zoned) = (fleet_of(1, 0), fleet_of(1, 1), fleet_of(1, ZONES));
    for shard in ShardId::all() {
        let home = |fleet: &SimulatedFleet, half| {
            let map = &fleet.nodes[0].map;
            map.home(PoolKey { shard, half }).unwrap().daemon.clone()
        };
        let zone = |half| home(&zoned, half).as_str()[3..].parse::<usize>().unwrap() % ZONES;
        assert_ne!(zone(0), zone(1), "{shard:?}");
        for half in [0, 1] {
            assert_eq!(home(&plain, half), home(&one, half));
        }
    }
}

/// At least a third of the bytes for grants between zones is saved, and no request within the rate
/// is refused.
#[test]
fn fewer_far_grants() {
    let mut bytes = [0, 0];
    for (index, zones) in [0, ZONES].into_iter().enumerate() {
        for seed in 1..4 {
            let mut fleet = fleet_of(seed, zones);
            fleet.run_until(5 * SECOND);
            let before = fleet.far_grant_bytes;
            fleet.run_until(20 * SECOND);
            bytes[index] += fleet.far_grant_bytes - before;
            for (account, limit) in fleet.limits.iter().enumerate() {
                let [_, _, refused] = fleet.audit.counts(account, seconds(5, 19));
                assert_eq!(refused, 0, "{zones} zones, {}", limit.account);
                assert_eq!(fleet.audit.excess(account, limit), 0);
            }
        }
    }
    eprintln!("bytes of grants between zones: {bytes:?}");
    assert!(bytes[1] * 3 <= bytes[0] * 2, "{bytes:?}");
}

/// An account whose callers are all in one zone gets its whole rate, and its bound holds while the
/// zones cannot reach each other.
#[test]
fn callers_in_one_zone() {
    let mut fleet = fleet_of(2, ZONES);
    let account = fleet.limits.len();
    fleet.add_account(rate_limit("near", 100, 100), 0.0);
    fleet.demand[account] = 60.0;
    (0..NODES)
        .step_by(ZONES)
        .for_each(|node| fleet.next_request(node, account));
    fleet.cuts = CutPlan {
        partition: (seconds(20, 24), 0..NODES / 2),
        ..CutPlan::default()
    };
    fleet.run_until(15 * SECOND);
    let admitted = fleet.audit.admissions(account, seconds(5, 15));
    assert!(admitted >= 950, "{admitted} of 1000");
    fleet.run_until(30 * SECOND);
    assert_eq!(fleet.double_lent, 0);
    for (account, limit) in fleet.limits.iter().enumerate() {
        assert_eq!(fleet.audit.excess(account, limit), 0, "{}", limit.account);
    }
}
