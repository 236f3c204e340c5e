//! What is known of a request's part in the ends of instances.

use serde::Serialize;

/// Whether a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestStanding {
    /// Nothing speaks against it.
    Clear,
    /// It was running when this many instances ended, and has not run to its end since.
    Suspected(usize),
    /// It is refused: it ended this many instances.
    Refused(usize),
}

impl RequestStanding {
    /// Whether the request is suspected or refused.
    #[must_use]
    pub const fn is_suspect(self) -> bool {
        !matches!(self, Self::Clear)
    }

    /// Whether the request is refused.
    #[must_use]
    pub const fn is_refused(self) -> bool {
        matches!(self, Self::Refused(_))
    }
}
