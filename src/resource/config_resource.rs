//! Any resource.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::resource::{
    ClientAccount, ClientKey, RateLimit, ResourceKind, ResourceName, ServiceRoute, ServiceSpec,
};

/// One resource of any kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigResource {
    /// A client account.
    Account(ClientAccount),
    /// A key.
    Key(ClientKey),
    /// A rate limit.
    Rate(RateLimit),
    /// A route.
    Route(ServiceRoute),
    /// A service.
    Service(ServiceSpec),
}

impl ConfigResource {
    /// Its kind.
    #[must_use]
    pub const fn kind(&self) -> ResourceKind {
        match self {
            Self::Account(_) => ResourceKind::Account,
            Self::Key(_) => ResourceKind::Key,
            Self::Rate(_) => ResourceKind::Rate,
            Self::Route(_) => ResourceKind::Route,
            Self::Service(_) => ResourceKind::Service,
        }
    }

    /// Its full name.
    #[must_use]
    pub fn name(&self) -> ResourceName {
        let id = match self {
            Self::Account(account) => account.id.to_string(),
            Self::Key(key) => key.id.to_string(),
            Self::Rate(rate) => rate.account.to_string(),
            Self::Route(route) => route.id.to_string(),
            Self::Service(service) => service.id.to_string(),
        };
        ResourceName {
            kind: self.kind(),
            id,
        }
    }
}
