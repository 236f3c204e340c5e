//! The picker of one service at one ingress.

use crate::balance::instance_stats::InstanceStats;
use crate::hash::FastMap;
use crate::health::{AdmittedInstance, capacity_floor};
use crate::ids::{InstanceId, ZoneId};
use crate::time::MonoTime;
use crate::units::{Percent, ZoneCost};
use crate::wire::{InstancePhase, InstanceRecord, LoadFigure};

/// Weight of recent choices against load a slot.
const CHOICES_WEIGHT: f64 = 0.4;
/// Least recent choices that count, as a part of the mean, so that an instance that was
/// away is not flooded when it returns.
const LEAST_CHOICES: f64 = 0.7;
/// Trusted slots are scarce below one part in this many: most of the load could not be served, while
/// even instances that fail half of their requests would serve some.
const SCARCE_PARTS: u64 = 8;
/// Load a slot from which instances count as equally busy: long queues of one account or
/// class say nothing of the wait of another.
const SATURATED_LOAD: f64 = 2.0;
/// How much more the zone counts for bulk answers, whose bytes cost more than an uneven load.
const BULK_FACTOR: f64 = 5.0;

/// What a request asks of the instance chosen for it.
#[derive(Debug, Clone, Copy)]
pub struct PickCriteria<'a> {
    /// The service's floor.
    pub floor: Percent,
    /// Instances that the request has been to.
    pub tried: &'a [InstanceId],
    /// Whether it may be repeated.
    pub idempotent: bool,
    /// Whether it may find out how an instance is that has just failed.
    pub allows_trial: bool,
    /// Whether it may wait for an instance in full health that was only found busy.
    pub may_wait: bool,
    /// Whether its answer is large.
    pub is_bulk: bool,
}

/// Chooses the least busy instance among those that may take work.
///
/// Instances of like load take turns, those of the own zone somewhat more often.
#[derive(Debug)]
pub struct InstancePicker {
    zone: ZoneId,
    /// Disadvantage of an instance in another zone, in load a slot.
    zone_cost: f64,
    known: FastMap<InstanceId, InstanceStats>,
}

impl InstancePicker {
    /// A picker in `zone` that knows nothing yet.
    #[must_use]
    pub fn open(zone: ZoneId) -> Self {
        Self::with_zone_cost(zone, ZoneCost::default())
    }

    /// A picker in `zone` for which bytes between availability zones cost `cost`.
    #[must_use]
    pub fn with_zone_cost(zone: ZoneId, cost: ZoneCost) -> Self {
        Self {
            zone,
            zone_cost: cost.get(),
            known: FastMap::default(),
        }
    }

