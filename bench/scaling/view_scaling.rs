//! Scaling benchmark of one member's view of the fleet.

use std::time::Duration;

use wagtailtrack::ids::Incarnation;
use wagtailtrack::members::{DatagramCodec, GossipAction, GossipCore};
use wagtailtrack::peers::FleetKey;
use wagtailtrack::time::MonoTime;
use wagtailtrack::wire::{
    GossipBody, GossipMessage, InstancePhase, InstanceRecord, MemberRecord, OwnerState,
};

use crate::scaling::gossip_net::{address, instance, member};
use crate::scaling::scaling_figure::{ScalingFigure, micros_each, resident_bytes};

const INSTANCES_PER_DAEMON: usize = 15;
const REGIONS: usize = 5;
const TICK: Duration = Duration::from_millis(100);
const TICKS: usize = 1_200;
const CHANGES: usize = 2_000;

/// Measures the memory, the processor time of ticks and changes, and the bytes sent by one member
/// of a fleet of `size` daemons.
pub fn measure(size: usize) -> Vec<ScalingFigure> {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut now = MonoTime::from_millis(1_000);
    let codec = DatagramCodec::open(FleetKey::open("a secret of the slopes"));
    let before = resident_bytes();
    let mut core = GossipCore::open(member(0, 1, REGIONS), Vec::new(), now, &mut rng);
    for index in 1..size {
        core.merge_pull_page(&[owner(index)], now, &mut rng);
    }
    let bytes = resident_bytes() - before;
    let mut sent = 0;
    let mut sent_messages = Vec::new();
    let tick = micros_each(TICKS, |_| {
        now = now + TICK;
        for action in core.tick(now, &mut rng) {
            if let GossipAction::Send { to, message } = action {
                sent += codec.encode(&message).map_or(0, |bytes| bytes.len());
                sent_messages.push((to, message));
            }
        }
        for (to, message) in sent_messages.drain(..) {
            if let Some(acknowledgement) = acknowledgement(&message, to) {
                core.receive(&acknowledgement, to, now, &mut rng);
            }
        }
    });
    let seconds = TICK.as_secs_f64() * TICKS as f64;
    let change = micros_each(CHANGES, |index| {
        let message = change(1 + index % (size - 1), index as u64);
        for action in core.receive(&message, address(1), now, &mut rng) {
            if let GossipAction::Send { message, .. } = action {
                let _ = codec.encode(&message);
            }
        }
    });
    vec![
        ScalingFigure::new("MiB of the view", bytes / (1024.0 * 1024.0)),
        ScalingFigure::new("bytes a daemon with its 15 instances", bytes / size as f64),
        ScalingFigure::new("us a tick of 100 ms", tick),
        ScalingFigure::new(
            "% of a core for ticks",
            tick / 1e6 / TICK.as_secs_f64() * 100.0,
        ),
        ScalingFigure::new("bytes a second of own probes", sent as f64 / seconds),
        ScalingFigure::new("us a changed record", change),
        ScalingFigure::new("live members at the end", core.live().len() as f64),
    ]
}

fn owner(index: usize) -> OwnerState {
    OwnerState {
        member: member(index, 1, REGIONS),
        instances: (0..INSTANCES_PER_DAEMON)
            .map(|number| record(index, number, 1))
            .collect(),
    }
}

fn record(index: usize, number: usize, incarnation: u64) -> InstanceRecord {
    let mut record = instance(index, number, InstancePhase::Ready);
    let place = member(index, 1, REGIONS);
    record.region = place.region;
    record.incarnation = Incarnation(incarnation);
    record
}

/// The acknowledgement that a live peer at `to` sends to a ping.
fn acknowledgement(message: &GossipMessage, to: std::net::SocketAddr) -> Option<GossipMessage> {
    match message.body {
        GossipBody::Ping(probe) => Some(from_peer(to, GossipBody::Ack(probe))),
        _ => None,
    }
}

fn from_peer(peer: std::net::SocketAddr, body: GossipBody) -> GossipMessage {
    let sender = (0..).map(|index| member(index, 1, REGIONS));
    let sender: Option<MemberRecord> = sender.into_iter().find(|one| one.address == peer);
    let mut message = change(1, 0);
    message.instances.clear();
    message.body = body;
    if let Some(sender) = sender {
        message.sender = sender.daemon;
    }
    message
}

fn change(index: usize, stamp: u64) -> GossipMessage {
    GossipMessage {
        sender: member(1, 1, REGIONS).daemon,
        revision: wagtailtrack::ids::Revision::default(),
        body: GossipBody::Push,
        digest: None,
        members: Vec::new(),
        instances: vec![record(index, 0, 2 + stamp)],
    }
}
