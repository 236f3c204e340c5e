//! Attempts a request at one instance after another, and beside an overdue attempt at a second one.

use std::time::Duration;

use actix_http::Response;
use actix_http::body::BoxBody;

use crate::crashes::RequestStanding;
use crate::execution_verdict::ExecutionVerdict;
use crate::ingress::attempt_task::{AttemptOutcome, StreamingResponse};
use crate::ingress::caller_request::CallerRequest;
use crate::ingress::caller_response::{complete_response, streaming_response};
use crate::ingress::held_body::HeldBody;
use crate::ingress::ingress_handle::InFlightGuard;
use crate::ingress::instance_choice::ChosenInstance;
use crate::ingress::running_attempts::{AttemptStep, EndedAttempt, RunningAttempts};
use crate::ingress::zone_attempts::ZoneAttempts;
use crate::ingress::{AttemptFailure, AttemptHistory, RequestRefusal};
use crate::logs::log_target;
use crate::retry::ServiceBudgets;
use crate::wire::{BackendHead, InstanceLoad, RefusalReason};

/// The attempts at one request.
pub(crate) struct AttemptLoop<'a> {
    request: &'a CallerRequest<'a>,
    history: AttemptHistory,
    /// None where zone-local routing is off.
    zones: Option<ZoneAttempts>,
    running: RunningAttempts<'a>,
    /// The last response that another attempt may improve on; returned if none does.
    last_response: Option<(BackendHead, HeldBody)>,
}

/// What follows the end of an attempt.
enum NextStep {
    /// The response is returned to the caller.
    Complete(BackendHead, HeldBody),
    /// The response is returned to the caller while it is received.
    Streaming(StreamingResponse),
    /// Another attempt follows after this time.
    Retry(Duration),
    /// Nothing is started: another attempt is running, or none may follow.
    Wait,
}

impl<'a> AttemptLoop<'a> {
    /// Creates the loop of a request without attempts.
    pub(crate) fn open(request: &'a CallerRequest<'a>) -> Self {
        let no_wait_offers = request.ingress.sources.proxy.no_wait_offers as usize;
        let history = match request.plan.max_attempts {
            Some(max_attempts) => AttemptHistory::open(max_attempts),
            None => AttemptHistory::default(),
        };
        Self {
            request,
            history: history.with_no_wait_offers(no_wait_offers),
            zones: request.open_zone_attempts(),
            running: RunningAttempts::open(request.ingress.sources.clock),
            last_response: None,
        }
    }

    /// Attempts the request as far as the verdicts, the retry budget and the deadline allow.
    ///
    /// Each attempt may take the whole time of the request: an instance at work is given up only for the
    /// response of another.
    pub(crate) async fn run(
        mut self,
        guard: InFlightGuard,
    ) -> Result<Response<BoxBody>, RequestRefusal> {
        let mut next = self.choose_next();
        loop {
            if let Some(chosen) = next.take() {
                self.start(chosen);
            }
            let Some(step) = self.running.next_step().await else {
                return self.end_without_response();
            };
            let ended = match step {
                AttemptStep::Ended(ended) => *ended,
                AttemptStep::Overdue => {
                    next = self.choose_backup();
                    continue;
                }
            };
            match self.handle_end(ended) {
                NextStep::Complete(head, body) => return Ok(complete_response(&head, body)),
                NextStep::Streaming(response) => {
                    let ingress = self.request.ingress;
                    return Ok(streaming_response(
                        response,
                        self.request.deadline,
                        ingress.sources.clock,
                        guard,
                        &ingress.answer_budget,
                    ));
                }
                NextStep::Retry(pause) => {
                    if !pause.is_zero() {
                        actix_rt::time::sleep(pause).await;
                    }
                    next = self.choose_next();
                }
                NextStep::Wait => {}
            }
        }
    }

    /// Chooses the instance of the next offer; none when no instance may take the request.
    fn choose_next(&mut self) -> Option<ChosenInstance> {
        match self.request.standing() {
            RequestStanding::Suspected(_) => self.request.choose_for_suspect(&self.history),
            RequestStanding::Clear | RequestStanding::Refused(_) => self
                .request
                .choose_instance(&mut self.history, self.zones.as_mut()),
        }
    }

    /// Chooses the instance of a backup attempt, if one may run beside the overdue attempt.
    fn choose_backup(&mut self) -> Option<ChosenInstance> {
        self.running.postpone(self.request.backup_recheck());
        if self.running.count() > 1 {
            return None;
        }
        self.request.choose_backup(&self.history)
    }

    fn start(&mut self, chosen: ChosenInstance) {
        self.history.record_attempt(chosen.record.instance.clone());
        let overdue_at = self.request.overdue_at(&chosen);
        self.running.start(self.request.attempt(chosen), overdue_at);
    }

