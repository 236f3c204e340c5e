//! Stored record of an accepted operation, which makes change requests idempotent.

use serde::{Deserialize, Serialize};

use crate::ids::Revision;
use crate::resource::{KeyHash, ResourceName};

/// Record of an accepted operation, written in the same transaction as its change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationRecord {
    /// The revision that the operation created.
    pub revision: Revision,
    /// Name of the changed resource.
    pub name: ResourceName,
    /// Hash of the request; a different request with the same operation id is refused.
    pub fingerprint: KeyHash,
    /// Hash of the committed change. It differs between two submissions of the same request that
    /// each generated a secret.
    pub content: KeyHash,
}
