//! Choice of the instance for the next attempt at a request.

use std::time::Duration;

use crate::balance::PickCriteria;
use crate::ids::InstanceId;
use crate::ingress::caller_request::CallerRequest;
use crate::ingress::{AttemptFailure, AttemptHistory};
use crate::pressure::ServicePressure;
use crate::retry::RetryBudget;
use crate::time::MonoTime;
use crate::wire::{InstanceLoad, InstanceRecord, RefusalReason};

/// How long an instance is avoided after its egress refused a request for its health. About the time
/// in which a failing instance shows that it has recovered.
const UNHEALTHY_AVOIDANCE: Duration = Duration::from_millis(500);

/// An instance chosen for an attempt.
pub(crate) struct ChosenInstance {
    pub(crate) record: InstanceRecord,
    /// Whether the ingress sends the request although it knows that the instance's health excludes it.
    pub(crate) is_forced: bool,
}

impl CallerRequest<'_> {
    /// Picks the next instance; instances found busy are picked again when no other is left.
    pub(crate) fn next_instance(&self, history: &mut AttemptHistory) -> Option<ChosenInstance> {
        if let Some(chosen) = self.pick_instance(history) {
            return Some(chosen);
        }
        if !history.retry_busy() {
            return None;
        }
        self.pick_instance(history)
    }

    fn pick_instance(&self, history: &AttemptHistory) -> Option<ChosenInstance> {
        let tried = history.tried();
        let records = self
            .ingress
            .sources
            .members
            .instances_of(&self.plan.service);
        if self.ingress.sources.baseline.round_robin {
            return self.pick_round_robin(&records, tried);
        }
        let now = self.ingress.sources.clock.now();
        let criteria = PickCriteria {
            floor: self.plan.floor,
            tried,
            idempotent: self.plan.idempotent,
            may_wait: !self.plan.idempotent && history.has_busy(),
            allows_trial: self.with_budget(RetryBudget::allows_trial),
            is_bulk: self.plan.class.is_bulk(),
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
        })
    }

    fn pick_round_robin(
        &self,
        records: &[InstanceRecord],
        tried: &[InstanceId],
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

    /// Avoids an instance whose egress refused the request for its health or its limit.
    pub(crate) fn avoid_refusing(&self, instance: &InstanceId, failure: &AttemptFailure) {
        let span = match failure.reason {
            Some(RefusalReason::Unhealthy) => UNHEALTHY_AVOIDANCE,
            Some(RefusalReason::LimitReached) => failure.retry_after,
            _ => return,
        };
        let until = self.ingress.sources.clock.now().after(span);
        self.ingress.with_picker(&self.plan.service, |picker, _| {
            picker.avoid(instance, until)
        });
    }
}

fn find_record(records: &[InstanceRecord], instance: &InstanceId) -> Option<InstanceRecord> {
    let mut records = records.iter();
    records.find(|record| record.instance == *instance).cloned()
}
