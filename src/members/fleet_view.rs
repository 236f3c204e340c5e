//! What this daemon believes of the fleet, itself included.

use std::rc::Rc;

use crate::hash::{FastMap, FastSet};
use crate::ids::{DaemonId, ServiceId};
use crate::members::{
    LiveMember, MemberChange, MemberTable, NameDigest, RecordChange, RecordTable,
};
use crate::time::MonoTime;
use crate::wire::{InstanceRecord, MemberRecord};

/// Members, instance records, and digests of both for comparison with peers.
#[derive(Debug)]
pub struct FleetView {
    pub(super) own: MemberRecord,
    pub(super) own_hash: u32,
    pub(super) members: MemberTable,
    pub(super) records: RecordTable,
    cache: FastMap<ServiceId, Rc<[InstanceRecord]>>,
    unknown_owners: FastSet<DaemonId>,
}

impl FleetView {
    /// A view that knows this daemon alone.
    #[must_use]
    pub fn open(own: MemberRecord) -> Self {
        Self {
            own_hash: Self::owner_hash(&own.daemon),
            own,
            members: MemberTable::default(),
            records: RecordTable::default(),
            cache: FastMap::default(),
            unknown_owners: FastSet::default(),
        }
    }

    /// The hash by which owners are ordered.
    #[must_use]
    pub fn owner_hash(daemon: &DaemonId) -> u32 {
        NameDigest::of(daemon.as_str(), 0).low()
    }

    /// This daemon's own record.
    #[must_use]
    pub const fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Replaces this daemon's own record.
    pub fn set_own(&mut self, own: MemberRecord) {
        self.own = own;
    }

    /// The other daemons.
    #[must_use]
    pub const fn members(&self) -> &MemberTable {
        &self.members
    }

    /// The instance records.
    #[must_use]
    pub const fn records(&self) -> &RecordTable {
        &self.records
    }

    /// Notes that a datagram came from `daemon`.
    pub fn mark_heard(&mut self, daemon: &DaemonId, now: MonoTime) {
        self.members.mark_heard(daemon, now);
    }

    /// The record of `daemon`, be it this one.
    #[must_use]
    pub fn member(&self, daemon: &DaemonId) -> Option<&MemberRecord> {
        if *daemon == self.own.daemon {
            return Some(&self.own);
        }
        self.members.get(daemon).map(|entry| &entry.record)
    }

    /// Whether the records of `daemon` count: it is live, or this daemon itself.
    #[must_use]
    pub fn is_live(&self, daemon: &DaemonId) -> bool {
        *daemon == self.own.daemon || self.members.is_live(daemon)
    }

    /// Takes in a record of another daemon.
    pub fn merge_member(
        &mut self,
        record: &MemberRecord,
        consecutive_failures: u32,
        now: MonoTime,
    ) -> MemberChange {
        let change = self.members.merge(record, consecutive_failures, now);
        if change == MemberChange::LivenessChanged {
            for owned in self.records.of_owner(&record.daemon) {
                self.cache.remove(&owned.service);
            }
        }
        change
    }

    /// Takes in a record of an instance.
    pub fn merge_record(&mut self, record: &InstanceRecord, now: MonoTime) -> RecordChange {
        let earlier = self.records.get(&record.instance);
        let earlier = earlier.map(|known| known.service.clone());
        let change = self.records.merge(record, now);
        if change == RecordChange::Newer {
            self.cache.remove(&record.service);
            earlier.map(|service| self.cache.remove(&service));
        }
        change
    }

    /// Every live member, this daemon first.
    #[must_use]
    pub fn live(&self) -> Vec<LiveMember> {
        let others = self.members.live().map(LiveMember::from);
        std::iter::once(LiveMember::from(&self.own))
            .chain(others)
            .collect()
    }

    /// The records of `service` whose daemons are live.
    pub fn instances_of(&mut self, service: &ServiceId) -> Rc<[InstanceRecord]> {
        if let Some(cached) = self.cache.get(service) {
            return Rc::clone(cached);
        }
        let records = self.records.of_service(service).into_iter();
        let live = records.filter(|record| self.is_live(&record.daemon));
        let found: Rc<[InstanceRecord]> = live.cloned().collect();
        self.cache.insert(service.clone(), Rc::clone(&found));
        found
    }

    /// Forgets members dead for long, their records, and records gone for long.
    pub fn purge(&mut self, now: MonoTime) {
        for daemon in self.members.purge_dead(now) {
            self.records.remove_owner(&daemon);
        }
        self.records.purge_tombstones(now);
        self.purge_unknown_owners();
    }

    /// Forgets records whose daemons stayed unknown since the last sweep.
    fn purge_unknown_owners(&mut self) {
        let unknown = self.records.owners();
        let unknown: FastSet<_> = unknown
            .filter(|daemon| self.member(daemon).is_none())
            .cloned()
            .collect();
        for daemon in self.unknown_owners.intersection(&unknown) {
            self.records.remove_owner(daemon);
        }
        self.unknown_owners = unknown;
    }
}
