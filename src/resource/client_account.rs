//! A client account.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::ids::AccountId;

/// A tenant that calls through the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Its name.
    pub id: AccountId,
}
