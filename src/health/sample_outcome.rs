//! The outcome of a request, as far as it tells the health of an instance.

use serde::Serialize;

/// The outcome of a request or probe at an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SampleOutcome {
    /// A complete response without a server error.
    Good,
    /// A server error or a reset connection.
    Failed,
    /// A malformed or truncated response.
    Wrong,
    /// No response within the time allowed.
    Stalled,
    /// A refusal because of load (status 429 or 503), which is no fault.
    Shed,
}

impl SampleOutcome {
    /// The value of the outcome label in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Good => "good",
            Self::Failed => "failed",
            Self::Wrong => "wrong",
            Self::Stalled => "stalled",
            Self::Shed => "shed",
        }
    }
}
