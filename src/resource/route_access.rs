//! Access control of routes by client account.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::ids::AccountId;

/// Callers that may use a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "kebab-case")]
pub enum RouteAccess {
    /// Every client account.
    All,
    /// Any caller, without a key. Backend servers call one another through such routes.
    Public,
    /// Only the listed client accounts.
    Accounts(Vec<AccountId>),
}

impl RouteAccess {
    /// Whether `account` may use the route.
    #[must_use]
    pub fn allows(&self, account: &AccountId) -> bool {
        match self {
            Self::All | Self::Public => true,
            Self::Accounts(accounts) => accounts.contains(account),
        }
    }
}
