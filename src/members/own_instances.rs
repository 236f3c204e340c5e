//! The instances beside this daemon, as it publishes them.

use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::{Incarnation, InstanceId};
use crate::time::{Deadline, MonoTime};
use crate::wire::InstanceRecord;

const ORPHAN_WAIT: Duration = Duration::from_secs(4);
const MEDIAN_STEP: u32 = 4;

/// Stamps records so that each outranks everything that this daemon published before.
#[derive(Debug)]
pub struct OwnInstances {
    stamp: Incarnation,
    records: FastMap<InstanceId, InstanceRecord>,
    orphans: FastMap<InstanceId, (Deadline, InstanceRecord)>,
}

impl OwnInstances {
    /// No instances yet; `epoch` should lie above every stamp of earlier boots.
    #[must_use]
    pub fn open(epoch: Incarnation) -> Self {
        Self {
            stamp: epoch,
            records: FastMap::default(),
            orphans: FastMap::default(),
        }
    }

    /// A stamp above every earlier one.
    pub const fn next_stamp(&mut self) -> Incarnation {
        self.stamp = self.stamp.next();
        self.stamp
    }

    /// Makes the next stamp outrank `heard`.
    pub fn outrank(&mut self, heard: Incarnation) {
        self.stamp = self.stamp.max(heard);
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
        if known.is_some_and(|known| is_alike(known, record)) {
            return None;
        }
        Some(self.restamp(record))
    }

    /// Stamps and keeps `record`.
    pub fn restamp(&mut self, record: &InstanceRecord) -> InstanceRecord {
        let mut record = record.clone();
        record.incarnation = self.next_stamp();
        self.records.insert(record.instance.clone(), record.clone());
        record
    }

    /// Forgets `instance` and returns its last record.
    pub fn remove(&mut self, instance: &InstanceId) -> Option<InstanceRecord> {
        self.records.remove(instance)
    }

    /// Notes a record of an earlier boot whose instance has not announced itself again.
    pub fn note_orphan(&mut self, record: &InstanceRecord, now: MonoTime) {
        let orphan = (now.after(ORPHAN_WAIT), record.clone());
        self.orphans
            .entry(record.instance.clone())
            .or_insert(orphan);
    }

    /// Takes the orphans whose instances did not come back in time.
    pub fn take_orphans(&mut self, now: MonoTime) -> Vec<InstanceRecord> {
        let is_due = |orphan: &(Deadline, InstanceRecord)| orphan.0.has_passed(now);
        let due = self.orphans.extract_if(|_, orphan| is_due(orphan));
        due.map(|(_, (_, record))| record).collect()
    }
}

/// Whether the records say the same, but for small changes of the median.
fn is_alike(known: &InstanceRecord, record: &InstanceRecord) -> bool {
    let step = known.median_micros / MEDIAN_STEP;
    let mut aligned = record.clone();
    aligned.incarnation = known.incarnation;
    if record.median_micros.abs_diff(known.median_micros) <= step {
        aligned.median_micros = known.median_micros;
    }
    aligned == *known
}
