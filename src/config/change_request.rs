//! An operator's request to change one resource.

use bincode::Encode;

use crate::ids::{OperationId, Version};
use crate::resource::{ConfigResource, KeyHash, ResourceName};
use crate::wire;

/// The edit to make to the resource.
#[derive(Debug, Clone, PartialEq, Eq, Encode)]
pub enum ResourceEdit {
    /// Create the resource or replace all of its fields.
    Put(ConfigResource),
    /// Delete the resource.
    Delete,
    /// Withdraw the key permanently; its record stays until it is deleted.
    Withdraw,
}

/// Precondition on the stored resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode)]
pub enum VersionCondition {
    /// The resource exists, at any version.
    Exists,
    /// The resource does not exist.
    Absent,
    /// The resource exists and has this version.
    Matches(Version),
}

/// One edit of one resource, with its precondition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeRequest {
    /// Idempotency key of the change: a request that is repeated after a lost answer is not
    /// applied twice.
    pub operation: OperationId,
    /// Name of the resource to change.
    pub name: ResourceName,
    /// The edit to make.
    pub edit: ResourceEdit,
    /// Precondition, checked in the transaction that makes the edit.
    pub condition: VersionCondition,
}

impl ChangeRequest {
    /// Hash of the name, edit and condition, which detects an operation id that is reused for a
    /// different request.
    ///
    /// The hash of a new key's secret is left out: the server generates the secret, so it differs
    /// when the same request is repeated.
    #[must_use]
    pub fn fingerprint(&self) -> KeyHash {
        let mut edit = self.edit.clone();
        if let ResourceEdit::Put(ConfigResource::Key(key)) = &mut edit {
            key.hash = KeyHash::hash_secret("");
        }
        let bytes = wire::encode(&(&self.name, &edit, &self.condition)).unwrap_or_default();
        KeyHash::hash_bytes(&bytes)
    }
}
