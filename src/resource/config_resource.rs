//! A configuration resource of any kind: client account, key, rate limit, route, service or evacuation.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::resource::{
    ClientAccount, ClientKey, RateLimit, ResourceKind, ResourceName, ServiceRoute, ServiceSpec,
    ZoneEvacuation,
};

/// A configuration resource.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigResource {
    /// A client account, which sends requests.
    Account(ClientAccount),
    /// A key of a client account.
    Key(ClientKey),
    /// The rate limit of a client account.
    Rate(RateLimit),
    /// A route from a path prefix to a service.
    Route(ServiceRoute),
    /// A service, which is a group of backend servers.
    Service(ServiceSpec),
    /// An availability zone that is out of service.
    Evacuation(ZoneEvacuation),
}

impl ConfigResource {
    /// Kind of the resource.
    #[must_use]
    pub const fn kind(&self) -> ResourceKind {
        match self {
            Self::Account(_) => ResourceKind::Account,
            Self::Key(_) => ResourceKind::Key,
            Self::Rate(_) => ResourceKind::Rate,
            Self::Route(_) => ResourceKind::Route,
            Self::Service(_) => ResourceKind::Service,
            Self::Evacuation(_) => ResourceKind::Evacuation,
        }
    }

    /// Kind and id of the resource. The id of a rate limit is its client account's.
    #[must_use]
    pub fn name(&self) -> ResourceName {
        let id = match self {
            Self::Account(account) => account.id.to_string(),
            Self::Key(key) => key.id.to_string(),
            Self::Rate(rate) => rate.account.to_string(),
            Self::Route(route) => route.id.to_string(),
            Self::Service(service) => service.id.to_string(),
            Self::Evacuation(evacuation) => evacuation.id.to_string(),
        };
        ResourceName {
            kind: self.kind(),
            id,
        }
    }
}
