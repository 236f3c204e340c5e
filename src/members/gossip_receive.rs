//! How `GossipCore` takes in messages.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::DaemonId;
use crate::members::{
    ChangeKey, FleetView, GossipAction, GossipCore, MemberChange, MessageSpace, RecordChange,
};
use crate::time::MonoTime;
use crate::wire::{
    BucketDigest, GossipBody, GossipMessage, InstancePhase, InstanceRecord, InstancesCall,
    InstancesReply, MemberRecord, MemberState, OwnerDigest, OwnerState,
};

const FORWARD_FANOUT: usize = 2;
const MOST_SUMMARY_OWNERS: usize = 96;
const MOST_REPAIR_DATAGRAMS: usize = 4;
const MOST_PAGE_OWNERS: usize = 256;
const DIFFERENCES_TO_PULL: u32 = 6;
const PULL_INTERVAL: Duration = Duration::from_secs(10);

impl GossipCore {
    /// Takes in a message that came from `from`.
    pub fn receive(
        &mut self,
        message: &GossipMessage,
        from: SocketAddr,
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Vec<GossipAction> {
        let mut actions = Vec::new();
        if message.sender == self.view.own().daemon && from == self.view.own().address {
            return actions;
        }
        self.note_heard(now);
        actions.push(GossipAction::Revision(message.revision, from));
        self.learn(&message.members, &message.instances, now, rng, &mut actions);
        self.view.hear(&message.sender, now);
        self.answer(message, from, now, rng, &mut actions);
        if let Some(digest) = &message.digest {
            self.compare(digest, message, from, now, rng, &mut actions);
        }
        self.join_through(from, now, &mut actions);
        actions
    }

    /// Answers a peer's call.
    #[must_use]
    pub fn serve(&self, call: &InstancesCall) -> InstancesReply {
        let InstancesCall::Pull { from, known } = call;
        let mut states = self.view.differing(&WHOLE, known);
        let owner_of = |state: &OwnerState| FleetView::owner_of(&state.member.daemon);
        states.retain(|state| owner_of(state) >= *from);
        states.sort_unstable_by_key(owner_of);
        let next = states.get(MOST_PAGE_OWNERS).map(owner_of);
        states.truncate(MOST_PAGE_OWNERS);
        InstancesReply::Owners {
            owners: states,
            next,
        }
    }

    /// What this daemon has of the owners whose hash is at least `from`.
    #[must_use]
    pub fn known_owners(&self, from: u32) -> Vec<OwnerDigest> {
        let mut known = self.view.owner_digests(&WHOLE);
        known.retain(|digest| digest.owner >= from);
        known
    }

    /// Takes in a page that was pulled; it is not gossiped on.
    pub fn absorb(
        &mut self,
        owners: &[OwnerState],
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Vec<GossipAction> {
        let mut actions = Vec::new();
        for state in owners {
            self.learn_member(&state.member, now, false);
            for record in &state.instances {
                self.learn_record(record, now, false, rng, &mut actions);
            }
        }
        actions
    }

    fn learn(
        &mut self,
        members: &[MemberRecord],
        instances: &[InstanceRecord],
        now: MonoTime,
        rng: &mut fastrand::Rng,
        actions: &mut Vec<GossipAction>,
    ) {
        let mut urgent = false;
        for record in members {
            let newer = self.learn_member(record, now, true);
            urgent |= newer && record.state == MemberState::Left;
        }
        for record in instances {
            let newer = self.learn_record(record, now, true, rng, actions);
            urgent |= newer && is_leaving(record);
        }
        if urgent {
            self.push_to_some(FORWARD_FANOUT, rng, actions);
        }
    }

    /// Takes in a member's record; whether it is newer than what was known.
    fn learn_member(&mut self, record: &MemberRecord, now: MonoTime, spread: bool) -> bool {
        if record.daemon == self.view.own().daemon {
            self.defend_self(record);
            return false;
        }
        let key = ChangeKey::Member(record.daemon.clone());
        let awareness = self.cycle.awareness();
        let was_live = self.view.is_live(&record.daemon);
        let change = self.view.merge_member(record, awareness, now);
        if change == MemberChange::Liveness && was_live {
            self.counters.deaths += 1;
        }
        match change {
            MemberChange::Newer | MemberChange::Liveness if spread => self.queue.push(key),
            MemberChange::Newer | MemberChange::Liveness => self.queue.forget(&key),
            MemberChange::Same => self.count_known(&key),
            MemberChange::Stale => {}
        }
        matches!(change, MemberChange::Newer | MemberChange::Liveness)
    }

    /// Takes in an instance's record; whether it is newer than what was known.
    fn learn_record(
        &mut self,
        record: &InstanceRecord,
        now: MonoTime,
        spread: bool,
        rng: &mut fastrand::Rng,
        actions: &mut Vec<GossipAction>,
    ) -> bool {
        let is_own = record.daemon == self.view.own().daemon;
        if is_own || self.own.get(&record.instance).is_some() {
            let defended = self.defend_instance(record, now, rng, actions);
            if defended || is_own {
                return false;
            }
        }
        let key = ChangeKey::Instance(record.instance.clone());
        let change = self.view.merge_record(record, now);
        match change {
            RecordChange::Newer if spread => self.queue.push(key),
            RecordChange::Newer => self.queue.forget(&key),
            RecordChange::Same => self.count_known(&key),
            RecordChange::Stale => {}
        }
        change == RecordChange::Newer
    }

    /// Refutes a record that says anything else of this daemon than itself.
    fn defend_self(&mut self, record: &MemberRecord) {
        let own = self.view.own();
        if record.incarnation < own.incarnation || own.state == MemberState::Left {
            return;
        }
        let agrees = record.boot == own.boot && record.state == MemberState::Alive;
        if agrees && record.incarnation == own.incarnation {
            let key = ChangeKey::Member(record.daemon.clone());
            self.count_known(&key);
            return;
        }
        let mut refutation = own.clone();
        refutation.incarnation = record.incarnation.next();
        self.queue.push(ChangeKey::Member(record.daemon.clone()));
        self.view.set_own(refutation);
        self.counters.refutations += 1;
    }

    /// Refutes a record of an instance beside this daemon that outranks the own one.
    fn defend_instance(
        &mut self,
        record: &InstanceRecord,
        now: MonoTime,
        rng: &mut fastrand::Rng,
        actions: &mut Vec<GossipAction>,
    ) -> bool {
        let Some(own) = self.own.get(&record.instance).cloned() else {
            self.note_earlier_boot(record, now);
            return true;
        };
        let claimed = record.daemon != own.daemon && self.view.is_live(&record.daemon);
        if claimed || record.incarnation < own.incarnation || *record == own {
            return false;
        }
        self.own.outrank(record.incarnation);
        let stamped = self.own.restamp(&own);
        self.counters.refutations += 1;
        actions.extend(self.announce(&stamped, now, rng));
        true
    }

    /// Notes a record that an earlier boot of this daemon published.
    fn note_earlier_boot(&mut self, record: &InstanceRecord, now: MonoTime) {
        let known = self.view.records().get(&record.instance);
        let is_newer = known.is_none_or(|known| record.incarnation > known.incarnation);
        if is_newer && record.phase != InstancePhase::Gone {
            self.own.outrank(record.incarnation);
            self.own.note_orphan(record, now);
        }
    }

    fn answer(
        &mut self,
        message: &GossipMessage,
        from: SocketAddr,
        now: MonoTime,
        rng: &mut fastrand::Rng,
        actions: &mut Vec<GossipAction>,
    ) {
        match &message.body {
            GossipBody::Ping(probe) => {
                let ack = GossipBody::Ack(*probe);
                self.send(from, Some(&message.sender), ack, rng, actions);
            }
            GossipBody::Ack(probe) => self.settle(*probe, rng, actions),
            GossipBody::PingRequest { probe, target } => {
                let number = self.cycle.take_number();
                if self.relays.insert(number, from, *probe, now) {
                    self.send(*target, None, GossipBody::Ping(number), rng, actions);
                }
            }
            GossipBody::Push => {}
            GossipBody::Summary {
                bucket,
                owners,
                wants_answer,
            } => self.repair(bucket, owners, *wants_answer, from, rng, actions),
        }
    }

    fn settle(&mut self, probe: u32, rng: &mut fastrand::Rng, actions: &mut Vec<GossipAction>) {
        if self.cycle.acknowledge(probe) {
            return;
        }
        if let Some(relay) = self.relays.take(probe) {
            let ack = GossipBody::Ack(relay.probe);
            self.send(relay.asker, None, ack, rng, actions);
        }
    }

    /// Compares a peer's digest with the own one of the same bucket.
    fn compare(
        &mut self,
        digest: &BucketDigest,
        message: &GossipMessage,
        from: SocketAddr,
        now: MonoTime,
        rng: &mut fastrand::Rng,
        actions: &mut Vec<GossipAction>,
    ) {
        let own = self.view.digest_bucket(digest.bits, digest.bucket);
        if own.digest == digest.digest {
            self.differing_in_row = 0;
            return;
        }
        self.counters.differing_buckets += 1;
        self.differing_in_row += 1;
        if self.differing_in_row >= DIFFERENCES_TO_PULL && self.pull_after.has_passed(now) {
            self.pull_after = now.after(PULL_INTERVAL);
            actions.push(GossipAction::Pull(from));
        }
        let summary = self.summary(digest, true);
        self.send(from, Some(&message.sender), summary, rng, actions);
    }

    fn summary(&self, bucket: &BucketDigest, wants_answer: bool) -> GossipBody {
        let mut owners = self.view.owner_digests(bucket);
        owners.truncate(MOST_SUMMARY_OWNERS);
        GossipBody::Summary {
            bucket: *bucket,
            owners,
            wants_answer,
        }
    }

    /// Sends a peer the owners of which it has another state.
    fn repair(
        &self,
        bucket: &BucketDigest,
        theirs: &[OwnerDigest],
        wants_answer: bool,
        from: SocketAddr,
        rng: &mut fastrand::Rng,
        actions: &mut Vec<GossipAction>,
    ) {
        let mut states = self.view.differing(bucket, theirs);
        rng.shuffle(&mut states);
        for message in self.pack(&states).into_iter().take(MOST_REPAIR_DATAGRAMS) {
            actions.push(GossipAction::Send { to: from, message });
        }
        if wants_answer {
            let message = self.bare(self.summary(bucket, false));
            actions.push(GossipAction::Send { to: from, message });
        }
    }

    /// The owners' states as messages.
    fn pack(&self, states: &[OwnerState]) -> Vec<GossipMessage> {
        let mut messages = Vec::new();
        let mut space = MessageSpace::open(self.bare(GossipBody::Push));
        for state in states {
            if !space.add_member(&state.member) {
                messages.push(self.turn_over(&mut space));
                space.add_member(&state.member);
            }
            for record in &state.instances {
                if !space.add_instance(record) {
                    messages.push(self.turn_over(&mut space));
                    space.add_instance(record);
                }
            }
        }
        if !space.is_empty() {
            messages.push(space.finish());
        }
        messages
    }

    fn turn_over(&self, space: &mut MessageSpace) -> GossipMessage {
        let fresh = MessageSpace::open(self.bare(GossipBody::Push));
        std::mem::replace(space, fresh).finish()
    }

    /// Pulls the whole view from the first daemon that is heard of.
    fn join_through(&mut self, from: SocketAddr, now: MonoTime, actions: &mut Vec<GossipAction>) {
        if !self.joined {
            self.joined = true;
            self.pull_after = now.after(PULL_INTERVAL);
            actions.push(GossipAction::Pull(from));
        }
    }

    fn count_known(&mut self, key: &ChangeKey) {
        let sendings = self.sendings_of(key);
        self.queue.count(key, sendings);
    }

    /// Whether `daemon` was heard of since `since`.
    pub(super) fn heard_since(&self, daemon: &DaemonId, since: MonoTime) -> bool {
        let entry = self.view.members().get(daemon);
        entry
            .and_then(|entry| entry.heard)
            .is_some_and(|heard| heard >= since)
    }
}

const WHOLE: BucketDigest = BucketDigest {
    bits: 0,
    bucket: 0,
    digest: 0,
};

const fn is_leaving(record: &InstanceRecord) -> bool {
    matches!(record.phase, InstancePhase::Draining | InstancePhase::Gone)
}
