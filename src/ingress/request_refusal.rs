//! Error responses that the ingress sends in place of a backend server's response.

use std::fmt;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::{HeaderName, HeaderValue, RETRY_AFTER};
use actix_http::{ConnectionType, Response, StatusCode};

use crate::execution_verdict::ExecutionVerdict;
use crate::http::{self, BodyError};
use crate::ingress::{ResponseLoss, verdict_header};
use crate::limits::RateRefusal;
use crate::resource::Priority;
use crate::wire::{FailureCause, RefusalReason};

/// The reason why a request gets no response from a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestRefusal {
    /// The `Authorization` header is missing, repeated or malformed.
    NoKey,
    /// No client account has the key.
    UnknownKey,
    /// The key was withdrawn.
    WithdrawnKey,
    /// The key is in the path, query or body, where a backend server would see it.
    KeyExposed,
    /// No route matches the host and path, or its service does not exist.
    NoRoute,
    /// The route's access list excludes the client account.
    Forbidden,
    /// The deadline header is not a positive whole number; holds its text.
    BadDeadline(String),
    /// The body cannot be read or held.
    BadBody(BodyError),
    /// The client account has no rate limit configured.
    NoRateLimit,
    /// The client account exceeds its rate limit, or no daemon that grants its tokens was reachable.
    RateLimited(RateRefusal),
    /// The daemon has no current configuration.
    NotConfigured,
    /// The daemon is shutting down.
    Stopping,
    /// Clients take all connections that the daemon may have, or all memory for them.
    ServerFull,
    /// No instance accepted the request; holds the last refusal's reason, if any, and when to retry.
    NoCapacity(Option<RefusalReason>, Duration),
    /// The service has no room in time for requests of this priority; holds when to retry.
    ServiceFull(Priority, Duration),
    /// The request ends the instances that run it.
    EndsInstances,
    /// The deadline passed before an instance ran the request.
    DeadlinePassed,
    /// The caller closed its connection before the response was ready.
    CallerDisconnected,
    /// The request may have run but its response is lost; holds the cause, if it is known.
    ResponseLost(Option<ResponseLoss>),
}

/// `Retry-After` of a temporary refusal that has no estimate of its own.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

impl RequestRefusal {
    /// Returns the HTTP status of the error response.
    #[must_use]
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::NoKey | Self::UnknownKey | Self::WithdrawnKey => StatusCode::UNAUTHORIZED,
            // Callers take 400 as final; they send a request again after most other answers.
            Self::KeyExposed | Self::BadDeadline(_) | Self::EndsInstances => {
                StatusCode::BAD_REQUEST
            }
            Self::BadBody(error) => error.status(),
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Forbidden | Self::NoRateLimit => StatusCode::FORBIDDEN,
            Self::RateLimited(..) => StatusCode::TOO_MANY_REQUESTS,
            // A passed deadline too is a promise that nothing has run: the caller may send the request
            // again, which it may not after 504.
            Self::NotConfigured
            | Self::Stopping
            | Self::ServerFull
            | Self::NoCapacity(..)
            | Self::ServiceFull(..)
            | Self::DeadlinePassed => StatusCode::SERVICE_UNAVAILABLE,
            Self::ResponseLost(Some(
                ResponseLoss::Reported(FailureCause::Timeout) | ResponseLoss::TimedOut,
            )) => StatusCode::GATEWAY_TIMEOUT,
            Self::CallerDisconnected | Self::ResponseLost(_) => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns what is known about the execution of the request.
    #[must_use]
    pub const fn verdict(&self) -> ExecutionVerdict {
        match self {
            Self::CallerDisconnected | Self::ResponseLost(_) => ExecutionVerdict::MayHaveRun,
            _ => ExecutionVerdict::NotRun,
        }
    }

