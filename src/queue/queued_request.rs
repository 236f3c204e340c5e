//! Properties of a request that decide its order and admission in the queue.

use crate::ids::AccountId;
use crate::queue::RequestKey;
use crate::resource::RequestClass;
use crate::time::Deadline;

/// A request that asks for a slot of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Identifies the request.
    pub key: RequestKey,
    /// Client account that is charged for the service time.
    pub account: AccountId,
    /// Request class, which selects the weight and the service-time estimate.
    pub class: RequestClass,
    /// Time by which the caller needs the response.
    pub deadline: Deadline,
}
