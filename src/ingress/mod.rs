//! The ingress: takes callers' requests, checks them, and sends each to an instance's egress.

mod attempt_history;
mod attempt_machine;
mod attempt_task;
mod caller_key;
mod caller_request;
mod caller_response;
mod credit_ledger;
mod ingress_handle;
mod request_plan;
mod request_refusal;
mod request_task;
mod request_totals;
mod response_body;

pub use attempt_history::{AttemptFailure, AttemptHistory, DEFAULT_MAX_ATTEMPTS, MAX_OFFERS};
pub use attempt_machine::{AttemptAction, AttemptEvent, AttemptMachine, AttemptState};
pub use caller_key::caller_key;
pub use credit_ledger::{CreditLedger, CreditLine};
pub use ingress_handle::{IngressHandle, IngressSources};
pub use request_plan::{RequestFacts, RequestPlan};
pub use request_refusal::RequestRefusal;
pub use request_totals::RequestTotals;

use actix_http::header::HeaderName;

use crate::verdict::VERDICT_HEADER;

/// The verdict's header name.
pub(crate) fn verdict_header() -> HeaderName {
    HeaderName::from_static(VERDICT_HEADER)
}
