//! Instance records stay in their region; other regions ask for them when they need them.

mod gossip_net;

use std::time::Duration;

use gossip_net::{GossipNet, SEEDS, instance};
use wagtailtrack::wire::InstancePhase;

const MINUTE: Duration = Duration::from_secs(60);

fn joined(count: usize, regions: usize, seed: u64) -> GossipNet {
    let mut net = GossipNet::open(count, regions, seed);
    net.run_until(MINUTE, |net| net.all_count(count));
    net
}

fn records_at(net: &GossipNet, index: usize) -> usize {
    net.nodes[index].core.view().records().len()
}

#[test]
fn records_stay_near() {
    for seed in SEEDS {
        let mut net = joined(12, 3, seed);
        net.loss = 0.1;
        for index in 0..12 {
            net.publish(index, &instance(index, 0, InstancePhase::Ready));
        }
        net.run(2 * MINUTE);
        for index in 0..12 {
            assert_eq!(records_at(&net, index), 4, "seed {seed}, daemon {index}");
        }
    }
}

/// Views that agree find no difference, also between regions.
#[test]
fn agreement_is_quiet() {
    for seed in SEEDS {
        let mut net = joined(12, 3, seed);
        for index in 0..12 {
            net.publish(index, &instance(index, 0, InstancePhase::Ready));
        }
        net.run(2 * MINUTE);
        let differing = |net: &GossipNet| -> u64 {
            let counters = net.nodes.iter().map(|node| node.core.counters());
            counters.map(|counters| counters.differing_buckets).sum()
        };
        let before = differing(&net);
        net.run(2 * MINUTE);
        assert_eq!(differing(&net), before, "seed {seed}");
    }
}

/// A daemon started anew gets the records of its region although its seeds are elsewhere.
#[test]
fn newcomer_fills_view() {
    for seed in SEEDS {
        let mut net = joined(12, 3, seed);
        for index in 0..12 {
            net.publish(index, &instance(index, 0, InstancePhase::Ready));
        }
        net.run(2 * MINUTE);
        net.restart(5, 2, 1);
        let first = instance(2, 0, InstancePhase::Ready);
        net.run_until(Duration::from_secs(20), |net| {
            let now = net.now;
            let records = net.nodes[5].core.instances_of(&first.service, now);
            records
                .iter()
                .any(|record| record.instance == first.instance)
        });
    }
}

/// A service without a ready instance in the region is looked for in the others.
#[test]
fn remote_service_found() {
    for seed in SEEDS {
        let mut net = joined(12, 3, seed);
        let phases = |net: &mut GossipNet, record: &wagtailtrack::wire::InstanceRecord| {
            let now = net.now;
            let records = net.nodes[1].core.instances_of(&record.service, now);
            records
                .iter()
                .map(|record| record.phase)
                .collect::<Vec<_>>()
        };
        let ready = instance(3, 0, InstancePhase::Ready);
        net.publish(3, &ready);
        net.run(MINUTE);
        assert!(phases(&mut net, &ready).is_empty());
        net.run_until(Duration::from_secs(6), |net| {
            phases(net, &ready) == [InstancePhase::Ready]
        });
        net.publish(3, &instance(3, 0, InstancePhase::Draining));
        net.run_until(Duration::from_secs(12), |net| {
            phases(net, &ready) == [InstancePhase::Draining]
        });
        net.run(2 * MINUTE);
        assert_eq!(records_at(&net, 1), 0, "asked for, but not kept");
    }
}

/// Regions that lose each other for an hour find each other again.
#[test]
fn region_cut_heals() {
    for seed in [1, 2] {
        let mut net = joined(12, 3, seed);
        let near = |index: usize| index.is_multiple_of(3);
        for from in 0..12 {
            for to in (0..12).filter(|to| near(*to) != near(from)) {
                net.block_link(from, to);
            }
        }
        net.run(60 * MINUTE);
        assert_eq!(net.nodes[0].core.live().len(), 4);
        assert_eq!(net.nodes[1].core.live().len(), 8);
        net.blocked_links.clear();
        net.run_until(MINUTE, |net| net.all_count(12));
    }
}
