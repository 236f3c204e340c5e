//! Operation id, version condition and wait time of a change request.

use std::time::Duration;

use actix_http::header::{HeaderMap, IF_MATCH, IF_NONE_MATCH};

use crate::admin::{ApiError, key_secret};
use crate::config::VersionCondition;
use crate::ids::{OperationId, Version};
use crate::units::TimeSpan;

/// Request header with the operation id.
pub const OPERATION_HEADER: &str = "operation-id";

/// Upper bound of the query parameter `wait`.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Options of a change request, from its headers and query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeHeaders {
    /// Operation id, from the request or generated.
    pub operation: OperationId,
    /// Required version of the resource; absent if the request has neither `If-Match` nor
    /// `If-None-Match`.
    pub condition: Option<VersionCondition>,
    /// How long the response may wait for all live daemons to confirm the change, at most 30 s;
    /// absent to respond as soon as the change is committed.
    pub wait: Option<Duration>,
}

impl ChangeHeaders {
    /// Parses `headers` and the query parameter `wait`; generates a missing operation id.
    ///
    /// # Errors
    /// `ApiError::InvalidName` for a malformed operation id, `InvalidHeader` or `InvalidParameter`
    /// for any other invalid value, `RandomGenerator` when no id can be generated.
    pub fn parse(headers: &HeaderMap, wait: Option<String>) -> Result<Self, ApiError> {
        let operation = match headers.get(OPERATION_HEADER) {
            Some(value) => value.to_str().unwrap_or("").parse()?,
            None => key_secret::generate_operation_id()?,
        };
        Ok(Self {
            operation,
            condition: parse_condition(headers)?,
            wait: wait.map(parse_wait).transpose()?,
        })
    }

    /// Returns the version condition, which replacing or deleting a resource requires.
    ///
    /// # Errors
    /// `ApiError::MissingPrecondition` when the request has none.
    pub fn require_condition(&self) -> Result<VersionCondition, ApiError> {
        self.condition.ok_or(ApiError::MissingPrecondition)
    }
}

fn parse_wait(text: String) -> Result<Duration, ApiError> {
    let span = text.parse::<TimeSpan>().map(TimeSpan::get);
    match span {
        Ok(span) if span <= MAX_WAIT => Ok(span),
        _ => {
            let remedy = "write it like '3s', at most 30s";
            Err(ApiError::InvalidParameter("wait".to_owned(), text, remedy))
        }
    }
}

fn parse_condition(headers: &HeaderMap) -> Result<Option<VersionCondition>, ApiError> {
    let text = |value: &actix_http::header::HeaderValue| {
        String::from_utf8_lossy(value.as_bytes()).trim().to_owned()
    };
    if let Some(value) = headers.get(IF_NONE_MATCH).map(text) {
        return match value.as_str() {
            "*" => Ok(Some(VersionCondition::Absent)),
            _ => Err(ApiError::InvalidHeader("If-None-Match", value, "use '*'")),
        };
    }
    let Some(value) = headers.get(IF_MATCH).map(text) else {
        return Ok(None);
    };
    if value == "*" {
        return Ok(Some(VersionCondition::Exists));
    }
    match value.trim_matches('"').parse() {
        Ok(0) => Ok(Some(VersionCondition::Absent)),
        Ok(version) => Ok(Some(VersionCondition::Matches(Version(version)))),
        Err(_) => Err(ApiError::InvalidHeader(
            "If-Match",
            value,
            "use the resource's version, a number",
        )),
    }
}
