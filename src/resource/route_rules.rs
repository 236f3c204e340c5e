//! Optional settings of a route: host, traffic split, timeout, attempt limit and priority.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::ids::{HostName, ServiceId};
use crate::resource::Priority;
use crate::units::{AttemptLimit, TimeSpan, Weight};

/// A service and its share of the requests of a route that is split among services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// Service that receives the share.
    pub service: ServiceId,
    /// Share of the requests, relative to the other weights of the split.
    pub weight: Weight,
}

/// Optional settings of a route.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct RouteRules {
    /// Host whose requests the route matches; absent to match any host.
    pub host: Option<HostName>,
    /// Services among which the requests are split by weight. If empty, all requests go to the route's
    /// own service.
    pub split: Vec<WeightedService>,
    /// Maximum time that a request waits for its response; absent if only its deadline applies.
    pub timeout: Option<TimeSpan>,
    /// Time within which a response is of full use to the caller. It bounds the wait for a slot in the
    /// own availability zone (`proxy.zone_overflow`); no request is refused because of it.
    pub goal: Option<TimeSpan>,
    /// Maximum number of instances that one request may be sent to, including the first.
    pub attempts: Option<AttemptLimit>,
    /// Priority of the requests, unless their client account has one of its own.
    pub priority: Priority,
}
