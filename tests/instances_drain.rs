//! A draining instance gets no new requests, even from ingresses that do not know of the drain yet.
//!
//! The views of the ingresses are stale while gossip is delayed, lost or partitioned. The egress
//! must then refuse their offers.

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
/// Maximum delay of an announcement.
const MAX_DELAY_MILLIS: u64 = 2_000;
/// When the instance starts to announce `draining`.
const DRAIN_MILLIS: u64 = 5_000;

fn announcement(phase: &str) -> Announcement {
    let text = format!(
        r#"{{"service":"desk","address":"127.0.0.1:80","phase":"{phase}","slots":3,"lease":"3s"}}"#
    );
    Announcement::parse(text.as_bytes()).unwrap()
}

/// An input of the egress's instance table.
enum TableInput {
    Announcement(&'static str),
    LeaseCheck,
    Offer,
}

/// Draws inputs and their times in milliseconds: announcements that are delayed, duplicated or
/// lost, offers, and lease checks with a pause.
fn draw_inputs(source: &mut Unstructured<'_>) -> Result<Vec<(u64, TableInput)>> {
    let mut inputs = Vec::new();
    for sent in (0..10_000).step_by(1_000) {
        let phase = match sent {
            0..DRAIN_MILLIS => "ready",
            _ => "draining",
        };
        for _ in 0..source.int_in_range(0..=2)? {
            let delay = source.int_in_range(0..=MAX_DELAY_MILLIS)?;
            inputs.push((sent + delay, TableInput::Announcement(phase)));
        }
    }
    for _ in 0..200 {
        let at = source.int_in_range(0..=20_000)?;
        inputs.push((at, TableInput::Offer));
    }
    // A paused daemon checks no leases, so the first check after the pause is late.
    let pause = source.int_in_range(0..=20_000)?..source.int_in_range(0..=20_000)?;
    let checks = (0..20_000).step_by(100).filter(|at| !pause.contains(at));
    inputs.extend(checks.map(|at| (at, TableInput::LeaseCheck)));
    inputs.sort_by_key(|(at, _)| *at);
    Ok(inputs)
}

/// No request is accepted after the first announcement of a drain, nor after the lease has expired,
/// whatever the order of late announcements and however long the daemon was paused.
#[test]
fn no_requests_after_drain() {
    for seed in 0..200_u64 {
        arbtest(|source| {
            let name: InstanceId = "desk-1".parse().unwrap();
            let mut table = AnnounceTable::default();
            let mut drained = false;
            let mut renewed: Option<u64> = None;
            for (at, input) in draw_inputs(source)? {
                let now = MonoTime::from_millis(at);
                match input {
                    TableInput::Announcement(phase) => {
                        drained |= phase == "draining";
                        let result = table.announce(&name, &announcement(phase), now);
                        if phase == "ready" && result.is_ok() {
                            renewed = Some(at);
                        }
                    }
                    TableInput::LeaseCheck => _ = table.expire_leases(now),
                    TableInput::Offer if table.accepts_work(&name, now) => {
                        assert!(!drained, "request accepted after the drain was announced");
                        let since = at - renewed.expect("request accepted before any announcement");
                        assert!(
                            since < LEASE_MILLIS,
                            "request accepted {since} ms after a renewal"
                        );
                        let last = DRAIN_MILLIS - 1_000 + MAX_DELAY_MILLIS + LEASE_MILLIS;
                        assert!(at < last, "request accepted at {at} ms");
                    }
                    TableInput::Offer => {}
                }
            }
            Ok(())
        })
        .seed(seed << 32 | 4_096);
    }
}

/// A drain reaches an ingress through other daemons when messages from the egress to that ingress
/// are lost.
#[test]
fn drain_spreads_around_one_way_partition() {
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
        println!("seed {seed}: drain known to all after {took:?}");
    }
}

/// While the egress is partitioned from every ingress their views stay stale, and the egress
/// refuses the instance's requests by its own table.
#[test]
fn stale_views_accept_nothing() {
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
        assert!(
            stale_offers > 0,
            "no view was stale, so the test proves nothing"
        );
    }
}

/// Each of 15 consecutive drains reaches its whole region within 5 s.
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

/// Whether every daemon of the first region knows of the drain.
fn region_sees(net: &mut GossipNet, draining: &InstanceRecord) -> bool {
    let now = net.now;
    net.nodes.iter_mut().step_by(3).all(|node| {
        let records = node.core.instances_of(&draining.service, now);
        let mut records = records.iter();
        let found = records.find(|record| record.instance == draining.instance);
        found.is_some_and(|found| found.phase == InstancePhase::Draining)
    })
}
