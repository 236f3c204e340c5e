//! Final result of an operator's change request.

use crate::config::ChangeRefusal;
use crate::ids::{OperationId, Revision};

/// Result of a submitted change, as reported to the operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change is committed and durable.
    Accepted {
        /// The revision that the change created.
        revision: Revision,
        /// Whether an earlier request with the same operation id committed it.
        repeated: bool,
    },
    /// The change is invalid or conflicts with the stored state; nothing was written.
    Refused(ChangeRefusal),
    /// The platform could not be reached, for the given reason. Nothing was committed, and nothing
    /// that was sent can still commit.
    NotAccepted(String),
    /// The answer to a commit was lost and could not be resolved in time: the change may or may not
    /// be committed.
    Unknown(OperationId),
}
