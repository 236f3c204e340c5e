//! Kinds of requests in the benchmark load.

use awc::http::Method;

/// A kind of request, with its own route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A lookup at the desk service.
    Lookup,
    /// A filing at the desk service.
    Filing,
    /// A history lookup at the archive service.
    History,
    /// An internal check that the desk service sends to the archive service.
    Check,
}

impl RequestKind {
    /// Every kind of request.
    pub const ALL: [Self; 4] = [Self::Lookup, Self::Filing, Self::History, Self::Check];

    /// ID and path of the route.
    pub const fn route(self) -> &'static str {
        match self {
            Self::Lookup => "lookups",
            Self::Filing => "filings",
            Self::History => "history",
            Self::Check => "checks",
        }
    }

    /// ID of the service that handles the request.
    pub const fn service(self) -> &'static str {
        match self {
            Self::Lookup | Self::Filing => DESK,
            Self::History | Self::Check => ARCHIVE,
        }
    }

    /// Request class of the route.
    pub const fn class(self) -> &'static str {
        match self {
            Self::Lookup | Self::History => "lookup",
            Self::Filing => "filing",
            Self::Check => "internal-check",
        }
    }

    /// HTTP method.
    pub const fn method(self) -> Method {
        match self {
            Self::Filing => Method::POST,
            _ => Method::GET,
        }
    }
}

/// ID of the desk service, which handles lookups and filings.
pub const DESK: &str = "desk";
/// ID of the archive service, which handles history lookups and internal checks.
pub const ARCHIVE: &str = "archive";
