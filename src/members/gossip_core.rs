//! State machine of the SWIM membership protocol, without I/O.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::{Incarnation, InstanceId, Revision, ServiceId, ZoneId};
use crate::members::gossip_context::GossipContext;
use crate::members::gossip_send::PushScope;
use crate::members::zone_state::ZoneState;
use crate::members::{
    ChangeKey, ChangeQueue, FailureDetector, FleetView, GossipAction, GossipCounters,
    IndirectProbes, LiveMember, LocalRecords, RemoteServices,
};
use crate::time::{Deadline, MonoTime};
use crate::wire::{InstancePhase, InstanceRecord, MemberRecord, MemberState, RunReport};

const MAX_BOOTSTRAP_ADDRESSES: usize = 64;
// Members that a leaving daemon tells directly.
const LEAVE_FANOUT: usize = 8;
// Latest reports on requests that the own record carries. Those before are known to the fleet; a daemon
// that starts hears of them by a pull.
const MAX_RUNS: usize = 12;
// Time after its last report after which the own record carries none any more: a daemon that hears of an
// old report would count it as new.
const RUNS_RETENTION: Duration = Duration::from_secs(600);
// Interval between removals of dead members and gone records whose retention has ended.
const PURGE_INTERVAL: Duration = Duration::from_secs(30);

/// Turns messages and time into `GossipAction`s and keeps the view of the fleet.
///
/// The caller supplies the time and the random generator, and carries out the actions.
#[derive(Debug)]
pub struct GossipCore {
    pub(super) view: FleetView,
    pub(super) detector: FailureDetector,
    pub(super) queue: ChangeQueue,
    pub(super) indirect_probes: IndirectProbes,
    pub(super) local_records: LocalRecords,
    pub(super) counters: GossipCounters,
    pub(super) revision: Revision,
    // Whether a pull was requested from any daemon, and from one of the own region.
    pub(super) has_pulled: bool,
    pub(super) has_pulled_region: bool,
    pub(super) remote_services: RemoteServices,
    pub(super) consecutive_differences: u32,
    pub(super) next_pull_at: Deadline,
    pub(super) last_received: MonoTime,
    pub(super) bootstrap_addresses: Vec<SocketAddr>,
    // Number of configured seeds, which come first in `bootstrap_addresses`.
    seed_count: usize,
    pub(super) reconnect_at: Deadline,
    pub(super) zones: ZoneState,
    /// Zones of the bootstrap addresses, where they are known.
    pub(super) bootstrap_zones: FastMap<SocketAddr, ZoneId>,
    purge_at: Deadline,
    runs_expiry: Deadline,
}

