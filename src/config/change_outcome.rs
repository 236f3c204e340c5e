//! How a change ended.

use crate::config::ChangeRefusal;
use crate::ids::{OperationId, Revision};

/// The answer to an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change is committed and never reverts.
    Accepted {
        /// The revision that it made.
        revision: Revision,
        /// Whether an earlier request with the same operation had made it.
        repeated: bool,
    },
    /// The change was refused; nothing was written.
    Refused(ChangeRefusal),
    /// The platform could not be reached; the change is not accepted and never will be by itself.
    NotAccepted(String),
    /// The platform's answer was lost and could not be settled.
    Unknown(OperationId),
}
