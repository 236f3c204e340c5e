//! The floor of healthy capacity.
//!
//! Every picker works out from the records alone which instances may take work, so that
//! equal records give equal answers and no daemon has to ask another. Capacity counts in
//! slots: ejected, draining, starting and unreachable instances together never take the
//! slots in use below the floor; where they would, ejected instances stay in, the least
//! sick first.

use crate::health::AdmittedInstance;
use crate::ids::InstanceId;
use crate::units::Percent;
use crate::wire::{HealthState, InstancePhase, InstanceRecord};

/// Ratio of medians between one band of sickness and the next.
const BAND_RATIO: u32 = 4;

/// The instances that may take work.
#[must_use]
pub fn admitted_ids(records: &[InstanceRecord], floor: Percent) -> Vec<InstanceId> {
    admitted_instances(records, floor, |_| true)
        .into_iter()
        .map(|admitted| records[admitted.index].instance.clone())
        .collect()
}

/// The instances that may take work, with the part of their work.
///
/// An instance for which `is_reachable` is false counts in the capacity that the floor is
/// a share of, but not as healthy.
pub fn admitted_instances(
    records: &[InstanceRecord],
    floor: Percent,
    is_reachable: impl Fn(&InstanceRecord) -> bool,
) -> Vec<AdmittedInstance> {
    let mut floor = CapacityFloor::open(records, floor, is_reachable);
    floor.admit_healthy();
    if floor.present < floor.needed {
        floor.rank_usable();
        floor.widen_ramps();
        floor.force_ejected();
        floor.admitted.sort_unstable_by_key(|entry| entry.index);
    }
    floor.admitted
}

/// Slots in hundredths, admitted step by step until the floor is met.
struct CapacityFloor<'a> {
    records: &'a [InstanceRecord],
    usable: Vec<usize>,
    needed: u64,
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
            usable,
            needed: floor.of_rounded_up(total).max(1),
            present: 0,
            admitted: Vec::new(),
        }
    }

    fn admit_healthy(&mut self) {
        for place in 0..self.usable.len() {
            let index = self.usable[place];
            match self.records[index].health {
                HealthState::Healthy | HealthState::Suspect => {
                    self.admit(index, Percent::FULL, false);
                }
                HealthState::Ramping(share) => self.admit(index, share, false),
                HealthState::Ejected => {}
            }
        }
    }

    /// Puts the least sick first, equally on every daemon.
    fn rank_usable(&mut self) {
        let records = self.records;
        let medians = records.iter().map(|record| record.median_micros);
        let usual = medians.filter(|micros| *micros > 0).min().unwrap_or(1);
        self.usable
            .sort_by_cached_key(|index| rank(&records[*index], usual));
    }

    fn widen_ramps(&mut self) {
        for index in self.usable.clone() {
            let mut entries = self.admitted.iter_mut();
            let Some(entry) = entries.find(|entry| entry.index == index) else {
                continue;
            };
            if self.present < self.needed && entry.share < Percent::FULL {
                let full = hundredths(&self.records[index]);
                self.present += full - part_of(full, entry.share);
                entry.share = Percent::FULL;
                entry.is_limit_lifted = true;
            }
        }
    }

    fn force_ejected(&mut self) {
        for index in self.usable.clone() {
            let is_ejected = self.records[index].health == HealthState::Ejected;
            if is_ejected && self.present < self.needed {
                self.admit(index, Percent::FULL, true);
            }
        }
    }

    fn admit(&mut self, index: usize, share: Percent, is_forced: bool) {
        self.present += part_of(hundredths(&self.records[index]), share);
        self.admitted.push(AdmittedInstance {
            index,
            share,
            is_forced,
            is_limit_lifted: false,
            is_healthy: self.records[index].health.takes(false),
        });
    }
}

/// Orders instances by how sick they are, then by a hash of their name.
fn rank(record: &InstanceRecord, usual_micros: u32) -> (u32, [u8; 32]) {
    let ratio = record.median_micros / usual_micros;
    let band = ratio.max(1).ilog(BAND_RATIO);
    let hash = blake3::hash(record.instance.as_str().as_bytes());
    (band, *hash.as_bytes())
}

fn hundredths(record: &InstanceRecord) -> u64 {
    u64::from(record.slots.get()) * u64::from(Percent::FULL.get())
}

fn part_of(full: u64, share: Percent) -> u64 {
    full * u64::from(share.get()) / u64::from(Percent::FULL.get())
}
