//! Choice of the instance for the next attempt at a request.

use std::rc::Rc;
use std::time::Duration;

use crate::balance::{PickCriteria, PickScope};
use crate::hash::rendezvous_score;
use crate::ids::{InstanceId, ZoneId};
use crate::ingress::caller_request::CallerRequest;
use crate::ingress::offer_kind::OfferKind;
use crate::ingress::offer_wait::OfferWait;
use crate::ingress::zone_attempts::NO_WAIT;
use crate::ingress::{AttemptFailure, AttemptHistory, RequestRefusal};
use crate::logs::log_target;
use crate::pressure::ServicePressure;
use crate::retry::ServiceBudgets;
use crate::time::MonoTime;
use crate::wire::{InstanceLoad, InstancePhase, InstanceRecord, RefusalReason};

/// How long an instance is avoided after its egress refused a request for its health. About the time
/// in which a failing instance shows that it has recovered.
const UNHEALTHY_AVOIDANCE: Duration = Duration::from_millis(500);

/// Time over which the callers that are refused because all instances are cold are told to come back.
const COLD_RETURN_SPREAD: Duration = Duration::from_millis(500);

/// An instance chosen for an attempt.
pub(crate) struct ChosenInstance {
    pub(crate) record: InstanceRecord,
    /// Whether the ingress sends the request although it knows that the instance's health excludes it.
    pub(crate) is_forced: bool,
    pub(crate) wait: OfferWait,
    pub(crate) kind: OfferKind,
}

