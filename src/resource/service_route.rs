//! A route from a path to a service.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::ids::{RouteId, ServiceId};
use crate::resource::{IdempotencyRule, RequestClass, RouteAccess, RouteRules};

/// Leads the paths below a prefix to a service; the longest prefix wins.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields)]
pub struct ServiceRoute {
    /// Its name.
    pub id: RouteId,
    /// Path prefix of whole segments, beginning with a slash.
    pub prefix: String,
    /// The service that answers.
    pub service: ServiceId,
    /// The class of its requests.
    pub class: RequestClass,
    /// Who may use it.
    pub access: RouteAccess,
    /// Whether its requests may be repeated.
    #[serde(default)]
    pub idempotency: IdempotencyRule,
    /// How its requests are carried.
    #[serde(default)]
    pub rules: RouteRules,
}
