//! Receive path of `GossipCore`: merging records, refuting false ones, answering probes.

use std::net::SocketAddr;

use crate::ids::{DaemonId, Incarnation};
use crate::members::gossip_context::GossipContext;
use crate::members::gossip_send::PushScope;
use crate::members::{ChangeKey, GossipAction, GossipCore, MemberChange, RecordChange};
use crate::time::MonoTime;
use crate::wire::{
    GossipBody, GossipMessage, InstancePhase, InstanceRecord, MemberRecord, MemberState,
};

// A record above this would leave its daemon too little room to outrank it. Incarnations start
// at the wall clock in milliseconds, so genuine ones stay far below.
const MAX_INCARNATION: Incarnation = Incarnation(1 << 62);
// Members to which an urgent change is forwarded at once.
const FORWARD_FANOUT: usize = 4;
// The same while relays pass membership between zones, when only the own zone is told.
const ZONE_FORWARD_FANOUT: usize = 6;

impl GossipCore {
    /// Handles a message received from the address `from`.
    pub fn receive(
        &mut self,
        message: &GossipMessage,
        from: SocketAddr,
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Vec<GossipAction> {
        let own = self.view.own();
        if message.sender == own.daemon && from == own.address {
            return Vec::new();
        }
        let context = &mut GossipContext::open(now, rng);
        self.last_received = now;
        context
            .actions
            .push(GossipAction::ReportRevision(message.revision, from));
        self.merge_updates(message, context);
        self.view.mark_heard(&message.sender, now);
        self.handle_body(message, from, context);
        if let Some(digest) = &message.digest {
            self.compare_digest(digest, message, from, context);
        }
        self.pull_after_join(&message.sender, from, context);
        self.cross_urgent(context);
        std::mem::take(&mut context.actions)
    }

    fn merge_updates(&mut self, message: &GossipMessage, context: &mut GossipContext<'_>) {
        let (mut concerns_fleet, mut is_urgent, mut has_news) = (false, false, false);
        for record in &message.members {
            context.is_introduction |= record.daemon == message.sender;
            if self.forward_accusation(record, Some(&message.sender), context) {
                continue;
            }
            let is_relay = self.zones.relays.is_relay_of_zone(&record.daemon);
            let newer = self.merge_member(record, true, context);
            has_news |= newer;
            concerns_fleet |= newer && record.state == MemberState::Left;
            concerns_fleet |= newer && record.has_urgent_runs();
            // The next by rank takes the place of a lost relay as soon as it hears of it.
            is_urgent |= newer && is_relay && record.state != MemberState::Alive;
        }
        for record in &message.instances {
            let newer = self.merge_record(record, true, context);
            has_news |= newer;
            is_urgent |= newer && record.is_urgent();
        }
        self.zones.needs_sync |= has_news;
        if concerns_fleet || is_urgent {
            self.schedule_repeat(context.now);
        }
        if concerns_fleet {
            self.push_to_some(self.forward_fanout(), PushScope::Fleet, context);
        } else if is_urgent {
            self.push_to_some(self.forward_fanout(), PushScope::Region, context);
        }
    }

    pub(super) const fn forward_fanout(&self) -> usize {
        match self.zones.relays.is_on() {
            true => ZONE_FORWARD_FANOUT,
            false => FORWARD_FANOUT,
        }
    }

    /// Merges a member record and passes on what a newer one reports of requests; returns whether it was
    /// newer than the known one.
    pub(super) fn merge_member(
        &mut self,
        record: &MemberRecord,
        should_gossip: bool,
        context: &mut GossipContext<'_>,
    ) -> bool {
        let now = context.now;
        if record.incarnation > MAX_INCARNATION {
            self.counters.malformed += 1;
            return false;
        }
        if record.daemon == self.view.own().daemon {
            self.refute_member(record, now);
            return false;
        }
        let key = ChangeKey::Member(record.daemon.clone());
        let consecutive_failures = self.detector.consecutive_failures();
        let was_live = self.view.is_live(&record.daemon);
        let change = self.merge_into_view(record, consecutive_failures, now);
        if change == MemberChange::LivenessChanged && was_live {
            self.counters.deaths += 1;
        }
        match change {
            MemberChange::Newer | MemberChange::LivenessChanged if should_gossip => {
                self.note_crossing(&key, now);
                self.queue.push_urgent(key)
            }
            MemberChange::Newer | MemberChange::LivenessChanged => self.queue.remove(&key),
            MemberChange::Same => self.count_redundant(&key),
            MemberChange::Stale => {}
        }
        let newer = matches!(change, MemberChange::Newer | MemberChange::LivenessChanged);
        if newer && !record.runs.is_empty() {
            let runs = record.runs.clone();
            context.actions.push(GossipAction::ReportRuns(runs));
        }
        newer
    }

    /// Merges an instance record; returns whether it was newer than the known one.
    pub(super) fn merge_record(
        &mut self,
        record: &InstanceRecord,
        should_gossip: bool,
        context: &mut GossipContext<'_>,
    ) -> bool {
        if record.incarnation > MAX_INCARNATION {
            self.counters.malformed += 1;
            return false;
        }
        let is_own = record.daemon == self.view.own().daemon;
        if is_own && let Some(run) = record.stated_leave() {
            let report = GossipAction::ReportLeft(record.instance.clone(), run);
            context.actions.push(report);
        }
        if is_own || self.local_records.get(&record.instance).is_some() {
            let refuted = self.refute_instance(record, context);
            if refuted || is_own {
                return false;
            }
        }
        if record.region != self.view.own().region {
            return false;
        }
        let key = ChangeKey::Instance(record.instance.clone());
        let change = self.view.merge_record(record, context.now);
        match change {
            RecordChange::Newer if should_gossip => {
                self.note_crossing(&key, context.now);
                match record.is_urgent() {
                    true => self.queue.push_urgent(key),
                    false => self.queue.push(key),
                }
            }
            RecordChange::Newer => self.queue.remove(&key),
            RecordChange::Same => self.count_redundant(&key),
            RecordChange::Stale => {}
        }
        change == RecordChange::Newer
    }

    /// Refutes a record of this daemon that differs from its own, with a higher incarnation.
    fn refute_member(&mut self, record: &MemberRecord, now: MonoTime) {
        let own = self.view.own();
        if record.incarnation < own.incarnation || own.state == MemberState::Left {
            return;
        }
        let agrees = record.boot == own.boot && record.state == MemberState::Alive;
        if agrees && record.incarnation == own.incarnation {
            let key = ChangeKey::Member(record.daemon.clone());
            self.count_redundant(&key);
            return;
        }
        let mut refutation = own.clone();
        refutation.incarnation = record.incarnation.next();
        let key = ChangeKey::Member(record.daemon.clone());
        self.queue.push(key.clone());
        self.view.set_own(refutation);
        self.note_crossing(&key, now);
        self.counters.refutations += 1;
    }

    /// Refutes a record that outranks the own record of a local instance, unless the instance
    /// has moved to another live daemon. Returns whether the record is settled.
    fn refute_instance(
        &mut self,
        record: &InstanceRecord,
        context: &mut GossipContext<'_>,
    ) -> bool {
        let Some(own) = self.local_records.get(&record.instance).cloned() else {
            self.track_earlier_boot(record, context.now);
            return true;
        };
        let has_moved = record.daemon != own.daemon && self.view.is_live(&record.daemon);
        let mut aligned = record.clone();
        // Other daemons keep leaves that this boot has not heard of.
        aligned.left_run = own.left_run;
        if has_moved || record.incarnation < own.incarnation || aligned == own {
            return false;
        }
        self.local_records.advance_past(record.incarnation);
        let issued = self.local_records.reissue(&own);
        self.counters.refutations += 1;
        self.push_record(&issued, context);
        true
    }

    /// Tracks a record of an earlier boot, which is published as gone unless the instance
    /// announces itself again.
    fn track_earlier_boot(&mut self, record: &InstanceRecord, now: MonoTime) {
        let known = self.view.records().get(&record.instance);
        let is_newer = known.is_none_or(|known| record.incarnation > known.incarnation);
        if is_newer && record.phase != InstancePhase::Gone {
            self.local_records.advance_past(record.incarnation);
            self.local_records.add_orphan(record, now);
        }
    }

    fn handle_body(
        &mut self,
        message: &GossipMessage,
        from: SocketAddr,
        context: &mut GossipContext<'_>,
    ) {
        match &message.body {
            GossipBody::Ping(probe) => self.acknowledge(*probe, message, from, context),
            GossipBody::ZonePing { probe, contacts } => {
                self.zones.contacts.merge(contacts, context.now);
                self.acknowledge(*probe, message, from, context);
            }
            GossipBody::Ack(probe) => self.handle_ack(*probe, &message.sender, context),
            GossipBody::ZoneAck { probe, contacts } => {
                self.zones.contacts.merge(contacts, context.now);
                self.handle_ack(*probe, &message.sender, context);
            }
            GossipBody::PingRequest { probe, target } => {
                let number = self.detector.next_probe_number();
                if self
                    .indirect_probes
                    .insert(number, from, *probe, context.now)
                {
                    self.send(*target, None, GossipBody::Ping(number), context);
                }
            }
            GossipBody::Push => {}
            GossipBody::Summary {
                bucket,
                owners,
                wants_reply: wants_answer,
            } => self.send_differences(bucket, owners, *wants_answer, from, context),
        }
    }

    fn acknowledge(
        &mut self,
        probe: u32,
        message: &GossipMessage,
        from: SocketAddr,
        context: &mut GossipContext<'_>,
    ) {
        let ack = GossipBody::Ack(probe);
        let has_digest = message.digest.is_some();
        self.answer(from, &message.sender, ack, has_digest, context);
    }

    fn handle_ack(&mut self, probe: u32, sender: &DaemonId, context: &mut GossipContext<'_>) {
        if self.detector.acknowledge(probe) || self.acknowledge_relay(probe, sender, context.now) {
            return;
        }
        if let Some(probe) = self.indirect_probes.take(probe) {
            let ack = GossipBody::Ack(probe.requester_probe);
            self.send(probe.requester, None, ack, context);
        }
    }

    fn count_redundant(&mut self, key: &ChangeKey) {
        let limit = self.transmit_limit(key);
        self.queue.count_transmission(key, limit);
    }

    /// Whether a datagram came from `daemon` at or after `since`.
    pub(super) fn heard_since(&self, daemon: &DaemonId, since: MonoTime) -> bool {
        let entry = self.view.members().get(daemon);
        entry
            .and_then(|entry| entry.last_heard)
            .is_some_and(|heard| heard >= since)
    }
}
