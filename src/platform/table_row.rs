//! Rows of the platform's key-value table.

use serde::{Deserialize, Serialize};

use crate::ids::Version;
use crate::platform::{RowKey, row_bytes};

/// A row with the version at which it was read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// The row's key.
    pub key: RowKey,
    /// Number of writes to the row, from 1; the count restarts at 1 after the row was deleted.
    pub version: Version,
    /// The row's content, encoded by the writer.
    #[serde(with = "row_bytes")]
    pub value: Vec<u8>,
}
