//! Errors of the resource API and their HTTP responses.

use actix_http::body::BoxBody;
use actix_http::header::{HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use actix_http::{Response, StatusCode};
use quick_error::quick_error;

use crate::admin::ErrorBody;
use crate::config::{ChangeRefusal, HistoryError};
use crate::http::{BodyError, json_response};
use crate::ids::{NameError, OperationId, Revision};

/// Value of the `Retry-After` header, in seconds.
const RETRY_AFTER_SECONDS: &str = "5";

quick_error! {
    /// Error of a request to the resource API.
    #[derive(Debug)]
    pub enum ApiError {
        /// The `Authorization` header carries no valid bearer token.
        InvalidToken {
            display("the operators' token is missing or wrong; send it as 'Authorization: Bearer TOKEN'")
        }
        /// The path does not exist.
        UnknownPath(path: String) {
            display("path '{path}' is unknown; see /v1/accounts, /v1/keys, /v1/rates, /v1/routes, /v1/services, /v1/evacuations, /v1/operations, /v1/suspects and /v1/watch")
        }
        /// The path does not support the method; holds the method and the supported ones.
        MethodNotAllowed(method: String, allowed: &'static str) {
            display("method {method} is not allowed here; use {allowed}")
        }
        /// A resource name or operation id is malformed.
        InvalidName(cause: NameError) {
            display("{cause}")
            from()
        }
        /// No availability zone has this name; holds the name and the existing zones.
        UnknownZone(name: String, existing: String) {
            display("availability zone '{name}' does not exist; the existing zones are: {existing}")
        }
        /// A header has an invalid value; holds the header, the value and the remedy.
        InvalidHeader(name: &'static str, value: String, remedy: &'static str) {
            display("header '{name}' has value '{value}'; {remedy}")
        }
        /// A query parameter has an invalid value; holds the parameter, the value and the remedy.
        InvalidParameter(name: String, value: String, remedy: &'static str) {
            display("parameter '{name}' has value '{value}'; {remedy}")
        }
        /// The change has neither `If-Match` nor `If-None-Match`.
        MissingPrecondition {
            display("header 'If-Match' is missing; send the version that you read, or 'If-None-Match: *' to create")
        }
        /// The request body could not be read or is too large.
        UnreadableBody(cause: BodyError) {
            display("{cause}")
            from()
        }
        /// The request body is not valid JSON for the resource.
        InvalidJson(cause: String) {
            display("request body is not valid: {cause}")
        }
        /// The resource does not exist.
        NotFound(what: String) {
            display("{what} does not exist")
        }
        /// The configuration rejected the change, for example because its version condition failed.
        Refused(refusal: ChangeRefusal) {
            display("{refusal}")
            from()
        }
        /// The change was not committed, for example because the platform could not be reached.
        NotAccepted(cause: String) {
            display("not accepted: {cause}; repeat the change later")
        }
        /// The configuration could not be read from the platform.
        Unreadable(cause: String) {
            display("the configuration cannot be read now: {cause}; ask again later")
        }
        /// No response shows whether the platform committed the change.
        OutcomeUnknown(operation: OperationId) {
            display("unknown, operation id {operation}: the change may have been accepted; ask for the operation, or repeat the change with the same operation id")
        }
        /// The requested changes are no longer stored; holds the oldest revision to watch from.
        TooOld(oldest: Revision) {
            display("parameter 'from' is too old: changes are kept from revision {oldest}; list the resources and watch without 'from'")
        }
        /// No accepted change has this operation id.
        OperationNotFound(operation: OperationId) {
            display("operation {operation} is not accepted so far; to settle it, repeat the change with the same operation id")
        }
        /// The operating system's random generator failed.
        RandomGenerator(cause: String) {
            display("no secret could be drawn: {cause}")
        }
    }
}

impl From<HistoryError> for ApiError {
    fn from(error: HistoryError) -> Self {
        match error {
            HistoryError::TooOld(oldest) => Self::TooOld(oldest),
            HistoryError::Unreadable(cause) => Self::Unreadable(cause.to_string()),
        }
    }
}

impl ApiError {
    /// HTTP status of the response.
    #[must_use]
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::InvalidToken => StatusCode::UNAUTHORIZED,
            Self::UnknownPath(_) | Self::NotFound(_) | Self::OperationNotFound(_) => {
                StatusCode::NOT_FOUND
            }
            Self::MethodNotAllowed(..) => StatusCode::METHOD_NOT_ALLOWED,
            Self::InvalidName(_)
            | Self::UnknownZone(..)
            | Self::InvalidHeader(..)
            | Self::InvalidParameter(..)
            | Self::InvalidJson(_) => StatusCode::BAD_REQUEST,
            Self::MissingPrecondition => StatusCode::PRECONDITION_REQUIRED,
            Self::UnreadableBody(error) => error.status(),
            Self::Refused(refusal) => refusal_status(refusal),
            Self::NotAccepted(_) | Self::Unreadable(_) | Self::OutcomeUnknown(_) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::TooOld(_) => StatusCode::GONE,
            Self::RandomGenerator(_) => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    /// Stable error code for programs, sent as `reason` in the body.
    #[must_use]
    pub const fn reason(&self) -> &'static str {
        match self {
            Self::InvalidToken => "token",
            Self::UnknownPath(_) => "path",
            Self::MethodNotAllowed(..) => "method",
            Self::InvalidName(_) => "name",
            Self::UnknownZone(..) => "zone",
            Self::InvalidHeader(..) => "header",
            Self::InvalidParameter(..) => "parameter",
            Self::MissingPrecondition => "precondition",
            Self::UnreadableBody(_) | Self::InvalidJson(_) => "body",
            Self::NotFound(_) | Self::OperationNotFound(_) => "not-found",
            Self::Refused(refusal) => refusal_reason(refusal),
            Self::NotAccepted(_) => "not-accepted",
            Self::Unreadable(_) => "unreadable",
            Self::OutcomeUnknown(_) => "unknown",
            Self::TooOld(_) => "too-old",
            Self::RandomGenerator(_) => "random",
        }
    }

    /// HTTP response with an [`ErrorBody`]; adds `Retry-After` to status 503 and
    /// `WWW-Authenticate` to status 401.
    #[must_use]
    pub fn response(&self) -> Response<BoxBody> {
        let body = ErrorBody {
            reason: self.reason().to_owned(),
            message: self.to_string(),
            operation: match self {
                Self::OutcomeUnknown(operation) => Some(operation.clone()),
                _ => None,
            },
        };
        let mut response = json_response(self.status(), &body);
        let headers = response.headers_mut();
        if self.status() == StatusCode::SERVICE_UNAVAILABLE {
            headers.insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_SECONDS));
        }
        if matches!(self, Self::InvalidToken) {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        response
    }
}

