//! Record of one benchmark request.

use std::time::Duration;

use crate::request_kind::RequestKind;

/// Outcome of a request, as the client sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A complete response that matches the request.
    Answered,
    /// Refused because the account exceeds its rate.
    OverRate,
    /// Refused for lack of capacity, without having run.
    NoCapacity,
    /// Any other status than 200, given here.
    Failed(u16),
    /// A response that does not match the request.
    Wrong,
    /// No complete response.
    Lost,
}

/// One request; points in time count from the start of the load.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// Index of the client account.
    pub account: usize,
    /// Kind of the request.
    pub kind: RequestKind,
    /// When the request was due.
    pub intended: Duration,
    /// Delay between the due time and the sending.
    pub lag: Duration,
    /// When the response was complete or the request failed.
    pub ended: Duration,
    /// Service time that the instance reported; zero if it reported none.
    pub service: Duration,
    /// Outcome of the request.
    pub outcome: RequestOutcome,
    /// Instance that responded, if any.
    pub instance: Option<String>,
    /// Start of an unsuccessful response, or why there was no response; empty after success.
    pub reason: String,
}

impl RequestRecord {
    /// Time from the due time to the end of the request.
    pub fn latency(&self) -> Duration {
        self.ended.saturating_sub(self.intended)
    }

    /// Latency without the service time.
    pub fn overhead(&self) -> Duration {
        self.latency().saturating_sub(self.service)
    }

    /// Whether a matching response came within `limit` of the due time.
    pub fn is_in_time(&self, limit: Duration) -> bool {
        self.outcome == RequestOutcome::Answered && self.latency() <= limit
    }

    /// Whether the request certainly passed the rate limit; one without a response may have.
    pub fn is_admitted(&self) -> bool {
        !matches!(
            self.outcome,
            RequestOutcome::OverRate | RequestOutcome::NoCapacity | RequestOutcome::Lost
        )
    }
}
