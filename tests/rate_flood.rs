//! An account that sends three times its rate while parts of the fleet are cut off.
//!
//! Guards against requests that wait for a home that cannot answer, callers that are told to come
//! back all at once, and tokens that no one uses while callers are refused.

mod limits_kit;

use limits_kit::{CutPlan, FaultPlan, FloodCallers, SECOND, SimulatedFleet, rate_limit, seconds};
use wagtailtrack::limits::{AccountPlacement, PoolKey};
use wagtailtrack::settings::LimitsSettings;
use wagtailtrack::units::TimeSpan;

const NODES: usize = 45;
const INGRESSES: usize = 30;
/// The homes of the account.
const HOMES: [usize; 2] = [29, 27];
const RATE: u64 = 170;
const BURST: u32 = 170;
/// Requests per second of new callers, as a multiple of the rate.
const EXCESS: f64 = 3.0;
/// Time that each caller has.
const PATIENCE: u64 = 10 * SECOND;

/// Longest time until a refusal, in microseconds: two answers, each of which may take 200 ms where
/// nothing is known of them.
const LONGEST_REFUSAL: u64 = 400_000;
const MEAN_REFUSAL: u64 = 10_000;
/// Fewest callers that are admitted when they come as told. The others find that the home's tokens
/// came late by some milliseconds, and are told again.
const TOLD_PERCENT: f64 = 70.0;

/// The settings of `platform/node.toml`.
fn settings() -> LimitsSettings {
    LimitsSettings {
        shares: 8,
        shares_per_daemon: 1,
        lease: TimeSpan::from_secs(10),
        renew: TimeSpan::from_secs(4),
        loan: TimeSpan::from_millis(700),
        grant: TimeSpan::from_millis(350),
        zones: false,
    }
}

fn homes_of(fleet: &SimulatedFleet) -> [usize; 2] {
    let limit = &fleet.limits[0];
    let shard = AccountPlacement::new(&limit.account, limit.burst, settings().shares).shard;
    [0, 1].map(|half| {
        let home = fleet.nodes[0].map.home(PoolKey { shard, half }).unwrap();
        home.daemon.as_str()[3..].parse().unwrap()
    })
}

fn flood(seed: u64, cuts: CutPlan) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::open(seed, NODES, &settings(), FaultPlan::none());
    fleet.ingresses = INGRESSES;
    fleet.callers.patience = PATIENCE;
    fleet.cuts = cuts;
    let demand = EXCESS * RATE as f64 / INGRESSES as f64;
    fleet.add_account(rate_limit("crew", RATE, BURST), demand);
    assert_eq!(homes_of(&fleet), HOMES);
    fleet
}

/// Fewest admissions in any 5 s that begin in `span`, as a percentage of what the rate allows by the
/// clocks of the homes, which run up to 1.5% slow.
fn least_admitted(fleet: &SimulatedFleet, span: std::ops::Range<u64>) -> (f64, u64) {
    let speeds = HOMES.map(|home| fleet.nodes[home].clock.speed as f64 / 1_000.0);
    let allowed = (RATE * 5) as f64 * (speeds[0] + speeds[1]) / 2.0;
    let starts = span.step_by(SECOND as usize / 4);
    let percent =
        |from| fleet.audit.admissions(0, from..from + 5 * SECOND) as f64 * 100.0 / allowed;
    let least = starts.map(|from| (percent(from), from));
    least.min_by(|one, two| one.0.total_cmp(&two.0)).unwrap()
}