impl GossipCore {
    /// Creates the state of a daemon that knows only itself and `bootstrap_addresses`.
    ///
    /// `own` should have a higher incarnation than the records of the daemon's earlier boots.
    /// If it has not, the daemon raises it when it first hears of such a record.
    #[must_use]
    pub fn open(
        own: MemberRecord,
        bootstrap_addresses: Vec<SocketAddr>,
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Self {
        let mut queue = ChangeQueue::default();
        queue.push(ChangeKey::Member(own.daemon.clone()));
        let idle_rng = &mut fastrand::Rng::with_seed(0);
        let mut core = Self {
            zones: ZoneState::open(&own, 0, now, idle_rng),
            bootstrap_zones: FastMap::default(),
            detector: FailureDetector::open(own.region.clone(), now, rng),
            local_records: LocalRecords::open(own.incarnation),
            view: FleetView::open(own),
            queue,
            indirect_probes: IndirectProbes::default(),
            counters: GossipCounters::default(),
            revision: Revision::default(),
            has_pulled: false,
            has_pulled_region: false,
            remote_services: RemoteServices::default(),
            consecutive_differences: 0,
            next_pull_at: Deadline::at(now),
            last_received: now,
            bootstrap_addresses: Vec::new(),
            seed_count: 0,
            reconnect_at: Deadline::at(now),
            purge_at: now.after(PURGE_INTERVAL),
            runs_expiry: now.after(RUNS_RETENTION),
        };
        core.add_bootstrap_addresses(bootstrap_addresses);
        // Configured seeds are never evicted in favour of addresses discovered later.
        core.seed_count = core
            .bootstrap_addresses
            .len()
            .min(MAX_BOOTSTRAP_ADDRESSES - 1);
        core
    }

    /// Makes membership pass between zones through `count` relays of each; 0 means without relays.
    ///
    /// Must be called before the first message.
    pub fn set_relays(&mut self, count: usize, now: MonoTime, rng: &mut fastrand::Rng) {
        self.zones = ZoneState::open(self.view.own(), count, now, rng);
    }

    /// Adds addresses of daemons whose zones are known, as `add_bootstrap_addresses`.
    pub fn add_bootstrap_rows(&mut self, rows: Vec<(SocketAddr, ZoneId)>) {
        let addresses = rows.iter().map(|(address, _)| *address).collect();
        self.bootstrap_zones.extend(rows);
        self.add_bootstrap_addresses(addresses);
        let kept = &self.bootstrap_addresses;
        self.bootstrap_zones
            .retain(|address, _| kept.contains(address));
    }

    /// Adds addresses of daemons to ping until they are members; the oldest discovered ones
    /// are evicted when the list is full.
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

    /// Lets the next tick ping bootstrap addresses, if no other member is live.
    pub fn reconnect_now(&mut self) {
        if self.view.members().live_count() == 0 {
            self.reconnect_at = Deadline::at(MonoTime::ZERO);
        }
    }

    /// Sets the configuration revision that outgoing messages advertise.
    pub const fn set_revision(&mut self, revision: Revision) {
        self.revision = revision;
    }

    /// Runs the timers that are due at `now`: probes, suspicions, reconnects, refreshes and purges.
    pub fn tick(&mut self, now: MonoTime, rng: &mut fastrand::Rng) -> Vec<GossipAction> {
        let context = &mut GossipContext::open(now, rng);
        self.indirect_probes.expire(now);
        self.tick_zones(context);
        self.probe_members(context);
        self.expire_suspicions(now);
        self.publish_expired_orphans(context);
        self.reconnect(context);
        self.refresh_remote(context);
        self.cross_zones(context);
        if self.purge_at.has_passed(now) {
            self.purge_at = now.after(PURGE_INTERVAL);
            self.view.purge(now);
        }
        if self.runs_expiry.has_passed(now) && !self.view.own().runs.is_empty() {
            let own = MemberRecord {
                incarnation: self.view.own().incarnation.next(),
                runs: Vec::new(),
                ..self.view.own().clone()
            };
            self.queue.push(ChangeKey::Member(own.daemon.clone()));
            self.view.set_own(own);
        }
        std::mem::take(&mut context.actions)
    }

    /// Publishes the record of a local instance, unless it is equivalent to the published one.
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
            self.push_record(&issued, &mut context);
            self.cross_urgent(&mut context);
        }
        context.actions
    }

    /// Publishes reports on requests that may end instances, at once and to the whole fleet.
    pub fn publish_runs(
        &mut self,
        reports: &[RunReport],
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Vec<GossipAction> {
        let mut own = self.view.own().clone();
        own.incarnation = own.incarnation.next();
        own.runs.extend_from_slice(reports);
        let surplus = own.runs.len().saturating_sub(MAX_RUNS);
        own.runs.drain(..surplus);
        self.runs_expiry = now.after(RUNS_RETENTION);
        let key = ChangeKey::Member(own.daemon.clone());
        self.view.set_own(own);
        self.queue.push_urgent(key.clone());
        let mut context = GossipContext::open(now, rng);
        self.push_to_some(self.forward_fanout(), PushScope::Fleet, &mut context);
        self.schedule_repeat(now);
        self.note_crossing(&key, now);
        self.cross_urgent(&mut context);
        context.actions
    }

    /// Publishes that a local instance is gone.
    pub fn remove(
        &mut self,
        instance: &InstanceId,
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Vec<GossipAction> {
        let mut context = GossipContext::open(now, rng);
        if let Some(record) = self.local_records.remove(instance) {
            self.publish_gone(record, &mut context);
            self.cross_urgent(&mut context);
        }
        context.actions
    }

    /// Marks this daemon as left and pushes that to several members.
    pub fn leave(&mut self, now: MonoTime, rng: &mut fastrand::Rng) -> Vec<GossipAction> {
        let left = self.view.own().with_state(MemberState::Left);
        self.queue
            .push_urgent(ChangeKey::Member(left.daemon.clone()));
        let key = ChangeKey::Member(left.daemon.clone());
        self.view.set_own(left);
        let mut context = GossipContext::open(now, rng);
        self.push_to_some(LEAVE_FANOUT, PushScope::Fleet, &mut context);
        self.note_crossing(&key, now);
        self.cross_urgent(&mut context);
        context.actions
    }

    /// Returns the live members, this daemon first.
    #[must_use]
    pub fn live(&self) -> Vec<LiveMember> {
        self.view.live()
    }

    /// Returns the records of `service` whose daemons are live.
    ///
    /// When this daemon's region has no ready instance, the cached records of other regions
    /// are added, and `tick` keeps refreshing them.
    pub fn instances_of(&mut self, service: &ServiceId, now: MonoTime) -> Rc<[InstanceRecord]> {
        let local = self.view.instances_of(service);
        let is_ready = |record: &InstanceRecord| record.phase == InstancePhase::Ready;
        if local.iter().any(is_ready) {
            return local;
        }
        self.instances_of_regions(service, now)
    }

    /// Returns the records of `service` whose daemons are live, with those of other regions, which
    /// `tick` keeps refreshing.
    pub fn instances_of_regions(
        &mut self,
        service: &ServiceId,
        now: MonoTime,
    ) -> Rc<[InstanceRecord]> {
        let local = self.view.instances_of(service);
        let remote = self.remote_services.lookup(service, now);
        let remote = remote
            .iter()
            .filter(|record| self.view.is_live(&record.daemon));
        local.iter().chain(remote).cloned().collect()
    }

    /// Returns this daemon's view of the fleet.
    #[must_use]
    pub const fn view(&self) -> &FleetView {
        &self.view
    }

    /// Returns the protocol counters since the start of the process.
    #[must_use]
    pub const fn counters(&self) -> &GossipCounters {
        &self.counters
    }

    /// Returns the counters for update by the caller, which sends and receives the datagrams.
    pub const fn counters_mut(&mut self) -> &mut GossipCounters {
        &mut self.counters
    }

    /// Whether this daemon acts as a relay between zones at `now`.
    #[must_use]
    pub fn is_relay(&self, now: MonoTime) -> bool {
        self.zones.relays.is_relay(now)
    }

    /// The zones that no relay of the own zone reaches, so that they are contacted directly.
    pub fn open_zones(&self) -> impl Iterator<Item = &ZoneId> {
        self.zones.open_zones.iter()
    }

    /// Returns the number of changes that are still piggybacked on outgoing messages.
    #[must_use]
    pub fn queued_changes(&self) -> usize {
        self.queue.len()
    }

    /// Returns the incarnation of this daemon's own record.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.view.own().incarnation
    }
}
