//! Table of the instance records that daemons have published.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use crate::hash::{FastMap, FastSet};
use crate::ids::{DaemonId, Incarnation, InstanceId, InstanceRun, RegionId, ServiceId, ZoneId};
use crate::members::NameDigest;
use crate::time::{Deadline, MonoTime};
use crate::wire::{InstancePhase, InstanceRecord};

// Time that a gone record is kept, so that older records do not revive the instance.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(600);

/// Effect of merging an instance record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordChange {
    /// The record is older than the known one and was ignored.
    Stale,
    /// The record has the incarnation of the known one and was ignored.
    Same,
    /// The record is newer and was stored.
    Newer,
}

#[derive(Debug, Default)]
struct OwnerRecords {
    instances: Vec<InstanceId>,
    digest: u64,
}

/// Newest record of each instance, indexed by instance, owner and service.
#[derive(Debug, Default)]
pub struct RecordTable {
    records: FastMap<InstanceId, InstanceRecord>,
    owners: FastMap<DaemonId, OwnerRecords>,
    services: FastMap<ServiceId, BTreeSet<InstanceId>>,
    zones: FastSet<ZoneId>,
    regions: FastSet<RegionId>,
    tombstones: VecDeque<(Deadline, InstanceId, Incarnation)>,
}

impl RecordTable {
    /// Merges a record; only a higher incarnation replaces the known record of the instance.
    ///
    /// A record that knows of no leave keeps the one of the record it replaces: the daemon that published
    /// both may have lost it in a restart.
    pub fn merge(&mut self, record: &InstanceRecord, now: MonoTime) -> RecordChange {
        let mut left_run = record.left_run;
        if let Some(known) = self.records.get(&record.instance) {
            if record.incarnation < known.incarnation {
                return RecordChange::Stale;
            }
            if record.incarnation == known.incarnation {
                return RecordChange::Same;
            }
            if known.daemon == record.daemon {
                left_run = left_run.or(known.left_run);
            }
        }
        self.remove(&record.instance.clone());
        if record.phase == InstancePhase::Gone {
            let end = now.after(TOMBSTONE_RETENTION);
            let tombstone = (end, record.instance.clone(), record.incarnation);
            self.tombstones.push_back(tombstone);
        }
        self.insert(record, left_run);
        RecordChange::Newer
    }

    /// Returns the record of `instance`, which may be gone.
    #[must_use]
    pub fn get(&self, instance: &InstanceId) -> Option<&InstanceRecord> {
        self.records.get(instance)
    }

    /// Returns the records of `service` that are not gone, ordered by instance.
    #[must_use]
    pub fn of_service(&self, service: &ServiceId) -> Vec<&InstanceRecord> {
        let instances = self.services.get(service).into_iter().flatten();
        let records = instances.filter_map(|instance| self.records.get(instance));
        records
            .filter(|record| record.phase != InstancePhase::Gone)
            .collect()
    }

    /// Iterates over the records that `daemon` published, gone ones included.
    pub fn of_owner(&self, daemon: &DaemonId) -> impl Iterator<Item = &InstanceRecord> {
        let owned = self.owners.get(daemon).into_iter();
        owned
            .flat_map(|owner| &owner.instances)
            .filter_map(|instance| self.records.get(instance))
    }

    /// Iterates over the daemons that published a record.
    pub fn owners(&self) -> impl Iterator<Item = &DaemonId> {
        self.owners.keys()
    }

    /// Returns the digest of the records of `daemon` that are not gone, 0 when there are none.
    #[must_use]
    pub fn digest_of(&self, daemon: &DaemonId) -> u64 {
        self.owners.get(daemon).map_or(0, |owner| owner.digest)
    }

    /// Returns the number of records, gone ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the table contains no record, not even a gone one.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Removes all records of `daemon`.
    pub fn remove_owner(&mut self, daemon: &DaemonId) {
        let instances = match self.owners.get(daemon) {
            Some(owner) => owner.instances.clone(),
            None => return,
        };
        for instance in &instances {
            self.remove(instance);
        }
    }

    /// Removes records that have been gone for `TOMBSTONE_RETENTION`.
    pub fn purge_tombstones(&mut self, now: MonoTime) {
        while let Some((end, ..)) = self.tombstones.front()
            && end.has_passed(now)
        {
            let Some((_, instance, incarnation)) = self.tombstones.pop_front() else {
                return;
            };
            let known = self.records.get(&instance);
            if known.is_some_and(|record| record.incarnation == incarnation) {
                self.remove(&instance);
            }
        }
    }

    fn insert(&mut self, record: &InstanceRecord, left_run: Option<InstanceRun>) {
        let mut record = self.intern_names(record);
        record.left_run = left_run;
        let owner = self.owners.entry(record.daemon.clone()).or_default();
        owner.instances.push(record.instance.clone());
        owner.digest ^= digest_of(&record);
        let service = self.services.entry(record.service.clone()).or_default();
        service.insert(record.instance.clone());
        self.records.insert(record.instance.clone(), record);
    }

    fn remove(&mut self, instance: &InstanceId) {
        let Some(record) = self.records.remove(instance) else {
            return;
        };
        if let Some(owner) = self.owners.get_mut(&record.daemon) {
            owner.instances.retain(|other| other != instance);
            owner.digest ^= digest_of(&record);
            if owner.instances.is_empty() {
                self.owners.remove(&record.daemon);
            }
        }
        if let Some(service) = self.services.get_mut(&record.service) {
            service.remove(instance);
            if service.is_empty() {
                self.services.remove(&record.service);
            }
        }
    }

    /// Returns the record with its names replaced by equal, already stored ones, to save memory.
    fn intern_names(&mut self, record: &InstanceRecord) -> InstanceRecord {
        let mut shared = record.clone();
        if let Some((daemon, _)) = self.owners.get_key_value(&record.daemon) {
            shared.daemon = daemon.clone();
        }
        if let Some((service, _)) = self.services.get_key_value(&record.service) {
            shared.service = service.clone();
        }
        match self.zones.get(&record.zone) {
            Some(zone) => shared.zone = zone.clone(),
            None => _ = self.zones.insert(record.zone.clone()),
        }
        match self.regions.get(&record.region) {
            Some(region) => shared.region = region.clone(),
            None => _ = self.regions.insert(record.region.clone()),
        }
        shared
    }
}

fn digest_of(record: &InstanceRecord) -> u64 {
    match record.phase {
        InstancePhase::Gone => 0,
        _ => NameDigest::of(record.instance.as_str(), record.incarnation.0).get(),
    }
}
