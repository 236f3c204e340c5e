//! API key that authenticates a client account.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::ids::{AccountId, KeyId};
use crate::resource::KeyHash;

/// An API key of a client account. Only the hash of its secret is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields)]
pub struct ClientKey {
    /// Unique name of the key; not secret.
    pub id: KeyId,
    /// Client account that the key authenticates.
    pub account: AccountId,
    /// Hash of the secret that callers send.
    pub hash: KeyHash,
    /// Whether an operator withdrew the key. A withdrawal is permanent.
    pub withdrawn: bool,
}
