//! Record of one request that an instance ran.

use serde::Serialize;

/// Outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutionOutcome {
    /// The request is still running.
    Running,
    /// The request ran to completion.
    Completed,
    /// The connection closed or the deadline passed while the request ran.
    Cancelled,
}

/// One request that started to run.
#[derive(Debug, Clone, Serialize)]
pub struct ExecutionRecord {
    /// HTTP method.
    pub method: String,
    /// Request target, with the query.
    pub target: String,
    /// Names, in lower case, and values of all request headers.
    pub headers: Vec<(String, String)>,
    /// Value of `x-tag`; empty if the header is absent.
    pub tag: String,
    /// Length of the request body, in bytes.
    pub body_bytes: usize,
    /// When it started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Service time that it needs, in milliseconds.
    pub work_ms: u64,
    /// Outcome so far.
    pub outcome: ExecutionOutcome,
}
