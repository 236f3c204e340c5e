//! A key of a client account.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::ids::{AccountId, KeyId};
use crate::resource::KeyHash;

/// A key that callers present; only the hash of its secret is kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields)]
pub struct ClientKey {
    /// Its name, which is no secret.
    pub id: KeyId,
    /// The client account that it stands for.
    pub account: AccountId,
    /// Hash of the secret.
    pub hash: KeyHash,
    /// Whether an operator withdrew it; a withdrawn key never comes back.
    pub withdrawn: bool,
}
