//! Failover from a home that does not answer to its backup.
//!
//! Guards against refusals within the rate while a VM is lost or partitioned and gossip, which
//! takes seconds, has not detected it yet.

mod limits_kit;

use std::time::Duration;

use limits_kit::{FaultPlan, SECOND, SimulatedFleet, rate_limit};
use wagtailtrack::ids::BootId;
use wagtailtrack::limits::{
    AccountPlacement, ActivePools, AdmissionController, AdmitOutcome, HomeCandidate, HomeMap,
    HomeRole, PoolKey,
};
use wagtailtrack::resource::RateLimit;
use wagtailtrack::settings::LimitsSettings;
use wagtailtrack::time::MonoTime;
use wagtailtrack::units::TimeSpan;
use wagtailtrack::wire::{GrantOutcome, GrantReply, TokenGrant};

const NODES: usize = 6;
const TOTAL: u32 = 16;
const LOSS_TIME: u64 = 10 * SECOND;
/// Time that gossip needs to detect a lost daemon, in microseconds.
const GOSSIP_DELAY: u64 = 6 * SECOND;

fn map_of(count: u16) -> HomeMap {
    let members = (0..count).map(|index| HomeCandidate {
        daemon: format!("vm-{index}").parse().unwrap(),
        address: ([127, 0, 0, 1], 1_000 + index).into(),
    });
    HomeMap::new(members.collect())
}

fn crew_limit() -> RateLimit {
    rate_limit("crew", 100, 100)
}

fn key(half: u8) -> PoolKey {
    let shard = AccountPlacement::new(&crew_limit().account, crew_limit().burst, TOTAL).shard;
    PoolKey { shard, half }
}

/// The backup must be the daemon that becomes the home once the home is removed from the map.
/// Otherwise the loans would move twice after a loss.
#[test]
fn backup_is_next_home() {
    let map = map_of(5);
    let home = map.home(key(0)).unwrap();
    let members = map.members().iter().filter(|member| *member != home);
    let rest = HomeMap::new(members.cloned().collect());
    assert_eq!(map.backup(key(0)), rest.home(key(0)));
    assert!(map_of(1).backup(key(0)).is_none());
}

/// After a failed call, the next one goes to the backup at once and to the home again a second
/// later.
#[test]
fn failed_call_goes_to_backup() {
    let map = map_of(5);
    let mut controller = AdmissionController::open(BootId(1), TOTAL);
    let mut now = MonoTime::from_millis(1_000);
    let until = now.after(Duration::from_secs(5));
    assert!(matches!(
        controller.admit(&crew_limit(), until, now),
        AdmitOutcome::Waiting(_)
    ));
    let first = controller.due_calls(&map, now).remove(0);
    let half = first.ask.demands[0].half;
    assert_eq!(first.target.role, HomeRole::Home);
    controller.record_failure(&first, now);
    let second = call_for(&mut controller, &map, half, &mut now);
    assert_eq!(Some(&second.target.home), map.backup(key(half)));
    let give = GrantOutcome::Tokens(TokenGrant {
        grant: 1,
        tokens: 1,
        lifetime_micros: 500_000,
        report_at_once: false,
    });
    let answer = GrantReply {
        home: BootId(9),
        outcomes: vec![give],
    };
    assert_eq!(controller.record_answer(&second, &answer, now).len(), 1);
    now = now + Duration::from_millis(1_100);
    controller.tick(now);
    let until = now.after(Duration::from_secs(5));
    controller.admit(&crew_limit(), until, now);
    let third = call_for(&mut controller, &map, half, &mut now);
    assert_eq!(third.target.role, HomeRole::Home);
}

/// The next call for `half`. Calls for the other half are skipped.
fn call_for(
    controller: &mut AdmissionController,
    map: &HomeMap,
    half: u8,
    now: &mut MonoTime,
) -> wagtailtrack::limits::GrantCall {
    for _ in 0..20 {
        let calls = controller.due_calls(map, *now).into_iter();
        let found = calls
            .into_iter()
            .find(|one| one.ask.demands[0].half == half);
        if let Some(found) = found {
            return found;
        }
        *now = *now + Duration::from_millis(20);
        controller.tick(*now);
    }
    panic!("no call for half {half}");
}

