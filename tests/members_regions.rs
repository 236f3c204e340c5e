//! Regional scope of instance records, and queries of other regions on demand.

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

/// Guards against daemons that keep instance records of other regions, or lack some of their own.
#[test]
fn records_stay_in_region() {
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

/// Guards against digests that differ although the views agree, within a region or between two.
/// Each such difference would cost repair traffic.
#[test]
fn equal_views_match() {
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

/// Guards against a restarted daemon that lacks the records of its region because its seeds are in
/// other regions, where a pull returns none of them.
#[test]
fn restarted_daemon_gets_records() {
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

/// Guards against a service that appears empty because its ready instances are in another region;
/// the records found there must be refreshed, but not stored as those of the own region.
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
        assert_eq!(
            records_at(&net, 1),
            0,
            "remote records must not enter the record table"
        );
    }
}

/// Guards against regions that stay apart after an hour-long partition, when dead members have long
/// been purged.
#[test]
fn region_partition_heals() {
    for seed in [1, 2] {
        let mut net = joined(12, 3, seed);
        let is_first_region = |index: usize| index.is_multiple_of(3);
        for from in 0..12 {
            for to in (0..12).filter(|to| is_first_region(*to) != is_first_region(from)) {
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
