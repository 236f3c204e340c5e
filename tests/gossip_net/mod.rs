//! Simulated network of `GossipCore` state machines in virtual time.
#![allow(dead_code, reason = "each test file uses only some items")]

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use wagtailtrack::ids::{
    BootId, Incarnation, InstanceId, InstanceRun, RegionId, Revision, ServiceId, ZoneId,
};
use wagtailtrack::members::{DatagramCodec, GossipAction, GossipCore};
use wagtailtrack::peers::FleetKey;
use wagtailtrack::time::MonoTime;
use wagtailtrack::units::Slots;
use wagtailtrack::wire::{
    self, HealthState, InstancePhase, InstanceRecord, InstancesCall, InstancesReply, MemberRecord,
    MemberState, RunReport,
};

/// Random seeds with which every randomised test runs.
pub const SEEDS: [u64; 6] = [1, 2, 3, 5, 8, 13];

const TICK: Duration = Duration::from_millis(100);
// Wall clock in milliseconds, as a daemon takes its first incarnation from it.
const FIRST_INCARNATION: u64 = 1_790_000_000_000;

/// A simulated daemon and the traffic that it sent, in bytes.
pub struct GossipNode {
    pub core: GossipCore,
    pub rng: fastrand::Rng,
    pub is_down: bool,
    pub is_paused: bool,
    pub udp_bytes: u64,
    pub pull_bytes: u64,
    /// Parts of both that went to daemons of other zones.
    pub zone_udp_bytes: u64,
    pub zone_pull_bytes: u64,
}

/// Delivery time, sequence number, sender, receiver and datagram.
type InFlight = Reverse<(MonoTime, u64, usize, usize, Vec<u8>)>;

/// Simulated daemons and the links between them.
///
/// `loss` and `duplication` are probabilities per datagram; `delay` is the mean one-way delay.
pub struct GossipNet {
    pub nodes: Vec<GossipNode>,
    pub now: MonoTime,
    pub rng: fastrand::Rng,
    pub loss: f64,
    pub duplication: f64,
    pub delay: Duration,
    pub blocked_links: BTreeSet<(usize, usize)>,
    pub revisions: Vec<(usize, Revision)>,
    /// Reports on requests, by the daemon that has heard of them.
    pub runs: Vec<(usize, RunReport)>,
    /// Leaves of instances before a restart, by the daemon that was told of them.
    pub leaves: Vec<(usize, InstanceId, InstanceRun)>,
    pub is_recording: bool,
    pub recording: Vec<(usize, usize, Vec<u8>)>,
    codec: DatagramCodec,
    in_flight: BinaryHeap<InFlight>,
    sequence: u64,
    zone_plan: Option<ZonePlan>,
}

/// Zones of a net, by the remainder of the index, and the relays of each.
#[derive(Clone, Copy)]
pub struct ZonePlan {
    pub zones: usize,
    pub relays: usize,
}

pub fn address(index: usize) -> SocketAddr {
    let ip = [10, 0, (index / 200) as u8, (index % 200) as u8 + 1];
    SocketAddr::from((ip, 7000))
}

fn index(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => {
            let octets = v4.ip().octets();
            usize::from(octets[2]) * 200 + usize::from(octets[3]) - 1
        }
        SocketAddr::V6(_) => unreachable!(),
    }
}

pub fn member(index: usize, boot: u64, regions: usize) -> MemberRecord {
    MemberRecord {
        daemon: format!("daemon-{index:04}").parse().unwrap(),
        boot: BootId(boot),
        incarnation: Incarnation(FIRST_INCARNATION + boot),
        address: address(index),
        zone: format!("zone-{}", index % 11).parse().unwrap(),
        region: format!("region-{}", index % regions).parse().unwrap(),
        state: MemberState::Alive,
        runs: Vec::new(),
    }
}

