//! A transaction on the table.

use serde::{Deserialize, Serialize};

use crate::ids::Version;
use crate::platform::{RowKey, row_bytes};

/// Writes that happen together, if every check holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    pub checks: Vec<RowCheck>,
    /// What is written then.
    pub writes: Vec<RowWrite>,
}

/// A row must have this version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCheck {
    /// The row.
    pub key: RowKey,
    /// Its version; `Version(0)` when it must be absent.
    pub version: Version,
}

/// A row is written or deleted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowWrite {
    /// The row.
    pub key: RowKey,
    /// Its new value, or none to delete it.
    #[serde(with = "row_bytes::optional")]
    pub value: Option<Vec<u8>>,
}
