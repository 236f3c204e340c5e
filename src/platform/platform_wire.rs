//! JSON request and response bodies of the platform's HTTP service.

use serde::{Deserialize, Serialize};

use crate::platform::{RowKey, TableRow};

/// Body of `POST /read`.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReadRequest {
    /// Keys of the rows to read.
    pub keys: Vec<RowKey>,
}

/// Body of `POST /scan`.
#[derive(Debug, Serialize, Deserialize)]
pub struct ScanRequest {
    /// Only rows whose keys begin with this are returned.
    pub prefix: String,
    /// Only rows whose keys sort after this one are returned; `None` starts at the first row.
    pub after: Option<RowKey>,
    /// Maximum number of rows to return.
    pub limit: usize,
}

/// Response to `POST /read` and `POST /scan`.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReadResponse {
    /// For a read, one entry per requested key and `None` for a row that does not exist; for a scan,
    /// the rows found in key order.
    pub rows: Vec<Option<TableRow>>,
}
