//! What the egress must do for a waiting request.

use std::time::Duration;

use crate::queue::RequestKey;

/// The end of a request's wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueAction {
    /// The request holds a slot; start it now.
    Start(RequestKey),
    /// The request cannot finish in time; answer it now.
    Refuse {
        /// The request.
        key: RequestKey,
        /// Time after which a request like it can be expected to be taken.
        retry_after: Duration,
    },
}
