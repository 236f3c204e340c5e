//! An admitted request and the attempts to have an instance serve it.

use actix_http::Response;
use actix_http::body::BoxBody;
use bytes::Bytes;

use crate::crashes::RequestStanding;
use crate::execution_verdict::ExecutionVerdict;
use crate::http::HeaderList;
use crate::ids::{RequestId, ServiceId};
use crate::ingress::attempt_loop::AttemptLoop;
use crate::ingress::ingress_handle::InFlightGuard;
use crate::ingress::instance_choice::ChosenInstance;
use crate::ingress::zone_attempts::ZoneAttempts;
use crate::ingress::{AttemptHistory, IngressHandle, RequestPlan, RequestRefusal};
use crate::resource::RequestClass;
use crate::retry::{BudgetScope, ServiceBudgets};
use crate::time::{Deadline, MonoTime};
use crate::units::Percent;
use crate::wire::{
    BackendHead, InstancePhase, InstanceRecord, RefusalReason, RequestDigest, RequestOffer,
};

/// A request that passed the checks and the rate limit.
pub(crate) struct CallerRequest<'a> {
    pub(crate) ingress: &'a IngressHandle,
    pub(crate) id: RequestId,
    pub(crate) digest: RequestDigest,
    /// The request name that instances see in the request header.
    pub(crate) name: String,
    /// The `Host` header of the caller, with its port.
    pub(crate) host: Option<String>,
    pub(crate) plan: RequestPlan,
    pub(crate) deadline: Deadline,
    /// Until when a response is of full use to the caller; none if the route has no goal.
    pub(crate) goal: Option<Deadline>,
    pub(crate) method: String,
    /// Path and query.
    pub(crate) target: String,
    pub(crate) headers: HeaderList,
    pub(crate) body: Bytes,
}

impl CallerRequest<'_> {
    /// Has an instance serve the request.
    ///
    /// # Errors
    /// The refusal for the caller if no instance gave a response.
    pub(crate) async fn run_attempts(
        &self,
        guard: InFlightGuard,
    ) -> Result<Response<BoxBody>, RequestRefusal> {
        self.check_pressure()?;
        self.record_attempt();
        AttemptLoop::open(self).run(guard).await
    }

    pub(crate) fn standing(&self) -> RequestStanding {
        self.ingress.sources.suspects.standing(self.digest)
    }

    /// Refuses a request that its service has no room for in time. Requests that a running request
    /// waits for are always offered: refusing one would waste the work on the request that made it.
    fn check_pressure(&self) -> Result<(), RequestRefusal> {
        let (service, priority) = (&self.plan.service, self.plan.priority);
        let is_call = self.plan.class == RequestClass::InternalCheck;
        if is_call || !self.ingress.state.borrow().pressures.contains_key(service) {
            return Ok(());
        }
        let records = self.usable_instances();
        let usable = records.iter().filter(|record| {
            record.phase == InstancePhase::Ready && record.health.accepts(self.plan.idempotent)
        });
        let instances = usable.map(|record| (&record.instance, &record.zone));
        let now = self.ingress.sources.clock.now();
        let mut state = self.ingress.state.borrow_mut();
        let pressure = state.pressures.entry(service.clone()).or_default();
        let admitted = pressure.admit(priority, instances, now);
        admitted.map_err(|retry_after| RequestRefusal::ServiceFull(priority, retry_after))
    }

    pub(crate) fn deadline_passed(&self) -> bool {
        self.deadline.has_passed(self.ingress.sources.clock.now())
    }

    pub(crate) fn refusal(&self, history: &AttemptHistory) -> RequestRefusal {
        match history.refusal(self.deadline_passed()) {
            refusal if refusal.verdict() != ExecutionVerdict::NotRun => refusal,
            RequestRefusal::NoCapacity(Some(RefusalReason::EndsInstances), _) => {
                RequestRefusal::EndsInstances
            }
            _ if !self.may_start() => RequestRefusal::Stopping,
            RequestRefusal::NoCapacity(None, span) if self.is_evacuated() => {
                RequestRefusal::NoCapacity(Some(RefusalReason::Evacuated), span)
            }
            refusal => self.cold_refusal(refusal),
        }
    }

    pub(crate) fn offer(&self, chosen: &ChosenInstance) -> RequestOffer {
        let record = &chosen.record;
        let sources = &self.ingress.sources;
        let now = sources.clock.now();
        let remaining = self.deadline.remaining(now);
        let goal = self.goal.map(|goal| goal.remaining(now));
        RequestOffer {
            boot: sources.boot,
            request: self.id,
            instance: record.instance.clone(),
            service: self.plan.service.clone(),
            route: self.plan.route.clone(),
            account: self.plan.account.clone(),
            client_account: self.plan.key_account.clone(),
            caller: sources.service.clone(),
            digest: Some(self.digest),
            request_name: self.name.clone(),
            host: self.host.clone(),
            priority: self.plan.priority,
            is_forced: chosen.is_forced,
            class: self.plan.class,
            idempotent: self.plan.idempotent,
            may_wait: chosen.wait.may_wait(),
            max_wait_micros: chosen.wait.max_micros(),
            remaining_micros: u64::try_from(remaining.as_micros()).unwrap_or(u64::MAX),
            goal_micros: goal.and_then(|goal| u64::try_from(goal.as_micros()).ok()),
            account_weight: self.plan.account_weight,
            method: self.method.clone(),
            target: self.target.clone(),
            headers: self.headers.clone(),
            body: Vec::new(),
        }
    }

    pub(crate) fn with_budget<T>(
        &self,
        act: impl FnOnce(&mut ServiceBudgets, &BudgetScope<'_>, MonoTime) -> T,
    ) -> T {
        let now = self.ingress.sources.clock.now();
        let share = self.plan.retry_budget;
        self.ingress
            .with_budget(&self.plan.service, share, |budgets, scope| {
                act(budgets, scope, now)
            })
    }

    /// Counts the request for the budget of its service, and as a call if an instance beside the
    /// daemon sent it.
    fn record_attempt(&self) {
        let is_call = self.plan.class == RequestClass::InternalCheck;
        self.with_budget(|budgets, scope, now| budgets.record_attempt(scope, is_call, now));
        if is_call {
            let sources = &self.ingress.sources;
            let mut rates = sources.call_rates.borrow_mut();
            rates.record_call(&self.plan.service, sources.clock.now());
        }
    }

    pub(crate) fn learn_calls(&self, head: &BackendHead) {
        // A daemon that has just started doesn't know; what others have told stays valid.
        let Some(calls) = &head.calls else {
            return;
        };
        let catalog = self.ingress.sources.config.catalog();
        let share_of = |service: &ServiceId| {
            let spec = catalog.service(service);
            spec.map_or(Percent::ZERO, |spec| spec.retry_budget)
        };
        let mut state = self.ingress.state.borrow_mut();
        let budgets = &mut state.budgets;
        budgets.learn_calls(&self.plan.service, calls, share_of);
    }

    pub(crate) fn record_completed(
        &self,
        head: &BackendHead,
        record: &InstanceRecord,
        zones: Option<&ZoneAttempts>,
    ) {
        if let Some(zones) = zones {
            self.count_zone(zones, record);
        }
        if head.status < 500 {
            let mut state = self.ingress.state.borrow_mut();
            state.credits.record_completed(
                &self.plan.account,
                self.plan.class,
                self.plan.weight.get(),
            );
        }
    }
}
