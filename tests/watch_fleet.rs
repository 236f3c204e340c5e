//! A fleet that follows a configuration document in virtual time: few daemons watch the store, the
//! others hear of it from them.

mod watch_kit;

use watch_kit::WatchFleet;

/// Longer than any wait in the fleet.
const SETTLE_MILLIS: u64 = 10_000;

fn settled(count: usize, seed: u64) -> WatchFleet {
    let mut fleet = WatchFleet::open(count, 3, seed);
    fleet.run(SETTLE_MILLIS);
    assert!(fleet.all_fresh(), "not all are confirmed");
    fleet
}

/// The calls to the store of a whole fleet do not grow with its size.
#[test]
fn calls_of_two_sizes() {
    let [small, large] = [30, 300].map(|count| {
        let mut fleet = settled(count, 1);
        let before = fleet.store_calls();
        fleet.run(30_000);
        assert!(fleet.all_fresh());
        fleet.store_calls() - before
    });
    assert!(large <= small + small / 10, "{small} and {large} calls");
}

/// Each daemon answers a number of questions that does not grow with the fleet.
#[test]
fn questions_of_two_sizes() {
    let [small, large] = [30, 300].map(|count| {
        let mut fleet = settled(count, 2);
        let before = fleet.questions();
        fleet.run(30_000);
        let after = fleet.questions();
        let asked = after
            .iter()
            .zip(before)
            .map(|(after, before)| after - before);
        asked.max().unwrap()
    });
    assert!(large <= 2 * small, "{small} and {large} questions");
}

/// A new document reaches all daemons within half a second.
#[test]
fn document_spreads() {
    for seed in [1, 2, 3] {
        let mut fleet = settled(300, seed);
        fleet.publish();
        fleet.run(500);
        assert!(fleet.all_current(), "seed {seed}");
    }
}

/// A third of the daemons, some that watch the store among them, are turned away by it. They stay
/// confirmed by the others.
#[test]
fn store_turns_some_away() {
    for seed in [1, 2, 3] {
        let mut fleet = settled(120, seed);
        fleet.turn_away(|index| index % 3 == 0);
        for _ in 0..20 {
            fleet.run(1_000);
            assert!(fleet.all_fresh(), "seed {seed}");
        }
        fleet.publish();
        fleet.run(2_000);
        assert!(fleet.all_current(), "seed {seed}");
    }
}

/// During an outage of the store the daemons that do not watch it call it rarely, and all are
/// confirmed soon after its return.
#[test]
fn store_outage() {
    let mut fleet = settled(300, 4);
    let before = fleet.store_calls();
    fleet.turn_away(|_| true);
    fleet.run(10_000);
    let calls = fleet.store_calls() - before;
    assert!(calls <= 700, "{calls} calls in 10 s");
    assert!(
        fleet.none_fresh(),
        "a daemon is confirmed without the store"
    );
    fleet.turn_away(|_| false);
    fleet.run(2_000);
    assert!(fleet.all_fresh(), "{:#?}", fleet.stale());
}

/// The daemons that watch the store fall silent. The others turn to daemons elsewhere, or to the
/// store, before their confirmations end.
#[test]
fn watchers_silent() {
    for seed in [1, 2, 3] {
        let mut fleet = settled(60, seed);
        let roots = fleet.roots();
        fleet.silence(|index| roots.contains(&index));
        for _ in 0..20 {
            fleet.run(500);
            assert!(fleet.all_fresh_but(&roots), "seed {seed}");
        }
    }
}

/// All daemons that watch the store are cut off just before a change. The others still learn of it
/// within two seconds.
#[test]
fn change_without_watchers() {
    for seed in [1, 2, 3] {
        let mut fleet = settled(90, seed);
        let roots = fleet.roots();
        let is_cut = |index: usize| roots.contains(&index) || index % 3 == 1;
        fleet.silence(is_cut);
        fleet.turn_away(is_cut);
        fleet.run(300);
        fleet.publish();
        fleet.run(2_000);
        let behind = fleet.behind();
        let uncut: Vec<_> = behind.iter().filter(|index| !is_cut(**index)).collect();
        assert!(uncut.is_empty(), "seed {seed}: {uncut:?}");
    }
}

