//! Failure detection under one-way link failures, partitions and paused daemons.

mod gossip_net;

use std::time::Duration;

use gossip_net::{GossipNet, SEEDS, instance};
use wagtailtrack::wire::InstancePhase;

const MINUTE: Duration = Duration::from_secs(60);

fn joined(count: usize, seed: u64) -> GossipNet {
    let mut net = GossipNet::open(count, 1, seed);
    net.run_until(MINUTE, |net| net.all_count(count));
    net
}

/// Guards against declaring a member dead whose direct link fails in one direction: indirect
/// probes through other members must reach it.
#[test]
fn one_way_partition() {
    for seed in SEEDS {
        let mut net = joined(10, seed);
        for (from, to) in [(0, 1), (2, 3), (3, 4), (9, 0), (4, 3)] {
            net.block_link(from, to);
        }
        net.run(5 * MINUTE);
        assert_eq!(net.deaths(), 0, "seed {seed}");
        assert!(net.all_count(10));
    }
}

/// Guards against false deaths when a tenth of all datagrams is lost as well, so that suspicions
/// arise and must be refuted in time.
#[test]
fn one_way_partition_with_loss() {
    for seed in SEEDS {
        let mut net = joined(10, seed);
        net.loss = 0.1;
        for (from, to) in [(0, 1), (2, 3), (3, 4), (9, 0)] {
            net.block_link(from, to);
        }
        net.run(5 * MINUTE);
        assert_eq!(net.deaths(), 0, "seed {seed}");
    }
}

/// Guards against a daemon that can only receive, or only send, and gets others declared dead:
/// all its own probes fail, so it must not convince the rest.
#[test]
fn one_way_isolation() {
    for seed in SEEDS {
        for is_send_blocked in [true, false] {
            let mut net = joined(10, seed);
            for other in (0..10).filter(|other| *other != 4) {
                match is_send_blocked {
                    true => net.block_link(4, other),
                    false => net.block_link(other, 4),
                }
            }
            for _ in 0..180 {
                net.run(Duration::from_secs(1));
                for (index, node) in net
                    .nodes
                    .iter()
                    .enumerate()
                    .filter(|(index, _)| *index != 4)
                {
                    let live = node.core.live().len();
                    assert!(live >= 9, "seed {seed}: {index} counts {live}");
                }
            }
            assert_eq!(net.nodes[0].core.live().len(), 9, "seed {seed}");
            net.blocked_links.clear();
            net.run_until(MINUTE, |net| net.all_count(10));
        }
    }
}

/// Guards against an isolated daemon dropping its whole view: for a while it must assume that its
/// own network failed and the others are alive.
#[test]
fn isolated_keeps_view() {
    for seed in SEEDS {
        let mut net = joined(10, seed);
        for other in (0..10).filter(|other| *other != 4) {
            net.block_link(4, other);
            net.block_link(other, 4);
        }
        net.run(Duration::from_secs(30));
        assert_eq!(net.nodes[4].core.live().len(), 10, "seed {seed}");
    }
}

/// Guards against two halves of the fleet that stay apart, or lack records published meanwhile,
/// after a partition in which each declared the other dead.
#[test]
fn partition_heals() {
    for seed in SEEDS {
        let mut net = joined(10, seed);
        for left in 0..5 {
            for right in 5..10 {
                net.block_link(left, right);
                net.block_link(right, left);
            }
        }
        net.run(3 * MINUTE);
        assert!(net.all_count(5), "seed {seed}");
        let records = [
            instance(1, 0, InstancePhase::Ready),
            instance(8, 0, InstancePhase::Draining),
        ];
        net.publish(1, &records[0]);
        net.publish(8, &records[1]);
        net.run(MINUTE);
        net.blocked_links.clear();
        net.run_until(MINUTE, |net| {
            net.all_count(10)
                && net.all_see(&records[0], Some(InstancePhase::Ready))
                && net.all_see(&records[1], Some(InstancePhase::Draining))
        });
    }
}

/// Guards against a daemon that resumes after a long pause, finds its timers expired and declares
/// the others dead. It must rejoin instead.
#[test]
fn paused_daemon_rejoins() {
    for seed in SEEDS {
        let mut net = joined(10, seed);
        net.nodes[4].is_paused = true;
        net.run_until(MINUTE, |net| net.nodes[0].core.live().len() == 9);
        net.run(2 * MINUTE);
        net.nodes[4].is_paused = false;
        for _ in 0..100 {
            net.run(Duration::from_millis(100));
            assert!(net.nodes[0].core.live().len() >= 9, "seed {seed}");
        }
        net.run_until(MINUTE, |net| net.all_count(10));
    }
}

/// Guards against missed or false deaths when a third of the fleet fails at the same time.
#[test]
fn simultaneous_failures() {
    for seed in SEEDS {
        let mut net = joined(30, seed);
        (20..30).for_each(|index| net.nodes[index].is_down = true);
        let took = net.run_until(3 * MINUTE, |net| net.all_count(20));
        net.run(MINUTE);
        assert!(net.all_count(20));
        println!("seed {seed}: ten of thirty found dead after {took:?}");
        (20..30).for_each(|index| net.restart(index, 2, 1));
        net.run_until(MINUTE, |net| net.all_count(30));
    }
}

/// Guards against a partition that lasts because all seeds are down: the halves must reconnect
/// through the addresses of members that they consider dead.
#[test]
fn heals_without_seeds() {
    for seed in SEEDS {
        let mut net = joined(10, seed);
        net.nodes[0].is_down = true;
        net.nodes[1].is_down = true;
        for left in 2..6 {
            for right in 6..10 {
                net.block_link(left, right);
                net.block_link(right, left);
            }
        }
        net.run_until(3 * MINUTE, |net| net.all_count(4));
        net.blocked_links.clear();
        net.run_until(MINUTE, |net| net.all_count(8));
    }
}
