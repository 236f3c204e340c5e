//! Send path of `GossipCore`: messages with piggybacked changes, pushes and indirect probes.

use std::net::SocketAddr;

use crate::ids::{DaemonId, InstanceId};
use crate::members::gossip_context::GossipContext;
use crate::members::zone_state::ZoneReach;
use crate::members::{
    ChangeKey, GossipAction, GossipCore, MemberChange, MessageBuilder, ProbeAction,
};
use crate::time::MonoTime;
use crate::wire::{GossipBody, GossipMessage, InstanceRecord, MemberRecord, MemberState};

// Members asked to ping a target that did not answer the direct ping.
const INDIRECT_PROBE_COUNT: usize = 3;
// Up to this number of live members, samples are drawn by shuffling all of them.
const MAX_SHUFFLED: usize = 32;
// Random draws for each member of a sample.
const DRAWS_PER_SAMPLE: usize = 16;
// Changes considered for one message; the datagram size may allow fewer.
pub(super) const MAX_CHANGES: usize = 24;
// Transmissions of a change beyond the binary logarithm of the fleet size.
const EXTRA_TRANSMISSIONS: u32 = 3;
const MAX_INSTANCE_TRANSMISSIONS: u32 = 6;
// Pushes that forward a drain count as transmissions too.
const EXTRA_URGENT_TRANSMISSIONS: u32 = 6;
// Within a zone an urgent change is pushed twice, and each daemon receives about as many copies, which
// count too. Without this it is no longer on probes when a daemon has missed all pushes.
const EXTRA_ZONE_TRANSMISSIONS: u32 = 20;

/// Which members may receive a push.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PushScope {
    /// Members of the own region, the only ones that keep its instance records.
    Region,
    /// Members of all regions.
    Fleet,
}

impl GossipCore {
    /// Carries out an action of the failure detector.
    pub(super) fn run_probe_action(
        &mut self,
        action: ProbeAction,
        context: &mut GossipContext<'_>,
    ) {
        match action {
            ProbeAction::Ping { probe, target, to } => {
                self.send(to, Some(&target), GossipBody::Ping(probe), context);
            }
            ProbeAction::IndirectPing { probe, target, to } => {
                self.request_indirect_pings(probe, &target, to, context);
            }
            ProbeAction::Failed { target, since } => self.suspect_member(&target, since, context),
        }
    }

    /// Pings an address outside the failure detector's rounds.
    pub(super) fn ping(
        &mut self,
        to: SocketAddr,
        target: Option<&DaemonId>,
        context: &mut GossipContext<'_>,
    ) {
        let probe = GossipBody::Ping(self.detector.next_probe_number());
        self.send(to, target, probe, context);
    }

    /// Sends `body` with as many piggybacked changes as fit into the datagram.
    pub(super) fn send(
        &mut self,
        to: SocketAddr,
        target: Option<&DaemonId>,
        body: GossipBody,
        context: &mut GossipContext<'_>,
    ) {
        let message = self.build_message(to, target, body, false, context);
        context.actions.push(GossipAction::Send { to, message });
    }

    /// As `send`, in answer to a message of `target` that carried a digest if `has_digest` holds.
    pub(super) fn answer(
        &mut self,
        to: SocketAddr,
        target: &DaemonId,
        body: GossipBody,
        has_digest: bool,
        context: &mut GossipContext<'_>,
    ) {
        let message = self.build_message(to, Some(target), body, has_digest, context);
        context.actions.push(GossipAction::Send { to, message });
    }

    /// Pushes queued changes, urgent ones first, to at most `count` random members in `scope`.
    pub(super) fn push_to_some(
        &mut self,
        count: usize,
        scope: PushScope,
        context: &mut GossipContext<'_>,
    ) {
        let region = self.view.own().region.clone();
        self.push_to_partners(context);
        let is_in_scope = |record: &MemberRecord| match scope {
            _ if !self.is_reached_directly(record) => false,
            PushScope::Region => record.region == region,
            PushScope::Fleet => true,
        };
        for record in self.sample(count, is_in_scope, context.rng) {
            let target = Some(&record.daemon);
            self.send(record.address, target, GossipBody::Push, context);
        }
    }

    /// Number of times that each daemon transmits a change; grows with the logarithm of the
    /// number of live members.
    pub(super) fn transmit_limit(&self, key: &ChangeKey) -> u32 {
        let live = self.view.members().live_count() + 1;
        let full = live.ilog2() + EXTRA_TRANSMISSIONS;
        let pushed_in_zone = match self.zones.relays.is_on() {
            true => EXTRA_ZONE_TRANSMISSIONS,
            false => 0,
        };
        match key {
            ChangeKey::Member(daemon) if !self.view.is_live(daemon) => full + pushed_in_zone,
            ChangeKey::Member(daemon) if self.has_urgent_runs(daemon) => {
                full + EXTRA_URGENT_TRANSMISSIONS + pushed_in_zone
            }
            ChangeKey::Member(_) => full,
            ChangeKey::Instance(instance) if self.is_urgent(instance) => {
                full + EXTRA_URGENT_TRANSMISSIONS + pushed_in_zone
            }
            ChangeKey::Instance(_) => full.min(MAX_INSTANCE_TRANSMISSIONS),
        }
    }

    fn has_urgent_runs(&self, daemon: &DaemonId) -> bool {
        let record = self.view.member(daemon);
        record.is_some_and(MemberRecord::has_urgent_runs)
    }

    fn is_urgent(&self, instance: &InstanceId) -> bool {
        let record = self.view.records().get(instance);
        record.is_some_and(InstanceRecord::is_urgent)
    }

