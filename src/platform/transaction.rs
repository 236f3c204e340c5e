//! Conditional transactions on the platform's key-value table.

use serde::{Deserialize, Serialize};

use crate::ids::Version;
use crate::platform::{RowKey, row_bytes};

/// Writes that take effect atomically if every check holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Preconditions; if any fails, nothing is written.
    pub checks: Vec<RowCheck>,
    /// Writes and deletions to carry out.
    pub writes: Vec<RowWrite>,
}

/// The precondition that a row has a given version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCheck {
    /// Key of the row to check.
    pub key: RowKey,
    /// Version that the row must have; `Version(0)` requires that the row does not exist.
    pub version: Version,
}

/// A write or deletion of one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowWrite {
    /// Key of the row to write.
    pub key: RowKey,
    /// New value of the row; `None` deletes the row.
    #[serde(with = "row_bytes::optional")]
    pub value: Option<Vec<u8>>,
}
