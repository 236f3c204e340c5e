//! A request as the queue sees it.

use crate::ids::AccountId;
use crate::queue::RequestKey;
use crate::resource::RequestClass;
use crate::time::Deadline;

/// What the queue needs to know of a request that asks for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The request.
    pub key: RequestKey,
    /// The client account that pays for the service time.
    pub account: AccountId,
    /// The class of the work.
    pub class: RequestClass,
    /// When its answer is worth nothing any more.
    pub deadline: Deadline,
}