/// The daemons that watch the store are cut off from it, and from nothing else, just before a change.
/// They say so, and those who ask them read the store in their place.
#[test]
fn watchers_lose_store() {
    for seed in [1, 2, 3] {
        let mut fleet = settled(90, seed);
        let roots = fleet.roots();
        fleet.turn_away(|index| roots.contains(&index) || index % 3 == 1);
        fleet.run(300);
        fleet.publish();
        fleet.run(2_000);
        assert!(fleet.all_current(), "seed {seed}: {:?}", fleet.behind());
        let before = fleet.store_calls();
        fleet.run(10_000);
        assert!(fleet.all_fresh(), "seed {seed}");
        let calls = fleet.store_calls() - before;
        assert!(calls < 500, "seed {seed}: {calls} calls");
    }
}

/// A daemon that no other daemon reaches hears from the store itself.
#[test]
fn daemon_without_peers() {
    let mut fleet = settled(60, 5);
    fleet.silence(|index| index == 17);
    for _ in 0..20 {
        fleet.run(500);
        assert!(fleet.all_fresh(), "{:#?}", fleet.stale());
    }
}

/// Random cuts, outages and changes: a daemon never takes a document for the newest at a time when
/// it was not, so that a withdrawn key ends in time everywhere. The fleet checks this at each step.
#[test]
fn random_faults() {
    for seed in 0..300 {
        let mut fleet = WatchFleet::open(24, 3, seed);
        let mut rng = fastrand::Rng::with_seed(seed);
        fleet.run(3_000);
        for _ in 0..12 {
            let (away, silent) = (rng.usize(0..25), rng.usize(0..25));
            fleet.turn_away(|index| index * 7 % 24 < away);
            fleet.silence(|index| index * 5 % 24 < silent / 3);
            if rng.bool() {
                fleet.publish();
            }
            fleet.run(rng.u64(100..4_000));
        }
    }
}

/// For seconds the store turns a third of a small fleet away, among them the daemons that watch it for one
/// zone, two, or all. All daemons learn of a change within two seconds.
fn change_reaches_all(seeds: std::ops::Range<u64>, zones_lost: usize) {
    for seed in seeds {
        let mut fleet = settled(21, seed);
        let mut rng = fastrand::Rng::with_seed(seed);
        let roots = fleet.roots();
        let lost = rng.choose_multiple(roots.clone(), zones_lost);
        let is_drawn: Vec<bool> = (0..21).map(|_| rng.u8(0..3) == 0).collect();
        fleet.turn_away(|index| match roots.contains(&index) {
            true => lost.contains(&index),
            false => is_drawn[index],
        });
        fleet.run(rng.u64(300..9_000));
        fleet.publish();
        fleet.run(2_000);
        assert!(fleet.all_current(), "seed {seed}: {:?}", fleet.behind());
    }
}

/// Guards against daemons that learn late of a change because they ask daemons which depend on the same
/// watcher, turned away by the store.
#[test]
fn zone_loses_store() {
    change_reaches_all(0..400, 1);
    change_reaches_all(0..400, 2);
}

/// The same where no watcher is left.
#[test]
fn all_zones_lose_store() {
    change_reaches_all(0..400, 3);
}

/// Guards against a configuration that crosses zones more often than needed: while nothing fails, no
/// daemon asks another zone, and when daemons that others ask fall silent, these turn to their own zone.
#[test]
fn questions_stay_in_zone() {
    for seed in [1, 2, 3] {
        let mut fleet = settled(120, seed);
        let before = fleet.zone_questions();
        fleet.publish();
        fleet.run(10_000);
        let after = fleet.zone_questions();
        assert_eq!(after, before, "seed {seed}: nothing fails");
        let inner = fleet.inner_nodes();
        assert!(inner.len() >= 9, "{inner:?}");
        fleet.silence(|index| inner.contains(&index));
        let before = fleet.zone_questions();
        fleet.run(1_000);
        fleet.publish();
        fleet.run(4_000);
        let behind = fleet.behind();
        let heard = behind.iter().filter(|index| !inner.contains(index));
        assert_eq!(heard.count(), 0, "seed {seed}: {behind:?}");
        assert!(fleet.all_fresh_but(&inner), "seed {seed}");
        let crossed = fleet.zone_questions() - before;
        assert!(
            crossed <= inner.len() as u64,
            "seed {seed}: {crossed} questions"
        );
    }
}
