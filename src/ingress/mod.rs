//! The ingress: accepts HTTP requests from callers, authenticates them, applies rate limits and
//! forwards each to the egress of an instance, with retries.

mod attempt_history;
mod attempt_loop;
mod attempt_machine;
mod attempt_task;
mod backup_attempt;
mod bearer_secret;
mod body_budget;
mod caller_request;
mod caller_response;
mod counted_offer;
mod credit_ledger;
mod held_body;
mod ingress_handle;
mod instance_choice;
mod last_start;
mod offer_kind;
mod offer_wait;
mod overdue_rule;
mod request_plan;
mod request_refusal;
mod request_task;
mod request_totals;
mod response_body;
mod response_loss;
mod retry_decision;
mod running_attempts;
mod shutdown_signal;
mod zone_attempts;
mod zone_outcomes;

pub use attempt_history::{AttemptFailure, AttemptHistory, DEFAULT_MAX_ATTEMPTS, MAX_OFFERS};
pub use attempt_machine::{AttemptAction, AttemptEvent, AttemptMachine, AttemptState};
pub use bearer_secret::bearer_secret;
pub use body_budget::{BodyBudget, BodyReservation};
pub use credit_ledger::{CreditLedger, CreditLine};
pub use ingress_handle::{IngressHandle, IngressSources};
pub use overdue_rule::OverdueRule;
pub use request_plan::{RequestFacts, RequestPlan};
pub use request_refusal::RequestRefusal;
pub use request_totals::RequestTotals;
pub use response_loss::ResponseLoss;
pub use shutdown_signal::{RequestArrival, ShutdownLimits, WorkTimes};

use actix_http::header::HeaderName;

use crate::execution_verdict::VERDICT_HEADER;

/// Returns the name of the header that carries the verdict.
pub(crate) fn verdict_header() -> HeaderName {
    HeaderName::from_static(VERDICT_HEADER)
}
