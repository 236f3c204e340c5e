//! How members and records spread, and how deaths are found.

mod gossip_net;

use std::time::Duration;

use gossip_net::{GossipNet, SEEDS, instance};
use wagtailtrack::wire::InstancePhase;

const MINUTE: Duration = Duration::from_secs(60);

#[test]
fn all_join() {
    for seed in SEEDS {
        for count in [2, 3, 10, 30] {
            let mut net = GossipNet::open(count, 1, seed);
            net.loss = 0.1;
            net.run_until(MINUTE, |net| net.all_count(count));
        }
    }
}

#[test]
fn record_spreads() {
    for seed in SEEDS {
        let mut net = GossipNet::open(10, 1, seed);
        (net.loss, net.doubling) = (0.2, 0.2);
        net.run_until(MINUTE, |net| net.all_count(10));
        let record = instance(4, 0, InstancePhase::Ready);
        net.publish(4, &record);
        net.run_until(MINUTE, |net| {
            net.all_see(&record, Some(InstancePhase::Ready))
        });
        net.remove(4, &record);
        net.run_until(MINUTE, |net| net.all_see(&record, None));
    }
}

#[test]
fn death_found() {
    for seed in SEEDS {
        let mut net = GossipNet::open(10, 1, seed);
        net.run_until(MINUTE, |net| net.all_count(10));
        let record = instance(4, 0, InstancePhase::Ready);
        net.publish(4, &record);
        net.run_until(MINUTE, |net| {
            net.all_see(&record, Some(InstancePhase::Ready))
        });
        net.nodes[4].is_down = true;
        let took = net.run_until(MINUTE, |net| net.all_count(9));
        assert!(net.all_see(&record, None));
        println!("seed {seed}: death found after {took:?}");
    }
}

#[test]
fn leave_spreads() {
    for seed in SEEDS {
        let mut net = GossipNet::open(10, 1, seed);
        net.run_until(MINUTE, |net| net.all_count(10));
        net.leave(7);
        let others_see = |net: &mut GossipNet| {
            let mut others = net
                .nodes
                .iter()
                .enumerate()
                .filter(|(index, _)| *index != 7);
            others.all(|(_, node)| node.core.live().len() == 9)
        };
        let took = net.run_until(Duration::from_secs(5), others_see);
        println!("seed {seed}: leave seen after {took:?}");
    }
}
