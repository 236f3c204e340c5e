//! The membership protocol as a state machine.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::ids::{Incarnation, InstanceId, Revision, ServiceId};
use crate::members::gossip_context::GossipContext;
use crate::members::gossip_send::PushScope;
use crate::members::{
    ChangeKey, ChangeQueue, FailureDetector, FleetView, GossipAction, GossipCounters,
    IndirectProbes, LiveMember, LocalRecords, RemoteServices,
};
use crate::time::{Deadline, MonoTime};
use crate::wire::{InstancePhase, InstanceRecord, MemberRecord, MemberState};

const MAX_BOOTSTRAP_ADDRESSES: usize = 64;
const LEAVE_FANOUT: usize = 8;
const PURGE_INTERVAL: Duration = Duration::from_secs(30);

/// Decides what to send, and what to believe.
#[derive(Debug)]
pub struct GossipCore {
    pub(super) view: FleetView,
    pub(super) detector: FailureDetector,
    pub(super) queue: ChangeQueue,
    pub(super) indirect_probes: IndirectProbes,
    pub(super) local_records: LocalRecords,
    pub(super) counters: GossipCounters,
    pub(super) revision: Revision,
    pub(super) joined: bool,
    pub(super) joined_region: bool,
    pub(super) remote: RemoteServices,
    pub(super) consecutive_differences: u32,
    pub(super) next_pull_at: Deadline,
    pub(super) last_received: MonoTime,
    pub(super) bootstrap_addresses: Vec<SocketAddr>,
    seed_count: usize,
    pub(super) reconnect_at: Deadline,
    purge_at: Deadline,
}

impl GossipCore {
    /// A daemon that knows only itself and the addresses in `bootstrap_addresses`.
    ///
    /// The incarnation of `own` should lie above that of its earlier boots.
    #[must_use]
    pub fn open(
        own: MemberRecord,
        bootstrap_addresses: Vec<SocketAddr>,
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Self {
        let mut queue = ChangeQueue::default();
        queue.push(ChangeKey::Member(own.daemon.clone()));
        let mut core = Self {
            detector: FailureDetector::open(own.region.clone(), now, rng),
            local_records: LocalRecords::open(own.incarnation),
            view: FleetView::open(own),
            queue,
            indirect_probes: IndirectProbes::default(),
            counters: GossipCounters::default(),
            revision: Revision::default(),
            joined: false,
            joined_region: false,
            remote: RemoteServices::default(),
            consecutive_differences: 0,
            next_pull_at: Deadline::at(now),
            last_received: now,
            bootstrap_addresses: Vec::new(),
            seed_count: 0,
            reconnect_at: Deadline::at(now),
            purge_at: now.after(PURGE_INTERVAL),
        };
        core.add_bootstrap_addresses(bootstrap_addresses);
        // The seeds of the settings are never given up for addresses found later.
        core.seed_count = core
            .bootstrap_addresses
            .len()
            .min(MAX_BOOTSTRAP_ADDRESSES - 1);
        core
    }

    /// Adds addresses at which daemons may be found.
    pub fn add_bootstrap_addresses(&mut self, bootstrap_addresses: Vec<SocketAddr>) {
        let own = self.view.own().address;
        for address in bootstrap_addresses {
            if address == own || self.bootstrap_addresses.contains(&address) {
                continue;
            }
            if self.bootstrap_addresses.len() >= MAX_BOOTSTRAP_ADDRESSES {
                self.bootstrap_addresses.remove(self.seed_count);
            }
            self.bootstrap_addresses.push(address);
        }
    }

    /// Sets the configuration revision that messages carry.
    pub const fn set_revision(&mut self, revision: Revision) {
        self.revision = revision;
    }

    /// Moves on to `now`.
    pub fn tick(&mut self, now: MonoTime, rng: &mut fastrand::Rng) -> Vec<GossipAction> {
        let context = &mut GossipContext::open(now, rng);
        self.indirect_probes.expire(now);
        for action in self.detector.tick(self.view.members(), now, context.rng) {
            self.run_probe_action(action, context);
        }
        self.expire_suspicions(now);
        self.publish_expired_orphans(context);
        self.reconnect(context);
        self.refresh_remote(context);
        if self.purge_at.has_passed(now) {
            self.purge_at = now.after(PURGE_INTERVAL);
            self.view.purge(now);
        }
        std::mem::take(&mut context.actions)
    }

    /// Publishes the record of an instance beside this daemon.
    pub fn publish(
        &mut self,
        record: &InstanceRecord,
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Vec<GossipAction> {
        if let Some(known) = self.view.records().get(&record.instance) {
            self.local_records.advance_past(known.incarnation);
        }
        let mut context = GossipContext::open(now, rng);
        if let Some(issued) = self.local_records.publish(record) {
            self.announce(&issued, &mut context);
        }
        context.actions
    }

    /// Publishes that an instance beside this daemon is gone.
    pub fn remove(
        &mut self,
        instance: &InstanceId,
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Vec<GossipAction> {
        let mut context = GossipContext::open(now, rng);
        if let Some(record) = self.local_records.remove(instance) {
            self.publish_gone(record, &mut context);
        }
        context.actions
    }

    /// Tells several members at once that this daemon leaves.
    pub fn leave(&mut self, now: MonoTime, rng: &mut fastrand::Rng) -> Vec<GossipAction> {
        let left = self.view.own().in_state(MemberState::Left);
        self.queue
            .push_urgent(ChangeKey::Member(left.daemon.clone()));
        self.view.set_own(left);
        let mut context = GossipContext::open(now, rng);
        self.push_to_some(LEAVE_FANOUT, PushScope::Fleet, &mut context);
        context.actions
    }

    /// Every live member, this daemon first.
    #[must_use]
    pub fn live(&self) -> Vec<LiveMember> {
        self.view.live()
    }

    /// The records of `service` whose daemons are live.
    ///
    /// Those of other regions are looked for when the own region has none that is ready.
    pub fn instances_of(&mut self, service: &ServiceId, now: MonoTime) -> Rc<[InstanceRecord]> {
        let local = self.view.instances_of(service);
        let is_ready = |record: &InstanceRecord| record.phase == InstancePhase::Ready;
        if local.iter().any(is_ready) {
            return local;
        }
        let remote = self.remote.lookup(service, now);
        let remote = remote
            .iter()
            .filter(|record| self.view.is_live(&record.daemon));
        local.iter().chain(remote).cloned().collect()
    }

    /// What this daemon believes.
    #[must_use]
    pub const fn view(&self) -> &FleetView {
        &self.view
    }

    /// Counts since the start.
    #[must_use]
    pub const fn counters(&self) -> &GossipCounters {
        &self.counters
    }

    /// The counts, for the caller that sends and receives.
    pub const fn counters_mut(&mut self) -> &mut GossipCounters {
        &mut self.counters
    }

    /// Number of changes that still ride on messages.
    #[must_use]
    pub fn queued_changes(&self) -> usize {
        self.queue.len()
    }

    /// The stamp of this daemon's own record.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.view.own().incarnation
    }
}
