//! This daemon's view of the fleet: members and instance records.

use std::cmp::Reverse;
use std::rc::Rc;
use std::time::Duration;

use crate::hash::{FastMap, name_hash, rendezvous_score};
use crate::ids::{DaemonId, ServiceId};
use crate::members::{
    LiveMember, MemberChange, MemberTable, NameDigest, RecordChange, RecordTable,
};
use crate::time::MonoTime;
use crate::wire::{InstancePhase, InstanceRecord, MemberRecord};

/// Time in which a daemon that published a record must become known as a member.
const UNKNOWN_OWNER_RETENTION: Duration = Duration::from_secs(30);

/// Most instances of a service that this daemon sends requests to. Each daemon has others, so that
/// together they reach all; its connections and the work for a request do not grow with the fleet.
pub const MAX_NEAR_INSTANCES: usize = 64;
/// Most of them in this daemon's own availability zone, unless the other zones have too few.
const MAX_LOCAL_INSTANCES: usize = 40;

/// This daemon's own record, the other members and the instance records.
///
/// Keeps the records of the instances of each service that this daemon sends requests to. Their set
/// is computed again when instances or daemons come and go; other changes are put in place.
#[derive(Debug)]
pub struct FleetView {
    pub(super) own: MemberRecord,
    pub(super) own_hash: u32,
    pub(super) members: MemberTable,
    pub(super) records: RecordTable,
    cache: FastMap<ServiceId, Rc<[InstanceRecord]>>,
    /// Daemons that published a record before they were known, with the time of the first one.
    unknown_owners: FastMap<DaemonId, MonoTime>,
    liveness_version: u64,
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
            unknown_owners: FastMap::default(),
            liveness_version: 0,
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
        let earlier = self.members.get(&record.daemon);
        let earlier = earlier.map(|entry| entry.record.address);
        let change = self.members.merge(record, consecutive_failures, now);
        let has_moved = change == MemberChange::Newer && earlier != Some(record.address);
        if change == MemberChange::LivenessChanged || has_moved {
            self.liveness_version += 1;
        }
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
        let earlier = earlier.map(|known| (known.service.clone(), known.phase));
        let change = self.records.merge(record, now);
        if change == RecordChange::Newer && self.member(&record.daemon).is_none() {
            let owner = record.daemon.clone();
            self.unknown_owners.entry(owner).or_insert(now);
        }
        if change == RecordChange::Newer {
            self.update_cache(record, earlier);
        }
        change
    }

    /// Puts a record in place of the `earlier` one of the instance, or drops the cached set if the
    /// instance comes or goes.
    fn update_cache(
        &mut self,
        record: &InstanceRecord,
        earlier: Option<(ServiceId, InstancePhase)>,
    ) {
        let is_present = record.phase != InstancePhase::Gone;
        let was_present = earlier.as_ref().is_some_and(|(service, phase)| {
            *service == record.service && *phase != InstancePhase::Gone
        });
        if is_present && was_present {
            let cached = self.cache.get_mut(&record.service);
            let position = cached.as_ref().and_then(|cached| {
                let found = cached.binary_search_by(|other| other.instance.cmp(&record.instance));
                found.ok()
            });
            if let (Some(cached), Some(position)) = (cached, position) {
                let is_moved = cached[position].daemon != record.daemon;
                Rc::make_mut(cached)[position] = record.clone();
                if is_moved {
                    self.cache.remove(&record.service);
                }
            }
            return;
        }
        self.cache.remove(&record.service);
        earlier.map(|(service, _)| self.cache.remove(&service));
    }

    /// Returns a number that changes whenever a daemon joins, moves or stops being live.
    #[must_use]
    pub const fn liveness_version(&self) -> u64 {
        self.liveness_version
    }

    /// Returns the live members, this daemon first.
    #[must_use]
    pub fn live(&self) -> Vec<LiveMember> {
        let others = self.members.live().map(LiveMember::from);
        std::iter::once(LiveMember::from(&self.own))
            .chain(others)
            .collect()
    }

    /// Returns the records of the instances of `service` that this daemon sends requests to, ordered
    /// by instance. Their daemons are live.
    pub fn instances_of(&mut self, service: &ServiceId) -> Rc<[InstanceRecord]> {
        if let Some(cached) = self.cache.get(service) {
            return Rc::clone(cached);
        }
        let found: Rc<[InstanceRecord]> = self.near_instances(service).cloned().collect();
        self.cache.insert(service.clone(), Rc::clone(&found));
        found
    }

    /// Returns the live records of `service`, or `MAX_NEAR_INSTANCES` of them by a hash of both
    /// names, those of the own zone first.
    fn near_instances(&self, service: &ServiceId) -> impl Iterator<Item = &InstanceRecord> {
        let records = self.records.of_service(service).into_iter();
        let mut live: Vec<_> = records
            .filter(|record| self.is_live(&record.daemon))
            .collect();
        if live.len() > MAX_NEAR_INSTANCES {
            let salt = name_hash(self.own.daemon.as_str());
            let score = |record: &&InstanceRecord| {
                Reverse(rendezvous_score(record.instance.as_str(), salt))
            };
            let is_local = |record: &&InstanceRecord| record.zone == self.own.zone;
            let (mut local, mut remote): (Vec<_>, Vec<_>) = live.into_iter().partition(is_local);
            local.sort_by_cached_key(score);
            remote.sort_by_cached_key(score);
            let missing = MAX_NEAR_INSTANCES.saturating_sub(remote.len());
            local.truncate(MAX_LOCAL_INSTANCES.max(missing));
            remote.truncate(MAX_NEAR_INSTANCES - local.len().min(MAX_NEAR_INSTANCES));
            live = local.into_iter().chain(remote).collect();
            live.sort_unstable_by(|left, right| left.instance.cmp(&right.instance));
        }
        live.into_iter()
    }

    /// Drops members whose retention after death has ended, with their records, and gone records
    /// whose retention has ended.
    pub fn purge(&mut self, now: MonoTime) {
        for daemon in self.members.purge_dead(now) {
            self.records.remove_owner(&daemon);
            self.unknown_owners.remove(&daemon);
        }
        self.records.purge_tombstones(now);
        self.purge_unknown_owners(now);
    }

    /// Drops the records of daemons that are still unknown after `UNKNOWN_OWNER_RETENTION`.
    fn purge_unknown_owners(&mut self, now: MonoTime) {
        let unknown = std::mem::take(&mut self.unknown_owners);
        for (daemon, since) in unknown {
            if self.member(&daemon).is_some() {
                continue;
            }
            match now.since(since) >= UNKNOWN_OWNER_RETENTION {
                true => self.records.remove_owner(&daemon),
                false => _ = self.unknown_owners.insert(daemon, since),
            }
        }
    }
}
