//! Relays between zones in `GossipCore`: their probes, whom each daemon contacts, introductions.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::ids::{DaemonId, ZoneId};
use crate::logs::log_target;
use crate::members::failure_detector::shuffle_round;
use crate::members::gossip_context::GossipContext;
use crate::members::zone_state::ZoneReach;
use crate::members::{GossipCore, MemberChange, MessageBuilder};
use crate::time::{Deadline, MonoTime};
use crate::wire::{GossipBody, MemberRecord};

/// Relays of its zone of which a daemon learns that introduces itself in another zone.
const INTRODUCED_RELAYS: usize = 2;

impl GossipCore {
    /// Runs the timers of the relays: their start and end, and zones out of reach.
    pub(super) fn tick_zones(&mut self, context: &mut GossipContext<'_>) {
        if !self.zones.relays.is_on() {
            return;
        }
        let now = context.now;
        for zone in self.zones.relays.other_zones() {
            self.zones.contacts.add_zone(zone, now);
        }
        let silent: BTreeSet<_> = self
            .zones
            .contacts
            .silent_zones(self.zones.relays.own_zone_size(), now)
            .cloned()
            .collect();
        if silent != self.zones.open_zones {
            log::info!(target: log_target::MEMBERS, zones:? = silent, before:? = self.zones.open_zones; "Zones that no relay reaches and that are contacted directly changed.");
            self.zones.open_zones = silent;
            self.detector.end_round();
        }
        let is_relay = self.zones.relays.is_relay(now);
        if is_relay != self.zones.was_relay {
            log::info!(target: log_target::MEMBERS, is_relay, zone:% = self.zones.relays.own_zone(), members = self.view.members().live_count() + 1; "Role as relay between zones changed.");
            self.zones.was_relay = is_relay;
            self.zones.crossings.clear();
            self.zones.relay_probes.end_round();
            self.reconnect_at = Deadline::at(now);
        }
    }

    /// Whether this relay knows no daemon of a zone that has rows in the directory.
    pub(super) fn lacks_zone(&self, now: MonoTime) -> bool {
        let relays = &self.zones.relays;
        let is_unknown = |zone: &ZoneId| relays.relays_of(zone).next().is_none();
        relays.is_relay(now) && self.bootstrap_zones.values().any(is_unknown)
    }

    /// Whether relays are on and `daemon` is known in the own zone.
    pub(super) fn is_in_own_zone(&self, daemon: &DaemonId) -> bool {
        let member = self.view.member(daemon);
        let own_zone = self.zones.relays.own_zone();
        self.zones.relays.is_on() && member.is_some_and(|member| member.zone == *own_zone)
    }

    /// Runs the failure detectors.
    pub(super) fn probe_members(&mut self, context: &mut GossipContext<'_>) {
        let now = context.now;
        let members = self.view.members();
        if !self.zones.relays.is_on() {
            for action in self.detector.tick(members, now, context.rng) {
                self.run_probe_action(action, context);
            }
            return;
        }
        let (relays, open) = (&self.zones.relays, &self.zones.open_zones);
        let region = &self.view.own().region;
        let near = |record: &&MemberRecord| {
            record.zone == *relays.own_zone() || open.contains(&record.zone)
        };
        let draw_near =
            |rng: &mut fastrand::Rng| shuffle_round(members.live().filter(near), region, rng);
        let draw_relays = |rng: &mut fastrand::Rng| -> Vec<DaemonId> {
            if !relays.is_relay(now) {
                return Vec::new();
            }
            let zones = relays.other_zones();
            let choices = zones.map(|zone| relays.relays_of(zone).collect::<Vec<_>>());
            let drawn = choices.filter_map(|choices| rng.choice(choices).cloned());
            let mut round: Vec<_> = drawn.collect();
            rng.shuffle(&mut round);
            round
        };
        let draw_partners = |rng: &mut fastrand::Rng| -> Vec<DaemonId> {
            if !relays.watches_relays() {
                return Vec::new();
            }
            let mut round: Vec<_> = relays.partners().cloned().collect();
            rng.shuffle(&mut round);
            round
        };
        let rng = &mut *context.rng;
        let mut actions = self.detector.tick_over(members, draw_near, now, rng);
        let relay_probes = &mut self.zones.relay_probes;
        actions.extend(relay_probes.tick_over(members, draw_relays, now, rng));
        let partner_probes = &mut self.zones.partner_probes;
        actions.extend(partner_probes.tick_over(members, draw_partners, now, rng));
        for action in actions {
            self.run_probe_action(action, context);
        }
    }

    /// Handles the ack of a relay; returns whether it completes a probe.
    pub(super) fn acknowledge_relay(
        &mut self,
        probe: u32,
        sender: &DaemonId,
        now: MonoTime,
    ) -> bool {
        if self.zones.partner_probes.acknowledge(probe) {
            return true;
        }
        if !self.zones.relay_probes.acknowledge(probe) {
            return false;
        }
        if let Some(record) = self.view.member(sender)
            && record.zone != *self.zones.relays.own_zone()
        {
            self.zones.contacts.mark(&record.zone, now);
        }
        true
    }

