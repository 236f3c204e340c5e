//! Deterministic simulation of a fleet in virtual time, with faults drawn from a seed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use fastrand::Rng;
use wagtailtrack::hash::FastMap;
use wagtailtrack::ids::{DaemonId, ZoneId};
use wagtailtrack::limits::{AccountPlacement, HomeCandidate, HomeMap, PoolKey, ShareSet};
use wagtailtrack::resource::RateLimit;
use wagtailtrack::settings::LimitsSettings;

use super::node_event::NodeEvent;
use super::simulated_node::{SimulatedClock, SimulatedNode};
use super::{CutPlan, FaultPlan, FloodCallers, MemoryTable, RateAudit};

const MILLI: u64 = 1_000;
pub const SECOND: u64 = 1_000_000;
/// Availability zones, in which the nodes lie in turn.
pub const ZONES: usize = 3;

/// The nodes, the platform table, the event queue and the record of all requests.
pub struct SimulatedFleet {
    pub nodes: Vec<SimulatedNode>,
    pub table: MemoryTable,
    pub rng: Rng,
    pub faults: FaultPlan,
    pub limits: Vec<RateLimit>,
    /// Requests per second that each node receives for each account.
    pub demand: Vec<f64>,
    pub audit: RateAudit,
    /// Number of nodes that receive requests.
    pub ingresses: usize,
    pub callers: FloodCallers,
    pub cuts: CutPlan,
    /// Number of availability zones that the daemons know of; 0 if they do not use zones.
    pub zones: usize,
    /// Bytes of messages about grants between `ZONES` zones.
    pub far_grant_bytes: u64,
    /// Number of times that a share was found live in the pools of two nodes.
    pub double_lent: u64,
    /// Messages sent between daemons; `bytes` is their total size.
    pub messages: u64,
    pub bytes: u64,
    pub(super) sender: usize,
    pub now: u64,
    pub tick: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, (usize, NodeEvent)>,
    pub(super) next_event: u64,
    pub(super) settings: LimitsSettings,
}

