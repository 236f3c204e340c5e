//! Answers that the ingress gives in place of a backend server.

use std::fmt;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::{HeaderName, HeaderValue, RETRY_AFTER};
use actix_http::{Response, StatusCode};

use crate::http;
use crate::ingress::verdict_header;
use crate::limits::RateRefusal;
use crate::units::ByteSize;
use crate::verdict::Verdict;
use crate::wire::{FailureCause, RefusalReason};

/// Why a request gets no answer of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestRefusal {
    /// No key, several keys, or a key in the wrong form.
    NoKey,
    /// The key is unknown.
    UnknownKey,
    /// The key was withdrawn.
    WithdrawnKey,
    /// The key stands in a place that a backend server would see.
    KeyExposed,
    /// No route leads from the path.
    NoRoute,
    /// The route is not open to the client account.
    Forbidden,
    /// The deadline header is malformed.
    BadDeadline(String),
    /// The body is too large.
    BodyTooLarge(ByteSize),
    /// The body is cut or malformed.
    BadBody(String),
    /// The client account has no rate limit configured.
    NoRateLimit,
    /// The client account is over its rate.
    RateLimited(RateRefusal),
    /// The daemon has no configuration that it may trust.
    NotConfigured,
    /// The daemon is stopping.
    Stopping,
    /// No instance can take the request.
    NoCapacity(Option<RefusalReason>, Duration),
    /// The deadline passed before the request was started.
    DeadlinePassed,
    /// The caller has closed its connection; nobody reads the answer.
    CallerDisconnected,
    /// The request may have run and its answer is lost.
    ResponseLost(Option<FailureCause>),
}

/// When to come back where nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

impl RequestRefusal {
    /// The HTTP status.
    #[must_use]
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::NoKey | Self::UnknownKey | Self::WithdrawnKey => StatusCode::UNAUTHORIZED,
            Self::KeyExposed | Self::BadDeadline(_) | Self::BadBody(_) => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Forbidden | Self::NoRateLimit => StatusCode::FORBIDDEN,
            Self::BodyTooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::RateLimited(..) => StatusCode::TOO_MANY_REQUESTS,
            Self::NotConfigured | Self::Stopping | Self::NoCapacity(..) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::DeadlinePassed | Self::ResponseLost(Some(FailureCause::Timeout)) => {
                StatusCode::GATEWAY_TIMEOUT
            }
            Self::CallerDisconnected | Self::ResponseLost(_) => StatusCode::BAD_GATEWAY,
        }
    }

    /// What is known about the execution.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::CallerDisconnected | Self::ResponseLost(_) => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }

    /// When to come back, for a refusal that passes.
    #[must_use]
    pub const fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::RateLimited(refusal) => Some(refusal.retry_after),
            Self::NoCapacity(_, span) => Some(*span),
            Self::NotConfigured | Self::Stopping | Self::DeadlinePassed => {
                Some(DEFAULT_RETRY_AFTER)
            }
            _ => None,
        }
    }

    /// What decided it, beyond what callers are told, for the log.
    #[must_use]
    pub fn log_details(&self) -> Option<String> {
        match self {
            Self::RateLimited(refusal) => Some(refusal.to_string()),
            _ => None,
        }
    }

    /// The HTTP answer; `exact` writes fractions of a second into `Retry-After`.
    #[must_use]
    pub fn response(&self, exact: bool) -> Response<BoxBody> {
        let mut response = http::text_response(self.status(), &self.to_string());
        let verdict = HeaderValue::from_static(self.verdict().as_str());
        response.headers_mut().insert(verdict_header(), verdict);
        if let Some(span) = self.retry_after() {
            set_retry_after(&mut response, span, exact);
        }
        if self.status() == StatusCode::UNAUTHORIZED {
            let scheme = HeaderValue::from_static("Bearer");
            let name = HeaderName::from_static("www-authenticate");
            response.headers_mut().insert(name, scheme);
        }
        response
    }
}

/// HTTP counts `Retry-After` in whole seconds; a finer header stands beside it.
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
            Self::UnknownKey => formatter.write_str("the key is unknown; ask the operators for one"),
            Self::WithdrawnKey => formatter.write_str("the key was withdrawn; ask the operators for a new one"),
            Self::KeyExposed => formatter.write_str(
                "the key stands in the path, query or body; send it in the Authorization header alone",
            ),
            Self::NoRoute => formatter.write_str("no route leads from this path"),
            Self::Forbidden => formatter.write_str("the route is not open to this client account"),
            Self::BadDeadline(text) => {
                write!(formatter, "x-deadline-ms '{text}' is not a whole number of milliseconds above 0")
            }
            Self::BodyTooLarge(most) => write!(formatter, "the body is larger than {most}"),
            Self::BadBody(cause) => write!(formatter, "the body cannot be read: {cause}"),
            Self::NoRateLimit => formatter.write_str("the client account has no rate; ask the operators to set one"),
            Self::RateLimited(refusal) => write!(formatter, "client account '{}' is over its rate", refusal.limit.account),
            Self::NotConfigured => formatter.write_str("this daemon has no current configuration yet"),
            Self::Stopping => formatter.write_str("this daemon is stopping; use another"),
            Self::NoCapacity(Some(reason), _) => write!(formatter, "no capacity: {reason}"),
            Self::NoCapacity(None, _) => formatter.write_str("no instance of the service is available"),
            Self::DeadlinePassed => formatter.write_str("the deadline passed before the request was started"),
            Self::CallerDisconnected => formatter.write_str("the caller closed its connection before the answer"),
            Self::ResponseLost(Some(cause)) => write!(formatter, "the request may have run: {cause}"),
            Self::ResponseLost(None) => formatter.write_str("the request may have run: its answer was lost"),
        }
    }
}
