//! A fleet follows the configuration through outages, cuts, restarts and stale peers.

mod common;

use std::time::Duration;

use common::{FollowerNet, MemoryMode, key_hash};
use wagtailtrack::config::{Catalog, Freshness, KeyLookup};
use wagtailtrack::ids::Revision;

const LEASE: Duration = Duration::from_secs(10);
const LEASE_MILLIS: u64 = 10_000;
/// An accepted change is in force everywhere within this time.
const IN_FORCE_MILLIS: u64 = 3_000;
const SETTLE_MILLIS: u64 = 5_000;
const HOUR_MILLIS: u64 = 3_600_000;

fn open(members: usize, seed: u64) -> FollowerNet {
    let mut net = FollowerNet::open(members, seed, LEASE);
    net.set_key(0, false);
    net.run_for(SETTLE_MILLIS, |_| ());
    assert!((0..members).all(|index| net.admits(index)), "seed {seed}");
    net
}

fn all_have(net: &FollowerNet, revision: Revision) -> bool {
    (0..net.members.len()).all(|index| net.revision(index) == revision)
}

#[test]
fn hours_away() {
    for seed in 0..8 {
        let mut net = open(5, seed);
        net.platform.mode.set(MemoryMode::Down);
        let revision = net.head();
        net.run_for(HOUR_MILLIS / 2, |net| {
            assert!((0..5).all(|index| net.admits(index)), "seed {seed}");
        });
        net.restart(3);
        net.run_for(SETTLE_MILLIS, |_| ());
        assert!(net.admits(3) && net.revision(3) == revision, "seed {seed}");
        let state = net.members[3].follower.freshness(net.now());
        assert_eq!(state, Freshness::Outage, "seed {seed}");
        net.run_for(HOUR_MILLIS, |net| assert!(net.admits(3), "seed {seed}"));
        net.platform.mode.set(MemoryMode::Up);
        net.run_for(SETTLE_MILLIS, |_| ());
        let revision = net.set_key(1, true);
        net.run_for(IN_FORCE_MILLIS, |_| ());
        assert!(all_have(&net, revision), "seed {seed}");
    }
}

#[test]
fn withdrawn_then_away() {
    for seed in 0..200 {
        let mut net = open(7, seed);
        net.loss_percent = 10;
        let accepted_at = net.rng.usize(..7);
        net.set_key(accepted_at, true);
        net.platform.mode.set(MemoryMode::Down);
        net.run_for(IN_FORCE_MILLIS, |_| ());
        for member in &net.members {
            let found = member.follower.catalog().lookup_key(&key_hash());
            assert_eq!(found, KeyLookup::Withdrawn, "seed {seed}");
        }
    }
}

#[test]
fn deaf_daemon() {
    for seed in 0..10 {
        let mut net = open(4, seed);
        net.deafen(2, true);
        net.platform_cuts.insert(2);
        let withdrawn = net.set_key(0, true);
        net.run_for(LEASE_MILLIS, |_| ());
        assert_eq!(
            net.members[2].follower.freshness(net.now()),
            Freshness::Stale
        );
        net.run_for(HOUR_MILLIS / 4, |net| {
            assert!(!net.admits(2), "seed {seed}");
            assert!(
                net.admits(0) && net.admits(1) && net.admits(3),
                "seed {seed}"
            );
        });
        net.deafen(2, false);
        net.run_for(SETTLE_MILLIS, |_| ());
        assert!(net.admits(2) && net.revision(2) == withdrawn, "seed {seed}");
    }
}

#[test]
fn minority_side() {
    for seed in 0..50 {
        let mut net = open(5, seed);
        for inside in [0, 1] {
            net.platform_cuts.insert(inside);
            for outside in [2, 3, 4] {
                net.cuts.extend([(inside, outside), (outside, inside)]);
            }
        }
        net.set_key(4, true);
        net.run_for(LEASE_MILLIS, |_| ());
        // A new process on the cut side must not take its stale peer's word for it.
        net.restart(1);
        net.run_for(HOUR_MILLIS / 10, |net| {
            assert!(!net.admits(0) && !net.admits(1), "seed {seed}");
            assert!(
                net.admits(2) && net.admits(3) && net.admits(4),
                "seed {seed}"
            );
        });
    }
}

#[test]
fn peers_lost_first() {
    for seed in 0..20 {
        let mut net = open(3, seed);
        net.deafen(1, true);
        net.run_for(HOUR_MILLIS / 2, |net| assert!(net.admits(1), "seed {seed}"));
        net.platform_cuts.insert(1);
        net.set_key(0, true);
        net.run_for(LEASE_MILLIS, |_| ());
        net.run_for(HOUR_MILLIS / 10, |net| {
            assert!(!net.admits(1), "seed {seed}")
        });
    }
}

#[test]
fn sole_daemon() {
    let mut net = open(1, 1);
    net.platform.mode.set(MemoryMode::Down);
    net.run_for(HOUR_MILLIS, |net| assert!(net.admits(0)));
}

#[test]
fn old_snapshot() {
    let mut net = open(3, 1);
    let old = net.revision(0);
    net.set_key(0, true);
    net.run_for(SETTLE_MILLIS, |_| ());
    let follower = &mut net.members[1].follower;
    let newest = follower.catalog().revision();
    for offered in [old, newest] {
        let snapshot = Catalog::from_resources(offered, None);
        assert!(follower.snapshot_read(Some(snapshot)).is_empty());
        assert_eq!(follower.catalog().revision(), newest);
        let found = follower.catalog().lookup_key(&key_hash());
        assert_eq!(found, KeyLookup::Withdrawn);
    }
}

/// Losses, cuts, restarts and outages at random: no process ever goes back, and all arrive.
#[test]
fn never_back() {
    for seed in 0..100 {
        let mut net = open(5, seed);
        net.loss_percent = 20;
        let mut highest = [Revision(0); 5];
        for _ in 0..30 {
            let index = net.rng.usize(..5);
            match net.rng.u8(..8) {
                0 => {
                    net.restart(index);
                    highest[index] = Revision(0);
                }
                1 => net.deafen(index, true),
                2 => net.deafen(index, false),
                3 => net.platform.mode.set(MemoryMode::Down),
                4 => drop(net.platform_cuts.insert(index)),
                5 => drop(net.platform_cuts.remove(&index)),
                _ => {
                    net.platform.mode.set(MemoryMode::Up);
                    net.set_key(index, false);
                }
            }
            net.run_for(2_000, |net| {
                for (index, highest) in highest.iter_mut().enumerate() {
                    let revision = net.revision(index);
                    assert!(revision >= *highest, "seed {seed}: {index} went back");
                    assert!(revision <= net.head(), "seed {seed}: {index} is ahead");
                    *highest = revision;
                }
            });
        }
        net.loss_percent = 0;
        net.cuts.clear();
        net.platform_cuts.clear();
        net.platform.mode.set(MemoryMode::Up);
        net.run_for(SETTLE_MILLIS, |_| ());
        assert!(all_have(&net, net.head()), "seed {seed}");
    }
}
