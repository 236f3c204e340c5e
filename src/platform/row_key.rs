//! Keys of rows in the platform's table.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The key of a row; rows sort by the key's bytes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RowKey(pub String);

impl fmt::Display for RowKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}
