//! Decides whether another attempt at a request follows.

use crate::crashes::RequestStanding;
use crate::execution_verdict::ExecutionVerdict;
use crate::ingress::attempt_loop::AttemptLoop;
use crate::logs::log_target;
use crate::retry::ServiceBudgets;

impl AttemptLoop<'_> {
    /// Returns whether another attempt follows. A failed attempt that reached no instance takes
    /// nothing from the retry budget.
    pub(super) fn may_retry(&self, verdict: ExecutionVerdict, is_unreached: bool) -> bool {
        let (request, history) = (self.request, &self.history);
        let obstacle = if !verdict.allows_retry(request.plan.idempotent) {
            Some("the request may have run and is not idempotent")
        } else if let Some(obstacle) = self.suspicion(is_unreached) {
            Some(obstacle)
        } else if history.is_last() {
            Some("the maximum number of attempts is reached")
        } else if request.deadline_passed() {
            Some("the deadline has passed")
        } else if !is_unreached && request.is_too_late() {
            Some("too little time is left for another attempt")
        } else if !request.may_start() {
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
}