/// A backup serves a pool while requests arrive. A home that has become the backup stops serving
/// it, so that the new home can borrow the shares.
#[test]
fn active_pool_roles() {
    let map = map_of(5);
    let (home, backup) = (map.home(key(0)).unwrap(), map.backup(key(0)).unwrap());
    let now = MonoTime::from_millis(1_000);
    let mut active = ActivePools::default();
    assert!(active.record_request(key(0), &map, &backup.daemon, now));
    let served = active.served(&map, &backup.daemon);
    assert_eq!(served, vec![(key(0), HomeRole::Backup)]);
    assert!(active.expire(now + Duration::from_secs(3)));
    let members = map.members().iter().filter(|member| *member != home);
    let rest = HomeMap::new(members.cloned().collect());
    assert!(active.record_request(key(0), &rest, &backup.daemon, now));
    assert!(active.served(&map, &backup.daemon).is_empty());
}

fn fleet_of(seed: u64) -> SimulatedFleet {
    let settings = LimitsSettings {
        loan: TimeSpan::from_secs(1),
        grant: TimeSpan::from_millis(500),
        ..LimitsSettings::default()
    };
    let mut fleet = SimulatedFleet::open(seed, NODES, &settings, FaultPlan::none());
    fleet.add_account(crew_limit(), 90.0 / NODES as f64);
    fleet
}

/// Fraction of the requests in `span` that a central token bucket would admit but the fleet did
/// not.
fn refused_fraction(fleet: &SimulatedFleet, span: std::ops::Range<u64>) -> f64 {
    let [_, admitted, _] = fleet.audit.counts(0, span.clone());
    let ideal = fleet.audit.ideal(0, &crew_limit(), span);
    1.0 - admitted as f64 / ideal as f64
}

/// If a home is lost and no daemon has detected it, most of the rate must be served after 2 s: the
/// loans of the home have expired by then, and only the shares that it leased itself are missing.
#[test]
fn undetected_loss() {
    for seed in 1..6 {
        let mut fleet = fleet_of(seed);
        fleet.run_until(LOSS_TIME);
        let map = map_of(NODES as u16);
        let home = map.home(key(0)).unwrap().daemon.as_str()[3..].parse::<usize>();
        fleet.nodes[home.unwrap()].paused_until = 1_000 * SECOND;
        fleet.run_until(LOSS_TIME + GOSSIP_DELAY);
        let fraction = refused_fraction(&fleet, LOSS_TIME + 2 * SECOND..LOSS_TIME + GOSSIP_DELAY);
        eprintln!("seed {seed}: refused {fraction:.3}");
        assert!(fraction < 0.25, "seed {seed}: {fraction}");
    }
}

/// A home that was paused gets its loans back from the backup, with few refusals in between and no
/// share lent to both.
#[test]
fn home_returns() {
    for seed in 1..6 {
        let mut fleet = fleet_of(seed);
        fleet.run_until(LOSS_TIME);
        let map = map_of(NODES as u16);
        let name = map.home(key(0)).unwrap().daemon.clone();
        let home = name.as_str()[3..].parse::<usize>().unwrap();
        fleet.nodes[home].paused_until = LOSS_TIME + 5 * SECOND;
        fleet.run_until(LOSS_TIME + 12 * SECOND);
        let fraction = refused_fraction(&fleet, LOSS_TIME + 5 * SECOND..LOSS_TIME + 10 * SECOND);
        eprintln!("seed {seed}: refused {fraction:.3}");
        assert!(fraction < 0.1, "seed {seed}: {fraction}");
        let now = fleet.nodes[home].clock.at(fleet.now);
        assert!(
            !fleet.nodes[home].issuer.live_shares(key(0), now).is_empty(),
            "the home has no loans after it returned"
        );
        assert_eq!(fleet.double_lent, 0);
    }
}
