//! An admitted request and the attempts to have an instance serve it.

use std::time::Duration;

use actix_http::Response;
use actix_http::body::BoxBody;
use bytes::Bytes;

use crate::crashes::RequestStanding;
use crate::execution_verdict::ExecutionVerdict;
use crate::http::HeaderList;
use crate::ids::{RequestId, ServiceId};
use crate::ingress::attempt_task::{AttemptOutcome, AttemptTask};
use crate::ingress::caller_response::{complete_response, streaming_response};
use crate::ingress::ingress_handle::InFlightGuard;
use crate::ingress::instance_choice::ChosenInstance;
use crate::ingress::zone_attempts::ZoneAttempts;
use crate::ingress::{AttemptHistory, IngressHandle, RequestPlan, RequestRefusal};
use crate::logs::log_target;
use crate::resource::RequestClass;
use crate::retry::{BudgetScope, ServiceBudgets};
use crate::time::{Deadline, MonoTime};
use crate::units::Percent;
use crate::wire::{
    BackendHead, InstancePhase, InstanceRecord, RefusalReason, RequestDigest, RequestOffer,
};

/// Shortest timeout of an attempt that can be retried at another instance.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of an attempt, in multiples of the instance's median service time.
const ATTEMPT_TIMEOUT_MEDIANS: u32 = 20;

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
    /// Attempts the request at one instance after another, as far as the verdicts, the retry budget
    /// and the deadline allow.
    ///
    /// A response that could be retried is kept and returned if no later attempt succeeds.
    pub(crate) async fn run_attempts(
        &self,
        guard: InFlightGuard,
    ) -> Result<Response<BoxBody>, RequestRefusal> {
        let mut history = match self.plan.max_attempts {
            Some(max_attempts) => AttemptHistory::open(max_attempts),
            None => AttemptHistory::default(),
        }
        .with_no_wait_offers(self.ingress.sources.proxy.no_wait_offers as usize);
        self.check_pressure()?;
        let mut last_response = None;
        self.record_attempt();
        let mut zones = self.open_zone_attempts();
        while let Some(chosen) = self.next_attempt(&mut history, zones.as_mut()) {
            let record = &chosen.record;
            history.record_attempt(record.instance.clone());
            let begin = self.ingress.sources.clock.now();
            let outcome = self.attempt(&chosen, &history).await;
            self.log_attempt(record, &history, &outcome);
            // An instance that is not healthy tells nothing of the room of its zone.
            if let Some(zones) = zones.as_mut().filter(|_| !chosen.is_trial) {
                self.record_zone_outcome(zones, &chosen, &outcome, begin);
            }
            match outcome {
                AttemptOutcome::Complete { head, body, load } => {
                    self.update_load(&record.instance, Some(load));
                    self.learn_calls(&head);
                    if !self.is_retryable_response(&head)
                        || !self.may_retry(&history, ExecutionVerdict::MayHaveRun, false)
                    {
                        self.record_completed(&head, record, zones.as_ref());
                        return Ok(complete_response(&head, body));
                    }
                    history.record_response();
                    last_response = Some((head, body));
                }
                AttemptOutcome::Streaming(response) => {
                    self.update_load(&record.instance, Some(response.head.load));
                    self.learn_calls(&response.head);
                    self.record_completed(&response.head, record, zones.as_ref());
                    let clock = self.ingress.sources.clock;
                    let budget = &self.ingress.answer_budget;
                    return Ok(streaming_response(
                        response,
                        self.deadline,
                        clock,
                        guard,
                        budget,
                    ));
                }
                AttemptOutcome::Failed { failure, load } => {
                    self.update_load(&record.instance, load);
                    self.avoid_refusing(record, &failure);
                    history.record_failure(failure);
                    if !self.may_retry(&history, failure.verdict, failure.is_unreached()) {
                        break;
                    }
                    if failure.reason == Some(RefusalReason::SuspectRunning) {
                        actix_rt::time::sleep(failure.retry_after).await;
                    }
                }
            }
        }
        match last_response {
            Some((head, body)) => Ok(complete_response(&head, body)),
            None => Err(self.refusal(&history)),
        }
    }

    /// Chooses the instance of the next offer; none when no instance may take the request.
    fn next_attempt(
        &self,
        history: &mut AttemptHistory,
        zones: Option<&mut ZoneAttempts>,
    ) -> Option<ChosenInstance> {
        match self.standing() {
            RequestStanding::Suspected(_) => self.choose_for_suspect(history),
            RequestStanding::Clear | RequestStanding::Refused(_) => {
                self.choose_instance(history, zones)
            }
        }
    }

    fn standing(&self) -> RequestStanding {
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

    fn deadline_passed(&self) -> bool {
        self.deadline.has_passed(self.ingress.sources.clock.now())
    }

    /// Whether the daemon shuts down and every request must be answered now.
    fn is_cut_off(&self) -> bool {
        let now = self.ingress.sources.clock.now();
        self.ingress.shutdown.must_answer(now)
    }

    fn refusal(&self, history: &AttemptHistory) -> RequestRefusal {
        match history.refusal(self.deadline_passed()) {
            refusal if refusal.verdict() != ExecutionVerdict::NotRun => refusal,
            RequestRefusal::NoCapacity(Some(RefusalReason::EndsInstances), _) => {
                RequestRefusal::EndsInstances
            }
            _ if self.is_cut_off() => RequestRefusal::Stopping,
            RequestRefusal::NoCapacity(None, span) if self.is_evacuated() => {
                RequestRefusal::NoCapacity(Some(RefusalReason::Evacuated), span)
            }
            refusal => self.cold_refusal(refusal),
        }
    }

    async fn attempt(&self, chosen: &ChosenInstance, history: &AttemptHistory) -> AttemptOutcome {
        let record = &chosen.record;
        let sources = &self.ingress.sources;
        let deadline = self.attempt_deadline(chosen, history);
        let task = AttemptTask {
            peers: &sources.peers,
            clock: sources.clock,
            shutdown: &self.ingress.shutdown,
            address: record.egress,
            deadline,
            buffer_bytes: sources.proxy.buffer_answer.as_usize(),
            answer_budget: &self.ingress.answer_budget,
            suspects: &sources.suspects,
        };
        let offer = self.offer(chosen, deadline);
        task.run(offer, self.body.clone()).await
    }

    /// Returns the deadline of the next attempt. Unless the attempt is the last, that of an idempotent
    /// request leaves time for another one.
    fn attempt_deadline(&self, chosen: &ChosenInstance, history: &AttemptHistory) -> Deadline {
        let record = &chosen.record;
        let now = self.ingress.sources.clock.now();
        let remaining = self.deadline.remaining(now);
        if !self.plan.idempotent || history.is_last() {
            return self.deadline;
        }
        let median = Duration::from_micros(u64::from(record.median_micros));
        let timeout = match self.plan.class {
            RequestClass::Extract => remaining / 2,
            _ if record.median_micros == 0 => remaining / 2,
            _ => (median * ATTEMPT_TIMEOUT_MEDIANS).max(MIN_ATTEMPT_TIMEOUT),
        };
        now.after(timeout.saturating_add(chosen.wait.bound()).min(remaining))
    }

    fn offer(&self, chosen: &ChosenInstance, deadline: Deadline) -> RequestOffer {
        let record = &chosen.record;
        let sources = &self.ingress.sources;
        let now = sources.clock.now();
        let remaining = deadline.remaining(now);
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

    fn log_attempt(
        &self,
        record: &InstanceRecord,
        history: &AttemptHistory,
        outcome: &AttemptOutcome,
    ) {
        let (status, failure) = match outcome {
            AttemptOutcome::Complete { head, .. } => (head.status, None),
            AttemptOutcome::Streaming(response) => (response.head.status, None),
            AttemptOutcome::Failed { failure, .. } => (0, Some(failure)),
        };
        let now = self.ingress.sources.clock.now();
        log::debug!(
            target: log_target::INGRESS,
            request = self.name,
            route:% = self.plan.route,
            account:% = self.plan.account,
            attempt = history.tried().len(),
            instance:% = record.instance,
            health:? = record.health,
            status,
            failure:?,
            left_ms = self.deadline.remaining(now).as_millis();
            "Attempt ended."
        );
    }

    /// Returns whether a retry of an idempotent request may turn this server error into a success.
    fn is_retryable_response(&self, head: &BackendHead) -> bool {
        self.plan.idempotent && matches!(head.status, 500 | 502 | 503 | 504)
    }

    /// Returns whether another attempt follows. A failed attempt that reached no instance takes
    /// nothing from the retry budget.
    fn may_retry(
        &self,
        history: &AttemptHistory,
        verdict: ExecutionVerdict,
        is_unreached: bool,
    ) -> bool {
        let obstacle = if !verdict.allows_retry(self.plan.idempotent) {
            Some("the request may have run and is not idempotent")
        } else if let Some(obstacle) = self.suspicion(is_unreached) {
            Some(obstacle)
        } else if history.is_last() {
            Some("the maximum number of attempts is reached")
        } else if self.deadline_passed() {
            Some("the deadline has passed")
        } else if self.is_cut_off() {
            Some("the daemon shuts down")
        } else if !is_unreached && !self.with_budget(ServiceBudgets::try_retry) {
            Some("the retry budget is exhausted")
        } else {
            None
        };
        if let Some(obstacle) = obstacle {
            log::info!(
                target: log_target::INGRESS,
                request = self.name,
                route:% = self.plan.route,
                service:% = self.plan.service,
                attempts = history.tried().len(),
                verdict:%,
                obstacle;
                "No further attempt."
            );
            return false;
        }
        if !history.last_was_busy() {
            self.ingress.state.borrow_mut().totals.retries += 1;
        }
        true
    }

    /// Why a request that may end instances is not sent again. After one end it is, since most of the
    /// requests that run when an instance ends are innocent.
    fn suspicion(&self, is_unreached: bool) -> Option<&'static str> {
        match self.standing() {
            RequestStanding::Refused(_) => Some("the request ends the instances that run it"),
            RequestStanding::Suspected(ends) if ends > 1 && !is_unreached => {
                Some("several instances have ended while they ran the request")
            }
            RequestStanding::Suspected(_) | RequestStanding::Clear => None,
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

    fn learn_calls(&self, head: &BackendHead) {
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

    fn record_completed(
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
