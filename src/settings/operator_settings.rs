//! How operators prove who they are.

use serde::Deserialize;

use crate::resource::KeyHash;

/// The operators' credential.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Hash of the token that operators send.
    pub token_hash: KeyHash,
}
