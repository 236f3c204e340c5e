//! How the requests of a route are carried.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::ids::{HostName, ServiceId};
use crate::resource::Priority;
use crate::units::{AttemptLimit, TimeSpan, Weight};

/// One part of a route that is split among services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Its part of the requests, relative to the others.
    pub weight: Weight,
}

/// Bounds and preferences of a route; every one may be left out.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields, default, rename_all = "kebab-case")]
pub struct RouteRules {
    /// The host whose requests the route takes; any host without one.
    pub host: Option<HostName>,
    /// Services that share the requests by weight; the route's own service alone when empty.
    pub split: Vec<WeightedService>,
    /// Longest time that a request is kept waiting for its answer.
    pub timeout: Option<TimeSpan>,
    /// Time within which an answer is of full use to the caller.
    pub goal: Option<TimeSpan>,
    /// Most instances that one request may reach.
    pub attempts: Option<AttemptLimit>,
    /// Rank among requests.
    pub priority: Priority,
}
