//! Timers of `GossipCore`: suspicion expiry, orphan removal, reconnects and remote refreshes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{DaemonId, RegionId};
use crate::members::gossip_context::GossipContext;
use crate::members::gossip_send::PushScope;
use crate::members::{ChangeKey, GossipAction, GossipCore, MemberChange};
use crate::time::MonoTime;
use crate::wire::{InstancePhase, InstanceRecord, MemberState};

// Members of the own region that are told of a newly published record directly.
const PUBLISH_FANOUT: usize = 4;
const RECONNECT_INTERVAL: Duration = Duration::from_secs(5);
// Reconnect interval while no other member is live.
const ISOLATED_RECONNECT_INTERVAL: Duration = Duration::from_secs(1);
// Time without any message after which this daemon counts as isolated.
const MAX_SILENCE: Duration = Duration::from_millis(2500);
// Added to every suspicion timeout while this daemon counts as isolated.
const ISOLATION_GRACE: Duration = Duration::from_secs(30);

impl GossipCore {
    /// Merges a newly issued record of a local instance and pushes it to the region.
    pub(super) fn push_record(&mut self, record: &InstanceRecord, context: &mut GossipContext<'_>) {
        self.view.merge_record(record, context.now);
        let key = ChangeKey::Instance(record.instance.clone());
        self.note_crossing(&key, context.now);
        self.queue.push_urgent(key);
        self.push_to_some(PUBLISH_FANOUT, PushScope::Region, context);
    }

    /// Publishes that the instance of `record` is gone, under the next incarnation.
    pub(super) fn publish_gone(
        &mut self,
        mut record: InstanceRecord,
        context: &mut GossipContext<'_>,
    ) {
        record.phase = InstancePhase::Gone;
        record.incarnation = self.local_records.next_incarnation();
        self.push_record(&record, context);
    }

    /// Marks members as dead whose suspicion was not refuted in time.
    pub(super) fn expire_suspicions(&mut self, now: MonoTime) {
        // An isolated daemon keeps its view longer: the others are likely alive.
        let is_isolated =
            self.detector.is_isolated() || now.since(self.last_received) > MAX_SILENCE;
        let grace = match is_isolated {
            true => ISOLATION_GRACE,
            false => Duration::ZERO,
        };
        for record in self.view.members().expired_suspicions(grace, now) {
            let dead = record.with_state(MemberState::Dead);
            let change = self.merge_into_view(&dead, 0, now);
            debug_assert_eq!(change, MemberChange::LivenessChanged);
            self.counters.deaths += 1;
            let key = ChangeKey::Member(dead.daemon);
            self.note_crossing(&key, now);
            self.queue.push_urgent(key);
        }
    }

    /// Publishes as gone the instances of an earlier boot that did not announce themselves again.
    pub(super) fn publish_expired_orphans(&mut self, context: &mut GossipContext<'_>) {
        for orphan in self.local_records.take_expired_orphans(context.now) {
            self.publish_gone(orphan, context);
        }
    }

    /// Pings bootstrap addresses and dead members that are not live, so that partitions heal.
    pub(super) fn reconnect(&mut self, context: &mut GossipContext<'_>) {
        if !self.reconnect_at.has_passed(context.now) {
            return;
        }
        let is_alone = self.view.members().live_count() == 0;
        let (interval, most) = match is_alone || self.lacks_zone(context.now) {
            true => (ISOLATED_RECONNECT_INTERVAL, 3),
            false => (RECONNECT_INTERVAL, 1),
        };
        self.reconnect_at = context.now.after(interval);
        let mut candidates = self.reconnect_candidates(context.now);
        context.rng.shuffle(&mut candidates);
        for (address, daemon) in candidates.into_iter().take(most) {
            self.ping(address, daemon.as_ref(), context);
        }
    }

    fn reconnect_candidates(&self, now: MonoTime) -> Vec<(SocketAddr, Option<DaemonId>)> {
        let members = self.view.members();
        let dead = members.dead();
        let dead = dead.filter(|record| self.may_contact_zone(&record.zone, now));
        let dead = dead.map(|record| (record.address, Some(record.daemon.clone())));
        let bootstrap_addresses = self
            .bootstrap_addresses
            .iter()
            .map(|address| (*address, None));
        let mut candidates: Vec<_> = dead
            .chain(bootstrap_addresses)
            .filter(|(address, _)| members.live_by_address(*address).is_none())
            .collect();
        self.keep_near_candidates(&mut candidates, now);
        candidates.sort_unstable();
        candidates
    }

    /// Pulls the services due for a refresh from a daemon of each other region.
    pub(super) fn refresh_remote(&mut self, context: &mut GossipContext<'_>) {
        for service in self.remote_services.take_due(context.now) {
            for (region, peer) in self.sample_remote_peers(context) {
                let service = service.clone();
                context.actions.push(GossipAction::PullService {
                    service,
                    region,
                    peer,
                });
            }
        }
    }

    /// Draws the address of a random live member of each other region.
    fn sample_remote_peers(
        &self,
        context: &mut GossipContext<'_>,
    ) -> BTreeMap<RegionId, SocketAddr> {
        let own = &self.view.own().region;
        let remote = self.view.members().live();
        let mut remote: Vec<_> = remote.filter(|record| record.region != *own).collect();
        remote.sort_unstable_by(|left, right| left.daemon.cmp(&right.daemon));
        context.rng.shuffle(&mut remote);
        remote
            .into_iter()
            .map(|record| (record.region.clone(), record.address))
            .collect()
    }
}
