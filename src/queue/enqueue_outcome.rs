//! Result of adding a request to an instance's queue.

use std::time::Duration;

/// What [`InstanceQueue::enqueue`](crate::queue::InstanceQueue::enqueue) did with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EnqueueOutcome {
    /// The request holds a slot and must be started now.
    Start,
    /// The request waits; a later [`QueueAction`](crate::queue::QueueAction) starts or refuses it.
    Wait,
    /// The request is not queued: it would miss its deadline, or its account already has the
    /// maximum number of waiting requests in this class.
    Refuse {
        /// Estimated time after which a similar request would be accepted.
        retry_after: Duration,
    },
}
