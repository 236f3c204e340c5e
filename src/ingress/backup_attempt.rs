//! Attempts at a request: the time after which one is overdue, and the backup beside it.

use std::time::Duration;

use crate::balance::PickScope;
use crate::crashes::RequestStanding;
use crate::ingress::attempt_task::AttemptTask;
use crate::ingress::caller_request::CallerRequest;
use crate::ingress::counted_offer::CountedOffer;
use crate::ingress::instance_choice::ChosenInstance;
use crate::ingress::offer_kind::OfferKind;
use crate::ingress::running_attempts::EndedAttempt;
use crate::ingress::zone_attempts::NO_WAIT;
use crate::ingress::{AttemptHistory, OverdueRule};
use crate::logs::log_target;
use crate::resource::RequestClass;
use crate::retry::ServiceBudgets;
use crate::time::{Deadline, MonoTime};
use crate::wire::InstanceRecord;

impl CallerRequest<'_> {
    /// Runs an attempt at the chosen instance.
    pub(crate) async fn attempt(&self, chosen: ChosenInstance) -> EndedAttempt {
        let sources = &self.ingress.sources;
        let begin = sources.clock.now();
        let last_start = || self.last_start();
        let task = AttemptTask {
            peers: &sources.peers,
            clock: sources.clock,
            shutdown: &self.ingress.shutdown,
            address: chosen.record.egress,
            deadline: self.deadline,
            last_start: &last_start,
            buffer_bytes: sources.proxy.buffer_answer.as_usize(),
            answer_budget: &self.ingress.answer_budget,
            suspects: &sources.suspects,
        };
        let counted = CountedOffer::open(self, &chosen.record.instance);
        let outcome = task.run(self.offer(&chosen), self.body.clone()).await;
        counted.end();
        EndedAttempt {
            chosen,
            begin,
            outcome,
        }
    }

    /// Returns when an attempt that begins now is overdue.
    pub(crate) fn overdue_at(&self, chosen: &ChosenInstance) -> Deadline {
        let now = self.ingress.sources.clock.now();
        let rule = OverdueRule {
            is_bulk: self.plan.class == RequestClass::Extract,
            usual_time: self.usual_time(&chosen.record),
            wait: chosen.wait.bound(),
        };
        rule.overdue_at(now, self.deadline)
    }

    /// Chooses a healthy instance for a backup attempt, which runs only if a slot is free there, and counts the
    /// attempt as a retry.
    ///
    /// Returns none while the daemon shuts down, or if the backup could not end before the deadline.
    pub(crate) fn choose_backup(&self, history: &AttemptHistory) -> Option<ChosenInstance> {
        let is_excluded = !self.plan.idempotent
            || history.is_last()
            || self.ingress.is_stopping()
            || self.standing() != RequestStanding::Clear;
        // The rest of the budget is for requests whose attempt has failed.
        if is_excluded
            || !self.with_budget(ServiceBudgets::allows_trial)
            || !self.with_budget(ServiceBudgets::allows_retry)
        {
            return None;
        }
        let left = self.deadline.remaining(self.ingress.sources.clock.now());
        if self.route_time().unwrap_or_default() >= left {
            return None;
        }
        let chosen = self.pick_instance(history, PickScope::All, true, NO_WAIT)?;
        self.with_budget(ServiceBudgets::try_retry);
        self.ingress.state.borrow_mut().totals.backups += 1;
        log::info!(
            target: log_target::INGRESS,
            request = self.name,
            service:% = self.plan.service,
            attempts = history.tried().len(),
            instance:% = chosen.record.instance,
            left_ms = left.as_millis();
            "Attempt overdue; backup started."
        );
        Some(ChosenInstance {
            kind: OfferKind::Backup,
            ..chosen
        })
    }

    /// Whether less time is left than half of the route's requests take.
    pub(crate) fn is_too_late(&self) -> bool {
        let left = self.deadline.remaining(self.ingress.sources.clock.now());
        self.route_time().is_some_and(|time| left < time / 2)
    }

    /// How long the request usually takes at the instance; none if unknown. The median of an instance mixes
    /// all routes, and of a stalled one it is the time of the stall, so the time of the route comes first.
    fn usual_time(&self, record: &InstanceRecord) -> Option<Duration> {
        let median = Duration::from_micros(u64::from(record.median_micros));
        let median = (!median.is_zero()).then_some(median);
        self.route_time().or(median)
    }

    /// How long requests of the route take without a wait for a slot, which only the brief offers of
    /// zone-local routing show; none if unknown.
    fn route_time(&self) -> Option<Duration> {
        let times = &self.ingress.state.borrow().route_times;
        let time = times.expected(&self.plan.service, &self.plan.route);
        time.filter(|_| self.is_zone_local())
    }

    /// Adds the time of an attempt that began at `begin` and has its whole response now.
    pub(crate) fn observe_time(&self, begin: MonoTime) {
        let span = self.ingress.sources.clock.now().since(begin);
        let times = &mut self.ingress.state.borrow_mut().route_times;
        times.observe(&self.plan.service, &self.plan.route, span);
    }
}
