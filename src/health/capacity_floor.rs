//! The capacity floor: the share of a service's slots that ejections leave in use.
//!
//! Each picker computes the admitted instances from the records alone, so that equal records
//! give equal results and no daemon has to ask another. Capacity is counted in slots. Where
//! ejected, draining, starting and unreachable instances together would take the slots in use
//! below the floor, ejected instances are admitted again, those in the lowest band of medians
//! first. A cold instance counts with the share of its slots that the requests it takes keep busy.

use std::time::Duration;

use crate::health::AdmittedInstance;
use crate::health::cold_share::{cold_share, typical_time};
use crate::ids::InstanceId;
use crate::units::Percent;
use crate::wire::{HealthState, InstancePhase, InstanceRecord};

/// Ratio between the medians of adjacent bands, by which ejected instances are ranked.
const BAND_RATIO: u32 = 4;

/// Returns the identifiers of the instances that may be sent requests.
///
/// `floor` is the share of the announced slots to keep in use, in percent.
#[must_use]
pub fn admitted_ids(records: &[InstanceRecord], floor: Percent) -> Vec<InstanceId> {
    admitted_instances(records, floor, |_| true)
        .into_iter()
        .map(|entry| records[entry.index].instance.clone())
        .collect()
}

/// Returns the instances that may be sent requests, with the shares of their load.
///
/// `floor` is the share of the announced slots to keep in use, in percent. An instance for which
/// `is_reachable` returns false counts among the announced slots, but is not admitted.
pub fn admitted_instances(
    records: &[InstanceRecord],
    floor: Percent,
    is_reachable: impl Fn(&InstanceRecord) -> bool,
) -> Vec<AdmittedInstance> {
    let mut floor = CapacityFloor::open(records, floor, is_reachable);
    floor.admit_not_ejected();
    if floor.present < floor.needed {
        floor.rank_usable();
        floor.lift_ramps();
        floor.force_ejected();
        floor.admitted.sort_unstable_by_key(|entry| entry.index);
    }
    floor.admitted
}

/// One computation of the admitted instances; slots are counted in hundredths.
struct CapacityFloor<'a> {
    records: &'a [InstanceRecord],
    /// Service time by which the shares of cold instances are computed.
    typical_time: Duration,
    /// Indices of the ready and reachable instances.
    usable: Vec<usize>,
    /// Hundredths of slots that the floor requires.
    needed: u64,
    /// Hundredths of slots of the admitted instances.
    present: u64,
    admitted: Vec<AdmittedInstance>,
}

impl<'a> CapacityFloor<'a> {
    fn open(
        records: &'a [InstanceRecord],
        floor: Percent,
        is_reachable: impl Fn(&InstanceRecord) -> bool,
    ) -> Self {
        let announced = records
            .iter()
            .filter(|record| record.phase != InstancePhase::Gone);
        let total: u64 = announced.map(hundredths).sum();
        let usable = (0..records.len())
            .filter(|index| records[*index].phase == InstancePhase::Ready)
            .filter(|index| is_reachable(&records[*index]))
            .collect();
        Self {
            records,
            typical_time: typical_time(records),
            usable,
            needed: floor.ceil_of(total).max(1),
            present: 0,
            admitted: Vec::new(),
        }
    }

    /// Admits the instances that are not ejected, ramping ones with the share of their ramp.
    fn admit_not_ejected(&mut self) {
        for position in 0..self.usable.len() {
            let index = self.usable[position];
            match self.records[index].health {
                HealthState::Healthy | HealthState::Suspect => {
                    self.admit(index, Percent::FULL, false);
                }
                HealthState::Ramping(share) => self.admit(index, share, false),
                HealthState::Ejected => {}
            }
        }
    }

    /// Sorts the instances by rank, in the same order on every daemon.
    fn rank_usable(&mut self) {
        let records = self.records;
        let medians = records.iter().map(|record| record.median_micros);
        let lowest = medians.filter(|micros| *micros > 0).min().unwrap_or(1);
        self.usable
            .sort_by_cached_key(|index| rank(&records[*index], lowest));
    }

    /// Gives ramping instances their full share until the floor is met.
    fn lift_ramps(&mut self) {
        for index in self.usable.clone() {
            let mut entries = self.admitted.iter_mut();
            let Some(entry) = entries.find(|entry| entry.index == index) else {
                continue;
            };
            if self.present < self.needed && entry.share < Percent::FULL {
                let full = hundredths(&self.records[index]);
                let share = cold_share(&self.records[index], self.typical_time);
                let share = share.unwrap_or(Percent::FULL);
                if share > entry.share {
                    self.present += portion_of(full, share) - portion_of(full, entry.share);
                    entry.share = share;
                    entry.is_limit_lifted = true;
                }
            }
        }
    }

    /// Admits ejected instances until the floor is met.
    fn force_ejected(&mut self) {
        for index in self.usable.clone() {
            let is_ejected = self.records[index].health == HealthState::Ejected;
            if is_ejected && self.present < self.needed {
                self.admit(index, Percent::FULL, true);
            }
        }
    }

    fn admit(&mut self, index: usize, share: Percent, is_forced: bool) {
        let cold_share = cold_share(&self.records[index], self.typical_time);
        let share = cold_share.map_or(share, |cold_share| share.min(cold_share));
        self.present += portion_of(hundredths(&self.records[index]), share);
        self.admitted.push(AdmittedInstance {
            index,
            share,
            is_cold: cold_share.is_some(),
            is_forced,
            is_limit_lifted: false,
            is_healthy: self.records[index].health.accepts(false),
        });
    }
}

/// Ranks an instance by the band of its median, then by a hash of its identifier.
fn rank(record: &InstanceRecord, lowest_micros: u32) -> (u32, [u8; 32]) {
    let ratio = record.median_micros / lowest_micros;
    let band = ratio.max(1).ilog(BAND_RATIO);
    let hash = blake3::hash(record.instance.as_str().as_bytes());
    (band, *hash.as_bytes())
}

/// The slots of an instance in hundredths.
fn hundredths(record: &InstanceRecord) -> u64 {
    u64::from(record.slots.get()) * u64::from(Percent::FULL.get())
}

fn portion_of(full: u64, share: Percent) -> u64 {
    full * u64::from(share.get()) / u64::from(Percent::FULL.get())
}
