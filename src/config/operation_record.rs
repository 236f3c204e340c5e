//! What is kept of an accepted operation.

use serde::{Deserialize, Serialize};

use crate::ids::Revision;
use crate::resource::{KeyHash, ResourceName};

/// Proof that an operation was accepted; its row is written with the change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationRecord {
    /// The revision that it made.
    pub revision: Revision,
    /// The resource that it changed.
    pub name: ResourceName,
    /// Hash of the request, so that another request with the same operation is refused.
    pub fingerprint: KeyHash,
    /// Hash of the change itself, which tells two attempts with secrets of their own apart.
    pub content: KeyHash,
}
