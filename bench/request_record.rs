//! What came of each request.

use std::time::Duration;

use crate::request_kind::RequestKind;

/// How a request ended, as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A whole and right answer.
    Answered,
    /// Refused for the rate.
    OverRate,
    /// Refused for lack of capacity, not run.
    NoCapacity,
    /// Another answer of the fleet that is no success.
    Failed(u16),
    /// An answer that is not the request's.
    Wrong,
    /// No answer.
    Lost,
}

/// One request; times count from the start of the load.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// Number of the client account.
    pub account: usize,
    /// Its kind.
    pub kind: RequestKind,
    /// When it was meant to be sent.
    pub intended: Duration,
    /// How late the load's own timer sent it.
    pub lag: Duration,
    /// When it ended.
    pub ended: Duration,
    /// Time that the instance served it for.
    pub service: Duration,
    /// How it ended.
    pub outcome: RequestOutcome,
    /// The instance that answered.
    pub instance: Option<String>,
    /// The start of an answer that is no success, or why there was none.
    pub reason: String,
}

impl RequestRecord {
    /// Time from the intended send to the end.
    pub fn latency(&self) -> Duration {
        self.ended.saturating_sub(self.intended)
    }

    /// Time that was not the instance's service.
    pub fn overhead(&self) -> Duration {
        self.latency().saturating_sub(self.service)
    }

    /// Whether it was answered within `limit`.
    pub fn is_in_time(&self, limit: Duration) -> bool {
        self.outcome == RequestOutcome::Answered && self.latency() <= limit
    }

    /// Whether it passed the rate limit.
    pub fn is_admitted(&self) -> bool {
        !matches!(
            self.outcome,
            RequestOutcome::OverRate | RequestOutcome::NoCapacity | RequestOutcome::Lost
        )
    }
}
