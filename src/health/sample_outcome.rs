//! How an instance answered.

use serde::Serialize;

/// The outcome of one request or probe, as evidence of health.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SampleOutcome {
    /// A whole answer that is no server error.
    Good,
    /// A server error or a reset connection.
    Failed,
    /// A malformed or cut answer.
    Wrong,
    /// No answer within the time allowed.
    Stalled,
    /// The instance's own shedding: load, not sickness.
    Shed,
}

impl SampleOutcome {
    /// Its name in metrics.
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
