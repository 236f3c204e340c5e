//! An entry of the change log: one committed change of one resource.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::ids::{OperationId, Revision};
use crate::resource::{ConfigResource, KeyHash, ResourceName};
use crate::wire;

/// The effect of a change on its resource.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigAction {
    /// Creates the resource or replaces all of its fields.
    Put(ConfigResource),
    /// Deletes the resource; the value is its last state.
    Remove(ConfigResource),
}

/// A committed change, as stored in the change log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
pub struct ConfigChange {
    /// The revision that the change created.
    pub revision: Revision,
    /// Operation id of the operator's request.
    pub operation: OperationId,
    /// The effect on the resource.
    pub action: ConfigAction,
}

impl ConfigChange {
    /// Hash of all fields.
    #[must_use]
    pub fn content_hash(&self) -> KeyHash {
        KeyHash::hash_bytes(&wire::encode(self).unwrap_or_default())
    }

    /// Name of the changed resource.
    #[must_use]
    pub fn name(&self) -> ResourceName {
        match &self.action {
            ConfigAction::Put(resource) | ConfigAction::Remove(resource) => resource.name(),
        }
    }
}
