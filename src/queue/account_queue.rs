//! The waiting requests of one client account within a class.

use std::collections::VecDeque;

use crate::queue::RequestKey;
use crate::time::Deadline;

/// A request that waits, in order of arrival.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitingRequest {
    /// The request.
    pub(super) key: RequestKey,
    /// When its answer is worth nothing any more.
    pub(super) deadline: Deadline,
}

/// One account's requests and its start tag in the class's virtual time.
#[derive(Debug, Default)]
pub(super) struct AccountQueue {
    /// Virtual time at which its next request may start, in seconds of service.
    pub(super) start_tag: f64,
    /// Requests that wait.
    pub(super) waiting: VecDeque<WaitingRequest>,
    /// Requests that hold slots.
    pub(super) running: u32,
}

impl AccountQueue {
    /// Whether nothing of the account waits or runs.
    pub(super) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running == 0
    }

    /// Removes a waiting request; false when it does not wait here.
    pub(super) fn remove(&mut self, key: RequestKey) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|request| request.key != key);
        self.waiting.len() < before
    }
}
