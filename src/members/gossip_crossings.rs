//! Changes, accusations and pulls that pass between zones in `GossipCore`.

use std::net::SocketAddr;
use std::time::Duration;

use crate::hash::name_hash;
use crate::ids::{DaemonId, ZoneId};
use crate::members::gossip_context::GossipContext;
use crate::members::gossip_repair::ZONE_PULL_INTERVAL;
use crate::members::gossip_send::{MAX_CHANGES, PushScope};
use crate::members::{ChangeKey, GossipAction, GossipCore, MessageBuilder};
use crate::time::MonoTime;
use crate::wire::{GossipBody, MemberRecord, MemberState};

/// Longest wait of a change that is not urgent for a message to another zone.
const FLUSH_INTERVAL: Duration = Duration::from_millis(300);

/// Time from an urgent change to its second push. With 5% loss the first one misses a daemon of 100
/// in more than a quarter of the drains.
const REPEAT_DELAY: Duration = Duration::from_millis(400);
/// Daemons to which an urgent change is pushed the second time.
const REPEAT_FANOUT: usize = 4;

impl GossipCore {
    /// Notes a change that other zones must hear of, if this daemon is a relay.
    ///
    /// Those of the own zone go to all others. A suspicion of a daemon of another zone goes to that
    /// zone, so that the daemon can refute it. A change that is not urgent is left to one relay.
    pub(super) fn note_crossing(&mut self, key: &ChangeKey, now: MonoTime) {
        let Some(rank) = self.zones.relays.own_rank(now) else {
            return;
        };
        let own_zone = self.zones.relays.own_zone();
        let (zone, is_urgent, is_accusation) = match key {
            ChangeKey::Member(daemon) => match self.view.member(daemon) {
                Some(record) => (
                    &record.zone,
                    !record.state.is_live() || record.has_urgent_runs(),
                    matches!(record.state, MemberState::Suspect(_) | MemberState::Dead),
                ),
                None => return,
            },
            ChangeKey::Instance(instance) => match self.view.records().get(instance) {
                Some(record) => (&record.zone, record.is_urgent(), false),
                None => return,
            },
        };
        if zone != own_zone {
            if is_accusation {
                let zone = zone.clone();
                self.zones.crossings.push(&zone, key.clone());
            }
            return;
        }
        if is_accusation && !is_urgent {
            // The zone finds out by itself whether its daemon is dead.
            return;
        }
        let name = match key {
            ChangeKey::Member(daemon) => daemon.as_str(),
            ChangeKey::Instance(instance) => instance.as_str(),
        };
        let count = self.zones.relays.relays_of(own_zone).count().max(1);
        let is_assigned = name_hash(name) % count as u64 == rank as u64;
        if !is_urgent && !is_assigned {
            return;
        }
        for zone in self.zones.relays.other_zones() {
            match is_urgent {
                true => self.zones.crossings.push_urgent(zone, key.clone()),
                false => self.zones.crossings.push(zone, key.clone()),
            }
        }
    }

    /// Sends the noted urgent changes to all relays of the other zones.
    pub(super) fn cross_urgent(&mut self, context: &mut GossipContext<'_>) {
        for (zone, keys) in self.zones.crossings.take_urgent(MAX_CHANGES) {
            for relay in self.relay_records(&zone) {
                let message = self.empty_message(GossipBody::Push);
                let mut builder = MessageBuilder::open(message);
                for key in &keys {
                    self.add_change(key, &relay.daemon, &mut builder);
                }
                if !builder.is_empty() {
                    let (to, message) = (relay.address, builder.build());
                    context.actions.push(GossipAction::Send { to, message });
                }
            }
        }
    }

    /// Schedules another push of urgent changes, for daemons that the first pushes missed.
    pub(super) fn schedule_repeat(&mut self, now: MonoTime) {
        if self.zones.relays.is_on() && self.zones.repeat_at.is_none() {
            self.zones.repeat_at = Some(now.after(REPEAT_DELAY));
        }
    }

    /// Sends the changes that have waited to a relay of each other zone, and new ones to the other
    /// relays of the own zone.
    pub(super) fn cross_zones(&mut self, context: &mut GossipContext<'_>) {
        self.cross_urgent(context);
        if self
            .zones
            .repeat_at
            .is_some_and(|at| at.has_passed(context.now))
        {
            self.zones.repeat_at = None;
            self.push_to_some(REPEAT_FANOUT, PushScope::Fleet, context);
        }
        let Some(rank) = self.zones.relays.own_rank(context.now) else {
            return;
        };
        if std::mem::take(&mut self.zones.needs_sync) {
            self.push_to_partners(context);
        }
        if !self.zones.flush_at.has_passed(context.now) {
            return;
        }
        self.zones.flush_at = context.now.after(FLUSH_INTERVAL);
        for zone in self.zones.crossings.zones() {
            let relays = self.relay_records(&zone);
            let Some(relay) = relays.get(rank % relays.len().max(1)) else {
                continue;
            };
            self.send(
                relay.address,
                Some(&relay.daemon),
                GossipBody::Push,
                context,
            );
        }
    }

