//! Replication of the configuration in a simulated fleet: outages, partitions, restarts and stale
//! peers. No daemon may admit by a stale configuration, and no outage may stop a healthy fleet.

mod common;

use std::time::Duration;

use common::{FollowerNet, MemoryMode, key_hash};
use wagtailtrack::config::{Catalog, Freshness, KeyLookup};
use wagtailtrack::ids::Revision;

const LEASE: Duration = Duration::from_secs(10);
const LEASE_MILLIS: u64 = 10_000;
/// Time within which an accepted change is in force on every daemon.
const PROPAGATION_MILLIS: u64 = 3_000;
/// Time after which a healthy fleet has loaded, or recovered from faults.
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

/// A platform outage of hours must not stop admission. A daemon that restarts meanwhile must load
/// the configuration from its peers, and changes must propagate again afterwards.
#[test]
fn platform_outage_of_hours() {
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
        net.run_for(PROPAGATION_MILLIS, |_| ());
        assert!(all_have(&net, revision), "seed {seed}");
    }
}

/// A change accepted just before an outage must reach every daemon through its peers alone, despite
/// message loss.
#[test]
fn change_spreads_during_outage() {
    for seed in 0..200 {
        let mut net = open(7, seed);
        net.loss_percent = 10;
        let accepted_at = net.rng.usize(..7);
        net.set_key(accepted_at, true);
        net.platform.mode.set(MemoryMode::Down);
        net.run_for(PROPAGATION_MILLIS, |_| ());
        for member in &net.members {
            let found = member.follower.catalog().lookup_key(&key_hash());
            assert_eq!(found, KeyLookup::Withdrawn, "seed {seed}");
        }
    }
}

/// A daemon that receives neither from peers nor from the platform must stop admitting when its
/// lease expires, because it cannot learn of a withdrawn key.
#[test]
fn isolated_daemon_stops_admitting() {
    for seed in 0..10 {
        let mut net = open(4, seed);
        net.block_inbound(2, true);
        net.platform_blocked.insert(2);
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
        net.block_inbound(2, false);
        net.run_for(SETTLE_MILLIS, |_| ());
        assert!(net.admits(2) && net.revision(2) == withdrawn, "seed {seed}");
    }
}

/// A minority partition without the platform must not take the outage for a fleet-wide one and
/// admit by a stale configuration, not even after a restart.
#[test]
fn minority_partition_stops_admitting() {
    for seed in 0..50 {
        let mut net = open(5, seed);
        for inside in [0, 1] {
            net.platform_blocked.insert(inside);
            for outside in [2, 3, 4] {
                net.blocked_links
                    .extend([(inside, outside), (outside, inside)]);
            }
        }
        net.set_key(4, true);
        net.run_for(LEASE_MILLIS, |_| ());
        // A restarted process in the minority must not be confirmed by its stale peer.
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

/// A daemon that loses its peers long before the platform must not count itself as a fleet of one
/// and go on admitting.
#[test]
fn peers_lost_before_platform() {
    for seed in 0..20 {
        let mut net = open(3, seed);
        net.block_inbound(1, true);
        net.run_for(HOUR_MILLIS / 2, |net| assert!(net.admits(1), "seed {seed}"));
        net.platform_blocked.insert(1);
        net.set_key(0, true);
        net.run_for(LEASE_MILLIS, |_| ());
        net.run_for(HOUR_MILLIS / 10, |net| {
            assert!(!net.admits(1), "seed {seed}")
        });
    }
}

/// A fleet of one daemon must keep admitting through a platform outage.
#[test]
fn single_daemon_survives_outage() {
    let mut net = open(1, 1);
    net.platform.mode.set(MemoryMode::Down);
    net.run_for(HOUR_MILLIS, |net| assert!(net.admits(0)));
}

/// A snapshot that arrives late must not replace a newer catalog, which would revive a withdrawn
/// key.
#[test]
fn older_snapshot_is_dropped() {
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

/// Under random losses, partitions, restarts and outages, the revision of a process must never
/// decrease or exceed the head, and all must reach the head once the faults end.
#[test]
fn revisions_never_decrease() {
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
                1 => net.block_inbound(index, true),
                2 => net.block_inbound(index, false),
                3 => net.platform.mode.set(MemoryMode::Down),
                4 => drop(net.platform_blocked.insert(index)),
                5 => drop(net.platform_blocked.remove(&index)),
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
        net.blocked_links.clear();
        net.platform_blocked.clear();
        net.platform.mode.set(MemoryMode::Up);
        net.run_for(SETTLE_MILLIS, |_| ());
        assert!(all_have(&net, net.head()), "seed {seed}");
    }
}
