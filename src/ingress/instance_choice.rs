//! Choice of the instance for the next attempt at a request.

use std::rc::Rc;
use std::time::Duration;

use crate::balance::{PickCriteria, PickScope};
use crate::ids::InstanceId;
use crate::ingress::caller_request::CallerRequest;
use crate::ingress::offer_wait::OfferWait;
use crate::ingress::{AttemptFailure, AttemptHistory};
use crate::retry::RetryBudget;
use crate::wire::{InstanceLoad, InstanceRecord, RefusalReason};

/// How long an instance is avoided after its egress refused a request for its health. About the time
/// in which a failing instance shows that it has recovered.
const UNHEALTHY_AVOIDANCE: Duration = Duration::from_millis(500);

/// An instance chosen for an attempt.
pub(crate) struct ChosenInstance {
    pub(crate) record: InstanceRecord,
    /// Whether the ingress sends the request although it knows that the instance's health excludes it.
    pub(crate) is_forced: bool,
    pub(crate) wait: OfferWait,
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

    /// Returns the records of the service's instances that requests may be sent to.
    pub(crate) fn service_records(&self) -> Rc<[InstanceRecord]> {
        let members = &self.ingress.sources.members;
        members.instances_of(&self.plan.service)
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
        let records = self.service_records();
        if self.ingress.sources.baseline.round_robin {
            return self.pick_round_robin(&records, tried, wait);
        }
        let now = self.ingress.sources.clock.now();
        let criteria = PickCriteria {
            floor: self.plan.floor,
            tried,
            idempotent: self.plan.idempotent,
            may_wait: needs_healthy,
            allows_trial: self.with_budget(RetryBudget::allows_trial),
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
        })
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
        })
    }

    /// Updates the picker with the load that the egress reported; without a report the egress counts
    /// as unreachable.
    pub(crate) fn update_load(&self, instance: &InstanceId, load: Option<InstanceLoad>) {
        let now = self.ingress.sources.clock.now();
        self.ingress
            .with_picker(&self.plan.service, |picker, _| match load {
                Some(load) => picker.on_response(instance, load, now),
                None => picker.on_unreachable(instance, now),
            });
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
