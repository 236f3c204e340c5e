//! Counts of what the ingress answered.

use serde::Serialize;

use crate::verdict::Verdict;

/// Answers since the daemon started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct RequestTotals {
    /// Requests taken.
    pub requests: u64,
    /// Requests that a backend server answered.
    pub ran: u64,
    /// Requests that were provably not run.
    pub not_run: u64,
    /// Requests that may have run and got no answer.
    pub may_have_run: u64,
    /// Requests refused for their client account's rate.
    pub over_rate: u64,
    /// Attempts beyond the first of a request.
    pub retries: u64,
}

impl RequestTotals {
    /// Counts an answer by its verdict.
    pub const fn record(&mut self, verdict: Verdict) {
        match verdict {
            Verdict::Ran => self.ran += 1,
            Verdict::NotRun => self.not_run += 1,
            Verdict::MayHaveRun => self.may_have_run += 1,
        }
    }
}