    /// Records the end of an attempt and returns what follows.
    fn handle_end(&mut self, ended: EndedAttempt) -> NextStep {
        self.log_attempt(&ended);
        let EndedAttempt {
            chosen,
            begin,
            outcome,
        } = ended;
        if let Some(zones) = self.zones.as_mut().filter(|_| chosen.kind.tells_of_zones()) {
            self.request
                .record_zone_outcome(zones, &chosen, &outcome, begin);
        }
        let record = &chosen.record;
        match outcome {
            AttemptOutcome::Complete { head, body, load } => {
                self.take_response(&chosen, &head, load);
                if self.is_improvable(&head)
                    && let Some(step) = self.follow_up(ExecutionVerdict::MayHaveRun, false)
                {
                    self.history.record_response();
                    self.last_response = Some((head, body));
                    return step;
                }
                self.request
                    .record_completed(&head, record, self.zones.as_ref());
                NextStep::Complete(head, body)
            }
            AttemptOutcome::Streaming(response) => {
                self.take_response(&chosen, &response.head, response.head.load);
                self.request
                    .record_completed(&response.head, record, self.zones.as_ref());
                NextStep::Streaming(response)
            }
            AttemptOutcome::Failed { failure, load } => {
                self.request.update_load(&record.instance, load);
                self.request.avoid_refusing(record, &failure);
                self.history.record_failure(&record.instance, failure);
                self.step_after_failure(&failure)
            }
        }
    }

    fn take_response(&self, chosen: &ChosenInstance, head: &BackendHead, load: InstanceLoad) {
        self.request
            .update_load(&chosen.record.instance, Some(load));
        self.request.learn_calls(head);
    }

    fn step_after_failure(&self, failure: &AttemptFailure) -> NextStep {
        match self.follow_up(failure.verdict, failure.is_unreached()) {
            Some(NextStep::Retry(_)) if failure.reason == Some(RefusalReason::SuspectRunning) => {
                NextStep::Retry(failure.retry_after)
            }
            step => step.unwrap_or(NextStep::Wait),
        }
    }

    /// Returns what follows an attempt whose outcome is not returned to the caller; none if nothing does.
    fn follow_up(&self, verdict: ExecutionVerdict, is_unreached: bool) -> Option<NextStep> {
        if self.running.count() > 0 {
            return Some(NextStep::Wait);
        }
        self.may_retry(verdict, is_unreached)
            .then_some(NextStep::Retry(Duration::ZERO))
    }

    /// Returns whether another attempt of an idempotent request may turn this server error into a success.
    fn is_improvable(&self, head: &BackendHead) -> bool {
        self.request.plan.idempotent && matches!(head.status, 500 | 502 | 503 | 504)
    }

    /// Returns whether another attempt follows. A failed attempt that reached no instance takes
    /// nothing from the retry budget.
    fn may_retry(&self, verdict: ExecutionVerdict, is_unreached: bool) -> bool {
        let (request, history) = (self.request, &self.history);
        let obstacle = if !verdict.allows_retry(request.plan.idempotent) {
            Some("the request may have run and is not idempotent")
        } else if let Some(obstacle) = self.suspicion(is_unreached) {
            Some(obstacle)
        } else if history.is_last() {
            Some("the maximum number of attempts is reached")
        } else if request.deadline_passed() {
            Some("the deadline has passed")
        } else if request.is_cut_off() {
            Some("the daemon shuts down")
        } else if !is_unreached && !request.with_budget(ServiceBudgets::try_retry) {
            Some("the retry budget is exhausted")
        } else {
            None
        };
        if let Some(obstacle) = obstacle {
            log::info!(
                target: log_target::INGRESS,
                request = request.name,
                route:% = request.plan.route,
                service:% = request.plan.service,
                attempts = history.tried().len(),
                verdict:%,
                obstacle;
                "No further attempt."
            );
            return false;
        }
        if !history.last_was_busy() {
            request.ingress.state.borrow_mut().totals.retries += 1;
        }
        true
    }

    /// Why a request that may end instances is not sent again. After one end it is, since most of the
    /// requests that run when an instance ends are innocent.
    fn suspicion(&self, is_unreached: bool) -> Option<&'static str> {
        match self.request.standing() {
            RequestStanding::Refused(_) => Some("the request ends the instances that run it"),
            RequestStanding::Suspected(ends) if ends > 1 && !is_unreached => {
                Some("several instances have ended while they ran the request")
            }
            RequestStanding::Suspected(_) | RequestStanding::Clear => None,
        }
    }

    fn end_without_response(self) -> Result<Response<BoxBody>, RequestRefusal> {
        match self.last_response {
            Some((head, body)) => Ok(complete_response(&head, body)),
            None => Err(self.request.refusal(&self.history)),
        }
    }

    fn log_attempt(&self, ended: &EndedAttempt) {
        let (status, failure) = match &ended.outcome {
            AttemptOutcome::Complete { head, .. } => (head.status, None),
            AttemptOutcome::Streaming(response) => (response.head.status, None),
            AttemptOutcome::Failed { failure, .. } => (0, Some(failure)),
        };
        let (request, record) = (self.request, &ended.chosen.record);
        let now = request.ingress.sources.clock.now();
        log::debug!(
            target: log_target::INGRESS,
            request = request.name,
            route:% = request.plan.route,
            account:% = request.plan.account,
            attempt = self.history.tried().len(),
            kind:? = ended.chosen.kind,
            instance:% = record.instance,
            health:? = record.health,
            status,
            failure:?,
            took_ms = now.since(ended.begin).as_millis(),
            left_ms = request.deadline.remaining(now).as_millis();
            "Attempt ended."
        );
    }
}
