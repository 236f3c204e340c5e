//! Load balancer of one service at one ingress.

use std::time::Duration;

use crate::balance::instance_stats::InstanceStats;
use crate::balance::{PickCriteria, PickScope};
use crate::hash::FastMap;
use crate::health::{AdmittedInstance, capacity_floor};
use crate::ids::{InstanceId, ZoneId};
use crate::time::{Deadline, MonoTime};
use crate::units::{Percent, ZoneCost};
use crate::wire::{HealthState, InstanceLoad, InstancePhase, InstanceRecord};

/// Weight of recent picks relative to the load per slot.
const PICKS_WEIGHT: f64 = 0.4;
/// Lower limit of the recent picks of an instance, as a share of the mean of all candidates, so
/// that an instance is not flooded when it returns after an absence.
const MIN_RELATIVE_PICKS: f64 = 0.7;
/// Healthy slots are scarce below one in this many. They could not serve most of the load, while
/// even instances that fail half of their requests would serve some of it.
const SCARCE_RATIO: u64 = 8;
/// Load per slot from which instances count as equally busy. A long queue of one account or
/// class says nothing of the wait of another.
const SATURATED_LOAD: f64 = 2.0;
/// Factor on the zone penalty for bulk requests, whose bytes between availability zones cost more
/// than an uneven load.
const BULK_ZONE_FACTOR: f64 = 5.0;

/// Picks the least busy of the admitted instances of a service.
///
/// Instances with similar loads take turns; those in the zone of the ingress more often.
#[derive(Debug)]
pub struct InstancePicker {
    /// The zone of the ingress.
    zone: ZoneId,
    /// Penalty for an instance in another zone, in load per slot.
    zone_cost: f64,
    pub(super) stats: FastMap<InstanceId, InstanceStats>,
}

impl InstancePicker {
    /// Returns a picker for an ingress in `zone`, with the default cost of traffic between zones.
    #[must_use]
    pub fn open(zone: ZoneId) -> Self {
        Self::with_zone_cost(zone, ZoneCost::default())
    }

    /// Returns a picker for an ingress in `zone`; `cost` is the penalty for traffic between
    /// availability zones, in load per slot.
    #[must_use]
    pub fn with_zone_cost(zone: ZoneId, cost: ZoneCost) -> Self {
        Self {
            zone,
            zone_cost: cost.get(),
            stats: FastMap::default(),
        }
    }