    /// Chooses an instance that was not `tried`; none when no instance may take work.
    pub fn pick_id(
        &mut self,
        records: &[InstanceRecord],
        floor: Percent,
        tried: &[InstanceId],
        idempotent: bool,
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Option<InstanceId> {
        let criteria = PickCriteria {
            floor,
            tried,
            idempotent,
            allows_trial: true,
            may_wait: false,
            is_bulk: false,
        };
        let chosen = self.pick(records, &criteria, now, rng)?;
        Some(records[chosen.index].instance.clone())
    }

    /// Chooses an instance; none when no instance may take work.
    ///
    /// A request that is not idempotent, that failed once already or whose retry would be missed
    /// goes to instances in full health where there are any.
    pub fn pick(
        &mut self,
        records: &[InstanceRecord],
        criteria: &PickCriteria<'_>,
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Option<AdmittedInstance> {
        let mut candidates = self.candidates(records, criteria.floor, criteria.tried, now);
        let is_scarce = is_trust_scarce(records);
        let needs_proof =
            !criteria.idempotent || !criteria.tried.is_empty() || !criteria.allows_trial;
        if needs_proof && !is_scarce {
            if candidates.iter().any(is_proved) {
                candidates.retain(is_proved);
            } else if criteria.may_wait {
                return None;
            }
        }
        let drawn = draw(&candidates, records, rng)?;
        if drawn.share < Percent::FULL {
            return Some(drawn);
        }
        if !drawn.is_healthy && !is_scarce {
            return Some(drawn);
        }
        let is_alike = |entry: &AdmittedInstance| {
            entry.share == Percent::FULL && (is_scarce || entry.is_healthy)
        };
        if candidates.iter().any(is_alike) {
            candidates.retain(is_alike);
        }
        let distance = match criteria.is_bulk {
            true => self.zone_cost * BULK_FACTOR,
            false => self.zone_cost,
        };
        let index = self.least_busy(&candidates, records, distance, now, rng)?;
        let found = candidates.into_iter().find(|entry| entry.index == index)?;
        Some(AdmittedInstance {
            is_limit_lifted: found.is_limit_lifted || (is_scarce && !found.is_healthy),
            ..found
        })
    }

    /// A request goes to the instance.
    pub fn on_start(&mut self, instance: &InstanceId, now: MonoTime) {
        self.known_mut(instance).chosen(now);
    }

    /// The instance's egress has answered with its load.
    pub fn on_response(&mut self, instance: &InstanceId, load: LoadFigure, now: MonoTime) {
        let known = self.known_mut(instance);
        known.load.heard(load, now);
        known.path.answered();
    }

    /// The path to the instance's egress has failed for a request.
    pub fn on_unreachable(&mut self, instance: &InstanceId, now: MonoTime) {
        let known = self.known_mut(instance);
        known.load.ended();
        known.path.failed(now);
    }

    /// Forgets instances that are not among `records`.
    pub fn retain(&mut self, records: &[InstanceRecord]) {
        // Cheap enough to be asked before each pick.
        if self.known.len() <= records.len() {
            return;
        }
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

    /// Instances that may take the request; blocked paths only when there is nothing else.
    fn candidates(
        &self,
        records: &[InstanceRecord],
        floor: Percent,
        tried: &[InstanceId],
        now: MonoTime,
    ) -> Vec<AdmittedInstance> {
        let is_untried = |entry: &AdmittedInstance| !tried.contains(&records[entry.index].instance);
        let mut list = capacity_floor::admitted_instances(records, floor, |record| {
            self.is_reachable(record, now)
        });
        list.retain(is_untried);
        if list.is_empty() {
            list = capacity_floor::admitted_instances(records, floor, |_| true);
            list.retain(is_untried);
        }
        list
    }

    /// The candidate with the lowest score; equal ones by chance.
    fn least_busy(
        &self,
        candidates: &[AdmittedInstance],
        records: &[InstanceRecord],
        distance: f64,
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Option<usize> {
        let choices: f64 = candidates
            .iter()
            .map(|entry| self.choices_per_slot(&records[entry.index], now))
            .sum();
        let count = f64::from(u32::try_from(candidates.len()).unwrap_or(u32::MAX));
        let mean_choices = choices / count;
        let scores = candidates.iter().map(|entry| {
            let score = self.score(&records[entry.index], mean_choices, distance, now);
            (score, rng.u32(..), entry.index)
        });
        let best = scores.min_by(|(score, lot, _), (other, other_lot, _)| {
            score.total_cmp(other).then(lot.cmp(other_lot))
        });
        best.map(|(_, _, index)| index)
    }

    fn score(
        &self,
        record: &InstanceRecord,
        mean_choices: f64,
        distance: f64,
        now: MonoTime,
    ) -> f64 {
        let known = self.known.get(&record.instance);
        let load = known.map_or(0.0, |known| known.load.value(now));
        let load_per_slot = (load / f64::from(record.slots.get())).min(SATURATED_LOAD);
        let choices = self.choices_per_slot(record, now) / mean_choices.max(f64::MIN_POSITIVE);
        let distance = match record.zone == self.zone {
            true => 0.0,
            false => distance,
        };
        load_per_slot + CHOICES_WEIGHT * choices.max(LEAST_CHOICES) + distance
    }

    fn choices_per_slot(&self, record: &InstanceRecord, now: MonoTime) -> f64 {
        let known = self.known.get(&record.instance);
        known.map_or(0.0, |known| known.choices_at(now)) / f64::from(record.slots.get())
    }

    fn is_reachable(&self, record: &InstanceRecord, now: MonoTime) -> bool {
        let known = self.known.get(&record.instance);
        !known.is_some_and(|known| known.path.is_blocked(now))
    }

    fn known_mut(&mut self, instance: &InstanceId) -> &mut InstanceStats {
        let known = self.known.entry(instance.clone());
        known.or_insert_with(InstanceStats::open)
    }
}

/// Whether so few instances are trusted that distrust would cost more than it saves.
fn is_trust_scarce(records: &[InstanceRecord]) -> bool {
    let ready = || {
        let records = records.iter();
        records.filter(|record| record.phase == InstancePhase::Ready)
    };
    let slots = |record: &InstanceRecord| u64::from(record.slots.get());
    let trusted = ready().filter(|record| record.health.takes(false));
    let all: u64 = ready().map(slots).sum();
    trusted.map(slots).sum::<u64>() * SCARCE_PARTS < all
}

/// Whether the instance is in full health.
fn is_proved(entry: &AdmittedInstance) -> bool {
    entry.share == Percent::FULL && !entry.is_forced && entry.is_healthy
}

/// Draws a candidate by slots and share, which gives each ramping one its part.
fn draw(
    candidates: &[AdmittedInstance],
    records: &[InstanceRecord],
    rng: &mut fastrand::Rng,
) -> Option<AdmittedInstance> {
    let weight = |entry: &AdmittedInstance| {
        u64::from(records[entry.index].slots.get()) * u64::from(entry.share.get())
    };
    let total: u64 = candidates.iter().map(weight).sum();
    if total == 0 {
        return candidates.first().copied();
    }
    let mut point = rng.u64(0..total);
    for entry in candidates {
        let part = weight(entry);
        if point < part {
            return Some(*entry);
        }
        point -= part;
    }
    None
}