    /// Returns how long the caller should wait before a retry; none when the
    /// refusal is not temporary.
    #[must_use]
    pub const fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::RateLimited(refusal) => Some(refusal.retry_after),
            Self::NoCapacity(_, span) | Self::ServiceFull(_, span) => Some(*span),
            Self::NotConfigured
            | Self::Stopping
            | Self::ServerFull
            | Self::BadBody(BodyError::NoMemory)
            | Self::DeadlinePassed => Some(DEFAULT_RETRY_AFTER),
            _ => None,
        }
    }

    /// Returns the values that decided the refusal and that only the log shows, not the response.
    #[must_use]
    pub fn log_details(&self) -> Option<String> {
        match self {
            Self::RateLimited(refusal) => Some(refusal.to_string()),
            _ => None,
        }
    }

    /// Builds the error response; with `exact`, `Retry-After` has fractions of a second.
    #[must_use]
    pub fn response(&self, exact: bool) -> Response<BoxBody> {
        let mut response = http::text_response(self.status(), &self.to_string());
        let verdict = HeaderValue::from_static(self.verdict().as_str());
        response.headers_mut().insert(verdict_header(), verdict);
        if let Some(span) = self.retry_after() {
            set_retry_after(&mut response, span, exact);
        }
        if matches!(self, Self::ServerFull) {
            response
                .head_mut()
                .set_connection_type(ConnectionType::Close);
        }
        if self.status() == StatusCode::UNAUTHORIZED {
            let scheme = HeaderValue::from_static("Bearer");
            let name = HeaderName::from_static("www-authenticate");
            response.headers_mut().insert(name, scheme);
        }
        response
    }
}

/// Sets `Retry-After`, in whole seconds as HTTP requires unless `exact`, and `x-retry-after-ms`.
fn set_retry_after(response: &mut Response<BoxBody>, span: Duration, exact: bool) {
    let seconds = match exact {
        true => format!("{:.3}", span.as_secs_f64()),
        false => span.as_millis().div_ceil(1_000).max(1).to_string(),
    };
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    if let Ok(value) = HeaderValue::from_str(&span.as_millis().to_string()) {
        let name = HeaderName::from_static("x-retry-after-ms");
        response.headers_mut().insert(name, value);
    }
}

impl fmt::Display for RequestRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoKey => formatter.write_str("send one 'Authorization: Bearer KEY' header"),
            Self::UnknownKey => {
                formatter.write_str("the key is unknown; ask the operators for one")
            }
            Self::WithdrawnKey => {
                formatter.write_str("the key was withdrawn; ask the operators for a new one")
            }
            Self::KeyExposed => formatter.write_str(
                "the key stands in the path, query or body; send it in the Authorization header alone",
            ),
            Self::NoRoute => formatter.write_str("no route leads from this path"),
            Self::Forbidden => formatter.write_str("the route is not open to this client account"),
            Self::BadDeadline(text) => {
                write!(
                    formatter,
                    "x-deadline-ms '{text}' is not a whole number of milliseconds above 0"
                )
            }
            Self::BadBody(BodyError::TooLarge(limit)) => {
                write!(formatter, "the body is larger than {limit}")
            }
            Self::BadBody(BodyError::Malformed(cause)) => {
                write!(formatter, "the body cannot be read: {cause}")
            }
            Self::BadBody(error) => error.fmt(formatter),
            Self::NoRateLimit => formatter.write_str(
                "the client account has no rate; ask the operators to set one",
            ),
            Self::RateLimited(refusal) => write!(
                formatter,
                "client account '{}' is over its rate",
                refusal.limit.account
            ),
            Self::NotConfigured => {
                formatter.write_str("this daemon has no current configuration yet")
            }
            Self::Stopping => formatter.write_str("this daemon is stopping; use another"),
            Self::ServerFull => formatter.write_str(
                "this daemon has no connection or memory left for the request; send it again later",
            ),
            Self::NoCapacity(Some(reason), _) => write!(formatter, "no capacity: {reason}"),
            Self::NoCapacity(None, _) => {
                formatter.write_str("no instance of the service is available")
            }
            Self::ServiceFull(priority, _) => {
                write!(formatter, "the service has no room in time for priority {priority}")
            }
            Self::EndsInstances => formatter.write_str(
                "the backend servers that ran this request ended; do not send it again",
            ),
            Self::DeadlinePassed => {
                formatter.write_str("the deadline passed before the request was started")
            }
            Self::CallerDisconnected => {
                formatter.write_str("the caller closed its connection before the answer")
            }
            Self::ResponseLost(Some(cause)) => {
                write!(formatter, "the request may have run: {cause}")
            }
            Self::ResponseLost(None) => {
                formatter.write_str("the request may have run: its answer was lost")
            }
        }
    }
}
