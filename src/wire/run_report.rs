//! Report of an egress on a run of a request that may end instances.

use std::fmt;

use bincode::{Decode, Encode};
use serde::Serialize;

use crate::ids::ReportId;
use crate::wire::RequestDigest;

/// What a run of a request showed about whether it ends the instances that run it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Encode, Decode, Serialize)]
pub struct RunReport {
    /// Random identifier of the report.
    pub id: ReportId,
    /// The request.
    pub digest: RequestDigest,
    /// How the run ended.
    pub outcome: RunOutcome,
}

/// How a run of a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Encode, Decode, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunOutcome {
    /// The instance ended during the run.
    InstanceEnded {
        /// Whether the request was suspected before, and no other suspected request ran there.
        was_only_suspect: bool,
    },
    /// The request ran to its end, and the instance goes on.
    Completed,
    /// An operator has cleared the request of suspicion.
    Cleared,
}

impl RunReport {
    /// Creates a report with a random identifier.
    #[must_use]
    pub fn open(digest: RequestDigest, outcome: RunOutcome) -> Self {
        Self {
            id: ReportId(fastrand::u64(..)),
            digest,
            outcome,
        }
    }
}

impl fmt::Display for RunOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::InstanceEnded {
                was_only_suspect: true,
            } => "the instance ended, with no other suspected request running",
            Self::InstanceEnded {
                was_only_suspect: false,
            } => "the instance ended",
            Self::Completed => "a run completed",
            Self::Cleared => "cleared by an operator",
        })
    }
}