fn zone_name(index: usize, plan: ZonePlan) -> ZoneId {
    format!("zone-{}", index % plan.zones).parse().unwrap()
}

/// Record of instance `number` beside daemon `index`; three daemons share a service.
pub fn instance(index: usize, number: usize, phase: InstancePhase) -> InstanceRecord {
    let place = member(index, 0, 1);
    InstanceRecord {
        instance: format!("desk-{index:04}-{number:02}").parse().unwrap(),
        service: format!("service-{:04}", index / 3).parse().unwrap(),
        daemon: place.daemon,
        egress: place.address,
        zone: place.zone,
        region: place.region,
        incarnation: Incarnation(0),
        phase,
        health: HealthState::Healthy,
        slots: Slots::new(3).unwrap(),
        median_micros: 25_000,
        cold_rate: None,
        left_run: None,
    }
}

impl GossipNet {
    /// Creates `count` daemons whose seeds are the first two.
    pub fn open(count: usize, regions: usize, seed: u64) -> Self {
        let mut net = Self {
            nodes: Vec::new(),
            now: MonoTime::from_millis(1_000),
            rng: fastrand::Rng::with_seed(seed),
            loss: 0.0,
            duplication: 0.0,
            delay: Duration::from_millis(3),
            blocked_links: BTreeSet::new(),
            revisions: Vec::new(),
            runs: Vec::new(),
            leaves: Vec::new(),
            is_recording: false,
            recording: Vec::new(),
            codec: DatagramCodec::open(FleetKey::open("a secret of the fleet")),
            in_flight: BinaryHeap::new(),
            sequence: 0,
            zone_plan: None,
        };
        for index in 0..count {
            let node = net.start(member(index, 1, regions));
            net.nodes.push(node);
        }
        net
    }

    /// Creates `count` daemons of one region in zones. Each finds rows of the first three daemons of
    /// each zone in the directory, and there are no seeds.
    pub fn open_zones(count: usize, zones: usize, relays: usize, seed: u64) -> Self {
        let mut net = Self::open(0, 1, seed);
        net.zone_plan = Some(ZonePlan { zones, relays });
        for index in 0..count {
            let node = net.start(member(index, 1, 1));
            net.nodes.push(node);
        }
        net
    }

    fn start(&mut self, mut own: MemberRecord) -> GossipNode {
        let mut rng = fastrand::Rng::with_seed(self.rng.u64(..));
        let core = match self.zone_plan {
            None => GossipCore::open(own, vec![address(0), address(1)], self.now, &mut rng),
            Some(plan) => {
                own.zone = zone_name(index(own.address), plan);
                let mut core = GossipCore::open(own, Vec::new(), self.now, &mut rng);
                core.set_relays(plan.relays, self.now, &mut rng);
                let rows = (0..3 * plan.zones).map(|row| (address(row), zone_name(row, plan)));
                core.add_bootstrap_rows(rows.collect());
                core
            }
        };
        GossipNode {
            core,
            rng,
            is_down: false,
            is_paused: false,
            udp_bytes: 0,
            pull_bytes: 0,
            zone_udp_bytes: 0,
            zone_pull_bytes: 0,
        }
    }

