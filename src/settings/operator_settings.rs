//! Credential of the operators' API.

use serde::Deserialize;

use crate::resource::KeyHash;

/// Credential with which operators authenticate.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Hash of the bearer token that operators send.
    pub token_hash: KeyHash,
}
