//! Anti-entropy of `GossipCore`: digest comparison, repair datagrams and pulls.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{DaemonId, RegionId, ServiceId};
use crate::members::gossip_context::GossipContext;
use crate::members::{FleetView, GossipAction, GossipCore, MessageBuilder};
use crate::time::MonoTime;
use crate::wire::{
    BucketDigest, GossipBody, GossipMessage, InstanceRecord, InstancesCall, InstancesReply,
    OwnerDigest, OwnerState,
};

// Owner digests in a summary.
const MAX_SUMMARY_OWNERS: usize = 96;
// Repair datagrams sent in answer to one summary.
const MAX_REPAIR_DATAGRAMS: usize = 4;
// Owners in a page of a pull reply.
const MAX_PAGE_OWNERS: usize = 256;
// Differing bucket digests in a row after which the whole view is pulled.
const DIFFERENCES_BEFORE_PULL: u32 = 6;
// Shortest time from any pull to one that differing digests cause.
const PULL_INTERVAL: Duration = Duration::from_secs(10);
// The same for a daemon that starts, within its zone, if relays pass membership between zones: what a
// relay pulls, the others learn by pulls of their own, each after the first difference.
pub(super) const ZONE_PULL_INTERVAL: Duration = Duration::from_secs(1);

impl GossipCore {
    /// Answers a pull or a service query of a peer.
    #[must_use]
    pub fn serve(&self, call: &InstancesCall) -> InstancesReply {
        match call {
            InstancesCall::Pull {
                from: from_hash,
                region,
                known,
            } => self.serve_pull(*from_hash, region, known),
            InstancesCall::Service(service) => {
                let records = self.view.records().of_service(service).into_iter();
                let live = records.filter(|record| self.view.is_live(&record.daemon));
                InstancesReply::Service(live.cloned().collect())
            }
        }
    }

    fn serve_pull(
        &self,
        from_hash: u32,
        region: &RegionId,
        known: &[OwnerDigest],
    ) -> InstancesReply {
        let bucket = all_owners(*region == self.view.own().region);
        let mut states = self.view.differing_owners(&bucket, known);
        let owner_hash = |state: &OwnerState| FleetView::owner_hash(&state.member.daemon);
        states.retain(|state| owner_hash(state) >= from_hash);
        states.sort_unstable_by_key(owner_hash);
        let next = states.get(MAX_PAGE_OWNERS).map(owner_hash);
        states.truncate(MAX_PAGE_OWNERS);
        InstancesReply::Owners {
            owners: states,
            next,
            runs: Vec::new(),
        }
    }

    /// Builds the call that asks `peer` for the owners whose state differs from this view, from
    /// the owner hash `from_hash` on.
    #[must_use]
    pub fn pull_call(&self, peer: SocketAddr, from_hash: u32) -> InstancesCall {
        let region = self.view.own().region.clone();
        let member = self.view.members().live_by_address(peer);
        let is_same_region = member.is_none_or(|record| record.region == region);
        let mut known = self.view.owner_digests(&all_owners(is_same_region));
        known.retain(|digest| digest.owner >= from_hash);
        InstancesCall::Pull {
            from: from_hash,
            region,
            known,
        }
    }