    /// Builds a message without digest and changes.
    pub(super) fn empty_message(&self, body: GossipBody) -> GossipMessage {
        GossipMessage {
            sender: self.view.own().daemon.clone(),
            revision: self.revision,
            body,
            digest: None,
            members: Vec::new(),
            instances: Vec::new(),
        }
    }

    fn build_message(
        &mut self,
        to: SocketAddr,
        target: Option<&DaemonId>,
        body: GossipBody,
        answers_digest: bool,
        context: &mut GossipContext<'_>,
    ) -> GossipMessage {
        let reach = self.reach(to, target, context.now);
        let is_ack = matches!(body, GossipBody::Ack(_));
        let mut message = self.empty_message(body);
        if matches!(message.body, GossipBody::Ping(_) | GossipBody::Ack(_)) {
            let has_left = self.view.own().state == MemberState::Left;
            let is_compared =
                answers_digest || !matches!(reach, ZoneReach::Closed | ZoneReach::Unknown);
            let is_same_region = target.is_some_and(|target| self.is_same_region(target));
            message.digest = (is_compared && !has_left)
                .then(|| self.view.random_bucket_digest(is_same_region, context.rng));
        }
        if reach == ZoneReach::OwnZone {
            self.add_contacts(&mut message.body, context.now);
        }
        let mut builder = MessageBuilder::open(message);
        self.add_target_record(target, &mut builder);
        self.add_introduction(target, reach, is_ack, &mut builder, context);
        match reach {
            ZoneReach::Direct | ZoneReach::OwnZone => self.add_changes(target, &mut builder),
            ZoneReach::Relayed => self.add_crossings(target, &mut builder),
            ZoneReach::Closed | ZoneReach::Unknown => {}
        }
        builder.build()
    }

    /// Adds the record of a target that counts as suspect, dead or left, so that it can refute it.
    fn add_target_record(&self, target: Option<&DaemonId>, builder: &mut MessageBuilder) {
        let Some(record) = target.and_then(|target| self.view.member(target)) else {
            return;
        };
        if record.state != MemberState::Alive {
            builder.add_member(record);
        }
    }

    fn add_changes(&mut self, target: Option<&DaemonId>, builder: &mut MessageBuilder) {
        let is_same_region = target.is_none_or(|target| self.is_same_region(target));
        for key in self.queue.next_batch(MAX_CHANGES) {
            let added = match &key {
                ChangeKey::Member(daemon) if Some(daemon) == target => continue,
                ChangeKey::Instance(_) if !is_same_region => continue,
                ChangeKey::Member(daemon) => {
                    let record = self.view.member(daemon);
                    record.map(|record| builder.add_member(record))
                }
                ChangeKey::Instance(instance) => {
                    let record = self.view.records().get(instance);
                    record.map(|record| builder.add_instance(record))
                }
            };
            match added {
                Some(true) => self
                    .queue
                    .count_transmission(&key, self.transmit_limit(&key)),
                Some(false) => return,
                None => self.queue.remove(&key),
            }
        }
    }

    fn request_indirect_pings(
        &mut self,
        probe: u32,
        target: &DaemonId,
        to: SocketAddr,
        context: &mut GossipContext<'_>,
    ) {
        let can_ask = |record: &MemberRecord| self.may_ping_for(record, target);
        for relay in self.sample(INDIRECT_PROBE_COUNT, can_ask, context.rng) {
            let body = GossipBody::PingRequest { probe, target: to };
            self.send(relay.address, Some(&relay.daemon), body, context);
        }
    }

    fn suspect_member(
        &mut self,
        target: &DaemonId,
        since: MonoTime,
        context: &mut GossipContext<'_>,
    ) {
        let now = context.now;
        if self.heard_since(target, since) {
            return;
        }
        let Some(entry) = self.view.members().get(target) else {
            return;
        };
        if !entry.record.state.is_live() {
            return;
        }
        let own = self.view.own().daemon.clone();
        let suspicion = entry.record.with_state(MemberState::Suspect(own));
        let consecutive_failures = self.detector.consecutive_failures().saturating_sub(1);
        let is_relay = self.zones.relays.is_relay_of_zone(target);
        if self.merge_into_view(&suspicion, consecutive_failures, now) == MemberChange::Newer {
            self.counters.suspicions += 1;
            let key = ChangeKey::Member(target.clone());
            self.note_crossing(&key, now);
            self.queue.push_urgent(key);
            if is_relay {
                self.announce_suspicion(&suspicion, context);
            }
        }
    }

    /// Draws up to `count` random live members that `is_fit` accepts.
    pub(super) fn sample(
        &self,
        count: usize,
        is_fit: impl Fn(&MemberRecord) -> bool,
        rng: &mut fastrand::Rng,
    ) -> Vec<MemberRecord> {
        let members = self.view.members();
        let live_count = members.live_count();
        let mut positions: Vec<usize> = Vec::with_capacity(count);
        // Draws at random instead of shuffling all members. Of a small fleet, or one with few fit
        // members, all are looked at in the end.
        for _ in 0..count * DRAWS_PER_SAMPLE {
            if live_count <= MAX_SHUFFLED || positions.len() == count {
                break;
            }
            let position = rng.usize(0..live_count);
            let is_new = !positions.contains(&position);
            if is_new && members.live_at(position).is_some_and(&is_fit) {
                positions.push(position);
            }
        }
        if positions.is_empty() {
            let all = members.live().enumerate();
            positions = all
                .filter(|(_, record)| is_fit(record))
                .map(|(at, _)| at)
                .collect();
            rng.shuffle(&mut positions);
            positions.truncate(count);
        }
        let records = positions.into_iter().filter_map(|at| members.live_at(at));
        records.cloned().collect()
    }
}