    /// Replaces daemon `index` by a new boot whose wall clock, in milliseconds, is off by
    /// `incarnation_offset`.
    pub fn restart(&mut self, index: usize, boot: u64, incarnation_offset: i64) {
        let mut own = member(index, boot, 1);
        own.region = self.nodes[index].core.view().own().region.clone();
        own.incarnation = Incarnation(
            FIRST_INCARNATION
                .checked_add_signed(incarnation_offset)
                .unwrap(),
        );
        self.nodes[index] = self.start(own);
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.tick();
        }
    }

    /// Runs until `goal` holds and returns the time that it took; panics after `limit`.
    pub fn run_until(&mut self, limit: Duration, goal: impl Fn(&mut Self) -> bool) -> Duration {
        let start = self.now;
        while self.now.since(start) < limit {
            if goal(self) {
                return self.now.since(start);
            }
            self.tick();
        }
        panic!("goal not reached within {limit:?}");
    }

    fn tick(&mut self) {
        let next = self.now + TICK;
        while let Some(Reverse((at, ..))) = self.in_flight.peek()
            && *at <= next
        {
            let Reverse((at, _, from, to, datagram)) = self.in_flight.pop().unwrap();
            if self.nodes[to].is_paused {
                self.sequence += 1;
                let later = Reverse((next + TICK, self.sequence, from, to, datagram));
                self.in_flight.push(later);
                continue;
            }
            self.now = at.max(self.now);
            self.deliver(from, to, &datagram);
        }
        self.now = next;
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            if node.is_down || node.is_paused {
                continue;
            }
            let actions = node.core.tick(next, &mut node.rng);
            self.carry_out(index, actions);
        }
    }

    fn deliver(&mut self, from: usize, to: usize, datagram: &[u8]) {
        let message = self.codec.decode(datagram).unwrap();
        let node = &mut self.nodes[to];
        if node.is_down {
            return;
        }
        let now = self.now;
        let actions = node
            .core
            .receive(&message, address(from), now, &mut node.rng);
        self.carry_out(to, actions);
    }

    pub fn publish(&mut self, index: usize, record: &InstanceRecord) {
        let node = &mut self.nodes[index];
        let mut record = record.clone();
        record.region = node.core.view().own().region.clone();
        if self.zone_plan.is_some() {
            record.zone = node.core.view().own().zone.clone();
        }
        let actions = node.core.publish(&record, self.now, &mut node.rng);
        self.carry_out(index, actions);
    }

    pub fn publish_run(&mut self, index: usize, report: &RunReport) {
        let node = &mut self.nodes[index];
        let actions = node.core.publish_runs(&[*report], self.now, &mut node.rng);
        self.runs.push((index, *report));
        self.carry_out(index, actions);
    }

    pub fn remove(&mut self, index: usize, record: &InstanceRecord) {
        let node = &mut self.nodes[index];
        let actions = node.core.remove(&record.instance, self.now, &mut node.rng);
        self.carry_out(index, actions);
    }

    pub fn leave(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let actions = node.core.leave(self.now, &mut node.rng);
        self.carry_out(index, actions);
    }

    pub fn carry_out(&mut self, from: usize, actions: Vec<GossipAction>) {
        for action in actions {
            match action {
                GossipAction::Send { to, message } => {
                    let datagram = self.codec.encode(&message).unwrap();
                    self.nodes[from].udp_bytes += datagram.len() as u64;
                    if self.is_other_zone(from, index(to)) {
                        self.nodes[from].zone_udp_bytes += datagram.len() as u64;
                    }
                    self.enqueue(from, index(to), datagram);
                }
                GossipAction::ReportRevision(revision, _) => self.revisions.push((from, revision)),
                GossipAction::ReportRuns(runs) => {
                    self.runs.extend(runs.into_iter().map(|run| (from, run)));
                }
                GossipAction::ReportLeft(instance, run) => self.leaves.push((from, instance, run)),
                GossipAction::PullView(peer) => self.pull(from, index(peer)),
                GossipAction::PullService {
                    service,
                    region,
                    peer,
                } => self.pull_service(from, index(peer), &service, region),
            }
        }
    }

    fn is_other_zone(&self, from: usize, to: usize) -> bool {
        let zone = |index: usize| {
            self.nodes
                .get(index)
                .map(|node| &node.core.view().own().zone)
        };
        zone(from) != zone(to)
    }

    fn enqueue(&mut self, from: usize, to: usize, datagram: Vec<u8>) {
        if to >= self.nodes.len() || self.blocked_links.contains(&(from, to)) {
            return;
        }
        let copies = 1 + usize::from(self.rng.f64() < self.duplication);
        for _ in 0..copies {
            if self.rng.f64() < self.loss {
                continue;
            }
            let at = self.now + self.delay.mul_f64(0.5 + self.rng.f64());
            self.sequence += 1;
            if self.is_recording {
                self.recording.push((from, to, datagram.clone()));
            }
            let delivery = Reverse((at, self.sequence, from, to, datagram.clone()));
            self.in_flight.push(delivery);
        }
    }

    /// Delivers every recorded datagram again, in random order.
    pub fn replay(&mut self) {
        let mut recording = std::mem::take(&mut self.recording);
        self.rng.shuffle(&mut recording);
        for (from, to, datagram) in recording {
            self.deliver(from, to, &datagram);
        }
    }

    fn can_call(&self, from: usize, peer: usize) -> bool {
        let is_blocked = self.blocked_links.contains(&(from, peer))
            || self.blocked_links.contains(&(peer, from));
        !is_blocked && !self.nodes[peer].is_down && !self.nodes[peer].is_paused
    }

    fn pull_service(&mut self, from: usize, peer: usize, service: &ServiceId, region: RegionId) {
        if !self.can_call(from, peer) {
            return;
        }
        let call = InstancesCall::Service(service.clone());
        let reply = self.nodes[peer].core.serve(&call);
        if let InstancesReply::Service(records) = reply {
            let core = &mut self.nodes[from].core;
            core.store_remote_service(service, region, records);
        }
    }

    fn pull(&mut self, from: usize, peer: usize) {
        if !self.can_call(from, peer) {
            return;
        }
        let mut next = Some(0);
        while let Some(page) = next {
            let call = self.nodes[from].core.pull_call(address(peer), page);
            let reply = self.nodes[peer].core.serve(&call);
            let asked = wire::encode(&call).unwrap().len() as u64;
            let answered = wire::encode(&reply).unwrap().len() as u64;
            self.nodes[from].pull_bytes += asked;
            self.nodes[peer].pull_bytes += answered;
            if self.is_other_zone(from, peer) {
                self.nodes[from].zone_pull_bytes += asked;
                self.nodes[peer].zone_pull_bytes += answered;
            }
            let InstancesReply::Owners {
                owners,
                next: following,
                ..
            } = reply
            else {
                panic!("the reply to a pull contains no owners");
            };
            // As `MembersHandle` does, a pull brings what the peer knows of requests.
            let known = self.runs.clone().into_iter();
            let known = known.filter(|(node, _)| page == 0 && *node == peer);
            self.runs.extend(known.map(|(_, run)| (from, run)));
            next = following;
            let node = &mut self.nodes[from];
            let actions = node.core.merge_pull_page(&owners, self.now, &mut node.rng);
            self.carry_out(from, actions);
        }
    }

    /// Drops all datagrams from `from` to `to`, and calls between them.
    pub fn block_link(&mut self, from: usize, to: usize) {
        self.blocked_links.insert((from, to));
    }

    /// Whether every running daemon has `live` live members in its view, itself included.
    pub fn all_count(&self, live: usize) -> bool {
        let running = self.nodes.iter().filter(|node| !node.is_down);
        running
            .into_iter()
            .all(|node| node.core.live().len() == live)
    }

    /// Whether every running daemon sees the instance of `record` in `phase`, or not at all if
    /// `phase` is absent.
    pub fn all_see(&mut self, record: &InstanceRecord, phase: Option<InstancePhase>) -> bool {
        let now = self.now;
        let running = self.nodes.iter_mut().filter(|node| !node.is_down);
        running.into_iter().all(|node| {
            let records = node.core.instances_of(&record.service, now);
            let found = records
                .iter()
                .find(|found| found.instance == record.instance);
            found.map(|found| found.phase) == phase
        })
    }

    pub fn deaths(&self) -> u64 {
        let counts = self.nodes.iter().map(|node| node.core.counters().deaths);
        counts.sum()
    }
}
