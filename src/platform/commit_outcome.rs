//! The outcome of a transaction on the platform's table.

use serde::{Deserialize, Serialize};

use crate::platform::RowKey;

/// The outcome of a transaction that the platform has processed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommitOutcome {
    /// Every check held and every write took effect.
    Committed,
    /// The check of the row with this key failed, and nothing was written.
    Conflict(RowKey),
}
