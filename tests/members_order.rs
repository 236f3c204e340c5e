//! Precedence of records: stale ones never replace newer ones.

mod gossip_net;

use std::time::Duration;

use arbtest::arbtest;
use gossip_net::{GossipNet, SEEDS, address, instance};
use wagtailtrack::ids::{Incarnation, InstanceRun};
use wagtailtrack::members::{RecordChange, RecordTable};
use wagtailtrack::time::MonoTime;
use wagtailtrack::units::Slots;
use wagtailtrack::wire::{InstancePhase, InstanceRecord};

const MINUTE: Duration = Duration::from_secs(60);
const HOUR_MILLIS: i64 = 3_600_000;
const PHASES: [InstancePhase; 4] = [
    InstancePhase::Starting,
    InstancePhase::Ready,
    InstancePhase::Draining,
    InstancePhase::Gone,
];

fn with_slots(index: usize, slots: u32) -> InstanceRecord {
    let mut record = instance(index, 0, InstancePhase::Ready);
    record.slots = Slots::new(slots).unwrap();
    record
}

fn all_hold(net: &mut GossipNet, record: &InstanceRecord) -> bool {
    let now = net.now;
    let mut nodes = net.nodes.iter_mut().filter(|node| !node.is_down);
    nodes.all(|node| {
        let records = node.core.instances_of(&record.service, now);
        records.len() == 1 && records[0].slots == record.slots
    })
}

/// Guards against a table that lets a record of a lower or equal incarnation replace the known
/// one, for random sequences of records.
#[test]
fn stale_record_ignored() {
    for seed in 0..100_u64 {
        arbtest(|source| {
            let mut table = RecordTable::default();
            let mut highest = 0;
            for step in 0..60 {
                let mut record = instance(0, 0, *source.choose(&PHASES)?);
                record.incarnation = Incarnation(source.int_in_range(1..=20)?);
                let change = table.merge(&record, MonoTime::from_millis(step));
                let expected = match record.incarnation.0.cmp(&highest) {
                    std::cmp::Ordering::Less => RecordChange::Stale,
                    std::cmp::Ordering::Equal => RecordChange::Same,
                    std::cmp::Ordering::Greater => RecordChange::Newer,
                };
                assert_eq!(change, expected);
                highest = highest.max(record.incarnation.0);
                let known = table.get(&record.instance).unwrap();
                assert_eq!(known.incarnation.0, highest);
                assert!(table.of_service(&record.service).len() <= 1);
            }
            Ok(())
        })
        .seed(seed << 32 | 1_024);
    }
}

/// Guards against records of an earlier boot outranking those of a restarted daemon, which happens
/// if its wall clock was set back and it does not raise its incarnation.
#[test]
fn restart_outranks() {
    for seed in SEEDS {
        for hint in [-HOUR_MILLIS, 0, HOUR_MILLIS] {
            let mut net = GossipNet::open(8, 1, seed);
            net.run_until(MINUTE, |net| net.all_count(8));
            net.publish(4, &with_slots(4, 3));
            net.run_until(MINUTE, |net| all_hold(net, &with_slots(4, 3)));
            net.loss = 0.1;
            net.restart(4, 2, hint);
            net.publish(4, &with_slots(4, 5));
            net.run_until(MINUTE, |net| all_hold(net, &with_slots(4, 5)));
            net.run_until(MINUTE, |net| net.all_count(8));
        }
    }
}

/// Guards against late or reordered duplicates of old datagrams changing a view.
#[test]
fn replay_changes_nothing() {
    for seed in SEEDS {
        let mut net = GossipNet::open(8, 1, seed);
        net.run_until(MINUTE, |net| net.all_count(8));
        net.is_recording = true;
        net.publish(4, &with_slots(4, 3));
        net.run_until(MINUTE, |net| all_hold(net, &with_slots(4, 3)));
        net.is_recording = false;
        net.publish(4, &with_slots(4, 5));
        net.run_until(MINUTE, |net| all_hold(net, &with_slots(4, 5)));
        net.replay();
        assert!(all_hold(&mut net, &with_slots(4, 5)));
        net.run(Duration::from_secs(20));
        assert!(all_hold(&mut net, &with_slots(4, 5)));
    }
}