    /// Picks an instance that is not in `tried` and returns its identifier.
    ///
    /// A short form of [`Self::pick`] for a request that may be a trial and is not bulk.
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
            scope: PickScope::All,
        };
        let picked = self.pick(records, &criteria, now, rng)?;
        Some(records[picked.index].instance.clone())
    }

    /// Picks an instance from `records`; `None` if no instance may take the request.
    ///
    /// A request goes to a fully healthy instance, if there is one, when it is not idempotent, has
    /// failed before or may not be a trial. While healthy slots are scarce, this does not apply.
    pub fn pick(
        &mut self,
        records: &[InstanceRecord],
        criteria: &PickCriteria<'_>,
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Option<AdmittedInstance> {
        let mut candidates = self.candidates(records, criteria, now);
        let is_scarce = is_healthy_capacity_scarce(records);
        let needs_healthy =
            !criteria.idempotent || !criteria.tried.is_empty() || !criteria.allows_trial;
        if needs_healthy && !is_scarce {
            if candidates.iter().any(is_fully_healthy) {
                candidates.retain(is_fully_healthy);
            } else if criteria.may_wait {
                return None;
            }
        }
        let drawn = draw_weighted(&candidates, records, rng)?;
        if drawn.share < Percent::FULL {
            return Some(drawn);
        }
        if !drawn.is_healthy && !is_scarce {
            return Some(drawn);
        }
        let is_comparable = |entry: &AdmittedInstance| {
            entry.share == Percent::FULL && (is_scarce || entry.is_healthy)
        };
        if candidates.iter().any(is_comparable) {
            candidates.retain(is_comparable);
        }
        let zone_penalty = match criteria.is_bulk {
            true => self.zone_cost * BULK_ZONE_FACTOR,
            false => self.zone_cost,
        };
        let index = self.least_busy(&candidates, records, zone_penalty, now, rng)?;
        let found = candidates.into_iter().find(|entry| entry.index == index)?;
        Some(AdmittedInstance {
            is_limit_lifted: found.is_limit_lifted || (is_scarce && !found.is_healthy),
            ..found
        })
    }

    /// Picks a suspect instance at random and returns its index, one in the zone of the ingress if there
    /// is one. While healthy slots are scarce, [`Self::pick`] uses suspect instances in any case.
    pub fn pick_suspect(
        &self,
        records: &[InstanceRecord],
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Option<usize> {
        if is_healthy_capacity_scarce(records) {
            return None;
        }
        let is_suspect = |record: &InstanceRecord| {
            record.phase == InstancePhase::Ready
                && record.health == HealthState::Suspect
                && self.is_reachable(record, now)
        };
        let indices = || (0..records.len()).filter(|index| is_suspect(&records[*index]));
        let own: Vec<_> = indices()
            .filter(|index| records[*index].zone == self.zone)
            .collect();
        let suspects = match own.is_empty() {
            true => indices().collect(),
            false => own,
        };
        (!suspects.is_empty()).then(|| suspects[rng.usize(0..suspects.len())])
    }

    /// Counts a request that is sent to the instance.
    pub fn on_start(&mut self, instance: &InstanceId, now: MonoTime) {
        self.stats_mut(instance).on_pick(now);
    }

    /// Takes in the load that the instance's egress reported with a response.
    pub fn on_response(&mut self, instance: &InstanceId, load: InstanceLoad, now: MonoTime) {
        let stats = self.stats_mut(instance);
        stats.cold_until = now.after(Duration::from_micros(u64::from(load.cold_wait_micros)));
        stats.load.on_report(load, now);
        stats.path.on_response();
    }

    /// Avoids an instance until `until`, because its egress refused a request for its health or its
    /// limit. The fleet may not know of either.
    pub fn avoid(&mut self, instance: &InstanceId, until: Deadline) {
        self.stats_mut(instance).avoid_until = until;
    }

    /// Notes that a request failed on the path to the instance's egress, without a response.
    pub fn on_unreachable(&mut self, instance: &InstanceId, now: MonoTime) {
        let stats = self.stats_mut(instance);
        stats.load.on_end();
        stats.path.on_failure(now);
    }

    /// Notes that a request was cancelled before its outcome was known.
    pub fn on_cancel(&mut self, instance: &InstanceId) {
        self.stats_mut(instance).load.on_end();
    }

    /// Drops the statistics of instances that are not in `records`.
    pub fn retain(&mut self, records: &[InstanceRecord]) {
        // Called before each pick, so the search is skipped unless instances have left.
        if self.stats.len() <= records.len() {
            return;
        }
        self.stats
            .retain(|instance, _| records.iter().any(|record| record.instance == *instance));
    }

    /// The internal state as JSON, for the diagnostic dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let stats: serde_json::Map<_, _> = self
            .stats
            .iter()
            .map(|(instance, stats)| (instance.to_string(), serde_json::json!(stats)))
            .collect();
        serde_json::json!({ "zone": self.zone, "instances": stats })
    }

    /// The admitted instances in scope that were not tried; those behind blocked paths only if there are
    /// no others. A cold instance that takes no request now is none, since its egress would refuse it.
    fn candidates(
        &self,
        records: &[InstanceRecord],
        criteria: &PickCriteria<'_>,
        now: MonoTime,
    ) -> Vec<AdmittedInstance> {
        let floor = criteria.floor;
        let is_eligible = |entry: &AdmittedInstance| criteria.includes(&records[entry.index]);
        let mut list = capacity_floor::admitted_instances(records, floor, |record| {
            self.is_reachable(record, now)
        });
        list.retain(is_eligible);
        if list.is_empty() && criteria.scope.includes_unreachable() {
            list = capacity_floor::admitted_instances(records, floor, |record| {
                !self.waits_for_token(record, now)
            });
            list.retain(is_eligible);
        }
        list
    }

    /// Returns the record index of the candidate with the lowest score; ties are broken at random.
    fn least_busy(
        &self,
        candidates: &[AdmittedInstance],
        records: &[InstanceRecord],
        zone_penalty: f64,
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Option<usize> {
        let picks: f64 = candidates
            .iter()
            .map(|entry| self.picks_per_slot(&records[entry.index], now))
            .sum();
        let count = f64::from(u32::try_from(candidates.len()).unwrap_or(u32::MAX));
        let mean_picks = picks / count;
        let scores = candidates.iter().map(|entry| {
            let score = self.score(&records[entry.index], mean_picks, zone_penalty, now);
            (score, rng.u32(..), entry.index)
        });
        let best = scores.min_by(|(score, tie_break, _), (other, other_tie_break, _)| {
            score.total_cmp(other).then(tie_break.cmp(other_tie_break))
        });
        best.map(|(_, _, index)| index)
    }

    /// The load, recent picks and zone penalty of an instance, in load per slot; lower is better.
    fn score(
        &self,
        record: &InstanceRecord,
        mean_picks: f64,
        zone_penalty: f64,
        now: MonoTime,
    ) -> f64 {
        let stats = self.stats.get(&record.instance);
        let load = stats.map_or(0.0, |stats| stats.load.value(now));
        let load_per_slot = (load / f64::from(record.slots.get())).min(SATURATED_LOAD);
        let picks = self.picks_per_slot(record, now) / mean_picks.max(f64::MIN_POSITIVE);
        let zone_penalty = match record.zone == self.zone {
            true => 0.0,
            false => zone_penalty,
        };
        load_per_slot + PICKS_WEIGHT * picks.max(MIN_RELATIVE_PICKS) + zone_penalty
    }

    fn picks_per_slot(&self, record: &InstanceRecord, now: MonoTime) -> f64 {
        let stats = self.stats.get(&record.instance);
        stats.map_or(0.0, |stats| stats.recent_picks(now)) / f64::from(record.slots.get())
    }

    /// Whether neither the path to the instance nor its egress has failed or refused recently.
    #[must_use]
    pub fn is_reachable(&self, record: &InstanceRecord, now: MonoTime) -> bool {
        let stats = self.stats.get(&record.instance);
        stats.is_none_or(|stats| {
            let until = stats.avoid_until.max(stats.cold_until);
            !stats.path.is_blocked(now) && until.has_passed(now)
        })
    }

    pub(super) fn stats_mut(&mut self, instance: &InstanceId) -> &mut InstanceStats {
        let stats = self.stats.entry(instance.clone());
        stats.or_insert_with(InstanceStats::open)
    }
}

/// Whether so few slots are healthy that keeping to them would cost more than it saves.
pub(super) fn is_healthy_capacity_scarce(records: &[InstanceRecord]) -> bool {
    let ready = || {
        let records = records.iter();
        records.filter(|record| record.phase == InstancePhase::Ready)
    };
    let slots = |record: &InstanceRecord| u64::from(record.slots.get());
    let healthy = ready().filter(|record| record.health.accepts(false));
    let all: u64 = ready().map(slots).sum();
    healthy.map(slots).sum::<u64>() * SCARCE_RATIO < all
}

/// Whether the instance is healthy and takes all that it can without being forced.
fn is_fully_healthy(entry: &AdmittedInstance) -> bool {
    (entry.share == Percent::FULL || entry.is_cold) && !entry.is_forced && entry.is_healthy
}

/// Draws a random candidate, weighted by slots and share, so that ramping instances get their share.
fn draw_weighted(
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
        let entry_weight = weight(entry);
        if point < entry_weight {
            return Some(*entry);
        }
        point -= entry_weight;
    }
    None
}
