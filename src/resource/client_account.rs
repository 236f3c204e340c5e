//! A client account.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::ids::AccountId;
use crate::resource::Priority;

/// A tenant that calls through the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Its name.
    pub id: AccountId,
    /// Its rank, which goes before that of the route.
    #[serde(default)]
    pub priority: Option<Priority>,
    /// Whether it has no rate limit by intent; without this an account without a rate is refused.
    #[serde(default)]
    pub unlimited: bool,
}

impl ClientAccount {
    /// An account of which nothing but its name is said.
    #[must_use]
    pub const fn new(id: AccountId) -> Self {
        Self {
            id,
            priority: None,
            unlimited: false,
        }
    }
}
