//! One-way cuts, partitions and pauses.

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

/// Members that cannot be reached one way, but through others, are not held for dead.
#[test]
fn one_way_cut() {
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

/// The same with a tenth of all datagrams lost besides: a suspicion is refuted in time.
#[test]
fn cut_and_loss() {
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

/// A daemon that cannot send takes no other down, and one that cannot hear neither.
#[test]
fn mute_or_deaf() {
    for seed in SEEDS {
        for is_mute in [true, false] {
            let mut net = joined(10, seed);
            for other in (0..10).filter(|other| *other != 4) {
                match is_mute {
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

/// A daemon that is cut off keeps its view for a while: the others likely live.
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

/// A paused daemon is found dead; woken, it takes no one down and comes back.
#[test]
fn pause_and_wake() {
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

/// Many die at once; the others find each of them and no one else.
#[test]
fn rack_lost() {
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

/// Halves whose seeds are gone for good find each other by the members they hold for dead.
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
