//! The JSON bodies that `HttpPlatform` exchanges with the platform's service.

use serde::{Deserialize, Serialize};

use crate::platform::{RowKey, TableRow};

/// Body of `POST /read`.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReadRequest {
    /// The rows wanted.
    pub keys: Vec<RowKey>,
}

/// Body of `POST /scan`.
#[derive(Debug, Serialize, Deserialize)]
pub struct ScanRequest {
    /// What the keys begin with.
    pub prefix: String,
    /// The key after which to go on.
    pub after: Option<RowKey>,
    /// Most rows wanted.
    pub limit: usize,
}

/// Answer to both; a scan has no absent rows.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReadResponse {
    /// The rows in the order of the question.
    pub rows: Vec<Option<TableRow>>,
}