impl CallerRequest<'_> {
    /// Picks the next instance; instances found busy are picked again when no other is left.
    pub(crate) fn next_instance(&self, history: &mut AttemptHistory) -> Option<ChosenInstance> {
        if let Some(chosen) = self.pick_from_all(history) {
            return Some(chosen);
        }
        if !history.retry_busy() {
            return None;
        }
        self.pick_from_all(history)
    }

    fn pick_from_all(&self, history: &AttemptHistory) -> Option<ChosenInstance> {
        let wait = match history.may_wait() {
            true => OfferWait::Unbounded,
            false => OfferWait::None,
        };
        let needs_healthy = !self.plan.idempotent && history.has_busy();
        self.pick_instance(history, PickScope::All, needs_healthy, wait)
    }

    /// Picks an instance in `scope` for an offer that may wait as `wait` says; `needs_healthy` tells
    /// to pick nothing rather than an instance that is not healthy where the request prefers one.
    pub(crate) fn pick_instance(
        &self,
        history: &AttemptHistory,
        scope: PickScope<'_>,
        needs_healthy: bool,
        wait: OfferWait,
    ) -> Option<ChosenInstance> {
        let tried = history.tried();
        let records = self.usable_instances();
        if self.ingress.sources.baseline.round_robin {
            return self.pick_round_robin(&records, tried, wait);
        }
        let now = self.ingress.sources.clock.now();
        let criteria = PickCriteria {
            floor: self.plan.floor,
            tried,
            idempotent: self.plan.idempotent,
            may_wait: needs_healthy,
            allows_trial: self.with_budget(ServiceBudgets::allows_trial),
            is_bulk: self.plan.class.is_bulk(),
            scope,
        };
        let chosen = self
            .ingress
            .with_picker(&self.plan.service, |picker, rng| {
                picker.retain(&records);
                let chosen = picker.pick(&records, &criteria, now, rng)?;
                picker.on_start(&records[chosen.index].instance, now);
                Some(chosen)
            })?;
        let record = records[chosen.index].clone();
        Some(ChosenInstance {
            is_forced: chosen.is_forced
                || chosen.is_limit_lifted
                || !record.health.accepts(self.plan.idempotent),
            record,
            wait,
            kind: OfferKind::Regular,
        })
    }

    /// Picks a suspect instance for the first offer of a request that can be repeated, in the own zone if
    /// one is there: only such requests show that an instance has recovered. Its egress refuses the
    /// request at once unless a trial is due, and the next offer goes to a healthy instance.
    pub(crate) fn choose_trial(&self, history: &AttemptHistory) -> Option<ChosenInstance> {
        let is_repeatable = self.plan.idempotent && !self.plan.class.is_bulk();
        if !is_repeatable || !history.tried().is_empty() || self.plan.max_attempts == Some(1) {
            return None;
        }
        if self.ingress.sources.baseline.round_robin
            || !self.with_budget(ServiceBudgets::allows_trial)
        {
            return None;
        }
        let records = self.usable_instances();
        let now = self.ingress.sources.clock.now();
        let index = self
            .ingress
            .with_picker(&self.plan.service, |picker, rng| {
                picker.retain(&records);
                let index = picker.pick_suspect(&records, now, rng)?;
                picker.on_start(&records[index].instance, now);
                Some(index)
            })?;
        Some(ChosenInstance {
            record: records[index].clone(),
            is_forced: false,
            wait: NO_WAIT,
            kind: OfferKind::Trial,
        })
    }

    /// Picks the instance for a request that may end instances: the same one at each ingress, so that
    /// in the whole fleet one run follows the other.
    pub(crate) fn choose_for_suspect(&self, history: &AttemptHistory) -> Option<ChosenInstance> {
        let records = self.usable_instances();
        let candidates = records.iter().filter(|record| {
            record.phase == InstancePhase::Ready
                && record.health.accepts(self.plan.idempotent)
                && !history.is_excluded(&record.instance)
        });
        let score = |record: &&InstanceRecord| {
            rendezvous_score(record.instance.as_str(), self.digest.content)
        };
        let record = candidates.max_by_key(score)?.clone();
        let now = self.ingress.sources.clock.now();
        self.ingress.with_picker(&self.plan.service, |picker, _| {
            picker.retain(&records);
            picker.on_start(&record.instance, now);
        });
        Some(ChosenInstance {
            record,
            is_forced: false,
            wait: OfferWait::Unbounded,
            kind: OfferKind::Regular,
        })
    }

    /// The records whose instances may get requests: without those in evacuated zones and in zones that
    /// refused a request because of an evacuation. Records of other regions are added when no ready
    /// instance of this region is left.
    pub(crate) fn usable_instances(&self) -> Rc<[InstanceRecord]> {
        let (sources, service) = (&self.ingress.sources, &self.plan.service);
        let known = sources.config.evacuated_zones();
        let records = sources.members.instances_of(service);
        let mut state = self.ingress.state.borrow_mut();
        let closed = state
            .avoided_zones
            .closed_zones(&known, sources.clock.now());
        let zones = closed.as_ref().unwrap_or(&known);
        let usable = state.record_filter.usable(service, records, zones);
        let is_ready = |record: &InstanceRecord| record.phase == InstancePhase::Ready;
        if zones.is_empty() || usable.iter().any(is_ready) {
            return usable;
        }
        let records = sources.members.instances_of_regions(service);
        state.record_filter.usable(service, records, zones)
    }

    /// Whether the service has instances, but none outside of evacuated zones.
    pub(crate) fn is_evacuated(&self) -> bool {
        let members = &self.ingress.sources.members;
        let has_instances = !members.instances_of(&self.plan.service).is_empty();
        has_instances && self.usable_instances().is_empty()
    }

    /// Avoids the zone of an instance whose egress refused a request because of an evacuation.
    fn avoid_zone(&self, zone: &ZoneId) {
        let sources = &self.ingress.sources;
        let known = sources.config.evacuated_zones();
        let known_age_ms = sources.config.evacuation_age().map(|age| age.as_millis());
        let now = sources.clock.now();
        let mut state = self.ingress.state.borrow_mut();
        if state.avoided_zones.avoid(zone.clone(), &known, now) {
            log::info!(target: log_target::INGRESS, zone:%, known:% = *known, known_age_ms:?; "Zone is avoided: its egress refused a request because of an evacuation.");
        }
    }

    fn pick_round_robin(
        &self,
        records: &[InstanceRecord],
        tried: &[InstanceId],
        wait: OfferWait,
    ) -> Option<ChosenInstance> {
        let mut state = self.ingress.state.borrow_mut();
        let round_robin = state
            .round_robins
            .entry(self.plan.service.clone())
            .or_default();
        let instance = round_robin.pick(records, tried)?;
        let record = find_record(records, &instance)?;
        Some(ChosenInstance {
            record,
            is_forced: true,
            wait,
            kind: OfferKind::Regular,
        })
    }

    /// Updates the picker with the load that the egress reported; without a report the egress counts
    /// as unreachable.
    pub(crate) fn update_load(&self, instance: &InstanceId, load: Option<InstanceLoad>) {
        let now = self.ingress.sources.clock.now();
        if let Some(load) = load {
            self.record_pressure(instance, load, now);
        }
        self.ingress
            .with_picker(&self.plan.service, |picker, _| match load {
                Some(load) => picker.on_response(instance, load, now),
                None => picker.on_unreachable(instance, now),
            });
    }

    fn record_pressure(&self, instance: &InstanceId, load: InstanceLoad, now: MonoTime) {
        let mut state = self.ingress.state.borrow_mut();
        let service = &self.plan.service;
        if load.closed_priorities > 0 && !state.pressures.contains_key(service) {
            let pressure = ServicePressure::default();
            state.pressures.insert(service.clone(), pressure);
        }
        if let Some(pressure) = state.pressures.get_mut(service) {
            pressure.record(instance, load.closed_priorities, now);
        }
    }

    /// Avoids an instance whose egress refused the request for its health or its limit, or because it
    /// is cold, or the whole zone of one whose egress refused it because of an evacuation.
    pub(crate) fn avoid_refusing(&self, record: &InstanceRecord, failure: &AttemptFailure) {
        let span = match failure.reason {
            Some(RefusalReason::Unhealthy) => UNHEALTHY_AVOIDANCE,
            Some(RefusalReason::LimitReached | RefusalReason::Cold) => failure.retry_after,
            Some(RefusalReason::Evacuated) => return self.avoid_zone(&record.zone),
            _ => return,
        };
        let is_cold = failure.reason == Some(RefusalReason::Cold);
        let until = self.ingress.sources.clock.now().after(span);
        let instance = &record.instance;
        self.ingress
            .with_picker(&self.plan.service, |picker, _| match is_cold {
                true => picker.wait_for_token(instance, until),
                false => picker.avoid(instance, until),
            });
    }

    /// The refusal to use instead of `refusal` if no instance was left because those that may take the
    /// request are cold: it tells when one takes requests again, spread so that the callers do not
    /// come back together.
    pub(crate) fn cold_refusal(&self, refusal: RequestRefusal) -> RequestRefusal {
        let (None | Some(RefusalReason::Cold)) = (match &refusal {
            RequestRefusal::NoCapacity(reason, _) => *reason,
            _ => return refusal,
        }) else {
            return refusal;
        };
        let records = self.usable_instances();
        let now = self.ingress.sources.clock.now();
        let retry_after = self.ingress.with_picker(&self.plan.service, |picker, rng| {
            let wait = picker.cold_wait(&records, now)?;
            Some(wait + COLD_RETURN_SPREAD.mul_f64(rng.f64()))
        });
        match retry_after {
            Some(retry_after) => RequestRefusal::NoCapacity(Some(RefusalReason::Cold), retry_after),
            None => refusal,
        }
    }
}

fn find_record(records: &[InstanceRecord], instance: &InstanceId) -> Option<InstanceRecord> {
    let mut records = records.iter();
    records.find(|record| record.instance == *instance).cloned()
}
