//! A leaving instance gets no new work, whatever the views of the ingresses say.

mod gossip_net;

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use gossip_net::{GossipNet, SEEDS, instance};
use wagtailtrack::ids::InstanceId;
use wagtailtrack::instances::{AnnounceTable, Announcement};
use wagtailtrack::time::MonoTime;
use wagtailtrack::wire::{InstancePhase, InstanceRecord};

const MINUTE: Duration = Duration::from_secs(60);
const LEASE_MILLIS: u64 = 3_000;
const MOST_DELAY_MILLIS: u64 = 2_000;
const DRAIN_MILLIS: u64 = 5_000;

fn announcement(phase: &str) -> Announcement {
    let text = format!(
        r#"{{"service":"desk","address":"127.0.0.1:80","phase":"{phase}","slots":3,"lease":"3s"}}"#
    );
    Announcement::parse(text.as_bytes()).unwrap()
}

/// What reaches the egress, and when, in milliseconds.
enum Arrival {
    Announced(&'static str),
    Ticked,
    Offered,
}

/// Renewals and drain, each delayed, doubled or lost; offers and pauses between.
fn draw_arrivals(source: &mut Unstructured<'_>) -> Result<Vec<(u64, Arrival)>> {
    let mut arrivals = Vec::new();
    for sent in (0..10_000).step_by(1_000) {
        let phase = match sent {
            0..DRAIN_MILLIS => "ready",
            _ => "draining",
        };
        for _ in 0..source.int_in_range(0..=2)? {
            let delay = source.int_in_range(0..=MOST_DELAY_MILLIS)?;
            arrivals.push((sent + delay, Arrival::Announced(phase)));
        }
    }
    for _ in 0..200 {
        let at = source.int_in_range(0..=20_000)?;
        arrivals.push((at, Arrival::Offered));
    }
    // While the daemon is paused it takes no step; the first one after it is late.
    let pause = source.int_in_range(0..=20_000)?..source.int_in_range(0..=20_000)?;
    let steps = (0..20_000).step_by(100).filter(|at| !pause.contains(at));
    arrivals.extend(steps.map(|at| (at, Arrival::Ticked)));
    arrivals.sort_by_key(|(at, _)| *at);
    Ok(arrivals)
}

#[test]
fn drain_closes_gate() {
    for seed in 0..200_u64 {
        arbtest(|source| {
            let name: InstanceId = "desk-1".parse().unwrap();
            let mut table = AnnounceTable::default();
            let mut drained = false;
            let mut renewed: Option<u64> = None;
            for (at, arrival) in draw_arrivals(source)? {
                let now = MonoTime::from_millis(at);
                match arrival {
                    Arrival::Announced(phase) => {
                        drained |= phase == "draining";
                        let taken = table.announce(&name, &announcement(phase), now);
                        if phase == "ready" && taken.is_ok() {
                            renewed = Some(at);
                        }
                    }
                    Arrival::Ticked => _ = table.expire_leases(now),
                    Arrival::Offered if table.accepts_work(&name, now) => {
                        assert!(!drained, "new work after the drain was heard");
                        let since = at - renewed.expect("work before any announcement");
                        assert!(since < LEASE_MILLIS, "new work {since} ms after a renewal");
                        let last = DRAIN_MILLIS - 1_000 + MOST_DELAY_MILLIS + LEASE_MILLIS;
                        assert!(at < last, "new work at {at} ms");
                    }
                    Arrival::Offered => {}
                }
            }
            Ok(())
        })
        .seed(seed << 32 | 4_096);
    }
}

/// The drain goes around a one-way cut between the egress and one ingress.
#[test]
fn drain_around_cut() {
    for seed in SEEDS {
        let mut net = GossipNet::open(10, 1, seed);
        net.run_until(MINUTE, |net| net.all_count(10));
        let ready = instance(4, 0, InstancePhase::Ready);
        net.publish(4, &ready);
        net.run_until(MINUTE, |net| {
            net.all_see(&ready, Some(InstancePhase::Ready))
        });
        net.loss = 0.1;
        net.block_link(4, 0);
        let draining = instance(4, 0, InstancePhase::Draining);
        net.publish(4, &draining);
        let seen = |net: &mut GossipNet| net.all_see(&draining, Some(InstancePhase::Draining));
        let took = net.run_until(Duration::from_secs(5), seen);
        println!("seed {seed}: drain seen by all after {took:?}");
    }
}

/// With the egress cut off from every ingress the views stay stale, and the gate holds.
#[test]
fn stale_views_refused() {
    for seed in SEEDS {
        let mut net = GossipNet::open(6, 1, seed);
        net.run_until(MINUTE, |net| net.all_count(6));
        let ready = instance(4, 0, InstancePhase::Ready);
        let mut table = AnnounceTable::default();
        table
            .announce(&ready.instance, &announcement("ready"), net.now)
            .unwrap();
        net.publish(4, &ready);
        net.run_until(MINUTE, |net| {
            net.all_see(&ready, Some(InstancePhase::Ready))
        });
        (0..6).for_each(|other| net.block_link(4, other));
        table
            .announce(&ready.instance, &announcement("draining"), net.now)
            .unwrap();
        net.publish(4, &instance(4, 0, InstancePhase::Draining));
        let mut stale_offers = 0;
        for _ in 0..50 {
            net.run(Duration::from_millis(100));
            for ingress in [0, 1, 2, 3, 5] {
                let view = net.nodes[ingress]
                    .core
                    .instances_of(&ready.service, net.now);
                let offers = view
                    .iter()
                    .filter(|record| record.phase == InstancePhase::Ready);
                stale_offers += offers.count();
            }
            assert!(!table.accepts_work(&ready.instance, net.now));
        }
        assert!(stale_offers > 0, "the views were to be stale");
    }
}

/// Every one of many drains in a row reaches its whole region within seconds.
#[test]
fn drains_reach_region() {
    for seed in [1, 2, 3] {
        let mut net = GossipNet::open(120, 3, seed);
        net.run_until(MINUTE, |net| net.all_count(120));
        for number in 0..15 {
            net.publish(3, &instance(3, number, InstancePhase::Ready));
        }
        net.run(MINUTE / 2);
        for number in 0..15 {
            let draining = instance(3, number, InstancePhase::Draining);
            net.publish(3, &draining);
            net.run_until(Duration::from_secs(5), |net| region_sees(net, &draining));
        }
    }
}

/// Whether every daemon of the first region sees the drain.
fn region_sees(net: &mut GossipNet, draining: &InstanceRecord) -> bool {
    let now = net.now;
    net.nodes.iter_mut().step_by(3).all(|node| {
        let records = node.core.instances_of(&draining.service, now);
        let mut records = records.iter();
        let found = records.find(|record| record.instance == draining.instance);
        found.is_some_and(|found| found.phase == InstancePhase::Draining)
    })
}
