//! A row of the table.

use serde::{Deserialize, Serialize};

use crate::ids::Version;
use crate::platform::{RowKey, row_bytes};

/// A row as it was read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// Its key.
    pub key: RowKey,
    /// Counts its writes from 1; a row deleted and written again goes on from 1.
    pub version: Version,
    /// Its value.
    #[serde(with = "row_bytes")]
    pub value: Vec<u8>,
}
