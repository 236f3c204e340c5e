//! Instruction from the instance queue to the egress about a waiting request.

use std::time::Duration;

use crate::queue::RequestKey;

/// What the caller of [`InstanceQueue`](crate::queue::InstanceQueue) must do with a request that
/// no longer waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueAction {
    /// The request holds a slot and must be started now.
    Start(RequestKey),
    /// The request left the queue because it cannot finish by its deadline; refuse it now.
    Refuse {
        /// Identifies the request.
        key: RequestKey,
        /// Estimated time after which a similar request would be accepted.
        retry_after: Duration,
    },
}
