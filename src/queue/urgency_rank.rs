//! Position of a request in the order of urgency.

use serde::Serialize;

use crate::resource::{Priority, RequestClass};

/// Ranks requests by priority. Requests that a running request waits for go before new ones of the
/// same priority, since turning one away wastes the work on the request that made it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct UrgencyRank {
    /// Priority; the lowest is the most urgent.
    pub priority: Priority,
    /// Whether the request was not made by a running request.
    pub is_new: bool,
}

impl UrgencyRank {
    /// The rank of a request of `class` with `priority`.
    #[must_use]
    pub const fn new(priority: Priority, class: RequestClass) -> Self {
        Self {
            priority,
            is_new: !matches!(class, RequestClass::InternalCheck),
        }
    }
}
