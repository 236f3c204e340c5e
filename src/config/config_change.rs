//! One committed change.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::ids::{OperationId, Revision};
use crate::resource::{ConfigResource, KeyHash, ResourceName};
use crate::wire;

/// What a change does to its resource.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigAction {
    /// Writes the resource whole.
    Put(ConfigResource),
    /// Removes the resource; this was its last state.
    Remove(ConfigResource),
}

/// A committed change, as it stands in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct ConfigChange {
    /// The revision that it made.
    pub revision: Revision,
    /// The operator's operation.
    pub operation: OperationId,
    /// What it did.
    pub action: ConfigAction,
}

impl ConfigChange {
    /// A hash of the whole change.
    #[must_use]
    pub fn content_hash(&self) -> KeyHash {
        KeyHash::of_bytes(&wire::encode(self).unwrap_or_default())
    }

    /// The resource changed.
    #[must_use]
    pub fn name(&self) -> ResourceName {
        match &self.action {
            ConfigAction::Put(resource) | ConfigAction::Remove(resource) => resource.name(),
        }
    }
}
