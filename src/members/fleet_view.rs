//! This daemon's view of the fleet: members and instance records.

use std::rc::Rc;

use crate::hash::{FastMap, FastSet};
use crate::ids::{DaemonId, ServiceId};
use crate::members::{
    LiveMember, MemberChange, MemberTable, NameDigest, RecordChange, RecordTable,
};
use crate::time::MonoTime;
use crate::wire::{InstanceRecord, MemberRecord};

/// This daemon's own record, the other members and the instance records.
///
/// Caches the records of each service until a change of them or of their daemons' liveness.
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
    /// Creates a view that contains only this daemon.
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

    /// Returns the hash by which the owners of records are ordered and assigned to buckets.
    #[must_use]
    pub fn owner_hash(daemon: &DaemonId) -> u32 {
        NameDigest::of(daemon.as_str(), 0).low()
    }

    /// Returns this daemon's own record.
    #[must_use]
    pub const fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Replaces this daemon's own record.
    pub fn set_own(&mut self, own: MemberRecord) {
        self.own = own;
    }

    /// Returns the other members.
    #[must_use]
    pub const fn members(&self) -> &MemberTable {
        &self.members
    }

    /// Returns the instance records.
    #[must_use]
    pub const fn records(&self) -> &RecordTable {
        &self.records
    }

    /// Records that a datagram came from `daemon` at `now`.
    pub fn mark_heard(&mut self, daemon: &DaemonId, now: MonoTime) {
        self.members.mark_heard(daemon, now);
    }

    /// Returns the record of `daemon`, which may be this daemon.
    #[must_use]
    pub fn member(&self, daemon: &DaemonId) -> Option<&MemberRecord> {
        if *daemon == self.own.daemon {
            return Some(&self.own);
        }
        self.members.get(daemon).map(|entry| &entry.record)
    }

    /// Whether `daemon` is a live member or this daemon itself.
    #[must_use]
    pub fn is_live(&self, daemon: &DaemonId) -> bool {
        *daemon == self.own.daemon || self.members.is_live(daemon)
    }

    /// Merges a record of another daemon. `consecutive_failures` lengthens the timeout of a
    /// suspicion that the record starts.
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

    /// Merges an instance record.
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

    /// Returns the live members, this daemon first.
    #[must_use]
    pub fn live(&self) -> Vec<LiveMember> {
        let others = self.members.live().map(LiveMember::from);
        std::iter::once(LiveMember::from(&self.own))
            .chain(others)
            .collect()
    }

    /// Returns the records of `service` whose daemons are live, ordered by instance.
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

    /// Drops members whose retention after death has ended, with their records, and gone records
    /// whose retention has ended.
    pub fn purge(&mut self, now: MonoTime) {
        for daemon in self.members.purge_dead(now) {
            self.records.remove_owner(&daemon);
        }
        self.records.purge_tombstones(now);
        self.purge_unknown_owners();
    }

    /// Drops records whose daemons were unknown in the last purge and still are.
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