const fn refusal_status(refusal: &ChangeRefusal) -> StatusCode {
    match refusal {
        ChangeRefusal::NotFound(_) => StatusCode::NOT_FOUND,
        ChangeRefusal::AlreadyExists(..) | ChangeRefusal::VersionMismatch(..) => {
            StatusCode::PRECONDITION_FAILED
        }
        ChangeRefusal::InUse(..)
        | ChangeRefusal::PrefixTaken(..)
        | ChangeRefusal::KeyActive(_)
        | ChangeRefusal::OperationReused(_)
        | ChangeRefusal::UnsupportedEdit(..) => StatusCode::CONFLICT,
        ChangeRefusal::MissingReference(..) | ChangeRefusal::InvalidField(..) => {
            StatusCode::UNPROCESSABLE_ENTITY
        }
    }
}

const fn refusal_reason(refusal: &ChangeRefusal) -> &'static str {
    match refusal {
        ChangeRefusal::NotFound(_) => "not-found",
        ChangeRefusal::AlreadyExists(..) => "exists",
        ChangeRefusal::VersionMismatch(..) => "version-mismatch",
        ChangeRefusal::InUse(..) => "in-use",
        ChangeRefusal::MissingReference(..) => "missing-reference",
        ChangeRefusal::PrefixTaken(..) => "prefix-taken",
        ChangeRefusal::KeyActive(_) => "key-active",
        ChangeRefusal::OperationReused(_) => "operation-reused",
        ChangeRefusal::UnsupportedEdit(..) => "edit",
        ChangeRefusal::InvalidField(..) => "field",
    }
}
