//! What is kept of one request.

use serde::Serialize;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunOutcome {
    /// It still runs.
    Running,
    /// It ran to its end.
    Completed,
    /// Its connection closed, or its deadline passed, while it ran.
    Cancelled,
}

/// One request that was run.
#[derive(Debug, Clone, Serialize)]
pub struct RunRecord {
    /// Its method.
    pub method: String,
    /// Its target with the query.
    pub target: String,
    /// Every header, in lower case, as it came.
    pub headers: Vec<(String, String)>,
    /// The caller's tag.
    pub tag: String,
    /// The length of its body.
    pub body_bytes: usize,
    /// How it ended.
    pub outcome: RunOutcome,
}
