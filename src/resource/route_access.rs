//! Who may use a route.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::ids::AccountId;

/// The client accounts that a route is open to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "kebab-case")]
pub enum RouteAccess {
    /// Every client account.
    All,
    /// Anyone, without a key: backend servers call one another through such routes.
    Public,
    /// These client accounts alone.
    Accounts(Vec<AccountId>),
}

impl RouteAccess {
    /// Whether `account` may use the route.
    #[must_use]
    pub fn allows(&self, account: &AccountId) -> bool {
        match self {
            Self::All | Self::Public => true,
            Self::Accounts(named) => named.contains(account),
        }
    }
}
