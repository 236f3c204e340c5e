//! Counters of the requests that the ingress served.

use serde::Serialize;

use crate::execution_verdict::ExecutionVerdict;
use crate::ingress::ResponseLoss;

/// Requests since the daemon started, by execution verdict.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct RequestTotals {
    /// Requests received.
    pub requests: u64,
    /// Requests that got a backend server's response.
    pub ran: u64,
    /// Requests that were provably not run.
    pub not_run: u64,
    /// Requests that may have run but got no response.
    pub may_have_run: u64,
    /// Requests that the ingress answered itself although they may have run, in the order of
    /// [`ResponseLoss::REASONS`].
    pub lost: [u64; ResponseLoss::REASONS.len()],
    /// Requests refused because their client account exceeded its rate limit.
    pub over_rate: u64,
    /// Requests refused before an offer because their service had no room for their priority.
    pub service_full: u64,
    /// Requests refused because they end the instances that run them.
    pub ends_instances: u64,
    /// Attempts after the first of a request, without those that follow an offer refused as busy.
    pub retries: u64,
    /// Attempts beside an overdue one.
    pub backups: u64,
}

impl RequestTotals {
    /// Counts a response that is lost.
    pub const fn record_loss(&mut self, loss: ResponseLoss) {
        self.lost[loss.reason_index()] += 1;
    }

    /// Counts a finished request by its verdict.
    pub const fn record(&mut self, verdict: ExecutionVerdict) {
        match verdict {
            ExecutionVerdict::Ran => self.ran += 1,
            ExecutionVerdict::NotRun => self.not_run += 1,
            ExecutionVerdict::MayHaveRun => self.may_have_run += 1,
        }
    }
}
