//! Route from a path prefix to a service.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::ids::{RouteId, ServiceId};
use crate::resource::{IdempotencyRule, RequestClass, RouteAccess, RouteRules};

/// Routes requests whose path starts with a prefix to a service. The longest matching prefix wins.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields)]
pub struct ServiceRoute {
    /// Unique name of the route.
    pub id: RouteId,
    /// Path prefix that starts with a slash and matches whole segments.
    pub prefix: String,
    /// Service that handles the requests.
    pub service: ServiceId,
    /// Request class of the route's requests.
    pub class: RequestClass,
    /// Callers that may use the route.
    pub access: RouteAccess,
    /// Which requests are idempotent and may therefore be retried.
    #[serde(default)]
    pub idempotency: IdempotencyRule,
    /// Host, traffic split, timeout, attempt limit and priority.
    #[serde(default)]
    pub rules: RouteRules,
}
