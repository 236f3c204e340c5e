//! Whether a request may have run.

use quick_error::quick_error;
use std::fmt;
use std::str::FromStr;

/// What is known about the execution of a request.
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
pub enum Verdict {
    /// The request provably never reached a backend server; it is safe to repeat.
    NotRun,
    /// The request may have reached a backend server; repeat it only if idempotent.
    MayHaveRun,
    /// The backend server answered.
    Ran,
}

/// Header that carries the verdict to the caller.
pub const VERDICT_HEADER: &str = "x-wagtailtrack-verdict";

impl Verdict {
    /// Whether a request may be sent again: always when not run, else only when idempotent.
    #[must_use]
    pub const fn allows_retry(self, idempotent: bool) -> bool {
        match self {
            Self::NotRun => true,
            Self::MayHaveRun => idempotent,
            Self::Ran => false,
        }
    }

    /// The verdict as it stands in the header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

quick_error! {
    /// A text that is no verdict.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum VerdictError {
        /// Neither of the three words.
        Unknown(text: String) {
            display("verdict '{text}' is unknown; use not-run, may-have-run or ran")
        }
    }
}

impl FromStr for Verdict {
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
