//! Dissemination of members and records, and detection of failed daemons.

mod gossip_net;

use std::time::Duration;

use gossip_net::{GossipNet, SEEDS, instance};
use wagtailtrack::wire::{HealthState, InstancePhase};

const MINUTE: Duration = Duration::from_secs(60);

/// Guards against fleets of some size that do not converge when a tenth of all datagrams is lost.
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

/// Guards against a publication or removal that does not reach all daemons when datagrams are lost
/// and duplicated.
#[test]
fn record_spreads() {
    for seed in SEEDS {
        let mut net = GossipNet::open(10, 1, seed);
        (net.loss, net.duplication) = (0.2, 0.2);
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

/// Guards against a crashed daemon that stays live in some view, or whose instances stay visible.
#[test]
fn crash_detected() {
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

/// Guards against a leave that takes more than five seconds to reach all daemons.
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

/// Guards against ingresses of the region that learn of an ejection after more than a second and
/// keep sending work to the ejected instance.
#[test]
fn ejection_spreads() {
    for seed in [1, 2, 3] {
        let mut net = GossipNet::open(120, 3, seed);
        net.run_until(MINUTE, |net| net.all_count(120));
        let mut record = instance(3, 0, InstancePhase::Ready);
        net.publish(3, &record);
        net.run(MINUTE / 2);
        record.health = HealthState::Ejected;
        net.publish(3, &record);
        net.run_until(Duration::from_secs(1), |net| {
            let now = net.now;
            net.nodes.iter_mut().step_by(3).all(|node| {
                let records = node.core.instances_of(&record.service, now);
                let found = records
                    .iter()
                    .find(|found| found.instance == record.instance);
                found.is_some_and(|found| found.health == HealthState::Ejected)
            })
        });
    }
}
