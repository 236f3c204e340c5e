//! Instance records that this daemon publishes for the instances beside it.

use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::{Incarnation, InstanceId};
use crate::time::{Deadline, MonoTime};
use crate::wire::InstanceRecord;

// Time in which an instance of an earlier boot must announce itself to this boot.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(4);
// A median within 1/4 of the published one is not published again.
const MEDIAN_TOLERANCE_DIVISOR: u32 = 4;

/// Records of local instances; each gets a higher incarnation than all records published before.
#[derive(Debug)]
pub struct LocalRecords {
    incarnation: Incarnation,
    records: FastMap<InstanceId, InstanceRecord>,
    orphans: FastMap<InstanceId, (Deadline, InstanceRecord)>,
}

impl LocalRecords {
    /// Creates an empty set whose incarnations follow `incarnation`, which should be above those
    /// of earlier boots.
    #[must_use]
    pub fn open(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            records: FastMap::default(),
            orphans: FastMap::default(),
        }
    }

    /// Returns an incarnation above all earlier ones.
    pub const fn next_incarnation(&mut self) -> Incarnation {
        self.incarnation = self.incarnation.next();
        self.incarnation
    }

    /// Makes the next incarnation higher than `heard`.
    pub fn advance_past(&mut self, heard: Incarnation) {
        self.incarnation = self.incarnation.max(heard);
    }

    /// Returns the published record of `instance`.
    #[must_use]
    pub fn get(&self, instance: &InstanceId) -> Option<&InstanceRecord> {
        self.records.get(instance)
    }

    /// Stores a record and returns it with its new incarnation, or `None` when it is equivalent
    /// to the published one.
    pub fn publish(&mut self, record: &InstanceRecord) -> Option<InstanceRecord> {
        self.orphans.remove(&record.instance);
        let known = self.records.get(&record.instance);
        if known.is_some_and(|known| is_equivalent(known, record)) {
            return None;
        }
        Some(self.reissue(record))
    }

    /// Stores `record` under the next incarnation and returns it.
    pub fn reissue(&mut self, record: &InstanceRecord) -> InstanceRecord {
        let mut record = record.clone();
        record.incarnation = self.next_incarnation();
        self.records.insert(record.instance.clone(), record.clone());
        record
    }

    /// Removes `instance` and returns its last record.
    pub fn remove(&mut self, instance: &InstanceId) -> Option<InstanceRecord> {
        self.records.remove(instance)
    }

    /// Adds the record of an earlier boot as an orphan: its instance has not announced itself to
    /// this boot.
    pub fn add_orphan(&mut self, record: &InstanceRecord, now: MonoTime) {
        let orphan = (now.after(ORPHAN_TIMEOUT), record.clone());
        self.orphans
            .entry(record.instance.clone())
            .or_insert(orphan);
    }

    /// Removes and returns the orphans whose instances did not announce themselves within
    /// `ORPHAN_TIMEOUT`.
    pub fn take_expired_orphans(&mut self, now: MonoTime) -> Vec<InstanceRecord> {
        let is_due = |orphan: &(Deadline, InstanceRecord)| orphan.0.has_passed(now);
        let due = self.orphans.extract_if(|_, orphan| is_due(orphan));
        due.map(|(_, (_, record))| record).collect()
    }
}

/// Whether the records are equal apart from the incarnation and a change of the median by at
/// most 1/`MEDIAN_TOLERANCE_DIVISOR`.
fn is_equivalent(known: &InstanceRecord, record: &InstanceRecord) -> bool {
    let tolerance = known.median_micros / MEDIAN_TOLERANCE_DIVISOR;
    let mut aligned = record.clone();
    aligned.incarnation = known.incarnation;
    if record.median_micros.abs_diff(known.median_micros) <= tolerance {
        aligned.median_micros = known.median_micros;
    }
    aligned == *known
}
