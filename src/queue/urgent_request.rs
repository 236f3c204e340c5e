//! A request that asks for a slot of an instance whose queue orders by urgency.

use crate::ids::RouteId;
use crate::queue::QueuedRequest;
use crate::resource::Priority;
use crate::time::Deadline;

/// A request with the properties that its urgency depends on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UrgentRequest {
    /// Account, class and deadline.
    pub request: QueuedRequest,
    /// Route that the request matched, which selects the service-time estimate.
    pub route: RouteId,
    /// Priority of the client account or the route.
    pub priority: Priority,
    /// Time until which a response is of full use to the caller.
    pub goal: Deadline,
    /// Weight of the client account, relative to the others.
    pub weight: u32,
}