/// Guards against records that stay forever when an instance does not announce itself again after
/// its daemon has restarted.
#[test]
fn orphan_removed() {
    for seed in SEEDS {
        let mut net = GossipNet::open(8, 1, seed);
        net.run_until(MINUTE, |net| net.all_count(8));
        let record = with_slots(4, 3);
        net.publish(4, &record);
        net.run_until(MINUTE, |net| all_hold(net, &record));
        net.restart(4, 2, -HOUR_MILLIS);
        net.run_until(MINUTE, |net| net.all_see(&record, None));
        net.run(MINUTE);
        assert!(net.all_see(&record, None));
    }
}

/// Guards against the record of a dead daemon hiding an instance that moved to another daemon whose
/// wall clock, and so its incarnation, is behind.
#[test]
fn instance_moves() {
    for seed in SEEDS {
        let mut net = GossipNet::open(8, 1, seed);
        net.restart(5, 2, -HOUR_MILLIS);
        net.run_until(MINUTE, |net| net.all_count(8));
        let record = with_slots(4, 3);
        net.publish(4, &record);
        net.run_until(MINUTE, |net| all_hold(net, &record));
        net.nodes[4].is_down = true;
        let mut moved = record.clone();
        (moved.daemon, moved.egress) = ("daemon-0005".parse().unwrap(), address(5));
        net.publish(5, &moved);
        net.run_until(MINUTE, |net| {
            let now = net.now;
            let mut nodes = net.nodes.iter_mut().filter(|node| !node.is_down);
            nodes.all(|node| {
                let records = node.core.instances_of(&moved.service, now);
                records.len() == 1 && records[0].daemon == moved.daemon
            })
        });
    }
}

/// Guards against a daemon that does not hear after a restart which of its instances have left: other daemons
/// told it by the name alone, and not if it had published a record meanwhile.
#[test]
fn leaves_outlive_restart() {
    for (seed, announces_first) in SEEDS.into_iter().zip([false, true].into_iter().cycle()) {
        let mut net = GossipNet::open(8, 1, seed);
        net.loss = 0.1;
        net.run_until(MINUTE, |net| net.all_count(8));
        let mut record = with_slots(4, 3);
        net.publish(4, &record);
        net.run_until(MINUTE, |net| all_hold(net, &record));
        let run = InstanceRun(77);
        (record.phase, record.left_run) = (InstancePhase::Gone, Some(run));
        net.publish(4, &record);
        net.run(Duration::from_millis(10));
        net.restart(4, 2, 1_000);
        net.leaves.clear();
        if announces_first {
            (record.phase, record.left_run) = (InstancePhase::Ready, None);
            net.publish(4, &record);
        }
        let leave = (4, record.instance.clone(), run);
        net.run_until(Duration::from_secs(3), |net| net.leaves.contains(&leave));
    }
}

/// Guards against losing the instance records of a daemon that was declared dead by mistake and
/// refutes it later.
#[test]
fn records_return() {
    for seed in SEEDS {
        let mut net = GossipNet::open(8, 1, seed);
        net.run_until(MINUTE, |net| net.all_count(8));
        let record = with_slots(4, 3);
        net.publish(4, &record);
        net.run_until(MINUTE, |net| all_hold(net, &record));
        for other in [0, 1, 2, 3, 5, 6, 7] {
            net.block_link(4, other);
        }
        net.run_until(2 * MINUTE, |net| net.nodes[0].core.live().len() == 7);
        assert!(
            net.nodes[0]
                .core
                .instances_of(&record.service, net.now)
                .is_empty()
        );
        net.blocked_links.clear();
        net.run_until(MINUTE, |net| net.all_count(8) && all_hold(net, &record));
    }
}
