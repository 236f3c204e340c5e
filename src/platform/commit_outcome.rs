//! How a transaction ended.

use serde::{Deserialize, Serialize};

use crate::platform::RowKey;

/// The platform's answer to a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommitOutcome {
    /// Every write took effect.
    Committed,
    /// The check of this row failed; nothing was written.
    Conflict(RowKey),
}
