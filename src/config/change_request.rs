//! What an operator asks for.

use bincode::Encode;

use crate::ids::{OperationId, Version};
use crate::resource::{ConfigResource, KeyHash, ResourceName};
use crate::wire;

/// What happens to the resource.
#[derive(Debug, Clone, PartialEq, Eq, Encode)]
pub enum ResourceEdit {
    /// It is written whole.
    Put(ConfigResource),
    /// It is deleted.
    Delete,
    /// The key is withdrawn for good.
    Withdraw,
}

/// What must hold of the resource before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode)]
pub enum VersionCondition {
    /// It exists, at any version.
    Exists,
    /// It does not exist.
    Absent,
    /// It has this version.
    Matches(Version),
}

/// One change of one resource.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeRequest {
    /// Names the change, so that a lost answer can be settled.
    pub operation: OperationId,
    /// The resource.
    pub name: ResourceName,
    /// What happens to it.
    pub edit: ResourceEdit,
    /// What must hold before.
    pub condition: VersionCondition,
}

impl ChangeRequest {
    /// A hash of what is asked; a new key's secret does not count, for the server draws it.
    #[must_use]
    pub fn fingerprint(&self) -> KeyHash {
        let mut edit = self.edit.clone();
        if let ResourceEdit::Put(ConfigResource::Key(key)) = &mut edit {
            key.hash = KeyHash::of_secret("");
        }
        let bytes = wire::encode(&(&self.name, &edit, &self.condition)).unwrap_or_default();
        KeyHash::of_bytes(&bytes)
    }
}
