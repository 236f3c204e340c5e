//! Client account: the tenant to which keys and a rate limit belong.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::ids::AccountId;
use crate::resource::Priority;

/// A tenant that sends requests through the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Unique name of the account.
    pub id: AccountId,
    /// Priority of the account's requests, which overrides that of the route; absent to use the route's.
    #[serde(default)]
    pub priority: Option<Priority>,
    /// Whether the account is exempt from rate limiting. The requests of any other account without a
    /// rate limit are refused.
    #[serde(default)]
    pub unlimited: bool,
}

impl ClientAccount {
    /// Creates an account without a priority of its own that is not exempt from rate limiting.
    #[must_use]
    pub const fn new(id: AccountId) -> Self {
        Self {
            id,
            priority: None,
            unlimited: false,
        }
    }
}
