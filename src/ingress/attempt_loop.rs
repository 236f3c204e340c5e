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
use crate::ingress::offer_kind::OfferKind;
use crate::ingress::running_attempts::{AttemptStep, EndedAttempt, RunningAttempts};
use crate::ingress::zone_attempts::ZoneAttempts;
use crate::ingress::{AttemptFailure, AttemptHistory, RequestRefusal};
use crate::logs::log_target;
use crate::retry::ServiceBudgets;
use crate::time::Deadline;
use crate::wire::{BackendHead, InstanceLoad, RefusalReason};

/// Time after which it is checked again whether an overdue attempt gets a backup.
const BACKUP_RECHECK: Duration = Duration::from_millis(250);
/// How long before the deadline a held response is returned, so that it reaches the caller in time.
const RETURN_RESERVE: Duration = Duration::from_millis(50);

/// The attempts at one request.
pub(crate) struct AttemptLoop<'a> {
    pub(super) request: &'a CallerRequest<'a>,
    pub(super) history: AttemptHistory,
    /// None where zone-local routing is off.
    zones: Option<ZoneAttempts>,
    running: RunningAttempts<'a>,
    /// The last response that another attempt may improve on; returned if none does.
    last_response: Option<(BackendHead, HeldBody)>,
}

/// What follows the end of an attempt.
enum FollowUp {
    /// The response is returned to the caller.
    Complete(BackendHead, HeldBody),
    /// The response is returned to the caller while it is received.
    Streaming(StreamingResponse),
    /// Another attempt follows after this time.
    Retry(Duration),
    /// Another attempt is running and may bring a response.
    Wait,
    /// No attempt follows.
    Nothing,
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
        if !self.request.may_start() {
            return Err(RequestRefusal::Stopping);
        }
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
                AttemptStep::Overdue if self.must_return_held() => {
                    return self.end_without_response();
                }
                AttemptStep::Overdue => {
                    next = self.choose_backup();
                    self.running.postpone(self.recheck_at());
                    continue;
                }
            };
            match self.handle_end(ended) {
                FollowUp::Complete(head, body) => return Ok(complete_response(&head, body)),
                FollowUp::Streaming(response) => {
                    let ingress = self.request.ingress;
                    return Ok(streaming_response(
                        response,
                        self.request.deadline,
                        ingress.sources.clock,
                        guard,
                        &ingress.answer_budget,
                    ));
                }
                FollowUp::Retry(pause) => {
                    if !pause.is_zero() {
                        actix_rt::time::sleep(pause).await;
                    }
                    next = self.choose_next();
                }
                FollowUp::Wait => self.running.postpone(self.recheck_at()),
                FollowUp::Nothing => return self.end_without_response(),
            }
        }
    }

    /// Chooses the instance of the next offer; none when no instance may take the request, or none can
    /// complete it before the daemon ends.
    fn choose_next(&mut self) -> Option<ChosenInstance> {
        if !self.request.may_start() {
            return None;
        }
        match self.request.standing() {
            RequestStanding::Suspected(_) => self.request.choose_for_suspect(&self.history),
            RequestStanding::Clear | RequestStanding::Refused(_) => self
                .request
                .choose_instance(&mut self.history, self.zones.as_mut()),
        }
    }

    /// Chooses the instance of a backup attempt, if one may run beside the overdue attempt.
    fn choose_backup(&mut self) -> Option<ChosenInstance> {
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
    fn handle_end(&mut self, ended: EndedAttempt) -> FollowUp {
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
                if !self.request.is_zone_local() {
                    self.request.observe_time(begin);
                }
                self.take_response(&chosen, &head, load);
                let follow_up = match self.is_improvable(&head) {
                    true => self.follow_up(ExecutionVerdict::MayHaveRun, false),
                    false => FollowUp::Nothing,
                };
                if matches!(follow_up, FollowUp::Nothing) {
                    self.request
                        .record_completed(&head, record, self.zones.as_ref());
                    return FollowUp::Complete(head, body);
                }
                self.history.record_response();
                self.last_response = Some((head, body));
                follow_up
            }
            AttemptOutcome::Streaming(response) => {
                self.take_response(&chosen, &response.head, response.head.load);
                self.request
                    .record_completed(&response.head, record, self.zones.as_ref());
                FollowUp::Streaming(response)
            }
            AttemptOutcome::Failed { failure, load } => {
                self.request.update_load(&record.instance, load);
                self.request.avoid_refusing(record, &failure);
                self.history.record_failure(&record.instance, failure);
                if chosen.kind == OfferKind::Backup && failure.is_unreached() {
                    self.request.with_budget(ServiceBudgets::give_back);
                }
                self.follow_up_failure(&failure)
            }
        }
    }

    fn take_response(&self, chosen: &ChosenInstance, head: &BackendHead, load: InstanceLoad) {
        self.request
            .update_load(&chosen.record.instance, Some(load));
        self.request.learn_calls(head);
    }

    fn follow_up_failure(&self, failure: &AttemptFailure) -> FollowUp {
        match self.follow_up(failure.verdict, failure.is_unreached()) {
            FollowUp::Retry(_) if failure.reason == Some(RefusalReason::SuspectRunning) => {
                FollowUp::Retry(failure.retry_after)
            }
            follow_up => follow_up,
        }
    }

    /// Returns what follows an attempt whose outcome is not returned to the caller.
    fn follow_up(&self, verdict: ExecutionVerdict, is_unreached: bool) -> FollowUp {
        if self.running.count() > 0 {
            return FollowUp::Wait;
        }
        match self.may_retry(verdict, is_unreached) {
            true => FollowUp::Retry(Duration::ZERO),
            false => FollowUp::Nothing,
        }
    }

    /// Returns when to check again whether an overdue attempt gets a backup, or a held response is due.
    fn recheck_at(&self) -> Deadline {
        let now = self.request.ingress.sources.clock.now();
        let left = self.request.deadline.remaining(now);
        let held = left.saturating_sub(RETURN_RESERVE);
        match self.last_response {
            Some(_) => now.after(held.min(BACKUP_RECHECK)),
            None => now.after(BACKUP_RECHECK),
        }
    }

    /// Whether a response that is held for a better one must be returned now to reach the caller in time.
    fn must_return_held(&self) -> bool {
        let now = self.request.ingress.sources.clock.now();
        let left = self.request.deadline.remaining(now);
        self.last_response.is_some() && left <= RETURN_RESERVE
    }

    /// Returns whether another attempt of an idempotent request may turn this server error into a success.
    fn is_improvable(&self, head: &BackendHead) -> bool {
        self.request.plan.idempotent && matches!(head.status, 500 | 502 | 503 | 504)
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
