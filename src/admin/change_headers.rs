//! The headers that govern a change.

use std::time::Duration;

use actix_http::header::{HeaderMap, IF_MATCH, IF_NONE_MATCH};

use crate::admin::{ApiError, key_secret};
use crate::config::VersionCondition;
use crate::ids::{OperationId, Version};
use crate::units::TimeSpan;

/// Header that names an operation.
pub const OPERATION_HEADER: &str = "operation-id";

const MOST_WAIT: Duration = Duration::from_secs(30);

/// What the headers of a change say.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeHeaders {
    /// The operation, as sent or newly drawn.
    pub operation: OperationId,
    /// What must hold of the resource, if named.
    pub condition: Option<VersionCondition>,
    /// How long the answer may wait until the change is in force everywhere.
    pub wait: Option<Duration>,
}

impl ChangeHeaders {
    /// Reads `headers` and the parameter `wait`.
    ///
    /// # Errors
    /// `ApiError` names the header or parameter, the value and the remedy.
    pub fn parse(headers: &HeaderMap, wait: Option<String>) -> Result<Self, ApiError> {
        let operation = match headers.get(OPERATION_HEADER) {
            Some(value) => value.to_str().unwrap_or("").parse()?,
            None => key_secret::generate_operation_id()?,
        };
        Ok(Self {
            operation,
            condition: condition(headers)?,
            wait: wait.map(wait_span).transpose()?,
        })
    }

    /// The condition.
    ///
    /// # Errors
    /// `ApiError::MissingPrecondition` when none is named.
    pub fn require_condition(&self) -> Result<VersionCondition, ApiError> {
        self.condition.ok_or(ApiError::MissingPrecondition)
    }
}

fn wait_span(text: String) -> Result<Duration, ApiError> {
    let span = text.parse::<TimeSpan>().map(TimeSpan::get);
    match span {
        Ok(span) if span <= MOST_WAIT => Ok(span),
        _ => {
            let remedy = "write it like '3s', at most 30s";
            Err(ApiError::InvalidParameter("wait".to_owned(), text, remedy))
        }
    }
}

fn condition(headers: &HeaderMap) -> Result<Option<VersionCondition>, ApiError> {
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
