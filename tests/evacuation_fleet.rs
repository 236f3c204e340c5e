//! Evacuations in a fleet of which few daemons watch the store, in virtual time.

mod watch_kit;

use watch_kit::WatchFleet;

/// Longer than any wait in the fleet.
const SETTLE_MILLIS: u64 = 10_000;
/// Time from the acknowledgement of an evacuation until no daemon in contact with the store sends a
/// request to the zone.
const EVACUATION_MILLIS: u64 = 5_000;

fn settled(count: usize, seed: u64) -> WatchFleet {
    let mut fleet = WatchFleet::open(count, 3, seed);
    fleet.run(SETTLE_MILLIS);
    assert!(fleet.uninformed().is_empty(), "{:?}", fleet.uninformed());
    fleet
}

/// Guards against an evacuation that waits for the next confirmation on its way: it is out, and back,
/// everywhere within half a second.
#[test]
fn spreads_at_once() {
    for seed in [1, 2, 3] {
        let mut fleet = settled(300, seed);
        for _ in 0..2 {
            fleet.change_zone();
            fleet.run(500);
            assert!(fleet.uninformed().is_empty(), "seed {seed}");
        }
    }
}

/// The store turns a third of the daemons away, among them those that watch it for one zone, two or
/// all. Guards against daemons that learn of the evacuation after the bound, and against calls to the
/// store by the whole fleet.
#[test]
fn in_time_without_watchers() {
    for seed in 0..200 {
        let mut fleet = settled(21, seed);
        let mut rng = fastrand::Rng::with_seed(seed);
        let roots = fleet.roots();
        let lost = rng.choose_multiple(roots.clone(), 1 + seed as usize % 3);
        let is_drawn: Vec<bool> = (0..21).map(|_| rng.u8(0..3) == 0).collect();
        fleet.turn_away(|index| match roots.contains(&index) {
            true => lost.contains(&index),
            false => is_drawn[index],
        });
        fleet.run(rng.u64(300..9_000));
        fleet.change_zone();
        fleet.run(EVACUATION_MILLIS);
        let uninformed = fleet.uninformed();
        assert!(uninformed.is_empty(), "seed {seed}: {uninformed:?}");
    }
}

/// Random cuts, outages, documents and changes of the zone. Guards against a daemon that keeps to an
/// earlier state when the faults are over, by whatever ways it heard of the later ones.
#[test]
fn agrees_after_faults() {
    for seed in 0..200 {
        let mut fleet = WatchFleet::open(24, 3, seed);
        let mut rng = fastrand::Rng::with_seed(seed);
        fleet.run(3_000);
        for _ in 0..8 {
            let (away, silent) = (rng.usize(0..25), rng.usize(0..25));
            fleet.turn_away(|index| index * 7 % 24 < away);
            fleet.silence(|index| index * 5 % 24 < silent / 3);
            match rng.u8(0..3) {
                0 => fleet.publish(),
                1 => fleet.change_zone(),
                _ => {}
            }
            fleet.run(rng.u64(100..4_000));
        }
        fleet.turn_away(|_| false);
        fleet.silence(|_| false);
        fleet.run(EVACUATION_MILLIS);
        let uninformed = fleet.uninformed();
        assert!(uninformed.is_empty(), "seed {seed}: {uninformed:?}");
    }
}
