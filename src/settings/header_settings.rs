//! Names of the HTTP headers that the proxy reads from callers and sends to backend servers.

use std::fmt;
use std::str::FromStr;

use actix_http::header::HeaderName;
use quick_error::quick_error;
use serde::Deserialize;

use crate::text_serde;

quick_error! {
    /// Error of parsing a header name.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum HeaderFieldError {
        /// The text is empty or holds a character that header names do not allow.
        Invalid(text: String) {
            display("header name '{text}' is not valid; use letters, digits and '-'")
        }
    }
}

/// A valid HTTP header name.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct HeaderField(HeaderName);

impl HeaderField {
    /// Builds the header name `name`, which must be valid and in lower case.
    ///
    /// # Panics
    /// Panics if it is not.
    #[must_use]
    pub const fn from_static(name: &'static str) -> Self {
        Self(HeaderName::from_static(name))
    }

    /// Returns the name as a `HeaderName` of the HTTP library.
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

/// Names of the headers; an optional header that is not set is not sent.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HeaderSettings {
    /// Header that carries the request's name.
    pub request: HeaderField,
    /// Whether every response of a backend server names its request in `request`. One without the header
    /// then belongs to no request. Responses to health questions are exempt.
    pub echoes_request: bool,
    /// Response header that every success of a backend server carries. A success without it is not
    /// forwarded. Responses to health questions are exempt.
    pub stamp: Option<HeaderField>,
    /// Header with which a caller sets the deadline, in milliseconds from the request on.
    pub deadline: HeaderField,
    /// Whether backend servers get the request name chosen by the caller instead of the one that the
    /// ingress assigns.
    pub keep_request_name: bool,
    /// Whether backend servers get the caller's `Host` header instead of their own address.
    pub keep_host: bool,
    /// Header that tells a backend server the instance that a request is for.
    pub expected_instance: Option<HeaderField>,
    /// Header that tells a backend server the client account.
    pub account: Option<HeaderField>,
    /// Header that tells a backend server the service beside the daemon that accepted the request.
    pub caller: Option<HeaderField>,
    /// Response header with which a backend server marks a request that it did not run. If absent,
    /// status 421 does not count as such a mark either.
    pub not_run: Option<HeaderField>,
    /// Response header in which a backend server states how many requests per second it takes from all
    /// daemons together.
    pub limit: Option<HeaderField>,
    /// Response header with which a backend server says that it leaves and takes no new requests.
    pub leaving: Option<HeaderField>,
    /// Response header in which a backend server states for how many milliseconds it stays cold; 0
    /// while it is warm.
    pub cold: Option<HeaderField>,
    /// Headers that may carry a credential and are never forwarded, in addition to `authorization`.
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
            echoes_request: false,
            stamp: None,
            deadline: HeaderField::from_static("x-deadline-ms"),
            keep_request_name: false,
            keep_host: false,
            expected_instance: None,
            account: None,
            caller: None,
            not_run: None,
            limit: Some(HeaderField::from_static("x-instance-limit")),
            leaving: Some(HeaderField::from_static("x-instance-leaving")),
            cold: Some(HeaderField::from_static("x-instance-cold-ms")),
            credentials: credentials
                .into_iter()
                .map(HeaderField::from_static)
                .collect(),
        }
    }
}