impl SimulatedFleet {
    pub fn open(seed: u64, count: usize, settings: &LimitsSettings, faults: FaultPlan) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            table: MemoryTable::open(),
            rng: Rng::with_seed(seed),
            faults,
            limits: Vec::new(),
            demand: Vec::new(),
            audit: RateAudit::default(),
            ingresses: count,
            callers: FloodCallers::default(),
            cuts: CutPlan::default(),
            zones: 0,
            far_grant_bytes: 0,
            double_lent: 0,
            messages: 0,
            bytes: 0,
            sender: 0,
            now: 0,
            tick: 20 * MILLI,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            settings: settings.clone(),
        };
        for index in 0..count {
            let node = fleet.new_node(index);
            fleet.nodes.push(node);
            fleet.schedule(index, index as u64 * MILLI, NodeEvent::Tick);
        }
        for index in 0..count {
            fleet.set_view(index, (0..count).collect());
        }
        fleet
    }

    pub fn add_account(&mut self, limit: RateLimit, demand_per_node: f64) {
        self.limits.push(limit);
        self.demand.push(demand_per_node);
        for node in 0..self.ingresses {
            self.next_request(node, self.limits.len() - 1);
        }
    }

    pub fn run_until(&mut self, end: u64) {
        while let Some(Reverse((at, number))) = self.queue.peek().copied()
            && at < end
        {
            self.queue.pop();
            let (node, event) = self.events.remove(&number).unwrap();
            let paused_until = self.nodes[node].paused_until;
            if paused_until > at && !matches!(event, NodeEvent::Commit(..)) {
                self.schedule_at(node, paused_until, event);
                continue;
            }
            self.now = at;
            self.handle(node, event);
        }
        self.now = end;
    }

    /// Replaces node `index` by a new process that has lost all state.
    pub fn replace(&mut self, index: usize) {
        self.nodes[index] = self.new_node(index);
        self.set_view(index, (0..self.nodes.len()).collect());
    }

    pub fn set_view(&mut self, index: usize, members: Vec<usize>) {
        let candidates = members.into_iter().map(|member| HomeCandidate {
            daemon: format!("vm-{member}").parse().unwrap(),
            address: format!("127.0.0.1:{}", 1_000 + member).parse().unwrap(),
        });
        let map = match self.zones {
            0 => HomeMap::new(candidates.collect()),
            _ => HomeMap::with_zones(candidates.collect(), &self.zone_map()),
        };
        let now = self.nodes[index].clock.at(self.now);
        self.nodes[index].set_map(map, now);
    }

    fn zone_map(&self) -> FastMap<DaemonId, ZoneId> {
        let zone_of = |node: usize| format!("zone-{}", node % self.zones).parse().unwrap();
        let daemon_of = |node: usize| format!("vm-{node}").parse().unwrap();
        (0..self.nodes.len())
            .map(|node| (daemon_of(node), zone_of(node)))
            .collect()
    }

    fn new_node(&mut self, index: usize) -> SimulatedNode {
        let clock = SimulatedClock {
            origin: self.rng.u64(0..1_000 * SECOND),
            speed: self.rng.u64(985..=1_000),
        };
        let boot = self.rng.u64(1..u64::MAX / 2);
        SimulatedNode::open(index, boot, clock, &self.settings)
    }

    /// Injects pauses, view changes and replacements at their mean intervals.
    pub(super) fn inject_faults(&mut self) {
        let count = self.nodes.len();
        let window = self.tick / count as u64;
        let index = self.rng.usize(0..count);
        if self.happens(self.faults.pause_every, window) {
            let longest = if self.rng.bool() { SECOND } else { 12 * SECOND };
            self.nodes[index].paused_until = self.now + self.rng.u64(0..longest);
        }
        if self.happens(self.faults.view_change_every, window) {
            let viewer = self.rng.usize(0..count);
            let mut view: Vec<_> = (0..count).filter(|_| self.rng.u8(0..3) > 0).collect();
            view.push(viewer);
            self.set_view(viewer, view);
        }
        if self.happens(self.faults.replace_every, window) {
            self.replace(index);
        }
    }

    pub(super) fn is_platform_down(&self, node: usize) -> bool {
        let (from, to) = self.faults.outage;
        let is_down = (from * SECOND..to * SECOND).contains(&self.now);
        is_down || self.cuts.cuts_platform(node, self.now)
    }

    /// Counts the shares that are live in the pools of two nodes now, for the shards of all
    /// accounts.
    pub(super) fn count_double_lent(&mut self) {
        for limit in &self.limits {
            let shard =
                AccountPlacement::new(&limit.account, limit.burst, self.settings.shares).shard;
            for half in [0, 1] {
                let mut pooled = ShareSet::EMPTY;
                for node in &self.nodes {
                    let now = node.clock.at(self.now);
                    let held = node.issuer.live_shares(PoolKey { shard, half }, now);
                    self.double_lent += u64::from(held.intersection(pooled).len());
                    pooled = pooled.union(held);
                }
            }
        }
    }

    fn happens(&mut self, mean_interval: u64, window: u64) -> bool {
        mean_interval > 0 && self.rng.u64(0..mean_interval) < window
    }

    pub(super) fn timeout(&self, millis: u64) -> u64 {
        let is_faulty = self.faults.lossy_percent > 0;
        let factor = if is_faulty { 6 } else { 1 };
        millis * MILLI * factor
    }

    /// Sends over the network, which loses, duplicates, delays and reorders messages.
    pub(super) fn send(&mut self, to: usize, event: NodeEvent) {
        if to != self.sender {
            self.messages += u64::from(event.wire_bytes() > 0);
            self.bytes += event.wire_bytes() as u64;
            let is_grant = matches!(
                event,
                NodeEvent::GrantRequest(..) | NodeEvent::GrantReply(..)
            );
            if is_grant && to % ZONES != self.sender % ZONES {
                self.far_grant_bytes += event.wire_bytes() as u64;
            }
        }
        if self.cuts.cuts_link(self.sender, to, self.now) {
            return;
        }
        let lossy = self.faults.lossy_percent;
        if self.rng.u64(0..100) < lossy {
            return;
        }
        if self.rng.u64(0..100) < lossy {
            let delay = self.delay();
            self.schedule(to, delay, event.clone());
        }
        let delay = self.delay();
        self.schedule(to, delay, event);
    }

    fn delay(&mut self) -> u64 {
        let usual = 2 * MILLI;
        let is_late = self.rng.u64(0..100) < self.faults.lossy_percent;
        let longest = if is_late { self.faults.delay } else { usual };
        self.rng.u64(100..=longest.max(usual))
    }

    pub(super) fn schedule(&mut self, to: usize, delay: u64, event: NodeEvent) {
        self.schedule_at(to, self.now + delay, event);
    }

    fn schedule_at(&mut self, to: usize, at: u64, event: NodeEvent) {
        let number = self.next_event;
        self.next_event += 1;
        self.queue.push(Reverse((at, number)));
        self.events.insert(number, (to, event));
    }
}