/// Checks the flood in `span` against the lowest admitted percentage.
fn assert_flood(name: &str, fleet: &SimulatedFleet, span: std::ops::Range<u64>, lowest: f64) {
    let callers = &fleet.callers;
    let told = FloodCallers::admitted_percent(&callers.returns, &span);
    let new = FloodCallers::admitted_percent(&callers.first_tries, &span);
    let (longest, mean) = callers.refusal_times(span.clone());
    let starts = span.start..span.end - 5 * SECOND;
    let (least, from) = least_admitted(fleet, starts);
    let excess = fleet.audit.excess(0, &fleet.limits[0]);
    eprintln!(
        "{name}: least admitted {least:.1}% in 5 s from {from} us; refused after {mean} us, at most {longest}; \
         admitted {told:.1}% of {} told, {new:.1}% of {} new; declined {}",
        callers.returns.len(),
        callers.first_tries.len(),
        callers.declined.len(),
    );
    assert_eq!(excess, 0, "{name}: above burst + rate * t");
    assert_eq!(fleet.double_lent, 0, "{name}: a share was lent twice");
    assert!(
        least >= lowest,
        "{name}: {least:.1}% of the rate from {from} us"
    );
    assert!(
        longest <= LONGEST_REFUSAL,
        "{name}: a refusal took {longest} us"
    );
    assert!(
        mean <= MEAN_REFUSAL,
        "{name}: refusals took {mean} us on average"
    );
    assert!(
        told >= TOLD_PERCENT,
        "{name}: {told:.1}% of the callers that came when told"
    );
    assert!(told > 3.0 * new, "{name}: told {told:.1}%, new {new:.1}%");
    let returns = callers.returns.len();
    let first = callers.first_tries.len();
    assert!(
        returns < first,
        "{name}: {returns} returns of {first} callers"
    );
}

/// Without faults, tokens are used and callers that come when told go first.
#[test]
fn steady_flood() {
    let mut fleet = flood(1, CutPlan::default());
    fleet.run_until(30 * SECOND);
    assert_flood("steady", &fleet, seconds(5, 29), 95.0);
}

fn partition_flood(seed: u64, nodes: std::ops::Range<usize>, lowest: f64) {
    let cuts = CutPlan {
        platform: (seconds(15, 20), 0..NODES / 3),
        partition: (seconds(16, 20), nodes.clone()),
    };
    let mut fleet = flood(seed, cuts);
    fleet.run_until(29 * SECOND);
    let name = format!("seed {seed}, partition of {nodes:?}");
    assert_flood(&name, &fleet, seconds(8, 28), lowest);
}

/// A third of the daemons do not reach the platform, and some, of which two lend shares, reach only
/// each other.
#[test]
fn lenders_cut_off() {
    (1..3).for_each(|seed| partition_flood(seed, 10..18, 95.0));
}

/// One of the account's homes is cut off as well.
#[test]
fn home_cut_off() {
    (1..3).for_each(|seed| partition_flood(seed, 22..29, 95.0));
}

/// Both homes are cut off. What they had borrowed is out of use for up to one loan when they are
/// lost and again when they return, so that 5 s with both ends of the partition in them admit less.
#[test]
fn both_homes_cut_off() {
    (1..3).for_each(|seed| partition_flood(seed, 25..33, 95.0));
}

/// A home and later a lender restart. The loans of a home that is replaced
/// cannot be used until its last grants have expired.
#[test]
fn restart_flood() {
    let mut fleet = flood(3, CutPlan::default());
    for (at, index) in [(15, 27), (21, 1)] {
        fleet.run_until(at * SECOND);
        fleet.replace(index);
    }
    fleet.run_until(29 * SECOND);
    assert_flood("restart", &fleet, seconds(8, 28), 95.0);
}

/// Admissions per second follow a changed rate within two seconds, and promises made before do not
/// keep tokens from being used.
#[test]
fn changed_rate() {
    let mut fleet = flood(4, CutPlan::default());
    for (at, rate) in [(12, 85), (20, 340)] {
        fleet.run_until(at * SECOND);
        fleet.limits[0] = rate_limit("crew", rate, BURST);
        fleet.run_until((at + 8) * SECOND);
        let span = seconds(at + 2, at + 7);
        let admitted = fleet.audit.admissions(0, span) as f64;
        let allowed = (rate * 5) as f64;
        eprintln!("rate {rate}: {admitted} of {allowed}");
        assert!(
            admitted >= allowed * 0.95,
            "rate {rate}: {admitted} of {allowed}"
        );
        assert!(admitted <= allowed + f64::from(BURST));
    }
    let highest = rate_limit("crew", 340, BURST);
    assert_eq!(fleet.audit.excess(0, &highest), 0);
}
