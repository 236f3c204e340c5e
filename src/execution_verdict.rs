//! Execution verdict of a request: whether a backend server ran it, may have run it or did not.

use quick_error::quick_error;
use std::fmt;
use std::str::FromStr;

/// What the fleet knows about the execution of a request.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    bincode::Encode,
    bincode::Decode,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutionVerdict {
    /// The request provably did not run on a backend server; it is safe to repeat.
    NotRun,
    /// The request may have run on a backend server; only an idempotent one may be repeated.
    MayHaveRun,
    /// The backend server responded.
    Ran,
}

/// Response header that carries the verdict to the caller.
pub const VERDICT_HEADER: &str = "x-wagtailtrack-verdict";

impl ExecutionVerdict {
    /// Returns whether a request may be sent again: always after `NotRun`, after `MayHaveRun` only if
    /// `idempotent`, and never after `Ran`.
    #[must_use]
    pub const fn allows_retry(self, idempotent: bool) -> bool {
        match self {
            Self::NotRun => true,
            Self::MayHaveRun => idempotent,
            Self::Ran => false,
        }
    }

    /// Returns the value of the verdict header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for ExecutionVerdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

quick_error! {
    /// The error of parsing a verdict.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum VerdictError {
        /// The text is none of the three verdicts.
        Unknown(text: String) {
            display("verdict '{text}' is unknown; use not-run, may-have-run or ran")
        }
    }
}

impl FromStr for ExecutionVerdict {
    type Err = VerdictError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "not-run" => Ok(Self::NotRun),
            "may-have-run" => Ok(Self::MayHaveRun),
            "ran" => Ok(Self::Ran),
            _ => Err(VerdictError::Unknown(text.to_owned())),
        }
    }
}