    /// Adds the changes that wait for the zone of `target`.
    pub(super) fn add_crossings(
        &mut self,
        target: Option<&DaemonId>,
        builder: &mut MessageBuilder,
    ) {
        let Some(record) = target.and_then(|target| self.view.member(target)) else {
            return;
        };
        let (daemon, zone) = (record.daemon.clone(), record.zone.clone());
        for key in self.zones.crossings.next_batch(&zone, MAX_CHANGES) {
            if !self.add_change(&key, &daemon, builder) {
                return;
            }
            self.zones.crossings.remove(&zone, &key);
        }
    }

    /// Adds the record of `key` unless `target` has no use for it; returns false if it does not fit.
    fn add_change(&self, key: &ChangeKey, target: &DaemonId, builder: &mut MessageBuilder) -> bool {
        let added = match key {
            ChangeKey::Member(daemon) => {
                let record = self.view.member(daemon);
                record.map(|record| builder.add_member(record))
            }
            ChangeKey::Instance(instance) => {
                let record = self.view.records().get(instance);
                let record = record.filter(|_| self.is_same_region(target));
                record.map(|record| builder.add_instance(record))
            }
        };
        added.unwrap_or(true)
    }

    /// Pushes queued changes to the other relays of the own zone.
    pub(super) fn push_to_partners(&mut self, context: &mut GossipContext<'_>) {
        let own_zone = self.zones.relays.own_zone().clone();
        for relay in self.relay_records(&own_zone) {
            let target = Some(&relay.daemon);
            self.send(relay.address, target, GossipBody::Push, context);
        }
    }

    /// Records of the relays of `zone` without this daemon.
    fn relay_records(&self, zone: &ZoneId) -> Vec<MemberRecord> {
        let relays = self.zones.relays.relays_of(zone);
        let members = relays.filter_map(|daemon| self.view.members().get(daemon));
        members.map(|entry| entry.record.clone()).collect()
    }

    /// Tells the own zone at once of a suspicion of a relay, and a relay of another zone that it is
    /// suspected.
    pub(super) fn announce_suspicion(
        &mut self,
        suspicion: &MemberRecord,
        context: &mut GossipContext<'_>,
    ) {
        if suspicion.zone == *self.zones.relays.own_zone() {
            self.push_to_some(self.forward_fanout(), PushScope::Fleet, context);
        } else {
            self.accuse(suspicion, suspicion.address, context);
        }
    }

    /// Passes a record that says that a daemon of the own zone is suspect or dead to that daemon only,
    /// if it comes from another zone: the own zone knows better, and the daemon can refute it.
    ///
    /// `sender` is unknown for records of a pull. Returns whether the record is dealt with.
    pub(super) fn forward_accusation(
        &self,
        record: &MemberRecord,
        sender: Option<&DaemonId>,
        context: &mut GossipContext<'_>,
    ) -> bool {
        let relays = &self.zones.relays;
        let is_accusation = matches!(record.state, MemberState::Suspect(_) | MemberState::Dead);
        if !relays.is_on() || !is_accusation || record.zone != *relays.own_zone() {
            return false;
        }
        let sender = sender.and_then(|sender| self.view.member(sender));
        if sender.is_some_and(|sender| sender.zone == *relays.own_zone()) {
            return false;
        }
        let Some(entry) = self.view.members().get(&record.daemon) else {
            return false;
        };
        if entry.record.state != MemberState::Alive {
            return false;
        }
        if record.incarnation >= entry.record.incarnation {
            self.accuse(record, entry.record.address, context);
        }
        true
    }

    fn accuse(&self, record: &MemberRecord, to: SocketAddr, context: &mut GossipContext<'_>) {
        let mut message = self.empty_message(GossipBody::Push);
        message.members.push(record.clone());
        context.actions.push(GossipAction::Send { to, message });
    }

    /// Pulls once from a daemon of the own zone and, as a relay, once from each other zone.
    pub(super) fn pull_zone(
        &mut self,
        sender: &DaemonId,
        from: SocketAddr,
        context: &mut GossipContext<'_>,
    ) {
        let Some(zone) = self.view.member(sender).map(|record| record.zone.clone()) else {
            return;
        };
        let is_due = match zone == *self.zones.relays.own_zone() {
            true => !std::mem::replace(&mut self.has_pulled_region, true),
            false => {
                self.zones.relays.is_relay(context.now) && self.zones.pulled_zones.insert(zone)
            }
        };
        if is_due {
            self.has_pulled = true;
            self.next_pull_at = context.now.after(ZONE_PULL_INTERVAL);
            context.actions.push(GossipAction::PullView(from));
        }
    }
}