    /// Merges a member record into the view and the ranks of the relays.
    pub(super) fn merge_into_view(
        &mut self,
        record: &MemberRecord,
        consecutive_failures: u32,
        now: MonoTime,
    ) -> MemberChange {
        let change = self.view.merge_member(record, consecutive_failures, now);
        if matches!(change, MemberChange::Newer | MemberChange::LivenessChanged) {
            self.zones.relays.update(record);
        }
        change
    }

    /// How a message to `target`, or to the member at the address `to`, may be sent.
    pub(super) fn reach(
        &self,
        to: SocketAddr,
        target: Option<&DaemonId>,
        now: MonoTime,
    ) -> ZoneReach {
        let relays = &self.zones.relays;
        if !relays.is_on() {
            return ZoneReach::Direct;
        }
        let member = target.and_then(|target| self.view.member(target));
        match member.or_else(|| self.view.members().live_by_address(to)) {
            None => ZoneReach::Unknown,
            Some(member) if member.zone == *relays.own_zone() => ZoneReach::OwnZone,
            Some(member) if self.zones.open_zones.contains(&member.zone) => ZoneReach::Direct,
            Some(_) if relays.is_relay(now) => ZoneReach::Relayed,
            Some(_) => ZoneReach::Closed,
        }
    }

    /// Whether pushes may go to the daemon of `record` without a relay.
    pub(super) fn is_reached_directly(&self, record: &MemberRecord) -> bool {
        let zones = &self.zones;
        !zones.relays.is_on()
            || record.zone == *zones.relays.own_zone()
            || zones.open_zones.contains(&record.zone)
    }

    /// Whether the daemon of `record` may be asked to ping `target`. For one of another zone relays are.
    pub(super) fn may_ping_for(&self, record: &MemberRecord, target: &DaemonId) -> bool {
        let relays = &self.zones.relays;
        let is_near = self.is_in_own_zone(target);
        record.daemon != *target
            && match relays.is_on() {
                false => true,
                true if is_near => self.is_reached_directly(record),
                true => relays.is_relay_of_zone(&record.daemon),
            }
    }

    /// Whether this daemon looks for lost daemons of `zone`.
    pub(super) fn may_contact_zone(&self, zone: &ZoneId, now: MonoTime) -> bool {
        let zones = &self.zones;
        !zones.relays.is_on()
            || zone == zones.relays.own_zone()
            || zones.open_zones.contains(zone)
            || zones.relays.is_relay(now)
    }

    /// Leaves the addresses of other zones to the relays, unless the own zone has none to try.
    pub(super) fn keep_near_candidates(
        &self,
        candidates: &mut Vec<(SocketAddr, Option<DaemonId>)>,
        now: MonoTime,
    ) {
        if !self.zones.relays.is_on() {
            return;
        }
        let is_near = |(address, _): &(SocketAddr, Option<DaemonId>)| {
            let zone = self.bootstrap_zones.get(address);
            zone.is_none_or(|zone| self.may_contact_zone(zone, now))
        };
        let is_alone = self.view.members().live_count() == 0;
        if !is_alone || candidates.iter().any(is_near) {
            candidates.retain(is_near);
        }
    }

    /// Adds the ages of the contacts with other zones to a ping or an ack within the zone.
    pub(super) fn add_contacts(&self, body: &mut GossipBody, now: MonoTime) {
        let contacts = self.zones.contacts.ages(now);
        match *body {
            GossipBody::Ping(probe) => *body = GossipBody::ZonePing { probe, contacts },
            GossipBody::Ack(probe) => *body = GossipBody::ZoneAck { probe, contacts },
            _ => {}
        }
    }

    /// Adds the own record for a daemon that is not known, or that introduced itself; the latter
    /// learns of relays of its zone too.
    pub(super) fn add_introduction(
        &self,
        target: Option<&DaemonId>,
        reach: ZoneReach,
        is_ack: bool,
        builder: &mut MessageBuilder,
        context: &GossipContext<'_>,
    ) {
        let is_asked = context.is_introduction && is_ack && reach != ZoneReach::Direct;
        if reach != ZoneReach::Unknown && !is_asked {
            return;
        }
        builder.add_member(self.view.own());
        let Some(target) = target.and_then(|target| self.view.member(target)) else {
            return;
        };
        if target.zone == *self.zones.relays.own_zone() {
            return;
        }
        let relays = self.zones.relays.relays_of(&target.zone);
        let others = relays.filter(|daemon| **daemon != target.daemon);
        for daemon in others.take(INTRODUCED_RELAYS) {
            self.view
                .member(daemon)
                .map(|record| builder.add_member(record));
        }
    }
}
