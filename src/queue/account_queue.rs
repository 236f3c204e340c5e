//! First-in, first-out queue of one client account's requests within a request class.

use std::collections::VecDeque;

use crate::queue::RequestKey;
use crate::time::Deadline;

/// Entry of an [`AccountQueue`]: a request that has no slot yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitingRequest {
    /// Identifies the request.
    pub(super) key: RequestKey,
    /// Time by which the caller needs the response.
    pub(super) deadline: Deadline,
}

/// Waiting requests of one account, with the account's start tag for start-time fair queueing.
#[derive(Debug, Default)]
pub(super) struct AccountQueue {
    /// Virtual time of the class at which the account's next request may start, in seconds of
    /// service.
    pub(super) start_tag: f64,
    /// Waiting requests in order of arrival.
    pub(super) waiting: VecDeque<WaitingRequest>,
    /// Number of requests that hold slots.
    pub(super) running: u32,
}

impl AccountQueue {
    /// Whether the account has neither waiting nor running requests.
    pub(super) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running == 0
    }

    /// Removes a waiting request. Returns false when it is not in this queue.
    pub(super) fn remove(&mut self, key: RequestKey) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|request| request.key != key);
        self.waiting.len() < before
    }
}
