//! How `GossipCore` finds and mends differences between two views.

use std::net::SocketAddr;
use std::time::Duration;

use crate::members::gossip_turn::GossipTurn;
use crate::members::{FleetView, GossipAction, GossipCore, MessageSpace};
use crate::time::MonoTime;
use crate::wire::{
    BucketDigest, GossipBody, GossipMessage, InstancesCall, InstancesReply, OwnerDigest, OwnerState,
};

const MOST_SUMMARY_OWNERS: usize = 96;
const MOST_REPAIR_DATAGRAMS: usize = 4;
const MOST_PAGE_OWNERS: usize = 256;
const DIFFERENCES_TO_PULL: u32 = 6;
const PULL_INTERVAL: Duration = Duration::from_secs(10);

const WHOLE: BucketDigest = BucketDigest {
    bits: 0,
    bucket: 0,
    digest: 0,
};

impl GossipCore {
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
        let mut turn = GossipTurn::open(now, rng);
        for state in owners {
            self.learn_member(&state.member, now, false);
            for record in &state.instances {
                self.learn_record(record, false, &mut turn);
            }
        }
        turn.actions
    }

    /// Compares a peer's digest with the own one of the same bucket.
    pub(super) fn compare(
        &mut self,
        digest: &BucketDigest,
        message: &GossipMessage,
        from: SocketAddr,
        turn: &mut GossipTurn<'_>,
    ) {
        let own = self.view.digest_bucket(digest.bits, digest.bucket);
        if own.digest == digest.digest {
            self.differing_in_row = 0;
            return;
        }
        self.counters.differing_buckets += 1;
        self.differing_in_row += 1;
        if self.differing_in_row >= DIFFERENCES_TO_PULL && self.pull_after.has_passed(turn.now) {
            self.pull_after = turn.now.after(PULL_INTERVAL);
            turn.actions.push(GossipAction::Pull(from));
        }
        let summary = self.summary(digest, true);
        self.send(from, Some(&message.sender), summary, turn);
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
    pub(super) fn repair(
        &self,
        bucket: &BucketDigest,
        theirs: &[OwnerDigest],
        wants_answer: bool,
        from: SocketAddr,
        turn: &mut GossipTurn<'_>,
    ) {
        let mut states = self.view.differing(bucket, theirs);
        turn.rng.shuffle(&mut states);
        for message in self.pack(&states).into_iter().take(MOST_REPAIR_DATAGRAMS) {
            turn.actions.push(GossipAction::Send { to: from, message });
        }
        if wants_answer {
            let message = self.bare(self.summary(bucket, false));
            turn.actions.push(GossipAction::Send { to: from, message });
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
    pub(super) fn join_through(&mut self, from: SocketAddr, turn: &mut GossipTurn<'_>) {
        if !self.joined {
            self.joined = true;
            self.pull_after = turn.now.after(PULL_INTERVAL);
            turn.actions.push(GossipAction::Pull(from));
        }
    }
}