    /// Merges a page of a pull reply without gossiping its records further.
    pub fn merge_pull_page(
        &mut self,
        owners: &[OwnerState],
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Vec<GossipAction> {
        let mut context = GossipContext::open(now, rng);
        for state in owners {
            if !self.forward_accusation(&state.member, None, &mut context) {
                self.merge_member(&state.member, false, &mut context);
            }
            for record in &state.instances {
                self.merge_record(record, false, &mut context);
            }
        }
        context.actions
    }

    /// Stores the records of a service that a daemon of another region returned.
    pub fn store_remote_service(
        &mut self,
        service: &ServiceId,
        region: RegionId,
        records: Vec<InstanceRecord>,
    ) {
        self.remote_services.store(service, region, records);
    }

    /// Compares a peer's bucket digest with the own one. Answers a difference with a summary,
    /// and with a pull after `DIFFERENCES_BEFORE_PULL` differences in a row.
    pub(super) fn compare_digest(
        &mut self,
        digest: &BucketDigest,
        message: &GossipMessage,
        from: SocketAddr,
        context: &mut GossipContext<'_>,
    ) {
        // Daemons keep instance records of their own region only, so digests over records of
        // another region cannot be compared.
        if digest.covers_instances && !self.is_same_region(&message.sender) {
            return;
        }
        let own = self.view.bucket_digest(digest);
        if own.digest == digest.digest {
            self.consecutive_differences = 0;
            return;
        }
        self.counters.differing_buckets += 1;
        self.consecutive_differences += 1;
        let is_starting = !self.zones.joined_at.has_passed(context.now);
        let (differences, interval) = match is_starting && self.is_in_own_zone(&message.sender) {
            true => (1, ZONE_PULL_INTERVAL),
            false => (DIFFERENCES_BEFORE_PULL, PULL_INTERVAL),
        };
        if self.consecutive_differences >= differences && self.next_pull_at.has_passed(context.now)
        {
            self.next_pull_at = context.now.after(interval);
            context.actions.push(GossipAction::PullView(from));
        }
        let summary = self.summary(digest, true);
        self.send(from, Some(&message.sender), summary, context);
    }

    fn summary(&self, bucket: &BucketDigest, wants_answer: bool) -> GossipBody {
        let mut owners = self.view.owner_digests(bucket);
        owners.truncate(MAX_SUMMARY_OWNERS);
        GossipBody::Summary {
            bucket: *bucket,
            owners,
            wants_reply: wants_answer,
        }
    }

    /// Sends a peer the states of the owners whose digests differ from its own.
    pub(super) fn send_differences(
        &self,
        bucket: &BucketDigest,
        theirs: &[OwnerDigest],
        wants_answer: bool,
        from: SocketAddr,
        context: &mut GossipContext<'_>,
    ) {
        let mut states = self.view.differing_owners(bucket, theirs);
        context.rng.shuffle(&mut states);
        for message in self
            .split_into_messages(&states)
            .into_iter()
            .take(MAX_REPAIR_DATAGRAMS)
        {
            context
                .actions
                .push(GossipAction::Send { to: from, message });
        }
        if wants_answer {
            let message = self.empty_message(self.summary(bucket, false));
            context
                .actions
                .push(GossipAction::Send { to: from, message });
        }
    }

    /// Packs the states into as few messages as the datagram size allows.
    fn split_into_messages(&self, states: &[OwnerState]) -> Vec<GossipMessage> {
        let mut messages = Vec::new();
        let mut builder = MessageBuilder::open(self.empty_message(GossipBody::Push));
        for state in states {
            if !builder.add_member(&state.member) {
                messages.push(self.flush(&mut builder));
                builder.add_member(&state.member);
            }
            for record in &state.instances {
                if !builder.add_instance(record) {
                    messages.push(self.flush(&mut builder));
                    builder.add_instance(record);
                }
            }
        }
        if !builder.is_empty() {
            messages.push(builder.build());
        }
        messages
    }

    fn flush(&self, builder: &mut MessageBuilder) -> GossipMessage {
        let fresh = MessageBuilder::open(self.empty_message(GossipBody::Push));
        std::mem::replace(builder, fresh).build()
    }

    /// Pulls the whole view from the first daemon that sends a message, and again from the
    /// first one of the own region, because others do not hold the region's instances.
    pub(super) fn pull_after_join(
        &mut self,
        sender: &DaemonId,
        from: SocketAddr,
        context: &mut GossipContext<'_>,
    ) {
        if self.zones.relays.is_on() {
            self.pull_zone(sender, from, context);
            return;
        }
        let is_same_region = self.is_same_region(sender);
        if self.has_pulled_region || (self.has_pulled && !is_same_region) {
            return;
        }
        self.has_pulled = true;
        self.has_pulled_region = is_same_region;
        self.next_pull_at = context.now.after(PULL_INTERVAL);
        context.actions.push(GossipAction::PullView(from));
    }

    /// Whether `daemon` is a known member of the own region.
    pub(super) fn is_same_region(&self, daemon: &DaemonId) -> bool {
        let member = self.view.member(daemon);
        member.is_some_and(|member| member.region == self.view.own().region)
    }
}

/// Returns the bucket that contains every owner, with an empty digest.
const fn all_owners(covers_records: bool) -> BucketDigest {
    BucketDigest {
        bits: 0,
        bucket: 0,
        covers_instances: covers_records,
        digest: 0,
    }
}
