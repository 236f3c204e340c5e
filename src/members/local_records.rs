//! The instances beside this daemon, as it publishes them.

use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::{Incarnation, InstanceId};
use crate::time::{Deadline, MonoTime};
use crate::wire::InstanceRecord;

const ORPHAN_TIMEOUT: Duration = Duration::from_secs(4);
const MEDIAN_TOLERANCE_DIVISOR: u32 = 4;

/// Stamps records so that each outranks everything that this daemon published before.
#[derive(Debug)]
pub struct LocalRecords {
    incarnation: Incarnation,
    records: FastMap<InstanceId, InstanceRecord>,
    orphans: FastMap<InstanceId, (Deadline, InstanceRecord)>,
}

impl LocalRecords {
    /// No instances yet; `incarnation` should lie above every stamp of earlier boots.
    #[must_use]
    pub fn open(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            records: FastMap::default(),
            orphans: FastMap::default(),
        }
    }

    /// A stamp above every earlier one.
    pub const fn next_incarnation(&mut self) -> Incarnation {
        self.incarnation = self.incarnation.next();
        self.incarnation
    }

    /// Makes the next stamp outrank `heard`.
    pub fn advance_past(&mut self, heard: Incarnation) {
        self.incarnation = self.incarnation.max(heard);
    }

    /// The record of `instance`.
    #[must_use]
    pub fn get(&self, instance: &InstanceId) -> Option<&InstanceRecord> {
        self.records.get(instance)
    }

    /// Takes in a record; the stamped one when it says something new.
    pub fn publish(&mut self, record: &InstanceRecord) -> Option<InstanceRecord> {
        self.orphans.remove(&record.instance);
        let known = self.records.get(&record.instance);
        if known.is_some_and(|known| is_equivalent(known, record)) {
            return None;
        }
        Some(self.reissue(record))
    }

    /// Stamps and keeps `record`.
    pub fn reissue(&mut self, record: &InstanceRecord) -> InstanceRecord {
        let mut record = record.clone();
        record.incarnation = self.next_incarnation();
        self.records.insert(record.instance.clone(), record.clone());
        record
    }

    /// Forgets `instance` and returns its last record.
    pub fn remove(&mut self, instance: &InstanceId) -> Option<InstanceRecord> {
        self.records.remove(instance)
    }

    /// Notes a record of an earlier boot whose instance has not announced itself again.
    pub fn add_orphan(&mut self, record: &InstanceRecord, now: MonoTime) {
        let orphan = (now.after(ORPHAN_TIMEOUT), record.clone());
        self.orphans
            .entry(record.instance.clone())
            .or_insert(orphan);
    }

    /// Takes the orphans whose instances did not come back in time.
    pub fn take_expired_orphans(&mut self, now: MonoTime) -> Vec<InstanceRecord> {
        let is_due = |orphan: &(Deadline, InstanceRecord)| orphan.0.has_passed(now);
        let due = self.orphans.extract_if(|_, orphan| is_due(orphan));
        due.map(|(_, (_, record))| record).collect()
    }
}

/// Whether the records say the same, but for small changes of the median.
fn is_equivalent(known: &InstanceRecord, record: &InstanceRecord) -> bool {
    let tolerance = known.median_micros / MEDIAN_TOLERANCE_DIVISOR;
    let mut aligned = record.clone();
    aligned.incarnation = known.incarnation;
    if record.median_micros.abs_diff(known.median_micros) <= tolerance {
        aligned.median_micros = known.median_micros;
    }
    aligned == *known
}
