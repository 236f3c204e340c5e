//! The picker of one service at one ingress.

use crate::balance::load_estimate::LoadEstimate;
use crate::balance::path_state::PathState;
use crate::hash::FastMap;
use crate::health::{AdmittedInstance, floor};
use crate::ids::{InstanceId, ZoneId};
use crate::time::MonoTime;
use crate::units::Percent;
use crate::wire::{InstanceRecord, LoadFigure};

const FULL_PERCENT: u8 = 100;

/// What this ingress knows of an instance beyond its record.
#[derive(Debug, Clone, Copy, serde::Serialize)]
struct KnownInstance {
    load: LoadEstimate,
    path: PathState,
}

/// Chooses the less busy of two random instances among those that may take work.
#[derive(Debug)]
pub struct InstancePicker {
    zone: ZoneId,
    known: FastMap<InstanceId, KnownInstance>,
}

impl InstancePicker {
    /// A picker in `zone` that knows nothing yet.
    #[must_use]
    pub fn open(zone: ZoneId) -> Self {
        Self {
            zone,
            known: FastMap::default(),
        }
    }

    /// Chooses an instance that was not `tried`; none when no instance may take work.
    ///
    /// A request that is not idempotent goes to instances in full health where there are any.
    pub fn pick(
        &mut self,
        records: &[InstanceRecord],
        floor: Percent,
        tried: &[InstanceId],
        idempotent: bool,
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Option<InstanceId> {
        let admitted = floor::admitted(records, floor, |record| self.is_reachable(record, now));
        let mut candidates: Vec<AdmittedInstance> = admitted
            .into_iter()
            .filter(|entry| !tried.contains(&records[entry.index].instance))
            .collect();
        if candidates.is_empty() {
            candidates = floor::admitted(records, floor, |_| true);
            candidates.retain(|entry| !tried.contains(&records[entry.index].instance));
        }
        if !idempotent && candidates.iter().any(is_proved) {
            candidates.retain(is_proved);
        }
        let first = draw(&candidates, records, rng)?;
        let second = draw(&candidates, records, rng)?;
        let index = self.better(records, first, second, now);
        Some(records[index].instance.clone())
    }

    /// A request goes to the instance.
    pub fn started(&mut self, instance: &InstanceId, _now: MonoTime) {
        self.known_mut(instance).load.started();
    }

    /// The instance's egress has answered with its load.
    pub fn answered(&mut self, instance: &InstanceId, load: LoadFigure, now: MonoTime) {
        let known = self.known_mut(instance);
        known.load.heard(load, now);
        known.path.answered();
    }

    /// The path to the instance's egress has failed for a request.
    pub fn unreachable(&mut self, instance: &InstanceId, now: MonoTime) {
        let known = self.known_mut(instance);
        known.load.ended();
        known.path.failed(now);
    }

    /// Forgets instances that are not among `records`.
    pub fn retain(&mut self, records: &[InstanceRecord]) {
        self.known
            .retain(|instance, _| records.iter().any(|record| record.instance == *instance));
    }

    /// The state for the dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let known: serde_json::Map<_, _> = self
            .known
            .iter()
            .map(|(instance, known)| (instance.to_string(), serde_json::json!(known)))
            .collect();
        serde_json::json!({ "zone": self.zone, "instances": known })
    }

    fn known_mut(&mut self, instance: &InstanceId) -> &mut KnownInstance {
        self.known.entry(instance.clone()).or_insert(KnownInstance {
            load: LoadEstimate::default(),
            path: PathState::open(),
        })
    }

    fn is_reachable(&self, record: &InstanceRecord, now: MonoTime) -> bool {
        let known = self.known.get(&record.instance);
        !known.is_some_and(|known| known.path.is_blocked(now))
    }

    /// The one with the lower load a slot; when equal, the one in the own zone.
    fn better(
        &self,
        records: &[InstanceRecord],
        first: usize,
        second: usize,
        now: MonoTime,
    ) -> usize {
        let load = |index: usize| self.load_per_slot(&records[index], now);
        let (first_load, second_load) = (load(first), load(second));
        if first_load < second_load {
            return first;
        }
        let is_equal = first_load <= second_load;
        if is_equal && records[second].zone != self.zone {
            return first;
        }
        second
    }

    fn load_per_slot(&self, record: &InstanceRecord, now: MonoTime) -> f64 {
        let known = self.known.get(&record.instance);
        let load = known.map_or(0.0, |known| known.load.value(now));
        load / f64::from(record.slots.get())
    }
}

/// Whether the instance is in full health.
fn is_proved(entry: &AdmittedInstance) -> bool {
    entry.share.get() == FULL_PERCENT && !entry.is_forced
}

/// Draws a candidate by slots and share.
fn draw(
    candidates: &[AdmittedInstance],
    records: &[InstanceRecord],
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    let weight = |entry: &AdmittedInstance| {
        u64::from(records[entry.index].slots.get()) * u64::from(entry.share.get())
    };
    let total: u64 = candidates.iter().map(weight).sum();
    if total == 0 {
        return candidates.first().map(|entry| entry.index);
    }
    let mut point = rng.u64(0..total);
    for entry in candidates {
        let part = weight(entry);
        if point < part {
            return Some(entry.index);
        }
        point -= part;
    }
    None
}
