//! The kinds of requests that callers send.

use awc::http::Method;

/// A kind of request, each with a route of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A lookup at the desk.
    Lookup,
    /// A filing at the desk.
    Filing,
    /// A lookup of the archive's history.
    History,
    /// An internal check that the desk asks of the archive.
    Check,
}

impl RequestKind {
    /// Every kind.
    pub const ALL: [Self; 4] = [Self::Lookup, Self::Filing, Self::History, Self::Check];

    /// The name of its route.
    pub const fn route(self) -> &'static str {
        match self {
            Self::Lookup => "lookups",
            Self::Filing => "filings",
            Self::History => "history",
            Self::Check => "checks",
        }
    }

    /// The service that answers it.
    pub const fn service(self) -> &'static str {
        match self {
            Self::Lookup | Self::Filing => DESK,
            Self::History | Self::Check => ARCHIVE,
        }
    }

    /// The class of its route.
    pub const fn class(self) -> &'static str {
        match self {
            Self::Lookup | Self::History => "lookup",
            Self::Filing => "filing",
            Self::Check => "internal-check",
        }
    }

    /// Its method.
    pub const fn method(self) -> Method {
        match self {
            Self::Filing => Method::POST,
            _ => Method::GET,
        }
    }
}

/// The service of the desk.
pub const DESK: &str = "desk";
/// The service of the archive.
pub const ARCHIVE: &str = "archive";
