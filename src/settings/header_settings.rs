//! What the headers between callers, the fleet and backend servers are called.

use std::fmt;
use std::str::FromStr;

use actix_http::header::HeaderName;
use quick_error::quick_error;
use serde::Deserialize;

use crate::text_serde;

quick_error! {
    /// A text that is no header name.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum HeaderFieldError {
        /// It holds a character that no header name has.
        Invalid(text: String) {
            display("header name '{text}' is not valid; use letters, digits and '-'")
        }
    }
}

/// The name of a header.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct HeaderField(HeaderName);

impl HeaderField {
    /// The field called `name`, which must be in lower case.
    #[must_use]
    pub const fn from_static(name: &'static str) -> Self {
        Self(HeaderName::from_static(name))
    }

    /// The name as the HTTP library's type.
    #[must_use]
    pub fn get(&self) -> HeaderName {
        self.0.clone()
    }
}

impl fmt::Display for HeaderField {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.0.as_str())
    }
}

impl FromStr for HeaderField {
    type Err = HeaderFieldError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let name = HeaderName::from_bytes(text.as_bytes());
        name.map(Self)
            .map_err(|_| HeaderFieldError::Invalid(text.to_owned()))
    }
}

text_serde!(HeaderField);

/// Names of headers; those that are left out are not sent.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HeaderSettings {
    /// Names a request.
    pub request: HeaderField,
    /// Time that a caller waits, in milliseconds from now.
    pub deadline: HeaderField,
    /// Whether backend servers see the caller's own name of a request instead of the ingress's.
    pub keep_request_name: bool,
    /// Whether backend servers see the host that the caller addressed instead of their own.
    pub keep_host: bool,
    /// Tells a backend server which instance a request is for.
    pub expected_instance: Option<HeaderField>,
    /// Tells a backend server the client account.
    pub account: Option<HeaderField>,
    /// Tells a backend server which service runs beside the daemon that took the request.
    pub caller: Option<HeaderField>,
    /// Marks a backend server's answer to a request that it did not run.
    pub not_run: Option<HeaderField>,
    /// Headers that may carry a credential and never cross, beside `authorization`.
    pub credentials: Vec<HeaderField>,
}

impl Default for HeaderSettings {
    fn default() -> Self {
        let credentials = [
            "proxy-authorization",
            "x-api-key",
            "x-auth-token",
            "api-key",
            "cookie",
        ];
        Self {
            request: HeaderField::from_static("x-request-id"),
            deadline: HeaderField::from_static("x-deadline-ms"),
            keep_request_name: false,
            keep_host: false,
            expected_instance: None,
            account: None,
            caller: None,
            not_run: None,
            credentials: credentials.into_iter().map(HeaderField::from_static).collect(),
        }
    }
}
