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

const FULL_PERCENT: u8 = 100;
/// Ratio of medians between one band of sickness and the next.
const BAND_RATIO: u32 = 4;

/// The instances that may take work.
#[must_use]
pub fn admissible(records: &[InstanceRecord], floor: Percent) -> Vec<InstanceId> {
    admitted(records, floor, |_| true)
        .into_iter()
        .map(|admitted| records[admitted.index].instance.clone())
        .collect()
}

/// The instances that may take work, with the part of their work.
///
/// An instance for which `is_reachable` is false counts in the capacity that the floor is
/// a share of, but not as healthy.
pub fn admitted(
    records: &[InstanceRecord],
    floor: Percent,
    is_reachable: impl Fn(&InstanceRecord) -> bool,
) -> Vec<AdmittedInstance> {
    let mut list = FloorList::open(records, floor, is_reachable);
    list.admit_healthy();
    list.widen_ramps();
    list.force_ejected();
    list.admitted.sort_unstable_by_key(|entry| entry.index);
    list.admitted
}

/// Slots in hundredths, admitted step by step until the floor is met.
struct FloorList<'a> {
    records: &'a [InstanceRecord],
    usable: Vec<usize>,
    needed: u64,
    present: u64,
    admitted: Vec<AdmittedInstance>,
}

impl<'a> FloorList<'a> {
    fn open(
        records: &'a [InstanceRecord],
        floor: Percent,
        is_reachable: impl Fn(&InstanceRecord) -> bool,
    ) -> Self {
        let announced = records
            .iter()
            .filter(|record| record.phase != InstancePhase::Gone);
        let total: u64 = announced.map(hundredths).sum();
        let mut usable: Vec<usize> = (0..records.len())
            .filter(|index| records[*index].phase == InstancePhase::Ready)
            .filter(|index| is_reachable(&records[*index]))
            .collect();
        usable.sort_by_cached_key(|index| rank(&records[*index], records));
        Self {
            records,
            usable,
            needed: floor.of_rounded_up(total).max(1),
            present: 0,
            admitted: Vec::new(),
        }
    }

    fn admit_healthy(&mut self) {
        for index in self.usable.clone() {
            match self.records[index].health {
                HealthState::Healthy => self.admit(index, FULL_PERCENT, false),
                HealthState::Ramping(share) => self.admit(index, share.get(), false),
                HealthState::Ejected => {}
            }
        }
    }

    fn widen_ramps(&mut self) {
        for place in 0..self.admitted.len() {
            let entry = self.admitted[place];
            if self.present >= self.needed || entry.share.get() == FULL_PERCENT {
                continue;
            }
            let full = hundredths(&self.records[entry.index]);
            self.present += full - part_of(full, entry.share);
            self.admitted[place].share = percent(FULL_PERCENT);
        }
    }

    fn force_ejected(&mut self) {
        for index in self.usable.clone() {
            let is_ejected = self.records[index].health == HealthState::Ejected;
            if is_ejected && self.present < self.needed {
                self.admit(index, FULL_PERCENT, true);
            }
        }
    }

    fn admit(&mut self, index: usize, share: u8, is_forced: bool) {
        let share = percent(share);
        self.present += part_of(hundredths(&self.records[index]), share);
        self.admitted.push(AdmittedInstance {
            index,
            share,
            is_forced,
        });
    }
}

/// Orders instances by how sick they are, then by a hash of their name.
fn rank(record: &InstanceRecord, records: &[InstanceRecord]) -> (u32, [u8; 32]) {
    let usual = records
        .iter()
        .map(|other| other.median_micros)
        .filter(|micros| *micros > 0)
        .min()
        .unwrap_or(1);
    let ratio = record.median_micros / usual;
    let band = ratio.max(1).ilog(BAND_RATIO);
    let hash = blake3::hash(record.instance.as_str().as_bytes());
    (band, *hash.as_bytes())
}

fn hundredths(record: &InstanceRecord) -> u64 {
    u64::from(record.slots.get()) * u64::from(FULL_PERCENT)
}

fn part_of(full: u64, share: Percent) -> u64 {
    full * u64::from(share.get()) / u64::from(FULL_PERCENT)
}

fn percent(value: u8) -> Percent {
    Percent::new(value).unwrap_or(Percent::FULL)
}
